// SPDX-License-Identifier: BSD-2-Clause
// Tests how failure domains share what they know of requests that crash endpoints.
#include "libraries/dispatch/suspects/crash_suspects.h"

#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>
#include <iterator>
#include <set>

namespace shedhill::dispatch {

class crash_domains_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(crash_domains_test);
    CPPUNIT_TEST(the_delegate_reports_a_trial_of_its_domain_to_others);
    CPPUNIT_TEST(a_crash_of_a_copy_that_was_sent_after_the_last_one_counts);
    CPPUNIT_TEST(a_crash_of_a_copy_that_was_sent_before_the_last_one_does_not_count);
    CPPUNIT_TEST(an_event_that_other_routers_saw_first_counts_once);
    CPPUNIT_TEST(failure_domains_start_their_last_trials_one_after_another);
    CPPUNIT_TEST_SUITE_END();

    static inline request_identity const request { team_key(1), content_hash(77) };

    static instant at(std::int64_t time) { return instant(milliseconds(time)); }

    static crash_record make_record(std::uint8_t crashes, milliseconds since_crash, milliseconds trial_left)
    {
        return { request, { 0, crashes }, milliseconds(600000), trial_left, false, since_crash };
    }

    // Records an attempt with no crash known that was sent and broke off at these times, and whose endpoint has
    // crashed.
    static crash_suspects::probe_result crash_copy(crash_suspects& suspects, instant sent_at, instant broken_at)
    {
        endpoint_key const instance(5);
        suspects.record_broken_attempt(
            { endpoint_name("e5"), instance, "address" }, { request, { 0, 1 }, broken_at, sent_at });
        (void)suspects.take_due_probes(broken_at + milliseconds(20));
        return suspects.apply_probe(instance, probe_outcome::refused, broken_at + milliseconds(30));
    }

    static crash_suspects know_two_crashes(instant second_crash, instant known_at)
    {
        crash_suspects suspects;
        (void)suspects.merge(
            make_record(2, std::chrono::duration_cast<milliseconds>(known_at - second_crash), milliseconds(0)),
            report_origin::elsewhere, known_at);
        return suspects;
    }

    // Copies of a request at another failure domain wait only for a trial that they know of.
    void the_delegate_reports_a_trial_of_its_domain_to_others()
    {
        crash_suspects delegate;
        (void)delegate.merge(make_record(1, milliseconds(0), milliseconds(0)), report_origin::own_domain, at(1000));
        (void)delegate.take_report_records(report_subject::domain, report_scope::changes, at(1010));
        (void)delegate.merge(
            make_record(1, milliseconds(300), milliseconds(1000)), report_origin::own_domain, at(1300));
        auto const reported = delegate.take_report_records(report_subject::domain, report_scope::changes, at(1310));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, reported.size());
        CPPUNIT_ASSERT(reported[0].trial_left > milliseconds(900));
        CPPUNIT_ASSERT(delegate.take_report_records(report_subject::domain, report_scope::changes, at(1320)).empty());
    }

    // The copy left before its router knew of the second crash, but that endpoint had ended already.
    void a_crash_of_a_copy_that_was_sent_after_the_last_one_counts()
    {
        auto suspects = know_two_crashes(at(1000), at(1150));
        auto const result = crash_copy(suspects, at(1080), at(1400));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, result.crashes.size());
        CPPUNIT_ASSERT(result.crashes[0].is_quarantined);
    }

    void a_crash_of_a_copy_that_was_sent_before_the_last_one_does_not_count()
    {
        auto suspects = know_two_crashes(at(1000), at(1150));
        CPPUNIT_ASSERT(crash_copy(suspects, at(990), at(1400)).crashes.empty());
        CPPUNIT_ASSERT(suspects.suspicion_of(request, at(2000)) != suspicion::quarantined);
    }

    // Endpoints of a failure domain that is lost end within a moment of each other.
    void an_event_that_other_routers_saw_first_counts_once()
    {
        auto suspects = know_two_crashes(at(1000), at(1150));
        CPPUNIT_ASSERT(crash_copy(suspects, at(1020), at(1040)).crashes.empty());
    }

    void failure_domains_start_their_last_trials_one_after_another()
    {
        std::vector<failure_domain> const domains { failure_domain("a"), failure_domain("b"), failure_domain("c") };
        std::set<std::int64_t> starts;
        for (auto const& own : domains) {
            auto suspects = know_two_crashes(at(1000), at(1000));
            std::vector<failure_domain> others;
            std::ranges::copy_if(
                domains, std::back_inserter(others), [&](failure_domain const& domain) { return domain != own; });
            suspects.set_domains(own, others);
            std::int64_t start = 1000;
            while (suspects.suspicion_of(request, at(start)) != suspicion::none && start < 3000)
                start += 10;
            starts.insert(start);
        }
        CPPUNIT_ASSERT_EQUAL(domains.size(), starts.size());
        constexpr std::int64_t last_start = 2000;
        CPPUNIT_ASSERT(*starts.begin() >= 1200 && *starts.rbegin() <= last_start);
        for (auto start = starts.begin(); std::next(start) != starts.end(); ++start)
            CPPUNIT_ASSERT(*std::next(start) - *start >= 250);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(crash_domains_test);

} // namespace shedhill::dispatch
