// Connection of a caller, as edge_server keeps it.
//
// Index of this file:
// [SECTION] Connection

#pragma once

#include "damaskhill_impl_request_parser.hpp"

#include <asio.hpp>
#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include <linux/sockios.h>
#include <sys/ioctl.h>

namespace damaskhill {

//-----------------------------------------------------------------------------
// [SECTION] Connection
//-----------------------------------------------------------------------------

inline constexpr std::size_t read_buffer_size = 16U << 10U;
using clock = client_clock;

enum class response_state : std::uint8_t { none, awaited, chunked };

using blocked_hook =
    boost::intrusive::list_member_hook<boost::intrusive::link_mode<boost::intrusive::auto_unlink>>;

struct edge_connection : boost::intrusive_ref_counter<edge_connection, boost::thread_unsafe_counter>,
                         client_entry {
    edge_connection(asio::ip::tcp::socket s, const client_limit_settings& limits)
        : socket(std::move(s)), parser(limits) {}
    asio::ip::tcp::socket socket;
    request_parser parser;
    bool close_announced{};      // the response contains Connection: close
    bool head_only{};            // the method is HEAD
    bool continue_sent{};        // 100 (Continue) to the current request
    std::string pipelined_bytes; // received before the current response was complete
    std::uint64_t exchange{};
    response_state response{response_state::none};
    std::string unsent;
    std::size_t written{};         // bytes at the front of `unsent` that the socket has taken
    std::size_t discarded_bytes{}; // received after the last request
    bool reading{};                // a wait for bytes is outstanding
    bool proceed_posted{};
    bool awaiting_writable{};
    bool congested{};                    // see edge_server_settings::congested_bytes
    blocked_hook blocked;                // linked into blocked_connections while awaiting_writable
    clock::time_point progress_at;       // time at which the caller was last seen to take bytes
    std::optional<int> unacknowledged{}; // bytes in the kernel's send queue at progress_at
    bool flush_posted{};
    bool close_after_write{};
    bool closed{};
};
using connection_ptr = boost::intrusive_ptr<edge_connection>;
using blocked_list = boost::intrusive::list<
    edge_connection, boost::intrusive::member_hook<edge_connection, blocked_hook, &edge_connection::blocked>,
    boost::intrusive::constant_time_size<false>>;

inline std::size_t unsent_size(const edge_connection& connection) {
    return connection.unsent.size() - connection.written;
}

inline const char* reason_phrase(std::uint32_t status) {
    return http_status_str(static_cast<http_status>(status));
}

/// Bytes that the kernel holds for the caller; none if it does not tell.
inline std::optional<int> kernel_unacknowledged(asio::ip::tcp::socket& socket) {
    int bytes = 0;
    if (ioctl(socket.native_handle(), SIOCOUTQ, &bytes) != 0) return std::nullopt;
    return bytes;
}

/// Forgets what the socket has taken, and memory that a keep-alive connection would hold without need.
inline void discard_written(edge_connection& connection) {
    constexpr std::size_t kept_capacity = 64U << 10U;
    if (connection.written == connection.unsent.size()) {
        connection.unsent.clear();
        connection.written = 0;
        if (connection.unsent.capacity() > kept_capacity) connection.unsent.shrink_to_fit();
    } else if (connection.written > connection.unsent.size() / 2) {
        // Moves each byte a bounded number of times.
        connection.unsent.erase(0, connection.written);
        connection.written = 0;
    }
}

} // namespace damaskhill
