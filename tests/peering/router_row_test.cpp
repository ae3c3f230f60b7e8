// SPDX-License-Identifier: BSD-2-Clause
// Tests the conversion of a router's row to text and back.
#include "libraries/peering/router_row.h"

#include "tests/support/property.h"

namespace shedhill::peering {

class router_row_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(router_row_test);
    CPPUNIT_TEST(a_row_round_trips_through_its_text);
    CPPUNIT_TEST(software_versions_round_trip);
    CPPUNIT_TEST(invalid_lines_are_skipped);
    CPPUNIT_TEST(any_text_is_parsed_safely);
    CPPUNIT_TEST_SUITE_END();

    void a_row_round_trips_through_its_text()
    {
        router_row row { { "10.0.0.1:7", failure_domain("north hall"), 190 } };
        CPPUNIT_ASSERT(parse_router_row(to_text(row)).member == row.member);
        CPPUNIT_ASSERT_EQUAL(to_text(row.member), to_text(row));
        dispatch::crash_record record;
        record.request = { team_key(~std::uint64_t { 0 }), content_hash(77) };
        record.stamp = { 65535, 3 };
        row.quarantined = { record, record };
        row.quarantined[1].was_answered = true;
        auto const parsed = parse_router_row(to_text(row));
        CPPUNIT_ASSERT(parsed.member == row.member);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 2 }, parsed.quarantined.size());
        for (std::size_t index = 0; index < 2; ++index) {
            CPPUNIT_ASSERT(parsed.quarantined[index].request == record.request);
            CPPUNIT_ASSERT(parsed.quarantined[index].stamp == record.stamp);
            CPPUNIT_ASSERT_EQUAL(index == 1, parsed.quarantined[index].was_answered);
        }
    }

    void software_versions_round_trip()
    {
        router_row row { { "10.0.0.1:7", failure_domain("north"), 190 } };
        CPPUNIT_ASSERT(!parse_router_row(to_text(row)).states_versions);
        row.states_versions = true;
        CPPUNIT_ASSERT(parse_router_row(to_text(row)).states_versions);
        row.versions = { { pool_key(~std::uint64_t { 0 }), software_key(7), true },
            { pool_key(1), software_key(~std::uint32_t { 0 }), false } };
        auto const parsed = parse_router_row(to_text(row));
        CPPUNIT_ASSERT(parsed.states_versions && parsed.versions == row.versions);
        CPPUNIT_ASSERT(parsed.member == row.member);
        // A line that was cut off states nothing.
        CPPUNIT_ASSERT(!parse_router_row("10.0.0.1:7 190 north\nV 1 2").states_versions);
    }

    void invalid_lines_are_skipped()
    {
        auto const row = parse_router_row("10.0.0.1:7 190 north\n1 2 3\n\n1 2 0 3 0\n1 2 99999 3 0\nnoise");
        CPPUNIT_ASSERT(row.member.domain == failure_domain("north"));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, row.quarantined.size());
    }

    void any_text_is_parsed_safely()
    {
        testing::check_property("any text is parsed", [] {
            auto const text = *rc::gen::container<std::string>(rc::gen::element('0', '9', ' ', '\n', '-', 'x'));
            RC_ASSERT(parse_router_row(text).quarantined.size() <= text.size());
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(router_row_test);

} // namespace shedhill::peering
