// SPDX-License-Identifier: BSD-2-Clause
// The endpoints of all pools: what is listed, what runs there by this router and by others, how they fare, and which of
// them suits a request best.
#pragma once

#include "base/hash.h"
#include "libraries/dispatch/admission/answer_time_limit.h"
#include "libraries/dispatch/admission/team_ledger.h"
#include "libraries/dispatch/endpoints/cold_period.h"
#include "libraries/dispatch/endpoints/cold_share.h"
#include "libraries/dispatch/endpoints/endpoint_health.h"
#include "libraries/dispatch/endpoints/endpoint_view.h"
#include "libraries/dispatch/endpoints/prompt_places.h"
#include "libraries/dispatch/endpoints/rest_period.h"
#include "libraries/dispatch/engines/engine_pace.h"
#include "libraries/dispatch/engines/engine_view.h"
#include "libraries/dispatch/engines/unseen_work.h"
#include "libraries/dispatch/events.h"
#include "libraries/dispatch/policy.h"
#include "libraries/dispatch/region_bound.h"

#include <memory>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

namespace shedhill::dispatch {

// What the others were told of one endpoint, and what was seen there since.
struct told_load {
    engine_work work;
    reading_evidence untold;
};

// Prompt tokens of an attempt that failed, and until when they count as unread.
struct failed_reading {
    token_count tokens { 0 };
    instant until {};
};

// What a start told of itself in answers.
struct endpoint_word {
    rest_period rest;
    bool is_leaving { false };
};

// What a notice changed.
struct notice_change {
    bool has_begun_rest { false };
    bool has_begun_leaving { false };
};

struct endpoint_state {
    endpoint_entry entry;
    // Of its failure domain; empty where that is not known.
    region_name region;
    // Of its start under its name.
    endpoint_key key;
    endpoint_health health;
    endpoint_word word;
    cold_period cold;
    prompt_places places;
    // What is under way there: of this router, of all others as they last told, and, a part of that, of the other
    // routers of this failure domain.
    engine_work own;
    engine_work others;
    engine_work neighbours;
    // What was last told of this router's own part, and of that of its failure domain.
    told_load own_told;
    told_load domain_told;
    // Of a model engine.
    engine_pace pace;
    // As it was last told to operators.
    double told_tokens_per_ms { 0 };
    // A part of the own unread tokens.
    std::vector<failed_reading> failed;
    // Of a plain service.
    answer_time_limit answer_time;

    // Of this router for this endpoint, 0 for the most preferred to 1.
    double preference { 0 };

    [[nodiscard]] std::uint32_t all_running() const { return own.running + others.running; }
    [[nodiscard]] token_count all_unread() const { return own.unread + others.unread; }
    [[nodiscard]] token_count all_held() const { return own.held + others.held; }
};

// What a choice is weighed on, for the log and for tests.
struct endpoint_choice {
    endpoint_state* endpoint { nullptr };
    token_count unkept { 0 };
    // Foreseen time to the first event or the answer.
    double expected_ms { 0 };
    // A place is free, and the answer would begin within the objective.
    bool is_in_time { false };
    // Tokens that would be read anew although another endpoint is thought to keep them.
    token_count lost { 0 };
    // Tokens of an engine's memory that it would take until its end.
    token_count held { 0 };
};

struct choice_request {
    pool_name pool;
    request_cost const* cost { nullptr };
    // Endpoints that this request was sent to before.
    std::vector<endpoint_name> const* excluded { nullptr };
    // Where it may be served; none for anywhere.
    region_bound const* regions { nullptr };
    // What is left of the objective.
    double time_left_ms { 0 };
    // The part of an endpoint's places that may be taken for this request to be let in.
    double most_load { 1 };
    // The part of that time within which an engine that has prompts to read must be foreseen to begin it.
    double queueing_part { 1 };
    bool is_engine { false };
    // Filled in by the board, for engines: the pool's pace, what others have sent there unseen, how scarce the pool is,
    // the memory of each engine, and what the request takes of it.
    pool_pace const* pace { nullptr };
    unseen_work const* unseen { nullptr };
    double scarcity { 1 };
    token_count memory { 0 };
    token_count held { 0 };
    // May be the one that probes an ejected endpoint.
    bool may_probe { false };
    // Of a request that may crash its endpoint: each such request prefers endpoints of its own, so that the next crash
    // tells them apart. 0 for others.
    std::uint64_t suspect { 0 };
};

class endpoint_board {
public:
    explicit endpoint_board(failure_domain own, dispatch_policy policy = {}, cold_bounds cold = {},
        vm_name const& self = {}, region_map regions = {})
        : m_own_domain(std::move(own))
        , m_regions(std::move(regions))
        , m_self(stable_hash(self.value()))
        , m_policy(policy)
        , m_cold_share(cold)
    {
    }

    // Replaces the list. Endpoints that are gone stay known while attempts run there, but get nothing new.
    void take_list(std::vector<endpoint_entry> const& entries, instant now);
    // What a cold endpoint of each pool bears, and what all endpoints together produce; 0 where it is not told.
    void take_pools(std::vector<pool_settings> const& pools, token_count tokens_per_second);
    void take_routers(routers_listed const& listed, instant now)
    {
        m_cold_share.take_routers(listed.routers, listed.self, now);
    }
    // Endpoints of these failure domains get nothing new until a later call leaves their domain out. They count as cold
    // then: they were without work.
    void set_evacuated(std::vector<failure_domain> const& domains, instant now);
    // The address answers for another endpoint: nothing more is sent there until a list shows it anew.
    void retire(endpoint_name const& name);
    // What a start told of itself. It gets nothing new for as long as that holds: by whatever way a request comes to an
    // endpoint, it is chosen by choose().
    notice_change take_notice(endpoint_key instance, endpoint_notice const& notice, instant now);
    // Endpoints whose rest has ended since the last call.
    [[nodiscard]] std::vector<endpoint_name> take_ended_rests(instant now);
    // Until the first of the pool's endpoints in these regions has rested; none where one of them does not rest.
    [[nodiscard]] std::optional<milliseconds> all_rest_for(
        pool_name const& pool, region_bound const& regions, instant now) const;
    // Endpoints that get no new work, or less, with each reason.
    [[nodiscard]] std::vector<held_endpoint> held_endpoints(instant now) const;

    [[nodiscard]] endpoint_state* find(endpoint_name const& name);
    [[nodiscard]] endpoint_state* find(endpoint_key key);
    // The pool has endpoints in these regions that may get new work.
    [[nodiscard]] bool has_endpoints(pool_name const& pool, region_bound const& regions = {}) const;
    // The pool has endpoints in these regions, but all of them are in evacuated failure domains.
    [[nodiscard]] bool is_evacuated(pool_name const& pool, region_bound const& regions = {}) const;
    [[nodiscard]] std::set<failure_domain> const& evacuated() const { return m_evacuated; }
    [[nodiscard]] std::size_t listed_endpoints() const { return m_by_name.size(); }
    [[nodiscard]] std::size_t endpoints_in(failure_domain const& domain) const;
    // The best endpoint; none if all are excluded, gone or ejected.
    [[nodiscard]] endpoint_choice choose(choice_request wanted, instant now);
    // Places of the pool's endpoints that are in use, and how many are taken.
    struct occupancy {
        std::uint32_t places { 0 };
        std::uint32_t taken { 0 };
    };
    [[nodiscard]] occupancy occupancy_of(pool_name const& pool, instant now) const;
    // How far what the pool's engines can take at once is used up, from 0 (nothing is scarce) to 1; as of the last
    // update of paces.
    [[nodiscard]] double scarcity_of(pool_name const& pool) const;
    // All engines that are listed.
    [[nodiscard]] std::vector<engine_view> engines() const;
    // An engine whose believed pace has doubled or halved since it was last told so.
    struct pace_change {
        endpoint_name engine;
        double before { 0 };
        double now { 0 };
    };
    [[nodiscard]] std::vector<pace_change> take_pace_changes();
    // No engine of the pool can ever hold the prompt.
    [[nodiscard]] bool is_too_large(pool_name const& pool, token_count prompt) const;
    // An attempt was sent there, as it was chosen.
    [[nodiscard]] engine_run note_attempt(endpoint_choice const& chosen, bool is_engine, instant now);
    enum class run_end { done, failed };
    // It has ended. One that failed before its first event counts as unread for as long as that was foreseen to take:
    // an engine that fails at once would look idle, and draw all work.
    void note_end(endpoint_state& endpoint, engine_run const& run, run_end end, instant now);
    [[nodiscard]] std::size_t cold_endpoints(instant now) const;

    // The time that a plain service takes, learnt from its answers.
    void note_service_time(pool_name const& pool, double took_ms);
    // An attempt's first event has come; when is not told.
    static void note_begun(endpoint_state& endpoint, engine_run& run);
    // An attempt's first event, so long after it was sent.
    void note_first_event(endpoint_state& endpoint, engine_run& run, double took_ms, instant now);
    // An attempt's first event has been overdue for so much longer.
    void note_overdue(endpoint_state& endpoint, engine_run const& run, double late_ms, instant now);
    // Believes less in what was seen as it grows old: an engine that is foreseen to be slow gets no requests by which
    // it could show that it is not.
    void update_paces(instant now);

    void take_report(peer_report const& report, source_place place, instant now);
    void forget(report_source const& source);
    void forget_old_parts(instant now);
    // Everything that was placed of late, for a router that knows nothing yet.
    [[nodiscard]] std::vector<part_placed> recent_parts(instant now) const;

    // What the others are to know: work as it stands, and what was seen of paces since the last call.
    [[nodiscard]] std::vector<endpoint_load> take_own_loads(report_scope scope);
    // The same for all routers of this failure domain together.
    [[nodiscard]] std::vector<endpoint_load> take_domain_loads(report_scope scope);
    // What was sent before counts as told: nobody was told for a while, and it is out of date.
    void skip_domain_loads();

private:
    // What a request that is sent there now must expect.
    struct outlook {
        // Of an engine, until it has read what is before the request, by what was told.
        double before_ms { 0 };
        // Until the first event or the answer, by what was told: whether a request is let in goes by that.
        double total_ms { 0 };
        // The same with what others have sent unseen: where it goes is decided by that. Whether it is let in is not:
        // what may have been sent is no reason to turn a caller away.
        double likely_ms { 0 };
    };
    [[nodiscard]] outlook outlook_at(
        endpoint_state const& endpoint, choice_request const& wanted, token_count unkept) const;
    // An endpoint that may get the request, and how much of its prompt it does not keep.
    struct candidate {
        endpoint_state* endpoint { nullptr };
        token_count unkept { 0 };
        // It is ejected, and this request would be the one that probes it.
        bool is_probe { false };
    };
    // Valid until the next call.
    [[nodiscard]] std::vector<candidate> const& candidates_for(choice_request const& wanted, instant now);
    // What nearly all engines keep is held there once for all; the rest each request holds for itself, with what it
    // makes.
    [[nodiscard]] static token_count held_by(request_cost const& cost, std::vector<candidate> const& candidates);
    // It has a place and memory, as far as the request may fill it.
    [[nodiscard]] bool is_free(endpoint_state const& endpoint, choice_request const& wanted) const;
    [[nodiscard]] double cost_of(
        candidate const& weighed, choice_request const& wanted, double expected_ms, std::uint64_t placement) const;
    [[nodiscard]] bool begins_in_time(outlook const& foreseen, choice_request const& wanted) const;
    [[nodiscard]] pool_pace& pace_of(pool_name const& pool);
    void update_scarcity(instant now);
    // Tokens that the engine has to read before a request that is sent now, with what others have sent unseen.
    [[nodiscard]] token_count unread_before(endpoint_state const& engine, unseen_work const& unseen) const;
    static void forget_failed(endpoint_state& endpoint, instant now);
    void note_seen(endpoint_state& endpoint, reading_evidence const& seen, instant now);
    void expect_paces();
    // Most of those that do not rest are ejected: the fault may lie elsewhere, and all are used again.
    [[nodiscard]] static bool ignores_ejection(std::vector<endpoint_state*> const& endpoints, instant now);

    failure_domain m_own_domain;
    region_map m_regions;
    // Tells this router's preferences from those of others.
    std::uint64_t m_self { 0 };
    dispatch_policy m_policy;
    // By their starts. One that started again under its name is another one; the start before stays known while
    // attempts run there.
    std::unordered_map<endpoint_key, std::unique_ptr<endpoint_state>> m_endpoints;
    // Of each name, the start that is listed, or was last.
    std::unordered_map<endpoint_name, endpoint_state*> m_by_name;
    void open(endpoint_state& state);
    void close(endpoint_state& state);
    void keep_word(endpoint_state const& gone, instant now);
    void recall_word(endpoint_state& state);
    void forget_old_words(instant now);
    void forget_name(endpoint_state const& state);
    struct cold_pool {
        double per_second { 0 };
        milliseconds usual { 0 };
    };
    [[nodiscard]] cold_pool const& cold_pool_of(pool_name const& pool) const;
    // It is cold, and this router has sent it what it may for now.
    [[nodiscard]] bool is_held_back_cold(endpoint_state& state, instant now);

    // Of the last choice; kept so that a choice among thousands allocates nothing.
    std::vector<candidate> m_candidates;

    cold_share m_cold_share;
    std::unordered_map<pool_name, cold_pool> m_cold_pools;
    bool m_has_list { false };

    std::set<failure_domain> m_evacuated;
    // Endpoints of a pool that are kept from new work by an evacuation alone.
    std::unordered_map<pool_name, std::vector<endpoint_state*>> m_held_back;
    // Those of a pool that may get new work. Invariant: none is draining, leaving, retired or in an evacuated failure
    // domain.
    std::unordered_map<pool_name, std::vector<endpoint_state*>> m_open;
    struct told_work {
        source_place place { source_place::elsewhere };
        std::unordered_map<endpoint_key, engine_work> at;
        instant told_at {};
    };
    void count_work(told_work& told, endpoint_key endpoint, engine_work const& work);

    // What each source of reports has under way at each endpoint, as it last told.
    std::unordered_map<report_source, told_work> m_told_work;
    struct gone_word {
        endpoint_word word;
        instant since {};
    };
    // Of starts that are not listed now. Invariant: each rests or leaves.
    std::unordered_map<endpoint_key, gone_word> m_words_of_gone;
    // Starts whose rest had not ended at the last look.
    std::vector<endpoint_key> m_resting;
    // No rest ends later: where nobody rests, nothing is looked through.
    instant m_last_rest_ends {};
    std::unordered_map<pool_name, double> m_service_time_ms;
    std::unordered_map<pool_name, pool_pace> m_paces;
    std::unordered_map<pool_name, unseen_work> m_unseen;
    news_age m_news_age;
    std::unordered_map<pool_name, double> m_scarcity;
    struct engine_kind {
        std::uint32_t tokens_per_event { 1 };
        // 0 where it is not told.
        token_count memory { 0 };
    };
    // Pools of engines, as they are configured.
    std::unordered_map<pool_name, engine_kind> m_engines;
    token_count m_tokens_per_second { 0 };
};

} // namespace shedhill::dispatch
