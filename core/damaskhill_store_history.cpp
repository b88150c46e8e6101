// Index of this file:
// [SECTION] Position
// [SECTION] Eras
// [SECTION] Items that a restored store lacks
// [SECTION] Order of declarations

#include "damaskhill_store_history.hpp"

#include <algorithm>
#include <optional>

namespace damaskhill {

//-----------------------------------------------------------------------------
// [SECTION] Position
//-----------------------------------------------------------------------------

std::string format_position(const store_position& position) {
    return std::to_string(position.era) + "/" + std::to_string(position.revision);
}

//-----------------------------------------------------------------------------
// [SECTION] Eras
//-----------------------------------------------------------------------------

era_relation observe_era(store_history& history, std::optional<std::uint64_t> era, time_point now) {
    const std::uint64_t seen = era.value_or(0);
    if (!history.era) {
        history.era = seen;
        history.era_seen_at = now;
        return era_relation::same;
    }
    if (seen == *history.era) return era_relation::same;
    if (seen < *history.era) return era_relation::outdated;
    history.era = seen;
    history.era_seen_at = now;
    history.ignored_declarations = {};
    return era_relation::newer;
}

bool awaits_rewriting(const store_history& history, const restore_settings& settings, time_point now) {
    return history.era_seen_at && now - *history.era_seen_at < settings.rewrite_time;
}

//-----------------------------------------------------------------------------
// [SECTION] Items that a restored store lacks
//-----------------------------------------------------------------------------

bool keeps_missing_item(const store_history& history, const restore_settings& settings, item_kind kind,
                        const store_position& held, const store_position& read, time_point now) {
    // Operators never delete declarations.
    if (kind == item_kind::declarations) return true;
    // Registrations of targets that are still up come back by themselves; the reducer waits for them.
    const bool confirmed_to_operator = kind == item_kind::evacuation || kind == item_kind::rollout_order;
    return confirmed_to_operator && held.era < read.era && awaits_rewriting(history, settings, now);
}

bool keeps_differing_item(const store_history& history, const restore_settings& settings, item_kind kind,
                          const store_position& held, const store_position& offered, time_point now) {
    // A revision that the held item does not reach was given out after the restore.
    return kind == item_kind::rollout_order && held.era < offered.era && offered.revision <= held.revision &&
           awaits_rewriting(history, settings, now);
}

//-----------------------------------------------------------------------------
// [SECTION] Order of declarations
//-----------------------------------------------------------------------------

std::optional<declarations_rank> rank_stored_declarations(store_history& history,
                                                          const restore_settings& settings,
                                                          const ranked_declarations& held,
                                                          std::uint64_t version,
                                                          const store_position& position, time_point now) {
    if (held.rank.version == 0) return declarations_rank{{}, version};
    const bool same_era = position.era == held.position.era;
    if (same_era && position <= held.position) return std::nullopt;
    if (version > held.rank.version || (version == held.rank.version && position > held.position))
        return declarations_rank{held.rank.reset, version};
    const bool written_since = history.ignored_declarations.revision != 0 &&
                               position > history.ignored_declarations &&
                               !awaits_rewriting(history, settings, now);
    if (position > held.position && (same_era || written_since)) return declarations_rank{position, version};
    if (position.era == history.era)
        history.ignored_declarations = std::max(history.ignored_declarations, position);
    return std::nullopt;
}

bool replaces_declarations(store_history& history, const ranked_declarations& held,
                           const ranked_declarations& peers) {
    if (peers.rank < held.rank || (peers.rank == held.rank && peers.position <= held.position)) return false;
    // What the store has is older than what is in force, and must not return with the next read.
    if (held.position.era == history.era)
        history.ignored_declarations = std::max(history.ignored_declarations, held.position);
    return true;
}

} // namespace damaskhill
