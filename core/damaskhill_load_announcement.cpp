// Index of this file:
// [SECTION] Budget

#include "damaskhill_load_announcement.hpp"

#include <algorithm>

namespace damaskhill {

//-----------------------------------------------------------------------------
// [SECTION] Budget
//-----------------------------------------------------------------------------

bool try_take_announcement(announcement_budget& budget, const announcement_settings& settings,
                           std::size_t routers, time_point now) {
    const double rate = settings.max_received_per_s / static_cast<double>(std::max<std::size_t>(1, routers));
    const double refill = to_seconds(now - budget.refilled_at) * rate;
    budget.tokens = std::min(settings.burst, budget.tokens + refill);
    budget.refilled_at = now;
    if (budget.tokens < 1.0) return false;
    budget.tokens -= 1.0;
    return true;
}

} // namespace damaskhill
