// History of a key-value store that may be restored from an older copy: positions in it, and what stays in
// force of the items that a copy lacks or holds in an older form.
//
// After a restore, operators and targets write again what the store has lost. Until then the store's contents
// are older than what has been confirmed to the operators.
//
// Index of this file:
// [SECTION] Position
// [SECTION] Eras
// [SECTION] Items that a restored store lacks
// [SECTION] Order of declarations

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
    constexpr store_position() = default;
    constexpr store_position(std::uint64_t e, std::uint64_t r) : era(e), revision(r) {}
    friend auto operator<=>(const store_position&, const store_position&) = default;
    static constexpr auto fields() {
        return std::tuple{field{1, "era", &store_position::era},
                          field{2, "revision", &store_position::revision}};
    }
};

/// Formats a position for the log, as "era/revision".
[[nodiscard]] std::string format_position(const store_position& position);

//-----------------------------------------------------------------------------
// [SECTION] Eras
//-----------------------------------------------------------------------------

struct restore_settings {
    // Operators and targets have written again what the store has lost this long after its return: three
    // check-in intervals, after which stale registrations have lapsed, and the time until targets are back.
    duration rewrite_time{5600ms};
};

/// What a router knows of the store's eras.
struct store_history {
    std::optional<std::uint64_t> era;      // highest one seen
    std::optional<time_point> era_seen_at; // first sight of that era
    // Declarations of that era that were older than those in force when they were read; revision 0: none.
    store_position ignored_declarations;
};

enum class era_relation : std::uint8_t { same, newer, outdated };

/// Classifies the era of an answer and adopts it if it is newer. An answer without an era is outdated once
/// one is known: an answer of the era before may arrive late.
era_relation observe_era(store_history& history, std::optional<std::uint64_t> era, time_point now);
/// Whether items that the store has lost may still be written again.
[[nodiscard]] bool awaits_rewriting(const store_history& history, const restore_settings& settings,
                                    time_point now);

//-----------------------------------------------------------------------------
// [SECTION] Items that a restored store lacks
//-----------------------------------------------------------------------------

enum class item_kind : std::uint8_t { declarations, evacuation, rollout_order, registration, rollout_status };

/// Whether an item stays in force although a read of the store at `read` does not have it.
[[nodiscard]] bool keeps_missing_item(const store_history& history, const restore_settings& settings,
                                      item_kind kind, const store_position& held, const store_position& read,
                                      time_point now);
/// Whether an item stays in force although a read of the store has another value of it.
[[nodiscard]] bool keeps_differing_item(const store_history& history, const restore_settings& settings,
                                        item_kind kind, const store_position& held,
                                        const store_position& offered, time_point now);

//-----------------------------------------------------------------------------
// [SECTION] Order of declarations
//-----------------------------------------------------------------------------

/// Order of declarations over all eras. Operators raise the version with each change; `reset` is the position
/// of the latest write with a lower version than the one before.
struct declarations_rank {
    store_position reset;
    std::uint64_t version{}; // 0: no declarations
    friend auto operator<=>(const declarations_rank&, const declarations_rank&) = default;
    static constexpr auto fields() {
        return std::tuple{field{1, "reset", &declarations_rank::reset},
                          field{2, "version", &declarations_rank::version}};
    }
};

struct ranked_declarations {
    declarations_rank rank;
    store_position position; // of the write
};

/// Rank of declarations that the store has at a position, or nothing if those in force stay. A copy's older
/// declarations stay out; a lower version that an operator has written since replaces those in force.
[[nodiscard]] std::optional<declarations_rank>
rank_stored_declarations(store_history& history, const restore_settings& settings,
                         const ranked_declarations& held, std::uint64_t version,
                         const store_position& position, time_point now);
/// Whether the declarations that a peer has in force replace those in force here.
[[nodiscard]] bool replaces_declarations(store_history& history, const ranked_declarations& held,
                                         const ranked_declarations& peers);

} // namespace damaskhill
