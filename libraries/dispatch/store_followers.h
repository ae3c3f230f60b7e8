// SPDX-License-Identifier: BSD-2-Clause
// Decides how the tables of the store that a router follows are asked for together: when each is called, for how long
// its answer is waited for, and which calls are given up because another table's call has shown something of the store.
#pragma once

#include "libraries/dispatch/table_follower.h"
#include "libraries/dispatch/types.h"

#include <array>
#include <optional>
#include <string_view>
#include <utility>
#include <vector>

namespace shedhill::dispatch {

// A call to be made now.
struct store_call {
    table_name table { table_name::configuration };
    table_follower::next_call asks;
    // Without a whole answer after this time it is given up.
    milliseconds limit { 0 };
};

// What a call has shown of this router's way to the store; for the log.
struct store_note {
    enum class what_happened { call_answered, call_failed, call_given_up, lost, regained };

    what_happened what { what_happened::call_failed };
    table_name table { table_name::configuration };
    // Of the call: why it failed, how long the store might hold it, and how long ago it was made.
    table_follower::failure reason { table_follower::failure::no_answer };
    milliseconds wait { 0 };
    milliseconds took { 0 };
    // Since the store last answered this router, for any table.
    milliseconds unheard { 0 };
};

[[nodiscard]] std::string_view name_of(table_name table);
[[nodiscard]] std::string_view name_of(table_follower::failure reason);

class store_followers {
public:
    static constexpr std::size_t tables = static_cast<std::size_t>(table_name::count);
    using options = std::array<follower_options, tables>;

    explicit store_followers(options const& made_with);

    [[nodiscard]] table_follower& of(table_name table) { return state_of(table).follower; }

    // What to call for the table now, if anything. It counts as under way until its end is taken.
    [[nodiscard]] std::optional<store_call> take_next(table_name table, instant now);
    // Whether the table's call under way is to be ended without an answer.
    [[nodiscard]] bool is_to_give_up(table_name table) const { return state_of(table).is_doubted; }

    table_follower::page_outcome take_page(table_name table, std::vector<table_follower::changed_row> const& rows,
        std::uint64_t version, bool has_more, instant now);
    void take_failure(table_name table, table_follower::failure what, instant now, std::uint64_t draw);

    // When the store last answered this router, for any table.
    [[nodiscard]] instant answered_at() const { return m_answered_at; }
    [[nodiscard]] std::vector<store_note> take_notes() { return std::exchange(m_notes, {}); }

private:
    struct table_state {
        explicit table_state(follower_options const& made_with)
            : follower(made_with)
        {
        }

        table_follower follower;
        bool is_calling { false };
        instant called_at {};
        milliseconds wait { 0 };
        // The call under way is to be given up.
        bool is_doubted { false };
    };

    [[nodiscard]] table_state& state_of(table_name table) { return m_states.at(static_cast<std::size_t>(table)); }
    [[nodiscard]] table_state const& state_of(table_name table) const
    {
        return m_states.at(static_cast<std::size_t>(table));
    }
    void take_list_change(bool was_failing);
    void note(store_note::what_happened what, table_name table, table_follower::failure reason, instant now);

    std::array<table_state, tables> m_states;
    instant m_answered_at {};
    std::vector<store_note> m_notes;
};

} // namespace shedhill::dispatch
