// Case: requests inside the declared limits whose heads hold many short headers; while replicas answer them,
// the router's memory grows beyond its machine's.
//
// many_headers PROGRAM DIRECTORY RECORD
#include "fleet.hpp"

using namespace review;

namespace {

constexpr long memory_mb = 110;            // of a front machine of the site
constexpr std::size_t head_limit = 16'384; // limits.maxHeaderBytes of the manifest
constexpr std::size_t streams = 460;       // at once; the replicas take 12 x 64

/// Fills the head of a request up to the limit: with headers of four bytes, or with one long header.
std::string filling(std::size_t size) {
    if (!trouble()) return "X-Fillings: " + std::string(size - 14, 'a') + "\r\n";
    std::string lines;
    while (lines.size() + 4 <= size)
        lines += "b:\r\n";
    return lines;
}

/// Ordinary clients that send one order after the other on kept channels.
class kept_clients {
public:
    kept_clients(fleet& in, int count) : fleet_(in) {
        for (int i = 0; i < count; ++i)
            threads_.emplace_back([this] { run(); });
    }
    ~kept_clients() { stop(); }
    kept_clients(const kept_clients&) = delete;
    kept_clients& operator=(const kept_clients&) = delete;
    void stop() {
        stopped_ = true;
        for (std::thread& thread : threads_) {
            if (thread.joinable()) thread.join();
        }
    }
    std::atomic<int> served{0};
    // Orders that reached a replica, on a channel that had served one before, and whose channel then closed
    // without an answer.
    std::atomic<int> lost{0};

private:
    void run() {
        while (!stopped_) {
            const int fd = connect_to(fleet_.places[0].front_at(), 1000);
            if (fd < 0) {
                pause_for(100);
                continue;
            }
            for (int on_channel = 0; !stopped_; ++on_channel) {
                const std::string attempt = new_attempt_id();
                const std::string text =
                    "POST /order/9 HTTP/1.1\r\nHost: shop.example\r\nDamaskhill-Attempt-Id: " + attempt +
                    "\r\nDamaskhill-Deadline-Remaining: 4000\r\nAuthorization: Token key-alfa\r\n" +
                    "Content-Length: 2\r\n\r\nhi";
                if (!send_all(fd, text, 1000)) break;
                const answer got = read_answer(fd, steady::now() + milliseconds{4000});
                fleet_.record.line("order " + attempt + ": status " + std::to_string(got.status) +
                                   (got.complete ? ", complete" : ", not complete"));
                if (got.status == 200 && got.complete) {
                    ++served;
                    if (header_of(got.head, "Connection") != "close") continue;
                }
                const bool ran =
                    std::ranges::any_of(fleet_.replicas, [&](auto& it) { return it->has_begun(attempt); });
                if (got.status == 0 && !got.timed_out && on_channel > 0 && ran) {
                    ++lost;
                    fleet_.record.line("order " + attempt +
                                       " has reached a replica; its channel closes without an answer");
                }
                break;
            }
            ::close(fd);
        }
    }
    fleet& fleet_;
    std::atomic<bool> stopped_{false};
    std::vector<std::thread> threads_;
};

} // namespace

int main(int argc, char** argv) {
    if (argc != 4 || !need_descriptors(4200)) return not_run;
    record_file record{argv[3]};
    fleet_options options;
    options.routers = 1;
    options.engines = 12;
    options.events = 46;
    options.event_gap_ms = 250;
    options.work_ms = 200;
    options.more_settings = ",\"memory_mb\":" + std::to_string(memory_mb); // what the machine's sysinfo says
    fleet shop{record, argv[1], argv[2], options};
    if (!shop.start()) return not_run;
    pause_for(1000);
    const long at_rest = shop.routers[0]->status_kb("RssAnon:");
    record.line("memory at rest: " + std::to_string(at_rest) + " kB of " + std::to_string(memory_mb * 1024));
    kept_clients orders{shop, 10};
    std::vector<int> channels;
    std::vector<std::string> received; // the streams are read as they come
    std::vector<std::string> attempts;
    const auto read_all = [&] {
        for (std::size_t i = 0; i < channels.size(); ++i)
            receive_some(channels[i], received[i], 0);
    };
    const auto until = steady::now() + milliseconds{30'000};
    long peak = at_rest;
    bool killed = false;
    const auto look = [&] {
        const long now = shop.routers[0]->status_kb("RssAnon:");
        peak = std::max(peak, now);
        if (killed || now <= memory_mb * 1024) return;
        record.line("the router holds " + std::to_string(now) + " kB (RssAnon) with " +
                    std::to_string(channels.size()) + " streams open; the platform kills it");
        shop.routers[0]->signal(SIGKILL);
        killed = true;
    };
    for (std::size_t i = 0; i < streams && !killed && steady::now() < until; ++i) {
        const int fd = connect_to(shop.places[0].front_at(), 1000);
        if (fd < 0) break;
        const std::string attempt = new_attempt_id();
        const std::string plain = fleet::chat("key-beta", attempt, 12000, "10,100");
        send_all(fd, fleet::chat("key-beta", attempt, 12000, "10,100", filling(head_limit - plain.size())));
        record.line("stream " + attempt + " is sent");
        attempts.push_back(attempt);
        channels.push_back(fd);
        received.emplace_back();
        if (i % 10 == 0) read_all();
        pause_for(27); // 37 requests a second
        look();
    }
    for (int i = 0; i < 140 && !killed; ++i) { // until the last stream has ended
        look();
        read_all();
        pause_for(100);
    }
    pause_for(200);
    std::size_t begun = 0;
    std::size_t cut = 0;
    std::map<int, int> statuses;
    for (std::size_t i = 0; i < channels.size(); ++i) {
        while (receive_some(channels[i], received[i], 0) == receive_state::data) {
        }
        const bool has_head = received[i].find("\r\n\r\n") != std::string::npos;
        const int status = has_head ? std::atoi(received[i].c_str() + received[i].find(' ') + 1) : 0;
        ++statuses[status];
        if (status == 200) ++begun;
        const bool whole = received[i].ends_with("0\r\n\r\n");
        if (status == 200 && !whole) ++cut;
        record.line("stream " + attempts[i] + ": status " + std::to_string(status) +
                    (whole ? ", whole" : ", not whole"));
        ::close(channels[i]);
    }
    orders.stop();
    for (const auto& [status, count] : statuses)
        record.line("streams with status " + std::to_string(status) + ": " + std::to_string(count));
    for (const auto& server : shop.replicas)
        record.line(server->id + " (" + server->service + "): " + std::to_string(server->runs) + " runs");
    record.line("peak memory: " + std::to_string(peak) + " kB; streams begun: " + std::to_string(begun) +
                ", not whole: " + std::to_string(cut) + "; orders on kept channels: " +
                std::to_string(orders.served) + " served, " + std::to_string(orders.lost) + " lost");
    if (!killed && begun < streams / 2) return not_run; // too few ran at once
    // LOST: more than three times.
    return orders.lost > 3 ? broken : held;
}
