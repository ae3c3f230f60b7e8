// SPDX-License-Identifier: BSD-2-Clause
// Estimates what other routers have sent to an engine since their last reports. Without this estimate, many routers
// that see the same idle engine in the same report would all send requests there before any of them receives the next
// report. By Little's law, requests arrive at an engine at the rate of its running attempts divided by the average
// duration of an attempt. The reported load changes slowly, so it predicts the prompts that are not reported yet.
#pragma once

#include "libraries/dispatch/types.h"

namespace shedhill::dispatch {

// Estimates the age of other routers' reports from the intervals between them.
class report_age {
public:
    // Records the time between two reports of one source: another router, or the sums of a failure domain.
    void record_gap(milliseconds gap);
    // Average age of reports of the routers of this failure domain about themselves. The sums of other failure domains
    // are built from such reports and sent at the same interval, so they are twice as old.
    [[nodiscard]] double of_domain_peers_ms() const { return m_gap_ms / 2; }
    [[nodiscard]] double of_domain_sums_ms() const { return m_gap_ms; }

private:
    double m_gap_ms { 0 };
};

// Estimates unreported work at the engines of one pool.
class unreported_work {
public:
    // Records an attempt of this router that has ended: the prompt tokens that the engine had to prefill, and the time
    // since the attempt was sent.
    void record_attempt_duration(token_count prefill_tokens, milliseconds duration, instant now);

    // Prompt tokens that arrive at an engine per millisecond for each attempt that runs there.
    [[nodiscard]] double tokens_per_running_ms() const
    {
        return m_running_ms > 0 ? m_prefill_tokens / m_running_ms : 0;
    }
    // Returns the estimated prompt tokens sent to an engine but not reported yet. `others_running` is the reported
    // number of attempts of all other routers there; `domain_peers_running` is the part of them that belongs to routers
    // of this failure domain.
    [[nodiscard]] token_count tokens(
        std::uint32_t others_running, std::uint32_t domain_peers_running, report_age const& age) const;

private:
    // The half-life is long enough for some tens of completed attempts at a router that receives a few requests per
    // second.
    static constexpr milliseconds half_life { 5000 };

    // Decaying sums over attempts that have ended. Without any, the estimate is 0.
    double m_prefill_tokens { 0 };
    double m_running_ms { 0 };
    instant m_updated_at {};
};

} // namespace shedhill::dispatch
