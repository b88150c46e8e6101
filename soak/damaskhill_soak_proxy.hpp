// Loopback proxy that stands in a TCP path and harms it: delays, resets, silence in one direction, refusal.
//
// Index of this file:
// [SECTION] Harm
// [SECTION] Proxy

#pragma once

#include "damaskhill_impl_asio.hpp"

#include <asio.hpp>

#include <list>

namespace damaskhill::soak {

//-----------------------------------------------------------------------------
// [SECTION] Harm
//-----------------------------------------------------------------------------

struct proxy_faults {
    duration delay{};             // of each piece, in both directions
    bool stall_upstream{};        // bytes towards the server are held
    bool stall_downstream{};      // bytes towards the client are held
    bool reset_new_connections{}; // new connections are reset
};

//-----------------------------------------------------------------------------
// [SECTION] Proxy
//-----------------------------------------------------------------------------

class fault_proxy {
public:
    /// Listens on one address and connects to the other for each connection. Throws std::system_error when
    /// the address cannot be used.
    fault_proxy(event_loop& loop, const std::string& listen_address, std::string server_address);

    proxy_faults faults;
    void reset_connections(); // connections that are open now
    [[nodiscard]] const std::string& address() const { return address_; }

private:
    struct connection_pair;
    struct transfer; // bytes on their way in one direction
    void accept();
    void connect_to_server(const std::shared_ptr<connection_pair>& pair);
    void read_from(const std::shared_ptr<connection_pair>& pair, bool upstream);
    void relay(const std::shared_ptr<connection_pair>& pair, transfer data);
    void run_after(duration delay, std::function<void()> callback);

    asio::io_context& context_;
    std::string address_;
    std::string server_address_;
    asio::ip::tcp::acceptor acceptor_;
    std::list<std::weak_ptr<connection_pair>> connections_;
};

/// Endpoint of "IP:port".
[[nodiscard]] asio::ip::tcp::endpoint parse_endpoint(const std::string& address);

} // namespace damaskhill::soak
