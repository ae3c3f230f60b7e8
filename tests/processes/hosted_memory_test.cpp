// SPDX-License-Identifier: BSD-2-Clause
// Tests with real processes that peers do not end a router by what they send, and that its log shows why it ended.
#include "tests/harness/hosted_fleet.h"
#include "tests/harness/parallel.h"

#include <arpa/inet.h>
#include <array>
#include <cppunit/extensions/HelperMacros.h>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <sys/socket.h>
#include <unistd.h>

namespace shedhill::harness {

class hosted_memory_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(hosted_memory_test);
    CPPUNIT_TEST(answers_without_end_do_not_end_a_router);
    CPPUNIT_TEST(large_bodies_at_once_do_not_end_a_router);
    CPPUNIT_TEST(a_caller_that_reads_late_gets_its_whole_answer);
    CPPUNIT_TEST(a_process_that_crashes_says_why_on_its_last_line);
    CPPUNIT_TEST(a_process_that_is_killed_leaves_no_last_line);
    CPPUNIT_TEST_SUITE_END();

    // The memory of the smallest VM in use, and what a router may take of it whatever its peers do.
    static constexpr int smallest_memory_mb = 110;
    static constexpr std::int64_t max_peak_kib = 60'000'000 / 1024;

    static hosted_fleet start_fleet(hosted_fleet_options options)
    {
        options.memory_mb = smallest_memory_mb;
        auto fleet = hosted_fleet::start(options);
        CPPUNIT_ASSERT_MESSAGE(fleet ? "" : fleet.error().to_string(), fleet.has_value());
        return std::move(*fleet);
    }

    static void check_memory(hosted_fleet& fleet)
    {
        CPPUNIT_ASSERT(!fleet.router(0).has_ended());
        auto const peak_kib = fleet.router(0).peak_memory_kib();
        CPPUNIT_ASSERT(peak_kib > 0);
        CPPUNIT_ASSERT_MESSAGE("peak of " + std::to_string(peak_kib) + " KiB", peak_kib < max_peak_kib);
    }

    // Guards against a router that the kernel kills, with all of its callers' requests, because endpoints send without
    // end.
    void answers_without_end_do_not_end_a_router()
    {
        hosted_fleet_options options;
        options.replicas = 2;
        auto fleet = start_fleet(options);
        for (auto const* const target : { "/look/endless/a", "/look/endless/unframed/a", "/look/endless/failing/a",
                 "/stream/endless/event/a", "/order/endless/a" }) {
            int unserved = 0;
            fiber_group callers;
            for (int caller = 0; caller < 6; ++caller)
                callers.start([&, caller] {
                    auto const answer
                        = fleet.send_request(0, target, std::string(target) + "-" + std::to_string(caller));
                    unserved += answer && answer->status >= 500 ? 1 : 0;
                });
            callers.join();
            CPPUNIT_ASSERT_EQUAL_MESSAGE(target, 6, unserved);
            check_memory(fleet);
        }
        int tries = 0;
        CPPUNIT_ASSERT(wait_until([&] {
            auto const answer = fleet.send_request(0, "/look/a", "sound-" + std::to_string(++tries));
            return answer && answer->status == 200;
        }));
    }

    // Guards against a router that the kernel kills because many callers send whole, legal bodies at once.
    void large_bodies_at_once_do_not_end_a_router()
    {
        hosted_fleet_options options;
        options.replicas = 2;
        options.work_ms = 300;
        auto fleet = start_fleet(options);
        constexpr std::size_t body_size = 3'900'000;
        constexpr int count = 30;
        int served = 0;
        int refused = 0;
        std::string others;
        fiber_group callers;
        for (int caller = 0; caller < count; ++caller)
            callers.start([&, caller] {
                auto const answer = fleet.send_body(0, "/order/a", "id-" + std::to_string(caller), body_size);
                if (!answer)
                    others += answer.error().to_string() + "; ";
                else if (answer->status != 200 && answer->status != 503)
                    others += std::to_string(answer->status) + " " + answer->body + "; ";
                served += answer && answer->status == 200 ? 1 : 0;
                refused += answer && answer->status == 503 ? 1 : 0;
            });
        callers.join();
        check_memory(fleet);
        CPPUNIT_ASSERT_EQUAL(std::string(), others);
        CPPUNIT_ASSERT_EQUAL(count, served + refused);
        CPPUNIT_ASSERT(served > 0);
        CPPUNIT_ASSERT_EQUAL(static_cast<std::size_t>(served), fleet.runs().size());
    }

    // A caller with a small window, which reads nothing of its answer for some time.
    static std::string read_late(std::string const& address, std::string const& request, int silence_ms)
    {
        auto const colon = address.rfind(':');
        sockaddr_in target {};
        target.sin_family = AF_INET;
        target.sin_port = htons(static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))));
        target.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        auto const descriptor = ::socket(AF_INET, SOCK_STREAM, 0);
        int const window = 4096;
        setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &window, sizeof(window));
        auto* const generic
            = reinterpret_cast<sockaddr*>(&target); // NOLINT: the POSIX socket interface requires this cast
        std::string received;
        if (::connect(descriptor, generic, sizeof(target)) == 0
            && ::send(descriptor, request.data(), request.size(), 0) == static_cast<ssize_t>(request.size())) {
            pause(silence_ms);
            std::array<char, 65536> buffer {};
            for (auto count = ::recv(descriptor, buffer.data(), buffer.size(), 0); count > 0;
                 count = ::recv(descriptor, buffer.data(), buffer.size(), 0))
                received.append(buffer.data(), static_cast<std::size_t>(count));
        }
        ::close(descriptor);
        return received;
    }

    // Guards against answers that are cut off because their caller reads nothing for a while, though its host
    // acknowledges each probe.
    void a_caller_that_reads_late_gets_its_whole_answer()
    {
        auto fleet = start_fleet({});
        std::string const body(300'000, 'x');
        std::string const request = "POST /order/a HTTP/1.1\r\nHost: shop.example\r\nShedhill-Request-Id: id-1\r\n"
                                    "Shedhill-Deadline-Ms: 6000\r\nAuthorization: Bearer key-1\r\nConnection: close\r\n"
                                    "Content-Length: "
            + std::to_string(body.size()) + "\r\n\r\n" + body;
        auto const answer = read_late(fleet.router(0).address("callers"), request, 3000);
        CPPUNIT_ASSERT(answer.starts_with("HTTP/1.1 200 "));
        CPPUNIT_ASSERT(answer.ends_with("body=" + body));
    }

    static std::string log_after_signal(int signal)
    {
        hosted_fleet_options options;
        options.log_folder = std::filesystem::temp_directory_path()
            / ("shedhill-ends-" + std::to_string(getpid()) + "-" + std::to_string(signal));
        std::filesystem::create_directories(options.log_folder);
        std::string text;
        {
            auto fleet = start_fleet(options);
            fleet.router(0).send_signal(signal);
            CPPUNIT_ASSERT(wait_until([&] { return fleet.router(0).has_ended(); }));
            std::ifstream log(options.log_folder / "router-0.log");
            text.assign(std::istreambuf_iterator<char>(log), {});
        }
        std::filesystem::remove_all(options.log_folder);
        return text;
    }

    void a_process_that_crashes_says_why_on_its_last_line()
    {
        auto const log = log_after_signal(SIGSEGV);
        auto const last_line = log.substr(log.rfind('\n', log.size() - 2) + 1);
        CPPUNIT_ASSERT_MESSAGE(last_line,
            last_line.find(R"("event":"process_ended","cause":"signal")") != std::string::npos
                && last_line.find("\"number\":" + std::to_string(SIGSEGV)) != std::string::npos);
    }

    void a_process_that_is_killed_leaves_no_last_line()
    {
        auto const log = log_after_signal(SIGKILL);
        CPPUNIT_ASSERT(log.find("\"event\":\"started\"") != std::string::npos);
        CPPUNIT_ASSERT(log.find("process_ended") == std::string::npos);
        CPPUNIT_ASSERT(log.find("\"event\":\"stopped\"") == std::string::npos);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(hosted_memory_test);

} // namespace shedhill::harness
