// Index of this file:
// [SECTION] Events

#include "damaskhill_event_stream.hpp"

#include <algorithm>

namespace damaskhill {

//-----------------------------------------------------------------------------
// [SECTION] Events
//-----------------------------------------------------------------------------

std::size_t find_events_end(std::string_view text, std::size_t known, std::uint64_t& searched) {
    // The end of an event may lie across the seam.
    const std::size_t begin = known - std::min(known, event_end.size() - 1);
    const std::string_view rest = text.substr(begin);
    searched += rest.size();
    const auto end = rest.rfind(event_end);
    if (end != std::string_view::npos) return begin + end + event_end.size();
    // Empty lines after an event belong to it, also if they come later.
    return known == 0 ? std::min(text.find_first_not_of('\n'), text.size()) : 0;
}

std::string extract_complete_events(std::string& partial, std::string_view data, std::string& last_id,
                                    std::uint64_t* searched) {
    const std::size_t known = partial.size();
    partial.append(data);
    std::uint64_t work = 0;
    const std::size_t end = find_events_end(partial, known, work);
    if (searched != nullptr) *searched += work;
    if (end == 0) return {};
    std::string complete_events = partial.substr(0, end);
    partial.erase(0, end);
    // Only a line that begins with the field name holds an id; data may contain the same characters.
    constexpr std::string_view field = "id:";
    const auto line = complete_events.rfind("\nid:");
    const bool in_first_line = line == std::string::npos && complete_events.starts_with(field);
    if (line != std::string::npos || in_first_line) {
        const std::size_t begin = (in_first_line ? 0 : line + 1) + field.size();
        const auto line_end = complete_events.find('\n', begin);
        std::string_view value = std::string_view{complete_events}.substr(begin, line_end - begin);
        if (value.ends_with('\r')) value.remove_suffix(1);
        while (value.starts_with(' '))
            value.remove_prefix(1);
        last_id = value;
    }
    return complete_events;
}

std::size_t incomplete_event_size(std::size_t before, std::string_view tail, std::string_view data) {
    const auto end = data.rfind(event_end);
    if (end != std::string_view::npos) return data.size() - end - event_end.size();
    const bool ends_at_the_seam = tail.ends_with('\n') && data.starts_with('\n');
    return ends_at_the_seam ? data.size() - 1 : before + data.size();
}

} // namespace damaskhill
