// SPDX-License-Identifier: BSD-2-Clause
// Tests what callers can tell of answers that endpoints break off, under every framing.
#include "tests/relay/answer_relay.h"

#include <array>
#include <cppunit/extensions/HelperMacros.h>

namespace shedhill::relay {

namespace {

using dispatch::answer_framing;

constexpr std::array framings { answer_framing::length, answer_framing::chunks, answer_framing::connection };
constexpr int events_per_stream = 4;

std::string event_of(int number)
{
    return "id: " + std::to_string(number) + "\ndata: piece " + std::to_string(number) + "\n\n";
}

// Returns the events from this number on.
std::string events_from(int first)
{
    std::string events;
    for (int number = first; number <= events_per_stream; ++number)
        events += event_of(number);
    return events;
}

std::string head_of(answer_framing framing, std::string const& content_type, std::size_t length)
{
    std::string head = "HTTP/1.1 200 OK\r\nShedhill-Request-Id: r1\r\nShedhill-Server-Signature: s\r\nContent-Type: "
        + content_type + "\r\n";
    if (framing == answer_framing::length)
        head += "Content-Length: " + std::to_string(length) + "\r\n";
    if (framing == answer_framing::chunks)
        head += "Transfer-Encoding: chunked\r\n";
    return head + "\r\n";
}

// Returns the bytes of an answer of which only a part of the body is sent.
std::string answer_of(
    answer_framing framing, std::string const& content_type, std::string const& body, std::size_t sent_bytes)
{
    auto bytes = head_of(framing, content_type, body.size());
    auto const part = body.substr(0, sent_bytes);
    if (framing != answer_framing::chunks)
        return bytes + part;
    if (!part.empty())
        append_chunk(bytes, part);
    if (part.size() == body.size())
        append_last_chunk(bytes);
    return bytes;
}

std::string stream_of(answer_framing framing, int first_event, std::size_t sent_bytes)
{
    return answer_of(framing, "text/event-stream", events_from(first_event), sent_bytes);
}

std::string whole_stream_of(answer_framing framing, int first_event = 1)
{
    return stream_of(framing, first_event, events_from(first_event).size());
}

} // namespace

class broken_off_answers_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(broken_off_answers_test);
    CPPUNIT_TEST(a_stream_broken_off_inside_an_event_is_never_framed_as_complete);
    CPPUNIT_TEST(a_stream_whose_last_chunk_follows_half_an_event_is_not_framed_as_complete);
    CPPUNIT_TEST(a_stream_without_framing_that_closes_between_events_is_not_framed_as_complete);
    CPPUNIT_TEST(a_plain_answer_without_framing_that_closes_is_not_framed_as_complete);
    CPPUNIT_TEST(a_failure_without_framing_that_closes_is_not_framed_as_complete);
    CPPUNIT_TEST(a_resumed_stream_that_closes_between_events_is_not_framed_as_complete);
    CPPUNIT_TEST(a_stream_that_closes_before_its_first_event_is_not_an_empty_answer);
    CPPUNIT_TEST(a_stream_broken_off_inside_an_event_goes_on_at_the_next_endpoint);
    CPPUNIT_TEST(whole_answers_reach_the_caller_under_every_framing);
    CPPUNIT_TEST_SUITE_END();

    event_loop m_loop;

    received_answer relay_answer(std::string const& bytes, after_reply then)
    {
        answer_relay relay(m_loop);
        relay.add_endpoint(bytes, then);
        auto const answer = relay.run();
        CPPUNIT_ASSERT(answer.has_value());
        return *answer;
    }

    // Cuts the stream at each byte inside an event.
    void a_stream_broken_off_inside_an_event_is_never_framed_as_complete()
    {
        auto const border = event_of(1).size();
        for (auto const framing : framings) {
            for (auto const then : { after_reply::close, after_reply::reset }) {
                for (auto cut = border + 1; cut < 2 * border; ++cut) {
                    auto const answer = relay_answer(stream_of(framing, 1, cut), then);
                    CPPUNIT_ASSERT(answer.view == caller_view::broken_off);
                }
            }
        }
    }

    void a_stream_whose_last_chunk_follows_half_an_event_is_not_framed_as_complete()
    {
        auto bytes = head_of(answer_framing::chunks, "text/event-stream", 0);
        append_chunk(bytes, event_of(1) + "id: 2\ndata: pi");
        append_last_chunk(bytes);
        CPPUNIT_ASSERT(relay_answer(bytes, after_reply::stay).view == caller_view::broken_off);
    }

    void a_stream_without_framing_that_closes_between_events_is_not_framed_as_complete()
    {
        auto const bytes = stream_of(answer_framing::connection, 1, event_of(1).size());
        auto const answer = relay_answer(bytes, after_reply::close);
        CPPUNIT_ASSERT(answer.view != caller_view::framed_as_complete);
        CPPUNIT_ASSERT_EQUAL(event_of(1), answer.body);
    }

    void a_plain_answer_without_framing_that_closes_is_not_framed_as_complete()
    {
        auto const bytes = answer_of(answer_framing::connection, "text/plain", "half of it", 4);
        CPPUNIT_ASSERT(relay_answer(bytes, after_reply::close).view != caller_view::framed_as_complete);
    }

    void a_failure_without_framing_that_closes_is_not_framed_as_complete()
    {
        auto bytes = answer_of(answer_framing::connection, "text/plain", "half of it", 4);
        bytes.replace(bytes.find("200 OK"), 6, "500 Internal Server Error");
        auto const answer = relay_answer(bytes, after_reply::close);
        CPPUNIT_ASSERT_EQUAL(500U, answer.status);
        CPPUNIT_ASSERT(answer.view != caller_view::framed_as_complete);
    }

    void a_resumed_stream_that_closes_between_events_is_not_framed_as_complete()
    {
        answer_relay relay(m_loop);
        relay.add_endpoint(stream_of(answer_framing::chunks, 1, event_of(1).size()), after_reply::close);
        relay.add_endpoint(stream_of(answer_framing::connection, 2, event_of(1).size()), after_reply::close);
        auto const answer = relay.run();
        CPPUNIT_ASSERT(answer.has_value());
        CPPUNIT_ASSERT(answer->view != caller_view::framed_as_complete);
        CPPUNIT_ASSERT_EQUAL(event_of(1) + event_of(2), answer->body);
    }

    void a_stream_that_closes_before_its_first_event_is_not_an_empty_answer()
    {
        answer_relay relay(m_loop);
        relay.add_endpoint(stream_of(answer_framing::connection, 1, 0), after_reply::close);
        relay.add_endpoint(whole_stream_of(answer_framing::chunks), after_reply::stay);
        auto const answer = relay.run();
        CPPUNIT_ASSERT(answer.has_value());
        CPPUNIT_ASSERT_EQUAL(events_from(1), answer->body);
    }

    void a_stream_broken_off_inside_an_event_goes_on_at_the_next_endpoint()
    {
        for (auto const first : framings) {
            for (auto const then : { after_reply::close, after_reply::reset }) {
                answer_relay relay(m_loop);
                relay.add_endpoint(stream_of(first, 1, event_of(1).size() + 3), then);
                relay.add_endpoint(whole_stream_of(answer_framing::chunks, 2), after_reply::stay);
                auto const answer = relay.run();
                CPPUNIT_ASSERT(answer.has_value());
                CPPUNIT_ASSERT(answer->view != caller_view::broken_off);
                CPPUNIT_ASSERT_EQUAL(events_from(1), answer->body);
                CPPUNIT_ASSERT_EQUAL(std::size_t { 2 }, relay.attempts().size());
                CPPUNIT_ASSERT(relay.attempts().front().end == dispatch::attempt_end::broken);
            }
        }
    }

    void whole_answers_reach_the_caller_under_every_framing()
    {
        std::string const plain = "all of it";
        for (auto const framing : framings) {
            auto const then = framing == answer_framing::connection ? after_reply::close : after_reply::stay;
            auto const stream = relay_answer(whole_stream_of(framing), then);
            CPPUNIT_ASSERT(stream.view != caller_view::broken_off);
            CPPUNIT_ASSERT_EQUAL(events_from(1), stream.body);
            auto const answer = relay_answer(answer_of(framing, "text/plain", plain, plain.size()), then);
            CPPUNIT_ASSERT(answer.view != caller_view::broken_off);
            CPPUNIT_ASSERT_EQUAL(plain, answer.body);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(broken_off_answers_test);

} // namespace shedhill::relay
