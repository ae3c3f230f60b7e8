// SPDX-License-Identifier: BSD-2-Clause
// Tests that messages between routers are decoded as they were encoded, and when an unreachable router is retried.
#include "libraries/peering/peer_message.h"

#include "base/aligned_bytes.h"
#include "base/hash.h"
#include "libraries/peering/peer_directory.h"

#include <cppunit/extensions/HelperMacros.h>

namespace shedhill::peering {

class peer_message_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(peer_message_test);
    CPPUNIT_TEST(peer_messages_round_trip);
    CPPUNIT_TEST(records_of_streams_round_trip);
    CPPUNIT_TEST(a_message_is_decoded_wherever_it_begins);
    CPPUNIT_TEST(peers_are_retried_with_back_off_and_removed);
    CPPUNIT_TEST_SUITE_END();

    // Guards against undefined behaviour, which a sanitizer reports: a message begins anywhere in a connection's
    // buffer.
    void a_message_is_decoded_wherever_it_begins()
    {
        state_message state;
        state.report.peer = vm_name("edge-1");
        state.report.versions = { { pool_key(1), software_key(2), milliseconds(3), milliseconds(4) } };
        auto const body = encode_frame(state).substr(frame_header_size);
        for (std::size_t offset = 0; offset < sizeof(std::uint64_t); ++offset) {
            auto const received = std::string(offset, ' ') + body;
            auto const bytes = std::string_view(received).substr(offset);
            CPPUNIT_ASSERT_EQUAL(std::uintptr_t { 0 },
                reinterpret_cast<std::uintptr_t>(aligned_bytes(bytes).data()) % alignof(std::uint64_t));
            auto const decoded = decode_body(bytes);
            CPPUNIT_ASSERT(decoded.has_value());
            CPPUNIT_ASSERT(std::get<state_message>(*decoded).report.versions.at(0).software == software_key(2));
        }
    }

    void records_of_streams_round_trip()
    {
        state_message state;
        // A report of a pool with one version has neither field, as have those of routers of earlier versions.
        auto const plain = encode_frame(state);
        auto const read_plain = decode_body(std::string_view(plain).substr(frame_header_size));
        CPPUNIT_ASSERT(std::get<state_message>(*read_plain).report.streams.empty());
        CPPUNIT_ASSERT(std::get<state_message>(*read_plain).report.versions.empty());
        auto const stream = key_of_stream(key_of(team_name("red")), "9c41");
        auto const software = key_of_software(pool_name("model"), "v1");
        state.report.streams = { { stream, software, milliseconds(30000) } };
        state.report.versions = { { key_of(pool_name("model")), software, milliseconds(12), milliseconds(2500) } };
        state.report.versions_observed = milliseconds(40000);
        auto const frame = encode_frame(state);
        CPPUNIT_ASSERT(plain.size() < frame.size());
        auto const read = decode_body(std::string_view(frame).substr(frame_header_size));
        auto const& report = std::get<state_message>(*read).report;
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, report.streams.size());
        CPPUNIT_ASSERT(report.streams.front().stream == stream && report.streams.front().software == software);
        CPPUNIT_ASSERT(report.streams.front().left == milliseconds(30000));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, report.versions.size());
        CPPUNIT_ASSERT(report.versions.front().pool == key_of(pool_name("model")));
        CPPUNIT_ASSERT(report.versions.front().listed_ago == milliseconds(12));
        CPPUNIT_ASSERT(report.versions.front().settled_in == milliseconds(2500));
        CPPUNIT_ASSERT(report.versions_observed == milliseconds(40000));
    }

    void peer_messages_round_trip()
    {
        state_message state;
        state.report.peer = vm_name("a");
        state.report.scope = dispatch::report_scope::changes;
        state.report.loads = { { key_of(endpoint_name("e")), { 3, 4000, 5000 }, { 6400, 70 } } };
        state.report.teams = { { key_of(team_name("red")), 700, 500 } };
        state.report.parts = { { key_of(endpoint_name("e")), 77 } };
        state.address = "10.0.0.1:1";
        state.documents = { { document_kind::endpoints, 9, milliseconds(30), std::nullopt, 4711 } };
        state.members = { { "10.0.0.2:1", failure_domain("south"), 90 } };
        state.number = 12;
        state.is_forwarded = true;
        state.weight = 500;
        state.report.domain = failure_domain("north");
        state.report.subject = dispatch::report_subject::domain;
        state.report.routers = 20;
        state.report.overloaded_routers = 2;
        state.report.crashes = { { { key_of(team_name("red")), content_hash(5) }, { 7, 2 }, milliseconds(90000),
            milliseconds(300), true, milliseconds(450) } };
        auto const frame = encode_frame(state);
        CPPUNIT_ASSERT_EQUAL(frame.size(), *frame_size(frame));
        CPPUNIT_ASSERT(!frame_size(frame.substr(0, 3)));
        auto const read = decode_body(std::string_view(frame).substr(frame_header_size));
        auto const& decoded = std::get<state_message>(*read);
        CPPUNIT_ASSERT_EQUAL(text_of(state), text_of(decoded));
        document_message document { document_kind::endpoints,
            { 5, { { "k", { "v", 3 } } }, { { "old", 6 } }, 77, 9, 7 } };
        auto const document_frame = encode_frame(document);
        auto const decoded_document = decode_body(std::string_view(document_frame).substr(frame_header_size));
        auto const& table = std::get<document_message>(*decoded_document);
        CPPUNIT_ASSERT_EQUAL(std::string("v"), table.rows.rows.at("k").value);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 7 }, table.rows.changed_version);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 9 }, table.rows.version);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 5 }, table.rows.since.value());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 77 }, table.rows.keys_hash);
        CPPUNIT_ASSERT_EQUAL(std::string("old"), table.rows.removed.at(0).key);
        auto const request_frame = encode_frame(document_request { document_kind::endpoints, 3, "10.0.0.1:1", 8 });
        auto const decoded_request = decode_body(std::string_view(request_frame).substr(frame_header_size));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 8 }, std::get<document_request>(*decoded_request).since);
    }

    static std::string load_text_of(dispatch::endpoint_load const& load)
    {
        return std::to_string(load.work.running) + " " + std::to_string(load.work.pending_prefill) + " "
            + std::to_string(load.work.kv_tokens) + " " + std::to_string(load.prefill.tokens) + " "
            + std::to_string(load.prefill.time_ms) + " ";
    }

    static std::string text_of(state_message const& state)
    {
        auto const* const scope = state.report.scope == dispatch::report_scope::whole ? " whole " : " changes ";
        return state.report.peer.value() + scope + load_text_of(state.report.loads.at(0))
            + std::to_string(state.report.teams.at(0).admitted) + std::to_string(state.report.parts.at(0).part)
            + state.address + std::to_string(state.documents.at(0).version) + "/"
            + std::to_string(state.documents.at(0).digest.value_or(0)) + " " + to_text(state.members.at(0))
            + std::to_string(state.number) + (state.is_forwarded ? " forwarded " : " ") + to_text(state.sender())
            + state.report.source().value() + std::to_string(state.report.routers)
            + std::to_string(state.report.overloaded_routers) + crash_text_of(state.report.crashes.at(0));
    }

    static std::string crash_text_of(dispatch::crash_record const& record)
    {
        return " " + std::to_string(record.request.team.value()) + " " + std::to_string(record.request.content.value())
            + " " + std::to_string(record.stamp.epoch) + " " + std::to_string(record.stamp.crashes) + " "
            + std::to_string(record.left.count()) + " " + std::to_string(record.trial_left.count()) + " "
            + std::to_string(record.since_crash.count()) + (record.was_answered ? " answered" : "");
    }

    void peers_are_retried_with_back_off_and_removed()
    {
        auto const at = [](std::int64_t time) { return instant(milliseconds(time)); };
        peer_directory directory({ "own:1", {}, 0 });
        directory.add_seed("own:1");
        directory.apply_table({ { "a", { "a:1", {}, 0 } }, { "me", { "own:1", {}, 0 } } });
        CPPUNIT_ASSERT(directory.take_due(at(1000)) == std::vector<std::string> { "a:1" });
        CPPUNIT_ASSERT(directory.take_due(at(1000)).empty());
        directory.record_disconnected("a:1", at(1000), 0);
        CPPUNIT_ASSERT(directory.take_due(at(1001)).empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, directory.take_due(at(3000)).size());
        directory.record_disconnected("a:1", at(3000), 0);
        CPPUNIT_ASSERT(directory.stale_rows(at(10000)).empty());
        CPPUNIT_ASSERT(directory.stale_rows(at(17000)) == std::vector<std::string> { "a" });
        directory.apply_table({});
        CPPUNIT_ASSERT(directory.take_due(at(30000)).empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, directory.size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(peer_message_test);

} // namespace shedhill::peering
