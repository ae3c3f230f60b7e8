// SPDX-License-Identifier: BSD-2-Clause
// The whole of an endpoint process's decisions. It is the authority for its endpoint: which slots are free, who gets
// them, which attempts ran, and from when on nothing new is taken.
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
        , m_announce_interval(m_settings.announce_least)
    {
    }

    // The parts refer to the settings, so a reducer stays where it is.
    endpoint_reducer(endpoint_reducer const&) = delete;
    endpoint_reducer& operator=(endpoint_reducer const&) = delete;

    effect_list reduce(event const& happened);

    [[nodiscard]] std::uint32_t free_slots() const;
    [[nodiscard]] std::size_t running_count() const { return m_running.size(); }
    [[nodiscard]] service_units given(account_id account) const { return m_board.total(account); }
    [[nodiscard]] std::size_t demand_count() const { return m_board.account_count(); }

private:
    struct attempt {
        connection_id connection {};
        request_number request {};
        attempt_number number {};
        account_id account {};
        chunk_sequence next_sequence {};
        instant started_at {};
        service_units charged {};
        bool is_model_call { true };
        bool is_repeatable { true };
        bool has_sent_head { false };
        std::uint16_t status { 0 };
        std::string content_type;
        // The router has given the attempt up: it is told nothing more.
        bool is_abandoned { false };
    };

    struct pending_grant {
        connection_id connection {};
        account_id account {};
        service_units charged {};
        instant granted_at {};
    };

    struct router_state {
        vm_name vm;
        // Attempts that were accepted, so that one that comes twice is run once and never called "not run".
        std::set<std::pair<request_number, attempt_number>> accepted;
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

    void take(connection_id from, wire::offer const& offered);
    void take(connection_id from, wire::run const& run);
    void take(connection_id from, wire::no_work const& none);
    void take(connection_id from, wire::cancel const& cancelled);

    void refuse_run(connection_id from, wire::run const& run, wire::reason why);
    void start(connection_id from, wire::run const& run);
    void give_back(grant_number number, pending_grant const& unused);
    void grant_free_slots();
    void announce_if_idle();
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
    instant m_engine_retry_at {};
    milliseconds m_engine_backoff { 0 };
    instant m_announced_at {};
    milliseconds m_announce_interval;

    // Of the present step only.
    instant m_now {};
    random_draw m_draw { 0 };
    effect_list m_effects;
};

} // namespace shedhill::endpoint
