// Version moves: evidence on the new version, the test of it against the old one, its share of traffic, and
// the turns in which targets load a version.
//
// Index of this file:
// [SECTION] Evidence
// [SECTION] Test
// [SECTION] Share of traffic
// [SECTION] Turns at the weight store

#pragma once

#include "damaskhill_messages.hpp"

#include <array>
#include <map>
#include <set>

namespace damaskhill {

//-----------------------------------------------------------------------------
// [SECTION] Evidence
//-----------------------------------------------------------------------------

/// Latencies are kept in buckets whose upper bounds grow by the fourth root of two, from 1 ms to 65 s.
inline constexpr std::size_t latency_bucket_count = 64;

/// Load level of an attempt: how full its target was when the attempt started, against the warm limit.
inline constexpr std::uint32_t load_level_low = 0;     // below a third
inline constexpr std::uint32_t load_level_medium = 1;  // below two thirds
inline constexpr std::uint32_t load_level_high = 2;    // above
inline constexpr std::uint32_t load_level_warming = 3; // the target was warming up: latency is not judged

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

/// Outcomes by router incarnation; each count grows only and merges by maximum.
struct version_evidence {
    std::map<std::pair<incarnation_id, evidence_key>, evidence_counts> counts;
    std::map<evidence_key, evidence_counts> totals;
};

/// Bucket of a latency.
[[nodiscard]] std::size_t latency_bucket(duration latency);
/// Load level of a target with this many running calls.
[[nodiscard]] std::uint32_t load_level_of(std::size_t running, std::uint32_t warm_limit);
/// Counts one attempt of this router incarnation; the latency is that of a completed attempt.
void record_attempt(version_evidence& evidence, incarnation_id self, const evidence_key& key, bool failed,
                    duration latency);
/// Merges the counts of another router; returns true if something was new.
bool merge_evidence(version_evidence& evidence, incarnation_id owner, const evidence_row& row);
/// The wire form of one row.
[[nodiscard]] evidence_row to_row(const evidence_key& key, const evidence_counts& counts);

//-----------------------------------------------------------------------------
// [SECTION] Test
//-----------------------------------------------------------------------------

struct verdict_settings {
    double false_positive_rate{
        0.001}; // probability that a move to a version as good as the old one is taken back
    double false_negative_rate{0.001}; // probability of accepting a version with the worst tolerated excess
    double max_failure_excess{0.10};   // failures above the old version's rate that a version must not have
    double baseline_slow_rate{0.10};   // share of the old version's answers that are called slow
    double bad_slow_rate{0.50};        // share of slow answers that a version must not have
    double min_route_share{0.01};      // routes with a smaller share of the traffic are not waited for
    std::uint64_t min_baseline_attempts{50}; // of the old version before anything is compared with it
    double baseline_window{2000.0};          // attempts of the old version that its present rates rest on
    double max_cells{32.0};                  // tests of one move among which the false alarm rate is divided
    double monitored_attempts{100'000.0};    // of one cell after acceptance that the rate is stated for
};

enum class version_verdict : std::uint8_t { undecided, good, bad };

/// Recent outcomes of the old version on one route and load level.
struct baseline_rates {
    double attempts{};
    double failures{};
    double timed{};
    std::array<double, latency_bucket_count> latency{};
};

/// Log likelihood ratios of "bad" against "as good as the old one" for one route and load level.
struct test_cell {
    double failure_llr{};
    double latency_llr{};
    std::uint64_t attempts{};
    std::uint64_t timed{};
};

/// The test of one move as one router sees it.
struct move_test {
    time_point start{}; // of the move that it belongs to
    std::string to_version;
    version_verdict verdict{version_verdict::undecided};
    time_point accepted_at{};
    std::map<evidence_key, evidence_counts> processed;                         // counts already in the test
    std::map<std::pair<std::string, std::uint32_t>, baseline_rates> baseline;  // by route and load level
    std::map<std::pair<std::string, std::uint32_t>, test_cell> cells;          // by route and load level
    std::map<std::string, test_cell, std::less<>> routes;                      // all load levels of a route
    std::map<std::string, std::uint64_t, std::less<>> baseline_route_attempts; // since the move began
};

/// Takes the evidence that has arrived since the last call into the test and returns the verdict. A bad
/// verdict is final; a good one is watched further.
version_verdict advance_test(move_test& test, const version_evidence& evidence, const move_declaration& move,
                             const verdict_settings& settings, time_point now);
/// Whether the route's part of the test has accepted the new version.
[[nodiscard]] bool route_accepted(const move_test& test, std::string_view route,
                                  const verdict_settings& settings);

//-----------------------------------------------------------------------------
// [SECTION] Share of traffic
//-----------------------------------------------------------------------------

enum class move_phase : std::uint8_t {
    before,     // the start lies ahead
    exposure,   // the test is undecided
    ramp,       // accepted, the share grows
    complete,   // all traffic belongs on the new version
    rolled_back // bad verdict or operators' order
};

[[nodiscard]] move_phase phase_of(const move_declaration& move, const move_test* test, bool condemned,
                                  time_point now);

/// Share of the pool's requests that the new version may get now, 0 to 1.
[[nodiscard]] double traffic_share(const move_declaration& move, const move_test* test, bool condemned,
                                   time_point now);

/// Counts requests that may run on the new version. Each router owes the new version at most `share` of the
/// requests that it has itself started, so the sum over the fleet keeps the share without messages.
struct exposure_credit {
    double balance{};
};
/// Adds the share of one started request.
void add_credit(exposure_credit& credit, double share);
/// Takes one request's worth if it is there.
[[nodiscard]] bool spend_credit(exposure_credit& credit);
/// Gives back what a request did not use.
void refund_credit(exposure_credit& credit);

/// Move of the pool that is in force at the time, or null.
[[nodiscard]] const move_declaration* current_move(const configuration& config, std::string_view pool,
                                                   time_point now);

//-----------------------------------------------------------------------------
// [SECTION] Turns at the weight store
//-----------------------------------------------------------------------------

/// Name of the target whose turn it is to load a version, or empty. Depends only on the names and the time,
/// so that all routers agree without a leader and the store's rate holds in a partition.
[[nodiscard]] std::string_view load_slot_owner(std::span<const std::string> sorted_names,
                                               std::uint32_t loads_per_minute, time_point now);

/// Version that the target should load in its turn, or empty.
[[nodiscard]] std::string version_to_load(const move_declaration& move, move_phase phase, double share,
                                          std::string_view present, std::size_t on_new, std::size_t all);

} // namespace damaskhill
