// The direct router: sends requests to targets that have no sidecar, under limits that routers share.
//
// It is for platforms on which anyone may call a target, whose clients name each attempt and never send the
// same attempt twice. Where sidecars stand in front of the targets, damaskhill_router.hpp is used instead.
//
// Index of this file:
// [SECTION] Settings
// [SECTION] Events
// [SECTION] Effects
// [SECTION] Requests
// [SECTION] Targets
// [SECTION] State
// [SECTION] Reducer

#pragma once

#include "damaskhill_account_share.hpp"
#include "damaskhill_catalog.hpp"
#include "damaskhill_direct_messages.hpp"
#include "damaskhill_engine_load.hpp"
#include "damaskhill_events.hpp"
#include "damaskhill_rate_gate.hpp"

#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include <memory>

namespace damaskhill::direct {

//-----------------------------------------------------------------------------
// [SECTION] Settings
//-----------------------------------------------------------------------------

struct request;

struct router_settings {
    std::string name;
    std::string data_centre;
    std::string report_address;     // of this router's datagrams
    std::string snapshot_address;   // at which peers fetch the copy of the store
    std::vector<std::string> seeds; // report addresses of routers to begin with; may be out of date
    std::uint64_t incarnation{1};
    freshness_settings freshness;
    engine_settings engine;
    account_share_settings shares;
    cold_limit_settings cold_limits;
    retry_window_settings retries;
    duration report_period{100ms}; // between two reports to the other routers
    duration report_period_per_router{
        8ms};                      // added to the period for each of them, so that the cost stays bounded
    duration probe_period{1s};     // between two reports to an address that is not reported to regularly
    duration peer_timeout{1500ms}; // a router that is silent for so long no longer counts for placement
    duration shared_limit_peer_timeout{20s}; // but for shared limits it counts for so long
    duration share_update_period{200ms};     // between two computations of the accounts' shares
    double max_wait_share{0.25};    // part of the target latency for which a request may wait in the router
    double first_token_share{0.9};  // part of the target latency within which a first token must be predicted
    duration deadline_margin{30ms}; // before a deadline, so that the last answer reaches the caller in time
    duration connect_timeout{400ms}; // after which a target that accepts no connection counts as lost
    duration idempotent_attempt_timeout{
        600ms}; // an idempotent call that is silent for so long may be repeated
    duration ejection_base{
        400ms}; // a target that was lost is left out for so long, doubling up to lost_limit
    duration max_ejection{3s};
    duration missing_grace{2500ms};    // an entry that is missing after an outage of the store may come back
    duration stop_accept_time{2800ms}; // after a stop was requested, new requests are still taken for so long
    duration stop_timeout{7600ms};  // after which what still runs is cut; below the platform's limit of 8 s
    duration min_retry_after{80ms}; // below, a caller would return before anything has changed
    duration overload_lag{60ms};  // timers that are later than this show that the processor does not keep up
    duration recovered_lag{12ms}; // below, it does again
    duration min_overload_time{4s}; // an overload lasts at least so long: callers move within about 2 s
    duration shed_lag{
        90ms}; // above, new requests are refused at once; a full round takes 100 ms at 0.09 cores
    duration crash_record_lifetime{
        120s}; // after which a request that broke a connection is no longer suspected
    std::size_t max_crash_records{512}; // kept at most; each is a row of every report
    std::uint32_t poison_limit{2}; // targets lost while running a request after which it is not sent again
};

//-----------------------------------------------------------------------------
// [SECTION] Events
//-----------------------------------------------------------------------------

/// A request whose head and body have arrived.
struct request_arrived {
    caller_id caller{};
    std::string attempt; // identifier that the caller gave this attempt
    std::string method;
    std::string host;
    std::string path; // with query, as sent
    std::string api_key;
    std::vector<std::pair<std::string, std::string>> headers; // to be passed on
    std::string body;
    std::optional<duration> remaining; // for which the caller will wait
    std::string resume_after;          // id of the last stream event that the caller has
    prompt_shape prompt;               // no tokens: not a generation
};

struct caller_closed {
    caller_id caller{};
};

/// How a target's answer is to be understood.
struct response_head {
    std::uint64_t send_id{};
    std::uint32_t status{};
    std::vector<std::pair<std::string, std::string>> headers; // to be passed on
    bool not_executed{}; // the target says that it did not run the request
    bool wrong_target{}; // another target has the address
    bool has_seal{};     // the target has proved that the answer is its own
};

struct response_data {
    std::uint64_t send_id{};
    std::string_view data; // valid during the event only
};

enum class send_result : std::uint8_t {
    complete,
    not_sent, // no connection: no byte left this process
    broken,   // the connection ended or was reset after bytes had been sent
    garbled   // bytes that are no answer to this request
};

struct response_end {
    std::uint64_t send_id{};
    send_result result{send_result::complete};
};

/// A new copy of what the store holds.
struct catalog_updated {
    std::shared_ptr<const catalog> contents;
    std::uint64_t store_revision{};      // newest change that it holds
    std::uint64_t operator_known_to{};   // all changes by operators up to this revision are in it
    std::uint64_t operator_changed_at{}; // the newest of these
};

/// The catalog was complete at this time, as far as the store or a peer says.
struct catalog_confirmed {
    time_point as_of{};
    std::uint64_t operator_known_to{}; // as in catalog_read
};

struct store_reachable {
    bool reachable{};
};

struct report_received {
    router_report report;
};

struct timer_fired {};

/// The settings file has been read again.
struct settings_changed {
    router_settings settings;
};

using input = std::variant<timer_fired, request_arrived, caller_closed, response_head, response_data,
                           response_end, catalog_updated, catalog_confirmed, store_reachable, report_received,
                           stop_requested, settings_changed>;

//-----------------------------------------------------------------------------
// [SECTION] Effects
//-----------------------------------------------------------------------------

/// Sends a request to a target.
struct send_request {
    std::uint64_t send_id{};
    std::string address;
    std::string target;  // id that the target must have
    std::string account; // name, empty on public routes
    boost::intrusive_ptr<request> content;
    std::string resume_after;
    duration remaining{};
    bool fresh_connection{}; // not on a connection that has been idle
};

struct cancel_send {
    std::uint64_t send_id{};
};

struct reply_begin {
    caller_id caller{};
    std::uint32_t status{};
    std::vector<std::pair<std::string, std::string>> headers;
};

struct reply_data {
    caller_id caller{};
    std::string_view data; // valid until the reducer is called again
};

struct reply_end {
    caller_id caller{};
};

/// Breaks a reply off so that it cannot look complete.
struct reply_abort {
    caller_id caller{};
};

struct reply_full {
    caller_id caller{};
    std::uint32_t status{};
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
};

/// An answer of the router's own.
struct reply_refused {
    caller_id caller{};
    std::string attempt;
    std::uint32_t status{};
    std::optional<duration> retry_after;
    std::string_view reason;
};

struct send_report {
    std::vector<std::string> addresses;
    std::shared_ptr<const router_report> report;
};

/// Asks a peer for its copy of the store.
struct fetch_snapshot {
    std::string address;
};

struct write_rollout_status {
    std::string service;
    rollout_status status;
    std::uint64_t expected_revision{}; // of the status, 0: none
};

/// One structured log line; fields are already JSON.
struct log_event {
    std::string_view name;
    std::string fields;
    bool essential{}; // state change: not dropped under load
};

struct wake_at {
    time_point at{};
};

using effect = std::variant<send_request, cancel_send, reply_begin, reply_data, reply_end, reply_abort,
                            reply_full, reply_refused, send_report, fetch_snapshot, write_rollout_status,
                            log_event, count, observe, wake_at, exit_process>;
using effects = std::vector<effect>;

//-----------------------------------------------------------------------------
// [SECTION] Requests
//-----------------------------------------------------------------------------

/// One caller's attempt, from its arrival until its answer.
struct request : boost::intrusive_ref_counter<request, boost::thread_unsafe_counter> {
    request_arrived input;
    route_declaration route; // as declared when it arrived
    std::string service;
    std::string account; // name, empty on public routes
    std::uint64_t account_hash{};
    std::uint64_t poison_hash{};
    double tokens{}; // cost in the accounts' shares
    time_point arrived{};
    time_point deadline{};       // for the final answer
    time_point first_byte_due{}; // for the first byte of a timely answer
    time_point wait_until{};
    // The present attempt; no send: it waits.
    std::uint64_t send_id{};
    std::string target;
    time_point sent_at{};
    bool head_received{};
    bool first_byte_received{};
    response_head head;
    std::string body; // of a whole answer, or the part of a stream that is no whole event yet
    std::uint64_t charged_kv_tokens{};
    // All attempts.
    std::uint32_t sends{}; // that reached a target, or may have
    bool charged{};        // to its account's share
    bool may_have_run{};
    // What the last decision on it rested on, for the log.
    double used_share{};              // of its account
    duration predicted_first_token{}; // first token, from the send
    duration first_byte_delay{};      // the send, zero: none has come
    double recompute_ms{};            // expected reading of shared parts that other engines keep
    duration capacity_in{};           // if no target had room
    bool reply_started{};
    std::vector<std::string> tried_targets; // targets
    std::string last_event_id;              // that the caller has been sent
    std::string pending_reply;              // bytes of the newest reply_data
};
using request_ptr = boost::intrusive_ptr<request>;

//-----------------------------------------------------------------------------
// [SECTION] Targets
//-----------------------------------------------------------------------------

/// What this router knows of one target beside its entry.
struct target_state {
    target_entry entry;
    std::uint64_t hash{}; // of its id
    bool missing{};       // not in the store's list at present
    time_point missing_since{};
    target_load load;
    cold_target_limiter cold_limiter;
    time_point cold_until{};
    time_point ejected_until{};           // left out of the choice
    std::uint32_t consecutive_failures{}; // in a row
    double smoothed_failure_rate{};       // smoothed
};

struct peer_router {
    std::uint64_t incarnation{};
    std::string data_centre;   // empty: not known yet
    time_point last_heard{};   // directly
    router_report last_report; // its newest own report
};

/// Sums of another data centre, as its relay sent them.
struct data_centre_summary {
    time_point last_heard{};
    router_report last_report;
    bool must_forward{}; // newer than what this data centre's relay has handed on
};

struct version_counts {
    std::uint32_t responses{};
    std::uint32_t failures{};
    std::uint64_t latency_ms_total{};
};

struct rollout_progress {
    std::uint64_t order_revision{}; // revision of the order that the counts belong to
    time_point first_seen{};        // when the first router saw the order
    version_counts new_version;     // of this router
    version_counts old_version;
    time_point next_write{};
};

//-----------------------------------------------------------------------------
// [SECTION] State
//-----------------------------------------------------------------------------

/// Targets that were lost while they ran one request.
struct crash_record {
    std::uint32_t crashes{};
    time_point last_crash{};
};

struct router_state {
    explicit router_state(router_settings s);

    router_settings settings;
    random_source random;
    time_point now{};
    time_point started{};
    std::shared_ptr<const catalog> active_catalog;
    std::uint64_t store_revision{};
    std::uint64_t operator_known_to{};
    std::uint64_t operator_changed_at{};
    catalog_freshness freshness;
    bool store_up{};
    time_point store_regained_at{};

    std::unordered_map<caller_id, request_ptr> requests;
    std::unordered_map<std::uint64_t, caller_id> caller_by_send;
    std::vector<request_ptr> waiting; // in no order
    std::set<std::pair<time_point, caller_id>> deadlines;
    std::set<std::pair<time_point, caller_id>> attempt_deadlines;
    std::uint64_t next_send{1};

    std::map<std::string, target_state, std::less<>> targets; // by id
    std::map<std::string, std::vector<target_state*>, std::less<>> targets_by_service;
    std::unordered_map<std::uint64_t, target_state*> target_by_hash; // into `targets`, whose nodes stay
    std::map<std::string, retry_window, std::less<>> retry_windows;  // by service
    account_shares shares;
    std::map<std::string, peer_router, std::less<>> peers;             // by report address
    std::map<std::string, data_centre_summary, std::less<>> summaries; // by data centre
    time_point next_probe{};                                       // of addresses that are not reported to
    std::unordered_map<std::uint64_t, crash_record> crashes;       // own, by poison hash
    std::map<std::string, rollout_progress, std::less<>> rollouts; // by service

    time_point next_report{};
    time_point last_report{};
    time_point unreported_updated_at{};
    time_point next_waiting_pass{}; // of waiting requests
    duration lag{};                 // smoothed lateness of this process's timers
    bool overloaded{};
    time_point overloaded_since{};
    time_point next_share_update{};
    time_point timer_at{};
    bool timer_armed{};
    time_point snapshot_requested_at{};
    bool stopping{};
    time_point stop_requested_at{};
    bool exited{};
};

//-----------------------------------------------------------------------------
// [SECTION] Reducer
//-----------------------------------------------------------------------------

/// Takes one event into the state and appends the effects that the program has to perform.
/// Time is a clock that never jumps and counts suspensions.
void reduce(router_state& state, time_point now, const input& event, effects& out);

/// Routers that count for limits which all share, this one among them.
[[nodiscard]] std::size_t routers_for_limits(const router_state& state);
/// Text as a JSON string, for log lines.
[[nodiscard]] std::string quoted(std::string_view text);
/// Whether the processor is so far behind that new requests are refused at once.
[[nodiscard]] bool must_shed_load(const router_state& state);
/// Whether the balancer may send new connections.
[[nodiscard]] bool is_ready(const router_state& state, time_point now);

} // namespace damaskhill::direct
