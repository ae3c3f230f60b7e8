// SPDX-License-Identifier: BSD-2-Clause
// Checks random sequences of events against a simple oracle: each request gets one final answer, the guarantees of each
// status hold, no request has more attempts than allowed, draining endpoints receive no new requests, and no slot
// remains occupied.
#include "base/hash.h"
#include "tests/dispatch/dispatch_driver.h"
#include "tests/support/property.h"

#include <map>
#include <set>

namespace shedhill::dispatch {

namespace {

// One random event: its kind, and a number that selects the request, the endpoint or the duration.
struct fuzz_step {
    int kind { 0 };
    int choice { 0 };
};

// State of a request as the oracle tracks it.
struct tracked_request {
    std::string prefix;
    bool is_repeatable { false };
    bool is_resumable { false };
    bool has_begun { false };
    bool may_have_run { false };
    int delivered_attempts { 0 };
    int final_answers { 0 };
    instant asked_at {};
    // The current attempt, if there is one.
    std::optional<send_attempt> in_flight;
    std::set<std::string> tried_endpoints;
};

class fuzzed_dispatcher {
public:
    fuzzed_dispatcher()
    {
        for (auto const* name : { "m1", "m2", "m3" })
            m_entries.push_back(dispatch_driver::make_endpoint(name, "model", 3));
        for (auto const* name : { "p1", "p2", "p3" })
            m_entries.push_back(dispatch_driver::make_endpoint(name, "plain", 3));
        m_driver.start(m_entries);
    }

    void apply(fuzz_step const& step)
    {
        switch (step.kind) {
        case 0:
        case 1:
        case 2:
            return ask(step.choice);
        case 3:
            return end(step.choice, attempt_end::complete);
        case 4:
            return end(step.choice, attempt_end::broken);
        case 5:
            return end(step.choice, attempt_end::not_run);
        case 6:
            return end(step.choice, attempt_end::not_sent);
        case 7:
            return end(step.choice, attempt_end::failed);
        case 8:
            return end(step.choice, attempt_end::wrong_endpoint);
        case 9:
            return begin(step.choice);
        case 10:
            return stall(step.choice);
        case 11:
            return leave(step.choice);
        case 12:
            return drain_endpoint(step.choice);
        case 13:
            return run([&] {
                m_driver.deliver(configuration_received { dispatch_driver::usual_configuration(++m_revision) });
            });
        case 14:
            return run([&] {
                m_driver.deliver(
                    peer_report { vm_name("b"), step.choice % 2 == 0 ? report_scope::whole : report_scope::changes,
                        { { key_of(endpoint_name("m1")), 2, token_count { step.choice } * 10 } },
                        { { key_of(team_name("red")), 5000, token_count { step.choice } * 100 } },
                        milliseconds(step.choice), { { key_of(endpoint_name("m2")), 7 } } });
            });
        default:
            return wait(milliseconds(10 + step.choice));
        }
    }

    // Lets all deadlines pass and checks that nothing remains in flight.
    void finish()
    {
        wait(milliseconds(7000));
        RC_ASSERT(m_driver.reducer().active_requests() == 0U);
        RC_ASSERT(m_driver.reducer().waiting_requests() == 0U);
        for (auto const* pool : { "model", "plain" })
            RC_ASSERT(m_driver.reducer().occupancy_of(pool_name(pool), m_driver.now()).used_slots == 0U);
        for (auto const& [number, request] : m_requests)
            RC_ASSERT(request.final_answers == 1);
    }

private:
    template <typename Action>
    void run(Action&& action)
    {
        action();
        check_effects();
    }

    // Advances tick by tick, so that effects are checked at the time at which they are produced.
    void wait(milliseconds time)
    {
        for (auto const until = m_driver.now() + time; m_driver.now() < until;)
            run([&] { m_driver.wait(milliseconds(10)); });
    }

    void ask(int choice)
    {
        static constexpr std::array prefixes { "/resumable/", "/once/", "/order/", "/look/" };
        tracked_request request;
        request.prefix = prefixes[static_cast<std::size_t>(choice) % prefixes.size()];
        request.is_resumable = request.prefix == "/resumable/";
        request.is_repeatable = request.is_resumable || request.prefix == "/look/";
        request.asked_at = m_driver.now();
        // The driver assigns consecutive numbers, so that the request is tracked before its first effects are checked.
        m_requests.emplace(request_number(++m_last_request), request);
        run([&] { m_driver.ask(request.prefix, choice % 3 == 0 ? "blue-key" : "red-key", 10 + choice * 30); });
    }

    tracked_request* in_flight(int choice, request_number& number)
    {
        std::vector<request_number> candidates;
        for (auto const& [candidate, request] : m_requests) {
            if (request.in_flight)
                candidates.push_back(candidate);
        }
        if (candidates.empty())
            return nullptr;
        number = candidates[static_cast<std::size_t>(choice) % candidates.size()];
        return &m_requests.at(number);
    }

    void end(int choice, attempt_end ending)
    {
        request_number number;
        auto* const request = in_flight(choice, number);
        if (request == nullptr)
            return;
        // The other ends are possible only before an answer has begun; a stream that has begun completes or breaks.
        if (request->has_begun && ending != attempt_end::complete)
            ending = attempt_end::broken;
        auto const attempt = request->in_flight->attempt;
        request->in_flight.reset();
        request->delivered_attempts += ending == attempt_end::not_sent ? 0 : 1;
        request->may_have_run
            |= ending == attempt_end::broken || ending == attempt_end::failed || ending == attempt_end::complete;
        if (ending == attempt_end::complete)
            ++request->final_answers;
        run([&] {
            m_driver.deliver(attempt_ended { number, attempt, ending, std::uint16_t { 200 }, 1, request->has_begun });
        });
    }

    void begin(int choice)
    {
        request_number number;
        auto* const request = in_flight(choice, number);
        if (request == nullptr || request->in_flight->form != answer_form::stream)
            return;
        request->has_begun = true;
        request->may_have_run = true;
        run([&] { m_driver.deliver(answer_began { number, request->in_flight->attempt }); });
    }

    void stall(int choice)
    {
        request_number number;
        auto* const request = in_flight(choice, number);
        if (request == nullptr)
            return;
        run([&] { m_driver.deliver(attempt_stalled { number, request->in_flight->attempt, request->has_begun }); });
    }

    void leave(int choice)
    {
        request_number number;
        auto* const request = in_flight(choice, number);
        if (request == nullptr)
            return;
        request->in_flight.reset();
        ++request->final_answers;
        run([&] { m_driver.deliver(caller_left { number }); });
    }

    void drain_endpoint(int choice)
    {
        auto& entry = m_entries[static_cast<std::size_t>(choice) % m_entries.size()];
        entry.is_draining = !entry.is_draining;
        run([&] { m_driver.deliver(endpoints_listed { m_entries }); });
    }

    [[nodiscard]] bool is_open(endpoint_name const& name) const
    {
        return std::ranges::any_of(
            m_entries, [&](auto const& entry) { return entry.name == name && !entry.is_draining; });
    }

    void check_effects()
    {
        for (; m_cancelled_seen < m_driver.cancelled().size(); ++m_cancelled_seen)
            record_cancelled(m_driver.cancelled()[m_cancelled_seen].request);
        for (; m_sent_seen < m_driver.sent().size(); ++m_sent_seen)
            check_sent(m_driver.sent()[m_sent_seen]);
        for (; m_refused_seen < m_driver.refused().size(); ++m_refused_seen)
            check_refused(m_driver.refused()[m_refused_seen]);
        for (; m_aborted_seen < m_driver.aborted().size(); ++m_aborted_seen) {
            auto& request = m_requests.at(m_driver.aborted()[m_aborted_seen].request);
            RC_ASSERT(request.has_begun);
            ++request.final_answers;
            request.in_flight.reset();
        }
        for (; m_forwarded_seen < m_driver.forwarded().size(); ++m_forwarded_seen) {
            auto& request = m_requests.at(m_driver.forwarded()[m_forwarded_seen].request);
            RC_ASSERT(!request.has_begun);
            ++request.final_answers;
        }
    }

    void record_cancelled(request_number number)
    {
        auto& request = m_requests.at(number);
        if (!request.in_flight)
            return;
        request.in_flight.reset();
        ++request.delivered_attempts;
        request.may_have_run = true;
    }

    void check_sent(send_attempt const& sent)
    {
        auto& request = m_requests.at(sent.request);
        RC_ASSERT(!request.in_flight);
        RC_ASSERT(request.final_answers == 0);
        RC_ASSERT(!request.may_have_run || request.is_repeatable);
        RC_ASSERT(!request.has_begun || request.is_resumable);
        RC_ASSERT(request.delivered_attempts < 2);
        RC_ASSERT(is_open(sent.endpoint));
        RC_ASSERT(request.tried_endpoints.insert(sent.endpoint.value()).second);
        RC_ASSERT(m_driver.now() + sent.time_left <= request.asked_at + milliseconds(4000) + milliseconds(1));
        request.in_flight = sent;
    }

    void check_refused(answer_refusal const& refused)
    {
        auto& request = m_requests.at(refused.request);
        ++request.final_answers;
        RC_ASSERT(!request.has_begun);
        bool const guarantees_not_run = refused.status == 429 || refused.status == 503;
        RC_ASSERT(guarantees_not_run != request.may_have_run);
        RC_ASSERT(guarantees_not_run == refused.retry_after.has_value());
    }

    dispatch_driver m_driver;
    std::vector<endpoint_entry> m_entries;
    std::map<request_number, tracked_request> m_requests;
    std::uint64_t m_last_request { 0 };
    std::uint64_t m_revision { 1 };
    std::size_t m_sent_seen { 0 };
    std::size_t m_refused_seen { 0 };
    std::size_t m_aborted_seen { 0 };
    std::size_t m_cancelled_seen { 0 };
    std::size_t m_forwarded_seen { 0 };
};

} // namespace

class dispatch_fuzz_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(dispatch_fuzz_test);
    CPPUNIT_TEST(guarantees_hold_under_random_events);
    CPPUNIT_TEST_SUITE_END();

    void guarantees_hold_under_random_events()
    {
        testing::check_property("the guarantees of the dispatcher hold", [] {
            auto const steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
                rc::gen::pair(rc::gen::inRange(0, 20), rc::gen::inRange(0, 200)));
            fuzzed_dispatcher fleet;
            for (auto const& [kind, choice] : steps)
                fleet.apply({ kind, choice });
            fleet.finish();
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(dispatch_fuzz_test);

} // namespace shedhill::dispatch
