// SPDX-License-Identifier: BSD-2-Clause
// A caller that keeps its connection open and goes on using it until the router's process is gone, then goes to
// another router.
#pragma once

#include "base/random_generator.h"
#include "tests/harness/hosted_fleet.h"
#include "tests/soak/soak_record.h"

#include <boost/beast/core/tcp_stream.hpp>
#include <memory>

namespace shedhill::soak {

class soak_caller {
public:
    soak_caller(harness::hosted_fleet& fleet, soak_record& record, std::string name, std::uint64_t seed);

    // Asks one request after another until told to end.
    void run(bool const& is_over);

private:
    bool connect();
    void ask_once();
    // Sends the request and takes the answer in; fills how it ended.
    void exchange(caller_request& asked);

    harness::hosted_fleet& m_fleet;
    soak_record& m_record;
    std::string m_name;
    random_generator m_draw;
    std::uint64_t m_asked { 0 };
    std::size_t m_router { 0 };
    std::unique_ptr<boost::beast::tcp_stream> m_stream;
};

} // namespace shedhill::soak
