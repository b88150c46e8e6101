// Runs the real router processes against a stand-in platform under random faults from a seed, and checks the
// promises from what callers and targets see. Exits with 1 if one is broken.
//
// Index of this file:
// [SECTION] Options
// [SECTION] Routers
// [SECTION] Faults
// [SECTION] Program

#include "damaskhill_soak_callers.hpp"

#include <csignal>
#include <cstdio>
#include <filesystem>
#include <fstream>

#include <fcntl.h>
#include <getopt.h>
#include <sys/wait.h>
#include <unistd.h>

using namespace damaskhill;
using namespace damaskhill::soak;

namespace {

//-----------------------------------------------------------------------------
// [SECTION] Options
//-----------------------------------------------------------------------------

struct soak_options {
    std::string router; // program
    std::uint64_t seed{1};
    std::size_t seconds{20}; // of faults; the calm end comes in addition
    std::size_t routers{5};
    std::size_t engines{6};
    std::size_t apps{3};
    std::size_t callers{48};
    std::string directory; // of settings and logs
    bool quiet{};          // no line for each fault
};

std::optional<soak_options> parse_options(int argc, char** argv) {
    static const option table[] = {{"router", required_argument, nullptr, 'r'},
                                   {"seed", required_argument, nullptr, 's'},
                                   {"seconds", required_argument, nullptr, 't'},
                                   {"routers", required_argument, nullptr, 'n'},
                                   {"engines", required_argument, nullptr, 'e'},
                                   {"callers", required_argument, nullptr, 'c'},
                                   {"directory", required_argument, nullptr, 'd'},
                                   {"quiet", no_argument, nullptr, 'q'},
                                   {nullptr, 0, nullptr, 0}};
    soak_options options;
    const auto number = [] { return std::strtoull(optarg, nullptr, 10); };
    for (int letter = 0; (letter = getopt_long(argc, argv, "", table, nullptr)) != -1;) {
        switch (letter) {
        case 'r':
            options.router = optarg;
            break;
        case 's':
            options.seed = number();
            break;
        case 't':
            options.seconds = number();
            break;
        case 'n':
            options.routers = number();
            break;
        case 'e':
            options.engines = number();
            break;
        case 'c':
            options.callers = number();
            break;
        case 'd':
            options.directory = optarg;
            break;
        case 'q':
            options.quiet = true;
            break;
        default:
            return std::nullopt;
        }
    }
    const bool sizes_fit = options.routers >= 1 && options.routers <= 200 && options.engines >= 1 &&
                           options.engines <= 200 && options.callers >= 1;
    if (options.router.empty() || options.directory.empty() || !sizes_fit) return std::nullopt;
    return options;
}

//-----------------------------------------------------------------------------
// [SECTION] Routers
//-----------------------------------------------------------------------------

/// Runs of the soak beside each other use different parts of the loopback network.
std::string loopback(int part, std::size_t number) {
    return "127." + std::to_string(10 + getpid() % 200) + "." + std::to_string(part) + "." +
           std::to_string(number + 1);
}

constexpr const char* http_port = ":8101";
constexpr const char* store_port = ":8201";
constexpr const char* target_port = ":8301";
constexpr duration grace = 8s;       // from SIGTERM to the end of a process, as in the settings
constexpr duration grace_slack = 2s; // for a machine that is busy

class router_process {
public:
    router_process(event_loop& loop, const soak_options& options, std::size_t number,
                   const std::string& store)
        : callers_path(loop, loopback(1, number) + http_port, loopback(2, number) + http_port),
          store_path(loop, loopback(3, number) + store_port, store),
          options_(options),
          number_(number) {}

    fault_proxy callers_path;
    fault_proxy store_path;
    pid_t pid{};
    bool told_to_end{};
    bool paused{};
    std::optional<time_point> terminated;

    void write_settings(bool readable) const;
    void start();
    void signal(int number) const {
        if (pid > 0) ::kill(pid, number);
    }
    [[nodiscard]] std::string file(const char* ending) const {
        return options_.directory + "/router-" + std::to_string(number_) + ending;
    }

private:
    const soak_options& options_;
    std::size_t number_;
};

void router_process::write_settings(bool readable) const {
    json seeds = json::array();
    for (std::size_t i = 0; i < std::min<std::size_t>(3, options_.routers); ++i)
        seeds.push_back(loopback(2, i) + ":8103");
    const std::string self = loopback(2, number_);
    const json settings{{"name", "router-" + std::to_string(number_)},
                        {"data_centre", "dc-" + std::to_string(number_ % 2)},
                        {"http_address", self + http_port},
                        {"ready_address", self + ":8102"},
                        {"control_address", self + ":8103"},
                        {"report_address", self + ":8104"},
                        {"store_address", store_path.address()},
                        {"seeds", seeds},
                        {"link_keys", {{{"number", 1}, {"secret", "secret of the soak's routers"}}}},
                        {"key_limit_ms", 5000},
                        {"stop_limit_s", 8}};
    std::ofstream{file(".json")} << (readable ? settings.dump(1) : std::string{"{\"name\": "});
}

void router_process::start() {
    told_to_end = false;
    paused = false;
    terminated.reset();
    const std::string settings = file(".json");
    const std::string log = file(".log");
    pid = ::fork();
    if (pid != 0) return;
    const int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    ::dup2(out, STDOUT_FILENO);
    ::dup2(out, STDERR_FILENO);
    // Sockets of the soak must not stay open in the child.
    constexpr int first_other = 3;
    ::close_range(first_other, ~0U, 0);
    ::execl(options_.router.c_str(), options_.router.c_str(), "--settings", settings.c_str(), nullptr);
    ::_exit(127);
}

//-----------------------------------------------------------------------------
// [SECTION] Faults
//-----------------------------------------------------------------------------

class soak_run {
public:
    soak_run(event_loop& loop, const soak_options& options);
    [[nodiscard]] bool start(failure& why);
    [[nodiscard]] int report() const;

private:
    void declare();
    void inject();
    void inject_into_router(std::size_t number);
    void inject_into_path(fault_proxy& path, int router);
    void inject_into_store();
    void inject_into_target();
    void take_key_away();
    void watch_children();
    void begin_calm();
    void finish();
    duration between(std::int64_t least_ms, std::int64_t most_ms) {
        return (least_ms +
                static_cast<std::int64_t>(random_.next() % static_cast<std::uint64_t>(most_ms - least_ms))) *
               1ms;
    }
    /// Notes a fault that may break answers off at a router until some time after its end.
    void note(const char* kind, int router, duration length);

    event_loop& loop_;
    soak_options options_;
    random_source random_;
    run_ledger ledger_;
    platform_store store_;
    std::vector<std::unique_ptr<router_process>> routers_;
    std::vector<std::unique_ptr<soak_target>> targets_;
    std::unique_ptr<soak_callers> callers_;
    std::uint64_t version_{1};
    std::string revoked_;
    std::map<std::string, std::uint64_t> injected_;
    time_point started_{};
    bool calm_{};
    caller_counts before_calm_;
};

soak_run::soak_run(event_loop& loop, const soak_options& options)
    : loop_(loop), options_(options), random_{options.seed}, store_(loop) {
    const std::string store = loopback(4, 0) + store_port;
    std::vector<std::string> addresses;
    for (std::size_t i = 0; i < options_.routers; ++i) {
        routers_.push_back(std::make_unique<router_process>(loop, options_, i, store));
        addresses.push_back(routers_.back()->callers_path.address());
    }
    for (std::size_t i = 0; i < options_.engines + options_.apps; ++i) {
        target_settings settings;
        settings.engine = i < options_.engines;
        settings.service = settings.engine ? "lm" : "app";
        settings.address = loopback(5, i) + target_port;
        settings.proxy_address = loopback(6, i) + target_port;
        settings.data_centre = "dc-" + std::to_string(i % 2);
        settings.slots = settings.engine ? 16 : 6;
        targets_.push_back(std::make_unique<soak_target>(loop, store_, ledger_, settings));
    }
    callers_ = std::make_unique<soak_callers>(loop, ledger_, addresses, options.seed);
}

void soak_run::declare() {
    json routes = json::array();
    const auto add = [&](const char* name, const char* kind, const char* service, bool resumable,
                         int attempts) {
        routes.push_back({{"name", name},
                          {"host", "soak.example"},
                          {"pathPrefix", std::string{"/"} + name + "/"},
                          {"kind", kind},
                          {"service", service},
                          {"streamResume", resumable},
                          {"maxAttempts", attempts},
                          {"timeoutMs", 6000},
                          {"targetLatencyMs", 500},
                          {"targetGapMs", 500}});
    };
    add("order", "non_idempotent", "app", false, 2);
    add("stock", "idempotent", "app", false, 2);
    add("chat", "streaming", "lm", true, 2);
    add("review", "streaming", "lm", false, 1);
    json accounts = json::array();
    for (int i = 0; i < 3; ++i) {
        const std::string key = "key-" + std::to_string(i);
        json keys = json::array();
        if (key != revoked_) keys.push_back(key);
        accounts.push_back({{"name", "account-" + std::to_string(i)}, {"apiKeys", keys}});
    }
    const json services{{{"name", "lm"}, {"engine", {{"capacity", 16}, {"kvCapacity", 400000}}}},
                        {{"name", "app"}}};
    store_.put("op/config", {{"version", version_++},
                             {"routes", routes},
                             {"services", services},
                             {"tenants", accounts},
                             {"limits", {{"tokensPerS", 300000}}}});
}

bool soak_run::start(failure& why) {
    if (!store_.listen(loopback(4, 0) + store_port, why)) return false;
    declare();
    for (const auto& target : targets_) {
        if (!target->listen(why)) return false;
        target->join();
    }
    for (const auto& router : routers_) {
        router->write_settings(true);
        router->start();
    }
    started_ = wall_clock();
    callers_->add_window({every_router, started_, started_ + 2s}); // routers start
    loop_.after(1s, [this] { callers_->start(options_.callers); });
    loop_.after(2s, [this] { inject(); });
    constexpr duration child_period = 20ms;
    loop_.every(child_period, [this] { watch_children(); });
    loop_.after(options_.seconds * 1s + 2s, [this] { begin_calm(); });
    return true;
}

void soak_run::note(const char* kind, int router, duration length) {
    ++injected_[kind];
    // Connections that a fault has harmed may end later, when a limit of a router is reached.
    constexpr duration aftermath = 4s;
    const time_point now = wall_clock();
    callers_->add_window({router, now, now + length + aftermath});
    if (!options_.quiet)
        std::printf("%7.2f s  %-16s router %2d  for %lld ms\n", to_seconds(now - started_), kind, router,
                    static_cast<long long>(length / 1ms));
}

void soak_run::inject() {
    if (calm_) return;
    switch (random_.next() % 8) {
    case 0:
    case 1:
        inject_into_router(random_.next() % routers_.size());
        break;
    case 2: {
        const std::size_t number = random_.next() % routers_.size();
        inject_into_path(routers_[number]->callers_path, static_cast<int>(number));
        break;
    }
    case 3: {
        const std::size_t number = random_.next() % routers_.size();
        inject_into_path(routers_[number]->store_path, static_cast<int>(number));
        break;
    }
    case 4:
        inject_into_store();
        break;
    case 5:
        inject_into_path(targets_[random_.next() % targets_.size()]->proxy, every_router);
        break;
    case 6:
        inject_into_target();
        break;
    default:
        take_key_away();
        break;
    }
    // Faults come in series that overlap.
    loop_.after(between(50, 900), [this] { inject(); });
}

void soak_run::inject_into_router(std::size_t number) {
    router_process& router = *routers_[number];
    const auto index = static_cast<int>(number);
    if (router.pid <= 0 || router.told_to_end) return;
    switch (random_.next() % 4) {
    case 0:
        note("kill", index, 1s);
        router.told_to_end = true;
        router.signal(SIGKILL);
        break;
    case 1:
        // A planned stop breaks nothing off, so it opens no window. Callers that come during its end find no
        // connection.
        ++injected_["stop"];
        if (router.paused) return;
        router.told_to_end = true;
        router.terminated = wall_clock();
        router.signal(SIGTERM);
        break;
    case 2: {
        const duration length = between(100, 3000);
        note("pause", index, length);
        router.paused = true;
        router.signal(SIGSTOP);
        loop_.after(length, [&router] {
            router.paused = false;
            router.signal(SIGCONT);
        });
        break;
    }
    default:
        ++injected_["hangup"];
        router.write_settings(random_.next() % 3 != 0); // sometimes a file that cannot be read
        router.signal(SIGHUP);
        loop_.after(200ms, [&router] { router.write_settings(true); });
        break;
    }
}

void soak_run::inject_into_path(fault_proxy& path, int router) {
    const duration length = between(100, 3000);
    static constexpr std::array kinds{"delay", "reset", "silent forward", "silent backward", "refuse"};
    const std::size_t kind = random_.next() % kinds.size();
    note(kinds.at(kind), router, length);
    if (kind == 0) path.harm.delay = between(5, 300);
    if (kind == 1) path.reset_all();
    if (kind == 2) path.harm.silent_forward = true;
    if (kind == 3) path.harm.silent_backward = true;
    if (kind == 4) path.harm.refused = true;
    loop_.after(length, [&path, kind] {
        if (kind == 0) path.harm.delay = 0s;
        if (kind == 2) path.harm.silent_forward = false;
        if (kind == 3) path.harm.silent_backward = false;
        if (kind == 4) path.harm.refused = false;
    });
}

void soak_run::inject_into_store() {
    // Longer than a key may be used on an old belief.
    const duration length = between(200, 8000);
    switch (random_.next() % 5) {
    case 0:
        note("store down", every_router, length);
        store_.faults.down = true;
        break;
    case 1:
        note("store refuses", every_router, length);
        store_.faults.refusing = true;
        break;
    case 2:
        note("store slow", every_router, length);
        store_.faults.slow = between(50, 900);
        break;
    case 3:
        note("replies lost", every_router, length);
        store_.faults.lose_replies = true;
        break;
    default:
        ++injected_["history gone"];
        store_.forget_history();
        return;
    }
    loop_.after(length, [this] { store_.faults = {}; });
}

void soak_run::inject_into_target() {
    soak_target& target = *targets_[random_.next() % targets_.size()];
    const duration length = between(300, 3000);
    switch (random_.next() % 3) {
    case 0:
        note("crash", every_router, length);
        target.crash();
        loop_.after(length, [&target] { target.join(); });
        break;
    case 1: {
        ++injected_["drain"];
        target.drain();
        constexpr duration drain_time = 3s; // for which a target serves after it has said that it leaves
        loop_.after(drain_time, [this, &target] {
            note("left", every_router, 500ms);
            target.crash();
            loop_.after(500ms, [&target] { target.join(); });
        });
        break;
    }
    default:
        ++injected_["errors"];
        target.failing = 0.5;
        loop_.after(length, [&target] { target.failing = 0; });
        break;
    }
}

void soak_run::take_key_away() {
    if (!revoked_.empty()) return;
    ++injected_["key taken away"];
    const std::string number = std::to_string(random_.next() % 3);
    revoked_ = "key-" + number;
    constexpr duration away = 9s;
    if (random_.next() % 2 == 0) {
        // No router hears of it, so each has to stop using keys by the age of what it knows.
        constexpr duration unheard = 8s;
        note("store down", every_router, unheard);
        store_.faults.down = true;
        loop_.after(unheard, [this] { store_.faults = {}; });
    }
    declare();
    // A router that has not heard of the return for longer than this no longer knows that the key is wrong.
    constexpr duration still_denied = 5s;
    callers_->excuse(revoked_, wall_clock() + away + still_denied);
    ledger_.revoke("account-" + number, wall_clock());
    loop_.after(away, [this, number] {
        ledger_.restore("account-" + number);
        revoked_.clear();
        declare();
    });
}

void soak_run::watch_children() {
    for (std::size_t number = 0; number < routers_.size(); ++number) {
        router_process& router = *routers_[number];
        if (router.pid <= 0) continue;
        if (router.terminated && !router.paused && wall_clock() - *router.terminated > grace + grace_slack) {
            ledger_.violate("a stop ends in time", "router " + std::to_string(number));
            router.terminated.reset();
            router.signal(SIGKILL);
        }
        int status = 0;
        if (::waitpid(router.pid, &status, WNOHANG) != router.pid) continue;
        const bool killed = WIFSIGNALED(status) && WTERMSIG(status) == SIGKILL;
        const bool ended_well =
            router.told_to_end && (killed || (WIFEXITED(status) && WEXITSTATUS(status) == 0));
        if (!ended_well)
            ledger_.violate("no process ends by itself",
                            "router " + std::to_string(number) + ", status " + std::to_string(status));
        router.pid = 0;
        const time_point ended = wall_clock();
        const duration away = between(50, 800);
        constexpr duration start_time = 1s;  // of a process, on a busy machine
        constexpr duration crossing = 200ms; // requests may cross the close of an idle connection
        callers_->add_window({static_cast<int>(number), ended - crossing, ended + away + start_time, true});
        loop_.after(away, [&router] { router.start(); });
    }
}

void soak_run::begin_calm() {
    calm_ = true;
    constexpr duration settling = 14s; // until a key that was taken away is back at all routers
    constexpr duration measured = 4s;
    loop_.after(settling, [this] { before_calm_ = callers_->counts(); });
    loop_.after(settling + measured, [this] { finish(); });
}

void soak_run::finish() {
    const caller_counts now = callers_->counts();
    const std::uint64_t asked = now.asked - before_calm_.asked;
    const std::uint64_t served = now.served - before_calm_.served;
    constexpr double least_served = 0.8; // some callers leave, and a key may still be away at one router
    if (asked == 0 || static_cast<double>(served) < least_served * static_cast<double>(asked))
        ledger_.violate("service returns after the faults",
                        std::to_string(served) + " of " + std::to_string(asked) + " served");
    callers_->stop();
    for (const auto& router : routers_) {
        router->told_to_end = true;
        router->signal(SIGKILL);
    }
    loop_.stop();
}

int soak_run::report() const {
    for (const auto& router : routers_) {
        if (router->pid > 0) ::waitpid(router->pid, nullptr, 0);
    }
    const caller_counts& c = callers_->counts();
    std::string faults;
    for (const auto& [kind, number] : injected_)
        faults += " " + kind + "=" + std::to_string(number);
    std::printf(
        "seed %llu: asked %llu served %llu refused %llu failed %llu broken %llu left %llu; faults:%s\n",
        static_cast<unsigned long long>(options_.seed), static_cast<unsigned long long>(c.asked),
        static_cast<unsigned long long>(c.served), static_cast<unsigned long long>(c.refused),
        static_cast<unsigned long long>(c.failed), static_cast<unsigned long long>(c.broken),
        static_cast<unsigned long long>(c.left), faults.c_str());
    constexpr std::size_t most_lines = 20;
    const auto& violations = ledger_.violations();
    if (violations.size() > most_lines) std::printf("%zu promises broken, the first:\n", violations.size());
    for (const violation& broken : std::span{violations}.first(std::min(most_lines, violations.size())))
        std::printf("broken: %s: %s\n", broken.promise.c_str(), broken.what.c_str());
    return ledger_.violations().empty() ? 0 : 1;
}

} // namespace

//-----------------------------------------------------------------------------
// [SECTION] Program
//-----------------------------------------------------------------------------

int main(int argc, char** argv) {
    const auto options = parse_options(argc, argv);
    if (!options) {
        std::fprintf(stderr,
                     "Usage: %s --router PROGRAM --directory PATH [--seed N] [--seconds N] [--routers N]"
                     " [--engines N] [--callers N] [--quiet]\n",
                     argv[0]);
        return 2;
    }
    std::filesystem::create_directories(options->directory);
    std::setvbuf(stdout, nullptr, _IOLBF, 0);
    event_loop loop;
    soak_run run{loop, *options};
    failure why;
    if (!run.start(why)) {
        std::fprintf(stderr, "%s\n", describe(why).c_str());
        return 4;
    }
    loop.run();
    return run.report();
}
