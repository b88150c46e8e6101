// JSON codec for structs with a field list: settings, declarations, store records and recordings.
//
// Index of this file:
// [SECTION] Encoding
// [SECTION] Decoding
// [SECTION] Declarations
// [SECTION] Files

#pragma once

#include "damaskhill_events.hpp"

#include <nlohmann/json.hpp>

namespace damaskhill {

using json = nlohmann::json;

//-----------------------------------------------------------------------------
// [SECTION] Encoding
//-----------------------------------------------------------------------------

/// Number of named enumerators. Enumerations without a specialization are encoded as numbers.
template <class E>
inline constexpr int named_enumerators = 0;
template <>
inline constexpr int named_enumerators<request_class> = 2;
template <>
inline constexpr int named_enumerators<process_role> = 3;
template <>
inline constexpr int named_enumerators<target_kind> = 2;
template <>
inline constexpr int named_enumerators<serving_state> = 4;
template <>
inline constexpr int named_enumerators<run_state> = 2;
template <>
inline constexpr int named_enumerators<attempt_outcome> = 4;
template <>
inline constexpr int named_enumerators<failure_kind> = static_cast<int>(failure_kind::internal) + 1;

template <class T>
json encode_json(const T& value) {
    if constexpr (std::is_same_v<T, bool> || std::is_arithmetic_v<T> || std::is_same_v<T, std::string>) {
        return value;
    } else if constexpr (std::is_enum_v<T>) {
        if constexpr (named_enumerators < T >> 0) {
            return std::string{to_string(value)};
        } else {
            return static_cast<std::int64_t>(value);
        }
    } else if constexpr (is_id<T>) {
        return to_string(value);
    } else if constexpr (std::is_same_v<T, account_id>) {
        return value.value;
    } else if constexpr (std::is_same_v<T, time_point>) {
        return value.time_since_epoch().count();
    } else if constexpr (is_vector<T>) {
        json list = json::array();
        for (const auto& item : value)
            list.push_back(encode_json(item));
        return list;
    } else if constexpr (is_optional<T>) {
        return value ? encode_json(*value) : json{};
    } else if constexpr (is_variant<T>) {
        return json{{"type", value.index()},
                    {"value", std::visit([](const auto& item) { return encode_json(item); }, value)}};
    } else {
        static_assert(has_fields<T>, "a type without a field list cannot be encoded");
        json object = json::object();
        for_each_field(
            value, [&](int, const char* name, const auto& member) { object[name] = encode_json(member); });
        return object;
    }
}

//-----------------------------------------------------------------------------
// [SECTION] Decoding
//-----------------------------------------------------------------------------

enum class unknown_keys : std::uint8_t {
    reject, // settings and declarations, where a misspelt key must not be ignored
    skip    // records and recordings, which a newer release may have written
};

namespace detail {

/// Sets `error` to the path, the value found and the values allowed. Always returns false.
bool decode_failed(failure& error, failure_kind kind, std::string_view path, const json& found,
                   std::string_view allowed);
/// Decodes a time given in microseconds since the Unix epoch or as "2026-12-04T05:00:00Z".
bool decode_time(const json& from, time_point& value, std::string_view path, failure& error);
bool decode_integer(const json& from, std::int64_t lowest, std::uint64_t highest, std::string_view path,
                    failure& error);

} // namespace detail

template <class T>
bool decode_json(const json& from, T& value, const std::string& path, unknown_keys unknown, failure& error) {
    using detail::decode_failed;
    if constexpr (std::is_same_v<T, bool>) {
        if (!from.is_boolean())
            return decode_failed(error, failure_kind::wrong_type, path, from, "true or false");
        value = from.get<bool>();
    } else if constexpr (std::is_floating_point_v<T>) {
        if (!from.is_number()) return decode_failed(error, failure_kind::wrong_type, path, from, "a number");
        value = from.get<T>();
    } else if constexpr (std::is_integral_v<T>) {
        using limits = std::numeric_limits<T>;
        if (!detail::decode_integer(from, static_cast<std::int64_t>(limits::min()),
                                    static_cast<std::uint64_t>(limits::max()), path, error)) {
            return false;
        }
        value = from.get<T>();
    } else if constexpr (std::is_same_v<T, std::string>) {
        if (!from.is_string()) return decode_failed(error, failure_kind::wrong_type, path, from, "a string");
        value = from.get<std::string>();
    } else if constexpr (std::is_enum_v<T>) {
        if constexpr (named_enumerators < T >> 0) {
            if (!from.is_string())
                return decode_failed(error, failure_kind::wrong_type, path, from, "a string");
            std::string names;
            for (int i = 0; i < named_enumerators<T>; ++i) {
                const auto name = to_string(static_cast<T>(i));
                if (name == from.get_ref<const std::string&>()) {
                    value = static_cast<T>(i);
                    return true;
                }
                names.append(i > 0 ? ", " : "").append(name);
            }
            return decode_failed(error, failure_kind::out_of_range, path, from, "one of " + names);
        } else {
            if (!detail::decode_integer(from, 0, 255, path, error)) return false;
            value = static_cast<T>(from.get<std::uint8_t>());
        }
    } else if constexpr (is_id<T>) {
        const auto id = from.is_string() ? parse_id<T>(from.get_ref<const std::string&>()) : std::nullopt;
        if (!id) return decode_failed(error, failure_kind::wrong_type, path, from, "32 hexadecimal digits");
        value = *id;
    } else if constexpr (std::is_same_v<T, account_id>) {
        return decode_json(from, value.value, path, unknown, error);
    } else if constexpr (std::is_same_v<T, time_point>) {
        return detail::decode_time(from, value, path, error);
    } else if constexpr (is_vector<T>) {
        if (!from.is_array()) return decode_failed(error, failure_kind::wrong_type, path, from, "an array");
        value.clear();
        for (std::size_t i = 0; i < from.size(); ++i) {
            typename T::value_type item{};
            if (!decode_json(from[i], item, path + "[" + std::to_string(i) + "]", unknown, error))
                return false;
            value.push_back(std::move(item));
        }
    } else if constexpr (is_optional<T>) {
        value.reset();
        if (from.is_null()) return true;
        return decode_json(from, value.emplace(), path, unknown, error);
    } else if constexpr (is_variant<T>) {
        if (!from.is_object() || !from.contains("type") || !from.contains("value")) {
            return decode_failed(error, failure_kind::missing_field, path, from,
                                 "an object with type and value");
        }
        std::size_t index = 0;
        if (!decode_json(from["type"], index, path + ".type", unknown, error)) return false;
        bool ok = true;
        const bool known = visit_alternative<T>(index, [&](auto alternative) {
            ok = decode_json(from["value"], alternative, path + ".value", unknown, error);
            if (ok) value = std::move(alternative);
        });
        if (!known)
            return decode_failed(error, failure_kind::out_of_range, path + ".type", from["type"],
                                 "a known type");
        return ok;
    } else {
        static_assert(has_fields<T>, "a type without a field list cannot be decoded");
        if (!from.is_object()) return decode_failed(error, failure_kind::wrong_type, path, from, "an object");
        std::size_t used = 0;
        bool ok = true;
        for_each_field(value, [&](int, const char* name, auto& member) {
            const auto found = ok ? from.find(name) : from.end();
            if (found == from.end()) return;
            ++used;
            ok = decode_json(*found, member, path + "." + name, unknown, error);
        });
        if (!ok) return false;
        if (unknown == unknown_keys::skip || used == from.size()) return true;
        for (const auto& item : from.items()) {
            bool known = false;
            std::string names;
            for_each_field(value, [&](int, const char* name, auto&) {
                known = known || item.key() == name;
                names.append(names.empty() ? "" : ", ").append(name);
            });
            if (known) continue;
            return decode_failed(error, failure_kind::unknown_field, path + "." + item.key(), item.value(),
                                 names);
        }
    }
    return true;
}

/// Serializes a JSON document. Bytes that are not valid UTF-8 are replaced.
[[nodiscard]] std::string dump_json(const json& document, int indent = -1);
/// Parses a JSON document. `where` is its name in error messages.
[[nodiscard]] std::optional<json> parse_json(std::string_view text, std::string_view where, failure& error);

/// Parses a JSON document and decodes it into a T.
template <class T>
[[nodiscard]] std::optional<T> parse_json_as(std::string_view text, std::string_view where,
                                             unknown_keys unknown, failure& error) {
    const auto document = parse_json(text, where, error);
    if (!document) return std::nullopt;
    T value{};
    if (!decode_json(*document, value, "$", unknown, error)) {
        error.where = std::string{where} + ": " + error.where;
        return std::nullopt;
    }
    return value;
}

//-----------------------------------------------------------------------------
// [SECTION] Declarations
//-----------------------------------------------------------------------------

/// Value of the store record "config/<team>": the team's declaration files as the operators wrote them.
struct team_record {
    std::string team;
    std::uint64_t revision{};
    std::string nonce; // ID of the change that wrote this revision
    // Of the preceding changes, latest first, at most max_recent_nonces.
    std::vector<std::string> recent_nonces;
    std::map<std::string, json> files; // by path below the team's directory
};

/// A client whose reply was lost finds its change by its nonce, also after later changes of others.
inline constexpr std::size_t max_recent_nonces = 16;

[[nodiscard]] std::string encode_team_record(const team_record& record);
[[nodiscard]] std::optional<team_record> decode_team_record(std::string_view text, failure& error);
/// Decodes the declarations of a record. The directory of each file determines its type.
[[nodiscard]] std::optional<team_declarations> parse_declarations(const team_record& record, failure& error);

//-----------------------------------------------------------------------------
// [SECTION] Files
//-----------------------------------------------------------------------------

[[nodiscard]] std::optional<std::string> read_file(const std::string& path, failure& error);

} // namespace damaskhill
