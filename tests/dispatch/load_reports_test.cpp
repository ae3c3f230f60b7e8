// SPDX-License-Identifier: BSD-2-Clause
// Tests the load reports that routers exchange about endpoints: most contain only changes, some contain all loads.
#include "base/hash.h"
#include "libraries/dispatch/endpoints/endpoint_board.h"
#include "tests/dispatch/dispatch_driver.h"
#include "tests/support/property.h"

namespace shedhill::dispatch {

class load_reports_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(load_reports_test);
    CPPUNIT_TEST(only_changes_are_reported);
    CPPUNIT_TEST(a_first_event_is_a_change);
    CPPUNIT_TEST(a_whole_report_contains_unchanged_loads);
    CPPUNIT_TEST(the_receiver_counts_the_running_attempts);
    CPPUNIT_TEST(a_lost_report_is_corrected_by_the_next_whole_one);
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

    static void only_changes_are_reported()
    {
        auto board = make_board();
        endpoint(board, "e1").own.running = 2;
        endpoint(board, "e2").own.running = 3;
        CPPUNIT_ASSERT_EQUAL(std::size_t { 2 }, board.take_own_loads(report_scope::changes).size());
        CPPUNIT_ASSERT(board.take_own_loads(report_scope::changes).empty());
        endpoint(board, "e2").own.running = 0;
        auto const reported = board.take_own_loads(report_scope::changes);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, reported.size());
        CPPUNIT_ASSERT(reported[0].endpoint == key_of(endpoint_name("e2")));
        CPPUNIT_ASSERT_EQUAL(std::uint32_t { 0 }, reported[0].work.running);
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
        auto const reported = board.take_own_loads(report_scope::changes);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, reported.size());
        CPPUNIT_ASSERT_EQUAL(token_count { 0 }, reported[0].work.pending_prefill);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(500, reported[0].prefill.tokens, 0.01);
        CPPUNIT_ASSERT(board.take_own_loads(report_scope::changes).empty());
    }

    static void a_whole_report_contains_unchanged_loads()
    {
        auto board = make_board();
        endpoint(board, "e1").own.running = 2;
        (void)board.take_own_loads(report_scope::changes);
        auto const reported = board.take_own_loads(report_scope::whole);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, reported.size());
        CPPUNIT_ASSERT_EQUAL(std::uint32_t { 2 }, reported[0].work.running);
    }

    static void report_loads(endpoint_board& from, endpoint_board& to, report_scope scope, instant now)
    {
        peer_report report;
        report.peer = vm_name("b");
        report.scope = scope;
        report.loads = from.take_own_loads(scope);
        to.apply_report(report, report_origin::own_domain, now);
    }

    // After each report, the receiving router counts exactly the attempts that run at the reporting router.
    static void the_receiver_counts_the_running_attempts()
    {
        testing::check_property("reports of changes add up to the running attempts", [] {
            auto reporter = make_board();
            auto receiver = make_board();
            auto const steps = *rc::gen::container<std::vector<std::tuple<std::size_t, std::uint32_t, bool>>>(
                rc::gen::tuple(rc::gen::inRange<std::size_t>(0, names.size()), rc::gen::inRange<std::uint32_t>(0, 9),
                    rc::gen::arbitrary<bool>()));
            std::int64_t now = 1000;
            for (auto const& [index, running, is_whole] : steps) {
                endpoint(reporter, names.at(index)).own.running = running;
                report_loads(
                    reporter, receiver, is_whole ? report_scope::whole : report_scope::changes, at(now += 100));
                for (auto const* name : names)
                    RC_ASSERT(endpoint(receiver, name).others.running == endpoint(reporter, name).own.running);
            }
            receiver.forget(peer_report { .peer = vm_name("b") }.source());
            for (auto const* name : names)
                RC_ASSERT(endpoint(receiver, name).others.running == 0U);
        });
    }

    static void a_lost_report_is_corrected_by_the_next_whole_one()
    {
        auto reporter = make_board();
        auto receiver = make_board();
        endpoint(reporter, "e1").own.running = 4;
        report_loads(reporter, receiver, report_scope::whole, at(1000));
        endpoint(reporter, "e1").own.running = 1;
        endpoint(reporter, "e2").own.running = 5;
        (void)reporter.take_own_loads(report_scope::changes);
        endpoint(reporter, "e3").own.running = 2;
        report_loads(reporter, receiver, report_scope::changes, at(1200));
        CPPUNIT_ASSERT_EQUAL(std::uint32_t { 4 }, endpoint(receiver, "e1").others.running);
        report_loads(reporter, receiver, report_scope::whole, at(1300));
        for (auto const* name : names)
            CPPUNIT_ASSERT_EQUAL(endpoint(reporter, name).own.running, endpoint(receiver, name).others.running);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(load_reports_test);

} // namespace shedhill::dispatch
