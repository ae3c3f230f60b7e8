// SPDX-License-Identifier: BSD-2-Clause
// Peers that do not read: what is held for them is counted, and bounded in all.
#include "libraries/relay/slow_readers.h"

#include "libraries/relay/held_bytes.h"
#include "libraries/relay/socket.h"

#include <cppunit/extensions/HelperMacros.h>
#include <sys/socket.h>
#include <unistd.h>

namespace shedhill::relay {

class slow_readers_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(slow_readers_test);
    CPPUNIT_TEST(what_a_peer_does_not_read_is_counted);
    CPPUNIT_TEST(what_is_gone_is_held_no_more);
    CPPUNIT_TEST(without_a_limit_nothing_is_too_much);
    CPPUNIT_TEST(the_slowest_end_first_and_no_more_than_needed);
    CPPUNIT_TEST(who_has_little_unread_is_never_ended);
    CPPUNIT_TEST_SUITE_END();

    static constexpr std::size_t megabyte = 1U << 20U;

    class silent_handler final : public io_handler {
        void on_ready(readiness) override { }
    };

    void what_a_peer_does_not_read_is_counted()
    {
        constexpr std::size_t much = 16 * megabyte;
        event_loop loop;
        silent_handler handler;
        std::array<int, 2> ends {};
        CPPUNIT_ASSERT_EQUAL(0, socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, ends.data()));
        {
            socket sending(loop, handler);
            sending.adopt(ends[0]);
            sending.queue(std::string(much, 'x'));
            CPPUNIT_ASSERT(sending.flush());
            CPPUNIT_ASSERT(loop.held().held() > much / 2);
            CPPUNIT_ASSERT_EQUAL(sending.unwritten_size(), loop.held().held());
            sending.close();
            CPPUNIT_ASSERT_EQUAL(std::size_t { 0 }, loop.held().held());
        }
        ::close(ends[1]);
    }

    void what_is_gone_is_held_no_more()
    {
        held_meter meter;
        meter.set_limit(megabyte);
        {
            held_bytes first(meter);
            held_bytes second(meter);
            first.set(megabyte);
            CPPUNIT_ASSERT(!meter.is_over());
            second.set(1);
            CPPUNIT_ASSERT(meter.is_over());
            first.set(megabyte / 2);
            CPPUNIT_ASSERT_EQUAL(megabyte / 2 + 1, meter.held());
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t { 0 }, meter.held());
    }

    void without_a_limit_nothing_is_too_much()
    {
        held_meter meter;
        held_bytes held(meter);
        held.set(100 * megabyte);
        CPPUNIT_ASSERT(!meter.is_over());
    }

    void the_slowest_end_first_and_no_more_than_needed()
    {
        std::vector<waiting_reader> const readers { { 1, megabyte }, { 2, 3 * megabyte }, { 3, 2 * megabyte } };
        CPPUNIT_ASSERT(readers_to_end(readers, 6 * megabyte, 6 * megabyte).empty());
        CPPUNIT_ASSERT((readers_to_end(readers, 6 * megabyte, 4 * megabyte) == std::vector<std::uint64_t> { 2 }));
        CPPUNIT_ASSERT((readers_to_end(readers, 6 * megabyte, 2 * megabyte) == std::vector<std::uint64_t> { 2, 3 }));
    }

    void who_has_little_unread_is_never_ended()
    {
        std::vector<waiting_reader> const readers { { 1, 1000 }, { 2, megabyte } };
        CPPUNIT_ASSERT((readers_to_end(readers, 9 * megabyte, megabyte) == std::vector<std::uint64_t> { 2 }));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(slow_readers_test);

} // namespace shedhill::relay
