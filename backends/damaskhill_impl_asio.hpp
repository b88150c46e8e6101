// Event loop, timers, signal handling and links between processes, built on Asio.
//
// Index of this file:
// [SECTION] Event loop
// [SECTION] Links

#pragma once

#include "damaskhill_impl_thrift.hpp"

#include <functional>
#include <memory>

namespace damaskhill {

//-----------------------------------------------------------------------------
// [SECTION] Event loop
//-----------------------------------------------------------------------------

/// Single-threaded event loop. All callbacks of the backends run on it.
class event_loop {
public:
    event_loop();
    ~event_loop();
    event_loop(const event_loop&) = delete;
    event_loop& operator=(const event_loop&) = delete;
    event_loop(event_loop&&) = delete;
    event_loop& operator=(event_loop&&) = delete;

    void run(); // returns after stop(); may be called again
    void stop();
    void post(std::function<void()> work);                   // thread-safe
    void every(duration period, std::function<void()> work); // repeats while the loop runs
    void after(duration delay, std::function<void()> work);
    void on_terminate(std::function<void()> work); // the first SIGTERM or SIGINT
    void on_hangup(std::function<void()> work);    // every SIGHUP
    [[nodiscard]] void* native();                  // the loop's asio::io_context

private:
    struct implementation;
    std::unique_ptr<implementation> impl_;
};

/// Current wall-clock time, used as the timestamp of events.
[[nodiscard]] time_point wall_clock();

//-----------------------------------------------------------------------------
// [SECTION] Links
//-----------------------------------------------------------------------------

struct link_settings {
    std::vector<link_key> keys;               // the first signs, all are accepted
    std::size_t max_unsent_bytes{64U << 20U}; // a link with more queued bytes is closed
    duration dial_timeout{2s};                // of connecting, and again of the salt exchange that follows
};

struct link_callbacks {
    std::function<void(link_id, std::string_view dialed)> opened; // `dialed` is empty for an accepted link
    std::function<void(link_id, failure_kind)> closed;
    std::function<void(link_id, peer_message&&)> message;
    std::function<void(std::string_view name)> dial_failed;
    std::function<void(failure_kind)> frame_dropped; // a frame was dropped; the link stays open
};

/// Bytes transferred over links; exported as the metric of control traffic.
struct link_traffic {
    std::uint64_t bytes_sent{};
    std::uint64_t bytes_received{};
};

/// Links between routers and sidecars: TCP connections that carry peer messages in authenticated frames.
class link_transport {
public:
    link_transport(event_loop& loop, link_settings settings, link_callbacks callbacks);
    ~link_transport();
    link_transport(const link_transport&) = delete;
    link_transport& operator=(const link_transport&) = delete;
    link_transport(link_transport&&) = delete;
    link_transport& operator=(link_transport&&) = delete;

    /// Accepts links on "IP:port". Sets `error` to network if the address cannot be bound.
    [[nodiscard]] std::optional<bool> listen(std::string_view address, failure& error);
    /// Opens a link to "IP:port". `name` identifies the peer in the callbacks.
    void dial(const std::string& name, const std::string& address);
    void send(link_id link, const peer_message& message);
    void close(link_id link);
    [[nodiscard]] link_traffic traffic() const;

private:
    struct implementation;
    std::shared_ptr<implementation> impl_;
};

/// Splits "IP:port". Sets `error` to out_of_range if the text is not valid.
[[nodiscard]] std::optional<std::pair<std::string, std::uint16_t>> split_address(std::string_view address,
                                                                                 failure& error);

} // namespace damaskhill
