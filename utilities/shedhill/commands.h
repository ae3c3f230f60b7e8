// SPDX-License-Identifier: BSD-2-Clause
// The tool's commands and exit codes.
#pragma once

#include "libraries/settings/setting_table.h"

#include <string>

namespace shedhill::tool {

enum class exit_code {
    done = 0,
    // diff found differences; explain found that the team may not go there.
    differs = 1,
    usage = 2,
    bad_declaration = 3,
    // The other side changed the same objects.
    raced = 4,
    // The platform could not be reached, or did not say whether the change was accepted.
    unavailable = 5,
    not_found = 6,
};

std::string command_help();
exit_code run_command(settings::setting_values const& values);

} // namespace shedhill::tool
