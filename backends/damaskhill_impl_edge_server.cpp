// Index of this file:
// [SECTION] Server
// [SECTION] Requests
// [SECTION] Limits
// [SECTION] Slow callers
// [SECTION] Responses

#include "damaskhill_impl_edge_server.hpp"

#include "damaskhill_impl_edge_connection.hpp"

#include <algorithm>
#include <set>
#include <unordered_map>

namespace damaskhill {

//-----------------------------------------------------------------------------
// [SECTION] Server
//-----------------------------------------------------------------------------

struct edge_server::implementation : std::enable_shared_from_this<implementation> {
    implementation(asio::io_context& c, edge_server_settings s, handlers h)
        : context(c),
          settings(s),
          limits(s),
          callbacks(std::move(h)),
          acceptor(c),
          stall_timer(c),
          limit_timer(c) {}

    void open(asio::ip::tcp::socket socket);
    /// Refuses what has already arrived on a new connection without processing it. False if there is nothing.
    bool refuse_unprocessed(asio::ip::tcp::socket& socket);
    connection_ptr add(asio::ip::tcp::socket socket);
    void accept();
    /// Closes the least useful connection if the limit is reached. False if all are served.
    bool make_room();
    void close_least_useful(client_entry& entry);
    void read(const connection_ptr& connection);
    void on_bytes(const connection_ptr& connection, std::string_view bytes);
    void parse(const connection_ptr& connection, std::string_view bytes);
    void enter_stage(const connection_ptr& connection);
    void on_request_complete(const connection_ptr& connection);
    /// Whether bytes of the next request have to wait for the current response.
    [[nodiscard]] bool must_wait(const edge_connection& connection) const;
    /// Goes on with the next request once the current response allows it.
    void proceed(const connection_ptr& connection);
    void post_proceed(const connection_ptr& connection);
    void reject(const connection_ptr& connection, std::uint32_t status, const http_headers& headers = {});
    /// Closes the sending side, then discards what arrives, within limits of bytes and time.
    void linger(const connection_ptr& connection);
    /// Updates the sum of held bytes. While it is exceeded, the largest holders are ended, from the event
    /// loop.
    void count_held_bytes(const connection_ptr& connection);
    void end_largest_holders();
    void arm_limit_timer();
    void end_overdue();
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
    client_limits limits;
    handlers callbacks;
    asio::ip::tcp::acceptor acceptor;
    std::unordered_map<std::uint64_t, connection_ptr> exchanges;
    std::set<connection_ptr> connections;
    std::array<char, read_buffer_size> buffer{}; // shared by all connections
    std::uint64_t next_exchange{1};
    edge_server_counts counts; // without what the server holds now
    bool memory_check_posted{};
    blocked_list blocked_connections; // longest without progress first
    asio::steady_timer stall_timer;
    bool stall_timer_armed{};
    asio::steady_timer limit_timer;
    std::optional<clock::time_point> limit_timer_due;
    bool draining{};
    bool shedding{};
    bool close_after_response{};
    [[nodiscard]] bool must_close(const edge_connection& connection) const {
        return !connection.parser.keep_alive() || connection.parser.state() == request_state::refused ||
               draining || close_after_response || near_connection_limit();
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

bool edge_server::implementation::make_room() {
    if (connections.size() < settings.max_connections) return true;
    client_entry* const entry = limits.least_useful(clock::now());
    if (entry == nullptr) return false;
    close_least_useful(*entry);
    return true;
}

// The caller of an idle connection reconnects for its next request.
void edge_server::implementation::close_least_useful(client_entry& entry) {
    const connection_ptr connection{static_cast<edge_connection*>(&entry)};
    if (entry.stage == client_stage::idle) {
        ++counts.idle_closed;
    } else if (entry.stage != client_stage::lingering) {
        ++counts.unfinished_closed;
        constexpr std::uint32_t request_timeout = 408;
        connection->parser.refuse(request_timeout);
        append_head(*connection, request_timeout, {}, 0);
        asio::error_code ignored;
        (void)connection->socket.write_some(asio::buffer(connection->unsent), ignored);
    }
    close(connection, false);
}

// Such a refusal costs a fraction of processing a request, so an overloaded process can catch up. Without it,
// new connections wait for seconds in the accept queue, where they can be neither served nor refused.
bool edge_server::implementation::refuse_unprocessed(asio::ip::tcp::socket& socket) {
    // Retry after 0.5 s: the load balancer checks once a second whether this process accepts new connections.
    static constexpr std::string_view refusal = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 0.5\r\n"
                                                "Content-Length: 0\r\nConnection: close\r\n\r\n";
    asio::error_code ec;
    const std::size_t size = socket.read_some(asio::buffer(buffer), ec);
    if (ec) return ec != asio::error::would_block;
    (void)socket.write_some(asio::buffer(refusal), ec);
    ++counts.shed_requests;
    if (is_whole_request({buffer.data(), size}, settings) || !make_room()) return true;
    // The rest of the request is still on its way. It is discarded, as closing at once would reset the
    // connection, and the refusal could be lost.
    linger(add(std::move(socket)));
    return true;
}

connection_ptr edge_server::implementation::add(asio::ip::tcp::socket socket) {
    connection_ptr connection{new edge_connection{std::move(socket), settings}};
    connections.insert(connection);
    return connection;
}

void edge_server::implementation::open(asio::ip::tcp::socket socket) {
    asio::error_code ignored;
    socket.non_blocking(true, ignored);
    if (shedding && refuse_unprocessed(socket)) return;
    if (!make_room()) {
        ++counts.refused_connections;
        return;
    }
    socket.set_option(asio::ip::tcp::no_delay{true}, ignored);
    const connection_ptr connection = add(std::move(socket));
    limits.enter(*connection, client_stage::idle, clock::now());
    arm_limit_timer();
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
        if (ec == asio::error::no_descriptors) {
            client_entry* const entry = self->limits.least_useful(clock::now());
            if (entry != nullptr) self->close_least_useful(*entry);
        }
        constexpr duration retry_delay = 50ms;
        const auto timer = std::make_shared<asio::steady_timer>(self->context, retry_delay);
        timer->async_wait([self, timer](const asio::error_code& stopped) {
            if (!stopped) self->accept();
        });
    });
}

void edge_server::implementation::read(const connection_ptr& connection) {
    // A caller that sends requests ahead waits for the responses.
    const bool waits =
        !connection->close_after_write && connection->pipelined_bytes.size() > settings.max_header_bytes;
    if (connection->closed || connection->reading || waits) return;
    connection->reading = true;
    connection->socket.async_wait(asio::ip::tcp::socket::wait_read,
                                  [self = shared_from_this(), connection](const asio::error_code& failed) {
                                      connection->reading = false;
                                      if (connection->closed) return;
                                      asio::error_code ec = failed;
                                      std::size_t size = 0;
                                      if (!ec)
                                          size = connection->socket.read_some(asio::buffer(self->buffer), ec);
                                      if (ec && ec != asio::error::would_block) {
                                          self->close(connection, false);
                                          return;
                                      }
                                      if (size > 0) self->on_bytes(connection, {self->buffer.data(), size});
                                      // Not posted: the bytes of one round over all connections could exceed
                                      // the limit many times.
                                      if (self->limits.holds_too_much()) self->end_largest_holders();
                                      self->read(connection);
                                  });
}

void edge_server::implementation::on_bytes(const connection_ptr& connection, std::string_view bytes) {
    if (connection->close_after_write) {
        // The connection closes once the last response is written; a request behind it could not be answered.
        connection->discarded_bytes += bytes.size();
        if (connection->discarded_bytes > settings.max_header_bytes + settings.max_body_bytes)
            close(connection, false);
        return;
    }
    if (must_wait(*connection) || !connection->pipelined_bytes.empty()) {
        // Bytes that came before wait, also when the response is complete and proceed() has been posted.
        connection->pipelined_bytes.append(bytes);
        if (!must_wait(*connection)) post_proceed(connection);
    } else {
        parse(connection, bytes);
    }
    count_held_bytes(connection);
}

//-----------------------------------------------------------------------------
// [SECTION] Requests
//-----------------------------------------------------------------------------

void edge_server::implementation::parse(const connection_ptr& connection, std::string_view bytes) {
    const std::size_t used = connection->parser.parse(bytes);
    switch (connection->parser.state()) {
    case request_state::complete:
        connection->pipelined_bytes.assign(bytes.substr(used));
        on_request_complete(connection);
        break;
    case request_state::refused: {
        constexpr std::uint32_t body_too_large = 413;
        constexpr std::uint32_t head_too_large = 431;
        const std::uint32_t status = connection->parser.refusal_status();
        const bool oversized = status == body_too_large || status == head_too_large;
        ++(oversized ? counts.oversized_requests : counts.malformed_requests);
        reject(connection, status);
        break;
    }
    default:
        if (connection->stage == client_stage::body) {
            limits.on_body_bytes(*connection, bytes.size(), clock::now());
        } else {
            enter_stage(connection);
        }
        if (connection->parser.awaits_continue() && !connection->continue_sent) {
            connection->continue_sent = true;
            connection->unsent.append("HTTP/1.1 100 Continue\r\n\r\n");
            write(connection);
        }
    }
}

void edge_server::implementation::enter_stage(const connection_ptr& connection) {
    client_stage stage = client_stage::idle;
    if (connection->parser.state() == request_state::head) stage = client_stage::head;
    if (connection->parser.state() == request_state::body) stage = client_stage::body;
    if (stage != connection->stage) {
        limits.enter(*connection, stage, clock::now());
        arm_limit_timer();
    }
}

bool edge_server::implementation::must_wait(const edge_connection& connection) const {
    return connection.response != response_state::none || unsent_size(connection) >= settings.relieved_bytes;
}

void edge_server::implementation::proceed(const connection_ptr& connection) {
    if (connection->closed || connection->close_after_write || must_wait(*connection)) return;
    if (!connection->pipelined_bytes.empty()) {
        const std::string bytes = std::exchange(connection->pipelined_bytes, {});
        parse(connection, bytes);
        count_held_bytes(connection);
    } else if (connection->stage == client_stage::served) {
        enter_stage(connection);
    }
    read(connection);
}

void edge_server::implementation::post_proceed(const connection_ptr& connection) {
    if (connection->proceed_posted) return;
    connection->proceed_posted = true;
    asio::post(context, [self = shared_from_this(), connection] {
        connection->proceed_posted = false;
        self->proceed(connection);
    });
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
    connection->unlink();
    connection->stage = client_stage::served;
    connection->exchange = next_exchange++;
    connection->response = response_state::awaited;
    connection->continue_sent = false;
    http_request request = connection->parser.take();
    connection->head_only = request.method == "HEAD";
    exchanges[connection->exchange] = connection;
    if (caller_disconnected(connection->socket)) {
        close(connection, false);
        return;
    }
    callbacks.on_request(connection->exchange, std::move(request));
}

void edge_server::implementation::reject(const connection_ptr& connection, std::uint32_t status,
                                         const http_headers& headers) {
    connection->parser.refuse(status);
    connection->unlink();
    connection->stage = client_stage::served;
    append_head(*connection, status, headers, 0);
    connection->close_after_write = true;
    write(connection);
    read(connection);
}

void edge_server::implementation::linger(const connection_ptr& connection) {
    asio::error_code ignored;
    connection->socket.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    connection->close_after_write = true;
    limits.enter(*connection, client_stage::lingering, clock::now());
    arm_limit_timer();
    read(connection);
}

//-----------------------------------------------------------------------------
// [SECTION] Limits
//-----------------------------------------------------------------------------

void edge_server::implementation::count_held_bytes(const connection_ptr& connection) {
    limits.hold(*connection, connection->closed
                                 ? 0
                                 : connection->unsent.size() + connection->pipelined_bytes.size() +
                                       connection->parser.held_bytes());
    if (!limits.holds_too_much() || memory_check_posted) return;
    memory_check_posted = true;
    asio::post(context, [self = shared_from_this()] {
        self->memory_check_posted = false;
        self->end_largest_holders();
    });
}

void edge_server::implementation::end_largest_holders() {
    while (limits.holds_too_much()) {
        const connection_ptr largest = *std::ranges::max_element(
            connections, {}, [](const connection_ptr& connection) { return connection->held_bytes; });
        ++counts.ended_for_memory;
        if (largest->response != response_state::none || unsent_size(*largest) > 0) {
            close(largest, true);
            continue;
        }
        // A request of which a part is still missing has not been passed on.
        constexpr std::uint32_t unavailable = 503;
        reject(largest, unavailable, {{"Retry-After", "1"}});
        count_held_bytes(largest);
    }
}

// The timer is armed for the earliest time limit only, and checks again when it fires.
void edge_server::implementation::arm_limit_timer() {
    const std::optional<clock::time_point> due = limits.next_due();
    if (!due || (limit_timer_due && *limit_timer_due <= *due)) return;
    limit_timer_due = due;
    limit_timer.expires_at(*due);
    limit_timer.async_wait([self = shared_from_this()](const asio::error_code& failed) {
        if (failed) return;
        self->limit_timer_due.reset();
        self->end_overdue();
        self->arm_limit_timer();
    });
}

void edge_server::implementation::end_overdue() {
    const clock::time_point now = clock::now();
    while (client_entry* const entry = limits.overdue(now)) {
        const connection_ptr connection{static_cast<edge_connection*>(entry)};
        if (entry->stage == client_stage::head || entry->stage == client_stage::body) {
            constexpr std::uint32_t request_timeout = 408;
            ++counts.requests_expired;
            reject(connection, request_timeout);
            count_held_bytes(connection);
        } else {
            if (entry->stage == client_stage::idle) ++counts.idle_expired;
            close(connection, false);
        }
    }
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
                                      if (failed) return;
                                      self->write(connection);
                                      self->proceed(connection);
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
        ++counts.stalled;
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
        // Bytes behind the last request may still arrive; closing would reset the connection.
        const bool more_expected =
            connection->parser.state() == request_state::refused || !connection->pipelined_bytes.empty();
        connection->pipelined_bytes = {};
        if (!more_expected) {
            close(connection, false);
        } else if (connection->stage != client_stage::lingering) {
            linger(connection);
        }
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
    connection->parser.refuse(0);
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
    if (connection->pipelined_bytes.empty() && connection->reading && !must_wait(*connection)) {
        enter_stage(connection);
    } else {
        post_proceed(connection);
    }
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
    edge_server_counts counts = impl_->counts;
    counts.open_connections = impl_->connections.size();
    counts.held_bytes = impl_->limits.held_bytes();
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
            if (connection->stage == client_stage::idle) self->close(connection, false);
        }
    });
}

} // namespace damaskhill
