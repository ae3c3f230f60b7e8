// SPDX-License-Identifier: BSD-2-Clause
// Starts detached fibers whose stacks have a fixed size and a guard page against overflow.
#pragma once

#include <boost/fiber/fiber.hpp>
#include <boost/fiber/protected_fixedsize_stack.hpp>
#include <cstddef>
#include <utility>

namespace shedhill::net {

// The stack size of a fiber in bytes.
constexpr std::size_t fiber_stack_size = std::size_t { 96 } << 10;

// Starts a detached fiber that runs when the current fiber suspends.
template <typename Body>
void start_fiber(Body&& body)
{
    boost::fibers::fiber(boost::fibers::launch::post, std::allocator_arg,
        boost::fibers::protected_fixedsize_stack(fiber_stack_size), std::forward<Body>(body))
        .detach();
}

} // namespace shedhill::net
