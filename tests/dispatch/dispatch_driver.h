// SPDX-License-Identifier: BSD-2-Clause
// Drives a dispatcher on virtual time and keeps what it did.
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
        dispatch_options made;
        made.vm = vm_name("router-a");
        made.domain = failure_domain("north");
        made.retries = { 0.2, milliseconds(10000), 50, 1 };
        return made;
    }

    // A model pool and a plain one, a route of each kind of repetition, two teams.
    static configuration usual_configuration(std::uint64_t revision = 1)
    {
        configuration made;
        made.revision = revision;
        made.has_teams = true;
        made.teams = { { team_name("red"), { "red-key" }, {} }, { team_name("blue"), { "blue-key" }, {} } };
        made.pools = { { pool_name("model"), 100, 4, 1000000, 6 }, { pool_name("plain"), 100, 0, 0, 1 } };
        made.limits.tokens_per_second = 10000;
        made.routes = { make_route("/resumable/", answer_form::stream, retry_mode::resumable, "model"),
            make_route("/once/", answer_form::stream, retry_mode::never, "model"),
            make_route("/order/", answer_form::whole, retry_mode::never, "plain"),
            make_route("/look/", answer_form::whole, retry_mode::whole, "plain") };
        return made;
    }

    static route make_route(std::string prefix, answer_form form, retry_mode repeat, std::string pool)
    {
        route made;
        made.name = prefix;
        made.host = "host";
        made.path_prefix = std::move(prefix);
        made.form = form;
        made.retry = repeat;
        made.time_limit = milliseconds(5000);
        made.objective = milliseconds(400);
        made.pause_objective = milliseconds(200);
        made.max_attempts = 2;
        made.pools = { { pool_name(std::move(pool)), 1 } };
        return made;
    }

    static endpoint_entry make_endpoint(std::string const& name, std::string const& pool, std::uint32_t slots = 4)
    {
        return { endpoint_name(name), "address-of-" + name, pool_name(pool), failure_domain("north"), slots, false };
    }

    void start(std::vector<endpoint_entry> endpoints)
    {
        take(configuration_received { usual_configuration() });
        take(endpoints_listed { std::move(endpoints) });
        // Teams' sums are known for a whole window then, so that shares are whole.
        constexpr milliseconds window { 4000 };
        wait(window);
    }

    effect_list take(event_body body)
    {
        auto effects = m_reducer.reduce({ m_now, m_draw += draw_step, std::move(body) });
        for (auto const& effect : effects)
            keep(effect);
        return effects;
    }

    request_number ask(std::string path, std::string key = "red-key", token_count prompt = 100)
    {
        request_arrived arrived;
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
        take(std::move(arrived));
        return number;
    }

    void end(request_number request, attempt_end how, std::uint16_t status = 0, bool has_begun = false)
    {
        auto const sent = sent_for(request).back();
        take(attempt_ended { request, sent.attempt, how, status, 0, has_begun });
    }

    void begin(request_number request) { take(answer_began { request, sent_for(request).back().attempt }); }

    // Asks, and lets the engine read the whole prompt: it has nothing left to read then.
    request_number ask_and_read(std::string path, std::string key, token_count prompt)
    {
        constexpr milliseconds longest_reading { 600 };
        auto const request = ask(std::move(path), std::move(key), prompt);
        wait(longest_reading);
        begin(request);
        return request;
    }

    // Lets time pass, with a tick each ten milliseconds.
    void wait(milliseconds time)
    {
        for (auto const until = m_now + time; m_now < until;) {
            m_now += milliseconds(10);
            take(tick {});
        }
    }

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

    [[nodiscard]] bool is_broken_off(request_number request) const
    {
        return std::ranges::any_of(m_broken, [&](auto const& broken) { return broken.request == request; });
    }

    [[nodiscard]] bool is_passed_on(request_number request) const
    {
        return std::ranges::any_of(m_passed, [&](auto const& passed) { return passed.request == request; });
    }

    [[nodiscard]] bool is_cancelled(request_number request) const
    {
        return std::ranges::any_of(m_cancelled, [&](auto const& cancelled) { return cancelled.request == request; });
    }

    [[nodiscard]] std::string const& log() const { return m_log; }
    [[nodiscard]] dispatch_reducer& reducer() { return m_reducer; }
    [[nodiscard]] std::vector<send_attempt> const& sent() const { return m_sent; }
    [[nodiscard]] std::vector<answer_refusal> const& refused() const { return m_refused; }
    [[nodiscard]] std::vector<abort_answer> const& broken() const { return m_broken; }
    [[nodiscard]] std::vector<cancel_attempt> const& cancelled() const { return m_cancelled; }
    [[nodiscard]] std::vector<forward_answer> const& passed() const { return m_passed; }
    [[nodiscard]] std::vector<probe_endpoint> const& probes() const { return m_probes; }
    [[nodiscard]] bool has_stopped() const { return m_has_stopped; }
    [[nodiscard]] instant now() const { return m_now; }

private:
    void keep(effect const& done)
    {
        if (auto const* sent = std::get_if<send_attempt>(&done))
            m_sent.push_back(*sent);
        else if (auto const* refused = std::get_if<answer_refusal>(&done))
            m_refused.push_back(*refused);
        else if (auto const* broken = std::get_if<abort_answer>(&done))
            m_broken.push_back(*broken);
        else if (auto const* cancelled = std::get_if<cancel_attempt>(&done))
            m_cancelled.push_back(*cancelled);
        else if (auto const* passed = std::get_if<forward_answer>(&done))
            m_passed.push_back(*passed);
        else if (std::holds_alternative<stop_process>(done))
            m_has_stopped = true;
        else if (auto const* probe = std::get_if<probe_endpoint>(&done))
            m_probes.push_back(*probe);
        else if (auto const* line = std::get_if<log_line>(&done))
            m_log += line->event + " " + line->fields + "\n";
    }

    dispatch_reducer m_reducer;
    instant m_now { milliseconds(1000) };
    // Draws that follow one another are spread over all numbers.
    static constexpr std::uint64_t draw_step = 0x9E3779B97F4A7C15U;
    std::uint64_t m_draw { 1 };
    std::uint64_t m_last_request { 0 };
    std::vector<send_attempt> m_sent;
    std::vector<answer_refusal> m_refused;
    std::vector<abort_answer> m_broken;
    std::vector<forward_answer> m_passed;
    std::vector<cancel_attempt> m_cancelled;
    std::vector<probe_endpoint> m_probes;
    std::string m_log;
    bool m_has_stopped { false };
};

} // namespace shedhill::dispatch
