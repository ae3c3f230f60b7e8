// SPDX-License-Identifier: BSD-2-Clause
// Tests the service aggregator and the service ledger: late, duplicate and reordered reports do not change a sum, and a
// new aggregator rebuilds the earlier sums.
#include "libraries/ledger/service_aggregator.h"

#include "libraries/ledger/service_ledger.h"
#include "tests/support/property.h"

#include <map>

namespace shedhill::ledger {

class service_aggregator_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(service_aggregator_test);
    CPPUNIT_TEST(sums_over_reporters);
    CPPUNIT_TEST(a_duplicate_or_late_report_changes_nothing);
    CPPUNIT_TEST(a_restarted_reporter_loses_nothing);
    CPPUNIT_TEST(a_new_aggregator_is_rebuilt_from_reported_sums);
    CPPUNIT_TEST(an_account_returning_from_idle_gets_its_floor_once);
    CPPUNIT_TEST(a_floor_does_not_count_the_reports_own_values_twice);
    CPPUNIT_TEST(reports_in_any_order_give_the_newest_values);
    CPPUNIT_TEST(the_ledger_adds_its_own_charges_to_readings);
    CPPUNIT_TEST(the_ledger_reports_the_largest_changes_first);
    CPPUNIT_TEST_SUITE_END();

    static inline account_id const account { 1 };

    static wire::service_report report(std::uint64_t epoch, std::uint64_t sequence, std::int64_t value)
    {
        return { process_epoch(epoch), sequence, { { account, service_units(value) } }, {}, {} };
    }

    static instant at(std::int64_t time) { return instant(milliseconds(time)); }

    void sums_over_reporters()
    {
        service_aggregator aggregator;
        aggregator.accept(vm_name("a"), report(1, 1, 100), at(1));
        auto const reading = aggregator.accept(vm_name("b"), report(1, 1, 50), at(2));
        CPPUNIT_ASSERT(reading.others.front().value == service_units(100));
        CPPUNIT_ASSERT(aggregator.sum(account) == service_units(150));
    }

    void a_duplicate_or_late_report_changes_nothing()
    {
        service_aggregator aggregator;
        aggregator.accept(vm_name("a"), report(1, 2, 100), at(1));
        aggregator.accept(vm_name("a"), report(1, 2, 100), at(2));
        aggregator.accept(vm_name("a"), report(1, 1, 10), at(3));
        CPPUNIT_ASSERT(aggregator.sum(account) == service_units(100));
        // A correction may lower the value.
        aggregator.accept(vm_name("a"), report(1, 3, 80), at(4));
        CPPUNIT_ASSERT(aggregator.sum(account) == service_units(80));
    }

    void a_restarted_reporter_loses_nothing()
    {
        service_aggregator aggregator;
        aggregator.accept(vm_name("a"), report(1, 9, 100), at(1));
        aggregator.accept(vm_name("a"), report(2, 1, 5), at(2));
        CPPUNIT_ASSERT(aggregator.sum(account) == service_units(105));
        aggregator.accept(vm_name("a"), report(1, 10, 200), at(3));
        CPPUNIT_ASSERT(aggregator.sum(account) == service_units(105));
    }

    void a_new_aggregator_is_rebuilt_from_reported_sums()
    {
        service_aggregator aggregator;
        auto first = report(1, 1, 10);
        first.rebuild = { { account, service_units(1000) } };
        aggregator.accept(vm_name("a"), first, at(1));
        CPPUNIT_ASSERT(aggregator.sum(account) == service_units(1000));
        // The values of the other reporters are part of the reported sum and are not added to it.
        aggregator.accept(vm_name("b"), report(1, 1, 500), at(2));
        CPPUNIT_ASSERT(aggregator.sum(account) == service_units(1000));
        aggregator.accept(vm_name("b"), report(1, 2, 500), at(10000));
        aggregator.accept(vm_name("b"), report(1, 3, 600), at(10001));
        CPPUNIT_ASSERT(aggregator.sum(account) == service_units(1100));
    }

    void an_account_returning_from_idle_gets_its_floor_once()
    {
        service_aggregator aggregator;
        aggregator.accept(vm_name("a"), report(1, 1, 10), at(1));
        auto returning = report(1, 2, 10);
        returning.activations = { { account, service_units(500) } };
        aggregator.accept(vm_name("a"), returning, at(20000));
        CPPUNIT_ASSERT(aggregator.sum(account) == service_units(500));
        // The account is no longer idle, so another router's activation shortly afterwards has no effect.
        auto other = report(1, 1, 0);
        other.activations = { { account, service_units(900) } };
        aggregator.accept(vm_name("b"), other, at(20100));
        CPPUNIT_ASSERT(aggregator.sum(account) == service_units(500));
    }

    // Guards against a floor that is added to a sum without the report's own values. This happens when an aggregator
    // was partitioned from an account's reporters and therefore treats the account as idle.
    void a_floor_does_not_count_the_reports_own_values_twice()
    {
        service_aggregator aggregator;
        aggregator.accept(vm_name("a"), report(1, 1, 10), at(1));
        auto returning = report(1, 2, 480);
        returning.activations = { { account, service_units(500) } };
        aggregator.accept(vm_name("a"), returning, at(20000));
        CPPUNIT_ASSERT(aggregator.sum(account) == service_units(500));
    }

    void reports_in_any_order_give_the_newest_values()
    {
        testing::check_property("the sum is that of the newest reports, whatever the order", [] {
            service_aggregator aggregator;
            struct newest {
                std::uint64_t sequence { 0 };
                std::int64_t value { 0 };
            };
            std::map<std::string, newest> oracle;
            auto const steps = *rc::gen::inRange(1, 60);
            for (int step = 0; step < steps; ++step) {
                auto const name = std::string(1, static_cast<char>('a' + *rc::gen::inRange(0, 4)));
                auto const sequence = *rc::gen::inRange<std::uint64_t>(1, 12);
                // One sequence number always carries one value.
                auto const value = static_cast<std::int64_t>(sequence * 37 % 11 + static_cast<std::uint64_t>(name[0]));
                aggregator.accept(vm_name(name), report(1, sequence, value), at(step));
                if (sequence > oracle[name].sequence)
                    oracle[name] = { sequence, value };
            }
            std::int64_t sum = 0;
            for (auto const& [name, newest] : oracle)
                sum += newest.value;
            RC_ASSERT(aggregator.sum(account) == service_units(sum));
        });
    }

    void the_ledger_adds_its_own_charges_to_readings()
    {
        service_ledger ledger;
        ledger.charge(account, service_units(100));
        ledger.apply_reading(account, service_units(1000), at(10));
        ledger.charge(account, service_units(20));
        CPPUNIT_ASSERT(ledger.total(account) == service_units(1120));
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 560 }, ledger.level(account, 2, at(30)).level);
        CPPUNIT_ASSERT(ledger.level(account, 2, at(30)).age == milliseconds(20));
    }

    void the_ledger_reports_the_largest_changes_first()
    {
        service_ledger ledger;
        ledger.charge(account_id(1), service_units(10));
        ledger.charge(account_id(2), service_units(-500));
        ledger.charge(account_id(3), service_units(100));
        auto const chosen = ledger.choose_due({ account_id(1), account_id(2), account_id(3) }, at(5), 2);
        CPPUNIT_ASSERT((chosen == std::vector { account_id(2), account_id(3) }));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(service_aggregator_test);

} // namespace shedhill::ledger
