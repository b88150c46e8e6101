// Messages between routers and sidecars, and the records that routers store in the key-value store.
//
// Index of this file:
// [SECTION] Links
// [SECTION] Reservations and assignments
// [SECTION] Orders
// [SECTION] Fairness
// [SECTION] Versions and quarantine
// [SECTION] Configuration
// [SECTION] Finished answers
// [SECTION] All messages

#pragma once

#include "damaskhill_config.hpp"
#include "damaskhill_fields.hpp"

namespace damaskhill {

//-----------------------------------------------------------------------------
// [SECTION] Links
//-----------------------------------------------------------------------------

inline constexpr std::uint32_t protocol_version = 1;

/// First message on a link, in each direction.
struct hello {
    std::uint32_t protocol{protocol_version};
    incarnation_id incarnation;
    process_role role{process_role::tool};
    std::string name; // unique name of the VM
    std::string data_centre;
    std::string pool;          // sidecars: pool of the target
    std::string version;       // sidecars: version that the target serves
    bool checks_fencing{};     // sidecars: the target rejects outdated fencing tokens
    std::uint64_t uptime_us{}; // time since the process started, microseconds
    static constexpr auto fields() {
        using t = hello;
        return std::tuple{field{1, "protocol", &t::protocol},
                          field{2, "incarnation", &t::incarnation},
                          field{3, "role", &t::role},
                          field{4, "name", &t::name},
                          field{5, "data_centre", &t::data_centre},
                          field{6, "pool", &t::pool},
                          field{7, "version", &t::version},
                          field{8, "checks_fencing", &t::checks_fencing},
                          field{20, "uptime_us", &t::uptime_us}};
    }
};

/// Sent periodically on a link so that a dead connection is detected.
struct heartbeat {
    std::uint64_t sequence{};
    serving_state state{serving_state::serving};
    std::uint32_t free_room{};            // sidecars: number of requests that could start now
    std::uint32_t limit{};                // sidecars: current concurrency limit
    std::vector<team_revision> revisions; // revisions that have just changed at the sender
    std::uint64_t confirmed_ms{}; // age of the latest successful store read known to the sender, milliseconds
    std::string version;          // sidecars: version that the target currently serves
    std::uint32_t digest{};       // digest of the revisions that the receiver should have in force too
    bool frequent{};              // requests heartbeats at the short period on this link
    // sidecars: prefix hashes added to the cache since the last heartbeat
    std::vector<std::uint64_t> stored_prefixes;
    std::vector<std::uint64_t> evicted_prefixes; // sidecars: prefix hashes evicted since then
    static constexpr auto fields() {
        using t = heartbeat;
        return std::tuple{field{1, "sequence", &t::sequence},
                          field{2, "state", &t::state},
                          field{3, "free_room", &t::free_room},
                          field{4, "limit", &t::limit},
                          field{5, "revisions", &t::revisions},
                          field{6, "confirmed_ms", &t::confirmed_ms},
                          field{7, "version", &t::version},
                          field{8, "digest", &t::digest},
                          field{9, "frequent", &t::frequent},
                          field{10, "stored_prefixes", &t::stored_prefixes},
                          field{11, "evicted_prefixes", &t::evicted_prefixes}};
    }
};

//-----------------------------------------------------------------------------
// [SECTION] Reservations and assignments
//-----------------------------------------------------------------------------

/// Number of requests of one account, class and version that are queued in the sending router for the
/// receiver's pool. A row replaces the previous row with the same account, class and version; waiting = 0
/// withdraws it.
struct reserve_row {
    account_id account;
    request_class cls{request_class::interactive};
    std::string version; // only targets with this version may run them; empty: any version
    std::uint32_t waiting{};
    std::uint64_t oldest_ms{}; // age of the oldest request, milliseconds
    double cost_hint{};        // expected cost of the next request, service units
    double share{1.0};         // relative weight of the account
    double fleet_service{};    // recent fleet-wide service of the account in this pool, units
    // age of the part of fleet_service reported by the aggregation router, milliseconds
    std::uint64_t service_age_ms{};
    std::uint64_t unserved_ms{}; // time since the sender last charged the account, milliseconds
    static constexpr auto fields() {
        using t = reserve_row;
        return std::tuple{field{1, "account", &t::account},
                          field{2, "cls", &t::cls},
                          field{3, "version", &t::version},
                          field{4, "waiting", &t::waiting},
                          field{5, "oldest_ms", &t::oldest_ms},
                          field{6, "cost_hint", &t::cost_hint},
                          field{7, "share", &t::share},
                          field{8, "fleet_service", &t::fleet_service},
                          field{9, "service_age_ms", &t::service_age_ms},
                          field{10, "unserved_ms", &t::unserved_ms}};
    }
};

struct reserve {
    std::vector<reserve_row> rows;
    static constexpr auto fields() { return std::tuple{field{1, "rows", &reserve::rows}}; }
};

/// Sent by a sidecar with free capacity to ask for the next request of one account and class.
struct pull {
    std::uint64_t pull_id{};
    account_id account;
    request_class cls{request_class::interactive};
    bool alone{}; // nothing else runs on the target, so a quarantine suspect may run
    static constexpr auto fields() {
        using t = pull;
        return std::tuple{field{1, "pull_id", &t::pull_id}, field{2, "account", &t::account},
                          field{3, "cls", &t::cls}, field{4, "alone", &t::alone}};
    }
};

/// Reply to a pull when no request of that account and class is waiting for this sidecar.
struct pull_empty {
    std::uint64_t pull_id{};
    static constexpr auto fields() { return std::tuple{field{1, "pull_id", &pull_empty::pull_id}}; }
};

/// The claim that allows one sidecar incarnation to send an order.
struct order_claim {
    order_key key;
    nonce_id nonce;
    std::vector<seal_id> unseals; // seals known when the claim was written
    static constexpr auto fields() {
        using t = order_claim;
        return std::tuple{field{1, "key", &t::key}, field{2, "nonce", &t::nonce},
                          field{3, "unseals", &t::unseals}};
    }
};

/// Assigns one request to a sidecar in reply to its pull.
struct assign {
    std::uint64_t pull_id{};
    attempt_id attempt;
    request_id request;
    account_id account;
    request_class cls{request_class::interactive};
    std::string method; // services: HTTP method; model engines: POST
    std::string path;   // path at the target
    std::string content_type;
    std::string body;
    bool stream{};
    std::uint64_t resume_offset{}; // bytes of the answer that the caller already has
    double cost_hint{};            // service units
    std::uint64_t crash_hash{};    // hash of account and body, used for quarantine
    bool suspect{};                // was in flight when a target crashed; must run alone
    std::string traceparent;       // W3C trace context of the router's span
    std::optional<order_claim> order;
    std::vector<team_revision> revisions; // configuration revisions that the router used
    std::uint32_t preemptions{};          // number of preemptions so far
    static constexpr auto fields() {
        using t = assign;
        return std::tuple{field{1, "pull_id", &t::pull_id},
                          field{2, "attempt", &t::attempt},
                          field{3, "request", &t::request},
                          field{4, "account", &t::account},
                          field{5, "cls", &t::cls},
                          field{6, "method", &t::method},
                          field{7, "path", &t::path},
                          field{8, "content_type", &t::content_type},
                          field{9, "body", &t::body},
                          field{10, "stream", &t::stream},
                          field{11, "resume_offset", &t::resume_offset},
                          field{12, "cost_hint", &t::cost_hint},
                          field{13, "crash_hash", &t::crash_hash},
                          field{14, "suspect", &t::suspect},
                          field{15, "traceparent", &t::traceparent},
                          field{16, "order", &t::order},
                          field{17, "revisions", &t::revisions},
                          field{18, "preemptions", &t::preemptions}};
    }
};

/// Part of an answer. Chunks of an attempt are numbered from 0 without gaps.
struct chunk {
    attempt_id attempt;
    std::uint64_t number{};
    std::uint64_t offset{}; // position of the first byte in the complete answer
    std::string data;
    double units{}; // cost of the attempt so far, service units
    static constexpr auto fields() {
        using t = chunk;
        return std::tuple{field{1, "attempt", &t::attempt}, field{2, "number", &t::number},
                          field{3, "offset", &t::offset}, field{4, "data", &t::data},
                          field{5, "units", &t::units}};
    }
};

/// End of an attempt. The checksum is xxHash64 over the attempt's chunks, each seeded with the hash of the
/// previous one.
struct finish {
    attempt_id attempt;
    attempt_outcome outcome{attempt_outcome::completed};
    failure_kind reason{failure_kind::none}; // why the attempt was not sent, if it was not
    std::uint32_t status{};                  // HTTP status of the target
    std::string content_type;
    std::uint64_t chunks{};     // of this attempt
    std::uint64_t end_offset{}; // length of the complete answer so far
    std::uint64_t checksum{};
    double units{};                       // cost, service units
    std::uint64_t first_us{};             // time to the first byte, microseconds
    std::uint64_t total_us{};             // time to the end, microseconds
    bool target_crashed{};                // the target crashed during the attempt
    bool ran_alone{};                     // nothing else ran on the target during the attempt
    bool preempted{};                     // cancelled to free capacity; resumes at end_offset
    std::optional<seal_id> sealed_by;     // the order was sealed by this sidecar and needs a new claim
    std::uint64_t seal_age_us{};          // age of the latest seal for a refusal, microseconds
    std::vector<team_revision> revisions; // newer revisions, if the attempt was rejected for outdated ones
    std::uint32_t load_level{};           // load level at the start, as in evidence_row
    static constexpr auto fields() {
        using t = finish;
        return std::tuple{field{1, "attempt", &t::attempt},
                          field{2, "outcome", &t::outcome},
                          field{3, "reason", &t::reason},
                          field{4, "status", &t::status},
                          field{5, "content_type", &t::content_type},
                          field{6, "chunks", &t::chunks},
                          field{7, "end_offset", &t::end_offset},
                          field{8, "checksum", &t::checksum},
                          field{9, "units", &t::units},
                          field{10, "first_us", &t::first_us},
                          field{11, "total_us", &t::total_us},
                          field{12, "target_crashed", &t::target_crashed},
                          field{13, "preempted", &t::preempted},
                          field{14, "sealed_by", &t::sealed_by},
                          field{15, "revisions", &t::revisions},
                          field{16, "seal_age_us", &t::seal_age_us},
                          field{17, "ran_alone", &t::ran_alone},
                          field{30, "load_level", &t::load_level}};
    }
};

/// Cancels an attempt whose caller has disconnected.
struct cancel {
    attempt_id attempt;
    static constexpr auto fields() { return std::tuple{field{1, "attempt", &cancel::attempt}}; }
};

//-----------------------------------------------------------------------------
// [SECTION] Orders
//-----------------------------------------------------------------------------

/// Asks a sidecar whether it has sent an order; if not, the sidecar seals it and no longer sends it.
struct seal {
    std::uint64_t call{};
    order_key key;
    // true: the order will be claimed again; false: the caller may be told that it has not run
    bool handover{};
    static constexpr auto fields() {
        return std::tuple{field{1, "call", &seal::call}, field{2, "key", &seal::key},
                          field{3, "handover", &seal::handover}};
    }
};

enum class seal_state : std::uint8_t {
    sealed,  // not sent; will not be sent under a claim that does not list the seal
    running, // sent, not finished
    finished // sent and ended; status holds the outcome
};

struct seal_reply {
    std::uint64_t call{};
    order_key key;
    seal_state state{seal_state::sealed};
    seal_id id;
    std::uint64_t age_us{};   // sealed: age of the latest seal for a refusal, microseconds
    std::uint32_t status{};   // finished: HTTP status, 0 if the outcome is unknown
    std::string content_type; // finished
    std::string body;         // finished: the complete answer if it is short
    bool body_kept{};         // finished: body holds the complete answer
    static constexpr auto fields() {
        using t = seal_reply;
        return std::tuple{field{1, "call", &t::call},          field{2, "key", &t::key},
                          field{3, "state", &t::state},        field{4, "id", &t::id},
                          field{5, "status", &t::status},      field{6, "content_type", &t::content_type},
                          field{7, "body", &t::body},          field{8, "age_us", &t::age_us},
                          field{9, "body_kept", &t::body_kept}};
    }
};

enum class order_entry_kind : std::uint8_t { intent, done };

/// One entry of an order record in the key-value store.
struct order_entry {
    order_entry_kind kind{order_entry_kind::intent};
    order_key key;
    nonce_id nonce;
    std::uint64_t body_hash{};
    // intent: the only process that may send the order; empty: none, the order is void
    incarnation_id sidecar;
    nonce_id supersedes; // intent: nonce of the sealed claim that this one replaces, or empty
    std::vector<seal_id> unseals;
    std::uint32_t status{};   // done
    std::string content_type; // done
    std::string body;         // done: the complete answer if it is short
    bool body_kept{};         // done: body holds the complete answer
    static constexpr auto fields() {
        using t = order_entry;
        return std::tuple{field{1, "kind", &t::kind},
                          field{2, "key", &t::key},
                          field{3, "nonce", &t::nonce},
                          field{4, "body_hash", &t::body_hash},
                          field{5, "sidecar", &t::sidecar},
                          field{6, "supersedes", &t::supersedes},
                          field{7, "unseals", &t::unseals},
                          field{8, "status", &t::status},
                          field{9, "content_type", &t::content_type},
                          field{10, "body", &t::body},
                          field{11, "body_kept", &t::body_kept}};
    }
};

/// Value of a record "orders/<bucket>/<shard>": entries in the sequence in which they were accepted.
struct order_log {
    std::vector<order_entry> entries;
    static constexpr auto fields() { return std::tuple{field{1, "entries", &order_log::entries}}; }
};

/// Asks the router responsible for the shard to append an entry, so that many claims share one write.
struct claim {
    std::uint64_t call{};
    order_entry entry;
    bool read_only{}; // only read the key's entries
    static constexpr auto fields() {
        return std::tuple{field{1, "call", &claim::call}, field{2, "entry", &claim::entry},
                          field{3, "look", &claim::read_only}};
    }
};

/// Reply to a claim with the key's entries after the write.
struct claim_reply {
    std::uint64_t call{};
    bool known{};                     // false: the record could not be read or written
    bool may_be_written{};            // if not known: the write may have taken effect
    std::vector<order_entry> entries; // all entries of the key, in order
    std::uint64_t void_age_us{};      // minimum age of the valid void claim, microseconds
    static constexpr auto fields() {
        using t = claim_reply;
        return std::tuple{field{1, "call", &t::call}, field{2, "known", &t::known},
                          field{3, "may_be_written", &t::may_be_written}, field{4, "entries", &t::entries},
                          field{5, "void_age_us", &t::void_age_us}};
    }
};

//-----------------------------------------------------------------------------
// [SECTION] Fairness
//-----------------------------------------------------------------------------

/// In a report, units is the sum of the absolute charges that one router incarnation has made to an account
/// in a pool; it only grows and thereby orders the reports. In a total, units is the recent service across
/// the fleet.
struct service_row {
    account_id account;
    std::string pool;
    double units{};
    bool waiting{};  // requests of the account are queued at the sender, which asks for the total
    double recent{}; // report: decayed net service by the sender; total: the receiver's part of the total
    static constexpr auto fields() {
        using t = service_row;
        return std::tuple{field{1, "account", &t::account}, field{2, "pool", &t::pool},
                          field{3, "units", &t::units}, field{4, "waiting", &t::waiting},
                          field{5, "recent", &t::recent}};
    }
};

struct service_report {
    incarnation_id owner;
    std::vector<service_row> rows;
    static constexpr auto fields() {
        return std::tuple{field{1, "owner", &service_report::owner}, field{2, "rows", &service_report::rows}};
    }
};

struct service_total {
    std::vector<service_row> rows;
    static constexpr auto fields() { return std::tuple{field{1, "rows", &service_total::rows}}; }
};

//-----------------------------------------------------------------------------
// [SECTION] Versions and quarantine
//-----------------------------------------------------------------------------

/// Outcomes of one version on one route and load level, counted by one router incarnation. Counts only grow.
struct evidence_row {
    std::string pool;
    std::string version;
    std::string route;
    std::uint32_t load_level{}; // 0: low, 1: medium, 2: high, 3: the target was warming up
    std::uint64_t attempts{};
    std::uint64_t failures{};
    std::vector<std::uint64_t> latency; // completed attempts by latency bucket, without trailing zeros
    static constexpr auto fields() {
        using t = evidence_row;
        return std::tuple{field{1, "pool", &t::pool},         field{2, "version", &t::version},
                          field{3, "route", &t::route},       field{4, "load_level", &t::load_level},
                          field{5, "attempts", &t::attempts}, field{6, "failures", &t::failures},
                          field{8, "latency", &t::latency}};
    }
};

struct evidence {
    incarnation_id owner;
    std::vector<evidence_row> rows;
    static constexpr auto fields() {
        return std::tuple{field{1, "owner", &evidence::owner}, field{2, "rows", &evidence::rows}};
    }
};

struct condemned_version {
    std::string pool;
    std::string version;
    friend auto operator<=>(const condemned_version&, const condemned_version&) = default;
    static constexpr auto fields() {
        using t = condemned_version;
        return std::tuple{field{1, "pool", &t::pool}, field{2, "version", &t::version}};
    }
};

/// Tells a sidecar that its target may load a version in the current time slot.
struct load_order {
    std::string pool;
    std::string version;
    static constexpr auto fields() {
        return std::tuple{field{1, "pool", &load_order::pool}, field{2, "version", &load_order::version}};
    }
};

/// Target crashes during which requests with this hash of account and body were in flight.
struct crash_record {
    std::uint64_t crash_hash{};
    std::vector<attempt_id> crashes; // attempts in flight at a crash; a grow-only set
    bool quarantined{};
    static constexpr auto fields() {
        using t = crash_record;
        return std::tuple{field{1, "crash_hash", &t::crash_hash}, field{2, "crashes", &t::crashes},
                          field{3, "quarantined", &t::quarantined}};
    }
};

/// Grow-only facts known to every process; sent on change and when a link opens.
struct facts {
    std::vector<condemned_version> condemned;
    std::vector<crash_record> crashes;
    static constexpr auto fields() {
        return std::tuple{field{1, "condemned", &facts::condemned}, field{2, "crashes", &facts::crashes}};
    }
};

//-----------------------------------------------------------------------------
// [SECTION] Configuration
//-----------------------------------------------------------------------------

struct config_push {
    std::vector<team_declarations> teams;
    static constexpr auto fields() { return std::tuple{field{1, "teams", &config_push::teams}}; }
};

/// Requests the receiver's declarations that are newer than these revisions.
struct config_pull {
    std::vector<team_revision> have;
    bool partial{}; // limits the request to the listed teams
    static constexpr auto fields() {
        return std::tuple{field{1, "have", &config_pull::have}, field{2, "partial", &config_pull::partial}};
    }
};

//-----------------------------------------------------------------------------
// [SECTION] Finished answers
//-----------------------------------------------------------------------------

struct finished_answer {
    request_id request;
    account_id account;
    std::uint32_t status{};
    std::string content_type;
    std::string body;
    static constexpr auto fields() {
        using t = finished_answer;
        return std::tuple{field{1, "request", &t::request}, field{2, "account", &t::account},
                          field{3, "status", &t::status}, field{4, "content_type", &t::content_type},
                          field{5, "body", &t::body}};
    }
};

struct answer_put {
    finished_answer answer;
    static constexpr auto fields() { return std::tuple{field{1, "answer", &answer_put::answer}}; }
};

struct answer_get {
    std::uint64_t call{};
    request_id request;
    static constexpr auto fields() {
        return std::tuple{field{1, "call", &answer_get::call}, field{2, "request", &answer_get::request}};
    }
};

struct answer_value {
    std::uint64_t call{};
    std::optional<finished_answer> answer;
    static constexpr auto fields() {
        return std::tuple{field{1, "call", &answer_value::call}, field{2, "answer", &answer_value::answer}};
    }
};

//-----------------------------------------------------------------------------
// [SECTION] All messages
//-----------------------------------------------------------------------------

/// The index of an alternative is its number on the wire: only append.
using peer_message =
    std::variant<hello, heartbeat, reserve, pull, pull_empty, assign, chunk, finish, cancel, seal, seal_reply,
                 claim, claim_reply, service_report, service_total, evidence, facts, config_push, config_pull,
                 answer_put, answer_get, answer_value, load_order>;

} // namespace damaskhill
