// Index of this file:
// [SECTION] Addresses
// [SECTION] Connection pairs
// [SECTION] Proxy

#include "damaskhill_soak_proxy.hpp"

#include "damaskhill_types.hpp"

namespace damaskhill::soak {

//-----------------------------------------------------------------------------
// [SECTION] Addresses
//-----------------------------------------------------------------------------

asio::ip::tcp::endpoint parse_endpoint(const std::string& address) {
    failure error;
    const auto parts = split_address(address, error);
    if (!parts) throw std::invalid_argument{describe(error)};
    return {asio::ip::make_address(parts->first), parts->second};
}

//-----------------------------------------------------------------------------
// [SECTION] Connection pairs
//-----------------------------------------------------------------------------

struct fault_proxy::connection_pair {
    explicit connection_pair(asio::ip::tcp::socket accepted)
        : client(std::move(accepted)), server(client.get_executor()) {}
    asio::ip::tcp::socket client;
    asio::ip::tcp::socket server;
    std::array<char, 16384> upstream_buffer{};
    std::array<char, 16384> downstream_buffer{};
    void reset() {
        asio::error_code ignored;
        for (auto* socket : {&client, &server}) {
            socket->set_option(asio::socket_base::linger{true, 0}, ignored);
            socket->close(ignored);
        }
    }
};

struct fault_proxy::transfer {
    bool upstream{};
    std::size_t size{};
    asio::error_code error; // of the read; end of stream and resets are relayed too
    bool delayed{};
};

void fault_proxy::run_after(duration delay, std::function<void()> callback) {
    const auto timer = std::make_shared<asio::steady_timer>(context_, delay);
    timer->async_wait([timer, callback = std::move(callback)](const asio::error_code& error) {
        if (!error) callback();
    });
}

void fault_proxy::read_from(const std::shared_ptr<connection_pair>& pair, bool upstream) {
    asio::ip::tcp::socket& from = upstream ? pair->client : pair->server;
    auto& bytes = upstream ? pair->upstream_buffer : pair->downstream_buffer;
    from.async_read_some(asio::buffer(bytes),
                         [this, pair, upstream](const asio::error_code& error, std::size_t size) {
                             relay(pair, {upstream, size, error, false});
                         });
}

void fault_proxy::relay(const std::shared_ptr<connection_pair>& pair, transfer data) {
    if (data.upstream ? faults.stall_upstream : faults.stall_downstream) {
        constexpr duration poll_period = 10ms; // for checking whether the stall has ended
        run_after(poll_period, [this, pair, data] { relay(pair, data); });
        return;
    }
    if (faults.delay > 0s && !data.delayed) {
        data.delayed = true;
        run_after(faults.delay, [this, pair, data] { relay(pair, data); });
        return;
    }
    asio::ip::tcp::socket& to = data.upstream ? pair->server : pair->client;
    if (data.error == asio::error::eof) {
        asio::error_code ignored;
        to.shutdown(asio::socket_base::shutdown_send, ignored);
        return;
    }
    if (data.error) {
        pair->reset();
        return;
    }
    const auto& bytes = data.upstream ? pair->upstream_buffer : pair->downstream_buffer;
    asio::async_write(to, asio::buffer(bytes, data.size),
                      [this, pair, upstream = data.upstream](const asio::error_code& error, std::size_t) {
                          if (error) {
                              pair->reset();
                          } else {
                              this->read_from(pair, upstream);
                          }
                      });
}

//-----------------------------------------------------------------------------
// [SECTION] Proxy
//-----------------------------------------------------------------------------

fault_proxy::fault_proxy(event_loop& loop, const std::string& listen_address, std::string server_address)
    : context_(*static_cast<asio::io_context*>(loop.native())),
      address_(listen_address),
      server_address_(std::move(server_address)),
      acceptor_(context_, parse_endpoint(listen_address)) {
    accept();
}

void fault_proxy::connect_to_server(const std::shared_ptr<connection_pair>& pair) {
    pair->server.async_connect(parse_endpoint(server_address_), [this, pair](const asio::error_code& error) {
        if (error) {
            pair->reset();
            return;
        }
        asio::error_code ignored;
        pair->client.set_option(asio::ip::tcp::no_delay{true}, ignored);
        pair->server.set_option(asio::ip::tcp::no_delay{true}, ignored);
        read_from(pair, true);
        read_from(pair, false);
    });
}

void fault_proxy::accept() {
    acceptor_.async_accept([this](const asio::error_code& error, asio::ip::tcp::socket socket) {
        if (error == asio::error::operation_aborted) return;
        if (error) {
            constexpr duration retry_delay = 10ms; // avoids a busy loop when file descriptors run out
            run_after(retry_delay, [this] { accept(); });
            return;
        }
        const auto pair = std::make_shared<connection_pair>(std::move(socket));
        if (faults.reset_new_connections) {
            pair->reset();
        } else {
            std::erase_if(connections_, [](const auto& weak_pair) { return weak_pair.expired(); });
            connections_.push_back(pair);
            connect_to_server(pair);
        }
        accept();
    });
}

void fault_proxy::reset_connections() {
    for (const auto& weak_pair : connections_) {
        if (const auto pair = weak_pair.lock()) pair->reset();
    }
    connections_.clear();
}

} // namespace damaskhill::soak
