// SPDX-License-Identifier: BSD-2-Clause
// Tests that routers that exchange reports hold the store's rows in the end, whatever the order of changes, reads,
// reports, restarts and losses of the history.
#include "tests/dispatch/replicated_tables.h"
#include "tests/support/property.h"

#include <cppunit/extensions/HelperMacros.h>
#include <tuple>

namespace shedhill::dispatch {

class replicated_tables_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(replicated_tables_test);
    CPPUNIT_TEST(a_removal_that_only_a_full_read_shows_reaches_every_router);
    CPPUNIT_TEST(a_removal_while_all_watchers_restart_reaches_every_router);
    CPPUNIT_TEST(a_removal_between_two_pages_of_a_read_reaches_the_reader);
    CPPUNIT_TEST(routers_hold_the_stores_rows_in_the_end);
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

    // Guards against a router that keeps an endpoint that has left: the entry was removed from the first page of the
    // router's read before a later page, with a newer change, was read.
    void a_removal_between_two_pages_of_a_read_reaches_the_reader()
    {
        replicated_tables tables(watching, relying, 1);
        tables.put("a");
        tables.put("b");
        for (std::size_t router = 0; router < watching; ++router) {
            for (int page = 0; page < 2; ++page) {
                tables.call_store(router);
                tables.deliver_answer(router);
            }
        }
        tables.call_store(watching);
        tables.deliver_answer(watching);
        tables.remove("a");
        tables.put("b");
        while (!tables.router(watching).has_rows()) {
            tables.call_store(watching);
            tables.deliver_answer(watching);
        }
        CPPUNIT_ASSERT_EQUAL(std::string(), tables.find_fault(watching));
        tables.settle();
        assert_equal_to_store(tables);
    }

    static void apply_step(replicated_tables& tables, int action, std::size_t router, int number)
    {
        auto const key = std::to_string(number);
        switch (action) {
        case 0:
        case 1:
            return tables.put(key);
        case 2:
            return tables.remove(key);
        case 3:
            return tables.change_other_table();
        case 4:
            return tables.forget_history();
        case 5:
            return tables.restart(router);
        case 6:
        case 7:
            return tables.call_store(router);
        case 8:
        case 9:
            return tables.deliver_answer(router);
        default:
            (void)tables.announce(static_cast<std::size_t>(number) % tables.size(), router);
        }
    }

    void routers_hold_the_stores_rows_in_the_end()
    {
        testing::check_property("routers hold the store's rows in the end", [] {
            constexpr int actions = 13;
            constexpr int keys = 5;
            auto const page_rows = *rc::gen::inRange<std::size_t>(1, 4);
            replicated_tables tables(watching, relying, page_rows);
            auto const steps = *rc::gen::resize(400,
                rc::gen::container<std::vector<std::tuple<int, std::size_t, int>>>(
                    rc::gen::tuple(rc::gen::inRange(0, actions), rc::gen::inRange<std::size_t>(0, watching + relying),
                        rc::gen::inRange(0, keys))));
            for (auto const& [action, router, number] : steps) {
                apply_step(tables, action, router, number);
                for (std::size_t index = 0; index < tables.size(); ++index)
                    RC_ASSERT(tables.find_fault(index) == "");
            }
            tables.settle();
            for (std::size_t index = 0; index < tables.size(); ++index)
                RC_ASSERT(tables.find_difference(index) == "");
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(replicated_tables_test);

} // namespace shedhill::dispatch
