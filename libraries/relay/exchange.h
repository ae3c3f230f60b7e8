// SPDX-License-Identifier: BSD-2-Clause
// One caller's request while it is served: sends attempts to endpoints and forwards the answer to the caller. The
// dispatcher chooses the endpoint, decides about retries, and interprets failures.
#pragma once

#include "libraries/dispatch/effects.h"
#include "libraries/dispatch/events.h"
#include "libraries/relay/attempt_judgement.h"
#include "libraries/relay/buffer_limits.h"
#include "libraries/relay/call_connection.h"
#include "libraries/relay/event_stream.h"
#include "libraries/relay/protocol.h"
#include "libraries/relay/request_content.h"

#include <memory>

namespace shedhill::relay {

// Receives the events of an exchange.
class exchange_owner {
public:
    virtual ~exchange_owner() = default;
    virtual void on_event(dispatch::event_body event) = 0;
    // The connection to the endpoint can be reused.
    virtual void on_connection_free(dispatch::send_attempt const& attempt, std::shared_ptr<call_connection> connection)
        = 0;
    // Returns whether the content hash of answered requests is needed, because some requests are suspects.
    [[nodiscard]] virtual bool suspects_requests() const = 0;
    // The answer has ended, complete or not; the owner destroys the exchange.
    virtual void on_exchange_finished(request_number request) = 0;
};

template <caller_protocol Binding>
class exchange final : public call_listener {
public:
    exchange(event_loop& loop, exchange_owner& owner, request_number number, caller_request request,
        std::shared_ptr<caller_connection> caller)
        : m_loop(loop)
        , m_owner(owner)
        , m_number(number)
        , m_request(std::move(request))
        , m_caller(std::move(caller))
        , m_buffered(loop.buffered(), buffer_place::exchanges)
    {
        record_buffered();
    }
    ~exchange() override { drop_attempt(); }
    exchange(exchange const&) = delete;
    exchange& operator=(exchange const&) = delete;

    [[nodiscard]] caller_connection& caller() { return *m_caller; }

    void start(dispatch::send_attempt attempt, std::shared_ptr<call_connection> connection)
    {
        drop_attempt();
        m_attempt = std::move(attempt);
        m_connection = std::move(connection);
        m_attempt_events = 0;
        m_ending = {};
        m_is_stream = false;
        m_is_forwarded = false;
        m_is_paused = false;
        m_waits_for_caller = false;
        m_waits_for_memory = false;
        drop_body();
        m_stream.drop_partial();
        record_buffered();
        m_started_at = m_loop.now();
        m_last_progress_at = m_started_at;
        m_has_stalled = false;
        std::string call;
        attempt_fields fields { m_attempt.endpoint, m_attempt.team, m_attempt.time_left, {}, m_request.body().size() };
        if (m_is_head_sent)
            fields.resume_after = m_stream.last_id();
        Binding::append_call(call, m_request, fields);
        call += m_request.body();
        m_connection->start(m_attempt.address, std::move(call), *this);
    }

    // Cancels the attempt in progress by closing its connection, at which the endpoint stops its work.
    void drop_attempt()
    {
        if (m_connection)
            m_connection->abandon();
        m_connection.reset();
    }

    void refuse(dispatch::answer_refusal const& refusal)
    {
        refusal_fields const fields { refusal.status, dispatch::name_of(refusal.reason), refusal.retry_after,
            m_caller->closes_after_answer() };
        Binding::append_refusal(m_caller->out(), fields, m_request);
        m_caller->finish_answer();
        m_owner.on_exchange_finished(m_number);
    }

    // Forwards the endpoint's failure answer, which was withheld until the dispatcher decided not to retry.
    void forward_withheld_answer()
    {
        forward_whole_answer();
        m_owner.on_exchange_finished(m_number);
    }

    void abort_answer()
    {
        m_caller->abort_answer();
        m_owner.on_exchange_finished(m_number);
    }

    // Ends an attempt whose connection is not established in time, and reports an attempt whose endpoint sends nothing
    // for longer than its silence limit.
    void check_timeouts(instant now, milliseconds connect_timeout)
    {
        if (!m_connection)
            return;
        if (m_connection->is_connecting()) {
            if (now - m_started_at >= connect_timeout) {
                drop_attempt();
                end_attempt(dispatch::attempt_end::not_sent);
            }
            return;
        }
        // The endpoint cannot send while this router does not read.
        if (m_is_paused)
            m_last_progress_at = now;
        if (m_has_stalled || now - m_last_progress_at < m_attempt.silence_limit)
            return;
        m_has_stalled = true;
        m_owner.on_event(
            dispatch::attempt_stalled { m_number, m_attempt.attempt, m_is_head_sent, content_of(m_request) });
    }

    // Reads on after the caller has caught up.
    void resume()
    {
        m_waits_for_caller = false;
        update_reading();
    }

    // Returns the bytes of the answer that are kept until it is complete.
    [[nodiscard]] std::size_t withheld_size() const { return m_body.size(); }
    // Lets the endpoint wait until there is memory for its answer.
    void wait_for_memory()
    {
        m_waits_for_memory = true;
        update_reading();
    }
    void continue_with_memory()
    {
        m_waits_for_memory = false;
        update_reading();
    }

private:
    head_decision on_head(answer_head const& head) override
    {
        m_status = static_cast<std::uint16_t>(head.result_int());
        m_kind = Binding::kind_of(head, m_request);
        report_notice(head);
        if (m_kind == answer_kind::other_call)
            return head_decision::skip;
        if (m_kind == answer_kind::invalid)
            return head_decision::reject;
        m_last_progress_at = m_loop.now();
        m_framing = m_connection->ending().framing;
        m_answer_head = head;
        m_is_stream = m_kind == answer_kind::answer && m_status < first_status_not_success
            && field_of(head, "Content-Type").starts_with("text/event-stream");
        // A stream of which the caller has received a part can only be resumed by another stream.
        if (m_is_head_sent && !m_is_stream && m_kind == answer_kind::answer)
            return head_decision::reject;
        auto const length = m_connection->announced_length();
        bool const is_large = !m_is_stream && length && *length > max_withheld_bytes;
        if (is_large && m_kind == answer_kind::answer && m_status < first_server_error)
            begin_forwarding(*length);
        return head_decision::accept;
    }

    // Forwards an answer as it arrives that is too large to be kept until it is complete. No other endpoint can
    // continue it.
    void begin_forwarding(std::uint64_t length)
    {
        m_is_forwarded = true;
        m_is_head_sent = true;
        append_head();
        append_field(m_caller->out(), "Content-Length", std::to_string(length));
        m_caller->out() += "\r\n";
        m_owner.on_event(
            dispatch::answer_began { m_number, m_attempt.attempt, dispatch::answer_continuation::impossible });
    }

    // Lets the endpoint wait while the caller lags.
    void pause_if_lagging()
    {
        if (m_waits_for_caller || !m_connection || !m_caller->is_lagging())
            return;
        m_waits_for_caller = true;
        update_reading();
    }

    void update_reading()
    {
        bool const is_paused = m_waits_for_caller || m_waits_for_memory;
        if (!m_connection || m_connection->is_connecting() || std::exchange(m_is_paused, is_paused) == is_paused)
            return;
        m_last_progress_at = m_loop.now();
        if (is_paused)
            m_connection->pause_reading();
        else
            m_connection->resume_reading();
    }

    void record_buffered() { m_buffered.set(m_request.body().size() + m_body.size() + m_stream.partial().size()); }

    void drop_body()
    {
        m_body.clear();
        if (m_body.capacity() > max_idle_capacity)
            m_body.shrink_to_fit();
    }

    // Reports the endpoint's notice. The notice of an answer that is not forwarded or belongs to an earlier call counts
    // too, since the connection belongs to this endpoint instance alone. The notice of a wrong endpoint does not count,
    // since another endpoint sent it.
    void report_notice(answer_head const& head)
    {
        if (m_kind == answer_kind::wrong_endpoint)
            return;
        if (auto const notice = Binding::notice_of(head); !notice.is_empty())
            m_owner.on_event(
                dispatch::endpoint_notice_received { m_number, m_attempt.endpoint, m_attempt.instance, notice });
    }

    void on_data(std::string_view data) override
    {
        m_last_progress_at = m_loop.now();
        m_has_stalled = false;
        if (m_is_stream)
            feed_stream(data);
        else
            feed_plain(data);
    }

    void feed_plain(std::string_view data)
    {
        if (m_is_forwarded) {
            m_caller->out() += data;
            return pause_if_lagging();
        }
        if (data.size() > max_withheld_bytes - m_body.size())
            return m_connection->reject_answer();
        m_body += data;
        record_buffered();
    }

    void feed_stream(std::string_view data)
    {
        m_whole_events.clear();
        auto const events = m_stream.feed(data, m_whole_events);
        record_buffered();
        if (m_stream.partial().size() > max_event_bytes || m_stream.has_gap())
            return m_connection->reject_answer();
        if (events == 0)
            return;
        bool const is_first = m_attempt_events == 0;
        m_attempt_events += events;
        begin_stream();
        forward_events(m_whole_events);
        if (is_first)
            m_owner.on_event(dispatch::answer_began { m_number, m_attempt.attempt });
        pause_if_lagging();
    }

    void on_call_end(call_end end) override
    {
        m_ending = m_connection->ending();
        if (m_is_stream)
            m_ending.partial_bytes = static_cast<std::uint32_t>(m_stream.partial().size());
        auto connection = std::exchange(m_connection, nullptr);
        if (connection->is_idle())
            m_owner.on_connection_free(m_attempt, std::move(connection));
        auto const judged = judge_attempt(evidence_of(end));
        if (!dispatch::is_answer(judged))
            return end_attempt(judged);
        finish_answer(judged);
    }

    [[nodiscard]] answer_evidence evidence_of(call_end end) const
    {
        bool const has_events = m_is_head_sent || !field_of(m_request, "Last-Event-Id").empty();
        return { end, m_kind, m_status, m_is_stream, m_stream.is_inside_event(), !has_events,
            m_is_head_sent && !m_is_unframed };
    }

    // An answer whose end its endpoint has not marked is forwarded in the same way: its caller learns that the
    // connection ended it, and nothing claims that it is whole.
    void begin_unframed_answer()
    {
        m_is_unframed = true;
        m_caller->begin_unframed_answer();
    }

    void begin_stream()
    {
        if (std::exchange(m_is_head_sent, true))
            return;
        if (m_framing == dispatch::answer_framing::connection)
            begin_unframed_answer();
        append_head();
        if (!m_is_unframed)
            append_field(m_caller->out(), "Transfer-Encoding", "chunked");
        m_caller->out() += "\r\n";
    }

    void forward_events(std::string_view events)
    {
        if (m_is_unframed)
            m_caller->out() += events;
        else if (!events.empty())
            append_chunk(m_caller->out(), events);
    }

    void forward_whole_answer()
    {
        if (m_framing == dispatch::answer_framing::connection)
            begin_unframed_answer();
        append_head();
        if (!m_is_unframed)
            append_field(m_caller->out(), "Content-Length", std::to_string(m_body.size()));
        m_caller->out() += "\r\n";
        m_caller->out() += m_body;
        m_caller->finish_answer();
    }

    void finish_answer(dispatch::attempt_end end)
    {
        if (m_is_forwarded) {
            m_caller->finish_answer();
        } else if (m_is_stream) {
            begin_stream();
            forward_events(m_stream.partial());
            if (!m_is_unframed)
                append_last_chunk(m_caller->out());
            m_caller->finish_answer();
        } else {
            forward_whole_answer();
        }
        end_attempt(end);
        m_owner.on_exchange_finished(m_number);
    }

    // Appends the status line and the fields that do not concern the framing.
    void append_head()
    {
        auto& out = m_caller->out();
        append_status_line(out, m_status, to_view(m_answer_head.reason()));
        for (auto const& field : m_answer_head) {
            if (!is_hop_by_hop(field))
                append_field(out, to_view(field.name_string()), to_view(field.value()));
        }
        if (m_caller->closes_after_answer())
            append_field(out, "Connection", "close");
    }

    void end_attempt(dispatch::attempt_end end)
    {
        m_connection.reset();
        dispatch::attempt_ended event { m_number, m_attempt.attempt, end, m_status, std::exchange(m_attempt_events, 0),
            m_is_head_sent };
        event.ending = m_ending;
        bool const is_needed = dispatch::is_answer(end) && m_owner.suspects_requests();
        bool const is_unproven = end == dispatch::attempt_end::broken || end == dispatch::attempt_end::closed;
        if (is_unproven || end == dispatch::attempt_end::failed || is_needed)
            event.content = content_of(m_request);
        m_owner.on_event(event);
    }

    static constexpr std::uint16_t first_status_not_success = 300;
    static constexpr std::uint16_t first_server_error = 500;

    event_loop& m_loop;
    exchange_owner& m_owner;
    request_number m_number;
    caller_request m_request;
    std::shared_ptr<caller_connection> m_caller;

    dispatch::send_attempt m_attempt;
    std::shared_ptr<call_connection> m_connection;
    instant m_started_at {};
    instant m_last_progress_at {};
    bool m_has_stalled { false };
    answer_kind m_kind { answer_kind::invalid };
    std::uint16_t m_status { 0 };
    answer_head m_answer_head;
    bool m_is_stream { false };
    // How the endpoint marks the end of the answer that m_answer_head begins.
    dispatch::answer_framing m_framing { dispatch::answer_framing::none };
    std::uint32_t m_attempt_events { 0 };
    dispatch::answer_ending m_ending;
    event_stream m_stream;
    std::string m_whole_events;
    // The body of an answer that is not a stream, withheld until it is complete. Invariant: at most max_withheld_bytes.
    std::string m_body;
    // Whether an answer that is not a stream is forwarded as it arrives.
    bool m_is_forwarded { false };
    // Why the answer is not read, and whether the connection was told.
    bool m_waits_for_caller { false };
    bool m_waits_for_memory { false };
    bool m_is_paused { false };
    // Accounts for the body of the request, the withheld answer and the incomplete event.
    buffered_bytes m_buffered;
    // Whether the answer's head was sent to the caller. Invariant: once true, no head is written again.
    bool m_is_head_sent { false };
    // Whether the answer to the caller has neither a length nor chunks.
    bool m_is_unframed { false };
};

} // namespace shedhill::relay
