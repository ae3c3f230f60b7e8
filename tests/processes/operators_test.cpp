// SPDX-License-Identifier: BSD-2-Clause
// Tests the operators' tool, settings, invalid input and unauthenticated peers on real processes.
#include "tests/harness/caller.h"
#include "tests/harness/fleet.h"
#include "tests/harness/parallel.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <cppunit/extensions/HelperMacros.h>
#include <filesystem>
#include <fstream>

namespace shedhill::harness {

class operators_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(operators_test);
    CPPUNIT_TEST(declarations_are_checked_applied_and_shown);
    CPPUNIT_TEST(a_bad_declaration_is_refused_whole);
    CPPUNIT_TEST(partners_keep_to_their_own_objects);
    CPPUNIT_TEST(racing_operators_lose_no_change);
    CPPUNIT_TEST(an_apply_whose_answer_is_lost_is_read_back);
    CPPUNIT_TEST(a_revoked_policy_is_in_force_on_every_router);
    CPPUNIT_TEST(bad_settings_are_refused_by_name);
    CPPUNIT_TEST(bad_input_gets_a_clear_error_and_loses_nothing);
    CPPUNIT_TEST(an_unauthenticated_peer_on_the_frame_port_is_rejected);
    CPPUNIT_TEST_SUITE_END();

    struct tool_result {
        int code { -1 };
        std::string output;
    };

    static tool_result tool(fleet const& running, std::vector<std::string> arguments)
    {
        arguments.insert(arguments.begin(), "--platform=" + running.platform_address());
        tool_result ended;
        ended.code = child_process::run(program_path("shedhill"), arguments, ended.output).value();
        return ended;
    }

    static fleet start(std::size_t routers = 1)
    {
        auto shape = small_shape();
        shape.routers = routers;
        auto started = fleet::start(shape);
        CPPUNIT_ASSERT_MESSAGE(started ? "" : started.error().to_string(), started.has_value());
        return std::move(*started);
    }

    // A temporary file with declarations, which is removed when the object is destroyed.
    class declaration_file {
    public:
        explicit declaration_file(std::string const& text)
        {
            auto name = (std::filesystem::temp_directory_path() / "shedhill-XXXXXX").string();
            auto const descriptor = mkstemp(name.data());
            close(descriptor);
            m_path = name;
            std::ofstream(m_path) << text;
        }
        declaration_file(declaration_file const&) = delete;
        declaration_file& operator=(declaration_file const&) = delete;
        ~declaration_file() { std::filesystem::remove(m_path); }
        [[nodiscard]] std::string const& path() const { return m_path; }

    private:
        std::string m_path;
    };

    static std::string team(std::string const& partner, std::string const& name, int weight)
    {
        return R"({"kind": "team", "partner": ")" + partner + R"(", "name": ")" + name + R"(", "weight": )"
            + std::to_string(weight) + "}";
    }

    static bool contains(std::string const& text, std::string const& part)
    {
        return text.find(part) != std::string::npos;
    }

    void declarations_are_checked_applied_and_shown()
    {
        auto running = start();
        declaration_file const file(team("batinah", "mechanics", 2));
        CPPUNIT_ASSERT_EQUAL(0, tool(running, { "check", file.path() }).code);
        auto const diff = tool(running, { "diff", "--partner=batinah", file.path() });
        CPPUNIT_ASSERT_EQUAL(1, diff.code);
        CPPUNIT_ASSERT(contains(diff.output, "+ team:batinah/mechanics"));
        CPPUNIT_ASSERT_EQUAL(0, tool(running, { "apply", "--partner=batinah", file.path() }).code);
        CPPUNIT_ASSERT_EQUAL(0, tool(running, { "diff", "--partner=batinah", file.path() }).code);
        CPPUNIT_ASSERT(contains(tool(running, { "apply", "--partner=batinah", file.path() }).output, "unchanged"));
        CPPUNIT_ASSERT_EQUAL(
            0, tool(running, { "label", "--partner=batinah", "team:batinah/mechanics", "shift=night" }).code);
        auto const got = tool(running, { "get", "team:batinah/" });
        CPPUNIT_ASSERT(contains(got.output, R"("shift":"night")"));
        auto const explained = tool(running, { "explain", "batinah/mechanics", "recetario/engine-0" });
        CPPUNIT_ASSERT_EQUAL(1, explained.code);
        CPPUNIT_ASSERT(contains(explained.output, "no use policy of batinah"));
        CPPUNIT_ASSERT_EQUAL(0, tool(running, { "explain", "recetario/team-0", "recetario/engine-0" }).code);
        CPPUNIT_ASSERT_EQUAL(0, tool(running, { "drain", "--partner=recetario", "recetario/engine-0" }).code);
        CPPUNIT_ASSERT(contains(
            tool(running, { "explain", "recetario/team-0", "recetario/engine-0" }).output, "drained by its label"));
        CPPUNIT_ASSERT(contains(tool(running, { "status", "--output=json" }).output, R"("revision":4)"));
        CPPUNIT_ASSERT_EQUAL(6, tool(running, { "get", "team:nobody/" }).code);
        CPPUNIT_ASSERT_EQUAL(2, tool(running, { "frobnicate" }).code);
    }

    void a_bad_declaration_is_refused_whole()
    {
        auto running = start();
        declaration_file const file("[" + team("batinah", "good", 1) + "," + team("batinah", "bad", 0) + "]");
        CPPUNIT_ASSERT_EQUAL(3, tool(running, { "apply", "--partner=batinah", file.path() }).code);
        CPPUNIT_ASSERT_EQUAL(6, tool(running, { "get", "team:batinah/" }).code);
    }

    void partners_keep_to_their_own_objects()
    {
        auto running = start();
        declaration_file const file(team("recetario", "team-0", 9));
        CPPUNIT_ASSERT_EQUAL(3, tool(running, { "apply", "--partner=batinah", file.path() }).code);
        CPPUNIT_ASSERT_EQUAL(3, tool(running, { "label", "--partner=batinah", "team:recetario/team-0", "a=b" }).code);
    }

    void racing_operators_lose_no_change()
    {
        auto running = start(2);
        std::vector<std::unique_ptr<declaration_file>> files;
        for (int index = 0; index < 8; ++index) {
            auto const* partner = index % 2 == 0 ? "batinah" : "recetario";
            files.push_back(std::make_unique<declaration_file>(team(partner, "racer-" + std::to_string(index), 1)));
        }
        std::vector<int> codes(files.size(), -1);
        fiber_group operators;
        for (std::size_t index = 0; index < files.size(); ++index) {
            operators.start([&, index] {
                auto const partner = std::string("--partner=") + (index % 2 == 0 ? "batinah" : "recetario");
                codes[index] = tool(running, { "apply", partner, files[index]->path() }).code;
            });
        }
        operators.join();
        for (std::size_t index = 0; index < files.size(); ++index) {
            // An accepted change is stored. A change that lost too many races is reported with exit code 4.
            auto const* partner = index % 2 == 0 ? "batinah" : "recetario";
            auto const is_stored
                = tool(running, { "get", std::string("team:") + partner + "/racer-" + std::to_string(index) }).code
                == 0;
            CPPUNIT_ASSERT_EQUAL(is_stored ? 0 : 4, codes[index]);
        }
    }

    void an_apply_whose_answer_is_lost_is_read_back()
    {
        auto running = start();
        declaration_file const file(team("batinah", "mechanics", 2));
        CPPUNIT_ASSERT(post_json(running.platform_address(), "/control", { { "lose_answers", 1 } }));
        auto const applied = tool(running, { "apply", "--partner=batinah", file.path() });
        CPPUNIT_ASSERT_EQUAL(0, applied.code);
        CPPUNIT_ASSERT(contains(applied.output, "committed at revision 2"));
        CPPUNIT_ASSERT(post_json(running.platform_address(), "/control", { { "down", true } }));
        CPPUNIT_ASSERT_EQUAL(5, tool(running, { "apply", "--partner=batinah", file.path() }).code);
    }

    void a_revoked_policy_is_in_force_on_every_router()
    {
        auto running = start(3);
        declaration_file const file(R"({"kind": "policy", "partner": "recetario", "name": "use-all", "action": "use",
            "teams": {"name": "team-1"}})");
        CPPUNIT_ASSERT_EQUAL(0, tool(running, { "apply", "--partner=recetario", file.path() }).code);
        auto const key = [](int index) { return fleet::key_of("recetario/team-" + std::to_string(index)); };
        // A test on the virtual clock checks that this takes at most five seconds.
        for (std::size_t router = 0; router < 3; ++router) {
            CPPUNIT_ASSERT(
                wait_until([&] { return request_chat(running.http(router), key(0), "cook", "x", 2).status == 403; }));
            CPPUNIT_ASSERT(request_chat(running.http(router), key(1), "cook", "x", 2).is_whole);
        }
    }

    void bad_settings_are_refused_by_name()
    {
        std::string output;
        auto const run = [&](std::vector<std::string> const& arguments) {
            return child_process::run(program_path("shedhilld"), arguments, output).value();
        };
        CPPUNIT_ASSERT_EQUAL(2, run({ "--role=router" }));
        CPPUNIT_ASSERT_EQUAL(2, run({ "--role=director" }));
        CPPUNIT_ASSERT_EQUAL(2, run({ "--role=router", "--vm=a", "--fleet-key=short" }));
        CPPUNIT_ASSERT_EQUAL(2, run({ "--role=router", "--vm=a", "--fleet-key=0123456789abcdef", "--slots=0" }));
        CPPUNIT_ASSERT_EQUAL(2, run({ "--role=router", "--vm=a", "--fleet-key=0123456789abcdef", "--sltos=1" }));
        CPPUNIT_ASSERT_EQUAL(0, run({ "--role=router", "--vm=a", "--fleet-key=0123456789abcdef", "--check-settings" }));
    }

    // Sends the bytes unchanged and returns all data received until the connection is closed.
    static std::string send_raw(std::string const& address, std::string const& bytes)
    {
        boost::asio::io_context io;
        boost::asio::ip::tcp::socket socket(io);
        auto const colon = address.find(':');
        socket.connect({ boost::asio::ip::make_address(address.substr(0, colon)),
            static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))) });
        boost::system::error_code failure;
        boost::asio::write(socket, boost::asio::buffer(bytes), failure);
        socket.shutdown(boost::asio::ip::tcp::socket::shutdown_send, failure);
        std::string answer;
        boost::asio::read(socket, boost::asio::dynamic_buffer(answer), failure);
        return answer;
    }

    void bad_input_gets_a_clear_error_and_loses_nothing()
    {
        auto running = start();
        auto const http = running.http(0);
        CPPUNIT_ASSERT(contains(send_raw(http, "NONSENSE\r\n\r\n"), "400"));
        CPPUNIT_ASSERT(
            contains(send_raw(http, "POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 99999999\r\n\r\n"), "413"));
        CPPUNIT_ASSERT(contains(send_raw(http, "GET / HTTP/1.1\r\nx: " + std::string(20000, 'x') + "\r\n\r\n"), "431"));
        CPPUNIT_ASSERT(contains(send_raw(http,
                                    "POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\n"
                                    "content-length: 1\r\n\r\n{"),
            "not a JSON object"));
        CPPUNIT_ASSERT_EQUAL(std::uint16_t { 401 }, request_chat(http, "wrong key", "cook", "x", 2).status);
        CPPUNIT_ASSERT_EQUAL(std::uint16_t { 403 },
            request_chat(http, fleet::key_of("recetario/team-0"), "no such model", "x", 2).status);
        CPPUNIT_ASSERT(request_chat(http, fleet::key_of("recetario/team-0"), "cook", "x", 2).is_whole);
    }

    void an_unauthenticated_peer_on_the_frame_port_is_rejected()
    {
        auto running = start();
        auto& endpoint = running.endpoints().front();
        send_raw(endpoint.address("frames"), std::string("\xFF\xFF\xFF\xFF", 4));
        send_raw(endpoint.address("frames"), std::string("\x08\0\0\0abcdefgh", 12));
        send_raw(endpoint.address("frames"), "GET / HTTP/1.1\r\n\r\n");
        auto const counters = running.metrics(endpoint).value();
        CPPUNIT_ASSERT_EQUAL(3.0, counters.at("shedhill_strangers_refused_total"));
        CPPUNIT_ASSERT(request_chat(running.http(0), fleet::key_of("recetario/team-0"), "cook", "x", 2).is_whole);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(operators_test);

} // namespace shedhill::harness
