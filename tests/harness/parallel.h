// SPDX-License-Identifier: BSD-2-Clause
// Runs a function many times at once, each in a fiber, and waits for all.
#pragma once

#include "libraries/net/fibers.h"

#include <boost/fiber/fiber.hpp>
#include <boost/fiber/operations.hpp>
#include <vector>

namespace shedhill::harness {

// A group of running fibers; all are waited for at the end.
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

// Whether the condition came true before a long time had passed. Lets a test go on when something has happened, and not
// after a time in which it should have.
template <typename Condition>
bool wait_until(Condition condition)
{
    constexpr int most_pauses = 1000;
    for (int paused = 0; paused < most_pauses; ++paused) {
        if (condition())
            return true;
        pause(20);
    }
    return false;
}

} // namespace shedhill::harness
