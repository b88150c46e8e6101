// Index of this file:
// [SECTION] Warm-up
// [SECTION] Version loads

#include "damaskhill_sidecar.hpp"

namespace damaskhill::detail {

//-----------------------------------------------------------------------------
// [SECTION] Warm-up
//-----------------------------------------------------------------------------

namespace {

// Latencies measured within this time after a start are not attributed to the version.
constexpr duration warmup_period = 10s;
// Minimum time between two warm-up periods caused by a cold target. Without it, a version that has become
// permanently slow could count as warming up forever.
constexpr duration cold_report_interval = 120s;

} // namespace

std::uint32_t current_load_level(const sidecar_state& state) {
    if (state.now < state.warmup.warmup_end) return load_level_warming;
    return load_level_of(state.running.size(), state.limit.settings.warm_limit);
}

void start_warmup(sidecar_state& state) { state.warmup.warmup_end = state.now + warmup_period; }

void on_target_cold(sidecar_state& state) {
    warmup_state& warmup = state.warmup;
    if (warmup.last_cold_at != time_point{} && state.now - warmup.last_cold_at < cold_report_interval) return;
    warmup.last_cold_at = state.now;
    warmup.warmup_end = state.now + warmup_period;
    // Calls in flight were slowed down as well.
    for (auto& [attempt, call] : state.running)
        call.load_level = load_level_warming;
}

//-----------------------------------------------------------------------------
// [SECTION] Version loads
//-----------------------------------------------------------------------------

bool accept_load_order(sidecar_state& state, const load_order& command) {
    const bool applies =
        command.pool == state.settings.pool && state.settings.kind == target_kind::model_engine;
    if (!applies || state.stopping || !state.target_known || !state.target.reachable) return false;
    if (!state.load.version.empty() || command.version == state.target.version) return false;
    if (state.condemned.contains({command.pool, command.version})) return false;
    state.load.version = command.version;
    state.load.requested_at = state.now;
    state.load.started_at = {};
    return true;
}

void advance_load(sidecar_state& state, effects& out) {
    constexpr duration load_timeout = 60s; // a load that takes longer counts as failed
    version_load& load = state.load;
    if (load.version.empty()) return;
    if (state.target.version == load.version) {
        out.emplace_back(log_change{"target loaded version " + load.version});
        out.emplace_back(count{"version_loads_total", "done", 1});
        load.version.clear();
        return;
    }
    const bool condemned = state.condemned.contains({state.settings.pool, load.version});
    const time_point since = load.started_at == time_point{} ? load.requested_at : load.started_at;
    if (condemned || state.now - since > load_timeout) {
        out.emplace_back(log_change{"load of version " + load.version + " aborted"});
        out.emplace_back(count{"version_loads_total", condemned ? "condemned" : "failed", 1});
        load.version.clear();
        return;
    }
    if (load.started_at != time_point{} || !state.running.empty() || !state.pulls.empty()) return;
    load.started_at = state.now;
    // The token increases with every command of this incarnation and stays below that of the next
    // incarnation.
    out.emplace_back(load_version{load.version, state.settings.fence + ++load.commands});
}

} // namespace damaskhill::detail
