// Placement: rendezvous hashing and the choice of sidecars that hear of a reservation first.
//
// Index of this file:
// [SECTION] Rendezvous hashing
// [SECTION] Prefix hints
// [SECTION] Choice of sidecars

#pragma once

#include "damaskhill_types.hpp"

#include <deque>
#include <unordered_set>

namespace damaskhill {

//-----------------------------------------------------------------------------
// [SECTION] Rendezvous hashing
//-----------------------------------------------------------------------------

/// The `wanted` names with the highest hash with the key, best first. Costs one hash for each name.
[[nodiscard]] std::vector<std::string> rendezvous(std::span<const std::string> names, std::string_view key,
                                                  std::size_t wanted);

//-----------------------------------------------------------------------------
// [SECTION] Prefix hints
//-----------------------------------------------------------------------------

/// Prefix hashes that one target is said to hold. Events are late and some are missing, so this is a hint
/// only; the oldest hashes are dropped beyond the limit.
struct prefix_cache {
    std::size_t limit{2048};
    std::unordered_set<std::uint64_t> hashes;
    std::deque<std::uint64_t> insertion_order; // may name hashes that are no longer held
};

void add_prefix(prefix_cache& cache, std::uint64_t hash);
void drop_prefix(prefix_cache& cache, std::uint64_t hash);
[[nodiscard]] bool holds_prefix(const prefix_cache& cache, std::uint64_t hash);

//-----------------------------------------------------------------------------
// [SECTION] Choice of sidecars
//-----------------------------------------------------------------------------

/// What a router knows of one sidecar when a request arrives.
struct placement_candidate {
    link_id link{};
    double free_slots{}; // as last reported, less what this router has reserved since
    bool holds_prefix{}; // a hint: cache events are late and some are missing
};

struct placement_settings {
    std::size_t initial_announcements{2}; // sidecars that hear of a new request at once
    duration prefix_head_start{10ms};     // for which only sidecars with the prefix and room hear of it
};

/// Links that hear of a new request at once: only those with the prefix and room, or by free room; ties
/// are broken at random so that routers that return together do not choose the same sidecar.
[[nodiscard]] std::vector<link_id> choose_initial_sidecars(std::span<const placement_candidate> candidates,
                                                           const placement_settings& settings,
                                                           random_source& random);

/// What a router needs of a placement; benches swap in other policies.
template <class F>
concept placement_policy = requires(F choose, std::span<const placement_candidate> candidates,
                                    const placement_settings& settings, random_source& random) {
    { choose(candidates, settings, random) } -> std::same_as<std::vector<link_id>>;
};
static_assert(placement_policy<decltype(choose_initial_sidecars)>);

} // namespace damaskhill
