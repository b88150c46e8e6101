// Requests, and parts of prompts, that crash the targets that run them, found from the crashes of all
// routers.
//
// A crash accuses every request that was in flight on the target, and the parts of its prompt. A request as a
// whole is one more part, named by its fingerprint: copies of it share that part. How long an answer goes on
// before it crashes its target is not known. So an accusation of a request whose answer had been going on is
// acquitted by a whole answer only, which a bad part never has; a sound part has many, also from the targets
// that a crash spares. An accusation of a request that was unanswered, or whose answer had just begun, is
// acquitted by an answer that begins later and goes on. A part that keeps being accused
// without an acquittal is quarantined: requests with it are refused for a time. While it is only suspected,
// requests with it are sent one at a time, so that a sound part is acquitted and a bad one costs one more
// target.
//
// A request may list thousands of parts. What is kept of them is bounded, and what is left out changes with
// each crash, so that no part can hide behind the bound. Parts that earlier crashes accuse come first, then
// those without an answer: sound parts have answers, since sound requests share them.
//
// Load patterns: requests that are never alike share one bad part, arrive at every router, and crash all
// engines within a second, or each of them at any time of its answer; sound requests share the account and
// the other parts, and lose a whole batch of streams with each crash. One request is repeated at every router
// and crashes each target before or after the start of its answer.
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
#include <unordered_set>

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
    // The same if the answer had been going on at some of the crashes: a crash breaks the answers of a whole
    // batch.
    std::uint32_t begun_quarantine_crashes{4};
    std::uint32_t quarantine_moments{2};
    // The same for a part that has been answered before.
    std::uint32_t answered_quarantine_moments{3};
    duration crash_lifetime{60s};   // a crash no longer accuses anything after this time
    duration first_quarantine{20s}; // triples with each further moment
    duration max_quarantine{180s};
    duration probation{120s};      // after a quarantine, until the part is forgotten
    duration proof_of_life{400ms}; // an engine that lives on for this long was not crashed by the beginning
    // An answer has been going on after this time: less than proof_of_life, so that a crash just after the
    // latter is not taken for one at the beginning.
    duration beginning{200ms};
    duration max_unconfirmed{5s};      // a broken connection without a further sign is no crash
    duration announce_time{2s};        // crashes and acquittals are repeated in reports for this long
    std::size_t max_crashes{64};       // kept
    std::size_t max_accused{128};      // requests of one crash
    std::size_t max_parts{1024};       // of one accused request
    std::size_t max_crash_parts{4096}; // of all accused requests of one crash; each has min_parts anyway
    std::size_t min_parts{16};
    std::size_t max_stored_parts{131'072}; // of all crashes
    std::size_t max_quarantines{64};
    std::size_t max_answered{65'536}; // parts whose last answer is remembered
    // Of one report. If there is more, the reports take turns.
    std::size_t max_announced{256};        // accused requests
    std::size_t max_announced_parts{1500}; // of these; more than max_parts
    std::size_t max_announced_acquittals{250};
    std::size_t max_announced_companions{1000}; // of quarantined parts, which count themselves
};

//-----------------------------------------------------------------------------
// [SECTION] Evidence
//-----------------------------------------------------------------------------

using prompt_parts = std::vector<std::uint64_t>; // ids, sorted; without the last one, which no request shares

/// Request that was in flight on a target when it crashed.
struct accused_request {
    prompt_parts parts;
    std::uint64_t fingerprint{}; // of account, path and body
    bool begun{};                // its answer had been going on
    bool is_own{};               // seen by this router, which announces it
    std::uint64_t identity{}; // of the request with all its parts, some of which may be left out; 0: unknown
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
    bool begun{};            // some of the crashes came when the answers had been going on
};

/// What an answer shows about the parts of its prompt.
enum class answer_evidence : std::uint8_t {
    begun, // it has gone on for proof_of_life after its first byte
    whole  // it has come to its end
};

/// Latest answers with a part; zero if there was none.
struct answered_part {
    time_point begun{}; // first byte of one that is evidence
    time_point whole{}; // end of a whole one
};

struct prompt_suspects {
    std::vector<engine_crash> crashes;         // by time
    std::unordered_set<std::uint64_t> accused; // parts of these, also acquitted ones
    std::unordered_map<std::uint64_t, answered_part> answered;
    std::size_t answered_limit{}; // at which some are forgotten, if this is more than max_answered
    std::unordered_map<std::uint64_t, answered_part> own_acquittals; // of suspected parts, to be announced
    std::unordered_map<std::uint64_t, suspected_part> suspected;
    std::map<std::uint64_t, quarantined_part> quarantined;
};

/// The parts of a prompt and the request itself, sorted. A fingerprint of 0 stands for an unknown request.
[[nodiscard]] prompt_parts parts_of_request(std::span<const std::uint64_t> parts, std::uint64_t fingerprint);
/// Adds a request to those that a crash accuses. Some parts are left out if there are too many: preferably
/// those that have been answered, else others with each crash. The same holds for requests beyond the limit.
/// Returns whether it is news.
bool accuse_request(const prompt_suspects& suspects, const prompt_suspect_settings& settings,
                    engine_crash& crash, accused_request accused);
/// Adds crashes. Reports of the same crash by several routers count once. Returns whether a request is
/// accused that was not accused of it before.
bool add_crashes(prompt_suspects& suspects, const prompt_suspect_settings& settings,
                 std::vector<engine_crash> crashes, time_point now);
/// Acquits parts of accusations before the time of this evidence; see answered_part.
void add_answer(prompt_suspects& suspects, const prompt_suspect_settings& settings,
                std::span<const std::uint64_t> parts, answer_evidence evidence, time_point at, bool is_own);
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
    std::uint64_t part{};      // on which the verdict rests
    time_point until{};        // end of the quarantine
    bool needs_whole_answer{}; // only a whole answer acquits the part
};

/// Judges a request by its parts; the most severe verdict on any of them counts.
[[nodiscard]] prompt_judgement judge_prompt(const prompt_suspects& suspects,
                                            const prompt_suspect_settings& settings,
                                            std::span<const std::uint64_t> parts, time_point now);

} // namespace damaskhill
