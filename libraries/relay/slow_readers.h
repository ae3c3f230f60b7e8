// SPDX-License-Identifier: BSD-2-Clause
// Which callers' answers are broken off when too much is held for callers that read slowly.
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

namespace shedhill::relay {

struct waiting_reader {
    // Of the caller's connection.
    std::uint64_t caller { 0 };
    // Bytes of answers that wait for it to read.
    std::size_t unread { 0 };
};

// Those with the most unread bytes, until no more than the limit is held. Nobody with little unread is among them: they
// are not what fills the memory, and where requests fill it new ones are refused.
std::vector<std::uint64_t> readers_to_end(std::vector<waiting_reader> readers, std::size_t held, std::size_t limit);

} // namespace shedhill::relay
