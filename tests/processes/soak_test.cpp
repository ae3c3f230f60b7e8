// SPDX-License-Identifier: BSD-2-Clause
// A short soak with fixed seeds; shedhill-soak plays many. Seeds that ever failed stay here, with a line on the cause.
#include "tests/soak/soak_run.h"

#include <cppunit/extensions/HelperMacros.h>

namespace shedhill::soak {

class soak_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(soak_test);
    CPPUNIT_TEST(the_same_seed_draws_the_same_plan);
    CPPUNIT_TEST(planned_work_loses_nothing);
    CPPUNIT_TEST(promises_hold_while_everything_fails);
    CPPUNIT_TEST(a_delayed_link_does_not_silence_a_router);
    CPPUNIT_TEST(promises_hold_with_sums_between_failure_domains);
    CPPUNIT_TEST_SUITE_END();

    static void play(std::uint64_t seed, plan_scope scope, milliseconds lasts = milliseconds(4000),
        std::size_t routers = 3, std::size_t domains = 1)
    {
        soak_options options;
        options.routers = routers;
        options.domains = domains;
        options.plan = { seed, lasts, scope };
        options.callers = 8;
        options.log_folder = std::filesystem::temp_directory_path()
            / ("shedhill-soak-test-" + std::to_string(getpid()) + "-" + std::to_string(seed));
        auto const verdict = play_soak(options);
        CPPUNIT_ASSERT_MESSAGE(verdict ? "" : verdict.error().to_string(), verdict.has_value());
        std::string all;
        for (auto const& line : verdict->broken)
            all += line + "\n";
        CPPUNIT_ASSERT_EQUAL_MESSAGE("logs: " + options.log_folder.string(), std::string(), all);
        CPPUNIT_ASSERT(verdict->requests > 0);
        std::filesystem::remove_all(options.log_folder);
    }

    void the_same_seed_draws_the_same_plan()
    {
        auto const first = draw_plan({ 7, milliseconds(8000), plan_scope::everything });
        auto const second = draw_plan({ 7, milliseconds(8000), plan_scope::everything });
        CPPUNIT_ASSERT(!first.empty());
        CPPUNIT_ASSERT_EQUAL(first.size(), second.size());
        for (std::size_t index = 0; index < first.size(); ++index) {
            CPPUNIT_ASSERT(first[index].at == second[index].at && first[index].kind == second[index].kind);
            CPPUNIT_ASSERT_EQUAL(first[index].draw, second[index].draw);
        }
    }

    void planned_work_loses_nothing() { play(3, plan_scope::planned_only); }

    void promises_hold_while_everything_fails() { play(1, plan_scope::everything); }

    // Seed 7031: late answers of a plain service taught a router a time over the objective, and it refused everything
    // from then on.
    void a_delayed_link_does_not_silence_a_router() { play(7031, plan_scope::everything, milliseconds(8000)); }

    // Five routers in two failure domains: three in one, of which two follow the store.
    void promises_hold_with_sums_between_failure_domains()
    {
        play(2, plan_scope::everything, milliseconds(5000), 5, 2);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(soak_test);

} // namespace shedhill::soak
