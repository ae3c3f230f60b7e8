// SPDX-License-Identifier: BSD-2-Clause
// Stateful fuzzing: checks random sequences of requests and failures with a simple oracle. The oracle doesn't depend on
// the implementation; it counts runs and compares answers.
#include "tests/joined/joined_fleet.h"
#include "tests/support/property.h"

#include <rapidcheck/state.h>

namespace shedhill::joined {

namespace {

// The model state that the commands share.
struct fuzz_model {
    int request_count { 0 };
    bool is_platform_down { false };
};

// The fleet under test and the requests that were sent to it.
struct fuzz_fleet {
    struct sent_request {
        std::size_t router;
        request_number number;
        std::string body;
        std::int64_t tokens;
    };

    fuzz_fleet()
        : fleet(options())
    {
        fleet.declare_simple({ { "a", 1 }, { "b", 3 } });
        fleet.advance(milliseconds(2000));
    }

    static fleet_options options()
    {
        fleet_options result;
        result.router.first_chunk_limit = milliseconds(1500);
        result.router.next_chunk_limit = milliseconds(800);
        result.router.default_deadline = milliseconds(8000);
        result.endpoint.slots = 2;
        return result;
    }

    joined_fleet fleet;
    std::vector<sent_request> requests;
};

using command = rc::state::Command<fuzz_model, fuzz_fleet>;

struct ask final : command {
    std::size_t router = *rc::gen::inRange<std::size_t>(0, 2);
    bool is_claimed = *rc::gen::arbitrary<bool>();
    bool is_streamed = *rc::gen::arbitrary<bool>();
    int key = *rc::gen::inRange(0, 6);
    std::int64_t tokens = *rc::gen::inRange<std::int64_t>(1, 60);
    std::string team = *rc::gen::element<std::string>("a", "b");

    void apply(fuzz_model& model) const override { ++model.request_count; }

    void run(fuzz_model const& model, fuzz_fleet& sut) const override
    {
        request_plan plan;
        plan.router = router;
        plan.team = team;
        plan.tokens = tokens;
        plan.is_streamed = is_streamed;
        // All requests with the same key have the same body, so that the runs of the key can be counted.
        plan.body
            = is_claimed ? team + "-key-" + std::to_string(key) : "request-" + std::to_string(model.request_count);
        plan.idempotency_key = is_claimed ? "key-" + std::to_string(key) : "";
        sut.requests.push_back({ router, sut.fleet.submit(plan), plan.body, tokens });
    }

    void show(std::ostream& out) const override { out << "ask(" << router << ", " << team << ", " << key << ")"; }
};

struct wait final : command {
    int time = *rc::gen::inRange(1, 1500);
    void run(fuzz_model const&, fuzz_fleet& sut) const override { sut.fleet.advance(milliseconds(time)); }
    void show(std::ostream& out) const override { out << "wait(" << time << ")"; }
};

enum class failure {
    cut,
    block,
    unblock,
    restart_router,
    restart_endpoint,
    freeze,
    thaw,
    drain_endpoint,
    platform_down,
    platform_up,
    lose_claims,
    cut_answers,
    whole_answers,
    partition_routers,
    join_routers,
    unreachable_engine,
    reachable_engine,
    duplicated_messages,
    reordered_messages,
    clean_messages,
};

struct fault {
    failure kind { failure::cut };
    std::size_t router { 0 };
    std::size_t endpoint { 0 };
};

void inject_fault(joined_fleet& fleet, fault const& injected)
{
    auto const& [kind, router, endpoint] = injected;
    switch (kind) {
    case failure::cut:
        fleet.cut(router, endpoint);
        break;
    case failure::block:
        fleet.block(router, endpoint, true);
        break;
    case failure::unblock:
        fleet.block(router, endpoint, false);
        break;
    case failure::restart_router:
        fleet.restart_router(router);
        break;
    case failure::restart_endpoint:
        fleet.restart_endpoint(endpoint);
        break;
    case failure::freeze:
        fleet.freeze_endpoint(endpoint, true);
        break;
    case failure::thaw:
        fleet.freeze_endpoint(endpoint, false);
        break;
    case failure::drain_endpoint:
        fleet.drain_endpoint(endpoint);
        break;
    case failure::platform_down:
        fleet.set_platform_down(true);
        break;
    case failure::platform_up:
        fleet.set_platform_down(false);
        break;
    case failure::lose_claims:
        fleet.lose_claim_answers(2);
        break;
    case failure::cut_answers:
        fleet.cut_answers_after(2);
        break;
    case failure::whole_answers:
        fleet.cut_answers_after(-1);
        break;
    case failure::partition_routers:
        fleet.block_routers(0, 1, true);
        break;
    case failure::join_routers:
        fleet.block_routers(0, 1, false);
        break;
    case failure::unreachable_engine:
        fleet.set_engine_reachable(endpoint, false);
        break;
    case failure::reachable_engine:
        fleet.set_engine_reachable(endpoint, true);
        break;
    case failure::duplicated_messages:
        fleet.set_faults({ 300, 0, milliseconds(0), 0 });
        break;
    case failure::reordered_messages:
        fleet.set_faults({ 100, 200, milliseconds(20), 20 });
        break;
    case failure::clean_messages:
        fleet.set_faults({});
        break;
    }
}

struct inject_random_fault final : command {
    fault injected { static_cast<failure>(*rc::gen::inRange(0, static_cast<int>(failure::clean_messages) + 1)),
        *rc::gen::inRange<std::size_t>(0, 2), *rc::gen::inRange<std::size_t>(0, 3) };

    void run(fuzz_model const&, fuzz_fleet& sut) const override { inject_fault(sut.fleet, injected); }

    void show(std::ostream& out) const override
    {
        out << "fail(" << static_cast<int>(injected.kind) << ", " << injected.router << ", " << injected.endpoint
            << ")";
    }
};

// Sends requests of each kind to both routers, with the same keys in each call.
void submit_all_kinds(fuzz_fleet& sut)
{
    for (int index = 0; index < 12; ++index) {
        request_plan plan;
        plan.router = static_cast<std::size_t>(index % 2);
        plan.team = index % 3 == 0 ? "b" : "a";
        plan.tokens = 5 + index * 4;
        plan.is_streamed = index % 4 < 2;
        auto const is_claimed = index % 2 == 0;
        plan.body = is_claimed ? plan.team + "-key-" + std::to_string(index)
                               : "request-" + std::to_string(sut.requests.size());
        plan.idempotency_key = is_claimed ? "key-" + std::to_string(index) : "";
        sut.requests.push_back({ plan.router, sut.fleet.submit(plan), plan.body, plan.tokens });
    }
}

// Ends the failures other than drains and a partition of the two routers, and gives the open requests time to end.
void recover_and_finish(fuzz_fleet& sut)
{
    sut.fleet.set_platform_down(false);
    sut.fleet.set_faults({});
    sut.fleet.cut_answers_after(-1);
    for (std::size_t endpoint = 0; endpoint < sut.fleet.endpoint_count(); ++endpoint) {
        sut.fleet.freeze_endpoint(endpoint, false);
        sut.fleet.set_engine_reachable(endpoint, true);
        sut.fleet.block(0, endpoint, false);
        sut.fleet.block(1, endpoint, false);
    }
    sut.fleet.advance(milliseconds(30000));
}

// Returns a description of the first violated guarantee, or an empty string.
std::string find_violation(fuzz_fleet const& sut)
{
    for (auto const& request : sut.requests) {
        auto const& view = sut.fleet.caller(request.router, request.number);
        auto const name = " (request " + std::to_string(request.number.value()) + ", " + request.body + ")";
        if (view.final_answers != 1)
            return "the caller did not receive exactly one final answer" + name;
        if (view.outcome == wire::run_outcome::ran && view.text != answer_text(request.body, request.tokens))
            return "the caller received another text than the complete answer to its request" + name;
        // The outcome "not run" guarantees that no request with this body, and thus with this key, had run before.
        auto const first_run = sut.fleet.first_runs().find(request.body);
        if (view.outcome == wire::run_outcome::not_run && first_run != sut.fleet.first_runs().end()
            && first_run->second <= view.answered_at)
            return "the outcome is 'not run' although the request had run" + name;
    }
    for (auto const& [body, runs] : sut.fleet.runs()) {
        auto const is_claimed = body.find("-key-") != std::string::npos;
        if (is_claimed && runs > 1)
            return "run " + std::to_string(runs) + " times: " + body;
    }
    if (sut.fleet.waiting_requests() > 0)
        return "requests are still waiting although they have had time to end";
    return {};
}

} // namespace

class fuzz_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(fuzz_test);
    CPPUNIT_TEST(guarantees_hold_under_any_sequence_of_failures);
    CPPUNIT_TEST(guarantees_hold_under_every_pair_of_failures);
    CPPUNIT_TEST_SUITE_END();

    void guarantees_hold_under_every_pair_of_failures()
    {
        constexpr int kinds = static_cast<int>(failure::clean_messages) + 1;
        for (int pair = 0; pair < kinds * kinds; ++pair) {
            fuzz_fleet sut;
            submit_all_kinds(sut);
            sut.fleet.advance(milliseconds(40));
            inject_fault(sut.fleet, { static_cast<failure>(pair / kinds), 0, 0 });
            sut.fleet.advance(milliseconds(30));
            inject_fault(sut.fleet, { static_cast<failure>(pair % kinds), static_cast<std::size_t>(pair % 2), 1 });
            submit_all_kinds(sut);
            sut.fleet.advance(milliseconds(2000));
            recover_and_finish(sut);
            auto const name = "failures " + std::to_string(pair / kinds) + " and " + std::to_string(pair % kinds);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(name, std::string(), find_violation(sut));
        }
    }

    void guarantees_hold_under_any_sequence_of_failures()
    {
        testing::check_property("guarantees hold under any sequence of failures", [] {
            fuzz_model model;
            fuzz_fleet sut;
            auto const commands = *rc::state::gen::commands(
                fuzz_model(), rc::state::gen::execOneOfWithArgs<ask, ask, wait, inject_random_fault>());
            rc::state::runAll(commands, model, sut);
            recover_and_finish(sut);
            RC_ASSERT(find_violation(sut) == "");
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(fuzz_test);

} // namespace shedhill::joined
