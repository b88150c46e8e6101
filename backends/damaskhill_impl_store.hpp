// Clients of the platform: the key-value store and the list of VMs, over HTTP and JSON.
//
// Index of this file:
// [SECTION] Key-value store
// [SECTION] Calls of the router

#pragma once

#include "damaskhill_events.hpp"
#include "damaskhill_impl_curl.hpp"

namespace damaskhill {

//-----------------------------------------------------------------------------
// [SECTION] Key-value store
//-----------------------------------------------------------------------------

struct stored_value {
    std::string key;
    std::uint64_t version{}; // 0: the key does not exist
    std::string value;
};

struct store_result {
    failure_kind result{failure_kind::none}; // none, store_conflict, store_unreachable or store_timeout
    std::uint64_t revision{};                // watch: revision of the store that the entries reach up to
    std::vector<stored_value> values;        // read: one; swap: one without its value; watch: what changed
};

using store_handler = std::function<void(store_result&&)>;

/// Platform's key-value store: compare-and-swap on single keys, and watches on prefixes.
class store_client {
public:
    store_client(http_client& http, std::string url) : http_(http), url_(std::move(url)) {}

    void read(const std::string& key, store_handler done);
    /// Writes the value if the key's version is the expected one; 0 means that it must not exist.
    void compare_and_swap(const std::string& key, std::uint64_t expected, const std::string& value,
                          store_handler done);
    /// Waits up to `wait` for changes under the prefix after the revision.
    void watch(const std::string& prefix, std::uint64_t after, duration wait, store_handler done);
    void list_vms(std::function<void(std::optional<vm_list>&&)> done);

private:
    void call(const std::string& path, const std::string& body, duration timeout, store_handler done);
    http_client& http_;
    std::string url_;
};

//-----------------------------------------------------------------------------
// [SECTION] Calls of the router
//-----------------------------------------------------------------------------

/// Performs the router's effects on the platform and turns the results into events.
class platform_effects {
public:
    platform_effects(store_client& store, std::function<void(router_input&&)> submit)
        : store_(store), submit_(std::move(submit)) {}
    void perform(const store_read& asked);
    void perform(const store_swap& asked);
    void perform(const watch_config& asked);
    void perform(const store_facts& asked);
    void perform(const list_vms& asked);

private:
    store_client& store_;
    std::function<void(router_input&&)> submit_;
};

} // namespace damaskhill
