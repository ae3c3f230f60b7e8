// SPDX-License-Identifier: BSD-2-Clause
// Tests the text format of latency histograms.
#include "libraries/metrics/registry.h"

#include <cppunit/extensions/HelperMacros.h>

namespace shedhill::metrics {

class registry_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(registry_test);
    CPPUNIT_TEST(buckets_are_cumulative_and_in_seconds);
    CPPUNIT_TEST(buckets_keep_the_labels_of_the_metric);
    CPPUNIT_TEST_SUITE_END();

    static bool has_line(registry const& source, std::string const& line)
    {
        return ("\n" + source.to_text()).find("\n" + line + "\n") != std::string::npos;
    }

    void buckets_are_cumulative_and_in_seconds()
    {
        registry metrics;
        for (auto const milliseconds : { 5.0, 45.0, 45.0, 700.0, 99000.0 })
            metrics.observe_latency("shedhill_answer_seconds", milliseconds);
        CPPUNIT_ASSERT(has_line(metrics, "shedhill_answer_seconds_bucket{le=\"0.01\"} 1"));
        CPPUNIT_ASSERT(has_line(metrics, "shedhill_answer_seconds_bucket{le=\"0.05\"} 3"));
        CPPUNIT_ASSERT(has_line(metrics, "shedhill_answer_seconds_bucket{le=\"20\"} 4"));
        CPPUNIT_ASSERT(has_line(metrics, "shedhill_answer_seconds_bucket{le=\"+Inf\"} 5"));
        CPPUNIT_ASSERT(has_line(metrics, "shedhill_answer_seconds_count 5"));
        CPPUNIT_ASSERT(has_line(metrics, "shedhill_answer_seconds_sum 99.795"));
    }

    void buckets_keep_the_labels_of_the_metric()
    {
        registry metrics;
        metrics.observe_latency("shedhill_wait_seconds{pool=\"cook\"}", 30);
        CPPUNIT_ASSERT(has_line(metrics, "shedhill_wait_seconds_bucket{pool=\"cook\",le=\"0.05\"} 1"));
        CPPUNIT_ASSERT(has_line(metrics, "shedhill_wait_seconds_count{pool=\"cook\"} 1"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(registry_test);

} // namespace shedhill::metrics
