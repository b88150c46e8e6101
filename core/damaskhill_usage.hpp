// Usage reports: requests that targets began to run, by window and account, counted by every router, summed
// by the holder of the duties and fixed in the platform's store before the first report of a window.
//
// Index of this file:
// [SECTION] True time
// [SECTION] Counts of one router
// [SECTION] Sums of the holder
// [SECTION] Fixed counts

#pragma once

#include "damaskhill_duties.hpp"

#include <map>
#include <set>

namespace damaskhill {

//-----------------------------------------------------------------------------
// [SECTION] True time
//-----------------------------------------------------------------------------

/// Offsets between wall clocks and this router's boot clock. The wall clocks of some VMs may be wrong by
/// seconds or minutes.
struct clock_offsets {
    struct sample {
        duration offset{};
        time_point at{}; // by the boot clock
    };
    std::map<std::string, sample, std::less<>> by_router; // by report address, this router included
};

/// A router whose clock has not been heard for this long does not count: its report gets lost at times.
inline constexpr duration clock_sample_time = 20s;

void note_clock(clock_offsets& clocks, std::string_view router, time_point wall, time_point now);
/// Median of the offsets; right while fewer than half of the clocks are wrong. None without a sample.
[[nodiscard]] std::optional<duration> true_time_offset(const clock_offsets& clocks, time_point now);

//-----------------------------------------------------------------------------
// [SECTION] Counts of one router
//-----------------------------------------------------------------------------

using window_counts = std::map<std::uint64_t, std::map<std::uint64_t, std::uint64_t>>; // account, by window

[[nodiscard]] std::uint64_t usage_window_at(duration window, time_point true_time);
[[nodiscard]] time_point usage_window_end(duration window, std::uint64_t number);
/// Removes windows that ended this long ago.
void drop_old_windows(window_counts& counts, duration window, duration kept, time_point true_time);
[[nodiscard]] std::vector<usage_row> usage_rows(const window_counts& counts);

//-----------------------------------------------------------------------------
// [SECTION] Sums of the holder
//-----------------------------------------------------------------------------

/// What routers have reported to the holder.
struct usage_sums {
    std::map<std::uint64_t, window_counts> by_incarnation;
    std::map<std::string, time_point, std::less<>> heard; // true time of the latest report, by address
};

/// Counts are cumulative, so that a late report changes nothing.
void add_usage(usage_sums& sums, std::uint64_t incarnation, std::string_view address,
               std::span<const usage_row> rows, time_point true_time);
/// Sum over all routers, also those that have gone, by hash of the account.
[[nodiscard]] std::map<std::uint64_t, std::uint64_t> sum_window(const usage_sums& sums, std::uint64_t window);
/// Number of these routers that have not reported past the window's end.
[[nodiscard]] std::size_t count_missing(const usage_sums& sums, std::span<const std::string> routers,
                                        time_point window_end);

//-----------------------------------------------------------------------------
// [SECTION] Fixed counts
//-----------------------------------------------------------------------------

/// Counts of one window by account name, as they are reported. Never changed once they are in the store.
struct fixed_window {
    std::uint64_t window{};
    std::map<std::string, std::uint64_t> counts;
    friend bool operator==(const fixed_window&, const fixed_window&) = default;
};

inline constexpr std::string_view usage_key = "duties/usage";
/// Windows in the store's item: those that a successor may still have to report.
inline constexpr std::size_t max_fixed_windows = 6;

/// Lines "window number-of-accounts", each followed by its lines "count account".
[[nodiscard]] std::string encode_fixed_windows(const std::map<std::uint64_t, fixed_window>& windows);
/// Returns no value if any part of the text cannot be read.
[[nodiscard]] std::optional<std::map<std::uint64_t, fixed_window>>
decode_fixed_windows(std::string_view text);

} // namespace damaskhill
