// Index of this file:
// [SECTION] Service ledger (routers)
// [SECTION] Order of service (sidecars)

#include "damaskhill_fairness.hpp"

#include <algorithm>

namespace damaskhill {

//-----------------------------------------------------------------------------
// [SECTION] Service ledger (routers)
//-----------------------------------------------------------------------------

void charge(service_ledger& ledger, account_id account, std::string_view pool, double units) {
    auto& entry = ledger.entries[{account, std::string{pool}}];
    entry.own = std::max(0.0, entry.own + units);
}

double fleet_service(const service_ledger& ledger, account_id account, std::string_view pool) {
    const auto entry = ledger.entries.find({account, std::string{pool}});
    return entry == ledger.entries.end() ? 0.0 : entry->second.own + entry->second.others;
}

//-----------------------------------------------------------------------------
// [SECTION] Order of service (sidecars)
//-----------------------------------------------------------------------------

void service_order::set_waiting(account_id account, double share, double fleet_service, time_point now) {
    expire(now);
    auto& value = accounts_[account];
    value.share = std::max(share, 1e-9);
    // Totals of several routers arrive in any order; each grows, so the largest is the newest.
    value.fleet = std::max(value.fleet, fleet_service);
    if (!value.waiting) {
        value.waiting = true;
        value.position = (value.fleet + value.recent) / value.share;
        order_.emplace(value.position, account);
        return;
    }
    reorder(account, value);
}

void service_order::clear_waiting(account_id account) {
    const auto found = accounts_.find(account);
    if (found == accounts_.end() || !found->second.waiting) return;
    order_.erase({found->second.position, account});
    found->second.waiting = false;
    drop_if_unused(account);
}

void service_order::charge(account_id account, double units, time_point now) {
    auto& value = accounts_[account];
    value.recent += units;
    charges_.push_back({now, account, units});
    reorder(account, value);
}

void service_order::expire(time_point now) {
    while (!charges_.empty() && charges_.front().at + settings_.staleness < now) {
        const recent_charge old = charges_.front();
        charges_.pop_front();
        const auto found = accounts_.find(old.account);
        if (found == accounts_.end()) continue;
        found->second.recent -= old.units;
        reorder(old.account, found->second);
        drop_if_unused(old.account);
    }
}

void service_order::reorder(account_id account, state& value) {
    if (!value.waiting) return;
    order_.erase({value.position, account});
    value.position = (value.fleet + value.recent) / value.share;
    order_.emplace(value.position, account);
}

void service_order::drop_if_unused(account_id account) {
    const auto found = accounts_.find(account);
    if (found == accounts_.end() || found->second.waiting) return;
    // Charges leave in pairs with their additions, so that a rounding rest is all that can remain.
    if (std::abs(found->second.recent) < 1e-9) accounts_.erase(found);
}

} // namespace damaskhill
