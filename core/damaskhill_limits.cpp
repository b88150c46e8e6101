// Index of this file:
// [SECTION] Concurrency limit

#include "damaskhill_limits.hpp"

#include <algorithm>
#include <cmath>

namespace damaskhill {

//-----------------------------------------------------------------------------
// [SECTION] Concurrency limit
//-----------------------------------------------------------------------------

namespace {

// Weight of a worse sample in a baseline. Better samples replace the baseline at once, worse ones change it
// slowly, so that a rise under load for some minutes does not become the new baseline.
constexpr double baseline_smoothing = 0.005;

} // namespace

void reset_to_cold(target_limit& target) { target.limit = target.settings.cold_limit; }

bool on_first_byte_latency(target_limit& target, request_class cls, duration first_byte) {
    double& baseline = target.baseline_latency_s[static_cast<std::size_t>(cls)];
    const double latency = to_seconds(first_byte);
    if (baseline <= 0.0 || latency < baseline) {
        baseline = latency;
    } else {
        baseline += (latency - baseline) * baseline_smoothing;
    }
    if (latency > target.settings.cold_factor * baseline) {
        const bool was_warm = target.limit > target.settings.cold_limit;
        reset_to_cold(target);
        if (was_warm) ++target.cold_resets;
        return was_warm;
    }
    if (latency <= target.settings.growth_factor * baseline) {
        // Additive increase as in congestion control: one more request for each `limit` answers within the
        // factor.
        target.limit = std::min<double>(target.settings.warm_limit, target.limit + 1.0 / target.limit);
    }
    return false;
}

bool on_stream_rate(target_limit& target, double rate) {
    if (rate > target.peak_rate) {
        target.peak_rate = rate;
        return false;
    }
    const bool cold = rate * target.settings.cold_factor < target.peak_rate;
    target.peak_rate -= (target.peak_rate - rate) * baseline_smoothing;
    if (!cold || target.limit <= target.settings.cold_limit) return false;
    reset_to_cold(target);
    ++target.cold_resets;
    return true;
}

void on_overload(target_limit& target) { reset_to_cold(target); }

std::uint32_t current_limit(const target_limit& target) {
    return static_cast<std::uint32_t>(std::floor(target.limit));
}

std::uint32_t free_slots(const target_limit& target, request_class cls, std::uint32_t interactive,
                         std::uint32_t batch) {
    const std::uint32_t limit = current_limit(target);
    const std::uint32_t used = interactive + batch;
    if (used >= limit) return 0;
    if (cls == request_class::interactive) return limit - used;
    // Nothing is reserved at a limit of 1, or batch requests would never run.
    const auto reserved = static_cast<std::uint32_t>(std::floor(limit * target.settings.interactive_reserve));
    const std::uint32_t batch_limit = limit - std::min(reserved, limit - 1);
    if (batch >= batch_limit) return 0;
    return std::min(limit - used, batch_limit - batch);
}

} // namespace damaskhill
