// At-most-once orders: a record in the key-value store decides which sidecar incarnation may send an order.
//
// Index of this file:
// [SECTION] Keys and records
// [SECTION] Group commit
// [SECTION] Orders sent by a sidecar

#pragma once

#include "damaskhill_events.hpp"

#include <deque>
#include <map>

namespace damaskhill {

//-----------------------------------------------------------------------------
// [SECTION] Keys and records
//-----------------------------------------------------------------------------

struct order_settings {
    duration bucket{10s};               // keys created within the same bucket share records
    std::uint32_t shards{64};           // records per bucket
    duration max_key_age{15min};        // older keys are rejected
    duration max_clock_skew{30s};       // tolerated clock difference between callers and routers
    duration min_write_interval{250ms}; // between two writes of one record by one router
    duration call_timeout{500ms};       // per store call
    std::uint32_t max_call_attempts{6}; // failed calls after which the pending entries of a record fail
    std::uint32_t failure_threshold{3}; // consecutive failures after which calls of all records back off
    duration backoff_base{50ms};   // delay between calls while the store fails; doubles up to backoff_limit
    duration backoff_limit{500ms}; // limits 150 routers to 300 calls per second
    duration max_read_age{500ms};  // reads may be served from a cached record up to this age
    // bytes of all entries of a record; the store limits values to 1 MB
    std::size_t max_record_bytes{900'000};
    std::size_t max_stored_body{1024}; // bytes; longer answers are not stored in the record
};

/// Name of the record that holds the key's entries: "orders/<bucket>/<shard>".
[[nodiscard]] std::string order_record(order_key key, const order_settings& settings);

/// Parses a key and checks its creation time; on failure sets `error` to malformed_key or key_expired.
[[nodiscard]] std::optional<order_key> parse_order_key(std::string_view text, time_point now,
                                                       const order_settings& settings, failure& error);

/// Key under which records and targets store the order. Mixes in the account so that keys of different
/// accounts do not collide, and preserves the creation time.
[[nodiscard]] order_key scoped_order_key(order_key key, account_id account);

/// State of one key as recorded by its entries.
struct resolved_order {
    const order_entry* intent{}; // the valid claim, or null
    const order_entry* done{};   // outcome of the valid claim, or null
    std::vector<seal_id> seals;  // all seals listed by the claims so far
};

/// Evaluates the entries of a key in order. The first intent is valid; a later one only if it supersedes the
/// nonce of the currently valid intent. A valid intent without a sidecar voids the order: no sidecar may send
/// it until a later intent supersedes the void one.
[[nodiscard]] resolved_order resolve_order(std::span<const order_entry> entries, order_key key);

//-----------------------------------------------------------------------------
// [SECTION] Group commit
//-----------------------------------------------------------------------------

/// Result of one append or read.
struct append_result {
    std::uint64_t ticket{};
    bool known{};                     // the record was read or written after the request
    bool may_be_written{};            // if not known: the entry may still be in the record
    std::vector<order_entry> entries; // all entries of the key, in order
    std::uint64_t void_age_us{};      // minimum age of the valid void claim, microseconds
};

/// Appends entries to records by compare-and-swap. Entries that arrive during a store call are batched into
/// the next write.
struct order_writer {
    struct pending_entry {
        std::uint64_t ticket{};
        order_entry entry;
        time_point deadline{};
        bool read_only{}; // completed by the next read or write of the record
        bool attempted{}; // included in a write that may have taken effect
    };
    struct record {
        enum class phase : std::uint8_t { idle, reading, writing } state{phase::idle};
        bool cached{}; // log and version hold a copy from the store, which may be outdated
        std::uint64_t version{};
        order_log log;
        order_log written;                              // contents being written by the call in progress
        std::map<nonce_id, time_point> void_first_seen; // void claims and when this router first read them
        std::vector<pending_entry> pending;
        std::uint64_t call{};
        time_point call_started{};
        time_point next_write{};
        time_point confirmed_at{}; // the cached log was current at this time or later
        time_point last_used{};
        std::uint32_t failures{};
    };
    order_settings settings;
    std::map<std::string, record, std::less<>> records;
    std::map<std::uint64_t, std::string> calls; // open store calls by record name
    std::uint64_t next_call{1};
    std::uint32_t failures{}; // consecutive calls without a reply from the store
    time_point next_probe{};  // while the store fails: time of the next trial call
};

/// Requests an append. The entry is not written if the key has a valid claim that it does not supersede.
void append_order(order_writer& writer, std::uint64_t ticket, const order_entry& entry, time_point now,
                  time_point deadline, effects& out);
/// Requests a read of the key's entries.
void read_order(order_writer& writer, std::uint64_t ticket, order_key key, time_point now,
                time_point deadline, effects& out);
/// Handles a store reply; completed requests are appended to `results`.
void on_store_reply(order_writer& writer, const store_reply& reply, time_point now, effects& out,
                    std::vector<append_result>& results);
/// Starts delayed writes, times out store calls and drops unused records.
void on_tick(order_writer& writer, time_point now, effects& out, std::vector<append_result>& results);
/// Returns true if no requests are pending.
[[nodiscard]] bool is_idle(const order_writer& writer);

//-----------------------------------------------------------------------------
// [SECTION] Orders sent by a sidecar
//-----------------------------------------------------------------------------

/// State of one order in one sidecar incarnation.
struct sent_order {
    bool sent{};
    bool finished{};
    seal_id sealed_by; // latest seal; empty if not sealed
    // time of the latest seal after which a caller may have received "not_run"
    std::optional<time_point> refused_at;
    std::uint32_t status{}; // finished: HTTP status, 0 if the outcome is unknown
    std::string content_type;
    std::string body;
    bool body_kept{}; // body holds the complete answer
    time_point last_used{};
};

struct sent_order_table {
    order_settings settings;
    std::map<order_key, sent_order> orders;
    std::deque<std::pair<time_point, order_key>> by_age;
};

enum class send_decision : std::uint8_t { send, already_sent, sealed };

/// Decides whether the claim allows the order to be sent now, and marks it as sent if so.
[[nodiscard]] send_decision decide_send(sent_order_table& table, const order_claim& claim, time_point now);
/// Stores the outcome of a sent order; status is 0 if the outcome is unknown.
void store_outcome(sent_order_table& table, order_key key, std::uint32_t status,
                   std::string_view content_type, std::string_view body);
/// Marks the order as not sent because the target never ran it. Another claim may send it.
void mark_unsent(sent_order_table& table, order_key key);
/// Time since the latest seal for a refusal, microseconds; the maximum value if there is none.
[[nodiscard]] std::uint64_t refusal_age_us(const sent_order& order, time_point now);
/// Seals an order that has not been sent; otherwise returns its state.
[[nodiscard]] seal_reply seal_order(sent_order_table& table, const seal& request, time_point now,
                                    random_source& random);
/// Drops orders whose keys have expired.
void expire_orders(sent_order_table& table, time_point now);

} // namespace damaskhill
