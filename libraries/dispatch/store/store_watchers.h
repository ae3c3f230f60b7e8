// SPDX-License-Identifier: BSD-2-Clause
// Decides when a router calls the store for each watched table, how long it waits for the answer, and which calls it
// abandons because of the result of another call.
//
// A long poll does not show whether the store is available: until its wait is over, an outage looks like a table
// without changes. So the router makes a long poll only after the store has answered the previous call of the table. In
// three cases a long poll may be stalled. The router then abandons it and calls the store again for an immediate
// answer:
// - A call of another table failed, after all calls had been answered. From then on, the tables take turns to probe.
// - A call of another table was answered, after none had been.
// - The answer for another table contains a version of the store that no received row explains.
// So the router receives a change that was committed after an outage within half a second, although long polls take
// seconds.
#pragma once

#include "libraries/dispatch/store/store_versions.h"
#include "libraries/dispatch/store/table_watcher.h"
#include "libraries/dispatch/store/watch_terms.h"
#include "libraries/dispatch/types.h"

#include <array>
#include <optional>
#include <string_view>
#include <utility>
#include <vector>

namespace shedhill::dispatch {

// A call that the router is to make now.
struct store_call {
    table_name table { table_name::configuration };
    table_watcher::next_call request;
    // The call is aborted if it has no complete answer after this time.
    milliseconds limit { 0 };
};

// The result of a call, or a change of the store's availability to this router, for the log and the metrics.
struct store_event {
    enum class event_kind { call_answered, call_failed, call_abandoned, lost, regained };

    event_kind kind { event_kind::call_failed };
    table_name table { table_name::configuration };
    // The reason of the call's failure, the time for which the store could hold the call, and the time since its start.
    table_watcher::failure reason { table_watcher::failure::no_answer };
    milliseconds wait { 0 };
    milliseconds elapsed { 0 };
    // The time since the store last answered this router for any table.
    milliseconds since_last_answer { 0 };
};

[[nodiscard]] std::string_view name_of(table_name table);
[[nodiscard]] std::string_view name_of(table_watcher::failure reason);

class store_watchers {
public:
    // NOTE: A slow store takes long for every call; with a shorter timeout, no call would succeed.
    static constexpr milliseconds answer_timeout { 900 };
    // The timeout of a long poll is its wait plus a margin of twice the last answer time, within these limits. If the
    // margin is too short, the next call requests an immediate answer and has the whole answer_timeout. Together with
    // the wait of the list's long polls (1.35 s) and the calls that follow, the maximum margin is within the smallest
    // bound in use (2 s).
    static constexpr milliseconds min_long_poll_margin { 300 };
    static constexpr milliseconds max_long_poll_margin { 500 };

    explicit store_watchers(watch_terms const& terms);

    // Replaces the terms from now on.
    void set_terms(watch_terms const& terms, instant now);

    [[nodiscard]] table_watcher& of(table_name table) { return state_of(table).watcher; }

    // Returns the call to make for the table now, if any. It counts as in flight until its page or failure is applied.
    [[nodiscard]] std::optional<store_call> take_next(table_name table, instant now);
    // Whether the caller is to end the table's call in flight without waiting for its answer.
    [[nodiscard]] bool should_abandon(table_name table, instant now);

    table_watcher::page_outcome apply_page(table_name table, std::vector<table_watcher::changed_row> const& rows,
        std::uint64_t version, bool has_more, instant now);
    void apply_failure(table_name table, table_watcher::failure reason, instant now, std::uint64_t draw);

    // Whether the store has answered no call since one failed.
    [[nodiscard]] bool is_lost() const { return m_is_lost; }
    // Returns the time at which the store last answered this router for any table.
    [[nodiscard]] instant answered_at() const { return m_answered_at; }
    [[nodiscard]] std::vector<store_event> take_events() { return std::exchange(m_events, {}); }

private:
    // The reason to abandon the call in flight.
    enum class abandon_reason { none, store_lost, newer_version };

    struct table_state {
        table_watcher watcher;
        bool is_calling { false };
        instant called_at {};
        // The time for which the store may hold the call in flight.
        milliseconds wait { 0 };
        abandon_reason abandoned_for { abandon_reason::none };
        // The rows may be stale, so the next call ignores the poll interval and requests an immediate answer.
        bool may_be_stale { false };
        // The call in flight was made because of a newer version of the store.
        bool is_for_newer_version { false };
        // The call in flight reads the complete table page by page.
        bool is_full_read { false };
        // The number of successive failed reads of the complete table.
        std::uint32_t failed_reads { 0 };
        // The time at which the last call was answered.
        instant answered_at {};
        // The time of the next call after a failure while the calls of other tables are answered.
        instant retry_at {};
    };

    [[nodiscard]] table_state& state_of(table_name table) { return m_states.at(static_cast<std::size_t>(table)); }
    [[nodiscard]] table_state const& state_of(table_name table) const
    {
        return m_states.at(static_cast<std::size_t>(table));
    }
    // Returns the conditions of a call of the table now, or nothing if the table is not to be called.
    [[nodiscard]] std::optional<call_terms> terms_for_call(table_name table, instant now) const;
    [[nodiscard]] std::optional<call_terms> terms_for_probe(table_name table, instant now) const;
    // Whether this router watches the table: if it is a watcher, or if it has no rows of the table yet.
    [[nodiscard]] bool should_watch(table_state const& state) const;
    // Returns the table that probes next while the store does not answer; table_name::watched_count if there is none.
    [[nodiscard]] table_name next_probe() const;
    enum class which_calls { long_polls, all };
    void abandon_other_calls(table_name table, which_calls which);
    void end_abandoned_call(table_state& state, table_name table, abandon_reason abandoned_for, instant now);
    void record_store_lost(table_name table, table_watcher::failure reason, instant now);
    void record_store_regained(table_name table, instant now);
    void update_long_poll_margin(table_state const& state, bool is_empty, instant now);
    void abandon_stale_long_poll(instant now);
    void update_version_check_pause(table_state& state, bool is_empty);
    void add_event(store_event::event_kind kind, table_name table, table_watcher::failure reason, instant now);

    watch_terms m_terms;
    std::array<table_state, table_count> m_states;
    store_versions m_versions;
    milliseconds m_long_poll_margin { min_long_poll_margin };
    // Invariant: false from an answer until the first failure of a table after it.
    bool m_is_lost { false };
    instant m_next_probe_at {};
    // The earliest time at which a call may be abandoned for a newer version, and the pause between two such calls,
    // which grows while they bring no changes.
    instant m_next_version_check_at {};
    milliseconds m_version_check_pause { 0 };
    // Until this time after a failure, long polls have a short wait.
    instant m_short_polls_until {};
    instant m_answered_at {};
    std::vector<store_event> m_events;
};

} // namespace shedhill::dispatch
