// Index of this file:
// [SECTION] Helpers
// [SECTION] Time of the end
// [SECTION] Start of the target
// [SECTION] Statuses

#include "direct_fixture.hpp"

#include <boost/test/unit_test.hpp>

#include <array>

using namespace damaskhill;
using namespace damaskhill::direct;

//-----------------------------------------------------------------------------
// [SECTION] Helpers
//-----------------------------------------------------------------------------

namespace {

constexpr std::string_view one_event = "id: 1\ndata: x\n\n";
constexpr duration suspension = 3500ms;

/// Sends a request. Its response has neither a length nor chunks and begins.
send_request begin_response(test_router& router, const char* route) {
    router.submit_request(route);
    const auto sent = router.last<send_request>();
    BOOST_REQUIRE(sent.has_value());
    response_head head = router.head(sent->send_id);
    head.close_delimited = true;
    router.process(head);
    router.process(response_data{sent->send_id, one_event});
    return *sent;
}

/// Ends the connection of a response in order. Somebody accepts connections at the target's address.
void end_connection(test_router& router, const send_request& sent) {
    router.process(response_end{sent.send_id, send_result::complete});
    if (router.has<probe_target>()) router.process(target_probed{sent.send_id, probe_outcome::accepted});
}

bool is_completed(const test_router& router) { return router.has<reply_end>() || router.has<reply_full>(); }

/// Begins two responses of the only engine and returns them in the order of their requests.
std::pair<send_request, send_request> begin_two_responses(test_router& router) {
    catalog contents = make_catalog();
    contents.targets.erase("e-2");
    router.publish(std::move(contents));
    router.confirm_now();
    const send_request first = begin_response(router, "review");
    router.advance_time(500ms);
    const send_request second = begin_response(router, "review");
    BOOST_REQUIRE(first.target == second.target);
    return {first, second};
}

/// Registers each target as started at this time.
void register_boot(test_router& router, std::uint64_t boot) {
    catalog contents = make_catalog();
    for (auto& [id, entry] : contents.targets) {
        entry.boot = boot;
        entry.position = {0, boot};
    }
    router.publish(std::move(contents));
    router.confirm_now();
    router.out.clear();
}

} // namespace

BOOST_AUTO_TEST_SUITE(direct_responses)

//-----------------------------------------------------------------------------
// [SECTION] Time of the end
//-----------------------------------------------------------------------------

// Guards against truncated responses that look complete: while the router is suspended, the target crashes
// and starts again at its address.
BOOST_AUTO_TEST_CASE(end_that_a_suspension_hides_completes_no_response) {
    for (const char* route : {"review", "chat", "order", "stock"}) {
        test_router router;
        const send_request sent = begin_response(router, route);
        router.now += suspension;
        router.process(response_data{sent.send_id, one_event});
        end_connection(router, sent);
        router.advance_time(3s);
        BOOST_TEST(!is_completed(router));
        BOOST_TEST(!router.state.caller_by_send.contains(sent.send_id));
    }
}

// Guards against sound streams that a suspension breaks off although their target shows that it is still the
// same process: it goes on with a response that it began before.
BOOST_AUTO_TEST_CASE(older_response_that_goes_on_completes_a_stream_after_a_suspension) {
    for (const bool goes_on : {false, true}) {
        test_router router;
        const auto [older, ended] = begin_two_responses(router);
        router.now += suspension;
        router.process(response_data{older.send_id, one_event});
        end_connection(router, ended);
        BOOST_TEST(!router.has<reply_end>());
        router.advance_time(1200ms);
        if (goes_on) router.process(response_data{older.send_id, one_event});
        router.advance_time(1500ms);
        BOOST_TEST(router.has<reply_end>() == goes_on);
        BOOST_TEST(router.has<reply_abort>() != goes_on);
    }
}

// Guards against truncated streams that look complete because the router did not read them for a while, and
// against sound ones that short stalls of their callers break off.
BOOST_AUTO_TEST_CASE(end_that_a_long_stall_of_the_caller_hides_completes_no_stream) {
    for (const bool is_long : {false, true}) {
        test_router router;
        const send_request sent = begin_response(router, "review");
        const caller_id caller = router.next_caller - 1;
        router.process(caller_congested{caller, true});
        router.advance_time(is_long ? 3s : 300ms);
        router.process(caller_congested{caller, false});
        end_connection(router, sent);
        router.advance_time(3s);
        BOOST_TEST(router.has<reply_end>() != is_long);
        BOOST_TEST(router.has<reply_abort>() == is_long);
    }
}

// Guards against sound responses that wait for evidence long after a suspension has ended.
BOOST_AUTO_TEST_CASE(response_that_ends_well_after_a_suspension_is_whole_at_once) {
    test_router router;
    const send_request sent = begin_response(router, "review");
    router.now += suspension;
    router.advance_time(1500ms);
    end_connection(router, sent);
    BOOST_TEST(router.has<reply_end>());
}

//-----------------------------------------------------------------------------
// [SECTION] Start of the target
//-----------------------------------------------------------------------------

// Guards against the response of a process that is gone and counts as whole because the next start of its
// target accepts connections.
BOOST_AUTO_TEST_CASE(response_of_an_earlier_start_is_truncated) {
    for (const std::uint64_t boot : {1000U, 2000U}) {
        test_router router;
        register_boot(router, 1000);
        const send_request sent = begin_response(router, "review");
        register_boot(router, boot);
        end_connection(router, sent);
        const bool same = boot == 1000;
        BOOST_TEST(router.has<reply_end>() == same);
        BOOST_TEST(router.has<reply_abort>() != same);
    }
}

// Guards against a new start that registers between the end of a response and the result of the probe.
BOOST_AUTO_TEST_CASE(start_that_registers_during_the_probe_completes_no_response) {
    test_router router;
    register_boot(router, 1000);
    const send_request sent = begin_response(router, "review");
    router.process(response_end{sent.send_id, send_result::complete});
    BOOST_REQUIRE(router.has<probe_target>());
    register_boot(router, 2000);
    router.process(target_probed{sent.send_id, probe_outcome::accepted});
    BOOST_TEST(!router.has<reply_end>());
    BOOST_TEST(router.has<reply_abort>());
}

// Guards against a response that counts as whole although other requests have shown that its target crashed.
BOOST_AUTO_TEST_CASE(response_from_before_a_confirmed_crash_is_truncated) {
    test_router router;
    const auto [broken, ended] = begin_two_responses(router);
    router.advance_time(100ms);
    router.process(response_end{broken.send_id, send_result::broken});
    router.advance_time(100ms);
    router.submit_request("review");
    const auto refused = router.last<send_request>();
    BOOST_REQUIRE(refused.has_value());
    router.process(response_end{refused->send_id, send_result::not_sent});
    BOOST_REQUIRE((router.state.targets.at(ended.target).last_crash != time_point{}));
    router.out.clear();
    end_connection(router, ended);
    BOOST_TEST(!router.has<reply_end>());
    BOOST_TEST(router.has<reply_abort>());
}

//-----------------------------------------------------------------------------
// [SECTION] Statuses
//-----------------------------------------------------------------------------

namespace {

struct status_case {
    std::uint32_t status;          // of the target
    bool not_executed;             // as the target states
    std::uint32_t from_own_run;    // what the caller of a request that may run once is told
    std::uint32_t from_idempotent; // what the caller of an idempotent request is told, by the last target
};

// A target that states "not executed" and one that answers 421 have not run the request: the router's own 503
// says so after the attempts at all targets.
constexpr std::array status_cases{
    status_case{200, false, 200, 200}, status_case{429, false, 502, 429}, status_case{500, false, 500, 500},
    status_case{502, false, 502, 502}, status_case{503, false, 502, 503}, status_case{504, false, 504, 504},
    status_case{408, false, 502, 408}, status_case{421, false, 503, 503}, status_case{429, true, 503, 503},
    status_case{500, true, 503, 503},  status_case{502, true, 503, 503},  status_case{503, true, 503, 503},
    status_case{504, true, 503, 503},  status_case{408, true, 503, 503},  status_case{421, true, 503, 503}};

/// Status that the caller gets if each target gives this response.
std::uint32_t status_for_caller(const char* route, const status_case& item) {
    test_router router;
    router.submit_request(route);
    constexpr int tries = 10;
    for (int i = 0; i < tries; ++i) {
        const auto effects_so_far = router.out;
        if (const auto sent = router.last<send_request>()) {
            response_head head = router.head(sent->send_id, item.status);
            head.not_executed = item.not_executed;
            head.wrong_target = item.status == 421;
            router.process(head);
            router.process(response_data{sent->send_id, one_event});
            router.process(response_end{sent->send_id, send_result::complete});
            continue;
        }
        for (const direct::effect& found : effects_so_far) {
            if (const auto* refused = std::get_if<reply_refused>(&found)) return refused->status;
            if (const auto* full = std::get_if<reply_full>(&found)) return full->status;
            if (const auto* begun = std::get_if<reply_begin>(&found)) return begun->status;
        }
    }
    return 0;
}

/// Status that the caller gets if each attempt ends like this without a response.
std::uint32_t status_after(const char* route, send_result result) {
    test_router router;
    router.submit_request(route);
    constexpr int tries = 10;
    for (int i = 0; i < tries; ++i) {
        const auto effects_so_far = router.out;
        if (const auto sent = router.last<send_request>()) {
            router.process(response_end{sent->send_id, result});
            continue;
        }
        for (const direct::effect& found : effects_so_far) {
            if (const auto* refused = std::get_if<reply_refused>(&found)) return refused->status;
        }
    }
    return 0;
}

} // namespace

// Guards against 408, 421, 429 and 503, which promise that a request has not run, for one that a target has
// run: its caller would repeat it.
BOOST_AUTO_TEST_CASE(callers_are_promised_only_what_targets_state) {
    for (const status_case& item : status_cases) {
        BOOST_TEST_CONTEXT("status " << item.status << ", not executed " << item.not_executed) {
            BOOST_TEST(status_for_caller("order", item) == item.from_own_run);  // not idempotent
            BOOST_TEST(status_for_caller("review", item) == item.from_own_run); // a stream, not resumable
            BOOST_TEST(status_for_caller("stock", item) == item.from_idempotent);
            BOOST_TEST(status_for_caller("chat", item) == item.from_idempotent);
        }
    }
}

// Guards against the same promise for a request of which a target may have got a part.
BOOST_AUTO_TEST_CASE(request_that_was_sent_without_a_response_promises_nothing) {
    for (const char* route : {"order", "review", "stock", "chat"}) {
        BOOST_TEST(status_after(route, send_result::not_sent) == 503U);
        BOOST_TEST(status_after(route, send_result::broken) == 502U);
        BOOST_TEST(status_after(route, send_result::garbled) == 502U);
    }
}

BOOST_AUTO_TEST_SUITE_END()
