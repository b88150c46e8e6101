// Index of this file:
// [SECTION] Calls
// [SECTION] Answers

#include "damaskhill_soak_callers.hpp"

namespace damaskhill::soak {

//-----------------------------------------------------------------------------
// [SECTION] Calls
//-----------------------------------------------------------------------------

namespace {

struct route_kind {
    const char* path;
    const char* service;
    bool repeatable;
    std::uint32_t events; // of a stream, 0: a whole answer
};

// As declared by the operator of the soak.
constexpr std::array<route_kind, 4> routes{
    route_kind{"/order/", "app", false, 0}, route_kind{"/stock/", "app", true, 0},
    route_kind{"/chat/", "lm", true, 40}, route_kind{"/review/", "lm", false, 60}};

constexpr duration patience = 6s;               // that a caller waits
constexpr duration shortest_retry_pause = 50ms; // after an answer that names no time
constexpr double leaving_share = 0.05;          // of the callers that leave before their answer

} // namespace

struct soak_callers::call {
    std::size_t caller{};
    std::size_t router{};
    std::string attempt;
    std::string key;
    route_kind route{};
    time_point sent_at{};
    time_point ended_at{};
    std::uint32_t status{};
    http_headers headers;
    std::string body;
    std::uint64_t number{};
    bool ended{};
};

soak_callers::soak_callers(event_loop& loop, run_ledger& ledger, std::vector<std::string> routers,
                           std::uint64_t seed)
    : loop_(loop), ledger_(ledger), routers_(std::move(routers)), random_{seed}, client_(loop, {}) {}

void soak_callers::start(std::size_t callers) {
    for (std::size_t i = 0; i < callers; ++i)
        next(i, (i * 7 % 100) * 1ms);
}

void soak_callers::next(std::size_t caller, duration pause) {
    loop_.after(pause, [this, caller] {
        if (!stopped_) ask(caller);
    });
}

void soak_callers::ask(std::size_t caller) {
    auto item = std::make_shared<call>();
    item->caller = caller;
    // A caller stays with its router for a while, as a balancer would have it.
    constexpr std::uint64_t requests_per_router = 20;
    item->router = (caller + next_attempt_ / requests_per_router) % routers_.size();
    item->route = routes.at(random_.next() % routes.size());
    item->attempt = "a" + std::to_string(next_attempt_++);
    const std::size_t account = caller % 3;
    item->key = "key-" + std::to_string(account);
    item->sent_at = wall_clock();
    ledger_.on_asked(item->attempt, {"account-" + std::to_string(account), item->route.service,
                                     item->route.repeatable, item->sent_at, 0, false});
    ++counts_.asked;
    ++open_;
    edge_call request;
    request.address = routers_[item->router];
    request.body = "question " + item->attempt;
    request.head = "POST " + std::string{item->route.path} + item->attempt +
                   " HTTP/1.1\r\nHost: soak.example\r\n" + "Damaskhill-Attempt-Id: " + item->attempt +
                   "\r\nAuthorization: Token " + item->key +
                   "\r\nDamaskhill-Deadline-Remaining: " + std::to_string(patience / 1ms) +
                   "\r\nContent-Length: " + std::to_string(request.body.size()) + "\r\n";
    if (item->route.events > 0) {
        request.head += "X-Events: " + std::to_string(item->route.events) +
                        "\r\nDamaskhill-Model: m\r\nDamaskhill-Token-Count: 900,300" +
                        "\r\nDamaskhill-Prompt-Prefix: aa:400,b" + std::to_string(next_attempt_ % 8) +
                        ":300,c" + std::to_string(next_attempt_) + ":200\r\n";
    }
    request.head += "\r\n";
    edge_handlers handlers;
    handlers.on_head = [item](edge_response_head&& head) {
        item->status = head.status;
        item->headers = std::move(head.headers);
        return edge_response_action::accept;
    };
    handlers.on_data = [item](std::string_view data) { item->body.append(data); };
    handlers.on_end = [this, item](edge_result result) { on_end(item, result); };
    item->number = client_.start(std::move(request), std::move(handlers));
    const bool leaves = random_.next_unit() < leaving_share;
    const duration limit =
        leaves ? duration{static_cast<std::int64_t>(random_.next() % 300'000)} : patience + 1s;
    loop_.after(limit, [this, item] {
        if (item->ended) return;
        item->ended = true;
        client_.cancel(item->number);
        --open_;
        ++counts_.left;
        next(item->caller, shortest_retry_pause);
    });
}

//-----------------------------------------------------------------------------
// [SECTION] Answers
//-----------------------------------------------------------------------------

bool soak_callers::explained(const call& ended) const {
    return std::ranges::any_of(windows_, [&](const fault_window& window) {
        const bool there = window.router == every_router || window.router == static_cast<int>(ended.router);
        const bool met = window.from <= ended.ended_at && window.until >= ended.sent_at;
        return there && met && (!window.new_calls_only || ended.sent_at >= window.from);
    });
}

void soak_callers::check_success(const call& ended) {
    const auto wrong = [&](const std::string& what) {
        ledger_.violate("the right answer", ended.attempt + ": " + what);
    };
    if (find_header(ended.headers, "Damaskhill-Attempt-Id") != ended.attempt) wrong("another attempt's id");
    if (find_header(ended.headers, "Damaskhill-Replica-Seal") != "seal-" + ended.attempt)
        wrong("another seal");
    std::string expected = ended.attempt + " done";
    if (ended.route.events > 0) {
        expected.clear();
        for (std::uint32_t i = 1; i <= ended.route.events; ++i)
            expected += "id: " + std::to_string(i) + "\ndata: " + ended.attempt + " " + std::to_string(i) +
                        "/" + std::to_string(ended.route.events) + "\n\n";
    }
    if (ended.body != expected)
        wrong("body of " + std::to_string(ended.body.size()) + " bytes is not the target's");
}

void soak_callers::check_broken(const std::shared_ptr<call>& broken) {
    // The end of a process is noticed a little later than its callers notice it.
    constexpr duration notice_time = 300ms;
    loop_.after(notice_time, [this, broken] {
        if (explained(*broken)) return;
        ledger_.violate("answers are broken off by faults only",
                        broken->attempt + " at router " + std::to_string(broken->router) + " after " +
                            std::to_string((broken->ended_at - broken->sent_at) / 1ms) + " ms, status " +
                            std::to_string(broken->status));
    });
}

void soak_callers::on_end(const std::shared_ptr<call>& ended, edge_result result) {
    if (ended->ended) return;
    ended->ended = true;
    ended->ended_at = wall_clock();
    --open_;
    duration pause = 5ms;
    if (result != edge_result::complete) {
        ++counts_.broken;
        pause = shortest_retry_pause;
        // A connection that could not be opened, or was closed before it was read, promises nothing.
        if (result != edge_result::not_sent) check_broken(ended);
    } else if (ended->status == 200) {
        ++counts_.served;
        check_success(*ended);
    } else if (ended->status == 503 || ended->status == 429) {
        ++counts_.refused;
        ledger_.on_refused(ended->attempt);
        const double asked =
            std::strtod(std::string{find_header(ended->headers, "Retry-After")}.c_str(), nullptr);
        pause = std::max(shortest_retry_pause, duration{static_cast<std::int64_t>(asked * 1e6)});
    } else {
        ++counts_.failed;
        const bool denied = ended->status == 401 || ended->status == 403 || ended->status == 404;
        const auto excused = excused_.find(ended->key);
        const bool rightly = excused != excused_.end() && wall_clock() <= excused->second;
        if (denied && !rightly)
            ledger_.violate("proper requests are not denied",
                            ended->attempt + " got " + std::to_string(ended->status));
        constexpr duration failed_pause = 300ms;
        pause = failed_pause;
    }
    next(ended->caller, pause);
}

} // namespace damaskhill::soak
