// SPDX-License-Identifier: BSD-2-Clause
// A stand-in for the store of the users' platform: rows with versions, a feed, conditional transactions, and faults on
// demand.
#pragma once

#include "libraries/net/http.h"

#include <boost/json.hpp>
#include <map>
#include <string>

namespace shedhill::stand_ins {

class hosted_store {
public:
    // Serves GET /rows-get, /rows-feed; POST /rows-tx; POST /control {"down": bool, "lose": bool, "forget": true,
    // "put":
    // [{table, key, value}], "remove": [{table, key}]}; GET /counts. While answers are lost ("lose"), transactions
    // still take effect. After "forget" the feed has no history up to the current version, the changes of the same
    // command included.
    void serve(net::http_exchange& exchange);

private:
    struct row {
        std::string value;
        std::uint64_t version { 0 };
        // Removed rows are kept, so that the feed can report the removal.
        bool is_removed { false };
    };
    using table = std::map<std::string, row>;

    void control(boost::json::object const& body);
    void put(std::string const& table, std::string const& key, std::string const& value);
    void remove(std::string const& table, std::string const& key);
    [[nodiscard]] boost::json::array rows_since(
        std::string const& table, std::uint64_t version, bool include_removed) const;
    void serve_feed(net::http_exchange& exchange, std::map<std::string, std::string> const& query);
    void serve_transaction(net::http_exchange& exchange);

    std::map<std::string, table> m_tables;
    std::uint64_t m_version { 0 };
    // The feed has no history before this version.
    std::uint64_t m_oldest_version { 0 };
    std::uint64_t m_calls { 0 };
    bool m_is_down { false };
    bool m_loses_answers { false };
};

} // namespace shedhill::stand_ins
