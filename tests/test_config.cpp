// Tests of the propagation of declarations (applied everywhere, never reverted, invalid ones rejected) and of
// damaged documents.

#include "damaskhill_bench_fleet.hpp"
#include "damaskhill_impl_json.hpp"
#include "damaskhill_impl_program.hpp"

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

using namespace damaskhill;
using namespace damaskhill::bench;

BOOST_AUTO_TEST_SUITE(declarations)

namespace {

team_declarations sample_team(const std::string& name = "t") {
    team_declarations team;
    team.team = name;
    team.accounts.push_back({name + "/a", 1.0, {std::string(64, 'a')}, 256});
    pool_declaration lm;
    lm.name = "lm";
    lm.warm_limit = 16;
    team.pools.push_back(lm);
    team.data_centres.push_back({"dc-a", true});
    return team;
}

fleet_settings small_fleet(std::size_t routers, std::uint64_t seed = 1) {
    fleet_settings s;
    s.seed = seed;
    s.routers = routers;
    s.pools.push_back({"lm", 3, {}});
    return s;
}

const configuration& config_of(const node& n) { return n.router ? n.router->config : n.sidecar->config; }

std::uint64_t revision_at(const node& n, const std::string& team) {
    const auto found = config_of(n).teams.find(team);
    return found == config_of(n).teams.end() ? 0 : found->second.revision;
}

assign work_with_revisions(std::vector<team_revision> revisions, std::uint64_t pull_id,
                           std::uint64_t number) {
    assign work;
    work.pull_id = pull_id;
    work.attempt = {number, 1};
    work.account = account_id_of("t/a");
    work.revisions = std::move(revisions);
    return work;
}

// A sidecar with a link to one router, a ready target and one open pull.
struct single_sidecar {
    sidecar_state state;
    time_point now{std::chrono::hours{1}};
    effects out;
    std::uint64_t pull_id{};

    single_sidecar() : state{make()} {
        give(target_status{true, true, "v1", 0, 1});
        give(link_opened{1, {}});
        hello greeting;
        greeting.role = process_role::router;
        greeting.name = "r";
        message(greeting);
        reserve rows;
        rows.rows.push_back({account_id_of("t/a"), request_class::interactive, {}, 1, 0, 1.0, 1.0, 0.0});
        message(rows);
        pull_id = last<pull>().value().pull_id;
    }
    static sidecar_settings make() {
        sidecar_settings s;
        s.name = "s";
        s.pool = "lm";
        s.data_centre = "dc-a";
        return s;
    }
    void give(sidecar_input input) {
        out.clear();
        reduce(state, sidecar_event{now, std::move(input)}, out);
    }
    void message(peer_message m) { give(link_message{1, std::move(m)}); }
    template <class Message>
    std::optional<Message> last() const {
        std::optional<Message> found;
        for (const effect& e : out) {
            const auto* m = std::get_if<send_message>(&e);
            if (m != nullptr && std::holds_alternative<Message>(m->message))
                found = std::get<Message>(m->message);
        }
        return found;
    }
    bool started() const {
        return std::ranges::any_of(out,
                                   [](const effect& e) { return std::holds_alternative<start_call>(e); });
    }
    void push(std::uint64_t revision) {
        team_declarations team = sample_team();
        team.revision = revision;
        message(config_push{{team}});
    }
};

} // namespace

// Guards against a lower or equal revision replacing a higher one, for any order of arrival.
RC_BOOST_PROP(revisions_never_decrease, (const std::vector<std::pair<std::uint8_t, bool>>& arrivals)) {
    configuration config;
    std::map<std::string, std::uint64_t> highest;
    for (const auto& [revision, second] : arrivals) {
        team_declarations team = sample_team(second ? "u" : "t");
        team.revision = revision;
        team.pools.front().cold_limit = 1 + revision % 8; // identifies the content in force
        const bool newer = revision > highest[team.team];
        RC_ASSERT(apply_declarations(config, team) == newer);
        highest[team.team] = std::max<std::uint64_t>(highest[team.team], revision);
        for (const auto& [name, r] : highest) {
            const auto found = config.teams.find(name);
            RC_ASSERT((found == config.teams.end()) == (r == 0));
            if (r > 0) RC_ASSERT(found->second.pools.front().cold_limit == 1 + r % 8);
        }
    }
}

// Guards against processes that disagree about the owner of a pool because they received the teams'
// declarations in different orders, and against a move of another team's pool.
BOOST_AUTO_TEST_CASE(name_conflicts_resolve_independently_of_order) {
    team_declarations first = sample_team("t");
    first.revision = 1;
    first.pools.front().cold_limit = 3;
    team_declarations second = sample_team("u");
    second.revision = 1;
    second.moves.push_back({"m", "lm", "v1", "v2", time_point{}, time_point{1h}});
    for (const bool swapped : {false, true}) {
        configuration config;
        apply_declarations(config, swapped ? second : first);
        apply_declarations(config, swapped ? first : second);
        BOOST_TEST(find_pool(config, "lm")->cold_limit == 3U);
        BOOST_TEST(config.moves.empty());
        BOOST_TEST(config.name_conflicts == 4U); // pool, data centre, key and move
        team_declarations gone = first;
        gone.revision = 2;
        gone.pools.clear();
        gone.accounts.clear();
        apply_declarations(config, gone);
        BOOST_TEST(find_pool(config, "lm")->cold_limit == 2U);
        BOOST_TEST(config.moves.size() == 1U);
    }
}

// Guards against a declared account of another team being applied in any process.
BOOST_AUTO_TEST_CASE(rejected_change_is_applied_nowhere) {
    fleet f{small_fleet(3)};
    f.declare(sample_team());
    f.run_for(4s);
    team_declarations bad = sample_team();
    bad.accounts.push_back({"other/a", 1.0, {std::string(64, 'b')}, 256});
    f.declare(bad);
    f.run_for(5s);
    f.restart(1, false);
    f.run_for(5s);
    for (const node& n : f.nodes()) {
        BOOST_TEST(revision_at(n, "t") == 1U);
        BOOST_TEST(!config_of(n).accounts.contains(account_id_of("other/a")));
    }
    BOOST_TEST(f.counters["declarations_rejected_total/foreign_subtree"] > 0U);
    f.declare(sample_team());
    f.run_for(4s);
    for (const node& n : f.nodes())
        BOOST_TEST(revision_at(n, "t") == 3U);
}

// Guards against running work assigned under outdated declarations: a data centre taken out of service would
// receive work.
BOOST_AUTO_TEST_CASE(sidecar_rejects_work_with_outdated_revision) {
    single_sidecar s;
    s.push(5);
    s.message(work_with_revisions({{"t", 4}}, s.pull_id, 1));
    BOOST_TEST(!s.started());
    const auto end = s.last<finish>();
    BOOST_REQUIRE(end);
    BOOST_TEST((end->outcome == attempt_outcome::not_sent));
    BOOST_TEST((end->reason == failure_kind::stale_revision));
    BOOST_TEST((end->revisions == std::vector<team_revision>{{"t", 5}}));
}

// Guards against a sidecar that runs work before it has the declarations that the router used.
BOOST_AUTO_TEST_CASE(outdated_sidecar_pulls_configuration_before_running_work) {
    single_sidecar s;
    s.push(5);
    s.now += 200ms;
    s.message(work_with_revisions({{"t", 6}}, s.pull_id, 1));
    BOOST_TEST(!s.started());
    BOOST_REQUIRE(s.last<config_pull>());
    BOOST_TEST(s.last<config_pull>()->have.front().revision == 5U);
    s.push(6);
    BOOST_TEST(s.started());
}

// Guards against deferred work that waits indefinitely for declarations that never arrive.
BOOST_AUTO_TEST_CASE(work_is_returned_if_its_configuration_does_not_arrive) {
    single_sidecar s;
    s.push(5);
    s.message(work_with_revisions({{"t", 6}}, s.pull_id, 1));
    s.now += 1100ms;
    s.give(tick{});
    const auto end = s.last<finish>();
    BOOST_REQUIRE(end);
    BOOST_TEST((end->outcome == attempt_outcome::not_sent));
    BOOST_TEST(s.state.deferred.empty());
    BOOST_TEST(s.state.pulls.empty());
}

// Guards against a sidecar that keeps a pool declaration after its team has deleted it.
BOOST_AUTO_TEST_CASE(deleted_pool_is_removed_from_sidecars) {
    fleet f{small_fleet(3)};
    f.declare(sample_team());
    f.run_for(4s);
    team_declarations empty;
    empty.team = "t";
    f.declare(empty);
    f.run_for(4s);
    for (const node& n : f.nodes()) {
        BOOST_TEST(revision_at(n, "t") == 2U);
        BOOST_TEST(find_pool(config_of(n), "lm") == nullptr);
    }
}

// Guards against declarations that revert or do not reach every process within 4 s after the end of the
// faults, for any sequence of changes, restarts, partitions and store faults.
RC_BOOST_PROP(propagation_converges_and_never_reverts, ()) {
    const auto seed = *rc::gen::inRange<std::uint64_t>(1, 1000);
    const auto steps = *rc::gen::container<std::vector<std::uint8_t>>(10, rc::gen::arbitrary<std::uint8_t>());
    fleet f{small_fleet(4, seed)};
    std::map<std::pair<std::size_t, std::uint64_t>, std::uint64_t> highest; // by node and generation
    bool reverted = false;
    f.observer = [&](std::size_t i, const effects&) {
        const node& n = f.nodes()[i];
        std::uint64_t& seen = highest[{i, n.generation}];
        const std::uint64_t present = revision_at(n, "t");
        reverted = reverted || present < seen;
        seen = present;
    };
    f.declare(sample_team());
    f.run_for(4s);
    for (const std::uint8_t step : steps) {
        const std::size_t node_a = step / 8 % f.nodes().size();
        const std::size_t node_b = step / 3 % f.nodes().size();
        switch (step % 8) {
        case 0:
        case 1:
            f.declare(sample_team());
            break;
        case 2:
            f.restart(node_a, false);
            break;
        case 3:
            if (node_a != node_b) f.block_traffic(node_a, node_b);
            break;
        case 4:
            f.unblock_all_traffic();
            break;
        case 5:
            f.store().faults.down = !f.store().faults.down;
            break;
        case 6:
            f.store().blocked_routers.insert("router-" + std::to_string(node_a % 4));
            break;
        default:
            f.run_for(1500ms);
        }
        f.run_for(300ms);
    }
    f.unblock_all_traffic();
    f.store().faults.down = false;
    f.store().blocked_routers.clear();
    f.run_for(8s); // 4 s to redial links after a partition, 4 s for the propagation
    RC_ASSERT(!reverted);
    const std::uint64_t newest = f.store().teams["t"].revision;
    for (const node& n : f.nodes())
        RC_ASSERT(revision_at(n, "t") == newest);
}

//-----------------------------------------------------------------------------
// [SECTION] Damaged documents
//-----------------------------------------------------------------------------

namespace {

// Truncates the text and overwrites some of its bytes.
std::string damage(std::string text) {
    const auto changes = *rc::gen::container<std::vector<std::pair<std::size_t, char>>>(
        *rc::gen::inRange<std::size_t>(0, 4),
        rc::gen::pair(rc::gen::inRange<std::size_t>(0, text.size()), rc::gen::arbitrary<char>()));
    for (const auto& [at, value] : changes)
        text[at] = value;
    text.resize(*rc::gen::inRange<std::size_t>(0, text.size() + 1));
    return text;
}

template <class T>
void check_decoding_damaged(const T& value) {
    failure error;
    const auto decoded = parse_json_as<T>(damage(dump_json(encode_json(value))), "document",
                                          *rc::gen::element(unknown_keys::reject, unknown_keys::skip), error);
    RC_ASSERT(decoded.has_value() || (error.kind != failure_kind::none && !error.where.empty()));
}

} // namespace

// Guards against crashes, or errors without kind or location, on damaged settings, declarations, store
// records, VM lists and recordings.
RC_BOOST_PROP(damaged_documents_are_rejected_with_kind_and_location, ()) {
    router_daemon_settings settings;
    settings.link_keys.push_back({1, "secret"});
    check_decoding_damaged(settings);
    check_decoding_damaged(sidecar_daemon_settings{});
    team_declarations team = sample_team();
    team.moves.push_back({"m", "lm", "v1", "v2", time_point{}, time_point{1h}});
    check_decoding_damaged(team);
    check_decoding_damaged(vm_list{{{"r", "127.0.0.1:1", process_role::router, "dc-a", "", false, ""}}});
    check_decoding_damaged(order_log{{order_entry{}}});
    check_decoding_damaged(facts{{{"lm", "v2"}}, {crash_record{1, {{1, 2}}, true}}});
    check_decoding_damaged(router_event{time_point{1h}, link_message{1, config_push{{team}}}});
    check_decoding_damaged(
        sidecar_event{time_point{1h}, link_message{1, work_with_revisions({{"t", 1}}, 1, 1)}});
}

// The same for a team record in the store and the files it contains.
RC_BOOST_PROP(damaged_team_records_are_rejected_with_kind_and_location, ()) {
    team_record record{"t", 3, "n", {"m"}, {}};
    record.files["pools/lm.json"] = encode_json(sample_team().pools.front());
    record.files["accounts/a.json"] = encode_json(sample_team().accounts.front());
    failure error;
    const auto decoded = decode_team_record(damage(encode_team_record(record)), error);
    const auto declared = decoded ? parse_declarations(*decoded, error) : std::nullopt;
    RC_ASSERT(declared.has_value() || (error.kind != failure_kind::none && !error.where.empty()));
}

BOOST_AUTO_TEST_SUITE_END()
