// SPDX-License-Identifier: BSD-2-Clause
// Maps the names of commands to functions and describes the commands in the help text.
#include "utilities/shedhill/commands.h"

#include "utilities/shedhill/command_context.h"
#include "utilities/shedhill/declaration_commands.h"
#include "utilities/shedhill/explain_commands.h"
#include "utilities/shedhill/router_commands.h"

#include <functional>
#include <map>

namespace shedhill::tool {

namespace {

using command = std::function<exit_code(command_context&)>;

std::map<std::string, command> const& commands()
{
    static std::map<std::string, command> const listed { { "check", check_declarations }, { "diff", show_differences },
        { "apply", apply_declarations }, { "get", show_objects }, { "label", change_object_labels },
        { "status", show_status }, { "drain", drain_endpoint }, { "explain", explain_policies },
        { "explain-request", explain_request }, { "routers", show_routers }, { "fleet", show_fleet },
        { "engines", show_engines } };
    return listed;
}

} // namespace

std::string command_help()
{
    return "commands:\n"
           "  check FILE...             validates declarations without connecting to the platform\n"
           "  diff FILE...              prints what apply would change; exit code 1 if there are changes\n"
           "  apply FILE...             commits the declarations of one partner\n"
           "  get [PREFIX]              prints objects by key prefix, such as team: or endpoint:batinah/\n"
           "  label KEY LABEL=VALUE...  changes the labels of one object\n"
           "  drain PARTNER/ENDPOINT    labels an endpoint so that it receives no new requests\n"
           "  status                    prints the accepted revision and the platform's VMs\n"
           "  explain TEAM ENDPOINT     prints whether a team may use an endpoint, and which policies decide it\n"
           "  explain-request ID LOG... prints a request's trace from the logs of all processes, and why it ended\n"
           "  routers ADDRESS...        prints readiness, ages, load, refusals and latencies of routers\n"
           "  fleet ADDRESS...          prints the same measures over many routers: min, median, 95th percentile, max\n"
           "  engines ADDRESS           prints a router's engines: prefill rate, pending prefill, KV memory\n"
           "exit codes: 0 done, 1 differs, not allowed or not ready, 2 usage, 3 invalid declaration,\n"
           "  4 raced (a concurrent change modified the same objects), 5 unavailable, 6 not found\n";
}

exit_code run_command(settings::setting_values const& values)
{
    auto const& name = values.positional().front();
    auto const found = commands().find(name);
    if (found == commands().end())
        return report_usage("COMMAND; '" + name + "' is not a command");
    command_context context { values, { values.positional().begin() + 1, values.positional().end() },
        table_service::http_platform(values.text("platform")) };
    return found->second(context);
}

} // namespace shedhill::tool
