// Index of this file:
// [SECTION] Declarations
// [SECTION] Spreading
// [SECTION] Watching the store

#include "damaskhill_router_internal.hpp"

#include <algorithm>

namespace damaskhill::detail {

//-----------------------------------------------------------------------------
// [SECTION] Declarations
//-----------------------------------------------------------------------------

namespace {

// Sidecars get shares in reservation rows, so that accounts and their key hashes stay on routers.
team_declarations for_role(const team_declarations& declared, process_role role) {
    team_declarations copy = declared;
    if (role == process_role::sidecar) copy.accounts.clear();
    return copy;
}

void send_teams(const router_state& state, link_id link, std::span<const std::string> names, effects& out) {
    const peer* p = find_peer(state.members, link);
    if (p == nullptr || names.empty()) return;
    config_push push;
    for (const std::string& name : names) {
        const auto team = state.config.teams.find(name);
        if (team != state.config.teams.end()) push.teams.push_back(for_role(team->second, p->identity.role));
    }
    out.emplace_back(send_message{link, std::move(push)});
}

// Applies what is newer and returns the names of the changed teams.
std::vector<std::string> apply_newer(router_state& state, std::span<const team_declarations> teams,
                                     effects& out) {
    std::vector<std::string> changed;
    for (const team_declarations& declared : teams) {
        failure why;
        if (!check_declarations(declared, why)) {
            out.emplace_back(count{"declarations_rejected_total", std::string{to_string(why.kind)}, 1});
            continue;
        }
        if (!apply_declarations(state.config, declared)) continue;
        changed.push_back(declared.team);
        out.emplace_back(gauge{"config_revision", declared.team, static_cast<double>(declared.revision)});
        out.emplace_back(log_change{"configuration of team " + declared.team + " is in force at revision " +
                                    std::to_string(declared.revision)});
    }
    return changed;
}

} // namespace

//-----------------------------------------------------------------------------
// [SECTION] Spreading
//-----------------------------------------------------------------------------

namespace {

void spread(router_state& state, std::span<const std::string> changed, link_id except, effects& out) {
    if (changed.empty()) return;
    for (const auto& [link, p] : state.members.peers) {
        if (p.greeted && link != except) send_teams(state, link, changed, out);
    }
    // Queues of a data centre or version that changed must be announced again.
    for (const auto& [key, queue] : state.queues)
        state.dirty.insert(key);
}

} // namespace

void on_config_push(router_state& state, link_id link, const config_push& push, effects& out) {
    spread(state, apply_newer(state, push.teams, out), link, out);
}

void on_config_pull(router_state& state, link_id link, const config_pull& asked, effects& out) {
    std::vector<std::string> newer;
    for (const auto& [name, team] : state.config.teams) {
        const auto have = std::ranges::find(asked.have, name, &team_revision::team);
        if (have == asked.have.end() || have->revision < team.revision) newer.push_back(name);
    }
    send_teams(state, link, newer, out);
}

void compare_revisions(router_state& state, link_id link, std::span<const team_revision> theirs,
                       effects& out) {
    bool they_are_newer = false;
    for (const team_revision& their : theirs) {
        const auto mine = state.config.teams.find(their.team);
        they_are_newer =
            they_are_newer || mine == state.config.teams.end() || mine->second.revision < their.revision;
    }
    if (they_are_newer) out.emplace_back(send_message{link, config_pull{revisions_of(state.config)}});
    on_config_pull(state, link, config_pull{{theirs.begin(), theirs.end()}}, out);
}

//-----------------------------------------------------------------------------
// [SECTION] Watching the store
//-----------------------------------------------------------------------------

namespace {

constexpr std::size_t watchers_per_data_centre = 2;
constexpr duration watch_retry = 500ms;

// A few routers in each data centre watch the store; the others hear from peers.
bool is_watcher(const router_state& state) {
    std::vector<std::string> names{state.settings.name};
    for (const auto& [link, p] : state.members.peers) {
        const bool near = p.greeted && p.identity.role == process_role::router &&
                          p.identity.data_centre == state.settings.data_centre;
        if (near) names.push_back(p.identity.name);
    }
    const auto chosen = rendezvous(names, "watch/" + state.settings.data_centre, watchers_per_data_centre);
    return std::ranges::find(chosen, state.settings.name) != chosen.end();
}

// Cut off from the store and from most peers, a router cannot know what operators have changed.
bool is_cut_off(const router_state& state) {
    if (state.now - state.confirmed_at <= state.settings.isolation_limit) return false;
    return state.now - in_touch_at(state) > state.settings.isolation_limit;
}

} // namespace

time_point in_touch_at(const router_state& state) {
    // A link stays open for some time after its peer has become unreachable, so that what counts is when the
    // peers were last heard.
    std::vector<time_point> heard;
    for (const auto& [link, p] : state.members.peers) {
        if (p.greeted && state.members.targets.contains(p.identity.name)) heard.push_back(p.heard);
    }
    const std::size_t most = state.members.targets.size() / 2;
    if (heard.size() <= most) return state.confirmed_at;
    std::ranges::nth_element(heard, heard.begin() + static_cast<std::ptrdiff_t>(most), std::greater{});
    return std::max(state.confirmed_at, heard[most]);
}

void on_config_watched(router_state& state, const config_watched& watched, effects& out) {
    state.watching = false;
    if (watched.result != failure_kind::none) {
        state.next_watch = state.now + watch_retry;
        out.emplace_back(count{"store_failures_total", std::string{to_string(watched.result)}, 1});
        return;
    }
    state.store_heard = state.now;
    state.confirmed_at = state.now;
    state.store_revision = std::max(state.store_revision, watched.store_revision);
    if (watched.rejected > 0)
        out.emplace_back(count{"declarations_rejected_total", "undecodable", watched.rejected});
    spread(state, apply_newer(state, watched.teams, out), 0, out);
}

void on_config_tick(router_state& state, effects& out) {
    if (!state.watching && state.now >= state.next_watch && is_watcher(state)) {
        state.watching = true;
        out.emplace_back(watch_config{state.store_revision});
    }
    const bool cut_off = is_cut_off(state);
    if (cut_off != state.isolated) {
        state.isolated = cut_off;
        out.emplace_back(gauge{"isolated", {}, cut_off ? 1.0 : 0.0});
        out.emplace_back(log_change{cut_off
                                        ? "cut off from the store and from most peers: new work is refused"
                                        : "no longer cut off: new work is accepted"});
    }
}

} // namespace damaskhill::detail
