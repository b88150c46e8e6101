// Crowds of clients that stay within no limit, against the real router. The crowd and the bounds are fixed;
// only what does not depend on the speed of the machine is checked.
//
// Index of this file:
// [SECTION] Crowd
// [SECTION] Heads
// [SECTION] Bodies
// [SECTION] Connections
// [SECTION] Other protocols
// [SECTION] Readiness and control
// [SECTION] Fixture

#include "real_router.hpp"

using namespace damaskhill;
using namespace damaskhill::real;

namespace {

//-----------------------------------------------------------------------------
// [SECTION] Crowd
//-----------------------------------------------------------------------------

constexpr std::size_t descriptors = 256;             // in the router's settings, which allow no less
constexpr std::size_t crowd_size = 220;              // connections; more than the router may hold
constexpr std::size_t bytes_each = 400'000;          // over the limit of a head, and less than a body's
constexpr std::size_t max_memory_growth_kb = 64'000; // memory_mb in the router's settings is 32

/// What each client sends: the opening once, then the other text again and again.
struct script {
    std::string opening;
    std::string repeated;
    std::size_t bytes{bytes_each};
};

std::vector<client_socket> open_crowd(const std::string& address, std::size_t size = crowd_size) {
    std::vector<client_socket> crowd;
    for (std::size_t i = 0; i < size; ++i)
        crowd.push_back(connect_to(address));
    return crowd;
}

/// All clients send their script, in turns, until they have, their connections are closed, or the router
/// takes nothing more.
void send_all(const std::vector<client_socket>& crowd, const script& text) {
    std::string block = text.repeated;
    constexpr std::size_t block_size = 8192;
    while (!block.empty() && block.size() < block_size)
        block += text.repeated;
    std::vector<std::size_t> sent(crowd.size());
    constexpr int max_quiet_rounds = 300;
    for (int quiet = 0; quiet < max_quiet_rounds;) {
        bool progress = false;
        for (std::size_t i = 0; i < crowd.size(); ++i) {
            const std::size_t opening = text.opening.size();
            if (sent[i] >= text.bytes || (sent[i] >= opening && block.empty())) continue;
            const std::string_view next =
                sent[i] < opening ? std::string_view{text.opening}.substr(sent[i])
                                  : std::string_view{block}.substr((sent[i] - opening) % block.size());
            const ssize_t size = crowd[i].send_some(next);
            if (size < 0) sent[i] = text.bytes;
            if (size > 0) sent[i] += static_cast<std::size_t>(size);
            progress = progress || size > 0;
        }
        quiet = progress ? 0 : quiet + 1;
        std::this_thread::sleep_for(std::chrono::milliseconds{1});
    }
}

void check_router(router_under_test& router) {
    BOOST_REQUIRE(router.is_alive());
    BOOST_TEST(router.open_descriptors() <= descriptors);
    BOOST_TEST(router.ordinary_request() == 200);
    BOOST_TEST(router_under_test::request(router.ready,
                                          "GET / HTTP/1.1\r\nHost: r\r\nConnection: close\r\n\r\n") == 200);
    BOOST_REQUIRE(router.is_alive());
    BOOST_TEST(router.status_kb("VmHWM:") <= router.peak_before_kb + max_memory_growth_kb);
    BOOST_TEST(router.open_descriptors() <= descriptors);
}

json lowered_limits() { return {{"max_descriptors", descriptors}, {"memory_mb", 32}}; }

/// The crowd stays connected while the router is checked, and again when it has left.
void endure_at(const std::string router_under_test::*port, const script& text) {
    router_under_test router{lowered_limits()};
    std::vector<client_socket> crowd = open_crowd(router.*port);
    send_all(crowd, text);
    check_router(router);
    crowd.clear();
    check_router(router);
}
void endure_callers(const script& text) { endure_at(&router_under_test::callers, text); }

const std::string post = "POST /stock/1 HTTP/1.1\r\nHost: soak.example\r\nAuthorization: Token key-0\r\n";
const std::string chunked = post + "Transfer-Encoding: chunked\r\n\r\n";

} // namespace

BOOST_AUTO_TEST_SUITE(hostile_clients)

//-----------------------------------------------------------------------------
// [SECTION] Heads
//-----------------------------------------------------------------------------

// Guards against heads whose many short headers take much more memory than they have bytes.
BOOST_AUTO_TEST_CASE(headers_without_end) { endure_callers({post, "a:\r\n"}); }
// The same just below the limit, so that no head is refused for its size.
BOOST_AUTO_TEST_CASE(headers_below_the_limit) { endure_callers({post, "a:\r\n", 60'000}); }
BOOST_AUTO_TEST_CASE(header_without_end) { endure_callers({post + "X-Long: ", "xxxxxxxx"}); }
BOOST_AUTO_TEST_CASE(header_name_without_end) { endure_callers({post, "x"}); }
BOOST_AUTO_TEST_CASE(request_line_without_end) { endure_callers({"POST /stock/", "xxxxxxxx"}); }
BOOST_AUTO_TEST_CASE(empty_lines_without_end) { endure_callers({"", "\r\n"}); }
BOOST_AUTO_TEST_CASE(heads_over_the_limit) {
    endure_callers({post + "X-Long: " + std::string(70'000, 'x') + "\r\nContent-Length: 0\r\n\r\n", ""});
}

//-----------------------------------------------------------------------------
// [SECTION] Bodies
//-----------------------------------------------------------------------------

BOOST_AUTO_TEST_CASE(chunk_extension_without_end) { endure_callers({chunked + "5;", "ext=value;"}); }
BOOST_AUTO_TEST_CASE(chunk_size_without_end) { endure_callers({chunked, "0"}); }
BOOST_AUTO_TEST_CASE(chunks_of_extensions) {
    endure_callers({chunked, "1;" + std::string(4000, 'e') + "\r\nb\r\n"});
}
BOOST_AUTO_TEST_CASE(trailers_without_end) { endure_callers({chunked + "1\r\nb\r\n0\r\n", "t:\r\n"}); }
BOOST_AUTO_TEST_CASE(bodies_over_the_limit_with_a_length) {
    endure_callers({post + "Content-Length: 900000000\r\n\r\n", "bbbbbbbb"});
}
BOOST_AUTO_TEST_CASE(bodies_over_the_limit_in_chunks) {
    endure_callers({chunked, "1000\r\n" + std::string(0x1000, 'b') + "\r\n"});
}
// Guards against a body whose end two readers would see at different places.
BOOST_AUTO_TEST_CASE(length_and_chunks_are_refused) {
    router_under_test router{lowered_limits()};
    const std::string answer = router_under_test::exchange(
        router.callers, post + "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n");
    BOOST_TEST(router_under_test::status_of(answer) == 400);
    BOOST_TEST((answer.find("Connection: close\r\n") != std::string::npos));
    check_router(router);
}

//-----------------------------------------------------------------------------
// [SECTION] Connections
//-----------------------------------------------------------------------------

// Guards against connections that hold all places without ever sending a whole request.
BOOST_AUTO_TEST_CASE(silent_in_the_head) { endure_callers({"P", ""}); }
BOOST_AUTO_TEST_CASE(silent_in_the_body) { endure_callers({post + "Content-Length: 100\r\n\r\nb", ""}); }
BOOST_AUTO_TEST_CASE(silent_from_the_start) { endure_callers({"", ""}); }
// One byte at a time at each stage; the sends are far enough apart to arrive one by one.
BOOST_AUTO_TEST_CASE(one_byte_at_a_time) {
    router_under_test router{lowered_limits()};
    const std::vector<client_socket> crowd = open_crowd(router.callers);
    const std::string request = post + "Content-Length: 50\r\n\r\n" + std::string(20, 'b');
    for (std::size_t turn = 0; turn < request.size(); ++turn) {
        for (std::size_t i = 0; i < crowd.size(); ++i)
            (void)crowd[i].send_some(std::string_view{request}.substr(turn, 1));
        std::this_thread::sleep_for(std::chrono::milliseconds{5});
    }
    check_router(router);
}
BOOST_AUTO_TEST_CASE(reset_at_once) {
    router_under_test router{lowered_limits()};
    constexpr int rounds = 5;
    for (int round = 0; round < rounds; ++round) {
        std::vector<client_socket> crowd = open_crowd(router.callers);
        send_all(crowd, {post, ""});
        for (client_socket& client : crowd)
            client.reset();
    }
    check_router(router);
}
// Guards against answers that are kept for clients that never read.
BOOST_AUTO_TEST_CASE(pipelined_without_reading) {
    endure_callers({"", "GET /nowhere HTTP/1.1\r\nHost: soak.example\r\n\r\n", 2'000'000});
}

//-----------------------------------------------------------------------------
// [SECTION] Other protocols
//-----------------------------------------------------------------------------

BOOST_AUTO_TEST_CASE(upgrades) {
    endure_callers({"", "GET /stock/1 HTTP/1.1\r\nHost: soak.example\r\nConnection: upgrade\r\n"
                        "Upgrade: websocket\r\n\r\n"});
}
BOOST_AUTO_TEST_CASE(tunnels) {
    endure_callers({"", "CONNECT soak.example:80 HTTP/1.1\r\nHost: soak.example\r\n\r\n"});
}
BOOST_AUTO_TEST_CASE(old_protocol) { endure_callers({"", "GET /stock/1\r\n"}); }
BOOST_AUTO_TEST_CASE(next_protocol) { endure_callers({"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n", "\x01"}); }
BOOST_AUTO_TEST_CASE(tls_hellos) { endure_callers({"\x16\x03\x01\x02", "\x01\x03\x03"}); }
BOOST_AUTO_TEST_CASE(zero_bytes) { endure_callers({"", std::string(64, '\0')}); }
BOOST_AUTO_TEST_CASE(bytes_of_255) { endure_callers({"", std::string(64, '\xff')}); }

//-----------------------------------------------------------------------------
// [SECTION] Readiness and control
//-----------------------------------------------------------------------------

BOOST_AUTO_TEST_CASE(headers_without_end_at_ready) { endure_at(&router_under_test::ready, {post, "a:\r\n"}); }
BOOST_AUTO_TEST_CASE(headers_without_end_at_control) {
    endure_at(&router_under_test::control, {post, "a:\r\n"});
}
BOOST_AUTO_TEST_CASE(silent_at_ready) { endure_at(&router_under_test::ready, {"G", ""}); }
BOOST_AUTO_TEST_CASE(silent_at_control) { endure_at(&router_under_test::control, {"G", ""}); }
BOOST_AUTO_TEST_CASE(empty_lines_without_end_at_ready) { endure_at(&router_under_test::ready, {"", "\r\n"}); }
BOOST_AUTO_TEST_CASE(pipelined_without_reading_at_control) {
    endure_at(&router_under_test::control, {"", "GET /metrics HTTP/1.1\r\nHost: c\r\n\r\n"});
}
// Guards against the sum: each port is within its limit, and the process is out of descriptors.
BOOST_AUTO_TEST_CASE(silent_at_all_ports) {
    router_under_test router{lowered_limits()};
    std::vector<std::vector<client_socket>> crowds;
    for (const std::string& port : {router.callers, router.ready, router.control}) {
        crowds.push_back(open_crowd(port));
        send_all(crowds.back(), {"G", ""});
    }
    check_router(router);
}

//-----------------------------------------------------------------------------
// [SECTION] Fixture
//-----------------------------------------------------------------------------

// Guards against a router under test that does not start, since two of its addresses are the same.
BOOST_AUTO_TEST_CASE(drawn_addresses_are_distinct) {
    constexpr std::size_t draws = 2000;
    std::set<std::string> drawn;
    for (std::size_t i = 0; i < draws; ++i)
        drawn.insert(free_address(i % 2 == 0 ? SOCK_STREAM : SOCK_DGRAM));
    BOOST_TEST(drawn.size() == draws);
}

BOOST_AUTO_TEST_SUITE_END()
