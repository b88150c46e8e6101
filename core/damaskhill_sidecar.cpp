// Index of this file:
// [SECTION] State
// [SECTION] Capacity
// [SECTION] Scheduling
// [SECTION] Calls
// [SECTION] Target
// [SECTION] Links
// [SECTION] Configuration
// [SECTION] Periodic work
// [SECTION] Reducer

#include "damaskhill_sidecar.hpp"

#include "damaskhill_trace.hpp"

#include <algorithm>
#include <numbers>

namespace damaskhill {

//-----------------------------------------------------------------------------
// [SECTION] State
//-----------------------------------------------------------------------------

sidecar_state::sidecar_state(sidecar_settings s)
    : settings(std::move(s)),
      random{settings.seed},
      schedulers{fair_scheduler{settings.scheduler}, fair_scheduler{settings.scheduler}} {
    members.settings = settings.membership;
    limit.settings = settings.limits;
    reset_to_cold(limit);
    orders.settings = settings.orders;
}

namespace {

// Without confirmed configuration the data centre may have been taken out of service unnoticed. A link to a
// router that is not isolated itself is sufficient: while the store is down, no configuration can change. An
// isolated router reports `warming`.
bool is_isolated(const sidecar_state& state) {
    if (state.now - state.confirmed_at <= state.settings.isolation_limit) return false;
    return std::ranges::none_of(state.members.peers, [](const auto& entry) {
        const peer& p = entry.second;
        return p.hello_received && p.identity.role == process_role::router &&
               p.last_heartbeat.state != serving_state::warming;
    });
}

} // namespace

serving_state serving(const sidecar_state& state) {
    if (state.stopping) return serving_state::draining;
    if (!state.target_known || !state.target.reachable || !state.target.ready) return serving_state::warming;
    if (!state.load.version.empty()) return serving_state::warming;
    if (!data_centre_in_service(state.config, state.settings.data_centre)) return serving_state::draining;
    if (state.condemned.contains({state.settings.pool, state.target.version})) return serving_state::draining;
    if (is_isolated(state)) return serving_state::warming;
    return serving_state::serving;
}

namespace {

void end_call(sidecar_state& state, running_call& call, finish end, effects& out);
double current_units(const sidecar_state& state, const running_call& call);

constexpr std::size_t index_of(request_class cls) { return static_cast<std::size_t>(cls); }
constexpr std::array request_classes{request_class::interactive, request_class::batch};

//-----------------------------------------------------------------------------
// [SECTION] Capacity
//-----------------------------------------------------------------------------

std::uint32_t available_slots(const sidecar_state& state, request_class cls) {
    if (state.running_suspects > 0 || serving(state) != serving_state::serving) return 0;
    return free_slots(state.limit, cls, state.occupied[0], state.occupied[1]);
}

void close_pull(sidecar_state& state, std::map<std::uint64_t, open_pull>::iterator pull) {
    --state.occupied[index_of(pull->second.cls)];
    state.pulls.erase(pull);
}

void close_pull(sidecar_state& state, std::uint64_t pull_id) {
    const auto found = state.pulls.find(pull_id);
    if (found != state.pulls.end()) close_pull(state, found);
}

//-----------------------------------------------------------------------------
// [SECTION] Scheduling
//-----------------------------------------------------------------------------

bool may_run(const sidecar_state& state, const reservation& row) {
    return row.waiting > 0 && (row.version.empty() || row.version == state.target.version);
}

// Reservation with the oldest runnable request of the account and class, or null.
reservation* oldest_reservation(sidecar_state& state, account_id account, request_class cls) {
    const auto found = state.reservations.find(account);
    if (found == state.reservations.end()) return nullptr;
    reservation* best = nullptr;
    for (reservation& row : found->second[index_of(cls)]) {
        if (may_run(state, row) && (best == nullptr || row.oldest_ms > best->oldest_ms)) best = &row;
    }
    return best;
}

void charge_account(sidecar_state& state, account_id account, double units) {
    for (fair_scheduler& scheduler : state.schedulers)
        scheduler.charge(account, units, state.now);
}

// Removes the account from the fair queue of a class when none of its requests are waiting.
void clear_waiting_if_empty(sidecar_state& state, account_id account, request_class cls) {
    if (oldest_reservation(state, account, cls) == nullptr)
        state.schedulers[index_of(cls)].clear_waiting(account, state.now);
}

std::optional<account_id> least_served_account(sidecar_state& state, request_class cls) {
    std::optional<account_id> chosen;
    state.schedulers[index_of(cls)].visit_least_served_first([&](account_id account) {
        if (oldest_reservation(state, account, cls) == nullptr) return false;
        chosen = account;
        return true;
    });
    return chosen;
}

bool send_pull(sidecar_state& state, request_class cls, effects& out) {
    const auto chosen = least_served_account(state, cls);
    if (!chosen) return false;
    reservation* row = oldest_reservation(state, *chosen, cls);
    --row->waiting;
    const std::uint64_t id = state.next_pull++;
    // Only an idle sidecar may receive a request that is suspected of crashing targets.
    const bool alone = state.running.empty() && state.pulls.empty();
    state.pulls[id] = {row->link, *chosen, cls, row->cost_hint, state.now};
    ++state.occupied[index_of(cls)];
    out.emplace_back(send_message{row->link, pull{id, *chosen, cls, alone}});
    charge_account(state, *chosen, row->cost_hint);
    clear_waiting_if_empty(state, *chosen, cls);
    return true;
}

// Resets the limit to cold when the target returns to service: it may have been restarted or may have lost
// its cache.
void reset_limit_on_return(sidecar_state& state) {
    const bool is_serving = serving(state) == serving_state::serving;
    if (is_serving && !state.was_serving) reset_to_cold(state.limit);
    state.was_serving = is_serving;
}

// Whether the next batch request takes precedence over interactive requests. This is the case when it has
// waited longer than batch_wait_threshold and batch occupies less than interactive_reserve of the limit, or
// when interactive accounts are too far ahead of batch accounts in service received.
bool should_run_batch_first(sidecar_state& state) {
    const auto account = least_served_account(state, request_class::batch);
    if (!account) return false;
    const auto batch_wait_ms =
        static_cast<std::int64_t>(oldest_reservation(state, *account, request_class::batch)->oldest_ms);
    const auto reserved_slots =
        static_cast<std::uint32_t>(current_limit(state.limit) * state.limit.settings.interactive_reserve);
    const bool waited_too_long =
        std::chrono::milliseconds{batch_wait_ms} > state.settings.batch_wait_threshold;
    if (waited_too_long && state.occupied[1] < std::max(reserved_slots, 1U)) return true;
    // Interactive requests that wait for long come from accounts that ask for more than they can be given. If
    // none does, interactive requests keep their priority.
    const auto waiting_interactive = least_served_account(state, request_class::interactive);
    if (!waiting_interactive) return false;
    const auto interactive_wait_ms = static_cast<std::int64_t>(
        oldest_reservation(state, *waiting_interactive, request_class::interactive)->oldest_ms);
    if (std::chrono::milliseconds{interactive_wait_ms} < state.settings.interactive_wait_threshold)
        return false;
    const auto interactive = state.schedulers[0].floor(state.now);
    const auto batch = state.schedulers[1].floor(state.now);
    if (!interactive || !batch) return false;
    const double lead = std::numbers::ln2 * to_seconds(state.settings.max_class_lead) /
                        to_seconds(state.settings.scheduler.half_life);
    constexpr double slack_units = 1.0; // both queues start at zero service
    return *interactive > *batch * (1.0 + lead) + slack_units;
}

bool may_preempt(const sidecar_state& state, const running_call& call) {
    return call.assignment.cls == request_class::batch && call.assignment.stream && !call.assignment.order &&
           call.assignment.preemptions < state.settings.max_preemptions;
}

void preempt(sidecar_state& state, running_call& call, effects& out) {
    out.emplace_back(cancel_call{call.assignment.attempt});
    out.emplace_back(count{"preemptions_total", {}, 1});
    finish end;
    end.outcome = attempt_outcome::connection_lost;
    end.preempted = true;
    end.units = current_units(state, call);
    end_call(state, call, std::move(end), out);
}

// Preempts the most recently started batch stream that can resume elsewhere. Returns false if there is none.
bool preempt_most_recent(sidecar_state& state, effects& out) {
    running_call* most_recent = nullptr;
    for (auto& [attempt, call] : state.running) {
        if (!may_preempt(state, call)) continue;
        if (most_recent == nullptr || call.started > most_recent->started) most_recent = &call;
    }
    if (most_recent == nullptr) return false;
    preempt(state, *most_recent, out);
    return true;
}

// Pulls work into free slots: batch requests that take precedence, then interactive, then other batch
// requests. At the limit, batch streams are preempted for waiting interactive requests.
void pull_more(sidecar_state& state, effects& out) {
    reset_limit_on_return(state);
    while (available_slots(state, request_class::batch) > 0 && should_run_batch_first(state) &&
           send_pull(state, request_class::batch, out)) {
    }
    while (available_slots(state, request_class::interactive) > 0 &&
           send_pull(state, request_class::interactive, out)) {
    }
    while (available_slots(state, request_class::batch) > 0 && send_pull(state, request_class::batch, out)) {
    }
    const bool full = state.occupied[0] + state.occupied[1] >= current_limit(state.limit);
    if (!full || state.running_suspects > 0 || serving(state) != serving_state::serving) return;
    while (least_served_account(state, request_class::interactive) && !should_run_batch_first(state) &&
           state.occupied[0] + state.occupied[1] <= current_limit(state.limit) &&
           preempt_most_recent(state, out)) {
        if (!send_pull(state, request_class::interactive, out)) break;
    }
}

waiting_account waiting_of(const reserve_row& row) {
    const auto age = [](std::uint64_t ms) {
        return duration{std::chrono::milliseconds{static_cast<std::int64_t>(ms)}};
    };
    return {row.share, row.fleet_service, age(row.service_age_ms), age(row.unserved_ms)};
}

void on_reserve(sidecar_state& state, link_id link, const reserve& message, effects& out) {
    for (const reserve_row& incoming : message.rows) {
        auto& rows = state.reservations[incoming.account][index_of(incoming.cls)];
        const auto same = [&](const reservation& row) {
            return row.link == link && row.version == incoming.version;
        };
        std::erase_if(rows, same);
        if (incoming.waiting > 0) {
            rows.push_back(
                {link, incoming.version, incoming.waiting, incoming.oldest_ms, incoming.cost_hint});
        }
        if (oldest_reservation(state, incoming.account, incoming.cls) != nullptr) {
            state.schedulers[index_of(incoming.cls)].set_waiting(incoming.account, waiting_of(incoming),
                                                                 state.now);
        } else {
            clear_waiting_if_empty(state, incoming.account, incoming.cls);
        }
        const auto& by_class = state.reservations[incoming.account];
        if (by_class[0].empty() && by_class[1].empty()) state.reservations.erase(incoming.account);
    }
    pull_more(state, out);
}

void on_pull_empty(sidecar_state& state, const pull_empty& message, effects& out) {
    const auto found = state.pulls.find(message.pull_id);
    if (found == state.pulls.end()) return;
    const open_pull answered_pull = found->second;
    close_pull(state, found);
    charge_account(state, answered_pull.account, -answered_pull.cost_hint);
    // The router has no work for this sidecar until it sends a new reservation row.
    const auto rows = state.reservations.find(answered_pull.account);
    if (rows != state.reservations.end()) {
        for (reservation& row : rows->second[index_of(answered_pull.cls)]) {
            if (row.link == answered_pull.link) row.waiting = 0;
        }
    }
    clear_waiting_if_empty(state, answered_pull.account, answered_pull.cls);
    pull_more(state, out);
}

//-----------------------------------------------------------------------------
// [SECTION] Calls
//-----------------------------------------------------------------------------

void reply_not_sent(link_id link, const assign& work, failure_kind reason, effects& out) {
    finish end;
    end.attempt = work.attempt;
    end.outcome = attempt_outcome::not_sent;
    end.reason = reason;
    end.end_offset = work.resume_offset;
    out.emplace_back(send_message{link, std::move(end)});
}

// Returns whether the claim allows the order to be sent; otherwise replies to the router.
bool check_order_claim(sidecar_state& state, link_id link, const assign& work, effects& out) {
    switch (decide_send(state.orders, *work.order, state.now)) {
    case send_decision::send:
        return true;
    case send_decision::sealed: {
        finish end;
        end.attempt = work.attempt;
        end.outcome = attempt_outcome::not_sent;
        end.reason = failure_kind::stale_revision;
        const sent_order& order = state.orders.orders[work.order->key];
        end.sealed_by = order.sealed_by;
        end.seal_age_us = refusal_age_us(order, state.now);
        out.emplace_back(count{"orders_sealed_total", {}, 1});
        out.emplace_back(send_message{link, std::move(end)});
        return false;
    }
    default: {
        // The order was already sent under an earlier assignment; this router does not know the outcome.
        finish end;
        end.attempt = work.attempt;
        end.outcome = attempt_outcome::connection_lost;
        end.reason = failure_kind::order_outcome_unknown;
        out.emplace_back(count{"orders_repeated_total", {}, 1});
        out.emplace_back(send_message{link, std::move(end)});
        return false;
    }
    }
}

std::string order_key_text(order_key key) { return to_string(key); }

enum class revision_order : std::uint8_t { same, router_behind, sidecar_behind };

// Compares the configuration revisions that the router used with those in force in this sidecar.
revision_order compare_revisions(const sidecar_state& state, const assign& work) {
    if (work.revisions.empty()) return revision_order::same; // sent by a release without this field
    const auto& own = state.settings;
    for (const team_revision& local : relevant_revisions(state.config, own.pool, own.data_centre)) {
        const auto remote = std::ranges::find(work.revisions, local.team, &team_revision::team);
        if (remote == work.revisions.end() || remote->revision < local.revision)
            return revision_order::router_behind;
    }
    for (const team_revision& remote : work.revisions) {
        const auto local = state.config.teams.find(remote.team);
        if (local == state.config.teams.end() || local->second.revision < remote.revision)
            return revision_order::sidecar_behind;
    }
    return revision_order::same;
}

void pull_config(sidecar_state& state, link_id link, effects& out) {
    // All routers announce a change at the same time; one pull is enough.
    constexpr duration min_pull_interval = 100ms;
    if (state.now < state.next_config_pull) return;
    state.next_config_pull = state.now + min_pull_interval;
    out.emplace_back(send_message{link, config_pull{revisions_of(state.config)}});
}

void refuse_for_revision(sidecar_state& state, link_id link, const assign& work, const char* label,
                         effects& out) {
    charge_account(state, work.account, -work.cost_hint);
    out.emplace_back(count{"assigns_refused_total", label, 1});
    finish end;
    end.attempt = work.attempt;
    end.outcome = attempt_outcome::not_sent;
    end.reason = failure_kind::stale_revision;
    end.end_offset = work.resume_offset;
    end.revisions = relevant_revisions(state.config, state.settings.pool, state.settings.data_centre);
    out.emplace_back(send_message{link, std::move(end)});
}

void on_assign(sidecar_state& state, link_id link, const assign& work, effects& out) {
    const auto pull_entry = state.pulls.find(work.pull_id);
    const bool expected = pull_entry != state.pulls.end() && pull_entry->second.link == link;
    const revision_order order = expected ? compare_revisions(state, work) : revision_order::same;
    if (order == revision_order::sidecar_behind) {
        // The pull stays open so that the deferred request keeps its slot.
        state.deferred.push_back({link, work, state.now});
        pull_config(state, link, out);
        return;
    }
    if (expected) close_pull(state, pull_entry);
    if (order == revision_order::router_behind) {
        refuse_for_revision(state, link, work, "stale_revision", out);
        return;
    }
    if (!expected || state.running.contains(work.attempt)) {
        out.emplace_back(count{"assigns_refused_total", "unexpected", 1});
        reply_not_sent(link, work, failure_kind::stale_revision, out);
        return;
    }
    const bool target_down = !state.target.reachable;
    const bool not_serving = serving(state) != serving_state::serving;
    if (target_down || not_serving) {
        charge_account(state, work.account, -work.cost_hint);
        out.emplace_back(count{"assigns_refused_total", target_down ? "target_down" : "not_serving", 1});
        reply_not_sent(link, work, failure_kind::draining, out);
        return;
    }
    if (work.order && !check_order_claim(state, link, work, out)) {
        charge_account(state, work.account, -work.cost_hint);
        pull_more(state, out);
        return;
    }
    running_call call;
    call.assignment = work;
    call.link = link;
    call.charged_units = work.cost_hint;
    call.offset = work.resume_offset;
    call.started = state.now;
    call.last_byte = state.now;
    call.ran_alone = state.running.empty();
    call.load_level = detail::current_load_level(state);
    call.traceparent = child_traceparent(work.traceparent, state.random);
    if (!state.running.empty()) {
        for (auto& [attempt, other] : state.running)
            other.ran_alone = false;
    }
    start_call start;
    start.attempt = work.attempt;
    start.method = work.method;
    start.path = work.path;
    start.content_type = work.content_type;
    start.body = work.body;
    start.stream = work.stream;
    start.resume_offset = work.resume_offset;
    start.traceparent = call.traceparent;
    if (work.order) start.idempotency_key = order_key_text(work.order->key);
    start.fence = state.settings.fence;
    ++state.occupied[index_of(work.cls)];
    if (work.suspect) ++state.running_suspects;
    state.running.emplace(work.attempt, std::move(call));
    out.emplace_back(std::move(start));
}

double units_of(const sidecar_state& state, const running_call& call, std::uint32_t tokens) {
    constexpr double ms_per_service_unit = 10.0; // a service call costs one unit per 10 ms
    if (state.settings.kind == target_kind::service) {
        return 1.0 + to_milliseconds(state.now - call.started) / ms_per_service_unit;
    }
    constexpr double bytes_per_token = 4.0;
    constexpr double prompt_weight = 0.1;
    return 1.0 + prompt_weight * static_cast<double>(call.assignment.body.size()) / bytes_per_token + tokens;
}

// Cost of the call so far, in service units.
double current_units(const sidecar_state& state, const running_call& call) {
    return units_of(state, call, call.tokens);
}

// Removes a call, settles its charge and reports the result to its router.
void end_call(sidecar_state& state, running_call& call, finish end, effects& out) {
    end.attempt = call.assignment.attempt;
    end.chunks = call.chunks;
    end.end_offset = call.offset;
    end.checksum = call.checksum;
    end.ran_alone = call.ran_alone;
    if (call.first_byte != time_point{}) {
        end.first_us = static_cast<std::uint64_t>((call.first_byte - call.started).count());
    }
    end.load_level = call.load_level;
    end.total_us = static_cast<std::uint64_t>((state.now - call.started).count());
    charge_account(state, call.assignment.account, end.units - call.charged_units);
    const bool ok = end.outcome == attempt_outcome::completed;
    out.emplace_back(span{call.traceparent, call.assignment.traceparent, "sidecar.call", call.started,
                          state.now, ok, state.settings.pool + " " + state.settings.name});
    out.emplace_back(count{"calls_total", std::string{to_string(end.outcome)}, 1});
    if (call.assignment.order) {
        const order_key key = call.assignment.order->key;
        const bool known = end.outcome == attempt_outcome::completed;
        if (end.outcome == attempt_outcome::not_sent) {
            mark_unsent(state.orders, key);
        } else {
            store_outcome(state.orders, key, known ? end.status : 0, end.content_type, call.stored_body);
        }
    }
    const link_id link = call.link;
    --state.occupied[index_of(call.assignment.cls)];
    if (call.assignment.suspect) --state.running_suspects;
    state.running.erase(call.assignment.attempt);
    if (find_peer(state.members, link) != nullptr) out.emplace_back(send_message{link, std::move(end)});
}

void on_cancel(sidecar_state& state, const cancel& message, effects& out) {
    const auto found = state.running.find(message.attempt);
    const auto deferred_item = std::ranges::find(state.deferred, message.attempt,
                                                 [](const auto& item) { return item.assignment.attempt; });
    if (deferred_item != state.deferred.end()) {
        const sidecar_state::deferred_work item = *deferred_item;
        state.deferred.erase(deferred_item);
        close_pull(state, item.assignment.pull_id);
        charge_account(state, item.assignment.account, -item.assignment.cost_hint);
        reply_not_sent(item.link, item.assignment, failure_kind::draining, out);
        pull_more(state, out);
        return;
    }
    if (found == state.running.end() || found->second.assignment.order) return;
    out.emplace_back(cancel_call{message.attempt});
    finish end;
    end.outcome = attempt_outcome::connection_lost;
    end.units = current_units(state, found->second);
    end_call(state, found->second, std::move(end), out);
    pull_more(state, out);
}

// Retries the work deferred for newer configuration; called after a configuration update.
void run_deferred(sidecar_state& state, effects& out) {
    std::vector<sidecar_state::deferred_work> retried;
    retried.swap(state.deferred);
    for (const auto& item : retried)
        on_assign(state, item.link, item.assignment, out);
}

void refuse_overdue_deferred(sidecar_state& state, effects& out) {
    std::vector<sidecar_state::deferred_work> overdue;
    std::erase_if(state.deferred, [&](const auto& item) {
        if (state.now - item.since <= state.settings.config_wait_timeout) return false;
        overdue.push_back(item);
        return true;
    });
    for (const auto& item : overdue) {
        close_pull(state, item.assignment.pull_id);
        refuse_for_revision(state, item.link, item.assignment, "configuration_missing", out);
    }
}

//-----------------------------------------------------------------------------
// [SECTION] Target
//-----------------------------------------------------------------------------

void on_call_chunk(sidecar_state& state, const call_chunk& received, effects& out) {
    const auto found = state.running.find(received.attempt);
    if (found == state.running.end() || received.data.empty()) return;
    running_call& call = found->second;
    if (call.first_byte == time_point{}) {
        call.first_byte = state.now;
        out.emplace_back(observe{"target_first_byte_seconds", std::string{to_string(call.assignment.cls)},
                                 to_seconds(state.now - call.started)});
        if (on_first_byte_latency(state.limit, call.assignment.cls, state.now - call.started)) {
            detail::on_target_cold(state);
            out.emplace_back(log_change{"target went cold: concurrency limit is " +
                                        std::to_string(current_limit(state.limit))});
        }
    }
    if (call.tokens > 0) {
        state.window_tokens += received.tokens;
        state.window_seconds += to_seconds(state.now - call.last_byte);
    }
    call.last_byte = state.now;
    call.tokens += received.tokens;
    // Charging every token separately would cost a router 1.7% of a core at the fleet size expected in two
    // years.
    constexpr double stream_charge_step = 16.0; // units
    const double units = current_units(state, call);
    if (units >= call.charged_units + stream_charge_step) {
        charge_account(state, call.assignment.account, units - call.charged_units);
        call.charged_units = units;
    }
    chunk message{received.attempt, call.chunks, call.offset, received.data, call.charged_units};
    ++call.chunks;
    call.offset += received.data.size();
    call.checksum = chain_checksum(call.checksum, received.data);
    const std::size_t stored_limit = state.settings.orders.max_stored_body;
    if (call.assignment.order && call.stored_body.size() <= stored_limit) call.stored_body += received.data;
    if (find_peer(state.members, call.link) != nullptr) {
        out.emplace_back(send_message{call.link, std::move(message)});
    }
}

void on_call_finished(sidecar_state& state, const call_finished& result, effects& out) {
    const auto found = state.running.find(result.attempt);
    if (found == state.running.end() || found->second.connection_lost_at) return;
    if (!result.transport_ok && result.sent) {
        // A lost connection does not prove a crash; the next status reports decide.
        found->second.connection_lost_at = state.now;
        return;
    }
    finish end;
    end.status = result.status;
    end.content_type = result.content_type;
    end.units = units_of(state, found->second, result.tokens);
    if (result.overloaded) {
        on_overload(state.limit);
        out.emplace_back(count{"target_overloads_total", {}, 1});
    }
    if (!result.transport_ok || result.overloaded) {
        end.outcome = attempt_outcome::not_sent; // nothing was sent, or the target rejected it before running
    } else if (result.status >= 500 && !found->second.assignment.order) {
        end.outcome = attempt_outcome::target_error;
    }
    end_call(state, found->second, std::move(end), out);
    pull_more(state, out);
}

// Ends calls whose connection broke: immediately if the target crashed, otherwise after the timeout.
void end_lost_calls(sidecar_state& state, bool crashed, effects& out) {
    std::vector<attempt_id> lost;
    for (const auto& [attempt, call] : state.running) {
        if (!call.connection_lost_at) continue;
        if (crashed || state.now - *call.connection_lost_at > state.settings.crash_detection_timeout)
            lost.push_back(attempt);
    }
    for (const attempt_id attempt : lost) {
        running_call& call = state.running.at(attempt);
        finish end;
        end.outcome = attempt_outcome::connection_lost;
        end.target_crashed = crashed;
        end.units = call.assignment.cost_hint;
        end_call(state, call, std::move(end), out);
    }
}

void fail_all_calls(sidecar_state& state, bool crashed, effects& out) {
    while (!state.running.empty()) {
        running_call& call = state.running.begin()->second;
        out.emplace_back(cancel_call{call.assignment.attempt});
        finish end;
        end.outcome = attempt_outcome::connection_lost;
        end.target_crashed = crashed;
        end.units = current_units(state, call);
        end_call(state, call, std::move(end), out);
    }
}

void on_target_status(sidecar_state& state, const target_status& status, effects& out) {
    const bool was_up = state.target_known && state.target.reachable;
    const bool restarted = was_up && status.reachable && state.target.boot != status.boot;
    if (restarted) {
        out.emplace_back(log_change{"target restarted; calls lost: " + std::to_string(state.running.size())});
        fail_all_calls(state, true, out);
        reset_to_cold(state.limit);
    }
    if (was_up != status.reachable) {
        out.emplace_back(log_change{status.reachable ? "target is reachable" : "target is unreachable"});
        if (status.reachable) reset_to_cold(state.limit);
        if (!status.reachable) end_lost_calls(state, true, out);
    }
    if (!was_up || restarted || state.target.version != status.version) {
        detail::start_warmup(state);
        if (state.target_known && state.target.version != status.version) reset_to_cold(state.limit);
    }
    state.target = status;
    state.target_known = true;
    pull_more(state, out);
}

// Prefix-cache events are only hints for placement; excess events are dropped.
void on_cache_event(sidecar_state& state, const cache_event& event) {
    constexpr std::size_t max_prefixes_per_heartbeat = 64;
    auto& list = event.stored ? state.stored_prefixes : state.evicted_prefixes;
    if (list.size() < max_prefixes_per_heartbeat) list.push_back(event.prefix_hash);
}

//-----------------------------------------------------------------------------
// [SECTION] Links
//-----------------------------------------------------------------------------

void on_link_opened(sidecar_state& state, const link_opened& opened, effects& out) {
    peer p;
    p.link = opened.link;
    p.last_received = state.now;
    state.members.peers[opened.link] = p;
    hello message;
    message.incarnation = state.settings.incarnation;
    message.role = process_role::sidecar;
    message.name = state.settings.name;
    message.data_centre = state.settings.data_centre;
    message.pool = state.settings.pool;
    message.version = state.target.version.empty() ? state.settings.version : state.target.version;
    message.checks_fencing = state.settings.checks_fencing;
    message.uptime_us = static_cast<std::uint64_t>((state.now - state.started).count());
    out.emplace_back(send_message{opened.link, message});
}

void on_link_closed(sidecar_state& state, link_id link, effects& out) {
    if (state.members.peers.erase(link) == 0) return;
    out.emplace_back(count{"links_closed_total", "router", 1});
    std::erase_if(state.deferred, [&](const auto& item) { return item.link == link; });
    for (auto it = state.reservations.begin(); it != state.reservations.end();) {
        const account_id account = it->first;
        for (auto& rows : it->second)
            std::erase_if(rows, [&](const reservation& row) { return row.link == link; });
        const bool gone = it->second[0].empty() && it->second[1].empty();
        it = gone ? state.reservations.erase(it) : std::next(it);
        for (const request_class cls : request_classes)
            clear_waiting_if_empty(state, account, cls);
    }
    for (auto it = state.pulls.begin(); it != state.pulls.end();) {
        if (it->second.link != link) {
            ++it;
            continue;
        }
        charge_account(state, it->second.account, -it->second.cost_hint);
        close_pull(state, it++);
    }
    // Orders keep running because their outcome will be asked for later. All other calls have lost their
    // caller.
    std::vector<attempt_id> orphans;
    for (const auto& [attempt, call] : state.running) {
        if (call.link == link && !call.assignment.order) orphans.push_back(attempt);
    }
    for (const attempt_id attempt : orphans)
        on_cancel(state, cancel{attempt}, out);
    pull_more(state, out);
}

std::uint32_t relevant_digest(const sidecar_state& state) {
    return digest_of(relevant_revisions(state.config, state.settings.pool, state.settings.data_centre));
}

void send_heartbeats(sidecar_state& state, effects& out) {
    heartbeat message;
    message.state = serving(state);
    message.free_room = available_slots(state, request_class::interactive);
    message.limit = current_limit(state.limit);
    message.digest = relevant_digest(state);
    message.confirmed_ms = static_cast<std::uint64_t>(to_milliseconds(state.now - state.confirmed_at));
    message.version = state.target.version;
    message.stored_prefixes.swap(state.stored_prefixes);
    message.evicted_prefixes.swap(state.evicted_prefixes);
    for (const auto& [link, p] : state.members.peers) {
        if (p.hello_received) out.emplace_back(send_message{link, message});
    }
    out.emplace_back(gauge{"limit", {}, static_cast<double>(message.limit)});
    out.emplace_back(gauge{"running", {}, static_cast<double>(state.running.size())});
}

// Sends heartbeats immediately when the serving state changes, instead of at the next period.
void announce_state_change(sidecar_state& state, effects& out) {
    const serving_state current = serving(state);
    if (current == state.announced_state) return;
    state.announced_state = current;
    out.emplace_back(log_change{"serving state is " + std::string{to_string(current)}});
    send_heartbeats(state, out);
}

//-----------------------------------------------------------------------------
// [SECTION] Configuration
//-----------------------------------------------------------------------------

void apply_pool_limits(sidecar_state& state) {
    const pool_declaration* pool = find_pool(state.config, state.settings.pool);
    if (pool == nullptr) return;
    state.limit.settings.cold_limit = pool->cold_limit;
    state.limit.settings.warm_limit = pool->warm_limit;
    const auto low = static_cast<double>(pool->cold_limit);
    const auto high = static_cast<double>(pool->warm_limit);
    state.limit.limit = std::clamp(state.limit.limit, low, high);
}

void on_config_push(sidecar_state& state, const config_push& push, effects& out) {
    for (const team_declarations& declared : push.teams) {
        failure error;
        if (!validate_declarations(declared, error)) {
            out.emplace_back(count{"declarations_rejected_total", std::string{to_string(error.kind)}, 1});
            continue;
        }
        if (!apply_declarations(state.config, declared)) continue;
        out.emplace_back(gauge{"config_revision", declared.team, static_cast<double>(declared.revision)});
        out.emplace_back(log_change{"configuration of team " + declared.team + " is in force at revision " +
                                    std::to_string(declared.revision)});
    }
    apply_pool_limits(state);
    run_deferred(state, out);
    pull_more(state, out);
}

void on_facts(sidecar_state& state, const facts& received, effects& out) {
    for (const condemned_version& version : received.condemned) {
        if (!state.condemned.insert(version).second) continue;
        out.emplace_back(
            log_change{"version " + version.version + " of pool " + version.pool + " is condemned"});
    }
}

void on_hello(sidecar_state& state, link_id link, const hello& message, effects& out) {
    peer* p = find_peer(state.members, link);
    if (p == nullptr || p->hello_received) return;
    p->hello_received = true;
    p->identity = message;
    out.emplace_back(
        log_change{"link from " + std::string{to_string(message.role)} + " " + message.name + " opened"});
    // A router that restarted while cut off from its peers learns the condemned versions here.
    if (message.role == process_role::router && !state.condemned.empty()) {
        out.emplace_back(send_message{link, facts{{state.condemned.begin(), state.condemned.end()}, {}}});
    }
}

void on_heartbeat(sidecar_state& state, link_id link, const heartbeat& message, effects& out) {
    peer* p = find_peer(state.members, link);
    if (p == nullptr) return;
    p->last_heartbeat = message;
    state.confirmed_at =
        std::max(state.confirmed_at,
                 state.now - std::chrono::milliseconds{static_cast<std::int64_t>(message.confirmed_ms)});
    // If the router is the one that is behind, it learns so from the revisions in the pull.
    if (message.digest != relevant_digest(state)) pull_config(state, link, out);
}

struct message_handler {
    sidecar_state& state;
    link_id link;
    effects& out;

    void operator()(const hello& m) const { on_hello(state, link, m, out); }
    void operator()(const heartbeat& m) const { on_heartbeat(state, link, m, out); }
    void operator()(const reserve& m) const { on_reserve(state, link, m, out); }
    void operator()(const pull_empty& m) const { on_pull_empty(state, m, out); }
    void operator()(const assign& m) const { on_assign(state, link, m, out); }
    void operator()(const cancel& m) const { on_cancel(state, m, out); }
    void operator()(const seal& m) const {
        out.emplace_back(send_message{link, seal_order(state.orders, m, state.now, state.random)});
    }
    void operator()(const config_push& m) const { on_config_push(state, m, out); }
    void operator()(const config_pull& /*unused*/) const {}
    void operator()(const facts& m) const { on_facts(state, m, out); }
    void operator()(const load_order& m) const { detail::accept_load_order(state, m); }
    template <class Other>
    void operator()(const Other& /*unused*/) const {
        out.emplace_back(count{"unexpected_messages_total", "sidecar", 1});
    }
};

void on_link_message(sidecar_state& state, const link_message& event, effects& out) {
    peer* sender = find_peer(state.members, event.link);
    if (sender == nullptr) return;
    sender->last_received = state.now;
    if (!sender->hello_received && !std::holds_alternative<hello>(event.message)) {
        out.emplace_back(count{"unexpected_messages_total", "before_hello", 1});
        out.emplace_back(close_link{event.link});
        return;
    }
    std::visit(message_handler{state, event.link, out}, event.message);
}

//-----------------------------------------------------------------------------
// [SECTION] Periodic work
//-----------------------------------------------------------------------------

void end_idle_calls(sidecar_state& state, effects& out) {
    const bool engine = state.settings.kind == target_kind::model_engine;
    const duration limit = engine ? state.settings.stream_idle_timeout : state.settings.service_call_timeout;
    std::vector<attempt_id> silent;
    for (const auto& [attempt, call] : state.running) {
        if (state.now - call.last_byte > limit) silent.push_back(attempt);
    }
    for (const attempt_id attempt : silent) {
        running_call& call = state.running.at(attempt);
        out.emplace_back(count{"calls_silent_total", {}, 1});
        out.emplace_back(cancel_call{attempt});
        finish end;
        end.outcome = attempt_outcome::connection_lost;
        end.units = current_units(state, call);
        end_call(state, call, std::move(end), out);
    }
}

// Preempts streams, most recent first, until a cold target is within its limit. They resume elsewhere.
void preempt_excess(sidecar_state& state, effects& out) {
    std::vector<std::pair<time_point, attempt_id>> streams;
    for (const auto& [attempt, call] : state.running) {
        if (call.assignment.stream && !call.assignment.order) streams.emplace_back(call.started, attempt);
    }
    std::ranges::sort(streams, std::greater{});
    for (const auto& [started, attempt] : streams) {
        if (state.running.size() <= current_limit(state.limit)) return;
        preempt(state, state.running.at(attempt), out);
    }
}

// Detects a target that has gone cold from the falling token rate of running streams, which shows it before
// any new request does.
void check_token_rate(sidecar_state& state, effects& out) {
    constexpr duration window = 200ms;
    if (state.settings.kind != target_kind::model_engine || state.now - state.window_start < window) return;
    double seconds = state.window_seconds;
    for (const auto& [attempt, call] : state.running) {
        if (call.tokens > 0) seconds += to_seconds(state.now - call.last_byte);
    }
    if (seconds > 0.0 && on_stream_rate(state.limit, static_cast<double>(state.window_tokens) / seconds)) {
        out.emplace_back(log_change{"target went cold: token rate of running streams dropped"});
        preempt_excess(state, out);
    }
    state.window_tokens = 0;
    state.window_seconds = 0.0;
    state.window_start = state.now;
}

// A pull that the router has not answered within this time is considered lost.
constexpr duration pull_timeout = 3s;

void expire_pulls(sidecar_state& state) {
    for (auto it = state.pulls.begin(); it != state.pulls.end();) {
        if (state.now - it->second.sent_at <= pull_timeout) {
            ++it;
            continue;
        }
        charge_account(state, it->second.account, -it->second.cost_hint);
        close_pull(state, it++);
    }
}

void on_tick(sidecar_state& state, effects& out) {
    for (const link_id link : silent_links(state.members, state.now)) {
        out.emplace_back(count{"links_silent_total", {}, 1});
        out.emplace_back(close_link{link});
        on_link_closed(state, link, out);
    }
    end_idle_calls(state, out);
    refuse_overdue_deferred(state, out);
    check_token_rate(state, out);
    end_lost_calls(state, false, out);
    expire_pulls(state);
    expire_orders(state.orders, state.now);
    for (fair_scheduler& scheduler : state.schedulers)
        scheduler.expire(state.now);
    detail::advance_load(state, out);
    announce_state_change(state, out);
    if (state.now >= state.members.next_heartbeat) {
        state.members.next_heartbeat = state.now + state.settings.membership.heartbeat_period;
        send_heartbeats(state, out);
    }
    pull_more(state, out);
    if (!state.stopping || state.exited) return;
    // Open pulls must finish too: a router may already have claimed an order for one of them.
    const bool idle = state.running.empty() && state.pulls.empty();
    if (idle || state.now - state.stop_requested_at > state.settings.drain_limit) {
        state.exited = true;
        out.emplace_back(log_change{"stopped; calls abandoned: " + std::to_string(state.running.size())});
        out.emplace_back(exit_process{});
    }
}

//-----------------------------------------------------------------------------
// [SECTION] Reducer
//-----------------------------------------------------------------------------

struct event_handler {
    sidecar_state& state;
    effects& out;

    void operator()(const tick& /*unused*/) const { on_tick(state, out); }
    void operator()(const link_opened& e) const { on_link_opened(state, e, out); }
    void operator()(const link_closed& e) const { on_link_closed(state, e.link, out); }
    void operator()(const link_message& e) const { on_link_message(state, e, out); }
    void operator()(const call_chunk& e) const { on_call_chunk(state, e, out); }
    void operator()(const call_finished& e) const { on_call_finished(state, e, out); }
    void operator()(const target_status& e) const { on_target_status(state, e, out); }
    void operator()(const cache_event& e) const { on_cache_event(state, e); }
    void operator()(const stop_requested& /*unused*/) const {
        if (state.stopping) return;
        state.stopping = true;
        state.stop_requested_at = state.now;
        out.emplace_back(
            log_change{"stop requested; calls in progress: " + std::to_string(state.running.size())});
        announce_state_change(state, out);
    }
};

} // namespace

void reduce(sidecar_state& state, const sidecar_event& event, effects& out) {
    if (state.now == time_point{}) {
        state.started = event.now;
        state.confirmed_at = event.now;
    }
    state.now = std::max(state.now, event.now);
    std::visit(event_handler{state, out}, event.input);
}

} // namespace damaskhill
