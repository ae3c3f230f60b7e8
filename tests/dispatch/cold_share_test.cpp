// SPDX-License-Identifier: BSD-2-Clause
// Tests that a fleet whose routers each count their own sends respects the limit of a cold endpoint: with old and new
// lists of routers, with two halves that each believe the other gone, with restarts, and with clocks of different
// rates.
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
    std::vector<std::string> result;
    for (auto index = first; index < first + count; ++index)
        result.push_back("10.0.0." + std::to_string(index) + ":1");
    return result;
}

// A router that sends to a cold endpoint whenever its allowance permits.
struct eager_router {
    std::string address;
    // Milliseconds by which the router's clock advances in 1000 true milliseconds.
    std::int64_t clock_rate { 1000 };
    cold_share share { bounds };
    cold_period sent {};

    [[nodiscard]] instant clock(std::int64_t true_ms) const
    {
        return instant(milliseconds(5000 + true_ms * clock_rate / 1000));
    }

    void apply_routers(std::vector<std::string> const& routers, std::int64_t true_ms)
    {
        share.apply_routers(routers, address, clock(true_ms));
    }

    bool try_send(endpoint_key endpoint, std::int64_t true_ms)
    {
        auto const now = clock(true_ms);
        if (!sent.may_send(share.allowance(endpoint, per_second, now), now))
            return false;
        sent.record_sent(now);
        return true;
    }
};

struct send_log {
    std::vector<std::int64_t> times;

    // Returns the largest number of sends within any second.
    [[nodiscard]] std::size_t max_per_second() const
    {
        std::size_t max_count = 0;
        for (auto first = times.begin(); first != times.end(); ++first) {
            auto const last = std::ranges::upper_bound(times, *first + 999);
            max_count = std::max(max_count, static_cast<std::size_t>(last - first));
        }
        return max_count;
    }
};

} // namespace

class cold_share_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(cold_share_test);
    CPPUNIT_TEST(a_stable_fleet_uses_most_of_the_sustained_rate);
    CPPUNIT_TEST(the_limit_holds_in_any_split_and_order_of_restarts);
    CPPUNIT_TEST(the_limit_holds_while_routers_are_added);
    CPPUNIT_TEST(a_router_without_a_list_of_routers_sends_nothing);
    CPPUNIT_TEST(a_router_that_has_just_started_sends_nothing_for_a_window);
    CPPUNIT_TEST(allowances_are_recomputed_for_another_rate);
    CPPUNIT_TEST_SUITE_END();

    static std::vector<eager_router> fleet_of(std::size_t count)
    {
        std::vector<eager_router> fleet;
        auto const all = addresses(0, count);
        fleet.reserve(count);
        for (auto const& address : all)
            fleet.push_back({ address });
        for (auto& router : fleet)
            router.apply_routers(all, 0);
        return fleet;
    }

    static endpoint_key test_endpoint() { return key_of(endpoint_name("engine")); }

    void a_stable_fleet_uses_most_of_the_sustained_rate()
    {
        for (std::size_t const count : { 1U, 2U, 5U, 22U, 100U, 300U }) {
            auto fleet = fleet_of(count);
            send_log all;
            for (std::int64_t now = 2000; now < 12000; now += 5) {
                for (auto& router : fleet) {
                    if (router.try_send(test_endpoint(), now))
                        all.times.push_back(now);
                }
            }
            // The routers together may send 18 requests per window of 1.05 s; the endpoint sustains 21 per second.
            CPPUNIT_ASSERT(static_cast<double>(all.times.size()) >= 0.8 * per_second * 10);
            CPPUNIT_ASSERT(static_cast<double>(all.max_per_second()) <= per_second);
        }
    }

    void the_limit_holds_in_any_split_and_order_of_restarts()
    {
        CPPUNIT_ASSERT(rc::check("no second is over the limit", [] {
            auto const count = *rc::gen::element<std::size_t>(2, 22, 100, 300);
            auto fleet = fleet_of(count);
            for (auto& router : fleet)
                router.clock_rate = *rc::gen::inRange<std::int64_t>(970, 1030);
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
            send_log all;
            for (std::int64_t now = 1500; now < 8000; now += 10) {
                if (auto const found = restarts.find(now); found != restarts.end()) {
                    auto& router = fleet[found->second];
                    router = { router.address, router.clock_rate };
                    router.apply_routers(view_of(found->second, now), now);
                }
                for (std::size_t index = 0; index < count; ++index) {
                    if (now == split_at / 10 * 10)
                        fleet[index].apply_routers(view_of(index, split_at), now);
                    if (fleet[index].try_send(test_endpoint(), now))
                        all.times.push_back(now);
                }
            }
            RC_ASSERT(static_cast<double>(all.max_per_second()) <= limit);
        }));
    }

    void the_limit_holds_while_routers_are_added()
    {
        for (std::size_t const count : { 2U, 4U, 22U, 100U }) {
            auto fleet = fleet_of(count);
            auto const all_addresses = addresses(0, count + (count * 3 + 3) / 4);
            send_log all;
            for (std::int64_t now = 1500; now < 8000; now += 10) {
                // The new routers have the whole list at once; the others receive it one after another.
                if (now == 3000) {
                    for (auto index = count; index < all_addresses.size(); ++index) {
                        fleet.push_back({ all_addresses[index] });
                        fleet.back().apply_routers(all_addresses, now);
                    }
                }
                if (now >= 4500 && static_cast<std::size_t>(now - 4500) / 10 < count)
                    fleet[static_cast<std::size_t>(now - 4500) / 10].apply_routers(all_addresses, now);
                for (auto& router : fleet) {
                    if (router.try_send(test_endpoint(), now))
                        all.times.push_back(now);
                }
            }
            CPPUNIT_ASSERT(static_cast<double>(all.max_per_second()) <= limit);
        }
    }

    void a_router_without_a_list_of_routers_sends_nothing()
    {
        eager_router router { "10.0.0.1:1" };
        for (std::int64_t now = 0; now < 5000; now += 100)
            CPPUNIT_ASSERT(!router.try_send(test_endpoint(), now));
    }

    void a_router_that_has_just_started_sends_nothing_for_a_window()
    {
        eager_router router { "10.0.0.1:1" };
        router.apply_routers({}, 0);
        CPPUNIT_ASSERT(!router.try_send(test_endpoint(), cold_period::window.count() - 1));
        CPPUNIT_ASSERT(router.try_send(test_endpoint(), cold_period::window.count()));
    }

    void allowances_are_recomputed_for_another_rate()
    {
        cold_share share(bounds);
        share.apply_routers({}, "10.0.0.1:1", instant(milliseconds(1000)));
        auto const later = instant(milliseconds(9000));
        CPPUNIT_ASSERT_EQUAL(18U, share.allowance(test_endpoint(), per_second, later));
        CPPUNIT_ASSERT_EQUAL(4U, share.allowance(test_endpoint(), 4, later));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(cold_share_test);

} // namespace shedhill::dispatch
