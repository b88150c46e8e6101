// W3C trace context: parsing, creation and child spans.
//
// Index of this file:
// [SECTION] Trace context

#pragma once

#include "damaskhill_types.hpp"

namespace damaskhill {

//-----------------------------------------------------------------------------
// [SECTION] Trace context
//-----------------------------------------------------------------------------

/// Whether the text is a traceparent of version 00 with trace and span identifiers that are not zero.
[[nodiscard]] bool is_traceparent(std::string_view text);

/// Traceparent of a new span in the trace of the parent, or of a new trace if the parent is not valid.
[[nodiscard]] std::string child_traceparent(std::string_view parent, random_source& random);

/// The 32 digits of the trace identifier and the 16 of the span identifier; empty if not valid.
[[nodiscard]] std::string_view trace_id_of(std::string_view traceparent);
[[nodiscard]] std::string_view span_id_of(std::string_view traceparent);

} // namespace damaskhill
