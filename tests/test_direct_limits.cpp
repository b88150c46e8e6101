// Index of this file:
// [SECTION] Account shares
// [SECTION] Cold targets
// [SECTION] Retries
// [SECTION] Catalog

#include "damaskhill_account_share.hpp"
#include "damaskhill_catalog.hpp"
#include "damaskhill_rate_gate.hpp"

#include <boost/test/unit_test.hpp>

#include <deque>
#include <map>
#include <numeric>

using namespace damaskhill;

namespace {

constexpr time_point start{1000s};

} // namespace

BOOST_AUTO_TEST_SUITE(direct_limits)

//-----------------------------------------------------------------------------
// [SECTION] Account shares
//-----------------------------------------------------------------------------

// Guards against an even split, which wastes the capacity that small accounts do not use.
BOOST_AUTO_TEST_CASE(level_is_max_min) {
    BOOST_TEST(max_min_level({10, 20, 100, 200}, 150) == 60.0);
    BOOST_TEST(max_min_level({10, 20}, 150) >= 20.0);
    BOOST_TEST(max_min_level({}, 150) >= 150.0);
}

// Load: one account sends ten times its usual load through another router. Guards against fair shares that
// count local usage only.
BOOST_AUTO_TEST_CASE(usage_at_other_routers_counts) {
    account_shares shares;
    shares.on_requested(1, 1000, start);
    shares.on_dispatched(1, 500, start);
    shares.set_peer(7, {{2, {100'000, 90'000}}}, start);
    shares.update(10'000, start);
    BOOST_TEST(shares.is_within_share(1, start));
    BOOST_TEST(!shares.is_within_share(2, start));
}

// Load: two accounts far above their shares, one at all 30 routers and one at three. Guards against the first
// account taking all freed capacity at every router at once because the routers' reports are old: in no
// period of six seconds may it get twice the tokens of the other one.
BOOST_AUTO_TEST_CASE(throttled_accounts_stay_within_factor_two) {
    constexpr std::size_t routers = 30;
    constexpr std::size_t routers_of_second = 3;
    constexpr double tokens_per_request = 4'000;
    constexpr double capacity_in_step = 40'000;   // tokens freed per step of 20 ms
    constexpr double tokens_per_second = 600'000; // declared; far below the actual capacity
    std::vector<account_shares> router_shares(routers);
    std::vector<double> tokens_of_first;
    std::vector<double> tokens_of_second;
    random_source random{1};
    time_point now = start;
    for (int step = 0; step < 1000; ++step, now += 20ms) {
        double remaining = capacity_in_step;
        tokens_of_first.push_back(0);
        tokens_of_second.push_back(0);
        for (std::size_t attempt = 0; attempt < 4 * routers; ++attempt) {
            const std::size_t index = random.next() % routers;
            const std::uint64_t account = index < routers_of_second ? 2 : 1;
            router_shares[index].on_requested(account, tokens_per_request, now);
            if (remaining < tokens_per_request || router_shares[index].is_throttled(account, now)) continue;
            router_shares[index].on_dispatched(account, tokens_per_request, now);
            (account == 1 ? tokens_of_first : tokens_of_second).back() += tokens_per_request;
            remaining -= tokens_per_request;
        }
        router_shares.back().on_requested(3, 10, now); // a small account whose requests are refused
        if (step % 10 == 0) {
            for (account_shares& shares : router_shares)
                shares.update(tokens_per_second, now);
        }
        // Reports forwarded by relays are up to 600 ms old.
        constexpr int report_steps = 30;
        for (std::size_t sender = 0; sender < routers; ++sender) {
            if (static_cast<int>(sender) % report_steps != step % report_steps) continue;
            for (std::size_t receiver = 0; receiver < routers; ++receiver) {
                if (receiver != sender)
                    router_shares[receiver].set_peer(sender, router_shares[sender].own_usage(now), now);
            }
        }
    }
    constexpr std::ptrdiff_t settling_steps = 200;
    constexpr std::ptrdiff_t steps_in_six_seconds = 300;
    for (auto index = settling_steps; index + steps_in_six_seconds <= std::ssize(tokens_of_first); ++index) {
        const double first_tokens = std::accumulate(
            tokens_of_first.begin() + index, tokens_of_first.begin() + index + steps_in_six_seconds, 0.0);
        const double second_tokens = std::accumulate(
            tokens_of_second.begin() + index, tokens_of_second.begin() + index + steps_in_six_seconds, 0.0);
        BOOST_TEST_INFO("first " << first_tokens << " second " << second_tokens);
        BOOST_REQUIRE(first_tokens < 2 * second_tokens);
    }
}

// Guards against leaving capacity unused although no other account waits for it.
BOOST_AUTO_TEST_CASE(account_is_throttled_only_while_another_waits) {
    account_shares shares;
    shares.on_requested(1, 100'000, start);
    shares.on_dispatched(1, 60'000, start);
    shares.set_peer(7, {{2, {30'000, 30'000}}}, start);
    shares.update(5'000, start);
    BOOST_TEST(!shares.is_throttled(1, start));
    shares.set_peer(7, {{2, {100'000, 30'000}}}, start);
    shares.update(5'000, start);
    shares.on_dispatched(1, 10'000, start);
    BOOST_TEST(shares.is_throttled(1, start));
}

// Guards against throttling an account for usage that is no longer in the window.
BOOST_AUTO_TEST_CASE(usage_window_expires) {
    account_shares shares;
    shares.on_requested(1, 100'000, start);
    shares.on_dispatched(1, 100'000, start);
    shares.on_requested(2, 100'000, start);
    shares.update(10'000, start);
    BOOST_TEST(!shares.is_within_share(1, start));
    shares.update(10'000, start + 5s);
    BOOST_TEST(shares.is_within_share(1, start + 5s));
}

namespace {

/// Two accounts above their shares and many small ones, whose requests wait in one queue for the engines.
struct shared_engines {
    static constexpr std::size_t routers = 100;
    static constexpr std::size_t routers_of_surge = 2;
    static constexpr std::uint64_t surging = 1; // asks for most, at few routers
    static constexpr std::uint64_t steady = 2;  // at all routers
    static constexpr std::uint64_t small_accounts = 58;
    static constexpr double tokens_per_request = 4'000;
    static constexpr double tokens_per_second = 2'000'000; // declared, and what the engines can do
    static constexpr std::size_t requests_in_step = 10;    // that the engines begin in 20 ms
    static constexpr std::size_t max_queue = 1000;         // two seconds of work
    std::vector<account_shares> shares{std::vector<account_shares>(routers)};
    std::deque<std::uint64_t> queue;                    // accounts
    std::map<std::uint64_t, std::vector<double>> asked; // tokens by second
    std::map<std::uint64_t, std::vector<double>> begun;
    random_source random{1};
    time_point now = start;

    void submit(std::uint64_t account, std::size_t router, std::size_t second) {
        shares[router].on_requested(account, tokens_per_request, now);
        asked[account][second] += tokens_per_request;
        if (queue.size() >= max_queue || shares[router].is_throttled(account, now)) return;
        shares[router].on_dispatched(account, tokens_per_request, now);
        queue.push_back(account);
    }
    /// Reports forwarded by relays are up to 600 ms old.
    void exchange_reports(int step) {
        constexpr int report_steps = 30;
        for (std::size_t sender = 0; sender < routers; ++sender) {
            if (static_cast<int>(sender) % report_steps != step % report_steps) continue;
            const auto usage = shares[sender].own_usage(now);
            for (std::size_t receiver = 0; receiver < routers; ++receiver) {
                if (receiver != sender) shares[receiver].set_peer(sender, usage, now);
            }
        }
    }
    void run(std::size_t seconds) {
        constexpr int steps_per_second = 50;
        for (const std::uint64_t account : {surging, steady})
            asked[account] = begun[account] = std::vector<double>(seconds);
        for (int step = 0; step < static_cast<int>(seconds) * steps_per_second; ++step, now += 20ms) {
            const auto second = static_cast<std::size_t>(step / steps_per_second);
            std::vector<std::uint64_t> arrivals(20, surging);
            arrivals.insert(arrivals.end(), 4, steady);
            for (int i = 0; i < 6; ++i)
                arrivals.push_back(10 + random.next() % small_accounts);
            while (!arrivals.empty()) {
                const auto next =
                    arrivals.begin() + static_cast<std::ptrdiff_t>(random.next() % arrivals.size());
                const std::size_t range = *next == surging ? routers_of_surge : routers;
                asked[*next].resize(seconds);
                submit(*next, random.next() % range, second);
                arrivals.erase(next);
            }
            for (std::size_t i = 0; i < requests_in_step && !queue.empty(); ++i, queue.pop_front()) {
                begun[queue.front()].resize(seconds);
                begun[queue.front()][second] += tokens_per_request;
            }
            if (step % 10 == 0) {
                for (account_shares& router : shares)
                    router.update(tokens_per_second, now);
            }
            exchange_reports(step);
        }
    }
};

} // namespace

// Load: all accounts begin at once; one asks for three times as much as the other one above its share, at two
// of 100 routers. Guards against leaving idle engines to the account that asks most until the other one has
// been refused for seconds: in no period of six seconds may the other one get less than half of what it asked
// for or the first one got.
BOOST_AUTO_TEST_CASE(surging_account_leaves_others_their_share_from_the_start) {
    constexpr std::size_t seconds = 20;
    constexpr std::size_t period = 6;
    shared_engines engines;
    engines.run(seconds);
    const auto& asked = engines.asked[shared_engines::steady];
    const auto& got = engines.begun[shared_engines::steady];
    const auto& best = engines.begun[shared_engines::surging];
    for (std::size_t first = 1; first + period <= seconds; ++first) {
        double owed = 0;
        double begun = 0;
        for (std::size_t second = first; second < first + period; ++second) {
            owed += std::min(asked[second], best[second]) / 2;
            begun += got[second];
        }
        BOOST_TEST_CONTEXT("from second " << first) BOOST_TEST(begun >= owed);
    }
    // The engines are not left idle while accounts wait.
    for (std::size_t second = 1; second < seconds; ++second) {
        double all = 0;
        for (const auto& [account, tokens] : engines.begun)
            all += tokens[second];
        BOOST_TEST(all > 0.9 * shared_engines::tokens_per_second);
    }
}

//-----------------------------------------------------------------------------
// [SECTION] Cold targets
//-----------------------------------------------------------------------------

// Guards against crashing a cold target: with any number of routers sending as fast as allowed, no second has
// more than 1.5 times the declared rate plus 5 requests, even if all routers start at the same time.
BOOST_AUTO_TEST_CASE(cold_target_limit_holds_for_any_router_count) {
    constexpr double rate_per_s = 13;
    constexpr double bound = rate_per_s * 1.5 + 5;
    for (const std::size_t routers : {1U, 4U, 22U, 370U}) {
        std::vector<std::optional<time_point>> last_sends(routers);
        std::deque<time_point> sent;
        const cold_limit_settings settings;
        for (time_point now = start; now < start + 5s; now += 5ms) {
            for (std::size_t rank = 0; rank < routers; ++rank) {
                const auto next =
                    next_send_time(last_sends[rank], cold_rate(settings, rate_per_s), rank, routers);
                if (!next || *next > now) continue;
                last_sends[rank] = now;
                sent.push_back(now);
            }
            while (!sent.empty() && now - sent.front() >= 1s)
                sent.pop_front();
            BOOST_REQUIRE(static_cast<double>(sent.size()) <= bound);
        }
    }
}

//-----------------------------------------------------------------------------
// [SECTION] Retries
//-----------------------------------------------------------------------------

// Load: every request fails. Guards against retries that multiply the load over all routers.
BOOST_AUTO_TEST_CASE(retries_stay_within_the_shared_limit) {
    constexpr std::size_t routers = 4;
    retry_window_settings settings;
    settings.slack = 54;
    std::vector<retry_window> windows(routers);
    std::size_t retries = 0;
    std::size_t first_attempts = 0;
    for (time_point now = start; now < start + 10s; now += 10ms) {
        for (auto& window : windows) {
            record_first_attempt(window, settings, now);
            ++first_attempts;
            if (try_take_retry(window, settings, routers, now)) ++retries;
        }
    }
    BOOST_TEST(static_cast<double>(retries) <=
               settings.ratio * static_cast<double>(first_attempts) + settings.slack);
    BOOST_TEST(retries > 0U);
}

//-----------------------------------------------------------------------------
// [SECTION] Catalog
//-----------------------------------------------------------------------------

// Guards against accepting a revoked key at a router that cannot reach the store.
BOOST_AUTO_TEST_CASE(stale_catalog_accepts_no_key) {
    catalog_freshness freshness;
    const freshness_settings settings;
    BOOST_TEST(!may_accept_key(freshness, settings, start));
    confirm(freshness, start);
    BOOST_TEST(may_accept_key(freshness, settings, start + 4s));
    BOOST_TEST(!may_accept_key(freshness, settings, start + 5s));
    confirm(freshness, start - 10s); // an older confirmation has no effect
    BOOST_TEST(may_accept_key(freshness, settings, start + 4s));
}

// Guards against a 404 reply for a path that only the shorter prefix matches, and against selecting the
// shorter of two matching prefixes.
BOOST_AUTO_TEST_CASE(longest_prefix_wins) {
    catalog contents;
    route_declaration shorter;
    shorter.path_prefix = "/a/";
    shorter.name = "shorter";
    route_declaration longer;
    longer.path_prefix = "/a/b/";
    longer.name = "longer";
    contents.routes["h.example"] = {shorter, longer};
    index_routes(contents);
    BOOST_TEST(find_route(contents, "h.example", "/a/b/c")->name == "longer");
    BOOST_TEST(find_route(contents, "h.example", "/a/c")->name == "shorter");
    BOOST_TEST((find_route(contents, "h.example", "/b/") == nullptr));
    BOOST_TEST((find_route(contents, "other.example", "/a/") == nullptr));
}

BOOST_AUTO_TEST_SUITE_END()
