// Wires the real reducers of routers and sidecars to small fakes of the platform through one in-memory event
// queue with a virtual clock. Delays, drops and pauses are lists; nothing here models a machine.
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
    double late_writes{};   // share of writes that take effect only after `late_by`, without a reply
    duration late_write_delay{2s};
};

struct fake_store {
    std::map<std::string, std::pair<std::uint64_t, order_log>> orders; // version and value
    std::map<std::string, team_declarations, std::less<>> teams;
    std::map<std::string, std::uint64_t, std::less<>> team_changed; // store revision of the last change
    std::uint64_t revision{};
    std::uint64_t facts_version{};
    facts known;
    std::vector<vm_entry> vms;
    store_faults faults;
    std::set<std::string> cut; // names of routers that cannot reach it
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
    double room{16};                    // calls that run at full speed
    double cold_limit{2};               // calls that it bears while cold
    duration token_time{5ms};           // engine: between two tokens
    duration first_token_time{30ms};    // engine: before the first token
    duration work_time{10ms};           // service: of one call
    duration cold_time{3s};             // after a start or a cold turn
    double cold_factor{4.0};            // how much slower a cold target is
    bool refuses_when_overloaded{true}; // answers 503 beyond its limit while cold
};

struct target_faults {
    double fail_rate{}; // share of calls that fail with 500
    double slow_factor{1.0};
    bool silent{};                // accepts calls and never sends a byte
    double lost_replies{};        // services: the call runs, and its connection breaks
    bool deduplicates_requests{}; // services: a repeated idempotency key is answered without a second run
    bool crash_on_marker{true};   // a call whose body holds "CRASH" takes the target down
};

/// What is wrong with one version, on whichever target runs it.
struct version_fault {
    double fail_rate{};      // share of calls that fail with 500
    double slow_factor{1.0}; // of every answer
    time_point from{};       // good before
    double min_load{};       // share of the room that must be in use
    std::string path;        // only calls whose path holds this text
};

struct target_call {
    start_call call;
    double work{}; // tokens, or 1 for a service
    double done{};
    std::uint64_t sent{}; // bytes of the answer
    bool began{};
    time_point started{};
    bool ran{}; // services: the side effect has happened
    bool silent{};
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
    std::uint64_t started{};
    std::uint64_t overloads_while_cold{}; // calls beyond the cold limit while cold
    std::uint64_t max_running_cold{};
    std::set<std::string> seen_keys; // idempotency keys that have run
    std::uint64_t crashes{};
    double busy_seconds{}; // sum over time of running calls, up to the room
};

/// Answer that a model engine gives to a body: depends on nothing else.
[[nodiscard]] std::string expected_text(std::string_view body, std::uint64_t tokens);
/// Number of tokens that a body asks for: the digits after "tokens=" in it, or 16.
[[nodiscard]] std::uint64_t requested_tokens(std::string_view body);
/// Order number in a body: the text after "order=", or empty.
[[nodiscard]] std::string parse_order_number(std::string_view body);

//-----------------------------------------------------------------------------
// [SECTION] Nodes
//-----------------------------------------------------------------------------

struct fleet_link {
    std::size_t peer{}; // node at the other end
    link_id peer_link{};
    bool broken{}; // a message was lost: nothing passes any more
    time_point last_arrival{};
};

struct node {
    std::string name;
    std::string data_centre;
    std::string pool;                     // sidecars
    std::unique_ptr<router_state> router; // one of the two
    std::unique_ptr<sidecar_state> sidecar;
    fake_target target; // sidecars
    std::map<link_id, fleet_link> links;
    link_id next_link{1};
    std::uint64_t generation{1}; // grows with each restart
    bool up{true};
    bool paused{};
    std::vector<std::function<void()>> deferred; // events that arrived during a pause
    std::uint64_t bytes_sent{};                  // encoded messages, when measured
    std::uint64_t messages_sent{};
    std::uint64_t data_bytes_sent{}; // part of bytes_sent that carries requests and answers
};

//-----------------------------------------------------------------------------
// [SECTION] Callers
//-----------------------------------------------------------------------------

struct caller_result {
    caller_id caller{};
    std::size_t router{};
    time_point asked{};
    time_point first{}; // of the first byte
    time_point ended{};
    bool answered{};
    bool broken{}; // the router died, or the stream ended with an error
    std::uint32_t status{};
    std::string text; // whole answer, or what the stream brought
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

    /// Runs events until the virtual time.
    void run_until(time_point end);
    void run_for(duration time) { run_until(now_ + time); }
    void at(time_point when, std::function<void()> work);
    [[nodiscard]] time_point now() const { return now_; }
    random_source& random() { return random_; }

    /// Writes a team's declarations into the store with the next revision, as operators do.
    void declare(team_declarations declared);

    /// Sends a request to a router; the result fills in as events pass. The key hash names the account.
    caller_id ask(std::size_t router, caller_request request);
    [[nodiscard]] const caller_result& result(caller_id caller) const { return results_.at(caller); }
    [[nodiscard]] const std::map<caller_id, caller_result>& results() const { return results_; }
    std::function<void(const caller_result&)> on_end; // an answer, a refusal or a broken connection

    // Faults. Nodes are routers 0 to routers - 1, then the sidecars of each pool in order.
    void restart(std::size_t node, bool target_too); // new incarnation with empty memory
    void kill(std::size_t node);
    void start(std::size_t node);
    void pause(std::size_t node);
    void resume(std::size_t node);
    void stop(std::size_t node);            // SIGTERM
    void cut(std::size_t a, std::size_t b); // messages between them are lost from now on
    void heal(std::size_t a, std::size_t b);
    void heal_all();
    void partition_data_centre(std::string_view name); // from all others and from the store
    void heal_data_centre(std::string_view name);
    void crash_target(std::size_t node);
    void reset_to_cold(std::size_t node);

    std::vector<node>& nodes() { return nodes_; }
    node& router(std::size_t i) { return nodes_[i]; }
    [[nodiscard]] std::vector<std::size_t> sidecars(std::string_view pool) const;
    [[nodiscard]] std::size_t router_count() const { return settings_.routers; }
    fake_store& store() { return store_; }
    /// Order number to how often it has run, over all targets and for good.
    std::map<std::string, std::uint64_t> order_runs;
    std::vector<std::pair<time_point, std::size_t>> loads; // orders to load a version, by node
    std::map<std::string, std::uint64_t> counters;         // effects `count`, by "name/label"
    /// Called after each event with the effects of the node that took it.
    std::function<void(std::size_t node, const effects&)> observer;
    /// Called before a sidecar takes an event.
    std::function<void(std::size_t node, const sidecar_input&)> input_observer;
    /// May change the effects of a node before they are observed and performed: deliberately broken variants.
    std::function<void(std::size_t node, effects&)> rewrite_effects;

private:
    struct scheduled_event {
        time_point at;
        std::uint64_t number;
        std::function<void()> work;
        bool operator<(const scheduled_event& other) const {
            return std::pair{at, number} > std::pair{other.at, other.number};
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
    [[nodiscard]] bool is_cut(std::size_t a, std::size_t b) const;
    [[nodiscard]] bool store_reachable(std::size_t i) const;

    fleet_settings settings_;
    random_source random_;
    time_point now_;
    std::uint64_t next_event_number_{1};
    std::priority_queue<scheduled_event> queue_;
    std::vector<node> nodes_;
    fake_store store_;
    std::set<std::pair<std::size_t, std::size_t>> cuts_;
    std::map<caller_id, caller_result> results_;
    caller_id next_caller_{1};
};

} // namespace damaskhill::bench
