// SPDX-License-Identifier: BSD-2-Clause
// Tracks the versions of the shared documents that other routers report, and when this router last requested a newer
// one. Caches the frame in which it last sent each document, because many routers request the same one at once.
#pragma once

#include "libraries/dispatch/store/table_watcher.h"
#include "libraries/peering/peer_message.h"

#include <array>
#include <cstdint>
#include <string>

namespace shedhill::peering {

class published_documents {
public:
    // Records that the store confirmed to another router the version that this router holds.
    void record_confirmed(document_kind kind, instant at);
    [[nodiscard]] instant confirmed_at(document_kind kind) const { return state_of(kind).confirmed_at; }

    // Records that another router holds the reported version of the document while this router holds its own.
    void record_version(document_kind kind, std::uint64_t reported, std::uint64_t own, instant now);
    // Returns the time since another router first reported a newer version than the own one; 0 if none has.
    [[nodiscard]] milliseconds time_behind(document_kind kind, std::uint64_t own, instant now) const;

    // A version of a document that another router offers, and when the store confirmed it to that router.
    struct offer {
        vm_name router;
        std::uint64_t version { 0 };
        instant confirmed_at {};
    };
    // Returns whether the offered version may be requested now, and if so records the request. The same version of
    // the configuration is requested again after a time that doubles with each request, because a large document that
    // is on its way would otherwise be sent several times over the same link.
    [[nodiscard]] bool try_request(document_kind kind, offer const& offered, instant now);
    // The router from which a document was last requested, and when the store had confirmed the document to it.
    [[nodiscard]] vm_name const& requested_router(document_kind kind) const { return state_of(kind).requested_router; }
    [[nodiscard]] instant requested_confirmed_at(document_kind kind) const
    {
        return state_of(kind).requested_confirmed_at;
    }

    // Returns the encoded frame with what the requesting router needs of the table.
    [[nodiscard]] std::string const& frame_for(document_request const& request, dispatch::table_watcher const& table);

private:
    struct document_state {
        instant confirmed_at {};
        instant requested_at {};
        instant next_request_at {};
        // The version requested last, and the number of requests for it.
        std::uint64_t requested_version { 0 };
        std::uint32_t requests { 0 };
        // The first version newer than the own one that another router reported, and when it did.
        std::uint64_t newer_version { 0 };
        instant newer_version_seen_at {};
        vm_name requested_router;
        instant requested_confirmed_at {};
        // The table version that the frame holds, and the version after which it holds the changes.
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

} // namespace shedhill::peering
