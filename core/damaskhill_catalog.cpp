// Index of this file:
// [SECTION] Catalog
// [SECTION] Freshness
// [SECTION] Store outages

#include "damaskhill_catalog.hpp"

#include <algorithm>

namespace damaskhill {

//-----------------------------------------------------------------------------
// [SECTION] Catalog
//-----------------------------------------------------------------------------

const route_declaration* find_route(const catalog& contents, std::string_view host, std::string_view path) {
    const auto found = contents.routes.find(host);
    if (found == contents.routes.end()) return nullptr;
    const auto matches = [&](const route_declaration& route) { return path.starts_with(route.path_prefix); };
    const auto route = std::ranges::find_if(found->second, matches);
    return route == found->second.end() ? nullptr : &*route;
}

void index_routes(catalog& contents) {
    for (auto& [host, routes] : contents.routes) {
        std::ranges::sort(routes, [](const route_declaration& a, const route_declaration& b) {
            return a.path_prefix.size() > b.path_prefix.size();
        });
    }
}

void index_services(catalog& contents) {
    for (const auto& [host, routes] : contents.routes) {
        for (const route_declaration& route : routes) {
            if (route.retry != retry_policy::streaming) continue;
            for (const weighted_service& weighted : route.services) {
                const auto service = contents.services.find(weighted.service);
                if (service == contents.services.end()) continue;
                service_declaration& declared = service->second;
                declared.min_event_gap = std::min(declared.min_event_gap, route.max_event_gap);
                declared.min_target_latency = std::min(declared.min_target_latency, route.target_latency);
            }
        }
    }
}

std::string_view choose_service(const route_declaration& route, std::uint64_t hash) {
    double sum = 0;
    for (const auto& choice : route.services)
        sum += choice.weight;
    constexpr double hash_range = 18446744073709551616.0; // 2^64
    double position = static_cast<double>(hash) / hash_range * sum;
    for (const auto& choice : route.services) {
        position -= choice.weight;
        if (position < 0) return choice.service;
    }
    return route.services.empty() ? std::string_view{} : std::string_view{route.services.back().service};
}

//-----------------------------------------------------------------------------
// [SECTION] Freshness
//-----------------------------------------------------------------------------

void confirm(catalog_freshness& freshness, time_point as_of) {
    if (!freshness.as_of || *freshness.as_of < as_of) freshness.as_of = as_of;
}

std::optional<duration> catalog_age(const catalog_freshness& freshness, time_point now) {
    if (!freshness.as_of) return std::nullopt;
    return now - *freshness.as_of;
}

namespace {

bool no_older_than(const catalog_freshness& freshness, duration limit, time_point now) {
    const auto age = catalog_age(freshness, now);
    return age && *age <= limit;
}

} // namespace

bool may_accept_key(const catalog_freshness& freshness, const freshness_settings& settings, time_point now) {
    return no_older_than(freshness, settings.max_key_age, now);
}

bool may_reject_unknown(const catalog_freshness& freshness, const freshness_settings& settings,
                        time_point now) {
    return no_older_than(freshness, settings.max_denial_age, now);
}

bool fresh_enough_for_traffic(const catalog_freshness& freshness, const freshness_settings& settings,
                              time_point now) {
    return no_older_than(freshness, settings.max_ready_age, now);
}

//-----------------------------------------------------------------------------
// [SECTION] Store outages
//-----------------------------------------------------------------------------

namespace {

bool is_store_away(const store_outage& outage, const store_outage_settings& settings, time_point now) {
    return outage.confirmed_at &&
           now - std::max(*outage.confirmed_at, outage.awake_since) >= settings.min_length;
}

} // namespace

void record_store_read(store_outage& outage, const store_outage_settings& settings, time_point as_of,
                       time_point now) {
    const bool was_away = is_store_away(outage, settings, now);
    if (!outage.confirmed_at || as_of > *outage.confirmed_at) outage.confirmed_at = as_of;
    if (was_away && !is_store_away(outage, settings, now)) outage.ended_at = now;
}

void record_store_restored(store_outage& outage, time_point now) { outage.ended_at = now; }

bool may_have_lapsed(const store_outage& outage, const store_outage_settings& settings, time_point now) {
    return is_store_away(outage, settings, now) ||
           (outage.ended_at && now - *outage.ended_at < settings.return_time);
}

} // namespace damaskhill
