// Identifiers, time, enumerations and errors shared by all modules of the core.
//
// Index of this file:
// [SECTION] Time
// [SECTION] Identifiers
// [SECTION] Enumerations
// [SECTION] Errors

#pragma once

#include <chrono>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace damaskhill {

//-----------------------------------------------------------------------------
// [SECTION] Time
//-----------------------------------------------------------------------------

using duration = std::chrono::microseconds;
using time_point = std::chrono::sys_time<duration>; // Unix time; virtual in tests, benchmarks and replays
using namespace std::chrono_literals;

/// Converts to seconds as a floating-point number.
constexpr double to_seconds(duration d) { return std::chrono::duration<double>(d).count(); }
/// Converts to milliseconds as a floating-point number.
constexpr double to_milliseconds(duration d) { return to_seconds(d) * 1000.0; }

//-----------------------------------------------------------------------------
// [SECTION] Identifiers
//-----------------------------------------------------------------------------

/// 128-bit random identifier; the tag makes identifiers of different kinds distinct types.
template <class Tag>
struct basic_id {
    std::uint64_t high{};
    std::uint64_t low{};
    friend constexpr auto operator<=>(const basic_id&, const basic_id&) = default;
    [[nodiscard]] constexpr bool empty() const { return high == 0 && low == 0; }
};

using incarnation_id = basic_id<struct incarnation_tag>; // one run of a process
using request_id = basic_id<struct request_tag>;         // request of a caller
using attempt_id = basic_id<struct attempt_tag>;         // attempt to run a request on one target
using nonce_id = basic_id<struct nonce_tag>;             // write to the key-value store
using seal_id = basic_id<struct seal_tag>;               // sidecar's commitment never to send an order
using order_key = basic_id<struct order_key_tag>;        // Idempotency-Key, a UUIDv7

/// Hash of a full account name ("team/name"). 64 bits keep reservation rows small at 22,000 accounts.
struct account_id {
    std::uint64_t value{};
    friend constexpr auto operator<=>(const account_id&, const account_id&) = default;
};

using link_id = std::uint64_t;   // connection to a peer, local to the process
using caller_id = std::uint64_t; // open HTTP request of a caller, local to the process

/// Parses 32 hexadecimal digits, with or without the dashes of a UUID.
[[nodiscard]] std::optional<std::pair<std::uint64_t, std::uint64_t>> parse_hex128(std::string_view text);
/// Formats 32 lowercase hexadecimal digits.
[[nodiscard]] std::string format_hex128(std::uint64_t high, std::uint64_t low);

template <class Tag>
[[nodiscard]] std::string to_string(basic_id<Tag> id) {
    return format_hex128(id.high, id.low);
}
template <class Id>
[[nodiscard]] std::optional<Id> parse_id(std::string_view text) {
    const auto halves = parse_hex128(text);
    if (!halves) return std::nullopt;
    return Id{halves->first, halves->second};
}

/// XXH64 hash; identical in all processes and releases.
[[nodiscard]] std::uint64_t stable_hash(std::string_view bytes, std::uint64_t seed = 0);
/// Hashes a full account name ("team/name").
[[nodiscard]] account_id account_id_of(std::string_view full_name);
/// Creation time encoded in a UUIDv7; empty if the version digit is not 7.
[[nodiscard]] std::optional<time_point> uuid_v7_time(order_key key);

/// Deterministic random generator (splitmix64) for identifiers and jitter. The program provides the seed,
/// which is recorded for replay.
struct random_source {
    std::uint64_t state{1};
    std::uint64_t next();
    double next_unit(); // uniform in [0, 1)
    template <class Id>
    Id next_id() {
        const std::uint64_t high = next();
        return Id{high, next() | 1U};
    }
};

//-----------------------------------------------------------------------------
// [SECTION] Enumerations
//-----------------------------------------------------------------------------

enum class request_class : std::uint8_t { interactive, batch };
enum class process_role : std::uint8_t { router, sidecar, tool };
enum class target_kind : std::uint8_t { model_engine, service };
enum class serving_state : std::uint8_t { warming, serving, draining, stopped };
/// What a refusal states about the request: no target has executed it, or one may have.
enum class run_state : std::uint8_t { not_run, unknown };

/// Result of an attempt on a target.
enum class attempt_outcome : std::uint8_t {
    completed,      // complete response received
    target_error,   // the target responded with a 5xx status
    not_sent,       // the sidecar never sent the request; it is safe to run it elsewhere
    connection_lost // the target or its connection failed during the attempt
};

//-----------------------------------------------------------------------------
// [SECTION] Errors
//-----------------------------------------------------------------------------

/// Error codes. The name of a code is the last part of the type URI of an HTTP problem.
enum class failure_kind : std::uint8_t {
    none,
    unauthorized,
    malformed_request,
    header_too_large,
    body_too_large,
    not_found,
    unknown_pool,
    queue_full,
    deadline_exceeded,
    isolated, // the router has no declarations or cannot confirm them
    draining,
    key_required,
    malformed_key,
    key_expired,
    key_reused,
    order_store_unavailable,
    order_outcome_unknown,
    quarantined, // the request is suspected of crashing targets
    target_failed,
    retry_budget_exhausted,
    answer_expired,
    answer_incomplete, // the order ran, but its answer was too long to be stored
    malformed_document,
    unknown_field,
    wrong_type,
    out_of_range,
    missing_field,
    malformed_frame,
    frame_too_large,
    unauthenticated_frame,
    unsupported_protocol,
    store_unreachable,
    store_conflict,
    store_timeout,
    foreign_subtree, // a name or key that belongs to another team
    stale_revision,
    network,
    internal
};

/// Describes why a call returned no value. The texts are for people; programs evaluate `kind` only.
struct failure {
    failure_kind kind{failure_kind::none};
    std::string where;   // location: file, JSON path, header or field
    std::string found;   // actual value
    std::string allowed; // accepted values
};

[[nodiscard]] std::string_view to_string(failure_kind kind);
[[nodiscard]] std::string_view to_string(request_class value);
[[nodiscard]] std::string_view to_string(process_role value);
[[nodiscard]] std::string_view to_string(target_kind value);
[[nodiscard]] std::string_view to_string(serving_state value);
[[nodiscard]] std::string_view to_string(run_state value);
[[nodiscard]] std::string_view to_string(attempt_outcome value);
/// Formats a failure as one line for logs and terminals.
[[nodiscard]] std::string describe(const failure& reason);

} // namespace damaskhill

template <class Tag>
struct std::hash<damaskhill::basic_id<Tag>> {
    std::size_t operator()(const damaskhill::basic_id<Tag>& id) const noexcept {
        return static_cast<std::size_t>(id.high ^ (id.low * 0x9E3779B97F4A7C15ULL));
    }
};
template <>
struct std::hash<damaskhill::account_id> {
    std::size_t operator()(const damaskhill::account_id& id) const noexcept {
        return static_cast<std::size_t>(id.value);
    }
};
