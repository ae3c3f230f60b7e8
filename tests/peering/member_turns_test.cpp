// SPDX-License-Identifier: BSD-2-Clause
// Who is told which routers there are: everyone in turn, and a few a second however many there are.
#include "libraries/peering/member_turns.h"
#include "tests/support/property.h"

#include <algorithm>
#include <map>

namespace shedhill::peering {

class member_turns_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(member_turns_test);
    CPPUNIT_TEST(in_a_small_fleet_each_is_told_each_four_seconds);
    CPPUNIT_TEST(what_is_told_does_not_grow_with_the_neighbours);
    CPPUNIT_TEST(everyone_has_a_turn_though_neighbours_come_and_go);
    CPPUNIT_TEST(a_silence_is_not_made_up_for);
    CPPUNIT_TEST_SUITE_END();

    static constexpr milliseconds tick { 100 };

    static std::vector<std::string> neighbours(std::size_t count)
    {
        std::vector<std::string> made;
        for (std::size_t index = 0; index < count; ++index)
            made.push_back("10.0.0." + std::to_string(index) + ":8785");
        std::ranges::sort(made);
        return made;
    }

    static instant at(milliseconds time) { return instant(milliseconds(1000) + time); }

    static std::map<std::string, int> told_in(std::vector<std::string> const& all, milliseconds time)
    {
        member_turns turns;
        std::map<std::string, int> told;
        for (milliseconds now { 0 }; now < time; now += tick) {
            for (auto const& address : turns.take_due(all, at(now)))
                ++told[address];
        }
        return told;
    }

    void in_a_small_fleet_each_is_told_each_four_seconds()
    {
        auto const told = told_in(neighbours(11), milliseconds(4000));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 11 }, told.size());
    }

    // Before, 76 neighbours were told 384 routers each four seconds: 19 lists a second and router.
    void what_is_told_does_not_grow_with_the_neighbours()
    {
        for (std::size_t const count : { 11U, 76U, 200U, 1000U }) {
            int sum = 0;
            for (auto const& [address, times] : told_in(neighbours(count), milliseconds(10000)))
                sum += times;
            CPPUNIT_ASSERT(sum <= 30);
        }
    }

    void everyone_has_a_turn_though_neighbours_come_and_go()
    {
        testing::check_property("everyone has a turn", [] {
            auto all = neighbours(*rc::gen::inRange<std::size_t>(1, 60));
            auto const stays = all.at(*rc::gen::inRange<std::size_t>(0, all.size()));
            member_turns turns;
            bool is_told = false;
            // Each second one of the others goes, or a new one comes.
            for (milliseconds now { 0 }; now < milliseconds(60000) && !is_told; now += tick) {
                auto const due = turns.take_due(all, at(now));
                is_told = std::ranges::find(due, stays) != due.end();
                if (now % milliseconds(1000) != milliseconds(0))
                    continue;
                auto const other = *rc::gen::inRange<std::size_t>(0, all.size());
                if (all.at(other) != stays)
                    all.erase(all.begin() + static_cast<std::ptrdiff_t>(other));
                else
                    all.push_back("10.0.1." + std::to_string(now.count()) + ":8785");
                std::ranges::sort(all);
            }
            RC_ASSERT(is_told);
        });
    }

    void a_silence_is_not_made_up_for()
    {
        auto const all = neighbours(50);
        member_turns turns;
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, turns.take_due(all, at(milliseconds(0))).size());
        CPPUNIT_ASSERT(turns.take_due({}, at(milliseconds(5000))).empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, turns.take_due(all, at(milliseconds(5000))).size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(member_turns_test);

} // namespace shedhill::peering
