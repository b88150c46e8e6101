// Internal interface between the source files of the router's reducer.
//
// Index of this file:
// [SECTION] Requests
// [SECTION] Reservations and fairness
// [SECTION] Orders
// [SECTION] Answers
// [SECTION] Configuration, facts and versions
// [SECTION] Peers

#pragma once

#include "damaskhill_router.hpp"

namespace damaskhill::detail {

//-----------------------------------------------------------------------------
// [SECTION] Requests
//-----------------------------------------------------------------------------

[[nodiscard]] request_ptr find_request(router_state& state, request_id id);
void on_caller_request(router_state& state, const caller_request& input, effects& out);
void on_caller_malformed(router_state& state, const caller_malformed& input, effects& out);
void on_caller_disconnected(router_state& state, const caller_disconnected& input, effects& out);
void on_pull(router_state& state, link_id link, const pull& message, effects& out);
void on_chunk(router_state& state, const chunk& piece, effects& out);
void on_finish(router_state& state, link_id link, const finish& end, effects& out);
void on_requests_tick(router_state& state, effects& out);
/// Puts the request into its queue, at `not_before` if that is in the future.
void enqueue(router_state& state, request& r, effects& out);
/// Removes the request from its queue, if it is in one.
void dequeue(router_state& state, request& r);
/// Assigns the request to the sidecar that has pulled.
void assign_request(router_state& state, request& r, link_id link, std::uint64_t pull_id, effects& out);
/// Fails every attempt on the link.
void fail_attempts_on(router_state& state, link_id link, effects& out);
/// Ends the request with a refusal. Orders use refuse_order instead.
void refuse_request(router_state& state, request& r, failure_kind kind, run_state run, effects& out);
/// Ends the request with a complete answer or the end of its stream.
void answer_request(router_state& state, request& r, std::uint32_t status, std::string_view content_type,
                    std::string_view body, effects& out);
/// Refuses a request for which no state exists yet.
void refuse_caller(caller_id caller, request_id id, failure_kind kind, run_state run, std::string detail,
                   effects& out);
/// Value of the Retry-After header of a refusal, seconds; 0: no header.
[[nodiscard]] std::uint32_t retry_after_s(failure_kind kind);

//-----------------------------------------------------------------------------
// [SECTION] Reservations and fairness
//-----------------------------------------------------------------------------

/// Announces a queue that a request has entered to the sidecars chosen by placement.
void announce_new_request(router_state& state, const queue_key& key, std::uint64_t prefix_hash,
                          std::string_view first_version, effects& out);
/// Announces all queues of its pool to a sidecar that has linked or become eligible.
void announce_all_queues(router_state& state, link_id link, effects& out);
/// Updates the announced row after a pull. `answered`: the sidecar received a request.
void record_pull(router_state& state, const queue_key& key, link_id link, bool answered);
/// Sends the rows of changed queues to the eligible sidecars.
void flush_reservations(router_state& state, effects& out);
/// Whether the sidecar may receive new work.
[[nodiscard]] bool is_eligible(const router_state& state, const peer& sidecar);
void charge_service(router_state& state, const request& r, double units);
void on_fairness_tick(router_state& state, effects& out);
/// Merges a report and replies with the totals of the accounts that wait. `link`: 0 for the own report.
void on_service_report(router_state& state, link_id link, const service_report& report, effects& out);
void on_service_total(router_state& state, const service_total& total, effects& out);

//-----------------------------------------------------------------------------
// [SECTION] Orders
//-----------------------------------------------------------------------------

/// Starts an order by reading its record, before it is queued.
void open_order(router_state& state, request& r, effects& out);
/// Writes the claim that lets the sidecar that has pulled send the order to its target.
void claim_order(router_state& state, request& r, link_id link, std::uint64_t pull_id, effects& out);
/// Ends an order with a refusal, after confirming whether the order has run.
void refuse_order(router_state& state, request& r, failure_kind kind, effects& out);
/// Handles a sidecar's refusal of an order that is sealed there.
void on_sealed_attempt(router_state& state, request& r, const finish& end, effects& out);
/// Writes the outcome of an order into its record.
void record_outcome(router_state& state, const request& r, std::uint32_t status,
                    std::string_view content_type, std::string_view body, effects& out);
/// Whether the sidecar has run since the caller sent the order, so that it knows all seals set since.
[[nodiscard]] bool may_send_order(const router_state& state, const peer& sidecar, const request& r);
/// Whether no claim or outcome is being written to a record.
[[nodiscard]] bool order_writes_idle(const router_state& state);
void on_claim(router_state& state, link_id link, const claim& message, effects& out);
void on_claim_reply(router_state& state, const claim_reply& reply, effects& out);
void on_seal_reply(router_state& state, link_id link, const seal_reply& reply, effects& out);
void on_order_store_reply(router_state& state, const store_reply& reply, effects& out);
void on_orders_tick(router_state& state, effects& out);
/// Drops the pulls and the claims of other routers that came over the closed link.
void on_orders_link_closed(router_state& state, link_id link, effects& out);

//-----------------------------------------------------------------------------
// [SECTION] Answers
//-----------------------------------------------------------------------------

/// Caches a finished answer here and on the routers chosen by rendezvous hashing.
void cache_finished_answer(router_state& state, const request& r, std::uint32_t status,
                           std::string_view content_type, std::string_view body, effects& out);
void on_fetch(router_state& state, const caller_request& input, account_id account, effects& out);
void on_answer_put(router_state& state, const answer_put& put);
void on_answer_get(router_state& state, link_id link, const answer_get& get, effects& out);
void on_answer_value(router_state& state, const answer_value& value, effects& out);
void on_answers_tick(router_state& state, effects& out);

//-----------------------------------------------------------------------------
// [SECTION] Configuration, facts and versions
//-----------------------------------------------------------------------------

void on_config_watch_result(router_state& state, const config_watch_result& watched, effects& out);
void on_config_push(router_state& state, link_id link, const config_push& push, effects& out);
void on_config_pull(router_state& state, link_id link, const config_pull& message, effects& out);
/// Records revisions that a peer has in force. Pulls newer ones from neighbouring routers, since a sidecar
/// has declarations without accounts.
void record_newer_revisions(router_state& state, std::span<const team_revision> theirs, effects& out);
/// Compares the digest in a router's heartbeat with the own one and pulls the differences.
void compare_digest(router_state& state, peer& p, const heartbeat& beat, effects& out);
/// Digest of the revisions that the peer should have in force.
[[nodiscard]] std::uint32_t digest_for(const router_state& state, const peer& p);
/// Sends the own digest and the changed revisions to a peer, which pulls what it lacks.
void send_heartbeat(router_state& state, peer& p, effects& out, std::vector<team_revision> changed = {});
void on_config_tick(router_state& state, effects& out);
/// Counts a peer's reply to this router while it bootstraps.
void record_bootstrap_reply(router_state& state, link_id link, const config_push& push);
void record_bootstrap_reply(router_state& state, link_id link, const facts& received);
/// Whether enough peers have sent their state after a restart, or the timeouts have passed.
[[nodiscard]] bool is_bootstrapped(router_state& state, effects& out);
void on_facts(router_state& state, link_id from, const facts& received, effects& out);
void on_facts_reply(router_state& state, const facts_reply& reply, effects& out);
[[nodiscard]] facts all_facts(const router_state& state);
/// Records that the target crashed while the attempt was in flight. `alone`: nothing else ran on it.
void record_target_crash(router_state& state, const request& r, attempt_id attempt, bool alone, effects& out);
/// Requests that targets of a version may receive.
enum class version_access : std::uint8_t {
    closed,  // none
    exposed, // those chosen for exposure
    ramping, // those chosen for exposure, and those for which no other target has room
    open     // all
};
[[nodiscard]] version_access access_of(const router_state& state, std::string_view pool,
                                       std::string_view version);
/// Whether the request may run on a target of this version now.
[[nodiscard]] bool may_run_on(const router_state& state, const request& r, std::string_view version);
/// Decides whether a request that enters its queue may run on the new version of a move. Returns the version
/// whose targets it is announced to first; empty: targets of every version with open access.
[[nodiscard]] std::string choose_exposure(router_state& state, request& r);
/// Whether a request for which choose_exposure returned `first` is announced to the sidecar at once.
[[nodiscard]] bool is_announced_at_once(const router_state& state, const peer& sidecar,
                                        std::string_view first);
/// Number of requests of the queue that may be announced to the sidecar.
[[nodiscard]] std::uint32_t count_announceable(const router_state& state, const peer& sidecar,
                                               const request_queue& queue);
/// Updates the exposure credit at the start of an attempt on a target of this version.
void record_version_start(router_state& state, request& r, std::string_view version);
/// Sends all own evidence over the link.
void send_all_evidence(router_state& state, link_id link, effects& out);
void record_version_outcome(router_state& state, const request& r, const finish& end, effects& out);
void on_evidence(router_state& state, const evidence& received, effects& out);
void on_versions_tick(router_state& state, effects& out);

//-----------------------------------------------------------------------------
// [SECTION] Peers
//-----------------------------------------------------------------------------

void on_peers_tick(router_state& state, effects& out);
/// Updates the send times of the links, on which their heartbeat periods depend.
void record_sent_messages(router_state& state, std::span<const effect> sent);
void record_received_message(router_state& state, peer& sender, const peer_message& message);
void on_link_opened(router_state& state, const link_opened& opened, effects& out);
void on_link_closed(router_state& state, link_id link, effects& out);
void on_hello(router_state& state, link_id link, const hello& message, effects& out);
void on_heartbeat(router_state& state, link_id link, const heartbeat& beat, effects& out);
void on_vm_list(router_state& state, const vm_list& list, effects& out);
/// Sends a message to every linked router.
void send_to_routers(const router_state& state, const peer_message& message, effects& out,
                     link_id except = 0);

} // namespace damaskhill::detail
