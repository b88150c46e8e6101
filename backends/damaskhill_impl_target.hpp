// Client of one target: calls of a model engine (server-sent events) or of a plain service.
//
// Index of this file:
// [SECTION] Events of an engine's stream
// [SECTION] Target client

#pragma once

#include "damaskhill_events.hpp"
#include "damaskhill_impl_curl.hpp"

#include <unordered_map>

namespace damaskhill {

//-----------------------------------------------------------------------------
// [SECTION] Events of an engine's stream
//-----------------------------------------------------------------------------

struct engine_event {
    std::string text; // of one token
    bool end{};       // the stream is whole
};

/// Decodes one line of server-sent events; lines without data give an event without text.
/// Writes malformed_document.
[[nodiscard]] std::optional<engine_event> decode_engine_event(std::string_view line, failure& why);

//-----------------------------------------------------------------------------
// [SECTION] Target client
//-----------------------------------------------------------------------------

/// Whether the body of a reply other than an engine's event stream belongs to the caller's answer. A refusal
/// for lack of room and a failure of a call that is retried do not: what the next attempt sends would follow
/// them.
[[nodiscard]] bool is_part_of_answer(std::uint32_t status, bool order);

class target_client {
public:
    /// `rejected` hears of every event of the target that could not be decoded.
    target_client(http_client& http, std::string url, target_kind kind,
                  std::function<void(sidecar_input&&)> submit, std::function<void(failure_kind)> rejected);
    void start(const start_call& asked);
    void cancel(const cancel_call& asked);
    void load(const load_version& asked);
    /// Asks for the target's status; the result arrives as an event.
    void poll_status();

private:
    struct open_call {
        std::uint64_t call_id{};
        std::string unparsed; // of the event stream
        std::uint32_t tokens{};
        bool stream_ended{}; // the stream's end marker has arrived
        bool malformed{};    // an event could not be decoded: the answer is not whole
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
    std::unordered_map<attempt_id, open_call> calls_;
    bool polling_{};
};

} // namespace damaskhill
