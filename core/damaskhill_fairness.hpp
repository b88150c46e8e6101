// Fairness between client accounts: service counters across the fleet, and fair scheduling by them.
//
// Index of this file:
// [SECTION] Decaying sums
// [SECTION] Service ledger (routers)
// [SECTION] Aggregation (routers)
// [SECTION] Fair scheduling (sidecars)

#pragma once

#include "damaskhill_messages.hpp"

#include <deque>
#include <map>
#include <set>
#include <unordered_map>

namespace damaskhill {

//-----------------------------------------------------------------------------
// [SECTION] Decaying sums
//-----------------------------------------------------------------------------

/// Sum of service units that halves with each half-life.
struct decaying_sum {
    double value{}; // at `updated_at`
    time_point updated_at{};
};

/// Value now, units.
[[nodiscard]] double value_at(const decaying_sum& sum, time_point now, duration half_life);
/// Adds units (may be negative); the sum never falls below zero.
void add_to(decaying_sum& sum, double units, time_point now, duration half_life);

//-----------------------------------------------------------------------------
// [SECTION] Service ledger (routers)
//-----------------------------------------------------------------------------

struct ledger_settings {
    duration half_life{60s}; // of all sums; bounds the effect of lost counters
    duration report_period{500ms};
    std::size_t rows_per_report{1000}; // per period; the remaining rows are sent in later periods
};

/// Account and pool.
using service_key = std::pair<account_id, std::string>;

/// Service of accounts in pools: charges of this router incarnation and recent service through the others.
struct service_ledger {
    struct entry {
        double total_charged{}; // sum of the absolute values of own charges and corrections; never decreases
        decaying_sum recent;    // own net charges
        decaying_sum remote_service;    // through other incarnations, from the aggregation router
        time_point total_received_at{}; // zero: never
        time_point last_charged{};      // last positive charge
        std::string aggregator_name;    // aggregation router in `epoch`
        std::uint64_t epoch{};
    };
    std::map<service_key, entry> entries;
    std::set<service_key> unreported; // changed since they were last reported
    std::uint64_t epoch{1};           // incremented when the set of live routers changes
};

/// Charges units (negative: a correction) and marks the entry for the next report.
void charge(service_ledger& ledger, const ledger_settings& settings, account_id account,
            std::string_view pool, double units, time_point now);
/// Recent service across the fleet as known to this router, units.
[[nodiscard]] double fleet_service(const service_ledger& ledger, const ledger_settings& settings,
                                   account_id account, std::string_view pool, time_point now);
/// Age of the newest total from the aggregation router, at most a day; a day if none was received.
[[nodiscard]] duration total_age(const service_ledger& ledger, account_id account, std::string_view pool,
                                 time_point now);
/// Time since this router last charged the account, at most a day.
[[nodiscard]] duration unserved_time(const service_ledger& ledger, account_id account, std::string_view pool,
                                     time_point now);
/// Applies a row of a service_total.
void apply_total(service_ledger& ledger, const service_row& row, time_point now);
/// Builds a row of a report. The caller sets `waiting`.
[[nodiscard]] service_row make_report_row(const service_ledger& ledger, const ledger_settings& settings,
                                          const service_key& key, time_point now);
/// Starts an epoch after a change of the live routers: all entries are reported again, since the new
/// aggregation router of an account lacks its earlier reports.
void start_epoch(service_ledger& ledger);
/// Removes entries whose sums have decayed to a negligible value.
void expire(service_ledger& ledger, const ledger_settings& settings, time_point now);

//-----------------------------------------------------------------------------
// [SECTION] Aggregation (routers)
//-----------------------------------------------------------------------------

/// Recent service of accounts over all router incarnations, kept by the accounts' aggregation router.
/// Reports may be lost, repeated or reordered: of each incarnation only the report with the largest
/// total_charged counts, and it replaces the earlier one.
struct service_totals {
    struct report {
        double total_charged{}; // never decreases
        decaying_sum recent;
    };
    struct entry {
        std::map<incarnation_id, report> reports;
        decaying_sum sum; // of all reports and of removed incarnations
    };
    std::map<service_key, entry> entries;
};

/// Merges one row of a report.
void merge_report(service_totals& totals, const ledger_settings& settings, incarnation_id owner,
                  const service_row& row, time_point now);
/// Recent service across the fleet, units.
[[nodiscard]] double total_service(const service_totals& totals, const ledger_settings& settings,
                                   const service_key& key, time_point now);
/// Removes the reports of incarnations that have been silent for ten half-lives, whose part of the sum stays,
/// and entries that have decayed.
void expire(service_totals& totals, const ledger_settings& settings, time_point now);

//-----------------------------------------------------------------------------
// [SECTION] Fair scheduling (sidecars)
//-----------------------------------------------------------------------------

struct fair_scheduler_settings {
    duration half_life{60s}; // equal to ledger_settings::half_life
    /// Time for which local charges count, until a row arrives that contains them.
    duration local_charge_window{250ms};
    /// A total that is older than the newest one by more than this is ignored.
    duration max_total_lag{1s};
    duration idle_retention{5s}; // time for which an account that no longer waits is kept
    /// An account that was not served for this long has at most the service of the same time to repay.
    duration max_repay_time{2s};
    /// Largest uncompensated drop of a total, as a multiple of the account's largest charge.
    double max_drop_charges{4.0};
};

/// Account in a reservation row.
struct waiting_account {
    double share{1.0};
    double fleet_service{};   // recent, units
    duration total_age{};     // of the part of fleet_service that came from the aggregation router
    duration unserved_time{}; // since the sending router last charged the account
};

/// Weighted fair scheduling of the accounts that wait for one target, by position: (fleet service + recent
/// local charges + offset) / share. The floor is the lowest position. The offset raises an account that was
/// idle to the floor, so that idle time earns no credit. It lowers one far above the floor that was not
/// served for max_repay_time, so that no account is starved after a partition heals. Operations take O(log n)
/// time in the number of waiting accounts.
class fair_scheduler {
public:
    explicit fair_scheduler(fair_scheduler_settings settings = {}) : settings_(settings) {}

    /// Records that requests of the account wait.
    void set_waiting(account_id account, const waiting_account& row, time_point now);
    /// The account no longer waits.
    void clear_waiting(account_id account, time_point now);
    /// Charges units to an account for work started here; negative for a correction.
    void charge(account_id account, double units, time_point now);
    /// Removes charges and accounts whose retention has expired.
    void expire(time_point now);
    /// Calls f(account) in increasing order of position until f returns true.
    template <class F>
    bool visit_least_served_first(F&& f) const {
        for (const auto& [position, account] : order_) {
            if (f(account)) return true;
        }
        return false;
    }
    /// Lowest position among waiting accounts, units per share; empty if none waits.
    [[nodiscard]] std::optional<double> floor(time_point now) const;
    /// Number of waiting accounts.
    [[nodiscard]] std::size_t size() const { return order_.size(); }
    /// Number of accounts that wait or have waited within idle_retention.
    [[nodiscard]] std::size_t known() const { return accounts_.size(); }

private:
    // All sums decay at the same rate. They are stored in units that grow with time instead, so that
    // positions change only with charges and new totals.
    struct account_state {
        double share{1.0};
        double fleet_service{};
        double local_charges{};
        double offset{};
        double drop_compensation{}; // added when a total drops
        double largest_charge{};
        double position{};              // key in order_
        time_point fleet_as_of{};       // when fleet_service was current
        time_point fleet_received_at{}; // when fleet_service was received
        time_point idle_since{};        // when it stopped waiting
        time_point last_served{};       // last known service by any sidecar, or when it began to wait
        bool waiting{};
    };
    struct recent_charge {
        time_point at;
        account_id account;
        double amount; // in scaled units
    };
    [[nodiscard]] double scale(time_point now) const;
    void rebase_scale(time_point now);
    [[nodiscard]] static double position_of(const account_state& value);
    void cap_position(account_state& value, time_point now) const;
    void compensate_drop(account_state& value, double total) const;
    void update_fleet_service(account_state& value, const waiting_account& row, time_point now) const;
    [[nodiscard]] double current_floor() const { return order_.empty() ? floor_ : order_.begin()->first; }
    void reorder(account_id account, account_state& value);

    fair_scheduler_settings settings_;
    std::unordered_map<account_id, account_state> accounts_;
    std::set<std::pair<double, account_id>> order_; // waiting accounts only
    std::deque<recent_charge> charges_;             // by time
    std::deque<std::pair<time_point, account_id>> idle_accounts_;
    time_point scale_start_{};
    double floor_{}; // position of the account that was last served
};

/// Interface that the sidecar needs. Benchmarks substitute other policies.
template <class T>
concept scheduling_policy = requires(T order, account_id account, time_point now) {
    order.set_waiting(account, waiting_account{}, now);
    order.clear_waiting(account, now);
    order.charge(account, 1.0, now);
    order.expire(now);
    {
        order.visit_least_served_first([](account_id) { return true; })
        } -> std::same_as<bool>;
    { order.floor(now) } -> std::same_as<std::optional<double>>;
};
static_assert(scheduling_policy<fair_scheduler>);

} // namespace damaskhill
