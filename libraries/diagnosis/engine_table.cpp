// SPDX-License-Identifier: BSD-2-Clause
// Rows from samples.
#include "libraries/diagnosis/engine_table.h"

#include "libraries/diagnosis/metrics_text.h"

#include <map>

namespace shedhill::diagnosis {

namespace {

void take_sample(metric_sample const& read, engine_row& row)
{
    if (read.name == "shedhill_engine_tokens_per_ms")
        row.tokens_per_ms = read.value;
    else if (read.name == "shedhill_engine_running")
        row.running = to_count(read.value);
    else if (read.name == "shedhill_engine_unread_tokens")
        row.unread_tokens = to_count(read.value);
    else if (read.name == "shedhill_engine_held_tokens")
        row.held_tokens = to_count(read.value);
    else if (read.name == "shedhill_engine_memory_tokens")
        row.memory_tokens = to_count(read.value);
}

void take_hold(metric_sample const& read, engine_row& row)
{
    if (!row.held.empty())
        row.held += ", ";
    row.held += label_of(read.labels, "reason") + " " + std::to_string(to_count(read.value));
}

} // namespace

std::vector<engine_row> read_engines(std::string_view text)
{
    std::map<std::string, engine_row> rows;
    for_each_sample(text, [&](metric_sample const& read) {
        bool const is_hold = read.name == "shedhill_endpoint_held_ms";
        if (!is_hold && !read.name.starts_with("shedhill_engine_"))
            return;
        auto const endpoint = label_of(read.labels, "endpoint");
        auto& row = rows[endpoint];
        row.endpoint = endpoint;
        row.pool = label_of(read.labels, "pool");
        row.domain = label_of(read.labels, "domain");
        if (is_hold)
            take_hold(read, row);
        else
            take_sample(read, row);
    });
    std::vector<engine_row> listed;
    listed.reserve(rows.size());
    for (auto& [endpoint, row] : rows)
        listed.push_back(std::move(row));
    return listed;
}

} // namespace shedhill::diagnosis
