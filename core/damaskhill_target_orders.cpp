// Index of this file:
// [SECTION] Settings
// [SECTION] Offered work
// [SECTION] Needed number
// [SECTION] Observed targets
// [SECTION] Numbers of the data centres
// [SECTION] Decision
// [SECTION] Orders

#include "damaskhill_target_orders.hpp"

#include <algorithm>
#include <cmath>
#include <limits>

namespace damaskhill {

//-----------------------------------------------------------------------------
// [SECTION] Settings
//-----------------------------------------------------------------------------

double max_utilisation(const target_order_settings& settings) {
    const double wait = 2 * settings.max_wait_in_requests;
    return wait / (1 + wait);
}

namespace {

duration scaled(duration time, double factor) {
    return duration{static_cast<std::int64_t>(static_cast<double>(time.count()) * factor)};
}

/// Time after which an order has become visible in the number of targets.
duration order_time(const target_order_settings& settings, duration boot_time) {
    return boot_time + settings.settling_time;
}

} // namespace

duration hold_time(const target_order_settings& settings, duration boot_time) {
    return std::clamp(scaled(boot_time, settings.loss_ratio), settings.min_hold, settings.max_hold);
}

//-----------------------------------------------------------------------------
// [SECTION] Offered work
//-----------------------------------------------------------------------------

namespace {

std::int64_t slice_number(time_point at) { return at.time_since_epoch() / work_slice; }

std::size_t slice_index(std::int64_t number) { return static_cast<std::size_t>(number) % work_slices; }

/// Fraction of a slice that lies between two times.
double part_of_slice(std::int64_t number, time_point from, time_point until) {
    const time_point begin{number * work_slice};
    const duration inside = std::min(until, begin + work_slice) - std::max(from, begin);
    return to_seconds(std::max<duration>(inside, 0s)) / to_seconds(work_slice);
}

void advance_slices(work_history& history, std::int64_t newest) {
    const auto first = std::max(history.newest + 1, newest - static_cast<std::int64_t>(work_slices) + 1);
    for (std::int64_t number = first; number <= newest; ++number)
        history.slices.at(slice_index(number)) = {};
    history.newest = std::max(history.newest, newest);
}

constexpr duration history_length = work_slice * static_cast<std::int64_t>(work_slices - 1);

} // namespace

void add_work(work_history& history, const offered_work& work, time_point from, time_point until) {
    advance_slices(history, slice_number(until));
    from = std::clamp(from, until - history_length, until - duration{1});
    const double slices = to_seconds(until - from) / to_seconds(work_slice);
    for (std::int64_t number = slice_number(from); number <= slice_number(until); ++number) {
        const double part = part_of_slice(number, from, until) / slices;
        offered_work& slice = history.slices.at(slice_index(number));
        slice.offered_ms += work.offered_ms * part;
        slice.refused_ms += work.refused_ms * part;
    }
}

offered_work work_between(const work_history& history, time_point from, time_point until) {
    offered_work sum;
    const auto oldest = history.newest - static_cast<std::int64_t>(work_slices) + 1;
    const auto first = std::max(slice_number(from), oldest);
    const auto last = std::min(slice_number(until), history.newest);
    for (std::int64_t number = first; number <= last; ++number) {
        const offered_work& slice = history.slices.at(slice_index(number));
        const double part = part_of_slice(number, from, until);
        sum.offered_ms += slice.offered_ms * part;
        sum.refused_ms += slice.refused_ms * part;
    }
    return sum;
}

void note_demand(service_demand& demand, const service_demand_row& row, std::uint64_t router,
                 std::string_view data_centre, time_point now) {
    if (demand.listening_since == time_point{}) demand.listening_since = now;
    data_centre_demand& place = demand.data_centres.try_emplace(std::string{data_centre}).first->second;
    place.heard = std::max(place.heard, now);
    const auto [found, is_first] = demand.routers.try_emplace(router);
    router_demand& known = found->second;
    // Reports may overtake each other.
    const bool is_newer = row.offered_ms >= known.offered_ms && row.refused_ms >= known.refused_ms;
    if (!is_first && (!is_newer || now <= known.heard)) return;
    if (!is_first) {
        const offered_work work{static_cast<double>(row.offered_ms - known.offered_ms),
                                static_cast<double>(row.refused_ms - known.refused_ms)};
        add_work(place.history, work, known.heard, now);
        demand.has_work = demand.has_work || work.offered_ms > 0;
    }
    known = {row.offered_ms, row.refused_ms, now};
}

void forget_silent_routers(service_demand& demand, const target_order_settings& settings, time_point now) {
    std::erase_if(demand.routers,
                  [&](const auto& entry) { return now - entry.second.heard > settings.router_timeout; });
}

//-----------------------------------------------------------------------------
// [SECTION] Needed number
//-----------------------------------------------------------------------------

namespace {

/// Work per second of all data centres between two times.
offered_work rate_between(const service_demand& demand, time_point from, time_point until) {
    offered_work rate;
    const double seconds = to_seconds(until - from);
    for (const auto& [name, place] : demand.data_centres) {
        const offered_work work = work_between(place.history, from, until);
        rate.offered_ms += work.offered_ms / seconds;
        rate.refused_ms += work.refused_ms / seconds;
    }
    return rate;
}

constexpr int trend_parts = 4; // of half a window each

/// Growth of the offered work, ms per second each second. A step touches two neighbouring differences, so the
/// least of three shows only growth that lasts.
double lasting_growth(const service_demand& demand, const target_order_settings& settings, time_point end) {
    const duration part = settings.window / 2;
    if (end - demand.listening_since < part * trend_parts) return 0;
    double least = std::numeric_limits<double>::max();
    double later = rate_between(demand, end - part, end).offered_ms;
    for (int i = 1; i < trend_parts; ++i) {
        const double earlier = rate_between(demand, end - part * (i + 1), end - part * i).offered_ms;
        least = std::min(least, later - earlier);
        later = earlier;
    }
    return std::max(0.0, least) / to_seconds(part);
}

/// Rates and the number of targets that they need.
order_basis measure(const service_demand& demand, const service_observation& seen,
                    const target_order_settings& settings, time_point now) {
    constexpr duration min_listening = 1s;
    constexpr double max_refused_factor = 2.0; // by which refusals raise the slots that are needed
    order_basis basis;
    const time_point end = now - settings.report_lag;
    if (demand.listening_since == time_point{} || end - demand.listening_since < min_listening) return basis;
    const duration known = end - demand.listening_since;
    const offered_work usual = rate_between(demand, end - std::min(known, settings.window), end);
    const offered_work latest = rate_between(demand, end - std::min(known, settings.window / 2), end);
    basis.offered_ms = std::max(usual.offered_ms, settings.short_window_weight * latest.offered_ms);
    basis.refused_ms = usual.refused_ms;
    basis.growth_ms = std::min(settings.max_growth * basis.offered_ms,
                               lasting_growth(demand, settings, end) * to_seconds(seen.limits.boot_time));
    const double by_work = (basis.offered_ms + basis.growth_ms) /
                           (std::max(seen.target_ms_per_s, 1.0) * max_utilisation(settings));
    const double served = usual.offered_ms - usual.refused_ms;
    const double refused_factor = served > 0 ? std::min(max_refused_factor, usual.offered_ms / served) : 1.0;
    const double by_slots = seen.slots_in_use * refused_factor / settings.max_slot_use;
    constexpr double max_needed = 1e8; // no sum of declared limits is larger
    basis.needed = static_cast<std::uint32_t>(std::ceil(std::min(max_needed, std::max(by_work, by_slots))));
    return basis;
}

/// Adds the number that is needed now. Returns the largest one within the hold time.
std::uint32_t hold_needed(service_plan& plan, std::uint32_t needed, duration hold, time_point now) {
    while (!plan.needs.empty() && plan.needs.back().second <= needed)
        plan.needs.pop_back();
    plan.needs.emplace_back(now, needed);
    while (now - plan.needs.front().first > hold)
        plan.needs.pop_front();
    return plan.needs.front().second;
}

} // namespace

//-----------------------------------------------------------------------------
// [SECTION] Observed targets
//-----------------------------------------------------------------------------

void follow(delayed_number& number, std::uint32_t candidate, duration rise_after, duration fall_after,
            time_point now) {
    if (candidate <= number.value) number.higher_since.reset();
    if (candidate >= number.value) number.lower_since.reset();
    if (candidate > number.value) {
        number.least_higher = number.higher_since ? std::min(number.least_higher, candidate) : candidate;
        if (!number.higher_since) number.higher_since = now;
        if (now - *number.higher_since < rise_after) return;
        number.value = number.least_higher;
        number.higher_since.reset();
    } else if (candidate < number.value) {
        number.most_lower = number.lower_since ? std::max(number.most_lower, candidate) : candidate;
        if (!number.lower_since) number.lower_since = now;
        if (now - *number.lower_since < fall_after) return;
        number.value = number.most_lower;
        number.lower_since.reset();
    }
}

namespace {

void set_since(std::optional<time_point>& since, bool holds, time_point now) {
    if (!holds)
        since.reset();
    else if (!since)
        since = now;
}

bool has_lasted(const std::optional<time_point>& since, duration time, time_point now) {
    return since && now - *since >= time;
}

bool is_down(const data_centre_plan& place, const target_order_settings& settings, time_point now) {
    return has_lasted(place.down_since, settings.loss_patience, now);
}

/// Targets that are not registered although their order was accepted and repeated.
std::uint32_t missing_targets(const data_centre_plan& place) {
    constexpr std::uint32_t min_repeats = 2;
    if (!place.ordered || place.repeats < min_repeats) return 0;
    return *place.ordered - std::min(*place.ordered, place.registered);
}

/// Updates what is known of a data centre's targets.
void observe(data_centre_plan& place, const observed_targets& targets, const service_observation& seen,
             const target_order_settings& settings, time_point now) {
    const bool has_returned = place.evacuated && !targets.evacuated;
    place.registered = targets.registered;
    place.working = std::min(targets.working, static_cast<double>(targets.registered));
    place.evacuated = targets.evacuated;
    set_since(place.evacuated_since, targets.evacuated, now);
    if (place.ordered == place.registered) place.repeats = 0;
    const duration hold = hold_time(settings, seen.limits.boot_time);
    const bool is_settling = now - place.ordered_at < order_time(settings, seen.limits.boot_time);
    const std::uint32_t expected = is_settling ? std::min(place.base, place.registered) : place.base;
    set_since(place.down_since, place.working * 2 < expected && !targets.evacuated, now);
    // Its clients come back with it.
    if (has_returned) place.short_since = now - hold;
    if (targets.evacuated || place.down_since || seen.rollout_active) {
        place.lost.higher_since.reset();
        place.lost.lower_since.reset();
        return;
    }
    const auto unusable = static_cast<std::uint32_t>(std::floor(place.registered - place.working));
    const std::uint32_t lost =
        is_settling ? std::max(unusable, place.lost.value) : unusable + missing_targets(place);
    follow(place.lost, std::min(lost, place.base), settings.loss_patience, hold, now);
}

} // namespace

//-----------------------------------------------------------------------------
// [SECTION] Numbers of the data centres
//-----------------------------------------------------------------------------

std::vector<std::uint32_t> split_by_weight(std::uint32_t total, std::span<const weighted_bounds> parts) {
    std::vector<std::uint32_t> numbers;
    std::uint32_t sum = 0;
    for (const weighted_bounds& part : parts) {
        numbers.push_back(part.least);
        sum += part.least;
    }
    // Each further one goes to the part with the fewest for its weight (Webster's method).
    const auto load = [&](std::size_t i) { return (numbers[i] + 0.5) / std::max(parts[i].weight, 1e-9); };
    while (sum < total) {
        std::optional<std::size_t> next;
        for (std::size_t i = 0; i < parts.size(); ++i) {
            if (numbers[i] < parts[i].most && (!next || load(i) < load(*next))) next = i;
        }
        if (!next) break;
        ++numbers[*next];
        ++sum;
    }
    return numbers;
}

namespace {

/// A data centre whose number may be set, with the number that the load gives it.
struct open_place {
    data_centre_plan* plan{};
    std::uint32_t most{};  // of the base
    std::uint32_t ideal{}; // by its share of the load
    bool has_evidence{};   // its routers have reported lately
};

/// Share of the load that a data centre without any still gets, relative to an even one: requests of other
/// data centres use its targets.
constexpr double min_weight_share = 0.1;

bool has_evidence(const service_demand& demand, std::string_view name, const target_order_settings& settings,
                  time_point now) {
    const auto found = demand.data_centres.find(name);
    return found != demand.data_centres.end() && now - found->second.heard <= settings.window;
}

double weight_of(const service_demand& demand, std::string_view name) {
    const auto found = demand.data_centres.find(name);
    return found == demand.data_centres.end() ? 0.0 : found->second.smoothed_ms;
}

/// Data centres whose numbers follow the load, and the targets that work in the others.
std::pair<std::vector<open_place>, double> open_places(service_plan& plan, const service_demand& demand,
                                                       const service_observation& seen,
                                                       const target_order_settings& settings,
                                                       time_point now) {
    std::vector<open_place> open;
    double elsewhere = 0;
    for (auto& [name, place] : plan.data_centres) {
        if (place.evacuated) continue;
        if (is_down(place, settings, now)) {
            elsewhere += std::min<double>(place.working, place.base);
            continue;
        }
        const std::uint32_t most =
            std::max(seen.limits.min_targets,
                     seen.limits.max_targets - std::min(seen.limits.max_targets, place.lost.value));
        open.push_back({&place, most, 0, has_evidence(demand, name, settings, now)});
        place.base = std::clamp(place.base, seen.limits.min_targets, most);
    }
    return {std::move(open), elsewhere};
}

void set_ideals(std::vector<open_place>& open, const service_plan& plan, const service_demand& demand,
                const service_observation& seen, std::uint32_t total) {
    std::vector<weighted_bounds> bounds;
    double sum = 0;
    for (const auto& [name, place] : plan.data_centres)
        sum += weight_of(demand, name);
    std::size_t i = 0;
    for (const auto& [name, place] : plan.data_centres) {
        if (i == open.size() || open[i].plan != &place) continue;
        const double even = std::max(sum, 1.0) / static_cast<double>(plan.data_centres.size());
        bounds.push_back({std::max(weight_of(demand, name), min_weight_share * even), seen.limits.min_targets,
                          open[i].most});
        ++i;
    }
    const auto ideals = split_by_weight(total, bounds);
    for (i = 0; i < open.size(); ++i)
        open[i].ideal = ideals[i];
}

std::uint32_t sum_of_bases(std::span<const open_place> open) {
    std::uint32_t sum = 0;
    for (const open_place& place : open)
        sum += place.plan->base;
    return sum;
}

double shortage(const open_place& place) {
    return static_cast<double>(place.ideal) - static_cast<double>(place.plan->base);
}

/// Raises the numbers, those furthest below their ideal first, until the sum is reached.
void raise_bases(std::vector<open_place>& open, std::uint32_t total) {
    for (std::uint32_t sum = sum_of_bases(open); sum < total; ++sum) {
        open_place* next = nullptr;
        for (open_place& place : open) {
            if (place.plan->base < place.most && (next == nullptr || shortage(place) > shortage(*next)))
                next = &place;
        }
        if (next == nullptr) return;
        ++next->plan->base;
    }
}

/// Raises a data centre that has long had clearly less than its share of the load. The others fall later.
void rebalance(std::vector<open_place>& open, const target_order_settings& settings, duration hold,
               time_point now) {
    constexpr double min_difference = 2;
    for (open_place& place : open) {
        const double least = std::max(min_difference, settings.rebalancing_share * place.ideal);
        const auto since = place.plan->short_since;
        set_since(place.plan->short_since, shortage(place) >= least, now);
        // What has lasted long enough already also counts if the difference is smaller.
        const bool lasts = has_lasted(since, hold, now) && shortage(place) > 0;
        if (!lasts) continue;
        place.plan->base = place.ideal;
        place.plan->short_since.reset();
    }
}

/// Lowers the numbers by one step, those furthest above their ideal first.
void lower_bases(std::vector<open_place>& open, std::uint32_t total, const target_order_settings& settings,
                 std::uint32_t least) {
    std::uint32_t sum = sum_of_bases(open);
    const auto step = static_cast<std::uint32_t>(std::ceil(settings.step_share * sum));
    for (std::uint32_t i = 0; i < step && sum > total; ++i, --sum) {
        open_place* next = nullptr;
        for (open_place& place : open) {
            const bool may_fall = place.has_evidence && place.plan->base > least && shortage(place) < 0;
            if (may_fall && (next == nullptr || shortage(place) < shortage(*next))) next = &place;
        }
        if (next == nullptr) return;
        --next->plan->base;
    }
}

/// Lowers the numbers of data centres that have been evacuated for long; the others have their part.
void lower_evacuated(service_plan& plan, const service_observation& seen,
                     const target_order_settings& settings, time_point now) {
    for (auto& [name, place] : plan.data_centres) {
        if (!has_lasted(place.evacuated_since, hold_time(settings, seen.limits.boot_time), now)) continue;
        const auto step = static_cast<std::uint32_t>(std::ceil(settings.step_share * place.base));
        place.base -= std::min(step, place.base - std::min(place.base, seen.limits.min_targets));
        place.lost = {};
    }
}

} // namespace

//-----------------------------------------------------------------------------
// [SECTION] Decision
//-----------------------------------------------------------------------------

namespace {

void smooth_weights(service_demand& demand, const target_order_settings& settings, duration hold,
                    time_point now) {
    const time_point end = now - settings.report_lag;
    for (auto& [name, place] : demand.data_centres) {
        const offered_work work = work_between(place.history, end - settings.window, end);
        const double rate = work.offered_ms / to_seconds(settings.window);
        // The mean of all that is known, until that is longer than the hold time.
        const duration known = std::min(hold, now - demand.listening_since);
        const double weight =
            to_seconds(now - place.smoothed_at) / std::max(to_seconds(known), to_seconds(work_slice));
        place.smoothed_ms += std::clamp(weight, 0.0, 1.0) * (rate - place.smoothed_ms);
        place.smoothed_at = now;
    }
}

/// A predecessor's orders may still be under way, so at first the number that is seen counts.
bool is_listening(const service_plan& plan, const service_observation& seen,
                  const target_order_settings& settings, time_point now) {
    return now - *plan.since < order_time(settings, seen.limits.boot_time) + settings.window;
}

void observe_all(service_plan& plan, const service_observation& seen, const target_order_settings& settings,
                 time_point now) {
    const bool listening = is_listening(plan, seen, settings, now);
    for (const observed_targets& targets : seen.data_centres) {
        data_centre_plan& place = plan.data_centres[targets.data_centre];
        if (listening && !place.ordered) place.base = targets.registered;
        observe(place, targets, seen, settings, now);
    }
    // A data centre without targets is not in the list.
    for (auto& [name, place] : plan.data_centres) {
        const auto found = std::ranges::find(seen.data_centres, name, &observed_targets::data_centre);
        if (found == seen.data_centres.end())
            observe(place, {name, 0, 0.0, place.evacuated}, seen, settings, now);
    }
}

std::vector<target_order_change> changed_orders(service_plan& plan, const service_observation& seen,
                                                const target_order_settings& settings, time_point now) {
    std::vector<target_order_change> changes;
    const bool listening = is_listening(plan, seen, settings, now);
    for (auto& [name, place] : plan.data_centres) {
        const std::uint32_t wanted =
            std::clamp(place.base + place.lost.value, seen.limits.min_targets, seen.limits.max_targets);
        if (place.ordered == wanted) continue;
        if (!place.ordered && wanted <= place.registered && listening) continue;
        const std::uint32_t before = place.ordered.value_or(place.registered);
        // What the service has already needs no order.
        place.acknowledged = !place.ordered && wanted == place.registered;
        place.ordered = wanted;
        place.ordered_at = now;
        place.sent_at = {};
        if (place.acknowledged) continue;
        changes.push_back({{seen.service, name, wanted},
                           before,
                           place.registered,
                           place.working,
                           place.lost.value,
                           plan.basis});
    }
    return changes;
}

} // namespace

std::vector<target_order_change> update_plan(service_plan& plan, service_demand& demand,
                                             const service_observation& seen,
                                             const target_order_settings& settings, time_point now) {
    if (!plan.since) plan.since = now;
    const duration hold = hold_time(settings, seen.limits.boot_time);
    forget_silent_routers(demand, settings, now);
    smooth_weights(demand, settings, hold, now);
    observe_all(plan, seen, settings, now);
    plan.basis = measure(demand, seen, settings, now);
    plan.basis.held = hold_needed(plan, plan.basis.needed, hold, now);
    auto [open, elsewhere] = open_places(plan, demand, seen, settings, now);
    const std::uint32_t total =
        plan.basis.held - std::min(plan.basis.held, static_cast<std::uint32_t>(std::floor(elsewhere)));
    set_ideals(open, plan, demand, seen, total);
    raise_bases(open, total);
    if (demand.has_work) rebalance(open, settings, hold, now);
    const bool may_lower = demand.has_work && !seen.rollout_active && now - *plan.since >= hold &&
                           now - plan.lowered_at >= settings.step_interval;
    if (may_lower) {
        lower_bases(open, total, settings, seen.limits.min_targets);
        lower_evacuated(plan, seen, settings, now);
        plan.lowered_at = now;
    }
    plan.basis.available = sum_of_bases(open) + static_cast<std::uint32_t>(std::floor(elsewhere));
    return changed_orders(plan, seen, settings, now);
}

//-----------------------------------------------------------------------------
// [SECTION] Orders
//-----------------------------------------------------------------------------

namespace {

/// Whether an accepted order must be sent again: an older one, executed late, may have replaced it.
bool differs_for_long(const data_centre_plan& place, duration visible_after, time_point now) {
    constexpr std::uint32_t max_doublings = 3; // of the interval: a lost target may stay registered nowhere
    const duration interval = visible_after * (1U << std::min(place.repeats, max_doublings));
    const time_point latest = std::max(place.ordered_at, place.repeated_at);
    return !place.evacuated && place.registered != *place.ordered && now - latest >= interval;
}

} // namespace

std::vector<target_count_order> take_due_orders(service_plan& plan, const service_observation& seen,
                                                const target_order_settings& settings, time_point now) {
    std::vector<target_count_order> due;
    const duration visible_after = order_time(settings, seen.limits.boot_time);
    for (auto& [name, place] : plan.data_centres) {
        if (!place.ordered) continue;
        if (place.acknowledged && !seen.rollout_active && differs_for_long(place, visible_after, now)) {
            place.acknowledged = false;
            place.repeated_at = now;
            place.sent_at = {};
            ++place.repeats;
        }
        if (place.acknowledged || now - place.sent_at < settings.repeat_interval) continue;
        place.sent_at = now;
        due.push_back({seen.service, name, *place.ordered});
    }
    return due;
}

void acknowledge_order(service_plan& plan, const target_count_order& order) {
    const auto found = plan.data_centres.find(order.data_centre);
    if (found != plan.data_centres.end() && found->second.ordered == order.desired)
        found->second.acknowledged = true;
}

} // namespace damaskhill
