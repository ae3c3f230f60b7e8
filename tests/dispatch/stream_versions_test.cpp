// SPDX-License-Identifier: BSD-2-Clause
// Tests that a stream goes on only at the software version that began it, within one answer and over the requests of a
// caller, and that streams still go on where endpoints of their version serve.
#include "tests/dispatch/dispatch_driver.h"
#include "tests/dispatch/stream_simulation.h"

#include <cppunit/extensions/HelperMacros.h>

namespace shedhill::dispatch {

class stream_versions_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(stream_versions_test);
    CPPUNIT_TEST(a_stream_resumed_within_its_answer_is_never_mixed);
    CPPUNIT_TEST(a_broken_answer_ends_if_no_endpoint_of_its_version_is_left);
    CPPUNIT_TEST(a_stream_resumed_by_its_caller_is_never_mixed);
    CPPUNIT_TEST(a_stream_whose_router_was_killed_is_never_mixed);
    CPPUNIT_TEST(a_stream_of_unknown_version_is_refused_at_once);
    CPPUNIT_TEST(a_pool_with_one_version_resumes_every_stream);
    CPPUNIT_TEST_SUITE_END();

    static constexpr std::size_t streams_per_second = 40;

    static stream_simulation with_versions(
        std::vector<std::string> const& versions, stream_simulation::options const& settings = {})
    {
        stream_simulation fleet(settings);
        for (auto const& version : versions)
            fleet.add_endpoint(version);
        // The sums of the teams are complete after a whole window.
        fleet.wait(milliseconds(5000));
        return fleet;
    }

    static std::vector<std::string> two_versions() { return { "v1", "v2", "v1", "v2", "v1", "v2", "v1", "v2" }; }

    // At least 95 of 100 resumptions go on, as those of new requests that began do.
    static void check_that_streams_go_on(stream_simulation const& fleet)
    {
        auto const& result = fleet.result();
        CPPUNIT_ASSERT(result.resumed >= 12);
        auto const new_share = static_cast<double>(result.begun) / static_cast<double>(result.asked);
        auto const share = static_cast<double>(result.continued) / static_cast<double>(result.resumed);
        CPPUNIT_ASSERT_MESSAGE(std::to_string(share), share >= 0.95 * new_share);
    }

    static endpoint_entry with_version(std::string const& name, std::string const& version)
    {
        auto entry = dispatch_driver::make_endpoint(name, "model");
        entry.version = version;
        return entry;
    }

    void a_stream_resumed_within_its_answer_is_never_mixed()
    {
        auto fleet = with_versions(two_versions());
        for (std::size_t index = 0; index < 24; ++index) {
            fleet.stream(streams_per_second, milliseconds(250));
            fleet.break_streams_of(index % fleet.endpoints());
        }
        fleet.wait(milliseconds(2000));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 0 }, fleet.result().mixed);
        CPPUNIT_ASSERT(fleet.result().whole >= fleet.result().begun * 95 / 100);
    }

    void a_broken_answer_ends_if_no_endpoint_of_its_version_is_left()
    {
        dispatch_driver fleet;
        fleet.start({ with_version("e1", "v1") });
        auto const request = fleet.ask("/resumable/x");
        fleet.begin(request);
        fleet.deliver(endpoints_listed { { with_version("e1", "v1"), with_version("e2", "v2") } });
        fleet.end(request, attempt_end::broken, 0, true);
        fleet.wait(milliseconds(100));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, fleet.sent_for(request).size());
        CPPUNIT_ASSERT(fleet.is_aborted(request));
    }

    void a_stream_resumed_by_its_caller_is_never_mixed()
    {
        auto fleet = with_versions(two_versions());
        for (std::size_t index = 0; index < 12; ++index) {
            fleet.stream(streams_per_second, milliseconds(500));
            fleet.disconnect_callers(0.2);
        }
        fleet.wait(milliseconds(2000));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 0 }, fleet.result().mixed);
        check_that_streams_go_on(fleet);
    }

    void a_stream_whose_router_was_killed_is_never_mixed()
    {
        auto fleet = with_versions(two_versions());
        for (std::size_t index = 0; index < 6; ++index) {
            fleet.stream(streams_per_second, milliseconds(1000));
            fleet.kill_router(index % fleet.routers());
            fleet.stream(streams_per_second, milliseconds(300));
            fleet.start_router(index % fleet.routers());
        }
        fleet.wait(milliseconds(2000));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 0 }, fleet.result().mixed);
        check_that_streams_go_on(fleet);
    }

    void a_stream_of_unknown_version_is_refused_at_once()
    {
        dispatch_driver fleet;
        fleet.start({ with_version("e1", "v1"), with_version("e2", "v2") });
        request_arrived arrived;
        arrived.request = request_number(1);
        arrived.caller_id = "id-b";
        arrived.host = "host";
        arrived.path = "/resumable/x";
        arrived.key = "red-key";
        arrived.cost.prompt = 100;
        arrived.resumption = stream_resumption { "id-a" };
        fleet.deliver(std::move(arrived));
        CPPUNIT_ASSERT(fleet.sent().empty());
        auto const refusal = fleet.refusal_of(request_number(1));
        CPPUNIT_ASSERT(refusal && refusal->status == 503 && refusal->retry_after);
    }

    void a_pool_with_one_version_resumes_every_stream()
    {
        auto fleet = with_versions({ "v1", "v1", "v1", "v1" });
        for (std::size_t index = 0; index < 12; ++index) {
            fleet.stream(streams_per_second, milliseconds(500));
            fleet.disconnect_callers(0.2);
        }
        fleet.wait(milliseconds(2000));
        check_that_streams_go_on(fleet);
        CPPUNIT_ASSERT_EQUAL(fleet.result().resumed, fleet.result().continued);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(stream_versions_test);

} // namespace shedhill::dispatch
