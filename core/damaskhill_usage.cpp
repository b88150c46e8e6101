// Index of this file:
// [SECTION] True time
// [SECTION] Counts of one router
// [SECTION] Sums of the holder
// [SECTION] Fixed counts

#include "damaskhill_usage.hpp"

#include <algorithm>
#include <charconv>

namespace damaskhill {

//-----------------------------------------------------------------------------
// [SECTION] True time
//-----------------------------------------------------------------------------

void note_clock(clock_offsets& clocks, std::string_view router, time_point wall, time_point now) {
    clocks.by_router.insert_or_assign(std::string{router}, clock_offsets::sample{wall - now, now});
    std::erase_if(clocks.by_router,
                  [&](const auto& item) { return now - item.second.at > clock_sample_time; });
}

std::optional<duration> true_time_offset(const clock_offsets& clocks, time_point now) {
    std::vector<duration> offsets;
    for (const auto& [router, sample] : clocks.by_router) {
        if (now - sample.at <= clock_sample_time) offsets.push_back(sample.offset);
    }
    if (offsets.empty()) return std::nullopt;
    const auto middle = offsets.begin() + static_cast<std::ptrdiff_t>((offsets.size() - 1) / 2);
    std::ranges::nth_element(offsets, middle);
    return *middle;
}

//-----------------------------------------------------------------------------
// [SECTION] Counts of one router
//-----------------------------------------------------------------------------

std::uint64_t usage_window_at(duration window, time_point true_time) {
    return static_cast<std::uint64_t>(std::max<std::int64_t>(0, true_time.time_since_epoch() / window));
}

time_point usage_window_end(duration window, std::uint64_t number) {
    return time_point{window * static_cast<std::int64_t>(number + 1)};
}

void drop_old_windows(window_counts& counts, duration window, duration kept, time_point true_time) {
    std::erase_if(counts,
                  [&](const auto& item) { return usage_window_end(window, item.first) + kept < true_time; });
}

std::vector<usage_row> usage_rows(const window_counts& counts) {
    std::vector<usage_row> rows;
    for (const auto& [window, accounts] : counts) {
        for (const auto& [account, count] : accounts)
            rows.push_back({window, account, count});
    }
    return rows;
}

//-----------------------------------------------------------------------------
// [SECTION] Sums of the holder
//-----------------------------------------------------------------------------

void add_usage(usage_sums& sums, std::uint64_t incarnation, std::string_view address,
               std::span<const usage_row> rows, time_point true_time) {
    window_counts& counts = sums.by_incarnation[incarnation];
    for (const usage_row& row : rows) {
        std::uint64_t& count = counts[row.window][row.account];
        count = std::max(count, row.count);
    }
    time_point& heard = sums.heard[std::string{address}];
    heard = std::max(heard, true_time);
}

std::map<std::uint64_t, std::uint64_t> sum_window(const usage_sums& sums, std::uint64_t window) {
    std::map<std::uint64_t, std::uint64_t> sum;
    for (const auto& [incarnation, counts] : sums.by_incarnation) {
        const auto found = counts.find(window);
        if (found == counts.end()) continue;
        for (const auto& [account, count] : found->second)
            sum[account] += count;
    }
    return sum;
}

std::size_t count_missing(const usage_sums& sums, std::span<const std::string> routers,
                          time_point window_end) {
    return static_cast<std::size_t>(std::ranges::count_if(routers, [&](const std::string& address) {
        const auto found = sums.heard.find(address);
        return found == sums.heard.end() || found->second < window_end;
    }));
}

//-----------------------------------------------------------------------------
// [SECTION] Fixed counts
//-----------------------------------------------------------------------------

std::string encode_fixed_windows(const std::map<std::uint64_t, fixed_window>& windows) {
    std::string text;
    for (const auto& [number, fixed] : windows) {
        text += std::to_string(number) + " " + std::to_string(fixed.counts.size()) + "\n";
        for (const auto& [account, count] : fixed.counts)
            text += std::to_string(count) + " " + account + "\n";
    }
    return text;
}

namespace {

/// Takes one line "number text" off the front.
std::optional<std::pair<std::uint64_t, std::string_view>> take_line(std::string_view& text) {
    const std::size_t end = text.find('\n');
    if (end == std::string_view::npos) return std::nullopt;
    const std::string_view line = text.substr(0, end);
    text.remove_prefix(end + 1);
    std::uint64_t number = 0;
    const auto [stop, ec] = std::from_chars(line.data(), line.data() + line.size(), number);
    const auto used = static_cast<std::size_t>(stop - line.data());
    if (ec != std::errc{} || used + 1 >= line.size() || line[used] != ' ') return std::nullopt;
    return std::pair{number, line.substr(used + 1)};
}

} // namespace

std::optional<std::map<std::uint64_t, fixed_window>> decode_fixed_windows(std::string_view text) {
    std::map<std::uint64_t, fixed_window> windows;
    while (!text.empty()) {
        const auto head = take_line(text);
        if (!head) return std::nullopt;
        std::size_t accounts = 0;
        const char* const end = head->second.data() + head->second.size();
        const auto [stop, ec] = std::from_chars(head->second.data(), end, accounts);
        if (ec != std::errc{} || stop != end) return std::nullopt;
        fixed_window fixed{head->first, {}};
        for (std::size_t i = 0; i < accounts; ++i) {
            const auto row = take_line(text);
            if (!row) return std::nullopt;
            fixed.counts[std::string{row->second}] = row->first;
        }
        windows[fixed.window] = std::move(fixed);
    }
    return windows;
}

} // namespace damaskhill
