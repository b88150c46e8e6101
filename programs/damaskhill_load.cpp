// Load generator and checker for a deployment of stand-in targets: single checks for scripts/demo, and a
// mixed load that records the result of every order for scripts/soak.
//
// Index of this file:
// [SECTION] Options
// [SECTION] Helpers
// [SECTION] Checks
// [SECTION] Rollouts
// [SECTION] Mixed load
// [SECTION] Verification
// [SECTION] Program

#include "damaskhill_load_caller.hpp"

#include "damaskhill_impl_program.hpp"

#include <algorithm>
#include <cstdio>

#include <getopt.h>

using namespace damaskhill;
using namespace damaskhill::load;

namespace {

//-----------------------------------------------------------------------------
// [SECTION] Options
//-----------------------------------------------------------------------------

struct options {
    std::string deployment; // directory with deployment.conf and keys.txt
    std::vector<std::string> routers;
    std::vector<std::string> engines;
    std::vector<std::string> busy;
    std::vector<std::string> run_logs;
    std::string request_id;
    std::string ledger;
    std::string planned;
    std::string title;
    std::string version;
    std::uint64_t seed{1};
    std::uint64_t seconds{3};
    std::uint64_t concurrency{24};
    double accept_not_run{0.5};
};

std::vector<std::string> split_list(const std::string& text, char separator) {
    std::vector<std::string> parts;
    std::istringstream in{text};
    for (std::string part; std::getline(in, part, separator);) {
        if (!part.empty()) parts.push_back(part);
    }
    return parts;
}

// Reads NAME=VALUE lines; values may be quoted.
std::map<std::string, std::string> read_conf(const std::string& file) {
    std::map<std::string, std::string> values;
    std::ifstream in{file};
    for (std::string line; std::getline(in, line);) {
        const std::size_t equals = line.find('=');
        if (line.starts_with('#') || equals == std::string::npos) continue;
        std::string value = line.substr(equals + 1);
        std::erase(value, '"');
        values[line.substr(0, equals)] = value;
    }
    return values;
}

std::optional<fleet> load_fleet(const options& o, failure& error) {
    auto conf = read_conf(o.deployment + "/deployment.conf");
    fleet f;
    f.routers = o.routers;
    f.model = conf["model"];
    f.service = conf["service"];
    f.orders = conf["orders"];
    f.reservations = conf["reservations"];
    f.lookups = conf["lookups"];
    std::ifstream keys{o.deployment + "/keys.txt"};
    for (account_key a; keys >> a.name >> a.key;)
        f.accounts.push_back(a);
    if (f.model.empty() || f.accounts.empty()) {
        error = {failure_kind::not_found, o.deployment, "no usable deployment.conf or keys.txt",
                 "a directory such as examples/harmonika"};
        return std::nullopt;
    }
    if (f.routers.empty()) {
        error = {failure_kind::missing_field, "--routers", "nothing", "URLs of routers, separated by commas"};
        return std::nullopt;
    }
    return f;
}

//-----------------------------------------------------------------------------
// [SECTION] Helpers
//-----------------------------------------------------------------------------

struct finished_operation {
    operation request;
    operation_result result;
};

/// An event loop with a load client. A check starts operations and waits for all of them, step by step.
class load_session {
public:
    load_session(const options& o, const fleet& f) : client_(loop_, f, o.seed) {}

    operation make(operation_kind kind, std::uint64_t tokens = 16) {
        const auto& accounts = client_.target_fleet().accounts;
        operation op;
        op.kind = kind;
        op.account = accounts[next_ % accounts.size()];
        op.router = next_++;
        op.tokens = tokens;
        op.prompt = std::string{name_of(kind)} + "-" +
                    format_hex128(client_.random().next(), next_).substr(0, 16) + "-" + std::to_string(next_);
        if (is_order(kind)) op.key = make_idempotency_key(client_.random());
        return op;
    }

    void start(operation op) {
        client_.start(std::move(op), [this](const operation& request, const operation_result& result) {
            done_.push_back({request, result});
            if (client_.pending() == 0) loop_.stop();
        });
    }

    void after(duration delay, std::function<void()> action) { loop_.after(delay, std::move(action)); }

    /// Waits for all started operations and returns the results since the last call.
    std::vector<finished_operation> finish() {
        if (client_.pending() > 0) loop_.run();
        return std::exchange(done_, {});
    }

    http_result call(http_call request) {
        http_result answer;
        http_client http{loop_};
        http.start(std::move(request), {{}, [&](http_result&& result) {
                                            answer = std::move(result);
                                            loop_.stop();
                                        }});
        loop_.run();
        return answer;
    }

    json get_json(const std::string& url) {
        const http_result answer = call({"GET", url, {}, {}});
        failure error;
        return parse_json(answer.body, url, error).value_or(json::object());
    }

    load_client& client() { return client_; }
    event_loop& loop() { return loop_; }

private:
    event_loop loop_;
    load_client client_;
    std::vector<finished_operation> done_;
    std::size_t next_{};
};

std::size_t count_if(const std::vector<finished_operation>& list,
                     const std::function<bool(const finished_operation&)>& test) {
    return static_cast<std::size_t>(std::ranges::count_if(list, test));
}
bool answered_correctly(const finished_operation& f) { return f.result.answered && !f.result.wrong; }

double max_elapsed(const std::vector<finished_operation>& list) {
    duration longest{};
    for (const auto& f : list)
        longest = std::max(longest, f.result.elapsed);
    return to_seconds(longest);
}

template <class... Parts>
std::string format_text(const char* format, Parts... parts) {
    std::array<char, 512> buffer{};
    std::snprintf(buffer.data(), buffer.size(), format, parts...);
    return buffer.data();
}

int report(bool ok, const std::string& title, const std::string& detail) {
    std::printf("%-4s  %-38s %s\n", ok ? "ok" : "FAIL", title.c_str(), detail.c_str());
    std::fflush(stdout);
    return ok ? 0 : static_cast<int>(exit_code::check_failed);
}

// Number of executions of each order, from the logs of the stand-in services.
std::map<std::string, std::uint64_t> read_runs(const std::vector<std::string>& files) {
    std::map<std::string, std::uint64_t> runs;
    for (const std::string& file : files) {
        std::ifstream in{file};
        for (std::string order; std::getline(in, order);)
            ++runs[order];
    }
    return runs;
}

//-----------------------------------------------------------------------------
// [SECTION] Checks
//-----------------------------------------------------------------------------

int check_plain(load_session& session, operation_kind kind, std::size_t expected, const std::string& title) {
    for (std::size_t i = 0; i < expected; ++i)
        session.start(session.make(kind, kind == operation_kind::stream ? 48 : 16));
    const auto done = session.finish();
    const std::size_t correct = count_if(done, answered_correctly);
    return report(
        correct == expected, title,
        format_text("%zu of %zu answers correct, slowest %.2f s", correct, expected, max_elapsed(done)));
}

int check_quick(const options& /*o*/, load_session& session) {
    return check_plain(session, operation_kind::quick, 48, "quick questions");
}
int check_streams(const options& /*o*/, load_session& session) {
    return check_plain(session, operation_kind::stream, 24, "streams");
}
int check_lookups(const options& /*o*/, load_session& session) {
    return check_plain(session, operation_kind::lookup, 60, "stock lookups");
}

int check_reviews(const options& /*o*/, load_session& session) {
    constexpr std::size_t reviews = 32;
    constexpr std::size_t questions = 32;
    for (std::size_t i = 0; i < reviews; ++i)
        session.start(session.make(operation_kind::review, 600));
    session.after(500ms, [&] {
        for (std::size_t i = 0; i < questions; ++i)
            session.start(session.make(operation_kind::quick));
    });
    const auto done = session.finish();
    std::vector<finished_operation> quick;
    std::vector<finished_operation> slow;
    for (const auto& f : done)
        (f.request.kind == operation_kind::quick ? quick : slow).push_back(f);
    const std::size_t correct = count_if(quick, answered_correctly);
    const std::size_t completed = count_if(slow, answered_correctly);
    return report(
        correct == questions && completed == reviews, "quick questions during long reviews",
        format_text(
            "%zu of %zu reviews finished (slowest %.1f s), %zu of %zu questions answered (slowest %.2f s)",
            completed, reviews, max_elapsed(slow), correct, questions, max_elapsed(quick)));
}

int check_orders(const options& o, load_session& session, operation_kind kind) {
    constexpr std::size_t orders = 24;
    constexpr std::size_t copies = 3;
    for (std::size_t i = 0; i < orders; ++i) {
        // Every router gets the same order at the same time, and again after its answer: 3 copies, 2 sends
        // each.
        operation op = session.make(kind);
        op.repeat_probability = 1.0;
        for (std::size_t copy = 0; copy < copies; ++copy) {
            op.router = copy;
            session.start(op);
        }
    }
    const auto done = session.finish();
    const auto runs = read_runs(o.run_logs);
    std::size_t ran_once = 0;
    std::set<std::string> names;
    for (const auto& f : done)
        names.insert(f.request.prompt);
    for (const auto& name : names) {
        const auto found = runs.find(name);
        if (found != runs.end() && found->second == 1) ++ran_once;
    }
    const std::size_t correct = count_if(done, answered_correctly);
    return report(correct == orders * copies && ran_once == orders,
                  std::string{name_of(kind)} + "s sent 6 times each",
                  format_text("%zu of %zu executed exactly once, %zu of %zu callers got the answer", ran_once,
                              orders, correct, orders * copies));
}

int check_refusals(const options& /*o*/, load_session& session) {
    const auto refused_as = [&](operation op, const char* problem, std::uint32_t status) {
        op.retry_enabled = false;
        session.start(std::move(op));
        const auto done = session.finish();
        const operation_result& result = done.front().result;
        return result.problem == problem && result.status == status && result.run_state == "not_run";
    };
    operation wrong_key = session.make(operation_kind::quick);
    wrong_key.account.key = "not-a-key";
    operation without_key = session.make(operation_kind::order);
    without_key.key.clear();
    const bool key = refused_as(wrong_key, "unauthorized", 401);
    const bool order = refused_as(without_key, "key_required", 400);
    return report(key && order, "wrong key; order without a key",
                  format_text("%s; %s", key ? "401 unauthorized, not_run" : "not refused as 401",
                              order ? "400 key_required, not_run" : "not refused as 400"));
}

int check_queue_bound(const options& /*o*/, load_session& session) {
    constexpr std::size_t burst = 200;
    for (std::size_t i = 0; i < burst; ++i) {
        operation op = session.make(operation_kind::quick, 64);
        op.account = session.client().target_fleet().accounts.back(); // declared with max_waiting 8
        op.router = 0;
        op.retry_enabled = false;
        session.start(std::move(op));
    }
    const auto done = session.finish();
    const std::size_t correct = count_if(done, answered_correctly);
    const std::size_t refused = count_if(done, [](const finished_operation& f) {
        return f.result.problem == "queue_full" && f.result.status == 429 && f.result.run_state == "not_run";
    });
    return report(refused > 0 && correct + refused == burst, "queue limit of a small account",
                  format_text("%zu at once: %zu answered, %zu refused 429 queue_full, not_run", burst,
                              correct, refused));
}

std::uint64_t count_requests(load_session& session, const std::vector<std::string>& targets) {
    std::uint64_t sum = 0;
    for (const auto& url : targets)
        sum += session.get_json(url + "/admin/stats").value("requests", std::uint64_t{0});
    return sum;
}

// Sends questions and lookups; none may reach --targets, some must reach --busy.
int check_idle(const options& o, load_session& session) {
    const std::uint64_t idle_before = count_requests(session, o.engines);
    const std::uint64_t busy_before = count_requests(session, o.busy);
    for (std::size_t i = 0; i < 96; ++i) {
        session.start(session.make(operation_kind::quick));
        if (i % 2 == 0) session.start(session.make(operation_kind::lookup));
    }
    const auto done = session.finish();
    const std::uint64_t idle = count_requests(session, o.engines) - idle_before;
    const std::uint64_t busy = count_requests(session, o.busy) - busy_before;
    const std::size_t correct = count_if(done, answered_correctly);
    return report(idle == 0 && busy > 0 && correct == done.size(), o.title,
                  format_text("%zu of %zu answered; %llu requests at these targets, %llu at the others",
                              correct, done.size(), static_cast<unsigned long long>(idle),
                              static_cast<unsigned long long>(busy)));
}

// Sends questions and lookups; every one of --targets must get some.
int check_all_busy(const options& o, load_session& session) {
    std::vector<std::uint64_t> before;
    for (const auto& url : o.engines)
        before.push_back(count_requests(session, {url}));
    for (std::size_t i = 0; i < 144; ++i) {
        session.start(session.make(operation_kind::quick, 32));
        if (i % 2 == 0) session.start(session.make(operation_kind::lookup));
    }
    const auto done = session.finish();
    std::size_t busy = 0;
    for (std::size_t i = 0; i < o.engines.size(); ++i) {
        if (count_requests(session, {o.engines[i]}) > before[i]) ++busy;
    }
    const std::size_t correct = count_if(done, answered_correctly);
    return report(busy == o.engines.size() && correct == done.size(), o.title,
                  format_text("%zu of %zu answered; %zu of %zu targets received requests", correct,
                              done.size(), busy, o.engines.size()));
}

operation stored_answer_request(const options& o, load_session& session) {
    operation op = session.make(operation_kind::quick, 24);
    op.account = session.client().target_fleet().accounts.front();
    op.request_id = o.request_id;
    op.prompt = "answer to fetch " + o.request_id;
    return op;
}

int check_ask(const options& o, load_session& session) {
    operation op = stored_answer_request(o, session);
    op.router = 0;
    session.start(std::move(op));
    const auto done = session.finish();
    return report(answered_correctly(done.front()), "question with a request id",
                  "answered, id " + o.request_id);
}

int check_fetch(const options& o, load_session& session) {
    const operation op = stored_answer_request(o, session);
    const std::string expected = expected_text(op.prompt, op.tokens);
    std::size_t correct = 0;
    for (const auto& router : session.client().target_fleet().routers) {
        http_call call{"GET", router + "/v1/answers/" + o.request_id, {}, {}};
        call.headers = {{"Authorization", "Bearer " + op.account.key}};
        const http_result answer = session.call(call);
        // The stored answer may have the format of either completion route; only its text is compared.
        if (answer.status == 200 && answer.body.find(expected) != std::string::npos) ++correct;
    }
    const std::size_t routers = session.client().target_fleet().routers.size();
    return report(correct == routers, o.title.empty() ? "stored answer from other routers" : o.title,
                  format_text("%zu of %zu routers return the complete answer", correct, routers));
}

int check_crash(const options& o, load_session& session) {
    const auto crashes = [&] {
        std::uint64_t sum = 0;
        for (const auto& url : o.engines)
            sum += session.get_json(url + "/admin/stats").value("crashes", std::uint64_t{0});
        return sum;
    };
    const std::uint64_t before = crashes();
    operation op = session.make(operation_kind::quick);
    op.prompt = "CRASH " + op.prompt;
    std::size_t quarantined = 0;
    constexpr std::size_t repeat_count = 3;
    for (std::size_t i = 0; i < repeat_count; ++i) {
        ++op.router;
        session.start(op);
        const auto done = session.finish();
        if (done.front().result.problem == "quarantined" && done.front().result.status == 422) ++quarantined;
    }
    for (std::size_t i = 0; i < 24; ++i)
        session.start(session.make(operation_kind::quick));
    const auto others = session.finish();
    const std::size_t correct = count_if(others, answered_correctly);
    const std::uint64_t crashed = crashes() - before;
    return report(
        quarantined == repeat_count && crashed <= 2 && correct == others.size(),
        "request that crashes targets",
        format_text(
            "%llu targets crashed, %zu of %zu times refused 422 quarantined, %zu of %zu other questions "
            "answered",
            static_cast<unsigned long long>(crashed), quarantined, repeat_count, correct, others.size()));
}

//-----------------------------------------------------------------------------
// [SECTION] Rollouts
//-----------------------------------------------------------------------------

/// Sends short questions while a rollout proceeds, and watches its progress.
class rollout_check {
public:
    rollout_check(const options& o, load_session& session)
        : options_(o), session_(session), end_time_(wall_clock() + std::chrono::seconds{o.seconds}) {}

    // Runs until every target serves the version or the time is up.
    int verify_completes() {
        run([this] { return count_serving() == options_.engines.size(); });
        const std::size_t serving = count_serving();
        const bool ok = serving == options_.engines.size() && all_right();
        return report(ok, options_.title,
                      format_text("%zu of %zu targets serve %s after %.1f s, %zu of %zu questions answered",
                                  serving, options_.engines.size(), options_.version.c_str(),
                                  to_seconds(wall_clock() - start_time_), correct_, sent_));
    }

    // Runs until every router has condemned the version, lets 4 s pass, then checks for 1 s that no request
    // reaches it.
    int verify_condemned() {
        run([this] { return count_condemned() == session_.client().target_fleet().routers.size(); });
        const bool condemned = count_condemned() == session_.client().target_fleet().routers.size();
        const std::uint64_t exposed = count_exposed_requests();
        const std::size_t sent = sent_;
        const auto settled = wall_clock() + 4s;
        end_time_ = settled;
        run([] { return false; });
        const std::uint64_t before = count_exposed_requests();
        end_time_ = wall_clock() + 1s;
        run([] { return false; });
        const std::uint64_t late_requests = count_exposed_requests() - before;
        const bool ok = condemned && late_requests == 0 && all_right();
        return report(
            ok, options_.title,
            format_text("%s after %llu of %zu requests, %llu more 4 s later; %zu of %zu questions answered",
                        condemned ? "condemned" : "not condemned", static_cast<unsigned long long>(exposed),
                        sent, static_cast<unsigned long long>(late_requests), correct_, sent_));
    }

private:
    [[nodiscard]] bool all_right() const { return correct_ == sent_; }

    void run(const std::function<bool()>& is_done) {
        while (wall_clock() < end_time_ && !is_done()) {
            constexpr std::size_t batch = 128;
            for (std::size_t i = 0; i < batch; ++i)
                session_.start(session_.make(operation_kind::quick, 1));
            const auto done = session_.finish();
            sent_ += done.size();
            correct_ += count_if(done, answered_correctly);
        }
    }

    std::size_t count_serving() {
        std::size_t serving = 0;
        for (const auto& url : options_.engines)
            serving += session_.get_json(url + "/status").value("version", "") == options_.version ? 1 : 0;
        return serving;
    }

    std::size_t count_condemned() {
        std::size_t condemned = 0;
        for (const auto& router : session_.client().target_fleet().routers) {
            const http_result answer = session_.call({"GET", router + "/metrics", {}, {}});
            condemned +=
                answer.body.find("\ndamaskhill_versions_condemned_total") != std::string::npos ? 1 : 0;
        }
        return condemned;
    }

    std::uint64_t count_exposed_requests() {
        std::uint64_t sum = 0;
        for (const auto& url : options_.engines) {
            const json stats = session_.get_json(url + "/admin/stats");
            sum +=
                stats.value("requests_by_version", json::object()).value(options_.version, std::uint64_t{0});
        }
        return sum;
    }

    const options& options_;
    load_session& session_;
    time_point start_time_{wall_clock()};
    time_point end_time_;
    std::size_t sent_{};
    std::size_t correct_{};
};

int check_good_move(const options& o, load_session& session) {
    return rollout_check{o, session}.verify_completes();
}
int check_bad_move(const options& o, load_session& session) {
    return rollout_check{o, session}.verify_condemned();
}

//-----------------------------------------------------------------------------
// [SECTION] Mixed load
//-----------------------------------------------------------------------------

class mixed_load {
public:
    mixed_load(const options& o, load_session& session)
        : options_(o), session_(session), end_time_(wall_clock() + std::chrono::seconds{o.seconds}) {
        if (!o.ledger.empty()) ledger_.open(o.ledger, std::ios::app);
    }

    int run() {
        for (std::size_t i = 0; i < options_.concurrency; ++i)
            start_next();
        session_.loop().run();
        return summarise();
    }

private:
    operation_kind pick_kind() {
        const double draw = session_.client().random().next_unit();
        if (draw < 0.35) return operation_kind::quick;
        if (draw < 0.55) return operation_kind::stream;
        if (draw < 0.60) return operation_kind::review;
        if (draw < 0.75) return operation_kind::lookup;
        return draw < 0.90 ? operation_kind::order : operation_kind::reservation;
    }

    void start_next() {
        const operation_kind kind = pick_kind();
        operation op = session_.make(kind, kind == operation_kind::review   ? 600
                                           : kind == operation_kind::stream ? 96
                                                                            : 16);
        op.accept_not_run = options_.accept_not_run;
        op.repeat_probability = 0.3;
        session_.client().start(std::move(op),
                                [this](const operation& request, const operation_result& result) {
                                    record_result(request, result);
                                    if (wall_clock() < end_time_) {
                                        start_next();
                                    } else if (session_.client().pending() == 0) {
                                        session_.loop().stop();
                                    }
                                });
    }

    // Writes one ledger line per order, which `verify` compares with the executions.
    void record_result(const operation& request, const operation_result& result) {
        if (result.wrong || result.false_not_run) {
            std::printf("violation: %s %s: %s%s (attempts %u, status %u)\n", name_of(request.kind),
                        request.prompt.c_str(), result.wrong ? "wrong answer " : "",
                        result.false_not_run ? "not_run after an answer" : "", result.attempts,
                        result.status);
        }
        if (!is_order(request.kind)) return;
        const std::string order_state = result.answered                 ? "ran"
                                        : result.run_state == "not_run" ? "not_run"
                                                                        : "unknown";
        ledger_ << dump_json({{"order", request.prompt}, {"key", request.key}, {"end", order_state}}) << '\n';
    }

    int summarise() {
        const load_totals& totals = session_.client().totals();
        std::uint64_t started = 0;
        std::uint64_t correct = 0;
        std::uint64_t wrong = 0;
        std::uint64_t attempts = 0;
        for (const auto& c : totals.by_kind) {
            started += c.started;
            correct += c.answered;
            wrong += c.wrong;
            attempts += c.attempts;
        }
        for (const interruption& c : totals.interruptions) {
            ledger_ << dump_json({{"cut", to_us(c.at)},
                                  {"asked", to_us(c.first_sent)},
                                  {"router", c.router},
                                  {"kind", name_of(c.kind)},
                                  {"begun", c.stream_begun}})
                    << '\n';
        }
        ledger_ << dump_json({{"wrong", wrong}, {"false_not_run", totals.false_not_run}, {"asked", started}})
                << '\n';
        if (options_.title.empty()) print_details(totals);
        const bool ok =
            wrong == 0 && totals.false_not_run == 0 && (options_.title.empty() || correct == started);
        return report(ok, options_.title.empty() ? "mixed load" : options_.title,
                      format_text("%llu of %llu answered with %llu repeats, %llu wrong, %llu false not_run",
                                  static_cast<unsigned long long>(correct),
                                  static_cast<unsigned long long>(started),
                                  static_cast<unsigned long long>(attempts - started),
                                  static_cast<unsigned long long>(wrong),
                                  static_cast<unsigned long long>(totals.false_not_run)));
    }

    static std::int64_t to_us(time_point at) { return at.time_since_epoch().count(); }

    static void print_details(const load_totals& totals) {
        for (std::size_t i = 0; i < operation_kind_count; ++i) {
            auto c = totals.by_kind[i];
            std::ranges::sort(c.seconds);
            const auto at = [&](double share) {
                const double index = share * static_cast<double>(c.seconds.size() - 1);
                return c.seconds.empty() ? 0.0 : c.seconds[static_cast<std::size_t>(index)];
            };
            std::printf(
                "      %-12s asked %llu, answered %llu, wrong %llu, attempts %llu, p50 %.2f s, p95 %.2f s\n",
                name_of(static_cast<operation_kind>(i)), static_cast<unsigned long long>(c.started),
                static_cast<unsigned long long>(c.answered), static_cast<unsigned long long>(c.wrong),
                static_cast<unsigned long long>(c.attempts), at(0.5), at(0.95));
        }
        for (const auto& [kind, n] : totals.refusals)
            std::printf("      refused %-40s %llu\n", kind.c_str(), static_cast<unsigned long long>(n));
    }

    const options& options_;
    load_session& session_;
    time_point end_time_;
    std::ofstream ledger_;
};

int run_mixed(const options& o, load_session& session) { return mixed_load{o, session}.run(); }

//-----------------------------------------------------------------------------
// [SECTION] Verification
//-----------------------------------------------------------------------------

struct verification_counts {
    std::uint64_t orders{};
    std::uint64_t second_runs{};
    std::uint64_t false_not_run{};
    std::uint64_t answered_without_run{};
    std::uint64_t not_run{};
    std::uint64_t unknown{};
    std::uint64_t wrong{};
    std::uint64_t interrupted_by_stop{};
};

// Interval of a planned stop. Lines of the --planned file: router URL or "any", begin, end, and the end of
// the last other fault, all times in us.
struct planned_stop {
    std::string router;
    std::int64_t begin{};
    std::int64_t end{};
    std::int64_t last_fault_end{}; // requests sent before may have been interrupted by that fault
};

std::vector<planned_stop> read_planned(const std::string& file) {
    std::vector<planned_stop> stops;
    std::ifstream in{file};
    for (planned_stop s; in >> s.router >> s.begin >> s.end >> s.last_fault_end;)
        stops.push_back(s);
    return stops;
}

void verify_order(verification_counts& v, const json& line,
                  const std::map<std::string, std::uint64_t>& runs) {
    const std::string order = line.value("order", "");
    const std::string order_state = line.value("end", "");
    const auto found = runs.find(order);
    const std::uint64_t executions = found == runs.end() ? 0 : found->second;
    ++v.orders;
    if (order_state == "unknown") ++v.unknown;
    if (order_state == "not_run") {
        ++v.not_run;
        if (executions > 0) {
            ++v.false_not_run;
            std::printf("violation: order %s was executed but refused as not_run\n", order.c_str());
        }
    }
    if (order_state == "ran" && executions == 0) {
        ++v.answered_without_run;
        std::printf("violation: order %s was answered but not executed\n", order.c_str());
    }
}

void verify_interruption(verification_counts& v, const json& line, const std::vector<planned_stop>& stops) {
    const auto at = line.value("cut", std::int64_t{0});
    const auto first_sent = line.value("asked", std::int64_t{0});
    constexpr std::int64_t recovery_time = 3'000'000; // us, until links and heartbeats recover from a fault
    const std::string router = line.value("router", "");
    for (const auto& s : stops) {
        // "any": a sidecar was stopped; its requests may have come through any router.
        if ((s.router != router && s.router != "any") || at < s.begin || at > s.end) continue;
        if (first_sent < s.last_fault_end + recovery_time) continue;
        ++v.interrupted_by_stop;
        std::printf("violation: %s through %s was interrupted by a planned stop\n",
                    line.value("kind", "").c_str(), router.c_str());
        return;
    }
}

int verify(const options& o) {
    const auto runs = read_runs(o.run_logs);
    const auto stops = read_planned(o.planned);
    verification_counts v;
    for (const auto& [order, count] : runs) {
        if (count > 1) {
            v.second_runs += count - 1;
            std::printf("violation: order %s was executed %llu times\n", order.c_str(),
                        static_cast<unsigned long long>(count));
        }
    }
    std::ifstream in{o.ledger};
    for (std::string ledger_line; std::getline(in, ledger_line);) {
        failure error;
        const auto line = parse_json(ledger_line, o.ledger, error);
        if (!line) continue;
        if (line->contains("order")) verify_order(v, *line, runs);
        if (line->contains("cut")) verify_interruption(v, *line, stops);
        if (line->contains("wrong")) {
            v.wrong += line->value("wrong", std::uint64_t{0});
            v.false_not_run += line->value("false_not_run", std::uint64_t{0});
        }
    }
    const auto n = [](std::uint64_t value) { return static_cast<unsigned long long>(value); };
    std::printf("orders %llu, outcome unknown to the caller %llu, refused as not_run and not retried %llu\n",
                n(v.orders), n(v.unknown), n(v.not_run));
    int code = report(v.second_runs == 0 && v.orders > 0, "repeated executions of an order",
                      format_text("%llu", n(v.second_runs)));
    code |= report(v.false_not_run == 0, "false not_run", format_text("%llu", n(v.false_not_run)));
    code |= report(v.wrong + v.answered_without_run == 0, "wrong, mixed up or truncated answers",
                   format_text("%llu", n(v.wrong + v.answered_without_run)));
    code |= report(v.interrupted_by_stop == 0, "requests interrupted by a planned stop",
                   format_text("%llu in %zu stops", n(v.interrupted_by_stop), stops.size()));
    return code;
}

//-----------------------------------------------------------------------------
// [SECTION] Program
//-----------------------------------------------------------------------------

struct command {
    const char* name;
    const char* description;
    int (*run)(const options&, load_session&);
};

constexpr command commands[] = {
    {"run", "mixed load for --seconds, --concurrency at a time; --ledger records every order", run_mixed},
    {"quick", "quick questions", check_quick},
    {"streams", "streamed answers", check_streams},
    {"reviews", "long reviews with quick questions at the same time", check_reviews},
    {"lookups", "idempotent stock lookups", check_lookups},
    {"orders", "orders, each sent 6 times; --run-logs",
     [](const options& o, load_session& b) { return check_orders(o, b, operation_kind::order); }},
    {"reservations", "lot reservations, each sent 6 times; --run-logs",
     [](const options& o, load_session& b) { return check_orders(o, b, operation_kind::reservation); }},
    {"refusals", "a request with a wrong API key, and an order without Idempotency-Key", check_refusals},
    {"queue-bound", "a burst of one account that exceeds its max_waiting", check_queue_bound},
    {"idle", "requests reach --busy targets and none of --targets; --title", check_idle},
    {"all-busy", "requests reach every one of --targets; --title", check_all_busy},
    {"ask", "one question with --request-id", check_ask},
    {"fetch", "fetch the stored answer to --request-id from every router", check_fetch},
    {"good-move", "short questions until --targets serve --to-version", check_good_move},
    {"bad-move", "short questions until --to-version is condemned", check_bad_move},
    {"crash", "a request that crashes --targets", check_crash}};

void print_usage() {
    std::printf(
        "Usage: damaskhill_load [options] COMMAND\n\n"
        "  -d, --deployment DIR     directory with deployment.conf and keys.txt\n"
        "  -r, --routers URLS       routers, separated by commas; retries go to the next one\n"
        "      --targets URLS       stand-in targets whose counters a command reads\n"
        "      --busy URLS          the other stand-in targets (idle)\n"
        "      --run-logs FILES     logs of the stand-in services\n"
        "      --request-id ID      32 hexadecimal digits (ask, fetch)\n"
        "      --ledger FILE        outcome of every order (run, verify)\n"
        "      --planned FILE       planned stops, lines of: router URL or \"any\", begin, end in us "
        "(verify)\n"
        "      --title TEXT         name of the check; run then fails unless every request is answered\n"
        "      --to-version V       new version of a rollout (good-move, bad-move)\n"
        "      --seed N             seed of prompts, keys and jitter (default 1)\n"
        "      --seconds N          length of a mixed load (default 3)\n"
        "      --concurrency N      concurrent requests of a mixed load (default 24)\n"
        "      --accept-not-run P   probability of giving up after a not_run (default 0.5)\n"
        "  -h, --help               print this text and exit\n"
        "  -V, --version            print the version and exit\n\n"
        "Commands:\n");
    for (const command& c : commands)
        std::printf("  %-13s %s\n", c.name, c.description);
    std::printf("  %-13s %s\n\n", "verify", "compares --ledger with --run-logs and --planned");
    std::printf("Exit codes: 0 ok, 2 usage, 3 deployment, 7 a check failed.\n");
}

// Parses the command line; returns an exit code if the program must end.
std::optional<int> parse_options(int argc, char** argv, options& o) {
    enum : int {
        targets = 256,
        busy,
        run_logs,
        request_id,
        ledger,
        planned,
        title,
        seed,
        seconds,
        concurrency,
        accept,
        version
    };
    static const option table[] = {{"deployment", required_argument, nullptr, 'd'},
                                   {"routers", required_argument, nullptr, 'r'},
                                   {"targets", required_argument, nullptr, targets},
                                   {"busy", required_argument, nullptr, busy},
                                   {"run-logs", required_argument, nullptr, run_logs},
                                   {"request-id", required_argument, nullptr, request_id},
                                   {"ledger", required_argument, nullptr, ledger},
                                   {"planned", required_argument, nullptr, planned},
                                   {"title", required_argument, nullptr, title},
                                   {"seed", required_argument, nullptr, seed},
                                   {"seconds", required_argument, nullptr, seconds},
                                   {"concurrency", required_argument, nullptr, concurrency},
                                   {"accept-not-run", required_argument, nullptr, accept},
                                   {"to-version", required_argument, nullptr, version},
                                   {"help", no_argument, nullptr, 'h'},
                                   {"version", no_argument, nullptr, 'V'},
                                   {nullptr, 0, nullptr, 0}};
    const std::map<int, std::string*> texts{{'d', &o.deployment}, {request_id, &o.request_id},
                                            {ledger, &o.ledger},  {planned, &o.planned},
                                            {title, &o.title},    {version, &o.version}};
    const std::map<int, std::vector<std::string>*> lists{
        {'r', &o.routers}, {targets, &o.engines}, {busy, &o.busy}, {run_logs, &o.run_logs}};
    const std::map<int, std::uint64_t*> numbers{
        {seed, &o.seed}, {seconds, &o.seconds}, {concurrency, &o.concurrency}};
    for (int option_char = 0; (option_char = getopt_long(argc, argv, "d:r:hV", table, nullptr)) != -1;) {
        if (texts.contains(option_char)) {
            *texts.at(option_char) = optarg;
        } else if (lists.contains(option_char)) {
            *lists.at(option_char) = split_list(optarg, ',');
        } else if (numbers.contains(option_char)) {
            *numbers.at(option_char) = std::strtoull(optarg, nullptr, 10);
        } else if (option_char == accept) {
            o.accept_not_run = std::strtod(optarg, nullptr);
        } else if (option_char == 'h') {
            print_usage();
            return 0;
        } else if (option_char == 'V') {
            std::printf("damaskhill_load %s\n", DAMASKHILL_VERSION);
            return 0;
        } else {
            return static_cast<int>(exit_code::usage);
        }
    }
    return std::nullopt;
}

} // namespace

int main(int argc, char** argv) {
    options o;
    if (const auto code = parse_options(argc, argv, o)) return *code;
    const std::string name = optind < argc ? argv[optind] : "";
    if (name == "verify") return verify(o);
    const auto* found = std::ranges::find(commands, name, &command::name);
    if (found == std::end(commands)) {
        print_usage();
        return static_cast<int>(exit_code::usage);
    }
    failure error;
    const auto target_fleet = load_fleet(o, error);
    if (!target_fleet) {
        std::fprintf(stderr, "damaskhill_load: %s\n", describe(error).c_str());
        return static_cast<int>(exit_code::settings);
    }
    load_session session{o, *target_fleet};
    return found->run(o, session);
}
