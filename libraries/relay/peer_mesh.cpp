// SPDX-License-Identifier: BSD-2-Clause
// Implements the outgoing and incoming connections of a router.
#include "libraries/relay/peer_mesh.h"

#include <algorithm>

namespace shedhill::relay {

namespace {

constexpr milliseconds connect_timeout { 700 };
// A peer with more unwritten bytes than this gets no further messages until it has read. The skipped messages would be
// out of date by then.
constexpr std::size_t max_unwritten_bytes = 256U << 10U;
constexpr std::size_t max_incoming_links = 1024;
// A message of which nothing was received for this time may never arrive.
constexpr milliseconds max_receiving_pause { 900 };

} // namespace

class peer_mesh::outgoing_link final : public io_handler {
public:
    outgoing_link(peer_mesh& mesh, std::string address)
        : m_mesh(mesh)
        , m_address(std::move(address))
        , m_socket(mesh.m_loop, *this)
        , m_started_at(mesh.m_loop.now())
    {
    }

    [[nodiscard]] bool open() { return m_socket.connect(m_address); }
    [[nodiscard]] bool is_connected() const { return m_is_connected; }
    [[nodiscard]] bool has_timed_out(instant now) const
    {
        return !m_is_connected && now - m_started_at > connect_timeout;
    }

    void send(std::string const& frame, traffic_kind kind)
    {
        if (!m_is_connected || m_socket.unwritten_size() > max_unwritten_bytes)
            return;
        m_mesh.m_traffic.sent_of(kind).add(frame.size());
        m_socket.queue(frame);
        if (!m_socket.flush())
            disconnect();
    }

    void disconnect()
    {
        m_socket.close();
        m_mesh.m_directory.record_disconnected(m_address, m_mesh.m_loop.now(), m_mesh.m_draw);
        // The link may be on the call stack, so it is destroyed at the end of the round.
        m_mesh.m_loop.at_end_of_round([&mesh = m_mesh, address = m_address, self = this] {
            auto const found = mesh.m_outgoing.find(address);
            if (found != mesh.m_outgoing.end() && found->second.get() == self)
                mesh.m_outgoing.erase(found);
        });
    }

private:
    void on_ready(readiness ready) override
    {
        if (!m_is_connected) {
            if (!m_socket.finish_connect())
                return disconnect();
            m_is_connected = true;
            m_mesh.m_directory.record_connected(m_address);
            m_mesh.m_newly_connected.push_back(m_address);
            return;
        }
        if (ready.is_writable && !m_socket.flush())
            return disconnect();
        // The other router never sends on this connection, so a readable socket means that it was closed.
        if ((ready.is_readable || ready.is_closed) && m_socket.read().end != read_end::drained)
            disconnect();
    }

    peer_mesh& m_mesh;
    std::string m_address;
    socket m_socket;
    instant m_started_at;
    bool m_is_connected { false };
};

class peer_mesh::incoming_link final : public io_handler {
public:
    incoming_link(peer_mesh& mesh, std::uint64_t number)
        : m_mesh(mesh)
        , m_number(number)
        , m_socket(mesh.m_loop, *this)
        , m_buffered(mesh.m_loop.buffered(), buffer_place::routers)
    {
    }

    void open(int descriptor) { m_socket.adopt(descriptor); }
    [[nodiscard]] bool is_receiving_document(instant now) const
    {
        auto const size = peering::frame_size(m_input);
        return size && *size > event_loop::read_buffer_size && now - m_received_at < max_receiving_pause;
    }

private:
    void on_ready(readiness) override
    {
        auto const [bytes, end] = m_socket.read();
        if (end != read_end::drained)
            return disconnect();
        m_received_at = m_mesh.m_loop.now();
        m_input += bytes;
        std::size_t used = 0;
        auto rest = std::string_view(m_input);
        for (auto size = peering::frame_size(rest); size && rest.size() >= *size; size = peering::frame_size(rest)) {
            // A router of another version may send some messages that this one cannot decode; they are skipped.
            if (auto message
                = peering::decode_body(rest.substr(peering::frame_header_size, *size - peering::frame_header_size))) {
                m_mesh.m_traffic.received_of(kind_of(*message)).add(*size);
                m_mesh.m_on_message(std::move(*message));
            } else {
                ++m_mesh.m_skipped;
            }
            used += *size;
            rest.remove_prefix(*size);
        }
        m_input.erase(0, used);
        if (m_input.empty())
            clear_buffer(m_input);
        m_buffered.set(m_input.size());
        // Reports and documents are sent again, so a large message gives way to requests.
        bool const is_large = m_input.size() > event_loop::read_buffer_size;
        if (m_input.size() > peering::max_frame_size || (is_large && m_mesh.m_loop.buffered().is_over_limit()))
            disconnect();
    }

    void disconnect()
    {
        m_socket.close();
        m_input.clear();
        m_buffered.set(0);
        m_mesh.m_loop.at_end_of_round([&mesh = m_mesh, number = m_number] { mesh.m_incoming.erase(number); });
    }

    peer_mesh& m_mesh;
    std::uint64_t m_number;
    socket m_socket;
    std::string m_input;
    buffered_bytes m_buffered;
    instant m_received_at {};
};

peer_mesh::peer_mesh(event_loop& loop, peering::peer_directory directory, message_function on_message)
    : m_loop(loop)
    , m_on_message(std::move(on_message))
    , m_directory(std::move(directory))
    , m_listener(loop, [this](int descriptor) { accept(descriptor); })
{
}

peer_mesh::~peer_mesh() = default;

result<void> peer_mesh::open()
{
    TRY_VOID(m_listener.open(own_address()));
    // With port 0 the system chooses the port, which other routers need to know.
    if (own_address().ends_with(":0"))
        m_directory.set_own_address(
            own_address().substr(0, own_address().size() - 1) + std::to_string(m_listener.port()));
    return {};
}

void peer_mesh::accept(int descriptor)
{
    auto const number = ++m_last_number;
    auto const link = std::make_shared<incoming_link>(*this, number);
    link->open(descriptor);
    if (m_incoming.size() < max_incoming_links)
        m_incoming.emplace(number, link);
}

void peer_mesh::tick(std::uint64_t draw)
{
    m_draw = draw;
    auto const now = m_loop.now();
    for (auto const& [address, link] : m_outgoing) {
        if (link->has_timed_out(now))
            link->disconnect();
    }
    for (auto const& address : m_directory.take_unneeded(now))
        m_outgoing.erase(address);
    for (auto const& address : m_directory.take_due(now)) {
        auto const link = std::make_shared<outgoing_link>(*this, address);
        m_outgoing.insert_or_assign(address, link);
        if (!link->open())
            link->disconnect();
    }
}

void peer_mesh::send_to_routers(std::string const& frame, traffic_kind kind)
{
    for (auto const& [address, link] : m_outgoing) {
        if (m_directory.receives_own_reports(address))
            link->send(frame, kind);
    }
}

void peer_mesh::send_to_domains(std::string const& frame)
{
    for (auto const& [address, link] : m_outgoing) {
        if (!m_directory.receives_own_reports(address))
            link->send(frame, traffic_kind::domain_sums);
    }
}

bool peer_mesh::is_connected_to_domains() const
{
    return std::ranges::any_of(m_outgoing, [this](auto const& entry) {
        return entry.second->is_connected() && !m_directory.receives_own_reports(entry.first);
    });
}

std::vector<std::string> peer_mesh::connected_routers() const
{
    std::vector<std::string> addresses;
    for (auto const& [address, link] : m_outgoing) {
        if (link->is_connected() && m_directory.receives_own_reports(address))
            addresses.push_back(address);
    }
    std::ranges::sort(addresses);
    return addresses;
}

bool peer_mesh::is_receiving_document(instant now) const
{
    return std::ranges::any_of(
        m_incoming, [now](auto const& entry) { return entry.second->is_receiving_document(now); });
}

void peer_mesh::send_to(std::string const& address, std::string const& frame, traffic_kind kind)
{
    if (auto const found = m_outgoing.find(address); found != m_outgoing.end())
        found->second->send(frame, kind);
}

} // namespace shedhill::relay
