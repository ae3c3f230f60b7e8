// SPDX-License-Identifier: BSD-2-Clause
// Addresses as settings and the platform's list write them: an IP number and a port.
#pragma once

#include "base/error.h"

#include <boost/asio/ip/tcp.hpp>
#include <string>

namespace shedhill::net {

result<boost::asio::ip::tcp::endpoint> parse_address(std::string const& address);

// Listens at the address. Port 0 lets the system choose one.
result<boost::asio::ip::tcp::acceptor> open_acceptor(std::string const& address);

} // namespace shedhill::net
