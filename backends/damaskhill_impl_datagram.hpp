// Datagrams between direct routers: Thrift compact reports in signed frames over UDP.
//
// A lost report is replaced by the next one, and a silent connection cannot hold any of them back.
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

    /// Binds "IP:port". Writes network when the address cannot be used.
    [[nodiscard]] std::optional<bool> bind(std::string_view address, failure& why);
    /// Sends without waiting; a report that the system does not take is lost.
    void send(std::span<const std::string> addresses, const router_report& report);
    /// Datagrams that the system did not take; as good as lost on the way.
    [[nodiscard]] std::uint64_t send_failures() const;
    /// Datagrams that were no signed report.
    [[nodiscard]] std::uint64_t rejected_datagrams() const;

private:
    struct implementation;
    std::shared_ptr<implementation> impl_;
};

} // namespace damaskhill
