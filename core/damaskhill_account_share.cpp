// Index of this file:
// [SECTION] Sliding window
// [SECTION] Account usage
// [SECTION] Max-min fairness

#include "damaskhill_account_share.hpp"

#include <algorithm>
#include <functional>
#include <numeric>

namespace damaskhill {

//-----------------------------------------------------------------------------
// [SECTION] Sliding window
//-----------------------------------------------------------------------------

namespace {

constexpr auto window_slices = static_cast<std::int64_t>(share_slices);

std::int64_t slice_of(time_point now, duration slice) { return now.time_since_epoch() / slice; }

} // namespace

void add_to(windowed_sum& sum, double tokens, time_point now, duration slice) {
    const std::int64_t slice_number = slice_of(now, slice);
    const std::int64_t elapsed = std::min(slice_number - sum.newest, window_slices);
    for (std::int64_t i = 1; i <= elapsed; ++i)
        sum.slices[static_cast<std::size_t>((sum.newest + i) % window_slices)] = 0;
    if (elapsed == window_slices) sum.slices = {};
    sum.newest = std::max(sum.newest, slice_number);
    sum.slices[static_cast<std::size_t>(sum.newest % window_slices)] += tokens;
}

double sum_at(const windowed_sum& sum, time_point now, duration slice) {
    const std::int64_t slice_number = slice_of(now, slice);
    double total = 0;
    for (std::int64_t i = std::max(slice_number - window_slices + 1, std::int64_t{0}); i <= sum.newest; ++i) {
        if (sum.newest - i < window_slices) total += sum.slices[static_cast<std::size_t>(i % window_slices)];
    }
    return total;
}

//-----------------------------------------------------------------------------
// [SECTION] Account usage
//-----------------------------------------------------------------------------

void account_shares::on_requested(std::uint64_t account, double tokens, time_point now) {
    add_to(own_[account].requested, tokens, now, settings_.slice);
}

void account_shares::on_dispatched(std::uint64_t account, double tokens, time_point now) {
    own_sums& own = own_[account];
    own.balance = pace_balance_at(account, own, now) - tokens;
    own.balance_time = now;
    add_to(own.dispatched, tokens, now, settings_.slice);
}

void account_shares::on_begun(std::uint64_t account, double tokens, time_point now) {
    add_to(own_[account].begun, tokens, now, settings_.slice);
}

void account_shares::set_peer(std::uint64_t router, std::unordered_map<std::uint64_t, account_usage> rows,
                              time_point now) {
    peers_[router] = {std::move(rows), now};
}

std::unordered_map<std::uint64_t, account_usage> account_shares::own_usage(time_point now) const {
    std::unordered_map<std::uint64_t, account_usage> rows;
    for (const auto& [account, sums] : own_) {
        const account_usage usage{sum_at(sums.requested, now, settings_.slice),
                                  sum_at(sums.dispatched, now, settings_.slice)};
        if (usage.requested > 0 || usage.dispatched > 0) rows[account] = usage;
    }
    return rows;
}

void account_shares::update(double tokens_per_second, time_point now) {
    if (tokens_per_second <= 0) tokens_per_second = settings_.default_tokens_per_second;
    requested_.clear();
    for (const auto& [account, usage] : own_usage(now))
        requested_[account] += usage.requested;
    peers_dispatched_.clear();
    std::erase_if(peers_,
                  [&](const auto& peer) { return now - peer.second.received_at > settings_.peer_timeout; });
    for (const auto& [router, peer] : peers_) {
        for (const auto& [account, usage] : peer.rows) {
            requested_[account] += usage.requested;
            peers_dispatched_[account] += usage.dispatched;
        }
    }
    std::vector<double> demands;
    demands.reserve(requested_.size());
    for (const auto& [account, tokens] : requested_)
        demands.push_back(tokens);
    // A level for the time since the demand began left engines idle and broke fairness when all accounts
    // began at once.
    fair_level_ = max_min_level(std::move(demands), tokens_per_second * window_seconds());
    lowest_backlogged_usage_ = 1e9;
    for (const auto& [account, tokens] : requested_) {
        const double used = used_share(account, now);
        // Within its share an account is never throttled in favour of another, whatever the reason why the
        // other one is not served.
        if (tokens > settings_.backlog_factor * used * fair_level_)
            lowest_backlogged_usage_ = std::min(lowest_backlogged_usage_, std::max(1.0, used));
    }
}

double account_shares::window_seconds() const {
    return to_seconds(settings_.slice) * static_cast<double>(share_slices);
}

double account_shares::pace_per_second(std::uint64_t account, const own_sums& own, time_point now) const {
    const auto requested = requested_.find(account);
    if (requested == requested_.end() || requested->second <= 0) return 0;
    const double own_fraction =
        std::min(1.0, sum_at(own.requested, now, settings_.slice) / requested->second);
    return settings_.max_lead * lowest_backlogged_usage_ * fair_level_ / window_seconds() * own_fraction;
}

double account_shares::pace_balance_at(std::uint64_t account, const own_sums& own, time_point now) const {
    const double pace = pace_per_second(account, own, now);
    const double max_balance = pace * to_seconds(settings_.pace_burst);
    return std::clamp(own.balance + pace * to_seconds(now - own.balance_time), -max_balance, max_balance);
}

bool account_shares::is_throttled(std::uint64_t account, time_point now) const {
    const double used = used_share(account, now);
    if (used <= lowest_backlogged_usage_) return false;
    const auto own = own_.find(account);
    return own != own_.end() && pace_balance_at(account, own->second, now) < 0;
}

double account_shares::used_share(std::uint64_t account, time_point now) const {
    const auto own = own_.find(account);
    const auto peers = peers_dispatched_.find(account);
    const double dispatched =
        (own == own_.end() ? 0.0 : sum_at(own->second.dispatched, now, settings_.slice)) +
        (peers == peers_dispatched_.end() ? 0.0 : peers->second);
    return fair_level_ > 0 ? dispatched / fair_level_ : 0.0;
}

double account_shares::backlog_share(std::uint64_t account, time_point now) const {
    // Used share up to which the full backlog is allowed.
    constexpr double full_backlog_until = 0.5;
    // Used share from which only idle engines take the account's requests.
    constexpr double idle_only_from = 1.7;
    return std::clamp(1.0 - (used_share(account, now) - full_backlog_until) /
                                (idle_only_from - full_backlog_until),
                      0.0, 1.0);
}

bool account_shares::is_within_share(std::uint64_t account, time_point now) const {
    return used_share(account, now) < 1.0;
}

share_summary account_shares::summary(std::size_t max_accounts, time_point now) const {
    share_summary result{fair_level_, lowest_backlogged_usage_, peers_.size(), {}, {}};
    for (const auto& [router, peer] : peers_)
        result.oldest_report = std::max(result.oldest_report, now - peer.received_at);
    for (const auto& [account, usage] : own_usage(now)) {
        const own_sums& own = own_.at(account);
        const auto requested = requested_.find(account);
        const double used = used_share(account, now);
        result.accounts.push_back(
            {account,
             usage,
             sum_at(own.begun, now, settings_.slice),
             {requested == requested_.end() ? 0.0 : requested->second, used * fair_level_},
             used,
             pace_per_second(account, own, now),
             pace_balance_at(account, own, now),
             is_throttled(account, now)});
    }
    const auto kept =
        result.accounts.begin() + static_cast<std::ptrdiff_t>(std::min(max_accounts, result.accounts.size()));
    std::ranges::partial_sort(result.accounts, kept, std::greater{},
                              [](const account_summary& item) { return item.own.requested; });
    result.accounts.erase(kept, result.accounts.end());
    return result;
}

//-----------------------------------------------------------------------------
// [SECTION] Max-min fairness
//-----------------------------------------------------------------------------

double max_min_level(std::vector<double> demands, double capacity) {
    std::ranges::sort(demands);
    double remaining = capacity;
    for (std::size_t i = 0; i < demands.size(); ++i) {
        const double equal_share = remaining / static_cast<double>(demands.size() - i);
        if (demands[i] > equal_share) return equal_share;
        remaining -= demands[i];
    }
    // All demands fit: no account is throttled.
    return std::max(capacity, demands.empty() ? 0.0 : demands.back() * 2);
}

} // namespace damaskhill
