// Index of this file:
// [SECTION] Warmth
// [SECTION] Loads

#include "damaskhill_sidecar.hpp"

namespace damaskhill::detail {

//-----------------------------------------------------------------------------
// [SECTION] Warmth
//-----------------------------------------------------------------------------

namespace {

constexpr duration warmup = 10s; // after a start, in which a slow answer says nothing about the version
// A cold turn excuses slow answers again only after this time, so that a version that has become slow for
// good cannot pass as one that is always warming up.
constexpr duration cold_turn_gap = 120s;

} // namespace

std::uint32_t present_load_level(const sidecar_state& state) {
    if (state.now < state.warmth.warm_at) return load_level_warming;
    return load_level_of(state.running.size(), state.limit.settings.warm_limit);
}

void note_target_start(sidecar_state& state) { state.warmth.warm_at = state.now + warmup; }

void note_cold_turn(sidecar_state& state) {
    target_warmth& warmth = state.warmth;
    if (warmth.last_cold_turn != time_point{} && state.now - warmth.last_cold_turn < cold_turn_gap) return;
    warmth.last_cold_turn = state.now;
    warmth.warm_at = state.now + warmup;
    // What runs now was slowed down as well.
    for (auto& [attempt, call] : state.running)
        call.load_level = load_level_warming;
}

//-----------------------------------------------------------------------------
// [SECTION] Loads
//-----------------------------------------------------------------------------

bool take_load_order(sidecar_state& state, const load_order& asked) {
    const bool mine = asked.pool == state.settings.pool && state.settings.kind == target_kind::model_engine;
    if (!mine || state.stopping || !state.target_known || !state.target.reachable) return false;
    if (!state.load.wanted.empty() || asked.version == state.target.version) return false;
    if (state.condemned.contains({asked.pool, asked.version})) return false;
    state.load.wanted = asked.version;
    state.load.asked = state.now;
    state.load.ordered = {};
    return true;
}

void on_load_tick(sidecar_state& state, effects& out) {
    constexpr duration load_limit = 60s; // a load that takes longer has failed
    version_load& load = state.load;
    if (load.wanted.empty()) return;
    if (state.target.version == load.wanted) {
        out.emplace_back(log_change{"target has loaded version " + load.wanted});
        out.emplace_back(count{"version_loads_total", "done", 1});
        load.wanted.clear();
        return;
    }
    const bool condemned = state.condemned.contains({state.settings.pool, load.wanted});
    const time_point since = load.ordered == time_point{} ? load.asked : load.ordered;
    if (condemned || state.now - since > load_limit) {
        out.emplace_back(log_change{"load of version " + load.wanted + " is given up"});
        out.emplace_back(count{"version_loads_total", condemned ? "condemned" : "failed", 1});
        load.wanted.clear();
        return;
    }
    if (load.ordered != time_point{} || !state.running.empty() || !state.pulls.empty()) return;
    load.ordered = state.now;
    // The number grows with each order of this incarnation and stays below that of the next one.
    out.emplace_back(load_version{load.wanted, state.settings.fence + ++load.orders});
}

} // namespace damaskhill::detail
