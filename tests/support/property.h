// SPDX-License-Identifier: BSD-2-Clause
// Checks RapidCheck properties as CppUnit assertions. The seed is fixed unless the environment variable RC_PARAMS sets
// another one.
#pragma once

#include <cppunit/extensions/HelperMacros.h>
#include <cstdlib>
#include <rapidcheck.h>
#include <string>
#include <utility>

namespace shedhill::testing {

template <typename Property>
void check_property(std::string const& description, Property&& property)
{
    // NOTE: RapidCheck reads this variable once, at the first property. A value from the environment takes precedence.
    setenv("RC_PARAMS", "seed=20261202 max_success=100", 0);
    CPPUNIT_ASSERT_MESSAGE(description, rc::check(description, std::forward<Property>(property)));
}

} // namespace shedhill::testing
