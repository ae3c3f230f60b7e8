// SPDX-License-Identifier: BSD-2-Clause
// A router before endpoints that have no process of ours beside them: carries the dispatcher's effects out on sockets
// and tells it what happened. The bindings say in whose manner callers, endpoints and the store speak.
#pragma once

#include "libraries/dispatch/admission/return_time.h"
#include "libraries/dispatch/dispatch_reducer.h"
#include "libraries/dispatch/log_fields.h"
#include "libraries/logging/event_log.h"
#include "libraries/metrics/registry.h"
#include "libraries/relay/deployment.h"
#include "libraries/relay/endpoint_probes.h"
#include "libraries/relay/exchange.h"
#include "libraries/relay/status_server.h"
#include "libraries/relay/stop_sequence.h"
#include "services/shedhilld/caller_table.h"
#include "services/shedhilld/counter_names.h"
#include "services/shedhilld/endpoint_connections.h"
#include "services/shedhilld/exchange_table.h"
#include "services/shedhilld/fleet_knowledge.h"
#include "services/shedhilld/log_levels.h"
#include "services/shedhilld/router_gauges.h"

#include <array>
#include <csignal>
#include <deque>
#include <random>

namespace shedhill::daemon {

// Set by the signal handlers.
struct signal_flags {
    volatile std::sig_atomic_t stop { 0 };
    volatile std::sig_atomic_t reload { 0 };
};

template <relay::caller_protocol CallerBinding, relay::table_protocol TableBinding>
class direct_router final : relay::caller_listener, relay::exchange_owner {
public:
    using reload_function = std::function<result<relay::deployment_settings>()>;

    direct_router(relay::deployment_settings settings, dispatch::dispatch_policy const& policy, reload_function reload)
        : m_settings(std::move(settings))
        , m_reload(std::move(reload))
        , m_random(std::random_device {}())
        , m_log(m_settings.vm.value(), {})
        , m_reducer(make_options(m_settings, policy))
        , m_connections(m_loop)
        , m_probes(m_loop,
              [this](endpoint_key start, dispatch::probe_outcome outcome) {
                  on_event(dispatch::endpoint_probed { start, outcome });
              })
        , m_caller_listener(m_loop,
              [this](int descriptor) { m_callers.accept(descriptor, *this, m_reducer.routes().current().limits); })
        , m_ready_server(m_loop, [this](std::string_view) { return answer_readiness(); })
        , m_metrics_server(m_loop,
              [this](std::string_view) {
                  return relay::status_answer { 200, metrics_text() };
              })
        , m_knowledge(m_loop, m_settings, *this)
        , m_callers(m_loop)
    {
    }

    result<void> open()
    {
        m_loop.link().set_megabits_per_second(m_settings.link_megabits_per_second);
        m_loop.held().set_limit(m_settings.memory_bytes / part_of_memory_held);
        TRY_VOID(m_caller_listener.open(m_settings.caller_address));
        TRY_VOID(m_ready_server.open(m_settings.ready_address));
        auto const metrics = open_metrics();
        TRY_VOID(m_knowledge.open());
        log_state("started",
            dispatch::log_fields()
                .add("callers", m_settings.caller_address)
                .add("callers_port", m_caller_listener.port())
                .add("ready_port", m_ready_server.port())
                .add("metrics_port", m_metrics_server.port())
                .add("peers", m_knowledge.peer_address())
                .add("peers_port", m_knowledge.peer_port())
                .take());
        if (!metrics)
            log_state("metrics_unavailable", dispatch::log_fields().add("reason", metrics.error().to_string()).take());
        return {};
    }

    // Until a stop was asked for and everything has ended.
    void run(signal_flags& signals)
    {
        while (!m_is_over) {
            m_loop.run_once(round_limit);
            auto const now = m_loop.now();
            if (now - m_ticked_at >= tick_interval) {
                auto const since = now - std::exchange(m_ticked_at, now);
                tick(now, std::max(since - usual_tick, milliseconds(0)), signals);
            }
        }
        log_state("stopped", {});
    }

    // What fleet_knowledge tells this router.

    void learn(dispatch::event_body happened)
    {
        reduce(std::move(happened));
        take_events();
    }

    void log_state(std::string_view event, std::string const& fields)
    {
        log(logging::event_level::info, event, fields);
    }

    void log(logging::event_level level, std::string_view event, std::string const& fields)
    {
        m_log.write(level, event, fields, m_loop.now());
    }

    void count(std::string const& name) { m_metrics.add(name); }
    [[nodiscard]] dispatch::dispatch_reducer& reducer() { return m_reducer; }

private:
    using knowledge = fleet_knowledge<direct_router, TableBinding>;
    using exchange = relay::exchange<CallerBinding>;

    static constexpr milliseconds round_limit { 10 };
    static constexpr milliseconds tick_interval { 8 };
    // A tick comes at the latest so long after the one before, if the process has time for it.
    static constexpr milliseconds usual_tick { 20 };
    static constexpr milliseconds check_interval { 24 };
    static constexpr milliseconds traffic_interval { 10000 };
    // Of the VM's memory, what may be held for peers: the rest is for the process itself, which takes 20 MB in a fleet
    // of hundreds, and for the system's own buffers of the same connections.
    static constexpr std::size_t part_of_memory_held = 4;
    static constexpr milliseconds connect_limit { 160 };
    // Callers may rest for seconds; a small VM with 1,600 of them spent 9 in 100 of its time on looking at each 40
    // times a second.
    static constexpr milliseconds idle_check_interval { 240 };

    static dispatch::dispatch_options make_options(
        relay::deployment_settings const& settings, dispatch::dispatch_policy const& policy)
    {
        dispatch::dispatch_options options;
        options.vm = settings.vm;
        options.domain = settings.domain;
        options.regions = settings.regions;
        options.retries = { settings.retry_ratio, settings.retry_window, settings.retry_slack, 1 };
        options.cold = { settings.cold_overage, settings.cold_slack };
        options.share_window = settings.share_window;
        options.policy = policy;
        return options;
    }

    // Callers are served without metrics too: a port that is taken ends no router.
    result<void> open_metrics()
    {
        if (m_settings.metrics_address.empty())
            return {};
        return m_metrics_server.open(m_settings.metrics_address);
    }

    // Callers.

    void on_request(relay::caller_connection& connection, relay::caller_request request) override
    {
        // Where many callers stay connected, descriptors run short: who has been served is let go.
        if (m_stop.has_begun() || m_callers.size() > most_kept_callers() || sends_callers_away())
            connection.close_after_answer();
        if (m_stop.is_closing())
            return refuse_unread(connection, request, dispatch::refusal_reason::stopping, stopping_return);
        // Not run and not kept: what is held already is served first.
        if (m_loop.held().is_over())
            return refuse_unread(connection, request, dispatch::refusal_reason::memory_full, dispatch::least_return);
        dispatch::request_arrived arrived;
        arrived.request = request_number(++m_last_request);
        if (!CallerBinding::read_request(request, arrived)) {
            CallerBinding::append_refusal(connection.out(),
                { status_bad_request, dispatch::name_of(dispatch::refusal_reason::bad_request), {},
                    connection.closes_after_answer() },
                request);
            m_metrics.add("shedhill_refusals_total{reason=\"bad_request\"}");
            return connection.finish_answer();
        }
        if (m_reducer.suspects_requests())
            arrived.content = relay::content_of(request);
        m_exchanges.add(arrived.request,
            std::make_unique<exchange>(m_loop, static_cast<relay::exchange_owner&>(*this), arrived.request,
                std::move(request), connection.shared_from_this()));
        on_event(std::move(arrived));
    }

    void refuse_unread(relay::caller_connection& connection, relay::caller_request const& request,
        dispatch::refusal_reason reason, milliseconds retry_after)
    {
        bool const closes = reason == dispatch::refusal_reason::stopping || connection.closes_after_answer();
        CallerBinding::append_refusal(
            connection.out(), { status_unavailable, dispatch::name_of(reason), retry_after, closes }, request);
        m_metrics.add(counter_name({ dispatch::counted::refusals, dispatch::name_of(reason) }));
        connection.finish_answer();
    }

    void on_bad_request(relay::caller_connection& connection, unsigned status) override
    {
        CallerBinding::append_refusal(connection.out(),
            { static_cast<std::uint16_t>(status), dispatch::name_of(dispatch::refusal_reason::bad_request), {}, true },
            {});
        m_metrics.add("shedhill_refusals_total{reason=\"bad_request\"}");
        connection.finish_answer();
    }

    void on_caller_gone(relay::caller_connection& connection) override
    {
        auto const number = connection.number();
        if (auto const request = m_exchanges.forget_caller(number))
            on_event(dispatch::caller_left { *request });
        m_callers.forget_later(number);
    }

    // Exchanges. What they tell is taken up at the end of the round: they are on the stack now.

    void on_event(dispatch::event_body happened) override
    {
        m_events.push_back(std::move(happened));
        if (std::exchange(m_is_drain_scheduled, true))
            return;
        m_loop.at_end_of_round([this] {
            m_is_drain_scheduled = false;
            take_events();
        });
    }

    void on_connection_free(
        dispatch::send_attempt const& attempt, std::shared_ptr<relay::call_connection> connection) override
    {
        m_connections.keep(attempt.start, std::move(connection));
    }

    [[nodiscard]] bool suspects_requests() const override { return m_reducer.suspects_requests(); }

    void on_exchange_over(request_number request) override { m_exchanges.note_over(request); }

    void take_events()
    {
        while (!m_events.empty()) {
            auto happened = std::move(m_events.front());
            m_events.pop_front();
            reduce(std::move(happened));
        }
        m_exchanges.remove_over();
    }

    void reduce(dispatch::event_body happened)
    {
        auto effects = m_reducer.reduce({ m_loop.now(), m_random(), std::move(happened) });
        for (auto& effect : effects)
            std::visit([this](auto& body) { carry_out(body); }, effect);
    }

    void carry_out(dispatch::send_attempt& sent)
    {
        auto* const served = m_exchanges.find(sent.request);
        if (served == nullptr)
            return;
        auto connection = m_connections.take(sent.start, sent.connection, m_loop.now());
        m_metrics.add(
            connection->is_idle() ? "shedhill_connections_reused_total" : "shedhill_connections_opened_total");
        served->start(std::move(sent), std::move(connection));
    }

    void carry_out(dispatch::cancel_attempt const& cancelled)
    {
        if (auto* const served = m_exchanges.find(cancelled.request))
            served->drop_attempt();
    }

    void carry_out(dispatch::answer_refusal const& refusal)
    {
        if (auto* const served = m_exchanges.find(refusal.request))
            served->refuse(refusal);
    }

    void carry_out(dispatch::pass_answer const& passed)
    {
        if (auto* const served = m_exchanges.find(passed.request))
            served->pass_kept_answer();
    }

    void carry_out(dispatch::break_answer const& broken)
    {
        if (auto* const served = m_exchanges.find(broken.request))
            served->break_off();
    }

    void carry_out(dispatch::set_ready const& changed)
    {
        m_is_ready = changed.is_ready;
        m_sends_away_since = changed.sends_callers_away ? m_loop.now() : instant {};
    }

    void carry_out(dispatch::stop_process const&) { }

    void carry_out(dispatch::probe_endpoint const& probe) { m_probes.start(probe.start, probe.address); }

    void carry_out(dispatch::log_line const& line) { log(level_of(line.level), line.event, line.fields); }

    void carry_out(dispatch::count_event const& happened) { m_metrics.add(counter_name(happened)); }

    void carry_out(dispatch::time_event const& measured)
    {
        m_metrics.observe_latency(histogram_name(measured), static_cast<double>(measured.took.count()));
    }

    // Not before the balancer has noticed: until then they would come back here.
    [[nodiscard]] bool sends_callers_away() const
    {
        return m_sends_away_since != instant {} && m_loop.now() - m_sends_away_since >= relay::balancer_notice;
    }

    // Half of the descriptors are for callers who rest between requests; the others are for those being served.
    [[nodiscard]] std::size_t most_kept_callers() const { return m_settings.descriptors / 4; }

    // Time.

    void tick(instant now, milliseconds lag, signal_flags& signals)
    {
        if (signals.stop != 0 && !m_stop.has_begun())
            begin_stop(now);
        if (signals.reload != 0) {
            signals.reload = 0;
            reload();
        }
        reduce(dispatch::tick { lag, m_loop.take_busy_part(), m_loop.take_link_part() });
        m_log.flush();
        take_events();
        auto const draw = m_random();
        m_knowledge.tick(now, draw);
        if (now - m_traffic_told_at >= traffic_interval) {
            m_traffic_told_at = now;
            log(logging::event_level::debug, "peer_traffic", peer_traffic_fields(m_knowledge.traffic()));
        }
        if (now - m_checked_at >= check_interval) {
            m_checked_at = now;
            check_times(now);
        }
        go_on_stopping(now);
    }

    void check_times(instant now)
    {
        m_exchanges.for_each([now](exchange& served) { served.check_time(now, connect_limit); });
        m_probes.check_time(now);
        take_events();
        m_connections.close_old(now);
        if (m_loop.held().is_over())
            end_slow_readers();
        if (now - m_idle_callers_checked_at >= idle_check_interval) {
            m_idle_callers_checked_at = now;
            m_callers.close_at_limit(m_reducer.routes().current().limits, now);
        }
    }

    void end_slow_readers()
    {
        auto const held = m_loop.held().held();
        for (auto const& reader : m_callers.end_slow_readers()) {
            log(logging::event_level::warning, "slow_reader_ended",
                dispatch::log_fields()
                    .add("unread", reader.unread)
                    .add("held", held)
                    .add("limit", m_loop.held().limit())
                    .take());
            m_metrics.add("shedhill_slow_readers_ended_total");
        }
    }

    // Stopping.

    void begin_stop(instant now)
    {
        m_stop.begin(now);
        m_knowledge.leave();
        log_state("stop_requested", dispatch::log_fields().add("open", m_exchanges.size()).take());
        reduce(dispatch::drain_requested {});
    }

    void go_on_stopping(instant now)
    {
        if (!m_stop.has_begun())
            return;
        switch (m_stop.advance({ m_exchanges.size(), m_callers.has_half_an_exchange() }, m_settings.stop_time, now)) {
        case relay::stop_step::wait:
            return;
        case relay::stop_step::close_callers:
            return close_idle_callers();
        case relay::stop_step::end_process:
            m_is_over = true;
            return;
        }
    }

    void close_idle_callers()
    {
        m_caller_listener.close();
        m_callers.close_idle();
    }

    void reload()
    {
        auto const read = m_reload();
        if (!read)
            return log_state("reload_refused", dispatch::log_fields().add("reason", read.error().to_string()).take());
        m_settings.stop_time = read->stop_time;
        m_settings.seeds = read->seeds;
        m_knowledge.add_seeds(m_settings.seeds);
        log_state("reloaded", {});
    }

    // Readiness and counters.

    relay::status_answer answer_readiness() const
    {
        return m_is_ready ? relay::status_answer { 200, "ready\n" } : relay::status_answer { 503, "not ready\n" };
    }

    std::string metrics_text()
    {
        m_metrics.set("shedhill_ready", m_is_ready ? 1 : 0);
        m_metrics.set("shedhill_follows_store", m_knowledge.is_following() ? 1 : 0);
        m_metrics.set("shedhill_tells_other_domains", m_knowledge.is_telling_domains() ? 1 : 0);
        m_metrics.set("shedhill_configuration_age_ms", static_cast<double>(m_knowledge.configuration_age().count()));
        m_metrics.set("shedhill_endpoint_list_age_ms", static_cast<double>(m_knowledge.endpoint_list_age().count()));
        m_metrics.set("shedhill_stored_quarantines", static_cast<double>(m_knowledge.stored_quarantines()));
        m_metrics.set("shedhill_store_unheard_ms", static_cast<double>(m_knowledge.store_unheard().count()));
        set_dispatch_gauges(m_metrics, m_reducer, m_loop.now());
        set_peer_gauges(m_metrics, m_knowledge.traffic());
        m_metrics.set("shedhill_held_bytes", static_cast<double>(m_loop.held().held()));
        m_metrics.set("shedhill_held_bytes_limit", static_cast<double>(m_loop.held().limit()));
        set_log_gauges(m_metrics, m_log.counts());
        return m_metrics.to_text() + engines_text(m_reducer.engines())
            + held_endpoints_text(m_reducer.held_endpoints(m_loop.now()));
    }

    static constexpr std::uint16_t status_bad_request = 400;
    static constexpr std::uint16_t status_unavailable = 503;
    // Another router takes the request at once.
    static constexpr milliseconds stopping_return { 20 };

    relay::deployment_settings m_settings;
    reload_function m_reload;
    relay::event_loop m_loop;
    std::mt19937_64 m_random;
    logging::event_log m_log;
    metrics::registry m_metrics;
    dispatch::dispatch_reducer m_reducer;
    endpoint_connections m_connections;
    relay::endpoint_probes m_probes;

    relay::listener_socket m_caller_listener;
    relay::status_server m_ready_server;
    relay::status_server m_metrics_server;
    knowledge m_knowledge;

    std::uint64_t m_last_request { 0 };
    caller_table m_callers;
    exchange_table<exchange> m_exchanges;
    std::deque<dispatch::event_body> m_events;
    bool m_is_drain_scheduled { false };

    bool m_is_ready { false };
    // This router has stepped aside; the epoch while it has not.
    instant m_sends_away_since {};
    bool m_is_over { false };
    relay::stop_sequence m_stop;
    instant m_ticked_at {};
    instant m_checked_at {};
    instant m_traffic_told_at {};
    instant m_idle_callers_checked_at {};
};

} // namespace shedhill::daemon
