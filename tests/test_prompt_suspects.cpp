// Parts of prompts that crash engines, against a simulated fleet of routers and engines on virtual time.
//
// Index of this file:
// [SECTION] Tests

#include "crash_fleet.hpp"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <array>
#include <numeric>

using namespace damaskhill;
using namespace damaskhill::direct;

BOOST_AUTO_TEST_SUITE(prompt_suspects)

//-----------------------------------------------------------------------------
// [SECTION] Tests
//-----------------------------------------------------------------------------

// Guards against requests that crash one engine after the other: no two are alike, but they share a part of
// their prompts. Requests that share their other parts must be served.
BOOST_AUTO_TEST_CASE(part_that_crashes_engines_is_quarantined) {
    crash_fleet fleet{4, 8};
    fleet.run_for(8s, [&](std::size_t i) { fleet.submit_sound(i); });
    const double begun_before =
        static_cast<double>(fleet.sound_begun) / static_cast<double>(fleet.sound_sent);
    BOOST_TEST(begun_before > 0.9);
    const auto both = [&](std::size_t i) {
        fleet.submit_sound(i);
        if (i % 5 == 0)
            fleet.submit(*fleet.routers[i / 5 % fleet.routers.size()], {shared_part, crashing_part});
    };
    fleet.run_for(12s, both);
    BOOST_REQUIRE(fleet.crashes.size() >= 5U);
    constexpr duration contact = 3s;
    const time_point fifth = fleet.crashes[4];
    BOOST_TEST((fleet.now - fifth > 2 * contact));
    fleet.sound_sent = 0;
    fleet.sound_begun = 0;
    fleet.run_for(30s, both);
    BOOST_TEST(fleet.crashing_arrivals_after(fifth + contact) <= 3U);
    BOOST_TEST(static_cast<double>(fleet.sound_begun) / static_cast<double>(fleet.sound_sent) >
               begun_before / 2);
}

namespace {

constexpr duration contact_time = 3s;
constexpr std::size_t max_late_arrivals = 3; // after the fifth crash and the contact time

struct late_crash {
    crash_kind kind;
    bool two_parts{};        // half of the crashing requests have another crashing part
    bool engines_fail_too{}; // for other reasons
    bool routers_restart{};
};

std::ostream& operator<<(std::ostream& out, const late_crash& late) {
    return out << "delay " << *late.kind.delay / 1ms << " ms, end " << static_cast<int>(late.kind.end)
               << (late.two_parts ? ", two parts" : "") << (late.engines_fail_too ? ", other failures" : "")
               << (late.routers_restart ? ", routers restart" : "");
}

std::vector<late_crash> late_crashes() {
    constexpr duration answer_time = 3500ms;
    std::vector<late_crash> kinds;
    const auto add = [&](duration delay, crash_end end) -> late_crash& {
        kinds.push_back({{crash_point::before_head, end, "chat", delay, answer_time}});
        return kinds.back();
    };
    for (const duration delay : {duration{0ms}, duration{100ms}, duration{300ms}, duration{400ms},
                                 duration{500ms}, duration{1500ms}, duration{3000ms}, answer_time - step}) {
        for (const crash_end end : {crash_end::reset, crash_end::orderly, crash_end::silent})
            add(delay, end);
        add(delay, crash_end::reset).two_parts = true;
        add(delay, crash_end::reset).engines_fail_too = true;
        add(delay, crash_end::reset).routers_restart = true;
    }
    return kinds;
}

} // namespace

// Guards against a part that crashes engines at any time of the answer and is never found, and against
// refusing the sound requests whose streams break in the same crashes.
BOOST_DATA_TEST_CASE(part_that_crashes_engines_late_is_quarantined,
                     boost::unit_test::data::make(late_crashes()), late) {
    crash_fleet fleet{4, 12, late.kind};
    const auto sound = [&](std::size_t i) {
        if (i % 2 == 0) fleet.submit_sound_with_session(i / 2);
    };
    const auto both = [&](std::size_t i) {
        sound(i);
        if (i % 25 == 0) {
            const bool second = late.two_parts && i % 50 == 0;
            fleet.submit(*fleet.routers[i / 25 % fleet.routers.size()],
                         {shared_part, 100 + i % 4, second ? second_crashing_part : crashing_part});
        }
        simulated_engine& other = fleet.engines[i / 75 % fleet.engines.size()];
        if (late.engines_fail_too && i % 75 == 12 && !other.crashed_at) {
            other.crashed_at = fleet.now;
            fleet.break_connections(other);
        }
        if (late.routers_restart && i % 400 == 200) fleet.restart_router(i / 400 % fleet.routers.size());
    };
    fleet.run_for(8s, sound);
    const double begun_before =
        static_cast<double>(fleet.sound_begun) / static_cast<double>(fleet.sound_sent);
    BOOST_TEST(begun_before > 0.9);
    fleet.run_for(12s, both);
    BOOST_REQUIRE(fleet.crashes.size() >= 3U);
    const time_point fifth = fleet.crashes[std::min<std::size_t>(fleet.crashes.size(), 5) - 1];
    fleet.sound_sent = 0;
    fleet.sound_begun = 0;
    fleet.run_for(30s, both);
    const auto allowed = late.two_parts ? 2 * max_late_arrivals : max_late_arrivals;
    BOOST_TEST(fleet.crashing_arrivals_after(fifth + contact_time) <= allowed);
    BOOST_TEST(static_cast<double>(fleet.sound_begun) / static_cast<double>(fleet.sound_sent) >
               begun_before / 2);
}

namespace {

/// How callers write the crashing part, and what else their requests hold.
struct written_part {
    const char* name{};
    std::size_t models{1};
    bool sound_names_models{true};
    std::string part{"d00d0001:100"};
    std::string after;       // further parts
    std::string last{":40"}; // behind the id of the request's own part
};

std::ostream& operator<<(std::ostream& out, const written_part& written) { return out << written.name; }

std::vector<written_part> written_parts() {
    return {{.name = "one model"},
            {.name = "two models", .models = 2},
            {.name = "eight models", .models = 8},
            {.name = "24 models", .models = 24},
            {.name = "eight models, others without a model", .models = 8, .sound_names_models = false},
            {.name = "blanks", .models = 8, .part = " d00d0001 : 100"},
            {.name = "last part without a readable size", .last = ":many"},
            {.name = "last part without a size", .models = 2, .last = ""},
            {.name = "part without a readable size", .models = 2, .part = "d00d0001:"},
            {.name = "list with empty elements", .models = 2, .part = ",d00d0001:100,", .last = ":40,"}};
}

} // namespace

// Guards against a part that counts as another one with each model, or is not accused because of how a caller
// writes the prompt.
BOOST_DATA_TEST_CASE(part_is_the_same_in_all_requests, boost::unit_test::data::make(written_parts()),
                     written) {
    crash_fleet fleet{4, 8};
    const auto submit = [&](std::size_t i, std::size_t router, const std::string& middle, std::size_t models,
                            bool crashes) {
        const std::string model = models == 0 ? "" : "m" + std::to_string(i % models);
        const std::string own = "r" + std::to_string(i) + (crashes ? "x" + written.last : ":40");
        fleet.submit_text(*fleet.routers[router % fleet.routers.size()], "5c1e0000:200," + middle + own,
                          model, crashes);
    };
    const auto both = [&](std::size_t i) {
        const std::size_t models = written.sound_names_models ? written.models : 0;
        submit(i, i, "a" + std::to_string(i % 7) + ":80,", models, false);
        if (i % 25 == 0) submit(i / 25, i / 25, written.part + "," + written.after, written.models, true);
    };
    fleet.run_for(16s, both);
    BOOST_REQUIRE(fleet.crashes.size() >= 3U);
    const time_point fifth = fleet.crashes[std::min<std::size_t>(fleet.crashes.size(), 5) - 1];
    fleet.sound_sent = 0;
    fleet.sound_begun = 0;
    fleet.run_for(20s, both);
    BOOST_TEST(fleet.crashing_arrivals_after(fifth + contact_time) <= max_late_arrivals);
    BOOST_TEST(static_cast<double>(fleet.sound_begun) > 0.9 * static_cast<double>(fleet.sound_sent));
}

// Guards against a part that crashes engines with one model and is acquitted by the answers of others, and
// against refusing these.
BOOST_AUTO_TEST_CASE(part_that_crashes_with_one_model_is_quarantined_for_that_model) {
    crash_fleet fleet{4, 8};
    const auto both = [&](std::size_t i) {
        const bool is_crashing = i % 25 == 0;
        const std::string model = is_crashing ? "m0" : "m" + std::to_string(1 + i % 3);
        fleet.submit_text(*fleet.routers[i / (is_crashing ? 25 : 1) % fleet.routers.size()],
                          "5c1e0000:200,d00d0001:100,r" + std::to_string(i) + ":40", model, is_crashing);
    };
    fleet.run_for(16s, both);
    BOOST_REQUIRE(fleet.crashes.size() >= 3U);
    const time_point fifth = fleet.crashes[std::min<std::size_t>(fleet.crashes.size(), 5) - 1];
    fleet.sound_sent = 0;
    fleet.sound_begun = 0;
    fleet.run_for(20s, both);
    BOOST_TEST(fleet.crashing_arrivals_after(fifth + contact_time) <= max_late_arrivals);
    BOOST_TEST(static_cast<double>(fleet.sound_begun) > 0.9 * static_cast<double>(fleet.sound_sent));
}

// Guards against refusing the sound requests of every account after a failure of many engines at once, which
// accuses all parts in use, and after connections that broke while the engine lived on.
BOOST_AUTO_TEST_CASE(engine_failures_quarantine_no_sound_part) {
    crash_fleet fleet{4, 8};
    const auto sound = [&](std::size_t i) { fleet.submit_sound(i); };
    fleet.run_for(8s, sound);
    for (std::size_t i = 0; i < 5; ++i)
        fleet.crash(fleet.engines[i]);
    fleet.run_for(1s, sound);
    fleet.sound_sent = 0;
    fleet.sound_begun = 0;
    fleet.run_for(10s, sound);
    BOOST_TEST(static_cast<double>(fleet.sound_begun) > 0.9 * static_cast<double>(fleet.sound_sent));
    for (const auto& router : fleet.routers)
        BOOST_TEST(router->state.suspects.quarantined.empty());
    for (int i = 0; i < 10; ++i) {
        for (simulated_engine& engine : fleet.engines) {
            std::vector<open_send> broken;
            broken.swap(engine.sends);
            for (const open_send& open : broken)
                open.router->process(response_end{open.send_id, send_result::broken});
        }
        fleet.run_for(600ms, sound);
    }
    for (const auto& router : fleet.routers)
        BOOST_TEST(router->state.suspects.crashes.size() <= 5U); // those of the failed engines
}

// Guards against a quarantine that hits a sound part because it was in every bad request: the sound requests
// that lack the bad part are tried and acquit it.
BOOST_AUTO_TEST_CASE(sound_companion_is_acquitted) {
    const prompt_suspect_settings settings;
    damaskhill::prompt_suspects suspects;
    const time_point start{100s};
    for (std::uint64_t i = 0; i < 3; ++i) {
        const time_point at = start + static_cast<int>(i) * 400ms;
        add_crashes(suspects, settings, {{i, at, {{{1, 2}}}, {}}}, at);
    }
    const time_point now = start + 1s;
    const auto verdict = [&](const prompt_parts& parts) {
        return judge_prompt(suspects, settings, parts, now).verdict;
    };
    BOOST_TEST((verdict({1, 2}) == prompt_verdict::quarantined));
    BOOST_TEST((verdict({1, 3}) == prompt_verdict::one_per_router));
    add_answer(suspects, settings, std::array<std::uint64_t, 2>{1, 3}, answer_evidence::begun, now, true);
    BOOST_TEST((verdict({1, 3}) == prompt_verdict::clear));
    BOOST_TEST((verdict({2}) == prompt_verdict::quarantined));
}

// Guards against a quarantine without an end, and against one that starts again because routers tell each
// other of the same crash with growing ages.
BOOST_AUTO_TEST_CASE(quarantine_ends_and_is_probed_once) {
    const prompt_suspect_settings settings;
    damaskhill::prompt_suspects suspects;
    time_point now{100s};
    for (std::uint64_t i = 0; i < 3; ++i, now += 400ms)
        add_crashes(suspects, settings, {{i, now, {{{7}}}, {}}}, now);
    quarantined_part from_peer = suspects.quarantined.at(7);
    const time_point end = quarantine_end(from_peer, settings);
    BOOST_TEST((end > now && end < now + 2min));
    from_peer.last_crash += 200ms; // delay of the reports
    add_quarantine(suspects, settings, 7, from_peer, now);
    BOOST_TEST((quarantine_end(suspects.quarantined.at(7), settings) == end));
    const prompt_parts parts{7};
    BOOST_TEST((judge_prompt(suspects, settings, parts, end).verdict == prompt_verdict::one_per_fleet));
    add_crashes(suspects, settings, {{9, end + 1s, {{{7}}}, {}}}, end + 1s);
    BOOST_TEST((quarantine_end(suspects.quarantined.at(7), settings) > end + 1min));
    expire_suspects(suspects, settings, end + 1h);
    BOOST_TEST((judge_prompt(suspects, settings, parts, end + 1h).verdict == prompt_verdict::clear));
    add_quarantine(suspects, settings, 7, from_peer, end + 1h);
    BOOST_TEST(suspects.quarantined.empty());
}

// Guards against counting the crashes of an engine that returns under its id as one, and against counting one
// crash that several routers report as several.
BOOST_AUTO_TEST_CASE(crashes_of_one_engine_are_told_apart_by_time) {
    const prompt_suspect_settings settings;
    damaskhill::prompt_suspects suspects;
    const time_point start{100s};
    for (int i = 0; i < 3; ++i) {
        const time_point at = start + i * 4s;
        add_crashes(suspects, settings, {{1, at, {{{7}}}, {}}}, at);
        add_crashes(suspects, settings, {{1, at + 80ms, {{{7}}}, {}}}, at + 80ms);
    }
    BOOST_TEST(suspects.crashes.size() == 3U);
    BOOST_TEST(suspects.quarantined.contains(7));
}

namespace {

struct long_prompt {
    std::size_t shared{}; // parts that sound requests hold too
    std::size_t fresh{};  // parts of one crashing request only
    duration delay{};     // from the first event to the crash
};

std::ostream& operator<<(std::ostream& out, const long_prompt& prompt) {
    return out << prompt.shared << " shared, " << prompt.fresh << " fresh parts, delay " << prompt.delay / 1ms
               << " ms";
}

std::vector<long_prompt> long_prompts() {
    std::vector<long_prompt> prompts;
    for (const duration delay : {duration{100ms}, duration{500ms}}) {
        for (const std::size_t shared : {6, 15, 16, 17, 24, 100, 500, 2000})
            prompts.push_back({shared, 0, delay});
        for (const std::size_t fresh : {17, 100, 500})
            prompts.push_back({2, fresh, delay});
        prompts.push_back({100, 100, delay});
    }
    prompts.push_back({12'000, 0, 100ms}); // fills the largest head that is accepted by default
    return prompts;
}

} // namespace

// Guards against a part that is never accused because it lies behind a bound on the parts of a request: here
// behind all shared parts, by its id. Reports have to stay below the size of a datagram, or nobody hears
// them.
BOOST_DATA_TEST_CASE(part_among_many_is_quarantined, boost::unit_test::data::make(long_prompts()), prompt) {
    crash_kind kind;
    kind.delay = prompt.delay;
    crash_fleet fleet{4, 8, kind};
    std::vector<std::uint64_t> shared(prompt.shared);
    std::iota(shared.begin(), shared.end(), 1);
    std::erase_if(shared,
                  [](std::uint64_t part) { return part == crashing_part || part == second_crashing_part; });
    const auto sound = [&](std::size_t i) {
        if (i % 4 != 0) return;
        ++fleet.sound_sent;
        fleet.submit(*fleet.routers[i / 4 % fleet.routers.size()], shared);
    };
    const auto both = [&](std::size_t i) {
        sound(i);
        if (i % 25 != 0) return;
        std::vector<std::uint64_t> parts = shared;
        for (std::size_t fresh = 0; fresh < prompt.fresh; ++fresh)
            parts.push_back(10'000 + i * 1000 + fresh);
        parts.push_back(crashing_part);
        fleet.submit(*fleet.routers[i / 25 % fleet.routers.size()], parts);
    };
    fleet.run_for(4s, sound);
    fleet.run_for(12s, both);
    BOOST_REQUIRE(fleet.crashes.size() >= 3U);
    const time_point fifth = fleet.crashes[std::min<std::size_t>(fleet.crashes.size(), 5) - 1];
    fleet.sound_sent = 0;
    fleet.sound_begun = 0;
    fleet.run_for(12s, both);
    BOOST_TEST(fleet.crashing_arrivals_after(fifth + contact_time) <= max_late_arrivals);
    BOOST_TEST(static_cast<double>(fleet.sound_begun) > 0.9 * static_cast<double>(fleet.sound_sent));
    constexpr std::size_t max_datagram = 60'000;
    BOOST_TEST(fleet.largest_report < max_datagram);
}

// Guards against memory and reports that grow with the parts that a caller makes up.
BOOST_AUTO_TEST_CASE(evidence_is_bounded) {
    const prompt_suspect_settings settings;
    damaskhill::prompt_suspects suspects;
    time_point now{100s};
    for (std::uint64_t i = 0; i < 1000; ++i, now += 300ms) {
        engine_crash crash{i, now, {}, {}};
        for (std::uint64_t request = 0; request < 40; ++request) {
            prompt_parts parts;
            for (std::uint64_t part = 0; part < 40; ++part)
                parts.push_back(i / 10 * 10'000 + request * 100 + part);
            crash.accused.push_back({parts, stable_hash(std::to_string(i * 40 + request)), false, true});
        }
        add_crashes(suspects, settings, {crash}, now);
        const std::uint64_t made_up = 100'000'000 + i * 100;
        for (std::uint64_t part = 0; part < 100; ++part)
            add_answer(suspects, settings, std::array{made_up + part}, answer_evidence::whole, now, true);
    }
    BOOST_TEST(suspects.crashes.size() <= settings.max_crashes);
    BOOST_TEST(suspects.quarantined.size() <= settings.max_quarantines);
    BOOST_TEST(suspects.answered.size() <= settings.max_answered);
    BOOST_TEST(suspects.suspected.size() <=
               settings.max_crashes * settings.max_accused * (settings.max_parts + 1));
}

// Guards against a crash that accuses no prompt part: a connection to the same target had broken long before
// without a crash, and the target has sent no response head since.
BOOST_AUTO_TEST_CASE(crash_after_an_old_broken_connection_is_counted) {
    test_router router;
    catalog contents = make_catalog();
    contents.targets.erase("e-2");
    router.publish(contents);
    router.confirm_now();
    const auto break_connection = [&] {
        router.out.clear();
        router.submit_request("review");
        const auto sent = router.last<send_request>();
        BOOST_REQUIRE(sent.has_value());
        router.process(response_end{sent->send_id, send_result::broken});
    };
    break_connection();
    router.advance_time(router.state.settings.suspects.max_unconfirmed + 1s);
    router.confirm_now();
    break_connection();
    router.submit_request("review");
    const auto refused = router.last<send_request>();
    BOOST_REQUIRE(refused.has_value());
    router.process(response_end{refused->send_id, send_result::not_sent});
    const auto counters = router.take<count>();
    BOOST_TEST((std::ranges::find(counters, "engine_crashes_total", &count::name) != counters.end()));
}

BOOST_AUTO_TEST_SUITE_END()
