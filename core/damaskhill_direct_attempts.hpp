// Functions shared by the sources that place requests and those that handle responses: the end of a request,
// the end of an attempt and the start of another one.
//
// Index of this file:
// [SECTION] End of a request
// [SECTION] End of an attempt
// [SECTION] Another attempt

#pragma once

#include "damaskhill_direct_internal.hpp"

namespace damaskhill::direct {

inline constexpr std::uint32_t status_bad_gateway = 502;
inline constexpr std::uint32_t status_unavailable = 503;

//-----------------------------------------------------------------------------
// [SECTION] End of a request
//-----------------------------------------------------------------------------

void log_outcome(router_state& state, const request& item, std::string_view outcome, std::uint32_t status,
                 effects& out);
/// Time at which the current attempt of an idempotent call is retried if it has no response head.
[[nodiscard]] time_point attempt_due(const router_state& state, const request& item);
/// Updates the sum of buffered bytes after a change of the request's buffered response.
void count_buffered_bytes(router_state& state, request& item);
/// Fails the requests with the most buffered bytes while the sum exceeds the limit of the process.
void limit_total_bytes(router_state& state, effects& out);
void remove_request(router_state& state, const request_ptr& item);
void refuse(router_state& state, const request_ptr& item, std::uint32_t status,
            std::optional<duration> retry_after, std::string_view reason, effects& out);
/// Ends a request with an error reply, or aborts the reply if it has already started.
void fail(router_state& state, const request_ptr& item, std::uint32_t status, std::string_view reason,
          effects& out);

//-----------------------------------------------------------------------------
// [SECTION] End of an attempt
//-----------------------------------------------------------------------------

/// Removes the current attempt from the state and from the load of its target.
void clear_attempt(router_state& state, request& item);
/// Clears the current attempt and aborts it at the target.
void cancel_attempt(router_state& state, request& item, effects& out);

//-----------------------------------------------------------------------------
// [SECTION] Another attempt
//-----------------------------------------------------------------------------

[[nodiscard]] bool is_retryable(const request& item);
/// Cancels the current attempt, if any, and sends the request to another target. Returns false and changes
/// nothing if no target has capacity or the limits allow no further attempt.
bool retry_elsewhere(router_state& state, const request_ptr& item, std::string_view reason, effects& out);
/// Retries the request at another target, or else fails it with the given status.
void retry_or_fail(router_state& state, const request_ptr& item, std::uint32_t status,
                   std::string_view reason, effects& out);

} // namespace damaskhill::direct
