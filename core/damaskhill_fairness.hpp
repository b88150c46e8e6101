// Fair service between client accounts: service counters across the fleet and the order of service.
//
// Index of this file:
// [SECTION] Decaying sums
// [SECTION] Service ledger (routers)
// [SECTION] Aggregation (routers)
// [SECTION] Order of service (sidecars)

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
    duration half_life{60s}; // of all sums, so that lost memory costs a bounded amount
    duration report_period{500ms};
    std::size_t rows_per_report{1000}; // in one period; the rest waits for the next one
};

/// Account and pool.
using service_key = std::pair<account_id, std::string>;

/// Service of accounts in pools: what this router incarnation has charged, and what it knows of the others.
struct service_ledger {
    struct entry {
        double total_charged{};      // sum of the sizes of all charges and corrections here; grows only
        decaying_sum recent;         // net charges here
        decaying_sum remote_service; // recent service through other incarnations, from the aggregation router
        time_point total_received_at{}; // when `remote_service` was received; zero: never
        time_point last_charged{};      // last charge that was no correction
        std::string aggregator_name;    // aggregation router as of `epoch`
        std::uint64_t epoch{};
    };
    std::map<service_key, entry> entries;
    std::set<service_key> unreported; // since they were last reported
    std::uint64_t epoch{1};           // changes with the set of live routers
};

/// Charges units (negative: a correction) and marks the entry for the next report.
void charge(service_ledger& ledger, const ledger_settings& settings, account_id account,
            std::string_view pool, double units, time_point now);
/// Recent service across the fleet as known here, units.
[[nodiscard]] double fleet_service(const service_ledger& ledger, const ledger_settings& settings,
                                   account_id account, std::string_view pool, time_point now);
/// Age of the newest total from the aggregation router; the largest value if none was heard.
[[nodiscard]] duration total_age(const service_ledger& ledger, account_id account, std::string_view pool,
                                 time_point now);
/// Time since this router last charged the account; at most a day.
[[nodiscard]] duration unserved_time(const service_ledger& ledger, account_id account, std::string_view pool,
                                     time_point now);
/// Takes a row of a service_total.
void apply_total(service_ledger& ledger, const service_row& row, time_point now);
/// Row for a report; waiting is the caller's.
[[nodiscard]] service_row make_report_row(const service_ledger& ledger, const ledger_settings& settings,
                                          const service_key& key, time_point now);
/// The set of live routers has changed: everything is reported anew, since the new aggregation router of an
/// account knows nothing of it.
void start_epoch(service_ledger& ledger);
/// Drops entries whose sums have decayed to nothing.
void expire(service_ledger& ledger, const ledger_settings& settings, time_point now);

//-----------------------------------------------------------------------------
// [SECTION] Aggregation (routers)
//-----------------------------------------------------------------------------

/// Recent service of accounts over all router incarnations, at the accounts' aggregation router.
/// Reports may be lost, repeated or reordered: of each incarnation the report with the largest grow-only
/// total counts, and it replaces the earlier one.
struct service_totals {
    struct report {
        double total_charged{}; // grow-only total
        decaying_sum recent;
    };
    struct entry {
        std::map<incarnation_id, report> reports;
        decaying_sum sum; // of all reports, and of the incarnations that were folded
    };
    std::map<service_key, entry> entries;
};

/// Merges one row of a report.
void merge_report(service_totals& totals, const ledger_settings& settings, incarnation_id owner,
                  const service_row& row, time_point now);
/// Recent service over the fleet, units.
[[nodiscard]] double total_service(const service_totals& totals, const ledger_settings& settings,
                                   const service_key& key, time_point now);
/// Folds incarnations into the sum that have not been heard for ten half-lives, and drops what has decayed.
void expire(service_totals& totals, const ledger_settings& settings, time_point now);

//-----------------------------------------------------------------------------
// [SECTION] Order of service (sidecars)
//-----------------------------------------------------------------------------

struct fair_scheduler_settings {
    duration half_life{60s}; // the same as the ledgers'
    duration local_charge_window{
        250ms};                  // local charges count for so long, until a row that contains them arrives
    duration max_total_lag{1s};  // a total that is older than the newest one by more is not taken
    duration idle_retention{5s}; // an account that no longer waits is remembered for so long
    duration max_repay_time{
        2s}; // an account that was not served for so long repays no more than the same time
    double max_drop_charges{4.0}; // a total may fall at once by so many of the account's largest charges
};

/// What a reservation row says of an account.
struct waiting_account {
    double share{1.0};
    double fleet_service{};   // recent, units
    duration total_age{};     // of the part of fleet_service that came from the aggregation router
    duration unserved_time{}; // since the sending router last charged the account
};

/// Accounts that wait for one target, ordered by (fleet service + recent local charges + offset) / share.
/// The offset raises an account that returns from idleness to the floor (the lowest position). It lowers one
/// that has not been served for repay_limit and is far above the floor, so that nobody is stopped to repay
/// after a healed partition. Every operation costs at most the logarithm of the number of waiting accounts.
class fair_scheduler {
public:
    explicit fair_scheduler(fair_scheduler_settings settings = {}) : settings_(settings) {}

    /// Records that requests of the account wait.
    void set_waiting(account_id account, const waiting_account& row, time_point now);
    /// The account no longer waits.
    void clear_waiting(account_id account, time_point now);
    /// Charges units to an account for work started here; may be negative for a correction.
    void charge(account_id account, double units, time_point now);
    /// Drops charges and accounts whose time has passed.
    void expire(time_point now);
    /// Calls f(account) from the least served account upwards until f returns true.
    template <class F>
    bool visit_least_served_first(F&& f) const {
        for (const auto& [position, account] : order_) {
            if (f(account)) return true;
        }
        return false;
    }
    /// Lowest service per share among waiting accounts, units; empty when none waits.
    [[nodiscard]] std::optional<double> floor(time_point now) const;
    [[nodiscard]] std::size_t size() const { return order_.size(); }
    [[nodiscard]] std::size_t known() const { return accounts_.size(); }

private:
    // All sums decay alike, so they are kept in units of a scale that grows with time instead: then nothing
    // but a charge or a new total changes an order that is once established.
    struct account_state {
        double share{1.0};
        double fleet_service{};
        double local_charges{};
        double offset{};
        double drop_compensation{};     // in place of totals that fell
        double largest_charge{};        // largest charge
        double position{};              // key in order_
        time_point fleet_as_of{};       // of fleet
        time_point fleet_received_at{}; // when fleet was taken
        time_point idle_since{};        // when it ceased to wait
        time_point last_served{};       // last sign of service anywhere, or when it began to wait
        bool waiting{};
    };
    struct recent_charge {
        time_point at;
        account_id account;
        double amount; // scaled
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
    std::deque<recent_charge> charges_;             // in the order of time
    std::deque<std::pair<time_point, account_id>> idle_accounts_;
    time_point scale_start_{};
    double floor_{}; // position from which the last account was served
};

/// What the sidecar needs of an order of service; benches swap in other policies.
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
