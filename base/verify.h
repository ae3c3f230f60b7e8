// SPDX-License-Identifier: BSD-2-Clause
// Invariants that hold unless this program is wrong. Input is never checked this way.
#pragma once

#include <source_location>

namespace shedhill {

// Ends the process with the place and the text of the broken invariant.
void verify(bool is_true, char const* invariant, std::source_location where = std::source_location::current());

} // namespace shedhill
