// Announcements of large prompts to all routers, ahead of the periodic reports.
//
// Load pattern: a prompt that takes an engine longer than other requests may wait is sent by one router, and
// until its next report all others go on sending to that engine. Small requests change little, so only large
// ones are announced, and only as many as the routers of the largest fleet can receive.
//
// Index of this file:
// [SECTION] Budget

#pragma once

#include "damaskhill_types.hpp"

namespace damaskhill {

//-----------------------------------------------------------------------------
// [SECTION] Budget
//-----------------------------------------------------------------------------

struct announcement_settings {
    // A prompt is announced if its prefill takes this fraction of the shortest target latency of its service.
    double min_latency_share{0.25};
    // Announcements a second that each router may receive from all others together.
    double max_received_per_s{120};
    // Announcements that one router may send at once.
    double burst{6};
};

/// Token bucket of one router's announcements.
struct announcement_budget {
    double tokens{};
    time_point refilled_at{};
};

/// Takes one announcement; false if this router's part of the fleet's rate is used up.
[[nodiscard]] bool try_take_announcement(announcement_budget& budget, const announcement_settings& settings,
                                         std::size_t routers, time_point now);

} // namespace damaskhill
