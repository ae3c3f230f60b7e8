// SPDX-License-Identifier: BSD-2-Clause
// Interprets the effects of a router. The reducer makes all decisions.
#include "services/shedhilld/router_daemon.h"

#include "libraries/logging/log.h"
#include "libraries/net/fibers.h"

#include <iostream>

namespace shedhill::daemon {

namespace {

constexpr milliseconds tick_interval { 50 };
constexpr std::chrono::milliseconds connect_timeout { 2000 };
// The bytes of an answer that may be queued for a caller that reads slowly.
constexpr std::size_t max_queued_bytes = std::size_t { 4 } << 20;

std::vector<net::http_header> outcome_headers(wire::run_outcome outcome, wire::reason why)
{
    std::vector<net::http_header> headers { { edge::outcome_header, std::string(name_of(outcome)) } };
    if (why != wire::reason::none)
        headers.push_back({ edge::reason_header, std::string(name_of(why)) });
    return headers;
}

net::http_response to_response(router::answer_whole const& answer)
{
    net::http_response response { answer.status, outcome_headers(answer.outcome, answer.why), answer.content_type,
        answer.body };
    if (answer.retry_after)
        response.headers.push_back({ "retry-after", std::to_string(answer.retry_after->count()) });
    return response;
}

std::string broken_stream_event(router::answer_end const& end)
{
    return "event: error\ndata: {\"error\":{\"type\":\"" + std::string(name_of(end.why)) + R"(","outcome":")"
        + std::string(name_of(end.outcome)) + "\"}}\n\n";
}

} // namespace

router_daemon::router_daemon(process& host, router_settings settings)
    : m_host(host)
    , m_settings(std::move(settings))
    , m_reducer(m_settings.options)
    , m_platform(m_settings.platform_address)
{
}

result<void> router_daemon::open()
{
    m_http = TRY(net::http_server::open(
        m_settings.http_address, m_settings.limits, [this](net::http_exchange& exchange) { serve_caller(exchange); }));
    m_frames = TRY(net::frame_listener::open(
        m_settings.frame_address, [this](std::shared_ptr<net::frame_connection> const& connection) {
            auto const peer = connection->perform_handshake(
                m_settings.identity, net::handshake_side::accepting, m_reducer.catalog().current_revision());
            if (!peer) {
                m_host.metrics().add("shedhill_strangers_refused_total");
                connection->abort();
                return;
            }
            serve_connection(connection, *peer, true);
        }));
    auto const admin = TRY(m_host.open_admin(m_settings.admin_address));
    std::cout << "listening http=" << m_http->port() << " frames=" << m_frames->port() << " admin=" << admin
              << std::endl;
    if (!m_settings.peers.empty())
        post(router::peers_configured { m_settings.peers });
    m_host.tick_every(tick_interval, [this] { post(router::tick {}); });
    m_host.drain_on_signal([this] { post(router::drain_requested {}); });
    post(router::tick {});
    return {};
}

void router_daemon::post(router::event_body body)
{
    for (auto& effect : m_reducer.reduce({ m_host.now(), m_host.draw(), std::move(body) }))
        carry_out(effect);
}

void router_daemon::carry_out(router::effect& effect)
{
    std::visit([this](auto& effect_body) { run(effect_body); }, effect);
}

void router_daemon::run(router::answer_whole& effect)
{
    auto const number = effect.request;
    auto const bytes = effect.body.size();
    queue_answer(number, std::move(effect), bytes);
}

void router_daemon::run(router::answer_start& effect)
{
    auto const number = effect.request;
    queue_answer(number, std::move(effect), 0);
}

void router_daemon::run(router::answer_chunk& effect)
{
    auto const number = effect.request;
    auto const bytes = effect.data.size();
    queue_answer(number, std::move(effect), bytes);
}

void router_daemon::run(router::answer_end& effect) { queue_answer(effect.request, effect, 0); }

void router_daemon::run(router::send_message& effect)
{
    if (auto const found = m_connections.find(effect.connection); found != m_connections.end())
        found->second->send(effect.message);
}

void router_daemon::run(router::open_connection& effect)
{
    net::start_fiber([this, vm = effect.vm, address = effect.address] { connect(vm, address); });
}

void router_daemon::run(router::close_connection& effect)
{
    if (auto const found = m_connections.find(effect.connection); found != m_connections.end())
        found->second->close();
}

void router_daemon::run(router::list_vms& /*effect*/)
{
    net::start_fiber([this] {
        auto vms = m_platform.list_vms_if_changed();
        if (vms && *vms)
            post(router::vms_listed { std::move(**vms) });
        else if (!vms)
            m_host.metrics().add("shedhill_platform_failures_total{step=\"list_vms\"}");
    });
}

void router_daemon::run(router::read_head& /*effect*/)
{
    net::start_fiber([this] {
        if (auto const head = m_platform.read_head()) {
            post(router::head_read { *head });
            return;
        }
        m_host.metrics().add("shedhill_platform_failures_total{step=\"read_head\"}");
        post(router::platform_read_failed {});
    });
}

void router_daemon::run(router::read_changes& effect)
{
    net::start_fiber([this, after = effect.after] {
        if (auto changes = m_platform.read_changes(after)) {
            post(router::changes_read { std::move(*changes) });
            return;
        }
        m_host.metrics().add("shedhill_platform_failures_total{step=\"read_changes\"}");
        post(router::platform_read_failed {});
    });
}

void router_daemon::run(router::read_snapshot& /*effect*/)
{
    net::start_fiber([this] {
        // Without a snapshot, the reducer reads the changes from the first one on.
        auto snapshot = m_platform.get_object(table_service::snapshot_object);
        post(router::snapshot_read { snapshot.value_or(std::string()) });
    });
}

void router_daemon::run(router::write_snapshot& effect)
{
    net::start_fiber([this, text = std::move(effect.snapshot)] {
        if (!m_platform.put_object(table_service::snapshot_object, text))
            m_host.metrics().add("shedhill_platform_failures_total{step=\"write_snapshot\"}");
    });
}

void router_daemon::run(router::write_claims& effect)
{
    net::start_fiber([this, batch = effect.batch, claims = std::move(effect.claims)] {
        m_host.metrics().add("shedhill_claim_batches_total");
        post(router::claims_answered { batch, m_platform.write_claims(claims) });
    });
}

void router_daemon::run(router::release_claims& effect)
{
    net::start_fiber([this, claims = std::move(effect.claims)] {
        if (!m_platform.release_claims(claims))
            m_host.metrics().add("shedhill_platform_failures_total{step=\"release_claims\"}");
    });
}

void router_daemon::run(router::set_ready& effect) { m_host.set_ready(effect.is_ready); }

void router_daemon::run(router::stop_process& /*effect*/)
{
    net::start_fiber([this] { finish_stopping(); });
}

void router_daemon::run(router::count_event& effect)
{
    m_host.metrics().add("shedhill_" + std::string(name_of(effect.which)) + "_total");
}

void router_daemon::run(router::count_refusal& effect)
{
    m_host.metrics().add("shedhill_refusals_total{reason=\"" + std::string(name_of(effect.why)) + "\"}");
}

void router_daemon::run(router::count_retry& effect)
{
    m_host.metrics().add("shedhill_retries_total{reason=\"" + std::string(name_of(effect.why)) + "\"}");
}

void router_daemon::run(router::log_line& effect) { logging::log_state(effect.text); }

void router_daemon::serve_caller(net::http_exchange& exchange)
{
    request_number const number(++m_last_request);
    auto parsed = edge::parse_request(exchange.request(), number);
    if (!parsed) {
        m_host.metrics().add("shedhill_refusals_total{reason=\"bad_request\"}");
        net::http_response const refusal { 400, outcome_headers(wire::run_outcome::not_run, wire::reason::bad_request),
            "text/plain", parsed.error().reason + "\n" };
        // The result is ignored: a caller that has disconnected needs no answer.
        (void)exchange.respond(refusal);
        return;
    }
    auto pending_caller = std::make_shared<caller>();
    pending_caller->arrived_at = m_host.now();
    m_callers[number] = pending_caller;
    exchange.set_disconnect_handler([this, number, pending_caller] {
        pending_caller->is_gone = true;
        pending_caller->changed.set();
        post(router::caller_gone { number });
    });
    post(std::move(*parsed));
    if (!deliver(exchange, *pending_caller)) {
        exchange.abort_stream();
        post(router::caller_gone { number });
    }
    m_callers.erase(number);
}

// Sends the answer to the caller. Returns whether the caller got a final answer.
bool router_daemon::deliver(net::http_exchange& exchange, caller& pending_caller)
{
    while (true) {
        while (pending_caller.answers.empty() && !pending_caller.is_gone) {
            pending_caller.changed.wait();
            pending_caller.changed.reset();
        }
        if (pending_caller.is_gone)
            return false;
        auto answer = std::move(pending_caller.answers.front());
        pending_caller.answers.pop_front();
        if (auto const* whole = std::get_if<router::answer_whole>(&answer))
            return exchange.respond(to_response(*whole)).has_value();
        if (auto const* start = std::get_if<router::answer_start>(&answer)) {
            if (!exchange.start_stream(start->status, start->content_type, {}))
                return false;
        } else if (auto const* chunk = std::get_if<router::answer_chunk>(&answer)) {
            pending_caller.queued_bytes -= chunk->data.size();
            if (!exchange.write_chunk(chunk->data))
                return false;
        } else if (auto const* end = std::get_if<router::answer_end>(&answer)) {
            if (end->why == wire::reason::none)
                return exchange.end_stream().has_value();
            // The caller gets an error event, and the stream lacks its last chunk, so that nobody takes it for
            // complete.
            (void)exchange.write_chunk(broken_stream_event(*end));
            exchange.abort_stream();
            return true;
        }
    }
}

void router_daemon::queue_answer(request_number number, router::effect answer, std::size_t bytes)
{
    auto const found = m_callers.find(number);
    if (found == m_callers.end())
        return;
    auto& pending_caller = *found->second;
    if (pending_caller.is_gone)
        return;
    if (std::holds_alternative<router::answer_start>(answer))
        m_host.metrics().observe(
            "shedhill_first_chunk_ms", static_cast<double>((m_host.now() - pending_caller.arrived_at).count()));
    if (std::holds_alternative<router::answer_chunk>(answer)) {
        if (pending_caller.last_chunk_at != instant())
            m_host.metrics().observe("shedhill_between_chunks_ms",
                static_cast<double>((m_host.now() - pending_caller.last_chunk_at).count()));
        pending_caller.last_chunk_at = m_host.now();
    }
    pending_caller.queued_bytes += bytes;
    pending_caller.answers.push_back(std::move(answer));
    if (pending_caller.queued_bytes > max_queued_bytes + bytes) {
        // The caller's fiber may be blocked in a write for a long time. Nothing more is queued for it from now on.
        pending_caller.is_gone = true;
        pending_caller.answers.clear();
        m_host.metrics().add("shedhill_slow_callers_total");
        net::start_fiber([this, number] { post(router::caller_gone { number }); });
    }
    pending_caller.changed.set();
}

void router_daemon::connect(vm_name const& vm, std::string const& address)
{
    auto connection = net::open_frame_connection(address, connect_timeout);
    if (!connection) {
        m_host.metrics().add("shedhill_connect_failures_total");
        post(router::connect_failed { vm });
        return;
    }
    auto const peer = (*connection)
                          ->perform_handshake(m_settings.identity, net::handshake_side::connecting,
                              m_reducer.catalog().current_revision());
    if (!peer || peer->vm != vm) {
        m_host.metrics().add("shedhill_connect_failures_total");
        logging::log_error(
            peer ? "connect [" + address + "]: another VM answered: " + peer->vm.value() : peer.error().to_string());
        (*connection)->abort();
        post(router::connect_failed { vm });
        return;
    }
    serve_connection(*connection, *peer, false);
}

void router_daemon::serve_connection(
    std::shared_ptr<net::frame_connection> const& connection, wire::hello const& peer, bool is_incoming)
{
    connection_id const id(++m_last_connection);
    m_connections[id] = connection;
    post(router::connection_up { id, peer.vm, peer.role, peer.epoch, peer.revision, is_incoming });
    while (true) {
        auto message = connection->read();
        if (!message)
            break;
        post(router::message_received { id, std::move(*message) });
    }
    m_connections.erase(id);
    connection->abort();
    post(router::connection_down { id });
}

// Waits up to 5 s until open answers have reached their callers, then stops the process.
void router_daemon::finish_stopping()
{
    constexpr std::chrono::milliseconds pause { 20 };
    constexpr int max_pauses = 250;
    m_http->close();
    m_frames->close();
    for (int waited = 0; !m_callers.empty() && waited < max_pauses; ++waited)
        boost::this_fiber::sleep_for(pause);
    m_host.stop();
}

} // namespace shedhill::daemon
