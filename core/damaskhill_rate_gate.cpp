// Index of this file:
// [SECTION] Cold targets
// [SECTION] Repeats

#include "damaskhill_rate_gate.hpp"

#include <algorithm>

namespace damaskhill {

//-----------------------------------------------------------------------------
// [SECTION] Cold targets
//-----------------------------------------------------------------------------

bool cold_gate_open(const cold_gate& gate, const cold_settings& settings, double cold_per_s, std::size_t rank,
                    std::size_t routers, time_point now) {
    // In one second `senders` routers send at most rate * share + senders requests: each one's burst is one.
    const std::size_t senders = std::clamp<std::size_t>(routers, 1, settings.senders);
    if (rank >= senders || cold_per_s <= 0) return false;
    if (!gate.last) return true;
    const double period_s = static_cast<double>(senders) / (cold_per_s * settings.rate_share);
    return to_seconds(now - *gate.last) >= period_s;
}

//-----------------------------------------------------------------------------
// [SECTION] Repeats
//-----------------------------------------------------------------------------

namespace {

void forget_old(std::deque<time_point>& times, duration window, time_point now) {
    while (!times.empty() && now - times.front() > window)
        times.pop_front();
}

} // namespace

void note_first(repeat_window& sent, const repeat_settings& settings, time_point now) {
    forget_old(sent.firsts, settings.window, now);
    sent.firsts.push_back(now);
}

void note_repeat(repeat_window& sent, time_point now) { sent.repeats.push_back(now); }

bool take_repeat(repeat_window& sent, const repeat_settings& settings, std::size_t routers, time_point now) {
    forget_old(sent.firsts, settings.window, now);
    forget_old(sent.repeats, settings.window, now);
    const double limit =
        settings.own_share * (settings.ratio * static_cast<double>(sent.firsts.size()) +
                              settings.slack / static_cast<double>(std::max<std::size_t>(1, routers)));
    if (static_cast<double>(sent.repeats.size()) + 1 > limit) return false;
    sent.repeats.push_back(now);
    return true;
}

} // namespace damaskhill
