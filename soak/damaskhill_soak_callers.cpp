// Index of this file:
// [SECTION] Requests
// [SECTION] Response checks

#include "damaskhill_soak_callers.hpp"

namespace damaskhill::soak {

//-----------------------------------------------------------------------------
// [SECTION] Requests
//-----------------------------------------------------------------------------

namespace {

struct route_profile {
    const char* path;
    const char* service;
    bool idempotent;
    std::uint32_t events; // in the stream; 0: an unstreamed response
};

// Matches the routes in soak_run::write_configuration().
constexpr std::array<route_profile, 4> routes{
    route_profile{"/order/", "app", false, 0}, route_profile{"/stock/", "app", true, 0},
    route_profile{"/chat/", "lm", true, 40}, route_profile{"/review/", "lm", false, 60}};

constexpr duration caller_timeout = 6s;     // sent as the deadline; the caller gives up 1 s later
constexpr duration min_retry_delay = 50ms;  // also used when Retry-After is absent or shorter
constexpr double cancel_probability = 0.05; // that the caller closes the connection early

} // namespace

struct soak_callers::call {
    std::size_t caller{};
    std::size_t router{};
    std::string attempt;
    std::string key;
    route_profile route{};
    time_point sent_at{};
    time_point ended_at{};
    std::uint32_t status{};
    http_headers headers;
    std::string body;
    std::uint64_t client_call{};
    bool ended{};
};

soak_callers::soak_callers(event_loop& loop, execution_checker& checker, std::vector<std::string> routers,
                           std::uint64_t seed)
    : loop_(loop), checker_(checker), routers_(std::move(routers)), random_{seed}, client_(loop, {}) {}

void soak_callers::start(std::size_t callers) {
    for (std::size_t i = 0; i < callers; ++i)
        schedule_request(i, (i * 7 % 100) * 1ms);
}

void soak_callers::schedule_request(std::size_t caller, duration delay) {
    loop_.after(delay, [this, caller] {
        if (!stopped_) send_request(caller);
    });
}

void soak_callers::send_request(std::size_t caller) {
    auto sent = std::make_shared<call>();
    sent->caller = caller;
    // Keeps a caller on one router for several requests, as a load balancer with connection reuse does.
    constexpr std::uint64_t requests_per_router = 20;
    sent->router = (caller + next_attempt_ / requests_per_router) % routers_.size();
    sent->route = routes.at(random_.next() % routes.size());
    sent->attempt = "a" + std::to_string(next_attempt_++);
    const std::size_t account = caller % 3;
    sent->key = "key-" + std::to_string(account);
    sent->sent_at = wall_clock();
    checker_.on_sent(sent->attempt, {"account-" + std::to_string(account), sent->route.service,
                                     sent->route.idempotent, sent->sent_at, 0, false});
    ++counts_.sent;
    ++in_flight_;
    edge_call request;
    request.address = routers_[sent->router];
    request.body = "question " + sent->attempt;
    request.head = "POST " + std::string{sent->route.path} + sent->attempt +
                   " HTTP/1.1\r\nHost: soak.example\r\n" + "Damaskhill-Attempt-Id: " + sent->attempt +
                   "\r\nAuthorization: Token " + sent->key +
                   "\r\nDamaskhill-Deadline-Remaining: " + std::to_string(caller_timeout / 1ms) +
                   "\r\nContent-Length: " + std::to_string(request.body.size()) + "\r\n";
    if (sent->route.events > 0) {
        request.head += "X-Events: " + std::to_string(sent->route.events) +
                        "\r\nDamaskhill-Model: m\r\nDamaskhill-Token-Count: 900,300" +
                        "\r\nDamaskhill-Prompt-Prefix: aa:400,b" + std::to_string(next_attempt_ % 8) +
                        ":300,c" + std::to_string(next_attempt_) + ":200\r\n";
    }
    request.head += "\r\n";
    edge_handlers handlers;
    handlers.on_head = [sent](edge_response_head&& head) {
        sent->status = head.status;
        sent->headers = std::move(head.headers);
        return edge_response_action::accept;
    };
    handlers.on_data = [sent](std::string_view data) { sent->body.append(data); };
    handlers.on_end = [this, sent](edge_result result) { on_end(sent, result); };
    sent->client_call = client_.start(std::move(request), std::move(handlers));
    const bool cancels = random_.next_unit() < cancel_probability;
    const duration cancel_after =
        cancels ? duration{static_cast<std::int64_t>(random_.next() % 300'000)} : caller_timeout + 1s;
    loop_.after(cancel_after, [this, sent] {
        if (sent->ended) return;
        sent->ended = true;
        client_.cancel(sent->client_call);
        --in_flight_;
        ++counts_.cancelled;
        schedule_request(sent->caller, min_retry_delay);
    });
}

//-----------------------------------------------------------------------------
// [SECTION] Response checks
//-----------------------------------------------------------------------------

bool soak_callers::explained_by_fault(const call& ended) const {
    return std::ranges::any_of(fault_windows_, [&](const fault_window& window) {
        const bool same_router =
            window.router == any_router || window.router == static_cast<int>(ended.router);
        const bool overlaps = window.from <= ended.ended_at && window.until >= ended.sent_at;
        return same_router && overlaps && (!window.new_requests_only || ended.sent_at >= window.from);
    });
}

void soak_callers::check_response(const call& ended) {
    const auto mismatch = [&](const std::string& detail) {
        checker_.report_violation("responses match their requests", ended.attempt + ": " + detail);
    };
    if (find_header(ended.headers, "Damaskhill-Attempt-Id") != ended.attempt)
        mismatch("Damaskhill-Attempt-Id of another attempt");
    if (find_header(ended.headers, "Damaskhill-Replica-Seal") != "seal-" + ended.attempt)
        mismatch("Damaskhill-Replica-Seal of another attempt");
    std::string expected = ended.attempt + " done";
    if (ended.route.events > 0) {
        expected.clear();
        for (std::uint32_t i = 1; i <= ended.route.events; ++i)
            expected += "id: " + std::to_string(i) + "\ndata: " + ended.attempt + " " + std::to_string(i) +
                        "/" + std::to_string(ended.route.events) + "\n\n";
    }
    if (ended.body != expected)
        mismatch("body of " + std::to_string(ended.body.size()) + " bytes differs from what the target sent");
}

void soak_callers::check_interrupted(const std::shared_ptr<call>& interrupted) {
    // Callers see the connection break before check_routers() sees the process exit and adds its fault
    // window.
    constexpr duration detection_delay = 300ms;
    loop_.after(detection_delay, [this, interrupted] {
        if (explained_by_fault(*interrupted)) return;
        checker_.report_violation("only faults interrupt responses",
                                  interrupted->attempt + " at router " + std::to_string(interrupted->router) +
                                      " after " +
                                      std::to_string((interrupted->ended_at - interrupted->sent_at) / 1ms) +
                                      " ms, status " + std::to_string(interrupted->status));
    });
}

void soak_callers::on_end(const std::shared_ptr<call>& ended, edge_result result) {
    if (ended->ended) return;
    ended->ended = true;
    ended->ended_at = wall_clock();
    --in_flight_;
    duration delay = 5ms;
    if (result != edge_result::complete) {
        ++counts_.interrupted;
        delay = min_retry_delay;
        // No guarantee covers a connection that could not be opened or was closed before the request was
        // read.
        if (result != edge_result::not_sent) check_interrupted(ended);
    } else if (ended->status == 200) {
        ++counts_.served;
        check_response(*ended);
    } else if (ended->status == 503 || ended->status == 429) {
        ++counts_.refused;
        checker_.on_refused(ended->attempt);
        const double retry_after =
            std::strtod(std::string{find_header(ended->headers, "Retry-After")}.c_str(), nullptr);
        delay = std::max(min_retry_delay, duration{static_cast<std::int64_t>(retry_after * 1e6)});
    } else {
        ++counts_.failed;
        const bool rejected = ended->status == 401 || ended->status == 403 || ended->status == 404;
        const auto exemption = rejections_allowed_until_.find(ended->key);
        const bool allowed =
            exemption != rejections_allowed_until_.end() && wall_clock() <= exemption->second;
        if (rejected && !allowed)
            checker_.report_violation("valid requests are not rejected",
                                      ended->attempt + " got " + std::to_string(ended->status));
        constexpr duration failure_retry_delay = 300ms;
        delay = failure_retry_delay;
    }
    schedule_request(ended->caller, delay);
}

} // namespace damaskhill::soak
