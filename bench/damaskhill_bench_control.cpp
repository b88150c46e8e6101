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
struct fleet_load {
    std::size_t routers{3};
    std::size_t replicas{12};
    std::size_t accounts{16};
    double requests{};        // per second and router
    std::uint64_t tokens{16}; // of each request
    double changes{};         // declarations written per second
    bool pool_changes{};      // changes go to the team of the pool, not to that of the accounts
};

// Measured control traffic.
struct control_traffic {
    double router{};                          // bytes per second and router
    double sidecar{};                         // bytes per second and sidecar
    double store_calls{};                     // per second, of the whole fleet
    std::map<std::string, double> by_message; // bytes per second and router
};

// Messages that carry requests or answers are not control traffic.
bool carries_data(const peer_message& m) {
    return std::holds_alternative<assign>(m) || std::holds_alternative<chunk>(m) ||
           std::holds_alternative<answer_put>(m) || std::holds_alternative<answer_value>(m);
}

const char* message_name(const peer_message& m) {
    static constexpr std::array<const char*, std::variant_size_v<peer_message>> names{
        "hello",       "heartbeat",      "reserve",       "pull",        "pull_empty", "assign",
        "chunk",       "finish",         "cancel",        "seal",        "seal_reply", "claim",
        "claim_reply", "service_report", "service_total", "evidence",    "facts",      "config_push",
        "config_pull", "answer_put",     "answer_get",    "answer_value"};
    return names.at(m.index());
}

std::string account_key(std::size_t account) {
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
        team.accounts.push_back({"accounts/" + std::to_string(i), 1.0, {account_key(i)}, 256});
    return team;
}

void send_request(fleet& f, std::size_t router, std::size_t account, std::uint64_t tokens) {
    caller_request r;
    r.pool = "lm";
    r.method = "POST";
    r.path = "/v1/completions";
    r.key_hash = account_key(account);
    r.body = "tokens=" + std::to_string(tokens) + " ";
    r.max_tokens = static_cast<std::uint32_t>(std::min<std::uint64_t>(tokens, 512));
    f.send_request(router, std::move(r));
}

control_traffic measure(const fleet_load& load, std::uint64_t seed) {
    fleet_settings settings;
    settings.seed = seed;
    settings.routers = load.routers;
    settings.pools.push_back({"lm", load.replicas, {}});
    fleet f{settings};
    f.declare(pool_team());
    f.declare(account_team(load.accounts));
    f.run_for(25s); // until the links used during the start are idle
    control_traffic result;
    double router_bytes = 0;
    double sidecar_bytes = 0;
    f.observer = [&](std::size_t i, const effects& out) {
        for (const effect& e : out) {
            const auto* m = std::get_if<send_message>(&e);
            if (m == nullptr || carries_data(m->message)) continue;
            const auto bytes =
                static_cast<double>(encode_message(m->message).size() + frame_length_size + frame_head_size);
            (i < load.routers ? router_bytes : sidecar_bytes) += bytes;
            if (i < load.routers) result.by_message[message_name(m->message)] += bytes;
        }
    };
    const auto store_call_count = [&] { return f.store().reads + f.store().writes + f.store().watches; };
    const auto store_calls_before = store_call_count();
    constexpr double seconds = 20;
    constexpr duration step = 10ms;
    double changes = 0;
    std::size_t account = 0;
    for (time_point end = f.now() + 20s; f.now() < end;) {
        for (changes += load.changes * to_seconds(step); changes >= 1.0; changes -= 1.0)
            f.declare(load.pool_changes ? pool_team() : account_team(load.accounts));
        // Arrivals are random, because a fixed period could coincide with that of the reservations.
        for (std::size_t r = 0; r < load.routers; ++r) {
            if (f.random().next_unit() < load.requests * to_seconds(step))
                send_request(f, r, ++account % load.accounts, load.tokens);
        }
        f.run_for(step);
    }
    result.router = router_bytes / seconds / static_cast<double>(load.routers);
    result.sidecar = sidecar_bytes / seconds / static_cast<double>(load.replicas);
    result.store_calls = static_cast<double>(store_call_count() - store_calls_before) / seconds;
    for (auto& [message, bytes] : result.by_message)
        bytes /= seconds * static_cast<double>(load.routers);
    return result;
}

//-----------------------------------------------------------------------------
// [SECTION] Slopes
//-----------------------------------------------------------------------------

// Fleet size and rates expected in two years (design 1.4, 6.1 and 6.3).
struct two_year_size {
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
struct traffic_slopes {
    double router_idle{};                // B/s of a router without links
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

double slope_between(double more, double less, double step) { return (more - less) / step; }

traffic_slopes measure_slopes(std::uint64_t seed) {
    traffic_slopes s;
    const control_traffic base = measure({}, seed);
    const control_traffic fewer_sidecars = measure({.replicas = 4}, seed);
    s.router_per_sidecar = slope_between(base.router, fewer_sidecars.router, 8);
    // From 36 to 60 routers each has 6 neighbours in the ring, so only the number of idle links grows.
    const control_traffic routers_36 = measure({.routers = 36, .replicas = 2}, seed);
    const control_traffic routers_60 = measure({.routers = 60, .replicas = 2}, seed);
    s.router_per_router = slope_between(routers_60.router, routers_36.router, 24);
    s.router_idle = routers_60.router - s.router_per_router * 59 - s.router_per_sidecar * 2;
    s.store_per_router = slope_between(routers_60.store_calls, routers_36.store_calls, 24);
    s.sidecar_per_router = slope_between(routers_60.sidecar, routers_36.sidecar, 24);
    const control_traffic with_changes = measure({.routers = 36, .replicas = 2, .changes = 2}, seed);
    s.router_per_change = slope_between(with_changes.router, routers_36.router, 2);
    constexpr double added_accounts = 64 - 16;
    const control_traffic with_more_accounts =
        measure({.routers = 36, .replicas = 2, .accounts = 64, .changes = 2}, seed);
    s.router_per_changed_account =
        slope_between(with_more_accounts.router, with_changes.router, 2 * added_accounts);
    const control_traffic with_pool_changes =
        measure({.routers = 36, .replicas = 2, .changes = 2, .pool_changes = true}, seed);
    s.sidecar_per_change = slope_between(with_pool_changes.sidecar, routers_36.sidecar, 2);
    s.router_per_change =
        std::max(s.router_per_change, slope_between(with_pool_changes.router, routers_36.router, 2));
    const control_traffic low_rate = measure({.requests = 10}, seed);
    const control_traffic high_rate = measure({.requests = 30}, seed);
    s.router_per_request = slope_between(high_rate.router, low_rate.router, 20);
    s.sidecar_per_request = slope_between(high_rate.sidecar, low_rate.sidecar, 20.0 * 3 / 12);
    // Overload, so that all accounts wait in every router all the time.
    const control_traffic few_waiting =
        measure({.replicas = 2, .accounts = 4, .requests = 20, .tokens = 400}, seed);
    const control_traffic many_waiting =
        measure({.replicas = 2, .accounts = 16, .requests = 20, .tokens = 400}, seed);
    // A router has 2 links to sidecars of the pool here and 16 at the size expected in two years.
    s.router_per_waiting = slope_between(many_waiting.router, few_waiting.router, 12) * 16 / 2;
    return s;
}

//-----------------------------------------------------------------------------
// [SECTION] Bench
//-----------------------------------------------------------------------------

std::string format_values(std::initializer_list<std::pair<const char*, double>> values) {
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
    const control_traffic today = measure({.requests = 10}, seed);
    const traffic_slopes s = measure_slopes(seed);
    using expected = two_year_size;
    const double links = s.router_idle + s.router_per_router * (expected::routers - 1) +
                         s.router_per_sidecar * expected::sidecar_links;
    const double change =
        s.router_per_change + s.router_per_changed_account * (expected::accounts_per_team - 16);
    const double changes = change * expected::changes;
    const double requests = s.router_per_request * expected::router_requests;
    // The slope is negative if the same requests from fewer accounts change the same rows more often.
    const double waiting = std::max(0.0, s.router_per_waiting) * expected::waiting_accounts;
    const double router = links + changes + requests + waiting;
    const double sidecar = s.sidecar_per_router * expected::router_links +
                           s.sidecar_per_change * expected::changes +
                           s.sidecar_per_request * expected::sidecar_requests;
    // Two routers of each data centre watch the store; each router adds the measured slope.
    const double store = 2 * expected::data_centres + s.store_per_router * expected::routers;
    std::string message_rates;
    for (const auto& [message, bytes] : today.by_message)
        message_rates +=
            (message_rates.empty() ? "" : ", ") + message + " " + std::to_string(static_cast<long>(bytes));
    const double largest = std::max(today.router, today.sidecar);
    return {
        {"control_traffic_today", largest, "B/s", bound, largest <= bound,
         format_values(
             {{"router", today.router}, {"sidecar", today.sidecar}, {"store calls/s", today.store_calls}}) +
             "; router by message: " + message_rates},
        {"control_traffic_router", router, "B/s", bound, router <= bound,
         format_values(
             {{"links", links}, {"changes", changes}, {"requests", requests}, {"waiting", waiting}}) +
             "; slopes: " +
             format_values({{"B/s a router link", s.router_per_router},
                            {"B/s a sidecar link", s.router_per_sidecar},
                            {"B/s without them", s.router_idle},
                            {"B a change", s.router_per_change},
                            {"B a change and account", s.router_per_changed_account},
                            {"B a request", s.router_per_request},
                            {"B/s a waiting account", s.router_per_waiting}})},
        {"control_traffic_sidecar", sidecar, "B/s", bound, sidecar <= bound,
         format_values({{"B/s a router link", s.sidecar_per_router},
                        {"B a change", s.sidecar_per_change},
                        {"B a request", s.sidecar_per_request}})},
        {"control_store_watches", store, "calls/s", 2000, store <= 2000,
         format_values({{"calls/s for one more router", s.store_per_router}})}};
}

const register_bench control_bench{"control_traffic", run_control};

} // namespace

} // namespace damaskhill::bench
