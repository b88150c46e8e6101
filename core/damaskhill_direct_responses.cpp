// Index of this file:
// [SECTION] End of an attempt
// [SECTION] Responses
// [SECTION] Failed attempts

#include "damaskhill_answer_end.hpp"
#include "damaskhill_direct_attempts.hpp"
#include "damaskhill_event_stream.hpp"

#include <algorithm>
#include <array>
#include <charconv>

namespace damaskhill::direct {

//-----------------------------------------------------------------------------
// [SECTION] End of an attempt
//-----------------------------------------------------------------------------

/// Removes the current attempt from the state and from the load of its target.
void clear_attempt(router_state& state, request& item) {
    if (item.send_id == 0) return;
    state.caller_by_send.erase(item.send_id);
    state.attempt_deadlines.erase({attempt_due(state, item), item.input.caller});
    if (target_state* target = find_target(state, item.target)) {
        target->load.running -= std::min(target->load.running, 1U);
        target->load.kv_tokens -= std::min(target->load.kv_tokens, item.charged_kv_tokens);
    }
    item.send_id = 0;
    item.charged_kv_tokens = 0;
    item.body_bytes = 0;
    item.head_received = false;
    item.close_delimited = false;
    item.passed_tail.clear();
    item.passed_event_bytes = 0;
    item.last_data = {};
    item.in_doubt_since = {};
    item.end_is_late = false;
    item.first_byte_received = false;
    item.begun_is_noted = false;
}

/// Clears the current attempt and aborts it at the target.
void cancel_attempt(router_state& state, request& item, effects& out) {
    if (item.send_id == 0) return;
    out.emplace_back(cancel_send{item.send_id});
    clear_attempt(state, item);
}

/// Ends a request with an error reply, or aborts the reply if it has already started.
void fail(router_state& state, const request_ptr& item, std::uint32_t status, std::string_view reason,
          effects& out) {
    if (item->reply_started) {
        log_outcome(state, *item, reason, 0, out);
        out.emplace_back(reply_abort{item->input.caller});
        remove_request(state, item);
        return;
    }
    // "Not executed" may be reported only if no target can have started the request.
    const bool not_run = !item->may_have_run;
    const auto retry_after = not_run && status == status_unavailable
                                 ? std::optional{state.settings.min_retry_after}
                                 : std::nullopt;
    const std::uint32_t reported_status =
        status == status_unavailable && !not_run ? status_bad_gateway : status;
    refuse(state, item, reported_status, retry_after, reason, out);
}

//-----------------------------------------------------------------------------
// [SECTION] Responses
//-----------------------------------------------------------------------------

namespace {

request_ptr find_by_send(router_state& state, std::uint64_t send) {
    const auto caller = state.caller_by_send.find(send);
    if (caller == state.caller_by_send.end()) return {};
    const auto found = state.requests.find(caller->second);
    return found == state.requests.end() ? request_ptr{} : found->second;
}

/// Handles a response by which the target states that it did not execute the request.
void on_not_executed(router_state& state, const request_ptr& item, const response_head& event, effects& out) {
    target_state* target = find_target(state, item->target);
    if (target != nullptr && event.wrong_target) eject_target(state, *target, out);
    out.emplace_back(count{"target_refusals_total", item->service, 1});
    cancel_attempt(state, *item, out);
    retry_or_fail(state, item, status_unavailable, "target_refused", out);
}

/// Whether callers take a status as the promise that the request has not run and never will (PROTOCOL.md). A
/// target's own 503 promises nothing unless the target states that it did not execute the request.
constexpr bool promises_not_run(std::uint32_t status) {
    return status == 408 || status == 421 || status == 429 || status == 503;
}

constexpr std::string_view event_stream_type = "text/event-stream";

std::optional<std::uint64_t> parse_event_id(std::string_view text) {
    std::uint64_t id{};
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), id);
    return error == std::errc{} && end == text.data() + text.size() ? std::optional{id} : std::nullopt;
}

/// Whether the events go on after the last one that the caller has. Ids of events increase; those that are no
/// numbers cannot be compared.
bool continues_after(std::string_view events, std::string_view last_id) {
    std::string event;
    std::string first_id;
    extract_complete_events(event, events.substr(0, events.find(event_end) + event_end.size()), first_id);
    const auto first = parse_event_id(first_id);
    const auto last = parse_event_id(last_id);
    return !first || !last || *first > *last;
}

/// Whether a response may go on with a stream of which the caller has the head of `first`.
bool continues_reply(const response_head& first, const response_head& resumed) {
    return resumed.status == first.status && resumed.content_type == first.content_type;
}

void start_reply(request& item, effects& out) {
    if (item.reply_started) return;
    item.reply_started = true;
    out.emplace_back(reply_begin{item.input.caller, item.head.status, item.head.headers});
}

bool is_stream(const request& item) {
    return item.route.retry == retry_policy::streaming && item.head.status < 300;
}

void record_first_byte(router_state& state, request& item, effects& out) {
    item.first_byte_received = true;
    item.first_byte_delay = state.now - item.sent_at;
    out.emplace_back(observe{"first_byte_seconds", item.service, to_seconds(state.now - item.arrived)});
    if (item.predicted_first_token > 0s) {
        out.emplace_back(observe{"first_byte_prediction_ratio", item.service,
                                 to_seconds(item.first_byte_delay) / to_seconds(item.predicted_first_token)});
    }
    if (is_failure(item.head.status)) return;
    if (is_stream(item)) record_version_answer(state, item, false);
    state.shares.on_begun(item.account_hash, item.tokens, state.now);
    count_begun_request(state, item);
    record_speed_sample(state, item, out);
}

/// Position in the event stream after the data received so far.
body_position position_of(const request& item) {
    if (!is_stream(item)) return body_position::not_a_stream;
    if (item.body_bytes == 0) return body_position::before_first_event;
    const bool inside_event = item.route.resumable ? !item.body.empty() : item.passed_tail != event_end;
    return inside_event ? body_position::inside_event : body_position::between_events;
}

} // namespace

void on_response_head(router_state& state, const response_head& event, effects& out) {
    const request_ptr item = find_by_send(state, event.send_id);
    if (!item) return;
    // Another target at the same address says nothing of this one.
    if (target_state* target = find_target(state, item->target); target != nullptr && !event.wrong_target)
        note_response_notices(state, *target, event.notices, out);
    if (event.not_executed || event.wrong_target) {
        on_not_executed(state, item, event, out);
        return;
    }
    item->may_have_run = true;
    item->head_received = true;
    item->close_delimited = event.close_delimited;
    const bool failed = is_failure(event.status);
    if (target_state* target = find_target(state, item->target)) {
        note_sign_of_life(state, *target);
        record_target_result(*target, failed);
        if (failed) record_version_answer(state, *item, true);
    }
    if (!event.has_seal && event.status < 300) {
        out.emplace_back(count{"answers_without_seal_total", item->service, 1});
        cancel_attempt(state, *item, out);
        retry_or_fail(state, item, status_bad_gateway, "answer_not_sealed", out);
        return;
    }
    if (promises_not_run(event.status) && !is_retryable(*item) && !item->reply_started) {
        cancel_attempt(state, *item, out);
        fail(state, item, status_bad_gateway, "target_failed", out);
        return;
    }
    const bool may_retry =
        failed && !item->reply_started && is_retryable(*item) && item->sends < item->route.max_attempts;
    if (may_retry && retry_elsewhere(state, item, "target_failed", out)) return;
    if (item->reply_started && !continues_reply(item->head, event)) {
        cancel_attempt(state, *item, out);
        fail(state, item, status_bad_gateway, "resume_failed", out);
        return;
    }
    if (!item->reply_started) item->head = event;
}

namespace {

void on_connection_broken(router_state& state, const request_ptr& item, send_result result, effects& out);

/// Ends the current attempt of a request whose target sends more than can be buffered.
void fail_oversized(router_state& state, const request_ptr& item, effects& out) {
    out.emplace_back(count{"answers_oversized_total", item->service, 1});
    out.emplace_back(
        log_event{"answer_oversized",
                  "\"id\":" + quoted(item->input.attempt) + ",\"target\":" + quoted(item->target) +
                      ",\"bytes\":" + std::to_string(std::max(item->body.size(), item->passed_event_bytes)) +
                      ",\"buffered\":" + std::to_string(state.buffered_bytes),
                  false});
    if (target_state* target = find_target(state, item->target)) record_target_result(*target, true);
    out.emplace_back(cancel_send{item->send_id});
    on_connection_broken(state, item, send_result::garbled, out);
}

/// Counts the bytes that the request has buffered. Fails it if its response exceeds its limit.
void limit_buffered_bytes(router_state& state, const request_ptr& item, std::size_t limit, effects& out) {
    count_buffered_bytes(state, *item);
    if (item->body.size() > limit) fail_oversized(state, item, out);
    limit_total_bytes(state, out);
}

} // namespace

void on_response_data(router_state& state, const response_data& event, effects& out) {
    const request_ptr item = find_by_send(state, event.send_id);
    if (!item || !item->head_received || event.data.empty()) return;
    if (!item->first_byte_received) record_first_byte(state, *item, out);
    item->body_bytes += event.data.size();
    if (item->last_data != time_point{})
        item->longest_gap = std::max(item->longest_gap, state.now - item->last_data);
    item->last_data = state.now;
    if (!is_stream(*item)) {
        item->body.append(event.data);
        limit_buffered_bytes(state, item, state.settings.max_response_bytes, out);
        return;
    }
    if (!item->route.resumable) {
        item->passed_event_bytes =
            incomplete_event_size(item->passed_event_bytes, item->passed_tail, event.data);
        if (item->head.content_type.starts_with(event_stream_type) &&
            item->passed_event_bytes > state.settings.max_event_bytes) {
            fail_oversized(state, item, out);
            return;
        }
        start_reply(*item, out);
        item->passed_tail.append(
            event.data.substr(event.data.size() - std::min(event.data.size(), event_end.size())));
        item->passed_tail.erase(0, item->passed_tail.size() -
                                       std::min(item->passed_tail.size(), event_end.size()));
        out.emplace_back(reply_data{item->input.caller, event.data});
        return;
    }
    // Only complete events are forwarded, so that another target can resume after the last one.
    const bool resumed = item->reply_started && item->sends > 1;
    const std::string last_id = resumed ? item->last_event_id : std::string{};
    const std::string complete_events = extract_complete_events(item->body, event.data, item->last_event_id);
    if (resumed && !complete_events.empty() && !continues_after(complete_events, last_id)) {
        item->last_event_id = last_id;
        out.emplace_back(cancel_send{item->send_id});
        on_connection_broken(state, item, send_result::garbled, out);
        return;
    }
    if (complete_events.empty()) {
        limit_buffered_bytes(state, item, state.settings.max_event_bytes, out);
        return;
    }
    count_buffered_bytes(state, *item);
    start_reply(*item, out);
    item->pending_reply = complete_events;
    out.emplace_back(reply_data{item->input.caller, item->pending_reply});
}

namespace {

void on_response_complete(router_state& state, const request_ptr& item, effects& out) {
    note_answer_complete(state, *item, out);
    record_version_answer(state, *item, is_failure(item->head.status));
    if (is_stream(*item)) {
        start_reply(*item, out);
        clear_attempt(state, *item);
        log_outcome(state, *item, "served", item->head.status, out);
        out.emplace_back(reply_end{item->input.caller});
    } else {
        clear_attempt(state, *item);
        log_outcome(state, *item, item->head.status < 300 ? "served" : "target_failed", item->head.status,
                    out);
        out.emplace_back(
            reply_full{item->input.caller, item->head.status, item->head.headers, std::move(item->body)});
    }
    remove_request(state, item);
}

//-----------------------------------------------------------------------------
// [SECTION] Failed attempts
//-----------------------------------------------------------------------------

void on_not_sent(router_state& state, const request_ptr& item, effects& out) {
    if (target_state* target = find_target(state, item->target)) {
        confirm_crash(state, *target, out);
        eject_target(state, *target, out);
    }
    clear_attempt(state, *item);
    --item->sends;
    retry_or_fail(state, item, status_unavailable, "no_connection", out);
}

void on_connection_broken(router_state& state, const request_ptr& item, send_result result, effects& out) {
    item->may_have_run = true;
    if (target_state* target = find_target(state, item->target)) {
        if (result == send_result::broken) {
            note_break(state, *item, *target);
            if (!item->head_received) record_target_result(*target, true);
        }
        record_version_break(state, *item);
    }
    out.emplace_back(count{"answers_broken_total", item->service, 1});
    clear_attempt(state, *item);
    item->body.clear();
    count_buffered_bytes(state, *item);
    retry_or_fail(state, item, status_bad_gateway,
                  result == send_result::garbled ? "answer_garbled" : "connection_lost", out);
}

} // namespace

namespace {

std::string_view name_of(send_result result) {
    constexpr std::array<std::string_view, 4> names{"complete", "not_sent", "broken", "garbled"};
    return names.at(static_cast<std::size_t>(result));
}

response_verdict judge_end(const request& item, send_result result) {
    received_response response;
    response.transfer_complete = item.head_received && result == send_result::complete;
    response.close_delimited = item.close_delimited;
    response.successful = item.head.status < 300;
    response.resumed = !item.last_event_id.empty();
    response.position = position_of(item);
    return judge_response(response);
}

/// Logs how an answer ended whose end is in doubt: it broke, or only the end of the connection marks it.
void log_doubtful_end(const request& item, send_result result, effects& out) {
    if (result == send_result::not_sent || (result == send_result::complete && !item.close_delimited)) return;
    out.emplace_back(log_event{
        "answer_end",
        "\"id\":" + quoted(item.input.attempt) + ",\"target\":" + quoted(item.target) + ",\"route\":" +
            quoted(item.route.name) + ",\"close_delimited\":" + (item.close_delimited ? "true" : "false") +
            ",\"end\":" + quoted(name_of(result)) + ",\"head\":" + (item.head_received ? "true" : "false") +
            ",\"body_bytes\":" + std::to_string(item.body_bytes) +
            ",\"inside_event\":" + (position_of(item) == body_position::inside_event ? "true" : "false") +
            ",\"reply_started\":" + (item.reply_started ? "true" : "false"),
        false});
}

} // namespace

namespace {

// Targets that crash are away for two seconds at least (the users' pages). A shorter time without reading
// cannot hide a crash and the next start.
constexpr duration min_hidden_time = 1s;
// After a suspension or a stall the router reads what has accumulated meanwhile within this time.
constexpr duration read_backlog_time = 1s;
// Streams send an event more often than this, so an older one of the same target shows within this time after
// the backlog whether the target is still the same process.
constexpr duration max_late_doubt = 2s;

/// Whether the connection may have ended long before the router has read its end.
bool may_be_late(const router_state& state, const request& item) {
    if (state.now - state.outage.awake_since < read_backlog_time && item.sent_at < state.outage.awake_since)
        return true;
    return item.congestion_ended_at - item.congestion_began_at > min_hidden_time &&
           state.now - item.congestion_ended_at < read_backlog_time;
}

/// Whether the process that got the attempt is known to be gone, whoever is at its address now.
bool has_ended(const request& item, const target_state* target) {
    if (target == nullptr || target->last_crash > item.sent_at) return true;
    const std::uint64_t boot = target->entry.boot;
    return boot != 0 && item.target_boot != 0 && boot != item.target_boot;
}

/// Whether the target goes on, after the backlog, with a response that it began before this one: it is then
/// the same process.
bool has_older_live_response(const router_state& state, const request& item) {
    return std::ranges::any_of(state.requests, [&](const auto& entry) {
        const request& other = *entry.second;
        const time_point read_freely =
            std::max({item.in_doubt_since, state.outage.awake_since, other.congestion_ended_at});
        return other.target == item.target && other.sent_at <= item.sent_at &&
               other.in_doubt_since == time_point{} && other.last_data >= read_freely + read_backlog_time;
    });
}

/// The end of a connection alone does not tell a whole response from a target that crashed: the target's
/// system closes the connections of a dead process in order. A target that is gone refuses new ones, until it
/// starts again.
void resolve_doubt(router_state& state, const request_ptr& item, effects& out) {
    const target_state* target = find_target(state, item->target);
    if (has_ended(*item, target)) {
        on_connection_broken(state, item, send_result::broken, out);
        return;
    }
    item->in_doubt_since = state.now;
    item->end_is_late = may_be_late(state, *item);
    out.emplace_back(count{"answers_in_doubt_total", item->service, 1});
    if (item->end_is_late)
        out.emplace_back(count{"answers_ended_late_total", item->service, 1});
    else
        out.emplace_back(probe_target{item->send_id, target->entry.address});
}

void log_verdict(const router_state& state, const request& item, bool refused, bool whole, effects& out) {
    out.emplace_back(log_event{"answer_probed",
                               "\"id\":" + quoted(item.input.attempt) + ",\"target\":" + quoted(item.target) +
                                   ",\"late\":" + (item.end_is_late ? "true" : "false") + ",\"refused\":" +
                                   (refused ? "true" : "false") + ",\"whole\":" + (whole ? "true" : "false") +
                                   ",\"ms\":" + format_ms(state.now - item.in_doubt_since),
                               false});
}

} // namespace

void on_target_probed(router_state& state, const target_probed& event, effects& out) {
    const request_ptr item = find_by_send(state, event.send_id);
    if (!item || item->in_doubt_since == time_point{} || item->end_is_late) return;
    const bool refused = event.outcome == probe_outcome::refused;
    const bool lives = !has_ended(*item, find_target(state, item->target)) &&
                       (event.outcome == probe_outcome::accepted ||
                        (!refused && has_sent_since(state, item->target, item->in_doubt_since)));
    // The suspension may have come between the end of the response and the probe.
    if (lives && may_be_late(state, *item)) {
        item->end_is_late = true;
        item->in_doubt_since = state.now;
        out.emplace_back(count{"answers_ended_late_total", item->service, 1});
        return;
    }
    log_verdict(state, *item, refused, lives, out);
    if (lives) {
        on_response_complete(state, item, out);
        return;
    }
    const std::string name = item->target;
    on_connection_broken(state, item, send_result::broken, out);
    if (target_state* target = find_target(state, name); target != nullptr && refused) {
        confirm_crash(state, *target, out);
        eject_target(state, *target, out);
    }
}

void settle_late_ends(router_state& state, effects& out) {
    std::vector<request_ptr> late;
    for (const auto& [caller, item] : state.requests) {
        if (item->end_is_late) late.push_back(item);
    }
    for (const request_ptr& item : late) {
        const bool ended = has_ended(*item, find_target(state, item->target));
        const bool lives = !ended && has_older_live_response(state, *item);
        if (!ended && !lives && state.now - item->in_doubt_since < max_late_doubt) continue;
        log_verdict(state, *item, false, lives, out);
        if (lives)
            on_response_complete(state, item, out);
        else
            on_connection_broken(state, item, send_result::broken, out);
    }
}

void on_response_end(router_state& state, const response_end& event, effects& out) {
    const request_ptr item = find_by_send(state, event.send_id);
    if (!item) return;
    log_doubtful_end(*item, event.result, out);
    if (event.result == send_result::not_sent) {
        on_not_sent(state, item, out);
        return;
    }
    switch (judge_end(*item, event.result)) {
    case response_verdict::whole:
        on_response_complete(state, item, out);
        break;
    case response_verdict::in_doubt:
        resolve_doubt(state, item, out);
        break;
    case response_verdict::truncated:
        const bool garbled = event.result == send_result::garbled;
        on_connection_broken(state, item, garbled ? send_result::garbled : send_result::broken, out);
        break;
    }
}

} // namespace damaskhill::direct
