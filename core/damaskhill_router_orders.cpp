// An order passes through these steps: its record is read (opening), it waits, a sidecar pulls, the claim
// that names this sidecar is written (claiming), it is assigned. When the record holds a claim of another
// router, the sidecar named there is asked to seal it (sealing). A refusal is made definite by a void claim,
// or with the store down by sealing the order at every sidecar of the pool (refusing); otherwise it says
// "unknown".
//
// Index of this file:
// [SECTION] Claims through the shard's router
// [SECTION] Steps
// [SECTION] Results of claims
// [SECTION] Seals
// [SECTION] Refusals
// [SECTION] Peers and store
// [SECTION] Time

#include "damaskhill_router_internal.hpp"

#include <algorithm>

namespace damaskhill::detail {

namespace {

//-----------------------------------------------------------------------------
// [SECTION] Claims through the shard's router
//-----------------------------------------------------------------------------

// How long the shard's router may take before this router writes by itself.
constexpr duration forward_limit = 400ms;

// Link of the router that batches the writes of the record, 0 if it is this one or not linked.
link_id shard_link(const router_state& state, const order_entry& entry) {
    const auto routers = live_routers(state.members, state.settings.name);
    const auto owner = rendezvous(routers, order_record(entry.key, state.settings.orders), 1);
    if (owner.empty() || owner.front() == state.settings.name) return 0;
    const peer* p = find_peer_named(state.members, owner.front());
    return p == nullptr ? 0 : p->link;
}

void append_here(router_state& state, std::uint64_t ticket, const order_entry& entry, bool look,
                 time_point deadline, effects& out) {
    if (look) {
        look_up_order(state.orders, ticket, entry.key, state.now, deadline, out);
    } else {
        append_order(state.orders, ticket, entry, state.now, deadline, out);
    }
}

// Appends the entry, or looks its key up, on behalf of the request (or of nobody, for an outcome).
void append(router_state& state, request* r, const order_entry& entry, bool look, effects& out) {
    const std::uint64_t ticket = state.next_ticket++;
    if (r != nullptr) {
        r->order->ticket = ticket;
        state.by_ticket[ticket] = r->id;
    }
    const time_point deadline = state.now + state.settings.claim_timeout;
    const link_id link = shard_link(state, entry);
    if (link == 0) {
        append_here(state, ticket, entry, look, deadline, out);
        return;
    }
    state.remote_claims[ticket] = {entry, look, state.now + forward_limit, deadline};
    out.emplace_back(send_message{link, claim{ticket, entry, look}});
}

//-----------------------------------------------------------------------------
// [SECTION] Steps
//-----------------------------------------------------------------------------

bool is_own_unassigned(const order_progress& order, nonce_id nonce) {
    return std::ranges::find(order.unassigned, nonce) != order.unassigned.end();
}

void look_up(router_state& state, request& r, effects& out) {
    order_entry entry;
    entry.key = r.order->key;
    append(state, &r, entry, true, out);
}

void give_back_pull(request& r, effects& out) {
    if (r.link != 0) out.emplace_back(send_message{r.link, pull_empty{r.pull_id}});
    r.link = 0;
}

void wait_again(router_state& state, request& r, duration pause, effects& out) {
    r.not_before = state.now + pause;
    enqueue(state, r, out);
}

void ask_seal(router_state& state, request& r, effects& out) {
    r.order->next_seal = state.now + state.settings.seal_period;
    const peer* sidecar = find_peer_incarnation(state.members, r.order->other.sidecar);
    if (sidecar != nullptr)
        out.emplace_back(send_message{sidecar->link, seal{state.next_call++, r.order->key}});
}

// Another router holds the valid claim: its sidecar knows whether it has sent the order.
void start_sealing(router_state& state, request& r, const order_entry& other, effects& out) {
    r.phase = request_phase::sealing;
    r.order->other = other;
    ask_seal(state, r, out);
}

void answer_done(router_state& state, request& r, const order_entry& done, effects& out) {
    if (done.status == 0) {
        refuse_request(state, r, failure_kind::order_outcome_unknown, run_state::unknown, out);
        return;
    }
    out.emplace_back(count{"orders_answered_from_record_total", r.input.pool, 1});
    answer_request(state, r, done.status, done.content_type, done.body, out);
}

//-----------------------------------------------------------------------------
// [SECTION] Results of claims
//-----------------------------------------------------------------------------

enum class claim_owner : std::uint8_t { nobody, void_claim, own_latest, own_unassigned, other };

claim_owner owner_of(const order_progress& order, const order_entry* intent) {
    if (intent == nullptr) return claim_owner::nobody;
    if (!order.nonce.empty() && intent->nonce == order.nonce) return claim_owner::own_latest;
    if (is_own_unassigned(order, intent->nonce)) return claim_owner::own_unassigned;
    if (intent->sidecar.empty()) return claim_owner::void_claim;
    return claim_owner::other;
}

// Whether the record answers the request by itself: another body, an outcome, a claim of another router.
bool settled_by_record(router_state& state, request& r, const order_view& view, effects& out) {
    if (view.intent == nullptr) return false;
    const order_entry intent = *view.intent;
    const bool is_void = intent.sidecar.empty();
    if (!is_void && intent.body_hash != r.order->body_hash) {
        give_back_pull(r, out);
        refuse_request(state, r, failure_kind::key_reused, run_state::not_run, out);
        return true;
    }
    if (view.done != nullptr) {
        const order_entry done = *view.done;
        give_back_pull(r, out);
        answer_done(state, r, done, out);
        return true;
    }
    if (owner_of(*r.order, view.intent) == claim_owner::other) {
        give_back_pull(r, out);
        start_sealing(state, r, intent, out);
        return true;
    }
    return false;
}

void on_opened(router_state& state, request& r, const append_result& result, effects& out) {
    if (!result.known) {
        look_up(state, r, out); // until the deadline: an order is held while the store is down
        return;
    }
    const order_view view = view_order(result.entries, r.order->key);
    if (settled_by_record(state, r, view, out)) return;
    if (view.intent != nullptr) {
        r.order->baseline.push_back(view.intent->nonce);
        r.order->supersedes = view.intent->nonce;
    }
    r.order->unseals = view.seals;
    wait_again(state, r, duration{}, out);
}

void on_claimed(router_state& state, request& r, const append_result& result, effects& out) {
    order_progress& order = *r.order;
    constexpr duration pause = 100ms; // before a claim that the store did not take is tried again
    if (!result.known) {
        order.unassigned.push_back(order.nonce);
        give_back_pull(r, out);
        out.emplace_back(count{"claims_unanswered_total", r.input.pool, 1});
        wait_again(state, r, pause, out);
        return;
    }
    const order_view view = view_order(result.entries, order.key);
    if (settled_by_record(state, r, view, out)) return;
    switch (owner_of(order, view.intent)) {
    case claim_owner::own_latest: {
        const link_id link = r.link;
        assign_request(state, r, link, r.pull_id, out);
        return;
    }
    case claim_owner::void_claim:
        if (std::ranges::find(order.baseline, view.intent->nonce) == order.baseline.end()) {
            // Voided after this request arrived: its caller has been told "not_run" by another router.
            give_back_pull(r, out);
            refuse_request(state, r, failure_kind::order_store_unavailable, run_state::not_run, out);
            return;
        }
        [[fallthrough]];
    default:
        // An own claim that was never assigned may be superseded by the one that can assign it.
        order.unassigned.push_back(order.nonce);
        order.supersedes = view.intent == nullptr ? nonce_id{} : view.intent->nonce;
        give_back_pull(r, out);
        wait_again(state, r, duration{}, out);
        return;
    }
}

//-----------------------------------------------------------------------------
// [SECTION] Refusals
//-----------------------------------------------------------------------------

void finish_refusal(router_state& state, request& r, run_state run, effects& out) {
    const failure_kind kind =
        run == run_state::unknown ? failure_kind::order_outcome_unknown : r.order->refusal;
    refuse_request(state, r, kind, run, out);
}

// Whether this router knows every sidecar of the pool that may have been alive since the key was created.
bool covers_pool(const router_state& state, const request& r) {
    const auto created = uuid_v7_time(r.order->key);
    if (!created || !state.vms_known) return false;
    const time_point since = *created - state.settings.orders.future_limit;
    if (state.started > since) return false;
    for (const auto& [incarnation, seen] : state.seen_sidecars) {
        if (seen.pool == r.input.pool && !seen.linked && seen.lost >= since) return false;
    }
    return std::ranges::all_of(state.vms, [&](const vm_entry& vm) {
        return vm.role != process_role::sidecar || vm.pool != r.input.pool ||
               find_peer_named(state.members, vm.name) != nullptr;
    });
}

void start_poll(router_state& state, request& r, effects& out) {
    order_progress& order = *r.order;
    if (order.polling || !covers_pool(state, r)) {
        finish_refusal(state, r, run_state::unknown, out);
        return;
    }
    order.polling = true;
    order.next_seal = state.now + state.settings.claim_timeout;
    for (const auto& [incarnation, seen] : state.seen_sidecars) {
        if (seen.pool != r.input.pool || !seen.linked) continue;
        const peer* sidecar = find_peer_incarnation(state.members, incarnation);
        if (sidecar == nullptr) continue;
        order.to_seal.push_back(incarnation);
        out.emplace_back(send_message{sidecar->link, seal{state.next_call++, order.key}});
    }
    if (order.to_seal.empty()) finish_refusal(state, r, run_state::unknown, out);
}

void write_void_claim(router_state& state, request& r, effects& out) {
    order_progress& order = *r.order;
    order_entry entry;
    entry.key = order.key;
    entry.nonce = state.random.next_id<nonce_id>();
    entry.body_hash = order.body_hash;
    entry.supersedes = order.supersedes;
    entry.unseals = order.unseals;
    order.nonce = entry.nonce;
    append(state, &r, entry, false, out);
}

void on_refusal_claimed(router_state& state, request& r, const append_result& result, effects& out) {
    order_progress& order = *r.order;
    if (!result.known) {
        start_poll(state, r, out);
        return;
    }
    const order_view view = view_order(result.entries, order.key);
    const claim_owner owner = owner_of(order, view.intent);
    if (view.done != nullptr) {
        settled_by_record(state, r, view, out);
    } else if (owner == claim_owner::own_latest || owner == claim_owner::void_claim) {
        finish_refusal(state, r, run_state::not_run, out);
    } else if (owner == claim_owner::own_unassigned && order.supersedes != view.intent->nonce) {
        order.supersedes = view.intent->nonce;
        write_void_claim(state, r, out);
    } else {
        // Another router may be running it, or two writers race: the caller asks again.
        finish_refusal(state, r, run_state::unknown, out);
    }
}

//-----------------------------------------------------------------------------
// [SECTION] Peers and store
//-----------------------------------------------------------------------------

void on_append_result(router_state& state, const append_result& result, effects& out) {
    const auto served = state.served_claims.find(result.ticket);
    if (served != state.served_claims.end()) {
        const auto [link, call] = served->second;
        state.served_claims.erase(served);
        out.emplace_back(
            send_message{link, claim_reply{call, result.known, result.may_be_written, result.entries}});
        return;
    }
    state.remote_claims.erase(result.ticket);
    const auto ticket = state.by_ticket.find(result.ticket);
    if (ticket == state.by_ticket.end()) return;
    const request_ptr r = find_request(state, ticket->second);
    state.by_ticket.erase(ticket);
    if (!r || !r->order || r->order->ticket != result.ticket) return;
    switch (r->phase) {
    case request_phase::opening:
        on_opened(state, *r, result, out);
        return;
    case request_phase::claiming:
        on_claimed(state, *r, result, out);
        return;
    case request_phase::refusing:
        on_refusal_claimed(state, *r, result, out);
        return;
    default:
        return;
    }
}

void on_append_results(router_state& state, std::span<const append_result> results, effects& out) {
    for (const append_result& result : results)
        on_append_result(state, result, out);
}

} // namespace

//-----------------------------------------------------------------------------
// [SECTION] Steps
//-----------------------------------------------------------------------------

void open_order(router_state& state, request& r, effects& out) { look_up(state, r, out); }

void claim_order(router_state& state, request& r, link_id link, std::uint64_t pull_id, effects& out) {
    const peer* sidecar = find_peer(state.members, link);
    order_progress& order = *r.order;
    r.phase = request_phase::claiming;
    r.link = link;
    r.pull_id = pull_id;
    order_entry entry;
    entry.key = order.key;
    entry.nonce = state.random.next_id<nonce_id>();
    entry.body_hash = order.body_hash;
    entry.sidecar = sidecar->identity.incarnation;
    entry.supersedes = order.supersedes;
    entry.unseals = order.unseals;
    order.nonce = entry.nonce;
    append(state, &r, entry, false, out);
}

void record_outcome(router_state& state, const request& r, std::uint32_t status,
                    std::string_view content_type, std::string_view body, effects& out) {
    order_entry entry;
    entry.kind = order_entry_kind::done;
    entry.key = r.order->key;
    entry.nonce = r.order->nonce;
    entry.body_hash = r.order->body_hash;
    entry.status = status;
    entry.content_type = content_type;
    entry.body_kept = body.size() <= state.settings.orders.kept_body_limit;
    if (entry.body_kept) entry.body = body;
    append(state, nullptr, entry, false, out);
}

//-----------------------------------------------------------------------------
// [SECTION] Seals
//-----------------------------------------------------------------------------

void on_seal_reply(router_state& state, link_id link, const seal_reply& reply, effects& out) {
    const peer* sidecar = find_peer(state.members, link);
    if (sidecar == nullptr) return;
    std::vector<request_ptr> asking;
    for (const auto& [id, r] : state.requests) {
        if (r->order && r->order->key == reply.key) asking.push_back(r);
    }
    for (const request_ptr& r : asking) {
        order_progress& order = *r->order;
        if (r->phase == request_phase::refusing && order.polling) {
            if (reply.state != seal_state::sealed) {
                finish_refusal(state, *r, run_state::unknown, out);
                continue;
            }
            std::erase(order.to_seal, sidecar->identity.incarnation);
            if (order.to_seal.empty()) finish_refusal(state, *r, run_state::not_run, out);
            continue;
        }
        if (r->phase != request_phase::sealing || order.other.sidecar != sidecar->identity.incarnation)
            continue;
        if (reply.state == seal_state::running) continue; // asked again on the tick
        if (reply.state == seal_state::finished) {
            order_entry done;
            done.status = reply.status;
            done.content_type = reply.content_type;
            done.body = reply.body;
            answer_done(state, *r, done, out);
            continue;
        }
        order.supersedes = order.other.nonce;
        order.unseals.push_back(reply.id);
        wait_again(state, *r, duration{}, out);
    }
}

void on_sealed_attempt(router_state& state, request& r, const finish& end, effects& out) {
    order_progress& order = *r.order;
    order.unassigned.push_back(order.nonce);
    order.supersedes = order.nonce;
    // Both ages run on steady clocks, and the delay of the message can only make the seal look younger.
    const auto request_age = static_cast<std::uint64_t>((state.now - r.arrived).count());
    if (end.seal_age_us >= request_age) {
        order.unseals.push_back(*end.sealed_by);
        wait_again(state, r, duration{}, out);
        return;
    }
    // Sealed after this request arrived: the caller may have been told "not_run" by another router.
    refuse_order(state, r, failure_kind::order_store_unavailable, out);
}

void refuse_order(router_state& state, request& r, failure_kind kind, effects& out) {
    const auto refusing = std::ranges::count_if(state.by_ticket, [&](const auto& open) {
        const request_ptr other = find_request(state, open.second);
        return other && other->phase == request_phase::refusing;
    });
    dequeue(state, r);
    if (r.phase == request_phase::claiming) {
        r.order->unassigned.push_back(r.order->nonce);
        give_back_pull(r, out);
    }
    state.deadlines.erase({r.deadline, r.id});
    state.by_ticket.erase(r.order->ticket);
    // A request that leaves `running` counts as waiting again until it is forgotten.
    if (r.phase == request_phase::running) ++state.waiting_by_account[{r.account, r.input.pool}];
    r.phase = request_phase::refusing;
    r.order->refusal = kind;
    if (static_cast<std::size_t>(refusing) >= state.settings.refusal_limit) {
        finish_refusal(state, r, run_state::unknown, out);
        return;
    }
    write_void_claim(state, r, out);
}

//-----------------------------------------------------------------------------
// [SECTION] Peers and store
//-----------------------------------------------------------------------------

void on_claim(router_state& state, link_id link, const claim& asked, effects& out) {
    const std::uint64_t ticket = state.next_ticket++;
    state.served_claims[ticket] = {link, asked.call};
    append_here(state, ticket, asked.entry, asked.look, state.now + state.settings.claim_timeout, out);
}

void on_claim_reply(router_state& state, const claim_reply& reply, effects& out) {
    const auto remote = state.remote_claims.find(reply.call);
    if (remote == state.remote_claims.end()) return; // already written by this router itself
    if (!reply.known) {
        // The shard's router could not reach the store; this one may.
        remote->second.fallback = state.now;
        return;
    }
    on_append_result(state, {reply.call, reply.known, reply.may_be_written, reply.entries}, out);
}

void on_order_store_reply(router_state& state, const store_reply& reply, effects& out) {
    if (reply.result == failure_kind::none || reply.result == failure_kind::store_conflict) {
        state.store_heard = state.now;
    } else {
        out.emplace_back(count{"store_failures_total", std::string{to_string(reply.result)}, 1});
    }
    std::vector<append_result> results;
    on_store_reply(state.orders, reply, state.now, out, results);
    on_append_results(state, results, out);
}

void on_orders_link_closed(router_state& state, link_id link, effects& /*out*/) {
    for (const auto& [ticket, id] : state.by_ticket) {
        const request_ptr r = find_request(state, id);
        // The claim is still awaited: when it is known, the request waits for another pull.
        if (r && r->phase == request_phase::claiming && r->link == link) r->link = 0;
    }
    std::erase_if(state.served_claims, [&](const auto& served) { return served.second.link == link; });
}

//-----------------------------------------------------------------------------
// [SECTION] Time
//-----------------------------------------------------------------------------

void on_orders_tick(router_state& state, effects& out) {
    std::vector<append_result> results;
    on_tick(state.orders, state.now, out, results);
    on_append_results(state, results, out);
    for (auto it = state.remote_claims.begin(); it != state.remote_claims.end();) {
        if (it->second.fallback > state.now) {
            ++it;
            continue;
        }
        const auto [ticket, remote] = *it;
        it = state.remote_claims.erase(it);
        append_here(state, ticket, remote.entry, remote.look, remote.deadline, out);
    }
    std::vector<request_ptr> due;
    for (const auto& [id, r] : state.requests) {
        if (r->order && r->order->next_seal != time_point{} && r->order->next_seal <= state.now)
            due.push_back(r);
    }
    std::ranges::sort(due, {}, [](const request_ptr& r) { return r->id; });
    for (const request_ptr& r : due) {
        r->order->next_seal = {};
        if (r->phase == request_phase::sealing) ask_seal(state, *r, out);
        if (r->phase == request_phase::refusing && r->order->polling) {
            finish_refusal(state, *r, run_state::unknown, out);
        }
    }
}

} // namespace damaskhill::detail
