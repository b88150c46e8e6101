// Live view of peers from heartbeats on links and from the platform's lagging list of VMs.
//
// Index of this file:
// [SECTION] Peers
// [SECTION] Dialling

#pragma once

#include "damaskhill_events.hpp"

#include <map>
#include <set>

namespace damaskhill {

//-----------------------------------------------------------------------------
// [SECTION] Peers
//-----------------------------------------------------------------------------

struct membership_settings {
    duration heartbeat_period{500ms};   // on links that carry work and between neighbours
    duration sidecar_idle_period{1s};   // from a router to a sidecar without work; below silence_limit
    duration idle_period{10s};          // on idle links between routers that are no neighbours
    duration silence_timeout{2s};       // a link without a message for this long is closed
    duration idle_silence_timeout{25s}; // the same for idle links: two heartbeats and a margin
    duration activity_timeout{2s};      // a link carries work until this long after its last message
    duration redial_base_delay{
        200ms}; // first delay before a failed dial is repeated; doubles up to redial_limit
    duration redial_max_delay{5s};
};

/// One open link.
struct peer {
    link_id link{};
    bool hello_received{}; // its hello has arrived
    std::string dialed;    // name that was dialled, empty for an accepted link
    hello identity;
    heartbeat last_heartbeat;
    time_point last_received{};         // time of its last message
    time_point last_sent{};             // last message to it
    time_point last_heartbeat_sent{};   // last heartbeat to it
    time_point last_activity{};         // last message in either direction that was no heartbeat
    time_point frequent_requested_at{}; // last heartbeat in which it asked for the short period
    time_point frequent_since{};        // since when messages at the short period are expected from it
    bool idle{};                        // messages are expected at the long period only
    std::uint32_t digest_sent{};        // in the last heartbeat to it
    time_point config_requested_at{};   // last config_pull to it
    std::uint32_t digest_mismatches{};  // consecutive heartbeats whose digest was another one
};

/// One process that should be reached.
struct dial_target {
    vm_entry vm;
    bool linked{};
    bool dialing{};
    std::uint32_t failures{};
    time_point next_attempt{};
};

struct membership {
    membership_settings settings;
    std::map<link_id, peer> peers;
    std::map<std::string, dial_target, std::less<>> dial_targets; // by VM name
    std::set<std::string, std::less<>> neighbours;                // routers: names of live neighbours
    time_point next_heartbeat{};
};

/// Peer of a link, or null.
[[nodiscard]] peer* find_peer(membership& members, link_id link);
[[nodiscard]] const peer* find_peer(const membership& members, link_id link);
/// Open link of the process with this name, or null.
[[nodiscard]] const peer* find_peer_by_name(const membership& members, std::string_view name);
/// Open link of the process with this incarnation, or null.
[[nodiscard]] const peer* find_peer_by_incarnation(const membership& members, incarnation_id incarnation);
/// Neighbours of a name in a sorted list of names: those at distances 1, 4, 16, ... in both directions around
/// the ring. The relation is symmetric, joins all names, and gives each one O(log n) neighbours.
[[nodiscard]] std::set<std::string, std::less<>> ring_neighbours(std::span<const std::string> sorted_names,
                                                                 std::string_view self);
/// Links whose peer has been silent for longer than the limit of its kind.
[[nodiscard]] std::vector<link_id> silent_links(const membership& members, time_point now);
/// Names of live routers including this one, sorted; the input of rendezvous hashing.
[[nodiscard]] std::vector<std::string> live_routers(const membership& members, std::string_view self);

//-----------------------------------------------------------------------------
// [SECTION] Dialling
//-----------------------------------------------------------------------------

/// Takes a new list of processes that should be linked. Entries that have gone are forgotten; new ones are
/// dialled after a random part of redial_base, so that links do not all open at the same moment.
void set_dial_targets(membership& members, std::span<const vm_entry> vms, time_point now,
                      random_source& random);
/// Returns the dials that are due and marks them as under way.
[[nodiscard]] std::vector<dial> due_dials(membership& members, time_point now);
/// Notes the result of a dial; a failure is retried after an exponential delay with full jitter.
void on_dial_result(membership& members, std::string_view name, bool ok, time_point now,
                    random_source& random);

} // namespace damaskhill
