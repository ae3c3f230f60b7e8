// SPDX-License-Identifier: BSD-2-Clause
// The queue that joins the reducers, and the fakes around them.
#include "tests/joined/joined_fleet.h"

#include "base/hash.h"
#include "libraries/wire/codec.h"

#include <algorithm>

namespace shedhill::joined {

namespace {

constexpr milliseconds router_tick { 50 };
constexpr milliseconds endpoint_tick { 100 };
constexpr milliseconds platform_time { 5 };
constexpr std::int64_t thousandths_of_token = 1000;

std::string endpoint_label(std::size_t index) { return "partner/endpoint-" + std::to_string(index); }

std::size_t payload_size(wire::message const& message)
{
    if (auto const* run = std::get_if<wire::run>(&message))
        return run->body.size();
    if (auto const* chunk = std::get_if<wire::chunk>(&message))
        return chunk->data.size();
    return 0;
}

// The fake engine reads what to do from the body: "team|pool|tokens|text".
struct engine_order {
    std::string team;
    std::int64_t tokens { 0 };
    std::string text;
};

engine_order parse_order(std::string const& body)
{
    auto const first = body.find('|');
    auto const second = body.find('|', first + 1);
    return { body.substr(0, first), std::stoll(body.substr(first + 1, second - first - 1)), body.substr(second + 1) };
}

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
    router::caller_request asked;
    asked.request = number;
    asked.key_hash = key_hash_of(plan.team);
    asked.pool = pool_name(plan.pool);
    asked.method = "POST";
    asked.target = "/v1/chat/completions";
    asked.body = plan.team + "|" + std::to_string(plan.tokens) + "|" + plan.body;
    asked.is_streamed = plan.is_streamed;
    asked.is_repeatable = plan.idempotency_key.empty();
    asked.idempotency_key = plan.idempotency_key;
    asked.time_left = plan.time_left;
    post_router(plan.router, std::move(asked));
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
    for (auto const& [id, one] : m_connections) {
        if (one.is_open && !one.is_to_router && one.router == router && one.other == endpoint)
            close_connection(id);
    }
}

void joined_fleet::cut_routers(std::size_t left, std::size_t right)
{
    for (auto const& [id, one] : m_connections) {
        auto const is_between
            = (one.router == left && one.other == right) || (one.router == right && one.other == left);
        if (one.is_open && one.is_to_router && is_between)
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
    // Its callers' connections break with it.
    for (auto& [number, view] : node.callers) {
        if (view.final_answers == 0) {
            view.final_answers = 1;
            view.outcome = wire::run_outcome::unknown;
            view.why = wire::reason::caller_gone;
        }
    }
    // Its own process ends first: it must not hear of its own connections' end.
    node.reducer.reset();
    for (auto const& [id, one] : m_connections) {
        if (one.is_open && (one.router == router || (one.is_to_router && one.other == router)))
            close_connection(id);
    }
    auto options = m_settings.router;
    options.vm = router_vm(router);
    options.epoch = process_epoch(++node.epoch);
    node.reducer = std::make_unique<router::router_reducer>(options);
    node.is_stopped = false;
    schedule(milliseconds(1 + router), [this, router, epoch = node.epoch] { tick_router(router, epoch); });
}

void joined_fleet::introduce(std::size_t router, std::size_t peer)
{
    platform::vm_record record;
    record.name = router_vm(peer);
    record.role = platform::vm_role::router;
    record.address = record.name.value();
    post_router(router, router::peers_configured { { record } });
}

void joined_fleet::restart_endpoint(std::size_t endpoint)
{
    auto& node = m_endpoints.at(endpoint);
    node.reducer.reset();
    for (auto const& [id, one] : m_connections) {
        if (one.is_open && !one.is_to_router && one.other == endpoint)
            close_connection(id);
    }
    auto options = m_settings.endpoint;
    options.vm = endpoint_vm(endpoint);
    options.perfect_total = [this](account_id account) {
        service_units total;
        for (auto const& one : m_endpoints) {
            if (one.reducer)
                total += one.reducer->given(account);
        }
        return total;
    };
    options.epoch = process_epoch(++node.epoch);
    node.reducer = std::make_unique<endpoint::endpoint_reducer>(options);
    node.is_frozen = false;
    node.is_stopped = false;
    node.held.clear();
    node.cancelled.clear();
    m_draining_endpoints.erase(endpoint);
    schedule(milliseconds(1 + endpoint), [this, endpoint, epoch = node.epoch] { tick_endpoint(endpoint, epoch); });
}

void joined_fleet::freeze_endpoint(std::size_t endpoint, bool is_frozen)
{
    auto& node = m_endpoints.at(endpoint);
    node.is_frozen = is_frozen;
    auto held = std::exchange(node.held, {});
    for (auto const& action : held)
        action();
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

void joined_fleet::post_router(std::size_t index, router::event_body body)
{
    auto& node = m_routers.at(index);
    if (!node.reducer)
        return;
    auto effects = node.reducer->reduce({ m_now, m_random.next(), std::move(body) });
    for (auto& effect : effects)
        run_router(index, effect);
}

void joined_fleet::post_endpoint(std::size_t index, endpoint::event_body body)
{
    auto& node = m_endpoints.at(index);
    if (!node.reducer)
        return;
    if (node.is_frozen) {
        node.held.push_back([this, index, body, epoch = node.epoch] {
            if (m_endpoints.at(index).epoch == epoch)
                post_endpoint(index, body);
        });
        return;
    }
    auto effects = node.reducer->reduce({ m_now, m_random.next(), std::move(body) });
    for (auto& effect : effects)
        run_endpoint(index, effect);
}

void joined_fleet::run_router(std::size_t index, router::effect& effect)
{
    auto const epoch = m_routers.at(index).epoch;
    // Lets the answer of the platform reach only the process that asked.
    auto const answer_later = [&](router::event_body body) {
        schedule(platform_time, [this, index, epoch, body = std::move(body)] {
            if (m_routers.at(index).epoch == epoch)
                post_router(index, body);
        });
    };
    if (auto* whole = std::get_if<router::answer_whole>(&effect)) {
        note(router_vm(index).value() + " answers " + std::to_string(whole->request.value()) + " with status "
            + std::to_string(whole->status) + ", " + std::string(name_of(whole->outcome)) + ", "
            + std::string(name_of(whole->why)));
        finish(index, whole->request, [&](caller_view& view) {
            view.text += whole->body;
            view.outcome = whole->outcome;
            view.why = whole->why;
            view.status = whole->status;
            view.retry_after = whole->retry_after;
        });
    } else if (auto* start = std::get_if<router::answer_start>(&effect)) {
        m_routers[index].callers[start->request].status = start->status;
        note(router_vm(index).value() + " starts the answer of " + std::to_string(start->request.value()));
    } else if (auto* chunk = std::get_if<router::answer_chunk>(&effect)) {
        m_routers[index].callers[chunk->request].text += chunk->data;
    } else if (auto* end = std::get_if<router::answer_end>(&effect)) {
        note(router_vm(index).value() + " ends the answer of " + std::to_string(end->request.value()) + ", "
            + std::string(name_of(end->outcome)) + ", " + std::string(name_of(end->why)));
        finish(index, end->request, [&](caller_view& view) {
            view.outcome = end->outcome;
            view.why = end->why;
        });
    } else if (auto* sent = std::get_if<router::send_message>(&effect)) {
        // Between two routers the one that opened the connection is its router end.
        auto const found = m_connections.find(sent->connection);
        if (found != m_connections.end())
            send(sent->connection, found->second.router == index, sent->message);
    } else if (auto* open = std::get_if<router::open_connection>(&effect)) {
        schedule(m_settings.latency, [this, index, epoch, vm = open->vm] {
            if (m_routers.at(index).epoch == epoch)
                open_connection(index, vm);
        });
    } else if (auto* close = std::get_if<router::close_connection>(&effect)) {
        close_connection(close->connection);
    } else if (std::holds_alternative<router::list_vms>(effect)) {
        if (!m_is_platform_down)
            answer_later(router::vms_listed { list_vms() });
    } else if (std::holds_alternative<router::read_head>(effect)) {
        if (m_is_platform_down)
            answer_later(router::platform_read_failed {});
        else
            answer_later(router::head_read { revision(m_changes.size()) });
    } else if (auto* read = std::get_if<router::read_changes>(&effect)) {
        router::changes_read answer;
        for (auto number = read->after.value(); number < m_changes.size(); ++number)
            answer.changes.push_back({ revision(number + 1), m_changes[number] });
        if (m_is_platform_down)
            answer_later(router::platform_read_failed {});
        else
            answer_later(std::move(answer));
    } else if (std::holds_alternative<router::read_snapshot>(effect)) {
        answer_later(router::snapshot_read {});
    } else if (auto* claims = std::get_if<router::write_claims>(&effect)) {
        schedule(platform_time, [this, index, epoch, written = *claims] { answer_claims(index, epoch, written); });
    } else if (auto* released = std::get_if<router::release_claims>(&effect)) {
        for (auto const& held : released->claims) {
            if (auto const row = m_claims.find(held.key);
                !m_is_platform_down && row != m_claims.end() && row->second == held.id)
                m_claims.erase(row);
        }
    } else if (std::holds_alternative<router::stop_process>(effect)) {
        m_routers[index].is_stopped = true;
        note(router_vm(index).value() + " stops");
    } else if (auto* counted = std::get_if<router::count_event>(&effect)) {
        ++m_counts[std::string(name_of(counted->which))];
    } else if (auto* refused = std::get_if<router::count_refusal>(&effect)) {
        ++m_counts["refusal:" + std::string(name_of(refused->why))];
    } else if (auto* retried = std::get_if<router::count_retry>(&effect)) {
        ++m_counts["retry:" + std::string(name_of(retried->why))];
    }
}

void joined_fleet::run_endpoint(std::size_t index, endpoint::effect& effect)
{
    if (auto* sent = std::get_if<endpoint::send_message>(&effect))
        send(sent->connection, false, sent->message);
    else if (auto* start = std::get_if<endpoint::start_call>(&effect))
        run_call(index, *start);
    else if (auto* cancel = std::get_if<endpoint::cancel_call>(&effect)) {
        m_endpoints[index].cancelled.insert(cancel->call);
        schedule(milliseconds(1), [this, index, call = cancel->call, epoch = m_endpoints[index].epoch] {
            if (m_endpoints.at(index).epoch == epoch)
                post_endpoint(index, endpoint::engine_ended { call, endpoint::engine_end::cancelled, {} });
        });
    } else if (std::holds_alternative<endpoint::stop_process>(effect)) {
        m_endpoints[index].is_stopped = true;
        note(endpoint_vm(index).value() + " stops");
    } else if (auto* counted = std::get_if<endpoint::count_event>(&effect))
        ++m_counts[std::string(name_of(counted->which))];
    else if (auto* refused = std::get_if<endpoint::count_refusal>(&effect))
        ++m_counts["endpoint:" + std::string(name_of(refused->why))];
}

void joined_fleet::run_call(std::size_t index, endpoint::start_call const& started)
{
    auto const epoch = m_endpoints.at(index).epoch;
    auto const call = started.call;
    if (!m_endpoints.at(index).is_engine_reachable) {
        schedule(milliseconds(1), [this, index, epoch, call] {
            if (m_endpoints.at(index).epoch == epoch)
                post_endpoint(index, endpoint::engine_ended { call, endpoint::engine_end::not_sent, {} });
        });
        return;
    }
    auto const order = parse_order(started.request.body);
    ++m_runs[order.text];
    m_first_runs.try_emplace(order.text, m_now);
    note(endpoint_vm(index).value() + " runs " + order.text);
    schedule(milliseconds(1), [this, index, epoch, call, request = started.request] {
        if (m_endpoints.at(index).epoch != epoch)
            return;
        post_endpoint(index, endpoint::engine_head { call, 200, "text/event-stream" });
        deliver_chunk(index, epoch, call, request, 0);
    });
}

void joined_fleet::deliver_chunk(
    std::size_t index, std::uint64_t epoch, endpoint::call_number call, wire::run const& request, std::int64_t chunk)
{
    auto const order = parse_order(request.body);
    auto const chunks = std::min(m_settings.most_chunks, std::max<std::int64_t>(order.tokens, 1));
    auto const first = order.tokens * chunk / chunks;
    auto const last = order.tokens * (chunk + 1) / chunks;
    schedule(
        m_settings.token_time * (last - first), [this, index, epoch, call, request, chunk, chunks, first, last, order] {
            auto& node = m_endpoints.at(index);
            if (node.epoch != epoch || node.cancelled.contains(call))
                return;
            if (m_cut_after >= 0 && chunk >= m_cut_after) {
                post_endpoint(index,
                    endpoint::engine_ended {
                        call, endpoint::engine_end::cut, service_units(first * thousandths_of_token) });
                return;
            }
            std::string text;
            for (auto token = first; token < last; ++token)
                text += order.text + std::to_string(token) + " ";
            service_units const service(last * thousandths_of_token);
            m_served[order.team] += service_units((last - first) * thousandths_of_token);
            post_endpoint(index, endpoint::engine_data { call, text, service });
            if (chunk + 1 < chunks)
                deliver_chunk(index, epoch, call, request, chunk + 1);
            else
                post_endpoint(index, endpoint::engine_ended { call, endpoint::engine_end::whole, service });
        });
}

void joined_fleet::open_connection(std::size_t router, vm_name const& vm)
{
    auto const is_blocked = m_blocked.contains({ router_vm(router).value(), vm.value() });
    connection made;
    made.router = router;
    auto is_found = false;
    for (std::size_t index = 0; index < m_endpoints.size(); ++index) {
        if (endpoint_vm(index) != vm || m_endpoints[index].is_stopped || m_endpoints[index].is_frozen)
            continue;
        made.other = index;
        is_found = true;
    }
    for (std::size_t index = 0; index < m_routers.size(); ++index) {
        if (router_vm(index) != vm || m_routers[index].is_stopped)
            continue;
        made.other = index;
        made.is_to_router = true;
        is_found = true;
    }
    if (is_blocked || !is_found) {
        post_router(router, router::connect_failed { vm });
        return;
    }
    connection_id const id(++m_last_connection);
    m_connections[id] = made;
    auto const own_revision = m_routers.at(router).reducer->catalog().current_revision();
    process_epoch const own_epoch(m_routers.at(router).epoch);
    if (made.is_to_router) {
        auto const other_revision = m_routers.at(made.other).reducer->catalog().current_revision();
        process_epoch const other_epoch(m_routers.at(made.other).epoch);
        post_router(made.other,
            router::connection_up { id, router_vm(router), wire::process_role::router, own_epoch, own_revision, true });
        post_router(
            router, router::connection_up { id, vm, wire::process_role::router, other_epoch, other_revision, false });
        return;
    }
    post_router(router,
        router::connection_up {
            id, vm, wire::process_role::endpoint, process_epoch(m_endpoints[made.other].epoch), {}, false });
    post_endpoint(made.other, endpoint::connection_up { id, router_vm(router), own_epoch, own_revision });
}

void joined_fleet::close_connection(connection_id id)
{
    auto const found = m_connections.find(id);
    if (found == m_connections.end() || !found->second.is_open)
        return;
    found->second.is_open = false;
    auto const one = found->second;
    schedule(m_settings.latency, [this, id, one] {
        post_router(one.router, router::connection_down { id });
        if (one.is_to_router)
            post_router(one.other, router::connection_down { id });
        else
            post_endpoint(one.other, endpoint::connection_down { id });
    });
}

void joined_fleet::send(connection_id id, bool is_from_router, wire::message const& message)
{
    auto const found = m_connections.find(id);
    if (found == m_connections.end() || !found->second.is_open)
        return;
    if (m_settings.is_recording)
        note((is_from_router ? "to other: " : "to router: ") + std::string(wire::name_of(message)));
    auto const bytes = wire::encode(message).size() - payload_size(message);
    m_bytes_by_kind[std::string(wire::name_of(message))] += bytes;
    // What carries a body or a part of an answer is no control message.
    if (!std::holds_alternative<wire::chunk>(message) && !std::holds_alternative<wire::run>(message))
        m_control_bytes += bytes;
    if (is_due(m_faults.lost))
        return;
    auto after = m_settings.latency;
    if (is_due(m_faults.delayed))
        after += m_faults.delay;
    if (is_due(m_faults.doubled))
        schedule(after + milliseconds(1), [=, this] { deliver(id, is_from_router, message); });
    schedule(after, [=, this] { deliver(id, is_from_router, message); });
}

void joined_fleet::deliver(connection_id id, bool is_from_router, wire::message const& message)
{
    auto const found = m_connections.find(id);
    if (found == m_connections.end() || !found->second.is_open)
        return;
    auto const& one = found->second;
    if (!is_from_router)
        // NOTE: The receiver is the end that opened the connection.
        post_router(one.router, router::message_received { id, message });
    else if (one.is_to_router)
        post_router(one.other, router::message_received { id, message });
    else
        post_endpoint(one.other, endpoint::message_received { id, message });
}

void joined_fleet::answer_claims(std::size_t router, std::uint64_t epoch, router::write_claims const& written)
{
    router::claims_answered answer { written.batch, {} };
    ++m_claim_writes;
    for (auto const& wanted : written.claims) {
        if (m_is_platform_down) {
            answer.verdicts.push_back(platform::claim_verdict::unavailable);
            continue;
        }
        auto const [row, is_new] = m_claims.try_emplace(wanted.key, wanted.id);
        auto const is_won = is_new || row->second == wanted.id;
        answer.verdicts.push_back(is_won ? platform::claim_verdict::won : platform::claim_verdict::taken);
    }
    if (m_lost_claim_answers > 0) {
        --m_lost_claim_answers;
        std::ranges::fill(answer.verdicts, platform::claim_verdict::unavailable);
    }
    if (m_routers.at(router).epoch == epoch)
        post_router(router, std::move(answer));
}

std::vector<platform::vm_record> joined_fleet::list_vms() const
{
    std::vector<platform::vm_record> vms;
    for (std::size_t index = 0; index < m_routers.size(); ++index) {
        vms.push_back({ router_vm(index), platform::vm_role::router, platform::vm_state::live, router_vm(index).value(),
            failure_domain("domain-" + std::to_string(index % 3)), {} });
    }
    for (std::size_t index = 0; index < m_endpoints.size(); ++index) {
        auto const is_leaving = m_draining_endpoints.contains(index) && !m_is_list_frozen;
        vms.push_back({ endpoint_vm(index), platform::vm_role::endpoint,
            is_leaving ? platform::vm_state::leaving : platform::vm_state::live, endpoint_vm(index).value(),
            failure_domain("domain-" + std::to_string(index % 3)), endpoint_name(endpoint_label(index)) });
    }
    return vms;
}

vm_name joined_fleet::router_vm(std::size_t index) const { return vm_name("router-" + std::to_string(index)); }

vm_name joined_fleet::endpoint_vm(std::size_t index) const { return vm_name("endpoint-" + std::to_string(index)); }

void joined_fleet::finish(std::size_t router, request_number request, std::function<void(caller_view&)> const& finish)
{
    auto& view = m_routers.at(router).callers[request];
    ++view.final_answers;
    view.answered_at = m_now;
    finish(view);
}

void joined_fleet::note(std::string const& line)
{
    if (m_settings.is_recording)
        m_record.push_back(std::to_string(m_now.time_since_epoch().count()) + " " + line);
}

} // namespace shedhill::joined
