// Retry delays and retry budgets.
//
// Index of this file:
// [SECTION] Delays
// [SECTION] Budgets

#pragma once

#include "damaskhill_types.hpp"

namespace damaskhill {

//-----------------------------------------------------------------------------
// [SECTION] Delays
//-----------------------------------------------------------------------------

/// Exponential delay with full jitter: uniform in [0, min(limit, base * 2^failures)].
[[nodiscard]] duration full_jitter_delay(duration base, duration limit, std::uint32_t failures,
                                         random_source& random);

//-----------------------------------------------------------------------------
// [SECTION] Budgets
//-----------------------------------------------------------------------------

struct retry_settings {
    std::uint32_t max_attempts{3};  // per request
    double retry_ratio{0.1};        // retries granted per first attempt
    double max_saved_retries{20.0}; // capacity of the budget
};

/// Token bucket filled by first attempts, so that retries cannot multiply the load.
struct retry_budget {
    double tokens{5.0};
};

/// Credits a first attempt.
void on_first_attempt(retry_budget& budget, const retry_settings& settings);
/// Takes one retry from the budget. Returns false if it is used up.
[[nodiscard]] bool take_retry(retry_budget& budget);

} // namespace damaskhill
