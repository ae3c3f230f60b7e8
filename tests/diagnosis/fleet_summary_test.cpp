// SPDX-License-Identifier: BSD-2-Clause
// Tests the aggregation of the metrics of many routers.
#include "libraries/diagnosis/fleet_summary.h"

#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>

namespace shedhill::diagnosis {

class fleet_summary_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(fleet_summary_test);
    CPPUNIT_TEST(counts_and_percentiles_cover_all_routers);
    CPPUNIT_TEST(a_single_router_has_equal_percentiles);
    CPPUNIT_TEST(no_routers_give_no_measures);
    CPPUNIT_TEST_SUITE_END();

    static named_summary router(std::size_t number)
    {
        metrics_summary summary;
        summary.is_ready = number != 7;
        summary.revision = number < 99 ? 12 : 11;
        summary.active = number;
        summary.refusals = { { "no_place", 1 }, { "team_over_share", 2 } };
        return { "r" + std::to_string(number), summary };
    }

    void counts_and_percentiles_cover_all_routers()
    {
        std::vector<named_summary> routers;
        for (std::size_t number = 100; number > 0; --number)
            routers.push_back(router(number));
        auto const fleet = summarize_fleet(routers);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 99 }, fleet.ready);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 98 }, fleet.revisions.at(12));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 2 }, fleet.revisions.at(11));
        CPPUNIT_ASSERT_EQUAL(std::string("team_over_share"), fleet.refusals.at(0).reason);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 200 }, fleet.refusals.at(0).count);
        auto const active = std::ranges::find(fleet.measures, "active", &measure_distribution::measure);
        CPPUNIT_ASSERT(active != fleet.measures.end());
        CPPUNIT_ASSERT_DOUBLES_EQUAL(1, active->min, 1e-9);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(50, active->median, 1e-9);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(95, active->percentile_95, 1e-9);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(100, active->max, 1e-9);
        CPPUNIT_ASSERT_EQUAL(std::string("r100"), active->max_router);
    }

    void a_single_router_has_equal_percentiles()
    {
        auto const fleet = summarize_fleet({ router(3) });
        for (auto const& spread : fleet.measures)
            CPPUNIT_ASSERT(spread.min == spread.max && spread.median == spread.percentile_95);
    }

    void no_routers_give_no_measures() { CPPUNIT_ASSERT(summarize_fleet({}).measures.empty()); }
};

CPPUNIT_TEST_SUITE_REGISTRATION(fleet_summary_test);

} // namespace shedhill::diagnosis
