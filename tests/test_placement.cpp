// Placement: prefix hints, spreading of load by restarted routers, bounded queues, and retries.

#include "damaskhill_bench_load.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>

using namespace damaskhill;
using namespace damaskhill::bench;

BOOST_AUTO_TEST_SUITE(placement)

namespace {

fleet_settings fleet_of(std::size_t replicas) {
    fleet_settings s;
    target_settings target;
    target.warm_limit = 4;
    s.pools.push_back({"lm", replicas, target});
    return s;
}

// Reports a cached prefix of the first sidecar to the routers, as a cache event of its engine does.
void set_prefix_hint(fleet& f, std::uint64_t hash) {
    const std::size_t holder = f.sidecars("lm").front();
    f.nodes()[holder].sidecar->stored_prefixes.push_back(hash);
    f.run_for(600ms);
}

} // namespace

// Guards against a hint that is ignored, and against a wrong one that keeps the request from other targets.
BOOST_AUTO_TEST_CASE(prefix_hint_is_preferred_without_blocking) {
    fleet f{fleet_of(3)};
    f.declare(sample_accounts(std::vector<double>{1}, 4, 4));
    f.run_for(5s);
    set_prefix_hint(f, 77);
    const std::size_t holder = f.sidecars("lm").front();
    const std::uint64_t before = f.nodes()[holder].target.calls_started;
    caller_request r = model_request(0, 20, 40, request_class::interactive, 1);
    r.prefix_hash = 77;
    f.send_request(0, r);
    f.run_for(100ms);
    BOOST_TEST(f.nodes()[holder].target.calls_started == before + 1);
    // The holder stops responding without notice, so the hint is wrong from now on.
    f.pause(holder);
    const caller_id second = f.send_request(0, r);
    f.run_for(2s);
    BOOST_TEST(f.result(second).answered);
    BOOST_TEST(f.result(second).text == expected_text(r.body, 20));
}

// Guards against a prefix cache that grows without bound.
BOOST_AUTO_TEST_CASE(prefix_cache_is_bounded) {
    prefix_cache memory;
    memory.limit = 10;
    for (std::uint64_t hash = 1; hash <= 1000; ++hash) {
        add_prefix(memory, hash);
        if (hash % 2 == 0) drop_prefix(memory, hash);
    }
    BOOST_TEST(memory.insertion_order.size() == 10U);
    BOOST_TEST(memory.hashes.size() <= 10U);
    BOOST_TEST(holds_prefix(memory, 999));
    BOOST_TEST(!holds_prefix(memory, 1000));
}

// Guards against routers that restart together and all choose the same sidecar.
BOOST_AUTO_TEST_CASE(returning_routers_spread) {
    std::vector<placement_candidate> same;
    for (link_id link = 1; link <= 12; ++link)
        same.push_back({link, 8.0, false});
    std::map<link_id, int> chosen;
    for (std::uint64_t router = 0; router < 600; ++router) {
        random_source random{router * 7919 + 1};
        for (const link_id link : choose_initial_sidecars(same, {}, random))
            ++chosen[link];
    }
    BOOST_TEST(chosen.size() == 12U);
    for (const auto& [link, count] : chosen)
        BOOST_TEST(count < 200); // the mean is 100
}

// Guards against retries that multiply the load on failing targets.
BOOST_AUTO_TEST_CASE(retries_do_not_multiply_load) {
    fleet f{fleet_of(3)};
    f.declare(sample_accounts(std::vector<double>{1}, 4, 4));
    f.run_for(5s);
    for (const std::size_t i : f.sidecars("lm"))
        f.nodes()[i].target.faults.fail_rate = 1.0;
    constexpr std::uint64_t requests = 300;
    for (std::uint64_t i = 0; i < requests; ++i) {
        f.schedule(f.now() + i * 10ms, [&f, i] {
            f.send_request(i % 3, model_request(0, 20, 40, request_class::interactive, i));
        });
    }
    f.run_for(30s);
    std::uint64_t started = 0;
    for (const std::size_t i : f.sidecars("lm"))
        started += f.nodes()[i].target.calls_started;
    // Retries: a tenth of the requests, plus the initial budget of five on each of the three routers.
    BOOST_TEST(started <= requests + requests / 10 + 3 * 5);
    BOOST_TEST(started > requests);
}

// Guards against an unbounded queue, and against a refusal with `not_run` of a request that ran.
BOOST_AUTO_TEST_CASE(full_queue_refuses_only_requests_that_have_not_run) {
    fleet f{fleet_of(1)};
    auto team = sample_accounts(std::vector<double>{1}, 4, 4);
    team.accounts[0].max_waiting = 5;
    f.declare(team);
    f.run_for(5s);
    std::set<std::string> ran;
    f.observer = [&](std::size_t, const effects& out) {
        for (const effect& item : out) {
            if (const auto* start = std::get_if<start_call>(&item)) ran.insert(start->body);
        }
    };
    std::vector<caller_id> callers;
    for (std::uint64_t i = 0; i < 40; ++i)
        callers.push_back(f.send_request(0, model_request(0, 200, 400, request_class::interactive, i)));
    f.run_for(20s);
    std::size_t refused = 0;
    for (const caller_id caller : callers) {
        const caller_result& r = f.result(caller);
        if (r.refusal == failure_kind::none) continue;
        ++refused;
        BOOST_TEST((r.refusal == failure_kind::queue_full && r.state == run_state::not_run));
        BOOST_TEST(!ran.contains(r.request.body));
    }
    BOOST_TEST(refused >= 30U);
}

BOOST_AUTO_TEST_SUITE_END()
