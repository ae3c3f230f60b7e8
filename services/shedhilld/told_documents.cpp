// SPDX-License-Identifier: BSD-2-Clause
// One state for each kind of document.
#include "services/shedhilld/told_documents.h"

#include <algorithm>

namespace shedhill::daemon {

namespace {

constexpr milliseconds ask_interval { 400 };

} // namespace

void told_documents::note_confirmed(document_kind kind, instant at)
{
    auto& state = state_of(kind);
    state.confirmed_at = std::max(state.confirmed_at, at);
}

void told_documents::note_version(document_kind kind, std::uint64_t told, std::uint64_t own, instant now)
{
    auto& state = state_of(kind);
    if (told <= own || state.later_version > own)
        return;
    state.later_version = told;
    state.later_told_at = now;
}

milliseconds told_documents::behind_for(document_kind kind, std::uint64_t own, instant now) const
{
    auto const& state = state_of(kind);
    return state.later_version > own ? now - state.later_told_at : milliseconds(0);
}

bool told_documents::try_to_ask(document_kind kind, vm_name const& router, instant confirmed_at, instant now)
{
    auto& state = state_of(kind);
    if (now < state.ask_again_at)
        return false;
    state.ask_again_at = now + ask_interval;
    state.asked_router = router;
    state.asked_confirmed_at = confirmed_at;
    return true;
}

std::string const& told_documents::frame_for(
    peering::document_wanted const& wanted, dispatch::table_follower const& table)
{
    auto& state = state_of(wanted.kind);
    auto const version = table.changed_version();
    if (state.frame_version == version && state.frame_since == wanted.since)
        return state.frame;
    state.frame = peering::encode_frame(peering::document_message { wanted.kind, table.rows_since(wanted.since) });
    state.frame_version = version;
    state.frame_since = wanted.since;
    return state.frame;
}

} // namespace shedhill::daemon
