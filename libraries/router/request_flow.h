// SPDX-License-Identifier: BSD-2-Clause
// Processes each request from its arrival to its one final answer. Each attempt ends as "not run", "ran" or "unknown",
// and another attempt starts only if it cannot run a request twice that is not repeatable.
#pragma once

#include "libraries/router/claim_batcher.h"
#include "libraries/router/config_synchronizer.h"
#include "libraries/router/offer_planner.h"
#include "libraries/router/request.h"
#include "libraries/router/retry_budget.h"

#include <set>
#include <unordered_map>

namespace shedhill::router {

// The parts of the reducer that the flow uses. The reducer owns them.
struct flow_dependencies {
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
    explicit request_flow(flow_dependencies dependencies)
        : m_dependencies(dependencies)
        , m_retries(dependencies.settings.retry_percent, dependencies.settings.retry_budget_capacity)
    {
    }

    // Admits the request and queues or claims it, or answers with a refusal.
    void handle_arrival(caller_request const& arrived, bool is_ready, step_context& step);
    // Ends a request whose caller has left. A running request is cancelled only if it is repeatable.
    void drop_caller(request_number number, step_context& step);
    // Queues the requests whose claims were won and refuses the others.
    void apply_claim_verdicts(claims_answered const& answered, step_context& step);

    // Handles the messages of an endpoint. Chunks and results of attempts that have ended are ignored.
    void handle_message(link& from, wire::grant const& granted, step_context& step);
    void handle_message(link& from, wire::chunk const& received, step_context& step);
    void handle_message(link& from, wire::finished const& received, step_context& step);
    void handle_message(link& from, wire::refused const& received, step_context& step);
    // Fails the attempts on a broken link. They may have run.
    void handle_link_lost(link& broken, step_context& step);

    // Ends requests whose deadline has passed, and attempts without progress.
    void tick(step_context& step);
    // Refuses the waiting requests and all later arrivals. Running requests continue.
    void drain(step_context& step);

    [[nodiscard]] std::size_t open_count() const { return m_requests.size(); }
    [[nodiscard]] bool is_draining() const { return m_is_draining; }
    // Returns the accounts that have requests open in this router.
    [[nodiscard]] std::vector<account_id> accounts_in_use() const;

private:
    // Returns the request if this attempt on this link is its current one, or null.
    request* find_attempt(link const& from, request_number number, attempt_number attempt);
    void refuse_arrival(caller_request const& arrived, wire::reason why, step_context& step);
    // Returns the expected wait of the account, from 1 s to 60 s.
    [[nodiscard]] std::chrono::seconds retry_delay(account_id account) const;

    void enqueue(request& queued, step_context& step);
    void start_attempt(request& started, link& to, wire::grant const& granted, step_context& step);
    // Replaces what is charged for the current attempt by the actual service.
    void settle_charge(request& charged, service_units actual);
    void detach_from_link(request& detached);
    void forward_chunk(request& receiver, wire::chunk const& received, step_context& step);
    // Queues a request again whose attempt is proved not to have run, or refuses it if it has no retry left.
    void requeue_not_run(request& returned, wire::reason why, step_context& step);
    // Ends an attempt that may have run and will not be answered. Retries only a repeatable request.
    void fail_attempt(request& failed, wire::reason why, step_context& step);
    void cancel_attempt(request& cancelled, step_context& step);

    void finish_answered(request& answered, step_context& step);
    void finish_without_answer(request& ended, wire::reason why, step_context& step);
    void erase(request& ended);

    flow_dependencies m_dependencies;
    retry_budget m_retries;
    std::unordered_map<request_number, request> m_requests;
    // The deadlines of all open requests.
    std::set<std::pair<instant, request_number>> m_deadlines;
    bool m_is_draining { false };
};

} // namespace shedhill::router
