// Throughput of a service's engines, measured from the work that they were given.
//
// Load pattern: many client accounts ask for several times their usual load at once, while prefix caches
// serve a part of each prompt. The throughput that operators declare counts neither the caches nor the mix of
// prompts, so shares of it leave engines idle while requests are refused.
//
// Index of this file:
// [SECTION] Measured throughput

#pragma once

#include "damaskhill_account_share.hpp"

namespace damaskhill {

//-----------------------------------------------------------------------------
// [SECTION] Measured throughput
//-----------------------------------------------------------------------------

struct fleet_capacity_settings {
    // Fraction of the engines' time that the accounts' shares may fill. At higher ones first tokens wait for
    // the prompts that other routers have sent since their last reports.
    double utilisation{0.75};
    // Prefill within the window from which the ratio of tokens to time counts.
    double min_prefill_ms{2000};
};

/// Work of one router's requests to the engines of a service, within a sliding window.
struct engine_work {
    windowed_sum tokens;     // cost charged to the accounts' shares
    windowed_sum prefill_ms; // expected, at the service's usual speed
};

void add_engine_work(engine_work& work, double tokens, double prefill_ms,
                     const account_share_settings& window, time_point now);
/// Tokens a second that engines can take which together prefill for `prefill_ms_per_s`; none before enough
/// work is known.
[[nodiscard]] std::optional<double> measured_tokens_per_second(const engine_work& work,
                                                               double prefill_ms_per_s,
                                                               const fleet_capacity_settings& settings,
                                                               const account_share_settings& window,
                                                               time_point now);

} // namespace damaskhill
