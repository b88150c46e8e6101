// Fair service between client accounts: grow-only service counters and the order of service.
//
// Index of this file:
// [SECTION] Service ledger (routers)
// [SECTION] Order of service (sidecars)

#pragma once

#include "damaskhill_messages.hpp"

#include <deque>
#include <map>
#include <set>
#include <unordered_map>

namespace damaskhill {

//-----------------------------------------------------------------------------
// [SECTION] Service ledger (routers)
//-----------------------------------------------------------------------------

struct ledger_settings {
    duration half_life{60s}; // of all totals, so that lost memory costs a bounded amount
    duration report_period{500ms};
};

/// Service of accounts in pools: what this router incarnation has charged, and what it knows of the others.
struct service_ledger {
    using key = std::pair<account_id, std::string>;
    struct entry {
        double own{};       // charged by this incarnation; grows only
        double reported{};  // last value of own that was sent
        double others{};    // sum over other incarnations as last heard
        time_point heard{}; // time of others
    };
    std::map<key, entry> entries;
};

/// Charges units (may be negative for a correction; the total never falls below zero).
void charge(service_ledger& ledger, account_id account, std::string_view pool, double units);
/// Service across the fleet as known here, units.
[[nodiscard]] double fleet_service(const service_ledger& ledger, account_id account, std::string_view pool);

//-----------------------------------------------------------------------------
// [SECTION] Order of service (sidecars)
//-----------------------------------------------------------------------------

struct service_order_settings {
    duration staleness{1s}; // how long a local charge is added to the fleet total that may not contain it yet
};

/// Accounts that wait for one target, ordered by (fleet service + recent local charges) / share.
/// Every operation costs at most the logarithm of the number of waiting accounts.
class service_order {
public:
    explicit service_order(service_order_settings settings = {}) : settings_(settings) {}

    /// Records that requests of the account wait, with its share and its service across the fleet in units.
    void set_waiting(account_id account, double share, double fleet_service, time_point now);
    /// Forgets an account that no longer waits; its recent charges stay until they age out.
    void clear_waiting(account_id account);
    /// Charges units to an account for work started here; may be negative for a correction.
    void charge(account_id account, double units, time_point now);
    /// Drops charges older than the staleness.
    void expire(time_point now);
    /// Calls f(account) from the least served account upwards until f returns true.
    template <class F>
    bool visit_in_order(F&& f) const {
        for (const auto& [normalised, account] : order_) {
            if (f(account)) return true;
        }
        return false;
    }
    [[nodiscard]] std::size_t size() const { return order_.size(); }

private:
    struct state {
        double share{1.0};
        double fleet{};
        double recent{};
        double position{};
        bool waiting{};
    };
    struct recent_charge {
        time_point at;
        account_id account;
        double units;
    };
    void reorder(account_id account, state& value);
    void drop_if_unused(account_id account);

    service_order_settings settings_;
    std::unordered_map<account_id, state> accounts_;
    std::set<std::pair<double, account_id>> order_; // waiting accounts only
    std::deque<recent_charge> charges_;             // in the order of time
};

/// What the sidecar needs of an order of service; benches swap in other policies.
template <class T>
concept order_policy = requires(T order, account_id account, time_point now) {
    order.set_waiting(account, 1.0, 0.0, now);
    order.clear_waiting(account);
    order.charge(account, 1.0, now);
    order.expire(now);
    {
        order.visit_in_order([](account_id) { return true; })
        } -> std::same_as<bool>;
};
static_assert(order_policy<service_order>);

} // namespace damaskhill
