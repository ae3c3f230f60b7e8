// SPDX-License-Identifier: BSD-2-Clause
// Errors as values. Each error names the operation that failed, the other party and the reason.
#pragma once

#include <string>
#include <tl/expected.hpp>
#include <utility>

namespace shedhill {

struct error {
    // The operation that failed, for example "read frame".
    std::string step;
    // The VM, address or file involved. Empty if the operation has no other party.
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

// Evaluates to the value of a result, or returns its error from the enclosing function.
// NOTE: This relies on statement expressions, a GNU extension that both g++ and clang++ support.
#define TRY(expression)                                                               \
    __extension__({                                                                   \
        auto try_outcome = (expression);                                              \
        if (!try_outcome)                                                             \
            return tl::unexpected<::shedhill::error>(std::move(try_outcome.error())); \
        std::move(try_outcome).value();                                               \
    })

// Returns the error of a result<void> from the enclosing function.
#define TRY_VOID(expression)                                                          \
    do {                                                                              \
        if (auto try_outcome = (expression); !try_outcome)                            \
            return tl::unexpected<::shedhill::error>(std::move(try_outcome.error())); \
    } while (false)
