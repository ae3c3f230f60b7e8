// SPDX-License-Identifier: BSD-2-Clause
// Parses addresses and opens listening sockets.
#include "libraries/net/address.h"

#include "libraries/net/fiber_scheduler.h"

#include <charconv>

namespace shedhill::net {

namespace asio = boost::asio;
using asio::ip::tcp;

result<tcp::endpoint> parse_address(std::string const& address)
{
    auto const colon = address.rfind(':');
    if (colon == std::string::npos)
        return fail("parse address", address, "the address must have the form IP:PORT");
    boost::system::error_code failure;
    auto const host = asio::ip::make_address(address.substr(0, colon), failure);
    std::uint16_t port = 0;
    auto const* end = address.data() + address.size();
    auto const [stop, problem] = std::from_chars(address.data() + colon + 1, end, port);
    if (failure || problem != std::errc() || stop != end)
        return fail("parse address", address, "the address must consist of an IP address and a port number");
    return tcp::endpoint(host, port);
}

result<tcp::acceptor> open_acceptor(std::string const& address)
{
    auto const target = TRY(parse_address(address));
    tcp::acceptor acceptor(process_io_context());
    boost::system::error_code failure;
    acceptor.open(target.protocol(), failure);
    acceptor.set_option(tcp::acceptor::reuse_address(true), failure);
    acceptor.bind(target, failure);
    if (!failure)
        acceptor.listen(asio::socket_base::max_listen_connections, failure);
    if (failure)
        return fail("listen", address, failure.message());
    return acceptor;
}

} // namespace shedhill::net
