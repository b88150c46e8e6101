// Placement: rendezvous hashing and the choice of sidecars that hear of a reservation first.
//
// Index of this file:
// [SECTION] Rendezvous hashing
// [SECTION] Choice of sidecars

#pragma once

#include "damaskhill_types.hpp"

namespace damaskhill {

//-----------------------------------------------------------------------------
// [SECTION] Rendezvous hashing
//-----------------------------------------------------------------------------

/// The `wanted` names with the highest hash with the key, best first. Costs one hash for each name.
[[nodiscard]] std::vector<std::string> rendezvous(std::span<const std::string> names, std::string_view key,
                                                  std::size_t wanted);

//-----------------------------------------------------------------------------
// [SECTION] Choice of sidecars
//-----------------------------------------------------------------------------

/// What a router knows of one sidecar when a request arrives.
struct placement_candidate {
    link_id link{};
    double free_room{};  // as last reported, less what this router has reserved since
    bool holds_prefix{}; // a hint: cache events are late and some are missing
};

struct placement_settings {
    std::size_t first_hearers{2}; // sidecars that hear of a new request at once
};

/// Links that hear of a new request at once: those with the prefix and room first, then by free room; ties
/// are broken at random so that routers that return together do not choose the same sidecar.
[[nodiscard]] std::vector<link_id> choose_first(std::span<const placement_candidate> candidates,
                                                const placement_settings& settings, random_source& random);

} // namespace damaskhill
