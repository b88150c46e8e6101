// Index of this file:
// [SECTION] Shares of accounts
// [SECTION] Cold targets
// [SECTION] Repeats
// [SECTION] Age of belief

#include "damaskhill_account_share.hpp"
#include "damaskhill_catalog.hpp"
#include "damaskhill_rate_gate.hpp"

#include <boost/test/unit_test.hpp>

#include <deque>

using namespace damaskhill;

namespace {

constexpr time_point start{1000s};

} // namespace

BOOST_AUTO_TEST_SUITE(direct_limits)

//-----------------------------------------------------------------------------
// [SECTION] Shares of accounts
//-----------------------------------------------------------------------------

// Guards against an even split that leaves capacity unused which small accounts do not ask for.
BOOST_AUTO_TEST_CASE(level_is_max_min) {
    BOOST_TEST(max_min_level({10, 20, 100, 200}, 150) == 60.0);
    BOOST_TEST(max_min_level({10, 20}, 150) >= 20.0);
    BOOST_TEST(max_min_level({}, 150) >= 150.0);
}

// Load: one account sends ten times its usual, at another router. Guards against a surge that only its own
// router sees as beyond the share.
BOOST_AUTO_TEST_CASE(surge_at_another_router_counts) {
    account_shares shares;
    shares.on_asked(1, 1000, start);
    shares.on_served(1, 500, start);
    shares.set_peer(7, {{2, {100'000, 90'000}}}, start);
    shares.update(10'000, start);
    BOOST_TEST(shares.within_share(1, start));
    BOOST_TEST(!shares.within_share(2, start));
}

// Load: two accounts far beyond their shares, one at every router and one at few. Guards against the first
// one taking every idle engine: it waits until the other has caught up. Alone, it may go on.
BOOST_AUTO_TEST_CASE(account_far_ahead_leaves_idle_engines_to_the_other) {
    account_shares shares;
    shares.set_peer(7, {{1, {100'000, 60'000}}, {2, {100'000, 30'000}}}, start);
    shares.update(5'000, start);
    BOOST_TEST(shares.far_ahead(1, start));
    BOOST_TEST(!shares.far_ahead(2, start));
    shares.set_peer(7, {{1, {100'000, 60'000}}, {2, {30'000, 30'000}}}, start);
    shares.update(5'000, start);
    BOOST_TEST(!shares.far_ahead(1, start));
}

// Guards against an account that is held back for what it had long ago.
BOOST_AUTO_TEST_CASE(window_forgets) {
    account_shares shares;
    shares.on_asked(1, 100'000, start);
    shares.on_served(1, 100'000, start);
    shares.on_asked(2, 100'000, start);
    shares.update(10'000, start);
    BOOST_TEST(!shares.within_share(1, start));
    shares.update(10'000, start + 5s);
    BOOST_TEST(shares.within_share(1, start + 5s));
}

//-----------------------------------------------------------------------------
// [SECTION] Cold targets
//-----------------------------------------------------------------------------

// Guards against crashing a cold target: with any number of routers that all press, no second has more than
// 1.5 times the declared rate plus 5, also when all begin at once.
BOOST_AUTO_TEST_CASE(cold_target_bears_what_all_routers_send) {
    constexpr double rate = 13;
    constexpr double bound = rate * 1.5 + 5;
    for (const std::size_t routers : {1U, 4U, 22U, 370U}) {
        std::vector<cold_gate> gates(routers);
        std::deque<time_point> sent;
        const cold_settings settings;
        for (time_point now = start; now < start + 5s; now += 5ms) {
            for (std::size_t rank = 0; rank < routers; ++rank) {
                if (!cold_gate_open(gates[rank], settings, rate, rank, routers, now)) continue;
                gates[rank].last = now;
                sent.push_back(now);
            }
            while (!sent.empty() && now - sent.front() >= 1s)
                sent.pop_front();
            BOOST_REQUIRE(static_cast<double>(sent.size()) <= bound);
        }
    }
}

//-----------------------------------------------------------------------------
// [SECTION] Repeats
//-----------------------------------------------------------------------------

// Load: every answer fails. Guards against repeats that multiply the load over all routers together.
BOOST_AUTO_TEST_CASE(repeats_stay_within_the_fleets_limit) {
    constexpr std::size_t routers = 4;
    repeat_settings settings;
    settings.slack = 54;
    std::vector<repeat_window> windows(routers);
    std::size_t repeats = 0;
    std::size_t firsts = 0;
    for (time_point now = start; now < start + 10s; now += 10ms) {
        for (auto& window : windows) {
            note_first(window, settings, now);
            ++firsts;
            if (take_repeat(window, settings, routers, now)) ++repeats;
        }
    }
    BOOST_TEST(static_cast<double>(repeats) <= settings.ratio * static_cast<double>(firsts) + settings.slack);
    BOOST_TEST(repeats > 0U);
}

//-----------------------------------------------------------------------------
// [SECTION] Age of belief
//-----------------------------------------------------------------------------

// Guards against a revoked key that still runs at a router without the store.
BOOST_AUTO_TEST_CASE(old_belief_uses_no_key) {
    belief held;
    const belief_settings settings;
    BOOST_TEST(!may_use_key(held, settings, start));
    confirm(held, start);
    BOOST_TEST(may_use_key(held, settings, start + 4s));
    BOOST_TEST(!may_use_key(held, settings, start + 5s));
    confirm(held, start - 10s); // an older confirmation takes nothing away
    BOOST_TEST(may_use_key(held, settings, start + 4s));
}

// Guards against 404 for a path that only a shorter prefix matches, and against the shorter prefix of two.
BOOST_AUTO_TEST_CASE(longest_prefix_wins) {
    catalog known;
    route_declaration shorter;
    shorter.path_prefix = "/a/";
    shorter.name = "shorter";
    route_declaration longer;
    longer.path_prefix = "/a/b/";
    longer.name = "longer";
    known.routes["h.example"] = {shorter, longer};
    index_routes(known);
    BOOST_TEST(find_route(known, "h.example", "/a/b/c")->name == "longer");
    BOOST_TEST(find_route(known, "h.example", "/a/c")->name == "shorter");
    BOOST_TEST((find_route(known, "h.example", "/b/") == nullptr));
    BOOST_TEST((find_route(known, "other.example", "/a/") == nullptr));
}

BOOST_AUTO_TEST_SUITE_END()
