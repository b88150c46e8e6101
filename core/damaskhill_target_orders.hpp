// Number of targets to order for a service in each data centre.
//
// Load pattern: targets are billed by the second and serve only some time after they were ordered. Too few of
// them lose requests for the whole of that time; a number that follows each swing of the load loses them
// again and again. The number therefore rises at once and falls only when the lower one would have been
// enough for long.
//
// Index of this file:
// [SECTION] Settings
// [SECTION] Offered work
// [SECTION] Observations
// [SECTION] Plan of a service
// [SECTION] Decision

#pragma once

#include "damaskhill_catalog.hpp"
#include "damaskhill_duties.hpp"

#include <array>
#include <deque>
#include <span>

namespace damaskhill {

//-----------------------------------------------------------------------------
// [SECTION] Settings
//-----------------------------------------------------------------------------

struct target_order_settings {
    // Mean wait at a target, in multiples of the work of one request, up to which first tokens come in time.
    // 1.5 is a utilisation of 0.75, as fleet_capacity_settings has it.
    double max_wait_in_requests{1.5};
    // Fraction of slots and KV cache that may be in use; engine_settings::max_kv_share less the random
    // variation of a target's share.
    double max_slot_use{0.8};
    // Window of the usual rate. Shorter ones vary by more than a tenth at a few hundred requests a second.
    duration window{5s};
    // Weight of the rate over half a window, which shows a surge earlier but varies more.
    double short_window_weight{0.9};
    // Work of the latest time is left out: routers have not reported all of it yet.
    duration report_lag{1s};
    // Largest expected growth within the boot time, relative to the rate: a longer trend is a guess.
    double max_growth{0.5};
    // A number falls after the time in which a target costs as much as callers lose while it is missing for
    // its boot time. This is the loss of a second without the target over the cost of the target.
    double loss_ratio{4.0};
    // Bounds of that time. The lower one covers swings of a load that last some tens of seconds.
    duration min_hold{30s};
    duration max_hold{10min};
    // Largest decrease at once, relative to the number, and the interval between two.
    double step_share{0.125};
    duration step_interval{5s};
    // Difference from its share of the load, relative to it, at which a data centre is rebalanced.
    double rebalancing_share{0.25};
    // A target that cannot be used for this long counts as lost; the longest ejection is 3 s.
    duration loss_patience{5s};
    // Time beyond the boot time after which ordered targets are registered.
    duration settling_time{5s};
    // Interval between repeats of an order without a response; longer than a response takes.
    duration repeat_interval{2s};
    // Interval between decisions.
    duration period{1s};
    // A router that was not asked for this long has lost the duty and begins anew.
    duration max_pause{5s};
    // Demand of a router that has been silent for this long is forgotten.
    duration router_timeout{60s};
};

/// Fraction of the targets' time that the offered work may fill: the mean wait of an M/D/1 queue is
/// utilisation / (2 * (1 - utilisation)) requests.
[[nodiscard]] double max_utilisation(const target_order_settings& settings);
/// Time for which a lower number must have been enough before it is ordered.
[[nodiscard]] duration hold_time(const target_order_settings& settings, duration boot_time);

//-----------------------------------------------------------------------------
// [SECTION] Offered work
//-----------------------------------------------------------------------------

/// Work within a time, ms of the targets' time.
struct offered_work {
    double offered_ms{};
    double refused_ms{}; // of this
};

inline constexpr std::size_t work_slices = 32; // 16 s
inline constexpr duration work_slice = 500ms;

/// Work of the latest seconds.
struct work_history {
    std::array<offered_work, work_slices> slices{};
    std::int64_t newest{}; // number of the latest slice
};

/// Adds work that was offered at an even rate within a time.
void add_work(work_history& history, const offered_work& work, time_point from, time_point until);
/// Work between two times; slices that are partly inside count by their part.
[[nodiscard]] offered_work work_between(const work_history& history, time_point from, time_point until);

/// Latest report of a router about a service.
struct router_demand {
    std::uint64_t offered_ms{};
    std::uint64_t refused_ms{};
    time_point heard{};
};

/// Work offered to a service in a data centre, as its routers reported it.
struct data_centre_demand {
    work_history history;
    time_point heard{};   // latest report
    double smoothed_ms{}; // per second, over the hold time
    time_point smoothed_at{};
};

/// Work offered to a service. Counts are cumulative since the start of a router, so a first report is only
/// the base of the next one.
struct service_demand {
    std::map<std::uint64_t, router_demand> routers; // by incarnation
    std::map<std::string, data_centre_demand, std::less<>> data_centres;
    bool has_work{}; // any work has been offered since `listening_since`
    time_point listening_since{};
};

void note_demand(service_demand& demand, const service_demand_row& row, std::uint64_t router,
                 std::string_view data_centre, time_point now);
/// Forgets routers that have been silent for long.
void forget_silent_routers(service_demand& demand, const target_order_settings& settings, time_point now);

//-----------------------------------------------------------------------------
// [SECTION] Observations
//-----------------------------------------------------------------------------

/// Targets of a service in a data centre.
struct observed_targets {
    std::string data_centre;
    std::uint32_t registered{}; // without draining ones
    double working{};           // what they can do, in targets; cold, ejected and crashed ones count less
    bool evacuated{};
};

struct service_observation {
    std::string service;
    autoscaling_declaration limits;
    double target_ms_per_s{1000}; // work that a target can do
    double slots_in_use{};        // slots or KV cache that requests hold, in targets
    bool rollout_active{};
    std::vector<observed_targets> data_centres;
};

//-----------------------------------------------------------------------------
// [SECTION] Plan of a service
//-----------------------------------------------------------------------------

/// A number that follows a candidate after it has been higher or lower for some time.
struct delayed_number {
    std::uint32_t value{};
    std::optional<time_point> higher_since;
    std::optional<time_point> lower_since;
    std::uint32_t least_higher{}; // least candidate since `higher_since`
    std::uint32_t most_lower{};   // largest candidate since `lower_since`
};

void follow(delayed_number& number, std::uint32_t candidate, duration rise_after, duration fall_after,
            time_point now);

struct data_centre_plan {
    std::uint32_t base{};       // targets that are to work
    delayed_number lost;        // ordered beyond them
    std::uint32_t registered{}; // observed
    double working{};           // observed
    bool evacuated{};
    std::optional<time_point> evacuated_since;
    std::optional<time_point> down_since;  // less than half of the targets work
    std::optional<time_point> short_since; // clearly below its share of the load
    // Latest order; none before the first one.
    std::optional<std::uint32_t> ordered;
    time_point ordered_at{};
    time_point repeated_at{};
    std::uint32_t repeats{}; // because the number of targets differed
    bool acknowledged{};
    time_point sent_at{};
};

/// Inputs and result of the latest decision, per second where it is a rate.
struct order_basis {
    double offered_ms{};
    double refused_ms{};
    double growth_ms{};        // expected within the boot time
    std::uint32_t needed{};    // by the work now
    std::uint32_t held{};      // largest within the hold time
    std::uint32_t available{}; // sum that is ordered and can work
};

struct service_plan {
    std::optional<time_point> since;                        // start of the duty
    std::deque<std::pair<time_point, std::uint32_t>> needs; // maxima within the hold time, decreasing
    std::map<std::string, data_centre_plan, std::less<>> data_centres;
    time_point lowered_at{};
    order_basis basis;
};

//-----------------------------------------------------------------------------
// [SECTION] Decision
//-----------------------------------------------------------------------------

/// A change of a wanted number, with its reason.
struct target_order_change {
    target_count_order order;
    std::uint32_t before{};
    std::uint32_t registered{};
    double working{};
    std::uint32_t lost{};
    order_basis basis;
};

/// Splits a number by weight within bounds. The sum is `total` unless the bounds do not allow it.
struct weighted_bounds {
    double weight{};
    std::uint32_t least{};
    std::uint32_t most{};
};
[[nodiscard]] std::vector<std::uint32_t> split_by_weight(std::uint32_t total,
                                                         std::span<const weighted_bounds> parts);

/// Updates the plan with what is known now. Returns the orders whose number changed.
std::vector<target_order_change> update_plan(service_plan& plan, service_demand& demand,
                                             const service_observation& seen,
                                             const target_order_settings& settings, time_point now);
/// Orders to send now: new ones, those without a response, and those after which the number of targets still
/// differs. Counts them as sent.
std::vector<target_count_order> take_due_orders(service_plan& plan, const service_observation& seen,
                                                const target_order_settings& settings, time_point now);
/// The platform has accepted an order. One that is no longer the latest changes nothing.
void acknowledge_order(service_plan& plan, const target_count_order& order);

} // namespace damaskhill
