// SPDX-License-Identifier: BSD-2-Clause
// Invariants that hold unless this program is wrong. Input is never checked this way.
#pragma once

#include <boost/assert/source_location.hpp>

namespace shedhill {

// Ends the process with the place and the text of the broken invariant.
void verify(bool is_true, char const* invariant, boost::source_location where = BOOST_CURRENT_LOCATION);

} // namespace shedhill
