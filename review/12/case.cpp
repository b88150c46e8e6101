// Clients that nobody controls, with a key of their own, send requests with long heads: a list of 15,000
// parts of a prompt. Replicas answer them as streams, which go on for 14 s.
#include "../standins-3/platform.hpp"

using namespace review;

namespace {

constexpr double calm_s = 8;
constexpr int engines = 12;
constexpr int hostile = 700;
constexpr double hostile_per_s = 90;
constexpr double watch_s = 25;
constexpr int ordinary_clients = 10;
constexpr int most_closed = 3;         // RULES.md, LOST: "more than three times"
constexpr std::size_t memory_mb = 260; // the sheet, `front`

std::size_t status_kb(pid_t pid, const std::string& field) {
    std::ifstream file{"/proc/" + std::to_string(pid) + "/status"};
    for (std::string line; std::getline(file, line);)
        if (line.rfind(field, 0) == 0) return std::stoul(line.substr(field.size()));
    return 0;
}

/// A sound model replica: a stream with one event a second.
class stream_replica {
public:
    std::string id, zone, address;
    record_file* record{};
    std::atomic<int> runs{};
    bool start(store& platform) {
        if (!server_.start(address, [this](int channel) { serve(channel); })) return false;
        platform.put("servers/" + id, registration("lm", address, zone, 64, unix_ms()));
        return true;
    }

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
            record->line("run %s at %s", attempt.c_str(), id.c_str());
            bool ok = send_all(channel, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                                        "Damaskhill-Attempt-Id: " +
                                            attempt + "\r\nDamaskhill-Replica-Seal: seal." + attempt +
                                            "\r\nTransfer-Encoding: chunked\r\n\r\n");
            const int events = attempt.front() == 'h' ? 14 : 20;
            for (int i = 1; ok && i <= events; ++i) {
                const std::string event = "id: " + std::to_string(i) + "\ndata: " + attempt + "\n\n";
                char size[16];
                std::snprintf(size, sizeof size, "%zx\r\n", event.size());
                ok = send_all(channel, size + event + "\r\n");
                pause_s(attempt.front() == 'h' ? 1.0 : 0.1);
            }
            if (!ok || !send_all(channel, "0\r\n\r\n")) break;
        }
        close(channel);
    }
    server server_;
};

std::string request_of(const std::string& attempt, const std::string& key, const std::string& parts) {
    return request_text("POST", "/review/1", "review.example",
                        {{"Authorization", "Token " + key},
                         {"Damaskhill-Attempt-Id", attempt},
                         {"Damaskhill-Deadline-Remaining", "15000"},
                         {"Damaskhill-Model", "m"},
                         {"Damaskhill-Token-Count", "300,100"},
                         {"Damaskhill-Prompt-Prefix", parts}},
                        "question");
}

} // namespace

int main(int, char** arguments) {
    record_file record{std::string{arguments[1]} + "/record.txt"};
    fleet f{2};
    std::vector<std::unique_ptr<stream_replica>> replicas;
    for (int i = 0; i < engines; ++i) {
        replicas.push_back(std::make_unique<stream_replica>());
        stream_replica& r = *replicas.back();
        r.id = "i-" + std::to_string(i + 1);
        r.zone = std::string{"zone-"} + "abc"[i % 3];
        r.address = loopback(100 + i) + ":" + std::to_string(free_port({loopback(100 + i)}));
        r.record = &record;
        if (!r.start(f.platform)) f.finish(could_not_run);
    }
    json chat = route("review", "streaming", "lm", 15000, 800, 1);
    chat["targetGapMs"] = 2000;
    chat["streamResume"] = false;
    json config = manifest({chat}, {json{{"name", "lm"},
                                         {"healthPath", "/health"},
                                         {"engine", {{"capacity", 64}, {"kvCapacity", 544695}}}}});
    config["tenants"].push_back({{"name", "tenant-2"}, {"apiKeys", json::array({"key-of-tenant-2"})}});
    f.platform.put("op/config", config);
    if (!f.start()) f.finish(could_not_run);
    pause_s(1);
    router& r = f.routers[0];
    const auto at_start = status_kb(r.pid, "VmRSS:");

    std::atomic<bool> over{}, killed{};
    std::atomic<int> refused{}, begun{}, cut{}, ordinary_ok{}, ordinary_bad{}, ordinary_cut{},
        ordinary_calm_bad{}, open{};
    std::atomic<std::size_t> most{};
    std::thread platform([&] { // kills what exceeds the memory of its machine (DEPLOY.md)
        double said = 0;
        while (!over) {
            const auto kb = status_kb(r.pid, "VmRSS:");
            most = std::max<std::size_t>(most, kb);
            if (seconds() - said > 1) {
                record.line("memory %zu KB", kb);
                said = seconds();
            }
            if (kb > memory_mb * 1024 && !killed) {
                record.line("memory %zu KB is over %zu MB: the platform kills the process", kb, memory_mb);
                killed = true;
                kill(r.pid, SIGKILL);
            }
            pause_s(0.02);
        }
    });
    std::vector<std::thread> ordinary; // on kept channels
    for (int c = 0; c < ordinary_clients; ++c) {
        ordinary.emplace_back([&, c] {
            int channel = -1;
            std::unique_ptr<reader> in;
            pause_s(0.2 * c); // not all in step
            for (int n = 0; !over && !killed; ++n) {
                if (channel < 0) {
                    channel = connect_to(r.front);
                    in = std::make_unique<reader>(channel);
                }
                const std::string id = "o" + std::to_string(c) + "-" + std::to_string(n);
                record.line("send %s", id.c_str());
                send_all(channel, request_of(id, "key-of-tenant-1", "5c1e07a2:200,91bd3f06:100"));
                const message m = in->next(clk::now() + 15s, true);
                const int status = m.complete ? m.status() : 0;
                record.line("answer %s status %d%s", id.c_str(), m.status(),
                            m.complete  ? ""
                            : in->ended ? ", channel closed before the end"
                                        : ", no end");
                ++(status == 200 ? ordinary_ok : ordinary_bad);
                if (!m.complete && in->ended) ++ordinary_cut;
                if (status != 200 && seconds() < calm_s) ++ordinary_calm_bad;
                if (!m.complete || lower(m.get("Connection")) == "close") {
                    close(channel);
                    channel = -1;
                }
                pause_s(0.1);
            }
        });
    }
    while (seconds() < calm_s)
        pause_s(0.05);
    std::string parts;
    if (trouble())
        for (int i = 0; i < 15000; ++i)
            parts += "a:1,";
    parts += "5c1e07a2:200,91bd3f06:100";
    record.line("trouble %s: %d requests with heads of %zu bytes", trouble() ? "begins" : "left out", hostile,
                request_of("h0", "key-of-tenant-2", parts).size());
    const auto begin = clk::now();
    for (int n = 0; n < hostile && !killed; ++n) {
        std::this_thread::sleep_until(begin + std::chrono::duration_cast<clk::duration>(
                                                  std::chrono::duration<double>(n / hostile_per_s)));
        ++open;
        std::thread([&, n] {
            const std::string id = "h" + std::to_string(n);
            for (int again = 0; again < 3; ++again) {
                const int channel = connect_to(r.front);
                if (channel < 0) break;
                record.line("send %s", id.c_str());
                send_all(channel, request_of(id + "." + std::to_string(again), "key-of-tenant-2", parts));
                reader in{channel};
                const message m = in.next(clk::now() + 16s, true);
                close(channel);
                record.line("answer %s status %d%s", id.c_str(), m.status(), m.complete ? "" : ", cut");
                if (!m.complete && m.status() == 200) ++cut;
                if (m.status() == 200) {
                    ++begun;
                    break;
                }
                ++refused;
                pause_s(0.5);
            }
            --open;
        }).detach();
    }
    for (double until = seconds() + watch_s; seconds() < until && !killed && open > 0;)
        pause_s(0.1);
    pause_s(1);
    over = true;
    for (std::thread& o : ordinary)
        o.join();
    platform.join();
    record.line(
        "memory at the start %zu KB, at most %zu KB; hostile answers begun %d, cut %d, refused %d; ordinary "
        "served %d, not served %d, of these cut on a kept channel %d; killed: %s",
        at_start, most.load(), begun.load(), cut.load(), refused.load(), ordinary_ok.load(),
        ordinary_bad.load(), ordinary_cut.load(), killed ? "yes" : "no");
    if (ordinary_calm_bad > 0) f.finish(could_not_run);
    const bool is_broken = killed && ordinary_cut > most_closed;
    record.line("LOST %s", is_broken ? "broken" : "held");
    f.finish(is_broken ? broken : held);
}
