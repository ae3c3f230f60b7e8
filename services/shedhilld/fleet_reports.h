// SPDX-License-Identifier: BSD-2-Clause
// What routers tell each other: to those of the same failure domain each router what it does by itself, to other
// failure domains one router the sums of its own, which whoever is told passes on to its neighbours. So a message a
// router and tenth of a second crosses between two failure domains, however many routers there are.
#pragma once

#include "libraries/dispatch/dispatch_reducer.h"
#include "libraries/peering/domain_tellers.h"
#include "libraries/peering/member_turns.h"
#include "libraries/relay/deployment.h"
#include "libraries/relay/peer_mesh.h"

#include <algorithm>
#include <concepts>
#include <string>
#include <variant>
#include <vector>

namespace shedhill::daemon {

// What the reports are made from, and who takes what others tell.
template <typename Owner>
concept reports_owner = requires(Owner& owner, peering::state_message& state, peering::document_message& document,
    peering::document_wanted const& wanted, dispatch::event_body event, std::string const& name, instant now)
{
    {
        owner.reducer()
        } -> std::same_as<dispatch::dispatch_reducer&>;
    {
        owner.learn(std::move(event))
        } -> std::same_as<void>;
    {
        owner.count(name)
        } -> std::same_as<void>;
    {
        owner.own_documents(now)
        } -> std::same_as<std::vector<peering::document_version>>;
    {
        owner.take_documents(state, now)
        } -> std::same_as<void>;
    {
        owner.take(document)
        } -> std::same_as<void>;
    {
        owner.take(wanted)
        } -> std::same_as<void>;
};

template <typename Owner>
class fleet_reports {
public:
    fleet_reports(relay::event_loop& loop, relay::deployment_settings const& settings, Owner& owner)
        : m_loop(loop)
        , m_settings(settings)
        , m_owner(owner)
        , m_peers(loop,
              peering::peer_directory(
                  { settings.peer_address, settings.domain, weight_of(settings) }, settings.most_in_full_mesh),
              [this](peering::peer_message message) { take(std::move(message)); })
    {
        static_assert(reports_owner<Owner>);
    }

    result<void> open() { return m_peers.open(); }

    // Connects to whom it should, and tells what has changed. Whether it was time for that.
    bool tick(instant now, std::uint64_t draw)
    {
        if (now - m_told_at < interval(directory().size()))
            return false;
        m_told_at = now;
        m_peers.tick(draw);
        for (auto skipped = m_peers.take_skipped(); skipped > 0; --skipped)
            m_owner.count("shedhill_skipped_peer_messages_total");
        auto const newcomers = m_peers.take_new();
        // A new link asks at once.
        if (!newcomers.empty())
            m_wanted_links_at = {};
        tell_routers(newcomers, now);
        if (now - m_wanted_links_at >= link_wanted_interval) {
            m_wanted_links_at = now;
            ask_for_links();
        }
        m_is_telling_domains = m_peers.is_linked_to_domains();
        if (m_is_telling_domains)
            tell_domains(newcomers, now);
        return true;
    }

    void tell(std::string const& address, std::string const& frame)
    {
        m_peers.tell(address, frame, relay::traffic_kind::documents);
    }

    [[nodiscard]] peering::peer_directory& directory() { return m_peers.directory(); }
    [[nodiscard]] peering::fleet_member const& self() { return m_peers.directory().self(); }
    [[nodiscard]] relay::peer_traffic const& traffic() const { return m_peers.traffic(); }
    [[nodiscard]] std::uint16_t port() const { return m_peers.port(); }
    // Whether this router exchanges sums with other failure domains.
    [[nodiscard]] bool is_telling_domains() const { return m_is_telling_domains; }

private:
    // How often the whole is told, and the routers that are known.
    static constexpr milliseconds whole_interval { 1000 };
    // Connections lose nothing but to a reader that is far behind. A whole sum of 3,000 endpoints has 72 kB.
    static constexpr milliseconds whole_domain_interval { 5000 };
    // Beginning with the first tick that finds a new link.
    static constexpr milliseconds link_wanted_interval { 1000 };

    // What others have sent in the last moments is what a choice knows least of, so a small fleet tells more often;
    // each message costs a few system calls at both ends.
    static milliseconds interval(std::size_t routers)
    {
        constexpr std::int64_t messages_per_second = 300;
        constexpr std::int64_t ms_per_second = 1000;
        constexpr milliseconds least { 32 };
        constexpr milliseconds most { 100 };
        return std::clamp(
            milliseconds(static_cast<std::int64_t>(routers - 1) * ms_per_second / messages_per_second), least, most);
    }

    static std::uint32_t weight_of(relay::deployment_settings const& settings)
    {
        constexpr double thousandths = 1000;
        return static_cast<std::uint32_t>(std::clamp(settings.processor_share, 0.0, thousandths) * thousandths);
    }

    [[nodiscard]] peering::state_message make_message(dispatch::peer_reported report, instant now)
    {
        peering::state_message state;
        state.report = std::move(report);
        state.address = self().address;
        state.weight = self().weight;
        state.documents = m_owner.own_documents(now);
        state.number = ++m_last_number;
        return state;
    }

    [[nodiscard]] bool has_newcomer(std::vector<std::string> const& newcomers, bool is_told_singly)
    {
        return std::ranges::any_of(
            newcomers, [&](auto const& address) { return directory().is_told_singly(address) == is_told_singly; });
    }

    void ask_for_links()
    {
        auto const frame = peering::encode_frame(peering::link_wanted { self().address });
        for (auto const& address : directory().wanted_links())
            m_peers.tell(address, frame, relay::traffic_kind::documents);
    }

    // Most messages hold only what changed. Once in a while, and when a router is new, the whole is told, so that a
    // lost message does no lasting harm.
    void tell_routers(std::vector<std::string> const& newcomers, instant now)
    {
        bool const is_new = has_newcomer(newcomers, true);
        bool const is_whole = is_new || now - m_told_whole_at >= whole_interval;
        auto report = m_owner.reducer().take_own_report(
            is_whole ? dispatch::report_scope::whole : dispatch::report_scope::changes, now);
        if (m_peers.listeners() == 0)
            return;
        auto state = make_message(std::move(report), now);
        if (is_whole)
            m_told_whole_at = now;
        m_peers.tell_routers(peering::encode_frame(state), relay::traffic_kind::own_state);
        state.report.scope = dispatch::report_scope::changes;
        state.report.loads.clear();
        state.report.parts.clear();
        state.report.crashes.clear();
        state.members = directory().members();
        tell_members(state, now);
        tell_newcomers(newcomers, std::move(state), now);
    }

    // Which routers there are is as long as the fleet, and hardly ever news: a few neighbours in turn are told. Told to
    // all of them at once, it would grow with the fleet times the neighbours, and be most of what routers say.
    void tell_members(peering::state_message const& state, instant now)
    {
        auto const due = m_members_turn.take_due(m_peers.linked_routers(), now);
        if (due.empty())
            return;
        auto const frame = peering::encode_frame(state);
        for (auto const& address : due)
            m_peers.tell(address, frame, relay::traffic_kind::own_state);
    }

    // A router that has just come up learns which routers there are, and where parts of prompts are kept.
    void tell_newcomers(std::vector<std::string> const& newcomers, peering::state_message state, instant now)
    {
        if (newcomers.empty())
            return;
        state.report.parts = m_owner.reducer().recent_parts(now);
        state.report.crashes = m_owner.reducer().crash_records(now);
        auto const frame = peering::encode_frame(std::move(state));
        for (auto const& address : newcomers) {
            if (directory().is_told_singly(address))
                m_peers.tell(address, frame, relay::traffic_kind::own_state);
        }
    }

    void tell_domains(std::vector<std::string> const& newcomers, instant now)
    {
        bool const is_new = has_newcomer(newcomers, false);
        bool const is_whole = is_new || now - m_told_domain_whole_at >= whole_domain_interval;
        auto state = make_message(m_owner.reducer().take_domain_report(
                                      is_whole ? dispatch::report_scope::whole : dispatch::report_scope::changes, now),
            now);
        if (is_whole)
            m_told_domain_whole_at = now;
        if (is_new) {
            state.members = directory().members();
            state.report.crashes = m_owner.reducer().crash_records(now);
        }
        m_peers.tell_domains(peering::encode_frame(state));
    }

    void take(peering::peer_message message)
    {
        std::visit([this](auto& body) { take_part(body); }, message);
    }

    void take_part(peering::state_message& state)
    {
        auto const now = m_loop.now();
        for (auto const& member : state.members)
            directory().add_told(member, now);
        if (state.is_passed_on)
            directory().add_told(state.sender(), now);
        else
            directory().note_heard(state.sender(),
                state.report.routers_aside > 0 && state.report.subject == dispatch::report_subject::router, now);
        m_owner.take_documents(state, now);
        if (state.report.subject == dispatch::report_subject::domain && !takes_sums(state, now))
            return;
        m_owner.learn(std::move(state.report));
    }

    // Sums that come from their own failure domain are passed on to the neighbours.
    [[nodiscard]] bool takes_sums(peering::state_message& state, instant now)
    {
        auto const& domain = state.report.domain;
        if (domain == m_settings.domain)
            return false;
        if (!state.is_passed_on)
            directory().note_domain_heard(domain, now);
        if (!m_tellers.accepts(domain, state.report.peer, state.number, now))
            return false;
        if (std::exchange(state.is_passed_on, true))
            return true;
        state.documents.clear();
        state.members.clear();
        m_peers.tell_routers(peering::encode_frame(state), relay::traffic_kind::passed_on);
        return true;
    }

    void take_part(peering::link_wanted const& wanted) { directory().note_wanted(wanted.address, m_loop.now()); }
    void take_part(peering::document_message& document) { m_owner.take(document); }
    void take_part(peering::document_wanted const& wanted) { m_owner.take(wanted); }

    relay::event_loop& m_loop;
    relay::deployment_settings const& m_settings;
    Owner& m_owner;
    relay::peer_mesh m_peers;
    peering::domain_tellers m_tellers;
    std::uint64_t m_last_number { 0 };
    bool m_is_telling_domains { false };
    instant m_told_at {};
    instant m_told_whole_at {};
    peering::member_turns m_members_turn;
    instant m_told_domain_whole_at {};
    instant m_wanted_links_at {};
};

} // namespace shedhill::daemon
