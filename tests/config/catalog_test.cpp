// SPDX-License-Identifier: BSD-2-Clause
// Tests that the revision of a catalog only increases and that sharing an endpoint requires policies of both partners.
#include "libraries/config/catalog.h"

#include <cppunit/extensions/HelperMacros.h>

namespace shedhill::config {

class catalog_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(catalog_test);
    CPPUNIT_TEST(changes_apply_in_order_and_once);
    CPPUNIT_TEST(an_older_snapshot_changes_nothing);
    CPPUNIT_TEST(a_snapshot_restores_everything);
    CPPUNIT_TEST(sharing_needs_both_partners);
    CPPUNIT_TEST(a_drained_endpoint_is_not_allowed);
    CPPUNIT_TEST(a_change_of_the_other_partners_objects_is_refused);
    CPPUNIT_TEST(a_changed_key_no_longer_finds_the_team);
    CPPUNIT_TEST_SUITE_END();

    // A string with the length of a SHA-256 hash in hexadecimal.
    static std::string hash_of(std::string const& name) { return std::string(64, name.front()); }

    static team make_team(std::string const& partner, std::string const& name)
    {
        team created;
        created.partner = partner_name(partner);
        created.name = team_name(partner + "/" + name);
        created.key_hashes = { hash_of(name) };
        return created;
    }

    static endpoint make_endpoint(std::string const& partner)
    {
        endpoint created;
        created.partner = partner_name(partner);
        created.name = endpoint_name(partner + "/e");
        created.pool = pool_name("cook");
        created.domain = failure_domain("barranco");
        return created;
    }

    static policy make_policy(std::string const& partner, policy_action action)
    {
        policy created;
        created.partner = partner_name(partner);
        created.name = partner + (action == policy_action::use ? "/use" : "/share");
        created.action = action;
        return created;
    }

    static change put(std::vector<object> objects)
    {
        return { "id", object_partner(objects.front()), std::move(objects), {} };
    }

    void changes_apply_in_order_and_once()
    {
        catalog current;
        CPPUNIT_ASSERT(!current.apply(revision(2), put({ make_team("r", "a") })));
        CPPUNIT_ASSERT(current.apply(revision(1), put({ make_team("r", "a") })));
        CPPUNIT_ASSERT(!current.apply(revision(1), { "id", partner_name("r"), {}, { "team:r/a" } }));
        CPPUNIT_ASSERT(current.find_team(team_name("r/a")) != nullptr);
        CPPUNIT_ASSERT(current.apply(revision(2), { "id", partner_name("r"), {}, { "team:r/a" } }));
        CPPUNIT_ASSERT(current.find_team(team_name("r/a")) == nullptr);
        CPPUNIT_ASSERT(current.find_team_by_key_hash(hash_of("a")) == nullptr);
    }

    void an_older_snapshot_changes_nothing()
    {
        catalog current;
        current.apply(revision(1), put({ make_team("r", "a") }));
        auto const old = current.snapshot();
        current.apply(revision(2), put({ make_team("r", "b") }));
        CPPUNIT_ASSERT_EQUAL(false, current.load_snapshot(old).value());
        CPPUNIT_ASSERT(current.find_team(team_name("r/b")) != nullptr);
        CPPUNIT_ASSERT(current.current_revision() == revision(2));
    }

    void a_snapshot_restores_everything()
    {
        catalog current;
        current.apply(
            revision(1), put({ make_team("r", "a"), make_endpoint("r"), make_policy("r", policy_action::use) }));
        catalog restored;
        CPPUNIT_ASSERT(restored.load_snapshot(current.snapshot()).value());
        CPPUNIT_ASSERT(restored.objects() == current.objects());
        CPPUNIT_ASSERT(restored.find_team_by_key_hash(hash_of("a")) != nullptr);
        CPPUNIT_ASSERT(!restored.load_snapshot("{}").has_value());
    }

    void sharing_needs_both_partners()
    {
        catalog current;
        auto const team = make_team("r", "a");
        auto const endpoint = make_endpoint("b");
        CPPUNIT_ASSERT(!current.explain(team, endpoint).is_allowed);
        current.apply(revision(1), put({ make_policy("r", policy_action::use) }));
        CPPUNIT_ASSERT_EQUAL(std::string("no share policy of b selects both"), current.explain(team, endpoint).reason);
        current.apply(revision(2), put({ make_policy("b", policy_action::share) }));
        CPPUNIT_ASSERT(current.explain(team, endpoint).is_allowed);
        CPPUNIT_ASSERT(!current.explain(team, endpoint).is_own);
        current.apply(revision(3), { "id", partner_name("r"), {}, { "policy:r/use" } });
        CPPUNIT_ASSERT_EQUAL(std::string("no use policy of r selects both"), current.explain(team, endpoint).reason);
    }

    void a_drained_endpoint_is_not_allowed()
    {
        catalog current;
        current.apply(revision(1), put({ make_policy("r", policy_action::use) }));
        auto endpoint = make_endpoint("r");
        CPPUNIT_ASSERT(current.explain(make_team("r", "a"), endpoint).is_allowed);
        endpoint.labels[drain_label] = "true";
        CPPUNIT_ASSERT(!current.explain(make_team("r", "a"), endpoint).is_allowed);
    }

    void a_change_of_the_other_partners_objects_is_refused()
    {
        change created = put({ make_team("r", "a") });
        CPPUNIT_ASSERT(check_ownership(created));
        created.removals = { "team:b/x" };
        CPPUNIT_ASSERT(!check_ownership(created));
        created.removals.clear();
        created.author = partner_name("b");
        CPPUNIT_ASSERT(!check_ownership(created));
    }

    void a_changed_key_no_longer_finds_the_team()
    {
        catalog current;
        current.apply(revision(1), put({ make_team("r", "a") }));
        auto changed = make_team("r", "a");
        changed.key_hashes = { "other" };
        current.apply(revision(2), put({ changed }));
        CPPUNIT_ASSERT(current.find_team_by_key_hash(hash_of("a")) == nullptr);
        CPPUNIT_ASSERT(current.find_team_by_key_hash("other") != nullptr);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(catalog_test);

} // namespace shedhill::config
