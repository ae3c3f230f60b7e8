// SPDX-License-Identifier: BSD-2-Clause
// The command-line tool for operators. It writes to the platform only, never to a partner's VMs.
#include "libraries/net/fiber_scheduler.h"
#include "libraries/settings/setting_table.h"
#include "utilities/shedhill/commands.h"

#include <iostream>

int main(int count, char** arguments)
{
    using namespace shedhill;
    settings::setting_table table("shedhill");
    table.add_text("platform", "127.0.0.1:7300",
        "The address (IP:PORT) of the platform, which serves the table, the object store and the VM list.");
    table.add_text(
        "partner", "", "The partner whose objects are changed; the tool records it as the author of the change.");
    table.add_choice("output", { "text", "json" }, "The output format.");
    table.add_flag("prune", "For apply and diff: removes the partner's objects that the files do not declare.");
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
