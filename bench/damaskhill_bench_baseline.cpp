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
struct pushed_call {
    const load_request* item{};
    duration started{};
    double done{};
    bool began{};
};

// Queues and load estimates of one router.
struct push_router {
    std::vector<std::deque<const load_request*>> queues; // by account
    std::vector<double> service;                         // by account: tokens pushed so far
    std::vector<double> load;                            // by target: running calls as known to this router
};

// Simulation of the baseline in steps of virtual time.
class push_run {
public:
    push_run(const baseline_settings& settings, std::span<const double> shares)
        : settings_(settings), shares_(shares), targets_(settings.replicas) {
        push_router r;
        r.queues.resize(shares.size());
        r.service.resize(shares.size());
        r.load.resize(settings.replicas);
        routers_.assign(settings.routers, r);
    }

    load_results run(std::span<const load_request> load, duration from, duration end) {
        constexpr duration step = 10ms;
        std::size_t next = 0;
        for (duration now{}; now < end; now += step) {
            for (; next < load.size() && load[next].at <= now; ++next)
                routers_[load[next].router].queues[load[next].account].push_back(&load[next]);
            if (now % settings_.report_period < step) report();
            for (push_router& r : routers_)
                push_all(r, now);
            if (now >= from) sample();
            advance(now, step);
        }
        for (const auto& calls : targets_)
            figures_.unfinished += calls.size();
        for (const push_router& r : routers_) {
            for (const auto& queue : r.queues)
                figures_.unfinished += queue.size();
        }
        figures_.busy_share = usable_ > 0.0 ? busy_ / usable_ : 1.0;
        return figures_;
    }

private:
    void report() {
        for (push_router& r : routers_) {
            for (std::size_t t = 0; t < targets_.size(); ++t)
                r.load[t] = static_cast<double>(targets_[t].size());
        }
    }

    // Returns the non-empty queue of the account with the least service per share, or null.
    std::deque<const load_request*>* least_served(push_router& r) {
        std::deque<const load_request*>* best = nullptr;
        double lowest = 0.0;
        for (std::size_t a = 0; a < r.queues.size(); ++a) {
            const double position = r.service[a] / shares_[a];
            if (r.queues[a].empty() || (best != nullptr && position >= lowest)) continue;
            best = &r.queues[a];
            lowest = position;
        }
        return best;
    }

    void push_all(push_router& r, duration now) {
        while (auto* queue = least_served(r)) {
            const auto target = std::ranges::min_element(r.load);
            if (*target >= settings_.target.room) return; // all targets are full, as far as this router knows
            const load_request* item = queue->front();
            queue->pop_front();
            r.service[item->account] += static_cast<double>(item->tokens);
            ++*target;
            targets_[static_cast<std::size_t>(target - r.load.begin())].push_back(
                {item, now + settings_.message_delay, 0.0, false});
        }
    }

    void sample() {
        const bool waits = std::ranges::any_of(routers_, [](const push_router& r) {
            return std::ranges::any_of(r.queues, [](const auto& queue) { return !queue.empty(); });
        });
        // A call beyond the capacity of its target waits there and cannot move to a free one.
        const bool stranded = std::ranges::any_of(targets_, [&](const auto& calls) {
            return static_cast<double>(calls.size()) > settings_.target.room;
        });
        if (!waits && !stranded) return;
        for (const auto& calls : targets_)
            busy_ += std::min(static_cast<double>(calls.size()), settings_.target.room);
        usable_ += settings_.target.room * static_cast<double>(targets_.size());
    }

    void advance(duration now, duration step) {
        const target_settings& s = settings_.target;
        for (std::size_t t = 0; t < targets_.size(); ++t) {
            const double slow = std::max(1.0, static_cast<double>(targets_[t].size()) / s.room);
            for (pushed_call& call : targets_[t]) {
                if (to_seconds(now - call.started) < to_seconds(s.first_token_time) * slow) continue;
                call.done += to_seconds(step) / (to_seconds(s.token_time) * slow);
                if (call.began) continue;
                call.began = true;
                figures_.first_token_s[static_cast<std::size_t>(call.item->cls)].push_back(
                    to_seconds(now + settings_.message_delay - call.item->at));
            }
            std::erase_if(targets_[t], [&](const pushed_call& call) {
                if (call.done < static_cast<double>(call.item->tokens)) return false;
                double& known = routers_[call.item->router].load[t];
                known = std::max(0.0, known - 1.0);
                return true;
            });
        }
    }

    const baseline_settings& settings_;
    std::span<const double> shares_;
    std::vector<std::vector<pushed_call>> targets_;
    std::vector<push_router> routers_;
    load_results figures_;
    double busy_{};
    double usable_{};
};

} // namespace

load_results run_baseline(const baseline_settings& settings, std::span<const load_request> load,
                          std::span<const double> shares, duration from, duration end) {
    return push_run{settings, shares}.run(load, from, end);
}

} // namespace damaskhill::bench
