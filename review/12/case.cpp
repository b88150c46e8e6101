// The operator orders the traffic of a service to be moved to a new version. The version is bad on one route
// only: a part of its responses there are failures. TROUBLE=0: the new version is good.
#include "../standins-3/platform.hpp"

using namespace review;

namespace {

constexpr double calm_s = 4;
constexpr int duration_s = 30;         // durationS of the order
constexpr double watch_s = 40;         // from the order
constexpr double per_s = 120;          // requests on both routes
constexpr int one_in = 8;              // requests go to the route on which the version is bad
constexpr double failing = 0.35;       // of its responses there
constexpr double exposure_share = 0.1; // the sheet
constexpr int exposure_slack = 50;
constexpr double rollback_s = 5.0;      // rollbackMs
constexpr std::size_t bad_answers = 50; // RULES.md, EXPOSURE

struct arrival {
    double at{};
    double sent{};
    bool is_new{};
};

struct book {
    std::mutex mutex;
    std::vector<arrival> arrivals; // from the order on
    std::vector<double> bad;       // answers of the new version
    std::map<std::string, double> sent;
    double ordered{1e9};
};

class version_replica {
public:
    std::string id, zone, address, version;
    bool is_bad{};
    record_file* record{};
    book* all{};

    bool start(store& platform) {
        platform_ = &platform;
        born_ = unix_ms();
        if (!server_->start(address, [this](int channel) { serve(channel); })) return false;
        put("ready");
        return true;
    }
    void drain() { put("draining"); }
    /// At once, as old replicas at `completed`.
    void stop() {
        stopped_ = true;
        platform_->remove("servers/" + id);
        server_.reset();
    }

private:
    void put(const char* state) {
        json entry = registration("orders-app", address, zone, 64, born_, ++sequence_);
        entry["version"] = version;
        entry["state"] = state;
        platform_->put("servers/" + id, entry);
    }
    void serve(int channel) {
        reader in{channel};
        while (!stopped_) {
            const message m = in.next(clk::now() + 60s, false);
            if (!m.complete || stopped_) break;
            const std::string attempt = m.get("Damaskhill-Attempt-Id");
            if (m.get("Damaskhill-Expect-Replica") != id) {
                send_all(channel,
                         answer_text(421,
                                     {{"Damaskhill-Attempt-Id", attempt}, {"Damaskhill-Not-Executed", "1"}},
                                     ""));
                continue;
            }
            bool fails = false;
            {
                std::lock_guard lock{all->mutex};
                const bool is_new = version == "v2";
                if (seconds() >= all->ordered)
                    all->arrivals.push_back({seconds(), all->sent[attempt], is_new});
                if (is_bad && m.path().rfind("/returns/", 0) == 0)
                    fails = static_cast<double>(number_++ * 37 % 100) < failing * 100;
            }
            pause_s(0.03);
            if (!send_all(channel, answer_text(fails ? 500 : 200,
                                               {{"Damaskhill-Attempt-Id", attempt},
                                                {"Damaskhill-Replica-Seal", "seal." + attempt},
                                                {"Keep-Alive", "timeout=60"}},
                                               fails ? "failed" : "done " + attempt)))
                break;
            record->line("run %s at %s (%s)%s", attempt.c_str(), id.c_str(), version.c_str(),
                         fails ? ", failed" : "");
            if (!fails) continue;
            std::lock_guard lock{all->mutex};
            all->bad.push_back(seconds());
        }
        close(channel);
    }
    store* platform_{};
    std::unique_ptr<server> server_ = std::make_unique<server>();
    std::atomic<bool> stopped_{};
    std::uint64_t born_{};
    int sequence_{};
    int number_{};
};

} // namespace

int main(int, char** arguments) {
    record_file record{std::string{arguments[1]} + "/record.txt"};
    fleet f{2};
    book all;
    std::vector<std::unique_ptr<version_replica>> old_ones, new_ones;
    const auto add = [&](std::vector<std::unique_ptr<version_replica>>& list, int number,
                         const char* version) {
        list.push_back(std::make_unique<version_replica>());
        version_replica& r = *list.back();
        r.id = "i-" + std::to_string(number);
        r.zone = std::string{"zone-"} + "abc"[number % 3];
        r.address = loopback(100 + number) + ":" + std::to_string(free_port({loopback(100 + number)}));
        r.version = version;
        r.record = &record;
        r.all = &all;
        return r.start(f.platform);
    };
    for (int i = 0; i < 3; ++i)
        if (!add(old_ones, i, "v1")) f.finish(could_not_run);
    f.platform.put("op/config", manifest({route("orders", "non_idempotent", "orders-app", 2000, 300, 1),
                                          route("returns", "non_idempotent", "orders-app", 2000, 300, 1)},
                                         {json{{"name", "orders-app"}, {"healthPath", "/health"}}}));
    std::atomic<bool> over{};
    std::string final_state;
    double final_at = 0;
    f.platform.on_write = [&](const std::string& key, const std::string& value) {
        const json status = json::parse(value, nullptr, false);
        record.line("the system writes %s: %s", key.c_str(), value.c_str());
        const std::string state = status.is_object() ? status.value("state", "") : "";
        if (state == "running" || !final_state.empty()) return;
        final_state = state;
        final_at = seconds();
        std::thread([&, state] {
            if (state == "completed")
                for (auto& r : old_ones)
                    r->stop();
            if (state != "rolled_back") return;
            pause_s(2); // "the new replicas drain some seconds later"
            for (auto& r : new_ones)
                r->drain();
        }).detach();
    };
    if (!f.start()) f.finish(could_not_run);
    pause_s(1);

    std::atomic<int> served{}, failed{}, refused{}, cut{}, calm_bad{};
    constexpr int clients = 40;
    std::vector<std::thread> threads;
    const auto begin = clk::now();
    for (int c = 0; c < clients; ++c) {
        threads.emplace_back([&, c] {
            const std::string address = f.routers[static_cast<std::size_t>(c % 2)].front;
            int channel = -1;
            std::unique_ptr<reader> in;
            for (int n = 0; !over; ++n) {
                std::this_thread::sleep_until(begin +
                                              std::chrono::duration_cast<clk::duration>(
                                                  std::chrono::duration<double>((n * clients + c) / per_s)));
                if (over) break;
                if (channel < 0) {
                    channel = connect_to(address);
                    in = std::make_unique<reader>(channel);
                }
                const std::string attempt = std::to_string(c) + "-" + std::to_string(n);
                const bool is_return = (n * clients + c) / 2 % one_in == 0;
                {
                    std::lock_guard lock{all.mutex};
                    all.sent[attempt] = seconds();
                }
                record.line("send %s %s", attempt.c_str(), is_return ? "/returns/1" : "/orders/1");
                headers h = with_key;
                h.emplace_back("Damaskhill-Attempt-Id", attempt);
                h.emplace_back("Damaskhill-Deadline-Remaining", "4000");
                send_all(channel, request_text("POST", is_return ? "/returns/1" : "/orders/1",
                                               "review.example", h, "order"));
                const message m = in->next(clk::now() + 4s, true);
                const int status = m.complete ? m.status() : 0;
                if (status == 200)
                    ++served;
                else if (status == 500)
                    ++failed;
                else if (status == 503)
                    ++refused;
                else
                    ++cut;
                record.line("answer %s status %d", attempt.c_str(), status);
                if (status != 200 && seconds() < calm_s) ++calm_bad;
                if (!m.complete || lower(m.get("Connection")) == "close") {
                    close(channel);
                    channel = -1;
                }
            }
        });
    }
    pause_s(calm_s);
    for (int i = 3; i < 6; ++i) {
        if (!add(new_ones, i, "v2")) f.finish(could_not_run);
        new_ones.back()->is_bad = trouble();
    }
    double ordered = 0;
    {
        std::lock_guard lock{all.mutex};
        ordered = all.ordered = seconds();
    }
    record.line("order: orders-app to v2, durationS %d; v2 is %s", duration_s,
                trouble() ? "bad on /returns/" : "good");
    f.platform.put("op/rollout/orders-app",
                   {{"service", "orders-app"}, {"target", "v2"}, {"durationS", duration_s}});
    pause_s(watch_s);
    over = true;
    for (std::thread& t : threads)
        t.join();

    std::lock_guard lock{all.mutex};
    std::sort(all.bad.begin(), all.bad.end());
    int reached = 0, exposed = 0, after = 0;
    const double fiftieth = all.bad.size() >= bad_answers ? all.bad[bad_answers - 1] : 1e9;
    for (const arrival& a : all.arrivals) {
        if (a.at < ordered + duration_s) {
            ++reached;
            exposed += a.is_new ? 1 : 0;
        }
        if (a.is_new && a.sent > fiftieth + rollback_s) ++after;
    }
    record.line("status written: %s after %.1f s; until the time limit %d requests reached the service, %d "
                "of them v2 "
                "(allowed for a bad version: %.0f); bad answers %zu, the 50th after %.1f s; requests at v2 "
                "sent later "
                "than rollbackMs after it: %d",
                final_state.empty() ? "none" : final_state.c_str(), final_at - ordered, reached, exposed,
                exposure_share * reached + exposure_slack, all.bad.size(),
                fiftieth > 1e8 ? -1.0 : fiftieth - ordered, after);
    record.line("clients: served %d, failed %d, refused %d, no answer %d; failed in calm %d", served.load(),
                failed.load(), refused.load(), cut.load(), calm_bad.load());
    if (calm_bad > 0) f.finish(could_not_run);
    const bool is_broken = trouble() && (exposed > exposure_share * reached + exposure_slack || after > 0);
    record.line("EXPOSURE %s", is_broken ? "broken" : "held");
    f.finish(is_broken ? broken : held);
}
