// SPDX-License-Identifier: BSD-2-Clause
// Declares the commands that read or change declarations on the platform.
#pragma once

#include "utilities/shedhill/command_context.h"

namespace shedhill::tool {

// Validates declaration files without connecting to the platform.
exit_code check_declarations(command_context& context);
// Prints what apply_declarations() would change. Returns exit_code::differs if there are changes.
exit_code show_differences(command_context& context);
// Commits the declarations of the given files to the platform.
exit_code apply_declarations(command_context& context);
// Prints the objects whose keys start with the argument, or all objects without an argument.
exit_code show_objects(command_context& context);
// Sets (LABEL=VALUE) or removes (LABEL-) labels of one team or endpoint.
exit_code change_object_labels(command_context& context);
// Sets the drain label of one endpoint, so that it receives no new requests.
exit_code drain_endpoint(command_context& context);

} // namespace shedhill::tool
