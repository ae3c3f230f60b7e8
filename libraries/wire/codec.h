// SPDX-License-Identifier: BSD-2-Clause
// Turns messages into FlatBuffers frames and back. A frame on TCP is a four-byte little-endian length and the buffer.
#pragma once

#include "base/error.h"
#include "libraries/wire/messages.h"

#include <cstddef>
#include <string>
#include <string_view>

namespace shedhill::wire {

constexpr std::size_t length_prefix_size = 4;
constexpr std::size_t most_frame_size = std::size_t { 16 } << 20;

// The whole frame, length first.
std::string encode(message const& sent);

// Reads the length of a frame; refuses one that is empty or too long.
result<std::size_t> decode_length(std::string_view prefix);

// Verifies and decodes what follows the length.
result<message> decode(std::string_view buffer);

std::string_view name_of(message const& any);

} // namespace shedhill::wire
