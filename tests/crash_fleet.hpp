// Simulated fleet of direct routers and targets that requests crash, on virtual time.
//
// Index of this file:
// [SECTION] Crashes
// [SECTION] Simulated fleet

#pragma once

#include "damaskhill_impl_thrift.hpp"
#include "damaskhill_platform_wire.hpp"
#include "direct_fixture.hpp"

#include <set>

namespace damaskhill::direct {

//-----------------------------------------------------------------------------
// [SECTION] Crashes
//-----------------------------------------------------------------------------

/// What a crashing request has been sent when its target crashes.
enum class crash_point : std::uint8_t { before_head, after_head, inside_event, after_event, after_a_second };

/// What the routers see of a crash.
enum class crash_end : std::uint8_t {
    reset,
    orderly, // the target's system closes the connections; the answers have neither a length nor chunks
    silent   // nothing: connections stay open and new ones are not accepted
};

struct crash_kind {
    crash_point point{crash_point::before_head};
    crash_end end{crash_end::reset};
    std::string route{"chat"};
    std::optional<duration> delay; // after the first event, instead of `point`
    duration answer_time{540ms};   // of a sound answer, from its first event
};

//-----------------------------------------------------------------------------
// [SECTION] Simulated fleet
//-----------------------------------------------------------------------------

inline constexpr duration step = 20ms;
inline constexpr duration first_event_delay = 60ms;
inline constexpr duration event_gap = 100ms;
inline constexpr std::uint64_t shared_part = 1;
inline constexpr std::uint64_t crashing_part = 666;
inline constexpr std::uint64_t second_crashing_part = 667;
inline constexpr std::string_view crashing_body = "crash";
inline constexpr std::string_view repeated_body = "repeated";

struct open_send {
    test_router* router{};
    std::uint64_t send_id{};
    caller_id caller{};
    bool crashes{};
    bool sound{};    // of the load whose service is measured
    bool repeated{}; // copy of the sound request that is repeated
    time_point begins_at{};
    time_point ends_at{};
    bool begun{};
    time_point next_event{};
};

struct simulated_engine {
    std::string id;
    std::vector<open_send> sends;
    std::optional<time_point> crashed_at;
};

/// Routers that report to each other, and targets that answer after 60 ms. A target crashes after it has
/// begun a request with a crashing part or body; it returns under a new id 4 s later.
struct crash_fleet {
    std::vector<std::unique_ptr<test_router>> routers;
    std::vector<simulated_engine> engines;
    crash_kind kind;
    time_point now{1000s};
    std::uint64_t next_id{1};
    std::uint64_t last_event{};
    std::vector<time_point> crashes;
    std::vector<time_point> crashing_arrivals;
    std::set<std::string> crashing_attempts; // of requests that were submitted as text
    std::size_t largest_report{};            // bytes
    std::size_t sound_sent{};
    std::size_t sound_begun{};
    std::size_t sound_whole{};
    std::size_t repeated_sent{};
    std::size_t repeated_ended{};

    crash_fleet(std::size_t router_count, std::size_t engine_count, crash_kind k = {}) : kind(std::move(k)) {
        for (std::size_t i = 0; i < engine_count; ++i)
            engines.push_back({"e-" + std::to_string(next_id++), {}, {}});
        for (std::size_t i = 0; i < router_count; ++i) {
            routers.push_back(std::make_unique<test_router>("10.0.0." + std::to_string(i + 1) + ":7"));
            routers.back()->state.settings.seeds = {"10.0.0.1:7"};
        }
        publish();
    }
    void publish() {
        catalog contents = make_catalog();
        contents.targets.clear();
        const std::string service = kind.route == "stock" ? "app" : "lm";
        for (const simulated_engine& engine : engines) {
            const bool registered = !engine.crashed_at || now - *engine.crashed_at < 2s;
            if (registered) contents.targets[engine.id] = make_target(engine.id, service, 64);
        }
        for (const auto& router : routers)
            router->publish(contents);
    }
    /// Replaces a router by one that knows nothing; its requests are lost.
    void restart_router(std::size_t index) {
        const std::string address = routers[index]->state.settings.report_address;
        for (simulated_engine& engine : engines)
            std::erase_if(engine.sends,
                          [&](const open_send& open) { return open.router == routers[index].get(); });
        routers[index] = std::make_unique<test_router>(address);
        routers[index]->state.settings.incarnation = next_id++;
        routers[index]->state.settings.seeds = {"10.0.0.1:7", "10.0.0.2:7"};
        routers[index]->now = now;
        publish();
    }
    /// Without a body, the request is like no other one.
    void submit(test_router& router, std::vector<std::uint64_t> parts, std::string_view body = {}) {
        request_arrived request;
        request.caller = router.next_caller++;
        request.attempt = "attempt-" + std::to_string(next_id++);
        request.method = "POST";
        request.host = "h.example";
        request.path = "/" + kind.route + "/x";
        request.api_key = "key-1";
        request.body = body.empty() ? request.attempt : std::string{body};
        request.remaining = 8s;
        if (kind.route != "stock") request.prompt = {800, 100, 0, {}};
        const std::uint64_t last_part = body.empty() ? next_id++ : stable_hash(body) % 1'000'000;
        parts.push_back(1'000'000 + last_part);
        const auto tokens = std::min<std::uint32_t>(200, 4000 / static_cast<std::uint32_t>(parts.size()));
        for (const std::uint64_t part : parts)
            request.prompt.segments.push_back({part, tokens, part});
        router.process(request);
    }
    /// Submits a request as a caller writes it. `prefix` lists the parts of its prompt.
    void submit_text(test_router& router, const std::string& prefix, const std::string& model,
                     bool is_crashing) {
        http_request text;
        text.method = "POST";
        text.target = "/" + kind.route + "/x";
        const std::string attempt = "attempt-" + std::to_string(next_id++);
        text.body = attempt;
        text.headers = {{"Host", "h.example"},
                        {"Authorization", "Token key-1"},
                        {"Damaskhill-Attempt-Id", attempt},
                        {"Damaskhill-Deadline-Remaining", "8000"},
                        {"Damaskhill-Token-Count", "800,100"},
                        {"Damaskhill-Prompt-Prefix", prefix}};
        if (!model.empty()) text.headers.emplace_back("Damaskhill-Model", model);
        if (is_crashing) crashing_attempts.insert(attempt);
        sound_sent += is_crashing ? 0 : 1;
        router.process(platform::decode_request(router.next_caller++, std::move(text)));
    }
    void handle_effects() {
        for (const auto& router : routers) {
            direct::effects out;
            out.swap(router->out);
            for (const direct::effect& item : out) {
                if (const auto* sent = std::get_if<send_request>(&item)) start(*router, *sent);
                if (const auto* probe = std::get_if<probe_target>(&item)) answer_probe(*router, *probe);
                if (const auto* cancelled = std::get_if<cancel_send>(&item)) {
                    for (simulated_engine& engine : engines)
                        std::erase_if(engine.sends, [&](const open_send& open) {
                            return open.router == router.get() && open.send_id == cancelled->send_id;
                        });
                }
                const auto* report = std::get_if<send_report>(&item);
                if (report == nullptr) continue;
                largest_report = std::max(largest_report, encode_report(*report->report).size());
                for (const auto& to : routers) {
                    if (std::ranges::find(report->addresses, to->state.settings.report_address) !=
                        report->addresses.end())
                        to->process(report_received{*report->report});
                }
            }
        }
    }
    void answer_probe(test_router& router, const probe_target& probe) {
        const auto found = router.state.caller_by_send.find(probe.send_id);
        if (found == router.state.caller_by_send.end()) return;
        const std::string& target = router.state.requests.at(found->second)->target;
        const auto engine = std::ranges::find(engines, target, &simulated_engine::id);
        const bool up = engine != engines.end() && !engine->crashed_at;
        router.process(target_probed{probe.send_id, up ? probe_outcome::accepted : probe_outcome::refused});
    }
    void start(test_router& router, const send_request& sent) {
        const auto engine = std::ranges::find(engines, sent.target, &simulated_engine::id);
        if (engine == engines.end() || engine->crashed_at) {
            router.process(response_end{sent.send_id, send_result::not_sent});
            return;
        }
        const request_arrived& arrived = sent.content->input;
        const bool crashing = arrived.body == crashing_body || crashing_attempts.contains(arrived.attempt) ||
                              std::ranges::any_of(arrived.prompt.segments, [](const prompt_segment& segment) {
                                  return segment.id == crashing_part || segment.id == second_crashing_part;
                              });
        if (crashing) crashing_arrivals.push_back(now);
        const bool repeated = arrived.body == repeated_body;
        duration crash_delay = kind.point == crash_point::after_a_second ? 1060ms : 100ms;
        if (kind.delay) crash_delay = first_event_delay + *kind.delay;
        engine->sends.push_back(
            {&router, sent.send_id, arrived.caller, crashing,
             !crashing && !repeated && sent.content->sends <= 1, repeated, now + first_event_delay,
             now + (crashing ? crash_delay : first_event_delay + kind.answer_time), false});
    }
    void crash(simulated_engine& engine) {
        crashes.push_back(now);
        engine.crashed_at = now;
        if (kind.end == crash_end::silent) return;
        break_connections(engine);
    }
    void break_connections(simulated_engine& engine) {
        std::vector<open_send> broken;
        broken.swap(engine.sends);
        for (const open_send& open : broken) {
            const bool orderly = kind.end == crash_end::orderly && open.begun;
            open.router->process(
                response_end{open.send_id, orderly ? send_result::complete : send_result::broken});
        }
    }
    /// Ids increase over all answers, so that a resumed one goes on.
    std::string next_event() { return "id: " + std::to_string(++last_event) + "\ndata: x\n\n"; }
    void begin_answer(open_send& open) {
        open.begun = true;
        open.next_event = now + event_gap;
        sound_begun += open.sound ? 1 : 0;
        response_head head = open.router->head(open.send_id);
        head.close_delimited = kind.end == crash_end::orderly;
        open.router->process(head);
        if (open.crashes && !kind.delay && kind.point == crash_point::after_head) return;
        const bool partial = open.crashes && !kind.delay && kind.point == crash_point::inside_event;
        open.router->process(response_data{open.send_id, partial ? "id: 1\nda" : next_event()});
    }
    void run_engine(simulated_engine& engine) {
        if (engine.crashed_at) {
            // Callers leave a stream that has been silent for this long.
            if (now - *engine.crashed_at < 2s) return;
            std::vector<open_send> left;
            left.swap(engine.sends);
            for (const open_send& open : left)
                open.router->process(caller_closed{open.caller});
            return;
        }
        for (std::size_t i = 0; i < engine.sends.size(); ++i) {
            open_send& open = engine.sends[i];
            const bool answers = !open.crashes || kind.delay || kind.point != crash_point::before_head;
            if (answers && !open.begun && now >= open.begins_at) begin_answer(open);
            if (open.begun && kind.delay && now >= open.next_event && now < open.ends_at) {
                open.next_event = now + event_gap;
                open.router->process(response_data{open.send_id, next_event()});
            }
            if (now < open.ends_at) continue;
            if (open.crashes) {
                crash(engine);
                return;
            }
            const open_send ended = open;
            engine.sends.erase(engine.sends.begin() + static_cast<std::ptrdiff_t>(i--));
            repeated_ended += ended.repeated ? 1 : 0;
            sound_whole += ended.sound ? 1 : 0;
            ended.router->process(response_end{ended.send_id, send_result::complete});
        }
    }
    /// Runs the fleet; `arrive` is called in each step with the step's number and submits requests.
    template <class F>
    void run_for(duration time, F&& arrive) {
        for (duration passed{}; passed < time; passed += step) {
            now += step;
            bool changed = false;
            for (simulated_engine& engine : engines) {
                run_engine(engine);
                if (!engine.crashed_at) continue;
                const duration since = now - *engine.crashed_at;
                changed = changed || (since >= 2s && since < 2s + step);
                if (since < 4s) continue;
                engine = {"e-" + std::to_string(next_id++), {}, {}};
                changed = true;
            }
            if (changed) publish();
            for (const auto& router : routers) {
                router->now = now;
                router->confirm_now();
                router->process(timer_fired{});
            }
            arrive(static_cast<std::size_t>((now - time_point{1000s}) / step));
            for (int hop = 0; hop < 3; ++hop)
                handle_effects();
        }
    }
    void submit_sound(std::size_t number) {
        ++sound_sent;
        submit(*routers[number % routers.size()], {shared_part, 100 + number % 7});
    }
    /// Sound requests that share their first part, and others with fewer of them.
    void submit_sound_with_session(std::size_t number) {
        ++sound_sent;
        submit(*routers[number % routers.size()], {shared_part, 100 + number % 4, 2000 + number * 7 % 60});
    }
    void submit_repeated(std::size_t number) {
        ++repeated_sent;
        submit(*routers[number % routers.size()], {shared_part, 105}, repeated_body);
    }
    void submit_crashing(std::size_t number) {
        submit(*routers[number % routers.size()], {shared_part, 106}, crashing_body);
    }
    [[nodiscard]] std::size_t crashing_arrivals_after(time_point at) const {
        return static_cast<std::size_t>(
            std::ranges::count_if(crashing_arrivals, [&](time_point arrived) { return arrived > at; }));
    }
};

} // namespace damaskhill::direct
