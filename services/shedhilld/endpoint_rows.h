// SPDX-License-Identifier: BSD-2-Clause
// Parses the rows of the endpoint list. A row that has not changed is not parsed again: a list of thousands of rows
// changes a few at a time.
#pragma once

#include "libraries/dispatch/store/table_watcher.h"
#include "libraries/dispatch/types.h"
#include "libraries/relay/table_access.h"

#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace shedhill::daemon {

// A row that describes no endpoint: a field is missing or of another type, or the value cannot be decoded.
struct refused_row {
    std::string key;
    std::string reason;
};

template <relay::table_protocol TableBinding>
class endpoint_rows {
public:
    using rows = std::map<std::string, dispatch::table_watcher::row>;

    // Returns the entries of all rows that can be parsed.
    [[nodiscard]] std::vector<dispatch::endpoint_entry> read(rows const& table_rows)
    {
        std::vector<dispatch::endpoint_entry> entries;
        std::map<std::string, parsed_row> parsed;
        for (auto const& [key, row] : table_rows) {
            auto const& parsed_entry = parsed.emplace(key, parse(key, row)).first->second;
            if (parsed_entry.entry)
                entries.push_back(*parsed_entry.entry);
        }
        m_parsed = std::move(parsed);
        return entries;
    }

    // Returns the rows that were refused since the last call.
    [[nodiscard]] std::vector<refused_row> take_refused() { return std::exchange(m_refused, {}); }

private:
    struct parsed_row {
        std::uint64_t version { 0 };
        // Empty if the row cannot be parsed.
        std::optional<dispatch::endpoint_entry> entry;
    };

    parsed_row parse(std::string const& key, dispatch::table_watcher::row const& row)
    {
        if (auto const cached = m_parsed.find(key); cached != m_parsed.end() && cached->second.version == row.version)
            return std::move(cached->second);
        auto entry = TableBinding::parse_endpoint(key, row.value);
        if (!entry) {
            m_refused.push_back({ key, entry.error().to_string() });
            return { row.version, std::nullopt };
        }
        return { row.version, std::move(*entry) };
    }

    std::map<std::string, parsed_row> m_parsed;
    std::vector<refused_row> m_refused;
};

} // namespace shedhill::daemon
