// Duties of direct routers on virtual time: several routers, a store that can be restored, and the platform's
// side of usage reports.
//
// Index of this file:
// [SECTION] Fleet
// [SECTION] Without duties
// [SECTION] True time
// [SECTION] Usage reports
// [SECTION] Platform's formats

#include "damaskhill_impl_thrift.hpp"
#include "damaskhill_platform_duties.hpp"
#include "direct_fixture.hpp"
#include "duty_store.hpp"

#include <boost/test/unit_test.hpp>

using namespace damaskhill;
using namespace damaskhill::direct;

namespace {

//-----------------------------------------------------------------------------
// [SECTION] Fleet
//-----------------------------------------------------------------------------

struct accepted_report {
    std::uint64_t token{};
    fixed_window content;
    time_point at{};
};

struct duty_fleet {
    std::vector<std::unique_ptr<test_router>> routers;
    std::vector<bool> cut_from_platform;
    std::vector<bool> down;
    duty_store store;
    std::vector<accepted_report> reports;
    std::size_t conflicts{}; // two reports of one window with different counts
    std::uint64_t highest_token{};
    time_point now{1'000'000s};
    duration true_offset{500'000s}; // of true time to the routers' clock
    bool platform_loses_answers{};

    explicit duty_fleet(std::size_t count, bool with_duties = true) {
        for (std::size_t i = 0; i < count; ++i) {
            auto router = std::make_unique<test_router>("127.0.0.1:" + std::to_string(7001 + i));
            router_settings settings = router->state.settings;
            settings.name = "front-" + std::to_string(i);
            if (with_duties) settings.duties = duty_settings{};
            router->state = router_state{settings};
            router->now = now;
            router->position = {store.era, 1};
            router->publish(make_catalog());
            router->confirm_now();
            router->process(store_reachable{true});
            routers.push_back(std::move(router));
        }
        for (auto& from : routers) {
            for (auto& to : routers)
                if (from != to) from->state.peers.try_emplace(to->state.settings.report_address);
        }
        cut_from_platform.resize(count);
        down.resize(count);
    }
    [[nodiscard]] time_point true_time() const { return now + true_offset; }
    void perform(std::size_t i) {
        const direct::effects list = std::exchange(routers[i]->out, {});
        for (const direct::effect& item : list) {
            if (const auto* call = std::get_if<duty_store_call>(&item)) {
                routers[i]->process(store.run(*call, now));
            } else if (const auto* duty = std::get_if<duty_call>(&item)) {
                if (cut_from_platform[i]) continue;
                const std::uint32_t status = carry_out(*duty);
                if (!platform_loses_answers) routers[i]->process(duty_call_answered{duty->id, status});
            } else if (const auto* report = std::get_if<send_report>(&item)) {
                deliver(i, *report);
            }
        }
    }
    void deliver(std::size_t from, const send_report& sent) {
        failure error;
        const auto copy = decode_report(encode_report(*sent.report), error);
        BOOST_REQUIRE(copy.has_value());
        for (std::size_t to = 0; to < routers.size(); ++to) {
            const bool is_addressed =
                std::ranges::find(sent.addresses, routers[to]->state.settings.report_address) !=
                sent.addresses.end();
            if (to != from && !down[to] && is_addressed) routers[to]->process(report_received{*copy});
        }
    }
    std::uint32_t carry_out(const duty_call& call) {
        if (call.token < highest_token) return 409;
        highest_token = call.token;
        const auto* usage = std::get_if<fixed_window>(&call.content);
        if (usage == nullptr) return 200;
        for (const accepted_report& item : reports)
            if (item.content.window == usage->window && !(item.content == *usage)) ++conflicts;
        reports.push_back({call.token, *usage, now});
        return 200;
    }
    void run_for(duration time, duration wall_error_of_first = 0s) {
        for (const time_point end = now + time; now < end;) {
            now += 20ms;
            for (std::size_t i = 0; i < routers.size(); ++i) {
                if (down[i]) continue;
                routers[i]->now = now;
                if (now.time_since_epoch() % 1s == 0s)
                    routers[i]->process(
                        wall_clock_read{true_time() + (i == 0 ? wall_error_of_first : duration{0})});
                if (now.time_since_epoch() % 200ms == 0ms) routers[i]->confirm_now();
                routers[i]->process(timer_fired{});
                perform(i);
            }
        }
    }
    /// Runs one request to its first byte at a router.
    void serve(std::size_t i) {
        routers[i]->now = now;
        routers[i]->out.clear();
        routers[i]->submit_request("order");
        const auto sent = routers[i]->last<send_request>();
        BOOST_REQUIRE(sent.has_value());
        routers[i]->process(routers[i]->head(sent->send_id));
        routers[i]->process(response_data{sent->send_id, "x"});
        routers[i]->process(response_end{sent->send_id});
        routers[i]->out.clear();
    }
    [[nodiscard]] std::optional<std::size_t> holder() const {
        for (std::size_t i = 0; i < routers.size(); ++i) {
            if (!down[i] && may_call(routers[i]->state.duties->holder, now)) return i;
        }
        return std::nullopt;
    }
    [[nodiscard]] std::uint64_t window() const { return usage_window_at(5s, true_time()); }
    [[nodiscard]] std::optional<accepted_report> report_of(std::uint64_t number) const {
        const auto found = std::ranges::find_if(
            reports, [&](const accepted_report& item) { return item.content.window == number; });
        return found == reports.end() ? std::nullopt : std::optional{*found};
    }
    void start_window() {
        while (true_time().time_since_epoch() % 5s != 100ms)
            run_for(20ms);
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(direct_duties)

//-----------------------------------------------------------------------------
// [SECTION] Without duties
//-----------------------------------------------------------------------------

// Guards against calls and bytes on the wire where the settings ask for no duties.
BOOST_AUTO_TEST_CASE(no_settings_no_duties) {
    duty_fleet f{2, false};
    for (int i = 0; i < 500; ++i) {
        f.now += 20ms;
        test_router& router = *f.routers[0];
        router.now = f.now;
        router.process(wall_clock_read{f.true_time()});
        router.process(timer_fired{});
        BOOST_TEST(!router.has<duty_store_call>());
        BOOST_TEST(!router.has<duty_call>());
        for (const send_report& sent : router.take<send_report>()) {
            BOOST_TEST(!sent.report->duty_holder.has_value());
            BOOST_TEST(sent.report->wall_us == 0U);
            BOOST_TEST(!sent.report->duty.has_value());
        }
    }
    BOOST_TEST(!f.routers[0]->state.duties.has_value());
}

//-----------------------------------------------------------------------------
// [SECTION] True time
//-----------------------------------------------------------------------------

// Guards against an estimate that follows the clocks that have been stepped.
BOOST_AUTO_TEST_CASE(true_time_with_a_third_of_the_clocks_stepped) {
    clock_offsets clocks;
    const time_point now{100s};
    BOOST_TEST(!true_time_offset(clocks, now).has_value());
    for (int i = 0; i < 9; ++i) {
        const duration error = i == 0 ? 60s : i == 1 ? -60s : i == 2 ? 60s : 1ms * i;
        note_clock(clocks, "r" + std::to_string(i), now + 1000s + error, now);
    }
    BOOST_REQUIRE(true_time_offset(clocks, now).has_value());
    BOOST_TEST((*true_time_offset(clocks, now) - 1000s <= 10ms));
    BOOST_TEST((*true_time_offset(clocks, now) >= 1000s));
    BOOST_TEST(!true_time_offset(clocks, now + 21s).has_value());
}

//-----------------------------------------------------------------------------
// [SECTION] Usage reports
//-----------------------------------------------------------------------------

// Guards against a window that is not reported, is late, or lacks requests of any router.
BOOST_AUTO_TEST_CASE(window_is_reported_with_the_counts_of_all_routers) {
    duty_fleet f{3};
    f.run_for(12s);
    BOOST_REQUIRE(f.holder().has_value());
    f.start_window();
    const std::uint64_t window = f.window();
    for (std::size_t i = 0; i < 3; ++i) {
        for (std::size_t n = 0; n <= i; ++n)
            f.serve(i);
    }
    f.run_for(9s);
    const auto report = f.report_of(window);
    BOOST_REQUIRE(report.has_value());
    BOOST_TEST(report->content.counts.at("team-1") == 6U);
    const auto following = f.report_of(window - 1);
    BOOST_REQUIRE(following.has_value());
    BOOST_TEST(following->content.counts.empty());
    BOOST_TEST(f.conflicts == 0U);
}

// Guards against windows that shift with the wall clock of one VM.
BOOST_AUTO_TEST_CASE(stepped_clock_of_one_router_changes_no_window) {
    duty_fleet f{3};
    f.run_for(12s, 60s);
    f.start_window();
    const std::uint64_t window = f.window();
    f.serve(0);
    f.run_for(9s, -60s);
    const auto report = f.report_of(window);
    BOOST_REQUIRE(report.has_value());
    BOOST_TEST(report->content.counts.at("team-1") == 1U);
}

// Guards against other counts from a successor, and against counts that are lost with the holder.
BOOST_AUTO_TEST_CASE(holder_lost_at_the_end_of_a_window) {
    for (const duration after : {0ms, 1000ms, 1600ms, 2200ms, 3000ms}) {
        duty_fleet f{3};
        f.run_for(12s);
        const auto first = f.holder();
        BOOST_REQUIRE(first.has_value());
        f.start_window();
        const std::uint64_t window = f.window();
        const std::size_t other = (*first + 1) % 3;
        f.serve(other);
        f.serve(other);
        f.platform_loses_answers = true;
        f.run_for(4900ms + after);
        f.down[*first] = true;
        f.run_for(1s);
        f.platform_loses_answers = false;
        f.run_for(12s);
        BOOST_REQUIRE(f.holder().has_value());
        BOOST_TEST(f.holder().value() != *first);
        const auto report = f.report_of(window);
        BOOST_REQUIRE(report.has_value());
        BOOST_TEST(report->content.counts.at("team-1") == 2U);
        BOOST_TEST((report->at + f.true_offset <= usage_window_end(5s, window) + 10s));
        BOOST_TEST(f.conflicts == 0U);
    }
}

// Guards against a report of a window that an earlier holder may have sent, after the store has lost its
// counts.
BOOST_AUTO_TEST_CASE(restored_store_changes_no_reported_window) {
    duty_fleet f{3};
    f.run_for(6s);
    f.store.saved = f.store.contents;
    f.run_for(14s);
    const auto first = f.holder();
    BOOST_REQUIRE(first.has_value());
    const std::size_t reported = f.reports.size();
    BOOST_TEST(reported > 0U);
    f.store.restore();
    f.down[*first] = true;
    for (auto& router : f.routers) {
        router->position = {f.store.era, 1};
        router->now = f.now;
        router->publish(make_catalog());
    }
    f.serve((*first + 1) % 3);
    f.run_for(25s);
    BOOST_REQUIRE(f.holder().has_value());
    BOOST_TEST(f.reports.size() > reported);
    BOOST_TEST(f.conflicts == 0U);
}

// Guards against a report that is given up when the platform does not answer, and against one that differs
// when it is repeated.
BOOST_AUTO_TEST_CASE(holder_cut_from_the_platform_repeats_its_reports) {
    duty_fleet f{3};
    f.run_for(12s);
    const auto first = f.holder();
    BOOST_REQUIRE(first.has_value());
    f.start_window();
    const std::uint64_t window = f.window();
    f.serve(1);
    f.cut_from_platform[*first] = true;
    f.run_for(8s);
    BOOST_TEST(!f.report_of(window).has_value());
    f.cut_from_platform[*first] = false;
    f.run_for(5s);
    BOOST_REQUIRE(f.report_of(window).has_value());
    BOOST_TEST(f.conflicts == 0U);
}

// Guards against a text of another program that is read as counts.
BOOST_AUTO_TEST_CASE(fixed_windows_round_trip) {
    const std::map<std::uint64_t, fixed_window> windows{{7, {7, {{"a b", 1}, {"c", 20}}}}, {8, {8, {}}}};
    const auto decoded = decode_fixed_windows(encode_fixed_windows(windows));
    BOOST_REQUIRE(decoded.has_value());
    BOOST_TEST((*decoded == windows));
    for (const char* text : {"7", "7 \n", "7 1\n", "7 x\n", "7 1\n1\n", "7 1\n1 a", "7 99999999999\n1 a\n"})
        BOOST_TEST(!decode_fixed_windows(text).has_value());
}

//-----------------------------------------------------------------------------
// [SECTION] Platform's formats
//-----------------------------------------------------------------------------

// Guards against calls that the platform cannot read.
BOOST_AUTO_TEST_CASE(calls_have_the_platforms_format) {
    duty_call call{1, "10.0.0.1:80", "front-1", 12, {}, fixed_window{353'445'120, {{"b", 2}, {"a", 1}}}};
    platform::json_call request = platform::encode_duty_call(call);
    BOOST_TEST(request.head.starts_with("POST /usage HTTP/1.1\r\n"));
    BOOST_TEST(
        (request.head.find("\r\nDamaskhill-Duty-Holder: front-1\r\nDamaskhill-Fencing-Token: 12\r\n") !=
         std::string::npos));
    BOOST_TEST(request.body == R"({"counts":{"a":1,"b":2},"windowId":353445120})");
    call.content = target_count_order{"lm", "dc-a", 6};
    request = platform::encode_duty_call(call);
    BOOST_TEST(request.head.starts_with("POST /scale HTTP/1.1\r\n"));
    BOOST_TEST(request.body == R"({"desired":6,"service":"lm","zone":"dc-a"})");
    duty_store_call write{1, duty_store_action::write, "duties/holder", "v", 9, {{"duties/holder", 3}}, {}};
    request = platform::encode_store_call(write, "10.0.0.2:80");
    BOOST_TEST(
        request.body ==
        R"({"delete":[],"expectedRev":[{"key":"duties/holder","rev":3}],"setKeys":[{"key":"duties/holder","lease":9,"value":"dg=="}]})");
}

// Guards against answers without the expected members that count as a success.
BOOST_AUTO_TEST_CASE(incomplete_answers_are_failures) {
    duty_store_call call;
    for (const auto action :
         {duty_store_action::create_lease, duty_store_action::write, duty_store_action::read}) {
        call.action = action;
        for (const char* body : {"{}", R"({"rev":"7"})", R"({"rev":-1})", R"({"lease":0,"ttlMs":3000})",
                                 R"({"value":"dg=="})", R"({"value":"%","rev":0})"})
            BOOST_TEST(platform::decode_store_answer(call, {200, json::parse(body), 1}).status == 0U);
    }
    call.action = duty_store_action::read;
    const json without_text = json::parse(R"({"value":1,"rev":3})");
    BOOST_TEST(platform::decode_store_answer(call, {200, without_text, 1}).status == 0U);
    const auto read =
        platform::decode_store_answer(call, {200, json::parse(R"({"value":"dg==","rev":4,"lease":2})"), 5});
    BOOST_REQUIRE(read.item.has_value());
    BOOST_TEST(read.item->value == "v");
    BOOST_TEST(read.item->revision == 4U);
    BOOST_TEST(read.era == 5U);
}

BOOST_AUTO_TEST_SUITE_END()
