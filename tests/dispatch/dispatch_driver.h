// SPDX-License-Identifier: BSD-2-Clause
// Drives a dispatcher in virtual time and records the effects that it produces.
#pragma once

#include "libraries/dispatch/dispatch_reducer.h"

#include <algorithm>
#include <optional>
#include <string>
#include <vector>

namespace shedhill::dispatch {

class dispatch_driver {
public:
    dispatch_driver()
        : m_reducer(options())
    {
    }

    static dispatch_options options()
    {
        dispatch_options result;
        result.vm = vm_name("router-a");
        result.domain = failure_domain("north");
        result.retries = { 0.2, milliseconds(10000), 50, 1 };
        return result;
    }

    // Returns a configuration with a model pool, a plain pool, a route for each retry mode and answer form in use, and
    // two teams. Streams under /resumable/ are resumed and those under /once/ are never repeated; at the plain pool,
    // requests under /order/ are never repeated and those under /look/ are.
    static configuration usual_configuration(std::uint64_t revision = 1)
    {
        configuration result;
        result.revision = revision;
        result.has_teams = true;
        result.teams = { { team_name("red"), { "red-key" }, {} }, { team_name("blue"), { "blue-key" }, {} } };
        result.pools = { { pool_name("model"), 100, 4, 1000000, 6 }, { pool_name("plain"), 100, 0, 0, 1 } };
        result.limits.tokens_per_second = 10000;
        result.routes = { make_route("/resumable/", answer_form::stream, retry_mode::resumable, "model"),
            make_route("/once/", answer_form::stream, retry_mode::never, "model"),
            make_route("/order/", answer_form::whole, retry_mode::never, "plain"),
            make_route("/look/", answer_form::whole, retry_mode::whole, "plain") };
        return result;
    }

    static route make_route(std::string prefix, answer_form form, retry_mode retry, std::string pool)
    {
        route result;
        result.name = prefix;
        result.host = "host";
        result.path_prefix = std::move(prefix);
        result.form = form;
        result.retry = retry;
        result.time_limit = milliseconds(5000);
        result.objective = milliseconds(400);
        result.pause_objective = milliseconds(200);
        result.max_attempts = 2;
        result.pools = { { pool_name(std::move(pool)), 1 } };
        return result;
    }

    static endpoint_entry make_endpoint(std::string const& name, std::string const& pool, std::uint32_t slots = 4)
    {
        return { endpoint_name(name), "address-of-" + name, pool_name(pool), failure_domain("north"), slots, false };
    }

    // Delivers the usual configuration and the list of endpoints, and waits until the shares have their full size.
    void start(std::vector<endpoint_entry> endpoints)
    {
        deliver(configuration_received { usual_configuration() });
        deliver(endpoints_listed { std::move(endpoints) });
        // After a whole window the sums of the teams are complete.
        constexpr milliseconds window { 4000 };
        wait(window);
    }

    // Passes the event to the dispatcher and records the effects.
    effect_list deliver(event_body body)
    {
        auto effects = m_reducer.reduce({ m_now, m_random_draw += draw_step, std::move(body) });
        for (auto const& effect : effects)
            record(effect);
        return effects;
    }

    // Delivers a caller's request with the API key of a team and a prompt of this number of tokens.
    request_number ask(std::string path, std::string key = "red-key", token_count prompt = 100)
    {
        return deliver_request(std::move(path), std::move(key), prompt, std::nullopt);
    }

    // Delivers a request with this content, and ends its latest attempt, as the relay does where it hashes requests.
    request_number ask_with_content(std::string path, content_hash content)
    {
        return deliver_request(std::move(path), "red-key", 100, content);
    }
    void end_with_content(request_number request, attempt_end how, std::uint16_t status, content_hash content)
    {
        deliver(attempt_ended { request, sent_for(request).back().attempt, how, status, 0, false, content });
    }

private:
    request_number deliver_request(
        std::string path, std::string key, token_count prompt, std::optional<content_hash> content)
    {
        request_arrived arrived;
        arrived.content = content;
        arrived.request = request_number(++m_last_request);
        arrived.caller_id = "id-" + std::to_string(m_last_request);
        arrived.host = "host";
        arrived.path = std::move(path);
        arrived.key = std::move(key);
        arrived.cost.prompt = prompt;
        arrived.cost.generated = 50;
        arrived.cost.parts = { { 7, prompt / 2 }, { 1000 + m_last_request, prompt - prompt / 2 } };
        arrived.time_left = milliseconds(4000);
        auto const number = arrived.request;
        deliver(std::move(arrived));
        return number;
    }

public:
    // Ends the latest attempt of the request; `has_begun` tells whether its answer had begun.
    void end(request_number request, attempt_end how, std::uint16_t status = 0, bool has_begun = false)
    {
        auto const sent = sent_for(request).back();
        deliver(attempt_ended { request, sent.attempt, how, status, 0, has_begun });
    }

    // Begins the answer of the request's latest attempt.
    void begin(request_number request) { deliver(answer_began { request, sent_for(request).back().attempt }); }

    // Sends a request and lets the engine prefill the whole prompt, so that it has no pending prefill afterwards.
    request_number ask_and_prefill(std::string path, std::string key, token_count prompt)
    {
        constexpr milliseconds max_prefill_time { 600 };
        auto const request = ask(std::move(path), std::move(key), prompt);
        wait(max_prefill_time);
        begin(request);
        return request;
    }

    // Advances the time, with a tick every ten milliseconds.
    void wait(milliseconds time)
    {
        for (auto const until = m_now + time; m_now < until;) {
            m_now += milliseconds(10);
            deliver(tick {});
        }
    }

    // Advances the time without a tick, as for a process that is paused.
    void pause(milliseconds time) { m_now += time; }

    [[nodiscard]] std::vector<send_attempt> sent_for(request_number request) const
    {
        std::vector<send_attempt> found;
        for (auto const& sent : m_sent) {
            if (sent.request == request)
                found.push_back(sent);
        }
        return found;
    }

    [[nodiscard]] std::optional<answer_refusal> refusal_of(request_number request) const
    {
        for (auto const& refused : m_refused) {
            if (refused.request == request)
                return refused;
        }
        return std::nullopt;
    }

    [[nodiscard]] bool is_aborted(request_number request) const
    {
        return std::ranges::any_of(m_aborted, [&](auto const& aborted) { return aborted.request == request; });
    }

    [[nodiscard]] bool is_forwarded(request_number request) const
    {
        return std::ranges::any_of(m_forwarded, [&](auto const& forwarded) { return forwarded.request == request; });
    }

    [[nodiscard]] bool is_cancelled(request_number request) const
    {
        return std::ranges::any_of(m_cancelled, [&](auto const& cancelled) { return cancelled.request == request; });
    }

    [[nodiscard]] std::string const& log() const { return m_log; }
    [[nodiscard]] dispatch_reducer& reducer() { return m_reducer; }
    [[nodiscard]] std::vector<send_attempt> const& sent() const { return m_sent; }
    [[nodiscard]] std::vector<answer_refusal> const& refused() const { return m_refused; }
    [[nodiscard]] std::vector<abort_answer> const& aborted() const { return m_aborted; }
    [[nodiscard]] std::vector<cancel_attempt> const& cancelled() const { return m_cancelled; }
    [[nodiscard]] std::vector<forward_answer> const& forwarded() const { return m_forwarded; }
    [[nodiscard]] std::vector<probe_endpoint> const& probes() const { return m_probes; }
    [[nodiscard]] bool has_stopped() const { return m_has_stopped; }
    [[nodiscard]] instant now() const { return m_now; }

private:
    void record(effect const& produced)
    {
        if (auto const* sent = std::get_if<send_attempt>(&produced))
            m_sent.push_back(*sent);
        else if (auto const* refused = std::get_if<answer_refusal>(&produced))
            m_refused.push_back(*refused);
        else if (auto const* aborted = std::get_if<abort_answer>(&produced))
            m_aborted.push_back(*aborted);
        else if (auto const* cancelled = std::get_if<cancel_attempt>(&produced))
            m_cancelled.push_back(*cancelled);
        else if (auto const* forwarded = std::get_if<forward_answer>(&produced))
            m_forwarded.push_back(*forwarded);
        else if (std::holds_alternative<stop_process>(produced))
            m_has_stopped = true;
        else if (auto const* probe = std::get_if<probe_endpoint>(&produced))
            m_probes.push_back(*probe);
        else if (auto const* line = std::get_if<log_line>(&produced))
            m_log += line->event + " " + line->fields + "\n";
    }

    dispatch_reducer m_reducer;
    instant m_now { milliseconds(1000) };
    // Increment that spreads consecutive draws over all 64-bit numbers.
    static constexpr std::uint64_t draw_step = 0x9E3779B97F4A7C15U;
    std::uint64_t m_random_draw { 1 };
    std::uint64_t m_last_request { 0 };
    std::vector<send_attempt> m_sent;
    std::vector<answer_refusal> m_refused;
    std::vector<abort_answer> m_aborted;
    std::vector<forward_answer> m_forwarded;
    std::vector<cancel_attempt> m_cancelled;
    std::vector<probe_endpoint> m_probes;
    std::string m_log;
    bool m_has_stopped { false };
};

} // namespace shedhill::dispatch
