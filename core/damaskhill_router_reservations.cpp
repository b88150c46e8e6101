// Index of this file:
// [SECTION] Rows
// [SECTION] Announcements
// [SECTION] Service counters

#include "damaskhill_router_internal.hpp"

#include <algorithm>

namespace damaskhill::detail {

//-----------------------------------------------------------------------------
// [SECTION] Rows
//-----------------------------------------------------------------------------

namespace {

reserve_row row_of(const router_state& state, const queue_key& key) {
    reserve_row row;
    row.account = key.account;
    row.cls = key.cls;
    row.version = key.version;
    const auto account = state.config.accounts.find(key.account);
    row.share = account == state.config.accounts.end() ? 1.0 : account->second.share;
    row.fleet_service = fleet_service(state.ledger, key.account, key.pool);
    const auto queue = state.queues.find(key);
    if (queue == state.queues.end() || queue->second.empty()) return row;
    row.waiting = static_cast<std::uint32_t>(queue->second.size());
    row.oldest_ms = static_cast<std::uint64_t>(to_milliseconds(state.now - queue->second.front().queued));
    row.cost_hint = queue->second.front().cost_hint;
    return row;
}

// Row for one sidecar: a target that is exposed to a part of the traffic hears of this part only.
reserve_row row_for(const router_state& state, const peer& sidecar, const queue_key& key) {
    reserve_row row = row_of(state, key);
    const auto queue = state.queues.find(key);
    if (queue != state.queues.end()) row.waiting = waiting_for(state, sidecar, queue->second);
    return row;
}

} // namespace

bool is_eligible(const router_state& state, const peer& sidecar) {
    if (state.isolated) return false;
    if (!sidecar.greeted || sidecar.identity.role != process_role::sidecar) return false;
    if (sidecar.last.state != serving_state::serving) return false;
    if (!data_centre_in_service(state.config, sidecar.identity.data_centre)) return false;
    if (access_of(state, sidecar.identity.pool, sidecar.identity.version) == version_access::closed)
        return false;
    const auto vm = std::ranges::find(state.vms, sidecar.identity.name, &vm_entry::name);
    return vm == state.vms.end() || !vm->leaving;
}

//-----------------------------------------------------------------------------
// [SECTION] Announcements
//-----------------------------------------------------------------------------

void announce_first(router_state& state, const queue_key& key, std::uint64_t /*prefix_hash*/,
                    std::string_view first_version, effects& out) {
    const auto links = state.sidecars.find(key.pool);
    if (links == state.sidecars.end()) return;
    std::vector<placement_candidate> candidates;
    for (const link_id link : links->second) {
        const peer* sidecar = find_peer(state.members, link);
        if (sidecar == nullptr || !is_eligible(state, *sidecar)) continue;
        if (!hears_at_once(state, *sidecar, first_version)) continue;
        const auto reserved = state.reserved_room.find(link);
        const std::int64_t taken = reserved == state.reserved_room.end() ? 0 : reserved->second;
        candidates.push_back(
            {link, static_cast<double>(std::int64_t{sidecar->last.free_room} - taken), false});
    }
    for (const link_id link : choose_first(candidates, state.settings.placement, state.random)) {
        ++state.reserved_room[link];
        state.told[key].insert(link);
        out.emplace_back(send_message{link, reserve{{row_for(state, *find_peer(state.members, link), key)}}});
    }
}

void announce_all(router_state& state, link_id link, effects& out) {
    const peer* sidecar = find_peer(state.members, link);
    if (sidecar == nullptr) return;
    reserve message;
    for (const auto& [key, queue] : state.queues) {
        if (queue.empty() || key.pool != sidecar->identity.pool) continue;
        message.rows.push_back(row_for(state, *sidecar, key));
        state.told[key].insert(link);
    }
    if (!message.rows.empty()) out.emplace_back(send_message{link, std::move(message)});
}

void flush_reservations(router_state& state, effects& out) {
    std::map<link_id, reserve> messages;
    for (const queue_key& key : state.dirty) {
        const auto links = state.sidecars.find(key.pool);
        if (links == state.sidecars.end()) continue;
        for (const link_id link : links->second) {
            const peer* sidecar = find_peer(state.members, link);
            if (sidecar == nullptr) continue;
            const reserve_row row = row_for(state, *sidecar, key);
            // A withdrawal goes to those that hold a row; waiting requests only to those that may take them.
            if (row.waiting > 0 && !is_eligible(state, *sidecar)) continue;
            auto& told = state.told[key];
            const bool changes = row.waiting > 0 ? (told.insert(link), true) : told.erase(link) > 0;
            if (changes) messages[link].rows.push_back(row);
        }
        if (state.told[key].empty()) state.told.erase(key);
    }
    state.dirty.clear();
    for (auto& [link, message] : messages)
        out.emplace_back(send_message{link, std::move(message)});
}

//-----------------------------------------------------------------------------
// [SECTION] Service counters
//-----------------------------------------------------------------------------

void charge_service(router_state& state, const request& r, double units) {
    charge(state.ledger, r.account, r.input.pool, units);
}

void on_fairness_tick(router_state& state, effects& out) {
    if (state.now < state.next_flush) return;
    state.next_flush = state.now + state.settings.reservation_period;
    flush_reservations(state, out);
}

void on_service_report(router_state& /*state*/, link_id /*link*/, const service_report& /*report*/,
                       effects& /*out*/) {}

void on_service_total(router_state& /*state*/, const service_total& /*total*/, effects& /*out*/) {}

} // namespace damaskhill::detail
