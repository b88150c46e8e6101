// Stand-in for a plain service: idempotent stock lookups, and orders and reservations that must not be
// repeated. It runs every order that it receives and counts the runs of each, so that a second run is
// detected; only with --dedupe yes does it reject a repeated Idempotency-Key. With --run-log it appends the
// name of each order that it runs to a file, which outlives the process.
//
// Index of this file:
// [SECTION] Service
// [SECTION] Handlers
// [SECTION] Program

#include "common.hpp"

#include <fstream>

using namespace damaskhill;
using namespace damaskhill::standin;

namespace {

//-----------------------------------------------------------------------------
// [SECTION] Service
//-----------------------------------------------------------------------------

struct faults {
    std::uint64_t slow_ms{};
    double lose_replies{}; // share of orders whose connection is aborted after they ran
    bool silent{};
};

struct service {
    faults fault;
    duration work_time{5ms};
    bool dedupe{};
    std::string version{"v1"};
    std::uint64_t boot{};
    std::uint64_t running{};
    std::uint64_t lookups{};
    std::uint64_t requests{};
    std::ofstream run_log;
    // By the "order" member of the body, or by the body if it has none.
    std::map<std::string, std::uint64_t> runs_by_order;
    std::set<std::string> seen_idempotency_keys;
    random_source random;
};

//-----------------------------------------------------------------------------
// [SECTION] Handlers
//-----------------------------------------------------------------------------

void on_lookup(service& s, const http_request& request, const http_reply_ptr& reply) {
    ++s.lookups;
    const std::string item = request.target.substr(request.target.rfind('/') + 1);
    reply_json(reply, 200, {{"item", item}, {"stock", stable_hash(item) % 100}});
}

void on_order(service& s, const http_request& request, const http_reply_ptr& reply) {
    const json body = parse_body(request);
    const std::string order = body.value("order", request.body);
    const std::string key{find_header(request.headers, "Idempotency-Key")};
    if (s.dedupe && !s.seen_idempotency_keys.insert(key).second) {
        reply_json(reply, 409, {{"error", "already run"}});
        return;
    }
    ++s.runs_by_order[order];
    if (s.run_log.is_open())
        s.run_log << order << std::endl; // std::endl flushes: the process may be killed at any time
    if (s.random.next_unit() < s.fault.lose_replies) {
        reply->abort();
        return;
    }
    reply_json(reply, 201, {{"order", order}, {"confirmed", true}});
}

json encode_stats(const service& s) {
    std::uint64_t second_runs = 0;
    for (const auto& [order, runs] : s.runs_by_order)
        second_runs += runs - 1;
    return {{"orders", s.runs_by_order.size()},
            {"second_runs", second_runs},
            {"lookups", s.lookups},
            {"requests", s.requests},
            {"runs_by_order", s.runs_by_order}};
}

void on_request(service& s, event_loop& loop, http_request&& request, const http_reply_ptr& reply) {
    if (request.target == "/status") {
        reply_json(reply, 200,
                   {{"ready", true}, {"version", s.version}, {"running", s.running}, {"boot", s.boot}});
        return;
    }
    if (request.target == "/admin/stats") {
        reply_json(reply, 200, encode_stats(s));
        return;
    }
    if (request.target == "/admin/fault") {
        const json body = parse_body(request);
        read_member(body, "slow_ms", s.fault.slow_ms);
        read_member(body, "lose_replies", s.fault.lose_replies);
        read_member(body, "silent", s.fault.silent);
        reply_json(reply, 200, json::object());
        return;
    }
    ++s.running;
    ++s.requests;
    const duration delay = s.work_time + std::chrono::milliseconds{s.fault.slow_ms};
    loop.after(delay, [&s, request = std::move(request), reply] {
        --s.running;
        if (request.method == "GET") {
            on_lookup(s, request, reply);
        } else {
            on_order(s, request, reply);
        }
    });
}

} // namespace

//-----------------------------------------------------------------------------
// [SECTION] Program
//-----------------------------------------------------------------------------

int main(int argc, char** argv) {
    const auto options = parse_options(argc, argv,
                                       {{"address", "127.0.0.1:7200"},
                                        {"version", "v1"},
                                        {"work-ms", "5"},
                                        {"dedupe", "no"},
                                        {"run-log", ""},
                                        {"seed", "1"}});
    event_loop loop;
    service s;
    s.version = options.at("version");
    s.work_time = std::chrono::milliseconds{number_option(options, "work-ms")};
    s.dedupe = options.at("dedupe") == "yes";
    s.random.state = number_option(options, "seed");
    if (!options.at("run-log").empty()) s.run_log.open(options.at("run-log"), std::ios::app);
    s.boot = static_cast<std::uint64_t>(wall_clock().time_since_epoch().count());
    std::vector<http_reply_ptr> silent; // keeps their connections open without a response
    return run_server(loop, options.at("address"),
                      [&](http_request&& request, const http_reply_ptr& reply) {
                          const bool admin =
                              request.target.starts_with("/admin/") || request.target == "/status";
                          if (s.fault.silent && !admin) {
                              silent.push_back(reply);
                              return;
                          }
                          on_request(s, loop, std::move(request), reply);
                      },
                      {});
}
