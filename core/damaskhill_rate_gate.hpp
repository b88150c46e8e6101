// Rate limits shared by all routers and divided among them without a message per request.
//
// Load patterns: cold targets that crash above a request rate, and failures whose retries would multiply the
// load. Both limits must also hold while routers cannot reach each other.
//
// Index of this file:
// [SECTION] Cold targets
// [SECTION] Retries

#pragma once

#include "damaskhill_types.hpp"

#include <deque>

namespace damaskhill {

//-----------------------------------------------------------------------------
// [SECTION] Cold targets
//-----------------------------------------------------------------------------

struct cold_limit_settings {
    std::uint32_t max_senders{6}; // routers that may send to one cold target; each has a burst of one request
    double rate_share{0.75};      // fraction of the declared rate that all senders together may use
};

/// Limits the requests of this router to one cold target.
struct cold_target_limiter {
    std::optional<time_point> last_send;
};

/// Whether this router may send now, given its rank among the routers of this target.
[[nodiscard]] bool may_send_to_cold_target(const cold_target_limiter& limiter,
                                           const cold_limit_settings& settings, double cold_per_s,
                                           std::size_t rank, std::size_t routers, time_point now);

//-----------------------------------------------------------------------------
// [SECTION] Retries
//-----------------------------------------------------------------------------

struct retry_window_settings {
    double ratio{0.2};         // retries per first attempt, over all routers
    double slack{50};          // additional retries, over all routers
    duration window{10s};      // period in which the limit holds
    double safety_factor{0.7}; // usable fraction of the limit; the rest covers outdated router counts
};

/// First attempts and retries of this router to one service within the window.
struct retry_window {
    std::deque<time_point> first_attempts;
    std::deque<time_point> retries;
};

void record_first_attempt(retry_window& window, const retry_window_settings& settings, time_point now);
/// Takes one retry; false if this router's part of the limit is used up.
[[nodiscard]] bool try_take_retry(retry_window& window, const retry_window_settings& settings,
                                  std::size_t routers, time_point now);
/// Records a retry that was sent regardless of the limit.
void record_retry(retry_window& window, time_point now);

} // namespace damaskhill
