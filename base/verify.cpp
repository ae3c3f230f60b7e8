// SPDX-License-Identifier: BSD-2-Clause
// Reports a violated invariant on standard error and aborts the process.
#include "base/verify.h"

#include <cstdlib>
#include <iostream>

namespace shedhill {

namespace {

invariant_handler g_handler = nullptr; // NOLINT: the handler belongs to the process

} // namespace

void verify(bool condition, char const* invariant, boost::source_location location)
{
    if (condition)
        return;
    std::cerr << "broken invariant: " << invariant << " (" << location.file_name() << ':' << location.line() << ")\n";
    if (g_handler != nullptr)
        g_handler(invariant, location.file_name(), location.line());
    std::abort();
}

void set_invariant_handler(invariant_handler handler) { g_handler = handler; }

} // namespace shedhill
