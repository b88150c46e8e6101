// Slot utilisation under mixed load and the time to first token of both request classes, compared with a
// baseline in which routers push requests to targets.
//
// Index of this file:
// [SECTION] Load
// [SECTION] Fleet
// [SECTION] Bench

#include "damaskhill_bench.hpp"
#include "damaskhill_bench_baseline.hpp"
#include "damaskhill_bench_load.hpp"

#include <algorithm>
#include <array>
#include <cstdio>

namespace damaskhill::bench {

namespace {

constexpr std::size_t routers = 3;
constexpr std::size_t replicas = 12;
constexpr std::uint32_t slots = 16;
constexpr duration measured_from = 20s;
constexpr duration length = 60s;
const std::vector<double> shares{1, 1, 2, 4};

//-----------------------------------------------------------------------------
// [SECTION] Load
//-----------------------------------------------------------------------------

// Generates short interactive requests for 0.3 of the capacity and long batch requests for 0.9 of it. The sum
// exceeds the capacity, so requests queue.
std::vector<load_request> make_load(std::uint64_t seed) {
    random_source random{seed * 104729};
    std::vector<load_request> load;
    const double capacity = replicas * slots / to_seconds(target_settings{}.token_time);
    const auto add = [&](request_class cls, double rate, std::uint64_t low, std::uint64_t high) {
        duration at = 3s;
        while (at < length) {
            const std::uint64_t tokens = low + random.next() % (high - low + 1);
            // Uneven load: half of the requests go to router 0, the others are spread over all routers.
            const std::size_t router = random.next_unit() < 0.5 ? 0 : random.next() % routers;
            load.push_back({at, router, random.next() % shares.size(), tokens,
                            static_cast<std::uint32_t>(tokens * 2), cls});
            at += duration{static_cast<std::int64_t>(2e6 * random.next_unit() / rate)};
        }
    };
    add(request_class::interactive, 0.3 * capacity / 40.0, 20, 60);
    add(request_class::batch, 0.9 * capacity / 550.0, 300, 800);
    std::ranges::stable_sort(load, {}, &load_request::at);
    return load;
}

//-----------------------------------------------------------------------------
// [SECTION] Fleet
//-----------------------------------------------------------------------------

bool work_waits(fleet& f) {
    for (std::size_t i = 0; i < routers; ++i) {
        for (const auto& [key, queue] : f.router(i).router->queues) {
            if (!queue.empty()) return true;
        }
    }
    return false;
}

load_results run_fleet(std::uint64_t seed, std::span<const load_request> load) {
    fleet_settings s;
    s.seed = seed;
    s.routers = routers;
    target_settings target;
    target.room = slots;
    s.pools.push_back({"lm", replicas, target});
    fleet f{s};
    auto team = sample_accounts(shares, 2, slots);
    for (auto& account : team.accounts)
        account.max_waiting = 100'000;
    f.declare(team);
    const time_point start = f.now();
    std::uint64_t number = 0;
    for (const load_request& item : load) {
        const std::uint64_t n = number++;
        f.at(start + item.at, [&f, item, n] {
            f.ask(item.router, model_request(item.account, item.tokens, item.max_tokens, item.cls, n));
        });
    }
    double busy = 0;
    double usable = 0;
    for (time_point t = start + measured_from; t < start + length; t += 7ms) {
        f.at(t, [&] {
            if (!work_waits(f)) return;
            for (const std::size_t i : f.sidecars("lm")) {
                busy += std::min<double>(static_cast<double>(f.nodes()[i].target.calls.size()), slots);
                usable += slots; // all targets are warm, so every slot counts, including reserved ones
            }
        });
    }
    f.run_until(start + length);
    load_results figures;
    figures.busy_share = usable > 0 ? busy / usable : 1.0;
    for (const auto& [caller, r] : f.results()) {
        if (r.first == time_point{}) {
            ++figures.unfinished;
            continue;
        }
        figures.first_token_s[static_cast<std::size_t>(*r.request.cls)].push_back(
            to_seconds(r.first - r.asked));
    }
    return figures;
}

//-----------------------------------------------------------------------------
// [SECTION] Bench
//-----------------------------------------------------------------------------

double quantile(std::vector<double> values, double q) {
    if (values.empty()) return 0.0;
    std::ranges::sort(values);
    return values[std::min(values.size() - 1,
                           static_cast<std::size_t>(q * static_cast<double>(values.size())))];
}

std::string quantiles(const std::vector<double>& values) {
    std::array<char, 80> buffer{};
    std::snprintf(buffer.data(), buffer.size(), "%.3f/%.3f/%.3f s (%zu)", quantile(values, 0.5),
                  quantile(values, 0.95), quantile(values, 0.99), values.size());
    return buffer.data();
}

std::vector<row> run_utilisation(std::uint64_t seed) {
    const auto load = make_load(seed);
    const load_results pulled = run_fleet(seed, load);
    baseline_settings settings;
    settings.routers = routers;
    settings.replicas = replicas;
    settings.target.room = slots;
    const load_results pushed = run_baseline(settings, load, shares, measured_from, length);
    constexpr double bound = 0.97;
    std::array<char, 80> busy{};
    std::snprintf(busy.data(), busy.size(), "baseline busy %.4f; ", pushed.busy_share);
    return {{"utilisation", pulled.busy_share, "share", bound, pulled.busy_share >= bound,
             busy.data() + ("first token p50/p95/p99 interactive " + quantiles(pulled.first_token_s[0])) +
                 ", baseline " + quantiles(pushed.first_token_s[0]) + "; batch " +
                 quantiles(pulled.first_token_s[1]) + ", baseline " + quantiles(pushed.first_token_s[1])}};
}

const register_bench registered{"utilisation", run_utilisation};

} // namespace

} // namespace damaskhill::bench
