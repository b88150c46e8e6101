// HTTP/1.1 server for callers of the direct router, over Asio and http_parser.
//
// RESTinio, which is built from the same two libraries, has no call that breaks a begun answer off: its
// chunked builder always ends with the end marker, so that a cut stream would look complete.
//
// Index of this file:
// [SECTION] Server

#pragma once

#include "damaskhill_impl_asio.hpp"
#include "damaskhill_impl_http.hpp"

namespace damaskhill {

//-----------------------------------------------------------------------------
// [SECTION] Server
//-----------------------------------------------------------------------------

struct edge_server_settings {
    std::size_t max_header_bytes{64U << 10U}; // bytes of a head
    std::size_t max_body_bytes{8U << 20U};    // bytes of a body
    std::size_t max_unsent_bytes{4U << 20U};  // bytes that a slow reader may leave unsent
    std::size_t max_connections{3000}; // open connections; at the limit those that rest longest are closed
};

struct edge_server_counts {
    std::size_t open_connections{};      // connections
    std::uint64_t idle_closed{};         // to make room for new ones
    std::uint64_t refused_connections{}; // new connections that found no room
    std::uint64_t shed_requests{};       // requests that were refused unread
};

/// One request has one exchange number, which its answer is addressed by. Answers to exchanges whose
/// connection has gone are ignored.
class edge_server {
public:
    struct handlers {
        std::function<void(std::uint64_t exchange, http_request&&)> on_request;
        std::function<void(std::uint64_t exchange)> on_closed; // before the answer was complete
    };

    edge_server(event_loop& loop, edge_server_settings settings, handlers on);
    ~edge_server();
    edge_server(const edge_server&) = delete;
    edge_server& operator=(const edge_server&) = delete;
    edge_server(edge_server&&) = delete;
    edge_server& operator=(edge_server&&) = delete;

    /// Serves "IP:port" on the loop. Writes network when the address cannot be used.
    [[nodiscard]] std::optional<bool> listen(std::string_view address, failure& why);

    void send_response(std::uint64_t exchange, std::uint32_t status, const http_headers& headers,
                       std::string_view body);
    void begin_response(std::uint64_t exchange, std::uint32_t status, const http_headers& headers);
    void send_chunk(std::uint64_t exchange, std::string_view data);
    void end_response(std::uint64_t exchange);
    void abort(std::uint64_t exchange); // closes the connection without an end

    [[nodiscard]] edge_server_counts counts() const;

    /// While set, requests on new connections are refused without being read.
    void set_shedding(bool shedding);
    /// While set, every answer ends its connection, so that callers come back through the balancer.
    void set_close_after_response(bool close_after_response);
    /// From now on every answer ends its connection; idle connections close after the delay.
    void begin_drain(duration idle_close_delay);

private:
    struct implementation;
    std::shared_ptr<implementation> impl_;
};

} // namespace damaskhill
