// Index of this file:
// [SECTION] Decaying sums
// [SECTION] Service ledger (routers)
// [SECTION] Aggregation (routers)
// [SECTION] Fair scheduling (sidecars)

#include "damaskhill_fairness.hpp"

#include <algorithm>
#include <cmath>
#include <numbers>

namespace damaskhill {

namespace {

// A sum falls below a thousandth of its value after ten half-lives.
constexpr int expiry_half_lives = 10;
constexpr double negligible_units = 1e-3;

} // namespace

//-----------------------------------------------------------------------------
// [SECTION] Decaying sums
//-----------------------------------------------------------------------------

double value_at(const decaying_sum& sum, time_point now, duration half_life) {
    if (sum.value == 0.0 || now <= sum.updated_at) return sum.value;
    return sum.value * std::exp2(-to_seconds(now - sum.updated_at) / to_seconds(half_life));
}

void add_to(decaying_sum& sum, double units, time_point now, duration half_life) {
    sum.value = std::max(0.0, value_at(sum, now, half_life) + units);
    sum.updated_at = std::max(sum.updated_at, now);
}

//-----------------------------------------------------------------------------
// [SECTION] Service ledger (routers)
//-----------------------------------------------------------------------------

void charge(service_ledger& ledger, const ledger_settings& settings, account_id account,
            std::string_view pool, double units, time_point now) {
    if (units == 0.0) return;
    const service_key key{account, std::string{pool}};
    auto& entry = ledger.entries[key];
    entry.total_charged += std::abs(units);
    if (units > 0.0) entry.last_charged = now;
    add_to(entry.recent, units, now, settings.half_life);
    ledger.unreported.insert(key);
}

double fleet_service(const service_ledger& ledger, const ledger_settings& settings, account_id account,
                     std::string_view pool, time_point now) {
    const auto entry = ledger.entries.find({account, std::string{pool}});
    if (entry == ledger.entries.end()) return 0.0;
    return value_at(entry->second.recent, now, settings.half_life) +
           value_at(entry->second.remote_service, now, settings.half_life);
}

namespace {

constexpr duration max_age = 24h; // larger ages make no difference

} // namespace

duration total_age(const service_ledger& ledger, account_id account, std::string_view pool, time_point now) {
    const auto entry = ledger.entries.find({account, std::string{pool}});
    if (entry == ledger.entries.end() || entry->second.total_received_at == time_point{}) return max_age;
    return std::min<duration>(now - entry->second.total_received_at, max_age);
}

duration unserved_time(const service_ledger& ledger, account_id account, std::string_view pool,
                       time_point now) {
    const auto entry = ledger.entries.find({account, std::string{pool}});
    if (entry == ledger.entries.end() || entry->second.last_charged == time_point{}) return max_age;
    return std::min<duration>(now - entry->second.last_charged, max_age);
}

void apply_total(service_ledger& ledger, const service_row& row, time_point now) {
    auto& entry = ledger.entries[{row.account, row.pool}];
    // The row names the part of the total that this router reported, so that a late reply does not count own
    // charges twice.
    entry.remote_service = {std::max(0.0, row.units - row.recent), now};
    entry.total_received_at = now;
}

service_row make_report_row(const service_ledger& ledger, const ledger_settings& settings,
                            const service_key& key, time_point now) {
    service_row row;
    row.account = key.first;
    row.pool = key.second;
    const auto entry = ledger.entries.find(key);
    if (entry == ledger.entries.end()) return row;
    row.units = entry->second.total_charged;
    row.recent = value_at(entry->second.recent, now, settings.half_life);
    return row;
}

void start_epoch(service_ledger& ledger) {
    ++ledger.epoch;
    for (const auto& [key, entry] : ledger.entries)
        ledger.unreported.insert(key);
}

void expire(service_ledger& ledger, const ledger_settings& settings, time_point now) {
    std::erase_if(ledger.entries, [&](const auto& item) {
        const auto& entry = item.second;
        // Twice the retention of the aggregation router. A new entry starts with total_charged zero, and the
        // aggregation router would ignore its reports as long as it still had the larger total.
        const bool old = now - std::max(entry.recent.updated_at, entry.remote_service.updated_at) >
                         2 * expiry_half_lives * settings.half_life;
        return old && !ledger.unreported.contains(item.first);
    });
}

//-----------------------------------------------------------------------------
// [SECTION] Aggregation (routers)
//-----------------------------------------------------------------------------

void merge_report(service_totals& totals, const ledger_settings& settings, incarnation_id owner,
                  const service_row& row, time_point now) {
    auto& entry = totals.entries[{row.account, row.pool}];
    auto& known = entry.reports[owner];
    // total_charged never decreases, so a repeated or reordered report does not exceed the known one.
    if (row.units <= known.total_charged) return;
    const double before = value_at(known.recent, now, settings.half_life);
    known.total_charged = row.units;
    known.recent = {row.recent, now};
    add_to(entry.sum, row.recent - before, now, settings.half_life);
}

double total_service(const service_totals& totals, const ledger_settings& settings, const service_key& key,
                     time_point now) {
    const auto entry = totals.entries.find(key);
    return entry == totals.entries.end() ? 0.0 : value_at(entry->second.sum, now, settings.half_life);
}

void expire(service_totals& totals, const ledger_settings& settings, time_point now) {
    const duration limit = expiry_half_lives * settings.half_life;
    for (auto item = totals.entries.begin(); item != totals.entries.end();) {
        service_totals::entry& entry = item->second;
        // The report is removed, but its part of the sum stays and decays.
        std::erase_if(entry.reports,
                      [&](const auto& report) { return now - report.second.recent.updated_at > limit; });
        const bool negligible = value_at(entry.sum, now, settings.half_life) < negligible_units;
        item = entry.reports.empty() && negligible ? totals.entries.erase(item) : std::next(item);
    }
}

//-----------------------------------------------------------------------------
// [SECTION] Fair scheduling (sidecars)
//-----------------------------------------------------------------------------

double fair_scheduler::scale(time_point now) const {
    return std::exp2(to_seconds(now - scale_start_) / to_seconds(settings_.half_life));
}

void fair_scheduler::rebase_scale(time_point now) {
    // Well below the largest exponent of a double (1023). One rebase in 200 half-lives costs next to nothing.
    constexpr int largest_exponent = 200;
    if (scale_start_ == time_point{}) scale_start_ = now;
    if (now - scale_start_ < largest_exponent * settings_.half_life) return;
    const double factor = 1.0 / scale(now);
    order_.clear();
    for (auto& [account, value] : accounts_) {
        for (double* amount : {&value.fleet_service, &value.local_charges, &value.offset,
                               &value.drop_compensation, &value.largest_charge})
            *amount *= factor;
        value.position = position_of(value);
        if (value.waiting) order_.emplace(value.position, account);
    }
    for (recent_charge& item : charges_)
        item.amount *= factor;
    floor_ *= factor;
    scale_start_ = now;
}

double fair_scheduler::position_of(const account_state& value) {
    return (value.fleet_service + value.local_charges + value.offset + value.drop_compensation) / value.share;
}

// Lowers only accounts that have not been served for a while: a cost estimate that is corrected at the end of
// the request looks like debt until then, and what is forgiven here is never charged again.
void fair_scheduler::cap_position(account_state& value, time_point now) const {
    if (now - value.last_served <= settings_.max_repay_time) return;
    // In the steady state a sum is its rate times half_life / ln 2, so the service per share that the pool
    // gives in max_repay_time follows from the floor.
    const double repay_share =
        std::numbers::ln2 * to_seconds(settings_.max_repay_time) / to_seconds(settings_.half_life);
    const double ceiling = current_floor() * (1.0 + repay_share);
    const double position = position_of(value);
    if (position > ceiling) value.offset -= (position - ceiling) * value.share;
}

// A total falls when a router loses its counters. Without compensation the account would be served
// exclusively until it has caught up. Two routers may send different totals alternately, so a rise removes
// what a fall has added.
void fair_scheduler::compensate_drop(account_state& value, double total) const {
    const double max_drop = settings_.max_drop_charges * value.largest_charge;
    const double rise = total - value.fleet_service;
    if (rise < -max_drop) value.drop_compensation += -rise - max_drop;
    if (rise > max_drop) value.drop_compensation -= std::min(value.drop_compensation, rise - max_drop);
}

void fair_scheduler::update_fleet_service(account_state& value, const waiting_account& row,
                                          time_point now) const {
    value.last_served = std::max(value.last_served, now - row.unserved_time);
    const time_point as_of = now - row.total_age;
    const bool newest = as_of + settings_.max_total_lag >= value.fleet_as_of;
    const bool previous_expired = now - value.fleet_received_at > settings_.max_total_lag;
    if (!newest && !previous_expired) return;
    const double total = row.fleet_service * scale(now);
    if (value.fleet_received_at != time_point{}) compensate_drop(value, total);
    value.fleet_service = total;
    value.fleet_as_of = as_of;
    value.fleet_received_at = now;
}

void fair_scheduler::set_waiting(account_id account, const waiting_account& row, time_point now) {
    rebase_scale(now);
    expire(now);
    auto& value = accounts_[account];
    value.share = std::max(row.share, 1e-9);
    update_fleet_service(value, row, now);
    if (!value.waiting) {
        const double deficit = current_floor() - position_of(value);
        if (deficit > 0.0) value.offset += deficit * value.share;
        value.waiting = true;
        value.last_served = now;
        value.position = position_of(value);
        order_.emplace(value.position, account);
        return;
    }
    order_.erase({value.position, account}); // the floor is computed from the other accounts
    cap_position(value, now);
    value.position = position_of(value);
    order_.emplace(value.position, account);
}

void fair_scheduler::clear_waiting(account_id account, time_point now) {
    const auto found = accounts_.find(account);
    if (found == accounts_.end() || !found->second.waiting) return;
    order_.erase({found->second.position, account});
    found->second.waiting = false;
    found->second.idle_since = now;
    idle_accounts_.emplace_back(now, account);
}

void fair_scheduler::charge(account_id account, double units, time_point now) {
    rebase_scale(now);
    const auto found = accounts_.find(account);
    if (found == accounts_.end()) return; // it neither waits nor has waited recently
    account_state& value = found->second;
    const double amount = units * scale(now);
    if (units > 0.0) {
        if (value.waiting) floor_ = value.position;
        value.last_served = now;
    }
    value.local_charges += amount;
    value.largest_charge = std::max(value.largest_charge, amount);
    charges_.push_back({now, account, amount});
    reorder(account, value);
}

void fair_scheduler::expire(time_point now) {
    while (!charges_.empty() && charges_.front().at + settings_.local_charge_window < now) {
        const recent_charge old = charges_.front();
        charges_.pop_front();
        const auto found = accounts_.find(old.account);
        if (found == accounts_.end()) continue;
        found->second.local_charges -= old.amount;
        reorder(old.account, found->second);
    }
    while (!idle_accounts_.empty() && idle_accounts_.front().first + settings_.idle_retention < now) {
        const auto found = accounts_.find(idle_accounts_.front().second);
        const bool still_idle = found != accounts_.end() && !found->second.waiting &&
                                found->second.idle_since == idle_accounts_.front().first;
        if (still_idle) accounts_.erase(found);
        idle_accounts_.pop_front();
    }
}

std::optional<double> fair_scheduler::floor(time_point now) const {
    if (order_.empty()) return std::nullopt;
    return order_.begin()->first / scale(now);
}

void fair_scheduler::reorder(account_id account, account_state& value) {
    if (!value.waiting) return;
    order_.erase({value.position, account});
    value.position = position_of(value);
    order_.emplace(value.position, account);
}

} // namespace damaskhill
