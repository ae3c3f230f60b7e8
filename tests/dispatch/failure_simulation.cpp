// SPDX-License-Identifier: BSD-2-Clause
// Advances the simulated time in steps of ten milliseconds.
#include "tests/dispatch/failure_simulation.h"

#include "base/hash.h"
#include "tests/dispatch/dispatch_driver.h"

#include <algorithm>

namespace shedhill::dispatch {

namespace {

constexpr milliseconds step_time { 10 };
constexpr double steps_per_second = 100;
constexpr std::uint64_t draw_step = 0x9E3779B97F4A7C15U;
constexpr std::uint16_t status_failed = 500;
constexpr std::uint16_t status_ok = 200;
content_hash const failing_content { 77 };
// After a whole window the sums of the teams are complete.
constexpr milliseconds share_window { 4000 };

} // namespace

failure_simulation::failure_simulation(options settings)
    : m_options(settings)
    , m_random(settings.seed)
    , m_routers(settings.routers)
{
    std::vector<endpoint_entry> entries;
    for (std::size_t index = 0; index < m_options.endpoints; ++index)
        entries.push_back(dispatch_driver::make_endpoint("p" + std::to_string(index), "plain", 4));
    for (std::size_t index = 0; index < m_routers.size(); ++index) {
        auto router_options = dispatch_driver::options();
        router_options.vm = vm_name("router-" + std::to_string(index));
        router_options.policy = m_options.policy;
        m_routers[index].reducer = std::make_unique<dispatch_reducer>(router_options);
        deliver(index, configuration_received { dispatch_driver::usual_configuration() });
        deliver(index, endpoints_listed { entries });
    }
}

double failure_simulation::draw()
{
    m_random += draw_step;
    return hash_to_unit_interval(rendezvous_weight(m_random, "draw"));
}

failure_simulation::outcome failure_simulation::run()
{
    m_started_at = m_now + share_window;
    double owed_good = 0;
    double owed_failing = 0;
    for (auto const end = m_started_at + m_options.duration; m_now < end; m_now += step_time) {
        while (!m_due.empty() && m_due.begin()->first <= m_now) {
            auto const due = m_due.extract(m_due.begin()).mapped();
            deliver(due.router, due.body);
        }
        for (std::size_t index = 0; index < m_routers.size(); ++index)
            deliver(index, tick {});
        if (m_now < m_started_at)
            continue;
        ask_due(m_options.good_per_second, owed_good, false);
        if (m_now - m_started_at >= m_options.faulty_from)
            ask_due(m_options.failing_per_second, owed_failing, true);
    }
    if (m_outcome.faulty_ejected < m_options.faulty_endpoints)
        m_outcome.faulty_ejected_after = m_options.duration;
    return m_outcome;
}

void failure_simulation::ask_due(double per_second, double& owed, bool is_failing)
{
    for (owed += per_second / steps_per_second; owed >= 1; --owed)
        ask(static_cast<std::size_t>(draw() * static_cast<double>(m_routers.size())), is_failing);
}

void failure_simulation::ask(std::size_t index, bool is_failing)
{
    auto& receiver = m_routers[index];
    request_arrived arrived;
    arrived.request = request_number(++m_last_request);
    arrived.caller_id = std::to_string(m_last_request);
    arrived.host = "host";
    arrived.path
        = (is_failing ? m_options.are_failing_repeatable : m_options.are_good_repeatable) ? "/look/" : "/order/";
    arrived.key = is_failing ? "red-key" : "blue-key";
    bool const is_known_content = is_failing && m_options.failing_bodies == bodies::same;
    auto const content = is_known_content ? failing_content : content_hash(rendezvous_weight(m_last_request, "body"));
    if (receiver.reducer->suspects_requests())
        arrived.content = content;
    receiver.requests[arrived.request] = { is_failing, content, 0 };
    ++(is_failing ? m_outcome.failing_requests : m_outcome.good_requests);
    deliver(index, std::move(arrived));
}

void failure_simulation::deliver(std::size_t index, event_body body)
{
    m_random += draw_step;
    for (auto const& produced : m_routers[index].reducer->reduce({ m_now, m_random, std::move(body) }))
        apply_effect(index, produced);
}

void failure_simulation::apply_effect(std::size_t index, effect const& produced)
{
    if (auto const* sent = std::get_if<send_attempt>(&produced))
        schedule_end(index, *sent);
    else if (auto const* line = std::get_if<log_line>(&produced))
        record_line(index, *line);
    else if (auto const* refused = std::get_if<answer_refusal>(&produced))
        record_unserved(index, refused->request);
    else if (auto const* forwarded = std::get_if<forward_answer>(&produced))
        record_unserved(index, forwarded->request);
    else if (auto const* probe = std::get_if<probe_endpoint>(&produced))
        m_due.emplace(
            m_now + step_time, due_event { index, endpoint_probed { probe->instance, probe_outcome::accepted } });
}

bool failure_simulation::is_faulty(endpoint_name const& endpoint) const
{
    auto const index = static_cast<std::size_t>(std::stoul(endpoint.value().substr(1)));
    return index < m_options.faulty_endpoints && m_now - m_started_at >= m_options.faulty_from;
}

void failure_simulation::schedule_end(std::size_t index, send_attempt const& sent)
{
    auto& request = m_routers[index].requests.at(sent.request);
    m_outcome.retries += request.attempts > 0 ? 1 : 0;
    ++request.attempts;
    m_outcome.failing_attempts += request.is_failing ? 1 : 0;
    bool const is_endpoint_failing = is_faulty(sent.endpoint) && draw() < m_options.faulty_fraction;
    if (request.is_failing && m_options.failing_end == attempt_end::silent && !is_endpoint_failing) {
        m_due.emplace(m_now + sent.silence_limit,
            due_event { index, attempt_stalled { sent.request, sent.attempt, false, request.content } });
        return;
    }
    bool const fails = request.is_failing || is_endpoint_failing;
    auto const end = is_endpoint_failing ? attempt_end::failed : fails ? m_options.failing_end : attempt_end::complete;
    std::uint16_t const status = fails ? status_failed : status_ok;
    attempt_ended ended { sent.request, sent.attempt, end, status };
    if (end != attempt_end::not_run)
        ended.content = request.content;
    m_due.emplace(m_now + (fails ? m_options.failure_time : m_options.answer_time), due_event { index, ended });
}

void failure_simulation::record_unserved(std::size_t index, request_number request)
{
    m_outcome.good_unserved += m_routers[index].requests.at(request).is_failing ? 0 : 1;
}

void failure_simulation::record_line(std::size_t index, log_line const& line)
{
    if (line.event != "endpoint_ejected")
        return;
    constexpr std::string_view prefix = "\"endpoint\":\"";
    auto const from = line.fields.find(prefix) + prefix.size();
    auto const name = line.fields.substr(from, line.fields.find('"', from) - from);
    bool const is_first = std::ranges::none_of(m_routers, [&](router const& r) { return r.ejected.contains(name); });
    m_routers[index].ejected.insert(name);
    if (!is_faulty(endpoint_name(name))) {
        m_outcome.ejected_innocents.insert(name);
        return;
    }
    if (!is_first)
        return;
    ++m_outcome.faulty_ejected;
    auto const after = std::chrono::duration_cast<milliseconds>(m_now - m_started_at - m_options.faulty_from);
    m_outcome.faulty_ejected_after = std::max(m_outcome.faulty_ejected_after, after);
}

} // namespace shedhill::dispatch
