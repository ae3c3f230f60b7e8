// SPDX-License-Identifier: BSD-2-Clause
// Tests with real routers that a stream goes on only at replicas of the software version that began it.
#include "tests/harness/hosted_fleet.h"
#include "tests/harness/parallel.h"

#include <cppunit/extensions/HelperMacros.h>
#include <set>

namespace shedhill::harness {

class hosted_versions_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(hosted_versions_test);
    CPPUNIT_TEST(a_broken_stream_never_reaches_another_version);
    CPPUNIT_TEST(a_caller_resumes_its_stream_at_its_version_at_another_router);
    CPPUNIT_TEST_SUITE_END();

    static constexpr std::size_t routers = 2;
    static constexpr std::size_t replicas = 4;
    static constexpr int streams = 8;
    // Two attempts at replicas in the mode "cut" bring three events each.
    static constexpr int last_event = 6;

    static hosted_fleet start_fleet()
    {
        hosted_fleet_options options;
        options.routers = routers;
        options.replicas = replicas;
        options.versions = { "v1", "v2" };
        auto fleet = hosted_fleet::start(options);
        CPPUNIT_ASSERT_MESSAGE(fleet ? "" : fleet.error().to_string(), fleet.has_value());
        for (std::size_t index = 0; index < routers; ++index)
            CPPUNIT_ASSERT(wait_until([&] { return fleet->metric(index, "shedhill_other_routers") >= routers - 1; }));
        return std::move(*fleet);
    }

    static void set_mode(hosted_fleet const& fleet, char const* mode)
    {
        for (std::size_t index = 0; index < replicas; ++index)
            fleet.control_replica(index, mode);
    }

    // Returns the versions of the replicas that ran the request.
    static std::set<std::string> versions_that_ran(hosted_fleet const& fleet, std::string const& id)
    {
        std::set<std::string> versions;
        for (std::size_t index = 0; index < replicas; ++index) {
            if (fleet.runs_of(index).contains(id))
                versions.insert(fleet.version_of(index));
        }
        return versions;
    }

    // Sends streams to the first router, and every replica breaks them off.
    static hosted_fleet with_broken_streams()
    {
        auto fleet = start_fleet();
        set_mode(fleet, "cut");
        for (int index = 0; index < streams; ++index)
            CPPUNIT_ASSERT(!fleet.send_request(0, "/stream/a", "first-" + std::to_string(index)));
        return fleet;
    }

    void a_broken_stream_never_reaches_another_version()
    {
        auto const fleet = with_broken_streams();
        for (int index = 0; index < streams; ++index)
            CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, versions_that_ran(fleet, "first-" + std::to_string(index)).size());
    }

    void a_caller_resumes_its_stream_at_its_version_at_another_router()
    {
        auto const fleet = with_broken_streams();
        set_mode(fleet, "ok");
        for (int index = 0; index < streams; ++index) {
            auto const first = "first-" + std::to_string(index);
            auto const next = "next-" + std::to_string(index);
            auto const answer = fleet.resume_stream(1, "/stream/a", next, first, last_event);
            CPPUNIT_ASSERT(answer && answer->status == 200);
            auto versions = versions_that_ran(fleet, next);
            CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, versions.size());
            versions.merge(versions_that_ran(fleet, first));
            CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, versions.size());
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(hosted_versions_test);

} // namespace shedhill::harness
