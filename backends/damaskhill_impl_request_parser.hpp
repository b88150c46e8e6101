// Parser of the requests on one connection. It alone decides where a message ends and the next one begins:
// after a refusal no further byte is parsed, so that the rest of a refused message is never taken for a
// request.
//
// Index of this file:
// [SECTION] Parser

#pragma once

#include "damaskhill_impl_client_limits.hpp"
#include "damaskhill_impl_http.hpp"

#include <http_parser.h>

namespace damaskhill {

//-----------------------------------------------------------------------------
// [SECTION] Parser
//-----------------------------------------------------------------------------

enum class request_state : std::uint8_t {
    none,     // nothing, or only empty lines
    head,     // the head has begun
    body,     // the head is complete
    complete, // to be taken before the next request is parsed
    refused,  // the rest of the connection's bytes is discarded
};

class request_parser {
public:
    explicit request_parser(const client_limit_settings& limits);
    ~request_parser() = default;
    request_parser(const request_parser&) = delete;
    request_parser& operator=(const request_parser&) = delete;
    request_parser(request_parser&&) = delete;
    request_parser& operator=(request_parser&&) = delete;

    /// Parses up to the end of the current request. The number of bytes parsed; the others belong to the next
    /// request, or are to be discarded after a refusal.
    std::size_t parse(std::string_view bytes);
    [[nodiscard]] request_state state() const { return state_; }
    /// Status of the refusal: 400, 413, 431, 501 (tunnels) or 505.
    [[nodiscard]] std::uint32_t refusal_status() const { return refusal_status_; }
    /// The complete request.
    [[nodiscard]] http_request take();
    /// Whether the connection can be used again after the request that was complete last.
    [[nodiscard]] bool keep_alive() const { return keep_alive_; }
    /// Whether the client waits for 100 (Continue) before it sends the body.
    [[nodiscard]] bool awaits_continue() const;
    /// Stops parsing for good, and releases what is held.
    void refuse(std::uint32_t status);
    /// Memory of the request that is being received, in bytes.
    [[nodiscard]] std::size_t held_bytes() const;

private:
    static request_parser& from(http_parser* parser) { return *static_cast<request_parser*>(parser->data); }
    static http_parser_settings make_callbacks();
    static const http_parser_settings callbacks;
    void begin();
    int on_head_bytes(std::size_t bytes);
    int on_header_name(std::string_view name);
    int on_header_value(std::string_view value);
    int on_head_complete();
    int on_body(std::string_view data);

    client_limit_settings limits_;
    http_parser parser_{};
    http_request request_;
    request_state state_{request_state::none};
    std::uint32_t refusal_status_{};
    std::size_t received_bytes_{};    // of the current message, with the empty lines before it
    std::size_t head_bytes_{};        // of the request line, headers and trailers
    bool header_value_started_{true}; // the next header name begins a new header
    bool keep_alive_{};
};

/// Whether the bytes are exactly one request, so that nothing more is on its way.
[[nodiscard]] bool is_whole_request(std::string_view bytes, const client_limit_settings& limits);

} // namespace damaskhill
