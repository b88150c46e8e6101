// Index of this file:
// [SECTION] Notices
// [SECTION] Shared rate

#include "damaskhill_target_notices.hpp"

#include <algorithm>

namespace damaskhill {

//-----------------------------------------------------------------------------
// [SECTION] Notices
//-----------------------------------------------------------------------------

namespace {

/// An end of the limit counts only if it is surely later than the last response that named one.
void apply_limit(target_notices& notices, std::optional<double> limit_per_s, time_point as_of,
                 duration reordering) {
    const bool ends = !limit_per_s && notices.limit_per_s;
    const bool is_newer = ends ? as_of > notices.limit_as_of + reordering : as_of >= notices.limit_as_of;
    if (!is_newer) return;
    notices.limit_per_s = limit_per_s;
    notices.limit_as_of = as_of;
}

} // namespace

void note_limit(target_notices& notices, const target_notice_settings& settings,
                std::optional<double> limit_per_s, time_point now) {
    // Most targets never name a limit.
    if (!limit_per_s && !notices.limit_per_s) return;
    notices.own_as_of = now;
    apply_limit(notices, limit_per_s, now, settings.own_reordering);
}

void note_reported_limit(target_notices& notices, const target_notice_settings& settings,
                         std::optional<double> limit_per_s, time_point as_of) {
    apply_limit(notices, limit_per_s, as_of, settings.report_reordering);
}

bool must_announce_limit(const target_notices& notices, const target_notice_settings& settings,
                         time_point now) {
    return notices.own_as_of != time_point{} && now - notices.own_as_of <= settings.announce_time &&
           notices.limit_as_of <= notices.own_as_of;
}

//-----------------------------------------------------------------------------
// [SECTION] Shared rate
//-----------------------------------------------------------------------------

shared_rate rate_of(const target_notices& notices, const target_notice_settings& settings, time_point now) {
    // Within any 4 s the senders of the rate r send at most 4 r + senders requests: with this number of them
    // no more than 5 r + base_senders.
    const double rate = std::max(*notices.limit_per_s, settings.min_rate_per_s);
    const auto senders = settings.base_senders + static_cast<std::size_t>(rate);
    const double turn_s = static_cast<double>(senders) / rate + to_seconds(settings.max_news_delay);
    const double silence_s = std::max(0.0, to_seconds(now - notices.limit_as_of));
    return {rate, senders, static_cast<std::size_t>(silence_s / turn_s)};
}

} // namespace damaskhill
