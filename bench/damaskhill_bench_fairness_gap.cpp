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
constexpr std::uint32_t slots = 8; // per target
constexpr std::uint64_t largest_tokens = 400;
constexpr double hint_error = 4.0;
constexpr double charge_step = 16.0; // units per charge of a running stream, as in the sidecar
constexpr std::size_t flooder = 0;
constexpr std::size_t returning = 3; // account that is idle from 20 s to 40 s

const std::vector<double> shares{2, 1, 1, 1, 1, 1, 2, 2, 2, 2, 3, 3, 4, 4, 6, 8};

class scenario {
public:
    explicit scenario(std::uint64_t seed)
        : fleet_{settings_of(seed)},
          meter_{shares},
          cut_meter_{shares},
          random_{seed * 7919},
          service_(shares.size()),
          last_start_(shares.size()),
          was_waiting_(shares.size()) {
        fleet_.declare(sample_accounts(shares, 2, slots));
        for (std::size_t i = 0; i < shares.size(); ++i) {
            // Each account uses one or two routers, the flooding account all of them.
            const std::size_t width = i == flooder ? routers : 1 + random_.next() % 2;
            const std::size_t first = random_.next() % routers;
            for (std::size_t k = 0; k < width; ++k)
                homes_[i].push_back((first + k) % routers);
            accounts_[account_id_of(sample_account_name(i))] = i;
        }
        fleet_.observer = [this](std::size_t node, const effects& out) { observe_effects(node, out); };
        fleet_.on_end = [this](const caller_result& r) { on_end(r); };
    }

    void run() {
        const time_point start = fleet_.now();
        start_ = start;
        fleet_.at(start + 3s, [this] { fill(); });
        fleet_.at(start + 15s, [this] { fleet_.restart(1, false); });
        fleet_.at(start + 30s, [this] { fleet_.restart(2, false); });
        fleet_.at(start + 45s, [this] { cut(true); });
        fleet_.at(start + 65s, [this] { cut(false); });
        fleet_.at(start + 85s, [this] { fleet_.restart(0, false); });
        for (time_point t = start + warm_up; t < start + length; t += sample_period)
            fleet_.at(t, [this] { sample(); });
        fleet_.run_until(start + length);
    }

    double gap() const { return meter_.largest(); }
    double cut_gap() const { return cut_meter_.largest(); }
    double longest_wait() const { return to_seconds(longest_wait_); }
    double longest_wait_after_heal() const { return to_seconds(longest_after_heal_); }
    double total() const {
        double sum = 0;
        for (const double units : service_)
            sum += units;
        return sum;
    }
    static constexpr duration cut_time = 20s;

private:
    static constexpr duration warm_up = 10s;
    static constexpr duration length = 110s;
    static constexpr duration sample_period = 100ms;

    static fleet_settings settings_of(std::uint64_t seed) {
        fleet_settings s;
        s.seed = seed;
        s.routers = routers;
        target_settings target;
        target.room = slots;
        s.pools.push_back({"lm", replicas, target});
        return s;
    }

    void fill() {
        for (std::size_t i = 0; i < shares.size(); ++i) {
            const std::size_t wanted = i == flooder ? 400 : 24 + 4 * static_cast<std::size_t>(shares[i]);
            for (std::size_t k = 0; k < wanted; ++k)
                ask(i);
        }
    }

    bool idle_now(std::size_t account) const {
        return account == returning && fleet_.now() > start_ + 20s && fleet_.now() < start_ + 40s;
    }

    void ask(std::size_t account) {
        if (idle_now(account)) {
            fleet_.at(start_ + 40s, [this, account] { ask(account); });
            return;
        }
        const auto& homes = homes_[account];
        std::size_t router = homes[random_.next() % homes.size()];
        if (!fleet_.router(router).up) router = (router + 1) % routers;
        const std::uint64_t tokens = 20 + random_.next() % (largest_tokens - 19);
        // The router estimates half of max_tokens, so the estimate is 1/4 to 4 times the actual token count.
        const double error = std::pow(hint_error, 2.0 * random_.next_unit() - 1.0);
        const auto max_tokens = static_cast<std::uint32_t>(2.0 * static_cast<double>(tokens) * error);
        const caller_id caller = fleet_.ask(
            router, model_request(account, tokens, max_tokens, request_class::interactive, next_++));
        owners_[caller] = account;
    }

    void on_end(const caller_result& r) {
        const std::size_t account = owners_.at(r.caller);
        owners_.erase(r.caller);
        fleet_.at(fleet_.now() + 20ms, [this, account] { ask(account); });
    }

    void observe_effects(std::size_t node, const effects& out) {
        for (const effect& item : out) {
            const auto* message = std::get_if<send_message>(&item);
            if (message == nullptr) continue;
            if (const auto* piece = std::get_if<chunk>(&message->message)) {
                const auto& running = fleet_.nodes()[node].sidecar->running;
                const auto call = running.find(piece->attempt);
                if (call == running.end()) continue;
                service_[accounts_.at(call->second.assignment.account)] +=
                    static_cast<double>(piece->data.size());
            } else if (const auto* work = std::get_if<assign>(&message->message)) {
                last_start_[accounts_.at(work->account)] = fleet_.now();
            }
        }
    }

    void cut(bool on) {
        for (std::size_t i = 1; i < routers; ++i) {
            if (on) {
                fleet_.cut(0, i);
            } else {
                fleet_.heal(0, i);
            }
        }
        if (on) cut_at_ = fleet_.now();
        if (!on) healed_at_ = fleet_.now();
        meter_.restart();
        cut_meter_.restart();
    }

    void sample() {
        const time_point now = fleet_.now();
        const auto waiting = waiting_accounts(fleet_, shares.size());
        // After the partition heals, links reopen and totals arrive within the dial limit of 5 s. Until then
        // samples count towards the partition.
        const bool in_cut =
            cut_at_ != time_point{} && (healed_at_ == time_point{} || now < healed_at_ + heal_time);
        if (!in_cut && was_cut_) meter_.restart();
        was_cut_ = in_cut;
        (in_cut ? cut_meter_ : meter_).sample(service_, waiting);
        for (std::size_t i = 0; i < shares.size(); ++i) {
            if (!waiting[i] || !was_waiting_[i]) last_start_[i] = std::max(last_start_[i], now);
            was_waiting_[i] = waiting[i];
            const duration waited = now - last_start_[i];
            longest_wait_ = std::max(longest_wait_, waited);
            if (healed_at_ != time_point{}) longest_after_heal_ = std::max(longest_after_heal_, waited);
        }
    }

    static constexpr duration heal_time = 6s;
    fleet fleet_;
    gap_meter meter_;
    gap_meter cut_meter_;
    random_source random_;
    std::vector<double> service_;
    std::vector<time_point> last_start_;
    std::vector<bool> was_waiting_;
    std::map<std::size_t, std::vector<std::size_t>> homes_;
    std::map<account_id, std::size_t> accounts_;
    std::map<caller_id, std::size_t> owners_;
    std::uint64_t next_{1};
    time_point start_{};
    time_point cut_at_{};
    time_point healed_at_{};
    bool was_cut_{};
    duration longest_wait_{};
    duration longest_after_heal_{};
};

//-----------------------------------------------------------------------------
// [SECTION] Bound
//-----------------------------------------------------------------------------

struct bound_terms {
    double outstanding{}; // L: units in progress
    double staleness{};   // S: age of the service totals, seconds
    double capacity{};    // C: units/s
    double value{};       // L + S * C
};

// Computes the bound G of design 6.1 without the factor 1/w_a + 1/w_b, because the meter divides by it.
bound_terms bound_for(duration extra_staleness) {
    const fleet_settings wiring;
    const router_settings router;
    bound_terms b;
    const double total_slots = static_cast<double>(replicas * slots);
    b.outstanding = total_slots * (1.0 + static_cast<double>(largest_tokens) * hint_error + charge_step);
    const duration delays = 4 * wiring.link_delay + 3 * wiring.tick_period;
    b.staleness =
        to_seconds(router.ledger.report_period + router.reservation_period + delays + extra_staleness);
    b.capacity = total_slots / to_seconds(target_settings{}.token_time);
    b.value = b.outstanding + b.staleness * b.capacity;
    return b;
}

std::string text_of(const char* format, auto... values) {
    std::array<char, 400> buffer{};
    std::snprintf(buffer.data(), buffer.size(), format, values...);
    return buffer.data();
}

//-----------------------------------------------------------------------------
// [SECTION] Bench
//-----------------------------------------------------------------------------

std::vector<row> run_fairness_gap(std::uint64_t seed) {
    scenario s{seed};
    s.run();
    const bound_terms normal = bound_for({});
    const bound_terms during_cut = bound_for(scenario::cut_time);
    const double wait_bound =
        5.0 + static_cast<double>(largest_tokens) * to_seconds(target_settings{}.token_time);
    std::vector<row> rows;
    rows.push_back(
        {"fairness_gap", s.gap(), "units", normal.value, s.gap() <= normal.value,
         text_of("L=%.0f S=%.3fs C=%.0f/s, S*C alone %.0f; served %.0f units", normal.outstanding,
                 normal.staleness, normal.capacity, normal.staleness * normal.capacity, s.total())});
    rows.push_back({"fairness_gap_partition", s.cut_gap(), "units", during_cut.value,
                    s.cut_gap() <= during_cut.value, "partition of 20 s and 6 s after it, S grows by 20 s"});
    rows.push_back({"fairness_longest_wait", s.longest_wait(), "s", wait_bound,
                    s.longest_wait() <= wait_bound,
                    text_of("after the heal %.2f s", s.longest_wait_after_heal())});
    return rows;
}

const register_bench registered{"fairness_gap", run_fairness_gap};

} // namespace

} // namespace damaskhill::bench
