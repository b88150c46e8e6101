// Rollouts of the direct router, with whole fleets on virtual time. The bounds are those of design section
// 1.5 for version moves on the users' platform: a bad version gets at most a tenth of the requests and 50
// more, and none later than 5 s after its 50th bad response.
//
// Index of this file:
// [SECTION] Bad versions
// [SECTION] Good versions

#include "rollout_fleet.hpp"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace damaskhill;
using namespace damaskhill::direct;

BOOST_AUTO_TEST_SUITE(rollouts)

//-----------------------------------------------------------------------------
// [SECTION] Bad versions
//-----------------------------------------------------------------------------

namespace {

struct rollout_case {
    const char* name{};
    rollout_fleet_settings settings;
};

std::ostream& operator<<(std::ostream& out, const rollout_case& played) { return out << played.name; }

constexpr std::uint64_t seeds = 4;

void check_taken_back(rollout_fleet& fleet) {
    const rollout_outcome outcome = fleet.play();
    BOOST_TEST_CONTEXT("seed " << fleet.settings.seed << ": " << outcome.exposed << " of " << outcome.reached
                               << " exposed, " << outcome.late_requests << " late, ended at "
                               << outcome.ended_at) {
        BOOST_TEST((outcome.phase == rollout_phase::rolled_back));
        BOOST_TEST(outcome.is_exposure_kept());
    }
}

void check_completed(const rollout_fleet& fleet, std::size_t max_refused = 0) {
    const rollout_outcome& outcome = fleet.outcome;
    BOOST_TEST_CONTEXT("seed " << fleet.settings.seed << ": ended at " << outcome.ended_at) {
        BOOST_TEST((outcome.phase == rollout_phase::completed));
        BOOST_TEST(outcome.ended_at < 1.0);
        BOOST_TEST(outcome.refused <= max_refused);
    }
}

std::vector<route_rate> equal_routes(std::size_t count) {
    constexpr double total_per_s = 120;
    std::vector<route_rate> routes;
    for (std::size_t i = 0; i < count; ++i)
        routes.push_back({"r" + std::to_string(i), total_per_s / static_cast<double>(count)});
    return routes;
}

rollout_fleet_settings flawed(version_flaw flaw) {
    rollout_fleet_settings settings;
    settings.flaw = std::move(flaw);
    return settings;
}

std::vector<rollout_case> bad_versions() {
    const version_flaw on_one_route{.failing = 0.35, .route = "return"};
    std::vector<rollout_case> cases{
        {"0.15 of a route", flawed({.failing = 0.15, .route = "return"})},
        {"all of a route", flawed({.failing = 1.0, .route = "return"})},
        {"0.1 everywhere", flawed({.failing = 0.1})},
        {"all", flawed({.failing = 1.0})},
        {"a route, late in the canary", flawed({.failing = 0.35, .route = "return", .from = 10s})},
        {"a route, while the share grows", flawed({.failing = 0.35, .route = "return", .from = 18s})},
        {"everywhere, while the share grows", flawed({.failing = 0.35, .from = 20s})},
        {"three times slower", flawed({.slow = 1.0, .slow_factor = 3.0})},
        {"slow in a part of a route", flawed({.slow = 0.35, .slow_factor = 5.0, .route = "return"})},
        {"slow while the share grows", flawed({.slow = 0.5, .slow_factor = 5.0, .from = 15s})},
    };
    const auto add = [&](const char* name, const version_flaw& flaw, auto&& change) {
        rollout_fleet_settings settings = flawed(flaw);
        change(settings);
        cases.push_back({name, settings});
    };
    add("old version fails too", on_one_route, [](rollout_fleet_settings& s) { s.failing = 0.05; });
    add("short order", on_one_route, [](rollout_fleet_settings& s) { s.time_limit = 10s; });
    add("three data centres", on_one_route, [](rollout_fleet_settings& s) {
        s.routers = 12;
        s.data_centres = 3;
    });
    add("one of 20 routes fails", {.failing = 1.0, .route = "r7"},
        [](rollout_fleet_settings& s) { s.routes = equal_routes(20); });
    add("slow and short", {.slow = 0.5, .slow_factor = 8.0}, [](rollout_fleet_settings& s) {
        s.response_ms = 300;
        s.spread = 0.6;
        s.time_limit = 15s;
    });
    return cases;
}

} // namespace

// Guards against a version that fails on one route only and is completed, since the other routes outweigh it.
BOOST_AUTO_TEST_CASE(version_that_fails_on_one_route_is_rolled_back) {
    rollout_fleet_settings settings = flawed({.failing = 0.35, .route = "return"});
    for (settings.seed = 1; settings.seed <= seeds; ++settings.seed) {
        rollout_fleet fleet{settings};
        check_taken_back(fleet);
    }
}

// Guards against bad versions that are found too late, or not at all: by rate, route, moment and fleet.
BOOST_DATA_TEST_CASE(bad_version_is_rolled_back, boost::unit_test::data::make(bad_versions()), played) {
    rollout_fleet_settings settings = played.settings;
    for (settings.seed = 1; settings.seed <= seeds; ++settings.seed) {
        rollout_fleet fleet{settings};
        check_taken_back(fleet);
    }
}

// Guards against evidence that is lost with the router that has counted it.
BOOST_AUTO_TEST_CASE(restarts_of_routers_do_not_save_a_bad_version) {
    rollout_fleet_settings settings = flawed({.failing = 0.35, .route = "return"});
    settings.routers = 4;
    rollout_fleet fleet{settings};
    fleet.run(rollout_fleet::calm_time);
    fleet.begin_rollout();
    for (std::size_t restarted = 0; restarted < 4; ++restarted) {
        fleet.run(2s);
        fleet.restart(restarted);
    }
    fleet.run(settings.time_limit);
    BOOST_TEST((fleet.outcome.phase == rollout_phase::rolled_back));
    BOOST_TEST(fleet.outcome.is_exposure_kept());
}

//-----------------------------------------------------------------------------
// [SECTION] Good versions
//-----------------------------------------------------------------------------

namespace {

std::vector<rollout_case> good_versions() {
    std::vector<rollout_case> cases{{"usual", {}}};
    const auto add = [&](const char* name, auto&& change) {
        rollout_fleet_settings settings;
        change(settings);
        cases.push_back({name, settings});
    };
    add("both versions fail", [](rollout_fleet_settings& s) { s.failing = 0.2; });
    add("short order", [](rollout_fleet_settings& s) { s.time_limit = 10s; });
    add("irregular times", [](rollout_fleet_settings& s) { s.spread = 1.0; });
    add("full targets", [](rollout_fleet_settings& s) {
        s.slots = 6;
        s.response_ms = 60;
    });
    add("three data centres", [](rollout_fleet_settings& s) {
        s.routers = 12;
        s.data_centres = 3;
    });
    add("20 routes", [](rollout_fleet_settings& s) { s.routes = equal_routes(20); });
    add("60 routes, which share names", [](rollout_fleet_settings& s) { s.routes = equal_routes(60); });
    add("a route that is hardly used", [](rollout_fleet_settings& s) {
        s.routes = {{"order", 120}, {"return", 0.02}};
    });
    add("one request a second", [](rollout_fleet_settings& s) {
        s.routes = {{"order", 0.9}, {"return", 0.1}};
    });
    return cases;
}

} // namespace

// Guards against a good version that is not completed in time.
BOOST_DATA_TEST_CASE(good_version_is_completed_before_the_limit,
                     boost::unit_test::data::make(good_versions()), played) {
    rollout_fleet_settings settings = played.settings;
    for (settings.seed = 1; settings.seed <= seeds; ++settings.seed) {
        rollout_fleet fleet{settings};
        fleet.play();
        check_completed(fleet);
    }
}

// Guards against a good version that is taken back because the way to its targets failed once.
BOOST_AUTO_TEST_CASE(good_version_survives_broken_connections) {
    rollout_fleet_settings settings;
    settings.routers = 4;
    settings.response_ms = 300;
    for (settings.seed = 1; settings.seed <= seeds; ++settings.seed) {
        rollout_fleet fleet{settings};
        fleet.run(rollout_fleet::calm_time);
        fleet.begin_rollout();
        std::size_t broken = 0;
        for (const duration calm : {8s, 10s}) {
            fleet.run(calm);
            broken += fleet.break_new_connections();
        }
        fleet.run(settings.time_limit);
        check_completed(fleet, broken);
    }
}

// Guards against a good version that waits for its end because a router has forgotten the progress.
BOOST_AUTO_TEST_CASE(good_version_is_completed_although_routers_restart) {
    rollout_fleet_settings settings;
    settings.routers = 4;
    rollout_fleet fleet{settings};
    fleet.run(rollout_fleet::calm_time);
    fleet.begin_rollout();
    for (std::size_t restarted = 0; restarted < 4; ++restarted) {
        fleet.run(5s);
        fleet.restart(restarted);
    }
    fleet.run(settings.time_limit);
    BOOST_TEST((fleet.outcome.phase == rollout_phase::completed));
    BOOST_TEST(fleet.outcome.ended_at < 1.0);
}

BOOST_AUTO_TEST_SUITE_END()
