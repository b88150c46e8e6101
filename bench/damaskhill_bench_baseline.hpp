// Baseline that the benches compare the fleet with: each router has its own fair queue and pushes a request
// to the target with the least load known to it, instead of binding requests to targets as late as possible.
//
// Index of this file:
// [SECTION] Push baseline

#pragma once

#include "damaskhill_bench_fleet.hpp"

namespace damaskhill::bench {

//-----------------------------------------------------------------------------
// [SECTION] Push baseline
//-----------------------------------------------------------------------------

/// One request of the load, which is the same for the fleet and the baseline.
struct load_request {
    duration at{}; // arrival, since the start
    std::size_t router{};
    std::size_t account{};
    std::uint64_t tokens{};
    std::uint32_t max_tokens{};
    request_class cls{request_class::interactive};
};

/// Measurements of one run of the load.
struct load_results {
    double busy_share{};                              // share of slots in use while requests waited
    std::array<std::vector<double>, 2> first_token_s; // by class: times to the first token
    std::uint64_t unfinished{};
};

/// Settings of the simulated baseline.
struct baseline_settings {
    std::size_t routers{3};
    std::size_t replicas{12};
    target_settings target;
    duration report_period{500ms}; // interval at which targets report their load to the routers
    duration message_delay{1ms};
};

/// Simulates the baseline until `end`, with the speeds of the fleet's fake targets. Busy slots are measured
/// from `from` on, latencies from the start.
[[nodiscard]] load_results run_baseline(const baseline_settings& settings, std::span<const load_request> load,
                                        std::span<const double> shares, duration from, duration end);

} // namespace damaskhill::bench
