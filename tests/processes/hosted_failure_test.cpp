// SPDX-License-Identifier: BSD-2-Clause
// Tests, with real routers and stand-ins of replicas, that requests which fail at each replica eject none of them, and
// that replicas which fail each request are ejected.
#include "tests/harness/hosted_fleet.h"
#include "tests/harness/parallel.h"

#include <cppunit/extensions/HelperMacros.h>

namespace shedhill::harness {

class hosted_failure_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(hosted_failure_test);
    CPPUNIT_TEST(a_request_that_every_replica_fails_ejects_none);
    CPPUNIT_TEST(a_request_that_every_replica_breaks_off_ejects_none);
    CPPUNIT_TEST(a_failing_request_with_another_target_each_time_ejects_none);
    CPPUNIT_TEST(a_replica_that_fails_everything_is_ejected_beside_a_failing_request);
    CPPUNIT_TEST(replicas_that_answer_with_an_odd_status_are_ejected);
    CPPUNIT_TEST_SUITE_END();

    static constexpr std::size_t routers = 3;
    static constexpr std::size_t replicas = 8;
    static constexpr std::size_t rounds = 90;
    static constexpr std::size_t good_per_round = 3;

    static hosted_fleet start_fleet()
    {
        hosted_fleet_options options;
        options.routers = routers;
        options.replicas = replicas;
        auto fleet = hosted_fleet::start(options);
        CPPUNIT_ASSERT_MESSAGE(fleet ? "" : fleet.error().to_string(), fleet.has_value());
        return std::move(*fleet);
    }

    // Sends the failing request in each round, and good ones beside it. Returns the number of good ones not served.
    template <typename MakeTarget>
    static std::size_t send_rounds(hosted_fleet& fleet, MakeTarget const& make_target)
    {
        std::size_t unserved = 0;
        for (std::size_t round = 0; round < rounds; ++round) {
            auto const number = std::to_string(round);
            (void)fleet.send_request(round % routers, make_target(number), "failing-" + number);
            for (std::size_t index = 0; index < good_per_round; ++index) {
                auto const id = number + "-" + std::to_string(index);
                auto const answer = fleet.send_request((round + index) % routers, "/look/good/" + id, "good-" + id);
                unserved += answer && answer->status == 200 ? 0 : 1;
            }
        }
        return unserved;
    }

    static double ejections(hosted_fleet const& fleet)
    {
        double sum = 0;
        for (std::size_t index = 0; index < routers; ++index)
            sum += fleet.metric(index, "shedhill_ejections_total");
        return sum;
    }

    template <typename MakeTarget>
    static void check_nobody_is_ejected(MakeTarget const& make_target)
    {
        auto fleet = start_fleet();
        CPPUNIT_ASSERT_EQUAL(std::size_t { 0 }, send_rounds(fleet, make_target));
        CPPUNIT_ASSERT_EQUAL(0.0, ejections(fleet));
    }

    void a_request_that_every_replica_fails_ejects_none()
    {
        check_nobody_is_ejected([](std::string const&) { return "/look/failing/a"; });
    }

    void a_request_that_every_replica_breaks_off_ejects_none()
    {
        check_nobody_is_ejected([](std::string const&) { return "/look/aborting/a"; });
    }

    void a_failing_request_with_another_target_each_time_ejects_none()
    {
        check_nobody_is_ejected([](std::string const& number) { return "/look/failing/" + number; });
    }

    // Good requests are retried elsewhere, so that all of them are served.
    void a_replica_that_fails_everything_is_ejected_beside_a_failing_request()
    {
        auto fleet = start_fleet();
        auto const first = fleet.send_request(0, "/look/good/first", "first");
        CPPUNIT_ASSERT(first && first->status == 200);
        for (std::size_t index = 0; index < replicas; ++index) {
            if (fleet.runs_of(index).contains("first"))
                fleet.control_replica(index, "fail");
        }
        CPPUNIT_ASSERT_EQUAL(
            std::size_t { 0 }, send_rounds(fleet, [](std::string const&) { return "/look/failing/a"; }));
        CPPUNIT_ASSERT(ejections(fleet) > 0);
    }

    // Guards against a replica that draws all requests because its malformed answers come quickly.
    void replicas_that_answer_with_an_odd_status_are_ejected()
    {
        constexpr std::size_t odd_replicas = 2;
        constexpr std::size_t orders = 60;
        hosted_fleet_options options;
        options.replicas = 6;
        auto fleet = hosted_fleet::start(options);
        CPPUNIT_ASSERT_MESSAGE(fleet ? "" : fleet.error().to_string(), fleet.has_value());
        for (std::size_t index = 0; index < odd_replicas; ++index)
            fleet->control_replica(index, "odd_status");
        std::size_t sent = 0;
        // A request that both of them received has no attempts left.
        CPPUNIT_ASSERT(wait_until([&] {
            auto const id = "early-" + std::to_string(++sent);
            auto const answer = fleet->send_request(0, "/look/" + id, id);
            CPPUNIT_ASSERT_MESSAGE(id, answer && (answer->status == 200 || answer->status == 502));
            return fleet->metric(0, "shedhill_ejections_total") >= odd_replicas;
        }));
        // An ejected replica gets no request that may run only once.
        for (std::size_t index = 0; index < orders; ++index) {
            auto const id = "order-" + std::to_string(index);
            auto const answer = fleet->send_request(0, "/order/" + id, id);
            CPPUNIT_ASSERT_MESSAGE(id, answer && answer->status == 200);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(hosted_failure_test);

} // namespace shedhill::harness
