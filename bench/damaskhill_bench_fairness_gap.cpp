// Fairness between accounts across the fleet. One account floods it with requests, shares and the load per
// router are uneven, token hints are wrong by a factor of up to 4, routers restart with empty state, and one
// router is partitioned from the others and reconnected.
//
// Index of this file:
// [SECTION] Scenario
// [SECTION] Bound
// [SECTION] Bench

#include "damaskhill_bench.hpp"
#include "damaskhill_bench_load.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>

namespace damaskhill::bench {

namespace {

//-----------------------------------------------------------------------------
// [SECTION] Scenario
//-----------------------------------------------------------------------------

constexpr std::size_t routers = 4;
constexpr std::size_t replicas = 6;
constexpr std::uint32_t slots_per_target = 8;
constexpr std::uint64_t longest_response_tokens = 400;
constexpr double max_hint_error_factor = 4.0;
constexpr double charge_step = 16.0; // units per charge of a running stream, as in the sidecar
constexpr std::size_t flooding_account = 0;
constexpr std::size_t idle_account = 3; // idle from 20 s to 40 s

const std::vector<double> shares{2, 1, 1, 1, 1, 1, 2, 2, 2, 2, 3, 3, 4, 4, 6, 8};

class fairness_scenario {
public:
    explicit fairness_scenario(std::uint64_t seed)
        : fleet_{make_settings(seed)},
          normal_meter_{shares},
          partition_meter_{shares},
          random_{seed * 7919},
          served_units_(shares.size()),
          last_start_(shares.size()),
          was_waiting_(shares.size()) {
        fleet_.declare(sample_accounts(shares, 2, slots_per_target));
        for (std::size_t i = 0; i < shares.size(); ++i) {
            // Each account uses one or two routers, the flooding account all of them.
            const std::size_t router_count = i == flooding_account ? routers : 1 + random_.next() % 2;
            const std::size_t first_router = random_.next() % routers;
            for (std::size_t k = 0; k < router_count; ++k)
                account_routers_[i].push_back((first_router + k) % routers);
            account_index_[account_id_of(sample_account_name(i))] = i;
        }
        fleet_.observer = [this](std::size_t node, const effects& out) { observe_effects(node, out); };
        fleet_.on_end = [this](const caller_result& r) { on_end(r); };
    }

    void run() {
        const time_point start_time = fleet_.now();
        start_time_ = start_time;
        fleet_.schedule(start_time + 3s, [this] { start_load(); });
        fleet_.schedule(start_time + 15s, [this] { fleet_.restart(1, false); });
        fleet_.schedule(start_time + 30s, [this] { fleet_.restart(2, false); });
        fleet_.schedule(start_time + 45s, [this] { set_partition(true); });
        fleet_.schedule(start_time + 65s, [this] { set_partition(false); });
        fleet_.schedule(start_time + 85s, [this] { fleet_.restart(0, false); });
        for (time_point t = start_time + warm_up; t < start_time + run_duration; t += sample_period)
            fleet_.schedule(t, [this] { sample(); });
        fleet_.run_until(start_time + run_duration);
    }

    double largest_gap() const { return normal_meter_.largest_gap(); }
    double largest_gap_in_partition() const { return partition_meter_.largest_gap(); }
    double longest_wait() const { return to_seconds(longest_wait_); }
    double longest_wait_after_heal() const { return to_seconds(longest_wait_after_heal_); }
    double served_total() const {
        double sum = 0;
        for (const double units : served_units_)
            sum += units;
        return sum;
    }
    static constexpr duration partition_duration = 20s;

private:
    static constexpr duration warm_up = 10s;
    static constexpr duration run_duration = 110s;
    static constexpr duration sample_period = 100ms;

    static fleet_settings make_settings(std::uint64_t seed) {
        fleet_settings s;
        s.seed = seed;
        s.routers = routers;
        target_settings target;
        target.warm_limit = slots_per_target;
        s.pools.push_back({"lm", replicas, target});
        return s;
    }

    void start_load() {
        for (std::size_t i = 0; i < shares.size(); ++i) {
            const std::size_t concurrency =
                i == flooding_account ? 400 : 24 + 4 * static_cast<std::size_t>(shares[i]);
            for (std::size_t k = 0; k < concurrency; ++k)
                send_request(i);
        }
    }

    bool is_idle(std::size_t account) const {
        return account == idle_account && fleet_.now() > start_time_ + 20s &&
               fleet_.now() < start_time_ + 40s;
    }

    void send_request(std::size_t account) {
        if (is_idle(account)) {
            fleet_.schedule(start_time_ + 40s, [this, account] { send_request(account); });
            return;
        }
        const auto& account_routers = account_routers_[account];
        std::size_t router = account_routers[random_.next() % account_routers.size()];
        if (!fleet_.router(router).up) router = (router + 1) % routers;
        const std::uint64_t tokens = 20 + random_.next() % (longest_response_tokens - 19);
        // The router estimates half of max_tokens, so the estimate is 1/4 to 4 times the actual token count.
        const double error = std::pow(max_hint_error_factor, 2.0 * random_.next_unit() - 1.0);
        const auto max_tokens = static_cast<std::uint32_t>(2.0 * static_cast<double>(tokens) * error);
        const caller_id caller =
            fleet_.send_request(router, model_request(account, tokens, max_tokens, request_class::interactive,
                                                      next_request_number_++));
        caller_accounts_[caller] = account;
    }

    void on_end(const caller_result& r) {
        const std::size_t account = caller_accounts_.at(r.caller);
        caller_accounts_.erase(r.caller);
        fleet_.schedule(fleet_.now() + 20ms, [this, account] { send_request(account); });
    }

    void observe_effects(std::size_t node, const effects& out) {
        for (const effect& item : out) {
            const auto* message = std::get_if<send_message>(&item);
            if (message == nullptr) continue;
            if (const auto* response = std::get_if<chunk>(&message->message)) {
                const auto& running = fleet_.nodes()[node].sidecar->running;
                const auto call = running.find(response->attempt);
                if (call == running.end()) continue;
                served_units_[account_index_.at(call->second.assignment.account)] +=
                    static_cast<double>(response->data.size());
            } else if (const auto* assigned = std::get_if<assign>(&message->message)) {
                last_start_[account_index_.at(assigned->account)] = fleet_.now();
            }
        }
    }

    void set_partition(bool partitioned) {
        for (std::size_t i = 1; i < routers; ++i) {
            if (partitioned) {
                fleet_.block_traffic(0, i);
            } else {
                fleet_.unblock_traffic(0, i);
            }
        }
        if (partitioned) partitioned_at_ = fleet_.now();
        if (!partitioned) healed_at_ = fleet_.now();
        normal_meter_.end_intervals();
        partition_meter_.end_intervals();
    }

    void sample() {
        const time_point now = fleet_.now();
        const auto waiting = backlogged_accounts(fleet_, shares.size());
        // After the partition heals, links reopen and totals arrive within the dial limit of 5 s. Until then
        // samples count towards the partition.
        const bool in_partition = partitioned_at_ != time_point{} &&
                                  (healed_at_ == time_point{} || now < healed_at_ + reconnect_limit);
        if (!in_partition && was_partitioned_) normal_meter_.end_intervals();
        was_partitioned_ = in_partition;
        (in_partition ? partition_meter_ : normal_meter_).sample(served_units_, waiting);
        for (std::size_t i = 0; i < shares.size(); ++i) {
            if (!waiting[i] || !was_waiting_[i]) last_start_[i] = std::max(last_start_[i], now);
            was_waiting_[i] = waiting[i];
            const duration wait = now - last_start_[i];
            longest_wait_ = std::max(longest_wait_, wait);
            if (healed_at_ != time_point{})
                longest_wait_after_heal_ = std::max(longest_wait_after_heal_, wait);
        }
    }

    static constexpr duration reconnect_limit = 6s;
    fleet fleet_;
    gap_meter normal_meter_;
    gap_meter partition_meter_;
    random_source random_;
    std::vector<double> served_units_;
    std::vector<time_point> last_start_;
    std::vector<bool> was_waiting_;
    std::map<std::size_t, std::vector<std::size_t>> account_routers_;
    std::map<account_id, std::size_t> account_index_;
    std::map<caller_id, std::size_t> caller_accounts_;
    std::uint64_t next_request_number_{1};
    time_point start_time_{};
    time_point partitioned_at_{};
    time_point healed_at_{};
    bool was_partitioned_{};
    duration longest_wait_{};
    duration longest_wait_after_heal_{};
};

//-----------------------------------------------------------------------------
// [SECTION] Bound
//-----------------------------------------------------------------------------

struct bound_terms {
    double outstanding_units{}; // L: units in progress
    double staleness_s{};       // S: age of the service totals, seconds
    double capacity_per_s{};    // C: units/s
    double bound{};             // L + S * C
};

// Computes the bound G of design 6.1 without the factor 1/w_a + 1/w_b, because the meter divides by it.
bound_terms compute_bound(duration extra_staleness) {
    const fleet_settings fleet_defaults;
    const router_settings router;
    bound_terms b;
    const double total_slots = static_cast<double>(replicas * slots_per_target);
    b.outstanding_units =
        total_slots *
        (1.0 + static_cast<double>(longest_response_tokens) * max_hint_error_factor + charge_step);
    const duration delays = 4 * fleet_defaults.link_delay + 3 * fleet_defaults.tick_period;
    b.staleness_s =
        to_seconds(router.ledger.report_period + router.reservation_period + delays + extra_staleness);
    b.capacity_per_s = total_slots / to_seconds(target_settings{}.token_time);
    b.bound = b.outstanding_units + b.staleness_s * b.capacity_per_s;
    return b;
}

std::string format_text(const char* format, auto... values) {
    std::array<char, 400> buffer{};
    std::snprintf(buffer.data(), buffer.size(), format, values...);
    return buffer.data();
}

//-----------------------------------------------------------------------------
// [SECTION] Bench
//-----------------------------------------------------------------------------

std::vector<row> run_fairness_gap(std::uint64_t seed) {
    fairness_scenario s{seed};
    s.run();
    const bound_terms normal_bound = compute_bound({});
    const bound_terms partition_bound = compute_bound(fairness_scenario::partition_duration);
    const double wait_bound =
        5.0 + static_cast<double>(longest_response_tokens) * to_seconds(target_settings{}.token_time);
    std::vector<row> rows;
    rows.push_back(
        {"fairness_gap", s.largest_gap(), "units", normal_bound.bound, s.largest_gap() <= normal_bound.bound,
         format_text("L=%.0f S=%.3fs C=%.0f/s, S*C alone %.0f; served %.0f units",
                     normal_bound.outstanding_units, normal_bound.staleness_s, normal_bound.capacity_per_s,
                     normal_bound.staleness_s * normal_bound.capacity_per_s, s.served_total())});
    rows.push_back({"fairness_gap_partition", s.largest_gap_in_partition(), "units", partition_bound.bound,
                    s.largest_gap_in_partition() <= partition_bound.bound,
                    "partition of 20 s and 6 s after it, S grows by 20 s"});
    rows.push_back({"fairness_longest_wait", s.longest_wait(), "s", wait_bound,
                    s.longest_wait() <= wait_bound,
                    format_text("after the heal %.2f s", s.longest_wait_after_heal())});
    return rows;
}

const register_bench registered{"fairness_gap", run_fairness_gap};

} // namespace

} // namespace damaskhill::bench
