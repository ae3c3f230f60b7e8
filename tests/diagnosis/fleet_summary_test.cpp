// SPDX-License-Identifier: BSD-2-Clause
// Many routers' metrics together.
#include "libraries/diagnosis/fleet_summary.h"

#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>

namespace shedhill::diagnosis {

class fleet_summary_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(fleet_summary_test);
    CPPUNIT_TEST(a_fleet_is_summed_up);
    CPPUNIT_TEST(one_router_is_its_own_spread);
    CPPUNIT_TEST(no_router_gives_nothing);
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

    void a_fleet_is_summed_up()
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
        auto const active = std::ranges::find(fleet.measures, "active", &measure_spread::measure);
        CPPUNIT_ASSERT(active != fleet.measures.end());
        CPPUNIT_ASSERT_DOUBLES_EQUAL(1, active->least, 1e-9);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(50, active->middle, 1e-9);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(95, active->most_below, 1e-9);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(100, active->greatest, 1e-9);
        CPPUNIT_ASSERT_EQUAL(std::string("r100"), active->greatest_at);
    }

    void one_router_is_its_own_spread()
    {
        auto const fleet = summarize_fleet({ router(3) });
        for (auto const& spread : fleet.measures)
            CPPUNIT_ASSERT(spread.least == spread.greatest && spread.middle == spread.most_below);
    }

    void no_router_gives_nothing() { CPPUNIT_ASSERT(summarize_fleet({}).measures.empty()); }
};

CPPUNIT_TEST_SUITE_REGISTRATION(fleet_summary_test);

} // namespace shedhill::diagnosis
