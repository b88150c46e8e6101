// Index of this file:
// [SECTION] At most once
// [SECTION] Response integrity
// [SECTION] Catalog freshness
// [SECTION] Targets
// [SECTION] Stop and overload
// [SECTION] Reports
// [SECTION] Rollouts

#include "damaskhill_direct_internal.hpp"
#include "direct_fixture.hpp"

#include <boost/test/unit_test.hpp>

using namespace damaskhill;
using namespace damaskhill::direct;

BOOST_AUTO_TEST_SUITE(direct_router)

//-----------------------------------------------------------------------------
// [SECTION] At most once
//-----------------------------------------------------------------------------

// Guards against executing an order twice: the connection breaks after the order was sent, so the first
// attempt may have run.
BOOST_AUTO_TEST_CASE(order_that_may_have_run_is_not_retried) {
    test_router router;
    router.submit_request("order");
    const auto sent = router.last<send_request>();
    BOOST_REQUIRE(sent.has_value());
    router.process(response_end{sent->send_id, send_result::broken});
    BOOST_TEST(!router.has<send_request>());
    const auto refusal = router.last<reply_refused>();
    BOOST_REQUIRE(refusal.has_value());
    BOOST_TEST(refusal->status == 502U);
    BOOST_TEST(!refusal->retry_after.has_value());
}

// Guards against failing an order although the target states that it did not execute it.
BOOST_AUTO_TEST_CASE(order_that_was_not_executed_is_retried) {
    test_router router;
    router.submit_request("order");
    const auto first = router.last<send_request>();
    BOOST_REQUIRE(first.has_value());
    response_head refused = router.head(first->send_id, 503);
    refused.not_executed = true;
    router.process(refused);
    const auto second = router.last<send_request>();
    BOOST_REQUIRE(second.has_value());
    BOOST_TEST(second->target != first->target);
}

// Guards against more attempts than the route allows, and against a final reply that does not say "not
// executed" (503 with Retry-After) although no target executed the request.
BOOST_AUTO_TEST_CASE(attempts_are_bounded_and_refusal_reports_not_executed) {
    test_router router;
    router.submit_request("order");
    for (int i = 0; i < 2; ++i) {
        const auto sent = router.last<send_request>();
        BOOST_REQUIRE(sent.has_value());
        response_head refused = router.head(sent->send_id, 503);
        refused.not_executed = true;
        router.process(refused);
    }
    const auto refusal = router.last<reply_refused>();
    BOOST_REQUIRE(refusal.has_value());
    BOOST_TEST(refusal->status == 503U); // both targets stated that they did not execute it
    BOOST_TEST(refusal->retry_after.has_value());
}

// Guards against charging an account twice for a request whose first target accepted no connection.
BOOST_AUTO_TEST_CASE(account_is_charged_once_for_a_request) {
    test_router router;
    router.submit_request("chat");
    const auto first = router.last<send_request>();
    BOOST_REQUIRE(first.has_value());
    const auto dispatched_tokens = [&] {
        return router.state.shares.own_usage(router.now).begin()->second.dispatched;
    };
    const double charged = dispatched_tokens();
    BOOST_TEST(charged > 0);
    router.process(response_end{first->send_id, send_result::not_sent});
    BOOST_REQUIRE(router.has<send_request>());
    BOOST_TEST(dispatched_tokens() == charged);
}

// Guards against failing an idempotent call although another target would respond.
BOOST_AUTO_TEST_CASE(idempotent_call_is_retried_after_target_error) {
    test_router router;
    router.submit_request("stock");
    const auto first = router.last<send_request>();
    BOOST_REQUIRE(first.has_value());
    router.process(router.head(first->send_id, 500));
    const auto second = router.last<send_request>();
    BOOST_REQUIRE(second.has_value());
    BOOST_TEST(second->target != first->target);
    router.process(router.head(second->send_id));
    router.process(response_data{second->send_id, "ok"});
    router.process(response_end{second->send_id, send_result::complete});
    const auto reply = router.last<reply_full>();
    BOOST_REQUIRE(reply.has_value());
    BOOST_TEST(reply->status == 200U);
    BOOST_TEST(reply->body == "ok");
}

// Guards against idempotent calls that wait until their deadline for a target that does not respond.
BOOST_AUTO_TEST_CASE(idempotent_call_is_retried_when_target_is_silent) {
    test_router router;
    router.submit_request("stock");
    const auto first = router.last<send_request>();
    BOOST_REQUIRE(first.has_value());
    router.advance_time(700ms);
    const auto second = router.last<send_request>();
    BOOST_REQUIRE(second.has_value());
    BOOST_TEST(second->target != first->target);
}

namespace {

/// Breaks the connections of all open requests of the plain service and replaces its targets by new ones.
void crash_plain_targets(test_router& router, int generation) {
    for (auto sends = router.take<send_request>(); !sends.empty(); sends = router.take<send_request>()) {
        for (const auto& sent : sends)
            router.process(response_end{sent.send_id, send_result::broken});
    }
    catalog contents = make_catalog();
    for (const char* id : {"a-1", "a-2"}) {
        contents.targets.erase(id);
        const std::string name = id + std::string{"-"} + std::to_string(generation);
        contents.targets[name] = make_target(name, "app", 6);
    }
    router.publish(contents);
    router.confirm_now();
}

} // namespace

// Guards against reports and memory that grow with every connection that has ever broken.
BOOST_AUTO_TEST_CASE(crash_records_are_bounded_and_expire) {
    test_router router;
    const prompt_suspect_settings limits = router.state.settings.suspects;
    router.state.settings.seeds = {"127.0.0.1:7002"};
    const std::size_t generations = 2 * limits.max_crashes;
    for (std::size_t i = 0; i < generations; ++i) {
        for (int request = 0; request < 12; ++request)
            router.submit_request("order");
        crash_plain_targets(router, static_cast<int>(i));
        router.now += 1ms;
    }
    BOOST_TEST(router.state.suspects.crashes.size() == limits.max_crashes);
    router.advance_time(1s);
    const auto report = router.last<send_report>();
    BOOST_REQUIRE(report.has_value());
    BOOST_TEST(!report->report->engine_crashes.empty());
    BOOST_TEST(report->report->engine_crashes.size() <= limits.max_announced);
    router.advance_time(limits.crash_lifetime);
    BOOST_TEST(router.state.suspects.crashes.empty());
    BOOST_TEST(router.state.suspects.suspected.empty());
}

// Guards against a request that crashes every target that executes it: after quarantine_crashes crashes,
// further copies are not sent.
BOOST_AUTO_TEST_CASE(request_that_crashes_targets_is_not_sent_again) {
    test_router router;
    std::size_t sends = 0;
    for (int i = 0; i < 6; ++i) {
        request_arrived crashing = router.request_for("order/poison");
        crashing.body = "poison";
        router.out.clear();
        router.process(crashing);
        sends += static_cast<std::size_t>(std::ranges::count_if(
            router.out, [](const auto& item) { return std::holds_alternative<send_request>(item); }));
        crash_plain_targets(router, i);
        router.advance_time(2s);
        router.confirm_now();
    }
    BOOST_TEST(sends == router.state.settings.suspects.quarantine_crashes);
}

// Guards against refusing a sound request for good: it was in flight on three targets that crashed, but a
// copy of it has been answered since.
BOOST_AUTO_TEST_CASE(sound_request_is_acquitted_by_its_answer) {
    test_router router;
    const auto submit = [&] {
        router.out.clear();
        router.process(router.request_for("order/sound"));
        return router.has<send_request>();
    };
    for (int i = 0; i < 6; ++i) {
        BOOST_TEST(submit());
        crash_plain_targets(router, i);
        router.advance_time(1s);
        router.confirm_now();
        if (i % 2 == 0) continue;
        BOOST_TEST(submit());
        const auto sent = router.last<send_request>();
        BOOST_REQUIRE(sent.has_value());
        router.process(router.head(sent->send_id));
        router.process(response_end{sent->send_id, send_result::complete});
    }
    BOOST_TEST(router.state.suspects.quarantined.empty());
}

//-----------------------------------------------------------------------------
// [SECTION] Response integrity
//-----------------------------------------------------------------------------

// Guards against lost, duplicated or truncated events when a stream resumes at another target.
BOOST_AUTO_TEST_CASE(stream_resumes_after_last_complete_event) {
    test_router router;
    router.submit_request("chat");
    const auto first = router.last<send_request>();
    BOOST_REQUIRE(first.has_value());
    router.process(router.head(first->send_id));
    router.process(response_data{first->send_id, "id: 1\ndata: a\n\nid: 2\nda"});
    const auto event_data = router.last<reply_data>();
    BOOST_REQUIRE(event_data.has_value());
    BOOST_TEST(event_data->data == "id: 1\ndata: a\n\n");
    router.process(response_end{first->send_id, send_result::broken});
    const auto second = router.last<send_request>();
    BOOST_REQUIRE(second.has_value());
    BOOST_TEST(second->resume_after == "1");
    router.process(router.head(second->send_id));
    router.process(response_data{second->send_id, "id: 2\ndata: b\n\n"});
    router.process(response_end{second->send_id, send_result::complete});
    // The reply already has the head of the first target's response.
    BOOST_TEST(!router.has<reply_begin>());
    BOOST_TEST(router.has<reply_end>());
}

namespace {

/// Breaks a stream after its first event and answers the resumed attempt with this head and body.
void answer_resumed_stream(test_router& router, const response_head& resumed, std::string_view body) {
    router.submit_request("chat");
    const auto first = router.last<send_request>();
    BOOST_REQUIRE(first.has_value());
    response_head head = router.head(first->send_id);
    head.content_type = "text/event-stream";
    router.process(head);
    router.process(response_data{first->send_id, "id: 5\ndata: a\n\n"});
    router.process(response_end{first->send_id, send_result::broken});
    const auto second = router.last<send_request>();
    BOOST_REQUIRE(second.has_value());
    response_head answer = resumed;
    answer.send_id = second->send_id;
    router.process(answer);
    router.process(response_data{second->send_id, body});
    router.process(response_end{second->send_id, send_result::complete});
}

} // namespace

// Guards against the text of an error, or another stream, in the middle of a stream, and against a stream
// that ends as if it were complete: a resumed attempt that does not go on with the stream aborts the reply.
BOOST_AUTO_TEST_CASE(answer_that_does_not_continue_a_stream_is_not_passed_on) {
    struct resumed_answer {
        std::uint32_t status;
        std::string content_type;
        bool not_executed;
        std::string body;
    };
    const std::string events = "text/event-stream";
    const std::vector<resumed_answer> answers{{404, "text/plain", false, "not found\n\n"},
                                              {500, events, false, "id: 6\ndata: error\n\n"},
                                              {503, "text/plain", true, "busy\n\n"},
                                              {200, "application/json", false, "{}\n\n"},
                                              {204, events, false, ""},
                                              {200, "", false, ""},
                                              {200, events, false, "id: 1\ndata: again\n\n"},
                                              {200, events, false, "id: 5\ndata: again\n\n"},
                                              {206, events, false, "id: 6\ndata: b\n\n"}};
    for (const resumed_answer& answer : answers) {
        test_router router;
        response_head head = router.head(0, answer.status);
        head.content_type = answer.content_type;
        head.not_executed = answer.not_executed;
        answer_resumed_stream(router, head, answer.body);
        BOOST_TEST_CONTEXT(answer.status << ' ' << answer.content_type << ' ' << answer.body) {
            BOOST_TEST(!router.has<reply_data>());
            BOOST_TEST(!router.has<reply_end>());
            BOOST_TEST(!router.has<reply_full>());
            BOOST_TEST(!router.has<reply_refused>());
            BOOST_TEST(router.has<reply_abort>());
        }
    }
    test_router router;
    response_head head = router.head(0);
    head.content_type = events;
    answer_resumed_stream(router, head, "id: 6\ndata: b\n\n");
    BOOST_TEST(router.has<reply_data>());
    BOOST_TEST(router.has<reply_end>());
}

// Guards against a resume after the wrong event: data that contains the characters of an id field is no id.
BOOST_AUTO_TEST_CASE(event_id_is_read_from_its_line) {
    test_router router;
    router.submit_request("chat");
    const auto first = router.last<send_request>();
    BOOST_REQUIRE(first.has_value());
    router.process(router.head(first->send_id));
    router.process(response_data{first->send_id, "id: 7\ndata: paid: 3\n\n"});
    router.out.clear();
    router.process(response_end{first->send_id, send_result::broken});
    const auto second = router.last<send_request>();
    BOOST_REQUIRE(second.has_value());
    BOOST_TEST(second->resume_after == "7");
}

// Guards against memory that grows until the process is killed: targets that send bytes without end, as a
// body or as an event that never ends. Each caller gets a true reply, and other requests are served.
BOOST_AUTO_TEST_CASE(endless_responses_are_cut_and_memory_is_bounded) {
    test_router router;
    router.state.settings.engine.max_slot_share = 1000; // the load of the targets is not the matter here
    const std::string block(64 << 10, 'x');
    std::size_t failed = 0;
    std::size_t cancelled = 0;
    std::vector<std::uint64_t> sends;
    for (int i = 0; i < 16; ++i) {
        router.submit_request(i % 2 == 0 ? "order" : "chat");
        for (const auto& sent : router.take<send_request>())
            sends.push_back(sent.send_id);
    }
    BOOST_REQUIRE(sends.size() >= 14U);
    for (const std::uint64_t send : sends)
        router.process(router.head(send));
    router.out.clear();
    for (int round = 0; round < 200; ++round) {
        for (std::size_t i = 0; i < sends.size(); ++i) {
            router.process(response_data{sends[i], block});
            BOOST_TEST(router.state.buffered_bytes <= router.state.settings.max_buffered_bytes);
            for (const direct::effect& item : std::exchange(router.out, {})) {
                if (std::holds_alternative<cancel_send>(item)) ++cancelled;
                if (const auto* refused = std::get_if<reply_refused>(&item)) {
                    BOOST_TEST(refused->status == 502U); // a target may have executed it
                    ++failed;
                }
                if (const auto* again = std::get_if<send_request>(&item)) {
                    sends[i] = again->send_id;
                    router.state.requests.at(router.state.caller_by_send.at(again->send_id))->head_received =
                        true;
                }
            }
        }
    }
    BOOST_TEST(cancelled >= 16U);
    BOOST_TEST(failed == 16U);
    BOOST_TEST(router.state.requests.empty());
    BOOST_TEST(router.state.buffered_bytes == 0U);
    router.submit_request("stock");
    const auto sound = router.last<send_request>();
    BOOST_REQUIRE(sound.has_value());
    router.process(router.head(sound->send_id));
    router.process(response_data{sound->send_id, "ok"});
    router.process(response_end{sound->send_id, send_result::complete});
    BOOST_TEST(router.has<reply_full>());
}

// Guards against a slow caller whose target sends without end: the target is not read meanwhile, also by a
// later attempt, the target is not blamed, and the deadline ends the request all the same.
BOOST_AUTO_TEST_CASE(response_is_not_read_while_its_caller_is_congested) {
    test_router router;
    const caller_id caller = router.submit_request("chat");
    const auto first = router.last<send_request>();
    BOOST_REQUIRE(first.has_value());
    router.process(router.head(first->send_id));
    router.process(response_data{first->send_id, "id: 1\ndata: x\n\n"});
    router.out.clear();
    router.process(caller_congested{caller, true});
    router.process(caller_congested{caller, true});
    auto pauses = router.take<pause_reading>();
    BOOST_REQUIRE(pauses.size() == 1U);
    BOOST_TEST(pauses[0].send_id == first->send_id);
    BOOST_TEST(pauses[0].paused);
    router.process(response_end{first->send_id, send_result::broken});
    std::uint64_t second = 0;
    bool second_is_paused = false;
    for (const direct::effect& item : std::exchange(router.out, {})) {
        if (const auto* sent = std::get_if<send_request>(&item)) second = sent->send_id;
        if (const auto* pause = std::get_if<pause_reading>(&item))
            second_is_paused = pause->send_id == second && pause->paused;
    }
    BOOST_REQUIRE(second != 0U);
    BOOST_TEST(second_is_paused);
    router.process(caller_congested{caller, false});
    pauses = router.take<pause_reading>();
    BOOST_REQUIRE(pauses.size() == 1U);
    BOOST_TEST(!pauses[0].paused);
    router.process(caller_congested{caller, true});
    router.advance_time(3s);
    router.out.clear();
    router.process(caller_closed{caller});
    for (const auto& [id, target] : router.state.targets)
        BOOST_TEST(!target.broken.has_value());
    const caller_id late = router.submit_request("chat");
    const auto third = router.last<send_request>();
    BOOST_REQUIRE(third.has_value());
    router.process(router.head(third->send_id));
    router.process(response_data{third->send_id, "id: 1\ndata: x\n\n"});
    router.process(caller_congested{late, true});
    router.out.clear();
    router.advance_time(9s);
    BOOST_TEST(router.has<reply_abort>());
    BOOST_TEST(router.state.requests.empty());
}

// Guards against an event without end on a route whose streams are passed on as they come: it takes the link
// and the processor from the other callers until the time limit. Events of any number, and other content, go
// on.
BOOST_AUTO_TEST_CASE(endless_event_of_a_stream_that_is_passed_on_is_cut) {
    const std::string block(64U << 10U, 'x');
    for (const bool is_event_stream : {true, false}) {
        for (const bool ends_events : {true, false}) {
            test_router router;
            router.submit_request("review");
            const auto sent = router.last<send_request>();
            BOOST_REQUIRE(sent.has_value());
            response_head head = router.head(sent->send_id);
            head.content_type = is_event_stream ? "text/event-stream; charset=utf-8" : "text/plain";
            router.process(head);
            for (int i = 0; i < 32; ++i) {
                router.process(response_data{sent->send_id, block});
                // The end of an event may come in two pieces.
                if (ends_events) router.process(response_data{sent->send_id, "\n"});
                if (ends_events) router.process(response_data{sent->send_id, "\n"});
            }
            const bool cut = is_event_stream && !ends_events;
            BOOST_TEST_CONTEXT(is_event_stream << ends_events) {
                BOOST_TEST(router.has<cancel_send>() == cut);
                BOOST_TEST(router.has<reply_abort>() == cut);
                BOOST_TEST(router.state.requests.empty() == cut);
            }
        }
    }
}

// Guards against request bodies that exhaust the memory: the largest request is refused as not executed, and
// no target is blamed.
BOOST_AUTO_TEST_CASE(request_bodies_count_in_the_memory_limit) {
    test_router router;
    router.state.settings.max_buffered_bytes = 1U << 20U;
    const auto submit = [&](std::size_t size) {
        request_arrived request = router.request_for("order/x");
        request.body = std::string(size, 'b');
        router.process(request);
        return request.caller;
    };
    submit(400U << 10U);
    submit(300U << 10U);
    BOOST_TEST(router.take<send_request>().size() == 2U);
    submit(600U << 10U);
    const auto refused = router.last<reply_refused>();
    BOOST_REQUIRE(refused.has_value());
    BOOST_TEST(refused->status == 503U);
    BOOST_TEST(refused->retry_after.has_value());
    submit(380U << 10U);
    // A target may have executed the largest one.
    const auto ended = router.last<reply_refused>();
    BOOST_REQUIRE(ended.has_value());
    BOOST_TEST(ended->caller == 1U);
    BOOST_TEST(ended->status == 502U);
    BOOST_TEST(router.state.buffered_bytes <= router.state.settings.max_buffered_bytes);
    BOOST_TEST(router.state.requests.size() == 2U);
    for (const auto& [id, target] : router.state.targets)
        BOOST_TEST(target.smoothed_failure_rate == 0.0);
}

// Guards against a truncated stream that looks complete.
BOOST_AUTO_TEST_CASE(non_resumable_stream_is_aborted) {
    test_router router;
    router.submit_request("review");
    const auto sent = router.last<send_request>();
    BOOST_REQUIRE(sent.has_value());
    router.process(router.head(sent->send_id));
    router.process(response_data{sent->send_id, "id: 1\nda"});
    router.process(response_end{sent->send_id, send_result::broken});
    BOOST_TEST(router.has<reply_abort>());
    BOOST_TEST(!router.has<reply_end>());
}

// Guards against a stream that looks complete although its target broke it off inside an event: a response
// without length and chunks ends with its connection, whatever the reason.
BOOST_AUTO_TEST_CASE(stream_that_ends_inside_an_event_is_aborted) {
    for (const bool whole : {false, true}) {
        test_router router;
        router.submit_request("review");
        const auto sent = router.last<send_request>();
        BOOST_REQUIRE(sent.has_value());
        router.process(router.head(sent->send_id));
        router.process(response_data{sent->send_id, "id: 1\ndata: x\n\nid: 2\nda"});
        router.process(response_data{sent->send_id, whole ? "ta: y\n\n" : "ta: y\n"});
        router.process(response_end{sent->send_id, send_result::complete});
        BOOST_TEST(router.has<reply_end>() == whole);
        BOOST_TEST(router.has<reply_abort>() != whole);
    }
}

// Guards against an empty stream that looks complete: the target crashed after the head of a response that
// only the end of its connection ends.
BOOST_AUTO_TEST_CASE(stream_that_ends_before_its_first_event_is_no_success) {
    test_router router;
    router.submit_request("review");
    const auto sent = router.last<send_request>();
    BOOST_REQUIRE(sent.has_value());
    response_head head = router.head(sent->send_id);
    head.close_delimited = true;
    router.process(head);
    router.process(response_end{sent->send_id, send_result::complete});
    BOOST_TEST(!router.has<reply_end>());
    const auto refusal = router.last<reply_refused>();
    BOOST_REQUIRE(refusal.has_value());
    BOOST_TEST(refusal->status == 502U); // a target may have executed it
}

// Guards against a truncated response that looks complete: the target crashed between two events, and the end
// of the connection is all that ends its response.
BOOST_AUTO_TEST_CASE(end_of_connection_alone_completes_no_response) {
    for (const char* route : {"review", "chat", "order"}) {
        test_router router;
        router.submit_request(route);
        const auto sent = router.last<send_request>();
        BOOST_REQUIRE(sent.has_value());
        response_head head = router.head(sent->send_id);
        head.close_delimited = true;
        router.process(head);
        router.process(response_data{sent->send_id, "id: 1\ndata: x\n\n"});
        router.process(response_end{sent->send_id, send_result::complete});
        BOOST_TEST(!router.has<reply_end>());
        BOOST_TEST(!router.has<reply_full>());
    }
}

namespace {

/// Sends a request and ends its response by the end of the connection alone. Returns the probe's attempt.
std::uint64_t end_response_by_connection(test_router& router, const char* route) {
    router.submit_request(route);
    const auto sent = router.last<send_request>();
    BOOST_REQUIRE(sent.has_value());
    response_head head = router.head(sent->send_id);
    head.close_delimited = true;
    router.process(head);
    router.process(response_data{sent->send_id, "id: 1\ndata: x\n\n"});
    router.process(response_end{sent->send_id, send_result::complete});
    const auto probe = router.last<probe_target>();
    BOOST_REQUIRE(probe.has_value());
    BOOST_TEST(probe->send_id == sent->send_id);
    return probe->send_id;
}

} // namespace

// Guards against sound responses that are broken off because they have neither a length nor chunks.
BOOST_AUTO_TEST_CASE(response_of_a_live_target_is_whole) {
    for (const char* route : {"review", "chat", "order", "stock"}) {
        test_router router;
        const std::uint64_t send = end_response_by_connection(router, route);
        router.process(target_probed{send, probe_outcome::accepted});
        BOOST_TEST((router.has<reply_end>() || router.has<reply_full>()));
        BOOST_TEST(router.state.requests.empty());
    }
}

// Guards against the response of a crashed target that is passed on as whole, and against a resumable stream
// that is lost with its target.
BOOST_AUTO_TEST_CASE(response_of_a_target_that_is_gone_is_truncated) {
    test_router review;
    review.process(target_probed{end_response_by_connection(review, "review"), probe_outcome::refused});
    BOOST_TEST(review.has<reply_abort>());
    test_router order;
    order.process(target_probed{end_response_by_connection(order, "order"), probe_outcome::refused});
    const auto refusal = order.last<reply_refused>();
    BOOST_REQUIRE(refusal.has_value());
    BOOST_TEST(refusal->status == 502U);
    test_router chat;
    chat.process(target_probed{end_response_by_connection(chat, "chat"), probe_outcome::refused});
    const auto resumed = chat.last<send_request>();
    BOOST_REQUIRE(resumed.has_value());
    BOOST_TEST(resumed->resume_after == "1");
}

// Guards against a lost probe packet that breaks off a sound response, and against a silent target whose
// response counts as whole.
BOOST_AUTO_TEST_CASE(unanswered_probe_needs_another_sign_of_life) {
    for (const bool sends_more : {false, true}) {
        test_router router;
        router.submit_request("review");
        const auto other = router.last<send_request>();
        BOOST_REQUIRE(other.has_value());
        router.process(router.head(other->send_id));
        std::uint64_t send = 0;
        do {
            send = end_response_by_connection(router, "review");
        } while (router.state.requests.at(router.state.caller_by_send.at(send))->target != other->target);
        router.now += 200ms;
        if (sends_more) router.process(response_data{other->send_id, "id: 1\ndata: x\n\n"});
        router.out.clear();
        router.process(target_probed{send, probe_outcome::no_answer});
        BOOST_TEST(router.has<reply_end>() == sends_more);
        BOOST_TEST(router.has<reply_abort>() != sends_more);
    }
}

// Guards against a probe that answers for a request that has ended meanwhile.
BOOST_AUTO_TEST_CASE(result_of_a_late_probe_is_ignored) {
    test_router router;
    const std::uint64_t send = end_response_by_connection(router, "review");
    router.advance_time(10s); // the caller's deadline passes
    router.out.clear();
    router.process(target_probed{send, probe_outcome::accepted});
    BOOST_TEST(!router.has<reply_end>());
    BOOST_TEST(router.state.requests.empty());
}

// Guards against forwarding a successful response that does not come from a target.
BOOST_AUTO_TEST_CASE(response_without_seal_is_rejected) {
    test_router router;
    router.submit_request("order");
    const auto sent = router.last<send_request>();
    BOOST_REQUIRE(sent.has_value());
    response_head head = router.head(sent->send_id);
    head.has_seal = false;
    router.process(head);
    const auto refusal = router.last<reply_refused>();
    BOOST_REQUIRE(refusal.has_value());
    BOOST_TEST(refusal->status == 502U);
}

// Guards against targets that keep working after the caller has disconnected.
BOOST_AUTO_TEST_CASE(caller_disconnect_cancels_attempt) {
    test_router router;
    const caller_id caller = router.submit_request("review");
    const auto sent = router.last<send_request>();
    BOOST_REQUIRE(sent.has_value());
    router.process(caller_closed{caller});
    const auto cancelled = router.last<cancel_send>();
    BOOST_REQUIRE(cancelled.has_value());
    BOOST_TEST(cancelled->send_id == sent->send_id);
    BOOST_TEST(router.state.requests.empty());
}

//-----------------------------------------------------------------------------
// [SECTION] Catalog freshness
//-----------------------------------------------------------------------------

// Guards against accepting a revoked key at a router that cannot reach the store. The reply is 503, so that
// the caller retries.
BOOST_AUTO_TEST_CASE(stale_catalog_accepts_no_requests) {
    test_router router;
    router.advance_time(3s);
    router.submit_request("order");
    BOOST_TEST(router.take<send_request>().size() == 1U);
    router.advance_time(2s);
    router.submit_request("order");
    const auto refusal = router.last<reply_refused>();
    BOOST_REQUIRE(refusal.has_value());
    BOOST_TEST(refusal->status == 503U);
    BOOST_TEST(!is_ready(router.state, router.now));
}

// Guards against requests that run without a valid key once no account holds one any more, or while the
// accounts cannot be read: revoked keys, unknown ones and none.
BOOST_AUTO_TEST_CASE(without_any_key_left_no_request_is_admitted) {
    struct expectation {
        key_requirement keys;
        std::optional<std::uint32_t> status; // none: the request is sent
    };
    for (const expectation& expected :
         {expectation{key_requirement::required, 401}, expectation{key_requirement::unknown, 503},
          expectation{key_requirement::none, std::nullopt}}) {
        for (const std::string key : {"key-1", "unknown", ""}) {
            test_router router;
            catalog contents = make_catalog();
            contents.version = 2;
            contents.accounts = {expected.keys, {}};
            router.publish(contents);
            router.confirm_now();
            router.out.clear();
            router.submit_request("order", key);
            BOOST_TEST_CONTEXT(static_cast<int>(expected.keys) << " " << key) {
                BOOST_TEST(router.has<send_request>() == !expected.status.has_value());
                const auto refused = router.last<reply_refused>();
                BOOST_REQUIRE(refused.has_value() == expected.status.has_value());
                if (refused) BOOST_TEST(refused->status == *expected.status);
                if (refused) BOOST_TEST(refused->retry_after.has_value() == (refused->status == 503U));
            }
        }
    }
}

// Guards against 401 and 404 replies for keys and routes that newer declarations may have added.
BOOST_AUTO_TEST_CASE(stale_catalog_answers_503_instead_of_401_or_404) {
    test_router router;
    router.submit_request("unknown");
    BOOST_TEST(router.last<reply_refused>()->status == 404U);
    router.submit_request("order", "key-2");
    BOOST_TEST(router.last<reply_refused>()->status == 401U);
    router.advance_time(3s);
    router.submit_request("unknown");
    BOOST_TEST(router.last<reply_refused>()->status == 503U);
    router.submit_request("order", "key-2");
    BOOST_TEST(router.last<reply_refused>()->status == 503U);
}

// Guards against 404 replies of a router that has not read any declarations yet.
BOOST_AUTO_TEST_CASE(router_without_catalog_is_not_ready) {
    test_router router;
    router.state.active_catalog.reset();
    router.submit_request("order");
    BOOST_TEST(router.last<reply_refused>()->status == 503U);
    BOOST_TEST(!is_ready(router.state, router.now));
}

// Guards against a VM that resumes after a suspension and uses its outdated catalog.
BOOST_AUTO_TEST_CASE(suspension_ages_the_catalog) {
    test_router router;
    BOOST_TEST(is_ready(router.state, router.now));
    router.now += 5s; // no timer fired meanwhile
    router.submit_request("order");
    BOOST_TEST(router.last<reply_refused>()->status == 503U);
    BOOST_TEST(!is_ready(router.state, router.now));
}

//-----------------------------------------------------------------------------
// [SECTION] Targets
//-----------------------------------------------------------------------------

// Guards against sending requests to draining targets and to evacuated data centres.
BOOST_AUTO_TEST_CASE(draining_and_evacuated_targets_get_no_requests) {
    test_router router;
    catalog contents = make_catalog();
    contents.targets["a-1"].draining = true;
    contents.targets["a-1"].position = {0, 2};
    router.publish(contents);
    for (int i = 0; i < 4; ++i) {
        router.submit_request("order");
        BOOST_TEST(router.last<send_request>()->target == "a-2");
    }
    contents.evacuated.insert("dc-a");
    router.publish(contents);
    router.submit_request("order");
    BOOST_TEST(router.last<reply_refused>()->status == 503U);
}

// Guards against losing targets whose registrations expired during a store outage.
BOOST_AUTO_TEST_CASE(targets_missing_after_store_outage_are_kept_for_grace_period) {
    test_router router;
    router.process(store_reachable{true});
    router.advance_time(4s);
    router.process(store_reachable{false});
    router.advance_time(1s);
    router.process(store_reachable{true});
    catalog contents = make_catalog();
    contents.targets.erase("a-1");
    contents.targets.erase("a-2");
    router.publish(contents);
    router.confirm_now();
    router.submit_request("order");
    BOOST_TEST(router.take<send_request>().size() == 1U);
    router.advance_time(3s);
    router.confirm_now();
    router.submit_request("order");
    BOOST_TEST(router.take<send_request>().empty());
}

// Guards against crashing cold engines: a router's burst to a cold engine is one request.
BOOST_AUTO_TEST_CASE(cold_engine_gets_one_request_per_router) {
    test_router router;
    catalog contents = make_catalog();
    for (auto& [id, entry] : contents.targets) {
        entry.cold_remaining = 3s;
        entry.position = {0, 2};
    }
    router.publish(contents);
    for (int i = 0; i < 10; ++i)
        router.submit_request("chat");
    BOOST_TEST(router.take<send_request>().size() == 2U); // one per engine
}

// Guards against sending requests to a target to which a connection has just failed: the failure ejects it.
BOOST_AUTO_TEST_CASE(unreachable_target_is_ejected) {
    test_router router;
    router.submit_request("order");
    const auto first = router.last<send_request>();
    BOOST_REQUIRE(first.has_value());
    router.process(response_end{first->send_id, send_result::not_sent});
    const auto second = router.last<send_request>();
    BOOST_REQUIRE(second.has_value());
    BOOST_TEST(second->target != first->target);
    router.submit_request("order");
    BOOST_TEST(router.last<send_request>()->target == second->target);
}

// Guards against ejecting a target for seconds because several requests in flight failed together.
BOOST_AUTO_TEST_CASE(concurrent_connection_failures_count_once) {
    test_router router;
    for (int i = 0; i < 8; ++i)
        router.submit_request("order");
    const auto sent = router.take<send_request>();
    BOOST_REQUIRE(sent.size() == 8U);
    for (const auto& send : sent) {
        if (send.target == "a-1") router.process(response_end{send.send_id, send_result::not_sent});
    }
    BOOST_TEST(router.state.targets.at("a-1").consecutive_failures == 1U);
}

//-----------------------------------------------------------------------------
// [SECTION] Stop and overload
//-----------------------------------------------------------------------------

// Guards against a planned stop that aborts requests: accepted requests finish before the process exits.
BOOST_AUTO_TEST_CASE(stop_waits_for_running_requests) {
    test_router router;
    router.submit_request("order");
    const auto sent = router.last<send_request>();
    BOOST_REQUIRE(sent.has_value());
    router.process(stop_requested{});
    BOOST_TEST(!is_ready(router.state, router.now));
    router.advance_time(3s);
    BOOST_TEST(router.take<exit_process>().empty());
    router.confirm_now();
    router.submit_request("order");
    BOOST_TEST(router.last<reply_refused>()->status == 503U); // too late to be sure to finish
    router.process(router.head(sent->send_id));
    router.process(response_end{sent->send_id, send_result::complete});
    BOOST_TEST(router.take<reply_full>().size() == 1U);
    router.advance_time(100ms);
    BOOST_TEST(router.take<exit_process>().size() == 1U);
}

// Guards against a planned stop that cuts requests which must not be repeated: what cannot end before the
// process exits is refused at once as not executed, whatever the grace, and what is accepted has its answer.
BOOST_AUTO_TEST_CASE(stop_accepts_only_orders_that_end_before_the_exit) {
    for (const duration grace : {duration{3s}, duration{5s}, duration{8s}}) {
        for (const duration passed : {duration{0s}, duration{1s}, duration{2s}, duration{2600ms}}) {
            test_router router;
            router.state.settings.stop_timeout = grace;
            router.process(stop_requested{});
            router.advance_time(passed);
            router.out.clear();
            request_arrived order = router.request_for("order/x");
            order.remaining = 2500ms;
            router.process(order);
            BOOST_TEST_CONTEXT(grace / 1ms << " " << passed / 1ms) {
                const bool fits = passed + 2500ms <= grace;
                BOOST_TEST(router.has<send_request>() == fits);
                const auto refused = router.last<reply_refused>();
                BOOST_TEST(refused.has_value() == !fits);
                if (refused) BOOST_TEST(refused->status == 503U);
                if (refused) BOOST_TEST(refused->retry_after.has_value());
                // The time limit of an accepted order ends before the exit.
                router.advance_time(grace);
                if (fits) BOOST_TEST(router.last<reply_refused>()->reason == "timeout");
            }
        }
    }
}

// Guards against a stop that exits while an overloaded router still has unread requests.
BOOST_AUTO_TEST_CASE(stop_waits_while_timers_are_late) {
    test_router router;
    router.process(stop_requested{});
    for (int i = 0; i < 12; ++i) {
        router.process(timer_fired{});
        router.now = router.state.timer_at + 300ms;
    }
    BOOST_TEST((router.now - router.state.stop_requested_at > router.state.settings.stop_accept_time));
    BOOST_TEST(!router.has<exit_process>());
    for (int i = 0; i < 40; ++i) {
        router.now = router.state.timer_at;
        router.process(timer_fired{});
    }
    BOOST_TEST(router.has<exit_process>());
}

// Load: surge of one account at a single small router. Guards against reading requests long after their
// callers have given up: late timers take the router out of rotation and make it refuse new requests
// immediately.
BOOST_AUTO_TEST_CASE(late_timers_signal_overload) {
    test_router router;
    for (int i = 0; i < 12; ++i) {
        router.process(timer_fired{});
        router.now = router.state.timer_at + 300ms;
    }
    router.confirm_now();
    router.out.clear();
    BOOST_TEST(router.state.overloaded);
    BOOST_TEST(is_ready(router.state, router.now)); // the only router of its data centre stays in rotation
    router.submit_request("order");
    BOOST_TEST(router.last<reply_refused>()->reason == "overloaded");
    for (int i = 0; i < 40; ++i) {
        router.now = router.state.timer_at;
        router.process(timer_fired{});
    }
    BOOST_TEST(!router.state.overloaded);
}

// Guards against events that postpone a due timer, which would hide the timer lag.
BOOST_AUTO_TEST_CASE(events_do_not_postpone_a_due_timer) {
    test_router router;
    router.process(timer_fired{});
    const time_point due = router.state.timer_at;
    router.out.clear();
    for (int i = 0; i < 5; ++i) {
        router.now = due + 50ms * i;
        router.confirm_now();
    }
    BOOST_TEST(router.take<wake_at>().empty());
    BOOST_TEST((router.state.timer_at == due));
}

// Load: more waiting requests than can be placed. Guards against requests that wait for their whole waiting
// time without a placement and are then refused with "no_target".
BOOST_AUTO_TEST_CASE(waiting_requests_are_bounded) {
    test_router router;
    for (auto& [id, target] : router.state.targets)
        target.load.backlog = {350, router.now}; // capacity is expected within the waiting time
    for (int i = 0; i < 200; ++i)
        router.submit_request("review");
    const std::size_t refused_at_once = router.take<reply_refused>().size();
    BOOST_TEST(refused_at_once >= 100U);
    for (auto& [id, target] : router.state.targets)
        target.load.backlog = {1e6, router.now};
    router.advance_time(300ms);
    for (const auto& refusal : router.take<reply_refused>())
        BOOST_TEST(refusal.reason == "no_room");
}

//-----------------------------------------------------------------------------
// [SECTION] Reports
//-----------------------------------------------------------------------------

namespace {

/// Delivers the reports sent by one router to the addressed ones.
void deliver(test_router& from, std::span<test_router* const> all) {
    for (const auto& sent : from.take<send_report>()) {
        for (const std::string& address : sent.addresses) {
            for (test_router* to : all) {
                if (to->state.settings.report_address == address) to->process(report_received{*sent.report});
            }
        }
    }
}

void exchange_reports(std::span<test_router* const> all, duration time) {
    for (duration passed{}; passed < time; passed += 20ms) {
        for (test_router* router : all) {
            router->now += 20ms;
            router->process(timer_fired{});
        }
        for (test_router* router : all)
            deliver(*router, all);
    }
}

} // namespace

// Guards against routers that do not know the load and the number of routers of other data centres. Both
// arrive only through relays.
BOOST_AUTO_TEST_CASE(relays_forward_load_between_data_centres) {
    test_router a1{"10.0.0.1:7", "dc-a"};
    test_router a2{"10.0.0.2:7", "dc-a"};
    test_router b1{"10.0.1.1:7", "dc-b"};
    test_router b2{"10.0.1.2:7", "dc-b"};
    const std::vector<test_router*> all{&a1, &a2, &b1, &b2};
    for (test_router* router : all)
        router->state.settings.seeds = {"10.0.0.1:7"};
    exchange_reports(all, 4s);
    for (test_router* router : all)
        BOOST_TEST(routers_for_limits(router->state) == 4U);
    b2.confirm_now();
    b2.submit_request("order");
    const auto sent = b2.last<send_request>();
    BOOST_REQUIRE(sent.has_value());
    exchange_reports(all, 600ms);
    BOOST_TEST(total_running(a2.state.targets.at(sent->target).load) == 1U);
    b2.process(b2.head(sent->send_id));
    b2.process(response_end{sent->send_id, send_result::complete});
    exchange_reports(all, 600ms);
    BOOST_TEST(total_running(a2.state.targets.at(sent->target).load) == 0U);
}

// Guards against routers in a data centre without a seed that discover each other late or never. Meanwhile
// each of them would grant an account its whole share.
BOOST_AUTO_TEST_CASE(routers_without_local_seed_discover_each_other) {
    constexpr int routers_per_data_centre = 6;
    std::vector<std::unique_ptr<test_router>> routers;
    for (const char* data_centre : {"dc-a", "dc-b", "dc-c", "dc-d"}) {
        for (int i = 1; i <= routers_per_data_centre; ++i) {
            const std::string address = "10.0." + std::to_string(routers.size() / routers_per_data_centre) +
                                        "." + std::to_string(i) + ":7";
            routers.push_back(std::make_unique<test_router>(address, data_centre));
            routers.back()->state.settings.seeds = {"10.0.0.1:7", "10.0.1.1:7", "10.0.2.1:7"};
        }
    }
    std::vector<test_router*> all;
    for (const auto& router : routers)
        all.push_back(router.get());
    exchange_reports(all, 4s);
    for (const test_router* router : all) {
        std::size_t live_peers = 0;
        for (const auto& [address, peer] : router->state.peers) {
            const bool is_local = peer.data_centre == router->state.settings.data_centre;
            if (is_local && peer.incarnation != 0 && router->now - peer.last_heard < 1s) ++live_peers;
        }
        BOOST_TEST(live_peers == routers_per_data_centre - 1U);
        BOOST_TEST(routers_for_limits(router->state) == routers.size());
    }
}

// Guards against adding all work that a router has ever sent to the backlog in other data centres when its
// relay hears it again.
BOOST_AUTO_TEST_CASE(reappearing_peer_adds_no_backlog) {
    test_router a1{"10.0.0.1:7", "dc-a"};
    test_router a2{"10.0.0.2:7", "dc-a"};
    test_router b1{"10.0.1.1:7", "dc-b"};
    const std::vector<test_router*> all{&a1, &a2, &b1};
    const std::vector<test_router*> without_a2{&a1, &b1};
    for (test_router* router : all)
        router->state.settings.seeds = {"10.0.0.1:7", "10.0.0.2:7"};
    exchange_reports(all, 3s);
    for (int i = 0; i < 40; ++i) {
        a1.confirm_now();
        a1.submit_request("chat");
        a2.confirm_now();
        a2.submit_request("chat");
        exchange_reports(all, 100ms);
    }
    exchange_reports(without_a2, 3s); // a1, the relay, no longer hears a2
    a2.now = a1.now;
    double max_backlog_ms = 0;
    for (int i = 0; i < 200; ++i) { // checks often, because an added backlog drains again
        exchange_reports(all, 20ms);
        for (const auto& [id, target] : b1.state.targets)
            max_backlog_ms =
                std::max(max_backlog_ms, backlog_ms(target.load, b1.state.settings.engine, b1.now));
    }
    BOOST_TEST(max_backlog_ms == 0.0);
}

// Guards against a router that refuses all requests although a peer still reaches the store, and against a
// peer's catalog that appears fresher than it is.
BOOST_AUTO_TEST_CASE(peer_confirms_catalog_with_its_age) {
    test_router a1{"10.0.0.1:7"};
    test_router a2{"10.0.0.2:7"};
    const std::vector<test_router*> all{&a1, &a2};
    for (test_router* router : all)
        router->state.settings.seeds = {"10.0.0.1:7", "10.0.0.2:7"};
    for (int i = 0; i < 50; ++i) {
        a1.confirm_now(); // only a1 reaches the store
        exchange_reports(all, 200ms);
    }
    const auto age = catalog_age(a2.state.freshness, a2.now);
    BOOST_REQUIRE(age.has_value());
    BOOST_TEST(age->count() < (1s / 1us));
    const time_point last_confirmed = *a1.state.freshness.as_of;
    exchange_reports(all, 5s);
    BOOST_TEST((*a2.state.freshness.as_of <= last_confirmed));
    BOOST_TEST(!may_accept_key(a2.state.freshness, a2.state.settings.freshness, a2.now));
}

// Guards against store calls that grow with the routers, and against a router that becomes unready or uses a
// catalog that is too old because the readers died or lost the store: while a router in reach reads the
// store, all stay ready.
BOOST_AUTO_TEST_CASE(few_routers_read_the_store_and_others_take_over) {
    constexpr std::size_t router_count = 12;
    std::vector<std::unique_ptr<test_router>> routers;
    for (std::size_t i = 0; i < router_count; ++i) {
        routers.push_back(std::make_unique<test_router>("10.0.0." + std::to_string(i + 1) + ":7"));
        routers.back()->state.settings.seeds = {"10.0.0.1:7"};
        routers.back()->process(store_reachable{true});
    }
    std::vector<test_router*> alive;
    for (const auto& router : routers)
        alive.push_back(router.get());
    std::size_t reads = 0;
    constexpr int seconds = 60;
    for (int step = 0; step < seconds * 5; ++step) {
        exchange_reports(alive, 200ms);
        for (test_router* router : alive) {
            if (!plan_store_read(router->state, router->now).read) continue;
            router->confirm_now();
            ++reads;
        }
        const bool warmed_up = step > 25;
        for (test_router* router : alive) {
            const auto age = catalog_age(router->state.freshness, router->now);
            BOOST_REQUIRE(age.has_value());
            if (warmed_up) BOOST_TEST(is_ready(router->state, router->now));
        }
        // Each 10 s one of the readers dies.
        if (step % 50 == 49 && alive.size() > 4) {
            const auto reader = std::ranges::find_if(alive, [](const test_router* router) {
                return plan_store_read(router->state, router->now).read;
            });
            if (reader != alive.end()) alive.erase(reader);
        }
    }
    // Two readers of twelve, and some more while a dead one is still believed to live.
    BOOST_TEST(reads < 4U * seconds * 5U);
}

// Guards against a target that has left and is still used because a router takes its own start for the end of
// an outage of the store, during which registrations lapse.
BOOST_AUTO_TEST_CASE(start_of_a_router_is_no_store_outage) {
    test_router router;
    router.process(store_reachable{true}); // the first call of the process succeeds
    router.advance_time(1s);
    catalog contents = make_catalog();
    contents.targets.erase("a-1");
    router.publish(contents);
    router.confirm_now();
    BOOST_TEST(!uses_target(router, "a-1"));
}

// Guards against a target that has left and is still used because another router has started: routers that
// have read the store all the time must not take a peer's start for an outage.
BOOST_AUTO_TEST_CASE(start_of_a_peer_is_no_store_outage) {
    test_router a1{"10.0.0.1:7"};
    test_router a2{"10.0.0.2:7"};
    const std::vector<test_router*> all{&a1, &a2};
    for (test_router* router : all)
        router->state.settings.seeds = {"10.0.0.1:7"};
    a1.process(store_reachable{true});
    for (int i = 0; i < 20; ++i) {
        a1.confirm_now();
        exchange_reports(all, 200ms);
    }
    a2.process(store_reachable{true});
    exchange_reports(all, 400ms);
    a1.confirm_now();
    catalog contents = make_catalog();
    contents.targets.erase("a-1");
    a1.publish(contents);
    BOOST_TEST(!uses_target(a1, "a-1"));
}

// Guards against a target that has left and is still used because one router has lost its path to the store:
// registrations lapse only if the store is away for everybody.
BOOST_AUTO_TEST_CASE(lost_path_to_the_store_is_no_store_outage) {
    test_router a1{"10.0.0.1:7"};
    test_router a2{"10.0.0.2:7"};
    const std::vector<test_router*> all{&a1, &a2};
    for (test_router* router : all) {
        router->state.settings.seeds = {"10.0.0.1:7"};
        router->process(store_reachable{true});
    }
    exchange_reports(all, 4s);
    a2.process(store_reachable{false});
    for (int i = 0; i < 20; ++i) {
        a1.confirm_now();
        exchange_reports(all, 200ms);
    }
    a2.process(store_reachable{true});
    exchange_reports(all, 400ms);
    catalog contents = make_catalog();
    contents.targets.erase("a-1");
    for (test_router* router : all) {
        router->publish(contents);
        BOOST_TEST(!uses_target(*router, "a-1"));
    }
}

// Guards against losing the targets whose registrations lapse while a router starts during an outage: it has
// them from a peer's snapshot only.
BOOST_AUTO_TEST_CASE(router_that_starts_during_an_outage_keeps_lapsed_targets) {
    test_router a1{"10.0.0.1:7"};
    test_router a2{"10.0.0.2:7"};
    const std::vector<test_router*> all{&a1, &a2};
    for (test_router* router : all)
        router->state.settings.seeds = {"10.0.0.1:7"};
    a2.state.freshness = {}; // has the catalog from a snapshot and has confirmed nothing
    a2.state.outage = {};
    exchange_reports(all, 5s); // nobody reads the store
    a2.process(store_reachable{false});
    a2.process(store_reachable{true});
    catalog without_target = make_catalog();
    without_target.targets.erase("a-1");
    a2.publish(without_target);
    a2.confirm_now();
    BOOST_TEST(uses_target(a2, "a-1"));
    exchange_reports(all, 2100ms);
    BOOST_TEST(!uses_target(a2, "a-1"));
}

// Guards against a target that has left and is still used because a suspension of the process is taken for an
// outage of the store.
BOOST_AUTO_TEST_CASE(suspension_is_no_store_outage) {
    test_router router;
    router.now += 6s;
    catalog contents = make_catalog();
    contents.targets.erase("a-1");
    router.publish(contents);
    router.confirm_now();
    BOOST_TEST(!uses_target(router, "a-1"));
}

// Guards against losing live targets at a router that does not read the store itself, and against keeping
// them longer than they need to register again: the time ends once, although the routers confirm each other.
BOOST_AUTO_TEST_CASE(outage_seen_through_peers_ends) {
    test_router a1{"10.0.0.1:7"};
    test_router a2{"10.0.0.2:7"};
    test_router a3{"10.0.0.3:7"};
    const std::vector<test_router*> all{&a1, &a2, &a3};
    for (test_router* router : all)
        router->state.settings.seeds = {"10.0.0.1:7"};
    for (int i = 0; i < 20; ++i) {
        a1.confirm_now();
        exchange_reports(all, 200ms);
    }
    exchange_reports(all, 5s); // nobody reads the store
    a1.confirm_now();
    exchange_reports(all, 1s);
    catalog without_target = make_catalog();
    without_target.targets.erase("a-1");
    a3.publish(without_target);
    BOOST_TEST(uses_target(a3, "a-1")); // it may have lapsed, although only a1 has read the store
    for (int i = 0; i < 10; ++i) {
        a1.confirm_now();
        exchange_reports(all, 200ms);
    }
    BOOST_TEST(!uses_target(a3, "a-1"));
}

// Guards against relying on a reader that has itself lost the store: its age is passed on, and each router
// reads the store itself before its catalog is too old for readiness.
BOOST_AUTO_TEST_CASE(router_reads_the_store_when_readers_have_lost_it) {
    test_router a1{"10.0.0.1:7"};
    test_router a2{"10.0.0.2:7"};
    test_router a3{"10.0.0.3:7"};
    test_router a4{"10.0.0.4:7"};
    const std::vector<test_router*> all{&a1, &a2, &a3, &a4};
    for (test_router* router : all)
        router->state.settings.seeds = {"10.0.0.1:7"};
    for (test_router* router : all)
        router->process(store_reachable{true});
    for (int i = 0; i < 30; ++i) {
        for (test_router* router : all)
            router->confirm_now();
        exchange_reports(all, 200ms);
    }
    std::vector<test_router*> passive;
    for (test_router* router : all) {
        if (!plan_store_read(router->state, router->now).read) passive.push_back(router);
    }
    BOOST_TEST(passive.size() == 2U);
    exchange_reports(all, 5s); // nobody reaches the store
    for (test_router* router : passive)
        BOOST_TEST(plan_store_read(router->state, router->now).read);
}

// Guards against a target that has left and is still used because the reader on which a router relies has
// lost its watch of the targets: the confirmation of the declarations says nothing about the targets.
BOOST_AUTO_TEST_CASE(router_reads_the_store_when_its_targets_are_too_old) {
    test_router a1{"10.0.0.1:7"};
    test_router a2{"10.0.0.2:7"};
    test_router a3{"10.0.0.3:7"};
    const std::vector<test_router*> all{&a1, &a2, &a3};
    for (test_router* router : all) {
        router->state.settings.seeds = {"10.0.0.1:7"};
        router->process(store_reachable{true});
    }
    for (int i = 0; i < 30; ++i) {
        for (test_router* router : all)
            router->confirm_now();
        exchange_reports(all, 200ms);
    }
    const auto passive = std::ranges::find_if(
        all, [](const test_router* router) { return !plan_store_read(router->state, router->now).read; });
    BOOST_REQUIRE((passive != all.end()));
    duration without_targets{};
    while (!plan_store_read((*passive)->state, (*passive)->now).read && without_targets < 10s) {
        for (test_router* router : all)
            router->process(catalog_confirmed{router->now});
        exchange_reports(all, 100ms);
        without_targets += 100ms;
    }
    BOOST_TEST((without_targets <= (*passive)->state.settings.freshness.max_targets_age));
}

// Guards against accepting a revoked key at a router whose watch of the declarations is stuck while it still
// receives target changes: its store revision equals the peer's, but it lacks the peer's latest declarations.
BOOST_AUTO_TEST_CASE(peer_does_not_confirm_unread_declarations) {
    test_router a1{"10.0.0.1:7"};
    test_router a2{"10.0.0.2:7"};
    const std::vector<test_router*> all{&a1, &a2};
    for (test_router* router : all)
        router->state.settings.seeds = {"10.0.0.1:7", "10.0.0.2:7"};
    exchange_reports(all, 1s);
    const auto contents = std::make_shared<catalog>(make_catalog());
    a1.process(catalog_updated{contents, {0, 9}, {0, 9}, {0, 8}});
    a2.process(catalog_updated{contents, {0, 9}, {0, 7}, {0, 2}});
    a2.state.store_up = true;
    const time_point before = *a2.state.freshness.as_of;
    bool snapshot_requested = false;
    for (int i = 0; i < 10; ++i) {
        a1.confirm_now();
        exchange_reports(std::vector<test_router*>{&a1}, 0s);
        a1.now += 200ms;
        a1.process(timer_fired{});
        a2.now = a1.now;
        deliver(a1, all);
        snapshot_requested = snapshot_requested || a2.has<fetch_snapshot>();
        a2.process(timer_fired{});
        deliver(a2, all);
    }
    BOOST_TEST((*a2.state.freshness.as_of == before));
    BOOST_TEST(snapshot_requested);
}

//-----------------------------------------------------------------------------
// [SECTION] Rollouts
//-----------------------------------------------------------------------------

namespace {

constexpr duration rollout_time_limit = 20s;

catalog catalog_with_rollout(std::uint64_t order_revision) {
    catalog contents = make_catalog();
    for (const char* id : {"b-1", "b-2"}) {
        contents.targets[id] = make_target(id, "app", 6);
        contents.targets[id].version = "v2";
    }
    contents.rollouts["app"] = {"app", "v2", rollout_time_limit, {0, order_revision}};
    return contents;
}

/// Sends orders for the given time and responds to them, with `status_of_new` for the new version. Returns
/// the number of orders sent to the new version.
std::size_t send_orders(test_router& router, duration time, std::uint32_t status_of_new) {
    std::size_t sent_to_new = 0;
    for (const time_point end = router.now + time; router.now < end;) {
        router.confirm_now();
        router.submit_request("order");
        for (const auto& sent : router.take<send_request>()) {
            const bool is_new = sent.target.starts_with("b-");
            sent_to_new += is_new ? 1 : 0;
            router.process(router.head(sent.send_id, is_new ? status_of_new : 200));
            router.process(response_end{sent.send_id, send_result::complete});
        }
        router.now += 20ms;
        router.process(timer_fired{});
    }
    return sent_to_new;
}

rollout_phase last_written_phase(const test_router& router) {
    rollout_phase phase = rollout_phase::running;
    for (const auto& item : router.out) {
        if (const auto* written = std::get_if<write_rollout_status>(&item)) phase = written->status.phase;
    }
    return phase;
}

} // namespace

// Guards against a failing version that keeps receiving traffic, or receives more than its canary share
// before the failure is detected.
BOOST_AUTO_TEST_CASE(failing_version_is_rolled_back) {
    test_router router;
    router.state.store_up = true;
    router.publish(catalog_with_rollout(5));
    const std::size_t sent_to_new = send_orders(router, 9s, 500);
    BOOST_TEST(sent_to_new > 0U);
    BOOST_TEST(sent_to_new < 45U); // a tenth of 450 requests
    BOOST_TEST(version_share(router.state, "app", "v2") == 0.0);
    router.out.clear();
    router.advance_time(1s);
    BOOST_TEST((last_written_phase(router) == rollout_phase::rolled_back));
}

// Guards against a good version that is not completed in time, and against requests that still run on the old
// targets when these are stopped.
BOOST_AUTO_TEST_CASE(good_version_is_completed_in_time) {
    test_router router;
    router.state.store_up = true;
    router.publish(catalog_with_rollout(5));
    send_orders(router, rollout_time_limit * 3 / 4, 200);
    BOOST_TEST(version_share(router.state, "app", "v2") == 1.0);
    router.out.clear();
    router.advance_time(1s);
    BOOST_TEST((last_written_phase(router) == rollout_phase::completed));
}

// Guards against responses from an earlier rollout that fail the next one.
BOOST_AUTO_TEST_CASE(new_rollout_order_resets_evidence) {
    test_router router;
    router.publish(catalog_with_rollout(5));
    send_orders(router, 9s, 500);
    BOOST_REQUIRE(version_share(router.state, "app", "v2") == 0.0);
    router.publish(catalog_with_rollout(9));
    router.advance_time(400ms);
    BOOST_TEST(version_share(router.state, "app", "v2") > 0.0);
}

// Guards against a restarted router that sends everything to the old version, which the others no longer use.
BOOST_AUTO_TEST_CASE(restarted_router_resumes_rollout_progress) {
    test_router a1{"10.0.0.1:7"};
    test_router a2{"10.0.0.2:7"};
    const std::vector<test_router*> all{&a1, &a2};
    for (test_router* router : all)
        router->state.settings.seeds = {"10.0.0.1:7", "10.0.0.2:7"};
    a1.publish(catalog_with_rollout(5));
    send_orders(a1, rollout_time_limit * 3 / 4, 200);
    a2.now = a1.now;
    a2.publish(catalog_with_rollout(5));
    exchange_reports(all, 2s);
    BOOST_TEST(version_share(a2.state, "app", "v2") == 1.0);
}

// Guards against ignoring the rollout status written by another router.
BOOST_AUTO_TEST_CASE(written_rollout_status_is_followed) {
    test_router router;
    catalog contents = catalog_with_rollout(5);
    contents.rollout_states["app"] = {"v2", rollout_phase::completed, {0, 6}};
    router.publish(contents);
    router.advance_time(400ms);
    BOOST_TEST(version_share(router.state, "app", "v2") == 1.0);
    BOOST_TEST(!router.has<write_rollout_status>());
}

// Guards against failing a version by chance when a seventh of the service's responses always fails.
BOOST_AUTO_TEST_CASE(baseline_failures_do_not_fail_a_version) {
    std::size_t failed_versions = 0;
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        test_router router;
        random_source random{seed};
        router.publish(catalog_with_rollout(5));
        for (int i = 0; i < 400; ++i) {
            router.confirm_now();
            router.submit_request("order");
            for (const auto& sent : router.take<send_request>()) {
                router.process(router.head(sent.send_id, random.next() % 7 == 0 ? 500 : 200));
                router.process(response_end{sent.send_id, send_result::complete});
            }
            router.now += 20ms;
            router.process(timer_fired{});
            if (i > 20 && version_share(router.state, "app", "v2") == 0.0) {
                ++failed_versions;
                break;
            }
        }
    }
    BOOST_TEST(failed_versions == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
