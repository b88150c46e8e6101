// Peers known from heartbeats on links and from the platform's list of VMs, which may lag behind.
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
    duration heartbeat_period{500ms};   // on links that carry work, and between neighbours
    duration sidecar_idle_period{1s};   // from a router to a sidecar without work; below silence_timeout
    duration idle_period{10s};          // on idle links between routers that are not neighbours
    duration silence_timeout{2s};       // a link without a message for this long is closed
    duration idle_silence_timeout{25s}; // the same for idle links: two heartbeat periods plus a margin
    duration activity_timeout{2s};      // a link counts as carrying work for this long after its last message
    // Delay before the first retry of a failed dial; doubles up to redial_max_delay.
    duration redial_base_delay{200ms};
    duration redial_max_delay{5s};
};

/// An open link and what is known of the process at its other end.
struct peer {
    link_id link{};
    bool hello_received{};
    std::string dialed; // name that was dialled; empty for an accepted link
    hello identity;
    heartbeat last_heartbeat;
    time_point last_received{};
    time_point last_sent{};
    time_point last_heartbeat_sent{};
    time_point last_activity{};         // last message in either direction other than a heartbeat
    time_point frequent_requested_at{}; // last heartbeat that requested the short period
    time_point frequent_since{};        // start of the time in which the short period is expected
    bool idle{};                        // messages are expected only at the long period
    std::uint32_t digest_sent{};        // in the last heartbeat to the peer
    time_point config_requested_at{};   // last config_pull to the peer
    std::uint32_t digest_mismatches{}; // consecutive heartbeats with a digest that differs from the local one
};

/// A process to which a link should be open.
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
    std::set<std::string, std::less<>> neighbours;                // routers only: names of live neighbours
    time_point next_heartbeat{};
};

/// Peer of a link, or null.
[[nodiscard]] peer* find_peer(membership& members, link_id link);
[[nodiscard]] const peer* find_peer(const membership& members, link_id link);
/// Open link to the process with this name, or null.
[[nodiscard]] const peer* find_peer_by_name(const membership& members, std::string_view name);
/// Open link to the process with this incarnation, or null.
[[nodiscard]] const peer* find_peer_by_incarnation(const membership& members, incarnation_id incarnation);
/// Neighbours of a name on a ring of sorted names: those at distances 1, 4, 16, ... in both directions. The
/// relation is symmetric, the resulting graph is connected, and each name has O(log n) neighbours.
[[nodiscard]] std::set<std::string, std::less<>> ring_neighbours(std::span<const std::string> sorted_names,
                                                                 std::string_view self);
/// Links without a message for longer than the silence timeout that applies to them.
[[nodiscard]] std::vector<link_id> silent_links(const membership& members, time_point now);
/// Sorted names of live routers including this one; the input of rendezvous hashing.
[[nodiscard]] std::vector<std::string> live_routers(const membership& members, std::string_view self);

//-----------------------------------------------------------------------------
// [SECTION] Dialling
//-----------------------------------------------------------------------------

/// Sets the processes to which links should be open. Entries no longer listed are dropped; new ones are
/// dialled after a random delay of up to redial_base_delay so that links do not all open at the same time.
void set_dial_targets(membership& members, std::span<const vm_entry> vms, time_point now,
                      random_source& random);
/// Returns the dials that are due and marks them as in progress.
[[nodiscard]] std::vector<dial> due_dials(membership& members, time_point now);
/// Records the result of a dial. Failed dials are retried with exponential backoff and full jitter.
void on_dial_result(membership& members, std::string_view name, bool ok, time_point now,
                    random_source& random);

} // namespace damaskhill
