// Input events of the reducers and the effects that they return.
//
// A program converts external input (sockets, timers, replies) into events, calls the reducer and performs
// the effects. Every event carries its time, so that replaying a recording yields the same effects.
//
// Index of this file:
// [SECTION] Events from callers
// [SECTION] Events from links
// [SECTION] Events from the platform
// [SECTION] Events from the target
// [SECTION] Event types
// [SECTION] Effects on callers
// [SECTION] Effects on links and the platform
// [SECTION] Effects on the target
// [SECTION] Observability
// [SECTION] Effect types

#pragma once

#include "damaskhill_messages.hpp"

namespace damaskhill {

//-----------------------------------------------------------------------------
// [SECTION] Events from callers
//-----------------------------------------------------------------------------

enum class caller_route : std::uint8_t { completions, chat_completions, service, fetch_answer };

/// A completely received and decoded request.
struct caller_request {
    caller_id caller{};
    caller_route route{caller_route::completions};
    std::string pool;   // model name, or service name from the path
    std::string method; // services: HTTP method
    std::string path;   // services: path below the pool, with query
    std::string content_type;
    std::string body;
    std::string key_hash;             // hexadecimal SHA-256 of the caller's key; empty without a key
    std::string idempotency_key;      // as sent; empty if not given
    std::string traceparent;          // as sent
    request_id request;               // from X-Request-Id or the path; empty if not given
    std::optional<request_class> cls; // from X-Damaskhill-Class
    bool stream{};
    std::uint32_t max_tokens{};
    std::uint32_t prompt_tokens{}; // estimated from the length of the prompt
    std::uint64_t prefix_hash{};   // hash of the first part of the prompt, for the prefix cache
    std::uint64_t timeout_ms{};    // from X-Request-Timeout-Ms; 0 for the default
    static constexpr auto fields() {
        using t = caller_request;
        return std::tuple{field{1, "caller", &t::caller},
                          field{2, "route", &t::route},
                          field{3, "pool", &t::pool},
                          field{4, "method", &t::method},
                          field{5, "path", &t::path},
                          field{6, "content_type", &t::content_type},
                          field{7, "body", &t::body},
                          field{8, "key_hash", &t::key_hash},
                          field{9, "idempotency_key", &t::idempotency_key},
                          field{10, "traceparent", &t::traceparent},
                          field{11, "request", &t::request},
                          field{12, "cls", &t::cls},
                          field{13, "stream", &t::stream},
                          field{14, "max_tokens", &t::max_tokens},
                          field{15, "prompt_tokens", &t::prompt_tokens},
                          field{16, "prefix_hash", &t::prefix_hash},
                          field{17, "timeout_ms", &t::timeout_ms}};
    }
};

/// A request that could not be decoded; it is refused with run state not_run.
struct caller_malformed {
    caller_id caller{};
    failure_kind kind{failure_kind::malformed_request};
    std::string where;
    static constexpr auto fields() {
        using t = caller_malformed;
        return std::tuple{field{1, "caller", &t::caller}, field{2, "kind", &t::kind},
                          field{3, "where", &t::where}};
    }
};

/// The caller's connection was closed.
struct caller_disconnected {
    caller_id caller{};
    static constexpr auto fields() { return std::tuple{field{1, "caller", &caller_disconnected::caller}}; }
};

//-----------------------------------------------------------------------------
// [SECTION] Events from links
//-----------------------------------------------------------------------------

/// A connection to a peer was opened. The peer is unknown until its hello arrives.
struct link_opened {
    link_id link{};
    std::string dialed; // name of the dialled peer; empty for an accepted connection
    static constexpr auto fields() {
        return std::tuple{field{1, "link", &link_opened::link}, field{2, "dialed", &link_opened::dialed}};
    }
};

struct link_closed {
    link_id link{};
    failure_kind reason{failure_kind::network};
    static constexpr auto fields() {
        return std::tuple{field{1, "link", &link_closed::link}, field{2, "reason", &link_closed::reason}};
    }
};

struct dial_failed {
    std::string name;
    static constexpr auto fields() { return std::tuple{field{1, "name", &dial_failed::name}}; }
};

struct link_message {
    link_id link{};
    peer_message message;
    static constexpr auto fields() {
        return std::tuple{field{1, "link", &link_message::link}, field{2, "message", &link_message::message}};
    }
};

//-----------------------------------------------------------------------------
// [SECTION] Events from the platform
//-----------------------------------------------------------------------------

/// Reply of the key-value store to store_read or store_swap.
struct store_reply {
    std::uint64_t call{};
    failure_kind result{failure_kind::none}; // none, store_conflict, store_unreachable or store_timeout
    std::uint64_t version{};                 // current version of the record; 0 if it does not exist
    order_log log;                           // store_read only
    static constexpr auto fields() {
        using t = store_reply;
        return std::tuple{field{1, "call", &t::call}, field{2, "result", &t::result},
                          field{3, "version", &t::version}, field{4, "log", &t::log}};
    }
};

/// Result of one watch on the declarations. Declarations that could not be decoded are counted in rejected.
struct config_watch_result {
    failure_kind result{failure_kind::none};
    std::uint64_t store_revision{};
    std::vector<team_declarations> teams;
    std::uint32_t rejected{};
    static constexpr auto fields() {
        using t = config_watch_result;
        return std::tuple{field{1, "result", &t::result}, field{2, "store_revision", &t::store_revision},
                          field{3, "teams", &t::teams}, field{4, "rejected", &t::rejected}};
    }
};

/// Result of reading or writing the grow-only facts in the store.
struct facts_reply {
    failure_kind result{failure_kind::none};
    std::uint64_t version{};
    facts known;
    static constexpr auto fields() {
        using t = facts_reply;
        return std::tuple{field{1, "result", &t::result}, field{2, "version", &t::version},
                          field{3, "known", &t::known}};
    }
};

/// One entry of the platform's list of VMs, which may lag behind.
struct vm_entry {
    std::string name;
    std::string address; // IP address and port for links
    process_role role{process_role::sidecar};
    std::string data_centre;
    std::string pool;
    bool leaving{};
    std::string http; // IP address and port of /metrics, /readyz and /debug/revisions; may be empty
    static constexpr auto fields() {
        using t = vm_entry;
        return std::tuple{field{1, "name", &t::name}, field{2, "address", &t::address},
                          field{3, "role", &t::role}, field{4, "data_centre", &t::data_centre},
                          field{5, "pool", &t::pool}, field{6, "leaving", &t::leaving},
                          field{7, "http", &t::http}};
    }
};

struct vm_list {
    std::vector<vm_entry> vms;
    static constexpr auto fields() { return std::tuple{field{1, "vms", &vm_list::vms}}; }
};

/// Timer event, sent at a short fixed period.
struct tick {
    static constexpr auto fields() { return std::tuple{}; }
};

/// SIGTERM received: finish running requests and accept no new ones.
struct stop_requested {
    static constexpr auto fields() { return std::tuple{}; }
};

//-----------------------------------------------------------------------------
// [SECTION] Events from the target
//-----------------------------------------------------------------------------

struct call_chunk {
    attempt_id attempt;
    std::string data;
    std::uint32_t tokens{}; // model engines: number of tokens in the data
    static constexpr auto fields() {
        return std::tuple{field{1, "attempt", &call_chunk::attempt}, field{2, "data", &call_chunk::data},
                          field{3, "tokens", &call_chunk::tokens}};
    }
};

struct call_finished {
    attempt_id attempt;
    bool transport_ok{}; // the target's response was received completely
    bool sent{true};     // false: no byte of the request left this process
    bool overloaded{};   // the target rejected the call for lack of capacity (status 429 or 503)
    std::uint32_t status{};
    std::string content_type;
    std::uint32_t tokens{}; // model engines: number of tokens generated by this call
    static constexpr auto fields() {
        using t = call_finished;
        return std::tuple{field{1, "attempt", &t::attempt}, field{2, "transport_ok", &t::transport_ok},
                          field{3, "sent", &t::sent},       field{4, "overloaded", &t::overloaded},
                          field{5, "status", &t::status},   field{6, "content_type", &t::content_type},
                          field{7, "tokens", &t::tokens}};
    }
};

/// Status report of the target; may lag behind.
struct target_status {
    bool reachable{};
    bool ready{};
    std::string version; // version that it serves
    std::uint32_t running{};
    std::uint64_t boot{}; // changes when the target restarts
    static constexpr auto fields() {
        using t = target_status;
        return std::tuple{field{1, "reachable", &t::reachable}, field{2, "ready", &t::ready},
                          field{3, "version", &t::version}, field{4, "running", &t::running},
                          field{5, "boot", &t::boot}};
    }
};

/// Prefix-cache event of the engine. Events arrive late, and some are lost.
struct cache_event {
    std::uint64_t prefix_hash{};
    bool stored{}; // false: evicted
    static constexpr auto fields() {
        return std::tuple{field{1, "prefix_hash", &cache_event::prefix_hash},
                          field{2, "stored", &cache_event::stored}};
    }
};

//-----------------------------------------------------------------------------
// [SECTION] Event types
//-----------------------------------------------------------------------------

/// The index of an alternative is its number in recordings: only append.
using router_input = std::variant<tick, caller_request, caller_malformed, caller_disconnected, link_opened,
                                  link_closed, dial_failed, link_message, store_reply, config_watch_result,
                                  facts_reply, vm_list, stop_requested>;

using sidecar_input = std::variant<tick, link_opened, link_closed, link_message, call_chunk, call_finished,
                                   target_status, cache_event, stop_requested>;

struct router_event {
    time_point now{};
    router_input input;
    static constexpr auto fields() {
        return std::tuple{field{1, "now", &router_event::now}, field{2, "input", &router_event::input}};
    }
};

struct sidecar_event {
    time_point now{};
    sidecar_input input;
    static constexpr auto fields() {
        return std::tuple{field{1, "now", &sidecar_event::now}, field{2, "input", &sidecar_event::input}};
    }
};

//-----------------------------------------------------------------------------
// [SECTION] Effects on callers
//-----------------------------------------------------------------------------

/// Sends a complete response.
struct answer_whole {
    caller_id caller{};
    request_id request;
    std::uint32_t status{};
    std::string content_type;
    std::string body;
    static constexpr auto fields() {
        using t = answer_whole;
        return std::tuple{field{1, "caller", &t::caller}, field{2, "request", &t::request},
                          field{3, "status", &t::status}, field{4, "content_type", &t::content_type},
                          field{5, "body", &t::body}};
    }
};

/// Starts a response of server-sent events.
struct stream_begin {
    caller_id caller{};
    request_id request;
    static constexpr auto fields() {
        return std::tuple{field{1, "caller", &stream_begin::caller},
                          field{2, "request", &stream_begin::request}};
    }
};

struct stream_data {
    caller_id caller{};
    std::string text;
    static constexpr auto fields() {
        return std::tuple{field{1, "caller", &stream_data::caller}, field{2, "text", &stream_data::text}};
    }
};

/// Ends a stream. A reason other than none is sent to the caller as an error event.
struct stream_end {
    caller_id caller{};
    failure_kind reason{failure_kind::none};
    static constexpr auto fields() {
        return std::tuple{field{1, "caller", &stream_end::caller}, field{2, "reason", &stream_end::reason}};
    }
};

/// Refuses a request with application/problem+json.
struct refuse {
    caller_id caller{};
    request_id request;
    failure_kind kind{failure_kind::internal};
    run_state state{run_state::not_run};
    std::uint32_t retry_after_s{}; // 0: the caller should not retry
    std::string detail;
    static constexpr auto fields() {
        using t = refuse;
        return std::tuple{field{1, "caller", &t::caller},
                          field{2, "request", &t::request},
                          field{3, "kind", &t::kind},
                          field{4, "state", &t::state},
                          field{5, "retry_after_s", &t::retry_after_s},
                          field{6, "detail", &t::detail}};
    }
};

//-----------------------------------------------------------------------------
// [SECTION] Effects on links and the platform
//-----------------------------------------------------------------------------

struct send_message {
    link_id link{};
    peer_message message;
    static constexpr auto fields() {
        return std::tuple{field{1, "link", &send_message::link}, field{2, "message", &send_message::message}};
    }
};

struct dial {
    std::string name;
    std::string address;
    static constexpr auto fields() {
        return std::tuple{field{1, "name", &dial::name}, field{2, "address", &dial::address}};
    }
};

struct close_link {
    link_id link{};
    static constexpr auto fields() { return std::tuple{field{1, "link", &close_link::link}}; }
};

/// Reads one order record.
struct store_read {
    std::uint64_t call{};
    std::string key;
    static constexpr auto fields() {
        return std::tuple{field{1, "call", &store_read::call}, field{2, "key", &store_read::key}};
    }
};

/// Writes one order record if its version equals the expected one (0: the record must not exist).
struct store_swap {
    std::uint64_t call{};
    std::string key;
    std::uint64_t expected{};
    order_log log;
    static constexpr auto fields() {
        using t = store_swap;
        return std::tuple{field{1, "call", &t::call}, field{2, "key", &t::key},
                          field{3, "expected", &t::expected}, field{4, "log", &t::log}};
    }
};

/// Waits for declarations newer than the given store revision; the result arrives as config_watch_result.
struct watch_config {
    std::uint64_t after{};
    static constexpr auto fields() { return std::tuple{field{1, "after", &watch_config::after}}; }
};

/// Reads the grow-only facts (if expected is empty) or swaps them; the result arrives as facts_reply.
struct store_facts {
    std::optional<std::uint64_t> expected;
    facts value;
    static constexpr auto fields() {
        return std::tuple{field{1, "expected", &store_facts::expected},
                          field{2, "value", &store_facts::value}};
    }
};

/// Requests the list of VMs from the platform.
struct list_vms {
    static constexpr auto fields() { return std::tuple{}; }
};

/// Exits the process; sent when the shutdown after stop_requested is complete.
struct exit_process {
    static constexpr auto fields() { return std::tuple{}; }
};

//-----------------------------------------------------------------------------
// [SECTION] Effects on the target
//-----------------------------------------------------------------------------

struct start_call {
    attempt_id attempt;
    std::string method;
    std::string path;
    std::string content_type;
    std::string body;
    bool stream{};
    std::uint64_t resume_offset{};
    std::string traceparent;
    std::string idempotency_key; // orders: forwarded for targets that check it
    std::uint64_t fence{};       // fencing token of this incarnation
    static constexpr auto fields() {
        using t = start_call;
        return std::tuple{field{1, "attempt", &t::attempt},
                          field{2, "method", &t::method},
                          field{3, "path", &t::path},
                          field{4, "content_type", &t::content_type},
                          field{5, "body", &t::body},
                          field{6, "stream", &t::stream},
                          field{7, "resume_offset", &t::resume_offset},
                          field{8, "traceparent", &t::traceparent},
                          field{9, "idempotency_key", &t::idempotency_key},
                          field{10, "fence", &t::fence}};
    }
};

struct cancel_call {
    attempt_id attempt;
    static constexpr auto fields() { return std::tuple{field{1, "attempt", &cancel_call::attempt}}; }
};

/// Tells the engine to load a version.
struct load_version {
    std::string version;
    std::uint64_t fence{};
    static constexpr auto fields() {
        return std::tuple{field{1, "version", &load_version::version},
                          field{2, "fence", &load_version::fence}};
    }
};

//-----------------------------------------------------------------------------
// [SECTION] Observability
//-----------------------------------------------------------------------------

/// Adds to a counter.
struct count {
    std::string name; // Prometheus name without the prefix "damaskhill_"
    std::string label;
    std::uint64_t amount{1};
    static constexpr auto fields() {
        return std::tuple{field{1, "name", &count::name}, field{2, "label", &count::label},
                          field{3, "amount", &count::amount}};
    }
};

/// Sets a gauge.
struct gauge {
    std::string name;
    std::string label;
    double value{};
    static constexpr auto fields() {
        return std::tuple{field{1, "name", &gauge::name}, field{2, "label", &gauge::label},
                          field{3, "value", &gauge::value}};
    }
};

/// Records a value in seconds in a histogram.
struct observe {
    std::string name;
    std::string label;
    double seconds{};
    static constexpr auto fields() {
        return std::tuple{field{1, "name", &observe::name}, field{2, "label", &observe::label},
                          field{3, "seconds", &observe::seconds}};
    }
};

/// Writes one log line; used only for changes of state.
struct log_change {
    std::string text;
    static constexpr auto fields() { return std::tuple{field{1, "text", &log_change::text}}; }
};

/// Exports one finished trace span.
struct span {
    std::string traceparent; // of this span: trace id and span id
    std::string parent;      // traceparent of the parent span, or empty
    std::string name;
    time_point start{};
    time_point end{};
    bool ok{true};
    std::string detail;
    static constexpr auto fields() {
        using t = span;
        return std::tuple{field{1, "traceparent", &t::traceparent},
                          field{2, "parent", &t::parent},
                          field{3, "name", &t::name},
                          field{4, "start", &t::start},
                          field{5, "end", &t::end},
                          field{6, "ok", &t::ok},
                          field{7, "detail", &t::detail}};
    }
};

//-----------------------------------------------------------------------------
// [SECTION] Effect types
//-----------------------------------------------------------------------------

/// The index of an alternative is its number in recordings: only append.
using effect =
    std::variant<answer_whole, stream_begin, stream_data, stream_end, refuse, send_message, dial, close_link,
                 store_read, store_swap, watch_config, store_facts, list_vms, exit_process, start_call,
                 cancel_call, load_version, count, gauge, observe, log_change, span>;
using effects = std::vector<effect>;

} // namespace damaskhill
