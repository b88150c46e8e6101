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
    void reset() {
        asio::error_code ignored;
        for (auto* socket : {&client, &server}) {
            socket->set_option(asio::socket_base::linger{true, 0}, ignored);
            socket->close(ignored);
        }
    }
};

namespace {

constexpr duration look_period = 10ms; // between two looks at whether a silence has ended

asio::awaitable<void> pause(asio::any_io_executor executor, duration time) {
    asio::steady_timer timer{executor, time};
    co_await timer.async_wait(asio::use_awaitable);
}

} // namespace

asio::awaitable<void> fault_proxy::pump(std::shared_ptr<path> pair, bool forward) {
    asio::ip::tcp::socket& from = forward ? pair->client : pair->server;
    asio::ip::tcp::socket& to = forward ? pair->server : pair->client;
    std::array<char, 16384> buffer{};
    try {
        for (;;) {
            asio::error_code error;
            const std::size_t size = co_await from.async_read_some(
                asio::buffer(buffer), asio::redirect_error(asio::use_awaitable, error));
            while (forward ? harm.silent_forward : harm.silent_backward)
                co_await pause(from.get_executor(), look_period);
            if (harm.delay > 0s) co_await pause(from.get_executor(), harm.delay);
            if (error == asio::error::eof) {
                to.shutdown(asio::socket_base::shutdown_send);
                co_return;
            }
            if (error) break;
            co_await asio::async_write(to, asio::buffer(buffer, size), asio::use_awaitable);
        }
    } catch (const std::system_error&) {
        // The other side has gone; this side learns it by the reset below.
    }
    pair->reset();
}

//-----------------------------------------------------------------------------
// [SECTION] Proxy
//-----------------------------------------------------------------------------

fault_proxy::fault_proxy(event_loop& loop, const std::string& listen_address, std::string server_address)
    : context_(*static_cast<asio::io_context*>(loop.native())),
      address_(listen_address),
      server_address_(std::move(server_address)),
      acceptor_(context_, endpoint_of(listen_address)) {
    asio::co_spawn(context_, accept(), asio::detached);
}

asio::awaitable<void> fault_proxy::serve(std::shared_ptr<path> pair) {
    asio::error_code error;
    co_await pair->server.async_connect(endpoint_of(server_address_),
                                        asio::redirect_error(asio::use_awaitable, error));
    if (error) {
        pair->reset();
        co_return;
    }
    asio::error_code ignored;
    pair->client.set_option(asio::ip::tcp::no_delay{true}, ignored);
    pair->server.set_option(asio::ip::tcp::no_delay{true}, ignored);
    asio::co_spawn(context_, pump(pair, true), asio::detached);
    asio::co_spawn(context_, pump(pair, false), asio::detached);
}

asio::awaitable<void> fault_proxy::accept() {
    for (;;) {
        asio::error_code error;
        asio::ip::tcp::socket socket =
            co_await acceptor_.async_accept(asio::redirect_error(asio::use_awaitable, error));
        if (error == asio::error::operation_aborted) co_return;
        if (error) {
            co_await pause(acceptor_.get_executor(), look_period);
            continue;
        }
        auto pair = std::make_shared<path>(std::move(socket));
        if (harm.refused) {
            pair->reset();
            continue;
        }
        std::erase_if(paths_, [](const auto& known) { return known.expired(); });
        paths_.push_back(pair);
        asio::co_spawn(context_, serve(std::move(pair)), asio::detached);
    }
}

void fault_proxy::reset_all() {
    for (const auto& known : paths_) {
        if (const auto pair = known.lock()) pair->reset();
    }
    paths_.clear();
}

} // namespace damaskhill::soak
