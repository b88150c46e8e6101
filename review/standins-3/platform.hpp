// Stand-ins for the cases 11 to 15: the platform's store, replicas, clients, and the router processes, which
// run as the deploy file says. All on loopback addresses and the real clock; a thread for each connection.
#pragma once

#include <nlohmann/json.hpp>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace review {

using json = nlohmann::json;
using clk = std::chrono::steady_clock;
using namespace std::chrono_literals;

// ---------------------------------------------------------------- exit codes, record

constexpr int held = 0;
constexpr int broken = 1;
constexpr int could_not_run = 2;

inline clk::time_point started_at = clk::now();
inline double seconds() { return std::chrono::duration<double>(clk::now() - started_at).count(); }
inline void pause_s(double s) { std::this_thread::sleep_for(std::chrono::duration<double>(s)); }

/// What was sent, answered and run, one line each.
class record_file {
public:
    explicit record_file(const std::string& path) : file_(std::fopen(path.c_str(), "w")) {}
    void line(const char* format, ...) __attribute__((format(printf, 2, 3))) {
        std::lock_guard lock{mutex_};
        if (file_ == nullptr) return;
        std::fprintf(file_, "%8.3f ", seconds());
        va_list arguments;
        va_start(arguments, format);
        std::vfprintf(file_, format, arguments);
        va_end(arguments);
        std::fputc('\n', file_);
        std::fflush(file_);
    }

private:
    std::FILE* file_;
    std::mutex mutex_;
};

inline bool trouble() {
    const char* text = std::getenv("TROUBLE");
    return text == nullptr || std::string{text} != "0";
}

// ---------------------------------------------------------------- sockets

inline sockaddr_in endpoint(const std::string& address) {
    const auto colon = address.rfind(':');
    sockaddr_in e{};
    e.sin_family = AF_INET;
    e.sin_port = htons(static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))));
    inet_pton(AF_INET, address.substr(0, colon).c_str(), &e.sin_addr);
    return e;
}

inline int listen_on(const std::string& address) {
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const sockaddr_in e = endpoint(address);
    if (bind(fd, reinterpret_cast<const sockaddr*>(&e), sizeof e) != 0 || listen(fd, 1024) != 0) {
        close(fd);
        return -1;
    }
    return fd;
}

/// A port that is free at the given addresses, for TCP and UDP.
inline int free_port(const std::vector<std::string>& ips) {
    static std::set<int> given;
    for (int i = 0; i < 200; ++i) {
        const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        sockaddr_in e = endpoint(ips.front() + ":0");
        socklen_t size = sizeof e;
        bind(fd, reinterpret_cast<sockaddr*>(&e), sizeof e);
        getsockname(fd, reinterpret_cast<sockaddr*>(&e), &size);
        const int port = ntohs(e.sin_port);
        close(fd);
        bool free = given.insert(port).second;
        for (const std::string& ip : ips) {
            for (const int type : {SOCK_STREAM, SOCK_DGRAM}) {
                const int probe = socket(AF_INET, type | SOCK_CLOEXEC, 0);
                const sockaddr_in at = endpoint(ip + ":" + std::to_string(port));
                free = free && bind(probe, reinterpret_cast<const sockaddr*>(&at), sizeof at) == 0;
                close(probe);
            }
        }
        if (free) return port;
    }
    std::exit(could_not_run);
}

/// An address block of this process in 127.0.0.0/8.
inline std::string loopback(int host) {
    const int pid = getpid();
    return "127." + std::to_string(20 + pid % 200) + "." + std::to_string(pid / 200 % 250) + "." +
           std::to_string(host);
}

/// Connects within a second, as the clients of the pages do; -1 if that fails.
inline int connect_to(const std::string& address, int wait_ms = 1000) {
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    if (fd < 0) return -1;
    const int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    const sockaddr_in e = endpoint(address);
    if (connect(fd, reinterpret_cast<const sockaddr*>(&e), sizeof e) != 0) {
        pollfd p{fd, POLLOUT, 0};
        int error = 0;
        socklen_t size = sizeof error;
        if (errno != EINPROGRESS || poll(&p, 1, wait_ms) <= 0 ||
            getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size) != 0 || error != 0) {
            close(fd);
            return -1;
        }
    }
    return fd;
}

inline bool send_all(int fd, std::string_view bytes, int wait_ms = 10000) {
    while (!bytes.empty()) {
        const ssize_t n = send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
        if (n > 0) {
            bytes.remove_prefix(static_cast<std::size_t>(n));
            continue;
        }
        if (n < 0 && errno != EAGAIN && errno != EINTR) return false;
        pollfd p{fd, POLLOUT, 0};
        if (poll(&p, 1, wait_ms) <= 0) return false;
    }
    return true;
}

inline void reset(int fd) {
    const linger now{1, 0};
    setsockopt(fd, SOL_SOCKET, SO_LINGER, &now, sizeof now);
    close(fd);
}

// ---------------------------------------------------------------- HTTP/1.1

using headers = std::vector<std::pair<std::string, std::string>>;

inline std::string lower(std::string text) {
    for (char& c : text)
        c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
    return text;
}

struct message {
    std::string first; // request line or status line
    headers head;
    std::string body;
    bool complete{};
    bool head_complete{};
    [[nodiscard]] std::string get(const std::string& name) const {
        for (const auto& [n, v] : head)
            if (lower(n) == lower(name)) return v;
        return {};
    }
    [[nodiscard]] int status() const { return first.size() > 12 ? std::atoi(first.c_str() + 9) : 0; }
    [[nodiscard]] std::string method() const { return first.substr(0, first.find(' ')); }
    [[nodiscard]] std::string path() const {
        const auto at = first.find(' ') + 1;
        return first.substr(at, first.find(' ', at) - at);
    }
};

/// Reads messages from a channel. What lies behind one stays for the next.
class reader {
public:
    explicit reader(int fd) : fd_(fd) {}
    std::string rest;                              // bytes that are read and not used
    bool ended{};                                  // the channel has been closed or reset
    std::function<void(std::string_view)> on_body; // pieces as they come

    bool more(clk::time_point until) {
        if (ended) return false;
        const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(until - clk::now()).count();
        pollfd p{fd_, POLLIN, 0};
        if (left < 0 || poll(&p, 1, static_cast<int>(left)) <= 0) return false;
        char buffer[65536];
        const ssize_t n = recv(fd_, buffer, sizeof buffer, 0);
        if (n <= 0) {
            ended = true;
            return false;
        }
        rest.append(buffer, static_cast<std::size_t>(n));
        return true;
    }
    /// A whole message; `complete` is false if the channel ended or the time was over before. `no_body`: the
    /// answer to HEAD.
    message next(clk::time_point until, bool is_answer, bool no_body = false) {
        message m;
        std::size_t end = 0;
        while ((end = rest.find("\r\n\r\n")) == std::string::npos)
            if (!more(until)) return m;
        std::istringstream lines{rest.substr(0, end)};
        rest.erase(0, end + 4);
        std::string line;
        std::getline(lines, m.first);
        if (!m.first.empty() && m.first.back() == '\r') m.first.pop_back();
        while (std::getline(lines, line)) {
            if (!line.empty() && line.back() == '\r') line.pop_back();
            const auto colon = line.find(':');
            if (colon == std::string::npos) continue;
            auto value = line.substr(colon + 1);
            while (!value.empty() && value.front() == ' ')
                value.erase(0, 1);
            m.head.emplace_back(line.substr(0, colon), value);
        }
        m.head_complete = true;
        const bool chunked = lower(m.get("Transfer-Encoding")) == "chunked";
        const std::string length = m.get("Content-Length");
        if (no_body || m.status() == 204 || m.status() == 304) {
            m.complete = true;
        } else if (chunked) {
            m.complete = read_chunks(m, until);
        } else if (!length.empty()) {
            const auto size = std::stoul(length);
            while (rest.size() < size)
                if (!more(until)) return m;
            m.body = rest.substr(0, size);
            rest.erase(0, size);
            m.complete = true;
        } else if (is_answer) {
            while (more(until)) {
            }
            m.body = std::exchange(rest, {});
            m.complete = ended;
        } else {
            m.complete = true;
        }
        return m;
    }

private:
    bool read_chunks(message& m, clk::time_point until) {
        while (true) {
            std::size_t end = 0;
            while ((end = rest.find("\r\n")) == std::string::npos)
                if (!more(until)) return false;
            const auto size = std::strtoul(rest.c_str(), nullptr, 16);
            while (rest.size() < end + 2 + size + 2)
                if (!more(until)) return false;
            m.body.append(rest, end + 2, size);
            if (on_body && size > 0) on_body({rest.data() + end + 2, size});
            rest.erase(0, end + 2 + size + 2);
            if (size == 0) return true;
        }
    }
    int fd_;
};

inline std::string request_text(const std::string& method, const std::string& path, const std::string& host,
                                const headers& more, const std::string& body) {
    std::string text = method + " " + path + " HTTP/1.1\r\nHost: " + host + "\r\n";
    for (const auto& [n, v] : more)
        text += n + ": " + v + "\r\n";
    if (!body.empty() || method == "POST") text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    return text + "\r\n" + body;
}

inline std::string answer_text(int status, const headers& more, const std::string& body) {
    std::string text = "HTTP/1.1 " + std::to_string(status) + " Status\r\n";
    for (const auto& [n, v] : more)
        text += n + ": " + v + "\r\n";
    return text + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// Serves a listening socket; `serve` handles one channel and closes it.
class server {
public:
    ~server() { stop(); }
    bool start(const std::string& address, std::function<void(int)> serve) {
        fd_ = listen_on(address);
        if (fd_ < 0) return false;
        running_ = true;
        thread_ = std::thread([this, serve = std::move(serve)] {
            while (running_) {
                pollfd p{fd_, POLLIN, 0};
                if (poll(&p, 1, 50) <= 0) continue;
                const int channel = accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
                if (channel < 0) continue;
                const int on = 1;
                setsockopt(channel, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
                std::thread([serve, channel] { serve(channel); }).detach();
            }
        });
        return true;
    }
    /// Nobody listens at the address any more: it refuses channels.
    void stop() {
        if (!running_.exchange(false)) return;
        thread_.join();
        close(fd_);
    }

private:
    int fd_{-1};
    std::atomic<bool> running_{};
    std::thread thread_;
};

// ---------------------------------------------------------------- store

inline std::string base64(const std::string& in) {
    static const char* letters = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string out;
    for (std::size_t i = 0; i < in.size(); i += 3) {
        std::uint32_t v = static_cast<unsigned char>(in[i]) << 16U;
        if (i + 1 < in.size()) v |= static_cast<unsigned char>(in[i + 1]) << 8U;
        if (i + 2 < in.size()) v |= static_cast<unsigned char>(in[i + 2]);
        out += letters[v >> 18U];
        out += letters[v >> 12U & 63U];
        out += i + 1 < in.size() ? letters[v >> 6U & 63U] : '=';
        out += i + 2 < in.size() ? letters[v & 63U] : '=';
    }
    return out;
}

inline std::map<std::string, std::string> query_of(const std::string& path) {
    std::map<std::string, std::string> query;
    const auto mark = path.find('?');
    if (mark == std::string::npos) return query;
    std::istringstream parts{path.substr(mark + 1)};
    std::string part;
    while (std::getline(parts, part, '&')) {
        const auto equals = part.find('=');
        std::string value;
        for (std::size_t i = equals + 1; i < part.size(); ++i) {
            if (part[i] == '%') {
                value += static_cast<char>(std::stoi(part.substr(i + 1, 2), nullptr, 16));
                i += 2;
            } else {
                value += part[i];
            }
        }
        query[part.substr(0, equals)] = value;
    }
    return query;
}

inline std::string decode_base64(const std::string& in) {
    static const std::string letters = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string out;
    std::uint32_t bits = 0;
    int count = 0;
    for (const char c : in) {
        const auto value = letters.find(c);
        if (value == std::string::npos) break;
        bits = bits << 6U | static_cast<std::uint32_t>(value);
        count += 6;
        if (count < 8) continue;
        count -= 8;
        out += static_cast<char>(bits >> static_cast<unsigned>(count) & 255U);
    }
    return out;
}

/// The platform's store: reads, watches and conditional writes. The cases need no leases.
class store {
public:
    bool start(const std::string& address) {
        return server_.start(address, [this](int channel) { serve(channel); });
    }
    std::uint64_t put(const std::string& key, const json& value) { return change(key, value.dump()); }
    std::uint64_t remove(const std::string& key) { return change(key, std::nullopt); }
    std::function<void(const std::string& key, const std::string& value)> on_write; // by the system

private:
    struct item {
        std::string value;
        std::uint64_t rev{};
        std::uint64_t created{};
    };
    struct event {
        std::string key;
        std::uint64_t rev{};
        std::optional<std::string> value;
    };
    std::uint64_t change(const std::string& key, std::optional<std::string> value) {
        std::lock_guard lock{mutex_};
        ++rev_;
        if (value) {
            const auto found = items_.find(key);
            items_[key] = {*value, rev_, found == items_.end() ? rev_ : found->second.created};
        } else {
            items_.erase(key);
        }
        events_.push_back({key, rev_, std::move(value)});
        changed_.notify_all();
        return rev_;
    }
    static json shown(const std::string& key, const std::string& value, std::uint64_t rev) {
        return {{"key", key}, {"value", base64(value)}, {"rev", rev}, {"created", rev}, {"lease", 0}};
    }
    json range(const std::map<std::string, std::string>& query) {
        std::lock_guard lock{mutex_};
        json list = json::array();
        const auto prefix = query.count("pathPrefix") ? query.at("pathPrefix") : "";
        const auto after = query.count("after") ? query.at("after") : "";
        for (const auto& [key, value] : items_)
            if (key.rfind(prefix, 0) == 0 && key > after) list.push_back(shown(key, value.value, value.rev));
        return {{"items", list}, {"truncated", false}, {"currentRev", rev_}};
    }
    json watch(const std::map<std::string, std::string>& query) {
        std::unique_lock lock{mutex_};
        const auto prefix = query.count("pathPrefix") ? query.at("pathPrefix") : "";
        const auto after = std::stoull(query.count("after") ? query.at("after") : "0");
        const auto until = clk::now() + std::chrono::milliseconds{
                                            std::stoul(query.count("waitMs") ? query.at("waitMs") : "0")};
        while (true) {
            json list = json::array();
            for (const event& e : events_) {
                if (e.rev <= after || e.key.rfind(prefix, 0) != 0) continue;
                if (e.value)
                    list.push_back(shown(e.key, *e.value, e.rev));
                else
                    list.push_back({{"key", e.key}, {"rev", e.rev}, {"removed", true}});
            }
            if (!list.empty() || clk::now() >= until) return {{"events", list}, {"currentRev", rev_}};
            changed_.wait_until(lock, until);
        }
    }
    std::pair<int, json> write(const std::string& text) {
        const json call = json::parse(text, nullptr, false);
        if (!call.is_object()) return {400, json::object()};
        std::vector<std::pair<std::string, std::string>> written;
        std::uint64_t rev = 0;
        {
            std::lock_guard lock{writes_mutex_};
            for (const json& row : call.value("expectedRev", json::array())) {
                std::lock_guard items_lock{mutex_};
                const auto found = items_.find(row.at("key").get<std::string>());
                const std::uint64_t current = found == items_.end() ? 0 : found->second.rev;
                if (current != row.at("rev").get<std::uint64_t>())
                    return {
                        412,
                        {{"items", found == items_.end()
                                       ? json::array()
                                       : json::array({shown(found->first, found->second.value, current)})}}};
            }
            for (const json& row : call.value("setKeys", json::array())) {
                const auto key = row.at("key").get<std::string>();
                const auto value = decode_base64(row.at("value").get<std::string>());
                rev = change(key, value);
                written.emplace_back(key, value);
            }
        }
        for (const auto& [key, value] : written)
            if (on_write) on_write(key, value);
        return {200, {{"rev", rev}}};
    }
    void serve(int channel) {
        reader in{channel};
        while (true) {
            const message m = in.next(clk::now() + 120s, false);
            if (!m.complete) break;
            const std::string path = m.path();
            const auto query = query_of(path);
            const std::string call = path.substr(0, path.find('?'));
            json body = json::object();
            int status = 200;
            if (call == "/damaskhill/kv-range") {
                body = range(query);
            } else if (call == "/damaskhill/kv-watch") {
                body = watch(query);
            } else if (call == "/damaskhill/kv-txn") {
                std::tie(status, body) = write(m.body);
            } else {
                status = 503; // nothing was done
            }
            if (!send_all(channel, answer_text(status, {{"Content-Type", "application/json"}}, body.dump())))
                break;
        }
        close(channel);
    }
    server server_;
    std::mutex mutex_;
    std::mutex writes_mutex_;
    std::condition_variable changed_;
    std::map<std::string, item> items_;
    std::deque<event> events_;
    std::uint64_t rev_{1};
};

// ---------------------------------------------------------------- routers

/// Fills in the parts of the template language that the template uses.
inline std::string render(std::string text, const std::map<std::string, json>& fields) {
    for (const auto& [name, value] : fields) {
        const auto replace = [&](const std::string& what, const std::string& by) {
            for (auto at = text.find(what); at != std::string::npos; at = text.find(what, at + by.size()))
                text.replace(at, what.size(), by);
        };
        replace("{{" + name + "|json}}", value.dump());
        replace("{{" + name + "}}", value.is_string() ? value.get<std::string>() : value.dump());
    }
    return text;
}

/// A router process, started as the deploy file says, with the bounds of the sheet of stroik-fleet.
class router {
public:
    std::string ip, zone, front, ready, control;
    pid_t pid{};
    std::string log_path;

    bool start(const std::string& name, const std::string& directory, const std::string& store_address,
               const std::vector<std::string>& seeds, const std::map<std::string, json>& more = {}) {
        std::ifstream file{"deploy/settings.json.template"};
        std::stringstream text;
        text << file.rdbuf();
        std::map<std::string, json> fields{{"nodeName", name},
                                           {"zone", zone},
                                           {"listen.front", front},
                                           {"listen.ready", ready},
                                           {"listen.control", control},
                                           {"ip", ip},
                                           {"portRange.0", inner_port},
                                           {"platform.address", store_address},
                                           {"seeds", seeds},
                                           {"bounds.revokeMs", 5000},
                                           {"bounds.graceS", 8},
                                           {"bounds.budgetRatio", 0.2},
                                           {"bounds.budgetSlack", 54},
                                           {"bounds.budgetWindowS", 10},
                                           {"bounds.coldOverage", 1.5},
                                           {"bounds.coldSlack", 5},
                                           {"limits.maxFds", 4100},
                                           {"heartbeatMs", 1200},
                                           {"bounds.drainMs", 2000}};
        for (const auto& [key, value] : more)
            fields[key] = value;
        const std::string settings = directory + "/" + name + ".json";
        std::ofstream{settings} << render(text.str(), fields);
        log_path = directory + "/" + name + ".log";
        const std::string variable = "DAMASKHILL_CONFIG=" + settings;
        const char* path = std::getenv("PATH");
        const std::string path_variable = std::string{"PATH="} + (path ? path : "");
        const char* program = "target/build/bin/damaskhill_direct_router";
        pid = fork();
        if (pid != 0) return pid > 0;
        prctl(PR_SET_PDEATHSIG, SIGKILL); // ends with this program, however that ends
        const int log = open(log_path.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        dup2(log, 1);
        dup2(log, 2);
        close_range(3, ~0U, 0);
        const rlimit fds{4100, 4100};
        setrlimit(RLIMIT_NOFILE, &fds);
        const char* const arguments[] = {program, nullptr};
        const char* const environment[] = {variable.c_str(), path_variable.c_str(), nullptr};
        execve(program, const_cast<char**>(arguments), const_cast<char**>(environment));
        _exit(127);
    }
    [[nodiscard]] bool alive() {
        int status = 0;
        if (pid > 0 && waitpid(pid, &status, WNOHANG) == pid) {
            exit_status = status;
            pid = 0;
        }
        return pid > 0;
    }
    /// One question of the platform whether the router is ready; 0 without an answer within a second.
    [[nodiscard]] int readiness() const {
        const int fd = connect_to(ready, 1000);
        if (fd < 0) return 0;
        send_all(fd, "GET /damaskhill/readiness HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n");
        reader in{fd};
        const message m = in.next(clk::now() + 1s, true);
        close(fd);
        return m.complete ? m.status() : 0;
    }
    void stop() {
        if (pid <= 0) return;
        kill(pid, SIGKILL);
        waitpid(pid, nullptr, 0);
        pid = 0;
    }
    int inner_port{};
    int exit_status{};
};

/// Routers of one deployment, in one zone each in turn of three.
class fleet {
public:
    std::vector<router> routers;
    store platform;
    std::string directory;
    std::string store_address;

    explicit fleet(int count) : routers(static_cast<std::size_t>(count)) {
        std::string name = std::filesystem::temp_directory_path() / "damaskhill-review-XXXXXX";
        if (mkdtemp(name.data()) == nullptr) std::exit(could_not_run);
        directory = name;
        std::vector<std::string> ips;
        for (int i = 0; i < count; ++i)
            ips.push_back(loopback(10 + i));
        const int front = free_port(ips), ready = free_port(ips), control = free_port(ips),
                  inner = free_port(ips);
        for (int i = 0; i < count; ++i) {
            router& r = routers[static_cast<std::size_t>(i)];
            r.ip = ips[static_cast<std::size_t>(i)];
            r.zone = std::string{"zone-"} + "abc"[i % 3];
            r.front = r.ip + ":" + std::to_string(front);
            r.ready = r.ip + ":" + std::to_string(ready);
            r.control = r.ip + ":" + std::to_string(control);
            r.inner_port = inner;
        }
        store_address = loopback(2) + ":" + std::to_string(free_port({loopback(2)}));
        if (!platform.start(store_address)) std::exit(could_not_run);
    }
    ~fleet() { end(); }
    void end() {
        for (router& r : routers)
            r.stop();
        std::error_code ignored;
        if (std::getenv("KEEP_LOGS") == nullptr) std::filesystem::remove_all(directory, ignored);
    }
    /// Ends the routers and this process. Channels are still served by threads, which must not outlive what
    /// they use.
    [[noreturn]] void finish(int code) {
        end();
        std::_Exit(code);
    }
    bool start(const std::map<std::string, json>& more = {}) {
        std::vector<std::string> seeds;
        for (std::size_t i = 0; i < routers.size() && i < 3; ++i)
            seeds.push_back(routers[i].control);
        for (std::size_t i = 0; i < routers.size(); ++i)
            if (!routers[i].start("front-" + std::to_string(i), directory, store_address, seeds, more))
                return false;
        for (int i = 0; i < 100; ++i) {
            bool all = true;
            for (router& r : routers)
                all = all && r.alive() && r.readiness() == 200;
            if (all) return true;
            pause_s(0.1);
        }
        return false;
    }
};

/// A replica's registration in the store.
inline json registration(const std::string& service, const std::string& address, const std::string& zone,
                         int capacity, std::uint64_t born, int sequence = 1) {
    return {{"service", service},   {"address", address},   {"zone", zone},
            {"version", "v1"},      {"capacity", capacity}, {"state", "ready"},
            {"coldRemainingMs", 0}, {"sequence", sequence}, {"born", born}};
}

inline std::uint64_t unix_ms() {
    return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(
                                          std::chrono::system_clock::now().time_since_epoch())
                                          .count());
}

inline json route(const std::string& name, const std::string& kind, const std::string& service,
                  int timeout_ms, int latency_ms, int attempts) {
    return {{"name", name},
            {"host", "review.example"},
            {"pathPrefix", "/" + name + "/"},
            {"service", service},
            {"kind", kind},
            {"timeoutMs", timeout_ms},
            {"targetLatencyMs", latency_ms},
            {"maxAttempts", attempts},
            {"priority", 1},
            {"public", false}};
}

inline json manifest(const std::vector<json>& routes, const std::vector<json>& services) {
    return {
        {"version", 3},
        {"routes", routes},
        {"services", services},
        {"tenants", json::array({json{{"name", "tenant-1"}, {"apiKeys", json::array({"key-of-tenant-1"})}}})},
        {"limits",
         {{"maxHeaderBytes", 16384},
          {"maxBodyBytes", 4194304},
          {"headerTimeoutMs", 3000},
          {"idleTimeoutMs", 15000},
          {"tokensPerS", 290000}}}};
}

inline const headers with_key{{"Authorization", "Token key-of-tenant-1"}};

// ---------------------------------------------------------------- replicas

/// A sound replica of a service: it runs what is meant for it and answers with its proof.
class replica {
public:
    std::string id, service, zone, address;
    record_file* record{};
    double work_s{0.06};

    bool start(store& platform) {
        platform_ = &platform;
        born_ = unix_ms();
        if (!server_.start(address, [this](int channel) { serve(channel); })) return false;
        platform.put("servers/" + id, registration(service, address, zone, 64, born_));
        return true;
    }
    std::atomic<int> runs{};

private:
    void serve(int channel) {
        reader in{channel};
        while (true) {
            const message m = in.next(clk::now() + 60s, false);
            if (!m.complete) break;
            const std::string attempt = m.get("Damaskhill-Attempt-Id");
            if (m.get("Damaskhill-Expect-Replica") != id) {
                send_all(channel,
                         answer_text(421,
                                     {{"Damaskhill-Attempt-Id", attempt}, {"Damaskhill-Not-Executed", "1"}},
                                     ""));
                continue;
            }
            ++runs;
            if (record != nullptr) record->line("run %s at %s", attempt.c_str(), id.c_str());
            pause_s(work_s);
            if (!send_all(channel, answer_text(200,
                                               {{"Damaskhill-Attempt-Id", attempt},
                                                {"Damaskhill-Replica-Seal", "seal." + attempt},
                                                {"Keep-Alive", "timeout=60"}},
                                               "done " + attempt)))
                break;
        }
        close(channel);
    }
    store* platform_{};
    server server_;
    std::uint64_t born_{};
};

} // namespace review
