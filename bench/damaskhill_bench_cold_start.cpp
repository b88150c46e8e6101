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

struct figures {
    std::uint64_t overloads{};
    double excess_s{};    // from the reset to cold until at most cold_limit calls run
    double answer_s{};    // mean time from the first byte to the end of an answer, before the reset
    std::size_t before{}; // calls that ran at the reset
};

figures run_scenario(std::uint64_t seed) {
    fleet_settings s;
    s.seed = seed;
    target_settings target;
    target.room = slots;
    s.pools.push_back({"lm", replicas, target});
    fleet f{s};
    const std::vector<double> shares{1, 2, 3};
    f.declare(sample_accounts(shares, 2, slots));
    std::uint64_t number = 0;
    double total = 0;
    std::uint64_t answers = 0;
    const time_point start = f.now();
    const auto ask = [&](std::size_t account) {
        f.ask(f.random().next() % s.routers,
              model_request(account, tokens, 2 * tokens, request_class::interactive, number++));
    };
    f.on_end = [&](const caller_result& r) {
        if (r.answered && f.now() > start + 15s && f.now() < start + 20s) {
            total += to_seconds(r.ended - r.first);
            ++answers;
        }
        f.at(f.now() + 10ms, [&] { ask(number % shares.size()); });
    };
    f.at(start + 500ms, [&] {
        for (std::size_t i = 0; i < 150; ++i)
            ask(i % shares.size());
    });
    f.run_until(start + 20s);
    figures result;
    const std::size_t victim = f.sidecars("lm")[seed % replicas];
    for (const std::size_t i : f.sidecars("lm"))
        result.overloads += f.nodes()[i].target.overloads_while_cold;
    fake_target& cold = f.nodes()[victim].target;
    result.before = cold.calls.size();
    result.answer_s = answers > 0 ? total / static_cast<double>(answers) : 0.0;
    f.reset_to_cold(victim);
    cold.cold_until = f.now() + 30s;
    time_point gone = f.now();
    const time_point turned = f.now();
    while (f.now() < turned + 5s) {
        f.run_for(10ms);
        if (static_cast<double>(cold.calls.size()) > target.cold_limit) gone = f.now();
    }
    result.excess_s = to_seconds(gone - turned);
    return result;
}

std::vector<row> run_cold_start(std::uint64_t seed) {
    const figures f = run_scenario(seed);
    return {{"cold_start", static_cast<double>(f.overloads), "overloads", 0.0, f.overloads == 0,
             "calls beyond the cold limit while cold at the start"},
            {"cold_turn", f.excess_s, "s", f.answer_s, f.excess_s <= f.answer_s && f.before > 2,
             std::to_string(f.before) + " calls ran at the cold turn; bound is the mean time of an answer"}};
}

const register_bench registered{"cold_start", run_cold_start};

} // namespace

} // namespace damaskhill::bench
