// Online estimate of the speed of a service's targets, from the first bytes of the router's own attempts.
//
// The time to the first byte of an attempt that finds no queue is modelled as
//     base + per token * prompt tokens to prefill + per million pairs * attention pairs.
// Nobody declares these figures, and they differ between deployments. A plain service has only the base,
// which then is its service time.
//
// Index of this file:
// [SECTION] Speed
// [SECTION] Estimate
// [SECTION] Slowdown of a target

#pragma once

#include "damaskhill_types.hpp"

#include <array>

namespace damaskhill {

//-----------------------------------------------------------------------------
// [SECTION] Speed
//-----------------------------------------------------------------------------

/// Work of prefilling a prompt.
struct prefill_work {
    double tokens{};
    double million_pairs{}; // pairs of a token to prefill with itself or a token before it
};

/// Speed of a service's targets.
struct engine_speed {
    double base_ms{};
    double ms_per_token{};
    double ms_per_million_pairs{};
};

/// Time to prefill, without the base, ms.
[[nodiscard]] double prefill_ms(const engine_speed& speed, const prefill_work& work);
/// Time to the first byte at a target without a queue, ms.
[[nodiscard]] double first_byte_ms(const engine_speed& speed, const prefill_work& work);

//-----------------------------------------------------------------------------
// [SECTION] Estimate
//-----------------------------------------------------------------------------

struct engine_model_settings {
    // Assumed before the first samples.
    engine_speed prior{25.0, 1.0 / 60.0, 0.3};
    // Samples that the prior counts as.
    double prior_samples{2};
    // A sample's weight halves in this time.
    duration half_life{20s};
    // Standard deviation of an undisturbed sample: a constant part and a fraction of the measured time.
    double noise_ms{10.0};
    double noise_share{0.1};
    // Weight of samples that are slower than the estimate, relative to faster ones: queues that this router
    // does not know of only add time.
    double slower_weight{0.3};
    // Weight of the latest sample in the smoothed deviation, in units of the standard deviation.
    double deviation_weight{0.05};
    // Deviation assumed at the start, and the bounds of the smoothed one.
    double initial_deviation{4.0};
    double min_deviation{1.0};
    double max_deviation{8.0};
    // Effective number of samples from which the estimate is passed on and no peer's estimate is adopted.
    double trusted_samples{30};
    // An attempt is a sample if at most this backlog was predicted at its start.
    double max_backlog_ms{20.0};
};

/// Settings for a plain service, whose service times vary widely and are not disturbed by a prefill.
[[nodiscard]] engine_model_settings service_model_defaults();

/// Least-squares fit over samples whose weights decay with time and with their distance from the estimate.
class engine_model {
public:
    explicit engine_model(const engine_model_settings& settings);
    [[nodiscard]] const engine_speed& speed() const { return speed_; }
    /// Effective number of samples: the sum of their weights.
    [[nodiscard]] double samples() const { return samples_; }
    [[nodiscard]] bool is_trusted() const { return samples_ >= settings_.trusted_samples; }
    /// Adds the time to the first byte of an attempt that was sent to a target without a queue.
    void add_sample(const prefill_work& work, double measured_ms, time_point now);
    /// Replaces the prior by another router's trusted estimate unless the own one is trusted.
    void adopt(const engine_speed& estimate);

private:
    static constexpr std::size_t terms = 3; // of the model
    void solve();

    engine_model_settings settings_;
    engine_speed prior_;
    engine_speed speed_;
    // Normal equations of the weighted samples.
    std::array<double, terms * terms> information_{};
    std::array<double, terms> weighted_sums_{};
    double samples_{};
    double deviation_;
    time_point decayed_at_{};
};

//-----------------------------------------------------------------------------
// [SECTION] Slowdown of a target
//-----------------------------------------------------------------------------

/// Ratio of a target's measured times to those predicted from its service's speed.
struct target_slowdown {
    double factor{1.0}; // at the time `at`
    time_point at{};
    duration half_life{4s}; // of its distance from 1
};

/// Current factor. It returns to 1 with time, so that a target which gets no requests is tried again.
[[nodiscard]] double slowdown_factor(const target_slowdown& slowdown, time_point now);
/// Updates the factor with one attempt; `predicted_ms` excludes the slowdown.
void add_slowdown_sample(target_slowdown& slowdown, double measured_ms, double predicted_ms, time_point now);

} // namespace damaskhill
