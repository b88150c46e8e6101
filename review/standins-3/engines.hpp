// Model replicas that a part of a prompt crashes, and clients of them, for the case 13.
#pragma once

#include "platform.hpp"

namespace review {

/// When replicas crashed, and when requests with the deadly part reached one.
struct crash_book {
    std::mutex mutex;
    std::vector<double> crashes;
    std::vector<double> deadly_arrivals;
    std::vector<int> arrivals_by_router;
};

/// A model replica: streams a few events. While `deadly` is set it crashes when it begins to write an answer
/// to a request that has this part: its channels are reset, nobody listens, and it is back after some
/// seconds.
class engine {
public:
    std::string id, zone, address, deadly;
    record_file* record{};
    crash_book* book{};
    double down_s{2.5};

    bool start(store& platform) {
        platform_ = &platform;
        return up();
    }

private:
    bool up() {
        server_ = std::make_unique<server>();
        if (!server_->start(address, [this](int channel) { serve(channel); })) return false;
        down_ = false;
        platform_->put("servers/" + id, registration("lm", address, zone, 64, unix_ms()));
        return true;
    }
    void crash(const std::string& attempt) {
        std::lock_guard lock{mutex_};
        if (down_.exchange(true)) return;
        record->line("crash of %s at %s", id.c_str(), attempt.c_str());
        {
            std::lock_guard book_lock{book->mutex};
            book->crashes.push_back(seconds());
        }
        if (restart_.joinable()) restart_.join();
        restart_ = std::thread([this] {
            server_.reset(); // refuses channels from here on
            {
                std::lock_guard channel_lock{channels_mutex_};
                for (const int channel : channels_) {
                    const linger now{1, 0};
                    setsockopt(channel, SOL_SOCKET, SO_LINGER, &now, sizeof now);
                    shutdown(channel, SHUT_RDWR);
                }
            }
            pause_s(down_s);
            up();
            record->line("%s is back", id.c_str());
        });
    }
    void serve(int channel) {
        {
            std::lock_guard lock{channels_mutex_};
            channels_.insert(channel);
        }
        reader in{channel};
        while (!down_) {
            const message m = in.next(clk::now() + 60s, false);
            if (!m.complete || down_) break;
            if (!answer(channel, m)) break;
        }
        {
            std::lock_guard lock{channels_mutex_};
            channels_.erase(channel);
        }
        if (down_)
            reset(channel);
        else
            close(channel);
    }
    bool answer(int channel, const message& m) {
        const std::string attempt = m.get("Damaskhill-Attempt-Id");
        if (m.get("Damaskhill-Expect-Replica") != id)
            return send_all(
                channel,
                answer_text(421, {{"Damaskhill-Attempt-Id", attempt}, {"Damaskhill-Not-Executed", "1"}}, ""));
        const bool is_deadly =
            !deadly.empty() &&
            ("," + m.get("Damaskhill-Prompt-Prefix")).find("," + deadly + ":") != std::string::npos;
        record->line("run %s at %s%s", attempt.c_str(), id.c_str(), is_deadly ? " (has the part)" : "");
        if (is_deadly) {
            std::lock_guard lock{book->mutex};
            book->deadly_arrivals.push_back(seconds());
        }
        pause_s(0.05); // reads the prompt
        if (is_deadly) {
            crash(attempt);
            return false;
        }
        bool ok = send_all(channel, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                                    "Damaskhill-Attempt-Id: " +
                                        attempt + "\r\nDamaskhill-Replica-Seal: seal." + attempt +
                                        "\r\nKeep-Alive: timeout=60\r\nTransfer-Encoding: chunked\r\n\r\n");
        for (int i = 1; ok && !down_ && i <= 6; ++i) {
            const std::string event = "id: " + std::to_string(i) + "\ndata: " + attempt + "\n\n";
            char size[16];
            std::snprintf(size, sizeof size, "%zx\r\n", event.size());
            ok = send_all(channel, size + event + "\r\n");
            pause_s(0.03);
        }
        return ok && !down_ && send_all(channel, "0\r\n\r\n");
    }
    store* platform_{};
    std::unique_ptr<server> server_;
    std::atomic<bool> down_{};
    std::mutex mutex_, channels_mutex_;
    std::set<int> channels_;
    std::thread restart_;
};

struct prompt {
    std::string model;
    std::string parts;
    int tokens{};
};

/// One request on a channel of its own; the status of a whole answer, else 0.
inline int ask(const std::string& address, const std::string& attempt, const prompt& p, record_file& record) {
    const int channel = connect_to(address);
    if (channel < 0) return 0;
    headers h = with_key;
    h.emplace_back("Damaskhill-Attempt-Id", attempt);
    h.emplace_back("Damaskhill-Deadline-Remaining", "6000");
    h.emplace_back("Damaskhill-Model", p.model);
    h.emplace_back("Damaskhill-Token-Count", std::to_string(p.tokens) + ",40");
    h.emplace_back("Damaskhill-Prompt-Prefix", p.parts);
    record.line("send %s", attempt.c_str());
    send_all(channel, request_text("POST", "/chat/" + attempt, "review.example", h, "question " + attempt));
    reader in{channel};
    const message m = in.next(clk::now() + 6s, true);
    close(channel);
    record.line("answer %s status %d%s%s", attempt.c_str(), m.status(), m.complete ? "" : ", cut ",
                m.complete && m.status() != 200 ? (" " + m.body.substr(0, m.body.find('\n'))).c_str() : "");
    return m.complete ? m.status() : 0;
}

struct deadly_run {
    std::string deadly;                                  // id of the part
    std::function<prompt(bool deadly, int number)> make; // no two alike
    double length_s{60};
};

/// Sound requests at 20 a second and one with the part each 0.7 s, at two routers. Judges the rule of the
/// news.
[[noreturn]] inline void run_deadly(const std::string& directory, const deadly_run& run) {
    record_file record{directory + "/record.txt"};
    fleet f{2};
    crash_book book;
    std::vector<std::unique_ptr<engine>> engines;
    for (int i = 0; i < 6; ++i) {
        engines.push_back(std::make_unique<engine>());
        engine& e = *engines.back();
        e.id = "i-" + std::to_string(i + 1);
        e.zone = std::string{"zone-"} + "ab"[i % 2];
        e.address = loopback(100 + i) + ":" + std::to_string(free_port({loopback(100 + i)}));
        e.record = &record;
        e.book = &book;
        if (trouble()) e.deadly = run.deadly;
        if (!e.start(f.platform)) f.finish(could_not_run);
    }
    json chat = route("chat", "streaming", "lm", 6000, 800, 1);
    chat["targetGapMs"] = 500;
    chat["streamResume"] = false;
    chat["sessionAffinity"] = true;
    f.platform.put("op/config",
                   manifest({chat}, {json{{"name", "lm"},
                                          {"healthPath", "/health"},
                                          {"engine", {{"capacity", 64}, {"kvCapacity", 544695}}}}}));
    if (!f.start()) f.finish(could_not_run);
    pause_s(4); // contactMs is 3,000, from the start of the routers
    std::atomic<int> sound_sent{}, sound_served{}, open{};
    const auto begin = clk::now();
    for (int n = 0; seconds() < run.length_s; ++n) {
        std::this_thread::sleep_until(begin + n * 50ms);
        const std::string address = f.routers[static_cast<std::size_t>(n % 2)].front;
        const bool deadly = n % 14 == 13;
        ++open;
        std::thread([&, n, address, deadly] {
            if (!deadly) ++sound_sent;
            const int status =
                ask(address, (deadly ? "d" : "s") + std::to_string(n), run.make(deadly, n), record);
            if (!deadly && status == 200) ++sound_served;
            --open;
        }).detach();
    }
    while (open > 0)
        pause_s(0.05);
    bool alive = true;
    for (router& r : f.routers)
        alive = alive && r.alive();
    std::lock_guard lock{book.mutex};
    constexpr std::size_t counted_crash = 5;
    constexpr double contact_s = 3.0;
    constexpr double way_s = 0.1; // the rule goes by the sending, seen is the arrival
    constexpr int most = 3;
    int after = 0;
    if (book.crashes.size() >= counted_crash)
        for (const double at : book.deadly_arrivals)
            if (at > book.crashes[counted_crash - 1] + contact_s + way_s) ++after;
    record.line("crashes %zu; requests with the part that reached replicas %zu, of these %d later than "
                "contactMs after "
                "the fifth crash; sound requests served whole: %d of %d; routers alive: %s",
                book.crashes.size(), book.deadly_arrivals.size(), after, sound_served.load(),
                sound_sent.load(), alive ? "yes" : "no");
    const bool is_broken = after > most;
    record.line("BUDGET %s", is_broken ? "broken" : "held");
    f.finish(is_broken ? broken : held);
}

} // namespace review
