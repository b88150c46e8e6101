// Index of this file:
// [SECTION] Shared rate
// [SECTION] Cold targets
// [SECTION] Retries

#include "damaskhill_rate_gate.hpp"

#include <algorithm>

namespace damaskhill {

//-----------------------------------------------------------------------------
// [SECTION] Shared rate
//-----------------------------------------------------------------------------

std::optional<time_point> next_send_time(std::optional<time_point> last_send, const shared_rate& rate,
                                         std::size_t rank, std::size_t routers) {
    const std::size_t senders = std::clamp<std::size_t>(rate.senders, 1, std::max<std::size_t>(1, routers));
    const std::size_t groups = (std::max<std::size_t>(1, routers) + senders - 1) / senders;
    const std::size_t group = rank / senders;
    if ((group != 0 && group != rate.turn % groups) || rate.per_s <= 0) return std::nullopt;
    if (!last_send) return time_point{};
    // In one second, all senders together send at most per_s + senders requests.
    constexpr double longest_period_s = 1e6;
    const double period_s = std::min(longest_period_s, static_cast<double>(senders) / rate.per_s);
    return *last_send + duration{static_cast<std::int64_t>(period_s * 1e6)};
}

//-----------------------------------------------------------------------------
// [SECTION] Cold targets
//-----------------------------------------------------------------------------

shared_rate cold_rate(const cold_limit_settings& settings, double cold_per_s) {
    return {cold_per_s * settings.rate_share, settings.max_senders, 0};
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
