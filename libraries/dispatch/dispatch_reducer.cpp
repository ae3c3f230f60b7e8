// SPDX-License-Identifier: BSD-2-Clause
// Handles the events that concern no single request: configuration, endpoint list, peers, time and drain. The events of
// requests are in dispatch_admission.cpp, dispatch_outcomes.cpp, dispatch_failures.cpp and dispatch_suspects.cpp.
#include "libraries/dispatch/dispatch_reducer.h"

#include "libraries/dispatch/log_fields.h"

#include <algorithm>
#include <utility>

namespace shedhill::dispatch {

namespace {

// The state of a router, or of a failure domain, is removed after this time without a report.
constexpr milliseconds peer_silence_limit { 1500 };
// Removing the sums of a failure domain too early would admit twice the entitled service. Its routers rarely end all at
// once, and another of them reports within a second after the delegate has ended.
constexpr milliseconds domain_silence_limit { 3000 };
// The use of a prompt part is not reported again within this time: routers consider a part cached for many seconds, and
// the parts that most requests share would fill the messages.
constexpr milliseconds part_report_interval { 1000 };
constexpr double percent = 100;
// The intervals of periodic work: the checks for passed deadlines and silent peers, the removal of old prompt parts,
// and the update of shares, rates and suspects.
constexpr milliseconds deadline_interval { 40 };
constexpr milliseconds parts_interval { 2000 };
constexpr milliseconds shares_interval { 100 };
// The interval between log lines about changed prefill rates.
constexpr milliseconds rate_log_interval { 5000 };
// Bounds the log lines in each interval; the metrics contain the rates of all engines.
constexpr std::size_t max_rate_lines = 5;

} // namespace

dispatch_reducer::dispatch_reducer(dispatch_options options)
    : m_options(std::move(options))
    , m_board(m_options.domain, m_options.policy, m_options.cold, m_options.vm, m_options.regions)
    , m_ledger(m_options.share_window)
    , m_retries(m_options.retries)
    , m_versions(m_options.list_staleness_bound)
{
}

effect_list dispatch_reducer::reduce(event incoming)
{
    step_context step { incoming.now, incoming.draw, {} };
    std::visit([&](auto& body) { handle(body, step); }, incoming.body);
    return std::move(step.effects);
}

void dispatch_reducer::handle(configuration_received& received, step_context& step)
{
    route_index replaced_index;
    if (m_routes.adopt(received.declared, replaced_index) == adoption::not_newer)
        return;
    indexed_routes const replaced { received.declared.routes, replaced_index };
    auto const& current = m_routes.current();
    update_stream_lifetime();
    if (m_pool_changes.record(replaced, m_routes.current_routes(), m_versions.stream_lifetime(), step.now))
        record_running_streams(step.now);
    m_board.apply_pools(current.pools, current.limits.tokens_per_second);
    step.effects.emplace_back(log_line { severity::info, "configuration_in_force",
        log_fields()
            .add("revision", current.revision)
            .add("routes", current.routes.size())
            .add("bytes", received.bytes)
            .add("source", received.source)
            .add("age_ms", received.age.count())
            .take() });
    update_ready(step);
}

void dispatch_reducer::handle(domains_evacuated const& evacuated, step_context& step)
{
    auto const before = m_board.evacuated();
    m_board.set_evacuated(evacuated.domains, step.now);
    auto const& now = m_board.evacuated();
    for (auto const& domain : now) {
        if (!before.contains(domain))
            log_evacuation(domain, "domain_evacuated", step);
    }
    for (auto const& domain : before) {
        if (!now.contains(domain))
            log_evacuation(domain, "domain_given_back", step);
    }
    if (now != before)
        serve_waiting(step);
}

void dispatch_reducer::log_evacuation(failure_domain const& domain, std::string_view event, step_context& step)
{
    // The number of endpoints shows an operator whether the name of the failure domain was misspelled.
    step.effects.emplace_back(log_line { severity::info, std::string(event),
        log_fields().add("domain", domain.value()).add("endpoints", m_board.endpoints_in(domain)).take() });
}

void dispatch_reducer::handle(endpoints_listed const& listed, step_context& step)
{
    m_board.apply_list(listed.entries, step.now);
    m_versions.apply_list(m_board.listed_versions(), step.now);
    record_running_streams(step.now);
    m_has_list = true;
    step.effects.emplace_back(log_line { severity::debug, "endpoints_listed",
        log_fields()
            .add("endpoints", listed.entries.size())
            .add("draining", std::ranges::count(listed.entries, true, &endpoint_entry::is_draining))
            .add("cold", m_board.cold_endpoints(step.now))
            .take() });
    update_ready(step);
    end_attempts_at_replaced_instances(step);
    serve_waiting(step);
}

void dispatch_reducer::end_attempts_at_replaced_instances(step_context& step)
{
    std::vector<attempt_ended> ended;
    for (auto const& [number, request] : m_requests) {
        if (request.state != phase::running)
            continue;
        auto const* const listed = m_board.find(request.endpoint);
        if (listed != nullptr && listed->key != request.instance)
            ended.push_back({ number, request.attempt, attempt_end::broken, 0, 0, request.has_answer_begun });
    }
    for (auto const& end : ended) {
        step.effects.emplace_back(cancel_attempt { end.request });
        handle(end, step);
    }
}

void dispatch_reducer::log_rate_changes(step_context& step)
{
    auto const changes = m_board.take_rate_changes();
    auto const logged = std::min(changes.size(), max_rate_lines);
    for (std::size_t index = 0; index < logged; ++index) {
        auto const& change = changes[index];
        step.effects.emplace_back(log_line { severity::debug, "engine_pace_changed",
            log_fields()
                .add("endpoint", change.engine.value())
                .add("tokens_per_ms_before", static_cast<std::int64_t>(change.before))
                .add("tokens_per_ms", static_cast<std::int64_t>(change.now))
                .add("others", changes.size() - logged)
                .take() });
    }
}

void dispatch_reducer::log_ended_backoffs(step_context& step)
{
    for (auto const& endpoint : m_board.take_ended_backoffs(step.now))
        step.effects.emplace_back(
            log_line { severity::debug, "endpoint_rested", log_fields().add("endpoint", endpoint.value()).take() });
}

void dispatch_reducer::update_overdue(instant now)
{
    for (auto& [number, request] : m_requests) {
        if (request.state != phase::running || !request.is_engine || request.run.has_first_event)
            continue;
        auto const due = request.sent_at + milliseconds(static_cast<std::int64_t>(request.run.estimate.total_ms()));
        auto const since = std::max(due, request.overdue_counted_until);
        if (now <= since)
            continue;
        request.overdue_counted_until = now;
        if (m_overload.is_behind())
            continue;
        if (auto* const endpoint = m_board.find(request.instance))
            m_board.record_overdue(*endpoint, request.run, static_cast<double>((now - since).count()), now);
    }
}

void dispatch_reducer::handle(routers_listed const& listed, step_context& step)
{
    m_board.apply_routers(listed, step.now);
}

report_origin dispatch_reducer::origin_of(peer_report const& report) const
{
    bool const is_domain_peer = report.subject == report_subject::router && report.domain == m_options.domain;
    return is_domain_peer ? report_origin::own_domain : report_origin::elsewhere;
}

bool dispatch_reducer::is_already_counted(peer_report const& report) const
{
    if (report.subject == report_subject::domain)
        return report.domain == m_options.domain;
    return m_peers.contains(peer_report { .subject = report_subject::domain, .domain = report.domain }.source());
}

void dispatch_reducer::remove_router_sources(failure_domain const& domain, step_context& step)
{
    std::vector<report_source> single;
    for (auto const& [source, state] : m_peers) {
        if (state.subject == report_subject::router && state.domain == domain)
            single.push_back(source);
    }
    for (auto const& source : single)
        handle(peer_lost { source }, step);
}

std::size_t dispatch_reducer::other_routers() const
{
    std::size_t routers = 0;
    for (auto const& [source, state] : m_peers)
        routers += state.routers;
    return routers;
}

void dispatch_reducer::handle(peer_report const& report, step_context& step)
{
    apply_crash_records(report, step);
    apply_stream_records(report, step.now);
    if (!m_awaited_versions.empty())
        admit_awaited_resumptions(step);
    if (is_already_counted(report))
        return;
    if (report.subject == report_subject::domain)
        remove_router_sources(report.domain, step);
    peer_state const state { step.now, report.subject, report.domain, report.routers, report.overloaded_routers,
        report.busy_fraction };
    if (m_peers.insert_or_assign(report.source(), state).second) {
        update_domain_ranks();
        step.effects.emplace_back(log_line { severity::debug, "peer_regained",
            log_fields().add("peer", report.source().value()).add("teller", report.peer.value()).take() });
    }
    auto const origin = origin_of(report);
    m_ledger.apply_report(report, origin, step.now);
    m_board.apply_report(report, origin, step.now);
    if (origin == report_origin::own_domain && step.now - m_domain_reported_at < max_domain_report_gap)
        m_domain_sent_parts.insert(m_domain_sent_parts.end(), report.parts.begin(), report.parts.end());
    m_retries.set_routers(std::max(other_routers() + 1, m_options.retries.routers));
}

void dispatch_reducer::handle(peer_lost const& lost, step_context& step)
{
    if (m_peers.erase(lost.source) == 0)
        return;
    update_domain_ranks();
    m_ledger.forget(lost.source);
    m_board.forget(lost.source);
    step.effects.emplace_back(
        log_line { severity::warning, "peer_lost", log_fields().add("peer", lost.source.value()).take() });
}

void dispatch_reducer::remove_silent_peers(step_context& step)
{
    std::vector<report_source> silent;
    for (auto const& [source, state] : m_peers) {
        auto const limit = state.subject == report_subject::domain ? domain_silence_limit : peer_silence_limit;
        if (step.now - state.last_received_at > limit)
            silent.push_back(source);
    }
    for (auto const& source : silent)
        handle(peer_lost { source }, step);
}

void dispatch_reducer::handle(drain_requested const&, step_context& step)
{
    m_is_draining = true;
    update_ready(step);
    stop_if_drained(step);
}

void dispatch_reducer::handle(drain_expired const&, step_context& step)
{
    std::vector<request_number> open;
    for (auto const& [number, request] : m_requests)
        open.push_back(number);
    for (auto const number : open)
        end_unanswered(number, m_requests.at(number), refusal_reason::stopping, step);
}

void dispatch_reducer::handle(tick const& ticked, step_context& step)
{
    if (m_started_at == instant {})
        m_started_at = step.now;
    m_overload.record_tick({ ticked.lag, ticked.busy_fraction, ticked.link_fraction });
    record_list_age(ticked.list_age, step.now);
    if (m_overload.update_overload_state(load_of_fleet(), step.now))
        update_ready(step);
    if (step.now - m_shares_updated_at >= shares_interval) {
        m_shares_updated_at = step.now;
        m_ledger.update_shares(m_routes.current().limits.tokens_per_second, step.now);
        update_overdue(step.now);
        m_board.update_rates(step.now);
        m_suspects.forget_old(step.now);
        m_failing.forget_old(step.now);
        m_failing_teams.forget_old(step.now);
        settle_overdue_failures(step);
        log_ended_backoffs(step);
    }
    probe_broken_endpoints(step);
    if (!m_awaited_versions.empty())
        admit_awaited_resumptions(step);
    if (!m_waiting.empty())
        serve_waiting(step);
    if (step.now - m_deadlines_checked_at >= deadline_interval) {
        m_deadlines_checked_at = step.now;
        std::vector<request_number> over;
        for (auto const& [number, request] : m_requests) {
            if (step.now >= request.deadline)
                over.push_back(number);
        }
        for (auto const number : over)
            end_at_deadline(number, m_requests.at(number), step);
        remove_silent_peers(step);
    }
    if (step.now - m_rates_logged_at >= rate_log_interval) {
        m_rates_logged_at = step.now;
        log_rate_changes(step);
    }
    if (step.now - m_parts_checked_at >= parts_interval) {
        m_parts_checked_at = step.now;
        m_board.forget_old_parts(step.now);
        m_streams.forget_old(step.now);
        m_pool_changes.forget_old(step.now);
    }
    stop_if_drained(step);
}

fleet_load dispatch_reducer::load_of_fleet() const
{
    fleet_load load;
    load.routers = other_routers() + 1;
    double busy = 0;
    for (auto const& [source, state] : m_peers) {
        load.others_overloaded += state.overloaded_routers;
        busy += state.busy_fraction * (state.routers - std::min(state.overloaded_routers, state.routers));
    }
    if (load.routers - 1 > load.others_overloaded)
        load.others_busy_fraction = busy / static_cast<double>(load.routers - 1 - load.others_overloaded);
    return load;
}

void dispatch_reducer::update_ready(step_context& step)
{
    bool const is_ready = m_routes.has_configuration() && m_has_list && !m_is_draining && !m_overload.is_overloaded();
    if (is_ready == m_is_ready)
        return;
    m_is_ready = is_ready;
    step.effects.emplace_back(set_ready { is_ready, m_overload.is_overloaded() });
    step.effects.emplace_back(log_line { severity::info, "ready_changed",
        log_fields()
            .add("ready", is_ready ? 1 : 0)
            .add("aside", m_overload.is_overloaded() ? 1 : 0)
            .add("draining", m_is_draining ? 1 : 0)
            .add("active", m_requests.size())
            .add("busy_percent", static_cast<int>(m_overload.busy_fraction() * percent))
            .take() });
}

void dispatch_reducer::stop_if_drained(step_context& step)
{
    if (!m_is_draining || m_is_stopped || !m_requests.empty())
        return;
    m_is_stopped = true;
    step.effects.emplace_back(stop_process {});
}

peer_report dispatch_reducer::take_own_report(report_scope scope, instant now)
{
    peer_report report;
    report.scope = scope;
    report.peer = m_options.vm;
    report.domain = m_options.domain;
    report.loads = m_board.take_own_loads(scope);
    report.teams = m_reported_own_usage.take(m_ledger.own_usage(now), scope);
    report.observed_span = m_ledger.observed_span(now);
    report.overloaded_routers = m_overload.is_overloaded() ? 1 : 0;
    report.busy_fraction = m_overload.busy_fraction();
    report.parts = std::exchange(m_sent_parts, {});
    report.crashes = m_suspects.take_report_records(report_subject::router, scope, now);
    report.streams = std::exchange(m_unreported_streams, {});
    return report;
}

peer_report dispatch_reducer::take_domain_report(report_scope scope, instant now)
{
    if (now - std::exchange(m_domain_reported_at, now) >= max_domain_report_gap) {
        scope = report_scope::whole;
        m_board.skip_domain_loads();
        m_domain_sent_parts.clear();
        m_unreported_domain_streams.clear();
    }
    peer_report report;
    report.subject = report_subject::domain;
    report.scope = scope;
    report.peer = m_options.vm;
    report.domain = m_options.domain;
    report.loads = m_board.take_domain_loads(scope);
    report.teams = m_reported_domain_usage.take(m_ledger.domain_usage(now), scope);
    report.observed_span = m_ledger.observed_span(now);
    report.parts = std::exchange(m_domain_sent_parts, {});
    report.crashes = m_suspects.take_report_records(report_subject::domain, scope, now);
    report.streams = take_domain_streams();
    report.overloaded_routers = m_overload.is_overloaded() ? 1 : 0;
    auto busy = m_overload.is_overloaded() ? 0 : m_overload.busy_fraction();
    for (auto const& [source, state] : m_peers) {
        if (state.subject != report_subject::router || state.domain != m_options.domain)
            continue;
        ++report.routers;
        report.overloaded_routers += state.overloaded_routers;
        busy += state.overloaded_routers > 0 ? 0 : state.busy_fraction;
    }
    if (report.routers > report.overloaded_routers)
        report.busy_fraction = busy / (report.routers - report.overloaded_routers);
    return report;
}

void dispatch_reducer::record_sent_part(cached_part const& sent, step_context const& step)
{
    auto* const endpoint = m_board.find(sent.endpoint);
    if (endpoint == nullptr)
        return;
    auto const before = endpoint->prompt_cache.last_use(sent.part);
    endpoint->prompt_cache.record_use(sent.part, step.now);
    if (step.now - before < part_report_interval)
        return;
    m_sent_parts.push_back(sent);
    if (step.now - m_domain_reported_at < max_domain_report_gap)
        m_domain_sent_parts.push_back(sent);
}

} // namespace shedhill::dispatch
