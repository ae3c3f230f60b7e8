// SPDX-License-Identifier: BSD-2-Clause
// Tests that the summary is read from a router's metrics text.
#include "libraries/diagnosis/metrics_summary.h"
#include "libraries/metrics/registry.h"

#include <cppunit/extensions/HelperMacros.h>

namespace shedhill::diagnosis {

class metrics_summary_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(metrics_summary_test);
    CPPUNIT_TEST(the_text_of_a_registry_is_summarized);
    CPPUNIT_TEST(invalid_lines_are_skipped);
    CPPUNIT_TEST_SUITE_END();

    void the_text_of_a_registry_is_summarized()
    {
        metrics::registry served;
        served.set("shedhill_ready", 1);
        served.set("shedhill_configuration_revision", 17);
        served.add("shedhill_refusals_total{reason=\"no_place\"}", 3);
        served.add("shedhill_refusals_total{reason=\"team_over_share\"}", 8);
        for (int index = 0; index < 9; ++index)
            served.observe_latency("shedhill_first_event_seconds{pool=\"cook\"}", 40);
        served.observe_latency("shedhill_first_event_seconds{pool=\"cook\"}", 700);
        auto const summary = summarize_metrics(served.to_text());
        CPPUNIT_ASSERT(summary.is_ready);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 17 }, summary.revision);
        CPPUNIT_ASSERT_EQUAL(std::string("team_over_share"), summary.refusals.at(0).reason);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 3 }, summary.refusals.at(1).count);
        CPPUNIT_ASSERT_EQUAL(std::string("cook"), summary.first_events.at(0).pool);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 10 }, summary.first_events.at(0).count);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0.05, summary.first_events.at(0).median_seconds, 1e-9);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0.8, summary.first_events.at(0).percentile_95_seconds, 1e-9);
    }

    void invalid_lines_are_skipped()
    {
        auto const summary
            = summarize_metrics("# HELP x\n\nshedhill_ready\nshedhill_ready one\n{\nshedhill_active_requests nan\n"
                                "shedhill_first_event_seconds_bucket{le=\"+Inf\"} 0");
        CPPUNIT_ASSERT(!summary.is_ready);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 0 }, summary.active);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, summary.first_events.size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(metrics_summary_test);

} // namespace shedhill::diagnosis
