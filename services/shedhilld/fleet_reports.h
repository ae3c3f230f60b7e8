// SPDX-License-Identifier: BSD-2-Clause
// Exchanges reports between routers. In a full mesh each router sends its own report to all others. In a larger fleet
// it sends the report to the routers of its failure domain only. One router of each failure domain, its delegate, sends
// the domain's sums to the other failure domains, and the router that receives them forwards them to the routers of its
// own domain. One message per report interval thus crosses from one failure domain to another, however many routers
// there are.
#pragma once

#include "libraries/dispatch/dispatch_reducer.h"
#include "libraries/peering/domain_delegates.h"
#include "libraries/peering/peer_rotation.h"
#include "libraries/relay/deployment.h"
#include "libraries/relay/peer_mesh.h"

#include <algorithm>
#include <concepts>
#include <string>
#include <variant>
#include <vector>

namespace shedhill::daemon {

// The owner of fleet_reports, which provides the contents of the reports and handles what other routers send.
template <typename Owner>
concept reports_owner = requires(Owner& owner, peering::state_message& state, peering::document_message& document,
    peering::document_request const& request, dispatch::event_body event, std::string const& name, instant now)
{
    {
        owner.reducer()
        } -> std::same_as<dispatch::dispatch_reducer&>;
    {
        owner.handle_event(std::move(event))
        } -> std::same_as<void>;
    {
        owner.count(name)
        } -> std::same_as<void>;
    {
        owner.own_document_versions(now)
        } -> std::same_as<std::vector<peering::document_version>>;
    {
        owner.apply_document_versions(state, now)
        } -> std::same_as<void>;
    {
        owner.handle(document)
        } -> std::same_as<void>;
    {
        owner.handle(request)
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
              peering::peer_directory({ settings.peer_address, settings.domain, processor_weight(settings) },
                  settings.max_full_mesh_routers),
              [this](peering::peer_message message) { on_message(std::move(message)); })
    {
        static_assert(reports_owner<Owner>);
    }

    result<void> open() { return m_peers.open(); }

    // If the report interval is over, connects to the routers that are due and sends reports. Returns whether it was
    // over.
    bool tick(instant now, std::uint64_t draw)
    {
        if (now - m_reported_at < interval(directory().size()))
            return false;
        m_reported_at = now;
        m_peers.tick(draw);
        for (auto skipped = m_peers.take_skipped(); skipped > 0; --skipped)
            m_owner.count("shedhill_skipped_peer_messages_total");
        auto const new_peers = m_peers.take_newly_connected();
        // After a new link, this router asks at once to be connected to in return.
        if (!new_peers.empty())
            m_links_requested_at = {};
        send_own_report(new_peers, now);
        if (now - m_links_requested_at >= link_request_interval) {
            m_links_requested_at = now;
            request_links();
        }
        m_is_domain_delegate = m_peers.is_connected_to_domains();
        if (m_is_domain_delegate)
            send_domain_report(new_peers, now);
        return true;
    }

    void send(std::string const& address, std::string const& frame)
    {
        m_peers.send_to(address, frame, relay::traffic_kind::documents);
    }

    // Returns whether a large document is arriving from another router.
    [[nodiscard]] bool is_receiving_document(instant now) const { return m_peers.is_receiving_document(now); }

    [[nodiscard]] peering::peer_directory& directory() { return m_peers.directory(); }
    [[nodiscard]] peering::fleet_member const& self() { return m_peers.directory().self(); }
    [[nodiscard]] relay::peer_traffic const& traffic() const { return m_peers.traffic(); }
    [[nodiscard]] std::uint16_t port() const { return m_peers.port(); }
    // Returns whether this router exchanges its failure domain's sums with other failure domains.
    [[nodiscard]] bool is_domain_delegate() const { return m_is_domain_delegate; }

private:
    // The streams that all routers together tell one that has just started: 256 kB.
    static constexpr std::size_t max_greeting_streams = 16384;
    // How often a router sends a full report to the routers of its failure domain.
    static constexpr milliseconds full_report_interval { 1000 };
    // The same for the sums of a failure domain. It is longer, because full sums of 3,000 endpoints take 72 kB and a
    // connection loses messages only if its reader is far behind.
    static constexpr milliseconds full_domain_report_interval { 5000 };
    // How often this router asks others to connect to it. A tick that finds a new link starts the interval.
    static constexpr milliseconds link_request_interval { 1000 };

    // Returns the time between two reports. The choice of an endpoint depends on what other routers have sent there,
    // of which it can only estimate the part since their last reports, so a small fleet reports more often. Each
    // message costs a few system calls at both ends, so the number of messages that a router sends per second is
    // limited.
    static milliseconds interval(std::size_t routers)
    {
        constexpr std::int64_t messages_per_second = 300;
        constexpr std::int64_t ms_per_second = 1000;
        constexpr milliseconds min_interval { 32 };
        constexpr milliseconds max_interval { 100 };
        return std::clamp(milliseconds(static_cast<std::int64_t>(routers - 1) * ms_per_second / messages_per_second),
            min_interval, max_interval);
    }

    static std::uint32_t processor_weight(relay::deployment_settings const& settings)
    {
        constexpr double thousandths = 1000;
        return static_cast<std::uint32_t>(std::clamp(settings.cpu_cores, 0.0, thousandths) * thousandths);
    }

    [[nodiscard]] peering::state_message make_state_message(dispatch::peer_report report, instant now)
    {
        peering::state_message state;
        state.report = std::move(report);
        state.address = self().address;
        state.weight = self().weight;
        state.documents = m_owner.own_document_versions(now);
        state.number = ++m_last_message_number;
        return state;
    }

    [[nodiscard]] bool has_new_peer(std::vector<std::string> const& new_peers, bool gets_own_reports)
    {
        return std::ranges::any_of(new_peers,
            [&](auto const& address) { return directory().receives_own_reports(address) == gets_own_reports; });
    }

    void request_links()
    {
        auto const frame = peering::encode_frame(peering::link_request { self().address });
        for (auto const& address : directory().wanted_reverse_links())
            m_peers.send_to(address, frame, relay::traffic_kind::documents);
    }

    // Sends this router's own report. Most reports hold only what changed. A full report is sent at intervals, which
    // makes up for lost messages, and when another router has just connected.
    void send_own_report(std::vector<std::string> const& new_peers, instant now)
    {
        bool const is_new = has_new_peer(new_peers, true);
        bool const is_full = is_new || now - m_full_report_at >= full_report_interval;
        auto report = m_owner.reducer().take_own_report(
            is_full ? dispatch::report_scope::whole : dispatch::report_scope::changes, now);
        if (m_peers.link_count() == 0)
            return;
        auto state = make_state_message(std::move(report), now);
        if (is_full)
            m_full_report_at = now;
        m_peers.send_to_routers(peering::encode_frame(state), relay::traffic_kind::own_state);
        state.report.scope = dispatch::report_scope::changes;
        state.report.loads.clear();
        state.report.parts.clear();
        state.report.crashes.clear();
        state.report.streams.clear();
        state.members = directory().members();
        send_members(state, now);
        send_to_new_peers(new_peers, std::move(state), now);
    }

    // Sends the list of routers to a few routers of the failure domain in rotation. The list is as long as the fleet
    // and rarely changes. Sent to all of them at once, it would be most of the traffic between routers.
    void send_members(peering::state_message const& state, instant now)
    {
        auto const due = m_peer_rotation.take_due(m_peers.connected_routers(), now);
        if (due.empty())
            return;
        auto const frame = peering::encode_frame(state);
        for (auto const& address : due)
            m_peers.send_to(address, frame, relay::traffic_kind::own_state);
    }

    // Sends a router that has just connected the list of routers, the recently placed parts of prompts, the crash
    // records, and what it needs to resume streams.
    void send_to_new_peers(std::vector<std::string> const& new_peers, peering::state_message state, instant now)
    {
        if (new_peers.empty())
            return;
        state.report.parts = m_owner.reducer().recent_parts(now);
        state.report.crashes = m_owner.reducer().crash_records(now);
        m_owner.reducer().add_stream_history(state.report, max_greeting_streams / directory().size(), now);
        auto const frame = peering::encode_frame(std::move(state));
        for (auto const& address : new_peers) {
            if (directory().receives_own_reports(address))
                m_peers.send_to(address, frame, relay::traffic_kind::own_state);
        }
    }

    void send_domain_report(std::vector<std::string> const& new_peers, instant now)
    {
        bool const is_new = has_new_peer(new_peers, false);
        bool const is_full = is_new || now - m_full_domain_report_at >= full_domain_report_interval;
        auto state
            = make_state_message(m_owner.reducer().take_domain_report(
                                     is_full ? dispatch::report_scope::whole : dispatch::report_scope::changes, now),
                now);
        if (is_full)
            m_full_domain_report_at = now;
        if (is_new) {
            state.members = directory().members();
            state.report.crashes = m_owner.reducer().crash_records(now);
        }
        m_peers.send_to_domains(peering::encode_frame(state));
    }

    void on_message(peering::peer_message message)
    {
        std::visit([this](auto& body) { handle_message(body); }, message);
    }

    void handle_message(peering::state_message& state)
    {
        auto const now = m_loop.now();
        for (auto const& member : state.members)
            directory().add_reported(member, now);
        if (state.is_forwarded)
            directory().add_reported(state.sender(), now);
        else
            directory().record_direct_report(state.sender(),
                state.report.overloaded_routers > 0 && state.report.subject == dispatch::report_subject::router, now);
        m_owner.apply_document_versions(state, now);
        if (state.report.subject == dispatch::report_subject::domain && !accepts_sums(state, now))
            return;
        m_owner.handle_event(std::move(state.report));
    }

    // Returns whether the sums are to be applied. Sums that arrive straight from their own failure domain are forwarded
    // to the routers of this one.
    [[nodiscard]] bool accepts_sums(peering::state_message& state, instant now)
    {
        auto const& domain = state.report.domain;
        if (domain == m_settings.domain)
            return false;
        if (!state.is_forwarded)
            directory().record_domain_sums(domain, now);
        if (!m_delegates.accepts(domain, state.report.peer, state.number, now))
            return false;
        if (std::exchange(state.is_forwarded, true))
            return true;
        state.documents.clear();
        state.members.clear();
        m_peers.send_to_routers(peering::encode_frame(state), relay::traffic_kind::passed_on);
        return true;
    }

    void handle_message(peering::link_request const& request)
    {
        directory().record_link_request(request.address, m_loop.now());
    }
    void handle_message(peering::document_message& document) { m_owner.handle(document); }
    void handle_message(peering::document_request const& request) { m_owner.handle(request); }

    relay::event_loop& m_loop;
    relay::deployment_settings const& m_settings;
    Owner& m_owner;
    relay::peer_mesh m_peers;
    peering::domain_delegates m_delegates;
    std::uint64_t m_last_message_number { 0 };
    bool m_is_domain_delegate { false };
    instant m_reported_at {};
    instant m_full_report_at {};
    peering::peer_rotation m_peer_rotation;
    instant m_full_domain_report_at {};
    instant m_links_requested_at {};
};

} // namespace shedhill::daemon
