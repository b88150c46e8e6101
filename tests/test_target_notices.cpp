// What targets say of themselves in their responses, against a simulated fleet of routers on virtual time.
//
// Index of this file:
// [SECTION] Simulated fleet
// [SECTION] Limits
// [SECTION] Leaving targets
// [SECTION] Rest

#include "direct_fixture.hpp"

#include <boost/test/unit_test.hpp>

#include <deque>
#include <map>

using namespace damaskhill;
using namespace damaskhill::direct;

namespace {

//-----------------------------------------------------------------------------
// [SECTION] Simulated fleet
//-----------------------------------------------------------------------------

constexpr duration step = 20ms;
constexpr const char* limited_target = "e-1";

struct open_answer {
    test_router* router{};
    std::uint64_t send_id{};
    std::string target;
    time_point due{};
};

/// Routers that report to each other, and two engines. One of them may name a limit.
struct notice_fleet {
    std::vector<std::unique_ptr<test_router>> routers;
    std::deque<open_answer> answers;
    std::vector<time_point> arrivals; // at the limited target
    std::vector<time_point> informed; // of these, those from routers that it had told of its limit
    std::map<const test_router*, time_point> told_at;
    response_notices notices; // in the responses of the limited target
    time_point now{1000s};

    explicit notice_fleet(std::size_t count) {
        for (std::size_t i = 0; i < count; ++i)
            add_router(i);
    }
    void add_router(std::size_t index) {
        auto router = std::make_unique<test_router>("10.0.0." + std::to_string(index + 1) + ":7");
        router->state.settings.seeds = {"10.0.0.1:7"};
        router->now = now;
        if (index < routers.size())
            routers[index] = std::move(router);
        else
            routers.push_back(std::move(router));
    }
    /// A router that starts again and knows nothing.
    void restart(std::size_t index) {
        std::erase_if(answers, [&](const open_answer& open) { return open.router == routers[index].get(); });
        told_at.erase(routers[index].get());
        add_router(index);
        routers[index]->state.settings.incarnation += 1;
    }
    void record_arrival(const test_router& router) {
        // Requests that are under way when the router hears of the limit do not count.
        constexpr duration allowed_delay = 500ms;
        arrivals.push_back(now);
        const auto told = told_at.find(&router);
        if (told != told_at.end() && now - told->second >= allowed_delay) informed.push_back(now);
    }
    void handle_effects() {
        for (const auto& router : routers) {
            direct::effects out;
            out.swap(router->out);
            for (const direct::effect& item : out) {
                if (const auto* sent = std::get_if<send_request>(&item)) {
                    if (sent->target == limited_target) record_arrival(*router);
                    answers.push_back({router.get(), sent->send_id, sent->target, now + 60ms});
                }
                const auto* report = std::get_if<send_report>(&item);
                if (report == nullptr) continue;
                for (const auto& to : routers) {
                    if (std::ranges::find(report->addresses, to->state.settings.report_address) !=
                        report->addresses.end())
                        to->process(report_received{*report->report});
                }
            }
        }
    }
    void answer_due() {
        while (!answers.empty() && answers.front().due <= now) {
            const open_answer open = answers.front();
            answers.pop_front();
            response_head head = open.router->head(open.send_id);
            if (open.target == limited_target) head.notices = notices;
            if (head.notices.limit_per_s) told_at.try_emplace(open.router, now);
            open.router->process(head);
            open.router->process(response_data{open.send_id, "id: 1\ndata: x\n\n"});
            open.router->process(response_end{open.send_id, send_result::complete});
        }
    }
    /// Each of the routers from `first` to `last` submits a request each 40 ms.
    void run_for(duration time, std::size_t first, std::size_t last) {
        for (const time_point end = now + time; now < end;) {
            now += step;
            for (const auto& router : routers) {
                router->now = now;
                router->confirm_now();
                router->process(timer_fired{});
            }
            answer_due();
            const bool submits = now.time_since_epoch() / step % 2 == 0;
            for (std::size_t i = first; submits && i < last; ++i)
                routers[i]->submit_request("chat");
            for (int hop = 0; hop < 3; ++hop)
                handle_effects();
        }
    }
    void run_all(duration time) { run_for(time, 0, routers.size()); }
    [[nodiscard]] std::size_t arrivals_between(time_point begin, time_point end) const {
        return static_cast<std::size_t>(
            std::ranges::count_if(arrivals, [&](time_point at) { return begin <= at && at < end; }));
    }
    [[nodiscard]] std::size_t most_arrivals_in(duration window, time_point since) const {
        std::size_t most = 0;
        for (auto first = informed.begin(); first != informed.end(); ++first) {
            if (*first < since) continue;
            const auto end = std::lower_bound(first, informed.end(), *first + window);
            most = std::max(most, static_cast<std::size_t>(end - first));
        }
        return most;
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(target_notices)

//-----------------------------------------------------------------------------
// [SECTION] Limits
//-----------------------------------------------------------------------------

// Guards against routers that each use the whole rate that a target has named for all of them, also while one
// of them starts again, and against leaving the target unused.
BOOST_AUTO_TEST_CASE(routers_share_the_limit_that_a_target_names) {
    constexpr duration contact_time = 3s;
    constexpr duration window = 4s;
    for (const std::size_t count : {std::size_t{2}, std::size_t{40}}) {
        for (const double limit : {0.0, 0.5, 2.5, 8.0}) {
            notice_fleet fleet{count};
            fleet.run_all(2s);
            const time_point named = fleet.now;
            fleet.notices.limit_per_s = limit;
            fleet.run_all(5s);
            fleet.restart(0);
            fleet.run_all(15s);
            const double allowed = 1.5 * limit * to_seconds(window) + 5;
            const auto most = static_cast<double>(fleet.most_arrivals_in(window, named + contact_time));
            const auto used = static_cast<double>(fleet.arrivals_between(fleet.now - 12s, fleet.now));
            BOOST_TEST_CONTEXT(count << " routers, limit " << limit) {
                BOOST_TEST(most <= allowed);
                BOOST_TEST(used >= 0.5 * limit * 12);
            }
        }
    }
}

// Guards against a limit that outlasts its end: the routers that may send hear of it and tell the others.
BOOST_AUTO_TEST_CASE(end_of_a_limit_is_learned) {
    constexpr double limit = 2.5;
    notice_fleet fleet{40};
    fleet.run_all(2s);
    fleet.notices.limit_per_s = limit;
    fleet.run_all(8s);
    fleet.notices.limit_per_s.reset();
    fleet.run_all(8s);
    BOOST_TEST(static_cast<double>(fleet.arrivals_between(fleet.now - 4s, fleet.now)) > 4 * 4 * limit);
}

// Guards against a target that stays unused because only routers that may not send to it have work.
BOOST_AUTO_TEST_CASE(router_of_any_rank_reaches_a_limited_target) {
    notice_fleet fleet{40};
    fleet.run_all(2s);
    fleet.notices.limit_per_s = 2.5;
    fleet.run_all(4s);
    fleet.notices.limit_per_s.reset();
    for (std::size_t i = 0; i < fleet.routers.size(); i += 13) {
        const time_point begin = fleet.now;
        fleet.run_for(30s, i, i + 1);
        BOOST_TEST(fleet.arrivals_between(begin, fleet.now) > 0U);
    }
}

// Guards against taking a limit for a failure, which would eject the target, and against one that outlives
// the start of the target that named it.
BOOST_AUTO_TEST_CASE(limit_ends_with_a_new_start_and_is_no_failure) {
    notice_fleet fleet{2};
    fleet.notices.limit_per_s = 2.5;
    fleet.run_all(4s);
    const target_state& target = fleet.routers[0]->state.targets.at(limited_target);
    BOOST_TEST(target.notices.limit_per_s.has_value());
    BOOST_TEST(target.smoothed_failure_rate == 0.0);
    BOOST_TEST((target.ejected_until == time_point{}));
    catalog contents = make_catalog();
    contents.targets[limited_target].boot = 7;
    contents.targets[limited_target].position = {0, 9};
    fleet.routers[0]->publish(contents);
    BOOST_TEST(!target.notices.limit_per_s.has_value());
}

// Guards against a refusal without a true time to come back: the only target will take the next request
// later.
BOOST_AUTO_TEST_CASE(refusal_names_the_time_of_the_next_send) {
    test_router router;
    catalog contents = make_catalog();
    contents.targets.erase("e-2");
    router.publish(contents);
    router.confirm_now();
    router.submit_request("review");
    const auto sent = router.last<send_request>();
    BOOST_REQUIRE(sent.has_value());
    response_head head = router.head(sent->send_id);
    head.notices.limit_per_s = 0.2;
    router.process(head);
    router.out.clear();
    router.submit_request("review");
    const auto refusal = router.last<reply_refused>();
    BOOST_REQUIRE(refusal.has_value());
    BOOST_TEST(refusal->status == 503U);
    BOOST_REQUIRE(refusal->retry_after.has_value());
    BOOST_TEST((*refusal->retry_after > 2s)); // a third of the time that the caller has, at most
}

//-----------------------------------------------------------------------------
// [SECTION] Leaving targets
//-----------------------------------------------------------------------------

// Guards against new work for a target that has said in an answer that it leaves, by the router that heard it
// and by the others, also while the store says that it is ready; a new start of the target is used again.
BOOST_AUTO_TEST_CASE(target_that_says_it_leaves_gets_no_new_work) {
    notice_fleet fleet{8};
    fleet.run_all(2s);
    fleet.notices.leaving = true;
    fleet.run_all(2s);
    const time_point told = fleet.now;
    for (const auto& router : fleet.routers)
        router->publish(make_catalog());
    fleet.run_all(5s);
    BOOST_TEST(fleet.arrivals_between(told, fleet.now) == 0U);
    fleet.notices = {};
    catalog contents = make_catalog();
    contents.targets[limited_target].boot = 7;
    contents.targets[limited_target].position = {0, 9};
    for (const auto& router : fleet.routers)
        router->publish(contents);
    fleet.run_all(2s);
    BOOST_TEST(fleet.arrivals_between(told, fleet.now) > 0U);
}

// Guards against the loss of the news in a refusal or a failure, which say it too.
BOOST_AUTO_TEST_CASE(refusals_and_failures_tell_of_leaving) {
    for (const bool refused : {true, false}) {
        test_router router;
        router.submit_request("review");
        const auto sent = router.last<send_request>();
        BOOST_REQUIRE(sent.has_value());
        response_head head = router.head(sent->send_id, refused ? 503 : 500);
        head.not_executed = refused;
        head.notices.leaving = true;
        router.process(head);
        BOOST_TEST(router.state.targets.at(sent->target).notices.leaving);
    }
}

//-----------------------------------------------------------------------------
// [SECTION] Rest
//-----------------------------------------------------------------------------

// Guards against requests that reach a target before the time that it has named in a refusal.
BOOST_AUTO_TEST_CASE(target_is_left_alone_until_its_retry_after) {
    test_router router;
    catalog contents = make_catalog();
    contents.targets.erase("e-2");
    router.publish(contents);
    router.confirm_now();
    router.submit_request("review");
    const auto sent = router.last<send_request>();
    BOOST_REQUIRE(sent.has_value());
    response_head head = router.head(sent->send_id, 503);
    head.not_executed = true;
    head.notices.rest = 1500ms;
    router.process(head);
    for (int i = 0; i < 7; ++i) {
        router.out.clear();
        router.submit_request("review");
        BOOST_TEST(!router.has<send_request>());
        router.advance_time(200ms);
        BOOST_TEST(!router.has<send_request>());
        router.confirm_now();
    }
    router.advance_time(300ms);
    router.confirm_now();
    router.out.clear();
    router.submit_request("review");
    BOOST_TEST(router.has<send_request>());
}

BOOST_AUTO_TEST_SUITE_END()
