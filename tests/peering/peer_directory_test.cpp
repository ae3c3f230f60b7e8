// SPDX-License-Identifier: BSD-2-Clause
// Tests which routers connect to each other in a large fleet, and how a lost delegate or remote peer is replaced.
#include "libraries/peering/peer_directory.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <set>

namespace shedhill::peering {

class peer_directory_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(peer_directory_test);
    CPPUNIT_TEST(a_member_round_trips_through_its_text);
    CPPUNIT_TEST(a_small_fleet_connects_all_to_all);
    CPPUNIT_TEST(a_large_fleet_connects_within_failure_domains);
    CPPUNIT_TEST(only_the_delegate_connects_to_other_failure_domains);
    CPPUNIT_TEST(a_router_connects_back_on_request);
    CPPUNIT_TEST(unneeded_connections_to_seeds_are_closed);
    CPPUNIT_TEST(another_router_replaces_a_lost_delegate);
    CPPUNIT_TEST(an_overloaded_router_is_not_the_delegate);
    CPPUNIT_TEST(a_silent_remote_peer_is_replaced);
    CPPUNIT_TEST(stale_rows_of_other_failure_domains_are_not_removed);
    CPPUNIT_TEST_SUITE_END();

    static constexpr int domains = 3;
    static constexpr int routers_each = 10;

    static instant at(std::int64_t time) { return instant(milliseconds(time)); }

    static fleet_member member(int domain, int router)
    {
        // The first two routers of each failure domain have a higher processor quota.
        auto const weight = static_cast<std::uint32_t>(router < 2 ? 500 - router : 90);
        return { "10." + std::to_string(domain) + ".0." + std::to_string(router) + ":1",
            failure_domain("d" + std::to_string(domain)), weight };
    }

    static std::map<std::string, fleet_member> table()
    {
        std::map<std::string, fleet_member> rows;
        for (int domain = 0; domain < domains; ++domain) {
            for (int router = 0; router < routers_each; ++router)
                rows[member(domain, router).address] = member(domain, router);
        }
        return rows;
    }

    static peer_directory make_directory(int domain, int router)
    {
        peer_directory directory(member(domain, router));
        directory.apply_table(table());
        return directory;
    }

    static void receive_domain_reports(
        peer_directory& directory, int domain, instant now, std::set<int> const& silent = {})
    {
        for (int router = 0; router < routers_each; ++router) {
            if (!silent.contains(router))
                directory.record_direct_report(member(domain, router), false, now);
        }
    }

    // Connects to all routers that are due and returns those of other failure domains.
    static std::vector<std::string> connect(peer_directory& directory, int domain, instant now)
    {
        std::vector<std::string> foreign;
        for (auto const& address : directory.take_due(now)) {
            directory.record_connected(address);
            if (!address.starts_with("10." + std::to_string(domain)))
                foreign.push_back(address);
        }
        return foreign;
    }

    void a_member_round_trips_through_its_text()
    {
        fleet_member const original { "10.0.0.1:7", failure_domain("north hall"), 90 };
        CPPUNIT_ASSERT(parse_member(to_text(original)) == original);
        // The form of earlier versions, and an invalid one.
        CPPUNIT_ASSERT(parse_member("10.0.0.1:7") == (fleet_member { "10.0.0.1:7", {}, 0 }));
        CPPUNIT_ASSERT(parse_member("10.0.0.1:7 many") == (fleet_member { "10.0.0.1:7", {}, 0 }));
        CPPUNIT_ASSERT(parse_member("") == fleet_member {});
    }

    void a_small_fleet_connects_all_to_all()
    {
        peer_directory directory(member(0, 0));
        std::map<std::string, fleet_member> rows;
        for (int domain = 0; domain < domains; ++domain) {
            for (int router = 0; router < 4; ++router)
                rows[member(domain, router).address] = member(domain, router);
        }
        directory.apply_table(rows);
        CPPUNIT_ASSERT(directory.is_full_mesh());
        CPPUNIT_ASSERT_EQUAL(std::size_t { 11 }, directory.take_due(at(1000)).size());
    }

    void a_large_fleet_connects_within_failure_domains()
    {
        auto directory = make_directory(0, 5);
        CPPUNIT_ASSERT_EQUAL(std::size_t { routers_each - 1 }, directory.take_due(at(1000)).size());
        receive_domain_reports(directory, 0, at(3000));
        CPPUNIT_ASSERT(directory.take_due(at(3000)).empty());
        CPPUNIT_ASSERT(directory.receives_own_reports(member(0, 1).address));
        CPPUNIT_ASSERT(!directory.receives_own_reports(member(1, 1).address));
    }

    void only_the_delegate_connects_to_other_failure_domains()
    {
        std::size_t delegates = 0;
        for (int router = 0; router < routers_each; ++router) {
            auto directory = make_directory(1, router);
            (void)connect(directory, 1, at(1000));
            receive_domain_reports(directory, 1, at(2000));
            auto const foreign = connect(directory, 1, at(2000));
            if (foreign.empty())
                continue;
            ++delegates;
            // The router of the highest weight connects to the routers of the highest weight.
            CPPUNIT_ASSERT_EQUAL(0, router);
            CPPUNIT_ASSERT(foreign == (std::vector { member(0, 0).address, member(2, 0).address }));
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, delegates);
    }

    void a_router_connects_back_on_request()
    {
        auto directory = make_directory(0, 5);
        (void)connect(directory, 0, at(1000));
        receive_domain_reports(directory, 0, at(2000));
        directory.record_direct_report(member(2, 0), false, at(2000));
        directory.record_link_request(member(2, 0).address, at(2000));
        CPPUNIT_ASSERT(connect(directory, 0, at(2000)) == std::vector { member(2, 0).address });
        receive_domain_reports(directory, 0, at(4900));
        CPPUNIT_ASSERT(directory.take_unneeded(at(4900)).empty());
        receive_domain_reports(directory, 0, at(5100));
        CPPUNIT_ASSERT(directory.take_unneeded(at(5100)) == std::vector { member(2, 0).address });
    }

    // Guards against permanent connections to the seeds. All routers connect to the seeds at their start, when they
    // know only the addresses; without a disconnect, each seed keeps a connection to every router of the fleet.
    void unneeded_connections_to_seeds_are_closed()
    {
        peer_directory directory(member(0, 5));
        directory.add_seed(member(2, 0).address);
        CPPUNIT_ASSERT(connect(directory, 0, at(1000)) == std::vector { member(2, 0).address });
        CPPUNIT_ASSERT(directory.wanted_reverse_links() == std::vector { member(2, 0).address });
        // The seed connects back and reports itself and the other routers.
        directory.record_direct_report(member(2, 0), false, at(1100));
        directory.apply_table(table());
        receive_domain_reports(directory, 0, at(1900));
        CPPUNIT_ASSERT(directory.wanted_reverse_links().empty());
        directory.record_direct_report(member(2, 0), false, at(1900));
        (void)directory.take_due(at(1900));
        CPPUNIT_ASSERT(directory.take_unneeded(at(1900)) == std::vector { member(2, 0).address });
    }

    // A new delegate has to take over quickly: other failure domains discard all state of a domain after three seconds
    // without a delegate.
    void another_router_replaces_a_lost_delegate()
    {
        auto second = make_directory(1, 1);
        (void)connect(second, 1, at(1000));
        for (std::int64_t now = 1100; now <= 3000; now += 100) {
            receive_domain_reports(second, 1, at(now));
            CPPUNIT_ASSERT(connect(second, 1, at(now)).empty());
        }
        std::int64_t connected_at = 0;
        for (std::int64_t now = 3100; now <= 5000 && connected_at == 0; now += 100) {
            receive_domain_reports(second, 1, at(now), { 0 });
            if (connect(second, 1, at(now)).size() == 2)
                connected_at = now;
        }
        CPPUNIT_ASSERT(connected_at > 0);
        CPPUNIT_ASSERT(connected_at - 3000 <= 700);
        // The first delegate is back, so the connections to other failure domains are not needed any more.
        receive_domain_reports(second, 1, at(6000));
        (void)second.take_due(at(6000));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 2 }, second.take_unneeded(at(6000)).size());
    }

    void an_overloaded_router_is_not_the_delegate()
    {
        auto second = make_directory(1, 1);
        (void)connect(second, 1, at(1000));
        receive_domain_reports(second, 1, at(2000));
        second.record_direct_report(member(1, 0), true, at(2000));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 2 }, connect(second, 1, at(2000)).size());
    }

    void a_silent_remote_peer_is_replaced()
    {
        auto delegate = make_directory(1, 0);
        (void)connect(delegate, 1, at(1000));
        receive_domain_reports(delegate, 1, at(2000));
        (void)connect(delegate, 1, at(2000));
        // One failure domain sends sums. The remote peer of the other one is silent, and its replacement disconnects at
        // once.
        std::vector<std::string> tried;
        for (std::int64_t now = 2100; now <= 4500; now += 100) {
            receive_domain_reports(delegate, 1, at(now));
            delegate.record_domain_sums(failure_domain("d0"), at(now));
            for (auto const& address : connect(delegate, 1, at(now))) {
                tried.push_back(address);
                if (tried.size() == 1)
                    delegate.record_disconnected(address, at(now), 0);
            }
        }
        CPPUNIT_ASSERT(tried.size() >= 2);
        CPPUNIT_ASSERT_EQUAL(member(2, 1).address, tried[0]);
        CPPUNIT_ASSERT_EQUAL(member(2, 2).address, tried[1]);
        CPPUNIT_ASSERT(std::ranges::none_of(tried, [](auto const& address) { return address.starts_with("10.0."); }));
    }

    void stale_rows_of_other_failure_domains_are_not_removed()
    {
        auto delegate = make_directory(1, 0);
        (void)connect(delegate, 1, at(1000));
        receive_domain_reports(delegate, 1, at(2000));
        for (auto const& address : connect(delegate, 1, at(2000)))
            delegate.record_disconnected(address, at(2100), 0);
        delegate.record_disconnected(member(1, 3).address, at(2100), 0);
        CPPUNIT_ASSERT(delegate.stale_rows(at(30000)) == std::vector { member(1, 3).address });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(peer_directory_test);

} // namespace shedhill::peering
