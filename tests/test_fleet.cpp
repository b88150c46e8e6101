// End-to-end tests in virtual time, with real reducers and a simulated platform and targets.

#include "damaskhill_bench_fleet.hpp"

#include <boost/test/unit_test.hpp>

using namespace damaskhill;
using namespace damaskhill::bench;

BOOST_AUTO_TEST_SUITE(request_path)

namespace {

team_declarations sample_team() {
    team_declarations team;
    team.team = "t";
    team.accounts.push_back({"t/a", 1.0, {std::string(64, 'a')}, 256});
    pool_declaration lm;
    lm.name = "lm";
    lm.warm_limit = 16;
    team.pools.push_back(lm);
    pool_declaration app;
    app.name = "app";
    app.kind = target_kind::service;
    app.cold_limit = 4;
    app.warm_limit = 16;
    app.order_routes.push_back({"POST", "/orders"});
    team.pools.push_back(app);
    return team;
}

fleet_settings sample_fleet() {
    fleet_settings s;
    s.pools.push_back({"lm", 3, {}});
    target_settings service;
    service.kind = target_kind::service;
    service.cold_limit = 4;
    s.pools.push_back({"app", 3, service});
    return s;
}

caller_request completion_request(std::string body) {
    caller_request r;
    r.pool = "lm";
    r.method = "POST";
    r.path = "/v1/completions";
    r.key_hash = std::string(64, 'a');
    r.body = std::move(body);
    r.max_tokens = 16;
    return r;
}

order_key key_at(time_point now, std::uint64_t number) {
    const auto ms = static_cast<std::uint64_t>(
        std::chrono::floor<std::chrono::milliseconds>(now).time_since_epoch().count());
    return {(ms << 16U) | 0x7000U, 0x8000000000000000U | number};
}

caller_request order(time_point now, std::uint64_t number) {
    caller_request r;
    r.route = caller_route::service;
    r.pool = "app";
    r.method = "POST";
    r.path = "/orders";
    r.key_hash = std::string(64, 'a');
    r.idempotency_key = to_string(key_at(now, number));
    r.body = "order=" + std::to_string(number) + " ";
    return r;
}

} // namespace

// Guards against a broken request path between caller and target.
BOOST_AUTO_TEST_CASE(request_is_answered_completely) {
    fleet f{sample_fleet()};
    f.declare(sample_team());
    f.run_for(3s);
    const caller_id whole = f.send_request(0, completion_request("q tokens=40 "));
    caller_request streamed = completion_request("s tokens=300 ");
    streamed.stream = true;
    const caller_id stream = f.send_request(1, streamed);
    f.run_for(20s);
    BOOST_TEST(f.result(whole).answered);
    BOOST_TEST(f.result(whole).text == expected_text("q tokens=40 ", 40));
    BOOST_TEST(f.result(stream).text == expected_text("s tokens=300 ", 300));
}

// Guards against large request bodies exhausting the memory of a router: their total size is bounded, and the
// budget is released when requests end.
BOOST_AUTO_TEST_CASE(total_body_size_is_bounded) {
    fleet_settings settings = sample_fleet();
    settings.configure_router = [](router_settings& s) { s.body_bytes_limit = 1000; };
    fleet f{settings};
    f.declare(sample_team());
    f.run_for(3s);
    const std::string large(600, 'x');
    const caller_id first = f.send_request(0, completion_request(large + " tokens=400 "));
    const caller_id second = f.send_request(0, completion_request(large + " tokens=40 "));
    f.run_for(30s);
    const caller_id third = f.send_request(0, completion_request(large + " tokens=41 "));
    f.run_for(30s);
    BOOST_TEST(f.result(first).answered);
    BOOST_TEST((f.result(second).refusal == failure_kind::queue_full));
    BOOST_TEST((f.result(second).state == run_state::not_run));
    BOOST_TEST(f.result(third).answered);
}

// Guards against the partial answer of a failed service call being prepended to the answer of its retry.
BOOST_AUTO_TEST_CASE(retried_lookup_restarts_answer_from_beginning) {
    fleet f{sample_fleet()};
    f.declare(sample_team());
    f.run_for(3s);
    bool broken = false;
    f.rewrite_effects = [&](std::size_t node, effects& out) {
        if (node < f.router_count()) return;
        for (effect& item : out) {
            auto* message = std::get_if<send_message>(&item);
            auto* end = message == nullptr ? nullptr : std::get_if<finish>(&message->message);
            if (end == nullptr || broken) continue;
            end->outcome = attempt_outcome::connection_lost;
            broken = true;
        }
    };
    caller_request lookup = order(f.now(), 7);
    lookup.method = "GET";
    lookup.path = "/stock/7";
    lookup.idempotency_key.clear();
    const caller_id caller = f.send_request(0, lookup);
    f.run_for(5s);
    BOOST_TEST(broken);
    BOOST_TEST(f.result(caller).answered);
    BOOST_TEST(f.result(caller).text == "done 7");
}

// Guards against an order that runs more than once when its caller repeats it through other routers.
BOOST_AUTO_TEST_CASE(repeated_order_runs_once) {
    fleet f{sample_fleet()};
    f.declare(sample_team());
    f.run_for(3s);
    const caller_request o = order(f.now(), 1);
    const caller_id first = f.send_request(0, o);
    const caller_id second = f.send_request(1, o);
    f.run_for(5s);
    const caller_id third = f.send_request(2, o);
    f.run_for(5s);
    for (const caller_id caller : {first, second, third}) {
        BOOST_TEST(f.result(caller).answered);
        BOOST_TEST(f.result(caller).text == "done 1");
    }
    BOOST_TEST(f.order_runs["1"] == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
