// Load of the targets as one router estimates it, and the choice of a target.
//
// Load pattern: more prompt tokens arrive than the engines read, half of them shared between requests.
// Engines admit in order of arrival, so work that is sent too early waits where nobody can reorder it. The
// model keeps the time of the prompts that each engine still has to read, by all routers, and the parts that
// each one keeps.
//
// Index of this file:
// [SECTION] Settings
// [SECTION] Load of a target
// [SECTION] Prompts
// [SECTION] Choice

#pragma once

#include "damaskhill_types.hpp"

#include <list>
#include <unordered_map>

namespace damaskhill {

//-----------------------------------------------------------------------------
// [SECTION] Settings
//-----------------------------------------------------------------------------

struct engine_settings {
    double prefill_tokens_per_ms{60.0};         // read by one engine; both deployments' engines read 61 to 66
    double attention_ms_per_million_pairs{0.3}; // attention of the prompt to itself and what stands before it
    double prefill_time_share{
        0.68}; // of an engine's time for prompts; the rest generates tokens of running streams
    duration first_token_overhead{25ms}; // a step, its batch and the way to the engine
    double max_slot_share{0.94}; // of an engine's slots; the rest covers what other routers start meanwhile
    double max_kv_share{0.92};   // of an engine's memory, for the same reason
    double prefill_weight{8.0}; // delay that is worth taking to avoid one ms of reading, within the limit, ms
    // While an engine reads, its running streams get one token for each chunk, so reading without a break
    // makes their events pause. Long prompts therefore go to a few engines that short requests avoid.
    // Events of 7 or 8 tokens then come every 460 to 560 ms, and may pause for 500 to 600 ms.
    duration max_prefill_run{600ms};            // at an engine for short requests
    duration long_prompt_threshold{600ms};      // reading time above which a prompt is long
    double long_prompt_engine_share{0.1};       // part of a service's engines that take long prompts
    duration long_prompt_engine_penalty{300ms}; // of these engines for short requests
    double long_prompt_limit_factor{1.5}; // factor of the limit for long prompts, which fit into few gaps
    duration full_batch_penalty{250ms};   // of an engine whose slots are all taken; falls with the square
    duration other_data_centre_penalty{4ms};
    double recompute_cost_base{1.5};       // backlog given up for each ms of shared parts that is read again
    double recompute_cost_weight{4.0};     // the same in addition by an account that is granted nothing
    double idle_slot_share{0.4};           // an engine is idle below this share of its slots
    duration max_idle_backlog{20ms};       // and below this backlog
    std::size_t max_cached_segments{4096}; // prompt parts remembered for each engine
    duration cached_segment_lifetime{30s}; // after its last use a part is taken as evicted
    std::uint32_t service_queue_limit{3};  // requests beyond a plain service's slots that may wait there
    duration service_time{60ms};           // of a plain service's request, until answers have been seen
};

//-----------------------------------------------------------------------------
// [SECTION] Load of a target
//-----------------------------------------------------------------------------

/// Work in milliseconds of prompt reading that drains with time.
struct prompt_backlog {
    double ms{}; // at the time `at`
    time_point at{};
};

/// What one other router has said of a target.
struct peer_load {
    std::uint32_t running{};
    std::uint64_t kv_tokens{};
    std::uint64_t prompt_ms_total{}; // grows with each start; the increase joins the backlog
};

/// Parts of prompts that a target is thought to keep, the least recently used last.
class prefix_cache_model {
public:
    void use(std::uint64_t part, time_point now, std::size_t limit);
    [[nodiscard]] bool holds(std::uint64_t part, time_point now, duration lifetime) const;
    void clear();

private:
    struct entry {
        std::uint64_t part{};
        time_point used{};
    };
    std::list<entry> order_;
    std::unordered_map<std::uint64_t, std::list<entry>::iterator> index_;
};

struct target_load {
    std::uint32_t slots{1};
    std::uint64_t kv_limit{}; // 0: a plain service
    std::uint32_t running{};  // of this router
    std::uint64_t kv_tokens{};
    std::uint64_t prompt_ms_total{};      // of this router since its start
    std::uint64_t peer_prompt_ms_total{}; // growth of the peers' totals that this router has seen
    prompt_backlog backlog;               // of all routers
    std::unordered_map<std::uint64_t, peer_load> peers; // by router; changed by the functions below only
    std::uint32_t peer_running{};                       // sums over them
    std::uint64_t peer_kv_tokens{};
    std::uint64_t peer_prompt_ms_growth{}; // of their totals since the last update
    double peer_prompt_ms_per_s{};         // smoothed
    double unreported_ms{};                // what the peers have probably started since their last reports
    prefix_cache_model cached_segments;
};

[[nodiscard]] double backlog_ms(const target_load& load, const engine_settings& settings, time_point now);
void add_backlog(target_load& load, const engine_settings& settings, double ms, time_point now);
/// Requests of all routers that run or wait there.
[[nodiscard]] std::uint32_t total_running(const target_load& load);
[[nodiscard]] std::uint64_t total_kv_tokens(const target_load& load);
/// Estimates what the peers have started since their reports, from the growth of their totals. Many routers
/// that read the same report would otherwise all fill the same gap.
void update_unreported_load(target_load& load, duration since_last, duration report_age);
/// Takes it that another router has nothing running there any more.
void clear_peer_load(target_load& load, std::uint64_t router);
/// Drops what another router has said.
void remove_peer_load(target_load& load, std::uint64_t router);
/// Takes a row of another router's report. Returns the growth of its total since the last row, ms.
std::uint64_t apply_peer_load(target_load& load, const engine_settings& settings, std::uint64_t router,
                              const peer_load& row, time_point now);

//-----------------------------------------------------------------------------
// [SECTION] Prompts
//-----------------------------------------------------------------------------

struct prompt_segment {
    std::uint64_t id{};
    std::uint32_t tokens{};
};

struct prompt_shape {
    std::uint32_t tokens{};
    std::uint32_t output_limit{};         // tokens
    std::uint32_t output_hint{};          // tokens, 0: none; right at the median only
    std::vector<prompt_segment> segments; // in order; the last one is the request's own
};

/// Tokens of the prompt that the target has to read: a part counts as kept only if all before it are.
[[nodiscard]] std::uint32_t uncached_tokens(const target_load& load, const prompt_shape& prompt,
                                            const engine_settings& settings, time_point now);
/// Time that an engine needs to read them.
[[nodiscard]] double prefill_time_ms(std::uint32_t missing, const prompt_shape& prompt,
                                     const engine_settings& settings);
/// Memory that a request is expected to take until its end, tokens.
[[nodiscard]] std::uint64_t expected_kv_tokens(const prompt_shape& prompt);

//-----------------------------------------------------------------------------
// [SECTION] Choice
//-----------------------------------------------------------------------------

struct placement_option {
    std::uint32_t target{}; // position in the caller's list
    const target_load* load{};
    bool same_data_centre{};
    bool for_long_prompts{};
    double affinity{}; // 0 to 1: how likely the other routers have sent the prompt's subject there
};

struct placement_choice {
    std::uint32_t target{};
    duration predicted_first_token{}; // predicted, from now
    double prefill_ms{};
    double
        recompute_ms{}; // of the work: shared parts that are probably read although another engine keeps them
};

struct placement_result {
    std::optional<placement_choice> chosen; // earliest first token at the least work, within the limit
    duration capacity_in{};                 // if none: the earliest time at which one may have room
};

/// Time from now within which the first token has to be predicted.
struct first_token_limits {
    duration limit{};          // at any engine
    double backlog_share{1.0}; // of the limits at an engine that is not idle
    bool may_use_idle{true};   // false: idle engines are left to others
};

/// Chooses an engine whose first token is predicted within the limits.
[[nodiscard]] placement_result place_prompt(std::span<const placement_option> options,
                                            const prompt_shape& prompt, const first_token_limits& limits,
                                            const engine_settings& settings, time_point now);
/// Chooses the least loaded target of a plain service.
[[nodiscard]] placement_result place_call(std::span<const placement_option> options,
                                          const engine_settings& settings);

} // namespace damaskhill
