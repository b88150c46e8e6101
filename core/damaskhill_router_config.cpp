// Index of this file:
// [SECTION] Declarations
// [SECTION] Propagation
// [SECTION] Bootstrap after a restart
// [SECTION] Store watch

#include "damaskhill_router_internal.hpp"

#include <algorithm>

namespace damaskhill::detail {

//-----------------------------------------------------------------------------
// [SECTION] Declarations
//-----------------------------------------------------------------------------

namespace {

// Accounts and their key hashes stay on routers: sidecars receive the shares in reservation rows.
team_declarations visible_to_role(const team_declarations& declared, process_role role) {
    team_declarations copy = declared;
    if (role == process_role::sidecar) copy.accounts.clear();
    return copy;
}

// Returns whether there was anything to send.
bool send_teams(const router_state& state, link_id link, std::span<const std::string> names, effects& out) {
    const peer* p = find_peer(state.members, link);
    if (p == nullptr || names.empty()) return false;
    config_push push;
    for (const std::string& name : names) {
        const auto team = state.config.teams.find(name);
        if (team != state.config.teams.end())
            push.teams.push_back(visible_to_role(team->second, p->identity.role));
    }
    out.emplace_back(send_message{link, std::move(push)});
    return true;
}

// Applies newer declarations and returns the names of the changed teams.
std::vector<std::string> apply_newer(router_state& state, std::span<const team_declarations> teams,
                                     effects& out) {
    std::vector<std::string> changed;
    const std::uint32_t name_conflicts = state.config.name_conflicts;
    for (const team_declarations& declared : teams) {
        failure why;
        if (!validate_declarations(declared, why)) {
            out.emplace_back(count{"declarations_rejected_total", std::string{to_string(why.kind)}, 1});
            continue;
        }
        if (!apply_declarations(state.config, declared)) continue;
        changed.push_back(declared.team);
        const auto behind = state.newer_revisions.find(declared.team);
        if (behind != state.newer_revisions.end() && behind->second.revision <= declared.revision)
            state.newer_revisions.erase(behind);
        out.emplace_back(gauge{"config_revision", declared.team, static_cast<double>(declared.revision)});
        out.emplace_back(log_change{"configuration of team " + declared.team + " is in force at revision " +
                                    std::to_string(declared.revision)});
    }
    if (state.config.name_conflicts > name_conflicts) {
        out.emplace_back(count{"declarations_rejected_total",
                               std::string{to_string(failure_kind::foreign_subtree)},
                               state.config.name_conflicts - name_conflicts});
        out.emplace_back(log_change{"declarations ignored because another team declares the same name: " +
                                    std::to_string(state.config.name_conflicts)});
    }
    return changed;
}

} // namespace

//-----------------------------------------------------------------------------
// [SECTION] Propagation
//-----------------------------------------------------------------------------

namespace {

constexpr duration min_pull_interval = 1s; // between two pulls on one link

// Sends the revisions of changed teams to the neighbours, which pull them from the first sender and notify
// their own neighbours. Each router thus receives a change once: a team of 110 accounts takes about 10 KB,
// and pushing it to a dozen neighbours would cost 8 KB/s at the rate of changes expected in two years.
void propagate(router_state& state, std::span<const std::string> changed, link_id except, effects& out) {
    if (changed.empty()) return;
    std::vector<team_revision> revisions;
    for (const std::string& name : changed)
        revisions.push_back({name, state.config.teams.at(name).revision});
    for (auto& [link, p] : state.members.peers) {
        if (!p.hello_received || link == except) continue;
        if (p.identity.role == process_role::router) {
            if (state.members.neighbours.contains(p.identity.name)) send_heartbeat(state, p, out, revisions);
        } else if (p.identity.role == process_role::sidecar && digest_for(state, p) != p.digest_sent) {
            // A sidecar is notified by all of its routers and pulls from one.
            send_heartbeat(state, p, out);
        }
    }
    // A changed data centre or version may make other sidecars eligible.
    for (const auto& [key, queue] : state.queues)
        state.dirty_queues.insert(key);
}

void pull_config(router_state& state, peer& p, effects& out) {
    if (state.now - p.config_requested_at < min_pull_interval) return;
    p.config_requested_at = state.now;
    out.emplace_back(send_message{p.link, config_pull{revisions_of(state.config)}});
}

// Teams of which the peer has an older revision. For a sidecar: teams relevant to its pool and data centre,
// and those that it already has, so that it learns when a team no longer declares its pool.
std::vector<std::string> teams_newer_than(const router_state& state, const peer& p,
                                          const config_pull& message) {
    const auto& have = message.have;
    const bool to_router = p.identity.role == process_role::router;
    std::vector<team_revision> wanted =
        message.partial ? std::vector<team_revision>{}
        : to_router     ? revisions_of(state.config)
                        : relevant_revisions(state.config, p.identity.pool, p.identity.data_centre);
    std::map<std::string_view, std::uint64_t> known;
    for (const team_revision& r : have) {
        known[r.team] = r.revision;
        const auto team = state.config.teams.find(r.team);
        if ((!to_router || message.partial) && team != state.config.teams.end())
            wanted.push_back({r.team, team->second.revision});
    }
    std::set<std::string> newer;
    for (const team_revision& r : wanted) {
        const auto peer_revision = known.find(r.team);
        if (peer_revision == known.end() || peer_revision->second < r.revision) newer.insert(r.team);
    }
    return {newer.begin(), newer.end()};
}

} // namespace

std::uint32_t digest_for(const router_state& state, const peer& p) {
    if (p.identity.role != process_role::sidecar) return state.config.digest;
    return digest_of(relevant_revisions(state.config, p.identity.pool, p.identity.data_centre));
}

void on_config_push(router_state& state, link_id link, const config_push& push, effects& out) {
    const peer* p = find_peer(state.members, link);
    // Declarations on a sidecar lack the accounts and must not replace complete ones.
    if (p == nullptr || p->identity.role != process_role::router) return;
    propagate(state, apply_newer(state, push.teams, out), link, out);
}

void on_config_pull(router_state& state, link_id link, const config_pull& message, effects& out) {
    const peer* p = find_peer(state.members, link);
    if (p == nullptr) return;
    // Replies even if nothing is newer, since a starting router waits for the reply.
    if (!send_teams(state, link, teams_newer_than(state, *p, message), out)) {
        out.emplace_back(send_message{link, config_push{}});
    }
    record_newer_revisions(state, message.have, out);
}

namespace {

// Pulls teams of which the peer has a newer revision, unless another peer was just asked for them.
void pull_newer_teams(router_state& state, const peer& p, std::span<const team_revision> theirs,
                      effects& out) {
    constexpr duration reply_timeout = 300ms; // after which another peer that reports the revision is asked
    config_pull message;
    message.partial = true;
    for (const team_revision& their : theirs) {
        const auto own_team = state.config.teams.find(their.team);
        const std::uint64_t own_revision =
            own_team == state.config.teams.end() ? 0 : own_team->second.revision;
        if (own_revision >= their.revision) continue;
        auto& newer = state.newer_revisions[their.team];
        if (newer.revision == 0) newer.behind_since = state.now;
        const bool known = newer.revision >= their.revision;
        newer.revision = std::max(newer.revision, their.revision);
        if (known && newer.requested_at != time_point{} && state.now - newer.requested_at <= reply_timeout)
            continue;
        newer.requested_at = state.now;
        message.have.push_back({their.team, own_revision});
    }
    if (!message.have.empty()) out.emplace_back(send_message{p.link, std::move(message)});
}

} // namespace

void record_newer_revisions(router_state& state, std::span<const team_revision> theirs, effects& out) {
    bool behind = false;
    for (const team_revision& their : theirs) {
        const auto own_team = state.config.teams.find(their.team);
        if (own_team != state.config.teams.end() && own_team->second.revision >= their.revision) continue;
        behind = true;
        auto& newer = state.newer_revisions[their.team];
        if (newer.revision == 0) newer.behind_since = state.now;
        newer.revision = std::max(newer.revision, their.revision);
    }
    if (!behind) return;
    for (auto& [link, p] : state.members.peers) {
        const bool neighbour = p.hello_received && p.identity.role == process_role::router &&
                               state.members.neighbours.contains(p.identity.name);
        if (neighbour) pull_config(state, p, out);
    }
}

void compare_digest(router_state& state, peer& p, const heartbeat& beat, effects& out) {
    if (p.identity.role != process_role::router) return;
    pull_newer_teams(state, p, beat.revisions, out);
    const bool differs = beat.revisions.empty() && beat.digest != state.config.digest;
    p.digest_mismatches = differs ? p.digest_mismatches + 1 : 0;
    // While a change propagates, the digests differ for one heartbeat, so only a second difference in a row
    // causes a pull. A first one does with a new neighbour, to which earlier changes were not sent.
    const bool new_neighbour = state.now - p.frequent_since <= state.settings.membership.heartbeat_period;
    if (differs && (p.digest_mismatches >= 2 || new_neighbour)) pull_config(state, p, out);
}

//-----------------------------------------------------------------------------
// [SECTION] Bootstrap after a restart
//-----------------------------------------------------------------------------

namespace {

constexpr std::size_t bootstrap_peers = 2; // whose replies a restarted router waits for

// Approximate encoded size of a value.
template <class T>
std::uint64_t payload_size(const T& value) {
    if constexpr (std::is_same_v<T, std::string>) {
        return value.size() + 2;
    } else if constexpr (is_vector<T>) {
        std::uint64_t size = 2;
        for (const auto& item : value)
            size += payload_size(item);
        return size;
    } else if constexpr (has_fields<T>) {
        std::uint64_t size = 1;
        for_each_field(value, [&](int, const char*, const auto& member) { size += payload_size(member); });
        return size;
    } else {
        return std::min<std::uint64_t>(sizeof(T), 4) + 1;
    }
}

bool is_bootstrap_source(const router_state& state, link_id link) {
    const peer* p = find_peer(state.members, link);
    return !state.bootstrap.done && p != nullptr && p->identity.role == process_role::router;
}

} // namespace

void record_bootstrap_reply(router_state& state, link_id link, const config_push& push) {
    if (!is_bootstrap_source(state, link)) return;
    state.bootstrap.config.insert(link);
    state.bootstrap.bytes += payload_size(push);
}

void record_bootstrap_reply(router_state& state, link_id link, const facts& received) {
    if (!is_bootstrap_source(state, link)) return;
    state.bootstrap.facts.insert(link);
    state.bootstrap.bytes += payload_size(received);
}

bool is_bootstrapped(router_state& state, effects& out) {
    if (state.bootstrap.done) return true;
    const duration waited = state.now - state.started;
    const auto answered = static_cast<std::size_t>(std::ranges::count_if(
        state.bootstrap.config, [&](link_id link) { return state.bootstrap.facts.contains(link); }));
    const auto listed_routers =
        static_cast<std::size_t>(std::ranges::count_if(state.vms, [&](const vm_entry& vm) {
            return vm.role == process_role::router && vm.name != state.settings.name && !vm.leaving;
        }));
    const std::size_t linked_routers = live_routers(state.members, state.settings.name).size() - 1;
    // Listed routers may have stopped: after the timeout only the linked ones are expected.
    const std::size_t expected = waited > state.settings.bootstrap_timeout ? linked_routers : listed_routers;
    const bool listed = state.vm_list_known || waited > state.settings.bootstrap_timeout;
    const bool enough = listed && answered >= std::min(bootstrap_peers, expected);
    if (!enough && waited <= state.settings.bootstrap_hard_timeout) return false;
    state.bootstrap.done = true;
    out.emplace_back(gauge{"refill_seconds", {}, to_seconds(waited)});
    out.emplace_back(count{"refill_bytes_total", {}, state.bootstrap.bytes});
    out.emplace_back(log_change{"bootstrap complete: state received from " + std::to_string(answered) +
                                " routers, " + std::to_string(state.bootstrap.bytes) + " bytes"});
    return true;
}

//-----------------------------------------------------------------------------
// [SECTION] Store watch
//-----------------------------------------------------------------------------

namespace {

constexpr std::size_t watchers_per_data_centre = 2;
constexpr duration watch_retry_delay = 500ms;
// Age of the confirmation beyond which any router may watch.
constexpr duration unconfirmed_watch_age = 1800ms;
// Range over which routers spread the start and the retries of such watches.
constexpr duration unconfirmed_watch_spread = 1000ms;

// A few routers in each data centre watch the store, and the others learn of changes from peers. If the
// configuration stays unconfirmed the others watch too, so that a single router with access is enough.
bool is_elected_watcher(const router_state& state) {
    std::vector<std::string> names{state.settings.name};
    for (const auto& [link, p] : state.members.peers) {
        const bool nearby = p.hello_received && p.identity.role == process_role::router &&
                            p.identity.data_centre == state.settings.data_centre;
        if (nearby) names.push_back(p.identity.name);
    }
    const auto elected = rendezvous(names, "watch/" + state.settings.data_centre, watchers_per_data_centre);
    return std::ranges::find(elected, state.settings.name) != elected.end();
}

bool is_watcher(const router_state& state) {
    // A fixed offset for each name keeps the whole fleet from calling a failing store at the same time.
    const auto offset = static_cast<std::int64_t>(
        stable_hash(state.settings.name) % static_cast<std::uint64_t>(unconfirmed_watch_spread.count()));
    return state.now - state.config_confirmed_at > unconfirmed_watch_age + duration{offset} ||
           is_elected_watcher(state);
}

// Whether more than half of the sidecars that this router dials and of its neighbours in the list of VMs have
// sent a message within the silence limit.
bool reaches_most_peers(const router_state& state) {
    std::set<std::string_view> responsive;
    for (const auto& [link, p] : state.members.peers) {
        if (p.hello_received && state.now - p.last_received <= state.settings.membership.silence_timeout)
            responsive.insert(p.identity.name);
    }
    std::vector<std::string> routers{state.settings.name};
    for (const vm_entry& vm : state.vms) {
        if (vm.role == process_role::router && vm.name != state.settings.name) routers.push_back(vm.name);
    }
    std::ranges::sort(routers);
    std::set<std::string, std::less<>> expected = ring_neighbours(routers, state.settings.name);
    for (const auto& [name, target] : state.members.dial_targets) {
        if (target.vm.role == process_role::sidecar) expected.insert(name);
    }
    const auto found =
        std::ranges::count_if(expected, [&](const std::string& name) { return responsive.contains(name); });
    return static_cast<std::size_t>(found) * 2 > expected.size();
}

// Whether new work is to be refused: the configuration may have changed unnoticed, or a known change cannot
// be obtained.
bool should_isolate(const router_state& state) {
    const duration limit = state.settings.isolation_limit;
    for (const auto& [team, newer] : state.newer_revisions) {
        if (state.now - newer.behind_since > limit) return true;
    }
    return state.now - state.config_confirmed_at > limit && !reaches_most_peers(state);
}

} // namespace

void on_config_watch_result(router_state& state, const config_watch_result& watched, effects& out) {
    state.watching = false;
    if (watched.result != failure_kind::none) {
        const auto jitter = duration{static_cast<std::int64_t>(
            static_cast<double>(unconfirmed_watch_spread.count()) * state.random.next_unit())};
        state.next_watch =
            state.now + (is_elected_watcher(state) ? watch_retry_delay : watch_retry_delay + jitter);
        out.emplace_back(count{"store_failures_total", std::string{to_string(watched.result)}, 1});
        return;
    }
    state.store_reached_at = state.now;
    state.config_confirmed_at = state.now;
    state.store_revision = std::max(state.store_revision, watched.store_revision);
    if (watched.rejected > 0)
        out.emplace_back(count{"declarations_rejected_total", "undecodable", watched.rejected});
    propagate(state, apply_newer(state, watched.teams, out), 0, out);
}

void on_config_tick(router_state& state, effects& out) {
    if (state.watching && state.now - state.watch_started > state.settings.watch_timeout) {
        state.watching = false;
        out.emplace_back(count{"store_failures_total", "watch_lost", 1});
    }
    if (!state.watching && state.now >= state.next_watch && is_watcher(state)) {
        state.watching = true;
        state.watch_started = state.now;
        out.emplace_back(watch_config{state.store_revision});
    }
    constexpr duration check_period = 100ms;
    if (state.now < state.next_isolation_check) return;
    state.next_isolation_check = state.now + check_period;
    const bool isolate = should_isolate(state);
    if (isolate != state.isolated) {
        state.isolated = isolate;
        out.emplace_back(gauge{"isolated", {}, isolate ? 1.0 : 0.0});
        out.emplace_back(log_change{
            isolate ? "isolated: the configuration cannot be confirmed or fetched; new work is refused"
                    : "no longer isolated: new work is accepted"});
        // Notifies the sidecars at once whether they may pull from this router.
        for (auto& [link, p] : state.members.peers) {
            if (p.hello_received) send_heartbeat(state, p, out);
        }
        for (const auto& [key, queue] : state.queues)
            state.dirty_queues.insert(key);
    }
}

} // namespace damaskhill::detail
