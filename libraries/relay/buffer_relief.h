// SPDX-License-Identifier: BSD-2-Clause
// Selects whose buffered bytes are released when all peers together have reached the limit.
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

namespace shedhill::relay {

// The owner of buffered bytes: a caller's connection or a request.
struct buffer_holder {
    std::uint64_t number { 0 };
    std::size_t bytes { 0 };
};

// Returns the holders of the most bytes whose removal brings the buffered bytes down to the limit. Holders of few bytes
// are never among them: they do not fill the memory, and if many of them do, new requests are refused.
std::vector<buffer_holder> holders_to_release(
    std::vector<buffer_holder> holders, std::size_t buffered, std::size_t limit);

} // namespace shedhill::relay
