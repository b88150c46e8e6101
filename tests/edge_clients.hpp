// An edge_server that records the requests it passes on, and clients that record what they receive.
//
// Index of this file:
// [SECTION] Server
// [SECTION] Client

#pragma once

#include "damaskhill_impl_edge_server.hpp"

#include <asio.hpp>
#include <boost/test/unit_test.hpp>

namespace damaskhill::edge_clients {

//-----------------------------------------------------------------------------
// [SECTION] Server
//-----------------------------------------------------------------------------

inline constexpr const char* server_address = "127.0.0.1:18473";
inline constexpr std::size_t read_size = 16'384; // of the server
inline constexpr std::size_t max_body = 100'000;

inline void run_for(event_loop& loop, duration time) {
    loop.after(time, [&] { loop.stop(); });
    loop.run();
}

struct recording_server {
    event_loop loop;
    // Of the requests passed on:
    std::vector<std::string> targets;
    std::vector<std::string> bodies;
    std::vector<http_headers> headers;
    bool aborts{};
    bool keeps_waiting{}; // requests get no response
    std::unique_ptr<edge_server> server;

    explicit recording_server(edge_server_settings settings = {}) {
        settings.max_body_bytes = max_body;
        server = std::make_unique<edge_server>(
            loop, settings,
            edge_server::handlers{[this](std::uint64_t exchange, http_request&& request) {
                                      targets.push_back(request.target);
                                      bodies.push_back(request.body);
                                      headers.push_back(request.headers);
                                      if (aborts) {
                                          server->abort(exchange);
                                      } else if (!keeps_waiting) {
                                          server->send_response(exchange, 200, {}, "ok");
                                      }
                                  },
                                  [](std::uint64_t) {},
                                  {}});
        failure error;
        BOOST_REQUIRE(server->listen(server_address, error).has_value());
    }
};

//-----------------------------------------------------------------------------
// [SECTION] Client
//-----------------------------------------------------------------------------

struct recording_client {
    event_loop& loop;
    asio::ip::tcp::socket socket{*static_cast<asio::io_context*>(loop.native())};
    std::string received;
    bool closed{};
    bool reset{};

    explicit recording_client(event_loop& l) : loop(l) {
        failure error;
        const auto parts = split_address(server_address, error);
        socket.connect({asio::ip::make_address(parts->first), parts->second});
        socket.non_blocking(true);
        socket.set_option(asio::ip::tcp::no_delay{true});
    }
    /// In parts, as the server reads in the same thread.
    void send(std::string_view bytes) {
        while (!bytes.empty() && !closed) {
            asio::error_code ec;
            const std::size_t sent = socket.write_some(asio::buffer(bytes), ec);
            if (ec && ec != asio::error::would_block) return;
            bytes.remove_prefix(sent);
            if (!bytes.empty()) run_for(loop, 5ms);
        }
    }
    void receive() {
        std::array<char, 65536> buffer{};
        asio::error_code ec;
        while (!ec)
            received.append(buffer.data(), socket.read_some(asio::buffer(buffer), ec));
        closed = ec != asio::error::would_block;
        reset = closed && ec != asio::error::eof;
    }
};

} // namespace damaskhill::edge_clients
