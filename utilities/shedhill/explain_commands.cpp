// SPDX-License-Identifier: BSD-2-Clause
// One function for each command.
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
    boost::json::array listed;
    for (auto const& vm : *vms) {
        auto const* role = vm.role == table_service::vm_role::router ? "router" : "endpoint";
        auto const* state = vm.state == table_service::vm_state::live ? "live" : "leaving";
        if (!context.is_json())
            std::cout << vm.name.value() << ' ' << role << ' ' << state << ' ' << vm.domain.value() << ' ' << vm.address
                      << ' ' << vm.endpoint.value() << '\n';
        listed.push_back(boost::json::object { { "vm", vm.name.value() }, { "role", role }, { "state", state },
            { "failure_domain", vm.domain.value() }, { "address", vm.address }, { "endpoint", vm.endpoint.value() } });
    }
    if (context.is_json())
        std::cout << boost::json::serialize(boost::json::object { { "revision", head->value() }, { "vms", listed } })
                  << '\n';
    else
        std::cout << "revision " << head->value() << ", " << vms->size() << " VMs\n";
    return exit_code::done;
}

exit_code explain_policies(command_context& context)
{
    if (context.arguments.size() != 2)
        return report_usage("explain PARTNER/TEAM PARTNER/ENDPOINT");
    auto const present = operations::load_catalog(context.platform);
    if (!present)
        return report_failure(present.error(), exit_code::unavailable);
    auto const* team = present->find_team(team_name(context.arguments[0]));
    auto const* endpoint = present->find_endpoint(endpoint_name(context.arguments[1]));
    if (team == nullptr || endpoint == nullptr) {
        auto const& missing = team == nullptr ? context.arguments[0] : context.arguments[1];
        return report_failure({ "find object", missing, "is not declared" }, exit_code::not_found);
    }
    auto const verdict = present->explain(*team, *endpoint);
    if (context.is_json()) {
        std::cout << boost::json::serialize(boost::json::object { { "allowed", verdict.is_allowed },
            { "own", verdict.is_own }, { "use_policy", verdict.use_policy }, { "share_policy", verdict.share_policy },
            { "reason", verdict.reason }, { "revision", present->current_revision().value() } })
                  << '\n';
    } else {
        std::cout << (verdict.is_allowed ? "allowed: " : "not allowed: ") << verdict.reason << '\n';
        if (!verdict.use_policy.empty())
            std::cout << "use policy " << verdict.use_policy << '\n';
        if (!verdict.share_policy.empty())
            std::cout << "share policy " << verdict.share_policy << '\n';
    }
    return verdict.is_allowed ? exit_code::done : exit_code::differs;
}

exit_code explain_request(command_context& context)
{
    if (context.arguments.empty())
        return report_usage("explain-request ID [LOG...]; without a file the log is read from standard input");
    diagnosis::request_trace story(context.arguments.front());
    for (std::size_t index = 1; index < context.arguments.size(); ++index) {
        std::ifstream log(context.arguments[index]);
        if (!log)
            return report_failure({ "read log", context.arguments[index], "cannot be opened" }, exit_code::usage);
        story.read(log);
    }
    if (context.arguments.size() == 1)
        story.read(std::cin);
    story.sort();
    if (story.lines().empty())
        return report_failure({ "find request", context.arguments.front(), "no line names it" }, exit_code::not_found);
    if (context.is_json())
        std::cout << boost::json::serialize(story.to_json()) << '\n';
    else
        std::cout << story.to_text();
    return exit_code::done;
}

} // namespace shedhill::tool
