// SPDX-License-Identifier: BSD-2-Clause
// Maintains the table of routers at the store, which holds the address, the quarantined requests and the known software
// versions of each router. A
// router writes its own row if it is missing or out of date, and removes the rows of routers that have been unreachable
// for a long time.
#pragma once

#include "libraries/peering/peer_directory.h"
#include "libraries/peering/router_row.h"
#include "libraries/relay/deployment.h"
#include "libraries/relay/store_session.h"

#include <algorithm>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace shedhill::daemon {

template <relay::table_protocol TableBinding>
class routers_table {
public:
    // Called when a write failed, or when it is unknown whether the store executed it.
    using failed_function = std::function<void()>;
    // Called once with the quarantined requests that an earlier instance of this router stored in its row.
    using quarantined_function = std::function<void(std::vector<dispatch::crash_record> records)>;
    // Called once with the software versions that all routers had stored in their rows.
    using versions_function = std::function<void(dispatch::stored_history history)>;

    routers_table(relay::event_loop& loop, relay::deployment_settings const& settings,
        peering::peer_directory& directory, dispatch::store_watchers& watchers, relay::store_clock& clock,
        failed_function on_failed, quarantined_function on_quarantined, versions_function on_versions)
        : m_loop(loop)
        , m_settings(settings)
        , m_directory(directory)
        , m_on_failed(std::move(on_failed))
        , m_on_quarantined(std::move(on_quarantined))
        , m_on_versions(std::move(on_versions))
        , m_rows(loop, settings.store_address, relay::table_name::routers, watchers, clock, [this] { apply_rows(); })
        , m_writer(loop, settings.store_address,
              [this](unsigned status, std::string const&) { handle_write_result(status); })
    {
    }

    void tick(instant now, std::uint64_t draw)
    {
        m_rows.tick(now, draw);
        m_writer.check_timeouts(now);
    }

    // Writes or removes a row if one is due, with one call at a time. Only a router that watches the table removes
    // rows, because the others do not see whether a row was removed already.
    void maintain_rows(bool is_watching_store, instant now)
    {
        if (m_writer.is_calling() || now < m_next_write_at || !m_rows.watcher().has_rows())
            return;
        if (is_own_row_outdated())
            write_own_row(now);
        else if (is_watching_store)
            remove_stale_row(now);
    }

    // Sets the quarantined requests that this router's row is to hold.
    void set_quarantined(std::vector<dispatch::crash_record> records) { m_quarantined = std::move(records); }
    // Sets the software versions that this router's row is to hold.
    void set_versions(std::vector<dispatch::stored_version> versions) { m_versions = std::move(versions); }
    // Returns how many quarantined requests the store has confirmed in this router's row.
    [[nodiscard]] std::size_t stored_quarantines() const { return m_stored_quarantines; }

    // Stops writing this router's row.
    void leave() { m_is_leaving = true; }

    [[nodiscard]] relay::table_session<TableBinding>& rows() { return m_rows; }

private:
    static constexpr milliseconds write_interval { 1500 };
    static constexpr milliseconds write_timeout { 1200 };

    void apply_rows()
    {
        std::map<std::string, peering::fleet_member> members;
        dispatch::stored_history history;
        history.is_complete = true;
        for (auto const& [key, row] : m_rows.watcher().rows()) {
            auto parsed = peering::parse_router_row(row.value);
            members.emplace(key, std::move(parsed.member));
            history.is_complete &= parsed.states_versions;
            history.versions.insert(history.versions.end(), parsed.versions.begin(), parsed.versions.end());
            if (key == m_settings.vm.value() && !std::exchange(m_has_read_own_row, true) && !parsed.quarantined.empty())
                m_on_quarantined(std::move(parsed.quarantined));
        }
        m_directory.apply_table(members);
        if (std::exchange(m_has_read_versions, true))
            return;
        // Most routers store the same versions.
        std::ranges::sort(history.versions);
        history.versions.erase(std::unique(history.versions.begin(), history.versions.end()), history.versions.end());
        m_on_versions(std::move(history));
    }

    [[nodiscard]] bool is_own_row_outdated()
    {
        if (m_is_leaving)
            return false;
        if (m_written_text && *m_written_text != own_row_text())
            return true;
        // Rows that were read before the last write do not show it. A router that does not watch the table would
        // otherwise write its row again and again.
        if (m_rows.watcher().confirmed_at() <= m_written_at)
            return false;
        auto const& rows = m_rows.watcher().rows();
        auto const own = rows.find(m_settings.vm.value());
        return own == rows.end() || own->second.value != own_row_text();
    }

    [[nodiscard]] std::string own_row_text() const
    {
        return peering::to_text(peering::router_row { m_directory.self(), m_quarantined, m_versions, true });
    }

    void write_own_row(instant now)
    {
        m_next_write_at = now + write_interval;
        m_text_in_flight = own_row_text();
        m_quarantines_in_flight = m_quarantined.size();
        m_writer.start(TableBinding::put_call(m_settings.store_address, relay::table_name::routers,
                           m_settings.vm.value(), *m_text_in_flight),
            write_timeout);
    }

    void remove_stale_row(instant now)
    {
        auto const& rows = m_rows.watcher().rows();
        for (auto const& stale : m_directory.stale_rows(now)) {
            auto const row = rows.find(stale);
            if (row == rows.end())
                continue;
            m_next_write_at = now + write_interval;
            return m_writer.start(TableBinding::remove_call(
                                      m_settings.store_address, relay::table_name::routers, stale, row->second.version),
                write_timeout);
        }
    }

    void handle_write_result(unsigned status)
    {
        auto const text = std::exchange(m_text_in_flight, std::nullopt);
        if (status == 0 || TableBinding::verdict_of(status) == relay::store_verdict::failed)
            return m_on_failed();
        m_written_at = m_loop.now();
        if (!text)
            return;
        m_written_text = text;
        m_stored_quarantines = m_quarantines_in_flight;
    }

    relay::event_loop& m_loop;
    relay::deployment_settings const& m_settings;
    peering::peer_directory& m_directory;
    failed_function m_on_failed;
    quarantined_function m_on_quarantined;
    versions_function m_on_versions;
    relay::table_session<TableBinding> m_rows;
    relay::buffered_call m_writer;
    bool m_is_leaving { false };
    bool m_has_read_own_row { false };
    bool m_has_read_versions { false };
    std::vector<dispatch::crash_record> m_quarantined;
    std::vector<dispatch::stored_version> m_versions;
    // The text of this router's row: in the write under way, and in the last write that the store confirmed to this
    // process.
    std::optional<std::string> m_text_in_flight;
    std::optional<std::string> m_written_text;
    std::size_t m_quarantines_in_flight { 0 };
    std::size_t m_stored_quarantines { 0 };
    // When the store last confirmed a write of this router's row or the removal of another one.
    instant m_written_at {};
    instant m_next_write_at {};
};

} // namespace shedhill::daemon
