// Index of this file:
// [SECTION] Evidence
// [SECTION] Verdict
// [SECTION] Share of traffic

#include "damaskhill_versions.hpp"

#include <algorithm>
#include <cmath>

namespace damaskhill {

//-----------------------------------------------------------------------------
// [SECTION] Evidence
//-----------------------------------------------------------------------------

void note_attempt(version_evidence& evidence, incarnation_id self, const evidence_key& key, bool failed,
                  bool slow) {
    for (auto* counts : {&evidence.counts[{self, key}], &evidence.totals[key]}) {
        counts->attempts += 1;
        counts->failures += failed ? 1 : 0;
        counts->slow += slow ? 1 : 0;
    }
}

bool merge_evidence(version_evidence& evidence, incarnation_id owner, const evidence_row& row) {
    const evidence_key key{row.pool, row.version, row.route, row.load_level};
    auto& known = evidence.counts[{owner, key}];
    if (row.attempts <= known.attempts) return false;
    auto& total = evidence.totals[key];
    total.attempts += row.attempts - known.attempts;
    total.failures += row.failures - std::min(row.failures, known.failures);
    total.slow += row.slow - std::min(row.slow, known.slow);
    known = {row.attempts, std::max(row.failures, known.failures), std::max(row.slow, known.slow)};
    return true;
}

//-----------------------------------------------------------------------------
// [SECTION] Verdict
//-----------------------------------------------------------------------------

namespace {

// Log likelihood ratio of "rate p1" against "rate p0" for k events in n trials.
double log_likelihood_ratio(double p0, double p1, double events, double trials) {
    return events * std::log(p1 / p0) + (trials - events) * std::log((1.0 - p1) / (1.0 - p0));
}

version_verdict decide(double events, double trials, double old_rate, const verdict_settings& settings) {
    constexpr double least_rate = 0.005; // an old version without failures must not make one failure decisive
    const double p0 = std::clamp(old_rate, least_rate, 0.5);
    const double p1 = std::min(0.95, p0 + settings.tolerated_excess);
    const double ratio = log_likelihood_ratio(p0, p1, events, trials);
    if (ratio >= std::log((1.0 - settings.miss) / settings.false_alarm)) return version_verdict::bad;
    if (ratio <= std::log(settings.miss / (1.0 - settings.false_alarm))) return version_verdict::good;
    return version_verdict::undecided;
}

double rate(std::uint64_t events, std::uint64_t trials) {
    return trials == 0 ? 0.0 : static_cast<double>(events) / static_cast<double>(trials);
}

} // namespace

version_verdict judge(const version_evidence& evidence, const move_declaration& move,
                      const verdict_settings& settings) {
    bool any = false;
    bool all_good = true;
    for (const auto& [key, counts] : evidence.totals) {
        if (key.pool != move.pool || key.version != move.to_version) continue;
        evidence_key old_key = key;
        old_key.version = move.from_version;
        const auto old = evidence.totals.find(old_key);
        const evidence_counts before = old == evidence.totals.end() ? evidence_counts{} : old->second;
        const auto trials = static_cast<double>(counts.attempts);
        const auto failures = decide(static_cast<double>(counts.failures), trials,
                                     rate(before.failures, before.attempts), settings);
        const auto slowness =
            decide(static_cast<double>(counts.slow), trials, rate(before.slow, before.attempts), settings);
        if (failures == version_verdict::bad || slowness == version_verdict::bad) return version_verdict::bad;
        any = true;
        all_good = all_good && failures == version_verdict::good && slowness == version_verdict::good;
    }
    return any && all_good ? version_verdict::good : version_verdict::undecided;
}

//-----------------------------------------------------------------------------
// [SECTION] Share of traffic
//-----------------------------------------------------------------------------

double traffic_share(const move_declaration& move, version_verdict verdict, bool condemned, time_point now) {
    if (condemned || move.take_back || now < move.start || verdict == version_verdict::bad) return 0.0;
    if (verdict != version_verdict::good) return move.exposure;
    // The ramp ends a tenth of the period before the deadline, so that the last requests finish in time.
    const double period = to_seconds(move.deadline - move.start) * 0.9;
    const double elapsed = to_seconds(now - move.start);
    return std::clamp(elapsed / period, move.exposure, 1.0);
}

} // namespace damaskhill
