// SPDX-License-Identifier: BSD-2-Clause
// Implements the commands that explain the state of the fleet and the outcome of requests.
#include "utilities/shedhill/explain_commands.h"

#include "libraries/diagnosis/request_trace.h"
#include "libraries/operations/config_session.h"

#include <boost/json.hpp>
#include <fstream>
#include <iostream>

namespace shedhill::tool {

exit_code show_status(command_context& context)
{
    auto const head = context.platform.read_head();
    if (!head)
        return report_failure(head.error(), exit_code::unavailable);
    auto const vms = context.platform.list_vms();
    if (!vms)
        return report_failure(vms.error(), exit_code::unavailable);
    boost::json::array entries;
    for (auto const& vm : *vms) {
        auto const* role = vm.role == table_service::vm_role::router ? "router" : "endpoint";
        auto const* state = vm.state == table_service::vm_state::live ? "live" : "leaving";
        if (!context.is_json())
            std::cout << vm.name.value() << ' ' << role << ' ' << state << ' ' << vm.domain.value() << ' ' << vm.address
                      << ' ' << vm.endpoint.value() << '\n';
        entries.push_back(boost::json::object { { "vm", vm.name.value() }, { "role", role }, { "state", state },
            { "failure_domain", vm.domain.value() }, { "address", vm.address }, { "endpoint", vm.endpoint.value() } });
    }
    if (context.is_json())
        std::cout << boost::json::serialize(boost::json::object { { "revision", head->value() }, { "vms", entries } })
                  << '\n';
    else
        std::cout << "revision " << head->value() << ", " << vms->size() << " VMs\n";
    return exit_code::done;
}

exit_code explain_policies(command_context& context)
{
    if (context.arguments.size() != 2)
        return report_usage("explain PARTNER/TEAM PARTNER/ENDPOINT");
    auto const catalog = operations::load_catalog(context.platform);
    if (!catalog)
        return report_failure(catalog.error(), exit_code::unavailable);
    auto const* team = catalog->find_team(team_name(context.arguments[0]));
    auto const* endpoint = catalog->find_endpoint(endpoint_name(context.arguments[1]));
    if (team == nullptr || endpoint == nullptr) {
        auto const& missing = team == nullptr ? context.arguments[0] : context.arguments[1];
        return report_failure({ "find object", missing, "is not declared" }, exit_code::not_found);
    }
    auto const decision = catalog->explain(*team, *endpoint);
    if (context.is_json()) {
        std::cout << boost::json::serialize(
            boost::json::object { { "allowed", decision.is_allowed }, { "own", decision.is_own },
                { "use_policy", decision.use_policy }, { "share_policy", decision.share_policy },
                { "reason", decision.reason }, { "revision", catalog->current_revision().value() } })
                  << '\n';
    } else {
        std::cout << (decision.is_allowed ? "allowed: " : "not allowed: ") << decision.reason << '\n';
        if (!decision.use_policy.empty())
            std::cout << "use policy " << decision.use_policy << '\n';
        if (!decision.share_policy.empty())
            std::cout << "share policy " << decision.share_policy << '\n';
    }
    return decision.is_allowed ? exit_code::done : exit_code::differs;
}

exit_code explain_request(command_context& context)
{
    if (context.arguments.empty())
        return report_usage("explain-request ID [LOG...]; without LOG the log is read from the standard input");
    diagnosis::request_trace trace(context.arguments.front());
    for (std::size_t index = 1; index < context.arguments.size(); ++index) {
        std::ifstream log(context.arguments[index]);
        if (!log)
            return report_failure({ "read log", context.arguments[index], "cannot be opened" }, exit_code::usage);
        trace.read(log);
    }
    if (context.arguments.size() == 1)
        trace.read(std::cin);
    trace.sort();
    if (trace.lines().empty())
        return report_failure(
            { "find request", context.arguments.front(), "does not appear in any log line" }, exit_code::not_found);
    if (context.is_json())
        std::cout << boost::json::serialize(trace.to_json()) << '\n';
    else
        std::cout << trace.to_text();
    return exit_code::done;
}

} // namespace shedhill::tool
