// SPDX-License-Identifier: BSD-2-Clause
// Carries out the calls that store_watchers decides on: for each table one call to the store at a time, each with its
// own timeout.
#pragma once

#include "libraries/dispatch/store/store_watchers.h"
#include "libraries/relay/call_connection.h"
#include "libraries/relay/table_access.h"

#include <functional>
#include <memory>

namespace shedhill::relay {

// Sends calls one at a time and collects the whole answer of each.
class buffered_call final : call_listener {
public:
    // Receives the status and body of the answer, or status 0 if no complete answer arrived.
    using done_function = std::function<void(unsigned status, std::string const& body)>;

    buffered_call(event_loop& loop, std::string address, done_function done)
        : m_loop(loop)
        , m_address(std::move(address))
        , m_done(std::move(done))
        , m_buffered(loop.buffered(), buffer_place::store)
    {
    }
    ~buffered_call() override
    {
        if (m_connection)
            m_connection->abandon();
    }
    buffered_call(buffered_call const&) = delete;
    buffered_call& operator=(buffered_call const&) = delete;

    // Starts a call, which ends once nothing has arrived for the limit, or once the answer has arrived more slowly than
    // min_bytes_per_second for that time.
    void start(std::string call, milliseconds limit);
    void check_timeouts(instant now);
    // Ends the call in progress and reports that it got no answer.
    void cancel();
    [[nodiscard]] bool is_calling() const { return m_is_calling; }
    // The number of bytes of the answer's body that have arrived so far.
    [[nodiscard]] std::size_t received_bytes() const { return m_body.size(); }

private:
    // A tenth of the narrowest link of a VM in use, 10 Mbit/s, which a transfer shares with requests and answers.
    static constexpr std::int64_t min_bytes_per_second = 125'000;
    // The longest time without a byte once the answer has begun, whatever time a long poll has.
    static constexpr milliseconds max_receiving_pause { 900 };

    head_decision on_head(answer_head const& head) override;
    void on_data(std::string_view data) override;
    void on_call_end(call_end end) override;

    event_loop& m_loop;
    std::string m_address;
    done_function m_done;
    std::shared_ptr<call_connection> m_connection;
    bool m_is_calling { false };
    milliseconds m_limit { 0 };
    instant m_started_at {};
    instant m_received_at {};
    unsigned m_status { 0 };
    // Invariant: at most max_store_answer_bytes.
    std::string m_body;
    buffered_bytes m_buffered;
};

// Reads and watches one table of the store.
template <table_protocol Binding>
class table_session {
public:
    using changed_function = std::function<void()>;

    table_session(event_loop& loop, std::string store, table_name table, dispatch::store_watchers& watchers,
        store_clock& clock, changed_function on_changed)
        : m_loop(loop)
        , m_store(std::move(store))
        , m_table(table)
        , m_watchers(watchers)
        , m_clock(clock)
        , m_on_changed(std::move(on_changed))
        , m_call(loop, m_store, [this](unsigned status, std::string const& body) { handle_answer(status, body); })
    {
    }

    void tick(instant now, std::uint64_t draw)
    {
        m_draw = draw;
        m_call.check_timeouts(now);
        if (m_call.is_calling() && m_watchers.should_abandon(m_table, now))
            m_call.cancel();
        if (m_call.is_calling())
            return;
        auto const next = m_watchers.take_next(m_table, now);
        if (!next)
            return;
        auto const& request = next->request;
        bool const is_read = request.kind == dispatch::table_watcher::call_kind::read;
        m_call.start(is_read ? Binding::read_call(m_store, m_table, request.after_key)
                             : Binding::watch_call(m_store, m_table, request.since, request.wait),
            next->limit);
    }

    [[nodiscard]] dispatch::table_watcher& watcher() { return m_watchers.of(m_table); }

private:
    void handle_answer(unsigned status, std::string const& body)
    {
        using watcher = dispatch::table_watcher;
        auto const verdict = status == 0 ? store_verdict::failed : Binding::verdict_of(status);
        if (verdict == store_verdict::done) {
            if (auto page = Binding::parse_page(body))
                return apply_page(std::move(*page));
        }
        auto what = status == 0 ? watcher::failure::no_answer : watcher::failure::refused;
        if (verdict == store_verdict::history_gone)
            what = watcher::failure::history_gone;
        m_watchers.apply_failure(m_table, what, m_loop.now(), m_draw);
    }

    void apply_page(table_page page)
    {
        using watcher = dispatch::table_watcher;
        std::vector<watcher::changed_row> rows;
        rows.reserve(page.rows.size());
        for (auto& row : page.rows)
            rows.push_back({ std::move(row.key), std::move(row.value), row.version, row.is_gone });
        // An answer that arrived during a pause of this router, or that was held up, says nothing about the time since.
        auto arrived_at = m_loop.now() - m_loop.pause_before_round();
        if (page.store_time)
            arrived_at = m_clock.record_answer(*page.store_time, arrived_at);
        if (m_watchers.apply_page(m_table, rows, page.version, page.has_more, arrived_at)
            == watcher::page_outcome::changed)
            m_on_changed();
    }

    event_loop& m_loop;
    std::string m_store;
    table_name m_table;
    dispatch::store_watchers& m_watchers;
    store_clock& m_clock;
    changed_function m_on_changed;
    buffered_call m_call;
    std::uint64_t m_draw { 0 };
};

} // namespace shedhill::relay
