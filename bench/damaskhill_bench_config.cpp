// Measures how long configuration changes take to reach every process under store faults, restarts, pauses
// and partitions, and checks that no process goes back to an older revision.
//
// Index of this file:
// [SECTION] Fleet and changes
// [SECTION] Faults
// [SECTION] Measurement
// [SECTION] Bench

#include "damaskhill_bench.hpp"
#include "damaskhill_bench_fleet.hpp"

#include <algorithm>
#include <array>

namespace damaskhill::bench {

namespace {

//-----------------------------------------------------------------------------
// [SECTION] Fleet and changes
//-----------------------------------------------------------------------------

constexpr std::size_t team_count = 8;
constexpr double changes_per_day = 6700;
constexpr std::size_t accounts_per_team = 4;

std::string team_name(std::size_t i) { return "team-" + std::to_string(i); }

// Team 0 declares the model pool and the data centres, team 1 the service pool; all teams declare accounts.
team_declarations make_team(std::size_t i, std::uint64_t variant) {
    team_declarations team;
    team.team = team_name(i);
    for (std::size_t a = 0; a < accounts_per_team; ++a) {
        std::string key(64, 'a');
        key.replace(0, 4, std::to_string(1000 + i * accounts_per_team + a));
        team.accounts.push_back(
            {team.team + "/" + std::to_string(a), 1.0 + static_cast<double>(variant % 5), {key}, 256});
    }
    if (i < 2) {
        pool_declaration pool;
        pool.name = i == 0 ? "lm" : "app";
        pool.kind = i == 0 ? target_kind::model_engine : target_kind::service;
        pool.warm_limit = 16;
        team.pools.push_back(pool);
    }
    if (i == 0) {
        for (const char* data_centre : {"dc-a", "dc-b", "dc-c"})
            team.data_centres.push_back({data_centre, true});
    }
    return team;
}

// A change that the store has accepted.
struct accepted_change {
    time_point at;
    std::uint64_t revision{};
};

// The fleet, the changes written so far and what each node has applied of them.
struct spread_run {
    fleet f;
    random_source random;
    std::vector<std::vector<accepted_change>> accepted_changes; // by team
    std::vector<std::size_t> pending_teams;                  // teams whose write the store has not yet taken
    std::set<std::pair<std::size_t, std::size_t>> cut_links; // from which reachability is computed
    std::vector<time_point> reachable_since;                 // by node; zero: unreachable
    std::vector<std::uint64_t> last_generations;             // by node, as of the last update_reachable()
    // By node and team: the revision that the current incarnation of the node has applied.
    std::vector<std::vector<std::uint64_t>> applied_revisions;
    std::uint64_t change_count{};
    std::uint64_t revert_count{};
    duration longest_delay{};

    explicit spread_run(fleet_settings s, std::uint64_t seed)
        : f{std::move(s)},
          random{seed},
          accepted_changes(team_count),
          reachable_since(f.nodes().size()),
          last_generations(f.nodes().size()),
          applied_revisions(f.nodes().size(), std::vector<std::uint64_t>(team_count)) {}
};

// Writes a new declaration of the team to the store. If the store is down, the next step tries again.
void change_team(spread_run& s, std::size_t team) {
    if (s.f.store().faults.down) {
        s.pending_teams.push_back(team);
        return;
    }
    s.f.declare(make_team(team, ++s.change_count));
    s.accepted_changes[team].push_back({s.f.now(), s.f.store().teams[team_name(team)].revision});
}

//-----------------------------------------------------------------------------
// [SECTION] Faults
//-----------------------------------------------------------------------------

void partition_data_centre(spread_run& s, std::string_view data_centre) {
    const auto& nodes = s.f.nodes();
    for (std::size_t a = 0; a < nodes.size(); ++a) {
        for (std::size_t b = 0; b < nodes.size(); ++b) {
            if (nodes[a].data_centre != data_centre || nodes[b].data_centre == data_centre) continue;
            s.f.block_traffic(a, b);
            s.cut_links.insert(std::minmax(a, b));
        }
    }
}

void end_faults(spread_run& s) {
    s.f.unblock_all_traffic();
    s.cut_links.clear();
    s.f.store().faults = {};
    s.f.store().blocked_routers.clear();
    for (std::size_t i = 0; i < s.f.nodes().size(); ++i) {
        s.f.resume(i);
        if (!s.f.nodes()[i].up) s.f.start(i);
    }
}

void start_fault(spread_run& s) {
    static constexpr std::array<const char*, 3> data_centres{"dc-a", "dc-b", "dc-c"};
    const std::size_t some_node = s.random.next() % s.f.nodes().size();
    store_faults& store = s.f.store().faults;
    switch (s.random.next() % 8) {
    case 0:
        store.down = true;
        break;
    case 1:
        store.delay = 800ms;
        break;
    case 2:
        store.lost_requests = 0.2;
        store.lost_replies = 0.2;
        break;
    case 3:
        s.f.restart(some_node, false);
        break;
    case 4:
        s.f.pause(some_node);
        break;
    case 5:
        s.f.kill(some_node);
        break;
    case 6:
        partition_data_centre(s, data_centres.at(s.random.next() % data_centres.size()));
        break;
    default:
        // Most routers lose the store, including some that watch it for changes.
        for (std::size_t i = 0; i < s.f.router_count(); ++i) {
            if (s.random.next() % 4 != 0) s.f.store().blocked_routers.insert(s.f.router(i).name);
        }
    }
}

//-----------------------------------------------------------------------------
// [SECTION] Measurement
//-----------------------------------------------------------------------------

bool is_running(const node& n) { return n.up && !n.paused; }

// Computes which nodes can learn of changes: routers that reach the store directly or through other routers,
// and sidecars that reach one of these routers.
std::vector<bool> reachable_nodes(spread_run& s) {
    const auto& nodes = s.f.nodes();
    const std::size_t routers = s.f.router_count();
    std::vector<bool> reached(nodes.size());
    for (std::size_t i = 0; i < routers; ++i)
        reached[i] = is_running(nodes[i]) && !s.f.store().faults.down &&
                     !s.f.store().blocked_routers.contains(nodes[i].name);
    const auto reaches = [&](std::size_t a, std::size_t b) {
        return reached[b] && is_running(nodes[a]) && !s.cut_links.contains(std::minmax(a, b));
    };
    for (std::size_t round = 0; round < routers; ++round) {
        for (std::size_t a = 0; a < routers; ++a) {
            for (std::size_t b = 0; b < routers; ++b)
                reached[a] = reached[a] || reaches(a, b);
        }
    }
    for (std::size_t a = routers; a < nodes.size(); ++a) {
        for (std::size_t b = 0; b < routers; ++b)
            reached[a] = reached[a] || reaches(a, b);
    }
    return reached;
}

// Updates the times since which nodes are reachable; a restart counts as a new start.
void update_reachable(spread_run& s) {
    const std::vector<bool> reached = reachable_nodes(s);
    for (std::size_t i = 0; i < reached.size(); ++i) {
        const node& n = s.f.nodes()[i];
        const bool restarted = s.last_generations[i] != n.generation;
        s.last_generations[i] = n.generation;
        if (!reached[i]) {
            s.reachable_since[i] = {};
        } else if (restarted || s.reachable_since[i] == time_point{}) {
            s.reachable_since[i] = s.f.now();
        }
    }
}

// Reports whether the node needs the declarations of the team.
bool needs_declarations(const node& n, std::size_t team) {
    return n.router != nullptr || team == 0 || (team == 1 && n.pool == "app");
}

// Updates the longest time that a reachable node has missed an accepted change.
void update_longest_delay(spread_run& s) {
    update_reachable(s);
    for (std::size_t i = 0; i < s.f.nodes().size(); ++i) {
        if (s.reachable_since[i] == time_point{}) continue;
        for (std::size_t team = 0; team < team_count; ++team) {
            if (!needs_declarations(s.f.nodes()[i], team)) continue;
            const auto missing =
                std::ranges::find_if(s.accepted_changes[team], [&](const accepted_change& change) {
                    return change.revision > s.applied_revisions[i][team];
                });
            if (missing == s.accepted_changes[team].end()) continue;
            s.longest_delay =
                std::max(s.longest_delay, s.f.now() - std::max(missing->at, s.reachable_since[i]));
        }
    }
    // Forgets old changes, which every reachable process has applied long ago.
    for (auto& changes : s.accepted_changes) {
        constexpr std::size_t max_kept_changes = 400;
        if (changes.size() > max_kept_changes)
            changes.erase(changes.begin(), changes.end() - max_kept_changes);
    }
}

// Records the revisions that a node applies and counts those that go back to an older one.
void observe_node(spread_run& s, std::size_t i, std::vector<std::uint64_t>& observed_generations) {
    const node& n = s.f.nodes()[i];
    const configuration& config = n.router ? n.router->config : n.sidecar->config;
    auto& applied = s.applied_revisions[i];
    if (observed_generations[i] != n.generation) {
        observed_generations[i] = n.generation;
        std::ranges::fill(applied, 0);
    }
    for (std::size_t team = 0; team < team_count; ++team) {
        const auto found = config.teams.find(team_name(team));
        const std::uint64_t revision = found == config.teams.end() ? 0 : found->second.revision;
        if (revision < applied[team]) ++s.revert_count;
        applied[team] = revision;
    }
}

//-----------------------------------------------------------------------------
// [SECTION] Bench
//-----------------------------------------------------------------------------

void run_step(spread_run& s, duration step) {
    std::vector<std::size_t> pending_teams;
    pending_teams.swap(s.pending_teams);
    for (const std::size_t team : pending_teams)
        change_team(s, team);
    // The daily rate, in bursts of up to 40 changes that often hit the same team repeatedly.
    const double rate = changes_per_day / 86'400.0 * to_seconds(step);
    constexpr std::uint64_t burst = 40;
    if (s.random.next_unit() < rate * 20 / burst) {
        const std::uint64_t count = 1 + s.random.next() % burst;
        for (std::uint64_t i = 0; i < count; ++i)
            change_team(s, s.random.next() % team_count);
    }
    s.f.run_for(step);
    update_longest_delay(s);
}

std::vector<row> run_spread(std::uint64_t seed) {
    fleet_settings settings;
    settings.seed = seed;
    settings.routers = 9;
    settings.pools.push_back({"lm", 12, {}});
    target_settings service;
    service.kind = target_kind::service;
    settings.pools.push_back({"app", 3, service});
    spread_run s{settings, seed};
    std::vector<std::uint64_t> observed_generations(s.f.nodes().size());
    s.f.observer = [&](std::size_t i, const effects&) { observe_node(s, i, observed_generations); };
    for (std::size_t team = 0; team < team_count; ++team)
        change_team(s, team);
    s.f.run_for(5s); // the initial start of the fleet is not measured
    constexpr int rounds = 40;
    constexpr duration step = 50ms;
    for (int round = 0; round < rounds; ++round) {
        start_fault(s);
        if (s.random.next() % 3 == 0) start_fault(s);
        change_team(s, s.random.next() % team_count);
        const std::uint64_t fault_steps = 40 + s.random.next() % 120; // 2 to 8 s
        for (std::uint64_t i = 0; i < fault_steps; ++i)
            run_step(s, step);
        end_faults(s);
        for (int i = 0; i < 140; ++i)
            run_step(s, step);
    }
    const double longest_delay = to_seconds(s.longest_delay);
    const std::string detail = std::to_string(s.change_count) + " changes, " + std::to_string(rounds) +
                               " rounds of faults, 9 routers, 15 sidecars";
    return {{"configuration_spread", longest_delay, "s", 4.0, longest_delay <= 4.0, detail},
            {"configuration_reverts", static_cast<double>(s.revert_count), "reverts", 0, s.revert_count == 0,
             detail}};
}

const register_bench spread_bench{"configuration_spread", run_spread};

} // namespace

} // namespace damaskhill::bench
