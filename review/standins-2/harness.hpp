// Small stand-ins for the second review: the platform's store, replicas, callers, and the start of the
// project's own program. Threads and blocking sockets on loopback addresses only; no library but the standard
// one.
#pragma once

#include <algorithm>
#include <array>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {

using steady = std::chrono::steady_clock;
using std::chrono::milliseconds;

inline void pause_for(int ms) { std::this_thread::sleep_for(milliseconds{ms}); }

//-----------------------------------------------------------------------------
// Record
//-----------------------------------------------------------------------------

/// Writes record.txt: what was sent, answered and run, with ms since the start.
class record_file {
public:
    explicit record_file(const std::string& path)
        : file_(std::fopen(path.c_str(), "w")), start_(steady::now()) {}
    ~record_file() {
        if (file_ != nullptr) std::fclose(file_);
    }
    record_file(const record_file&) = delete;
    record_file& operator=(const record_file&) = delete;
    void line(const std::string& text) {
        const std::lock_guard lock{mutex_};
        if (file_ == nullptr) return;
        std::fprintf(file_, "%7lld ms  %s\n", static_cast<long long>(elapsed_ms()), text.c_str());
        std::fflush(file_);
    }
    [[nodiscard]] long long elapsed_ms() const {
        return std::chrono::duration_cast<milliseconds>(steady::now() - start_).count();
    }

private:
    std::FILE* file_;
    steady::time_point start_;
    std::mutex mutex_;
};

//-----------------------------------------------------------------------------
// Sockets and HTTP
//-----------------------------------------------------------------------------

struct endpoint {
    std::string ip;
    int port{};
    [[nodiscard]] std::string text() const { return ip + ":" + std::to_string(port); }
};

inline sockaddr_in socket_address(const endpoint& at) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(at.port));
    ::inet_pton(AF_INET, at.ip.c_str(), &address.sin_addr);
    return address;
}

inline int listen_on(const endpoint& at) {
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const sockaddr_in address = socket_address(at);
    if (::bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0 ||
        ::listen(fd, 1024) != 0) {
        ::close(fd);
        return -1;
    }
    return fd;
}

/// A connected socket, or -1 after the time.
inline int connect_to(const endpoint& to, int timeout_ms = 1000) {
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    if (fd < 0) return -1;
    const sockaddr_in address = socket_address(to);
    if (::connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
        pollfd waiting{fd, POLLOUT, 0};
        int error = 0;
        socklen_t size = sizeof error;
        const bool ready = errno == EINPROGRESS && ::poll(&waiting, 1, timeout_ms) == 1 &&
                           ::getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size) == 0 && error == 0;
        if (!ready) {
            ::close(fd);
            return -1;
        }
    }
    const int on = 1;
    ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    return fd;
}

inline bool send_all(int fd, std::string_view bytes, int timeout_ms = 5000) {
    const auto until = steady::now() + milliseconds{timeout_ms};
    while (!bytes.empty()) {
        const ssize_t sent = ::send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
        if (sent > 0) {
            bytes.remove_prefix(static_cast<std::size_t>(sent));
            continue;
        }
        if (sent < 0 && errno != EAGAIN && errno != EINTR) return false;
        if (steady::now() >= until) return false;
        pollfd waiting{fd, POLLOUT, 0};
        ::poll(&waiting, 1, 50);
    }
    return true;
}

enum class receive_state { data, timeout, end, reset };

inline receive_state receive_some(int fd, std::string& into, int wait_ms) {
    pollfd waiting{fd, POLLIN, 0};
    if (::poll(&waiting, 1, std::max(0, wait_ms)) <= 0) return receive_state::timeout;
    std::array<char, 16384> buffer{};
    const ssize_t size = ::recv(fd, buffer.data(), buffer.size(), MSG_DONTWAIT);
    if (size > 0) {
        into.append(buffer.data(), static_cast<std::size_t>(size));
        return receive_state::data;
    }
    if (size < 0 && (errno == EAGAIN || errno == EINTR)) return receive_state::timeout;
    return size == 0 ? receive_state::end : receive_state::reset;
}

/// Value of a header in a head, by its name in any case.
inline std::string header_of(std::string_view head, std::string_view name) {
    std::size_t at = head.find("\r\n");
    while (at != std::string_view::npos) {
        const std::size_t begin = at + 2;
        const std::size_t end = head.find("\r\n", begin);
        const std::string_view line = head.substr(begin, end == std::string_view::npos ? end : end - begin);
        const std::size_t colon = line.find(':');
        if (colon == name.size() && ::strncasecmp(line.data(), name.data(), name.size()) == 0) {
            std::string_view value = line.substr(colon + 1);
            while (value.starts_with(' '))
                value.remove_prefix(1);
            return std::string{value};
        }
        at = end;
    }
    return {};
}

struct message {
    std::string head; // up to and with the empty line
    std::string body;
    [[nodiscard]] std::string header(std::string_view name) const { return header_of(head, name); }
    [[nodiscard]] std::string method() const { return head.substr(0, head.find(' ')); }
    [[nodiscard]] std::string path() const {
        const std::size_t begin = head.find(' ') + 1;
        return head.substr(begin, head.find(' ', begin) - begin);
    }
};

/// Reads one request; `rest` holds bytes received ahead.
inline std::optional<message> read_request(int fd, std::string& rest, const std::atomic<bool>& stopped) {
    message request;
    while (true) {
        const std::size_t end = rest.find("\r\n\r\n");
        if (end != std::string::npos) {
            request.head = rest.substr(0, end + 4);
            const std::string length = request.header("Content-Length");
            const std::size_t size = length.empty() ? 0 : std::strtoull(length.c_str(), nullptr, 10);
            if (rest.size() >= end + 4 + size) {
                request.body = rest.substr(end + 4, size);
                rest.erase(0, end + 4 + size);
                return request;
            }
        }
        if (stopped) return std::nullopt;
        const receive_state state = receive_some(fd, rest, 200);
        if (state == receive_state::end || state == receive_state::reset) return std::nullopt;
    }
}

/// HTTP server with a thread for each connection. The handler writes the response itself; it returns whether
/// the connection stays open.
class http_server {
public:
    using handler = std::function<bool(int fd, const message& request)>;
    http_server() = default;
    ~http_server() { stop(); }
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;

    bool start(const endpoint& at, handler on_request) {
        handler_ = std::move(on_request);
        listener_ = listen_on(at);
        if (listener_ < 0) return false;
        acceptor_ = std::thread{[this] { accept_all(); }};
        return true;
    }
    void stop() {
        stopped_ = true;
        if (acceptor_.joinable()) acceptor_.join();
        if (listener_ >= 0) ::close(listener_);
        listener_ = -1;
        while (open_ > 0)
            pause_for(5);
    }
    [[nodiscard]] const std::atomic<bool>& stopped() const { return stopped_; }

private:
    void accept_all() {
        while (!stopped_) {
            pollfd waiting{listener_, POLLIN, 0};
            if (::poll(&waiting, 1, 100) <= 0) continue;
            const int fd = ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd < 0) continue;
            const int on = 1;
            ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
            ++open_;
            std::thread{[this, fd] {
                std::string rest;
                while (!stopped_) {
                    const auto request = read_request(fd, rest, stopped_);
                    if (!request || !handler_(fd, *request)) break;
                }
                ::close(fd);
                --open_;
            }}.detach();
        }
    }
    handler handler_;
    int listener_{-1};
    std::thread acceptor_;
    std::atomic<bool> stopped_{false};
    std::atomic<int> open_{0};
};

//-----------------------------------------------------------------------------
// Store
//-----------------------------------------------------------------------------

inline std::string base64(std::string_view bytes) {
    static constexpr char digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string out;
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
        std::uint32_t group = 0;
        for (std::size_t k = 0; k < 3; ++k)
            group = group << 8U | (i + k < bytes.size() ? static_cast<unsigned char>(bytes[i + k]) : 0U);
        for (std::size_t k = 0; k < 4; ++k)
            out.push_back(i + k > bytes.size() ? '=' : digits[group >> (18U - 6U * k) & 63U]);
    }
    return out;
}

inline std::string url_decode(std::string_view text) {
    std::string out;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] == '%' && i + 2 < text.size()) {
            out.push_back(
                static_cast<char>(std::strtol(std::string{text.substr(i + 1, 2)}.c_str(), nullptr, 16)));
            i += 2;
        } else {
            out.push_back(text[i]);
        }
    }
    return out;
}

inline std::string query_value(std::string_view path, const std::string& name) {
    for (const std::string& lead : {"?" + name + "=", "&" + name + "="}) {
        const std::size_t at = path.find(lead);
        if (at == std::string_view::npos) continue;
        const std::size_t begin = at + lead.size();
        return url_decode(path.substr(begin, path.find('&', begin) - begin));
    }
    return {};
}

/// The platform's store: items, ranges, watches and conditional writes of one item.
class store {
public:
    bool start(const endpoint& at) {
        return server_.start(at, [this](int fd, const message& request) { return answer(fd, request); });
    }
    void stop() { server_.stop(); }
    void put(const std::string& key, const std::string& value) {
        const std::lock_guard lock{mutex_};
        put_locked(key, value);
    }
    void remove(const std::string& key) {
        const std::lock_guard lock{mutex_};
        if (items_.erase(key) == 0) return;
        history_.push_back({key, ++revision_, true, {}});
        changed_.notify_all();
    }

private:
    struct item {
        std::string value;
        std::uint64_t rev{};
        std::uint64_t created{};
    };
    struct change {
        std::string key;
        std::uint64_t rev{};
        bool removed{};
        std::string json;
    };
    static std::string item_json(const std::string& key, const item& it) {
        return "{\"key\":\"" + key + "\",\"value\":\"" + base64(it.value) +
               "\",\"rev\":" + std::to_string(it.rev) + ",\"created\":" + std::to_string(it.created) +
               ",\"lease\":0}";
    }
    void put_locked(const std::string& key, const std::string& value) {
        item& it = items_[key];
        it.value = value;
        it.rev = ++revision_;
        if (it.created == 0) it.created = revision_;
        history_.push_back({key, revision_, false, item_json(key, it)});
        changed_.notify_all();
    }
    static bool reply(int fd, int status, const std::string& body) {
        return send_all(
            fd, "HTTP/1.1 " + std::to_string(status) + " S\r\nContent-Type: application/json\r\n" +
                    "Store-Era: 1\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
    }
    bool answer(int fd, const message& request) {
        const std::string path = request.path();
        if (path.starts_with("/damaskhill/kv-range")) return range(fd, path);
        if (path.starts_with("/damaskhill/kv-watch")) return watch(fd, path);
        if (path.starts_with("/damaskhill/kv-txn")) return reply(fd, 412, "{\"items\":[]}");
        return reply(fd, 404, "{}");
    }
    bool range(int fd, const std::string& path) {
        const std::string prefix = query_value(path, "pathPrefix");
        std::string list;
        std::uint64_t rev = 0;
        {
            const std::lock_guard lock{mutex_};
            rev = revision_;
            for (const auto& [key, it] : items_) {
                if (key.starts_with(prefix)) list += (list.empty() ? "" : ",") + item_json(key, it);
            }
        }
        return reply(fd, 200,
                     "{\"items\":[" + list + "],\"truncated\":false,\"currentRev\":" + std::to_string(rev) +
                         "}");
    }
    bool watch(int fd, const std::string& path) {
        const std::string prefix = query_value(path, "pathPrefix");
        const std::uint64_t after = std::strtoull(query_value(path, "after").c_str(), nullptr, 10);
        const auto until = steady::now() + milliseconds{std::atoi(query_value(path, "waitMs").c_str())};
        std::string list;
        std::uint64_t rev = 0;
        {
            std::unique_lock lock{mutex_};
            while (true) {
                list.clear();
                rev = revision_;
                for (const change& c : history_) {
                    if (c.rev <= after || !c.key.starts_with(prefix)) continue;
                    list += (list.empty() ? "" : ",") +
                            (c.removed ? "{\"key\":\"" + c.key + "\",\"rev\":" + std::to_string(c.rev) +
                                             ",\"removed\":true}"
                                       : c.json);
                }
                if (!list.empty() || steady::now() >= until || server_.stopped()) break;
                changed_.wait_until(lock, std::min(until, steady::now() + milliseconds{200}));
            }
        }
        return reply(fd, 200, "{\"events\":[" + list + "],\"currentRev\":" + std::to_string(rev) + "}");
    }
    http_server server_;
    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::string, item> items_;
    std::vector<change> history_;
    std::uint64_t revision_{1};
};

//-----------------------------------------------------------------------------
// Callers
//-----------------------------------------------------------------------------

struct answer {
    int status{};    // 0: the channel ended, or the time did, before a head
    bool complete{}; // the body ended as its head said
    bool timed_out{};
    std::string head;
    std::string body; // without its chunk framing
    double retry_after_s{-1};
};

/// Decodes the part of a chunked body that has arrived. True once the last chunk is there.
inline bool decode_chunks(std::string_view raw, std::string& body) {
    body.clear();
    while (true) {
        const std::size_t line = raw.find("\r\n");
        if (line == std::string_view::npos) return false;
        const std::size_t size = std::strtoull(std::string{raw.substr(0, line)}.c_str(), nullptr, 16);
        if (size == 0) return raw.size() >= line + 4;
        raw.remove_prefix(line + 2);
        body.append(raw.substr(0, std::min(size, raw.size())));
        if (raw.size() < size + 2) return false;
        raw.remove_prefix(size + 2);
    }
}

/// Reads one answer from a channel.
inline answer read_answer(int fd, steady::time_point until) {
    answer out;
    std::string raw;
    while (true) {
        const std::size_t end = raw.find("\r\n\r\n");
        if (end != std::string::npos) {
            out.head = raw.substr(0, end + 4);
            out.status = std::atoi(out.head.c_str() + out.head.find(' ') + 1);
            const std::string retry = header_of(out.head, "Retry-After");
            if (!retry.empty()) out.retry_after_s = std::atof(retry.c_str());
            const std::string_view rest = std::string_view{raw}.substr(end + 4);
            const std::string length = header_of(out.head, "Content-Length");
            if (header_of(out.head, "Transfer-Encoding") == "chunked") {
                out.complete = decode_chunks(rest, out.body);
            } else if (!length.empty()) {
                out.body = rest;
                out.complete = out.body.size() >= std::strtoull(length.c_str(), nullptr, 10);
            } else {
                out.body = rest;
            }
            if (out.complete) return out;
        }
        const auto left = std::chrono::duration_cast<milliseconds>(until - steady::now()).count();
        if (left <= 0) {
            out.timed_out = true;
            return out;
        }
        const receive_state state = receive_some(fd, raw, static_cast<int>(left));
        if (state == receive_state::end || state == receive_state::reset) {
            // An answer with neither a length nor chunks ends with its channel, if that ends in order.
            out.complete = state == receive_state::end && out.status != 0 &&
                           header_of(out.head, "Content-Length").empty() &&
                           header_of(out.head, "Transfer-Encoding").empty();
            return out;
        }
    }
}

/// One attempt on a new channel.
inline answer ask_once(const endpoint& router, const std::string& text, int timeout_ms) {
    const auto until = steady::now() + milliseconds{timeout_ms};
    const int fd = connect_to(router, std::min(1000, timeout_ms)); // clients allow a new channel one second
    if (fd < 0) return {};
    answer out;
    if (send_all(fd, text, timeout_ms)) out = read_answer(fd, until);
    ::close(fd);
    return out;
}

inline std::string new_attempt_id() {
    static std::atomic<std::uint64_t> next{1};
    std::array<char, 32> text{};
    std::snprintf(text.data(), text.size(), "%08x%08llx", static_cast<unsigned>(::getpid()),
                  static_cast<unsigned long long>(next++));
    return text.data();
}

//-----------------------------------------------------------------------------
// The router's process
//-----------------------------------------------------------------------------

struct router_place {
    std::string ip;
    std::string zone;
    int front{};
    int ready{};
    int control{};
    int report{};
    [[nodiscard]] endpoint front_at() const { return {ip, front}; }
    [[nodiscard]] endpoint ready_at() const { return {ip, ready}; }
};

/// The settings as the deploy file's template renders them.
inline std::string render_settings(const router_place& place, const std::string& name,
                                   const std::string& store, const std::vector<std::string>& seeds,
                                   int max_fds, const std::string& more = {}) {
    std::string list;
    for (const std::string& seed : seeds)
        list += (list.empty() ? "\"" : ",\"") + seed + "\"";
    const auto at = [&](int port) { return "\"" + place.ip + ":" + std::to_string(port) + "\""; };
    return "{\"name\":\"" + name + "\",\"data_centre\":\"" + place.zone +
           "\",\"http_address\":" + at(place.front) + ",\"ready_address\":" + at(place.ready) +
           ",\"control_address\":" + at(place.control) + ",\"report_address\":" + at(place.report) +
           ",\"store_address\":\"" + store + "\",\"seeds\":[" + list +
           "],\"link_keys\":[{\"number\":1,\"secret\":\"damaskhill-routers-of-one-platform\"}]" +
           ",\"key_limit_ms\":5000,\"stop_limit_s\":8,\"repeat_ratio\":0.2,\"repeat_slack\":54,\"repeat_"
           "window_s\":10" +
           ",\"cold_overage\":1.5,\"cold_slack\":5,\"max_descriptors\":" + std::to_string(max_fds) +
           ",\"check_in_ms\":1200,\"drain_limit_ms\":2000" + more + "}";
}

class router_process {
public:
    router_process() = default;
    ~router_process() { end(); }
    router_process(const router_process&) = delete;
    router_process& operator=(const router_process&) = delete;

    /// Starts the deploy file's command; the settings file is named in the environment.
    bool start(const std::string& program, const std::string& directory, const std::string& name,
               const std::string& settings) {
        const std::string file = directory + "/" + name + ".json";
        std::FILE* const out = std::fopen(file.c_str(), "w");
        if (out == nullptr) return false;
        std::fputs(settings.c_str(), out);
        std::fclose(out);
        const std::string log = directory + "/" + name + ".log";
        const std::string variable = "DAMASKHILL_CONFIG=" + file;
        pid_ = ::fork();
        if (pid_ == 0) {
            ::prctl(PR_SET_PDEATHSIG, SIGKILL); // never outlives the script
            const int fd = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            ::dup2(fd, STDOUT_FILENO);
            ::dup2(fd, STDERR_FILENO);
            ::close_range(3, ~0U, 0);
            std::array<char*, 2> arguments{const_cast<char*>(program.c_str()), nullptr};
            std::array<char*, 3> variables{const_cast<char*>(variable.c_str()),
                                           const_cast<char*>("DAMASKHILL_DUTIES="), nullptr};
            ::execve(program.c_str(), arguments.data(), variables.data());
            ::_exit(127);
        }
        return pid_ > 0;
    }
    [[nodiscard]] bool alive() {
        if (pid_ <= 0) return false;
        int status = 0;
        if (::waitpid(pid_, &status, WNOHANG) == pid_) pid_ = -1;
        return pid_ > 0;
    }
    void signal(int number) const {
        if (pid_ > 0) ::kill(pid_, number);
    }
    void end() {
        if (pid_ <= 0) return;
        ::kill(pid_, SIGKILL);
        ::waitpid(pid_, nullptr, 0);
        pid_ = -1;
    }
    [[nodiscard]] pid_t pid() const { return pid_; }
    /// A line of /proc/PID/status in kB.
    [[nodiscard]] long status_kb(const char* name) const {
        std::FILE* const file = std::fopen(("/proc/" + std::to_string(pid_) + "/status").c_str(), "r");
        if (file == nullptr) return 0;
        std::array<char, 256> line{};
        long value = 0;
        while (std::fgets(line.data(), line.size(), file) != nullptr) {
            if (std::strncmp(line.data(), name, std::strlen(name)) == 0)
                value = std::atol(line.data() + std::strlen(name));
        }
        std::fclose(file);
        return value;
    }

private:
    pid_t pid_{-1};
};

/// The platform's readiness question.
inline bool is_ready(const endpoint& at, int timeout_ms = 1000) {
    return ask_once(at, "GET /damaskhill/readiness HTTP/1.1\r\nHost: r\r\nConnection: close\r\n\r\n",
                    timeout_ms)
               .status == 200;
}

/// Address in 127.0.0.0/8 of this run.
inline std::string loopback(int subnet, int host) {
    return "127." + std::to_string(20 + ::getpid() % 200) + "." + std::to_string(subnet) + "." +
           std::to_string(host);
}

/// A port that is free on all given addresses, for TCP and UDP.
inline int free_port(const std::vector<std::string>& ips) {
    static int next = 20000 + ::getpid() % 7000;
    for (int tries = 0; tries < 2000; ++tries) {
        const int port = next++;
        bool ok = true;
        for (const std::string& ip : ips) {
            const sockaddr_in address = socket_address({ip, port});
            for (const int type : {SOCK_STREAM, SOCK_DGRAM}) {
                const int fd = ::socket(AF_INET, type | SOCK_CLOEXEC, 0);
                ok = ok && ::bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0;
                ::close(fd);
            }
        }
        if (ok) return port;
    }
    return 0;
}

/// Raises the soft limit of descriptors of this process and its children, within the hard one.
inline bool need_descriptors(rlim_t count) {
    rlimit limit{};
    if (::getrlimit(RLIMIT_NOFILE, &limit) != 0) return false;
    if (limit.rlim_cur >= count) return true;
    if (limit.rlim_max < count) return false;
    limit.rlim_cur = count;
    return ::setrlimit(RLIMIT_NOFILE, &limit) == 0;
}

inline bool trouble() {
    const char* const value = std::getenv("TROUBLE");
    return value == nullptr || std::strcmp(value, "0") != 0;
}

constexpr int held = 0;
constexpr int broken = 1;
constexpr int not_run = 2;

} // namespace review
