// SPDX-License-Identifier: BSD-2-Clause
// Disconnects the callers with the most unread bytes first.
#include "libraries/relay/slow_readers.h"

#include <algorithm>
#include <functional>

namespace shedhill::relay {

namespace {

// The least number of unread bytes, about a stream of a thousand events, for which a caller is disconnected. Fewer wait
// for any caller on a slow connection.
constexpr std::size_t min_unread_bytes = 65536;

} // namespace

std::vector<std::uint64_t> readers_to_disconnect(
    std::vector<slow_reader> readers, std::size_t buffered, std::size_t limit)
{
    std::ranges::sort(readers, std::greater(), &slow_reader::unread_bytes);
    std::vector<std::uint64_t> callers;
    for (auto const& reader : readers) {
        if (buffered <= limit || reader.unread_bytes < min_unread_bytes)
            break;
        buffered -= std::min(buffered, reader.unread_bytes);
        callers.push_back(reader.caller);
    }
    return callers;
}

} // namespace shedhill::relay
