// Index of this file:
// [SECTION] Helpers
// [SECTION] Store mirror

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
    direct::store_read_plan plan;
    bool read_until_confirmed{}; // the next confirmation of the declarations ends the reading
    platform::store_mirror mirror;

    explicit mirror_fixture(const char* address = store_address, duration watch_timeout = 100ms)
        : mirror(loop, http, settings(address, watch_timeout),
                 {[this](direct::input&& event) { on_input(event); }, wall_clock,
                  [this](const failure&) { ++decode_errors; }, [this] { return plan; }}) {
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
        return settings;
    }
    void on_input(const direct::input& event) {
        if (const auto* read = std::get_if<direct::catalog_updated>(&event)) catalog_seen = read->contents;
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
    test.mirror.write_status({"s", {"v2", rollout_phase::completed, 0}, status.revision});
    test.run_for(500ms);
    BOOST_TEST((test.catalog_seen->rollout_states.at("s").phase == rollout_phase::completed));
}

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
    edge_server peer{test.loop, edge_server_settings{},
                     edge_server::handlers{[&](std::uint64_t exchange, http_request&&) {
                                               peer.send_response(exchange, 200, {},
                                                                  newer_declarations.dump());
                                           },
                                           [](std::uint64_t) {}}};
    constexpr const char* peer_address = "127.0.0.1:18473";
    failure error;
    BOOST_REQUIRE(peer.listen(peer_address, error));
    test.mirror.fetch_snapshot(peer_address);
    test.run_for(200ms);
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

BOOST_AUTO_TEST_SUITE_END()
