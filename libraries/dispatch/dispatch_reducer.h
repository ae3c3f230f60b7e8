// SPDX-License-Identifier: BSD-2-Clause
// Makes all decisions of a router for endpoints without a daemon of this project: the router itself accounts for their
// slots and queues. The reducer processes one event at a time and returns the effects. It does no input or output, and
// takes time and randomness only from the event.
#pragma once

#include "libraries/dispatch/admission/admission_terms.h"
#include "libraries/dispatch/admission/fleet_retry_budget.h"
#include "libraries/dispatch/admission/overload_guard.h"
#include "libraries/dispatch/admission/reported_usage.h"
#include "libraries/dispatch/admission/team_ledger.h"
#include "libraries/dispatch/effects.h"
#include "libraries/dispatch/endpoints/endpoint_board.h"
#include "libraries/dispatch/events.h"
#include "libraries/dispatch/policy.h"
#include "libraries/dispatch/route_table.h"
#include "libraries/dispatch/streams/pool_changes.h"
#include "libraries/dispatch/streams/stream_directory.h"
#include "libraries/dispatch/streams/version_history.h"
#include "libraries/dispatch/suspects/answered_parts.h"
#include "libraries/dispatch/suspects/crash_suspects.h"
#include "libraries/dispatch/suspects/failing_requests.h"
#include "libraries/dispatch/suspects/failing_teams.h"

#include <list>
#include <map>
#include <unordered_map>

namespace shedhill::dispatch {

struct dispatch_options {
    // The VM and the failure domain of this router.
    vm_name vm;
    failure_domain domain;
    region_map regions;
    retry_bounds retries;
    cold_bounds cold;
    // The window within which the teams' shares apply.
    milliseconds share_window { 4000 };
    // The deadline of a request without one of its own, and the time limit of a route without one.
    milliseconds default_deadline { 15000 };
    // The age up to which the list of endpoints is relied on, as the fleet's routers agree.
    milliseconds list_staleness_bound { 2000 };
    // Whether the records of streams are read from the store at the start.
    bool restores_streams { false };
    dispatch_policy policy;
};

class dispatch_reducer {
public:
    explicit dispatch_reducer(dispatch_options options);

    effect_list reduce(event incoming);

    [[nodiscard]] route_table const& routes() const { return m_routes; }
    [[nodiscard]] bool is_ready() const { return m_is_ready; }
    // The utilisation of this router's processor time or of its link, whichever is higher, from 0 to 1.
    [[nodiscard]] double load_fraction() const { return m_overload.busy_fraction(); }
    [[nodiscard]] std::size_t active_requests() const { return m_requests.size(); }
    // The number of searches for an endpoint: the most expensive operation on a waiting request.
    [[nodiscard]] std::uint64_t choices() const { return m_choices; }
    [[nodiscard]] std::size_t waiting_requests() const { return m_waiting.size(); }
    [[nodiscard]] std::size_t cold_endpoints(instant now) const { return m_board.cold_endpoints(now); }
    [[nodiscard]] std::size_t listed_endpoints() const { return m_board.listed_endpoints(); }
    // The number of other routers whose reports are current, single ones or within the sums of their failure domain.
    [[nodiscard]] std::size_t other_routers() const;
    [[nodiscard]] std::size_t evacuated_domains() const { return m_board.evacuated().size(); }
    [[nodiscard]] std::vector<engine_view> engines() const { return m_board.engines(); }
    [[nodiscard]] endpoint_board::occupancy occupancy_of(pool_name const& pool, instant now) const
    {
        return m_board.occupancy_of(pool, now);
    }
    [[nodiscard]] std::vector<held_endpoint> held_endpoints(instant now) const { return m_board.held_endpoints(now); }

    // Whether any request is suspected of crashing endpoints or of failing everywhere. Only then does the reducer need
    // the content hash of arriving and of answered requests.
    [[nodiscard]] bool suspects_requests() const { return !m_suspects.is_empty() || !m_failing.is_empty(); }
    [[nodiscard]] crash_suspects const& suspects() const { return m_suspects; }

    // Returns the report for the other routers, with the prompt parts sent since the last call.
    [[nodiscard]] peer_report take_own_report(report_scope scope, instant now);
    // Returns the report for other failure domains. It is whole if the last one was a second or more ago.
    [[nodiscard]] peer_report take_domain_report(report_scope scope, instant now);
    [[nodiscard]] std::vector<crash_record> crash_records(instant now) const { return m_suspects.all_records(now); }
    // Returns the quarantines that this router stores so that they outlive its process.
    [[nodiscard]] std::vector<crash_record> own_quarantines(instant now) const
    {
        return m_suspects.own_quarantines(now);
    }
    [[nodiscard]] std::vector<cached_part> recent_parts(instant now) const { return m_board.recent_parts(now); }
    // Adds to the report what a router that has just started needs to resume streams, with at most this many streams.
    void add_stream_history(peer_report& report, std::size_t max_streams, instant now) const;
    // Returns the software versions that this router stores, so that they outlive its process.
    [[nodiscard]] std::vector<stored_version> stored_versions(instant now) const { return m_versions.stored(now); }
    [[nodiscard]] std::size_t remembered_streams() const { return m_streams.size(); }
    // The records of streams, which one router of each failure domain stores so that they outlive all processes.
    [[nodiscard]] stream_directory const& streams() const { return m_streams; }

private:
    enum class phase { waiting, running };

    // An answer stage tells how far the answer of an attempt came.
    enum class answer_stage { none, begun, ended };

    struct attempt_outcome {
        attempt_end end { attempt_end::broken };
        attempt_verdict verdict { attempt_verdict::failed };
    };

    // A failed attempt of which it is not known yet whether its endpoint or the request is at fault.
    struct unsettled_failure {
        endpoint_key instance;
        attempt_verdict verdict { attempt_verdict::failed };
        // Only an answer that comes further than this shows that the endpoint is at fault.
        answer_stage stage { answer_stage::none };
        // The time at which the failure is settled without the evidence of another attempt.
        instant settled_by {};
    };

    // A suspected attribute of a request and its crash record when an attempt was sent.
    struct sent_attribute {
        request_identity identity;
        crash_stamp stamp;
        // Other attempts of requests with this attribute wait for this one.
        bool is_trial { false };
    };

    struct active_request {
        std::string caller_id;
        team_name team;
        // The key of the team's service account.
        team_key account;
        pool_name pool;
        request_cost cost;
        // These values are copied from the route, so that a later configuration does not change an active request.
        answer_form form { answer_form::whole };
        retry_mode retry { retry_mode::never };
        milliseconds objective { 0 };
        milliseconds pause_objective { 0 };
        std::uint32_t priority { 0 };
        std::uint32_t max_attempts { 1 };
        endpoint_constraints constraints;
        bool is_engine { false };
        instant arrived {};
        // This is the time for which the request waited before the router read it.
        milliseconds unread_time { 0 };
        // The caller's deadline or the route's time limit, whichever is first.
        instant deadline {};
        bool ends_at_route_limit { false };

        phase state { phase::waiting };
        // Counts all attempts, including those of which nothing was sent.
        attempt_number attempt {};
        // The number of attempts that reached an endpoint.
        std::uint32_t reached_endpoints { 0 };
        std::uint32_t failed_sends { 0 };
        std::vector<endpoint_name> tried_endpoints;
        // The endpoint of the running or last attempt.
        endpoint_name endpoint;
        endpoint_key instance;
        software_key software;
        instant sent_at {};
        double expected_ms { 0 };
        // The work of the running attempt at its endpoint.
        engine_run run;
        // The time up to which the delay of its first event was recorded.
        instant overdue_counted_until {};
        token_count charged { 0 };
        // The endpoint of the last choice and its state, for the log.
        endpoint_name last_choice;
        std::uint32_t last_running { 0 };
        token_count last_redundant_prefill { 0 };
        std::uint32_t events_forwarded { 0 };
        bool has_answer_begun { false };
        // No other endpoint can continue the answer that has begun.
        bool is_answer_bound { false };
        // The time from its arrival to its first event.
        milliseconds first_event_after { 0 };
        // An earlier attempt may have run, so a refusal no longer promises that the request did not run.
        bool may_have_run { false };
        // The endpoint of the running attempt requested a back-off.
        bool has_requested_backoff { false };
        // Set if the caller resumes a stream.
        std::optional<stream_resumption> resumption;
        // The route divides its requests among several pools.
        bool is_split { false };
        // The stream that the request begins or resumes is in the directory.
        bool is_recorded { false };
        // The request resumes a recorded stream. Its team was charged for the stream before, and only the endpoints of
        // one version can serve it, so it precedes requests that any endpoint can serve.
        bool precedes_others { false };
        // Set at its arrival if any request was suspected then, and otherwise when one of its attempts breaks off.
        std::optional<content_hash> content;
        // The suspected attributes of the request when the running attempt was sent.
        std::vector<sent_attribute> suspected;
        // The endpoint's failure is withheld. It becomes the answer if no other attempt follows.
        bool is_failure_withheld { false };
        // Failures of earlier attempts that the next attempt settles.
        std::vector<unsettled_failure> unsettled;
    };

    struct step_context {
        instant now {};
        std::uint64_t draw { 0 };
        effect_list effects;
    };

    // A router that has not reported its failure domain for this long sends a whole report.
    static constexpr milliseconds max_domain_report_gap { 1000 };

    void handle(request_arrived const& arrived, step_context& step);
    void handle(caller_left const& left, step_context& step);
    void handle(answer_began const& began, step_context& step);
    void handle(attempt_ended const& ended, step_context& step);
    void handle(attempt_stalled const& stalled, step_context& step);
    void handle(endpoint_notice_received const& received, step_context& step);
    void handle(endpoint_probed const& probed, step_context& step);
    void handle(quarantines_loaded const& loaded, step_context& step);
    void handle(versions_restored const& restored, step_context& step);
    void handle(streams_restored const& restored, step_context& step);
    void handle(configuration_received& received, step_context& step);
    void handle(domains_evacuated const& evacuated, step_context& step);
    void handle(endpoints_listed const& listed, step_context& step);
    void handle(routers_listed const& listed, step_context& step);
    void handle(peer_report const& report, step_context& step);
    void handle(peer_lost const& lost, step_context& step);
    void handle(drain_requested const& requested, step_context& step);
    void handle(drain_expired const& expired, step_context& step);
    void handle(tick const& ticked, step_context& step);

    // Admission.
    // Whether this router is too overloaded to admit the request; another router may have capacity for it.
    [[nodiscard]] bool is_overloaded_for(active_request const& request, step_context const& step);
    void admit(request_number number, active_request request, step_context& step);
    bool try_to_send(request_number number, active_request& request, step_context& step);
    void send(request_number number, active_request& request, endpoint_choice const& chosen, step_context& step);
    // Sends the waiting requests that may be admitted now, in the order of their priority and their team's level, and
    // refuses those that have waited too long.
    void serve_waiting(step_context& step);
    // Calls serve_waiting(), unless more than a few requests wait and the last call was a few milliseconds ago.
    void serve_waiting_throttled(step_context& step);
    void end_wait(request_number number, active_request& request, step_context& step);
    // Returns why no endpoint accepts the request: it awaits a trial or is quarantined, the pool has no endpoints, none
    // in an allowed region, all are evacuated, all back off, or none has a free slot.
    [[nodiscard]] refusal_reason reason_for_no_endpoint(active_request const& request, step_context const& step) const;
    // Whether no endpoint can accept the request within its maximum wait.
    [[nodiscard]] bool cannot_be_served(active_request const& request, step_context const& step);
    [[nodiscard]] endpoint_choice choose(active_request const& request, step_context const& step);
    // Lets a request that has failed, or whose team's requests have, go to other endpoints than before, so that its
    // outcomes at several endpoints can be compared.
    void use_for_comparison(active_request const& request, choice_request& choice, step_context const& step) const;
    [[nodiscard]] team_account account_of(active_request const& request, step_context const& step);
    [[nodiscard]] share_status share_status_of(active_request const& request, step_context const& step);
    [[nodiscard]] admission_terms terms_for(active_request const& request, step_context const& step);
    [[nodiscard]] milliseconds retry_delay_for(
        active_request const& request, refusal_reason reason, step_context const& step) const;

    // After an attempt.
    // Updates the concurrency limit of a plain service's endpoint by the end of an attempt.
    void record_plain_service_end(
        active_request const& request, attempt_end end, attempt_verdict verdict, step_context const& step);
    // Removes the attempt's work from its endpoint and records its outcome. The outcome is null if the end says nothing
    // about the endpoint.
    void end_attempt(active_request& request, attempt_outcome const* outcome, step_context& step);
    // Replaces the expected cost that the team was charged by the cost of the tokens that were forwarded.
    void settle_charge(active_request& request, step_context& step);
    void retry_or_end(request_number number, active_request& request, attempt_end end, step_context& step);
    // Returns none if the request may be sent again after this end of its attempt.
    [[nodiscard]] refusal_reason reason_against_retry(active_request const& request, attempt_end end) const;
    // Forwards the endpoint's failure as the answer.
    void forward_failure(request_number number, active_request& request, refusal_reason reason, step_context& step);
    // Aborts the answer if a part of it was forwarded, and refuses the request otherwise.
    void end_failed(request_number number, active_request& request, refusal_reason reason, step_context& step);
    void refuse(request_number number, active_request& request, std::uint16_t status, refusal_reason reason,
        step_context& step);
    void refuse_unrouted(
        request_arrived const& arrived, std::uint16_t status, refusal_reason reason, step_context& step);
    void end_at_deadline(request_number number, active_request& request, step_context& step);
    // Ends a request that has no time left: cancels its attempt and answers as what is known of it allows.
    void end_unanswered(request_number number, active_request& request, refusal_reason reason, step_context& step);
    // Removes the request and settles its failures, since no other attempt follows.
    void remove_request(request_number number, step_context& step);

    // Whether a failure is the endpoint's or the request's.
    void record_verdict(active_request& request, endpoint_state& endpoint, attempt_outcome outcome, step_context& step);
    // Records the outcome for the endpoint's health, with the probability that the request fails elsewhere.
    void record_outcome(active_request const& request, endpoint_state& endpoint, attempt_verdict verdict,
        double expected_failure, step_context& step);
    [[nodiscard]] static team_requests team_requests_of(active_request const& request);
    [[nodiscard]] double expected_failure_of(active_request const& request, endpoint_key instance) const;
    // Whether the request has failed in the same way at another endpoint, so that its failures are its own fault. Then
    // its unsettled failures are settled, too.
    [[nodiscard]] bool is_failure_explained(active_request& request, attempt_verdict verdict, step_context& step);
    // Withdraws failures of the request that were held against endpoints before it failed elsewhere, too.
    void withdraw_failures(active_request const& request);
    void forget_failures(active_request const& request);
    // Holds the unsettled failures whose attempts came less far than this against their endpoints.
    void blame_endpoints(active_request& request, answer_stage reached, step_context& step);
    void blame_endpoint(
        active_request const& request, unsettled_failure const& failure, double expected_failure, step_context& step);
    // Holds a failure against its endpoint that no other attempt has shown to be the endpoint's fault.
    void blame_without_proof(active_request const& request, unsettled_failure const& failure, step_context& step);
    // Settles failures that no other attempt of the same request can settle, by what is remembered of the request.
    void settle_without_answer(active_request& request, step_context& step);
    void settle_without_answer(active_request const& request, unsettled_failure const& failure, step_context& step);
    void settle_overdue_failures(step_context& step);
    // Records a failure that the request caused: it says nothing about the endpoint.
    void record_request_fault(
        active_request const& request, endpoint_key instance, attempt_verdict verdict, step_context& step);

    // Streams that callers resume.
    [[nodiscard]] static stream_key stream_of(active_request const& request);
    // Admits a request that resumes a stream, or refuses it at once if no router can know the stream's version.
    // Otherwise the request awaits the next reports of the other routers.
    void admit_resumption(request_number number, active_request request, route const& served_by, step_context& step);
    // Admits the requests whose streams have become known, and refuses those that have waited too long.
    // Returns whether the stored records of streams, which are read at the start, may still arrive.
    [[nodiscard]] bool awaits_stored_streams(instant now);
    void admit_awaited_resumptions(step_context& step);
    // Binds the request to the version that began the stream, in whichever of the route's pools has it, and counts how
    // the version is known. Returns the reason if the request is to be refused.
    [[nodiscard]] refusal_reason bind_to_version(active_request& request, route const& served_by, step_context& step);
    // Returns the only version at which streams of the route can have begun, if this router can tell.
    [[nodiscard]] std::optional<software_key> only_version_of(route const& served_by, instant now) const;
    // Whether the list of endpoints is so recent that no other router can have begun a stream at a version that it
    // lacks.
    [[nodiscard]] bool has_recent_list(instant now) const;
    // Records the request's stream, which has begun, unless every router can tell its version without a record.
    void record_stream(active_request& request, instant now);
    void record_running_streams(instant now);
    void apply_stream_records(peer_report const& report, instant now);
    // Keeps the record for the next report of the failure domain if this router makes these reports.
    void report_to_domains(stream_record const& record, instant now);
    // Returns the newest records for the report of the failure domain, as many as all domains may send.
    [[nodiscard]] std::vector<stream_record> take_domain_streams();
    void update_stream_lifetime();
    void record_list_age(milliseconds age, instant now);
    // Whether this router has read nothing for a while, up to now.
    [[nodiscard]] bool has_paused(instant now) const;
    // Whether requests wait for a newer list of endpoints. After a pause, endpoints may have left that the list of
    // before the pause contains, and the newer list may arrive after the requests that waited meanwhile.
    [[nodiscard]] bool awaits_list(instant now) const;

    // Requests that may crash endpoints.
    [[nodiscard]] static request_identity identity_of(active_request const& request);
    [[nodiscard]] suspicion suspicion_of(active_request const& request, step_context const& step) const;
    struct suspected_attribute {
        request_identity identity;
        std::uint8_t crashes { 0 };
        // The id of the prompt part that the identity stands for; 0 if it stands for the whole content.
        std::uint64_t part { 0 };
    };
    // Returns the attribute of the request that most endpoints have crashed under in a row.
    [[nodiscard]] suspected_attribute most_suspected(active_request const& request) const;
    [[nodiscard]] bool has_attribute(active_request const& request, request_identity const& identity) const;
    // Returns the time until none of the request's attributes is in quarantine any more.
    [[nodiscard]] milliseconds quarantine_left(active_request const& request, instant now) const;
    // Returns the attributes that an attempt's end may be held against: the content, and the shared prompt parts that
    // no answer speaks for.
    [[nodiscard]] std::vector<request_identity> blamable_attributes(active_request const& request, instant now) const;
    // Returns the key by which a suspect prefers other endpoints than other suspects do; 0 below two crashes.
    [[nodiscard]] std::uint64_t suspect_key_of(active_request const& request) const;
    void begin_trial(active_request& request, step_context const& step);
    void end_trial(active_request& request);
    // Tells the suspects which failure domains have routers, after the peers have changed.
    void update_domain_ranks();
    // Returns the endpoint whose port shows whether the attempt ended because it crashed; empty if nothing can be
    // inferred from its port.
    [[nodiscard]] std::optional<broken_endpoint> endpoint_to_probe(active_request const& request);
    // Returns what the end of the running attempt shows about each attribute that may be blamed for it.
    [[nodiscard]] std::vector<broken_attempt> evidence_of(
        active_request const& request, step_context const& step) const;
    void record_broken_attempt(active_request const& request, step_context const& step);
    // Records an attempt whose answer was forwarded, but may have ended because its endpoint crashed.
    void record_closed_attempt(active_request const& request, step_context const& step);
    void record_answer(active_request const& request, std::uint16_t status, step_context& step);
    // Records that an attribute was answered, which clears it.
    void clear_attribute(request_identity const& identity, std::string_view caller_id, step_context& step);
    void apply_crash_records(peer_report const& report, step_context& step);
    void probe_broken_endpoints(step_context& step);
    // Whether an attempt that this router sent to the instance before that time is still running.
    [[nodiscard]] bool has_outlived(endpoint_key instance, instant then) const;
    void quarantine(request_identity const& request, std::string_view source, step_context& step);

    [[nodiscard]] fleet_load load_of_fleet() const;
    // Returns own_domain for a report that a router of this failure domain makes about itself, elsewhere for all
    // others.
    [[nodiscard]] report_origin origin_of(peer_report const& report) const;
    // Whether the report describes routers that are already counted: a router within the sums of its failure domain, or
    // this router's own failure domain, whose routers report singly.
    [[nodiscard]] bool is_already_counted(peer_report const& report) const;
    // Removes the reports of single routers of the failure domain, whose sums replace them.
    void remove_router_sources(failure_domain const& domain, step_context& step);
    void remove_silent_peers(step_context& step);
    // Records that the caller has received a part of the answer, to which only the same software can add.
    void record_answer_begun(active_request& request, instant now);
    void record_first_event(active_request& request, endpoint_state& endpoint, step_context& step);
    // Records the delay of overdue first events, which shows that their engines are slow.
    void update_overdue(instant now);
    void log_rate_changes(step_context& step);
    void log_ended_backoffs(step_context& step);
    // Ends the attempts at instances that another instance of the same endpoint has replaced.
    void end_attempts_at_replaced_instances(step_context& step);
    // Records that the endpoint caches the part, and adds it to the next report unless it was reported recently.
    void record_sent_part(cached_part const& sent, step_context const& step);
    void log_evacuation(failure_domain const& domain, std::string_view event, step_context& step);
    void update_ready(step_context& step);
    void stop_if_drained(step_context& step);

    dispatch_options m_options;
    route_table m_routes;
    endpoint_board m_board;
    team_ledger m_ledger;
    fleet_retry_budget m_retries;
    std::unordered_map<request_number, active_request> m_requests;
    // The requests in phase waiting, in the order in which they started to wait.
    std::list<request_number> m_waiting;
    struct peer_state {
        instant last_received_at {};
        report_subject subject { report_subject::router };
        failure_domain domain;
        std::uint32_t routers { 1 };
        std::uint32_t overloaded_routers { 0 };
        double busy_fraction { 0 };
    };
    // Invariant: contains no router whose whole failure domain it contains.
    std::unordered_map<report_source, peer_state> m_peers;
    // The prompt parts sent since the last report, by this router and by its failure domain.
    std::vector<cached_part> m_sent_parts;
    std::vector<cached_part> m_domain_sent_parts;
    reported_usage m_reported_own_usage;
    reported_usage m_reported_domain_usage;
    instant m_domain_reported_at {};
    instant m_deadlines_checked_at {};
    instant m_parts_checked_at {};
    instant m_shares_updated_at {};
    instant m_rates_logged_at {};
    instant m_waiting_served_at {};
    overload_guard m_overload;
    version_history m_versions;
    pool_changes m_pool_changes;
    stream_directory m_streams;
    // The stored records of streams were read.
    bool m_has_restored_streams { false };
    // The time of the first tick or resumption.
    instant m_started_at {};
    // A request that resumes a stream of unknown version, until another router reports the stream.
    struct awaited_version {
        route served_by;
        instant until {};
    };
    std::map<request_number, awaited_version> m_awaited_versions;
    // The streams recorded since the last report of this router, and of its failure domain.
    std::vector<stream_record> m_unreported_streams;
    std::vector<stream_record> m_unreported_domain_streams;
    instant m_list_confirmed_at {};
    instant m_ticked_at {};
    // The end of the time in which the process may read what arrived while it was paused.
    instant m_paused_until {};
    // The end of the time for which requests wait for a newer list after a pause.
    instant m_awaits_list_until {};
    // Whether the list was recent since the last such wait. A router that is paused again and again while the store is
    // away serves its requests by the list that it has.
    bool m_may_await_list { false };
    crash_suspects m_suspects;
    answered_parts m_answered_parts;
    failing_requests m_failing;
    failing_teams m_failing_teams;
    // The number of unsettled failures of all active requests.
    std::size_t m_unsettled_failures { 0 };
    std::uint64_t m_choices { 0 };
    bool m_has_list { false };
    bool m_is_ready { false };
    bool m_is_draining { false };
    bool m_is_stopped { false };
};

} // namespace shedhill::dispatch
