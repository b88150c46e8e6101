// Index of this file:
// [SECTION] Addresses
// [SECTION] Paths
// [SECTION] Proxy

#include "damaskhill_soak_proxy.hpp"

#include "damaskhill_types.hpp"

namespace damaskhill::soak {

//-----------------------------------------------------------------------------
// [SECTION] Addresses
//-----------------------------------------------------------------------------

asio::ip::tcp::endpoint endpoint_of(const std::string& address) {
    failure why;
    const auto parts = split_address(address, why);
    if (!parts) throw std::invalid_argument{describe(why)};
    return {asio::ip::make_address(parts->first), parts->second};
}

//-----------------------------------------------------------------------------
// [SECTION] Paths
//-----------------------------------------------------------------------------

struct fault_proxy::path {
    explicit path(asio::ip::tcp::socket accepted)
        : client(std::move(accepted)), server(client.get_executor()) {}
    asio::ip::tcp::socket client;
    asio::ip::tcp::socket server;
    std::array<char, 16384> forward_bytes{};
    std::array<char, 16384> backward_bytes{};
    void reset() {
        asio::error_code ignored;
        for (auto* socket : {&client, &server}) {
            socket->set_option(asio::socket_base::linger{true, 0}, ignored);
            socket->close(ignored);
        }
    }
};

struct fault_proxy::piece {
    bool forward{};
    std::size_t size{};
    asio::error_code error; // of the read: the end or a reset is passed on as well
    bool delayed{};
};

void fault_proxy::wait(duration time, std::function<void()> then) {
    const auto timer = std::make_shared<asio::steady_timer>(context_, time);
    timer->async_wait([timer, then = std::move(then)](const asio::error_code& error) {
        if (!error) then();
    });
}

void fault_proxy::read(const std::shared_ptr<path>& pair, bool forward) {
    asio::ip::tcp::socket& from = forward ? pair->client : pair->server;
    auto& bytes = forward ? pair->forward_bytes : pair->backward_bytes;
    from.async_read_some(asio::buffer(bytes),
                         [this, pair, forward](const asio::error_code& error, std::size_t size) {
                             pass_on(pair, {forward, size, error, false});
                         });
}

void fault_proxy::pass_on(const std::shared_ptr<path>& pair, piece read) {
    if (read.forward ? harm.silent_forward : harm.silent_backward) {
        constexpr duration look_period = 10ms; // between two looks at whether the silence has ended
        wait(look_period, [this, pair, read] { pass_on(pair, read); });
        return;
    }
    if (harm.delay > 0s && !read.delayed) {
        read.delayed = true;
        wait(harm.delay, [this, pair, read] { pass_on(pair, read); });
        return;
    }
    asio::ip::tcp::socket& to = read.forward ? pair->server : pair->client;
    if (read.error == asio::error::eof) {
        asio::error_code ignored;
        to.shutdown(asio::socket_base::shutdown_send, ignored);
        return;
    }
    if (read.error) {
        pair->reset();
        return;
    }
    const auto& bytes = read.forward ? pair->forward_bytes : pair->backward_bytes;
    asio::async_write(to, asio::buffer(bytes, read.size),
                      [this, pair, forward = read.forward](const asio::error_code& error, std::size_t) {
                          if (error) {
                              pair->reset();
                          } else {
                              this->read(pair, forward);
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
      acceptor_(context_, endpoint_of(listen_address)) {
    accept();
}

void fault_proxy::serve(const std::shared_ptr<path>& pair) {
    pair->server.async_connect(endpoint_of(server_address_), [this, pair](const asio::error_code& error) {
        if (error) {
            pair->reset();
            return;
        }
        asio::error_code ignored;
        pair->client.set_option(asio::ip::tcp::no_delay{true}, ignored);
        pair->server.set_option(asio::ip::tcp::no_delay{true}, ignored);
        read(pair, true);
        read(pair, false);
    });
}

void fault_proxy::accept() {
    acceptor_.async_accept([this](const asio::error_code& error, asio::ip::tcp::socket socket) {
        if (error == asio::error::operation_aborted) return;
        if (error) {
            constexpr duration pause = 10ms; // without descriptors every attempt fails at once
            wait(pause, [this] { accept(); });
            return;
        }
        const auto pair = std::make_shared<path>(std::move(socket));
        if (harm.refused) {
            pair->reset();
        } else {
            std::erase_if(paths_, [](const auto& known) { return known.expired(); });
            paths_.push_back(pair);
            serve(pair);
        }
        accept();
    });
}

void fault_proxy::reset_all() {
    for (const auto& known : paths_) {
        if (const auto pair = known.lock()) pair->reset();
    }
    paths_.clear();
}

} // namespace damaskhill::soak
