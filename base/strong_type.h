// SPDX-License-Identifier: BSD-2-Clause
// Wraps a value in a distinct type, so that the compiler rejects mixing identifiers of different kinds.
#pragma once

#include <compare>
#include <cstddef>
#include <functional>
#include <utility>

namespace shedhill {

template <typename Representation, typename Tag>
class strong_type {
public:
    using representation = Representation;

    strong_type() = default;
    explicit strong_type(Representation value)
        : m_value(std::move(value))
    {
    }

    [[nodiscard]] Representation const& value() const { return m_value; }

    auto operator<=>(strong_type const&) const = default;
    bool operator==(strong_type const&) const = default;

private:
    Representation m_value {};
};

} // namespace shedhill

template <typename Representation, typename Tag>
struct std::hash<shedhill::strong_type<Representation, Tag>> {
    std::size_t operator()(shedhill::strong_type<Representation, Tag> const& id) const noexcept
    {
        return std::hash<Representation> {}(id.value());
    }
};
