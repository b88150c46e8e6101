// Simulated platform for the soak test: its store, the configuration an operator writes there, and the
// targets. The wire format of platform/ is implemented a second time here, so that an encoding error in the
// adapter is detected.
//
// Index of this file:
// [SECTION] Execution checker
// [SECTION] Store
// [SECTION] Targets

#pragma once

#include "damaskhill_impl_edge_server.hpp"
#include "damaskhill_impl_json.hpp"
#include "damaskhill_soak_proxy.hpp"

#include <map>
#include <set>

namespace damaskhill::soak {

//-----------------------------------------------------------------------------
// [SECTION] Execution checker
//-----------------------------------------------------------------------------

/// A guarantee that did not hold, and the request or process concerned.
struct violation {
    std::string guarantee;
    std::string detail;
};

/// Records the requests that callers send and targets run, and checks the routers' guarantees on them.
class execution_checker {
public:
    struct sent_request {
        std::string account;
        std::string service;
        bool idempotent{}; // may run more than once
        time_point sent_at{};
        std::uint32_t runs{};
        bool refused{}; // the caller was told that it did not run
    };

    void on_sent(const std::string& attempt, sent_request item) { requests_[attempt] = std::move(item); }
    void on_run(const std::string& attempt, std::string_view account, std::string_view service);
    /// The caller was told that the request did not run.
    void on_refused(const std::string& attempt);
    void revoke_key(const std::string& account, time_point revoked_at) { revocations_[account] = revoked_at; }
    void restore_key(const std::string& account) { revocations_.erase(account); }
    void report_violation(std::string guarantee, std::string detail);
    [[nodiscard]] const std::vector<violation>& violations() const { return violations_; }

    duration max_revocation_delay{5s}; // key_limit_ms in the routers' settings

private:
    std::unordered_map<std::string, sent_request> requests_;
    std::map<std::string, time_point, std::less<>> revocations_; // by account: when its key was revoked
    std::vector<violation> violations_;
};

//-----------------------------------------------------------------------------
// [SECTION] Store
//-----------------------------------------------------------------------------

struct store_faults {
    bool down{};                             // requests get no response
    bool returns_503{};                      // requests get 503
    duration reply_delay{};                  // before each response
    bool drop_write_replies{};               // writes take effect, but their responses are dropped
    std::optional<std::uint64_t> stated_era; // in responses, instead of the true one; 0: none
};

class platform_store {
public:
    explicit platform_store(event_loop& loop);
    [[nodiscard]] std::optional<bool> listen(const std::string& address, failure& error);

    store_faults faults;
    void put(const std::string& key, const json& value);
    void remove(const std::string& key);
    void compact_history(); // watches that start at an older revision get 410
    void save_copy();       // for restore()
    void restore();         // returns to the copy and begins a new era
    [[nodiscard]] std::optional<std::string> value_of(const std::string& key) const;
    [[nodiscard]] std::uint64_t calls() const { return calls_; }

private:
    struct item {
        std::string value;
        std::uint64_t revision{};
    };
    struct change {
        std::string key;
        std::uint64_t revision{};
        std::optional<std::string> value; // none if the key was removed
    };
    struct watcher {
        std::uint64_t exchange{};
        std::string prefix;
        std::uint64_t after_revision{};
    };
    void on_request(std::uint64_t exchange, const http_request& request);
    void on_range(std::uint64_t exchange, const std::map<std::string, std::string>& query);
    void on_watch(std::uint64_t exchange, const std::map<std::string, std::string>& query);
    void on_txn(std::uint64_t exchange, const std::string& body);
    bool reply_to_watch(const watcher& waiting, bool even_if_empty);
    void apply_change(const std::string& key, std::optional<std::string> value);
    void reply(std::uint64_t exchange, std::uint32_t status, const json& body, bool is_write = false);

    event_loop& loop_;
    edge_server server_;
    std::map<std::string, item> items_;
    std::vector<change> history_;
    std::vector<watcher> watchers_;
    std::uint64_t revision_{1};
    std::uint64_t compacted_revision_{}; // the history holds only later changes
    std::uint64_t era_{1};
    std::map<std::string, item> copied_items_;
    std::uint64_t copied_revision_{};
    std::uint64_t calls_{};
};

//-----------------------------------------------------------------------------
// [SECTION] Targets
//-----------------------------------------------------------------------------

struct target_settings {
    std::string service;
    std::string address;       // where it listens
    std::string proxy_address; // of its fault proxy, which it registers in the store
    std::string data_centre;
    std::uint32_t capacity{6};
    bool is_engine{};
};

/// A target behind a fault proxy. A crash aborts its running requests; it restarts under a new id.
class soak_target {
public:
    soak_target(event_loop& loop, platform_store& store, execution_checker& checker,
                target_settings settings);
    [[nodiscard]] std::optional<bool> listen(failure& error) {
        return server_.listen(settings_.address, error);
    }

    fault_proxy proxy;
    void start();      // registers as ready under a new id
    void drain();      // registers as draining, and keeps serving
    void deregister(); // removes the registration
    void crash();
    double error_rate{}; // share of requests that get 500

private:
    struct active_request {
        std::string attempt;
        std::uint32_t next_event{1};
        std::uint32_t last_event{1};
    };
    void on_request(std::uint64_t exchange, const http_request& request);
    void send_event(std::uint64_t exchange);
    void put_registration(const char* state);

    event_loop& loop_;
    platform_store& store_;
    execution_checker& checker_;
    target_settings settings_;
    edge_server server_;
    random_source random_;
    std::string id_;
    std::uint32_t start_count_{};
    bool up_{};
    std::map<std::uint64_t, active_request> active_requests_; // by exchange id
};

} // namespace damaskhill::soak
