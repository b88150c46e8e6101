// Tests of the invariant checks. Each check is run against a deliberately broken variant to prove that it can
// fail.

#include "damaskhill_bench_orders.hpp"

#include <boost/test/unit_test.hpp>

using namespace damaskhill;
using namespace damaskhill::bench;

BOOST_AUTO_TEST_SUITE(invariants)

namespace {

order_load_settings patient_callers() {
    order_load_settings s;
    s.early_abandon_share = 0.0;
    s.not_run_final_share = 1.0;
    return s;
}

// Pauses the router that holds a claim before it learns that the claim is valid. The caller repeats the order
// through another router, and the paused router resumes after the order has run elsewhere.
void pause_claim_holder(fleet& f, order_load& load) {
    f.declare(order_team());
    f.run_for(3s);
    f.store().faults.delay = 50ms;
    load.create(f.now());
    const std::size_t holder = f.results().rbegin()->second.router;
    f.run_for(80ms);
    f.pause(holder);
    observe_abandoned(load.monitor, load.orders[1].current_caller);
    load.orders[1].current_caller = 0;
    while (load.orders[1].current_caller == 0 || f.result(load.orders[1].current_caller).router == holder)
        load.submit(1);
    f.run_for(1500ms);
    f.resume(holder);
    f.run_for(5s);
}

} // namespace

// Guards against a paused claim holder that runs the order a second time after it resumes.
BOOST_AUTO_TEST_CASE(paused_claim_holder_cannot_run_a_sealed_order) {
    fleet f{order_fleet(1, 3, 3)};
    order_load load{f, patient_callers()};
    pause_claim_holder(f, load);
    BOOST_TEST(load.monitor.violation_count == 0U);
    BOOST_TEST(f.order_runs["1"] == 1U);
    BOOST_TEST(f.counters["orders_sealed_total/"] == 1U); // the paused router did try to send the order
}

// Broken variant for P8: a sidecar that loses its seals.
BOOST_AUTO_TEST_CASE(sidecar_without_seals_violates_at_most_once) {
    fleet f{order_fleet(1, 3, 3)};
    order_load load{f, patient_callers()};
    f.rewrite_effects = [&](std::size_t node, effects& /*out*/) {
        if (node < f.router_count()) return;
        for (auto& [key, order] : f.nodes()[node].sidecar->orders.orders)
            order.sealed_by = {};
    };
    pause_claim_holder(f, load);
    BOOST_TEST(count_violations(load.monitor, invariant::at_most_once) > 0U);
}

// Broken variant for P8: routers that treat a write as done before the store has replied.
BOOST_AUTO_TEST_CASE(assigning_before_the_claim_is_known_violates_at_most_once) {
    fleet f{order_fleet(1, 3, 3)};
    order_load load{f, patient_callers()};
    f.declare(order_team());
    f.run_for(3s);
    for (const std::size_t sidecar : f.sidecars("app"))
        f.nodes()[sidecar].target.settings.work_time = 500ms;
    f.rewrite_effects = [&](std::size_t node, effects& out) {
        std::vector<store_reply> replies;
        for (effect& item : out) {
            const auto* swap = std::get_if<store_swap>(&item);
            if (swap == nullptr) continue;
            replies.push_back({swap->call, failure_kind::none, swap->expected + 1, {}});
            item = count{"writes_lost", {}, 1};
        }
        for (const store_reply& reply : replies)
            reduce(*f.nodes()[node].router, router_event{f.now(), reply}, out);
    };
    load.create(f.now());
    f.run_for(100ms);
    for (std::size_t i = 0; i < 3; ++i)
        f.block_traffic(i, (i + 1) % 3); // each router accesses the store on its own
    f.run_for(3s);
    load.orders[1].outcome = order_outcome::open; // the caller repeats the order although it was answered
    for (int i = 0; i < 3; ++i)
        load.submit(1);
    f.run_for(3s);
    BOOST_TEST(count_violations(load.monitor, invariant::at_most_once) > 0U);
}

// Broken variant for P7: a router that reports "not_run" only because it does not know of a run.
BOOST_AUTO_TEST_CASE(refusing_from_local_view_violates_accurate_refusal) {
    fleet f{order_fleet(1, 3, 3)};
    order_load load{f, patient_callers()};
    f.declare(order_team());
    f.run_for(3s);
    for (const std::size_t sidecar : f.sidecars("app"))
        f.nodes()[sidecar].target.settings.work_time = 500ms;
    f.rewrite_effects = [&](std::size_t /*node*/, effects& out) {
        for (effect& item : out) {
            if (auto* refused = std::get_if<refuse>(&item)) refused->state = run_state::not_run;
        }
    };
    load.create(f.now());
    f.run_for(200ms);
    for (const std::size_t sidecar : f.sidecars("app"))
        f.restart(sidecar, false);
    f.run_for(3s);
    BOOST_TEST(count_violations(load.monitor, invariant::accurate_refusal) > 0U);
}

namespace {

caller_request streaming_request() {
    caller_request r;
    r.caller = 7;
    r.stream = true;
    return r;
}

} // namespace

// Broken variants for P6: duplicated data, a truncated stream, data after the end, a wrong whole answer.
BOOST_AUTO_TEST_CASE(wrong_answers_violate_answer_integrity) {
    const std::vector<std::vector<effect>> broken{
        {stream_data{7, "ab"}, stream_data{7, "ab"}},
        {stream_data{7, "ab"}, stream_end{7, failure_kind::none}},
        {stream_data{7, "abcd"}, stream_end{7, failure_kind::none}, stream_data{7, "e"}},
        {answer_whole{7, {}, 200, {}, "abc"}},
    };
    for (const auto& performed : broken) {
        invariant_monitor monitor;
        observe_request(monitor, streaming_request(), "abcd", {}, time_point{});
        observe_router_effects(monitor, performed, time_point{});
        BOOST_TEST(count_violations(monitor, invariant::answer_integrity) == 1U);
    }
}

// Broken variant for P9: a sidecar that starts work after its target has been leaving for longer than
// leave_limit.
BOOST_AUTO_TEST_CASE(late_work_violates_graceful_stop) {
    invariant_monitor monitor;
    observe_target_leaving(monitor, "app-1", time_point{});
    const std::vector<effect> started{start_call{}};
    observe_sidecar_effects(monitor, "app-1", started, time_point{4s});
    BOOST_TEST(monitor.violation_count == 0U);
    observe_sidecar_effects(monitor, "app-1", started, time_point{4001ms});
    BOOST_TEST(count_violations(monitor, invariant::graceful_stop) == 1U);
}

// Broken variant for P9: a planned stop that breaks a caller's connection.
BOOST_AUTO_TEST_CASE(broken_connection_violates_graceful_stop) {
    invariant_monitor monitor;
    observe_broken_connection(monitor, 7, time_point{});
    BOOST_TEST(monitor.violation_count == 0U); // a failure may break a connection
    monitor.only_planned_stops = true;
    observe_broken_connection(monitor, 7, time_point{});
    BOOST_TEST(count_violations(monitor, invariant::graceful_stop) == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
