// SPDX-License-Identifier: BSD-2-Clause
// The limit on what a cold endpoint is sent holds over a whole fleet whose routers count for themselves: with old and
// new lists of routers, halves that think each other gone, restarts and clocks that differ in pace.
#include "libraries/dispatch/endpoints/cold_share.h"

#include "base/hash.h"
#include "libraries/dispatch/endpoints/cold_period.h"

#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>
#include <map>
#include <rapidcheck.h>

namespace shedhill::dispatch {

namespace {

constexpr double per_second = 21;
constexpr cold_bounds bounds { 1.5, 5 };
constexpr double limit = per_second * bounds.overage + bounds.slack;

std::vector<std::string> addresses(std::size_t first, std::size_t count)
{
    std::vector<std::string> made;
    for (auto index = first; index < first + count; ++index)
        made.push_back("10.0.0." + std::to_string(index) + ":1");
    return made;
}

// One router that sends to a cold endpoint whenever it may.
struct eager_router {
    std::string address;
    // Milliseconds of its clock in a thousand of the true ones.
    std::int64_t pace { 1000 };
    cold_share share { bounds };
    cold_period sent {};

    [[nodiscard]] instant clock(std::int64_t true_ms) const
    {
        return instant(milliseconds(5000 + true_ms * pace / 1000));
    }

    void take(std::vector<std::string> const& routers, std::int64_t true_ms)
    {
        share.apply_routers(routers, address, clock(true_ms));
    }

    bool tries(endpoint_key endpoint, std::int64_t true_ms)
    {
        auto const now = clock(true_ms);
        if (!sent.may_send(share.allowance(endpoint, per_second, now), now))
            return false;
        sent.record_sent(now);
        return true;
    }
};

struct sends {
    std::vector<std::int64_t> at;

    // The most in any second.
    [[nodiscard]] std::size_t most() const
    {
        std::size_t most = 0;
        for (auto first = at.begin(); first != at.end(); ++first) {
            auto const last = std::ranges::upper_bound(at, *first + 999);
            most = std::max(most, static_cast<std::size_t>(last - first));
        }
        return most;
    }
};

} // namespace

class cold_share_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(cold_share_test);
    CPPUNIT_TEST(a_calm_fleet_uses_what_an_endpoint_bears);
    CPPUNIT_TEST(the_limit_holds_in_any_split_and_order_of_restarts);
    CPPUNIT_TEST(the_limit_holds_while_routers_are_added);
    CPPUNIT_TEST(a_router_that_does_not_know_the_fleet_sends_nothing);
    CPPUNIT_TEST(a_router_that_has_just_started_sends_nothing_for_a_window);
    CPPUNIT_TEST(parts_are_worked_out_anew_for_another_rate);
    CPPUNIT_TEST_SUITE_END();

    static std::vector<eager_router> fleet_of(std::size_t count)
    {
        std::vector<eager_router> fleet;
        auto const all = addresses(0, count);
        fleet.reserve(count);
        for (auto const& address : all)
            fleet.push_back({ address });
        for (auto& router : fleet)
            router.take(all, 0);
        return fleet;
    }

    static endpoint_key some_endpoint() { return key_of(endpoint_name("engine")); }

    void a_calm_fleet_uses_what_an_endpoint_bears()
    {
        for (std::size_t const count : { 1U, 2U, 5U, 22U, 100U, 300U }) {
            auto fleet = fleet_of(count);
            sends all;
            for (std::int64_t now = 2000; now < 12000; now += 5) {
                for (auto& router : fleet) {
                    if (router.tries(some_endpoint(), now))
                        all.at.push_back(now);
                }
            }
            // 18 of 21 in 1.05 s.
            CPPUNIT_ASSERT(static_cast<double>(all.at.size()) >= 0.8 * per_second * 10);
            CPPUNIT_ASSERT(static_cast<double>(all.most()) <= per_second);
        }
    }

    void the_limit_holds_in_any_split_and_order_of_restarts()
    {
        CPPUNIT_ASSERT(rc::check("no second is over the limit", [] {
            auto const count = *rc::gen::element<std::size_t>(2, 22, 100, 300);
            auto fleet = fleet_of(count);
            for (auto& router : fleet)
                router.pace = *rc::gen::inRange<std::int64_t>(970, 1030);
            auto const half = *rc::gen::inRange<std::size_t>(1, count);
            auto const split_at = *rc::gen::inRange<std::int64_t>(2000, 5000);
            std::map<std::int64_t, std::size_t> restarts;
            for (auto const at :
                *rc::gen::container<std::vector<std::int64_t>>(20, rc::gen::inRange<std::int64_t>(1500, 7000)))
                restarts[at / 10 * 10] = *rc::gen::inRange<std::size_t>(0, count);
            auto const view_of = [&](std::size_t router, std::int64_t now) {
                if (now < split_at)
                    return addresses(0, count);
                return router < half ? addresses(0, half) : addresses(half, count - half);
            };
            sends all;
            for (std::int64_t now = 1500; now < 8000; now += 10) {
                if (auto const found = restarts.find(now); found != restarts.end()) {
                    auto& router = fleet[found->second];
                    router = { router.address, router.pace };
                    router.take(view_of(found->second, now), now);
                }
                for (std::size_t index = 0; index < count; ++index) {
                    if (now == split_at / 10 * 10)
                        fleet[index].take(view_of(index, split_at), now);
                    if (fleet[index].tries(some_endpoint(), now))
                        all.at.push_back(now);
                }
            }
            RC_ASSERT(static_cast<double>(all.most()) <= limit);
        }));
    }

    void the_limit_holds_while_routers_are_added()
    {
        for (std::size_t const count : { 2U, 4U, 22U, 100U }) {
            auto fleet = fleet_of(count);
            auto const grown = addresses(0, count + (count * 3 + 3) / 4);
            sends all;
            for (std::int64_t now = 1500; now < 8000; now += 10) {
                // The new ones know all; the others hear of them one after another.
                if (now == 3000) {
                    for (auto index = count; index < grown.size(); ++index) {
                        fleet.push_back({ grown[index] });
                        fleet.back().take(grown, now);
                    }
                }
                if (now >= 4500 && static_cast<std::size_t>(now - 4500) / 10 < count)
                    fleet[static_cast<std::size_t>(now - 4500) / 10].take(grown, now);
                for (auto& router : fleet) {
                    if (router.tries(some_endpoint(), now))
                        all.at.push_back(now);
                }
            }
            CPPUNIT_ASSERT(static_cast<double>(all.most()) <= limit);
        }
    }

    void a_router_that_does_not_know_the_fleet_sends_nothing()
    {
        eager_router router { "10.0.0.1:1" };
        for (std::int64_t now = 0; now < 5000; now += 100)
            CPPUNIT_ASSERT(!router.tries(some_endpoint(), now));
    }

    void a_router_that_has_just_started_sends_nothing_for_a_window()
    {
        eager_router router { "10.0.0.1:1" };
        router.take({}, 0);
        CPPUNIT_ASSERT(!router.tries(some_endpoint(), cold_period::window.count() - 1));
        CPPUNIT_ASSERT(router.tries(some_endpoint(), cold_period::window.count()));
    }

    void parts_are_worked_out_anew_for_another_rate()
    {
        cold_share share(bounds);
        share.apply_routers({}, "10.0.0.1:1", instant(milliseconds(1000)));
        auto const later = instant(milliseconds(9000));
        CPPUNIT_ASSERT_EQUAL(18U, share.allowance(some_endpoint(), per_second, later));
        CPPUNIT_ASSERT_EQUAL(4U, share.allowance(some_endpoint(), 4, later));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(cold_share_test);

} // namespace shedhill::dispatch
