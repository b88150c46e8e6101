// Index of this file:
// [SECTION] Documents
// [SECTION] Decoding
// [SECTION] Declarations
// [SECTION] Files

#include "damaskhill_impl_json.hpp"

#include <fstream>
#include <sstream>

namespace damaskhill {

//-----------------------------------------------------------------------------
// [SECTION] Documents
//-----------------------------------------------------------------------------

std::string dump_json(const json& document, int indent) {
    return document.dump(indent, ' ', false, json::error_handler_t::replace);
}

std::optional<json> parse_json(std::string_view text, std::string_view where, failure& error) {
    // The parser recurses into nested containers, so deep nesting could overflow the stack.
    constexpr int max_depth = 64;
    const auto limit_depth = [](int depth, json::parse_event_t, json&) {
        if (depth > max_depth) throw std::length_error("nesting");
        return true;
    };
    try {
        json document = json::parse(text, limit_depth, false);
        if (!document.is_discarded()) return document;
    } catch (const std::length_error&) {
        error = {failure_kind::malformed_document, std::string{where}, "deep nesting", "at most 64 levels"};
        return std::nullopt;
    }
    error = {failure_kind::malformed_document, std::string{where}, std::string{text.substr(0, 40)},
             "a JSON document"};
    return std::nullopt;
}

//-----------------------------------------------------------------------------
// [SECTION] Decoding
//-----------------------------------------------------------------------------

namespace detail {

bool decode_failed(failure& error, failure_kind kind, std::string_view path, const json& found,
                   std::string_view allowed) {
    constexpr std::size_t max_shown_bytes = 60;
    error = {kind, std::string{path}, dump_json(found).substr(0, max_shown_bytes), std::string{allowed}};
    return false;
}

bool decode_integer(const json& from, std::int64_t lowest, std::uint64_t highest, std::string_view path,
                    failure& error) {
    const std::string allowed =
        "an integer from " + std::to_string(lowest) + " to " + std::to_string(highest);
    if (!from.is_number_integer()) return decode_failed(error, failure_kind::wrong_type, path, from, allowed);
    const bool in_range = from.is_number_unsigned()
                              ? from.get<std::uint64_t>() <= highest
                              : from.get<std::int64_t>() >= lowest &&
                                    (from.get<std::int64_t>() < 0 ||
                                     static_cast<std::uint64_t>(from.get<std::int64_t>()) <= highest);
    return in_range || decode_failed(error, failure_kind::out_of_range, path, from, allowed);
}

bool decode_time(const json& from, time_point& value, std::string_view path, failure& error) {
    if (from.is_number_integer()) {
        value = time_point{duration{from.get<std::int64_t>()}};
        return true;
    }
    std::tm parts{};
    char extra = 0;
    const std::string text = from.is_string() ? from.get<std::string>() : std::string{};
    const int read = std::sscanf(text.c_str(), "%4d-%2d-%2dT%2d:%2d:%2d%c", &parts.tm_year, &parts.tm_mon,
                                 &parts.tm_mday, &parts.tm_hour, &parts.tm_min, &parts.tm_sec, &extra);
    if (read != 7 || extra != 'Z') {
        return decode_failed(error, failure_kind::wrong_type, path, from,
                             "a time such as 2026-12-04T05:00:00Z");
    }
    const std::chrono::year_month_day day{std::chrono::year{parts.tm_year},
                                          std::chrono::month{static_cast<unsigned>(parts.tm_mon)},
                                          std::chrono::day{static_cast<unsigned>(parts.tm_mday)}};
    if (!day.ok() || parts.tm_hour > 23 || parts.tm_min > 59 || parts.tm_sec > 60) {
        return decode_failed(error, failure_kind::out_of_range, path, from,
                             "a time such as 2026-12-04T05:00:00Z");
    }
    value = std::chrono::sys_days{day} + std::chrono::hours{parts.tm_hour} +
            std::chrono::minutes{parts.tm_min} + std::chrono::seconds{parts.tm_sec};
    return true;
}

} // namespace detail

//-----------------------------------------------------------------------------
// [SECTION] Declarations
//-----------------------------------------------------------------------------

std::string encode_team_record(const team_record& record) {
    return dump_json(json{{"team", record.team},
                          {"revision", record.revision},
                          {"nonce", record.nonce},
                          {"recent", record.recent_nonces},
                          {"files", record.files}});
}

std::optional<team_record> decode_team_record(std::string_view text, failure& error) {
    const auto document = parse_json(text, "team record", error);
    if (!document) return std::nullopt;
    team_record record;
    const bool ok =
        document->is_object() && document->contains("files") && (*document)["files"].is_object() &&
        decode_json(document->value("team", json{}), record.team, "$.team", unknown_keys::skip, error) &&
        decode_json(document->value("revision", json{}), record.revision, "$.revision", unknown_keys::skip,
                    error) &&
        decode_json(document->value("nonce", json{}), record.nonce, "$.nonce", unknown_keys::skip, error) &&
        decode_json(document->value("recent", json::array()), record.recent_nonces, "$.recent",
                    unknown_keys::skip, error);
    if (!ok) {
        if (error.kind == failure_kind::none) {
            error = {failure_kind::missing_field, "team record: $.files", "no object",
                     "an object with the team's files"};
        }
        return std::nullopt;
    }
    for (const auto& [path, file] : (*document)["files"].items())
        record.files.emplace(path, file);
    return record;
}

namespace {

template <class T>
bool add_declaration(std::vector<T>& list, const json& document, const std::string& path, failure& error) {
    T value{};
    if (!decode_json(document, value, "$", unknown_keys::reject, error)) {
        error.where = path + ": " + error.where;
        return false;
    }
    list.push_back(std::move(value));
    return true;
}

bool add_file(team_declarations& declared, const std::string& path, const json& document, failure& error) {
    const std::string folder = path.substr(0, path.find('/'));
    if (folder == "accounts") return add_declaration(declared.accounts, document, path, error);
    if (folder == "pools" || folder == "services")
        return add_declaration(declared.pools, document, path, error);
    if (folder == "moves") return add_declaration(declared.moves, document, path, error);
    if (folder == "data_centres") return add_declaration(declared.data_centres, document, path, error);
    error = {failure_kind::out_of_range, path, folder, "accounts, pools, services, moves or data_centres"};
    return false;
}

} // namespace

std::optional<team_declarations> parse_declarations(const team_record& record, failure& error) {
    team_declarations declared;
    declared.team = record.team;
    declared.revision = record.revision;
    for (const auto& [path, document] : record.files) {
        if (!add_file(declared, path, document, error)) return std::nullopt;
    }
    if (!validate_declarations(declared, error)) return std::nullopt;
    return declared;
}

//-----------------------------------------------------------------------------
// [SECTION] Files
//-----------------------------------------------------------------------------

std::optional<std::string> read_file(const std::string& path, failure& error) {
    std::ifstream file{path, std::ios::binary};
    std::ostringstream text;
    if (!file || !(text << file.rdbuf())) {
        error = {failure_kind::not_found, path, "no readable file", "a readable file"};
        return std::nullopt;
    }
    return text.str();
}

} // namespace damaskhill
