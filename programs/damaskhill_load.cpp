// Sends load to a deployment of stand-ins and checks the outcomes: single steps for scripts/demo, and a mixed
// load with a ledger for scripts/soak.
//
// Index of this file:
// [SECTION] Options
// [SECTION] Helpers
// [SECTION] Checks
// [SECTION] Version moves
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
    std::string deployment; // folder with deployment.conf and keys.txt
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

std::optional<fleet> load_fleet(const options& o, failure& why) {
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
        why = {failure_kind::not_found, o.deployment, "no deployment.conf or no keys.txt",
               "a folder such as examples/harmonika"};
        return std::nullopt;
    }
    if (f.routers.empty()) {
        why = {failure_kind::missing_field, "--routers", "nothing", "URLs of routers, separated by commas"};
        return std::nullopt;
    }
    return f;
}

//-----------------------------------------------------------------------------
// [SECTION] Helpers
//-----------------------------------------------------------------------------

struct finished {
    work asked;
    outcome result;
};

/// A loop with its callers; the steps of a check run one after the other on it.
class bench_of_callers {
public:
    bench_of_callers(const options& o, const fleet& f) : callers_(loop_, f, o.seed) {}

    work make(work_kind kind, std::uint64_t tokens = 16) {
        const auto& accounts = callers_.where().accounts;
        work w;
        w.kind = kind;
        w.account = accounts[next_ % accounts.size()];
        w.router = next_++;
        w.tokens = tokens;
        w.prompt = std::string{name_of(kind)} + "-" +
                   format_hex128(callers_.random().next(), next_).substr(0, 16) + "-" + std::to_string(next_);
        if (is_order(kind)) w.key = make_order_key(callers_.random());
        return w;
    }

    void start(work w) {
        callers_.start(std::move(w), [this](const work& asked, const outcome& result) {
            done_.push_back({asked, result});
            if (callers_.open() == 0) loop_.stop();
        });
    }

    void after(duration delay, std::function<void()> action) { loop_.after(delay, std::move(action)); }

    /// Runs until all started work is done; gives the results of what was started since the last call.
    std::vector<finished> finish() {
        if (callers_.open() > 0) loop_.run();
        return std::exchange(done_, {});
    }

    http_result call(http_call asked) {
        http_result answer;
        http_client http{loop_};
        http.start(std::move(asked), {{}, [&](http_result&& result) {
                                          answer = std::move(result);
                                          loop_.stop();
                                      }});
        loop_.run();
        return answer;
    }

    json get_json(const std::string& url) {
        const http_result answer = call({"GET", url, {}, {}});
        failure why;
        return parse_json(answer.body, url, why).value_or(json::object());
    }

    callers& all() { return callers_; }
    event_loop& loop() { return loop_; }

private:
    event_loop loop_;
    callers callers_;
    std::vector<finished> done_;
    std::size_t next_{};
};

std::size_t count_if(const std::vector<finished>& list, const std::function<bool(const finished&)>& test) {
    return static_cast<std::size_t>(std::ranges::count_if(list, test));
}
bool answered(const finished& f) { return f.result.answered && !f.result.wrong; }

double slowest(const std::vector<finished>& list) {
    duration most{};
    for (const auto& f : list)
        most = std::max(most, f.result.took);
    return to_seconds(most);
}

template <class... Parts>
std::string text(const char* format, Parts... parts) {
    std::array<char, 512> buffer{};
    std::snprintf(buffer.data(), buffer.size(), format, parts...);
    return buffer.data();
}

int report(bool ok, const std::string& title, const std::string& what) {
    std::printf("%-4s  %-38s %s\n", ok ? "ok" : "FAIL", title.c_str(), what.c_str());
    std::fflush(stdout);
    return ok ? 0 : static_cast<int>(exit_code::check_failed);
}

// How often each order ran, from the logs that the stand-in services write.
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

int check_plain(bench_of_callers& bench, work_kind kind, std::size_t wanted, const std::string& title) {
    for (std::size_t i = 0; i < wanted; ++i)
        bench.start(bench.make(kind, kind == work_kind::stream ? 48 : 16));
    const auto done = bench.finish();
    const std::size_t right = count_if(done, answered);
    return report(right == wanted, title,
                  text("%zu of %zu right answers, slowest %.2f s", right, wanted, slowest(done)));
}

int check_quick(const options& /*o*/, bench_of_callers& bench) {
    return check_plain(bench, work_kind::quick, 48, "quick questions");
}
int check_streams(const options& /*o*/, bench_of_callers& bench) {
    return check_plain(bench, work_kind::stream, 24, "streams");
}
int check_lookups(const options& /*o*/, bench_of_callers& bench) {
    return check_plain(bench, work_kind::lookup, 60, "stock lookups");
}

int check_reviews(const options& /*o*/, bench_of_callers& bench) {
    constexpr std::size_t reviews = 32;
    constexpr std::size_t questions = 32;
    for (std::size_t i = 0; i < reviews; ++i)
        bench.start(bench.make(work_kind::review, 600));
    bench.after(500ms, [&] {
        for (std::size_t i = 0; i < questions; ++i)
            bench.start(bench.make(work_kind::quick));
    });
    const auto done = bench.finish();
    std::vector<finished> quick;
    std::vector<finished> slow;
    for (const auto& f : done)
        (f.asked.kind == work_kind::quick ? quick : slow).push_back(f);
    const std::size_t right = count_if(quick, answered);
    const std::size_t whole = count_if(slow, answered);
    return report(
        right == questions && whole == reviews, "long reviews, quick questions beside",
        text("%zu of %zu reviews finished (slowest %.1f s), %zu of %zu questions answered (slowest %.2f s)",
             whole, reviews, slowest(slow), right, questions, slowest(quick)));
}

int check_orders(const options& o, bench_of_callers& bench, work_kind kind) {
    constexpr std::size_t orders = 24;
    constexpr std::size_t copies = 3;
    for (std::size_t i = 0; i < orders; ++i) {
        // The same order arrives at every router at the same time, and is asked for again after its answer.
        work w = bench.make(kind);
        w.repeat_answered = 1.0;
        for (std::size_t copy = 0; copy < copies; ++copy) {
            w.router = copy;
            bench.start(w);
        }
    }
    const auto done = bench.finish();
    const auto runs = read_runs(o.run_logs);
    std::size_t once = 0;
    std::set<std::string> names;
    for (const auto& f : done)
        names.insert(f.asked.prompt);
    for (const auto& name : names) {
        const auto found = runs.find(name);
        if (found != runs.end() && found->second == 1) ++once;
    }
    const std::size_t right = count_if(done, answered);
    return report(right == orders * copies && once == orders,
                  std::string{name_of(kind)} + "s sent 6 times each",
                  text("%zu of %zu ran exactly once, %zu of %zu callers have the answer", once, orders, right,
                       orders * copies));
}

int check_refusals(const options& /*o*/, bench_of_callers& bench) {
    const auto refused_as = [&](work w, const char* problem, std::uint32_t status) {
        w.repeats = false;
        bench.start(std::move(w));
        const auto done = bench.finish();
        const outcome& result = done.front().result;
        return result.problem == problem && result.status == status && result.run_state == "not_run";
    };
    work wrong_key = bench.make(work_kind::quick);
    wrong_key.account.key = "not-a-key";
    work without_key = bench.make(work_kind::order);
    without_key.key.clear();
    const bool key = refused_as(wrong_key, "unauthorized", 401);
    const bool order = refused_as(without_key, "key_required", 400);
    return report(key && order, "wrong key; order without a key",
                  text("%s; %s", key ? "401 unauthorized, not_run" : "not refused as 401",
                       order ? "400 key_required, not_run" : "not refused as 400"));
}

int check_queue_bound(const options& /*o*/, bench_of_callers& bench) {
    constexpr std::size_t burst = 200;
    for (std::size_t i = 0; i < burst; ++i) {
        work w = bench.make(work_kind::quick, 64);
        w.account = bench.all().where().accounts.back(); // declared with max_waiting 8
        w.router = 0;
        w.repeats = false;
        bench.start(std::move(w));
    }
    const auto done = bench.finish();
    const std::size_t right = count_if(done, answered);
    const std::size_t refused = count_if(done, [](const finished& f) {
        return f.result.problem == "queue_full" && f.result.status == 429 && f.result.run_state == "not_run";
    });
    return report(
        refused > 0 && right + refused == burst, "queue bound of a small account",
        text("%zu at once: %zu answered, %zu refused 429 queue_full, not_run", burst, right, refused));
}

std::uint64_t requests_of(bench_of_callers& bench, const std::vector<std::string>& targets) {
    std::uint64_t sum = 0;
    for (const auto& url : targets)
        sum += bench.get_json(url + "/admin/stats").value("requests", std::uint64_t{0});
    return sum;
}

// Sends work for a while and compares what reached two groups of targets.
int check_idle(const options& o, bench_of_callers& bench) {
    const std::uint64_t idle_before = requests_of(bench, o.engines);
    const std::uint64_t busy_before = requests_of(bench, o.busy);
    for (std::size_t i = 0; i < 96; ++i) {
        bench.start(bench.make(work_kind::quick));
        if (i % 2 == 0) bench.start(bench.make(work_kind::lookup));
    }
    const auto done = bench.finish();
    const std::uint64_t idle = requests_of(bench, o.engines) - idle_before;
    const std::uint64_t busy = requests_of(bench, o.busy) - busy_before;
    const std::size_t right = count_if(done, answered);
    return report(idle == 0 && busy > 0 && right == done.size(), o.title,
                  text("%zu of %zu answered; %llu requests there, %llu in the others", right, done.size(),
                       static_cast<unsigned long long>(idle), static_cast<unsigned long long>(busy)));
}

// The opposite of check_idle: every target gets work.
int check_all_busy(const options& o, bench_of_callers& bench) {
    std::vector<std::uint64_t> before;
    for (const auto& url : o.engines)
        before.push_back(requests_of(bench, {url}));
    for (std::size_t i = 0; i < 144; ++i) {
        bench.start(bench.make(work_kind::quick, 32));
        if (i % 2 == 0) bench.start(bench.make(work_kind::lookup));
    }
    const auto done = bench.finish();
    std::size_t busy = 0;
    for (std::size_t i = 0; i < o.engines.size(); ++i) {
        if (requests_of(bench, {o.engines[i]}) > before[i]) ++busy;
    }
    const std::size_t right = count_if(done, answered);
    return report(busy == o.engines.size() && right == done.size(), o.title,
                  text("%zu of %zu answered; %zu of %zu targets there took work", right, done.size(), busy,
                       o.engines.size()));
}

work remembered(const options& o, bench_of_callers& bench) {
    work w = bench.make(work_kind::quick, 24);
    w.account = bench.all().where().accounts.front();
    w.request_id = o.request_id;
    w.prompt = "answer to fetch " + o.request_id;
    return w;
}

int check_ask(const options& o, bench_of_callers& bench) {
    work w = remembered(o, bench);
    w.router = 0;
    bench.start(std::move(w));
    const auto done = bench.finish();
    return report(answered(done.front()), "question with a request id", "answered, id " + o.request_id);
}

int check_fetch(const options& o, bench_of_callers& bench) {
    const work w = remembered(o, bench);
    const std::string wanted = expected_text(w.prompt, w.tokens);
    std::size_t right = 0;
    for (const auto& router : bench.all().where().routers) {
        http_call call{"GET", router + "/v1/answers/" + o.request_id, {}, {}};
        call.headers = {{"Authorization", "Bearer " + w.account.key}};
        const http_result answer = bench.call(call);
        // The kept answer has the form of either route; only its text counts.
        if (answer.status == 200 && answer.body.find(wanted) != std::string::npos) ++right;
    }
    const std::size_t routers = bench.all().where().routers.size();
    return report(right == routers, o.title.empty() ? "finished answer from other routers" : o.title,
                  text("%zu of %zu routers give the whole answer", right, routers));
}

int check_crash(const options& o, bench_of_callers& bench) {
    const auto crashes = [&] {
        std::uint64_t sum = 0;
        for (const auto& url : o.engines)
            sum += bench.get_json(url + "/admin/stats").value("crashes", std::uint64_t{0});
        return sum;
    };
    const std::uint64_t before = crashes();
    work w = bench.make(work_kind::quick);
    w.prompt = "CRASH " + w.prompt;
    std::size_t quarantined = 0;
    constexpr std::size_t repeats = 3;
    for (std::size_t i = 0; i < repeats; ++i) {
        ++w.router;
        bench.start(w);
        const auto done = bench.finish();
        if (done.front().result.problem == "quarantined" && done.front().result.status == 422) ++quarantined;
    }
    for (std::size_t i = 0; i < 24; ++i)
        bench.start(bench.make(work_kind::quick));
    const auto others = bench.finish();
    const std::size_t right = count_if(others, answered);
    const std::uint64_t crashed = crashes() - before;
    return report(
        quarantined == repeats && crashed <= 2 && right == others.size(), "request that crashes targets",
        text("%llu targets crashed, %zu of %zu times refused 422 quarantined, %zu of %zu other questions "
             "answered",
             static_cast<unsigned long long>(crashed), quarantined, repeats, right, others.size()));
}

//-----------------------------------------------------------------------------
// [SECTION] Version moves
//-----------------------------------------------------------------------------

/// Keeps short questions going while a version move is watched.
class move_watch {
public:
    move_watch(const options& o, bench_of_callers& bench)
        : options_(o), bench_(bench), until_(wall_clock() + std::chrono::seconds{o.seconds}) {}

    // Runs until every target serves the version.
    int good() {
        run([this] { return count_serving() == options_.engines.size(); });
        const std::size_t serving = count_serving();
        const bool ok = serving == options_.engines.size() && all_right();
        return report(ok, options_.title,
                      text("%zu of %zu targets serve %s after %.1f s, %zu of %zu questions answered", serving,
                           options_.engines.size(), options_.version.c_str(),
                           to_seconds(wall_clock() - begin_), right_, asked_));
    }

    // Runs until every router has condemned the version, then 4 s, then watches that it gets nothing.
    int bad() {
        run([this] { return count_condemned() == bench_.all().where().routers.size(); });
        const bool condemned = count_condemned() == bench_.all().where().routers.size();
        const std::uint64_t exposed = exposures();
        const std::size_t asked = asked_;
        const auto settled = wall_clock() + 4s;
        until_ = settled;
        run([] { return false; });
        const std::uint64_t before = exposures();
        until_ = wall_clock() + 1s;
        run([] { return false; });
        const std::uint64_t late = exposures() - before;
        const bool ok = condemned && late == 0 && all_right();
        return report(
            ok, options_.title,
            text("%s after %llu of %zu requests, %llu more 4 s later; %zu of %zu questions answered",
                 condemned ? "condemned" : "not condemned", static_cast<unsigned long long>(exposed), asked,
                 static_cast<unsigned long long>(late), right_, asked_));
    }

private:
    [[nodiscard]] bool all_right() const { return right_ == asked_; }

    void run(const std::function<bool()>& reached) {
        while (wall_clock() < until_ && !reached()) {
            constexpr std::size_t batch = 128;
            for (std::size_t i = 0; i < batch; ++i)
                bench_.start(bench_.make(work_kind::quick, 1));
            const auto done = bench_.finish();
            asked_ += done.size();
            right_ += count_if(done, answered);
        }
    }

    std::size_t count_serving() {
        std::size_t serving = 0;
        for (const auto& url : options_.engines)
            serving += bench_.get_json(url + "/status").value("version", "") == options_.version ? 1 : 0;
        return serving;
    }

    std::size_t count_condemned() {
        std::size_t condemned = 0;
        for (const auto& router : bench_.all().where().routers) {
            const http_result answer = bench_.call({"GET", router + "/metrics", {}, {}});
            condemned +=
                answer.body.find("\ndamaskhill_versions_condemned_total") != std::string::npos ? 1 : 0;
        }
        return condemned;
    }

    std::uint64_t exposures() {
        std::uint64_t sum = 0;
        for (const auto& url : options_.engines) {
            const json stats = bench_.get_json(url + "/admin/stats");
            sum +=
                stats.value("requests_by_version", json::object()).value(options_.version, std::uint64_t{0});
        }
        return sum;
    }

    const options& options_;
    bench_of_callers& bench_;
    time_point begin_{wall_clock()};
    time_point until_;
    std::size_t asked_{};
    std::size_t right_{};
};

int check_good_move(const options& o, bench_of_callers& bench) { return move_watch{o, bench}.good(); }
int check_bad_move(const options& o, bench_of_callers& bench) { return move_watch{o, bench}.bad(); }

//-----------------------------------------------------------------------------
// [SECTION] Mixed load
//-----------------------------------------------------------------------------

class mixed_load {
public:
    mixed_load(const options& o, bench_of_callers& bench)
        : options_(o), bench_(bench), until_(wall_clock() + std::chrono::seconds{o.seconds}) {
        if (!o.ledger.empty()) ledger_.open(o.ledger, std::ios::app);
    }

    int run() {
        for (std::size_t i = 0; i < options_.concurrency; ++i)
            next();
        bench_.loop().run();
        return summarise();
    }

private:
    work_kind pick() {
        const double at = bench_.all().random().next_unit();
        if (at < 0.35) return work_kind::quick;
        if (at < 0.55) return work_kind::stream;
        if (at < 0.60) return work_kind::review;
        if (at < 0.75) return work_kind::lookup;
        return at < 0.90 ? work_kind::order : work_kind::reservation;
    }

    void next() {
        const work_kind kind = pick();
        work w = bench_.make(kind, kind == work_kind::review ? 600 : kind == work_kind::stream ? 96 : 16);
        w.accept_not_run = options_.accept_not_run;
        w.repeat_answered = 0.3;
        bench_.all().start(std::move(w), [this](const work& asked, const outcome& result) {
            note(asked, result);
            if (wall_clock() < until_) {
                next();
            } else if (bench_.all().open() == 0) {
                bench_.loop().stop();
            }
        });
    }

    // One line for each order, for the comparison with what the service ran.
    void note(const work& asked, const outcome& result) {
        if (result.wrong || result.false_not_run) {
            std::printf("broken promise: %s %s: %s%s (attempts %u, status %u)\n", name_of(asked.kind),
                        asked.prompt.c_str(), result.wrong ? "wrong answer " : "",
                        result.false_not_run ? "not_run after an answer" : "", result.attempts,
                        result.status);
        }
        if (!is_order(asked.kind)) return;
        const std::string end = result.answered                 ? "ran"
                                : result.run_state == "not_run" ? "not_run"
                                                                : "unknown";
        ledger_ << dump_json({{"order", asked.prompt}, {"key", asked.key}, {"end", end}}) << '\n';
    }

    int summarise() {
        const tally& totals = bench_.all().totals();
        std::uint64_t asked = 0;
        std::uint64_t right = 0;
        std::uint64_t wrong = 0;
        std::uint64_t attempts = 0;
        for (const auto& c : totals.by_kind) {
            asked += c.asked;
            right += c.answered;
            wrong += c.wrong;
            attempts += c.attempts;
        }
        for (const cut& c : totals.cuts) {
            ledger_ << dump_json({{"cut", to_us(c.at)},
                                  {"asked", to_us(c.asked)},
                                  {"router", c.router},
                                  {"kind", name_of(c.kind)},
                                  {"begun", c.stream_begun}})
                    << '\n';
        }
        ledger_ << dump_json({{"wrong", wrong}, {"false_not_run", totals.false_not_run}, {"asked", asked}})
                << '\n';
        if (options_.title.empty()) print_details(totals);
        const bool ok = wrong == 0 && totals.false_not_run == 0 && (options_.title.empty() || right == asked);
        return report(ok, options_.title.empty() ? "mixed load" : options_.title,
                      text("%llu of %llu answered with %llu repeats, %llu wrong, %llu false not_run",
                           static_cast<unsigned long long>(right), static_cast<unsigned long long>(asked),
                           static_cast<unsigned long long>(attempts - asked),
                           static_cast<unsigned long long>(wrong),
                           static_cast<unsigned long long>(totals.false_not_run)));
    }

    static std::int64_t to_us(time_point at) { return at.time_since_epoch().count(); }

    static void print_details(const tally& totals) {
        for (std::size_t i = 0; i < work_kinds; ++i) {
            auto c = totals.by_kind[i];
            std::ranges::sort(c.seconds);
            const auto at = [&](double share) {
                const double index = share * static_cast<double>(c.seconds.size() - 1);
                return c.seconds.empty() ? 0.0 : c.seconds[static_cast<std::size_t>(index)];
            };
            std::printf(
                "      %-12s asked %llu, answered %llu, wrong %llu, attempts %llu, p50 %.2f s, p95 %.2f s\n",
                name_of(static_cast<work_kind>(i)), static_cast<unsigned long long>(c.asked),
                static_cast<unsigned long long>(c.answered), static_cast<unsigned long long>(c.wrong),
                static_cast<unsigned long long>(c.attempts), at(0.5), at(0.95));
        }
        for (const auto& [kind, n] : totals.refusals)
            std::printf("      refused %-40s %llu\n", kind.c_str(), static_cast<unsigned long long>(n));
    }

    const options& options_;
    bench_of_callers& bench_;
    time_point until_;
    std::ofstream ledger_;
};

int run_mixed(const options& o, bench_of_callers& bench) { return mixed_load{o, bench}.run(); }

//-----------------------------------------------------------------------------
// [SECTION] Verification
//-----------------------------------------------------------------------------

struct verdict {
    std::uint64_t orders{};
    std::uint64_t second_runs{};
    std::uint64_t false_not_run{};
    std::uint64_t answered_without_run{};
    std::uint64_t not_run{};
    std::uint64_t unknown{};
    std::uint64_t wrong{};
    std::uint64_t cut_by_stop{};
};

// Windows of planned stops: lines "<router URL> <begin us> <end us> <time us of the last other fault>".
struct planned_stop {
    std::string router;
    std::int64_t begin{};
    std::int64_t end{};
    std::int64_t quiet_since{}; // a request that was sent earlier may have been broken by another fault
};

std::vector<planned_stop> read_planned(const std::string& file) {
    std::vector<planned_stop> stops;
    std::ifstream in{file};
    for (planned_stop s; in >> s.router >> s.begin >> s.end >> s.quiet_since;)
        stops.push_back(s);
    return stops;
}

void judge_order(verdict& v, const json& line, const std::map<std::string, std::uint64_t>& runs) {
    const std::string order = line.value("order", "");
    const std::string end = line.value("end", "");
    const auto found = runs.find(order);
    const std::uint64_t ran = found == runs.end() ? 0 : found->second;
    ++v.orders;
    if (end == "unknown") ++v.unknown;
    if (end == "not_run") {
        ++v.not_run;
        if (ran > 0) {
            ++v.false_not_run;
            std::printf("broken promise: order %s ran and was refused as not_run\n", order.c_str());
        }
    }
    if (end == "ran" && ran == 0) {
        ++v.answered_without_run;
        std::printf("broken promise: order %s was answered and has not run\n", order.c_str());
    }
}

void judge_cut(verdict& v, const json& line, const std::vector<planned_stop>& stops) {
    const auto at = line.value("cut", std::int64_t{0});
    const auto asked = line.value("asked", std::int64_t{0});
    constexpr std::int64_t settling = 3'000'000; // us, until links and heartbeats are back after a fault
    const std::string router = line.value("router", "");
    for (const auto& s : stops) {
        // "any" stands for a sidecar, whose work may come through every router.
        if ((s.router != router && s.router != "any") || at < s.begin || at > s.end) continue;
        if (asked < s.quiet_since + settling) continue;
        ++v.cut_by_stop;
        std::printf("broken promise: %s through %s was cut by a planned stop\n",
                    line.value("kind", "").c_str(), router.c_str());
        return;
    }
}

int verify(const options& o) {
    const auto runs = read_runs(o.run_logs);
    const auto stops = read_planned(o.planned);
    verdict v;
    for (const auto& [order, count] : runs) {
        if (count > 1) {
            v.second_runs += count - 1;
            std::printf("broken promise: order %s ran %llu times\n", order.c_str(),
                        static_cast<unsigned long long>(count));
        }
    }
    std::ifstream in{o.ledger};
    for (std::string text_line; std::getline(in, text_line);) {
        failure why;
        const auto line = parse_json(text_line, o.ledger, why);
        if (!line) continue;
        if (line->contains("order")) judge_order(v, *line, runs);
        if (line->contains("cut")) judge_cut(v, *line, stops);
        if (line->contains("wrong")) {
            v.wrong += line->value("wrong", std::uint64_t{0});
            v.false_not_run += line->value("false_not_run", std::uint64_t{0});
        }
    }
    const auto n = [](std::uint64_t value) { return static_cast<unsigned long long>(value); };
    std::printf("orders %llu, unknown to their callers %llu, refused not_run and not repeated %llu\n",
                n(v.orders), n(v.unknown), n(v.not_run));
    int code =
        report(v.second_runs == 0 && v.orders > 0, "second runs of an order", text("%llu", n(v.second_runs)));
    code |= report(v.false_not_run == 0, "false not_run", text("%llu", n(v.false_not_run)));
    code |= report(v.wrong + v.answered_without_run == 0, "wrong, mixed or short answers",
                   text("%llu", n(v.wrong + v.answered_without_run)));
    code |= report(v.cut_by_stop == 0, "requests cut by a planned stop",
                   text("%llu in %zu stops", n(v.cut_by_stop), stops.size()));
    return code;
}

//-----------------------------------------------------------------------------
// [SECTION] Program
//-----------------------------------------------------------------------------

struct command {
    const char* name;
    const char* about;
    int (*run)(const options&, bench_of_callers&);
};

constexpr command commands[] = {
    {"run", "mixed load for --seconds, --concurrency at a time; --ledger notes each order", run_mixed},
    {"quick", "quick questions", check_quick},
    {"streams", "streamed answers", check_streams},
    {"reviews", "long reviews with quick questions beside them", check_reviews},
    {"lookups", "idempotent stock lookups", check_lookups},
    {"orders", "orders, each sent 6 times; --run-logs",
     [](const options& o, bench_of_callers& b) { return check_orders(o, b, work_kind::order); }},
    {"reservations", "lot reservations, each sent 6 times; --run-logs",
     [](const options& o, bench_of_callers& b) { return check_orders(o, b, work_kind::reservation); }},
    {"refusals", "a wrong key, and an order without a key", check_refusals},
    {"queue-bound", "a burst of one account beyond its max_waiting", check_queue_bound},
    {"idle", "work reaches --busy targets and none of --targets; --title", check_idle},
    {"all-busy", "work reaches every one of --targets; --title", check_all_busy},
    {"ask", "a question with --request-id", check_ask},
    {"fetch", "the answer to --request-id from every router", check_fetch},
    {"good-move", "short questions until --targets serve --to-version", check_good_move},
    {"bad-move", "short questions until --to-version is condemned", check_bad_move},
    {"crash", "a request that crashes --targets", check_crash}};

void print_usage() {
    std::printf("Usage: damaskhill_load [options] COMMAND\n\n"
                "  -d, --deployment DIR     folder with deployment.conf and keys.txt\n"
                "  -r, --routers URLS       routers, separated by commas; repeats go to the next one\n"
                "      --targets URLS       stand-ins that a command reads counters of\n"
                "      --busy URLS          the other stand-ins (idle)\n"
                "      --run-logs FILES     logs of the stand-in services\n"
                "      --request-id ID      32 hexadecimal digits (ask, fetch)\n"
                "      --ledger FILE        outcome of every order (run, verify)\n"
                "      --planned FILE       planned stops, lines of: router URL or \"any\", begin, end in us "
                "(verify)\n"
                "      --title TEXT         name of the step; run then demands that all work is answered\n"
                "      --to-version V       version of a move (good-move, bad-move)\n"
                "      --seed N             of prompts, keys and jitter (default 1)\n"
                "      --seconds N          length of a mixed load (default 3)\n"
                "      --concurrency N      callers of a mixed load (default 24)\n"
                "      --accept-not-run P   probability that a caller gives up at a not_run (default 0.5)\n"
                "  -h, --help               print this text and exit\n"
                "  -V, --version            print the version and exit\n\n"
                "Commands:\n");
    for (const command& c : commands)
        std::printf("  %-13s %s\n", c.name, c.about);
    std::printf("  %-13s %s\n\n", "verify", "compares --ledger with --run-logs and --planned");
    std::printf("Exit codes: 0 ok, 2 usage, 3 deployment, 7 an outcome was wrong.\n");
}

// Fills in the options; returns the exit code when the program has to end.
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
    for (int letter = 0; (letter = getopt_long(argc, argv, "d:r:hV", table, nullptr)) != -1;) {
        if (texts.contains(letter)) {
            *texts.at(letter) = optarg;
        } else if (lists.contains(letter)) {
            *lists.at(letter) = split_list(optarg, ',');
        } else if (numbers.contains(letter)) {
            *numbers.at(letter) = std::strtoull(optarg, nullptr, 10);
        } else if (letter == accept) {
            o.accept_not_run = std::strtod(optarg, nullptr);
        } else if (letter == 'h') {
            print_usage();
            return 0;
        } else if (letter == 'V') {
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
    failure why;
    const auto where = load_fleet(o, why);
    if (!where) {
        std::fprintf(stderr, "damaskhill_load: %s\n", describe(why).c_str());
        return static_cast<int>(exit_code::settings);
    }
    bench_of_callers bench{o, *where};
    return found->run(o, bench);
}
