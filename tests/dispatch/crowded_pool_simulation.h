// SPDX-License-Identifier: BSD-2-Clause
// Simulates, in virtual time, the load of a pool with too little capacity that many routers share. The dispatchers are
// real and report their loads to each other every tenth of a second. The endpoints are those of a plain service, with
// slots and a queue of their own, or engines that prefill prompts one after another. A refused caller retries once,
// after the retry delay of the refusal. The same seed gives the same results.
#pragma once

#include "tests/dispatch/dispatch_driver.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>

namespace shedhill::dispatch {

enum class pool_kind { plain, engine };

struct crowded_pool_load {
    pool_kind kind { pool_kind::plain };
    std::size_t routers { 22 };
    std::size_t endpoints { 1 };
    std::uint32_t slots { 6 };
    // Number of requests that an endpoint queues before it rejects further ones.
    std::size_t queue_limit { 24 };
    // Mean run time of a call to a plain service, or the time for which an engine generates tokens after the prefill.
    double work_ms { 30 };
    // Mean length of a prompt's own part beyond its minimum of 200 tokens, and the prefill rate of an engine.
    token_count prompt { 6000 };
    double tokens_per_ms { 150 };
    // Number and length of the shared parts that prompts begin with; no parts where prompts share nothing. The
    // frequency of a part is inversely proportional to its rank to the power of `skew`. An engine caches every part
    // that it has prefilled.
    std::size_t shared_parts { 0 };
    token_count shared_prompt { 0 };
    double skew { 1 };
    // Factors on `tokens_per_ms`, assigned to the engines in rotation.
    std::vector<double> speeds { 1 };
    // Relative frequency of each team's calls.
    std::vector<double> teams { 1 };
    // Tokens per second to which all teams together are entitled; 0 where no team is ever past its share.
    token_count tokens_per_second { 0 };
    double calls_per_second { 290 };
    // Fraction of the calls that arrive at the first third of the routers.
    double uneven_fraction { 0.6 };
    milliseconds objective { 150 };
    milliseconds duration { 6000 };
    std::uint64_t seed { 1 };
    dispatch_policy policy {};
};

// Demand and service of one team in one second of a simulation.
struct team_second {
    token_count requested { 0 };
    // Prompt tokens of the requests whose first event came in this second.
    token_count started { 0 };
    // Whether a request of the team was refused or waited longer than its objective.
    bool has_missed_objective { false };
};

struct crowded_pool_outcome {
    std::size_t calls { 0 };
    std::size_t in_time { 0 };
    std::size_t late { 0 };
    std::size_t unserved { 0 };
    std::size_t rejected_by_endpoints { 0 };
    // Tokens that all engines together prefilled, and the most that a single one did.
    double prefilled_tokens { 0 };
    double max_prefilled_tokens { 0 };
    // Time that each prompt waited at its engine before its prefill, in ascending order.
    std::vector<milliseconds> queue_times;
    // Fraction of the time in which the slots, or the engines, were busy.
    double utilisation { 0 };
    // By team, one entry for each second after the warm-up.
    std::vector<std::vector<team_second>> teams;
    token_count largest_prompt { 0 };

    [[nodiscard]] double in_time_fraction() const { return static_cast<double>(in_time) / static_cast<double>(calls); }
};

class crowded_pool_simulation {
public:
    explicit crowded_pool_simulation(crowded_pool_load const& load);
    crowded_pool_outcome run();

private:
    struct call {
        std::size_t router { 0 };
        instant first_asked_at {};
        bool has_retried { false };
        token_count prompt { 0 };
        std::size_t team { 0 };
        // Number of the shared part of its prompt, from 1; 0 where it has none.
        std::size_t part { 0 };
    };
    struct attempt_key {
        std::size_t router { 0 };
        request_number request {};
        attempt_number attempt {};

        auto operator<=>(attempt_key const&) const = default;
    };
    struct endpoint {
        std::size_t running { 0 };
        // When an engine has prefilled all prompts that were sent to it.
        instant prefilled_until {};
        double prefilled_tokens { 0 };
        std::set<std::size_t> cached_parts;
        std::deque<attempt_key> waiting;
    };

    void schedule(instant when, std::function<void()> action) { m_schedule.emplace(when, std::move(action)); }
    void deliver(std::size_t router, event_body body);
    void apply_effect(std::size_t router, effect const& produced);
    void arrive_at(std::size_t endpoint, attempt_key const& attempt);
    [[nodiscard]] std::size_t draw_part();
    void prefill_prompt(std::size_t endpoint, attempt_key const& attempt);
    void record_answered(call const& answered);
    // Returns the team's entry for the current second; outside the measured time, an entry that is not part of the
    // outcome.
    team_second& second_of(std::size_t team);
    void start_work(std::size_t endpoint, attempt_key const& attempt);
    void finish_work(std::size_t endpoint);
    void ask(call arriving);
    void schedule_next_call();
    void exchange_reports();
    void end_attempt(attempt_key const& attempt, attempt_end how, std::uint16_t status);

    crowded_pool_load m_load;
    crowded_pool_outcome m_outcome;
    std::mt19937_64 m_random;
    std::discrete_distribution<std::size_t> m_parts;
    instant m_now { milliseconds(1000) };
    instant m_measured_from {};
    instant m_measured_until {};
    std::multimap<instant, std::function<void()>> m_schedule;
    std::vector<std::unique_ptr<dispatch_reducer>> m_routers;
    std::vector<endpoint> m_endpoints;
    std::map<std::pair<std::size_t, request_number>, call> m_calls;
    std::uint64_t m_last_request { 0 };
    double m_busy_ms { 0 };
    team_second m_unmeasured_second;
};

} // namespace shedhill::dispatch
