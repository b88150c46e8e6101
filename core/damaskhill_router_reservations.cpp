// Index of this file:
// [SECTION] Reservation rows
// [SECTION] Announcements
// [SECTION] Service counters

#include "damaskhill_router_internal.hpp"

#include <algorithm>

namespace damaskhill::detail {

//-----------------------------------------------------------------------------
// [SECTION] Reservation rows
//-----------------------------------------------------------------------------

namespace {

reserve_row make_row(const router_state& state, const queue_key& key) {
    reserve_row row;
    row.account = key.account;
    row.cls = key.cls;
    row.version = key.version;
    const auto account = state.config.accounts.find(key.account);
    row.share = account == state.config.accounts.end() ? 1.0 : account->second.share;
    row.fleet_service = fleet_service(state.ledger, state.settings.ledger, key.account, key.pool, state.now);
    row.service_age_ms = static_cast<std::uint64_t>(
        to_milliseconds(total_age(state.ledger, key.account, key.pool, state.now)));
    row.unserved_ms = static_cast<std::uint64_t>(
        to_milliseconds(unserved_time(state.ledger, key.account, key.pool, state.now)));
    const auto queue = state.queues.find(key);
    if (queue == state.queues.end() || queue->second.empty()) return row;
    row.waiting = static_cast<std::uint32_t>(queue->second.size());
    row.oldest_ms = static_cast<std::uint64_t>(to_milliseconds(state.now - queue->second.front().queued_at));
    row.cost_hint = queue->second.front().cost_hint;
    return row;
}

// Row for one sidecar. It counts only the requests that may run on the version of the sidecar.
reserve_row make_row_for(const router_state& state, const peer& sidecar, const queue_key& key) {
    reserve_row row = make_row(state, key);
    const auto queue = state.queues.find(key);
    if (queue != state.queues.end()) row.waiting = count_announceable(state, sidecar, queue->second);
    return row;
}

} // namespace

bool is_eligible(const router_state& state, const peer& sidecar) {
    if (state.isolated) return false;
    if (!sidecar.hello_received || sidecar.identity.role != process_role::sidecar) return false;
    if (sidecar.last_heartbeat.state != serving_state::serving) return false;
    if (!data_centre_in_service(state.config, sidecar.identity.data_centre)) return false;
    if (access_of(state, sidecar.identity.pool, sidecar.identity.version) == version_access::closed)
        return false;
    const auto vm = std::ranges::find(state.vms, sidecar.identity.name, &vm_entry::name);
    return vm == state.vms.end() || !vm->leaving;
}

//-----------------------------------------------------------------------------
// [SECTION] Announcements
//-----------------------------------------------------------------------------

void announce_new_request(router_state& state, const queue_key& key, std::uint64_t prefix_hash,
                          std::string_view first_version, effects& out) {
    const auto links = state.sidecars.find(key.pool);
    if (links == state.sidecars.end()) return;
    std::vector<placement_candidate> candidates;
    bool any_preferred = false;
    for (const link_id link : links->second) {
        const peer* sidecar = find_peer(state.members, link);
        if (sidecar == nullptr || !is_eligible(state, *sidecar)) continue;
        if (!is_announced_at_once(state, *sidecar, first_version)) continue;
        const auto reserved = state.reserved_slots.find(link);
        const std::int64_t reserved_count = reserved == state.reserved_slots.end() ? 0 : reserved->second;
        const auto prefixes = state.prefix_hints.find(link);
        const bool holds =
            prefixes != state.prefix_hints.end() && holds_prefix(prefixes->second, prefix_hash);
        const auto free_slots =
            static_cast<double>(std::int64_t{sidecar->last_heartbeat.free_room} - reserved_count);
        any_preferred = any_preferred || (holds && free_slots > 0.0);
        candidates.push_back({link, free_slots, holds});
    }
    for (const link_id link : choose_initial_sidecars(candidates, state.settings.placement, state.random)) {
        ++state.reserved_slots[link];
        reserve_row row = make_row_for(state, *find_peer(state.members, link), key);
        state.announced_rows[key][link] = {state.now, row.waiting};
        out.emplace_back(send_message{link, reserve{{std::move(row)}}});
    }
    // The hint may be wrong: if the request still waits, the others are notified shortly after.
    if (any_preferred)
        state.delayed_announcements.emplace_back(state.now + state.settings.placement.prefix_head_start, key);
}

void announce_all_queues(router_state& state, link_id link, effects& out) {
    const peer* sidecar = find_peer(state.members, link);
    if (sidecar == nullptr) return;
    reserve message;
    for (const auto& [key, queue] : state.queues) {
        if (queue.empty() || key.pool != sidecar->identity.pool) continue;
        const reserve_row row = make_row_for(state, *sidecar, key);
        if (row.waiting == 0) continue;
        message.rows.push_back(row);
        state.announced_rows[key][link] = {state.now, row.waiting};
    }
    if (!message.rows.empty()) out.emplace_back(send_message{link, std::move(message)});
}

namespace {

// Whether a sidecar needs the row now. A withdrawal goes to sidecars that hold a row, waiting requests go to
// eligible ones. A row that is still held is refreshed only every reservation_refresh: with 30 backlogged
// accounts and 144 sidecars a router would otherwise send 55 KB/s of unchanged rows.
enum class row_need : std::uint8_t { none, later, now };

row_need row_need_of(const router_state& state, const peer& sidecar, const reserve_row& row,
                     const announced_row* announced) {
    if (row.waiting == 0) return announced != nullptr ? row_need::now : row_need::none;
    if (!is_eligible(state, sidecar)) return row_need::none;
    const bool fresh =
        announced != nullptr && state.now - announced->sent_at < state.settings.reservation_refresh;
    return fresh ? row_need::later : row_need::now;
}

} // namespace

void flush_reservations(router_state& state, effects& out) {
    std::map<link_id, reserve> messages;
    std::set<queue_key> still_dirty;
    for (const queue_key& key : state.dirty_queues) {
        const auto links = state.sidecars.find(key.pool);
        if (links == state.sidecars.end()) continue;
        auto& announced = state.announced_rows[key];
        for (const link_id link : links->second) {
            const peer* sidecar = find_peer(state.members, link);
            if (sidecar == nullptr) continue;
            const reserve_row row = make_row_for(state, *sidecar, key);
            const auto known = announced.find(link);
            const row_need need =
                row_need_of(state, *sidecar, row, known == announced.end() ? nullptr : &known->second);
            if (need == row_need::later) still_dirty.insert(key);
            if (need != row_need::now) continue;
            if (row.waiting == 0) {
                announced.erase(link);
            } else {
                announced[link] = {state.now, row.waiting};
            }
            messages[link].rows.push_back(row);
        }
        if (announced.empty()) state.announced_rows.erase(key);
    }
    state.dirty_queues = std::move(still_dirty);
    for (auto& [link, message] : messages)
        out.emplace_back(send_message{link, std::move(message)});
}

void record_pull(router_state& state, const queue_key& key, link_id link, bool answered) {
    const auto rows = state.announced_rows.find(key);
    if (rows == state.announced_rows.end()) return;
    const auto row = rows->second.find(link);
    if (row == rows->second.end()) return;
    if (row->second.waiting > 0) --row->second.waiting;
    // The sidecar drops the row after an empty pull or when all announced requests are pulled.
    if (answered && row->second.waiting > 0) return;
    rows->second.erase(row);
    if (rows->second.empty()) state.announced_rows.erase(rows);
    if (state.queues.contains(key)) state.dirty_queues.insert(key);
}

//-----------------------------------------------------------------------------
// [SECTION] Service counters
//-----------------------------------------------------------------------------

void charge_service(router_state& state, const request& r, double units) {
    charge(state.ledger, state.settings.ledger, r.account, r.input.pool, units, state.now);
}

namespace {

// Whether requests of the account for the pool are queued here.
bool has_waiting_requests(const router_state& state, const service_key& key) {
    const auto queue = state.queues.lower_bound({key.second, key.first, request_class::interactive, {}});
    return queue != state.queues.end() && queue->first.pool == key.second &&
           queue->first.account == key.first && !queue->second.empty();
}

void mark_queues_dirty(router_state& state, const service_key& key) {
    auto queue = state.queues.lower_bound({key.second, key.first, request_class::interactive, {}});
    for (;
         queue != state.queues.end() && queue->first.pool == key.second && queue->first.account == key.first;
         ++queue)
        state.dirty_queues.insert(queue->first);
}

// Starts a new epoch when a link or an incarnation is new: a replaced link may have lost reports, and a new
// incarnation has received none.
void detect_router_changes(router_state& state) {
    std::uint64_t hash = 1;
    for (const auto& [link, p] : state.members.peers) {
        if (!p.hello_received || p.identity.role != process_role::router) continue;
        hash = stable_hash(p.identity.name, hash ^ link ^ p.identity.incarnation.low);
    }
    if (hash == state.routers_hash) return;
    state.routers_hash = hash;
    start_epoch(state.ledger);
}

const std::string& aggregator_of(router_state& state, const service_key& key,
                                 std::span<const std::string> routers) {
    auto& entry = state.ledger.entries[key];
    if (entry.epoch != state.ledger.epoch) {
        const std::string text = format_hex128(key.first.value, 0) + key.second;
        entry.aggregator_name = rendezvous(routers, text, 1).front();
        entry.epoch = state.ledger.epoch;
    }
    return entry.aggregator_name;
}

void send_service_reports(router_state& state, effects& out) {
    detect_router_changes(state);
    const auto routers = live_routers(state.members, state.settings.name);
    std::map<std::string, service_report> reports;
    const auto add = [&](const service_key& key, bool waiting) {
        service_row row = make_report_row(state.ledger, state.settings.ledger, key, state.now);
        row.waiting = waiting;
        reports[aggregator_of(state, key, routers)].rows.push_back(std::move(row));
    };
    std::set<service_key> waiting;
    for (const auto& [key, queue] : state.queues) {
        if (!queue.empty()) waiting.emplace(key.account, key.pool);
    }
    for (const service_key& key : waiting) {
        add(key, true);
        state.ledger.unreported.erase(key);
    }
    std::size_t rows = state.settings.ledger.rows_per_report;
    for (; rows > 0 && !state.ledger.unreported.empty(); --rows) {
        const service_key key = *state.ledger.unreported.begin();
        state.ledger.unreported.erase(state.ledger.unreported.begin());
        add(key, false);
    }
    for (auto& [name, report] : reports) {
        report.owner = state.settings.incarnation;
        if (name == state.settings.name) {
            on_service_report(state, 0, report, out);
        } else if (const peer* aggregator = find_peer_by_name(state.members, name)) {
            out.emplace_back(send_message{aggregator->link, std::move(report)});
        }
    }
}

} // namespace

void on_fairness_tick(router_state& state, effects& out) {
    while (!state.delayed_announcements.empty() && state.delayed_announcements.front().first <= state.now) {
        const queue_key key = state.delayed_announcements.front().second;
        state.delayed_announcements.pop_front();
        if (state.queues.contains(key)) announce_new_request(state, key, 0, {}, out);
    }
    if (state.now >= state.next_service_report) {
        state.next_service_report = state.now + state.settings.ledger.report_period;
        send_service_reports(state, out);
    }
    constexpr duration expiry_period = 60s;
    if (state.now >= state.next_ledger_expiry) {
        state.next_ledger_expiry = state.now + expiry_period;
        expire(state.ledger, state.settings.ledger, state.now);
        expire(state.totals, state.settings.ledger, state.now);
    }
    if (state.now < state.next_flush) return;
    state.next_flush = state.now + state.settings.reservation_period;
    flush_reservations(state, out);
}

void on_service_report(router_state& state, link_id link, const service_report& report, effects& out) {
    service_total reply;
    for (const service_row& row : report.rows) {
        merge_report(state.totals, state.settings.ledger, report.owner, row, state.now);
        if (!row.waiting) continue;
        service_row total = row;
        total.units = total_service(state.totals, state.settings.ledger, {row.account, row.pool}, state.now);
        reply.rows.push_back(std::move(total));
    }
    if (reply.rows.empty()) return;
    if (link == 0) {
        on_service_total(state, reply, out);
    } else {
        out.emplace_back(send_message{link, std::move(reply)});
    }
}

void on_service_total(router_state& state, const service_total& total, effects& /*out*/) {
    for (const service_row& row : total.rows) {
        apply_total(state.ledger, row, state.now);
        // Sidecars schedule by the total, so they receive it even if the queue has not changed.
        if (has_waiting_requests(state, {row.account, row.pool}))
            mark_queues_dirty(state, {row.account, row.pool});
    }
}

} // namespace damaskhill::detail
