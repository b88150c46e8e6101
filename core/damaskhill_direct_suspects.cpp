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
    std::string list{"["};
    for (const std::uint64_t part : parts) {
        if (list.size() > 1) list.push_back(',');
        std::array<char, 20> text{};
        std::snprintf(text.data(), text.size(), "\"%llx\"", static_cast<unsigned long long>(part));
        list.append(text.data());
    }
    return list + "]";
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

void note_unanswered_break(router_state& state, const request& item, target_state& target) {
    if (item.parts.empty() || item.first_byte_received) return;
    const bool expired =
        target.broken && state.now - target.broken->at > state.settings.suspects.max_unconfirmed;
    if (!target.broken || expired) target.broken = engine_crash{target.hash, state.now, true, {}};
    if (target.broken->accused.size() < state.settings.suspects.max_sets)
        target.broken->accused.push_back(item.parts);
}

void confirm_crash(router_state& state, target_state& target, effects& out) {
    if (!target.broken) return;
    const engine_crash crash = *target.broken;
    target.broken.reset();
    if (state.now - crash.at > state.settings.suspects.max_unconfirmed) return;
    target.last_crash = crash.at;
    std::string sets;
    for (const prompt_parts& accused : crash.accused)
        sets += (sets.empty() ? "" : ",") + format_parts(accused);
    out.emplace_back(count{"engine_crashes_total", target.entry.service, 1});
    out.emplace_back(log_event{"target_crashed",
                               "\"target\":" + quoted(target.entry.id) + ",\"ms_ago\":" +
                                   format_ms(state.now - crash.at) + ",\"unanswered\":[" + sets + "]",
                               true});
    const auto before = quarantined_parts(state);
    if (add_crash(state.suspects, state.settings.suspects, crash, state.now)) state.next_report = state.now;
    log_new_quarantines(state, before, out);
}

//-----------------------------------------------------------------------------
// [SECTION] Answers
//-----------------------------------------------------------------------------

void note_sign_of_life(const router_state& state, target_state& target) {
    // Bytes that were on the way when the target crashed arrive within this time.
    constexpr duration in_transit = 50ms;
    if (target.broken && state.now - target.broken->at > in_transit) target.broken.reset();
}

void note_answer_begun(router_state& state, const request& item, const target_state& target) {
    if (!item.parts.empty()) state.begun_answers.push_back({state.now, target.hash, item.parts});
}

void settle_begun_answers(router_state& state, effects& out) {
    const prompt_suspect_settings& settings = state.settings.suspects;
    while (!state.begun_answers.empty() &&
           state.now - state.begun_answers.front().at >= settings.proof_of_life) {
        const begun_answer answer = std::move(state.begun_answers.front());
        state.begun_answers.pop_front();
        const auto found = state.target_by_hash.find(answer.target);
        if (found == state.target_by_hash.end()) continue;
        const target_state& target = *found->second;
        const bool lives = !target.broken && target.last_crash < answer.at;
        if (!lives) continue;
        const std::size_t before = state.suspects.quarantined.size();
        add_answer(state.suspects, settings, answer.parts, answer.at, true);
        if (state.suspects.quarantined.size() != before) {
            out.emplace_back(log_event{"prompt_cleared", "\"parts\":" + format_parts(answer.parts), true});
        }
    }
    expire_suspects(state.suspects, settings, state.now);
}

//-----------------------------------------------------------------------------
// [SECTION] Admission
//-----------------------------------------------------------------------------

prompt_judgement judge_request(const router_state& state, const request& item) {
    prompt_judgement judged = judge_prompt(state.suspects, state.settings.suspects, item.parts, state.now);
    if (judged.verdict == prompt_verdict::clear || judged.verdict == prompt_verdict::quarantined)
        return judged;
    const bool may_try =
        judged.verdict == prompt_verdict::one_per_router || rank_for_target(state, judged.part) == 0;
    const bool is_tried = std::ranges::any_of(state.requests, [&](const auto& entry) {
        const request& other = *entry.second;
        return &other != &item && other.send_id != 0 && !other.first_byte_received &&
               std::ranges::find(other.parts, judged.part) != other.parts.end();
    });
    if (may_try && !is_tried) judged.verdict = prompt_verdict::clear;
    return judged;
}

//-----------------------------------------------------------------------------
// [SECTION] Reports
//-----------------------------------------------------------------------------

namespace {

std::uint64_t age_us(time_point now, time_point at) {
    return static_cast<std::uint64_t>(std::max<std::int64_t>(0, (now - at).count()));
}

} // namespace

void add_suspect_rows(const router_state& state, router_report& report) {
    const prompt_suspects& suspects = state.suspects;
    for (const engine_crash& crash : suspects.crashes) {
        if (!crash.is_own || state.now - crash.at > state.settings.suspects.announce_time) continue;
        for (const prompt_parts& accused : crash.accused)
            report.engine_crashes.push_back({crash.engine, age_us(state.now, crash.at), accused});
    }
    for (const auto& [part, at] : suspects.own_acquittals)
        report.acquittals.push_back({part, age_us(state.now, at)});
    for (const auto& [part, quarantined] : suspects.quarantined)
        report.quarantines.push_back(
            {part, quarantined.moments, age_us(state.now, quarantined.last_crash), quarantined.companions});
}

bool apply_suspect_rows(router_state& state, const router_report& report, effects& out) {
    const prompt_suspect_settings& settings = state.settings.suspects;
    const auto before = quarantined_parts(state);
    const auto time_of = [&](std::uint64_t age) {
        return state.now - duration{static_cast<std::int64_t>(age)};
    };
    bool is_news = false;
    for (const engine_crash_row& row : report.engine_crashes)
        is_news = add_crash(state.suspects, settings, {row.engine, time_of(row.age_us), false, {row.parts}},
                            state.now) ||
                  is_news;
    for (const acquittal_row& row : report.acquittals)
        add_answer(state.suspects, settings, {&row.part, 1}, time_of(row.age_us), false);
    for (const quarantine_row& row : report.quarantines)
        add_quarantine(state.suspects, settings, row.part, {row.moments, time_of(row.age_us), row.companions},
                       state.now);
    log_new_quarantines(state, before, out);
    return is_news;
}

} // namespace damaskhill::direct
