// Stand-in of the users' platform: its store, what the operator writes there, and the targets. It speaks the
// wire names of platform/, independently of the code there, so that a fault in the adapter shows.
//
// Index of this file:
// [SECTION] Ledger
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
// [SECTION] Ledger
//-----------------------------------------------------------------------------

/// A broken promise.
struct violation {
    std::string promise;
    std::string what;
};

/// What callers have asked and targets have run, and the promises on these.
class run_ledger {
public:
    struct asked {
        std::string account;
        std::string service;
        bool repeatable{}; // may run more than once
        time_point at{};
        std::uint32_t runs{};
        bool refused{}; // the caller was told that it has not run
    };

    void on_asked(const std::string& attempt, asked item) { requests_[attempt] = std::move(item); }
    void on_run(const std::string& attempt, std::string_view account, std::string_view service);
    /// The caller was told that the request has not run.
    void on_refused(const std::string& attempt);
    void revoke(const std::string& account, time_point at) { revoked_[account] = at; }
    void restore(const std::string& account) { revoked_.erase(account); }
    void violate(std::string promise, std::string what);
    [[nodiscard]] const std::vector<violation>& violations() const { return violations_; }

    duration revoke_limit{5s}; // as in the routers' settings

private:
    std::unordered_map<std::string, asked> requests_;
    std::map<std::string, time_point, std::less<>> revoked_; // accounts whose key was taken away
    std::vector<violation> violations_;
};

//-----------------------------------------------------------------------------
// [SECTION] Store
//-----------------------------------------------------------------------------

struct store_faults {
    bool down{};         // calls get no answer
    bool refusing{};     // calls get 503
    duration slow{};     // before each answer
    bool lose_replies{}; // writes take effect, their answers are lost
};

class platform_store {
public:
    explicit platform_store(event_loop& loop);
    [[nodiscard]] std::optional<bool> listen(const std::string& address, failure& why);

    store_faults faults;
    void put(const std::string& key, const json& value);
    void remove(const std::string& key);
    void forget_history(); // watches from before now get 410
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
        std::optional<std::string> value; // none: removed
    };
    struct watcher {
        std::uint64_t exchange{};
        std::string prefix;
        std::uint64_t after{};
    };
    void on_request(std::uint64_t exchange, const http_request& request);
    void on_range(std::uint64_t exchange, const std::map<std::string, std::string>& query);
    void on_watch(std::uint64_t exchange, const std::map<std::string, std::string>& query);
    void on_txn(std::uint64_t exchange, const std::string& body);
    bool answer_watch(const watcher& waiting, bool even_if_empty);
    void note(const std::string& key, std::optional<std::string> value);
    void reply(std::uint64_t exchange, std::uint32_t status, const json& body, bool is_write = false);

    event_loop& loop_;
    edge_server server_;
    std::map<std::string, item> items_;
    std::vector<change> history_;
    std::vector<watcher> watchers_;
    std::uint64_t revision_{1};
    std::uint64_t forgotten_{}; // changes up to here are no longer in the history
    std::uint64_t calls_{};
};

//-----------------------------------------------------------------------------
// [SECTION] Targets
//-----------------------------------------------------------------------------

struct target_settings {
    std::string service;
    std::string address;       // at which it listens
    std::string proxy_address; // that it registers
    std::string data_centre;
    std::uint32_t slots{6};
    bool engine{};
};

/// A target behind its proxy. A crash ends what runs, and it comes back under another id.
class soak_target {
public:
    soak_target(event_loop& loop, platform_store& store, run_ledger& ledger, target_settings settings);
    [[nodiscard]] std::optional<bool> listen(failure& why) { return server_.listen(settings_.address, why); }

    fault_proxy proxy;
    void join();  // registers under a new id
    void drain(); // says that it leaves; it goes on serving
    void leave(); // removes the registration
    void crash();
    double failing{}; // part of the requests that get 500

private:
    struct run {
        std::string attempt;
        std::uint32_t next{1};
        std::uint32_t last{1};
    };
    void on_request(std::uint64_t exchange, const http_request& request);
    void write_event(std::uint64_t exchange);
    void write_entry(const char* state);

    event_loop& loop_;
    platform_store& store_;
    run_ledger& ledger_;
    target_settings settings_;
    edge_server server_;
    random_source random_;
    std::string id_;
    std::uint32_t starts_{};
    bool alive_{};
    std::map<std::uint64_t, run> runs_; // by exchange
};

} // namespace damaskhill::soak
