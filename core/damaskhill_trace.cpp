// Index of this file:
// [SECTION] Trace context

#include "damaskhill_trace.hpp"

namespace damaskhill {

//-----------------------------------------------------------------------------
// [SECTION] Trace context
//-----------------------------------------------------------------------------

namespace {

// Layout of version 00: "00-" trace (32) "-" span (16) "-" flags (2).
constexpr std::size_t traceparent_size = 55;
constexpr std::size_t trace_id_offset = 3;
constexpr std::size_t span_id_offset = 36;

bool is_nonzero_hex(std::string_view text) {
    return text.find_first_not_of("0123456789abcdef") == std::string_view::npos &&
           text.find_first_not_of('0') != std::string_view::npos;
}

} // namespace

bool is_traceparent(std::string_view text) {
    return text.size() == traceparent_size && text.starts_with("00-") && text[35] == '-' && text[52] == '-' &&
           is_nonzero_hex(text.substr(trace_id_offset, 32)) &&
           is_nonzero_hex(text.substr(span_id_offset, 16));
}

std::string child_traceparent(std::string_view parent, random_source& random) {
    const std::string span_id = format_hex128(0, random.next() | 1U).substr(16);
    if (is_traceparent(parent)) {
        return "00-" + std::string{parent.substr(trace_id_offset, 32)} + "-" + span_id + "-01";
    }
    const std::uint64_t high = random.next();
    return "00-" + format_hex128(high, random.next() | 1U) + "-" + span_id + "-01";
}

std::string_view trace_id_of(std::string_view traceparent) {
    return is_traceparent(traceparent) ? traceparent.substr(trace_id_offset, 32) : std::string_view{};
}

std::string_view span_id_of(std::string_view traceparent) {
    return is_traceparent(traceparent) ? traceparent.substr(span_id_offset, 16) : std::string_view{};
}

} // namespace damaskhill
