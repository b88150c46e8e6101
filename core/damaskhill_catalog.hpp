// Catalog of the deployment as a direct router knows it: routes, client accounts, targets, evacuated data
// centres.
//
// Index of this file:
// [SECTION] Declarations
// [SECTION] Targets
// [SECTION] Catalog
// [SECTION] Freshness
// [SECTION] Store outages

#pragma once

#include "damaskhill_store_history.hpp"

#include <map>
#include <set>

namespace damaskhill {

//-----------------------------------------------------------------------------
// [SECTION] Declarations
//-----------------------------------------------------------------------------

/// Whether a request may be retried although a target may have executed it: always if it is idempotent, never
/// if it is non-idempotent, and for a stream only if its route is resumable.
enum class retry_policy : std::uint8_t { idempotent, non_idempotent, streaming };

struct weighted_service {
    std::string service;
    double weight{1.0}; // relative, > 0
};

/// Routing of the requests of one host and path prefix.
struct route_declaration {
    std::string name;
    std::string host;
    std::string path_prefix; // begins and ends with a slash
    retry_policy retry{retry_policy::non_idempotent};
    duration timeout{30s};       // until the final response
    duration target_latency{1s}; // until the first byte of the response
    duration max_event_gap{1s};  // between two events of a stream
    std::uint32_t max_attempts{1};
    bool is_public{}; // needs no API key
    bool resumable{}; // streams can resume at another target with Last-Event-Id
    std::vector<weighted_service> services;
};

/// Limits of a model engine as its operator declares them.
struct engine_declaration {
    std::uint32_t slots{};     // concurrent generations
    std::uint64_t kv_tokens{}; // KV cache for prompts and generated tokens
};

/// Limits within which the number of a service's targets may be ordered.
struct autoscaling_declaration {
    std::uint32_t min_targets{}; // in each data centre
    std::uint32_t max_targets{}; // in each data centre
    duration boot_time{0s};      // from an order until new targets serve
    friend bool operator==(const autoscaling_declaration&, const autoscaling_declaration&) = default;
};

struct service_declaration {
    std::string name;
    double cold_per_s{};     // request rate that a cold target can handle; 0: targets are never cold
    duration cold_start{0s}; // time for which a target is cold after its start
    std::optional<engine_declaration> engine;           // none: a plain service
    std::optional<autoscaling_declaration> autoscaling; // none: the number of targets is not ordered
    // Shortest of the streaming routes to the service.
    duration min_event_gap{duration::max()};
    duration min_target_latency{duration::max()};
};

enum class key_requirement : std::uint8_t {
    unknown, // the declarations cannot be read in this respect
    none,    // the declarations have no client accounts
    required // also if no account holds a key
};

/// Who may use the routes that are not public. By default nobody.
struct client_accounts {
    key_requirement keys{key_requirement::unknown};
    std::map<std::string, std::string, std::less<>> account_by_key; // neither is empty
    friend bool operator==(const client_accounts&, const client_accounts&) = default;
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
    std::string version; // software version
    std::uint32_t slots{1};
    bool draining{};
    duration cold_remaining{0s}; // rest of the cold start at registration
    std::uint64_t boot{};        // start of the process, in Unix milliseconds as it states them; 0: unknown
    store_position position;     // of the entry in the store
    friend bool operator==(const target_entry&, const target_entry&) = default;
};

/// An operator's order to roll a service out to another version.
struct rollout_order {
    std::string service;
    std::string version;
    duration time_limit{0s};
    store_position position; // of the order in the store; identifies it
    friend bool operator==(const rollout_order&, const rollout_order&) = default;
};

enum class rollout_phase : std::uint8_t { running, completed, rolled_back };

struct rollout_status {
    std::string version;
    rollout_phase phase{rollout_phase::running};
    store_position position;
    friend bool operator==(const rollout_status&, const rollout_status&) = default;
};

//-----------------------------------------------------------------------------
// [SECTION] Catalog
//-----------------------------------------------------------------------------

/// Decoded contents of the store.
struct catalog {
    std::uint64_t version{};           // of the declarations; 0: none known
    ranked_declarations declarations;  // rank and position of the declarations in the store
    std::uint64_t tokens_per_second{}; // total throughput of all engines; 0: not declared
    // By host, longest path prefix first.
    std::map<std::string, std::vector<route_declaration>, std::less<>> routes;
    std::map<std::string, service_declaration, std::less<>> services;
    std::vector<failure> ignored; // members of the declarations that were out of range or of another type
    client_accounts accounts;
    std::map<std::string, target_entry, std::less<>> targets;   // by id
    std::set<std::string, std::less<>> evacuated;               // data centres that take no new requests
    std::map<std::string, rollout_order, std::less<>> rollouts; // by service
    std::map<std::string, rollout_status, std::less<>> rollout_states; // by service
};

/// Route of the host with the longest matching path prefix, or null.
[[nodiscard]] const route_declaration* find_route(const catalog& contents, std::string_view host,
                                                  std::string_view path);
/// Sorts the routes for find_route; call after all routes have been added.
void index_routes(catalog& contents);
/// Sets what the services' declarations derive from the routes; call after all routes and services have been
/// added.
void index_services(catalog& contents);
/// Weighted choice of a route's service; the same hash gives the same service.
[[nodiscard]] std::string_view choose_service(const route_declaration& route, std::uint64_t hash);

//-----------------------------------------------------------------------------
// [SECTION] Freshness
//-----------------------------------------------------------------------------

struct freshness_settings {
    // Oldest catalog by which API keys are accepted: a key may have been revoked since.
    duration max_key_age{4900ms};
    // Oldest catalog by which an unknown key or route is rejected with 401 or 404. With an older one the
    // reply is 503, because newer declarations may have added it.
    duration max_denial_age{2600ms};
    // Oldest catalog with which the router reports itself as ready to the load balancer.
    duration max_ready_age{2500ms};
    // Oldest list of targets: a target that has left must get no requests soon after.
    duration max_targets_age{1600ms};
};

/// Latest time at which the catalog is confirmed to have been complete: the time at which the store was
/// asked, not the time at which its response arrived.
struct catalog_freshness {
    std::optional<time_point> as_of;
};

/// Advances the confirmed time; an earlier one changes nothing.
void confirm(catalog_freshness& freshness, time_point as_of);
/// Age of the catalog; no value before the first confirmation.
[[nodiscard]] std::optional<duration> catalog_age(const catalog_freshness& freshness, time_point now);
[[nodiscard]] bool may_accept_key(const catalog_freshness& freshness, const freshness_settings& settings,
                                  time_point now);
[[nodiscard]] bool may_reject_unknown(const catalog_freshness& freshness, const freshness_settings& settings,
                                      time_point now);
[[nodiscard]] bool fresh_enough_for_traffic(const catalog_freshness& freshness,
                                            const freshness_settings& settings, time_point now);

//-----------------------------------------------------------------------------
// [SECTION] Store outages
//-----------------------------------------------------------------------------

struct store_outage_settings {
    // Shortest outage during which registrations may lapse.
    duration min_length{2400ms};
    // Lapsed registrations of live targets are back this long after the end of the outage.
    duration return_time{2s};
};

/// Whether registrations may have lapsed because the targets could not renew them. An outage is a time during
/// which no router could read the store; neither the start of a process nor the loss of one path is one.
struct store_outage {
    std::optional<time_point> confirmed_at; // latest time at which any router is known to have read the store
    time_point awake_since{};               // end of the latest suspension of this process
    std::optional<time_point> ended_at;     // of the latest outage
};

/// Records that the store has come back from a copy: it may lack registrations of live targets.
void record_store_restored(store_outage& outage, time_point now);
/// Records that a router has read the store at this time.
void record_store_read(store_outage& outage, const store_outage_settings& settings, time_point as_of,
                       time_point now);
/// Whether a registration that is missing at `now` may have lapsed during an outage.
[[nodiscard]] bool may_have_lapsed(const store_outage& outage, const store_outage_settings& settings,
                                   time_point now);

} // namespace damaskhill
