// Measures how the cost of capacity decisions (pick, charge, merge and place) grows with the fleet, and
// derives the control load at the two-year size of design 1.4.
//
// Index of this file:
// [SECTION] Measurement
// [SECTION] Decisions
// [SECTION] Bench

#include "damaskhill_bench.hpp"
#include "damaskhill_fairness.hpp"
#include "damaskhill_placement.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>

#include <malloc.h>

namespace damaskhill::bench {

namespace {

//-----------------------------------------------------------------------------
// [SECTION] Measurement
//-----------------------------------------------------------------------------

constexpr time_point start_time{std::chrono::hours{1000}};

template <class F>
double nanoseconds_per_decision(F&& decision) {
    constexpr int rounds = 15;
    constexpr int calls = 2000;
    return min_nanoseconds_per_call(rounds, calls, decision);
}

std::size_t heap_bytes() { return mallinfo2().uordblks; }

//-----------------------------------------------------------------------------
// [SECTION] Decisions
//-----------------------------------------------------------------------------

struct decision_figures {
    double pick_ns{};            // choosing the least served waiting account and charging it
    double reservation_row_ns{}; // applying one reservation row
    double charge_ns{};          // one charge to a router's ledger
    double merge_ns{};           // merging one row of a report
    double place_ns{};           // choosing the sidecars that first learn of an arrival, among those linked
    double waiting_bytes{};      // per waiting account in a sidecar's scheduler
    double ledger_bytes{};       // per account in a router's ledger
    double report_bytes{};       // per account and reporting incarnation at the aggregating router
};

void measure_scheduler(std::size_t waiting_accounts, random_source& random, decision_figures& f) {
    const std::size_t heap_before = heap_bytes();
    fair_scheduler scheduler;
    time_point now = start_time;
    for (std::uint64_t a = 0; a < waiting_accounts; ++a)
        scheduler.set_waiting(account_id{a * 7919},
                              {1.0 + random.next_unit(), 1e4 * random.next_unit(), 0s, 0s}, now);
    f.waiting_bytes = static_cast<double>(heap_bytes() - heap_before) / static_cast<double>(waiting_accounts);
    f.pick_ns = nanoseconds_per_decision([&] {
        now += 1ms;
        account_id chosen;
        scheduler.visit_least_served_first([&](account_id account) {
            chosen = account;
            return true;
        });
        scheduler.charge(chosen, 100.0, now);
        scheduler.expire(now);
    });
    f.reservation_row_ns = nanoseconds_per_decision([&] {
        const account_id account{(random.next() % waiting_accounts) * 7919};
        scheduler.set_waiting(account, {1.0, 1e4 * random.next_unit(), 0s, 0s}, now);
    });
}

void measure_ledger(std::size_t accounts, std::size_t daemons, random_source& random, decision_figures& f) {
    const ledger_settings settings;
    std::size_t heap_before = heap_bytes();
    service_ledger ledger;
    for (std::uint64_t a = 0; a < accounts; ++a)
        charge(ledger, settings, account_id{a * 7919}, "lm", 1.0, start_time);
    ledger.unreported.clear();
    f.ledger_bytes = static_cast<double>(heap_bytes() - heap_before) / static_cast<double>(accounts);
    f.charge_ns = nanoseconds_per_decision([&] {
        charge(ledger, settings, account_id{(random.next() % accounts) * 7919}, "lm", 1.0, start_time);
    });
    // Each router aggregates only the accounts that rendezvous hashing assigns to it.
    const std::size_t aggregated_accounts = std::max<std::size_t>(1, accounts / daemons);
    heap_before = heap_bytes();
    service_totals totals;
    double units = 1.0;
    const auto merge = [&](std::uint64_t account, std::uint64_t owner) {
        const service_row row{account_id{account}, "lm", units, false, 1.0};
        merge_report(totals, settings, {owner * 104729, owner}, row, start_time);
    };
    for (std::uint64_t a = 0; a < aggregated_accounts; ++a) {
        for (std::uint64_t d = 0; d < daemons; ++d)
            merge(a, d);
    }
    f.report_bytes =
        static_cast<double>(heap_bytes() - heap_before) / static_cast<double>(aggregated_accounts * daemons);
    f.merge_ns = nanoseconds_per_decision([&] {
        units += 1.0;
        merge(random.next() % aggregated_accounts, random.next() % daemons);
    });
}

decision_figures measure(std::size_t accounts, std::size_t targets, std::size_t daemons, std::uint64_t seed) {
    random_source random{seed};
    decision_figures f;
    measure_scheduler(std::max<std::size_t>(16, accounts / 10), random, f);
    measure_ledger(accounts, daemons, random, f);
    // A router links to at most 16 sidecars of a pool (design 6.3), however many targets there are.
    std::vector<placement_candidate> candidates;
    for (link_id link = 1; link <= std::min<std::size_t>(16, targets); ++link)
        candidates.push_back({link, 8.0, false});
    f.place_ns = nanoseconds_per_decision([&] { (void)choose_initial_sidecars(candidates, {}, random); });
    return f;
}

//-----------------------------------------------------------------------------
// [SECTION] Bench
//-----------------------------------------------------------------------------

std::string format_figures(const decision_figures& f) {
    std::array<char, 300> buffer{};
    std::snprintf(
        buffer.data(), buffer.size(),
        "ns: pick %.0f row %.0f charge %.0f merge %.0f place %.0f; bytes: waiting account %.0f, ledger "
        "account %.0f, report %.0f",
        f.pick_ns, f.reservation_row_ns, f.charge_ns, f.merge_ns, f.place_ns, f.waiting_bytes, f.ledger_bytes,
        f.report_bytes);
    return buffer.data();
}

// Returns the exponent e of cost ~ size^e, fitted to the costs at two sizes.
double fit_exponent(double small, double large, double size_ratio) {
    return std::log(large / small) / std::log(size_ratio);
}

std::vector<row> run_decision_cost(std::uint64_t seed) {
    constexpr std::size_t accounts = 22'000;
    constexpr std::size_t targets = 2'000;
    constexpr std::size_t daemons = 370;
    (void)measure(16, 15, 3, seed); // warms up the caches and the processor clock
    const decision_figures small = measure(16, 15, 3, seed);
    const decision_figures large = measure(accounts, targets, daemons, seed);
    const double size_ratio = accounts / 16.0;
    const double worst_exponent =
        std::max({fit_exponent(small.pick_ns, large.pick_ns, accounts / 160.0),
                  fit_exponent(small.reservation_row_ns, large.reservation_row_ns, accounts / 160.0),
                  fit_exponent(small.charge_ns, large.charge_ns, size_ratio),
                  fit_exponent(small.merge_ns, large.merge_ns, size_ratio),
                  fit_exponent(small.place_ns, large.place_ns, targets / 15.0)});
    // At these sizes logarithmic cost fits an exponent well below 1/2, even with cache misses; a linear scan
    // has exponent 1.
    constexpr double exponent_bound = 0.5;

    // Design 1.4: 27,000 requests/s and 9.2 M tokens/s over 370 daemons. Worst case: all streams have
    // exceeded their estimates and are charged step by step. 30 accounts wait in each router, which reports
    // them to 16 sidecars ten times a second.
    const double starts_per_daemon = 27'000.0 / daemons;
    constexpr double charge_step = 16.0; // units, as in the sidecar
    const double charge_steps_per_s = 9.2e6 / charge_step;
    const double router_ns = starts_per_daemon * (2 * large.charge_ns + 2 * large.merge_ns + large.place_ns) +
                             charge_steps_per_s / daemons * large.charge_ns + 2 * 30 * large.merge_ns;
    const double sidecar_ns = 27'000.0 / targets * large.pick_ns +
                              charge_steps_per_s / targets * large.pick_ns +
                              27.0 * 30 * 10 * large.reservation_row_ns;
    const double core_percent = 100.0 * std::max(router_ns, sidecar_ns) / 1e9;
    const double router_bytes = accounts * large.ledger_bytes + accounts * large.report_bytes;
    const double sidecar_bytes = accounts / 10.0 * large.waiting_bytes;
    const double megabytes = std::max(router_bytes, sidecar_bytes) / 1e6;
    std::array<char, 120> core_detail{};
    std::snprintf(core_detail.data(), core_detail.size(), "router %.3f %%, sidecar %.3f %% of a core",
                  router_ns / 1e7, sidecar_ns / 1e7);
    return {{"decision_cost", worst_exponent, "exponent", exponent_bound, worst_exponent <= exponent_bound,
             "small (16 accounts): " + format_figures(small)},
            {"decision_cost_core", core_percent, "%", 1.1, core_percent <= 1.1, core_detail.data()},
            {"decision_cost_memory", megabytes, "MB", 128.0, megabytes <= 128.0,
             "large (22000 accounts): " + format_figures(large)}};
}

const register_bench registered{"decision_cost", run_decision_cost};

} // namespace

} // namespace damaskhill::bench
