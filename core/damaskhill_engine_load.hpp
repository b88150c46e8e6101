// Load model of the targets, as estimated by one router, and target selection.
//
// Load pattern: more prompt tokens arrive than the engines can prefill, and half of them are shared between
// requests. Engines admit requests in order of arrival, so a request that is sent too early waits in a queue
// that no router can reorder. For each engine the model tracks the outstanding prefill time of all routers'
// requests and the prompt segments in its prefix cache.
//
// Index of this file:
// [SECTION] Settings
// [SECTION] Load of a target
// [SECTION] Prompts
// [SECTION] Target selection

#pragma once

#include "damaskhill_engine_model.hpp"

#include <list>
#include <unordered_map>

namespace damaskhill {

//-----------------------------------------------------------------------------
// [SECTION] Settings
//-----------------------------------------------------------------------------

struct engine_settings {
    // Fraction of an engine's time spent on prefill; the rest generates tokens of running streams.
    double prefill_time_share{0.85};
    // Usable fractions of an engine's slots and KV cache; the rest covers concurrent starts by other routers.
    double max_slot_share{0.94};
    double max_kv_share{0.92};
    // Delay in ms that is accepted to save one ms of prefill, within the first-token limit.
    double prefill_weight{8.0};
    // Longest continuous prefill at an engine for short requests. While an engine prefills, its running
    // streams get one token per chunk, which delays their events. Long prompts therefore go to a few engines
    // that short requests avoid. Events of 7 or 8 tokens then come every 460 to 560 ms; gaps of 500 to 600 ms
    // are allowed.
    duration max_prefill_run{600ms};
    // Fraction of a service's engines that take long prompts: those that no other engine could prefill in
    // time.
    double long_prompt_engine_share{0.1};
    // Score penalty of these engines for short requests.
    duration long_prompt_engine_penalty{300ms};
    // Factor on the first-token limit of long prompts, since engines rarely have enough free time for them.
    double long_prompt_limit_factor{1.5};
    // Score penalty of an engine without free slots; proportional to the square of the slot use.
    duration full_batch_penalty{250ms};
    duration other_data_centre_penalty{4ms};
    // Reduction of the allowed backlog, in ms for each ms of prefill that recomputes shared segments.
    double recompute_cost_base{1.5};
    // recompute_cost_base for targets of services with tight streams, which take more requests than others:
    // what engines spend on reading shared segments again is missing for the requests that are refused.
    double tight_recompute_cost_base{4.0};
    // Added to recompute_cost_base for an account with a backlog share of 0, and proportionally less for one
    // with a larger share.
    double recompute_cost_weight{4.0};
    // An engine is idle below both this fraction of its slots and this backlog.
    double idle_slot_share{0.4};
    duration max_idle_backlog{20ms};
    // Prompt segments tracked per engine.
    std::size_t max_cached_segments{4096};
    // A segment counts as evicted this long after its last use.
    duration cached_segment_lifetime{30s};
    // Announced work that no summary has contained for this long was reported otherwise.
    duration max_announced_age{1s};
    // Requests that may queue at a plain service's target beyond its slots.
    std::uint32_t service_queue_limit{3};
};

//-----------------------------------------------------------------------------
// [SECTION] Load of a target
//-----------------------------------------------------------------------------

/// Outstanding prefill work, which drains with time.
struct prompt_backlog {
    double ms{}; // at the time `at`
    time_point at{};
};

/// Load that another router has placed on a target, from its last report.
struct peer_load {
    std::uint32_t running{};
    std::uint64_t kv_tokens{};
    std::uint64_t prompt_ms_total{}; // grows with each request sent; the increase is added to the backlog
};

/// Work that routers of another data centre have announced and that its next summary will contain.
struct announced_work {
    double ms{};
    time_point at{}; // of the latest announcement
};

/// Model of an engine's prefix cache: prompt segments in LRU order, most recently used first.
class prefix_cache_model {
public:
    void use(std::uint64_t segment, time_point now, std::size_t limit);
    [[nodiscard]] bool holds(std::uint64_t segment, time_point now, duration lifetime) const;
    void clear();

private:
    struct entry {
        std::uint64_t segment{};
        time_point used{};
    };
    std::list<entry> order_;
    std::unordered_map<std::uint64_t, std::list<entry>::iterator> index_;
};

struct target_load {
    std::uint32_t slots{1};
    std::uint64_t kv_limit{}; // 0: a plain service
    std::uint32_t running{};  // requests of this router
    std::uint64_t kv_tokens{};
    std::uint64_t prompt_ms_total{};                    // of this router since its start
    std::uint64_t peer_prompt_ms_total{};               // growth of local peers' totals seen by this router
    prompt_backlog backlog;                             // of all routers
    std::unordered_map<std::uint64_t, peer_load> peers; // by router; modified only by the functions below
    std::uint32_t peer_running{};                       // sums over `peers`
    std::uint64_t peer_kv_tokens{};
    std::uint64_t peer_prompt_ms_growth{};                       // of the peers' totals since the last update
    double peer_prompt_ms_per_s{};                               // smoothed
    std::unordered_map<std::uint64_t, announced_work> announced; // by id of the data centre's summary
    double unreported_ms{}; // estimated work that peers have started since their last reports
    prefix_cache_model cached_segments;
    target_slowdown slowdown;
    // The backlog, which is counted at the service's usual speed, drains at the target's own.
    bool drains_at_own_speed{};
};

/// Outstanding prefill work at the service's usual speed, ms.
[[nodiscard]] double backlog_ms(const target_load& load, const engine_settings& settings, time_point now);
void add_backlog(target_load& load, const engine_settings& settings, double ms, time_point now);
/// Time in which the target finishes that work, and what peers have not reported yet, ms.
[[nodiscard]] double backlog_wait_ms(const target_load& load, const engine_settings& settings,
                                     time_point now);
/// Requests of all routers that run or wait at the target.
[[nodiscard]] std::uint32_t total_running(const target_load& load);
[[nodiscard]] std::uint64_t total_kv_tokens(const target_load& load);
/// Estimates the work that peers have started since their last reports from the growth rate of their totals.
/// Without the estimate, many routers that read the same report would all fill the same gap.
void update_unreported_load(target_load& load, duration since_last, duration report_age);
/// Sets the running load of another router to zero but keeps its total.
void clear_peer_load(target_load& load, std::uint64_t router);
/// Removes all state of another router.
void remove_peer_load(target_load& load, std::uint64_t router);
/// Adds work that a router of another data centre has announced before its data centre's summary, which has
/// the given id, contains it.
void add_announced_work(target_load& load, const engine_settings& settings, std::uint64_t summary, double ms,
                        time_point now);
/// Applies a row of another router's report. Returns the growth of its total since the last row, ms.
std::uint64_t apply_peer_load(target_load& load, const engine_settings& settings, std::uint64_t router,
                              const peer_load& row, time_point now);

//-----------------------------------------------------------------------------
// [SECTION] Prompts
//-----------------------------------------------------------------------------

struct prompt_segment {
    std::uint64_t id{}; // of what an engine caches, which differs by model
    std::uint32_t tokens{};
    std::uint64_t content{}; // of what the request holds, whatever its model
};

struct prompt_shape {
    std::uint32_t tokens{};
    std::uint32_t output_limit{};         // tokens
    std::uint32_t output_hint{};          // tokens; 0: none; right in the median, not for each request
    std::vector<prompt_segment> segments; // in order; the last one belongs to this request alone
};

/// Prompt tokens that the target has to prefill. A segment counts as cached only if all before it are cached.
[[nodiscard]] std::uint32_t uncached_tokens(const target_load& load, const prompt_shape& prompt,
                                            const engine_settings& settings, time_point now);
/// Work of prefilling the `missing` (uncached) tokens of the prompt.
[[nodiscard]] prefill_work work_of(std::uint32_t missing, const prompt_shape& prompt);
/// Expected KV cache use of a request when it ends, tokens.
[[nodiscard]] std::uint64_t expected_kv_tokens(const prompt_shape& prompt);

//-----------------------------------------------------------------------------
// [SECTION] Target selection
//-----------------------------------------------------------------------------

struct placement_option {
    std::uint32_t target{}; // index in the caller's list
    const target_load* load{};
    bool same_data_centre{};
    bool for_long_prompts{};
    double affinity{}; // 0 to 1: likelihood that other routers have sent the shared segments to this target
};

struct placement_choice {
    std::uint32_t target{};
    duration predicted_first_token{}; // from now
    double prefill_ms{};
    double recompute_ms{}; // part of prefill_ms for shared segments that another engine probably has cached
    prefill_work work;
    double backlog_ms{};
};

struct placement_result {
    std::optional<placement_choice> chosen; // lowest score within the limits
    duration capacity_in{};                 // if none: estimated time until a target may have capacity
    double least_backlog_ms{};              // of the engines with slots and memory left
};

/// Limits on the predicted time to the first token.
struct first_token_limits {
    duration limit{};          // from now
    double backlog_share{1.0}; // usable fraction of the allowed backlog at an engine that is not idle
    bool may_use_idle{true};   // false: idle engines are reserved for other accounts
};

/// Selects the engine with the lowest score among those whose predicted first token is within the limits.
[[nodiscard]] placement_result place_prompt(std::span<const placement_option> options,
                                            const prompt_shape& prompt, const first_token_limits& limits,
                                            const engine_speed& speed, const engine_settings& settings,
                                            time_point now);
/// Selects the least loaded target of a plain service.
[[nodiscard]] placement_result place_call(std::span<const placement_option> options,
                                          const engine_speed& speed, const engine_settings& settings,
                                          time_point now);

} // namespace damaskhill
