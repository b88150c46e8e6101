// What targets say of themselves in their responses: the rate of requests that they accept from all routers
// together, that they are about to leave, and for how long they want nothing from this router.
//
// Load pattern: a slow target names a few requests a second while a hundred routers have work for it. A few
// of them, by rank, share the rate and pass on what they hear, so that the others know when the limit ends.
//
// Index of this file:
// [SECTION] Settings
// [SECTION] Notices
// [SECTION] Shared rate

#pragma once

#include "damaskhill_rate_gate.hpp"

namespace damaskhill {

//-----------------------------------------------------------------------------
// [SECTION] Settings
//-----------------------------------------------------------------------------

struct target_notice_settings {
    // Routers that may send to a limited target, besides one for each request per second of the limit. Each
    // has a burst of one request.
    std::uint32_t base_senders{4};
    // A target gets this rate whatever its limit, because only its responses tell when the limit ends.
    double min_rate_per_s{0.1};
    // If nobody has heard of a limit for this long beyond the time between two sends, its senders have no
    // work for the target and the limit may have ended unnoticed. Other routers then get their turns.
    duration max_news_delay{1s};
    // Responses that cross on different connections are no more apart than this, and reports add no more.
    duration own_reordering{250ms};
    duration report_reordering{1s};
    duration announce_time{1s};  // own news is repeated in reports for this long
    double max_limit_per_s{1e6}; // larger values are unreadable
    duration max_rest{1h};       // the same
};

//-----------------------------------------------------------------------------
// [SECTION] Notices
//-----------------------------------------------------------------------------

/// Notices in the head of one response.
struct response_notices {
    std::optional<double> limit_per_s; // requests from all routers together; none: the target has no limit
    bool leaving{};                    // the target stops soon
    std::optional<duration> rest;      // it wants no request from this router for this long
    bool unreadable{};                 // it has a value that was ignored
    friend bool operator==(const response_notices&, const response_notices&) = default;
};

/// What the fleet knows of one start of a target from its responses.
struct target_notices {
    std::optional<double> limit_per_s;
    time_point limit_as_of{}; // latest response known to have named it, or to have named none
    time_point own_as_of{};   // the same, of the responses to this router
    bool leaving{};
    time_point resting_until{}; // for this router only
};

/// Applies what a response to this router says of the limit.
void note_limit(target_notices& notices, const target_notice_settings& settings,
                std::optional<double> limit_per_s, time_point now);
/// The same for news of another router.
void note_reported_limit(target_notices& notices, const target_notice_settings& settings,
                         std::optional<double> limit_per_s, time_point as_of);
/// Whether reports must pass on what this router has heard of the limit.
[[nodiscard]] bool must_announce_limit(const target_notices& notices, const target_notice_settings& settings,
                                       time_point now);

//-----------------------------------------------------------------------------
// [SECTION] Shared rate
//-----------------------------------------------------------------------------

/// Rate of a limited target, and the routers among which it is divided now.
[[nodiscard]] shared_rate rate_of(const target_notices& notices, const target_notice_settings& settings,
                                  time_point now);

} // namespace damaskhill
