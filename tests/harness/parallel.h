// SPDX-License-Identifier: BSD-2-Clause
// Runs functions concurrently in fibers, and waits for conditions.
#pragma once

#include "libraries/net/fibers.h"

#include <boost/fiber/fiber.hpp>
#include <boost/fiber/operations.hpp>
#include <vector>

namespace shedhill::harness {

// A group of running fibers; the destructor waits for all of them.
class fiber_group {
public:
    fiber_group() = default;
    fiber_group(fiber_group const&) = delete;
    fiber_group& operator=(fiber_group const&) = delete;
    ~fiber_group() { join(); }

    template <typename Body>
    void start(Body body)
    {
        m_fibers.emplace_back(boost::fibers::launch::post, std::allocator_arg,
            boost::fibers::protected_fixedsize_stack(net::fiber_stack_size), std::move(body));
    }

    void join()
    {
        for (auto& fiber : m_fibers)
            fiber.join();
        m_fibers.clear();
    }

private:
    std::vector<boost::fibers::fiber> m_fibers;
};

inline void pause(int milliseconds) { boost::this_fiber::sleep_for(std::chrono::milliseconds(milliseconds)); }

// Waits until the condition is true, and returns false if it is not within about 20 seconds. A test that waits for a
// condition depends on no fixed pause.
template <typename Condition>
bool wait_until(Condition condition)
{
    constexpr int max_pauses = 1000;
    for (int paused = 0; paused < max_pauses; ++paused) {
        if (condition())
            return true;
        pause(20);
    }
    return false;
}

} // namespace shedhill::harness
