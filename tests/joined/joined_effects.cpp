// SPDX-License-Identifier: BSD-2-Clause
// Executes the effects of the reducers on the fakes.
#include "libraries/wire/codec.h"
#include "tests/joined/joined_fleet.h"

#include <algorithm>

namespace shedhill::joined {

namespace {

// The time until a router receives an answer of the platform.
constexpr milliseconds platform_latency { 5 };
constexpr std::int64_t units_per_token = 1000;

std::size_t payload_size(wire::message const& message)
{
    if (auto const* run = std::get_if<wire::run>(&message))
        return run->body.size();
    if (auto const* chunk = std::get_if<wire::chunk>(&message))
        return chunk->data.size();
    return 0;
}

// What the fake engine generates, parsed from a request's body "team|tokens|text".
struct generation_request {
    std::string team;
    std::int64_t tokens { 0 };
    std::string text;
};

generation_request parse_body(std::string const& body)
{
    auto const first = body.find('|');
    auto const second = body.find('|', first + 1);
    return { body.substr(0, first), std::stoll(body.substr(first + 1, second - first - 1)), body.substr(second + 1) };
}

} // namespace

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
        node.deferred_events.push_back([this, index, body, epoch = node.epoch] {
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
    // Delivers an answer of the platform only to the process instance that sent the call.
    auto const answer_later = [&](router::event_body body) {
        schedule(platform_latency, [this, index, epoch, body = std::move(body)] {
            if (m_routers.at(index).epoch == epoch)
                post_router(index, body);
        });
    };
    if (auto* whole = std::get_if<router::answer_whole>(&effect)) {
        record_line(router_vm(index).value() + " answers " + std::to_string(whole->request.value()) + " with status "
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
        record_line(router_vm(index).value() + " starts the answer of " + std::to_string(start->request.value()));
    } else if (auto* chunk = std::get_if<router::answer_chunk>(&effect)) {
        m_routers[index].callers[chunk->request].text += chunk->data;
    } else if (auto* end = std::get_if<router::answer_end>(&effect)) {
        record_line(router_vm(index).value() + " ends the answer of " + std::to_string(end->request.value()) + ", "
            + std::string(name_of(end->outcome)) + ", " + std::string(name_of(end->why)));
        finish(index, end->request, [&](caller_view& view) {
            view.outcome = end->outcome;
            view.why = end->why;
        });
    } else if (auto* sent = std::get_if<router::send_message>(&effect)) {
        // On a connection between two routers, connection::router is the router that opened it.
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
        if (!is_platform_down_for(index))
            answer_later(router::vms_listed { list_vms() });
    } else if (std::holds_alternative<router::read_head>(effect)) {
        if (is_platform_down_for(index))
            answer_later(router::platform_read_failed {});
        else
            answer_later(router::head_read { revision(m_changes.size()) });
    } else if (auto* read = std::get_if<router::read_changes>(&effect)) {
        router::changes_read answer;
        for (auto number = read->after.value(); number < m_changes.size(); ++number)
            answer.changes.push_back({ revision(number + 1), m_changes[number] });
        if (is_platform_down_for(index))
            answer_later(router::platform_read_failed {});
        else
            answer_later(std::move(answer));
    } else if (std::holds_alternative<router::read_snapshot>(effect)) {
        answer_later(router::snapshot_read {});
    } else if (auto* claims = std::get_if<router::write_claims>(&effect)) {
        schedule(platform_latency, [this, index, epoch, written = *claims] { answer_claims(index, epoch, written); });
    } else if (auto* released = std::get_if<router::release_claims>(&effect)) {
        for (auto const& claim : released->claims) {
            if (auto const row = m_claims.find(claim.key);
                !is_platform_down_for(index) && row != m_claims.end() && row->second == claim.id)
                m_claims.erase(row);
        }
    } else if (std::holds_alternative<router::stop_process>(effect)) {
        m_routers[index].is_stopped = true;
        record_line(router_vm(index).value() + " stops");
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
        record_line(endpoint_vm(index).value() + " stops");
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
    auto const generation = parse_body(started.request.body);
    ++m_runs[generation.text];
    m_first_runs.try_emplace(generation.text, m_now);
    record_line(endpoint_vm(index).value() + " runs " + generation.text);
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
    auto const generation = parse_body(request.body);
    auto const chunks = std::min(m_settings.max_chunks, std::max<std::int64_t>(generation.tokens, 1));
    auto const first = generation.tokens * chunk / chunks;
    auto const last = generation.tokens * (chunk + 1) / chunks;
    schedule(m_settings.token_time * (last - first),
        [this, index, epoch, call, request, chunk, chunks, first, last, generation] {
            auto& node = m_endpoints.at(index);
            if (node.epoch != epoch || node.cancelled.contains(call))
                return;
            if (m_cut_after >= 0 && chunk >= m_cut_after) {
                post_endpoint(index,
                    endpoint::engine_ended { call, endpoint::engine_end::cut, service_units(first * units_per_token) });
                return;
            }
            std::string text;
            for (auto token = first; token < last; ++token)
                text += generation.text + std::to_string(token) + " ";
            service_units const service(last * units_per_token);
            m_served[generation.team] += service_units((last - first) * units_per_token);
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
    connection link;
    link.router = router;
    auto is_found = false;
    for (std::size_t index = 0; index < m_endpoints.size(); ++index) {
        if (endpoint_vm(index) != vm || m_endpoints[index].is_stopped || m_endpoints[index].is_frozen)
            continue;
        link.other = index;
        is_found = true;
    }
    for (std::size_t index = 0; index < m_routers.size(); ++index) {
        if (router_vm(index) != vm || m_routers[index].is_stopped)
            continue;
        link.other = index;
        link.is_to_router = true;
        is_found = true;
    }
    if (is_blocked || !is_found) {
        post_router(router, router::connect_failed { vm });
        return;
    }
    connection_id const id(++m_last_connection);
    m_connections[id] = link;
    auto const own_revision = m_routers.at(router).reducer->catalog().current_revision();
    process_epoch const own_epoch(m_routers.at(router).epoch);
    if (link.is_to_router) {
        auto const other_revision = m_routers.at(link.other).reducer->catalog().current_revision();
        process_epoch const other_epoch(m_routers.at(link.other).epoch);
        post_router(link.other,
            router::connection_up { id, router_vm(router), wire::process_role::router, own_epoch, own_revision, true });
        post_router(
            router, router::connection_up { id, vm, wire::process_role::router, other_epoch, other_revision, false });
        return;
    }
    post_router(router,
        router::connection_up {
            id, vm, wire::process_role::endpoint, process_epoch(m_endpoints[link.other].epoch), {}, false });
    post_endpoint(link.other, endpoint::connection_up { id, router_vm(router), own_epoch, own_revision });
}

void joined_fleet::close_connection(connection_id id)
{
    auto const found = m_connections.find(id);
    if (found == m_connections.end() || !found->second.is_open)
        return;
    found->second.is_open = false;
    auto const link = found->second;
    schedule(m_settings.latency, [this, id, link] {
        post_router(link.router, router::connection_down { id });
        if (link.is_to_router)
            post_router(link.other, router::connection_down { id });
        else
            post_endpoint(link.other, endpoint::connection_down { id });
    });
}

void joined_fleet::send(connection_id id, bool is_from_router, wire::message const& message)
{
    auto const found = m_connections.find(id);
    if (found == m_connections.end() || !found->second.is_open)
        return;
    if (m_settings.is_recording)
        record_line((is_from_router ? "to other: " : "to router: ") + std::string(wire::name_of(message)));
    auto const bytes = wire::encode(message).size() - payload_size(message);
    m_bytes_by_kind[std::string(wire::name_of(message))] += bytes;
    // Messages with a request body or answer data are not control messages.
    if (!std::holds_alternative<wire::chunk>(message) && !std::holds_alternative<wire::run>(message))
        m_control_bytes += bytes;
    if (should_inject(m_faults.lost))
        return;
    auto after = m_settings.latency;
    if (should_inject(m_faults.delayed))
        after += m_faults.delay;
    if (should_inject(m_faults.duplicated))
        schedule(after + milliseconds(1), [=, this] { deliver(id, is_from_router, message); });
    schedule(after, [=, this] { deliver(id, is_from_router, message); });
}

void joined_fleet::deliver(connection_id id, bool is_from_router, wire::message const& message)
{
    auto const found = m_connections.find(id);
    if (found == m_connections.end() || !found->second.is_open)
        return;
    auto const& link = found->second;
    if (!is_from_router)
        // The receiver is the router that opened the connection.
        post_router(link.router, router::message_received { id, message });
    else if (link.is_to_router)
        post_router(link.other, router::message_received { id, message });
    else
        post_endpoint(link.other, endpoint::message_received { id, message });
}

void joined_fleet::answer_claims(std::size_t router, std::uint64_t epoch, router::write_claims const& written)
{
    router::claims_answered answer { written.batch, {} };
    ++m_claim_writes;
    for (auto const& claim : written.claims) {
        if (is_platform_down_for(router)) {
            answer.verdicts.push_back(table_service::claim_verdict::unavailable);
            continue;
        }
        auto const [row, is_new] = m_claims.try_emplace(claim.key, claim.id);
        auto const is_won = is_new || row->second == claim.id;
        answer.verdicts.push_back(is_won ? table_service::claim_verdict::won : table_service::claim_verdict::taken);
    }
    if (m_lost_claim_answers > 0) {
        --m_lost_claim_answers;
        std::ranges::fill(answer.verdicts, table_service::claim_verdict::unavailable);
    }
    if (m_routers.at(router).epoch == epoch)
        post_router(router, std::move(answer));
}

} // namespace shedhill::joined
