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
    service_order_settings order_of_service;
    order_settings orders;
    duration isolation_limit{3s}; // without configuration confirmed by any router
    duration behind_limit{1s};    // how long work waits for the newer configuration that it names
    duration drain_limit{30s};    // after which a stop abandons what still runs
    duration idle_call_limit{5s}; // a model engine that sends nothing for so long is taken as lost
    duration service_call_limit{30s};
    std::uint32_t max_preemptions{2}; // of one stream
};

//-----------------------------------------------------------------------------
// [SECTION] Calls
//-----------------------------------------------------------------------------

/// One request that runs on the target.
struct running_call {
    assign work;
    link_id link{}; // of the router that wants the answer
    std::uint64_t chunks{};
    std::uint64_t offset{};
    std::uint64_t checksum{};
    std::string kept; // orders: the answer, for repeats
    time_point started{};
    time_point first_byte{};
    time_point last_byte{};
    bool ran_alone{true}; // nothing else has run on the target since it started
    std::uint32_t load_level{};
    std::string traceparent;
};

/// A pull that the router has not answered.
struct open_pull {
    link_id link{};
    account_id account;
    request_class cls{request_class::interactive};
    double cost_hint{};
    time_point asked{};
};

/// Requests of one account and class that wait in one router.
struct waiting_row {
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
struct target_warmth {
    time_point warm_at{};
    time_point last_cold_turn{};
};

/// A version that the target is to load.
struct version_load {
    std::string wanted; // empty: none
    time_point asked{};
    time_point ordered{}; // when the engine was told; zero while calls still run
    std::uint64_t orders{};
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
    std::array<service_order, 2> order; // by request_class
    std::map<account_id, std::array<std::vector<waiting_row>, 2>> rows;
    std::map<attempt_id, running_call> running;
    std::map<std::uint64_t, open_pull> pulls;
    std::uint64_t next_pull{1};
    order_memory orders;
    std::set<condemned_version> condemned;
    target_warmth warmth;
    version_load load;
    target_status target;
    bool target_known{};
    bool served{}; // it took new work at the last event
    time_point confirmed_at{};
    struct held_work {
        link_id link{};
        assign work;
        time_point since{};
    };
    std::vector<held_work> held; // work that names configuration newer than the one here
    time_point next_config_pull{};
    bool stopping{};
    time_point stop_at{};
    bool exited{};
    serving_state announced{serving_state::warming};
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
[[nodiscard]] std::uint32_t present_load_level(const sidecar_state& state);
/// The target has started, restarted or changed its version.
void note_target_start(sidecar_state& state);
/// Latencies show that the target has turned cold.
void note_cold_turn(sidecar_state& state);
/// Takes a router's order to load a version; returns false if the order is out of place.
bool take_load_order(sidecar_state& state, const load_order& asked);
/// Tells the engine to load once nothing runs, and notes its success or failure.
void on_load_tick(sidecar_state& state, effects& out);

} // namespace detail

} // namespace damaskhill
