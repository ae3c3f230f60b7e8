// SPDX-License-Identifier: BSD-2-Clause
// What other routers have told of the documents that routers pass on, when a later one was asked for, and a document as
// it was last passed on: many routers ask for the same at once.
#pragma once

#include "libraries/dispatch/store/table_follower.h"
#include "libraries/peering/peer_message.h"

#include <array>
#include <string>

namespace shedhill::daemon {

class published_documents {
public:
    using document_kind = peering::document_kind;

    // The store has confirmed to another router the version that is known here.
    void record_confirmed(document_kind kind, instant at);
    [[nodiscard]] instant confirmed_at(document_kind kind) const { return state_of(kind).confirmed_at; }

    // Another router knows this version of the document; this one has its own.
    void record_version(document_kind kind, std::uint64_t reported, std::uint64_t own, instant now);
    // For how long another router is known to have a later version than the own one.
    [[nodiscard]] milliseconds time_behind(document_kind kind, std::uint64_t own, instant now) const;

    // Whether a later version may be asked for now; if so, it counts as asked for, of a router to which the store
    // confirmed it then.
    [[nodiscard]] bool try_request(document_kind kind, vm_name const& router, instant confirmed_at, instant now);
    // Who was asked last, and when the store had confirmed the document to it.
    [[nodiscard]] vm_name const& requested_router(document_kind kind) const { return state_of(kind).requested_router; }
    [[nodiscard]] instant requested_confirmed_at(document_kind kind) const
    {
        return state_of(kind).requested_confirmed_at;
    }

    // The frame that passes on what the asking router needs of the table.
    [[nodiscard]] std::string const& frame_for(
        peering::document_wanted const& request, dispatch::table_follower const& table);

private:
    struct document_state {
        instant confirmed_at {};
        instant next_request_at {};
        // The first later version that another router told, since the own one was as late; and when.
        std::uint64_t newer_version { 0 };
        instant newer_version_seen_at {};
        vm_name requested_router;
        instant requested_confirmed_at {};
        // Of what the frame holds, and since when it tells the changes.
        std::uint64_t frame_version { 0 };
        std::uint64_t frame_since { 0 };
        std::string frame;
    };

    [[nodiscard]] document_state& state_of(document_kind kind) { return m_states.at(static_cast<std::size_t>(kind)); }
    [[nodiscard]] document_state const& state_of(document_kind kind) const
    {
        return m_states.at(static_cast<std::size_t>(kind));
    }

    std::array<document_state, static_cast<std::size_t>(document_kind::count)> m_states {};
};

} // namespace shedhill::daemon
