// SPDX-License-Identifier: BSD-2-Clause
// A router's followers before a store that is in trouble for a while, in virtual time: when does the router know what
// the store holds? The store keeps to what the platform promises, at its worst: what it does not answer stays silent.
#pragma once

#include "libraries/dispatch/store/store_watchers.h"

#include <array>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace shedhill::dispatch {

enum class store_trouble {
    none,
    // Calls that come or are held meanwhile are never answered.
    silent,
    // They are refused at once.
    busy,
    // Their connections are reset.
    resetting,
    // Answers take a quarter of a second.
    slow,
    // Answers given meanwhile are lost, about a third of them.
    losing,
};

struct store_outage {
    store_trouble trouble { store_trouble::none };
    instant from {};
    instant until {};
};

// A row changes.
struct store_change {
    table_name table { table_name::configuration };
    instant at {};
};

class store_play {
public:
    store_play(watch_terms const& terms, std::vector<store_outage> outages, std::vector<store_change> changes,
        std::uint64_t seed);

    // Until that time. The router's loop ticks each 20 ms.
    void play_until(instant end);
    // How long after a change was made, or the last trouble before it or at it had ended, the router knew it; none if
    // it never did.
    [[nodiscard]] std::optional<milliseconds> time_to_know(std::size_t change) const;
    [[nodiscard]] std::size_t calls() const { return m_calls; }
    // Since the calls were last counted.
    [[nodiscard]] std::size_t take_calls() { return std::exchange(m_calls, 0); }
    [[nodiscard]] std::vector<store_event> const& notes() const { return m_notes; }
    [[nodiscard]] store_watchers& followers() { return m_followers; }

private:
    // A call on its way; the store has it at once, and its answer takes some milliseconds.
    struct pending_call {
        store_call call;
        instant made_at {};
        // When the answer reaches the router, and what it holds; none while it is held or never comes.
        std::optional<instant> answered_at;
        std::vector<table_watcher::changed_row> rows;
        std::uint64_t version { 0 };
        std::optional<table_watcher::failure> failure;
        bool is_unheard { false };
    };

    void make_changes();
    void tick(table_name table);
    void serve(pending_call& pending);
    void answer(pending_call& pending);
    void fail(pending_call& pending, table_watcher::failure what);
    void end_call(table_name table);
    void note_known();
    [[nodiscard]] store_trouble trouble_at(instant time) const;
    [[nodiscard]] std::vector<table_watcher::changed_row> rows_since(table_name table, std::uint64_t since) const;

    store_watchers m_followers;
    std::vector<store_outage> m_outages;
    std::vector<store_change> m_changes;
    std::mt19937_64 m_random;
    instant m_now { milliseconds(1000) };
    std::uint64_t m_version { 1 };
    std::array<std::map<std::string, std::uint64_t>, table_count> m_rows;
    std::array<std::optional<pending_call>, table_count> m_pending;
    // By change.
    std::vector<std::uint64_t> m_change_versions;
    std::vector<std::optional<instant>> m_known_at;
    std::size_t m_made { 0 };
    std::size_t m_calls { 0 };
    std::vector<store_event> m_notes;
};

} // namespace shedhill::dispatch
