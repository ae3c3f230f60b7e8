// SPDX-License-Identifier: BSD-2-Clause
// Selects the holders of the most bytes first.
#include "libraries/relay/buffer_relief.h"

#include <algorithm>
#include <functional>

namespace shedhill::relay {

namespace {

// The least number of bytes, about a stream of a thousand events, for which a holder is selected. Fewer wait for any
// peer on a slow connection.
constexpr std::size_t min_released_bytes = 65536;

} // namespace

std::vector<buffer_holder> holders_to_release(
    std::vector<buffer_holder> holders, std::size_t buffered, std::size_t limit)
{
    std::ranges::sort(holders, std::greater(), &buffer_holder::bytes);
    std::vector<buffer_holder> released;
    for (auto const& holder : holders) {
        if (buffered <= limit || holder.bytes < min_released_bytes)
            break;
        buffered -= std::min(buffered, holder.bytes);
        released.push_back(holder);
    }
    return released;
}

} // namespace shedhill::relay
