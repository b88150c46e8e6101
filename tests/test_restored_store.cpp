// A store that comes back from an older copy: what stays in force, and what ends it.
//
// Index of this file:
// [SECTION] Eras
// [SECTION] Declarations
// [SECTION] Targets
// [SECTION] Peers
// [SECTION] Rollouts

#include "damaskhill_direct_internal.hpp"
#include "direct_fixture.hpp"

#include <boost/test/unit_test.hpp>

using namespace damaskhill;
using namespace damaskhill::direct;

namespace {

constexpr restore_settings restores;
constexpr time_point restored{1000s};
constexpr time_point rewriting = restored + 1s;
const time_point rewritten = restored + restores.rewrite_time;

store_history history_after_restore() {
    store_history history;
    observe_era(history, 1, restored - 10s);
    observe_era(history, 2, restored);
    return history;
}

/// Publishes a catalog as read from the store at this position.
void publish_at(test_router& router, const catalog& contents, const store_position& position) {
    router.process(catalog_updated{std::make_shared<catalog>(contents), position, position, position,
                                   position, position});
}

/// Publishes the catalog in era 1, as at the start of the process.
void start_in_first_era(test_router& router, const catalog& contents) {
    publish_at(router, contents, {1, 10});
    router.state.restored_at.reset();
    router.state.outage.ended_at.reset();
}

catalog in_era(catalog contents, std::uint64_t era) {
    for (auto& [id, entry] : contents.targets)
        entry.position.era = era;
    return contents;
}

/// Whether the router selects the target for any of many orders.
bool selects(test_router& router, std::string_view id) {
    router.confirm_now();
    return uses_target(router, id);
}

} // namespace

BOOST_AUTO_TEST_SUITE(restored_store)

//-----------------------------------------------------------------------------
// [SECTION] Eras
//-----------------------------------------------------------------------------

// Guards against a late answer of the era before, or one without an era, that counts as current.
BOOST_AUTO_TEST_CASE(outdated_eras_are_recognized) {
    store_history history = history_after_restore();
    BOOST_TEST((observe_era(history, 2, rewriting) == era_relation::same));
    BOOST_TEST((observe_era(history, 1, rewriting) == era_relation::outdated));
    BOOST_TEST((observe_era(history, std::nullopt, rewriting) == era_relation::outdated));
    BOOST_TEST((observe_era(history, 3, rewriting) == era_relation::newer));
    store_history without_eras;
    observe_era(without_eras, std::nullopt, restored);
    BOOST_TEST((observe_era(without_eras, std::nullopt, rewriting) == era_relation::same));
}

// Guards against a confirmed evacuation or rollout that ends with a restore, and against one that never ends.
BOOST_AUTO_TEST_CASE(confirmed_orders_are_kept_until_they_are_rewritten) {
    const store_history history = history_after_restore();
    const store_position held{1, 20};
    const store_position read{2, 19};
    for (const item_kind kind : {item_kind::evacuation, item_kind::rollout_order}) {
        BOOST_TEST(keeps_missing_item(history, restores, kind, held, read, rewriting));
        BOOST_TEST(!keeps_missing_item(history, restores, kind, held, read, rewritten));
        BOOST_TEST(!keeps_missing_item(history, restores, kind, {2, 15}, read, rewriting)); // taken back
    }
    BOOST_TEST(keeps_differing_item(history, restores, item_kind::rollout_order, held, read, rewriting));
    BOOST_TEST(!keeps_differing_item(history, restores, item_kind::rollout_order, held, {2, 21}, rewriting));
    BOOST_TEST(!keeps_differing_item(history, restores, item_kind::rollout_order, held, read, rewritten));
}

//-----------------------------------------------------------------------------
// [SECTION] Declarations
//-----------------------------------------------------------------------------

// Guards against declarations that never change again: an operator continues from what the copy holds, with
// a lower version than the one that is in force.
BOOST_AUTO_TEST_CASE(lower_version_that_is_written_later_wins) {
    store_history history = history_after_restore();
    const ranked_declarations held{{{}, 13}, {1, 20}};
    BOOST_TEST(!rank_stored_declarations(history, restores, held, 6, {2, 18}, rewriting)); // the copy's
    BOOST_TEST(!rank_stored_declarations(history, restores, held, 6, {2, 18}, rewritten)); // read again
    const auto rank = rank_stored_declarations(history, restores, held, 7, {2, 19}, rewritten);
    BOOST_REQUIRE(rank.has_value());
    BOOST_TEST((*rank > held.rank)); // at peers as well
}

// Guards against declarations that go back or differ between routers, over random restores, rewritings, late
// reads and snapshots between routers.
BOOST_AUTO_TEST_CASE(routers_agree_on_declarations_that_never_go_back) {
    struct router {
        store_history history;
        ranked_declarations held;
        void read(std::uint64_t version, const store_position& position, time_point now) {
            observe_era(history, position.era, now);
            const auto rank = rank_stored_declarations(history, restores, held, version, position, now);
            if (rank) held = {*rank, position};
        }
        void take(const ranked_declarations& peers) {
            if (replaces_declarations(history, held, peers)) held = peers;
        }
    };
    for (std::uint64_t seed = 1; seed <= 300; ++seed) {
        random_source random{seed};
        time_point now = restored;
        std::uint64_t era = 1;
        std::uint64_t revision = 10;
        std::uint64_t newest = 1; // version that was confirmed last
        std::pair<std::uint64_t, store_position> stored{1, {1, 10}};
        std::pair<std::uint64_t, std::uint64_t> copy{1, 10}; // version and revision
        std::vector<router> routers(3);
        const auto write = [&](std::uint64_t version) { stored = {version, {era, ++revision}}; };
        for (int step = 0; step < 120; ++step) {
            now += 100ms;
            router& reader = routers.at(random.next() % routers.size());
            const std::uint64_t version_before = reader.held.rank.version;
            switch (random.next() % 8) {
            case 0:
                write(newest += 1 + random.next() % 3);
                break;
            case 1:
                copy = {stored.first, stored.second.revision};
                break;
            case 2:
                if (random.next() % 4 != 0) break;
                stored = {copy.first, {++era, copy.second}};
                revision = copy.second;
                break;
            case 3:
                revision += random.next() % 4;
                break; // registrations
            case 4:
                write(newest);
                break; // written again
            case 5:
                reader.take(routers.at(random.next() % routers.size()).held);
                break;
            default:
                reader.read(stored.first, stored.second, now);
            }
            BOOST_TEST(reader.held.rank.version >= version_before);
        }
        write(newest);
        for (router& item : routers) {
            item.read(stored.first, stored.second, now);
            BOOST_TEST(item.held.rank.version == newest);
        }
    }
}

//-----------------------------------------------------------------------------
// [SECTION] Targets
//-----------------------------------------------------------------------------

// Guards against requests to a target that has left or drains: the copy still has it as ready.
BOOST_AUTO_TEST_CASE(target_that_left_stays_gone_after_a_restore) {
    for (const bool draining : {false, true}) {
        test_router router;
        start_in_first_era(router, in_era(make_catalog(), 1));
        catalog left = in_era(make_catalog(), 1);
        if (draining) {
            left.targets["a-1"].draining = true;
            left.targets["a-1"].position = {1, 12};
        } else {
            left.targets.erase("a-1");
        }
        publish_at(router, left, {1, 12});
        publish_at(router, in_era(make_catalog(), 2), {2, 9});
        BOOST_TEST(!selects(router, "a-1"));
        // Its registration has lapsed by then unless the target is up.
        router.advance_time(router.state.settings.restores.rewrite_time + 1s);
        BOOST_TEST(selects(router, "a-1"));
    }
}

// Guards against a target that stays out of use: it has started again under its id, or has written its
// registration since.
BOOST_AUTO_TEST_CASE(target_that_registers_again_after_a_restore_is_used) {
    for (const bool restarted : {false, true}) {
        test_router router;
        start_in_first_era(router, in_era(make_catalog(), 1));
        catalog left = in_era(make_catalog(), 1);
        left.targets.erase("a-1");
        publish_at(router, left, {1, 12});
        catalog back = in_era(make_catalog(), 2);
        back.targets["a-1"].boot = restarted ? 5 : 0;
        back.targets["a-1"].position.revision = restarted ? 1 : 11;
        publish_at(router, back, {2, 11});
        BOOST_TEST(selects(router, "a-1"));
    }
}

// Guards against live targets that get no requests because they had registered after the copy, and against
// one that has left and is used for longer than live targets need to come back.
BOOST_AUTO_TEST_CASE(targets_lost_in_a_restore_have_time_to_come_back) {
    test_router router;
    start_in_first_era(router, in_era(make_catalog(), 1));
    catalog copy = in_era(make_catalog(), 2);
    copy.targets.erase("a-1");
    publish_at(router, copy, {2, 9});
    BOOST_TEST(selects(router, "a-1"));
    router.advance_time(router.state.settings.outages.return_time + 500ms);
    BOOST_TEST(!selects(router, "a-1"));
}

// Guards against a restore that makes all targets look cold, because their registrations have new positions.
BOOST_AUTO_TEST_CASE(restored_registration_is_no_cold_start) {
    test_router router;
    catalog contents = in_era(make_catalog(), 1);
    contents.targets["e-1"].cold_remaining = 2s;
    start_in_first_era(router, contents);
    router.advance_time(3s);
    BOOST_REQUIRE(!is_cold(router.state, router.state.targets.at("e-1")));
    publish_at(router, in_era(contents, 2), {2, 9});
    BOOST_TEST(!is_cold(router.state, router.state.targets.at("e-1")));
}

//-----------------------------------------------------------------------------
// [SECTION] Peers
//-----------------------------------------------------------------------------

// Guards against a catalog that looks fresh although it is of another era: a peer that has not noticed the
// restore, or has noticed it first, confirms it. The router that lacks the newer one fetches it.
BOOST_AUTO_TEST_CASE(peer_of_another_era_confirms_nothing) {
    for (const std::uint64_t peers_era : {std::uint64_t{1}, std::uint64_t{3}}) {
        test_router router;
        publish_at(router, in_era(make_catalog(), 2), {2, 10});
        const auto confirmed = router.state.freshness.as_of;
        const auto targets_confirmed_at = router.state.targets_freshness.as_of;
        router.now += 1s;
        router_report report;
        report.router = 77;
        report.address = "10.0.0.2:7";
        report.data_centre = "dc-a";
        report.sent_us = 1;
        report.has_catalog = true;
        report.targets_age_us = 1;
        report.operator_changed_at = {peers_era, 5};
        report.targets_changed_at = {peers_era, 5};
        report.echoes = {{router.state.settings.incarnation,
                          static_cast<std::uint64_t>(router.now.time_since_epoch().count())}};
        router.process(report_received{report});
        BOOST_TEST((router.state.freshness.as_of == confirmed));
        BOOST_TEST((router.state.targets_freshness.as_of == targets_confirmed_at));
        BOOST_TEST(router.has<fetch_snapshot>() == (peers_era == 3));
    }
}

// Guards against a router that serves the declarations of the copy although a peer, still in the era before,
// has newer ones in force.
BOOST_AUTO_TEST_CASE(newer_declarations_of_a_peer_in_the_era_before_are_fetched) {
    test_router router;
    publish_at(router, in_era(make_catalog(), 2), {2, 10});
    router_report report;
    report.router = 77;
    report.address = "10.0.0.2:7";
    report.sent_us = 1;
    report.has_catalog = true;
    report.operator_changed_at = {1, 30};
    report.declarations = {{}, 9};
    router.out.clear();
    router.process(report_received{report});
    BOOST_TEST(router.has<fetch_snapshot>());
}

//-----------------------------------------------------------------------------
// [SECTION] Rollouts
//-----------------------------------------------------------------------------

// Guards against a rollout that starts anew because its order was written again after a restore, and against
// a final status that is lost with it.
BOOST_AUTO_TEST_CASE(rollout_goes_on_after_a_restore) {
    test_router router;
    catalog contents = in_era(make_catalog(), 1);
    contents.targets["a-2"].version = "v2";
    contents.rollouts["app"] = {"app", "v2", 20s, {1, 5}};
    start_in_first_era(router, contents);
    router.advance_time(1s);
    const time_point first_seen = router.state.rollouts.at("app").first_seen;
    contents.rollout_states["app"] = {"v2", rollout_phase::rolled_back, {1, 11}};
    publish_at(router, contents, {1, 11});
    router.advance_time(1s);
    catalog copy = in_era(contents, 2);
    copy.rollout_states.clear();
    copy.rollouts["app"].position = {2, 10};
    router.process(store_reachable{true});
    publish_at(router, copy, {2, 10});
    router.out.clear();
    router.advance_time(1s);
    BOOST_TEST((router.state.rollouts.at("app").first_seen == first_seen));
    BOOST_TEST(version_share(router.state, "app", "v2") == 0.0);
    const auto written = router.last<write_rollout_status>();
    BOOST_REQUIRE(written.has_value());
    BOOST_TEST((written->status.phase == rollout_phase::rolled_back));
}

BOOST_AUTO_TEST_SUITE_END()
