// HTTP/1.1 server based on RESTinio, used by the router, the sidecar and the stand-ins.
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

/// Response to one request, sent either at once or as a stream of chunks. Calls after its end are ignored.
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
    virtual void abort() = 0; // closes the connection without completing the response
};
using http_reply_ptr = std::shared_ptr<http_reply>;

//-----------------------------------------------------------------------------
// [SECTION] Server
//-----------------------------------------------------------------------------

struct http_server_settings {
    std::size_t max_header_bytes{64U << 10U}; // of a header value; the connection is closed if it is exceeded
    std::size_t max_body_bytes{4U << 20U};    // of a body; the connection is closed if it is exceeded
    duration response_timeout{1200s};         // from the request to the end of the response
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

    /// Listens on "IP:port". Sets `error` to network if the address cannot be bound.
    [[nodiscard]] std::optional<bool> listen(std::string_view address, handler on_request,
                                             closed_handler on_closed, failure& error);
    /// Stops accepting connections. Open connections are still served.
    void stop_accepting();

private:
    struct implementation;
    std::unique_ptr<implementation> impl_;
};

} // namespace damaskhill
