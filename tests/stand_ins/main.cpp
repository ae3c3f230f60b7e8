// SPDX-License-Identifier: BSD-2-Clause
// Runs one of the stand-ins as a process on loopback, for tests and demonstrations only.
#include "libraries/net/await.h"
#include "libraries/net/fiber_scheduler.h"
#include "libraries/settings/setting_table.h"
#include "tests/stand_ins/engine.h"
#include "tests/stand_ins/hosted_replica.h"
#include "tests/stand_ins/hosted_store.h"
#include "tests/stand_ins/platform.h"
#include "tests/stand_ins/service.h"

#include <cstdlib>
#include <iostream>

int main(int count, char** arguments)
{
    using namespace shedhill;
    settings::setting_table table("shedhill-stand-in");
    table.add_choice("kind", { "engine", "service", "platform", "hosted-store", "hosted-replica" },
        "The kind of process to stand in for.");
    table.add_text("http", "127.0.0.1:0", "Address to serve HTTP on.");
    table.add_number("engine-slots", 6, 1, 1024, "Engine: number of concurrent requests.");
    table.add_number("token-interval-ms", 5, 0, 10000, "Engine: time between tokens.");
    table.add_text("incarnation", "i-1", "Hosted replica: the id of this incarnation.");
    table.add_text(
        "software", "", "Hosted replica: version of its software, which it writes into the events of streams.");
    table.add_text("runs-file", "", "Hosted replica: file that records its events, such as arrivals and runs.");
    table.add_number("cold-ms", 0, 0, 60000, "Hosted replica: time that it is cold after its start.");
    table.add_number("cold-limit", 0, 0, 10000, "Hosted replica: requests a second that it sustains while cold.");
    table.add_number("work-ms", 5, 0, 10000, "Service and hosted replica: duration of one run.");
    auto const values = table.parse(count, arguments);
    if (!values) {
        std::cerr << values.error().to_string() << '\n';
        return 2;
    }
    net::process_io_context();
    stand_ins::engine engine(static_cast<std::size_t>(values->number("engine-slots")),
        std::chrono::milliseconds(values->number("token-interval-ms")));
    stand_ins::service service(std::chrono::milliseconds(values->number("work-ms")));
    stand_ins::platform platform;
    stand_ins::hosted_store store;
    stand_ins::hosted_replica replica(values->text("incarnation"), std::chrono::milliseconds(values->number("work-ms")),
        values->text("runs-file"),
        { std::chrono::milliseconds(values->number("cold-ms")),
            static_cast<std::size_t>(values->number("cold-limit")) },
        values->text("software"));
    auto const& kind = values->text("kind");
    auto server = net::http_server::open(values->text("http"), {}, [&](net::http_exchange& exchange) {
        if (kind == "engine")
            engine.serve(exchange);
        else if (kind == "service")
            service.serve(exchange);
        else if (kind == "hosted-store")
            store.serve(exchange);
        else if (kind == "hosted-replica")
            replica.serve(exchange);
        else
            platform.serve(exchange);
    });
    if (!server) {
        std::cerr << server.error().to_string() << '\n';
        return EXIT_FAILURE;
    }
    std::cout << "listening http=" << (*server)->port() << std::endl;
    // The process runs until its parent ends it.
    net::fiber_event never;
    never.wait();
}
