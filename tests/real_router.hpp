// Runs the real direct router on loopback addresses, with a store and one target, for tests of what clients
// can do to its process.
//
// Index of this file:
// [SECTION] Sockets
// [SECTION] Router

#pragma once

#include "damaskhill_soak_platform.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <set>
#include <thread>

#include <arpa/inet.h>
#include <csignal>
#include <fcntl.h>
#include <poll.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace damaskhill::real {

//-----------------------------------------------------------------------------
// [SECTION] Sockets
//-----------------------------------------------------------------------------

class client_socket {
public:
    explicit client_socket(int fd = -1) : fd_(fd) {}
    ~client_socket() { close(); }
    client_socket(client_socket&& other) noexcept : fd_(std::exchange(other.fd_, -1)) {}
    client_socket& operator=(client_socket&& other) noexcept {
        std::swap(fd_, other.fd_);
        return *this;
    }
    client_socket(const client_socket&) = delete;
    client_socket& operator=(const client_socket&) = delete;
    [[nodiscard]] int fd() const { return fd_; }
    void close() {
        if (fd_ >= 0) ::close(fd_);
        fd_ = -1;
    }
    void reset() {
        const linger now{1, 0};
        if (fd_ >= 0) ::setsockopt(fd_, SOL_SOCKET, SO_LINGER, &now, sizeof now);
        close();
    }
    /// Sends what the kernel takes at once; -1 if the connection is closed.
    [[nodiscard]] ssize_t send_some(std::string_view bytes) const {
        const ssize_t sent = ::send(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
        return sent < 0 && (errno == EAGAIN || errno == EINTR) ? 0 : sent;
    }
    /// Appends what arrives within the time. False once the connection is closed.
    [[nodiscard]] bool receive(std::string& into, int wait_ms) const {
        pollfd waiting{fd_, POLLIN, 0};
        if (::poll(&waiting, 1, wait_ms) <= 0) return true;
        std::array<char, 16384> buffer{};
        const ssize_t size = ::recv(fd_, buffer.data(), buffer.size(), MSG_DONTWAIT);
        if (size > 0) into.append(buffer.data(), static_cast<std::size_t>(size));
        return size > 0;
    }

private:
    int fd_;
};

inline sockaddr_in endpoint_of(const std::string& address) {
    const std::size_t colon = address.rfind(':');
    sockaddr_in endpoint{};
    endpoint.sin_family = AF_INET;
    endpoint.sin_port = htons(static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))));
    ::inet_pton(AF_INET, address.substr(0, colon).c_str(), &endpoint.sin_addr);
    return endpoint;
}

inline client_socket connect_to(const std::string& address) {
    client_socket socket{::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0)};
    const sockaddr_in to = endpoint_of(address);
    (void)::connect(socket.fd(), reinterpret_cast<const sockaddr*>(&to), sizeof to);
    constexpr int connect_wait_ms = 2000;
    pollfd waiting{socket.fd(), POLLOUT, 0};
    (void)::poll(&waiting, 1, connect_wait_ms);
    return socket;
}

/// Own part of 127.0.0.0/8 with a port that the kernel chose. No address is returned twice: the kernel may
/// choose a port again before anybody listens there.
inline std::string free_address(int type = SOCK_STREAM) {
    static std::set<std::string> returned;
    const std::string ip =
        "127." + std::to_string(10 + getpid() % 200) + "." + std::to_string(getpid() / 200 % 250) + ".9";
    while (true) {
        const client_socket probe{::socket(AF_INET, type | SOCK_CLOEXEC, 0)};
        sockaddr_in endpoint = endpoint_of(ip + ":0");
        socklen_t size = sizeof endpoint;
        BOOST_REQUIRE(::bind(probe.fd(), reinterpret_cast<sockaddr*>(&endpoint), size) == 0);
        BOOST_REQUIRE(::getsockname(probe.fd(), reinterpret_cast<sockaddr*>(&endpoint), &size) == 0);
        std::string address = ip + ":" + std::to_string(ntohs(endpoint.sin_port));
        if (returned.insert(address).second) return address;
    }
}

//-----------------------------------------------------------------------------
// [SECTION] Router
//-----------------------------------------------------------------------------

/// The platform runs in a thread of its own, the router in a process of its own.
class router_under_test {
public:
    /// Requests to `/uploads/` and `/upload-streams/` go to the target at this address, if there is one.
    explicit router_under_test(const json& extra_settings, const std::string& upload_target = {}) {
        failure error;
        BOOST_REQUIRE(store_.listen(store_address_, error).has_value());
        BOOST_REQUIRE(target_.listen(error).has_value());
        store_.put("op/config",
                   {{"version", 1},
                    {"routes",
                     {route("stock", "idempotent", "app"), route("uploads", "non_idempotent", "uploads"),
                      route("upload-streams", "streaming", "uploads")}},
                    {"services", {{{"name", "app"}}, {{"name", "uploads"}}}},
                    {"tenants", {{{"name", "account-0"}, {"apiKeys", {"key-0"}}}}},
                    {"limits", {{"tokensPerS", 300000}}}});
        target_.start();
        if (!upload_target.empty()) register_target("uploads", upload_target);
        platform_ = std::thread([this] { loop_.run(); });
        json settings{{"name", "router-0"},
                      {"data_centre", "dc-0"},
                      {"http_address", callers},
                      {"ready_address", ready},
                      {"control_address", control},
                      {"report_address", free_address(SOCK_DGRAM)},
                      {"store_address", store_address_},
                      {"seeds", json::array()},
                      {"link_keys", {{{"number", 1}, {"secret", "secret of the tests' router"}}}},
                      {"key_limit_ms", 5000},
                      {"stop_limit_s", 8}};
        settings.update(extra_settings);
        std::string directory = "/tmp/damaskhill_router_XXXXXX";
        BOOST_REQUIRE(::mkdtemp(directory.data()) != nullptr);
        directory_ = directory;
        std::ofstream{directory_ / "settings.json"} << settings.dump(1);
        start();
        await_ready();
        BOOST_REQUIRE(ordinary_request() == 200);
        peak_before_kb = status_kb("VmHWM:");
    }
    ~router_under_test() {
        if (pid_ > 0) {
            ::kill(pid_, SIGKILL);
            ::waitpid(pid_, nullptr, 0);
        }
        loop_.post([this] { loop_.stop(); });
        if (platform_.joinable()) platform_.join();
        std::filesystem::remove_all(directory_);
    }
    router_under_test(const router_under_test&) = delete;
    router_under_test& operator=(const router_under_test&) = delete;

    const std::string callers = free_address();
    const std::string ready = free_address();
    const std::string control = free_address();
    std::size_t peak_before_kb{}; // resident memory after the first request

    [[nodiscard]] bool is_alive() {
        if (pid_ > 0 && ::waitpid(pid_, nullptr, WNOHANG) != 0) pid_ = 0;
        return pid_ > 0;
    }
    [[nodiscard]] std::size_t status_kb(std::string_view field) const {
        std::ifstream status{"/proc/" + std::to_string(pid_) + "/status"};
        for (std::string line; std::getline(status, line);) {
            if (line.starts_with(field)) return std::stoul(line.substr(field.size()));
        }
        return 0;
    }
    [[nodiscard]] std::size_t open_descriptors() const {
        std::error_code ec;
        std::size_t count = 0;
        for (auto it = std::filesystem::directory_iterator("/proc/" + std::to_string(pid_) + "/fd", ec);
             it != std::filesystem::directory_iterator{}; ++it)
            ++count;
        return count;
    }
    /// Sends a request as pages describe it on a connection of its own, and repeats it after a refusal or a
    /// closed connection. The status of the last response; 0 if there was none.
    [[nodiscard]] int ordinary_request() const {
        return request(callers, "POST /stock/1 HTTP/1.1\r\nHost: soak.example\r\nDamaskhill-Attempt-Id: t" +
                                    std::to_string(++requests_) +
                                    "\r\nAuthorization: Token key-0\r\nDamaskhill-Deadline-Remaining: 6000"
                                    "\r\nContent-Length: 8\r\n\r\nquestion");
    }
    [[nodiscard]] static int request(const std::string& address, const std::string& text) {
        constexpr int max_attempts = 40;
        int status = 0;
        for (int attempt = 0; attempt < max_attempts && status != 200; ++attempt) {
            if (attempt > 0) std::this_thread::sleep_for(std::chrono::milliseconds{500});
            status = status_of(exchange(address, text));
        }
        return status;
    }
    /// What comes back until the connection closes or a whole head has come.
    [[nodiscard]] static std::string exchange(const std::string& address, std::string_view text) {
        const client_socket socket = connect_to(address);
        if (socket.send_some(text) < 0) return {};
        std::string received;
        constexpr int max_waits = 70;
        for (int i = 0; i < max_waits && received.find("\r\n\r\n") == std::string::npos; ++i) {
            if (!socket.receive(received, 100)) break;
        }
        return received;
    }
    [[nodiscard]] static int status_of(const std::string& response) {
        constexpr std::string_view start = "HTTP/1.1 ";
        return response.starts_with(start) ? std::atoi(response.c_str() + start.size()) : 0;
    }

private:
    static json route(const std::string& name, const char* kind, const char* service) {
        return {{"name", name},      {"host", "soak.example"}, {"pathPrefix", "/" + name + "/"},
                {"kind", kind},      {"service", service},     {"streamResume", false},
                {"maxAttempts", 2},  {"timeoutMs", 6000},      {"targetLatencyMs", 500},
                {"targetGapMs", 500}};
    }
    void register_target(const std::string& service, const std::string& address) {
        store_.put("servers/i-" + service, {{"service", service},
                                            {"address", address},
                                            {"zone", "dc-0"},
                                            {"version", "v1"},
                                            {"capacity", 6},
                                            {"state", "ready"},
                                            {"coldRemainingMs", 0},
                                            {"sequence", 1}});
    }
    void start() {
        const std::string program =
            (std::filesystem::read_symlink("/proc/self/exe").parent_path() / "damaskhill_direct_router")
                .string();
        const std::string settings = (directory_ / "settings.json").string();
        const std::string log = (directory_ / "log").string();
        pid_ = ::fork();
        if (pid_ != 0) return;
        const int log_file = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        ::dup2(log_file, STDOUT_FILENO);
        ::dup2(log_file, STDERR_FILENO);
        constexpr int first_inherited = 3;
        ::close_range(first_inherited, ~0U, 0);
        // Freed memory must not count in a build with AddressSanitizer.
        ::setenv("ASAN_OPTIONS", "quarantine_size_mb=1", 1);
        ::execl(program.c_str(), program.c_str(), "--settings", settings.c_str(), nullptr);
        ::_exit(127);
    }
    void await_ready() {
        BOOST_REQUIRE(request(ready, "GET / HTTP/1.1\r\nHost: r\r\nConnection: close\r\n\r\n") == 200);
    }

    event_loop loop_;
    soak::execution_checker checker_;
    const std::string store_address_ = free_address();
    soak::platform_store store_{loop_};
    soak::soak_target target_{
        loop_, store_, checker_, {"app", free_address(), free_address(), "dc-0", 6, false}};
    std::thread platform_;
    std::filesystem::path directory_;
    pid_t pid_{};
    mutable std::uint64_t requests_{};
};

} // namespace damaskhill::real
