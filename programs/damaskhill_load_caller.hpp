// HTTP load client of damaskhill_load: sends questions, streams, lookups and orders to routers, retries
// failed requests through the next router, and checks every answer against the one that the stand-in targets
// give.
//
// Index of this file:
// [SECTION] Operations
// [SECTION] Totals
// [SECTION] Load client

#pragma once

#include "damaskhill_impl_curl.hpp"
#include "damaskhill_impl_json.hpp"

#include <fstream>
#include <map>
#include <memory>
#include <set>

namespace damaskhill::load {

//-----------------------------------------------------------------------------
// [SECTION] Operations
//-----------------------------------------------------------------------------

/// Kinds of requests. `review` is a long completion, `quick` a short one; `lookup` is idempotent, `order` and
/// `reservation` must run at most once.
enum class operation_kind : std::uint8_t { quick, review, stream, lookup, order, reservation };
inline constexpr std::size_t operation_kind_count = 6;

inline const char* name_of(operation_kind kind) {
    static constexpr const char* names[operation_kind_count] = {"quick",  "review", "stream",
                                                                "lookup", "order",  "reservation"};
    return names[static_cast<std::size_t>(kind)];
}
inline bool is_order(operation_kind kind) {
    return kind == operation_kind::order || kind == operation_kind::reservation;
}

struct account_key {
    std::string name;
    std::string key;
};

/// The deployment under load.
struct fleet {
    std::vector<std::string> routers; // URLs
    std::vector<account_key> accounts;
    std::string model;
    std::string service;
    std::string orders;       // path under the service
    std::string reservations; // path under the service
    std::string lookups;      // path under the service
};

/// Text that the stand-in engine generates; a function of the prompt and the number of tokens alone.
inline std::string expected_text(const std::string& prompt, std::uint64_t tokens) {
    std::string text;
    for (std::uint64_t i = 1; i <= tokens; ++i) {
        text += "w" + std::to_string(stable_hash(prompt, i) % 1000) + " ";
    }
    return text;
}

/// UUIDv7 (RFC 9562) with the present time.
inline std::string make_idempotency_key(random_source& random) {
    const auto ms =
        std::chrono::duration_cast<std::chrono::milliseconds>(wall_clock().time_since_epoch()).count();
    const std::uint64_t high = (static_cast<std::uint64_t>(ms) << 16U) | 0x7000U | (random.next() & 0xFFFU);
    const std::uint64_t low = (random.next() >> 2U) | (std::uint64_t{1} << 63U);
    return format_hex128(high, low);
}

/// One request of a caller with all its attempts.
struct operation {
    operation_kind kind{};
    account_key account;
    std::string prompt;            // of questions; for lookups the item, for orders the name of the order
    std::uint64_t tokens{16};      // questions
    std::string key;               // orders: Idempotency-Key
    std::string request_id;        // X-Request-Id; empty: not sent
    std::size_t router{};          // index of the router for the first attempt
    bool retry_enabled{true};      // false: the first reply is final
    double accept_not_run{};       // orders: probability of giving up after a "not_run" refusal
    double repeat_probability{};   // orders: probability of sending the order again after its answer
    duration attempt_timeout{12s}; // of one attempt
    duration total_timeout{40s};   // of all attempts
};

/// Result of an operation as its caller sees it.
struct operation_result {
    std::uint32_t status{};   // HTTP status of the last reply; 0: no reply
    std::string problem;      // last component of the problem's type URN; empty for an answer
    std::string run_state;    // run_state member of the problem
    std::uint32_t attempts{}; // sent
    std::uint32_t retry_after{};
    bool answered{};
    bool wrong{};                  // an answer other than the expected one
    bool false_not_run{};          // an order was refused as "not_run" after it had been answered
    duration elapsed{};            // from the first attempt to the result
    duration time_to_first_byte{}; // of the last attempt, from its send
};

//-----------------------------------------------------------------------------
// [SECTION] Totals
//-----------------------------------------------------------------------------

/// An attempt whose connection broke, or whose stream ended with an error, after the router had received it.
struct interruption {
    time_point at{};
    time_point first_sent{}; // start of the operation, perhaps through another router
    std::string router;
    operation_kind kind{};
    bool stream_begun{}; // status 200 had arrived
};

struct load_totals {
    struct counts {
        std::uint64_t started{};
        std::uint64_t answered{};
        std::uint64_t wrong{};
        std::uint64_t attempts{};
        std::uint64_t unanswered{};
        std::vector<double> seconds; // duration of each answered operation
    };
    std::array<counts, operation_kind_count> by_kind;
    std::map<std::string, std::uint64_t> refusals; // by "problem/run_state"; counts every attempt
    std::uint64_t false_not_run{};
    std::vector<interruption> interruptions;
};

//-----------------------------------------------------------------------------
// [SECTION] Load client
//-----------------------------------------------------------------------------

using completion_handler = std::function<void(const operation&, const operation_result&)>;

/// Runs operations on an event loop; calls the handler of each exactly once, at its end.
class load_client {
public:
    load_client(event_loop& loop, fleet target_fleet, std::uint64_t seed)
        : loop_(loop), http_(loop), fleet_(std::move(target_fleet)) {
        random_.state = seed;
    }

    void start(operation request, completion_handler done) {
        auto t = std::make_shared<task>();
        t->request = std::move(request);
        t->done = std::move(done);
        t->started = wall_clock();
        ++pending_;
        ++counts(*t).started;
        send(t);
    }

    [[nodiscard]] std::size_t pending() const { return pending_; }
    [[nodiscard]] const load_totals& totals() const { return totals_; }
    [[nodiscard]] const fleet& target_fleet() const { return fleet_; }
    [[nodiscard]] random_source& random() { return random_; }

private:
    struct task {
        operation request;
        operation_result result;
        completion_handler done;
        time_point started{};
        time_point sent{};
        std::string reply; // body of the present attempt, as far as received
        std::string first_reply;
        bool executed{};
        std::uint32_t status{};
    };
    using task_ptr = std::shared_ptr<task>;

    load_totals::counts& counts(const task& t) {
        return totals_.by_kind[static_cast<std::size_t>(t.request.kind)];
    }

    [[nodiscard]] const std::string& router_url(const task& t) const {
        return fleet_.routers[t.request.router % fleet_.routers.size()];
    }

    http_call make_call(const task& t) const {
        const operation& op = t.request;
        http_call call;
        call.method = "POST";
        call.timeout = op.attempt_timeout;
        call.headers = {{"Authorization", "Bearer " + op.account.key}, {"Content-Type", "application/json"}};
        if (!op.request_id.empty()) call.headers.emplace_back("X-Request-Id", op.request_id);
        std::string path = "/v1/completions";
        json body{{"model", fleet_.model}, {"prompt", op.prompt}, {"max_tokens", op.tokens}};
        if (op.kind == operation_kind::stream) body["stream"] = true;
        if (op.kind == operation_kind::lookup) {
            call.method = "GET";
            path = "/services/" + fleet_.service + fleet_.lookups + "/" + op.prompt;
            body = nullptr;
        } else if (is_order(op.kind)) {
            const std::string& subpath =
                op.kind == operation_kind::order ? fleet_.orders : fleet_.reservations;
            path = "/services/" + fleet_.service + subpath;
            body = {{"order", op.prompt}};
            if (!op.key.empty()) call.headers.emplace_back("Idempotency-Key", op.key);
        }
        call.url = router_url(t) + path;
        if (!body.is_null()) call.body = dump_json(body);
        return call;
    }

    void send(const task_ptr& t) {
        ++t->result.attempts;
        ++counts(*t).attempts;
        t->reply.clear();
        t->status = 0;
        t->sent = wall_clock();
        t->result.time_to_first_byte = {};
        http_.start(make_call(*t), {[t](std::uint32_t status, std::string_view, std::string&& data) {
                                        t->status = status;
                                        if (t->reply.empty())
                                            t->result.time_to_first_byte = wall_clock() - t->sent;
                                        t->reply += data;
                                    },
                                    [this, t](http_result&& result) { on_reply(t, result); }});
    }

    void on_reply(const task_ptr& t, const http_result& result) {
        operation_result& o = t->result;
        o.status = result.transport_ok ? result.status : 0;
        o.problem.clear();
        o.run_state.clear();
        if (!result.transport_ok) {
            if (result.sent) record_interruption(*t);
            retry_or_finish(t);
            return;
        }
        if (result.content_type.starts_with("application/problem+json")) {
            on_problem(t);
            return;
        }
        if (t->request.kind == operation_kind::stream && t->reply.find("event: error") != std::string::npos) {
            record_interruption(*t);
            if (!is_correct_prefix(*t)) o.wrong = true;
            retry_or_finish(t);
            return;
        }
        on_answer(t);
    }

    void record_interruption(const task& t) {
        totals_.interruptions.push_back(
            {wall_clock(), t.started, router_url(t), t.request.kind, t.status == 200});
    }

    void on_problem(const task_ptr& t) {
        failure error;
        const auto problem = parse_json(t->reply, "problem", error);
        operation_result& o = t->result;
        if (!problem || !problem->is_object()) {
            o.wrong = true;
            finish(t);
            return;
        }
        const std::string type = problem->value("type", "");
        o.problem = type.substr(type.rfind(':') + 1);
        o.run_state = problem->value("run_state", "");
        ++totals_.refusals[o.problem + "/" + o.run_state];
        if (is_order(t->request.kind) && o.run_state == "not_run") {
            if (t->executed) o.false_not_run = true;
            if (random_.next_unit() < t->request.accept_not_run) {
                finish(t);
                return;
            }
        }
        retry_or_finish(t);
    }

    void on_answer(const task_ptr& t) {
        operation_result& o = t->result;
        o.answered = is_correct(*t);
        o.wrong = o.wrong || !o.answered;
        if (!is_order(t->request.kind) || o.wrong) {
            finish(t);
            return;
        }
        if (t->executed && t->reply != t->first_reply) o.wrong = true;
        const bool ask_again = !t->executed && random_.next_unit() < t->request.repeat_probability;
        t->executed = true;
        t->first_reply = t->reply;
        if (!ask_again) {
            finish(t);
            return;
        }
        ++t->request.router;
        send(t);
    }

    // Retries through the next router, or finishes if the error is permanent or the time is up.
    void retry_or_finish(const task_ptr& t) {
        static const std::set<std::string, std::less<>> retryable{"",
                                                                  "queue_full",
                                                                  "deadline_exceeded",
                                                                  "isolated",
                                                                  "draining",
                                                                  "target_failed",
                                                                  "order_store_unavailable",
                                                                  "order_outcome_unknown",
                                                                  "answer_incomplete",
                                                                  "retry_budget_exhausted"};
        const bool expired = wall_clock() - t->started > t->request.total_timeout;
        if (!t->request.retry_enabled || expired || t->result.wrong ||
            !retryable.contains(t->result.problem)) {
            finish(t);
            return;
        }
        // Random delay of 50 to 450 ms, so that the callers of a stopped router do not retry all at once.
        constexpr double window_ms = 400.0;
        const auto delay =
            std::chrono::milliseconds{static_cast<int>(50.0 + random_.next_unit() * window_ms)};
        ++t->request.router;
        loop_.after(delay, [this, t] { send(t); });
    }

    void finish(const task_ptr& t) {
        operation_result& o = t->result;
        o.elapsed = wall_clock() - t->started;
        if (t->executed) o.answered = true;
        auto& c = counts(*t);
        (o.answered ? c.answered : c.unanswered) += 1;
        if (o.wrong) ++c.wrong;
        if (o.false_not_run) ++totals_.false_not_run;
        if (o.answered) c.seconds.push_back(to_seconds(o.elapsed));
        --pending_;
        t->done(t->request, o);
    }

    // Text of a completion as far as received; `complete` tells whether its end has arrived.
    static std::string completion_text(const task& t, bool& complete) {
        failure error;
        complete = false;
        if (t.request.kind != operation_kind::stream) {
            const auto body = parse_json(t.reply, "answer", error);
            complete = body.has_value();
            return complete ? (*body)["choices"][0].value("text", "") : "";
        }
        std::string text;
        std::istringstream lines{t.reply};
        for (std::string line; std::getline(lines, line);) {
            if (!line.starts_with("data: ")) continue;
            line.erase(0, 6);
            if (line == "[DONE]") {
                complete = true;
                continue;
            }
            const auto event = parse_json(line, "event", error);
            if (event && event->contains("choices")) text += (*event)["choices"][0].value("text", "");
        }
        return text;
    }

    static bool is_correct_prefix(const task& t) {
        bool complete = false;
        return expected_text(t.request.prompt, t.request.tokens).starts_with(completion_text(t, complete));
    }

    static bool is_correct(const task& t) {
        try {
            bool complete = false;
            if (t.request.kind != operation_kind::lookup && !is_order(t.request.kind)) {
                const std::string text = completion_text(t, complete);
                return t.result.status == 200 && complete &&
                       text == expected_text(t.request.prompt, t.request.tokens);
            }
            const json body = json::parse(t.reply);
            if (t.request.kind == operation_kind::lookup) {
                return body.at("item") == t.request.prompt &&
                       body.at("stock") == stable_hash(t.request.prompt) % 100;
            }
            return t.result.status == 201 && body.at("order") == t.request.prompt;
        } catch (const json::exception&) {
            return false;
        }
    }

    event_loop& loop_;
    http_client http_;
    fleet fleet_;
    random_source random_;
    load_totals totals_;
    std::size_t pending_{};
};

} // namespace damaskhill::load
