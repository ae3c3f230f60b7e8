// SPDX-License-Identifier: BSD-2-Clause
// Tests the connections between routers on the loopback interface.
#include "libraries/relay/peer_mesh.h"

#include <cppunit/extensions/HelperMacros.h>

namespace shedhill::relay {

class peer_mesh_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(peer_mesh_test);
    CPPUNIT_TEST(a_message_of_unknown_kind_is_skipped);
    CPPUNIT_TEST(sums_go_to_other_failure_domains_only);
    CPPUNIT_TEST(messages_are_counted_by_kind_at_both_ends);
    CPPUNIT_TEST(a_large_document_is_known_to_arrive_until_it_is_whole);
    CPPUNIT_TEST(an_empty_buffer_frees_its_memory);
    CPPUNIT_TEST_SUITE_END();

    static constexpr int max_rounds = 1000;

    struct router {
        router(event_loop& loop, char const* domain)
            : mesh(loop, peering::peer_directory({ "127.0.0.1:0", failure_domain(domain), 0 }),
                [this](peering::peer_message message) { received_messages.push_back(std::move(message)); })
        {
            CPPUNIT_ASSERT(mesh.open().has_value());
        }

        [[nodiscard]] std::string const& address() const { return mesh.own_address(); }

        std::vector<peering::peer_message> received_messages;
        peer_mesh mesh;
    };

    template <typename Condition>
    static void run_until(event_loop& loop, Condition&& condition)
    {
        for (int round = 0; round < max_rounds; ++round) {
            if (condition())
                return;
            loop.run_once(milliseconds(10));
        }
        CPPUNIT_FAIL("the condition was not met in time");
    }

    static void connect(event_loop& loop, router& from, router const& to)
    {
        from.mesh.directory().add_seed(to.address());
        from.mesh.tick(0);
        run_until(loop, [&] { return !from.mesh.take_newly_connected().empty(); });
    }

    static std::string state_frame(char const* vm)
    {
        peering::state_message state;
        state.report.peer = vm_name(vm);
        return peering::encode_frame(state);
    }

    // A router of a later version may send messages that this version cannot decode.
    void a_message_of_unknown_kind_is_skipped()
    {
        event_loop loop;
        router a(loop, "north");
        router b(loop, "north");
        connect(loop, a, b);
        a.mesh.send_to(b.address(), std::string("\x03\x00\x00\x00", 4) + "???", traffic_kind::documents);
        a.mesh.send_to(b.address(), state_frame("a"), traffic_kind::documents);
        run_until(loop, [&] { return !b.received_messages.empty(); });
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 1 }, b.mesh.take_skipped());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 0 }, b.mesh.take_skipped());
    }

    void a_large_document_is_known_to_arrive_until_it_is_whole()
    {
        event_loop loop;
        router a(loop, "north");
        router b(loop, "north");
        connect(loop, a, b);
        peering::document_message document;
        document.rows.rows["key"] = { std::string(200'000, 'x'), 1 };
        auto const frame = peering::encode_frame(document);
        auto const half = frame.size() / 2;
        a.mesh.send_to(b.address(), frame.substr(0, half), traffic_kind::documents);
        run_until(loop, [&] { return b.mesh.is_receiving_document(loop.now()); });
        CPPUNIT_ASSERT(!b.mesh.is_receiving_document(loop.now() + milliseconds(1000)));
        a.mesh.send_to(b.address(), frame.substr(half), traffic_kind::documents);
        run_until(loop, [&] { return !b.received_messages.empty(); });
        CPPUNIT_ASSERT(!b.mesh.is_receiving_document(loop.now()));
    }

    // Guards against buffers that keep the memory of a large message, such as the 373 kB sent to a router that has just
    // started, for as long as the connection is open.
    void an_empty_buffer_frees_its_memory()
    {
        std::string large(400'000, 'x');
        clear_buffer(large);
        CPPUNIT_ASSERT(large.empty() && large.capacity() <= max_idle_capacity);
        std::string small("few");
        auto const before = small.capacity();
        clear_buffer(small);
        CPPUNIT_ASSERT_EQUAL(before, small.capacity());
    }

    void sums_go_to_other_failure_domains_only()
    {
        event_loop loop;
        router a(loop, "north");
        router b(loop, "north");
        router c(loop, "south");
        // Makes the fleet too large for a full mesh.
        for (int index = 0; index < 20; ++index)
            a.mesh.directory().add_reported(
                { "127.0.0.1:" + std::to_string(index + 1), failure_domain("east"), 0 }, loop.now());
        connect(loop, a, b);
        connect(loop, a, c);
        a.mesh.directory().add_reported({ b.address(), failure_domain("north"), 0 }, loop.now());
        a.mesh.directory().add_reported({ c.address(), failure_domain("south"), 0 }, loop.now());
        CPPUNIT_ASSERT(a.mesh.is_connected_to_domains());
        a.mesh.send_to_routers(state_frame("alone"), traffic_kind::own_state);
        a.mesh.send_to_domains(state_frame("sums"));
        run_until(loop, [&] { return !b.received_messages.empty() && !c.received_messages.empty(); });
        auto const name = [](router const& to) {
            return std::get<peering::state_message>(to.received_messages.at(0)).report.peer.value();
        };
        CPPUNIT_ASSERT_EQUAL(std::string("alone"), name(b));
        CPPUNIT_ASSERT_EQUAL(std::string("sums"), name(c));
    }

    void messages_are_counted_by_kind_at_both_ends()
    {
        event_loop loop;
        router a(loop, "north");
        router b(loop, "north");
        connect(loop, a, b);
        a.mesh.directory().add_reported({ b.address(), failure_domain("north"), 0 }, loop.now());
        auto const frame = state_frame("a");
        a.mesh.send_to_routers(frame, traffic_kind::own_state);
        peering::state_message sums;
        sums.report.subject = dispatch::report_subject::domain;
        sums.is_forwarded = true;
        a.mesh.send_to_routers(peering::encode_frame(sums), traffic_kind::passed_on);
        a.mesh.send_to(
            b.address(), peering::encode_frame(peering::link_request { a.address() }), traffic_kind::documents);
        run_until(loop, [&] { return b.received_messages.size() == 3; });
        auto const at = [](std::array<traffic_count, peer_traffic::kinds> const& counts, traffic_kind kind) {
            return counts.at(static_cast<std::size_t>(kind));
        };
        auto const& sent = a.mesh.traffic().sent;
        auto const& received = b.mesh.traffic().received;
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { frame.size() }, at(sent, traffic_kind::own_state).bytes);
        for (auto const kind : { traffic_kind::own_state, traffic_kind::passed_on, traffic_kind::documents }) {
            CPPUNIT_ASSERT_EQUAL(std::uint64_t { 1 }, at(sent, kind).messages);
            CPPUNIT_ASSERT_EQUAL(std::uint64_t { 1 }, at(received, kind).messages);
            CPPUNIT_ASSERT_EQUAL(at(sent, kind).bytes, at(received, kind).bytes);
        }
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 0 }, at(received, traffic_kind::domain_sums).messages);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(peer_mesh_test);

} // namespace shedhill::relay
