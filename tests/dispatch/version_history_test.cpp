// SPDX-License-Identifier: BSD-2-Clause
// Tests what a router concludes from the versions that it lists, and the memory of streams.
#include "libraries/dispatch/streams/version_history.h"

#include "base/hash.h"
#include "libraries/dispatch/streams/stream_directory.h"

#include <cppunit/extensions/HelperMacros.h>

namespace shedhill::dispatch {

class version_history_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(version_history_test);
    CPPUNIT_TEST(no_stream_begins_at_a_new_version_before_all_routers_list_it);
    CPPUNIT_TEST(a_version_that_is_gone_stays_possible_for_the_lifetime_of_a_stream);
    CPPUNIT_TEST(equal_versions_of_two_pools_are_different_software);
    CPPUNIT_TEST(a_router_that_has_just_started_learns_the_history_from_another);
    CPPUNIT_TEST(the_first_list_settles_the_version_of_most_endpoints);
    CPPUNIT_TEST(stored_versions_are_kept_until_the_first_list_arrives);
    CPPUNIT_TEST(a_flood_of_streams_takes_bounded_memory);
    CPPUNIT_TEST(one_stream_passes_others_a_few_times_only);
    CPPUNIT_TEST_SUITE_END();

    static constexpr milliseconds bound { 2000 };

    static instant at(std::int64_t ms) { return instant(milliseconds(ms)); }
    static pool_name pool() { return pool_name("model"); }
    static software_key software(std::string const& version) { return key_of_software(pool(), version); }
    static listed_software listed(std::string const& version, std::size_t endpoints = 1)
    {
        return { pool(), software(version), endpoints };
    }

    static version_history make_history()
    {
        version_history history(bound);
        history.set_stream_lifetime(milliseconds(30000));
        return history;
    }

    static std::size_t count_possible(version_history const& history, instant now)
    {
        std::vector<software_key> possible;
        history.append_possible(pool(), possible, now);
        return possible.size();
    }

    void no_stream_begins_at_a_new_version_before_all_routers_list_it()
    {
        auto history = make_history();
        history.apply_list({ listed("v1") }, at(0));
        CPPUNIT_ASSERT(history.may_begin(pool(), software("v1"), at(0)));
        history.apply_list({ listed("v1"), listed("v2") }, at(10000));
        CPPUNIT_ASSERT(history.may_begin(pool(), software("v1"), at(10000)));
        CPPUNIT_ASSERT(history.is_settling(at(12000)));
        CPPUNIT_ASSERT(!history.may_begin(pool(), software("v2"), at(12000)));
        CPPUNIT_ASSERT(history.may_begin(pool(), software("v2"), at(12500)));
        CPPUNIT_ASSERT(!history.is_settling(at(12500)));
        CPPUNIT_ASSERT(!history.has_one_version(pool()));
    }

    void a_version_that_is_gone_stays_possible_for_the_lifetime_of_a_stream()
    {
        auto history = make_history();
        history.apply_list({ listed("v1"), listed("v2") }, at(0));
        history.apply_list({ listed("v2") }, at(40000));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 2 }, count_possible(history, at(70000)));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, count_possible(history, at(70001)));
        history.apply_list({ listed("v2") }, at(70001));
        CPPUNIT_ASSERT(history.has_one_version(pool()));
    }

    void equal_versions_of_two_pools_are_different_software()
    {
        CPPUNIT_ASSERT(key_of_software(pool_name("model"), "v1") != key_of_software(pool_name("other"), "v1"));
    }

    void a_router_that_has_just_started_learns_the_history_from_another()
    {
        auto informed = make_history();
        informed.apply_list({ listed("v1"), listed("v2") }, at(0));
        informed.apply_list({ listed("v2") }, at(20000));
        auto started = make_history();
        started.apply_list({ listed("v2") }, at(40000));
        CPPUNIT_ASSERT(!started.is_complete(at(40000)));
        started.merge(informed.sightings(at(40000)), informed.observed(at(40000)), at(40000));
        CPPUNIT_ASSERT(started.is_complete(at(40000)));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 2 }, count_possible(started, at(40000)));
        // A router that has not observed for the lifetime of a stream itself completes no other.
        auto late = make_history();
        late.apply_list({ listed("v2") }, at(40000));
        late.merge(started.sightings(at(40000)), milliseconds(29000), at(40000));
        CPPUNIT_ASSERT(!late.is_complete(at(40000)));
    }

    void the_first_list_settles_the_version_of_most_endpoints()
    {
        auto history = make_history();
        history.apply_list({ listed("v1", 5), listed("v2", 1) }, at(0));
        CPPUNIT_ASSERT(history.may_begin(pool(), software("v1"), at(0)));
        CPPUNIT_ASSERT(!history.may_begin(pool(), software("v2"), at(0)));
        history.merge(
            { { key_of(pool()), software("v2"), milliseconds(0), milliseconds(300) } }, milliseconds(0), at(100));
        CPPUNIT_ASSERT(history.may_begin(pool(), software("v2"), at(400)));
    }

    void stored_versions_are_kept_until_the_first_list_arrives()
    {
        stored_version const first { key_of(pool()), software("v1"), true };
        auto history = make_history();
        history.restore({ { first }, true }, at(0));
        CPPUNIT_ASSERT(history.stored(at(0)) == std::vector { first });
        history.apply_list({ listed("v2") }, at(100));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 2 }, history.stored(at(100)).size());
        CPPUNIT_ASSERT(history.is_complete(at(100)));
    }

    void a_flood_of_streams_takes_bounded_memory()
    {
        stream_directory streams;
        for (std::uint64_t index = 0; index < 2 * stream_directory::max_records; ++index)
            CPPUNIT_ASSERT(streams.record(stream_key(index), software("v1"), at(30000)));
        CPPUNIT_ASSERT_EQUAL(stream_directory::max_records, streams.size());
        CPPUNIT_ASSERT(!streams.find(stream_key(0), at(0)));
        CPPUNIT_ASSERT(streams.find(stream_key(2 * stream_directory::max_records - 1), at(0)));
        streams.forget_old(at(30001));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 0 }, streams.size());
    }

    void one_stream_passes_others_a_few_times_only()
    {
        stream_directory streams;
        (void)streams.record(stream_key(1), software("v1"), at(30000));
        for (int index = 0; index < stream_directory::max_precedences; ++index)
            CPPUNIT_ASSERT(streams.take_precedence(stream_key(1)));
        CPPUNIT_ASSERT(!streams.take_precedence(stream_key(1)));
        CPPUNIT_ASSERT(!streams.take_precedence(stream_key(2)));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(version_history_test);

} // namespace shedhill::dispatch
