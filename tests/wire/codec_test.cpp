// SPDX-License-Identifier: BSD-2-Clause
// Tests that every message is unchanged after encoding and decoding, and that corrupted frames are refused.
#include "libraries/wire/codec.h"

#include "tests/support/property.h"

namespace shedhill::wire {

namespace {

offer_entry make_entry() { return { account_id(7), -3, service_units(250), 9, milliseconds(40), 2, 1 }; }

std::vector<message> one_message_of_each_type()
{
    run sent;
    sent.grant = grant_number(1);
    sent.request = request_number(2);
    sent.attempt = attempt_number(3);
    sent.method = "POST";
    sent.target = "/orders";
    sent.headers = { { "content-type", "text/plain" } };
    sent.body = std::string("two\0clutches", 12);
    sent.is_repeatable = false;
    sent.is_model_call = false;
    sent.time_left = milliseconds(500);
    sent.revision = revision(8);
    sent.account = account_id(4);
    sent.expected_cost = service_units(5);
    sent.refresh = { make_entry(), make_entry() };
    vm_record const vm { vm_name("v"), process_role::endpoint, vm_state::leaving, "127.0.0.1:1", failure_domain("d"),
        endpoint_name("p/e") };
    return { hello { vm_name("v"), process_role::endpoint, process_epoch(4), "nonce", revision(5) }, proof { "mac" },
        offer { revision(1), { make_entry(), make_entry() } }, offer_refused { reason::stale_revision, revision(3) },
        endpoint_state { 6, 2, true, revision(9) }, grant { grant_number(1), account_id(2) },
        no_work { grant_number(3) }, sent,
        refused { request_number(1), attempt_number(2), reason::unknown_grant, revision(3) },
        cancel { request_number(1), attempt_number(2) },
        chunk { request_number(1), attempt_number(2), chunk_sequence(3), 200, "text/plain", "data", service_units(4) },
        finished { request_number(1), attempt_number(2), chunk_sequence(3), run_outcome::ran, reason::none,
            service_units(5), 6 },
        service_report { process_epoch(1), 2, { { account_id(3), service_units(4) } },
            { { account_id(5), service_units(6) } }, { { account_id(7), service_units(-8) } } },
        service_reading { process_epoch(1), { { account_id(2), service_units(3) } } }, snapshot_request { revision(4) },
        snapshot_reply { "{}", { vm } } };
}

} // namespace

class codec_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(codec_test);
    CPPUNIT_TEST(every_message_round_trips);
    CPPUNIT_TEST(lengths_out_of_range_are_refused);
    CPPUNIT_TEST(truncated_frames_are_refused);
    CPPUNIT_TEST(corrupted_frames_do_not_crash_the_decoder);
    CPPUNIT_TEST_SUITE_END();

    void every_message_round_trips()
    {
        auto const messages = one_message_of_each_type();
        CPPUNIT_ASSERT_EQUAL(std::variant_size_v<message>, messages.size());
        for (std::size_t index = 0; index < messages.size(); ++index) {
            CPPUNIT_ASSERT_EQUAL(index, messages[index].index());
            auto const frame = encode(messages[index]);
            CPPUNIT_ASSERT_EQUAL(frame.size() - length_prefix_size, decode_length(frame).value());
            auto const decoded = decode(frame.substr(length_prefix_size));
            CPPUNIT_ASSERT_MESSAGE(std::string(name_of(messages[index])), decoded && *decoded == messages[index]);
        }
    }

    void lengths_out_of_range_are_refused()
    {
        CPPUNIT_ASSERT(!decode_length(std::string(4, '\0')));
        CPPUNIT_ASSERT(!decode_length("\xFF\xFF\xFF\x7F"));
        CPPUNIT_ASSERT(decode_length(std::string("\x10\0\0\0", 4)));
    }

    void truncated_frames_are_refused()
    {
        for (auto const& sent : one_message_of_each_type()) {
            auto const frame = encode(sent).substr(length_prefix_size);
            for (std::size_t size = 0; size < frame.size() / 2; ++size)
                CPPUNIT_ASSERT(!decode(frame.substr(0, size)));
        }
    }

    void corrupted_frames_do_not_crash_the_decoder()
    {
        testing::check_property("a damaged frame is refused or decoded", [] {
            auto const messages = one_message_of_each_type();
            auto const index = *rc::gen::inRange<std::size_t>(0, messages.size());
            auto frame = encode(messages[index]).substr(length_prefix_size);
            auto const corrupted_bytes = *rc::gen::inRange(1, 8);
            for (int corrupted = 0; corrupted < corrupted_bytes; ++corrupted)
                frame[*rc::gen::inRange<std::size_t>(0, frame.size())] = *rc::gen::arbitrary<char>();
            auto const decoded = decode(frame);
            // A message that was decoded can be encoded again.
            if (decoded)
                RC_ASSERT(!encode(*decoded).empty());
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(codec_test);

} // namespace shedhill::wire
