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
constexpr std::uint32_t slots_per_target = 16;
constexpr duration measurement_start = 20s;
constexpr duration run_duration = 60s;
const std::vector<double> shares{1, 1, 2, 4};

//-----------------------------------------------------------------------------
// [SECTION] Load
//-----------------------------------------------------------------------------

// Generates short interactive requests for 0.3 of the capacity and long batch requests for 0.9 of it. The sum
// exceeds the capacity, so requests queue.
std::vector<load_request> make_load(std::uint64_t seed) {
    random_source random{seed * 104729};
    std::vector<load_request> requests;
    const double capacity = replicas * slots_per_target / to_seconds(target_settings{}.token_time);
    const auto add_requests = [&](request_class cls, double rate, std::uint64_t min_tokens,
                                  std::uint64_t max_tokens) {
        duration at = 3s;
        while (at < run_duration) {
            const std::uint64_t tokens = min_tokens + random.next() % (max_tokens - min_tokens + 1);
            // Uneven load: half of the requests go to router 0, the others are spread over all routers.
            const std::size_t router = random.next_unit() < 0.5 ? 0 : random.next() % routers;
            requests.push_back({at, router, random.next() % shares.size(), tokens,
                                static_cast<std::uint32_t>(tokens * 2), cls});
            at += duration{static_cast<std::int64_t>(2e6 * random.next_unit() / rate)};
        }
    };
    add_requests(request_class::interactive, 0.3 * capacity / 40.0, 20, 60);
    add_requests(request_class::batch, 0.9 * capacity / 550.0, 300, 800);
    std::ranges::stable_sort(requests, {}, &load_request::at);
    return requests;
}

//-----------------------------------------------------------------------------
// [SECTION] Fleet
//-----------------------------------------------------------------------------

bool has_queued_requests(fleet& f) {
    for (std::size_t i = 0; i < routers; ++i) {
        for (const auto& [key, queue] : f.router(i).router->queues) {
            if (!queue.empty()) return true;
        }
    }
    return false;
}

load_results run_fleet(std::uint64_t seed, std::span<const load_request> requests) {
    fleet_settings s;
    s.seed = seed;
    s.routers = routers;
    target_settings target;
    target.warm_limit = slots_per_target;
    s.pools.push_back({"lm", replicas, target});
    fleet f{s};
    auto team = sample_accounts(shares, 2, slots_per_target);
    for (auto& account : team.accounts)
        account.max_waiting = 100'000;
    f.declare(team);
    const time_point start = f.now();
    std::uint64_t next_number = 0;
    for (const load_request& item : requests) {
        const std::uint64_t n = next_number++;
        f.schedule(start + item.at, [&f, item, n] {
            f.send_request(item.router,
                           model_request(item.account, item.tokens, item.max_tokens, item.cls, n));
        });
    }
    double busy_slots = 0;
    double usable_slots = 0;
    for (time_point t = start + measurement_start; t < start + run_duration; t += 7ms) {
        f.schedule(t, [&] {
            if (!has_queued_requests(f)) return;
            for (const std::size_t i : f.sidecars("lm")) {
                busy_slots +=
                    std::min<double>(static_cast<double>(f.nodes()[i].target.calls.size()), slots_per_target);
                // All targets are warm, so every slot counts, including reserved ones.
                usable_slots += slots_per_target;
            }
        });
    }
    f.run_until(start + run_duration);
    load_results results;
    results.busy_share = usable_slots > 0 ? busy_slots / usable_slots : 1.0;
    for (const auto& [caller, r] : f.results()) {
        if (r.first_byte_at == time_point{}) {
            ++results.unfinished;
            continue;
        }
        results.first_token_s[static_cast<std::size_t>(*r.request.cls)].push_back(
            to_seconds(r.first_byte_at - r.sent_at));
    }
    return results;
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

std::string format_quantiles(const std::vector<double>& values) {
    std::array<char, 80> buffer{};
    std::snprintf(buffer.data(), buffer.size(), "%.3f/%.3f/%.3f s (%zu)", quantile(values, 0.5),
                  quantile(values, 0.95), quantile(values, 0.99), values.size());
    return buffer.data();
}

std::vector<row> run_utilisation(std::uint64_t seed) {
    const auto requests = make_load(seed);
    const load_results fleet_results = run_fleet(seed, requests);
    baseline_settings settings;
    settings.routers = routers;
    settings.replicas = replicas;
    settings.target.warm_limit = slots_per_target;
    const load_results baseline_results =
        run_baseline(settings, requests, shares, measurement_start, run_duration);
    constexpr double bound = 0.97;
    std::array<char, 80> busy_text{};
    std::snprintf(busy_text.data(), busy_text.size(), "baseline busy %.4f; ", baseline_results.busy_share);
    return {{"utilisation", fleet_results.busy_share, "share", bound, fleet_results.busy_share >= bound,
             busy_text.data() +
                 ("first token p50/p95/p99 interactive " + format_quantiles(fleet_results.first_token_s[0])) +
                 ", baseline " + format_quantiles(baseline_results.first_token_s[0]) + "; batch " +
                 format_quantiles(fleet_results.first_token_s[1]) + ", baseline " +
                 format_quantiles(baseline_results.first_token_s[1])}};
}

const register_bench registered{"utilisation", run_utilisation};

} // namespace

} // namespace damaskhill::bench
