// Index of this file:
// [SECTION] Measured throughput

#include "damaskhill_fleet_capacity.hpp"

namespace damaskhill {

//-----------------------------------------------------------------------------
// [SECTION] Measured throughput
//-----------------------------------------------------------------------------

void add_engine_work(engine_work& work, double tokens, double prefill_ms,
                     const account_share_settings& window, time_point now) {
    add_to(work.tokens, tokens, now, window.slice);
    add_to(work.prefill_ms, prefill_ms, now, window.slice);
}

std::optional<double> measured_tokens_per_second(const engine_work& work, double prefill_ms_per_s,
                                                 const fleet_capacity_settings& settings,
                                                 const account_share_settings& window, time_point now) {
    const double prefill_ms = sum_at(work.prefill_ms, now, window.slice);
    if (prefill_ms < settings.min_prefill_ms) return std::nullopt;
    return sum_at(work.tokens, now, window.slice) / prefill_ms * prefill_ms_per_s * settings.utilisation;
}

} // namespace damaskhill
