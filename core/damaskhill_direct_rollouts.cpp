// Index of this file:
// [SECTION] Orders
// [SECTION] Evidence
// [SECTION] Reports
// [SECTION] Share
// [SECTION] Choice of a version
// [SECTION] Verdict and status

#include "damaskhill_direct_internal.hpp"

#include <algorithm>
#include <cmath>

namespace damaskhill::direct {

//-----------------------------------------------------------------------------
// [SECTION] Orders
//-----------------------------------------------------------------------------

namespace {

const rollout_order* find_order(const router_state& state, std::string_view service) {
    if (!state.active_catalog) return nullptr;
    const auto order = state.active_catalog->rollouts.find(service);
    return order == state.active_catalog->rollouts.end() ? nullptr : &order->second;
}

/// Progress of the order that is in force; null before this router has followed it.
rollout_progress* find_progress(router_state& state, std::string_view service) {
    const rollout_order* order = find_order(state, service);
    const auto found = state.rollouts.find(service);
    return order != nullptr && found != state.rollouts.end() && found->second.order == *order ? &found->second
                                                                                              : nullptr;
}

const rollout_status* current_status(const router_state& state, const rollout_order& order) {
    const auto status = state.active_catalog->rollout_states.find(order.service);
    // A status older than the order belongs to a previous order, and so may one that a restored store has
    // instead of what was written for an order of the era before.
    if (status == state.active_catalog->rollout_states.end() || status->second.position < order.position ||
        status->second.position.era != order.position.era)
        return nullptr;
    return status->second.version == order.version ? &status->second : nullptr;
}

/// Final phase of the rollout, if it has one.
std::optional<rollout_phase> final_phase(const router_state& state, const rollout_progress& progress,
                                         const rollout_order& order) {
    const rollout_status* status = current_status(state, order);
    if (status != nullptr && status->phase != rollout_phase::running) return status->phase;
    return progress.settled;
}

/// Starts the progress of a new order. An order that is written again after a restore of the store goes on.
void follow_order(router_state& state, rollout_progress& progress, const rollout_order& order) {
    if (progress.order == order) return;
    rollout_order rewritten = progress.order;
    rewritten.position = order.position;
    const bool restored = order.position.era > progress.order.position.era && rewritten == order;
    if (!restored) {
        progress = {};
        progress.first_seen = state.now;
        progress.test_start = state.now;
        // A random part of the first credit. Otherwise many routers with few requests each would all expose
        // nothing for a long time.
        progress.credit.balance = state.random.next_unit();
    }
    progress.order = order;
}

} // namespace

//-----------------------------------------------------------------------------
// [SECTION] Evidence
//-----------------------------------------------------------------------------

namespace {

incarnation_id owner_id(std::uint64_t router) { return {0, router}; }

/// Chooses the names under which the outcomes of the service's routes are counted. Services with many routes
/// share names, so that a report stays small. All routers with the same declarations choose the same names.
void choose_route_names(const router_state& state, std::string_view service, rollout_progress& progress) {
    const std::size_t most =
        std::max<std::size_t>(1, state.settings.rollouts.max_routes / state.active_catalog->rollouts.size());
    std::size_t routes = 0;
    for (const auto& [host, list] : state.active_catalog->routes) {
        routes += static_cast<std::size_t>(std::ranges::count_if(list, [&](const route_declaration& route) {
            return std::ranges::find(route.services, service, &weighted_service::service) !=
                   route.services.end();
        }));
    }
    progress.shared_names = routes <= most ? 0 : most;
    progress.names = std::clamp<std::size_t>(routes, 1, most);
}

/// Name under which the outcomes of a request's route are counted.
std::string evidence_route(const rollout_progress& progress, const request& item) {
    if (progress.shared_names == 0) return item.route.name;
    return "#" + std::to_string(stable_hash(item.route.name) % progress.shared_names);
}

/// Latency of an answer that arrives now. That of an engine is the ratio to its expected time, which depends
/// on the prompt and on the backlog; one second stands for a ratio of 1.
duration answer_latency(const router_state& state, const request& item) {
    constexpr duration timing_noise = 10ms; // hides differences between very fast answers
    const duration measured = state.now - item.sent_at;
    if (item.expected_first_byte_ms <= 0) return measured + timing_noise;
    const double ratio = to_milliseconds(measured + timing_noise) /
                         (item.expected_first_byte_ms + to_milliseconds(timing_noise));
    return duration{static_cast<std::int64_t>(ratio * to_seconds(1s) * 1e6)};
}

std::string counted_version(const rollout_progress& progress, const target_state& target) {
    return target.entry.version == progress.order.version ? progress.order.version : std::string{};
}

void record_outcome(router_state& state, rollout_progress& progress, const request& item,
                    const target_state& target, bool failed) {
    const evidence_key key{
        {}, counted_version(progress, target), evidence_route(progress, item), item.load_level};
    const duration latency = answer_latency(state, item);
    for (version_evidence* evidence : {&progress.local, &progress.fleet})
        record_attempt(*evidence, owner_id(state.settings.incarnation), key, failed, latency);
}

/// Calls record(progress, target) if the current attempt of the request is part of a running rollout.
template <class F>
void with_rollout(router_state& state, const request& item, F&& record) {
    rollout_progress* progress = find_progress(state, item.service);
    target_state* target = find_target(state, item.target);
    if (progress != nullptr && target != nullptr && target->entry.service == item.service)
        record(*progress, *target);
}

/// Counts attempts that have been awaited for longer than a slow answer takes. A version that is much slower
/// than the old one is thus found before its answers arrive.
void record_overdue_attempts(router_state& state, rollout_progress& progress) {
    for (const auto& [caller, item] : state.requests) {
        if (item->send_id == 0 || item->outcome_recorded || item->service != progress.order.service) continue;
        const target_state* target = find_target(state, item->target);
        if (target == nullptr) continue;
        const auto slow = slow_latency(progress.test, evidence_route(progress, *item), item->load_level,
                                       state.settings.rollouts.verdict);
        if (!slow || answer_latency(state, *item) < *slow) continue;
        item->outcome_recorded = true;
        record_outcome(state, progress, *item, *target, false);
    }
}

} // namespace

void begin_version_attempt(router_state& state, request& item, const target_state& target,
                           const placement_choice& choice) {
    item.outcome_recorded = false;
    item.expected_first_byte_ms = 0;
    if (find_progress(state, item.service) == nullptr) return;
    // A resumed stream may find its prompt cached.
    const bool is_warm = !is_cold(state, target) && item.last_event_id.empty();
    item.load_level =
        is_warm ? load_level_of(total_running(target.load), target.load.slots) : load_level_warming;
    if (is_engine_service(state, item.service) && item.input.prompt.tokens > 0)
        item.expected_first_byte_ms =
            choice.backlog_ms + first_byte_ms(speed_of(state, item.service).model.speed(), choice.work);
}

void record_version_answer(router_state& state, request& item, bool failed) {
    if (std::exchange(item.outcome_recorded, true)) return;
    with_rollout(state, item, [&](rollout_progress& progress, const target_state& target) {
        record_outcome(state, progress, item, target, failed);
    });
}

void record_version_break(router_state& state, request& item) {
    // A crash breaks the connections of its target at every router, and trouble on the way breaks those of
    // many targets at one moment: neither says more about a version than one failure.
    constexpr duration same_moment = 2s;
    with_rollout(state, item, [&](rollout_progress& progress, const target_state& target) {
        time_point& last =
            counted_version(progress, target).empty() ? progress.last_old_break : progress.last_new_break;
        if (state.now - last <= same_moment || rank_for_target(state, target.hash) != 0) return;
        last = state.now;
        record_outcome(state, progress, item, target, true);
    });
    item.outcome_recorded = true;
}

//-----------------------------------------------------------------------------
// [SECTION] Reports
//-----------------------------------------------------------------------------

namespace {

std::uint64_t age_us(time_point now, time_point at) {
    return static_cast<std::uint64_t>(std::max<std::int64_t>(0, (now - at).count()));
}

time_point time_of(time_point now, std::uint64_t age_us) {
    return now - duration{static_cast<std::int64_t>(age_us)};
}

void note_acceptance(rollout_progress& progress, time_point at) {
    progress.accepted_at = std::min(progress.accepted_at.value_or(at), at);
}

} // namespace

void add_rollout_rows(const router_state& state, router_report& report) {
    for (const auto& [service, progress] : state.rollouts) {
        const rollout_order* order = find_order(state, service);
        if (order == nullptr || progress.order != *order) continue;
        rollout_row row{order->position.revision,
                        order->position.era,
                        age_us(state.now, progress.first_seen),
                        progress.condemned,
                        progress.accepted_at ? age_us(state.now, *progress.accepted_at) + 1 : 0,
                        {}};
        if (report.is_summary) {
            for (const auto& [key, counts] : progress.local.totals)
                row.outcomes.push_back(to_row(key, counts));
        } else {
            const incarnation_id self = owner_id(state.settings.incarnation);
            for (const auto& [key, counts] : progress.local.counts) {
                if (key.first == self) row.outcomes.push_back(to_row(key.second, counts));
            }
        }
        report.rollouts.push_back(std::move(row));
    }
}

bool apply_rollout_rows(router_state& state, const router_report& report, effects& out) {
    bool is_news = false;
    const bool is_local = report.data_centre == state.settings.data_centre;
    for (const rollout_row& row : report.rollouts) {
        for (auto& [service, progress] : state.rollouts) {
            if (progress.order.position != store_position{row.order_era, row.order}) continue;
            // A router that starts during a rollout continues at the progress of the others.
            progress.first_seen = std::min(progress.first_seen, time_of(state.now, row.order_age_us));
            if (row.accepted_age_us > 0)
                note_acceptance(progress, time_of(state.now, row.accepted_age_us - 1));
            if (row.condemned && !progress.condemned) {
                progress.condemned = true;
                is_news = true;
                out.emplace_back(log_event{"version_condemned",
                                           "\"service\":" + quoted(service) +
                                               ",\"version\":" + quoted(progress.order.version) +
                                               ",\"by\":" + quoted(report.address),
                                           true});
            }
            // Outcomes at the routers of another data centre come in its summary only. Counts of different
            // relays differ by what restarted routers have forgotten; their maximum never counts twice.
            if (report.is_summary == is_local) continue;
            const incarnation_id owner =
                owner_id(report.is_summary ? summary_id(report.data_centre) : report.router);
            for (const evidence_row& outcome : row.outcomes) {
                merge_evidence(progress.fleet, owner, outcome);
                if (is_local) merge_evidence(progress.local, owner, outcome);
            }
        }
    }
    return is_news;
}

//-----------------------------------------------------------------------------
// [SECTION] Share
//-----------------------------------------------------------------------------

namespace {

/// Part of the order's time limit that has passed at the given time.
double elapsed_part(const rollout_progress& progress, time_point at) {
    const duration limit = progress.order.time_limit;
    return limit > 0s ? to_seconds(at - progress.first_seen) / to_seconds(limit) : 0.0;
}

/// Share of the new version while the rollout runs. Until the test accepts it, the version gets the canary
/// share. If that takes long, for lack of requests or because the evidence is not clear, the share grows
/// later and faster, so that a good version is still completed in time.
double running_share(const rollout_progress& progress, const rollout_settings& settings, time_point now) {
    if (progress.condemned) return 0.0;
    const double accepted =
        progress.accepted_at ? elapsed_part(progress, *progress.accepted_at) : settings.latest_ramp_start;
    const double start = std::clamp(accepted, settings.canary_end, settings.latest_ramp_start);
    const double end = std::max(settings.full_share_start, start + settings.min_ramp);
    const double grown = std::clamp((elapsed_part(progress, now) - start) / (end - start), 0.0, 1.0);
    if (is_doubtful(progress.test, settings.verdict)) return settings.canary_share;
    return settings.canary_share + (1.0 - settings.canary_share) * grown;
}

double new_version_share(const router_state& state, const rollout_progress& progress,
                         const rollout_order& order) {
    if (const auto phase = final_phase(state, progress, order))
        return *phase == rollout_phase::completed ? 1.0 : 0.0;
    return running_share(progress, state.settings.rollouts, state.now);
}

} // namespace

double version_share(const router_state& state, std::string_view service, std::string_view version) {
    const rollout_order* order = find_order(state, service);
    if (order == nullptr) return 1.0;
    const auto progress = state.rollouts.find(service);
    double share = 0.0;
    if (progress != state.rollouts.end() && progress->second.order == *order) {
        share = new_version_share(state, progress->second, *order);
    } else if (const rollout_status* status = current_status(state, *order)) {
        share = status->phase == rollout_phase::completed ? 1.0 : 0.0;
    }
    return order->version == version ? share : 1.0 - share;
}

//-----------------------------------------------------------------------------
// [SECTION] Choice of a version
//-----------------------------------------------------------------------------

namespace {

bool has_available_target(const router_state& state, const rollout_order& order) {
    const auto targets = state.targets_by_service.find(order.service);
    return targets != state.targets_by_service.end() &&
           std::ranges::any_of(targets->second, [&](const target_state* target) {
               return target->entry.version == order.version && is_available(state, *target);
           });
}

/// Whether the request may take the credit for the new version. While routes are in doubt, it is theirs
/// alone: each exposed request then adds to the evidence that is missing. Otherwise routes that are not
/// accepted yet take precedence.
bool takes_credit(const router_state& state, const rollout_progress& progress, const request& item) {
    constexpr double surplus_credit = 3.0;
    const verdict_settings& verdict = state.settings.rollouts.verdict;
    const std::string route = evidence_route(progress, item);
    if (is_doubtful(progress.test, verdict)) return is_doubtful(progress.test, route, verdict);
    const bool needs_evidence =
        progress.test.verdict != version_verdict::undecided || !route_accepted(progress.test, route, verdict);
    return needs_evidence || progress.credit.balance >= surplus_credit;
}

} // namespace

version_choice choose_version(router_state& state, request& item) {
    constexpr version_choice old_only{true, false};
    constexpr version_choice new_only{false, true};
    const rollout_order* order = find_order(state, item.service);
    if (order == nullptr) return {};
    const double share = version_share(state, item.service, order->version);
    rollout_progress* progress = find_progress(state, item.service);
    if (share <= 0 || progress == nullptr) return share >= 1 ? new_only : old_only;
    const bool is_completed = final_phase(state, *progress, *order).has_value();
    if (!is_completed && !has_available_target(state, *order)) return old_only;
    if (share >= 1) return new_only;
    if (item.sends > 0) return old_only;
    if (!std::exchange(item.counted_for_exposure, true)) {
        add_credit(progress->credit, share);
        item.exposed = takes_credit(state, *progress, item) && spend_credit(progress->credit);
    }
    return item.exposed ? new_only : old_only;
}

bool give_back_exposure(router_state& state, request& item) {
    rollout_progress* progress = find_progress(state, item.service);
    if (!item.exposed || item.sends > 0 || progress == nullptr) return false;
    item.exposed = false;
    refund_credit(progress->credit);
    return version_share(state, item.service, progress->order.version) < 1;
}

bool is_version_allowed(const router_state& state, const target_state& target, const version_choice& choice) {
    if (choice.old_version && choice.new_version) return true;
    const rollout_order* order = find_order(state, target.entry.service);
    const bool is_new = order != nullptr && target.entry.version == order->version;
    return is_new ? choice.new_version : choice.old_version;
}

//-----------------------------------------------------------------------------
// [SECTION] Verdict and status
//-----------------------------------------------------------------------------

namespace {

/// Sums over all routes and load levels.
struct outcome_sums {
    std::uint64_t attempts{};
    std::uint64_t failures{};
};

outcome_sums sum_outcomes(const rollout_progress& progress, std::string_view version) {
    outcome_sums sums;
    for (const auto& [key, counts] : progress.fleet.totals) {
        if (key.version != version) continue;
        sums.attempts += counts.attempts;
        sums.failures += counts.failures;
    }
    return sums;
}

std::string format_cells(const move_test& test) {
    std::string list;
    for (const auto& [route, cell] : test.routes) {
        list += (list.empty() ? "{\"route\":" : ",{\"route\":") + quoted(route) +
                ",\"answers\":" + std::to_string(cell.attempts) + ",\"timed\":" + std::to_string(cell.timed) +
                ",\"evidence\":[";
        for (std::size_t i = 0; i < cell.llr.size(); ++i)
            list += (i == 0 ? "" : ",") + std::to_string(std::lround(cell.llr.at(i) * 10));
        list += "]}";
    }
    return "[" + list + "]";
}

/// Whether requests of any router run on other versions than the order's. Their targets stop immediately when
/// the rollout is completed.
bool is_old_version_running(const router_state& state, const rollout_order& order) {
    const auto targets = state.targets_by_service.find(order.service);
    return targets != state.targets_by_service.end() &&
           std::ranges::any_of(targets->second, [&](const target_state* target) {
               return target->entry.version != order.version && total_running(target->load) > 0;
           });
}

/// Whether the old targets may stop. Nothing can be taken back after that.
bool may_complete(const router_state& state, const rollout_progress& progress) {
    const rollout_settings& settings = state.settings.rollouts;
    if (running_share(progress, settings, state.now) < 1 || !has_available_target(state, progress.order))
        return false;
    const outcome_sums answered = sum_outcomes(progress, progress.order.version);
    if (answered.attempts > 0 && answered.failures == answered.attempts) return false;
    const bool is_forced = elapsed_part(progress, state.now) >= settings.forced_completion;
    return is_forced ||
           (progress.test.verdict == version_verdict::good && !is_old_version_running(state, progress.order));
}

/// Load levels, and the sum over them.
constexpr std::size_t cells_per_route = load_level_warming + 2;

void test_version(router_state& state, rollout_progress& progress, effects& out) {
    if (progress.condemned) return;
    record_overdue_attempts(state, progress);
    const version_verdict before = progress.test.verdict;
    verdict_settings settings = state.settings.rollouts.verdict;
    settings.max_cells = static_cast<double>(progress.names * cells_per_route);
    const version_verdict verdict =
        advance_test(progress.test, progress.fleet, {{}, {}, progress.order.version, progress.test_start},
                     settings, state.now);
    if (verdict == version_verdict::good) note_acceptance(progress, progress.test.accepted_at);
    // The order has to end, and only one end can be corrected by another order.
    const bool is_doubtful_at_end =
        elapsed_part(progress, state.now) >= state.settings.rollouts.forced_completion &&
        is_doubtful(progress.test, state.settings.rollouts.verdict);
    if (verdict == before && !is_doubtful_at_end) return;
    progress.condemned = verdict == version_verdict::bad || is_doubtful_at_end;
    if (progress.condemned) state.next_report = state.now;
    out.emplace_back(log_event{
        progress.condemned ? "version_condemned" : "version_accepted",
        "\"service\":" + quoted(progress.order.service) + ",\"version\":" + quoted(progress.order.version) +
            ",\"elapsed_percent\":" + std::to_string(std::lround(elapsed_part(progress, state.now) * 100)) +
            ",\"routes\":" + format_cells(progress.test),
        true});
}

constexpr duration status_write_interval = 700ms;

/// The rollout leader writes the status when it changes.
void write_status(router_state& state, rollout_progress& progress, effects& out) {
    const rollout_order& order = progress.order;
    const rollout_status* status = current_status(state, order);
    if (!is_lowest_router(state) || !state.store_up || state.now < progress.next_write) return;
    rollout_phase phase = rollout_phase::running;
    if (progress.settled) {
        phase = *progress.settled; // the store has lost it in a restore
    } else if (progress.condemned) {
        phase = rollout_phase::rolled_back;
    } else if (may_complete(state, progress)) {
        phase = rollout_phase::completed;
    }
    if (status != nullptr && phase == rollout_phase::running) return;
    progress.next_write = state.now + status_write_interval;
    const auto stored_status = state.active_catalog->rollout_states.find(order.service);
    const store_position expected = stored_status == state.active_catalog->rollout_states.end()
                                        ? store_position{}
                                        : stored_status->second.position;
    out.emplace_back(write_rollout_status{order.service, {order.version, phase, {}}, expected});
    const outcome_sums answered = sum_outcomes(progress, order.version);
    out.emplace_back(log_event{
        "rollout",
        "\"service\":" + quoted(order.service) + ",\"version\":" + quoted(order.version) + ",\"phase\":" +
            std::to_string(static_cast<int>(phase)) + ",\"answers\":" + std::to_string(answered.attempts) +
            ",\"failures\":" + std::to_string(answered.failures),
        true});
}

} // namespace

void advance_rollouts(router_state& state, effects& out) {
    if (!state.active_catalog) return;
    std::erase_if(state.rollouts,
                  [&](const auto& item) { return !state.active_catalog->rollouts.contains(item.first); });
    for (const auto& [service, order] : state.active_catalog->rollouts) {
        rollout_progress& progress = state.rollouts[service];
        follow_order(state, progress, order);
        choose_route_names(state, service, progress);
        const rollout_status* status = current_status(state, order);
        if (status != nullptr && status->phase != rollout_phase::running) {
            progress.settled = status->phase;
            continue;
        }
        test_version(state, progress, out);
        write_status(state, progress, out);
    }
}

} // namespace damaskhill::direct
