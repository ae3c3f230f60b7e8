// SPDX-License-Identifier: BSD-2-Clause
// Advances the simulated time in steps of ten milliseconds.
#include "tests/dispatch/crash_simulation.h"

#include "base/hash.h"
#include "tests/dispatch/dispatch_driver.h"

#include <algorithm>

namespace shedhill::dispatch {

namespace {

constexpr milliseconds step_time { 10 };
constexpr milliseconds report_interval { 30 };
constexpr milliseconds domain_report_interval { 100 };
constexpr milliseconds whole_domain_interval { 5000 };
// Interval between the reports that contain everything; the others contain only changes.
constexpr milliseconds whole_interval { 1000 };
// Times after a crash at which the endpoint's row is removed and at which another instance of it starts.
constexpr milliseconds row_lifetime { 1500 };
constexpr milliseconds restart_after { 3000 };
constexpr milliseconds no_delay { 0 };

} // namespace

crash_simulation::crash_simulation(options settings)
    : m_options(settings)
    , m_configuration(dispatch_driver::usual_configuration())
    , m_endpoints(settings.endpoints)
    , m_routers(settings.routers)
{
    for (std::size_t index = 0; index < m_endpoints.size(); ++index) {
        m_endpoints[index].entry = dispatch_driver::make_endpoint("p" + std::to_string(index), "plain", 1000);
        m_endpoints[index].entry.address = std::to_string(index);
    }
    for (std::size_t index = 0; index < m_routers.size(); ++index)
        start_router(index);
    list_endpoints();
}

void crash_simulation::start_router(std::size_t index)
{
    auto router_options = dispatch_driver::options();
    router_options.vm = vm_name("router-" + std::to_string(index));
    router_options.domain = failure_domain("domain-" + std::to_string(domain_of(index)));
    auto& started = m_routers[index];
    started.reducer = std::make_unique<dispatch_reducer>(router_options);
    ++started.incarnation;
    started.disturbed_at = m_now;
    started.inbox.clear();
    started.contents.clear();
    deliver(index, configuration_received { m_configuration });
}

void crash_simulation::enqueue(std::size_t router, event_body body, milliseconds delay)
{
    m_routers[router].inbox.emplace_back(m_now + delay, std::move(body));
}

void crash_simulation::deliver(std::size_t router, event_body body)
{
    constexpr std::uint64_t draw_step = 0x9E3779B97F4A7C15U;
    for (auto const& produced :
        m_routers[router].reducer->reduce({ m_now, m_random_draw += draw_step, std::move(body) }))
        apply_effect(router, produced);
}

void crash_simulation::ask(std::size_t index, content_hash content)
{
    request_arrived arrived;
    arrived.path = "/look/a";
    arrived.key = "red-key";
    deliver_request(index, std::move(arrived), { content, content });
}

void crash_simulation::ask(std::size_t index, prompt_request const& asked)
{
    request_arrived arrived;
    arrived.path = asked.path;
    arrived.key = asked.key;
    for (auto const part : asked.shared_parts)
        arrived.cost.parts.push_back({ part, 100 });
    // The last part belongs to the request alone.
    auto const own_part = stable_hash("own part " + std::to_string(m_last_request));
    arrived.cost.parts.push_back({ own_part, 100 });
    deliver_request(index, std::move(arrived), { asked.kind, content_hash(own_part) });
}

void crash_simulation::deliver_request(std::size_t index, request_arrived arrived, asked_request asked)
{
    auto& receiver = m_routers[index];
    if (m_now < receiver.frozen_until)
        return;
    arrived.request = request_number(++m_last_request);
    arrived.host = "host";
    arrived.time_left = milliseconds(4000);
    if (receiver.reducer->suspects_requests())
        arrived.content = asked.content;
    receiver.contents[arrived.request] = asked;
    deliver(index, std::move(arrived));
}

void crash_simulation::set_harmful(content_hash content, bool is_harmful)
{
    m_histories[content].is_harmful = is_harmful;
}

void crash_simulation::apply_effect(std::size_t index, effect const& produced)
{
    auto& sender = m_routers[index];
    if (auto const* sent = std::get_if<send_attempt>(&produced)) {
        auto const asked = sender.contents.at(sent->request);
        auto& target = m_endpoints.at(std::stoul(sent->address));
        if (!target.is_up || key_of(target.entry.name, target.entry.started_at_ms) != sent->instance)
            return enqueue(index, attempt_ended { sent->request, sent->attempt, attempt_end::not_sent }, step_time);
        bool const is_undisturbed = m_now - sender.disturbed_at > milliseconds(3000);
        m_histories[asked.kind].arrivals.push_back({ m_now, is_undisturbed });
        auto const run_time
            = m_options.run_time + (m_histories[asked.kind].is_harmful ? no_delay : m_options.answer_time);
        target.runs.push_back({ index, sender.incarnation, sent->request, sent->attempt, asked, m_now + run_time });
    } else if (auto const* refused = std::get_if<answer_refusal>(&produced)) {
        ++m_histories[sender.contents.at(refused->request).kind].refused;
    } else if (auto const* probe = std::get_if<probe_endpoint>(&produced)) {
        bool const is_up = m_endpoints.at(std::stoul(probe->address)).is_up;
        enqueue(index, endpoint_probed { probe->instance, is_up ? probe_outcome::accepted : probe_outcome::refused },
            step_time);
    }
}

void crash_simulation::terminate_endpoint(endpoint& terminated)
{
    terminated.is_up = false;
    terminated.crashed_at = m_now;
    for (auto const& broken : std::exchange(terminated.runs, {})) {
        if (m_routers[broken.router].incarnation != broken.incarnation)
            continue;
        attempt_ended ending { broken.request, broken.attempt, attempt_end::broken };
        ending.content = broken.asked.content;
        enqueue(broken.router, ending, no_delay);
    }
}

void crash_simulation::crash_endpoint(std::size_t index)
{
    if (m_endpoints.at(index).is_up)
        terminate_endpoint(m_endpoints[index]);
}

void crash_simulation::reset_connections()
{
    for (auto& reset : m_endpoints) {
        bool const was_up = reset.is_up;
        auto const crashed_at = reset.crashed_at;
        terminate_endpoint(reset);
        reset.is_up = was_up;
        reset.crashed_at = crashed_at;
    }
    for (auto& current : m_routers)
        current.disturbed_at = m_now;
}

void crash_simulation::restart_router(std::size_t index)
{
    start_router(index);
    endpoints_listed listed;
    for (auto const& current : m_endpoints) {
        if (current.is_listed)
            listed.entries.push_back(current.entry);
    }
    deliver(index, listed);
    for (auto const& other : m_routers) {
        if (&other == &m_routers[index])
            continue;
        peer_report report;
        report.peer = vm_name("another");
        report.crashes = other.reducer->crash_records(m_now);
        enqueue(index, report, m_options.report_delay);
    }
}

void crash_simulation::freeze_router(std::size_t index, milliseconds duration)
{
    m_routers[index].frozen_until = m_now + duration;
    m_routers[index].disturbed_at = m_now + duration;
}

void crash_simulation::list_endpoints()
{
    endpoints_listed listed;
    for (auto const& current : m_endpoints) {
        if (current.is_listed)
            listed.entries.push_back(current.entry);
    }
    for (std::size_t index = 0; index < m_routers.size(); ++index)
        enqueue(index, listed, no_delay);
}

void crash_simulation::finish_runs()
{
    for (auto& host : m_endpoints) {
        auto const due = std::ranges::find_if(host.runs, [&](run const& current) { return m_now >= current.ends_at; });
        if (due == host.runs.end())
            continue;
        if (auto& harmful = m_histories[due->asked.kind]; harmful.is_harmful) {
            harmful.crash_times.push_back(m_now);
            terminate_endpoint(host);
            continue;
        }
        std::erase_if(host.runs, [&](run const& current) {
            if (m_now < current.ends_at || m_histories[current.asked.kind].is_harmful)
                return false;
            ++m_histories[current.asked.kind].served;
            if (m_routers[current.router].incarnation != current.incarnation)
                return true;
            attempt_ended answered { current.request, current.attempt, attempt_end::complete, 200 };
            if (m_routers[current.router].reducer->suspects_requests())
                answered.content = current.asked.content;
            enqueue(current.router, answered, no_delay);
            return true;
        });
    }
}

void crash_simulation::exchange_reports()
{
    auto const since_start = m_now.time_since_epoch();
    if (since_start % report_interval != no_delay)
        return;
    auto const scope = since_start % whole_interval < report_interval ? report_scope::whole : report_scope::changes;
    for (std::size_t from = 0; from < m_routers.size(); ++from) {
        if (m_now < m_routers[from].frozen_until)
            continue;
        send_report(from, m_routers[from].reducer->take_own_report(scope, m_now), true);
    }
}

void crash_simulation::exchange_domain_reports()
{
    auto const since_start = m_now.time_since_epoch();
    if (m_options.domains == 1 || since_start % domain_report_interval != no_delay)
        return;
    auto const scope
        = since_start % whole_domain_interval < domain_report_interval ? report_scope::whole : report_scope::changes;
    for (std::size_t delegate = 0; delegate < m_options.domains; ++delegate) {
        if (m_now >= m_routers[delegate].frozen_until)
            send_report(delegate, m_routers[delegate].reducer->take_domain_report(scope, m_now), false);
    }
}

void crash_simulation::send_report(std::size_t from, peer_report const& report, bool is_for_own_domain)
{
    for (std::size_t to = 0; to < m_routers.size(); ++to) {
        if (to != from && (domain_of(to) == domain_of(from)) == is_for_own_domain)
            enqueue(to, report, m_options.report_delay);
    }
}

void crash_simulation::advance()
{
    m_now += step_time;
    finish_runs();
    bool has_changed = false;
    for (auto& current : m_endpoints) {
        if (!current.is_up && current.is_listed && m_now - current.crashed_at >= row_lifetime) {
            current.is_listed = false;
            has_changed = true;
        }
        if (!current.is_up && m_now - current.crashed_at >= restart_after) {
            current.entry.name = endpoint_name("p" + current.entry.address + "-" + std::to_string(++current.starts));
            current.is_up = true;
            current.is_listed = true;
            has_changed = true;
        }
    }
    if (has_changed)
        list_endpoints();
    exchange_reports();
    exchange_domain_reports();
    for (std::size_t index = 0; index < m_routers.size(); ++index) {
        auto& current = m_routers[index];
        if (m_now < current.frozen_until)
            continue;
        auto const waiting = std::exchange(current.inbox, {});
        for (auto const& [at, body] : waiting) {
            if (at <= m_now)
                deliver(index, body);
            else
                current.inbox.emplace_back(at, body);
        }
        deliver(index, tick {});
    }
}

void crash_simulation::wait(milliseconds time)
{
    for (auto const until = m_now + time; m_now < until;)
        advance();
}

std::size_t crash_simulation::served(content_hash content) const
{
    auto const found = m_histories.find(content);
    return found == m_histories.end() ? 0 : found->second.served;
}

std::size_t crash_simulation::refused(content_hash content) const
{
    auto const found = m_histories.find(content);
    return found == m_histories.end() ? 0 : found->second.refused;
}

std::size_t crash_simulation::endpoints_lost_to(content_hash content) const
{
    auto const found = m_histories.find(content);
    return found == m_histories.end() ? 0 : found->second.crash_times.size();
}

std::size_t crash_simulation::sent_after_third_crash(content_hash content, milliseconds later) const
{
    constexpr std::size_t third = 3;
    return sent_after_crash(content, third, later);
}

std::size_t crash_simulation::quarantined() const
{
    std::size_t sum = 0;
    for (auto const& current : m_routers)
        sum += current.reducer->suspects().quarantined();
    return sum;
}

std::size_t crash_simulation::sent_after_crash(content_hash content, std::size_t crash, milliseconds later) const
{
    auto const found = m_histories.find(content);
    if (found == m_histories.end() || found->second.crash_times.size() < crash)
        return 0;
    auto const from = found->second.crash_times[crash - 1] + later;
    return static_cast<std::size_t>(std::ranges::count_if(
        found->second.arrivals, [&](arrival const& current) { return current.is_undisturbed && current.at > from; }));
}

} // namespace shedhill::dispatch
