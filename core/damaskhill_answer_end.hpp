// Decides whether a response belongs to the request that it is received for, and whether it is whole, from
// how its transfer ended and what is known of its body.
//
// Index of this file:
// [SECTION] Head
// [SECTION] Verdict

#pragma once

#include <cstdint>

namespace damaskhill {

//-----------------------------------------------------------------------------
// [SECTION] Head
//-----------------------------------------------------------------------------

struct received_head {
    bool attempt_matches{}; // has the id of this attempt
    bool attempt_differs{}; // has another id
    bool content_encoded{}; // the body is not the target's own bytes
};

enum class head_verdict : std::uint8_t {
    accepted,
    of_another_request, // an earlier response once more: the one to this request may follow
    unusable            // nothing shows that it answers this request
};

/// Judges any response, a refusal too: "not executed" counts only for the request that it answers.
[[nodiscard]] head_verdict judge_head(const received_head& head);

//-----------------------------------------------------------------------------
// [SECTION] Verdict
//-----------------------------------------------------------------------------

/// Where the received bytes of a response end. Responses that are no event streams have no events.
enum class body_position : std::uint8_t { before_first_event, inside_event, between_events, not_a_stream };

struct received_response {
    bool transfer_complete{}; // up to the end that the response states, or an orderly end of its connection
    bool close_delimited{};   // neither a length nor chunks: only the end of the connection ends the body
    bool successful{};        // status 2xx
    bool resumed{};           // continues a stream of which the caller has received events
    body_position position{body_position::not_a_stream};
};

enum class response_verdict : std::uint8_t {
    whole,
    truncated,
    in_doubt // whole only if the target is still up: a crash ends its connections in order, too
};

[[nodiscard]] response_verdict judge_response(const received_response& response);

} // namespace damaskhill
