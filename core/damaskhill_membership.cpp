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
    const auto found = std::ranges::find_if(
        members.peers, [&](const auto& entry) { return entry.second.greeted && matches(entry.second); });
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

const peer* find_peer_named(const membership& members, std::string_view name) {
    return find_peer_if(members, [&](const peer& p) { return p.identity.name == name; });
}

const peer* find_peer_incarnation(const membership& members, incarnation_id incarnation) {
    return find_peer_if(members, [&](const peer& p) { return p.identity.incarnation == incarnation; });
}

std::vector<link_id> silent_links(const membership& members, time_point now) {
    std::vector<link_id> silent;
    for (const auto& [link, p] : members.peers) {
        if (now - p.heard > members.settings.silence_limit) silent.push_back(link);
    }
    return silent;
}

std::vector<std::string> live_routers(const membership& members, std::string_view self) {
    std::vector<std::string> names{std::string{self}};
    for (const auto& [link, p] : members.peers) {
        if (p.greeted && p.identity.role == process_role::router) names.push_back(p.identity.name);
    }
    std::ranges::sort(names);
    names.erase(std::unique(names.begin(), names.end()), names.end());
    return names;
}

//-----------------------------------------------------------------------------
// [SECTION] Dialling
//-----------------------------------------------------------------------------

void set_dial_targets(membership& members, std::span<const vm_entry> vms) {
    std::erase_if(members.targets, [&](const auto& known) {
        return std::ranges::none_of(vms, [&](const vm_entry& vm) { return vm.name == known.first; });
    });
    for (const vm_entry& vm : vms) {
        auto& target = members.targets[vm.name];
        if (target.vm.address != vm.address) target.failures = 0;
        target.vm = vm;
    }
}

std::vector<dial> due_dials(membership& members, time_point now) {
    std::vector<dial> due;
    for (auto& [name, target] : members.targets) {
        if (target.linked || target.dialing || target.next_try > now) continue;
        target.dialing = true;
        due.push_back({name, target.vm.address});
    }
    return due;
}

void on_dialed(membership& members, std::string_view name, bool ok, time_point now, random_source& random) {
    const auto found = members.targets.find(name);
    if (found == members.targets.end()) return;
    auto& target = found->second;
    target.dialing = false;
    target.linked = ok;
    if (ok) {
        target.failures = 0;
        return;
    }
    const auto& settings = members.settings;
    target.next_try =
        now + full_jitter_delay(settings.redial_base, settings.redial_limit, target.failures, random);
    ++target.failures;
}

} // namespace damaskhill
