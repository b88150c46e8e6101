// Max-min fair shares of the engines' total token throughput among client accounts.
//
// Load pattern: one account sends many times its usual load. From the first seconds of the surge, its demand
// above the fair share must wait behind the requests of all accounts within their share, at every router.
//
// Index of this file:
// [SECTION] Account usage
// [SECTION] Max-min fairness

#pragma once

#include "damaskhill_types.hpp"

#include <array>
#include <unordered_map>

namespace damaskhill {

//-----------------------------------------------------------------------------
// [SECTION] Account usage
//-----------------------------------------------------------------------------

struct account_share_settings {
    duration slice{500ms}; // resolution of the sliding window
    // Usage reported by a router is ignored after it has been silent for this long.
    duration peer_timeout{1500ms};
    // Total throughput if the operator declares none.
    double default_tokens_per_second{290'000};
    // An account is backlogged if it requests more than this factor times the tokens that are dispatched.
    double backlog_factor{2.0};
    // Factor by which an account above its share may exceed the usage of the least served backlogged account.
    double max_lead{1.15};
    // Depth of the token bucket of a throttled account, as time at its rate; also the largest debt.
    duration pace_burst{300ms};
};

inline constexpr std::size_t share_slices = 8; // window of 4 s with the default slice

/// Tokens in a sliding window.
struct windowed_sum {
    std::array<double, share_slices> slices{};
    std::int64_t newest{}; // number of the current slice
};

void add_to(windowed_sum& sum, double tokens, time_point now, duration slice);
[[nodiscard]] double sum_at(const windowed_sum& sum, time_point now, duration slice);

struct account_usage {
    double requested{};  // tokens within the window
    double dispatched{}; // of these, tokens of requests that were sent to a target
};

/// What a router knows of an account; tokens within the window.
struct account_summary {
    std::uint64_t account{};
    account_usage own;
    double own_begun{}; // of the dispatched tokens, those of requests that have had their first byte
    account_usage fleet;
    double used_share{};
    double pace_per_second{}; // at this router
    double balance{};
    bool throttled{};
};

struct share_summary {
    double level{}; // tokens per window
    double lowest_backlogged_usage{};
    std::size_t peers{};
    duration oldest_report{};
    std::vector<account_summary> accounts; // in descending order of the requested tokens
};

/// Tracks account usage at this router and, from the latest reports, at all other routers.
class account_shares {
public:
    explicit account_shares(account_share_settings settings = {}) : settings_(settings) {}

    void on_requested(std::uint64_t account, double tokens, time_point now);
    void on_dispatched(std::uint64_t account, double tokens, time_point now);
    void on_begun(std::uint64_t account, double tokens, time_point now);
    void set_peer(std::uint64_t router, std::unordered_map<std::uint64_t, account_usage> rows,
                  time_point now);
    [[nodiscard]] std::unordered_map<std::uint64_t, account_usage> own_usage(time_point now) const;

    /// Recomputes the fair level, the tokens per window up to which every account may be served. Sorts the
    /// accounts: O(n log n).
    void update(double tokens_per_second, time_point now);
    /// Whether the account's usage is below its fair share.
    [[nodiscard]] bool is_within_share(std::uint64_t account, time_point now) const;
    /// Fraction of the allowed backlog that the account may use. It falls with the account's used share, so
    /// that freed capacity goes to the accounts with the least usage, whatever the length of their prompts.
    [[nodiscard]] double backlog_share(std::uint64_t account, time_point now) const;
    /// Dispatched tokens as a fraction of the account's fair share; 0 for an unknown account.
    [[nodiscard]] double used_share(std::uint64_t account, time_point now) const;

    /// Whether the account is above its share, another account is backlogged, and the token bucket for the
    /// account at this router is empty. Even idle engines are then left to the other account. The buckets of
    /// all routers together enforce the allowed rate, however old the reports are.
    [[nodiscard]] bool is_throttled(std::uint64_t account, time_point now) const;

    /// What this router knows and decides, for the log: the accounts that have requested most at this router.
    [[nodiscard]] share_summary summary(std::size_t max_accounts, time_point now) const;

private:
    struct own_sums {
        windowed_sum requested;
        windowed_sum dispatched;
        windowed_sum begun;
        double balance{}; // token bucket level at `balance_time`; negative: debt
        time_point balance_time{};
    };
    [[nodiscard]] double window_seconds() const;
    /// Refill rate of the account's token bucket at this router, tokens per second.
    [[nodiscard]] double pace_per_second(std::uint64_t account, const own_sums& own, time_point now) const;
    [[nodiscard]] double pace_balance_at(std::uint64_t account, const own_sums& own, time_point now) const;
    struct peer_rows {
        std::unordered_map<std::uint64_t, account_usage> rows;
        time_point received_at{};
    };
    account_share_settings settings_;
    std::unordered_map<std::uint64_t, own_sums> own_;
    std::unordered_map<std::uint64_t, peer_rows> peers_;
    std::unordered_map<std::uint64_t, double> peers_dispatched_; // at the last update
    std::unordered_map<std::uint64_t, double> requested_;        // at all routers, at the last update
    double lowest_backlogged_usage_{1e9}; // used share of the least served backlogged account, at least 1
    double fair_level_{1e18};             // tokens per window
};

//-----------------------------------------------------------------------------
// [SECTION] Max-min fairness
//-----------------------------------------------------------------------------

/// Max-min fair level, at which the sum of min(demand, level) equals the capacity. If all demands fit, the
/// result is at least the capacity, so that no demand is limited.
[[nodiscard]] double max_min_level(std::vector<double> demands, double capacity);

} // namespace damaskhill
