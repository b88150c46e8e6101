// What a direct router knows of the deployment: routes, client accounts, targets, data centres out of
// service.
//
// Index of this file:
// [SECTION] Declarations
// [SECTION] Targets
// [SECTION] Catalog
// [SECTION] Age of belief

#pragma once

#include "damaskhill_types.hpp"

#include <map>
#include <set>

namespace damaskhill {

//-----------------------------------------------------------------------------
// [SECTION] Declarations
//-----------------------------------------------------------------------------

enum class retry_policy : std::uint8_t { idempotent, non_idempotent, streaming };

struct weighted_service {
    std::string service;
    double weight{1.0}; // relative, > 0
};

/// Where requests of one host and path prefix go.
struct route_declaration {
    std::string name;
    std::string host;
    std::string path_prefix; // begins and ends with a slash
    retry_policy retry{retry_policy::non_idempotent};
    duration timeout{30s};       // after which the caller gets a final answer
    duration target_latency{1s}; // until the first byte of a timely answer
    duration max_event_gap{1s};  // between two events of a timely stream
    std::uint32_t max_attempts{1};
    bool is_public{}; // served without a key
    bool resumable{}; // streams may go on at another target after Last-Event-Id
    std::vector<weighted_service> services;
};

/// Limits of a model engine as its operator declares them.
struct engine_declaration {
    std::uint32_t slots{};     // requests that generate at the same time
    std::uint64_t kv_tokens{}; // memory for prompts and generated tokens
};

struct service_declaration {
    std::string name;
    double cold_per_s{}; // requests a second that a cold target bears, 0: never cold
    duration cold_start{0s};
    std::optional<engine_declaration> engine;
};

struct account_keys {
    std::string name;
    std::vector<std::string> keys;
};

//-----------------------------------------------------------------------------
// [SECTION] Targets
//-----------------------------------------------------------------------------

/// One registered target.
struct target_entry {
    std::string id;
    std::string service;
    std::string address; // "IP:port"
    std::string data_centre;
    std::string version; // of its software
    std::uint32_t slots{1};
    bool draining{};
    duration cold_remaining{0s}; // at the time of the registration
    std::uint64_t revision{};    // of the entry in the store
    friend bool operator==(const target_entry&, const target_entry&) = default;
};

/// An operator's order to move a service to another version.
struct rollout_order {
    std::string service;
    std::string version;
    duration time_limit{0s};
    std::uint64_t revision{}; // of the order in the store; a new one is a new order
    friend bool operator==(const rollout_order&, const rollout_order&) = default;
};

enum class rollout_phase : std::uint8_t { running, completed, rolled_back };

struct rollout_status {
    std::string version;
    rollout_phase phase{rollout_phase::running};
    std::uint64_t revision{};
    friend bool operator==(const rollout_status&, const rollout_status&) = default;
};

//-----------------------------------------------------------------------------
// [SECTION] Catalog
//-----------------------------------------------------------------------------

/// Everything that the store says, decoded.
struct catalog {
    std::uint64_t version{};           // of the declarations, 0: none known
    std::uint64_t revision{};          // of the declarations in the store
    std::uint64_t tokens_per_second{}; // that all engines produce together, 0: not declared
    std::map<std::string, std::vector<route_declaration>, std::less<>>
        routes; // by host, longest prefix first
    std::map<std::string, service_declaration, std::less<>> services;
    std::map<std::string, std::string, std::less<>> account_by_key;
    std::map<std::string, target_entry, std::less<>> targets; // by id
    std::set<std::string, std::less<>> evacuated;             // data centres that take no new work
    std::map<std::string, rollout_order, std::less<>> rollouts;
    std::map<std::string, rollout_status, std::less<>> rollout_states;
};

/// Route of the host with the longest prefix that begins the path, or null.
[[nodiscard]] const route_declaration* find_route(const catalog& contents, std::string_view host,
                                                  std::string_view path);
/// Sorts routes for find_route; call after the routes have been filled in.
void index_routes(catalog& contents);
/// Service of a route for one request: by weight, the same one for the same hash.
[[nodiscard]] std::string_view choose_service(const route_declaration& route, std::uint64_t hash);

//-----------------------------------------------------------------------------
// [SECTION] Age of belief
//-----------------------------------------------------------------------------

struct freshness_settings {
    duration max_key_age{4900ms};    // a key may be used on a belief that is no older
    duration max_denial_age{2600ms}; // "no such key or route" may be said on a belief that is no older
    duration max_ready_age{2500ms};  // an older belief takes the router out of the balancer's rotation
};

/// Until when the catalog is known to have been complete; the time at which the store was asked, never the
/// time at which its answer came.
struct catalog_freshness {
    std::optional<time_point> as_of;
};

/// Takes a later time of completeness.
void confirm(catalog_freshness& freshness, time_point as_of);
/// Age, or no value before the first confirmation.
[[nodiscard]] std::optional<duration> catalog_age(const catalog_freshness& freshness, time_point now);
[[nodiscard]] bool may_accept_key(const catalog_freshness& freshness, const freshness_settings& settings,
                                  time_point now);
[[nodiscard]] bool may_reject_unknown(const catalog_freshness& freshness, const freshness_settings& settings,
                                      time_point now);
[[nodiscard]] bool fresh_enough_for_traffic(const catalog_freshness& freshness,
                                            const freshness_settings& settings, time_point now);

} // namespace damaskhill
