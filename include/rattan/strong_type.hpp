/** @file Strong typedefs: types that do not convert into each other. */
#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace rattan {

/** A string identifier that can't be mixed up with those of other kinds. */
template <typename Tag>
struct strong_name {
    std::string value; ///< As written in declarations and on the wire.

    auto operator<=>(const strong_name&) const = default;

    [[nodiscard]] bool empty() const { return value.empty(); }
};

/** An ordered number that can't be mixed up with others or calculated with. */
template <typename Tag>
struct strong_number {
    std::int64_t value = 0;

    auto operator<=>(const strong_number&) const = default;
};

} // namespace rattan

template <typename Tag>
struct std::hash<rattan::strong_name<Tag>> {
    std::size_t operator()(const rattan::strong_name<Tag>& name) const {
        return std::hash<std::string>()(name.value);
    }
};
