// Index of this file:
// [SECTION] Evidence
// [SECTION] Sequential test
// [SECTION] Traffic share
// [SECTION] Load schedule

#include "damaskhill_versions.hpp"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace damaskhill {

//-----------------------------------------------------------------------------
// [SECTION] Evidence
//-----------------------------------------------------------------------------

namespace {

constexpr double buckets_per_doubling = 4.0;

duration bucket_start(std::size_t bucket) {
    constexpr double first_us = 1000.0;
    const double us = first_us * std::exp2(static_cast<double>(bucket) / buckets_per_doubling);
    return duration{static_cast<std::int64_t>(std::ceil(us))};
}

} // namespace

std::size_t latency_bucket(duration latency) {
    const double ms = std::max(1.0, to_milliseconds(latency));
    const auto bucket = static_cast<std::size_t>(std::log2(ms) * buckets_per_doubling);
    return std::min(bucket, latency_bucket_count - 1);
}

std::uint32_t load_level_of(std::size_t running, std::uint32_t warm_limit) {
    if (running * 3 < warm_limit) return load_level_low;
    if (running * 3 < std::size_t{warm_limit} * 2) return load_level_medium;
    return load_level_high;
}

void record_attempt(version_evidence& evidence, incarnation_id self, const evidence_key& key, bool failed,
                    duration latency) {
    for (auto* counts : {&evidence.counts[{self, key}], &evidence.totals[key]}) {
        counts->attempts += 1;
        counts->failures += failed ? 1 : 0;
        if (!failed) counts->latency[latency_bucket(latency)] += 1;
    }
}

namespace {

// Updates a grow-only count and adds the increase to the total.
void raise_count(std::uint64_t& known, std::uint64_t reported, std::uint64_t& total) {
    if (reported <= known) return;
    total += reported - known;
    known = reported;
}

} // namespace

bool merge_evidence(version_evidence& evidence, incarnation_id owner, const evidence_row& row) {
    const evidence_key key{row.pool, row.version, row.route, row.load_level};
    auto& known = evidence.counts[{owner, key}];
    if (row.attempts <= known.attempts) return false;
    auto& total = evidence.totals[key];
    raise_count(known.attempts, row.attempts, total.attempts);
    raise_count(known.failures, row.failures, total.failures);
    const std::size_t buckets = std::min(row.latency.size(), latency_bucket_count);
    for (std::size_t i = 0; i < buckets; ++i)
        raise_count(known.latency[i], row.latency[i], total.latency[i]);
    return true;
}

evidence_row to_row(const evidence_key& key, const evidence_counts& counts) {
    evidence_row row{key.pool, key.version, key.route, key.load_level, counts.attempts, counts.failures, {}};
    std::size_t used = latency_bucket_count;
    while (used > 0 && counts.latency[used - 1] == 0)
        --used;
    row.latency.assign(counts.latency.begin(), counts.latency.begin() + static_cast<std::ptrdiff_t>(used));
    return row;
}

//-----------------------------------------------------------------------------
// [SECTION] Sequential test
//-----------------------------------------------------------------------------

namespace {

// Share of the false positive rate allotted to the exposure phase; the rest is for monitoring after
// acceptance.
constexpr double exposure_alarm_share = 0.5;

double accept_bound(const verdict_settings& s) { return std::log(s.false_negative_rate); }

// Log likelihood ratio at which a version is condemned. Before acceptance this is Wald's bound, which holds
// for any number of evaluations (Ville's inequality), with the error rate divided among the cells and the
// measures of each. After acceptance the ratio is clamped to the acceptance bound from below, so every
// attempt may start a new excursion; the error rate is therefore also divided by the number of attempts.
double condemn_bound(const verdict_settings& s, bool accepted) {
    const double tests = s.max_cells * static_cast<double>(test_measure_count);
    if (!accepted) return std::log(tests / (s.false_positive_rate * exposure_alarm_share));
    const double climbs = tests * s.monitored_attempts;
    return accept_bound(s) + std::log(climbs / (s.false_positive_rate * (1.0 - exposure_alarm_share)));
}

// Log likelihood ratio of rate p1 versus rate p0 for a number of events in a number of trials.
double log_likelihood_ratio(double p0, double p1, double events, double trials) {
    return events * std::log(p1 / p0) + (trials - events) * std::log((1.0 - p1) / (1.0 - p0));
}

// Two standard errors above the observed rate: the old rate is an estimate, and the false positive rate of
// the test holds only if the old rate is not underestimated.
double upper_rate(double events, double trials) {
    const double rate = (events + 1.0) / (trials + 2.0);
    return rate + 2.0 * std::sqrt(rate * (1.0 - rate) / (trials + 2.0));
}

void add_baseline(move_test& test, const evidence_key& key, const evidence_counts& current, double window) {
    evidence_counts& processed = test.processed[key];
    baseline_rates& rates = test.baseline[{key.route, key.load_level}];
    const auto attempts = static_cast<double>(current.attempts - processed.attempts);
    if (attempts <= 0.0) return;
    test.baseline_route_attempts[key.route] += current.attempts - processed.attempts;
    rates.attempts += attempts;
    rates.failures += static_cast<double>(current.failures - processed.failures);
    for (std::size_t i = 0; i < latency_bucket_count; ++i) {
        const auto added = static_cast<double>(current.latency[i] - processed.latency[i]);
        rates.latency[i] += added;
        rates.timed += added;
    }
    processed = current;
    if (rates.attempts <= window) return;
    const double scale = window / rates.attempts;
    rates.attempts *= scale;
    rates.failures *= scale;
    rates.timed *= scale;
    for (double& count : rates.latency)
        count *= scale;
}

// Outcomes of the old version on the route over all load levels.
baseline_rates pooled_baseline(const move_test& test, std::string_view route) {
    baseline_rates sum;
    for (const auto& [key, rates] : test.baseline) {
        if (key.first != route) continue;
        sum.attempts += rates.attempts;
        sum.failures += rates.failures;
    }
    return sum;
}

// Latencies of the old version at the same load level, or at the next higher one with at least `min_attempts`
// samples; null if there is none. Lower levels are not used: a new target under higher load would look slow.
const baseline_rates* comparable_baseline(const move_test& test, const std::string& route,
                                          std::uint32_t level, double min_attempts) {
    for (std::uint32_t candidate_level = level; candidate_level <= load_level_high; ++candidate_level) {
        const auto found = test.baseline.find({route, candidate_level});
        if (found != test.baseline.end() && found->second.timed >= min_attempts) return &found->second;
    }
    return nullptr;
}

// First bucket that counts as slow: above the bucket that contains the old version's (1 - rate) quantile and
// the margin.
std::size_t first_slow_bucket(const baseline_rates& old, double rate, const verdict_settings& s) {
    double above = 0.0;
    std::size_t bucket = latency_bucket_count;
    while (bucket > 0 && above + old.latency[bucket - 1] <= rate * old.timed) {
        --bucket;
        above += old.latency[bucket];
    }
    return bucket + s.slow_margin;
}

template <class Counts>
double count_at_or_above(const Counts& latency, std::size_t from) {
    double sum = 0.0;
    for (std::size_t i = from; i < latency_bucket_count; ++i)
        sum += static_cast<double>(latency[i]);
    return sum;
}

double& ratio_of(test_cell& cell, test_measure measure) {
    return cell.llr[static_cast<std::size_t>(measure)];
}

double ratio_of(const test_cell& cell, test_measure measure) {
    return cell.llr[static_cast<std::size_t>(measure)];
}

// Adds a step to a ratio. After acceptance the ratio does not fall below the acceptance bound; otherwise
// earlier good results would delay the detection of a version that turns bad later.
void add_step(double& ratio, double step, bool accepted, double floor) {
    ratio += step;
    if (accepted) ratio = std::max(ratio, floor);
}

void add_failures(std::span<test_cell* const> cells, const baseline_rates& old, double failures,
                  std::uint64_t attempts, bool accepted, const verdict_settings& s) {
    // Lower bound of the baseline rate: if the old version had no failures, a single failure must not decide.
    constexpr double min_rate = 0.005;
    const double p0 = std::clamp(upper_rate(old.failures, old.attempts), min_rate, 0.8);
    for (test_cell* cell : cells) {
        cell->attempts += attempts;
        for (const auto& [measure, excess] :
             {std::pair{test_measure::small_failure_excess, s.small_failure_excess},
              std::pair{test_measure::failure_excess, s.max_failure_excess},
              std::pair{test_measure::large_failure_excess, s.large_failure_excess}}) {
            const double p1 = std::min(0.95, p0 + excess);
            add_step(ratio_of(*cell, measure),
                     log_likelihood_ratio(p0, p1, failures, static_cast<double>(attempts)), accepted,
                     accept_bound(s));
        }
    }
}

void add_latencies(std::span<test_cell* const> cells, const baseline_rates& old,
                   const std::array<std::uint64_t, latency_bucket_count>& added, bool accepted,
                   const verdict_settings& s) {
    constexpr double max_baseline = 0.45; // below bad_slow_rate
    const std::size_t from = first_slow_bucket(old, s.baseline_slow_rate, s);
    const double old_rate = upper_rate(count_at_or_above(old.latency, from), old.timed);
    const double timed = count_at_or_above(added, 0);
    const double slow = count_at_or_above(added, from);
    const double usual = std::clamp(old_rate, s.baseline_slow_rate, max_baseline);
    const double own = std::clamp(old_rate, s.min_slow_rate, max_baseline);
    const double bad = std::min(0.95, own + s.bad_slow_excess);
    for (test_cell* cell : cells) {
        cell->timed += static_cast<std::uint64_t>(timed);
        add_step(ratio_of(*cell, test_measure::slow),
                 log_likelihood_ratio(usual, s.bad_slow_rate, slow, timed), accepted, accept_bound(s));
        add_step(ratio_of(*cell, test_measure::slow_excess), log_likelihood_ratio(own, bad, slow, timed),
                 accepted, accept_bound(s));
    }
}

void add_candidate(move_test& test, const evidence_key& key, const evidence_counts& current,
                   const verdict_settings& s) {
    evidence_counts& processed = test.processed[key];
    const std::uint64_t attempts = current.attempts - processed.attempts;
    if (attempts == 0) return;
    const baseline_rates old = pooled_baseline(test, key.route);
    const auto min_attempts = static_cast<double>(s.min_baseline_attempts);
    if (old.attempts < min_attempts) return; // not enough baseline data yet
    const bool accepted = test.verdict == version_verdict::good;
    const std::array<test_cell*, 2> cells{&test.cells[{key.route, key.load_level}], &test.routes[key.route]};
    add_failures(cells, old, static_cast<double>(current.failures - processed.failures), attempts, accepted,
                 s);
    const baseline_rates* comparable =
        key.load_level == load_level_warming
            ? nullptr
            : comparable_baseline(test, key.route, key.load_level, min_attempts);
    if (comparable != nullptr) {
        std::array<std::uint64_t, latency_bucket_count> added{};
        for (std::size_t i = 0; i < latency_bucket_count; ++i)
            added[i] = current.latency[i] - processed.latency[i];
        add_latencies(cells, *comparable, added, accepted, s);
    }
    processed = current;
}

template <class Predicate>
bool any_cell(const move_test& test, Predicate&& matches) {
    const auto has_match = [&](const auto& entry) { return matches(entry.second); };
    return std::ranges::any_of(test.cells, has_match) || std::ranges::any_of(test.routes, has_match);
}

bool any_cell_bad(const move_test& test, const verdict_settings& s) {
    const double bound = condemn_bound(s, test.verdict == version_verdict::good);
    return any_cell(test, [&](const test_cell& cell) { return std::ranges::max(cell.llr) >= bound; });
}

// Every route with at least min_route_share of the traffic must have been accepted.
bool all_routes_accepted(const move_test& test, const verdict_settings& s) {
    std::uint64_t all = 0;
    for (const auto& [route, attempts] : test.baseline_route_attempts)
        all += attempts;
    if (all < s.min_baseline_attempts) return false;
    const double min_attempts = s.min_route_share * static_cast<double>(all);
    return std::ranges::all_of(test.baseline_route_attempts, [&](const auto& entry) {
        return static_cast<double>(entry.second) < min_attempts || route_accepted(test, entry.first, s);
    });
}

// Records the acceptance and raises every ratio to the acceptance bound, where monitoring starts.
void begin_monitoring(move_test& test, const verdict_settings& s, time_point now) {
    test.verdict = version_verdict::good;
    test.accepted_at = now;
    const double floor = accept_bound(s);
    const auto raise_to_floor = [&](test_cell& cell) {
        for (double& ratio : cell.llr)
            ratio = std::max(ratio, floor);
    };
    for (auto& [key, cell] : test.cells)
        raise_to_floor(cell);
    for (auto& [key, cell] : test.routes)
        raise_to_floor(cell);
}

} // namespace

bool route_accepted(const move_test& test, std::string_view route, const verdict_settings& settings) {
    const auto found = test.routes.find(route);
    if (found == test.routes.end()) return false;
    const double bound = accept_bound(settings);
    const test_cell& cell = found->second;
    return ratio_of(cell, test_measure::failure_excess) <= bound &&
           ratio_of(cell, test_measure::slow) <= bound;
}

namespace {

bool is_doubtful(const move_test& test, const test_cell& cell, const verdict_settings& s) {
    // A version as good as the old one climbs this far once in 400 times.
    constexpr double doubtful_climb = 6.0;
    const double floor = test.verdict == version_verdict::good ? accept_bound(s) : 0.0;
    return std::ranges::max(cell.llr) >= floor + doubtful_climb;
}

} // namespace

bool is_doubtful(const move_test& test, const verdict_settings& settings) {
    return any_cell(test, [&](const test_cell& cell) { return is_doubtful(test, cell, settings); });
}

bool is_doubtful(const move_test& test, std::string_view route, const verdict_settings& settings) {
    const auto sum = test.routes.find(route);
    return (sum != test.routes.end() && is_doubtful(test, sum->second, settings)) ||
           std::ranges::any_of(test.cells, [&](const auto& entry) {
               return entry.first.first == route && is_doubtful(test, entry.second, settings);
           });
}

std::optional<duration> slow_latency(const move_test& test, const std::string& route,
                                     std::uint32_t load_level, const verdict_settings& settings) {
    if (load_level == load_level_warming) return std::nullopt;
    const baseline_rates* old =
        comparable_baseline(test, route, load_level, static_cast<double>(settings.min_baseline_attempts));
    if (old == nullptr) return std::nullopt;
    return bucket_start(first_slow_bucket(*old, settings.baseline_slow_rate, settings));
}

version_verdict advance_test(move_test& test, const version_evidence& evidence, const move_declaration& move,
                             const verdict_settings& settings, time_point now) {
    return advance_test(test, evidence, {move.pool, move.from_version, move.to_version, move.start}, settings,
                        now);
}

version_verdict advance_test(move_test& test, const version_evidence& evidence,
                             const version_comparison& versions, const verdict_settings& settings,
                             time_point now) {
    if (test.start != versions.start || test.to_version != versions.new_version) {
        test = {};
        test.start = versions.start;
        test.to_version = versions.new_version;
        // Outcomes of the old version before the start of this move are not counted.
        for (const auto& [key, counts] : evidence.totals) {
            if (key.pool == versions.pool && key.version == versions.old_version)
                test.processed[key] = counts;
        }
    }
    if (test.verdict == version_verdict::bad) return test.verdict;
    for (const auto& [key, counts] : evidence.totals) {
        if (key.pool == versions.pool && key.version == versions.old_version)
            add_baseline(test, key, counts, settings.baseline_window);
    }
    for (const auto& [key, counts] : evidence.totals) {
        if (key.pool == versions.pool && key.version == versions.new_version)
            add_candidate(test, key, counts, settings);
    }
    if (any_cell_bad(test, settings)) {
        test.verdict = version_verdict::bad;
    } else if (test.verdict == version_verdict::undecided && all_routes_accepted(test, settings)) {
        begin_monitoring(test, settings, now);
    }
    return test.verdict;
}

//-----------------------------------------------------------------------------
// [SECTION] Traffic share
//-----------------------------------------------------------------------------

namespace {

// The ramp ends a tenth of the period before the deadline so that the last requests finish in time.
time_point ramp_end(const move_declaration& move) {
    return move.deadline - (move.deadline - move.start) / 10;
}

} // namespace

move_phase phase_of(const move_declaration& move, const move_test* test, bool condemned, time_point now) {
    if (condemned || move.take_back) return move_phase::rolled_back;
    if (now < move.start) return move_phase::before;
    const version_verdict verdict = test == nullptr ? version_verdict::undecided : test->verdict;
    if (verdict == version_verdict::bad) return move_phase::rolled_back;
    if (verdict == version_verdict::undecided) return move_phase::exposure;
    return now >= ramp_end(move) ? move_phase::complete : move_phase::ramp;
}

double traffic_share(const move_declaration& move, const move_test* test, bool condemned, time_point now) {
    switch (phase_of(move, test, condemned, now)) {
    case move_phase::exposure:
        return move.exposure;
    case move_phase::complete:
        return 1.0;
    case move_phase::ramp: {
        const double ramp_seconds = to_seconds(ramp_end(move) - test->accepted_at);
        const double elapsed_part = to_seconds(now - test->accepted_at) / std::max(ramp_seconds, 1e-3);
        return std::clamp(move.exposure + (1.0 - move.exposure) * elapsed_part, move.exposure, 1.0);
    }
    default:
        return 0.0;
    }
}

void add_credit(exposure_credit& credit, double share) {
    constexpr double most = 8.0; // limits the burst to a target that returns after an absence
    credit.balance = std::min(most, credit.balance + share);
}

bool spend_credit(exposure_credit& credit) {
    // Repeated additions of a share do not sum to exactly one.
    constexpr double rounding = 1e-9;
    if (credit.balance < 1.0 - rounding) return false;
    credit.balance -= 1.0;
    return true;
}

void refund_credit(exposure_credit& credit) { credit.balance += 1.0; }

const move_declaration* current_move(const configuration& config, std::string_view pool, time_point now) {
    const move_declaration* current = nullptr;
    for (const move_declaration& move : config.moves) {
        if (move.pool != pool) continue;
        const bool started = move.start <= now;
        const bool later = current == nullptr || (started && move.start > current->start) ||
                           (current->start > now && move.start < current->start);
        if (later) current = &move;
    }
    return current;
}

//-----------------------------------------------------------------------------
// [SECTION] Load schedule
//-----------------------------------------------------------------------------

std::string_view load_slot_owner(std::span<const std::string> sorted_names, std::uint32_t loads_per_minute,
                                 time_point now) {
    if (sorted_names.empty() || loads_per_minute == 0) return {};
    const duration period = duration{std::chrono::minutes{1}} / loads_per_minute;
    const auto slot = static_cast<std::uint64_t>(now.time_since_epoch() / period);
    return sorted_names[slot % sorted_names.size()];
}

std::string version_to_load(const move_declaration& move, move_phase phase, double share,
                            std::string_view present, std::size_t on_new, std::size_t all) {
    if (phase == move_phase::rolled_back)
        return present == move.to_version ? move.from_version : std::string{};
    if (phase == move_phase::before || present != move.from_version) return {};
    const auto wanted = phase == move_phase::exposure
                            ? std::size_t{1}
                            : static_cast<std::size_t>(std::ceil(share * static_cast<double>(all)));
    return on_new < wanted ? move.to_version : std::string{};
}

} // namespace damaskhill
