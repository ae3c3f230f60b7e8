// SPDX-License-Identifier: BSD-2-Clause
// Declares the entry point of the tool's commands and their exit codes.
#pragma once

#include "libraries/settings/setting_table.h"

#include <string>

namespace shedhill::tool {

enum class exit_code {
    done = 0,
    // diff found differences, explain found that the team may not use the endpoint, or a router is not ready.
    differs = 1,
    usage = 2,
    bad_declaration = 3,
    // Another change modified the same objects before this one was committed.
    raced = 4,
    // The platform or a router could not be reached, or it is unknown whether the platform accepted the change.
    unavailable = 5,
    not_found = 6,
};

// Returns the part of the help text that lists the commands and the exit codes.
std::string command_help();
// Runs the command that the first positional argument names; there must be at least one.
exit_code run_command(settings::setting_values const& values);

} // namespace shedhill::tool
