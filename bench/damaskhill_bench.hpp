// Registration and output of benches.
//
// Index of this file:
// [SECTION] Rows
// [SECTION] Registration
// [SECTION] Measurement

#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace damaskhill::bench {

//-----------------------------------------------------------------------------
// [SECTION] Rows
//-----------------------------------------------------------------------------

/// One line of output; `ok` compares the value with the bound that the design states.
struct row {
    std::string bench;
    double value{};
    std::string unit;
    double bound{};
    bool ok{};
    std::string detail; // further figures of the same run, for people
};

//-----------------------------------------------------------------------------
// [SECTION] Registration
//-----------------------------------------------------------------------------

using bench_function = std::function<std::vector<row>(std::uint64_t seed)>;

struct registration {
    std::string name;
    bench_function run;
};

/// All benches, in the order of registration.
std::vector<registration>& registrations();

/// A static object of this type registers a bench: `const register_bench r{"fairness_gap", run};`
struct register_bench {
    register_bench(std::string name, bench_function run) {
        registrations().push_back({std::move(name), std::move(run)});
    }
};

//-----------------------------------------------------------------------------
// [SECTION] Measurement
//-----------------------------------------------------------------------------

/// Nanoseconds of one call: the least mean of several rounds, so that other load on the machine does not
/// count.
template <class F>
double least_nanoseconds(int rounds, int calls, F&& work) {
    double least = 1e18;
    for (int r = 0; r < rounds; ++r) {
        const auto before = std::chrono::steady_clock::now();
        for (int i = 0; i < calls; ++i)
            work();
        const std::chrono::duration<double, std::nano> taken = std::chrono::steady_clock::now() - before;
        least = std::min(least, taken.count() / calls);
    }
    return least;
}

} // namespace damaskhill::bench
