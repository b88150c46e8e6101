// Index of this file:
// [SECTION] Responses
// [SECTION] Limits
// [SECTION] Reports

#include "damaskhill_direct_internal.hpp"

#include <algorithm>
#include <cmath>

namespace damaskhill::direct {

//-----------------------------------------------------------------------------
// [SECTION] Responses
//-----------------------------------------------------------------------------

namespace {

void log_notice(const target_state& target, std::string_view source, effects& out) {
    const auto& limit = target.notices.limit_per_s;
    out.emplace_back(log_event{"target_notice",
                               "\"target\":" + quoted(target.entry.id) +
                                   ",\"limit_per_s\":" + (limit ? std::to_string(*limit) : "null") +
                                   ",\"leaving\":" + (target.notices.leaving ? "true" : "false") +
                                   ",\"from\":" + quoted(source),
                               true});
}

} // namespace

void note_response_notices(router_state& state, target_state& target, const response_notices& notices,
                           effects& out) {
    const target_notice_settings& settings = state.settings.notices;
    if (notices.unreadable) {
        out.emplace_back(count{"target_notices_unreadable_total", target.entry.service, 1});
        out.emplace_back(log_event{"target_notice_ignored", "\"target\":" + quoted(target.entry.id), false});
    }
    // An unreadable limit is not the end of one.
    const bool knows_limit = notices.limit_per_s || !notices.unreadable;
    const bool had_limit = target.notices.limit_per_s.has_value();
    if (knows_limit) note_limit(target.notices, settings, notices.limit_per_s, state.now);
    const bool starts_or_ends = target.notices.limit_per_s.has_value() != had_limit;
    const bool leaves_now = notices.leaving && !target.notices.leaving;
    target.notices.leaving = target.notices.leaving || notices.leaving;
    if (notices.rest) {
        target.notices.resting_until = std::max(target.notices.resting_until, state.now + *notices.rest);
        out.emplace_back(log_event{
            "target_rests",
            "\"target\":" + quoted(target.entry.id) + ",\"for_ms\":" + format_ms(*notices.rest), false});
    }
    if (!starts_or_ends && !leaves_now) return;
    log_notice(target, "response", out);
    // The other routers use the target too. Another value of a limit can wait for the next report.
    state.next_report = state.now;
}

void forget_notices(target_state& target) { target.notices = {}; }

//-----------------------------------------------------------------------------
// [SECTION] Limits
//-----------------------------------------------------------------------------

namespace {

/// Rank of this router for the target. It changes with the peers, whose silence takes longer to notice.
std::size_t cached_rank(const router_state& state, target_state& target) {
    if (target.rank_at == time_point{} || state.now - target.rank_at >= state.settings.share_update_period) {
        target.rank = rank_for_target(state, target.hash);
        target.rank_at = state.now;
    }
    return target.rank;
}

} // namespace

std::optional<time_point> earliest_send(const router_state& state, target_state& target, double cold_per_s) {
    time_point earliest = target.notices.resting_until;
    const auto restrict_to = [&](const shared_rate& rate) {
        const auto next =
            next_send_time(target.last_send, rate, cached_rank(state, target), routers_for_limits(state));
        if (next) earliest = std::max(earliest, *next);
        return next.has_value();
    };
    if (is_cold(state, target) && !restrict_to(cold_rate(state.settings.cold_limits, cold_per_s)))
        return std::nullopt;
    if (target.notices.limit_per_s &&
        !restrict_to(rate_of(target.notices, state.settings.notices, state.now)))
        return std::nullopt;
    return earliest;
}

//-----------------------------------------------------------------------------
// [SECTION] Reports
//-----------------------------------------------------------------------------

void add_notice_rows(const router_state& state, router_report& report) {
    for (const auto& [id, target] : state.targets) {
        const target_notices& notices = target.notices;
        const bool has_limit_news = must_announce_limit(notices, state.settings.notices, state.now);
        if (!has_limit_news && !notices.leaving) continue;
        target_notice_row row;
        row.target = target.hash;
        row.boot = target.entry.boot;
        row.leaving = notices.leaving;
        row.has_limit_news = has_limit_news;
        row.limited = notices.limit_per_s.has_value();
        constexpr double per_thousand_s = 1000;
        row.limit_per_1000_s =
            static_cast<std::uint64_t>(std::llround(notices.limit_per_s.value_or(0) * per_thousand_s));
        row.age_us =
            static_cast<std::uint64_t>(std::max<std::int64_t>(0, (state.now - notices.limit_as_of).count()));
        report.notices.push_back(row);
    }
}

void apply_notice_rows(router_state& state, const router_report& report, effects& out) {
    for (const target_notice_row& row : report.notices) {
        const auto found = state.target_by_hash.find(row.target);
        if (found == state.target_by_hash.end() || found->second->entry.boot > row.boot) continue;
        target_state& target = *found->second;
        const bool leaves_now = row.leaving && !target.notices.leaving;
        const bool had_limit = target.notices.limit_per_s.has_value();
        target.notices.leaving = target.notices.leaving || row.leaving;
        if (row.has_limit_news) {
            constexpr double per_thousand_s = 1000;
            const std::optional<double> limit =
                row.limited ? std::optional{static_cast<double>(row.limit_per_1000_s) / per_thousand_s}
                            : std::nullopt;
            const time_point as_of = state.now - duration{static_cast<std::int64_t>(row.age_us)};
            note_reported_limit(target.notices, state.settings.notices, limit, as_of);
        }
        const bool starts_or_ends = target.notices.limit_per_s.has_value() != had_limit;
        if (starts_or_ends || leaves_now) log_notice(target, report.address, out);
    }
}

} // namespace damaskhill::direct
