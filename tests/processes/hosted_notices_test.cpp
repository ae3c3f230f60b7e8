// SPDX-License-Identifier: BSD-2-Clause
// Tests replicas that ask for back-off or announce in an answer that they leave, with a real router and stand-ins of
// replicas. tests/dispatch/endpoint_notice_test.cpp describes the failure that these notices prevent.
#include "tests/harness/hosted_fleet.h"
#include "tests/harness/parallel.h"

#include <cppunit/extensions/HelperMacros.h>
#include <fstream>
#include <unistd.h>

namespace shedhill::harness {

class hosted_notices_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(hosted_notices_test);
    CPPUNIT_TEST(a_replica_that_asked_for_backoff_gets_at_most_two_requests);
    CPPUNIT_TEST(a_replica_that_announced_leaving_gets_no_more_requests);
    CPPUNIT_TEST(a_leaving_replica_stays_excluded_when_its_row_returns);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override { std::filesystem::create_directories(m_folder); }
    void tearDown() override { std::filesystem::remove_all(m_folder); }

private:
    static constexpr std::size_t replicas = 3;

    // One line of a replica's runs file.
    struct replica_event {
        std::string event;
        std::string id;
        std::int64_t at_ms { 0 };
    };

    static std::vector<replica_event> read_runs(hosted_fleet const& fleet, std::size_t replica)
    {
        std::vector<replica_event> lines;
        std::ifstream file(fleet.runs_file(replica));
        std::string method;
        std::string target;
        std::string incarnation;
        for (replica_event line; file >> line.event >> line.id >> method >> target >> incarnation >> line.at_ms;)
            lines.push_back(line);
        return lines;
    }

    hosted_fleet start_fleet() const
    {
        hosted_fleet_options options;
        options.replicas = replicas;
        options.log_folder = m_folder;
        auto fleet = hosted_fleet::start(options);
        CPPUNIT_ASSERT_MESSAGE(fleet ? "" : fleet.error().to_string(), fleet.has_value());
        return std::move(*fleet);
    }

    static std::size_t count_of(std::vector<replica_event> const& lines, std::string const& event)
    {
        return static_cast<std::size_t>(std::ranges::count(lines, event, &replica_event::event));
    }

    // Sends this many requests one after another, alternately on the two kinds of routes.
    static void send_requests(hosted_fleet const& fleet, std::string const& name, int requests)
    {
        for (int index = 0; index < requests; ++index)
            (void)fleet.send_request(0, index % 2 == 0 ? "/look/a" : "/order/a", name + "-" + std::to_string(index));
    }

    void a_replica_that_asked_for_backoff_gets_at_most_two_requests()
    {
        constexpr std::size_t max_during_backoff = 2;
        constexpr std::int64_t in_flight_ms = 500;
        constexpr std::int64_t backoff_ms = 2000;
        auto fleet = start_fleet();
        for (std::size_t replica = 0; replica < replicas; ++replica)
            fleet.control_replica(replica, replica == 0 ? "rest_once" : "ok");
        send_requests(fleet, "rested", 400);
        auto const lines = read_runs(fleet, 0);
        auto const first = std::ranges::find(lines, "asked_rest", &replica_event::event);
        if (first == lines.end())
            CPPUNIT_FAIL("the first replica received no request");
        auto const arrivals_during_backoff = std::ranges::count_if(lines, [&](replica_event const& line) {
            return line.event == "arrived" && line.at_ms > first->at_ms + in_flight_ms
                && line.at_ms < first->at_ms + backoff_ms;
        });
        CPPUNIT_ASSERT(static_cast<std::size_t>(arrivals_during_backoff) <= max_during_backoff);
    }

    void a_replica_that_announced_leaving_gets_no_more_requests()
    {
        auto fleet = start_fleet();
        fleet.control_replica(0, "leaving");
        send_requests(fleet, "left", 400);
        // Requests are sent one after another, so the request whose answer announced the leaving was the last.
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, count_of(read_runs(fleet, 0), "arrived"));
    }

    void a_leaving_replica_stays_excluded_when_its_row_returns()
    {
        auto fleet = start_fleet();
        fleet.control_replica(0, "leaving");
        send_requests(fleet, "left", 20);
        fleet.unlist_replica(0);
        CPPUNIT_ASSERT(wait_until([&] { return fleet.metric(0, "shedhill_listed_endpoints") == replicas - 1; }));
        fleet.list_replica(0, "ready");
        CPPUNIT_ASSERT(wait_until([&] { return fleet.metric(0, "shedhill_listed_endpoints") == replicas; }));
        send_requests(fleet, "back", 200);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, count_of(read_runs(fleet, 0), "arrived"));
    }

    std::filesystem::path m_folder { std::filesystem::temp_directory_path()
        / ("shedhill-notices-" + std::to_string(getpid())) };
};

CPPUNIT_TEST_SUITE_REGISTRATION(hosted_notices_test);

} // namespace shedhill::harness
