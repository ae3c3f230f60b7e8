// SPDX-License-Identifier: BSD-2-Clause
// Tests which requests have the same content.
#include "libraries/relay/request_content.h"

#include <cppunit/extensions/HelperMacros.h>

namespace shedhill::relay {

class request_content_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(request_content_test);
    CPPUNIT_TEST(a_repeated_request_has_the_same_content);
    CPPUNIT_TEST(method_host_target_and_body_change_the_content);
    CPPUNIT_TEST_SUITE_END();

    static caller_request make_request(std::string const& target = "/a/b?c=d", std::string const& body = "body")
    {
        caller_request request { http::verb::post, target, 11, body };
        request.set("Host", "shop.example");
        return request;
    }

    void a_repeated_request_has_the_same_content()
    {
        auto again = make_request();
        again.set("X-Id", "another");
        CPPUNIT_ASSERT(content_of(make_request()) == content_of(again));
    }

    void method_host_target_and_body_change_the_content()
    {
        auto const content = content_of(make_request());
        auto other_method = make_request();
        other_method.method(http::verb::put);
        auto other_host = make_request();
        other_host.set("Host", "shop.exampl");
        CPPUNIT_ASSERT(content != content_of(other_method));
        CPPUNIT_ASSERT(content != content_of(other_host));
        CPPUNIT_ASSERT(content != content_of(make_request("/a/b?c=e")));
        CPPUNIT_ASSERT(content != content_of(make_request("/a/b?c=d", "bodz")));
        CPPUNIT_ASSERT(content != content_of(make_request("/a/b?c=db", "ody")));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(request_content_test);

} // namespace shedhill::relay
