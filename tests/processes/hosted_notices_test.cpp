// SPDX-License-Identifier: BSD-2-Clause
// Replicas that ask for rest, or say in an answer that they leave: a real router before stand-ins that speak these
// words. The story of the failure stands in tests/dispatch/endpoint_notice_test.cpp.
#include "tests/harness/hosted_fleet.h"
#include "tests/harness/parallel.h"

#include <cppunit/extensions/HelperMacros.h>
#include <fstream>
#include <unistd.h>

namespace shedhill::harness {

class hosted_notices_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(hosted_notices_test);
    CPPUNIT_TEST(a_replica_that_asked_for_rest_is_left_alone);
    CPPUNIT_TEST(a_replica_that_said_that_it_leaves_gets_nothing_more);
    CPPUNIT_TEST(one_that_leaves_stays_left_where_its_row_comes_back);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override { std::filesystem::create_directories(m_folder); }
    void tearDown() override { std::filesystem::remove_all(m_folder); }

private:
    static constexpr std::size_t replicas = 3;

    // A line of what a replica wrote down.
    struct written {
        std::string event;
        std::string id;
        std::int64_t at_ms { 0 };
    };

    static std::vector<written> read_runs(hosted_fleet const& fleet, std::size_t replica)
    {
        std::vector<written> lines;
        std::ifstream file(fleet.runs_file(replica));
        std::string method;
        std::string target;
        std::string incarnation;
        for (written line; file >> line.event >> line.id >> method >> target >> incarnation >> line.at_ms;)
            lines.push_back(line);
        return lines;
    }

    hosted_fleet started() const
    {
        hosted_fleet_options options;
        options.replicas = replicas;
        options.log_folder = m_folder;
        auto fleet = hosted_fleet::start(options);
        CPPUNIT_ASSERT_MESSAGE(fleet ? "" : fleet.error().to_string(), fleet.has_value());
        return std::move(*fleet);
    }

    static std::size_t count_of(std::vector<written> const& lines, std::string const& event)
    {
        return static_cast<std::size_t>(std::ranges::count(lines, event, &written::event));
    }

    // Asks one request after another, over all kinds of routes, until each replica has told what it has to tell, and so
    // many more.
    static void ask_many(hosted_fleet const& fleet, std::string const& name, int requests)
    {
        for (int index = 0; index < requests; ++index)
            (void)fleet.ask(0, index % 2 == 0 ? "/look/a" : "/order/a", name + "-" + std::to_string(index));
    }

    void a_replica_that_asked_for_rest_is_left_alone()
    {
        constexpr std::size_t most_in_rest = 2;
        constexpr std::int64_t on_their_way_ms = 500;
        constexpr std::int64_t rest_ms = 2000;
        auto fleet = started();
        for (std::size_t replica = 0; replica < replicas; ++replica)
            fleet.control_replica(replica, replica == 0 ? "rest_once" : "ok");
        ask_many(fleet, "rested", 400);
        auto const lines = read_runs(fleet, 0);
        auto const first = std::ranges::find(lines, "asked_rest", &written::event);
        if (first == lines.end())
            CPPUNIT_FAIL("the first replica was never asked");
        auto const in_rest = std::ranges::count_if(lines, [&](written const& line) {
            return line.event == "arrived" && line.at_ms > first->at_ms + on_their_way_ms
                && line.at_ms < first->at_ms + rest_ms;
        });
        CPPUNIT_ASSERT(static_cast<std::size_t>(in_rest) <= most_in_rest);
    }

    void a_replica_that_said_that_it_leaves_gets_nothing_more()
    {
        auto fleet = started();
        fleet.control_replica(0, "leaving");
        ask_many(fleet, "left", 400);
        // One request after another: the one whose answer said so was the last.
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, count_of(read_runs(fleet, 0), "arrived"));
    }

    void one_that_leaves_stays_left_where_its_row_comes_back()
    {
        auto fleet = started();
        fleet.control_replica(0, "leaving");
        ask_many(fleet, "left", 20);
        fleet.unlist_replica(0);
        CPPUNIT_ASSERT(wait_until([&] { return fleet.metric(0, "shedhill_listed_endpoints") == replicas - 1; }));
        fleet.list_replica(0, "ready");
        CPPUNIT_ASSERT(wait_until([&] { return fleet.metric(0, "shedhill_listed_endpoints") == replicas; }));
        ask_many(fleet, "back", 200);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, count_of(read_runs(fleet, 0), "arrived"));
    }

    std::filesystem::path m_folder { std::filesystem::temp_directory_path()
        / ("shedhill-notices-" + std::to_string(getpid())) };
};

CPPUNIT_TEST_SUITE_REGISTRATION(hosted_notices_test);

} // namespace shedhill::harness
