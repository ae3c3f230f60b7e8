// SPDX-License-Identifier: BSD-2-Clause
// Attempts that broke off, until it is known whether their endpoint crashed. Connections break for many reasons; that
// an endpoint has ended shows by its port, which refuses the next connection.
#pragma once

#include "libraries/dispatch/suspects/crash_record.h"

#include <string>
#include <unordered_map>
#include <vector>

namespace shedhill::dispatch {

enum class probe_outcome {
    // Nothing listens at the address.
    refused,
    // A connection came up.
    accepted,
    // Neither, in the time allowed.
    no_answer,
};

struct broken_attempt {
    request_identity request;
    // As it was sent.
    crash_stamp stamp;
    instant at {};
};

// Where attempts broke off.
struct broken_endpoint {
    endpoint_name name;
    endpoint_key start;
    std::string address;
};

class crash_evidence {
public:
    void add(broken_endpoint const& endpoint, broken_attempt const& broken);
    [[nodiscard]] bool is_empty() const { return m_endpoints.empty(); }

    // The crashes that the request would have if each endpoint at which it broke off had ended.
    [[nodiscard]] std::uint8_t presumed_crashes(request_identity const& request, std::uint16_t epoch) const;
    // The request was answered, or is no longer known.
    void forget(request_identity const& request);

    struct due_probe {
        broken_endpoint endpoint;
        // Of the last attempt that broke off there.
        instant broken_at {};
    };
    // Endpoints that are to be probed now. A call of resolve() follows for each.
    [[nodiscard]] std::vector<due_probe> take_due(instant now);

    struct resolution {
        endpoint_name endpoint;
        // Attempts that broke off because the endpoint ended.
        std::vector<broken_attempt> crashed;
    };
    // What the outcome of a probe shows.
    resolution resolve(endpoint_key start, probe_outcome outcome, instant now);

private:
    struct endpoint_evidence {
        broken_endpoint endpoint;
        std::vector<broken_attempt> broken;
        instant probe_at {};
        instant probed_at {};
        bool is_probing { false };
        std::uint32_t accepted { 0 };
        std::uint32_t unanswered { 0 };
    };

    std::unordered_map<endpoint_key, endpoint_evidence> m_endpoints;
    // Invariant: the sum over all endpoints, at most most_kept.
    std::size_t m_kept { 0 };
};

} // namespace shedhill::dispatch
