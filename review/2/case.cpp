// SPDX-License-Identifier: BSD-2-Clause
// Replicas leave while the store forgets its history. No router may send requests to them for longer than allowed.
#include "review/stand_ins/world.h"

#include <algorithm>
#include <cstdlib>

namespace {

using namespace shedhill::review;

// The bounds of the settings: drain_ms and contact_ms.
constexpr std::int64_t drain_ms = 3000;
constexpr std::int64_t contact_ms = 4000;
constexpr std::size_t routers = 4;
constexpr std::size_t callers_of_router = 8;
constexpr int waves = 5;
constexpr int staying = 2;
// A replica that has left serves on for drain_ms and some seconds.
constexpr milliseconds serves_on { 8000 };

struct totals {
    std::mutex mutex;
    int answered { 0 };
    int lost { 0 };
};

// Sends one order after the other until told to stop.
void call_until(std::atomic<bool> const& is_over, recorder& record, std::string const& name, std::string const& callers,
    std::size_t number, totals& counted)
{
    auto const prefix = name + "-" + std::to_string(number) + "-";
    for (int index = 0; !is_over; ++index) {
        auto const id = prefix + std::to_string(index);
        connection caller(connection::open(callers));
        message answer;
        bool const is_whole
            = caller.write(request_head("POST", "/order/one", id, 4) + "body") && caller.read_message(answer);
        auto const status = is_whole ? answer.word(1) : caller.error();
        if (status != "200") {
            std::string line = "caller gets ";
            record.write(line.append(status).append(" for ").append(id));
        }
        std::scoped_lock const lock(counted.mutex);
        ++(status == "200" ? counted.answered : counted.lost);
        sleep_for(milliseconds(20));
    }
}

// Returns how many requests reached the replica later than allowed after it had left.
int count_late(replica& left, std::int64_t left_at, std::int64_t in_touch_from)
{
    auto const runs = left.runs();
    return static_cast<int>(std::ranges::count_if(
        runs, [&](run const& one) { return one.at > left_at + drain_ms && one.at > in_touch_from; }));
}

int play(recorder& record)
{
    auto const folder = make_folder();
    store platform(loopback_ip(1));
    replica_options const options { 6, milliseconds(60), 800 };
    std::vector<std::unique_ptr<replica>> replicas;
    for (int index = 0; index < staying + 2 * waves; ++index) {
        replicas.push_back(
            std::make_unique<replica>(record, "i-" + std::to_string(index), loopback_ip(100 + index), options));
        platform.put("servers", replicas.back()->id(), replicas.back()->entry());
    }
    platform.put("op", "config", fill_template("configuration.json", {}));
    std::vector<std::unique_ptr<router>> edges;
    for (std::size_t index = 0; index < routers; ++index) {
        auto const seed = edges.empty() ? std::string() : edges.front()->peers();
        edges.push_back(std::make_unique<router>(record, "edge-" + std::to_string(index),
            loopback_ip(10 + static_cast<int>(index)), platform.address(), seed, folder));
        edges.back()->start();
    }
    for (auto const& edge : edges) {
        if (!edge->wait_until_ready())
            return could_not_run;
    }
    std::atomic<bool> is_over { false };
    totals counted;
    std::vector<std::thread> callers;
    callers.reserve(routers * callers_of_router);
    for (std::size_t index = 0; index < routers * callers_of_router; ++index)
        callers.emplace_back([&, index] {
            auto const& edge = *edges[index % routers];
            call_until(is_over, record, edge.name(), edge.callers(), index, counted);
        });
    sleep_for(milliseconds(5000));
    int late = 0;
    for (auto first = replicas.begin(); first + 2 + staying <= replicas.end(); first += 2) {
        auto& one = **first;
        auto& other = **(first + 1);
        platform.remove("servers", one.id());
        sleep_for(milliseconds(50));
        platform.remove("servers", other.id());
        auto const left_at = now_ms();
        record.write("replicas " + one.id() + " and " + other.id() + " leave: their entries are gone");
        sleep_for(milliseconds(50));
        if (has_trouble()) {
            platform.forget();
            record.write("the store forgets its history");
        }
        auto const in_touch_from = now_ms() + contact_ms;
        sleep_for(serves_on);
        auto const late_at_one = count_late(one, left_at, in_touch_from);
        auto const late_at_other = count_late(other, left_at, in_touch_from);
        one.end();
        other.end();
        record.write("requests that reached " + one.id() + " too late: " + std::to_string(late_at_one) + ", "
            + other.id() + ": " + std::to_string(late_at_other) + "; both have ended now");
        late += late_at_one + late_at_other;
        sleep_for(milliseconds(1500));
    }
    is_over = true;
    for (auto& caller : callers)
        caller.join();
    record.write("orders answered: " + std::to_string(counted.answered) + ", not answered with success: "
        + std::to_string(counted.lost) + ", requests that reached a replica too late: " + std::to_string(late));
    if (counted.answered == 0)
        return could_not_run;
    return late > 0 ? rule_broken : rule_held;
}

} // namespace

int main(int /*count*/, char** arguments)
{
    recorder record(arguments[1]);
    auto const result = play(record);
    record.write(result == rule_broken ? "DRAIN is broken" : result == rule_held ? "DRAIN held" : "could not run");
    std::_Exit(result);
}
