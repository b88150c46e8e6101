// Direct router: forwards HTTP requests to targets that have no sidecar and enforces limits that all routers
// share.
//
// Made for platforms on which a target accepts requests from anyone and clients give every attempt a unique
// id that they never reuse. Deployments with sidecars in front of the targets use damaskhill_router.hpp.
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
#include "damaskhill_direct_duties.hpp"
#include "damaskhill_direct_messages.hpp"
#include "damaskhill_engine_load.hpp"
#include "damaskhill_events.hpp"
#include "damaskhill_fleet_capacity.hpp"
#include "damaskhill_load_announcement.hpp"
#include "damaskhill_prompt_suspects.hpp"
#include "damaskhill_rate_gate.hpp"
#include "damaskhill_store_history.hpp"
#include "damaskhill_target_notices.hpp"
#include "damaskhill_target_orders.hpp"
#include "damaskhill_versions.hpp"

#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include <memory>

namespace damaskhill::direct {

//-----------------------------------------------------------------------------
// [SECTION] Settings
//-----------------------------------------------------------------------------

struct request;

/// How traffic moves to a new version. Times are parts of the order's time limit.
struct rollout_settings {
    // Accepts a version sooner than a fleet with sidecars does: orders are short, and the test goes on.
    verdict_settings verdict{.false_negative_rate = 0.05,
                             .slow_margin = 2,
                             .min_baseline_attempts = 20,
                             .monitored_attempts = 2'000.0};
    double canary_share{0.06}; // of the requests, until the version is accepted, and while it is in doubt
    double canary_end{0.5};    // the share does not grow before, so that a late fault shows at a small share
    double latest_ramp_start{0.65}; // without an acceptance
    double full_share_start{0.74};
    double min_ramp{0.2};
    double forced_completion{0.9}; // without an acceptance, or although requests run on the old version
    std::size_t max_routes{24};    // of all rollouts together that are judged by themselves
};

struct router_settings {
    std::string name;
    std::string data_centre;
    std::string report_address;     // local address of the report datagrams
    std::string snapshot_address;   // address from which peers fetch a snapshot of the store
    std::vector<std::string> seeds; // report addresses for discovery; may be out of date
    std::uint64_t incarnation{1};
    freshness_settings freshness;
    store_outage_settings outages;
    restore_settings restores;
    engine_settings engine;
    engine_model_settings engine_model;
    engine_model_settings service_model{service_model_defaults()}; // of plain services
    account_share_settings shares;
    fleet_capacity_settings capacity;
    // Services whose routes allow no longer gap than this between the events of a stream are run for hard
    // load; see has_tight_streams().
    duration tight_event_gap{400ms};
    announcement_settings announcements;
    // How long the measured speed of a target of these services holds; it gets work in proportion to it.
    duration tight_slowdown_half_life{30s};
    // The same as max_wait_share for services with tight streams: another router may have room at once, and
    // what waits for this one's hardly ever begins in time.
    double tight_wait_share{0.0};
    // Retry-After of these services as a fraction of the target latency: what comes back can still be on time
    // at another router.
    double tight_retry_share{0.125};
    cold_limit_settings cold_limits;
    target_notice_settings notices;
    retry_window_settings retries;
    prompt_suspect_settings suspects;
    rollout_settings rollouts;
    target_order_settings target_orders;
    // Interval between reports to other routers.
    duration report_period{100ms};
    // Added to report_period for each neighbour, which bounds the cost of reports.
    duration report_period_per_router{8ms};
    // Interval between reports to addresses that get no regular reports.
    duration probe_period{1s};
    // Routers of each data centre that read the store; the others rely on their reports and snapshots.
    std::size_t store_readers{2};
    // Long poll of these routers if others rely on them; it also bounds how long a silent connection hides a
    // change.
    duration shared_read_wait{1s};
    // Long poll on targets of a router on which nobody relies.
    duration own_read_wait{1s};
    // Fraction of freshness.max_ready_age and max_targets_age from which a router reads the store itself.
    double own_read_age_share{0.85};
    // A router that has been silent for this long is ignored for placement.
    duration peer_timeout{1500ms};
    // A router that has been silent for this long is ignored for shared limits.
    duration shared_limit_peer_timeout{20s};
    // Interval between updates of the accounts' fair shares.
    duration share_update_period{200ms};
    // Fraction of the latency target for which a request may wait in the router.
    double max_wait_share{0.25};
    // Fraction of the latency target within which the first token must be predicted to arrive.
    double first_token_share{0.9};
    // Largest buffered response, and largest event of a stream. A target that sends more has failed.
    std::size_t max_response_bytes{8U << 20U};
    std::size_t max_event_bytes{1U << 20U};
    // Sum of buffered responses and of request bodies over all requests. Above it, the request with the most
    // bytes is failed.
    std::size_t max_buffered_bytes{16U << 20U};
    // Requests are not retried this close to their deadline, so that the final response reaches the caller.
    duration deadline_margin{30ms};
    // A target that accepts no connection for this long counts as unreachable.
    duration connect_timeout{400ms};
    // An idempotent call without a response head is retried after this multiple of its route's latency
    // target, but at the latest after max_attempt_timeout.
    double attempt_timeout_factor{2.0};
    duration max_attempt_timeout{600ms};
    // An unreachable target is ejected for this long; doubles with each further failure up to max_ejection.
    duration ejection_base{400ms};
    duration max_ejection{3s};
    // After a stop request, new requests are accepted for this long, and non-idempotent ones only if their
    // deadline comes before stop_timeout.
    duration stop_accept_time{2800ms};
    // Running requests are aborted this long after a stop request. The platform kills the process after 8 s.
    duration stop_timeout{7600ms};
    // Lower bound of Retry-After: the load does not change in a shorter time.
    duration min_retry_after{80ms};
    // Smoothed lateness of the timers above which the router reports itself as overloaded.
    duration overload_lag{60ms};
    // Timer lag below which an overload may end.
    duration recovered_lag{12ms};
    // Minimum duration of an overload; callers move to other routers within about 2 s.
    duration min_overload_time{4s};
    // Timer lag above which new requests are refused. At 0.09 cores, one full pass of the event loop takes
    // 100 ms.
    duration shed_lag{90ms};
    std::optional<duty_settings> duties; // none: this router performs no duties
};

//-----------------------------------------------------------------------------
// [SECTION] Events
//-----------------------------------------------------------------------------

/// A request whose head and body have been received completely.
struct request_arrived {
    caller_id caller{};
    std::string attempt; // attempt id given by the caller
    std::string method;
    std::string host;
    std::string path; // with query, unmodified
    std::string api_key;
    std::vector<std::pair<std::string, std::string>> headers; // to forward
    std::string body;
    std::optional<duration> remaining; // time for which the caller waits
    std::string resume_after;          // id of the last stream event that the caller has received
    prompt_shape prompt;               // zero tokens if this is not a generation request
};

struct caller_closed {
    caller_id caller{};
};

/// The caller reads its reply more slowly than the target sends it, or does so no longer.
struct caller_congested {
    caller_id caller{};
    bool congested{};
};

/// Response head of a target.
struct response_head {
    std::uint64_t send_id{};
    std::uint32_t status{};
    std::vector<std::pair<std::string, std::string>> headers; // to forward
    bool not_executed{}; // the target states that it did not execute the request
    bool wrong_target{}; // a different target has this address
    bool has_seal{};     // the response has the header by which a target marks it as its own
    // The body has neither a length nor chunks: the end of the connection is its end.
    bool close_delimited{};
    std::string content_type;
    response_notices notices;
};

struct response_data {
    std::uint64_t send_id{};
    std::string_view data; // valid only while the event is handled
};

enum class send_result : std::uint8_t {
    complete,
    not_sent, // no connection was established; no byte was sent
    broken,   // the connection was closed or reset after bytes had been sent
    garbled   // the received bytes are not a valid response to this request
};

struct response_end {
    std::uint64_t send_id{};
    send_result result{send_result::complete};
};

enum class probe_outcome : std::uint8_t {
    accepted,
    refused,  // nobody listens at the target's address
    no_answer // timeout or another failure
};

/// Result of probe_target.
struct target_probed {
    std::uint64_t send_id{};
    probe_outcome outcome{probe_outcome::no_answer};
};

/// New catalog, read from the store or from a peer's snapshot.
struct catalog_updated {
    std::shared_ptr<const catalog> contents;
    store_position latest;              // latest change of the store that the catalog includes
    store_position operator_known_to;   // the catalog includes all operator changes up to this position
    store_position operator_changed_at; // the latest operator change that it includes
    store_position targets_known_to;    // the catalog includes all registrations up to this position
    store_position targets_changed_at;  // the latest registration that it includes
};

/// The store or a peer has confirmed that the catalog was complete at this time.
struct catalog_confirmed {
    time_point as_of{};
    store_position operator_known_to; // see catalog_updated
};

/// The store has confirmed that the list of targets was complete at this time.
struct targets_confirmed {
    time_point as_of{};
    store_position known_to; // the list includes all registrations up to this position
};

struct store_reachable {
    bool reachable{};
};

struct report_received {
    router_report report;
};

struct timer_fired {};

/// The settings file has been reloaded.
struct settings_changed {
    router_settings settings;
};

using input = std::variant<timer_fired, request_arrived, caller_closed, caller_congested, response_head,
                           response_data, response_end, target_probed, catalog_updated, catalog_confirmed,
                           targets_confirmed, store_reachable, report_received, stop_requested,
                           settings_changed, duty_store_answer, duty_call_answered, wall_clock_read>;

//-----------------------------------------------------------------------------
// [SECTION] Effects
//-----------------------------------------------------------------------------

/// Sends a request to a target.
struct send_request {
    std::uint64_t send_id{}; // identifies the attempt in this process; the target's response events repeat it
    std::string address;
    std::string target;  // id of the target that is expected at the address
    std::string account; // name; empty on public routes
    boost::intrusive_ptr<request> content;
    std::string resume_after;
    duration remaining{};
    // Reuse a connection only if it has been idle for less than the HTTP client's recent_idle_limit.
    bool recent_connection_only{};
};

struct cancel_send {
    std::uint64_t send_id{};
};

/// Stops reading the response of an attempt, or goes on.
struct pause_reading {
    std::uint64_t send_id{};
    bool paused{};
};

/// Finds out whether the target of an attempt still accepts connections.
struct probe_target {
    std::uint64_t send_id{};
    std::string address;
};

struct reply_begin {
    caller_id caller{};
    std::uint32_t status{};
    std::vector<std::pair<std::string, std::string>> headers;
};

struct reply_data {
    caller_id caller{};
    std::string_view data; // valid until the next call of reduce()
};

struct reply_end {
    caller_id caller{};
};

/// Closes the caller's connection so that the truncated reply cannot be mistaken for a complete one.
struct reply_abort {
    caller_id caller{};
};

/// Complete reply with a buffered body.
struct reply_full {
    caller_id caller{};
    std::uint32_t status{};
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
};

/// Error reply that the router generates itself.
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

/// Requests a peer's snapshot of the store.
struct fetch_snapshot {
    std::string address;
};

struct write_rollout_status {
    std::string service;
    rollout_status status;
    store_position expected; // of the stored status; revision 0 if there is none
};

/// Structured log line; the fields are JSON already.
struct log_event {
    std::string_view name;
    std::string fields;
    bool essential{}; // state change: never dropped when the log rate is limited
};

struct wake_at {
    time_point at{};
};

using effect =
    std::variant<send_request, cancel_send, pause_reading, probe_target, reply_begin, reply_data, reply_end,
                 reply_abort, reply_full, reply_refused, send_report, fetch_snapshot, write_rollout_status,
                 log_event, count, observe, wake_at, exit_process, duty_store_call, duty_call>;
using effects = std::vector<effect>;

//-----------------------------------------------------------------------------
// [SECTION] Requests
//-----------------------------------------------------------------------------

/// A caller's request, from its arrival until the end of the reply.
struct request : boost::intrusive_ref_counter<request, boost::thread_unsafe_counter> {
    request_arrived input;
    route_declaration route; // copy from the time of arrival
    std::string service;
    std::string account; // name; empty on public routes
    std::uint64_t account_hash{};
    std::uint64_t request_fingerprint{}; // hash of account, path and body
    prompt_parts parts;                  // see prompt_parts; empty if the prompt shares no part
    double tokens{};                     // cost charged to the account's fair share
    time_point arrived{};
    time_point deadline{};       // of the final response
    time_point first_byte_due{}; // latency target of the first byte
    time_point wait_until{};     // refused if it has no target by then
    // Current attempt; send_id is 0 while the request waits.
    std::uint64_t send_id{};
    std::string target;
    std::uint64_t target_boot{}; // of the target's registration when the attempt started; 0: unknown
    time_point sent_at{};
    bool head_received{};
    bool first_byte_received{};
    bool begun_is_noted{}; // the answer has counted as answer_evidence::begun
    response_head head;
    time_point last_data{};           // latest bytes of the response body
    duration longest_gap{};           // between two parts of the response body, over all attempts
    time_point in_doubt_since{};      // end of a response that awaits evidence; zero otherwise
    bool end_is_late{};               // in doubt, and the time at which the response ended is not known
    bool close_delimited{};           // see response_head; `head` is that of the first attempt
    std::uint64_t body_bytes{};       // of the response body so far
    std::string body;                 // buffered response, or the incomplete last event of a stream
    std::string passed_tail;          // last bytes of a stream that is passed on as it comes
    std::size_t passed_event_bytes{}; // of its incomplete last event
    std::size_t counted_bytes{};      // of `body` and `input.body`, in router_state::buffered_bytes
    std::uint64_t charged_kv_tokens{};
    // All attempts.
    std::uint32_t sends{}; // attempts that reached a target or may have reached it
    bool charged{};        // to the account's fair share
    double demand_ms{};    // offered work that was counted for the request; see own_demand()
    bool may_have_run{};   // a target may have executed it, so the reply must not say "not executed"
    // Inputs and predictions of the last placement, for the log.
    double used_share{};              // of the account
    duration predicted_first_token{}; // from the start of the attempt
    duration first_byte_delay{};      // measured from the start of the attempt; 0 until the first byte
    prefill_work predicted_work;      // of the current attempt
    double predicted_backlog_ms{};    // at the start of the attempt; before it, the least of all targets
    bool measures_speed{};            // the current attempt is a sample for the service's engine model
    double recompute_ms{};            // expected prefill of shared segments that other engines have cached
    duration capacity_in{};           // estimated time until capacity, if no target had any
    std::uint32_t known_crashes{};    // of targets under copies of the request, at its arrival
    // Evidence on the version that runs the current attempt.
    std::uint32_t load_level{};      // of its target at the start
    double expected_first_byte_ms{}; // of an engine of usual speed; 0: not predicted
    bool outcome_recorded{};
    // Choice of a version, once during a rollout.
    bool counted_for_exposure{};
    bool exposed{}; // to the new version
    // Progress over all attempts.
    bool reply_started{};
    bool caller_is_congested{}; // responses are not read meanwhile
    time_point congestion_began_at{};
    time_point congestion_ended_at{};
    std::vector<std::string> tried_targets; // ids
    std::string last_event_id;              // last event id sent to the caller
    std::string pending_reply;              // storage behind the latest reply_data
};
using request_ptr = boost::intrusive_ptr<request>;

//-----------------------------------------------------------------------------
// [SECTION] Targets
//-----------------------------------------------------------------------------

/// Longest time in the current and the previous window.
struct windowed_longest {
    duration current{};
    duration previous{};
    time_point began{}; // of the current window
};

/// Speed of a service's targets, as estimated by this router.
struct service_speed {
    engine_model model;
    engine_speed logged; // estimate in the last log line
};

/// Catalog entry of a target with the state that this router keeps for it.
struct target_state {
    target_entry entry;
    std::uint64_t hash{};       // of the id
    bool gone{};                // not in the catalog, and not lapsed during an outage of the store
    time_point missing_since{}; // first time at which the catalog lacked the target; zero if it has it
    target_load load;
    std::optional<time_point> last_send; // of this router
    target_notices notices;
    std::size_t rank{}; // of this router among those of the target, at `rank_at`
    time_point rank_at{};
    time_point cold_until{};
    time_point ejected_until{}; // not selected before this time
    std::uint32_t consecutive_failures{};
    double smoothed_failure_rate{};
    std::optional<engine_crash>
        broken; // requests lost their connections or got no answer: a crash, if confirmed
    time_point last_crash{};
    time_point last_head{}; // of a response
};

/// Work for a service that declares autoscaling, as offered to this router since its start.
struct demand_counter {
    double offered_ms{};
    double refused_ms{};     // of this
    double repeated_ms{};    // not counted as offered: of requests that came again
    double refused_any_ms{}; // refused, also of requests that came again
    double mean_full_ms{};   // smoothed work of a whole prompt
    double read_ratio{1.0};  // smoothed part of the prompts that was not cached, by work
    std::unordered_map<std::string, windowed_longest> remaining; // stated by callers, by route
};

/// What the holder of the duties knows of the number of targets to order.
struct target_order_state {
    std::map<std::string, service_demand, std::less<>> demand; // by service
    std::map<std::string, service_plan, std::less<>> plans;    // by service
    time_point decided_at{};
    time_point asked_at{};
};

struct peer_router {
    std::uint64_t incarnation{};
    std::string data_centre;   // empty if unknown
    time_point last_heard{};   // time of the last report or summary that came directly from it
    router_report last_report; // excluding summaries
};

/// Summed report of another data centre, as sent by its relay.
struct data_centre_summary {
    time_point last_heard{};
    router_report last_report;
    bool must_forward{}; // not yet forwarded within this data centre
};

/// Rows about crashes with which the next report begins, if one report has no room for all of them.
struct announced_suspects {
    std::size_t accused{};
    std::size_t acquittals{};
    std::size_t quarantines{};
};

/// Progress of a rollout, as this router knows it.
struct rollout_progress {
    rollout_order order;    // the progress belongs to
    time_point first_seen;  // time at which the first router saw the order
    time_point test_start;  // identifies the test
    version_evidence local; // outcomes at the routers of this data centre
    version_evidence fleet; // at all routers
    move_test test;
    std::size_t names{1};       // under which outcomes are counted
    std::size_t shared_names{}; // the same, if several routes have one name; 0: each route has its own
    bool condemned{};           // by this router or another one
    std::optional<time_point> accepted_at; // by the first router
    exposure_credit credit;
    time_point last_old_break{}; // that counted as a failure of the old version
    time_point last_new_break{};
    time_point next_write{};
    std::optional<rollout_phase> settled; // final phase, once it has been in the store
};

//-----------------------------------------------------------------------------
// [SECTION] State
//-----------------------------------------------------------------------------

struct router_state {
    explicit router_state(router_settings s);

    router_settings settings;
    random_source random;
    time_point now{};
    time_point started{};
    std::shared_ptr<const catalog> active_catalog;
    store_position latest; // see catalog_updated, for this one and the next four
    store_position operator_known_to;
    store_position operator_changed_at;
    store_position targets_known_to;
    store_position targets_changed_at;
    // Change of the store's era that this router has noticed last, until the store's contents count as its
    // own again; see restore_settings::rewrite_time.
    std::optional<time_point> restored_at;
    catalog_freshness freshness;         // of the declarations
    catalog_freshness targets_freshness; // of the list of targets
    std::string targets_source{"none"};  // who confirmed the list last: "store" or a peer's report address
    store_outage outage;
    bool store_up{};

    std::unordered_map<caller_id, request_ptr> requests;
    std::unordered_map<std::uint64_t, caller_id> caller_by_send;
    std::vector<request_ptr> waiting; // unordered
    std::set<std::pair<time_point, caller_id>> deadlines;
    std::set<std::pair<time_point, caller_id>> attempt_deadlines; // of idempotent calls only
    std::uint64_t next_send{1};
    std::size_t buffered_bytes{}; // see router_settings::max_buffered_bytes

    std::map<std::string, target_state, std::less<>> targets; // by id
    std::map<std::string, std::vector<target_state*>, std::less<>> targets_by_service;
    std::unordered_map<std::uint64_t, target_state*> target_by_hash; // into `targets`, whose nodes are stable
    std::map<std::string, retry_window, std::less<>> retry_windows;  // by service
    std::map<std::string, service_speed, std::less<>> speeds;        // by service
    std::map<std::string, engine_work, std::less<>> work_by_service; // of services with tight streams
    std::map<std::string, demand_counter, std::less<>> demand;       // by service; only with autoscaling
    target_order_state target_orders;                                // of the holder of the duties
    account_shares shares;
    std::map<std::string, peer_router, std::less<>> peers;             // by report address
    std::map<std::string, data_centre_summary, std::less<>> summaries; // by data centre
    announcement_budget announcements;
    // Next report to the addresses that get no regular reports.
    time_point next_probe{};
    prompt_suspects suspects;
    announced_suspects announced;
    announced_suspects announced_in_summary;
    std::map<std::string, rollout_progress, std::less<>> rollouts; // by service

    time_point next_report{};
    time_point last_report{};
    time_point unreported_updated_at{};
    time_point next_waiting_pass{}; // next placement of waiting requests
    duration lag{};                 // smoothed lateness of this process's timers
    bool overloaded{};
    time_point overloaded_since{};
    time_point next_share_update{};
    time_point next_share_log{};
    bool refused_since_share_log{}; // a request, for lack of capacity
    time_point timer_at{};
    bool timer_armed{};
    time_point snapshot_requested_at{};
    bool stopping{};
    time_point stop_requested_at{};
    bool exited{};
    std::optional<duty_state> duties;
};

//-----------------------------------------------------------------------------
// [SECTION] Reducer
//-----------------------------------------------------------------------------

/// Applies an event to the state and appends the effects that the caller must perform.
/// `now` must come from a monotonic clock that includes the time during which the VM was suspended.
void reduce(router_state& state, time_point now, const input& event, effects& out);

/// Number of routers among which shared limits are divided, including this one.
[[nodiscard]] std::size_t routers_for_limits(const router_state& state);
/// Quotes text as a JSON string; characters other than printable ASCII become question marks.
[[nodiscard]] std::string quoted(std::string_view text);
/// Whether timer lag is so high that new requests must be refused immediately.
[[nodiscard]] bool must_shed_load(const router_state& state);
/// Whether this router reads the store itself, and how long its long polls may last. The store client's own
/// limits apply as well.
struct store_read_plan {
    bool read{true};
    duration max_declarations_wait{duration::max()};
    duration max_targets_wait{duration::max()};
};
[[nodiscard]] store_read_plan plan_store_read(const router_state& state, time_point now);
/// Whether the load balancer may send new connections to this router.
[[nodiscard]] bool is_ready(const router_state& state, time_point now);

} // namespace damaskhill::direct
