// Index of this file:
// [SECTION] Decoding
// [SECTION] Refusals
// [SECTION] Answers
// [SECTION] Front end

#include "damaskhill_impl_frontend.hpp"

#include "damaskhill_impl_json.hpp"

#include <array>
#include <cctype>
#include <charconv>

#include <openssl/evp.h>

namespace damaskhill {

//-----------------------------------------------------------------------------
// [SECTION] Decoding
//-----------------------------------------------------------------------------

std::string sha256_hex(std::string_view bytes) {
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
    unsigned int size = 0;
    EVP_Digest(bytes.data(), bytes.size(), digest.data(), &size, EVP_sha256(), nullptr);
    static constexpr std::string_view digits = "0123456789abcdef";
    std::string text;
    for (unsigned int i = 0; i < size; ++i) {
        text.push_back(digits[digest[i] >> 4U]);
        text.push_back(digits[digest[i] & 0xFU]);
    }
    return text;
}

namespace {

bool set_failure(failure& error, failure_kind kind, std::string where, std::string allowed) {
    error = {kind, std::move(where), {}, std::move(allowed)};
    return false;
}

// Decodes the percent-encoded byte at the start of the text.
std::optional<char> decode_percent_escape(std::string_view text) {
    constexpr std::size_t length = 3;
    if (text.size() < length) return std::nullopt;
    unsigned int value = 0;
    const auto end = std::from_chars(text.data() + 1, text.data() + length, value, 16);
    if (end.ec != std::errc{} || end.ptr != text.data() + length) return std::nullopt;
    return static_cast<char>(value);
}

// Whether the path is normalized (RFC 3986, section 6.2.2): it has no empty, "." or ".." segments and does
// not escape "/" or unreserved characters. Order routes are matched as text, so an equivalent path that is
// not normalized would be treated as a call that may be repeated.
bool is_normalized_path(std::string_view path) {
    path = path.substr(0, path.find('?'));
    for (std::size_t at = path.find('%'); at != std::string_view::npos; at = path.find('%', at + 1)) {
        const auto byte = decode_percent_escape(path.substr(at));
        if (!byte) return false;
        const bool unreserved = std::isalnum(static_cast<unsigned char>(*byte)) != 0;
        if (unreserved || std::string_view{"-._~/"}.find(*byte) != std::string_view::npos) return false;
    }
    while (!path.empty()) {
        path.remove_prefix(1); // the slash that precedes the segment
        const std::string_view segment = path.substr(0, path.find('/'));
        path.remove_prefix(segment.size());
        if (segment == "." || segment == ".." || (segment.empty() && !path.empty())) return false;
    }
    return true;
}

bool decode_route(const http_request& from, caller_request& to, failure& error) {
    constexpr std::string_view services = "/services/";
    constexpr std::string_view answers = "/v1/answers/";
    const std::string_view target = from.target;
    to.method = from.method;
    if (target == "/v1/completions" || target == "/v1/chat/completions") {
        to.route = target == "/v1/completions" ? caller_route::completions : caller_route::chat_completions;
        to.path = target;
        if (from.method == "POST") return true;
        return set_failure(error, failure_kind::malformed_request, from.method + " " + from.target, "POST");
    }
    if (target.starts_with(answers) && from.method == "GET") {
        to.route = caller_route::fetch_answer;
        const auto id = parse_id<request_id>(target.substr(answers.size()));
        if (!id)
            return set_failure(error, failure_kind::malformed_request, "request id", "32 hexadecimal digits");
        to.request = *id;
        return true;
    }
    if (target.starts_with(services)) {
        const std::string_view rest = target.substr(services.size());
        const std::size_t slash = rest.find('/');
        to.route = caller_route::service;
        to.pool = rest.substr(0, slash);
        to.path = slash == std::string_view::npos ? "/" : std::string{rest.substr(slash)};
        if (is_normalized_path(to.path)) return true;
        return set_failure(error, failure_kind::malformed_request, "path",
                           "no empty, \".\" or \"..\" segments and no needless escapes");
    }
    return set_failure(error, failure_kind::not_found, from.target,
                       "/v1/completions, /v1/chat/completions, /v1/answers/<id> or /services/<pool>/<path>");
}

bool decode_headers(const http_request& from, caller_request& to, failure& error) {
    std::size_t bytes = 0;
    for (const auto& [name, value] : from.headers)
        bytes += name.size() + value.size();
    if (bytes > max_caller_header_bytes)
        return set_failure(error, failure_kind::header_too_large, "headers", "16 KB");
    if (from.body.size() > max_caller_body_bytes)
        return set_failure(error, failure_kind::body_too_large, "body", "1 MB");
    constexpr std::string_view bearer = "Bearer ";
    const std::string_view authorization = find_header(from.headers, "Authorization");
    if (authorization.starts_with(bearer)) to.key_hash = sha256_hex(authorization.substr(bearer.size()));
    to.idempotency_key = find_header(from.headers, "Idempotency-Key");
    to.traceparent = find_header(from.headers, "traceparent");
    to.content_type = find_header(from.headers, "Content-Type");
    const std::string_view id = find_header(from.headers, "X-Request-Id");
    if (!id.empty() && to.request.empty()) {
        const auto parsed = parse_id<request_id>(id);
        if (!parsed)
            return set_failure(error, failure_kind::malformed_request, "X-Request-Id",
                               "32 hexadecimal digits");
        to.request = *parsed;
    }
    const std::string_view cls = find_header(from.headers, "X-Damaskhill-Class");
    if (cls == "interactive") to.cls = request_class::interactive;
    if (cls == "batch") to.cls = request_class::batch;
    if (!cls.empty() && !to.cls) {
        return set_failure(error, failure_kind::malformed_request, "X-Damaskhill-Class",
                           "interactive or batch");
    }
    const std::string timeout{find_header(from.headers, "X-Request-Timeout-Ms")};
    if (timeout.empty()) return true;
    if (timeout.size() > 8 || timeout.find_first_not_of("0123456789") != std::string::npos) {
        return set_failure(error, failure_kind::malformed_request, "X-Request-Timeout-Ms", "milliseconds");
    }
    to.timeout_ms = std::stoull(timeout);
    return true;
}

std::string extract_prompt(const json& body) {
    if (body.contains("prompt") && body["prompt"].is_string()) return body["prompt"].get<std::string>();
    std::string text;
    if (!body.contains("messages") || !body["messages"].is_array()) return text;
    for (const json& message : body["messages"]) {
        if (message.is_object() && message.contains("content") && message["content"].is_string()) {
            text += message["content"].get<std::string>();
        }
    }
    return text;
}

bool decode_model_body(const http_request& from, caller_request& to, failure& error) {
    constexpr std::uint32_t default_max_tokens = 128;
    constexpr std::uint32_t max_tokens_limit = 1U << 20U;
    constexpr std::size_t bytes_per_token = 4; // estimate
    constexpr std::size_t prefix_bytes = 256;
    failure ignored;
    const auto body = parse_json(from.body, "body", ignored);
    if (!body || !body->is_object())
        return set_failure(error, failure_kind::malformed_request, "body", "a JSON object");
    if (!body->contains("model") || !(*body)["model"].is_string()) {
        return set_failure(error, failure_kind::malformed_request, "body: $.model", "a string");
    }
    to.pool = (*body)["model"].get<std::string>();
    to.max_tokens = default_max_tokens;
    if (body->contains("max_tokens")) {
        if (!decode_json((*body)["max_tokens"], to.max_tokens, "$.max_tokens", unknown_keys::skip, ignored) ||
            to.max_tokens == 0 || to.max_tokens > max_tokens_limit) {
            return set_failure(error, failure_kind::malformed_request, "body: $.max_tokens", "1 to 1048576");
        }
    }
    if (body->contains("stream")) {
        if (!(*body)["stream"].is_boolean()) {
            return set_failure(error, failure_kind::malformed_request, "body: $.stream", "true or false");
        }
        to.stream = (*body)["stream"].get<bool>();
    }
    const std::string prompt = extract_prompt(*body);
    to.prompt_tokens = static_cast<std::uint32_t>(prompt.size() / bytes_per_token);
    to.prefix_hash = stable_hash(std::string_view{prompt}.substr(0, prefix_bytes));
    return true;
}

} // namespace

std::optional<caller_request> decode_caller_request(const http_request& request, failure& error) {
    caller_request decoded;
    if (!decode_route(request, decoded, error) || !decode_headers(request, decoded, error))
        return std::nullopt;
    decoded.body = request.body;
    const bool model =
        decoded.route == caller_route::completions || decoded.route == caller_route::chat_completions;
    if (model && !decode_model_body(request, decoded, error)) return std::nullopt;
    return decoded;
}

//-----------------------------------------------------------------------------
// [SECTION] Refusals
//-----------------------------------------------------------------------------

std::uint32_t http_status_of(failure_kind kind) {
    switch (kind) {
    case failure_kind::unauthorized:
        return 401;
    case failure_kind::malformed_request:
    case failure_kind::key_required:
    case failure_kind::malformed_key:
        return 400;
    case failure_kind::header_too_large:
        return 431;
    case failure_kind::body_too_large:
        return 413;
    case failure_kind::not_found:
    case failure_kind::unknown_pool:
    case failure_kind::answer_expired:
        return 404;
    case failure_kind::queue_full:
        return 429;
    case failure_kind::key_expired:
        return 410;
    case failure_kind::key_reused:
    case failure_kind::quarantined:
        return 422;
    case failure_kind::deadline_exceeded:
        return 504;
    case failure_kind::target_failed:
    case failure_kind::answer_incomplete:
        return 502;
    case failure_kind::internal:
        return 500;
    default:
        return 503;
    }
}

std::string problem_json(const refuse& refusal) {
    json problem{{"type", "urn:damaskhill:problem:" + std::string{to_string(refusal.kind)}},
                 {"title", to_string(refusal.kind)},
                 {"status", http_status_of(refusal.kind)},
                 {"run_state", to_string(refusal.state)}};
    if (!refusal.detail.empty()) problem["detail"] = refusal.detail;
    if (!refusal.request.empty()) problem["request_id"] = to_string(refusal.request);
    return dump_json(problem);
}

//-----------------------------------------------------------------------------
// [SECTION] Answers
//-----------------------------------------------------------------------------

namespace {

constexpr std::string_view event_stream = "text/event-stream";

// Answers of model engines are stored as plain text; this encodes them as JSON.
std::string completion_json(caller_route route, const std::string& model, request_id request,
                            const std::string& text) {
    const bool chat = route == caller_route::chat_completions;
    json choice{{"index", 0}, {"finish_reason", "stop"}};
    if (chat) {
        choice["message"] = {{"role", "assistant"}, {"content", text}};
    } else {
        choice["text"] = text;
    }
    return dump_json(json{{"id", to_string(request)},
                          {"object", chat ? "chat.completion" : "text_completion"},
                          {"model", model},
                          {"choices", json::array({choice})}});
}

std::string stream_event_json(caller_route route, const std::string& model, request_id request,
                              const std::string& text) {
    const bool chat = route == caller_route::chat_completions;
    json choice{{"index", 0}, {"finish_reason", nullptr}};
    if (chat) {
        choice["delta"] = {{"content", text}};
    } else {
        choice["text"] = text;
    }
    const json event{{"id", to_string(request)},
                     {"object", chat ? "chat.completion.chunk" : "text_completion"},
                     {"model", model},
                     {"choices", json::array({choice})}};
    return "data: " + dump_json(event) + "\n\n";
}

} // namespace

//-----------------------------------------------------------------------------
// [SECTION] Front end
//-----------------------------------------------------------------------------

void caller_frontend::on_request(http_request&& request, http_reply_ptr reply) {
    const caller_id caller = next_caller_++;
    failure error;
    auto decoded = decode_caller_request(request, error);
    open_request& opened = open_requests_[caller];
    opened.reply = std::move(reply);
    opened.connection = request.connection;
    callers_by_connection_[request.connection].push_back(caller);
    if (!decoded) {
        submit_(caller_malformed{caller, error.kind, describe(error)});
        return;
    }
    decoded->caller = caller;
    opened.route = decoded->route;
    opened.model = decoded->pool;
    submit_(std::move(*decoded));
}

void caller_frontend::on_connection_closed(std::uint64_t connection) {
    const auto found = callers_by_connection_.find(connection);
    if (found == callers_by_connection_.end()) return;
    const std::vector<caller_id> callers = std::move(found->second);
    callers_by_connection_.erase(found);
    for (const caller_id caller : callers) {
        if (open_requests_.erase(caller) > 0) submit_(caller_disconnected{caller});
    }
}

void caller_frontend::erase_request(caller_id caller) {
    const auto found = open_requests_.find(caller);
    if (found == open_requests_.end()) return;
    const auto connection = callers_by_connection_.find(found->second.connection);
    if (connection != callers_by_connection_.end()) {
        std::erase(connection->second, caller);
        if (connection->second.empty()) callers_by_connection_.erase(connection);
    }
    open_requests_.erase(found);
}

void caller_frontend::perform(const answer_whole& answer) {
    const auto found = open_requests_.find(answer.caller);
    if (found == open_requests_.end()) return;
    const open_request& opened = found->second;
    const bool text = std::string_view{answer.content_type}.starts_with(event_stream);
    http_headers headers{{"Content-Type", text ? "application/json" : answer.content_type},
                         {"X-Request-Id", to_string(answer.request)}};
    std::string body =
        text ? completion_json(opened.route, opened.model, answer.request, answer.body) : answer.body;
    opened.reply->send_response(answer.status, headers, std::move(body));
    erase_request(answer.caller);
}

void caller_frontend::perform(const stream_begin& begin) {
    const auto found = open_requests_.find(begin.caller);
    if (found == open_requests_.end()) return;
    found->second.request = begin.request;
    found->second.reply->begin_response(200, {{"Content-Type", std::string{event_stream}},
                                              {"X-Request-Id", to_string(begin.request)},
                                              {"Cache-Control", "no-store"}});
}

void caller_frontend::perform(const stream_data& data) {
    const auto found = open_requests_.find(data.caller);
    if (found == open_requests_.end()) return;
    const open_request& opened = found->second;
    opened.reply->send_chunk(stream_event_json(opened.route, opened.model, opened.request, data.text));
}

void caller_frontend::perform(const stream_end& end) {
    const auto found = open_requests_.find(end.caller);
    if (found == open_requests_.end()) return;
    const open_request& opened = found->second;
    if (end.reason == failure_kind::none) {
        opened.reply->send_chunk("data: [DONE]\n\n");
    } else {
        // An incomplete stream ends with an error event instead of [DONE].
        const refuse refusal{end.caller, opened.request, end.reason, run_state::unknown, 0, {}};
        opened.reply->send_chunk("event: error\ndata: " + problem_json(refusal) + "\n\n");
    }
    opened.reply->end_response();
    erase_request(end.caller);
}

void caller_frontend::perform(const refuse& refusal) {
    const auto found = open_requests_.find(refusal.caller);
    if (found == open_requests_.end()) return;
    http_headers headers{{"Content-Type", "application/problem+json"}};
    if (refusal.retry_after_s > 0) headers.emplace_back("Retry-After", std::to_string(refusal.retry_after_s));
    if (!refusal.request.empty()) headers.emplace_back("X-Request-Id", to_string(refusal.request));
    if (refusal.kind == failure_kind::unauthorized) headers.emplace_back("WWW-Authenticate", "Bearer");
    found->second.reply->send_response(http_status_of(refusal.kind), headers, problem_json(refusal));
    erase_request(refusal.caller);
}

} // namespace damaskhill
