// SPDX-License-Identifier: BSD-2-Clause
// Keeps the state of all endpoints of all pools: the list, the work of this router and of others at each, their health
// and learned rates. Chooses the endpoint that suits a request best.
#pragma once

#include "base/hash.h"
#include "libraries/dispatch/admission/answer_time_limit.h"
#include "libraries/dispatch/admission/team_ledger.h"
#include "libraries/dispatch/endpoints/cold_period.h"
#include "libraries/dispatch/endpoints/cold_share.h"
#include "libraries/dispatch/endpoints/endpoint_backoff.h"
#include "libraries/dispatch/endpoints/endpoint_constraints.h"
#include "libraries/dispatch/endpoints/endpoint_health.h"
#include "libraries/dispatch/endpoints/endpoint_view.h"
#include "libraries/dispatch/endpoints/prompt_cache_index.h"
#include "libraries/dispatch/engines/engine_prefill_rate.h"
#include "libraries/dispatch/engines/engine_view.h"
#include "libraries/dispatch/engines/unreported_work.h"
#include "libraries/dispatch/events.h"
#include "libraries/dispatch/policy.h"
#include "libraries/dispatch/streams/version_history.h"

#include <memory>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

namespace shedhill::dispatch {

// The work at one endpoint that was last reported to other routers, and the prefill sample since that report.
struct reported_load {
    engine_work work;
    prefill_sample unsent_sample;
};

// Prompt tokens of an attempt that failed before its first event; they count as pending prefill until `until`.
struct failed_prefill {
    token_count tokens { 0 };
    instant until {};
};

// What an endpoint instance announced about itself in answers.
struct announced_state {
    endpoint_backoff backoff;
    bool is_leaving { false };
};

// Which states a notice started.
struct notice_change {
    bool has_started_backoff { false };
    bool has_started_leaving { false };
};

// What this router knows about one endpoint instance.
struct endpoint_state {
    endpoint_entry entry;
    // The region of its failure domain; empty where that is unknown.
    region_name region;
    // Identifies the process instance behind this endpoint name.
    endpoint_key key;
    software_key software;
    endpoint_health health;
    announced_state announced;
    cold_period cold;
    prompt_cache_index prompt_cache;
    // Work at the endpoint: of this router; of all other routers, as last reported; and, included in `others`, of the
    // other routers of this failure domain.
    engine_work own;
    engine_work others;
    engine_work domain_peers;
    // What was last reported of this router's own work, and of its failure domain's.
    reported_load own_reported;
    reported_load domain_reported;
    // Learned prefill rate; only used for model engines.
    engine_prefill_rate prefill_rate;
    // The prefill rate that was last logged, in tokens per millisecond; 0 before the first check.
    double logged_tokens_per_ms { 0 };
    // Prefill of failed attempts; included in own.pending_prefill.
    std::vector<failed_prefill> failed_prefills;
    // Concurrency limit; only used for plain services.
    answer_time_limit answer_time;

    // This router's preference for the endpoint, from 0 (most preferred) to 1.
    double preference { 0 };

    [[nodiscard]] std::uint32_t total_running() const { return own.running + others.running; }
    [[nodiscard]] token_count total_pending_prefill() const { return own.pending_prefill + others.pending_prefill; }
    [[nodiscard]] token_count total_kv_tokens() const { return own.kv_tokens + others.kv_tokens; }
};

// The chosen endpoint and the estimates behind the choice, for the log and for tests.
struct endpoint_choice {
    endpoint_state* endpoint { nullptr };
    token_count uncached_tokens { 0 };
    // Estimated time to the first event, or to the answer of a plain service.
    double expected_ms { 0 };
    // Whether the endpoint has free capacity and the answer is estimated to start within the objective.
    bool is_in_time { false };
    // Tokens that this endpoint would have to prefill although another endpoint is estimated to have them cached.
    token_count redundant_prefill { 0 };
    // KV cache tokens that the request occupies until it ends.
    token_count kv_tokens { 0 };
};

// Describes the request that choose() selects an endpoint for, and the terms of its admission.
struct choice_request {
    pool_name pool;
    request_cost const* cost { nullptr };
    // Endpoints that this request was already sent to.
    std::vector<endpoint_name> const* excluded { nullptr };
    // The instance at which this request has failed before; other endpoints are preferred.
    std::optional<endpoint_key> failed_at;
    // A random number that distributes the request over endpoints that suit it almost equally; 0 for most requests.
    // Requests that have failed or may fail are distributed, because only their outcomes at several endpoints show
    // whether an endpoint is at fault.
    std::uint64_t spread { 0 };
    // Null if any endpoint of the pool may serve the request.
    endpoint_constraints const* constraints { nullptr };
    // Set if the request begins a stream that may be resumed, which does not begin at a version that this history
    // excludes.
    version_history const* versions { nullptr };
    // Time left of the objective.
    double time_left_ms { 0 };
    // Fraction of an endpoint's slots that may be in use for this request to be admitted.
    double max_load { 1 };
    // Fraction of time_left_ms within which an engine with pending prefill must be estimated to start the answer.
    double queueing_fraction { 1 };
    bool is_engine { false };
    // The board fills in the following members for engines: the pool's prefill rate, the estimate of work not yet
    // reported by others, the scarcity of the pool, the KV capacity of each engine, and the KV tokens that the request
    // needs.
    pool_prefill_rate const* pool_rate { nullptr };
    unreported_work const* unreported { nullptr };
    double scarcity { 1 };
    token_count kv_capacity { 0 };
    token_count kv_tokens { 0 };
    // The request may be used to probe an ejected endpoint.
    bool may_probe { false };
    // Identifies the content of a request that may crash its endpoint; 0 for other requests. Each such request prefers
    // different endpoints, so that the next crash shows which request caused it.
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

    // Replaces the list of endpoints. Endpoints that are no longer listed are kept while attempts run there, but
    // receive no new requests.
    void apply_list(std::vector<endpoint_entry> const& entries, instant now);
    // Sets the configured rate of cold endpoints of each pool, and the throughput of all endpoints together; 0 where
    // the configuration does not state it.
    void apply_pools(std::vector<pool_settings> const& pools, token_count tokens_per_second);
    void apply_routers(routers_listed const& listed, instant now)
    {
        m_cold_share.apply_routers(listed.routers, listed.self, now);
    }
    // Stops new requests to endpoints of these failure domains, until a later call omits the domain. Endpoints of a
    // domain that is released count as cold, because they were without work.
    void set_evacuated(std::vector<failure_domain> const& domains, instant now);
    // Stops new requests to the endpoint until a list contains it again: another endpoint answers at its address.
    void retire(endpoint_name const& name);
    // Applies what an endpoint instance announced about itself. The instance receives no new requests for as long as
    // the announcement is valid: whatever the reason for sending a request, choose() selects its endpoint.
    notice_change apply_notice(endpoint_key instance, endpoint_notice const& notice, instant now);
    // Returns the endpoints whose back-off has ended since the last call.
    [[nodiscard]] std::vector<endpoint_name> take_ended_backoffs(instant now);
    // Returns the time until the first of the pool's endpoints that satisfy the constraints ends its back-off; nullopt
    // if one of them is not backing off.
    [[nodiscard]] std::optional<milliseconds> all_backed_off_for(
        pool_name const& pool, endpoint_constraints const& constraints, instant now) const;
    // Returns the endpoints that receive no new work or less than others, with one entry for each reason.
    [[nodiscard]] std::vector<held_endpoint> held_endpoints(instant now) const;

    [[nodiscard]] endpoint_state* find(endpoint_name const& name);
    [[nodiscard]] endpoint_state* find(endpoint_key key);
    // Whether the pool has endpoints that satisfy the constraints and may receive new requests.
    [[nodiscard]] bool has_endpoints(pool_name const& pool, endpoint_constraints const& constraints = {}) const;
    // Whether the pool has endpoints that satisfy the constraints, but all of them are in evacuated failure domains.
    [[nodiscard]] bool is_evacuated(pool_name const& pool, endpoint_constraints const& constraints = {}) const;
    [[nodiscard]] std::set<failure_domain> const& evacuated() const { return m_evacuated; }
    // Returns the versions of the software of all endpoints, listed or with running attempts, each once.
    [[nodiscard]] std::vector<listed_software> listed_versions() const;
    [[nodiscard]] std::size_t listed_endpoints() const { return m_by_name.size(); }
    // Returns the number of known endpoint instances in the failure domain.
    [[nodiscard]] std::size_t endpoints_in(failure_domain const& domain) const;
    // Returns the best endpoint for the request; its pointer is null if none may receive it.
    [[nodiscard]] endpoint_choice choose(choice_request request, instant now);
    // The slots of those endpoints of the pool that are neither backing off nor ejected, and how many of these slots
    // are occupied.
    struct occupancy {
        std::uint32_t slots { 0 };
        std::uint32_t used_slots { 0 };
    };
    [[nodiscard]] occupancy occupancy_of(pool_name const& pool, instant now) const;
    // Returns the scarcity of the pool's engines as of the last update or choice, from 0 (nothing is scarce) to 1.
    [[nodiscard]] double scarcity_of(pool_name const& pool) const;
    // Returns all listed engines.
    [[nodiscard]] std::vector<engine_view> engines() const;
    // An engine whose estimated prefill rate has doubled or halved since it was last returned, with both rates in
    // tokens per millisecond.
    struct rate_change {
        endpoint_name engine;
        double before { 0 };
        double now { 0 };
    };
    [[nodiscard]] std::vector<rate_change> take_rate_changes();
    // Whether no engine of the pool can ever hold the prompt.
    [[nodiscard]] bool is_too_large(pool_name const& pool, token_count prompt) const;
    // Records an attempt that was sent to the chosen endpoint.
    [[nodiscard]] engine_run record_attempt(endpoint_choice const& chosen, bool is_engine, instant now);
    // How an attempt ended: `failed` if the endpoint rejected or failed it, `done` otherwise.
    enum class run_end { done, failed };
    // Records the end of an attempt. The prompt of an attempt that failed before its first event counts as pending
    // prefill for its estimated duration: an engine that fails immediately would otherwise look idle and attract all
    // work.
    void record_end(endpoint_state& endpoint, engine_run const& run, run_end end, instant now);
    [[nodiscard]] std::size_t cold_endpoints(instant now) const;

    // Records the duration of an answer of a plain service.
    void record_service_time(pool_name const& pool, double took_ms);
    // Records that an attempt's first event was received at an unknown time.
    static void record_prefill_end(endpoint_state& endpoint, engine_run& run);
    // Records an attempt's first event, `took_ms` after the attempt was sent.
    void record_first_event(endpoint_state& endpoint, engine_run& run, double took_ms, instant now);
    // Records that an attempt's first event has been overdue for a further `late_ms`.
    void record_overdue(endpoint_state& endpoint, engine_run const& run, double late_ms, instant now);
    // Updates the estimated prefill rates and the scarcity. Older samples weigh less, because an engine that is
    // estimated to be slow gets no requests that could correct the estimate.
    void update_rates(instant now);

    // Applies the loads, prefill samples and cached parts of a report of another router or failure domain.
    void apply_report(peer_report const& report, report_origin origin, instant now);
    // Removes the work that the source reported, for example because its router was lost.
    void forget(report_source const& source);
    // Removes cached parts that were not used within the cache lifetime.
    void forget_old_parts(instant now);
    // Returns the recently used prompt parts of all endpoints, for a router that has just started.
    [[nodiscard]] std::vector<cached_part> recent_parts(instant now) const;

    // Returns this router's work at each endpoint, and the prefill samples since the last call, for reports to other
    // routers.
    [[nodiscard]] std::vector<endpoint_load> take_own_loads(report_scope scope);
    // Returns the same, summed over all routers of this failure domain.
    [[nodiscard]] std::vector<endpoint_load> take_domain_loads(report_scope scope);
    // Discards the failure domain's unsent prefill samples and last reported work: no report was sent for a while, and
    // both are out of date.
    void skip_domain_loads();

private:
    // Estimated times for a request that is sent to an endpoint now.
    struct latency_estimate {
        // Time until the engine has completed the prefill that is pending before the request, according to reports; 0
        // for a plain service.
        double queue_ms { 0 };
        // Time until the first event or the answer, according to reports. Admission uses this value.
        double total_ms { 0 };
        // Time until the first event or the answer, with the estimated work that others have not reported yet. The
        // choice between endpoints uses this value. Admission does not: work that may have been sent is no reason to
        // refuse a caller.
        double likely_ms { 0 };
    };
    [[nodiscard]] latency_estimate estimate_latency(
        endpoint_state const& endpoint, choice_request const& request, token_count uncached_tokens) const;
    // An endpoint that may receive the request, and the prompt tokens that it has not cached.
    struct candidate {
        endpoint_state* endpoint { nullptr };
        token_count uncached_tokens { 0 };
        // The endpoint is ejected, and this request would probe it.
        bool is_probe { false };
    };
    // Returns the endpoints that may receive the request. The reference is valid until the next call.
    [[nodiscard]] std::vector<candidate> const& candidates_for(choice_request const& request, instant now);
    // Returns the KV tokens that a request needs. Parts that nearly all engines have cached are stored once for all
    // requests; each request stores the remaining prompt and its output.
    [[nodiscard]] static token_count kv_tokens_of(request_cost const& cost, std::vector<candidate> const& candidates);
    // Whether the endpoint has slots and KV capacity left within the request's limits.
    [[nodiscard]] bool has_capacity(endpoint_state const& endpoint, choice_request const& request) const;
    [[nodiscard]] double cost_of(
        candidate const& option, choice_request const& request, double expected_ms, std::uint64_t placement) const;
    [[nodiscard]] bool starts_in_time(latency_estimate const& expected, choice_request const& request) const;
    [[nodiscard]] pool_prefill_rate& pool_rate_of(pool_name const& pool);
    void update_scarcity(instant now);
    // Returns the prompt tokens that the engine is estimated to prefill before a request that is sent now, including
    // work that others have not reported yet.
    [[nodiscard]] token_count expected_pending_prefill(
        endpoint_state const& engine, unreported_work const& unreported) const;
    static void forget_failed(endpoint_state& endpoint, instant now);
    void record_sample(endpoint_state& endpoint, prefill_sample const& sample, instant now);
    void update_rate_priors();
    // Whether more than half of the endpoints that are not backing off are ejected. The fault may then lie elsewhere,
    // and all of them are used.
    [[nodiscard]] static bool ignores_ejection(std::vector<endpoint_state*> const& endpoints, instant now);

    failure_domain m_own_domain;
    region_map m_regions;
    // Hash of this router's name; makes its preferences differ from those of other routers.
    std::uint64_t m_self { 0 };
    dispatch_policy m_policy;
    // Endpoints by instance. An endpoint that restarted under the same name is a new instance; the previous one is kept
    // while attempts run there.
    std::unordered_map<endpoint_key, std::unique_ptr<endpoint_state>> m_endpoints;
    // For each name, the instance that is listed, or was listed last.
    std::unordered_map<endpoint_name, endpoint_state*> m_by_name;
    void add_to_pool(endpoint_state& state);
    void remove_from_pool(endpoint_state& state);
    void retain_announced_state(endpoint_state const& removed, instant now);
    void restore_announced_state(endpoint_state& state);
    void expire_announced_states(instant now);
    void forget_name(endpoint_state const& state);
    struct cold_pool {
        // The request rate that one endpoint of the pool sustains while it is cold; 0 means no bound.
        double per_second { 0 };
        // The duration for which an endpoint is cold after its start.
        milliseconds cold_time { 0 };
    };
    [[nodiscard]] cold_pool const& cold_pool_of(pool_name const& pool) const;
    // Whether the endpoint is cold and this router has used up its allowance for it.
    [[nodiscard]] bool is_cold_limited(endpoint_state& state, instant now);

    // Candidates of the last choice; kept so that a choice among thousands of endpoints does not allocate.
    std::vector<candidate> m_candidates;

    cold_share m_cold_share;
    std::unordered_map<pool_name, cold_pool> m_cold_pools;
    bool m_has_list { false };

    std::set<failure_domain> m_evacuated;
    // Endpoints of each pool that receive no new requests only because their failure domain is evacuated.
    std::unordered_map<pool_name, std::vector<endpoint_state*>> m_evacuated_endpoints;
    // Endpoints of each pool that may receive new requests. Invariant: none is draining, leaving, retired or in an
    // evacuated failure domain.
    std::unordered_map<pool_name, std::vector<endpoint_state*>> m_available;
    struct reported_work {
        report_origin origin { report_origin::elsewhere };
        std::unordered_map<endpoint_key, engine_work> by_endpoint;
        instant received_at {};
    };
    void replace_work(reported_work& reported, endpoint_key endpoint, engine_work const& work);

    // The work at each endpoint that each source of reports last reported.
    std::unordered_map<report_source, reported_work> m_reported_work;
    struct retained_state {
        announced_state announced;
        instant since {};
    };
    // Announced states of instances that are not listed now. Invariant: each is backing off or leaving.
    std::unordered_map<endpoint_key, retained_state> m_retained_states;
    // Instances that were backing off at the last check.
    std::vector<endpoint_key> m_backing_off;
    // The latest end of any back-off; after it, nothing needs to be searched.
    instant m_last_backoff_end {};
    // Moving average of the answer time of each pool of plain services.
    std::unordered_map<pool_name, double> m_service_time_ms;
    std::unordered_map<pool_name, pool_prefill_rate> m_pool_rates;
    std::unordered_map<pool_name, unreported_work> m_unreported;
    report_age m_report_age;
    // The scarcity of each pool of engines as of the last update or choice, from 0 to 1.
    std::unordered_map<pool_name, double> m_scarcity;
    struct engine_kind {
        std::uint32_t tokens_per_event { 1 };
        // KV cache capacity in tokens; 0 where the configuration does not state it.
        token_count kv_capacity { 0 };
    };
    // Pools of engines, from the configuration.
    std::unordered_map<pool_name, engine_kind> m_engines;
    // The configured throughput of all endpoints together, in weighted tokens; 0 means unknown.
    token_count m_tokens_per_second { 0 };
};

} // namespace shedhill::dispatch
