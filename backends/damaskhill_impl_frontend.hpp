// HTTP interface of the router for callers: decodes requests and encodes answers in the completions format.
//
// Index of this file:
// [SECTION] Decoding
// [SECTION] Front end

#pragma once

#include "damaskhill_events.hpp"
#include "damaskhill_impl_restinio.hpp"

#include <unordered_map>

namespace damaskhill {

//-----------------------------------------------------------------------------
// [SECTION] Decoding
//-----------------------------------------------------------------------------

inline constexpr std::size_t max_caller_header_bytes = 16U << 10U; // names and values of all headers
inline constexpr std::size_t max_caller_body_bytes = 1U << 20U;

/// SHA-256 as lowercase hexadecimal digits, the form in which callers' keys are declared.
[[nodiscard]] std::string sha256_hex(std::string_view bytes);

/// Decodes a caller's request. Sets `error` to header_too_large, body_too_large, not_found or
/// malformed_request.
[[nodiscard]] std::optional<caller_request> decode_caller_request(const http_request& request,
                                                                  failure& error);

/// HTTP status code of a refusal.
[[nodiscard]] std::uint32_t http_status_of(failure_kind kind);
/// Response body of a refusal: application/problem+json (RFC 9457).
[[nodiscard]] std::string problem_json(const refuse& refusal);

//-----------------------------------------------------------------------------
// [SECTION] Front end
//-----------------------------------------------------------------------------

/// Tracks the open requests of callers. Converts HTTP requests into events, and effects into HTTP responses.
class caller_frontend {
public:
    explicit caller_frontend(std::function<void(router_input&&)> submit) : submit_(std::move(submit)) {}

    void on_request(http_request&& request, http_reply_ptr reply);
    void on_connection_closed(std::uint64_t connection);
    void perform(const answer_whole& answer);
    void perform(const stream_begin& begin);
    void perform(const stream_data& data);
    void perform(const stream_end& end);
    void perform(const refuse& refusal);

private:
    struct open_request {
        http_reply_ptr reply;
        std::uint64_t connection{};
        caller_route route{};
        std::string model;
        request_id request;
    };
    void erase_request(caller_id caller);

    std::function<void(router_input&&)> submit_;
    std::unordered_map<caller_id, open_request> open_requests_;
    std::unordered_map<std::uint64_t, std::vector<caller_id>> callers_by_connection_;
    caller_id next_caller_{1};
};

} // namespace damaskhill
