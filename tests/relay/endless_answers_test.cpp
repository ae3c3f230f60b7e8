// SPDX-License-Identifier: BSD-2-Clause
// Tests answers that endpoints never end, and answers that are too large to be kept until they are complete.
#include "tests/relay/answer_relay.h"

#include <array>
#include <cppunit/extensions/HelperMacros.h>

namespace shedhill::relay {

namespace {

constexpr std::size_t megabyte = 1U << 20U;
constexpr std::size_t endless_size = 12 * megabyte;

std::string head_of(std::string const& status, std::string const& fields)
{
    return "HTTP/1.1 " + status + "\r\nShedhill-Request-Id: r1\r\nShedhill-Server-Signature: s\r\n" + fields + "\r\n";
}

std::string whole_answer(std::string const& body)
{
    return head_of("200 OK", "Content-Length: " + std::to_string(body.size()) + "\r\n") + body;
}

std::string whole_stream()
{
    return head_of("200 OK", "Content-Type: text/event-stream\r\nContent-Length: 15\r\n") + "id: 1\ndata: a\n\n";
}

std::string repeat(std::string const& unit)
{
    std::string text;
    while (text.size() < endless_size)
        text += unit;
    return text;
}

// Returns a chunk that is larger than what follows.
std::string unfinished_chunk(std::string const& bytes) { return "7fffffff\r\n" + bytes; }

} // namespace

class endless_answers_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(endless_answers_test);
    CPPUNIT_TEST(an_answer_in_chunks_without_end_is_tried_elsewhere);
    CPPUNIT_TEST(an_unframed_answer_without_end_is_tried_elsewhere);
    CPPUNIT_TEST(a_failure_without_end_is_tried_elsewhere);
    CPPUNIT_TEST(an_event_without_end_is_tried_elsewhere);
    CPPUNIT_TEST(comments_without_end_are_tried_elsewhere);
    CPPUNIT_TEST(empty_lines_without_end_are_tried_elsewhere);
    CPPUNIT_TEST(a_head_without_end_is_tried_elsewhere);
    CPPUNIT_TEST(bytes_that_are_no_answer_are_tried_elsewhere);
    CPPUNIT_TEST(a_large_answer_of_known_length_is_served_whole);
    CPPUNIT_TEST(a_large_answer_that_breaks_off_does_not_look_whole);
    CPPUNIT_TEST_SUITE_END();

    static constexpr char const* chunked = "Transfer-Encoding: chunked\r\n";
    static constexpr char const* chunked_stream = "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n";

    event_loop m_loop;

    // Guards against a process whose memory grows for as long as an endpoint sends.
    void check_tried_elsewhere(std::string const& endless, std::string const& next, std::string const& expected)
    {
        answer_relay relay(m_loop);
        relay.add_endpoint(endless, after_reply::stay);
        relay.add_endpoint(next, after_reply::stay);
        auto const answer = relay.run();
        CPPUNIT_ASSERT(answer.has_value());
        CPPUNIT_ASSERT(answer->view == caller_view::framed_as_complete);
        CPPUNIT_ASSERT_EQUAL(expected, answer->body);
        CPPUNIT_ASSERT(relay.attempts().front().ending.stop == dispatch::answer_stop::invalid);
    }

    void check_plain_tried_elsewhere(std::string const& endless)
    {
        check_tried_elsewhere(endless, whole_answer("good"), "good");
    }

    void check_stream_tried_elsewhere(std::string const& endless)
    {
        check_tried_elsewhere(endless, whole_stream(), "id: 1\ndata: a\n\n");
    }

    void an_answer_in_chunks_without_end_is_tried_elsewhere()
    {
        check_plain_tried_elsewhere(head_of("200 OK", chunked) + unfinished_chunk(repeat("x")));
    }

    void an_unframed_answer_without_end_is_tried_elsewhere()
    {
        check_plain_tried_elsewhere(head_of("200 OK", "") + repeat("x"));
    }

    void a_failure_without_end_is_tried_elsewhere()
    {
        check_plain_tried_elsewhere(head_of("500 Failed", chunked) + unfinished_chunk(repeat("x")));
    }

    void an_event_without_end_is_tried_elsewhere()
    {
        check_stream_tried_elsewhere(
            head_of("200 OK", chunked_stream) + unfinished_chunk("id: 1\ndata: " + repeat("x")));
    }

    void comments_without_end_are_tried_elsewhere()
    {
        check_stream_tried_elsewhere(head_of("200 OK", chunked_stream) + unfinished_chunk(repeat(": wait\n")));
    }

    void empty_lines_without_end_are_tried_elsewhere()
    {
        check_stream_tried_elsewhere(head_of("200 OK", chunked_stream) + unfinished_chunk(repeat("\n")));
    }

    void a_head_without_end_is_tried_elsewhere()
    {
        check_plain_tried_elsewhere("HTTP/1.1 200 OK\r\n" + repeat("Name: value\r\n"));
        check_plain_tried_elsewhere("HTTP/1.1 200 OK\r\nName: " + repeat("x"));
        check_plain_tried_elsewhere("HTTP/1.1 200 " + repeat("OK"));
    }

    void bytes_that_are_no_answer_are_tried_elsewhere()
    {
        for (std::string const unit : { "x", "\r\n", "\n", "\r", "no answer\r\n", "GET / HTTP/1.1\r\n\r\n" })
            check_plain_tried_elsewhere(repeat(unit));
        check_plain_tried_elsewhere(repeat(std::string(1, '\0')));
    }

    // Guards against answers that are cut off because of their size, though their callers read at once.
    void a_large_answer_of_known_length_is_served_whole()
    {
        answer_relay relay(m_loop);
        std::string const body(8 * megabyte, 'x');
        relay.add_endpoint(whole_answer(body), after_reply::stay);
        auto const answer = relay.run();
        CPPUNIT_ASSERT(answer.has_value());
        CPPUNIT_ASSERT(answer->view == caller_view::framed_as_complete);
        CPPUNIT_ASSERT(answer->body == body);
    }

    void a_large_answer_that_breaks_off_does_not_look_whole()
    {
        answer_relay relay(m_loop);
        auto const whole = whole_answer(std::string(8 * megabyte, 'x'));
        relay.add_endpoint(whole.substr(0, whole.size() - 1), after_reply::close);
        auto const answer = relay.run();
        CPPUNIT_ASSERT(answer.has_value());
        CPPUNIT_ASSERT(answer->view == caller_view::broken_off || answer->status == 502);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(endless_answers_test);

} // namespace shedhill::relay
