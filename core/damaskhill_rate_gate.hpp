// Limits that all routers share, divided among them without a message for each request.
//
// Load patterns: cold targets that crash above a rate, and failures that would otherwise multiply the load.
// Both limits must also hold while routers know nothing of each other.
//
// Index of this file:
// [SECTION] Cold targets
// [SECTION] Repeats

#pragma once

#include "damaskhill_types.hpp"

#include <deque>

namespace damaskhill {

//-----------------------------------------------------------------------------
// [SECTION] Cold targets
//-----------------------------------------------------------------------------

struct cold_limit_settings {
    std::uint32_t max_senders{
        6};                  // routers that may send to one cold target; each may send one request at once
    double rate_share{0.75}; // of the declared rate that all senders use together
};

/// Requests of this router to one cold target.
struct cold_target_limiter {
    std::optional<time_point> last_send;
};

/// Whether this router may send now, given its rank among the routers for this target.
[[nodiscard]] bool may_send_to_cold_target(const cold_target_limiter& gate,
                                           const cold_limit_settings& settings, double cold_per_s,
                                           std::size_t rank, std::size_t routers, time_point now);

//-----------------------------------------------------------------------------
// [SECTION] Repeats
//-----------------------------------------------------------------------------

struct retry_window_settings {
    double ratio{0.2};         // repeats for each first request, of all routers together
    double slack{50};          // repeats beyond that, of all routers together
    duration window{10s};      // in which the limit holds
    double safety_factor{0.7}; // of the limit that routers use; the rest covers counts that are out of date
};

/// First requests and repeats to one service by this router.
struct retry_window {
    std::deque<time_point> first_attempts;
    std::deque<time_point> retries;
};

void record_first_attempt(retry_window& sent, const retry_window_settings& settings, time_point now);
/// Takes one repeat; false if this router's part of the limit is used up.
[[nodiscard]] bool try_take_retry(retry_window& sent, const retry_window_settings& settings,
                                  std::size_t routers, time_point now);
/// Counts a repeat that has been sent whatever the limit says.
void record_retry(retry_window& sent, time_point now);

} // namespace damaskhill
