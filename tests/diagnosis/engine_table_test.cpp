// SPDX-License-Identifier: BSD-2-Clause
// Tests that the rows of the engine table are read from a router's metrics text.
#include "libraries/diagnosis/engine_table.h"

#include <cppunit/extensions/HelperMacros.h>

namespace shedhill::diagnosis {

class engine_table_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(engine_table_test);
    CPPUNIT_TEST(a_row_for_each_engine);
    CPPUNIT_TEST(a_row_lists_the_hold_reasons);
    CPPUNIT_TEST(other_samples_create_no_row);
    CPPUNIT_TEST_SUITE_END();

    void a_row_for_each_engine()
    {
        auto const rows = read_engines("shedhill_engine_tokens_per_ms{endpoint=\"i-2\",pool=\"p\",domain=\"d\"} 31.5\n"
                                       "shedhill_engine_unread_tokens{endpoint=\"i-2\",pool=\"p\",domain=\"d\"} 9000\n"
                                       "shedhill_engine_running{endpoint=\"i-1\",pool=\"p\",domain=\"d\"} 4\n"
                                       "shedhill_engine_held_tokens{endpoint=\"i-1\",pool=\"p\",domain=\"d\"} 7\n"
                                       "shedhill_engine_memory_tokens{endpoint=\"i-1\",pool=\"p\",domain=\"d\"} 90\n");
        CPPUNIT_ASSERT_EQUAL(std::size_t { 2 }, rows.size());
        CPPUNIT_ASSERT_EQUAL(std::string("i-1"), rows[0].endpoint);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 4 }, rows[0].running);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 7 }, rows[0].kv_tokens);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 90 }, rows[0].kv_capacity_tokens);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(31.5, rows[1].tokens_per_ms, 0.001);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 9000 }, rows[1].pending_prefill_tokens);
        CPPUNIT_ASSERT_EQUAL(std::string("d"), rows[1].domain);
    }

    void a_row_lists_the_hold_reasons()
    {
        std::string const labels = R"({endpoint="i-1",pool="p",domain="d",reason=)";
        auto const rows = read_engines("shedhill_engine_running{endpoint=\"i-1\",pool=\"p\",domain=\"d\"} 4\n"
                                       "shedhill_endpoint_held_ms"
            + labels + "\"resting\"} 1800\nshedhill_endpoint_held_ms" + labels + "\"ejected\"} 0\n");
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, rows.size());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 4 }, rows[0].running);
        CPPUNIT_ASSERT_EQUAL(std::string("resting 1800, ejected 0"), rows[0].hold_reasons);
    }

    void other_samples_create_no_row()
    {
        CPPUNIT_ASSERT(read_engines("shedhill_ready 1\nshedhill_engine_running what\n# a remark\n").empty());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(engine_table_test);

} // namespace shedhill::diagnosis
