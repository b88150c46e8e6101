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
team_declarations declarations_of_team(std::size_t i, std::uint64_t variant) {
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
        for (const char* centre : {"dc-a", "dc-b", "dc-c"})
            team.data_centres.push_back({centre, true});
    }
    return team;
}

// A change that the store has accepted.
struct accepted_change {
    time_point at;
    std::uint64_t revision{};
};

// The fleet, the changes written so far and what each node has applied of them.
struct scene {
    fleet f;
    random_source random;
    std::vector<std::vector<accepted_change>> accepted; // by team
    std::vector<std::size_t> waiting;                   // teams whose write the store has not yet taken
    std::set<std::pair<std::size_t, std::size_t>> cuts; // cut links, from which reachability is computed
    std::vector<time_point> reachable_since;            // by node; zero: unreachable
    std::vector<std::uint64_t> generations;             // by node: last generation seen by update_reachable()
    // By node and team: the revision that the current incarnation of the node has applied.
    std::vector<std::vector<std::uint64_t>> in_force;
    std::uint64_t changes{};
    std::uint64_t reverts{};
    duration worst{};

    explicit scene(fleet_settings s, std::uint64_t seed)
        : f{std::move(s)},
          random{seed},
          accepted(team_count),
          reachable_since(f.nodes().size()),
          generations(f.nodes().size()),
          in_force(f.nodes().size(), std::vector<std::uint64_t>(team_count)) {}
};

// Writes a new declaration of the team to the store. If the store is down, the next step tries again.
void change_team(scene& s, std::size_t team) {
    if (s.f.store().faults.down) {
        s.waiting.push_back(team);
        return;
    }
    s.f.declare(declarations_of_team(team, ++s.changes));
    s.accepted[team].push_back({s.f.now(), s.f.store().teams[team_name(team)].revision});
}

//-----------------------------------------------------------------------------
// [SECTION] Faults
//-----------------------------------------------------------------------------

void partition_data_centre(scene& s, std::string_view centre) {
    const auto& nodes = s.f.nodes();
    for (std::size_t a = 0; a < nodes.size(); ++a) {
        for (std::size_t b = 0; b < nodes.size(); ++b) {
            if (nodes[a].data_centre != centre || nodes[b].data_centre == centre) continue;
            s.f.cut(a, b);
            s.cuts.insert(std::minmax(a, b));
        }
    }
}

void end_faults(scene& s) {
    s.f.heal_all();
    s.cuts.clear();
    s.f.store().faults = {};
    s.f.store().cut.clear();
    for (std::size_t i = 0; i < s.f.nodes().size(); ++i) {
        s.f.resume(i);
        if (!s.f.nodes()[i].up) s.f.start(i);
    }
}

void start_fault(scene& s) {
    static constexpr std::array<const char*, 3> centres{"dc-a", "dc-b", "dc-c"};
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
        partition_data_centre(s, centres.at(s.random.next() % centres.size()));
        break;
    default:
        // Most routers lose the store, including some that watch it for changes.
        for (std::size_t i = 0; i < s.f.router_count(); ++i) {
            if (s.random.next() % 4 != 0) s.f.store().cut.insert(s.f.router(i).name);
        }
    }
}

//-----------------------------------------------------------------------------
// [SECTION] Measurement
//-----------------------------------------------------------------------------

bool runs(const node& n) { return n.up && !n.paused; }

// Computes which nodes can learn of changes: routers that reach the store directly or through other routers,
// and sidecars that reach one of these routers.
std::vector<bool> reachable_nodes(scene& s) {
    const auto& nodes = s.f.nodes();
    const std::size_t routers = s.f.router_count();
    std::vector<bool> reached(nodes.size());
    for (std::size_t i = 0; i < routers; ++i)
        reached[i] = runs(nodes[i]) && !s.f.store().faults.down && !s.f.store().cut.contains(nodes[i].name);
    const auto joined = [&](std::size_t a, std::size_t b) {
        return reached[b] && runs(nodes[a]) && !s.cuts.contains(std::minmax(a, b));
    };
    for (std::size_t round = 0; round < routers; ++round) {
        for (std::size_t a = 0; a < routers; ++a) {
            for (std::size_t b = 0; b < routers; ++b)
                reached[a] = reached[a] || joined(a, b);
        }
    }
    for (std::size_t a = routers; a < nodes.size(); ++a) {
        for (std::size_t b = 0; b < routers; ++b)
            reached[a] = reached[a] || joined(a, b);
    }
    return reached;
}

// Updates the times since which nodes are reachable; a restart counts as a new start.
void update_reachable(scene& s) {
    const std::vector<bool> reached = reachable_nodes(s);
    for (std::size_t i = 0; i < reached.size(); ++i) {
        const node& n = s.f.nodes()[i];
        const bool restarted = s.generations[i] != n.generation;
        s.generations[i] = n.generation;
        if (!reached[i]) {
            s.reachable_since[i] = {};
        } else if (restarted || s.reachable_since[i] == time_point{}) {
            s.reachable_since[i] = s.f.now();
        }
    }
}

// Reports whether the node needs the declarations of the team.
bool matters(const node& n, std::size_t team) {
    return n.router != nullptr || team == 0 || (team == 1 && n.pool == "app");
}

// Updates the longest time that a reachable node has missed an accepted change.
void measure(scene& s) {
    update_reachable(s);
    for (std::size_t i = 0; i < s.f.nodes().size(); ++i) {
        if (s.reachable_since[i] == time_point{}) continue;
        for (std::size_t team = 0; team < team_count; ++team) {
            if (!matters(s.f.nodes()[i], team)) continue;
            const auto missing = std::ranges::find_if(s.accepted[team], [&](const accepted_change& change) {
                return change.revision > s.in_force[i][team];
            });
            if (missing == s.accepted[team].end()) continue;
            s.worst = std::max(s.worst, s.f.now() - std::max(missing->at, s.reachable_since[i]));
        }
    }
    // Forgets old changes, which every reachable process has applied long ago.
    for (auto& changes : s.accepted) {
        constexpr std::size_t kept = 400;
        if (changes.size() > kept) changes.erase(changes.begin(), changes.end() - kept);
    }
}

// Records the revisions that a node applies and counts those that go back to an older one.
void observe_node(scene& s, std::size_t i, std::vector<std::uint64_t>& generation_of) {
    const node& n = s.f.nodes()[i];
    const configuration& config = n.router ? n.router->config : n.sidecar->config;
    auto& seen = s.in_force[i];
    if (generation_of[i] != n.generation) {
        generation_of[i] = n.generation;
        std::ranges::fill(seen, 0);
    }
    for (std::size_t team = 0; team < team_count; ++team) {
        const auto found = config.teams.find(team_name(team));
        const std::uint64_t present = found == config.teams.end() ? 0 : found->second.revision;
        if (present < seen[team]) ++s.reverts;
        seen[team] = present;
    }
}

//-----------------------------------------------------------------------------
// [SECTION] Bench
//-----------------------------------------------------------------------------

void run_step(scene& s, duration step) {
    std::vector<std::size_t> waiting;
    waiting.swap(s.waiting);
    for (const std::size_t team : waiting)
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
    measure(s);
}

std::vector<row> run_spread(std::uint64_t seed) {
    fleet_settings settings;
    settings.seed = seed;
    settings.routers = 9;
    settings.pools.push_back({"lm", 12, {}});
    target_settings service;
    service.kind = target_kind::service;
    settings.pools.push_back({"app", 3, service});
    scene s{settings, seed};
    std::vector<std::uint64_t> generation_of(s.f.nodes().size());
    s.f.observer = [&](std::size_t i, const effects&) { observe_node(s, i, generation_of); };
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
    const double worst = to_seconds(s.worst);
    const std::string detail = std::to_string(s.changes) + " changes, " + std::to_string(rounds) +
                               " rounds of faults, 9 routers, 15 sidecars";
    return {{"configuration_spread", worst, "s", 4.0, worst <= 4.0, detail},
            {"configuration_reverts", static_cast<double>(s.reverts), "reverts", 0, s.reverts == 0, detail}};
}

const register_bench spread_bench{"configuration_spread", run_spread};

} // namespace

} // namespace damaskhill::bench
