// Index of this file:
// [SECTION] Connection
// [SECTION] Server
// [SECTION] Parser callbacks
// [SECTION] Memory
// [SECTION] Slow callers
// [SECTION] Responses

#include "damaskhill_impl_edge_server.hpp"

#include <asio.hpp>
#include <boost/intrusive/list.hpp>
#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>
#include <http_parser.h>

#include <algorithm>
#include <set>
#include <unordered_map>

#include <linux/sockios.h>
#include <sys/ioctl.h>

namespace damaskhill {

//-----------------------------------------------------------------------------
// [SECTION] Connection
//-----------------------------------------------------------------------------

namespace {

constexpr std::size_t read_buffer_size = 16U << 10U;
using clock = std::chrono::steady_clock;

enum class response_state : std::uint8_t { none, awaited, chunked };

using idle_hook =
    boost::intrusive::list_base_hook<boost::intrusive::link_mode<boost::intrusive::auto_unlink>>;
using blocked_hook =
    boost::intrusive::list_member_hook<boost::intrusive::link_mode<boost::intrusive::auto_unlink>>;

/// The idle_hook is linked into idle_connections while no request is received or processed.
struct edge_connection : boost::intrusive_ref_counter<edge_connection, boost::thread_unsafe_counter>,
                         idle_hook {
    explicit edge_connection(asio::ip::tcp::socket s) : socket(std::move(s)) {}
    asio::ip::tcp::socket socket;
    http_parser parser{};
    http_request request;
    std::size_t head_bytes{};
    bool header_value_started{}; // the next header name begins a new header
    bool request_complete{};
    bool keep_alive{};
    bool close_announced{};      // the response contains Connection: close
    bool head_only{};            // the method is HEAD
    std::string pipelined_bytes; // received before the current response was complete
    std::uint64_t exchange{};
    response_state response{response_state::none};
    std::string unsent;
    std::size_t written{}; // bytes at the front of `unsent` that the socket has taken
    bool awaiting_writable{};
    bool congested{};                    // see edge_server_settings::congested_bytes
    std::size_t held_bytes{};            // as counted in the server's sum
    blocked_hook blocked;                // linked into blocked_connections while awaiting_writable
    clock::time_point progress_at;       // time at which the caller was last seen to take bytes
    std::optional<int> unacknowledged{}; // bytes in the kernel's send queue at progress_at
    bool flush_posted{};
    bool close_after_write{};
    bool closed{};
};
using connection_ptr = boost::intrusive_ptr<edge_connection>;
using idle_list = boost::intrusive::list<edge_connection, boost::intrusive::constant_time_size<false>>;
using blocked_list = boost::intrusive::list<
    edge_connection, boost::intrusive::member_hook<edge_connection, blocked_hook, &edge_connection::blocked>,
    boost::intrusive::constant_time_size<false>>;

std::size_t unsent_size(const edge_connection& connection) {
    return connection.unsent.size() - connection.written;
}

const char* reason_phrase(std::uint32_t status) { return http_status_str(static_cast<http_status>(status)); }

} // namespace

//-----------------------------------------------------------------------------
// [SECTION] Server
//-----------------------------------------------------------------------------

struct edge_server::implementation : std::enable_shared_from_this<implementation> {
    implementation(asio::io_context& c, edge_server_settings s, handlers h)
        : context(c), settings(s), callbacks(std::move(h)), acceptor(c), stall_timer(c) {}

    void open(asio::ip::tcp::socket socket);
    /// Refuses a request that has already arrived on a new connection without parsing it. False if there is
    /// none.
    bool refuse_unparsed(asio::ip::tcp::socket& socket);
    void accept();
    /// Closes an idle connection if the limit is reached. False if all connections are busy.
    bool close_idle_if_full();
    void read(const connection_ptr& connection);
    void on_bytes(const connection_ptr& connection, std::string_view bytes);
    void parse(const connection_ptr& connection, std::string_view bytes);
    void on_request_complete(const connection_ptr& connection);
    void reject(const connection_ptr& connection, std::uint32_t status, const http_headers& headers = {});
    /// Updates the sum of held bytes. While it is exceeded, the largest holders are ended, from the event
    /// loop.
    void count_held_bytes(const connection_ptr& connection);
    void end_largest_holder();
    void set_congested(const connection_ptr& connection, bool congested);
    void await_writable(const connection_ptr& connection);
    void arm_stall_timer();
    void check_stalled();
    void write(const connection_ptr& connection);
    void schedule_flush(const connection_ptr& connection);
    void close(const connection_ptr& connection, bool reset);
    void finish_response(const connection_ptr& connection);
    connection_ptr find(std::uint64_t exchange) const;
    void append_head(edge_connection& connection, std::uint32_t status, const http_headers& headers,
                     std::optional<std::size_t> length) const;

    asio::io_context& context;
    edge_server_settings settings;
    handlers callbacks;
    asio::ip::tcp::acceptor acceptor;
    std::unordered_map<std::uint64_t, connection_ptr> exchanges;
    std::set<connection_ptr> connections;
    idle_list idle_connections;                  // longest idle first
    std::array<char, read_buffer_size> buffer{}; // shared by all connections
    std::uint64_t next_exchange{1};
    std::uint64_t idle_closed{};
    std::uint64_t refused_connections{};
    std::uint64_t shed_requests{};
    std::size_t held_bytes{};
    bool memory_check_posted{};
    std::uint64_t ended_for_memory{};
    std::uint64_t stalled{};
    blocked_list blocked_connections; // longest without progress first
    asio::steady_timer stall_timer;
    bool stall_timer_armed{};
    bool draining{};
    bool shedding{};
    bool close_after_response{};
    [[nodiscard]] bool must_close(const edge_connection& connection) const {
        return !connection.keep_alive || draining || close_after_response || near_connection_limit();
    }
    /// Whether the number of connections is close to the limit. Responses then close their connections, so
    /// that few idle ones have to be closed.
    [[nodiscard]] bool near_connection_limit() const {
        // Leaves room for the new connections of a one-second burst.
        constexpr double near_limit_share = 0.8;
        return static_cast<double>(connections.size()) >
               near_limit_share * static_cast<double>(settings.max_connections);
    }
};

bool edge_server::implementation::close_idle_if_full() {
    if (connections.size() < settings.max_connections) return true;
    if (idle_connections.empty()) return false;
    // The connection that has been idle the longest. Its caller reconnects for the next request.
    close(connection_ptr{&idle_connections.front()}, false);
    ++idle_closed;
    return true;
}

// Such a refusal costs a tenth of processing a request, so an overloaded process can catch up. Without it,
// new connections wait for seconds in the accept queue, where they can be neither served nor refused.
bool edge_server::implementation::refuse_unparsed(asio::ip::tcp::socket& socket) {
    // Retry after 0.5 s: the load balancer checks once a second whether this process accepts new connections.
    static constexpr std::string_view refusal = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 0.5\r\n"
                                                "Content-Length: 0\r\nConnection: close\r\n\r\n";
    asio::error_code ec;
    std::size_t read = 0;
    do { // closing with unread data would send a reset
        read = socket.read_some(asio::buffer(buffer), ec);
    } while (!ec && read == buffer.size());
    if (ec && (ec != asio::error::would_block || read == 0)) return ec != asio::error::would_block;
    (void)socket.write_some(asio::buffer(refusal), ec);
    ++shed_requests;
    return true;
}

void edge_server::implementation::open(asio::ip::tcp::socket socket) {
    asio::error_code ignored;
    socket.non_blocking(true, ignored);
    if (shedding && refuse_unparsed(socket)) return;
    if (!close_idle_if_full()) {
        ++refused_connections;
        return;
    }
    socket.set_option(asio::ip::tcp::no_delay{true}, ignored);
    const connection_ptr connection{new edge_connection{std::move(socket)}};
    http_parser_init(&connection->parser, HTTP_REQUEST);
    connection->parser.data = connection.get();
    connections.insert(connection);
    idle_connections.push_back(*connection);
    read(connection);
}

void edge_server::implementation::accept() {
    acceptor.async_accept([self = shared_from_this()](asio::error_code ec, asio::ip::tcp::socket socket) {
        if (ec == asio::error::operation_aborted) return;
        // The event loop returns here once per round over all ready connections. If fewer connections were
        // accepted than arrive in a round, callers would wait in the kernel's accept queue, a delay that no
        // timer of this process can detect.
        // 128 is the maximum number of events that the loop handles in one round.
        constexpr int max_accepts_per_round = 128;
        for (int taken = 0; !ec && taken < max_accepts_per_round; ++taken) {
            self->open(std::move(socket));
            socket = asio::ip::tcp::socket{self->context};
            self->acceptor.accept(socket, ec);
        }
        if (ec == asio::error::would_block || ec == asio::error::try_again || !ec) {
            self->accept();
            return;
        }
        // When descriptors run out every attempt fails immediately, so the next one is delayed.
        constexpr duration retry_delay = 50ms;
        const auto timer = std::make_shared<asio::steady_timer>(self->context, retry_delay);
        timer->async_wait([self, timer](const asio::error_code& stopped) {
            if (!stopped) self->accept();
        });
    });
}

void edge_server::implementation::read(const connection_ptr& connection) {
    connection->socket.async_wait(asio::ip::tcp::socket::wait_read, [self = shared_from_this(), connection](
                                                                        const asio::error_code& failed) {
        if (connection->closed) return;
        asio::error_code ec = failed;
        std::size_t size = 0;
        if (!ec) size = connection->socket.read_some(asio::buffer(self->buffer), ec);
        if (ec && ec != asio::error::would_block) {
            self->close(connection, false);
            return;
        }
        if (size > 0) self->on_bytes(connection, {self->buffer.data(), size});
        const bool too_much_pipelined = connection->pipelined_bytes.size() > self->settings.max_header_bytes;
        if (!connection->closed && !too_much_pipelined) self->read(connection);
    });
}

void edge_server::implementation::on_bytes(const connection_ptr& connection, std::string_view bytes) {
    // The connection closes once the last response is written; a request behind it could not be answered.
    if (connection->close_after_write) return;
    connection->unlink();
    if (connection->response == response_state::none) {
        parse(connection, bytes);
    } else {
        // Pipelined request: buffered until the current response is complete.
        connection->pipelined_bytes.append(bytes);
    }
    count_held_bytes(connection);
}

//-----------------------------------------------------------------------------
// [SECTION] Parser callbacks
//-----------------------------------------------------------------------------

namespace {

edge_connection& connection_from(http_parser* parser) { return *static_cast<edge_connection*>(parser->data); }

http_parser_settings make_parser_callbacks() {
    http_parser_settings settings;
    http_parser_settings_init(&settings);
    settings.on_message_begin = [](http_parser* parser) {
        edge_connection& c = connection_from(parser);
        c.request = {};
        c.head_bytes = 0;
        c.header_value_started = true;
        return 0;
    };
    settings.on_url = [](http_parser* parser, const char* at, std::size_t size) {
        connection_from(parser).request.target.append(at, size);
        return 0;
    };
    settings.on_header_field = [](http_parser* parser, const char* at, std::size_t size) {
        edge_connection& c = connection_from(parser);
        if (c.header_value_started) c.request.headers.emplace_back();
        c.header_value_started = false;
        c.request.headers.back().first.append(at, size);
        c.head_bytes += size;
        return 0;
    };
    settings.on_header_value = [](http_parser* parser, const char* at, std::size_t size) {
        edge_connection& c = connection_from(parser);
        if (c.request.headers.empty()) return 1;
        c.header_value_started = true;
        c.request.headers.back().second.append(at, size);
        c.head_bytes += size;
        return 0;
    };
    settings.on_headers_complete = [](http_parser* parser) {
        edge_connection& c = connection_from(parser);
        c.header_value_started = true;
        c.request.method = http_method_str(static_cast<http_method>(parser->method));
        return 0;
    };
    settings.on_body = [](http_parser* parser, const char* at, std::size_t size) {
        connection_from(parser).request.body.append(at, size);
        return 0;
    };
    settings.on_message_complete = [](http_parser* parser) {
        edge_connection& c = connection_from(parser);
        c.request_complete = true;
        c.keep_alive = http_should_keep_alive(parser) != 0;
        // A pipelined request must not be parsed before the current response is complete.
        http_parser_pause(parser, 1);
        return 0;
    };
    return settings;
}

const http_parser_settings parser_callbacks = make_parser_callbacks();

} // namespace

void edge_server::implementation::parse(const connection_ptr& connection, std::string_view bytes) {
    const std::size_t used =
        http_parser_execute(&connection->parser, &parser_callbacks, bytes.data(), bytes.size());
    const auto ec = HTTP_PARSER_ERRNO(&connection->parser);
    if (connection->request_complete) {
        http_parser_pause(&connection->parser, 0);
        connection->pipelined_bytes.assign(bytes.substr(std::min(used, bytes.size())));
        on_request_complete(connection);
        return;
    }
    constexpr std::uint32_t bad_request = 400;
    constexpr std::uint32_t body_too_large = 413;
    constexpr std::uint32_t head_too_large = 431;
    if (ec != HPE_OK) {
        reject(connection, bad_request);
    } else if (connection->head_bytes > settings.max_header_bytes) {
        reject(connection, head_too_large);
    } else if (connection->request.body.size() > settings.max_body_bytes) {
        reject(connection, body_too_large);
    }
}

namespace {

/// Whether the caller closed the connection after sending its request. Costs one system call.
bool caller_disconnected(asio::ip::tcp::socket& socket) {
    std::array<char, 1> next{};
    asio::error_code ec;
    const std::size_t size = socket.receive(asio::buffer(next), asio::socket_base::message_peek, ec);
    return ec != asio::error::would_block && (ec || size == 0);
}

} // namespace

void edge_server::implementation::on_request_complete(const connection_ptr& connection) {
    connection->request_complete = false;
    connection->exchange = next_exchange++;
    connection->response = response_state::awaited;
    connection->head_only = connection->request.method == "HEAD";
    exchanges[connection->exchange] = connection;
    http_request request = std::move(connection->request);
    connection->request = {};
    if (caller_disconnected(connection->socket)) {
        close(connection, false);
        return;
    }
    callbacks.on_request(connection->exchange, std::move(request));
}

void edge_server::implementation::reject(const connection_ptr& connection, std::uint32_t status,
                                         const http_headers& headers) {
    connection->keep_alive = false;
    connection->request = {};
    append_head(*connection, status, headers, 0);
    connection->close_after_write = true;
    write(connection);
}

//-----------------------------------------------------------------------------
// [SECTION] Memory
//-----------------------------------------------------------------------------

void edge_server::implementation::count_held_bytes(const connection_ptr& connection) {
    const std::size_t now = connection->closed
                                ? 0
                                : connection->unsent.size() + connection->pipelined_bytes.size() +
                                      connection->request.body.size();
    held_bytes += now;
    held_bytes -= connection->held_bytes;
    connection->held_bytes = now;
    if (held_bytes <= settings.max_held_bytes || memory_check_posted) return;
    memory_check_posted = true;
    asio::post(context, [self = shared_from_this()] {
        self->memory_check_posted = false;
        while (self->held_bytes > self->settings.max_held_bytes)
            self->end_largest_holder();
    });
}

void edge_server::implementation::end_largest_holder() {
    const connection_ptr largest = *std::ranges::max_element(
        connections, {}, [](const connection_ptr& connection) { return connection->held_bytes; });
    ++ended_for_memory;
    if (largest->response != response_state::none || unsent_size(*largest) > 0) {
        close(largest, true);
        return;
    }
    // A request of which a part is still missing has not been passed on.
    constexpr std::uint32_t unavailable = 503;
    reject(largest, unavailable, {{"Retry-After", "1"}});
    count_held_bytes(largest);
}

//-----------------------------------------------------------------------------
// [SECTION] Slow callers
//-----------------------------------------------------------------------------

void edge_server::implementation::set_congested(const connection_ptr& connection, bool congested) {
    if (connection->congested == congested) return;
    connection->congested = congested;
    if (!callbacks.on_congestion) return;
    asio::post(context, [self = shared_from_this(), exchange = connection->exchange, congested] {
        if (self->exchanges.contains(exchange)) self->callbacks.on_congestion(exchange, congested);
    });
}

namespace {

/// Bytes that the kernel holds for the caller; none if it does not tell.
std::optional<int> kernel_unacknowledged(asio::ip::tcp::socket& socket) {
    int bytes = 0;
    if (ioctl(socket.native_handle(), SIOCOUTQ, &bytes) != 0) return std::nullopt;
    return bytes;
}

} // namespace

void edge_server::implementation::await_writable(const connection_ptr& connection) {
    connection->awaiting_writable = true;
    connection->progress_at = clock::now();
    connection->unacknowledged = kernel_unacknowledged(connection->socket);
    blocked_connections.push_back(*connection);
    arm_stall_timer();
    connection->socket.async_wait(asio::ip::tcp::socket::wait_write,
                                  [self = shared_from_this(), connection](const asio::error_code& failed) {
                                      connection->awaiting_writable = false;
                                      connection->blocked.unlink();
                                      if (!failed) self->write(connection);
                                  });
}

void edge_server::implementation::arm_stall_timer() {
    if (stall_timer_armed || blocked_connections.empty()) return;
    stall_timer_armed = true;
    stall_timer.expires_at(blocked_connections.front().progress_at + settings.write_stall_timeout);
    stall_timer.async_wait([self = shared_from_this()](const asio::error_code& failed) {
        self->stall_timer_armed = false;
        if (!failed) self->check_stalled();
    });
}

// The socket becomes writable only when a good part of the kernel's buffer is free, which takes a slow caller
// long. Whether it takes bytes at all shows in what the kernel still holds.
void edge_server::implementation::check_stalled() {
    const clock::time_point now = clock::now();
    while (!blocked_connections.empty()) {
        const connection_ptr connection{&blocked_connections.front()};
        if (now - connection->progress_at < settings.write_stall_timeout) break;
        const std::optional<int> before = connection->unacknowledged;
        connection->unacknowledged = kernel_unacknowledged(connection->socket);
        if (before && connection->unacknowledged && *connection->unacknowledged < *before) {
            connection->progress_at = now;
            connection->blocked.unlink();
            blocked_connections.push_back(*connection);
            continue;
        }
        ++stalled;
        close(connection, true);
    }
    arm_stall_timer();
}

//-----------------------------------------------------------------------------
// [SECTION] Responses
//-----------------------------------------------------------------------------

connection_ptr edge_server::implementation::find(std::uint64_t exchange) const {
    const auto found = exchanges.find(exchange);
    return found == exchanges.end() ? connection_ptr{} : found->second;
}

void edge_server::implementation::append_head(edge_connection& connection, std::uint32_t status,
                                              const http_headers& headers,
                                              std::optional<std::size_t> length) const {
    std::string& out = connection.unsent;
    out.append("HTTP/1.1 ")
        .append(std::to_string(status))
        .append(" ")
        .append(reason_phrase(status))
        .append("\r\n");
    for (const auto& [name, value] : headers)
        out.append(name).append(": ").append(value).append("\r\n");
    if (length) {
        out.append("Content-Length: ").append(std::to_string(*length)).append("\r\n");
    } else {
        out.append("Transfer-Encoding: chunked\r\n");
    }
    connection.close_announced = must_close(connection);
    if (connection.close_announced) out.append("Connection: close\r\n");
    out.append("\r\n");
}

namespace {

/// Forgets what the socket has taken, and memory that a keep-alive connection would hold without need.
void discard_written(edge_connection& connection) {
    constexpr std::size_t kept_capacity = 64U << 10U;
    if (connection.written == connection.unsent.size()) {
        connection.unsent.clear();
        connection.written = 0;
        if (connection.unsent.capacity() > kept_capacity) connection.unsent.shrink_to_fit();
    } else if (connection.written > connection.unsent.size() / 2) {
        // Moves each byte a bounded number of times.
        connection.unsent.erase(0, connection.written);
        connection.written = 0;
    }
}

} // namespace

void edge_server::implementation::write(const connection_ptr& connection) {
    if (connection->closed) return;
    if (connection->awaiting_writable) {
        count_held_bytes(connection);
        return;
    }
    if (unsent_size(*connection) > 0) {
        asio::error_code ec;
        const std::string_view rest = std::string_view{connection->unsent}.substr(connection->written);
        const std::size_t sent = connection->socket.write_some(asio::buffer(rest), ec);
        if (ec && ec != asio::error::would_block) {
            close(connection, false);
            return;
        }
        connection->written += sent;
        discard_written(*connection);
    }
    if (unsent_size(*connection) < settings.relieved_bytes) set_congested(connection, false);
    if (unsent_size(*connection) > 0) {
        await_writable(connection);
    } else if (connection->close_after_write) {
        close(connection, false);
    }
    count_held_bytes(connection);
}

// Combines the chunks produced in the same iteration of the loop into one write.
void edge_server::implementation::schedule_flush(const connection_ptr& connection) {
    if (connection->flush_posted || connection->awaiting_writable) return;
    connection->flush_posted = true;
    asio::post(context, [self = shared_from_this(), connection] {
        connection->flush_posted = false;
        self->write(connection);
    });
}

void edge_server::implementation::close(const connection_ptr& connection, bool reset) {
    if (connection->closed) return;
    connection->closed = true;
    asio::error_code ignored;
    if (reset) connection->socket.set_option(asio::socket_base::linger{true, 0}, ignored);
    connection->socket.close(ignored);
    connection->unlink();
    connection->blocked.unlink();
    connections.erase(connection);
    connection->request = {};
    connection->unsent = {};
    connection->written = 0;
    connection->pipelined_bytes = {};
    count_held_bytes(connection);
    if (connection->response == response_state::none) return;
    connection->response = response_state::none;
    exchanges.erase(connection->exchange);
    callbacks.on_closed(connection->exchange);
}

void edge_server::implementation::finish_response(const connection_ptr& connection) {
    exchanges.erase(connection->exchange);
    connection->response = response_state::none;
    connection->congested = false;
    if (connection->close_announced || draining) connection->close_after_write = true;
    write(connection);
    if (connection->closed || connection->close_after_write) return;
    if (connection->pipelined_bytes.empty()) {
        idle_connections.push_back(*connection);
        return;
    }
    asio::post(context, [self = shared_from_this(), connection] {
        if (connection->closed || connection->response != response_state::none) return;
        const std::string bytes = std::move(connection->pipelined_bytes);
        connection->pipelined_bytes.clear();
        self->parse(connection, bytes);
    });
}

edge_server::edge_server(event_loop& loop, edge_server_settings settings, handlers callbacks)
    : impl_(std::make_shared<implementation>(*static_cast<asio::io_context*>(loop.native()), settings,
                                             std::move(callbacks))) {}

edge_server::~edge_server() {
    asio::error_code ignored;
    impl_->acceptor.close(ignored);
}

std::optional<bool> edge_server::listen(std::string_view address, failure& error) {
    const auto parts = split_address(address, error);
    if (!parts) return std::nullopt;
    asio::error_code ec;
    const asio::ip::tcp::endpoint endpoint{asio::ip::make_address(parts->first, ec), parts->second};
    auto& acceptor = impl_->acceptor;
    if (!ec) acceptor.open(endpoint.protocol(), ec);
    if (!ec) acceptor.set_option(asio::socket_base::reuse_address{true}, ec);
    if (!ec) acceptor.bind(endpoint, ec);
    // When the queue overflows the kernel drops a connection attempt, which costs its caller seconds.
    constexpr int backlog = 1024;
    if (!ec) acceptor.listen(backlog, ec);
    if (!ec) acceptor.non_blocking(true, ec);
    if (ec) {
        error = {failure_kind::network, std::string{address}, ec.message(), "an unused address of this VM"};
        return std::nullopt;
    }
    impl_->accept();
    return true;
}

void edge_server::send_response(std::uint64_t exchange, std::uint32_t status, const http_headers& headers,
                                std::string_view body) {
    const connection_ptr connection = impl_->find(exchange);
    if (!connection || connection->response != response_state::awaited) return;
    impl_->append_head(*connection, status, headers, body.size());
    if (!connection->head_only) connection->unsent.append(body);
    impl_->finish_response(connection);
}

void edge_server::begin_response(std::uint64_t exchange, std::uint32_t status, const http_headers& headers) {
    const connection_ptr connection = impl_->find(exchange);
    if (!connection || connection->response != response_state::awaited) return;
    connection->response = response_state::chunked;
    impl_->append_head(*connection, status, headers, std::nullopt);
    impl_->schedule_flush(connection);
}

void edge_server::send_chunk(std::uint64_t exchange, std::string_view data) {
    const connection_ptr connection = impl_->find(exchange);
    if (!connection || connection->response != response_state::chunked || data.empty()) return;
    std::array<char, 16> size{};
    const int digits = std::snprintf(size.data(), size.size(), "%zx\r\n", data.size());
    connection->unsent.append(size.data(), static_cast<std::size_t>(digits)).append(data).append("\r\n");
    if (unsent_size(*connection) > impl_->settings.congested_bytes) impl_->set_congested(connection, true);
    impl_->count_held_bytes(connection);
    impl_->schedule_flush(connection);
}

void edge_server::end_response(std::uint64_t exchange) {
    const connection_ptr connection = impl_->find(exchange);
    if (!connection || connection->response != response_state::chunked) return;
    connection->unsent.append("0\r\n\r\n");
    impl_->finish_response(connection);
}

void edge_server::abort(std::uint64_t exchange) {
    const connection_ptr connection = impl_->find(exchange);
    if (!connection) return;
    impl_->exchanges.erase(exchange);
    connection->response = response_state::none;
    connection->congested = false;
    connection->close_after_write = true;
    impl_->write(connection);
}

edge_server_counts edge_server::counts() const {
    edge_server_counts counts;
    counts.open_connections = impl_->connections.size();
    counts.idle_closed = impl_->idle_closed;
    counts.refused_connections = impl_->refused_connections;
    counts.shed_requests = impl_->shed_requests;
    counts.held_bytes = impl_->held_bytes;
    counts.ended_for_memory = impl_->ended_for_memory;
    counts.stalled = impl_->stalled;
    return counts;
}

void edge_server::set_shedding(bool shedding) { impl_->shedding = shedding; }

void edge_server::set_close_after_response(bool close_after_response) {
    impl_->close_after_response = close_after_response;
}

void edge_server::begin_drain(duration idle_close_delay) {
    impl_->draining = true;
    const auto timer = std::make_shared<asio::steady_timer>(impl_->context, idle_close_delay);
    timer->async_wait([self = impl_, timer](const asio::error_code& ec) {
        if (ec) return;
        const auto open = self->connections;
        // A connection on which a request is being received or processed stays open.
        for (const connection_ptr& connection : open) {
            if (connection->response == response_state::none && connection->request.target.empty())
                self->close(connection, false);
        }
    });
}

} // namespace damaskhill
