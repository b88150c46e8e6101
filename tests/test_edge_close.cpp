// Index of this file:
// [SECTION] Helpers
// [SECTION] Abandoned calls

#include "damaskhill_impl_edge_client.hpp"

#include <asio.hpp>
#include <boost/test/unit_test.hpp>

#include <algorithm>

using namespace damaskhill;

//-----------------------------------------------------------------------------
// [SECTION] Helpers
//-----------------------------------------------------------------------------

namespace {

constexpr duration step = 100ms; // of the real clock, between two actions on loopback

/// Target that reads what it gets, sends fixed bytes after the first read and records how connections end.
struct recording_target {
    struct connection {
        asio::ip::tcp::socket socket;
        std::array<char, 4096> buffer{};
        std::size_t received{};
        std::optional<asio::error_code> end;
    };
    event_loop& loop;
    std::string response;
    bool reads_on{true}; // after the first read
    asio::ip::tcp::acceptor acceptor{*static_cast<asio::io_context*>(loop.native()),
                                     {asio::ip::make_address("127.0.0.1"), 0}};
    std::vector<std::shared_ptr<connection>> connections;

    recording_target(event_loop& l, std::string text) : loop(l), response(std::move(text)) { accept(); }
    [[nodiscard]] std::string address() const {
        return "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
    }
    void accept() {
        acceptor.async_accept([this](const asio::error_code& ec, asio::ip::tcp::socket socket) {
            if (ec) return;
            connections.push_back(std::make_shared<connection>(connection{std::move(socket), {}, 0, {}}));
            read(connections.back());
            accept();
        });
    }
    void read(const std::shared_ptr<connection>& c) {
        c->socket.async_read_some(asio::buffer(c->buffer),
                                  [this, c](const asio::error_code& ec, std::size_t size) {
                                      if (ec) {
                                          c->end = ec;
                                          return;
                                      }
                                      if (c->received == 0) asio::write(c->socket, asio::buffer(response));
                                      c->received += size;
                                      if (reads_on) read(c);
                                  });
    }
};

std::uint64_t start_call(edge_client& client, const recording_target& target, std::string body,
                         std::optional<edge_result>* result = nullptr) {
    edge_call call;
    call.address = target.address();
    call.head = "POST / HTTP/1.1\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n";
    call.body = std::move(body);
    edge_handlers handlers;
    handlers.on_head = [](edge_response_head&&) { return edge_response_action::accept; };
    handlers.on_data = [](std::string_view) {};
    handlers.on_end = [result](edge_result r) {
        if (result != nullptr) *result = r;
    };
    return client.start(std::move(call), std::move(handlers));
}

void run_for(event_loop& loop, duration time) {
    loop.after(time, [&] { loop.stop(); });
    loop.run();
}

const std::string stream_head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n";
const std::string whole_response = "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc";

} // namespace

BOOST_AUTO_TEST_SUITE(edge_close)

//-----------------------------------------------------------------------------
// [SECTION] Abandoned calls
//-----------------------------------------------------------------------------

// Guards against requests that reach their target after they were given up: only a reset drops the bytes that
// a partition holds up.
BOOST_AUTO_TEST_CASE(call_without_response_is_abandoned_with_a_reset) {
    event_loop loop;
    recording_target target{loop, ""};
    edge_client client{loop, {}};
    const std::uint64_t abandoned = start_call(client, target, "body");
    start_call(client, target, "body");
    run_for(loop, step);
    BOOST_REQUIRE(target.connections.size() == 2U);
    client.cancel(abandoned);
    run_for(loop, step);
    const auto reset = std::ranges::count_if(target.connections, [](const auto& c) {
        return c->end == std::optional<asio::error_code>{asio::error::connection_reset};
    });
    const auto open =
        std::ranges::count_if(target.connections, [](const auto& c) { return !c->end.has_value(); });
    BOOST_TEST(reset == 1);
    BOOST_TEST(open == 1); // the other call is not touched
}

// Guards against a reset that drops nothing but the target's unread bytes: a target that has answered has the
// request.
BOOST_AUTO_TEST_CASE(call_whose_response_has_begun_is_abandoned_in_order) {
    event_loop loop;
    recording_target target{loop, stream_head};
    edge_client client{loop, {}};
    const std::uint64_t call = start_call(client, target, "body");
    run_for(loop, step);
    client.cancel(call);
    run_for(loop, step);
    BOOST_REQUIRE(target.connections.size() == 1U);
    BOOST_REQUIRE(target.connections.front()->end.has_value());
    BOOST_TEST(*target.connections.front()->end == asio::error::eof);
}

// Guards against the rest of a request that reaches a target which answered before it had read the body.
BOOST_AUTO_TEST_CASE(partly_sent_request_is_abandoned_with_a_reset) {
    event_loop loop;
    recording_target target{loop, stream_head};
    target.reads_on = false;
    edge_client client{loop, {}};
    constexpr std::size_t more_than_the_buffers = 64U << 20U;
    const std::uint64_t call = start_call(client, target, std::string(more_than_the_buffers, 'b'));
    run_for(loop, step);
    BOOST_REQUIRE(target.connections.size() == 1U);
    client.cancel(call);
    target.reads_on = true;
    target.read(target.connections.front());
    run_for(loop, step);
    BOOST_REQUIRE(target.connections.front()->end.has_value());
    BOOST_TEST(*target.connections.front()->end == asio::error::connection_reset);
}

// Guards against resets of idle connections: the answers of their requests are complete.
BOOST_AUTO_TEST_CASE(idle_connection_is_closed_in_order) {
    event_loop loop;
    recording_target target{loop, whole_response};
    std::optional<edge_result> result;
    {
        edge_client client{loop, {}};
        start_call(client, target, "body", &result);
        run_for(loop, step);
        BOOST_REQUIRE(result.has_value());
        BOOST_TEST((*result == edge_result::complete));
    }
    run_for(loop, step);
    BOOST_REQUIRE(target.connections.front()->end.has_value());
    BOOST_TEST(*target.connections.front()->end == asio::error::eof);
}

BOOST_AUTO_TEST_SUITE_END()
