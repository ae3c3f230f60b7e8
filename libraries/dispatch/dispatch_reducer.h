// SPDX-License-Identifier: BSD-2-Clause
// The whole of a router's decisions where endpoints have no process of ours beside them: the router itself keeps their
// places and queues. Takes one event after another and returns what to do. No clock, no input or output, no randomness
// but what comes with the event.
#pragma once

#include "libraries/dispatch/admission/admission_terms.h"
#include "libraries/dispatch/admission/fleet_retry_budget.h"
#include "libraries/dispatch/admission/overload_guard.h"
#include "libraries/dispatch/admission/team_ledger.h"
#include "libraries/dispatch/admission/told_usage.h"
#include "libraries/dispatch/effects.h"
#include "libraries/dispatch/endpoints/endpoint_board.h"
#include "libraries/dispatch/events.h"
#include "libraries/dispatch/policy.h"
#include "libraries/dispatch/route_table.h"
#include "libraries/dispatch/suspects/crash_suspects.h"

#include <list>
#include <unordered_map>

namespace shedhill::dispatch {

struct dispatch_options {
    vm_name vm;
    failure_domain domain;
    region_map regions;
    retry_bounds retries;
    cold_bounds cold;
    // Over which the teams' shares are kept.
    milliseconds share_window { 4000 };
    // A request that did not say how long it waits, on a route without a limit.
    milliseconds default_deadline { 15000 };
    dispatch_policy policy;
};

class dispatch_reducer {
public:
    explicit dispatch_reducer(dispatch_options options);

    effect_list reduce(event const& happened);

    [[nodiscard]] route_table const& routes() const { return m_routes; }
    [[nodiscard]] bool is_ready() const { return m_is_ready; }
    // The part of its time, or of its link if that is more, that this router uses, from 0 to 1.
    [[nodiscard]] double load_part() const { return m_overload.busy_part(); }
    [[nodiscard]] std::size_t active_requests() const { return m_requests.size(); }
    // How often an endpoint was looked for: the dearest thing a router does for a request that waits.
    [[nodiscard]] std::uint64_t choices() const { return m_choices; }
    [[nodiscard]] std::size_t waiting_requests() const { return m_waiting.size(); }
    [[nodiscard]] std::size_t cold_endpoints(instant now) const { return m_board.cold_endpoints(now); }
    [[nodiscard]] std::size_t listed_endpoints() const { return m_board.listed_endpoints(); }
    // Other routers that are heard, singly or in the sums of their failure domain.
    [[nodiscard]] std::size_t other_routers() const;
    [[nodiscard]] std::size_t evacuated_domains() const { return m_board.evacuated().size(); }
    [[nodiscard]] std::vector<engine_view> engines() const { return m_board.engines(); }
    [[nodiscard]] endpoint_board::occupancy occupancy_of(pool_name const& pool, instant now) const
    {
        return m_board.occupancy_of(pool, now);
    }
    [[nodiscard]] std::vector<held_endpoint> held_endpoints(instant now) const { return m_board.held_endpoints(now); }

    // Whether any request is suspected: only then the content of those that arrive is of use.
    [[nodiscard]] bool suspects_requests() const { return !m_suspects.is_empty(); }
    [[nodiscard]] crash_suspects const& suspects() const { return m_suspects; }

    // What the other routers are to know. The parts placed are those since the last call.
    [[nodiscard]] peer_reported take_own_report(report_scope scope, instant now);
    // What other failure domains are to know of this one. Tells the whole where none was told for a while.
    [[nodiscard]] peer_reported take_domain_report(report_scope scope, instant now);
    [[nodiscard]] std::vector<crash_record> crash_records(instant now) const { return m_suspects.all(now); }
    // Quarantines that this router is to keep beyond its life.
    [[nodiscard]] std::vector<crash_record> kept_quarantines(instant now) const { return m_suspects.kept(now); }
    [[nodiscard]] std::vector<part_placed> recent_parts(instant now) const { return m_board.recent_parts(now); }

private:
    enum class phase { waiting, running };

    struct active_request {
        std::string caller_id;
        team_name team;
        // Under which the team's service is counted.
        team_key account;
        pool_name pool;
        request_cost cost;
        // Copied from the route: a later configuration does not change a request under way.
        answer_form form { answer_form::whole };
        repetition repeat { repetition::never };
        milliseconds objective { 0 };
        milliseconds pause_objective { 0 };
        std::uint32_t priority { 0 };
        std::uint32_t most_attempts { 1 };
        region_bound regions;
        bool is_engine { false };
        instant arrived {};
        // Whichever is first, the caller's deadline or the route's limit.
        instant deadline {};
        bool ends_at_route_limit { false };

        phase at { phase::waiting };
        // Counts the attempts, also those of which nothing was sent.
        attempt_number attempt {};
        // Attempts that reached an endpoint.
        std::uint32_t arrivals { 0 };
        std::uint32_t failed_sends { 0 };
        std::vector<endpoint_name> tried;
        endpoint_name endpoint;
        endpoint_key start;
        instant sent_at {};
        double expected_ms { 0 };
        // At its endpoint, while it runs.
        engine_run run;
        // Up to when its first event was noted to be overdue.
        instant overdue_noted {};
        token_count charged { 0 };
        // What the last choice foresaw, for the log.
        endpoint_name last_choice;
        std::uint32_t last_running { 0 };
        token_count last_lost { 0 };
        std::uint32_t events_passed { 0 };
        bool has_answer_begun { false };
        // Since it arrived.
        milliseconds first_event_after { 0 };
        // An earlier attempt may have run: nothing can be called "not run" any more.
        bool may_have_run { false };
        // The attempt's endpoint turned it away and asked for rest.
        bool has_asked_for_rest { false };
        // Known from its arrival on where any request was suspected then, and from when an attempt of it broke off.
        std::optional<content_hash> content;
        // Of the attempt that runs.
        crash_stamp stamp;
        bool is_trial { false };
        // The endpoint's own failure is kept back, and would be the answer if no other attempt follows.
        bool is_failure_kept { false };
    };

    struct step_context {
        instant now {};
        std::uint64_t draw { 0 };
        effect_list effects;
    };

    void handle(request_arrived const& arrived, step_context& step);
    void handle(caller_left const& left, step_context& step);
    void handle(answer_began const& began, step_context& step);
    void handle(attempt_ended const& ended, step_context& step);
    void handle(attempt_stalled const& stalled, step_context& step);
    void handle(endpoint_told const& told, step_context& step);
    void handle(endpoint_probed const& probed, step_context& step);
    void handle(quarantines_read const& read, step_context& step);
    void handle(configuration_learned const& learned, step_context& step);
    void handle(domains_evacuated const& evacuated, step_context& step);
    void handle(endpoints_listed const& listed, step_context& step);
    void handle(routers_listed const& listed, step_context& step);
    void handle(peer_reported const& report, step_context& step);
    void handle(peer_lost const& lost, step_context& step);
    void handle(drain_requested const& requested, step_context& step);
    void handle(tick const& ticked, step_context& step);

    // Admission.
    // Whether this router is too far behind to take the request; another one may have time for it.
    [[nodiscard]] bool is_overloaded_for(active_request const& request, step_context const& step);
    void admit(request_number number, active_request request, step_context& step);
    bool try_to_send(request_number number, active_request& request, step_context& step);
    void send(request_number number, active_request& request, endpoint_choice const& chosen, step_context& step);
    // Lets in what may be let in by now, the team with the lowest level first, and refuses what has waited too long.
    void serve_waiting(step_context& step);
    // The same, unless many wait and it was done a moment ago.
    void serve_waiting_again(step_context& step);
    void end_of_wait(request_number number, active_request& request, step_context& step);
    // Why no endpoint takes the request: none is there, none stands where the request may be served, an operator holds
    // all of them back, all rest, or none has a place.
    [[nodiscard]] refusal_reason why_nowhere(active_request const& request, step_context const& step) const;
    // No endpoint can take it while it may wait.
    [[nodiscard]] bool is_in_vain(active_request const& request, step_context const& step);
    [[nodiscard]] endpoint_choice choose(active_request const& request, step_context const& step);
    [[nodiscard]] team_account account_of(active_request const& request, step_context const& step);
    [[nodiscard]] team_standing standing_of(active_request const& request, step_context const& step);
    [[nodiscard]] admission_terms terms_for(active_request const& request, step_context const& step);
    [[nodiscard]] milliseconds come_back_after(
        active_request const& request, refusal_reason reason, step_context const& step) const;

    // After an attempt.
    // What the end of an attempt tells of a plain service's endpoint.
    void note_plain_end(
        active_request const& request, attempt_end end, attempt_verdict verdict, step_context const& step);
    void leave_endpoint(active_request& request, attempt_verdict const* verdict, step_context& step);
    void settle_charge(active_request& request, step_context& step);
    void try_again_or_end(request_number number, active_request& request, attempt_end end, step_context& step);
    [[nodiscard]] refusal_reason why_not_again(active_request const& request, attempt_end end) const;
    // The endpoint's own failure is the answer.
    void pass_failure(request_number number, active_request& request, refusal_reason reason, step_context& step);
    void finish_failed(request_number number, active_request& request, refusal_reason reason, step_context& step);
    void refuse(request_number number, active_request& request, std::uint16_t status, refusal_reason reason,
        step_context& step);
    void refuse_unknown(
        request_arrived const& arrived, std::uint16_t status, refusal_reason reason, step_context& step);
    void end_at_deadline(request_number number, active_request& request, step_context& step);
    void forget(request_number number);

    // Requests that may crash endpoints.
    [[nodiscard]] static request_identity identity_of(active_request const& request);
    [[nodiscard]] suspicion suspicion_of(active_request const& request, step_context const& step) const;
    // By which a suspect chooses other endpoints than other suspects do; 0 where it has not crashed twice.
    [[nodiscard]] std::uint64_t spread_of(active_request const& request) const;
    void begin_trial(active_request& request, step_context const& step);
    void end_trial(active_request& request);
    void note_broken(active_request const& request, step_context const& step);
    void note_answered(active_request const& request, step_context& step);
    void take_crash_records(peer_reported const& report, step_context& step);
    void probe_broken_endpoints(step_context& step);
    // An attempt of this router that was sent there before then is under way still.
    [[nodiscard]] bool has_outlived(endpoint_key start, instant then) const;
    void quarantine(request_identity const& request, std::string_view source, step_context& step);

    [[nodiscard]] fleet_load load_of_fleet() const;
    [[nodiscard]] source_place place_of(peer_reported const& report) const;
    // Whether the report tells of routers that are counted already, in their failure domain's sums or as neighbours.
    [[nodiscard]] bool is_counted_already(peer_reported const& report) const;
    void forget_single_routers(failure_domain const& domain, step_context& step);
    void forget_silent_peers(step_context& step);
    void note_engine_began(active_request& request, endpoint_state& endpoint, step_context& step);
    // Engines whose first events are overdue show by that how slow they are.
    void note_overdue(instant now);
    void tell_pace_changes(step_context& step);
    void tell_ended_rests(step_context& step);
    // Ends the attempts at starts of endpoints that are followed by another start.
    void end_attempts_at_ended_starts(step_context& step);
    void note_placed(part_placed const& placed, step_context const& step);
    void note_evacuation(failure_domain const& domain, std::string_view event, step_context& step);
    void update_ready(step_context& step);
    void stop_if_drained(step_context& step);

    dispatch_options m_options;
    route_table m_routes;
    endpoint_board m_board;
    team_ledger m_ledger;
    fleet_retry_budget m_retries;
    std::unordered_map<request_number, active_request> m_requests;
    // Requests in phase waiting, in order of arrival.
    std::list<request_number> m_waiting;
    struct peer_state {
        instant heard_at {};
        report_subject subject { report_subject::router };
        failure_domain domain;
        std::uint32_t routers { 1 };
        std::uint32_t routers_aside { 0 };
        double busy_part { 0 };
    };
    // Invariant: no router is in it beside its whole failure domain.
    std::unordered_map<report_source, peer_state> m_peers;
    // Parts placed since they were last told, by this router and by its failure domain.
    std::vector<part_placed> m_placed;
    std::vector<part_placed> m_domain_placed;
    told_usage m_own_usage_told;
    told_usage m_domain_usage_told;
    instant m_domain_told_at {};
    instant m_deadlines_checked {};
    instant m_parts_checked {};
    instant m_shares_updated {};
    instant m_paces_told {};
    instant m_waiting_served {};
    overload_guard m_overload;
    crash_suspects m_suspects;
    std::uint64_t m_choices { 0 };
    bool m_has_list { false };
    bool m_is_ready { false };
    bool m_is_draining { false };
    bool m_is_stopped { false };
};

} // namespace shedhill::dispatch
