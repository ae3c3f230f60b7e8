// SPDX-License-Identifier: BSD-2-Clause
// Implements sockets with POSIX system calls.
#include "libraries/relay/socket.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cerrno>
#include <charconv>
#include <cstring>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <optional>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

namespace shedhill::relay {

namespace {

constexpr int accept_backlog = 512;
// Written bytes are removed from the front of the buffer once there are more than this.
constexpr std::size_t compaction_threshold = 65536;

std::optional<sockaddr_in> to_system_address(std::string const& address)
{
    auto const colon = address.rfind(':');
    if (colon == std::string::npos)
        return std::nullopt;
    sockaddr_in system_address {};
    system_address.sin_family = AF_INET;
    std::uint16_t port = 0;
    auto const* const last = address.data() + address.size();
    if (std::from_chars(address.data() + colon + 1, last, port).ptr != last)
        return std::nullopt;
    system_address.sin_port = htons(port);
    if (inet_pton(AF_INET, address.substr(0, colon).c_str(), &system_address.sin_addr) != 1)
        return std::nullopt;
    return system_address;
}

template <typename Value>
void set_option(int descriptor, int level, int name, Value value)
{
    setsockopt(descriptor, level, name, &value, sizeof(value));
}

void set_common_options(int descriptor, milliseconds max_stalled_time)
{
    set_option(descriptor, IPPROTO_TCP, TCP_NODELAY, 1);
    set_option(descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT, static_cast<unsigned>(max_stalled_time.count()));
}

sockaddr* as_generic(sockaddr_in& address)
{
    return reinterpret_cast<sockaddr*>(&address); // NOLINT: the POSIX socket interface requires this cast
}

} // namespace

bool socket::connect(std::string const& address)
{
    auto target = to_system_address(address);
    if (!target)
        return false;
    auto const descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (descriptor < 0)
        return false;
    set_common_options(descriptor, max_unacknowledged_time);
    if (::connect(descriptor, as_generic(*target), sizeof(*target)) != 0 && errno != EINPROGRESS) {
        m_was_refused = errno == ECONNREFUSED;
        ::close(descriptor);
        return false;
    }
    m_descriptor = descriptor;
    m_is_connecting = true;
    m_is_reading = true;
    m_reports_close = true;
    m_is_blocked = false;
    m_interest = interest::writing | interest::closing;
    m_watch = m_loop.watch(descriptor, m_handler, m_interest);
    return true;
}

void socket::adopt(int descriptor, milliseconds max_stalled_time)
{
    set_common_options(descriptor, max_stalled_time);
    m_descriptor = descriptor;
    m_interest = interest::reading | interest::closing;
    m_watch = m_loop.watch(descriptor, m_handler, m_interest);
}

bool socket::finish_connect()
{
    int failure = 0;
    socklen_t size = sizeof(failure);
    if (getsockopt(m_descriptor, SOL_SOCKET, SO_ERROR, &failure, &size) != 0 || failure != 0) {
        m_was_refused = failure == ECONNREFUSED;
        return false;
    }
    m_is_connecting = false;
    update_interest();
    return true;
}

read_outcome socket::read()
{
    auto& buffer = m_loop.read_buffer();
    auto const count = ::recv(m_descriptor, buffer.data(), buffer.size(), 0);
    m_loop.link().record_received(static_cast<std::size_t>(std::max<ssize_t>(count, 0)));
    if (count > 0)
        return { std::string_view(buffer.data(), static_cast<std::size_t>(count)), read_end::drained };
    if (count == 0)
        return { {}, read_end::closed };
    bool const would_block = errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR;
    return { {}, would_block ? read_end::drained : read_end::failed };
}

bool socket::has_input() const
{
    char next = 0;
    auto const count = ::recv(m_descriptor, &next, sizeof(next), MSG_PEEK | MSG_DONTWAIT);
    return count >= 0 || (errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR);
}

milliseconds socket::time_since_receipt(milliseconds max_time) const
{
    tcp_info info {};
    socklen_t size = sizeof(info);
    // The loop has sent nothing for max_time, so the last bytes were sent longer ago than 0 ms where the system keeps
    // these times.
    bool const is_told
        = getsockopt(m_descriptor, IPPROTO_TCP, TCP_INFO, &info, &size) == 0 && info.tcpi_last_data_sent != 0;
    if (!is_told)
        return max_time / 2;
    return std::min(milliseconds(info.tcpi_last_data_recv), max_time);
}

bool socket::is_peer_silent() const
{
    tcp_info info {};
    socklen_t size = sizeof(info);
    if (!is_open() || getsockopt(m_descriptor, IPPROTO_TCP, TCP_INFO, &info, &size) != 0)
        return false;
    // The system counts what it has sent again without an acknowledgement, and its probes of a closed window. One of
    // either may be under way to a peer that is alive.
    bool const awaits_acknowledgement = info.tcpi_retransmits > 1 || info.tcpi_probes > 1;
    return awaits_acknowledgement && milliseconds(info.tcpi_last_ack_recv) > max_unacknowledged_time;
}

bool socket::flush()
{
    while (has_unwritten()) {
        auto const count
            = ::send(m_descriptor, m_out.data() + m_written, m_out.size() - m_written, MSG_NOSIGNAL | MSG_DONTWAIT);
        if (count < 0) {
            if (errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR)
                return false;
            if (!std::exchange(m_is_blocked, true))
                m_blocked_since = m_loop.now();
            update_interest();
            if (m_written > compaction_threshold) {
                m_out.erase(0, m_written);
                m_written = 0;
            }
            m_buffered.set(unwritten_size());
            return true;
        }
        m_written += static_cast<std::size_t>(count);
        m_written_at = m_loop.now();
        m_blocked_since = m_written_at;
        m_loop.link().record_sent(static_cast<std::size_t>(count));
    }
    clear_buffer(m_out);
    m_written = 0;
    if (m_buffered.size() != 0)
        m_buffered.set(0);
    if (m_is_blocked) {
        m_is_blocked = false;
        update_interest();
    }
    return true;
}

void socket::set_reading(bool is_reading)
{
    m_is_reading = is_reading;
    m_reports_close = true;
    update_interest();
}

void socket::pause_reading()
{
    m_is_reading = false;
    m_reports_close = false;
    update_interest();
}

void socket::shut_down_writing()
{
    if (is_open())
        ::shutdown(m_descriptor, SHUT_WR);
}

void socket::update_interest()
{
    if (!is_open())
        return;
    auto wanted = m_reports_close ? interest::closing : interest::nothing;
    if (m_is_connecting || m_is_blocked)
        wanted = wanted | interest::writing;
    if (m_is_reading && !m_is_connecting)
        wanted = wanted | interest::reading;
    if (wanted == m_interest)
        return;
    m_interest = wanted;
    m_loop.change_interest(m_watch, m_descriptor, wanted);
}

void socket::close()
{
    if (!is_open())
        return;
    m_loop.unwatch(m_watch, m_descriptor);
    ::close(m_descriptor);
    m_descriptor = -1;
    clear_buffer(m_out);
    m_written = 0;
    m_buffered.set(0);
}

void socket::reset()
{
    if (!is_open())
        return;
    set_reset_on_close(true);
    close();
}

void socket::set_reset_on_close(bool is_reset)
{
    if (is_open())
        set_option(m_descriptor, SOL_SOCKET, SO_LINGER, linger { is_reset ? 1 : 0, 0 });
}

result<void> listener_socket::open(std::string const& address)
{
    auto target = to_system_address(address);
    if (!target)
        return fail("listen", address, "is not an IPv4 address and a port");
    m_descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (m_descriptor < 0)
        return fail("listen", address, std::strerror(errno));
    set_option(m_descriptor, SOL_SOCKET, SO_REUSEADDR, 1);
    if (::bind(m_descriptor, as_generic(*target), sizeof(*target)) != 0
        || ::listen(m_descriptor, accept_backlog) != 0) {
        auto const reason = std::string(std::strerror(errno));
        ::close(m_descriptor);
        m_descriptor = -1;
        return fail("listen", address, reason);
    }
    m_watch = m_loop.watch(m_descriptor, *this, interest::reading);
    return {};
}

std::uint16_t listener_socket::port() const
{
    if (m_descriptor < 0)
        return 0;
    sockaddr_in bound {};
    socklen_t size = sizeof(bound);
    getsockname(m_descriptor, as_generic(bound), &size);
    return ntohs(bound.sin_port);
}

void listener_socket::close()
{
    if (m_descriptor < 0)
        return;
    m_loop.unwatch(m_watch, m_descriptor);
    ::close(m_descriptor);
    m_descriptor = -1;
}

void listener_socket::on_ready(readiness)
{
    constexpr int max_accepts_per_event = 16;
    // Connections that the last round left waiting are accepted in this one.
    auto const round_before = m_loop.now() - m_loop.max_unread_time();
    if (std::exchange(m_has_accepted_all, false) || m_accepted_at < round_before)
        m_waiting_since = round_before;
    m_accepted_at = m_loop.now();
    for (int accepted = 0; accepted < max_accepts_per_event; ++accepted) {
        auto const descriptor = accept4(m_descriptor, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (descriptor < 0) {
            m_has_accepted_all = true;
            return;
        }
        m_on_accept(descriptor);
    }
}

} // namespace shedhill::relay
