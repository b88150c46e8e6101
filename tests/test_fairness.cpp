// Fairness: merging of service reports, fair scheduling, and the gap between accounts.

#include "damaskhill_bench_load.hpp"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <numeric>

using namespace damaskhill;
using namespace damaskhill::bench;

BOOST_AUTO_TEST_SUITE(fairness)

namespace {

constexpr time_point start{std::chrono::hours{1000}};
const ledger_settings settings;

struct report_delivery {
    incarnation_id owner;
    service_row row;
};

// Reports of several incarnations with increasing totals, in the order in which they were sent.
std::vector<report_delivery> reports_of(std::uint64_t seed, std::map<incarnation_id, double>& latest) {
    random_source random{seed};
    std::vector<report_delivery> all;
    for (std::uint64_t owner = 1; owner <= 4; ++owner) {
        service_ledger ledger;
        const incarnation_id id{owner, owner};
        for (int i = 0; i < 5; ++i) {
            charge(ledger, settings, account_id{1}, "lm", 1.0 + 100.0 * random.next_unit(), start);
            if (i % 2 == 1) charge(ledger, settings, account_id{1}, "lm", -0.5, start);
            all.push_back({id, make_report_row(ledger, settings, {account_id{1}, "lm"}, start)});
        }
        latest[id] = all.back().row.recent;
    }
    return all;
}

// Delivers the last report of every incarnation at least once and loses or repeats the others, all in random
// order. Returns the total.
template <class Merge>
double deliver_randomly(const std::vector<report_delivery>& all, std::uint64_t seed, Merge merge) {
    random_source random{seed};
    std::vector<report_delivery> delivered;
    for (std::size_t i = 0; i < all.size(); ++i) {
        const bool last = i % 5 == 4;
        const std::uint64_t copies = last ? 1 + random.next() % 3 : random.next() % 3;
        delivered.insert(delivered.end(), copies, all[i]);
    }
    for (std::size_t i = delivered.size(); i > 1; --i)
        std::swap(delivered[i - 1], delivered[random.next() % i]);
    service_totals totals;
    for (const report_delivery& report : delivered)
        merge(totals, report);
    return total_service(totals, settings, {account_id{1}, "lm"}, start);
}

double sum_of(const std::map<incarnation_id, double>& latest) {
    return std::accumulate(latest.begin(), latest.end(), 0.0,
                           [](double sum, const auto& item) { return sum + item.second; });
}

waiting_account waiting_row(double share, double service) { return {share, service, 0s, 24h}; }

account_id least_served_account(const fair_scheduler& order) {
    account_id first;
    order.visit_least_served_first([&](account_id account) {
        first = account;
        return true;
    });
    return first;
}

// Several sidecars serve accounts that always wait, with totals that arrive late. gap() is the largest gap.
struct stale_totals_simulation {
    std::vector<double> shares{1, 1, 2, 4};
    duration staleness{600ms};
    std::size_t sidecars{6};
    double largest{400.0};

    [[nodiscard]] double bound() const {
        const double capacity = static_cast<double>(sidecars) * largest / 0.1;
        const double outstanding = static_cast<double>(sidecars) * largest;
        return outstanding + to_seconds(staleness) * capacity;
    }
    template <class Pick>
    [[nodiscard]] double gap(std::uint64_t seed, Pick pick) const {
        random_source random{seed};
        fair_scheduler_settings window; // must cover the staleness of the totals
        window.local_charge_window = staleness + 100ms;
        std::vector<fair_scheduler> orders(sidecars, fair_scheduler{window});
        std::vector<double> service(shares.size());
        std::vector<double> known(shares.size());
        std::vector<time_point> served(shares.size(), start);
        gap_meter meter{shares};
        for (time_point now = start; now < start + 60s; now += 100ms) {
            if ((now - start) % staleness == 0s) known = service;
            for (std::size_t s = 0; s < sidecars; ++s) {
                for (std::size_t a = 0; a < shares.size(); ++a)
                    orders[s].set_waiting(account_id{a}, {shares[a], known[a], 0s, now - served[a]}, now);
                const account_id chosen = pick(orders[s], random);
                const double cost = 1.0 + (largest - 1.0) * random.next_unit();
                orders[s].charge(chosen, cost, now);
                service[chosen.value] += cost;
                served[chosen.value] = now;
            }
            meter.sample(service, std::vector<bool>(shares.size(), true));
        }
        return meter.largest_gap();
    }
};

} // namespace

// Guards against lost, repeated or reordered reports that change the total permanently.
BOOST_AUTO_TEST_CASE(total_does_not_depend_on_order_loss_or_repetition) {
    const bool ok = rc::check([](std::uint64_t seed) {
        std::map<incarnation_id, double> latest;
        const auto all = reports_of(seed, latest);
        const double total = deliver_randomly(all, seed + 1, [](service_totals& t, const report_delivery& r) {
            merge_report(t, settings, r.owner, r.row, start);
        });
        RC_ASSERT(std::abs(total - sum_of(latest)) < 1e-6);
    });
    BOOST_TEST(ok);
}

// Guards against a property that cannot fail: a merge that adds up all received reports violates it.
BOOST_AUTO_TEST_CASE(additive_merge_violates_the_property) {
    std::map<incarnation_id, double> latest;
    const auto all = reports_of(1, latest);
    const double total = deliver_randomly(all, 2, [](service_totals& t, const report_delivery& r) {
        add_to(t.entries[{r.row.account, r.row.pool}].sum, r.row.recent, start, settings.half_life);
    });
    BOOST_TEST(std::abs(total - sum_of(latest)) > 1.0);
}

// Guards against a late total that counts the receiver's own charges twice.
BOOST_AUTO_TEST_CASE(late_total_counts_own_service_once) {
    service_ledger ledger;
    charge(ledger, settings, account_id{1}, "lm", 100.0, start);
    service_row total{account_id{1}, "lm", 300.0, true, 100.0}; // 200 through other routers
    charge(ledger, settings, account_id{1}, "lm", 50.0, start);
    apply_total(ledger, total, start);
    BOOST_TEST(fleet_service(ledger, settings, account_id{1}, "lm", start) == 350.0);
}

// Guards against a stopped incarnation whose service disappears at once or is kept forever.
BOOST_AUTO_TEST_CASE(dead_incarnation_is_folded_and_decays) {
    service_totals totals;
    const service_key key{account_id{1}, "lm"};
    merge_report(totals, settings, {1, 1}, {account_id{1}, "lm", 1e6, false, 1e6}, start);
    expire(totals, settings, start + 60s);
    BOOST_TEST(total_service(totals, settings, key, start + 60s) == 5e5, boost::test_tools::tolerance(1e-9));
    expire(totals, settings, start + 601s);
    BOOST_TEST(totals.entries.at(key).reports.empty());
    BOOST_TEST(total_service(totals, settings, key, start + 601s) > 900.0);
    expire(totals, settings, start + 3600s);
    BOOST_TEST(totals.entries.empty());
}

// Guards against an account that accumulates credit while idle and is then served exclusively.
BOOST_AUTO_TEST_CASE(returning_account_starts_at_the_floor) {
    fair_scheduler order;
    order.set_waiting(account_id{1}, waiting_row(1.0, 5000.0), start);
    order.set_waiting(account_id{2}, waiting_row(1.0, 0.0), start);
    order.charge(account_id{2}, 10.0, start);
    BOOST_TEST(least_served_account(order).value == 1U);
}

// Guards against an account that is starved after a partition heals, until the others have caught up.
BOOST_AUTO_TEST_CASE(account_far_above_the_floor_is_not_starved) {
    fair_scheduler order;
    order.set_waiting(account_id{1}, waiting_row(1.0, 1000.0), start);
    order.set_waiting(account_id{2}, waiting_row(1.0, 1000.0), start);
    double other = 1000.0;
    bool served = false;
    for (time_point now = start; now < start + 6s; now += 100ms) {
        const double decay = std::exp2(-to_seconds(now - start) / 60.0);
        // The total that is received after the partition has healed.
        order.set_waiting(account_id{1}, waiting_row(1.0, 1e6 * decay), now);
        other += 1.2; // 12 units/s, about one percent of the floor per second
        order.set_waiting(account_id{2}, {1.0, other, 0s, 0s}, now);
        served = served || least_served_account(order).value == 1U;
    }
    BOOST_TEST(served);
}

// Guards against an account that is served exclusively after a router has lost its counters.
BOOST_AUTO_TEST_CASE(lost_counters_shift_a_bounded_amount_of_service) {
    fair_scheduler order;
    for (const std::uint64_t account : {1U, 2U})
        order.set_waiting(account_id{account}, waiting_row(1.0, 1e4), start);
    for (const std::uint64_t account : {1U, 2U})
        order.charge(account_id{account}, 100.0, start);
    order.set_waiting(account_id{1}, waiting_row(1.0, 0.0), start + 1s);
    order.charge(account_id{1}, 450.0, start + 1s); // more than max_drop_charges (4) charges of 100
    BOOST_TEST(least_served_account(order).value == 2U);
}

// Guards against accounts whose service diverges because totals reach the sidecars late.
BOOST_AUTO_TEST_CASE(gap_stays_within_the_bound_with_late_totals) {
    const stale_totals_simulation simulation;
    const bool ok = rc::check([&](std::uint64_t seed) {
        const auto least = [](const fair_scheduler& order, random_source&) {
            return least_served_account(order);
        };
        RC_ASSERT(simulation.gap(seed, least) <= simulation.bound());
    });
    BOOST_TEST(ok);
}

// Guards against a bound that cannot be exceeded: service in random order exceeds it.
BOOST_AUTO_TEST_CASE(random_order_exceeds_the_bound) {
    const stale_totals_simulation simulation;
    const auto any = [&](const fair_scheduler&, random_source& random) {
        return account_id{random.next() % simulation.shares.size()};
    };
    BOOST_TEST(simulation.gap(1, any) > simulation.bound());
}

BOOST_AUTO_TEST_SUITE_END()
