// HTTP/1.1 client of the direct router, over Asio and http_parser: keeps connections, passes bodies on as
// they arrive, and tells whether a request can have reached the other side.
//
// libcurl fits neither need here: it repeats a request by itself when a kept connection turns out to be dead,
// and a thread hand-over for each piece of a stream costs more than the piece.
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
    duration connect_timeout{400ms};    // a connection within one region takes a few ms
    duration dead_peer_timeout{1500ms}; // unacknowledged bytes or keep-alive probes, after which it is dead
    duration idle_timeout{8s};         // a kept connection is not used after so long, or what Keep-Alive says
    duration keep_alive_margin{700ms}; // before the time that Keep-Alive says
    duration recent_idle_limit{1500ms};   // a call that must not be repeated takes no older connection
    std::size_t max_idle_connections{48}; // kept for each address
};

struct edge_call {
    std::string address; // "IP:port"
    std::string head;    // request line and headers with the empty line
    std::string body;
    bool head_only{}; // method HEAD
    bool recent_connection_only{};
};

struct edge_response_head {
    std::uint32_t status{};
    http_headers headers;
    bool close_delimited{}; // no length: the end of the connection ends the body
};

enum class edge_response_action : std::uint8_t {
    accept,
    skip // belongs to another request: the next answer on the connection is waited for
};

enum class edge_result : std::uint8_t { complete, not_sent, interrupted, malformed };

struct edge_handlers {
    std::function<edge_response_action(edge_response_head&&)> on_head;
    std::function<void(std::string_view)> on_data;
    std::function<void(edge_result)> on_end; // last; not after cancel
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

    /// Starts a call and returns its number; the handlers run on the loop, never inside this function.
    std::uint64_t start(edge_call call, edge_handlers handlers);
    /// Ends a call and closes its connection; none of its handlers run afterwards.
    void cancel(std::uint64_t number);
    [[nodiscard]] std::uint64_t connections_opened() const;

private:
    struct implementation;
    std::shared_ptr<implementation> impl_;
};

} // namespace damaskhill
