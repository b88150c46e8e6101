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

struct path_harm {
    duration delay{};       // of each piece, in both directions
    bool silent_forward{};  // bytes towards the server are held
    bool silent_backward{}; // bytes towards the client are held
    bool refused{};         // new connections are reset
};

//-----------------------------------------------------------------------------
// [SECTION] Proxy
//-----------------------------------------------------------------------------

class fault_proxy {
public:
    /// Listens on one address and connects to the other for each connection. Throws std::system_error when
    /// the address cannot be used.
    fault_proxy(event_loop& loop, const std::string& listen_address, std::string server_address);

    path_harm harm;
    void reset_all(); // connections that are open now
    [[nodiscard]] const std::string& address() const { return address_; }

private:
    struct path;
    struct piece; // bytes on their way in one direction
    void accept();
    void serve(const std::shared_ptr<path>& pair);
    void read(const std::shared_ptr<path>& pair, bool forward);
    void pass_on(const std::shared_ptr<path>& pair, piece read);
    void wait(duration time, std::function<void()> then);

    asio::io_context& context_;
    std::string address_;
    std::string server_address_;
    asio::ip::tcp::acceptor acceptor_;
    std::list<std::weak_ptr<path>> paths_;
};

/// Endpoint of "IP:port".
[[nodiscard]] asio::ip::tcp::endpoint endpoint_of(const std::string& address);

} // namespace damaskhill::soak
