// Sends streamed and unstreamed requests while links lose messages, processes pause and VMs are replaced, and
// checks that every caller gets the complete answer to its own request, unless its router is lost.
//
// Index of this file:
// [SECTION] Load
// [SECTION] Faults
// [SECTION] Registration

#include "damaskhill_bench.hpp"
#include "damaskhill_bench_orders.hpp"

namespace damaskhill::bench {
namespace {

//-----------------------------------------------------------------------------
// [SECTION] Load
//-----------------------------------------------------------------------------

constexpr std::size_t routers = 4;
constexpr double requests_per_second = 30;
constexpr duration load_time = 150s;
constexpr duration fault_period = 3s;

// A request of the load with the answer that its caller must get.
struct sent_request {
    std::string expected;
    request_id request;
    caller_id fetch{};
};

caller_request make_request(std::uint64_t number, random_source& random, std::uint64_t tokens) {
    caller_request r;
    r.pool = "lm";
    r.method = "POST";
    r.path = "/v1/completions";
    r.key_hash = std::string(64, 'a');
    r.body = "q" + std::to_string(number) + " tokens=" + std::to_string(tokens) + " ";
    r.max_tokens = static_cast<std::uint32_t>(tokens);
    r.stream = number % 2 == 0;
    r.request = random.next_id<request_id>();
    return r;
}

void send_requests(fleet& f, invariant_monitor& monitor, std::map<caller_id, sent_request>& sent,
                   time_point end) {
    const double gap = -std::log(1.0 - f.random().next_unit()) / requests_per_second;
    f.schedule(f.now() + duration{static_cast<std::int64_t>(gap * 1e6)}, [&f, &monitor, &sent, end] {
        if (f.now() >= end) return;
        const std::uint64_t tokens = 20 + f.random().next() % 600;
        caller_request r = make_request(sent.size() + 1, f.random(), tokens);
        r.caller = f.send_request(f.random().next() % routers, r);
        const std::string expected = expected_text(r.body, tokens);
        sent[r.caller] = {expected, r.request, 0};
        observe_request(monitor, r, expected, {}, f.now());
        send_requests(f, monitor, sent, end);
    });
}

//-----------------------------------------------------------------------------
// [SECTION] Faults
//-----------------------------------------------------------------------------

// Injects one fault of those that can delay, reorder, truncate or lose parts of an answer.
void inject_answer_fault(fleet& f, std::uint64_t fault_number) {
    const std::size_t router = f.random().next() % routers;
    const auto sidecars = f.sidecars("lm");
    const std::size_t sidecar = sidecars[f.random().next() % sidecars.size()];
    constexpr duration pause = 4s; // longer than the silence timeout, after which a link is closed
    switch (fault_number % 6) {
    case 0: // an existing link goes silent; new links work
        f.block_traffic(router, sidecar);
        f.schedule(f.now() + 50ms, [&f, router, sidecar] { f.unblock_traffic(router, sidecar); });
        return;
    case 1: // delayed answers
        f.pause(sidecar);
        f.schedule(f.now() + pause, [&f, sidecar] { f.resume(sidecar); });
        return;
    case 2: // replacement of a sidecar's VM
        f.restart(sidecar, true);
        return;
    case 3:
        f.pause(router);
        f.schedule(f.now() + pause, [&f, router] { f.resume(router); });
        return;
    case 4:
        f.block_traffic(router, sidecar);
        f.schedule(f.now() + 2500ms, [&f, router, sidecar] { f.unblock_traffic(router, sidecar); });
        return;
    default: // replacement of a router's VM, which breaks the connections of its callers
        f.restart(router, false);
        return;
    }
}

// Measures how long a router takes to close a link that loses its messages.
struct silence_times {
    std::map<std::pair<std::size_t, std::size_t>, time_point> silent_since;
    duration longest{};
};

std::vector<row> run_answer_integrity(std::uint64_t seed) {
    fleet_settings settings;
    settings.seed = seed;
    settings.routers = routers;
    settings.pools.push_back({"lm", 8, {}});
    settings.configure_router = [](router_settings& s) { s.retry.max_saved_retries = 200; };
    fleet f{settings};
    team_declarations team;
    team.team = "t";
    team.accounts.push_back({"t/a", 1.0, {std::string(64, 'a')}, 4096});
    pool_declaration lm;
    lm.name = "lm";
    lm.warm_limit = 16;
    team.pools.push_back(lm);
    f.declare(team);
    f.run_for(6s);

    invariant_monitor monitor;
    std::map<caller_id, sent_request> sent;
    silence_times silence;
    f.observer = [&](std::size_t node, const effects& out) {
        if (node >= routers) return;
        observe_router_effects(monitor, out, f.now());
        for (const effect& item : out) {
            const auto* closing = std::get_if<close_link>(&item);
            if (closing == nullptr) continue;
            const auto link = f.nodes()[node].links.find(closing->link);
            if (link == f.nodes()[node].links.end()) continue;
            const auto since = silence.silent_since.find(std::minmax(node, link->second.peer));
            if (since == silence.silent_since.end()) continue;
            silence.longest = std::max(silence.longest, f.now() - since->second);
            silence.silent_since.erase(since);
        }
    };
    const time_point end = f.now() + load_time;
    std::uint64_t fault_number = 0;
    for (time_point at = f.now() + 1s; at < end; at += fault_period, ++fault_number)
        f.schedule(at, [&f, fault_number] { inject_answer_fault(f, fault_number); });
    // This link is cut after the load has ended, to measure how soon the loss is detected.
    const auto probe_link = std::pair<std::size_t, std::size_t>{0, f.sidecars("lm").back()};
    send_requests(f, monitor, sent, end);
    f.run_until(end + 60s);
    f.block_traffic(probe_link.first, probe_link.second);
    silence.silent_since[std::minmax(probe_link.first, probe_link.second)] = f.now();
    f.run_for(5s);
    f.unblock_all_traffic();
    f.run_for(5s);

    // Finished answers are fetched through another router after the router that served them was killed.
    std::size_t fetched = 0;
    std::size_t not_fetched = 0;
    caller_request fetch_base = make_request(1'000'000, f.random(), 100);
    std::vector<std::pair<caller_id, std::string>> fetches;
    for (std::uint64_t i = 0; i < 50; ++i) {
        caller_request r = make_request(1'000'000 + i, f.random(), 100);
        r.stream = false;
        const caller_id caller = f.send_request(1, r);
        sent[caller] = {expected_text(r.body, 100), r.request, 0};
    }
    f.run_for(10s);
    f.kill(1);
    f.run_for(3s);
    for (const auto& [caller, request] : sent) {
        const caller_result& result = f.result(caller);
        if (result.router != 1 || !result.answered || f.now() - result.ended_at > 60s) continue;
        caller_request r = fetch_base;
        r.route = caller_route::fetch_answer;
        r.request = request.request;
        fetches.emplace_back(f.send_request(2, r), request.expected);
    }
    f.run_for(3s);
    for (const auto& [caller, expected] : fetches) {
        const bool matches = f.result(caller).answered && f.result(caller).text == expected;
        ++(matches ? fetched : not_fetched);
        if (matches || std::getenv("DAMASKHILL_TRACE") == nullptr) continue;
        std::fprintf(stderr, "answer not fetched: refusal=%s broken=%d\n",
                     std::string{to_string(f.result(caller).refusal)}.c_str(),
                     f.result(caller).connection_failed ? 1 : 0);
        for (std::size_t i = 0; i < routers; ++i) {
            if (!f.nodes()[i].up) continue;
            const router_state& state = *f.nodes()[i].router;
            std::fprintf(stderr, "router %zu: %zu live routers, %zu stored answers\n", i,
                         live_routers(state.members, state.settings.name).size(),
                         state.answers.answers.size());
        }
    }

    std::size_t answered = 0;
    std::size_t open = 0;
    std::size_t broken_by_router = 0;
    std::size_t refused = 0;
    for (const auto& [caller, request] : sent) {
        const caller_result& result = f.result(caller);
        answered += result.answered ? 1 : 0;
        open += result.ended_at == time_point{} ? 1 : 0;
        broken_by_router += result.connection_failed && result.refusal == failure_kind::none ? 1 : 0;
        refused += !result.answered && result.refusal != failure_kind::none ? 1 : 0;
        if (!result.answered && result.refusal != failure_kind::none &&
            std::getenv("DAMASKHILL_TRACE") != nullptr) {
            std::fprintf(stderr,
                         "refused: %s broken=%d bytes=%zu/%zu asked=%.3f ended=%.3f (s from load end)\n",
                         std::string{to_string(result.refusal)}.c_str(), result.connection_failed ? 1 : 0,
                         result.text.size(), request.expected.size(), to_seconds(result.sent_at - end),
                         to_seconds(result.ended_at - end));
        }
    }
    const auto wrong_answers = static_cast<double>(count_violations(monitor, invariant::answer_integrity));
    const std::string detail = "answers=" + std::to_string(answered) + " open=" + std::to_string(open) +
                               " cut_by_router_loss=" + std::to_string(broken_by_router) +
                               " refused=" + std::to_string(refused);
    constexpr double silence_bound_s = 2.0 + 0.5 + 0.02; // silence timeout, heartbeat period and one tick
    const double silence_s = to_seconds(silence.longest);
    return {
        {"answer_integrity.wrong", wrong_answers, "answers", 0, wrong_answers == 0 && answered > 0, detail},
        {"answer_integrity.open", static_cast<double>(open), "requests", 0, open == 0, {}},
        {"answer_integrity.interrupted", static_cast<double>(refused), "requests", 0, refused == 0, {}},
        {"answer_integrity.silence_noticed",
         silence_s,
         "s",
         silence_bound_s,
         silence_s > 0 && silence_s <= silence_bound_s,
         {}},
        {"answer_integrity.not_fetched", static_cast<double>(not_fetched), "answers", 0,
         not_fetched == 0 && fetched > 0, "fetched=" + std::to_string(fetched)}};
}

//-----------------------------------------------------------------------------
// [SECTION] Registration
//-----------------------------------------------------------------------------

const register_bench registered{"answer_integrity", run_answer_integrity};

} // namespace
} // namespace damaskhill::bench
