// SPDX-License-Identifier: BSD-2-Clause
// Implements published_documents with one state for each kind of document.
#include "libraries/peering/published_documents.h"

#include <algorithm>

namespace shedhill::peering {

namespace {

// The shortest time between two requests for the same kind of document.
constexpr milliseconds request_interval { 400 };
constexpr std::uint32_t max_doublings = 3;

} // namespace

void published_documents::record_confirmed(document_kind kind, instant at)
{
    auto& state = state_of(kind);
    state.confirmed_at = std::max(state.confirmed_at, at);
}

void published_documents::record_version(document_kind kind, std::uint64_t reported, std::uint64_t own, instant now)
{
    auto& state = state_of(kind);
    if (reported <= own || state.newer_version > own)
        return;
    state.newer_version = reported;
    state.newer_version_seen_at = now;
}

milliseconds published_documents::time_behind(document_kind kind, std::uint64_t own, instant now) const
{
    auto const& state = state_of(kind);
    return state.newer_version > own ? now - state.newer_version_seen_at : milliseconds(0);
}

bool published_documents::try_request(document_kind kind, offer const& offered, instant now)
{
    auto& state = state_of(kind);
    if (state.requested_version != offered.version) {
        state.requests = 0;
        state.next_request_at = std::min(state.next_request_at, state.requested_at + request_interval);
    }
    if (now < state.next_request_at)
        return false;
    state.requested_at = now;
    // The list of endpoints is sent as changes, which are small, and must not be late.
    auto const doublings = kind == document_kind::configuration ? std::min(state.requests, max_doublings) : 0U;
    state.next_request_at = now + request_interval * (1U << doublings);
    state.requested_version = offered.version;
    ++state.requests;
    state.requested_router = offered.router;
    state.requested_confirmed_at = offered.confirmed_at;
    return true;
}

std::string const& published_documents::frame_for(document_request const& request, dispatch::table_watcher const& table)
{
    auto& state = state_of(request.kind);
    auto const version = table.changed_version();
    if (state.frame_version == version && state.frame_since == request.since)
        return state.frame;
    state.frame = encode_frame(document_message { request.kind, table.rows_since(request.since) });
    state.frame_version = version;
    state.frame_since = request.since;
    return state.frame;
}

} // namespace shedhill::peering
