// Index of this file:
// [SECTION] Queues
// [SECTION] Completion
// [SECTION] Admission
// [SECTION] Assignment and streaming
// [SECTION] Results of attempts
// [SECTION] Timers

#include "damaskhill_router_internal.hpp"
#include "damaskhill_trace.hpp"

#include <algorithm>

namespace damaskhill::detail {

//-----------------------------------------------------------------------------
// [SECTION] Queues
//-----------------------------------------------------------------------------

namespace {

queue_key queue_key_of(const request& r) { return {r.input.pool, r.account, r.cls, {}}; }

void set_phase(router_state& state, request& r, request_phase phase) {
    const bool was_waiting = r.phase != request_phase::running;
    const bool is_waiting = phase != request_phase::running;
    r.phase = phase;
    if (was_waiting == is_waiting) return;
    auto& waiting = state.waiting_by_account[{r.account, r.input.pool}];
    waiting += is_waiting ? 1U : -1U;
}

} // namespace

request_ptr find_request(router_state& state, request_id id) {
    const auto found = state.requests.find(id);
    return found == state.requests.end() ? request_ptr{} : found->second;
}

void enqueue(router_state& state, request& r, effects& out) {
    set_phase(state, r, request_phase::waiting);
    if (r.queue_hook.is_linked()) return;
    if (r.not_before > state.now) {
        state.delayed.emplace(r.not_before, r.id);
        return;
    }
    r.queued_at = state.now;
    const queue_key key = queue_key_of(r);
    request_queue& queue = state.queues[key];
    // A repeated request goes to the front: its caller may already have received a part of the answer.
    if (r.attempts > 0 || r.preemptions > 0) {
        queue.push_front(r);
    } else {
        queue.push_back(r);
    }
    state.dirty_queues.insert(key);
    const std::string first_version = choose_exposure(state, r);
    announce_new_request(state, key, r.input.prefix_hash, first_version, out);
}

void dequeue(router_state& state, request& r) {
    state.delayed.erase({r.not_before, r.id});
    if (!r.queue_hook.is_linked()) return;
    const queue_key key = queue_key_of(r);
    request_queue& queue = state.queues[key];
    queue.erase(queue.iterator_to(r));
    if (queue.empty()) state.queues.erase(key);
    state.dirty_queues.insert(key);
}

//-----------------------------------------------------------------------------
// [SECTION] Completion
//-----------------------------------------------------------------------------

namespace {

void emit_request_span(router_state& state, const request& r, bool ok, std::string_view detail,
                       effects& out) {
    out.emplace_back(span{r.traceparent, r.input.traceparent, "router.request", r.arrived_at, state.now, ok,
                          r.input.pool + " " + std::string{detail}});
}

void remove_request(router_state& state, request& r) {
    const request_ptr keep_alive{&r};
    dequeue(state, r);
    if (r.phase != request_phase::running) --state.waiting_by_account[{r.account, r.input.pool}];
    state.by_attempt.erase(r.answer.current);
    state.by_caller.erase(r.input.caller);
    state.deadlines.erase({r.deadline, r.id});
    if (r.order) {
        state.by_ticket.erase(r.order->ticket);
        state.by_order.erase({r.order->key, r.id});
        state.seal_timers.erase({r.order->next_seal, r.id});
        if (r.phase == request_phase::refusing) --state.pending_refusals;
    }
    state.body_bytes -= r.input.body.size();
    state.requests.erase(r.id);
}

} // namespace

std::uint32_t retry_after_s(failure_kind kind) {
    switch (kind) {
    case failure_kind::queue_full:
    case failure_kind::isolated:
    case failure_kind::draining:
    case failure_kind::order_store_unavailable:
    case failure_kind::order_outcome_unknown:
    case failure_kind::deadline_exceeded:
    case failure_kind::retry_budget_exhausted:
    case failure_kind::target_failed:
        return 1;
    default:
        return 0;
    }
}

void refuse_caller(caller_id caller, request_id id, failure_kind kind, run_state run, std::string detail,
                   effects& out) {
    out.emplace_back(count{"refusals_total", std::string{to_string(kind)}, 1});
    out.emplace_back(refuse{caller, id, kind, run, retry_after_s(kind), std::move(detail)});
}

void refuse_request(router_state& state, request& r, failure_kind kind, run_state run, effects& out) {
    if (r.caller_present) {
        if (r.stream_begun) {
            out.emplace_back(count{"streams_broken_total", std::string{to_string(kind)}, 1});
            out.emplace_back(stream_end{r.input.caller, kind});
        } else {
            refuse_caller(r.input.caller, r.id, kind, run, {}, out);
        }
    }
    emit_request_span(state, r, false, to_string(kind), out);
    remove_request(state, r);
}

void answer_request(router_state& state, request& r, std::uint32_t status, std::string_view content_type,
                    std::string_view body, effects& out) {
    cache_finished_answer(state, r, status, content_type, body, out);
    if (r.caller_present) {
        if (r.stream_begun) {
            out.emplace_back(stream_end{r.input.caller, failure_kind::none});
        } else if (r.input.stream && status < 400) {
            out.emplace_back(stream_begin{r.input.caller, r.id});
            out.emplace_back(stream_data{r.input.caller, std::string{body}});
            out.emplace_back(stream_end{r.input.caller, failure_kind::none});
        } else {
            out.emplace_back(
                answer_whole{r.input.caller, r.id, status, std::string{content_type}, std::string{body}});
        }
    }
    out.emplace_back(count{"answers_total", r.input.pool, 1});
    out.emplace_back(
        observe{"request_seconds", std::string{to_string(r.cls)}, to_seconds(state.now - r.arrived_at)});
    emit_request_span(state, r, status < 500, std::to_string(status), out);
    remove_request(state, r);
}

//-----------------------------------------------------------------------------
// [SECTION] Admission
//-----------------------------------------------------------------------------

namespace {

request_class class_of(const caller_request& input, const pool_declaration& pool) {
    if (input.cls) return *input.cls;
    return input.max_tokens > pool.batch_threshold ? request_class::batch : request_class::interactive;
}

// Expected cost in service units, charged at the start. The units that the sidecar reports replace it.
double estimate_cost(const caller_request& input, const pool_declaration& pool) {
    constexpr double prompt_weight = 0.1;   // units per prompt token
    constexpr double expected_length = 0.5; // as a share of max_tokens
    constexpr double service_call_units = 1.0;
    if (pool.kind == target_kind::service) return service_call_units;
    return 1.0 + prompt_weight * input.prompt_tokens + expected_length * input.max_tokens;
}

struct admission {
    const account_declaration* account{};
    const pool_declaration* pool{};
    std::optional<order_key> key;
};

// Checks that depend on the declarations and the request only. Refuses and returns no value if one fails.
std::optional<admission> admit(router_state& state, const caller_request& input, effects& out) {
    admission result;
    const auto refuse_with = [&](failure_kind kind, run_state run, std::string detail) {
        refuse_caller(input.caller, input.request, kind, run, std::move(detail), out);
        return std::nullopt;
    };
    // Without a read of its record, an order may have run through a router that knew the account or the pool.
    const run_state unverified = input.idempotency_key.empty() ? run_state::not_run : run_state::unknown;
    if (state.config.teams.empty())
        return refuse_with(failure_kind::isolated, unverified, "no declarations are known yet");
    result.account = find_account(state.config, input.key_hash);
    if (result.account == nullptr) {
        return refuse_with(failure_kind::unauthorized, unverified, "Authorization: Bearer <key>");
    }
    if (input.route == caller_route::fetch_answer) return result;
    result.pool = find_pool(state.config, input.pool);
    if (result.pool == nullptr) {
        return refuse_with(failure_kind::unknown_pool, unverified, input.pool);
    }
    if (result.pool->kind != target_kind::service ||
        !is_order_route(*result.pool, input.method, input.path)) {
        return result;
    }
    if (input.idempotency_key.empty()) {
        return refuse_with(failure_kind::key_required, run_state::not_run, "Idempotency-Key: a UUIDv7");
    }
    failure error;
    result.key = parse_order_key(input.idempotency_key, state.now, state.settings.orders, error);
    if (!result.key) {
        // An order with an expired key may have run before; one with a malformed key cannot have.
        const run_state run =
            error.kind == failure_kind::key_expired ? run_state::unknown : run_state::not_run;
        return refuse_with(error.kind, run, describe(error));
    }
    return result;
}

request_ptr make_request(router_state& state, const caller_request& input, const admission& admitted) {
    request_ptr r{new request};
    r->input = input;
    r->id = input.request.empty() ? state.random.next_id<request_id>() : input.request;
    r->account = account_id_of(admitted.account->name);
    r->cls = class_of(input, *admitted.pool);
    r->crash_hash = crash_hash_of(r->account, input.body);
    r->cost_hint = estimate_cost(input, *admitted.pool);
    r->arrived_at = state.now;
    const duration timeout = input.timeout_ms > 0 ? duration{std::chrono::milliseconds{input.timeout_ms}}
                             : r->cls == request_class::batch ? state.settings.batch_timeout
                                                              : state.settings.interactive_timeout;
    r->deadline = state.now + timeout;
    r->traceparent = child_traceparent(input.traceparent, state.random);
    if (admitted.key) {
        r->order.emplace();
        r->order->key = scoped_order_key(*admitted.key, r->account);
        const bool catching_up = state.now < state.resumed_at + state.settings.catch_up_period;
        r->order->earliest_sent = catching_up ? state.pause_began : state.now;
        r->order->body_hash = stable_hash(input.body, stable_hash(input.method + " " + input.path));
    }
    return r;
}

failure_kind rejection_reason(const router_state& state, const request& r, std::uint32_t max_waiting) {
    if (state.stopping) return failure_kind::draining;
    if (state.isolated) return failure_kind::isolated;
    if (is_quarantined(state.crashes, r.crash_hash)) return failure_kind::quarantined;
    const auto waiting = state.waiting_by_account.find({r.account, r.input.pool});
    if (waiting != state.waiting_by_account.end() && waiting->second >= max_waiting) {
        return failure_kind::queue_full;
    }
    if (state.body_bytes + r.input.body.size() > state.settings.body_bytes_limit)
        return failure_kind::queue_full;
    return failure_kind::none;
}

} // namespace

void on_caller_malformed(router_state& /*state*/, const caller_malformed& input, effects& out) {
    refuse_caller(input.caller, {}, input.kind, run_state::not_run, input.where, out);
}

void on_caller_request(router_state& state, const caller_request& input, effects& out) {
    out.emplace_back(count{"requests_total", input.pool, 1});
    const auto admitted = admit(state, input, out);
    if (!admitted) return;
    const account_id account = account_id_of(admitted->account->name);
    if (input.route == caller_route::fetch_answer) {
        on_fetch(state, input, account, out);
        return;
    }
    const request_ptr r = make_request(state, input, *admitted);
    if (state.requests.contains(r->id)) {
        refuse_caller(input.caller, r->id, failure_kind::malformed_request, run_state::unknown,
                      "X-Request-Id is in use by a request in progress", out);
        return;
    }
    const failure_kind reason = rejection_reason(state, *r, admitted->account->max_waiting);
    if (reason != failure_kind::none && !r->order) {
        refuse_caller(input.caller, r->id, reason, run_state::not_run, {}, out);
        return;
    }
    if (state.exited && r->order) {
        // A refusal with "not_run" needs a write to the order record, which an exiting process cannot finish.
        refuse_caller(input.caller, r->id, failure_kind::draining, run_state::unknown, {}, out);
        return;
    }
    state.requests.emplace(r->id, r);
    state.body_bytes += input.body.size();
    state.by_caller.emplace(input.caller, r->id);
    state.deadlines.emplace(r->deadline, r->id);
    ++state.waiting_by_account[{r->account, input.pool}];
    if (r->order) {
        state.by_order.insert({r->order->key, r->id});
        r->phase = request_phase::reading_record;
        if (reason != failure_kind::none) {
            // The order may have run through another router, so that its refusal has to be confirmed.
            refuse_order(state, *r, reason, out);
        } else {
            open_order(state, *r, out);
        }
        return;
    }
    on_first_attempt(state.retry_budgets[input.pool], state.settings.retry);
    enqueue(state, *r, out);
}

void on_caller_disconnected(router_state& state, const caller_disconnected& input, effects& out) {
    const auto found = state.by_caller.find(input.caller);
    if (found == state.by_caller.end()) return;
    const request_ptr r = find_request(state, found->second);
    if (!r) return;
    r->caller_present = false;
    out.emplace_back(count{"callers_gone_total", std::string{to_string(r->cls)}, 1});
    // An order continues, since its caller can ask for the outcome with the same key. So does a request whose
    // caller has set its id, by which the answer can be fetched.
    if (r->order || !r->input.request.empty()) return;
    if (r->phase == request_phase::running)
        out.emplace_back(send_message{r->link, cancel{r->answer.current}});
    emit_request_span(state, *r, false, "caller gone", out);
    remove_request(state, *r);
}

//-----------------------------------------------------------------------------
// [SECTION] Assignment and streaming
//-----------------------------------------------------------------------------

namespace {

// First queued request of the account and class that may run on this sidecar.
request* next_request_for(router_state& state, const peer& sidecar, const pull& message) {
    const auto queue = state.queues.find({sidecar.identity.pool, message.account, message.cls, {}});
    if (queue == state.queues.end()) return nullptr;
    for (request& r : queue->second) {
        if (r.order && !may_send_order(state, sidecar, r)) continue;
        const bool suspect = is_suspect(state.crashes, r.crash_hash);
        if (suspect && !message.alone) continue;
        if (may_run_on(state, r, sidecar.identity.version)) return &r;
    }
    return nullptr;
}

// A sidecar drops the row after an empty pull. If suspects still wait, which run only on an idle sidecar, the
// row is sent again with the next reservations.
void reannounce_suspects(router_state& state, const queue_key& key) {
    const auto queue = state.queues.find(key);
    if (queue == state.queues.end()) return;
    const bool suspects_wait = std::ranges::any_of(
        queue->second, [&](const request& r) { return is_suspect(state.crashes, r.crash_hash); });
    if (suspects_wait) state.dirty_queues.insert(key);
}

} // namespace

void on_pull(router_state& state, link_id link, const pull& message, effects& out) {
    const peer* sidecar = find_peer(state.members, link);
    request* r = nullptr;
    if (sidecar != nullptr && is_eligible(state, *sidecar)) r = next_request_for(state, *sidecar, message);
    const queue_key key{
        sidecar == nullptr ? std::string{} : sidecar->identity.pool, message.account, message.cls, {}};
    if (r == nullptr) {
        record_pull(state, key, link, false);
        reannounce_suspects(state, key);
        out.emplace_back(send_message{link, pull_empty{message.pull_id}});
        return;
    }
    const request_ptr keep_alive{r};
    dequeue(state, *r);
    record_pull(state, key, link, true);
    record_version_start(state, *r, sidecar->identity.version);
    if (r->order) {
        claim_order(state, *r, link, message.pull_id, out);
    } else {
        assign_request(state, *r, link, message.pull_id, out);
    }
}

void assign_request(router_state& state, request& r, link_id link, std::uint64_t pull_id, effects& out) {
    set_phase(state, r, request_phase::running);
    r.link = link;
    r.attempt_start = state.now;
    ++r.attempts;
    begin_attempt(r.answer, state.random.next_id<attempt_id>());
    state.by_attempt.emplace(r.answer.current, r.id);
    r.attempt_traceparent = child_traceparent(r.traceparent, state.random);
    r.charged_units = r.cost_hint;
    charge_service(state, r, r.charged_units);
    assign message;
    message.pull_id = pull_id;
    message.attempt = r.answer.current;
    message.request = r.id;
    message.account = r.account;
    message.cls = r.cls;
    message.method = r.input.method;
    message.path = r.input.path;
    message.content_type = r.input.content_type;
    message.body = r.input.body;
    message.stream = r.input.route != caller_route::service;
    message.resume_offset = r.answer.text.size();
    message.cost_hint = r.cost_hint;
    message.crash_hash = r.crash_hash;
    message.suspect = is_suspect(state.crashes, r.crash_hash);
    message.preemptions = r.preemptions;
    message.traceparent = r.attempt_traceparent;
    if (r.order) message.order = order_claim{r.order->key, r.order->nonce, r.order->unseals};
    if (const peer* sidecar = find_peer(state.members, link)) {
        message.revisions =
            relevant_revisions(state.config, sidecar->identity.pool, sidecar->identity.data_centre);
    }
    out.emplace_back(
        observe{"queue_seconds", std::string{to_string(r.cls)}, to_seconds(state.now - r.queued_at)});
    out.emplace_back(send_message{link, std::move(message)});
}

void on_chunk(router_state& state, const chunk& piece, effects& out) {
    const auto found = state.by_attempt.find(piece.attempt);
    const request_ptr r =
        found == state.by_attempt.end() ? request_ptr{} : find_request(state, found->second);
    if (!r) {
        out.emplace_back(count{"chunks_dropped_total", "stale", 1});
        return;
    }
    const bool first = r->answer.text.empty();
    // A stream that exceeds its estimated cost is charged while it runs.
    if (piece.attempt == r->answer.current && piece.units > r->charged_units) {
        charge_service(state, *r, piece.units - r->charged_units);
        r->charged_units = piece.units;
    }
    switch (accept_chunk(r->answer, piece)) {
    case chunk_result::accepted:
        break;
    case chunk_result::gap:
        // Links preserve order, so only a faulty peer can cause a gap. The attempt is cancelled and resumed.
        out.emplace_back(count{"chunks_dropped_total", "gap", 1});
        out.emplace_back(send_message{r->link, cancel{piece.attempt}});
        on_finish(state, r->link,
                  finish{.attempt = piece.attempt,
                         .outcome = attempt_outcome::connection_lost,
                         .units = r->charged_units},
                  out);
        return;
    default:
        out.emplace_back(count{"chunks_dropped_total", "duplicate", 1});
        return;
    }
    if (first) {
        out.emplace_back(observe{"first_byte_seconds", std::string{to_string(r->cls)},
                                 to_seconds(state.now - r->arrived_at)});
    }
    if (!r->input.stream || !r->caller_present) return;
    if (!r->stream_begun) {
        r->stream_begun = true;
        out.emplace_back(stream_begin{r->input.caller, r->id});
    }
    out.emplace_back(stream_data{r->input.caller, piece.data});
}

//-----------------------------------------------------------------------------
// [SECTION] Results of attempts
//-----------------------------------------------------------------------------

namespace {

void end_attempt(router_state& state, request& r, const finish& end, effects& out) {
    state.by_attempt.erase(r.answer.current);
    r.answer.current = {};
    charge_service(state, r, end.units - r.charged_units);
    r.charged_units = 0.0;
    const bool ok = end.outcome == attempt_outcome::completed;
    out.emplace_back(span{r.attempt_traceparent, r.traceparent, "router.attempt", r.attempt_start, state.now,
                          ok, std::string{to_string(end.outcome)}});
    if (end.outcome != attempt_outcome::not_sent && !end.preempted)
        record_version_outcome(state, r, end, out);
}

// Queues an idempotent request again, or refuses it when its attempts or the retry budget are used up.
void retry_request(router_state& state, request& r, effects& out) {
    // Only model engines can resume an answer; a service repeats it from the start.
    if (r.input.route == caller_route::service) r.answer.text.clear();
    const auto& retry = state.settings.retry;
    if (r.attempts >= retry.max_attempts) {
        refuse_request(state, r, failure_kind::target_failed, run_state::unknown, out);
        return;
    }
    if (!take_retry(state.retry_budgets[r.input.pool])) {
        refuse_request(state, r, failure_kind::retry_budget_exhausted, run_state::unknown, out);
        return;
    }
    constexpr duration base_delay = 20ms;
    constexpr duration max_delay = 1s;
    r.not_before = state.now + full_jitter_delay(base_delay, max_delay, r.attempts, state.random);
    out.emplace_back(count{"retries_total", r.input.pool, 1});
    enqueue(state, r, out);
}

void on_not_sent(router_state& state, request& r, const finish& end, effects& out) {
    // The attempt did not reach the target, so it does not count and another sidecar may take the request.
    --r.attempts;
    if (r.order && end.sealed_by) {
        on_sealed_attempt(state, r, end, out);
        return;
    }
    if (r.order) r.order->unassigned_claims.push_back(r.order->nonce);
    // Keeps a sidecar that refuses the request from pulling it again in a loop.
    constexpr duration requeue_delay = 20ms;
    r.not_before = state.now + requeue_delay;
    enqueue(state, r, out);
}

void on_order_lost(router_state& state, request& r, effects& out) {
    refuse_request(state, r, failure_kind::order_outcome_unknown, run_state::unknown, out);
}

void on_completed(router_state& state, request& r, const finish& end, bool complete, effects& out) {
    if (!complete) {
        out.emplace_back(count{"answers_incomplete_total", r.input.pool, 1});
        if (r.order) {
            on_order_lost(state, r, out);
        } else {
            // The received text is not reliable, but what was streamed to the caller cannot be withdrawn: the
            // next attempt continues after it.
            if (!r.stream_begun) r.answer.text.clear();
            retry_request(state, r, out);
        }
        return;
    }
    const std::string text = r.answer.text;
    if (r.order) record_outcome(state, r, end.status, end.content_type, text, out);
    answer_request(state, r, end.status, end.content_type, text, out);
}

} // namespace

void on_finish(router_state& state, link_id /*link*/, const finish& end, effects& out) {
    if (!end.revisions.empty()) record_newer_revisions(state, end.revisions, out);
    const auto found = state.by_attempt.find(end.attempt);
    const request_ptr r =
        found == state.by_attempt.end() ? request_ptr{} : find_request(state, found->second);
    if (!r) {
        out.emplace_back(count{"finishes_dropped_total", std::string{to_string(end.outcome)}, 1});
        return;
    }
    const bool complete = is_complete(r->answer, end);
    end_attempt(state, *r, end, out);
    if (end.target_crashed) record_target_crash(state, *r, end.attempt, end.ran_alone, out);
    if (end.preempted && !r->order) {
        --r->attempts;
        ++r->preemptions;
        enqueue(state, *r, out);
        return;
    }
    switch (end.outcome) {
    case attempt_outcome::completed:
        on_completed(state, *r, end, complete, out);
        return;
    case attempt_outcome::not_sent:
        on_not_sent(state, *r, end, out);
        return;
    default:
        break;
    }
    if (r->order) {
        on_order_lost(state, *r, out);
    } else if (is_quarantined(state.crashes, r->crash_hash)) {
        refuse_request(state, *r, failure_kind::quarantined, run_state::unknown, out);
    } else {
        retry_request(state, *r, out);
    }
}

void fail_attempts_on(router_state& state, link_id link, effects& out) {
    std::vector<attempt_id> lost;
    for (const auto& [attempt, id] : state.by_attempt) {
        const request_ptr r = find_request(state, id);
        if (r && r->link == link) lost.push_back(attempt);
    }
    std::ranges::sort(lost); // keeps the effects independent of the order of the hash map
    for (const attempt_id attempt : lost) {
        const request_ptr r = find_request(state, state.by_attempt.at(attempt));
        on_finish(state, link,
                  finish{.attempt = attempt,
                         .outcome = attempt_outcome::connection_lost,
                         .units = r ? r->charged_units : 0.0},
                  out);
    }
}

//-----------------------------------------------------------------------------
// [SECTION] Timers
//-----------------------------------------------------------------------------

namespace {

void on_deadline(router_state& state, request& r, effects& out) {
    state.deadlines.erase({r.deadline, r.id});
    if (r.order && r.phase != request_phase::running && r.phase != request_phase::sealing) {
        refuse_order(state, r, failure_kind::deadline_exceeded, out);
        return;
    }
    if (r.order) {
        refuse_request(state, r, failure_kind::order_outcome_unknown, run_state::unknown, out);
        return;
    }
    const bool running = r.phase == request_phase::running;
    if (running) out.emplace_back(send_message{r.link, cancel{r.answer.current}});
    const bool ran = running || r.attempts > 0 || r.preemptions > 0;
    refuse_request(state, r, failure_kind::deadline_exceeded, ran ? run_state::unknown : run_state::not_run,
                   out);
}

// Refuses the requests that still wait shortly before the end of a stop, while the store calls that confirm
// the refusal of an order can still complete.
void refuse_waiting_requests(router_state& state, effects& out) {
    state.waiting_refused = true;
    std::vector<request_ptr> waiting;
    for (const auto& [id, r] : state.requests) {
        if (r->phase != request_phase::running && r->phase != request_phase::refusing) waiting.push_back(r);
    }
    std::ranges::sort(waiting, {}, [](const request_ptr& r) { return r->id; });
    for (const request_ptr& r : waiting) {
        if (r->order && r->phase != request_phase::sealing) {
            refuse_order(state, *r, failure_kind::draining, out);
            continue;
        }
        const bool ran = r->order || r->attempts > 0 || r->preemptions > 0;
        refuse_request(state, *r, failure_kind::draining, ran ? run_state::unknown : run_state::not_run, out);
    }
}

} // namespace

void on_requests_tick(router_state& state, effects& out) {
    const duration wait_limit = state.settings.drain_limit - state.settings.drain_reserve;
    if (state.stopping && !state.waiting_refused && state.now >= state.stop_requested_at + wait_limit) {
        refuse_waiting_requests(state, out);
    }
    while (!state.deadlines.empty() && state.deadlines.begin()->first <= state.now) {
        const auto [at, id] = *state.deadlines.begin();
        const request_ptr r = find_request(state, id);
        if (!r) {
            state.deadlines.erase(state.deadlines.begin());
            continue;
        }
        on_deadline(state, *r, out);
    }
    while (!state.delayed.empty() && state.delayed.begin()->first <= state.now) {
        const auto [at, id] = *state.delayed.begin();
        state.delayed.erase(state.delayed.begin());
        const request_ptr r = find_request(state, id);
        if (r && r->phase == request_phase::waiting) enqueue(state, *r, out);
    }
}

} // namespace damaskhill::detail
