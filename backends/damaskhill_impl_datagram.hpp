// Exchanges reports between direct routers: Thrift compact messages in authenticated frames over UDP.
//
// UDP is used because each report supersedes the one before, so a lost one need not be sent again, and no
// report is delayed behind a stalled connection.
//
// Index of this file:
// [SECTION] Transport

#pragma once

#include "damaskhill_direct_messages.hpp"
#include "damaskhill_impl_asio.hpp"

namespace damaskhill {

//-----------------------------------------------------------------------------
// [SECTION] Transport
//-----------------------------------------------------------------------------

class datagram_transport {
public:
    using report_handler = std::function<void(router_report&&)>;

    datagram_transport(event_loop& loop, std::vector<link_key> keys, report_handler on_report);
    ~datagram_transport();
    datagram_transport(const datagram_transport&) = delete;
    datagram_transport& operator=(const datagram_transport&) = delete;
    datagram_transport(datagram_transport&&) = delete;
    datagram_transport& operator=(datagram_transport&&) = delete;

    /// Binds "IP:port". Sets `error` to network if the address cannot be bound.
    [[nodiscard]] std::optional<bool> bind(std::string_view address, failure& error);
    /// Sends without blocking. A report that the kernel does not accept is lost.
    void send(std::span<const std::string> addresses, const router_report& report);
    /// Number of datagrams that the kernel did not accept or that were too large.
    [[nodiscard]] std::uint64_t send_failures() const;
    /// Number of received datagrams that failed authentication or decoding.
    [[nodiscard]] std::uint64_t rejected_datagrams() const;

private:
    struct implementation;
    std::shared_ptr<implementation> impl_;
};

} // namespace damaskhill
