// Takes a data centre out of service and back at full load: alone, with the store down, with a router cut
// off, two data centres in turn, with the data centre partitioned, and with a single VM leaving instead.
//
// Index of this file:
// [SECTION] Cases
// [SECTION] One run
// [SECTION] Bench

#include "damaskhill_bench.hpp"
#include "damaskhill_bench_fleet.hpp"

#include <algorithm>

namespace damaskhill::bench {

namespace {

//-----------------------------------------------------------------------------
// [SECTION] Cases
//-----------------------------------------------------------------------------

enum class trouble { none, store_down, router_cut, two_in_turn, region_cut, vm_leaving };
constexpr std::array troubles{trouble::none,        trouble::store_down, trouble::router_cut,
                              trouble::two_in_turn, trouble::region_cut, trouble::vm_leaving};
constexpr std::array names{"plain", "store_down", "router_cut", "two_in_turn", "region_cut", "vm_leaving"};

constexpr std::size_t targets = 12;
constexpr double room = 8;
constexpr std::size_t accounts = 4;
constexpr std::uint64_t tokens = 40;
constexpr duration promised = 4s; // limit of promise P4

struct findings {
    std::uint64_t late_starts{};          // starts on targets that left, more than 4 s after the change
    double busy{1.0};                     // lowest utilisation of the remaining targets over 1 s
    std::uint64_t overloads_while_cold{}; // calls beyond the cold limit after the return
    double gap{};               // largest difference of service between two accounts of equal share, units
    double gap_bound{};         // design 6.1
    std::uint64_t unanswered{}; // requests that ended without an answer
    std::uint64_t back{};       // starts on targets of the returned data centre
};

//-----------------------------------------------------------------------------
// [SECTION] One run
//-----------------------------------------------------------------------------

team_declarations declarations() {
    team_declarations team;
    team.team = "t";
    for (std::size_t i = 0; i < accounts; ++i) {
        const char letter = static_cast<char>('a' + i);
        team.accounts.push_back({std::string{"t/"} + letter, 1.0, {std::string(64, letter)}, 256});
    }
    pool_declaration lm;
    lm.name = "lm";
    lm.warm_limit = static_cast<std::uint32_t>(room);
    team.pools.push_back(lm);
    return team;
}

fleet_settings settings_for(std::uint64_t seed) {
    fleet_settings s;
    s.seed = seed;
    s.routers = 6;
    target_settings target;
    target.room = room;
    target.cold_time = 2s;
    s.pools.push_back({"lm", targets, target});
    return s;
}

class leave_run {
public:
    leave_run(trouble what, std::uint64_t seed) : what_(what), fleet_(settings_for(seed)) {}

    findings run() {
        team_ = declarations();
        fleet_.declare(team_);
        fleet_.run_for(3s);
        fleet_.observer = [this](std::size_t node, const effects& out) { observe(node, out); };
        fleet_.on_end = [this](const caller_result& r) { on_end(r); };
        // Closed loops keep a backlog of every account on every router.
        for (std::size_t router = 0; router < fleet_.router_count(); ++router) {
            for (std::size_t account = 0; account < accounts; ++account) {
                for (std::size_t i = 0; i < loops; ++i)
                    ask(router, account);
            }
        }
        fleet_.run_for(8s);
        served_at_ = served_;
        look_at_gap();
        leave("dc-a");
        fleet_.run_for(10s);
        if (what_ == trouble::two_in_turn) {
            come_back("dc-a");
            fleet_.run_for(8s);
            leave("dc-b");
            fleet_.run_for(8s);
            come_back("dc-b");
        } else {
            come_back("dc-a");
        }
        fleet_.run_for(8s);
        for (const std::size_t i : fleet_.sidecars("lm"))
            found_.overloads_while_cold += fleet_.nodes()[i].target.overloads_while_cold;
        return found_;
    }

private:
    static constexpr std::size_t loops = 8; // per account and router: 192 in total for 96 slots

    void ask(std::size_t router, std::size_t account) {
        caller_request r;
        r.pool = "lm";
        r.method = "POST";
        r.path = "/v1/completions";
        r.key_hash = std::string(64, static_cast<char>('a' + account));
        r.body = "q tokens=" + std::to_string(tokens) + " ";
        r.max_tokens = static_cast<std::uint32_t>(2 * tokens);
        owner_[fleet_.ask(router, std::move(r))] = account;
    }

    void on_end(const caller_result& r) {
        const std::size_t account = owner_[r.caller];
        if (r.answered) {
            served_[account] += static_cast<double>(tokens);
        } else {
            ++found_.unanswered;
        }
        // A router that is cut off refuses requests; its callers retry at the next router.
        std::size_t router = r.router;
        if (!r.answered) router = (router + 1) % fleet_.router_count();
        const duration pause = r.answered ? 0ms : 50ms;
        fleet_.at(fleet_.now() + pause, [this, router, account] { ask(router, account); });
    }

    bool is_out(std::size_t node) {
        const bool left = fleet_.nodes()[node].data_centre == out_;
        return what_ == trouble::vm_leaving ? node == leaving_ && !out_.empty() : left;
    }

    void leave(const std::string& name) {
        out_ = name;
        out_since_ = fleet_.now();
        if (what_ == trouble::vm_leaving) {
            leaving_ = fleet_.sidecars("lm").front();
            mark_leaving(true);
        } else if (what_ == trouble::region_cut) {
            fleet_.partition_data_centre(name);
        } else {
            declare(name, false);
        }
        if (what_ == trouble::router_cut) cut_router(0);
        if (what_ == trouble::store_down) {
            // Watchers have received the change by the time the store goes down.
            fleet_.at(fleet_.now() + 50ms, [this] { fleet_.store().faults.down = true; });
        }
        fleet_.at(fleet_.now() + 4500ms, [this] { begin_measuring(); });
    }

    void come_back(const std::string& name) {
        measuring_ = false;
        const std::string left = std::exchange(out_, {});
        returned_ = left;
        fleet_.store().faults.down = false;
        if (what_ == trouble::vm_leaving) {
            mark_leaving(false);
        } else if (what_ == trouble::region_cut) {
            fleet_.heal_data_centre(name);
        } else {
            declare(name, true);
        }
        if (what_ == trouble::router_cut) {
            fleet_.heal_all();
            fleet_.store().cut.clear();
        }
        // Engines of the returning data centre have lost their caches. A VM that was only marked as leaving
        // kept running and stays warm.
        for (const std::size_t i : fleet_.sidecars("lm")) {
            if (fleet_.nodes()[i].data_centre == name && what_ != trouble::vm_leaving)
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
        fleet_.store().cut.insert(fleet_.nodes()[router].name);
        for (std::size_t i = 0; i < fleet_.nodes().size(); ++i) {
            if (i != router && fleet_.nodes()[i].data_centre != out_) fleet_.cut(router, i);
        }
    }

    void mark_leaving(bool leaving) {
        for (vm_entry& vm : fleet_.store().vms) {
            if (vm.name == fleet_.nodes()[leaving_].name) vm.leaving = leaving;
        }
    }

    void observe(std::size_t node, const effects& out) {
        if (node < fleet_.router_count()) return;
        for (const effect& item : out) {
            if (!std::holds_alternative<start_call>(item)) continue;
            if (!out_.empty() && is_out(node) && fleet_.now() > out_since_ + promised) ++found_.late_starts;
            if (out_.empty() && fleet_.nodes()[node].data_centre == returned_) ++found_.back;
        }
    }

    void begin_measuring() {
        measuring_ = true;
        for (const std::size_t i : fleet_.sidecars("lm"))
            busy_at_[i] = fleet_.nodes()[i].target.busy_seconds;
        fleet_.at(fleet_.now() + 1s, [this] { look(); });
    }

    // Measures the gap over the whole run: the change, the absence and the return.
    void look_at_gap() {
        std::vector<double> gained;
        for (std::size_t a = 0; a < accounts; ++a)
            gained.push_back(served_[a] - served_at_[a]);
        found_.gap = std::max(found_.gap, std::ranges::max(gained) - std::ranges::min(gained));
        fleet_.at(fleet_.now() + 250ms, [this] { look_at_gap(); });
    }

    void look() {
        if (!measuring_) return;
        double used = 0.0;
        double all = 0.0;
        for (const std::size_t i : fleet_.sidecars("lm")) {
            const double busy = fleet_.nodes()[i].target.busy_seconds;
            if (!is_out(i)) {
                used += busy - busy_at_[i];
                all += room;
            }
            busy_at_[i] = busy;
        }
        found_.busy = std::min(found_.busy, used / all);
        fleet_.at(fleet_.now() + 1s, [this] { look(); });
    }

    trouble what_;
    fleet fleet_;
    findings found_;
    team_declarations team_;
    std::map<caller_id, std::size_t> owner_;
    std::array<double, accounts> served_{};
    std::array<double, accounts> served_at_{};
    std::map<std::size_t, double> busy_at_;
    std::string out_;
    std::string returned_;
    std::size_t leaving_{};
    time_point out_since_{};
    bool measuring_{};
};

//-----------------------------------------------------------------------------
// [SECTION] Bench
//-----------------------------------------------------------------------------

// Computes G = (L + S * C) / w_min of design 6.1, the largest difference of service between accounts of equal
// share.
double gap_bound() {
    const double slots = static_cast<double>(targets) * room;
    const double largest = static_cast<double>(tokens);
    const double staleness = 0.5 + 0.1 + 0.004;
    const double per_answer = 0.03 + static_cast<double>(tokens) * 0.005; // seconds on a target
    const double capacity = slots * largest / per_answer;
    return slots * largest + staleness * capacity;
}

std::vector<row> data_centre_leave(std::uint64_t seed) {
    std::vector<row> rows;
    for (std::size_t i = 0; i < troubles.size(); ++i) {
        const findings f = leave_run{troubles[i], seed}.run();
        const std::string name = std::string{"data_centre_leave."} + names[i];
        const bool whole = troubles[i] != trouble::region_cut;
        rows.push_back({name + ".late_starts", static_cast<double>(f.late_starts), "starts", 0.0,
                        f.late_starts == 0, "starts there later than 4 s after the change"});
        rows.push_back({name + ".busy", f.busy, "ratio", 0.95, f.busy >= 0.95,
                        "least over a second, of the room of the rest"});
        rows.push_back({name + ".gap", f.gap, "units", gap_bound(), f.gap <= gap_bound(),
                        "difference of service among 4 accounts of equal share"});
        rows.push_back({name + ".refused_cold", static_cast<double>(f.overloads_while_cold), "calls", 0.0,
                        f.overloads_while_cold == 0 && f.back > 0,
                        "beyond the cold limit after the return; starts there " + std::to_string(f.back) +
                            ", requests without an answer " + std::to_string(f.unanswered) +
                            (whole ? "" : " (callers of the cut region)")});
    }
    return rows;
}

const register_bench registered{"data_centre_leave", data_centre_leave};

} // namespace

} // namespace damaskhill::bench
