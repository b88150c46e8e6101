// Client of one target: a model engine, which streams server-sent events, or a plain service.
//
// Index of this file:
// [SECTION] Engine events
// [SECTION] Target client

#pragma once

#include "damaskhill_events.hpp"
#include "damaskhill_impl_curl.hpp"

#include <unordered_map>

namespace damaskhill {

//-----------------------------------------------------------------------------
// [SECTION] Engine events
//-----------------------------------------------------------------------------

struct engine_event {
    std::string text; // one token
    bool end{};       // [DONE]: the stream is complete
};

/// Decodes one line of an event stream. Lines without data yield an event without text.
/// Sets `error` to malformed_document if the data is invalid.
[[nodiscard]] std::optional<engine_event> decode_engine_event(std::string_view line, failure& error);

//-----------------------------------------------------------------------------
// [SECTION] Target client
//-----------------------------------------------------------------------------

/// Whether the body of a response other than an engine's event stream is part of the caller's answer.
/// Overload responses and failures of calls that are retried are not: the next attempt's output would be
/// appended to them. `order`: the call has an idempotency key.
[[nodiscard]] bool is_part_of_answer(std::uint32_t status, bool order);

class target_client {
public:
    /// `on_rejected` is called for each event of the target that could not be decoded.
    target_client(http_client& http, std::string url, target_kind kind,
                  std::function<void(sidecar_input&&)> submit, std::function<void(failure_kind)> on_rejected);
    void start(const start_call& request);
    void cancel(const cancel_call& request);
    void load(const load_version& request);
    /// Requests the target's status. The result is submitted as an event.
    void poll_status();

private:
    struct open_call {
        std::uint64_t call_id{};
        std::string partial_line; // incomplete last line of the event stream
        std::uint32_t tokens{};
        bool stream_ended{}; // [DONE] was received
        bool malformed{};    // an event could not be decoded, so the answer is incomplete
        std::uint32_t status{};
    };
    void on_engine_data(attempt_id attempt, std::uint32_t status, std::string&& data);
    void on_engine_line(attempt_id attempt, open_call& call, std::string_view line);
    void on_done(attempt_id attempt, http_result&& result);

    http_client& http_;
    std::string url_;
    target_kind kind_;
    std::function<void(sidecar_input&&)> submit_;
    std::function<void(failure_kind)> on_rejected_;
    std::unordered_map<attempt_id, open_call> open_calls_;
    bool polling_{};
};

} // namespace damaskhill
