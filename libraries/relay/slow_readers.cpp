// SPDX-License-Identifier: BSD-2-Clause
// The largest first.
#include "libraries/relay/slow_readers.h"

#include <algorithm>
#include <functional>

namespace shedhill::relay {

namespace {

// A stream of a thousand events; less than that waits for anybody on a slow line.
constexpr std::size_t little_unread = 65536;

} // namespace

std::vector<std::uint64_t> readers_to_end(std::vector<waiting_reader> readers, std::size_t held, std::size_t limit)
{
    std::ranges::sort(readers, std::greater(), &waiting_reader::unread);
    std::vector<std::uint64_t> ended;
    for (auto const& reader : readers) {
        if (held <= limit || reader.unread < little_unread)
            break;
        held -= std::min(held, reader.unread);
        ended.push_back(reader.caller);
    }
    return ended;
}

} // namespace shedhill::relay
