// Index of this file:
// [SECTION] Helpers
// [SECTION] Responses of targets
// [SECTION] Responses to callers
// [SECTION] Slow callers

#include "damaskhill_impl_edge_client.hpp"
#include "damaskhill_impl_edge_server.hpp"

#include <asio.hpp>
#include <boost/test/unit_test.hpp>

#include <map>

using namespace damaskhill;

namespace {

//-----------------------------------------------------------------------------
// [SECTION] Helpers
//-----------------------------------------------------------------------------

/// Target that responds to each connection's first request with fixed bytes, then closes it orderly or by a
/// reset.
struct scripted_target {
    event_loop& loop;
    asio::ip::tcp::acceptor acceptor{*static_cast<asio::io_context*>(loop.native()),
                                     {asio::ip::make_address("127.0.0.1"), 0}};
    std::string response;
    bool keep_open{};
    bool reset{};
    std::vector<std::shared_ptr<asio::ip::tcp::socket>> sockets;
    std::array<char, 4096> buffer{};

    scripted_target(event_loop& l, std::string text) : loop(l), response(std::move(text)) { accept(); }
    std::string address() const { return "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port()); }
    void accept() {
        acceptor.async_accept([this](const asio::error_code& ec, asio::ip::tcp::socket socket) {
            if (ec) return;
            sockets.push_back(std::make_shared<asio::ip::tcp::socket>(std::move(socket)));
            serve(sockets.back());
            accept();
        });
    }
    void serve(const std::shared_ptr<asio::ip::tcp::socket>& socket) {
        socket->async_read_some(asio::buffer(buffer),
                                [this, socket](const asio::error_code& ec, std::size_t) {
                                    if (ec) return;
                                    asio::write(*socket, asio::buffer(response));
                                    if (keep_open) return;
                                    asio::error_code ignored;
                                    if (reset)
                                        socket->set_option(asio::socket_base::linger{true, 0}, ignored);
                                    socket->close(ignored);
                                });
    }
};

struct call_outcome {
    std::uint32_t status{};
    std::string body;
    std::optional<edge_result> result;
    bool close_delimited{};
};

call_outcome call(event_loop& loop, edge_client& client, const std::string& address) {
    call_outcome received;
    edge_handlers handlers;
    handlers.on_head = [&](edge_response_head&& head) {
        if (find_header(head.headers, "Id") == "other") return edge_response_action::skip;
        received.status = head.status;
        received.close_delimited = head.close_delimited;
        return edge_response_action::accept;
    };
    handlers.on_data = [&](std::string_view data) { received.body.append(data); };
    handlers.on_end = [&](edge_result result) {
        received.result = result;
        loop.stop();
    };
    client.start({address, "GET / HTTP/1.1\r\nHost: t\r\n\r\n", {}, false, false}, std::move(handlers));
    loop.after(3s, [&] { loop.stop(); });
    loop.run();
    return received;
}

call_outcome call_scripted_target(const std::string& response, bool keep_open = false, bool reset = false) {
    event_loop loop;
    scripted_target target{loop, response};
    target.keep_open = keep_open;
    target.reset = reset;
    edge_client client{loop, {}};
    return call(loop, client, target.address());
}

/// Sends a request to a server and returns all bytes received until the connection closes.
std::string request_and_read_all(event_loop& loop, const std::string& address) {
    failure error;
    const auto parts = split_address(address, error);
    asio::ip::tcp::socket socket{*static_cast<asio::io_context*>(loop.native())};
    socket.connect({asio::ip::make_address(parts->first), parts->second});
    asio::write(socket, asio::buffer(std::string{"GET /x HTTP/1.1\r\nHost: h\r\n\r\n"}));
    std::string bytes;
    std::array<char, 4096> buffer{};
    std::function<void()> read = [&] {
        socket.async_read_some(asio::buffer(buffer), [&](const asio::error_code& ec, std::size_t size) {
            bytes.append(buffer.data(), size);
            if (ec) {
                loop.stop();
                return;
            }
            read();
        });
    };
    read();
    loop.after(3s, [&] { loop.stop(); });
    loop.run();
    return bytes;
}

constexpr const char* server_address = "127.0.0.1:18471";

} // namespace

BOOST_AUTO_TEST_SUITE(edge)

//-----------------------------------------------------------------------------
// [SECTION] Responses of targets
//-----------------------------------------------------------------------------

// Guards against taking a late response to an earlier request for the response to the current one.
BOOST_AUTO_TEST_CASE(response_to_another_request_is_skipped) {
    const auto received = call_scripted_target("HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 3\r\n\r\nold"
                                               "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nnew",
                                               true);
    BOOST_TEST((received.result == edge_result::complete));
    BOOST_TEST(received.body == "new");
}

// Guards against reporting a truncated response as complete.
BOOST_AUTO_TEST_CASE(truncated_response_is_interrupted) {
    BOOST_TEST((call_scripted_target("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc").result ==
                edge_result::interrupted));
    BOOST_TEST(
        (call_scripted_target("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n").result ==
         edge_result::interrupted));
}

// Guards against a response whose head is cut off and that counts as a whole one with an empty body, wherever
// the head ends and however the connection does.
BOOST_AUTO_TEST_CASE(response_with_a_truncated_head_is_no_response) {
    constexpr std::string_view head = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\n";
    for (std::size_t size = 1; size < head.size(); ++size) {
        for (const bool reset : {false, true}) {
            const auto outcome = call_scripted_target(std::string{head.substr(0, size)}, false, reset);
            BOOST_TEST_CONTEXT(size << " bytes, reset " << reset) {
                BOOST_REQUIRE(outcome.result.has_value());
                BOOST_TEST((*outcome.result != edge_result::complete));
                BOOST_TEST(outcome.body.empty());
            }
        }
    }
}

// Guards against reporting a close-delimited response as complete after a connection reset.
BOOST_AUTO_TEST_CASE(only_orderly_close_completes_close_delimited_response) {
    const auto whole = call_scripted_target("HTTP/1.1 200 OK\r\n\r\nabc");
    BOOST_TEST((whole.result == edge_result::complete));
    BOOST_TEST(whole.close_delimited);
    BOOST_TEST(whole.body == "abc");
    BOOST_TEST(
        (call_scripted_target("HTTP/1.1 200 OK\r\n\r\nabc", false, true).result == edge_result::interrupted));
}

// Guards against accepting data that is not HTTP, and against reporting a request as sent without a
// connection.
BOOST_AUTO_TEST_CASE(malformed_response_and_failed_connect_are_distinguished) {
    BOOST_TEST((call_scripted_target("hello\r\n\r\n", true).result == edge_result::malformed));
    event_loop loop;
    edge_client client{loop, {}};
    BOOST_TEST((call(loop, client, "127.0.0.1:1").result == edge_result::not_sent));
}

// Guards against a response head without end: it is cut at the parser's limit instead of being buffered.
BOOST_AUTO_TEST_CASE(endless_head_is_malformed) {
    event_loop loop;
    edge_client client{loop, {}};
    std::string head = "HTTP/1.1 200 OK\r\n";
    for (int i = 0; i < 10'000; ++i)
        head += "X-" + std::to_string(i) + ": value\r\n";
    scripted_target target{loop, head};
    target.keep_open = true;
    const call_outcome outcome = call(loop, client, target.address());
    BOOST_REQUIRE(outcome.result.has_value());
    BOOST_TEST((*outcome.result == edge_result::malformed));
}

// Guards against a target that is gone and counts as live, or the reverse.
BOOST_AUTO_TEST_CASE(probe_tells_a_listening_target_from_one_that_is_gone) {
    event_loop loop;
    edge_client client{loop, {}};
    std::map<std::string, edge_connect_result> outcomes;
    std::string gone;
    {
        scripted_target target{loop, ""};
        gone = target.address();
    }
    scripted_target target{loop, ""};
    for (const std::string& address : {gone, target.address()})
        client.probe(address, [&, address](edge_connect_result result) { outcomes[address] = result; });
    loop.after(300ms, [&] { loop.stop(); });
    loop.run();
    BOOST_REQUIRE(outcomes.size() == 2U);
    BOOST_TEST((outcomes[gone] == edge_connect_result::refused));
    BOOST_TEST((outcomes[target.address()] == edge_connect_result::accepted));
}

// Guards against parsing excess data after a complete response as the start of the next one.
BOOST_AUTO_TEST_CASE(connection_with_excess_data_is_not_reused) {
    event_loop loop;
    scripted_target target{loop, "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabcEXTRA"};
    target.keep_open = true;
    edge_client client{loop, {}};
    BOOST_TEST((call(loop, client, target.address()).result == edge_result::complete));
    BOOST_TEST((call(loop, client, target.address()).result == edge_result::complete));
    BOOST_TEST(client.connections_opened() == 2U);
}

//-----------------------------------------------------------------------------
// [SECTION] Responses to callers
//-----------------------------------------------------------------------------

// Guards against an aborted stream that looks complete to the caller.
BOOST_AUTO_TEST_CASE(aborted_stream_has_no_terminating_chunk) {
    event_loop loop;
    edge_server* server_pointer = nullptr;
    edge_server server{loop,
                       {},
                       {[&](std::uint64_t exchange, http_request&&) {
                            server_pointer->begin_response(exchange, 200, {});
                            server_pointer->send_chunk(exchange, "abc");
                            server_pointer->abort(exchange);
                        },
                        [](std::uint64_t) {}}};
    server_pointer = &server;
    failure error;
    BOOST_REQUIRE(server.listen(server_address, error).has_value());
    const std::string bytes = request_and_read_all(loop, server_address);
    BOOST_TEST((bytes.find("3\r\nabc\r\n") != std::string::npos));
    BOOST_TEST((bytes.find("0\r\n\r\n") == std::string::npos));
}

// Guards against a request that is passed on although its response cannot be sent any more: it arrives behind
// an aborted response on a connection whose caller reads slowly.
BOOST_AUTO_TEST_CASE(request_behind_an_aborted_response_is_not_accepted) {
    event_loop loop;
    edge_server* server_pointer = nullptr;
    std::size_t requests = 0;
    const std::string large(3U << 20U, 'x'); // more than the kernel buffers for a caller that does not read
    edge_server server{loop,
                       {},
                       {[&](std::uint64_t exchange, http_request&&) {
                            ++requests;
                            server_pointer->begin_response(exchange, 200, {});
                            server_pointer->send_chunk(exchange, large);
                            server_pointer->abort(exchange);
                        },
                        [](std::uint64_t) {}}};
    server_pointer = &server;
    failure error;
    BOOST_REQUIRE(server.listen(server_address, error).has_value());
    asio::ip::tcp::socket socket{*static_cast<asio::io_context*>(loop.native())};
    socket.open(asio::ip::tcp::v4());
    socket.set_option(asio::socket_base::receive_buffer_size{4096});
    const auto parts = split_address(server_address, error);
    socket.connect({asio::ip::make_address(parts->first), parts->second});
    const std::string request = "GET /x HTTP/1.1\r\nHost: h\r\n\r\n";
    asio::write(socket, asio::buffer(request));
    loop.after(100ms, [&] { asio::write(socket, asio::buffer(request)); });
    loop.after(300ms, [&] { loop.stop(); });
    loop.run();
    BOOST_TEST(requests == 1U);
}

// Guards against a shutdown that does not announce the end of the connection to its caller.
BOOST_AUTO_TEST_CASE(draining_server_sends_connection_close) {
    event_loop loop;
    edge_server* server_pointer = nullptr;
    edge_server server{loop,
                       {},
                       {[&](std::uint64_t exchange, http_request&&) {
                            server_pointer->send_response(exchange, 200, {}, "ok");
                        },
                        [](std::uint64_t) {}}};
    server_pointer = &server;
    failure error;
    BOOST_REQUIRE(server.listen(server_address, error).has_value());
    server.begin_drain(10s);
    const std::string bytes = request_and_read_all(loop, server_address);
    BOOST_TEST((bytes.find("Connection: close\r\n") != std::string::npos));
    BOOST_TEST(bytes.ends_with("ok"));
}

// Guards against refusing new callers while idle connections hold all descriptors.
BOOST_AUTO_TEST_CASE(idle_connection_is_closed_for_a_new_one) {
    event_loop loop;
    edge_server* server_pointer = nullptr;
    edge_server_settings settings;
    settings.max_connections = 2;
    edge_server server{loop,
                       settings,
                       {[&](std::uint64_t exchange, http_request&&) {
                            server_pointer->send_response(exchange, 200, {}, "ok");
                        },
                        [](std::uint64_t) {}}};
    server_pointer = &server;
    failure error;
    BOOST_REQUIRE(server.listen(server_address, error).has_value());
    const auto parts = split_address(server_address, error);
    std::vector<asio::ip::tcp::socket> idle;
    for (int i = 0; i < 2; ++i) {
        idle.emplace_back(*static_cast<asio::io_context*>(loop.native()));
        idle.back().connect({asio::ip::make_address(parts->first), parts->second});
        loop.after(50ms, [&] { loop.stop(); });
        loop.run();
    }
    BOOST_TEST(server.counts().open_connections == 2U);
    const std::string bytes = request_and_read_all(loop, server_address);
    BOOST_TEST(bytes.ends_with("ok"));
    BOOST_TEST(server.counts().idle_closed == 1U);
    BOOST_TEST(server.counts().refused_connections == 0U);
}

// Guards against requests that wait for seconds at an overloaded router: they are refused without a reset.
BOOST_AUTO_TEST_CASE(shedding_server_refuses_requests_unparsed) {
    event_loop loop;
    std::size_t requests = 0;
    edge_server server{loop, {}, {[&](std::uint64_t, http_request&&) { ++requests; }, [](std::uint64_t) {}}};
    failure error;
    BOOST_REQUIRE(server.listen(server_address, error).has_value());
    server.set_shedding(true);
    const std::string bytes = request_and_read_all(loop, server_address);
    BOOST_TEST(bytes.starts_with("HTTP/1.1 503 "));
    BOOST_TEST((bytes.find("Retry-After: ") != std::string::npos));
    BOOST_TEST(requests == 0U);
    BOOST_TEST(server.counts().shed_requests == 1U);
}

//-----------------------------------------------------------------------------
// [SECTION] Slow callers
//-----------------------------------------------------------------------------

namespace {

/// Target that answers each request with a head and then bytes without end, as fast as they are taken.
struct endless_target {
    event_loop& loop;
    asio::ip::tcp::acceptor acceptor{*static_cast<asio::io_context*>(loop.native()),
                                     {asio::ip::make_address("127.0.0.1"), 0}};
    std::shared_ptr<asio::ip::tcp::socket> socket;
    std::array<char, 4096> request{};
    std::string block = std::string(64U << 10U, 'x');
    std::size_t sent{};

    explicit endless_target(event_loop& l) : loop(l) {
        acceptor.async_accept([this](const asio::error_code& ec, asio::ip::tcp::socket accepted) {
            if (ec) return;
            socket = std::make_shared<asio::ip::tcp::socket>(std::move(accepted));
            socket->async_read_some(
                asio::buffer(request), [this](const asio::error_code& failed, std::size_t) {
                    if (failed) return;
                    asio::write(*socket, asio::buffer(std::string{"HTTP/1.1 200 OK\r\n\r\n"}));
                    write();
                });
        });
    }
    std::string address() const { return "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port()); }
    void write() {
        socket->async_write_some(asio::buffer(block), [this](const asio::error_code& ec, std::size_t size) {
            sent += size;
            if (!ec) write();
        });
    }
};

/// Caller that reads up to `bytes` each 20 ms.
struct slow_caller {
    event_loop& loop;
    asio::ip::tcp::socket socket{*static_cast<asio::io_context*>(loop.native())};
    std::size_t bytes;
    std::size_t received{};
    bool closed{};
    std::string buffer;

    slow_caller(event_loop& l, std::size_t bytes_each_time, std::string_view request, int window = 4096)
        : loop(l), bytes(bytes_each_time) {
        failure error;
        const auto parts = split_address(server_address, error);
        socket.open(asio::ip::tcp::v4());
        socket.set_option(asio::socket_base::receive_buffer_size{window});
        socket.connect({asio::ip::make_address(parts->first), parts->second});
        asio::write(socket, asio::buffer(request));
        socket.non_blocking(true);
        loop.every(20ms, [this] { read(); });
    }
    void read() {
        if (bytes == 0 || closed) return;
        buffer.resize(bytes);
        asio::error_code ec;
        received += socket.read_some(asio::buffer(buffer), ec);
        closed = ec && ec != asio::error::would_block;
    }
    /// Whether the server has closed the connection; discards what has arrived.
    bool is_closed() {
        std::array<char, 65536> rest{};
        asio::error_code ec;
        while (!ec)
            socket.read_some(asio::buffer(rest), ec);
        return ec != asio::error::would_block;
    }
};

constexpr const char* plain_request = "GET /x HTTP/1.1\r\nHost: h\r\n\r\n";

void run_for(event_loop& loop, duration time) {
    loop.after(time, [&] { loop.stop(); });
    loop.run();
}

} // namespace

// Guards against memory that grows with what a target sends while its caller reads slowly: the target has to
// wait, and goes on when the caller does.
BOOST_AUTO_TEST_CASE(endless_response_to_a_slow_caller_holds_bounded_memory) {
    event_loop loop;
    endless_target target{loop};
    edge_client client{loop, {}};
    edge_server* server_pointer = nullptr;
    std::uint64_t call_id = 0;
    std::size_t most = 0;
    const edge_server_settings settings;
    edge_server server{
        loop,
        settings,
        {[&](std::uint64_t exchange, http_request&&) {
             edge_handlers handlers;
             handlers.on_head = [&, exchange](edge_response_head&&) {
                 server_pointer->begin_response(exchange, 200, {});
                 return edge_response_action::accept;
             };
             handlers.on_data = [&, exchange](std::string_view data) {
                 server_pointer->send_chunk(exchange, data);
                 most = std::max(most, server_pointer->counts().held_bytes);
             };
             call_id = client.start({target.address(), plain_request, {}, false, false}, std::move(handlers));
         },
         [](std::uint64_t) {},
         [&](std::uint64_t, bool congested) { client.set_reading_paused(call_id, congested); }}};
    server_pointer = &server;
    failure error;
    BOOST_REQUIRE(server.listen(server_address, error).has_value());
    slow_caller caller{loop, 2000, plain_request, 64 << 10};
    run_for(loop, 1s);
    constexpr std::size_t reads_until_paused = 64U << 10U;
    BOOST_TEST(most > settings.congested_bytes); // the case is reached
    BOOST_TEST(most <= settings.congested_bytes + reads_until_paused);
    const std::size_t sent_before = target.sent;
    caller.bytes = 4U << 20U;
    run_for(loop, 1s);
    BOOST_TEST(target.sent > sent_before + settings.congested_bytes);
    BOOST_TEST(most <= settings.congested_bytes + reads_until_paused);
}

// Guards against a process that many slow callers together exhaust, and against ending the wrong one: the
// largest holder is ended, the others go on.
BOOST_AUTO_TEST_CASE(largest_holder_is_ended_when_memory_is_short) {
    event_loop loop;
    edge_server* server_pointer = nullptr;
    edge_server_settings settings;
    settings.max_held_bytes = 6U << 20U;
    edge_server server{loop,
                       settings,
                       {[&](std::uint64_t exchange, http_request&& request) {
                            const std::size_t size = request.target == "/large" ? 12U << 20U : 5U << 20U;
                            server_pointer->send_response(exchange, 200, {}, std::string(size, 'x'));
                        },
                        [](std::uint64_t) {},
                        {}}};
    server_pointer = &server;
    failure error;
    BOOST_REQUIRE(server.listen(server_address, error).has_value());
    slow_caller small{loop, 0, plain_request};
    run_for(loop, 100ms);
    slow_caller large{loop, 0, "GET /large HTTP/1.1\r\nHost: h\r\n\r\n"};
    run_for(loop, 200ms);
    BOOST_TEST(server.counts().held_bytes <= settings.max_held_bytes);
    BOOST_TEST(server.counts().ended_for_memory == 1U);
    BOOST_TEST(large.is_closed());
    BOOST_TEST(!small.is_closed());
}

// Guards against uploads that exhaust the memory together, each within its own limit: the largest one is
// refused, with a reply that says when to come back.
BOOST_AUTO_TEST_CASE(largest_upload_is_refused_when_memory_is_short) {
    event_loop loop;
    std::size_t requests = 0;
    edge_server_settings settings;
    settings.max_held_bytes = 3U << 20U;
    edge_server server{
        loop, settings, {[&](std::uint64_t, http_request&&) { ++requests; }, [](std::uint64_t) {}, {}}};
    failure error;
    BOOST_REQUIRE(server.listen(server_address, error).has_value());
    const std::string head = "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 8000000\r\n\r\n";
    std::vector<std::unique_ptr<slow_caller>> callers;
    for (const std::size_t megabytes : {1U, 2U, 1U}) {
        callers.push_back(std::make_unique<slow_caller>(loop, 0, head));
        // A task of its own for each part, as the server reads in the same thread.
        for (std::size_t part = 0; part < megabytes * 16; ++part) {
            loop.after(0ms, [&, socket = &callers.back()->socket] {
                asio::error_code ignored;
                socket->write_some(asio::buffer(std::string(64U << 10U, 'b')), ignored);
            });
            run_for(loop, 3ms);
        }
    }
    run_for(loop, 100ms);
    BOOST_TEST(requests == 0U);
    BOOST_TEST(server.counts().held_bytes <= settings.max_held_bytes);
    BOOST_TEST(server.counts().ended_for_memory == 1U);
    std::string refusal(4096, '\0');
    asio::error_code ec;
    refusal.resize(callers[1]->socket.read_some(asio::buffer(refusal), ec));
    BOOST_TEST(refusal.starts_with("HTTP/1.1 503 "));
    BOOST_TEST((refusal.find("Retry-After: ") != std::string::npos));
    BOOST_TEST(!callers[0]->is_closed());
    BOOST_TEST(!callers[2]->is_closed());
}

// Guards against connections that callers hold for ever without reading, and against cutting a caller that is
// only slow.
BOOST_AUTO_TEST_CASE(only_a_caller_that_takes_no_byte_is_reset) {
    event_loop loop;
    edge_server* server_pointer = nullptr;
    edge_server_settings settings;
    settings.write_stall_timeout = 300ms;
    edge_server server{loop,
                       settings,
                       {[&](std::uint64_t exchange, http_request&&) {
                            server_pointer->send_response(exchange, 200, {}, std::string(7U << 20U, 'x'));
                        },
                        [](std::uint64_t) {},
                        {}}};
    server_pointer = &server;
    failure error;
    BOOST_REQUIRE(server.listen(server_address, error).has_value());
    slow_caller silent{loop, 0, plain_request};
    slow_caller slow{loop, 4000, plain_request};
    run_for(loop, 1500ms);
    BOOST_TEST(server.counts().stalled == 1U);
    BOOST_TEST(!slow.closed);
    BOOST_TEST(silent.is_closed());
}

BOOST_AUTO_TEST_SUITE_END()
