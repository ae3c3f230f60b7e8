// SPDX-License-Identifier: BSD-2-Clause
// Tests the parsing of event streams: any line ends, any split into reads, and where a stream is inside an event.
#include "libraries/relay/event_stream.h"

#include "tests/support/property.h"

#include <array>
#include <cppunit/extensions/HelperMacros.h>
#include <vector>

namespace shedhill::relay {

namespace {

struct drawn_stream {
    std::string bytes;
    // The offsets at which an event may end: behind its empty line.
    std::vector<std::size_t> borders { 0 };
    std::size_t events { 0 };
};

std::string draw_line_end() { return *rc::gen::element<std::string>("\n", "\r\n", "\r"); }

// Draws a stream of numbered events whose lines have any ends.
drawn_stream draw_stream()
{
    drawn_stream drawn;
    drawn.events = *rc::gen::inRange<std::size_t>(1, 6);
    for (std::size_t number = 1; number <= drawn.events; ++number) {
        if (*rc::gen::arbitrary<bool>())
            drawn.bytes += ": a comment" + draw_line_end();
        drawn.bytes += "id: " + std::to_string(number) + draw_line_end();
        auto const end = draw_line_end();
        drawn.bytes += "data: " + std::string(*rc::gen::inRange<std::size_t>(0, 9), 'x') + end;
        // An LF after a CR would end the same line.
        drawn.bytes += end == "\r" ? end : draw_line_end();
        drawn.borders.push_back(drawn.bytes.size());
    }
    return drawn;
}

// Returns whether the bytes after the last event begin another one, by the lines that they hold.
bool holds_part_of_event(std::string const& bytes)
{
    std::string line;
    for (auto const byte : bytes) {
        if (byte != '\r' && byte != '\n') {
            line += byte;
            continue;
        }
        if (!line.empty() && !line.starts_with(':'))
            return true;
        line.clear();
    }
    return !line.empty();
}

} // namespace

class event_stream_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(event_stream_test);
    CPPUNIT_TEST(events_end_with_an_empty_line_of_any_form);
    CPPUNIT_TEST(only_comments_and_line_ends_may_follow_the_last_event);
    CPPUNIT_TEST(an_event_ends_in_the_read_that_brings_its_empty_line);
    CPPUNIT_TEST(no_byte_of_a_stream_is_lost_or_reordered_however_it_is_split);
    CPPUNIT_TEST_SUITE_END();

    static bool is_inside_event_after(std::string_view bytes)
    {
        event_stream stream;
        std::string events;
        stream.feed(bytes, events);
        return stream.is_inside_event();
    }

    void events_end_with_an_empty_line_of_any_form()
    {
        for (std::string const first : { "\n", "\r", "\r\n" }) {
            for (std::string const second : { "\n", "\r", "\r\n" }) {
                // CR and LF together end one line.
                if (first == "\r" && second == "\n")
                    continue;
                event_stream stream;
                std::string events;
                auto event = "data: a" + first;
                event += second;
                CPPUNIT_ASSERT_EQUAL(std::uint32_t { 2 }, stream.feed(event + event, events));
                CPPUNIT_ASSERT_EQUAL(event + event, events);
                CPPUNIT_ASSERT(!stream.is_inside_event());
            }
        }
    }

    void only_comments_and_line_ends_may_follow_the_last_event()
    {
        std::string const event = "id: 1\ndata: a\n\n";
        for (std::string const rest : { "", "\n", "\r\n\r\n", ": alive\n", ": alive\r\n: alive\r" })
            CPPUNIT_ASSERT(!is_inside_event_after(event + rest));
        for (std::string const rest : { "i", "id", "id: 2", "data: b\n", " ", "\t\n", ": ali", ": alive\ndata:" })
            CPPUNIT_ASSERT(is_inside_event_after(event + rest));
        CPPUNIT_ASSERT(!is_inside_event_after("\xEF\xBB\xBF"));
        CPPUNIT_ASSERT(is_inside_event_after("\xEF\xBB\xBFid"));
        CPPUNIT_ASSERT(is_inside_event_after("\xEF\xBB"));
    }

    void an_event_ends_in_the_read_that_brings_its_empty_line()
    {
        event_stream stream;
        std::string events;
        CPPUNIT_ASSERT_EQUAL(std::uint32_t { 0 }, stream.feed("\xEF\xBB\xBFid: 1\r\ndata: a\r\n", events));
        CPPUNIT_ASSERT_EQUAL(std::uint32_t { 1 }, stream.feed("\r", events));
        CPPUNIT_ASSERT_EQUAL(std::string("1"), stream.last_id());
        CPPUNIT_ASSERT_EQUAL(std::uint32_t { 0 }, stream.feed("\n", events));
        CPPUNIT_ASSERT(!stream.is_inside_event());
        CPPUNIT_ASSERT_EQUAL(std::uint32_t { 1 }, stream.feed("id: 2\n\n", events));
        CPPUNIT_ASSERT_EQUAL(std::string("\xEF\xBB\xBFid: 1\r\ndata: a\r\n\r\nid: 2\n\n"), events);
    }

    void no_byte_of_a_stream_is_lost_or_reordered_however_it_is_split()
    {
        testing::check_property("a stream that is cut and split anywhere keeps its bytes and its events", [] {
            auto const drawn = draw_stream();
            auto const cut = *rc::gen::inRange<std::size_t>(0, drawn.bytes.size() + 1);
            auto left = std::string_view(drawn.bytes).substr(0, cut);
            event_stream stream;
            std::string events;
            std::size_t count = 0;
            while (!left.empty()) {
                auto const size = *rc::gen::inRange<std::size_t>(1, left.size() + 1);
                count += stream.feed(left.substr(0, size), events);
                left.remove_prefix(size);
            }
            RC_ASSERT(events + stream.partial() == drawn.bytes.substr(0, cut));
            std::size_t expected_events = 0;
            for (auto const border : drawn.borders)
                expected_events += border > 0 && border <= cut ? 1 : 0;
            // The CR of an empty line ends its event before the LF arrives.
            bool const is_before_line_feed
                = cut > 0 && cut < drawn.bytes.size() && drawn.bytes[cut - 1] == '\r' && drawn.bytes[cut] == '\n';
            RC_ASSERT(count == expected_events || (is_before_line_feed && count == expected_events + 1));
            RC_ASSERT(stream.is_inside_event() == holds_part_of_event(stream.partial()));
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(event_stream_test);

} // namespace shedhill::relay
