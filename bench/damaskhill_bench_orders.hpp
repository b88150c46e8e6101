// Order load for benches and tests. Each simulated caller submits its order under one idempotency key and
// resubmits it through other routers until it gets a definite answer or reaches its time limit.
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
    duration timeout{4s};             // timeout that each request carries
    duration resubmit_after{6s};      // without an answer, the caller abandons the submission and resubmits
    duration time_limit{45s};         // of one order, over all its submissions
    double early_abandon_share{0.05}; // share of submissions abandoned within 0.5 s
    double not_run_final_share{0.5};  // share of callers that stop at a "not_run" refusal
    std::string pool{"app"};
    std::function<bool(std::size_t)> is_ready; // routers that the load balancer uses; empty: all
};

//-----------------------------------------------------------------------------
// [SECTION] Load
//-----------------------------------------------------------------------------

/// Outcome of one order as its caller sees it; `open` until the caller stops.
enum class order_outcome : std::uint8_t { open, answered, not_run, unknown };

/// One order and the progress of its caller.
struct submitted_order {
    std::uint64_t number{};
    caller_request request;
    time_point first_submitted{};
    caller_id current_caller{}; // submission whose response the caller reads; 0: none
    std::uint32_t submissions{};
    bool not_run_is_final{};
    order_outcome outcome{order_outcome::open};
    failure_kind last_refusal{failure_kind::none};
    run_state last_run_state{run_state::unknown}; // of the latest submission
};

/// Declares one account and the service pool "app" with the order route POST /orders.
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

/// Fleet with `replicas` services in the pool "app".
[[nodiscard]] inline fleet_settings order_fleet(std::uint64_t seed, std::size_t routers,
                                                std::size_t replicas) {
    fleet_settings settings;
    settings.seed = seed;
    settings.routers = routers;
    target_settings service;
    service.kind = target_kind::service;
    service.cold_limit = 4;
    service.cold_time = 500ms;
    settings.pools.push_back({"app", replicas, service});
    return settings;
}

/// Submits orders to a fleet and checks its events against the invariants P6 to P9 (`invariant`).
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

    /// Creates orders with Poisson arrivals at `orders_per_second` from now until `end`.
    void start(time_point end) {
        const double gap = -std::log(1.0 - fleet_.random().next_unit()) / settings_.orders_per_second;
        fleet_.schedule(fleet_.now() + duration{static_cast<std::int64_t>(gap * 1e6)}, [this, end] {
            if (fleet_.now() >= end) return;
            create(fleet_.now());
            start(end);
        });
    }

    /// Creates one order and submits it at once; returns its number.
    std::uint64_t create(time_point now) {
        const std::uint64_t number = orders.size() + 1;
        submitted_order& order = orders[number];
        order.number = number;
        order.first_submitted = now;
        order.not_run_is_final = fleet_.random().next_unit() < settings_.not_run_final_share;
        order.request.route = caller_route::service;
        order.request.pool = settings_.pool;
        order.request.method = "POST";
        order.request.path = "/orders";
        order.request.key_hash = std::string(64, 'a');
        order.request.timeout_ms = static_cast<std::uint64_t>(to_milliseconds(settings_.timeout));
        const auto ms = static_cast<std::uint64_t>(
            std::chrono::floor<std::chrono::milliseconds>(now).time_since_epoch().count());
        const order_key key{(ms << 16U) | 0x7000U,
                            0x8000000000000000U | (number * 0x9E3779B97F4A7C15U >> 2U)};
        order.request.idempotency_key = to_string(key);
        order.request.body = "order=" + std::to_string(number) + " ";
        scoped_keys_[number] = to_string(scoped_order_key(key, account_id_of("t/a")));
        submit(number);
        return number;
    }

    /// Submits an open order again, or closes it when its time limit has passed.
    void submit(std::uint64_t number) {
        submitted_order& order = orders[number];
        if (order.outcome != order_outcome::open) return;
        if (fleet_.now() - order.first_submitted > settings_.time_limit) {
            order.outcome =
                order.last_run_state == run_state::not_run ? order_outcome::not_run : order_outcome::unknown;
            return;
        }
        ++order.submissions;
        order.last_run_state = run_state::unknown;
        std::size_t router =
            (number * 7 + order.submissions + fleet_.random().next() % 2) % fleet_.router_count();
        while (settings_.is_ready && !settings_.is_ready(router))
            router = (router + 1) % fleet_.router_count();
        const caller_id caller = fleet_.send_request(router, order.request);
        order.current_caller = caller;
        order_by_caller_[caller] = number;
        caller_request asked = order.request;
        asked.caller = caller;
        observe_request(monitor, asked, "done " + std::to_string(number), scoped_keys_[number], fleet_.now());
        const bool abandons_early = fleet_.random().next_unit() < settings_.early_abandon_share;
        const duration wait = abandons_early
                                  ? duration{static_cast<std::int64_t>(fleet_.random().next() % 500'000)}
                                  : settings_.resubmit_after;
        fleet_.schedule(fleet_.now() + wait, [this, number, caller] {
            if (orders[number].current_caller != caller) return;
            observe_abandoned(monitor, caller);
            orders[number].current_caller = 0;
            submit(number);
        });
    }

    [[nodiscard]] std::size_t count_outcomes(order_outcome outcome) const {
        return static_cast<std::size_t>(std::ranges::count_if(
            orders, [&](const auto& entry) { return entry.second.outcome == outcome; }));
    }

    /// Describes the orders whose number of runs contradicts the outcome that their callers saw.
    [[nodiscard]] std::vector<std::string> mismatches() {
        std::vector<std::string> wrong;
        for (const auto& [number, order] : orders) {
            const std::uint64_t runs = fleet_.order_runs[std::to_string(number)];
            const bool right = order.outcome == order_outcome::answered ? runs == 1
                               : order.outcome == order_outcome::not_run
                                   ? runs == 0
                                   : runs <= 1 && order.outcome == order_outcome::unknown;
            if (!right) wrong.push_back("order " + std::to_string(number) + " runs " + std::to_string(runs));
        }
        return wrong;
    }

    invariant_monitor monitor;
    std::map<std::uint64_t, submitted_order> orders; // by order number

private:
    void schedule_resubmission(std::uint64_t number) {
        const duration wait{static_cast<std::int64_t>(200'000 + fleet_.random().next() % 1'000'000)};
        fleet_.schedule(fleet_.now() + wait, [this, number] { submit(number); });
    }

    void on_end(const caller_result& result) {
        const auto found = order_by_caller_.find(result.caller);
        if (found == order_by_caller_.end()) return;
        submitted_order& order = orders[found->second];
        if (order.current_caller != result.caller || order.outcome != order_outcome::open) return;
        order.current_caller = 0;
        if (result.connection_failed) {
            observe_broken_connection(monitor, result.caller, fleet_.now());
            schedule_resubmission(order.number);
        } else if (result.answered) {
            order.outcome = order_outcome::answered;
        } else {
            order.last_refusal = result.refusal;
            order.last_run_state = result.state;
            if (result.state == run_state::not_run && order.not_run_is_final) {
                order.outcome = order_outcome::not_run;
            } else {
                schedule_resubmission(order.number);
            }
        }
    }

    fleet& fleet_;
    order_load_settings settings_;
    std::map<caller_id, std::uint64_t> order_by_caller_;
    std::map<std::uint64_t, std::string> scoped_keys_; // by order number: key within the account
};

//-----------------------------------------------------------------------------
// [SECTION] Faults
//-----------------------------------------------------------------------------

/// Faults of design 1.2 that can affect orders.
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

/// Injects a fault now and removes it after `length`. A sidecar restart and a target crash have no length.
inline void inject_fault(fleet& f, order_fault fault, duration length) {
    const time_point end = f.now() + length;
    const std::size_t router = f.random().next() % f.router_count();
    const std::size_t other = (router + 1) % f.router_count();
    const auto sidecars = f.sidecars("app");
    const std::size_t sidecar = sidecars[f.random().next() % sidecars.size()];
    store_faults& store = f.store().faults;
    switch (fault) {
    case order_fault::store_down:
        store.down = true;
        f.schedule(end, [&f] { f.store().faults.down = false; });
        return;
    case order_fault::store_slow:
        store.delay = 700ms;
        f.schedule(end, [&f] { f.store().faults.delay = 2ms; });
        return;
    case order_fault::store_lost_replies:
        store.lost_replies = 0.5;
        f.schedule(end, [&f] { f.store().faults.lost_replies = 0.0; });
        return;
    case order_fault::store_late_writes:
        store.late_writes = 0.5;
        f.schedule(end, [&f] { f.store().faults.late_writes = 0.0; });
        return;
    case order_fault::store_cut:
        f.store().blocked_routers.insert(f.nodes()[router].name);
        f.schedule(end, [&f, router] { f.store().blocked_routers.erase(f.nodes()[router].name); });
        return;
    case order_fault::router_restart:
        f.kill(router);
        f.schedule(end, [&f, router] {
            if (!f.nodes()[router].up) f.start(router);
        });
        return;
    case order_fault::router_pause:
        f.pause(router);
        f.schedule(end, [&f, router] { f.resume(router); });
        return;
    case order_fault::sidecar_restart:
        f.restart(sidecar, false);
        return;
    case order_fault::sidecar_pause:
        f.pause(sidecar);
        f.schedule(end, [&f, sidecar] { f.resume(sidecar); });
        return;
    case order_fault::cut_router_sidecar:
        f.block_traffic(router, sidecar);
        f.schedule(end, [&f, router, sidecar] { f.unblock_traffic(router, sidecar); });
        return;
    case order_fault::cut_router_router:
        f.block_traffic(router, other);
        f.schedule(end, [&f, router, other] { f.unblock_traffic(router, other); });
        return;
    case order_fault::target_crash:
        f.crash_target(sidecar);
        return;
    case order_fault::target_lost_replies:
        f.nodes()[sidecar].target.faults.lost_replies = 0.02;
        f.schedule(end, [&f, sidecar] { f.nodes()[sidecar].target.faults.lost_replies = 0.0; });
        return;
    case order_fault::count:
        return;
    }
}

} // namespace damaskhill::bench
