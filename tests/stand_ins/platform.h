// SPDX-License-Identifier: BSD-2-Clause
// A stand-in for the platform: a table with compare-and-set transactions, an object store, a list of VMs, and faults on
// demand.
#pragma once

#include "libraries/net/http.h"

#include <boost/json.hpp>
#include <chrono>
#include <map>
#include <string>

namespace shedhill::stand_ins {

class platform {
public:
    // Serves POST /v1/read, /v1/range, /v1/transaction, /v1/vms; GET and PUT /v1/objects/NAME;
    // POST /control {"down": bool, "lose_answers": N, "delay_ms": N, "vms": [...]}; GET /counts.
    void serve(net::http_exchange& exchange);

private:
    struct row {
        std::string value;
        std::uint64_t version { 0 };
    };

    void control(boost::json::object const& body);
    [[nodiscard]] boost::json::value read(boost::json::object const& body) const;
    [[nodiscard]] boost::json::value range(boost::json::object const& body) const;
    [[nodiscard]] boost::json::value transact(boost::json::object const& body);
    void serve_object(net::http_exchange& exchange);

    std::map<std::string, row> m_rows;
    std::map<std::string, std::string> m_objects;
    boost::json::array m_vms;
    std::uint64_t m_vms_version { 1 };
    std::uint64_t m_last_version { 0 };
    std::uint64_t m_reads { 0 };
    std::uint64_t m_writes { 0 };
    bool m_is_down { false };
    // Number of further transactions that take effect but are not answered.
    std::int64_t m_lost_answers { 0 };
    std::chrono::milliseconds m_delay { 0 };
};

} // namespace shedhill::stand_ins
