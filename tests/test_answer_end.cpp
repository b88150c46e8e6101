// Index of this file:
// [SECTION] Head
// [SECTION] Verdict

#include "damaskhill_answer_end.hpp"

#include <boost/test/unit_test.hpp>

#include <array>

using namespace damaskhill;

BOOST_AUTO_TEST_SUITE(answer_end)

//-----------------------------------------------------------------------------
// [SECTION] Head
//-----------------------------------------------------------------------------

// Guards against an earlier refusal that a target writes once more and that is taken for the answer to the
// next request: the caller would be told that a request has not run which has.
BOOST_AUTO_TEST_CASE(response_is_believed_of_the_request_that_it_answers) {
    BOOST_TEST((judge_head({true, false, false}) == head_verdict::accepted));
    BOOST_TEST((judge_head({false, true, false}) == head_verdict::of_another_request));
    BOOST_TEST((judge_head({false, false, false}) == head_verdict::unusable));
    BOOST_TEST((judge_head({true, false, true}) == head_verdict::unusable));
}

//-----------------------------------------------------------------------------
// [SECTION] Verdict
//-----------------------------------------------------------------------------

// Guards against a truncated response that counts as whole, in each combination of framing, kind of response,
// position in the body and way in which the transfer ended.
BOOST_AUTO_TEST_CASE(truncated_responses_are_never_whole) {
    using enum body_position;
    for (const body_position position : {before_first_event, inside_event, between_events, not_a_stream}) {
        for (const bool close_delimited : {false, true}) {
            for (const bool successful : {false, true}) {
                for (const bool resumed : {false, true}) {
                    // Reset, silence, and an end short of the length or inside a chunk.
                    BOOST_TEST((judge_response({false, close_delimited, successful, resumed, position}) ==
                                response_verdict::truncated));
                    // The pages name no end marker, so an open event is the only sign in the body.
                    const auto ended = judge_response({true, close_delimited, successful, resumed, position});
                    if (position == inside_event) BOOST_TEST((ended == response_verdict::truncated));
                    // The end of a connection alone proves nothing.
                    if (close_delimited && successful) BOOST_TEST((ended != response_verdict::whole));
                    if (close_delimited && successful && !resumed && position == before_first_event)
                        BOOST_TEST((ended == response_verdict::truncated));
                }
            }
        }
    }
}

// Guards against sound responses that are broken off: framed ones, empty ones included, and failures.
BOOST_AUTO_TEST_CASE(stated_ends_are_whole) {
    using enum body_position;
    for (const body_position position : {before_first_event, between_events, not_a_stream}) {
        for (const bool resumed : {false, true})
            BOOST_TEST((judge_response({true, false, true, resumed, position}) == response_verdict::whole));
    }
    BOOST_TEST((judge_response({true, true, false, false, not_a_stream}) == response_verdict::whole));
}

BOOST_AUTO_TEST_SUITE_END()
