// Simulated callers of the soak test. They reuse connections to the routers, honour Retry-After and verify
// every response.
//
// Index of this file:
// [SECTION] Fault windows
// [SECTION] Callers

#pragma once

#include "damaskhill_impl_edge_client.hpp"
#include "damaskhill_soak_platform.hpp"

#include <deque>

namespace damaskhill::soak {

//-----------------------------------------------------------------------------
// [SECTION] Fault windows
//-----------------------------------------------------------------------------

inline constexpr int any_router = -1;

/// Period in which a fault accounts for interrupted responses at a router.
struct fault_window {
    int router{any_router};
    time_point from{};
    time_point until{};
    bool new_requests_only{}; // covers requests sent in the period, not those in flight when it began
};

//-----------------------------------------------------------------------------
// [SECTION] Callers
//-----------------------------------------------------------------------------

struct request_counts {
    std::uint64_t sent{};
    std::uint64_t served{};
    std::uint64_t refused{};
    std::uint64_t failed{};
    std::uint64_t interrupted{};
    std::uint64_t cancelled{}; // by the caller, before the response ended
};

class soak_callers {
public:
    soak_callers(event_loop& loop, execution_checker& checker, std::vector<std::string> routers,
                 std::uint64_t seed);

    void start(std::size_t callers);
    void stop() { stopped_ = true; }
    /// A response that is interrupted outside all fault windows is a violation.
    void add_fault_window(fault_window window) { fault_windows_.push_back(window); }
    /// Until this time a router may reject requests that carry the key.
    void allow_rejections(const std::string& key, time_point until) {
        rejections_allowed_until_[key] = until;
    }
    [[nodiscard]] const request_counts& counts() const { return counts_; }
    [[nodiscard]] std::size_t in_flight() const { return in_flight_; }

private:
    struct call;
    void send_request(std::size_t caller);
    void schedule_request(std::size_t caller, duration delay);
    void on_end(const std::shared_ptr<call>& ended, edge_result result);
    void check_response(const call& ended);
    void check_interrupted(const std::shared_ptr<call>& interrupted);
    [[nodiscard]] bool explained_by_fault(const call& ended) const;

    event_loop& loop_;
    execution_checker& checker_;
    std::vector<std::string> routers_; // addresses of the fault proxies in front of them
    random_source random_;
    edge_client client_;
    request_counts counts_;
    std::deque<fault_window> fault_windows_;
    std::map<std::string, time_point> rejections_allowed_until_; // by API key
    std::uint64_t next_attempt_{1};
    std::size_t in_flight_{};
    bool stopped_{};
};

} // namespace damaskhill::soak
