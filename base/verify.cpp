// SPDX-License-Identifier: BSD-2-Clause
// Reports a violated invariant on standard error and aborts the process.
#include "base/verify.h"

#include <cstdlib>
#include <iostream>

namespace shedhill {

void verify(bool condition, char const* invariant, boost::source_location location)
{
    if (condition)
        return;
    std::cerr << "broken invariant: " << invariant << " (" << location.file_name() << ':' << location.line() << ")\n";
    std::abort();
}

} // namespace shedhill
