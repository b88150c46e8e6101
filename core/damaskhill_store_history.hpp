// Positions in the history of a key-value store that may be restored from an older copy.
//
// Index of this file:
// [SECTION] Position

#pragma once

#include "damaskhill_fields.hpp"

#include <compare>

namespace damaskhill {

//-----------------------------------------------------------------------------
// [SECTION] Position
//-----------------------------------------------------------------------------

/// Position of a change in the history of the store, in the order of the history. A restored store begins a
/// new era and gives out revisions again, so that revisions of different eras cannot be compared.
struct store_position {
    std::uint64_t era{};      // 0 if the store states none
    std::uint64_t revision{}; // 0: before the first change
    friend auto operator<=>(const store_position&, const store_position&) = default;
    static constexpr auto fields() {
        return std::tuple{field{1, "era", &store_position::era},
                          field{2, "revision", &store_position::revision}};
    }
};

/// Formats a position for the log, as "era/revision".
[[nodiscard]] std::string format_position(const store_position& position);

} // namespace damaskhill
