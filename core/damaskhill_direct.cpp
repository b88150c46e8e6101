// Index of this file:
// [SECTION] Log lines
// [SECTION] Targets
// [SECTION] Catalog
// [SECTION] Timers
// [SECTION] Reducer

#include "damaskhill_direct_internal.hpp"

#include <algorithm>
#include <array>
#include <cmath>

namespace damaskhill::direct {

router_state::router_state(router_settings s)
    : settings(std::move(s)), random{settings.incarnation}, shares(settings.shares) {
    if (!settings.duties) return;
    duty_holder_settings holder;
    holder.incarnation = settings.incarnation;
    holder.address = settings.report_address;
    holder.lease = settings.duties->lease;
    holder.margin = settings.duties->wake_margin;
    duties.emplace(*settings.duties, std::move(holder));
}

//-----------------------------------------------------------------------------
// [SECTION] Log lines
//-----------------------------------------------------------------------------

std::string quoted(std::string_view text) {
    std::string out{"\""};
    for (const char c : text) {
        if (c == '"' || c == '\\') out.push_back('\\');
        out.push_back(static_cast<unsigned char>(c) < 0x20 || static_cast<unsigned char>(c) > 0x7e ? '?' : c);
    }
    out.push_back('"');
    return out;
}

std::string format_ms(duration d) {
    const auto tenths = d.count() / 100;
    return std::to_string(tenths / 10) + "." + std::to_string(std::abs(tenths % 10));
}

std::string format_age(const catalog_freshness& freshness, time_point now) {
    const auto age = catalog_age(freshness, now);
    return age ? format_ms(*age) : "null";
}

std::string format_catalog_age(const router_state& state) { return format_age(state.freshness, state.now); }

//-----------------------------------------------------------------------------
// [SECTION] Targets
//-----------------------------------------------------------------------------

target_state* find_target(router_state& state, std::string_view id) {
    const auto found = state.targets.find(id);
    return found == state.targets.end() ? nullptr : &found->second;
}

bool is_cold(const router_state& state, const target_state& target) { return state.now < target.cold_until; }

bool is_available(const router_state& state, const target_state& target) {
    if (target.entry.draining || target.notices.leaving || target.gone || state.now < target.ejected_until)
        return false;
    if (target.missing_since != time_point{} &&
        !may_have_lapsed(state.outage, state.settings.outages, state.now))
        return false;
    return !state.active_catalog || !state.active_catalog->evacuated.contains(target.entry.data_centre);
}

namespace {

void mark_cold(const router_state& state, target_state& target) {
    if (!state.active_catalog) return;
    const auto service = state.active_catalog->services.find(target.entry.service);
    if (service == state.active_catalog->services.end() || service->second.cold_per_s <= 0) return;
    target.cold_until = std::max(target.cold_until, state.now + service->second.cold_start);
}

} // namespace

void eject_target(router_state& state, target_state& target, effects& out) {
    // Requests in flight to the target fail together and count as one failure. Only a failure after the
    // ejection counts as another one.
    if (state.now < target.ejected_until) return;
    constexpr std::uint32_t max_doublings = 3;
    const duration pause =
        std::min(state.settings.max_ejection,
                 state.settings.ejection_base * (1U << std::min(target.consecutive_failures, max_doublings)));
    ++target.consecutive_failures;
    target.ejected_until = state.now + pause;
    // A target that was down may come back cold under its old id before the store reports it.
    if (target.consecutive_failures >= 2) {
        mark_cold(state, target);
        target.load.cached_segments.clear();
    }
    out.emplace_back(count{"targets_lost_total", target.entry.service, 1});
    out.emplace_back(log_event{"target_lost",
                               "\"target\":" + quoted(target.entry.id) +
                                   ",\"in_a_row\":" + std::to_string(target.consecutive_failures) +
                                   ",\"left_out_ms\":" + format_ms(pause),
                               true});
}

void record_target_result(target_state& target, bool failed) {
    constexpr double weight = 0.1; // of the latest response
    target.smoothed_failure_rate += weight * ((failed ? 1.0 : 0.0) - target.smoothed_failure_rate);
    if (!failed) target.consecutive_failures = 0;
}

//-----------------------------------------------------------------------------
// [SECTION] Catalog
//-----------------------------------------------------------------------------

namespace {

void log_target(const target_entry& entry, std::string_view new_state, const std::string& more,
                effects& out) {
    out.emplace_back(log_event{"target",
                               "\"target\":" + quoted(entry.id) + ",\"service\":" + quoted(entry.service) +
                                   ",\"state\":" + quoted(new_state) + more,
                               true});
}

/// Logs that the registration of a target is missing: as "gone" if the target is not used any more.
void log_missing(const router_state& state, const target_state& target, effects& out) {
    const auto& ended_at = state.outage.ended_at;
    log_target(target.entry, target.gone ? "gone" : "missing",
               ",\"known_to\":" + quoted(format_position(state.targets_known_to)) +
                   ",\"missing_ms\":" + format_ms(state.now - target.missing_since) +
                   ",\"outage_ended_ms\":" + (ended_at ? format_ms(state.now - *ended_at) : "null"),
               out);
}

/// Whether an entry is one that a restored store has from its copy: the target has left or drains since.
bool is_outdated_entry(const router_state& state, const target_state& target, const target_entry& entry) {
    const target_entry& held = target.entry;
    const bool from_copy =
        entry.position.era > held.position.era && entry.position.revision <= held.position.revision;
    const bool same_process = entry.boot <= held.boot;
    const bool has_left = target.gone || (held.draining && !entry.draining);
    return state.restored_at && from_copy && same_process && has_left;
}

bool is_same_registration(const target_entry& held, target_entry offered) {
    if (held.position == offered.position) return true;
    if (held.position.era == offered.position.era) return false;
    offered.position = held.position;
    return held == offered;
}

void apply_target_entry(router_state& state, const target_entry& entry, effects& out) {
    const auto [found, inserted] = state.targets.try_emplace(entry.id);
    target_state& target = found->second;
    if (!inserted && is_outdated_entry(state, target, entry)) return;
    if (target.missing_since != time_point{}) log_target(entry, "back", "", out);
    target.gone = false;
    target.missing_since = {};
    if (!inserted && is_same_registration(target.entry, entry)) {
        target.entry.position = entry.position;
        return;
    }
    if (!inserted && entry.boot > target.entry.boot) {
        confirm_crash(state, target, out);
        forget_notices(target);
    }
    const bool address_changed = !inserted && target.entry.address != entry.address;
    if (address_changed) {
        target.load.cached_segments.clear();
        target.ejected_until = {};
    }
    if (inserted || entry.draining != target.entry.draining) {
        log_target(entry, entry.draining ? "draining" : "ready",
                   ",\"cold_ms\":" + format_ms(entry.cold_remaining) +
                       ",\"position\":" + quoted(format_position(entry.position)),
                   out);
    }
    target.entry = entry;
    target.hash = stable_hash(entry.id);
    target.load.slots = std::max(1U, entry.slots);
    if (entry.cold_remaining > 0s) {
        target.cold_until = std::max(target.cold_until, state.now + entry.cold_remaining);
        target.load.cached_segments.clear();
    }
    state.target_by_hash[target.hash] = &target;
}

void index_targets(router_state& state) {
    state.targets_by_service.clear();
    for (auto& [id, target] : state.targets) {
        state.targets_by_service[target.entry.service].push_back(&target);
        const auto service = state.active_catalog->services.find(target.entry.service);
        const bool engine = service != state.active_catalog->services.end() && service->second.engine;
        if (has_tight_streams(state, target.entry.service)) {
            target.load.drains_at_own_speed = true;
            target.load.slowdown.half_life = state.settings.tight_slowdown_half_life;
        }
        target.load.kv_limit = engine ? std::max<std::uint64_t>(1, service->second.engine->kv_tokens) : 0;
    }
}

// When a data centre returns to service, its targets may be cold although their entries do not say so yet.
constexpr duration returned_data_centre_cold_time = 1500ms;

void mark_returned_targets_cold(router_state& state, const catalog& before, const catalog& after) {
    for (const std::string& name : before.evacuated) {
        if (after.evacuated.contains(name)) continue;
        for (auto& [id, target] : state.targets) {
            if (target.entry.data_centre == name)
                target.cold_until = std::max(target.cold_until, state.now + returned_data_centre_cold_time);
        }
    }
}

} // namespace

namespace {

std::string_view name_of(key_requirement keys) {
    constexpr std::array<std::string_view, 3> names{"unknown", "none", "required"};
    return names.at(static_cast<std::size_t>(keys));
}

/// Notices that the store has come back from a copy.
void note_restored_store(router_state& state, const store_position& latest, effects& out) {
    if (!state.active_catalog || latest.era <= state.latest.era) return;
    state.restored_at = state.now;
    record_store_restored(state.outage, state.now);
    out.emplace_back(count{"store_restores_total", "", 1});
    out.emplace_back(log_event{"store_restored",
                               "\"before\":" + quoted(format_position(state.latest)) +
                                   ",\"now\":" + quoted(format_position(latest)) +
                                   ",\"declarations\":" + std::to_string(state.active_catalog->version),
                               true});
}

} // namespace

void end_restore(router_state& state, effects& out) {
    if (!state.restored_at || state.now - *state.restored_at < state.settings.restores.rewrite_time) return;
    state.restored_at.reset();
    if (!state.active_catalog) return;
    // What is registered now is no remainder of the copy.
    for (const auto& [id, entry] : state.active_catalog->targets)
        apply_target_entry(state, entry, out);
    index_targets(state);
}

void apply_catalog(router_state& state, const catalog_updated& event, effects& out) {
    if (event.latest < state.latest) return;
    note_restored_store(state, event.latest, out);
    const auto before = state.active_catalog;
    state.active_catalog = event.contents;
    state.latest = event.latest;
    state.operator_known_to = std::max(state.operator_known_to, event.operator_known_to);
    state.operator_changed_at = std::max(state.operator_changed_at, event.operator_changed_at);
    state.targets_known_to = std::max(state.targets_known_to, event.targets_known_to);
    state.targets_changed_at = std::max(state.targets_changed_at, event.targets_changed_at);
    if (!before || before->version != event.contents->version) {
        out.emplace_back(log_event{
            "declarations",
            "\"version\":" + std::to_string(event.contents->version) +
                ",\"position\":" + quoted(format_position(event.contents->declarations.position)) +
                ",\"keys\":" + quoted(name_of(event.contents->accounts.keys)) +
                ",\"accounts_keys\":" + std::to_string(event.contents->accounts.account_by_key.size()),
            true});
    }
    if (before) mark_returned_targets_cold(state, *before, *event.contents);
    for (const auto& [id, entry] : event.contents->targets)
        apply_target_entry(state, entry, out);
    // The registrations of live targets return after an outage of the store. At other times a target whose
    // registration is missing has left.
    const bool lapsed = may_have_lapsed(state.outage, state.settings.outages, state.now);
    for (auto& [id, target] : state.targets) {
        if (event.contents->targets.contains(id) || target.gone) continue;
        const bool is_first = target.missing_since == time_point{};
        if (is_first) target.missing_since = state.now;
        confirm_crash(state, target, out);
        target.gone = !lapsed;
        if (is_first || target.gone) log_missing(state, target, out);
    }
    index_targets(state);
    out.emplace_back(count{"catalogs_applied_total", "", 1});
}

void confirm_declarations(router_state& state, time_point as_of) {
    confirm(state.freshness, as_of);
    record_store_read(state.outage, state.settings.outages, as_of, state.now);
}

void confirm_targets(router_state& state, time_point as_of, std::string_view source) {
    record_store_read(state.outage, state.settings.outages, as_of, state.now);
    if (state.targets_freshness.as_of && as_of <= *state.targets_freshness.as_of) return;
    confirm(state.targets_freshness, as_of);
    state.targets_source = source;
}

void remove_missing_targets(router_state& state, effects& out) {
    constexpr duration forget_after = 30s; // longer than the duration of any request
    bool changed = false;
    for (auto i = state.targets.begin(); i != state.targets.end();) {
        target_state& target = i->second;
        const bool is_missing = target.missing_since != time_point{};
        if (is_missing && !target.gone && !may_have_lapsed(state.outage, state.settings.outages, state.now)) {
            target.gone = true;
            log_missing(state, target, out);
        }
        if (is_missing && state.now - target.missing_since > forget_after && target.load.running == 0) {
            state.target_by_hash.erase(target.hash);
            i = state.targets.erase(i);
            changed = true;
        } else {
            ++i;
        }
    }
    if (changed) index_targets(state);
}

//-----------------------------------------------------------------------------
// [SECTION] Timers
//-----------------------------------------------------------------------------

namespace {

constexpr duration waiting_pass_period = 25ms; // interval between placements of waiting requests

void arm_timer(router_state& state, effects& out) {
    time_point next = std::min(state.next_report, state.next_share_update);
    if (!state.deadlines.empty()) next = std::min(next, state.deadlines.begin()->first);
    if (!state.attempt_deadlines.empty()) next = std::min(next, state.attempt_deadlines.begin()->first);
    if (!state.waiting.empty()) next = std::min(next, state.next_waiting_pass);
    // The armed timer fires early enough. Re-arming one that is already due would only delay it.
    if (state.timer_armed && next >= state.timer_at) return;
    state.timer_armed = true;
    state.timer_at = next;
    out.emplace_back(wake_at{next});
}

void check_stop(router_state& state, effects& out) {
    if (!state.stopping || state.exited) return;
    const duration since = state.now - state.stop_requested_at;
    // While timers are late, received requests may still be unread. They must get a response before the exit.
    const bool idle = state.requests.empty() && since >= state.settings.stop_accept_time &&
                      state.lag < state.settings.overload_lag;
    if (!idle && since < state.settings.stop_timeout) return;
    abort_all(state, out);
    state.exited = true;
    out.emplace_back(exit_process{});
}

/// Updates the smoothed timer lag, which is the earliest sign that the processor cannot keep up.
void update_lag(router_state& state, effects& out) {
    constexpr double weight = 0.3; // of the latest timer
    const auto lateness = static_cast<double>(std::max<duration>(0s, state.now - state.timer_at).count());
    const auto lag = static_cast<double>(state.lag.count());
    state.lag = duration{static_cast<std::int64_t>(lag + weight * (lateness - lag))};
    const bool was_overloaded = state.overloaded;
    if (!was_overloaded && state.lag > state.settings.overload_lag) {
        state.overloaded = true;
        state.overloaded_since = state.now;
    } else if (was_overloaded && state.lag < state.settings.recovered_lag &&
               state.now - state.overloaded_since > state.settings.min_overload_time) {
        state.overloaded = false;
    }
    if (was_overloaded != state.overloaded) {
        out.emplace_back(log_event{state.overloaded ? "overloaded" : "overload_ended",
                                   "\"lag_ms\":" + format_ms(state.lag) +
                                       ",\"requests\":" + std::to_string(state.requests.size()),
                                   true});
    }
}

/// Updates the estimates of peers' unreported load. A report is half a period old on average; one that was
/// forwarded by a relay is older by another half or more.
void update_unreported_loads(router_state& state) {
    constexpr double mean_age_in_periods = 1.2;
    const auto period = static_cast<double>((state.next_report - state.last_report).count());
    const duration age{static_cast<std::int64_t>(period * mean_age_in_periods)};
    const duration since = state.now - state.unreported_updated_at;
    state.unreported_updated_at = state.now;
    for (auto& [id, target] : state.targets)
        update_unreported_load(target.load, since, age);
}

std::string_view account_name(const router_state& state, std::uint64_t account) {
    const auto& accounts = state.active_catalog->accounts.account_by_key;
    const auto found = std::ranges::find_if(
        accounts, [&](const auto& entry) { return stable_hash(entry.second) == account; });
    return found == accounts.end() ? std::string_view{} : std::string_view{found->second};
}

/// Logs what the shares rest on, while requests are refused for lack of capacity.
void log_shares(router_state& state, effects& out) {
    constexpr duration period = 1s;
    constexpr std::size_t max_accounts = 4;
    if (!state.refused_since_share_log || state.now < state.next_share_log) return;
    state.refused_since_share_log = false;
    state.next_share_log = state.now + period;
    const share_summary summary = state.shares.summary(max_accounts, state.now);
    const auto number = [](double value) {
        return std::to_string(std::llround(std::clamp(value, -1e15, 1e15)));
    };
    std::string accounts;
    for (const account_summary& item : summary.accounts) {
        accounts +=
            (accounts.empty() ? "{\"account\":" : ",{\"account\":") +
            quoted(account_name(state, item.account)) + ",\"requested\":" + number(item.own.requested) +
            ",\"sent\":" + number(item.own.dispatched) + ",\"begun\":" + number(item.own_begun) +
            ",\"fleet_requested\":" + number(item.fleet.requested) +
            ",\"fleet_sent\":" + number(item.fleet.dispatched) +
            ",\"used_share_percent\":" + number(item.used_share * 100) +
            ",\"pace_per_s\":" + number(item.pace_per_second) + ",\"balance\":" + number(item.balance) +
            ",\"throttled\":" + (item.throttled ? "true" : "false") + "}";
    }
    out.emplace_back(log_event{"account_shares",
                               "\"level\":" + number(summary.level) +
                                   ",\"lowest_percent\":" + number(summary.lowest_backlogged_usage * 100) +
                                   ",\"tokens_per_s\":" + number(fleet_tokens_per_second(state)) +
                                   ",\"peers\":" + std::to_string(summary.peers) + ",\"oldest_report_ms\":" +
                                   format_ms(summary.oldest_report) + ",\"accounts\":[" + accounts + "]",
                               true});
}

void on_timer(router_state& state, effects& out) {
    if (state.timer_armed) update_lag(state, out);
    state.timer_armed = false;
    expire_requests(state, out);
    expire_attempts(state, out);
    settle_late_ends(state, out);
    if (state.now >= state.next_share_update) {
        update_unreported_loads(state);
        state.next_share_update = state.now + state.settings.share_update_period;
        if (state.active_catalog) {
            state.shares.update(fleet_tokens_per_second(state), state.now);
            log_shares(state, out);
        }
        end_restore(state, out);
        remove_missing_targets(state, out);
        settle_begun_answers(state, out);
        advance_rollouts(state, out);
    }
    if (state.now >= state.next_report) send_reports(state, out);
    if (state.now >= state.next_waiting_pass) {
        state.next_waiting_pass = state.now + waiting_pass_period;
        dispatch_waiting(state, out);
    }
    advance_duties(state, out);
    check_stop(state, out);
}

} // namespace

//-----------------------------------------------------------------------------
// [SECTION] Reducer
//-----------------------------------------------------------------------------

namespace {

void apply_settings(router_state& state, const router_settings& changed, effects& out) {
    // Only these settings follow a reload. Addresses and the incarnation cannot change while the process
    // runs.
    state.settings.seeds = changed.seeds;
    state.settings.freshness = changed.freshness;
    state.settings.outages = changed.outages;
    state.settings.restores = changed.restores;
    state.settings.own_read_wait = changed.own_read_wait;
    state.settings.shared_read_wait = changed.shared_read_wait;
    state.settings.retries = changed.retries;
    state.settings.cold_limits = changed.cold_limits;
    state.settings.notices = changed.notices;
    state.settings.stop_timeout = changed.stop_timeout;
    state.settings.stop_accept_time = changed.stop_accept_time;
    out.emplace_back(log_event{"settings_read", "\"seeds\":" + std::to_string(changed.seeds.size()), true});
}

struct event_handler {
    router_state& state;
    effects& out;

    void operator()(const timer_fired& /*unused*/) const { on_timer(state, out); }
    void operator()(const request_arrived& event) const { on_request(state, event, out); }
    void operator()(const caller_closed& event) const { on_caller_closed(state, event.caller, out); }
    void operator()(const caller_congested& event) const { on_caller_congested(state, event, out); }
    void operator()(const response_head& event) const { on_response_head(state, event, out); }
    void operator()(const response_data& event) const { on_response_data(state, event, out); }
    void operator()(const response_end& event) const { on_response_end(state, event, out); }
    void operator()(const target_probed& event) const { on_target_probed(state, event, out); }
    void operator()(const catalog_updated& event) const { apply_catalog(state, event, out); }
    void operator()(const catalog_confirmed& event) const {
        confirm_declarations(state, event.as_of);
        state.operator_known_to = std::max(state.operator_known_to, event.operator_known_to);
    }
    void operator()(const targets_confirmed& event) const {
        state.targets_known_to = std::max(state.targets_known_to, event.known_to);
        confirm_targets(state, event.as_of, "store");
    }
    void operator()(const store_reachable& event) const {
        if (event.reachable == state.store_up) return;
        state.store_up = event.reachable;
        out.emplace_back(log_event{event.reachable ? "store_regained" : "store_lost",
                                   "\"belief_age_ms\":" + format_catalog_age(state), true});
    }
    void operator()(const report_received& event) const { on_report(state, event.report, out); }
    void operator()(const duty_store_answer& event) const { on_store_answer(state, event, out); }
    void operator()(const duty_call_answered& event) const { on_duty_call_answered(state, event, out); }
    void operator()(const wall_clock_read& event) const { on_wall_clock(state, event); }
    void operator()(const settings_changed& event) const { apply_settings(state, event.settings, out); }
    void operator()(const stop_requested& /*unused*/) const {
        if (state.stopping) return;
        state.stopping = true;
        state.stop_requested_at = state.now;
        give_up_duties(state, out);
        out.emplace_back(
            log_event{"stopping", "\"requests\":" + std::to_string(state.requests.size()), true});
    }
};

} // namespace

void reduce(router_state& state, time_point now, const input& event, effects& out) {
    if (state.started == time_point{}) state.started = now;
    // Timers fire far more often than this. During a suspension nobody can confirm anything.
    constexpr duration min_suspension = 1s;
    if (now - state.now > min_suspension) state.outage.awake_since = now;
    state.now = std::max(state.now, now);
    std::visit(event_handler{state, out}, event);
    arm_timer(state, out);
}

bool must_shed_load(const router_state& state) { return state.lag > state.settings.shed_lag; }

bool is_ready(const router_state& state, time_point now) {
    const bool can_serve = !state.stopping && state.active_catalog && state.active_catalog->version > 0 &&
                           fresh_enough_for_traffic(state.freshness, state.settings.freshness, now);
    if (!can_serve || !state.overloaded) return can_serve;
    // If half of a data centre's routers are not ready, the load balancer uses all of them again. Beyond
    // that, overloaded routers therefore report themselves as ready.
    std::size_t routers = 1;
    std::size_t not_ready = 1;
    for (const auto& [address, peer] : state.peers) {
        if (peer.data_centre != state.settings.data_centre ||
            now - peer.last_heard > state.settings.peer_timeout)
            continue;
        ++routers;
        if (peer.last_report.overloaded || peer.last_report.stopping) ++not_ready;
    }
    return not_ready * 2 > routers;
}

} // namespace damaskhill::direct
