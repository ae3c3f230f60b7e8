// SPDX-License-Identifier: BSD-2-Clause
// Keeps the records of streams in the store, so that callers can resume their streams after all routers have ended at
// once. While several software versions serve, one router of each failure domain writes the records of the whole
// domain, a few rows in turn. A router that starts reads all rows once.
#pragma once

#include "libraries/dispatch/streams/stream_directory.h"
#include "libraries/peering/stream_row.h"
#include "libraries/relay/deployment.h"
#include "libraries/relay/store_session.h"

#include <functional>
#include <string>
#include <utility>
#include <vector>

namespace shedhill::daemon {

template <relay::table_protocol TableBinding>
class streams_table {
public:
    // Called once with the records of all rows.
    using restored_function = std::function<void(std::vector<dispatch::stream_record> streams)>;

    streams_table(relay::event_loop& loop, relay::deployment_settings const& settings, restored_function on_restored)
        : m_loop(loop)
        , m_settings(settings)
        , m_on_restored(std::move(on_restored))
        , m_reader(loop, settings.store_address,
              [this](unsigned status, std::string const& body) { handle_page(status, body); })
        , m_writer(loop, settings.store_address,
              [this](unsigned status, std::string const&) { handle_write_result(status); })
    {
    }

    // Reads the rows, and then, if this router writes for its failure domain, writes the records that are new.
    void tick(dispatch::stream_directory const& streams, bool is_writer, instant now)
    {
        m_reader.check_timeouts(now);
        m_writer.check_timeouts(now);
        if (!m_is_restored)
            return read_rows(now);
        if (!std::exchange(m_is_writer, is_writer) && is_writer)
            m_next_record = streams.oldest();
        if (is_writer && !m_writer.is_calling() && now >= m_next_write_at && streams.recorded() > m_written_records)
            write_row(streams, now);
    }

    // Returns how many rows were written.
    [[nodiscard]] std::uint64_t written_rows() const { return m_written_rows; }

private:
    static constexpr milliseconds write_interval { 250 };
    static constexpr milliseconds call_timeout { 600 };
    static constexpr milliseconds read_retry_interval { 200 };
    // The rows of a failure domain, which together hold the records of its directory.
    static constexpr std::size_t rows_per_domain
        = dispatch::stream_directory::max_records / peering::max_streams_per_row + 1;

    void read_rows(instant now)
    {
        if (m_reader.is_calling() || now < m_next_read_at)
            return;
        m_next_read_at = now + read_retry_interval;
        m_reader.start(
            TableBinding::read_call(m_settings.store_address, relay::table_name::streams, m_read_up_to), call_timeout);
    }

    void handle_page(unsigned status, std::string const& body)
    {
        if (status == 0 || TableBinding::verdict_of(status) != relay::store_verdict::done)
            return;
        auto const page = TableBinding::parse_page(body);
        if (!page)
            return;
        for (auto const& row : page->rows) {
            auto streams = peering::parse_stream_row(row.value);
            m_restored.insert(m_restored.end(), streams.begin(), streams.end());
        }
        if (page->has_more && !page->rows.empty() && m_restored.size() < dispatch::stream_directory::max_records) {
            m_read_up_to = page->rows.back().key;
            m_next_read_at = m_loop.now();
            return;
        }
        m_is_restored = true;
        m_on_restored(std::exchange(m_restored, {}));
    }

    // Writes the row that is being filled. Once it is full, the next records go to the next row.
    void write_row(dispatch::stream_directory const& streams, instant now)
    {
        auto const first = std::max(m_next_record, streams.oldest());
        auto const records = streams.since(first, peering::max_streams_per_row, now);
        m_next_write_at = now + write_interval;
        m_records_in_flight = first + records.size();
        m_is_row_full = records.size() == peering::max_streams_per_row;
        m_writer.start(TableBinding::put_call(m_settings.store_address, relay::table_name::streams,
                           m_settings.domain.value() + "/" + std::to_string(m_row), peering::to_stream_row(records)),
            call_timeout);
    }

    void handle_write_result(unsigned status)
    {
        if (status == 0 || TableBinding::verdict_of(status) == relay::store_verdict::failed)
            return;
        ++m_written_rows;
        m_written_records = m_records_in_flight;
        if (!m_is_row_full)
            return;
        m_next_record = m_records_in_flight;
        m_row = (m_row + 1) % rows_per_domain;
        m_next_write_at = m_loop.now();
    }

    relay::event_loop& m_loop;
    relay::deployment_settings const& m_settings;
    restored_function m_on_restored;
    relay::buffered_call m_reader;
    relay::buffered_call m_writer;
    bool m_is_restored { false };
    // The key of the last row that was read, and what was read so far.
    std::string m_read_up_to;
    std::vector<dispatch::stream_record> m_restored;
    instant m_next_read_at {};
    bool m_is_writer { false };
    // The row that is being filled, and the number of its first record.
    std::size_t m_row { 0 };
    std::uint64_t m_next_record { 0 };
    // The numbers after the last records that were written, and that are in the write under way.
    std::uint64_t m_written_records { 0 };
    std::uint64_t m_records_in_flight { 0 };
    bool m_is_row_full { false };
    std::uint64_t m_written_rows { 0 };
    instant m_next_write_at {};
};

} // namespace shedhill::daemon
