// Router: terminates callers' requests, queues them, and assigns them to sidecars that pull work.
//
// Index of this file:
// [SECTION] Settings
// [SECTION] Requests
// [SECTION] State
// [SECTION] Reducer

#pragma once

#include "damaskhill_answers.hpp"
#include "damaskhill_fairness.hpp"
#include "damaskhill_membership.hpp"
#include "damaskhill_orders.hpp"
#include "damaskhill_placement.hpp"
#include "damaskhill_quarantine.hpp"
#include "damaskhill_retry.hpp"
#include "damaskhill_versions.hpp"

#include <boost/intrusive/list.hpp>
#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

namespace damaskhill {

//-----------------------------------------------------------------------------
// [SECTION] Settings
//-----------------------------------------------------------------------------

struct router_settings {
    std::string name; // unique name of the VM
    std::string data_centre;
    incarnation_id incarnation; // random, new at each start
    std::uint64_t seed{1};      // for identifiers and jitter
    membership_settings membership;
    ledger_settings ledger;
    order_settings orders;
    retry_settings retry;
    placement_settings placement;
    answer_cache_settings answers;
    quarantine_settings quarantine;
    verdict_settings verdict;
    duration interactive_timeout{30s}; // for a request without a timeout of its own
    duration batch_timeout{600s};
    duration reservation_period{100ms}; // between batches of rows for queues that changed
    /// Time before a row is repeated to a sidecar that still holds one for the queue.
    duration reservation_refresh{500ms};
    /// Time without the store and without most peers after which the router refuses new work.
    duration isolation_limit{3s};
    duration vm_list_period{1s};
    /// How long a restarted router that reaches no peer waits before it is ready.
    duration bootstrap_timeout{3s};
    /// How long a restarted router waits for peers that do not answer.
    duration bootstrap_hard_timeout{10s};
    duration watch_timeout{5s}; // after which a watch without a reply counts as failed
    duration drain_limit{30s};  // after which a stopping router abandons the requests that still run
    /// Requests that still wait this long before drain_limit are refused, since refusing an order takes store
    /// calls.
    duration drain_reserve{4s};
    /// A longer gap between events counts as a pause of the process. Ticks arrive every 10 ms.
    duration pause_threshold{50ms};
    /// Time after a pause during which arriving requests may have been sent before or during the pause.
    duration catch_up_period{1s};
    duration claim_timeout{1500ms};   // of one claim of an order
    duration seal_poll_period{300ms}; // between two seal requests for a running order
    /// Total size of the bodies of all requests in progress; half of the memory allotted to the daemon.
    std::size_t body_bytes_limit{64U << 20U};
    std::size_t links_per_pool{16};         // sidecars of one pool to which this router opens links
    std::size_t max_pending_refusals{1024}; // orders whose refusal is still being confirmed
};

//-----------------------------------------------------------------------------
// [SECTION] Requests
//-----------------------------------------------------------------------------

enum class request_phase : std::uint8_t {
    reading_record, // orders: the record is being read
    waiting,        // queued for a sidecar
    claiming,       // orders: a sidecar has pulled, and the claim is being written
    running,        // assigned to a sidecar
    sealing,        // orders: another claim exists, and its sidecar is asked to seal the order
    refusing        // orders: the refusal is being confirmed
};

/// Progress of an order, a request that must run at most once.
struct order_progress {
    order_key key; // scoped by account
    std::uint64_t body_hash{};
    nonce_id nonce;                          // of the latest claim of this router
    std::vector<nonce_id> unassigned_claims; // own claims that were never sent to a sidecar
    /// Void claims found in the record at arrival. A void claim names no sidecar, so nobody may send the
    /// order.
    std::vector<nonce_id> prior_void_claims;
    nonce_id supersedes;          // claim that the next one replaces
    std::vector<seal_id> unseals; // seals that the next claim lists, so that they do not block it
    order_entry competing_claim;  // sealing: claim of another router
    std::uint64_t ticket{};       // of the append or lookup in progress
    time_point next_seal{};
    std::uint64_t first_seal_call{}; // replies to earlier seal requests are ignored
    time_point next_lookup{};        // sealing: next read of the record while the sidecar has no link
    time_point earliest_sent{};      // lower bound of the time at which the caller sent it
    std::uint32_t void_claim_writes{};
    time_point seal_poll_started{}; // refusing
    failure_kind refusal_reason{failure_kind::none};
    bool polling_seals{}; // refusing: all sidecars of the pool are asked to seal the order
    std::vector<incarnation_id> unconfirmed_seals; // refusing: sidecars that have not replied
};

using request_hook = boost::intrusive::list_member_hook<>;

/// Request of a caller, from its arrival until its answer.
struct request : boost::intrusive_ref_counter<request, boost::thread_unsafe_counter> {
    caller_request input;
    request_id id;
    account_id account;
    request_class cls{request_class::interactive};
    request_phase phase{request_phase::waiting};
    std::string version;         // on which the latest attempt ran
    std::string exposed_to;      // new version on which it may run before the move is complete
    bool counted_for_exposure{}; // its start has added to the exposure credit
    std::uint64_t crash_hash{};
    double cost_hint{};     // service units
    double charged_units{}; // for the current attempt, service units
    time_point arrived_at{};
    time_point queued_at{}; // when it last entered a queue
    time_point deadline{};
    time_point not_before{};  // earliest next attempt
    std::uint32_t attempts{}; // attempts that were sent
    std::uint32_t preemptions{};
    bool caller_present{true};
    bool stream_begun{};
    answer_assembly answer;
    std::string content_type;
    link_id link{};          // running: of the sidecar; claiming: of the pull, 0 once closed
    std::uint64_t pull_id{}; // claiming
    time_point attempt_start{};
    std::string traceparent; // of the router's span of the request
    std::string attempt_traceparent;
    std::optional<order_progress> order;
    request_hook queue_hook;
};
using request_ptr = boost::intrusive_ptr<request>;

/// Identifies a queue of requests, which one reservation row announces.
struct queue_key {
    std::string pool;
    account_id account;
    request_class cls{request_class::interactive};
    std::string version;
    friend auto operator<=>(const queue_key&, const queue_key&) = default;
};
using request_queue =
    boost::intrusive::list<request,
                           boost::intrusive::member_hook<request, request_hook, &request::queue_hook>>;

//-----------------------------------------------------------------------------
// [SECTION] State
//-----------------------------------------------------------------------------

/// Sidecar incarnation that has linked to this router.
struct known_sidecar {
    std::string pool;
    std::string name;
    bool linked{};
    time_point lost_at{};    // when its last link closed
    time_point started_by{}; // upper bound of its start time
};

/// Reservation row that a sidecar is believed to hold.
struct announced_row {
    time_point sent_at{};
    std::uint32_t waiting{}; // announced requests that the sidecar has not pulled
};

struct router_state {
    explicit router_state(router_settings s);

    router_settings settings;
    random_source random;
    time_point started{};
    time_point now{};
    configuration config;
    membership members;
    service_ledger ledger;
    service_totals totals;        // of accounts for which this is the aggregation router
    std::uint64_t routers_hash{}; // of the live routers and their links, to detect changes
    time_point next_service_report{};
    time_point next_ledger_expiry{};
    order_writer orders;
    answer_cache answers;
    quarantine crashes;
    version_evidence evidence;
    std::set<condemned_version> condemned;
    std::map<std::string, move_test, std::less<>> move_tests;             // by move name
    std::map<std::string, exposure_credit, std::less<>> exposure_credits; // by move name
    std::map<std::string, move_phase, std::less<>> logged_move_phases;    // by move name
    std::set<evidence_key> unsent_evidence;   // own rows that were not sent since they changed
    std::map<link_id, time_point> last_crash; // last lost attempt that counted as a failure, by link
    bool facts_received{};                    // from a router or the store since the start
    bool facts_requested{};
    time_point next_verdict_check{};
    std::map<std::string, retry_budget, std::less<>> retry_budgets; // by pool

    // Requests are owned by `requests`; queues and indexes refer to them and are destroyed first.
    std::unordered_map<request_id, request_ptr> requests;
    std::size_t body_bytes{}; // of the bodies of all requests
    std::unordered_map<caller_id, request_id> by_caller;
    std::unordered_map<attempt_id, request_id> by_attempt;
    std::map<std::uint64_t, request_id> by_ticket;
    std::set<std::pair<order_key, request_id>> by_order;
    std::set<std::pair<time_point, request_id>> seal_timers; // orders that wait for seal replies
    std::size_t pending_refusals{};                          // orders whose refusal is still being confirmed
    std::set<std::pair<time_point, request_id>> deadlines;
    std::set<std::pair<time_point, request_id>> delayed; // waiting for `not_before`
    std::map<queue_key, request_queue> queues;
    /// By account and pool; requests in all phases but `running`.
    std::map<std::pair<account_id, std::string>, std::uint32_t> waiting_by_account;
    std::set<queue_key> dirty_queues; // queues whose rows have to be sent again
    std::map<queue_key, std::map<link_id, announced_row>> announced_rows;

    std::map<std::string, std::vector<link_id>, std::less<>> sidecars; // links after their hello, by pool
    std::unordered_map<link_id, prefix_cache> prefix_hints; // by link, from the heartbeats of the sidecar
    /// Repeated announcements after prefix_head_start, without the preference for the prefix.
    std::deque<std::pair<time_point, queue_key>> delayed_announcements;
    /// By link: announcements since the last heartbeat of the sidecar.
    std::unordered_map<link_id, std::int64_t> reserved_slots;
    std::map<incarnation_id, known_sidecar> known_sidecars;
    std::vector<vm_entry> vms;
    bool vm_list_known{};

    /// Append or lookup that the router of the record's shard performs for this router.
    struct forwarded_claim {
        order_entry entry;
        bool lookup{};
        time_point fallback_at{}; // when this router writes to the store itself
        time_point deadline{};
    };
    /// Append or lookup that this router performs for another one.
    struct received_claim {
        link_id link{};
        std::uint64_t call{};
    };
    /// Answer that this router asks other routers for.
    struct pending_fetch {
        caller_id caller{};
        account_id account;
        request_id request;
        std::uint32_t awaited_replies{};
        time_point deadline{};
    };
    /// Load slot, a time slot that belongs to one target of a pool (see load_slot_owner), in which this
    /// router last sent a load order for the pool.
    struct load_slot {
        std::int64_t number{};
        time_point ordered_at{};
    };
    std::map<std::string, load_slot, std::less<>> last_load_slots; // by pool
    std::uint64_t next_ticket{1};
    std::map<std::uint64_t, forwarded_claim> forwarded_claims; // by ticket
    std::map<std::uint64_t, received_claim> received_claims;   // by ticket
    std::map<std::uint64_t, pending_fetch> fetches;            // by call
    std::uint64_t next_call{1};

    time_point store_reached_at{}; // last successful store call of this router
    /// Latest successful read by any process that confirmed the declarations known here.
    time_point config_confirmed_at{};
    std::uint64_t store_revision{};
    bool watching{};
    time_point watch_started{};
    time_point next_watch{};
    /// Revision of a team that a peer has and this router lacks.
    struct newer_revision {
        std::uint64_t revision{};
        time_point behind_since{}; // when a newer revision was first reported
        time_point requested_at{}; // when a peer was last asked for the team
    };
    std::map<std::string, newer_revision, std::less<>> newer_revisions; // by team
    time_point next_isolation_check{};
    /// Replies of peers from which a restarted router takes over its state.
    struct bootstrap_progress {
        bool done{};
        std::set<link_id> config; // routers that have answered the config_pull
        std::set<link_id> facts;
        std::uint64_t bytes{};
    };
    bootstrap_progress bootstrap;
    std::uint64_t facts_version{};
    bool facts_dirty{};
    bool facts_in_flight{};
    time_point next_facts_call{};
    time_point next_flush{};
    time_point next_report{};
    time_point next_vm_list{};
    time_point pause_began{}; // last event before the latest pause of the process
    time_point resumed_at{};
    bool stopping{};
    time_point stop_requested_at{};
    bool waiting_refused{}; // stopping: the requests that still waited have been refused
    bool exited{};
    bool isolated{};
    bool ready{};
};

//-----------------------------------------------------------------------------
// [SECTION] Reducer
//-----------------------------------------------------------------------------

/// Applies one event to the state and appends the effects that the program has to perform.
/// Deterministic: reads nothing but its arguments.
void reduce(router_state& state, const router_event& event, effects& out);

} // namespace damaskhill
