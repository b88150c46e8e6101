// Version moves: the share of traffic that a new version gets, and the verdict on it.
//
// Index of this file:
// [SECTION] Evidence
// [SECTION] Verdict
// [SECTION] Share of traffic

#pragma once

#include "damaskhill_messages.hpp"

#include <map>
#include <set>

namespace damaskhill {

//-----------------------------------------------------------------------------
// [SECTION] Evidence
//-----------------------------------------------------------------------------

struct evidence_counts {
    std::uint64_t attempts{};
    std::uint64_t failures{};
    std::uint64_t slow{};
};

struct evidence_key {
    std::string pool;
    std::string version;
    std::string route;
    std::uint32_t load_level{};
    friend auto operator<=>(const evidence_key&, const evidence_key&) = default;
};

/// Outcomes by router incarnation; each count grows only and merges by maximum.
struct version_evidence {
    std::map<std::pair<incarnation_id, evidence_key>, evidence_counts> counts;
    std::map<evidence_key, evidence_counts> totals;
};

/// Counts one attempt of this router incarnation.
void note_attempt(version_evidence& evidence, incarnation_id self, const evidence_key& key, bool failed,
                  bool slow);
/// Merges the counts of another router; returns true if something was new.
bool merge_evidence(version_evidence& evidence, incarnation_id owner, const evidence_row& row);

//-----------------------------------------------------------------------------
// [SECTION] Verdict
//-----------------------------------------------------------------------------

struct verdict_settings {
    double false_alarm{0.001};     // probability of condemning a version as good as the old one
    double miss{0.001};            // probability of accepting a version with the worst tolerated excess
    double tolerated_excess{0.05}; // failures or slow answers above the old version's rate, probability
};

enum class version_verdict : std::uint8_t { undecided, good, bad };

/// Wald's sequential probability ratio test on each route and load level of the new version against the rate
/// of the old one. Bad on any of them is bad; good needs every one with evidence to be good.
[[nodiscard]] version_verdict judge(const version_evidence& evidence, const move_declaration& move,
                                    const verdict_settings& settings);

//-----------------------------------------------------------------------------
// [SECTION] Share of traffic
//-----------------------------------------------------------------------------

/// Share of the pool's requests that the new version may get now, 0 to 1.
[[nodiscard]] double traffic_share(const move_declaration& move, version_verdict verdict, bool condemned,
                                   time_point now);

} // namespace damaskhill
