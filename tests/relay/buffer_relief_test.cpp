// SPDX-License-Identifier: BSD-2-Clause
// Tests that the bytes buffered for peers are counted, and whose bytes are released at the limit.
#include "libraries/relay/buffer_relief.h"

#include "libraries/relay/buffered_bytes.h"
#include "libraries/relay/socket.h"

#include <cppunit/extensions/HelperMacros.h>
#include <sys/socket.h>
#include <unistd.h>

namespace shedhill::relay {

class buffer_relief_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(buffer_relief_test);
    CPPUNIT_TEST(unread_bytes_of_a_peer_are_counted);
    CPPUNIT_TEST(destroyed_owners_release_their_bytes);
    CPPUNIT_TEST(without_a_limit_nothing_exceeds_it);
    CPPUNIT_TEST(the_largest_are_released_first_and_no_more_than_needed);
    CPPUNIT_TEST(holders_of_few_bytes_are_never_released);
    CPPUNIT_TEST_SUITE_END();

    static constexpr std::size_t megabyte = 1U << 20U;

    class silent_handler final : public io_handler {
        void on_ready(readiness) override { }
    };

    void unread_bytes_of_a_peer_are_counted()
    {
        constexpr std::size_t total_size = 16 * megabyte;
        event_loop loop;
        silent_handler handler;
        std::array<int, 2> ends {};
        CPPUNIT_ASSERT_EQUAL(0, socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, ends.data()));
        {
            socket sending(loop, handler);
            sending.adopt(ends[0]);
            sending.queue(std::string(total_size, 'x'));
            CPPUNIT_ASSERT(sending.flush());
            CPPUNIT_ASSERT(loop.buffered().bytes() > total_size / 2);
            CPPUNIT_ASSERT_EQUAL(sending.unwritten_size(), loop.buffered().bytes());
            sending.close();
            CPPUNIT_ASSERT_EQUAL(std::size_t { 0 }, loop.buffered().bytes());
        }
        ::close(ends[1]);
    }

    void destroyed_owners_release_their_bytes()
    {
        buffer_meter meter;
        meter.set_limit(megabyte);
        {
            buffered_bytes first(meter, buffer_place::exchanges);
            buffered_bytes second(meter, buffer_place::incoming);
            first.set(megabyte);
            CPPUNIT_ASSERT(!meter.is_over_limit());
            second.set(1);
            CPPUNIT_ASSERT(meter.is_over_limit());
            first.set(megabyte / 2);
            CPPUNIT_ASSERT_EQUAL(megabyte / 2 + 1, meter.bytes());
            CPPUNIT_ASSERT_EQUAL(megabyte / 2, meter.bytes_at(buffer_place::exchanges));
            first.set(megabyte / 4);
            CPPUNIT_ASSERT(!meter.has_room_for_request(megabyte / 4));
            CPPUNIT_ASSERT(meter.has_room_for_request(megabyte / 4 - 1));
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t { 0 }, meter.bytes());
    }

    void without_a_limit_nothing_exceeds_it()
    {
        buffer_meter meter;
        buffered_bytes buffered(meter, buffer_place::exchanges);
        buffered.set(100 * megabyte);
        CPPUNIT_ASSERT(!meter.is_over_limit());
        CPPUNIT_ASSERT(meter.has_room_for_request(megabyte));
    }

    static std::vector<std::uint64_t> released(std::vector<buffer_holder> const& holders, std::size_t limit)
    {
        std::vector<std::uint64_t> numbers;
        for (auto const& holder : holders_to_release(holders, 6 * megabyte, limit))
            numbers.push_back(holder.number);
        return numbers;
    }

    void the_largest_are_released_first_and_no_more_than_needed()
    {
        std::vector<buffer_holder> const holders { { 1, megabyte }, { 2, 3 * megabyte }, { 3, 2 * megabyte } };
        CPPUNIT_ASSERT(released(holders, 6 * megabyte).empty());
        CPPUNIT_ASSERT((released(holders, 4 * megabyte) == std::vector<std::uint64_t> { 2 }));
        CPPUNIT_ASSERT((released(holders, 2 * megabyte) == std::vector<std::uint64_t> { 2, 3 }));
    }

    void holders_of_few_bytes_are_never_released()
    {
        std::vector<buffer_holder> const holders { { 1, 1000 }, { 2, megabyte } };
        CPPUNIT_ASSERT((released(holders, megabyte) == std::vector<std::uint64_t> { 2 }));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(buffer_relief_test);

} // namespace shedhill::relay
