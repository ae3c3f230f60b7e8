// SPDX-License-Identifier: BSD-2-Clause
// Sets each gauge from the part of the router's state that it shows.
#include "services/shedhilld/router_gauges.h"

#include "libraries/dispatch/log_fields.h"

#include <sstream>

namespace shedhill::daemon {

void set_dispatch_gauges(metrics::registry& registry, dispatch::dispatch_reducer& reducer, instant now)
{
    registry.set("shedhill_configuration_revision", static_cast<double>(reducer.routes().current().revision));
    registry.set("shedhill_load_part", reducer.load_fraction());
    registry.set("shedhill_choices", static_cast<double>(reducer.choices()));
    registry.set("shedhill_active_requests", static_cast<double>(reducer.active_requests()));
    registry.set("shedhill_waiting_requests", static_cast<double>(reducer.waiting_requests()));
    registry.set("shedhill_listed_endpoints", static_cast<double>(reducer.listed_endpoints()));
    registry.set("shedhill_cold_endpoints", static_cast<double>(reducer.cold_endpoints(now)));
    registry.set("shedhill_other_routers", static_cast<double>(reducer.other_routers()));
    registry.set("shedhill_suspected_requests", static_cast<double>(reducer.suspects().suspects()));
    registry.set("shedhill_quarantined_requests", static_cast<double>(reducer.suspects().quarantined()));
    registry.set("shedhill_remembered_streams", static_cast<double>(reducer.remembered_streams()));
    registry.set("shedhill_evacuated_domains", static_cast<double>(reducer.evacuated_domains()));
}

std::string engines_text(std::vector<dispatch::engine_view> const& engines)
{
    std::ostringstream text;
    for (auto const& engine : engines) {
        auto const labels = "{endpoint=\"" + engine.name.value() + "\",pool=\"" + engine.pool.value() + "\",domain=\""
            + engine.domain.value() + "\"} ";
        text << "shedhill_engine_tokens_per_ms" << labels << engine.tokens_per_ms << '\n'
             << "shedhill_engine_running" << labels << engine.work.running << '\n'
             << "shedhill_engine_unread_tokens" << labels << engine.work.pending_prefill << '\n'
             << "shedhill_engine_held_tokens" << labels << engine.work.kv_tokens << '\n'
             << "shedhill_engine_memory_tokens" << labels << engine.kv_capacity << '\n';
    }
    return text.str();
}

std::string held_endpoints_text(std::vector<dispatch::held_endpoint> const& held)
{
    std::ostringstream text;
    for (auto const& endpoint : held)
        text << "shedhill_endpoint_held_ms{endpoint=\"" << endpoint.name.value() << "\",pool=\""
             << endpoint.pool.value() << "\",domain=\"" << endpoint.domain.value() << "\",reason=\""
             << name_of(endpoint.reason) << "\"} " << endpoint.left.count() << '\n';
    return text.str();
}

void set_peer_gauges(metrics::registry& registry, relay::peer_traffic const& traffic)
{
    auto const set = [&](char const* direction, relay::traffic_kind kind, relay::traffic_count const& count) {
        auto const labels = "{way=\"" + std::string(direction) + "\",kind=\"" + std::string(name_of(kind)) + "\"}";
        registry.set("shedhill_peer_messages" + labels, static_cast<double>(count.messages));
        registry.set("shedhill_peer_bytes" + labels, static_cast<double>(count.bytes));
    };
    for (std::size_t index = 0; index < relay::peer_traffic::kinds; ++index) {
        set("sent", static_cast<relay::traffic_kind>(index), traffic.sent.at(index));
        set("received", static_cast<relay::traffic_kind>(index), traffic.received.at(index));
    }
}

std::string peer_traffic_fields(relay::peer_traffic const& traffic)
{
    dispatch::log_fields fields;
    for (std::size_t index = 0; index < relay::peer_traffic::kinds; ++index) {
        auto const kind = std::string(name_of(static_cast<relay::traffic_kind>(index)));
        fields.add("sent_" + kind, traffic.sent.at(index).messages)
            .add("sent_bytes_" + kind, traffic.sent.at(index).bytes)
            .add("received_" + kind, traffic.received.at(index).messages)
            .add("received_bytes_" + kind, traffic.received.at(index).bytes);
    }
    return fields.take();
}

void set_buffer_gauges(metrics::registry& registry, relay::buffer_meter const& buffered)
{
    for (std::size_t index = 0; index < static_cast<std::size_t>(relay::buffer_place::count); ++index) {
        auto const place = static_cast<relay::buffer_place>(index);
        registry.set("shedhill_buffered_bytes{place=\"" + std::string(name_of(place)) + "\"}",
            static_cast<double>(buffered.bytes_at(place)));
    }
    registry.set("shedhill_buffered_bytes_peak", static_cast<double>(buffered.peak()));
}

void set_log_gauges(metrics::registry& registry, logging::event_log_counts const& counts)
{
    registry.set("shedhill_log_lines_taken", static_cast<double>(counts.accepted));
    registry.set("shedhill_log_lines_over_budget", static_cast<double>(counts.rate_limited));
    registry.set("shedhill_log_lines_unread", static_cast<double>(counts.dropped));
}

} // namespace shedhill::daemon
