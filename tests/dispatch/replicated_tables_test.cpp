// SPDX-License-Identifier: BSD-2-Clause
// Tests that routers that exchange reports hold the store's rows in the end, whatever the order of changes, reads,
// reports, restarts and losses of the history.
#include "tests/dispatch/replicated_tables.h"

#include <cppunit/extensions/HelperMacros.h>

namespace shedhill::dispatch {

class replicated_tables_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(replicated_tables_test);
    CPPUNIT_TEST(a_removal_that_only_a_full_read_shows_reaches_every_router);
    CPPUNIT_TEST(a_removal_while_all_watchers_restart_reaches_every_router);
    CPPUNIT_TEST_SUITE_END();

    static constexpr std::size_t watching = 2;
    static constexpr std::size_t relying = 2;

    static void assert_equal_to_store(replicated_tables const& tables)
    {
        for (std::size_t router = 0; router < tables.size(); ++router)
            CPPUNIT_ASSERT_EQUAL(std::string(), tables.find_difference(router));
    }

    // Guards against requests to endpoints that have left: the store forgot its history just after an entry was
    // removed, so that both watchers learned of the removal from a full read, which names no version for it.
    void a_removal_that_only_a_full_read_shows_reaches_every_router()
    {
        replicated_tables tables(watching, relying, 10);
        tables.put("a");
        tables.put("b");
        tables.settle();
        tables.remove("b");
        tables.forget_history();
        tables.settle();
        assert_equal_to_store(tables);
    }

    // Guards against requests to endpoints that have left: the routers that watch the store were killed while an entry
    // was removed, and announced the rows of their first read with the version of an older change.
    void a_removal_while_all_watchers_restart_reaches_every_router()
    {
        replicated_tables tables(watching, relying, 10);
        tables.put("a");
        tables.put("b");
        tables.settle();
        tables.remove("b");
        for (std::size_t router = 0; router < watching; ++router)
            tables.restart(router);
        tables.settle();
        assert_equal_to_store(tables);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(replicated_tables_test);

} // namespace shedhill::dispatch
