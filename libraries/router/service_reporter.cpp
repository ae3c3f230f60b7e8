// SPDX-License-Identifier: BSD-2-Clause
// Reports to homes, chosen by rendezvous hashing over the live routers.
#include "libraries/router/service_reporter.h"

#include "base/hash.h"

#include <algorithm>
#include <map>
#include <string_view>

namespace shedhill::router {

namespace {

// A report's entry and its reading's, as FlatBuffers structs.
constexpr double bytes_of_account = 32;
// Frame, vtable and lengths of a report and its reading.
constexpr double bytes_of_exchange = 128;
// This process as its own home.
constexpr connection_id own_connection {};

} // namespace

void service_reporter::report(std::vector<account_id> const& in_use, step_context& step)
{
    for (auto const account : in_use)
        m_ledger.note_active(account, step.now());
    auto const elapsed = step.now() - m_reported_at;
    m_reported_at = step.now();
    auto const rate = static_cast<double>(m_settings.report_bytes_per_second);
    auto const seconds = static_cast<double>(elapsed.count()) / 1000.0;
    // An unspent budget is kept for one second at the most.
    m_budget = std::min(m_budget + rate * seconds, rate);
    note_routers();
    std::map<vm_name, std::vector<account_id>> by_home;
    for (auto const account : m_ledger.choose_due(in_use, step.now() - m_settings.report_interval, in_use.size())) {
        auto const& home = home_of(account);
        auto const is_own = home == m_settings.vm;
        auto const cost = is_own ? 0 : bytes_of_account + (by_home.contains(home) ? 0 : bytes_of_exchange);
        if (m_budget < cost)
            continue;
        m_budget -= cost;
        by_home[home].push_back(account);
    }
    for (auto const& [home, accounts] : by_home)
        report_to(home, accounts, step);
}

wire::service_reading service_reporter::accept(vm_name const& reporter, wire::service_report const& report, instant now)
{
    return m_home.accept(reporter, report, now);
}

void service_reporter::take(wire::service_reading const& reading, instant now)
{
    if (reading.epoch != m_settings.epoch)
        return;
    for (auto const& [account, others] : reading.others)
        m_ledger.read(account, others, now);
}

void service_reporter::note_routers()
{
    auto routers = m_links.live_routers();
    if (routers == m_routers)
        return;
    m_routers = std::move(routers);
    m_homes.clear();
}

vm_name const& service_reporter::home_of(account_id account)
{
    auto const [found, is_new] = m_homes.try_emplace(account);
    if (is_new) {
        found->second = *std::ranges::max_element(m_routers, {}, [&](vm_name const& router) {
            return std::pair(rendezvous_weight(account.value(), router.value()), std::string_view(router.value()));
        });
    }
    return found->second;
}

void service_reporter::report_to(vm_name const& home, std::vector<account_id> const& accounts, step_context& step)
{
    if (home == m_settings.vm) {
        take(m_home.accept(home, make_report(accounts, own_connection), step.now()), step.now());
        return;
    }
    auto const* to = m_links.find(home);
    if (to == nullptr)
        return;
    if (to->phase != link_phase::up) {
        m_links.want(home);
        return;
    }
    step.count(counter::reports_sent);
    step.send(to->connection, make_report(accounts, to->connection));
}

wire::service_report service_reporter::make_report(
    std::vector<account_id> const& accounts, connection_id home_connection)
{
    wire::service_report report { m_settings.epoch, ++m_sequence, {}, {}, {} };
    for (auto const account : accounts) {
        auto const [found, is_first] = m_reported_over.try_emplace(account, home_connection);
        auto const is_new_home = is_first || found->second != home_connection;
        found->second = home_connection;
        m_ledger.add_to_report(account, is_new_home, report);
    }
    return report;
}

} // namespace shedhill::router
