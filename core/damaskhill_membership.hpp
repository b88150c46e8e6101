// Live view of peers from heartbeats on links and from the platform's lagging list of VMs.
//
// Index of this file:
// [SECTION] Peers
// [SECTION] Dialling

#pragma once

#include "damaskhill_events.hpp"

#include <map>

namespace damaskhill {

//-----------------------------------------------------------------------------
// [SECTION] Peers
//-----------------------------------------------------------------------------

struct membership_settings {
    duration heartbeat_period{500ms};
    duration silence_limit{2s};  // a link without a message for this long is closed
    duration redial_base{200ms}; // first delay before a failed dial is repeated; doubles up to redial_limit
    duration redial_limit{5s};
};

/// One open link.
struct peer {
    link_id link{};
    bool greeted{}; // its hello has arrived
    hello identity;
    heartbeat last;
    time_point heard{}; // time of its last message
};

/// One process that should be reached.
struct dial_target {
    vm_entry vm;
    bool linked{};
    bool dialing{};
    std::uint32_t failures{};
    time_point next_try{};
};

struct membership {
    membership_settings settings;
    std::map<link_id, peer> peers;
    std::map<std::string, dial_target, std::less<>> targets; // by VM name
    std::uint64_t heartbeat_sequence{};
    time_point next_heartbeat{};
};

/// Peer of a link, or null.
[[nodiscard]] peer* find_peer(membership& members, link_id link);
[[nodiscard]] const peer* find_peer(const membership& members, link_id link);
/// Open link of the process with this name, or null.
[[nodiscard]] const peer* find_peer_named(const membership& members, std::string_view name);
/// Open link of the process with this incarnation, or null.
[[nodiscard]] const peer* find_peer_incarnation(const membership& members, incarnation_id incarnation);
/// Links whose peer has been silent for longer than the limit.
[[nodiscard]] std::vector<link_id> silent_links(const membership& members, time_point now);
/// Names of live routers including this one, sorted; the input of rendezvous hashing.
[[nodiscard]] std::vector<std::string> live_routers(const membership& members, std::string_view self);

//-----------------------------------------------------------------------------
// [SECTION] Dialling
//-----------------------------------------------------------------------------

/// Takes a new list of processes that should be linked. Entries that have gone are forgotten.
void set_dial_targets(membership& members, std::span<const vm_entry> vms);
/// Returns the dials that are due and marks them as under way.
[[nodiscard]] std::vector<dial> due_dials(membership& members, time_point now);
/// Notes the result of a dial; a failure is retried after an exponential delay with full jitter.
void on_dialed(membership& members, std::string_view name, bool ok, time_point now, random_source& random);

} // namespace damaskhill
