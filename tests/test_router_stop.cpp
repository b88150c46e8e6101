// Start and planned stop of a router: refusals while it cannot tell whether an order has run.

#include "damaskhill_impl_frontend.hpp"
#include "damaskhill_router.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>

using namespace damaskhill;

BOOST_AUTO_TEST_SUITE(router_stop)

namespace {

constexpr time_point start{std::chrono::hours{500'000}};

router_state make_router() {
    router_settings settings;
    settings.name = "router-a";
    settings.incarnation = {1, 2};
    return router_state{settings};
}

void apply_event(router_state& state, time_point now, router_input input, effects& out) {
    reduce(state, {now, std::move(input)}, out);
}

config_watch_result sample_config() {
    team_declarations team;
    team.team = "team";
    team.revision = 1;
    team.accounts.push_back({"team/account", 1.0, {sha256_hex("key")}, 256});
    pool_declaration app;
    app.name = "app";
    app.kind = target_kind::service;
    app.order_routes.push_back({"POST", "/orders"});
    team.pools.push_back(app);
    return {failure_kind::none, 1, {team}, 0};
}

caller_request sample_order(caller_id caller, time_point now) {
    caller_request order;
    order.caller = caller;
    order.route = caller_route::service;
    order.pool = "app";
    order.method = "POST";
    order.path = "/orders";
    order.key_hash = sha256_hex("key");
    const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch()).count();
    order.idempotency_key = format_hex128((static_cast<std::uint64_t>(ms) << 16U) | 0x7001U, 1);
    return order;
}

const refuse* refusal_of(const effects& out, caller_id caller) {
    for (const effect& item : out) {
        const auto* refusal = std::get_if<refuse>(&item);
        if (refusal != nullptr && refusal->caller == caller) return refusal;
    }
    return nullptr;
}

} // namespace

// Guards against a router without declarations that rejects valid keys, and against "not_run" for an order
// that may have run through another router.
BOOST_AUTO_TEST_CASE(router_without_declarations_refuses_as_isolated) {
    router_state state = make_router();
    effects out;
    apply_event(state, start, tick{}, out);
    caller_request model_request;
    model_request.caller = 1;
    model_request.pool = "model";
    model_request.key_hash = sha256_hex("key");
    apply_event(state, start, model_request, out);
    apply_event(state, start, sample_order(2, start), out);
    BOOST_REQUIRE(refusal_of(out, 1) && refusal_of(out, 2));
    BOOST_TEST((refusal_of(out, 1)->kind == failure_kind::isolated));
    BOOST_TEST((refusal_of(out, 1)->state == run_state::not_run));
    BOOST_TEST((refusal_of(out, 2)->kind == failure_kind::isolated));
    BOOST_TEST((refusal_of(out, 2)->state == run_state::unknown));
}

// Guards against an order that arrives at the end of a planned stop and gets no answer, and against a
// "not_run" without a record that confirms it.
BOOST_AUTO_TEST_CASE(order_after_the_last_request_is_answered_at_once) {
    router_state state = make_router();
    effects out;
    apply_event(state, start, sample_config(), out);
    apply_event(state, start + 10ms, stop_requested{}, out);
    apply_event(state, start + 20ms, tick{}, out);
    BOOST_REQUIRE(
        std::ranges::any_of(out, [](const effect& e) { return std::holds_alternative<exit_process>(e); }));
    out.clear();
    apply_event(state, start + 30ms, sample_order(3, start), out);
    BOOST_REQUIRE(refusal_of(out, 3));
    BOOST_TEST((refusal_of(out, 3)->kind == failure_kind::draining));
    BOOST_TEST((refusal_of(out, 3)->state == run_state::unknown));
}

BOOST_AUTO_TEST_SUITE_END()
