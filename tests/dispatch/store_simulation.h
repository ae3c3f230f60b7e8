// SPDX-License-Identifier: BSD-2-Clause
// Simulates a router's store watchers and a store with outages in virtual time, and measures when the router receives
// each change. The store behaves as badly as the platform's guarantees allow: a call that it does not answer never
// ends.
#pragma once

#include "libraries/dispatch/store/store_watchers.h"

#include <array>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace shedhill::dispatch {

enum class store_fault {
    none,
    // Calls that arrive during the outage, and long polls that wait at its start, are never answered.
    silent,
    // Calls are refused at once.
    busy,
    // Connections are reset.
    resetting,
    // Answers take a quarter of a second.
    slow,
    // About a third of the answers are lost.
    losing_answers,
};

struct store_outage {
    store_fault fault { store_fault::none };
    instant from {};
    instant until {};
};

// A change of one row.
struct store_change {
    table_name table { table_name::configuration };
    instant at {};
};

class store_simulation {
public:
    store_simulation(watch_terms const& terms, std::vector<store_outage> outages, std::vector<store_change> changes,
        std::uint64_t seed);

    // Runs the simulation until the given time. The router's event loop ticks every 20 ms.
    void run_until(instant end);
    // Returns the time from a change, or from the end of the last outage that delayed it, until the router received the
    // change. Returns nothing if the router did not receive it.
    [[nodiscard]] std::optional<milliseconds> time_to_receive(std::size_t change) const;
    [[nodiscard]] std::size_t calls() const { return m_calls; }
    // Returns the number of calls since the last call of this function.
    [[nodiscard]] std::size_t take_calls() { return std::exchange(m_calls, 0); }
    [[nodiscard]] std::vector<store_event> const& events() const { return m_events; }
    [[nodiscard]] store_watchers& watchers() { return m_watchers; }

private:
    // A call in flight. The store receives it at once, and its answer takes some milliseconds.
    struct pending_call {
        store_call call;
        instant sent_at {};
        // The time at which the answer reaches the router; empty while a long poll waits at the store, and if no
        // answer arrives.
        std::optional<instant> answered_at;
        std::vector<table_watcher::changed_row> rows;
        std::uint64_t version { 0 };
        std::optional<table_watcher::failure> failure;
        bool is_unanswered { false };
    };

    void apply_changes();
    void tick(table_name table);
    void serve(pending_call& pending);
    void answer(pending_call& pending);
    void fail(pending_call& pending, table_watcher::failure failure_kind);
    void end_call(table_name table);
    void record_received();
    [[nodiscard]] store_fault fault_at(instant time) const;
    [[nodiscard]] std::vector<table_watcher::changed_row> rows_since(table_name table, std::uint64_t since) const;

    store_watchers m_watchers;
    std::vector<store_outage> m_outages;
    std::vector<store_change> m_changes;
    std::mt19937_64 m_random;
    instant m_now { milliseconds(1000) };
    std::uint64_t m_version { 1 };
    std::array<std::map<std::string, std::uint64_t>, table_count> m_rows;
    std::array<std::optional<pending_call>, table_count> m_pending;
    // Indexed by change, in the order of their times.
    std::vector<std::uint64_t> m_change_versions;
    std::vector<std::optional<instant>> m_received_at;
    std::size_t m_applied_changes { 0 };
    std::size_t m_calls { 0 };
    std::vector<store_event> m_events;
};

} // namespace shedhill::dispatch
