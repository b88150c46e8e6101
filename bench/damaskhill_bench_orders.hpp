// Callers of orders for benches and tests: each sends its order with one key, again and again through other
// routers, until it reads a definite answer or its time ends.
//
// Index of this file:
// [SECTION] Settings
// [SECTION] Load
// [SECTION] Faults

#pragma once

#include "damaskhill_bench_fleet.hpp"

#include <algorithm>
#include <cmath>

namespace damaskhill::bench {

//-----------------------------------------------------------------------------
// [SECTION] Settings
//-----------------------------------------------------------------------------

struct order_load_settings {
    double orders_per_second{30};
    duration timeout{4s};        // that the caller asks of a router
    duration patience{6s};       // after which the caller sends again without reading further
    duration time_limit{45s};    // of the caller over all submissions
    double impatient{0.05};      // share of submissions that the caller gives up within half a second
    double accepts_not_run{0.5}; // share of callers for which "not_run" is the end
    std::string pool{"app"};
    std::function<bool(std::size_t)> is_ready; // routers that the balancer uses; empty: all
};

//-----------------------------------------------------------------------------
// [SECTION] Load
//-----------------------------------------------------------------------------

/// Final state of one order as its caller sees it.
enum class order_end : std::uint8_t { open, answered, not_run, unknown };

struct order_case {
    std::uint64_t number{};
    caller_request request;
    time_point first{};
    caller_id current{}; // submission that the caller reads, 0: none
    std::uint32_t submissions{};
    bool stops_at_not_run{};
    order_end end{order_end::open};
    failure_kind last_refusal{failure_kind::none};
    run_state last_state{run_state::unknown}; // of the latest submission
};

/// Declarations of one service pool "app" with the order route POST /orders, and one account.
[[nodiscard]] inline team_declarations order_team() {
    team_declarations team;
    team.team = "t";
    team.accounts.push_back({"t/a", 1.0, {std::string(64, 'a')}, 4096});
    pool_declaration app;
    app.name = "app";
    app.kind = target_kind::service;
    app.cold_limit = 4;
    app.warm_limit = 16;
    app.order_routes.push_back({"POST", "/orders"});
    team.pools.push_back(app);
    return team;
}

[[nodiscard]] inline fleet_settings order_fleet(std::uint64_t seed, std::size_t routers,
                                                std::size_t replicas) {
    fleet_settings s;
    s.seed = seed;
    s.routers = routers;
    target_settings service;
    service.kind = target_kind::service;
    service.cold_limit = 4;
    service.cold_time = 500ms;
    s.pools.push_back({"app", replicas, service});
    return s;
}

/// Drives orders through a fleet and watches P6 to P9.
class order_load {
public:
    order_load(fleet& f, order_load_settings settings) : fleet_{f}, settings_{std::move(settings)} {
        fleet_.on_end = [this](const caller_result& result) { on_end(result); };
        fleet_.observer = [this](std::size_t node, const effects& out) {
            if (node < fleet_.router_count()) {
                observe_router_effects(monitor, out, fleet_.now());
            } else {
                observe_sidecar_effects(monitor, fleet_.nodes()[node].name, out, fleet_.now());
            }
        };
        fleet_.input_observer = [this](std::size_t /*node*/, const sidecar_input& input) {
            observe_sidecar_input(monitor, input);
        };
    }

    /// Submits orders at the rate from now until `end`.
    void start(time_point end) {
        const double gap = -std::log(1.0 - fleet_.random().next_unit()) / settings_.orders_per_second;
        fleet_.at(fleet_.now() + duration{static_cast<std::int64_t>(gap * 1e6)}, [this, end] {
            if (fleet_.now() >= end) return;
            create(fleet_.now());
            start(end);
        });
    }

    /// Creates one order; the first submission goes out at once.
    std::uint64_t create(time_point now) {
        const std::uint64_t number = cases.size() + 1;
        order_case& c = cases[number];
        c.number = number;
        c.first = now;
        c.stops_at_not_run = fleet_.random().next_unit() < settings_.accepts_not_run;
        c.request.route = caller_route::service;
        c.request.pool = settings_.pool;
        c.request.method = "POST";
        c.request.path = "/orders";
        c.request.key_hash = std::string(64, 'a');
        c.request.timeout_ms = static_cast<std::uint64_t>(to_milliseconds(settings_.timeout));
        const auto ms = static_cast<std::uint64_t>(
            std::chrono::floor<std::chrono::milliseconds>(now).time_since_epoch().count());
        const order_key key{(ms << 16U) | 0x7000U,
                            0x8000000000000000U | (number * 0x9E3779B97F4A7C15U >> 2U)};
        c.request.idempotency_key = to_string(key);
        c.request.body = "order=" + std::to_string(number) + " ";
        target_keys_[number] = to_string(scoped_order_key(key, account_id_of("t/a")));
        submit(number);
        return number;
    }

    void submit(std::uint64_t number) {
        order_case& c = cases[number];
        if (c.end != order_end::open) return;
        if (fleet_.now() - c.first > settings_.time_limit) {
            c.end = c.last_state == run_state::not_run ? order_end::not_run : order_end::unknown;
            return;
        }
        ++c.submissions;
        c.last_state = run_state::unknown;
        std::size_t router =
            (number * 7 + c.submissions + fleet_.random().next() % 2) % fleet_.router_count();
        while (settings_.is_ready && !settings_.is_ready(router))
            router = (router + 1) % fleet_.router_count();
        const caller_id caller = fleet_.ask(router, c.request);
        c.current = caller;
        by_caller_[caller] = number;
        caller_request asked = c.request;
        asked.caller = caller;
        observe_request(monitor, asked, "done " + std::to_string(number), target_keys_[number], fleet_.now());
        const bool impatient = fleet_.random().next_unit() < settings_.impatient;
        const duration patience = impatient
                                      ? duration{static_cast<std::int64_t>(fleet_.random().next() % 500'000)}
                                      : settings_.patience;
        fleet_.at(fleet_.now() + patience, [this, number, caller] {
            if (cases[number].current != caller) return;
            observe_abandoned(monitor, caller);
            cases[number].current = 0;
            submit(number);
        });
    }

    [[nodiscard]] std::size_t count_ends(order_end end) const {
        return static_cast<std::size_t>(
            std::ranges::count_if(cases, [&](const auto& c) { return c.second.end == end; }));
    }

    /// Orders whose number of runs does not fit what their callers were told.
    [[nodiscard]] std::vector<std::string> mismatches() {
        std::vector<std::string> wrong;
        for (const auto& [number, c] : cases) {
            const std::uint64_t runs = fleet_.order_runs[std::to_string(number)];
            const bool right = c.end == order_end::answered  ? runs == 1
                               : c.end == order_end::not_run ? runs == 0
                                                             : runs <= 1 && c.end == order_end::unknown;
            if (!right) wrong.push_back("order " + std::to_string(number) + " runs " + std::to_string(runs));
        }
        return wrong;
    }

    invariant_monitor monitor;
    std::map<std::uint64_t, order_case> cases;

private:
    void again(std::uint64_t number) {
        const duration pause{static_cast<std::int64_t>(200'000 + fleet_.random().next() % 1'000'000)};
        fleet_.at(fleet_.now() + pause, [this, number] { submit(number); });
    }

    void on_end(const caller_result& result) {
        const auto found = by_caller_.find(result.caller);
        if (found == by_caller_.end()) return;
        order_case& c = cases[found->second];
        if (c.current != result.caller || c.end != order_end::open) return;
        c.current = 0;
        if (result.broken) {
            observe_broken_connection(monitor, result.caller, fleet_.now());
            again(c.number);
        } else if (result.answered) {
            c.end = order_end::answered;
        } else {
            c.last_refusal = result.refusal;
            c.last_state = result.state;
            if (result.state == run_state::not_run && c.stops_at_not_run) {
                c.end = order_end::not_run;
            } else {
                again(c.number);
            }
        }
    }

    fleet& fleet_;
    order_load_settings settings_;
    std::map<caller_id, std::uint64_t> by_caller_;
    std::map<std::uint64_t, std::string> target_keys_;
};

//-----------------------------------------------------------------------------
// [SECTION] Faults
//-----------------------------------------------------------------------------

/// Failures of design 1.2 that apply to orders.
enum class order_fault : std::uint8_t {
    store_down,
    store_slow,
    store_lost_replies,
    store_late_writes,
    store_cut,
    router_restart,
    router_pause,
    sidecar_restart,
    sidecar_pause,
    cut_router_sidecar,
    cut_router_router,
    target_crash,
    target_lost_replies,
    count
};

/// Starts a failure now and ends it after `length`.
inline void inject(fleet& f, order_fault fault, duration length) {
    const time_point end = f.now() + length;
    const std::size_t router = f.random().next() % f.router_count();
    const std::size_t other = (router + 1) % f.router_count();
    const auto sidecars = f.sidecars("app");
    const std::size_t sidecar = sidecars[f.random().next() % sidecars.size()];
    store_faults& store = f.store().faults;
    switch (fault) {
    case order_fault::store_down:
        store.down = true;
        f.at(end, [&f] { f.store().faults.down = false; });
        return;
    case order_fault::store_slow:
        store.delay = 700ms;
        f.at(end, [&f] { f.store().faults.delay = 2ms; });
        return;
    case order_fault::store_lost_replies:
        store.lost_replies = 0.5;
        f.at(end, [&f] { f.store().faults.lost_replies = 0.0; });
        return;
    case order_fault::store_late_writes:
        store.late_writes = 0.5;
        f.at(end, [&f] { f.store().faults.late_writes = 0.0; });
        return;
    case order_fault::store_cut:
        f.store().cut.insert(f.nodes()[router].name);
        f.at(end, [&f, router] { f.store().cut.erase(f.nodes()[router].name); });
        return;
    case order_fault::router_restart:
        f.kill(router);
        f.at(end, [&f, router] {
            if (!f.nodes()[router].up) f.start(router);
        });
        return;
    case order_fault::router_pause:
        f.pause(router);
        f.at(end, [&f, router] { f.resume(router); });
        return;
    case order_fault::sidecar_restart:
        f.restart(sidecar, false);
        return;
    case order_fault::sidecar_pause:
        f.pause(sidecar);
        f.at(end, [&f, sidecar] { f.resume(sidecar); });
        return;
    case order_fault::cut_router_sidecar:
        f.cut(router, sidecar);
        f.at(end, [&f, router, sidecar] { f.heal(router, sidecar); });
        return;
    case order_fault::cut_router_router:
        f.cut(router, other);
        f.at(end, [&f, router, other] { f.heal(router, other); });
        return;
    case order_fault::target_crash:
        f.crash_target(sidecar);
        return;
    case order_fault::target_lost_replies:
        f.nodes()[sidecar].target.faults.lost_replies = 0.02;
        f.at(end, [&f, sidecar] { f.nodes()[sidecar].target.faults.lost_replies = 0.0; });
        return;
    case order_fault::count:
        return;
    }
}

} // namespace damaskhill::bench
