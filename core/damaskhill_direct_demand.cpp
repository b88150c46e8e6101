// Index of this file:
// [SECTION] Work of a request
// [SECTION] Repeats
// [SECTION] Counting
// [SECTION] Reports
// [SECTION] Observations
// [SECTION] Orders

#include "damaskhill_direct_internal.hpp"

#include <algorithm>
#include <cmath>

namespace damaskhill::direct {

//-----------------------------------------------------------------------------
// [SECTION] Work of a request
//-----------------------------------------------------------------------------

namespace {

const autoscaling_declaration* find_autoscaling(const router_state& state, std::string_view name) {
    if (!state.active_catalog) return nullptr;
    const auto service = state.active_catalog->services.find(name);
    if (service == state.active_catalog->services.end() || !service->second.autoscaling) return nullptr;
    return &*service->second.autoscaling;
}

/// Time that a target at its usual speed needs for the whole prompt, or for a call of a plain service, ms.
double full_work_ms(router_state& state, const request& item) {
    const engine_speed& speed = speed_of(state, item.service).model.speed();
    if (!is_engine_service(state, item.service)) return speed.base_ms;
    const prompt_shape& prompt = item.input.prompt;
    // The rest of an engine's time generates tokens.
    return prefill_ms(speed, work_of(prompt.tokens, prompt)) / state.settings.engine.prefill_time_share;
}

//-----------------------------------------------------------------------------
// [SECTION] Repeats
//-----------------------------------------------------------------------------

constexpr duration longest_window = 10s;
// Callers state the time that is left when they send. A repeat follows a refusal by min_retry_after at least;
// first attempts differ by less than half of that.
constexpr double repeat_margin_share = 0.5; // of router_settings::min_retry_after
// Callers of a route may have different time limits. Repeats follow refusals, of this or another router, so
// work beyond this factor times this router's refusals is no repeat.
constexpr double max_repeats_per_refusal = 2.0;
constexpr double free_repeats_ms = 2000;

/// Updates the longest time that callers of a route have stated. Returns it.
duration note_remaining(windowed_longest& longest, duration remaining, time_point now) {
    if (now - longest.began >= longest_window) {
        longest.previous = now - longest.began < 2 * longest_window ? longest.current : duration{};
        longest.current = {};
        longest.began = now;
    }
    longest.current = std::max(longest.current, remaining);
    return std::max(longest.current, longest.previous);
}

bool is_repeat(router_state& state, demand_counter& counter, const request& item) {
    if (!item.input.remaining) return false;
    constexpr std::size_t max_routes = 4096; // of declarations that change often, in one process
    if (counter.remaining.size() >= max_routes) counter.remaining.clear();
    const duration longest =
        note_remaining(counter.remaining[item.route.name], *item.input.remaining, state.now);
    const auto margin = static_cast<double>(state.settings.min_retry_after.count()) * repeat_margin_share;
    if (static_cast<double>((longest - *item.input.remaining).count()) < margin) return false;
    return counter.repeated_ms < free_repeats_ms + max_repeats_per_refusal * counter.refused_any_ms;
}

} // namespace

//-----------------------------------------------------------------------------
// [SECTION] Counting
//-----------------------------------------------------------------------------

void note_offered_work(router_state& state, request& item) {
    if (find_autoscaling(state, item.service) == nullptr) return;
    // A stream that resumes was counted when it began.
    if (!item.input.resume_after.empty()) return;
    demand_counter& counter = state.demand[item.service];
    const double work_ms = full_work_ms(state, item) * counter.read_ratio;
    if (is_repeat(state, counter, item)) {
        counter.repeated_ms += work_ms;
        return;
    }
    item.demand_ms = work_ms;
    counter.offered_ms += work_ms;
}

void note_placed_work(router_state& state, const request& item, const placement_choice& choice) {
    if (!is_engine_service(state, item.service) || find_autoscaling(state, item.service) == nullptr) return;
    constexpr double weight = 0.02; // of the latest placement: the mix of routes changes within seconds
    const auto whole = static_cast<double>(item.input.prompt.tokens);
    const target_state* target = find_target(state, item.target);
    const double full_ms = full_work_ms(state, item) * state.settings.engine.prefill_time_share;
    if (whole <= 0 || full_ms <= 0 || target == nullptr) return;
    const double placed_ms = choice.prefill_ms / slowdown_factor(target->load.slowdown, state.now);
    demand_counter& counter = state.demand[item.service];
    // Weighted by the work, so that the ratio holds for the sum.
    const double ratio = std::clamp(placed_ms / full_ms, 0.0, 1.0);
    counter.mean_full_ms += weight * (full_ms - counter.mean_full_ms);
    const double share = std::min(1.0, weight * full_ms / std::max(counter.mean_full_ms, full_ms * weight));
    counter.read_ratio += share * (ratio - counter.read_ratio);
}

void note_refused_work(router_state& state, const request& item) {
    if (find_autoscaling(state, item.service) == nullptr) return;
    demand_counter& counter = state.demand[item.service];
    counter.refused_ms += item.demand_ms;
    counter.refused_any_ms +=
        item.demand_ms > 0 ? item.demand_ms : full_work_ms(state, item) * counter.read_ratio;
}

//-----------------------------------------------------------------------------
// [SECTION] Reports
//-----------------------------------------------------------------------------

std::vector<service_demand_row> own_demand(const router_state& state) {
    std::vector<service_demand_row> rows;
    for (const auto& [service, counter] : state.demand) {
        if (find_autoscaling(state, service) == nullptr) continue;
        rows.push_back({stable_hash(service), static_cast<std::uint64_t>(counter.offered_ms),
                        static_cast<std::uint64_t>(counter.refused_ms)});
    }
    return rows;
}

void note_peer_demand(router_state& state, std::uint64_t router, std::span<const service_demand_row> rows,
                      std::string_view data_centre) {
    if (!state.active_catalog || rows.empty()) return;
    for (const auto& [service, declaration] : state.active_catalog->services) {
        if (!declaration.autoscaling) continue;
        const auto row = std::ranges::find(rows, stable_hash(service), &service_demand_row::service);
        if (row == rows.end()) continue;
        note_demand(state.target_orders.demand[service], *row, router, data_centre, state.now);
    }
}

//-----------------------------------------------------------------------------
// [SECTION] Observations
//-----------------------------------------------------------------------------

namespace {

/// Part of a usual target's work that this one can do when new targets could serve.
double capability(const router_state& state, const target_state& target, const service_declaration& service) {
    if (state.now < target.ejected_until) return 0;
    if (target.cold_until - state.now <= service.autoscaling->boot_time) return 1;
    // A cold target takes cold_per_s requests a second, each as long as a usual one.
    constexpr double usual_requests_per_slot_s = 1;
    const double usual = usual_requests_per_slot_s * std::max(1U, target.entry.slots);
    return std::min(1.0, service.cold_per_s / usual);
}

bool is_rollout_active(const router_state& state, const std::string& service) {
    const auto order = state.active_catalog->rollouts.find(service);
    if (order == state.active_catalog->rollouts.end()) return false;
    const auto status = state.active_catalog->rollout_states.find(service);
    return status == state.active_catalog->rollout_states.end() ||
           status->second.version != order->second.version || status->second.phase == rollout_phase::running;
}

service_observation observe_service(router_state& state, const std::string& name,
                                    const service_declaration& service) {
    service_observation seen;
    seen.service = name;
    seen.limits = *service.autoscaling;
    seen.rollout_active = is_rollout_active(state, name);
    std::map<std::string_view, observed_targets> places;
    // A data centre may have lost all its targets, or have been evacuated without any left.
    for (const auto& [data_centre, plan] : state.target_orders.plans[name].data_centres)
        places[data_centre].data_centre = data_centre;
    static const std::vector<target_state*> no_targets;
    const auto targets = state.targets_by_service.find(name);
    double slots = 0;
    double count = 0;
    double kv_share = 0; // sum of the targets' used shares
    double running = 0;
    for (const target_state* target :
         targets == state.targets_by_service.end() ? no_targets : targets->second) {
        observed_targets& place = places[target->entry.data_centre];
        place.data_centre = target->entry.data_centre;
        slots += std::max(1U, target->entry.slots);
        ++count;
        if (target->gone) continue;
        running += total_running(target->load);
        if (target->load.kv_limit > 0)
            kv_share += static_cast<double>(total_kv_tokens(target->load)) /
                        static_cast<double>(target->load.kv_limit);
        if (target->entry.draining || target->notices.leaving) continue;
        ++place.registered;
        place.working += capability(state, *target, service);
    }
    for (auto& [data_centre, place] : places) {
        place.evacuated = state.active_catalog->evacuated.contains(data_centre);
        seen.data_centres.push_back(std::move(place));
    }
    const double mean_slots = slots / std::max(count, 1.0);
    constexpr double ms_per_s = 1000;
    seen.target_ms_per_s = service.engine ? ms_per_s : ms_per_s * std::max(1.0, mean_slots);
    seen.slots_in_use = std::max(running / std::max(1.0, mean_slots), kv_share);
    return seen;
}

//-----------------------------------------------------------------------------
// [SECTION] Orders
//-----------------------------------------------------------------------------

void log_change(const target_order_change& change, effects& out) {
    const auto number = [](double value) { return std::to_string(std::lround(value)); };
    const target_count_order& order = change.order;
    const order_basis& basis = change.basis;
    out.emplace_back(
        count{order.desired > change.before ? "target_orders_raised_total" : "target_orders_lowered_total",
              order.service, 1});
    out.emplace_back(log_event{
        "target_order",
        "\"service\":" + quoted(order.service) + ",\"data_centre\":" + quoted(order.data_centre) +
            ",\"desired\":" + number(order.desired) + ",\"before\":" + number(change.before) +
            ",\"registered\":" + number(change.registered) + ",\"working\":" + number(change.working) +
            ",\"lost\":" + number(change.lost) + ",\"offered_ms_per_s\":" + number(basis.offered_ms) +
            ",\"refused_ms_per_s\":" + number(basis.refused_ms) +
            ",\"growth_ms_per_s\":" + number(basis.growth_ms) + ",\"needed\":" + number(basis.needed) +
            ",\"held\":" + number(basis.held) + ",\"available\":" + number(basis.available),
        true});
}

/// Begins anew after a time without the duty, and forgets services that no longer declare autoscaling.
void prune(router_state& state) {
    target_order_state& orders = state.target_orders;
    if (state.now - orders.asked_at > state.settings.target_orders.max_pause) orders = {};
    orders.asked_at = state.now;
    const auto is_undeclared = [&](const auto& entry) {
        return find_autoscaling(state, entry.first) == nullptr;
    };
    std::erase_if(orders.plans, is_undeclared);
    std::erase_if(orders.demand, is_undeclared);
}

} // namespace

std::vector<target_count_order> due_target_orders(router_state& state, effects& out) {
    std::vector<target_count_order> due;
    if (!state.active_catalog) return due;
    prune(state);
    target_order_state& orders = state.target_orders;
    const target_order_settings& settings = state.settings.target_orders;
    if (state.now - orders.decided_at < settings.period) return due;
    orders.decided_at = state.now;
    note_peer_demand(state, state.settings.incarnation, own_demand(state), state.settings.data_centre);
    for (const auto& [name, service] : state.active_catalog->services) {
        if (!service.autoscaling) continue;
        const service_observation seen = observe_service(state, name, service);
        service_plan& plan = orders.plans[name];
        for (const target_order_change& change :
             update_plan(plan, orders.demand[name], seen, settings, state.now))
            log_change(change, out);
        for (target_count_order& order : take_due_orders(plan, seen, settings, state.now)) {
            out.emplace_back(count{"target_orders_due_total", name, 1});
            due.push_back(std::move(order));
        }
    }
    return due;
}

void note_order_accepted(router_state& state, const target_count_order& order) {
    const auto plan = state.target_orders.plans.find(order.service);
    if (plan != state.target_orders.plans.end()) acknowledge_order(plan->second, order);
}

} // namespace damaskhill::direct
