// TCP proxy on loopback that injects network faults: delays, resets, stalls in one direction and refused
// connections.
//
// Index of this file:
// [SECTION] Faults
// [SECTION] Proxy

#pragma once

#include "damaskhill_impl_asio.hpp"

#include <asio.hpp>

#include <list>

namespace damaskhill::soak {

//-----------------------------------------------------------------------------
// [SECTION] Faults
//-----------------------------------------------------------------------------

struct proxy_faults {
    duration delay{};             // of each read, in both directions
    bool stall_upstream{};        // bytes towards the server are held back
    bool stall_downstream{};      // bytes towards the client are held back
    bool reset_new_connections{}; // right after they are accepted
};

//-----------------------------------------------------------------------------
// [SECTION] Proxy
//-----------------------------------------------------------------------------

class fault_proxy {
public:
    /// Accepts connections on `listen_address` and opens one to `server_address` for each. Throws
    /// std::system_error or std::invalid_argument if it cannot listen there.
    fault_proxy(event_loop& loop, const std::string& listen_address, std::string server_address);

    proxy_faults faults;
    void reset_connections(); // all connections open now
    [[nodiscard]] const std::string& address() const { return address_; }

private:
    struct connection_pair;
    struct transfer; // result of one read, to be written to the other side
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

/// Parses "IP:port"; throws std::system_error or std::invalid_argument if it is malformed.
[[nodiscard]] asio::ip::tcp::endpoint parse_endpoint(const std::string& address);

} // namespace damaskhill::soak
