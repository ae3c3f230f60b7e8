// SPDX-License-Identifier: BSD-2-Clause
// Decides when each table of the store that a router follows is asked, for how long an answer is waited for, and which
// calls are given up because another one has shown something of the store.
//
// A call that the store may hold cannot show that the store is there: no answer and nothing new look alike until its
// time is over. So none is held unless the store has answered the call before it. Three things show that the answer to
// a held call may never come, and the table is asked anew at once, for an answer at once:
// - a call of another table failed, after all had been answered: from then on the tables take turns to probe;
// - a call of another table was answered, after none had been;
// - another table's answer tells a version of the store that no row which has been told explains.
// So a change that was confirmed after an outage is known within half a second of it, though calls are held for
// seconds.
#pragma once

#include "libraries/dispatch/store/follow_terms.h"
#include "libraries/dispatch/store/store_versions.h"
#include "libraries/dispatch/store/table_follower.h"
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

// What a call has shown of this router's way to the store; for the log and the counters.
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
    // NOTE: A slow store takes long over every call; giving up early would mean never to hear it.
    static constexpr milliseconds answer_limit { 900 };
    // Beyond the time that it may be held, a call is given twice what the last one took of it, within these limits. If
    // that is too little, the next one is answered at once, and has the whole limit. With the time that the list's
    // calls are held (1.35 s) and the calls that follow, the greater one is within the smallest bound in use (2 s).
    static constexpr milliseconds held_answer_limit { 300 };
    static constexpr milliseconds longest_held_answer_limit { 500 };

    explicit store_followers(follow_terms const& terms);

    // From now on.
    void set_terms(follow_terms const& terms, instant now);

    [[nodiscard]] table_follower& of(table_name table) { return state_of(table).follower; }

    // What to call for the table now, if anything. It counts as under way until its end is taken.
    [[nodiscard]] std::optional<store_call> take_next(table_name table, instant now);
    // Whether the table's call under way is to be ended without an answer.
    [[nodiscard]] bool is_to_give_up(table_name table, instant now);

    table_follower::page_outcome take_page(table_name table, std::vector<table_follower::changed_row> const& rows,
        std::uint64_t version, bool has_more, instant now);
    void take_failure(table_name table, table_follower::failure what, instant now, std::uint64_t draw);

    // No call was answered since one failed.
    [[nodiscard]] bool is_lost() const { return m_is_lost; }
    // When the store last answered this router, for any table.
    [[nodiscard]] instant answered_at() const { return m_answered_at; }
    [[nodiscard]] std::vector<store_note> take_notes() { return std::exchange(m_notes, {}); }

private:
    // Why the call under way is to be given up.
    enum class doubt_kind { none, store_lost, newer_version };

    struct table_state {
        table_follower follower;
        bool is_calling { false };
        instant called_at {};
        // How long the store may hold the call under way.
        milliseconds wait { 0 };
        doubt_kind doubt { doubt_kind::none };
        // The rows may be out of date: the next call is answered at once, and does not wait for its pace.
        bool is_doubtful { false };
        // The call under way was made because of a newer version.
        bool is_asked_for_version { false };
        // The call under way reads the table whole, a page after another.
        bool is_reading { false };
        // Reads of the whole table that have failed, one after another.
        std::uint32_t failed_reads { 0 };
        // When the last call was answered.
        instant answered_at {};
        // A table that fails while the others are answered is asked again then.
        instant retry_at {};
    };

    [[nodiscard]] table_state& state_of(table_name table) { return m_states.at(static_cast<std::size_t>(table)); }
    [[nodiscard]] table_state const& state_of(table_name table) const
    {
        return m_states.at(static_cast<std::size_t>(table));
    }
    // How the table is asked now; none if it is not its time.
    [[nodiscard]] std::optional<call_terms> terms_of_call(table_name table, instant now) const;
    [[nodiscard]] std::optional<call_terms> terms_of_probe(table_name table, instant now) const;
    // Whether the table is asked beyond its pace: by routers that follow the store, and by all before they know it.
    [[nodiscard]] bool is_wanted(table_state const& state) const;
    // Whose turn it is while the store answers nothing.
    [[nodiscard]] table_name next_probe() const;
    enum class which_calls { held, all };
    void give_up_others(table_name table, which_calls which);
    void take_given_up(table_state& state, table_name table, doubt_kind doubt, instant now);
    void note_lost(table_name table, table_follower::failure reason, instant now);
    void note_regained(table_name table, instant now);
    void note_answer_time(table_state const& state, bool is_empty, instant now);
    void doubt_what_is_behind(instant now);
    void note_doubt_answered(table_state& state, bool is_empty);
    void note(store_note::what_happened what, table_name table, table_follower::failure reason, instant now);

    follow_terms m_terms;
    std::array<table_state, table_count> m_states;
    store_versions m_versions;
    milliseconds m_held_limit { held_answer_limit };
    // Invariant: false from an answer until a table's first failure after it.
    bool m_is_lost { false };
    instant m_next_probe_at {};
    // No call is given up for a newer version before this, and by how much later after one that brought nothing new.
    instant m_next_doubt_at {};
    milliseconds m_doubt_pause { 0 };
    // Until then calls are held for a short time only.
    instant m_watchful_until {};
    instant m_answered_at {};
    std::vector<store_note> m_notes;
};

} // namespace shedhill::dispatch
