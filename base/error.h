// SPDX-License-Identifier: BSD-2-Clause
// Errors as values. Each names the step that failed and the peer at which it arose.
#pragma once

#include <string>
#include <tl/expected.hpp>
#include <utility>

namespace shedhill {

struct error {
    // What was being done, for example "read frame".
    std::string step;
    // With whom: a VM, an address, a file. Empty where no one else took part.
    std::string peer;
    std::string reason;

    [[nodiscard]] std::string to_string() const
    {
        if (peer.empty())
            return step + ": " + reason;
        return step + " [" + peer + "]: " + reason;
    }
};

template <typename T>
using result = tl::expected<T, error>;

inline tl::unexpected<error> fail(std::string step, std::string peer, std::string reason)
{
    return tl::unexpected<error>(error { std::move(step), std::move(peer), std::move(reason) });
}

} // namespace shedhill

// Passes an error on to the caller in one line, or yields the value.
// NOTE: This relies on statement expressions, which both g++ and clang++ have.
#define TRY(expression)                                                               \
    __extension__({                                                                   \
        auto try_outcome = (expression);                                              \
        if (!try_outcome)                                                             \
            return tl::unexpected<::shedhill::error>(std::move(try_outcome.error())); \
        std::move(try_outcome).value();                                               \
    })

#define TRY_VOID(expression)                                                          \
    do {                                                                              \
        if (auto try_outcome = (expression); !try_outcome)                            \
            return tl::unexpected<::shedhill::error>(std::move(try_outcome.error())); \
    } while (false)
