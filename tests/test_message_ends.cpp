// Where a request ends and the next one begins, also when it is refused before it has wholly arrived.
//
// Index of this file:
// [SECTION] Helpers
// [SECTION] Refused requests
// [SECTION] Sequences of requests

#include "edge_clients.hpp"

using namespace damaskhill;
using namespace damaskhill::edge_clients;

namespace {

//-----------------------------------------------------------------------------
// [SECTION] Helpers
//-----------------------------------------------------------------------------

const std::string inner = "POST /inner HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n";

enum class framing : std::uint8_t { length, chunks, expected, pipelined };
enum class refusal : std::uint8_t { shed, oversized, memory, abort };
enum class rest_arrives : std::uint8_t { at_once, later, never };

struct split_request {
    std::string first; // fills the server's buffer exactly, if the request is longer
    std::string rest;
};

/// A request whose body holds another one behind the first read of the server.
split_request make_request(framing form, std::size_t body_size) {
    const bool in_chunks = form == framing::chunks;
    const auto head = [&](std::size_t size) {
        return "POST /outer HTTP/1.1\r\nHost: h\r\n" +
               std::string{form == framing::expected ? "Expect: 100-continue\r\n" : ""} +
               (in_chunks ? "Transfer-Encoding: chunked" : "Content-Length: " + std::to_string(size)) +
               "\r\n\r\n";
    };
    std::string text;
    const auto build = [&](std::size_t before) {
        std::string body = std::string(before, 't') + inner;
        body.resize(body_size, 't');
        if (!in_chunks) return head(body.size()) + body;
        std::array<char, 16> size{};
        (void)std::snprintf(size.data(), size.size(), "%zx\r\n", body.size());
        return head(0) + size.data() + body + "\r\n0\r\n\r\n";
    };
    for (std::size_t before = read_size - 300; before < read_size; ++before) {
        text = build(before);
        if (text.find(inner) == read_size) break;
    }
    BOOST_REQUIRE(text.find(inner) == read_size);
    if (form == framing::pipelined) text += "GET /next HTTP/1.1\r\nHost: h\r\n\r\n";
    return {text.substr(0, read_size), text.substr(read_size)};
}

} // namespace

BOOST_AUTO_TEST_SUITE(message_ends)

//-----------------------------------------------------------------------------
// [SECTION] Refused requests
//-----------------------------------------------------------------------------

// Guards against a request that no client sent: while requests are refused unprocessed, the first read of a
// body fills the buffer exactly, and what follows is text that looks like a request.
BOOST_AUTO_TEST_CASE(rest_of_a_refused_body_is_no_request) {
    recording_server server;
    server.server->set_shedding(true);
    const split_request request = make_request(framing::length, 20'000);
    recording_client client{server.loop};
    client.send(request.first);
    run_for(server.loop, 50ms);
    client.send(request.rest);
    run_for(server.loop, 50ms);
    client.receive();
    BOOST_TEST(server.targets.empty());
    BOOST_TEST(client.received.starts_with("HTTP/1.1 503 "));
}

// Guards against the same on each path that ends a request early, and against a refusal that its caller never
// reads because the connection is reset under it.
BOOST_AUTO_TEST_CASE(request_that_ends_early_has_no_successor) {
    for (const framing form : {framing::length, framing::chunks, framing::expected, framing::pipelined}) {
        for (const refusal reason : {refusal::shed, refusal::oversized, refusal::memory, refusal::abort}) {
            for (const rest_arrives rest :
                 {rest_arrives::at_once, rest_arrives::later, rest_arrives::never}) {
                edge_server_settings settings;
                if (reason == refusal::memory) settings.max_held_bytes = 10'000;
                recording_server server{settings};
                server.server->set_shedding(reason == refusal::shed);
                server.aborts = reason == refusal::abort;
                const split_request request =
                    make_request(form, reason == refusal::oversized ? max_body + 1 : 20'000);
                recording_client client{server.loop};
                client.send(rest == rest_arrives::at_once ? request.first + request.rest : request.first);
                run_for(server.loop, 20ms);
                if (rest == rest_arrives::later) client.send(request.rest);
                run_for(server.loop, 20ms);
                client.receive();
                BOOST_TEST_CONTEXT("framing " << static_cast<int>(form) << " refusal "
                                              << static_cast<int>(reason) << " rest "
                                              << static_cast<int>(rest)) {
                    const bool whole = rest != rest_arrives::never;
                    BOOST_TEST(!client.reset);
                    if (reason == refusal::abort) {
                        BOOST_TEST(server.targets.size() == (whole ? 1U : 0U));
                        BOOST_TEST((client.received.find("HTTP/1.1 200 ") == std::string::npos));
                    } else {
                        const bool known = reason != refusal::oversized || form != framing::chunks || whole;
                        BOOST_TEST(server.targets.empty());
                        BOOST_TEST((client.received.find("Connection: close\r\n") != std::string::npos) ==
                                   known);
                        BOOST_TEST((client.received.find(" 503 ") != std::string::npos ||
                                    client.received.find(" 413 ") != std::string::npos) == known);
                    }
                }
            }
        }
    }
}

// Guards against a caller whose tunnel to another server would pass through the connection unseen.
BOOST_AUTO_TEST_CASE(body_of_a_tunnel_is_no_request) {
    recording_server server;
    recording_client client{server.loop};
    client.send("CONNECT h:80 HTTP/1.1\r\nHost: h\r\nContent-Length: " + std::to_string(inner.size()) +
                "\r\n\r\n" + inner);
    run_for(server.loop, 50ms);
    client.receive();
    BOOST_TEST(server.targets.empty());
    BOOST_TEST(client.received.starts_with("HTTP/1.1 501 "));
}

// Guards against a header that a client sets behind the body, where it is not checked.
BOOST_AUTO_TEST_CASE(trailer_is_no_header) {
    recording_server server;
    recording_client client{server.loop};
    client.send("POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
                "1\r\nb\r\n0\r\nAuthorization: b\r\n\r\n");
    run_for(server.loop, 50ms);
    BOOST_REQUIRE(server.headers.size() == 1U);
    BOOST_TEST(find_header(server.headers.front(), "Host") == "h");
    BOOST_TEST(find_header(server.headers.front(), "Authorization") == "");
}

//-----------------------------------------------------------------------------
// [SECTION] Sequences of requests
//-----------------------------------------------------------------------------

// Guards against a request that is lost, invented or changed by the place at which the bytes are cut.
BOOST_AUTO_TEST_CASE(requests_are_the_same_wherever_the_bytes_are_cut) {
    const std::string sequence =
        "POST /1 HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nGET "
        "\r\n\r\nPOST /2 HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
        "3;x=y\r\na\r\n\r\n2\r\nbc\r\n0\r\nT: v\r\n\r\n"
        "GET /3?q HTTP/1.1\r\nHost: h\r\nUpgrade: u\r\nConnection: upgrade\r\n\r\n"
        "PUT /4 HTTP/1.1\r\nHost: h\r\nUpgrade: u\r\nConnection: upgrade\r\nContent-Length: 2\r\n\r\nxy"
        "GET /5 HTTP/1.1\r\nHost: h\r\n\r\n";
    const std::vector<std::string> targets{"/1", "/2", "/3?q", "/4", "/5"};
    const std::vector<std::string> bodies{"GET ", "a\r\nbc", "", "xy", ""};
    recording_server server;
    for (std::size_t cut = 0; cut <= sequence.size(); ++cut) {
        server.targets.clear();
        server.bodies.clear();
        recording_client client{server.loop};
        client.send(std::string_view{sequence}.substr(0, cut));
        run_for(server.loop, 2ms);
        client.send(std::string_view{sequence}.substr(cut));
        for (int i = 0; i < 5000 && server.targets.size() < targets.size(); ++i)
            run_for(server.loop, 2ms);
        BOOST_TEST_CONTEXT("cut at " << cut) {
            BOOST_TEST(server.targets == targets, boost::test_tools::per_element());
            BOOST_TEST(server.bodies == bodies, boost::test_tools::per_element());
        }
    }
}

// Guards against bytes that are parsed before others that came earlier and wait for a response, and against a
// connection that is never read again once more has been sent ahead than is buffered.
BOOST_AUTO_TEST_CASE(many_requests_sent_ahead_are_all_answered) {
    recording_server server;
    constexpr std::size_t requests = 8000;
    std::string text;
    for (std::size_t i = 0; i < requests; ++i)
        text += "GET /" + std::to_string(i) + " HTTP/1.1\r\nHost: h\r\n\r\n";
    recording_client client{server.loop};
    for (std::size_t sent = 0; sent < text.size();) {
        asio::error_code ec;
        sent += client.socket.write_some(asio::buffer(std::string_view{text}.substr(sent)), ec);
        BOOST_REQUIRE((!ec || ec == asio::error::would_block));
        client.receive();
        run_for(server.loop, 1ms);
    }
    for (int i = 0; i < 5000 && server.targets.size() < requests; ++i) {
        run_for(server.loop, 2ms);
        client.receive();
    }
    BOOST_TEST(server.targets.size() == requests);
}

BOOST_AUTO_TEST_SUITE_END()
