// Index of this file:
// [SECTION] Limits

#include "damaskhill_impl_client_limits.hpp"

#include <algorithm>

namespace damaskhill {

//-----------------------------------------------------------------------------
// [SECTION] Limits
//-----------------------------------------------------------------------------

void client_limits::enter(client_entry& entry, client_stage stage, client_clock::time_point now) {
    entry.unlink();
    entry.stage = stage;
    entry.since = now;
    entry.progress_bytes = 0;
    if (stage != client_stage::served) list_of(stage).push_back(entry);
}

void client_limits::on_body_bytes(client_entry& entry, std::size_t bytes, client_clock::time_point now) {
    // A client that sends single bytes would otherwise keep its connection for as long as it likes.
    constexpr std::size_t min_progress = 1024;
    entry.progress_bytes += bytes;
    if (entry.progress_bytes >= min_progress) enter(entry, client_stage::body, now);
}

void client_limits::hold(client_entry& entry, std::size_t bytes) {
    held_bytes_ += bytes;
    held_bytes_ -= entry.held_bytes;
    entry.held_bytes = bytes;
}

duration client_limits::time_limit(std::size_t stage) const {
    switch (static_cast<client_stage>(stage)) {
    case client_stage::idle:
        return settings_.idle_timeout;
    case client_stage::head:
        return settings_.head_timeout;
    case client_stage::body:
        return settings_.body_timeout;
    default:
        return settings_.linger_time;
    }
}

std::optional<client_clock::time_point> client_limits::next_due() const {
    std::optional<client_clock::time_point> earliest;
    for (std::size_t stage = 0; stage < lists_.size(); ++stage) {
        if (lists_.at(stage).empty()) continue;
        const client_clock::time_point due = lists_.at(stage).front().since + time_limit(stage);
        earliest = earliest ? std::min(*earliest, due) : due;
    }
    return earliest;
}

client_entry* client_limits::overdue(client_clock::time_point now) {
    for (std::size_t stage = 0; stage < lists_.size(); ++stage) {
        entry_list& list = lists_.at(stage);
        if (!list.empty() && now - list.front().since >= time_limit(stage)) return &list.front();
    }
    return nullptr;
}

client_entry* client_limits::least_useful(client_clock::time_point now) {
    for (const client_stage stage : {client_stage::lingering, client_stage::idle, client_stage::head}) {
        entry_list& list = list_of(stage);
        if (!list.empty()) return &list.front();
    }
    entry_list& bodies = list_of(client_stage::body);
    if (bodies.empty() || now - bodies.front().since < settings_.stalled_body_time) return nullptr;
    return &bodies.front();
}

} // namespace damaskhill
