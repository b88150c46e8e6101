// Index of this file:
// [SECTION] Violations
// [SECTION] Callers
// [SECTION] Targets

#include "damaskhill_invariants.hpp"

#include <algorithm>

namespace damaskhill {

//-----------------------------------------------------------------------------
// [SECTION] Violations
//-----------------------------------------------------------------------------

namespace {

void report(invariant_monitor& monitor, invariant violated, time_point now, std::string detail) {
    ++monitor.violation_count;
    if (monitor.violations.size() >= monitor.settings.violation_limit) return;
    monitor.violations.push_back({violated, now, std::move(detail)});
}

} // namespace

std::size_t count_violations(const invariant_monitor& monitor, invariant which) {
    return static_cast<std::size_t>(std::ranges::count(monitor.violations, which, &violation::violated));
}

//-----------------------------------------------------------------------------
// [SECTION] Callers
//-----------------------------------------------------------------------------

void observe_request(invariant_monitor& monitor, const caller_request& request, std::string_view expected,
                     std::string_view target_key, time_point now) {
    tracked_answer& tracked = monitor.callers[request.caller];
    tracked.expected = expected;
    tracked.order = request.idempotency_key;
    if (request.idempotency_key.empty()) return;
    monitor.orders[request.idempotency_key].submitted_at = now;
    monitor.caller_keys[std::string{target_key}] = request.idempotency_key;
}

void observe_abandoned(invariant_monitor& monitor, caller_id caller) {
    const auto found = monitor.callers.find(caller);
    if (found != monitor.callers.end()) found->second.abandoned = true;
}

void observe_broken_connection(invariant_monitor& monitor, caller_id caller, time_point now) {
    if (!monitor.only_planned_stops) return;
    report(monitor, invariant::graceful_stop, now,
           "caller " + std::to_string(caller) + " was disconnected by a planned stop");
}

namespace {

// Returns the caller's open request, or null if the caller stopped reading. Effects after the end of the
// answer violate P6.
tracked_answer* find_open_answer(invariant_monitor& monitor, caller_id caller, time_point now) {
    const auto found = monitor.callers.find(caller);
    if (found == monitor.callers.end() || found->second.abandoned) return nullptr;
    if (found->second.ended) {
        report(monitor, invariant::answer_integrity, now,
               "caller " + std::to_string(caller) + " received data after the end of its answer");
        return nullptr;
    }
    return &found->second;
}

void check_answer_text(invariant_monitor& monitor, caller_id caller, const tracked_answer& tracked,
                       bool whole, time_point now) {
    const std::string_view expected = tracked.expected;
    const bool right = whole ? tracked.received == expected : expected.starts_with(tracked.received);
    if (right) return;
    report(monitor, invariant::answer_integrity, now,
           "caller " + std::to_string(caller) + " received " + std::to_string(tracked.received.size()) +
               " bytes that do not match its answer of " + std::to_string(expected.size()) + " bytes");
}

struct router_observer {
    invariant_monitor& monitor;
    time_point now;

    void operator()(const answer_whole& e) const {
        tracked_answer* tracked = find_open_answer(monitor, e.caller, now);
        if (tracked == nullptr) return;
        tracked->ended = true;
        tracked->received = e.body;
        if (e.status < 300) check_answer_text(monitor, e.caller, *tracked, true, now);
    }
    void operator()(const stream_data& e) const {
        tracked_answer* tracked = find_open_answer(monitor, e.caller, now);
        if (tracked == nullptr) return;
        tracked->received += e.text;
        check_answer_text(monitor, e.caller, *tracked, false, now);
    }
    void operator()(const stream_end& e) const {
        tracked_answer* tracked = find_open_answer(monitor, e.caller, now);
        if (tracked == nullptr) return;
        tracked->ended = true;
        if (e.reason == failure_kind::none) {
            check_answer_text(monitor, e.caller, *tracked, true, now);
        } else {
            observe_broken_connection(monitor, e.caller, now);
        }
    }
    void operator()(const refuse& e) const {
        tracked_answer* tracked = find_open_answer(monitor, e.caller, now);
        if (tracked == nullptr) return;
        tracked->ended = true;
        if (e.state != run_state::not_run || tracked->order.empty()) return;
        tracked_order& order = monitor.orders[tracked->order];
        order.not_run_reported_at = now;
        if (!order.sent.empty()) {
            report(monitor, invariant::accurate_refusal, now,
                   "not_run reported for sent order " + tracked->order);
        }
    }
    template <class Other>
    void operator()(const Other& /*unused*/) const {}
};

} // namespace

void observe_router_effects(invariant_monitor& monitor, std::span<const effect> performed, time_point now) {
    for (const effect& item : performed)
        std::visit(router_observer{monitor, now}, item);
}

//-----------------------------------------------------------------------------
// [SECTION] Targets
//-----------------------------------------------------------------------------

namespace {

void observe_order_sent(invariant_monitor& monitor, const start_call& call, time_point now) {
    const auto key = monitor.caller_keys.find(call.idempotency_key);
    if (key == monitor.caller_keys.end()) return;
    tracked_order& order = monitor.orders[key->second];
    if (!order.sent.empty()) {
        report(monitor, invariant::at_most_once, now, "duplicate run of order " + key->second);
    }
    // After "not_run", the order may run only if the caller has submitted it again.
    if (order.not_run_reported_at && order.submitted_at <= *order.not_run_reported_at) {
        report(monitor, invariant::accurate_refusal, now,
               "run after not_run was reported for order " + key->second);
    }
    order.sent.insert(call.attempt);
    monitor.attempts[call.attempt] = key->second;
}

} // namespace

void observe_sidecar_effects(invariant_monitor& monitor, std::string_view name,
                             std::span<const effect> performed, time_point now) {
    const auto leaving = monitor.leaving.find(std::string{name});
    for (const effect& item : performed) {
        const auto* call = std::get_if<start_call>(&item);
        if (call == nullptr) continue;
        if (!call->idempotency_key.empty()) observe_order_sent(monitor, *call, now);
        if (leaving != monitor.leaving.end() && now > leaving->second + monitor.settings.leave_limit) {
            report(monitor, invariant::graceful_stop, now,
                   "new work sent to leaving target " + std::string{name});
        }
    }
}

void observe_sidecar_input(invariant_monitor& monitor, const sidecar_input& input) {
    const auto* done = std::get_if<call_finished>(&input);
    if (done == nullptr) return;
    const auto attempt = monitor.attempts.find(done->attempt);
    if (attempt == monitor.attempts.end()) return;
    const bool never_ran = (!done->transport_ok && !done->sent) || done->overloaded;
    if (never_ran) monitor.orders[attempt->second].sent.erase(done->attempt);
    monitor.attempts.erase(attempt);
}

void observe_target_leaving(invariant_monitor& monitor, std::string_view name, time_point now) {
    monitor.leaving.try_emplace(std::string{name}, now);
}

} // namespace damaskhill
