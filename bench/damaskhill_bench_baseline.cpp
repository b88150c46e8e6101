// Index of this file:
// [SECTION] Push baseline

#include "damaskhill_bench_baseline.hpp"

#include <algorithm>

namespace damaskhill::bench {

//-----------------------------------------------------------------------------
// [SECTION] Push baseline
//-----------------------------------------------------------------------------

namespace {

// A request at its target.
struct target_call {
    const load_request* request{};
    duration started{};
    double tokens_done{};
    bool first_token_sent{};
};

// Queues and load estimates of one router.
struct push_router {
    std::vector<std::deque<const load_request*>> queues; // by account
    std::vector<double> served_tokens;                   // by account: tokens of the requests pushed so far
    std::vector<double> known_load;                      // by target: its calls, as known to this router
};

// Simulation of the baseline in steps of virtual time.
class push_simulation {
public:
    push_simulation(const baseline_settings& settings, std::span<const double> shares)
        : settings_(settings), shares_(shares), targets_(settings.replicas) {
        push_router r;
        r.queues.resize(shares.size());
        r.served_tokens.resize(shares.size());
        r.known_load.resize(settings.replicas);
        routers_.assign(settings.routers, r);
    }

    load_results run(std::span<const load_request> load, duration from, duration end) {
        constexpr duration step = 10ms;
        std::size_t next = 0;
        for (duration now{}; now < end; now += step) {
            for (; next < load.size() && load[next].at <= now; ++next)
                routers_[load[next].router].queues[load[next].account].push_back(&load[next]);
            if (now % settings_.report_period < step) report_load();
            for (push_router& r : routers_)
                push_all(r, now);
            if (now >= from) sample_busy_slots();
            advance(now, step);
        }
        for (const auto& calls : targets_)
            results_.unfinished += calls.size();
        for (const push_router& r : routers_) {
            for (const auto& queue : r.queues)
                results_.unfinished += queue.size();
        }
        results_.busy_share = usable_slots_ > 0.0 ? busy_slots_ / usable_slots_ : 1.0;
        return results_;
    }

private:
    void report_load() {
        for (push_router& r : routers_) {
            for (std::size_t t = 0; t < targets_.size(); ++t)
                r.known_load[t] = static_cast<double>(targets_[t].size());
        }
    }

    // Returns the non-empty queue of the account with the least service per share, or null.
    std::deque<const load_request*>* least_served(push_router& r) {
        std::deque<const load_request*>* best = nullptr;
        double lowest = 0.0;
        for (std::size_t a = 0; a < r.queues.size(); ++a) {
            const double normalized_service = r.served_tokens[a] / shares_[a];
            if (r.queues[a].empty() || (best != nullptr && normalized_service >= lowest)) continue;
            best = &r.queues[a];
            lowest = normalized_service;
        }
        return best;
    }

    void push_all(push_router& r, duration now) {
        while (auto* queue = least_served(r)) {
            const auto target = std::ranges::min_element(r.known_load);
            if (*target >= settings_.target.warm_limit)
                return; // all targets are full, as far as this router knows
            const load_request* request = queue->front();
            queue->pop_front();
            r.served_tokens[request->account] += static_cast<double>(request->tokens);
            ++*target;
            targets_[static_cast<std::size_t>(target - r.known_load.begin())].push_back(
                {request, now + settings_.message_delay, 0.0, false});
        }
    }

    void sample_busy_slots() {
        const bool any_queued = std::ranges::any_of(routers_, [](const push_router& r) {
            return std::ranges::any_of(r.queues, [](const auto& queue) { return !queue.empty(); });
        });
        // A call beyond the capacity of its target waits there and cannot move to a free one.
        const bool any_overfull = std::ranges::any_of(targets_, [&](const auto& calls) {
            return static_cast<double>(calls.size()) > settings_.target.warm_limit;
        });
        if (!any_queued && !any_overfull) return;
        for (const auto& calls : targets_)
            busy_slots_ += std::min(static_cast<double>(calls.size()), settings_.target.warm_limit);
        usable_slots_ += settings_.target.warm_limit * static_cast<double>(targets_.size());
    }

    void advance(duration now, duration step) {
        const target_settings& s = settings_.target;
        for (std::size_t t = 0; t < targets_.size(); ++t) {
            const double slowdown = std::max(1.0, static_cast<double>(targets_[t].size()) / s.warm_limit);
            for (target_call& call : targets_[t]) {
                if (to_seconds(now - call.started) < to_seconds(s.first_token_time) * slowdown) continue;
                call.tokens_done += to_seconds(step) / (to_seconds(s.token_time) * slowdown);
                if (call.first_token_sent) continue;
                call.first_token_sent = true;
                results_.first_token_s[static_cast<std::size_t>(call.request->cls)].push_back(
                    to_seconds(now + settings_.message_delay - call.request->at));
            }
            std::erase_if(targets_[t], [&](const target_call& call) {
                if (call.tokens_done < static_cast<double>(call.request->tokens)) return false;
                double& router_load = routers_[call.request->router].known_load[t];
                router_load = std::max(0.0, router_load - 1.0);
                return true;
            });
        }
    }

    const baseline_settings& settings_;
    std::span<const double> shares_;
    std::vector<std::vector<target_call>> targets_;
    std::vector<push_router> routers_;
    load_results results_;
    double busy_slots_{};
    double usable_slots_{};
};

} // namespace

load_results run_baseline(const baseline_settings& settings, std::span<const load_request> load,
                          std::span<const double> shares, duration from, duration end) {
    return push_simulation{settings, shares}.run(load, from, end);
}

} // namespace damaskhill::bench
