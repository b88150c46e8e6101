// Direct routers that move a plain service to a new version, on virtual time: callers on several routes, old
// and new targets, a store that ends the rollout, and counts of what the new version got.
//
// Index of this file:
// [SECTION] Settings
// [SECTION] Fleet

#pragma once

#include "direct_fixture.hpp"

#include <cmath>
#include <queue>

namespace damaskhill::direct {

//-----------------------------------------------------------------------------
// [SECTION] Settings
//-----------------------------------------------------------------------------

struct route_rate {
    std::string name;
    double per_s{};
};

/// What is wrong with the new version; nothing by default.
struct version_flaw {
    double failing{}; // part of its responses
    double slow{};    // part of its responses that take `slow_factor` times as long
    double slow_factor{1.0};
    std::string route; // empty: all
    duration from{};   // since the order
    double min_load{}; // running requests per slot of the target
};

struct rollout_fleet_settings {
    std::size_t routers{2};
    std::size_t data_centres{1};
    std::vector<route_rate> routes{{"order", 105}, {"return", 15}};
    std::size_t targets{3}; // of each version
    std::uint32_t slots{64};
    duration time_limit{30s};
    double response_ms{30}; // median
    double spread{0.3};     // of its logarithm
    double failing{};       // part of the responses of both versions
    duration report_delay{30ms};
    version_flaw flaw;
    std::uint64_t seed{1};
};

struct rollout_outcome {
    rollout_phase phase{rollout_phase::running};
    double ended_at{};           // part of the time limit
    std::size_t reached{};       // requests that reached targets of the service until the time limit
    std::size_t exposed{};       // of these, at the new version
    std::size_t bad_responses{}; // of the new version
    std::size_t late_requests{}; // at the new version, more than 5 s after its 50th bad response
    std::size_t refused{};       // by routers
    [[nodiscard]] bool is_exposure_kept() const {
        constexpr double max_share = 0.1;
        constexpr double max_extra = 50;
        return static_cast<double>(exposed) <= max_share * static_cast<double>(reached) + max_extra &&
               late_requests == 0;
    }
};

//-----------------------------------------------------------------------------
// [SECTION] Fleet
//-----------------------------------------------------------------------------

class rollout_fleet {
public:
    explicit rollout_fleet(const rollout_fleet_settings& s) : settings(s) {
        random.state = s.seed * 7919;
        contents_ = make_catalog();
        contents_.targets.clear();
        auto& routes = contents_.routes["h.example"];
        routes.clear();
        for (const route_rate& route : s.routes) {
            routes.push_back(make_route(route.name, retry_policy::non_idempotent, "app"));
            routes.back().max_attempts = 1;
        }
        index_routes(contents_);
        for (std::size_t i = 0; i < s.targets; ++i)
            add_target("a-" + std::to_string(i), "v1");
        for (std::size_t i = 0; i < s.routers; ++i) {
            const std::size_t data_centre = i % s.data_centres;
            routers.push_back(std::make_unique<test_router>("10.0." + std::to_string(data_centre) + "." +
                                                                std::to_string(i + 1) + ":7",
                                                            "dc-" + std::to_string(data_centre)));
            router_state& state = routers.back()->state;
            for (std::size_t seed = 0; seed < s.data_centres; ++seed)
                state.settings.seeds.push_back("10.0." + std::to_string(seed) + "." +
                                               std::to_string(seed + 1) + ":7");
            state.store_up = true;
        }
        publish();
        run(2s); // until the routers know each other
        for (const auto& router : routers) {
            // The first timer of a router that starts at a time other than zero looks late.
            router->state.lag = {};
            router->state.overloaded = false;
        }
    }

    /// Orders the rollout and plays it until some time after its limit.
    rollout_outcome play() {
        run(calm_time);
        begin_rollout();
        run(settings.time_limit + 8s);
        return outcome;
    }
    void begin_rollout() {
        for (std::size_t i = 0; i < settings.targets; ++i)
            add_target("b-" + std::to_string(i), "v2");
        ordered_ = now;
        contents_.rollouts["app"] = {"app", "v2", settings.time_limit, {0, ++revision_}};
        publish();
    }
    void run(duration time) {
        for (const time_point end = now + time; now < end;) {
            now += step;
            submit_due();
            advance();
        }
    }
    /// The router loses its state and starts anew.
    void restart(std::size_t index) {
        const auto& old = *routers[index];
        auto fresh =
            std::make_unique<test_router>(old.state.settings.report_address, old.state.settings.data_centre);
        fresh->state.settings.seeds = old.state.settings.seeds;
        fresh->state.settings.incarnation = old.state.settings.incarnation + 1;
        fresh->state.store_up = true;
        fresh->now = now;
        routers[index] = std::move(fresh);
        std::erase_if(running_, [&](const auto& entry) { return entry.first.first == index; });
        publish();
    }

    /// All connections to targets of the new version break, as when the way to them fails. Returns their
    /// number.
    std::size_t break_new_connections() {
        std::vector<std::pair<std::size_t, std::uint64_t>> broken;
        for (const auto& [key, running] : running_) {
            if (running.is_new) broken.push_back(key);
        }
        for (const auto& key : broken) {
            std::uint32_t& load = load_[running_.at(key).target];
            load -= std::min(load, 1U);
            running_.erase(key);
            process(key.first, response_end{key.second, send_result::broken});
        }
        return broken.size();
    }

    rollout_fleet_settings settings;
    rollout_outcome outcome;
    std::vector<std::unique_ptr<test_router>> routers;
    random_source random{1};
    time_point now{1000s};

    static constexpr duration calm_time = 3s;

private:
    static constexpr duration step = 5ms;
    static constexpr std::size_t bad_responses_until_end = 50;
    static constexpr duration rollback_time = 5s;

    struct running_request {
        std::string target;
        bool is_new{};
        bool fails{};
        bool is_slow{};
    };
    struct planned_response {
        time_point at{};
        std::size_t router{};
        std::uint64_t send{};
        friend bool operator>(const planned_response& a, const planned_response& b) { return a.at > b.at; }
    };
    struct planned_report {
        time_point at{};
        std::size_t router{};
        std::shared_ptr<const router_report> report;
    };

    void add_target(const std::string& id, const std::string& version) {
        target_entry entry = make_target(id, "app", settings.slots);
        entry.version = version;
        contents_.targets[id] = entry;
    }
    void publish() {
        ++revision_;
        for (const auto& router : routers) {
            router->now = now;
            router->position.revision = revision_;
            router->publish(contents_);
        }
    }
    void submit_due() {
        for (const route_rate& route : settings.routes) {
            owed_[route.name] += route.per_s * to_seconds(step);
            // Exponential gaps.
            while (owed_[route.name] > next_gap_[route.name]) {
                owed_[route.name] -= next_gap_[route.name];
                next_gap_[route.name] = -std::log(1 - random.next_unit());
                submit(route.name);
            }
        }
    }
    void submit(const std::string& route) {
        const std::size_t index = random.next() % routers.size();
        test_router& router = *routers[index];
        request_arrived event = router.request_for(route + "/x");
        event.attempt = "attempt-" + std::to_string(++attempts_);
        event.body = "body-" + std::to_string(attempts_);
        event.remaining = 4s;
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
            start(index, *sent);
        } else if (std::holds_alternative<reply_refused>(item)) {
            outcome.refused += ordered_ != time_point{} ? 1 : 0;
        } else if (const auto* report = std::get_if<send_report>(&item)) {
            for (std::size_t i = 0; i < routers.size(); ++i) {
                const std::string& address = routers[i]->state.settings.report_address;
                if (i != index && std::ranges::find(report->addresses, address) != report->addresses.end())
                    reports_.push_back({now + settings.report_delay, i, report->report});
            }
        } else if (const auto* written = std::get_if<write_rollout_status>(&item)) {
            write_status(written->status);
        }
    }
    void write_status(const rollout_status& status) {
        if (outcome.phase != rollout_phase::running) return;
        outcome.phase = status.phase;
        outcome.ended_at = to_seconds(now - ordered_) / to_seconds(settings.time_limit);
        contents_.rollout_states["app"] = {status.version, status.phase, {0, revision_ + 1}};
        if (status.phase != rollout_phase::running) {
            const std::string stopped = status.phase == rollout_phase::completed ? "v1" : "v2";
            std::erase_if(contents_.targets, [&](const auto& e) { return e.second.version == stopped; });
        }
        publish_due_ = true;
    }
    void start(std::size_t index, const send_request& sent) {
        const bool is_new = sent.target.starts_with("b-");
        const std::string& route = sent.content->route.name;
        const version_flaw& flaw = settings.flaw;
        std::uint32_t& load = load_[sent.target];
        const bool flawed = is_new && (flaw.route.empty() || flaw.route == route) &&
                            now - ordered_ >= flaw.from && load >= flaw.min_load * settings.slots;
        const bool is_bad = flawed && random.next_unit() < flaw.failing;
        const bool is_slow = flawed && random.next_unit() < flaw.slow;
        const bool fails = is_bad || random.next_unit() < settings.failing;
        double normal = -6; // approximately a standard normal deviate
        for (int i = 0; i < 12; ++i)
            normal += random.next_unit();
        const double ms =
            settings.response_ms * std::exp(settings.spread * normal) * (is_slow ? flaw.slow_factor : 1.0);
        ++load;
        if (ordered_ != time_point{} && now < ordered_ + settings.time_limit) {
            ++outcome.reached;
            outcome.exposed += is_new ? 1 : 0;
        }
        if (is_new && bad_at_ != time_point{} && now > bad_at_ + rollback_time) ++outcome.late_requests;
        running_[{index, sent.send_id}] = {sent.target, is_new, fails, is_bad || is_slow};
        responses_.push({now + duration{static_cast<std::int64_t>(ms * 1000)}, index, sent.send_id});
    }
    void advance() {
        const auto due = std::ranges::stable_partition(
            reports_, [&](const planned_report& report) { return report.at > now; });
        const std::vector<planned_report> arrived{due.begin(), due.end()};
        reports_.erase(due.begin(), due.end());
        for (const planned_report& report : arrived)
            process(report.router, report_received{*report.report});
        while (!responses_.empty() && responses_.top().at <= now) {
            const planned_response response = responses_.top();
            responses_.pop();
            respond(response);
        }
        for (std::size_t i = 0; i < routers.size(); ++i) {
            router_state& state = routers[i]->state;
            if (state.timer_armed && state.timer_at <= now) process(i, timer_fired{});
        }
        if (std::exchange(publish_due_, false)) publish();
        if (now - confirmed_at_ >= 400ms) {
            confirmed_at_ = now;
            for (const auto& router : routers) {
                router->now = now;
                router->confirm_now();
            }
        }
    }
    void respond(const planned_response& response) {
        const auto found = running_.find({response.router, response.send});
        if (found == running_.end()) return;
        const running_request done = found->second;
        running_.erase(found);
        std::uint32_t& load = load_[done.target];
        load -= std::min(load, 1U);
        if (done.is_slow && ++outcome.bad_responses == bad_responses_until_end) bad_at_ = now;
        test_router& router = *routers[response.router];
        process(response.router, router.head(response.send, done.fails ? 500 : 200));
        process(response.router, response_data{response.send, "x"});
        process(response.router, response_end{response.send, send_result::complete});
    }

    catalog contents_;
    std::uint64_t revision_{1};
    bool publish_due_{};
    std::uint64_t attempts_{};
    std::map<std::string, double> owed_;
    std::map<std::string, double> next_gap_;
    std::map<std::string, std::uint32_t> load_;                                // running requests by target
    std::map<std::pair<std::size_t, std::uint64_t>, running_request> running_; // by router and send
    std::priority_queue<planned_response, std::vector<planned_response>, std::greater<>> responses_;
    std::vector<planned_report> reports_;
    time_point confirmed_at_{};
    time_point ordered_{};
    time_point bad_at_{}; // the 50th bad response
};

} // namespace damaskhill::direct
