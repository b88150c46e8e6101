// Measures the control traffic and store calls of routers and sidecars at today's fleet size, and
// extrapolates them linearly to the size expected in two years.
//
// Counts the bytes that a process sends, including frame heads, but no requests, answers or answer copies.
//
// Index of this file:
// [SECTION] Measurement
// [SECTION] Slopes
// [SECTION] Bench

#include "damaskhill_bench.hpp"
#include "damaskhill_bench_fleet.hpp"
#include "damaskhill_impl_thrift.hpp"

#include <algorithm>
#include <array>
#include <cstdio>

namespace damaskhill::bench {

namespace {

//-----------------------------------------------------------------------------
// [SECTION] Measurement
//-----------------------------------------------------------------------------

// Size of the fleet and rates of its load.
struct load {
    std::size_t routers{3};
    std::size_t replicas{12};
    std::size_t accounts{16};
    double requests{};        // per second and router
    std::uint64_t tokens{16}; // of each request
    double changes{};         // declarations written per second
    bool pool_changes{};      // changes go to the team of the pool, not to that of the accounts
};

// Measured control traffic.
struct traffic {
    double router{};                     // bytes per second and router
    double sidecar{};                    // bytes per second and sidecar
    double store_calls{};                // per second, of the whole fleet
    std::map<std::string, double> kinds; // by message: bytes per second and router
};

// Messages that carry requests or answers are not control traffic.
bool is_data(const peer_message& m) {
    return std::holds_alternative<assign>(m) || std::holds_alternative<chunk>(m) ||
           std::holds_alternative<answer_put>(m) || std::holds_alternative<answer_value>(m);
}

const char* kind_of(const peer_message& m) {
    static constexpr std::array<const char*, std::variant_size_v<peer_message>> names{
        "hello",       "heartbeat",      "reserve",       "pull",        "pull_empty", "assign",
        "chunk",       "finish",         "cancel",        "seal",        "seal_reply", "claim",
        "claim_reply", "service_report", "service_total", "evidence",    "facts",      "config_push",
        "config_pull", "answer_put",     "answer_get",    "answer_value"};
    return names.at(m.index());
}

std::string key_of(std::size_t account) {
    std::string key(64, 'a');
    key.replace(0, 5, std::to_string(10'000 + account));
    return key;
}

team_declarations pool_team() {
    team_declarations team;
    team.team = "pools";
    pool_declaration lm;
    lm.name = "lm";
    lm.warm_limit = 16;
    team.pools.push_back(lm);
    return team;
}

team_declarations account_team(std::size_t accounts) {
    team_declarations team;
    team.team = "accounts";
    for (std::size_t i = 0; i < accounts; ++i)
        team.accounts.push_back({"accounts/" + std::to_string(i), 1.0, {key_of(i)}, 256});
    return team;
}

void ask_one(fleet& f, std::size_t router, std::size_t account, std::uint64_t tokens) {
    caller_request r;
    r.pool = "lm";
    r.method = "POST";
    r.path = "/v1/completions";
    r.key_hash = key_of(account);
    r.body = "tokens=" + std::to_string(tokens) + " ";
    r.max_tokens = static_cast<std::uint32_t>(std::min<std::uint64_t>(tokens, 512));
    f.ask(router, std::move(r));
}

traffic measure(const load& l, std::uint64_t seed) {
    fleet_settings settings;
    settings.seed = seed;
    settings.routers = l.routers;
    settings.pools.push_back({"lm", l.replicas, {}});
    fleet f{settings};
    f.declare(pool_team());
    f.declare(account_team(l.accounts));
    f.run_for(25s); // until the links used during the start are idle
    traffic result;
    double router_bytes = 0;
    double sidecar_bytes = 0;
    f.observer = [&](std::size_t i, const effects& out) {
        for (const effect& e : out) {
            const auto* m = std::get_if<send_message>(&e);
            if (m == nullptr || is_data(m->message)) continue;
            const auto bytes =
                static_cast<double>(encode_message(m->message).size() + frame_length_size + frame_head_size);
            (i < l.routers ? router_bytes : sidecar_bytes) += bytes;
            if (i < l.routers) result.kinds[kind_of(m->message)] += bytes;
        }
    };
    const auto calls = [&] { return f.store().reads + f.store().writes + f.store().watches; };
    const auto calls_before = calls();
    constexpr double seconds = 20;
    constexpr duration step = 10ms;
    double changes = 0;
    std::size_t account = 0;
    for (time_point end = f.now() + 20s; f.now() < end;) {
        for (changes += l.changes * to_seconds(step); changes >= 1.0; changes -= 1.0)
            f.declare(l.pool_changes ? pool_team() : account_team(l.accounts));
        // Arrivals are random, because a fixed period could coincide with that of the reservations.
        for (std::size_t r = 0; r < l.routers; ++r) {
            if (f.random().next_unit() < l.requests * to_seconds(step))
                ask_one(f, r, ++account % l.accounts, l.tokens);
        }
        f.run_for(step);
    }
    result.router = router_bytes / seconds / static_cast<double>(l.routers);
    result.sidecar = sidecar_bytes / seconds / static_cast<double>(l.replicas);
    result.store_calls = static_cast<double>(calls() - calls_before) / seconds;
    for (auto& [kind, bytes] : result.kinds)
        bytes /= seconds * static_cast<double>(l.routers);
    return result;
}

//-----------------------------------------------------------------------------
// [SECTION] Slopes
//-----------------------------------------------------------------------------

// Fleet size and rates expected in two years (design 1.4, 6.1 and 6.3).
struct two_years {
    static constexpr double routers = 370;
    static constexpr double sidecar_links = 16.0 * 9;             // per router: 16 to each of 9 pools
    static constexpr double router_links = 370.0 * 16 * 9 / 2000; // per sidecar, about 27
    static constexpr double changes = 6700.0 / 86'400;            // per second
    static constexpr double router_requests = 73;                 // per second and router
    static constexpr double sidecar_requests = 27'000.0 / 2000;   // per second and sidecar
    static constexpr double waiting_accounts = 30;                // per router
    static constexpr double data_centres = 8;
    static constexpr double accounts_per_team = 110; // 22,000 accounts in 200 teams
};

// Growth of the control traffic and store calls with each size and rate.
struct slopes {
    double router_idle{};                // B/s of a router with one sidecar link and no other router
    double router_per_router{};          // B/s for one more router, once the ring has all its neighbours
    double router_per_sidecar{};         // B/s for one more sidecar link
    double router_per_change{};          // B for one change
    double router_per_changed_account{}; // B for one change, for one more account in the team
    double router_per_request{};         // B for one request
    double router_per_waiting{};         // B/s for one more waiting account
    double sidecar_per_router{};         // B/s for one more router link
    double sidecar_per_change{};         // B for one change of its pool
    double sidecar_per_request{};        // B for one request that it runs
    double store_per_router{};           // calls/s for one more router
};

double per(double more, double less, double step) { return (more - less) / step; }

slopes find_slopes(std::uint64_t seed) {
    slopes s;
    const traffic base = measure({}, seed);
    const traffic few_links = measure({.replicas = 4}, seed);
    s.router_per_sidecar = per(base.router, few_links.router, 8);
    // From 36 to 60 routers each has 6 neighbours in the ring, so only the number of idle links grows.
    const traffic many = measure({.routers = 36, .replicas = 2}, seed);
    const traffic more = measure({.routers = 60, .replicas = 2}, seed);
    s.router_per_router = per(more.router, many.router, 24);
    s.router_idle = more.router - s.router_per_router * 59 - s.router_per_sidecar * 2;
    s.store_per_router = per(more.store_calls, many.store_calls, 24);
    s.sidecar_per_router = per(more.sidecar, many.sidecar, 24);
    const traffic changed = measure({.routers = 36, .replicas = 2, .changes = 2}, seed);
    s.router_per_change = per(changed.router, many.router, 2);
    constexpr double more_accounts = 64 - 16;
    const traffic large = measure({.routers = 36, .replicas = 2, .accounts = 64, .changes = 2}, seed);
    s.router_per_changed_account = per(large.router, changed.router, 2 * more_accounts);
    const traffic pool_changed =
        measure({.routers = 36, .replicas = 2, .changes = 2, .pool_changes = true}, seed);
    s.sidecar_per_change = per(pool_changed.sidecar, many.sidecar, 2);
    s.router_per_change = std::max(s.router_per_change, per(pool_changed.router, many.router, 2));
    const traffic some = measure({.requests = 10}, seed);
    const traffic busy = measure({.requests = 30}, seed);
    s.router_per_request = per(busy.router, some.router, 20);
    s.sidecar_per_request = per(busy.sidecar, some.sidecar, 20.0 * 3 / 12);
    // Overload, so that all accounts wait in every router all the time.
    const traffic waiting_few = measure({.replicas = 2, .accounts = 4, .requests = 20, .tokens = 400}, seed);
    const traffic waiting_many =
        measure({.replicas = 2, .accounts = 16, .requests = 20, .tokens = 400}, seed);
    // A router has 2 links to sidecars of the pool here and 16 at the size expected in two years.
    s.router_per_waiting = per(waiting_many.router, waiting_few.router, 12) * 16 / 2;
    return s;
}

//-----------------------------------------------------------------------------
// [SECTION] Bench
//-----------------------------------------------------------------------------

std::string text_of(std::initializer_list<std::pair<const char*, double>> values) {
    std::string text;
    for (const auto& [name, value] : values) {
        std::array<char, 80> part{};
        std::snprintf(part.data(), part.size(), "%s%s %.1f", text.empty() ? "" : ", ", name, value);
        text += part.data();
    }
    return text;
}

std::vector<row> run_control(std::uint64_t seed) {
    constexpr double bound = 10'000; // B/s of each daemon (design 1.4)
    const traffic today = measure({.requests = 10}, seed);
    const slopes s = find_slopes(seed);
    using future = two_years;
    const double links = s.router_idle + s.router_per_router * (future::routers - 1) +
                         s.router_per_sidecar * future::sidecar_links;
    const double change =
        s.router_per_change + s.router_per_changed_account * (future::accounts_per_team - 16);
    const double changes = change * future::changes;
    const double requests = s.router_per_request * future::router_requests;
    // The slope is negative if the same requests from fewer accounts change the same rows more often.
    const double waiting = std::max(0.0, s.router_per_waiting) * future::waiting_accounts;
    const double router = links + changes + requests + waiting;
    const double sidecar = s.sidecar_per_router * future::router_links +
                           s.sidecar_per_change * future::changes +
                           s.sidecar_per_request * future::sidecar_requests;
    // Two routers of each data centre watch the store; each router adds the measured slope.
    const double store = 2 * future::data_centres + s.store_per_router * future::routers;
    std::string kinds;
    for (const auto& [kind, bytes] : today.kinds)
        kinds += (kinds.empty() ? "" : ", ") + kind + " " + std::to_string(static_cast<long>(bytes));
    const double largest = std::max(today.router, today.sidecar);
    return {
        {"control_traffic_today", largest, "B/s", bound, largest <= bound,
         text_of(
             {{"router", today.router}, {"sidecar", today.sidecar}, {"store calls/s", today.store_calls}}) +
             "; router by message: " + kinds},
        {"control_traffic_router", router, "B/s", bound, router <= bound,
         text_of({{"links", links}, {"changes", changes}, {"requests", requests}, {"waiting", waiting}}) +
             "; slopes: " +
             text_of({{"B/s a router link", s.router_per_router},
                      {"B/s a sidecar link", s.router_per_sidecar},
                      {"B/s without them", s.router_idle},
                      {"B a change", s.router_per_change},
                      {"B a change and account", s.router_per_changed_account},
                      {"B a request", s.router_per_request},
                      {"B/s a waiting account", s.router_per_waiting}})},
        {"control_traffic_sidecar", sidecar, "B/s", bound, sidecar <= bound,
         text_of({{"B/s a router link", s.sidecar_per_router},
                  {"B a change", s.sidecar_per_change},
                  {"B a request", s.sidecar_per_request}})},
        {"control_store_watches", store, "calls/s", 2000, store <= 2000,
         text_of({{"calls/s for one more router", s.store_per_router}})}};
}

const register_bench control_bench{"control_traffic", run_control};

} // namespace

} // namespace damaskhill::bench
