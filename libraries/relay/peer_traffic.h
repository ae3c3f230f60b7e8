// SPDX-License-Identifier: BSD-2-Clause
// Counts the messages between routers by kind and direction, which shows operators the kind whose traffic grows with
// the fleet.
#pragma once

#include "libraries/peering/peer_message.h"

#include <array>
#include <cstdint>
#include <string_view>

namespace shedhill::relay {

enum class traffic_kind {
    // A router's own state, sent to its domain peers, or to all other routers in a full mesh.
    own_state,
    // Sums of a failure domain, sent to other failure domains.
    domain_sums,
    // Sums of other failure domains, forwarded to the domain peers.
    passed_on,
    // Documents of the store, and requests for documents or links.
    documents,
    count,
};

constexpr std::string_view name_of(traffic_kind kind)
{
    switch (kind) {
    case traffic_kind::own_state:
        return "own_state";
    case traffic_kind::domain_sums:
        return "domain_sums";
    case traffic_kind::passed_on:
        return "passed_on";
    case traffic_kind::documents:
        return "documents";
    case traffic_kind::count:
        break;
    }
    return "none";
}

[[nodiscard]] traffic_kind kind_of(peering::peer_message const& message);

struct traffic_count {
    std::uint64_t messages { 0 };
    std::uint64_t bytes { 0 };

    void add(std::size_t size)
    {
        ++messages;
        bytes += size;
    }
};

// The counts since the start of the process, indexed by traffic_kind.
struct peer_traffic {
    static constexpr std::size_t kinds = static_cast<std::size_t>(traffic_kind::count);

    std::array<traffic_count, kinds> sent {};
    std::array<traffic_count, kinds> received {};

    [[nodiscard]] traffic_count& sent_of(traffic_kind kind) { return sent.at(static_cast<std::size_t>(kind)); }
    [[nodiscard]] traffic_count& received_of(traffic_kind kind) { return received.at(static_cast<std::size_t>(kind)); }
};

} // namespace shedhill::relay
