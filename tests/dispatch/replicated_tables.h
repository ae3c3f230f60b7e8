// SPDX-License-Identifier: BSD-2-Clause
// A store with one table, and routers that hold copies of it. Some of the routers watch the store; the others rely on
// what routers report. Tests decide on the order of changes, answers, reports, restarts and losses of the history.
#pragma once

#include "libraries/dispatch/store/table_watcher.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace shedhill::dispatch {

class replicated_tables {
public:
    // The first routers watch the store. A read returns pages of this many rows.
    replicated_tables(std::size_t watching_routers, std::size_t other_routers, std::size_t page_rows);

    // Changes of the table at the store.
    void put(std::string const& key);
    void remove(std::string const& key);
    // A change of another table.
    void change_other_table() { ++m_version; }
    // The store no longer has the changes up to now.
    void forget_history() { m_history_since = m_version; }

    // The router makes its next call, which the store executes at once. Nothing happens if a call is in flight or the
    // router has none to make.
    void call_store(std::size_t router);
    // The answer of the router's call arrives, if one is in flight.
    void deliver_answer(std::size_t router);
    // The router hears what another one announces, and requests and receives its rows if it announces a newer version.
    // Returns whether the router's rows or versions have changed.
    bool announce(std::size_t from, std::size_t to);
    // The router starts again without any rows. An answer that is in flight is lost.
    void restart(std::size_t router);

    // Lets the watching routers receive all changes, and then all routers hear each other until nothing changes.
    void settle();

    // Returns a difference between the router's rows and the table at the version of its rows, or at the version that
    // it announces; empty if there is none.
    [[nodiscard]] std::string find_fault(std::size_t router) const;
    // Returns a difference between the router's rows and the store's; empty if there is none.
    [[nodiscard]] std::string find_difference(std::size_t router) const;
    [[nodiscard]] table_watcher const& router(std::size_t index) const { return m_routers.at(index).watcher; }
    [[nodiscard]] std::size_t size() const { return m_routers.size(); }
    // The number of documents that routers have sent, and of the rows in them.
    [[nodiscard]] std::size_t reports() const { return m_reports; }
    [[nodiscard]] std::size_t reported_rows() const { return m_reported_rows; }

private:
    struct change {
        std::uint64_t version { 0 };
        bool is_removal { false };
    };
    // The store's answer to a call: a page of rows, or the refusal of a history that it no longer has.
    struct answer {
        bool is_history_gone { false };
        std::vector<table_watcher::changed_row> rows {};
        std::uint64_t version { 0 };
        bool has_more { false };
    };
    struct router_state {
        table_watcher watcher { watch_options {} };
        std::optional<answer> in_flight {};
    };

    [[nodiscard]] answer read_page(std::string const& after_key) const;
    [[nodiscard]] answer changes_since(std::uint64_t version) const;
    [[nodiscard]] bool is_watching(std::size_t router) const { return router < m_watching_routers; }
    static instant now() { return instant(milliseconds(1000)); }

    std::size_t m_watching_routers { 0 };
    std::size_t m_page_rows { 0 };
    std::uint64_t m_version { 1 };
    std::uint64_t m_history_since { 0 };
    // All changes of each key, the latest last.
    std::map<std::string, std::vector<change>> m_changes;
    std::vector<router_state> m_routers;
    std::size_t m_reports { 0 };
    std::size_t m_reported_rows { 0 };
};

} // namespace shedhill::dispatch
