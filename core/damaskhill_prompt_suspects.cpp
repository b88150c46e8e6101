// Index of this file:
// [SECTION] Evidence
// [SECTION] Verdict

#include "damaskhill_prompt_suspects.hpp"

#include <algorithm>
#include <functional>
#include <tuple>

namespace damaskhill {

//-----------------------------------------------------------------------------
// [SECTION] Evidence
//-----------------------------------------------------------------------------

prompt_parts parts_of_request(std::span<const std::uint64_t> parts, std::uint64_t fingerprint) {
    prompt_parts all(parts.begin(), parts.end());
    if (fingerprint != 0) all.push_back(fingerprint);
    std::ranges::sort(all);
    return all;
}

namespace {

std::uint64_t mix(std::uint64_t value, std::uint64_t salt) {
    // SplitMix64.
    value += salt * 0x9e3779b97f4a7c15U;
    value = (value ^ (value >> 30U)) * 0xbf58476d1ce4e5b9U;
    value = (value ^ (value >> 27U)) * 0x94d049bb133111ebU;
    return value ^ (value >> 31U);
}

std::uint64_t identity_of(const accused_request& accused) {
    std::uint64_t identity = mix(accused.fingerprint, accused.begun ? 2 : 1);
    for (const std::uint64_t part : accused.parts)
        identity = mix(identity ^ part, 3);
    return std::max<std::uint64_t>(identity, 1);
}

/// Whether the part has been acquitted of an accusation at this time. `begun`: see accused_request.
bool is_acquitted(const prompt_suspects& suspects, std::uint64_t part, time_point crash, bool begun) {
    const auto answered = suspects.answered.find(part);
    if (answered == suspects.answered.end()) return false;
    return (begun ? answered->second.whole : answered->second.begun) >= crash;
}

bool accuses(const accused_request& accused, std::uint64_t part) {
    return accused.fingerprint == part || std::ranges::binary_search(accused.parts, part);
}

prompt_parts intersect(const prompt_parts& a, const prompt_parts& b) {
    prompt_parts both;
    std::ranges::set_intersection(a, b, std::back_inserter(both));
    return both;
}

void count_crash(suspected_part& part, const prompt_suspect_settings& settings, time_point at, bool begun) {
    ++part.crashes;
    if (begun) ++part.begun_crashes;
    if (part.moments == 0 || at - part.last_crash > settings.same_moment) ++part.moments;
    part.last_crash = at;
}

/// Counts the crashes that accuse each part, or one part only, since its last acquittal.
void count_accusations(prompt_suspects& suspects, const prompt_suspect_settings& settings,
                       std::optional<std::uint64_t> only) {
    for (const engine_crash& crash : suspects.crashes) {
        std::unordered_set<std::uint64_t> counted; // a part counts once for each crash
        // An answer that had just begun says more than one that had been going on.
        for (const bool begun : {false, true}) {
            for (const accused_request& accused : crash.accused) {
                if (accused.begun != begun || (only && !accuses(accused, *only))) continue;
                for (const std::uint64_t part : parts_of_request(accused.parts, accused.fingerprint)) {
                    if (only && part != *only) continue;
                    if (is_acquitted(suspects, part, crash.at, begun) || !counted.insert(part).second)
                        continue;
                    suspected_part& suspected = suspects.suspected[part];
                    suspected.answered_before = suspects.answered.contains(part);
                    count_crash(suspected, settings, crash.at, begun);
                }
            }
        }
    }
}

void rebuild_suspected(prompt_suspects& suspects, const prompt_suspect_settings& settings) {
    suspects.accused.clear();
    for (const engine_crash& crash : suspects.crashes) {
        for (const accused_request& accused : crash.accused) {
            suspects.accused.insert(accused.parts.begin(), accused.parts.end());
            if (accused.fingerprint != 0) suspects.accused.insert(accused.fingerprint);
        }
    }
    suspects.suspected.clear();
    count_accusations(suspects, settings, std::nullopt);
}

void recount_suspected(prompt_suspects& suspects, const prompt_suspect_settings& settings,
                       std::uint64_t part) {
    suspects.suspected.erase(part);
    count_accusations(suspects, settings, part);
}

/// Suspected parts that are in every accused request with this one, sorted; includes it.
prompt_parts companions_of(const prompt_suspects& suspects, std::uint64_t part) {
    std::optional<prompt_parts> companions;
    for (const engine_crash& crash : suspects.crashes) {
        for (const accused_request& accused : crash.accused) {
            if (!accuses(accused, part) || is_acquitted(suspects, part, crash.at, accused.begun)) continue;
            prompt_parts open = parts_of_request(accused.parts, accused.fingerprint);
            // Either kind of answer shows that another part explains the crash.
            std::erase_if(open, [&](std::uint64_t other) {
                return is_acquitted(suspects, other, crash.at, false) ||
                       is_acquitted(suspects, other, crash.at, true);
            });
            companions = companions ? intersect(*companions, open) : std::move(open);
        }
    }
    return companions.value_or(prompt_parts{});
}

bool must_quarantine(const suspected_part& part, const prompt_suspect_settings& settings) {
    const std::uint32_t moments =
        part.answered_before ? settings.answered_quarantine_moments : settings.quarantine_moments;
    const std::uint32_t crashes =
        part.begun_crashes > 0 ? settings.begun_quarantine_crashes : settings.quarantine_crashes;
    const bool crashed_early = part.crashes - part.begun_crashes >= settings.quarantine_crashes;
    return (crashed_early || part.crashes >= crashes) && part.moments >= moments;
}

/// Time of the last crash, number of crashes or moments, and the part.
using crash_times = std::vector<std::tuple<time_point, std::uint32_t, std::uint64_t>>;

/// Keeps the entries with the latest crashes, and of these the ones with most.
void keep_latest(crash_times& entries, std::size_t most) {
    if (entries.size() <= most) return;
    std::ranges::nth_element(entries, entries.begin() + static_cast<std::ptrdiff_t>(most), std::greater{});
    entries.resize(most);
}

void limit_quarantines(prompt_suspects& suspects, const prompt_suspect_settings& settings) {
    if (suspects.quarantined.size() <= settings.max_quarantines) return;
    crash_times kept;
    for (const auto& [part, quarantined] : suspects.quarantined)
        kept.emplace_back(quarantined.last_crash, quarantined.moments, part);
    keep_latest(kept, settings.max_quarantines);
    std::erase_if(suspects.quarantined, [oldest = std::ranges::min(kept)](const auto& entry) {
        return std::tuple{entry.second.last_crash, entry.second.moments, entry.first} < oldest;
    });
}

/// Quarantines the parts that have been accused often enough, and updates those that are quarantined.
void update_quarantines(prompt_suspects& suspects, const prompt_suspect_settings& settings) {
    crash_times added;
    for (const auto& [id, part] : suspects.suspected) {
        const auto found = suspects.quarantined.find(id);
        if (found == suspects.quarantined.end()) {
            if (must_quarantine(part, settings)) added.emplace_back(part.last_crash, part.crashes, id);
            continue;
        }
        quarantined_part& quarantined = found->second;
        if (part.last_crash < quarantined.last_crash) continue;
        quarantined.begun = quarantined.begun || part.begun_crashes > 0;
        quarantined.companions = intersect(quarantined.companions, companions_of(suspects, id));
        if (part.last_crash == quarantined.last_crash) continue;
        if (part.last_crash - quarantined.last_crash > settings.same_moment) ++quarantined.moments;
        quarantined.last_crash = part.last_crash;
    }
    keep_latest(added, settings.max_quarantines);
    for (const auto& [last_crash, crashes, id] : added) {
        const suspected_part& part = suspects.suspected.at(id);
        suspects.quarantined[id] = {part.moments, part.last_crash, companions_of(suspects, id),
                                    part.begun_crashes > 0};
    }
    limit_quarantines(suspects, settings);
}

time_point latest(const answered_part& answered) { return std::max(answered.begun, answered.whole); }

/// Forgets the parts whose last answer is oldest, except for those whose acquittal rests on it.
void limit_answered(prompt_suspects& suspects, const prompt_suspect_settings& settings) {
    if (suspects.answered.size() <= std::max(settings.max_answered, suspects.answered_limit)) return;
    std::vector<time_point> times;
    times.reserve(suspects.answered.size());
    for (const auto& [part, answered] : suspects.answered) {
        if (!suspects.accused.contains(part)) times.push_back(latest(answered));
    }
    // Removes half at once, so that the search is rare.
    if (!times.empty()) {
        const auto middle = times.begin() + static_cast<std::ptrdiff_t>(times.size() / 2);
        std::ranges::nth_element(times, middle);
        std::erase_if(suspects.answered, [&, limit = *middle](const auto& entry) {
            return latest(entry.second) <= limit && !suspects.accused.contains(entry.first);
        });
    }
    suspects.answered_limit = suspects.answered.size() + settings.max_answered / 2;
}

/// Cuts the parts of a request to those that may explain the crash best. Which of equal ones are left out
/// depends on the salt.
void cut_parts(const prompt_suspects& suspects, prompt_parts& parts, std::size_t most, std::uint64_t salt) {
    if (parts.size() <= most) return;
    const auto rank = [&](std::uint64_t part) {
        if (suspects.suspected.contains(part) || suspects.quarantined.contains(part)) return 0;
        return suspects.answered.contains(part) ? 2 : 1;
    };
    std::vector<std::tuple<int, std::uint64_t, std::uint64_t>> ranked;
    ranked.reserve(parts.size());
    for (const std::uint64_t part : parts)
        ranked.emplace_back(rank(part), mix(part, salt), part);
    std::ranges::nth_element(ranked, ranked.begin() + static_cast<std::ptrdiff_t>(most));
    ranked.resize(most);
    parts.clear();
    for (const auto& [order, hash, part] : ranked)
        parts.push_back(part);
}

std::size_t count_parts(const engine_crash& crash) {
    std::size_t sum = 0;
    for (const accused_request& accused : crash.accused)
        sum += accused.parts.size();
    return sum;
}

/// Forgets the oldest crashes.
void limit_crashes(prompt_suspects& suspects, const prompt_suspect_settings& settings) {
    std::size_t parts = 0;
    for (const engine_crash& crash : suspects.crashes)
        parts += count_parts(crash);
    while (suspects.crashes.size() > 1 &&
           (suspects.crashes.size() > settings.max_crashes || parts > settings.max_stored_parts)) {
        parts -= count_parts(suspects.crashes.front());
        suspects.crashes.erase(suspects.crashes.begin());
    }
}

/// Adds a crash, or what is new of a known one. Returns whether anything is.
bool merge_crash(prompt_suspects& suspects, const prompt_suspect_settings& settings, engine_crash crash,
                 time_point now) {
    if (now - crash.at > settings.crash_lifetime) return false;
    auto known = std::ranges::find_if(suspects.crashes, [&](const engine_crash& other) {
        return other.engine == crash.engine &&
               std::chrono::abs(other.at - crash.at) < settings.min_restart_time;
    });
    bool is_news = known == suspects.crashes.end();
    if (is_news) known = suspects.crashes.insert(known, {crash.engine, crash.at, {}, now});
    engine_crash& stored = *known;
    stored.at = std::min(stored.at, crash.at);
    for (accused_request& accused : crash.accused)
        is_news = accuse_request(suspects, settings, stored, std::move(accused)) || is_news;
    if (!is_news) return false;
    stored.noticed = now;
    std::ranges::sort(suspects.crashes, {}, &engine_crash::at);
    limit_crashes(suspects, settings);
    return true;
}

} // namespace

bool accuse_request(const prompt_suspects& suspects, const prompt_suspect_settings& settings,
                    engine_crash& crash, accused_request accused) {
    if (accused.parts.empty() && accused.fingerprint == 0) return false;
    std::ranges::sort(accused.parts);
    if (accused.identity == 0) accused.identity = identity_of(accused);
    if (std::ranges::find(crash.accused, accused.identity, &accused_request::identity) != crash.accused.end())
        return false;
    const auto order = [&](const accused_request& item) { return mix(item.identity, crash.engine); };
    if (crash.accused.size() >= settings.max_accused) {
        const auto last = std::ranges::max_element(crash.accused, {}, order);
        if (order(*last) <= order(accused)) return false;
        crash.accused.erase(last);
    }
    const std::size_t stored = count_parts(crash);
    const std::size_t left = settings.max_crash_parts - std::min(settings.max_crash_parts, stored);
    cut_parts(suspects, accused.parts, std::clamp(left, settings.min_parts, settings.max_parts),
              accused.identity ^ static_cast<std::uint64_t>(crash.at.time_since_epoch().count()));
    std::ranges::sort(accused.parts);
    crash.accused.push_back(std::move(accused));
    return true;
}

bool add_crashes(prompt_suspects& suspects, const prompt_suspect_settings& settings,
                 std::vector<engine_crash> crashes, time_point now) {
    bool is_news = false;
    for (engine_crash& crash : crashes)
        is_news = merge_crash(suspects, settings, std::move(crash), now) || is_news;
    if (!is_news) return false;
    rebuild_suspected(suspects, settings);
    update_quarantines(suspects, settings);
    return true;
}

void add_answer(prompt_suspects& suspects, const prompt_suspect_settings& settings,
                std::span<const std::uint64_t> parts, answer_evidence evidence, time_point at, bool is_own) {
    const bool is_whole = evidence == answer_evidence::whole;
    const auto time_in = [&](answered_part& answered) -> time_point& {
        return is_whole ? answered.whole : answered.begun;
    };
    std::vector<std::uint64_t> acquitted;
    bool ended_quarantine = false;
    for (const std::uint64_t part : parts) {
        const auto quarantined = suspects.quarantined.find(part);
        const bool is_quarantined = quarantined != suspects.quarantined.end();
        const bool is_suspected = suspects.suspected.contains(part);
        time_point& answered = time_in(suspects.answered[part]);
        if (at <= answered) continue;
        answered = at;
        if (!is_quarantined && !is_suspected) continue;
        if (is_own) time_in(suspects.own_acquittals[part]) = at;
        if (is_quarantined && quarantined->second.last_crash <= at &&
            (is_whole || !quarantined->second.begun)) {
            suspects.quarantined.erase(quarantined);
            ended_quarantine = true;
        }
        for (auto& [other, entry] : suspects.quarantined) {
            if (entry.last_crash <= at && other != part && (is_whole || !entry.begun))
                std::erase(entry.companions, part);
        }
        if (is_suspected) acquitted.push_back(part);
    }
    constexpr std::size_t few = 8; // recounted one by one
    if (acquitted.size() > few) {
        rebuild_suspected(suspects, settings);
    } else {
        for (const std::uint64_t part : acquitted)
            recount_suspected(suspects, settings, part);
    }
    // The part that has been hidden by the others.
    if (ended_quarantine) update_quarantines(suspects, settings);
    limit_answered(suspects, settings);
}

void add_quarantine(prompt_suspects& suspects, const prompt_suspect_settings& settings, std::uint64_t part,
                    const quarantined_part& found, time_point now) {
    if (now > quarantine_end(found, settings)) return;
    if (is_acquitted(suspects, part, found.last_crash, found.begun)) {
        // The other router has started lately, or has not served the part: it learns of the answer.
        suspects.own_acquittals[part] = suspects.answered.at(part);
        return;
    }
    const auto [known, is_new] = suspects.quarantined.try_emplace(part, found);
    quarantined_part& stored = known->second;
    stored.begun = stored.begun || found.begun;
    stored.moments = std::max(stored.moments, found.moments);
    // Each hop adds the delay of a report to the age, so that times closer together are the same crash.
    if (found.last_crash - stored.last_crash > settings.same_moment) stored.last_crash = found.last_crash;
    if (!is_new) stored.companions = intersect(stored.companions, found.companions);
    limit_quarantines(suspects, settings);
}

time_point quarantine_end(const quarantined_part& part, const prompt_suspect_settings& settings) {
    duration time = settings.first_quarantine;
    for (std::uint32_t i = settings.quarantine_moments; i < part.moments && time < settings.max_quarantine;
         ++i)
        time *= 3;
    return part.last_crash + std::min(time, settings.max_quarantine);
}

void expire_suspects(prompt_suspects& suspects, const prompt_suspect_settings& settings, time_point now) {
    const std::size_t before = suspects.crashes.size();
    std::erase_if(suspects.crashes,
                  [&](const engine_crash& crash) { return now - crash.at > settings.crash_lifetime; });
    std::erase_if(suspects.own_acquittals,
                  [&](const auto& entry) { return now - latest(entry.second) > settings.announce_time; });
    std::erase_if(suspects.quarantined, [&](const auto& entry) {
        return now > quarantine_end(entry.second, settings) + settings.probation;
    });
    if (suspects.crashes.size() != before) rebuild_suspected(suspects, settings);
}

//-----------------------------------------------------------------------------
// [SECTION] Verdict
//-----------------------------------------------------------------------------

namespace {

prompt_judgement judge_quarantined(const quarantined_part& quarantined, std::uint64_t part,
                                   const prompt_suspect_settings& settings, const prompt_parts& sorted_parts,
                                   time_point now) {
    // Without one of the companions, the crashes have another explanation, and this request can tell.
    if (!std::ranges::includes(sorted_parts, quarantined.companions))
        return {prompt_verdict::one_per_router, part, {}, false};
    const time_point end = quarantine_end(quarantined, settings);
    return {now < end ? prompt_verdict::quarantined : prompt_verdict::one_per_fleet, part, end,
            quarantined.begun};
}

prompt_verdict judge_suspected(const suspected_part& suspected, const prompt_suspect_settings& settings) {
    if (suspected.answered_before)
        return suspected.moments >= settings.quarantine_moments ? prompt_verdict::one_per_router
                                                                : prompt_verdict::clear;
    return suspected.crashes >= settings.quarantine_crashes ? prompt_verdict::one_per_fleet
                                                            : prompt_verdict::one_per_router;
}

} // namespace

prompt_judgement judge_prompt(const prompt_suspects& suspects, const prompt_suspect_settings& settings,
                              std::span<const std::uint64_t> parts, time_point now) {
    prompt_judgement worst;
    if (suspects.suspected.empty() && suspects.quarantined.empty()) return worst;
    prompt_parts sorted_parts(parts.begin(), parts.end());
    std::ranges::sort(sorted_parts);
    for (const std::uint64_t part : sorted_parts) {
        prompt_judgement found;
        const auto quarantined = suspects.quarantined.find(part);
        const auto suspected = suspects.suspected.find(part);
        if (quarantined != suspects.quarantined.end()) {
            found = judge_quarantined(quarantined->second, part, settings, sorted_parts, now);
        } else if (suspected != suspects.suspected.end()) {
            found = {
                judge_suspected(suspected->second, settings), part, {}, suspected->second.begun_crashes > 0};
        }
        if (found.verdict > worst.verdict) worst = found;
    }
    return worst;
}

} // namespace damaskhill
