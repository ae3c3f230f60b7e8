// SPDX-License-Identifier: BSD-2-Clause
// Routes requests to endpoints that have no process of this product beside them. The router executes the dispatcher's
// effects on sockets and reports events to it. The bindings define the protocols of callers, endpoints and the store.
#pragma once

#include "libraries/dispatch/admission/retry_delay.h"
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
#include "services/shedhilld/fleet_view.h"
#include "services/shedhilld/log_levels.h"
#include "services/shedhilld/memory_watch.h"
#include "services/shedhilld/round_meter.h"
#include "services/shedhilld/router_gauges.h"

#include <array>
#include <csignal>
#include <deque>
#include <random>

namespace shedhill::daemon {

// Holds what the signal handlers have requested.
struct signal_flags {
    volatile std::sig_atomic_t stop { 0 };
    volatile std::sig_atomic_t reload { 0 };
};

template <relay::caller_protocol CallerBinding, relay::table_protocol TableBinding>
class platform_router final : relay::caller_listener, relay::exchange_owner {
public:
    using reload_function = std::function<result<relay::deployment_settings>()>;

    platform_router(
        relay::deployment_settings settings, dispatch::dispatch_policy const& policy, reload_function reload)
        : m_settings(std::move(settings))
        , m_reload(std::move(reload))
        , m_random(std::random_device {}())
        , m_log(m_settings.vm.value(), {})
        , m_reducer(make_options(m_settings, policy))
        , m_connections(m_loop)
        , m_probes(m_loop,
              [this](endpoint_key instance, dispatch::probe_outcome outcome) {
                  on_event(dispatch::endpoint_probed { instance, outcome });
              })
        , m_caller_listener(m_loop,
              [this](int descriptor) { m_callers.accept(descriptor, m_caller_listener.max_unaccepted_time(), *this); })
        , m_ready_server(m_loop, [this](std::string_view) { return answer_readiness(); })
        , m_metrics_server(m_loop,
              [this](std::string_view) {
                  return relay::status_answer { 200, metrics_text() };
              })
        , m_fleet_view(m_loop, m_settings, *this)
        , m_callers(m_loop, m_settings.max_unread_answer_time)
    {
    }

    result<void> open()
    {
        m_loop.link().set_megabits_per_second(m_settings.link_megabits_per_second);
        m_loop.buffered().set_limit(m_settings.buffer_limit_bytes);
        TRY_VOID(m_caller_listener.open(m_settings.caller_address));
        TRY_VOID(m_ready_server.open(m_settings.ready_address));
        auto const metrics = open_metrics();
        TRY_VOID(m_fleet_view.open());
        log_state("started",
            dispatch::log_fields()
                .add("callers", m_settings.caller_address)
                .add("callers_port", m_caller_listener.port())
                .add("ready_port", m_ready_server.port())
                .add("metrics_port", m_metrics_server.port())
                .add("peers", m_fleet_view.peer_address())
                .add("peers_port", m_fleet_view.peer_port())
                .take());
        if (!metrics)
            log_state("metrics_unavailable", dispatch::log_fields().add("reason", metrics.error().to_string()).take());
        return {};
    }

    // Runs until a stop was requested and everything has ended, or the time for the stop is over.
    void run(signal_flags& signals)
    {
        while (!m_has_ended) {
            m_loop.run_once(max_round_wait);
            limit_buffers();
            auto const now = m_loop.now();
            if (now - m_ticked_at >= tick_interval) {
                auto const since = now - std::exchange(m_ticked_at, now);
                tick(now, std::max(since - expected_tick_interval, milliseconds(0)), signals);
            }
            if (auto const round = m_rounds.end_round(m_loop.time_in_round()))
                report_long_round(*round);
        }
        log_state("stopped", {});
    }

    // The functions below are the host interface that fleet_view requires.

    // Exchanges have reported what happened before this event, and a decision about their attempts needs it.
    void handle_event(dispatch::event_body event)
    {
        process_events();
        reduce(std::move(event));
        process_events();
        m_callers.set_limits(m_reducer.routes().current().limits);
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
    template <typename Action>
    auto measure(std::string_view step, std::size_t size, Action&& action)
    {
        return m_rounds.measure(step, size, std::forward<Action>(action));
    }
    [[nodiscard]] dispatch::dispatch_reducer& reducer() { return m_reducer; }

private:
    using view = fleet_view<platform_router, TableBinding>;
    using exchange = relay::exchange<CallerBinding>;

    static constexpr milliseconds max_round_wait { 10 };
    static constexpr milliseconds tick_interval { 8 };
    // Ticks are at most this far apart while the process gets its processor time. What exceeds it is reported as lag.
    static constexpr milliseconds expected_tick_interval { 20 };
    static constexpr milliseconds timeout_check_interval { 24 };
    static constexpr milliseconds traffic_log_interval { 10000 };
    static constexpr milliseconds connect_timeout { 160 };
    // Callers may stay idle for seconds. Checking 1,600 of them 40 times a second took 9 % of a small VM's processor
    // time.
    static constexpr milliseconds idle_caller_check_interval { 240 };
    // Each check asks the system once for each answer under way.
    static constexpr milliseconds unreachable_caller_check_interval { 600 };

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
        options.list_staleness_bound = settings.leaving_bound;
        options.restores_streams = true;
        options.policy = policy;
        return options;
    }

    // Opens the metrics server. Its failure does not stop the router: callers are served even if the metrics port is
    // in use.
    result<void> open_metrics()
    {
        if (m_settings.metrics_address.empty())
            return {};
        return m_metrics_server.open(m_settings.metrics_address);
    }

    void on_request(relay::caller_connection& connection, relay::caller_request request) override
    {
        // Descriptors run short where many callers stay connected. While there are more callers than the limit, each is
        // disconnected after its answer.
        if (m_stop.has_begun() || m_callers.size() > max_persistent_callers() || sends_callers_away())
            connection.close_after_answer();
        if (m_stop.is_closing())
            return refuse_unparsed(connection, request, dispatch::refusal_reason::stopping, stopping_retry_delay);
        // The request is neither run nor buffered: what is already buffered is served first.
        if (m_loop.buffered().is_over_limit())
            return refuse_unparsed(
                connection, request, dispatch::refusal_reason::memory_full, dispatch::default_retry_delay);
        dispatch::request_arrived arrived;
        arrived.request = request_number(++m_last_request);
        arrived.unread_time = connection.unread_time();
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

    void refuse_unparsed(relay::caller_connection& connection, relay::caller_request const& request,
        dispatch::refusal_reason reason, milliseconds retry_after)
    {
        bool const closes = reason == dispatch::refusal_reason::stopping || connection.closes_after_answer();
        CallerBinding::append_refusal(
            connection.out(), { status_unavailable, dispatch::name_of(reason), retry_after, closes }, request);
        m_metrics.add(counter_name({ dispatch::counter_kind::refusals, dispatch::name_of(reason) }));
        connection.finish_answer();
    }

    void on_bad_request(relay::caller_connection& connection, relay::bad_request const& refused) override
    {
        CallerBinding::append_refusal(connection.out(),
            { static_cast<std::uint16_t>(refused.status), dispatch::name_of(dispatch::refusal_reason::bad_request), {},
                true, refused.reason },
            {});
        m_metrics.add("shedhill_refusals_total{reason=\"bad_request\"}");
        connection.finish_answer();
    }

    void on_body_refused(relay::caller_connection& connection, relay::caller_request const& request) override
    {
        refuse_unparsed(connection, request, dispatch::refusal_reason::memory_full, dispatch::default_retry_delay);
    }

    void on_caller_caught_up(relay::caller_connection& connection) override
    {
        if (auto* const open_exchange = m_exchanges.find_of_caller(connection.number()))
            open_exchange->resume();
    }

    void on_caller_disconnected(relay::caller_connection& connection) override
    {
        auto const number = connection.number();
        if (auto const request = m_exchanges.remove_caller(number))
            on_event(dispatch::caller_left { *request });
        m_callers.remove_later(number);
    }

    // Exchanges report events while they are on the stack, so the events are processed at the end of the round.

    void on_event(dispatch::event_body event) override
    {
        m_events.push_back(std::move(event));
        if (std::exchange(m_is_processing_scheduled, true))
            return;
        m_loop.at_end_of_round([this] {
            m_is_processing_scheduled = false;
            process_events();
        });
    }

    void on_connection_free(
        dispatch::send_attempt const& attempt, std::shared_ptr<relay::call_connection> connection) override
    {
        m_connections.add_idle(attempt.instance, std::move(connection));
    }

    [[nodiscard]] bool suspects_requests() const override { return m_reducer.suspects_requests(); }

    void on_exchange_finished(request_number request) override { m_exchanges.mark_finished(request); }

    void report_long_round(long_round const& round)
    {
        m_metrics.observe_latency("shedhill_long_round_seconds", static_cast<double>(round.took.count()));
        log(logging::event_level::warning, "long_round",
            dispatch::log_fields()
                .add("took_ms", round.took.count())
                .add("bound_ms", round_meter::noticeable_round.count())
                .add("steps", round.steps)
                .add("longest_step", round.step)
                .add("step_ms", round.step_took.count())
                .add("step_size", round.step_size)
                .take());
    }

    void process_events()
    {
        while (!m_events.empty()) {
            auto event = std::move(m_events.front());
            m_events.pop_front();
            reduce(std::move(event));
        }
        m_exchanges.remove_finished();
    }

    void reduce(dispatch::event_body event)
    {
        auto const step = dispatch::name_of(event);
        auto effects = m_rounds.measure(step, 0, [&] {
            return m_reducer.reduce({ m_loop.now(), m_random(), std::move(event) });
        });
        for (auto& effect : effects)
            std::visit([this](auto& body) { carry_out(body); }, effect);
    }

    void carry_out(dispatch::send_attempt& attempt)
    {
        auto* const open_exchange = m_exchanges.find(attempt.request);
        if (open_exchange == nullptr)
            return;
        auto connection = m_connections.take(attempt.instance, attempt.connection, m_loop.now());
        m_metrics.add(
            connection->is_idle() ? "shedhill_connections_reused_total" : "shedhill_connections_opened_total");
        open_exchange->start(std::move(attempt), std::move(connection));
    }

    void carry_out(dispatch::cancel_attempt const& cancellation)
    {
        if (auto* const open_exchange = m_exchanges.find(cancellation.request))
            open_exchange->drop_attempt();
    }

    void carry_out(dispatch::answer_refusal const& refusal)
    {
        if (auto* const open_exchange = m_exchanges.find(refusal.request))
            open_exchange->refuse(refusal);
    }

    void carry_out(dispatch::forward_answer const& withheld_answer)
    {
        if (auto* const open_exchange = m_exchanges.find(withheld_answer.request))
            open_exchange->forward_withheld_answer();
    }

    void carry_out(dispatch::abort_answer const& broken_answer)
    {
        if (auto* const open_exchange = m_exchanges.find(broken_answer.request))
            open_exchange->abort_answer();
    }

    void carry_out(dispatch::set_ready const& readiness)
    {
        m_is_ready = readiness.is_ready;
        m_sends_callers_away_since = readiness.closes_caller_connections ? m_loop.now() : instant {};
    }

    void carry_out(dispatch::stop_process const&) { }

    void carry_out(dispatch::probe_endpoint const& probe) { m_probes.start(probe.instance, probe.address); }

    void carry_out(dispatch::log_line const& line) { log(level_of(line.level), line.event, line.fields); }

    void carry_out(dispatch::count_event const& event) { m_metrics.add(counter_name(event)); }

    void carry_out(dispatch::timer_event const& measured)
    {
        m_metrics.observe_latency(histogram_name(measured), static_cast<double>(measured.duration.count()));
    }

    // Callers are sent away only after the load balancer has noticed that this router is not ready: until then they
    // would come back here.
    [[nodiscard]] bool sends_callers_away() const
    {
        return m_sends_callers_away_since != instant {}
        && m_loop.now() - m_sends_callers_away_since >= relay::balancer_detection_time;
    }

    // Returns the number of callers above which a caller is disconnected after its answer. The other descriptors are
    // for the connections of requests that are being served.
    [[nodiscard]] std::size_t max_persistent_callers() const { return m_settings.file_descriptor_limit / 4; }

    void tick(instant now, milliseconds lag, signal_flags& signals)
    {
        if (signals.stop != 0 && !m_stop.has_begun())
            begin_stop(now);
        if (signals.reload != 0) {
            signals.reload = 0;
            reload();
        }
        reduce(dispatch::tick {
            lag, m_loop.take_busy_fraction(), m_loop.take_link_fraction(), m_fleet_view.endpoint_list_age() });
        m_log.flush();
        process_events();
        auto const draw = m_random();
        m_fleet_view.tick(now, draw);
        if (auto const peak = m_memory.take_growth(now))
            log_memory(*peak);
        if (now - m_traffic_logged_at >= traffic_log_interval) {
            m_traffic_logged_at = now;
            log(logging::event_level::debug, "peer_traffic", peer_traffic_fields(m_fleet_view.traffic()));
        }
        if (now - m_checked_at >= timeout_check_interval) {
            m_checked_at = now;
            check_timeouts(now);
        }
        continue_stop(now);
    }

    void check_timeouts(instant now)
    {
        m_exchanges.for_each(
            [now](request_number, exchange& open_exchange) { open_exchange.check_timeouts(now, connect_timeout); });
        m_probes.check_timeouts(now);
        process_events();
        m_connections.close_expired(now);
        if (now - m_unreachable_callers_checked_at >= unreachable_caller_check_interval) {
            m_unreachable_callers_checked_at = now;
            disconnect_unreachable_callers();
        }
        if (now - m_idle_callers_checked_at >= idle_caller_check_interval) {
            m_idle_callers_checked_at = now;
            m_callers.close_timed_out(m_reducer.routes().current().limits, now);
        }
    }

    void disconnect_unreachable_callers()
    {
        for (auto const& caller : m_callers.disconnect_unreachable()) {
            std::string const reason = caller.is_silent ? "silent" : "not_reading";
            log(logging::event_level::warning, "caller_disconnected",
                dispatch::log_fields()
                    .add("reason", reason)
                    .add("unread", caller.unread_bytes)
                    .add("unread_ms", caller.unread_for.count())
                    .add("bound_ms", m_settings.max_unread_answer_time.count())
                    .take());
            m_metrics.add("shedhill_callers_disconnected_total{reason=\"" + reason + "\"}");
        }
    }

    // Keeps the bytes that are buffered for peers within their limit. Bodies of requests that are not accepted yet are
    // refused first, then slow readers are disconnected, then all endpoints but one have to wait.
    void limit_buffers()
    {
        auto const& buffered = m_loop.buffered();
        if (buffered.is_over_request_limit() && buffered.bytes_at(relay::buffer_place::incoming) > 0)
            log_released(
                "body_given_up", "received", "shedhill_bodies_given_up_total", m_callers.refuse_incomplete_bodies());
        if (buffered.is_over_limit())
            log_released("slow_reader_ended", "unread", "shedhill_slow_readers_ended_total",
                m_callers.disconnect_slow_readers());
        if (buffered.is_over_limit())
            pause_withheld_answers();
        else if (m_are_answers_paused)
            resume_withheld_answers();
    }

    // Reads only the largest answer of those that are withheld until they are complete: it is the first to end, by its
    // end or by its limit.
    void pause_withheld_answers()
    {
        exchange* largest = nullptr;
        m_exchanges.for_each([&](request_number, exchange& open_exchange) {
            if (largest == nullptr || open_exchange.withheld_size() > largest->withheld_size())
                largest = &open_exchange;
        });
        m_exchanges.for_each([&](request_number, exchange& open_exchange) {
            if (&open_exchange != largest)
                open_exchange.wait_for_memory();
        });
        if (largest != nullptr)
            largest->continue_with_memory();
        if (std::exchange(m_are_answers_paused, true))
            return;
        m_metrics.add("shedhill_answers_paused_total");
        log(logging::event_level::warning, "answers_paused",
            dispatch::log_fields()
                .add("held", m_loop.buffered().bytes())
                .add("limit", m_loop.buffered().limit())
                .add("requests", m_exchanges.size())
                .add("largest", largest == nullptr ? 0 : largest->withheld_size())
                .take());
    }

    void resume_withheld_answers()
    {
        m_are_answers_paused = false;
        m_exchanges.for_each([](request_number, exchange& open_exchange) { open_exchange.continue_with_memory(); });
    }

    void log_released(std::string_view event, std::string_view bytes_name, std::string const& counter,
        std::vector<relay::buffer_holder> const& released)
    {
        auto const& buffered = m_loop.buffered();
        for (auto const& holder : released) {
            log(logging::event_level::warning, event,
                dispatch::log_fields()
                    .add(bytes_name, holder.bytes)
                    .add("held", buffered.bytes())
                    .add("limit", buffered.limit())
                    .take());
            m_metrics.add(counter);
        }
    }

    void log_memory(std::int64_t peak_kib)
    {
        auto const& buffered = m_loop.buffered();
        log_state("memory_grew",
            dispatch::log_fields()
                .add("peak_kib", peak_kib)
                .add("vm_kib", m_settings.memory_bytes / bytes_per_kib)
                .add("held", buffered.bytes())
                .add("held_peak", buffered.peak())
                .add("limit", buffered.limit())
                .add("callers", m_callers.size())
                .add("requests", m_exchanges.size())
                .take());
    }

    void begin_stop(instant now)
    {
        m_stop.begin(now);
        m_fleet_view.leave();
        log_state("stop_requested", dispatch::log_fields().add("open", m_exchanges.size()).take());
        reduce(dispatch::drain_requested {});
    }

    void continue_stop(instant now)
    {
        if (!m_stop.has_begun())
            return;
        switch (
            m_stop.advance({ m_exchanges.size(), m_callers.has_unfinished_exchange() }, m_settings.stop_time, now)) {
        case relay::stop_step::wait:
            return;
        case relay::stop_step::close_callers:
            return close_idle_callers();
        case relay::stop_step::end_requests:
            return end_requests();
        case relay::stop_step::end_process:
            m_has_ended = true;
            return;
        }
    }

    void close_idle_callers()
    {
        m_caller_listener.close();
        m_callers.close_idle();
    }

    void end_requests()
    {
        close_idle_callers();
        log_state("stop_time_over", dispatch::log_fields().add("open", m_exchanges.size()).take());
        reduce(dispatch::drain_expired {});
        process_events();
    }

    void reload()
    {
        auto const read = m_reload();
        if (!read)
            return log_state("reload_refused", dispatch::log_fields().add("reason", read.error().to_string()).take());
        m_settings.stop_time = read->stop_time;
        m_settings.seeds = read->seeds;
        m_fleet_view.add_seeds(m_settings.seeds);
        log_state("reloaded", {});
    }

    relay::status_answer answer_readiness() const
    {
        return m_is_ready ? relay::status_answer { 200, "ready\n" } : relay::status_answer { 503, "not ready\n" };
    }

    std::string metrics_text()
    {
        m_metrics.set("shedhill_ready", m_is_ready ? 1 : 0);
        m_metrics.set("shedhill_follows_store", m_fleet_view.is_watching_store() ? 1 : 0);
        m_metrics.set("shedhill_tells_other_domains", m_fleet_view.is_domain_delegate() ? 1 : 0);
        m_metrics.set("shedhill_configuration_age_ms", static_cast<double>(m_fleet_view.configuration_age().count()));
        m_metrics.set("shedhill_endpoint_list_age_ms", static_cast<double>(m_fleet_view.endpoint_list_age().count()));
        m_metrics.set("shedhill_stored_quarantines", static_cast<double>(m_fleet_view.stored_quarantines()));
        m_metrics.set("shedhill_stream_rows_written", static_cast<double>(m_fleet_view.written_stream_rows()));
        m_metrics.set("shedhill_store_unheard_ms", static_cast<double>(m_fleet_view.time_since_store_answer().count()));
        set_dispatch_gauges(m_metrics, m_reducer, m_loop.now());
        set_peer_gauges(m_metrics, m_fleet_view.traffic());
        m_metrics.set("shedhill_held_bytes", static_cast<double>(m_loop.buffered().bytes()));
        set_buffer_gauges(m_metrics, m_loop.buffered());
        m_metrics.set("shedhill_resident_peak_kib", static_cast<double>(memory_watch::peak_kib()));
        m_metrics.set("shedhill_held_bytes_limit", static_cast<double>(m_loop.buffered().limit()));
        set_log_gauges(m_metrics, m_log.counts());
        return m_metrics.to_text() + engines_text(m_reducer.engines())
            + held_endpoints_text(m_reducer.held_endpoints(m_loop.now()));
    }

    static constexpr std::size_t bytes_per_kib = 1024;
    static constexpr std::uint16_t status_bad_request = 400;
    static constexpr std::uint16_t status_unavailable = 503;
    // A caller refused by a stopping router may retry almost immediately, because another router accepts the request.
    static constexpr milliseconds stopping_retry_delay { 20 };

    relay::deployment_settings m_settings;
    reload_function m_reload;
    relay::event_loop m_loop;
    std::mt19937_64 m_random;
    logging::event_log m_log;
    metrics::registry m_metrics;
    memory_watch m_memory;
    round_meter m_rounds { [this] { return m_loop.time_ns(); } };
    dispatch::dispatch_reducer m_reducer;
    endpoint_connections m_connections;
    relay::endpoint_probes m_probes;

    relay::listener_socket m_caller_listener;
    relay::status_server m_ready_server;
    relay::status_server m_metrics_server;
    view m_fleet_view;

    std::uint64_t m_last_request { 0 };
    caller_table m_callers;
    exchange_table<exchange> m_exchanges;
    std::deque<dispatch::event_body> m_events;
    bool m_is_processing_scheduled { false };

    // Whether the answers of some endpoints are not read for lack of memory.
    bool m_are_answers_paused { false };
    bool m_is_ready { false };
    // When this router began to send callers away because it is overloaded; the zero instant while it does
    // not.
    instant m_sends_callers_away_since {};
    bool m_has_ended { false };
    relay::stop_sequence m_stop;
    instant m_ticked_at {};
    instant m_checked_at {};
    instant m_traffic_logged_at {};
    instant m_idle_callers_checked_at {};
    instant m_unreachable_callers_checked_at {};
};

} // namespace shedhill::daemon
