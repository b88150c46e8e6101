// Tests of version moves: sequential test, exposure, load schedule, and invariant P5 on the complete path.

#include "damaskhill_bench_fleet.hpp"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include <cmath>

using namespace damaskhill;
using namespace damaskhill::bench;

BOOST_AUTO_TEST_SUITE(versions)

namespace {

const time_point begin{std::chrono::hours{24 * 365 * 50}};

move_declaration sample_move() { return {"m", "lm", "v1", "v2", begin, begin + 60s, 0.02, false}; }

evidence_key key_of(std::string version, std::string route = "chat", std::uint32_t level = load_level_low) {
    return {"lm", std::move(version), std::move(route), level};
}

struct outcome_model {
    double failures{};
    double ms{40.0};
};

void add_attempts(version_evidence& evidence, random_source& random, const evidence_key& key,
                  std::size_t count, outcome_model s, incarnation_id owner = {1, 1}) {
    for (std::size_t i = 0; i < count; ++i) {
        const bool failed = random.next_unit() < s.failures;
        const double ms = s.ms * (0.8 + 0.8 * random.next_unit());
        record_attempt(evidence, owner, key, failed, duration{static_cast<std::int64_t>(ms * 1000)});
    }
}

struct trial {
    trial() { advance_test(test, evidence, sample_move(), {}, begin); } // the move begins without evidence
    version_evidence evidence;
    move_test test;
    random_source random{7};
    // 49 outcomes of the old version per outcome of the new one, evaluated in small steps as in routers.
    version_verdict run(std::size_t steps, outcome_model old, outcome_model new_target,
                        const std::string& route = "chat", std::uint32_t level = load_level_low) {
        for (std::size_t i = 0; i < steps; ++i) {
            add_attempts(evidence, random, key_of("v1", route, level), 49, old);
            add_attempts(evidence, random, key_of("v2", route, level), 1, new_target);
            advance_test(test, evidence, sample_move(), {}, begin + 1s);
        }
        return test.verdict;
    }
};

team_declarations sample_team(time_point start, duration period) {
    team_declarations team;
    team.team = "t";
    team.accounts.push_back({"t/a", 1.0, {std::string(64, 'a')}, 256});
    pool_declaration lm;
    lm.name = "lm";
    lm.version = "v1";
    lm.warm_limit = 16;
    lm.loads_per_minute = 30;
    team.pools.push_back(lm);
    team.moves.push_back({"m", "lm", "v1", "v2", start, start + period, 0.02, false});
    return team;
}

struct move_fleet {
    explicit move_fleet(std::uint64_t seed, duration period = 40s, std::uint32_t loads_per_minute = 30,
                        std::size_t routers = 3)
        : f{settings(seed, routers)} {
        start = f.now() + 4s;
        team = sample_team(start, period);
        team.pools.front().loads_per_minute = loads_per_minute;
        f.declare(team);
        f.run_for(2s);
        new_target = f.sidecars("lm").back();
        f.nodes()[new_target].target.version = "v2";
        f.restart(new_target, true);
        f.observer = [this](std::size_t node, const effects& out) {
            if (node < f.router_count()) return;
            for (const effect& item : out) {
                if (!std::holds_alternative<start_call>(item)) continue;
                const bool on_new = f.nodes()[node].target.version == "v2";
                ++(on_new ? on_v2 : on_v1);
                if (on_new) last_v2 = f.now();
            }
        };
        ask();
    }
    static fleet_settings settings(std::uint64_t seed, std::size_t routers) {
        fleet_settings s;
        s.seed = seed;
        s.routers = routers;
        s.pools.push_back({"lm", 4, {}});
        return s;
    }
    void ask() {
        caller_request r;
        r.pool = "lm";
        r.method = "POST";
        r.path = "/v1/completions";
        r.key_hash = std::string(64, 'a');
        r.body = "q tokens=4 ";
        r.max_tokens = 4;
        f.send_request(f.random().next() % f.router_count(), r);
        f.schedule(f.now() + 3ms, [this] { ask(); });
    }
    void fault(version_fault wrong) {
        for (const std::size_t i : f.sidecars("lm"))
            f.nodes()[i].target.version_faults["v2"] = wrong;
    }
    [[nodiscard]] bool condemned(std::size_t router) { return !f.router(router).router->condemned.empty(); }
    [[nodiscard]] bool any_condemned() {
        for (std::size_t i = 0; i < f.router_count(); ++i) {
            if (condemned(i)) return true;
        }
        return false;
    }
    // Runs until a router has condemned the new version and returns the time.
    time_point until_condemned(duration limit) {
        const time_point end = f.now() + limit;
        while (!any_condemned() && f.now() < end)
            f.run_for(10ms);
        BOOST_REQUIRE(any_condemned());
        return f.now();
    }

    fleet f;
    team_declarations team;
    time_point start;
    std::size_t new_target{};
    std::uint64_t on_v1{};
    std::uint64_t on_v2{};
    time_point last_v2{};
};

} // namespace

// Guards against a false positive rate above the configured one, over many evaluations and for both failures
// and latency.
BOOST_AUTO_TEST_CASE(false_positive_rate_is_within_bound) {
    std::size_t alarms = 0;
    constexpr std::size_t moves = 1000;
    for (std::size_t i = 0; i < moves; ++i) {
        trial t;
        t.random.state = i + 1;
        if (t.run(150, {0.02, 40.0}, {0.02, 40.0}) == version_verdict::bad) ++alarms;
    }
    // At a rate of 0.1%, more than 5 alarms in 1,000 moves have a probability below 0.1% (Poisson, mean 1).
    BOOST_TEST(alarms <= 5U);
}

// Guards against an absolute latency threshold: the same latency is good compared with a slow old version and
// bad compared with a fast one.
BOOST_AUTO_TEST_CASE(latency_is_compared_with_the_old_version) {
    BOOST_TEST((trial{}.run(200, {0.0, 4000.0}, {0.0, 4000.0}) == version_verdict::good));
    BOOST_TEST((trial{}.run(200, {0.0, 40.0}, {0.0, 100.0}) == version_verdict::bad));
}

// Guards against condemning a good version because its target is still warming up.
BOOST_AUTO_TEST_CASE(latencies_during_warmup_do_not_condemn) {
    trial t;
    add_attempts(t.evidence, t.random, key_of("v1"), 2000, {});
    add_attempts(t.evidence, t.random, key_of("v2", "chat", load_level_warming), 60, {0.0, 900.0});
    advance_test(t.test, t.evidence, sample_move(), {}, begin);
    BOOST_TEST((t.test.verdict == version_verdict::undecided));
    BOOST_TEST((t.run(200, {}, {}) == version_verdict::good));
}

// Guards against accepting a version before every route with traffic has been tested.
BOOST_AUTO_TEST_CASE(every_route_must_be_accepted) {
    trial t;
    add_attempts(t.evidence, t.random, key_of("v1", "completions"), 500, {});
    BOOST_TEST((t.run(300, {}, {}) == version_verdict::undecided));
    BOOST_TEST((t.run(200, {}, {0.5, 40.0}, "completions") == version_verdict::bad));
}

// Guards against a version that turns bad after thousands of good answers and is not condemned because of
// them.
BOOST_AUTO_TEST_CASE(version_that_turns_bad_later_is_condemned) {
    trial t;
    BOOST_TEST((t.run(3000, {}, {}) == version_verdict::good));
    BOOST_TEST((t.run(100, {}, {0.3, 40.0}) == version_verdict::bad));
}

// Guards against evidence that depends on the order in which reports arrive or on duplicates.
BOOST_AUTO_TEST_CASE(evidence_merges_in_any_order) {
    BOOST_TEST(rc::check("merge by maximum", [] {
        random_source random{*rc::gen::arbitrary<std::uint64_t>()};
        version_evidence own;
        std::vector<evidence_row> sent;
        for (int i = 0; i < 6; ++i) {
            add_attempts(own, random, key_of("v2"), 1 + random.next() % 5, {0.3, 40.0});
            sent.push_back(to_row(key_of("v2"), own.totals[key_of("v2")]));
        }
        version_evidence heard;
        for (int i = 0; i < 12; ++i)
            merge_evidence(heard, {1, 1}, sent[random.next() % sent.size()]);
        merge_evidence(heard, {1, 1}, sent.back());
        const auto& got = heard.totals[key_of("v2")];
        const auto& want = own.totals[key_of("v2")];
        RC_ASSERT(got.attempts == want.attempts && got.failures == want.failures &&
                  got.latency == want.latency);
    }));
}

// Guards against exposure above the configured share when many routers with few requests each round up.
BOOST_AUTO_TEST_CASE(exposure_is_bounded_across_many_routers) {
    BOOST_TEST(rc::check("sum of spent credits", [] {
        random_source random{*rc::gen::arbitrary<std::uint64_t>()};
        std::vector<exposure_credit> routers(1 + random.next() % 50);
        std::uint64_t exposed = 0;
        for (std::uint64_t started = 1; started <= 3000; ++started) {
            exposure_credit& router = routers[random.next() % routers.size()];
            add_credit(router, 0.02);
            if (random.next() % 100 == 0) router = {}; // restarted without its state
            if (spend_credit(router)) ++exposed;
            RC_ASSERT(static_cast<double>(exposed) <= 0.02 * static_cast<double>(started) + 1e-6);
        }
    }));
}

// Guards against more loads than the weight store allows, also when routers are partitioned.
BOOST_AUTO_TEST_CASE(load_slots_respect_weight_store_rate) {
    const std::vector<std::string> names{"a", "b", "c", "d", "e"};
    std::set<std::string> loaded;
    std::string last;
    std::size_t turns = 0;
    for (duration t{}; t < 60s; t += 100ms) {
        const std::string turn{load_slot_owner(names, 6, begin + t)};
        if (turn == last) continue;
        last = turn;
        ++turns;
        loaded.insert(turn);
    }
    BOOST_TEST(turns == 6U);
    BOOST_TEST(loaded.size() == names.size());
}

// Guards against a bad version that still receives traffic 4 s after the verdict while the store is down, one
// router is cut off from all processes but the new target, and another restarts without state.
BOOST_AUTO_TEST_CASE(condemned_version_receives_no_traffic_after_4_s) {
    move_fleet m{11};
    m.fault({0.5, 1.0, {}, 0.0, {}});
    m.f.run_until(m.start);
    m.f.store().faults.down = true;
    const time_point verdict = m.until_condemned(30s);
    for (std::size_t i = 0; i < m.f.nodes().size(); ++i) {
        if (i != 0 && i != m.new_target) m.f.block_traffic(0, i);
    }
    m.f.restart(1, false);
    m.f.run_for(10s);
    BOOST_TEST((m.last_v2 <= verdict + 4s));
    BOOST_TEST(m.condemned(1));
    m.f.unblock_all_traffic();
    m.f.store().faults.down = false;
    m.f.run_for(5s);
    // The same version in a new move gets no traffic either.
    m.team.moves[0].name = "again";
    m.team.moves[0].start = m.f.now();
    m.team.moves[0].deadline = m.f.now() + 60s;
    m.f.declare(m.team);
    const std::uint64_t before = m.on_v2;
    m.f.run_for(10s);
    BOOST_TEST(m.on_v2 == before);
}

// Shows that the check above can fail: the condemned fact is repeatedly erased in all processes, as in a
// fleet that does not store it, and the new version continues to receive traffic.
BOOST_AUTO_TEST_CASE(traffic_continues_without_condemned_facts) {
    move_fleet m{11};
    m.fault({0.5, 1.0, {}, 0.0, {}});
    const time_point verdict = m.until_condemned(30s);
    for (int i = 0; i < 1000; ++i) {
        for (node& n : m.f.nodes()) {
            if (n.router) {
                n.router->condemned.clear();
                n.router->move_tests.clear();
            } else {
                n.sidecar->condemned.clear();
            }
        }
        m.f.run_for(10ms);
    }
    BOOST_TEST((m.last_v2 > verdict + 4s));
}

// Guards against ignoring a rollback ordered by operators.
BOOST_AUTO_TEST_CASE(operators_can_roll_back) {
    move_fleet m{12};
    m.f.run_until(m.start + 5s);
    BOOST_TEST(m.on_v2 > 0U);
    m.team.moves[0].take_back = true;
    m.f.declare(m.team);
    const time_point ordered = m.f.now();
    m.f.run_for(10s);
    BOOST_TEST((m.last_v2 <= ordered + 4s));
}

// Guards against requests that wait for a version without targets. The only target with the new version is
// killed during the exposure phase.
BOOST_AUTO_TEST_CASE(requests_do_not_wait_for_version_without_targets) {
    move_fleet m{13};
    m.f.run_until(m.start + 5s);
    m.f.kill(m.new_target);
    const time_point killed = m.f.now();
    std::size_t late = 0;
    m.f.on_end = [&](const caller_result& r) {
        if (r.sent_at > killed && (!r.answered || r.ended_at - r.sent_at > 2s)) ++late;
    };
    m.f.run_for(10s);
    BOOST_TEST(late == 0U);
}

// Guards against targets that load a version outside their time slot, and against calls lost to a load.
BOOST_AUTO_TEST_CASE(loads_run_one_at_a_time_without_losing_calls) {
    move_fleet m{14};
    std::size_t lost = 0;
    m.f.on_end = [&](const caller_result& r) { lost += r.answered ? 0 : 1; };
    m.f.run_until(m.start + 42s);
    BOOST_TEST(m.f.version_loads.size() == 3U);
    for (std::size_t i = 1; i < m.f.version_loads.size(); ++i)
        BOOST_TEST((m.f.version_loads[i].first - m.f.version_loads[i - 1].first > 1s));
    BOOST_TEST(lost == 0U);
    BOOST_TEST(!m.any_condemned());
}

// Guards against time slots shorter than the decision period of routers. A router that evaluates only every
// second slot would never choose half of the targets, and the move would not complete.
BOOST_AUTO_TEST_CASE(short_load_slots_reach_every_target) {
    move_fleet m{15, 40s, 240, 1};
    m.f.run_until(m.start + 42s);
    BOOST_TEST(m.f.version_loads.size() == 3U);
    for (const std::size_t i : m.f.sidecars("lm"))
        BOOST_TEST(m.f.nodes()[i].target.version == "v2");
}

BOOST_AUTO_TEST_SUITE_END()
