// SPDX-License-Identifier: BSD-2-Clause
// Parses requests from a caller and writes the answers.
#include "libraries/relay/caller_connection.h"

#include "libraries/framing/message_head.h"
#include "libraries/relay/buffer_limits.h"

#include <algorithm>

namespace shedhill::relay {

namespace {

constexpr unsigned status_bad_request = 400;
constexpr unsigned status_too_large = 413;
constexpr unsigned status_header_too_large = 431;
// Limit of the bytes that may wait for a caller that does not read; beyond it the connection is closed. It is what one
// answer brings that is withheld until it is complete, or that is forwarded while its caller lags.
constexpr std::size_t max_unwritten_bytes = max_withheld_bytes + max_event_bytes + 2 * max_lag_bytes;
// The time for which the rest of a refused request is read and discarded.
constexpr milliseconds max_discarding_time { 1000 };

unsigned status_of(boost::system::error_code failure)
{
    if (failure == http::error::header_limit)
        return status_header_too_large;
    if (failure == http::error::body_limit)
        return status_too_large;
    return status_bad_request;
}

} // namespace

caller_connection::caller_connection(
    event_loop& loop, std::uint64_t number, caller_listener& listener, read_limits limits)
    : m_loop(loop)
    , m_number(number)
    , m_listener(listener)
    , m_limits(limits)
    , m_socket(loop, *this)
    , m_received(loop.buffered(), buffer_place::incoming)
    , m_last_activity(loop.now())
{
    begin_request();
}

void caller_connection::open(int descriptor, milliseconds max_unaccepted_time, milliseconds max_unread_answer_time)
{
    m_opened_at = m_loop.now();
    m_waiting_since = m_opened_at - max_unaccepted_time;
    m_socket.adopt(descriptor, max_unread_answer_time);
}

void caller_connection::measure_unread_time()
{
    // A round usually begins some milliseconds after the last one, and the system need not be asked.
    constexpr milliseconds negligible { 20 };
    auto const now = m_loop.now();
    auto const round_before = now - m_loop.max_unread_time();
    bool const came_with_connection = round_before <= m_opened_at;
    auto since = came_with_connection ? std::min(round_before, m_waiting_since) : round_before;
    // A caller sends its next request after the answer to the one before.
    since = std::max(since, m_answered_at);
    m_unread_time = now - since <= negligible ? milliseconds(0) : m_socket.time_since_receipt(now - since);
}

void caller_connection::begin_request()
{
    m_parser.emplace();
    m_head.reset();
}

void caller_connection::on_ready(readiness ready)
{
    auto const self = shared_from_this();
    if (ready.is_writable)
        flush();
    if (m_is_closed || !(ready.is_readable || ready.is_closed))
        return;
    if (m_is_discarding)
        return discard_input();
    // A caller that has closed its connection accepts no answer, so requests that it sent before are not read.
    if (ready.is_closed)
        return disconnect();
    read_input();
}

void caller_connection::read_input()
{
    auto const [bytes, end] = m_socket.read();
    if (end != read_end::drained)
        return disconnect();
    if (bytes.empty())
        return;
    m_last_activity = m_loop.now();
    measure_unread_time();
    m_input += bytes;
    if (m_is_answering && m_input.size() > max_pipelined_bytes)
        m_socket.set_reading(false);
    read_requests();
}

void caller_connection::read_requests()
{
    // An answer that the listener completes at once calls this function again; the outer call reads the next request.
    if (m_is_parsing)
        return;
    m_is_parsing = true;
    while (!m_is_answering && !m_is_discarding && !m_is_closed && m_parsed < m_input.size()) {
        auto const used = parse_input();
        if (!used)
            break;
        if (!m_parser->is_done()) {
            if (m_parser->is_header_done() && field_of(m_parser->get().base(), "Expect") == "100-continue"
                && m_parsed == m_input.size() && m_parser->get().body().empty())
                out() += "HTTP/1.1 100 Continue\r\n\r\n";
            if (*used == 0 || m_parsed == m_input.size())
                break;
            continue;
        }
        finish_request();
    }
    m_input.erase(0, m_is_discarding ? m_input.size() : m_parsed);
    m_parsed = 0;
    if (m_input.empty())
        clear_buffer(m_input);
    record_received_bytes();
    m_is_parsing = false;
}

bool caller_connection::has_incomplete_body() const
{
    return m_parser && m_parser->is_header_done() && !m_parser->is_done() && !m_is_discarding;
}

std::size_t caller_connection::incomplete_body_size() const
{
    return has_incomplete_body() ? m_parser->get().body().size() : 0;
}

void caller_connection::record_received_bytes()
{
    m_received.set(m_is_closed || m_is_discarding ? 0 : m_input.size() + incomplete_body_size());
}

std::optional<std::size_t> caller_connection::parse_input()
{
    auto const input = unparsed_input();
    bool const had_head = m_parser->is_header_done();
    if (!had_head) {
        // The parser consumes a head line by line, so it gets nothing of one before all of it can be checked.
        auto const size = framing::head_size(input, m_searched);
        m_searched = size ? 0 : input.size();
        if (!size && input.size() <= m_limits.header_bytes)
            return 0;
        if (!is_head_accepted(size))
            return std::nullopt;
        m_parser->header_limit(static_cast<std::uint32_t>(m_limits.header_bytes));
        m_parser->body_limit(m_limits.body_bytes);
    } else if (m_parser->chunked() && input.size() < framing::min_rest_of_chunks) {
        return 0;
    }
    boost::system::error_code failure;
    auto const used = m_parser->put(boost::asio::buffer(input.data(), input.size()), failure);
    m_parsed += used;
    if (failure && failure != http::error::need_more) {
        refuse(status_of(failure), failure.message());
        return std::nullopt;
    }
    if (!had_head && m_parser->is_header_done()) {
        // The parser has read nothing but the head so far.
        m_parser->eager(true);
        if (m_parser->chunked())
            m_head = m_parser->get().base();
        if (!is_body_accepted())
            return std::nullopt;
    }
    if (used == 0 && !is_framing_accepted())
        return std::nullopt;
    return used;
}

bool caller_connection::is_body_accepted()
{
    auto const length = m_parser->content_length();
    if (m_parser->is_done() || m_loop.buffered().has_room_for_request(length ? *length : 1))
        return true;
    refuse_unread();
    return false;
}

void caller_connection::refuse_incomplete_body()
{
    if (m_is_closed || m_is_answering || !has_incomplete_body())
        return;
    m_input.clear();
    refuse_unread();
}

void caller_connection::refuse_unread()
{
    auto const request = m_parser->release();
    begin_request();
    begin_refusal();
    m_listener.on_body_refused(*this, request);
}

bool caller_connection::is_framing_accepted()
{
    auto input = unparsed_input();
    if (input.size() <= m_limits.header_bytes)
        return true;
    // The end of a chunk precedes the line of the next one.
    constexpr std::string_view line_end = "\r\n";
    if (input.starts_with(line_end))
        input.remove_prefix(line_end.size());
    bool const is_trailer = input.find(line_end) != std::string_view::npos;
    refuse(status_header_too_large,
        std::string(is_trailer ? "the trailer" : "a chunk line") + " is larger than max_header_bytes, "
            + std::to_string(m_limits.header_bytes));
    return false;
}

void caller_connection::discard_input()
{
    auto const [bytes, end] = m_socket.read();
    if (end != read_end::drained || has_discarded_enough())
        disconnect();
}

bool caller_connection::is_head_accepted(std::optional<std::size_t> size)
{
    if (!size || *size > m_limits.header_bytes) {
        refuse(status_header_too_large,
            "the head is larger than max_header_bytes, " + std::to_string(m_limits.header_bytes));
        return false;
    }
    auto const error = framing::check_head(unparsed_input().substr(0, *size));
    if (error)
        refuse(status_bad_request, to_text(*error));
    return !error;
}

void caller_connection::begin_refusal()
{
    m_is_answering = true;
    m_closes_after_answer = true;
    m_is_discarding = true;
    m_discards_until = m_loop.now() + max_discarding_time;
    m_socket.set_reading(true);
    record_received_bytes();
}

void caller_connection::refuse(unsigned status, std::string reason)
{
    begin_refusal();
    m_listener.on_bad_request(*this, { status, std::move(reason) });
}

void caller_connection::finish_request()
{
    m_is_answering = true;
    m_closes_after_answer = m_closes_after_answer || !m_parser->keep_alive();
    auto request = m_parser->release();
    if (m_head)
        request.base() = std::move(*m_head);
    begin_request();
    m_listener.on_request(*this, std::move(request));
}

std::string& caller_connection::out()
{
    schedule_flush();
    return m_socket.out();
}

void caller_connection::schedule_flush()
{
    if (m_is_flush_scheduled)
        return;
    m_is_flush_scheduled = true;
    m_loop.at_end_of_round([self = weak_from_this()] {
        if (auto const connection = self.lock(); connection && !connection->m_is_closed) {
            connection->m_is_flush_scheduled = false;
            connection->flush();
        }
    });
}

void caller_connection::flush()
{
    m_last_activity = m_loop.now();
    if (!m_socket.flush() || m_socket.unwritten_size() > max_unwritten_bytes)
        return disconnect();
    if (m_has_lagged && m_socket.unwritten_size() <= max_lag_bytes / 2) {
        m_has_lagged = false;
        m_listener.on_caller_caught_up(*this);
    }
    if (!m_closes_after_answer || m_is_answering || m_socket.has_unwritten())
        return;
    if (m_is_discarding && !m_is_aborted)
        return end_refusal();
    if (!m_is_aborted)
        m_socket.set_reset_on_close(false);
    disconnect();
}

void caller_connection::end_refusal()
{
    if (!std::exchange(m_has_shut_down, true))
        m_socket.shut_down_writing();
}

bool caller_connection::is_lagging()
{
    m_has_lagged |= unwritten_size() > max_lag_bytes;
    return m_has_lagged;
}

void caller_connection::begin_unframed_answer()
{
    m_closes_after_answer = true;
    m_socket.set_reset_on_close(true);
}

void caller_connection::finish_answer()
{
    m_is_answering = false;
    m_answered_at = m_loop.now() + m_loop.time_in_round();
    m_socket.set_reading(true);
    schedule_flush();
    if (!m_closes_after_answer)
        read_requests();
}

void caller_connection::abort_answer()
{
    m_is_answering = false;
    m_is_aborted = true;
    // The bytes written so far still reach the caller. The close without an end of the answer shows it is incomplete.
    m_closes_after_answer = true;
    schedule_flush();
}

void caller_connection::close_idle()
{
    if (!m_is_answering)
        disconnect();
}

void caller_connection::close_after_flush()
{
    m_closes_after_answer = true;
    if (!m_is_closed)
        flush();
}

void caller_connection::disconnect()
{
    if (m_is_closed)
        return;
    m_is_closed = true;
    m_socket.close();
    record_received_bytes();
    m_listener.on_caller_disconnected(*this);
}

} // namespace shedhill::relay
