// SPDX-License-Identifier: BSD-2-Clause
// Tests how a single dispatcher detects and quarantines requests that crash the endpoints that run them.
#include "tests/dispatch/dispatch_driver.h"

#include <cppunit/extensions/HelperMacros.h>
#include <set>

namespace shedhill::dispatch {

class crash_suspects_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(crash_suspects_test);
    CPPUNIT_TEST(the_third_crash_in_a_row_quarantines);
    CPPUNIT_TEST(a_quarantined_request_is_refused_at_once_until_the_quarantine_ends);
    CPPUNIT_TEST(after_its_quarantine_a_request_is_tried_once);
    CPPUNIT_TEST(an_answer_clears_a_suspect);
    CPPUNIT_TEST(a_request_that_was_answered_before_is_quarantined_briefly);
    CPPUNIT_TEST(another_content_or_team_is_not_suspected);
    CPPUNIT_TEST(a_broken_connection_is_not_a_crash);
    CPPUNIT_TEST(an_endpoint_with_an_older_attempt_under_way_is_not_probed);
    CPPUNIT_TEST(endpoints_lost_at_the_same_time_count_once);
    CPPUNIT_TEST(a_closed_answer_counts_as_a_crash_if_its_endpoint_has_ended);
    CPPUNIT_TEST(a_closed_answer_clears_a_suspect_only_once_its_endpoint_is_seen_alive);
    CPPUNIT_TEST(copies_of_a_request_do_not_wait_for_proof_of_closed_answers);
    CPPUNIT_TEST(a_suspect_has_one_trial_at_a_time);
    CPPUNIT_TEST(an_unfinished_trial_delays_others_for_a_limited_time);
    CPPUNIT_TEST(a_waiting_request_is_refused_when_it_is_quarantined);
    CPPUNIT_TEST(a_router_refuses_requests_that_others_have_quarantined);
    CPPUNIT_TEST(outdated_records_of_a_cleared_request_do_not_count);
    CPPUNIT_TEST(a_full_table_keeps_quarantined_requests);
    CPPUNIT_TEST_SUITE_END();

    using driver = dispatch_driver;

    static inline content_hash const harmful { 77 };
    static constexpr std::size_t endpoints = 8;

    class single_router_fleet {
    public:
        single_router_fleet()
        {
            std::vector<endpoint_entry> entries;
            for (std::size_t index = 0; index < endpoints; ++index)
                entries.push_back(driver::make_endpoint("p" + std::to_string(index), "plain", 1000));
            m_driver.start(entries);
        }

        driver& operator*() { return m_driver; }
        driver* operator->() { return &m_driver; }

        request_number ask(
            content_hash content, std::string const& path = "/order/a", std::string const& key = "red-key")
        {
            request_arrived arrived;
            arrived.request = request_number(++m_last_request);
            arrived.caller_id = "id-" + std::to_string(m_last_request);
            arrived.host = "host";
            arrived.path = path;
            arrived.key = key;
            arrived.time_left = milliseconds(4000);
            if (m_driver.reducer().suspects_requests())
                arrived.content = content;
            auto const number = arrived.request;
            m_driver.deliver(std::move(arrived));
            return number;
        }

        void break_connection(request_number request, content_hash content)
        {
            auto const sent = m_driver.sent_for(request).back();
            attempt_ended ended { request, sent.attempt, attempt_end::broken };
            ended.content = content;
            m_driver.deliver(ended);
        }

        // Ends the answer by closing its connection.
        void close_answer(request_number request, content_hash content = harmful)
        {
            attempt_ended ended { request, m_driver.sent_for(request).back().attempt, attempt_end::closed, 200 };
            ended.content = content;
            m_driver.deliver(ended);
        }

        // Waits until the probes are sent and answers each with the outcome.
        void answer_probes(probe_outcome outcome)
        {
            m_driver.wait(milliseconds(20));
            for (; m_probes_seen < m_driver.probes().size(); ++m_probes_seen)
                m_driver.deliver(endpoint_probed { m_driver.probes()[m_probes_seen].instance, outcome });
        }

        // Crashes the endpoint that runs the request, then waits until the request may be tried again.
        void crash(request_number request, content_hash content = harmful)
        {
            break_connection(request, content);
            answer_probes(probe_outcome::refused);
            m_driver.wait(milliseconds(200));
        }

        void quarantine(content_hash content = harmful)
        {
            for (int crashes = 0; crashes < 3; ++crashes)
                crash(ask(content), content);
        }

    private:
        driver m_driver;
        std::uint64_t m_last_request { 1000 };
        std::size_t m_probes_seen { 0 };
    };

    static refusal_reason reason_of(single_router_fleet& fleet, request_number request)
    {
        auto const refused = fleet->refusal_of(request);
        return refused ? refused->reason : refusal_reason::none;
    }

    static bool is_sent(single_router_fleet& fleet, request_number request)
    {
        return !fleet->sent_for(request).empty();
    }

    void the_third_crash_in_a_row_quarantines()
    {
        single_router_fleet fleet;
        for (int crashes = 0; crashes < 3; ++crashes) {
            auto const request = fleet.ask(harmful);
            CPPUNIT_ASSERT(is_sent(fleet, request));
            fleet.crash(request);
        }
        auto const request = fleet.ask(harmful);
        CPPUNIT_ASSERT(!is_sent(fleet, request));
        CPPUNIT_ASSERT_EQUAL(name_of(refusal_reason::crashes_endpoints), name_of(reason_of(fleet, request)));
    }

    void a_quarantined_request_is_refused_at_once_until_the_quarantine_ends()
    {
        single_router_fleet fleet;
        fleet.quarantine();
        fleet->wait(milliseconds(60000));
        auto const refused = fleet->refusal_of(fleet.ask(harmful));
        CPPUNIT_ASSERT(refused && refused->status == 503 && refused->retry_after);
        CPPUNIT_ASSERT(*refused->retry_after > milliseconds(60000));
        fleet->wait(*refused->retry_after + milliseconds(200));
        CPPUNIT_ASSERT(is_sent(fleet, fleet.ask(harmful)));
    }

    void after_its_quarantine_a_request_is_tried_once()
    {
        single_router_fleet fleet;
        fleet.quarantine();
        fleet->wait(*fleet->refusal_of(fleet.ask(harmful))->retry_after + milliseconds(200));
        auto const first = fleet.ask(harmful);
        CPPUNIT_ASSERT(!is_sent(fleet, fleet.ask(harmful)));
        fleet.crash(first);
        CPPUNIT_ASSERT_EQUAL(name_of(refusal_reason::crashes_endpoints), name_of(reason_of(fleet, fleet.ask(harmful))));
    }

    void an_answer_clears_a_suspect()
    {
        single_router_fleet fleet;
        fleet.crash(fleet.ask(harmful));
        fleet.crash(fleet.ask(harmful));
        auto const answered = fleet.ask(harmful);
        fleet->end(answered, attempt_end::complete, 200);
        for (int crashes = 0; crashes < 2; ++crashes)
            fleet.crash(fleet.ask(harmful));
        CPPUNIT_ASSERT(is_sent(fleet, fleet.ask(harmful)));
    }

    void a_closed_answer_counts_as_a_crash_if_its_endpoint_has_ended()
    {
        single_router_fleet fleet;
        for (int crashes = 0; crashes < 3; ++crashes) {
            auto const request = fleet.ask(harmful);
            CPPUNIT_ASSERT(is_sent(fleet, request));
            fleet.close_answer(request);
            fleet.answer_probes(probe_outcome::refused);
            fleet->wait(milliseconds(200));
        }
        CPPUNIT_ASSERT_EQUAL(name_of(refusal_reason::crashes_endpoints), name_of(reason_of(fleet, fleet.ask(harmful))));
    }

    void a_closed_answer_clears_a_suspect_only_once_its_endpoint_is_seen_alive()
    {
        single_router_fleet fleet;
        fleet.crash(fleet.ask(harmful));
        fleet.crash(fleet.ask(harmful));
        auto const answered = fleet.ask(harmful);
        fleet.close_answer(answered);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, fleet->reducer().suspects().suspects());
        // Two accepted connections show that the endpoint lives.
        for (int probes = 0; probes < 2; ++probes) {
            fleet.answer_probes(probe_outcome::accepted);
            fleet->wait(milliseconds(200));
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t { 0 }, fleet->reducer().suspects().suspects());
    }

    void copies_of_a_request_do_not_wait_for_proof_of_closed_answers()
    {
        single_router_fleet fleet;
        fleet.close_answer(fleet.ask(harmful));
        CPPUNIT_ASSERT(is_sent(fleet, fleet.ask(harmful)));
        CPPUNIT_ASSERT(is_sent(fleet, fleet.ask(harmful)));
    }

    void a_request_that_was_answered_before_is_quarantined_briefly()
    {
        single_router_fleet fleet;
        fleet.crash(fleet.ask(harmful));
        fleet->end(fleet.ask(harmful), attempt_end::complete, 200);
        fleet.quarantine();
        CPPUNIT_ASSERT(!is_sent(fleet, fleet.ask(harmful)));
        fleet->wait(milliseconds(10200));
        CPPUNIT_ASSERT(is_sent(fleet, fleet.ask(harmful)));
    }

    void another_content_or_team_is_not_suspected()
    {
        single_router_fleet fleet;
        fleet.quarantine();
        CPPUNIT_ASSERT(is_sent(fleet, fleet.ask(content_hash(78))));
        CPPUNIT_ASSERT(is_sent(fleet, fleet.ask(harmful, "/order/a", "blue-key")));
    }

    void a_broken_connection_is_not_a_crash()
    {
        single_router_fleet fleet;
        for (int broken = 0; broken < 20; ++broken) {
            fleet.break_connection(fleet.ask(harmful), harmful);
            for (int probe = 0; probe < 2; ++probe) {
                fleet->wait(milliseconds(100));
                fleet.answer_probes(probe_outcome::accepted);
            }
        }
        CPPUNIT_ASSERT(is_sent(fleet, fleet.ask(harmful)));
    }

    void an_endpoint_with_an_older_attempt_under_way_is_not_probed()
    {
        single_router_fleet fleet;
        std::set<endpoint_name> busy;
        for (std::uint64_t index = 0; index < 100 * endpoints && busy.size() < endpoints; ++index)
            busy.insert(fleet->sent_for(fleet.ask(content_hash(100 + index))).back().endpoint);
        CPPUNIT_ASSERT_EQUAL(endpoints, busy.size());
        fleet->wait(milliseconds(10));
        fleet.break_connection(fleet.ask(harmful), harmful);
        fleet->wait(milliseconds(300));
        CPPUNIT_ASSERT(fleet->probes().empty());
    }

    void endpoints_lost_at_the_same_time_count_once()
    {
        single_router_fleet fleet;
        std::vector<request_number> copies;
        copies.reserve(80);
        for (int index = 0; index < 80; ++index)
            copies.push_back(fleet.ask(harmful));
        for (auto const request : copies)
            fleet.break_connection(request, harmful);
        fleet.answer_probes(probe_outcome::refused);
        CPPUNIT_ASSERT(is_sent(fleet, fleet.ask(harmful)));
    }

    void a_suspect_has_one_trial_at_a_time()
    {
        single_router_fleet fleet;
        fleet.crash(fleet.ask(harmful));
        auto const first = fleet.ask(harmful);
        auto const second = fleet.ask(harmful);
        CPPUNIT_ASSERT(is_sent(fleet, first));
        CPPUNIT_ASSERT(!is_sent(fleet, second));
        fleet->end(first, attempt_end::complete, 200);
        CPPUNIT_ASSERT(is_sent(fleet, second));
    }

    void an_unfinished_trial_delays_others_for_a_limited_time()
    {
        single_router_fleet fleet;
        fleet.crash(fleet.ask(harmful));
        CPPUNIT_ASSERT(is_sent(fleet, fleet.ask(harmful)));
        fleet->wait(milliseconds(1100));
        CPPUNIT_ASSERT(is_sent(fleet, fleet.ask(harmful)));
    }

    void a_waiting_request_is_refused_when_it_is_quarantined()
    {
        single_router_fleet fleet;
        fleet.crash(fleet.ask(harmful));
        fleet.crash(fleet.ask(harmful));
        auto const third = fleet.ask(harmful);
        auto const waiting = fleet.ask(harmful);
        fleet.crash(third);
        CPPUNIT_ASSERT(!is_sent(fleet, waiting));
        CPPUNIT_ASSERT_EQUAL(name_of(refusal_reason::crashes_endpoints), name_of(reason_of(fleet, waiting)));
    }

    static peer_report report_of(std::vector<crash_record> crashes)
    {
        peer_report report;
        report.peer = vm_name("router-b");
        report.domain = failure_domain("north");
        report.crashes = std::move(crashes);
        return report;
    }

    void a_router_refuses_requests_that_others_have_quarantined()
    {
        single_router_fleet first_fleet;
        first_fleet.quarantine();
        single_router_fleet second_fleet;
        second_fleet->deliver(
            report_of(first_fleet->reducer().take_own_report(report_scope::changes, first_fleet->now()).crashes));
        CPPUNIT_ASSERT_EQUAL(
            name_of(refusal_reason::crashes_endpoints), name_of(reason_of(second_fleet, second_fleet.ask(harmful))));
        // A router that missed the report receives the record with the next whole report.
        single_router_fleet third_fleet;
        third_fleet->deliver(
            report_of(first_fleet->reducer().take_own_report(report_scope::whole, first_fleet->now()).crashes));
        CPPUNIT_ASSERT_EQUAL(
            name_of(refusal_reason::crashes_endpoints), name_of(reason_of(third_fleet, third_fleet.ask(harmful))));
    }

    void outdated_records_of_a_cleared_request_do_not_count()
    {
        single_router_fleet fleet;
        fleet.crash(fleet.ask(harmful));
        fleet.crash(fleet.ask(harmful));
        auto const outdated_records = fleet->reducer().take_own_report(report_scope::changes, fleet->now()).crashes;
        fleet->end(fleet.ask(harmful), attempt_end::complete, 200);
        fleet->deliver(report_of(outdated_records));
        fleet.crash(fleet.ask(harmful));
        CPPUNIT_ASSERT(is_sent(fleet, fleet.ask(harmful)));
    }

    void a_full_table_keeps_quarantined_requests()
    {
        single_router_fleet fleet;
        fleet.quarantine();
        std::vector<crash_record> many;
        for (std::uint64_t index = 0; index < 5000; ++index)
            many.push_back({ { team_key(1), content_hash(1000 + index) }, { 0, 1 }, milliseconds(600000), {} });
        fleet->deliver(report_of(many));
        CPPUNIT_ASSERT_EQUAL(name_of(refusal_reason::crashes_endpoints), name_of(reason_of(fleet, fleet.ask(harmful))));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(crash_suspects_test);

} // namespace shedhill::dispatch
