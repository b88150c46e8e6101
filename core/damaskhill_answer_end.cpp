// Index of this file:
// [SECTION] Head
// [SECTION] Verdict

#include "damaskhill_answer_end.hpp"

namespace damaskhill {

//-----------------------------------------------------------------------------
// [SECTION] Head
//-----------------------------------------------------------------------------

head_verdict judge_head(const received_head& head) {
    if (head.attempt_differs) return head_verdict::of_another_request;
    return head.attempt_matches && !head.content_encoded ? head_verdict::accepted : head_verdict::unusable;
}

//-----------------------------------------------------------------------------
// [SECTION] Verdict
//-----------------------------------------------------------------------------

response_verdict judge_response(const received_response& response) {
    if (!response.transfer_complete || response.position == body_position::inside_event)
        return response_verdict::truncated;
    if (!response.close_delimited || !response.successful) return response_verdict::whole;
    // A stream has at least one event; what is left of a resumed one may have none.
    if (response.position == body_position::before_first_event && !response.resumed)
        return response_verdict::truncated;
    return response_verdict::in_doubt;
}

} // namespace damaskhill
