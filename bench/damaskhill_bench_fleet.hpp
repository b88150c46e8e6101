// Discrete-event simulation of a fleet: runs the real router and sidecar reducers against fakes of the store
// and the targets, on one event queue with a virtual clock. CPU time and other machine costs are not
// modelled.
//
// Index of this file:
// [SECTION] Fake store
// [SECTION] Fake target
// [SECTION] Nodes
// [SECTION] Callers
// [SECTION] Fleet

#pragma once

#include "damaskhill_invariants.hpp"
#include "damaskhill_router.hpp"
#include "damaskhill_sidecar.hpp"

#include <memory>
#include <queue>

namespace damaskhill::bench {

//-----------------------------------------------------------------------------
// [SECTION] Fake store
//-----------------------------------------------------------------------------

struct store_faults {
    bool down{};
    duration delay{2ms};    // of each reply
    double lost_requests{}; // share of calls that never reach the store
    double lost_replies{};  // share of calls whose reply is lost after they took effect
    double late_writes{};   // share of writes that take effect only after `late_write_delay`, without a reply
    duration late_write_delay{2s};
};

struct fake_store {
    std::map<std::string, std::pair<std::uint64_t, order_log>> orders; // version and value
    std::map<std::string, team_declarations, std::less<>> teams;
    std::map<std::string, std::uint64_t, std::less<>> team_revisions; // store revision of the last change
    std::uint64_t revision{};
    std::uint64_t facts_version{};
    facts stored_facts;
    std::vector<vm_entry> vms;
    store_faults faults;
    std::set<std::string> blocked_routers; // names of routers that cannot reach the store
    std::uint64_t reads{};
    std::uint64_t writes{};
    std::uint64_t watches{};
};

//-----------------------------------------------------------------------------
// [SECTION] Fake target
//-----------------------------------------------------------------------------

struct target_settings {
    target_kind kind{target_kind::model_engine};
    std::string version{"v1"};
    double warm_limit{16};              // calls that run at full speed once warm
    double cold_limit{2};               // calls that run without overload while cold
    duration token_time{5ms};           // engine: per token
    duration first_token_time{30ms};    // engine: before the first token
    duration work_time{10ms};           // service: of one call
    duration cold_time{3s};             // after a start, a crash, a version load or reset_to_cold()
    double cold_factor{4.0};            // by which a cold target is slower
    bool refuses_when_overloaded{true}; // responds with 503 beyond cold_limit while cold
};

struct target_faults {
    double fail_rate{}; // share of calls that fail with 500
    double slow_factor{1.0};
    bool unresponsive{};          // accepts calls and never sends a byte
    double lost_replies{};        // services: share of calls that run but whose connection breaks
    bool deduplicates_requests{}; // services: a repeated idempotency key gets a reply without a second run
    bool crash_on_marker{true};   // a call whose body contains "CRASH" crashes the target
};

/// Faults of one version, on every target that runs it.
struct version_fault {
    double fail_rate{};      // share of calls that fail with 500
    double slow_factor{1.0}; // multiplies the time of every call
    time_point starts_at{};  // no fault before this time
    double min_load{};       // applies only while this share of warm_limit is in use
    std::string path;        // applies only to calls whose path contains this text
};

struct target_call {
    start_call request;
    double work_total{}; // tokens, or 1 for a service
    double work_done{};
    std::uint64_t bytes_sent{}; // of the response
    bool failure_decided{};     // whether the call fails has been drawn, at its first step
    time_point started_at{};
    bool side_effect_done{}; // services: the side effect has happened
    bool unresponsive{};
};

struct fake_target {
    target_settings settings;
    target_faults faults;
    std::map<std::string, version_fault> version_faults; // by version
    std::map<attempt_id, target_call> calls;
    std::string version;
    std::uint64_t boot{1};
    time_point cold_until{};
    bool up{true};
    std::uint64_t calls_started{};
    std::uint64_t overloads_while_cold{}; // calls that arrived at or above cold_limit while cold
    std::uint64_t max_calls_while_cold{};
    std::set<std::string> seen_keys; // idempotency keys that have run
    std::uint64_t crashes{};
    double busy_seconds{}; // integral of running calls over time, each sample capped at warm_limit
};

/// Text that a model engine generates for a body, which is the only input.
[[nodiscard]] std::string expected_text(std::string_view body, std::uint64_t tokens);
/// Number of tokens that a body requests: the digits after "tokens=" in it, or 16.
[[nodiscard]] std::uint64_t requested_tokens(std::string_view body);
/// Order number in a body: the text after "order=", or empty.
[[nodiscard]] std::string parse_order_number(std::string_view body);

//-----------------------------------------------------------------------------
// [SECTION] Nodes
//-----------------------------------------------------------------------------

struct fleet_link {
    std::size_t peer{}; // node at the other end
    link_id peer_link{};
    bool message_lost{}; // a message was lost, so no later one may arrive
    time_point last_arrival{};
};

struct node {
    std::string name;
    std::string data_centre;
    std::string pool;                     // sidecars
    std::unique_ptr<router_state> router; // exactly one of this and `sidecar` is set
    std::unique_ptr<sidecar_state> sidecar;
    fake_target target; // sidecars
    std::map<link_id, fleet_link> links;
    link_id next_link{1};
    std::uint64_t generation{1}; // incremented by each start; events of older ones are dropped
    bool up{true};
    bool paused{};
    std::vector<std::function<void()>> deferred; // events that arrived during a pause
    std::uint64_t bytes_sent{};                  // encoded messages; needs measure_bytes
    std::uint64_t messages_sent{};
    std::uint64_t data_bytes_sent{}; // part of bytes_sent that carries requests and responses
};

//-----------------------------------------------------------------------------
// [SECTION] Callers
//-----------------------------------------------------------------------------

struct caller_result {
    caller_id caller{};
    std::size_t router{};
    time_point sent_at{};
    time_point first_byte_at{};
    time_point ended_at{}; // unset while the request is in progress
    bool answered{};
    bool connection_failed{}; // the router was down or killed, or the stream ended with an error
    std::uint32_t status{};
    std::string text; // response body, or the stream's text so far
    failure_kind refusal{failure_kind::none};
    run_state state{run_state::not_run};
    caller_request request;
};

//-----------------------------------------------------------------------------
// [SECTION] Fleet
//-----------------------------------------------------------------------------

struct pool_settings {
    std::string name;
    std::size_t replicas{12};
    target_settings target;
};

struct fleet_settings {
    std::uint64_t seed{1};
    std::vector<std::string> data_centres{"dc-a", "dc-b", "dc-c"};
    std::size_t routers{3};
    std::vector<pool_settings> pools;
    duration link_delay{1ms};
    duration tick_period{10ms};
    duration target_step{10ms};
    bool measure_bytes{};
    std::function<void(router_settings&)> configure_router;
    std::function<void(sidecar_settings&)> configure_sidecar;
};

class fleet {
public:
    explicit fleet(fleet_settings settings);

    /// Runs all events due up to a virtual time, and advances the clock to it.
    void run_until(time_point end);
    void run_for(duration time) { run_until(now_ + time); }
    /// Runs `work` at a virtual time, or now if that time has passed.
    void schedule(time_point when, std::function<void()> work);
    [[nodiscard]] time_point now() const { return now_; }
    random_source& random() { return random_; }

    /// Writes a team's declarations to the store under the next revision, as an operator would.
    void declare(team_declarations declared);

    /// Sends a request to a router; result() is filled in as events run. The key hash identifies the account.
    caller_id send_request(std::size_t router, caller_request request);
    [[nodiscard]] const caller_result& result(caller_id caller) const { return results_.at(caller); }
    [[nodiscard]] const std::map<caller_id, caller_result>& results() const { return results_; }
    std::function<void(const caller_result&)> on_end; // on a response, a refusal or a broken connection

    // Faults. Nodes are routers 0 to routers - 1, then the sidecars of each pool in order.
    void restart(std::size_t node, bool target_too); // new incarnation with empty state
    void kill(std::size_t node);
    void start(std::size_t node);
    void pause(std::size_t node);
    void resume(std::size_t node);
    void stop(std::size_t node);                      // SIGTERM
    void block_traffic(std::size_t a, std::size_t b); // drops messages and fails dials between the two
    void unblock_traffic(std::size_t a, std::size_t b);
    void unblock_all_traffic();
    void partition_data_centre(std::string_view name); // blocks traffic to all others and the store
    void reconnect_data_centre(std::string_view name);
    void crash_target(std::size_t node);
    void reset_to_cold(std::size_t node);

    std::vector<node>& nodes() { return nodes_; }
    node& router(std::size_t i) { return nodes_[i]; }
    [[nodiscard]] std::vector<std::size_t> sidecars(std::string_view pool) const;
    [[nodiscard]] std::size_t router_count() const { return settings_.routers; }
    fake_store& store() { return store_; }
    /// Runs of each order number, over all targets and the whole simulation.
    std::map<std::string, std::uint64_t> order_runs;
    std::vector<std::pair<time_point, std::size_t>> version_loads; // time and node
    std::map<std::string, std::uint64_t> counters;                 // sums of `count` effects, by "name/label"
    /// Called after each event with the effects of the node that handled it.
    std::function<void(std::size_t node, const effects&)> observer;
    /// Called before a sidecar handles an event.
    std::function<void(std::size_t node, const sidecar_input&)> input_observer;
    /// May change a node's effects before they are observed and performed, to simulate faulty
    /// implementations.
    std::function<void(std::size_t node, effects&)> rewrite_effects;

private:
    struct scheduled_event {
        time_point due;
        std::uint64_t sequence; // keeps events due at the same time in order
        std::function<void()> work;
        bool operator<(const scheduled_event& other) const {
            return std::pair{due, sequence} > std::pair{other.due, other.sequence};
        }
    };
    using caller_key = std::pair<std::size_t, caller_id>;

    void create_router(std::size_t i);
    void create_sidecar(std::size_t i);
    void tick_node(std::size_t i, std::uint64_t generation);
    void advance_target(std::size_t i);
    void reduce_event(std::size_t i, router_input input);
    void reduce_event(std::size_t i, sidecar_input input);
    template <class Input>
    void deliver(std::size_t i, std::uint64_t generation, Input input);
    void perform(std::size_t i, effect& item);
    void perform_message(std::size_t i, const send_message& message);
    void perform_dial(std::size_t i, const dial& target);
    void perform_close(std::size_t i, link_id link);
    void perform_store(std::size_t i, const effect& item);
    void answer_watch(std::size_t i, std::uint64_t generation, std::uint64_t after, time_point until);
    [[nodiscard]] const version_fault* active_fault(const fake_target& target, const target_call& call) const;
    void start_target_call(std::size_t i, const start_call& call);
    void finish_target_call(std::size_t i, attempt_id attempt, bool transport_ok, std::uint32_t status);
    void advance_call(std::size_t i, target_call& call, double tokens);
    void close_all_links(std::size_t i);
    void complete_request(caller_result& result);
    [[nodiscard]] bool is_traffic_blocked(std::size_t a, std::size_t b) const;
    [[nodiscard]] bool store_reachable(std::size_t i) const;

    fleet_settings settings_;
    random_source random_;
    time_point now_;
    std::uint64_t next_sequence_{1};
    std::priority_queue<scheduled_event> queue_;
    std::vector<node> nodes_;
    fake_store store_;
    std::set<std::pair<std::size_t, std::size_t>> blocked_pairs_;
    std::map<caller_id, caller_result> results_;
    caller_id next_caller_{1};
};

} // namespace damaskhill::bench
