// Target that answers as a script says, byte by byte, and readers of its answers: both HTTP clients of the
// product, and a client of the direct router.
//
// Index of this file:
// [SECTION] Target
// [SECTION] Clients of the target
// [SECTION] Client of the router

#pragma once

#include "damaskhill_impl_curl.hpp"
#include "damaskhill_impl_edge_client.hpp"
#include "real_router.hpp"

#include <atomic>

#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>

namespace damaskhill::real {

//-----------------------------------------------------------------------------
// [SECTION] Target
//-----------------------------------------------------------------------------

/// How a connection ends once the answer is sent.
enum class connection_end : std::uint8_t {
    reset,
    closed_with_unread_bytes, // the kernel sends a reset
    in_order,
    in_order_then_reset, // the end of the answer is sent before the unread request causes a reset
    kept_open
};

struct scripted_answer {
    std::string bytes; // "$ID" stands for the attempt's id
    connection_end end{connection_end::in_order};
    std::vector<std::chrono::microseconds> delays{{}}; // used in turn, before the connection ends
    std::size_t read_first{};                          // bytes of the body that are read before the answer
    bool byte_by_byte{};
};

/// Serves one connection after the other in a thread of its own.
class broken_target {
public:
    explicit broken_target(scripted_answer answer)
        : address_(free_address()),
          answer_(std::move(answer)),
          listener_(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
        // With a small buffer, most of a large request is still unsent when the answer comes.
        constexpr int receive_buffer = 16 << 10;
        ::setsockopt(listener_.fd(), SOL_SOCKET, SO_RCVBUF, &receive_buffer, sizeof receive_buffer);
        const sockaddr_in at = endpoint_of(address_);
        BOOST_REQUIRE(::bind(listener_.fd(), reinterpret_cast<const sockaddr*>(&at), sizeof at) == 0);
        BOOST_REQUIRE(::listen(listener_.fd(), SOMAXCONN) == 0);
        thread_ = std::thread([this] { run(); });
    }
    ~broken_target() {
        stopping_ = true;
        thread_.join();
    }
    broken_target(const broken_target&) = delete;
    broken_target& operator=(const broken_target&) = delete;

    [[nodiscard]] const std::string& address() const { return address_; }
    [[nodiscard]] std::size_t answers() const { return answers_; } // that were sent

private:
    static constexpr int poll_ms = 10;
    static constexpr int patience = 300; // polls

    void run() {
        while (!stopping_) {
            pollfd waiting{listener_.fd(), POLLIN, 0};
            if (::poll(&waiting, 1, poll_ms) <= 0) continue;
            client_socket connection{::accept4(listener_.fd(), nullptr, nullptr, SOCK_CLOEXEC)};
            constexpr int at_once = 1;
            ::setsockopt(connection.fd(), IPPROTO_TCP, TCP_NODELAY, &at_once, sizeof at_once);
            std::string request;
            if (!read_until(connection, request, [&] { return has_head(request); })) continue;
            const std::size_t wanted = request.find("\r\n\r\n") + 4 + answer_.read_first;
            if (!read_until(connection, request, [&] { return request.size() >= wanted; })) continue;
            respond(connection, request);
        }
    }
    void respond(client_socket& connection, const std::string& request) {
        std::string bytes = answer_.bytes;
        const std::string id = header_of(request, "Damaskhill-Attempt-Id: ");
        for (std::size_t at = bytes.find("$ID"); at != std::string::npos; at = bytes.find("$ID"))
            bytes.replace(at, 3, id);
        for (std::string_view rest = bytes; !rest.empty();) {
            const std::size_t size = answer_.byte_by_byte ? 1 : rest.size();
            const ssize_t sent = ::send(connection.fd(), rest.data(), size, MSG_NOSIGNAL);
            if (sent <= 0) return;
            if (answer_.byte_by_byte) std::this_thread::sleep_for(std::chrono::microseconds{50});
            rest.remove_prefix(static_cast<std::size_t>(sent));
        }
        std::this_thread::sleep_for(answer_.delays[answers_++ % answer_.delays.size()]);
        end(connection);
    }
    void end(client_socket& connection) const {
        switch (answer_.end) {
        case connection_end::reset:
            connection.reset();
            break;
        case connection_end::closed_with_unread_bytes:
            await_unread_bytes(connection);
            break;
        case connection_end::in_order:
            ::shutdown(connection.fd(), SHUT_WR);
            discard_until_closed(connection);
            break;
        case connection_end::in_order_then_reset:
            ::shutdown(connection.fd(), SHUT_WR);
            await_acknowledgement(connection);
            await_unread_bytes(connection);
            break;
        case connection_end::kept_open:
            discard_until_closed(connection);
            break;
        }
    }
    void discard_until_closed(const client_socket& connection) const {
        std::string ignored;
        (void)read_until(connection, ignored, [] { return false; });
    }
    /// Without unread bytes, closing would not cause a reset.
    static void await_unread_bytes(const client_socket& connection) {
        pollfd waiting{connection.fd(), POLLIN, 0};
        (void)::poll(&waiting, 1, poll_ms * patience);
    }
    /// A reset discards what is not acknowledged, the end of the answer too.
    void await_acknowledgement(const client_socket& connection) const {
        int unacknowledged = 1;
        for (int i = 0; i < patience && unacknowledged > 0 && !stopping_; ++i) {
            if (::ioctl(connection.fd(), SIOCOUTQ, &unacknowledged) != 0) return;
            if (unacknowledged > 0) std::this_thread::sleep_for(std::chrono::milliseconds{1});
        }
    }
    template <class Condition>
    bool read_until(const client_socket& connection, std::string& received, Condition done) const {
        for (int quiet = 0; quiet < patience && !done() && !stopping_;) {
            const std::size_t before = received.size();
            if (!connection.receive(received, poll_ms)) return done();
            quiet = received.size() > before ? 0 : quiet + 1;
        }
        return done();
    }
    static bool has_head(const std::string& request) { return request.find("\r\n\r\n") != std::string::npos; }
    static std::string header_of(const std::string& request, std::string_view name) {
        const std::size_t at = request.find(name);
        if (at == std::string::npos) return {};
        return request.substr(at + name.size(), request.find("\r\n", at) - at - name.size());
    }

    std::string address_;
    scripted_answer answer_;
    client_socket listener_;
    std::atomic<bool> stopping_{};
    std::atomic<std::size_t> answers_{};
    std::thread thread_;
};

//-----------------------------------------------------------------------------
// [SECTION] Clients of the target
//-----------------------------------------------------------------------------

/// What a client of the product takes an answer for.
struct read_answer {
    bool ended{};    // within the test's time
    bool complete{}; // else broken off, or no answer at all
    std::uint32_t status{};
    std::string body;
};

constexpr duration answer_wait = 3s;

/// As the direct router reads the answers of targets, its store and the platform.
inline read_answer read_by_edge_client(const std::string& address, const std::string& body) {
    event_loop loop;
    edge_client client{loop, {}};
    read_answer answer;
    edge_handlers handlers;
    handlers.on_head = [&](edge_response_head&& head) {
        answer.status = head.status;
        return edge_response_action::accept;
    };
    handlers.on_data = [&](std::string_view data) { answer.body.append(data); };
    handlers.on_end = [&](edge_result result) {
        answer.ended = true;
        answer.complete = result == edge_result::complete;
        loop.stop();
    };
    edge_call call;
    call.address = address;
    call.head = "POST / HTTP/1.1\r\nHost: t\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n";
    call.body = body;
    client.start(std::move(call), std::move(handlers));
    loop.after(answer_wait, [&] { loop.stop(); });
    loop.run();
    return answer;
}

/// As the sidecar, the router and damaskhillctl read answers. The clients differ in whether parts are passed
/// on.
inline read_answer read_by_http_client(const std::string& address, const std::string& body, bool streaming) {
    event_loop loop;
    http_client client{loop};
    read_answer answer;
    http_call_handlers handlers;
    if (streaming) {
        handlers.on_data = [&](std::uint32_t status, std::string_view, std::string&& data) {
            answer.status = status;
            answer.body.append(data);
        };
    }
    handlers.on_done = [&](http_result&& result) {
        answer.ended = true;
        answer.complete = result.transport_ok;
        answer.status = result.status;
        if (!streaming) answer.body = std::move(result.body);
        loop.stop();
    };
    client.start({"POST", "http://" + address + "/", {}, body, answer_wait, 1s}, std::move(handlers));
    loop.after(answer_wait + 1s, [&] { loop.stop(); });
    loop.run();
    return answer;
}

//-----------------------------------------------------------------------------
// [SECTION] Client of the router
//-----------------------------------------------------------------------------

/// Whether a response has come up to the end that it states. Fills in its status and body.
inline bool is_complete_response(const std::string& response, read_answer& answer) {
    const std::size_t body_at = response.find("\r\n\r\n");
    if (body_at == std::string::npos) return false;
    const std::string_view head{response.data(), body_at + 2};
    answer.status = static_cast<std::uint32_t>(router_under_test::status_of(response));
    answer.body = response.substr(body_at + 4);
    constexpr std::string_view length = "Content-Length: ";
    const std::size_t length_at = head.find(length);
    if (length_at != std::string_view::npos)
        return answer.body.size() == std::stoul(response.substr(length_at + length.size()));
    constexpr std::string_view last_chunk = "\r\n0\r\n\r\n";
    return answer.body == last_chunk.substr(2) || answer.body.ends_with(last_chunk);
}

/// Sends one request to the router and reads what comes back until it is complete or the connection closes.
inline read_answer upload_to_router(const router_under_test& router, std::string_view path,
                                    const std::string& attempt, const std::string& body) {
    const std::string request = "POST " + std::string{path} +
                                " HTTP/1.1\r\nHost: soak.example\r\nDamaskhill-Attempt-Id: " + attempt +
                                "\r\nAuthorization: Token key-0\r\nDamaskhill-Deadline-Remaining: 6000"
                                "\r\nContent-Length: " +
                                std::to_string(body.size()) + "\r\n\r\n" + body;
    const client_socket socket = connect_to(router.callers);
    std::string received;
    read_answer answer;
    std::string_view unsent = request;
    const auto give_up = std::chrono::steady_clock::now() + std::chrono::seconds{8};
    while (!answer.complete && !answer.ended && std::chrono::steady_clock::now() < give_up) {
        const ssize_t sent = unsent.empty() ? 0 : socket.send_some(unsent);
        if (sent < 0) unsent = {};
        if (sent > 0) unsent.remove_prefix(static_cast<std::size_t>(sent));
        answer.ended = !socket.receive(received, unsent.empty() ? 50 : 1);
        answer.complete = is_complete_response(received, answer);
    }
    answer.ended = answer.ended || answer.complete;
    return answer;
}

} // namespace damaskhill::real
