// The router: ends callers' requests, holds their bodies, and hands them to sidecars that pull.
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
    incarnation_id incarnation; // random, new for each start
    std::uint64_t seed{1};      // of identifiers and jitter
    membership_settings membership;
    ledger_settings ledger;
    order_settings orders;
    retry_settings retry;
    placement_settings placement;
    answer_cache_settings answers;
    quarantine_settings quarantine;
    verdict_settings verdict;
    duration interactive_timeout{30s}; // of a request without a timeout of its own
    duration batch_timeout{600s};
    duration reservation_period{100ms};  // between rows to sidecars that did not hear at once
    duration reservation_refresh{500ms}; // between two rows of one queue to a sidecar that still holds one
    duration isolation_limit{3s};        // without the store and without most peers
    duration vm_list_period{1s};
    duration bootstrap_timeout{3s}; // a restarted router without any peer waits this long before it is ready
    duration bootstrap_hard_timeout{10s}; // and this long for peers that do not answer
    duration watch_timeout{5s};           // after which a watch without a reply is taken as lost
    duration drain_limit{30s};            // after which a stop abandons what still runs
    duration drain_reserve{4s}; // before drain_limit: what still waits is refused, which takes store calls
    duration pause_threshold{50ms};   // a longer gap between events is a pause; ticks come every 10 ms
    duration catch_up_period{1s};     // after a pause, in which requests may have been sent long before
    duration claim_timeout{1500ms};   // of one claim on an order
    duration seal_poll_period{300ms}; // between two questions about a running order
    std::size_t body_bytes_limit{64U << 20U}; // of all requests in progress, half of a daemon's memory
    std::size_t links_per_pool{16};           // sidecars of one pool that this router links to
    std::size_t max_pending_refusals{1024};   // orders whose refusal is being settled
};

//-----------------------------------------------------------------------------
// [SECTION] Requests
//-----------------------------------------------------------------------------

enum class request_phase : std::uint8_t {
    reading_record, // orders: the record is being read
    waiting,        // in a queue
    claiming,       // orders: a sidecar has pulled and the claim is being written
    running,        // assigned to a sidecar
    sealing,        // orders: another claim exists, and its sidecar is being asked
    refusing        // orders: the refusal is being made definite
};

/// Progress of an order that must not be repeated.
struct order_progress {
    order_key key; // scoped by account
    std::uint64_t body_hash{};
    nonce_id nonce;                          // of the latest claim of this router
    std::vector<nonce_id> unassigned_claims; // own claims that were never given to a sidecar
    std::vector<nonce_id> prior_void_claims; // void claims that stood in the record when the request arrived
    nonce_id supersedes;                     // claim that the next one replaces
    std::vector<seal_id> unseals;
    order_entry competing_claim; // sealing: the claim of another router
    std::uint64_t ticket{};      // open append or look
    time_point next_seal{};
    std::uint64_t first_seal_call{}; // replies to earlier questions do not count
    time_point next_lookup{};        // sealing: the record is read again, when the sidecar is not linked
    time_point earliest_sent{};      // its caller sent it no earlier than this
    std::uint32_t void_claim_writes{};
    time_point seal_poll_started{}; // refusing
    failure_kind refusal_reason{failure_kind::none};
    bool polling_seals{}; // refusing: every sidecar of the pool is being asked to seal
    std::vector<incarnation_id> unconfirmed_seals; // refusing: sidecars that have not answered
};

using request_hook = boost::intrusive::list_member_hook<>;

/// One request of a caller, from its arrival until its answer.
struct request : boost::intrusive_ref_counter<request, boost::thread_unsafe_counter> {
    caller_request input;
    request_id id;
    account_id account;
    request_class cls{request_class::interactive};
    request_phase phase{request_phase::waiting};
    std::string version;         // that the latest attempt ran on
    std::string exposed_to;      // new version that it may run on before the move is complete
    bool counted_for_exposure{}; // its start has earned the new version its share
    std::uint64_t crash_hash{};
    double cost_hint{};     // service units
    double charged_units{}; // for the present attempt, service units
    time_point arrived_at{};
    time_point queued_at{}; // when it last began to wait
    time_point deadline{};
    time_point not_before{};  // earliest next attempt
    std::uint32_t attempts{}; // that were sent
    std::uint32_t preemptions{};
    bool caller_present{true};
    bool stream_begun{};
    answer_assembly answer;
    std::string content_type;
    link_id link{};          // running: link of the sidecar; claiming: link of the pull
    std::uint64_t pull_id{}; // claiming
    time_point attempt_start{};
    std::string traceparent; // of the router's span
    std::string attempt_traceparent;
    std::optional<order_progress> order;
    request_hook queue_hook;
};
using request_ptr = boost::intrusive_ptr<request>;

/// Requests that any one reservation row stands for.
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

/// A sidecar incarnation of which this router has heard.
struct known_sidecar {
    std::string pool;
    std::string name;
    bool linked{};
    time_point lost_at{};    // when its link closed
    time_point started_by{}; // no later than this the process ran
};

/// A row that a sidecar holds, as far as this router can tell.
struct announced_row {
    time_point sent_at{};    // when it was sent
    std::uint32_t waiting{}; // requests in it that the sidecar has not pulled
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
    service_totals totals;        // of the accounts whose aggregation router this is
    std::uint64_t routers_hash{}; // hash of the live routers and their links, to notice a change
    time_point next_service_report{};
    time_point next_ledger_expiry{};
    order_writer orders;
    answer_cache answers;
    quarantine crashes;
    version_evidence evidence;
    std::set<condemned_version> condemned;
    std::map<std::string, move_test, std::less<>> move_tests;             // by move name
    std::map<std::string, exposure_credit, std::less<>> exposure_credits; // by move name
    std::map<std::string, move_phase, std::less<>> logged_move_phases;    // by move name, as of the last look
    std::set<evidence_key> unsent_evidence;   // own rows that routers have not heard
    std::map<link_id, time_point> last_crash; // lost attempt that counted, by link
    bool facts_received{};                    // from a router or the store, since the start
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
    std::set<std::pair<time_point, request_id>> seal_timers; // orders to look at again
    std::size_t pending_refusals{};                          // orders whose refusal is being settled
    std::set<std::pair<time_point, request_id>> deadlines;
    std::set<std::pair<time_point, request_id>> delayed; // waiting out a retry delay
    std::map<queue_key, request_queue> queues;
    std::map<std::pair<account_id, std::string>, std::uint32_t> waiting_by_account; // and pool
    std::set<queue_key> dirty_queues; // queues whose rows have to be sent
    std::map<queue_key, std::map<link_id, announced_row>>
        announced_rows; // sidecars that hold a row of the queue

    std::map<std::string, std::vector<link_id>, std::less<>> sidecars;  // greeted links by pool
    std::unordered_map<link_id, prefix_cache> prefix_hints;             // of the sidecars, as last heard
    std::deque<std::pair<time_point, queue_key>> delayed_announcements; // after prefix_time
    std::unordered_map<link_id, std::int64_t> reserved_slots;           // rows sent since the last heartbeat
    std::map<incarnation_id, known_sidecar> known_sidecars;
    std::vector<vm_entry> vms;
    bool vm_list_known{};

    struct forwarded_claim {
        order_entry entry;
        bool lookup{};
        time_point fallback_at{}; // when this router writes by itself
        time_point deadline{};
    };
    struct received_claim {
        link_id link{};
        std::uint64_t call{};
    };
    struct pending_fetch {
        caller_id caller{};
        account_id account;
        request_id request;
        std::uint32_t awaited_replies{};
        time_point deadline{};
    };
    struct load_turn {
        std::int64_t number{};
        time_point ordered_at{};
    };
    std::map<std::string, load_turn, std::less<>> load_turns; // by pool
    std::uint64_t next_ticket{1};
    std::map<std::uint64_t, forwarded_claim> forwarded_claims; // by ticket
    std::map<std::uint64_t, received_claim> received_claims;   // by ticket
    std::map<std::uint64_t, pending_fetch> fetches;            // by call
    std::uint64_t next_call{1};

    time_point store_reached_at{};    // last successful call to the store by this router
    time_point config_confirmed_at{}; // last successful read of the declarations known here, by any process
    std::uint64_t store_revision{};
    bool watching{};
    time_point watch_started{};
    time_point next_watch{};
    struct newer_revision {
        std::uint64_t revision{};
        time_point behind_since{}; // when this router first heard that it is behind
        time_point requested_at{}; // when it last asked a peer for this team
    };
    std::map<std::string, newer_revision, std::less<>>
        newer_revisions; // teams for which this router is behind
    time_point next_isolation_check{};
    struct bootstrap_progress {
        bool done{};
        std::set<link_id> config; // routers that have answered the pull of an empty router
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
    time_point pause_began{}; // last event before the latest gap in time
    time_point resumed_at{};
    bool stopping{};
    time_point stop_requested_at{};
    bool waiting_refused{}; // stopping: what still waited has been refused
    bool exited{};
    bool isolated{};
    bool ready{};
};

//-----------------------------------------------------------------------------
// [SECTION] Reducer
//-----------------------------------------------------------------------------

/// Takes one event into the state and appends the effects that the program has to perform.
/// Depends on nothing but its arguments.
void reduce(router_state& state, const router_event& event, effects& out);

} // namespace damaskhill
