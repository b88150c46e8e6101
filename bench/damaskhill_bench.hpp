// Benchmark registration, result rows and a timing helper.
//
// Index of this file:
// [SECTION] Result rows
// [SECTION] Registration
// [SECTION] Timing

#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace damaskhill::bench {

//-----------------------------------------------------------------------------
// [SECTION] Result rows
//-----------------------------------------------------------------------------

/// One result, printed as one line of JSON. `ok` tells whether `value` meets `bound`, the limit stated in the
/// design.
struct row {
    std::string bench;
    double value{};
    std::string unit;
    double bound{};
    bool ok{};
    std::string detail; // more figures from the same run, for human readers
};

//-----------------------------------------------------------------------------
// [SECTION] Registration
//-----------------------------------------------------------------------------

using bench_function = std::function<std::vector<row>(std::uint64_t seed)>;

struct registration {
    std::string name;
    bench_function run;
};

/// Returns the registry of all benchmarks, in order of registration.
std::vector<registration>& registrations();

/// Registers a benchmark when a static object of this type is constructed:
/// `const register_bench r{"fairness_gap", run};`
struct register_bench {
    register_bench(std::string name, bench_function run) {
        registrations().push_back({std::move(name), std::move(run)});
    }
};

//-----------------------------------------------------------------------------
// [SECTION] Timing
//-----------------------------------------------------------------------------

/// Returns the time of one call to `function` in nanoseconds: the mean over `calls` calls in the fastest of
/// `rounds` rounds. Taking the minimum filters out other load on the machine.
template <class F>
double min_nanoseconds_per_call(int rounds, int calls, F&& function) {
    double fastest = 1e18;
    for (int r = 0; r < rounds; ++r) {
        const auto round_start = std::chrono::steady_clock::now();
        for (int i = 0; i < calls; ++i)
            function();
        const std::chrono::duration<double, std::nano> elapsed =
            std::chrono::steady_clock::now() - round_start;
        fastest = std::min(fastest, elapsed.count() / calls);
    }
    return fastest;
}

} // namespace damaskhill::bench
