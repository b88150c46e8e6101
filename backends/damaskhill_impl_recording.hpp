// Recordings: the header that lets a replay rebuild the state, the replay itself, and stated outcomes.
//
// A recording is one JSON object a line: a header, then the events of one process in the order in which its
// reducer took them. Link keys are left out of the header; bodies that are not UTF-8 are recorded with their
// damaged bytes replaced.
//
// Index of this file:
// [SECTION] Header
// [SECTION] Replay
// [SECTION] Stated outcomes

#pragma once

#include "damaskhill_impl_program.hpp"
#include "damaskhill_router.hpp"
#include "damaskhill_sidecar.hpp"

#include <istream>

namespace damaskhill {

//-----------------------------------------------------------------------------
// [SECTION] Header
//-----------------------------------------------------------------------------

/// What a process draws at random when it starts.
struct process_identity {
    incarnation_id incarnation;
    std::uint64_t seed{1};
    std::uint64_t fence{}; // sidecars: time of start in microseconds
    static constexpr auto fields() {
        using t = process_identity;
        return std::tuple{field{1, "incarnation", &t::incarnation}, field{2, "seed", &t::seed},
                          field{3, "fence", &t::fence}};
    }
};

/// Identity of a new process, from the system's random source and clock.
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

/// What a caller got, assembled from the router's effects.
struct caller_answer {
    std::uint32_t status{}; // 0: no end yet
    std::string problem;    // kind of the refusal, or reason of a broken stream
    std::string run_state;  // of a refusal
    std::string body;
};

struct replay_result {
    std::string program; // "router" or "sidecar"
    std::uint64_t events{};
    std::uint64_t truncated_lines{};                // last line that was cut when the process was killed
    std::map<std::string, std::uint64_t> effects;   // by label, such as "refuse/queue_full"
    std::map<std::string, std::uint64_t> counters;  // by "name" or "name/label"
    std::map<std::uint64_t, caller_answer> answers; // by caller
};

/// Type of an effect, with the kind of a refusal, the reason of a stream's end, the status of an answer or
/// the type of a message after a slash.
[[nodiscard]] std::string effect_label(const effect& item);

/// Runs a recording through the reducer of its program. A cut last line is counted; any other line that
/// cannot be read ends the replay and writes malformed_document, missing_field or the reason of the decoder.
[[nodiscard]] std::optional<replay_result> replay_recording(std::istream& in, const std::string& name,
                                                            failure& why);

//-----------------------------------------------------------------------------
// [SECTION] Stated outcomes
//-----------------------------------------------------------------------------

/// Outcomes of a replay in the form of an outcomes file.
[[nodiscard]] json make_outcomes(const replay_result& result);

/// Differences between a replay and stated outcomes, one line each; empty when all are met.
///
/// An outcomes file is an object with any of these members:
///   "events"     count
///   "effects"    label to count; a label without a slash stands for all of its type
///   "counters"   name or name/label to count
///   "forbidden"  list of effect labels that must not occur
///   "answers"    caller to {"status", "problem", "run_state", "bytes", "hash"}
/// A count is a number or {"min": n, "max": n}. Unknown members are differences.
[[nodiscard]] std::vector<std::string> compare_outcomes(const replay_result& result, const json& stated);

} // namespace damaskhill
