// SPDX-License-Identifier: BSD-2-Clause
// Encodes and decodes messages. A frame on TCP is a four-byte little-endian length followed by a FlatBuffers buffer.
#pragma once

#include "base/error.h"
#include "libraries/wire/messages.h"

#include <cstddef>
#include <string>
#include <string_view>

namespace shedhill::wire {

// Sizes in bytes. The maximum does not include the length prefix.
constexpr std::size_t length_prefix_size = 4;
constexpr std::size_t max_frame_size = std::size_t { 16 } << 20;

// Returns the complete frame, including the length prefix.
std::string encode(message const& sent);

// Decodes a length prefix. Returns an error if the length is 0 or exceeds max_frame_size.
result<std::size_t> decode_length(std::string_view prefix);

// Verifies and decodes the buffer that follows the length prefix.
result<message> decode(std::string_view buffer);

// The name of the message's type, for logs.
std::string_view name_of(message const& any);

} // namespace shedhill::wire
