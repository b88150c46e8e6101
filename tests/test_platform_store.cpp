// Index of this file:
// [SECTION] Helpers
// [SECTION] Store mirror
// [SECTION] Restored store
// [SECTION] Reading for others

#include "damaskhill_platform_store.hpp"
#include "damaskhill_soak_platform.hpp"

#include <boost/test/unit_test.hpp>

using namespace damaskhill;

namespace {

//-----------------------------------------------------------------------------
// [SECTION] Helpers
//-----------------------------------------------------------------------------

constexpr const char* store_address = "127.0.0.1:18472";

/// A store mirror over HTTP on loopback against the store of the soak test's platform.
struct mirror_fixture {
    event_loop loop;
    soak::platform_store store{loop};
    edge_client http{loop, {}};
    std::shared_ptr<const catalog> catalog_seen;
    std::optional<time_point> confirmed_at;
    std::optional<time_point> targets_confirmed_at;
    bool reachable{};
    std::size_t decode_errors{};
    std::size_t versions_gone_back{}; // catalogs with older declarations than the one before
    direct::store_read_plan plan;
    bool read_until_confirmed{}; // the next confirmation of the declarations ends the reading
    platform::store_mirror mirror;

    explicit mirror_fixture(const char* address = store_address, duration watch_timeout = 100ms)
        : mirror(loop, http, settings(address, watch_timeout),
                 {[this](direct::input&& event) { on_input(event); }, wall_clock,
                  [this](const failure&) { ++decode_errors; }, [this] { return plan; },
                  [](std::uint64_t, std::uint64_t) {},
                  [](std::string_view, const store_position&, const store_position&) {}}) {
        failure error;
        BOOST_REQUIRE(store.listen(address, error).has_value());
    }
    static platform::store_settings settings(const char* address, duration watch_timeout) {
        platform::store_settings settings;
        settings.address = address;
        settings.read_check_period = 20ms;
        settings.operator_watch_timeout = watch_timeout;
        settings.target_watch_timeout = watch_timeout;
        settings.target_watch_delay = 20ms;
        settings.operator_watch_delay = 20ms;
        settings.response_timeout = 200ms;
        settings.restores.rewrite_time = 500ms;
        return settings;
    }
    void on_input(const direct::input& event) {
        if (const auto* read = std::get_if<direct::catalog_updated>(&event)) {
            if (catalog_seen && read->contents->version < catalog_seen->version) ++versions_gone_back;
            catalog_seen = read->contents;
        }
        if (const auto* confirmed = std::get_if<direct::catalog_confirmed>(&event))
            confirmed_at = confirmed->as_of;
        if (const auto* confirmed = std::get_if<direct::targets_confirmed>(&event))
            targets_confirmed_at = confirmed->as_of;
        if (confirmed_at && read_until_confirmed) plan.read = false;
        if (const auto* up = std::get_if<direct::store_reachable>(&event)) reachable = up->reachable;
    }
    void run_for(duration time) {
        loop.after(time, [this] { loop.stop(); });
        loop.run();
    }
    void put_declarations(int version) {
        store.put("op/config",
                  {{"version", version}, {"routes", json::array()}, {"services", json::array()}});
    }
    /// Lets the mirror fetch this snapshot from a peer.
    void fetch_snapshot(const std::string& text) {
        edge_server peer{loop, edge_server_settings{},
                         edge_server::handlers{[&](std::uint64_t exchange, http_request&&) {
                                                   peer.send_response(exchange, 200, {}, text);
                                               },
                                               [](std::uint64_t) {}}};
        constexpr const char* peer_address = "127.0.0.1:18473";
        failure error;
        BOOST_REQUIRE(peer.listen(peer_address, error));
        mirror.fetch_snapshot(peer_address);
        run_for(200ms);
    }
    void put_targets(int first, int last) {
        for (int i = first; i < last; ++i)
            store.put("servers/i-" + std::to_string(i), {{"service", "s"},
                                                         {"address", "10.0.0.1:80"},
                                                         {"zone", "dc-a"},
                                                         {"version", "v1"},
                                                         {"capacity", 4},
                                                         {"state", "ready"}});
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(platform_store)

//-----------------------------------------------------------------------------
// [SECTION] Store mirror
//-----------------------------------------------------------------------------

// Guards against a mirror that misses targets on a later page of the range read, or additions and removals
// after it.
BOOST_AUTO_TEST_CASE(mirror_reads_pages_and_follows_changes) {
    mirror_fixture test;
    test.put_targets(0, 50);
    test.mirror.start();
    test.run_for(300ms);
    BOOST_REQUIRE(test.catalog_seen != nullptr);
    BOOST_TEST(test.catalog_seen->targets.size() == 50U);
    test.put_targets(50, 53);
    test.store.remove("servers/i-7");
    test.run_for(300ms);
    BOOST_TEST(test.catalog_seen->targets.size() == 52U);
    BOOST_TEST(!test.catalog_seen->targets.contains("i-7"));
}

// Guards against missed changes: the store is unreachable while targets change, and has dropped its history
// (410) when the mirror comes back, so that the prefix must be read again.
BOOST_AUTO_TEST_CASE(dropped_history_forces_full_read) {
    mirror_fixture test;
    test.put_targets(0, 3);
    test.mirror.start();
    test.run_for(200ms);
    test.store.faults.returns_503 = true;
    test.run_for(200ms);
    BOOST_TEST(!test.reachable);
    test.put_targets(3, 6);
    test.store.remove("servers/i-0");
    test.store.compact_history();
    test.store.faults.returns_503 = false;
    test.run_for(800ms);
    BOOST_TEST(test.reachable);
    BOOST_TEST(test.catalog_seen->targets.size() == 5U);
}

// Guards against a catalog that is confirmed at a time later than the store's last response.
BOOST_AUTO_TEST_CASE(unreachable_store_does_not_confirm_catalog) {
    mirror_fixture test;
    test.store.put("op/config", {{"version", 1}});
    test.mirror.start();
    test.run_for(300ms);
    BOOST_REQUIRE(test.confirmed_at.has_value());
    test.store.faults.down = true;
    const time_point silent_since = wall_clock();
    test.run_for(600ms);
    BOOST_TEST((*test.confirmed_at <= silent_since));
    BOOST_TEST(!test.reachable);
}

// Guards against a rollout status that is visible only to the router that wrote it, and against a written
// status that the mirror never sees because the response to the write was lost.
BOOST_AUTO_TEST_CASE(rollout_status_is_read_back) {
    mirror_fixture test;
    test.store.put("op/rollout/s", {{"service", "s"}, {"target", "v2"}, {"durationS", 20}});
    test.mirror.start();
    test.run_for(200ms);
    test.store.put("status/rollout/s", {{"state", "running"}, {"target", "v2"}});
    test.run_for(300ms);
    BOOST_REQUIRE(test.catalog_seen->rollout_states.contains("s"));
    const rollout_status status = test.catalog_seen->rollout_states.at("s");
    BOOST_TEST((status.phase == rollout_phase::running));
    test.store.faults.drop_write_replies = true;
    test.mirror.write_status({"s", {"v2", rollout_phase::completed, {}}, status.position});
    test.run_for(500ms);
    BOOST_TEST((test.catalog_seen->rollout_states.at("s").phase == rollout_phase::completed));
}

//-----------------------------------------------------------------------------
// [SECTION] Restored store
//-----------------------------------------------------------------------------

// Guards against changes that are ignored after the store came back from a copy: it gives out revisions again
// that are lower than those the mirror holds.
BOOST_AUTO_TEST_CASE(changes_after_a_restore_are_applied) {
    mirror_fixture test;
    test.put_declarations(1);
    test.put_targets(0, 2);
    test.mirror.start();
    test.run_for(200ms);
    test.store.save_copy();
    test.put_targets(2, 8); // lost
    test.put_declarations(2);
    test.run_for(200ms);
    test.store.restore();
    test.put_declarations(2); // the operator writes again
    test.run_for(200ms);
    test.put_declarations(3);
    test.put_targets(8, 9);
    test.store.remove("servers/i-0");
    test.run_for(200ms);
    BOOST_TEST(test.catalog_seen->version == 3U);
    BOOST_TEST(test.catalog_seen->targets.contains("i-8"));
    BOOST_TEST(!test.catalog_seen->targets.contains("i-0"));
}

// Guards against declarations that go back: the copy holds older ones, until the operator writes again.
BOOST_AUTO_TEST_CASE(restore_brings_no_older_declarations_back) {
    mirror_fixture test;
    test.put_declarations(1);
    test.mirror.start();
    test.run_for(200ms);
    test.store.save_copy();
    test.put_declarations(2);
    test.run_for(200ms);
    test.store.restore();
    test.put_targets(0, 5); // revisions beyond those held before
    test.run_for(300ms);
    BOOST_TEST(test.catalog_seen->version == 2U);
    BOOST_TEST(test.versions_gone_back == 0U);
}

// Guards against a data centre that gets requests again although its evacuation was confirmed: the copy does
// not have it.
BOOST_AUTO_TEST_CASE(confirmed_evacuation_outlives_a_restore) {
    mirror_fixture test;
    test.put_declarations(1);
    test.mirror.start();
    test.run_for(200ms);
    test.store.save_copy();
    test.store.put("op/evacuate/dc-a", json::object());
    test.run_for(200ms);
    test.store.restore();
    test.put_declarations(2);
    test.run_for(300ms);
    BOOST_TEST(test.catalog_seen->evacuated.contains("dc-a"));
    test.store.put("op/evacuate/dc-a", json::object()); // the operator writes again, and takes it back
    test.store.remove("op/evacuate/dc-a");
    test.run_for(300ms);
    BOOST_TEST(!test.catalog_seen->evacuated.contains("dc-a"));
}

// Guards against an evacuation that never ends: the store lost it and nobody writes it again. The store is
// down when the time for that has passed.
BOOST_AUTO_TEST_CASE(evacuation_that_nobody_writes_again_ends) {
    mirror_fixture test;
    test.put_declarations(1);
    test.mirror.start();
    test.run_for(200ms);
    test.store.save_copy();
    test.store.put("op/evacuate/dc-a", json::object());
    test.run_for(200ms);
    test.store.restore();
    test.run_for(300ms);
    BOOST_TEST(test.catalog_seen->evacuated.contains("dc-a"));
    test.store.faults.returns_503 = true;
    test.run_for(500ms);
    BOOST_TEST(test.catalog_seen->evacuated.contains("dc-a"));
    test.store.faults.returns_503 = false;
    test.run_for(800ms);
    BOOST_TEST(!test.catalog_seen->evacuated.contains("dc-a"));
}

// Guards against a list that mixes two eras: the store is restored between two pages of a read.
BOOST_AUTO_TEST_CASE(restore_between_two_pages_restarts_the_read) {
    mirror_fixture test;
    test.put_targets(0, 5);
    test.store.save_copy();
    test.put_targets(5, 60);
    test.store.faults.reply_delay = 30ms;
    test.mirror.start();
    test.run_for(100ms); // two pages or three
    test.store.restore();
    test.run_for(500ms);
    BOOST_REQUIRE(test.catalog_seen != nullptr);
    BOOST_TEST(test.catalog_seen->targets.size() == 5U);
}

// Guards against a second restore while the mirror is still reading after the first.
BOOST_AUTO_TEST_CASE(second_restore_is_followed) {
    mirror_fixture test;
    test.put_declarations(1);
    test.put_targets(0, 3);
    test.mirror.start();
    test.run_for(200ms);
    test.store.save_copy();
    test.put_targets(3, 9);
    test.run_for(200ms);
    test.store.faults.reply_delay = 30ms;
    test.store.restore();
    test.put_targets(9, 12);
    test.run_for(40ms);
    test.store.restore();
    test.put_targets(12, 13);
    test.run_for(500ms);
    BOOST_TEST(test.catalog_seen->targets.size() == 4U);
    BOOST_TEST(test.catalog_seen->targets.contains("i-12"));
}

// Guards against a late answer of the era before, and against one that states no era.
BOOST_AUTO_TEST_CASE(answer_of_another_era_is_not_applied) {
    for (const std::uint64_t stated : {std::uint64_t{1}, std::uint64_t{0}}) {
        mirror_fixture test;
        test.put_targets(0, 3);
        test.mirror.start();
        test.store.save_copy();
        test.run_for(200ms);
        test.store.restore();
        test.run_for(200ms);
        const time_point confirmed = *test.targets_confirmed_at;
        test.store.faults.stated_era = stated;
        test.put_targets(3, 4);
        test.run_for(300ms);
        BOOST_TEST(test.catalog_seen->targets.size() == 3U);
        BOOST_TEST((*test.targets_confirmed_at - confirmed < 200ms));
        test.store.faults.stated_era.reset();
        test.run_for(700ms);
        BOOST_TEST(test.catalog_seen->targets.size() == 4U);
    }
}

// Guards against a peer's snapshot of the era before that brings back what has been replaced since.
BOOST_AUTO_TEST_CASE(snapshot_of_the_era_before_does_not_win) {
    mirror_fixture test;
    test.put_declarations(1);
    test.put_targets(0, 2);
    test.mirror.start();
    test.run_for(200ms);
    test.store.save_copy();
    test.put_targets(2, 9);
    test.run_for(200ms);
    const std::string before = test.mirror.snapshot();
    test.store.restore();
    test.store.remove("servers/i-1");
    test.put_declarations(2);
    test.run_for(300ms);
    test.fetch_snapshot(before);
    BOOST_TEST(test.catalog_seen->version == 2U);
    BOOST_TEST(test.catalog_seen->targets.size() == 1U);
}

// Guards against a router that starts after a restore and serves what the copy holds, although its peers have
// newer declarations in force.
BOOST_AUTO_TEST_CASE(new_router_takes_confirmed_declarations_from_a_peer) {
    std::string peer;
    {
        mirror_fixture test;
        test.put_declarations(7);
        test.mirror.start();
        test.run_for(200ms);
        peer = test.mirror.snapshot(); // of era 1
    }
    mirror_fixture test;
    test.put_declarations(6);
    test.store.save_copy();
    test.store.restore();
    test.put_targets(0, 5);
    test.mirror.start();
    test.run_for(200ms);
    BOOST_REQUIRE(test.catalog_seen->version == 6U);
    test.fetch_snapshot(peer);
    BOOST_TEST(test.catalog_seen->version == 7U);
    test.put_targets(5, 6);
    test.run_for(200ms);
    BOOST_TEST(test.catalog_seen->version == 7U);
    BOOST_TEST(test.catalog_seen->targets.size() == 6U);
}

//-----------------------------------------------------------------------------
// [SECTION] Reading for others
//-----------------------------------------------------------------------------

// Guards against store calls of a router that relies on others, and against one that does not notice changes
// when it has to read the store again.
BOOST_AUTO_TEST_CASE(mirror_pauses_while_other_routers_read) {
    mirror_fixture test;
    test.put_targets(0, 3);
    test.mirror.start();
    test.run_for(200ms);
    test.plan.read = false;
    test.run_for(300ms); // the open long polls end
    const std::uint64_t calls = test.store.calls();
    test.put_targets(3, 5);
    test.run_for(300ms);
    BOOST_TEST(test.store.calls() == calls);
    BOOST_TEST(test.catalog_seen->targets.size() == 3U);
    test.plan.read = true;
    test.run_for(300ms);
    BOOST_TEST(test.store.calls() > calls);
    BOOST_TEST(test.catalog_seen->targets.size() == 5U);
}

// Guards against targets that are never read again: a router reads the store because its declarations are too
// old, and the first answer makes them fresh before the targets have been asked for.
BOOST_AUTO_TEST_CASE(fallback_reads_targets_as_well) {
    mirror_fixture test;
    test.put_targets(0, 3);
    test.mirror.start();
    test.run_for(200ms);
    test.plan.read = false;
    test.run_for(300ms);
    test.confirmed_at.reset();
    test.read_until_confirmed = true;
    test.plan.read = true;
    test.store.remove("servers/i-1");
    test.run_for(300ms);
    BOOST_TEST(!test.plan.read); // the declarations were confirmed
    BOOST_TEST(!test.catalog_seen->targets.contains("i-1"));
}

// Guards against a connection that goes silent at a reader and hides from a whole data centre that a target
// has left: the long polls of a reader on which others rely are short, those on targets too.
BOOST_AUTO_TEST_CASE(long_polls_are_short_while_others_rely_on_them) {
    mirror_fixture test;
    test.put_targets(0, 3);
    test.plan.max_declarations_wait = 20ms;
    test.plan.max_targets_wait = 20ms;
    test.mirror.start();
    test.run_for(1s);
    // Nearly 50 polls of each prefix; the fixture's own timeouts would allow 10 of each.
    BOOST_TEST(test.store.calls() > 70U);
}

// Guards against a catalog that looks twice as old as it is, although the store answers each call: a watch
// that returns changes confirms the catalog only as of its request, and the next one may return changes as
// late.
BOOST_AUTO_TEST_CASE(frequent_changes_do_not_age_the_confirmations) {
    constexpr duration watch_timeout = 400ms;
    mirror_fixture test{store_address, watch_timeout};
    test.put_targets(0, 3);
    test.mirror.start();
    test.run_for(500ms);
    duration oldest{};
    test.loop.every(415ms, [&] { test.put_targets(0, 1); }); // shortly before each long poll ends
    test.loop.every(10ms, [&] { oldest = std::max(oldest, wall_clock() - *test.targets_confirmed_at); });
    test.run_for(2s);
    BOOST_TEST((oldest < watch_timeout + watch_timeout / 2));
}

// Guards against a target that has left and is used again: the snapshot of a peer that has newer
// declarations, but has not yet seen that the target left.
BOOST_AUTO_TEST_CASE(snapshot_with_older_targets_does_not_restore_them) {
    mirror_fixture test;
    test.put_targets(0, 3);
    test.mirror.start();
    test.run_for(200ms);
    const json stale = json::parse(test.mirror.snapshot());
    test.store.remove("servers/i-1");
    test.run_for(200ms);
    BOOST_REQUIRE(!test.catalog_seen->targets.contains("i-1"));
    json newer_declarations = stale;
    newer_declarations["revision"] = stale["revision"].get<std::uint64_t>() + 1000;
    newer_declarations["operator_known_to"] = stale["revision"].get<std::uint64_t>() + 1000;
    test.fetch_snapshot(newer_declarations.dump());
    BOOST_TEST(!test.catalog_seen->targets.contains("i-1"));
}

// Guards against a malformed registration of another writer that keeps valid ones out of the catalog.
BOOST_AUTO_TEST_CASE(malformed_registration_is_reported_and_skipped) {
    mirror_fixture test;
    test.put_targets(0, 2);
    test.store.put("servers/i-9", {{"service", 7}});
    test.mirror.start();
    test.run_for(200ms);
    BOOST_TEST(test.catalog_seen->targets.size() == 2U);
    BOOST_TEST(test.decode_errors == 1U);
}

// Guards against odd entries of another writer that end the process, or the following of the list: in the
// list, in a watch and in the snapshot of a peer.
BOOST_AUTO_TEST_CASE(odd_registrations_do_not_end_the_following) {
    json deep = json::array();
    for (int level = 0; level < 100; ++level)
        deep = json::array({std::move(deep)});
    const json sound{{"service", "s"}, {"address", "10.0.0.1:80"}, {"zone", "dc-a"}, {"version", "v1"},
                     {"capacity", 4},  {"state", "ready"}};
    std::vector<json> odd;
    const auto with = [&](const char* name, json value) {
        json entry = sound;
        entry[name] = std::move(value);
        odd.push_back(std::move(entry));
    };
    with("capacity", -1);
    with("capacity", 1e300);
    with("coldRemainingMs", 1e300);
    with("coldRemainingMs", -5);
    with("born", 1e300);
    with("address", "10.0.0.1:65536");
    with("address", "10.0.0.1:0");
    with("address", "nowhere:80");
    with("service", std::string(100'000, 'x'));
    with("state", deep);
    odd.push_back(deep);
    odd.push_back("text");
    mirror_fixture test;
    test.put_targets(0, 3);
    for (std::size_t i = 0; i < odd.size(); ++i)
        test.store.put("servers/h-" + std::to_string(i), odd[i]);
    test.mirror.start();
    test.run_for(300ms);
    BOOST_REQUIRE(test.catalog_seen != nullptr);
    BOOST_TEST(test.catalog_seen->targets.size() == 3U);
    BOOST_TEST(test.decode_errors == odd.size());
    for (std::size_t i = 0; i < odd.size(); ++i) {
        test.store.put("servers/j-" + std::to_string(i), odd[i]);
        test.put_targets(3 + static_cast<int>(i), 4 + static_cast<int>(i));
    }
    test.run_for(500ms);
    BOOST_TEST(test.catalog_seen->targets.size() == 3U + odd.size());
    BOOST_TEST(test.decode_errors == 2 * odd.size());
    // A peer hands on what the store holds.
    mirror_fixture other{"127.0.0.1:18474"};
    other.fetch_snapshot(test.mirror.snapshot());
    BOOST_REQUIRE(other.catalog_seen != nullptr);
    BOOST_TEST(other.catalog_seen->targets.size() == 3U + odd.size());
}

BOOST_AUTO_TEST_SUITE_END()
