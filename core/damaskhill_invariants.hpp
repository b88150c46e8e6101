// Runtime checks of the invariants P1 to P10 of the design, based on the effects of routers and sidecars.
//
// A test, bench or replay passes all events and effects to a monitor. The monitor keeps only the state that
// the checks need and records each violation with its time.
//
// Index of this file:
// [SECTION] Violations
// [SECTION] Monitor
// [SECTION] Observations

#pragma once

#include "damaskhill_events.hpp"

#include <map>
#include <set>

namespace damaskhill {

//-----------------------------------------------------------------------------
// [SECTION] Violations
//-----------------------------------------------------------------------------

/// Invariants of design section 1.1, by number.
enum class invariant : std::uint8_t {
    bounded_fairness_gap = 1, // P1
    no_starvation,            // P2
    cold_limit_respected,     // P3
    data_centre_drained,      // P4
    bad_version_contained,    // P5
    answer_integrity,         // P6
    accurate_refusal,         // P7
    at_most_once,             // P8
    graceful_stop,            // P9
    configuration_monotonic   // P10
};

struct violation {
    invariant violated{};
    time_point at{};
    std::string detail;
};

//-----------------------------------------------------------------------------
// [SECTION] Monitor
//-----------------------------------------------------------------------------

struct invariant_settings {
    duration leave_limit{4s};          // P9: no new work on a leaving target after this time
    std::size_t violation_limit{1000}; // further violations are only counted
};

/// State of one order key, as sent by the caller.
struct tracked_order {
    std::set<attempt_id> sent;                     // attempts that may have run on a target
    time_point submitted_at{};                     // when the caller last sent the key
    std::optional<time_point> not_run_reported_at; // when the caller last received "not_run"
};

/// State of one caller's open request.
struct tracked_answer {
    std::string expected; // complete answer of a 2xx response
    std::string order;    // order key; empty if the request is not an order
    std::string received;
    bool ended{};
    bool abandoned{}; // the caller stopped reading
};

struct invariant_monitor {
    invariant_settings settings;
    std::map<std::string, tracked_order> orders; // by order key as the caller sent it
    std::map<std::string, std::string> caller_keys;
    std::map<attempt_id, std::string> attempts; // open calls of orders, by attempt, to the caller's key
    std::map<caller_id, tracked_answer> callers;
    std::map<std::string, time_point> leaving; // since when targets have been leaving, by sidecar name
    bool only_planned_stops{};                 // P9: no failures are injected, so no connection may break
    std::vector<violation> violations;
    std::uint64_t violation_count{};
};

//-----------------------------------------------------------------------------
// [SECTION] Observations
//-----------------------------------------------------------------------------

/// Registers a request and its expected answer. For orders, target_key is the key that targets receive.
void observe_request(invariant_monitor& monitor, const caller_request& request, std::string_view expected,
                     std::string_view target_key, time_point now);
/// Stops the checks for a caller that has stopped reading.
void observe_abandoned(invariant_monitor& monitor, caller_id caller);
/// Checks P6, P7 and P9 on the effects of a router.
void observe_router_effects(invariant_monitor& monitor, std::span<const effect> performed, time_point now);
/// Checks P7, P8 and P9 on the effects of a sidecar.
void observe_sidecar_effects(invariant_monitor& monitor, std::string_view name,
                             std::span<const effect> performed, time_point now);
/// Handles an input of a sidecar before it is reduced: a call that the target never ran does not count as
/// run.
void observe_sidecar_input(invariant_monitor& monitor, const sidecar_input& input);
/// Reports a broken connection to a caller; violates P9 if only_planned_stops is set.
void observe_broken_connection(invariant_monitor& monitor, caller_id caller, time_point now);
/// Records that the sidecar's target is leaving.
void observe_target_leaving(invariant_monitor& monitor, std::string_view name, time_point now);
/// Number of recorded violations of one invariant.
[[nodiscard]] std::size_t count_violations(const invariant_monitor& monitor, invariant which);

} // namespace damaskhill
