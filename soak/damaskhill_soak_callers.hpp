// Callers of the soak: they keep connections to the routers, follow refusals, and check every answer.
//
// Index of this file:
// [SECTION] Faults in force
// [SECTION] Callers

#pragma once

#include "damaskhill_impl_edge_client.hpp"
#include "damaskhill_soak_platform.hpp"

#include <deque>

namespace damaskhill::soak {

//-----------------------------------------------------------------------------
// [SECTION] Faults in force
//-----------------------------------------------------------------------------

inline constexpr int any_router = -1;

/// Time in which a fault may explain that answers are broken off at a router.
struct fault_window {
    int router{any_router};
    time_point from{};
    time_point until{};
    bool new_requests_only{}; // explains calls that were sent in it, not those that it met
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
    std::uint64_t cancelled{}; // callers that left before the answer
};

class soak_callers {
public:
    soak_callers(event_loop& loop, execution_checker& checker, std::vector<std::string> routers,
                 std::uint64_t seed);

    void start(std::size_t callers);
    void stop() { stopped_ = true; }
    /// Answers that are broken off outside all windows break a promise.
    void add_fault_window(fault_window window) { fault_windows_.push_back(window); }
    /// Until then a router may rightly refuse the key.
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
    std::vector<std::string> routers_; // addresses of their proxies
    random_source random_;
    edge_client client_;
    request_counts counts_;
    std::deque<fault_window> fault_windows_;
    std::map<std::string, time_point> rejections_allowed_until_; // keys
    std::uint64_t next_attempt_{1};
    std::size_t in_flight_{};
    bool stopped_{};
};

} // namespace damaskhill::soak
