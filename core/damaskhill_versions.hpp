// Version moves: outcome counts per version, a sequential test of the new version against the old one, the
// share of traffic of the new version, and the schedule of version loads.
//
// Index of this file:
// [SECTION] Evidence
// [SECTION] Sequential test
// [SECTION] Traffic share
// [SECTION] Load schedule

#pragma once

#include "damaskhill_messages.hpp"

#include <array>
#include <map>
#include <optional>
#include <set>

namespace damaskhill {

//-----------------------------------------------------------------------------
// [SECTION] Evidence
//-----------------------------------------------------------------------------

/// Number of latency buckets. Upper bounds grow by the fourth root of two, from 1 ms to 65 s.
inline constexpr std::size_t latency_bucket_count = 64;

/// Load level of an attempt: number of running calls at its start, relative to the target's warm limit.
inline constexpr std::uint32_t load_level_low = 0;     // below a third
inline constexpr std::uint32_t load_level_medium = 1;  // below two thirds
inline constexpr std::uint32_t load_level_high = 2;    // above
inline constexpr std::uint32_t load_level_warming = 3; // the target was warming up; latency is not tested

struct evidence_counts {
    std::uint64_t attempts{};
    std::uint64_t failures{};
    std::array<std::uint64_t, latency_bucket_count> latency{}; // completed attempts by bucket
};

struct evidence_key {
    std::string pool;
    std::string version;
    std::string route; // route and class
    std::uint32_t load_level{};
    friend auto operator<=>(const evidence_key&, const evidence_key&) = default;
};

/// Outcome counts by router incarnation. Counts only grow, so that copies merge by maximum.
struct version_evidence {
    std::map<std::pair<incarnation_id, evidence_key>, evidence_counts> counts;
    std::map<evidence_key, evidence_counts> totals;
};

/// Index of the bucket that holds the latency.
[[nodiscard]] std::size_t latency_bucket(duration latency);
/// Load level of a target with the given number of running calls.
[[nodiscard]] std::uint32_t load_level_of(std::size_t running, std::uint32_t warm_limit);
/// Counts one attempt of this router incarnation. The latency is used only if the attempt did not fail.
void record_attempt(version_evidence& evidence, incarnation_id self, const evidence_key& key, bool failed,
                    duration latency);
/// Merges the counts of another router; returns true if any were new.
bool merge_evidence(version_evidence& evidence, incarnation_id owner, const evidence_row& row);
/// Converts counts to a wire row, without trailing zero buckets.
[[nodiscard]] evidence_row to_row(const evidence_key& key, const evidence_counts& counts);

//-----------------------------------------------------------------------------
// [SECTION] Sequential test
//-----------------------------------------------------------------------------

/// What is tested on each route and load level, in parallel. Small excesses need many attempts and large ones
/// few. The share of slow answers is tested against a usual one, and against the old version's own, which
/// finds a version that is slow in a part of its answers.
enum class test_measure : std::uint8_t {
    small_failure_excess,
    failure_excess, // decides the acceptance, together with `slow`
    large_failure_excess,
    slow,
    slow_excess
};
inline constexpr std::size_t test_measure_count = 5;

struct verdict_settings {
    // probability of rolling back a version that is as good as the old one
    double false_positive_rate{0.001};
    double false_negative_rate{0.001}; // probability of accepting a version whose excess is at the limit
    double max_failure_excess{0.10};   // failure rate above the old version's that counts as bad
    double small_failure_excess{0.02}; // tested beside it, but not needed for the acceptance
    double large_failure_excess{0.30}; // the same
    double baseline_slow_rate{0.10};   // share of the old version's answers that count as slow
    double bad_slow_rate{0.50};        // share of slow answers that counts as bad
    double min_slow_rate{0.005};       // the old version's own share of slow answers, at least
    double bad_slow_excess{0.20};      // above the old version's own share
    // Latency buckets between the quantile of the old version and an answer that counts as slow. At least one
    // (19%), so that quantisation at the boundary does not affect the test.
    std::size_t slow_margin{1};
    double min_route_share{0.01};            // routes with a smaller share of traffic need not be accepted
    std::uint64_t min_baseline_attempts{50}; // of the old version before the comparison starts
    double baseline_window{2000.0}; // attempts over which the old version's current rates are estimated
    double max_cells{32.0};         // parallel tests of one move that share the false positive rate
    // attempts per cell after acceptance covered by the false positive rate
    double monitored_attempts{100'000.0};
};

enum class version_verdict : std::uint8_t { undecided, good, bad };

/// Outcomes of the old version on one route and load level, scaled down to baseline_window attempts.
struct baseline_rates {
    double attempts{};
    double failures{};
    double timed{};
    std::array<double, latency_bucket_count> latency{};
};

/// Log likelihood ratios of "bad" versus "as good as the old version" for one route and load level.
struct test_cell {
    std::array<double, test_measure_count> llr{}; // by test_measure
    std::uint64_t attempts{};
    std::uint64_t timed{};
};

/// The versions that a test compares.
struct version_comparison {
    std::string_view pool;
    std::string_view old_version;
    std::string_view new_version;
    time_point start; // of the move; a later one begins a new test
};

/// State of the test of one move in one router.
struct move_test {
    time_point start{}; // start of the move under test
    std::string to_version;
    version_verdict verdict{version_verdict::undecided};
    time_point accepted_at{};
    std::map<evidence_key, evidence_counts> processed; // counts already included in the test
    std::map<std::pair<std::string, std::uint32_t>, baseline_rates> baseline; // by route and load level
    std::map<std::pair<std::string, std::uint32_t>, test_cell> cells;         // by route and load level
    std::map<std::string, test_cell, std::less<>> routes; // over all load levels of a route
    std::map<std::string, std::uint64_t, std::less<>> baseline_route_attempts; // since the move began
};

/// Adds the evidence received since the last call to the test and returns the verdict. A bad verdict is
/// final; after a good one monitoring continues.
version_verdict advance_test(move_test& test, const version_evidence& evidence,
                             const version_comparison& versions, const verdict_settings& settings,
                             time_point now);
version_verdict advance_test(move_test& test, const version_evidence& evidence, const move_declaration& move,
                             const verdict_settings& settings, time_point now);
/// Returns whether the test has accepted the new version on the route.
[[nodiscard]] bool route_accepted(const move_test& test, std::string_view route,
                                  const verdict_settings& settings);
/// Whether a part of the test leans towards a bad verdict, so that the share of traffic should not grow now.
[[nodiscard]] bool is_doubtful(const move_test& test, const verdict_settings& settings);
/// Whether it is this route that leans so.
[[nodiscard]] bool is_doubtful(const move_test& test, std::string_view route,
                               const verdict_settings& settings);
/// Latency from which an answer counts as slow, so that one that is still awaited counts already; none if too
/// little is known of the old version.
[[nodiscard]] std::optional<duration> slow_latency(const move_test& test, const std::string& route,
                                                   std::uint32_t load_level,
                                                   const verdict_settings& settings);

//-----------------------------------------------------------------------------
// [SECTION] Traffic share
//-----------------------------------------------------------------------------

enum class move_phase : std::uint8_t {
    before,     // not started yet
    exposure,   // the test is undecided
    ramp,       // accepted; the share of traffic grows
    complete,   // all traffic goes to the new version
    rolled_back // bad verdict, or rollback ordered by operators
};

[[nodiscard]] move_phase phase_of(const move_declaration& move, const move_test* test, bool condemned,
                                  time_point now);

/// Maximum share of the pool's requests that may currently run on the new version, 0 to 1.
[[nodiscard]] double traffic_share(const move_declaration& move, const move_test* test, bool condemned,
                                   time_point now);

/// Credit for requests that may run on the new version. Each router sends at most `share` of the requests
/// that it starts to the new version, so that the fleet as a whole stays within the share without
/// coordination.
struct exposure_credit {
    double balance{};
};
/// Adds the credit for one started request.
void add_credit(exposure_credit& credit, double share);
/// Spends the credit of one request if available; returns whether it was.
[[nodiscard]] bool spend_credit(exposure_credit& credit);
/// Returns the credit of a request that did not run on the new version.
void refund_credit(exposure_credit& credit);

/// The move of the pool that started last, else the next one to start; null if there is none.
[[nodiscard]] const move_declaration* current_move(const configuration& config, std::string_view pool,
                                                   time_point now);

//-----------------------------------------------------------------------------
// [SECTION] Load schedule
//-----------------------------------------------------------------------------

/// Name of the target that may load a version in the current time slot, or empty. Depends only on the names
/// and the time, so that all routers agree without a leader and the rate limit of the weight store also holds
/// during a network partition.
[[nodiscard]] std::string_view load_slot_owner(std::span<const std::string> sorted_names,
                                               std::uint32_t loads_per_minute, time_point now);

/// Version that the target should load in its time slot, or empty.
[[nodiscard]] std::string version_to_load(const move_declaration& move, move_phase phase, double share,
                                          std::string_view present, std::size_t on_new, std::size_t all);

} // namespace damaskhill
