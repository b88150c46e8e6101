// Index of this file:
// [SECTION] Event loop
// [SECTION] Link
// [SECTION] Transport

#include "damaskhill_impl_asio.hpp"

#include <csignal>
#include <deque>
#include <map>
#include <random>
#include <set>

#include <asio.hpp>

namespace damaskhill {

//-----------------------------------------------------------------------------
// [SECTION] Event loop
//-----------------------------------------------------------------------------

struct event_loop::implementation {
    asio::io_context context{1};
    asio::executor_work_guard<asio::io_context::executor_type> guard{context.get_executor()};
    asio::signal_set signals{context};
    asio::signal_set hangups{context};
    std::function<void()> on_hangup;

    void wait_for_hangup() {
        hangups.async_wait([this](const asio::error_code& ec, int) {
            if (ec) return;
            on_hangup();
            wait_for_hangup();
        });
    }
    std::vector<std::shared_ptr<asio::steady_timer>> timers;
};

event_loop::event_loop() : impl_(std::make_unique<implementation>()) {
    // Without this, writing to a connection that the peer has closed would terminate the process.
    std::signal(SIGPIPE, SIG_IGN);
}
event_loop::~event_loop() = default;
void event_loop::run() {
    impl_->context.restart(); // run() on a stopped context returns immediately
    impl_->context.run();
}
void event_loop::stop() { impl_->context.stop(); }
void event_loop::post(std::function<void()> work) { asio::post(impl_->context, std::move(work)); }
void* event_loop::native() { return &impl_->context; }

namespace {

void start_periodic_timer(const std::shared_ptr<asio::steady_timer>& timer, duration period,
                          const std::shared_ptr<std::function<void()>>& work) {
    timer->expires_after(period);
    timer->async_wait([timer, period, work](const asio::error_code& ec) {
        if (ec) return;
        (*work)();
        start_periodic_timer(timer, period, work);
    });
}

} // namespace

void event_loop::every(duration period, std::function<void()> work) {
    auto timer = std::make_shared<asio::steady_timer>(impl_->context);
    impl_->timers.push_back(timer);
    start_periodic_timer(timer, period, std::make_shared<std::function<void()>>(std::move(work)));
}

void event_loop::after(duration delay, std::function<void()> work) {
    auto timer = std::make_shared<asio::steady_timer>(impl_->context, delay);
    timer->async_wait([timer, work = std::move(work)](const asio::error_code& ec) {
        if (!ec) work();
    });
}

void event_loop::on_terminate(std::function<void()> work) {
    impl_->signals.add(SIGTERM);
    impl_->signals.add(SIGINT);
    impl_->signals.async_wait([work = std::move(work)](const asio::error_code& ec, int) {
        if (!ec) work();
    });
}

void event_loop::on_hangup(std::function<void()> work) {
    impl_->on_hangup = std::move(work);
    impl_->hangups.add(SIGHUP);
    impl_->wait_for_hangup();
}

time_point wall_clock() { return std::chrono::floor<duration>(std::chrono::system_clock::now()); }

std::optional<std::pair<std::string, std::uint16_t>> split_address(std::string_view address, failure& error) {
    const auto colon = address.rfind(':');
    const std::string port{colon == std::string_view::npos ? std::string_view{} : address.substr(colon + 1)};
    asio::error_code ec;
    const std::string host{address.substr(0, colon == std::string_view::npos ? 0 : colon)};
    asio::ip::make_address(host, ec);
    const bool digits =
        !port.empty() && port.size() <= 5 && port.find_first_not_of("0123456789") == std::string::npos;
    if (ec || !digits || std::stoul(port) > 65535) {
        error = {failure_kind::out_of_range, "address", std::string{address},
                 "an IP address and a port, such as 127.0.0.1:8080"};
        return std::nullopt;
    }
    return std::pair{host, static_cast<std::uint16_t>(std::stoul(port))};
}

//-----------------------------------------------------------------------------
// [SECTION] Link
//-----------------------------------------------------------------------------

namespace {

struct link_connection {
    explicit link_connection(asio::io_context& context) : socket(context) {}
    link_id id{};
    bool dialer{};
    std::string name;
    asio::ip::tcp::socket socket;
    std::string own_salt;
    std::string peer_salt;
    std::string session;
    std::array<unsigned char, frame_length_size> head{};
    std::string body;
    std::uint64_t frames_in{};
    std::uint64_t frames_out{};
    std::deque<std::string> unsent;
    std::size_t unsent_bytes{};
    bool writing{};
    bool closed{};
};
using connection_ptr = std::shared_ptr<link_connection>;

} // namespace

//-----------------------------------------------------------------------------
// [SECTION] Transport
//-----------------------------------------------------------------------------

struct link_transport::implementation : std::enable_shared_from_this<implementation> {
    implementation(asio::io_context& c, link_settings s, link_callbacks k)
        : context(c), settings(std::move(s)), callbacks(std::move(k)) {}

    void accept();
    void start(const connection_ptr& connection);
    void exchange_salts(const connection_ptr& connection);
    void open(const connection_ptr& connection);
    void read_head(const connection_ptr& connection);
    void read_body(const connection_ptr& connection);
    void on_frame(const connection_ptr& connection);
    void write_next(const connection_ptr& connection);
    void close(const connection_ptr& connection, failure_kind reason);

    asio::io_context& context;
    link_settings settings;
    link_callbacks callbacks;
    std::unique_ptr<asio::ip::tcp::acceptor> acceptor;
    std::map<link_id, connection_ptr> connections;
    std::set<connection_ptr> handshaking; // salts not yet exchanged
    link_id next_id{1};
    link_traffic traffic;
    bool stopped{};
};

void link_transport::implementation::accept() {
    auto connection = std::make_shared<link_connection>(context);
    acceptor->async_accept(connection->socket,
                           [self = shared_from_this(), connection](const asio::error_code& ec) {
                               if (self->stopped || ec == asio::error::operation_aborted) return;
                               if (!ec) self->start(connection);
                               self->accept();
                           });
}

void link_transport::implementation::start(const connection_ptr& connection) {
    asio::error_code ignored;
    connection->socket.set_option(asio::ip::tcp::no_delay{true}, ignored);
    exchange_salts(connection);
}

void link_transport::implementation::exchange_salts(const connection_ptr& connection) {
    connection->own_salt.resize(session_salt_size);
    connection->peer_salt.resize(session_salt_size);
    std::random_device device;
    for (char& byte : connection->own_salt)
        byte = static_cast<char>(device());
    handshaking.insert(connection);
    // Closes the connection if the peer never sends its salt.
    auto timer = std::make_shared<asio::steady_timer>(context, settings.dial_timeout);
    timer->async_wait([connection](const asio::error_code& ec) {
        asio::error_code ignored;
        if (!ec) connection->socket.close(ignored);
    });
    const auto fail = [self = shared_from_this(), connection, timer] {
        timer->cancel();
        if (self->handshaking.erase(connection) > 0 && connection->dialer && !self->stopped) {
            self->callbacks.dial_failed(connection->name);
        }
    };
    asio::async_write(connection->socket, asio::buffer(connection->own_salt),
                      [fail](const asio::error_code& ec, std::size_t) {
                          if (ec) fail();
                      });
    asio::async_read(
        connection->socket, asio::buffer(connection->peer_salt),
        [self = shared_from_this(), connection, timer, fail](const asio::error_code& ec, std::size_t) {
            if (ec || !self->handshaking.contains(connection)) {
                fail();
                return;
            }
            timer->cancel();
            self->handshaking.erase(connection);
            self->open(connection);
        });
}

void link_transport::implementation::open(const connection_ptr& connection) {
    if (stopped) return;
    connection->session = connection->dialer ? connection->own_salt + connection->peer_salt
                                             : connection->peer_salt + connection->own_salt;
    connection->id = next_id++;
    connections[connection->id] = connection;
    callbacks.opened(connection->id, connection->name);
    read_head(connection);
}

void link_transport::implementation::read_head(const connection_ptr& connection) {
    asio::async_read(connection->socket, asio::buffer(connection->head),
                     [self = shared_from_this(), connection](const asio::error_code& ec, std::size_t) {
                         if (ec) {
                             self->close(connection, failure_kind::network);
                             return;
                         }
                         self->read_body(connection);
                     });
}

void link_transport::implementation::read_body(const connection_ptr& connection) {
    std::size_t length = 0;
    for (const unsigned char byte : connection->head)
        length = (length << 8U) | byte;
    if (length > max_frame_bytes || length < frame_head_size) {
        close(connection,
              length > max_frame_bytes ? failure_kind::frame_too_large : failure_kind::malformed_frame);
        return;
    }
    connection->body.resize(length);
    asio::async_read(connection->socket, asio::buffer(connection->body),
                     [self = shared_from_this(), connection](const asio::error_code& ec, std::size_t) {
                         if (ec) {
                             self->close(connection, failure_kind::network);
                             return;
                         }
                         self->on_frame(connection);
                     });
}

void link_transport::implementation::on_frame(const connection_ptr& connection) {
    if (connection->closed) return;
    traffic.bytes_received += frame_length_size + connection->body.size();
    failure error;
    const frame_context position{!connection->dialer, connection->frames_in++, connection->session};
    const auto bytes = verify_frame(connection->body, settings.keys, position, error);
    auto message = bytes ? decode_message(*bytes, error) : std::nullopt;
    if (message) {
        callbacks.message(connection->id, std::move(*message));
    } else if (error.kind == failure_kind::unsupported_protocol) {
        callbacks.frame_dropped(error.kind);
    } else {
        close(connection, error.kind);
        return;
    }
    if (!connection->closed) read_head(connection);
}

void link_transport::implementation::write_next(const connection_ptr& connection) {
    if (connection->writing || connection->unsent.empty() || connection->closed) return;
    connection->writing = true;
    asio::async_write(connection->socket, asio::buffer(connection->unsent.front()),
                      [self = shared_from_this(), connection](const asio::error_code& ec, std::size_t size) {
                          connection->writing = false;
                          if (ec) {
                              self->close(connection, failure_kind::network);
                              return;
                          }
                          self->traffic.bytes_sent += size;
                          connection->unsent_bytes -= size;
                          connection->unsent.pop_front();
                          self->write_next(connection);
                      });
}

void link_transport::implementation::close(const connection_ptr& connection, failure_kind reason) {
    if (connection->closed) return;
    connection->closed = true;
    asio::error_code ignored;
    connection->socket.close(ignored);
    connections.erase(connection->id);
    if (!stopped) callbacks.closed(connection->id, reason);
}

link_transport::link_transport(event_loop& loop, link_settings settings, link_callbacks callbacks)
    : impl_(std::make_shared<implementation>(*static_cast<asio::io_context*>(loop.native()),
                                             std::move(settings), std::move(callbacks))) {}

link_transport::~link_transport() {
    impl_->stopped = true;
    asio::error_code ignored;
    if (impl_->acceptor) impl_->acceptor->close(ignored);
    for (const auto& [id, connection] : impl_->connections)
        connection->socket.close(ignored);
    for (const connection_ptr& connection : impl_->handshaking)
        connection->socket.close(ignored);
}

std::optional<bool> link_transport::listen(std::string_view address, failure& error) {
    const auto parts = split_address(address, error);
    if (!parts) return std::nullopt;
    try {
        const asio::ip::tcp::endpoint endpoint{asio::ip::make_address(parts->first), parts->second};
        impl_->acceptor = std::make_unique<asio::ip::tcp::acceptor>(impl_->context, endpoint);
    } catch (const std::exception& exception) {
        error = {failure_kind::network, std::string{address}, exception.what(),
                 "an unused address of this VM"};
        return std::nullopt;
    }
    impl_->accept();
    return true;
}

void link_transport::dial(const std::string& name, const std::string& address) {
    failure error;
    const auto parts = split_address(address, error);
    if (!parts) {
        asio::post(impl_->context, [self = impl_, name] { self->callbacks.dial_failed(name); });
        return;
    }
    auto connection = std::make_shared<link_connection>(impl_->context);
    connection->dialer = true;
    connection->name = name;
    auto timer = std::make_shared<asio::steady_timer>(impl_->context, impl_->settings.dial_timeout);
    timer->async_wait([connection](const asio::error_code& ec) {
        asio::error_code ignored;
        if (!ec) connection->socket.close(ignored);
    });
    const asio::ip::tcp::endpoint endpoint{asio::ip::make_address(parts->first), parts->second};
    connection->socket.async_connect(endpoint,
                                     [self = impl_, connection, timer, name](const asio::error_code& ec) {
                                         timer->cancel();
                                         if (self->stopped) return;
                                         if (ec) {
                                             self->callbacks.dial_failed(name);
                                             return;
                                         }
                                         self->start(connection);
                                     });
}

void link_transport::send(link_id link, const peer_message& message) {
    const auto found = impl_->connections.find(link);
    if (found == impl_->connections.end()) return;
    const connection_ptr connection = found->second;
    const frame_context position{connection->dialer, connection->frames_out++, connection->session};
    connection->unsent.push_back(sign_frame(encode_message(message), impl_->settings.keys, position));
    connection->unsent_bytes += connection->unsent.back().size();
    if (connection->unsent_bytes > impl_->settings.max_unsent_bytes) {
        // Closing is posted to the loop because the reducer that called send() is not reentrant.
        asio::post(impl_->context,
                   [self = impl_, connection] { self->close(connection, failure_kind::network); });
        return;
    }
    impl_->write_next(connection);
}

void link_transport::close(link_id link) {
    const auto found = impl_->connections.find(link);
    if (found == impl_->connections.end()) return;
    asio::post(impl_->context, [self = impl_, connection = found->second] {
        self->close(connection, failure_kind::network);
    });
}

link_traffic link_transport::traffic() const { return impl_->traffic; }

} // namespace damaskhill
