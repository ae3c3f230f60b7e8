// SPDX-License-Identifier: BSD-2-Clause
// Commands that read or change declarations on the platform.
#pragma once

#include "utilities/shedhill/command_context.h"

namespace shedhill::tool {

// Checks files without the platform.
exit_code check_declarations(command_context& context);
// What apply_declarations() would change.
exit_code show_differences(command_context& context);
exit_code apply_declarations(command_context& context);
// Objects whose keys begin with the argument.
exit_code show_objects(command_context& context);
exit_code change_object_labels(command_context& context);
exit_code drain_endpoint(command_context& context);

} // namespace shedhill::tool
