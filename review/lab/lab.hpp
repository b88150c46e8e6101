// Stand-ins for the review's scripts: the platform's store, replicas, clients, and the start of routers with
// the command and the settings template of the deploy file. Everything runs on loopback addresses.
//
// A script has one thread per connection; the loads are small.

#pragma once

#include <algorithm>
#include <arpa/inet.h>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/tcp.h>
#include <optional>
#include <poll.h>
#include <sstream>
#include <string>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace lab {

using namespace std::chrono_literals;
using clock = std::chrono::steady_clock;

//-----------------------------------------------------------------------------
// Record
//-----------------------------------------------------------------------------

inline const clock::time_point started = clock::now();
inline double seconds() { return std::chrono::duration<double>(clock::now() - started).count(); }
inline std::mutex record_mutex;
inline FILE* record_file = nullptr;

inline void note(const char* format, ...) {
    std::lock_guard lock(record_mutex);
    va_list arguments;
    va_start(arguments, format);
    char text[2048];
    std::vsnprintf(text, sizeof text, format, arguments);
    va_end(arguments);
    if (record_file != nullptr) {
        std::fprintf(record_file, "%8.3f %s\n", seconds(), text);
        std::fflush(record_file);
    }
}

inline void end_children();

/// Ends the script: the case could not run. Other threads still run, so nothing is destroyed.
[[noreturn]] inline void give_up(const std::string& reason) {
    note("COULD NOT RUN: %s", reason.c_str());
    std::fprintf(stderr, "could not run: %s\n", reason.c_str());
    end_children();
    std::_Exit(2);
}

inline bool trouble() {
    const char* value = std::getenv("TROUBLE");
    return value == nullptr || std::string{value} != "0";
}

inline void sleep_for(double s) { std::this_thread::sleep_for(std::chrono::duration<double>(s)); }

//-----------------------------------------------------------------------------
// Sockets
//-----------------------------------------------------------------------------

struct address {
    std::string ip;
    int port{};
    [[nodiscard]] std::string text() const { return ip + ":" + std::to_string(port); }
};

inline sockaddr_in to_sockaddr(const address& a) {
    sockaddr_in result{};
    result.sin_family = AF_INET;
    result.sin_port = htons(static_cast<std::uint16_t>(a.port));
    inet_pton(AF_INET, a.ip.c_str(), &result.sin_addr);
    return result;
}

/// Own part of 127.0.0.0/8, so that runs beside each other do not meet.
inline std::string ip(int host) {
    static const int subnet = 20 + static_cast<int>(getpid() % 200);
    static const int third = 1 + static_cast<int>((getpid() / 200) % 250);
    return "127." + std::to_string(subnet) + "." + std::to_string(third) + "." + std::to_string(host);
}

inline int free_port(const std::string& on, int type = SOCK_STREAM) {
    const int fd = socket(AF_INET, type | SOCK_CLOEXEC, 0);
    sockaddr_in where = to_sockaddr({on, 0});
    socklen_t size = sizeof where;
    if (bind(fd, reinterpret_cast<sockaddr*>(&where), size) != 0) give_up("no free port");
    getsockname(fd, reinterpret_cast<sockaddr*>(&where), &size);
    close(fd);
    return ntohs(where.sin_port);
}

inline int listen_on(address& where) {
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    sockaddr_in at = to_sockaddr(where);
    socklen_t size = sizeof at;
    if (bind(fd, reinterpret_cast<sockaddr*>(&at), size) != 0 || listen(fd, 512) != 0)
        give_up("cannot listen on " + where.text());
    getsockname(fd, reinterpret_cast<sockaddr*>(&at), &size);
    where.port = ntohs(at.sin_port);
    return fd;
}

/// Connects; `receive_buffer` of 0 leaves the system's default. Returns -1 on failure.
inline int connect_to(const address& where, double timeout_s = 1.0, int receive_buffer = 0) {
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (receive_buffer > 0) setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receive_buffer, sizeof receive_buffer);
    fcntl(fd, F_SETFL, O_NONBLOCK);
    const sockaddr_in at = to_sockaddr(where);
    if (connect(fd, reinterpret_cast<const sockaddr*>(&at), sizeof at) != 0) {
        pollfd waiting{fd, POLLOUT, 0};
        int error = 0;
        socklen_t size = sizeof error;
        if (errno != EINPROGRESS || poll(&waiting, 1, static_cast<int>(timeout_s * 1000)) <= 0 ||
            getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size) != 0 || error != 0) {
            close(fd);
            return -1;
        }
    }
    fcntl(fd, F_SETFL, 0);
    const int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    return fd;
}

inline bool write_all(int fd, std::string_view text) {
    while (!text.empty()) {
        const ssize_t sent = send(fd, text.data(), text.size(), MSG_NOSIGNAL);
        if (sent <= 0) return false;
        text.remove_prefix(static_cast<std::size_t>(sent));
    }
    return true;
}

enum class read_result { data, end, reset, timeout };

inline read_result read_some(int fd, std::string& into, double timeout_s) {
    pollfd waiting{fd, POLLIN, 0};
    const int ready = poll(&waiting, 1, static_cast<int>(std::max(0.0, timeout_s) * 1000));
    if (ready <= 0) return read_result::timeout;
    char buffer[65536];
    const ssize_t size = recv(fd, buffer, sizeof buffer, 0);
    if (size == 0) return read_result::end;
    if (size < 0) return read_result::reset;
    into.append(buffer, static_cast<std::size_t>(size));
    return read_result::data;
}

//-----------------------------------------------------------------------------
// HTTP
//-----------------------------------------------------------------------------

struct message {
    std::string start; // request or status line
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
    [[nodiscard]] std::string header(const std::string& name) const {
        for (const auto& [key, value] : headers) {
            if (strcasecmp(key.c_str(), name.c_str()) == 0) return value;
        }
        return {};
    }
    [[nodiscard]] std::string method() const { return start.substr(0, start.find(' ')); }
    [[nodiscard]] std::string path() const {
        const auto begin = start.find(' ') + 1;
        return start.substr(begin, start.find(' ', begin) - begin);
    }
    [[nodiscard]] int status() const {
        const auto begin = start.find(' ');
        return begin == std::string::npos ? 0 : std::atoi(start.c_str() + begin + 1);
    }
};

enum class ending { complete, end, reset, timeout, malformed };
inline const char* name_of(ending e) {
    static const char* names[] = {"complete", "closed", "reset", "timeout", "malformed"};
    return names[static_cast<int>(e)];
}

/// Reads one message with a length or in chunks; what remains of the bytes stays in `buffered`. A response
/// without either ends with its connection.
inline ending read_message(int fd, std::string& buffered, message& into, double timeout_s,
                           bool is_response = false) {
    const auto until = clock::now() + std::chrono::duration<double>(timeout_s);
    const auto more = [&]() -> ending {
        const double left = std::chrono::duration<double>(until - clock::now()).count();
        switch (read_some(fd, buffered, left)) {
        case read_result::data:
            return ending::complete;
        case read_result::end:
            return ending::end;
        case read_result::reset:
            return ending::reset;
        default:
            return ending::timeout;
        }
    };
    std::size_t head_end = 0;
    while ((head_end = buffered.find("\r\n\r\n")) == std::string::npos) {
        if (const ending e = more(); e != ending::complete) return e;
    }
    std::istringstream lines(buffered.substr(0, head_end));
    buffered.erase(0, head_end + 4);
    std::string line;
    std::getline(lines, into.start);
    if (!into.start.empty() && into.start.back() == '\r') into.start.pop_back();
    while (std::getline(lines, line)) {
        if (!line.empty() && line.back() == '\r') line.pop_back();
        const auto colon = line.find(':');
        if (colon == std::string::npos) return ending::malformed;
        auto value = line.substr(colon + 1);
        value.erase(0, value.find_first_not_of(' '));
        into.headers.emplace_back(line.substr(0, colon), value);
    }
    const std::string length = into.header("Content-Length");
    if (into.header("Transfer-Encoding") == "chunked") {
        for (;;) {
            std::size_t line_end = 0;
            while ((line_end = buffered.find("\r\n")) == std::string::npos) {
                if (const ending e = more(); e != ending::complete) return e;
            }
            const std::size_t size = std::strtoul(buffered.c_str(), nullptr, 16);
            while (buffered.size() < line_end + 2 + size + 2) {
                if (const ending e = more(); e != ending::complete) {
                    into.body.append(buffered, std::min(buffered.size(), line_end + 2));
                    return e;
                }
            }
            into.body.append(buffered, line_end + 2, size);
            buffered.erase(0, line_end + 2 + size + 2);
            if (size == 0) return ending::complete;
        }
    }
    if (!length.empty()) {
        const std::size_t size = std::strtoul(length.c_str(), nullptr, 10);
        while (buffered.size() < size) {
            if (const ending e = more(); e != ending::complete) {
                into.body = buffered;
                return e;
            }
        }
        into.body = buffered.substr(0, size);
        buffered.erase(0, size);
        return ending::complete;
    }
    if (!is_response) return ending::complete;
    for (;;) {
        const ending e = more();
        if (e == ending::complete) continue;
        into.body = buffered;
        return e == ending::end ? ending::complete : e;
    }
}

inline std::string response(int status, const std::string& headers, const std::string& body) {
    return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + headers +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// Accepts connections until the process ends. The handler returns false to close the connection.
class server {
public:
    using handler = std::function<bool(int fd, std::string& buffered, const message& request)>;
    server(address where, handler on_request) : where_(std::move(where)), handler_(std::move(on_request)) {
        fd_ = listen_on(where_);
        std::thread([this] {
            for (;;) {
                const int fd = accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
                if (fd < 0) return;
                const int on = 1;
                setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
                std::thread([this, fd] {
                    std::string buffered;
                    for (;;) {
                        message request;
                        if (read_message(fd, buffered, request, 3600) != ending::complete) break;
                        if (!handler_(fd, buffered, request)) break;
                    }
                    close(fd);
                }).detach();
            }
        }).detach();
    }
    [[nodiscard]] const address& where() const { return where_; }

private:
    address where_;
    handler handler_;
    int fd_{};
};

//-----------------------------------------------------------------------------
// Store
//-----------------------------------------------------------------------------

inline std::string base64(const std::string& bytes) {
    static const char* alphabet = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string out;
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
        unsigned group = 0;
        for (std::size_t j = 0; j < 3; ++j)
            group = group << 8U | (i + j < bytes.size() ? static_cast<unsigned char>(bytes[i + j]) : 0U);
        for (std::size_t j = 0; j < 4; ++j)
            out.push_back(i + j <= bytes.size() ? alphabet[(group >> (18 - 6 * j)) & 63U] : '=');
    }
    return out;
}

inline std::string query_value(const std::string& path, const std::string& name) {
    const auto at = path.find(name + "=");
    if (at == std::string::npos) return {};
    std::string value = path.substr(at + name.size() + 1);
    value = value.substr(0, value.find('&'));
    std::string out;
    for (std::size_t i = 0; i < value.size(); ++i) {
        if (value[i] == '%' && i + 2 < value.size()) {
            out.push_back(static_cast<char>(std::stoi(value.substr(i + 1, 2), nullptr, 16)));
            i += 2;
        } else {
            out.push_back(value[i]);
        }
    }
    return out;
}

/// The platform's store as PROTOCOL.md tells it, as far as the routers of these scripts call it: range reads
/// and watches. A write of the system gets 503 ("nothing was done"); no script orders a roll-out.
class store {
public:
    explicit store(const std::string& on)
        : server_({on, 0}, [this](int fd, std::string&, const message& m) { return answer(fd, m); }) {}
    [[nodiscard]] const address& where() const { return server_.where(); }

    /// Returns when the write is acknowledged.
    void put(const std::string& key, const std::string& value) {
        std::lock_guard lock(mutex_);
        ++revision_;
        items_[key] = {value, revision_};
        history_.push_back({key, revision_});
        changed_.notify_all();
    }

private:
    struct item {
        std::string value;
        unsigned long revision{};
    };
    struct change {
        std::string key;
        unsigned long revision{};
    };

    std::string item_text(const std::string& key, const item& i) const {
        return R"({"key":")" + key + R"(","value":")" + base64(i.value) + R"(","rev":)" +
               std::to_string(i.revision) + R"(,"created":1,"lease":0})";
    }

    bool answer(int fd, const message& request) {
        const std::string path = request.path();
        const std::string prefix = query_value(path, "pathPrefix");
        const std::string headers = "Content-Type: application/json\r\nStore-Era: 1\r\n";
        if (path.starts_with("/damaskhill/kv-range")) {
            const std::string after = query_value(path, "after");
            std::lock_guard lock(mutex_);
            std::string list;
            for (const auto& [key, i] : items_) {
                if (!key.starts_with(prefix) || key <= after) continue;
                list += (list.empty() ? "" : ",") + item_text(key, i);
            }
            return write_all(fd, response(200, headers,
                                          R"({"items":[)" + list + R"(],"truncated":false,"currentRev":)" +
                                              std::to_string(revision_) + "}"));
        }
        if (path.starts_with("/damaskhill/kv-watch")) {
            const unsigned long after = std::strtoul(query_value(path, "after").c_str(), nullptr, 10);
            const auto until =
                clock::now() + std::chrono::milliseconds(std::atol(query_value(path, "waitMs").c_str()));
            std::unique_lock lock(mutex_);
            std::map<std::string, unsigned long> changed;
            for (;;) {
                for (const change& c : history_) {
                    if (c.revision > after && c.key.starts_with(prefix)) changed[c.key] = c.revision;
                }
                if (!changed.empty() || changed_.wait_until(lock, until) == std::cv_status::timeout) break;
            }
            std::string list;
            for (const auto& [key, revision] : changed)
                list += (list.empty() ? "" : ",") + item_text(key, items_.at(key));
            const std::string body =
                R"({"events":[)" + list + R"(],"currentRev":)" + std::to_string(revision_) + "}";
            lock.unlock();
            return write_all(fd, response(200, headers, body));
        }
        return write_all(fd, response(503, headers, "{}"));
    }

    std::mutex mutex_;
    std::condition_variable changed_;
    unsigned long revision_{10};
    std::map<std::string, item> items_;
    std::vector<change> history_;
    server server_;
};

/// Entry of a replica, as it writes it every check-in interval.
inline std::string entry(const std::string& service, const address& where, int capacity, long sequence,
                         long long born) {
    return R"({"service":")" + service + R"(","address":")" + where.text() +
           R"(","zone":"z-a","version":"v1","capacity":)" + std::to_string(capacity) +
           R"(,"state":"ready","coldRemainingMs":0,"sequence":)" + std::to_string(sequence) + R"(,"born":)" +
           std::to_string(born) + "}";
}

inline long long unix_ms() {
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

//-----------------------------------------------------------------------------
// Replicas and clients
//-----------------------------------------------------------------------------

/// Requests that replicas have begun to run, by id.
class run_log {
public:
    void add(const std::string& id, const std::string& replica, const message& request) {
        {
            std::lock_guard lock(mutex_);
            ++runs_[id];
        }
        note("replica %s: runs %s (%s, tenant '%s')", replica.c_str(), id.c_str(), request.start.c_str(),
             request.header("Damaskhill-Tenant").c_str());
    }
    [[nodiscard]] int count(const std::string& id) {
        std::lock_guard lock(mutex_);
        const auto found = runs_.find(id);
        return found == runs_.end() ? 0 : found->second;
    }

private:
    std::mutex mutex_;
    std::map<std::string, int> runs_;
};

inline std::string answer_head(const message& request, int status, const std::string& more) {
    const std::string id = request.header("Damaskhill-Attempt-Id");
    return "HTTP/1.1 " + std::to_string(status) + " X\r\nDamaskhill-Attempt-Id: " + id +
           "\r\nDamaskhill-Replica-Seal: seal-" + id + "\r\n" + more;
}

/// Serves the requests to a replica: 421 for another one's, 400 without an id, health checks. `run` answers
/// the others and returns false to close the connection.
inline server::handler replica_handler(const std::string& id, run_log* runs,
                                       std::function<bool(int fd, const message& request)> run) {
    return [=](int fd, std::string&, const message& request) {
        const std::string attempt = request.header("Damaskhill-Attempt-Id");
        const std::string echo = attempt.empty() ? "" : "Damaskhill-Attempt-Id: " + attempt + "\r\n";
        if (request.method() == "GET" && request.path() == "/health")
            return write_all(fd, response(200, "Damaskhill-Replica-Id: " + id + "\r\n", ""));
        const std::string expected = request.header("Damaskhill-Expect-Replica");
        if (!expected.empty() && expected != id)
            return write_all(fd, response(421, echo + "Damaskhill-Not-Executed: 1\r\n", ""));
        if (attempt.empty()) return write_all(fd, response(400, "Damaskhill-Not-Executed: 1\r\n", ""));
        if (runs != nullptr) runs->add(attempt, id, request);
        return run(fd, request);
    };
}

/// Writes the entries of replicas every check-in interval.
class check_ins {
public:
    struct registration {
        std::string id, service;
        address where;
        int capacity{};
        long long born{};
    };
    check_ins(store& into, std::vector<registration> replicas)
        : store_(into), replicas_(std::move(replicas)) {
        write();
        std::thread([this] {
            for (;;) {
                sleep_for(1.2);
                write();
            }
        }).detach();
    }
    /// The replica is down: it sends no check-ins until it is born again. An entry lapses after three
    /// intervals of silence, which no script reaches.
    void silence(const std::string& id) {
        std::lock_guard lock(mutex_);
        for (registration& r : replicas_) {
            if (r.id == id) r.born = 0;
        }
    }
    void born_again(const std::string& id) {
        {
            std::lock_guard lock(mutex_);
            for (registration& r : replicas_) {
                if (r.id == id) r.born = unix_ms();
            }
        }
        write();
    }

private:
    void write() {
        std::lock_guard lock(mutex_);
        ++sequence_;
        for (const registration& r : replicas_) {
            if (r.born != 0)
                store_.put("servers/" + r.id, entry(r.service, r.where, r.capacity, sequence_, r.born));
        }
    }
    store& store_;
    std::mutex mutex_;
    std::vector<registration> replicas_;
    long sequence_{};
};

inline std::string request_text(const std::string& method, const std::string& path, const std::string& id,
                                int remaining_ms, const std::string& body, const std::string& more = {}) {
    return method + " " + path + " HTTP/1.1\r\nHost: h.example\r\nDamaskhill-Attempt-Id: " + id +
           "\r\nDamaskhill-Deadline-Remaining: " + std::to_string(remaining_ms) + "\r\n" + more +
           (body.empty() && method == "GET" ? ""
                                            : "Content-Length: " + std::to_string(body.size()) + "\r\n") +
           "\r\n" + body;
}

struct outcome {
    ending end{ending::timeout};
    message answer;
};

/// Sends a request on a channel of its own and reads the answer.
inline outcome call(const address& to, const std::string& id, const std::string& text, double timeout_s) {
    outcome result;
    const int fd = connect_to(to, 1.0);
    if (fd < 0) {
        note("client: %s: no channel", id.c_str());
        result.end = ending::reset;
        return result;
    }
    note("client: sends %s", id.c_str());
    write_all(fd, text);
    std::string buffered;
    result.end = read_message(fd, buffered, result.answer, timeout_s, true);
    note("client: %s: %s, status %d, %zu bytes", id.c_str(), name_of(result.end), result.answer.status(),
         result.answer.body.size());
    close(fd);
    return result;
}

/// The routes of the scripts: three as the sheet of sites/stroik-fleet.toml has them. `tenants` is a list
/// in JSON; empty: none, and the routes are public.
inline std::string manifest(int version, const std::string& tenants = {}) {
    const std::string access = tenants.empty() ? "true" : "false";
    const auto route = [&](const std::string& name, const std::string& kind, int timeout_ms, int aim_ms,
                           const std::string& service, const std::string& more) {
        return R"({"name":"r-)" + name + R"(","host":"h.example","pathPrefix":"/)" + name + R"(/","kind":")" +
               kind + R"(","timeoutMs":)" + std::to_string(timeout_ms) + R"(,"targetLatencyMs":)" +
               std::to_string(aim_ms) + R"(,"priority":1,"service":")" + service +
               R"(","maxAttempts":1,"public":)" + access + more + "}";
    };
    const auto service = [](const std::string& name) {
        return R"({"name":")" + name +
               R"(","healthPath":"/health","maxConnections":360,"coldStartS":0.0,"coldPerS":0.0})";
    };
    return R"({"version":)" + std::to_string(version) + R"(,"routes":[)" +
           route("archive", "streaming", 15000, 800, "lm",
                 R"(,"sessionAffinity":true,"streamResume":false,"targetGapMs":500)") +
           "," + route("order", "non_idempotent", 2000, 300, "app", "") + "," +
           route("stock", "idempotent", 2000, 300, "app", "") + R"(],"services":[)" + service("lm") + "," +
           service("app") +
           R"(],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,)" +
           R"("idleTimeoutMs":15000})" + (tenants.empty() ? "" : R"(,"tenants":)" + tenants) + "}";
}

//-----------------------------------------------------------------------------
// Routers
//-----------------------------------------------------------------------------

inline std::string read_text(const std::filesystem::path& file) {
    std::ifstream in(file);
    std::stringstream text;
    text << in.rdbuf();
    return text.str();
}

inline std::filesystem::path repository() {
    const char* root = std::getenv("REPOSITORY");
    return root == nullptr ? std::filesystem::current_path() : std::filesystem::path{root};
}

inline std::filesystem::path temporary_folder() {
    static const std::filesystem::path folder = [] {
        std::string name = std::filesystem::temp_directory_path() / "damaskhill-review.XXXXXX";
        if (mkdtemp(name.data()) == nullptr) give_up("no temporary folder");
        return std::filesystem::path{name};
    }();
    return folder;
}

inline std::vector<pid_t> children; // all that were started; see end_children

inline void end_children() {
    for (const pid_t pid : children) {
        kill(pid, SIGKILL);
        kill(pid, SIGCONT);
        waitpid(pid, nullptr, 0);
    }
    children.clear();
    std::error_code ignored;
    if (std::getenv("KEEP") == nullptr) std::filesystem::remove_all(temporary_folder(), ignored);
}

/// Starts a process that ends with the thread that starts it.
inline pid_t start_process(const std::vector<std::string>& words, const std::filesystem::path& output) {
    std::vector<char*> arguments;
    for (const std::string& word : words)
        arguments.push_back(const_cast<char*>(word.c_str()));
    arguments.push_back(nullptr);
    const pid_t parent = getpid();
    const pid_t pid = fork();
    if (pid == 0) {
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        if (getppid() != parent) _exit(127);
        const int out = open(output.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        dup2(out, STDOUT_FILENO);
        dup2(out, STDERR_FILENO);
        execv(arguments[0], arguments.data());
        _exit(127);
    }
    static std::mutex mutex;
    std::lock_guard lock(mutex);
    children.push_back(pid);
    return pid;
}

/// Ports that all routers of a script share.
struct router_ports {
    int front{}, ready{}, control{}, report{};
    explicit router_ports(const std::string& on)
        : front(free_port(on)),
          ready(free_port(on)),
          control(free_port(on)),
          report(free_port(on, SOCK_DGRAM)) {}
};

/// Bounds and limits of the small site sites/stroik-fleet.toml.
struct bounds {
    int revoke_ms{5000}, grace_s{8}, drain_ms{2000}, heartbeat_ms{1200}, max_fds{4100};
};

class router {
public:
    router(const std::string& on, const router_ports& ports, const address& store_address,
           const std::vector<std::string>& seeds, const bounds& b = {})
        : front{on, ports.front}, ready{on, ports.ready}, control{on, ports.control} {
        std::string text = read_text(repository() / "deploy/settings.json.template");
        std::string seed_list;
        for (const std::string& seed : seeds)
            seed_list += (seed_list.empty() ? "\"" : ",\"") + address{seed, ports.control}.text() + "\"";
        const auto quote = [](const std::string& s) { return "\"" + s + "\""; };
        const std::map<std::string, std::string> values{
            {"{{nodeName|json}}", quote("front-" + on)},
            {"{{zone|json}}", quote("z-a")},
            {"{{listen.front|json}}", quote(front.text())},
            {"{{listen.ready|json}}", quote(ready.text())},
            {"{{listen.control|json}}", quote(control.text())},
            {"{{ip}}", on},
            {"{{portRange.0}}", std::to_string(ports.report)},
            {"{{platform.address|json}}", quote(store_address.text())},
            {"{{seeds|json}}", "[" + seed_list + "]"},
            {"{{bounds.revokeMs}}", std::to_string(b.revoke_ms)},
            {"{{bounds.graceS}}", std::to_string(b.grace_s)},
            {"{{bounds.budgetRatio}}", "0.2"},
            {"{{bounds.budgetSlack}}", "54"},
            {"{{bounds.budgetWindowS}}", "10"},
            {"{{bounds.coldOverage}}", "1.5"},
            {"{{bounds.coldSlack}}", "5"},
            {"{{limits.maxFds}}", std::to_string(b.max_fds)},
            {"{{heartbeatMs}}", std::to_string(b.heartbeat_ms)},
            {"{{bounds.drainMs}}", std::to_string(b.drain_ms)}};
        for (const auto& [placeholder, value] : values) {
            for (std::size_t at = 0; (at = text.find(placeholder)) != std::string::npos;)
                text.replace(at, placeholder.size(), value);
        }
        if (text.find("{{") != std::string::npos) give_up("unknown placeholder in the settings template");
        settings_ = temporary_folder() / ("router-" + on + ".json");
        std::ofstream(settings_) << text;
        output_ = temporary_folder() / ("router-" + on + ".log");
    }

    void start() {
        // The command of the deploy file.
        std::istringstream lines(read_text(repository() / "deploy/system.toml"));
        std::string line, command;
        while (std::getline(lines, line)) {
            if (line.starts_with("run = \"")) command = line.substr(7, line.rfind('"') - 7);
        }
        if (command.empty()) give_up("no command in deploy/system.toml");
        std::vector<std::string> words;
        std::istringstream split(command);
        for (std::string word; split >> word;)
            words.push_back(words.empty() ? (repository() / word).string() : word);
        if (!std::filesystem::exists(words[0])) give_up("not built: " + words[0]);
        words.insert(words.end(), {"--settings", settings_.string()});
        pid = start_process(words, output_);
        note("router %s started, process %d", front.ip.c_str(), pid);
    }

    /// One readiness check of the platform.
    [[nodiscard]] bool is_ready() const {
        const int fd = connect_to(ready, 1.0);
        if (fd < 0) return false;
        write_all(fd, "GET /damaskhill/readiness HTTP/1.1\r\nHost: ready\r\n\r\n");
        std::string buffered;
        message answer;
        const bool ok = read_message(fd, buffered, answer, 1.0, true) == ending::complete;
        close(fd);
        return ok && answer.status() == 200;
    }

    void await_ready(double timeout_s = 10) const {
        const double until = seconds() + timeout_s;
        while (!is_ready()) {
            if (seconds() > until) give_up("router " + front.ip + " is not ready");
            sleep_for(0.1);
        }
        note("router %s is ready", front.ip.c_str());
    }

    void signal(int number, const char* name) const {
        kill(pid, number);
        note("platform: %s to router %s", name, front.ip.c_str());
    }

    /// Resident memory in MB; 0 once the process has ended.
    [[nodiscard]] double memory_mb() const {
        std::ifstream statm("/proc/" + std::to_string(pid) + "/statm");
        long total = 0;
        long resident = 0;
        statm >> total >> resident;
        return static_cast<double>(resident) * static_cast<double>(sysconf(_SC_PAGESIZE)) / 1048576.0;
    }

    [[nodiscard]] bool has_ended() const {
        siginfo_t info{};
        return waitid(P_PID, static_cast<id_t>(pid), &info, WEXITED | WNOHANG | WNOWAIT) == 0 &&
               info.si_pid == pid;
    }

    address front, ready, control;
    pid_t pid{};

private:
    std::filesystem::path settings_, output_;
};

/// To be called first in each script.
inline void begin(const char* record) {
    std::signal(SIGPIPE, SIG_IGN);
    record_file = std::fopen(record, "w");
    if (record_file == nullptr) give_up("cannot write the record");
    for (const int number : {SIGTERM, SIGINT, SIGHUP}) {
        std::signal(number, [](int) {
            end_children();
            std::_Exit(2);
        });
    }
    note("TROUBLE=%d", trouble() ? 1 : 0);
}

inline int finish(bool broken, const std::string& text) {
    note("%s: %s", broken ? "BROKEN" : "HELD", text.c_str());
    std::printf("%s: %s\n", broken ? "broken" : "held", text.c_str());
    std::fflush(stdout);
    end_children();
    std::_Exit(broken ? 1 : 0);
}

} // namespace lab
