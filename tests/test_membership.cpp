// Tests of links, heartbeats, isolation and restarts, with the real reducers in virtual time.

#include "damaskhill_bench_fleet.hpp"
#include "damaskhill_impl_thrift.hpp"

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

using namespace damaskhill;
using namespace damaskhill::bench;

BOOST_AUTO_TEST_SUITE(membership_and_links)

namespace {

team_declarations sample_team() {
    team_declarations team;
    team.team = "t";
    team.accounts.push_back({"t/a", 1.0, {std::string(64, 'a')}, 256});
    pool_declaration lm;
    lm.name = "lm";
    lm.warm_limit = 16;
    team.pools.push_back(lm);
    return team;
}

fleet_settings small_fleet(std::size_t routers, std::uint64_t seed = 1) {
    fleet_settings s;
    s.seed = seed;
    s.routers = routers;
    s.pools.push_back({"lm", 3, {}});
    return s;
}

caller_request completion_request() {
    caller_request r;
    r.pool = "lm";
    r.method = "POST";
    r.path = "/v1/completions";
    r.key_hash = std::string(64, 'a');
    r.body = "q tokens=10 ";
    r.max_tokens = 16;
    return r;
}

} // namespace

// Guards against a neighbour relation that is not symmetric, not connected, or has too many neighbours per
// name.
RC_BOOST_PROP(ring_is_symmetric_and_connected, ()) {
    const auto n = *rc::gen::inRange<std::size_t>(1, 400);
    std::vector<std::string> names;
    for (std::size_t i = 0; i < n; ++i)
        names.push_back("r" + std::to_string(1000 + i));
    std::set<std::string> reached{names.front()};
    std::vector<std::string> open{names.front()};
    while (!open.empty()) {
        const std::string name = open.back();
        open.pop_back();
        const auto near = ring_neighbours(names, name);
        RC_ASSERT(near.size() <= 10U);
        for (const std::string& other : near) {
            RC_ASSERT(ring_neighbours(names, other).contains(name));
            if (reached.insert(other).second) open.push_back(other);
        }
    }
    RC_ASSERT(reached.size() == n);
}

// Guards against keeping a silent link open: messages sent on it would never be answered.
BOOST_AUTO_TEST_CASE(silent_link_is_closed_and_redialled) {
    fleet f{small_fleet(2)};
    f.declare(sample_team());
    f.run_for(3s);
    BOOST_REQUIRE(find_peer_by_name(f.router(0).router->members, "router-1") != nullptr);
    f.block_traffic(0, 1);
    f.run_for(2700ms);
    BOOST_TEST(find_peer_by_name(f.router(0).router->members, "router-1") == nullptr);
    BOOST_TEST(find_peer_by_name(f.router(1).router->members, "router-0") == nullptr);
    f.unblock_all_traffic();
    f.run_for(8s);
    BOOST_TEST(find_peer_by_name(f.router(0).router->members, "router-1") != nullptr);
}

// Guards against heartbeats at the short period on idle links. With 370 routers these heartbeats alone would
// exceed the bound on control traffic.
BOOST_AUTO_TEST_CASE(idle_links_use_long_heartbeat_period) {
    fleet_settings s = small_fleet(12);
    fleet f{s};
    f.declare(sample_team());
    f.run_for(20s);
    const router_state& r = *f.router(0).router;
    std::map<std::string, int> beats;
    const auto watch = [&](std::size_t i, const effects& out) {
        if (i != 0) return;
        for (const effect& e : out) {
            const auto* m = std::get_if<send_message>(&e);
            const peer* p = m == nullptr ? nullptr : find_peer(r.members, m->link);
            if (p != nullptr && std::holds_alternative<heartbeat>(m->message)) ++beats[p->identity.name];
        }
    };
    f.observer = watch;
    f.run_for(20s);
    int idle_count = 0;
    for (const auto& [link, p] : r.members.peers) {
        if (p.identity.role != process_role::router) continue;
        const bool neighbour = r.members.neighbours.contains(p.identity.name);
        BOOST_TEST(beats[p.identity.name] >= (neighbour ? 35 : 1));
        BOOST_TEST(beats[p.identity.name] <= (neighbour ? 42 : 4));
        idle_count += neighbour ? 0 : 1;
        BOOST_TEST(p.idle == !neighbour);
    }
    BOOST_TEST(idle_count > 0);
    // A dead idle link is detected within the silence timeout once there is activity on it.
    for (const auto& [link, p] : r.members.peers) {
        if (!p.idle) continue;
        const std::string name = p.identity.name;
        const link_id idle_link = link;
        for (std::size_t i = 1; i < f.router_count(); ++i) {
            if (f.router(i).name == name) f.block_traffic(0, i);
        }
        effects out;
        reduce(*f.router(0).router, router_event{f.now(), link_message{idle_link, config_pull{}}}, out);
        f.run_for(2700ms);
        BOOST_TEST(find_peer_by_name(r.members, name) == nullptr);
        break;
    }
}

// Guards against a router that keeps serving although it cannot learn of configuration changes, and against a
// store outage that stops the whole fleet.
BOOST_AUTO_TEST_CASE(only_a_router_without_store_and_peers_refuses) {
    fleet f{small_fleet(3)};
    f.declare(sample_team());
    f.run_for(4s);
    f.store().faults.down = true;
    f.run_for(20s);
    const caller_id during_outage = f.send_request(0, completion_request());
    f.run_for(3s);
    BOOST_TEST(f.result(during_outage).answered);
    for (std::size_t other = 0; other < f.nodes().size(); ++other) {
        if (other != 1) f.block_traffic(1, other);
    }
    f.run_for(3500ms);
    const caller_id cut_off = f.send_request(1, completion_request());
    f.run_for(1s);
    BOOST_TEST((f.result(cut_off).refusal == failure_kind::isolated));
    BOOST_TEST((f.result(cut_off).state == run_state::not_run));
    BOOST_TEST(!f.router(1).router->ready);
    f.unblock_all_traffic();
    f.run_for(10s);
    const caller_id healed = f.send_request(1, completion_request());
    f.run_for(3s);
    BOOST_TEST(f.result(healed).answered);
}

// Guards against a router that restarts while the store is down and serves before it has the state of its
// peers.
BOOST_AUTO_TEST_CASE(restarted_router_syncs_from_peers_before_it_is_ready) {
    fleet f{small_fleet(3)};
    f.declare(sample_team());
    f.run_for(4s);
    effects ignored;
    reduce(*f.router(1).router,
           router_event{f.now(), facts_reply{failure_kind::none, 1, {{{"lm", "bad"}}, {}}}}, ignored);
    f.store().faults.down = true;
    f.restart(0, false);
    bool early = false;
    f.observer = [&](std::size_t i, const effects&) {
        const router_state& r = *f.router(0).router;
        if (i == 0 && r.ready && (r.config.teams.empty() || r.bootstrap.facts.empty())) early = true;
    };
    f.run_for(5s);
    BOOST_TEST(!early);
    BOOST_TEST(f.router(0).router->ready);
    BOOST_TEST(f.router(0).router->config.teams.at("t").accounts.size() == 1U);
    BOOST_TEST(f.counters["refill_bytes_total/"] > 0U);
}

// Guards against a router that never becomes ready because it waits for peers that do not exist.
BOOST_AUTO_TEST_CASE(single_router_becomes_ready) {
    fleet f{small_fleet(1)};
    f.declare(sample_team());
    f.run_for(4s);
    BOOST_TEST(f.router(0).router->ready);
}

// Guards against downtime during a rotation of link keys: at every stage, any two processes share a key,
// whichever one signs.
BOOST_AUTO_TEST_CASE(link_keys_rotate_while_both_are_listed) {
    const link_key old_key{1, "0123456789abcdef"};
    const link_key new_key{2, "fedcba9876543210"};
    const std::vector<std::vector<link_key>> stages{
        {old_key}, {old_key, new_key}, {new_key, old_key}, {new_key}};
    failure error;
    for (std::size_t i = 0; i + 1 < stages.size(); ++i) {
        for (const auto& [from, to] : {std::pair{i, i + 1}, std::pair{i + 1, i}}) {
            const std::string frame = sign_frame("m", stages[from], {true, 0}).substr(frame_length_size);
            BOOST_TEST(verify_frame(frame, stages[to], {true, 0}, error).has_value());
        }
    }
    const std::string old_frame = sign_frame("m", stages[0], {true, 0}).substr(frame_length_size);
    BOOST_TEST(!verify_frame(old_frame, stages[3], {true, 0}, error).has_value());
}

// Guards against closing a link because a newer release sends an unknown field or message.
BOOST_AUTO_TEST_CASE(fields_and_messages_of_a_newer_release_are_skipped) {
    heartbeat beat;
    beat.digest = 7;
    std::string bytes = encode_message(beat);
    // Thrift compact protocol: a boolean field with field id delta 6 before the two stop bytes.
    bytes.insert(bytes.size() - 2, 1, '\x61');
    failure error;
    const auto decoded = decode_message(bytes, error);
    BOOST_REQUIRE(decoded);
    BOOST_TEST(std::get<heartbeat>(*decoded).digest == 7U);
    std::string unknown = encode_message(pull_empty{3});
    unknown[0] = '\x0c';           // long form: type struct, number as a varint
    unknown.insert(1, "\xc8\x01"); // 100
    BOOST_TEST(!decode_message(unknown, error).has_value());
    BOOST_TEST((error.kind == failure_kind::unsupported_protocol));
}

BOOST_AUTO_TEST_SUITE_END()
