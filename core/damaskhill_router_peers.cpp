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
        if (!p.hello_received || p.identity.role != process_role::router || link == except) continue;
        out.emplace_back(send_message{link, message});
    }
}

namespace {

// The neighbours in two rings: one of all routers, and one of the routers of the own data centre, which stays
// connected when the data centre is cut off from the others.
void update_neighbours(router_state& state) {
    std::vector<std::string> nearby{state.settings.name};
    for (const auto& [link, p] : state.members.peers) {
        const bool same = p.hello_received && p.identity.role == process_role::router &&
                          p.identity.data_centre == state.settings.data_centre;
        if (same) nearby.push_back(p.identity.name);
    }
    std::ranges::sort(nearby);
    state.members.neighbours =
        ring_neighbours(live_routers(state.members, state.settings.name), state.settings.name);
    state.members.neighbours.merge(ring_neighbours(nearby, state.settings.name));
}

} // namespace

void on_link_opened(router_state& state, const link_opened& opened, effects& out) {
    peer p;
    p.link = opened.link;
    p.last_received = state.now;
    p.dialed = opened.dialed;
    state.members.peers[opened.link] = p;
    if (!opened.dialed.empty()) on_dial_result(state.members, opened.dialed, true, state.now, state.random);
    hello message;
    message.incarnation = state.settings.incarnation;
    message.role = process_role::router;
    message.name = state.settings.name;
    message.data_centre = state.settings.data_centre;
    out.emplace_back(send_message{opened.link, message});
}

void on_link_closed(router_state& state, link_id link, effects& out) {
    const peer* p = find_peer(state.members, link);
    if (p == nullptr) return;
    const peer closed = *p;
    state.members.peers.erase(link);
    update_neighbours(state);
    state.reserved_slots.erase(link);
    state.prefix_hints.erase(link);
    // A link that closes before the hello has no identity, but has to be dialled again too.
    const std::string& name = closed.hello_received ? closed.identity.name : closed.dialed;
    const bool replaced = find_peer_by_name(state.members, name) != nullptr;
    if (state.members.dial_targets.contains(name) && !replaced) {
        on_dial_result(state.members, name, false, state.now, state.random);
    }
    if (closed.hello_received) {
        out.emplace_back(count{"links_closed_total", std::string{to_string(closed.identity.role)}, 1});
        out.emplace_back(log_change{"link to " + closed.identity.name + " closed"});
    }
    if (closed.identity.role != process_role::sidecar) {
        on_orders_link_closed(state, link, out);
        return;
    }
    std::erase(state.sidecars[closed.identity.pool], link);
    for (auto& [key, links] : state.announced_rows)
        links.erase(link);
    const auto seen = state.known_sidecars.find(closed.identity.incarnation);
    if (seen != state.known_sidecars.end() &&
        find_peer_by_incarnation(state.members, closed.identity.incarnation) == nullptr) {
        seen->second.linked = false;
        seen->second.lost_at = state.now;
    }
    on_orders_link_closed(state, link, out);
    fail_attempts_on(state, link, out);
}

namespace {

// Link of an earlier incarnation of the process, whose connection may stay open for long after its end.
std::optional<link_id> stale_link(const router_state& state, const hello& message) {
    const peer* old = find_peer_by_name(state.members, message.name);
    if (old == nullptr || old->identity.incarnation == message.incarnation) return std::nullopt;
    return old->link;
}

} // namespace

void on_hello(router_state& state, link_id link, const hello& message, effects& out) {
    peer* p = find_peer(state.members, link);
    if (p == nullptr || p->hello_received) return;
    if (message.protocol == 0) {
        out.emplace_back(close_link{link});
        return;
    }
    const auto replaced = stale_link(state, message);
    p->hello_received = true;
    p->identity = message;
    update_neighbours(state);
    if (replaced) {
        out.emplace_back(close_link{*replaced});
        on_link_closed(state, *replaced, out);
    }
    out.emplace_back(log_change{"link to " + std::string{to_string(message.role)} + " " + message.name +
                                " (" + message.data_centre + ") opened"});
    send_message config{link, config_pull{revisions_of(state.config)}};
    const facts known = all_facts(state);
    if (message.role == process_role::router) {
        out.emplace_back(std::move(config));
        out.emplace_back(send_message{link, known});
        send_all_evidence(state, link, out);
        return;
    }
    if (message.role != process_role::sidecar) return;
    state.sidecars[message.pool].push_back(link);
    // Message delay can only make the process look younger.
    const duration uptime{static_cast<std::int64_t>(message.uptime_us)};
    state.known_sidecars[message.incarnation] = {message.pool, message.name, true, {}, state.now - uptime};
    out.emplace_back(send_message{link, known});
    send_heartbeat(state, *p, out); // its digest makes the sidecar pull what it lacks
    announce_all_queues(state, link, out);
}

//-----------------------------------------------------------------------------
// [SECTION] Heartbeats
//-----------------------------------------------------------------------------

namespace {

std::uint64_t confirmation_age_ms(const router_state& state) {
    return static_cast<std::uint64_t>(to_milliseconds(state.now - state.config_confirmed_at));
}

bool is_active(const router_state& state, const peer& p) {
    return p.last_activity != time_point{} &&
           state.now - p.last_activity <= state.settings.membership.activity_timeout;
}

// Whether heartbeats are exchanged with the peer at the short period. Idle links between routers that are not
// neighbours use the long one: with 370 routers in a full mesh the short one would cost 37 KB/s per router.
bool needs_frequent_heartbeats(const router_state& state, const peer& p) {
    if (!p.hello_received || p.identity.role != process_role::router) return true;
    const bool asked = p.frequent_requested_at != time_point{} &&
                       state.now - p.frequent_requested_at <= state.settings.membership.activity_timeout;
    return asked || is_active(state, p) || state.members.neighbours.contains(p.identity.name);
}

bool heartbeat_is_due(const router_state& state, const peer& p) {
    const auto& s = state.settings.membership;
    if (p.idle) return state.now - p.last_heartbeat_sent >= s.idle_period;
    if (p.identity.role == process_role::sidecar) {
        if (state.now - p.last_heartbeat_sent >= s.sidecar_idle_period) return true;
        return is_active(state, p) && state.now - p.last_sent >= s.heartbeat_period;
    }
    const bool neighbour = state.members.neighbours.contains(p.identity.name);
    return state.now - (neighbour ? p.last_heartbeat_sent : p.last_sent) >= s.heartbeat_period;
}

void update_frequency(router_state& state, peer& p) {
    const bool idle = !needs_frequent_heartbeats(state, p);
    if (p.idle && !idle) p.frequent_since = state.now;
    p.idle = idle;
}

} // namespace

void send_heartbeat(router_state& state, peer& p, effects& out, std::vector<team_revision> changed) {
    heartbeat beat;
    beat.revisions = std::move(changed);
    // An isolated router reports `warming`: sidecars then do not take it as a router that is not isolated.
    beat.state = state.stopping   ? serving_state::draining
                 : state.isolated ? serving_state::warming
                                  : serving_state::serving;
    beat.digest = digest_for(state, p);
    beat.confirmed_ms = confirmation_age_ms(state);
    // Reflects the own reason only: if both sides also echoed the other's request, the link would never go
    // idle.
    beat.frequent = state.members.neighbours.contains(p.identity.name);
    p.digest_sent = beat.digest;
    p.last_heartbeat_sent = state.now;
    out.emplace_back(send_message{p.link, beat});
}

void record_sent_messages(router_state& state, std::span<const effect> sent) {
    for (const effect& item : sent) {
        const auto* message = std::get_if<send_message>(&item);
        peer* p = message == nullptr ? nullptr : find_peer(state.members, message->link);
        if (p == nullptr) continue;
        p->last_sent = state.now;
        if (std::holds_alternative<heartbeat>(message->message)) continue;
        p->last_activity = state.now;
        update_frequency(state, *p);
    }
}

void record_received_message(router_state& state, peer& sender, const peer_message& message) {
    sender.last_received = state.now;
    if (const auto* beat = std::get_if<heartbeat>(&message)) {
        if (beat->frequent) sender.frequent_requested_at = state.now;
    } else {
        sender.last_activity = state.now;
    }
    update_frequency(state, sender);
}

void on_heartbeat(router_state& state, link_id link, const heartbeat& beat, effects& out) {
    peer* p = find_peer(state.members, link);
    if (p == nullptr) return;
    const bool was_eligible = is_eligible(state, *p);
    p->last_heartbeat = beat;
    if (!beat.version.empty()) p->identity.version = beat.version;
    state.reserved_slots.erase(link);
    for (const std::uint64_t hash : beat.evicted_prefixes)
        drop_prefix(state.prefix_hints[link], hash);
    for (const std::uint64_t hash : beat.stored_prefixes)
        add_prefix(state.prefix_hints[link], hash);
    state.config_confirmed_at =
        std::max(state.config_confirmed_at,
                 state.now - std::chrono::milliseconds{static_cast<std::int64_t>(beat.confirmed_ms)});
    compare_digest(state, *p, beat, out);
    if (p->identity.role == process_role::sidecar) p->digest_mismatches = 0;
    if (!was_eligible && is_eligible(state, *p)) announce_all_queues(state, link, out);
}

void on_peers_tick(router_state& state, effects& out) {
    for (const link_id link : silent_links(state.members, state.now)) {
        out.emplace_back(count{"links_silent_total", {}, 1});
        out.emplace_back(close_link{link});
        on_link_closed(state, link, out);
    }
    for (dial& due : due_dials(state.members, state.now))
        out.emplace_back(std::move(due));
    constexpr duration heartbeat_check_period = 50ms;
    if (state.now >= state.members.next_heartbeat) {
        state.members.next_heartbeat = state.now + heartbeat_check_period;
        for (auto& [link, p] : state.members.peers) {
            update_frequency(state, p);
            if (p.hello_received && heartbeat_is_due(state, p)) send_heartbeat(state, p, out);
        }
    }
    if (state.now >= state.next_vm_list) {
        state.next_vm_list = state.now + state.settings.vm_list_period;
        out.emplace_back(list_vms{});
    }
    const bool ready =
        is_bootstrapped(state, out) && !state.stopping && !state.isolated && !state.config.teams.empty();
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

// Processes that this router dials: routers with a greater name, so that each pair has one link, and the
// sidecars of each pool that rendezvous hashing assigns to this router.
std::vector<vm_entry> links_to_dial(const router_state& state) {
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
    state.vm_list_known = true;
    set_dial_targets(state.members, links_to_dial(state), state.now, state.random);
}

} // namespace damaskhill::detail
