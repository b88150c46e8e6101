// Parts of the router's reducer, by concern. Not for use outside the router.
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
void on_caller_gone(router_state& state, const caller_disconnected& input, effects& out);
void on_pull(router_state& state, link_id link, const pull& asked, effects& out);
void on_chunk(router_state& state, const chunk& piece, effects& out);
void on_finish(router_state& state, link_id link, const finish& end, effects& out);
void on_requests_tick(router_state& state, effects& out);
/// Puts the request (back) into its queue, after `not_before` if that is in the future.
void enqueue(router_state& state, request& r, effects& out);
/// Takes the request out of its queue, if it is in one.
void dequeue(router_state& state, request& r);
/// Gives the request to the sidecar that has pulled.
void assign_request(router_state& state, request& r, link_id link, std::uint64_t pull_id, effects& out);
/// Every attempt on the link has failed.
void fail_attempts_on(router_state& state, link_id link, effects& out);
/// Ends the request with a refusal; orders use refuse_order.
void refuse_request(router_state& state, request& r, failure_kind kind, run_state run, effects& out);
/// Ends the request with a whole answer or the end of its stream.
void answer_request(router_state& state, request& r, std::uint32_t status, std::string_view content_type,
                    std::string_view body, effects& out);
/// Refuses a request that has no state yet.
void refuse_caller(caller_id caller, request_id id, failure_kind kind, run_state run, std::string detail,
                   effects& out);
[[nodiscard]] std::uint32_t retry_after_s(failure_kind kind);

//-----------------------------------------------------------------------------
// [SECTION] Reservations and fairness
//-----------------------------------------------------------------------------

/// Tells the sidecars that should hear of a new request at once.
void announce_new_request(router_state& state, const queue_key& key, std::uint64_t prefix_hash,
                          std::string_view first_version, effects& out);
/// Tells a sidecar that has just linked about everything that waits for its pool.
void announce_all_queues(router_state& state, link_id link, effects& out);
/// Notes that a sidecar has pulled from the queue, and whether it was given a request.
void record_pull(router_state& state, const queue_key& key, link_id link, bool answered);
/// Sends the rows of changed queues to every eligible sidecar.
void flush_reservations(router_state& state, effects& out);
/// Whether the sidecar may be given new work.
[[nodiscard]] bool is_eligible(const router_state& state, const peer& sidecar);
void charge_service(router_state& state, const request& r, double units);
void on_fairness_tick(router_state& state, effects& out);
void on_service_report(router_state& state, link_id link, const service_report& report, effects& out);
void on_service_total(router_state& state, const service_total& total, effects& out);

//-----------------------------------------------------------------------------
// [SECTION] Orders
//-----------------------------------------------------------------------------

/// Starts an order: reads its record before it waits.
void open_order(router_state& state, request& r, effects& out);
/// Writes the claim that allows the sidecar that has pulled to send the order.
void claim_order(router_state& state, request& r, link_id link, std::uint64_t pull_id, effects& out);
/// Ends an order with a refusal whose run state is true.
void refuse_order(router_state& state, request& r, failure_kind kind, effects& out);
/// The sidecar refused the order because it is sealed there.
void on_sealed_attempt(router_state& state, request& r, const finish& end, effects& out);
/// Writes the outcome of an order into its record.
void record_outcome(router_state& state, const request& r, std::uint32_t status,
                    std::string_view content_type, std::string_view body, effects& out);
/// Whether the sidecar knows of every seal that was given since the caller sent the order.
[[nodiscard]] bool may_send_order(const router_state& state, const peer& sidecar, const request& r);
/// Whether no claim or outcome is on its way to a record.
[[nodiscard]] bool order_writes_idle(const router_state& state);
void on_claim(router_state& state, link_id link, const claim& asked, effects& out);
void on_claim_reply(router_state& state, const claim_reply& reply, effects& out);
void on_seal_reply(router_state& state, link_id link, const seal_reply& reply, effects& out);
void on_order_store_reply(router_state& state, const store_reply& reply, effects& out);
void on_orders_tick(router_state& state, effects& out);
/// A pull that waited for a claim can no longer be served because its link closed.
void on_orders_link_closed(router_state& state, link_id link, effects& out);

//-----------------------------------------------------------------------------
// [SECTION] Answers
//-----------------------------------------------------------------------------

/// Keeps a finished answer here and at the routers that rendezvous hashing names.
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

void on_config_watched(router_state& state, const config_watch_result& watched, effects& out);
void on_config_push(router_state& state, link_id link, const config_push& push, effects& out);
void on_config_pull(router_state& state, link_id link, const config_pull& asked, effects& out);
/// Notes revisions that a peer has in force. Asks neighbours for those that are newer than the own ones: a
/// sidecar has them without accounts only.
void record_newer_revisions(router_state& state, std::span<const team_revision> theirs, effects& out);
/// Compares the digest of a router's heartbeat with the own one and asks for what differs.
void compare_digest(router_state& state, peer& p, const heartbeat& beat, effects& out);
/// Digest of the revisions that this peer should have in force.
[[nodiscard]] std::uint32_t digest_for(const router_state& state, const peer& p);
/// Tells a peer the own digest; sidecars then ask one router for what they lack.
void send_heartbeat(router_state& state, peer& p, effects& out, std::vector<team_revision> changed = {});
void on_config_tick(router_state& state, effects& out);
/// Notes what a restarted router has learnt from a peer before it is ready.
void record_bootstrap_reply(router_state& state, link_id link, const config_push& push);
void record_bootstrap_reply(router_state& state, link_id link, const facts& received);
/// Whether the router has taken over what its peers know, or has waited long enough.
[[nodiscard]] bool is_bootstrapped(router_state& state, effects& out);
void on_facts(router_state& state, link_id from, const facts& received, effects& out);
void on_facts_reply(router_state& state, const facts_reply& reply, effects& out);
[[nodiscard]] facts all_facts(const router_state& state);
/// Notes a crash of the target while the attempt was in flight.
void record_target_crash(router_state& state, const request& r, attempt_id attempt, bool alone, effects& out);
/// What the targets of a version may be given.
enum class version_access : std::uint8_t {
    closed,  // nothing
    exposed, // requests that were chosen for exposure
    ramping, // as exposed, and requests for which no other target has room
    open     // everything
};
[[nodiscard]] version_access access_of(const router_state& state, std::string_view pool,
                                       std::string_view version);
/// Whether the request may run on a target of this version now.
[[nodiscard]] bool may_run_on(const router_state& state, const request& r, std::string_view version);
/// Chooses whether a request that begins to wait may run on the new version of a move. Returns the version
/// whose targets should hear of it first; empty: any that takes everything.
[[nodiscard]] std::string choose_exposure(router_state& state, request& r);
/// Whether a sidecar should hear at once of a request for which choose_exposure returned `first`.
[[nodiscard]] bool is_announced_at_once(const router_state& state, const peer& sidecar,
                                        std::string_view first);
/// Requests of the queue that the sidecar may be told of.
[[nodiscard]] std::uint32_t count_announceable(const router_state& state, const peer& sidecar,
                                               const request_queue& queue);
/// Counts the start of an attempt on a target of this version.
void record_version_start(router_state& state, request& r, std::string_view version);
/// Sends all own evidence to a router that has just linked.
void send_all_evidence(router_state& state, link_id link, effects& out);
void record_version_outcome(router_state& state, const request& r, const finish& end, effects& out);
void on_evidence(router_state& state, const evidence& received, effects& out);
void on_versions_tick(router_state& state, effects& out);

//-----------------------------------------------------------------------------
// [SECTION] Peers
//-----------------------------------------------------------------------------

void on_peers_tick(router_state& state, effects& out);
/// Notes the messages among the effects, from which the heartbeat period of each link follows.
void record_sent_messages(router_state& state, std::span<const effect> sent);
void record_received_message(router_state& state, peer& sender, const peer_message& message);
void on_link_opened(router_state& state, const link_opened& opened, effects& out);
void on_link_closed(router_state& state, link_id link, effects& out);
void on_hello(router_state& state, link_id link, const hello& greeting, effects& out);
void on_heartbeat(router_state& state, link_id link, const heartbeat& beat, effects& out);
void on_vm_list(router_state& state, const vm_list& list, effects& out);
/// Sends a message to every greeted router.
void send_to_routers(const router_state& state, const peer_message& message, effects& out,
                     link_id except = 0);

} // namespace damaskhill::detail
