// SPDX-License-Identifier: BSD-2-Clause
// Checks internal invariants. A violation is a programming error; input is validated by other means.
#pragma once

#include <boost/assert/source_location.hpp>
#include <cstdint>

namespace shedhill {

// Aborts the process if the condition is false, after printing the invariant's text and the source location.
void verify(bool condition, char const* invariant, boost::source_location location = BOOST_CURRENT_LOCATION);

using invariant_handler = void (*)(char const* invariant, char const* file, std::uint_least32_t line);

// Sets what is called before a broken invariant aborts the process.
void set_invariant_handler(invariant_handler handler);

} // namespace shedhill
