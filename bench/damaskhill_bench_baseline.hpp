// The baseline policy of the benches: routers that push at once to the target with the least load they know,
// with a fair queue in each router and no late binding.
//
// Index of this file:
// [SECTION] Push baseline

#pragma once

#include "damaskhill_bench_fleet.hpp"

namespace damaskhill::bench {

//-----------------------------------------------------------------------------
// [SECTION] Push baseline
//-----------------------------------------------------------------------------

/// One request of the load, the same for the fleet and for the baseline.
struct load_request {
    duration at{}; // since the start
    std::size_t router{};
    std::size_t account{};
    std::uint64_t tokens{};
    std::uint32_t max_tokens{};
    request_class cls{request_class::interactive};
};

/// What a run of the load has measured.
struct load_results {
    double busy_share{};                              // share of usable room that was busy while work waited
    std::array<std::vector<double>, 2> first_token_s; // time to the first token by class, seconds
    std::uint64_t unfinished{};
};

struct baseline_settings {
    std::size_t routers{3};
    std::size_t replicas{12};
    target_settings target;
    duration report_period{500ms}; // of the load that targets report to routers
    duration message_delay{1ms};
};

/// Runs the load until the end; figures count from `from` on. Targets run at the speeds of the fleet's fakes.
[[nodiscard]] load_results run_baseline(const baseline_settings& settings, std::span<const load_request> load,
                                        std::span<const double> shares, duration from, duration end);

} // namespace damaskhill::bench
