// Takes a data centre out of service and back at full load: alone, with the store down, with a router cut
// off, two data centres in turn, with the data centre partitioned, and with a single VM leaving instead.
//
// Index of this file:
// [SECTION] Cases
// [SECTION] Simulated run
// [SECTION] Bench

#include "damaskhill_bench.hpp"
#include "damaskhill_bench_fleet.hpp"

#include <algorithm>

namespace damaskhill::bench {

namespace {

//-----------------------------------------------------------------------------
// [SECTION] Cases
//-----------------------------------------------------------------------------

enum class disturbance { none, store_down, router_cut, two_in_turn, region_cut, vm_leaving };
constexpr std::array disturbances{disturbance::none,        disturbance::store_down, disturbance::router_cut,
                                  disturbance::two_in_turn, disturbance::region_cut, disturbance::vm_leaving};
constexpr std::array case_names{"plain",       "store_down", "router_cut",
                                "two_in_turn", "region_cut", "vm_leaving"};

constexpr std::size_t target_count = 12;
constexpr double slots_per_target = 8;
constexpr std::size_t account_count = 4;
constexpr std::uint64_t tokens_per_request = 40;
constexpr duration leave_limit = 4s; // limit of promise P4

struct leave_results {
    std::uint64_t late_starts{};          // starts on targets that left, more than 4 s after the change
    double min_utilisation{1.0};          // lowest utilisation of the remaining targets over 1 s
    std::uint64_t overloads_while_cold{}; // calls beyond the cold limit after the return
    double gap{};               // largest difference of service between two accounts of equal share, units
    double gap_bound{};         // design 6.1
    std::uint64_t unanswered{}; // requests that ended without an answer
    std::uint64_t starts_after_return{}; // starts on targets of the returned data centre
};

//-----------------------------------------------------------------------------
// [SECTION] Simulated run
//-----------------------------------------------------------------------------

team_declarations make_declarations() {
    team_declarations team;
    team.team = "t";
    for (std::size_t i = 0; i < account_count; ++i) {
        const char letter = static_cast<char>('a' + i);
        team.accounts.push_back({std::string{"t/"} + letter, 1.0, {std::string(64, letter)}, 256});
    }
    pool_declaration lm;
    lm.name = "lm";
    lm.warm_limit = static_cast<std::uint32_t>(slots_per_target);
    team.pools.push_back(lm);
    return team;
}

fleet_settings make_settings(std::uint64_t seed) {
    fleet_settings s;
    s.seed = seed;
    s.routers = 6;
    target_settings target;
    target.warm_limit = slots_per_target;
    target.cold_time = 2s;
    s.pools.push_back({"lm", target_count, target});
    return s;
}

class leave_run {
public:
    leave_run(disturbance kind, std::uint64_t seed) : disturbance_(kind), fleet_(make_settings(seed)) {}

    leave_results run() {
        team_ = make_declarations();
        fleet_.declare(team_);
        fleet_.run_for(3s);
        fleet_.observer = [this](std::size_t node, const effects& out) { observe_effects(node, out); };
        fleet_.on_end = [this](const caller_result& r) { on_end(r); };
        // Closed loops keep a backlog of every account on every router.
        for (std::size_t router = 0; router < fleet_.router_count(); ++router) {
            for (std::size_t account = 0; account < account_count; ++account) {
                for (std::size_t i = 0; i < loops_per_account; ++i)
                    send_request(router, account);
            }
        }
        fleet_.run_for(8s);
        served_at_start_ = served_units_;
        sample_gap();
        begin_absence("dc-a");
        fleet_.run_for(10s);
        if (disturbance_ == disturbance::two_in_turn) {
            end_absence("dc-a");
            fleet_.run_for(8s);
            begin_absence("dc-b");
            fleet_.run_for(8s);
            end_absence("dc-b");
        } else {
            end_absence("dc-a");
        }
        fleet_.run_for(8s);
        for (const std::size_t i : fleet_.sidecars("lm"))
            results_.overloads_while_cold += fleet_.nodes()[i].target.overloads_while_cold;
        return results_;
    }

private:
    static constexpr std::size_t loops_per_account = 8; // on each router: 192 in total for 96 slots

    void send_request(std::size_t router, std::size_t account) {
        caller_request r;
        r.pool = "lm";
        r.method = "POST";
        r.path = "/v1/completions";
        r.key_hash = std::string(64, static_cast<char>('a' + account));
        r.body = "q tokens=" + std::to_string(tokens_per_request) + " ";
        r.max_tokens = static_cast<std::uint32_t>(2 * tokens_per_request);
        caller_accounts_[fleet_.send_request(router, std::move(r))] = account;
    }

    void on_end(const caller_result& r) {
        const std::size_t account = caller_accounts_[r.caller];
        if (r.answered) {
            served_units_[account] += static_cast<double>(tokens_per_request);
        } else {
            ++results_.unanswered;
        }
        // A router that is cut off refuses requests; its callers retry at the next router.
        std::size_t router = r.router;
        if (!r.answered) router = (router + 1) % fleet_.router_count();
        const duration pause = r.answered ? 0ms : 50ms;
        fleet_.schedule(fleet_.now() + pause, [this, router, account] { send_request(router, account); });
    }

    bool is_absent(std::size_t node) {
        const bool in_absent_data_centre = fleet_.nodes()[node].data_centre == absent_data_centre_;
        return disturbance_ == disturbance::vm_leaving ? node == leaving_node_ && !absent_data_centre_.empty()
                                                       : in_absent_data_centre;
    }

    void begin_absence(const std::string& name) {
        absent_data_centre_ = name;
        absent_since_ = fleet_.now();
        if (disturbance_ == disturbance::vm_leaving) {
            leaving_node_ = fleet_.sidecars("lm").front();
            mark_leaving(true);
        } else if (disturbance_ == disturbance::region_cut) {
            fleet_.partition_data_centre(name);
        } else {
            declare(name, false);
        }
        if (disturbance_ == disturbance::router_cut) cut_router(0);
        if (disturbance_ == disturbance::store_down) {
            // Watchers have received the change by the time the store goes down.
            fleet_.schedule(fleet_.now() + 50ms, [this] { fleet_.store().faults.down = true; });
        }
        fleet_.schedule(fleet_.now() + 4500ms, [this] { begin_measuring(); });
    }

    void end_absence(const std::string& name) {
        measuring_ = false;
        const std::string absent = std::exchange(absent_data_centre_, {});
        returned_data_centre_ = absent;
        fleet_.store().faults.down = false;
        if (disturbance_ == disturbance::vm_leaving) {
            mark_leaving(false);
        } else if (disturbance_ == disturbance::region_cut) {
            fleet_.reconnect_data_centre(name);
        } else {
            declare(name, true);
        }
        if (disturbance_ == disturbance::router_cut) {
            fleet_.unblock_all_traffic();
            fleet_.store().blocked_routers.clear();
        }
        // Engines of the returning data centre have lost their caches. A VM that was only marked as leaving
        // kept running and stays warm.
        for (const std::size_t i : fleet_.sidecars("lm")) {
            if (fleet_.nodes()[i].data_centre == name && disturbance_ != disturbance::vm_leaving)
                fleet_.reset_to_cold(i);
        }
        for (const std::size_t i : fleet_.sidecars("lm"))
            fleet_.nodes()[i].target.overloads_while_cold = 0;
    }

    void declare(const std::string& name, bool in_service) {
        std::erase_if(team_.data_centres, [&](const auto& d) { return d.name == name; });
        team_.data_centres.push_back({name, in_service});
        fleet_.declare(team_);
    }

    void cut_router(std::size_t router) {
        fleet_.store().blocked_routers.insert(fleet_.nodes()[router].name);
        for (std::size_t i = 0; i < fleet_.nodes().size(); ++i) {
            if (i != router && fleet_.nodes()[i].data_centre != absent_data_centre_)
                fleet_.block_traffic(router, i);
        }
    }

    void mark_leaving(bool leaving) {
        for (vm_entry& vm : fleet_.store().vms) {
            if (vm.name == fleet_.nodes()[leaving_node_].name) vm.leaving = leaving;
        }
    }

    void observe_effects(std::size_t node, const effects& out) {
        if (node < fleet_.router_count()) return;
        for (const effect& item : out) {
            if (!std::holds_alternative<start_call>(item)) continue;
            if (!absent_data_centre_.empty() && is_absent(node) && fleet_.now() > absent_since_ + leave_limit)
                ++results_.late_starts;
            if (absent_data_centre_.empty() && fleet_.nodes()[node].data_centre == returned_data_centre_)
                ++results_.starts_after_return;
        }
    }

    void begin_measuring() {
        measuring_ = true;
        for (const std::size_t i : fleet_.sidecars("lm"))
            previous_busy_seconds_[i] = fleet_.nodes()[i].target.busy_seconds;
        fleet_.schedule(fleet_.now() + 1s, [this] { sample_utilisation(); });
    }

    // Measures the gap over the whole run: the change, the absence and the return.
    void sample_gap() {
        std::vector<double> served_since_start;
        for (std::size_t a = 0; a < account_count; ++a)
            served_since_start.push_back(served_units_[a] - served_at_start_[a]);
        results_.gap = std::max(results_.gap,
                                std::ranges::max(served_since_start) - std::ranges::min(served_since_start));
        fleet_.schedule(fleet_.now() + 250ms, [this] { sample_gap(); });
    }

    void sample_utilisation() {
        if (!measuring_) return;
        double used = 0.0;
        double available = 0.0;
        for (const std::size_t i : fleet_.sidecars("lm")) {
            const double busy = fleet_.nodes()[i].target.busy_seconds;
            if (!is_absent(i)) {
                used += busy - previous_busy_seconds_[i];
                available += slots_per_target;
            }
            previous_busy_seconds_[i] = busy;
        }
        results_.min_utilisation = std::min(results_.min_utilisation, used / available);
        fleet_.schedule(fleet_.now() + 1s, [this] { sample_utilisation(); });
    }

    disturbance disturbance_;
    fleet fleet_;
    leave_results results_;
    team_declarations team_;
    std::map<caller_id, std::size_t> caller_accounts_;
    std::array<double, account_count> served_units_{};
    std::array<double, account_count> served_at_start_{};
    std::map<std::size_t, double> previous_busy_seconds_;
    std::string absent_data_centre_;
    std::string returned_data_centre_;
    std::size_t leaving_node_{};
    time_point absent_since_{};
    bool measuring_{};
};

//-----------------------------------------------------------------------------
// [SECTION] Bench
//-----------------------------------------------------------------------------

// Computes G = (L + S * C) / w_min of design 6.1, the largest difference of service between accounts of equal
// share.
double gap_bound() {
    const double slots = static_cast<double>(target_count) * slots_per_target;
    const double largest_request = static_cast<double>(tokens_per_request);
    const double staleness = 0.5 + 0.1 + 0.004;
    // Processing time on a target.
    const double seconds_per_response = 0.03 + static_cast<double>(tokens_per_request) * 0.005;
    const double capacity = slots * largest_request / seconds_per_response;
    return slots * largest_request + staleness * capacity;
}

std::vector<row> data_centre_leave(std::uint64_t seed) {
    std::vector<row> rows;
    for (std::size_t i = 0; i < disturbances.size(); ++i) {
        const leave_results f = leave_run{disturbances[i], seed}.run();
        const std::string name = std::string{"data_centre_leave."} + case_names[i];
        const bool region_reachable = disturbances[i] != disturbance::region_cut;
        rows.push_back({name + ".late_starts", static_cast<double>(f.late_starts), "starts", 0.0,
                        f.late_starts == 0, "starts there later than 4 s after the change"});
        rows.push_back({name + ".busy", f.min_utilisation, "ratio", 0.95, f.min_utilisation >= 0.95,
                        "least over a second, of the room of the rest"});
        rows.push_back({name + ".gap", f.gap, "units", gap_bound(), f.gap <= gap_bound(),
                        "difference of service among 4 accounts of equal share"});
        rows.push_back({name + ".refused_cold", static_cast<double>(f.overloads_while_cold), "calls", 0.0,
                        f.overloads_while_cold == 0 && f.starts_after_return > 0,
                        "beyond the cold limit after the return; starts there " +
                            std::to_string(f.starts_after_return) + ", requests without an answer " +
                            std::to_string(f.unanswered) +
                            (region_reachable ? "" : " (callers of the cut region)")});
    }
    return rows;
}

const register_bench registered{"data_centre_leave", data_centre_leave};

} // namespace

} // namespace damaskhill::bench
