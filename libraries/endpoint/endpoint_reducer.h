// SPDX-License-Identifier: BSD-2-Clause
// The reducer of an endpoint process: makes all its decisions, one event at a time. It is the authority on its
// endpoint's free slots, on the routers that they are granted to, on the attempts that ran, and on the start of a
// drain.
#pragma once

#include "libraries/endpoint/demand_board.h"
#include "libraries/endpoint/events.h"
#include "libraries/endpoint/revision_window.h"

#include <set>
#include <unordered_map>

namespace shedhill::endpoint {

class endpoint_reducer {
public:
    explicit endpoint_reducer(options settings)
        : m_settings(std::move(settings))
        , m_board(m_settings)
        , m_revisions(m_settings.revision_grace)
        , m_announce_interval(m_settings.min_announce_interval)
    {
    }

    // The members refer to the settings, so a reducer is neither copied nor moved.
    endpoint_reducer(endpoint_reducer const&) = delete;
    endpoint_reducer& operator=(endpoint_reducer const&) = delete;

    // Applies one event and returns the effects to execute in their order.
    effect_list reduce(event const& input);

    // Returns the slots that are neither granted nor running a request.
    [[nodiscard]] std::uint32_t free_slots() const;
    [[nodiscard]] std::size_t running_count() const { return m_running.size(); }
    // Returns the service that this endpoint has given to the account since the process started.
    [[nodiscard]] service_units service_total(account_id account) const { return m_board.total(account); }
    // Returns the number of accounts that are offered by a router.
    [[nodiscard]] std::size_t demand_count() const { return m_board.account_count(); }

private:
    // A request that runs at the engine or service.
    struct attempt {
        connection_id connection {};
        request_number request {};
        attempt_number number {};
        account_id account {};
        chunk_sequence next_sequence {};
        instant started_at {};
        // The service that is charged to the account for this attempt so far.
        service_units charged {};
        bool is_model_call { true };
        bool is_repeatable { true };
        bool has_sent_head { false };
        std::uint16_t status { 0 };
        std::string content_type;
        // Whether the router has cancelled the attempt or is disconnected. It receives no more messages about the
        // attempt.
        bool is_abandoned { false };
    };

    // A grant that its router has not used yet.
    struct pending_grant {
        connection_id connection {};
        account_id account {};
        service_units charged {};
        instant granted_at {};
    };

    struct router_state {
        vm_name vm;
        // The attempts that were accepted. A duplicate of one is ignored: it must neither run again nor be reported as
        // not run.
        std::set<std::pair<request_number, attempt_number>> accepted;
        // The same attempts in the order in which they were accepted; the oldest are removed first.
        std::deque<std::pair<request_number, attempt_number>> accepted_order;
    };

    void handle(connection_up const& up);
    void handle(connection_down const& down);
    void handle(message_received const& received);
    void handle(engine_head const& head);
    void handle(engine_data const& data);
    void handle(engine_ended const& ended);
    void handle(drain_requested const& requested);
    void handle(tick const& ticked);

    void handle_message(connection_id from, wire::offer const& offered);
    void handle_message(connection_id from, wire::run const& run);
    void handle_message(connection_id from, wire::no_work const& unused);
    void handle_message(connection_id from, wire::cancel const& cancelled);

    void refuse_run(connection_id from, wire::run const& run, wire::reason why);
    void start(connection_id from, wire::run const& run);
    // Ends a grant and reverts its charge.
    void release_grant(grant_number number, pending_grant const& unused);
    void grant_free_slots();
    // Announces the free slots to a few routers if there are any and no router has an offer.
    void announce_if_idle();
    // Sends the next part of the answer to the router. The first one carries the head.
    void send_chunk(attempt& running, std::string data, service_units service);
    void charge(attempt& running, service_units actual);
    void stop_if_drained();
    [[nodiscard]] wire::endpoint_state state() const;
    void send(connection_id to, wire::message message)
    {
        m_effects.emplace_back(send_message { to, std::move(message) });
    }
    void count(counter which) { m_effects.emplace_back(count_event { which }); }

    options m_settings;
    demand_board m_board;
    revision_window m_revisions;
    std::map<connection_id, router_state> m_routers;
    std::map<grant_number, pending_grant> m_grants;
    std::map<call_number, attempt> m_running;
    std::uint64_t m_last_grant { 0 };
    std::uint64_t m_last_call { 0 };
    bool m_is_draining { false };
    bool m_is_stopped { false };
    // No slots are granted before this time, after a call that did not reach the engine.
    instant m_engine_retry_at {};
    milliseconds m_engine_backoff { 0 };
    instant m_announced_at {};
    milliseconds m_announce_interval;

    // The state of the current step.
    instant m_now {};
    random_generator m_draw { 0 };
    effect_list m_effects;
};

} // namespace shedhill::endpoint
