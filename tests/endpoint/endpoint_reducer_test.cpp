// SPDX-License-Identifier: BSD-2-Clause
// Tests the endpoint reducer: grants, duplicate runs, refusals that prove a request not run, the drain, and the service
// meter.
#include "libraries/endpoint/endpoint_reducer.h"

#include "libraries/endpoint/service_meter.h"

#include <cppunit/extensions/HelperMacros.h>

namespace shedhill::endpoint {

class endpoint_reducer_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(endpoint_reducer_test);
    CPPUNIT_TEST(an_offer_to_a_free_endpoint_is_granted_at_once);
    CPPUNIT_TEST(grants_never_exceed_the_slots);
    CPPUNIT_TEST(a_run_without_a_grant_is_refused);
    CPPUNIT_TEST(a_duplicate_run_runs_once_and_is_never_refused);
    CPPUNIT_TEST(an_unused_grant_expires);
    CPPUNIT_TEST(a_draining_endpoint_refuses_new_work_and_finishes_running_requests);
    CPPUNIT_TEST(a_drain_waits_for_outstanding_grants);
    CPPUNIT_TEST(a_router_with_a_stale_revision_is_refused);
    CPPUNIT_TEST(an_unreachable_engine_is_not_run);
    CPPUNIT_TEST(an_answer_without_a_body_has_its_status);
    CPPUNIT_TEST(a_lost_router_cancels_only_repeatable_requests);
    CPPUNIT_TEST(the_least_served_account_gets_the_slot);
    CPPUNIT_TEST(the_meter_counts_events_until_usage_is_reported);
    CPPUNIT_TEST_SUITE_END();

    static inline connection_id const router { 1 };

    struct fixture {
        explicit fixture(options settings = {})
            : reducer(std::move(settings))
        {
            post(connection_up { router, vm_name("r"), process_epoch(1), revision(1) });
        }

        effect_list post(event_body body)
        {
            return reducer.reduce({ instant(milliseconds(time)), 42, std::move(body) });
        }
        effect_list receive(wire::message message) { return post(message_received { router, std::move(message) }); }

        effect_list offer(std::uint64_t account, std::uint32_t waiting, std::int64_t level = 0, std::uint64_t at = 1)
        {
            return receive(wire::offer {
                revision(at), { { account_id(account), level, service_units(100), waiting, milliseconds(0), 1, 0 } } });
        }

        effect_list run(std::uint64_t grant, std::uint64_t request, bool is_repeatable = true, std::uint64_t at = 1)
        {
            wire::run sent;
            sent.grant = grant_number(grant);
            sent.request = request_number(request);
            sent.attempt = attempt_number(1);
            sent.is_repeatable = is_repeatable;
            sent.revision = revision(at);
            return receive(sent);
        }

        std::int64_t time { 1000 };
        endpoint_reducer reducer;
    };

    template <typename Message>
    static std::vector<Message> sent(effect_list const& effects)
    {
        std::vector<Message> found;
        for (auto const& done : effects) {
            if (auto const* send = std::get_if<send_message>(&done))
                if (auto const* message = std::get_if<Message>(&send->message))
                    found.push_back(*message);
        }
        return found;
    }

    template <typename Effect>
    static std::size_t count_of(effect_list const& effects)
    {
        return static_cast<std::size_t>(
            std::ranges::count_if(effects, [](auto const& done) { return std::holds_alternative<Effect>(done); }));
    }

    void an_offer_to_a_free_endpoint_is_granted_at_once()
    {
        fixture endpoint;
        auto const grants = sent<wire::grant>(endpoint.offer(5, 1));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, grants.size());
        CPPUNIT_ASSERT(grants.front().account == account_id(5));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, count_of<start_call>(endpoint.run(1, 1)));
    }

    void grants_never_exceed_the_slots()
    {
        options settings;
        settings.slots = 3;
        fixture endpoint(settings);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 3 }, sent<wire::grant>(endpoint.offer(5, 10)).size());
        CPPUNIT_ASSERT_EQUAL(std::size_t { 0 }, sent<wire::grant>(endpoint.offer(6, 10)).size());
        // A released slot is granted again at once.
        CPPUNIT_ASSERT_EQUAL(
            std::size_t { 1 }, sent<wire::grant>(endpoint.receive(wire::no_work { grant_number(1) })).size());
    }

    void a_run_without_a_grant_is_refused()
    {
        fixture endpoint;
        auto const effects = endpoint.run(77, 1);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 0 }, count_of<start_call>(effects));
        CPPUNIT_ASSERT(sent<wire::refused>(effects).front().why == wire::reason::unknown_grant);
    }

    void a_duplicate_run_runs_once_and_is_never_refused()
    {
        fixture endpoint;
        endpoint.offer(5, 2);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, count_of<start_call>(endpoint.run(1, 1)));
        auto const again = endpoint.run(1, 1);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 0 }, count_of<start_call>(again));
        CPPUNIT_ASSERT(sent<wire::refused>(again).empty());
        endpoint.post(engine_ended { call_number(1), engine_end::whole, service_units(1) });
        CPPUNIT_ASSERT(sent<wire::refused>(endpoint.run(1, 1)).empty());
    }

    void an_unused_grant_expires()
    {
        fixture endpoint;
        endpoint.offer(5, 1);
        endpoint.time += 5000;
        endpoint.post(tick {});
        CPPUNIT_ASSERT_EQUAL(std::uint32_t { 6 }, endpoint.reducer.free_slots());
        CPPUNIT_ASSERT(sent<wire::refused>(endpoint.run(1, 1)).front().why == wire::reason::unknown_grant);
    }

    void a_draining_endpoint_refuses_new_work_and_finishes_running_requests()
    {
        fixture endpoint;
        endpoint.offer(5, 1);
        endpoint.run(1, 1);
        auto const drained = endpoint.post(drain_requested {});
        CPPUNIT_ASSERT(sent<wire::endpoint_state>(drained).front().is_draining);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 0 }, count_of<stop_process>(drained));
        auto const offered = endpoint.offer(5, 1);
        CPPUNIT_ASSERT(sent<wire::grant>(offered).empty());
        CPPUNIT_ASSERT(sent<wire::offer_refused>(offered).front().why == wire::reason::endpoint_draining);
        auto const ended = endpoint.post(engine_ended { call_number(1), engine_end::whole, service_units(1) });
        CPPUNIT_ASSERT(sent<wire::finished>(ended).front().outcome == wire::run_outcome::ran);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, count_of<stop_process>(ended));
    }

    void a_drain_waits_for_outstanding_grants()
    {
        fixture endpoint;
        endpoint.offer(5, 1);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 0 }, count_of<stop_process>(endpoint.post(drain_requested {})));
        auto const late = endpoint.run(1, 1);
        CPPUNIT_ASSERT(sent<wire::refused>(late).front().why == wire::reason::endpoint_draining);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, count_of<stop_process>(late));
    }

    void a_router_with_a_stale_revision_is_refused()
    {
        fixture endpoint;
        endpoint.offer(5, 1, 0, 9);
        // Within the grace period an older revision is accepted.
        CPPUNIT_ASSERT(sent<wire::offer_refused>(endpoint.offer(6, 1, 0, 8)).empty());
        endpoint.time += 4000;
        auto const refused = sent<wire::offer_refused>(endpoint.offer(6, 1, 0, 8));
        CPPUNIT_ASSERT(refused.front().why == wire::reason::stale_revision);
        CPPUNIT_ASSERT(refused.front().revision == revision(9));
        CPPUNIT_ASSERT(sent<wire::refused>(endpoint.run(1, 1, true, 8)).front().why == wire::reason::stale_revision);
        CPPUNIT_ASSERT(sent<wire::offer_refused>(endpoint.offer(6, 1, 0, 9)).empty());
    }

    void an_unreachable_engine_is_not_run()
    {
        fixture endpoint;
        endpoint.offer(5, 3);
        endpoint.run(1, 1);
        auto const ended = endpoint.post(engine_ended { call_number(1), engine_end::not_sent, {} });
        CPPUNIT_ASSERT(sent<wire::finished>(ended).front().outcome == wire::run_outcome::not_run);
        // No slot is granted during the engine back-off.
        CPPUNIT_ASSERT(sent<wire::grant>(endpoint.offer(6, 1)).empty());
        endpoint.time += 600;
        CPPUNIT_ASSERT(!sent<wire::grant>(endpoint.post(tick {})).empty());
    }

    void an_answer_without_a_body_has_its_status()
    {
        fixture endpoint;
        endpoint.offer(5, 1);
        endpoint.run(1, 1);
        endpoint.post(engine_head { call_number(1), 404, "text/plain" });
        auto const ended = endpoint.post(engine_ended { call_number(1), engine_end::whole, service_units(1) });
        auto const chunks = sent<wire::chunk>(ended);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, chunks.size());
        CPPUNIT_ASSERT_EQUAL(std::uint16_t { 404 }, chunks.front().status);
        CPPUNIT_ASSERT_EQUAL(std::string("text/plain"), chunks.front().content_type);
        CPPUNIT_ASSERT_EQUAL(std::string(), chunks.front().data);
        CPPUNIT_ASSERT(sent<wire::finished>(ended).front().sequence == chunk_sequence(1));
    }

    void a_lost_router_cancels_only_repeatable_requests()
    {
        fixture endpoint;
        endpoint.offer(5, 2);
        endpoint.run(1, 1, true);
        endpoint.run(2, 2, false);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, count_of<cancel_call>(endpoint.post(connection_down { router })));
    }

    void the_least_served_account_gets_the_slot()
    {
        options settings;
        settings.slots = 1;
        fixture endpoint(settings);
        endpoint.offer(1, 1);
        endpoint.offer(2, 5, 500);
        endpoint.offer(3, 5, 100);
        endpoint.offer(4, 5, 900);
        auto const grants = sent<wire::grant>(endpoint.receive(wire::no_work { grant_number(1) }));
        CPPUNIT_ASSERT(grants.front().account == account_id(3));
    }

    void the_meter_counts_events_until_usage_is_reported()
    {
        service_meter meter({ 100, 10, 1000 }, 40);
        CPPUNIT_ASSERT(meter.service() == service_units(1000));
        meter.start_answer("text/event-stream");
        meter.consume("data: {\"x\":1}\n\nda");
        meter.consume("ta: {\"x\":2}\n\n");
        CPPUNIT_ASSERT(meter.service() == service_units(3000));
        meter.consume("data: {\"usage\":{\"prompt_tokens\":20,\"completion_tokens\":5,"
                      "\"prompt_tokens_details\":{\"cached_tokens\":10}}}\n\ndata: [DONE]\n\n");
        CPPUNIT_ASSERT(meter.service() == service_units(10 * 100 + 10 * 10 + 5 * 1000));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(endpoint_reducer_test);

} // namespace shedhill::endpoint
