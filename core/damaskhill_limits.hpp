// Adaptive concurrency limit of a target: additive increase on good latency, immediate reset to the cold
// limit.
//
// Index of this file:
// [SECTION] Concurrency limit

#pragma once

#include "damaskhill_types.hpp"

#include <array>

namespace damaskhill {

//-----------------------------------------------------------------------------
// [SECTION] Concurrency limit
//-----------------------------------------------------------------------------

struct limit_settings {
    std::uint32_t cold_limit{2};
    std::uint32_t warm_limit{32};
    double growth_factor{1.5}; // the limit grows at latencies up to this multiple of the baseline
    /// A latency above this multiple of the baseline, or a rate below the peak rate divided by it, means that
    /// the target is cold or overloaded.
    double cold_factor{3.0};
    double interactive_reserve{0.25}; // share of the limit that is closed to batch requests
};

/// Observations of one target and its current limit.
struct target_limit {
    limit_settings settings;
    double limit{2.0};
    /// Lowest typical first-byte latency by request_class; 0: unknown.
    std::array<double, 2> baseline_latency_s{};
    double peak_rate{}; // highest typical tokens/s of a stream; 0: unknown
    std::uint32_t cold_resets{};
};

/// Resets the limit to the cold limit and keeps the baselines.
void reset_to_cold(target_limit& target);
/// Adjusts the limit to the first-byte latency of an answer. Returns true if it resets a warm limit.
bool on_first_byte_latency(target_limit& target, request_class cls, duration first_byte);
/// Adjusts the limit to the mean rate of the running streams, tokens/s each. Returns true if it resets a warm
/// limit.
bool on_stream_rate(target_limit& target, double rate);
/// Resets the limit after the target has refused a request for lack of capacity.
void on_overload(target_limit& target);
/// Current limit, requests.
[[nodiscard]] std::uint32_t current_limit(const target_limit& target);
/// Number of requests of a class that may start now. `interactive` and `batch` are running or already pulled.
[[nodiscard]] std::uint32_t free_slots(const target_limit& target, request_class cls,
                                       std::uint32_t interactive, std::uint32_t batch);

/// Interface that the sidecar needs. Benchmarks substitute other policies.
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
