// SPDX-License-Identifier: BSD-2-Clause
// Links to and from other routers.
#include "libraries/relay/peer_mesh.h"

#include <algorithm>

namespace shedhill::relay {

namespace {

constexpr milliseconds connect_limit { 700 };
// A peer that has so much unread gets no more until it has read: what it misses is out of date by then.
constexpr std::size_t most_unread = 256U << 10U;
constexpr std::size_t most_links = 1024;

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
    [[nodiscard]] bool is_up() const { return m_is_up; }
    [[nodiscard]] bool is_late(instant now) const { return !m_is_up && now - m_started_at > connect_limit; }

    void tell(std::string const& frame, traffic_kind kind)
    {
        if (!m_is_up || m_socket.unwritten_size() > most_unread)
            return;
        m_mesh.m_traffic.sent_of(kind).add(frame.size());
        m_socket.queue(frame);
        if (!m_socket.flush())
            lose();
    }

    void lose()
    {
        m_socket.close();
        m_mesh.m_directory.note_lost(m_address, m_mesh.m_loop.now(), m_mesh.m_draw);
        // The link may be on the stack: it goes at the end of the round.
        m_mesh.m_loop.at_end_of_round([&mesh = m_mesh, address = m_address, self = this] {
            auto const found = mesh.m_outgoing.find(address);
            if (found != mesh.m_outgoing.end() && found->second.get() == self)
                mesh.m_outgoing.erase(found);
        });
    }

private:
    void on_ready(readiness ready) override
    {
        if (!m_is_up) {
            if (!m_socket.has_connected())
                return lose();
            m_is_up = true;
            m_mesh.m_directory.note_connected(m_address);
            m_mesh.m_new.push_back(m_address);
            return;
        }
        if (ready.is_writable && !m_socket.flush())
            return lose();
        // Nothing is ever said in this direction: what is readable is the end.
        if ((ready.is_readable || ready.is_closed) && m_socket.read().end != read_end::drained)
            lose();
    }

    peer_mesh& m_mesh;
    std::string m_address;
    socket m_socket;
    instant m_started_at;
    bool m_is_up { false };
};

class peer_mesh::incoming_link final : public io_handler {
public:
    incoming_link(peer_mesh& mesh, std::uint64_t number)
        : m_mesh(mesh)
        , m_number(number)
        , m_socket(mesh.m_loop, *this)
    {
    }

    void open(int descriptor) { m_socket.adopt(descriptor); }

private:
    void on_ready(readiness) override
    {
        auto const [bytes, end] = m_socket.read();
        if (end != read_end::drained)
            return lose();
        m_in += bytes;
        std::size_t used = 0;
        auto rest = std::string_view(m_in);
        for (auto size = peering::frame_size(rest); size && rest.size() >= *size; size = peering::frame_size(rest)) {
            // What a router of another version says may not be known here; the next message may be.
            if (auto message
                = peering::decode_body(rest.substr(peering::frame_head_size, *size - peering::frame_head_size))) {
                m_mesh.m_traffic.received_of(kind_of(*message)).add(*size);
                m_mesh.m_on_message(std::move(*message));
            } else {
                ++m_mesh.m_skipped;
            }
            used += *size;
            rest.remove_prefix(*size);
        }
        m_in.erase(0, used);
        if (m_in.empty())
            release(m_in);
        if (m_in.size() > peering::most_frame_size)
            lose();
    }

    void lose()
    {
        m_socket.close();
        m_mesh.m_loop.at_end_of_round([&mesh = m_mesh, number = m_number] { mesh.m_incoming.erase(number); });
    }

    peer_mesh& m_mesh;
    std::uint64_t m_number;
    socket m_socket;
    std::string m_in;
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
    // Port 0 lets the system choose; the others are told the real one.
    if (own_address().ends_with(":0"))
        m_directory.set_own_address(
            own_address().substr(0, own_address().size() - 1) + std::to_string(m_listener.port()));
    return {};
}

void peer_mesh::accept(int descriptor)
{
    auto const number = ++m_last_number;
    auto const made = std::make_shared<incoming_link>(*this, number);
    made->open(descriptor);
    if (m_incoming.size() < most_links)
        m_incoming.emplace(number, made);
}

void peer_mesh::tick(std::uint64_t draw)
{
    m_draw = draw;
    auto const now = m_loop.now();
    for (auto const& [address, link] : m_outgoing) {
        if (link->is_late(now))
            link->lose();
    }
    for (auto const& address : m_directory.take_needless(now))
        m_outgoing.erase(address);
    for (auto const& address : m_directory.take_due(now)) {
        auto const made = std::make_shared<outgoing_link>(*this, address);
        m_outgoing.insert_or_assign(address, made);
        if (!made->open())
            made->lose();
    }
}

void peer_mesh::tell_routers(std::string const& frame, traffic_kind kind)
{
    for (auto const& [address, link] : m_outgoing) {
        if (m_directory.is_told_singly(address))
            link->tell(frame, kind);
    }
}

void peer_mesh::tell_domains(std::string const& frame)
{
    for (auto const& [address, link] : m_outgoing) {
        if (!m_directory.is_told_singly(address))
            link->tell(frame, traffic_kind::domain_sums);
    }
}

bool peer_mesh::is_linked_to_domains() const
{
    return std::ranges::any_of(m_outgoing,
        [this](auto const& entry) { return entry.second->is_up() && !m_directory.is_told_singly(entry.first); });
}

std::vector<std::string> peer_mesh::linked_routers() const
{
    std::vector<std::string> linked;
    for (auto const& [address, link] : m_outgoing) {
        if (link->is_up() && m_directory.is_told_singly(address))
            linked.push_back(address);
    }
    std::ranges::sort(linked);
    return linked;
}

void peer_mesh::tell(std::string const& address, std::string const& frame, traffic_kind kind)
{
    if (auto const found = m_outgoing.find(address); found != m_outgoing.end())
        found->second->tell(frame, kind);
}

} // namespace shedhill::relay
