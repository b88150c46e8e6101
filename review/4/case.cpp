// One part of a prompt crashes each replica half a second after it has begun to write an answer on it.
// Requests with that part keep coming, no two alike. The routers never find the part, and go on sending.

#include "../lab/lab.hpp"

using namespace lab;

namespace {

constexpr int replicas = 12;         // as the site has of its language model
constexpr int routers = 4;           // as the site has
constexpr int events = 30;           // of a stream
constexpr double event_s = 0.1;      // between two events
constexpr int crash_after = 5;       // events of an answer on the bad part: 0.5 s after the first one
constexpr double down_s = 2.5;       // "the replica is back after some seconds"
constexpr double contact_s = 3.0;    // contactMs of the site
constexpr double bad_period_s = 0.5; // between two requests with the bad part, at any router
constexpr double sound_period_s = 0.05;
constexpr double calm_s = 8.0; // before the first request with the bad part
constexpr double bad_s = 25.0;
const std::string bad_part = "bad1:100";

/// A replica's process. It tells the script by lines on its output what has reached it.
int replica_process(const std::string& id, const address& where, bool crashes) {
    const auto say = [](const std::string& what, const std::string& attempt) {
        const auto now = clock::now().time_since_epoch().count();
        const std::string line = what + " " + attempt + " " + std::to_string(now) + "\n";
        (void)!write(STDOUT_FILENO, line.data(), line.size());
    };
    server s(
        where, replica_handler(id, nullptr, [=](int fd, const message& request) {
            const std::string attempt = request.header("Damaskhill-Attempt-Id");
            say("arrives", attempt);
            const bool bad = request.header("Damaskhill-Prompt-Prefix").find(bad_part) != std::string::npos;
            write_all(fd,
                      answer_head(request, 200,
                                  "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"));
            for (int number = 1; number <= events; ++number) {
                const std::string event =
                    "id: " + std::to_string(number) + "\ndata: " + std::string(44, 'a') + "\n\n";
                char size[16];
                std::snprintf(size, sizeof size, "%zx\r\n", event.size());
                if (!write_all(fd, size + event + "\r\n")) return false;
                sleep_for(event_s);
                if (crashes && bad && number == crash_after) {
                    say("crashes", attempt);
                    _exit(1);
                }
            }
            return write_all(fd, "0\r\n\r\n");
        }));
    for (;;)
        pause();
}

struct arrival {
    std::string what, attempt;
    double at{};
};

std::vector<arrival> read_arrivals(const std::filesystem::path& file) {
    std::vector<arrival> list;
    std::ifstream in(file);
    arrival found;
    long long ticks = 0;
    while (in >> found.what >> found.attempt >> ticks) {
        found.at = std::chrono::duration<double>(clock::time_point(clock::duration(ticks)) - started).count();
        list.push_back(found);
    }
    return list;
}

} // namespace

int main(int count, char** words) {
    if (count == 6 && std::string{words[1]} == "replica") {
        std::signal(SIGPIPE, SIG_IGN);
        return replica_process(words[2], {words[3], std::atoi(words[4])}, std::string{words[5]} == "1");
    }
    begin("record.txt");
    store platform_store(ip(1));
    const std::string self = std::filesystem::read_symlink("/proc/self/exe");
    const auto log = temporary_folder() / "replicas.log";
    std::vector<check_ins::registration> list;
    for (int i = 0; i < replicas; ++i) {
        const address where{ip(10 + i), free_port(ip(10 + i))};
        list.push_back({"i-" + std::to_string(i), "lm", where, 64, unix_ms()});
    }
    std::vector<pid_t> processes(replicas);
    const auto start_replica = [&](int i) {
        processes[i] = start_process({self, "replica", list[i].id, list[i].where.ip,
                                      std::to_string(list[i].where.port), trouble() ? "1" : "0"},
                                     log);
    };
    platform_store.put("op/config", manifest(7));
    std::atomic<bool> done{false};
    std::unique_ptr<check_ins> registered;
    std::atomic<bool> running{false};
    // Starts the replicas, and those that crash again.
    std::thread keeper([&] {
        for (int i = 0; i < replicas; ++i)
            start_replica(i);
        sleep_for(0.2);
        registered = std::make_unique<check_ins>(platform_store, list);
        running = true;
        std::vector<double> back_at(replicas, 0);
        while (!done) {
            for (int i = 0; i < replicas; ++i) {
                if (back_at[i] == 0 && waitpid(processes[i], nullptr, WNOHANG) == processes[i]) {
                    note("replica %s: has crashed", list[i].id.c_str());
                    registered->silence(list[i].id);
                    back_at[i] = seconds() + down_s;
                } else if (back_at[i] != 0 && seconds() >= back_at[i]) {
                    start_replica(i);
                    sleep_for(0.05);
                    registered->born_again(list[i].id);
                    note("replica %s: is back", list[i].id.c_str());
                    back_at[i] = 0;
                }
            }
            sleep_for(0.02);
        }
    });
    while (!running)
        sleep_for(0.05);

    const router_ports ports(ip(2));
    std::vector<std::unique_ptr<router>> fleet;
    for (int i = 0; i < routers; ++i)
        fleet.push_back(std::make_unique<router>(ip(2 + i), ports, platform_store.where(),
                                                 std::vector<std::string>{ip(2), ip(3), ip(4)}));
    for (auto& r : fleet)
        r->start();
    for (auto& r : fleet)
        r->await_ready();
    sleep_for(contact_s);

    // By time of sending: asked and begun sound requests.
    struct sound_request {
        double at{};
        bool begun{};
        bool whole{};
    };
    std::mutex mutex;
    std::vector<sound_request> sound;
    std::vector<std::thread> clients;
    const auto client = [&](int number, bool bad) {
        const std::string id = (bad ? "bad-" : "sound-") + std::to_string(number);
        const std::string own = std::to_string(number) + ":100";
        const std::string parts =
            "a1:100," + (bad ? bad_part : "c" + std::to_string(number % 4) + ":100") + "," + own;
        const std::string headers = "Damaskhill-Model: m\r\nDamaskhill-Token-Count: 300,30\r\n"
                                    "Damaskhill-Prompt-Prefix: " +
                                    parts + "\r\n";
        const double at = seconds();
        const outcome found =
            call(fleet[number % routers]->front, id,
                 request_text("POST", "/archive/1", id, 15000, "prompt " + id, headers), 15.0);
        if (bad) return;
        std::lock_guard lock(mutex);
        sound.push_back({at, found.answer.status() == 200, found.end == ending::complete});
    };
    const double begun_at = seconds();
    double next_bad = begun_at + calm_s;
    for (int number = 0; seconds() < begun_at + calm_s + bad_s; ++number) {
        clients.emplace_back(client, number, false);
        if (seconds() >= next_bad) {
            clients.emplace_back(client, 100000 + number, true);
            next_bad += bad_period_s;
        }
        sleep_for(sound_period_s);
    }
    const double ended_at = seconds();
    for (std::thread& c : clients)
        c.join();
    done = true;

    std::vector<double> crashes;
    std::vector<double> bad_arrivals;
    for (const arrival& a : read_arrivals(log)) {
        note("%s %s at %.3f", a.attempt.c_str(), a.what.c_str(), a.at);
        if (a.what == "crashes") crashes.push_back(a.at);
        if (a.what == "arrives" && a.attempt.starts_with("bad-")) bad_arrivals.push_back(a.at);
    }
    std::sort(crashes.begin(), crashes.end());
    const double fifth = crashes.size() < 5 ? ended_at : crashes[4];
    int late = 0;
    constexpr double on_the_way_s = 0.1; // the rule goes by the time of sending
    for (const double at : bad_arrivals)
        late += at > fifth + contact_s + on_the_way_s ? 1 : 0;
    const auto share = [&](double from, double to) {
        int asked = 0;
        int begun = 0;
        int cut = 0;
        for (const sound_request& s : sound) {
            if (s.at < from || s.at >= to) continue;
            ++asked;
            begun += s.begun ? 1 : 0;
            cut += s.begun && !s.whole ? 1 : 0;
        }
        note("sound requests sent from %.1f to %.1f s: %d of %d begun, %d of these cut", from, to, begun,
             asked, cut);
        return asked == 0 ? 0.0 : static_cast<double>(begun) / asked;
    };
    const double before = share(begun_at, begun_at + calm_s);
    if (before < 0.8) give_up("sound requests were not served before the crashes");
    share(begun_at + calm_s, ended_at);
    note("crashes %zu, the fifth at %.1f s; requests with the bad part at replicas %zu, of these later than "
         "contactMs "
         "after the fifth crash %d",
         crashes.size(), fifth, bad_arrivals.size(), late);
    char result[200];
    std::snprintf(
        result, sizeof result,
        "%d requests with the bad part reached replicas later than contactMs after the fifth of %zu "
        "crashes (allowed: 3)",
        late, crashes.size());
    keeper.detach();
    return finish(late > 3, result);
}
