// Max-min shares of client accounts in what the engines produce together.
//
// Load pattern: one account sends many times its usual. What it asks beyond an even share must wait behind
// the requests of every account that is within its share, on all routers, from the first seconds of the surge
// on.
//
// Index of this file:
// [SECTION] Usage of accounts
// [SECTION] Shares

#pragma once

#include "damaskhill_types.hpp"

#include <array>
#include <unordered_map>

namespace damaskhill {

//-----------------------------------------------------------------------------
// [SECTION] Usage of accounts
//-----------------------------------------------------------------------------

struct account_share_settings {
    duration slice{500ms};                     // grain of the window
    duration peer_timeout{1500ms};             // after which a silent router's rows no longer count
    double default_tokens_per_second{290'000}; // where the operator declares none
    double backlog_factor{2.0}; // an account that asks for more than this times what it gets is backlogged
    double max_lead{
        1.3}; // by which an account beyond its share may be ahead of the least served backlogged one
    duration pace_burst{300ms}; // of its rate that an account held to a pace may have saved, or be in debt
};

inline constexpr std::size_t share_slices = 8; // of settings.slice: a window of 4 s

/// Tokens in a sliding window.
struct windowed_sum {
    std::array<double, share_slices> slices{};
    std::int64_t newest{}; // number of the slice that is being filled
};

void add_to(windowed_sum& sum, double tokens, time_point now, duration slice);
[[nodiscard]] double sum_at(const windowed_sum& sum, time_point now, duration slice);

struct account_usage {
    double requested{};  // tokens in the window
    double dispatched{}; // of these, tokens of requests that a target has been given
};

/// Usage of all accounts by this router and, as last heard, by the others.
class account_shares {
public:
    explicit account_shares(account_share_settings settings = {}) : settings_(settings) {}

    void on_requested(std::uint64_t account, double tokens, time_point now);
    void on_dispatched(std::uint64_t account, double tokens, time_point now);
    void set_peer(std::uint64_t router, std::unordered_map<std::uint64_t, account_usage> rows,
                  time_point now);
    [[nodiscard]] std::unordered_map<std::uint64_t, account_usage> own_usage(time_point now) const;

    /// Recomputes the level up to which every account may be served; costs a sort of the accounts.
    void update(double tokens_per_second, time_point now);
    /// Whether the account has been given less than its share.
    [[nodiscard]] bool is_within_share(std::uint64_t account, time_point now) const;
    /// Served tokens as a part of the account's share, 0 for an unknown account.
    [[nodiscard]] double used_share(std::uint64_t account, time_point now) const;

    /// Whether the account is beyond its share, another one waits, and this router's part of the pace that
    /// the account may lead by is used up, so that even idle engines are left to the other one. All routers
    /// together keep the pace, however old their reports are.
    [[nodiscard]] bool is_throttled(std::uint64_t account, time_point now) const;

private:
    struct own_sums {
        windowed_sum asked;
        windowed_sum served;
        double balance{}; // tokens of the pace that are unused at the time `paced`; negative: a debt
        time_point balance_time{};
    };
    [[nodiscard]] double window_seconds() const;
    /// Tokens a second that this router may give to an account that is held to a pace.
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
    std::unordered_map<std::uint64_t, double> requested_;        // of all routers, at the last update
    double lowest_backlogged_usage_{
        1e9};                 // used share of the least served backlogged account, 1 if it is lower
    double fair_level_{1e18}; // tokens in a window
};

//-----------------------------------------------------------------------------
// [SECTION] Shares
//-----------------------------------------------------------------------------

/// Level at which the sum of min(demand, level) reaches the capacity; the largest demand if all fit.
[[nodiscard]] double max_min_level(std::vector<double> demands, double capacity);

} // namespace damaskhill
