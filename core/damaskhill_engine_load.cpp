// Index of this file:
// [SECTION] Prefix cache
// [SECTION] Load of a target
// [SECTION] Prompts
// [SECTION] Target selection

#include "damaskhill_engine_load.hpp"

#include <algorithm>
#include <cmath>

namespace damaskhill {

//-----------------------------------------------------------------------------
// [SECTION] Prefix cache
//-----------------------------------------------------------------------------

void prefix_cache_model::use(std::uint64_t segment, time_point now, std::size_t limit) {
    const auto found = index_.find(segment);
    if (found != index_.end()) {
        found->second->used = now;
        order_.splice(order_.begin(), order_, found->second);
        return;
    }
    order_.push_front({segment, now});
    index_[segment] = order_.begin();
    if (order_.size() <= limit) return;
    index_.erase(order_.back().segment);
    order_.pop_back();
}

bool prefix_cache_model::holds(std::uint64_t segment, time_point now, duration lifetime) const {
    const auto found = index_.find(segment);
    return found != index_.end() && now - found->second->used <= lifetime;
}

void prefix_cache_model::clear() {
    order_.clear();
    index_.clear();
}

//-----------------------------------------------------------------------------
// [SECTION] Load of a target
//-----------------------------------------------------------------------------

namespace {

double own_slowdown(const target_load& load, time_point now) {
    return load.drains_at_own_speed ? slowdown_factor(load.slowdown, now) : 1.0;
}

} // namespace

double backlog_ms(const target_load& load, const engine_settings& settings, time_point now) {
    const double drained =
        to_milliseconds(now - load.backlog.at) * settings.prefill_time_share / own_slowdown(load, now);
    return std::max(0.0, load.backlog.ms - std::max(0.0, drained));
}

double backlog_wait_ms(const target_load& load, const engine_settings& settings, time_point now) {
    return (backlog_ms(load, settings, now) + load.unreported_ms) * own_slowdown(load, now);
}

void add_backlog(target_load& load, const engine_settings& settings, double ms, time_point now) {
    load.backlog = {backlog_ms(load, settings, now) + ms, now};
}

std::uint32_t total_running(const target_load& load) { return load.running + load.peer_running; }

std::uint64_t total_kv_tokens(const target_load& load) { return load.kv_tokens + load.peer_kv_tokens; }

void update_unreported_load(target_load& load, duration since_last, duration report_age) {
    constexpr double weight = 0.3; // of the latest period
    if (since_last <= 0s) return;
    const double rate = static_cast<double>(load.peer_prompt_ms_growth) / to_seconds(since_last);
    load.peer_prompt_ms_growth = 0;
    load.peer_prompt_ms_per_s += weight * (rate - load.peer_prompt_ms_per_s);
    load.unreported_ms = load.peer_prompt_ms_per_s * to_seconds(report_age);
}

void clear_peer_load(target_load& load, std::uint64_t router) {
    const auto found = load.peers.find(router);
    if (found == load.peers.end()) return;
    load.peer_running -= found->second.running;
    load.peer_kv_tokens -= found->second.kv_tokens;
    found->second.running = 0;
    found->second.kv_tokens = 0;
}

void remove_peer_load(target_load& load, std::uint64_t router) {
    const auto found = load.peers.find(router);
    if (found == load.peers.end()) return;
    load.peer_running -= found->second.running;
    load.peer_kv_tokens -= found->second.kv_tokens;
    load.peers.erase(found);
}

void add_announced_work(target_load& load, const engine_settings& settings, std::uint64_t summary, double ms,
                        time_point now) {
    announced_work& announced = load.announced[summary];
    if (now - announced.at > settings.max_announced_age) announced.ms = 0;
    announced.ms += ms;
    announced.at = now;
    add_backlog(load, settings, ms, now);
}

namespace {

/// Takes the part of a summary's growth that has been announced before.
double take_announced_work(target_load& load, const engine_settings& settings, std::uint64_t summary,
                           double growth, time_point now) {
    const auto found = load.announced.find(summary);
    if (found == load.announced.end()) return 0;
    const bool expired = now - found->second.at > settings.max_announced_age;
    const double known = expired ? 0.0 : std::min(found->second.ms, growth);
    found->second.ms -= known;
    if (expired || found->second.ms <= 0) load.announced.erase(found);
    return known;
}

} // namespace

std::uint64_t apply_peer_load(target_load& load, const engine_settings& settings, std::uint64_t router,
                              const peer_load& row, time_point now) {
    const auto [found, inserted] = load.peers.try_emplace(router, row);
    peer_load& stored = found->second;
    const bool has_grown = !inserted && row.prompt_ms_total > stored.prompt_ms_total;
    const std::uint64_t growth = has_grown ? row.prompt_ms_total - stored.prompt_ms_total : 0;
    if (has_grown) {
        const auto grown_ms = static_cast<double>(growth);
        const double unknown_ms = grown_ms - take_announced_work(load, settings, router, grown_ms, now);
        add_backlog(load, settings, unknown_ms, now);
        load.peer_prompt_ms_growth += static_cast<std::uint64_t>(unknown_ms);
    }
    if (!inserted) {
        load.peer_running -= stored.running;
        load.peer_kv_tokens -= stored.kv_tokens;
    }
    load.peer_running += row.running;
    load.peer_kv_tokens += row.kv_tokens;
    stored = row;
    return growth;
}

//-----------------------------------------------------------------------------
// [SECTION] Prompts
//-----------------------------------------------------------------------------

std::uint32_t uncached_tokens(const target_load& load, const prompt_shape& prompt,
                              const engine_settings& settings, time_point now) {
    std::uint32_t cached = 0;
    for (const prompt_segment& segment : prompt.segments) {
        if (!load.cached_segments.holds(segment.id, now, settings.cached_segment_lifetime)) break;
        cached += segment.tokens;
    }
    return prompt.tokens > cached ? prompt.tokens - cached : 1;
}

prefill_work work_of(std::uint32_t missing, const prompt_shape& prompt) {
    const double tokens = missing;
    const double cached_before = prompt.tokens - std::min(prompt.tokens, missing);
    return {tokens, tokens * (cached_before + tokens / 2) / 1e6};
}

std::uint64_t expected_kv_tokens(const prompt_shape& prompt) {
    const std::uint32_t output =
        prompt.output_hint > 0 ? std::min(prompt.output_hint, prompt.output_limit) : prompt.output_limit;
    return prompt.tokens + output;
}

//-----------------------------------------------------------------------------
// [SECTION] Target selection
//-----------------------------------------------------------------------------

namespace {

constexpr duration slot_retry = 60ms; // a full engine may have freed a slot by then

duration from_milliseconds(double ms) { return duration{static_cast<std::int64_t>(ms * 1000.0)}; }

struct candidate_estimate {
    bool has_capacity{};
    bool idle{};
    bool is_long{};
    bool within_limit{};
    double excess_ms{}; // backlog above the allowed one
    double backlog_ms{};
    prefill_work work;
    double base_ms{}; // of the first token, without prefill
    double predicted_first_token_ms{};
    double prefill_ms{};
    double recompute_ms{}; // part of prefill_ms: shared segments that are probably not cached
    double score{};        // lower is better, ms
};

/// Longest backlog, ms, at which the request may still be sent; negative if none is short enough.
double allowed_backlog_ms(const candidate_estimate& estimate, const placement_option& option,
                          const first_token_limits& limits, const engine_settings& settings) {
    const double first_token_ms = to_milliseconds(limits.limit);
    double limit = first_token_ms - estimate.base_ms;
    if (estimate.is_long) {
        if (!option.for_long_prompts) return -1;
        // A prompt that takes longer than that waits for an idle engine instead of being refused for its
        // size.
        limit = std::max(first_token_ms * settings.long_prompt_limit_factor - estimate.base_ms,
                         estimate.prefill_ms + to_milliseconds(settings.max_idle_backlog));
    } else if (!option.for_long_prompts) {
        limit = std::min(limit, to_milliseconds(settings.max_prefill_run));
    }
    const double headroom = limit - estimate.prefill_ms;
    if (limits.backlog_share <= 0 && !limits.may_use_idle) return -1;
    if (headroom < 0 || (estimate.idle && limits.may_use_idle)) return headroom;
    // The smaller the backlog share of an account, the more recomputing shared segments costs it.
    const double cost_base =
        option.load->drains_at_own_speed ? settings.tight_recompute_cost_base : settings.recompute_cost_base;
    const double recompute_penalty =
        (cost_base + settings.recompute_cost_weight * (1.0 - limits.backlog_share)) * estimate.recompute_ms;
    // A prompt that takes more than half of the limit counts as one that takes half. Otherwise the share
    // would leave long prompts no backlog at all, while short ones keep most of it.
    const double share_of_backlog = std::max(headroom, limit / 2) * limits.backlog_share;
    return std::min(headroom, share_of_backlog - recompute_penalty);
}

candidate_estimate estimate_candidate(const placement_option& option, const prompt_shape& prompt,
                                      const first_token_limits& limits, const engine_speed& speed,
                                      const engine_settings& settings, time_point now) {
    const target_load& load = *option.load;
    const double slowdown = slowdown_factor(load.slowdown, now);
    const std::uint32_t running = total_running(load);
    const double used = static_cast<double>(running) / std::max(1U, load.slots);
    const auto kv_tokens = static_cast<double>(total_kv_tokens(load) + expected_kv_tokens(prompt));
    const double backlog = backlog_wait_ms(load, settings, now);
    candidate_estimate estimate;
    estimate.has_capacity = (running == 0 || used < settings.max_slot_share) &&
                            (load.kv_limit == 0 || running == 0 ||
                             kv_tokens <= settings.max_kv_share * static_cast<double>(load.kv_limit));
    estimate.backlog_ms = backlog;
    estimate.work = work_of(uncached_tokens(load, prompt, settings, now), prompt);
    const double full_speed_prefill_ms = prefill_ms(speed, estimate.work);
    estimate.prefill_ms = slowdown * full_speed_prefill_ms;
    estimate.base_ms = slowdown * speed.base_ms;
    // Long prompts are those that an engine for short ones would not prefill in time, even without a backlog.
    estimate.is_long = estimate.prefill_ms > std::min(to_milliseconds(limits.limit) - estimate.base_ms,
                                                      to_milliseconds(settings.max_prefill_run));
    estimate.predicted_first_token_ms = backlog + estimate.prefill_ms + estimate.base_ms;
    // Shared segments that other routers have sent there need no prefill. The last segment is not shared.
    const std::uint32_t own_tokens = prompt.segments.empty() ? prompt.tokens : prompt.segments.back().tokens;
    const double own_ms = std::min(full_speed_prefill_ms, prefill_ms(speed, work_of(own_tokens, prompt)));
    estimate.recompute_ms = (1.0 - option.affinity) * (full_speed_prefill_ms - own_ms);
    estimate.idle = used < settings.idle_slot_share && backlog < to_milliseconds(settings.max_idle_backlog) &&
                    estimate.recompute_ms < to_milliseconds(settings.max_idle_backlog);
    const double allowed = allowed_backlog_ms(estimate, option, limits, settings);
    estimate.within_limit = backlog <= allowed;
    estimate.excess_ms = std::max(0.0, backlog - std::max(0.0, allowed));
    estimate.score =
        estimate.predicted_first_token_ms + settings.prefill_weight * (own_ms + estimate.recompute_ms) +
        to_milliseconds(settings.full_batch_penalty) * used * used +
        (option.same_data_centre ? 0.0 : to_milliseconds(settings.other_data_centre_penalty)) +
        (option.for_long_prompts && !estimate.is_long ? to_milliseconds(settings.long_prompt_engine_penalty)
                                                      : 0.0);
    return estimate;
}

} // namespace

placement_result place_prompt(std::span<const placement_option> options, const prompt_shape& prompt,
                              const first_token_limits& limits, const engine_speed& speed,
                              const engine_settings& settings, time_point now) {
    placement_result result;
    result.capacity_in = slot_retry;
    double best_score = 0;
    double min_excess = -1;
    std::optional<double> least_backlog;
    for (const placement_option& option : options) {
        const candidate_estimate estimate = estimate_candidate(option, prompt, limits, speed, settings, now);
        if (!estimate.has_capacity) continue;
        least_backlog = std::min(least_backlog.value_or(estimate.backlog_ms), estimate.backlog_ms);
        if (!estimate.within_limit) {
            if (min_excess < 0 || estimate.excess_ms < min_excess) min_excess = estimate.excess_ms;
            continue;
        }
        if (result.chosen && best_score <= estimate.score) continue;
        best_score = estimate.score;
        result.chosen =
            placement_choice{option.target,       from_milliseconds(estimate.predicted_first_token_ms),
                             estimate.prefill_ms, estimate.recompute_ms,
                             estimate.work,       estimate.backlog_ms};
    }
    result.least_backlog_ms = least_backlog.value_or(0);
    if (!result.chosen && min_excess >= 0)
        result.capacity_in = from_milliseconds(std::max(1.0, min_excess / settings.prefill_time_share));
    return result;
}

placement_result place_call(std::span<const placement_option> options, const engine_speed& speed,
                            const engine_settings& settings, time_point now) {
    constexpr double other_data_centre_cost = 0.1; // in units of the slot use
    placement_result result;
    result.capacity_in = from_milliseconds(speed.base_ms / 2);
    double best_score = 0;
    for (const placement_option& option : options) {
        const target_load& load = *option.load;
        const std::uint32_t running = total_running(load);
        if (running >= load.slots + settings.service_queue_limit) continue;
        const double slots = std::max(1U, load.slots);
        const double slowdown = slowdown_factor(load.slowdown, now);
        const double score =
            slowdown * (running + 1) / slots + (option.same_data_centre ? 0.0 : other_data_centre_cost);
        if (result.chosen && best_score <= score) continue;
        best_score = score;
        const double queued = running < load.slots ? 0 : running - load.slots + 1;
        const double service_ms = slowdown * speed.base_ms;
        result.chosen = placement_choice{option.target,
                                         from_milliseconds(service_ms * (1 + queued / slots)),
                                         0,
                                         0,
                                         {},
                                         service_ms * queued / slots};
    }
    return result;
}

} // namespace damaskhill
