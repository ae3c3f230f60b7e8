// SPDX-License-Identifier: BSD-2-Clause
// Tests what a router does while its configuration grows: the number of operations that a new version takes, and what
// happens to requests that waited meanwhile.
#include "libraries/dispatch/route_index.h"
#include "libraries/dispatch/streams/pool_changes.h"
#include "tests/dispatch/dispatch_driver.h"
#include "tests/support/property.h"

#include <cppunit/extensions/HelperMacros.h>

namespace shedhill::dispatch {

class configuration_change_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(configuration_change_test);
    CPPUNIT_TEST(twice_as_many_routes_take_twice_as_many_operations);
    CPPUNIT_TEST(routes_of_one_host_take_operations_in_proportion);
    CPPUNIT_TEST(any_change_takes_operations_in_proportion_to_its_routes);
    CPPUNIT_TEST(an_indexed_search_finds_the_route_with_the_longest_prefix);
    CPPUNIT_TEST(a_request_that_waited_unread_is_not_held_past_its_time_limit);
    CPPUNIT_TEST(a_request_whose_time_limit_passed_unread_is_refused_at_once);
    CPPUNIT_TEST(a_paused_router_sends_nothing_to_an_endpoint_that_left_meanwhile);
    CPPUNIT_TEST(a_paused_router_serves_while_the_list_cannot_be_confirmed);
    CPPUNIT_TEST(a_router_that_is_paused_again_and_again_serves);
    CPPUNIT_TEST_SUITE_END();

    // The operations for each route of both versions. Paths have few prefixes, whatever the number of routes is.
    static constexpr std::uint64_t max_operations_per_route = 16;

    static std::vector<route> make_routes(std::size_t count, std::size_t hosts)
    {
        std::vector<route> routes;
        for (std::size_t index = 0; index < count; ++index) {
            auto added = dispatch_driver::make_route(
                "/path" + std::to_string(index / hosts) + "/", answer_form::stream, retry_mode::resumable, "model");
            added.host = "host" + std::to_string(index % hosts);
            routes.push_back(std::move(added));
        }
        return routes;
    }

    static std::uint64_t operations_of_change(std::vector<route> const& before, std::vector<route> const& after)
    {
        route_index const index_before(before);
        route_index const index_after(after);
        pool_changes changes;
        changes.record({ before, index_before }, { after, index_after }, milliseconds(1000), {});
        return changes.examined_routes();
    }

    // Returns the operations that a router takes when this number of routes grows by half.
    static std::uint64_t operations_of_growth(std::size_t count, std::size_t hosts)
    {
        return operations_of_change(make_routes(count, hosts), make_routes(count + count / 2, hosts));
    }

    void twice_as_many_routes_take_twice_as_many_operations()
    {
        auto const single = operations_of_growth(400, 40);
        auto const twice = operations_of_growth(800, 80);
        CPPUNIT_ASSERT(twice <= 2 * single + max_operations_per_route);
        CPPUNIT_ASSERT(twice <= max_operations_per_route * (800 + 1200));
    }

    void routes_of_one_host_take_operations_in_proportion()
    {
        auto const single = operations_of_growth(400, 1);
        auto const twice = operations_of_growth(800, 1);
        CPPUNIT_ASSERT(twice <= 2 * single + max_operations_per_route * max_operations_per_route);
        CPPUNIT_ASSERT(twice <= max_operations_per_route * (800 + 1200));
    }

    void any_change_takes_operations_in_proportion_to_its_routes()
    {
        testing::check_property("the operations are proportional to the routes", [] {
            auto const hosts = *rc::gen::inRange<std::size_t>(1, 50);
            auto const before = make_routes(*rc::gen::inRange<std::size_t>(1, 600), hosts);
            auto const after = make_routes(*rc::gen::inRange<std::size_t>(1, 600), hosts);
            RC_ASSERT(operations_of_change(before, after) <= max_operations_per_route * (before.size() + after.size()));
        });
    }

    static route const* find_by_scan(std::vector<route> const& routes, std::string const& host, std::string const& path)
    {
        route const* longest = nullptr;
        for (auto const& candidate : routes) {
            if (candidate.host == host && path.starts_with(candidate.path_prefix)
                && (longest == nullptr || candidate.path_prefix.size() > longest->path_prefix.size()))
                longest = &candidate;
        }
        return longest;
    }

    void an_indexed_search_finds_the_route_with_the_longest_prefix()
    {
        testing::check_property("the index agrees with a scan of all routes", [] {
            auto const make_path = [] {
                std::string path = "/";
                for (auto const part : *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 3)))
                    path += std::string(static_cast<std::size_t>(part) + 1, static_cast<char>('a' + part)) + "/";
                return path;
            };
            auto routes = make_routes(*rc::gen::inRange<std::size_t>(0, 40), 2);
            for (auto& changed : routes)
                changed.path_prefix = make_path();
            route_index const index(routes);
            auto const path = make_path() + "end";
            for (auto const* host : { "host0", "host1", "host2" })
                RC_ASSERT(index.find(host, path) == find_by_scan(routes, host, path));
        });
    }

    static request_arrived make_late_request(std::uint64_t number, milliseconds unread_time)
    {
        request_arrived arrived;
        arrived.request = request_number(number);
        arrived.caller_id = "late";
        arrived.host = "host";
        arrived.path = "/look/a";
        arrived.key = "red-key";
        arrived.time_left = milliseconds(20000);
        arrived.unread_time = unread_time;
        return arrived;
    }

    void a_request_that_waited_unread_is_not_held_past_its_time_limit()
    {
        dispatch_driver driver;
        driver.start({ dispatch_driver::make_endpoint("a", "plain") });
        driver.deliver(make_late_request(7, milliseconds(4000)));
        auto const sent = driver.sent_for(request_number(7));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, sent.size());
        // The route's limit is 5 s.
        CPPUNIT_ASSERT(sent.front().time_left <= milliseconds(1000));
        driver.wait(milliseconds(1100));
        CPPUNIT_ASSERT(driver.refusal_of(request_number(7)).has_value());
    }

    void a_request_whose_time_limit_passed_unread_is_refused_at_once()
    {
        dispatch_driver driver;
        driver.start({ dispatch_driver::make_endpoint("a", "plain") });
        driver.deliver(make_late_request(7, milliseconds(5100)));
        CPPUNIT_ASSERT(driver.sent_for(request_number(7)).empty());
        auto const refusal = driver.refusal_of(request_number(7));
        CPPUNIT_ASSERT(refusal.has_value());
        CPPUNIT_ASSERT_EQUAL(std::uint16_t { 503 }, refusal->status);
    }

    // The pause of a router until which its list of endpoints is out of date by the bound for leaving endpoints.
    static constexpr milliseconds long_pause { 2500 };

    void a_paused_router_sends_nothing_to_an_endpoint_that_left_meanwhile()
    {
        dispatch_driver driver;
        driver.start({ dispatch_driver::make_endpoint("a", "plain") });
        driver.pause(long_pause);
        driver.deliver(make_late_request(7, milliseconds(300)));
        driver.deliver(tick { .list_age = long_pause });
        driver.deliver(endpoints_listed { { dispatch_driver::make_endpoint("b", "plain") } });
        driver.deliver(tick {});
        auto const sent = driver.sent_for(request_number(7));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, sent.size());
        CPPUNIT_ASSERT_EQUAL(std::string("b"), sent.front().endpoint.value());
    }

    void a_paused_router_serves_while_the_list_cannot_be_confirmed()
    {
        dispatch_driver driver;
        driver.start({ dispatch_driver::make_endpoint("a", "plain") });
        driver.pause(long_pause);
        driver.deliver(make_late_request(7, milliseconds(300)));
        constexpr int ticks = 100;
        for (int index = 0; index < ticks; ++index) {
            driver.pause(milliseconds(10));
            driver.deliver(tick { .list_age = long_pause + milliseconds(10 * index) });
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, driver.sent_for(request_number(7)).size());
    }

    void a_router_that_is_paused_again_and_again_serves()
    {
        dispatch_driver driver;
        driver.start({ dispatch_driver::make_endpoint("a", "plain") });
        constexpr milliseconds short_pause { 300 };
        driver.pause(long_pause);
        driver.deliver(make_late_request(7, milliseconds(300)));
        auto list_age = long_pause;
        constexpr int pauses = 4;
        for (int index = 0; index < pauses; ++index) {
            driver.deliver(tick { .list_age = list_age });
            driver.pause(short_pause);
            list_age += short_pause;
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, driver.sent_for(request_number(7)).size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(configuration_change_test);

} // namespace shedhill::dispatch
