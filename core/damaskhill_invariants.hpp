// The promises P1 to P10 of the design as predicates over what processes do and what callers are told.
//
// A test, bench or replay passes every event and effect to a monitor; the monitor keeps only what the
// predicates need and lists each broken promise with its time.
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

/// Promises of design 1.1, by number.
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
    duration leave_limit{4s};          // P9: after which a leaving target gets no new work
    std::size_t violation_limit{1000}; // further violations are only counted
};

/// What the monitor keeps of one order key, scoped as the caller sent it.
struct tracked_order {
    std::set<attempt_id> sent;                     // calls to targets that may have run it
    time_point submitted_at{};                     // when its caller last sent the key
    std::optional<time_point> not_run_reported_at; // when its caller last read "not_run"
};

/// What the monitor keeps of one caller's open request.
struct tracked_answer {
    std::string expected; // whole answer of a 2xx status
    std::string order;    // order key; empty: not an order
    std::string received;
    bool ended{};
    bool abandoned{}; // the caller has stopped reading
};

struct invariant_monitor {
    invariant_settings settings;
    std::map<std::string, tracked_order> orders; // by order key as the caller sent it
    std::map<std::string, std::string> caller_keys;
    std::map<attempt_id, std::string> attempts; // open calls of orders to the key that the target is given
    std::map<caller_id, tracked_answer> callers;
    std::map<std::string, time_point> leaving; // targets that are leaving, by name of their sidecar
    bool only_planned_stops{};                 // P9: no failure has been injected, so nothing may be cut
    std::vector<violation> violations;
    std::uint64_t violation_count{};
};

//-----------------------------------------------------------------------------
// [SECTION] Observations
//-----------------------------------------------------------------------------

/// A caller sends a request whose answer must be `expected`; for orders with the key that targets are given.
void observe_request(invariant_monitor& monitor, const caller_request& request, std::string_view expected,
                     std::string_view target_key, time_point now);
/// The caller no longer reads what it is told: its promises are no longer checked.
void observe_abandoned(invariant_monitor& monitor, caller_id caller);
/// Checks P6 and P7 against the effects of a router.
void observe_router_effects(invariant_monitor& monitor, std::span<const effect> performed, time_point now);
/// Checks P7, P8 and P9 against the effects of a sidecar.
void observe_sidecar_effects(invariant_monitor& monitor, std::string_view name,
                             std::span<const effect> performed, time_point now);
/// Takes an event of a sidecar before it is reduced: a call that the target never ran does not count.
void observe_sidecar_input(invariant_monitor& monitor, const sidecar_input& input);
/// A caller's connection broke: P9 is violated when nothing but planned stops has happened.
void observe_broken_connection(invariant_monitor& monitor, caller_id caller, time_point now);
/// Notes that the target behind the sidecar is leaving.
void observe_target_leaving(invariant_monitor& monitor, std::string_view name, time_point now);
/// Number of violations of one promise.
[[nodiscard]] std::size_t count_violations(const invariant_monitor& monitor, invariant which);

} // namespace damaskhill
