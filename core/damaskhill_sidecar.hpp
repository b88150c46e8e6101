// The sidecar: the only sender to one target, which decides what the target runs next.
//
// Index of this file:
// [SECTION] Settings
// [SECTION] Calls
// [SECTION] Version of the target
// [SECTION] State
// [SECTION] Reducer
// [SECTION] Parts for the reducer

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
    bool checks_fencing{};      // the target refuses old fencing numbers
    incarnation_id incarnation; // random, new for each start
    std::uint64_t seed{1};
    std::uint64_t fence{}; // fencing number: time of start in microseconds, grows with each incarnation
    membership_settings membership;
    limit_settings limits; // replaced by the pool's declaration when it is known
    fair_scheduler_settings fair_queue;
    order_settings orders;
    duration isolation_limit{3s};     // without configuration confirmed by any router
    duration config_wait_timeout{1s}; // how long work waits for the newer configuration that it names
    duration drain_limit{30s};        // after which a stop abandons what still runs
    duration stream_idle_timeout{5s}; // a model engine that sends nothing for so long is taken as lost
    duration service_call_timeout{30s};
    duration crash_detection_timeout{1s}; // after a lost connection, in which status reports show a crash
    std::uint32_t max_preemptions{2};     // of one stream
    duration batch_wait_threshold{
        10s}; // batch requests that wait for longer have a claim on the reserved part
    duration interactive_wait_threshold{
        1s};                     // interactive requests that wait for longer have no precedence beyond
    duration max_class_lead{5s}; // this much service per share ahead of the batch accounts
};

//-----------------------------------------------------------------------------
// [SECTION] Calls
//-----------------------------------------------------------------------------

/// One request that runs on the target.
struct running_call {
    assign assignment;
    link_id link{}; // of the router that wants the answer
    std::uint64_t chunks{};
    std::uint64_t offset{};
    std::uint32_t tokens{}; // generated in this attempt
    double charged_units{}; // service units
    std::uint64_t checksum{};
    std::string stored_body; // orders: the answer, for repeats
    time_point started{};
    time_point first_byte{};
    time_point last_byte{};
    std::uint32_t load_level{};
    bool ran_alone{true}; // nothing else has run on the target since it started
    std::optional<time_point>
        connection_lost_at; // its connection broke; whether the target crashed is not known yet
    std::string traceparent;
};

/// A pull that the router has not answered.
struct open_pull {
    link_id link{};
    account_id account;
    request_class cls{request_class::interactive};
    double cost_hint{};
    time_point sent_at{};
};

/// Requests of one account and class that wait in one router.
struct reservation {
    link_id link{};
    std::string version;
    std::uint32_t waiting{};
    std::uint64_t oldest_ms{};
    double cost_hint{};
};

//-----------------------------------------------------------------------------
// [SECTION] Version of the target
//-----------------------------------------------------------------------------

/// Until when the latency of the target says nothing about its version.
struct warmup_state {
    time_point warmup_end{};
    time_point last_cold_at{};
};

/// A version that the target is to load.
struct version_load {
    std::string version; // empty: none
    time_point requested_at{};
    time_point started_at{}; // when the engine was told; zero while calls still run
    std::uint64_t commands{};
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
    std::array<fair_scheduler, 2> fair_queues; // by request_class
    std::map<account_id, std::array<std::vector<reservation>, 2>> reservations;
    std::map<attempt_id, running_call> running;
    std::map<std::uint64_t, open_pull> pulls;
    std::vector<std::uint64_t> stored_prefixes;  // since the last heartbeat
    std::vector<std::uint64_t> evicted_prefixes; // since the last heartbeat
    std::array<std::uint32_t, 2> occupied{};     // running calls and open pulls, by request_class
    std::uint32_t running_suspects{};            // running calls that must run alone
    std::uint64_t window_tokens{};               // generated since window_start
    double window_seconds{};                     // that streams took for them, summed over the streams
    time_point window_start{};
    std::uint64_t next_pull{1};
    sent_order_table orders;
    std::set<condemned_version> condemned;
    warmup_state warmup;
    version_load load;
    target_status target;
    bool target_known{};
    bool was_serving{}; // it took new work at the last event
    time_point confirmed_at{};
    struct deferred_work {
        link_id link{};
        assign assignment;
        time_point since{};
    };
    std::vector<deferred_work> deferred; // work that names configuration newer than the one here
    time_point next_config_pull{};
    bool stopping{};
    time_point stop_requested_at{};
    bool exited{};
    serving_state announced_state{serving_state::warming};
};

//-----------------------------------------------------------------------------
// [SECTION] Reducer
//-----------------------------------------------------------------------------

/// Takes one event into the state and appends the effects that the program has to perform.
/// Depends on nothing but its arguments.
void reduce(sidecar_state& state, const sidecar_event& event, effects& out);

/// Whether the sidecar may take new work now.
[[nodiscard]] serving_state serving(const sidecar_state& state);

//-----------------------------------------------------------------------------
// [SECTION] Parts for the reducer
//-----------------------------------------------------------------------------

namespace detail {

/// Load level that an attempt which starts now reports.
[[nodiscard]] std::uint32_t current_load_level(const sidecar_state& state);
/// The target has started, restarted or changed its version.
void start_warmup(sidecar_state& state);
/// Latencies show that the target has turned cold.
void on_target_cold(sidecar_state& state);
/// Takes a router's order to load a version; returns false if the order is out of place.
bool accept_load_order(sidecar_state& state, const load_order& asked);
/// Tells the engine to load once nothing runs, and notes its success or failure.
void advance_load(sidecar_state& state, effects& out);

} // namespace detail

} // namespace damaskhill
