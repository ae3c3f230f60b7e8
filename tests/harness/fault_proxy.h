// SPDX-License-Identifier: BSD-2-Clause
// A TCP proxy on loopback that injects link faults from outside the programs under test. Bytes that a cut delays arrive
// once the cut ends, as on a real network.
#pragma once

#include "base/error.h"

#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <memory>
#include <string>
#include <vector>

namespace shedhill::harness {

enum class link_fault {
    none,
    // Each chunk of data is delayed.
    delayed,
    // Open connections and new ones are reset.
    reset,
    // Data from the client does not reach the target.
    cut_to_target,
    // Data from the target does not reach the client.
    cut_from_target,
    // No data arrives in either direction.
    silent,
};

class fault_proxy {
public:
    // Listens on a port that the operating system selects.
    static result<std::unique_ptr<fault_proxy>> open(std::string const& target);
    ~fault_proxy();
    fault_proxy(fault_proxy const&) = delete;
    fault_proxy& operator=(fault_proxy const&) = delete;

    [[nodiscard]] std::string address() const;
    // Sets the address that new connections are relayed to.
    void set_target(std::string const& target);
    void set_fault(link_fault fault, std::chrono::milliseconds delay = {});
    void reset_connections();
    // Closes the port, so that the operating system refuses new connections.
    void refuse_connections();
    // Listens again at the same address.
    result<void> accept_connections();
    // Stops relaying data on the connections that are open. New connections work.
    void silence_connections();

private:
    struct shared_state;
    struct connection;

    explicit fault_proxy(boost::asio::ip::tcp::acceptor acceptor, std::string target);
    void accept_next();
    static void serve(std::shared_ptr<shared_state> const& state, boost::asio::ip::tcp::socket client);
    static void start_relay(std::shared_ptr<connection> const& shared_connection, bool is_to_target);

    std::shared_ptr<boost::asio::ip::tcp::acceptor> m_acceptor;
    // Stays the same while the port is closed.
    std::string m_address;
    std::shared_ptr<shared_state> m_state;
};

} // namespace shedhill::harness
