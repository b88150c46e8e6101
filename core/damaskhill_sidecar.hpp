// Sidecar state and reducer. Every request to a target passes through its sidecar, which schedules them.
//
// Index of this file:
// [SECTION] Settings
// [SECTION] Calls
// [SECTION] Target version
// [SECTION] State
// [SECTION] Reducer
// [SECTION] Reducer internals

#pragma once

#include "damaskhill_answers.hpp"
#include "damaskhill_fairness.hpp"
#include "damaskhill_limits.hpp"
#include "damaskhill_membership.hpp"
#include "damaskhill_orders.hpp"
#include "damaskhill_quarantine.hpp"
#include "damaskhill_versions.hpp"

#include <array>

namespace damaskhill {

//-----------------------------------------------------------------------------
// [SECTION] Settings
//-----------------------------------------------------------------------------

struct sidecar_settings {
    std::string name; // unique name of the VM
    std::string data_centre;
    std::string pool;
    std::string version; // version that the target serves at start
    target_kind kind{target_kind::model_engine};
    bool checks_fencing{};      // the target rejects outdated fencing tokens
    incarnation_id incarnation; // random, regenerated at every process start
    std::uint64_t seed{1};
    std::uint64_t fence{}; // fencing token: start time in microseconds, increases with every incarnation
    membership_settings membership;
    limit_settings limits; // overridden by the pool's declaration once it is known
    fair_scheduler_settings scheduler;
    order_settings orders;
    duration isolation_limit{3s};     // isolated if no router has confirmed the configuration for this long
    duration config_wait_timeout{1s}; // maximum wait for the newer configuration that a request refers to
    duration drain_limit{30s};        // on shutdown, calls still running after this time are abandoned
    duration stream_idle_timeout{5s}; // a model engine call without data for this long counts as lost
    duration service_call_timeout{30s};
    /// After a lost connection, how long to wait for a status report that shows a target crash.
    duration crash_detection_timeout{1s};
    std::uint32_t max_preemptions{2}; // per stream
    /// Batch requests that have waited longer than this go before interactive ones, as long as batch occupies
    /// less than the share interactive_reserve of the limit.
    duration batch_wait_threshold{10s};
    /// Interactive requests that have waited longer than this lose their priority over batch requests when
    /// interactive accounts are ahead of batch accounts by more than max_class_lead of service per share.
    duration interactive_wait_threshold{1s};
    duration max_class_lead{5s};
};

//-----------------------------------------------------------------------------
// [SECTION] Calls
//-----------------------------------------------------------------------------

/// A request in flight on the target.
struct running_call {
    assign assignment;
    link_id link{}; // to the router that receives the answer
    std::uint64_t chunks{};
    std::uint64_t offset{};
    std::uint32_t tokens{}; // generated in this attempt
    double charged_units{}; // service units
    std::uint64_t checksum{};
    std::string stored_body; // orders: the answer so far, stored to reply to repeated requests
    time_point started{};
    time_point first_byte{};
    time_point last_byte{};
    /// Load level when the call started; load_level_warming if the target has gone cold since.
    std::uint32_t load_level{};
    bool ran_alone{true}; // no other call has been in flight since this one started
    /// Set when the connection broke and it is not yet known whether the target crashed.
    std::optional<time_point> connection_lost_at;
    std::string traceparent;
};

/// A pull that the router has not answered yet.
struct open_pull {
    link_id link{};
    account_id account;
    request_class cls{request_class::interactive};
    double cost_hint{};
    time_point sent_at{};
};

/// Requests of one account and class that are queued in one router.
struct reservation {
    link_id link{};
    std::string version;
    std::uint32_t waiting{};
    std::uint64_t oldest_ms{};
    double cost_hint{};
};

//-----------------------------------------------------------------------------
// [SECTION] Target version
//-----------------------------------------------------------------------------

/// Warm-up after a start or a cold cache. Latencies measured during it are not attributed to the version.
struct warmup_state {
    time_point warmup_end{};
    time_point last_cold_at{};
};

/// A pending load of a version on the target.
struct version_load {
    std::string version; // empty: none
    time_point requested_at{};
    time_point started_at{};  // when the engine was told to load; zero while running calls drain
    std::uint64_t commands{}; // load commands sent by this incarnation
};

//-----------------------------------------------------------------------------
// [SECTION] State
//-----------------------------------------------------------------------------

struct sidecar_state {
    explicit sidecar_state(sidecar_settings s);

    sidecar_settings settings;
    random_source random;
    time_point started{};
    time_point now{};
    configuration config;
    membership members;
    target_limit limit;
    std::array<fair_scheduler, 2> schedulers; // by request_class
    std::map<account_id, std::array<std::vector<reservation>, 2>> reservations;
    std::map<attempt_id, running_call> running;
    std::map<std::uint64_t, open_pull> pulls;
    std::vector<std::uint64_t> stored_prefixes;  // since the last heartbeat
    std::vector<std::uint64_t> evicted_prefixes; // since the last heartbeat
    std::array<std::uint32_t, 2> occupied{};     // running calls and open pulls, by request_class
    std::uint32_t running_suspects{};            // quarantine suspects in flight; each must run alone
    std::uint64_t window_tokens{};               // generated since window_start
    double window_seconds{};                     // generation time of these tokens, summed over streams
    time_point window_start{};
    std::uint64_t next_pull{1};
    sent_order_table orders;
    std::set<condemned_version> condemned;
    warmup_state warmup;
    version_load load;
    target_status target;
    bool target_known{};
    bool was_serving{}; // accepted new work at the previous event
    time_point confirmed_at{};
    struct deferred_work {
        link_id link{};
        assign assignment;
        time_point since{};
    };
    std::vector<deferred_work> deferred; // work that requires newer configuration than is in force here
    time_point next_config_pull{};
    bool stopping{};
    time_point stop_requested_at{};
    bool exited{};
    serving_state announced_state{serving_state::warming};
};

//-----------------------------------------------------------------------------
// [SECTION] Reducer
//-----------------------------------------------------------------------------

/// Applies one event to the state and appends the effects for the program to perform. Deterministic: the
/// result depends only on the arguments.
void reduce(sidecar_state& state, const sidecar_event& event, effects& out);

/// Current serving state; the sidecar accepts new work only in `serving`.
[[nodiscard]] serving_state serving(const sidecar_state& state);

//-----------------------------------------------------------------------------
// [SECTION] Reducer internals
//-----------------------------------------------------------------------------

namespace detail {

/// Load level reported for an attempt that starts now.
[[nodiscard]] std::uint32_t current_load_level(const sidecar_state& state);
/// Starts the warm-up period; called when the target has started, restarted or changed its version.
void start_warmup(sidecar_state& state);
/// Restarts the warm-up period when latencies show that the target has gone cold.
void on_target_cold(sidecar_state& state);
/// Accepts a router's command to load a version; returns false if it does not apply in the current state.
bool accept_load_order(sidecar_state& state, const load_order& command);
/// Sends the load command once no calls are running, and records success or failure of the load.
void advance_load(sidecar_state& state, effects& out);

} // namespace detail

} // namespace damaskhill
