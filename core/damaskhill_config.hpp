// Operator-declared configuration: types, revisions, merging and queries.
//
// Index of this file:
// [SECTION] Declarations
// [SECTION] Merged view

#pragma once

#include "damaskhill_fields.hpp"

#include <map>

namespace damaskhill {

//-----------------------------------------------------------------------------
// [SECTION] Declarations
//-----------------------------------------------------------------------------

/// A client account: the keys that authenticate its callers and its share of each pool.
struct account_declaration {
    std::string name;                    // "team/name"
    double share{1.0};                   // relative weight, > 0
    std::vector<std::string> key_hashes; // SHA-256 of each key, 64 lowercase hexadecimal digits
    std::uint32_t max_waiting{256};      // limit of queued requests per router
    static constexpr auto fields() {
        using t = account_declaration;
        return std::tuple{field{1, "name", &t::name}, field{2, "share", &t::share},
                          field{3, "key_hashes", &t::key_hashes}, field{4, "max_waiting", &t::max_waiting}};
    }
};

/// A non-idempotent call of a service, which must not be repeated.
struct order_route {
    std::string method; // upper case
    std::string path;   // prefix of the path below /services/<pool>/
    static constexpr auto fields() {
        using t = order_route;
        return std::tuple{field{1, "method", &t::method}, field{2, "path", &t::path}};
    }
};

/// A pool of targets that serve the same model or service.
struct pool_declaration {
    std::string name;
    target_kind kind{target_kind::model_engine};
    std::string version;                   // version that serves when no move is in progress
    std::uint32_t cold_limit{2};           // maximum concurrent requests on a cold target
    std::uint32_t warm_limit{32};          // maximum concurrent requests on a warm target
    bool checks_fencing{false};            // targets reject orders with an outdated fencing token
    std::uint32_t loads_per_minute{6};     // limit of version loads from the weight store for this pool
    std::uint32_t batch_threshold{512};    // requests with a larger max_tokens belong to the batch class
    std::vector<order_route> order_routes; // non-idempotent calls (services only)
    static constexpr auto fields() {
        using t = pool_declaration;
        return std::tuple{field{1, "name", &t::name},
                          field{2, "kind", &t::kind},
                          field{3, "version", &t::version},
                          field{4, "cold_limit", &t::cold_limit},
                          field{5, "warm_limit", &t::warm_limit},
                          field{6, "checks_fencing", &t::checks_fencing},
                          field{7, "loads_per_minute", &t::loads_per_minute},
                          field{8, "batch_threshold", &t::batch_threshold},
                          field{9, "order_routes", &t::order_routes}};
    }
};

/// A gradual move of a pool's traffic from one version to another.
struct move_declaration {
    std::string name;
    std::string pool;
    std::string from_version;
    std::string to_version;
    time_point start{};
    time_point deadline{};
    double exposure{0.02}; // share of the pool's requests on the new version before the verdict
    bool take_back{false}; // rollback ordered by operators
    static constexpr auto fields() {
        using t = move_declaration;
        return std::tuple{field{1, "name", &t::name},
                          field{2, "pool", &t::pool},
                          field{3, "from_version", &t::from_version},
                          field{4, "to_version", &t::to_version},
                          field{5, "start", &t::start},
                          field{6, "deadline", &t::deadline},
                          field{7, "exposure", &t::exposure},
                          field{8, "take_back", &t::take_back}};
    }
};

/// Whether a data centre carries traffic.
struct data_centre_declaration {
    std::string name;
    bool in_service{true};
    static constexpr auto fields() {
        using t = data_centre_declaration;
        return std::tuple{field{1, "name", &t::name}, field{2, "in_service", &t::in_service}};
    }
};

/// All declarations of one team; the unit of revisions and of compare-and-swap.
struct team_declarations {
    std::string team;
    std::uint64_t revision{}; // increases with each accepted change, including deletions
    std::vector<account_declaration> accounts;
    std::vector<pool_declaration> pools;
    std::vector<move_declaration> moves;
    std::vector<data_centre_declaration> data_centres;
    static constexpr auto fields() {
        using t = team_declarations;
        return std::tuple{field{1, "team", &t::team},         field{2, "revision", &t::revision},
                          field{3, "accounts", &t::accounts}, field{4, "pools", &t::pools},
                          field{5, "moves", &t::moves},       field{6, "data_centres", &t::data_centres}};
    }
};

/// Revision of one team's declarations in force in a process.
struct team_revision {
    std::string team;
    std::uint64_t revision{};
    friend bool operator==(const team_revision&, const team_revision&) = default;
    static constexpr auto fields() {
        using t = team_revision;
        return std::tuple{field{1, "team", &t::team}, field{2, "revision", &t::revision}};
    }
};

//-----------------------------------------------------------------------------
// [SECTION] Merged view
//-----------------------------------------------------------------------------

/// All declarations in force in one process. A lower revision of a team never replaces a higher one.
struct configuration {
    std::map<std::string, team_declarations, std::less<>> teams;
    std::map<std::string, account_id, std::less<>> accounts_by_key; // key hash to account
    std::map<account_id, account_declaration> accounts;
    std::map<std::string, pool_declaration, std::less<>> pools;
    std::map<std::string, data_centre_declaration, std::less<>> data_centres;
    std::vector<move_declaration> moves;
    // Teams that declare a pool or a move of it, and teams that declare a data centre, sorted by name.
    std::map<std::string, std::vector<std::string>, std::less<>> teams_by_pool;
    std::map<std::string, std::vector<std::string>, std::less<>> teams_by_data_centre;
    std::uint32_t name_conflicts{}; // entries not in force because another team owns the name
    std::uint32_t digest{};         // digest of all revisions; equal for equal revisions
};

/// Applies the team's declarations if their revision is higher than the one in force; otherwise returns false
/// and changes nothing.
bool apply_declarations(configuration& config, const team_declarations& declared);

/// Revisions in force, sorted by team name.
[[nodiscard]] std::vector<team_revision> revisions_of(const configuration& config);

/// Revisions of the teams whose declarations affect targets of the pool in the data centre: those that
/// declare the pool, a move of it, or the data centre. Teams that only declare accounts are not included,
/// because shares are sent in reservation rows.
[[nodiscard]] std::vector<team_revision>
relevant_revisions(const configuration& config, std::string_view pool, std::string_view data_centre);

/// Order-independent digest of revisions; 0 for an empty list. Sent in heartbeats instead of the list.
[[nodiscard]] std::uint32_t digest_of(std::span<const team_revision> revisions);

/// Account of a key, given as its hexadecimal SHA-256, or null.
[[nodiscard]] const account_declaration* find_account(const configuration& config, std::string_view key_hash);

/// Pool by name, or null.
[[nodiscard]] const pool_declaration* find_pool(const configuration& config, std::string_view name);

/// Returns whether targets of the data centre may accept new work. An undeclared data centre is in service.
[[nodiscard]] bool data_centre_in_service(const configuration& config, std::string_view name);

/// Returns whether a call of the pool's service is non-idempotent.
[[nodiscard]] bool is_order_route(const pool_declaration& pool, std::string_view method,
                                  std::string_view path);

/// Checks a team's declarations for values out of range and for names outside the team's namespace. On
/// failure returns no value and sets `error` to the first error.
[[nodiscard]] std::optional<bool> validate_declarations(const team_declarations& declared, failure& error);

} // namespace damaskhill
