// SPDX-License-Identifier: BSD-2-Clause
// What a router learns from the store and from other routers, and what it tells them: the configuration in force, the
// list of endpoints, who the other routers are, and their loads. Where the store does not answer here, another router's
// word takes its place.
#pragma once

#include "libraries/dispatch/dispatch_reducer.h"
#include "libraries/dispatch/endpoint_roster.h"
#include "libraries/dispatch/log_fields.h"
#include "libraries/dispatch/store_outage_watch.h"
#include "libraries/relay/deployment.h"
#include "libraries/relay/peer_mesh.h"
#include "libraries/relay/store_session.h"

#include <algorithm>
#include <concepts>
#include <map>
#include <string>
#include <vector>

namespace shedhill::daemon {

// What the router gives: it takes events, and keeps the log and the counters.
template <typename Host>
concept knowledge_host = requires(Host& host, dispatch::event_body event, std::string const& text)
{
    {
        host.learn(std::move(event))
        } -> std::same_as<void>;
    {
        host.log_state(text, text)
        } -> std::same_as<void>;
    {
        host.count(text)
        } -> std::same_as<void>;
    {
        host.reducer()
        } -> std::same_as<dispatch::dispatch_reducer&>;
};

template <typename Host, relay::table_protocol TableBinding>
class fleet_knowledge {
public:
    fleet_knowledge(relay::event_loop& loop, relay::deployment_settings const& settings, Host& host)
        : m_loop(loop)
        , m_settings(settings)
        , m_host(host)
        , m_peers(loop, settings.peer_address, [this](peering::peer_message message) { take(std::move(message)); })
        , m_configuration(loop, settings.store_address, relay::table_name::configuration,
              { milliseconds(0), long_feed_wait }, [this] { take_configuration_rows(); })
        , m_endpoints(loop, settings.store_address, relay::table_name::endpoints,
              { own_list_pace(settings), feed_wait }, [this] { take_endpoint_rows(); })
        , m_routers(loop, settings.store_address, relay::table_name::routers, { routers_pace, long_feed_wait },
              [this] { take_router_rows(); })
        , m_writer(loop, settings.store_address, [this](unsigned status, std::string const&) { take_written(status); })
    {
        static_assert(knowledge_host<Host>);
    }

    result<void> open()
    {
        if (m_settings.peer_address.empty())
            return {};
        TRY_VOID(m_peers.open());
        add_seeds(m_settings.seeds);
        return {};
    }

    void add_seeds(std::vector<std::string> const& seeds)
    {
        for (auto const& seed : seeds)
            m_peers.directory().add_seed(seed);
    }

    void tick(instant now, std::uint64_t draw)
    {
        m_configuration.tick(now, draw);
        m_endpoints.follower().set_pace(list_pace(now));
        m_endpoints.tick(now, draw);
        m_routers.tick(now, draw);
        if (std::exchange(m_was_failing, m_endpoints.follower().is_failing()) != m_endpoints.follower().is_failing()) {
            m_configuration.ask_anew(draw);
            m_routers.ask_anew(draw);
        }
        m_writer.check_time(now);
        if (m_roster.drop_lapsed(now))
            m_host.learn(dispatch::endpoints_listed { m_roster.entries() });
        if (m_settings.peer_address.empty() || now - m_told_at < peer_interval(m_peers.listeners()))
            return;
        m_told_at = now;
        m_peers.tick(draw);
        tell_peers(now);
        keep_own_row(now);
    }

    // The own row is not written again.
    void leave() { m_is_leaving = true; }

    [[nodiscard]] std::string const& peer_address() const { return m_peers.own_address(); }
    [[nodiscard]] std::uint16_t peer_port() const { return m_peers.port(); }
    [[nodiscard]] milliseconds configuration_age() { return m_loop.now() - m_configuration.follower().confirmed_at(); }
    [[nodiscard]] milliseconds endpoint_list_age() { return m_loop.now() - m_endpoints.follower().confirmed_at(); }

private:
    // How often the whole is told, and the routers that are known.
    static constexpr milliseconds whole_interval { 1000 };
    static constexpr milliseconds routers_pace { 2000 };
    // Each call to the store has its price. The list's feed comes back often, so that an outage is noticed by it; the
    // feeds of what rarely changes are held longer, and asked anew as soon as the list's feed tells of an outage.
    static constexpr milliseconds feed_wait { 1500 };
    static constexpr milliseconds long_feed_wait { 8000 };
    // What a peer knows is asked for once the store has not confirmed our own for so long; of the list, so long after
    // its feed was due.
    static constexpr milliseconds configuration_out_of_date { 900 };
    static constexpr milliseconds list_overdue { 200 };
    static constexpr milliseconds want_interval { 400 };
    static constexpr milliseconds write_interval { 1500 };
    static constexpr milliseconds write_limit { 1200 };

    // Each call has its price, and between two of them nothing is learnt: a third of the time in which a leaving
    // endpoint may still get requests, so that two calls in a row may fail.
    static milliseconds own_list_pace(relay::deployment_settings const& settings)
    {
        constexpr std::int64_t calls_within_bound = 3;
        // With the time that a call is held, within the gap that store_outage_watch expects.
        constexpr milliseconds most { 800 };
        return std::min(settings.leaving_bound / calls_within_bound, most);
    }

    // In a large fleet the calls are shared out: a change reaches whoever follows the feed at the moment, and the
    // others ask it. While none of the others hears the store, each is on its own.
    [[nodiscard]] milliseconds list_pace(instant now) const
    {
        constexpr std::size_t routers_enough = 8;
        constexpr std::size_t most_stretch = 4;
        auto const own = own_list_pace(m_settings);
        if (!m_outages.is_heard_by_peers(now))
            return own;
        auto const stretch = std::clamp<std::size_t>(m_peers.listeners() / routers_enough, 1, most_stretch);
        return own * static_cast<std::int64_t>(stretch);
    }

    [[nodiscard]] milliseconds out_of_date(peering::document_kind kind) const
    {
        return kind == peering::document_kind::configuration ? configuration_out_of_date
                                                             : own_list_pace(m_settings) + list_overdue;
    }

    // What others have sent in the last moments is what a choice knows least of, so a small fleet tells more often;
    // each message costs a few system calls at both ends, so that a router sends so many a second at the most.
    // Measured: docs/DECISIONS.md.
    static milliseconds peer_interval(std::size_t listeners)
    {
        constexpr std::int64_t messages_per_second = 300;
        constexpr std::int64_t ms_per_second = 1000;
        constexpr milliseconds least { 32 };
        constexpr milliseconds most { 100 };
        return std::clamp(
            milliseconds(static_cast<std::int64_t>(listeners) * ms_per_second / messages_per_second), least, most);
    }

    // The store.

    void take_configuration_rows()
    {
        auto const& rows = m_configuration.follower().rows();
        auto const found = rows.find(std::string(TableBinding::configuration_key()));
        if (found != rows.end())
            take_configuration_text(found->second.value);
    }

    void take_configuration_text(std::string const& text)
    {
        auto parsed = TableBinding::parse_configuration(text);
        if (!parsed) {
            m_host.count("shedhill_bad_documents_total");
            return m_host.log_state(
                "configuration_refused", dispatch::log_fields().add("reason", parsed.error().to_string()).take());
        }
        if (parsed->revision > m_host.reducer().routes().current().revision)
            m_configuration_text = text;
        m_host.learn(dispatch::configuration_learned { std::move(*parsed) });
    }

    void take_endpoint_rows()
    {
        std::vector<dispatch::endpoint_entry> shown;
        for (auto const& [key, row] : m_endpoints.follower().rows()) {
            if (auto entry = TableBinding::parse_endpoint(key, row.value))
                shown.push_back(std::move(*entry));
            else
                m_host.count("shedhill_bad_documents_total");
        }
        auto const now = m_loop.now();
        auto const& follower = m_endpoints.follower();
        auto const contact = m_outages.contact({ follower.confirmed_at(), follower.returned_at() }, now);
        auto const kept_before = m_roster.kept_count();
        bool const is_changed = m_roster.take(std::move(shown), contact, now);
        if (m_roster.kept_count() > kept_before)
            note_kept_endpoints();
        if (is_changed)
            m_host.learn(dispatch::endpoints_listed { m_roster.entries() });
    }

    void note_kept_endpoints()
    {
        m_host.count("shedhill_lapsed_lists_total");
        m_host.log_state(
            "lapsed_endpoints_kept", dispatch::log_fields().add("endpoints", m_roster.kept_count()).take());
    }

    void take_router_rows()
    {
        std::map<std::string, std::string> rows;
        for (auto const& [key, row] : m_routers.follower().rows())
            rows.emplace(key, row.value);
        m_peers.directory().take_table(rows);
    }

    // The own row is written where it is missing, and rows of the dead are removed: one call at a time.
    void keep_own_row(instant now)
    {
        if (m_writer.is_calling() || now < m_write_again_at || !m_routers.follower().has_rows())
            return;
        auto const& rows = m_routers.follower().rows();
        auto const own = rows.find(m_settings.vm.value());
        if (!m_is_leaving && (own == rows.end() || own->second.value != m_peers.own_address())) {
            m_write_again_at = now + write_interval;
            return m_writer.start(TableBinding::put_call(m_settings.store_address, relay::table_name::routers,
                                      m_settings.vm.value(), m_peers.own_address()),
                write_limit);
        }
        for (auto const& dead : m_peers.directory().rows_of_the_dead(now)) {
            auto const row = rows.find(dead);
            if (row == rows.end())
                continue;
            m_write_again_at = now + write_interval;
            return m_writer.start(TableBinding::remove_call(
                                      m_settings.store_address, relay::table_name::routers, dead, row->second.version),
                write_limit);
        }
    }

    void take_written(unsigned status)
    {
        if (status == 0 || TableBinding::verdict_of(status) == relay::store_verdict::failed)
            m_host.count("shedhill_store_write_failures_total");
    }

    // Peers.

    // Most messages hold only what changed: where many routers tell each other, they would fill the links between
    // failure domains. Once in a while, and when a router is new, the whole is told, so that a lost message does no
    // lasting harm.
    void tell_peers(instant now)
    {
        auto const newcomers = m_peers.take_new();
        bool const is_whole = !newcomers.empty() || now - m_told_whole_at >= whole_interval;
        peering::state_message state;
        state.report = m_host.reducer().take_own_report(
            is_whole ? dispatch::report_scope::whole : dispatch::report_scope::changes, now);
        if (m_peers.listeners() == 0)
            return;
        state.address = m_peers.own_address();
        if (is_whole) {
            m_told_whole_at = now;
            state.peers = m_peers.directory().connected();
        }
        state.documents.push_back({ peering::document_kind::configuration, m_host.reducer().routes().current().revision,
            now - m_configuration.follower().confirmed_at() });
        state.documents.push_back({ peering::document_kind::endpoints, m_endpoints.follower().changed_version(),
            now - m_endpoints.follower().confirmed_at() });
        m_peers.tell_all(peering::encode_frame(state));
        tell_parts(newcomers, std::move(state), now);
    }

    // A router that has just come up learns where parts of prompts are kept.
    void tell_parts(std::vector<std::string> const& newcomers, peering::state_message state, instant now)
    {
        if (newcomers.empty())
            return;
        state.report.scope = dispatch::report_scope::changes;
        state.report.loads.clear();
        state.report.parts = m_host.reducer().recent_parts(now);
        auto const frame = peering::encode_frame(std::move(state));
        for (auto const& address : newcomers)
            m_peers.tell(address, frame);
    }

    void take(peering::peer_message message)
    {
        std::visit([this](auto& body) { take_part(body); }, message);
    }

    void take_part(peering::state_message& state)
    {
        auto const now = m_loop.now();
        m_peers.directory().note_heard(state.address, now);
        for (auto const& address : state.peers)
            m_peers.directory().add_told(address, now);
        for (auto const& document : state.documents) {
            if (document.kind == peering::document_kind::endpoints)
                m_outages.note_peer_confirmed(now - document.age);
            want_if_later(document, state.address, now);
        }
        m_host.learn(std::move(state.report));
    }

    void want_if_later(peering::document_version const& told, std::string const& address, instant now)
    {
        bool const is_configuration = told.kind == peering::document_kind::configuration;
        auto& follower = is_configuration ? m_configuration.follower() : m_endpoints.follower();
        auto const own = is_configuration ? m_host.reducer().routes().current().revision : follower.changed_version();
        if (told.version <= own || now - follower.confirmed_at() < out_of_date(told.kind) || now < m_want_again_at)
            return;
        m_want_again_at = now + want_interval;
        m_peers.tell(
            address, peering::encode_frame(peering::document_wanted { told.kind, own, m_peers.own_address() }));
    }

    void take_part(peering::document_wanted const& wanted)
    {
        peering::document_message answer { wanted.kind, 0, {}, 0, {} };
        if (wanted.kind == peering::document_kind::configuration) {
            answer.version = m_host.reducer().routes().current().revision;
            answer.text = m_configuration_text;
        } else {
            answer.version = m_endpoints.follower().version();
            answer.changed_version = m_endpoints.follower().changed_version();
            answer.rows = m_endpoints.follower().rows();
        }
        if (answer.version > wanted.version)
            m_peers.tell(wanted.address, peering::encode_frame(std::move(answer)));
    }

    void take_part(peering::document_message& document)
    {
        if (document.kind == peering::document_kind::configuration)
            return take_configuration_text(document.text);
        if (m_loop.now() - m_endpoints.follower().confirmed_at() < out_of_date(document.kind))
            return;
        if (m_endpoints.follower().take_told(std::move(document.rows), document.version, document.changed_version)
            == dispatch::table_follower::page_outcome::changed)
            take_endpoint_rows();
    }

    relay::event_loop& m_loop;
    relay::deployment_settings const& m_settings;
    Host& m_host;
    relay::peer_mesh m_peers;
    relay::table_session<TableBinding> m_configuration;
    relay::table_session<TableBinding> m_endpoints;
    relay::table_session<TableBinding> m_routers;
    relay::whole_call m_writer;

    // The text of the configuration in force, to be passed on to routers that cannot hear the store.
    std::string m_configuration_text;
    dispatch::endpoint_roster m_roster;
    dispatch::store_outage_watch m_outages;
    bool m_is_leaving { false };
    bool m_was_failing { false };
    instant m_told_at {};
    instant m_told_whole_at {};
    instant m_write_again_at {};
    instant m_want_again_at {};
};

} // namespace shedhill::daemon
