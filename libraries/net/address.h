// SPDX-License-Identifier: BSD-2-Clause
// Addresses in the form used by settings and the platform's VM list: an IP address, a colon and a port number.
#pragma once

#include "base/error.h"

#include <boost/asio/ip/tcp.hpp>
#include <string>

namespace shedhill::net {

// Parses an address of the form IP:PORT. Host names are not resolved.
result<boost::asio::ip::tcp::endpoint> parse_address(std::string const& address);

// Opens a listening socket. With port 0 the system assigns a free port.
result<boost::asio::ip::tcp::acceptor> open_acceptor(std::string const& address);

} // namespace shedhill::net
