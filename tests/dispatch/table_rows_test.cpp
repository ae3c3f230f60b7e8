// SPDX-License-Identifier: BSD-2-Clause
// Tests that the hashes of a table depend on its rows only, not on the changes that led to them.
#include "libraries/dispatch/store/table_rows.h"
#include "tests/support/property.h"

#include <cppunit/extensions/HelperMacros.h>
#include <tuple>
#include <vector>

namespace shedhill::dispatch {

class table_rows_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(table_rows_test);
    CPPUNIT_TEST(hashes_depend_on_the_rows_only);
    CPPUNIT_TEST(another_version_of_a_row_changes_the_digest);
    CPPUNIT_TEST_SUITE_END();

    void hashes_depend_on_the_rows_only()
    {
        testing::check_property("hashes depend on the rows only", [] {
            auto const changes = *rc::gen::container<std::vector<std::tuple<int, bool>>>(
                rc::gen::tuple(rc::gen::inRange(0, 6), rc::gen::arbitrary<bool>()));
            table_rows changed;
            std::uint64_t version = 0;
            for (auto const& [number, is_removed] : changes) {
                ++version;
                if (is_removed)
                    changed.remove(std::to_string(number));
                else
                    changed.put(std::to_string(number), { "", version });
            }
            table_rows const read(changed.all());
            RC_ASSERT(read.digest() == changed.digest());
            RC_ASSERT(read.keys_hash() == changed.keys_hash());
        });
    }

    void another_version_of_a_row_changes_the_digest()
    {
        table_rows rows;
        CPPUNIT_ASSERT(rows.digest() != 0);
        rows.put("a", { "1", 1 });
        table_rows const before = rows;
        rows.put("a", { "2", 2 });
        CPPUNIT_ASSERT(rows.digest() != before.digest());
        CPPUNIT_ASSERT_EQUAL(before.keys_hash(), rows.keys_hash());
        rows.remove("a");
        CPPUNIT_ASSERT_EQUAL(table_rows().digest(), rows.digest());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(table_rows_test);

} // namespace shedhill::dispatch
