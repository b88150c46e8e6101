// Callers of damaskhill_load: send questions, streams, lookups and orders to routers, repeat what failed
// through another router, and compare every answer with the one that the stand-ins must give.
//
// Index of this file:
// [SECTION] Work
// [SECTION] Tally
// [SECTION] Callers

#pragma once

#include "damaskhill_impl_curl.hpp"
#include "damaskhill_impl_json.hpp"

#include <fstream>
#include <map>
#include <memory>
#include <set>

namespace damaskhill::load {

//-----------------------------------------------------------------------------
// [SECTION] Work
//-----------------------------------------------------------------------------

enum class work_kind : std::uint8_t { quick, review, stream, lookup, order, reservation };
inline constexpr std::size_t work_kinds = 6;

inline const char* name_of(work_kind kind) {
    static constexpr const char* names[work_kinds] = {"quick",  "review", "stream",
                                                      "lookup", "order",  "reservation"};
    return names[static_cast<std::size_t>(kind)];
}
inline bool is_order(work_kind kind) { return kind == work_kind::order || kind == work_kind::reservation; }

struct account_key {
    std::string name;
    std::string key;
};

/// Where the load goes.
struct fleet {
    std::vector<std::string> routers; // URLs
    std::vector<account_key> accounts;
    std::string model;
    std::string service;
    std::string orders;       // path below the service
    std::string reservations; // path below the service
    std::string lookups;      // path below the service
};

/// Answer of the stand-in engine to a prompt; it depends on the prompt alone.
inline std::string expected_text(const std::string& prompt, std::uint64_t tokens) {
    std::string text;
    for (std::uint64_t i = 1; i <= tokens; ++i) {
        text += "w" + std::to_string(stable_hash(prompt, i) % 1000) + " ";
    }
    return text;
}

/// UUIDv7 (RFC 9562) of the present time.
inline std::string make_order_key(random_source& random) {
    const auto ms =
        std::chrono::duration_cast<std::chrono::milliseconds>(wall_clock().time_since_epoch()).count();
    const std::uint64_t high = (static_cast<std::uint64_t>(ms) << 16U) | 0x7000U | (random.next() & 0xFFFU);
    const std::uint64_t low = (random.next() >> 2U) | (std::uint64_t{1} << 63U);
    return format_hex128(high, low);
}

/// One request of a caller with all its repeats.
struct work {
    work_kind kind{};
    account_key account;
    std::string prompt;          // questions; lookups: item; orders: name of the order
    std::uint64_t tokens{16};    // questions
    std::string key;             // orders: Idempotency-Key
    std::string request_id;      // X-Request-Id, empty: none
    std::size_t router{};        // where the first attempt goes
    bool repeats{true};          // false: the first reply is the result
    double accept_not_run{};     // orders: probability that the caller gives up at a "not_run"
    double repeat_answered{};    // orders: probability that the caller asks again after the answer
    duration attempt_limit{12s}; // of one attempt
    duration limit{40s};         // of all attempts
};

/// How a piece of work ended for its caller.
struct outcome {
    std::uint32_t status{};   // of the last reply, 0: none
    std::string problem;      // last part of the problem's type, empty for an answer
    std::string run_state;    // of the problem
    std::uint32_t attempts{}; // that were sent
    std::uint32_t retry_after{};
    bool answered{};
    bool wrong{};          // an answer that is not the one of this request
    bool false_not_run{};  // "not_run" was said of an order whose answer had been given
    duration took{};       // from the first attempt to the result
    duration first_byte{}; // of the attempt that gave the result
};

//-----------------------------------------------------------------------------
// [SECTION] Tally
//-----------------------------------------------------------------------------

/// A request that broke after its router had taken it.
struct cut {
    time_point at{};
    time_point asked{}; // when the caller first sent it, perhaps through another router
    std::string router;
    work_kind kind{};
    bool stream_begun{};
};

struct tally {
    struct counts {
        std::uint64_t asked{};
        std::uint64_t answered{};
        std::uint64_t wrong{};
        std::uint64_t attempts{};
        std::uint64_t unanswered{};
        std::vector<double> seconds; // of answered work
    };
    std::array<counts, work_kinds> by_kind;
    std::map<std::string, std::uint64_t> refusals; // by kind of problem and run state, every attempt
    std::uint64_t false_not_run{};
    std::vector<cut> cuts;
};

//-----------------------------------------------------------------------------
// [SECTION] Callers
//-----------------------------------------------------------------------------

using done_handler = std::function<void(const work&, const outcome&)>;

/// Runs work on an event loop; each piece ends with exactly one call of its handler.
class callers {
public:
    callers(event_loop& loop, fleet where, std::uint64_t seed)
        : loop_(loop), http_(loop), fleet_(std::move(where)) {
        random_.state = seed;
    }

    void start(work asked, done_handler done) {
        auto t = std::make_shared<task>();
        t->asked = std::move(asked);
        t->done = std::move(done);
        t->started = wall_clock();
        ++open_;
        ++counts(*t).asked;
        send(t);
    }

    [[nodiscard]] std::size_t open() const { return open_; }
    [[nodiscard]] const tally& totals() const { return tally_; }
    [[nodiscard]] const fleet& where() const { return fleet_; }
    [[nodiscard]] random_source& random() { return random_; }

private:
    struct task {
        work asked;
        outcome result;
        done_handler done;
        time_point started{};
        time_point sent{};
        std::string reply; // bytes of the present attempt
        std::string first_answer;
        bool ran{};
        std::uint32_t status{};
    };
    using task_ptr = std::shared_ptr<task>;

    tally::counts& counts(const task& t) { return tally_.by_kind[static_cast<std::size_t>(t.asked.kind)]; }

    [[nodiscard]] const std::string& router_of(const task& t) const {
        return fleet_.routers[t.asked.router % fleet_.routers.size()];
    }

    http_call call_of(const task& t) const {
        const work& w = t.asked;
        http_call call;
        call.method = "POST";
        call.timeout = w.attempt_limit;
        call.headers = {{"Authorization", "Bearer " + w.account.key}, {"Content-Type", "application/json"}};
        if (!w.request_id.empty()) call.headers.emplace_back("X-Request-Id", w.request_id);
        std::string path = "/v1/completions";
        json body{{"model", fleet_.model}, {"prompt", w.prompt}, {"max_tokens", w.tokens}};
        if (w.kind == work_kind::stream) body["stream"] = true;
        if (w.kind == work_kind::lookup) {
            call.method = "GET";
            path = "/services/" + fleet_.service + fleet_.lookups + "/" + w.prompt;
            body = nullptr;
        } else if (is_order(w.kind)) {
            const std::string& below = w.kind == work_kind::order ? fleet_.orders : fleet_.reservations;
            path = "/services/" + fleet_.service + below;
            body = {{"order", w.prompt}};
            if (!w.key.empty()) call.headers.emplace_back("Idempotency-Key", w.key);
        }
        call.url = router_of(t) + path;
        if (!body.is_null()) call.body = dump_json(body);
        return call;
    }

    void send(const task_ptr& t) {
        ++t->result.attempts;
        ++counts(*t).attempts;
        t->reply.clear();
        t->status = 0;
        t->sent = wall_clock();
        t->result.first_byte = {};
        http_.start(call_of(*t), {[t](std::uint32_t status, std::string_view, std::string&& data) {
                                      t->status = status;
                                      if (t->reply.empty()) t->result.first_byte = wall_clock() - t->sent;
                                      t->reply += data;
                                  },
                                  [this, t](http_result&& result) { on_reply(t, result); }});
    }

    void on_reply(const task_ptr& t, const http_result& result) {
        outcome& o = t->result;
        o.status = result.transport_ok ? result.status : 0;
        o.problem.clear();
        o.run_state.clear();
        if (!result.transport_ok) {
            if (result.sent) note_cut(*t);
            repeat(t);
            return;
        }
        if (result.content_type.starts_with("application/problem+json")) {
            on_problem(t);
            return;
        }
        if (t->asked.kind == work_kind::stream && t->reply.find("event: error") != std::string::npos) {
            note_cut(*t);
            if (!is_prefix(*t)) o.wrong = true;
            repeat(t);
            return;
        }
        on_answer(t);
    }

    void note_cut(const task& t) {
        tally_.cuts.push_back({wall_clock(), t.started, router_of(t), t.asked.kind, t.status == 200});
    }

    void on_problem(const task_ptr& t) {
        failure why;
        const auto problem = parse_json(t->reply, "problem", why);
        outcome& o = t->result;
        if (!problem || !problem->is_object()) {
            o.wrong = true;
            finish(t);
            return;
        }
        const std::string type = problem->value("type", "");
        o.problem = type.substr(type.rfind(':') + 1);
        o.run_state = problem->value("run_state", "");
        ++tally_.refusals[o.problem + "/" + o.run_state];
        if (is_order(t->asked.kind) && o.run_state == "not_run") {
            if (t->ran) o.false_not_run = true;
            if (random_.next_unit() < t->asked.accept_not_run) {
                finish(t);
                return;
            }
        }
        repeat(t);
    }

    void on_answer(const task_ptr& t) {
        outcome& o = t->result;
        o.answered = is_right(*t);
        o.wrong = o.wrong || !o.answered;
        if (!is_order(t->asked.kind) || o.wrong) {
            finish(t);
            return;
        }
        if (t->ran && t->reply != t->first_answer) o.wrong = true;
        const bool ask_again = !t->ran && random_.next_unit() < t->asked.repeat_answered;
        t->ran = true;
        t->first_answer = t->reply;
        if (!ask_again) {
            finish(t);
            return;
        }
        ++t->asked.router;
        send(t);
    }

    // Sends the work again through the next router, or ends it when that cannot help.
    void repeat(const task_ptr& t) {
        static const std::set<std::string, std::less<>> temporary{"",
                                                                  "queue_full",
                                                                  "deadline_exceeded",
                                                                  "isolated",
                                                                  "draining",
                                                                  "target_failed",
                                                                  "order_store_unavailable",
                                                                  "order_outcome_unknown",
                                                                  "answer_incomplete",
                                                                  "retry_budget_exhausted"};
        const bool late = wall_clock() - t->started > t->asked.limit;
        if (!t->asked.repeats || late || t->result.wrong || !temporary.contains(t->result.problem)) {
            finish(t);
            return;
        }
        // Full jitter over a short window, so that callers of a stopped router do not arrive together.
        constexpr double window_ms = 400.0;
        const auto delay =
            std::chrono::milliseconds{static_cast<int>(50.0 + random_.next_unit() * window_ms)};
        ++t->asked.router;
        loop_.after(delay, [this, t] { send(t); });
    }

    void finish(const task_ptr& t) {
        outcome& o = t->result;
        o.took = wall_clock() - t->started;
        if (t->ran) o.answered = true;
        auto& c = counts(*t);
        (o.answered ? c.answered : c.unanswered) += 1;
        if (o.wrong) ++c.wrong;
        if (o.false_not_run) ++tally_.false_not_run;
        if (o.answered) c.seconds.push_back(to_seconds(o.took));
        --open_;
        t->done(t->asked, o);
    }

    // Text of a completion that has arrived so far.
    static std::string text_of(const task& t, bool& whole) {
        failure why;
        whole = false;
        if (t.asked.kind != work_kind::stream) {
            const auto body = parse_json(t.reply, "answer", why);
            whole = body.has_value();
            return whole ? (*body)["choices"][0].value("text", "") : "";
        }
        std::string text;
        std::istringstream lines{t.reply};
        for (std::string line; std::getline(lines, line);) {
            if (!line.starts_with("data: ")) continue;
            line.erase(0, 6);
            if (line == "[DONE]") {
                whole = true;
                continue;
            }
            const auto event = parse_json(line, "event", why);
            if (event && event->contains("choices")) text += (*event)["choices"][0].value("text", "");
        }
        return text;
    }

    static bool is_prefix(const task& t) {
        bool whole = false;
        return expected_text(t.asked.prompt, t.asked.tokens).starts_with(text_of(t, whole));
    }

    static bool is_right(const task& t) {
        try {
            bool whole = false;
            if (t.asked.kind != work_kind::lookup && !is_order(t.asked.kind)) {
                const std::string text = text_of(t, whole);
                return t.result.status == 200 && whole &&
                       text == expected_text(t.asked.prompt, t.asked.tokens);
            }
            const json body = json::parse(t.reply);
            if (t.asked.kind == work_kind::lookup) {
                return body.at("item") == t.asked.prompt &&
                       body.at("stock") == stable_hash(t.asked.prompt) % 100;
            }
            return t.result.status == 201 && body.at("order") == t.asked.prompt;
        } catch (const json::exception&) {
            return false;
        }
    }

    event_loop& loop_;
    http_client http_;
    fleet fleet_;
    random_source random_;
    tally tally_;
    std::size_t open_{};
};

} // namespace damaskhill::load
