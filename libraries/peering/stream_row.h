// SPDX-License-Identifier: BSD-2-Clause
// A row in the store's table of streams: which software version began each of some streams.
#pragma once

#include "libraries/dispatch/streams/stream_directory.h"

#include <string>
#include <string_view>
#include <vector>

namespace shedhill::peering {

// A row of this many records has about 6 kB, which is written again for each change.
constexpr std::size_t max_streams_per_row = 320;

// Formats the records: a line for each software version, "SOFTWARE STREAM STREAM ...", with the streams in hexadecimal.
std::string to_stream_row(std::vector<dispatch::stream_record> const& streams);
// Parses a row. What is not valid is skipped. The records say nothing of the time that is left.
std::vector<dispatch::stream_record> parse_stream_row(std::string_view text);

} // namespace shedhill::peering
