// SPDX-License-Identifier: BSD-2-Clause
// Selects the callers that are disconnected when too many bytes are buffered for callers that read slowly.
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

namespace shedhill::relay {

struct slow_reader {
    // The number of the caller's connection.
    std::uint64_t caller { 0 };
    // Bytes of answers that wait for the caller to read them.
    std::size_t unread_bytes { 0 };
};

// Returns the callers with the most unread bytes whose removal brings the buffered bytes down to the limit. Callers
// with few unread bytes are never among them: they do not fill the memory, and if requests fill it, new ones are
// refused.
std::vector<std::uint64_t> readers_to_disconnect(
    std::vector<slow_reader> readers, std::size_t buffered, std::size_t limit);

} // namespace shedhill::relay
