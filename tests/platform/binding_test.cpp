// SPDX-License-Identifier: BSD-2-Clause
// Tests the platform's bindings with good and bad input: request and answer heads, tables, documents and settings.
#include "libraries/peering/peer_message.h"
#include "platform/caller_binding.h"
#include "platform/settings_file.h"
#include "platform/table_binding.h"
#include "tests/support/property.h"

namespace shedhill::platform_binding {

class binding_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(binding_test);
    CPPUNIT_TEST(a_request_is_read_field_by_field);
    CPPUNIT_TEST(a_bad_field_is_refused);
    CPPUNIT_TEST(a_call_forwards_the_callers_fields_without_the_key);
    CPPUNIT_TEST(fields_that_only_routers_set_are_never_copied_from_callers);
    CPPUNIT_TEST(a_callers_own_fields_are_forwarded_though_named_in_connection);
    CPPUNIT_TEST(no_caller_fields_replace_fields_that_routers_set);
    CPPUNIT_TEST(a_resumed_call_names_the_last_event_once);
    CPPUNIT_TEST(a_caller_that_resumes_a_stream_names_its_first_request);
    CPPUNIT_TEST(only_the_not_executed_field_proves_not_run);
    CPPUNIT_TEST(an_answer_to_another_call_is_detected_by_its_id);
    CPPUNIT_TEST(endpoint_notices_are_parsed_strictly);
    CPPUNIT_TEST(a_refusal_has_a_retry_delay);
    CPPUNIT_TEST(a_whole_configuration_is_parsed);
    CPPUNIT_TEST(allowed_regions_of_routes_and_teams_are_parsed);
    CPPUNIT_TEST(regions_that_cannot_be_read_refuse_the_configuration);
    CPPUNIT_TEST(a_bad_configuration_is_refused_with_the_fields_name);
    CPPUNIT_TEST(an_endpoint_row_is_parsed);
    CPPUNIT_TEST(a_row_of_another_writer_names_no_endpoint);
    CPPUNIT_TEST(odd_rows_of_another_writer_are_read_safely);
    CPPUNIT_TEST(a_page_after_an_odd_key_is_asked_for);
    CPPUNIT_TEST(the_start_time_is_parsed);
    CPPUNIT_TEST(rows_are_decoded);
    CPPUNIT_TEST(arbitrary_bytes_are_parsed_safely);
    CPPUNIT_TEST(settings_are_parsed_and_validated);
    CPPUNIT_TEST(an_evacuation_names_its_failure_domain);
    CPPUNIT_TEST(the_cold_time_of_a_row_is_parsed_strictly);
    CPPUNIT_TEST(a_step_of_reading_a_configuration_is_bounded);
    CPPUNIT_TEST(a_configuration_read_in_steps_is_the_same);
    CPPUNIT_TEST_SUITE_END();

    static relay::caller_request stream_request()
    {
        relay::caller_request request;
        request.method(boost::beast::http::verb::post);
        request.target("/lohu/2f?q=1");
        request.set("Host", "Ficu.Example:80");
        request.set("Shedhill-Request-Id", "9c41");
        request.set("Shedhill-Token-Usage", "1460,80");
        request.set("Shedhill-Prefix-Hash", "5c1e07a2:800,91bd3f06:410,e4402b7d:250");
        request.set("Shedhill-Length-Hint", "33");
        request.set("Shedhill-Deadline-Ms", "15000");
        request.set("Authorization", "Bearer secret");
        request.set("Shedhill-Tenant", "forged");
        request.set("X-Own", "kept");
        request.set("Connection", "keep-alive, X-Hop");
        request.set("X-Hop", "dropped");
        request.body() = "body";
        return request;
    }

    void a_request_is_read_field_by_field()
    {
        dispatch::request_arrived arrived;
        CPPUNIT_ASSERT(caller_binding::read_request(stream_request(), arrived));
        CPPUNIT_ASSERT_EQUAL(std::string("ficu.example"), arrived.host);
        CPPUNIT_ASSERT_EQUAL(std::string("/lohu/2f"), arrived.path);
        CPPUNIT_ASSERT_EQUAL(std::string("secret"), arrived.key);
        CPPUNIT_ASSERT(arrived.time_left == milliseconds(15000));
        CPPUNIT_ASSERT_EQUAL(dispatch::token_count { 1460 }, arrived.cost.prompt);
        CPPUNIT_ASSERT_EQUAL(dispatch::token_count { 33 }, arrived.cost.generated);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 3 }, arrived.cost.parts.size());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 0x91bd3f06 }, arrived.cost.parts[1].id);
        CPPUNIT_ASSERT_EQUAL(dispatch::token_count { 410 }, arrived.cost.parts[1].tokens);
    }

    void a_bad_field_is_refused()
    {
        for (auto const& [name, value] :
            { std::pair("Shedhill-Deadline-Ms", "soon"), std::pair("Shedhill-Token-Usage", "12"),
                std::pair("Shedhill-Prefix-Hash", "5c1e07a2"), std::pair("Shedhill-Token-Usage", "-5,2") }) {
            auto request = stream_request();
            request.set(name, value);
            dispatch::request_arrived arrived;
            CPPUNIT_ASSERT_MESSAGE(name, !caller_binding::read_request(request, arrived));
        }
    }

    static std::string call_of(relay::caller_request const& request, std::string_view resume_after = {})
    {
        std::string call;
        caller_binding::append_call(
            call, request, { endpoint_name("i-7"), team_name("hule"), milliseconds(900), resume_after, 4 });
        return call;
    }

    void a_call_forwards_the_callers_fields_without_the_key()
    {
        auto const call = call_of(stream_request());
        CPPUNIT_ASSERT(call.starts_with("POST /lohu/2f?q=1 HTTP/1.1\r\n"));
        for (auto const* forwarded : { "X-Own: kept\r\n", "Shedhill-Request-Id: 9c41\r\n", "Shedhill-Tenant: hule\r\n",
                 "Shedhill-Deadline-Ms: 900\r\n", "Shedhill-Expect-Instance: i-7\r\n", "Content-Length: 4\r\n",
                 "Host: Ficu.Example:80\r\n" })
            CPPUNIT_ASSERT_MESSAGE(forwarded, call.find(forwarded) != std::string::npos);
        for (auto const* hidden : { "secret", "forged", "15000", "X-Hop", "Connection" })
            CPPUNIT_ASSERT_MESSAGE(hidden, call.find(hidden) == std::string::npos);
    }

    // Counts the lines of the call that begin with the field's name, in any case of letters.
    static std::size_t count_fields(std::string const& call, std::string_view name)
    {
        std::size_t count = 0;
        std::string_view rest(call);
        while (!rest.empty()) {
            auto const line = rest.substr(0, rest.find("\r\n"));
            rest.remove_prefix(std::min(line.size() + 2, rest.size()));
            auto const label = line.substr(0, line.find(':'));
            count += boost::beast::iequals({ label.data(), label.size() }, { name.data(), name.size() }) ? 1 : 0;
        }
        return count;
    }

    static constexpr std::array fields_never_forwarded { "Shedhill-Hold", "Shedhill-Pin-Ms", "Shedhill-Kv-Backup",
        "Kv-From", "Kv-Fetch", "Shedhill-Expect-Version" };
    static constexpr std::array fields_set_by_router { "Shedhill-Tenant", "Shedhill-Expect-Instance",
        "Shedhill-Deadline-Ms" };

    void fields_that_only_routers_set_are_never_copied_from_callers()
    {
        for (auto const* name : fields_never_forwarded) {
            auto request = stream_request();
            request.insert(name, "smuggled");
            request.insert(name, "smuggled again");
            CPPUNIT_ASSERT_EQUAL_MESSAGE(name, std::size_t { 0 }, count_fields(call_of(request), name));
        }
        for (auto const* name : fields_set_by_router) {
            auto request = stream_request();
            request.insert(name, "smuggled");
            auto const call = call_of(request);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(name, std::size_t { 1 }, count_fields(call, name));
            CPPUNIT_ASSERT_MESSAGE(name, call.find("smuggled") == std::string::npos);
        }
    }

    void a_callers_own_fields_are_forwarded_though_named_in_connection()
    {
        auto request = stream_request();
        request.set("Shedhill-Model", "m");
        request.set("Connection", "Shedhill-Request-Id, shedhill-model, Shedhill-Token-Usage, host");
        auto const call = call_of(request);
        for (auto const* name : { "Shedhill-Request-Id", "Shedhill-Model", "Shedhill-Token-Usage", "Host" })
            CPPUNIT_ASSERT_EQUAL_MESSAGE(name, std::size_t { 1 }, count_fields(call, name));
    }

    // Parses any mix of these fields, in any case of letters and any number of times, from bytes as a caller sends
    // them, and checks that none of them reaches the endpoint with the caller's value.
    static void check_nothing_is_smuggled()
    {
        std::vector<std::string> field_names(fields_never_forwarded.begin(), fields_never_forwarded.end());
        field_names.insert(field_names.end(), fields_set_by_router.begin(), fields_set_by_router.end());
        field_names.emplace_back("X-Own");
        auto const picks
            = *rc::gen::container<std::vector<std::size_t>>(rc::gen::inRange<std::size_t>(0, field_names.size()));
        std::string text = "POST /lohu/2f HTTP/1.1\r\nHost: ficu.example\r\n";
        for (auto const pick : picks) {
            auto name = field_names[pick];
            for (auto& letter : name) {
                if (*rc::gen::arbitrary<bool>())
                    letter = boost::beast::detail::ascii_tolower(letter);
                else if (letter >= 'a' && letter <= 'z')
                    letter = static_cast<char>(letter - 'a' + 'A');
            }
            if (*rc::gen::arbitrary<bool>())
                text += "Connection: " + name + "\r\n";
            // A value that continues in the next line is one value.
            text += name + (*rc::gen::arbitrary<bool>() ? ": smuggled\r\n" : ": a\r\n smuggled\r\n");
        }
        text += "\r\n";
        boost::beast::http::request_parser<boost::beast::http::string_body> parser;
        boost::beast::error_code failure;
        parser.put(boost::asio::buffer(text), failure);
        RC_ASSERT(!failure || failure == boost::beast::http::error::need_more);
        auto const call = call_of(relay::caller_request(parser.release()));
        for (auto const* name : fields_never_forwarded)
            RC_ASSERT(count_fields(call, name) == 0);
        for (auto const* name : fields_set_by_router)
            RC_ASSERT(count_fields(call, name) == 1);
    }

    void no_caller_fields_replace_fields_that_routers_set()
    {
        testing::check_property(
            "no caller fields replace fields that routers set", [] { check_nothing_is_smuggled(); });
    }

    void a_resumed_call_names_the_last_event_once()
    {
        auto request = stream_request();
        request.set("Last-Event-Id", "3");
        CPPUNIT_ASSERT(call_of(request).find("Last-Event-Id: 3\r\n") != std::string::npos);
        auto const resumed = call_of(request, "12");
        CPPUNIT_ASSERT(resumed.find("Last-Event-Id: 12\r\n") != std::string::npos);
        CPPUNIT_ASSERT(resumed.find("Last-Event-Id: 3\r\n") == std::string::npos);
    }

    void a_caller_that_resumes_a_stream_names_its_first_request()
    {
        auto const resumption_of = [](std::vector<std::pair<std::string, std::string>> const& fields) {
            auto request = stream_request();
            for (auto const& [name, value] : fields)
                request.set(name, value);
            dispatch::request_arrived arrived;
            CPPUNIT_ASSERT(caller_binding::read_request(request, arrived));
            return arrived.resumption;
        };
        CPPUNIT_ASSERT(!resumption_of({}));
        // A caller that has received no event asks for a new stream.
        CPPUNIT_ASSERT(!resumption_of({ { "Resumes", "9c40" } }));
        CPPUNIT_ASSERT_EQUAL(
            std::string("9c40"), resumption_of({ { "Last-Event-Id", "3" }, { "Resumes", "9c40" } })->first_request);
        CPPUNIT_ASSERT_EQUAL(std::string(), resumption_of({ { "Last-Event-Id", "3" } })->first_request);
    }

    static relay::answer_kind kind_of(unsigned status, std::vector<std::pair<std::string, std::string>> const& fields)
    {
        relay::answer_head head;
        head.result(status);
        for (auto const& [name, value] : fields)
            head.set(name, value);
        return caller_binding::kind_of(head, stream_request());
    }

    void only_the_not_executed_field_proves_not_run()
    {
        using relay::answer_kind;
        std::pair<std::string, std::string> const id("Shedhill-Request-Id", "9c41");
        std::pair<std::string, std::string> const not_executed("Shedhill-Not-Executed", "1");
        std::pair<std::string, std::string> const signature("Shedhill-Server-Signature", "3e");
        CPPUNIT_ASSERT(kind_of(503, { id, not_executed }) == answer_kind::not_run);
        CPPUNIT_ASSERT(kind_of(421, { id }) == answer_kind::wrong_endpoint);
        for (auto const status : { 408U, 429U, 503U })
            CPPUNIT_ASSERT(kind_of(status, { id, signature }) == answer_kind::invalid);
        CPPUNIT_ASSERT(kind_of(500, { id, signature }) == answer_kind::answer);
        CPPUNIT_ASSERT(kind_of(200, { id, signature }) == answer_kind::answer);
        CPPUNIT_ASSERT(kind_of(200, { id }) == answer_kind::invalid);
        CPPUNIT_ASSERT(kind_of(200, { signature }) == answer_kind::invalid);
        CPPUNIT_ASSERT(kind_of(200, { id, signature, { "Content-Encoding", "gzip" } }) == answer_kind::invalid);
    }

    void an_answer_to_another_call_is_detected_by_its_id()
    {
        CPPUNIT_ASSERT(kind_of(200, { { "Shedhill-Request-Id", "other" }, { "Shedhill-Server-Signature", "3e" } })
            == relay::answer_kind::other_call);
    }

    static dispatch::endpoint_notice notice_of(
        unsigned status, std::vector<std::pair<std::string, std::string>> const& fields)
    {
        relay::answer_head head;
        head.result(status);
        for (auto const& [name, value] : fields)
            head.set(name, value);
        return caller_binding::notice_of(head);
    }

    void endpoint_notices_are_parsed_strictly()
    {
        auto const backoff_of = [](std::string const& text) {
            return notice_of(503, { { "Retry-After", text } }).backoff;
        };
        CPPUNIT_ASSERT(backoff_of("3") == milliseconds(3000));
        CPPUNIT_ASSERT(backoff_of("0.25") == milliseconds(250));
        CPPUNIT_ASSERT(backoff_of("0.0001") == milliseconds(1));
        for (auto const* nonsense :
            { "", "0", "-1", "-0", "nan", "inf", "1e3", "3 s", "soon", "0x10", "+3", "Wed, 21 Oct 2026 07:28:00 GMT" })
            CPPUNIT_ASSERT_MESSAGE(nonsense, backoff_of(nonsense) == milliseconds(0));
        // A number too large for any type is a long back-off, not an absent one.
        CPPUNIT_ASSERT(backoff_of("99999999999999999999") > std::chrono::hours(24));
        // Only an answer that refuses a request can ask for a back-off.
        for (auto const status : { 200U, 404U, 500U, 301U })
            CPPUNIT_ASSERT(notice_of(status, { { "Retry-After", "3" } }).is_empty());
        CPPUNIT_ASSERT(notice_of(429, { { "Retry-After", "3" } }).backoff == milliseconds(3000));
        // Any answer can say that its endpoint is leaving.
        for (auto const status : { 200U, 404U, 500U, 503U })
            CPPUNIT_ASSERT(notice_of(status, { { "Server-Leaving", "1" } }).is_leaving);
        CPPUNIT_ASSERT(!notice_of(200, { { "Server-Leaving", "0" } }).is_leaving);
        CPPUNIT_ASSERT(notice_of(200, {}).is_empty());
    }

    void a_refusal_has_a_retry_delay()
    {
        std::string answer;
        caller_binding::append_refusal(answer, { 429, "no_place", milliseconds(1050), true }, stream_request());
        CPPUNIT_ASSERT(answer.starts_with("HTTP/1.1 429 Too Many Requests\r\n"));
        CPPUNIT_ASSERT(answer.find("Retry-After: 1.050\r\n") != std::string::npos);
        CPPUNIT_ASSERT(answer.find("Connection: close\r\n") != std::string::npos);
    }

    static std::string configuration_text()
    {
        return R"({"version":7,"unknown":1,"routes":[{"name":"r","hostname":"h.example","path_prefix":"/a/",
            "route_type":"stream","timeout_ms":15000,"target_latency_ms":400,"priority":1,"max_attempts":2,
            "traffic_split":[{"service":"s1","weight":90},{"service":"s2","weight":10}],"stream_resume":true,
            "gap_target_ms":200},{"hostname":"h.example","path_prefix":"/b/","route_type":"unsafe","service":"s1"}],
            "services":[{"name":"s1","max_connections":300,"engine":{"capacity":48,"kv_tokens":9,"stride":6}}],
            "limits":{"max_header_bytes":1000,"idle_timeout_ms":77,"tokens_per_s":600000},
            "tenants":[{"name":"t","api_keys":["k1","k2"],"priority":1}]})";
    }

    void a_whole_configuration_is_parsed()
    {
        auto const read = table_binding::parse_configuration(configuration_text());
        CPPUNIT_ASSERT(read.has_value());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 7 }, read->revision);
        CPPUNIT_ASSERT(read->routes[0].retry == dispatch::retry_mode::resumable);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 2 }, read->routes[0].pools.size());
        CPPUNIT_ASSERT(read->routes[1].retry == dispatch::retry_mode::never);
        CPPUNIT_ASSERT(read->pools[0].is_engine());
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1000 }, read->limits.max_header_bytes);
        CPPUNIT_ASSERT(read->has_teams);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 2 }, read->teams[0].keys.size());
    }

    void allowed_regions_of_routes_and_teams_are_parsed()
    {
        auto const read = table_binding::parse_configuration(R"({"version":7,
            "routes":[{"hostname":"h","path_prefix":"/a/","route_type":"safe","service":"s","allowed_regions":["r1","r2"]},
                {"hostname":"h","path_prefix":"/b/","route_type":"safe","service":"s","allowed_regions":null}],
            "services":[{"name":"s"}],"tenants":[{"name":"t","api_keys":["k"],"allowed_regions":["r2"]}]})");
        CPPUNIT_ASSERT(read.has_value());
        CPPUNIT_ASSERT((read->routes[0].allowed_regions == std::vector { region_name("r1"), region_name("r2") }));
        CPPUNIT_ASSERT(read->routes[1].allowed_regions.empty());
        CPPUNIT_ASSERT(read->teams[0].allowed_regions == std::vector { region_name("r2") });
    }

    // A restriction that cannot be parsed must not count as no restriction.
    void regions_that_cannot_be_read_refuse_the_configuration()
    {
        for (auto const* regions : { "\"r1\"", "[1]", "{}", "true" }) {
            auto const text = std::string(R"({"version":7,"routes":[{"hostname":"h","path_prefix":"/a/",
                "route_type":"safe","service":"s","allowed_regions":)")
                + regions + R"(}],"services":[{"name":"s"}]})";
            auto const read = table_binding::parse_configuration(text);
            CPPUNIT_ASSERT(!read);
            CPPUNIT_ASSERT(read.error().reason.find("allowed_regions") != std::string::npos);
        }
    }

    void a_bad_configuration_is_refused_with_the_fields_name()
    {
        CPPUNIT_ASSERT(!table_binding::parse_configuration("{"));
        CPPUNIT_ASSERT(!table_binding::parse_configuration("[]"));
        auto const no_version = table_binding::parse_configuration(R"({"routes":[]})");
        CPPUNIT_ASSERT(no_version.error().reason.find("version") != std::string::npos);
        auto const bad_route
            = table_binding::parse_configuration(R"({"version":1,"routes":[{"path_prefix":"/","route_type":"safe"}]})");
        CPPUNIT_ASSERT(bad_route.error().reason.find("hostname") != std::string::npos);
        CPPUNIT_ASSERT(!table_binding::parse_configuration(R"({"version":1,"routes":7})"));
        CPPUNIT_ASSERT(!table_binding::parse_configuration(R"({"version":-4})"));
    }

    void an_endpoint_row_is_parsed()
    {
        auto const read = table_binding::parse_endpoint("i-7", endpoint_text({ { "state", R"("draining")" } }));
        CPPUNIT_ASSERT_EQUAL(std::string("i-7"), read->name.value());
        CPPUNIT_ASSERT_EQUAL(std::uint32_t { 48 }, read->slots);
        CPPUNIT_ASSERT(read->is_draining);
        CPPUNIT_ASSERT_EQUAL(std::string("v1"), read->version);
        CPPUNIT_ASSERT(!table_binding::parse_endpoint("i-8", R"({"service":"s"})"));
        CPPUNIT_ASSERT(!table_binding::parse_endpoint("i-9", "what"));
    }

    // Returns an endpoint's row as endpoints write it, with some fields replaced. An empty text leaves a field out.
    static std::string endpoint_text(std::map<std::string, std::string> const& changed = {})
    {
        std::map<std::string, std::string> fields { { "service", R"("s")" }, { "address", R"("10.0.0.9:80")" },
            { "zone", R"("north")" }, { "version", R"("v1")" }, { "capacity", "48" }, { "state", R"("ready")" },
            { "cold_remaining_ms", "0" }, { "sequence", "4" } };
        for (auto const& [name, text] : changed)
            fields[name] = text;
        std::string row;
        for (auto const& [name, text] : fields) {
            if (text.empty())
                continue;
            row.append(row.empty() ? "{\"" : ",\"").append(name).append("\":").append(text);
        }
        return row + "}";
    }

    // A row of another writer is refused, whichever of its fields is missing or of another type.
    void a_row_of_another_writer_names_no_endpoint()
    {
        testing::check_property("a bad field refuses the row", [] {
            auto const name = *rc::gen::element<std::string>(
                "service", "address", "zone", "version", "capacity", "state", "cold_remaining_ms", "sequence");
            auto const bad = *rc::gen::element<std::string>("", "null", "[]", "{}", "true");
            RC_ASSERT(!table_binding::parse_endpoint("i", endpoint_text({ { name, bad } })));
        });
        CPPUNIT_ASSERT(table_binding::parse_endpoint("i", endpoint_text()));
        for (auto const* text : { R"("leaving")", R"("")", "7" })
            CPPUNIT_ASSERT(!table_binding::parse_endpoint("i", endpoint_text({ { "state", text } })));
        for (auto const* text : { "1.5", "-1", R"("12")" })
            CPPUNIT_ASSERT(!table_binding::parse_endpoint("i", endpoint_text({ { "capacity", text } })));
    }

    void odd_rows_of_another_writer_are_read_safely()
    {
        constexpr std::size_t deep = 100'000;
        auto const nested = std::string(deep, '[') + std::string(deep, ']');
        for (auto const& text : { nested, std::string(deep, '{'), std::string("\0\xff\xfe", 3), std::string("null") })
            CPPUNIT_ASSERT(!table_binding::parse_endpoint("i", text));
        for (auto const* const field : { "service", "zone", "capacity", "more" })
            CPPUNIT_ASSERT(!table_binding::parse_endpoint("i", endpoint_text({ { field, nested } })));
        for (auto const* const number : { "1e400", "1e308", "18446744073709551616", "-9223372036854775809", "-1" })
            for (auto const* const field : { "capacity", "sequence", "born" })
                CPPUNIT_ASSERT_MESSAGE(
                    number, !table_binding::parse_endpoint("i", endpoint_text({ { field, number } })));
        // A cold time out of range is replaced by the usual one.
        auto const cold = table_binding::parse_endpoint("i", endpoint_text({ { "cold_remaining_ms", "1e308" } }));
        CPPUNIT_ASSERT(cold && cold->cold_time_left == milliseconds(10'000));
    }

    // Guards against a list that is not read to its end, and against calls to the store that another writer's key adds.
    void a_page_after_an_odd_key_is_asked_for()
    {
        auto const line_of = [](std::string const& key) {
            auto const call = table_binding::read_call("store", relay::table_name::endpoints, key);
            CPPUNIT_ASSERT_EQUAL(std::string("\r\nHost: store\r\n\r\n"), call.substr(call.find("\r\n")));
            return call.substr(0, call.find("\r\n"));
        };
        auto const line = std::string("GET /rows-get?table=servers&part=&source=");
        CPPUNIT_ASSERT_EQUAL(line + "i-7f3a.91~c_2%00 HTTP/1.1", line_of("i-7f3a.91~c_2"));
        CPPUNIT_ASSERT_EQUAL(line + "a%20b%26c%3D%25%23%2B%00 HTTP/1.1", line_of("a b&c=%#+"));
        CPPUNIT_ASSERT_EQUAL(line + "%0D%0A%0D%0AGET%20%2F%00 HTTP/1.1", line_of("\r\n\r\nGET /"));
        CPPUNIT_ASSERT_EQUAL(line + "%C3%A9%FF%00%00 HTTP/1.1", line_of(std::string("\xc3\xa9\xff\0", 4)));
    }

    void the_start_time_is_parsed()
    {
        auto const started_at_ms = [](std::string const& text) {
            auto const read = table_binding::parse_endpoint("i", endpoint_text({ { "born", text } }));
            return read ? static_cast<std::int64_t>(read->started_at_ms) : -1;
        };
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 1781817594010 }, started_at_ms("1781817594010"));
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 0 }, started_at_ms(""));
        for (auto const* text : { "1781817594010.5", "-3", R"("now")", "[]" })
            CPPUNIT_ASSERT_EQUAL(std::int64_t { -1 }, started_at_ms(text));
    }

    void rows_are_decoded()
    {
        auto const page = table_binding::parse_page(
            R"({"rows":[{"table":"a","part":"","tls_key":"k","value":"bm9kZS0x","ver":412},)"
            R"({"tls_key":"old","gone":true,"ver":413}],"more":true,"ver":530})");
        CPPUNIT_ASSERT_EQUAL(std::string("node-1"), page->rows[0].value);
        CPPUNIT_ASSERT(page->rows[1].is_gone);
        CPPUNIT_ASSERT(page->has_more);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 530 }, page->version);
        // A value of another writer that cannot be decoded is empty, and the rows beside it remain valid.
        auto const malformed = table_binding::parse_page(
            R"({"rows":[{"tls_key":"k","value":"%%%","ver":1},{"tls_key":"l","value":7,"ver":2},)"
            R"({"tls_key":"m","value":"bm9kZS0x","ver":3}],"ver":3})");
        CPPUNIT_ASSERT_EQUAL(std::size_t { 3 }, malformed->rows.size());
        CPPUNIT_ASSERT(malformed->rows[0].value.empty());
        CPPUNIT_ASSERT(malformed->rows[1].value.empty());
        CPPUNIT_ASSERT_EQUAL(std::string("node-1"), malformed->rows[2].value);
        auto const put = table_binding::put_call("s", relay::table_name::routers, "k", "node-1");
        CPPUNIT_ASSERT(put.find("bm9kZS0x") != std::string::npos);
    }

    void arbitrary_bytes_are_parsed_safely()
    {
        testing::check_property("bad input is refused and nothing else happens", [] {
            auto text = configuration_text();
            auto const position = *rc::gen::inRange<std::size_t>(0, text.size());
            auto const letter = *rc::gen::arbitrary<char>();
            text[position] = letter;
            (void)table_binding::parse_configuration(text);
            (void)table_binding::parse_configuration(text.substr(0, position));
            (void)table_binding::parse_page(text);
            (void)table_binding::parse_endpoint("x", text);
            (void)parse_settings(text);
            (void)peering::decode_body(text);
        });
    }

    void settings_are_parsed_and_validated()
    {
        auto const read = parse_settings(R"({"node_name":"edge-1","zone":"north","ip":"10.1.0.33",
            "listen":{"frontend":"10.1.0.33:8783","ready":"10.1.0.33:8780","control_plane":"10.1.0.33:8785"},
            "zones":{"north":"inland","south":"coast","odd":7},
            "port_range":[7400,7415],"seed_nodes":["10.2.0.18:8785"],"limits":{"max_fds":4200,"memory_mb":88,"cpu_quota":0.19,"bandwidth_mbps":1000.0},
            "bounds":{"grace_s":8,"drain_ms":3000,"retry_budget_ratio":0.2,"retry_slack":54,"retry_window_s":10},
            "platform":{"address":"10.200.1.7:8781"},"data_dir":null})");
        CPPUNIT_ASSERT(read.has_value());
        CPPUNIT_ASSERT_EQUAL(std::string("10.1.0.33:7400"), read->metrics_address);
        CPPUNIT_ASSERT(read->stop_time == milliseconds(8000));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 2 }, read->regions.size());
        CPPUNIT_ASSERT_EQUAL(std::string("coast"), read->regions.at(failure_domain("south")).value());
        CPPUNIT_ASSERT(read->leaving_bound == milliseconds(3000));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 4200 }, read->file_descriptor_limit);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 88000000 }, read->memory_bytes);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0.19, read->cpu_cores, 0.001);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(1000, read->link_megabits_per_second, 0.001);
        auto const missing = parse_settings(R"({"node_name":"edge-1","zone":"north","listen":{}})");
        CPPUNIT_ASSERT(missing.error().reason.find("frontend") != std::string::npos);
        CPPUNIT_ASSERT(!parse_settings("no"));
    }

    void an_evacuation_names_its_failure_domain()
    {
        CPPUNIT_ASSERT_EQUAL(
            std::string("north"), table_binding::evacuated_domain("evacuate/north").value_or(failure_domain()).value());
        CPPUNIT_ASSERT(!table_binding::evacuated_domain("evacuate/"));
        CPPUNIT_ASSERT(!table_binding::evacuated_domain("config"));
        CPPUNIT_ASSERT(!table_binding::evacuated_domain("evacuated"));
    }

    void the_cold_time_of_a_row_is_parsed_strictly()
    {
        auto const cold_time_left = [](std::string const& text) {
            auto const read = table_binding::parse_endpoint("i-1", endpoint_text({ { "cold_remaining_ms", text } }));
            return read ? read->cold_time_left.count() : -1;
        };
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 0 }, cold_time_left("0"));
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 2501 }, cold_time_left("2500.5"));
        // A number out of range counts as cold. Any other type means that another program wrote the row.
        for (auto const* text : { "-1", "1e300" })
            CPPUNIT_ASSERT_EQUAL(std::int64_t { 10000 }, cold_time_left(text));
        for (auto const* text : { "\"soon\"", "[]", "true", "null" })
            CPPUNIT_ASSERT_EQUAL(std::int64_t { -1 }, cold_time_left(text));
    }

    // Returns a document with this number of routes.
    static std::string growing_configuration(std::size_t routes)
    {
        std::string text = R"({"version":7,"routes":[)";
        for (std::size_t index = 0; index < routes; ++index)
            text += (index == 0 ? "" : ",") + std::string(R"({"hostname":"shop","path_prefix":"/p)")
                + std::to_string(index) + R"(/","route_type":"safe","service":"plain"})";
        return text + R"(],"services":[{"name":"plain"}],"tenants":[{"name":"red","api_keys":["k"]}]})";
    }

    static std::size_t steps_for(std::string const& document)
    {
        configuration_parser parser { document };
        while (!parser.advance()) { }
        CPPUNIT_ASSERT(parser.take().has_value());
        return parser.steps();
    }

    // A document of any size is handled in steps of the same size, so twice as many routes take twice as many steps.
    void a_step_of_reading_a_configuration_is_bounded()
    {
        constexpr std::size_t routes = 8500;
        auto const document = growing_configuration(routes);
        auto const steps = steps_for(document);
        CPPUNIT_ASSERT(steps >= document.size() / configuration_parser::bytes_per_step);
        CPPUNIT_ASSERT(steps >= routes / configuration_parser::entries_per_step);
        constexpr std::size_t other_steps = 8;
        CPPUNIT_ASSERT(steps_for(growing_configuration(2 * routes)) <= 2 * steps + other_steps);
    }

    void a_configuration_read_in_steps_is_the_same()
    {
        auto const read = table_binding::parse_configuration(growing_configuration(300));
        CPPUNIT_ASSERT(read.has_value());
        CPPUNIT_ASSERT_EQUAL(std::size_t { 300 }, read->routes.size());
        CPPUNIT_ASSERT_EQUAL(std::string("/p299/"), read->routes.back().path_prefix);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, read->pools.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, read->teams.size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(binding_test);

} // namespace shedhill::platform_binding
