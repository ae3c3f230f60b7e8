// SPDX-License-Identifier: BSD-2-Clause
// On what terms a team's requests are let in: what is owed may queue, what is past it fills idle time only.
#include "libraries/dispatch/admission/admission_terms.h"
#include "tests/dispatch/dispatch_driver.h"
#include "tests/support/property.h"

namespace shedhill::dispatch {

class admission_terms_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(admission_terms_test);
    CPPUNIT_TEST(standing_follows_level_share_and_even_level);
    CPPUNIT_TEST(terms_never_grow_with_the_level);
    CPPUNIT_TEST(terms_never_grow_with_scarcity);
    CPPUNIT_TEST(where_nothing_is_scarce_no_share_binds);
    CPPUNIT_TEST(what_is_past_its_share_does_not_queue_at_an_engine);
    CPPUNIT_TEST(what_is_owed_queues_though_others_are_past_their_share);
    CPPUNIT_TEST(what_is_past_its_share_is_served_while_an_engine_is_idle);
    CPPUNIT_TEST(what_is_past_its_share_reads_nothing_anew_that_is_kept_elsewhere);
    CPPUNIT_TEST(a_team_far_ahead_of_others_that_ask_is_refused_at_once);
    CPPUNIT_TEST(a_team_that_asks_alone_is_not_held_back);
    CPPUNIT_TEST(free_places_do_not_send_what_would_be_late);
    CPPUNIT_TEST_SUITE_END();

    using driver = dispatch_driver;

    static constexpr milliseconds objective { 400 };
    // The driver's share is 40,000 tokens in a window: one such request uses it up.
    static constexpr token_count whole_share = 41000;

    void standing_follows_level_share_and_even_level()
    {
        CPPUNIT_ASSERT(share_status_of({ 100, 100, 50 }) == share_status::within_share);
        CPPUNIT_ASSERT(share_status_of({ 101, 100, 150 }) == share_status::past_share);
        CPPUNIT_ASSERT(share_status_of({ 151, 100, 150 }) == share_status::ahead);
    }

    // Who was given more never has better terms.
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

    void where_nothing_is_scarce_no_share_binds()
    {
        testing::check_property("no share binds", [] {
            auto const account = any_account();
            dispatch_policy const policy;
            auto const terms = terms_of(share_status_of(account), account, objective, 0, policy);
            auto const owed = terms_of(share_status::within_share, account, objective, 0, policy);
            RC_ASSERT(terms.max_wait == owed.max_wait);
            RC_ASSERT(terms.patience == owed.patience);
            RC_ASSERT(terms.max_load == owed.max_load);
            RC_ASSERT(terms.queueing_fraction == owed.queueing_fraction);
        });
    }

    void what_is_past_its_share_does_not_queue_at_an_engine()
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

    void what_is_owed_queues_though_others_are_past_their_share()
    {
        driver fleet;
        fleet.start({ driver::make_endpoint("e1", "model", 100) });
        fleet.ask_and_read("/once/", "red-key", whole_share);
        fleet.ask("/once/", "red-key", 10000);
        auto const owed = fleet.ask("/once/", "blue-key", 1000);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, fleet.sent_for(owed).size());
    }

    void what_is_past_its_share_is_served_while_an_engine_is_idle()
    {
        driver fleet;
        fleet.start({ driver::make_endpoint("e1", "model", 100) });
        fleet.ask_and_read("/once/", "red-key", whole_share);
        auto const second = fleet.ask("/once/", "red-key", 30000);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, fleet.sent_for(second).size());
    }

    void what_is_past_its_share_reads_nothing_anew_that_is_kept_elsewhere()
    {
        driver fleet;
        fleet.start({ driver::make_endpoint("e1", "model", 100), driver::make_endpoint("e2", "model", 100) });
        // All prompts of the driver share a part of half their length: one of the two keeps it now.
        fleet.ask("/once/", "red-key", whole_share);
        auto const keeper = fleet.sent().front().endpoint;
        auto const second = fleet.ask("/once/", "red-key", 30000);
        fleet.wait(milliseconds(30));
        CPPUNIT_ASSERT(fleet.sent_for(second).empty());
        fleet.wait(milliseconds(600));
        fleet.begin(request_number(1));
        auto const third = fleet.ask("/once/", "red-key", 30000);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, fleet.sent_for(third).size());
        CPPUNIT_ASSERT(fleet.sent_for(third).front().endpoint == keeper);
    }

    void a_team_far_ahead_of_others_that_ask_is_refused_at_once()
    {
        driver fleet;
        fleet.start({ driver::make_endpoint("e1", "model", 100) });
        for (int index = 0; index < 8; ++index) {
            auto const request = fleet.ask("/once/", "red-key", whole_share);
            fleet.wait(milliseconds(100));
            fleet.begin(request);
        }
        // The other team asks for as much, and was given less than a third of it.
        for (int index = 0; index < 8; ++index)
            fleet.ask("/once/", "blue-key", whole_share);
        fleet.wait(milliseconds(100));
        auto const more = fleet.ask("/once/", "red-key", 1000);
        CPPUNIT_ASSERT(fleet.refusal_of(more).has_value());
        CPPUNIT_ASSERT(fleet.refusal_of(more)->reason == refusal_reason::team_over_share);
    }

    // No place idles for a team that does not ask.
    void a_team_that_asks_alone_is_not_held_back()
    {
        driver fleet;
        fleet.start({ driver::make_endpoint("e1", "model", 100) });
        for (int index = 0; index < 4; ++index) {
            auto const request = fleet.ask_and_read("/once/", "red-key", whole_share);
            CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, fleet.sent_for(request).size());
        }
    }

    // Places are no measure of what an engine can do: with 99 of 100 free it may be reading for a second.
    void free_places_do_not_send_what_would_be_late()
    {
        driver fleet;
        fleet.start({ driver::make_endpoint("e1", "model", 100) });
        fleet.ask("/once/", "red-key", whole_share);
        auto const owed = fleet.ask("/once/", "blue-key", 1000);
        fleet.wait(milliseconds(200));
        CPPUNIT_ASSERT(fleet.sent_for(owed).empty());
        CPPUNIT_ASSERT(fleet.refusal_of(owed).has_value());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(admission_terms_test);

} // namespace shedhill::dispatch
