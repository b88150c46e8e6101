// Index of this file:
// [SECTION] Rendezvous hashing
// [SECTION] Prefix cache hints
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
    const std::size_t count = std::min(wanted, scored.size());
    std::ranges::partial_sort(scored, scored.begin() + static_cast<std::ptrdiff_t>(count), std::greater{});
    std::vector<std::string> best;
    best.reserve(count);
    for (std::size_t i = 0; i < count; ++i)
        best.push_back(*scored[i].second);
    return best;
}

//-----------------------------------------------------------------------------
// [SECTION] Prefix cache hints
//-----------------------------------------------------------------------------

void add_prefix(prefix_cache& cache, std::uint64_t hash) {
    if (hash == 0 || !cache.hashes.insert(hash).second) return;
    cache.insertion_order.push_back(hash);
    if (cache.insertion_order.size() <= cache.limit) return;
    cache.hashes.erase(cache.insertion_order.front());
    cache.insertion_order.pop_front();
}

void drop_prefix(prefix_cache& cache, std::uint64_t hash) { cache.hashes.erase(hash); }

bool holds_prefix(const prefix_cache& cache, std::uint64_t hash) {
    return hash != 0 && cache.hashes.contains(hash);
}

//-----------------------------------------------------------------------------
// [SECTION] Choice of sidecars
//-----------------------------------------------------------------------------

std::vector<link_id> choose_initial_sidecars(std::span<const placement_candidate> candidates,
                                             const placement_settings& settings, random_source& random) {
    using rank = std::tuple<bool, double, std::uint64_t, link_id>;
    std::vector<rank> ranked;
    ranked.reserve(candidates.size());
    for (const auto& candidate : candidates) {
        const bool prefix_and_free_slot = candidate.holds_prefix && candidate.free_slots > 0.0;
        ranked.emplace_back(prefix_and_free_slot, candidate.free_slots, random.next(), candidate.link);
    }
    const auto holders =
        static_cast<std::size_t>(std::ranges::count_if(ranked, [](const rank& r) { return std::get<0>(r); }));
    const std::size_t wanted =
        holders > 0 ? std::min(holders, settings.initial_announcements) : settings.initial_announcements;
    const std::size_t count = std::min(wanted, ranked.size());
    std::ranges::partial_sort(ranked, ranked.begin() + static_cast<std::ptrdiff_t>(count), std::greater{});
    std::vector<link_id> links;
    links.reserve(count);
    for (std::size_t i = 0; i < count; ++i)
        links.push_back(std::get<3>(ranked[i]));
    return links;
}

} // namespace damaskhill
