// Index of this file:
// [SECTION] Situation
// [SECTION] Counts
// [SECTION] Fixed counts
// [SECTION] Calls to the platform
// [SECTION] Events

#include "damaskhill_direct_internal.hpp"

#include <algorithm>

namespace damaskhill::direct {

namespace {

//-----------------------------------------------------------------------------
// [SECTION] Situation
//-----------------------------------------------------------------------------

constexpr std::uint32_t status_ok = 200;
constexpr std::uint32_t status_missing = 404;
constexpr std::uint32_t status_refused = 409;

// Number of calls for the stored counts; those of the election count from 1.
constexpr std::uint64_t usage_call_bit = std::uint64_t{1} << 62U;

/// Report addresses of all live routers, this one included.
std::vector<std::string> live_routers(const router_state& state) {
    std::vector<std::string> addresses{state.settings.report_address};
    const auto is_live = [&](time_point heard) { return state.now - heard <= state.settings.peer_timeout; };
    for (const auto& [address, peer] : state.peers) {
        if (peer.incarnation != 0 && is_live(peer.last_heard)) addresses.push_back(address);
    }
    for (const auto& [data_centre, summary] : state.summaries) {
        if (!is_live(summary.last_heard)) continue;
        for (const router_row& row : summary.last_report.routers)
            addresses.push_back(row.address);
    }
    std::ranges::sort(addresses);
    addresses.erase(std::unique(addresses.begin(), addresses.end()), addresses.end());
    return addresses;
}

/// Rank of this router among those that may compete. Routers of other data centres count as able to.
duty_candidate candidate_of(const router_state& state) {
    constexpr std::uint64_t rank_seed = 0x64757479;
    constexpr std::size_t overload_penalty = 4; // steps that an overloaded router waits for others
    const auto weight = [](std::string_view address) { return stable_hash(address, rank_seed); };
    const std::uint64_t own = weight(state.settings.report_address);
    duty_candidate self;
    for (const std::string& address : live_routers(state)) {
        const auto peer = state.peers.find(address);
        const bool is_able = peer == state.peers.end() ||
                             (!peer->second.last_report.stopping && !peer->second.last_report.overloaded &&
                              !peer->second.last_report.store_unreachable);
        if (is_able && weight(address) > own) ++self.rank;
    }
    if (state.overloaded || state.lag > state.settings.overload_lag) self.rank += overload_penalty;
    self.can_compete = state.store_up && !state.stopping;
    return self;
}

void pass_on(duty_holder_effects& from, effects& out) {
    for (duty_store_call& call : from.calls)
        out.emplace_back(std::move(call));
    for (duty_change& change : from.changes) {
        out.emplace_back(count{"duty_holder_changes_total", std::string{change.name}, 1});
        out.emplace_back(log_event{change.name, std::move(change.fields), true});
    }
    from = {};
}

std::optional<time_point> true_time(const router_state& state) {
    const auto offset = true_time_offset(state.duties->clocks, state.now);
    return offset ? std::optional{state.now + *offset} : std::nullopt;
}

//-----------------------------------------------------------------------------
// [SECTION] Counts
//-----------------------------------------------------------------------------

constexpr duration report_period = 1s;   // of the counts; a window has some seconds until its counts are due
constexpr duration report_delay = 300ms; // a report that comes this long after a window's end includes it
// Counts stay long enough for a holder that takes over after the one before has fallen silent.
constexpr duration kept_after_due = 20s;

void note_names(router_state& state) {
    duty_state& duties = *state.duties;
    if (!state.active_catalog || duties.names_from == state.active_catalog.get()) return;
    duties.names_from = state.active_catalog.get();
    for (const auto& [key, name] : state.active_catalog->accounts.account_by_key)
        duties.names.try_emplace(stable_hash(name), name);
}

void send_counts(router_state& state, time_point true_now, effects& out) {
    duty_state& duties = *state.duties;
    drop_old_windows(duties.own_counts, duties.settings.usage_window,
                     duties.settings.usage_due + kept_after_due, true_now);
    const duty_holder_row& holder = duties.holder.known;
    if (state.now < duties.next_report || holder.token == 0) return;
    duties.next_report = state.now + report_period;
    const std::vector<usage_row> rows = usage_rows(duties.own_counts);
    if (holder.incarnation == state.settings.incarnation) {
        for (auto& [incarnation, counts] : duties.sums.by_incarnation)
            drop_old_windows(counts, duties.settings.usage_window, duties.settings.usage_due + kept_after_due,
                             true_now);
        std::erase_if(duties.sums.by_incarnation, [](const auto& item) { return item.second.empty(); });
        add_usage(duties.sums, state.settings.incarnation, state.settings.report_address, rows,
                  true_now - report_delay);
        return;
    }
    auto report = std::make_shared<router_report>();
    report->router = state.settings.incarnation;
    report->address = state.settings.report_address;
    report->data_centre = state.settings.data_centre;
    report->duty = duty_report{rows, own_demand(state)};
    out.emplace_back(send_report{{holder.address}, std::move(report)});
}

//-----------------------------------------------------------------------------
// [SECTION] Fixed counts
//-----------------------------------------------------------------------------

void start_store_call(duty_state& duties, duty_store_call call, time_point now, effects& out) {
    duties.store_call = usage_call_bit | duties.next_call++;
    duties.store_call_reads = call.action == duty_store_action::read;
    duties.store_call_sent = now;
    call.id = duties.store_call;
    out.emplace_back(std::move(call));
}

void read_stored_counts(duty_state& duties, time_point now, effects& out) {
    duty_store_call call;
    call.action = duty_store_action::read;
    call.key = usage_key;
    start_store_call(duties, std::move(call), now, out);
}

fixed_window count_window(router_state& state, std::uint64_t window, effects& out) {
    fixed_window result{window, {}};
    for (const auto& [account, number] : sum_window(state.duties->sums, window)) {
        const auto name = state.duties->names.find(account);
        if (name == state.duties->names.end() || name->second.find('\n') != std::string::npos) {
            out.emplace_back(count{"usage_accounts_unknown_total", "", 1});
        } else {
            result.counts[name->second] = number;
        }
    }
    return result;
}

/// First window that no holder before this router's knowledge of the store's era can have decided.
std::uint64_t first_open_window(const router_state& state, time_point true_now) {
    const duty_state& duties = *state.duties;
    const time_point era_seen = true_now - (state.now - duties.era_seen_at);
    return usage_window_at(duties.settings.usage_window, era_seen);
}

constexpr duration counting_time = 1500ms; // after a window's end, for the reports that include it
constexpr duration sending_time = 3s;      // before the counts are due, for the store and the call

/// Reports the windows that are still due but that this router may not decide.
void note_skipped_windows(duty_state& duties, std::uint64_t oldest_due, effects& out) {
    for (std::uint64_t window = std::max(oldest_due, duties.skipped_to); window < *duties.first_window;
         ++window) {
        if (duties.fixed.contains(window)) continue;
        out.emplace_back(count{"usage_windows_skipped_total", "", 1});
        out.emplace_back(log_event{"usage_skipped", "\"window\":" + std::to_string(window), true});
    }
    duties.skipped_to = std::max(duties.skipped_to, *duties.first_window);
}

/// Fixes the counts of the next window in the store, once they are complete or can wait no longer.
void fix_next_window(router_state& state, time_point true_now, effects& out) {
    duty_state& duties = *state.duties;
    const duration length = duties.settings.usage_window;
    const std::uint64_t current = usage_window_at(length, true_now);
    const auto windows_due = static_cast<std::uint64_t>(duties.settings.usage_due / length) + 1;
    const std::uint64_t oldest_due = current - std::min(current, windows_due);
    note_skipped_windows(duties, oldest_due, out);
    const std::uint64_t first = std::max(*duties.first_window, oldest_due);
    for (std::uint64_t window = first; window < current; ++window) {
        if (duties.fixed.contains(window)) continue;
        const time_point end = usage_window_end(length, window);
        if (true_now < end + counting_time) return;
        const std::vector<std::string> routers = live_routers(state);
        const std::size_t missing = count_missing(duties.sums, routers, end);
        if (missing > 0 && true_now < end + duties.settings.usage_due - sending_time) return;
        if (missing > 0) out.emplace_back(count{"usage_windows_incomplete_total", "", 1});
        duties.proposed = duties.fixed;
        duties.proposed[window] = count_window(state, window, out);
        while (duties.proposed.size() > max_fixed_windows)
            duties.proposed.erase(duties.proposed.begin());
        duty_store_call call;
        call.action = duty_store_action::write;
        call.key = usage_key;
        call.value = encode_fixed_windows(duties.proposed);
        call.conditions = {{std::string{usage_key}, duties.usage_revision},
                           {std::string{duty_holder_key}, duties.holder.revision}};
        start_store_call(duties, std::move(call), state.now, out);
        out.emplace_back(log_event{
            "usage_counted",
            "\"window\":" + std::to_string(window) +
                ",\"accounts\":" + std::to_string(duties.proposed[window].counts.size()) +
                ",\"routers\":" + std::to_string(routers.size()) + ",\"missing\":" + std::to_string(missing) +
                ",\"after_end_ms\":" + format_ms(true_now - end),
            true});
        return;
    }
}

/// Counts that were in the store at some time stay as they were first seen: they may have been reported.
void adopt_fixed(duty_state& duties, const std::map<std::uint64_t, fixed_window>& windows) {
    duties.fixed.insert(windows.begin(), windows.end());
    constexpr std::size_t kept = 2 * max_fixed_windows;
    while (duties.fixed.size() > kept) {
        duties.usage_sends.erase(duties.fixed.begin()->first);
        duties.fixed.erase(duties.fixed.begin());
    }
}

void on_stored_counts(router_state& state, const duty_store_answer& answer, effects& out) {
    duty_state& duties = *state.duties;
    duties.store_call = 0;
    constexpr duration retry_delay = 300ms; // after a failed call
    duties.next_store_call = state.now + retry_delay;
    const bool is_current = !duties.era || answer.era == *duties.era;
    if (!duties.store_call_reads) {
        duties.prepared_for = 0; // read again unless this write has succeeded
        if (answer.status != status_ok || answer.revision == 0 || !is_current) return;
        duties.usage_revision = answer.revision;
        duties.prepared_for = duties.holder.token;
        duties.next_store_call = state.now;
        adopt_fixed(duties, duties.proposed);
        return;
    }
    if (!is_current || (answer.status != status_missing && (answer.status != status_ok || !answer.item)))
        return;
    duties.usage_revision = 0;
    if (answer.item) {
        const auto stored = decode_fixed_windows(answer.item->value);
        if (!stored) out.emplace_back(log_event{"usage_unreadable", "\"key\":" + quoted(usage_key), true});
        if (stored) adopt_fixed(duties, *stored);
        duties.usage_revision = answer.item->revision;
    }
    duties.prepared_for = duties.holder.token;
}

void decide_counts(router_state& state, time_point true_now, effects& out) {
    duty_state& duties = *state.duties;
    if (duties.store_call != 0 && state.now - duties.store_call_sent >= duties.holder.settings.call_timeout)
        on_stored_counts(state, {}, out);
    if (!duties.settings.reports_usage || !may_call(duties.holder, state.now)) return;
    if (!duties.first_window) {
        duties.first_window = first_open_window(state, true_now);
        out.emplace_back(log_event{"usage_from", "\"window\":" + std::to_string(*duties.first_window), true});
    }
    if (duties.store_call != 0 || state.now < duties.next_store_call) return;
    if (duties.prepared_for != duties.holder.token) {
        read_stored_counts(duties, state.now, out);
    } else {
        fix_next_window(state, true_now, out);
    }
}

//-----------------------------------------------------------------------------
// [SECTION] Calls to the platform
//-----------------------------------------------------------------------------

constexpr duration platform_timeout = 2s; // a call without an answer for this long is repeated
// The platform counts the calls of all routers, also those of the holder before.
constexpr double rate_share = 0.8;

template <class Content>
void make_call(router_state& state, duty_send& send, Content content, effects& out) {
    duty_state& duties = *state.duties;
    if (send.open_call != 0 && state.now - send.sent_at >= platform_timeout) {
        send.open_call = 0;
        ++send.failures;
    }
    if (send.done || send.open_call != 0 || state.now < send.not_before || state.now < duties.next_call_at)
        return;
    const double per_s = std::max(1.0, duties.settings.calls_per_s * rate_share);
    duties.next_call_at = state.now + duration{static_cast<std::int64_t>(1e6 / per_s)};
    send.open_call = duties.next_call++;
    send.sent_at = state.now;
    out.emplace_back(duty_call{send.open_call, duties.settings.platform_address, state.settings.name,
                               duties.holder.token, may_call_until(duties.holder), std::move(content)});
}

void call_platform(router_state& state, time_point true_now, effects& out) {
    duty_state& duties = *state.duties;
    if (!may_call(duties.holder, state.now)) return;
    constexpr duration max_lateness = 10s; // a report that is later than that is of no use
    for (const auto& [window, fixed] : duties.fixed) {
        const time_point end = usage_window_end(duties.settings.usage_window, window);
        if (duties.prepared_for == duties.holder.token &&
            true_now < end + duties.settings.usage_due + max_lateness)
            make_call(state, duties.usage_sends[window], fixed, out);
    }
    if (!duties.settings.orders_targets) return;
    for (const target_count_order& order : due_target_orders(state, out)) {
        order_send& item = duties.orders[{order.service, order.data_centre}];
        // Also one that was acknowledged before: an older order may have been carried out after it.
        item.send.done = false;
        item.wanted = order.desired;
    }
    for (auto& [subject, item] : duties.orders) {
        if (item.send.open_call == 0) item.sending = item.wanted;
        make_call(state, item.send, target_count_order{subject.first, subject.second, item.sending}, out);
    }
}

/// Delay until the next try, doubling with jitter.
duration backoff(router_state& state, std::uint32_t failures) {
    constexpr duration base = 200ms;
    constexpr std::uint32_t max_doublings = 3;
    const duration longest = base * (1U << std::min(failures, max_doublings));
    const double share = 0.5 + state.random.next_unit() / 2;
    return duration{static_cast<std::int64_t>(static_cast<double>(longest.count()) * share)};
}

/// Applies the answer to a call; returns whether it was acknowledged.
bool settle_call(router_state& state, duty_send& send, std::uint32_t status) {
    send.open_call = 0;
    send.done = status == status_ok;
    if (send.done) {
        send.failures = 0;
    } else {
        send.not_before = state.now + backoff(state, send.failures++);
    }
    return send.done;
}

void forget_open_calls(duty_state& duties) {
    for (auto& [window, send] : duties.usage_sends)
        send.open_call = 0;
    for (auto& [subject, item] : duties.orders)
        item.send = {};
}

} // namespace

//-----------------------------------------------------------------------------
// [SECTION] Events
//-----------------------------------------------------------------------------

void advance_duties(router_state& state, effects& out) {
    if (!state.duties) return;
    duty_state& duties = *state.duties;
    duty_holder_effects changes;
    if (state.active_catalog) on_duty_era(duties.holder, state.latest.era, state.now, changes);
    on_duty_timer(duties.holder, candidate_of(state), state.now, changes);
    pass_on(changes, out);
    if (duties.holder.era && duties.era != duties.holder.era) {
        duties.era = duties.holder.era;
        duties.era_seen_at = state.now;
        duties.first_window.reset();
        duties.prepared_for = 0;
    }
    if (!may_call(duties.holder, state.now)) forget_open_calls(duties);
    note_names(state);
    const auto true_now = true_time(state);
    if (!true_now) return;
    send_counts(state, *true_now, out);
    decide_counts(state, *true_now, out);
    call_platform(state, *true_now, out);
}

void count_begun_request(router_state& state, const request& item) {
    if (!state.duties || item.account.empty()) return;
    const auto true_now = true_time(state);
    if (!true_now) return;
    const std::uint64_t window = usage_window_at(state.duties->settings.usage_window, *true_now);
    ++state.duties->own_counts[window][stable_hash(item.account)];
}

void add_duty_fields(const router_state& state, router_report& report) {
    if (!state.duties) return;
    const duty_state& duties = *state.duties;
    report.duty_holder = holder_row(duties.holder, state.now);
    if (duties.own_wall == time_point{}) return;
    const time_point wall = duties.own_wall + (state.now - duties.wall_read_at);
    report.wall_us = static_cast<std::uint64_t>(wall.time_since_epoch().count());
}

void apply_duty_fields(router_state& state, const router_report& report, effects& out) {
    if (!state.duties) return;
    if (report.wall_us != 0 && !report.relayed) {
        const time_point wall{duration{static_cast<std::int64_t>(report.wall_us)}};
        note_clock(state.duties->clocks, report.address, wall, state.now);
    }
    if (!report.duty_holder) return;
    duty_holder_effects changes;
    on_holder_heard(state.duties->holder, *report.duty_holder, state.now, changes);
    pass_on(changes, out);
}

void on_duty_report(router_state& state, const router_report& report) {
    if (!state.duties) return;
    const auto true_now = true_time(state);
    if (!true_now) return;
    add_usage(state.duties->sums, report.router, report.address, report.duty->usage,
              *true_now - report_delay);
    note_peer_demand(state, report.router, report.duty->demand, report.data_centre);
}

void on_wall_clock(router_state& state, const wall_clock_read& event) {
    if (!state.duties) return;
    state.duties->own_wall = event.wall;
    state.duties->wall_read_at = state.now;
    note_clock(state.duties->clocks, state.settings.report_address, event.wall, state.now);
}

void on_store_answer(router_state& state, const duty_store_answer& answer, effects& out) {
    if (!state.duties) return;
    duty_state& duties = *state.duties;
    duty_holder_effects changes;
    if ((answer.id & usage_call_bit) == 0) {
        on_duty_answer(duties.holder, answer, state.now, changes);
    } else {
        if (answer.status != 0) on_duty_era(duties.holder, answer.era, state.now, changes);
        if (answer.id == duties.store_call) on_stored_counts(state, answer, out);
    }
    pass_on(changes, out);
}

void on_duty_call_answered(router_state& state, const duty_call_answered& event, effects& out) {
    if (!state.duties || event.id == 0) return;
    duty_state& duties = *state.duties;
    const auto log = [&](std::string fields) {
        out.emplace_back(count{"duty_calls_total", std::to_string(event.status), 1});
        out.emplace_back(log_event{"duty_call",
                                   std::move(fields) + ",\"status\":" + std::to_string(event.status) +
                                       ",\"token\":" + std::to_string(duties.holder.token),
                                   true});
    };
    for (auto& [window, send] : duties.usage_sends) {
        if (send.open_call != event.id) continue;
        const auto true_now = true_time(state);
        const time_point due =
            usage_window_end(duties.settings.usage_window, window) + duties.settings.usage_due;
        log("\"window\":" + std::to_string(window));
        if (settle_call(state, send, event.status)) {
            out.emplace_back(count{"usage_windows_sent_total", "", 1});
            if (true_now && *true_now > due) out.emplace_back(count{"usage_windows_late_total", "", 1});
        }
    }
    for (auto& [subject, item] : duties.orders) {
        if (item.send.open_call != event.id) continue;
        log("\"service\":" + quoted(subject.first) + ",\"data_centre\":" + quoted(subject.second) +
            ",\"desired\":" + std::to_string(item.sending));
        if (!settle_call(state, item.send, event.status)) continue;
        item.send.done = item.sending == item.wanted;
        note_order_accepted(state, {subject.first, subject.second, item.sending});
    }
    if (event.status != status_refused) return;
    duty_holder_effects changes;
    on_token_refused(duties.holder, duties.holder.token, state.now, changes);
    pass_on(changes, out);
}

void give_up_duties(router_state& state, effects& out) {
    if (!state.duties) return;
    duty_holder_effects changes;
    stop_duties(state.duties->holder, state.now, changes);
    pass_on(changes, out);
}

} // namespace damaskhill::direct
