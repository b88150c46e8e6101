// Index of this file:
// [SECTION] Calls
// [SECTION] Event stream
// [SECTION] Status

#include "damaskhill_impl_target.hpp"

#include "damaskhill_impl_json.hpp"

namespace damaskhill {

//-----------------------------------------------------------------------------
// [SECTION] Calls
//-----------------------------------------------------------------------------

target_client::target_client(http_client& http, std::string url, target_kind kind,
                             std::function<void(sidecar_input&&)> submit,
                             std::function<void(failure_kind)> on_rejected)
    : http_(http),
      url_(std::move(url)),
      kind_(kind),
      submit_(std::move(submit)),
      on_rejected_(std::move(on_rejected)) {}

namespace {

// Engines always stream to the sidecar, so that an interrupted answer can be resumed.
std::string with_streaming_enabled(const std::string& body) {
    failure error;
    auto document = parse_json(body, "body", error);
    if (!document || !document->is_object()) return body;
    (*document)["stream"] = true;
    return dump_json(*document);
}

} // namespace

bool is_part_of_answer(std::uint32_t status, bool order) {
    const bool overloaded = status == 429 || status == 503;
    return !overloaded && (status < 500 || order);
}

void target_client::start(const start_call& request) {
    const bool engine = kind_ == target_kind::model_engine;
    http_call call;
    call.method = request.method;
    call.url = url_ + request.path;
    call.body = engine ? with_streaming_enabled(request.body) : request.body;
    call.timeout = duration{}; // the reducer cancels calls that make no progress
    call.headers = {
        {"Content-Type", request.content_type.empty() ? "application/json" : request.content_type},
        {"traceparent", request.traceparent},
        {"X-Fencing-Token", std::to_string(request.fence)}};
    if (request.resume_offset > 0)
        call.headers.emplace_back("X-Resume-Offset", std::to_string(request.resume_offset));
    if (!request.idempotency_key.empty())
        call.headers.emplace_back("Idempotency-Key", request.idempotency_key);
    const attempt_id attempt = request.attempt;
    http_call_handlers handlers;
    const bool order = !request.idempotency_key.empty();
    handlers.on_data = [this, engine, order, attempt](std::uint32_t status, std::string_view,
                                                      std::string&& data) {
        if (engine && status == 200) {
            on_engine_data(attempt, status, std::move(data));
        } else if (is_part_of_answer(status, order)) {
            submit_(call_chunk{attempt, std::move(data), 0});
        }
    };
    handlers.on_done = [this, attempt](http_result&& result) { on_done(attempt, std::move(result)); };
    open_calls_[attempt].call_id = http_.start(std::move(call), std::move(handlers));
}

void target_client::cancel(const cancel_call& request) {
    const auto found = open_calls_.find(request.attempt);
    if (found == open_calls_.end()) return;
    http_.cancel(found->second.call_id);
    open_calls_.erase(found);
}

void target_client::on_done(attempt_id attempt, http_result&& result) {
    const auto found = open_calls_.find(attempt);
    if (found == open_calls_.end()) return;
    call_finished finished;
    finished.attempt = attempt;
    finished.status = result.status;
    finished.sent = result.sent;
    finished.content_type = result.content_type;
    finished.overloaded = result.transport_ok && (result.status == 429 || result.status == 503);
    finished.tokens = found->second.tokens;
    const bool engine_stream = kind_ == target_kind::model_engine && result.status == 200;
    finished.transport_ok =
        result.transport_ok && (!engine_stream || (found->second.stream_ended && !found->second.malformed));
    open_calls_.erase(found);
    submit_(std::move(finished));
}

void target_client::load(const load_version& request) {
    http_call call{"POST", url_ + "/admin/load", {{"Content-Type", "application/json"}}, {}, 5s, 1s};
    call.body = dump_json(json{{"version", request.version}, {"fence", request.fence}});
    http_.start(std::move(call), {{}, [](http_result&&) {}});
}

//-----------------------------------------------------------------------------
// [SECTION] Event stream
//-----------------------------------------------------------------------------

void target_client::on_engine_data(attempt_id attempt, std::uint32_t status, std::string&& data) {
    const auto found = open_calls_.find(attempt);
    if (found == open_calls_.end()) return;
    open_call& call = found->second;
    call.status = status;
    call.partial_line += data;
    std::size_t start = 0;
    for (std::size_t end = call.partial_line.find('\n'); end != std::string::npos;
         end = call.partial_line.find('\n', start)) {
        on_engine_line(attempt, call, std::string_view{call.partial_line}.substr(start, end - start));
        start = end + 1;
    }
    call.partial_line.erase(0, start);
}

void target_client::on_engine_line(attempt_id attempt, open_call& call, std::string_view line) {
    failure error;
    auto event = decode_engine_event(line, error);
    if (!event) {
        // The offset of later events is unknown, so the call fails and is resumed on another target.
        call.malformed = true;
        on_rejected_(error.kind);
        return;
    }
    if (event->end) call.stream_ended = true;
    if (call.malformed || event->text.empty()) return;
    ++call.tokens;
    submit_(call_chunk{attempt, std::move(event->text), 1});
}

std::optional<engine_event> decode_engine_event(std::string_view line, failure& error) {
    constexpr std::string_view prefix = "data: ";
    engine_event event;
    if (!line.starts_with(prefix)) return event;
    line.remove_prefix(prefix.size());
    if (line.starts_with("[DONE]")) {
        event.end = true;
        return event;
    }
    const auto document = parse_json(line, "engine event", error);
    if (!document) return std::nullopt;
    try {
        const json& choice = document->at("choices").at(0);
        event.text = choice.contains("delta") ? choice["delta"].value("content", std::string{})
                                              : choice.value("text", std::string{});
    } catch (const json::exception& exception) {
        error = {failure_kind::malformed_document, "engine event", exception.what(),
                 "choices with text or delta"};
        return std::nullopt;
    }
    return event;
}

//-----------------------------------------------------------------------------
// [SECTION] Status
//-----------------------------------------------------------------------------

void target_client::poll_status() {
    if (polling_) return;
    polling_ = true;
    http_call call{"GET", url_ + "/status", {}, {}, 1s, 1s};
    http_.start(std::move(call), {{}, [this](http_result&& result) {
                                      polling_ = false;
                                      target_status status;
                                      status.reachable = result.transport_ok && result.status == 200;
                                      failure error;
                                      const auto document = parse_json(result.body, "status", error);
                                      if (status.reachable && document) {
                                          auto decoded = status;
                                          const bool ok =
                                              decode_json(*document, decoded, "$", unknown_keys::skip, error);
                                          if (ok) status = decoded;
                                          status.reachable = ok;
                                      }
                                      submit_(std::move(status));
                                  }});
}

} // namespace damaskhill
