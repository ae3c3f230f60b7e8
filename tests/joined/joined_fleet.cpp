// SPDX-License-Identifier: BSD-2-Clause
// Implements the queue of scheduled actions, the failures and the fake VM list.
#include "tests/joined/joined_fleet.h"

#include "base/hash.h"

#include <algorithm>

namespace shedhill::joined {

namespace {

constexpr milliseconds router_tick { 50 };
constexpr milliseconds endpoint_tick { 100 };

std::string endpoint_label(std::size_t index) { return "partner/endpoint-" + std::to_string(index); }

} // namespace

std::string answer_text(std::string const& body, std::int64_t tokens)
{
    std::string text;
    for (std::int64_t token = 0; token < tokens; ++token)
        text += body + std::to_string(token) + " ";
    return text;
}

std::string joined_fleet::key_hash_of(std::string const& team)
{
    constexpr std::size_t digits = 64;
    auto const sum = std::to_string(stable_hash(team));
    return std::string(digits - sum.size(), '0') + sum;
}

joined_fleet::joined_fleet(fleet_options settings)
    : m_settings(std::move(settings))
    , m_random(m_settings.seed)
{
    m_routers.resize(m_settings.routers);
    m_endpoints.resize(m_settings.endpoints);
    for (std::size_t index = 0; index < m_endpoints.size(); ++index)
        restart_endpoint(index);
    for (std::size_t index = 0; index < m_routers.size(); ++index)
        restart_router(index);
}

void joined_fleet::declare(config::change change) { m_changes.push_back(std::move(change)); }

void joined_fleet::declare_simple(std::vector<std::pair<std::string, std::uint32_t>> const& teams_and_weights)
{
    config::change change { "simple", partner_name("partner"), {}, {} };
    for (auto const& [name, weight] : teams_and_weights) {
        config::team team;
        team.partner = partner_name("partner");
        team.name = team_name("partner/" + name);
        team.weight = weight;
        team.queue_bound = 100000;
        team.key_hashes = { key_hash_of(name) };
        change.puts.emplace_back(team);
    }
    for (std::size_t index = 0; index < m_endpoints.size(); ++index) {
        config::endpoint endpoint;
        endpoint.partner = partner_name("partner");
        endpoint.name = endpoint_name(endpoint_label(index));
        endpoint.pool = pool_name("cook");
        endpoint.domain = failure_domain("domain-" + std::to_string(index % 3));
        change.puts.emplace_back(endpoint);
    }
    config::policy policy;
    policy.partner = partner_name("partner");
    policy.name = "partner/use-all";
    change.puts.emplace_back(policy);
    declare(std::move(change));
}

request_number joined_fleet::submit(request_plan const& plan)
{
    request_number const number(++m_last_request);
    auto& node = m_routers.at(plan.router);
    node.callers[number].asked_at = m_now;
    router::caller_request request;
    request.request = number;
    request.key_hash = key_hash_of(plan.team);
    request.pool = pool_name(plan.pool);
    request.method = "POST";
    request.target = "/v1/chat/completions";
    request.body = plan.team + "|" + std::to_string(plan.tokens) + "|" + plan.body;
    request.is_streamed = plan.is_streamed;
    request.is_repeatable = plan.idempotency_key.empty();
    request.idempotency_key = plan.idempotency_key;
    request.time_left = plan.time_left;
    post_router(plan.router, std::move(request));
    return number;
}

void joined_fleet::leave(std::size_t router, request_number request)
{
    post_router(router, router::caller_gone { request });
}

void joined_fleet::advance(milliseconds time)
{
    auto const until = m_now + time;
    while (!m_queue.empty() && m_queue.top().at <= until) {
        auto const next = m_queue.top();
        m_queue.pop();
        m_now = std::max(m_now, next.at);
        next.action();
    }
    m_now = until;
}

void joined_fleet::cut(std::size_t router, std::size_t endpoint)
{
    for (auto const& [id, link] : m_connections) {
        if (link.is_open && !link.is_to_router && link.router == router && link.other == endpoint)
            close_connection(id);
    }
}

void joined_fleet::cut_routers(std::size_t left, std::size_t right)
{
    for (auto const& [id, link] : m_connections) {
        auto const is_between
            = (link.router == left && link.other == right) || (link.router == right && link.other == left);
        if (link.is_open && link.is_to_router && is_between)
            close_connection(id);
    }
}

void joined_fleet::block(std::size_t router, std::size_t endpoint, bool is_blocked)
{
    std::pair const between { router_vm(router).value(), endpoint_vm(endpoint).value() };
    if (!is_blocked) {
        m_blocked.erase(between);
        return;
    }
    m_blocked.insert(between);
    cut(router, endpoint);
}

void joined_fleet::block_routers(std::size_t left, std::size_t right, bool is_blocked)
{
    for (auto const& [from, to] : { std::pair { left, right }, std::pair { right, left } }) {
        std::pair const between { router_vm(from).value(), router_vm(to).value() };
        if (is_blocked)
            m_blocked.insert(between);
        else
            m_blocked.erase(between);
    }
    if (is_blocked)
        cut_routers(left, right);
}

void joined_fleet::restart_router(std::size_t router)
{
    auto& node = m_routers.at(router);
    // The connections of the router's callers break when the process ends.
    for (auto& [number, view] : node.callers) {
        if (view.final_answers == 0) {
            view.final_answers = 1;
            view.outcome = wire::run_outcome::unknown;
            view.why = wire::reason::caller_gone;
        }
    }
    // The reducer is destroyed first, so that it doesn't receive events about the end of its own connections.
    node.reducer.reset();
    for (auto const& [id, link] : m_connections) {
        if (link.is_open && (link.router == router || (link.is_to_router && link.other == router)))
            close_connection(id);
    }
    auto options = m_settings.router;
    options.vm = router_vm(router);
    options.epoch = process_epoch(++node.epoch);
    node.reducer = std::make_unique<router::router_reducer>(options);
    node.is_stopped = false;
    schedule(milliseconds(1 + router), [this, router, epoch = node.epoch] { tick_router(router, epoch); });
}

void joined_fleet::configure_peer(std::size_t router, std::size_t peer)
{
    table_service::vm_record record;
    record.name = router_vm(peer);
    record.role = table_service::vm_role::router;
    record.address = record.name.value();
    post_router(router, router::peers_configured { { record } });
}

void joined_fleet::cut_from_platform(std::size_t router, bool is_cut)
{
    if (is_cut)
        m_cut_from_platform.insert(router);
    else
        m_cut_from_platform.erase(router);
}

void joined_fleet::restart_endpoint(std::size_t endpoint)
{
    auto& node = m_endpoints.at(endpoint);
    node.reducer.reset();
    for (auto const& [id, link] : m_connections) {
        if (link.is_open && !link.is_to_router && link.other == endpoint)
            close_connection(id);
    }
    auto options = m_settings.endpoint;
    options.vm = endpoint_vm(endpoint);
    options.perfect_total = [this](account_id account) {
        service_units total;
        for (auto const& one : m_endpoints) {
            if (one.reducer)
                total += one.reducer->service_total(account);
        }
        return total;
    };
    options.epoch = process_epoch(++node.epoch);
    node.reducer = std::make_unique<endpoint::endpoint_reducer>(options);
    node.is_frozen = false;
    node.is_stopped = false;
    node.deferred_events.clear();
    node.cancelled.clear();
    m_draining_endpoints.erase(endpoint);
    schedule(milliseconds(1 + endpoint), [this, endpoint, epoch = node.epoch] { tick_endpoint(endpoint, epoch); });
}

void joined_fleet::freeze_endpoint(std::size_t endpoint, bool is_frozen)
{
    auto& node = m_endpoints.at(endpoint);
    node.is_frozen = is_frozen;
    auto events = std::exchange(node.deferred_events, {});
    for (auto const& deliver_event : events)
        deliver_event();
}

void joined_fleet::drain_router(std::size_t router) { post_router(router, router::drain_requested {}); }

void joined_fleet::drain_endpoint(std::size_t endpoint)
{
    m_draining_endpoints.insert(endpoint);
    post_endpoint(endpoint, endpoint::drain_requested {});
}

void joined_fleet::set_engine_reachable(std::size_t endpoint, bool is_reachable)
{
    m_endpoints.at(endpoint).is_engine_reachable = is_reachable;
}

std::map<request_number, caller_view> const& joined_fleet::callers(std::size_t router) const
{
    return m_routers.at(router).callers;
}

caller_view const& joined_fleet::caller(std::size_t router, request_number request) const
{
    return m_routers.at(router).callers.at(request);
}

std::size_t joined_fleet::busy_slots() const
{
    std::size_t busy = 0;
    for (auto const& node : m_endpoints)
        busy += node.reducer->running_count();
    return busy;
}

std::size_t joined_fleet::waiting_requests() const
{
    std::size_t waiting = 0;
    for (auto const& node : m_routers)
        waiting += node.reducer->queues().total();
    return waiting;
}

void joined_fleet::sample_every(milliseconds interval, std::function<void()> sample)
{
    schedule(interval, [this, interval, sample = std::move(sample)] {
        sample();
        sample_every(interval, sample);
    });
}

void joined_fleet::schedule(milliseconds after, std::function<void()> action)
{
    m_queue.push({ m_now + after, ++m_order, std::move(action) });
}

void joined_fleet::tick_router(std::size_t index, std::uint64_t epoch)
{
    if (m_routers.at(index).epoch != epoch || m_routers.at(index).is_stopped)
        return;
    post_router(index, router::tick {});
    schedule(router_tick, [this, index, epoch] { tick_router(index, epoch); });
}

void joined_fleet::tick_endpoint(std::size_t index, std::uint64_t epoch)
{
    if (m_endpoints.at(index).epoch != epoch || m_endpoints.at(index).is_stopped)
        return;
    if (!m_endpoints.at(index).is_frozen)
        post_endpoint(index, endpoint::tick {});
    schedule(endpoint_tick, [this, index, epoch] { tick_endpoint(index, epoch); });
}

std::vector<table_service::vm_record> joined_fleet::list_vms() const
{
    std::vector<table_service::vm_record> vms;
    for (std::size_t index = 0; index < m_routers.size(); ++index) {
        vms.push_back({ router_vm(index), table_service::vm_role::router, table_service::vm_state::live,
            router_vm(index).value(), failure_domain("domain-" + std::to_string(index % 3)), {} });
    }
    for (std::size_t index = 0; index < m_endpoints.size(); ++index) {
        auto const is_leaving = m_draining_endpoints.contains(index) && !m_is_list_frozen;
        vms.push_back({ endpoint_vm(index), table_service::vm_role::endpoint,
            is_leaving ? table_service::vm_state::leaving : table_service::vm_state::live, endpoint_vm(index).value(),
            failure_domain("domain-" + std::to_string(index % 3)), endpoint_name(endpoint_label(index)) });
    }
    return vms;
}

vm_name joined_fleet::router_vm(std::size_t index) const { return vm_name("router-" + std::to_string(index)); }

vm_name joined_fleet::endpoint_vm(std::size_t index) const { return vm_name("endpoint-" + std::to_string(index)); }

void joined_fleet::finish(std::size_t router, request_number request, std::function<void(caller_view&)> const& update)
{
    auto& view = m_routers.at(router).callers[request];
    ++view.final_answers;
    view.answered_at = m_now;
    update(view);
}

void joined_fleet::record_line(std::string const& line)
{
    if (m_settings.is_recording)
        m_record.push_back(std::to_string(m_now.time_since_epoch().count()) + " " + line);
}

} // namespace shedhill::joined
