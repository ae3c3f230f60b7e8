// SPDX-License-Identifier: BSD-2-Clause
// Plays the load of a pool with too little room that many routers share: real dispatchers that tell each other their
// loads a tenth of a second apart, endpoints of a plain service with slots and a queue of their own, or engines that
// read prompts one after another, and callers who come back once when they are told to. Virtual time; the same seed
// gives the same play.
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
    // What the endpoint itself queues before it turns requests away.
    std::size_t queue { 24 };
    // Of a call, or for how long an engine makes tokens for a request once it has read the prompt.
    double work_ms { 30 };
    // Of a prompt, on average, and what an engine reads in a millisecond.
    token_count prompt { 6000 };
    double tokens_per_ms { 150 };
    // Parts that prompts begin with, each asked for as often as its rank allows, and how long each is; 0 where prompts
    // share nothing. An engine keeps the parts that it has read.
    std::size_t shared_parts { 0 };
    token_count shared_prompt { 0 };
    double skew { 1 };
    // Of the engines, by turns, as parts of that.
    std::vector<double> speeds { 1 };
    // How much each team asks for, as parts of all.
    std::vector<double> teams { 1 };
    // What is owed to all teams together; 0 where nobody is ever past a share.
    token_count tokens_per_second { 0 };
    double calls_per_second { 290 };
    // Of the calls, that come to the first third of the routers.
    double uneven_part { 0.6 };
    milliseconds objective { 150 };
    milliseconds lasts { 6000 };
    std::uint64_t seed { 1 };
    dispatch_policy policy {};
};

// What one team asked for and was given in one second of a play.
struct team_second {
    token_count asked { 0 };
    // Of prompts that were begun.
    token_count begun { 0 };
    // One of its requests was refused, or waited past its objective.
    bool is_hurt { false };
};

struct crowded_pool_outcome {
    std::size_t asked { 0 };
    std::size_t in_time { 0 };
    std::size_t late { 0 };
    std::size_t unserved { 0 };
    std::size_t turned_away { 0 };
    // Tokens that all engines read, and the busiest one.
    double read { 0 };
    double read_by_busiest { 0 };
    // For so long each prompt stood at its engine before it was read, the longest last.
    std::vector<milliseconds> stood;
    // The part of the slots' time in which they worked.
    double used { 0 };
    // By team, second after second from the end of the warm-up.
    std::vector<std::vector<team_second>> teams;
    token_count largest { 0 };

    [[nodiscard]] double part_in_time() const { return static_cast<double>(in_time) / static_cast<double>(asked); }
};

class crowded_pool_play {
public:
    explicit crowded_pool_play(crowded_pool_load const& load);
    crowded_pool_outcome play();

private:
    struct call {
        std::size_t router { 0 };
        instant first_asked {};
        bool has_returned { false };
        token_count prompt { 0 };
        std::size_t team { 0 };
        // Of its shared part, from 1; 0 where it has none.
        std::size_t part { 0 };
    };
    struct attempt_key {
        std::size_t router { 0 };
        request_number request {};
        attempt_number attempt {};

        auto operator<=>(attempt_key const&) const = default;
    };
    struct endpoint {
        std::size_t working { 0 };
        // An engine has read all that was sent to it.
        instant read_until {};
        double read { 0 };
        std::set<std::size_t> kept_parts;
        std::deque<attempt_key> waiting;
    };

    void at(instant when, std::function<void()> action) { m_agenda.emplace(when, std::move(action)); }
    void step(std::size_t router, event_body body);
    void carry_out(std::size_t router, effect const& wanted);
    void arrive_at(std::size_t endpoint, attempt_key const& attempt);
    [[nodiscard]] std::size_t draw_part();
    void read_prompt(std::size_t endpoint, attempt_key const& attempt);
    void note_answered(call const& answered);
    // Of the second that is now; somewhere else before and after the play.
    team_second& second_of(std::size_t team);
    void work(std::size_t endpoint, attempt_key const& attempt);
    void leave(std::size_t endpoint);
    void ask(call asked);
    void ask_next();
    void tell();
    void end(attempt_key const& attempt, attempt_end how, std::uint16_t status);

    crowded_pool_load m_load;
    crowded_pool_outcome m_outcome;
    std::mt19937_64 m_random;
    std::discrete_distribution<std::size_t> m_parts;
    instant m_now { milliseconds(1000) };
    instant m_from {};
    instant m_until {};
    std::multimap<instant, std::function<void()>> m_agenda;
    std::vector<std::unique_ptr<dispatch_reducer>> m_routers;
    std::vector<endpoint> m_endpoints;
    std::map<std::pair<std::size_t, request_number>, call> m_calls;
    std::uint64_t m_last_request { 0 };
    double m_worked_ms { 0 };
    team_second m_outside;
};

} // namespace shedhill::dispatch
