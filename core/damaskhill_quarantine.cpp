// Index of this file:
// [SECTION] Crash records

#include "damaskhill_quarantine.hpp"

#include <algorithm>

namespace damaskhill {

//-----------------------------------------------------------------------------
// [SECTION] Crash records
//-----------------------------------------------------------------------------

std::uint64_t crash_hash_of(account_id account, std::string_view body) {
    return stable_hash(body, account.value);
}

bool record_crash(quarantine& state, std::uint64_t crash_hash, attempt_id attempt, bool alone) {
    if (state.records.size() >= state.settings.record_limit && !state.records.contains(crash_hash))
        return false;
    crash_record& record = state.records[crash_hash];
    record.crash_hash = crash_hash;
    if (std::ranges::find(record.crashes, attempt) != record.crashes.end()) return false;
    record.crashes.push_back(attempt);
    // Suspects run alone, so that a second crash quarantines the cause and not the requests beside it.
    if (alone && record.crashes.size() >= 2) record.quarantined = true;
    return true;
}

bool merge_crash(quarantine& state, const crash_record& record) {
    if (state.records.size() >= state.settings.record_limit && !state.records.contains(record.crash_hash)) {
        return false;
    }
    crash_record& known = state.records[record.crash_hash];
    known.crash_hash = record.crash_hash;
    bool changed = false;
    for (const attempt_id attempt : record.crashes) {
        if (std::ranges::find(known.crashes, attempt) != known.crashes.end()) continue;
        known.crashes.push_back(attempt);
        changed = true;
    }
    if (record.quarantined && !known.quarantined) {
        known.quarantined = true;
        changed = true;
    }
    return changed;
}

bool is_quarantined(const quarantine& state, std::uint64_t crash_hash) {
    const auto record = state.records.find(crash_hash);
    return record != state.records.end() && record->second.quarantined;
}

bool is_suspect(const quarantine& state, std::uint64_t crash_hash) {
    return state.records.contains(crash_hash);
}

} // namespace damaskhill
