// Splits the bytes of an event stream into complete events and the incomplete rest. Each received byte is
// searched a bounded number of times, however small the pieces are in which it comes.
//
// Index of this file:
// [SECTION] Events

#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace damaskhill {

//-----------------------------------------------------------------------------
// [SECTION] Events
//-----------------------------------------------------------------------------

inline constexpr std::string_view event_end = "\n\n";

/// Position behind the last complete event of the text and the empty lines after it, or 0 if there are none.
/// The first `known` bytes are known to contain no complete event. Adds the bytes that are searched to
/// `searched`.
[[nodiscard]] std::size_t find_events_end(std::string_view text, std::size_t known, std::uint64_t& searched);

/// Returns the complete events of the received data and stores the id of the last one that has an id. The
/// remainder stays in `partial`, which must contain no complete event before. Adds the bytes that are
/// searched for the ends of events to `searched` if it is given.
std::string extract_complete_events(std::string& partial, std::string_view data, std::string& last_id,
                                    std::uint64_t* searched = nullptr);

/// Size of the incomplete last event after more bytes of a stream, given its size and the last bytes before.
[[nodiscard]] std::size_t incomplete_event_size(std::size_t before, std::string_view tail,
                                                std::string_view data);

} // namespace damaskhill
