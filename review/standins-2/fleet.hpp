// A small deployment for the scripts of the second review: one zone with two routers, two model replicas, two
// replicas of a plain service. Clients reach the routers through an address of the platform (its balancer).
#pragma once

#include "harness.hpp"

#include <set>

namespace review {

constexpr std::uint64_t kv_capacity = 544'695; // as on the users' sheet

/// A replica that follows PROTOCOL.md: it checks who it is, echoes the attempt's id and seals its answers.
class replica {
public:
    struct run {
        std::string attempt;
        std::string tenant;
    };
    std::string id;
    std::string service;
    std::string zone;
    endpoint at;
    bool engine{};
    int events{5};
    int event_gap_ms{20};
    int work_ms{0}; // of a plain request
    std::function<void(const std::string&)> note;

    bool start() {
        return server_.start(at,
                             [this](int fd, const message& request) { return answer_request(fd, request); });
    }
    void stop() { server_.stop(); }
    [[nodiscard]] std::string entry() const {
        return "{\"service\":\"" + service + "\",\"address\":\"" + at.text() + "\",\"zone\":\"" + zone +
               "\",\"version\":\"v1\",\"capacity\":" + (engine ? "64" : "6") +
               ",\"state\":\"ready\",\"coldRemainingMs\":0,\"sequence\":1,\"born\":1700000000000}";
    }
    [[nodiscard]] bool has_begun(const std::string& attempt) {
        const std::lock_guard lock{mutex_};
        return begun_.contains(attempt);
    }
    std::atomic<int> runs{0};
    std::atomic<int> refusals{0};

private:
    bool answer_request(int fd, const message& request) {
        const std::string attempt = request.header("Damaskhill-Attempt-Id");
        const std::string common = "Damaskhill-Attempt-Id: " + attempt + "\r\n";
        if (request.header("Damaskhill-Expect-Replica") != id)
            return send_all(fd, "HTTP/1.1 421 Misdirected Request\r\n" + common + "Damaskhill-Replica-Id: " +
                                    id + "\r\nDamaskhill-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
        if (!engine) {
            ++runs;
            {
                const std::lock_guard lock{mutex_};
                begun_.insert(attempt);
            }
            if (work_ms > 0) pause_for(work_ms);
            const std::string body = "stock of " + attempt + "\n";
            return send_all(fd, "HTTP/1.1 200 OK\r\n" + common + "Damaskhill-Replica-Seal: s." + attempt +
                                    "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
        }
        const std::string counts = request.header("Damaskhill-Token-Count");
        const std::uint64_t in = std::strtoull(counts.c_str(), nullptr, 10);
        const std::size_t comma = counts.find(',');
        const std::uint64_t out =
            comma == std::string::npos ? 0 : std::strtoull(counts.c_str() + comma + 1, nullptr, 10);
        if (in + out > kv_capacity) { // "rejected as if the replica were full"
            ++refusals;
            if (note)
                note(id + " rejects " + attempt + " with " + counts + " tokens: larger than its memory");
            return send_all(fd, "HTTP/1.1 503 Service Unavailable\r\n" + common +
                                    "Damaskhill-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
        }
        ++runs;
        if (!send_all(fd, "HTTP/1.1 200 OK\r\n" + common + "Damaskhill-Replica-Seal: s." + attempt +
                              "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"))
            return false;
        for (int i = 1; i <= events; ++i) {
            pause_for(event_gap_ms);
            const std::string event = "id: " + std::to_string(i) + "\ndata: " + attempt + "\n\n";
            std::array<char, 16> size{};
            std::snprintf(size.data(), size.size(), "%zx\r\n", event.size());
            if (!send_all(fd, size.data() + event + "\r\n")) return false;
        }
        return send_all(fd, "0\r\n\r\n");
    }
    http_server server_;
    std::mutex mutex_;
    std::set<std::string> begun_; // plain requests
};

struct fleet_options {
    int zones{1};
    int routers{2};
    int engines{2};
    int apps{2};
    int max_fds{4100};
    int events{5};
    int event_gap_ms{20};
    int work_ms{0};
    std::string more_settings; // further members of the settings, with a leading comma
};

class fleet {
public:
    fleet(record_file& log, std::string program, std::string directory, fleet_options options = {})
        : record(log),
          program_(std::move(program)),
          directory_(std::move(directory)),
          options_(std::move(options)) {}
    ~fleet() { stop(); }
    fleet(const fleet&) = delete;
    fleet& operator=(const fleet&) = delete;

    record_file& record;
    store platform;
    std::vector<std::unique_ptr<replica>> replicas;
    std::vector<router_place> places;
    std::vector<std::unique_ptr<router_process>> routers;

    bool start() {
        const std::string store_ip = loopback(1, 1);
        const endpoint store_at{store_ip, free_port({store_ip})};
        if (!platform.start(store_at)) return false;
        platform.put("op/config", config());
        for (int i = 0; i < options_.engines + options_.apps; ++i) {
            auto server = std::make_unique<replica>();
            server->engine = i < options_.engines;
            server->service = server->engine ? "lm" : "app";
            server->id = "i-" + std::to_string(i + 1);
            server->zone = zone(i);
            server->at = {loopback(2, i + 1), 0};
            server->at.port = free_port({server->at.ip});
            server->events = options_.events;
            server->event_gap_ms = options_.event_gap_ms;
            server->work_ms = options_.work_ms;
            server->note = [this](const std::string& text) { record.line(text); };
            if (!server->start()) return false;
            platform.put("servers/" + server->id, server->entry());
            replicas.push_back(std::move(server));
        }
        std::vector<std::string> ips;
        for (int i = 0; i < options_.routers; ++i)
            ips.push_back(loopback(3, i + 1));
        const int front = free_port(ips);
        const int ready = free_port(ips);
        const int control = free_port(ips);
        const int report = free_port(ips);
        std::vector<std::string> seeds;
        for (int i = 0; i < options_.routers; ++i) {
            places.push_back({ips[static_cast<std::size_t>(i)], zone(i), front, ready, control, report});
            if (i < 3) seeds.push_back(ips[static_cast<std::size_t>(i)] + ":" + std::to_string(control));
        }
        for (int i = 0; i < options_.routers; ++i) {
            const std::string name = "front-" + std::to_string(i + 1);
            auto process = std::make_unique<router_process>();
            if (!process->start(program_, directory_, name,
                                render_settings(places[static_cast<std::size_t>(i)], name, store_at.text(),
                                                seeds, options_.max_fds, options_.more_settings)))
                return false;
            routers.push_back(std::move(process));
        }
        for (int tries = 0; tries < 100; ++tries) {
            bool all = true;
            for (const router_place& place : places)
                all = all && is_ready(place.ready_at(), 500);
            if (all) {
                in_rotation_.assign(places.size(), true);
                balancer_ = std::thread{[this] { ask_readiness(); }};
                record.line("all routers are ready");
                return true;
            }
            pause_for(100);
        }
        return false;
    }
    void stop() {
        stopped_ = true;
        if (balancer_.joinable()) balancer_.join();
        for (auto& router : routers)
            router->end();
        for (auto& server : replicas)
            server->stop();
        platform.stop();
    }

    /// Router to which the balancer forwards a new channel: one in rotation, or any if fewer than half are.
    [[nodiscard]] std::size_t pick(std::uint64_t hash) {
        const std::lock_guard lock{mutex_};
        std::vector<std::size_t> usable;
        for (std::size_t i = 0; i < in_rotation_.size(); ++i) {
            if (in_rotation_[i]) usable.push_back(i);
        }
        if (usable.size() * 2 < in_rotation_.size()) {
            usable.clear();
            for (std::size_t i = 0; i < in_rotation_.size(); ++i)
                usable.push_back(i);
        }
        return usable[hash * 0x9E3779B97F4A7C15ULL % 1000003 % usable.size()];
    }

    /// A request of a sound client: one retry, on a new channel, within its time limit, after a promise or,
    /// if it may be repeated, after any failure. It waits as Retry-After says, up to a third of the time
    /// left.
    struct outcome {
        bool served{};
        int last_status{};
        int attempts{};
        long long ms{};
    };
    outcome ask(const std::function<std::string(const std::string& attempt, int left_ms)>& text, int limit_ms,
                bool may_repeat, std::uint64_t hash) {
        outcome out;
        const auto begin = steady::now();
        const auto left = [&] {
            return limit_ms -
                   static_cast<int>(std::chrono::duration_cast<milliseconds>(steady::now() - begin).count());
        };
        constexpr int attempts = 2; // one retry, as on the users' sheets
        while (out.attempts < attempts && left() > 0) {
            ++out.attempts;
            const std::string attempt = new_attempt_id();
            const answer got =
                ask_once(places[pick(hash + static_cast<std::uint64_t>(out.attempts))].front_at(),
                         text(attempt, left()), left());
            out.last_status = got.status;
            if (got.status >= 200 && got.status < 300 && got.complete &&
                !header_of(got.head, "Damaskhill-Replica-Seal").empty()) {
                out.served = true;
                break;
            }
            const bool promise =
                got.status == 429 || got.status == 503 || got.status == 408 || got.status == 421;
            const bool final_status = got.status == 400 || got.status == 401 || got.status == 404 ||
                                      got.status == 413 || got.status == 431;
            if (final_status || (!promise && !may_repeat)) break;
            if (got.retry_after_s > 0)
                pause_for(static_cast<int>(std::min(got.retry_after_s * 1000, std::max(0, left()) / 3.0)));
        }
        out.ms = std::chrono::duration_cast<milliseconds>(steady::now() - begin).count();
        return out;
    }

    static std::string chat(const std::string& key, const std::string& attempt, int left_ms,
                            const std::string& counts = "200,30", const std::string& more = {}) {
        return "POST /chat/ask HTTP/1.1\r\nHost: shop.example\r\nDamaskhill-Attempt-Id: " + attempt +
               "\r\nDamaskhill-Model: m\r\nDamaskhill-Token-Count: " + counts +
               "\r\nDamaskhill-Deadline-Remaining: " + std::to_string(left_ms) + "\r\nAuthorization: Token " +
               key + "\r\n" + more + "Content-Length: 2\r\n\r\nhi";
    }
    static std::string stock(const std::string& key, const std::string& attempt, int left_ms) {
        return "GET /stock/7 HTTP/1.1\r\nHost: shop.example\r\nDamaskhill-Attempt-Id: " + attempt +
               "\r\nDamaskhill-Deadline-Remaining: " + std::to_string(left_ms) + "\r\nAuthorization: Token " +
               key + "\r\n\r\n";
    }

private:
    [[nodiscard]] std::string zone(int i) const { return "zone-" + std::to_string(1 + i % options_.zones); }
    static std::string config() {
        return R"({"version":7,"routes":[)"
               R"({"name":"chat","host":"shop.example","pathPrefix":"/chat/","kind":"streaming","timeoutMs":12000,)"
               R"("targetLatencyMs":500,"targetGapMs":500,"priority":1,"service":"lm","maxAttempts":2,"public":false,)"
               R"("sessionAffinity":true,"streamResume":true},)"
               R"({"name":"order","host":"shop.example","pathPrefix":"/order/","kind":"non_idempotent","timeoutMs":2000,)"
               R"("targetLatencyMs":300,"priority":2,"service":"app","maxAttempts":1,"public":false},)"
               R"({"name":"stock","host":"shop.example","pathPrefix":"/stock/","kind":"idempotent","timeoutMs":2000,)"
               R"("targetLatencyMs":300,"priority":2,"service":"app","maxAttempts":2,"public":false}],)"
               R"("services":[{"name":"lm","healthPath":"/health","maxConnections":360,"protocol":"h1","tls":false,)"
               R"("coldStartS":3.0,"coldPerS":13.0,"engine":{"capacity":64,"kvCapacity":544695,"kvBytes":163840,)"
               R"("models":[{"name":"m"}]}},{"name":"app","healthPath":"/health","maxConnections":100,"protocol":"h1",)"
               R"("tls":false,"coldStartS":0.0,"coldPerS":0.0}],"limits":{"maxHeaderBytes":16384,)"
               R"("maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000,"tokensPerS":290000},)"
               R"("tenants":[{"name":"alfa","apiKeys":["key-alfa"],"priority":1},)"
               R"({"name":"beta","apiKeys":["key-beta"],"priority":1}]})";
    }
    void ask_readiness() {
        std::vector<int> misses(places.size());
        while (!stopped_) {
            const auto next = steady::now() + milliseconds{1000};
            for (std::size_t i = 0; i < places.size(); ++i) {
                const bool ready = is_ready(places[i].ready_at(), 900);
                misses[i] = ready ? 0 : misses[i] + 1;
                const std::lock_guard lock{mutex_};
                const bool in_rotation = misses[i] < 2;
                if (in_rotation != in_rotation_[i])
                    record.line("balancer: router " + std::to_string(i + 1) +
                                (in_rotation ? " is back in rotation" : " is out of rotation"));
                in_rotation_[i] = in_rotation;
            }
            while (!stopped_ && steady::now() < next)
                pause_for(20);
        }
    }

    std::string program_;
    std::string directory_;
    fleet_options options_;
    std::mutex mutex_;
    std::vector<bool> in_rotation_;
    std::thread balancer_;
    std::atomic<bool> stopped_{false};
};

/// Counts of the outcomes of one kind of request in one phase.
struct tally {
    std::atomic<int> sent{0};
    std::atomic<int> served{0};
    [[nodiscard]] std::string text() const {
        return std::to_string(served) + " of " + std::to_string(sent) + " served";
    }
};

/// Sends ordinary requests of one kind at an even rate until it is destroyed.
class ordinary_callers {
public:
    ordinary_callers(fleet& in, bool chat, int gap_ms, std::string key = "key-alfa", int threads = 4)
        : fleet_(in), chat_(chat), gap_ms_(gap_ms), key_(std::move(key)) {
        for (int i = 0; i < threads; ++i)
            threads_.emplace_back([this, i, threads] { run(i, threads); });
    }
    ~ordinary_callers() { stop(); }
    ordinary_callers(const ordinary_callers&) = delete;
    ordinary_callers& operator=(const ordinary_callers&) = delete;
    void stop() {
        stopped_ = true;
        for (std::thread& thread : threads_) {
            if (thread.joinable()) thread.join();
        }
    }
    /// Requests that are sent from now on count here.
    void count_in(tally& phase) { phase_ = &phase; }

private:
    void run(int index, int threads) {
        pause_for(gap_ms_ * index);
        for (std::uint64_t n = 0; !stopped_; ++n) {
            tally* const phase = phase_;
            const auto next = steady::now() + milliseconds{gap_ms_ * threads};
            if (phase != nullptr) {
                ++phase->sent;
                const auto text = [&](const std::string& attempt, int left_ms) {
                    if (!chat_) return fleet::stock(key_, attempt, left_ms);
                    // Prompts share their first part with others, as PROTOCOL.md says.
                    const std::string prefix = "Damaskhill-Prompt-Prefix: a" + std::to_string(n % 8) +
                                               ":198,b" + std::to_string(index) + std::to_string(n) +
                                               ":628\r\n";
                    return fleet::chat(key_, attempt, left_ms, "826,49", prefix);
                };
                const auto got = fleet_.ask(text, chat_ ? 12000 : 4000, true,
                                            static_cast<std::uint64_t>(index) * 7919 + n);
                if (got.served) ++phase->served;
                fleet_.record.line(std::string{chat_ ? "chat" : "stock"} + " of " + key_ + ": status " +
                                   std::to_string(got.last_status) +
                                   (got.served ? ", served" : ", not served") + ", attempts " +
                                   std::to_string(got.attempts) + ", " + std::to_string(got.ms) + " ms");
            }
            while (!stopped_ && steady::now() < next)
                pause_for(5);
        }
    }
    fleet& fleet_;
    bool chat_;
    int gap_ms_;
    std::string key_;
    std::atomic<tally*> phase_{nullptr};
    std::atomic<bool> stopped_{false};
    std::vector<std::thread> threads_;
};

} // namespace review
