// SPDX-License-Identifier: BSD-2-Clause
// Steps of ten milliseconds.
#include "tests/dispatch/crash_play.h"

#include "base/hash.h"
#include "tests/dispatch/dispatch_driver.h"

#include <algorithm>

namespace shedhill::dispatch {

namespace {

constexpr milliseconds step_time { 10 };
constexpr milliseconds report_interval { 30 };
constexpr milliseconds whole_interval { 1000 };
// After an endpoint has ended its row goes, and then another start of it comes.
constexpr milliseconds row_lasts { 1500 };
constexpr milliseconds restart_after { 3000 };
constexpr milliseconds no_delay { 0 };

} // namespace

crash_play::crash_play(options wanted)
    : m_options(wanted)
    , m_configuration(dispatch_driver::usual_configuration())
    , m_endpoints(wanted.endpoints)
    , m_routers(wanted.routers)
{
    for (std::size_t index = 0; index < m_endpoints.size(); ++index) {
        m_endpoints[index].entry = dispatch_driver::make_endpoint("p" + std::to_string(index), "plain", 1000);
        m_endpoints[index].entry.address = std::to_string(index);
    }
    for (std::size_t index = 0; index < m_routers.size(); ++index)
        begin_router(index);
    list_endpoints();
}

void crash_play::begin_router(std::size_t index)
{
    auto options = dispatch_driver::options();
    options.vm = vm_name("router-" + std::to_string(index));
    auto& begun = m_routers[index];
    begun.reducer = std::make_unique<dispatch_reducer>(options);
    ++begun.life;
    begun.disturbed_at = m_now;
    begun.inbox.clear();
    begun.asked.clear();
    take(index, configuration_received { m_configuration });
}

void crash_play::tell(std::size_t router, event_body body, milliseconds delay)
{
    m_routers[router].inbox.emplace_back(m_now + delay, std::move(body));
}

void crash_play::take(std::size_t router, event_body body)
{
    constexpr std::uint64_t draw_step = 0x9E3779B97F4A7C15U;
    for (auto const& done : m_routers[router].reducer->reduce({ m_now, m_draw += draw_step, std::move(body) }))
        carry_out(router, done);
}

void crash_play::ask(std::size_t index, content_hash content)
{
    auto& asked = m_routers[index];
    if (m_now < asked.frozen_until)
        return;
    request_arrived arrived;
    arrived.request = request_number(++m_last_request);
    arrived.host = "host";
    arrived.path = "/look/a";
    arrived.key = "red-key";
    arrived.time_left = milliseconds(4000);
    if (asked.reducer->suspects_requests())
        arrived.content = content;
    asked.asked[arrived.request] = content;
    take(index, std::move(arrived));
}

void crash_play::set_harmful(content_hash content, bool is_harmful) { m_stories[content].is_harmful = is_harmful; }

void crash_play::carry_out(std::size_t index, effect const& done)
{
    auto& by = m_routers[index];
    if (auto const* sent = std::get_if<send_attempt>(&done)) {
        auto const content = by.asked.at(sent->request);
        auto& to = m_endpoints.at(std::stoul(sent->address));
        if (!to.is_up || key_of(to.entry.name, to.entry.started_at_ms) != sent->instance)
            return tell(index, attempt_ended { sent->request, sent->attempt, attempt_end::not_sent }, step_time);
        bool const is_in_touch = m_now - by.disturbed_at > milliseconds(3000);
        m_stories[content].arrivals.push_back({ m_now, is_in_touch });
        to.runs.push_back({ index, by.life, sent->request, sent->attempt, content, m_now + m_options.run_time });
    } else if (auto const* refused = std::get_if<answer_refusal>(&done)) {
        ++m_stories[by.asked.at(refused->request)].refused;
    } else if (auto const* probe = std::get_if<probe_endpoint>(&done)) {
        bool const is_up = m_endpoints.at(std::stoul(probe->address)).is_up;
        tell(index, endpoint_probed { probe->instance, is_up ? probe_outcome::accepted : probe_outcome::refused },
            step_time);
    }
}

void crash_play::end_endpoint(endpoint& ended)
{
    ended.is_up = false;
    ended.crashed_at = m_now;
    for (auto const& broken : std::exchange(ended.runs, {})) {
        if (m_routers[broken.router].life != broken.life)
            continue;
        attempt_ended how { broken.request, broken.attempt, attempt_end::broken };
        how.content = broken.content;
        tell(broken.router, how, no_delay);
    }
}

void crash_play::crash_endpoint(std::size_t index)
{
    if (m_endpoints.at(index).is_up)
        end_endpoint(m_endpoints[index]);
}

void crash_play::reset_connections()
{
    for (auto& reset : m_endpoints) {
        bool const was_up = reset.is_up;
        auto const crashed_at = reset.crashed_at;
        end_endpoint(reset);
        reset.is_up = was_up;
        reset.crashed_at = crashed_at;
    }
    for (auto& one : m_routers)
        one.disturbed_at = m_now;
}

void crash_play::restart_router(std::size_t index)
{
    begin_router(index);
    endpoints_listed listed;
    for (auto const& one : m_endpoints) {
        if (one.is_listed)
            listed.entries.push_back(one.entry);
    }
    take(index, listed);
    for (auto const& other : m_routers) {
        if (&other == &m_routers[index])
            continue;
        peer_report report;
        report.peer = vm_name("another");
        report.crashes = other.reducer->crash_records(m_now);
        tell(index, report, m_options.news_delay);
    }
}

void crash_play::freeze_router(std::size_t index, milliseconds lasts)
{
    m_routers[index].frozen_until = m_now + lasts;
    m_routers[index].disturbed_at = m_now + lasts;
}

void crash_play::list_endpoints()
{
    endpoints_listed listed;
    for (auto const& one : m_endpoints) {
        if (one.is_listed)
            listed.entries.push_back(one.entry);
    }
    for (std::size_t index = 0; index < m_routers.size(); ++index)
        tell(index, listed, no_delay);
}

void crash_play::finish_runs()
{
    for (auto& on : m_endpoints) {
        auto const due = std::ranges::find_if(on.runs, [&](run const& one) { return m_now >= one.ends_at; });
        if (due == on.runs.end())
            continue;
        if (auto& harmful = m_stories[due->content]; harmful.is_harmful) {
            harmful.ends.push_back(m_now);
            end_endpoint(on);
            continue;
        }
        std::erase_if(on.runs, [&](run const& one) {
            if (m_now < one.ends_at || m_stories[one.content].is_harmful)
                return false;
            ++m_stories[one.content].served;
            if (m_routers[one.router].life != one.life)
                return true;
            attempt_ended answered { one.request, one.attempt, attempt_end::complete, 200 };
            if (m_routers[one.router].reducer->suspects_requests())
                answered.content = one.content;
            tell(one.router, answered, no_delay);
            return true;
        });
    }
}

void crash_play::exchange_reports()
{
    auto const since_start = m_now.time_since_epoch();
    if (since_start % report_interval != no_delay)
        return;
    auto const scope = since_start % whole_interval < report_interval ? report_scope::whole : report_scope::changes;
    for (std::size_t from = 0; from < m_routers.size(); ++from) {
        if (m_now < m_routers[from].frozen_until)
            continue;
        auto const report = m_routers[from].reducer->take_own_report(scope, m_now);
        for (std::size_t to = 0; to < m_routers.size(); ++to) {
            if (to != from)
                tell(to, report, m_options.news_delay);
        }
    }
}

void crash_play::step()
{
    m_now += step_time;
    finish_runs();
    bool has_changed = false;
    for (auto& one : m_endpoints) {
        if (!one.is_up && one.is_listed && m_now - one.crashed_at >= row_lasts) {
            one.is_listed = false;
            has_changed = true;
        }
        if (!one.is_up && m_now - one.crashed_at >= restart_after) {
            one.entry.name = endpoint_name("p" + one.entry.address + "-" + std::to_string(++one.starts));
            one.is_up = true;
            one.is_listed = true;
            has_changed = true;
        }
    }
    if (has_changed)
        list_endpoints();
    exchange_reports();
    for (std::size_t index = 0; index < m_routers.size(); ++index) {
        auto& one = m_routers[index];
        if (m_now < one.frozen_until)
            continue;
        auto const waiting = std::exchange(one.inbox, {});
        for (auto const& [at, body] : waiting) {
            if (at <= m_now)
                take(index, body);
            else
                one.inbox.emplace_back(at, body);
        }
        take(index, tick {});
    }
}

void crash_play::wait(milliseconds time)
{
    for (auto const until = m_now + time; m_now < until;)
        step();
}

std::size_t crash_play::served(content_hash content) const
{
    auto const found = m_stories.find(content);
    return found == m_stories.end() ? 0 : found->second.served;
}

std::size_t crash_play::refused(content_hash content) const
{
    auto const found = m_stories.find(content);
    return found == m_stories.end() ? 0 : found->second.refused;
}

std::size_t crash_play::lost_to(content_hash content) const
{
    auto const found = m_stories.find(content);
    return found == m_stories.end() ? 0 : found->second.ends.size();
}

std::size_t crash_play::sent_after_third(content_hash content, milliseconds later) const
{
    constexpr std::size_t third = 2;
    auto const found = m_stories.find(content);
    if (found == m_stories.end() || found->second.ends.size() <= third)
        return 0;
    auto const from = found->second.ends[third] + later;
    return static_cast<std::size_t>(std::ranges::count_if(
        found->second.arrivals, [&](arrival const& one) { return one.is_in_touch && one.at > from; }));
}

} // namespace shedhill::dispatch
