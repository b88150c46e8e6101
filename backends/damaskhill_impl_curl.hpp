// HTTP client based on libcurl. One thread drives all transfers; handlers run on the event loop.
//
// Index of this file:
// [SECTION] Calls
// [SECTION] Client

#pragma once

#include "damaskhill_impl_asio.hpp"
#include "damaskhill_impl_restinio.hpp"

namespace damaskhill {

//-----------------------------------------------------------------------------
// [SECTION] Calls
//-----------------------------------------------------------------------------

struct http_call {
    std::string method{"GET"};
    std::string url;
    http_headers headers;
    std::string body;
    duration timeout{5s}; // for the whole call, 0: none
    duration connect_timeout{1s};
};

struct http_result {
    bool transport_ok{}; // a complete response arrived
    bool sent{};         // part of the request may have reached the server
    bool timed_out{};
    std::uint32_t status{};
    std::string content_type;
    std::string body; // empty if on_data is set
};

struct http_call_handlers {
    std::function<void(std::uint32_t status, std::string_view content_type, std::string&& data)>
        on_data; // optional
    std::function<void(http_result&&)> on_done;
};

//-----------------------------------------------------------------------------
// [SECTION] Client
//-----------------------------------------------------------------------------

class http_client {
public:
    explicit http_client(event_loop& loop);
    ~http_client();
    http_client(const http_client&) = delete;
    http_client& operator=(const http_client&) = delete;
    http_client(http_client&&) = delete;
    http_client& operator=(http_client&&) = delete;

    /// Starts a call and returns its ID. The handlers run on the event loop.
    std::uint64_t start(http_call call, http_call_handlers handlers);
    /// Aborts a call. None of its handlers run afterwards.
    void cancel(std::uint64_t call_id);

private:
    struct implementation;
    std::unique_ptr<implementation> impl_;
};

} // namespace damaskhill
