// Rate limits shared by all routers and divided among them without a message per request.
//
// Load patterns: cold targets that crash above a request rate, and failures whose retries would multiply the
// load. Both limits must also hold while routers cannot reach each other.
//
// Index of this file:
// [SECTION] Shared rate
// [SECTION] Cold targets
// [SECTION] Retries

#pragma once

#include "damaskhill_types.hpp"

#include <deque>

namespace damaskhill {

//-----------------------------------------------------------------------------
// [SECTION] Shared rate
//-----------------------------------------------------------------------------

/// Rate of requests to one target, divided among some of the routers.
struct shared_rate {
    double per_s{};
    std::size_t senders{}; // routers that share it: the first ones by rank
    std::size_t turn{}; // the senders of this turn may send as well; turn n has the n-th group of that size
};

/// Earliest time at which this router may send its next request, given its rank among the routers of this
/// target and its last send; none if it may not send at all. Each sender has a burst of one request.
[[nodiscard]] std::optional<time_point> next_send_time(std::optional<time_point> last_send,
                                                       const shared_rate& rate, std::size_t rank,
                                                       std::size_t routers);

//-----------------------------------------------------------------------------
// [SECTION] Cold targets
//-----------------------------------------------------------------------------

struct cold_limit_settings {
    std::uint32_t max_senders{6}; // routers that may send to one cold target; each has a burst of one request
    double rate_share{0.75};      // fraction of the declared rate that all senders together may use
};

/// Rate of a cold target, for next_send_time.
[[nodiscard]] shared_rate cold_rate(const cold_limit_settings& settings, double cold_per_s);

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
