// Measures the CPU time of the direct router's reducer per served request, per refused request and per report
// from another router, at several numbers of targets, and derives the load of a router at the two-year size.
//
// Index of this file:
// [SECTION] Router
// [SECTION] Measurement
// [SECTION] Bench

#include "damaskhill_bench.hpp"
#include "damaskhill_direct.hpp"

#include <array>
#include <cstdio>

namespace damaskhill::bench {

namespace {

//-----------------------------------------------------------------------------
// [SECTION] Router
//-----------------------------------------------------------------------------

constexpr time_point start_time{std::chrono::hours{1000}};
constexpr std::size_t model_count = 9;

struct measured_router {
    direct::router_state state;
    direct::effects out;
    time_point now{start_time};
    caller_id next_caller{1};
    random_source random;

    measured_router(std::size_t targets, std::size_t services, std::uint64_t seed)
        : state(make_settings(seed)), random{seed} {
        auto declared = std::make_shared<catalog>();
        declared->version = 1;
        for (std::size_t s = 0; s < services; ++s) {
            const std::string name = "lm-" + std::to_string(s);
            route_declaration route;
            route.name = name;
            route.host = "h.example";
            route.path_prefix = "/" + name + "/";
            route.retry = retry_policy::streaming;
            route.max_attempts = 2;
            route.services = {{name, 1.0}};
            declared->routes[route.host].push_back(route);
            service_declaration service;
            service.name = name;
            service.engine = engine_declaration{64, 500'000};
            declared->services[name] = service;
        }
        index_routes(*declared);
        declared->accounts.keys = key_requirement::required;
        for (int account = 0; account < 30; ++account)
            declared->accounts.account_by_key["key-" + std::to_string(account)] =
                "account-" + std::to_string(account);
        for (std::size_t t = 0; t < targets; ++t) {
            target_entry entry;
            entry.id = "target-" + std::to_string(t);
            entry.service = "lm-" + std::to_string(t % services);
            entry.address = "10.0.0.1:1000";
            entry.data_centre = "dc-" + std::to_string(t % 4);
            entry.slots = 64;
            declared->targets[entry.id] = entry;
        }
        apply(direct::catalog_updated{declared, {0, 1}});
        apply(direct::catalog_confirmed{now});
    }
    static direct::router_settings make_settings(std::uint64_t seed) {
        direct::router_settings settings;
        settings.report_address = "10.1.0.1:7000";
        settings.data_centre = "dc-0";
        settings.incarnation = seed + 1;
        return settings;
    }
    void apply(const direct::input& event) {
        out.clear();
        direct::reduce(state, now, event, out);
    }
    /// Runs one request from arrival to the end of its response, a stream of four chunks, or to its refusal.
    void serve_request() {
        direct::request_arrived request;
        request.caller = next_caller++;
        request.attempt = "attempt-" + std::to_string(request.caller);
        request.method = "POST";
        request.host = "h.example";
        request.path = "/lm-0/x";
        request.api_key = "key-" + std::to_string(random.next() % 30);
        request.remaining = 8s;
        request.body.assign(2000, 'b');
        request.headers = {{"X-Attempt-Identifier", request.attempt}, {"X-Model-Version", "m"}};
        const std::uint64_t subject = random.next() % 1000;
        request.prompt = {
            2400, 100, 0, {{subject % 16, 340}, {subject + 100, 230}, {request.caller + 2000, 1800}}};
        apply(request);
        std::uint64_t send_id = 0;
        for (const auto& effect : out) {
            if (const auto* sent = std::get_if<direct::send_request>(&effect)) send_id = sent->send_id;
        }
        if (send_id == 0) return;
        direct::response_head head;
        head.send_id = send_id;
        head.status = 200;
        head.has_seal = true;
        apply(head);
        constexpr int chunks = 4;
        for (int i = 0; i < chunks; ++i)
            apply(direct::response_data{send_id, "id: 1\ndata: some text of a few tokens\n\n"});
        apply(direct::response_end{send_id, direct::send_result::complete});
    }
    /// Delivers a report from another router with a row for every target.
    void receive_report(std::uint64_t sender) {
        router_report report;
        report.router = sender;
        report.address = "10.1.0." + std::to_string(sender) + ":7000";
        report.data_centre = "dc-0";
        report.sent_us = static_cast<std::uint64_t>(now.time_since_epoch().count());
        for (const auto& [id, target] : state.targets)
            report.targets.push_back({target.hash, 2, 5000, report.sent_us / 1000});
        for (std::uint64_t account = 0; account < 30; ++account)
            report.accounts.push_back({account, 1000, 1000});
        apply(direct::report_received{std::move(report)});
    }
};

//-----------------------------------------------------------------------------
// [SECTION] Measurement
//-----------------------------------------------------------------------------

struct hot_path_figures {
    double served_us{};
    double refused_us{};
    double report_us{};
};

template <class F>
double microseconds_per_call(F&& function) {
    constexpr int rounds = 10;
    constexpr int calls = 200;
    return min_nanoseconds_per_call(rounds, calls, function) / 1e3;
}

hot_path_figures measure(std::size_t targets, std::size_t services, std::uint64_t seed) {
    measured_router router{targets, services, seed};
    hot_path_figures f;
    f.served_us = microseconds_per_call([&] {
        router.now += 50ms; // lets backlogs drain, so that every request is served
        router.apply(direct::catalog_confirmed{router.now});
        router.serve_request();
    });
    std::uint64_t sender = 2;
    f.report_us = microseconds_per_call([&] {
        router.now += 3ms;
        router.receive_report(2 + sender++ % 8);
    });
    // Fill the backlog of every target, so that all further requests are refused.
    for (auto& [id, target] : router.state.targets)
        target.load.backlog = {1e7, router.now};
    router.apply(direct::catalog_confirmed{router.now});
    f.refused_us = microseconds_per_call([&] { router.serve_request(); });
    return f;
}

//-----------------------------------------------------------------------------
// [SECTION] Bench
//-----------------------------------------------------------------------------

std::string format_figures(const hot_path_figures& f) {
    std::array<char, 120> buffer{};
    std::snprintf(buffer.data(), buffer.size(), "us: served %.1f, refused %.1f, report %.1f", f.served_us,
                  f.refused_us, f.report_us);
    return buffer.data();
}

std::vector<row> run_hot_path(std::uint64_t seed) {
    (void)measure(12, 1, seed); // warms up the caches and the processor clock
    const hot_path_figures small = measure(12, 1, seed);
    const hot_path_figures medium = measure(56, 1, seed);
    const hot_path_figures large = measure(2000, model_count, seed);
    // Two-year size: 27,000 requests/s over 370 daemons, each of which receives reports from 45 neighbours
    // and the summaries of the 7 other data centres.
    constexpr double requests_per_s = 27'000.0 / 370.0;
    constexpr double neighbours = 370.0 / 8.0 - 1.0;
    const direct::router_settings settings;
    const double period_s =
        to_seconds(settings.report_period) + neighbours * to_seconds(settings.report_period_per_router);
    const double reports_per_s = (neighbours + 7.0) / period_s;
    const double core_percent = (requests_per_s * large.served_us + reports_per_s * large.report_us) / 1e4;
    constexpr double core_bound = 1.1; // % of a core
    // The smallest routers have 0.09 cores, and each received 300 attempts per second in a load surge. The
    // reducer may use a third of that time; sockets and codecs take the other two thirds.
    constexpr double refused_bound_us = 0.09 / 300.0 * 1e6 / 3.0;
    return {{"hot_path.core", core_percent, "%", core_bound, core_percent <= core_bound,
             "2,000 targets: " + format_figures(large)},
            {"hot_path.refused", medium.refused_us, "us", refused_bound_us,
             medium.refused_us <= refused_bound_us,
             "56 targets: " + format_figures(medium) + "; 12 targets: " + format_figures(small)}};
}

const register_bench registered{"hot_path", run_hot_path};

} // namespace

} // namespace damaskhill::bench
