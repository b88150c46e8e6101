// Index of this file:
// [SECTION] Holder
// [SECTION] Calls
// [SECTION] Tenure
// [SECTION] Campaign
// [SECTION] Reducer

#include "damaskhill_duty_holder.hpp"

#include <algorithm>
#include <charconv>

namespace damaskhill {

//-----------------------------------------------------------------------------
// [SECTION] Holder
//-----------------------------------------------------------------------------

std::uint64_t fencing_token(const store_position& position) {
    constexpr unsigned revision_bits = 40;
    constexpr unsigned era_bits = 23;
    if (position.revision >> revision_bits != 0 || position.era >> era_bits != 0) return 0;
    return (position.era << revision_bits) + position.revision;
}

std::string encode_duty_holder(std::uint64_t incarnation, std::string_view address) {
    return std::to_string(incarnation) + " " + std::string{address};
}

std::optional<duty_holder_row> decode_duty_holder(std::string_view text) {
    duty_holder_row row;
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), row.incarnation);
    const auto used = static_cast<std::size_t>(end - text.data());
    if (ec != std::errc{} || used >= text.size() || text[used] != ' ') return std::nullopt;
    row.address = text.substr(used + 1);
    if (row.incarnation == 0 || row.address.empty()) return std::nullopt;
    return row;
}

namespace {

constexpr std::uint32_t status_ok = 200;
constexpr std::uint32_t status_missing = 404;
constexpr std::uint32_t status_conflict = 412;

//-----------------------------------------------------------------------------
// [SECTION] Calls
//-----------------------------------------------------------------------------

void start_call(duty_holder& holder, duty_store_call call, time_point now, duty_holder_effects& out) {
    call.id = holder.next_call++;
    holder.open_call = call.id;
    holder.call_sent = now;
    out.calls.push_back(std::move(call));
}

void start_read(duty_holder& holder, duty_phase phase, time_point now, duty_holder_effects& out) {
    holder.phase = phase;
    duty_store_call call;
    call.action = duty_store_action::read;
    call.key = duty_holder_key;
    start_call(holder, std::move(call), now, out);
}

void start_lease(duty_holder& holder, time_point now, duty_holder_effects& out) {
    holder.phase = duty_phase::leasing;
    duty_store_call call;
    call.action = duty_store_action::create_lease;
    call.lease_time = holder.settings.lease;
    start_call(holder, std::move(call), now, out);
}

void start_write(duty_holder& holder, time_point now, duty_holder_effects& out) {
    holder.phase = duty_phase::writing;
    duty_store_call call;
    call.action = duty_store_action::write;
    call.key = duty_holder_key;
    call.value = encode_duty_holder(holder.settings.incarnation, holder.settings.address);
    call.lease = holder.lease;
    call.conditions = {{std::string{duty_holder_key}, holder.expected}};
    start_call(holder, std::move(call), now, out);
}

//-----------------------------------------------------------------------------
// [SECTION] Tenure
//-----------------------------------------------------------------------------

void go_idle(duty_holder& holder, time_point next_action) {
    holder.phase = duty_phase::idle;
    holder.open_call = 0;
    holder.next_action = next_action;
    holder.token = 0;
}

time_point lease_end(const duty_holder& holder) {
    return holder.lease_from + holder.lease_time - holder.settings.margin;
}

void take_office(duty_holder& holder, const store_position& position, time_point now,
                 duty_holder_effects& out) {
    const std::uint64_t token = fencing_token(position);
    const bool is_higher = token > holder.known.token && token > holder.refused;
    if (!is_higher || now >= lease_end(holder)) {
        go_idle(holder, now + holder.settings.retry_delay);
        return;
    }
    holder.phase = duty_phase::holding;
    holder.open_call = 0;
    holder.token = token;
    holder.revision = position.revision;
    holder.retake = false;
    ++holder.changes;
    const std::uint64_t before = holder.known.incarnation;
    holder.known = {token, holder.settings.incarnation, holder.settings.address, 0, false};
    holder.last_sign = now;
    holder.next_action = now;
    out.changes.push_back({"duty_holder", "\"self\":true,\"token\":" + std::to_string(token) +
                                              ",\"position\":\"" + format_position(position) +
                                              "\",\"before\":" + std::to_string(before)});
}

void lose_office(duty_holder& holder, std::string_view reason, time_point now, duty_holder_effects& out) {
    if (holder.phase != duty_phase::holding) return;
    out.changes.push_back({"duty_holder_lost", "\"token\":" + std::to_string(holder.token) +
                                                   ",\"reason\":\"" + std::string{reason} + "\""});
    if (holder.known.token == holder.token) holder.last_sign = now;
    go_idle(holder, now);
}

/// Removes the key, so that a successor need not wait for the end of the lease. Nobody waits for the answer.
void remove_key(duty_holder& holder, duty_holder_effects& out) {
    duty_store_call call;
    call.id = holder.next_call++;
    call.action = duty_store_action::remove;
    call.key = duty_holder_key;
    call.conditions = {{std::string{duty_holder_key}, holder.revision}};
    out.calls.push_back(std::move(call));
}

//-----------------------------------------------------------------------------
// [SECTION] Campaign
//-----------------------------------------------------------------------------

/// Time at which a router of this rank may compete.
time_point campaign_due(const duty_holder& holder, std::size_t rank) {
    if (holder.retake) return holder.next_action;
    // The lease may have been renewed just before the last sign: the key lasts a little longer than the
    // silence.
    const auto steps = static_cast<int>(std::min(rank, holder.settings.max_rank)) + 1;
    const duration quiet = holder.known.released ? duration{0} : holder.settings.lease;
    return std::max(holder.next_action, holder.last_sign + quiet + holder.settings.candidate_step * steps);
}

/// The key names another router: its lease is running, although nobody may have heard of it.
void yield_to_key(duty_holder& holder, time_point now) {
    holder.retake = false;
    holder.known.released = false;
    holder.last_sign = now;
    go_idle(holder, now + holder.settings.lease);
}

void on_read(duty_holder& holder, const duty_store_answer& answer, time_point now, duty_holder_effects& out) {
    const bool is_missing = answer.status == status_missing;
    if (!is_missing && (answer.status != status_ok || !answer.item)) {
        go_idle(holder, now + holder.settings.retry_delay);
        return;
    }
    const auto named = is_missing ? std::nullopt : decode_duty_holder(answer.item->value);
    const bool is_own = named && named->incarnation == holder.settings.incarnation;
    if (holder.phase == duty_phase::checking) {
        // Only the write of this campaign names this lease.
        if (is_own && answer.item->lease == holder.lease) {
            take_office(holder, {answer.era, answer.item->revision}, now, out);
        } else {
            go_idle(holder, now + holder.settings.retry_delay);
        }
        return;
    }
    if (named && !is_own) {
        yield_to_key(holder, now);
        return;
    }
    holder.expected = is_missing ? 0 : answer.item->revision;
    start_lease(holder, now, out);
}

void on_lease(duty_holder& holder, const duty_store_answer& answer, time_point now,
              duty_holder_effects& out) {
    if (answer.status != status_ok || answer.lease == 0 || answer.lease_time <= holder.settings.margin) {
        go_idle(holder, now + holder.settings.retry_delay);
        return;
    }
    holder.lease = answer.lease;
    holder.lease_from = holder.call_sent;
    holder.lease_time = std::min(answer.lease_time, holder.settings.lease);
    start_write(holder, now, out);
}

void on_write(duty_holder& holder, const duty_store_answer& answer, time_point now,
              duty_holder_effects& out) {
    if (answer.status == status_ok && answer.revision != 0) {
        take_office(holder, {answer.era, answer.revision}, now, out);
    } else if (answer.status == status_conflict) {
        yield_to_key(holder, now);
    } else if (answer.status == 0) {
        start_read(holder, duty_phase::checking, now, out);
    } else {
        go_idle(holder, now + holder.settings.retry_delay);
    }
}

void on_kept(duty_holder& holder, const duty_store_answer& answer, time_point now, duty_holder_effects& out) {
    holder.open_call = 0;
    if (answer.status == status_missing) {
        lose_office(holder, "lease_ended", now, out);
    } else if (answer.status == status_ok) {
        holder.lease_from = std::max(holder.lease_from, holder.call_sent);
        holder.last_sign = now;
        const auto lease_us = static_cast<double>(holder.lease_time.count());
        holder.next_action =
            holder.call_sent + duration{static_cast<std::int64_t>(lease_us * holder.settings.keep_share)};
    } else {
        holder.next_action = now + holder.settings.retry_delay;
    }
}

void handle_answer(duty_holder& holder, const duty_store_answer& answer, time_point now,
                   duty_holder_effects& out) {
    switch (holder.phase) {
    case duty_phase::reading:
    case duty_phase::checking:
        on_read(holder, answer, now, out);
        break;
    case duty_phase::leasing:
        on_lease(holder, answer, now, out);
        break;
    case duty_phase::writing:
        on_write(holder, answer, now, out);
        break;
    case duty_phase::holding:
        on_kept(holder, answer, now, out);
        break;
    case duty_phase::idle:
    case duty_phase::stopped:
        break;
    }
}

} // namespace

//-----------------------------------------------------------------------------
// [SECTION] Reducer
//-----------------------------------------------------------------------------

time_point may_call_until(const duty_holder& holder) {
    return holder.phase == duty_phase::holding ? lease_end(holder) : time_point{};
}

bool may_call(const duty_holder& holder, time_point now) { return now < may_call_until(holder); }

void on_duty_timer(duty_holder& holder, const duty_candidate& self, time_point now,
                   duty_holder_effects& out) {
    if (holder.phase == duty_phase::stopped) return;
    if (holder.phase == duty_phase::holding && !may_call(holder, now))
        lose_office(holder, "not_renewed", now, out);
    // During a suspension this router has heard nobody; a new holder gets the time to be heard.
    if (now - holder.last_timer > holder.settings.max_timer_gap) {
        holder.last_sign = now;
        holder.retake = false;
    }
    holder.last_timer = now;
    if (holder.open_call != 0 && now - holder.call_sent >= holder.settings.call_timeout)
        handle_answer(holder, {}, now, out);
    if (holder.open_call != 0) return;
    if (holder.phase == duty_phase::holding && now >= holder.next_action) {
        duty_store_call call;
        call.action = duty_store_action::keep_lease;
        call.lease = holder.lease;
        start_call(holder, std::move(call), now, out);
    } else if (holder.phase == duty_phase::idle && self.can_compete &&
               now >= campaign_due(holder, self.rank)) {
        start_read(holder, duty_phase::reading, now, out);
    }
}

bool on_duty_answer(duty_holder& holder, const duty_store_answer& answer, time_point now,
                    duty_holder_effects& out) {
    const bool is_open = answer.id != 0 && answer.id == holder.open_call;
    // An answer of an era before, or without one, is late: what it says holds no more.
    const bool is_outdated = answer.status != 0 && holder.era && answer.era < *holder.era;
    if (answer.status != 0 && !is_outdated) on_duty_era(holder, answer.era, now, out);
    if (!is_open || answer.id != holder.open_call) return is_open;
    if (holder.phase == duty_phase::holding && !may_call(holder, now)) {
        lose_office(holder, "not_renewed", now, out);
        return true;
    }
    duty_store_answer usable = answer;
    if (is_outdated) usable.status = 0;
    handle_answer(holder, usable, now, out);
    return true;
}

void on_duty_era(duty_holder& holder, std::uint64_t era, time_point now, duty_holder_effects& out) {
    if (holder.era && era <= *holder.era) return;
    holder.era = era;
    if (holder.phase == duty_phase::stopped) return;
    // What the store has said so far is of a history that has ended. The holder takes the duties again at
    // once, with a token of the new era. Any other router waits: the copy may lack the holder's key while the
    // holder still trusts its last renewal.
    const bool was_holder = holder.phase == duty_phase::holding;
    lose_office(holder, "store_restored", now, out);
    holder.retake = was_holder;
    go_idle(holder, holder.retake ? now : now + holder.settings.lease);
}

void on_holder_heard(duty_holder& holder, const duty_holder_row& row, time_point now,
                     duty_holder_effects& out) {
    if (row.token == 0 || row.token < holder.known.token) return;
    constexpr std::uint64_t max_age_us = 60'000'000; // bounds the effect of a malformed row
    const time_point sign = now - duration{static_cast<std::int64_t>(std::min(row.age_us, max_age_us))};
    if (row.token == holder.known.token) {
        if (row.incarnation != holder.known.incarnation) return;
        holder.last_sign = std::max(holder.last_sign, sign);
        holder.known.released = holder.known.released || row.released;
        return;
    }
    if (row.incarnation == holder.settings.incarnation) return; // of a tenure that it lost before it began
    lose_office(holder, "another_holder", now, out);
    holder.known = row;
    holder.last_sign = std::max(holder.last_sign, sign);
    holder.retake = false;
    if (holder.phase != duty_phase::stopped) go_idle(holder, std::max(holder.next_action, now));
    out.changes.push_back({"duty_holder", "\"self\":false,\"token\":" + std::to_string(row.token) +
                                              ",\"incarnation\":" + std::to_string(row.incarnation)});
}

void on_token_refused(duty_holder& holder, std::uint64_t token, time_point now, duty_holder_effects& out) {
    holder.refused = std::max(holder.refused, token);
    if (holder.phase != duty_phase::holding || holder.token > token) return;
    remove_key(holder, out);
    lose_office(holder, "refused", now, out);
}

void stop_duties(duty_holder& holder, time_point now, duty_holder_effects& out) {
    if (holder.phase == duty_phase::holding) {
        remove_key(holder, out);
        lose_office(holder, "stopping", now, out);
        holder.known.released = true;
    }
    go_idle(holder, now);
    holder.phase = duty_phase::stopped;
}

std::optional<duty_holder_row> holder_row(const duty_holder& holder, time_point now) {
    if (holder.known.token == 0) return std::nullopt;
    duty_holder_row row = holder.known;
    const duration age = may_call(holder, now) ? duration{0} : std::max<duration>(0s, now - holder.last_sign);
    row.age_us = static_cast<std::uint64_t>(age.count());
    return row;
}

} // namespace damaskhill
