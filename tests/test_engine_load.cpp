// Index of this file:
// [SECTION] Helpers
// [SECTION] Prefix cache
// [SECTION] Engine selection
// [SECTION] Peer load

#include "damaskhill_engine_load.hpp"

#include <boost/test/unit_test.hpp>

using namespace damaskhill;

namespace {

//-----------------------------------------------------------------------------
// [SECTION] Helpers
//-----------------------------------------------------------------------------

constexpr time_point start{1000s};

prompt_shape make_review_prompt(std::uint64_t shared_segment, std::uint32_t own_tokens) {
    return {5000 + own_tokens,
            400,
            0,
            {{shared_segment, 5000}, {shared_segment * 1000 + own_tokens, own_tokens}}};
}

struct fleet {
    std::vector<target_load> loads;
    std::vector<placement_option> options;
    engine_settings settings;
    engine_speed speed{25.0, 1.0 / 60.0, 0.3};

    explicit fleet(std::size_t engines) : loads(engines) {
        for (std::size_t i = 0; i < engines; ++i) {
            loads[i].slots = 64;
            loads[i].kv_limit = 544'695;
        }
        for (std::size_t i = 0; i < engines; ++i)
            options.push_back({static_cast<std::uint32_t>(i), &loads[i], true, false, 0.0});
    }
    placement_result place(const prompt_shape& prompt, duration limit, double backlog_share = 1.0) const {
        return place_prompt(options, prompt, {limit, backlog_share}, speed, settings, start);
    }
    double max_prefill_run_ms() const { return to_milliseconds(settings.max_prefill_run); }
};

} // namespace

BOOST_AUTO_TEST_SUITE(engine_load)

//-----------------------------------------------------------------------------
// [SECTION] Prefix cache
//-----------------------------------------------------------------------------

// Guards against counting a segment as cached after an earlier one was evicted: engines cache prefixes only.
BOOST_AUTO_TEST_CASE(segment_after_uncached_segment_is_uncached) {
    target_load load;
    const engine_settings settings;
    load.cached_segments.use(2, start, settings.max_cached_segments);
    const prompt_shape prompt{300, 10, 0, {{1, 100}, {2, 100}, {3, 100}}};
    BOOST_TEST(uncached_tokens(load, prompt, settings, start) == 300U);
    load.cached_segments.use(1, start, settings.max_cached_segments);
    BOOST_TEST(uncached_tokens(load, prompt, settings, start) == 100U);
}

// Guards against memory use that grows with the number of distinct segments.
BOOST_AUTO_TEST_CASE(least_recently_used_segment_is_evicted) {
    prefix_cache_model cache;
    cache.use(1, start, 2);
    cache.use(2, start, 2);
    cache.use(1, start + 1s, 2);
    cache.use(3, start + 2s, 2);
    BOOST_TEST(cache.holds(1, start + 2s, 30s));
    BOOST_TEST(!cache.holds(2, start + 2s, 30s));
    BOOST_TEST(!cache.holds(1, start + 60s, 30s));
}

//-----------------------------------------------------------------------------
// [SECTION] Engine selection
//-----------------------------------------------------------------------------

// Load: many requests with one shared prefix. Guards against recomputing the prefix at another engine while
// the engine that has cached it still meets the first-token limit.
BOOST_AUTO_TEST_CASE(cached_prefix_attracts_requests) {
    fleet engines{3};
    const prompt_shape prompt = make_review_prompt(7, 1000);
    engines.loads[1].cached_segments.use(7, start, engines.settings.max_cached_segments);
    add_backlog(engines.loads[1], engines.settings, 100, start);
    const auto result = engines.place(prompt, 700ms);
    BOOST_REQUIRE(result.chosen.has_value());
    BOOST_TEST(result.chosen->target == 1U);
}

// Load: a hot prefix. Guards against queueing at the engine that has cached it while others are free.
BOOST_AUTO_TEST_CASE(hot_prefix_spills_to_another_engine) {
    fleet engines{3};
    const prompt_shape prompt = make_review_prompt(7, 1000);
    engines.loads[1].cached_segments.use(7, start, engines.settings.max_cached_segments);
    add_backlog(engines.loads[1], engines.settings, engines.max_prefill_run_ms() - 10, start);
    const auto result = engines.place(prompt, 700ms);
    BOOST_REQUIRE(result.chosen.has_value());
    BOOST_TEST(result.chosen->target != 1U);
}

// Guards against routers that spill one prefix to different engines: among uncached engines, affinity
// decides.
BOOST_AUTO_TEST_CASE(affinity_decides_between_uncached_engines) {
    fleet engines{4};
    engines.options[2].affinity = 0.9;
    engines.options[3].affinity = 0.6;
    const auto result = engines.place(make_review_prompt(7, 1000), 700ms);
    BOOST_REQUIRE(result.chosen.has_value());
    BOOST_TEST(result.chosen->target == 2U);
}

// Load: prompts of 30,000 tokens among chats. Guards against streams that pause during the prefill of a long
// prompt.
BOOST_AUTO_TEST_CASE(long_prompts_use_designated_engines) {
    fleet engines{4};
    engines.options[3].for_long_prompts = true;
    const auto long_placement = engines.place(make_review_prompt(7, 30'000), 700ms);
    BOOST_REQUIRE(long_placement.chosen.has_value());
    BOOST_TEST(long_placement.chosen->target == 3U);
    const auto short_placement = engines.place(make_review_prompt(8, 1000), 700ms);
    BOOST_REQUIRE(short_placement.chosen.has_value());
    BOOST_TEST(short_placement.chosen->target != 3U);
}

// Guards against continuous prefill that is longer than the allowed gap between stream events, even if the
// first token would be in time.
BOOST_AUTO_TEST_CASE(continuous_prefill_is_bounded) {
    fleet engines{1};
    engines.loads[0].cached_segments.use(7, start, engines.settings.max_cached_segments);
    add_backlog(engines.loads[0], engines.settings, engines.max_prefill_run_ms() - 10, start);
    const auto result = engines.place(make_review_prompt(7, 1000), 2s);
    BOOST_TEST(!result.chosen.has_value());
}

// Load: two accounts above their share, one with short and one with long prompts. Guards against the short
// prompts filling every gap: the allowed backlog depends on the account's used share, not on the prompt
// length.
BOOST_AUTO_TEST_CASE(low_backlog_share_allows_short_backlogs_only) {
    fleet engines{1};
    engines.loads[0].running = 30;
    add_backlog(engines.loads[0], engines.settings, 150, start);
    BOOST_TEST(engines.place(make_review_prompt(7, 500), 700ms, 1.0).chosen.has_value());
    BOOST_TEST(!engines.place(make_review_prompt(7, 500), 700ms, 0.3).chosen.has_value());
    fleet idle_fleet{1};
    idle_fleet.loads[0].cached_segments.use(7, start, idle_fleet.settings.max_cached_segments);
    // An idle engine that no other account needs takes the request even with a backlog share of 0.
    BOOST_TEST(idle_fleet.place(make_review_prompt(7, 500), 700ms, 0.0).chosen.has_value());
}

// Guards against queueing inside an engine without free slots or KV cache.
BOOST_AUTO_TEST_CASE(full_engine_is_skipped) {
    fleet engines{1};
    engines.loads[0].running = 63;
    BOOST_TEST(!engines.place(make_review_prompt(7, 1000), 700ms).chosen.has_value());
    engines.loads[0].running = 50;
    BOOST_TEST(engines.place(make_review_prompt(7, 1000), 700ms).chosen.has_value());
    engines.loads[0].kv_tokens = 540'000;
    BOOST_TEST(!engines.place(make_review_prompt(7, 1000), 700ms).chosen.has_value());
}

// Guards against a Retry-After that is unrelated to the load: it follows the shortest backlog.
BOOST_AUTO_TEST_CASE(time_until_capacity_follows_backlog) {
    fleet engines{2};
    add_backlog(engines.loads[0], engines.settings, 2000, start);
    add_backlog(engines.loads[1], engines.settings, 1000, start);
    engines.options[0].for_long_prompts = engines.options[1].for_long_prompts = true;
    const auto result = engines.place(make_review_prompt(7, 1000), 500ms);
    BOOST_TEST(!result.chosen.has_value());
    BOOST_TEST(result.capacity_in.count() > (500ms / 1us));
    BOOST_TEST(result.capacity_in.count() < (2s / 1us));
}

// Load: accounts above their share, prompts of all lengths. Guards against refusing long prompts of an
// account more often than short ones: the share limits the backlog that a request finds, not its own prefill.
BOOST_AUTO_TEST_CASE(low_backlog_share_treats_all_lengths_alike) {
    fleet engines{1};
    engines.loads[0].running = 30; // not idle
    engines.loads[0].cached_segments.use(7, start, engines.settings.max_cached_segments);
    add_backlog(engines.loads[0], engines.settings, 100, start);
    BOOST_TEST(engines.place(make_review_prompt(7, 500), 700ms, 0.4).chosen.has_value());
    BOOST_TEST(engines.place(make_review_prompt(7, 16'000), 700ms, 0.4).chosen.has_value());
}

// Guards against refusing requests for their size alone: an idle fleet takes every prompt that fits into an
// engine's KV cache, whatever the latency target and the speed of its engines.
BOOST_AUTO_TEST_CASE(idle_fleet_takes_prompts_of_every_size) {
    for (const double tokens_per_ms : {30.0, 61.0, 66.0, 112.0, 200.0}) {
        for (const duration target : {300ms, 500ms, 600ms, 800ms, 1200ms}) {
            fleet engines{9};
            engines.speed = {45.0, 1.0 / tokens_per_ms, 0.2};
            engines.options[4].for_long_prompts = true;
            for (std::uint32_t tokens = 1; tokens <= 60'000; tokens += tokens / 8 + 1) {
                BOOST_TEST_CONTEXT(tokens << " tokens at " << tokens_per_ms << " a ms, target "
                                          << to_milliseconds(target) << " ms") {
                    const prompt_shape prompt{tokens, 400, 0, {{tokens, tokens}}};
                    BOOST_TEST(engines.place(prompt, target * 9 / 10).chosen.has_value());
                }
            }
        }
    }
}

// Guards against sending to a slow target while others are free: its measured slowdown counts.
BOOST_AUTO_TEST_CASE(slow_engine_is_avoided) {
    fleet engines{2};
    engines.loads[0].slowdown = {3.0, start};
    engines.loads[1].running = 10;
    const auto result = engines.place(make_review_prompt(7, 4000), 700ms);
    BOOST_REQUIRE(result.chosen.has_value());
    BOOST_TEST(result.chosen->target == 1U);
}

//-----------------------------------------------------------------------------
// [SECTION] Peer load
//-----------------------------------------------------------------------------

// Guards against a target that looks full forever: reports have no rows for targets without load.
BOOST_AUTO_TEST_CASE(target_without_row_has_no_peer_load) {
    target_load load;
    const engine_settings settings;
    apply_peer_load(load, settings, 1, {6, 1000, 10}, start);
    apply_peer_load(load, settings, 2, {1, 0, 0}, start);
    BOOST_TEST(total_running(load) == 7U);
    clear_peer_load(load, 1);
    BOOST_TEST(total_running(load) == 1U);
    BOOST_TEST(total_kv_tokens(load) == 0U);
    remove_peer_load(load, 2);
    BOOST_TEST(total_running(load) == 0U);
}

// Guards against counting all work that a router has sent since its start as new when the router is first
// heard or restarts.
BOOST_AUTO_TEST_CASE(only_growth_of_total_adds_backlog) {
    target_load load;
    const engine_settings settings;
    apply_peer_load(load, settings, 1, {0, 0, 5000}, start);
    BOOST_TEST(backlog_ms(load, settings, start) == 0.0);
    apply_peer_load(load, settings, 1, {0, 0, 5100}, start);
    BOOST_TEST(backlog_ms(load, settings, start) == 100.0);
    apply_peer_load(load, settings, 1, {0, 0, 0}, start);
    BOOST_TEST(backlog_ms(load, settings, start) == 100.0);
}

// Load: twenty routers that read the same report. Guards against all of them filling the same free capacity
// at once: work that peers have probably started since their reports counts as load.
BOOST_AUTO_TEST_CASE(unreported_peer_load_is_estimated) {
    fleet engines{1};
    target_load& load = engines.loads[0];
    load.running = 30; // not idle
    const engine_settings settings;
    std::uint64_t total = 0;
    time_point now = start;
    for (int i = 0; i < 30; ++i) {
        now += 200ms;
        apply_peer_load(load, settings, 1, {0, 0, total += 200}, now); // 1,000 ms of prefill per second
        update_unreported_load(load, 200ms, 200ms);
    }
    BOOST_TEST(load.unreported_ms > 190.0);
    load.backlog = {};
    BOOST_TEST(!engines.place(make_review_prompt(7, 9000), 450ms).chosen.has_value());
    load.unreported_ms = 0;
    BOOST_TEST(engines.place(make_review_prompt(7, 9000), 450ms).chosen.has_value());
}

// Guards against recomputing shared segments at a nearly full engine, whose capacity is worth more to other
// requests.
BOOST_AUTO_TEST_CASE(recomputing_shared_segments_costs_headroom) {
    fleet engines{1};
    engines.loads[0].running = 30;
    add_backlog(engines.loads[0], engines.settings, engines.max_prefill_run_ms() - 200, start);
    BOOST_TEST(!engines.place(make_review_prompt(7, 1000), 700ms).chosen.has_value());
    engines.loads[0].cached_segments.use(7, start, engines.settings.max_cached_segments);
    BOOST_TEST(engines.place(make_review_prompt(7, 1000), 700ms).chosen.has_value());
}

// Load: one of two plain targets is busy. Guards against queueing there while the other one has a free slot.
BOOST_AUTO_TEST_CASE(call_goes_to_a_free_slot) {
    std::vector<target_load> loads(2);
    loads[0].slots = loads[1].slots = 6;
    loads[0].running = 6;
    const std::vector<placement_option> options{{0, &loads[0], true, false, 0},
                                                {1, &loads[1], false, false, 0}};
    const engine_settings settings;
    const engine_speed speed{60.0, 0.0, 0.0};
    const auto result = place_call(options, speed, settings, start);
    BOOST_REQUIRE(result.chosen.has_value());
    BOOST_TEST(result.chosen->target == 1U);
    loads[0].running = loads[1].running = 9;
    BOOST_TEST(!place_call(options, speed, settings, start).chosen.has_value());
}

BOOST_AUTO_TEST_SUITE_END()
