// A replica sends bytes without end into a stream whose client reads slowly. The router's memory grows past
// its limit, the platform kills it, and the orders of all other clients of that router are lost.

#include "../lab/lab.hpp"

using namespace lab;

namespace {

constexpr double memory_limit_mb = 260;    // memory_mb of the site's front machines
constexpr double link_bytes_per_s = 120e6; // under the 1,000 Mbit/s of a front machine
constexpr int order_clients = 12;

run_log runs;

/// The model replica: a stream of 64 events, and in trouble bytes without end after the first event, until
/// the caller closes.
bool serve_stream(int fd, const message& request) {
    write_all(fd, answer_head(request, 200, "Content-Type: text/event-stream\r\n\r\n"));
    for (int event = 1; event <= 64; ++event) {
        if (!write_all(fd, "id: " + std::to_string(event) + "\ndata: " + std::string(40, 'a') + "\n\n"))
            return false;
        if (!trouble()) {
            sleep_for(0.04);
            continue;
        }
        note("replica i-lm: sends bytes without end from here on");
        const std::string junk(65536, 'x');
        const double begun = seconds();
        double sent = 0;
        while (write_all(fd, junk)) {
            sent += static_cast<double>(junk.size());
            const double ahead = sent / link_bytes_per_s - (seconds() - begun);
            if (ahead > 0) sleep_for(ahead);
        }
        note("replica i-lm: its caller has closed, %.0f MB sent in %.2f s", sent / 1e6, seconds() - begun);
        return false;
    }
    return false;
}

bool serve_order(int fd, const message& request) {
    sleep_for(0.2);
    return write_all(fd, answer_head(request, 200, "Content-Length: 4\r\n\r\ndone"));
}

std::atomic<bool> stop{false};
std::atomic<int> answered{0}, refused{0}, lost{0};

/// Sends one order after the other on a kept channel.
void order_client(int number, const router& r) {
    std::string buffered;
    int fd = -1;
    bool kept = false; // the channel has served a request before
    for (int order = 0; !stop; ++order) {
        if (fd < 0) {
            buffered.clear();
            kept = false;
            fd = connect_to(r.front, 1.0);
            if (fd < 0) {
                sleep_for(0.2);
                continue;
            }
        }
        const std::string id = "o" + std::to_string(number) + "-" + std::to_string(order);
        write_all(fd, request_text("POST", "/order/1", id, 4000, "plate"));
        note("client %d: sends %s on a %s channel", number, id.c_str(), kept ? "kept" : "new");
        message answer;
        const ending end = read_message(fd, buffered, answer, 4.0, true);
        const bool has_run = runs.count(id) > 0;
        note("client %d: %s: %s, status %d", number, id.c_str(), name_of(end), answer.status());
        if (end == ending::complete) {
            ++(answer.status() == 200 ? answered : refused);
        } else {
            note("client %d: %s has no answer; the replica %s it", number, id.c_str(),
                 has_run ? "runs" : "has not seen");
            if (has_run && kept) ++lost;
        }
        if (end != ending::complete || answer.header("Connection") == "close") {
            close(fd);
            fd = -1;
        }
        kept = true;
    }
    if (fd >= 0) close(fd);
}

} // namespace

int main() {
    begin("record.txt");
    store platform_store(ip(1));
    server lm({ip(10), 0}, replica_handler("i-lm", &runs, serve_stream));
    server app({ip(11), 0}, replica_handler("i-app", &runs, serve_order));
    platform_store.put("op/config", manifest(7));
    check_ins registered(platform_store, {{"i-lm", "lm", lm.where(), 64, unix_ms()},
                                          {"i-app", "app", app.where(), 64, unix_ms()}});

    const router_ports ports(ip(2));
    router r(ip(2), ports, platform_store.where(), {});
    r.start();
    r.await_ready();

    // The platform kills a process that exceeds its memory.
    std::atomic<bool> killed{false};
    std::atomic<bool> over{false}; // a process that this thread has started ends with it
    std::atomic<double> most{0};
    std::thread watch([&] {
        while (!over) {
            const double used = r.memory_mb();
            if (!killed) most = std::max(most.load(), used);
            if (!killed && used > memory_limit_mb) {
                killed = true;
                note("platform: router uses %.0f MB of %.0f MB", used, memory_limit_mb);
                r.signal(SIGKILL, "SIGKILL (memory over the limit)");
                sleep_for(0.5);
                r.start();
            }
            sleep_for(0.01);
        }
    });
    std::vector<std::thread> clients;
    for (int i = 0; i < order_clients; ++i)
        clients.emplace_back([&, i] { order_client(i, r); });
    sleep_for(4.0); // contactMs, and more: the machine is in touch

    // A client on a slow link, 100 kB/s, asks for a stream.
    std::thread slow([&] {
        const int fd = connect_to(r.front, 1.0, 65536);
        write_all(fd, request_text("POST", "/archive/1", "s1", 15000, "prompt"));
        note("slow client: asks for stream s1");
        std::size_t got = 0;
        const double begun = seconds();
        read_result end = read_result::data;
        char buffer[4096];
        while (!stop) {
            pollfd waiting{fd, POLLIN, 0};
            if (poll(&waiting, 1, 100) <= 0) continue;
            const ssize_t size = recv(fd, buffer, sizeof buffer, 0);
            if (size <= 0) {
                end = size == 0 ? read_result::end : read_result::reset;
                break;
            }
            got += static_cast<std::size_t>(size);
            const double ahead = static_cast<double>(got) / 100e3 - (seconds() - begun);
            if (ahead > 0) sleep_for(ahead);
        }
        note("slow client: %zu bytes, %s", got, end == read_result::data ? "still open" : "closed");
        close(fd);
    });
    sleep_for(10.0);
    stop = true;
    for (std::thread& client : clients)
        client.join();
    slow.join();
    over = true;
    watch.join();
    note("orders answered %d, refused %d, lost %d; most memory %.0f MB", answered.load(), refused.load(),
         lost.load(), most.load());
    if (answered < 20) give_up("too few orders were served to judge");
    char text[160];
    std::snprintf(text, sizeof text,
                  "%d orders were passed on and their channels closed without an answer (allowed: 3)",
                  lost.load());
    return finish(lost > 3, text);
}
