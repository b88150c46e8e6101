// At-most-once orders: the record in the key-value store decides which sidecar incarnation may send an order.
//
// Index of this file:
// [SECTION] Keys and records
// [SECTION] Group commit
// [SECTION] Sidecar's memory of orders

#pragma once

#include "damaskhill_events.hpp"

#include <deque>
#include <map>

namespace damaskhill {

//-----------------------------------------------------------------------------
// [SECTION] Keys and records
//-----------------------------------------------------------------------------

struct order_settings {
    duration bucket{10s};               // keys created in the same bucket share records
    std::uint32_t shards{64};           // records for each bucket
    duration max_key_age{15min};        // older keys are refused
    duration max_clock_skew{30s};       // clock difference that is allowed between callers and routers
    duration min_write_interval{250ms}; // least time between two writes of one record by one router
    duration call_timeout{500ms};       // of one call to the store
    std::uint32_t max_call_attempts{6}; // calls before a claim is given up
    std::uint32_t failure_threshold{3}; // in a row, before calls of all records are held back
    duration backoff_base{50ms};   // between two calls while the store fails; doubles up to backoff_limit
    duration backoff_limit{500ms}; // keeps 150 routers at 300 calls a second
    duration max_read_age{500ms};  // a look is answered from a copy of the record that is no older
    std::size_t max_record_bytes{900'000}; // bytes of entries in one record; the store allows 1 MB
    std::size_t max_stored_body{1024};     // bytes of an answer that a record keeps
};

/// Name of the record that decides about the key: "orders/<bucket>/<shard>".
[[nodiscard]] std::string order_record(order_key key, const order_settings& settings);

/// Checks the key's time; writes malformed_key or key_expired.
[[nodiscard]] std::optional<order_key> parse_order_key(std::string_view text, time_point now,
                                                       const order_settings& settings, failure& why);

/// Key under which the records and the targets know the order: keys of different accounts never meet. The
/// time of the key is kept.
[[nodiscard]] order_key scoped_order_key(order_key key, account_id account);

/// What a record says of one key.
struct resolved_order {
    const order_entry* intent{}; // the valid claim, or null
    const order_entry* done{};   // outcome of the valid claim, or null
    std::vector<seal_id> seals;  // all seals that earlier claims listed
};

/// The first intent of a key is valid; a later one is valid only if it supersedes the valid nonce. An intent
/// without a sidecar makes the order void: nobody may send it until a later intent supersedes it.
[[nodiscard]] resolved_order resolve_order(std::span<const order_entry> entries, order_key key);

//-----------------------------------------------------------------------------
// [SECTION] Group commit
//-----------------------------------------------------------------------------

/// Answer to one append.
struct append_result {
    std::uint64_t ticket{};
    bool known{};                     // the record was read or written after the append was asked for
    bool may_be_written{};            // not known, and the entry may be in the record
    std::vector<order_entry> entries; // of the key, in order
    std::uint64_t void_age_us{}; // for how long at least the void claim that is valid has stood, microseconds
};

/// Appends entries to records by compare-and-swap; entries that arrive during a call share the next write.
struct order_writer {
    struct pending_entry {
        std::uint64_t ticket{};
        order_entry entry;
        time_point deadline{};
        bool read_only{}; // only reads: answered by the next read or write of the record
        bool attempted{}; // part of a write that may have taken effect
    };
    struct record {
        enum class phase : std::uint8_t { idle, reading, writing } state{phase::idle};
        bool cached{}; // log and version are those of the store, or older
        std::uint64_t version{};
        order_log log;
        order_log written; // by the call in progress
        std::map<nonce_id, time_point>
            void_first_seen; // void claims, by when they were first seen in the store
        std::vector<pending_entry> pending;
        std::uint64_t call{};
        time_point call_started{};
        time_point next_write{};
        time_point confirmed_at{}; // the log was that of the store at this time or later
        time_point last_used{};
        std::uint32_t failures{};
    };
    order_settings settings;
    std::map<std::string, record, std::less<>> records;
    std::map<std::uint64_t, std::string> calls; // open store call to record
    std::uint64_t next_call{1};
    std::uint32_t failures{}; // calls in a row that the store has not answered
    time_point next_probe{};  // while it fails: when one more call is made
};

/// Asks for an entry to be appended unless the key already has a valid claim that it does not supersede.
void append_order(order_writer& writer, std::uint64_t ticket, const order_entry& entry, time_point now,
                  time_point deadline, effects& out);
/// Asks what the record holds for a key.
void read_order(order_writer& writer, std::uint64_t ticket, order_key key, time_point now,
                time_point deadline, effects& out);
/// Takes a reply of the store; finished appends go to `results`.
void on_store_reply(order_writer& writer, const store_reply& reply, time_point now, effects& out,
                    std::vector<append_result>& results);
/// Starts delayed writes, times calls out, forgets old records.
void on_tick(order_writer& writer, time_point now, effects& out, std::vector<append_result>& results);
/// Whether nothing waits to be written or read.
[[nodiscard]] bool is_idle(const order_writer& writer);

//-----------------------------------------------------------------------------
// [SECTION] Sidecar's memory of orders
//-----------------------------------------------------------------------------

/// What one sidecar incarnation knows of one order.
struct sent_order {
    bool sent{};
    bool finished{};
    seal_id sealed_by;                    // of the latest seal; empty: not sealed
    std::optional<time_point> refused_at; // of the latest seal on which a caller may have been told "not_run"
    std::uint32_t status{};               // finished: HTTP status, 0 if the outcome is unknown
    std::string content_type;
    std::string body;
    bool body_kept{}; // body holds the whole answer
    time_point last_used{};
};

struct sent_order_table {
    order_settings settings;
    std::map<order_key, sent_order> orders;
    std::deque<std::pair<time_point, order_key>> by_age;
};

enum class send_decision : std::uint8_t { send, already_sent, sealed };

/// Decides whether the claim allows the order to be sent now, and notes it as sent if so.
[[nodiscard]] send_decision decide_send(sent_order_table& table, const order_claim& claim, time_point now);
/// Notes the outcome of a sent order; status 0 if it is unknown.
void store_outcome(sent_order_table& table, order_key key, std::uint32_t status,
                   std::string_view content_type, std::string_view body);
/// The target never ran the order: it may be sent under another claim.
void mark_unsent(sent_order_table& table, order_key key);
/// Age of the latest seal for a refusal, microseconds; the greatest value if there is none.
[[nodiscard]] std::uint64_t refusal_age_us(const sent_order& order, time_point now);
/// Seals an order that has not been sent, or tells what became of it.
[[nodiscard]] seal_reply seal_order(sent_order_table& table, const seal& request, time_point now,
                                    random_source& random);
/// Forgets orders whose keys have expired.
void expire_orders(sent_order_table& table, time_point now);

} // namespace damaskhill
