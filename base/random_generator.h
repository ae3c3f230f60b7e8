// SPDX-License-Identifier: BSD-2-Clause
// Pseudo-random numbers for one step of a reducer (splitmix64), seeded by the random number that the event carries.
#pragma once

#include <cstddef>
#include <cstdint>

namespace shedhill {

class random_generator {
public:
    explicit random_generator(std::uint64_t seed)
        : m_state(seed)
    {
    }

    std::uint64_t next()
    {
        m_state += 0x9E3779B97F4A7C15ULL;
        auto mixed = m_state;
        mixed = (mixed ^ (mixed >> 30)) * 0xBF58476D1CE4E5B9ULL;
        mixed = (mixed ^ (mixed >> 27)) * 0x94D049BB133111EBULL;
        return mixed ^ (mixed >> 31);
    }

    // Returns a number from 0 to bound - 1. The bound must not be zero.
    std::size_t next_below(std::size_t bound) { return static_cast<std::size_t>(next() % bound); }

private:
    std::uint64_t m_state;
};

} // namespace shedhill
