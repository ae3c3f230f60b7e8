// SPDX-License-Identifier: BSD-2-Clause
// Tests routes and teams that are restricted to regions: every attempt goes to an endpoint of an allowed region, and a
// request without an allowed region is refused at once.
#include "libraries/dispatch/region_bound.h"
#include "tests/dispatch/dispatch_driver.h"
#include "tests/support/property.h"

namespace shedhill::dispatch {

class regions_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(regions_test);
    CPPUNIT_TEST(both_bounds_hold_together);
    CPPUNIT_TEST(an_unknown_region_serves_no_bound_request);
    CPPUNIT_TEST(a_bound_route_is_served_in_its_region_only);
    CPPUNIT_TEST(a_bound_team_is_served_in_its_region_only);
    CPPUNIT_TEST(an_unbound_request_is_served_anywhere);
    CPPUNIT_TEST(an_order_stays_in_its_region_when_it_is_sent_again);
    CPPUNIT_TEST(a_stream_resumes_in_its_region);
    CPPUNIT_TEST(a_waiting_request_stays_in_its_region);
    CPPUNIT_TEST(a_request_without_an_allowed_region_is_refused_at_once);
    CPPUNIT_TEST(an_evacuated_region_has_its_own_refusal_reason);
    CPPUNIT_TEST(available_endpoints_of_other_regions_do_not_count);
    CPPUNIT_TEST(no_attempt_leaves_the_allowed_region);
    CPPUNIT_TEST_SUITE_END();

    // Drives a dispatcher whose configuration assigns the domains north and west to one region and south to another.
    // The region of the domain east is unknown.
    class bound_driver {
    public:
        explicit bound_driver(std::vector<endpoint_entry> entries, std::vector<region_name> const& team_regions = {},
            std::vector<region_name> const& route_regions = {})
            : m_reducer(options())
        {
            auto configuration = dispatch_driver::usual_configuration();
            for (auto& team : configuration.teams) {
                if (team.name.value() == "red")
                    team.allowed_regions = team_regions;
            }
            for (auto& route : configuration.routes)
                route.allowed_regions = route_regions;
            deliver(configuration_received { configuration });
            deliver(endpoints_listed { std::move(entries) });
        }

        effect_list deliver(event_body body)
        {
            auto effects = m_reducer.reduce({ m_now, ++m_draw, std::move(body) });
            for (auto const& dispatch_effect : effects) {
                if (auto const* attempt = std::get_if<send_attempt>(&dispatch_effect))
                    sent.push_back(*attempt);
                if (auto const* refusal = std::get_if<answer_refusal>(&dispatch_effect))
                    refused.push_back(*refusal);
            }
            return effects;
        }

        request_number ask(std::string path, std::string key = "red-key")
        {
            request_arrived arrived;
            arrived.request = request_number(++m_last_request);
            arrived.host = "host";
            arrived.path = std::move(path);
            arrived.key = std::move(key);
            arrived.cost.prompt = 100;
            arrived.cost.parts = { { 7, 50 }, { 1000 + m_last_request, 50 } };
            arrived.time_left = milliseconds(4000);
            auto const number = arrived.request;
            deliver(std::move(arrived));
            return number;
        }

        void wait(milliseconds time)
        {
            for (auto const until = m_now + time; m_now < until;) {
                m_now += milliseconds(10);
                deliver(tick {});
            }
        }

        std::vector<send_attempt> sent;
        std::vector<answer_refusal> refused;

    private:
        static dispatch_options options()
        {
            auto result = dispatch_driver::options();
            result.regions = { { failure_domain("north"), region_name("inland") },
                { failure_domain("west"), region_name("inland") }, { failure_domain("south"), region_name("coast") } };
            return result;
        }

        dispatch_reducer m_reducer;
        instant m_now { milliseconds(1000) };
        std::uint64_t m_draw { 0 };
        std::uint64_t m_last_request { 0 };
    };

    static endpoint_entry in_domain(std::string const& name, char const* domain, std::string const& pool = "plain")
    {
        auto entry = dispatch_driver::make_endpoint(name, pool);
        entry.domain = failure_domain(domain);
        return entry;
    }

    static std::vector<endpoint_entry> one_in_each(std::string const& pool = "plain")
    {
        return { in_domain("n", "north", pool), in_domain("w", "west", pool), in_domain("s", "south", pool),
            in_domain("e", "east", pool) };
    }

    static std::vector<region_name> coast() { return { region_name("coast") }; }
    static std::vector<region_name> inland() { return { region_name("inland") }; }

    void both_bounds_hold_together()
    {
        region_bound bound;
        CPPUNIT_ASSERT(bound.allows(region_name("inland")) && !bound.is_bound());
        bound.limit_to({});
        CPPUNIT_ASSERT(!bound.is_bound());
        bound.limit_to({ region_name("inland"), region_name("coast") });
        bound.limit_to(coast());
        CPPUNIT_ASSERT(bound.allows(region_name("coast")) && !bound.allows(region_name("inland")));
        bound.limit_to(inland());
        CPPUNIT_ASSERT(!bound.allows(region_name("coast")) && !bound.allows(region_name("inland")));
    }

    void an_unknown_region_serves_no_bound_request()
    {
        region_bound bound;
        bound.limit_to({ region_name("") });
        CPPUNIT_ASSERT(!bound.allows(region_name("")));
        bound_driver fleet({ in_domain("e", "east") }, coast());
        fleet.ask("/look/x");
        CPPUNIT_ASSERT(fleet.sent.empty());
        CPPUNIT_ASSERT(fleet.refused.back().reason == refusal_reason::no_allowed_region);
    }

    void a_bound_route_is_served_in_its_region_only()
    {
        bound_driver fleet(one_in_each(), {}, coast());
        for (int index = 0; index < 4; ++index) {
            fleet.ask("/look/x", "blue-key");
            CPPUNIT_ASSERT_EQUAL(std::string("s"), fleet.sent.back().endpoint.value());
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t { 4 }, fleet.sent.size());
    }

    void a_bound_team_is_served_in_its_region_only()
    {
        bound_driver fleet(one_in_each("model"), coast());
        for (int index = 0; index < 4; ++index) {
            fleet.ask("/resumable/x");
            CPPUNIT_ASSERT_EQUAL(std::string("s"), fleet.sent.back().endpoint.value());
        }
    }

    void an_unbound_request_is_served_anywhere()
    {
        bound_driver fleet({ in_domain("n", "north") }, coast());
        fleet.ask("/look/x", "blue-key");
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, fleet.sent.size());
    }

    void an_order_stays_in_its_region_when_it_is_sent_again()
    {
        bound_driver fleet({ in_domain("n", "north"), in_domain("s", "south") }, coast());
        auto const request = fleet.ask("/order/x");
        fleet.deliver(attempt_ended { request, fleet.sent.back().attempt, attempt_end::not_run, 503, 0, false });
        fleet.wait(milliseconds(300));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, fleet.sent.size());
    }

    void a_stream_resumes_in_its_region()
    {
        bound_driver fleet(
            { in_domain("n", "north", "model"), in_domain("w", "west", "model"), in_domain("s", "south", "model") },
            inland());
        auto const request = fleet.ask("/resumable/x");
        auto const first = fleet.sent.back();
        fleet.deliver(answer_began { request, first.attempt });
        fleet.deliver(attempt_ended { request, first.attempt, attempt_end::broken, 0, 1, true });
        fleet.wait(milliseconds(100));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 2 }, fleet.sent.size());
        CPPUNIT_ASSERT(fleet.sent.back().endpoint != first.endpoint);
        CPPUNIT_ASSERT(fleet.sent.back().endpoint.value() != "s");
    }

    void a_waiting_request_stays_in_its_region()
    {
        bound_driver fleet({ in_domain("s", "south", "model") }, coast());
        // The endpoint has four slots, so the fifth request waits.
        for (int index = 0; index < 5; ++index)
            fleet.ask("/once/x");
        CPPUNIT_ASSERT_EQUAL(std::size_t { 4 }, fleet.sent.size());
        fleet.deliver(endpoints_listed { { in_domain("s", "south", "model"), in_domain("n", "north", "model") } });
        fleet.wait(milliseconds(300));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 4 }, fleet.sent.size());
        CPPUNIT_ASSERT(fleet.refused.back().reason == refusal_reason::no_place);
    }

    void a_request_without_an_allowed_region_is_refused_at_once()
    {
        bound_driver fleet(one_in_each(), coast(), inland());
        fleet.ask("/look/x");
        CPPUNIT_ASSERT(fleet.sent.empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, fleet.refused.size());
        CPPUNIT_ASSERT(fleet.refused.back().reason == refusal_reason::no_allowed_region);
        CPPUNIT_ASSERT_EQUAL(std::uint16_t { 503 }, fleet.refused.back().status);
        CPPUNIT_ASSERT(fleet.refused.back().retry_after.has_value());
    }

    void an_evacuated_region_has_its_own_refusal_reason()
    {
        bound_driver fleet(one_in_each(), coast());
        fleet.deliver(domains_evacuated { { failure_domain("south") } });
        fleet.ask("/look/x");
        CPPUNIT_ASSERT(fleet.sent.empty());
        CPPUNIT_ASSERT(fleet.refused.back().reason == refusal_reason::domains_evacuated);
    }

    // The only allowed endpoint backs off; the available endpoint of another region must not serve the request.
    void available_endpoints_of_other_regions_do_not_count()
    {
        bound_driver fleet({ in_domain("n", "north"), in_domain("s", "south") }, coast());
        auto const request = fleet.ask("/look/x");
        auto const backing_off = fleet.sent.back();
        fleet.deliver(endpoint_notice_received {
            request, backing_off.endpoint, backing_off.instance, { milliseconds(5000), false } });
        fleet.ask("/look/x");
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, fleet.sent.size());
        CPPUNIT_ASSERT(fleet.refused.back().reason == refusal_reason::endpoints_resting);
    }

    // Applies changed endpoint lists, all kinds of failures, evacuations and waits in random order.
    void no_attempt_leaves_the_allowed_region()
    {
        testing::check_property("no attempt leaves the allowed region", [] {
            bound_driver fleet(one_in_each("model"), coast());
            std::vector<request_number> requests;
            auto const steps = *rc::gen::inRange(1, 40);
            for (int step = 0; step < steps; ++step) {
                switch (*rc::gen::inRange(0, 5)) {
                case 0:
                    requests.push_back(
                        fleet.ask(*rc::gen::element(std::string("/resumable/x"), std::string("/once/x"))));
                    break;
                case 1:
                    fleet.wait(milliseconds(*rc::gen::inRange(10, 200)));
                    break;
                case 2:
                    fleet.deliver(endpoints_listed { *rc::gen::element(one_in_each("model"),
                        std::vector<endpoint_entry> { in_domain("n", "north", "model") },
                        std::vector<endpoint_entry> {
                            in_domain("s2", "south", "model"), in_domain("w", "west", "model") }) });
                    break;
                case 3:
                    fleet.deliver(domains_evacuated { *rc::gen::element(
                        std::vector<failure_domain> {}, std::vector<failure_domain> { failure_domain("south") }) });
                    break;
                default:
                    if (fleet.sent.empty())
                        break;
                    auto const attempt = fleet.sent.at(*rc::gen::inRange<std::size_t>(0, fleet.sent.size()));
                    fleet.deliver(attempt_ended { attempt.request, attempt.attempt,
                        *rc::gen::element(attempt_end::not_sent, attempt_end::not_run, attempt_end::wrong_endpoint,
                            attempt_end::failed, attempt_end::broken, attempt_end::silent),
                        0, 0, false });
                }
            }
            for (auto const& attempt : fleet.sent)
                RC_ASSERT(attempt.endpoint.value().starts_with("s"));
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(regions_test);

} // namespace shedhill::dispatch
