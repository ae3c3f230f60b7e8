// SPDX-License-Identifier: BSD-2-Clause
// Tests answers whose head violates the grammar of HTTP/1.1. None of them reaches the caller as an answer.
#include "tests/relay/answer_relay.h"

#include <cppunit/extensions/HelperMacros.h>

namespace shedhill::relay {

namespace {

std::string answer_of(std::string const& status_line, std::string const& field_lines, std::string const& body)
{
    return status_line + "\r\nShedhill-Request-Id: r1\r\nShedhill-Server-Signature: s\r\n" + field_lines
        + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
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
