// SPDX-License-Identifier: BSD-2-Clause
// Batches the idempotency claims of requests that are not repeatable, because the platform's table accepts only a few
// writes per second.
#pragma once

#include "libraries/router/options.h"
#include "libraries/router/step_context.h"

#include <map>
#include <vector>

namespace shedhill::router {

// The table's verdict on the claim of one request.
struct claim_answer {
    request_number request {};
    table_service::claim claim;
    table_service::claim_verdict verdict { table_service::claim_verdict::unavailable };
};

class claim_batcher {
public:
    explicit claim_batcher(options const& settings)
        : m_settings(settings)
    {
    }

    // Queues a claim for the next batch.
    void add(request_number request, table_service::claim claim);

    // Queues the release of a claim whose request is proved not to have run.
    void release(table_service::claim claim);

    // Sends the queued releases and the next batch of claims if they are due. At most one batch is in flight, so a slow
    // platform leads to larger batches.
    void tick(step_context& step);

    // Matches the verdicts to the claims of the batch and forgets the batch. A claim without a verdict counts as
    // unavailable; an unknown batch yields no answers.
    [[nodiscard]] std::vector<claim_answer> take_answers(
        std::uint64_t batch, std::vector<table_service::claim_verdict> const& verdicts);

private:
    struct pending {
        request_number request {};
        table_service::claim claim;
    };

    options const& m_settings;
    std::vector<pending> m_waiting;
    std::vector<table_service::claim> m_releases;
    // Batches in flight, by batch number.
    std::map<std::uint64_t, std::vector<pending>> m_sent;
    std::uint64_t m_last_batch { 0 };
    // The earliest time of the next batch.
    instant m_next_at {};
};

} // namespace shedhill::router
