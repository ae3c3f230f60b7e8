// SPDX-License-Identifier: BSD-2-Clause
// Requests that crash what runs them, at one dispatcher.
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
    CPPUNIT_TEST(one_that_was_answered_is_quarantined_for_a_short_time);
    CPPUNIT_TEST(another_content_or_team_is_not_suspected);
    CPPUNIT_TEST(a_connection_that_breaks_is_no_crash);
    CPPUNIT_TEST(an_endpoint_with_an_older_attempt_under_way_is_not_probed);
    CPPUNIT_TEST(endpoints_lost_in_the_same_moment_count_once);
    CPPUNIT_TEST(a_suspect_is_tried_one_at_a_time);
    CPPUNIT_TEST(a_trial_that_does_not_end_holds_others_up_for_a_while_only);
    CPPUNIT_TEST(what_waits_is_refused_when_it_is_quarantined);
    CPPUNIT_TEST(a_router_refuses_what_others_have_quarantined);
    CPPUNIT_TEST(old_news_of_a_cleared_request_does_not_count);
    CPPUNIT_TEST(a_full_table_keeps_what_is_quarantined);
    CPPUNIT_TEST_SUITE_END();

    using driver = dispatch_driver;

    static inline content_hash const bad { 77 };
    static constexpr std::size_t endpoints = 8;

    class fleet_of_one {
    public:
        fleet_of_one()
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
            arrived.request = request_number(++m_last);
            arrived.caller_id = "id-" + std::to_string(m_last);
            arrived.host = "host";
            arrived.path = path;
            arrived.key = key;
            arrived.time_left = milliseconds(4000);
            if (m_driver.reducer().suspects_requests())
                arrived.content = content;
            auto const number = arrived.request;
            m_driver.take(std::move(arrived));
            return number;
        }

        void break_off(request_number request, content_hash content)
        {
            auto const sent = m_driver.sent_for(request).back();
            attempt_ended ended { request, sent.attempt, attempt_end::broken };
            ended.content = content;
            m_driver.take(ended);
        }

        // Lets the probe go out and answers it.
        void answer_probes(probe_outcome outcome)
        {
            m_driver.wait(milliseconds(20));
            for (; m_probes_seen < m_driver.probes().size(); ++m_probes_seen)
                m_driver.take(endpoint_probed { m_driver.probes()[m_probes_seen].instance, outcome });
        }

        // The endpoint that runs the request ends. A while later it may be tried again.
        void crash(request_number request, content_hash content = bad)
        {
            break_off(request, content);
            answer_probes(probe_outcome::refused);
            m_driver.wait(milliseconds(200));
        }

        void quarantine(content_hash content = bad)
        {
            for (int crashes = 0; crashes < 3; ++crashes)
                crash(ask(content), content);
        }

    private:
        driver m_driver;
        std::uint64_t m_last { 1000 };
        std::size_t m_probes_seen { 0 };
    };

    static refusal_reason reason_of(fleet_of_one& fleet, request_number request)
    {
        auto const refused = fleet->refusal_of(request);
        return refused ? refused->reason : refusal_reason::none;
    }

    static bool is_sent(fleet_of_one& fleet, request_number request) { return !fleet->sent_for(request).empty(); }

    void the_third_crash_in_a_row_quarantines()
    {
        fleet_of_one fleet;
        for (int crashes = 0; crashes < 3; ++crashes) {
            auto const request = fleet.ask(bad);
            CPPUNIT_ASSERT(is_sent(fleet, request));
            fleet.crash(request);
        }
        auto const request = fleet.ask(bad);
        CPPUNIT_ASSERT(!is_sent(fleet, request));
        CPPUNIT_ASSERT_EQUAL(name_of(refusal_reason::crashes_endpoints), name_of(reason_of(fleet, request)));
    }

    void a_quarantined_request_is_refused_at_once_until_the_quarantine_ends()
    {
        fleet_of_one fleet;
        fleet.quarantine();
        fleet->wait(milliseconds(60000));
        auto const refused = fleet->refusal_of(fleet.ask(bad));
        CPPUNIT_ASSERT(refused && refused->status == 503 && refused->retry_after);
        CPPUNIT_ASSERT(*refused->retry_after > milliseconds(60000));
        fleet->wait(*refused->retry_after + milliseconds(200));
        CPPUNIT_ASSERT(is_sent(fleet, fleet.ask(bad)));
    }

    void after_its_quarantine_a_request_is_tried_once()
    {
        fleet_of_one fleet;
        fleet.quarantine();
        fleet->wait(*fleet->refusal_of(fleet.ask(bad))->retry_after + milliseconds(200));
        auto const first = fleet.ask(bad);
        CPPUNIT_ASSERT(!is_sent(fleet, fleet.ask(bad)));
        fleet.crash(first);
        CPPUNIT_ASSERT_EQUAL(name_of(refusal_reason::crashes_endpoints), name_of(reason_of(fleet, fleet.ask(bad))));
    }

    void an_answer_clears_a_suspect()
    {
        fleet_of_one fleet;
        fleet.crash(fleet.ask(bad));
        fleet.crash(fleet.ask(bad));
        auto const answered = fleet.ask(bad);
        fleet->end(answered, attempt_end::complete, 200);
        for (int crashes = 0; crashes < 2; ++crashes)
            fleet.crash(fleet.ask(bad));
        CPPUNIT_ASSERT(is_sent(fleet, fleet.ask(bad)));
    }

    void one_that_was_answered_is_quarantined_for_a_short_time()
    {
        fleet_of_one fleet;
        fleet.crash(fleet.ask(bad));
        fleet->end(fleet.ask(bad), attempt_end::complete, 200);
        fleet.quarantine();
        CPPUNIT_ASSERT(!is_sent(fleet, fleet.ask(bad)));
        fleet->wait(milliseconds(10200));
        CPPUNIT_ASSERT(is_sent(fleet, fleet.ask(bad)));
    }

    void another_content_or_team_is_not_suspected()
    {
        fleet_of_one fleet;
        fleet.quarantine();
        CPPUNIT_ASSERT(is_sent(fleet, fleet.ask(content_hash(78))));
        CPPUNIT_ASSERT(is_sent(fleet, fleet.ask(bad, "/order/a", "blue-key")));
    }

    void a_connection_that_breaks_is_no_crash()
    {
        fleet_of_one fleet;
        for (int broken = 0; broken < 20; ++broken) {
            fleet.break_off(fleet.ask(bad), bad);
            for (int probe = 0; probe < 2; ++probe) {
                fleet->wait(milliseconds(100));
                fleet.answer_probes(probe_outcome::accepted);
            }
        }
        CPPUNIT_ASSERT(is_sent(fleet, fleet.ask(bad)));
    }

    void an_endpoint_with_an_older_attempt_under_way_is_not_probed()
    {
        fleet_of_one fleet;
        std::set<endpoint_name> busy;
        for (std::uint64_t index = 0; index < 100 * endpoints && busy.size() < endpoints; ++index)
            busy.insert(fleet->sent_for(fleet.ask(content_hash(100 + index))).back().endpoint);
        CPPUNIT_ASSERT_EQUAL(endpoints, busy.size());
        fleet->wait(milliseconds(10));
        fleet.break_off(fleet.ask(bad), bad);
        fleet->wait(milliseconds(300));
        CPPUNIT_ASSERT(fleet->probes().empty());
    }

    void endpoints_lost_in_the_same_moment_count_once()
    {
        fleet_of_one fleet;
        std::vector<request_number> hot;
        hot.reserve(80);
        for (int index = 0; index < 80; ++index)
            hot.push_back(fleet.ask(bad));
        for (auto const request : hot)
            fleet.break_off(request, bad);
        fleet.answer_probes(probe_outcome::refused);
        CPPUNIT_ASSERT(is_sent(fleet, fleet.ask(bad)));
    }

    void a_suspect_is_tried_one_at_a_time()
    {
        fleet_of_one fleet;
        fleet.crash(fleet.ask(bad));
        auto const first = fleet.ask(bad);
        auto const second = fleet.ask(bad);
        CPPUNIT_ASSERT(is_sent(fleet, first));
        CPPUNIT_ASSERT(!is_sent(fleet, second));
        fleet->end(first, attempt_end::complete, 200);
        CPPUNIT_ASSERT(is_sent(fleet, second));
    }

    void a_trial_that_does_not_end_holds_others_up_for_a_while_only()
    {
        fleet_of_one fleet;
        fleet.crash(fleet.ask(bad));
        CPPUNIT_ASSERT(is_sent(fleet, fleet.ask(bad)));
        fleet->wait(milliseconds(1100));
        CPPUNIT_ASSERT(is_sent(fleet, fleet.ask(bad)));
    }

    void what_waits_is_refused_when_it_is_quarantined()
    {
        fleet_of_one fleet;
        fleet.crash(fleet.ask(bad));
        fleet.crash(fleet.ask(bad));
        auto const third = fleet.ask(bad);
        auto const waiting = fleet.ask(bad);
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

    void a_router_refuses_what_others_have_quarantined()
    {
        fleet_of_one one;
        one.quarantine();
        fleet_of_one other;
        other->take(report_of(one->reducer().take_own_report(report_scope::changes, one->now()).crashes));
        CPPUNIT_ASSERT_EQUAL(name_of(refusal_reason::crashes_endpoints), name_of(reason_of(other, other.ask(bad))));
        // One that missed it hears of it by the next whole report.
        fleet_of_one late;
        late->take(report_of(one->reducer().take_own_report(report_scope::whole, one->now()).crashes));
        CPPUNIT_ASSERT_EQUAL(name_of(refusal_reason::crashes_endpoints), name_of(reason_of(late, late.ask(bad))));
    }

    void old_news_of_a_cleared_request_does_not_count()
    {
        fleet_of_one fleet;
        fleet.crash(fleet.ask(bad));
        fleet.crash(fleet.ask(bad));
        auto const news = fleet->reducer().take_own_report(report_scope::changes, fleet->now()).crashes;
        fleet->end(fleet.ask(bad), attempt_end::complete, 200);
        fleet->take(report_of(news));
        fleet.crash(fleet.ask(bad));
        CPPUNIT_ASSERT(is_sent(fleet, fleet.ask(bad)));
    }

    void a_full_table_keeps_what_is_quarantined()
    {
        fleet_of_one fleet;
        fleet.quarantine();
        std::vector<crash_record> many;
        for (std::uint64_t index = 0; index < 5000; ++index)
            many.push_back({ { team_key(1), content_hash(1000 + index) }, { 0, 1 }, milliseconds(600000), {} });
        fleet->take(report_of(many));
        CPPUNIT_ASSERT_EQUAL(name_of(refusal_reason::crashes_endpoints), name_of(reason_of(fleet, fleet.ask(bad))));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(crash_suspects_test);

} // namespace shedhill::dispatch
