// Fault soak test: runs real router processes against a simulated platform, injects random faults that follow
// from a seed, and checks the routers' guarantees from what callers and targets observe. Exits with 1 on a
// violation.
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
    std::string router; // path of the executable
    std::uint64_t seed{1};
    std::size_t seconds{20}; // of faults; recovery and its measurement take 18 s more
    std::size_t routers{5};
    std::size_t engines{6};
    std::size_t apps{3};
    std::size_t callers{48};
    std::string directory; // for settings and logs
    bool quiet{};          // don't print each fault
};

std::optional<soak_options> parse_options(int argc, char** argv) {
    static const option option_table[] = {{"router", required_argument, nullptr, 'r'},
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
    for (int option_char = 0; (option_char = getopt_long(argc, argv, "", option_table, nullptr)) != -1;) {
        switch (option_char) {
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
    const bool sizes_valid = options.routers >= 1 && options.routers <= 200 && options.engines >= 1 &&
                             options.engines <= 200 && options.callers >= 1;
    if (options.router.empty() || options.directory.empty() || !sizes_valid) return std::nullopt;
    return options;
}

//-----------------------------------------------------------------------------
// [SECTION] Routers
//-----------------------------------------------------------------------------

/// Concurrent runs use different parts of 127.0.0.0/8, chosen by the process id.
std::string loopback_address(int subnet, std::size_t host) {
    return "127." + std::to_string(10 + getpid() % 200) + "." + std::to_string(subnet) + "." +
           std::to_string(host + 1);
}

constexpr const char* http_port = ":8101";
constexpr const char* store_port = ":8201";
constexpr const char* target_port = ":8301";
constexpr duration stop_time_limit = 8s; // from SIGTERM to the exit; stop_limit_s in the settings
constexpr duration stop_time_slack = 2s; // tolerance for a busy machine

class router_process {
public:
    router_process(event_loop& loop, const soak_options& options, std::size_t index, const std::string& store)
        : caller_proxy(loop, loopback_address(1, index) + http_port, loopback_address(2, index) + http_port),
          store_proxy(loop, loopback_address(3, index) + store_port, store),
          options_(options),
          index_(index) {}

    fault_proxy caller_proxy;
    fault_proxy store_proxy;
    pid_t pid{};
    bool exit_expected{};
    bool paused{};
    std::optional<time_point> sigterm_at;

    void write_settings(bool valid) const;
    void start();
    void signal(int signal_number) const {
        if (pid > 0) ::kill(pid, signal_number);
    }
    [[nodiscard]] std::string file_path(const char* extension) const {
        return options_.directory + "/router-" + std::to_string(index_) + extension;
    }

private:
    const soak_options& options_;
    std::size_t index_;
};

void router_process::write_settings(bool valid) const {
    json seeds = json::array();
    for (std::size_t i = 0; i < std::min<std::size_t>(3, options_.routers); ++i)
        seeds.push_back(loopback_address(2, i) + ":8103");
    const std::string self = loopback_address(2, index_);
    const json settings{{"name", "router-" + std::to_string(index_)},
                        {"data_centre", "dc-" + std::to_string(index_ % 2)},
                        {"http_address", self + http_port},
                        {"ready_address", self + ":8102"},
                        {"control_address", self + ":8103"},
                        {"report_address", self + ":8104"},
                        {"store_address", store_proxy.address()},
                        {"seeds", seeds},
                        {"link_keys", {{{"number", 1}, {"secret", "secret of the soak's routers"}}}},
                        {"key_limit_ms", 5000},
                        {"stop_limit_s", 8}};
    std::ofstream{file_path(".json")} << (valid ? settings.dump(1) : std::string{"{\"name\": "});
}

void router_process::start() {
    exit_expected = false;
    paused = false;
    sigterm_at.reset();
    const std::string settings = file_path(".json");
    const std::string log = file_path(".log");
    pid = ::fork();
    if (pid != 0) return;
    const int log_file = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    ::dup2(log_file, STDOUT_FILENO);
    ::dup2(log_file, STDERR_FILENO);
    // The child must not keep this process's sockets open.
    constexpr int first_inherited = 3;
    ::close_range(first_inherited, ~0U, 0);
    ::execl(options_.router.c_str(), options_.router.c_str(), "--settings", settings.c_str(), nullptr);
    ::_exit(127);
}

//-----------------------------------------------------------------------------
// [SECTION] Faults
//-----------------------------------------------------------------------------

class soak_run {
public:
    soak_run(event_loop& loop, const soak_options& options);
    [[nodiscard]] bool start(failure& error);
    [[nodiscard]] int report() const;

private:
    void write_configuration();
    void inject_fault();
    void inject_router_fault(std::size_t index);
    void inject_proxy_fault(fault_proxy& proxy, int router);
    void inject_store_fault();
    void inject_target_fault();
    void revoke_key();
    void check_routers();
    void end_faults();
    void finish();
    duration random_duration(std::int64_t min_ms, std::int64_t max_ms) {
        return (min_ms +
                static_cast<std::int64_t>(random_.next() % static_cast<std::uint64_t>(max_ms - min_ms))) *
               1ms;
    }
    /// Counts a fault, and adds a fault window that lasts until some time after its end.
    void record_fault(const char* kind, int router, duration length);

    event_loop& loop_;
    soak_options options_;
    random_source random_;
    execution_checker checker_;
    platform_store store_;
    std::vector<std::unique_ptr<router_process>> routers_;
    std::vector<std::unique_ptr<soak_target>> targets_;
    std::unique_ptr<soak_callers> callers_;
    std::uint64_t config_version_{1};
    std::string revoked_key_;
    std::map<std::string, std::uint64_t> fault_counts_;
    time_point started_{};
    bool faults_ended_{};
    request_counts counts_before_measurement_;
};

soak_run::soak_run(event_loop& loop, const soak_options& options)
    : loop_(loop), options_(options), random_{options.seed}, store_(loop) {
    const std::string store = loopback_address(4, 0) + store_port;
    std::vector<std::string> addresses;
    for (std::size_t i = 0; i < options_.routers; ++i) {
        routers_.push_back(std::make_unique<router_process>(loop, options_, i, store));
        addresses.push_back(routers_.back()->caller_proxy.address());
    }
    for (std::size_t i = 0; i < options_.engines + options_.apps; ++i) {
        target_settings settings;
        settings.is_engine = i < options_.engines;
        settings.service = settings.is_engine ? "lm" : "app";
        settings.address = loopback_address(5, i) + target_port;
        settings.proxy_address = loopback_address(6, i) + target_port;
        settings.data_centre = "dc-" + std::to_string(i % 2);
        settings.capacity = settings.is_engine ? 16 : 6;
        targets_.push_back(std::make_unique<soak_target>(loop, store_, checker_, settings));
    }
    callers_ = std::make_unique<soak_callers>(loop, checker_, addresses, options.seed);
}

void soak_run::write_configuration() {
    json routes = json::array();
    const auto add_route = [&](const char* name, const char* kind, const char* service, bool resumable,
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
    add_route("order", "non_idempotent", "app", false, 2);
    add_route("stock", "idempotent", "app", false, 2);
    add_route("chat", "streaming", "lm", true, 2);
    add_route("review", "streaming", "lm", false, 1);
    json accounts = json::array();
    for (int i = 0; i < 3; ++i) {
        const std::string key = "key-" + std::to_string(i);
        json keys = json::array();
        if (key != revoked_key_) keys.push_back(key);
        accounts.push_back({{"name", "account-" + std::to_string(i)}, {"apiKeys", keys}});
    }
    const json services{{{"name", "lm"}, {"engine", {{"capacity", 16}, {"kvCapacity", 400000}}}},
                        {{"name", "app"}}};
    store_.put("op/config", {{"version", config_version_++},
                             {"routes", routes},
                             {"services", services},
                             {"tenants", accounts},
                             {"limits", {{"tokensPerS", 300000}}}});
}

bool soak_run::start(failure& error) {
    if (!store_.listen(loopback_address(4, 0) + store_port, error)) return false;
    write_configuration();
    for (const auto& target : targets_) {
        if (!target->listen(error)) return false;
        target->start();
    }
    for (const auto& router : routers_) {
        router->write_settings(true);
        router->start();
    }
    started_ = wall_clock();
    callers_->add_fault_window({any_router, started_, started_ + 2s}); // while the routers start
    loop_.after(1s, [this] { callers_->start(options_.callers); });
    loop_.after(2s, [this] { inject_fault(); });
    constexpr duration check_period = 20ms;
    loop_.every(check_period, [this] { check_routers(); });
    loop_.after(options_.seconds * 1s + 2s, [this] { end_faults(); });
    return true;
}

void soak_run::record_fault(const char* kind, int router, duration length) {
    ++fault_counts_[kind];
    // A connection hit by a fault may break only later, when a timeout of the router expires.
    constexpr duration aftereffect = 4s;
    const time_point now = wall_clock();
    callers_->add_fault_window({router, now, now + length + aftereffect});
    if (!options_.quiet)
        std::printf("%7.2f s  %-16s router %2d  for %lld ms\n", to_seconds(now - started_), kind, router,
                    static_cast<long long>(length / 1ms));
}

void soak_run::inject_fault() {
    if (faults_ended_) return;
    switch (random_.next() % 8) {
    case 0:
    case 1:
        inject_router_fault(random_.next() % routers_.size());
        break;
    case 2: {
        const std::size_t index = random_.next() % routers_.size();
        inject_proxy_fault(routers_[index]->caller_proxy, static_cast<int>(index));
        break;
    }
    case 3: {
        const std::size_t index = random_.next() % routers_.size();
        inject_proxy_fault(routers_[index]->store_proxy, static_cast<int>(index));
        break;
    }
    case 4:
        inject_store_fault();
        break;
    case 5:
        inject_proxy_fault(targets_[random_.next() % targets_.size()]->proxy, any_router);
        break;
    case 6:
        inject_target_fault();
        break;
    default:
        revoke_key();
        break;
    }
    // The next fault is due before a long one ends, so that faults overlap.
    loop_.after(random_duration(50, 900), [this] { inject_fault(); });
}

void soak_run::inject_router_fault(std::size_t index) {
    router_process& router = *routers_[index];
    const auto router_index = static_cast<int>(index);
    if (router.pid <= 0 || router.exit_expected) return;
    switch (random_.next() % 4) {
    case 0:
        record_fault("kill", router_index, 1s);
        router.exit_expected = true;
        router.signal(SIGKILL);
        break;
    case 1:
        // A graceful stop must interrupt no response, so it adds no fault window. Callers that connect while
        // the process exits get no connection.
        ++fault_counts_["stop"];
        if (router.paused) return;
        router.exit_expected = true;
        router.sigterm_at = wall_clock();
        router.signal(SIGTERM);
        break;
    case 2: {
        const duration length = random_duration(100, 3000);
        record_fault("pause", router_index, length);
        router.paused = true;
        router.signal(SIGSTOP);
        loop_.after(length, [&router] {
            router.paused = false;
            router.signal(SIGCONT);
        });
        break;
    }
    default:
        ++fault_counts_["hangup"];
        router.write_settings(random_.next() % 3 != 0); // sometimes malformed
        router.signal(SIGHUP);
        loop_.after(200ms, [&router] { router.write_settings(true); });
        break;
    }
}

void soak_run::inject_proxy_fault(fault_proxy& proxy, int router) {
    const duration length = random_duration(100, 3000);
    static constexpr std::array kinds{"delay", "reset", "stall upstream", "stall downstream", "refuse"};
    const std::size_t kind = random_.next() % kinds.size();
    record_fault(kinds.at(kind), router, length);
    if (kind == 0) proxy.faults.delay = random_duration(5, 300);
    if (kind == 1) proxy.reset_connections();
    if (kind == 2) proxy.faults.stall_upstream = true;
    if (kind == 3) proxy.faults.stall_downstream = true;
    if (kind == 4) proxy.faults.reset_new_connections = true;
    loop_.after(length, [&proxy, kind] {
        if (kind == 0) proxy.faults.delay = 0s;
        if (kind == 2) proxy.faults.stall_upstream = false;
        if (kind == 3) proxy.faults.stall_downstream = false;
        if (kind == 4) proxy.faults.reset_new_connections = false;
    });
}

void soak_run::inject_store_fault() {
    // The longest outages exceed the time for which a router may accept a key without confirmation
    // (key_limit_ms).
    const duration length = random_duration(200, 8000);
    switch (random_.next() % 5) {
    case 0:
        record_fault("store down", any_router, length);
        store_.faults.down = true;
        break;
    case 1:
        record_fault("store 503", any_router, length);
        store_.faults.returns_503 = true;
        break;
    case 2:
        record_fault("store slow", any_router, length);
        store_.faults.reply_delay = random_duration(50, 900);
        break;
    case 3:
        record_fault("drop replies", any_router, length);
        store_.faults.drop_write_replies = true;
        break;
    default:
        ++fault_counts_["store compaction"];
        store_.compact_history();
        return;
    }
    loop_.after(length, [this] { store_.faults = {}; });
}

void soak_run::inject_target_fault() {
    soak_target& target = *targets_[random_.next() % targets_.size()];
    const duration length = random_duration(300, 3000);
    switch (random_.next() % 3) {
    case 0:
        record_fault("crash", any_router, length);
        target.crash();
        loop_.after(length, [&target] { target.start(); });
        break;
    case 1: {
        ++fault_counts_["drain"];
        target.drain();
        constexpr duration drain_time = 3s; // for which a draining target keeps serving
        loop_.after(drain_time, [this, &target] {
            record_fault("left", any_router, 500ms);
            target.crash();
            loop_.after(500ms, [&target] { target.start(); });
        });
        break;
    }
    default:
        ++fault_counts_["errors"];
        target.error_rate = 0.5;
        loop_.after(length, [&target] { target.error_rate = 0; });
        break;
    }
}

void soak_run::revoke_key() {
    if (!revoked_key_.empty()) return;
    ++fault_counts_["key revocation"];
    const std::string account = std::to_string(random_.next() % 3);
    revoked_key_ = "key-" + account;
    constexpr duration revocation_time = 9s;
    if (random_.next() % 2 == 0) {
        // No router can read of the revocation, so each has to stop accepting keys by the age of its copy.
        constexpr duration store_outage = 8s;
        record_fault("store down", any_router, store_outage);
        store_.faults.down = true;
        loop_.after(store_outage, [this] { store_.faults = {}; });
    }
    write_configuration();
    // A router that has not read of the restored key for this long no longer treats it as invalid.
    constexpr duration max_stale_rejection = 5s;
    callers_->allow_rejections(revoked_key_, wall_clock() + revocation_time + max_stale_rejection);
    checker_.revoke_key("account-" + account, wall_clock());
    loop_.after(revocation_time, [this, account] {
        checker_.restore_key("account-" + account);
        revoked_key_.clear();
        write_configuration();
    });
}

void soak_run::check_routers() {
    for (std::size_t index = 0; index < routers_.size(); ++index) {
        router_process& router = *routers_[index];
        if (router.pid <= 0) continue;
        if (router.sigterm_at && !router.paused &&
            wall_clock() - *router.sigterm_at > stop_time_limit + stop_time_slack) {
            checker_.report_violation("a graceful stop ends within its time limit",
                                      "router " + std::to_string(index));
            router.sigterm_at.reset();
            router.signal(SIGKILL);
        }
        int status = 0;
        if (::waitpid(router.pid, &status, WNOHANG) != router.pid) continue;
        const bool killed = WIFSIGNALED(status) && WTERMSIG(status) == SIGKILL;
        const bool exit_valid =
            router.exit_expected && (killed || (WIFEXITED(status) && WEXITSTATUS(status) == 0));
        if (!exit_valid)
            checker_.report_violation("no router exits unexpectedly", "router " + std::to_string(index) +
                                                                          ", wait status " +
                                                                          std::to_string(status));
        router.pid = 0;
        const time_point exited_at = wall_clock();
        const duration restart_delay = random_duration(50, 800);
        constexpr duration startup_time = 1s;  // of a process on a busy machine
        constexpr duration in_transit = 200ms; // a request may cross the close of an idle connection
        callers_->add_fault_window({static_cast<int>(index), exited_at - in_transit,
                                    exited_at + restart_delay + startup_time, true});
        loop_.after(restart_delay, [&router] { router.start(); });
    }
}

void soak_run::end_faults() {
    faults_ended_ = true;
    constexpr duration settling_time = 14s; // until all routers accept a restored key again
    constexpr duration measured_time = 4s;
    loop_.after(settling_time, [this] { counts_before_measurement_ = callers_->counts(); });
    loop_.after(settling_time + measured_time, [this] { finish(); });
}

void soak_run::finish() {
    const request_counts now = callers_->counts();
    const std::uint64_t sent = now.sent - counts_before_measurement_.sent;
    const std::uint64_t served = now.served - counts_before_measurement_.served;
    constexpr double min_served_share = 0.8; // some callers cancel, and one router may still reject a key
    if (sent == 0 || static_cast<double>(served) < min_served_share * static_cast<double>(sent))
        checker_.report_violation("service recovers after the faults", std::to_string(served) + " of " +
                                                                           std::to_string(sent) +
                                                                           " requests served");
    callers_->stop();
    for (const auto& router : routers_) {
        router->exit_expected = true;
        router->signal(SIGKILL);
    }
    loop_.stop();
}

int soak_run::report() const {
    for (const auto& router : routers_) {
        if (router->pid > 0) ::waitpid(router->pid, nullptr, 0);
    }
    const request_counts& c = callers_->counts();
    std::string faults;
    for (const auto& [kind, count] : fault_counts_)
        faults += " " + kind + "=" + std::to_string(count);
    std::printf(
        "seed %llu: asked %llu served %llu refused %llu failed %llu broken %llu left %llu; faults:%s\n",
        static_cast<unsigned long long>(options_.seed), static_cast<unsigned long long>(c.sent),
        static_cast<unsigned long long>(c.served), static_cast<unsigned long long>(c.refused),
        static_cast<unsigned long long>(c.failed), static_cast<unsigned long long>(c.interrupted),
        static_cast<unsigned long long>(c.cancelled), faults.c_str());
    constexpr std::size_t max_violation_lines = 20;
    const auto& violations = checker_.violations();
    if (violations.size() > max_violation_lines)
        std::printf("%zu violations, the first ones:\n", violations.size());
    for (const violation& violated :
         std::span{violations}.first(std::min(max_violation_lines, violations.size())))
        std::printf("violated: %s: %s\n", violated.guarantee.c_str(), violated.detail.c_str());
    return checker_.violations().empty() ? 0 : 1;
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
    failure error;
    if (!run.start(error)) {
        std::fprintf(stderr, "%s\n", describe(error).c_str());
        return 4;
    }
    loop.run();
    return run.report();
}
