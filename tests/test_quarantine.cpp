// Requests that crash targets: isolation, quarantine, and the effect on concurrent requests.

#include "damaskhill_bench_orders.hpp"

#include <boost/test/unit_test.hpp>

using namespace damaskhill;
using namespace damaskhill::bench;

BOOST_AUTO_TEST_SUITE(quarantine_policy)

namespace {

constexpr std::uint64_t hash = 42;

attempt_id attempt(std::uint64_t number) { return {number, 1}; }

fleet_settings engines() {
    fleet_settings s;
    s.pools.push_back({"lm", 3, {}});
    return s;
}

team_declarations engine_team() {
    team_declarations team;
    team.team = "t";
    team.accounts.push_back({"t/a", 1.0, {std::string(64, 'a')}, 256});
    pool_declaration lm;
    lm.name = "lm";
    lm.warm_limit = 16;
    team.pools.push_back(lm);
    return team;
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

std::uint64_t total_crashes(fleet& f) {
    std::uint64_t total = 0;
    for (const node& n : f.nodes())
        total += n.target.crashes;
    return total;
}

} // namespace

// Guards against the quarantine of a request that was only in flight when other requests crashed the target.
BOOST_AUTO_TEST_CASE(only_a_crash_while_running_alone_quarantines) {
    quarantine state;
    BOOST_TEST(record_crash(state, hash, attempt(1), false));
    BOOST_TEST(record_crash(state, hash, attempt(2), false));
    BOOST_TEST(is_suspect(state, hash));
    BOOST_TEST(!is_quarantined(state, hash));
    BOOST_TEST(record_crash(state, hash, attempt(3), true));
    BOOST_TEST(is_quarantined(state, hash));
}

// Guards against a crash that is reported twice and counted as two.
BOOST_AUTO_TEST_CASE(repeated_crash_report_counts_once) {
    quarantine state;
    BOOST_TEST(record_crash(state, hash, attempt(1), true));
    BOOST_TEST(!record_crash(state, hash, attempt(1), true));
    BOOST_TEST(!is_quarantined(state, hash));
}

// Guards against crash records that grow without bound.
BOOST_AUTO_TEST_CASE(crash_records_are_bounded) {
    quarantine state;
    state.settings.record_limit = 10;
    for (std::uint64_t i = 0; i < 100; ++i)
        (void)record_crash(state, i, attempt(i + 1), false);
    BOOST_TEST(state.records.size() == 10U);
}

// Guards against a request that crashes one target after another, and against failures of the requests that
// ran beside it.
BOOST_AUTO_TEST_CASE(crashing_request_is_quarantined_after_two_crashes) {
    fleet f{engines()};
    f.declare(engine_team());
    f.run_for(6s);
    std::vector<caller_id> concurrent;
    for (int i = 0; i < 6; ++i)
        concurrent.push_back(f.send_request(static_cast<std::size_t>(i) % 3,
                                            completion_request("n" + std::to_string(i) + " tokens=50 ")));
    const caller_id bad = f.send_request(0, completion_request("CRASH tokens=50 "));
    f.run_for(20s);
    BOOST_TEST((f.result(bad).refusal == failure_kind::quarantined));
    BOOST_TEST(total_crashes(f) == 2U);
    const caller_id again = f.send_request(1, completion_request("CRASH tokens=50 "));
    f.run_for(5s);
    BOOST_TEST((f.result(again).refusal == failure_kind::quarantined));
    BOOST_TEST(total_crashes(f) == 2U);
    for (const caller_id concurrent_request : concurrent)
        BOOST_TEST(f.result(concurrent_request).answered);
}

// Guards against a lost connection that counts as a crash although the target still runs.
BOOST_AUTO_TEST_CASE(lost_connection_is_no_crash) {
    sidecar_settings settings;
    settings.name = "lm-0";
    settings.pool = "lm";
    sidecar_state state{settings};
    effects out;
    time_point now{1000s};
    const auto give = [&](sidecar_input input) {
        out.clear();
        reduce(state, sidecar_event{now, std::move(input)}, out);
    };
    give(target_status{true, true, "v1", 0, 1});
    give(link_opened{1, {}});
    give(link_message{1, hello{.role = process_role::router, .name = "router-0"}});
    reserve_row row;
    row.account = account_id_of("t/a");
    row.waiting = 1;
    row.cost_hint = 1.0;
    give(link_message{1, reserve{{row}}});
    assign work;
    for (const effect& item : out) {
        const auto* sent = std::get_if<send_message>(&item);
        const auto* asked = sent == nullptr ? nullptr : std::get_if<pull>(&sent->message);
        if (asked != nullptr) work.pull_id = asked->pull_id;
    }
    work.attempt = attempt(1);
    work.account = row.account;
    give(link_message{1, work});
    give(call_finished{attempt(1)});
    now += settings.crash_detection_timeout / 2;
    give(target_status{true, true, "v1", 0, 1});
    now += settings.crash_detection_timeout;
    give(tick{});
    std::size_t finishes = 0;
    for (const effect& item : out) {
        const auto* sent = std::get_if<send_message>(&item);
        const auto* end = sent == nullptr ? nullptr : std::get_if<finish>(&sent->message);
        if (end == nullptr) continue;
        ++finishes;
        BOOST_TEST((end->outcome == attempt_outcome::connection_lost));
        BOOST_TEST(!end->target_crashed);
    }
    BOOST_TEST(finishes == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
