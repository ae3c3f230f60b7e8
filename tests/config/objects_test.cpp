// SPDX-License-Identifier: BSD-2-Clause
// Tests which declarations are accepted and the error messages for invalid ones.
#include "libraries/config/objects.h"

#include <cppunit/extensions/HelperMacros.h>

namespace shedhill::config {

class objects_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(objects_test);
    CPPUNIT_TEST(serialized_objects_parse_to_equal_objects);
    CPPUNIT_TEST(a_misspelt_field_is_refused_by_name);
    CPPUNIT_TEST(values_out_of_range_are_refused);
    CPPUNIT_TEST(one_bad_declaration_refuses_the_file);
    CPPUNIT_TEST(a_duplicate_declaration_is_refused);
    CPPUNIT_TEST(selectors_match_by_value_and_list);
    CPPUNIT_TEST_SUITE_END();

    static std::string refusal(std::string const& text)
    {
        auto const parsed = parse_declarations(text, "file.json");
        CPPUNIT_ASSERT(!parsed);
        return parsed.error().to_string();
    }

    static bool contains(std::string const& text, std::string const& part)
    {
        return text.find(part) != std::string::npos;
    }

    void serialized_objects_parse_to_equal_objects()
    {
        auto const text = R"([
            {"kind": "team", "name": "editors", "partner": "recetario", "weight": 3, "labels": {"desk": "menus"}},
            {"kind": "endpoint", "name": "e1", "partner": "batinah", "pool": "parts", "failure_domain": "barka-hall"},
            {"kind": "policy", "name": "lend", "partner": "batinah", "action": "share", "own_first": true,
             "teams": {"partner": ["recetario", "batinah"]}, "endpoints": {"pool": "parts"}}])";
        auto const parsed = parse_declarations(text, "file.json");
        CPPUNIT_ASSERT(parsed);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 3 }, parsed->size());
        for (auto const& declared : *parsed)
            CPPUNIT_ASSERT(parse_object(to_json(declared)).value() == declared);
    }

    void a_misspelt_field_is_refused_by_name()
    {
        auto const text = refusal(R"({"kind": "team", "name": "a", "partner": "p", "wieght": 2})");
        CPPUNIT_ASSERT(contains(text, "file.json"));
        CPPUNIT_ASSERT(contains(text, "'wieght' is not a known field"));
        CPPUNIT_ASSERT(contains(text, "\"a\""));
    }

    void values_out_of_range_are_refused()
    {
        CPPUNIT_ASSERT(contains(
            refusal(R"({"kind": "team", "name": "a", "partner": "p", "weight": 0})"), "whole number from 1 to 1000"));
        CPPUNIT_ASSERT(
            contains(refusal(R"({"kind": "team", "name": "a", "partner": "p", "key_hashes": ["abc"]})"), "SHA-256"));
        CPPUNIT_ASSERT(contains(refusal(R"({"kind": "team", "name": "a/b", "partner": "p"})"), "'name'"));
        CPPUNIT_ASSERT(contains(
            refusal(R"({"kind": "team", "name": "a", "partner": "p", "labels": {"partner": "q"}})"), "built in"));
        CPPUNIT_ASSERT(
            contains(refusal(R"({"kind": "policy", "name": "a", "partner": "p", "action": "use", "own_first": true})"),
                "belongs to a share policy"));
    }

    void one_bad_declaration_refuses_the_file()
    {
        CPPUNIT_ASSERT(contains(
            refusal(R"([{"kind": "team", "name": "a", "partner": "p"}, {"kind": "tem"}])"), "'name' is missing"));
        CPPUNIT_ASSERT(contains(refusal("[{]"), "not valid JSON"));
    }

    void a_duplicate_declaration_is_refused()
    {
        auto const one = std::string(R"({"kind": "team", "name": "a", "partner": "p"})");
        CPPUNIT_ASSERT(contains(refusal("[" + one + "," + one + "]"), "team:p/a is declared twice"));
    }

    void selectors_match_by_value_and_list()
    {
        selector const matcher { { { "desk", { "menus", "tags" } }, { "partner", { "recetario" } } } };
        CPPUNIT_ASSERT(matcher.matches({ { "desk", "tags" }, { "partner", "recetario" } }));
        CPPUNIT_ASSERT(!matcher.matches({ { "desk", "mail" }, { "partner", "recetario" } }));
        CPPUNIT_ASSERT(!matcher.matches({ { "partner", "recetario" } }));
        CPPUNIT_ASSERT(selector {}.matches({}));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(objects_test);

} // namespace shedhill::config
