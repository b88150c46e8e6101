// Index of this file:
// [SECTION] Rendezvous hashing
// [SECTION] Prefix hints
// [SECTION] Choice of sidecars

#include "damaskhill_placement.hpp"

#include <algorithm>
#include <tuple>

namespace damaskhill {

//-----------------------------------------------------------------------------
// [SECTION] Rendezvous hashing
//-----------------------------------------------------------------------------

std::vector<std::string> rendezvous(std::span<const std::string> names, std::string_view key,
                                    std::size_t wanted) {
    std::vector<std::pair<std::uint64_t, const std::string*>> scored;
    scored.reserve(names.size());
    const std::uint64_t seed = stable_hash(key);
    for (const std::string& name : names)
        scored.emplace_back(stable_hash(name, seed), &name);
    const std::size_t kept = std::min(wanted, scored.size());
    std::ranges::partial_sort(scored, scored.begin() + static_cast<std::ptrdiff_t>(kept), std::greater{});
    std::vector<std::string> best;
    best.reserve(kept);
    for (std::size_t i = 0; i < kept; ++i)
        best.push_back(*scored[i].second);
    return best;
}

//-----------------------------------------------------------------------------
// [SECTION] Prefix hints
//-----------------------------------------------------------------------------

void remember_prefix(prefix_memory& memory, std::uint64_t hash) {
    if (hash == 0 || !memory.held.insert(hash).second) return;
    memory.by_age.push_back(hash);
    if (memory.by_age.size() <= memory.limit) return;
    memory.held.erase(memory.by_age.front());
    memory.by_age.pop_front();
}

void forget_prefix(prefix_memory& memory, std::uint64_t hash) { memory.held.erase(hash); }

bool holds_prefix(const prefix_memory& memory, std::uint64_t hash) {
    return hash != 0 && memory.held.contains(hash);
}

//-----------------------------------------------------------------------------
// [SECTION] Choice of sidecars
//-----------------------------------------------------------------------------

std::vector<link_id> choose_first(std::span<const placement_candidate> candidates,
                                  const placement_settings& settings, random_source& random) {
    using rank = std::tuple<bool, double, std::uint64_t, link_id>;
    std::vector<rank> ranked;
    ranked.reserve(candidates.size());
    for (const auto& candidate : candidates) {
        const bool prefix_and_room = candidate.holds_prefix && candidate.free_room > 0.0;
        ranked.emplace_back(prefix_and_room, candidate.free_room, random.next(), candidate.link);
    }
    const auto holders =
        static_cast<std::size_t>(std::ranges::count_if(ranked, [](const rank& r) { return std::get<0>(r); }));
    const std::size_t wanted =
        holders > 0 ? std::min(holders, settings.first_hearers) : settings.first_hearers;
    const std::size_t kept = std::min(wanted, ranked.size());
    std::ranges::partial_sort(ranked, ranked.begin() + static_cast<std::ptrdiff_t>(kept), std::greater{});
    std::vector<link_id> links;
    links.reserve(kept);
    for (std::size_t i = 0; i < kept; ++i)
        links.push_back(std::get<3>(ranked[i]));
    return links;
}

} // namespace damaskhill
