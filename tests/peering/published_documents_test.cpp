// SPDX-License-Identifier: BSD-2-Clause
// Tests how often a router requests a document of which other routers report a newer version.
#include "libraries/peering/published_documents.h"

#include <cppunit/extensions/HelperMacros.h>

namespace shedhill::peering {

class published_documents_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(published_documents_test);
    CPPUNIT_TEST(a_document_on_its_way_is_not_requested_again_and_again);
    CPPUNIT_TEST(a_newer_version_is_requested_after_the_usual_time);
    CPPUNIT_TEST_SUITE_END();

    static instant at(std::int64_t time) { return instant(milliseconds(time)); }

    // Offers the version every 100 ms, as reports of other routers do, and returns the times of requests.
    static std::vector<std::int64_t> request_times(
        published_documents& documents, std::uint64_t version, std::int64_t from, std::int64_t until)
    {
        std::vector<std::int64_t> times;
        for (auto time = from; time <= until; time += 100) {
            if (documents.try_request(document_kind::configuration, { vm_name("a"), version, at(time) }, at(time)))
                times.push_back(time);
        }
        return times;
    }

    // A document of 1.1 MB takes 1 s on a link of 10 Mbit/s, and more beside others.
    void a_document_on_its_way_is_not_requested_again_and_again()
    {
        published_documents documents;
        auto const times = request_times(documents, 7, 1000, 5000);
        CPPUNIT_ASSERT(times == (std::vector<std::int64_t> { 1000, 1400, 2200, 3800 }));
    }

    void a_newer_version_is_requested_after_the_usual_time()
    {
        published_documents documents;
        (void)request_times(documents, 7, 1000, 3800);
        auto const times = request_times(documents, 8, 3900, 4300);
        CPPUNIT_ASSERT(times == (std::vector<std::int64_t> { 4200 }));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(published_documents_test);

} // namespace shedhill::peering
