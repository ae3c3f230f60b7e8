// SPDX-License-Identifier: BSD-2-Clause
// Describes how an endpoint's answer was framed and what ended it. Only some endings prove that the answer is whole.
#pragma once

#include <cstdint>
#include <string_view>

namespace shedhill::dispatch {

// The framing tells how an answer's head marks the end of its body.
enum class answer_framing {
    // No head was received.
    none,
    length,
    chunks,
    // The body ends with the connection.
    connection,
};

enum class answer_stop {
    // The attempt ended before the endpoint sent anything that ends an answer.
    none,
    // The body reached the end that its head or its chunks mark.
    framing,
    // The endpoint closed the connection.
    closed,
    // The connection was reset or failed otherwise.
    reset,
    // The endpoint sent bytes that are not an answer to this call.
    invalid,
};

struct answer_ending {
    answer_framing framing { answer_framing::none };
    answer_stop stop { answer_stop::none };
    // The bytes that were received after the last complete event of a stream.
    std::uint32_t partial_bytes { 0 };
};

constexpr std::string_view name_of(answer_framing framing)
{
    switch (framing) {
    case answer_framing::none:
        return "none";
    case answer_framing::length:
        return "length";
    case answer_framing::chunks:
        return "chunks";
    case answer_framing::connection:
        return "connection";
    }
    return "invalid";
}

constexpr std::string_view name_of(answer_stop stop)
{
    switch (stop) {
    case answer_stop::none:
        return "none";
    case answer_stop::framing:
        return "framing";
    case answer_stop::closed:
        return "closed";
    case answer_stop::reset:
        return "reset";
    case answer_stop::invalid:
        return "invalid";
    }
    return "invalid";
}

} // namespace shedhill::dispatch
