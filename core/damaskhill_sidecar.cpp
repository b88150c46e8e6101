// Index of this file:
// [SECTION] State
// [SECTION] Room
// [SECTION] Pulls
// [SECTION] Work
// [SECTION] Target
// [SECTION] Links
// [SECTION] Configuration
// [SECTION] Time
// [SECTION] Reducer

#include "damaskhill_sidecar.hpp"

#include "damaskhill_trace.hpp"

#include <algorithm>

namespace damaskhill {

//-----------------------------------------------------------------------------
// [SECTION] State
//-----------------------------------------------------------------------------

sidecar_state::sidecar_state(sidecar_settings s)
    : settings(std::move(s)),
      random{settings.seed},
      order{service_order{settings.order_of_service}, service_order{settings.order_of_service}} {
    members.settings = settings.membership;
    limit.settings = settings.limits;
    reset_to_cold(limit);
    orders.settings = settings.orders;
}

namespace {

// Without confirmed configuration it may have been taken out of service without hearing of it. Routers that
// are not cut off themselves are proof enough: while the store is down, nobody can change anything.
bool is_cut_off(const sidecar_state& state) {
    if (state.now - state.confirmed_at <= state.settings.isolation_limit) return false;
    return std::ranges::none_of(state.members.peers, [](const auto& entry) {
        const peer& p = entry.second;
        return p.greeted && p.identity.role == process_role::router && p.last.state != serving_state::warming;
    });
}

} // namespace

serving_state serving(const sidecar_state& state) {
    if (state.stopping) return serving_state::draining;
    if (!state.target_known || !state.target.reachable || !state.target.ready) return serving_state::warming;
    if (!state.load.wanted.empty()) return serving_state::warming;
    if (!data_centre_in_service(state.config, state.settings.data_centre)) return serving_state::draining;
    if (state.condemned.contains({state.settings.pool, state.target.version})) return serving_state::draining;
    if (is_cut_off(state)) return serving_state::warming;
    return serving_state::serving;
}

namespace {

constexpr std::size_t index_of(request_class cls) { return static_cast<std::size_t>(cls); }
constexpr std::array both_classes{request_class::interactive, request_class::batch};

//-----------------------------------------------------------------------------
// [SECTION] Room
//-----------------------------------------------------------------------------

// Requests of the class that run or have been asked for.
std::uint32_t used_room(const sidecar_state& state, request_class cls) {
    const auto running =
        std::ranges::count_if(state.running, [&](const auto& call) { return call.second.work.cls == cls; });
    const auto asked = std::ranges::count_if(state.pulls, [&](const auto& p) { return p.second.cls == cls; });
    return static_cast<std::uint32_t>(running + asked);
}

std::uint32_t room_for(const sidecar_state& state, request_class cls) {
    const bool suspect_runs =
        std::ranges::any_of(state.running, [](const auto& call) { return call.second.work.suspect; });
    if (suspect_runs || serving(state) != serving_state::serving) return 0;
    return free_room(state.limit, cls, used_room(state, request_class::interactive),
                     used_room(state, request_class::batch));
}

//-----------------------------------------------------------------------------
// [SECTION] Pulls
//-----------------------------------------------------------------------------

bool may_run(const sidecar_state& state, const waiting_row& row) {
    return row.waiting > 0 && (row.version.empty() || row.version == state.target.version);
}

// The row with the oldest request of the account and class, or null.
waiting_row* oldest_row(sidecar_state& state, account_id account, request_class cls) {
    const auto found = state.rows.find(account);
    if (found == state.rows.end()) return nullptr;
    waiting_row* best = nullptr;
    for (waiting_row& row : found->second[index_of(cls)]) {
        if (may_run(state, row) && (best == nullptr || row.oldest_ms > best->oldest_ms)) best = &row;
    }
    return best;
}

void charge_account(sidecar_state& state, account_id account, double units) {
    for (service_order& order : state.order)
        order.charge(account, units, state.now);
}

// Withdraws the account from the order of a class when nothing of it waits any more.
void update_waiting(sidecar_state& state, account_id account, request_class cls) {
    if (oldest_row(state, account, cls) == nullptr) state.order[index_of(cls)].clear_waiting(account);
}

bool pull_one(sidecar_state& state, request_class cls, effects& out) {
    std::optional<account_id> chosen;
    state.order[index_of(cls)].visit_in_order([&](account_id account) {
        if (oldest_row(state, account, cls) == nullptr) return false;
        chosen = account;
        return true;
    });
    if (!chosen) return false;
    waiting_row* row = oldest_row(state, *chosen, cls);
    --row->waiting;
    const std::uint64_t id = state.next_pull++;
    const bool alone = state.running.empty() && state.pulls.empty();
    state.pulls[id] = {row->link, *chosen, cls, row->cost_hint, state.now};
    out.emplace_back(send_message{row->link, pull{id, *chosen, cls, alone}});
    charge_account(state, *chosen, row->cost_hint);
    update_waiting(state, *chosen, cls);
    return true;
}

// A target that was out of service may have been restarted or may have lost its cache: it begins at the cold
// limit.
void note_return(sidecar_state& state) {
    const bool serves = serving(state) == serving_state::serving;
    if (serves && !state.served) reset_to_cold(state.limit);
    state.served = serves;
}

void pull_more(sidecar_state& state, effects& out) {
    note_return(state);
    for (const request_class cls : both_classes) {
        while (room_for(state, cls) > 0 && pull_one(state, cls, out)) {
        }
    }
}

void on_reserve(sidecar_state& state, link_id link, const reserve& message, effects& out) {
    for (const reserve_row& incoming : message.rows) {
        auto& rows = state.rows[incoming.account][index_of(incoming.cls)];
        const auto same = [&](const waiting_row& row) {
            return row.link == link && row.version == incoming.version;
        };
        std::erase_if(rows, same);
        if (incoming.waiting > 0) {
            rows.push_back(
                {link, incoming.version, incoming.waiting, incoming.oldest_ms, incoming.cost_hint});
        }
        if (oldest_row(state, incoming.account, incoming.cls) != nullptr) {
            state.order[index_of(incoming.cls)].set_waiting(incoming.account, incoming.share,
                                                            incoming.fleet_service, state.now);
        } else {
            update_waiting(state, incoming.account, incoming.cls);
        }
        const auto& both = state.rows[incoming.account];
        if (both[0].empty() && both[1].empty()) state.rows.erase(incoming.account);
    }
    pull_more(state, out);
}

void on_pull_empty(sidecar_state& state, const pull_empty& message, effects& out) {
    const auto found = state.pulls.find(message.pull_id);
    if (found == state.pulls.end()) return;
    const open_pull ended = found->second;
    state.pulls.erase(found);
    charge_account(state, ended.account, -ended.cost_hint);
    // The router has nothing for this sidecar until its next row.
    const auto rows = state.rows.find(ended.account);
    if (rows != state.rows.end()) {
        for (waiting_row& row : rows->second[index_of(ended.cls)]) {
            if (row.link == ended.link) row.waiting = 0;
        }
    }
    update_waiting(state, ended.account, ended.cls);
    pull_more(state, out);
}

//-----------------------------------------------------------------------------
// [SECTION] Work
//-----------------------------------------------------------------------------

void send_not_sent(link_id link, const assign& work, failure_kind reason, effects& out) {
    finish end;
    end.attempt = work.attempt;
    end.outcome = attempt_outcome::not_sent;
    end.reason = reason;
    end.end_offset = work.resume_offset;
    out.emplace_back(send_message{link, std::move(end)});
}

// Whether the order may be sent; answers the router if it may not.
bool order_allows(sidecar_state& state, link_id link, const assign& work, effects& out) {
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
        // A second assignment of an order that was sent: its outcome is not known to this router.
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

std::string key_text(order_key key) { return to_string(key); }

enum class revision_order : std::uint8_t { same, router_behind, sidecar_behind };

// Compares the configuration under which the router decided with the one in force here.
revision_order compare_revisions(const sidecar_state& state, const assign& work) {
    if (work.revisions.empty()) return revision_order::same; // a release that does not send them
    const auto& own = state.settings;
    for (const team_revision& mine : relevant_revisions(state.config, own.pool, own.data_centre)) {
        const auto theirs = std::ranges::find(work.revisions, mine.team, &team_revision::team);
        if (theirs == work.revisions.end() || theirs->revision < mine.revision)
            return revision_order::router_behind;
    }
    for (const team_revision& theirs : work.revisions) {
        const auto mine = state.config.teams.find(theirs.team);
        if (mine == state.config.teams.end() || mine->second.revision < theirs.revision)
            return revision_order::sidecar_behind;
    }
    return revision_order::same;
}

void pull_config(sidecar_state& state, link_id link, effects& out) {
    constexpr duration pause = 100ms; // all routers tell of a change at once; one pull is enough
    if (state.now < state.next_config_pull) return;
    state.next_config_pull = state.now + pause;
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
    const auto asked = state.pulls.find(work.pull_id);
    const bool expected = asked != state.pulls.end() && asked->second.link == link;
    const revision_order order = expected ? compare_revisions(state, work) : revision_order::same;
    if (order == revision_order::sidecar_behind) {
        // Its pull stays open, so that the room that it takes stays counted.
        state.held.push_back({link, work, state.now});
        pull_config(state, link, out);
        return;
    }
    if (expected) state.pulls.erase(asked);
    if (order == revision_order::router_behind) {
        refuse_for_revision(state, link, work, "stale_revision", out);
        return;
    }
    if (!expected || state.running.contains(work.attempt)) {
        out.emplace_back(count{"assigns_refused_total", "unexpected", 1});
        send_not_sent(link, work, failure_kind::stale_revision, out);
        return;
    }
    const bool target_down = !state.target.reachable;
    const bool taken_out = serving(state) != serving_state::serving;
    if (target_down || taken_out) {
        charge_account(state, work.account, -work.cost_hint);
        out.emplace_back(count{"assigns_refused_total", target_down ? "target_down" : "not_serving", 1});
        send_not_sent(link, work, failure_kind::draining, out);
        return;
    }
    if (work.order && !order_allows(state, link, work, out)) {
        charge_account(state, work.account, -work.cost_hint);
        pull_more(state, out);
        return;
    }
    running_call call;
    call.work = work;
    call.link = link;
    call.offset = work.resume_offset;
    call.started = state.now;
    call.last_byte = state.now;
    call.ran_alone = state.running.empty();
    call.load_level = detail::present_load_level(state);
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
    if (work.order) start.idempotency_key = key_text(work.order->key);
    start.fence = state.settings.fence;
    state.running.emplace(work.attempt, std::move(call));
    out.emplace_back(std::move(start));
}

double units_of(const sidecar_state& state, const running_call& call, std::uint32_t tokens) {
    constexpr double service_unit_ms = 10.0; // a service call costs one unit for each 10 ms
    if (state.settings.kind == target_kind::service) {
        return 1.0 + to_milliseconds(state.now - call.started) / service_unit_ms;
    }
    constexpr double bytes_per_token = 4.0;
    constexpr double prompt_weight = 0.1;
    return 1.0 + prompt_weight * static_cast<double>(call.work.body.size()) / bytes_per_token + tokens;
}

// Ends a call and tells its router.
void end_call(sidecar_state& state, running_call& call, finish end, effects& out) {
    end.attempt = call.work.attempt;
    end.chunks = call.chunks;
    end.end_offset = call.offset;
    end.checksum = call.checksum;
    end.ran_alone = call.ran_alone;
    if (call.first_byte != time_point{}) {
        end.first_us = static_cast<std::uint64_t>((call.first_byte - call.started).count());
    }
    end.load_level = call.load_level;
    end.total_us = static_cast<std::uint64_t>((state.now - call.started).count());
    charge_account(state, call.work.account, end.units - call.work.cost_hint);
    const bool ok = end.outcome == attempt_outcome::completed;
    out.emplace_back(span{call.traceparent, call.work.traceparent, "sidecar.call", call.started, state.now,
                          ok, state.settings.pool + " " + state.settings.name});
    out.emplace_back(count{"calls_total", std::string{to_string(end.outcome)}, 1});
    if (call.work.order) {
        const order_key key = call.work.order->key;
        const bool known = end.outcome == attempt_outcome::completed;
        if (end.outcome == attempt_outcome::not_sent) {
            forget_send(state.orders, key);
        } else {
            note_outcome(state.orders, key, known ? end.status : 0, end.content_type, call.kept);
        }
    }
    const link_id link = call.link;
    state.running.erase(call.work.attempt);
    if (find_peer(state.members, link) != nullptr) out.emplace_back(send_message{link, std::move(end)});
}

void on_cancel(sidecar_state& state, const cancel& message, effects& out) {
    const auto found = state.running.find(message.attempt);
    const auto waits =
        std::ranges::find(state.held, message.attempt, [](const auto& item) { return item.work.attempt; });
    if (waits != state.held.end()) {
        const sidecar_state::held_work item = *waits;
        state.held.erase(waits);
        state.pulls.erase(item.work.pull_id);
        charge_account(state, item.work.account, -item.work.cost_hint);
        send_not_sent(item.link, item.work, failure_kind::draining, out);
        pull_more(state, out);
        return;
    }
    if (found == state.running.end() || found->second.work.order) return;
    out.emplace_back(cancel_call{message.attempt});
    finish end;
    end.outcome = attempt_outcome::connection_lost;
    end.units = found->second.work.cost_hint;
    end_call(state, found->second, std::move(end), out);
    pull_more(state, out);
}

// Runs the work that waited for newer configuration, now that some has come.
void run_held(sidecar_state& state, effects& out) {
    std::vector<sidecar_state::held_work> held;
    held.swap(state.held);
    for (const auto& item : held)
        on_assign(state, item.link, item.work, out);
}

void end_overdue_held(sidecar_state& state, effects& out) {
    std::vector<sidecar_state::held_work> overdue;
    std::erase_if(state.held, [&](const auto& item) {
        if (state.now - item.since <= state.settings.behind_limit) return false;
        overdue.push_back(item);
        return true;
    });
    for (const auto& item : overdue) {
        state.pulls.erase(item.work.pull_id);
        refuse_for_revision(state, item.link, item.work, "configuration_missing", out);
    }
}

//-----------------------------------------------------------------------------
// [SECTION] Target
//-----------------------------------------------------------------------------

void on_call_chunk(sidecar_state& state, const call_chunk& piece, effects& out) {
    const auto found = state.running.find(piece.attempt);
    if (found == state.running.end() || piece.data.empty()) return;
    running_call& call = found->second;
    if (call.first_byte == time_point{}) {
        call.first_byte = state.now;
        out.emplace_back(observe{"target_first_byte_seconds", std::string{to_string(call.work.cls)},
                                 to_seconds(state.now - call.started)});
        if (on_latency(state.limit, call.work.cls, state.now - call.started)) {
            detail::note_cold_turn(state);
            out.emplace_back(
                log_change{"target has turned cold: limit is " + std::to_string(present_limit(state.limit))});
        }
    }
    call.last_byte = state.now;
    chunk message{piece.attempt, call.chunks, call.offset, piece.data};
    ++call.chunks;
    call.offset += piece.data.size();
    call.checksum = chain_checksum(call.checksum, piece.data);
    const std::size_t kept_limit = state.settings.orders.kept_body_limit;
    if (call.work.order && call.kept.size() <= kept_limit) call.kept += piece.data;
    if (find_peer(state.members, call.link) != nullptr) {
        out.emplace_back(send_message{call.link, std::move(message)});
    }
}

void on_call_finished(sidecar_state& state, const call_finished& done, effects& out) {
    const auto found = state.running.find(done.attempt);
    if (found == state.running.end()) return;
    finish end;
    end.status = done.status;
    end.content_type = done.content_type;
    end.units = units_of(state, found->second, done.tokens);
    if (done.overloaded) {
        on_overload(state.limit);
        out.emplace_back(count{"target_overloads_total", {}, 1});
    }
    if (!done.transport_ok) {
        // Whether the process crashed is decided by its status reports; a lost connection alone is no proof.
        end.outcome = done.sent ? attempt_outcome::connection_lost : attempt_outcome::not_sent;
        end.target_crashed =
            done.sent && !found->second.work.order && state.settings.kind == target_kind::model_engine;
    } else if (done.overloaded) {
        end.outcome = attempt_outcome::not_sent; // the target refused it before it ran
    } else if (done.status >= 500 && !found->second.work.order) {
        end.outcome = attempt_outcome::target_error;
    }
    end_call(state, found->second, std::move(end), out);
    pull_more(state, out);
}

void lose_all_calls(sidecar_state& state, bool crashed, effects& out) {
    while (!state.running.empty()) {
        running_call& call = state.running.begin()->second;
        out.emplace_back(cancel_call{call.work.attempt});
        finish end;
        end.outcome = attempt_outcome::connection_lost;
        end.target_crashed = crashed;
        end.units = call.work.cost_hint;
        end_call(state, call, std::move(end), out);
    }
}

void on_target_status(sidecar_state& state, const target_status& status, effects& out) {
    const bool was_up = state.target_known && state.target.reachable;
    const bool restarted = was_up && status.reachable && state.target.boot != status.boot;
    if (restarted) {
        out.emplace_back(
            log_change{"target has restarted; calls lost: " + std::to_string(state.running.size())});
        lose_all_calls(state, true, out);
        reset_to_cold(state.limit);
    }
    if (was_up != status.reachable) {
        out.emplace_back(log_change{status.reachable ? "target is reachable" : "target is not reachable"});
        if (status.reachable) reset_to_cold(state.limit);
    }
    if (!was_up || restarted || state.target.version != status.version) {
        detail::note_target_start(state);
        if (state.target_known && state.target.version != status.version) reset_to_cold(state.limit);
    }
    state.target = status;
    state.target_known = true;
    pull_more(state, out);
}

//-----------------------------------------------------------------------------
// [SECTION] Links
//-----------------------------------------------------------------------------

void on_link_opened(sidecar_state& state, const link_opened& opened, effects& out) {
    peer p;
    p.link = opened.link;
    p.heard = state.now;
    state.members.peers[opened.link] = p;
    hello greeting;
    greeting.incarnation = state.settings.incarnation;
    greeting.role = process_role::sidecar;
    greeting.name = state.settings.name;
    greeting.data_centre = state.settings.data_centre;
    greeting.pool = state.settings.pool;
    greeting.version = state.target.version.empty() ? state.settings.version : state.target.version;
    greeting.checks_fencing = state.settings.checks_fencing;
    greeting.uptime_us = static_cast<std::uint64_t>((state.now - state.started).count());
    out.emplace_back(send_message{opened.link, greeting});
}

void on_link_closed(sidecar_state& state, link_id link, effects& out) {
    if (state.members.peers.erase(link) == 0) return;
    out.emplace_back(count{"links_closed_total", "router", 1});
    std::erase_if(state.held, [&](const auto& item) { return item.link == link; });
    for (auto it = state.rows.begin(); it != state.rows.end();) {
        const account_id account = it->first;
        for (auto& rows : it->second)
            std::erase_if(rows, [&](const waiting_row& row) { return row.link == link; });
        const bool gone = it->second[0].empty() && it->second[1].empty();
        it = gone ? state.rows.erase(it) : std::next(it);
        for (const request_class cls : both_classes)
            update_waiting(state, account, cls);
    }
    for (auto it = state.pulls.begin(); it != state.pulls.end();) {
        if (it->second.link != link) {
            ++it;
            continue;
        }
        charge_account(state, it->second.account, -it->second.cost_hint);
        it = state.pulls.erase(it);
    }
    // Orders go on, since their outcome will be asked for; everything else has lost its caller.
    std::vector<attempt_id> orphans;
    for (const auto& [attempt, call] : state.running) {
        if (call.link == link && !call.work.order) orphans.push_back(attempt);
    }
    for (const attempt_id attempt : orphans)
        on_cancel(state, cancel{attempt}, out);
    pull_more(state, out);
}

std::uint32_t own_digest(const sidecar_state& state) {
    return digest_of(relevant_revisions(state.config, state.settings.pool, state.settings.data_centre));
}

void send_heartbeats(sidecar_state& state, effects& out) {
    heartbeat beat;
    beat.state = serving(state);
    beat.free_room = room_for(state, request_class::interactive);
    beat.limit = present_limit(state.limit);
    beat.digest = own_digest(state);
    beat.confirmed_ms = static_cast<std::uint64_t>(to_milliseconds(state.now - state.confirmed_at));
    beat.version = state.target.version;
    for (const auto& [link, p] : state.members.peers) {
        if (p.greeted) out.emplace_back(send_message{link, beat});
    }
    out.emplace_back(gauge{"limit", {}, static_cast<double>(beat.limit)});
    out.emplace_back(gauge{"running", {}, static_cast<double>(state.running.size())});
}

// Tells the routers at once when the sidecar starts or stops taking work.
void announce_changes(sidecar_state& state, effects& out) {
    const serving_state present = serving(state);
    if (present == state.announced) return;
    state.announced = present;
    out.emplace_back(log_change{"serving state is " + std::string{to_string(present)}});
    send_heartbeats(state, out);
}

//-----------------------------------------------------------------------------
// [SECTION] Configuration
//-----------------------------------------------------------------------------

void use_pool_declaration(sidecar_state& state) {
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
        failure why;
        if (!check_declarations(declared, why)) {
            out.emplace_back(count{"declarations_rejected_total", std::string{to_string(why.kind)}, 1});
            continue;
        }
        if (!apply_declarations(state.config, declared)) continue;
        out.emplace_back(gauge{"config_revision", declared.team, static_cast<double>(declared.revision)});
        out.emplace_back(log_change{"configuration of team " + declared.team + " is in force at revision " +
                                    std::to_string(declared.revision)});
    }
    use_pool_declaration(state);
    run_held(state, out);
    pull_more(state, out);
}

void on_facts(sidecar_state& state, const facts& received, effects& out) {
    for (const condemned_version& version : received.condemned) {
        if (!state.condemned.insert(version).second) continue;
        out.emplace_back(
            log_change{"version " + version.version + " of pool " + version.pool + " is condemned"});
    }
}

void on_hello(sidecar_state& state, link_id link, const hello& greeting, effects& out) {
    peer* p = find_peer(state.members, link);
    if (p == nullptr || p->greeted) return;
    p->greeted = true;
    p->identity = greeting;
    out.emplace_back(
        log_change{"link from " + std::string{to_string(greeting.role)} + " " + greeting.name + " opened"});
    // A router that has restarted while it is cut off from the others learns of condemned versions here.
    if (greeting.role == process_role::router && !state.condemned.empty()) {
        out.emplace_back(send_message{link, facts{{state.condemned.begin(), state.condemned.end()}, {}}});
    }
}

void on_heartbeat(sidecar_state& state, link_id link, const heartbeat& beat, effects& out) {
    peer* p = find_peer(state.members, link);
    if (p == nullptr) return;
    p->last = beat;
    state.confirmed_at =
        std::max(state.confirmed_at,
                 state.now - std::chrono::milliseconds{static_cast<std::int64_t>(beat.confirmed_ms)});
    // The router may be the one that is behind: the pull tells it so.
    if (beat.digest != own_digest(state)) pull_config(state, link, out);
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
    void operator()(const load_order& m) const { detail::take_load_order(state, m); }
    template <class Other>
    void operator()(const Other& /*unused*/) const {
        out.emplace_back(count{"unexpected_messages_total", "sidecar", 1});
    }
};

void on_link_message(sidecar_state& state, const link_message& event, effects& out) {
    peer* sender = find_peer(state.members, event.link);
    if (sender == nullptr) return;
    sender->heard = state.now;
    if (!sender->greeted && !std::holds_alternative<hello>(event.message)) {
        out.emplace_back(count{"unexpected_messages_total", "before_hello", 1});
        out.emplace_back(close_link{event.link});
        return;
    }
    std::visit(message_handler{state, event.link, out}, event.message);
}

//-----------------------------------------------------------------------------
// [SECTION] Time
//-----------------------------------------------------------------------------

void end_silent_calls(sidecar_state& state, effects& out) {
    const bool engine = state.settings.kind == target_kind::model_engine;
    const duration limit = engine ? state.settings.idle_call_limit : state.settings.service_call_limit;
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
        end.units = call.work.cost_hint;
        end_call(state, call, std::move(end), out);
    }
}

// A router that has not answered a pull for this long has lost it.
constexpr duration pull_limit = 3s;

void end_lost_pulls(sidecar_state& state) {
    for (auto it = state.pulls.begin(); it != state.pulls.end();) {
        if (state.now - it->second.asked <= pull_limit) {
            ++it;
            continue;
        }
        charge_account(state, it->second.account, -it->second.cost_hint);
        it = state.pulls.erase(it);
    }
}

void on_tick(sidecar_state& state, effects& out) {
    for (const link_id link : silent_links(state.members, state.now)) {
        out.emplace_back(count{"links_silent_total", {}, 1});
        out.emplace_back(close_link{link});
        on_link_closed(state, link, out);
    }
    end_silent_calls(state, out);
    end_overdue_held(state, out);
    end_lost_pulls(state);
    expire_orders(state.orders, state.now);
    for (service_order& order : state.order)
        order.expire(state.now);
    detail::on_load_tick(state, out);
    announce_changes(state, out);
    if (state.now >= state.members.next_heartbeat) {
        state.members.next_heartbeat = state.now + state.settings.membership.heartbeat_period;
        send_heartbeats(state, out);
    }
    pull_more(state, out);
    if (!state.stopping || state.exited) return;
    // A router may have claimed an order for a pull that is still open.
    const bool idle = state.running.empty() && state.pulls.empty();
    if (idle || state.now - state.stop_at > state.settings.drain_limit) {
        state.exited = true;
        out.emplace_back(log_change{"stopped; calls left: " + std::to_string(state.running.size())});
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
    void operator()(const cache_event& /*unused*/) const {}
    void operator()(const stop_requested& /*unused*/) const {
        if (state.stopping) return;
        state.stopping = true;
        state.stop_at = state.now;
        out.emplace_back(
            log_change{"stop requested; calls in progress: " + std::to_string(state.running.size())});
        announce_changes(state, out);
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
