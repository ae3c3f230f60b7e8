// SPDX-License-Identifier: BSD-2-Clause
// Implements the simulated routers, endpoints and callers.
#include "tests/dispatch/stream_simulation.h"

#include "tests/dispatch/dispatch_driver.h"

#include <algorithm>

namespace shedhill::dispatch {

namespace {

configuration stream_configuration(std::uint32_t slots)
{
    auto result = dispatch_driver::usual_configuration();
    for (auto& pool : result.pools) {
        if (pool.is_engine())
            pool.engine_slots = slots;
    }
    result.limits.tokens_per_second = 10'000'000;
    for (auto& route : result.routes)
        route.max_attempts = 3;
    return result;
}

} // namespace

stream_simulation::stream_simulation(options settings)
    : m_options(settings)
    , m_random(settings.seed)
{
    m_routers.resize(settings.routers);
    for (std::size_t index = 0; index < settings.routers; ++index)
        start_router(index);
}

std::uint64_t stream_simulation::draw(std::uint64_t bound)
{
    // The splitmix64 generator.
    m_random += 0x9E3779B97F4A7C15U;
    auto mixed = m_random;
    mixed = (mixed ^ (mixed >> 30U)) * 0xBF58476D1CE4E5B9U;
    mixed = (mixed ^ (mixed >> 27U)) * 0x94D049BB133111EBU;
    return (mixed ^ (mixed >> 31U)) % bound;
}

failure_domain stream_simulation::domain_of(std::size_t router) const
{
    return failure_domain("domain-" + std::to_string(router % m_options.domains));
}

std::size_t stream_simulation::add_endpoint(std::string const& version)
{
    endpoint added;
    added.entry = dispatch_driver::make_endpoint("e" + std::to_string(m_endpoints.size()), "model", m_options.slots);
    added.entry.version = version;
    m_endpoints.push_back(std::move(added));
    publish_list();
    return m_endpoints.size() - 1;
}

void stream_simulation::crash_endpoint(std::size_t endpoint)
{
    m_endpoints.at(endpoint).is_up = false;
    end_runs(endpoint);
}

void stream_simulation::break_streams_of(std::size_t endpoint) { end_runs(endpoint); }

void stream_simulation::drain_endpoint(std::size_t endpoint)
{
    m_endpoints.at(endpoint).entry.is_draining = true;
    publish_list();
}

void stream_simulation::unlist_endpoint(std::size_t endpoint)
{
    m_endpoints.at(endpoint).is_listed = false;
    publish_list();
}

void stream_simulation::publish_list()
{
    std::vector<endpoint_entry> entries;
    for (auto const& known : m_endpoints) {
        if (known.is_listed)
            entries.push_back(known.entry);
    }
    for (auto& receiver : m_routers) {
        if (receiver.reducer && !receiver.is_cut_off)
            receiver.inbox.push_back({ m_now + m_options.delay, endpoints_listed { entries } });
    }
}

void stream_simulation::ask()
{
    std::vector<std::size_t> up;
    for (std::size_t index = 0; index < m_routers.size(); ++index) {
        if (is_up(index))
            up.push_back(index);
    }
    if (up.empty())
        return;
    m_streams.emplace_back();
    ++m_outcome.asked;
    send_request(m_streams.size() - 1, up.at(draw(up.size())));
}

void stream_simulation::send_request(std::size_t stream, std::size_t router)
{
    auto& caller = m_streams.at(stream);
    caller.router = router;
    caller.request = "id-" + std::to_string(++m_last_request);
    caller.number = request_number(m_last_request);
    caller.events_before = caller.events;
    caller.is_active = true;
    request_arrived arrived;
    arrived.request = caller.number;
    arrived.caller_id = caller.request;
    arrived.host = "host";
    arrived.path = "/resumable/x";
    arrived.key = "red-key";
    arrived.cost.prompt = 100;
    arrived.cost.generated = 50;
    arrived.cost.parts = { { stream, 100 } };
    arrived.time_left = milliseconds(4000);
    if (caller.events > 0)
        arrived.resumption = stream_resumption { caller.first_request };
    deliver(router, std::move(arrived));
}

void stream_simulation::resume(std::size_t stream)
{
    auto& caller = m_streams.at(stream);
    caller.is_active = false;
    caller.is_resumed = false;
    if (caller.events == 0 || caller.resumptions >= m_options.resumptions)
        return;
    std::vector<std::size_t> others;
    for (std::size_t index = 0; index < m_routers.size(); ++index) {
        if (is_up(index) && (index != caller.router || m_routers.size() == 1 || m_is_returning))
            others.push_back(index);
    }
    if (others.empty())
        return m_returning.push_back(stream);
    ++caller.resumptions;
    ++m_outcome.resumed;
    caller.is_resumed = true;
    send_request(stream, others.at(draw(others.size())));
}

void stream_simulation::disconnect_callers(double fraction)
{
    constexpr std::uint64_t draws = 1000;
    for (std::size_t index = 0; index < m_streams.size(); ++index) {
        auto const& caller = m_streams[index];
        if (!caller.is_active || caller.events == 0 || draw(draws) >= static_cast<std::uint64_t>(fraction * draws))
            continue;
        end_run_of(index);
        deliver(caller.router, caller_left { caller.number });
        resume(index);
    }
}

void stream_simulation::kill_router(std::size_t router)
{
    auto& killed = m_routers.at(router);
    killed.reducer.reset();
    killed.inbox.clear();
    std::erase_if(m_runs, [&](run const& running) { return running.router == router; });
    for (std::size_t index = 0; index < m_streams.size(); ++index) {
        if (m_streams[index].is_active && m_streams[index].router == router)
            resume(index);
    }
}

void stream_simulation::kill_all_routers()
{
    // No caller finds a router that is up only for a moment longer.
    for (auto& router : m_routers)
        router.reducer.reset();
    for (std::size_t index = 0; index < m_routers.size(); ++index)
        kill_router(index);
}

void stream_simulation::start_all_routers()
{
    for (std::size_t index = 0; index < m_routers.size(); ++index)
        start_router(index);
    m_is_returning = true;
    for (auto const stream : std::exchange(m_returning, {}))
        resume(stream);
    m_is_returning = false;
}

void stream_simulation::start_router(std::size_t router)
{
    auto& started = m_routers.at(router);
    auto settings = dispatch_driver::options();
    settings.vm = vm_name("router-" + std::to_string(router));
    settings.domain = domain_of(router);
    settings.restores_streams = m_options.stores_streams;
    settings.retries = { 1, milliseconds(10000), 10000, static_cast<std::uint32_t>(m_options.routers) };
    started = {};
    started.reducer = std::make_unique<dispatch_reducer>(settings);
    deliver(router, configuration_received { stream_configuration(m_options.slots) });
    std::vector<endpoint_entry> entries;
    for (auto const& known : m_endpoints) {
        if (known.is_listed)
            entries.push_back(known.entry);
    }
    deliver(router, endpoints_listed { std::move(entries) });
    deliver(router, versions_restored { stored_history() });
    streams_restored restored;
    for (auto const& [domain, streams] : m_stored_streams)
        restored.streams.insert(restored.streams.end(), streams.begin(), streams.end());
    if (m_options.stores_streams)
        started.inbox.push_back({ m_now + m_options.delay, std::move(restored) });
    connect(router);
}

stored_history stream_simulation::stored_history() const
{
    dispatch::stored_history history;
    history.is_complete = true;
    for (auto const& row : m_rows)
        history.versions.insert(history.versions.end(), row.begin(), row.end());
    return history;
}

void stream_simulation::store_streams()
{
    if (!m_options.stores_streams || m_now - m_streams_stored_at < stream_write_interval)
        return;
    m_streams_stored_at = m_now;
    // The first router of each failure domain that reaches the store writes.
    std::set<failure_domain> written;
    for (std::size_t index = 0; index < m_routers.size(); ++index) {
        auto const& writer = m_routers[index];
        if (!writer.reducer || writer.is_cut_off || !written.insert(domain_of(index)).second)
            continue;
        m_stored_streams[domain_of(index)] = writer.reducer->streams().since(0, stream_directory::max_records, m_now);
    }
}

void stream_simulation::write_rows()
{
    m_rows.resize(m_routers.size());
    for (std::size_t index = 0; index < m_routers.size(); ++index) {
        auto& writer = m_routers[index];
        if (!writer.reducer || writer.is_cut_off || m_now - writer.wrote_row_at < row_interval)
            continue;
        writer.wrote_row_at = m_now;
        m_rows[index] = writer.reducer->stored_versions(m_now);
    }
}

void stream_simulation::connect(std::size_t router)
{
    if (!is_up(router) || m_routers[router].is_cut_off)
        return;
    for (std::size_t other = 0; other < m_routers.size(); ++other) {
        if (other == router || !is_up(other) || m_routers[other].is_cut_off)
            continue;
        greet(other, router);
        greet(router, other);
    }
}

void stream_simulation::greet(std::size_t sender, std::size_t receiver)
{
    if (domain_of(sender) != domain_of(receiver))
        return;
    peer_report report;
    report.peer = vm_name("router-" + std::to_string(sender));
    report.domain = domain_of(sender);
    report.scope = report_scope::changes;
    m_routers[sender].reducer->add_stream_history(report, stream_directory::max_records, m_now);
    m_routers[receiver].inbox.push_back({ m_now + m_options.delay, std::move(report) });
}

void stream_simulation::cut_off(std::size_t router)
{
    if (m_routers.at(router).is_cut_off)
        return;
    m_routers.at(router).is_cut_off = true;
    m_routers.at(router).cut_off_at = m_now;
    m_routers.at(router).inbox.clear();
}

void stream_simulation::end_cut(std::size_t router)
{
    m_routers.at(router).is_cut_off = false;
    publish_list();
    connect(router);
}

void stream_simulation::deliver(std::size_t router, event_body body)
{
    auto& receiver = m_routers.at(router);
    if (!receiver.reducer)
        return;
    auto const effects = receiver.reducer->reduce({ m_now, draw(1ULL << 62U), std::move(body) });
    carry_out(router, effects);
}

std::optional<std::size_t> stream_simulation::stream_of(std::size_t router, request_number number) const
{
    auto const found = std::ranges::find_if(m_streams, [&](caller_stream const& caller) {
        return caller.is_active && caller.router == router && caller.number == number;
    });
    if (found == m_streams.end())
        return std::nullopt;
    return static_cast<std::size_t>(found - m_streams.begin());
}

void stream_simulation::carry_out(std::size_t router, effect_list const& effects)
{
    for (auto const& produced : effects) {
        if (auto const* attempt = std::get_if<send_attempt>(&produced)) {
            start_run(router, *attempt);
        } else if (auto const* refusal = std::get_if<answer_refusal>(&produced)) {
            if (auto const stream = stream_of(router, refusal->request))
                m_streams.at(*stream).is_active = false;
        } else if (auto const* cancelled = std::get_if<cancel_attempt>(&produced)) {
            if (auto const stream = stream_of(router, cancelled->request))
                end_run_of(*stream);
        } else if (auto const* aborted = std::get_if<abort_answer>(&produced)) {
            if (auto const stream = stream_of(router, aborted->request))
                resume(*stream);
        }
    }
}

void stream_simulation::start_run(std::size_t router, send_attempt const& attempt)
{
    auto const stream = stream_of(router, attempt.request);
    if (!stream)
        return;
    auto const found = std::ranges::find_if(
        m_endpoints, [&](endpoint const& known) { return known.entry.name == attempt.endpoint; });
    if (!found->is_up)
        return m_routers.at(router).inbox.push_back({ m_now + step,
            attempt_ended { attempt.request, attempt.attempt, attempt_end::not_sent, 0, 0,
                m_streams.at(*stream).events > m_streams.at(*stream).events_before } });
    end_run_of(*stream);
    m_runs.push_back({ *stream, router, static_cast<std::size_t>(found - m_endpoints.begin()), attempt.attempt,
        m_now + first_event_time, false });
}

void stream_simulation::end_run_of(std::size_t stream)
{
    std::erase_if(m_runs, [&](run const& running) { return running.stream == stream; });
}

void stream_simulation::end_runs(std::size_t endpoint)
{
    std::vector<run> ended;
    std::erase_if(m_runs, [&](run const& running) {
        if (running.endpoint == endpoint)
            ended.push_back(running);
        return running.endpoint == endpoint;
    });
    for (auto const& running : ended) {
        auto const& caller = m_streams.at(running.stream);
        auto const events = caller.events - caller.events_before;
        deliver(running.router,
            attempt_ended { caller.number, running.attempt, attempt_end::broken, 0,
                static_cast<std::uint32_t>(running.has_begun ? events : 0), events > 0 });
    }
}

void stream_simulation::receive_event(run& running)
{
    auto& caller = m_streams.at(running.stream);
    if (caller.versions.empty()) {
        caller.first_request = caller.request;
        ++m_outcome.begun;
    }
    if (std::exchange(caller.is_resumed, false))
        ++m_outcome.continued;
    auto const& version = m_endpoints.at(running.endpoint).entry.version;
    if (caller.versions.insert(version).second && caller.versions.size() == 2)
        ++m_outcome.mixed;
    ++caller.events;
    running.next_event_at = m_now + event_interval;
    if (!std::exchange(running.has_begun, true))
        deliver(running.router, answer_began { caller.number, running.attempt });
}

void stream_simulation::produce_events()
{
    // Delivered events may end runs, so the streams are collected first.
    std::vector<std::size_t> due;
    for (auto const& running : m_runs) {
        if (m_now >= running.next_event_at)
            due.push_back(running.stream);
    }
    for (auto const stream : due) {
        auto const found = std::ranges::find(m_runs, stream, &run::stream);
        if (found == m_runs.end())
            continue;
        receive_event(*found);
        auto& caller = m_streams.at(stream);
        if (caller.events < events_per_stream)
            continue;
        ++m_outcome.whole;
        auto const ended = *std::ranges::find(m_runs, stream, &run::stream);
        end_run_of(stream);
        caller.is_active = false;
        deliver(ended.router,
            attempt_ended { caller.number, ended.attempt, attempt_end::complete, 200,
                static_cast<std::uint32_t>(caller.events - caller.events_before), true });
    }
}

void stream_simulation::exchange_reports()
{
    for (std::size_t sender = 0; sender < m_routers.size(); ++sender) {
        auto& reporting = m_routers[sender];
        if (!reporting.reducer || reporting.is_cut_off || m_now - reporting.reported_at < report_interval)
            continue;
        reporting.reported_at = m_now;
        auto const own = reporting.reducer->take_own_report(report_scope::changes, m_now);
        auto const sums = m_options.domains > 1
            ? std::optional(reporting.reducer->take_domain_report(report_scope::changes, m_now))
            : std::nullopt;
        for (std::size_t receiver = 0; receiver < m_routers.size(); ++receiver) {
            auto& other = m_routers[receiver];
            if (receiver == sender || !other.reducer || other.is_cut_off)
                continue;
            if (domain_of(sender) == domain_of(receiver))
                transmit(receiver, own);
            else if (sums)
                transmit(receiver, *sums);
        }
    }
}

void stream_simulation::transmit(std::size_t receiver, peer_report const& report)
{
    constexpr std::uint64_t percents = 100;
    if (draw(percents) < m_options.lost_percent)
        return;
    auto& inbox = m_routers.at(receiver).inbox;
    inbox.push_back({ m_now + m_options.delay, report });
    // A copy that arrives late changes nothing.
    if (draw(percents) < m_options.lost_percent)
        inbox.push_back({ m_now + 4 * m_options.delay, report });
}

void stream_simulation::advance()
{
    m_now += step;
    produce_events();
    for (std::size_t index = 0; index < m_routers.size(); ++index) {
        auto& receiver = m_routers[index];
        std::vector<message> due;
        std::erase_if(receiver.inbox, [&](message& queued) {
            if (queued.at > m_now)
                return false;
            due.push_back(std::move(queued));
            return true;
        });
        for (auto& queued : due)
            deliver(index, std::move(queued.body));
        tick ticked;
        if (receiver.is_cut_off)
            ticked.list_age = m_now - receiver.cut_off_at;
        deliver(index, ticked);
    }
    exchange_reports();
    write_rows();
    store_streams();
}

void stream_simulation::wait(milliseconds time)
{
    for (auto const until = m_now + time; m_now < until;)
        advance();
}

void stream_simulation::stream(std::size_t per_second, milliseconds time)
{
    constexpr std::size_t ms_per_second = 1000;
    std::size_t owed = 0;
    for (auto const until = m_now + time; m_now < until;) {
        owed += per_second * static_cast<std::size_t>(step.count());
        for (; owed >= ms_per_second; owed -= ms_per_second)
            ask();
        advance();
    }
}

} // namespace shedhill::dispatch
