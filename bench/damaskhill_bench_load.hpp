// Shared by the cold start, fairness and utilisation benches and by tests: sample accounts and requests, and
// a meter of the service gap between accounts.
//
// Index of this file:
// [SECTION] Sample load
// [SECTION] Service gap between accounts

#pragma once

#include "damaskhill_bench_fleet.hpp"

namespace damaskhill::bench {

//-----------------------------------------------------------------------------
// [SECTION] Sample load
//-----------------------------------------------------------------------------

/// Key hash of account number i, as declared by sample_accounts().
[[nodiscard]] std::string sample_account_key_hash(std::size_t i);
/// Name of account number i.
[[nodiscard]] std::string sample_account_name(std::size_t i);
/// Declarations of a team "t" with one model pool "lm" and one account per share.
[[nodiscard]] team_declarations sample_accounts(std::span<const double> shares, std::uint32_t cold_limit,
                                                std::uint32_t warm_limit);
/// Streaming request of an account for `tokens` tokens; `max_tokens` is the length hint.
[[nodiscard]] caller_request model_request(std::size_t account, std::uint64_t tokens,
                                           std::uint32_t max_tokens, request_class cls, std::uint64_t number);

//-----------------------------------------------------------------------------
// [SECTION] Service gap between accounts
//-----------------------------------------------------------------------------

/// Largest gap between any two accounts, in units of service. The gap of accounts a and b is the largest
/// change of service(a)/share(a) - service(b)/share(b) over any interval in which both are backlogged without
/// interruption, divided by 1/share(a) + 1/share(b), the factor by which design 6.1 bounds it.
class gap_meter {
public:
    explicit gap_meter(std::vector<double> shares);
    /// Adds a sample: service of each account since the start, and which accounts are backlogged now.
    void sample(std::span<const double> service, const std::vector<bool>& backlogged);
    /// Ends all backlogged intervals.
    void end_intervals();
    [[nodiscard]] double largest_gap() const { return largest_gap_; }

private:
    // Range of the difference over the current interval of one pair.
    struct difference_range {
        bool active{}; // both accounts are backlogged
        double low{};
        double high{};
    };
    std::vector<double> shares_;
    std::vector<difference_range> pairs_;
    double largest_gap_{};
};

/// Whether each account has a queued request at any router, by account number.
[[nodiscard]] std::vector<bool> backlogged_accounts(fleet& f, std::size_t accounts);

} // namespace damaskhill::bench
