// SPDX-License-Identifier: BSD-2-Clause
// Connections between routers. Each router sends on the connections that it opened and receives on those that others
// opened to it. Two routers thus have two connections, and neither has to find out which of them to use.
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

    // Listens at the directory's own address. If its port is 0, the address gets the port that the system assigned.
    result<void> open();
    // Opens and closes connections as the directory demands; `draw` is a random number for the back-off.
    void tick(std::uint64_t draw);

    // Send a frame to all connected routers that receive this router's own reports, or to those of other failure
    // domains, which receive domain sums. Routers that do not read fast enough are skipped.
    void send_to_routers(std::string const& frame, traffic_kind kind);
    void send_to_domains(std::string const& frame);
    [[nodiscard]] bool is_connected_to_domains() const;
    // Returns the connected routers that receive this router's own reports, sorted by address.
    [[nodiscard]] std::vector<std::string> connected_routers() const;
    void send_to(std::string const& address, std::string const& frame, traffic_kind kind);
    // Returns the routers to which a connection was established since the last call. They have received
    // no report from this router over that connection yet.
    [[nodiscard]] std::vector<std::string> take_newly_connected() { return std::exchange(m_newly_connected, {}); }

    // Returns whether a message that is too large for one read is arriving, of which a part was received recently.
    [[nodiscard]] bool is_receiving_document(instant now) const;

    [[nodiscard]] peer_traffic const& traffic() const { return m_traffic; }
    // Returns the number of received messages since the last call that could not be decoded.
    [[nodiscard]] std::uint64_t take_skipped() { return std::exchange(m_skipped, 0); }

    [[nodiscard]] peering::peer_directory& directory() { return m_directory; }
    [[nodiscard]] std::string const& own_address() const { return m_directory.self().address; }
    [[nodiscard]] std::uint16_t port() const { return m_listener.port(); }
    // Returns the number of outgoing connections, including those still being established.
    [[nodiscard]] std::size_t link_count() const { return m_outgoing.size(); }

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
    std::vector<std::string> m_newly_connected;
    std::unordered_map<std::string, std::shared_ptr<outgoing_link>> m_outgoing;
    std::unordered_map<std::uint64_t, std::shared_ptr<incoming_link>> m_incoming;
};

} // namespace shedhill::relay
