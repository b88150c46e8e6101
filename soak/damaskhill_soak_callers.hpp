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

inline constexpr int every_router = -1;

/// Time in which a fault may explain that answers are broken off at a router.
struct fault_window {
    int router{every_router};
    time_point from{};
    time_point until{};
    bool new_calls_only{}; // explains calls that were sent in it, not those that it met
};

//-----------------------------------------------------------------------------
// [SECTION] Callers
//-----------------------------------------------------------------------------

struct caller_counts {
    std::uint64_t asked{};
    std::uint64_t served{};
    std::uint64_t refused{};
    std::uint64_t failed{};
    std::uint64_t broken{};
    std::uint64_t left{}; // callers that left before the answer
};

class soak_callers {
public:
    soak_callers(event_loop& loop, run_ledger& ledger, std::vector<std::string> routers, std::uint64_t seed);

    void start(std::size_t callers);
    void stop() { stopped_ = true; }
    /// Answers that are broken off outside all windows break a promise.
    void add_window(fault_window window) { windows_.push_back(window); }
    /// Until then a router may rightly refuse the key.
    void excuse(const std::string& key, time_point until) { excused_[key] = until; }
    [[nodiscard]] const caller_counts& counts() const { return counts_; }
    [[nodiscard]] std::size_t open_calls() const { return open_; }

private:
    struct call;
    void ask(std::size_t caller);
    void next(std::size_t caller, duration pause);
    void on_end(const std::shared_ptr<call>& ended, edge_result result);
    void check_success(const call& ended);
    void check_broken(const std::shared_ptr<call>& broken);
    [[nodiscard]] bool explained(const call& ended) const;

    event_loop& loop_;
    run_ledger& ledger_;
    std::vector<std::string> routers_; // addresses of their proxies
    random_source random_;
    edge_client client_;
    caller_counts counts_;
    std::deque<fault_window> windows_;
    std::map<std::string, time_point> excused_; // keys
    std::uint64_t next_attempt_{1};
    std::size_t open_{};
    bool stopped_{};
};

} // namespace damaskhill::soak
