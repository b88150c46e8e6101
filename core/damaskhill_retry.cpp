// Index of this file:
// [SECTION] Delays
// [SECTION] Budgets

#include "damaskhill_retry.hpp"

#include <algorithm>

namespace damaskhill {

//-----------------------------------------------------------------------------
// [SECTION] Delays
//-----------------------------------------------------------------------------

duration full_jitter_delay(duration base, duration limit, std::uint32_t failures, random_source& random) {
    constexpr std::uint32_t max_doublings = 20; // keeps the shift within 64 bits
    const duration ceiling = std::min(limit, base * (std::int64_t{1} << std::min(failures, max_doublings)));
    return duration{static_cast<std::int64_t>(random.next_unit() * static_cast<double>(ceiling.count()))};
}

//-----------------------------------------------------------------------------
// [SECTION] Budgets
//-----------------------------------------------------------------------------

void on_first_attempt(retry_budget& budget, const retry_settings& settings) {
    budget.tokens = std::min(settings.max_saved_retries, budget.tokens + settings.retry_ratio);
}

bool take_retry(retry_budget& budget) {
    if (budget.tokens < 1.0) return false;
    budget.tokens -= 1.0;
    return true;
}

} // namespace damaskhill
