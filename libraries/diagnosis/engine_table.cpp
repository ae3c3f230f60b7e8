// SPDX-License-Identifier: BSD-2-Clause
// Builds the rows of the engine table from metric samples.
#include "libraries/diagnosis/engine_table.h"

#include "libraries/diagnosis/metrics_text.h"

#include <map>

namespace shedhill::diagnosis {

namespace {

void apply_sample(metric_sample const& sample, engine_row& row)
{
    if (sample.name == "shedhill_engine_tokens_per_ms")
        row.tokens_per_ms = sample.value;
    else if (sample.name == "shedhill_engine_running")
        row.running = to_count(sample.value);
    else if (sample.name == "shedhill_engine_unread_tokens")
        row.pending_prefill_tokens = to_count(sample.value);
    else if (sample.name == "shedhill_engine_held_tokens")
        row.kv_tokens = to_count(sample.value);
    else if (sample.name == "shedhill_engine_memory_tokens")
        row.kv_capacity_tokens = to_count(sample.value);
}

void append_hold_reason(metric_sample const& sample, engine_row& row)
{
    if (!row.hold_reasons.empty())
        row.hold_reasons += ", ";
    row.hold_reasons += label_of(sample.labels, "reason") + " " + std::to_string(to_count(sample.value));
}

} // namespace

std::vector<engine_row> read_engines(std::string_view text)
{
    std::map<std::string, engine_row> rows;
    for_each_sample(text, [&](metric_sample const& sample) {
        bool const is_hold_sample = sample.name == "shedhill_endpoint_held_ms";
        if (!is_hold_sample && !sample.name.starts_with("shedhill_engine_"))
            return;
        auto const endpoint = label_of(sample.labels, "endpoint");
        auto& row = rows[endpoint];
        row.endpoint = endpoint;
        row.pool = label_of(sample.labels, "pool");
        row.domain = label_of(sample.labels, "domain");
        if (is_hold_sample)
            append_hold_reason(sample, row);
        else
            apply_sample(sample, row);
    });
    std::vector<engine_row> listed;
    listed.reserve(rows.size());
    for (auto& [endpoint, row] : rows)
        listed.push_back(std::move(row));
    return listed;
}

} // namespace shedhill::diagnosis
