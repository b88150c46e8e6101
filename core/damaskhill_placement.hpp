// Placement: rendezvous hashing, prefix cache hints, and the choice of sidecars for a new reservation.
//
// Index of this file:
// [SECTION] Rendezvous hashing
// [SECTION] Prefix cache hints
// [SECTION] Choice of sidecars

#pragma once

#include "damaskhill_types.hpp"

#include <deque>
#include <unordered_set>

namespace damaskhill {

//-----------------------------------------------------------------------------
// [SECTION] Rendezvous hashing
//-----------------------------------------------------------------------------

/// The `wanted` names with the highest hash of name and key, best first. Computes one hash per name.
[[nodiscard]] std::vector<std::string> rendezvous(std::span<const std::string> names, std::string_view key,
                                                  std::size_t wanted);

//-----------------------------------------------------------------------------
// [SECTION] Prefix cache hints
//-----------------------------------------------------------------------------

/// Prefix hashes that one target is believed to hold. It is only a hint, since cache events may be late or
/// lost. The oldest hashes are dropped beyond the limit.
struct prefix_cache {
    std::size_t limit{2048};
    std::unordered_set<std::uint64_t> hashes;
    std::deque<std::uint64_t> insertion_order; // may contain hashes that were dropped
};

void add_prefix(prefix_cache& cache, std::uint64_t hash);
void drop_prefix(prefix_cache& cache, std::uint64_t hash);
[[nodiscard]] bool holds_prefix(const prefix_cache& cache, std::uint64_t hash);

//-----------------------------------------------------------------------------
// [SECTION] Choice of sidecars
//-----------------------------------------------------------------------------

/// Sidecar that may be notified of a request.
struct placement_candidate {
    link_id link{};
    double free_slots{}; // as last reported, minus the reservations sent since
    bool holds_prefix{}; // hint: cache events may be late or lost
};

struct placement_settings {
    std::size_t initial_announcements{2}; // sidecars notified of a new request at once
    /// Time for which only sidecars with the prefix and a free slot are notified.
    duration prefix_head_start{10ms};
};

/// Links to notify of a new request at once: those with the prefix and a free slot if there are any,
/// otherwise those with the most free slots. Ties are broken at random, so that routers that restart together
/// do not all choose the same sidecar.
[[nodiscard]] std::vector<link_id> choose_initial_sidecars(std::span<const placement_candidate> candidates,
                                                           const placement_settings& settings,
                                                           random_source& random);

/// Interface that the router needs. Benchmarks substitute other policies.
template <class F>
concept placement_policy = requires(F choose, std::span<const placement_candidate> candidates,
                                    const placement_settings& settings, random_source& random) {
    { choose(candidates, settings, random) } -> std::same_as<std::vector<link_id>>;
};
static_assert(placement_policy<decltype(choose_initial_sidecars)>);

} // namespace damaskhill
