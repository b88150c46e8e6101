// Index of this file:
// [SECTION] State
// [SECTION] Link messages
// [SECTION] Reducer

#include "damaskhill_router.hpp"

#include "damaskhill_router_internal.hpp"

#include <algorithm>

namespace damaskhill {

//-----------------------------------------------------------------------------
// [SECTION] State
//-----------------------------------------------------------------------------

router_state::router_state(router_settings s) : settings(std::move(s)), random{settings.seed} {
    members.settings = settings.membership;
    orders.settings = settings.orders;
    answers.settings = settings.answers;
    crashes.settings = settings.quarantine;
}

namespace {

using namespace detail;

//-----------------------------------------------------------------------------
// [SECTION] Link messages
//-----------------------------------------------------------------------------

struct message_handler {
    router_state& state;
    link_id link;
    effects& out;

    void operator()(const hello& m) const { on_hello(state, link, m, out); }
    void operator()(const heartbeat& m) const { on_heartbeat(state, link, m, out); }
    void operator()(const pull& m) const { on_pull(state, link, m, out); }
    void operator()(const chunk& m) const { on_chunk(state, m, out); }
    void operator()(const finish& m) const { on_finish(state, link, m, out); }
    void operator()(const seal_reply& m) const { on_seal_reply(state, link, m, out); }
    void operator()(const claim& m) const { on_claim(state, link, m, out); }
    void operator()(const claim_reply& m) const { on_claim_reply(state, m, out); }
    void operator()(const service_report& m) const { on_service_report(state, link, m, out); }
    void operator()(const service_total& m) const { on_service_total(state, m, out); }
    void operator()(const evidence& m) const { on_evidence(state, m, out); }
    void operator()(const facts& m) const {
        record_bootstrap_reply(state, link, m);
        on_facts(state, link, m, out);
    }
    void operator()(const config_push& m) const {
        record_bootstrap_reply(state, link, m);
        on_config_push(state, link, m, out);
    }
    void operator()(const config_pull& m) const { on_config_pull(state, link, m, out); }
    void operator()(const answer_put& m) const { on_answer_put(state, m); }
    void operator()(const answer_get& m) const { on_answer_get(state, link, m, out); }
    void operator()(const answer_value& m) const { on_answer_value(state, m, out); }
    template <class Other>
    void operator()(const Other& /*unused*/) const {
        // Messages that only sidecars handle.
        out.emplace_back(count{"unexpected_messages_total", "router", 1});
    }
};

void on_link_message(router_state& state, const link_message& event, effects& out) {
    peer* sender = find_peer(state.members, event.link);
    if (sender == nullptr) return; // the link closed before the message arrived
    record_received_message(state, *sender, event.message);
    const bool is_hello = std::holds_alternative<hello>(event.message);
    if (!sender->hello_received && !is_hello) {
        out.emplace_back(count{"unexpected_messages_total", "before_hello", 1});
        out.emplace_back(close_link{event.link});
        return;
    }
    std::visit(message_handler{state, event.link, out}, event.message);
}

//-----------------------------------------------------------------------------
// [SECTION] Reducer
//-----------------------------------------------------------------------------

void on_tick(router_state& state, effects& out) {
    on_peers_tick(state, out);
    on_config_tick(state, out);
    on_versions_tick(state, out);
    on_orders_tick(state, out);
    on_requests_tick(state, out);
    on_answers_tick(state, out);
    on_fairness_tick(state, out);
    if (state.stopping && !state.exited) {
        const bool idle = state.requests.empty() && order_writes_idle(state);
        if (idle || state.now - state.stop_requested_at > state.settings.drain_limit) {
            state.exited = true;
            out.emplace_back(
                log_change{"stopped; requests abandoned: " + std::to_string(state.requests.size())});
            out.emplace_back(exit_process{});
        }
    }
}

void on_stop(router_state& state, effects& out) {
    if (state.stopping) return;
    state.stopping = true;
    state.stop_requested_at = state.now;
    state.members.next_heartbeat = state.now; // the next tick sends the state to the peers
    out.emplace_back(
        log_change{"stop requested; requests in progress: " + std::to_string(state.requests.size())});
}

struct event_handler {
    router_state& state;
    effects& out;

    void operator()(const tick& /*unused*/) const { on_tick(state, out); }
    void operator()(const caller_request& e) const { on_caller_request(state, e, out); }
    void operator()(const caller_malformed& e) const { on_caller_malformed(state, e, out); }
    void operator()(const caller_disconnected& e) const { on_caller_disconnected(state, e, out); }
    void operator()(const link_opened& e) const { on_link_opened(state, e, out); }
    void operator()(const link_closed& e) const { on_link_closed(state, e.link, out); }
    void operator()(const dial_failed& e) const {
        on_dial_result(state.members, e.name, false, state.now, state.random);
    }
    void operator()(const link_message& e) const { on_link_message(state, e, out); }
    void operator()(const store_reply& e) const { on_order_store_reply(state, e, out); }
    void operator()(const config_watch_result& e) const { on_config_watch_result(state, e, out); }
    void operator()(const facts_reply& e) const { on_facts_reply(state, e, out); }
    void operator()(const vm_list& e) const { on_vm_list(state, e, out); }
    void operator()(const stop_requested& /*unused*/) const { on_stop(state, out); }
};

} // namespace

void reduce(router_state& state, const router_event& event, effects& out) {
    if (state.now != time_point{} && event.now > state.now + state.settings.pause_threshold) {
        const bool catching_up = state.now < state.resumed_at + state.settings.catch_up_period;
        if (!catching_up) state.pause_began = state.now;
        state.resumed_at = event.now;
    }
    // A clock that steps back must neither fire timers twice nor extend deadlines.
    state.now = std::max(state.now, event.now);
    if (state.started == time_point{}) {
        state.started = state.now;
        state.store_reached_at = state.now;
        state.config_confirmed_at = state.now;
    }
    const std::size_t before = out.size();
    std::visit(event_handler{state, out}, event.input);
    record_sent_messages(state, std::span{out}.subspan(before));
}

} // namespace damaskhill
