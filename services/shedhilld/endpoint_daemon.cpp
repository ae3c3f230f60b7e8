// SPDX-License-Identifier: BSD-2-Clause
// Interprets the effects of an endpoint process. The reducer makes all decisions.
#include "services/shedhilld/endpoint_daemon.h"

#include "libraries/endpoint/service_meter.h"
#include "libraries/logging/log.h"
#include "libraries/net/fibers.h"

#include <iostream>

namespace shedhill::daemon {

namespace {

constexpr milliseconds tick_interval { 100 };

endpoint::engine_end to_engine_end(net::http_call_outcome outcome)
{
    switch (outcome) {
    case net::http_call_outcome::complete:
        return endpoint::engine_end::whole;
    case net::http_call_outcome::not_sent:
        return endpoint::engine_end::not_sent;
    case net::http_call_outcome::cancelled:
        return endpoint::engine_end::cancelled;
    case net::http_call_outcome::interrupted:
        break;
    }
    return endpoint::engine_end::cut;
}

net::http_request to_http(wire::run const& run)
{
    net::http_request sent { run.method, run.target, {}, run.body };
    for (auto const& [name, value] : run.headers)
        sent.headers.push_back({ name, value });
    return sent;
}

} // namespace

endpoint_daemon::endpoint_daemon(process& host, endpoint_settings settings)
    : m_host(host)
    , m_settings(std::move(settings))
    , m_reducer(m_settings.options)
{
}

result<void> endpoint_daemon::open()
{
    m_frames = TRY(net::frame_listener::open(m_settings.frame_address,
        [this](std::shared_ptr<net::frame_connection> const& connection) { serve_connection(connection); }));
    auto const admin = TRY(m_host.open_admin(m_settings.admin_address));
    std::cout << "listening frames=" << m_frames->port() << " admin=" << admin << std::endl;
    m_host.set_ready(true);
    m_host.tick_every(tick_interval, [this] { post(endpoint::tick {}); });
    m_host.drain_on_signal([this] { post(endpoint::drain_requested {}); });
    return {};
}

void endpoint_daemon::post(endpoint::event_body body)
{
    for (auto& effect : m_reducer.reduce({ m_host.now(), m_host.draw(), std::move(body) }))
        std::visit([this](auto& effect_body) { run(effect_body); }, effect);
}

void endpoint_daemon::run(endpoint::send_message& effect)
{
    if (auto const found = m_connections.find(effect.connection); found != m_connections.end())
        found->second->send(effect.message);
}

void endpoint_daemon::run(endpoint::start_call& effect)
{
    auto call = net::http_call::create();
    m_calls[effect.call] = call;
    net::start_fiber(
        [this, number = effect.call, request = std::move(effect.request), call,
            answered = m_connections.at(effect.connection)] { make_call(number, request, *call, answered); });
}

void endpoint_daemon::run(endpoint::cancel_call& effect)
{
    if (auto const found = m_calls.find(effect.call); found != m_calls.end())
        found->second->cancel();
}

void endpoint_daemon::run(endpoint::set_ready& effect) { m_host.set_ready(effect.is_ready); }

void endpoint_daemon::run(endpoint::stop_process& /*effect*/)
{
    net::start_fiber([this] { finish_stopping(); });
}

void endpoint_daemon::run(endpoint::count_event& effect)
{
    m_host.metrics().add("shedhill_" + std::string(name_of(effect.which)) + "_total");
}

void endpoint_daemon::run(endpoint::count_refusal& effect)
{
    m_host.metrics().add("shedhill_refusals_total{reason=\"" + std::string(name_of(effect.why)) + "\"}");
}

void endpoint_daemon::run(endpoint::log_line& effect) { logging::log_state(effect.text); }

void endpoint_daemon::serve_connection(std::shared_ptr<net::frame_connection> const& connection)
{
    auto const peer = connection->perform_handshake(m_settings.identity, net::handshake_side::accepting, m_revision);
    if (!peer || peer->role != wire::process_role::router) {
        m_host.metrics().add("shedhill_strangers_refused_total");
        connection->abort();
        return;
    }
    m_revision = std::max(m_revision, peer->revision);
    connection_id const id(++m_last_connection);
    m_connections[id] = connection;
    post(endpoint::connection_up { id, peer->vm, peer->epoch, peer->revision });
    while (true) {
        auto message = connection->read();
        if (!message)
            break;
        post(endpoint::message_received { id, std::move(*message) });
    }
    m_connections.erase(id);
    connection->abort();
    post(endpoint::connection_down { id });
}

void endpoint_daemon::make_call(endpoint::call_number number, wire::run const& request, net::http_call& call,
    std::shared_ptr<net::frame_connection> const& answered)
{
    auto const ends_at = m_host.now() + request.time_left;
    endpoint::service_meter meter(m_settings.options.weights, request.body.size());
    auto const outcome = call.run(
        m_settings.engine_address, to_http(request), request.time_left,
        [&](std::uint16_t status, std::string const& content_type) {
            meter.start_answer(content_type);
            post(endpoint::engine_head { number, status, content_type });
        },
        [&](std::string_view data) {
            meter.consume(data);
            post(endpoint::engine_data { number, std::string(data), meter.service() });
            if (!answered->wait_for_space(std::max(ends_at - m_host.now(), milliseconds(0))))
                call.cancel();
        });
    m_calls.erase(number);
    post(endpoint::engine_ended { number, to_engine_end(outcome), meter.service() });
}

// Waits up to 2 s until the last messages are written to the routers, then stops the process.
void endpoint_daemon::finish_stopping()
{
    constexpr std::chrono::milliseconds pause { 20 };
    constexpr int max_pauses = 100;
    m_frames->close();
    auto const is_drained = [this] {
        return std::ranges::all_of(
            m_connections, [](auto const& entry) { return entry.second->is_send_queue_empty(); });
    };
    for (int waited = 0; !is_drained() && waited < max_pauses; ++waited)
        boost::this_fiber::sleep_for(pause);
    m_host.stop();
}

} // namespace shedhill::daemon
