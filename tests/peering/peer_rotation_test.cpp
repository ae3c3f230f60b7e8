// SPDX-License-Identifier: BSD-2-Clause
// Tests that each peer receives the list of routers in rotation, at a rate that does not depend on the number of peers.
#include "libraries/peering/peer_rotation.h"
#include "tests/support/property.h"

#include <algorithm>
#include <map>

namespace shedhill::peering {

class peer_rotation_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(peer_rotation_test);
    CPPUNIT_TEST(in_a_full_mesh_each_peer_is_served_every_four_seconds);
    CPPUNIT_TEST(messages_do_not_grow_with_the_number_of_peers);
    CPPUNIT_TEST(every_peer_is_served_though_others_come_and_go);
    CPPUNIT_TEST(missed_turns_are_not_made_up_for);
    CPPUNIT_TEST_SUITE_END();

    static constexpr milliseconds tick { 100 };

    static std::vector<std::string> domain_peers(std::size_t count)
    {
        std::vector<std::string> addresses;
        for (std::size_t index = 0; index < count; ++index)
            addresses.push_back("10.0.0." + std::to_string(index) + ":8785");
        std::ranges::sort(addresses);
        return addresses;
    }

    static instant at(milliseconds time) { return instant(milliseconds(1000) + time); }

    static std::map<std::string, int> count_messages(std::vector<std::string> const& all, milliseconds time)
    {
        peer_rotation rotation;
        std::map<std::string, int> served;
        for (milliseconds now { 0 }; now < time; now += tick) {
            for (auto const& address : rotation.take_due(all, at(now)))
                ++served[address];
        }
        return served;
    }

    void in_a_full_mesh_each_peer_is_served_every_four_seconds()
    {
        auto const served = count_messages(domain_peers(11), milliseconds(4000));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 11 }, served.size());
    }

    // Guards against traffic that grows with the number of peers: if each of 76 peers receives a list of 384 routers
    // every four seconds, each router sends 19 lists per second.
    void messages_do_not_grow_with_the_number_of_peers()
    {
        for (std::size_t const count : { 11U, 76U, 200U, 1000U }) {
            int sum = 0;
            for (auto const& [address, times] : count_messages(domain_peers(count), milliseconds(10000)))
                sum += times;
            CPPUNIT_ASSERT(sum <= 30);
        }
    }

    void every_peer_is_served_though_others_come_and_go()
    {
        testing::check_property("every peer is served", [] {
            auto all = domain_peers(*rc::gen::inRange<std::size_t>(1, 60));
            auto const stable_peer = all.at(*rc::gen::inRange<std::size_t>(0, all.size()));
            peer_rotation rotation;
            bool is_served = false;
            // Every second one of the other peers leaves or a new one joins.
            for (milliseconds now { 0 }; now < milliseconds(60000) && !is_served; now += tick) {
                auto const due = rotation.take_due(all, at(now));
                is_served = std::ranges::find(due, stable_peer) != due.end();
                if (now % milliseconds(1000) != milliseconds(0))
                    continue;
                auto const other = *rc::gen::inRange<std::size_t>(0, all.size());
                if (all.at(other) != stable_peer)
                    all.erase(all.begin() + static_cast<std::ptrdiff_t>(other));
                else
                    all.push_back("10.0.1." + std::to_string(now.count()) + ":8785");
                std::ranges::sort(all);
            }
            RC_ASSERT(is_served);
        });
    }

    void missed_turns_are_not_made_up_for()
    {
        auto const all = domain_peers(50);
        peer_rotation rotation;
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, rotation.take_due(all, at(milliseconds(0))).size());
        CPPUNIT_ASSERT(rotation.take_due({}, at(milliseconds(5000))).empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, rotation.take_due(all, at(milliseconds(5000))).size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(peer_rotation_test);

} // namespace shedhill::peering
