// SPDX-License-Identifier: BSD-2-Clause
// Keeps attempts that broke off until a probe shows whether their endpoint crashed. Connections break for many reasons,
// but the port of an endpoint that has ended refuses the next connection.
#pragma once

#include "libraries/dispatch/suspects/crash_record.h"

#include <string>
#include <unordered_map>
#include <vector>

namespace shedhill::dispatch {

enum class probe_outcome {
    // The address refused the connection.
    refused,
    // The address accepted the connection.
    accepted,
    // The address did neither within the time limit.
    no_answer,
};

// An attempt that broke off, or that may have.
struct broken_attempt {
    request_identity request;
    // The stamp of the request when the attempt was sent.
    crash_stamp stamp;
    instant at {};
    instant sent_at {};
    // The answer was forwarded until the endpoint closed its connection. If the endpoint still listens, it was whole.
    bool is_closed_answer { false };
    // Unless the request was suspected when the attempt was sent, the attempt does not count as a crash before a probe
    // decides. This holds for closed answers, and for attributes that many requests share.
    bool is_presumed_harmless { false };
};

// The endpoint instance at which attempts broke off.
struct broken_endpoint {
    endpoint_name name;
    endpoint_key instance;
    std::string address;
};

class crash_evidence {
public:
    void add(broken_endpoint const& endpoint, broken_attempt const& broken);
    [[nodiscard]] bool is_empty() const { return m_endpoints.empty(); }

    // Returns the number of crashes of the request under the assumption that every endpoint at which it broke off has
    // crashed, but for attempts that are presumed harmless.
    [[nodiscard]] std::uint8_t presumed_crashes(request_identity const& request, std::uint16_t epoch) const;
    // Removes the evidence about a request that was answered or has no record any more.
    void forget(request_identity const& request);

    struct due_probe {
        broken_endpoint endpoint;
        // The time at which the last attempt broke off there.
        instant broken_at {};
    };
    // Returns the endpoints to probe now. The caller reports each result to resolve().
    [[nodiscard]] std::vector<due_probe> take_due(instant now);

    struct resolution {
        endpoint_name endpoint;
        // The attempts that broke off because the endpoint crashed.
        std::vector<broken_attempt> crashed;
        // The attempts whose closed answers were whole.
        std::vector<broken_attempt> answered;
    };
    // Returns the attempts that the result of a probe decides.
    resolution resolve(endpoint_key instance, probe_outcome outcome, instant now);

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
    // Invariant: the number of attempts over all endpoints, at most max_attempts.
    std::size_t m_attempt_count { 0 };
};

} // namespace shedhill::dispatch
