// Checks that cold targets get no more calls than their declared cold limit at the start of the fleet, and
// that the excess drains quickly when a warm target becomes cold without notice.
//
// Index of this file:
// [SECTION] Bench

#include "damaskhill_bench.hpp"
#include "damaskhill_bench_load.hpp"

#include <algorithm>

namespace damaskhill::bench {

namespace {

//-----------------------------------------------------------------------------
// [SECTION] Bench
//-----------------------------------------------------------------------------

constexpr std::size_t replicas = 6;
constexpr std::uint32_t slots = 16;
constexpr std::uint64_t tokens = 200;

struct cold_start_results {
    std::uint64_t overloads{};
    double excess_drain_s{};      // from the reset to cold until at most cold_limit calls run
    double mean_answer_s{};       // mean time from the first byte to the end of an answer, before the reset
    std::size_t calls_at_reset{}; // calls that ran at the reset
};

cold_start_results run_scenario(std::uint64_t seed) {
    fleet_settings s;
    s.seed = seed;
    target_settings target;
    target.warm_limit = slots;
    s.pools.push_back({"lm", replicas, target});
    fleet f{s};
    const std::vector<double> shares{1, 2, 3};
    f.declare(sample_accounts(shares, 2, slots));
    std::uint64_t request_number = 0;
    double total_answer_s = 0;
    std::uint64_t answers = 0;
    const time_point start = f.now();
    const auto ask = [&](std::size_t account) {
        f.send_request(
            f.random().next() % s.routers,
            model_request(account, tokens, 2 * tokens, request_class::interactive, request_number++));
    };
    f.on_end = [&](const caller_result& r) {
        if (r.answered && f.now() > start + 15s && f.now() < start + 20s) {
            total_answer_s += to_seconds(r.ended_at - r.first_byte_at);
            ++answers;
        }
        f.schedule(f.now() + 10ms, [&] { ask(request_number % shares.size()); });
    };
    f.schedule(start + 500ms, [&] {
        for (std::size_t i = 0; i < 150; ++i)
            ask(i % shares.size());
    });
    f.run_until(start + 20s);
    cold_start_results result;
    const std::size_t reset_node = f.sidecars("lm")[seed % replicas];
    for (const std::size_t i : f.sidecars("lm"))
        result.overloads += f.nodes()[i].target.overloads_while_cold;
    fake_target& reset_target = f.nodes()[reset_node].target;
    result.calls_at_reset = reset_target.calls.size();
    result.mean_answer_s = answers > 0 ? total_answer_s / static_cast<double>(answers) : 0.0;
    f.reset_to_cold(reset_node);
    reset_target.cold_until = f.now() + 30s;
    time_point last_excess = f.now();
    const time_point reset_at = f.now();
    while (f.now() < reset_at + 5s) {
        f.run_for(10ms);
        if (static_cast<double>(reset_target.calls.size()) > target.cold_limit) last_excess = f.now();
    }
    result.excess_drain_s = to_seconds(last_excess - reset_at);
    return result;
}

std::vector<row> run_cold_start(std::uint64_t seed) {
    const cold_start_results f = run_scenario(seed);
    return {{"cold_start", static_cast<double>(f.overloads), "overloads", 0.0, f.overloads == 0,
             "calls beyond the cold limit while cold at the start"},
            {"cold_turn", f.excess_drain_s, "s", f.mean_answer_s,
             f.excess_drain_s <= f.mean_answer_s && f.calls_at_reset > 2,
             std::to_string(f.calls_at_reset) +
                 " calls ran at the cold turn; bound is the mean time of an answer"}};
}

const register_bench registered{"cold_start", run_cold_start};

} // namespace

} // namespace damaskhill::bench
