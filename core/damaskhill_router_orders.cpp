// At-most-once execution of orders. The record of an order is read (reading_record), the order is queued, a
// sidecar pulls, a claim that names this sidecar is written (claiming), and the order is assigned. If the
// record holds a claim of another router, the sidecar named there is asked to seal the order (sealing). A
// refusal says "not_run" once a void claim is written or, with the store down, once every sidecar of the pool
// has sealed the order (refusing); otherwise it says "unknown".
//
// Index of this file:
// [SECTION] Forwarding to the shard's router
// [SECTION] Steps
// [SECTION] Claim results
// [SECTION] Seals
// [SECTION] Refusals
// [SECTION] Peers and store
// [SECTION] Timers

#include "damaskhill_router_internal.hpp"

#include <algorithm>

namespace damaskhill::detail {

namespace {

//-----------------------------------------------------------------------------
// [SECTION] Forwarding to the shard's router
//-----------------------------------------------------------------------------

// Time after which this router writes to the store itself instead of waiting for the shard's router.
constexpr duration forward_timeout = 400ms;

// Link of the router that batches the writes to the record's shard; 0 if this router or one without a link.
link_id shard_link(const router_state& state, const order_entry& entry) {
    std::vector<std::string> routers = live_routers(state.members, state.settings.name);
    // A stopping router refuses claims. The others skip it, so that they agree on the same next router, which
    // then has the record in memory.
    std::erase_if(routers, [&](const std::string& name) {
        if (name == state.settings.name) return state.stopping;
        const peer* p = find_peer_by_name(state.members, name);
        return p == nullptr || p->last_heartbeat.state == serving_state::draining;
    });
    const auto owner = rendezvous(routers, order_record(entry.key, state.settings.orders), 1);
    if (owner.empty() || owner.front() == state.settings.name) return 0;
    const peer* p = find_peer_by_name(state.members, owner.front());
    return p == nullptr ? 0 : p->link;
}

void append_locally(router_state& state, std::uint64_t ticket, const order_entry& entry, bool lookup,
                    time_point deadline, effects& out) {
    if (lookup) {
        read_order(state.orders, ticket, entry.key, state.now, deadline, out);
    } else {
        append_order(state.orders, ticket, entry, state.now, deadline, out);
    }
}

// Appends the entry or looks up its key. `r` receives the result; null for outcomes, which need none.
void submit_entry(router_state& state, request* r, const order_entry& entry, bool lookup, effects& out) {
    const std::uint64_t ticket = state.next_ticket++;
    if (r != nullptr) {
        r->order->ticket = ticket;
        state.by_ticket[ticket] = r->id;
    }
    const time_point deadline = state.now + state.settings.claim_timeout;
    const link_id link = shard_link(state, entry);
    if (link == 0) {
        append_locally(state, ticket, entry, lookup, deadline, out);
        return;
    }
    state.forwarded_claims[ticket] = {entry, lookup, state.now + forward_timeout, deadline};
    out.emplace_back(send_message{link, claim{ticket, entry, lookup}});
}

//-----------------------------------------------------------------------------
// [SECTION] Steps
//-----------------------------------------------------------------------------

bool is_own_unassigned(const order_progress& order, nonce_id nonce) {
    return std::ranges::find(order.unassigned_claims, nonce) != order.unassigned_claims.end();
}

void look_up_record(router_state& state, request& r, effects& out) {
    order_entry entry;
    entry.key = r.order->key;
    submit_entry(state, &r, entry, true, out);
}

void decline_pull(request& r, effects& out) {
    if (r.link != 0) out.emplace_back(send_message{r.link, pull_empty{r.pull_id}});
    r.link = 0;
}

void requeue(router_state& state, request& r, duration delay, effects& out) {
    r.not_before = state.now + delay;
    enqueue(state, r, out);
}

void set_seal_timer(router_state& state, request& r, time_point at) {
    state.seal_timers.erase({r.order->next_seal, r.id});
    r.order->next_seal = at;
    state.seal_timers.insert({at, r.id});
}

void request_seal(router_state& state, request& r, effects& out) {
    order_progress& order = *r.order;
    set_seal_timer(state, r, state.now + state.settings.seal_poll_period);
    const peer* sidecar = find_peer_by_incarnation(state.members, order.competing_claim.sidecar);
    if (sidecar != nullptr) {
        out.emplace_back(send_message{sidecar->link, seal{state.next_call++, order.key, true}});
        return;
    }
    // Without a link to the sidecar the record may still change: by the outcome or a claim of another router.
    constexpr duration lookup_period = 1s;
    if (state.now < order.next_lookup || state.by_ticket.contains(order.ticket)) return;
    order.next_lookup = state.now + lookup_period;
    look_up_record(state, r, out);
}

// Appends the outcome of the claim to the record.
void write_outcome(router_state& state, const request& r, nonce_id claim_nonce, order_entry entry,
                   effects& out) {
    entry.kind = order_entry_kind::done;
    entry.key = r.order->key;
    entry.nonce = claim_nonce;
    entry.body_hash = r.order->body_hash;
    submit_entry(state, nullptr, entry, false, out);
}

// Whether the caller sent the request after the latest seal, on which a "not_run" answer may have been based.
// Both ages are measured on steady clocks, and message delay can only make the seal look younger.
bool sealed_before_sending(const router_state& state, const request& r, std::uint64_t seal_age_us) {
    return seal_age_us >= static_cast<std::uint64_t>((state.now - r.order->earliest_sent).count());
}

// Asks the sidecar named in the claim of another router whether it has sent the order.
void start_sealing(router_state& state, request& r, const order_entry& other, effects& out) {
    r.phase = request_phase::sealing;
    r.order->competing_claim = other;
    // Replies to earlier seal requests are ignored: the claim may list those seals, which then do not block
    // it.
    r.order->first_seal_call = state.next_call;
    request_seal(state, r, out);
}

void answer_from_outcome(router_state& state, request& r, const order_entry& done, effects& out) {
    if (done.status == 0) {
        refuse_request(state, r, failure_kind::order_outcome_unknown, run_state::unknown, out);
        return;
    }
    if (!done.body_kept) {
        // The order ran, but its answer was too long to be stored.
        refuse_request(state, r, failure_kind::answer_incomplete, run_state::unknown, out);
        return;
    }
    out.emplace_back(count{"orders_answered_from_record_total", r.input.pool, 1});
    answer_request(state, r, done.status, done.content_type, done.body, out);
}

//-----------------------------------------------------------------------------
// [SECTION] Claim results
//-----------------------------------------------------------------------------

enum class claim_owner : std::uint8_t { none, void_claim, own_latest, own_unassigned, other };

claim_owner owner_of(const order_progress& order, const order_entry* intent) {
    if (intent == nullptr) return claim_owner::none;
    if (!order.nonce.empty() && intent->nonce == order.nonce) return claim_owner::own_latest;
    if (is_own_unassigned(order, intent->nonce)) return claim_owner::own_unassigned;
    if (intent->sidecar.empty()) return claim_owner::void_claim;
    return claim_owner::other;
}

// Refuses the request if its record holds a claim with another body, answers it from an outcome, and starts
// to seal it if another router holds the claim. Returns whether one of these applied.
bool settle_from_record(router_state& state, request& r, const resolved_order& view, effects& out) {
    if (view.intent == nullptr) return false;
    const order_entry intent = *view.intent;
    const bool is_void = intent.sidecar.empty();
    if (!is_void && intent.body_hash != r.order->body_hash) {
        decline_pull(r, out);
        refuse_request(state, r, failure_kind::key_reused, run_state::not_run, out);
        return true;
    }
    if (view.done != nullptr) {
        const order_entry done = *view.done;
        decline_pull(r, out);
        answer_from_outcome(state, r, done, out);
        return true;
    }
    if (owner_of(*r.order, view.intent) == claim_owner::other) {
        decline_pull(r, out);
        start_sealing(state, r, intent, out);
        return true;
    }
    return false;
}

void on_record_read(router_state& state, request& r, const append_result& result, effects& out) {
    if (!result.known) {
        look_up_record(state, r, out); // until the deadline: orders wait while the store is down
        return;
    }
    const resolved_order view = resolve_order(result.entries, r.order->key);
    if (settle_from_record(state, r, view, out)) return;
    if (view.intent != nullptr) {
        if (!sealed_before_sending(state, r, result.void_age_us)) {
            // The caller may have been told "not_run" since it sent this request, which must not run then.
            refuse_order(state, r, failure_kind::order_store_unavailable, out);
            return;
        }
        r.order->prior_void_claims.push_back(view.intent->nonce);
        r.order->supersedes = view.intent->nonce;
    }
    r.order->unseals = view.seals;
    requeue(state, r, duration{}, out);
}

// Handles the record read while the sidecar named in the claim has no link.
void on_record_reread(router_state& state, request& r, const append_result& result, effects& out) {
    if (!result.known) return;
    const resolved_order view = resolve_order(result.entries, r.order->key);
    if (view.intent == nullptr) return;
    const bool same = view.done == nullptr && view.intent->nonce == r.order->competing_claim.nonce;
    if (same || settle_from_record(state, r, view, out)) return;
    // A void claim: another router has told the caller "not_run" since this request arrived.
    r.order->supersedes = view.intent->nonce;
    refuse_order(state, r, failure_kind::order_store_unavailable, out);
}

void on_claim_result(router_state& state, request& r, const append_result& result, effects& out) {
    order_progress& order = *r.order;
    constexpr duration retry_delay = 100ms; // after a claim with an unknown result
    if (!result.known) {
        order.unassigned_claims.push_back(order.nonce);
        decline_pull(r, out);
        out.emplace_back(count{"claims_unanswered_total", r.input.pool, 1});
        requeue(state, r, retry_delay, out);
        return;
    }
    const resolved_order view = resolve_order(result.entries, order.key);
    if (settle_from_record(state, r, view, out)) return;
    switch (owner_of(order, view.intent)) {
    case claim_owner::own_latest: {
        const link_id link = r.link;
        if (link == 0) {
            // The link of the pull has closed: the next claim supersedes this one, which stays unused.
            order.unassigned_claims.push_back(order.nonce);
            order.supersedes = order.nonce;
            requeue(state, r, duration{}, out);
            return;
        }
        assign_request(state, r, link, r.pull_id, out);
        return;
    }
    case claim_owner::void_claim:
        if (std::ranges::find(order.prior_void_claims, view.intent->nonce) == order.prior_void_claims.end()) {
            // Voided after this request arrived: another router has told the caller "not_run".
            order.supersedes = view.intent->nonce;
            refuse_order(state, r, failure_kind::order_store_unavailable, out);
            return;
        }
        [[fallthrough]];
    default:
        // The next claim supersedes an own claim that was never assigned.
        order.unassigned_claims.push_back(order.nonce);
        order.supersedes = view.intent == nullptr ? nonce_id{} : view.intent->nonce;
        decline_pull(r, out);
        requeue(state, r, duration{}, out);
        return;
    }
}

//-----------------------------------------------------------------------------
// [SECTION] Refusals
//-----------------------------------------------------------------------------

void finish_refusal(router_state& state, request& r, run_state run, effects& out) {
    const failure_kind kind =
        run == run_state::unknown ? failure_kind::order_outcome_unknown : r.order->refusal_reason;
    refuse_request(state, r, kind, run, out);
}

// Whether this router knows every sidecar of the pool that may have run since the key was created.
bool knows_all_sidecars(const router_state& state, const request& r) {
    const auto created = uuid_v7_time(r.order->key);
    if (!created || !state.vm_list_known) return false;
    const time_point since = *created - state.settings.orders.max_clock_skew;
    if (state.started > since) return false;
    for (const auto& [incarnation, seen] : state.known_sidecars) {
        if (seen.pool == r.input.pool && !seen.linked && seen.lost_at >= since) return false;
    }
    return std::ranges::all_of(state.vms, [&](const vm_entry& vm) {
        return vm.role != process_role::sidecar || vm.pool != r.input.pool ||
               find_peer_by_name(state.members, vm.name) != nullptr;
    });
}

void start_seal_poll(router_state& state, request& r, effects& out) {
    order_progress& order = *r.order;
    if (order.polling_seals || !knows_all_sidecars(state, r)) {
        finish_refusal(state, r, run_state::unknown, out);
        return;
    }
    order.polling_seals = true;
    order.seal_poll_started = state.now;
    order.first_seal_call = state.next_call;
    set_seal_timer(state, r, state.now + state.settings.claim_timeout);
    for (const auto& [incarnation, seen] : state.known_sidecars) {
        if (seen.pool != r.input.pool || !seen.linked) continue;
        const peer* sidecar = find_peer_by_incarnation(state.members, incarnation);
        if (sidecar == nullptr) continue;
        order.unconfirmed_seals.push_back(incarnation);
        out.emplace_back(send_message{sidecar->link, seal{state.next_call++, order.key}});
    }
    if (order.unconfirmed_seals.empty()) finish_refusal(state, r, run_state::unknown, out);
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
    ++order.void_claim_writes;
    submit_entry(state, &r, entry, false, out);
}

void on_void_claim_result(router_state& state, request& r, const append_result& result, effects& out) {
    order_progress& order = *r.order;
    if (!result.known) {
        start_seal_poll(state, r, out);
        return;
    }
    const resolved_order view = resolve_order(result.entries, order.key);
    const claim_owner owner = owner_of(order, view.intent);
    constexpr std::uint32_t max_void_claim_writes = 4; // other routers may write void claims at the same time
    // A void claim of another router does not prove that the order will not run: a request that has read the
    // claim may supersede it.
    const bool may_supersede = owner == claim_owner::own_unassigned || owner == claim_owner::void_claim;
    if (view.done != nullptr) {
        settle_from_record(state, r, view, out);
    } else if (owner == claim_owner::own_latest) {
        finish_refusal(state, r, run_state::not_run, out);
    } else if (may_supersede && order.void_claim_writes < max_void_claim_writes) {
        order.supersedes = view.intent->nonce;
        write_void_claim(state, r, out);
    } else {
        // Another router may be running the order, or several routers write void claims at the same time: the
        // caller has to retry.
        finish_refusal(state, r, run_state::unknown, out);
    }
}

//-----------------------------------------------------------------------------
// [SECTION] Peers and store
//-----------------------------------------------------------------------------

void on_append_result(router_state& state, const append_result& result, effects& out) {
    const auto received = state.received_claims.find(result.ticket);
    if (received != state.received_claims.end()) {
        const auto [link, call] = received->second;
        state.received_claims.erase(received);
        out.emplace_back(send_message{link, claim_reply{call, result.known, result.may_be_written,
                                                        result.entries, result.void_age_us}});
        return;
    }
    state.forwarded_claims.erase(result.ticket);
    const auto ticket = state.by_ticket.find(result.ticket);
    if (ticket == state.by_ticket.end()) return;
    const request_ptr r = find_request(state, ticket->second);
    state.by_ticket.erase(ticket);
    if (!r || !r->order || r->order->ticket != result.ticket) return;
    switch (r->phase) {
    case request_phase::reading_record:
        on_record_read(state, *r, result, out);
        return;
    case request_phase::claiming:
        on_claim_result(state, *r, result, out);
        return;
    case request_phase::sealing:
        on_record_reread(state, *r, result, out);
        return;
    case request_phase::refusing:
        on_void_claim_result(state, *r, result, out);
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

void open_order(router_state& state, request& r, effects& out) { look_up_record(state, r, out); }

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
    submit_entry(state, &r, entry, false, out);
}

void record_outcome(router_state& state, const request& r, std::uint32_t status,
                    std::string_view content_type, std::string_view body, effects& out) {
    order_entry entry;
    entry.status = status;
    entry.content_type = content_type;
    entry.body_kept = body.size() <= state.settings.orders.max_stored_body;
    if (entry.body_kept) entry.body = body;
    write_outcome(state, r, r.order->nonce, entry, out);
}

bool may_send_order(const router_state& state, const peer& sidecar, const request& r) {
    // A sidecar that started later lacks earlier seals, on which a "not_run" answer may have been based.
    const auto seen = state.known_sidecars.find(sidecar.identity.incarnation);
    return seen != state.known_sidecars.end() && seen->second.started_by <= r.order->earliest_sent;
}

bool order_writes_idle(const router_state& state) {
    return state.forwarded_claims.empty() && state.received_claims.empty() && is_idle(state.orders);
}

//-----------------------------------------------------------------------------
// [SECTION] Seals
//-----------------------------------------------------------------------------

void on_seal_reply(router_state& state, link_id link, const seal_reply& reply, effects& out) {
    const peer* sidecar = find_peer(state.members, link);
    if (sidecar == nullptr) return;
    std::vector<request_ptr> concerned;
    for (auto it = state.by_order.lower_bound({reply.key, {}}); it != state.by_order.end(); ++it) {
        if (it->first != reply.key) break;
        concerned.push_back(find_request(state, it->second));
    }
    for (const request_ptr& r : concerned) {
        order_progress& order = *r->order;
        if (reply.call < order.first_seal_call) continue;
        if (r->phase == request_phase::refusing && order.polling_seals) {
            if (reply.state != seal_state::sealed) {
                finish_refusal(state, *r, run_state::unknown, out);
                continue;
            }
            // Another request with the same key may have asked for the seal in order to claim the order
            // again. Only a seal for a refusal counts, and only if it is not older than the poll.
            const auto seal_poll_age =
                static_cast<std::uint64_t>((state.now - order.seal_poll_started).count());
            if (reply.age_us > seal_poll_age) continue;
            std::erase(order.unconfirmed_seals, sidecar->identity.incarnation);
            if (order.unconfirmed_seals.empty()) finish_refusal(state, *r, run_state::not_run, out);
            continue;
        }
        if (r->phase != request_phase::sealing ||
            order.competing_claim.sidecar != sidecar->identity.incarnation)
            continue;
        if (reply.state == seal_state::running) continue; // a timer repeats the seal request
        if (reply.state == seal_state::finished) {
            order_entry done;
            done.status = reply.status;
            done.content_type = reply.content_type;
            done.body = reply.body;
            done.body_kept = reply.body_kept;
            // The router that held the claim may have stopped before it wrote the outcome.
            write_outcome(state, *r, order.competing_claim.nonce, done, out);
            answer_from_outcome(state, *r, done, out);
            continue;
        }
        order.supersedes = order.competing_claim.nonce;
        order.unseals.push_back(reply.id);
        if (!sealed_before_sending(state, *r, reply.age_us)) {
            refuse_order(state, *r, failure_kind::order_store_unavailable, out);
            continue;
        }
        requeue(state, *r, duration{}, out);
    }
}

void on_sealed_attempt(router_state& state, request& r, const finish& end, effects& out) {
    order_progress& order = *r.order;
    order.unassigned_claims.push_back(order.nonce);
    order.supersedes = order.nonce;
    if (sealed_before_sending(state, r, end.seal_age_us)) {
        order.unseals.push_back(*end.sealed_by);
        requeue(state, r, duration{}, out);
        return;
    }
    // Sealed after this request arrived: another router may have told the caller "not_run".
    refuse_order(state, r, failure_kind::order_store_unavailable, out);
}

void refuse_order(router_state& state, request& r, failure_kind kind, effects& out) {
    if (r.phase == request_phase::refusing) return;
    dequeue(state, r);
    if (r.phase == request_phase::claiming) {
        r.order->unassigned_claims.push_back(r.order->nonce);
        decline_pull(r, out);
    }
    state.deadlines.erase({r.deadline, r.id});
    state.by_ticket.erase(r.order->ticket);
    // A request that leaves `running` counts as waiting until it is removed.
    if (r.phase == request_phase::running) ++state.waiting_by_account[{r.account, r.input.pool}];
    r.phase = request_phase::refusing;
    ++state.pending_refusals;
    r.order->refusal_reason = kind;
    if (state.pending_refusals > state.settings.max_pending_refusals) {
        finish_refusal(state, r, run_state::unknown, out);
        return;
    }
    write_void_claim(state, r, out);
}

//-----------------------------------------------------------------------------
// [SECTION] Peers and store
//-----------------------------------------------------------------------------

void on_claim(router_state& state, link_id link, const claim& message, effects& out) {
    if (state.stopping) {
        out.emplace_back(send_message{link, claim_reply{message.call, false, false, {}, 0}});
        return;
    }
    const std::uint64_t ticket = state.next_ticket++;
    state.received_claims[ticket] = {link, message.call};
    append_locally(state, ticket, message.entry, message.read_only, state.now + state.settings.claim_timeout,
                   out);
}

void on_claim_reply(router_state& state, const claim_reply& reply, effects& out) {
    const auto forwarded = state.forwarded_claims.find(reply.call);
    if (forwarded == state.forwarded_claims.end()) return; // this router has already written the entry itself
    if (!reply.known) {
        // The shard's router cannot reach the store, but this one may.
        forwarded->second.fallback_at = state.now;
        return;
    }
    on_append_result(state, {reply.call, reply.known, reply.may_be_written, reply.entries, reply.void_age_us},
                     out);
}

void on_order_store_reply(router_state& state, const store_reply& reply, effects& out) {
    if (reply.result == failure_kind::none || reply.result == failure_kind::store_conflict) {
        state.store_reached_at = state.now;
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
        // The claim is still being written: with its result the request is queued for another pull.
        if (r && r->phase == request_phase::claiming && r->link == link) r->link = 0;
    }
    std::erase_if(state.received_claims, [&](const auto& received) { return received.second.link == link; });
}

//-----------------------------------------------------------------------------
// [SECTION] Timers
//-----------------------------------------------------------------------------

void on_orders_tick(router_state& state, effects& out) {
    // A sidecar lost before the oldest key that is still accepted was created cannot have sent such an order.
    const duration key_life = state.settings.orders.max_key_age + 2 * state.settings.orders.max_clock_skew;
    std::erase_if(state.known_sidecars, [&](const auto& entry) {
        return !entry.second.linked && entry.second.lost_at + key_life < state.now;
    });
    std::vector<append_result> results;
    on_tick(state.orders, state.now, out, results);
    on_append_results(state, results, out);
    for (auto it = state.forwarded_claims.begin(); it != state.forwarded_claims.end();) {
        if (it->second.fallback_at > state.now) {
            ++it;
            continue;
        }
        const auto [ticket, forwarded] = *it;
        it = state.forwarded_claims.erase(it);
        append_locally(state, ticket, forwarded.entry, forwarded.lookup, forwarded.deadline, out);
    }
    while (!state.seal_timers.empty() && state.seal_timers.begin()->first <= state.now) {
        const request_ptr r = find_request(state, state.seal_timers.begin()->second);
        state.seal_timers.erase(state.seal_timers.begin());
        if (!r) continue;
        if (r->phase == request_phase::sealing) request_seal(state, *r, out);
        if (r->phase == request_phase::refusing && r->order->polling_seals) {
            finish_refusal(state, *r, run_state::unknown, out);
        }
    }
}

} // namespace damaskhill::detail
