// SPDX-License-Identifier: BSD-2-Clause
// Tests with real processes that rows that are removed from the store's tables are removed at every router, also at
// those that do not watch the store, and that odd rows of another writer disturb none.
#include "tests/harness/hosted_fleet.h"
#include "tests/harness/parallel.h"

#include <cppunit/extensions/HelperMacros.h>
#include <map>
#include <utility>

namespace shedhill::harness {

class hosted_tables_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(hosted_tables_test);
    CPPUNIT_TEST(rows_removed_while_the_history_is_lost_are_removed_at_every_router);
    CPPUNIT_TEST(rows_removed_while_all_watchers_restart_are_removed_at_every_router);
    CPPUNIT_TEST(odd_entries_of_another_writer_disturb_no_router);
    CPPUNIT_TEST_SUITE_END();

    static constexpr std::size_t routers = 4;

    // Two of the four routers of one failure domain watch the store.
    static hosted_fleet start_fleet()
    {
        hosted_fleet_options options;
        options.routers = routers;
        options.replicas = 2;
        auto fleet = hosted_fleet::start(options);
        CPPUNIT_ASSERT_MESSAGE(fleet ? "" : fleet.error().to_string(), fleet.has_value());
        CPPUNIT_ASSERT(settles_on_two_watchers(*fleet));
        return std::move(*fleet);
    }

    // All routers watch the store until they have heard of each other.
    static bool settles_on_two_watchers(hosted_fleet const& fleet)
    {
        constexpr int required_checks = 100;
        int checks = 0;
        std::vector<std::size_t> watchers;
        return wait_until([&] {
            auto const before = std::exchange(watchers, watchers_of(fleet));
            checks = watchers.size() == 2 && watchers == before ? checks + 1 : 0;
            return checks >= required_checks;
        });
    }

    static std::vector<std::size_t> watchers_of(hosted_fleet const& fleet)
    {
        std::vector<std::size_t> watchers;
        for (std::size_t router = 0; router < routers; ++router) {
            if (fleet.metric(router, "shedhill_follows_store") > 0)
                watchers.push_back(router);
        }
        return watchers;
    }

    static bool reaches_every_router(hosted_fleet const& fleet, std::string const& metric, double value)
    {
        for (std::size_t router = 0; router < routers; ++router) {
            if (!wait_until([&] { return fleet.metric(router, metric) == value; }))
                return false;
        }
        return true;
    }

    // Guards against requests to endpoints that have left, and against a failure domain that stays evacuated: the store
    // lost its history when the rows were removed, so that the watchers read both tables again.
    void rows_removed_while_the_history_is_lost_are_removed_at_every_router()
    {
        auto fleet = start_fleet();
        fleet.evacuate("south");
        CPPUNIT_ASSERT(reaches_every_router(fleet, "shedhill_evacuated_domains", 1));
        fleet.control_store(
            { { "remove",
                  boost::json::array { boost::json::object { { "table", "op" }, { "key", "evacuate/south" } },
                      boost::json::object { { "table", "servers" }, { "key", fleet.incarnation(1) } } } },
                { "forget", true } });
        CPPUNIT_ASSERT(reaches_every_router(fleet, "shedhill_listed_endpoints", 1));
        CPPUNIT_ASSERT(reaches_every_router(fleet, "shedhill_evacuated_domains", 0));
    }

    // Guards against requests to endpoints that have left: the routers that watch the store were killed while the entry
    // was removed.
    void rows_removed_while_all_watchers_restart_are_removed_at_every_router()
    {
        auto fleet = start_fleet();
        auto const watchers = watchers_of(fleet);
        for (auto const router : watchers)
            fleet.router(router).kill();
        fleet.unlist_replica(1);
        for (auto const router : watchers)
            CPPUNIT_ASSERT(fleet.restart_router(router));
        CPPUNIT_ASSERT(reaches_every_router(fleet, "shedhill_listed_endpoints", 1));
    }

    static std::string entry(std::map<std::string, std::string> const& changed)
    {
        std::map<std::string, std::string> fields { { "service", R"("plain")" }, { "address", R"("127.0.0.1:1")" },
            { "zone", R"("north")" }, { "version", R"("v1")" }, { "capacity", "40" }, { "state", R"("ready")" },
            { "cold_remaining_ms", "0" }, { "sequence", "4" } };
        for (auto const& [name, text] : changed)
            fields[name] = text;
        std::string row;
        for (auto const& [name, text] : fields)
            row.append(row.empty() ? "{\"" : ",\"").append(name).append("\":").append(text);
        return row + "}";
    }

    static std::string nested(std::size_t depth) { return std::string(depth, '[') + std::string(depth, ']'); }

    static std::vector<std::string> odd_entries()
    {
        constexpr std::size_t deep = 100'000;
        std::vector<std::string> entries { "", "null", "[]", "7", "what", nested(deep), std::string(deep, '['),
            std::string(deep, '{'), entry({ { "more", nested(deep) } }), entry({ { "service", nested(deep) } }),
            entry({ { "zone", "null" } }), entry({ { "version", std::string(20'000, '9') } }),
            entry({ { "service", "\"" + std::string(20'000, 'x') + "\"" } }) };
        for (auto const* const number : { "1e400", "-1e400", "1e308", "18446744073709551615", "18446744073709551616",
                 "4294967295", "-9223372036854775808", "1e-400", "99999999999999999999999999999999" })
            for (auto const* const field : { "capacity", "cold_remaining_ms", "sequence", "born" })
                entries.push_back(entry({ { field, number } }));
        for (auto const* const address : { "127.0.0.1:0", "127.0.0.1:-1", "127.0.0.1:65536", "127.0.0.1:70000",
                 "127.0.0.1:99999999999999999999", "127.0.0.1:", "127.0.0.1:http", "127.0.0.1", ":80", "", "::1:80",
                 "300.0.0.1:80", "127.0.0.1:80 ", "localhost:80" })
            entries.push_back(entry({ { "address", "\"" + std::string(address) + "\"" } }));
        return entries;
    }

    // Guards against routers that end, or do not follow the list any more, because of what another program has written.
    void odd_entries_of_another_writer_disturb_no_router()
    {
        auto fleet = start_fleet();
        boost::json::array puts;
        for (auto const& odd : odd_entries())
            puts.push_back(boost::json::object {
                { "table", "servers" }, { "key", "odd-" + std::to_string(puts.size()) }, { "value", odd } });
        fleet.control_store({ { "put", std::move(puts) } });
        CPPUNIT_ASSERT(fleet.restart_router(0));
        CPPUNIT_ASSERT(fleet.wait_until_ready(0));
        // Each router still learns that a replica leaves, and that it is back.
        fleet.control_replica(1, "busy");
        fleet.unlist_replica(0);
        CPPUNIT_ASSERT(is_answered_by_every_router(fleet, 503));
        fleet.list_replica(0, "ready");
        CPPUNIT_ASSERT(is_answered_by_every_router(fleet, 200));
        for (std::size_t router = 0; router < routers; ++router)
            CPPUNIT_ASSERT(!fleet.router(router).has_ended());
    }

    static bool is_answered_by_every_router(hosted_fleet const& fleet, std::uint16_t status)
    {
        int sent = 0;
        for (std::size_t router = 0; router < routers; ++router) {
            bool const is_answered = wait_until([&] {
                auto const id = std::to_string(status) + "-" + std::to_string(router) + "-" + std::to_string(++sent);
                auto const answer = fleet.send_request(router, "/look/a", id);
                return answer && answer->status == status;
            });
            if (!is_answered)
                return false;
        }
        return true;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(hosted_tables_test);

} // namespace shedhill::harness
