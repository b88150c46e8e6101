// Direct router on virtual time, with a catalog of one engine service and one plain service.
//
// Index of this file:
// [SECTION] Catalog
// [SECTION] Router

#pragma once

#include "damaskhill_direct.hpp"

#include <algorithm>

namespace damaskhill::direct {

//-----------------------------------------------------------------------------
// [SECTION] Catalog
//-----------------------------------------------------------------------------

inline route_declaration make_route(const std::string& name, retry_policy retry, const std::string& service) {
    route_declaration route;
    route.name = name;
    route.host = "h.example";
    route.path_prefix = "/" + name + "/";
    route.retry = retry;
    route.timeout = 10s;
    route.target_latency = 500ms;
    route.max_attempts = 2;
    route.services = {{service, 1.0}};
    return route;
}

inline target_entry make_target(const std::string& id, const std::string& service, std::uint32_t slots) {
    target_entry entry;
    entry.id = id;
    entry.service = service;
    entry.address = "127.0.0.1:1000";
    entry.data_centre = "dc-a";
    entry.version = "v1";
    entry.slots = slots;
    entry.position = {0, 1};
    return entry;
}

inline catalog make_catalog() {
    catalog contents;
    contents.version = 1;
    contents.declarations = {{{}, 1}, {0, 1}};
    route_declaration chat = make_route("chat", retry_policy::streaming, "lm");
    chat.resumable = true;
    contents.routes["h.example"] = {chat, make_route("review", retry_policy::streaming, "lm"),
                                    make_route("order", retry_policy::non_idempotent, "app"),
                                    make_route("stock", retry_policy::idempotent, "app")};
    index_routes(contents);
    service_declaration engines;
    engines.name = "lm";
    engines.cold_per_s = 10;
    engines.cold_start = 3s;
    engines.engine = engine_declaration{64, 500'000};
    contents.services["lm"] = engines;
    contents.services["app"] = service_declaration{"app"};
    contents.accounts = {key_requirement::required, {{"key-1", "team-1"}}};
    for (const char* id : {"e-1", "e-2"})
        contents.targets[id] = make_target(id, "lm", 64);
    for (const char* id : {"a-1", "a-2"})
        contents.targets[id] = make_target(id, "app", 6);
    return contents;
}

//-----------------------------------------------------------------------------
// [SECTION] Router
//-----------------------------------------------------------------------------

struct test_router {
    router_state state;
    effects out;
    time_point now{1000s};
    caller_id next_caller{1};
    store_position position{0, 1}; // of the latest change of the store

    explicit test_router(const std::string& address = "127.0.0.1:7001",
                         const std::string& data_centre = "dc-a")
        : state(make_settings(address, data_centre)) {
        publish(make_catalog());
        confirm_now();
        out.clear();
    }

    static router_settings make_settings(const std::string& address, const std::string& data_centre) {
        router_settings settings;
        settings.report_address = address;
        settings.data_centre = data_centre;
        settings.incarnation = stable_hash(address);
        return settings;
    }
    void process(const input& event) { reduce(state, now, event, out); }
    void publish(catalog contents) {
        ++position.revision;
        process(
            catalog_updated{std::make_shared<catalog>(std::move(contents)), position, position, position});
    }
    void confirm_now() {
        process(catalog_confirmed{now});
        process(targets_confirmed{now});
    }
    /// Advances time in steps of 20 ms and fires the timer after each step.
    void advance_time(duration time) {
        for (const time_point end = now + time; now < end;) {
            now += 20ms;
            process(timer_fired{});
        }
    }
    /// A new request without a body, a time limit and a prompt.
    request_arrived request_for(const std::string& path, const std::string& key = "key-1") {
        request_arrived request;
        request.caller = next_caller++;
        request.attempt = "attempt-" + std::to_string(request.caller);
        request.method = "POST";
        request.host = "h.example";
        request.path = "/" + path;
        request.api_key = key;
        return request;
    }
    caller_id submit_request(const std::string& route, const std::string& key = "key-1") {
        request_arrived request = request_for(route + "/x", key);
        request.body = "body-" + std::to_string(request.caller);
        request.remaining = 8s;
        if (route == "chat" || route == "review")
            request.prompt = {800, 100, 0, {{1, 400, 1}, {request.caller + 10, 400, request.caller + 10}}};
        process(request);
        return request.caller;
    }
    response_head head(std::uint64_t send, std::uint32_t status = 200) {
        response_head event;
        event.send_id = send;
        event.status = status;
        event.headers = {{"X", std::to_string(send)}};
        event.has_seal = true;
        return event;
    }
    template <class T>
    [[nodiscard]] bool has() const {
        return std::ranges::any_of(out, [](const auto& item) { return std::holds_alternative<T>(item); });
    }
    /// Returns the effects of type T. Discards all effects, also those of other types.
    template <class T>
    std::vector<T> take() {
        std::vector<T> found;
        for (const effect& item : out) {
            if (const T* match = std::get_if<T>(&item)) found.push_back(*match);
        }
        out.clear();
        return found;
    }
    /// Returns the last effect of type T. Discards all effects, also those of other types.
    template <class T>
    std::optional<T> last() {
        auto found = take<T>();
        return found.empty() ? std::nullopt : std::optional<T>{found.back()};
    }
};

/// Whether any of many orders is sent to this target. Discards all effects.
inline bool uses_target(test_router& router, std::string_view id) {
    constexpr int orders = 12;
    router.out.clear();
    for (int i = 0; i < orders; ++i)
        router.submit_request("order");
    return std::ranges::any_of(router.take<send_request>(),
                               [&](const send_request& sent) { return sent.target == id; });
}

} // namespace damaskhill::direct
