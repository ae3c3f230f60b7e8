// SPDX-License-Identifier: BSD-2-Clause
// Tests which heads leave the length of a message in doubt.
#include "libraries/framing/message_head.h"

#include <cppunit/extensions/HelperMacros.h>

namespace shedhill::framing {

class message_head_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(message_head_test);
    CPPUNIT_TEST(heads_with_one_length_are_accepted);
    CPPUNIT_TEST(a_doubtful_coding_is_refused);
    CPPUNIT_TEST(a_doubtful_length_is_refused);
    CPPUNIT_TEST(a_malformed_line_is_refused);
    CPPUNIT_TEST(a_status_out_of_range_is_refused);
    CPPUNIT_TEST(an_interim_answer_without_a_body_is_accepted);
    CPPUNIT_TEST(an_error_names_the_field_and_the_value);
    CPPUNIT_TEST(a_head_ends_with_an_empty_line);
    CPPUNIT_TEST_SUITE_END();

    static bool is_accepted(std::string const& lines, std::string const& start = "POST / HTTP/1.1")
    {
        return !check_head(start + "\r\n" + lines + "\r\n");
    }

    void heads_with_one_length_are_accepted()
    {
        CPPUNIT_ASSERT(is_accepted(""));
        CPPUNIT_ASSERT(is_accepted("Content-Length: 0\r\n"));
        CPPUNIT_ASSERT(is_accepted("content-length:\t12 \r\nHost: x\r\n"));
        CPPUNIT_ASSERT(is_accepted("Transfer-Encoding: chunked\r\n"));
        CPPUNIT_ASSERT(is_accepted("TRANSFER-ENCODING:  ChunkeD\t\r\n"));
        CPPUNIT_ASSERT(is_accepted("Content-Length: 5\r\n", "HTTP/1.0 200 OK"));
    }

    void a_doubtful_coding_is_refused()
    {
        for (auto const* const lines : { "Transfer-Encoding: gzip\r\n", "Transfer-Encoding: identity\r\n",
                 "Transfer-Encoding:\r\n", "Transfer-Encoding: chunked, gzip\r\n",
                 "Transfer-Encoding: gzip, chunked\r\n", "Transfer-Encoding: chunked, chunked\r\n",
                 "Transfer-Encoding: chunked;q=1\r\n", "Transfer-Encoding: \"chunked\"\r\n",
                 "Transfer-Encoding: xchunked\r\n", "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
                 "Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked\r\n",
                 "Transfer-Encoding: chunked\r\nContent-Length: 4\r\n",
                 "Content-Length: 4\r\ntransfer-encoding: chunked\r\n" })
            CPPUNIT_ASSERT_MESSAGE(lines, !is_accepted(lines));
        CPPUNIT_ASSERT(!is_accepted("Transfer-Encoding: chunked\r\n", "POST / HTTP/1.0"));
        CPPUNIT_ASSERT(!is_accepted("Transfer-Encoding: chunked\r\n", "HTTP/1.0 200 OK"));
    }

    void a_doubtful_length_is_refused()
    {
        for (auto const* const lines : { "Content-Length:\r\n", "Content-Length: +4\r\n", "Content-Length: -4\r\n",
                 "Content-Length: 0x4\r\n", "Content-Length: 4 4\r\n", "Content-Length: 4, 4\r\n",
                 "Content-Length: 4\r\nContent-Length: 4\r\n", "Content-Length: 4\r\ncontent-length: 5\r\n",
                 "Content-Length: 18446744073709551616\r\n", "Content-Length: 4;\r\n" })
            CPPUNIT_ASSERT_MESSAGE(lines, !is_accepted(lines));
    }

    void a_malformed_line_is_refused()
    {
        for (auto const* const lines :
            { "Content-Length : 4\r\n", "Content-Length\t: 4\r\n", "Host: x\r\n folded\r\n", "Host: x\r\n\tfolded\r\n",
                " Content-Length: 4\r\n", "Host: x\nContent-Length: 4\r\n", "Host: x\rContent-Length: 4\r\n" })
            CPPUNIT_ASSERT_MESSAGE(lines, !is_accepted(lines));
        CPPUNIT_ASSERT(!is_accepted("", "GET / HTTP/1.1\nContent-Length: 4"));
    }

    static bool is_answer_accepted(std::string const& status_line)
    {
        return !check_answer_head(status_line + "\r\nContent-Length: 0\r\n\r\n");
    }

    void a_status_out_of_range_is_refused()
    {
        for (auto const* const status_line :
            { "HTTP/1.1 200 OK", "HTTP/1.1 200 ", "HTTP/1.0 404 Not Found", "HTTP/1.1 599 " })
            CPPUNIT_ASSERT_MESSAGE(status_line, is_answer_accepted(status_line));
        for (auto const* const status_line :
            { "HTTP/1.1 000 OK", "HTTP/1.1 099 OK", "HTTP/1.1 600 OK", "HTTP/1.1 999 OK", "HTTP/1.1 2000 OK",
                "HTTP/1.1 99999999999999999999 OK", "HTTP/1.1 20 OK", "HTTP/1.1 -200 OK", "HTTP/1.1 OK", "HTTP/1.1" })
            CPPUNIT_ASSERT_MESSAGE(status_line, !is_answer_accepted(status_line));
        CPPUNIT_ASSERT(check_answer_head("HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\n").has_value());
    }

    void an_interim_answer_without_a_body_is_accepted()
    {
        CPPUNIT_ASSERT(!check_answer_head("HTTP/1.1 100 Continue\r\n\r\n"));
        CPPUNIT_ASSERT(!check_answer_head("HTTP/1.1 103 Early Hints\r\nLink: </style.css>\r\n\r\n"));
        CPPUNIT_ASSERT(check_answer_head("HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n").has_value());
        CPPUNIT_ASSERT(check_answer_head("HTTP/1.1 100 Continue\r\nContent-Length: 0\r\n\r\n").has_value());
        CPPUNIT_ASSERT(check_answer_head("HTTP/1.1 100 Continue\r\nTransfer-Encoding: chunked\r\n\r\n").has_value());
    }

    void an_error_names_the_field_and_the_value()
    {
        auto const coding = check_head("POST / HTTP/1.1\r\nTransfer-Encoding: gzip\r\n\r\n");
        CPPUNIT_ASSERT_EQUAL(std::string("the field Transfer-Encoding \"gzip\" is not \"chunked\""), to_text(*coding));
        auto const length = check_head("POST / HTTP/1.1\r\nContent-Length: 4, 4\r\n\r\n");
        CPPUNIT_ASSERT_EQUAL(
            std::string("the field Content-Length \"4, 4\" is not a length in bytes"), to_text(*length));
        auto const folded = check_head("POST / HTTP/1.1\r\nHost: x\r\n y\r\n\r\n");
        CPPUNIT_ASSERT_EQUAL(std::string("the line \" y\" is a folded line"), to_text(*folded));
        auto const status = check_answer_head("HTTP/1.1 000 OK\r\n\r\n");
        CPPUNIT_ASSERT_EQUAL(
            std::string("the line \"HTTP/1.1 000 OK\" has no status from 100 to 599"), to_text(*status));
    }

    void a_head_ends_with_an_empty_line()
    {
        CPPUNIT_ASSERT(!head_size("GET / HTTP/1.1\r\nHost: x\r\n"));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 18 }, *head_size("GET / HTTP/1.1\r\n\r\nbody"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(message_head_test);

} // namespace shedhill::framing
