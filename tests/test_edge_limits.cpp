// Index of this file:
// [SECTION] Time
// [SECTION] Places
// [SECTION] Bytes

#include "edge_clients.hpp"

using namespace damaskhill;
using namespace damaskhill::edge_clients;

namespace {

const std::string plain_request = "GET /x HTTP/1.1\r\nHost: h\r\n\r\n";
const std::string upload_head = "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 100\r\n";

} // namespace

BOOST_AUTO_TEST_SUITE(edge_limits)

//-----------------------------------------------------------------------------
// [SECTION] Time
//-----------------------------------------------------------------------------

// Guards against a request that never ends, at each stage, and against cutting a connection that is in time.
BOOST_AUTO_TEST_CASE(unfinished_request_is_refused_after_its_time) {
    for (const std::string& begun : {std::string{"P"}, upload_head, upload_head + "\r\nb"}) {
        edge_server_settings settings;
        settings.head_timeout = 200ms;
        settings.body_timeout = 200ms;
        recording_server server{settings};
        recording_client client{server.loop};
        recording_client idle{server.loop};
        client.send(begun);
        run_for(server.loop, 100ms);
        client.receive();
        BOOST_TEST(client.received.empty());
        run_for(server.loop, 400ms);
        client.receive();
        idle.receive();
        BOOST_TEST(client.received.starts_with("HTTP/1.1 408 "));
        BOOST_TEST(!client.reset);
        BOOST_TEST(!idle.closed);
        BOOST_TEST(server.server->counts().requests_expired == 1U);
        BOOST_TEST(server.targets.empty());
    }
}

// Guards against a long upload that is cut although it goes on.
BOOST_AUTO_TEST_CASE(body_that_goes_on_is_in_time) {
    edge_server_settings settings;
    settings.body_timeout = 600ms;
    recording_server server{settings};
    recording_client client{server.loop};
    client.send("POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 10000\r\n\r\n");
    for (int part = 0; part < 5; ++part) {
        client.send(std::string(2000, 'b'));
        run_for(server.loop, 200ms);
    }
    client.receive();
    BOOST_TEST(client.received.ends_with("ok"));
    BOOST_TEST(server.server->counts().requests_expired == 0U);
}

// Guards against connections that are kept for ever without use, and against closing one between requests.
BOOST_AUTO_TEST_CASE(idle_connection_is_closed_after_its_time) {
    edge_server_settings settings;
    settings.idle_timeout = 600ms;
    recording_server server{settings};
    recording_client silent{server.loop};
    recording_client used{server.loop};
    run_for(server.loop, 300ms);
    used.send(plain_request);
    run_for(server.loop, 500ms);
    silent.receive();
    used.receive();
    BOOST_TEST(silent.closed);
    BOOST_TEST(!used.closed);
    BOOST_TEST(used.received.ends_with("ok"));
    BOOST_TEST(server.server->counts().idle_expired == 1U);
}

// Guards against a refused client that keeps its connection open for ever.
BOOST_AUTO_TEST_CASE(refused_connection_is_closed_after_its_time) {
    edge_server_settings settings;
    settings.linger_time = 200ms;
    recording_server server{settings};
    recording_client client{server.loop};
    client.send("not HTTP\r\n\r\n");
    run_for(server.loop, 50ms);
    BOOST_TEST(server.server->counts().open_connections == 1U);
    run_for(server.loop, 400ms);
    BOOST_TEST(server.server->counts().open_connections == 0U);
    BOOST_TEST(server.server->counts().malformed_requests == 1U);
}

// Guards against a client that waits for 100 (Continue) until its time is over.
BOOST_AUTO_TEST_CASE(client_that_expects_100_gets_it) {
    recording_server server;
    recording_client client{server.loop};
    client.send(upload_head + "Expect: 100-continue\r\n\r\n");
    run_for(server.loop, 50ms);
    client.receive();
    BOOST_TEST(client.received == "HTTP/1.1 100 Continue\r\n\r\n");
    client.send(std::string(100, 'b'));
    run_for(server.loop, 50ms);
    client.receive();
    BOOST_TEST(client.received.ends_with("ok"));
    BOOST_TEST(server.targets.size() == 1U);
}

//-----------------------------------------------------------------------------
// [SECTION] Places
//-----------------------------------------------------------------------------

// Guards against unfinished requests that take all places, and against a served request that loses its own.
BOOST_AUTO_TEST_CASE(unfinished_request_makes_room) {
    edge_server_settings settings;
    settings.max_connections = 2;
    recording_server server{settings};
    server.keeps_waiting = true;
    recording_client served{server.loop};
    served.send(plain_request);
    run_for(server.loop, 50ms);
    server.keeps_waiting = false;
    recording_client unfinished{server.loop};
    unfinished.send("POST /x");
    run_for(server.loop, 50ms);
    recording_client next{server.loop};
    next.send(plain_request);
    run_for(server.loop, 50ms);
    served.receive();
    unfinished.receive();
    next.receive();
    BOOST_TEST(!served.closed);
    BOOST_TEST(unfinished.received.starts_with("HTTP/1.1 408 "));
    BOOST_TEST(!unfinished.reset);
    BOOST_TEST(next.received.ends_with("ok"));
    BOOST_TEST(server.server->counts().unfinished_closed == 1U);
    BOOST_TEST(server.server->counts().refused_connections == 0U);
}

//-----------------------------------------------------------------------------
// [SECTION] Bytes
//-----------------------------------------------------------------------------

// Guards against heads that take memory without counting.
BOOST_AUTO_TEST_CASE(heads_count_as_held) {
    edge_server_settings settings;
    settings.max_held_bytes = 100'000;
    recording_server server{settings};
    recording_client client{server.loop};
    std::string head = "GET /x HTTP/1.1\r\n";
    constexpr int headers = 2000;
    for (int i = 0; i < headers; ++i)
        head += "a:\r\n";
    client.send(head);
    run_for(server.loop, 50ms);
    client.receive();
    BOOST_TEST(client.received.starts_with("HTTP/1.1 503 "));
    BOOST_TEST((client.received.find("Retry-After: ") != std::string::npos));
    BOOST_TEST(server.server->counts().held_bytes == 0U);
}

// Guards against a head at the declared limit that is refused, however many headers it has.
BOOST_AUTO_TEST_CASE(largest_declared_head_is_served) {
    constexpr std::size_t declared = 16'384;
    for (const std::string& header : {std::string{"a:\r\n"}, std::string(1000, 'x') + ": y\r\n"}) {
        recording_server server;
        recording_client client{server.loop};
        std::string head = "GET /x HTTP/1.1\r\nHost: h\r\n";
        while (head.size() + header.size() + 2 <= declared)
            head += header;
        client.send(head + "\r\n");
        run_for(server.loop, 50ms);
        client.receive();
        BOOST_TEST(client.received.ends_with("ok"));
    }
}

BOOST_AUTO_TEST_SUITE_END()
