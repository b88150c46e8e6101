// Field lists of plain structs, from which the codecs (Thrift compact, JSON) are derived.
//
// A struct that is sent to other processes or written to a recording declares
//     static constexpr auto fields() { return std::tuple{field{1, "name", &type::name}, ...}; }
// Field numbers are stable across releases. A decoder skips unknown numbers and keeps the default value of
// missing ones, so that two releases can run side by side.
//
// Index of this file:
// [SECTION] Field lists
// [SECTION] Concepts for codecs

#pragma once

#include "damaskhill_types.hpp"

#include <concepts>
#include <tuple>
#include <type_traits>
#include <utility>
#include <variant>

namespace damaskhill {

//-----------------------------------------------------------------------------
// [SECTION] Field lists
//-----------------------------------------------------------------------------

/// Member of a struct: its number on the wire, its name in JSON and the pointer to it.
template <class Struct, class Member>
struct field {
    std::int16_t number;
    const char* name;
    Member Struct::*member;
    constexpr field(std::int16_t n, const char* s, Member Struct::*m) : number(n), name(s), member(m) {}
};

template <class T>
concept has_fields = requires {
    T::fields();
};

/// Calls f(number, name, member reference) for each field of the value, in the declared order.
template <class T, class F>
constexpr void for_each_field(T& value, F&& f) {
    std::apply([&](const auto&... item) { (f(item.number, item.name, value.*(item.member)), ...); },
               std::remove_cvref_t<T>::fields());
}

//-----------------------------------------------------------------------------
// [SECTION] Concepts for codecs
//-----------------------------------------------------------------------------

template <class T>
inline constexpr bool is_id = false;
template <class Tag>
inline constexpr bool is_id<basic_id<Tag>> = true;

template <class T>
inline constexpr bool is_vector = false;
template <class T, class A>
inline constexpr bool is_vector<std::vector<T, A>> = true;

template <class T>
inline constexpr bool is_optional = false;
template <class T>
inline constexpr bool is_optional<std::optional<T>> = true;

template <class T>
inline constexpr bool is_variant = false;
template <class... T>
inline constexpr bool is_variant<std::variant<T...>> = true;

/// Calls f with a default-constructed alternative of the given index. Returns false if the index is out of
/// range.
template <class Variant, class F, std::size_t I = 0>
bool visit_alternative(std::size_t index, F&& f) {
    if constexpr (I < std::variant_size_v<Variant>) {
        if (index == I) {
            f(std::variant_alternative_t<I, Variant>{});
            return true;
        }
        return visit_alternative<Variant, F, I + 1>(index, std::forward<F>(f));
    } else {
        return false;
    }
}

} // namespace damaskhill
