// SPDX-License-Identifier: BSD-2-Clause
// The operators' tool. What it changes it changes on the platform only, never on a partner's VMs.
#include "libraries/net/fiber_scheduler.h"
#include "libraries/settings/setting_table.h"
#include "utilities/shedhill/commands.h"

#include <iostream>

int main(int count, char** arguments)
{
    using namespace shedhill;
    settings::setting_table table("shedhill");
    table.add_text("platform", "127.0.0.1:7300", "The platform's table, object store and VM list.");
    table.add_text("partner", "", "Whose objects are changed: the partner you are signed in for.");
    table.add_choice("output", { "text", "json" }, "How results are printed.");
    table.add_flag("prune", "apply, diff: removes the partner's objects that the files do not declare.");
    table.add_flag("help", "Prints this text.");
    table.allow_positional();
    auto const values = table.parse(count, arguments);
    if (!values) {
        std::cerr << values.error().to_string() << '\n';
        return static_cast<int>(tool::exit_code::usage);
    }
    if (values->has_flag("help") || values->positional().empty()) {
        std::cout << table.help() << tool::command_help();
        return static_cast<int>(values->has_flag("help") ? tool::exit_code::done : tool::exit_code::usage);
    }
    net::process_io_context();
    return static_cast<int>(tool::run_command(*values));
}
