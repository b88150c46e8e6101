// Index of this file:
// [SECTION] Decaying sums
// [SECTION] Service ledger (routers)
// [SECTION] Aggregation (routers)
// [SECTION] Order of service (sidecars)

#include "damaskhill_fairness.hpp"

#include <algorithm>
#include <cmath>
#include <numbers>

namespace damaskhill {

namespace {

// After ten half-lives a sum is below a thousandth of its value.
constexpr int forgotten_half_lives = 10;
constexpr double negligible_units = 1e-3;

} // namespace

//-----------------------------------------------------------------------------
// [SECTION] Decaying sums
//-----------------------------------------------------------------------------

double value_at(const decaying_sum& sum, time_point now, duration half_life) {
    if (sum.value == 0.0 || now <= sum.at) return sum.value;
    return sum.value * std::exp2(-to_seconds(now - sum.at) / to_seconds(half_life));
}

void add_to(decaying_sum& sum, double units, time_point now, duration half_life) {
    sum.value = std::max(0.0, value_at(sum, now, half_life) + units);
    sum.at = std::max(sum.at, now);
}

//-----------------------------------------------------------------------------
// [SECTION] Service ledger (routers)
//-----------------------------------------------------------------------------

void charge(service_ledger& ledger, const ledger_settings& settings, account_id account,
            std::string_view pool, double units, time_point now) {
    if (units == 0.0) return;
    const service_key key{account, std::string{pool}};
    auto& entry = ledger.entries[key];
    entry.own += std::abs(units);
    if (units > 0.0) entry.charged = now;
    add_to(entry.recent, units, now, settings.half_life);
    ledger.changed.insert(key);
}

double fleet_service(const service_ledger& ledger, const ledger_settings& settings, account_id account,
                     std::string_view pool, time_point now) {
    const auto entry = ledger.entries.find({account, std::string{pool}});
    if (entry == ledger.entries.end()) return 0.0;
    return value_at(entry->second.recent, now, settings.half_life) +
           value_at(entry->second.others, now, settings.half_life);
}

namespace {

constexpr duration never = 24h; // ages beyond it make no difference

} // namespace

duration total_age(const service_ledger& ledger, account_id account, std::string_view pool, time_point now) {
    const auto entry = ledger.entries.find({account, std::string{pool}});
    if (entry == ledger.entries.end() || entry->second.heard == time_point{}) return never;
    return std::min<duration>(now - entry->second.heard, never);
}

duration unserved_time(const service_ledger& ledger, account_id account, std::string_view pool,
                       time_point now) {
    const auto entry = ledger.entries.find({account, std::string{pool}});
    if (entry == ledger.entries.end() || entry->second.charged == time_point{}) return never;
    return std::min<duration>(now - entry->second.charged, never);
}

void accept_total(service_ledger& ledger, const service_row& row, time_point now) {
    auto& entry = ledger.entries[{row.account, row.pool}];
    // The reply says which part of the total came from this router, so that a late reply counts nothing
    // twice.
    entry.others = {std::max(0.0, row.units - row.recent), now};
    entry.heard = now;
}

service_row report_row(const service_ledger& ledger, const ledger_settings& settings, const service_key& key,
                       time_point now) {
    service_row row;
    row.account = key.first;
    row.pool = key.second;
    const auto entry = ledger.entries.find(key);
    if (entry == ledger.entries.end()) return row;
    row.units = entry->second.own;
    row.recent = value_at(entry->second.recent, now, settings.half_life);
    return row;
}

void start_epoch(service_ledger& ledger) {
    ++ledger.epoch;
    for (const auto& [key, entry] : ledger.entries)
        ledger.changed.insert(key);
}

void expire(service_ledger& ledger, const ledger_settings& settings, time_point now) {
    std::erase_if(ledger.entries, [&](const auto& item) {
        const auto& entry = item.second;
        // A total that is heard again starts from zero only after the aggregation router has forgotten it
        // too.
        const bool old =
            now - std::max(entry.recent.at, entry.others.at) > 2 * forgotten_half_lives * settings.half_life;
        return old && !ledger.changed.contains(item.first);
    });
}

//-----------------------------------------------------------------------------
// [SECTION] Aggregation (routers)
//-----------------------------------------------------------------------------

void merge_report(service_totals& totals, const ledger_settings& settings, incarnation_id owner,
                  const service_row& row, time_point now) {
    auto& entry = totals.entries[{row.account, row.pool}];
    auto& known = entry.reports[owner];
    // A repeated or overtaken report has no larger grow-only total.
    if (row.units <= known.own) return;
    const double before = value_at(known.recent, now, settings.half_life);
    known.own = row.units;
    known.recent = {row.recent, now};
    add_to(entry.sum, row.recent - before, now, settings.half_life);
}

double total_service(const service_totals& totals, const ledger_settings& settings, const service_key& key,
                     time_point now) {
    const auto entry = totals.entries.find(key);
    return entry == totals.entries.end() ? 0.0 : value_at(entry->second.sum, now, settings.half_life);
}

void expire(service_totals& totals, const ledger_settings& settings, time_point now) {
    const duration limit = forgotten_half_lives * settings.half_life;
    for (auto item = totals.entries.begin(); item != totals.entries.end();) {
        service_totals::entry& entry = item->second;
        // Folding: the report goes, its part of the sum stays and decays.
        std::erase_if(entry.reports,
                      [&](const auto& report) { return now - report.second.recent.at > limit; });
        const bool nothing_left = value_at(entry.sum, now, settings.half_life) < negligible_units;
        item = entry.reports.empty() && nothing_left ? totals.entries.erase(item) : std::next(item);
    }
}

//-----------------------------------------------------------------------------
// [SECTION] Order of service (sidecars)
//-----------------------------------------------------------------------------

double service_order::scale(time_point now) const {
    return std::exp2(to_seconds(now - scale_start_) / to_seconds(settings_.half_life));
}

void service_order::start_scale(time_point now) {
    // Far below the range of a double, and rare enough to cost nothing.
    constexpr int largest_exponent = 200;
    if (scale_start_ == time_point{}) scale_start_ = now;
    if (now - scale_start_ < largest_exponent * settings_.half_life) return;
    const double factor = 1.0 / scale(now);
    order_.clear();
    for (auto& [account, value] : accounts_) {
        for (double* amount : {&value.fleet, &value.recent, &value.offset, &value.lifted, &value.largest})
            *amount *= factor;
        value.position = position_of(value);
        if (value.waiting) order_.emplace(value.position, account);
    }
    for (recent_charge& item : charges_)
        item.amount *= factor;
    floor_ *= factor;
    scale_start_ = now;
}

double service_order::position_of(const state& value) {
    return (value.fleet + value.recent + value.offset + value.lifted) / value.share;
}

// Only an account that has not been served for a while is lowered: estimates that will be corrected at the
// end of a request look like a debt for a moment, and what is given up here never comes back.
void service_order::lower_to_ceiling(state& value, time_point now) const {
    if (now - value.served <= settings_.repay_limit) return;
    // In the steady state a sum is its rate times half_life / ln 2, so the floor tells how much service per
    // share the pool gives in repay_limit.
    const double rate_part =
        std::numbers::ln2 * to_seconds(settings_.repay_limit) / to_seconds(settings_.half_life);
    const double ceiling = present_floor() * (1.0 + rate_part);
    const double position = position_of(value);
    if (position > ceiling) value.offset -= (position - ceiling) * value.share;
}

// Lost memory of a router makes a total fall, and without this rule the account would be served alone until
// it has caught up. Two routers may send different totals in turn, so a rise takes back what a fall has
// added.
void service_order::bridge_jump(state& value, double total) const {
    const double lag = settings_.lag_charges * value.largest;
    const double rise = total - value.fleet;
    if (rise < -lag) value.lifted += -rise - lag;
    if (rise > lag) value.lifted -= std::min(value.lifted, rise - lag);
}

void service_order::take_total(state& value, const waiting_account& row, time_point now) const {
    value.served = std::max(value.served, now - row.unserved);
    const time_point as_of = now - row.age;
    const bool newest = as_of + settings_.total_slack >= value.as_of;
    const bool only_one = now - value.heard > settings_.total_slack;
    if (!newest && !only_one) return;
    const double total = row.fleet_service * scale(now);
    if (value.heard != time_point{}) bridge_jump(value, total);
    value.fleet = total;
    value.as_of = as_of;
    value.heard = now;
}

void service_order::set_waiting(account_id account, const waiting_account& row, time_point now) {
    start_scale(now);
    expire(now);
    auto& value = accounts_[account];
    value.share = std::max(row.share, 1e-9);
    take_total(value, row, now);
    if (!value.waiting) {
        const double lack = present_floor() - position_of(value);
        if (lack > 0.0) value.offset += lack * value.share;
        value.waiting = true;
        value.served = now;
        value.position = position_of(value);
        order_.emplace(value.position, account);
        return;
    }
    order_.erase({value.position, account}); // the floor is that of the others
    lower_to_ceiling(value, now);
    value.position = position_of(value);
    order_.emplace(value.position, account);
}

void service_order::clear_waiting(account_id account, time_point now) {
    const auto found = accounts_.find(account);
    if (found == accounts_.end() || !found->second.waiting) return;
    order_.erase({found->second.position, account});
    found->second.waiting = false;
    found->second.left = now;
    gone_.emplace_back(now, account);
}

void service_order::charge(account_id account, double units, time_point now) {
    start_scale(now);
    const auto found = accounts_.find(account);
    if (found == accounts_.end()) return; // it neither waits nor has waited lately
    state& value = found->second;
    const double amount = units * scale(now);
    if (units > 0.0) {
        if (value.waiting) floor_ = value.position;
        value.served = now;
    }
    value.recent += amount;
    value.largest = std::max(value.largest, amount);
    charges_.push_back({now, account, amount});
    reorder(account, value);
}

void service_order::expire(time_point now) {
    while (!charges_.empty() && charges_.front().at + settings_.charge_window < now) {
        const recent_charge old = charges_.front();
        charges_.pop_front();
        const auto found = accounts_.find(old.account);
        if (found == accounts_.end()) continue;
        found->second.recent -= old.amount;
        reorder(old.account, found->second);
    }
    while (!gone_.empty() && gone_.front().first + settings_.memory < now) {
        const auto found = accounts_.find(gone_.front().second);
        const bool stayed_away =
            found != accounts_.end() && !found->second.waiting && found->second.left == gone_.front().first;
        if (stayed_away) accounts_.erase(found);
        gone_.pop_front();
    }
}

std::optional<double> service_order::floor(time_point now) const {
    if (order_.empty()) return std::nullopt;
    return order_.begin()->first / scale(now);
}

void service_order::reorder(account_id account, state& value) {
    if (!value.waiting) return;
    order_.erase({value.position, account});
    value.position = position_of(value);
    order_.emplace(value.position, account);
}

} // namespace damaskhill
