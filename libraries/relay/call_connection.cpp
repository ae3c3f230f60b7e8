// SPDX-License-Identifier: BSD-2-Clause
// Implements calls over one connection: connecting, parsing of answers, and reuse.
#include "libraries/relay/call_connection.h"

#include "libraries/framing/message_head.h"
#include "libraries/relay/buffer_limits.h"

#include <charconv>

namespace shedhill::relay {

namespace {

// An idle connection counts as reusable for this percentage of the server's Keep-Alive timeout, so that no call is sent
// while the server closes it.
constexpr std::int64_t reuse_percent_of_timeout = 70;
// The time for which a connection is reusable if the server names no timeout.
constexpr milliseconds default_reuse_time { 4000 };

// Returns for how long an idle connection is reusable, from a Keep-Alive field such as "timeout=5" or "5".
milliseconds reuse_time(std::string_view value)
{
    auto const equals = value.find("timeout=");
    if (equals != std::string_view::npos)
        value.remove_prefix(equals + std::string_view("timeout=").size());
    int seconds = 0;
    if (std::from_chars(value.data(), value.data() + value.size(), seconds).ec != std::errc() || seconds < 0)
        return default_reuse_time;
    constexpr std::int64_t ms_per_percent_of_second = 10;
    return milliseconds(seconds * ms_per_percent_of_second * reuse_percent_of_timeout);
}

} // namespace

void call_connection::start(std::string const& address, std::string call, call_listener& listener)
{
    m_listener = &listener;
    ++m_call_number;
    m_unparsed.clear();
    m_interim_bytes = 0;
    begin_answer();
    // Bytes that arrived while no call was in progress answer nothing, and a closed connection accepts no call.
    if (m_phase == phase::idle && m_socket.has_input())
        m_socket.close();
    m_socket.out() = std::move(call);
    if (m_phase == phase::idle && m_socket.is_open()) {
        m_phase = phase::calling;
        if (!m_socket.flush())
            break_call(dispatch::answer_stop::reset);
        return;
    }
    m_phase = phase::connecting;
    if (!m_socket.connect(address)) {
        // The listener is called after start() has returned.
        m_loop.at_end_of_round([self = weak_from_this()] {
            if (auto const connection = self.lock(); connection && connection->m_listener != nullptr)
                connection->end_call(call_end::not_sent);
        });
    }
}

void call_connection::begin_answer()
{
    m_searched = 0;
    m_parser.emplace();
    m_parser->eager(true);
    m_parser->body_limit(boost::none);
    m_parser->header_limit(static_cast<std::uint32_t>(max_answer_head_bytes));
    m_announced_length.reset();
    m_has_head = false;
    m_is_skipping = false;
    m_framing = dispatch::answer_framing::none;
    m_stop = dispatch::answer_stop::none;
}

void call_connection::abandon()
{
    m_listener = nullptr;
    close_connection();
}

void call_connection::close_connection()
{
    m_phase = phase::unconnected;
    m_socket.close();
    m_unparsed.clear();
    m_buffered.set(0);
}

void call_connection::on_ready(readiness ready)
{
    auto const self = shared_from_this();
    if (m_phase == phase::connecting) {
        if (!m_socket.finish_connect())
            return end_call(call_end::not_sent);
        m_phase = phase::calling;
        if (!m_socket.flush())
            break_call(dispatch::answer_stop::reset);
        return;
    }
    if (ready.is_writable && !m_socket.flush())
        return break_call(dispatch::answer_stop::reset);
    if (!ready.is_readable && !ready.is_closed)
        return;
    auto const [bytes, end] = m_socket.read();
    if (m_phase != phase::calling) {
        // No call is in progress: the server has closed the connection or sent bytes that belong to no call.
        m_phase = phase::unconnected;
        return m_socket.close();
    }
    if (!bytes.empty())
        return parse_bytes(bytes);
    if (end != read_end::drained)
        handle_end_of_input(end);
}

void call_connection::parse_bytes(std::string_view bytes)
{
    auto const call = m_call_number;
    if (m_unparsed.empty()) {
        auto const used = parse_all(bytes);
        // The listener may have started another call already.
        if (m_phase == phase::calling && m_call_number == call)
            m_unparsed = bytes.substr(used);
    } else {
        // The bytes are moved out, because the listener may start another call.
        auto joined = std::move(m_unparsed);
        m_unparsed.clear();
        joined += bytes;
        auto const used = parse_all(joined);
        if (m_phase == phase::calling && m_call_number == call) {
            joined.erase(0, used);
            m_unparsed = std::move(joined);
        }
    }
    m_buffered.set(m_unparsed.size());
}

std::size_t call_connection::parse_all(std::string_view bytes)
{
    auto const call = m_call_number;
    std::size_t parsed = 0;
    while (parsed < bytes.size()) {
        auto const used = parse_some(bytes.substr(parsed));
        if (m_phase != phase::calling || m_call_number != call)
            break;
        parsed += used;
        if (used != 0)
            continue;
        // The parser waits for the end of a chunk line or of a trailer, which may never come.
        if (bytes.size() - parsed > max_answer_head_bytes)
            break_call(dispatch::answer_stop::invalid);
        break;
    }
    return parsed;
}

std::size_t call_connection::parse_some(std::string_view bytes)
{
    if (!m_has_head) {
        auto const size = framing::head_size(bytes, m_searched);
        m_searched = size ? 0 : bytes.size();
        if (!size && bytes.size() <= max_answer_head_bytes)
            return 0;
        // A head with a doubtful length does not show where the answer ends, and a part of it may look like another
        // one.
        if (!size || framing::check_answer_head(bytes.substr(0, *size))) {
            break_call(dispatch::answer_stop::invalid);
            return 0;
        }
    }
    if (m_has_head && m_parser->chunked() && bytes.size() < framing::min_rest_of_chunks)
        return 0;
    boost::system::error_code failure;
    auto const used = m_parser->put(boost::asio::buffer(bytes.data(), bytes.size()), failure);
    if (failure && failure != http::error::need_more) {
        break_call(dispatch::answer_stop::invalid);
        return used;
    }
    if (!m_has_head && m_parser->is_header_done()) {
        if (framing::is_interim_status(m_parser->get().result_int())) {
            skip_interim_answer(used);
            return used;
        }
        handle_head();
        if (m_phase != phase::calling)
            return used;
    }
    auto& content = m_parser->get().body().content;
    if (!content.empty()) {
        if (!m_is_skipping)
            m_listener->on_data(content);
        if (m_phase != phase::calling)
            return used;
        content.clear();
    }
    if (m_parser->is_done())
        finish_answer(call_end::complete, bytes.size() > used ? trailing_bytes::some : trailing_bytes::none);
    return used;
}

void call_connection::skip_interim_answer(std::size_t size)
{
    m_interim_bytes += size;
    if (m_interim_bytes > max_answer_head_bytes)
        return break_call(dispatch::answer_stop::invalid);
    begin_answer();
}

void call_connection::handle_head()
{
    m_has_head = true;
    m_framing = framing_of_head();
    if (auto const length = m_parser->content_length())
        m_announced_length = *length;
    switch (m_listener->on_head(m_parser->get().base())) {
    case head_decision::accept:
        break;
    case head_decision::skip:
        m_is_skipping = true;
        break;
    case head_decision::reject:
        if (m_listener != nullptr)
            break_call(dispatch::answer_stop::invalid);
        break;
    }
}

void call_connection::finish_answer(call_end end, trailing_bytes trailing)
{
    if (m_is_skipping) {
        if (!is_reusable())
            return break_call(dispatch::answer_stop::invalid);
        return begin_answer();
    }
    auto const reuse_for = reuse_time(field_of(m_parser->get().base(), "Keep-Alive"));
    // Bytes after the answer belong to no call, so the connection is not reused.
    bool const stays_open = is_reusable() && trailing == trailing_bytes::none;
    m_phase = stays_open ? phase::idle : phase::unconnected;
    if (!stays_open)
        m_socket.close();
    m_idle_since = m_loop.now();
    m_reusable_until = m_idle_since + reuse_for;
    if (m_stop == dispatch::answer_stop::none)
        m_stop = dispatch::answer_stop::framing;
    auto* const listener = std::exchange(m_listener, nullptr);
    listener->on_call_end(end);
}

// NOTE: A server may answer before it has read the whole call. The unsent rest of the body must then not be sent as
// part of a later call, so the connection is closed instead of being reused.
bool call_connection::is_reusable() const { return m_parser->keep_alive() && !m_socket.has_unwritten(); }

void call_connection::handle_end_of_input(read_end end)
{
    auto const stop = end == read_end::closed ? dispatch::answer_stop::closed : dispatch::answer_stop::reset;
    if (end == read_end::closed && m_has_head && !m_is_skipping) {
        m_stop = stop;
        boost::system::error_code failure;
        m_parser->put_eof(failure);
        if (!failure && m_parser->is_done())
            return finish_answer(call_end::closed, trailing_bytes::none);
    }
    break_call(stop);
}

dispatch::answer_framing call_connection::framing_of_head() const
{
    if (m_parser->chunked())
        return dispatch::answer_framing::chunks;
    return m_parser->need_eof() ? dispatch::answer_framing::connection : dispatch::answer_framing::length;
}

void call_connection::break_call(dispatch::answer_stop stop)
{
    m_stop = stop;
    end_call(call_end::broken);
}

void call_connection::end_call(call_end end)
{
    close_connection();
    if (auto* const listener = std::exchange(m_listener, nullptr))
        listener->on_call_end(end);
}

} // namespace shedhill::relay
