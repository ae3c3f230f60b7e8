// SPDX-License-Identifier: BSD-2-Clause
// Prints the metrics of routers as text or JSON.
#include "utilities/shedhill/router_commands.h"

#include "libraries/diagnosis/engine_table.h"
#include "libraries/diagnosis/fleet_summary.h"
#include "libraries/diagnosis/metrics_summary.h"
#include "libraries/net/http.h"

#include <boost/json.hpp>
#include <iostream>

namespace shedhill::tool {

namespace {

// A router that does not answer within this time is reported as unavailable.
constexpr std::chrono::milliseconds metrics_timeout { 3000 };

boost::json::object to_json(std::string const& address, diagnosis::metrics_summary const& summary)
{
    boost::json::object refusals;
    for (auto const& [reason, count] : summary.refusals)
        refusals[reason] = count;
    boost::json::array first_events;
    for (auto const& pool : summary.first_events)
        first_events.push_back(boost::json::object { { "pool", pool.pool }, { "count", pool.count },
            { "half_within_s", pool.median_seconds }, { "most_within_s", pool.percentile_95_seconds } });
    return { { "router", address }, { "ready", summary.is_ready }, { "revision", summary.revision },
        { "configuration_age_ms", summary.configuration_age_ms },
        { "endpoint_list_age_ms", summary.endpoint_list_age_ms }, { "active", summary.active },
        { "waiting", summary.waiting }, { "answers", summary.answers }, { "refusals", refusals },
        { "first_events", first_events } };
}

void print(std::string const& address, diagnosis::metrics_summary const& summary)
{
    std::cout << address << (summary.is_ready ? " ready" : " not ready") << ", revision " << summary.revision
              << ", endpoint list " << summary.endpoint_list_age_ms << " ms old, " << summary.active << " active, "
              << summary.waiting << " waiting, " << summary.answers << " answers\n";
    for (auto const& [reason, count] : summary.refusals)
        std::cout << "    refused " << reason << ' ' << count << '\n';
    for (auto const& pool : summary.first_events)
        std::cout << "    first events of " << pool.pool << ": median at most " << pool.median_seconds
                  << " s, 95th percentile at most " << pool.percentile_95_seconds << " s, count " << pool.count << '\n';
}

boost::json::object to_json(diagnosis::fleet_summary const& fleet, std::vector<std::string> const& silent)
{
    boost::json::object revisions;
    for (auto const& [revision, routers] : fleet.revisions)
        revisions[std::to_string(revision)] = routers;
    boost::json::object refusals;
    for (auto const& [reason, count] : fleet.refusals)
        refusals[reason] = count;
    boost::json::array measures;
    for (auto const& distribution : fleet.measures)
        measures.push_back(boost::json::object { { "measure", distribution.measure }, { "least", distribution.min },
            { "middle", distribution.median }, { "most_below", distribution.percentile_95 },
            { "greatest", distribution.max }, { "greatest_at", distribution.max_router } });
    return { { "routers", fleet.routers }, { "ready", fleet.ready }, { "silent", boost::json::value_from(silent) },
        { "revisions", revisions }, { "refusals", refusals }, { "measures", measures } };
}

void print(diagnosis::fleet_summary const& fleet, std::vector<std::string> const& silent)
{
    std::cout << fleet.routers << " routers, " << fleet.ready << " ready, " << silent.size() << " silent\n";
    for (auto const& address : silent)
        std::cout << "    silent " << address << '\n';
    for (auto const& [revision, routers] : fleet.revisions)
        std::cout << "    revision " << revision << " at " << routers << '\n';
    for (auto const& [reason, count] : fleet.refusals)
        std::cout << "    refused " << reason << ' ' << count << '\n';
    std::cout << "measure: min, median, 95th percentile, max, router with the max\n";
    for (auto const& distribution : fleet.measures)
        std::cout << "    " << distribution.measure << ": " << distribution.min << ", " << distribution.median << ", "
                  << distribution.percentile_95 << ", " << distribution.max << ", " << distribution.max_router << '\n';
}

void print(std::vector<diagnosis::engine_row> const& engines)
{
    std::cout
        << "endpoint, pool, failure domain, prefill tokens/ms, running, pending prefill tokens, KV tokens, KV capacity "
           "tokens, hold reasons\n";
    for (auto const& engine : engines)
        std::cout << engine.endpoint << ' ' << engine.pool << ' ' << engine.domain << ' ' << engine.tokens_per_ms << ' '
                  << engine.running << ' ' << engine.pending_prefill_tokens << ' ' << engine.kv_tokens << ' '
                  << engine.kv_capacity_tokens << ' ' << (engine.hold_reasons.empty() ? "-" : engine.hold_reasons)
                  << '\n';
}

boost::json::array to_json(std::vector<diagnosis::engine_row> const& engines)
{
    boost::json::array entries;
    for (auto const& engine : engines)
        entries.push_back(boost::json::object { { "endpoint", engine.endpoint }, { "pool", engine.pool },
            { "domain", engine.domain }, { "tokens_per_ms", engine.tokens_per_ms }, { "running", engine.running },
            { "unread_tokens", engine.pending_prefill_tokens }, { "held_tokens", engine.kv_tokens },
            { "memory_tokens", engine.kv_capacity_tokens }, { "held_back", engine.hold_reasons } });
    return entries;
}

} // namespace

exit_code show_routers(command_context& context)
{
    if (context.arguments.empty())
        return report_usage("routers ADDRESS...; ADDRESS is the metrics address of a router, IP:PORT");
    boost::json::array entries;
    auto outcome = exit_code::done;
    for (auto const& address : context.arguments) {
        auto const answer = net::fetch(address, { "GET", "/metrics", {}, {} }, metrics_timeout);
        if (!answer) {
            outcome = report_failure(answer.error(), exit_code::unavailable);
            continue;
        }
        auto const summary = diagnosis::summarize_metrics(answer->body);
        if (!summary.is_ready && outcome == exit_code::done)
            outcome = exit_code::differs;
        if (context.is_json())
            entries.push_back(to_json(address, summary));
        else
            print(address, summary);
    }
    if (context.is_json())
        std::cout << boost::json::serialize(entries) << '\n';
    return outcome;
}

exit_code show_fleet(command_context& context)
{
    if (context.arguments.empty())
        return report_usage("fleet ADDRESS...; ADDRESS is the metrics address of a router, IP:PORT");
    std::vector<diagnosis::named_summary> routers;
    std::vector<std::string> silent;
    for (auto const& address : context.arguments) {
        if (auto const answer = net::fetch(address, { "GET", "/metrics", {}, {} }, metrics_timeout))
            routers.push_back({ address, diagnosis::summarize_metrics(answer->body) });
        else
            silent.push_back(address);
    }
    auto const fleet = diagnosis::summarize_fleet(routers);
    if (context.is_json())
        std::cout << boost::json::serialize(to_json(fleet, silent)) << '\n';
    else
        print(fleet, silent);
    if (!silent.empty())
        return exit_code::unavailable;
    return fleet.ready == fleet.routers ? exit_code::done : exit_code::differs;
}

exit_code show_engines(command_context& context)
{
    if (context.arguments.size() != 1)
        return report_usage("engines ADDRESS; ADDRESS is the metrics address of a router, IP:PORT");
    auto const answer = net::fetch(context.arguments.front(), { "GET", "/metrics", {}, {} }, metrics_timeout);
    if (!answer)
        return report_failure(answer.error(), exit_code::unavailable);
    auto const engines = diagnosis::read_engines(answer->body);
    if (context.is_json())
        std::cout << boost::json::serialize(to_json(engines)) << '\n';
    else
        print(engines);
    return engines.empty() ? exit_code::not_found : exit_code::done;
}

} // namespace shedhill::tool
