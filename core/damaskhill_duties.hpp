// Duties that one router at a time performs for the whole deployment: usage reports to the platform's
// billing, and orders for the number of targets. Types that the parts of the duties share.
//
// Index of this file:
// [SECTION] Settings
// [SECTION] Report to the holder
// [SECTION] Orders

#pragma once

#include "damaskhill_fields.hpp"

#include <string>
#include <vector>

namespace damaskhill {

//-----------------------------------------------------------------------------
// [SECTION] Settings
//-----------------------------------------------------------------------------

/// Without these settings a router performs no duty and sends no message about one.
struct duty_settings {
    std::string platform_address; // "IP:port" that takes usage reports and orders
    double calls_per_s{50};       // limit on the calls of all routers together, repeats included
    duration lease{3s};           // of the holder of the duties, in the platform's store
    duration wake_margin{300ms};  // a process that was suspended may run this long before it notices
    duration usage_window{5s};    // length of a window of usage counts, counted from 1970 in true time
    duration usage_due{10s};      // a window's counts must arrive this long after its end
    double usage_tolerance{0.05}; // relative error up to which a count is correct
    bool reports_usage{true};
    bool orders_targets{true};
};

//-----------------------------------------------------------------------------
// [SECTION] Report to the holder
//-----------------------------------------------------------------------------

/// Requests of one account that targets began to run in one window, as counted by the sender.
struct usage_row {
    std::uint64_t window{};  // number of the window since 1970
    std::uint64_t account{}; // hash of its name
    std::uint64_t count{};   // so far
    static constexpr auto fields() {
        using t = usage_row;
        return std::tuple{field{1, "window", &t::window}, field{2, "account", &t::account},
                          field{3, "count", &t::count}};
    }
};

/// Work for the targets of one service that reached the sender, in total since its start. Requests that come
/// again after a refusal are not counted again.
struct service_demand_row {
    std::uint64_t service{};    // hash of its name
    std::uint64_t offered_ms{}; // time that targets need to prefill it, or to serve it for a plain service
    std::uint64_t refused_ms{}; // of this, refused for lack of capacity
    static constexpr auto fields() {
        using t = service_demand_row;
        return std::tuple{field{1, "service", &t::service}, field{2, "offered_ms", &t::offered_ms},
                          field{3, "refused_ms", &t::refused_ms}};
    }
};

/// Sent by every router to the holder of the duties. Counts are cumulative, so a lost message loses nothing.
struct duty_report {
    std::vector<usage_row> usage;
    std::vector<service_demand_row> demand;
    static constexpr auto fields() {
        return std::tuple{field{1, "usage", &duty_report::usage}, field{2, "demand", &duty_report::demand}};
    }
};

//-----------------------------------------------------------------------------
// [SECTION] Orders
//-----------------------------------------------------------------------------

/// Order for the number of targets that a service is to have in a data centre.
struct target_count_order {
    std::string service;
    std::string data_centre;
    std::uint32_t desired{};
    friend bool operator==(const target_count_order&, const target_count_order&) = default;
};

} // namespace damaskhill
