// Direct routers and engines under load, on virtual time: prompts of several accounts and sizes, engines that
// prefill in order of arrival, and callers that come back once after a refusal.
//
// Index of this file:
// [SECTION] Load
// [SECTION] Fleet

#pragma once

#include "direct_fixture.hpp"

#include <queue>
#include <set>

namespace damaskhill::direct {

//-----------------------------------------------------------------------------
// [SECTION] Load
//-----------------------------------------------------------------------------

struct load_request {
    std::string account;
    std::uint32_t shared_tokens{};
    std::uint64_t shared_part{};
    std::uint32_t own_tokens{};
};

/// What became of the requests of one account or kind.
struct load_outcome {
    std::size_t asked{};
    std::size_t on_time{}; // first token within the target latency of the first attempt
    std::size_t late{};
    std::size_t refused{}; // refused twice
};

//-----------------------------------------------------------------------------
// [SECTION] Fleet
//-----------------------------------------------------------------------------

struct load_engine {
    double ms_per_token{0.01};
    time_point free_at{};
    std::set<std::uint64_t> cached;
};

struct load_fleet_settings {
    std::size_t routers{8};
    std::size_t engines{12};
    std::size_t accounts{6};
    duration max_event_gap{250ms}; // above tight_event_gap: the policies for other services
    duration target_latency{250ms};
    std::uint64_t tokens_per_second{300'000}; // as declared
};

class load_fleet {
public:
    explicit load_fleet(const load_fleet_settings& s) : settings(s) {
        catalog contents = make_catalog();
        contents.targets.clear();
        contents.tokens_per_second = s.tokens_per_second;
        for (auto& route : contents.routes["h.example"]) {
            route.max_event_gap = s.max_event_gap;
            route.target_latency = s.target_latency;
        }
        contents.services["lm"].cold_per_s = 0;
        index_services(contents);
        contents.accounts.account_by_key.clear();
        for (std::size_t i = 0; i < s.accounts; ++i)
            contents.accounts.account_by_key["key-" + std::to_string(i)] = "team-" + std::to_string(i);
        for (std::size_t i = 0; i < s.engines; ++i) {
            const std::string id = "e-" + std::to_string(i);
            contents.targets[id] = make_target(id, "lm", 64);
            engines[id] = {};
        }
        for (std::size_t i = 0; i < s.routers; ++i) {
            routers.push_back(std::make_unique<test_router>("10.0.0." + std::to_string(i + 1) + ":7"));
            routers.back()->state.settings.seeds = {"10.0.0.1:7"};
            routers.back()->publish(contents);
        }
        run(2s); // until the routers know each other
        for (const auto& router : routers) {
            // The first timer of a router that starts at a time other than zero looks late.
            router->state.lag = {};
            router->state.overloaded = false;
        }
    }

    /// Calls `submit_load(*this)` each millisecond.
    template <class F>
    void run(duration time, F&& submit_load) {
        for (const time_point end = now + time; now < end;) {
            now += 1ms;
            submit_load(*this);
            advance();
        }
    }
    void run(duration time) {
        run(time, [](load_fleet& /*unused*/) {});
    }

    void submit(const load_request& load, const std::string& kind) {
        ++outcomes[kind].asked;
        attempt({load, kind, now, false});
    }

    load_fleet_settings settings;
    std::vector<std::unique_ptr<test_router>> routers;
    std::map<std::string, load_engine> engines;
    std::map<std::string, load_outcome> outcomes; // by kind
    random_source random{1};
    time_point now{1000s};

private:
    struct pending_request {
        load_request load;
        std::string kind;
        time_point first_asked{};
        bool returned{};
    };
    struct planned_event {
        time_point at{};
        std::size_t router{};
        std::uint64_t send_id{};
        bool ends{};
        friend bool operator>(const planned_event& a, const planned_event& b) { return a.at > b.at; }
    };
    struct planned_return {
        time_point at{};
        pending_request request;
        friend bool operator>(const planned_return& a, const planned_return& b) { return a.at > b.at; }
    };

    void attempt(pending_request request) {
        const std::size_t index = random.next() % routers.size();
        test_router& router = *routers[index];
        request_arrived event;
        event.caller = router.next_caller++;
        event.attempt = "attempt-" + std::to_string(next_id_++);
        event.method = "POST";
        event.host = "h.example";
        event.path = "/chat/x";
        event.api_key = "key-" + request.load.account;
        event.remaining = 8s;
        const std::uint32_t tokens = request.load.shared_tokens + request.load.own_tokens;
        event.prompt = {tokens,
                        100,
                        0,
                        {{request.load.shared_part, request.load.shared_tokens},
                         {1'000'000 + next_id_, request.load.own_tokens}}};
        open_[{index, event.caller}] = std::move(request);
        process(index, event);
    }
    void process(std::size_t index, const input& event) {
        test_router& router = *routers[index];
        router.now = now;
        router.process(event);
        effects out;
        out.swap(router.out);
        for (const effect& item : out)
            perform(index, item);
    }
    void perform(std::size_t index, const effect& item) {
        if (const auto* sent = std::get_if<send_request>(&item)) {
            load_engine& engine = engines.at(sent->target);
            const auto& segments = sent->content->input.prompt.segments;
            double tokens = segments.back().tokens;
            if (engine.cached.insert(segments.front().id).second) tokens += segments.front().tokens;
            const duration work{static_cast<std::int64_t>(tokens * engine.ms_per_token * 1000)};
            engine.free_at = std::max(engine.free_at, now) + work;
            callers_[sent->send_id + (index << 48U)] = sent->content->input.caller;
            events_.push({engine.free_at + 8ms, index, sent->send_id, false});
        } else if (const auto* refusal = std::get_if<reply_refused>(&item)) {
            const auto found = open_.find({index, refusal->caller});
            pending_request request = std::move(found->second);
            open_.erase(found);
            if (request.returned || !refusal->retry_after) {
                ++outcomes[request.kind].refused;
                return;
            }
            request.returned = true;
            returns_.push({now + *refusal->retry_after, std::move(request)});
        } else if (const auto* report = std::get_if<send_report>(&item)) {
            for (std::size_t i = 0; i < routers.size(); ++i) {
                const std::string& address = routers[i]->state.settings.report_address;
                if (i != index && std::ranges::find(report->addresses, address) != report->addresses.end())
                    reports_.emplace_back(i, *report->report);
            }
        }
    }
    void advance() {
        std::vector<std::pair<std::size_t, router_report>> reports;
        reports.swap(reports_);
        for (const auto& [index, report] : reports)
            process(index, report_received{report});
        while (!returns_.empty() && returns_.top().at <= now) {
            pending_request request = returns_.top().request;
            returns_.pop();
            attempt(std::move(request));
        }
        while (!events_.empty() && events_.top().at <= now) {
            const planned_event event = events_.top();
            events_.pop();
            event.ends ? end(event) : begin(event);
        }
        for (std::size_t i = 0; i < routers.size(); ++i) {
            if (routers[i]->state.timer_armed && routers[i]->state.timer_at <= now) process(i, timer_fired{});
        }
        for (const auto& router : routers) {
            if (now - confirmed_at_ < 500ms) break;
            router->now = now;
            router->confirm_now();
            router->out.clear();
        }
        if (now - confirmed_at_ >= 500ms) confirmed_at_ = now;
    }
    void begin(const planned_event& event) {
        const caller_id caller = callers_.at(event.send_id + (event.router << 48U));
        const auto found = open_.find({event.router, caller});
        load_outcome& outcome = outcomes[found->second.kind];
        ++(now - found->second.first_asked <= settings.target_latency ? outcome.on_time : outcome.late);
        open_.erase(found);
        process(event.router, routers[event.router]->head(event.send_id));
        process(event.router, response_data{event.send_id, "id: 1\n\n"});
        events_.push({now + 400ms, event.router, event.send_id, true});
    }
    void end(const planned_event& event) {
        process(event.router, response_end{event.send_id, send_result::complete});
    }

    std::map<std::pair<std::size_t, caller_id>, pending_request> open_; // by router and caller
    std::unordered_map<std::uint64_t, caller_id> callers_;              // by send and router
    std::priority_queue<planned_event, std::vector<planned_event>, std::greater<>> events_;
    std::priority_queue<planned_return, std::vector<planned_return>, std::greater<>> returns_;
    std::vector<std::pair<std::size_t, router_report>> reports_;
    time_point confirmed_at_{};
    std::uint64_t next_id_{1};
};

} // namespace damaskhill::direct
