// SPDX-License-Identifier: BSD-2-Clause
// The commands by name.
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
           "  check FILE...             checks declarations without the platform\n"
           "  diff FILE...              what apply would change; exit code 1 if anything\n"
           "  apply FILE...             commits the declarations of one partner\n"
           "  get [PREFIX]              prints objects, for example team: or endpoint:batinah/\n"
           "  label KEY LABEL=VALUE...  changes the labels of one object\n"
           "  drain PARTNER/ENDPOINT    labels an endpoint so that it gets no new work\n"
           "  status                    the accepted revision and the platform's VMs\n"
           "  explain TEAM ENDPOINT     by which policies a team may go to an endpoint\n"
           "  explain-request ID LOG... one request's story from the logs of all processes, and its cause\n"
           "  routers ADDRESS...        readiness, ages, load, refusals and latencies from routers' metrics\n"
           "  fleet ADDRESS...          the same of many routers together: least, middle, greatest\n"
           "  engines ADDRESS           a router's engines: pace, what waits to be read, and room\n"
           "exit codes: 0 done, 1 differs, not allowed or not ready, 2 usage, 3 bad declaration, 4 raced, 5 "
           "unavailable, "
           "6 not found\n";
}

exit_code run_command(settings::setting_values const& values)
{
    auto const& name = values.positional().front();
    auto const found = commands().find(name);
    if (found == commands().end())
        return report_usage("COMMAND; '" + name + "' is not one");
    command_context context { values, { values.positional().begin() + 1, values.positional().end() },
        table_service::http_platform(values.text("platform")) };
    return found->second(context);
}

} // namespace shedhill::tool
