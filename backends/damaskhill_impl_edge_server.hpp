// HTTP/1.1 server for callers of the direct router, based on Asio and http_parser.
//
// RESTinio is unsuitable here: it cannot abort a response that has begun. Its chunked response builder always
// writes the terminating chunk, so an interrupted stream would look complete.
//
// Index of this file:
// [SECTION] Server

#pragma once

#include "damaskhill_impl_asio.hpp"
#include "damaskhill_impl_client_limits.hpp"
#include "damaskhill_impl_http.hpp"

namespace damaskhill {

//-----------------------------------------------------------------------------
// [SECTION] Server
//-----------------------------------------------------------------------------

struct edge_server_settings : client_limit_settings {
    // Unsent bytes of a chunked response at which its caller counts as congested, and below which it no
    // longer does. No further request of a caller is parsed while it has as many unread.
    std::size_t congested_bytes{256U << 10U};
    std::size_t relieved_bytes{64U << 10U};
    // A connection whose caller acknowledges no byte of a response for this long is reset.
    duration write_stall_timeout{15s};
};

struct edge_server_counts {
    std::size_t open_connections{};
    std::uint64_t idle_closed{};         // idle connections closed to make room for new ones
    std::uint64_t unfinished_closed{};   // connections with an unfinished request closed for new ones
    std::uint64_t refused_connections{}; // new connections closed because all are served
    std::uint64_t shed_requests{};       // requests refused unprocessed, see set_shedding()
    std::size_t held_bytes{};            // see client_limit_settings::max_held_bytes
    std::uint64_t ended_for_memory{};    // connections ended because max_held_bytes was exceeded
    std::uint64_t stalled{};             // connections reset after write_stall_timeout
    std::uint64_t idle_expired{};        // idle connections closed after idle_timeout
    std::uint64_t requests_expired{};    // unfinished requests refused after their time limit (408)
    std::uint64_t oversized_requests{};  // requests refused because they exceed a size limit (413, 431)
    std::uint64_t malformed_requests{};  // requests refused because they cannot be parsed (400, 501, 505)
};

/// Each request is assigned an exchange ID, to which its response is addressed. Calls for an exchange whose
/// connection is closed are ignored.
class edge_server {
public:
    struct handlers {
        std::function<void(std::uint64_t exchange, http_request&&)> on_request;
        std::function<void(std::uint64_t exchange)> on_closed; // before the response was complete
        // The caller of a chunked response reads more slowly than the response comes, or does so no longer.
        // Not called from within a call of this class; may be empty.
        std::function<void(std::uint64_t exchange, bool congested)> on_congestion;
    };

    edge_server(event_loop& loop, edge_server_settings settings, handlers callbacks);
    ~edge_server();
    edge_server(const edge_server&) = delete;
    edge_server& operator=(const edge_server&) = delete;
    edge_server(edge_server&&) = delete;
    edge_server& operator=(edge_server&&) = delete;

    /// Listens on "IP:port". Sets `error` to network if the address cannot be bound.
    [[nodiscard]] std::optional<bool> listen(std::string_view address, failure& error);

    void send_response(std::uint64_t exchange, std::uint32_t status, const http_headers& headers,
                       std::string_view body);
    void begin_response(std::uint64_t exchange, std::uint32_t status, const http_headers& headers);
    void send_chunk(std::uint64_t exchange, std::string_view data);
    void end_response(std::uint64_t exchange);
    void abort(std::uint64_t exchange); // closes the connection without completing the response

    [[nodiscard]] edge_server_counts counts() const;

    /// While set, requests on new connections are refused with 503 without being processed.
    void set_shedding(bool shedding);
    /// While set, every response closes its connection, so that callers reconnect through the load balancer.
    void set_close_after_response(bool close_after_response);
    /// From now on every response closes its connection. Idle connections are closed after the delay.
    void begin_drain(duration idle_close_delay);

private:
    struct implementation;
    std::shared_ptr<implementation> impl_;
};

} // namespace damaskhill
