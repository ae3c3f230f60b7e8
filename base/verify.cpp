// SPDX-License-Identifier: BSD-2-Clause
// Reports a broken invariant and ends the process.
#include "base/verify.h"

#include <cstdlib>
#include <iostream>

namespace shedhill {

void verify(bool is_true, char const* invariant, boost::source_location where)
{
    if (is_true)
        return;
    std::cerr << "broken invariant: " << invariant << " (" << where.file_name() << ':' << where.line() << ")\n";
    std::abort();
}

} // namespace shedhill
