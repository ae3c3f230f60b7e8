// SPDX-License-Identifier: BSD-2-Clause
// What a router learns from the store, or in its place from other routers: the configuration in force, the list of
// endpoints, and who the other routers are. A few routers of each failure domain follow the store; the others learn
// from them what has changed, and so does whoever cannot hear it.
#pragma once

#include "libraries/dispatch/dispatch_reducer.h"
#include "libraries/dispatch/log_fields.h"
#include "libraries/dispatch/store/endpoint_roster.h"
#include "libraries/dispatch/store/store_outage_watch.h"
#include "libraries/peering/follow_duty.h"
#include "libraries/relay/deployment.h"
#include "libraries/relay/store_session.h"
#include "services/shedhilld/endpoint_rows.h"
#include "services/shedhilld/fleet_reports.h"
#include "services/shedhilld/routers_table.h"
#include "services/shedhilld/store_lines.h"
#include "services/shedhilld/told_documents.h"

#include <algorithm>
#include <concepts>
#include <map>
#include <string>
#include <vector>

namespace shedhill::daemon {

// What the router gives: it takes events, and keeps the log and the counters.
template <typename Host>
concept knowledge_host
    = requires(Host& host, dispatch::event_body event, logging::event_level level, std::string const& text)
{
    {
        host.learn(std::move(event))
        } -> std::same_as<void>;
    {
        host.log_state(text, text)
        } -> std::same_as<void>;
    {
        host.log(level, text, text)
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
        , m_reports(loop, settings, *this)
        , m_duty(settings.vm)
        , m_followers(dispatch::make_follow_terms({ settings.leaving_bound }))
        , m_configuration(loop, settings.store_address, relay::table_name::configuration, m_followers,
              [this] {
                  take_configuration_rows({ "store", milliseconds(0) });
              })
        , m_endpoints(
              loop, settings.store_address, relay::table_name::endpoints, m_followers, [this] { take_endpoint_rows(); })
        , m_routers(
              loop, settings, m_reports.directory(), m_followers,
              [this] { m_host.count("shedhill_store_write_failures_total"); },
              [this](std::vector<dispatch::crash_record> records) {
                  m_host.learn(dispatch::quarantines_read { std::move(records) });
              })
    {
        static_assert(knowledge_host<Host>);
    }

    result<void> open()
    {
        if (m_settings.peer_address.empty())
            return {};
        TRY_VOID(m_reports.open());
        add_seeds(m_settings.seeds);
        return {};
    }

    void add_seeds(std::vector<std::string> const& seeds)
    {
        for (auto const& seed : seeds)
            m_reports.directory().add_seed(seed);
    }

    void tick(instant now, std::uint64_t draw)
    {
        set_terms(now);
        m_configuration.tick(now, draw);
        m_endpoints.tick(now, draw);
        m_routers.tick(now, draw);
        for (auto const& note : m_followers.take_notes())
            write_down(note);
        if (m_roster.drop_lapsed(now))
            m_host.learn(dispatch::endpoints_listed { m_roster.entries() });
        if (!m_settings.peer_address.empty() && m_reports.tick(now, draw)) {
            m_routers.set_quarantined(m_host.reducer().kept_quarantines(now));
            m_routers.keep_rows(m_is_following, now);
            note_routers();
        }
    }

    // The own row is not written again.
    void leave() { m_routers.leave(); }

    [[nodiscard]] std::string const& peer_address() { return m_reports.self().address; }
    [[nodiscard]] std::uint16_t peer_port() const { return m_reports.port(); }
    // Since the store confirmed the document to this router, or to another one that told the same version.
    [[nodiscard]] milliseconds configuration_age()
    {
        return m_loop.now()
            - std::max(m_configuration.follower().confirmed_at(), m_told.confirmed_at(document_kind::configuration));
    }
    [[nodiscard]] milliseconds endpoint_list_age()
    {
        return m_loop.now()
            - std::max(m_endpoints.follower().confirmed_at(), m_told.confirmed_at(document_kind::endpoints));
    }

    [[nodiscard]] relay::peer_traffic const& traffic() const { return m_reports.traffic(); }
    // Quarantined requests in this router's row, as the store last confirmed it.
    [[nodiscard]] std::size_t stored_quarantines() const { return m_routers.stored_quarantines(); }
    // Since the store last answered this router.
    [[nodiscard]] milliseconds store_unheard() const { return m_loop.now() - m_followers.answered_at(); }

    // Whether this router follows the store, or learns from the neighbours that do.
    [[nodiscard]] bool is_following() const { return m_is_following; }
    // Whether it exchanges sums with other failure domains.
    [[nodiscard]] bool is_telling_domains() const { return m_reports.is_telling_domains(); }

    // What the reports between routers ask for and bring.

    [[nodiscard]] dispatch::dispatch_reducer& reducer() { return m_host.reducer(); }
    void learn(dispatch::event_body event) { m_host.learn(std::move(event)); }
    void count(std::string const& name) { m_host.count(name); }

    [[nodiscard]] std::vector<peering::document_version> own_documents(instant now)
    {
        auto const returned_at = list_contact(now).returned_at;
        std::optional<milliseconds> returned_ago;
        if (returned_at != instant {})
            returned_ago = now - returned_at;
        return { { document_kind::configuration, m_configuration.follower().changed_version(),
                     now - m_configuration.follower().confirmed_at() },
            { document_kind::endpoints, m_endpoints.follower().changed_version(),
                now - m_endpoints.follower().confirmed_at(), returned_ago } };
    }

    void take_documents(peering::state_message const& state, instant now)
    {
        for (auto const& document : state.documents) {
            auto const confirmed_at = now - document.age;
            if (document.kind == document_kind::endpoints)
                note_list_confirmed(document, state, now);
            if (document.version == own_version(document.kind))
                m_told.note_confirmed(document.kind, confirmed_at);
            want_if_later(document, state, now);
        }
    }

    void take(peering::document_wanted const& wanted)
    {
        if (own_version(wanted.kind) > wanted.version)
            m_reports.tell(wanted.address, m_told.frame_for(wanted, follower_of(wanted.kind)));
    }

    void take(peering::document_message& document)
    {
        // NOTE: A program of an earlier version tells the configuration as a text, which leaves the rows empty.
        if (!document.rows.since && document.rows.rows.empty())
            return;
        auto& follower = follower_of(document.kind);
        if (document.kind == document_kind::endpoints
            && m_loop.now() - follower.confirmed_at() < out_of_date(document.kind))
            return;
        if (follower.take_told(std::move(document.rows)) == dispatch::table_follower::page_outcome::changed)
            take_told_rows(document.kind);
    }

private:
    using document_kind = peering::document_kind;

    // What a peer knows is asked for once the store has not confirmed our own for so long; of the list, so long after
    // its feed was due.
    static constexpr milliseconds configuration_out_of_date { 900 };
    static constexpr milliseconds list_overdue { 200 };
    // A configuration that another failure domain has known for so long should have come from the store, or from a
    // neighbour, by three reports of 100 ms.
    static constexpr milliseconds configuration_missed { 300 };
    // A router that has just started has not heard yet who follows the store. It reads it at once in any case.
    static constexpr milliseconds first_listening { 800 };
    // So long a router that has just started waits for the store itself before it asks other failure domains: 300
    // routers that ask three seeds for a list of 450 kB fill their links. The store answers within 30 ms.
    static constexpr milliseconds own_reading_time { 400 };
    // Beyond its pace and the time that it is held, a feed's answer and the report that tells of it take so long.
    static constexpr milliseconds report_delay { 300 };
    // The terms on which this router follows the store, or would if it were to.
    [[nodiscard]] dispatch::follow_terms own_terms(bool is_follower, instant now) const
    {
        return dispatch::make_follow_terms(
            { m_settings.leaving_bound, is_follower, m_duty.is_shared(now), m_duty.is_among_the_first(now) });
    }

    // A follower's confirmation of the list is never older, where all is well.
    [[nodiscard]] milliseconds oldest_confirmation(instant now) const
    {
        auto const list = own_terms(true, now).of(dispatch::table_name::endpoints);
        return list.pace + list.wait;
    }

    void set_terms(instant now)
    {
        if (m_started_at == instant {})
            m_started_at = now;
        bool const follows
            = now - m_started_at >= first_listening && m_duty.is_own(oldest_confirmation(now) + report_delay, now);
        if (std::exchange(m_is_following, follows) != follows)
            m_host.log_state("store_following_changed", dispatch::log_fields().add("follows", follows ? 1 : 0).take());
        m_followers.set_terms(own_terms(m_is_following, now), now);
    }

    // From when on another router's later version is asked for.
    [[nodiscard]] milliseconds out_of_date(document_kind kind) const
    {
        if (!m_is_following)
            return milliseconds(0);
        return kind == document_kind::configuration ? configuration_out_of_date
                                                    : dispatch::list_pace(m_settings.leaving_bound) + list_overdue;
    }

    // The store.

    void write_down(dispatch::store_note const& note)
    {
        if (auto const counter = counter_of(note))
            m_host.count(*counter);
        if (auto const line = line_of(note))
            m_host.log(line->level, line->event, line->fields);
    }

    // Who told a document, and how old its confirmation was.
    struct document_source {
        std::string name;
        milliseconds age { 0 };
    };

    void take_told_rows(document_kind kind)
    {
        if (kind == document_kind::configuration)
            take_configuration_rows(
                { m_told.asked_router(kind).value(), m_loop.now() - m_told.asked_confirmed_at(kind) });
        else
            take_endpoint_rows();
    }

    // What operators declare: the configuration, and the failure domains that they evacuate.
    void take_configuration_rows(document_source const& source)
    {
        dispatch::domains_evacuated evacuated;
        for (auto const& [key, row] : m_configuration.follower().rows()) {
            if (key == TableBinding::configuration_key())
                take_configuration(row, source);
            else if (auto domain = TableBinding::evacuated_domain(key))
                evacuated.domains.push_back(std::move(*domain));
        }
        m_host.learn(std::move(evacuated));
    }

    void take_configuration(dispatch::table_follower::row const& row, document_source const& source)
    {
        if (std::exchange(m_configuration_row, row.version) == row.version)
            return;
        auto parsed = TableBinding::parse_configuration(row.value);
        if (!parsed) {
            m_host.count("shedhill_bad_documents_total");
            return m_host.log_state(
                "configuration_refused", dispatch::log_fields().add("reason", parsed.error().to_string()).take());
        }
        m_host.learn(dispatch::configuration_learned { std::move(*parsed), source.name, source.age });
    }

    [[nodiscard]] dispatch::store_contact list_contact(instant now)
    {
        auto const& follower = m_endpoints.follower();
        return m_outages.contact({ follower.confirmed_at(), follower.returned_at(), m_is_following }, now);
    }

    void take_endpoint_rows()
    {
        auto shown = m_endpoint_rows.read(m_endpoints.follower().rows());
        note_refused_rows(m_endpoint_rows.take_refused());
        auto const now = m_loop.now();
        auto const kept_before = m_roster.kept_count();
        bool const is_changed = m_roster.take(std::move(shown), list_contact(now), now);
        if (m_roster.kept_count() > kept_before)
            note_kept_endpoints();
        if (is_changed)
            m_host.learn(dispatch::endpoints_listed { m_roster.entries() });
    }

    // Each version of a row is refused once, so that a row of another writer costs a line and no more.
    void note_refused_rows(std::vector<refused_row> const& refused)
    {
        for (auto const& row : refused) {
            m_host.count("shedhill_bad_documents_total");
            m_host.log(logging::event_level::warning, "endpoint_row_refused",
                dispatch::log_fields().add("key", row.key).add("reason", row.reason).take());
        }
    }

    void note_kept_endpoints()
    {
        m_host.count("shedhill_lapsed_lists_total");
        m_host.log_state(
            "lapsed_endpoints_kept", dispatch::log_fields().add("endpoints", m_roster.kept_count()).take());
    }

    // Other routers.

    void note_routers()
    {
        if (!m_reports.directory().is_fleet_known())
            return;
        auto routers = m_reports.directory().addresses();
        if (routers == m_known_routers)
            return;
        m_known_routers = routers;
        m_host.learn(dispatch::routers_listed { std::move(routers), m_reports.self().address });
    }

    void note_list_confirmed(peering::document_version const& told, peering::state_message const& state, instant now)
    {
        auto const confirmed_at = now - told.age;
        m_outages.note_peer_confirmed(confirmed_at, told.returned_ago ? now - *told.returned_ago : instant {});
        bool const is_neighbour
            = state.report.subject == dispatch::report_subject::router && state.report.domain == m_settings.domain;
        if (!is_neighbour)
            return;
        m_duty.note_heard(state.report.peer, confirmed_at, now);
        m_neighbours_confirmed_at = std::max(m_neighbours_confirmed_at, confirmed_at);
    }

    [[nodiscard]] dispatch::table_follower& follower_of(document_kind kind)
    {
        return kind == document_kind::configuration ? m_configuration.follower() : m_endpoints.follower();
    }

    [[nodiscard]] std::uint64_t own_version(document_kind kind) { return follower_of(kind).changed_version(); }

    // Whether a later version that a neighbour knows is not asked for, because the store was heard here.
    [[nodiscard]] bool is_up_to_date(document_kind kind, instant now)
    {
        return now - follower_of(kind).confirmed_at() < out_of_date(kind);
    }

    // Whether one is not asked for that is known in another failure domain: there bytes are dear, and the neighbours
    // have what the store tells. The list's confirmation says nothing of the configuration: what is known elsewhere of
    // that for a while, and not here, was missed.
    [[nodiscard]] bool is_expected_nearby(peering::document_version const& told, instant now)
    {
        if (now - m_started_at < own_reading_time)
            return true;
        if (told.kind == document_kind::configuration)
            return m_told.behind_for(told.kind, own_version(told.kind), now) < configuration_missed;
        auto const confirmed_at = std::max(m_endpoints.follower().confirmed_at(), m_neighbours_confirmed_at);
        return now - confirmed_at < oldest_confirmation(now) + list_overdue;
    }

    void want_if_later(peering::document_version const& told, peering::state_message const& state, instant now)
    {
        auto const own = own_version(told.kind);
        bool const is_neighbour = state.report.domain == m_settings.domain || state.report.domain.value().empty();
        m_told.note_version(told.kind, told.version, own, now);
        if (told.version <= own || (is_neighbour ? is_up_to_date(told.kind, now) : is_expected_nearby(told, now)))
            return;
        if (!m_told.try_to_ask(told.kind, state.report.peer, now - told.age, now))
            return;
        m_reports.tell(state.address,
            peering::encode_frame(peering::document_wanted {
                told.kind, own, m_reports.self().address, follower_of(told.kind).told_since() }));
    }

    relay::event_loop& m_loop;
    relay::deployment_settings const& m_settings;
    Host& m_host;
    fleet_reports<fleet_knowledge> m_reports;
    peering::follow_duty m_duty;
    dispatch::store_followers m_followers;
    relay::table_session<TableBinding> m_configuration;
    relay::table_session<TableBinding> m_endpoints;
    routers_table<TableBinding> m_routers;

    // Of the configuration's row that was read last.
    std::uint64_t m_configuration_row { 0 };
    dispatch::endpoint_roster m_roster;
    dispatch::store_outage_watch m_outages;
    endpoint_rows<TableBinding> m_endpoint_rows;
    told_documents m_told;
    std::vector<std::string> m_known_routers;
    // This router follows the store, or learns from the neighbours that do.
    bool m_is_following { false };
    instant m_started_at {};
    // When the store last confirmed the list to a router of this failure domain, as it told.
    instant m_neighbours_confirmed_at {};
};

} // namespace shedhill::daemon
