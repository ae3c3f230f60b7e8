// SPDX-License-Identifier: BSD-2-Clause
// Calls over one connection.
#include "libraries/relay/call_connection.h"

#include <charconv>

namespace shedhill::relay {

namespace {

constexpr std::uint32_t most_header_bytes = 32768;
// A kept connection is given up a little before the server does.
constexpr std::int64_t kept_part_percent = 70;
constexpr milliseconds kept_without_word { 4000 };

// "timeout=5" or "5" of a Keep-Alive field.
milliseconds kept_time(std::string_view value)
{
    auto const equals = value.find("timeout=");
    if (equals != std::string_view::npos)
        value.remove_prefix(equals + std::string_view("timeout=").size());
    int seconds = 0;
    if (std::from_chars(value.data(), value.data() + value.size(), seconds).ec != std::errc() || seconds < 0)
        return kept_without_word;
    constexpr std::int64_t ms_per_percent_of_second = 10;
    return milliseconds(seconds * ms_per_percent_of_second * kept_part_percent);
}

} // namespace

void call_connection::start(std::string const& address, std::string call, call_listener& listener)
{
    m_listener = &listener;
    ++m_call;
    begin_answer();
    m_socket.out() = std::move(call);
    if (m_phase == phase::idle) {
        m_phase = phase::calling;
        if (!m_socket.flush())
            end_call(call_end::broken);
        return;
    }
    m_phase = phase::connecting;
    if (!m_socket.connect(address)) {
        // The caller of start() is told after it has returned.
        m_loop.at_end_of_round([self = weak_from_this()] {
            if (auto const alive = self.lock(); alive && alive->m_listener != nullptr)
                alive->end_call(call_end::not_sent);
        });
    }
}

void call_connection::begin_answer()
{
    m_rest.clear();
    m_parser.emplace();
    m_parser->eager(true);
    m_parser->body_limit(boost::none);
    m_parser->header_limit(most_header_bytes);
    m_has_head = false;
    m_is_skipping = false;
}

void call_connection::abandon()
{
    m_listener = nullptr;
    m_phase = phase::unconnected;
    m_socket.close();
}

void call_connection::on_ready(readiness ready)
{
    auto const self = shared_from_this();
    if (m_phase == phase::connecting) {
        if (!m_socket.has_connected())
            return end_call(call_end::not_sent);
        m_phase = phase::calling;
        if (!m_socket.flush())
            end_call(call_end::broken);
        return;
    }
    if (ready.is_writable && !m_socket.flush())
        return end_call(call_end::broken);
    if (!ready.is_readable && !ready.is_closed)
        return;
    auto const [bytes, end] = m_socket.read();
    if (m_phase != phase::calling) {
        // Nothing was asked: the server has closed, or sends what belongs to no call.
        m_phase = phase::unconnected;
        return m_socket.close();
    }
    if (!bytes.empty())
        return take_bytes(bytes);
    if (end != read_end::drained)
        take_end_of_input(end);
}

void call_connection::take_bytes(std::string_view bytes)
{
    std::string joined;
    if (!m_rest.empty()) {
        joined = std::move(m_rest);
        joined += bytes;
        bytes = joined;
        m_rest.clear();
    }
    auto const call = m_call;
    while (!bytes.empty()) {
        auto const used = parse_some(bytes);
        // The listener may have started another call already.
        if (m_phase != phase::calling || m_call != call)
            return;
        if (used == 0)
            break;
        bytes.remove_prefix(used);
    }
    m_rest = bytes;
}

std::size_t call_connection::parse_some(std::string_view bytes)
{
    boost::system::error_code failure;
    auto const used = m_parser->put(boost::asio::buffer(bytes.data(), bytes.size()), failure);
    if (failure && failure != http::error::need_more) {
        end_call(call_end::broken);
        return used;
    }
    if (!m_has_head && m_parser->is_header_done()) {
        handle_head();
        if (m_phase != phase::calling)
            return used;
    }
    auto& pieces = m_parser->get().body().pieces;
    if (!pieces.empty()) {
        if (!m_is_skipping)
            m_listener->on_data(pieces);
        if (m_phase != phase::calling)
            return used;
        pieces.clear();
    }
    if (m_parser->is_done())
        finish_answer(bytes.size() > used ? surplus::some : surplus::none);
    return used;
}

void call_connection::handle_head()
{
    m_has_head = true;
    switch (m_listener->on_head(m_parser->get().base())) {
    case head_choice::take:
        break;
    case head_choice::skip:
        m_is_skipping = true;
        break;
    case head_choice::refuse:
        if (m_listener != nullptr)
            end_call(call_end::broken);
        break;
    }
}

void call_connection::finish_answer(surplus after_it)
{
    if (m_is_skipping) {
        if (!can_be_kept())
            return end_call(call_end::broken);
        return begin_answer();
    }
    auto const kept = kept_time(field_of(m_parser->get().base(), "Keep-Alive"));
    // Bytes after the answer belong to no call.
    bool const is_kept = can_be_kept() && after_it == surplus::none;
    m_phase = is_kept ? phase::idle : phase::unconnected;
    if (!is_kept)
        m_socket.close();
    m_idle_since = m_loop.now();
    m_kept_until = m_idle_since + kept;
    auto* const listener = std::exchange(m_listener, nullptr);
    listener->on_call_end(call_end::complete);
}

// NOTE: An answer may come before the whole call was read. The rest of the body must then go nowhere, so the connection
// is closed instead of being kept.
bool call_connection::can_be_kept() const { return m_parser->keep_alive() && !m_socket.has_unwritten(); }

void call_connection::take_end_of_input(read_end end)
{
    if (end == read_end::closed && m_has_head && !m_is_skipping) {
        boost::system::error_code failure;
        m_parser->put_eof(failure);
        if (!failure && m_parser->is_done())
            return finish_answer(surplus::none);
    }
    end_call(call_end::broken);
}

void call_connection::end_call(call_end end)
{
    m_phase = phase::unconnected;
    m_socket.close();
    if (auto* const listener = std::exchange(m_listener, nullptr))
        listener->on_call_end(end);
}

} // namespace shedhill::relay
