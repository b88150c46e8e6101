// Index of this file:
// [SECTION] Links
// [SECTION] Heartbeats
// [SECTION] List of VMs

#include "damaskhill_router_internal.hpp"

#include <algorithm>

namespace damaskhill::detail {

//-----------------------------------------------------------------------------
// [SECTION] Links
//-----------------------------------------------------------------------------

void send_to_routers(const router_state& state, const peer_message& message, effects& out, link_id except) {
    for (const auto& [link, p] : state.members.peers) {
        if (!p.greeted || p.identity.role != process_role::router || link == except) continue;
        out.emplace_back(send_message{link, message});
    }
}

void on_link_opened(router_state& state, const link_opened& opened, effects& out) {
    peer p;
    p.link = opened.link;
    p.heard = state.now;
    state.members.peers[opened.link] = p;
    if (!opened.dialed.empty()) on_dialed(state.members, opened.dialed, true, state.now, state.random);
    hello greeting;
    greeting.incarnation = state.settings.incarnation;
    greeting.role = process_role::router;
    greeting.name = state.settings.name;
    greeting.data_centre = state.settings.data_centre;
    out.emplace_back(send_message{opened.link, greeting});
}

void on_link_closed(router_state& state, link_id link, effects& out) {
    const peer* p = find_peer(state.members, link);
    if (p == nullptr) return;
    const peer closed = *p;
    state.members.peers.erase(link);
    state.reserved_room.erase(link);
    state.prefixes.erase(link);
    const auto target = state.members.targets.find(closed.identity.name);
    const bool replaced = find_peer_named(state.members, closed.identity.name) != nullptr;
    if (target != state.members.targets.end() && !replaced) {
        on_dialed(state.members, closed.identity.name, false, state.now, state.random);
    }
    if (closed.greeted) {
        out.emplace_back(count{"links_closed_total", std::string{to_string(closed.identity.role)}, 1});
        out.emplace_back(log_change{"link to " + closed.identity.name + " closed"});
    }
    if (closed.identity.role != process_role::sidecar) {
        on_orders_link_closed(state, link, out);
        return;
    }
    std::erase(state.sidecars[closed.identity.pool], link);
    const auto seen = state.seen_sidecars.find(closed.identity.incarnation);
    if (seen != state.seen_sidecars.end() &&
        find_peer_incarnation(state.members, closed.identity.incarnation) == nullptr) {
        seen->second.linked = false;
        seen->second.lost = state.now;
    }
    on_orders_link_closed(state, link, out);
    fail_attempts_on(state, link, out);
}

void on_hello(router_state& state, link_id link, const hello& greeting, effects& out) {
    peer* p = find_peer(state.members, link);
    if (p == nullptr || p->greeted) return;
    if (greeting.protocol == 0) {
        out.emplace_back(close_link{link});
        return;
    }
    p->greeted = true;
    p->identity = greeting;
    out.emplace_back(log_change{"link to " + std::string{to_string(greeting.role)} + " " + greeting.name +
                                " (" + greeting.data_centre + ") opened"});
    send_message config{link, config_pull{revisions_of(state.config)}};
    const facts known = all_facts(state);
    if (greeting.role == process_role::router) {
        out.emplace_back(std::move(config));
        out.emplace_back(send_message{link, known});
        return;
    }
    if (greeting.role != process_role::sidecar) return;
    state.sidecars[greeting.pool].push_back(link);
    state.seen_sidecars[greeting.incarnation] = {greeting.pool, greeting.name, true, {}};
    out.emplace_back(send_message{link, known});
    on_config_pull(state, link, config_pull{}, out);
    announce_all(state, link, out);
}

//-----------------------------------------------------------------------------
// [SECTION] Heartbeats
//-----------------------------------------------------------------------------

namespace {

std::uint64_t age_ms(const router_state& state) {
    return static_cast<std::uint64_t>(to_milliseconds(state.now - state.confirmed_at));
}

void send_heartbeats(router_state& state, effects& out) {
    heartbeat beat;
    beat.sequence = ++state.members.heartbeat_sequence;
    beat.state = state.stopping ? serving_state::draining : serving_state::serving;
    beat.revisions = revisions_of(state.config);
    beat.confirmed_ms = age_ms(state);
    for (const auto& [link, p] : state.members.peers) {
        if (p.greeted) out.emplace_back(send_message{link, beat});
    }
}

} // namespace

void on_heartbeat(router_state& state, link_id link, const heartbeat& beat, effects& out) {
    peer* p = find_peer(state.members, link);
    if (p == nullptr) return;
    const bool was_eligible = is_eligible(state, *p);
    p->last = beat;
    if (!beat.version.empty()) p->identity.version = beat.version;
    state.reserved_room.erase(link);
    for (const std::uint64_t hash : beat.evicted_prefixes)
        forget_prefix(state.prefixes[link], hash);
    for (const std::uint64_t hash : beat.stored_prefixes)
        remember_prefix(state.prefixes[link], hash);
    state.confirmed_at =
        std::max(state.confirmed_at,
                 state.now - std::chrono::milliseconds{static_cast<std::int64_t>(beat.confirmed_ms)});
    compare_revisions(state, link, beat.revisions, out);
    if (!was_eligible && is_eligible(state, *p)) announce_all(state, link, out);
}

void on_peers_tick(router_state& state, effects& out) {
    for (const link_id link : silent_links(state.members, state.now)) {
        out.emplace_back(count{"links_silent_total", {}, 1});
        out.emplace_back(close_link{link});
        on_link_closed(state, link, out);
    }
    for (dial& due : due_dials(state.members, state.now))
        out.emplace_back(std::move(due));
    if (state.now >= state.members.next_heartbeat) {
        state.members.next_heartbeat = state.now + state.settings.membership.heartbeat_period;
        send_heartbeats(state, out);
    }
    if (state.now >= state.next_vm_list) {
        state.next_vm_list = state.now + state.settings.vm_list_period;
        out.emplace_back(list_vms{});
    }
    const bool ready = !state.stopping && !state.config.teams.empty();
    if (ready != state.ready) {
        state.ready = ready;
        out.emplace_back(gauge{"ready", {}, ready ? 1.0 : 0.0});
        out.emplace_back(log_change{ready ? "ready" : "not ready"});
    }
}

//-----------------------------------------------------------------------------
// [SECTION] List of VMs
//-----------------------------------------------------------------------------

namespace {

// Which listed processes this router dials: routers with a greater name, so that one link joins two routers,
// and of each pool the sidecars that rendezvous hashing gives to this router.
std::vector<vm_entry> wanted_links(const router_state& state) {
    std::vector<vm_entry> wanted;
    std::map<std::string, std::vector<std::string>> sidecars;
    for (const vm_entry& vm : state.vms) {
        if (vm.role == process_role::router && vm.name > state.settings.name) wanted.push_back(vm);
        if (vm.role == process_role::sidecar) sidecars[vm.pool].push_back(vm.name);
    }
    for (const auto& [pool, names] : sidecars) {
        const auto chosen = rendezvous(names, state.settings.name, state.settings.links_per_pool);
        for (const vm_entry& vm : state.vms) {
            if (std::ranges::find(chosen, vm.name) != chosen.end()) wanted.push_back(vm);
        }
    }
    return wanted;
}

} // namespace

void on_vm_list(router_state& state, const vm_list& list, effects& /*out*/) {
    state.vms = list.vms;
    state.vms_known = true;
    set_dial_targets(state.members, wanted_links(state));
}

} // namespace damaskhill::detail
