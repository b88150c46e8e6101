// Detection of requests that crash targets: suspects and quarantine.
//
// Index of this file:
// [SECTION] Crash records

#pragma once

#include "damaskhill_messages.hpp"

#include <map>

namespace damaskhill {

//-----------------------------------------------------------------------------
// [SECTION] Crash records
//-----------------------------------------------------------------------------

struct quarantine_settings {
    std::size_t record_limit{4096};
};

/// Requests that were in flight when a target crashed, by hash of account and body. Records are never
/// removed.
struct quarantine {
    quarantine_settings settings;
    std::map<std::uint64_t, crash_record> records;
};

/// Identifies a request across its repeats and across routers.
[[nodiscard]] std::uint64_t crash_hash_of(account_id account, std::string_view body);
/// Records that an attempt was in flight at a crash. `alone`: nothing else ran on the target. Returns true if
/// the record changed.
bool record_crash(quarantine& state, std::uint64_t crash_hash, attempt_id attempt, bool alone);
/// Merges a record of a peer. Returns true if anything was new.
bool merge_crash(quarantine& state, const crash_record& record);
[[nodiscard]] bool is_quarantined(const quarantine& state, std::uint64_t crash_hash);
[[nodiscard]] bool is_suspect(const quarantine& state, std::uint64_t crash_hash);

} // namespace damaskhill
