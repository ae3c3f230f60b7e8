// SPDX-License-Identifier: BSD-2-Clause
// The limits of what this process keeps of one peer's bytes. The limit of the sum over all peers is in
// buffered_bytes.h. docs/CAPACITY.md has a table of all places.
#pragma once

#include "libraries/framing/message_head.h"

#include <cstddef>

namespace shedhill::relay {

using framing::max_answer_head_bytes;
// An answer that is no stream is withheld up to this size, so that another endpoint can be tried if it breaks off. One
// with a greater length is forwarded as it arrives; one of unknown length that exceeds it is invalid.
constexpr std::size_t max_withheld_bytes = 4U << 20U;
// One event of a stream, including comments before it.
constexpr std::size_t max_event_bytes = 1U << 20U;
// While more bytes than this wait for a caller to read them, no more of its answer is read from the endpoint.
constexpr std::size_t max_lag_bytes = 256U << 10U;
// The bytes that a caller may pipeline while an answer is in progress.
constexpr std::size_t max_pipelined_bytes = 65536;
// One answer of the store.
constexpr std::size_t max_store_answer_bytes = 16U << 20U;

} // namespace shedhill::relay
