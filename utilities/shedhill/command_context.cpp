// SPDX-License-Identifier: BSD-2-Clause
// Prints failures and usage errors.
#include "utilities/shedhill/command_context.h"

#include <iostream>

namespace shedhill::tool {

exit_code report_failure(error const& failure, exit_code code)
{
    std::cerr << failure.to_string() << '\n';
    return code;
}

exit_code report_usage(std::string const& text)
{
    std::cerr << "usage: shedhill " << text << '\n';
    return exit_code::usage;
}

} // namespace shedhill::tool
