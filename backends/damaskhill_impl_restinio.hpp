// HTTP/1.1 server over RESTinio, for callers and for the stand-ins.
//
// Index of this file:
// [SECTION] Replies
// [SECTION] Server

#pragma once

#include "damaskhill_impl_asio.hpp"
#include "damaskhill_impl_http.hpp"

namespace damaskhill {

//-----------------------------------------------------------------------------
// [SECTION] Replies
//-----------------------------------------------------------------------------

/// The reply to one request: either whole, or begun, continued and ended. Calls after the end are ignored.
class http_reply {
public:
    http_reply() = default;
    http_reply(const http_reply&) = delete;
    http_reply& operator=(const http_reply&) = delete;
    http_reply(http_reply&&) = delete;
    http_reply& operator=(http_reply&&) = delete;
    virtual ~http_reply() = default;
    virtual void send_response(std::uint32_t status, const http_headers& headers, std::string body) = 0;
    virtual void begin_response(std::uint32_t status, const http_headers& headers) = 0;
    virtual void send_chunk(std::string data) = 0;
    virtual void end_response() = 0;
    virtual void abort() = 0; // closes the connection without an end
};
using http_reply_ptr = std::shared_ptr<http_reply>;

//-----------------------------------------------------------------------------
// [SECTION] Server
//-----------------------------------------------------------------------------

struct http_server_settings {
    std::size_t max_header_bytes{64U << 10U}; // bytes of all headers after which the connection is closed
    std::size_t max_body_bytes{4U << 20U};    // bytes of a body after which the connection is closed
    duration response_timeout{1200s};         // from the request to the end of the reply
};

class http_server {
public:
    using handler = std::function<void(http_request&&, http_reply_ptr)>;
    using closed_handler = std::function<void(std::uint64_t connection)>;

    http_server(event_loop& loop, http_server_settings settings);
    ~http_server();
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;
    http_server(http_server&&) = delete;
    http_server& operator=(http_server&&) = delete;

    /// Serves "IP:port" on the loop. Writes network when the address cannot be used.
    [[nodiscard]] std::optional<bool> listen(std::string_view address, handler on_request,
                                             closed_handler on_closed, failure& why);
    /// Refuses new connections; open ones are served on.
    void stop_accepting();

private:
    struct implementation;
    std::unique_ptr<implementation> impl_;
};

} // namespace damaskhill
