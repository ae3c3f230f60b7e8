// SPDX-License-Identifier: BSD-2-Clause
// Tests answers whose head violates the grammar of HTTP/1.1. None of them reaches the caller as an answer.
#include "tests/relay/answer_relay.h"

#include <algorithm>
#include <array>
#include <cppunit/extensions/HelperMacros.h>

namespace shedhill::relay {

namespace {

std::string answer_of(std::string const& status_line, std::string const& field_lines, std::string const& body)
{
    return status_line + "\r\nShedhill-Request-Id: r1\r\nShedhill-Server-Signature: s\r\n" + field_lines
        + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// Returns an answer whose fields frame the body in another way.
std::string answer_with(std::string_view status, std::string_view field_lines, std::string_view body)
{
    std::string bytes = "HTTP/1.1 ";
    bytes += status;
    bytes += " Name\r\nShedhill-Request-Id: r1\r\nShedhill-Server-Signature: s\r\n";
    bytes += field_lines;
    bytes += "\r\n";
    bytes += body;
    return bytes;
}

// Returns whether a field name may contain the byte (RFC 9110, 5.6.2).
bool is_token_byte(int byte)
{
    constexpr std::string_view others = "!#$%&'*+-.^_`|~";
    auto const letter = static_cast<char>(byte);
    return (letter >= '0' && letter <= '9') || (letter >= 'A' && letter <= 'Z') || (letter >= 'a' && letter <= 'z')
        || others.find(letter) != std::string_view::npos;
}

} // namespace

class malformed_answers_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(malformed_answers_test);
    CPPUNIT_TEST(a_status_out_of_range_is_tried_elsewhere);
    CPPUNIT_TEST(an_interim_status_is_never_final);
    CPPUNIT_TEST(the_answer_after_interim_answers_is_served);
    CPPUNIT_TEST(interim_answers_without_end_are_tried_elsewhere);
    CPPUNIT_TEST(only_a_final_status_reaches_the_caller);
    CPPUNIT_TEST(a_stream_is_resumed_by_a_final_answer_only);
    CPPUNIT_TEST(a_status_line_of_another_form_is_tried_elsewhere);
    CPPUNIT_TEST(a_byte_that_no_field_name_contains_is_tried_elsewhere);
    CPPUNIT_TEST(a_malformed_name_does_not_frame_the_body);
    CPPUNIT_TEST(a_control_byte_in_a_value_is_tried_elsewhere);
    CPPUNIT_TEST_SUITE_END();

    event_loop m_loop;

    // Guards against callers that get the malformed answer in place of the next endpoint's.
    void check_tried_elsewhere(std::string const& malformed)
    {
        answer_relay relay(m_loop);
        relay.add_endpoint(malformed, after_reply::stay);
        relay.add_endpoint(answer_of("HTTP/1.1 200 OK", "", "good"), after_reply::stay);
        auto const answer = relay.run();
        CPPUNIT_ASSERT_MESSAGE(malformed, answer.has_value());
        CPPUNIT_ASSERT_EQUAL_MESSAGE(malformed, 200U, answer->status);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(malformed, std::string("good"), answer->body);
        CPPUNIT_ASSERT(relay.attempts().front().ending.stop == dispatch::answer_stop::invalid);
    }

    void a_status_out_of_range_is_tried_elsewhere()
    {
        for (auto const* const status : { "000", "001", "099", "600", "999" })
            check_tried_elsewhere(answer_of("HTTP/1.1 " + std::string(status) + " OK", "", "bad"));
    }

    // Guards against callers that take an interim answer for the end, or 101 for a connection of another protocol.
    void an_interim_status_is_never_final()
    {
        for (auto const* const status : { "100", "101", "102", "103", "199" })
            check_tried_elsewhere(answer_of("HTTP/1.1 " + std::string(status) + " Name", "", "bad"));
        check_tried_elsewhere("HTTP/1.1 101 Switching Protocols\r\nUpgrade: other\r\n\r\n");
        check_tried_elsewhere("HTTP/1.1 103 Early Hints\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n");
    }

    void the_answer_after_interim_answers_is_served()
    {
        answer_relay relay(m_loop);
        relay.add_endpoint("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nShedhill-Request-Id: r1\r\n\r\n"
                + answer_of("HTTP/1.1 200 OK", "", "good"),
            after_reply::stay);
        auto const answer = relay.run();
        CPPUNIT_ASSERT(answer.has_value());
        CPPUNIT_ASSERT_EQUAL(200U, answer->status);
        CPPUNIT_ASSERT_EQUAL(std::string("good"), answer->body);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, relay.attempts().size());
    }

    // Guards against an endpoint that holds a request until its deadline.
    void interim_answers_without_end_are_tried_elsewhere()
    {
        std::string interim;
        for (int count = 0; count < 10'000; ++count)
            interim += "HTTP/1.1 100 Continue\r\n\r\n";
        check_tried_elsewhere(interim);
    }

    static bool is_final(unsigned status) { return status >= 200 && status <= 599; }

    static std::string with_three_digits(unsigned status)
    {
        constexpr unsigned four_digits = 1000;
        return std::to_string(four_digits + status).substr(1);
    }

    // Returns whether the platform's binding forwards an answer with this final status.
    static bool is_forwarded(unsigned status)
    {
        constexpr std::array never_forwarded { 408U, 421U, 429U, 503U };
        return std::ranges::find(never_forwarded, status) == never_forwarded.end();
    }

    struct body_framing {
        std::string_view fields;
        std::string_view body;
    };

    // Each status with each framing: of one that is not final the caller sees nothing.
    void only_a_final_status_reaches_the_caller()
    {
        constexpr unsigned max_status = 999;
        constexpr std::array framings { body_framing { "Content-Length: 3\r\n", "bad" },
            body_framing { "Transfer-Encoding: chunked\r\n", "3\r\nbad\r\n0\r\n\r\n" }, body_framing { "", "bad" },
            body_framing { "Content-Type: text/event-stream\r\nContent-Length: 15\r\n", "id: 1\ndata: a\n\n" },
            body_framing { "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n",
                "f\r\nid: 1\ndata: a\n\n\r\n0\r\n\r\n" },
            body_framing { "Content-Type: text/event-stream\r\n", "id: 1\ndata: a\n\n" } };
        for (auto const& [fields, body] : framings)
            for (unsigned status = 0; status <= max_status; ++status) {
                auto const bytes = answer_with(with_three_digits(status), fields, body);
                answer_relay relay(m_loop);
                relay.add_endpoint(bytes, after_reply::close);
                relay.add_endpoint(answer_of("HTTP/1.1 200 OK", "", "good"), after_reply::stay);
                auto const answer = relay.run();
                CPPUNIT_ASSERT_MESSAGE(bytes, answer.has_value());
                bool const is_expected = is_final(status) && is_forwarded(status);
                CPPUNIT_ASSERT_EQUAL_MESSAGE(bytes, is_expected ? status : 200U, answer->status);
                CPPUNIT_ASSERT_EQUAL_MESSAGE(bytes, !is_expected, answer->body == "good");
            }
    }

    void a_stream_is_resumed_by_a_final_answer_only()
    {
        // Returns a stream of one event of 15 bytes, without the last chunk.
        auto const stream_of = [](std::string_view status, std::string const& event) {
            return answer_with(
                status, "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n", "f\r\n" + event + "\r\n");
        };
        for (auto const* const status : { "000", "099", "100", "101", "199", "600", "999" }) {
            answer_relay relay(m_loop);
            relay.add_endpoint(stream_of("200", "id: 1\ndata: a\n\n"), after_reply::reset);
            relay.add_endpoint(stream_of(status, "id: 2\ndata: x\n\n") + "0\r\n\r\n", after_reply::close);
            relay.add_endpoint(stream_of("200", "id: 2\ndata: b\n\n") + "0\r\n\r\n", after_reply::stay);
            auto const answer = relay.run();
            CPPUNIT_ASSERT_MESSAGE(status, answer.has_value());
            CPPUNIT_ASSERT_MESSAGE(status, answer->view == caller_view::framed_as_complete);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(status, std::string("id: 1\ndata: a\n\nid: 2\ndata: b\n\n"), answer->body);
        }
    }

    void a_status_line_of_another_form_is_tried_elsewhere()
    {
        for (auto const* const status_line :
            { "HTTP/1.1 20 OK", "HTTP/1.1 0200 OK", "HTTP/1.1 2000 OK", "HTTP/1.1  200 OK", "HTTP/1.1\t200 OK",
                "HTTP/1.1 +20 OK", "HTTP/2.0 200 OK", "http/1.1 200 OK", "200 OK" })
            check_tried_elsewhere(answer_of(status_line, "", "bad"));
    }

    void a_byte_that_no_field_name_contains_is_tried_elsewhere()
    {
        for (int byte = 0; byte <= 0xff; ++byte) {
            if (is_token_byte(byte) || byte == ':')
                continue;
            std::string const odd(1, static_cast<char>(byte));
            for (auto const& name : { odd + "Name", "Na" + odd + "me", "Name" + odd })
                check_tried_elsewhere(answer_of("HTTP/1.1 200 OK", name + ": value\r\n", "bad"));
        }
    }

    // Guards against bodies that end where a field says whose name only looks like that of a length or a coding.
    void a_malformed_name_does_not_frame_the_body()
    {
        for (auto const byte : { ' ', '\t', '\v', '\x01', '\x7f', '\xa0', '\0' }) {
            std::string const odd(1, byte);
            for (auto const& line :
                { odd + "Content-Length: 1", "Content" + odd + "-Length: 1", "Content-Length" + odd + ": 1",
                    odd + "Transfer-Encoding: chunked", "Transfer-Encoding" + odd + ": chunked" })
                check_tried_elsewhere(answer_of("HTTP/1.1 200 OK", line + "\r\n", "1\r\nx\r\n0\r\n\r\n"));
        }
    }

    void a_control_byte_in_a_value_is_tried_elsewhere()
    {
        constexpr int first_printable = 0x20;
        constexpr int del = 0x7f;
        for (int byte = 0; byte <= del; ++byte) {
            if ((byte >= first_printable && byte != del) || byte == '\t')
                continue;
            std::string const odd(1, static_cast<char>(byte));
            check_tried_elsewhere(answer_of("HTTP/1.1 200 OK", "Name: va" + odd + "lue\r\n", "bad"));
            check_tried_elsewhere(answer_of("HTTP/1.1 200 O" + odd + "K", "", "bad"));
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(malformed_answers_test);

} // namespace shedhill::relay
