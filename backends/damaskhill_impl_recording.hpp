// Recordings of a process: the header from which a replay rebuilds the initial state, the replay, and the
// comparison with expected outcomes.
//
// A recording contains one JSON object per line: a header, then the events of one process in the order in
// which its reducer processed them. The header omits link keys. In bodies that are not valid UTF-8, the
// invalid bytes are replaced.
//
// Index of this file:
// [SECTION] Header
// [SECTION] Replay
// [SECTION] Expected outcomes

#pragma once

#include "damaskhill_impl_program.hpp"
#include "damaskhill_router.hpp"
#include "damaskhill_sidecar.hpp"

#include <istream>

namespace damaskhill {

//-----------------------------------------------------------------------------
// [SECTION] Header
//-----------------------------------------------------------------------------

/// Random values and start time of a process.
struct process_identity {
    incarnation_id incarnation;
    std::uint64_t seed{1};
    std::uint64_t fence{}; // fencing token of a sidecar: its start time in microseconds
    static constexpr auto fields() {
        using t = process_identity;
        return std::tuple{field{1, "incarnation", &t::incarnation}, field{2, "seed", &t::seed},
                          field{3, "fence", &t::fence}};
    }
};

/// Creates the identity of a new process from the system's random source and clock.
[[nodiscard]] process_identity make_process_identity();

[[nodiscard]] router_settings make_core_settings(const router_daemon_settings& from,
                                                 const process_identity& identity);
[[nodiscard]] sidecar_settings make_core_settings(const sidecar_daemon_settings& from,
                                                  const process_identity& identity);

/// First line of a recording.
[[nodiscard]] json recording_header(const router_daemon_settings& settings, const process_identity& identity);
[[nodiscard]] json recording_header(const sidecar_daemon_settings& settings,
                                    const process_identity& identity);

//-----------------------------------------------------------------------------
// [SECTION] Replay
//-----------------------------------------------------------------------------

/// Response to a caller, assembled from the router's effects.
struct caller_answer {
    std::uint32_t status{}; // 0 while incomplete
    std::string problem;    // kind of a refusal, or reason of an interrupted stream
    std::string run_state;  // of a refusal
    std::string body;
};

struct replay_result {
    std::string program; // "router" or "sidecar"
    std::uint64_t events{};
    std::uint64_t truncated_lines{};                // 1 if the last line was cut when the process was killed
    std::map<std::string, std::uint64_t> effects;   // by effect label, such as "refuse/queue_full"
    std::map<std::string, std::uint64_t> counters;  // by "name" or "name/label"
    std::map<std::uint64_t, caller_answer> answers; // by caller
};

/// Label of an effect: its type, for some types followed by a slash and the kind of a refusal, the reason of
/// a stream's end, the status of an answer or the type of a message.
[[nodiscard]] std::string effect_label(const effect& item);

/// Feeds a recording to the reducer of its program. A truncated last line is counted. Any other invalid line
/// ends the replay and sets `error` to malformed_document, missing_field or the failure of the decoder.
[[nodiscard]] std::optional<replay_result> replay_recording(std::istream& in, const std::string& name,
                                                            failure& error);

//-----------------------------------------------------------------------------
// [SECTION] Expected outcomes
//-----------------------------------------------------------------------------

/// Outcomes of a replay in the format of an outcomes file.
[[nodiscard]] json make_outcomes(const replay_result& result);

/// Differences between a replay and the expected outcomes, one line each; empty if all match.
///
/// An outcomes file is a JSON object with any of these members:
///   "events"     count
///   "effects"    label to count; a label without a slash includes all labels of its type
///   "counters"   name or name/label to count
///   "forbidden"  list of labels of effects that must not occur
///   "answers"    caller to {"status", "problem", "run_state", "bytes", "hash"}
/// A count is a number or {"min": n, "max": n}. Unknown members are reported as differences.
[[nodiscard]] std::vector<std::string> compare_outcomes(const replay_result& result, const json& expected);

} // namespace damaskhill
