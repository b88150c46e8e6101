// Index of this file:
// [SECTION] Connection
// [SECTION] Parser callbacks
// [SECTION] Calls
// [SECTION] Reading and writing
// [SECTION] Client

#include "damaskhill_impl_edge_client.hpp"

#include <asio.hpp>
#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>
#include <http_parser.h>

#include <charconv>
#include <unordered_map>

#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>

namespace damaskhill {

//-----------------------------------------------------------------------------
// [SECTION] Connection
//-----------------------------------------------------------------------------

namespace {

constexpr std::size_t read_buffer_size = 8U << 10U;
using clock = std::chrono::steady_clock;

struct client_connection : boost::intrusive_ref_counter<client_connection, boost::thread_unsafe_counter> {
    explicit client_connection(asio::io_context& context) : socket(context), connect_timer(context) {}
    std::string address;
    asio::ip::tcp::socket socket;
    asio::steady_timer connect_timer;
    std::array<char, read_buffer_size> buffer{};
    http_parser parser{};
    // ID of the call that uses the connection, 0 if it is idle.
    std::uint64_t call{};
    edge_handlers handlers;
    std::string unsent;
    bool head_only{};
    response_head_check head_check;
    std::string partial_line; // of the head
    edge_response_head head;
    bool header_value_started{}; // the next header name begins a new header
    bool skipping{};             // the response is an interim one (1xx), or on_head returned skip
    bool response_complete{};
    bool reusable{true};
    bool connecting{};
    bool connected{};
    bool sent_bytes{};
    bool response_begun{}; // a response head was accepted
    bool writing{};
    bool broken{};         // a write has failed, and not since the server had closed its side
    bool reading{};        // an asynchronous read is under way
    bool reading_paused{}; // see edge_client::set_reading_paused
    bool closed{};
    clock::time_point usable_until;
    clock::time_point idle_since;
};
using connection_ptr = boost::intrusive_ptr<client_connection>;

client_connection& connection_from(http_parser* parser) {
    return *static_cast<client_connection*>(parser->data);
}

bool status_has_no_body(std::uint32_t status) { return status < 200 || status == 204 || status == 304; }

//-----------------------------------------------------------------------------
// [SECTION] Parser callbacks
//-----------------------------------------------------------------------------

int on_headers(http_parser* parser) {
    client_connection& c = connection_from(parser);
    c.header_value_started = true;
    c.head.status = parser->status_code;
    constexpr std::uint32_t first_final_status = 200;
    c.skipping = c.head.status < first_final_status;
    if (!c.skipping) {
        const bool chunked = (parser->flags & F_CHUNKED) != 0;
        const bool length_unknown = parser->content_length == ULLONG_MAX;
        c.head.close_delimited =
            !chunked && length_unknown && !status_has_no_body(c.head.status) && !c.head_only;
        c.skipping = c.handlers.on_head(std::move(c.head)) == edge_response_action::skip;
        if (c.skipping) c.reusable = false;
        c.response_begun = !c.skipping;
    }
    c.head = {};
    return c.head_only ? 1 : 0; // 1 tells http_parser that the response has no body
}

http_parser_settings make_parser_callbacks() {
    http_parser_settings settings;
    http_parser_settings_init(&settings);
    settings.on_message_begin = [](http_parser* parser) {
        client_connection& c = connection_from(parser);
        c.head = {};
        c.header_value_started = true;
        return 0;
    };
    settings.on_header_field = [](http_parser* parser, const char* at, std::size_t size) {
        client_connection& c = connection_from(parser);
        if (c.header_value_started) c.head.headers.emplace_back();
        c.header_value_started = false;
        c.head.headers.back().first.append(at, size);
        return 0;
    };
    settings.on_header_value = [](http_parser* parser, const char* at, std::size_t size) {
        client_connection& c = connection_from(parser);
        if (c.head.headers.empty()) return 1;
        c.header_value_started = true;
        c.head.headers.back().second.append(at, size);
        return 0;
    };
    settings.on_headers_complete = on_headers;
    settings.on_body = [](http_parser* parser, const char* at, std::size_t size) {
        client_connection& c = connection_from(parser);
        if (!c.skipping && c.call != 0 && c.handlers.on_data) c.handlers.on_data({at, size});
        return 0;
    };
    settings.on_message_complete = [](http_parser* parser) {
        client_connection& c = connection_from(parser);
        c.head_check = {};
        http_parser_pause(parser, 1);
        if (c.skipping) return 0;
        c.response_complete = true;
        c.reusable = c.reusable && http_should_keep_alive(parser) != 0;
        return 0;
    };
    return settings;
}

const http_parser_settings parser_callbacks = make_parser_callbacks();

/// The value N of "timeout=N" in a Keep-Alive header, in seconds.
std::optional<std::chrono::seconds> parse_keep_alive_timeout(const http_headers& headers) {
    const std::string_view value = find_header(headers, "Keep-Alive");
    const auto at = value.find("timeout=");
    if (at == std::string_view::npos) return std::nullopt;
    int seconds = 0;
    const std::string_view digits = value.substr(at + 8);
    const auto [end, ec] = std::from_chars(digits.data(), digits.data() + digits.size(), seconds);
    if (ec != std::errc{} || seconds < 0) return std::nullopt;
    return std::chrono::seconds{seconds};
}

} // namespace

//-----------------------------------------------------------------------------
// [SECTION] Calls
//-----------------------------------------------------------------------------

struct edge_client::implementation : std::enable_shared_from_this<implementation> {
    implementation(asio::io_context& c, edge_client_settings s) : context(c), settings(s) {}

    connection_ptr take_idle_connection(const edge_call& call);
    void begin_call(const connection_ptr& connection, std::uint64_t call_id, edge_call&& call,
                    edge_handlers&& handlers);
    /// Calls `done` once with the outcome, unless the connection is closed before.
    void connect(const connection_ptr& connection, std::function<void(edge_connect_result)> done);
    void on_connected(const connection_ptr& connection, edge_connect_result result);
    void set_socket_options(client_connection& connection) const;
    void read(const connection_ptr& connection);
    void on_bytes(const connection_ptr& connection, std::string_view bytes);
    void on_read_error(const connection_ptr& connection, bool orderly);
    void write(const connection_ptr& connection);
    void finish_call(const connection_ptr& connection, edge_result result);
    void return_to_pool(const connection_ptr& connection);
    void close(const connection_ptr& connection);

    asio::io_context& context;
    edge_client_settings settings;
    std::unordered_map<std::uint64_t, connection_ptr> calls;
    std::unordered_map<std::string, std::vector<connection_ptr>> idle_connections;
    std::uint64_t next_call_id{1};
    std::uint64_t connections_opened{};
};

connection_ptr edge_client::implementation::take_idle_connection(const edge_call& call) {
    const auto found = idle_connections.find(call.address);
    if (found == idle_connections.end()) return {};
    const auto now = clock::now();
    auto& pool = found->second;
    while (!pool.empty()) {
        connection_ptr connection = pool.back();
        const bool recent = now - connection->idle_since < settings.recent_idle_limit;
        if (call.recent_connection_only && !recent) return {};
        pool.pop_back();
        if (now < connection->usable_until) return connection;
        close(connection);
    }
    return {};
}

void edge_client::implementation::begin_call(const connection_ptr& connection, std::uint64_t call_id,
                                             edge_call&& call, edge_handlers&& handlers) {
    calls[call_id] = connection;
    connection->call = call_id;
    connection->handlers = std::move(handlers);
    connection->head_only = call.head_only;
    connection->response_complete = false;
    connection->sent_bytes = false;
    connection->response_begun = false;
    connection->head_check = {};
    connection->partial_line.clear();
    connection->unsent = std::move(call.head);
    connection->unsent += call.body;
    http_parser_init(&connection->parser, HTTP_RESPONSE);
    connection->parser.data = connection.get();
    if (connection->connected) {
        write(connection);
    } else {
        connect(connection, [self = shared_from_this(), connection](edge_connect_result result) {
            self->on_connected(connection, result);
        });
    }
}

void edge_client::implementation::set_socket_options(client_connection& connection) const {
    asio::error_code ignored;
    connection.socket.set_option(asio::ip::tcp::no_delay{true}, ignored);
    connection.socket.non_blocking(true, ignored);
    // Detects peers that vanished without a reset: unacknowledged data and failed keep-alive probes.
    using integer = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;
    const auto dead_peer_ms = static_cast<int>(to_milliseconds(settings.dead_peer_timeout));
    connection.socket.set_option(integer{dead_peer_ms}, ignored);
    connection.socket.set_option(asio::socket_base::keep_alive{true}, ignored);
    connection.socket.set_option(asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPIDLE>{1}, ignored);
    connection.socket.set_option(asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPINTVL>{1},
                                 ignored);
    connection.socket.set_option(asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPCNT>{2}, ignored);
}

void edge_client::implementation::connect(const connection_ptr& connection,
                                          std::function<void(edge_connect_result)> done) {
    connection->connecting = true;
    const auto finish = [connection, done = std::move(done)](edge_connect_result result) {
        if (connection->closed || !connection->connecting) return;
        connection->connecting = false;
        connection->connect_timer.cancel();
        done(result);
    };
    failure error;
    const auto parts = split_address(connection->address, error);
    if (!parts) {
        asio::post(context, [finish] { finish(edge_connect_result::no_answer); });
        return;
    }
    ++connections_opened;
    asio::error_code ignored;
    connection->socket.open(asio::ip::tcp::v4(), ignored);
    set_socket_options(*connection);
    connection->connect_timer.expires_after(settings.connect_timeout);
    connection->connect_timer.async_wait([finish](const asio::error_code& ec) {
        if (!ec) finish(edge_connect_result::no_answer);
    });
    const asio::ip::tcp::endpoint endpoint{asio::ip::make_address(parts->first), parts->second};
    connection->socket.async_connect(endpoint, [finish](const asio::error_code& ec) {
        const bool refused = ec == asio::error::connection_refused;
        finish(!ec ? edge_connect_result::accepted
                   : (refused ? edge_connect_result::refused : edge_connect_result::no_answer));
    });
}

void edge_client::implementation::on_connected(const connection_ptr& connection, edge_connect_result result) {
    if (result != edge_connect_result::accepted) {
        finish_call(connection, edge_result::not_sent);
        return;
    }
    connection->connected = true;
    read(connection);
    write(connection);
}

void edge_client::implementation::finish_call(const connection_ptr& connection, edge_result result) {
    const auto on_end = std::move(connection->handlers.on_end);
    connection->handlers = {};
    connection->reading_paused = false;
    calls.erase(connection->call);
    connection->call = 0;
    if (result == edge_result::complete && connection->reusable && connection->unsent.empty()) {
        return_to_pool(connection);
    } else {
        close(connection);
    }
    if (on_end) on_end(result);
}

void edge_client::implementation::return_to_pool(const connection_ptr& connection) {
    auto& pool = idle_connections[connection->address];
    if (pool.size() >= settings.max_idle_connections) {
        close(connection);
        return;
    }
    connection->idle_since = clock::now();
    pool.push_back(connection);
}

namespace {

/// Whether bytes of the request may still be on their way. An acknowledgement may come from a proxy in
/// between; only a response shows that the server has the request, and it may begin before the last byte.
bool may_hold_request(client_connection& connection) {
    if (!connection.sent_bytes) return false;
    if (!connection.response_begun || !connection.unsent.empty()) return true;
    int unacknowledged = 0;
    return ioctl(connection.socket.native_handle(), SIOCOUTQ, &unacknowledged) == 0 && unacknowledged > 0;
}

} // namespace

void edge_client::implementation::close(const connection_ptr& connection) {
    if (connection->closed) return;
    connection->closed = true;
    connection->connect_timer.cancel();
    asio::error_code ignored;
    if (may_hold_request(*connection))
        connection->socket.set_option(asio::socket_base::linger{true, 0}, ignored);
    connection->socket.close(ignored);
}

//-----------------------------------------------------------------------------
// [SECTION] Reading and writing
//-----------------------------------------------------------------------------

void edge_client::implementation::read(const connection_ptr& connection) {
    if (connection->reading || connection->reading_paused) return;
    connection->reading = true;
    connection->socket.async_read_some(
        asio::buffer(connection->buffer),
        [self = shared_from_this(), connection](const asio::error_code& ec, std::size_t size) {
            connection->reading = false;
            if (connection->closed) return;
            if (ec) {
                self->on_read_error(connection, ec == asio::error::eof);
            } else {
                self->on_bytes(connection, {connection->buffer.data(), size});
            }
            if (!connection->closed) self->read(connection);
        });
}

namespace {

/// Number of bytes to parse next: while a head is read, up to the end of the line, so that no line is parsed
/// to its end before it has been checked. None if the line may not stand in a head.
std::optional<std::size_t> check_next_part(client_connection& connection, std::string_view bytes) {
    if (connection.head_check.is_complete()) return bytes.size();
    const std::size_t end = bytes.find('\n');
    const std::string_view line = bytes.substr(0, end == std::string_view::npos ? end : end + 1);
    connection.partial_line.append(line);
    if (end == std::string_view::npos) return line.size();
    const bool accepted = connection.head_check.accept(connection.partial_line);
    connection.partial_line.clear();
    return accepted ? std::optional{line.size()} : std::nullopt;
}

} // namespace

void edge_client::implementation::on_bytes(const connection_ptr& connection, std::string_view bytes) {
    if (connection->call == 0) { // unsolicited data on an idle connection
        std::erase(idle_connections[connection->address], connection);
        close(connection);
        return;
    }
    const std::uint64_t call_id = connection->call;
    http_parser& parser = connection->parser;
    while (!bytes.empty()) {
        const auto size = check_next_part(*connection, bytes);
        if (!size) {
            finish_call(connection, edge_result::malformed);
            return;
        }
        const std::size_t used = http_parser_execute(&parser, &parser_callbacks, bytes.data(), *size);
        if (connection->closed || connection->call != call_id) return; // a handler cancelled the call
        if (connection->response_complete) {
            if (used < bytes.size()) connection->reusable = false;
            finish_call(connection, edge_result::complete);
            return;
        }
        if (HTTP_PARSER_ERRNO(&parser) == HPE_PAUSED)
            http_parser_pause(&parser, 0); // a skipped one is complete
        if (HTTP_PARSER_ERRNO(&parser) != HPE_OK) {
            finish_call(connection, edge_result::malformed);
            return;
        }
        bytes.remove_prefix(used);
    }
}

void edge_client::implementation::on_read_error(const connection_ptr& connection, bool orderly) {
    connection->reusable = false;
    if (connection->call == 0) {
        std::erase(idle_connections[connection->address], connection);
        close(connection);
        return;
    }
    // Only an orderly close completes a close-delimited response; after a reset it is interrupted.
    const std::uint64_t call_id = connection->call;
    if (orderly && !connection->broken)
        http_parser_execute(&connection->parser, &parser_callbacks, nullptr, 0);
    if (connection->closed || connection->call != call_id) return;
    finish_call(connection, connection->response_complete ? edge_result::complete : edge_result::interrupted);
}

void edge_client::implementation::write(const connection_ptr& connection) {
    if (connection->closed || connection->writing || connection->unsent.empty()) return;
    asio::error_code ec;
    const std::size_t sent = connection->socket.write_some(asio::buffer(connection->unsent), ec);
    if (sent > 0) connection->sent_bytes = true;
    if (ec && ec != asio::error::would_block) {
        // The server may have responded without reading the whole request, so the result is left to the read.
        connection->unsent.clear();
        connection->reusable = false;
        // The kernel reports a reset once. If a write gets the report, a later read returns the same as after
        // an orderly close. A broken pipe means that the server had closed its side before the reset.
        if (ec != asio::error::broken_pipe) connection->broken = true;
        if (connection->sent_bytes) return;
        asio::post(context, [self = shared_from_this(), connection, call_id = connection->call] {
            if (!connection->closed && connection->call == call_id)
                self->finish_call(connection, edge_result::interrupted);
        });
        return;
    }
    connection->unsent.erase(0, sent);
    if (connection->unsent.empty()) return;
    connection->writing = true;
    connection->socket.async_wait(asio::ip::tcp::socket::wait_write,
                                  [self = shared_from_this(), connection](const asio::error_code& failed) {
                                      connection->writing = false;
                                      if (!failed) self->write(connection);
                                  });
}

//-----------------------------------------------------------------------------
// [SECTION] Client
//-----------------------------------------------------------------------------

edge_client::edge_client(event_loop& loop, edge_client_settings settings)
    : impl_(std::make_shared<implementation>(*static_cast<asio::io_context*>(loop.native()), settings)) {}

edge_client::~edge_client() {
    for (auto& [address, pool] : impl_->idle_connections) {
        for (const connection_ptr& connection : pool)
            impl_->close(connection);
    }
    for (auto& [call_id, connection] : impl_->calls)
        impl_->close(connection);
    impl_->idle_connections.clear();
    impl_->calls.clear();
}

std::uint64_t edge_client::start(edge_call call, edge_handlers handlers) {
    const std::uint64_t call_id = impl_->next_call_id++;
    connection_ptr connection = impl_->take_idle_connection(call);
    if (!connection) {
        connection = connection_ptr{new client_connection{impl_->context}};
        connection->address = call.address;
    }
    // Wraps on_head to record how long the server keeps the connection open.
    handlers.on_head = [on_head = std::move(handlers.on_head), raw = connection.get(),
                        settings = impl_->settings](edge_response_head&& head) {
        const auto keep_alive = parse_keep_alive_timeout(head.headers);
        const duration limit = keep_alive ? std::max<duration>(0s, *keep_alive - settings.keep_alive_margin)
                                          : settings.idle_timeout;
        raw->usable_until = clock::now() + std::min<duration>(limit, settings.idle_timeout);
        return on_head(std::move(head));
    };
    impl_->begin_call(connection, call_id, std::move(call), std::move(handlers));
    return call_id;
}

void edge_client::cancel(std::uint64_t call_id) {
    const auto found = impl_->calls.find(call_id);
    if (found == impl_->calls.end()) return;
    const connection_ptr connection = found->second;
    impl_->calls.erase(found);
    connection->call = 0;
    impl_->close(connection);
}

void edge_client::set_reading_paused(std::uint64_t call_id, bool paused) {
    const auto found = impl_->calls.find(call_id);
    if (found == impl_->calls.end()) return;
    const connection_ptr connection = found->second;
    connection->reading_paused = paused;
    if (!paused && connection->connected) impl_->read(connection);
}

void edge_client::probe(const std::string& address, std::function<void(edge_connect_result)> done) {
    const connection_ptr connection{new client_connection{impl_->context}};
    connection->address = address;
    impl_->connect(connection,
                   [self = impl_, connection, done = std::move(done)](edge_connect_result result) {
                       self->close(connection);
                       done(result);
                   });
}

std::uint64_t edge_client::connections_opened() const { return impl_->connections_opened; }

} // namespace damaskhill
