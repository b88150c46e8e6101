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

/// Returns whether the text is a version 00 traceparent with non-zero trace and span identifiers.
[[nodiscard]] bool is_traceparent(std::string_view text);

/// Creates the traceparent of a new span in the parent's trace, or in a new trace if the parent is invalid.
[[nodiscard]] std::string child_traceparent(std::string_view parent, random_source& random);

/// The trace identifier (32 hexadecimal digits) and the span identifier (16); empty if the text is invalid.
[[nodiscard]] std::string_view trace_id_of(std::string_view traceparent);
[[nodiscard]] std::string_view span_id_of(std::string_view traceparent);

} // namespace damaskhill
