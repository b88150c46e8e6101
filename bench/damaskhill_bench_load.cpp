// Index of this file:
// [SECTION] Sample load
// [SECTION] Service gap between accounts

#include "damaskhill_bench_load.hpp"

#include <algorithm>

namespace damaskhill::bench {

//-----------------------------------------------------------------------------
// [SECTION] Sample load
//-----------------------------------------------------------------------------

std::string sample_account_name(std::size_t i) { return "t/" + std::to_string(i); }

std::string sample_account_key_hash(std::size_t i) { return format_hex128(0, i) + format_hex128(0, i); }

team_declarations sample_accounts(std::span<const double> shares, std::uint32_t cold_limit,
                                  std::uint32_t warm_limit) {
    team_declarations team;
    team.team = "t";
    for (std::size_t i = 0; i < shares.size(); ++i)
        team.accounts.push_back({sample_account_name(i), shares[i], {sample_account_key_hash(i)}, 256});
    pool_declaration pool;
    pool.name = "lm";
    pool.cold_limit = cold_limit;
    pool.warm_limit = warm_limit;
    team.pools.push_back(pool);
    return team;
}

caller_request model_request(std::size_t account, std::uint64_t tokens, std::uint32_t max_tokens,
                             request_class cls, std::uint64_t number) {
    caller_request r;
    r.pool = "lm";
    r.method = "POST";
    r.path = "/v1/completions";
    r.key_hash = sample_account_key_hash(account);
    r.body = "n=" + std::to_string(number) + " tokens=" + std::to_string(tokens) + " ";
    r.max_tokens = max_tokens;
    r.cls = cls;
    r.stream = true;
    r.timeout_ms = 600'000;
    return r;
}

//-----------------------------------------------------------------------------
// [SECTION] Service gap between accounts
//-----------------------------------------------------------------------------

gap_meter::gap_meter(std::vector<double> shares)
    : shares_(std::move(shares)), pairs_(shares_.size() * shares_.size()) {}

void gap_meter::sample(std::span<const double> service, const std::vector<bool>& backlogged) {
    const std::size_t accounts = shares_.size();
    for (std::size_t a = 0; a < accounts; ++a) {
        for (std::size_t b = a + 1; b < accounts; ++b) {
            difference_range& pair = pairs_[a * accounts + b];
            if (!backlogged[a] || !backlogged[b]) {
                pair.active = false;
                continue;
            }
            const double difference = service[a] / shares_[a] - service[b] / shares_[b];
            if (!pair.active) pair = {true, difference, difference};
            pair.low = std::min(pair.low, difference);
            pair.high = std::max(pair.high, difference);
            const double factor = 1.0 / shares_[a] + 1.0 / shares_[b];
            largest_gap_ = std::max(largest_gap_, (pair.high - pair.low) / factor);
        }
    }
}

void gap_meter::end_intervals() {
    for (difference_range& pair : pairs_)
        pair.active = false;
}

std::vector<bool> backlogged_accounts(fleet& f, std::size_t accounts) {
    std::set<account_id> backlogged;
    for (std::size_t i = 0; i < f.router_count(); ++i) {
        if (!f.router(i).up) continue;
        for (const auto& [key, queue] : f.router(i).router->queues) {
            if (!queue.empty()) backlogged.insert(key.account);
        }
    }
    std::vector<bool> result(accounts);
    for (std::size_t i = 0; i < accounts; ++i)
        result[i] = backlogged.contains(account_id_of(sample_account_name(i)));
    return result;
}

} // namespace damaskhill::bench
