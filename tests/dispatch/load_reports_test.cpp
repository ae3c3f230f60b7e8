// SPDX-License-Identifier: BSD-2-Clause
// What routers tell each other of endpoints: changes most of the time, the whole once in a while.
#include "base/hash.h"
#include "libraries/dispatch/endpoints/endpoint_board.h"
#include "tests/dispatch/dispatch_driver.h"
#include "tests/support/property.h"

namespace shedhill::dispatch {

class load_reports_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(load_reports_test);
    CPPUNIT_TEST(only_what_changed_is_told);
    CPPUNIT_TEST(a_first_event_is_a_change);
    CPPUNIT_TEST(the_whole_is_told_where_nothing_changed);
    CPPUNIT_TEST(the_other_router_counts_what_runs);
    CPPUNIT_TEST(a_lost_report_does_no_lasting_harm);
    CPPUNIT_TEST_SUITE_END();

    static constexpr std::array names { "e1", "e2", "e3" };

    static instant at(std::int64_t time) { return instant(milliseconds(time)); }

    static endpoint_board make_board()
    {
        endpoint_board board(failure_domain("north"));
        std::vector<endpoint_entry> entries;
        entries.reserve(names.size());
        for (auto const* name : names)
            entries.push_back(dispatch_driver::make_endpoint(name, "model", 100));
        board.apply_list(entries, at(1000));
        return board;
    }

    static endpoint_state& endpoint(endpoint_board& board, char const* name)
    {
        return *board.find(endpoint_name(name));
    }

    static void only_what_changed_is_told()
    {
        auto board = make_board();
        endpoint(board, "e1").own.running = 2;
        endpoint(board, "e2").own.running = 3;
        CPPUNIT_ASSERT_EQUAL(std::size_t { 2 }, board.take_own_loads(report_scope::changes).size());
        CPPUNIT_ASSERT(board.take_own_loads(report_scope::changes).empty());
        endpoint(board, "e2").own.running = 0;
        auto const told = board.take_own_loads(report_scope::changes);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, told.size());
        CPPUNIT_ASSERT(told[0].endpoint == key_of(endpoint_name("e2")));
        CPPUNIT_ASSERT_EQUAL(std::uint32_t { 0 }, told[0].work.running);
    }

    static void a_first_event_is_a_change()
    {
        auto board = make_board();
        auto& engine = endpoint(board, "e1");
        endpoint_choice chosen;
        chosen.endpoint = &engine;
        chosen.uncached_tokens = 500;
        auto run = board.record_attempt(chosen, true, at(1000));
        auto const sent = board.take_own_loads(report_scope::changes);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, sent.size());
        CPPUNIT_ASSERT_EQUAL(token_count { 500 }, sent[0].work.pending_prefill);
        board.record_first_event(engine, run, 50, at(1050));
        auto const told = board.take_own_loads(report_scope::changes);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, told.size());
        CPPUNIT_ASSERT_EQUAL(token_count { 0 }, told[0].work.pending_prefill);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(500, told[0].prefill.tokens, 0.01);
        CPPUNIT_ASSERT(board.take_own_loads(report_scope::changes).empty());
    }

    static void the_whole_is_told_where_nothing_changed()
    {
        auto board = make_board();
        endpoint(board, "e1").own.running = 2;
        (void)board.take_own_loads(report_scope::changes);
        auto const told = board.take_own_loads(report_scope::whole);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, told.size());
        CPPUNIT_ASSERT_EQUAL(std::uint32_t { 2 }, told[0].work.running);
    }

    static void tell(endpoint_board& from, endpoint_board& to, report_scope scope, instant now)
    {
        peer_report report;
        report.peer = vm_name("b");
        report.scope = scope;
        report.loads = from.take_own_loads(scope);
        to.apply_report(report, report_origin::own_domain, now);
    }

    // After each report the other router counts just what runs here.
    static void the_other_router_counts_what_runs()
    {
        testing::check_property("reports of changes add up to what runs", [] {
            auto here = make_board();
            auto there = make_board();
            auto const steps = *rc::gen::container<std::vector<std::tuple<std::size_t, std::uint32_t, bool>>>(
                rc::gen::tuple(rc::gen::inRange<std::size_t>(0, names.size()), rc::gen::inRange<std::uint32_t>(0, 9),
                    rc::gen::arbitrary<bool>()));
            std::int64_t now = 1000;
            for (auto const& [index, running, is_whole] : steps) {
                endpoint(here, names.at(index)).own.running = running;
                tell(here, there, is_whole ? report_scope::whole : report_scope::changes, at(now += 100));
                for (auto const* name : names)
                    RC_ASSERT(endpoint(there, name).others.running == endpoint(here, name).own.running);
            }
            there.forget(peer_report { .peer = vm_name("b") }.source());
            for (auto const* name : names)
                RC_ASSERT(endpoint(there, name).others.running == 0U);
        });
    }

    static void a_lost_report_does_no_lasting_harm()
    {
        auto here = make_board();
        auto there = make_board();
        endpoint(here, "e1").own.running = 4;
        tell(here, there, report_scope::whole, at(1000));
        endpoint(here, "e1").own.running = 1;
        endpoint(here, "e2").own.running = 5;
        (void)here.take_own_loads(report_scope::changes);
        endpoint(here, "e3").own.running = 2;
        tell(here, there, report_scope::changes, at(1200));
        CPPUNIT_ASSERT_EQUAL(std::uint32_t { 4 }, endpoint(there, "e1").others.running);
        tell(here, there, report_scope::whole, at(1300));
        for (auto const* name : names)
            CPPUNIT_ASSERT_EQUAL(endpoint(here, name).own.running, endpoint(there, name).others.running);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(load_reports_test);

} // namespace shedhill::dispatch
