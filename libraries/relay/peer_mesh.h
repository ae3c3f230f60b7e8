// SPDX-License-Identifier: BSD-2-Clause
// Connections between routers. Each router speaks over the connections that it opened and listens on those that others
// opened to it, so that two routers have two, and neither has to be told apart from the other.
#pragma once

#include "libraries/peering/peer_directory.h"
#include "libraries/peering/peer_message.h"
#include "libraries/relay/peer_traffic.h"
#include "libraries/relay/socket.h"

#include <functional>
#include <memory>
#include <unordered_map>
#include <utility>
#include <vector>

namespace shedhill::relay {

class peer_mesh {
public:
    using message_function = std::function<void(peering::peer_message message)>;

    peer_mesh(event_loop& loop, peering::peer_directory directory, message_function on_message);
    ~peer_mesh();
    peer_mesh(peer_mesh const&) = delete;
    peer_mesh& operator=(peer_mesh const&) = delete;

    result<void> open();
    void tick(std::uint64_t draw);

    // To the routers that are connected and are told what each does by itself, or to those of other failure domains,
    // which are told sums; those that do not read fast enough are left out.
    void tell_routers(std::string const& frame, traffic_kind kind);
    void tell_domains(std::string const& frame);
    [[nodiscard]] bool is_linked_to_domains() const;
    // Those that are connected and told what each does by itself, in the order of their addresses.
    [[nodiscard]] std::vector<std::string> linked_routers() const;
    void tell(std::string const& address, std::string const& frame, traffic_kind kind);
    // Routers that were connected since the last call: they may know nothing yet.
    [[nodiscard]] std::vector<std::string> take_new() { return std::exchange(m_new, {}); }

    [[nodiscard]] peer_traffic const& traffic() const { return m_traffic; }
    // Messages that could not be read since the last call.
    [[nodiscard]] std::uint64_t take_skipped() { return std::exchange(m_skipped, 0); }

    [[nodiscard]] peering::peer_directory& directory() { return m_directory; }
    [[nodiscard]] std::string const& own_address() const { return m_directory.self().address; }
    [[nodiscard]] std::uint16_t port() const { return m_listener.port(); }
    // Routers that are connected or being connected to.
    [[nodiscard]] std::size_t listeners() const { return m_outgoing.size(); }

private:
    class outgoing_link;
    class incoming_link;

    void accept(int descriptor);

    event_loop& m_loop;
    message_function m_on_message;
    peering::peer_directory m_directory;
    listener_socket m_listener;
    std::uint64_t m_last_number { 0 };
    std::uint64_t m_draw { 0 };
    std::uint64_t m_skipped { 0 };
    peer_traffic m_traffic;
    std::vector<std::string> m_new;
    std::unordered_map<std::string, std::shared_ptr<outgoing_link>> m_outgoing;
    std::unordered_map<std::uint64_t, std::shared_ptr<incoming_link>> m_incoming;
};

} // namespace shedhill::relay
