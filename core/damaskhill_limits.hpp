// Concurrency limit of one target: starts at the cold limit, grows on evidence, falls at once.
//
// Index of this file:
// [SECTION] Limit of a target

#pragma once

#include "damaskhill_types.hpp"

#include <array>

namespace damaskhill {

//-----------------------------------------------------------------------------
// [SECTION] Limit of a target
//-----------------------------------------------------------------------------

struct limit_settings {
    std::uint32_t cold_limit{2};
    std::uint32_t warm_limit{32};
    double growth_factor{1.5};        // latency up to this multiple of the baseline lets the limit grow
    double cold_factor{3.0};          // latency above this multiple means cold or overloaded
    double interactive_reserve{0.25}; // share of the limit that batch requests may not use
};

/// What has been observed of one target.
struct target_limit {
    limit_settings settings;
    double limit{2.0};
    std::array<double, 2>
        baseline_latency_s{}; // least typical first-byte latency for each request_class, 0: unknown
    double peak_rate{};       // highest typical tokens/s of one stream, 0: unknown
    std::uint32_t cold_resets{};
};

/// Starts again at the cold limit, keeping the baselines.
void reset_to_cold(target_limit& target);
/// Takes the first-byte latency of an answer into account; returns true if the target was found cold.
bool on_first_byte_latency(target_limit& target, request_class cls, duration first_byte);
/// Takes the rate of running streams into account, tokens/s each; returns true if the target was found cold.
bool on_stream_rate(target_limit& target, double rate);
/// The target refused a request for lack of room.
void on_overload(target_limit& target);
/// Present limit, requests.
[[nodiscard]] std::uint32_t current_limit(const target_limit& target);
/// Requests of a class that may start now, given how many of each class run or have been asked for.
[[nodiscard]] std::uint32_t free_slots(const target_limit& target, request_class cls,
                                       std::uint32_t interactive, std::uint32_t batch);

/// What the sidecar needs of a limit; benches swap in other policies.
template <class T>
concept limit_policy = requires(T& target, request_class cls) {
    reset_to_cold(target);
    { on_first_byte_latency(target, cls, duration{}) } -> std::same_as<bool>;
    { on_stream_rate(target, 1.0) } -> std::same_as<bool>;
    on_overload(target);
    { current_limit(target) } -> std::same_as<std::uint32_t>;
    { free_slots(target, cls, 0U, 0U) } -> std::same_as<std::uint32_t>;
};
static_assert(limit_policy<target_limit>);

} // namespace damaskhill
