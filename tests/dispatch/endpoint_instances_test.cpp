// SPDX-License-Identifier: BSD-2-Clause
// Tests an endpoint that restarts under the same name: recorded state, load counts and running attempts belong to the
// previous instance.
#include "base/hash.h"
#include "tests/dispatch/dispatch_driver.h"

#include <cppunit/extensions/HelperMacros.h>

namespace shedhill::dispatch {

class endpoint_instances_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(endpoint_instances_test);
    CPPUNIT_TEST(a_new_instance_has_no_state_of_the_previous_one);
    CPPUNIT_TEST(the_name_belongs_to_the_listed_instance);
    CPPUNIT_TEST(reports_about_the_previous_instance_do_not_count);
    CPPUNIT_TEST(a_repeatable_request_at_the_previous_instance_is_retried_at_once);
    CPPUNIT_TEST(an_order_at_the_previous_instance_ends_as_unknown_at_once);
    CPPUNIT_TEST(listing_the_same_instance_again_changes_nothing);
    CPPUNIT_TEST_SUITE_END();

    static constexpr std::uint64_t first_started_at_ms = 1781817594010;

    static instant at(std::int64_t time) { return instant(milliseconds(time)); }

    static endpoint_entry make_instance(std::string const& pool, std::uint64_t started_at_ms)
    {
        auto entry = dispatch_driver::make_endpoint("e1", pool, 4);
        entry.started_at_ms = started_at_ms;
        return entry;
    }

    void a_new_instance_has_no_state_of_the_previous_one()
    {
        endpoint_board board(failure_domain("north"));
        board.apply_list({ make_instance("model", first_started_at_ms) }, at(1000));
        auto* const before = board.find(endpoint_name("e1"));
        before->own.running = 2;
        before->prompt_cache.record_use(77, at(1000));
        before->health.record(attempt_verdict::failed, at(1000));
        board.apply_list({ make_instance("model", first_started_at_ms + 5000) }, at(6000));
        auto* const after = board.find(endpoint_name("e1"));
        CPPUNIT_ASSERT(after != before);
        CPPUNIT_ASSERT_EQUAL(0U, after->total_running());
        CPPUNIT_ASSERT(after->prompt_cache.used_since({}).empty());
        // The previous instance stays on the board until its attempts have ended.
        CPPUNIT_ASSERT(board.find(key_of(endpoint_name("e1"), first_started_at_ms)) == before);
        before->own.running = 0;
        board.apply_list({ make_instance("model", first_started_at_ms + 5000) }, at(6100));
        CPPUNIT_ASSERT(board.find(key_of(endpoint_name("e1"), first_started_at_ms)) == nullptr);
        CPPUNIT_ASSERT(board.find(endpoint_name("e1")) == after);
    }

    void the_name_belongs_to_the_listed_instance()
    {
        dispatch_driver driver;
        driver.start({ make_instance("plain", first_started_at_ms) });
        (void)driver.ask("/look/");
        driver.deliver(endpoints_listed { { make_instance("plain", first_started_at_ms + 5000) } });
        (void)driver.ask("/look/");
        driver.deliver(endpoints_listed { { make_instance("plain", first_started_at_ms) } });
        auto const request = driver.ask("/look/");
        driver.deliver(endpoints_listed { { make_instance("plain", first_started_at_ms) } });
        CPPUNIT_ASSERT(!driver.is_cancelled(request));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, driver.sent_for(request).size());
    }

    void reports_about_the_previous_instance_do_not_count()
    {
        endpoint_board board(failure_domain("north"));
        board.apply_list({ make_instance("model", first_started_at_ms + 5000) }, at(6000));
        peer_report report;
        report.peer = vm_name("b");
        report.loads = { { key_of(endpoint_name("e1"), first_started_at_ms), { 3, 9000, 9000 }, { 0, 5000 } } };
        report.parts = { { key_of(endpoint_name("e1"), first_started_at_ms), 77 } };
        board.apply_report(report, report_origin::own_domain, at(6000));
        auto* const endpoint = board.find(endpoint_name("e1"));
        CPPUNIT_ASSERT_EQUAL(0U, endpoint->total_running());
        CPPUNIT_ASSERT(endpoint->prompt_cache.used_since({}).empty());
        report.loads[0].endpoint = key_of(endpoint_name("e1"), first_started_at_ms + 5000);
        board.apply_report(report, report_origin::own_domain, at(6000));
        CPPUNIT_ASSERT_EQUAL(3U, endpoint->total_running());
    }

    void a_repeatable_request_at_the_previous_instance_is_retried_at_once()
    {
        dispatch_driver driver;
        driver.start({ make_instance("plain", first_started_at_ms) });
        auto const request = driver.ask("/look/");
        driver.deliver(endpoints_listed {
            { make_instance("plain", first_started_at_ms + 5000), dispatch_driver::make_endpoint("e2", "plain") } });
        CPPUNIT_ASSERT(driver.is_cancelled(request));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 2 }, driver.sent_for(request).size());
        CPPUNIT_ASSERT(!driver.refusal_of(request));
    }

    void an_order_at_the_previous_instance_ends_as_unknown_at_once()
    {
        dispatch_driver driver;
        driver.start({ make_instance("plain", first_started_at_ms) });
        auto const request = driver.ask("/order/");
        driver.deliver(endpoints_listed { { make_instance("plain", first_started_at_ms + 5000) } });
        CPPUNIT_ASSERT(driver.is_cancelled(request));
        CPPUNIT_ASSERT_EQUAL(std::uint16_t { 502 }, driver.refusal_of(request)->status);
        CPPUNIT_ASSERT(!driver.refusal_of(request)->retry_after);
    }

    void listing_the_same_instance_again_changes_nothing()
    {
        dispatch_driver driver;
        driver.start({ make_instance("plain", first_started_at_ms) });
        auto const request = driver.ask("/look/");
        auto entry = make_instance("plain", first_started_at_ms);
        entry.is_draining = true;
        driver.deliver(endpoints_listed { { entry } });
        CPPUNIT_ASSERT(!driver.is_cancelled(request));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, driver.sent_for(request).size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(endpoint_instances_test);

} // namespace shedhill::dispatch
