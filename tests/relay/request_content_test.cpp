// SPDX-License-Identifier: BSD-2-Clause
// Which requests count as the same.
#include "libraries/relay/request_content.h"

#include <cppunit/extensions/HelperMacros.h>

namespace shedhill::relay {

class request_content_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(request_content_test);
    CPPUNIT_TEST(a_request_that_comes_again_has_the_same_content);
    CPPUNIT_TEST(another_method_host_target_or_body_is_another_content);
    CPPUNIT_TEST_SUITE_END();

    static caller_request make_request(std::string const& target = "/a/b?c=d", std::string const& body = "body")
    {
        caller_request request { http::verb::post, target, 11, body };
        request.set("Host", "shop.example");
        return request;
    }

    void a_request_that_comes_again_has_the_same_content()
    {
        auto again = make_request();
        again.set("X-Id", "another");
        CPPUNIT_ASSERT(content_of(make_request()) == content_of(again));
    }

    void another_method_host_target_or_body_is_another_content()
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
