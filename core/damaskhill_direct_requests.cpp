// Index of this file:
// [SECTION] Error replies
// [SECTION] Target selection
// [SECTION] Start of an attempt
// [SECTION] Memory
// [SECTION] Arrival
// [SECTION] Waiting requests
// [SECTION] Deadlines

#include "damaskhill_direct_attempts.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <functional>

namespace damaskhill::direct {

namespace {

constexpr std::uint32_t status_unauthorized = 401;
constexpr std::uint32_t status_not_found = 404;
constexpr std::uint32_t status_gateway_timeout = 504;

//-----------------------------------------------------------------------------
// [SECTION] Error replies
//-----------------------------------------------------------------------------

std::string format_percent(double fraction) {
    return std::to_string(std::lround(std::min(fraction, 100.0) * 100));
}

} // namespace

void log_outcome(router_state& state, const request& item, std::string_view outcome, std::uint32_t status,
                 effects& out) {
    std::string fields =
        "\"id\":" + quoted(item.input.attempt) + ",\"account\":" + quoted(item.account) +
        ",\"route\":" + quoted(item.route.name) + ",\"outcome\":" + quoted(outcome) +
        ",\"status\":" + std::to_string(status) + ",\"target\":" + quoted(item.target) +
        ",\"sends\":" + std::to_string(item.sends) +
        ",\"used_share_percent\":" + format_percent(item.used_share) +
        ",\"prompt_tokens\":" + std::to_string(item.input.prompt.tokens) +
        ",\"share_tokens\":" + std::to_string(std::lround(item.tokens)) +
        ",\"uncached_tokens\":" + std::to_string(std::lround(item.predicted_work.tokens)) +
        ",\"backlog_ms\":" + std::to_string(std::lround(item.predicted_backlog_ms)) +
        ",\"predicted_ms\":" + format_ms(item.predicted_first_token) +
        ",\"queued_ms\":" + format_ms(item.sends > 0 ? item.sent_at - item.arrived : duration{}) +
        ",\"first_byte_ms\":" + format_ms(item.first_byte_delay) +
        ",\"longest_gap_ms\":" + format_ms(item.longest_gap) +
        ",\"read_again_ms\":" + std::to_string(std::lround(item.recompute_ms)) +
        ",\"known_crashes\":" + std::to_string(item.known_crashes) +
        ",\"room_in_ms\":" + format_ms(item.capacity_in) + ",\"ms\":" + format_ms(state.now - item.arrived) +
        ",\"belief_age_ms\":" + format_catalog_age(state) +
        ",\"targets_age_ms\":" + format_age(state.targets_freshness, state.now) +
        ",\"targets_from\":" + quoted(state.targets_source) +
        ",\"declarations\":" + std::to_string(state.active_catalog ? state.active_catalog->version : 0);
    out.emplace_back(log_event{"request", std::move(fields), false});
    out.emplace_back(count{"requests_total", std::string{outcome}, 1});
}

/// Time at which the current attempt of an idempotent call is retried if it has no response head.
time_point attempt_due(const router_state& state, const request& item) {
    const auto latency_us = static_cast<double>(item.route.target_latency.count());
    const duration timeout{static_cast<std::int64_t>(latency_us * state.settings.attempt_timeout_factor)};
    return item.sent_at + std::min(timeout, state.settings.max_attempt_timeout);
}

/// Updates the sum of buffered bytes after a change of the request's buffered response.
void count_buffered_bytes(router_state& state, request& item) {
    const std::size_t bytes = item.body.size() + item.input.body.size();
    state.buffered_bytes += bytes;
    state.buffered_bytes -= item.counted_bytes;
    item.counted_bytes = bytes;
}

void remove_request(router_state& state, const request_ptr& item) {
    state.buffered_bytes -= item->counted_bytes;
    item->counted_bytes = 0;
    state.deadlines.erase({item->deadline, item->input.caller});
    state.attempt_deadlines.erase({attempt_due(state, *item), item->input.caller});
    std::erase(state.waiting, item);
    state.requests.erase(item->input.caller);
}

void refuse(router_state& state, const request_ptr& item, std::uint32_t status,
            std::optional<duration> retry_after, std::string_view reason, effects& out) {
    log_outcome(state, *item, reason, status, out);
    out.emplace_back(reply_refused{item->input.caller, item->input.attempt, status, retry_after, reason});
    remove_request(state, item);
}

namespace {

/// Refuses a request before a request object exists: no route, no account or no declarations.
void refuse_unadmitted(router_state& state, const request_arrived& event, std::uint32_t status,
                       std::optional<duration> retry_after, std::string_view reason, effects& out) {
    out.emplace_back(log_event{"refused",
                               "\"id\":" + quoted(event.attempt) + ",\"host\":" + quoted(event.host) +
                                   ",\"status\":" + std::to_string(status) + ",\"reason\":" + quoted(reason) +
                                   ",\"belief_age_ms\":" + format_catalog_age(state) + ",\"declarations\":" +
                                   std::to_string(state.active_catalog ? state.active_catalog->version : 0),
                               false});
    out.emplace_back(count{"requests_total", std::string{reason}, 1});
    out.emplace_back(reply_refused{event.caller, event.attempt, status, retry_after, reason});
}

} // namespace

//-----------------------------------------------------------------------------
// [SECTION] Target selection
//-----------------------------------------------------------------------------

bool is_retryable(const request& item) {
    return item.route.retry == retry_policy::idempotent ||
           (item.route.retry == retry_policy::streaming && item.route.resumable);
}

namespace {

/// Id of the last segment that the prompt shares with other requests; 0 without a prompt. A single segment
/// counts as shared.
std::uint64_t shared_prefix_id(const request& item) {
    const auto& segments = item.input.prompt.segments;
    if (segments.empty()) return 0;
    return segments.size() >= 2 ? segments[segments.size() - 2].id : segments.front().id;
}

struct candidate_list {
    std::vector<placement_option> options;
    std::vector<target_state*> targets; // indexed by placement_option::target
    // Earliest time at which a target that a limit leaves out may get a request.
    std::optional<time_point> next_send;
};

// All routers prefer the same targets in the same order for a shared prefix. A request that spills over to
// the next target then finds the segments that an earlier spill of another router has cached there.
constexpr std::size_t affinity_targets = 3;
constexpr std::array<double, affinity_targets> affinity_by_rank{0.9, 0.6, 0.3};

std::uint64_t rendezvous_weight(std::uint64_t target, std::uint64_t prefix_id) {
    std::uint64_t hash = (target ^ (prefix_id * 0x9E3779B97F4A7C15ULL)) * 0xBF58476D1CE4E5B9ULL;
    hash = (hash ^ (hash >> 31U)) * 0x94D049BB133111EBULL;
    return hash ^ (hash >> 29U);
}

/// Inserts the item into a list in descending order of weight; the lowest entry drops out.
void insert_ranked(std::span<std::pair<std::uint64_t, std::size_t>> preferred,
                   std::pair<std::uint64_t, std::size_t> item) {
    for (auto& entry : preferred) {
        if (item.first > entry.first) std::swap(item, entry);
    }
}

/// Marks the engines that take long prompts. All routers select the same ones.
void mark_long_prompt_engines(const router_state& state, candidate_list& list) {
    const auto count = static_cast<std::size_t>(
        std::ceil(state.settings.engine.long_prompt_engine_share * static_cast<double>(list.options.size())));
    constexpr std::uint64_t long_prompt_seed = 0x6c6f6e67;
    std::vector<std::pair<std::uint64_t, std::size_t>> ranking;
    ranking.reserve(list.options.size());
    for (std::size_t i = 0; i < list.options.size(); ++i)
        ranking.emplace_back(rendezvous_weight(list.targets[i]->hash, long_prompt_seed), i);
    std::ranges::partial_sort(ranking, ranking.begin() + static_cast<std::ptrdiff_t>(count), std::greater{});
    for (std::size_t i = 0; i < count; ++i)
        list.options[ranking[i].second].for_long_prompts = true;
}

bool is_generation(const router_state& state, const request& item) {
    return is_engine_service(state, item.service) && item.input.prompt.tokens > 0;
}

/// Targets to which the request may be sent now, whatever their load.
candidate_list find_candidates(router_state& state, const request& item, const version_choice& versions) {
    candidate_list list;
    const auto found = state.targets_by_service.find(item.service);
    if (found == state.targets_by_service.end()) return list;
    const auto service = state.active_catalog->services.find(item.service);
    const double cold_per_s =
        service == state.active_catalog->services.end() ? 0.0 : service->second.cold_per_s;
    const std::uint64_t prefix_id = shared_prefix_id(item);
    std::array<std::pair<std::uint64_t, std::size_t>, affinity_targets> preferred{};
    list.options.reserve(found->second.size());
    list.targets.reserve(found->second.size());
    for (target_state* const candidate : found->second) {
        target_state& target = *candidate;
        if (!is_available(state, target) || !is_version_allowed(state, target, versions)) continue;
        if (std::ranges::find(item.tried_targets, target.entry.id) != item.tried_targets.end()) continue;
        const auto earliest = earliest_send(state, target, cold_per_s);
        if (!earliest || *earliest > state.now) {
            if (earliest) list.next_send = std::min(list.next_send.value_or(*earliest), *earliest);
            continue;
        }
        if (prefix_id != 0)
            insert_ranked(preferred, {rendezvous_weight(target.hash, prefix_id), list.options.size()});
        placement_option option;
        option.target = static_cast<std::uint32_t>(list.targets.size());
        option.load = &target.load;
        option.same_data_centre = target.entry.data_centre == state.settings.data_centre;
        list.options.push_back(option);
        list.targets.push_back(&target);
    }
    if (is_generation(state, item)) mark_long_prompt_engines(state, list);
    for (std::size_t i = 0; i < preferred.size(); ++i) {
        if (preferred.at(i).first > 0) list.options[preferred.at(i).second].affinity = affinity_by_rank.at(i);
    }
    // Targets that fail most requests are excluded while healthy ones remain.
    constexpr double max_failure_rate = 0.5;
    const auto healthy = [&](const placement_option& option) {
        return list.targets[option.target]->smoothed_failure_rate < max_failure_rate;
    };
    if (std::ranges::any_of(list.options, healthy)) {
        // One placement in 20 includes failing targets, so that their recovery is detected.
        constexpr std::uint64_t probe_interval = 20;
        if (state.random.next() % probe_interval != 0)
            std::erase_if(list.options, [&](const placement_option& option) { return !healthy(option); });
    }
    return list;
}

/// Whether the account has used up its share and others need theirs.
bool is_throttled(const router_state& state, const request& item) {
    return !item.account.empty() && is_generation(state, item) &&
           state.shares.is_throttled(item.account_hash, state.now);
}

first_token_limits first_token_limits_of(const router_state& state, const request& item) {
    const auto latency_us = static_cast<double>(item.route.target_latency.count());
    const duration limit{static_cast<std::int64_t>(latency_us * state.settings.first_token_share)};
    const duration time_waited = state.now - item.arrived;
    const bool throttled = is_throttled(state, item);
    const double backlog_share =
        item.account.empty() ? 1.0 : state.shares.backlog_share(item.account_hash, state.now);
    return {limit - time_waited, throttled ? 0.0 : backlog_share, !throttled};
}

struct placement_outcome {
    target_state* target{}; // null if no target has capacity within the limits
    placement_choice choice;
    duration capacity_in{}; // estimated time until a target may have capacity
    bool has_candidates{};  // at least one target may get the request, now or later
    bool exact_retry{};     // capacity_in is known, not estimated
    std::string_view refusal{"no_target"};
};

constexpr duration no_target_retry = 400ms; // the first ejection of a target ends after this time

/// Outcome for a request that must not be sent now because it, or a part of its prompt, may crash targets.
placement_outcome blocked_outcome(const router_state& state, const request& item,
                                  const prompt_judgement& judged) {
    constexpr duration trial_time = 200ms; // until another request with the part has an answer, mostly
    placement_outcome outcome;
    outcome.exact_retry = judged.verdict == prompt_verdict::quarantined;
    outcome.has_candidates = !outcome.exact_retry;
    outcome.capacity_in = outcome.exact_retry ? judged.until - state.now : trial_time;
    const bool is_whole_request = judged.part == item.request_fingerprint;
    if (outcome.exact_retry)
        outcome.refusal = is_whole_request ? "request_quarantined" : "prompt_quarantined";
    else
        outcome.refusal = is_whole_request ? "request_suspected" : "prompt_suspected";
    return outcome;
}

placement_outcome place_on(router_state& state, request& item, const version_choice& versions) {
    const candidate_list list = find_candidates(state, item, versions);
    placement_outcome outcome;
    outcome.has_candidates = !list.options.empty();
    if (outcome.has_candidates) outcome.refusal = is_throttled(state, item) ? "above_share" : "no_room";
    outcome.capacity_in = no_target_retry;
    if (!outcome.has_candidates && list.next_send) {
        outcome.has_candidates = true;
        outcome.refusal = "target_limit";
        outcome.capacity_in = *list.next_send - state.now;
    }
    item.used_share = item.account.empty() ? 0.0 : state.shares.used_share(item.account_hash, state.now);
    if (list.options.empty()) return outcome;
    const placement_result result =
        is_generation(state, item)
            ? place_prompt(list.options, item.input.prompt, first_token_limits_of(state, item),
                           speed_of(state, item.service).model.speed(), state.settings.engine, state.now)
            : place_call(list.options, speed_of(state, item.service).model.speed(), state.settings.engine,
                         state.now);
    outcome.capacity_in = result.capacity_in;
    item.capacity_in = result.chosen ? duration{} : result.capacity_in;
    if (item.sends == 0) item.predicted_backlog_ms = result.least_backlog_ms;
    if (!result.chosen) return outcome;
    outcome.choice = *result.chosen;
    outcome.target = list.targets[result.chosen->target];
    return outcome;
}

placement_outcome place(router_state& state, request& item) {
    const prompt_judgement judged = judge_request(state, item);
    if (judged.verdict != prompt_verdict::clear) return blocked_outcome(state, item, judged);
    const placement_outcome outcome = place_on(state, item, choose_version(state, item));
    if (outcome.target != nullptr || !give_back_exposure(state, item)) return outcome;
    return place_on(state, item, choose_version(state, item));
}

//-----------------------------------------------------------------------------
// [SECTION] Start of an attempt
//-----------------------------------------------------------------------------

void start_attempt(router_state& state, const request_ptr& item, target_state& target,
                   const placement_choice& choice, effects& out) {
    item->send_id = state.next_send++;
    item->target = target.entry.id;
    item->target_boot = target.entry.boot;
    item->sent_at = state.now;
    item->predicted_first_token = choice.predicted_first_token;
    item->recompute_ms = choice.recompute_ms;
    item->predicted_work = choice.work;
    item->predicted_backlog_ms = choice.backlog_ms;
    // A resumed stream may find its prompt cached, and a cold target is slower than usual.
    item->measures_speed = item->last_event_id.empty() &&
                           is_generation(state, *item) == is_engine_service(state, item->service) &&
                           !is_cold(state, target) &&
                           choice.backlog_ms <= state.settings.engine_model.max_backlog_ms;
    item->body.clear();
    count_buffered_bytes(state, *item);
    item->tried_targets.push_back(target.entry.id);
    state.caller_by_send[item->send_id] = item->input.caller;
    target.last_send = state.now;
    begin_version_attempt(state, *item, target, choice);
    target_load& load = target.load;
    ++load.running;
    note_placed_work(state, *item, choice);
    if (is_generation(state, *item)) {
        item->charged_kv_tokens = expected_kv_tokens(item->input.prompt);
        load.kv_tokens += item->charged_kv_tokens;
        load.prompt_ms_total += static_cast<std::uint64_t>(std::ceil(choice.prefill_ms));
        add_backlog(load, state.settings.engine, choice.prefill_ms, state.now);
        for (const prompt_segment& segment : item->input.prompt.segments)
            load.cached_segments.use(segment.id, state.now, state.settings.engine.max_cached_segments);
    }
    // An attempt that found no connection was taken back from `sends`, but its request stays charged.
    if (!item->charged) state.shares.on_dispatched(item->account_hash, item->tokens, state.now);
    if (is_generation(state, *item) && has_tight_streams(state, item->service)) {
        add_engine_work(state.work_by_service[item->service], item->tokens,
                        choice.prefill_ms / slowdown_factor(load.slowdown, state.now), state.settings.shares,
                        state.now);
    }
    item->charged = true;
    ++item->sends;
    if (item->route.retry == retry_policy::idempotent)
        state.attempt_deadlines.emplace(attempt_due(state, *item), item->input.caller);
    send_request effect;
    effect.send_id = item->send_id;
    effect.address = target.entry.address;
    effect.target = target.entry.id;
    effect.account = item->account;
    effect.content = item;
    effect.resume_after = item->last_event_id;
    effect.remaining = item->deadline - state.now;
    effect.recent_connection_only = !is_retryable(*item);
    out.emplace_back(std::move(effect));
    if (is_generation(state, *item)) announce_attempt(state, *item, target, choice.prefill_ms, out);
    if (item->caller_is_congested) out.emplace_back(pause_reading{item->send_id, true});
}

/// Whether the request may be sent to another target. Takes a retry from the shared limit if it was sent
/// before.
bool may_send_again(router_state& state, const request& item) {
    if (item.sends == 0) return true;
    if (item.sends >= item.route.max_attempts) return false;
    if (item.may_have_run && !is_retryable(item)) return false;
    return try_take_retry(state.retry_windows[item.service], state.settings.retries,
                          routers_for_limits(state), state.now);
}

} // namespace

/// Cancels the current attempt, if any, and sends the request to another target. Returns false and changes
/// nothing if no target has capacity or the limits allow no further attempt.
bool retry_elsewhere(router_state& state, const request_ptr& item, std::string_view reason, effects& out) {
    if (item->deadline - state.now <= state.settings.deadline_margin) return false;
    const placement_outcome found = place(state, *item);
    if (found.target == nullptr || !may_send_again(state, *item)) return false;
    out.emplace_back(log_event{"repeat",
                               "\"id\":" + quoted(item->input.attempt) + ",\"reason\":" + quoted(reason) +
                                   ",\"from\":" + quoted(item->target) +
                                   ",\"to\":" + quoted(found.target->entry.id) +
                                   ",\"after_event\":" + quoted(item->last_event_id),
                               false});
    cancel_attempt(state, *item, out);
    start_attempt(state, item, *found.target, found.choice, out);
    return true;
}

/// Retries the request at another target, or else fails it with the given status.
void retry_or_fail(router_state& state, const request_ptr& item, std::uint32_t status,
                   std::string_view reason, effects& out) {
    if (!retry_elsewhere(state, item, reason, out)) fail(state, item, status, reason, out);
}

//-----------------------------------------------------------------------------
// [SECTION] Memory
//-----------------------------------------------------------------------------

/// Fails the requests with the most buffered bytes while the sum exceeds the limit of the process. Their
/// targets are not at fault, and another attempt would need the same memory.
void limit_total_bytes(router_state& state, effects& out) {
    while (state.buffered_bytes > state.settings.max_buffered_bytes) {
        const auto largest = std::ranges::max_element(
            state.requests, {}, [](const auto& entry) { return entry.second->counted_bytes; });
        const request_ptr item = largest->second;
        out.emplace_back(count{"requests_ended_for_memory_total", item->service, 1});
        out.emplace_back(log_event{"memory_limit",
                                   "\"id\":" + quoted(item->input.attempt) +
                                       ",\"bytes\":" + std::to_string(item->counted_bytes) +
                                       ",\"buffered\":" + std::to_string(state.buffered_bytes),
                                   false});
        if (item->send_id != 0) item->may_have_run = true;
        cancel_attempt(state, *item, out);
        fail(state, item, status_unavailable, "memory_limit", out);
    }
}

//-----------------------------------------------------------------------------
// [SECTION] Arrival
//-----------------------------------------------------------------------------

namespace {

// Retry-After of a router that has just started, has lost the store or is overloaded.
constexpr duration unready_retry_after = 300ms;

struct admission {
    const route_declaration* route{};
    std::string account;
};

duration time_limit_of(const route_declaration& route, const request_arrived& event) {
    return std::min(event.remaining.value_or(route.timeout), route.timeout);
}

/// Whether a stop would abort a request that its caller must not repeat.
bool outlasts_stop(const router_state& state, const route_declaration& route, const request_arrived& event) {
    return state.stopping && route.retry == retry_policy::non_idempotent &&
           state.now + time_limit_of(route, event) > state.stop_requested_at + state.settings.stop_timeout;
}

/// Finds the route and the account of a request. Without them, or if the router accepts no requests, refuses
/// it and returns nothing.
std::optional<admission> admit(router_state& state, const request_arrived& event, effects& out) {
    const auto refused = [&](std::uint32_t status, std::optional<duration> retry, std::string_view reason) {
        refuse_unadmitted(state, event, status, retry, reason, out);
        return std::nullopt;
    };
    if (state.stopping && state.now - state.stop_requested_at >= state.settings.stop_accept_time)
        return refused(status_unavailable, state.settings.min_retry_after, "stopping");
    if (must_shed_load(state)) return refused(status_unavailable, unready_retry_after, "overloaded");
    if (!state.active_catalog || state.active_catalog->version == 0)
        return refused(status_unavailable, unready_retry_after, "no_declarations");
    const bool can_reject = may_reject_unknown(state.freshness, state.settings.freshness, state.now);
    const route_declaration* route = find_route(*state.active_catalog, event.host, event.path);
    if (route == nullptr) {
        if (can_reject) return refused(status_not_found, std::nullopt, "no_route");
        return refused(status_unavailable, unready_retry_after, "route_uncertain");
    }
    if (outlasts_stop(state, *route, event))
        return refused(status_unavailable, state.settings.min_retry_after, "stopping");
    const client_accounts& accounts = state.active_catalog->accounts;
    if (route->is_public || accounts.keys == key_requirement::none) return admission{route, {}};
    if (accounts.keys == key_requirement::unknown)
        return refused(status_unavailable, unready_retry_after, "accounts_unreadable");
    const auto account = accounts.account_by_key.find(event.api_key);
    if (account == accounts.account_by_key.end()) {
        if (can_reject) return refused(status_unauthorized, std::nullopt, "unknown_key");
        return refused(status_unavailable, unready_retry_after, "key_uncertain");
    }
    if (!may_accept_key(state.freshness, state.settings.freshness, state.now))
        return refused(status_unavailable, unready_retry_after, "belief_too_old");
    return admission{route, account->second};
}

/// Tokens that the request is expected to use of its account's fair share.
double share_cost(const request_arrived& event) {
    constexpr double output_weight = 2; // the operator's fairness rule counts a generated token twice
    const prompt_shape& prompt = event.prompt;
    const std::uint32_t output = prompt.output_hint > 0 ? prompt.output_hint : prompt.output_limit;
    return prompt.tokens + output_weight * std::min(output, prompt.output_limit);
}

/// Parts of the prompt that other requests may share: all but the last one. Each has two identities, since it
/// may crash engines with every model or with this one only: the latter is not acquitted by other models.
prompt_parts shared_parts(const prompt_shape& prompt) {
    prompt_parts parts;
    for (std::size_t i = 0; i + 1 < prompt.segments.size(); ++i) {
        parts.push_back(prompt.segments[i].content);
        parts.push_back(prompt.segments[i].id);
    }
    std::ranges::sort(parts);
    parts.erase(std::unique(parts.begin(), parts.end()), parts.end());
    return parts;
}

request_ptr make_request(router_state& state, const request_arrived& event, const admission& admitted) {
    request_ptr item{new request};
    item->input = event;
    item->route = *admitted.route;
    item->service = choose_service(*admitted.route, stable_hash(event.attempt));
    item->account = admitted.account;
    item->account_hash = stable_hash(admitted.account);
    item->request_fingerprint = stable_hash(event.body, stable_hash(event.path, item->account_hash));
    item->parts = shared_parts(event.prompt);
    item->tokens = share_cost(event);
    item->arrived = state.now;
    item->last_event_id = event.resume_after;
    item->deadline = state.now + time_limit_of(item->route, event);
    item->first_byte_due = state.now + item->route.target_latency;
    const auto latency_us = static_cast<double>(item->route.target_latency.count());
    const double wait_share = has_tight_streams(state, item->service) ? state.settings.tight_wait_share
                                                                      : state.settings.max_wait_share;
    item->wait_until = state.now + duration{static_cast<std::int64_t>(latency_us * wait_share)};
    return item;
}

duration retry_after_for(router_state& state, const request& item, duration capacity_in) {
    // Jitter, so that requests refused together are not retried together.
    constexpr double jitter = 0.5;
    const bool is_tight = is_generation(state, item) && has_tight_streams(state, item.service);
    const duration early{static_cast<std::int64_t>(static_cast<double>(item.route.target_latency.count()) *
                                                   state.settings.tight_retry_share)};
    const auto base = static_cast<double>(
        (is_tight ? early : std::max(capacity_in, state.settings.min_retry_after)).count());
    const duration retry_after{static_cast<std::int64_t>(base * (1.0 + jitter * state.random.next_unit()))};
    const duration latest =
        std::max(is_tight ? early : state.settings.min_retry_after, (item.deadline - state.now) / 3);
    return std::min(retry_after, latest);
}

void refuse_for_capacity(router_state& state, const request_ptr& item, const placement_outcome& found,
                         effects& out) {
    note_refused_work(state, *item);
    state.refused_since_share_log = true;
    const duration retry_after =
        found.exact_retry ? found.capacity_in : retry_after_for(state, *item, found.capacity_in);
    refuse(state, item, status_unavailable, retry_after, found.refusal, out);
}

/// Order of waiting requests, lowest first: accounts within their share, then by due time of the first byte.
/// Long prompts count as due later.
struct waiting_priority {
    bool beyond_share{};
    double due_ms{};
    friend auto operator<=>(const waiting_priority&, const waiting_priority&) = default;
};

waiting_priority priority_of(const router_state& state, const request& item) {
    constexpr double prefill_weight = 2.0; // ms of due time per ms of prefill
    const auto speed = state.speeds.find(item.service);
    const double full_prefill_ms =
        speed == state.speeds.end()
            ? 0.0
            : prefill_ms(speed->second.model.speed(), work_of(item.input.prompt.tokens, item.input.prompt));
    return {!item.account.empty() && !state.shares.is_within_share(item.account_hash, state.now),
            to_milliseconds(item.first_byte_due.time_since_epoch()) + prefill_weight * full_prefill_ms};
}

constexpr std::size_t max_placements_per_pass = 24;
// Requests beyond this limit would hardly be placed before their waiting time is over.
constexpr std::size_t max_waiting_requests = 2 * max_placements_per_pass;

/// Queues a request. If the queue is full, the request with the lowest priority is refused immediately.
void enqueue_waiting(router_state& state, const request_ptr& item, const placement_outcome& found,
                     effects& out) {
    state.waiting.push_back(item);
    if (state.waiting.size() <= max_waiting_requests) return;
    const auto last = std::ranges::max_element(
        state.waiting, {}, [&](const request_ptr& waiting) { return priority_of(state, *waiting); });
    refuse_for_capacity(state, request_ptr{*last}, found, out);
}

} // namespace

void on_request(router_state& state, const request_arrived& event, effects& out) {
    const auto admitted = admit(state, event, out);
    if (!admitted) return;
    const request_ptr item = make_request(state, event, *admitted);
    state.requests[event.caller] = item;
    state.deadlines.emplace(item->deadline, event.caller);
    count_buffered_bytes(state, *item);
    limit_total_bytes(state, out);
    if (!state.requests.contains(event.caller)) return;
    record_first_attempt(state.retry_windows[item->service], state.settings.retries, state.now);
    state.shares.on_requested(item->account_hash, item->tokens, state.now);
    note_offered_work(state, *item);
    item->known_crashes = known_crashes(state, *item);
    const placement_outcome found = place(state, *item);
    if (found.target != nullptr) {
        start_attempt(state, item, *found.target, found.choice, out);
    } else if (!found.has_candidates || state.now + found.capacity_in > item->wait_until) {
        refuse_for_capacity(state, item, found, out);
    } else {
        enqueue_waiting(state, item, found, out);
    }
}

void on_caller_closed(router_state& state, caller_id caller, effects& out) {
    const auto found = state.requests.find(caller);
    if (found == state.requests.end()) return;
    const request_ptr item = found->second;
    log_outcome(state, *item, "caller_left", 0, out);
    note_silence(state, *item, out);
    cancel_attempt(state, *item, out);
    remove_request(state, item);
}

void on_caller_congested(router_state& state, const caller_congested& event, effects& out) {
    const auto found = state.requests.find(event.caller);
    if (found == state.requests.end()) return;
    request& item = *found->second;
    if (item.caller_is_congested == event.congested) return;
    item.caller_is_congested = event.congested;
    (event.congested ? item.congestion_began_at : item.congestion_ended_at) = state.now;
    out.emplace_back(
        count{event.congested ? "replies_congested_total" : "replies_relieved_total", item.service, 1});
    if (item.send_id != 0) out.emplace_back(pause_reading{item.send_id, event.congested});
}

//-----------------------------------------------------------------------------
// [SECTION] Waiting requests
//-----------------------------------------------------------------------------

void dispatch_waiting(router_state& state, effects& out) {
    if (state.waiting.empty() || !state.active_catalog) return;
    std::vector<std::pair<waiting_priority, request_ptr>> ranking;
    for (const request_ptr& item : state.waiting)
        ranking.emplace_back(priority_of(state, *item), item);
    std::ranges::sort(ranking, {}, [](const auto& entry) { return entry.first; });
    std::size_t placements = 0;
    for (const auto& [priority, item] : ranking) {
        // Default for requests that get no placement in this pass. If their waiting time is over, they are
        // refused with "no_room" and not "no_target", because a target may exist.
        placement_outcome found;
        found.capacity_in = state.settings.min_retry_after;
        found.has_candidates = true;
        found.refusal = "no_room";
        if (placements++ < max_placements_per_pass) found = place(state, *item);
        if (found.target != nullptr) {
            std::erase(state.waiting, item);
            start_attempt(state, item, *found.target, found.choice, out);
        } else if (state.now >= item->wait_until) {
            refuse_for_capacity(state, item, found, out);
        }
    }
}

//-----------------------------------------------------------------------------
// [SECTION] Deadlines
//-----------------------------------------------------------------------------

void expire_requests(router_state& state, effects& out) {
    while (!state.deadlines.empty() && state.deadlines.begin()->first <= state.now) {
        const auto found = state.requests.find(state.deadlines.begin()->second);
        state.deadlines.erase(state.deadlines.begin());
        if (found == state.requests.end()) continue;
        const request_ptr item = found->second;
        const bool was_sent = item->sends > 0;
        if (was_sent) item->may_have_run = true;
        note_silence(state, *item, out);
        cancel_attempt(state, *item, out);
        fail(state, item, was_sent ? status_gateway_timeout : status_unavailable, "timeout", out);
    }
}

void expire_attempts(router_state& state, effects& out) {
    while (!state.attempt_deadlines.empty() && state.attempt_deadlines.begin()->first <= state.now) {
        const auto found = state.requests.find(state.attempt_deadlines.begin()->second);
        state.attempt_deadlines.erase(state.attempt_deadlines.begin());
        if (found == state.requests.end() || found->second->head_received) continue;
        const request_ptr item = found->second;
        const std::string silent_target = item->target;
        if (!retry_elsewhere(state, item, "target_silent", out)) continue;
        if (target_state* target = find_target(state, silent_target)) record_target_result(*target, true);
        item->may_have_run = true;
    }
}

void abort_all(router_state& state, effects& out) {
    std::vector<request_ptr> open;
    for (const auto& [caller, item] : state.requests)
        open.push_back(item);
    for (const request_ptr& item : open) {
        if (item->sends > 0) item->may_have_run = true;
        cancel_attempt(state, *item, out);
        fail(state, item, status_unavailable, "stopping", out);
    }
}

} // namespace damaskhill::direct
