// Index of this file:
// [SECTION] Facts
// [SECTION] Access
// [SECTION] Exposure
// [SECTION] Evidence
// [SECTION] Load orders
// [SECTION] Timers

#include "damaskhill_router_internal.hpp"

#include <algorithm>

namespace damaskhill::detail {

//-----------------------------------------------------------------------------
// [SECTION] Facts
//-----------------------------------------------------------------------------

facts all_facts(const router_state& state) {
    facts all;
    all.condemned.assign(state.condemned.begin(), state.condemned.end());
    for (const auto& [hash, record] : state.crashes.records)
        all.crashes.push_back(record);
    return all;
}

namespace {

void broadcast_facts(router_state& state, const facts& new_facts, link_id except, effects& out) {
    state.facts_dirty = true;
    for (const auto& [link, p] : state.members.peers) {
        if (p.hello_received && link != except) out.emplace_back(send_message{link, new_facts});
    }
}

// Merges received facts and returns the new ones.
facts merge_facts(router_state& state, const facts& received, effects& out) {
    facts new_facts;
    for (const condemned_version& version : received.condemned) {
        if (!state.condemned.insert(version).second) continue;
        new_facts.condemned.push_back(version);
        out.emplace_back(count{"versions_condemned_total", version.pool, 1});
        out.emplace_back(
            log_change{"version " + version.version + " of pool " + version.pool + " is condemned"});
    }
    for (const crash_record& record : received.crashes) {
        const bool was_quarantined = is_quarantined(state.crashes, record.crash_hash);
        if (!merge_crash(state.crashes, record)) continue;
        new_facts.crashes.push_back(state.crashes.records[record.crash_hash]);
        if (!was_quarantined && is_quarantined(state.crashes, record.crash_hash)) {
            out.emplace_back(count{"requests_quarantined_total", {}, 1});
        }
    }
    return new_facts;
}

bool empty(const facts& f) { return f.condemned.empty() && f.crashes.empty(); }

} // namespace

void on_facts(router_state& state, link_id from, const facts& received, effects& out) {
    state.facts_received = true;
    const facts new_facts = merge_facts(state, received, out);
    if (!empty(new_facts)) broadcast_facts(state, new_facts, from, out);
}

void on_facts_reply(router_state& state, const facts_reply& reply, effects& out) {
    state.facts_in_flight = false;
    if (reply.result == failure_kind::none || reply.result == failure_kind::store_conflict) {
        state.store_reached_at = state.now;
        state.facts_version = reply.version;
        state.facts_received = true;
    }
    if (reply.result != failure_kind::none) {
        // Repeats the call: a write if this router has facts to store, otherwise a read.
        state.facts_requested = !empty(all_facts(state));
        state.facts_dirty = state.facts_requested;
    }
    const facts new_facts = merge_facts(state, reply.known, out);
    if (!empty(new_facts)) broadcast_facts(state, new_facts, 0, out);
}

void record_target_crash(router_state& state, const request& r, attempt_id attempt, bool alone,
                         effects& out) {
    out.emplace_back(count{"target_crashes_total", r.input.pool, 1});
    if (!record_crash(state.crashes, r.crash_hash, attempt, alone)) return;
    const crash_record& record = state.crashes.records[r.crash_hash];
    if (record.quarantined) {
        out.emplace_back(count{"requests_quarantined_total", {}, 1});
        out.emplace_back(log_change{"a request of pool " + r.input.pool + " is quarantined after " +
                                    std::to_string(record.crashes.size()) + " target crashes"});
    }
    broadcast_facts(state, facts{{}, {record}}, 0, out);
}

//-----------------------------------------------------------------------------
// [SECTION] Access
//-----------------------------------------------------------------------------

namespace {

bool is_condemned(const router_state& state, std::string_view pool, std::string_view version) {
    return state.condemned.contains({std::string{pool}, std::string{version}});
}

const move_test* find_test(const router_state& state, const move_declaration& move) {
    const auto found = state.move_tests.find(move.name);
    return found == state.move_tests.end() || found->second.start != move.start ? nullptr : &found->second;
}

move_phase phase_of(const router_state& state, const move_declaration& move) {
    const bool condemned = is_condemned(state, move.pool, move.to_version);
    return damaskhill::phase_of(move, find_test(state, move), condemned, state.now);
}

double exposure_share(const router_state& state, const move_declaration& move) {
    const bool condemned = is_condemned(state, move.pool, move.to_version);
    return traffic_share(move, find_test(state, move), condemned, state.now);
}

// A router that has just started may not know yet that a version is condemned.
bool condemnations_known(const router_state& state) {
    constexpr duration facts_timeout = 3s; // when no peer and no store answers
    return state.facts_received || state.now - state.started > facts_timeout;
}

template <class Predicate>
bool any_eligible(const router_state& state, std::string_view pool, Predicate&& matches) {
    const auto links = state.sidecars.find(pool);
    if (links == state.sidecars.end()) return false;
    return std::ranges::any_of(links->second, [&](link_id link) {
        const peer* p = find_peer(state.members, link);
        return p != nullptr && matches(*p) && is_eligible(state, *p);
    });
}

bool has_eligible_target(const router_state& state, std::string_view pool, std::string_view version) {
    return any_eligible(state, pool, [&](const peer& p) { return p.identity.version == version; });
}

version_access access_without_move(const router_state& state, std::string_view pool,
                                   std::string_view version) {
    const pool_declaration* declared = find_pool(state.config, pool);
    const bool any = declared == nullptr || declared->version.empty() || declared->version == version;
    return any ? version_access::open : version_access::closed;
}

} // namespace

version_access access_of(const router_state& state, std::string_view pool, std::string_view version) {
    if (is_condemned(state, pool, version)) return version_access::closed;
    const move_declaration* move = current_move(state.config, pool, state.now);
    if (move == nullptr) return access_without_move(state, pool, version);
    const bool is_new = version == move->to_version;
    if (!is_new && version != move->from_version) return version_access::closed;
    switch (phase_of(state, *move)) {
    case move_phase::exposure:
        if (!is_new) return version_access::open;
        return condemnations_known(state) ? version_access::exposed : version_access::closed;
    case move_phase::ramp:
        return is_new ? version_access::ramping : version_access::open;
    case move_phase::complete:
        if (is_new) return version_access::open;
        // The old version stays open until the new one has an eligible target.
        return has_eligible_target(state, pool, move->to_version) ? version_access::closed
                                                                  : version_access::open;
    default:
        return is_new ? version_access::closed : version_access::open;
    }
}

//-----------------------------------------------------------------------------
// [SECTION] Exposure
//-----------------------------------------------------------------------------

namespace {

// Whether a preempted stream has to continue on the version that produced its beginning. The pin is limited
// in time to bound the delay.
bool is_pinned_to(const router_state& state, const request& r, std::string_view version) {
    constexpr duration max_pin_time = 1s;
    return r.preemptions > 0 && r.version == version && !r.answer.text.empty() &&
           state.now - r.queued_at < max_pin_time;
}

bool may_be_exposed(const request& r, std::string_view version) {
    return r.exposed_to == version || (r.preemptions > 0 && r.version == version && !r.answer.text.empty());
}

bool has_free_slots(const router_state& state, const peer& sidecar) {
    const auto reserved = state.reserved_slots.find(sidecar.link);
    const std::int64_t reserved_count = reserved == state.reserved_slots.end() ? 0 : reserved->second;
    return std::int64_t{sidecar.last_heartbeat.free_room} > reserved_count;
}

std::string route_label(const request& r) {
    std::string route;
    switch (r.input.route) {
    case caller_route::chat_completions:
        route = "chat";
        break;
    case caller_route::completions:
        route = "completions";
        break;
    default: {
        const std::string_view path = r.input.path;
        route = r.input.method + " " + std::string{path.substr(0, path.find_first_of("/?", 1))};
        break;
    }
    }
    return route + " " + std::string{to_string(r.cls)};
}

} // namespace

bool may_run_on(const router_state& state, const request& r, std::string_view version) {
    // Time in the queue after which no other target is assumed to have room.
    constexpr duration no_room_delay = 50ms;
    switch (access_of(state, r.input.pool, version)) {
    case version_access::closed:
        return false;
    case version_access::open:
        return r.version.empty() || r.version == version || !is_pinned_to(state, r, r.version) ||
               !has_eligible_target(state, r.input.pool, r.version);
    case version_access::ramping:
        if (r.attempts == 0 && r.preemptions == 0 && state.now - r.queued_at >= no_room_delay) return true;
        return may_be_exposed(r, version);
    default:
        return may_be_exposed(r, version);
    }
}

std::string choose_exposure(router_state& state, request& r) {
    const move_declaration* move = current_move(state.config, r.input.pool, state.now);
    if (move == nullptr) return {};
    const move_phase phase = phase_of(state, *move);
    if (phase != move_phase::exposure && phase != move_phase::ramp) return {};
    const std::string& version = move->to_version;
    if (!condemnations_known(state)) return {};
    if (may_be_exposed(r, version)) return version;
    // A request that was attempted before is not newly exposed: it runs on the old version.
    if (r.attempts > 0 || r.preemptions > 0) return {};
    const auto is_new = [&](const peer& p) {
        return p.identity.version == version && has_free_slots(state, p);
    };
    if (!any_eligible(state, r.input.pool, is_new)) return {};
    exposure_credit& credit = state.exposure_credits[move->name];
    if (phase == move_phase::exposure) {
        // Routes that still lack evidence take precedence; others are exposed only from this credit on.
        constexpr double surplus_credit = 4.0;
        const move_test* test = find_test(state, *move);
        const bool done = test != nullptr && route_accepted(*test, route_label(r), state.settings.verdict);
        if (done && credit.balance < surplus_credit) return {};
    }
    if (!spend_credit(credit)) {
        // During the ramp a request runs on the new version also when no other target has a free slot.
        if (phase == move_phase::exposure) return {};
        const auto is_old = [&](const peer& p) {
            return p.identity.version != version && has_free_slots(state, p);
        };
        return any_eligible(state, r.input.pool, is_old) ? std::string{} : version;
    }
    r.exposed_to = version;
    return version;
}

bool is_announced_at_once(const router_state& state, const peer& sidecar, std::string_view first) {
    if (!first.empty()) return sidecar.identity.version == first;
    return access_of(state, sidecar.identity.pool, sidecar.identity.version) == version_access::open;
}

std::uint32_t count_announceable(const router_state& state, const peer& sidecar, const request_queue& queue) {
    const std::string& version = sidecar.identity.version;
    switch (access_of(state, sidecar.identity.pool, version)) {
    case version_access::closed:
        return 0;
    case version_access::exposed:
        return static_cast<std::uint32_t>(
            std::ranges::count_if(queue, [&](const request& r) { return may_be_exposed(r, version); }));
    default:
        return static_cast<std::uint32_t>(queue.size());
    }
}

void record_version_start(router_state& state, request& r, std::string_view version) {
    const bool resumed = r.version == version && r.preemptions > 0;
    r.version = version;
    const std::string exposed_version = std::exchange(r.exposed_to, {});
    const move_declaration* move = current_move(state.config, r.input.pool, state.now);
    if (move == nullptr) return;
    exposure_credit& credit = state.exposure_credits[move->name];
    if (!std::exchange(r.counted_for_exposure, true)) add_credit(credit, exposure_share(state, *move));
    if (version == move->to_version) {
        // Lower bound for requests that ran on the new version because no other target had room.
        constexpr double max_debt = -8.0;
        if (exposed_version.empty() && !resumed) credit.balance = std::max(max_debt, credit.balance - 1.0);
    } else if (exposed_version == move->to_version) {
        refund_credit(credit);
    }
}

//-----------------------------------------------------------------------------
// [SECTION] Evidence
//-----------------------------------------------------------------------------

namespace {

// One crash or lost link fails all calls on the link at once; only the first counts as a failure.
bool is_repeated_crash(router_state& state, link_id link) {
    constexpr duration crash_window = 2s;
    std::erase_if(state.last_crash, [&](const auto& e) { return state.now - e.second > crash_window; });
    return !state.last_crash.emplace(link, state.now).second;
}

// Model engines: time to the first byte plus the time of 16 units, so that slow starts and slow tokens both
// count. Services: total time.
duration latency_of(const router_state& state, const request& r, const finish& end) {
    const pool_declaration* pool = find_pool(state.config, r.input.pool);
    const auto total = static_cast<std::int64_t>(end.total_us);
    if (pool == nullptr || pool->kind == target_kind::service) return duration{total};
    constexpr double units = 16.0;
    const auto first = static_cast<double>(end.first_us);
    const double rest = std::max(0.0, static_cast<double>(end.total_us) - first);
    return duration{static_cast<std::int64_t>(first + rest * units / std::max(units, end.units))};
}

} // namespace

void record_version_outcome(router_state& state, const request& r, const finish& end, effects& /*out*/) {
    const move_declaration* move = current_move(state.config, r.input.pool, state.now);
    if (move == nullptr || state.now < move->start) return;
    if (r.version != move->from_version && r.version != move->to_version) return;
    const bool lost = end.outcome == attempt_outcome::connection_lost;
    if (lost && is_repeated_crash(state, r.link)) return;
    const bool failed = end.outcome != attempt_outcome::completed;
    const std::uint32_t level = std::min(end.load_level, load_level_warming);
    const evidence_key key{r.input.pool, r.version, route_label(r), level};
    record_attempt(state.evidence, state.settings.incarnation, key, failed, latency_of(state, r, end));
    state.unsent_evidence.insert(key);
}

void on_evidence(router_state& state, const evidence& received, effects& /*out*/) {
    for (const evidence_row& row : received.rows)
        merge_evidence(state.evidence, received.owner, row);
}

void send_all_evidence(router_state& state, link_id link, effects& out) {
    evidence own{state.settings.incarnation, {}};
    for (const auto& [key, counts] : state.evidence.counts) {
        if (key.first == state.settings.incarnation) own.rows.push_back(to_row(key.second, counts));
    }
    if (!own.rows.empty()) out.emplace_back(send_message{link, std::move(own)});
}

namespace {

void send_unsent_evidence(router_state& state, effects& out) {
    evidence own{state.settings.incarnation, {}};
    for (const evidence_key& key : state.unsent_evidence)
        own.rows.push_back(to_row(key, state.evidence.counts[{state.settings.incarnation, key}]));
    state.unsent_evidence.clear();
    if (!own.rows.empty()) send_to_routers(state, own, out);
}

void remove_ended_moves(router_state& state) {
    const auto has_move = [&](std::string_view pool) {
        return std::ranges::find(state.config.moves, pool, &move_declaration::pool) !=
               state.config.moves.end();
    };
    const auto is_declared = [&](std::string_view name) {
        return std::ranges::find(state.config.moves, name, &move_declaration::name) !=
               state.config.moves.end();
    };
    std::erase_if(state.evidence.totals, [&](const auto& e) { return !has_move(e.first.pool); });
    std::erase_if(state.evidence.counts, [&](const auto& e) { return !has_move(e.first.second.pool); });
    std::erase_if(state.unsent_evidence, [&](const auto& key) { return !has_move(key.pool); });
    std::erase_if(state.move_tests, [&](const auto& e) { return !is_declared(e.first); });
    std::erase_if(state.exposure_credits, [&](const auto& e) { return !is_declared(e.first); });
    std::erase_if(state.logged_move_phases, [&](const auto& e) { return !is_declared(e.first); });
}

void evaluate_moves(router_state& state, effects& out) {
    for (const move_declaration& move : state.config.moves) {
        if (current_move(state.config, move.pool, state.now) != &move || move.start > state.now) continue;
        if (is_condemned(state, move.pool, move.to_version)) continue;
        const version_verdict verdict = advance_test(state.move_tests[move.name], state.evidence, move,
                                                     state.settings.verdict, state.now);
        if (verdict != version_verdict::bad) continue;
        const facts new_facts = merge_facts(state, facts{{{move.pool, move.to_version}}, {}}, out);
        if (!empty(new_facts)) broadcast_facts(state, new_facts, 0, out);
    }
}

std::string_view phase_name(move_phase phase) {
    switch (phase) {
    case move_phase::before:
        return "not started";
    case move_phase::exposure:
        return "exposure";
    case move_phase::ramp:
        return "ramp";
    case move_phase::complete:
        return "complete";
    default:
        return "rolled back";
    }
}

// Announces the queues of a pool again when its move changes phase, since other targets may then take them.
void update_phases(router_state& state, effects& out) {
    for (const move_declaration& move : state.config.moves) {
        const move_phase phase = phase_of(state, move);
        const auto known = state.logged_move_phases.find(move.name);
        if (known != state.logged_move_phases.end() && known->second == phase) continue;
        state.logged_move_phases[move.name] = phase;
        out.emplace_back(log_change{"move " + move.name + " of pool " + move.pool + " to version " +
                                    move.to_version + ": " + std::string{phase_name(phase)}});
        out.emplace_back(gauge{"move_phase", move.name, static_cast<double>(phase)});
        for (const auto& [key, queue] : state.queues) {
            if (key.pool == move.pool) state.dirty_queues.insert(key);
        }
    }
}

//-----------------------------------------------------------------------------
// [SECTION] Load orders
//-----------------------------------------------------------------------------

std::vector<std::string> target_names(const router_state& state, std::string_view pool) {
    std::vector<std::string> names;
    for (const vm_entry& vm : state.vms) {
        if (vm.role == process_role::sidecar && vm.pool == pool) names.push_back(vm.name);
    }
    std::ranges::sort(names);
    return names;
}

void send_load_order(router_state& state, const move_declaration& move, effects& out) {
    const pool_declaration* pool = find_pool(state.config, move.pool);
    if (pool == nullptr || pool->kind != target_kind::model_engine) return;
    const std::vector<std::string> names = target_names(state, move.pool);
    const peer* target =
        find_peer_by_name(state.members, load_slot_owner(names, pool->loads_per_minute, state.now));
    if (target == nullptr || !data_centre_in_service(state.config, target->identity.data_centre)) return;
    const auto links = state.sidecars.find(move.pool);
    if (links == state.sidecars.end()) return;
    const auto linked_on_new = std::ranges::count_if(links->second, [&](link_id link) {
        const peer* p = find_peer(state.members, link);
        return p != nullptr && p->identity.version == move.to_version;
    });
    const std::string version =
        version_to_load(move, phase_of(state, move), exposure_share(state, move), target->identity.version,
                        static_cast<std::size_t>(linked_on_new), links->second.size());
    if (version.empty() || is_condemned(state, move.pool, version)) return;
    out.emplace_back(send_message{target->link, load_order{move.pool, version}});
}

// Runs in every load slot: slots may be shorter than verdict_period, and acting only in every other slot
// would skip half of the targets when their number is even. Repeated orders are harmless.
void send_load_orders(router_state& state, effects& out) {
    constexpr duration repeat_period = 500ms;
    for (const move_declaration& move : state.config.moves) {
        const pool_declaration* pool = find_pool(state.config, move.pool);
        if (pool == nullptr || pool->loads_per_minute == 0) continue;
        if (current_move(state.config, move.pool, state.now) != &move) continue;
        const std::int64_t slot = state.now.time_since_epoch() / (duration{1min} / pool->loads_per_minute);
        router_state::load_slot& last = state.last_load_slots[move.pool];
        if (last.number == slot && state.now - last.ordered_at < repeat_period) continue;
        last = {slot, state.now};
        send_load_order(state, move, out);
    }
}

} // namespace

//-----------------------------------------------------------------------------
// [SECTION] Timers
//-----------------------------------------------------------------------------

void on_versions_tick(router_state& state, effects& out) {
    constexpr duration facts_period = 1s;
    constexpr duration verdict_period = 500ms;
    if (state.now >= state.next_verdict_check) {
        state.next_verdict_check = state.now + verdict_period;
        remove_ended_moves(state);
        send_unsent_evidence(state, out);
        evaluate_moves(state, out);
    }
    send_load_orders(state, out);
    update_phases(state, out);
    if (!state.facts_requested && !state.facts_in_flight && state.now >= state.next_facts_call) {
        state.next_facts_call = state.now + facts_period;
        state.facts_requested = true;
        state.facts_in_flight = true;
        out.emplace_back(store_facts{std::nullopt, {}});
    }
    if (state.facts_dirty && !state.facts_in_flight && state.now >= state.next_facts_call) {
        state.next_facts_call = state.now + facts_period;
        state.facts_dirty = false;
        state.facts_in_flight = true;
        out.emplace_back(store_facts{state.facts_version, all_facts(state)});
    }
}

} // namespace damaskhill::detail
