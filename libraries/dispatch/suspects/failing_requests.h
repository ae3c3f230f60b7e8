// SPDX-License-Identifier: BSD-2-Clause
// Remembers requests that endpoints failed. A request that fails at several endpoints and is answered by none is at
// fault itself, so its failures do not show that an endpoint is unhealthy.
#pragma once

#include "libraries/dispatch/suspects/crash_record.h"

#include <cstddef>
#include <optional>
#include <unordered_map>
#include <vector>

namespace shedhill::dispatch {

class failing_requests {
public:
    // Whether no request is remembered, so that the content of requests does not matter.
    [[nodiscard]] bool is_empty() const { return m_records.empty(); }

    [[nodiscard]] bool is_known(request_identity const& request) const { return m_records.contains(request); }
    // Whether the request has failed at another instance than this one since it was last answered.
    [[nodiscard]] bool has_failed_elsewhere(request_identity const& request, endpoint_key instance) const;
    // Whether the request has failed at so many instances since it was last answered that another attempt is futile.
    [[nodiscard]] bool is_failing_everywhere(request_identity const& request) const;
    // Returns the only instance at which the request has failed. Another attempt elsewhere shows whether the request or
    // the instance is at fault.
    [[nodiscard]] std::optional<endpoint_key> only_failed_at(request_identity const& request) const;

    // A finding tells how a failure is to be held against the instance.
    enum class finding {
        // The instance may be at fault.
        counts,
        // A failure of the same request at the same instance was counted a moment ago and says the same.
        repeated,
        // The request has failed at another instance, too.
        caused_by_request,
    };
    // Records a failure of the request that no other attempt of it explains.
    finding record_failure(request_identity const& request, endpoint_key instance, instant now);
    // Records a failure that the request caused.
    void record_request_fault(request_identity const& request, endpoint_key instance, instant now);
    // Returns the instance of each failure of the request that counts, and marks these failures as not counted: the
    // caller withdraws them, because the request has failed elsewhere, too.
    [[nodiscard]] std::vector<endpoint_key> take_counted(request_identity const& request);
    // Removes the record of a request that was answered.
    void record_answer(request_identity const& request) { m_records.erase(request); }
    void forget_old(instant now);

private:
    struct failed_instance {
        endpoint_key instance;
        instant counted_at {};
        // The number of failures that count against the instance.
        std::uint32_t counted { 0 };
    };
    struct record {
        // Invariant: each instance occurs once, and there are at most max_instances.
        std::vector<failed_instance> failed;
        instant last_failed_at {};
    };

    // Returns the instance's part of the request's record; null if the record has no space for another instance.
    failed_instance* find_or_add(request_identity const& request, endpoint_key instance, instant now);
    record& record_of(request_identity const& request);

    // Invariant: contains at most max_records.
    std::unordered_map<request_identity, record> m_records;
};

} // namespace shedhill::dispatch
