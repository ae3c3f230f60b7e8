// SPDX-License-Identifier: BSD-2-Clause
// Tests the terms on which a team's requests are admitted: requests to which the team is entitled may queue, requests
// past its share only use idle time.
#include "libraries/dispatch/admission/admission_terms.h"
#include "tests/dispatch/dispatch_driver.h"
#include "tests/support/property.h"

namespace shedhill::dispatch {

class admission_terms_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(admission_terms_test);
    CPPUNIT_TEST(share_status_follows_level_share_and_even_level);
    CPPUNIT_TEST(terms_never_grow_with_the_level);
    CPPUNIT_TEST(terms_never_grow_with_scarcity);
    CPPUNIT_TEST(shares_have_no_effect_without_scarcity);
    CPPUNIT_TEST(requests_past_their_share_do_not_queue_at_an_engine);
    CPPUNIT_TEST(entitled_requests_queue_though_others_are_past_their_share);
    CPPUNIT_TEST(requests_past_their_share_are_served_while_an_engine_is_idle);
    CPPUNIT_TEST(requests_past_their_share_prefill_nothing_that_is_cached_elsewhere);
    CPPUNIT_TEST(a_team_far_above_the_even_level_is_refused_at_once);
    CPPUNIT_TEST(a_team_without_competitors_is_not_limited);
    CPPUNIT_TEST(free_slots_do_not_admit_a_request_that_would_be_late);
    CPPUNIT_TEST_SUITE_END();

    using driver = dispatch_driver;

    static constexpr milliseconds objective { 400 };
    // Prompt tokens of a request that uses up the driver's share, which is 40,000 tokens in a window.
    static constexpr token_count whole_share = 41000;

    void share_status_follows_level_share_and_even_level()
    {
        CPPUNIT_ASSERT(share_status_of({ 100, 100, 50 }) == share_status::within_share);
        CPPUNIT_ASSERT(share_status_of({ 101, 100, 150 }) == share_status::past_share);
        CPPUNIT_ASSERT(share_status_of({ 151, 100, 150 }) == share_status::ahead);
    }

    // A team that received more never has better terms.
    void terms_never_grow_with_the_level()
    {
        testing::check_property("terms never grow with the level", [] {
            auto const share = *rc::gen::inRange<token_count>(1, 1000);
            auto const even_level = *rc::gen::inRange<token_count>(1, 1000);
            auto const less = *rc::gen::inRange<token_count>(0, 3000);
            auto const more = less + *rc::gen::inRange<token_count>(0, 3000);
            auto const scarcity = static_cast<double>(*rc::gen::inRange(0, 101)) / 100;
            dispatch_policy const policy;
            auto const terms_at = [&](token_count level) {
                team_account const account { level, share, even_level };
                return terms_of(share_status_of(account), account, objective, scarcity, policy);
            };
            auto const better = terms_at(less);
            auto const worse = terms_at(more);
            RC_ASSERT(better.max_wait >= worse.max_wait);
            RC_ASSERT(better.max_load >= worse.max_load);
            RC_ASSERT(better.queueing_fraction >= worse.queueing_fraction);
            RC_ASSERT(better.patience <= worse.patience);
            RC_ASSERT(worse.patience > worse.max_wait || worse.queueing_fraction > 0);
            RC_ASSERT(worse.max_load >= 0);
            RC_ASSERT(more > std::max(share, even_level) || worse.max_load >= policy.load_past_share);
        });
    }

    static team_account any_account()
    {
        return { *rc::gen::inRange<token_count>(0, 3000), *rc::gen::inRange<token_count>(1, 1000),
            *rc::gen::inRange<token_count>(1, 1000) };
    }

    void terms_never_grow_with_scarcity()
    {
        testing::check_property("terms never grow with scarcity", [] {
            auto const account = any_account();
            auto const less = static_cast<double>(*rc::gen::inRange(0, 101)) / 100;
            auto const more = less + (1 - less) * static_cast<double>(*rc::gen::inRange(0, 101)) / 100;
            dispatch_policy const policy;
            auto const better = terms_of(share_status_of(account), account, objective, less, policy);
            auto const worse = terms_of(share_status_of(account), account, objective, more, policy);
            RC_ASSERT(better.max_wait >= worse.max_wait);
            RC_ASSERT(better.max_load >= worse.max_load);
            RC_ASSERT(better.queueing_fraction >= worse.queueing_fraction);
            RC_ASSERT(better.patience <= worse.patience);
        });
    }

    void shares_have_no_effect_without_scarcity()
    {
        testing::check_property("no share binds", [] {
            auto const account = any_account();
            dispatch_policy const policy;
            auto const terms = terms_of(share_status_of(account), account, objective, 0, policy);
            auto const entitled = terms_of(share_status::within_share, account, objective, 0, policy);
            RC_ASSERT(terms.max_wait == entitled.max_wait);
            RC_ASSERT(terms.patience == entitled.patience);
            RC_ASSERT(terms.max_load == entitled.max_load);
            RC_ASSERT(terms.queueing_fraction == entitled.queueing_fraction);
        });
    }

    void requests_past_their_share_do_not_queue_at_an_engine()
    {
        driver fleet;
        fleet.start({ driver::make_endpoint("e1", "model", 100) });
        fleet.ask("/once/", "red-key", whole_share);
        auto const second = fleet.ask("/once/", "red-key", 1000);
        fleet.wait(milliseconds(60));
        CPPUNIT_ASSERT(fleet.sent_for(second).empty());
        CPPUNIT_ASSERT_EQUAL(std::uint16_t { 429 }, fleet.refusal_of(second)->status);
        CPPUNIT_ASSERT(fleet.refusal_of(second)->retry_after.has_value());
    }

    void entitled_requests_queue_though_others_are_past_their_share()
    {
        driver fleet;
        fleet.start({ driver::make_endpoint("e1", "model", 100) });
        fleet.ask_and_prefill("/once/", "red-key", whole_share);
        fleet.ask("/once/", "red-key", 10000);
        auto const entitled = fleet.ask("/once/", "blue-key", 1000);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, fleet.sent_for(entitled).size());
    }

    void requests_past_their_share_are_served_while_an_engine_is_idle()
    {
        driver fleet;
        fleet.start({ driver::make_endpoint("e1", "model", 100) });
        fleet.ask_and_prefill("/once/", "red-key", whole_share);
        auto const second = fleet.ask("/once/", "red-key", 30000);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, fleet.sent_for(second).size());
    }

    void requests_past_their_share_prefill_nothing_that_is_cached_elsewhere()
    {
        driver fleet;
        fleet.start({ driver::make_endpoint("e1", "model", 100), driver::make_endpoint("e2", "model", 100) });
        // The first half of every prompt of the driver is a common part, which one of the two endpoints now has cached.
        fleet.ask("/once/", "red-key", whole_share);
        auto const caching_endpoint = fleet.sent().front().endpoint;
        auto const second = fleet.ask("/once/", "red-key", 30000);
        fleet.wait(milliseconds(30));
        CPPUNIT_ASSERT(fleet.sent_for(second).empty());
        fleet.wait(milliseconds(600));
        fleet.begin(request_number(1));
        auto const third = fleet.ask("/once/", "red-key", 30000);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, fleet.sent_for(third).size());
        CPPUNIT_ASSERT(fleet.sent_for(third).front().endpoint == caching_endpoint);
    }

    void a_team_far_above_the_even_level_is_refused_at_once()
    {
        driver fleet;
        fleet.start({ driver::make_endpoint("e1", "model", 100) });
        for (int index = 0; index < 8; ++index) {
            auto const request = fleet.ask("/once/", "red-key", whole_share);
            fleet.wait(milliseconds(100));
            fleet.begin(request);
        }
        // The other team requests as much and has received less than a third of it.
        for (int index = 0; index < 8; ++index)
            fleet.ask("/once/", "blue-key", whole_share);
        fleet.wait(milliseconds(100));
        auto const more = fleet.ask("/once/", "red-key", 1000);
        CPPUNIT_ASSERT(fleet.refusal_of(more).has_value());
        CPPUNIT_ASSERT(fleet.refusal_of(more)->reason == refusal_reason::team_over_share);
    }

    // No slot is reserved for a team that sends no requests.
    void a_team_without_competitors_is_not_limited()
    {
        driver fleet;
        fleet.start({ driver::make_endpoint("e1", "model", 100) });
        for (int index = 0; index < 4; ++index) {
            auto const request = fleet.ask_and_prefill("/once/", "red-key", whole_share);
            CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, fleet.sent_for(request).size());
        }
    }

    // Free slots do not show that an engine has capacity: with 99 of 100 slots free, its pending prefill may take a
    // second.
    void free_slots_do_not_admit_a_request_that_would_be_late()
    {
        driver fleet;
        fleet.start({ driver::make_endpoint("e1", "model", 100) });
        fleet.ask("/once/", "red-key", whole_share);
        auto const entitled = fleet.ask("/once/", "blue-key", 1000);
        fleet.wait(milliseconds(200));
        CPPUNIT_ASSERT(fleet.sent_for(entitled).empty());
        CPPUNIT_ASSERT(fleet.refusal_of(entitled).has_value());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(admission_terms_test);

} // namespace shedhill::dispatch
