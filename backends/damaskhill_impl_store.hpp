// Clients of the platform's HTTP API with JSON bodies: the key-value store and the list of VMs.
//
// Index of this file:
// [SECTION] Key-value store
// [SECTION] Platform effects of the router

#pragma once

#include "damaskhill_events.hpp"
#include "damaskhill_impl_curl.hpp"

namespace damaskhill {

//-----------------------------------------------------------------------------
// [SECTION] Key-value store
//-----------------------------------------------------------------------------

struct stored_value {
    std::string key;
    std::uint64_t version{}; // 0 if the key does not exist
    std::string value;
};

struct store_result {
    failure_kind result{failure_kind::none}; // none, store_conflict, store_unreachable or store_timeout
    std::uint64_t revision{};                // watch: store revision up to which changes are included
    // read: the entry; compare_and_swap: the entry without its value; watch: changed entries.
    std::vector<stored_value> values;
};

using store_handler = std::function<void(store_result&&)>;

/// Client of the key-value store: compare-and-swap on single keys, and watches on key prefixes.
class store_client {
public:
    store_client(http_client& http, std::string url) : http_(http), url_(std::move(url)) {}

    void read(const std::string& key, store_handler done);
    /// Writes the value if the key has the expected version; 0 means that the key must not exist.
    void compare_and_swap(const std::string& key, std::uint64_t expected, const std::string& value,
                          store_handler done);
    /// Waits up to `wait` for changes to keys with this prefix after the given store revision.
    void watch(const std::string& prefix, std::uint64_t after, duration wait, store_handler done);
    void list_vms(std::function<void(std::optional<vm_list>&&)> done);

private:
    void call(const std::string& path, const std::string& body, duration timeout, store_handler done);
    http_client& http_;
    std::string url_;
};

//-----------------------------------------------------------------------------
// [SECTION] Platform effects of the router
//-----------------------------------------------------------------------------

/// Performs the router's effects that call the platform, and submits the results as events.
class platform_effects {
public:
    platform_effects(store_client& store, std::function<void(router_input&&)> submit)
        : store_(store), submit_(std::move(submit)) {}
    void perform(const store_read& request);
    void perform(const store_swap& request);
    void perform(const watch_config& request);
    void perform(const store_facts& request);
    void perform(const list_vms& request);

private:
    store_client& store_;
    std::function<void(router_input&&)> submit_;
};

} // namespace damaskhill
