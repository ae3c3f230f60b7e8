// SPDX-License-Identifier: BSD-2-Clause
// Tests that records of streams survive the store, and that bytes of another form are skipped.
#include "libraries/peering/stream_row.h"

#include "tests/support/property.h"

#include <cppunit/extensions/HelperMacros.h>
#include <limits>

namespace shedhill::peering {

class stream_row_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(stream_row_test);
    CPPUNIT_TEST(records_round_trip);
    CPPUNIT_TEST(a_full_row_fits_into_the_store);
    CPPUNIT_TEST(any_text_is_parsed_or_skipped);
    CPPUNIT_TEST_SUITE_END();

    void records_round_trip()
    {
        std::vector<dispatch::stream_record> const streams { { stream_key(1), software_key(7), milliseconds(5) },
            { stream_key(std::numeric_limits<std::uint64_t>::max()), software_key(7), milliseconds(5) },
            { stream_key(2), software_key(9), milliseconds(5) } };
        auto const read = parse_stream_row(to_stream_row(streams));
        CPPUNIT_ASSERT_EQUAL(streams.size(), read.size());
        for (std::size_t index = 0; index < streams.size(); ++index) {
            CPPUNIT_ASSERT(read[index].stream == streams[index].stream);
            CPPUNIT_ASSERT(read[index].software == streams[index].software);
        }
        CPPUNIT_ASSERT(to_stream_row({}).empty());
    }

    void a_full_row_fits_into_the_store()
    {
        constexpr std::size_t row_bytes = 65536;
        std::vector<dispatch::stream_record> streams;
        for (std::uint32_t index = 0; index < max_streams_per_row; ++index)
            streams.push_back({ stream_key(std::numeric_limits<std::uint64_t>::max() - index),
                software_key(std::numeric_limits<std::uint32_t>::max() - index), milliseconds(0) });
        CPPUNIT_ASSERT(to_stream_row(streams).size() < row_bytes);
    }

    void any_text_is_parsed_or_skipped()
    {
        testing::check_property("any text of a row is parsed or skipped", [] {
            auto const text = *rc::gen::container<std::string>(rc::gen::element('1', 'f', ' ', '\n', '-', 'x', '\0'));
            RC_ASSERT(parse_stream_row(text).size() <= text.size());
        });
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, parse_stream_row("x 1\n3 a  zz\n99999999999 1").size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(stream_row_test);

} // namespace shedhill::peering
