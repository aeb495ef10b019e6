#pragma once

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>

namespace pimentostage {

/// One row of a table of names: an enumerator and its external name, as used on the wire, in
/// settings and in logs.
template <typename E>
struct EnumName
{
    E value_;
    std::string_view name_;
};

/// Table of the names of @p E; each specialisation has a static array `kRows` of EnumName<E>.
template <typename E>
struct EnumTable;

/// @return the name of @p value, or "invalid" if the table has no row for it.
template <typename E>
constexpr std::string_view toString(E value)
{
    for (const auto &row : EnumTable<E>::kRows) {
        if (row.value_ == value)
            return row.name_;
    }
    return "invalid";
}

/// @return the enumerator with the name @p name, or std::nullopt if there is none.
template <typename E>
constexpr std::optional<E> fromString(std::string_view name)
{
    for (const auto &row : EnumTable<E>::kRows) {
        if (row.name_ == name)
            return row.value_;
    }
    return std::nullopt;
}

/// The number of rows in the table of @p E.
template <typename E>
inline constexpr std::size_t kEnumCount = EnumTable<E>::kRows.size();

} // namespace pimentostage
