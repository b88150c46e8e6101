// Index of this file:
// [SECTION] Peers
// [SECTION] Dialling

#include "damaskhill_membership.hpp"

#include "damaskhill_retry.hpp"

#include <algorithm>

namespace damaskhill {

//-----------------------------------------------------------------------------
// [SECTION] Peers
//-----------------------------------------------------------------------------

namespace {

template <class Predicate>
const peer* find_peer_if(const membership& members, Predicate&& matches) {
    const auto found = std::ranges::find_if(members.peers, [&](const auto& entry) {
        return entry.second.hello_received && matches(entry.second);
    });
    return found == members.peers.end() ? nullptr : &found->second;
}

} // namespace

peer* find_peer(membership& members, link_id link) {
    const auto found = members.peers.find(link);
    return found == members.peers.end() ? nullptr : &found->second;
}

const peer* find_peer(const membership& members, link_id link) {
    const auto found = members.peers.find(link);
    return found == members.peers.end() ? nullptr : &found->second;
}

const peer* find_peer_by_name(const membership& members, std::string_view name) {
    return find_peer_if(members, [&](const peer& p) { return p.identity.name == name; });
}

const peer* find_peer_by_incarnation(const membership& members, incarnation_id incarnation) {
    return find_peer_if(members, [&](const peer& p) { return p.identity.incarnation == incarnation; });
}

std::vector<link_id> silent_links(const membership& members, time_point now) {
    std::vector<link_id> silent;
    const auto& s = members.settings;
    for (const auto& [link, p] : members.peers) {
        // When a link has just switched to the short period, its timeout starts at the switch, not at the
        // last message received while idle.
        const time_point since = std::max(p.last_received, p.frequent_since);
        const bool is_silent =
            p.idle ? now - p.last_received > s.idle_silence_timeout : now - since > s.silence_timeout;
        if (is_silent) silent.push_back(link);
    }
    return silent;
}

std::set<std::string, std::less<>> ring_neighbours(std::span<const std::string> sorted_names,
                                                   std::string_view self) {
    constexpr std::size_t growth = 4; // 8 neighbours and at most 8 hops for 370 names
    std::set<std::string, std::less<>> chosen;
    const std::size_t n = sorted_names.size();
    const auto found = std::ranges::find(sorted_names, self);
    if (found == sorted_names.end()) return chosen;
    const auto at = static_cast<std::size_t>(found - sorted_names.begin());
    for (std::size_t distance = 1; distance <= n / 2; distance *= growth) {
        chosen.insert(sorted_names[(at + distance) % n]);
        chosen.insert(sorted_names[(at + n - distance) % n]);
    }
    chosen.erase(std::string{self});
    return chosen;
}

std::vector<std::string> live_routers(const membership& members, std::string_view self) {
    std::vector<std::string> names{std::string{self}};
    for (const auto& [link, p] : members.peers) {
        if (p.hello_received && p.identity.role == process_role::router) names.push_back(p.identity.name);
    }
    std::ranges::sort(names);
    names.erase(std::unique(names.begin(), names.end()), names.end());
    return names;
}

//-----------------------------------------------------------------------------
// [SECTION] Dialling
//-----------------------------------------------------------------------------

void set_dial_targets(membership& members, std::span<const vm_entry> vms, time_point now,
                      random_source& random) {
    std::set<std::string_view> names;
    for (const vm_entry& vm : vms)
        names.insert(vm.name);
    std::erase_if(members.dial_targets, [&](const auto& known) { return !names.contains(known.first); });
    for (const vm_entry& vm : vms) {
        const auto [entry, added] = members.dial_targets.try_emplace(vm.name);
        auto& target = entry->second;
        if (added) {
            const auto& s = members.settings;
            target.next_attempt = now + full_jitter_delay(s.redial_base_delay, s.redial_max_delay, 0, random);
        }
        if (target.vm.address != vm.address) target.failures = 0;
        target.vm = vm;
    }
}

std::vector<dial> due_dials(membership& members, time_point now) {
    std::vector<dial> due;
    for (auto& [name, target] : members.dial_targets) {
        if (target.linked || target.dialing || target.next_attempt > now) continue;
        target.dialing = true;
        due.push_back({name, target.vm.address});
    }
    return due;
}

void on_dial_result(membership& members, std::string_view name, bool ok, time_point now,
                    random_source& random) {
    const auto found = members.dial_targets.find(name);
    if (found == members.dial_targets.end()) return;
    auto& target = found->second;
    target.dialing = false;
    target.linked = ok;
    if (ok) {
        target.failures = 0;
        return;
    }
    const auto& settings = members.settings;
    target.next_attempt = now + full_jitter_delay(settings.redial_base_delay, settings.redial_max_delay,
                                                  target.failures, random);
    ++target.failures;
}

} // namespace damaskhill
