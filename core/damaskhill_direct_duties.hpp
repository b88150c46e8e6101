// State of the direct router's duties, and the calls to the platform by which it performs them.
//
// Index of this file:
// [SECTION] Calls to the platform
// [SECTION] State

#pragma once

#include "damaskhill_duty_holder.hpp"
#include "damaskhill_usage.hpp"

#include <variant>

namespace damaskhill::direct {

//-----------------------------------------------------------------------------
// [SECTION] Calls to the platform
//-----------------------------------------------------------------------------

/// Call that only the holder of the duties may make.
struct duty_call {
    std::uint64_t id{};       // the answer repeats it
    std::string address;      // of the platform, "IP:port"
    std::string holder;       // name of this router
    std::uint64_t token{};    // fencing token
    time_point valid_until{}; // must not be sent at this time or later
    std::variant<fixed_window, target_count_order> content;
};

struct duty_call_answered {
    std::uint64_t id{};
    std::uint32_t status{}; // HTTP status; 0: no answer
};

/// The VM's wall clock, which may be wrong.
struct wall_clock_read {
    time_point wall{};
};

//-----------------------------------------------------------------------------
// [SECTION] State
//-----------------------------------------------------------------------------

/// Repeats of one call until it is acknowledged.
struct duty_send {
    std::uint64_t open_call{}; // 0: none
    time_point sent_at{};
    time_point not_before{};
    std::uint32_t failures{}; // consecutive
    bool done{};
};

struct order_send {
    std::uint32_t wanted{};
    std::uint32_t sending{}; // in the open call, or the last one
    duty_send send;
};

struct duty_state {
    explicit duty_state(const duty_settings& s, duty_holder_settings h) : settings(s), holder(std::move(h)) {}

    duty_settings settings;
    duty_holder holder;
    clock_offsets clocks;
    time_point wall_read_at{}; // last reading of the own clock, by the boot clock
    time_point own_wall{};
    window_counts own_counts;
    time_point next_report{}; // to the holder
    usage_sums sums;
    // Names of accounts by hash, also of those that have been removed since.
    std::map<std::uint64_t, std::string> names;
    const void* names_from{}; // catalog whose names are included
    // Fixed counts that were in the store at some time, and their reports.
    std::map<std::uint64_t, fixed_window> fixed;
    std::map<std::uint64_t, duty_send> usage_sends;
    std::uint64_t prepared_for{};   // token for which the stored counts have been read; 0: none
    std::uint64_t usage_revision{}; // of the stored counts
    std::map<std::uint64_t, fixed_window> proposed; // counts in the open write
    std::uint64_t store_call{};                     // open call for the counts; 0: none
    bool store_call_reads{};
    time_point store_call_sent{};
    time_point next_store_call{};
    std::optional<std::uint64_t> first_window; // the first one that this router may decide
    std::uint64_t skipped_to{}; // windows before this one have been looked at for counts that are left out
    time_point era_seen_at{};   // first sight of the store's era, by the boot clock
    std::optional<std::uint64_t> era;
    std::map<std::pair<std::string, std::string>, order_send> orders; // by service and data centre
    std::uint64_t next_call{1};
    time_point next_call_at{}; // limit on the rate of calls
};

} // namespace damaskhill::direct
