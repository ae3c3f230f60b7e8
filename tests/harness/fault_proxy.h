// SPDX-License-Identifier: BSD-2-Clause
// A loopback proxy for TCP that misbehaves on demand, so that faults of links come from outside the programs under
// test. Bytes that a cut holds up arrive once it heals, as on a real network.
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
    // Each piece is held for the delay.
    delayed,
    // Connections are reset, those that are open and those that come.
    reset,
    // What the opener of a connection sends does not arrive.
    cut_onward,
    // What the accepting side answers does not arrive.
    cut_back,
    // Nothing arrives on either side.
    silent,
};

class fault_proxy {
public:
    // Listens on a port of the system's choice.
    static result<std::unique_ptr<fault_proxy>> open(std::string const& target);
    ~fault_proxy();
    fault_proxy(fault_proxy const&) = delete;
    fault_proxy& operator=(fault_proxy const&) = delete;

    [[nodiscard]] std::string address() const;
    // Where new connections go from now on.
    void set_target(std::string const& target);
    void set_fault(link_fault fault, std::chrono::milliseconds delay = {});
    void reset_connections();
    // Refuses new connections, as a machine does on which nothing listens, or takes them again at the same address.
    void refuse_connections();
    result<void> take_connections();
    // Nothing arrives any more on the connections that are open; new ones work.
    void silence_connections();

private:
    struct shared_state;
    struct connection;

    explicit fault_proxy(boost::asio::ip::tcp::acceptor acceptor, std::string target);
    void accept_next();
    static void serve(std::shared_ptr<shared_state> const& state, boost::asio::ip::tcp::socket opener);
    static void start_pump(std::shared_ptr<connection> const& made, bool is_onward);

    std::shared_ptr<boost::asio::ip::tcp::acceptor> m_acceptor;
    // As it was when it last listened.
    std::string m_address;
    std::shared_ptr<shared_state> m_state;
};

} // namespace shedhill::harness
