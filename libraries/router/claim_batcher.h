// SPDX-License-Identifier: BSD-2-Clause
// Groups the claims of requests that may not be repeated, since the platform's table takes few writes a second.
#pragma once

#include "libraries/router/options.h"
#include "libraries/router/step_context.h"

#include <map>
#include <vector>

namespace shedhill::router {

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
    void add(request_number request, table_service::claim wanted);

    // Queues the return of a claim whose request was proved not run.
    void release(table_service::claim held);

    // Sends the next batch if it is due. One batch is on its way at a time: a slow platform makes batches larger.
    void tick(step_context& step);

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
    std::map<std::uint64_t, std::vector<pending>> m_sent;
    std::uint64_t m_last_batch { 0 };
    instant m_next_at {};
};

} // namespace shedhill::router
