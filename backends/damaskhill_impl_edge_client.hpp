// HTTP/1.1 client of the direct router, based on Asio and http_parser. Pools connections, streams response
// bodies, and reports whether a request can have reached the server.
//
// libcurl is unsuitable here: it resends a request by itself when a pooled connection turns out to be dead,
// and handing each chunk of a stream over between threads costs more than processing the chunk.
//
// Index of this file:
// [SECTION] Calls
// [SECTION] Client

#pragma once

#include "damaskhill_impl_asio.hpp"
#include "damaskhill_impl_http.hpp"

namespace damaskhill {

//-----------------------------------------------------------------------------
// [SECTION] Calls
//-----------------------------------------------------------------------------

struct edge_client_settings {
    duration connect_timeout{400ms}; // connecting within one region takes a few ms
    // A connection whose data or keep-alive probes stay unacknowledged for this long is closed.
    duration dead_peer_timeout{1500ms};
    // Idle connections are reused for this long, or for the server's Keep-Alive timeout less the margin if
    // that is shorter.
    duration idle_timeout{8s};
    duration keep_alive_margin{700ms};
    // Maximum idle time of a connection for a call that must not be repeated.
    duration recent_idle_limit{1500ms};
    std::size_t max_idle_connections{48}; // per address
};

struct edge_call {
    std::string address; // "IP:port"
    std::string head;    // request line and headers, including the empty line
    std::string body;
    bool head_only{};              // the method is HEAD
    bool recent_connection_only{}; // reuse a connection only if idle for less than recent_idle_limit
};

struct edge_response_head {
    std::uint32_t status{};
    http_headers headers;
    bool close_delimited{}; // the body ends when the connection is closed
};

enum class edge_response_action : std::uint8_t {
    accept,
    skip // the response belongs to another request: wait for the next one on this connection
};

/// How a call ended. The values equal those of direct::send_result.
enum class edge_result : std::uint8_t {
    complete,
    not_sent,    // no connection was established
    interrupted, // the connection failed before the response was complete
    malformed    // the received bytes are not a valid HTTP response
};

/// Outcome of connecting. The values equal those of direct::probe_outcome.
enum class edge_connect_result : std::uint8_t {
    accepted,
    refused,  // nobody listens at the address
    no_answer // timeout or another failure
};

struct edge_handlers {
    std::function<edge_response_action(edge_response_head&&)> on_head;
    std::function<void(std::string_view)> on_data;
    std::function<void(edge_result)> on_end; // called last; not called after cancel()
};

//-----------------------------------------------------------------------------
// [SECTION] Client
//-----------------------------------------------------------------------------

class edge_client {
public:
    edge_client(event_loop& loop, edge_client_settings settings);
    ~edge_client();
    edge_client(const edge_client&) = delete;
    edge_client& operator=(const edge_client&) = delete;
    edge_client(edge_client&&) = delete;
    edge_client& operator=(edge_client&&) = delete;

    /// Starts a call and returns its ID. The handlers run on the event loop, never from within start().
    std::uint64_t start(edge_call call, edge_handlers handlers);
    /// Aborts a call and closes its connection, by a reset if parts of the request may still be on their way
    /// to the server. None of its handlers run afterwards.
    void cancel(std::uint64_t call_id);
    /// Stops reading the response of a call, so that its server has to wait, or goes on. Bytes that are being
    /// read already still arrive.
    void set_reading_paused(std::uint64_t call_id, bool paused);
    /// Finds out whether anybody accepts connections at this address ("IP:port"); sends nothing. `done` runs
    /// on the event loop, at the latest after the connect timeout.
    void probe(const std::string& address, std::function<void(edge_connect_result)> done);
    [[nodiscard]] std::uint64_t connections_opened() const;

private:
    struct implementation;
    std::shared_ptr<implementation> impl_;
};

} // namespace damaskhill
