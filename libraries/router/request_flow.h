// SPDX-License-Identifier: BSD-2-Clause
// Takes each request from its arrival to its one final answer. Keeps apart, for every attempt, "not run", "ran" and
// "unknown", and starts another attempt only where that cannot run a request twice that may run once.
#pragma once

#include "libraries/router/claim_batcher.h"
#include "libraries/router/config_follower.h"
#include "libraries/router/offer_planner.h"
#include "libraries/router/request.h"
#include "libraries/router/retry_budget.h"

#include <set>
#include <unordered_map>

namespace shedhill::router {

// What the flow works with; all of it belongs to the reducer.
struct flow_parts {
    options const& settings;
    config::catalog const& catalog;
    reach_cache& reach;
    link_table& links;
    work_queues& queues;
    ledger::service_ledger& ledger;
    offer_planner& planner;
    claim_batcher& claims;
};

class request_flow {
public:
    explicit request_flow(flow_parts parts)
        : m_parts(parts)
        , m_retries(parts.settings.retry_percent, parts.settings.retry_minimum)
    {
    }

    void arrive(caller_request const& arrived, bool is_ready, step_context& step);
    void drop_caller(request_number number, step_context& step);
    void take_claims(claims_answered const& answered, step_context& step);

    void take(link& from, wire::grant const& granted, step_context& step);
    void take(link& from, wire::chunk const& received, step_context& step);
    void take(link& from, wire::finished const& received, step_context& step);
    void take(link& from, wire::refused const& received, step_context& step);
    // The link is broken: what was sent there may have run.
    void lose_link(link& broken, step_context& step);

    void tick(step_context& step);
    // Refuses what waits, as not run; what runs goes on.
    void drain(step_context& step);

    [[nodiscard]] std::size_t open_count() const { return m_requests.size(); }
    [[nodiscard]] bool is_draining() const { return m_is_draining; }
    // Accounts with work waiting or running here.
    [[nodiscard]] std::vector<account_id> accounts_in_use() const;

private:
    request* find_attempt(link const& from, request_number number, attempt_number attempt);
    void refuse_arrival(caller_request const& arrived, wire::reason why, step_context& step);
    [[nodiscard]] std::chrono::seconds come_back_after(account_id account) const;

    void enqueue(request& queued, step_context& step);
    void start_attempt(request& started, link& to, wire::grant const& granted, step_context& step);
    void settle_charge(request& charged, service_units actual);
    void leave_link(request& left);
    void pass_on(request& receiver, wire::chunk const& received, step_context& step);
    // The attempt is proved not to have run.
    void requeue_not_run(request& returned, wire::reason why, step_context& step);
    // The attempt may have run, and its answer will not come.
    void lose_attempt(request& lost, wire::reason why, step_context& step);
    void cancel_attempt(request& cancelled, step_context& step);

    void finish_whole(request& answered, step_context& step);
    void finish_without_answer(request& ended, wire::reason why, step_context& step);
    void erase(request& ended);

    flow_parts m_parts;
    retry_budget m_retries;
    std::unordered_map<request_number, request> m_requests;
    std::set<std::pair<instant, request_number>> m_deadlines;
    bool m_is_draining { false };
};

} // namespace shedhill::router
