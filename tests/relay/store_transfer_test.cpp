// SPDX-License-Identifier: BSD-2-Clause
// Tests how long a call to the store may last: as long as its answer arrives, but not in silence.
#include "libraries/relay/store_session.h"

#include "libraries/relay/buffer_limits.h"
#include "tests/relay/scripted_server.h"

#include <cppunit/extensions/HelperMacros.h>

namespace shedhill::relay {

class store_transfer_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(store_transfer_test);
    CPPUNIT_TEST(an_answer_that_arrives_slowly_is_not_given_up);
    CPPUNIT_TEST(an_answer_that_stops_arriving_is_given_up);
    CPPUNIT_TEST(an_answer_that_trickles_is_given_up);
    CPPUNIT_TEST(an_answer_without_end_is_given_up);
    CPPUNIT_TEST(a_long_poll_whose_answer_stops_is_given_up_soon);
    CPPUNIT_TEST_SUITE_END();

    static constexpr milliseconds limit { 900 };
    // A fifth of the limit passes between two pieces of the answer.
    static constexpr milliseconds pause { 180 };

    static inline boot_clock::time_point s_time {};
    static boot_clock::time_point test_time() { return s_time; }

    // A call to a server that sends its answer piece by piece while the clock of the loop is advanced by hand.
    struct slow_call {
        event_loop loop { test_time };
        scripted_server server { loop };
        std::optional<unsigned> status;
        std::size_t body_size { 0 };
        buffered_call call { loop, server.address(), [this](unsigned answered, std::string const& body) {
                                status = answered;
                                body_size = body.size();
                            } };

        void run_some()
        {
            constexpr int rounds = 20;
            for (int round = 0; round < rounds; ++round)
                loop.run_once(milliseconds(1));
        }

        void start(std::size_t length, milliseconds call_limit = limit)
        {
            server.add("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(length) + "\r\n\r\n");
            call.start("GET / HTTP/1.1\r\nHost: store\r\n\r\n", call_limit);
            run_some();
        }

        void advance(milliseconds time)
        {
            s_time += time;
            run_some();
            call.check_timeouts(loop.now());
        }

        void send(std::size_t bytes)
        {
            server.send(std::string(bytes, 'x'));
            run_some();
        }
    };

    void an_answer_that_arrives_slowly_is_not_given_up()
    {
        constexpr std::size_t pieces = 20;
        constexpr std::size_t piece_size = 60'000;
        slow_call tested;
        tested.start(pieces * piece_size);
        for (std::size_t piece = 0; piece < pieces; ++piece) {
            tested.advance(pause);
            tested.send(piece_size);
        }
        CPPUNIT_ASSERT(tested.status == 200U);
        CPPUNIT_ASSERT_EQUAL(pieces * piece_size, tested.body_size);
    }

    void an_answer_that_stops_arriving_is_given_up()
    {
        slow_call tested;
        tested.start(1'000'000);
        tested.advance(pause);
        tested.send(200'000);
        tested.advance(limit);
        CPPUNIT_ASSERT(tested.status == 0U);
    }

    void an_answer_that_trickles_is_given_up()
    {
        slow_call tested;
        tested.start(1'000'000);
        constexpr int pieces = 10;
        for (int piece = 0; piece < pieces && !tested.status; ++piece) {
            tested.advance(pause);
            if (!tested.status)
                tested.send(10);
        }
        CPPUNIT_ASSERT(tested.status == 0U);
    }

    // Guards against a process whose memory grows for as long as the store sends.
    void an_answer_without_end_is_given_up()
    {
        constexpr std::size_t piece_size = 1'000'000;
        slow_call tested;
        tested.start(1000 * piece_size);
        std::size_t sent = 0;
        while (!tested.status && sent < 1000 * piece_size) {
            tested.send(piece_size);
            sent += piece_size;
            CPPUNIT_ASSERT(tested.call.received_bytes() <= max_store_answer_bytes);
        }
        CPPUNIT_ASSERT(tested.status == 0U);
        CPPUNIT_ASSERT(!tested.call.is_calling());
    }

    void a_long_poll_whose_answer_stops_is_given_up_soon()
    {
        slow_call tested;
        tested.start(1'000'000, milliseconds(8900));
        tested.advance(milliseconds(5000));
        tested.send(200'000);
        CPPUNIT_ASSERT(!tested.status);
        tested.advance(limit);
        CPPUNIT_ASSERT(tested.status == 0U);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(store_transfer_test);

} // namespace shedhill::relay
