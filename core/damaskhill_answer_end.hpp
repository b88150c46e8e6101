// Decides whether a target's response is whole, from how its transfer ended and what is known of its body.
//
// Index of this file:
// [SECTION] Verdict

#pragma once

#include <cstdint>

namespace damaskhill {

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
