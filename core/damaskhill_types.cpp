// Index of this file:
// [SECTION] Identifiers
// [SECTION] Random numbers
// [SECTION] Enumerator names

#include "damaskhill_types.hpp"

#include <array>
#include <xxhash.h>

namespace damaskhill {

//-----------------------------------------------------------------------------
// [SECTION] Identifiers
//-----------------------------------------------------------------------------

namespace {

int hex_digit(char c) {
    if (c >= '0' && c <= '9') return c - '0';
    if (c >= 'a' && c <= 'f') return c - 'a' + 10;
    if (c >= 'A' && c <= 'F') return c - 'A' + 10;
    return -1;
}

} // namespace

std::optional<std::pair<std::uint64_t, std::uint64_t>> parse_hex128(std::string_view text) {
    std::array<std::uint64_t, 2> halves{};
    int digits = 0;
    for (const char c : text) {
        if (c == '-') continue;
        const int value = hex_digit(c);
        if (value < 0 || digits == 32) return std::nullopt;
        std::uint64_t& half = halves[digits < 16 ? 0 : 1];
        half = (half << 4U) | static_cast<std::uint64_t>(value);
        ++digits;
    }
    if (digits != 32) return std::nullopt;
    return std::pair{halves[0], halves[1]};
}

std::string format_hex128(std::uint64_t high, std::uint64_t low) {
    static constexpr std::string_view digits = "0123456789abcdef";
    std::string text(32, '0');
    for (std::size_t i = 0; i < 16; ++i) {
        text[15 - i] = digits[(high >> (4 * i)) & 0xFU];
        text[31 - i] = digits[(low >> (4 * i)) & 0xFU];
    }
    return text;
}

std::uint64_t stable_hash(std::string_view bytes, std::uint64_t seed) {
    return XXH64(bytes.data(), bytes.size(), seed);
}

account_id account_id_of(std::string_view full_name) { return account_id{stable_hash(full_name)}; }

std::optional<time_point> uuid_v7_time(order_key key) {
    // RFC 9562, section 5.7: 48 bits of Unix time in milliseconds, then the version digit.
    if (((key.high >> 12U) & 0xFU) != 7U) return std::nullopt;
    return time_point{std::chrono::milliseconds{static_cast<std::int64_t>(key.high >> 16U)}};
}

//-----------------------------------------------------------------------------
// [SECTION] Random numbers
//-----------------------------------------------------------------------------

std::uint64_t random_source::next() {
    state += 0x9E3779B97F4A7C15ULL;
    std::uint64_t z = state;
    z = (z ^ (z >> 30U)) * 0xBF58476D1CE4E5B9ULL;
    z = (z ^ (z >> 27U)) * 0x94D049BB133111EBULL;
    return z ^ (z >> 31U);
}

double random_source::next_unit() { return static_cast<double>(next() >> 11U) * 0x1.0p-53; }

//-----------------------------------------------------------------------------
// [SECTION] Enumerator names
//-----------------------------------------------------------------------------

std::string_view to_string(failure_kind kind) {
    static constexpr std::array<std::string_view, 38> names{"none",
                                                            "unauthorized",
                                                            "malformed_request",
                                                            "header_too_large",
                                                            "body_too_large",
                                                            "not_found",
                                                            "unknown_pool",
                                                            "queue_full",
                                                            "deadline_exceeded",
                                                            "isolated",
                                                            "draining",
                                                            "key_required",
                                                            "malformed_key",
                                                            "key_expired",
                                                            "key_reused",
                                                            "order_store_unavailable",
                                                            "order_outcome_unknown",
                                                            "quarantined",
                                                            "target_failed",
                                                            "retry_budget_exhausted",
                                                            "answer_expired",
                                                            "answer_incomplete",
                                                            "malformed_document",
                                                            "unknown_field",
                                                            "wrong_type",
                                                            "out_of_range",
                                                            "missing_field",
                                                            "malformed_frame",
                                                            "frame_too_large",
                                                            "unauthenticated_frame",
                                                            "unsupported_protocol",
                                                            "store_unreachable",
                                                            "store_conflict",
                                                            "store_timeout",
                                                            "foreign_subtree",
                                                            "stale_revision",
                                                            "network",
                                                            "internal"};
    return names.at(static_cast<std::size_t>(kind));
}

std::string_view to_string(request_class value) {
    return value == request_class::interactive ? "interactive" : "batch";
}

std::string_view to_string(process_role value) {
    static constexpr std::array<std::string_view, 3> names{"router", "sidecar", "tool"};
    return names.at(static_cast<std::size_t>(value));
}

std::string_view to_string(target_kind value) {
    return value == target_kind::model_engine ? "model_engine" : "service";
}

std::string_view to_string(serving_state value) {
    static constexpr std::array<std::string_view, 4> names{"warming", "serving", "draining", "stopped"};
    return names.at(static_cast<std::size_t>(value));
}

std::string_view to_string(run_state value) { return value == run_state::not_run ? "not_run" : "unknown"; }

std::string_view to_string(attempt_outcome value) {
    static constexpr std::array<std::string_view, 4> names{"completed", "target_error", "not_sent",
                                                           "connection_lost"};
    return names.at(static_cast<std::size_t>(value));
}

std::string describe(const failure& reason) {
    std::string text{to_string(reason.kind)};
    if (!reason.where.empty()) text += " at " + reason.where;
    if (!reason.found.empty()) text += ": found " + reason.found;
    if (!reason.allowed.empty()) text += ", allowed " + reason.allowed;
    return text;
}

} // namespace damaskhill
