// SPDX-License-Identifier: BSD-2-Clause
// Estimates how probably the next request of a team fails, from the outcomes of its requests at other endpoints. It
// serves requests that have one attempt only and whose content differs each time, so that no other attempt shows
// whether the endpoint or the request is at fault.
#pragma once

#include "base/identifiers.h"
#include "base/units.h"
#include "libraries/dispatch/endpoints/failure_average.h"

#include <cstdint>
#include <unordered_map>

namespace shedhill::dispatch {

// The requests of one team to one pool.
struct team_requests {
    team_key team;
    std::uint64_t pool { 0 };

    bool operator==(team_requests const&) const = default;
};

class failing_teams {
public:
    // Whether no failure was recorded recently, so that the teams of requests do not matter.
    [[nodiscard]] bool is_empty() const { return m_records.empty(); }
    // Whether a failure of such a request was recorded recently.
    [[nodiscard]] bool is_tracked(team_requests const& requests) const { return m_records.contains(requests); }
    // Returns the probability, from 0 to 1, with which such a request fails at other instances than this one; 0 if
    // none has failed recently.
    [[nodiscard]] double expected_failure(team_requests const& requests, endpoint_key instance) const;
    // Records a failure or a rejection that no other attempt explains.
    void record_failure(team_requests const& requests, endpoint_key instance, attempt_verdict verdict, instant now);
    // Records a good answer, if failures of such requests are tracked.
    void record_answer(team_requests const& requests, endpoint_key instance);
    void forget_old(instant now);

private:
    struct hash_requests {
        std::size_t operator()(team_requests const& requests) const noexcept
        {
            // Both values are hashes already.
            return static_cast<std::size_t>(requests.team.value() ^ requests.pool);
        }
    };
    // Outcomes at one instance. The older ones weigh less once there are many.
    struct tally {
        double failures { 0 };
        double attempts { 0 };
    };
    struct record {
        // Invariant: contains at most max_instances.
        std::unordered_map<endpoint_key, tally> by_instance;
        instant last_failed_at {};
    };
    static void add(record& entry, endpoint_key instance, double penalty);

    // Invariant: contains at most max_teams.
    std::unordered_map<team_requests, record, hash_requests> m_records;
};

} // namespace shedhill::dispatch
