// SPDX-License-Identifier: BSD-2-Clause
// A caller of a soak run. It keeps its connection open and uses it until the router's process has ended, and then
// connects to a randomly chosen router.
#pragma once

#include "base/random_generator.h"
#include "tests/harness/hosted_fleet.h"
#include "tests/soak/soak_record.h"

#include <boost/beast/core/tcp_stream.hpp>
#include <memory>
#include <optional>

namespace shedhill::soak {

class soak_caller {
public:
    soak_caller(harness::hosted_fleet& fleet, soak_record& record, std::string name, std::uint64_t seed);

    // Sends one request after another until is_over becomes true.
    void run(bool const& is_over);

private:
    // Connects to a random router. Returns false if the router is not running or does not accept the connection.
    bool connect();
    // Sends one request of a random form, or one that resumes the last stream if that broke off, and records it.
    void send_request();
    // Sends the request, reads the answer and fills in its outcome.
    void exchange(caller_request& request);

    harness::hosted_fleet& m_fleet;
    soak_record& m_record;
    std::string m_name;
    random_generator m_draw;
    std::uint64_t m_sent_requests { 0 };
    // The last request if it brought a part of a stream that can be resumed.
    std::optional<caller_request> m_broken_stream;
    std::size_t m_router { 0 };
    std::unique_ptr<boost::beast::tcp_stream> m_stream;
};

} // namespace shedhill::soak
