// SPDX-License-Identifier: BSD-2-Clause
// Tests which requests of callers are accepted and the error messages for invalid requests and settings.
#include "libraries/edge/request_parser.h"

#include "libraries/net/keys.h"
#include "libraries/settings/setting_table.h"

#include <cppunit/extensions/HelperMacros.h>

namespace shedhill::edge {

class request_parser_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(request_parser_test);
    CPPUNIT_TEST(a_chat_completion_names_its_pool);
    CPPUNIT_TEST(a_service_call_names_its_pool_in_the_path);
    CPPUNIT_TEST(malformed_requests_are_refused_with_the_reason);
    CPPUNIT_TEST(settings_out_of_range_name_flag_and_variable);
    CPPUNIT_TEST_SUITE_END();

    static net::http_request chat(std::string const& body)
    {
        return { "POST", "/v1/chat/completions", { { "Authorization", "Bearer k" } }, body };
    }

    static std::string refusal(net::http_request const& request)
    {
        auto const parsed = parse_request(request, request_number(1));
        CPPUNIT_ASSERT(!parsed);
        return parsed.error().reason;
    }

    void a_chat_completion_names_its_pool()
    {
        auto request = chat(R"({"model": "cook", "stream": true, "messages": []})");
        request.headers.push_back({ "X-Shedhill-Deadline-Ms", "250" });
        auto const parsed = parse_request(request, request_number(3)).value();
        CPPUNIT_ASSERT(parsed.pool == pool_name("cook"));
        CPPUNIT_ASSERT(parsed.is_streamed && parsed.is_model_call && parsed.is_repeatable);
        CPPUNIT_ASSERT(parsed.time_left == milliseconds(250));
        CPPUNIT_ASSERT_EQUAL(net::sha256_hex("k"), parsed.key_hash);
    }

    void a_service_call_names_its_pool_in_the_path()
    {
        net::http_request const request { "PUT", "/services/counter/stock/7",
            { { "x-shedhill-not-repeatable", "true" }, { "idempotency-key", "o1" }, { "cookie", "secret" } }, "body" };
        auto const parsed = parse_request(request, request_number(3)).value();
        CPPUNIT_ASSERT(parsed.pool == pool_name("counter"));
        CPPUNIT_ASSERT_EQUAL(std::string("/stock/7"), parsed.target);
        CPPUNIT_ASSERT(!parsed.is_repeatable && !parsed.is_model_call);
        CPPUNIT_ASSERT_EQUAL(std::string("o1"), parsed.idempotency_key);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, parsed.headers.size());
    }

    void malformed_requests_are_refused_with_the_reason()
    {
        CPPUNIT_ASSERT_EQUAL(std::string("the body is not a JSON object"), refusal(chat("{")));
        CPPUNIT_ASSERT_EQUAL(std::string("'model' must be a string"), refusal(chat(R"({"model": 3})")));
        CPPUNIT_ASSERT_EQUAL(std::string("'messages' must be a list"), refusal(chat(R"({"model": "m"})")));
        CPPUNIT_ASSERT_EQUAL(
            std::string("a service is called as /services/NAME/PATH"), refusal({ "GET", "/services/x", {}, {} }));
        CPPUNIT_ASSERT_EQUAL(std::string("nothing is served at /other"), refusal({ "GET", "/other", {}, {} }));
        auto request = chat(R"({"model": "cook", "messages": []})");
        request.headers.push_back({ "x-shedhill-deadline-ms", "soon" });
        CPPUNIT_ASSERT(refusal(request).find("x-shedhill-deadline-ms") != std::string::npos);
    }

    void settings_out_of_range_name_flag_and_variable()
    {
        settings::setting_table table("program");
        table.add_number("queue-bound", 5, 1, 10, "help");
        std::vector<char const*> arguments { "program", "--queue-bound=11" };
        auto const refused = table.parse(2, arguments.data());
        CPPUNIT_ASSERT(!refused);
        auto const text = refused.error().to_string();
        CPPUNIT_ASSERT(text.find("--queue-bound (SHEDHILL_QUEUE_BOUND)") != std::string::npos);
        CPPUNIT_ASSERT(text.find("1 to 10") != std::string::npos);
        arguments[1] = "--unknown=1";
        CPPUNIT_ASSERT(!table.parse(2, arguments.data()));
        arguments[1] = "extra";
        CPPUNIT_ASSERT(!table.parse(2, arguments.data()));
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 5 }, table.parse(1, arguments.data()).value().number("queue-bound"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(request_parser_test);

} // namespace shedhill::edge
