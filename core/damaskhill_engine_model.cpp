// Index of this file:
// [SECTION] Speed
// [SECTION] Estimate
// [SECTION] Slowdown of a target

#include "damaskhill_engine_model.hpp"

#include <algorithm>
#include <cmath>

#include <Eigen/Dense>

namespace damaskhill {

//-----------------------------------------------------------------------------
// [SECTION] Speed
//-----------------------------------------------------------------------------

double prefill_ms(const engine_speed& speed, const prefill_work& work) {
    return work.tokens * speed.ms_per_token + work.million_pairs * speed.ms_per_million_pairs;
}

double first_byte_ms(const engine_speed& speed, const prefill_work& work) {
    return speed.base_ms + prefill_ms(speed, work);
}

//-----------------------------------------------------------------------------
// [SECTION] Estimate
//-----------------------------------------------------------------------------

engine_model_settings service_model_defaults() {
    engine_model_settings settings;
    settings.prior = {60.0, 0.0, 0.0};
    settings.noise_share = 0.5;
    settings.slower_weight = 1.0;
    return settings;
}

engine_model::engine_model(const engine_model_settings& settings)
    : settings_(settings),
      prior_(settings.prior),
      speed_(settings.prior),
      deviation_(settings.initial_deviation) {}

void engine_model::add_sample(const prefill_work& work, double measured_ms, time_point now) {
    if (!(measured_ms > 0)) return;
    const double expected_ms = first_byte_ms(speed_, work);
    const double noise = settings_.noise_ms + settings_.noise_share * std::max(measured_ms, expected_ms);
    const double error = (measured_ms - expected_ms) / noise;
    deviation_ = std::clamp(deviation_ + settings_.deviation_weight * (std::abs(error) - deviation_),
                            settings_.min_deviation, settings_.max_deviation);
    // Cauchy weight: samples far from the estimate, in units of the usual deviation, hardly count.
    const double distance = error / deviation_;
    const double weight = (error > 0 ? settings_.slower_weight : 1.0) / (1.0 + distance * distance);
    if (decayed_at_ != time_point{} && now > decayed_at_) {
        const double decay = std::exp2(-to_seconds(now - decayed_at_) / to_seconds(settings_.half_life));
        for (double& value : information_)
            value *= decay;
        for (double& value : weighted_sums_)
            value *= decay;
        samples_ *= decay;
    }
    decayed_at_ = std::max(decayed_at_, now);
    const std::array<double, terms> row{1.0, work.tokens, work.million_pairs};
    const double scaled_weight = weight / (noise * noise);
    for (std::size_t i = 0; i < terms; ++i) {
        for (std::size_t j = 0; j < terms; ++j)
            information_.at(i * terms + j) += scaled_weight * row.at(i) * row.at(j);
        weighted_sums_.at(i) += scaled_weight * row.at(i) * measured_ms;
    }
    samples_ += weight;
    solve();
}

void engine_model::adopt(const engine_speed& estimate) {
    if (is_trusted()) return;
    prior_ = estimate;
    solve();
}

// The prior enters as independent samples of each term with a relative standard deviation of 1.
void engine_model::solve() {
    const Eigen::Vector3d prior{prior_.base_ms, prior_.ms_per_token, prior_.ms_per_million_pairs};
    Eigen::Matrix3d information = Eigen::Map<const Eigen::Matrix3d>{information_.data()};
    Eigen::Vector3d sums = Eigen::Map<const Eigen::Vector3d>{weighted_sums_.data()};
    for (Eigen::Index i = 0; i < prior.size(); ++i) {
        constexpr double min_scale = 1e-6; // avoids a division by zero for terms that an estimate lacks
        const double scale = std::max(prior[i], min_scale);
        const double weight = settings_.prior_samples / (scale * scale);
        information(i, i) += weight;
        sums[i] += weight * prior[i];
    }
    const Eigen::Vector3d fit = information.ldlt().solve(sums);
    if (!fit.allFinite()) return;
    // No coefficient may be negative, which noise could otherwise cause where a term hardly occurs.
    speed_ = {std::max(fit[0], 0.0), std::max(fit[1], 0.0), std::max(fit[2], 0.0)};
}

//-----------------------------------------------------------------------------
// [SECTION] Slowdown of a target
//-----------------------------------------------------------------------------

double slowdown_factor(const target_slowdown& slowdown, time_point now) {
    const double age_s = std::max(0.0, to_seconds(now - slowdown.at));
    return 1.0 + (slowdown.factor - 1.0) * std::exp2(-age_s / to_seconds(slowdown.half_life));
}

void add_slowdown_sample(target_slowdown& slowdown, double measured_ms, double predicted_ms, time_point now) {
    constexpr double weight = 0.2;   // of the latest sample
    constexpr double max_step = 0.5; // bound of a sample's logarithmic distance, against outliers
    constexpr double min_factor = 0.5;
    constexpr double max_factor = 10.0;
    if (!(measured_ms > 0) || !(predicted_ms > 0)) return;
    const double factor = slowdown_factor(slowdown, now);
    const double distance = std::log(measured_ms / predicted_ms) - std::log(factor);
    slowdown.factor = std::clamp(factor * std::exp(weight * std::clamp(distance, -max_step, max_step)),
                                 min_factor, max_factor);
    slowdown.at = now;
}

} // namespace damaskhill
