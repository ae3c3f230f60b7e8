// SPDX-License-Identifier: BSD-2-Clause
// Demonstrates a small fleet on loopback: stand-ins of two partners, endpoint processes, routers, one streamed answer
// and one order.
#include "libraries/net/fiber_scheduler.h"
#include "tests/harness/caller.h"
#include "tests/harness/fleet.h"

#include <cstdlib>
#include <iostream>

int main()
{
    using namespace shedhill;
    net::process_io_context();
    harness::fleet_shape shape = harness::small_shape();
    shape.partners.push_back({ "batinah", { "sohar-hall", "barka-hall", "suwaiq-hall" }, "parts", 2, "counter", 1, 4 });
    shape.routers = 2;
    auto started = harness::fleet::start(shape);
    if (!started) {
        std::cerr << started.error().to_string() << '\n';
        return EXIT_FAILURE;
    }
    std::cout << "fleet: 2 routers, 7 endpoint processes, 2 partners\n";
    auto const answer = harness::request_chat(
        started->http(0), harness::fleet::key_of("recetario/team-0"), "cook", "adapt the stew for a clay pot", 8);
    std::cout << "recetario/team-0 asked for 8 tokens and got:\n  " << answer.text << '\n'
              << "first token after " << answer.time_to_first_token.count() << " ms, complete after "
              << answer.total_time.count() << " ms\n";
    auto const order = harness::call_service(started->http(1), harness::fleet::key_of("batinah/team-1"),
        "/services/counter/orders", "one clutch", "order-1");
    if (order)
        std::cout << "batinah/team-1 ordered once and got: " << order->body << '\n';
    auto const is_served = answer.is_whole && order && order->status == 200;
    std::cout << (is_served ? "served" : "NOT served") << '\n';
    return is_served ? EXIT_SUCCESS : EXIT_FAILURE;
}
