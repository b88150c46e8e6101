// HTTP interface for callers: limits, refusals and malformed requests.

#include "damaskhill_impl_frontend.hpp"
#include "damaskhill_impl_json.hpp"

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

#include <set>

using namespace damaskhill;

BOOST_AUTO_TEST_SUITE(frontend)

namespace {

struct recorded_response {
    std::uint32_t status{};
    http_headers headers;
    std::string body;
    int ends{};
};

class fake_reply final : public http_reply {
public:
    explicit fake_reply(recorded_response& log) : log_(log) {}
    void send_response(std::uint32_t status, const http_headers& headers, std::string body) override {
        log_.status = status;
        log_.headers = headers;
        log_.body = std::move(body);
        ++log_.ends;
    }
    void begin_response(std::uint32_t status, const http_headers& headers) override {
        log_.status = status;
        log_.headers = headers;
    }
    void send_chunk(std::string data) override { log_.body += data; }
    void end_response() override { ++log_.ends; }
    void abort() override { ++log_.ends; }

private:
    recorded_response& log_;
};

http_request completion_request() {
    http_request request;
    request.connection = 1;
    request.method = "POST";
    request.target = "/v1/completions";
    request.headers = {{"Authorization", "Bearer key"}, {"X-Request-Timeout-Ms", "500"}};
    request.body = R"({"model":"m","prompt":"hello","max_tokens":4,"stream":true})";
    return request;
}

failure_kind decode_failure(const http_request& request) {
    failure error;
    return decode_caller_request(request, error) ? failure_kind::none : error.kind;
}

// Refusals that callers can receive, with their documented status codes.
const std::map<failure_kind, std::uint32_t>& expected_refusal_statuses() {
    using k = failure_kind;
    static const std::map<failure_kind, std::uint32_t> statuses{{k::unauthorized, 401},
                                                                {k::malformed_request, 400},
                                                                {k::header_too_large, 431},
                                                                {k::body_too_large, 413},
                                                                {k::not_found, 404},
                                                                {k::unknown_pool, 404},
                                                                {k::queue_full, 429},
                                                                {k::deadline_exceeded, 504},
                                                                {k::isolated, 503},
                                                                {k::draining, 503},
                                                                {k::key_required, 400},
                                                                {k::malformed_key, 400},
                                                                {k::key_expired, 410},
                                                                {k::key_reused, 422},
                                                                {k::order_store_unavailable, 503},
                                                                {k::order_outcome_unknown, 503},
                                                                {k::quarantined, 422},
                                                                {k::target_failed, 502},
                                                                {k::retry_budget_exhausted, 503},
                                                                {k::answer_expired, 404},
                                                                {k::answer_incomplete, 502}};
    return statuses;
}

} // namespace

// Guards against a refusal without a type, status or run state, or without its Retry-After header.
BOOST_AUTO_TEST_CASE(every_refusal_has_a_problem_type) {
    std::set<std::string> types;
    for (const auto& [kind, status] : expected_refusal_statuses()) {
        for (const run_state state : {run_state::not_run, run_state::unknown}) {
            recorded_response log;
            caller_id caller = 0;
            caller_frontend front{
                [&](router_input&& input) { caller = std::get<caller_request>(input).caller; }};
            front.on_request(completion_request(), std::make_shared<fake_reply>(log));
            front.perform(refuse{caller, {1, 2}, kind, state, 3, "detail"});
            const json problem = json::parse(log.body);
            BOOST_TEST(log.status == status);
            BOOST_TEST(log.ends == 1);
            BOOST_TEST(find_header(log.headers, "Content-Type") == "application/problem+json");
            BOOST_TEST(find_header(log.headers, "Retry-After") == "3");
            BOOST_TEST(problem.at("status") == status);
            BOOST_TEST(problem.at("run_state") == to_string(state));
            BOOST_TEST(!problem.at("title").get<std::string>().empty());
            types.insert(problem.at("type").get<std::string>());
        }
    }
    BOOST_TEST(types.size() == expected_refusal_statuses().size());
}

// Guards against accepting a request above a limit, and against refusing one at the limit.
BOOST_AUTO_TEST_CASE(header_and_body_limits_are_exact) {
    http_request request = completion_request();
    std::size_t used = 0;
    for (const auto& [name, value] : request.headers)
        used += name.size() + value.size();
    request.headers.emplace_back("X", std::string(max_caller_header_bytes - used - 1, 'a'));
    BOOST_TEST((decode_failure(request) == failure_kind::none));
    request.headers.back().second += 'a';
    BOOST_TEST((decode_failure(request) == failure_kind::header_too_large));

    request = completion_request();
    request.target = "/services/app/orders";
    request.body = std::string(max_caller_body_bytes, 'a');
    BOOST_TEST((decode_failure(request) == failure_kind::none));
    request.body += 'a';
    BOOST_TEST((decode_failure(request) == failure_kind::body_too_large));
}

// Guards against a malformed request that is never answered, or that is passed to the router as a valid one.
BOOST_AUTO_TEST_CASE(malformed_request_is_reported_to_the_router) {
    recorded_response log;
    std::optional<caller_malformed> reported;
    caller_frontend front{[&](router_input&& input) { reported = std::get<caller_malformed>(input); }};
    http_request request = completion_request();
    request.body.pop_back();
    front.on_request(std::move(request), std::make_shared<fake_reply>(log));
    BOOST_REQUIRE(reported);
    BOOST_TEST((reported->kind == failure_kind::malformed_request));
}

// Guards against an order that is not recognised because its path is written in another form that the service
// treats as equivalent.
BOOST_AUTO_TEST_CASE(service_paths_must_be_normalized) {
    http_request request = completion_request();
    for (const char* path : {"/services/app//orders", "/services/app/./orders", "/services/app/x/../orders",
                             "/services/app/%6frders", "/services/app/%2e/orders", "/services/app/a/..",
                             "/services/app/orders%2F1", "/services/app/%zz", "/services/app/%4"}) {
        request.target = path;
        BOOST_TEST((decode_failure(request) == failure_kind::malformed_request), path);
    }
    for (const char* path : {"/services/app/orders", "/services/app/orders/", "/services/app/stock/a%20b.1",
                             "/services/app/stock?next=//x/../%6f", "/services/app"}) {
        request.target = path;
        BOOST_TEST((decode_failure(request) == failure_kind::none), path);
    }
}

// Guards against an interrupted stream that looks complete.
BOOST_AUTO_TEST_CASE(interrupted_stream_ends_with_an_error_event) {
    for (const failure_kind reason : {failure_kind::none, failure_kind::answer_incomplete}) {
        recorded_response log;
        caller_id caller = 0;
        caller_frontend front{[&](router_input&& input) { caller = std::get<caller_request>(input).caller; }};
        front.on_request(completion_request(), std::make_shared<fake_reply>(log));
        front.perform(stream_begin{caller, {1, 2}});
        front.perform(stream_data{caller, "text"});
        front.perform(stream_end{caller, reason});
        BOOST_TEST((log.body.find("[DONE]") != std::string::npos) == (reason == failure_kind::none));
        BOOST_TEST((log.body.find("answer_incomplete") != std::string::npos) ==
                   (reason != failure_kind::none));
        BOOST_TEST(log.ends == 1);
    }
}

// Guards against a crash or an untyped failure: corrupted and truncated requests decode to a value or to a
// documented refusal.
RC_BOOST_PROP(corrupted_request_is_decoded_or_refused,
              (const std::vector<std::pair<std::uint16_t, char>>& changes, std::uint16_t cut,
               std::uint8_t part)) {
    http_request request = completion_request();
    if (part % 5 == 4) request.target = "/services/app/orders?a=b";
    std::string* const texts[] = {&request.method, &request.target, &request.headers[1].second, &request.body,
                                  &request.target};
    std::string& text = *texts[part % 5];
    for (const auto& [at, value] : changes)
        text[at % text.size()] = value;
    text.resize(text.size() - cut % text.size());
    failure error;
    const auto decoded = decode_caller_request(request, error);
    RC_ASSERT(decoded.has_value() || expected_refusal_statuses().contains(error.kind));
}

BOOST_AUTO_TEST_SUITE_END()
