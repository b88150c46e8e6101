// Election of the one router that performs the deployment's duties, by a key of the platform's store that is
// attached to a lease. A reducer without I/O: events in, calls to the store and log lines out.
//
// The holder's fencing token is the position of the write by which it took the key, as one number. It rises
// with each change of the holder, also when the store is restored and gives out revisions again.
//
// Index of this file:
// [SECTION] Settings
// [SECTION] Store calls
// [SECTION] Holder
// [SECTION] State
// [SECTION] Reducer

#pragma once

#include "damaskhill_store_history.hpp"

#include <vector>

namespace damaskhill {

//-----------------------------------------------------------------------------
// [SECTION] Settings
//-----------------------------------------------------------------------------

inline constexpr std::string_view duty_holder_key = "duties/holder";

struct duty_holder_settings {
    std::uint64_t incarnation{};
    std::string address; // of this router's reports, "IP:port"
    duration lease{3s};
    // The holder stops calling this long before its lease may end: time for which a process that was
    // suspended may run before it notices.
    duration margin{300ms};
    // Interval between renewals as a fraction of the lease, so that one lost answer leaves time for another
    // try.
    double keep_share{0.25};
    duration call_timeout{1s}; // of a call to the store, which answers within a few ms unless it is impaired
    duration retry_delay{250ms}; // after a failed call
    duration max_timer_gap{1s};  // timers fire at least every 200 ms; a longer gap is a suspension
    // Between the candidates: longer than two reports, so that the next one hears of a new holder.
    duration candidate_step{400ms};
    // Candidates beyond this rank wait no longer than this one.
    std::size_t max_rank{8};
};

//-----------------------------------------------------------------------------
// [SECTION] Store calls
//-----------------------------------------------------------------------------

/// Item of the store. Revision 0: the key does not exist.
struct duty_item {
    std::string value;
    std::uint64_t revision{};
    std::uint64_t lease{}; // 0: none
};

enum class duty_store_action : std::uint8_t { create_lease, keep_lease, read, write, remove };

/// Condition of a write: the key has this revision; 0: it does not exist.
struct duty_condition {
    std::string key;
    std::uint64_t revision{};
};

struct duty_store_call {
    std::uint64_t id{}; // the answer repeats it
    duty_store_action action{duty_store_action::read};
    std::string key;
    std::string value;                      // of write
    std::uint64_t lease{};                  // of write and keep_lease
    std::vector<duty_condition> conditions; // of write and remove
    duration lease_time{};                  // of create_lease
};

/// Answer of the store to one call.
struct duty_store_answer {
    std::uint64_t id{};
    std::uint32_t status{};        // HTTP status; 0: no answer, or one that cannot be read
    std::uint64_t era{};           // of the store; 0 if it states none
    std::uint64_t revision{};      // of a write
    std::uint64_t lease{};         // of create_lease
    duration lease_time{};         // of create_lease, as granted
    std::optional<duty_item> item; // of read; none: the key does not exist
};

//-----------------------------------------------------------------------------
// [SECTION] Holder
//-----------------------------------------------------------------------------

/// What a router knows of the holder. Passed on in the router reports.
struct duty_holder_row {
    std::uint64_t token{}; // 0: none
    std::uint64_t incarnation{};
    std::string address;    // of its reports
    std::uint64_t age_us{}; // since its last sign of life
    bool released{};        // it has given the duties up
    static constexpr auto fields() {
        using t = duty_holder_row;
        return std::tuple{field{1, "token", &t::token}, field{2, "incarnation", &t::incarnation},
                          field{3, "address", &t::address}, field{4, "age_us", &t::age_us},
                          field{5, "released", &t::released}};
    }
};

/// Fencing token of a write at this position. Revisions stay below 2^40 and eras below 2^23, so that the
/// token is exact as a signed 64-bit number; 0: out of this range.
[[nodiscard]] std::uint64_t fencing_token(const store_position& position);
/// Value of the holder's key.
[[nodiscard]] std::string encode_duty_holder(std::uint64_t incarnation, std::string_view address);
/// Returns no value if the text is not a holder's.
[[nodiscard]] std::optional<duty_holder_row> decode_duty_holder(std::string_view text);

//-----------------------------------------------------------------------------
// [SECTION] State
//-----------------------------------------------------------------------------

enum class duty_phase : std::uint8_t { idle, reading, leasing, writing, checking, holding, stopped };

struct duty_holder {
    explicit duty_holder(duty_holder_settings s) : settings(std::move(s)) {}

    duty_holder_settings settings;
    duty_phase phase{duty_phase::idle};
    std::optional<std::uint64_t> era; // highest one seen
    // Latest holder known, this router included, and its last sign of life.
    duty_holder_row known;
    time_point last_sign{};
    time_point last_timer{}; // zero before the first one
    // Own campaign or tenure.
    std::uint64_t next_call{1};
    std::uint64_t open_call{}; // 0: none
    time_point call_sent{};    // of the open call
    time_point next_action{};  // of the campaign, or the next renewal
    std::uint64_t expected{};  // revision of the key before the write
    std::uint64_t lease{};
    time_point lease_from{}; // the lease's time counts at least from here
    duration lease_time{};
    std::uint64_t token{};    // 0: not the holder
    std::uint64_t revision{}; // of the write that won
    std::uint64_t refused{};  // highest token that was refused
    bool retake{};            // the store was restored during this tenure: compete at once
    std::uint64_t changes{};  // tenures of this router
};

/// Situation of this router among those that may compete.
struct duty_candidate {
    std::size_t rank{};     // number of routers that are to try before
    bool can_compete{true}; // the store is reachable, and the router is not stopping
};

struct duty_change {
    std::string_view name; // of the log line
    std::string fields;
};

struct duty_holder_effects {
    std::vector<duty_store_call> calls;
    std::vector<duty_change> changes;
};

//-----------------------------------------------------------------------------
// [SECTION] Reducer
//-----------------------------------------------------------------------------

/// Time until which this router may call as the holder, without renewals; zero if it is not the holder.
/// Compare with the clock at the moment of each call.
[[nodiscard]] time_point may_call_until(const duty_holder& holder);
[[nodiscard]] bool may_call(const duty_holder& holder, time_point now);

/// `now` must come from a monotonic clock that includes the time during which the VM was suspended.
void on_duty_timer(duty_holder& holder, const duty_candidate& self, time_point now, duty_holder_effects& out);
/// Returns whether the answer belongs to a call of the election.
bool on_duty_answer(duty_holder& holder, const duty_store_answer& answer, time_point now,
                    duty_holder_effects& out);
/// Notices a rise of the store's era, wherever it was seen.
void on_duty_era(duty_holder& holder, std::uint64_t era, time_point now, duty_holder_effects& out);
/// Another router's knowledge of the holder.
void on_holder_heard(duty_holder& holder, const duty_holder_row& row, time_point now,
                     duty_holder_effects& out);
/// A call with this token was refused because of a higher one.
void on_token_refused(duty_holder& holder, std::uint64_t token, time_point now, duty_holder_effects& out);
/// Gives the duties up for good before a planned stop.
void stop_duties(duty_holder& holder, time_point now, duty_holder_effects& out);
/// Row for this router's reports; none if it knows no holder.
[[nodiscard]] std::optional<duty_holder_row> holder_row(const duty_holder& holder, time_point now);

} // namespace damaskhill
