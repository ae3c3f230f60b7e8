// SPDX-License-Identifier: BSD-2-Clause
// Tests that the log lines of a failed request are sufficient to name the cause. The lines come from the dispatcher
// itself, run by the test driver.
#include "libraries/diagnosis/request_trace.h"

#include "base/hash.h"

#include "libraries/dispatch/suspects/suspect_attributes.h"
#include "tests/dispatch/dispatch_driver.h"

#include <cppunit/extensions/HelperMacros.h>
#include <sstream>

namespace shedhill::diagnosis {

class request_trace_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(request_trace_test);
    CPPUNIT_TEST(a_refusal_for_the_teams_share_is_explained);
    CPPUNIT_TEST(a_refusal_of_a_quarantined_request_is_explained);
    CPPUNIT_TEST(a_resumption_of_an_unknown_stream_is_explained);
    CPPUNIT_TEST(an_answer_broken_by_a_crash_is_explained);
    CPPUNIT_TEST(a_refusal_for_a_quarantined_prompt_part_is_explained);
    CPPUNIT_TEST(the_end_of_a_broken_answer_is_explained);
    CPPUNIT_TEST(a_request_under_an_old_configuration_is_explained);
    CPPUNIT_TEST(a_refusal_while_all_endpoints_back_off_is_explained);
    CPPUNIT_TEST(lines_of_many_processes_are_sorted_by_time);
    CPPUNIT_TEST(lines_of_other_requests_are_ignored);
    CPPUNIT_TEST_SUITE_END();

    using driver = dispatch::dispatch_driver;

    // Reads the driver's log lines in the format in which a process writes them.
    static request_trace trace_of(driver const& fleet, std::string const& id)
    {
        request_trace trace(id);
        std::istringstream log(fleet.log());
        std::string line;
        std::int64_t time = 1000;
        while (std::getline(log, line)) {
            auto const space = line.find(' ');
            trace.read_line(R"({"unix_ms":)" + std::to_string(++time) + R"(,"vm":"router-a","level":"debug","event":")"
                + line.substr(0, space) + "\"," + line.substr(space + 1) + "}");
        }
        trace.sort();
        return trace;
    }

    static bool cause_contains(request_trace const& trace, std::string const& words)
    {
        auto const cause = trace.cause();
        return cause && cause->summary.find(words) != std::string::npos;
    }

    void a_refusal_for_the_teams_share_is_explained()
    {
        driver fleet;
        fleet.start({ driver::make_endpoint("e1", "model", 8) });
        fleet.ask_and_prefill("/once/", "red-key", 41000);
        fleet.ask("/once/", "red-key", 41000);
        fleet.wait(milliseconds(200));
        fleet.ask("/once/", "red-key", 41000);
        fleet.wait(milliseconds(200));
        auto const trace = trace_of(fleet, "id-3");
        CPPUNIT_ASSERT(cause_contains(trace, "refused with 429 (no_place): team red had "));
        CPPUNIT_ASSERT(cause_contains(trace, "its share was 40000"));
        CPPUNIT_ASSERT(cause_contains(trace, "2 of 8 slots were in use"));
    }

    void a_resumption_of_an_unknown_stream_is_explained()
    {
        driver fleet;
        auto first = driver::make_endpoint("e1", "model");
        first.version = "v1";
        auto second = driver::make_endpoint("e2", "model");
        second.version = "v2";
        fleet.start({ first, second });
        dispatch::request_arrived arrived;
        arrived.request = request_number(1);
        arrived.caller_id = "id-b";
        arrived.host = "host";
        arrived.path = "/resumable/x";
        arrived.key = "red-key";
        arrived.resumption = dispatch::stream_resumption { "id-a" };
        fleet.deliver(std::move(arrived));
        CPPUNIT_ASSERT(cause_contains(trace_of(fleet, "id-b"),
            "refused with 503 (unknown_version): no router remembered in time which software version began the stream "
            "of request id-a"));
    }

    void a_refusal_while_all_endpoints_back_off_is_explained()
    {
        driver fleet;
        fleet.start({ driver::make_endpoint("e1", "plain") });
        auto const first = fleet.ask("/look/x");
        auto const sent = fleet.sent_for(first).back();
        fleet.deliver(
            dispatch::endpoint_notice_received { first, sent.endpoint, sent.instance, { milliseconds(2000), false } });
        fleet.end(first, dispatch::attempt_end::not_run, 503);
        fleet.wait(milliseconds(500));
        fleet.ask("/look/x");
        CPPUNIT_ASSERT(cause_contains(trace_of(fleet, "id-2"),
            "refused with 503 (endpoints_resting): all endpoints of pool plain had asked this router to back off, the "
            "first for another 1500 ms"));
    }

    void a_refusal_of_a_quarantined_request_is_explained()
    {
        driver fleet;
        fleet.start({ driver::make_endpoint("e1", "plain") });
        dispatch::peer_report report;
        report.peer = vm_name("router-b");
        report.crashes = { { { key_of(team_name("red")), content_hash(77) }, { 0, 3 }, milliseconds(1000), {} } };
        fleet.deliver(report);
        dispatch::request_arrived arrived;
        arrived.request = request_number(1);
        arrived.caller_id = "id-1";
        arrived.host = "host";
        arrived.path = "/look/x";
        arrived.key = "red-key";
        arrived.content = content_hash(77);
        fleet.deliver(std::move(arrived));
        CPPUNIT_ASSERT(cause_contains(trace_of(fleet, "id-1"),
            "refused with 503 (crashes_endpoints): endpoints crashed during the last 3 consecutive attempts of "
            "requests with the same content; the events request_crashed_endpoint with content 77 name them"));
    }

    void a_refusal_for_a_quarantined_prompt_part_is_explained()
    {
        driver fleet;
        fleet.start({ driver::make_endpoint("e1", "plain") });
        constexpr std::uint64_t shared_part = 7;
        auto const part = dispatch::identity_of_part(key_of(team_name("red")), shared_part);
        dispatch::peer_report report;
        report.peer = vm_name("router-b");
        report.crashes = { { part, { 0, 3 }, milliseconds(1000), {} } };
        fleet.deliver(report);
        fleet.ask("/look/x");
        CPPUNIT_ASSERT(cause_contains(trace_of(fleet, "id-1"),
            "requests with the same prompt part 7; the events request_crashed_endpoint with content "
                + std::to_string(part.content.value())));
    }

    void an_answer_broken_by_a_crash_is_explained()
    {
        driver fleet;
        fleet.start({ driver::make_endpoint("e1", "model") });
        auto const request = fleet.ask("/once/");
        fleet.begin(request);
        fleet.deliver(
            dispatch::attempt_ended { request, attempt_number(1), dispatch::attempt_end::broken, 200, 5, true });
        auto const trace = trace_of(fleet, "id-1");
        CPPUNIT_ASSERT(cause_contains(trace, "attempt 1 at endpoint e1 ended as broken"));
        CPPUNIT_ASSERT(cause_contains(trace, "5 events; broken off (answer_broken)"));
    }

    void the_end_of_a_broken_answer_is_explained()
    {
        driver fleet;
        fleet.start({ driver::make_endpoint("e1", "model") });
        auto const request = fleet.ask("/once/");
        fleet.begin(request);
        dispatch::attempt_ended ended { request, attempt_number(1), dispatch::attempt_end::broken, 200, 5, true };
        ended.ending = { dispatch::answer_framing::connection, dispatch::answer_stop::closed, 17 };
        fleet.deliver(ended);
        CPPUNIT_ASSERT(cause_contains(trace_of(fleet, "id-1"),
            "5 events, framed by connection, ended by closed with 17 bytes of an incomplete event"));
    }

    void a_request_under_an_old_configuration_is_explained()
    {
        driver fleet;
        fleet.start({ driver::make_endpoint("e1", "plain") });
        fleet.ask("/added-later/");
        CPPUNIT_ASSERT(cause_contains(trace_of(fleet, "id-1"), "refused with 404 (no_route): by configuration 1"));
    }

    void lines_of_many_processes_are_sorted_by_time()
    {
        request_trace trace("x");
        std::istringstream log(
            "  3.1 b {\"unix_ms\":30,\"vm\":\"b\",\"event\":\"answered\",\"id\":\"x\",\"status\":200}\n"
            "{\"unix_ms\":10,\"vm\":\"a\",\"event\":\"sent\",\"id\":\"x\",\"level\":7}\n");
        trace.read(log);
        trace.sort();
        CPPUNIT_ASSERT_EQUAL(std::string("sent"), trace.lines()[0].event);
        CPPUNIT_ASSERT(trace.to_text().find("+20 ms  b  answered  status=200") != std::string::npos);
        CPPUNIT_ASSERT(trace.to_text().find("level=7") != std::string::npos);
    }

    void lines_of_other_requests_are_ignored()
    {
        request_trace trace("x");
        std::istringstream log("{\"id\":\"xy\"}\nnoise x {\n{\"unix_ms\":1,\"id\":\"y\",\"note\":\"x\"}\n");
        trace.read(log);
        CPPUNIT_ASSERT(trace.lines().empty());
        CPPUNIT_ASSERT(!trace.cause());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(request_trace_test);

} // namespace shedhill::diagnosis
