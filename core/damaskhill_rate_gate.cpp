// Index of this file:
// [SECTION] Cold targets
// [SECTION] Retries

#include "damaskhill_rate_gate.hpp"

#include <algorithm>

namespace damaskhill {

//-----------------------------------------------------------------------------
// [SECTION] Cold targets
//-----------------------------------------------------------------------------

bool may_send_to_cold_target(const cold_target_limiter& limiter, const cold_limit_settings& settings,
                             double cold_per_s, std::size_t rank, std::size_t routers, time_point now) {
    // In one second, all senders together send at most rate * share + senders requests, since each of them
    // has a burst of one request.
    const std::size_t senders = std::clamp<std::size_t>(routers, 1, settings.max_senders);
    if (rank >= senders || cold_per_s <= 0) return false;
    if (!limiter.last_send) return true;
    const double period_s = static_cast<double>(senders) / (cold_per_s * settings.rate_share);
    return to_seconds(now - *limiter.last_send) >= period_s;
}

//-----------------------------------------------------------------------------
// [SECTION] Retries
//-----------------------------------------------------------------------------

namespace {

void remove_expired(std::deque<time_point>& times, duration window, time_point now) {
    while (!times.empty() && now - times.front() > window)
        times.pop_front();
}

} // namespace

void record_first_attempt(retry_window& window, const retry_window_settings& settings, time_point now) {
    remove_expired(window.first_attempts, settings.window, now);
    window.first_attempts.push_back(now);
}

void record_retry(retry_window& window, time_point now) { window.retries.push_back(now); }

bool try_take_retry(retry_window& window, const retry_window_settings& settings, std::size_t routers,
                    time_point now) {
    remove_expired(window.first_attempts, settings.window, now);
    remove_expired(window.retries, settings.window, now);
    const double limit =
        settings.safety_factor * (settings.ratio * static_cast<double>(window.first_attempts.size()) +
                                  settings.slack / static_cast<double>(std::max<std::size_t>(1, routers)));
    if (static_cast<double>(window.retries.size()) + 1 > limit) return false;
    window.retries.push_back(now);
    return true;
}

} // namespace damaskhill
