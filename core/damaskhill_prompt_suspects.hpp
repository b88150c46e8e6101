// Requests, and parts of prompts, that crash the targets that run them, found from the crashes of all
// routers.
//
// A crash accuses every request that was in flight on the target, and the parts of the prompts of those that
// were unanswered or whose answers had just begun. A request as a whole is one more part, named by its
// fingerprint: copies of it share that part. An answer that begins on a target which stays up acquits the
// parts of the prompt, and a whole answer acquits the request. A part that keeps being accused without an
// acquittal is quarantined: requests with it are refused for a time. While it is only suspected, requests
// with it are sent one at a time, so that a sound part is acquitted and a bad one costs one more target.
//
// Load patterns: requests that are never alike share one bad part, arrive at every router, and crash all
// engines within a second; sound requests share the account and the other parts. One request is repeated at
// every router and crashes each target before or after the start of its answer; each crash breaks the streams
// of a whole batch of sound requests, some of which are repeated too.
//
// Index of this file:
// [SECTION] Settings
// [SECTION] Evidence
// [SECTION] Verdict

#pragma once

#include "damaskhill_types.hpp"

#include <map>
#include <span>
#include <unordered_map>

namespace damaskhill {

//-----------------------------------------------------------------------------
// [SECTION] Settings
//-----------------------------------------------------------------------------

struct prompt_suspect_settings {
    // Crashes closer together than this count as one moment: an engine failure for another reason may take
    // several engines at once, each of which accuses the parts in use.
    duration same_moment{250ms};
    // Reports of crashes of one engine that are closer together than this are about the same crash. An engine
    // may return under its id.
    duration min_restart_time{1s};
    std::uint32_t quarantine_crashes{3};
    // The same if the answer had gone on for longer than proof_of_life at some of the crashes: a crash breaks
    // the answers of a whole batch.
    std::uint32_t begun_quarantine_crashes{4};
    std::uint32_t quarantine_moments{2};
    // The same for a part that has been answered before.
    std::uint32_t answered_quarantine_moments{3};
    duration crash_lifetime{60s};   // a crash no longer accuses anything after this time
    duration first_quarantine{20s}; // triples with each further moment
    duration max_quarantine{180s};
    duration probation{120s};       // after a quarantine, until the part is forgotten
    duration proof_of_life{400ms};  // an engine that lives on for this long was not crashed by the answer
    duration max_unconfirmed{5s};   // a broken connection without a further sign is no crash
    duration announce_time{2s};     // crashes and acquittals are repeated in reports for this long
    std::size_t max_crashes{64};    // kept
    std::size_t max_accused{128};   // requests of one crash
    std::size_t max_announced{256}; // accused requests in one report
    std::size_t max_parts{16};      // of one request
    std::size_t max_quarantines{64};
    std::size_t max_answered{4096}; // parts whose last answer is remembered
};

//-----------------------------------------------------------------------------
// [SECTION] Evidence
//-----------------------------------------------------------------------------

using prompt_parts = std::vector<std::uint64_t>; // ids, sorted; without the last one, which no request shares

/// Request that was in flight on a target when it crashed.
struct accused_request {
    prompt_parts parts;
    std::uint64_t fingerprint{}; // of account, path and body
    bool begun{};                // its answer had gone on for longer than proof_of_life: `parts` are sound
    bool is_own{};               // seen by this router, which announces it
};

/// Crash of one target incarnation.
struct engine_crash {
    std::uint64_t engine{}; // hash of its id
    time_point at{};
    std::vector<accused_request> accused;
    time_point noticed{}; // when this router last learned of another accused request
};

/// A part that crashes accuse and no later answer acquits.
struct suspected_part {
    std::uint32_t crashes{};
    std::uint32_t begun_crashes{}; // of these, with an answer that had begun
    std::uint32_t moments{};
    bool answered_before{};
    time_point last_crash{};
};

struct quarantined_part {
    std::uint32_t moments{};
    time_point last_crash{};
    prompt_parts companions; // suspected parts that were in every accused request with this one; includes it
};

struct prompt_suspects {
    std::vector<engine_crash> crashes; // by time
    std::unordered_map<std::uint64_t, time_point> answered;
    std::unordered_map<std::uint64_t, time_point> own_acquittals; // of suspected parts, to be announced
    std::unordered_map<std::uint64_t, suspected_part> suspected;
    std::map<std::uint64_t, quarantined_part> quarantined;
};

/// The parts of a prompt and the request itself, sorted. A fingerprint of 0 stands for an unknown request.
[[nodiscard]] prompt_parts parts_of_request(std::span<const std::uint64_t> parts, std::uint64_t fingerprint);
/// Adds crashes. Reports of the same crash by several routers count once. Returns whether a request is
/// accused that was not accused of it before.
bool add_crashes(prompt_suspects& suspects, const prompt_suspect_settings& settings,
                 std::vector<engine_crash> crashes, time_point now);
/// Acquits parts: an engine has begun to answer a request with them at this time and has stayed up.
void add_answer(prompt_suspects& suspects, const prompt_suspect_settings& settings,
                std::span<const std::uint64_t> parts, time_point at, bool is_own);
/// Adds what another router has concluded.
void add_quarantine(prompt_suspects& suspects, const prompt_suspect_settings& settings, std::uint64_t part,
                    const quarantined_part& found, time_point now);
/// Removes expired crashes, acquittals and quarantines.
void expire_suspects(prompt_suspects& suspects, const prompt_suspect_settings& settings, time_point now);
/// End of the quarantine of a part.
[[nodiscard]] time_point quarantine_end(const quarantined_part& part,
                                        const prompt_suspect_settings& settings);

//-----------------------------------------------------------------------------
// [SECTION] Verdict
//-----------------------------------------------------------------------------

enum class prompt_verdict : std::uint8_t {
    clear,
    one_per_router, // may be sent while the router has no other unanswered request with the part
    one_per_fleet,  // the same, by one router only
    quarantined
};

struct prompt_judgement {
    prompt_verdict verdict{prompt_verdict::clear};
    std::uint64_t part{}; // on which the verdict rests
    time_point until{};   // end of the quarantine
};

/// Judges a request by its parts; the most severe verdict on any of them counts.
[[nodiscard]] prompt_judgement judge_prompt(const prompt_suspects& suspects,
                                            const prompt_suspect_settings& settings,
                                            std::span<const std::uint64_t> parts, time_point now);

} // namespace damaskhill
