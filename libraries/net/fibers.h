// SPDX-License-Identifier: BSD-2-Clause
// Starts fibers with stacks of one size, guarded against overflow.
#pragma once

#include <boost/fiber/fiber.hpp>
#include <boost/fiber/protected_fixedsize_stack.hpp>
#include <cstddef>
#include <utility>

namespace shedhill::net {

constexpr std::size_t fiber_stack_size = std::size_t { 96 } << 10;

template <typename Body>
void start_fiber(Body&& body)
{
    boost::fibers::fiber(boost::fibers::launch::post, std::allocator_arg,
        boost::fibers::protected_fixedsize_stack(fiber_stack_size), std::forward<Body>(body))
        .detach();
}

} // namespace shedhill::net
