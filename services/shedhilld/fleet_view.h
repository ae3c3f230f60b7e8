// SPDX-License-Identifier: BSD-2-Clause
// Holds a router's view of the fleet: the configuration in force, the list of endpoints and the other routers. A few
// routers of each failure domain watch the store; the others receive changes from them, and so does a watcher that
// cannot reach the store.
#pragma once

#include "libraries/dispatch/dispatch_reducer.h"
#include "libraries/dispatch/log_fields.h"
#include "libraries/dispatch/store/endpoint_roster.h"
#include "libraries/dispatch/store/store_outage_watch.h"
#include "libraries/peering/divergence_detector.h"
#include "libraries/peering/published_documents.h"
#include "libraries/peering/watch_assignment.h"
#include "libraries/relay/deployment.h"
#include "libraries/relay/store_session.h"
#include "services/shedhilld/endpoint_rows.h"
#include "services/shedhilld/fleet_reports.h"
#include "services/shedhilld/routers_table.h"
#include "services/shedhilld/store_log_lines.h"
#include "services/shedhilld/streams_table.h"

#include <algorithm>
#include <array>
#include <concepts>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace shedhill::daemon {

// The router that owns a fleet_view, which handles dispatcher events, writes the log and counts metrics.
template <typename Host>
concept fleet_view_host
    = requires(Host& host, dispatch::event_body event, logging::event_level level, std::string const& text)
{
    {
        host.handle_event(std::move(event))
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
    // Measures the action as a step of the loop's round.
    {
        host.measure(std::string_view(), std::size_t(), [] { return 0; })
        } -> std::same_as<int>;
};

template <typename Host, relay::table_protocol TableBinding>
class fleet_view {
public:
    fleet_view(relay::event_loop& loop, relay::deployment_settings const& settings, Host& host)
        : m_loop(loop)
        , m_settings(settings)
        , m_host(host)
        , m_reports(loop, settings, *this)
        , m_watch_assignment(settings.vm)
        , m_watchers(dispatch::make_watch_terms({ settings.leaving_bound }))
        , m_configuration(loop, settings.store_address, relay::table_name::configuration, m_watchers, m_store_clock,
              [this] {
                  apply_configuration_rows({ "store", milliseconds(0) });
              })
        , m_endpoints(loop, settings.store_address, relay::table_name::endpoints, m_watchers, m_store_clock,
              [this] {
                  apply_endpoint_rows({ "store", milliseconds(0) });
              })
        , m_routers(
              loop, settings, m_reports.directory(), m_watchers, m_store_clock,
              [this] { m_host.count("shedhill_store_write_failures_total"); },
              [this](std::vector<dispatch::crash_record> records) {
                  m_host.handle_event(dispatch::quarantines_loaded { std::move(records) });
              },
              [this](dispatch::stored_history history) {
                  m_host.handle_event(dispatch::versions_restored { std::move(history) });
              })
        , m_streams(loop, settings, [this](std::vector<dispatch::stream_record> streams) {
            m_host.handle_event(dispatch::streams_restored { std::move(streams) });
        })
    {
        static_assert(fleet_view_host<Host>);
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
        m_draw = draw;
        record_own_pause(now);
        update_watch_terms(now);
        m_configuration.tick(now, draw);
        m_endpoints.tick(now, draw);
        m_routers.tick(now, draw);
        m_streams.tick(m_host.reducer().streams(), is_writing_streams(now), now);
        continue_loading();
        for (auto const& event : m_watchers.take_events())
            log_store_event(event);
        if (m_roster.drop_lapsed(now))
            m_host.handle_event(dispatch::endpoints_listed { m_roster.entries() });
        if (!m_settings.peer_address.empty() && m_reports.tick(now, draw)) {
            m_routers.set_quarantined(m_host.reducer().own_quarantines(now));
            m_routers.set_versions(m_host.reducer().stored_versions(now));
            m_routers.maintain_rows(m_is_watching_store, now);
            update_router_list();
        }
    }

    // Stops writing this router's row to the table of routers.
    void leave() { m_routers.leave(); }

    [[nodiscard]] std::string const& peer_address() { return m_reports.self().address; }
    [[nodiscard]] std::uint16_t peer_port() const { return m_reports.port(); }
    // Returns the time since the store confirmed the configuration to this router, or to another router that reported
    // the same version.
    [[nodiscard]] milliseconds configuration_age()
    {
        return m_loop.now()
            - std::max(m_configuration.watcher().confirmed_at(),
                m_published_documents.confirmed_at(document_kind::configuration));
    }
    // Returns the same for the list of endpoints.
    [[nodiscard]] milliseconds endpoint_list_age()
    {
        return m_loop.now()
            - std::max(
                m_endpoints.watcher().confirmed_at(), m_published_documents.confirmed_at(document_kind::endpoints));
    }

    [[nodiscard]] relay::peer_traffic const& traffic() const { return m_reports.traffic(); }
    // Returns the number of quarantined requests in this router's row, as the store last confirmed it.
    [[nodiscard]] std::size_t stored_quarantines() const { return m_routers.stored_quarantines(); }
    // Returns the time since the store last answered this router, for any table.
    [[nodiscard]] milliseconds time_since_store_answer() const { return m_loop.now() - m_watchers.answered_at(); }

    [[nodiscard]] std::uint64_t written_stream_rows() const { return m_streams.written_rows(); }

    // Returns whether this router watches the store. Otherwise it receives changes from the watchers of its failure
    // domain.
    [[nodiscard]] bool is_watching_store() const { return m_is_watching_store; }
    // Returns whether this router exchanges its failure domain's sums with other failure domains.
    [[nodiscard]] bool is_domain_delegate() const { return m_reports.is_domain_delegate(); }

    // The functions below are the owner interface that fleet_reports requires.

    [[nodiscard]] dispatch::dispatch_reducer& reducer() { return m_host.reducer(); }
    void handle_event(dispatch::event_body event) { m_host.handle_event(std::move(event)); }
    void count(std::string const& name) { m_host.count(name); }

    [[nodiscard]] std::vector<peering::document_version> own_document_versions(instant now)
    {
        auto const recovered_at = endpoint_list_availability(now).recovered_at;
        std::optional<milliseconds> returned_ago;
        if (recovered_at != instant {})
            returned_ago = now - recovered_at;
        auto const& configuration = m_configuration.watcher();
        auto const& endpoints = m_endpoints.watcher();
        bool const has_digests = is_digest_due(now);
        auto const digest_of = [&](dispatch::table_watcher const& watcher) {
            return has_digests ? std::optional(watcher.digest()) : std::nullopt;
        };
        return { { document_kind::configuration, configuration.changed_version(), now - configuration.confirmed_at(),
                     std::nullopt, digest_of(configuration),
                     m_store_clock.to_store_time(configuration.confirmed_at()) },
            { document_kind::endpoints, endpoints.changed_version(), now - endpoints.confirmed_at(), returned_ago,
                digest_of(endpoints), m_store_clock.to_store_time(endpoints.confirmed_at()) } };
    }

    void apply_document_versions(peering::state_message const& state, instant now)
    {
        record_own_pause(now);
        // A message that arrived during a pause of this router is that much older.
        auto const sent_at = now - m_loop.pause_before_round();
        for (auto const& document : state.documents) {
            auto const confirmed_at = confirmation_time(document, sent_at);
            if (document.kind == document_kind::endpoints)
                record_list_confirmation(document, state, sent_at);
            if (watcher_of(document.kind).has_same_rows(document.version, document.digest))
                record_same_rows(document, confirmed_at);
            else
                check_divergence(document, state, confirmed_at);
            request_if_newer(document, state, now);
        }
    }

    void handle(peering::document_request const& request)
    {
        if (own_version(request.kind) > request.version)
            m_reports.send(request.address, m_published_documents.frame_for(request, watcher_of(request.kind)));
    }

    void handle(peering::document_message& document)
    {
        // NOTE: An earlier version of this program sends the configuration as a text, which leaves the rows empty.
        if (!document.rows.since && document.rows.rows.empty())
            return;
        auto& watcher = watcher_of(document.kind);
        if (document.kind == document_kind::endpoints
            && m_loop.now() - watcher.confirmed_at() < staleness_limit(document.kind))
            return;
        if (watcher.apply_reported(std::move(document.rows)) == dispatch::table_watcher::page_outcome::changed)
            apply_received_rows(document.kind);
    }

private:
    using document_kind = peering::document_kind;

    // A watcher requests a newer document from another router once the store has not confirmed its own copy for this
    // time. For the endpoint list, the margin is added to the shortest time between two calls of its feed.
    static constexpr milliseconds configuration_staleness_limit { 900 };
    static constexpr milliseconds list_staleness_margin { 200 };
    // A configuration that another router has reported for this time, three report intervals of 100 ms, should have
    // arrived from the store or from a router of the own failure domain.
    static constexpr milliseconds missed_configuration_delay { 300 };
    // A router that has just started does not know yet which routers watch the store. It reads the tables immediately
    // in any case.
    static constexpr milliseconds watch_start_delay { 800 };
    // A router that has just started waits this time for the store before it requests documents from other failure
    // domains: 300 routers that request a list of 450 kB from three seeds saturate the seeds' links. The store answers
    // within 30 ms.
    static constexpr milliseconds initial_store_read_time { 400 };
    // The time that a feed's answer and the report that mentions it take, beyond the time between two calls and the
    // time that the store may hold a call.
    static constexpr milliseconds report_delay { 300 };

    // Returns the terms on which this router watches the store, or the terms that apply if it is not a watcher.
    [[nodiscard]] dispatch::watch_terms own_watch_terms(bool is_watcher, instant now) const
    {
        return dispatch::make_watch_terms({ m_settings.leaving_bound, is_watcher, m_watch_assignment.is_shared(now),
            m_watch_assignment.is_outage_prober(now) });
    }

    // Returns the greatest age that a watcher's last confirmation of the endpoint list has while the store answers in
    // time.
    [[nodiscard]] milliseconds max_confirmation_age(instant now) const
    {
        auto const list = own_watch_terms(true, now).of(dispatch::table_name::endpoints);
        return list.min_interval + list.wait;
    }

    // Returns whether this router writes the records of streams for its failure domain. A router that has just started
    // does not know the others yet.
    [[nodiscard]] bool is_writing_streams(instant now) const
    {
        return now - m_started_at >= watch_start_delay && m_watch_assignment.is_first(now);
    }

    void update_watch_terms(instant now)
    {
        if (m_started_at == instant {})
            m_started_at = now;
        bool const is_watcher = now - m_started_at >= watch_start_delay
            && m_watch_assignment.is_assigned(max_confirmation_age(now) + report_delay, now);
        if (std::exchange(m_is_watching_store, is_watcher) != is_watcher)
            m_host.log_state(
                "store_following_changed", dispatch::log_fields().add("follows", is_watcher ? 1 : 0).take());
        m_watchers.set_terms(own_watch_terms(m_is_watching_store, now), now);
    }

    // Returns the age of the store's last confirmation from which on this router requests a newer version from other
    // routers.
    [[nodiscard]] milliseconds staleness_limit(document_kind kind) const
    {
        if (!m_is_watching_store)
            return milliseconds(0);
        return kind == document_kind::configuration
            ? configuration_staleness_limit
            : dispatch::list_poll_interval(m_settings.leaving_bound) + list_staleness_margin;
    }

    // A router that reads nothing for a while hears neither the store nor other routers, which says nothing about them.
    void record_own_pause(instant now)
    {
        auto const pause = m_loop.pause_before_round();
        if (pause > milliseconds(0) && std::exchange(m_pause_recorded_at, now) != now)
            m_outages.record_pause(pause);
    }

    // A router whose rows differ reads the table after a random time up to this, because many may differ at once. With
    // the time until a difference is found, this is within the smallest bound in use (2 s) for a leaving endpoint.
    static constexpr milliseconds max_repair_delay { 600 };

    // Routers with the same rows need the digest when a version is new to them, and otherwise only to find out that
    // rows differ.
    static constexpr milliseconds digest_interval { 400 };
    static constexpr milliseconds new_version_time { 1000 };

    // Returns whether the next report contains the digests of the tables.
    [[nodiscard]] bool is_digest_due(instant now)
    {
        // Versions never decrease, so their sum changes with each of them.
        auto const versions = own_version(document_kind::configuration) + own_version(document_kind::endpoints);
        if (std::exchange(m_announced_versions, versions) != versions)
            m_version_announced_at = now;
        if (now - m_version_announced_at >= new_version_time && now - m_digests_sent_at < digest_interval)
            return false;
        m_digests_sent_at = now;
        return true;
    }

    // The functions below apply what comes from the store, directly or through another router.

    void log_store_event(dispatch::store_event const& event)
    {
        if (auto const counter = call_counter_of(event))
            m_host.count(*counter);
        if (auto const line = log_line_of(event))
            m_host.log(line->level, line->event, line->fields);
    }

    // Names the sender of a document, the store or another router, and the age of the store's confirmation there.
    struct document_source {
        std::string name;
        milliseconds age { 0 };
    };

    // A version of the configuration that is being read.
    struct loading {
        loading(std::string document, document_source from)
            : steps(std::move(document))
            , source(std::move(from))
        {
        }
        typename TableBinding::configuration_steps steps;
        document_source source;
    };

    // The time after which reading the configuration yields to requests. A step takes a fraction of it, even on the
    // slowest VMs.
    static constexpr std::int64_t max_loading_ns = 4'000'000;

    void apply_received_rows(document_kind kind)
    {
        document_source const source { m_published_documents.requested_router(kind).value(),
            m_loop.now() - m_published_documents.requested_confirmed_at(kind) };
        if (kind == document_kind::configuration)
            apply_configuration_rows(source);
        else
            apply_endpoint_rows(source);
    }

    void log_rows(document_kind kind, document_source const& source)
    {
        auto const& watcher = watcher_of(kind);
        m_host.log_state("table_rows_changed",
            dispatch::log_fields()
                .add("table", name_of(kind))
                .add("source", source.name)
                .add("confirmed_ago_ms", source.age.count())
                .add("version", watcher.version())
                .add("changed_version", watcher.changed_version())
                .add("rows", watcher.rows().size())
                .add("digest", watcher.digest())
                .take());
    }

    // Applies what operators declare: the configuration and the failure domains that they evacuate.
    void apply_configuration_rows(document_source const& source)
    {
        log_rows(document_kind::configuration, source);
        apply_declarations(source);
    }

    void apply_declarations(document_source const& source)
    {
        m_newest_source = source;
        dispatch::domains_evacuated evacuated;
        for (auto const& [key, row] : m_configuration.watcher().rows()) {
            if (key == TableBinding::configuration_key())
                apply_configuration(row, source);
            else if (auto domain = TableBinding::evacuated_domain(key))
                evacuated.domains.push_back(std::move(*domain));
        }
        m_host.handle_event(std::move(evacuated));
    }

    // Starts to read a version of the configuration. A newer one waits until the version being read is in force, so
    // that versions in quick succession do not keep each other from that.
    void apply_configuration(dispatch::table_watcher::row const& row, document_source const& source)
    {
        if (m_loading || m_configuration_row_version == row.version)
            return;
        m_configuration_row_version = row.version;
        m_loading = std::make_unique<loading>(row.value, source);
    }

    // Takes some steps of reading the configuration. Requests are served between the calls, by the version in force.
    void continue_loading()
    {
        if (!m_loading)
            return;
        auto& steps = m_loading->steps;
        bool const is_read = m_host.measure("parse_configuration", steps.document_size(), [&] {
            auto const started_ns = m_loop.time_ns();
            bool is_last = false;
            do
                is_last = steps.advance();
            while (!is_last && m_loop.time_ns() - started_ns < max_loading_ns);
            return is_last;
        });
        if (is_read)
            finish_loading();
    }

    void finish_loading()
    {
        auto const loaded = std::exchange(m_loading, nullptr);
        if (auto parsed = loaded->steps.take()) {
            m_host.handle_event(dispatch::configuration_received {
                std::move(*parsed), loaded->source.name, loaded->source.age, loaded->steps.document_size() });
        } else {
            m_host.count("shedhill_bad_documents_total");
            m_host.log_state(
                "configuration_refused", dispatch::log_fields().add("reason", parsed.error().to_string()).take());
        }
        apply_declarations(m_newest_source);
    }

    [[nodiscard]] dispatch::store_availability endpoint_list_availability(instant now)
    {
        auto const& watcher = m_endpoints.watcher();
        return m_outages.availability({ watcher.confirmed_at(), watcher.recovered_at(), m_is_watching_store }, now);
    }

    void apply_endpoint_rows(document_source const& source)
    {
        log_rows(document_kind::endpoints, source);
        auto const& rows = m_endpoints.watcher().rows();
        auto table_rows = m_host.measure("read_endpoint_rows", rows.size(), [&] { return m_endpoint_rows.read(rows); });
        log_refused_rows(m_endpoint_rows.take_refused());
        auto const now = m_loop.now();
        auto const retained_before = m_roster.retained_count();
        bool const is_changed = m_roster.apply_list(std::move(table_rows), endpoint_list_availability(now), now);
        if (m_roster.retained_count() > retained_before)
            log_retained_endpoints();
        if (is_changed)
            m_host.handle_event(dispatch::endpoints_listed { m_roster.entries() });
    }

    // Each version of a row is refused once, so that a malformed row of another writer costs a single log line.
    void log_refused_rows(std::vector<refused_row> const& refused)
    {
        for (auto const& row : refused) {
            m_host.count("shedhill_bad_documents_total");
            m_host.log(logging::event_level::warning, "endpoint_row_refused",
                dispatch::log_fields().add("key", row.key).add("reason", row.reason).take());
        }
    }

    static std::string names_text(std::vector<endpoint_name> const& names)
    {
        constexpr std::size_t max_names = 16;
        std::string text;
        for (std::size_t index = 0; index < std::min(names.size(), max_names); ++index)
            text += (index == 0 ? "" : " ") + names[index].value();
        return text;
    }

    void log_retained_endpoints()
    {
        m_host.count("shedhill_lapsed_lists_total");
        m_host.log_state("lapsed_endpoints_kept",
            dispatch::log_fields()
                .add("endpoints", m_roster.retained_count())
                .add("names", names_text(m_roster.retained_names()))
                .add("list_age_ms", endpoint_list_age().count())
                .add("last_pause_ms", m_outages.last_pause().count())
                .take());
    }

    // The functions below handle reports and requests of other routers.

    void update_router_list()
    {
        if (!m_reports.directory().is_fleet_known())
            return;
        auto routers = m_reports.directory().addresses();
        if (routers == m_listed_routers)
            return;
        m_listed_routers = routers;
        m_host.handle_event(dispatch::routers_listed { std::move(routers), m_reports.self().address });
    }

    // Returns when the store confirmed the document to the sender of a report that arrived at this time. A report that
    // the network held up is older than it looks.
    [[nodiscard]] instant confirmation_time(peering::document_version const& reported, instant arrived_at) const
    {
        auto const looks_confirmed_at = arrived_at - reported.age;
        if (!reported.store_time)
            return looks_confirmed_at;
        return std::min(
            looks_confirmed_at, m_store_clock.to_own_time(*reported.store_time).value_or(looks_confirmed_at));
    }

    void record_list_confirmation(
        peering::document_version const& reported, peering::state_message const& state, instant sent_at)
    {
        auto const confirmed_at = confirmation_time(reported, sent_at);
        m_outages.record_peer_confirmation(
            confirmed_at, reported.returned_ago ? sent_at - *reported.returned_ago : instant {});
        bool const is_domain_peer
            = state.report.subject == dispatch::report_subject::router && state.report.domain == m_settings.domain;
        if (!is_domain_peer)
            return;
        m_watch_assignment.record_report(state.report.peer, confirmed_at, m_loop.now());
        m_domain_confirmed_at = std::max(m_domain_confirmed_at, confirmed_at);
    }

    [[nodiscard]] dispatch::table_watcher& watcher_of(document_kind kind)
    {
        return kind == document_kind::configuration ? m_configuration.watcher() : m_endpoints.watcher();
    }

    [[nodiscard]] std::uint64_t own_version(document_kind kind) { return watcher_of(kind).changed_version(); }

    void record_same_rows(peering::document_version const& reported, instant confirmed_at)
    {
        m_published_documents.record_confirmed(reported.kind, confirmed_at);
        watcher_of(reported.kind).confirm_same_rows(reported.version);
    }

    // Reads the table from the store again if this router's rows have differed from another one's for too long,
    // whatever the reason is.
    void check_divergence(
        peering::document_version const& reported, peering::state_message const& state, instant confirmed_at)
    {
        auto& watcher = watcher_of(reported.kind);
        auto const own_confirmed_at
            = std::max(watcher.confirmed_at(), m_published_documents.confirmed_at(reported.kind));
        auto& divergence = m_divergences.at(static_cast<std::size_t>(reported.kind));
        bool const is_found = divergence.record({ watcher.changed_version(), watcher.digest(), own_confirmed_at },
            { reported.version, reported.digest, confirmed_at }, m_loop.now());
        if (!is_found)
            return;
        watcher.read_again(m_loop.now()
            + milliseconds(static_cast<std::int64_t>(m_draw % static_cast<std::uint64_t>(max_repair_delay.count()))));
        m_host.count("shedhill_table_divergences_total{table=\"" + std::string(name_of(reported.kind)) + "\"}");
        m_host.log(logging::event_level::warning, "table_diverged",
            dispatch::log_fields()
                .add("table", name_of(reported.kind))
                .add("peer", state.report.peer.value())
                .add("version", watcher.changed_version())
                .add("peer_version", reported.version)
                .add("digest", watcher.digest())
                .add("peer_digest", reported.digest.value_or(0))
                .add("confirmed_ago_ms", (m_loop.now() - own_confirmed_at).count())
                .add("peer_confirmed_ago_ms", (m_loop.now() - confirmed_at).count())
                .add("since_ms", (m_loop.now() - divergence.since()).count())
                .take());
    }

    // Returns whether the store confirmed this router's copy so recently that a newer version at a router of the same
    // failure domain is not requested.
    [[nodiscard]] bool is_up_to_date(document_kind kind, instant now)
    {
        return now - watcher_of(kind).confirmed_at() < staleness_limit(kind);
    }

    // Returns whether a newer version at a router of another failure domain is not requested, because it is still
    // expected from the store or from a router of the own failure domain. Traffic between failure domains is expensive,
    // and the routers of the own one have what the store publishes. A confirmation of the endpoint list says nothing
    // about the configuration, which is requested once other routers have reported a newer one for
    // missed_configuration_delay.
    [[nodiscard]] bool is_expected_from_own_domain(peering::document_version const& reported, instant now)
    {
        if (now - m_started_at < initial_store_read_time)
            return true;
        if (reported.kind == document_kind::configuration)
            return m_published_documents.time_behind(reported.kind, own_version(reported.kind), now)
                < missed_configuration_delay;
        auto const confirmed_at = std::max(m_endpoints.watcher().confirmed_at(), m_domain_confirmed_at);
        return now - confirmed_at < max_confirmation_age(now) + list_staleness_margin;
    }

    void request_if_newer(peering::document_version const& reported, peering::state_message const& state, instant now)
    {
        auto const own = own_version(reported.kind);
        bool const is_domain_peer = state.report.domain == m_settings.domain || state.report.domain.value().empty();
        m_published_documents.record_version(reported.kind, reported.version, own, now);
        if (reported.version <= own
            || (is_domain_peer ? is_up_to_date(reported.kind, now) : is_expected_from_own_domain(reported, now)))
            return;
        if (reported.kind == document_kind::configuration && m_reports.is_receiving_document(now))
            return;
        if (!m_published_documents.try_request(
                reported.kind, { state.report.peer, reported.version, confirmation_time(reported, now) }, now))
            return;
        m_reports.send(state.address,
            peering::encode_frame(peering::document_request {
                reported.kind, own, m_reports.self().address, watcher_of(reported.kind).changes_wanted_since() }));
    }

    relay::event_loop& m_loop;
    relay::deployment_settings const& m_settings;
    Host& m_host;
    fleet_reports<fleet_view> m_reports;
    peering::watch_assignment m_watch_assignment;
    dispatch::store_watchers m_watchers;
    relay::store_clock m_store_clock;
    relay::table_session<TableBinding> m_configuration;
    relay::table_session<TableBinding> m_endpoints;
    routers_table<TableBinding> m_routers;
    streams_table<TableBinding> m_streams;

    // The version of the configuration's row that was read last, or is being read.
    std::uint64_t m_configuration_row_version { 0 };
    std::unique_ptr<loading> m_loading;
    document_source m_newest_source;
    dispatch::endpoint_roster m_roster;
    dispatch::store_outage_watch m_outages;
    instant m_pause_recorded_at {};
    // The sum of the versions that this router announces, and since when it announces them.
    std::uint64_t m_announced_versions { 0 };
    instant m_version_announced_at {};
    instant m_digests_sent_at {};
    // The random number of the current tick.
    std::uint64_t m_draw { 0 };
    endpoint_rows<TableBinding> m_endpoint_rows;
    peering::published_documents m_published_documents;
    // Indexed by document_kind.
    std::array<peering::divergence_detector, static_cast<std::size_t>(document_kind::count)> m_divergences {};
    std::vector<std::string> m_listed_routers;
    // This router watches the store. Otherwise it receives changes from the watchers of its failure domain.
    bool m_is_watching_store { false };
    instant m_started_at {};
    // When the store last confirmed the endpoint list to another router of this failure domain, as that router
    // reported.
    instant m_domain_confirmed_at {};
};

} // namespace shedhill::daemon
