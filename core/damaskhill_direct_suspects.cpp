// Index of this file:
// [SECTION] Crashes
// [SECTION] Answers
// [SECTION] Admission
// [SECTION] Reports

#include "damaskhill_direct_internal.hpp"

#include <algorithm>
#include <array>
#include <cstdio>

namespace damaskhill::direct {

//-----------------------------------------------------------------------------
// [SECTION] Crashes
//-----------------------------------------------------------------------------

namespace {

std::string format_parts(std::span<const std::uint64_t> parts) {
    constexpr std::size_t most = 32;
    std::string list{"["};
    for (const std::uint64_t part : parts.first(std::min(parts.size(), most))) {
        if (list.size() > 1) list.push_back(',');
        std::array<char, 20> text{};
        std::snprintf(text.data(), text.size(), "\"%llx\"", static_cast<unsigned long long>(part));
        list.append(text.data());
    }
    if (parts.size() > most) list += ",\"" + std::to_string(parts.size() - most) + " more\"";
    return list + "]";
}

std::string format_accused(const accused_request& item) {
    return "{\"request\":" + format_parts({&item.fingerprint, 1}) +
           ",\"begun\":" + (item.begun ? "true" : "false") + ",\"parts\":" + format_parts(item.parts) + "}";
}

void log_new_quarantines(const router_state& state, const std::vector<std::uint64_t>& before, effects& out) {
    for (const auto& [part, quarantined] : state.suspects.quarantined) {
        if (std::ranges::find(before, part) != before.end()) continue;
        const duration left = quarantine_end(quarantined, state.settings.suspects) - state.now;
        out.emplace_back(count{"prompt_quarantines_total", "", 1});
        out.emplace_back(log_event{"prompt_quarantined",
                                   "\"part\":" + format_parts({&part, 1}) +
                                       ",\"companions\":" + format_parts(quarantined.companions) +
                                       ",\"moments\":" + std::to_string(quarantined.moments) +
                                       ",\"left_ms\":" + format_ms(left),
                                   true});
    }
}

std::vector<std::uint64_t> quarantined_parts(const router_state& state) {
    std::vector<std::uint64_t> parts;
    for (const auto& [part, quarantined] : state.suspects.quarantined)
        parts.push_back(part);
    return parts;
}

} // namespace

namespace {

// Bytes that were on the way when the target crashed arrive within this time.
constexpr duration in_transit = 50ms;

time_point first_byte_at(const request& item) { return item.sent_at + item.first_byte_delay; }

/// Accuses the request of a crash at the given time, should it be confirmed.
void accuse(router_state& state, const request& item, target_state& target, time_point at) {
    const prompt_suspect_settings& settings = state.settings.suspects;
    const bool expired = target.broken && state.now - target.broken->noticed > settings.max_unconfirmed;
    if (!target.broken || expired) target.broken = engine_crash{target.hash, at, {}, state.now};
    const bool begun = item.first_byte_received && at - first_byte_at(item) > settings.beginning;
    accuse_request(state.suspects, settings, *target.broken,
                   {item.parts, item.request_fingerprint, begun, true, 0});
}

} // namespace

void note_break(router_state& state, const request& item, target_state& target) {
    // A response that is not read breaks unnoticed; when, is not known.
    if (item.caller_is_congested) return;
    accuse(state, item, target, state.now);
}

void note_silence(router_state& state, const request& item, effects& out) {
    // A target that works sends the next event, or another response, sooner than this.
    constexpr duration min_silence = 1s;
    if (item.send_id == 0 || item.caller_is_congested) return;
    target_state* const target = find_target(state, item.target);
    if (target == nullptr) return;
    const time_point last_sign =
        std::max({item.sent_at, item.last_data, item.congestion_ended_at, target->last_head});
    if (state.now - last_sign < min_silence || has_sent_since(state, item.target, last_sign)) return;
    accuse(state, item, *target, last_sign);
    if (target->missing_since != time_point{}) confirm_crash(state, *target, out);
}

bool has_sent_since(const router_state& state, std::string_view target, time_point at) {
    return std::ranges::any_of(state.requests, [&](const auto& entry) {
        return entry.second->target == target && entry.second->last_data > at;
    });
}

void confirm_crash(router_state& state, target_state& target, effects& out) {
    if (!target.broken) return;
    const engine_crash crash = *target.broken;
    target.broken.reset();
    if (state.now - crash.noticed > state.settings.suspects.max_unconfirmed) return;
    if (has_sent_since(state, target.entry.id, crash.at + in_transit)) return;
    target.last_crash = crash.at;
    std::string accused;
    for (const accused_request& item : crash.accused)
        accused += (accused.empty() ? "" : ",") + format_accused(item);
    out.emplace_back(count{"engine_crashes_total", target.entry.service, 1});
    out.emplace_back(log_event{"target_crashed",
                               "\"target\":" + quoted(target.entry.id) + ",\"ms_ago\":" +
                                   format_ms(state.now - crash.at) + ",\"accused\":[" + accused + "]",
                               true});
    const auto before = quarantined_parts(state);
    if (add_crashes(state.suspects, state.settings.suspects, {crash}, state.now))
        state.next_report = state.now;
    log_new_quarantines(state, before, out);
}

//-----------------------------------------------------------------------------
// [SECTION] Answers
//-----------------------------------------------------------------------------

void note_sign_of_life(const router_state& state, target_state& target) {
    target.last_head = state.now;
    if (target.broken && state.now - target.broken->at > in_transit) target.broken.reset();
}

namespace {

void note_evidence(router_state& state, const request& item, answer_evidence evidence, time_point at,
                   effects& out) {
    if (is_failure(item.head.status) || item.parts.empty()) return;
    const std::size_t before = state.suspects.quarantined.size();
    add_answer(state.suspects, state.settings.suspects, item.parts, evidence, at, true);
    if (state.suspects.quarantined.size() != before)
        out.emplace_back(log_event{"prompt_cleared", "\"parts\":" + format_parts(item.parts), true});
}

} // namespace

void note_answer_complete(router_state& state, const request& item, effects& out) {
    if (item.first_byte_received)
        note_evidence(state, item, answer_evidence::begun, first_byte_at(item), out);
    note_evidence(state, item, answer_evidence::whole, state.now, out);
    const std::uint64_t fingerprint = item.request_fingerprint;
    if (!state.suspects.suspected.contains(fingerprint) && !state.suspects.quarantined.contains(fingerprint))
        return;
    for (const answer_evidence evidence : {answer_evidence::begun, answer_evidence::whole})
        add_answer(state.suspects, state.settings.suspects, {&fingerprint, 1}, evidence, state.now, true);
}

// An answer that was cancelled early, or from a target that has been silent since, shows nothing.
void settle_begun_answers(router_state& state, effects& out) {
    const prompt_suspect_settings& settings = state.settings.suspects;
    for (const auto& [caller, item] : state.requests) {
        if (!item->first_byte_received || item->begun_is_noted ||
            item->last_data - first_byte_at(*item) < settings.proof_of_life)
            continue;
        item->begun_is_noted = true;
        note_evidence(state, *item, answer_evidence::begun, first_byte_at(*item), out);
    }
    expire_suspects(state.suspects, settings, state.now);
}

//-----------------------------------------------------------------------------
// [SECTION] Admission
//-----------------------------------------------------------------------------

prompt_judgement judge_request(const router_state& state, const request& item) {
    if (state.suspects.suspected.empty() && state.suspects.quarantined.empty()) return {};
    prompt_judgement judged = judge_prompt(state.suspects, state.settings.suspects,
                                           parts_of_request(item.parts, item.request_fingerprint), state.now);
    if (judged.verdict == prompt_verdict::clear || judged.verdict == prompt_verdict::quarantined)
        return judged;
    const bool may_try =
        judged.verdict == prompt_verdict::one_per_router || rank_for_target(state, judged.part) == 0;
    // A trial of a part that may crash its target late lasts until its answer is whole.
    const bool until_whole = judged.needs_whole_answer && judged.verdict == prompt_verdict::one_per_fleet;
    const bool is_tried = std::ranges::any_of(state.requests, [&](const auto& entry) {
        const request& other = *entry.second;
        if (&other == &item || other.send_id == 0) return false;
        return other.request_fingerprint == judged.part ||
               ((until_whole || !other.first_byte_received) &&
                std::ranges::find(other.parts, judged.part) != other.parts.end());
    });
    // An attempt that broke during such a trial is not repeated: it may have been the crash.
    const bool repeats_trial = judged.verdict == prompt_verdict::one_per_fleet && item.sends > 0;
    if (may_try && !is_tried && !repeats_trial) judged.verdict = prompt_verdict::clear;
    return judged;
}

std::uint32_t known_crashes(const router_state& state, const request& item) {
    const auto suspected = state.suspects.suspected.find(item.request_fingerprint);
    return suspected == state.suspects.suspected.end() ? 0 : suspected->second.crashes;
}

//-----------------------------------------------------------------------------
// [SECTION] Reports
//-----------------------------------------------------------------------------

namespace {

std::uint64_t age_us(time_point now, time_point at) {
    return static_cast<std::uint64_t>(std::max<std::int64_t>(0, (now - at).count()));
}

/// Keeps the rows from the cursor on whose sizes fit into the room; at least the first one, unless it alone
/// is larger than that. The next report continues behind them.
template <class Row, class F>
void keep_in_turn(std::vector<Row>& rows, std::size_t& cursor, std::size_t room, F&& size_of) {
    if (rows.empty()) return;
    std::rotate(rows.begin(), rows.begin() + static_cast<std::ptrdiff_t>(cursor % rows.size()), rows.end());
    std::size_t kept = 0;
    for (std::size_t used = 0; kept < rows.size(); ++kept) {
        used += size_of(rows[kept]);
        if (used > room) break;
    }
    const std::size_t before = rows.size();
    rows.resize(kept);
    cursor = kept == before ? 0 : (cursor % before) + std::max<std::size_t>(kept, 1);
}

} // namespace

void limit_suspect_rows(const prompt_suspect_settings& settings, announced_suspects& next,
                        router_report& report) {
    // A row counts as some parts, so that the limit on rows holds too.
    const std::size_t row_size = settings.max_announced_parts / settings.max_announced + 1;
    keep_in_turn(report.engine_crashes, next.accused, settings.max_announced_parts,
                 [&](const engine_crash_row& row) { return row_size + row.parts.size(); });
    keep_in_turn(report.acquittals, next.acquittals, settings.max_announced_acquittals,
                 [](const acquittal_row&) { return std::size_t{1}; });
    // Others find a part with too many companions by the crashes themselves.
    keep_in_turn(report.quarantines, next.quarantines, settings.max_announced_companions,
                 [](const quarantine_row& row) { return 1 + row.companions.size(); });
}

void add_suspect_rows(router_state& state, router_report& report) {
    const prompt_suspects& suspects = state.suspects;
    for (const engine_crash& crash : suspects.crashes) {
        if (state.now - crash.noticed > state.settings.suspects.announce_time) continue;
        for (const accused_request& item : crash.accused) {
            if (item.is_own)
                report.engine_crashes.push_back({crash.engine, age_us(state.now, crash.at), item.parts,
                                                 item.fingerprint, item.begun, item.identity});
        }
    }
    for (const auto& [part, answered] : suspects.own_acquittals) {
        if (answered.begun != time_point{})
            report.acquittals.push_back({part, age_us(state.now, answered.begun), false});
        if (answered.whole != time_point{})
            report.acquittals.push_back({part, age_us(state.now, answered.whole), true});
    }
    for (const auto& [part, quarantined] : suspects.quarantined)
        report.quarantines.push_back({part, quarantined.moments, age_us(state.now, quarantined.last_crash),
                                      quarantined.companions, quarantined.begun});
    limit_suspect_rows(state.settings.suspects, state.announced, report);
}

bool apply_suspect_rows(router_state& state, const router_report& report, effects& out) {
    const prompt_suspect_settings& settings = state.settings.suspects;
    const auto before = quarantined_parts(state);
    const auto time_of = [&](std::uint64_t age) {
        return state.now - duration{static_cast<std::int64_t>(age)};
    };
    std::vector<engine_crash> crashes;
    // The requests of one crash are in consecutive rows.
    for (auto row = report.engine_crashes.begin(); row != report.engine_crashes.end();) {
        engine_crash crash{row->engine, time_of(row->age_us), {}, {}};
        const auto end = std::find_if(row, report.engine_crashes.end(), [&](const engine_crash_row& other) {
            return other.engine != row->engine || other.age_us != row->age_us;
        });
        for (; row != end; ++row)
            crash.accused.push_back({row->parts, row->request, row->begun, false, row->identity});
        crashes.push_back(std::move(crash));
    }
    const bool is_news = add_crashes(state.suspects, settings, std::move(crashes), state.now);
    for (const acquittal_row& row : report.acquittals)
        add_answer(state.suspects, settings, {&row.part, 1},
                   row.whole ? answer_evidence::whole : answer_evidence::begun, time_of(row.age_us), false);
    for (const quarantine_row& row : report.quarantines)
        add_quarantine(state.suspects, settings, row.part,
                       {row.moments, time_of(row.age_us), row.companions, row.begun}, state.now);
    log_new_quarantines(state, before, out);
    return is_news;
}

} // namespace damaskhill::direct
