// SPDX-License-Identifier: BSD-2-Clause
// The engines of a router's metrics text, a row each: pace, what waits to be read, how full the memory is, and why it
// gets no new work. A plain endpoint has a row where it is held back.
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
    double tokens_per_ms { 0 };
    std::uint64_t running { 0 };
    std::uint64_t unread_tokens { 0 };
    std::uint64_t held_tokens { 0 };
    // 0 where the configuration does not tell it.
    std::uint64_t memory_tokens { 0 };
    // Why it gets no new work, or less, and for how many milliseconds more where that is known: "resting 1800, ejected
    // 0".
    std::string held;
};

// By endpoint. Lines that are not understood are skipped.
std::vector<engine_row> read_engines(std::string_view text);

} // namespace shedhill::diagnosis
