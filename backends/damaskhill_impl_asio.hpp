// Event loop, timers, signals and links between processes, over Asio.
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

/// Single-threaded loop; every callback of the backends runs on it.
class event_loop {
public:
    event_loop();
    ~event_loop();
    event_loop(const event_loop&) = delete;
    event_loop& operator=(const event_loop&) = delete;
    event_loop(event_loop&&) = delete;
    event_loop& operator=(event_loop&&) = delete;

    void run(); // until stop(); may be called again
    void stop();
    void post(std::function<void()> work);                   // callable from any thread
    void every(duration period, std::function<void()> work); // repeats until the loop stops
    void after(duration delay, std::function<void()> work);
    void on_terminate(std::function<void()> work); // SIGTERM and SIGINT
    void on_hangup(std::function<void()> work);    // each SIGHUP
    [[nodiscard]] void* native();                  // asio::io_context of this loop

private:
    struct implementation;
    std::unique_ptr<implementation> impl_;
};

/// Wall-clock time for events.
[[nodiscard]] time_point wall_clock();

//-----------------------------------------------------------------------------
// [SECTION] Links
//-----------------------------------------------------------------------------

struct link_settings {
    std::vector<link_key> keys;               // first one signs, all are accepted
    std::size_t max_unsent_bytes{64U << 20U}; // unsent bytes of one link after which it is closed
    duration dial_timeout{2s};
};

struct link_callbacks {
    std::function<void(link_id, std::string_view dialed)> opened;
    std::function<void(link_id, failure_kind)> closed;
    std::function<void(link_id, peer_message&&)> message;
    std::function<void(std::string_view name)> dial_failed;
    std::function<void(failure_kind)> frame_dropped; // a frame that was dropped without closing the link
};

/// Bytes that have gone over links, for the measurement of control traffic.
struct link_traffic {
    std::uint64_t bytes_sent{};
    std::uint64_t bytes_received{};
};

class link_transport {
public:
    link_transport(event_loop& loop, link_settings settings, link_callbacks callbacks);
    ~link_transport();
    link_transport(const link_transport&) = delete;
    link_transport& operator=(const link_transport&) = delete;
    link_transport(link_transport&&) = delete;
    link_transport& operator=(link_transport&&) = delete;

    /// Accepts links on "IP:port". Writes network when the address cannot be used.
    [[nodiscard]] std::optional<bool> listen(std::string_view address, failure& why);
    void dial(const std::string& name, const std::string& address);
    void send(link_id link, const peer_message& message);
    void close(link_id link);
    [[nodiscard]] link_traffic traffic() const;

private:
    struct implementation;
    std::shared_ptr<implementation> impl_;
};

/// Splits "IP:port"; writes out_of_range.
[[nodiscard]] std::optional<std::pair<std::string, std::uint16_t>> split_address(std::string_view address,
                                                                                 failure& why);

} // namespace damaskhill
