// SPDX-License-Identifier: BSD-2-Clause
// Reads the engines from a router's metrics text into one row per engine: its prefill rate, pending prefill, KV memory
// in use, and the reasons why it receives fewer or no new requests. A plain service has a row only if there are such
// reasons.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace shedhill::diagnosis {

struct engine_row {
    std::string endpoint;
    std::string pool;
    std::string domain;
    // The prefill rate.
    double tokens_per_ms { 0 };
    // The number of running requests.
    std::uint64_t running { 0 };
    // Prompt tokens of requests that were sent and have no first event yet.
    std::uint64_t pending_prefill_tokens { 0 };
    // Tokens of running requests in the engine's KV memory.
    std::uint64_t kv_tokens { 0 };
    // The capacity of the engine's KV memory in tokens; 0 if it is not configured.
    std::uint64_t kv_capacity_tokens { 0 };
    // The reasons why the engine receives fewer or no new requests, each with its remaining time in milliseconds or 0
    // if that is unknown: "resting 1800, ejected 0". Empty if there are none.
    std::string hold_reasons;
};

// Returns the rows ordered by endpoint name. Lines that cannot be parsed are skipped.
std::vector<engine_row> read_engines(std::string_view text);

} // namespace shedhill::diagnosis
