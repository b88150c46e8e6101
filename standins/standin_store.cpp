// Stand-in for the platform's key-value store (compare-and-swap, leases, watches) and its list of VMs.
// POST /v1/admin/fault sets the faults: down (responds with 503), slow_ms (delay of each response) and
// lose_replies (share of writes whose reply is dropped after they took effect).
//
// Index of this file:
// [SECTION] Store
// [SECTION] Handlers
// [SECTION] Program

#include "common.hpp"

using namespace damaskhill;
using namespace damaskhill::standin;

namespace {

//-----------------------------------------------------------------------------
// [SECTION] Store
//-----------------------------------------------------------------------------

struct entry {
    std::uint64_t version{};
    std::uint64_t revision{};
    std::string value;
    std::uint64_t lease{};
};

struct lease {
    duration ttl{};
    time_point expires{};
};

struct watcher {
    std::string prefix;
    std::uint64_t after{};
    time_point until{};
    http_reply_ptr reply;
};

struct faults {
    bool down{};
    std::uint64_t slow_ms{};
    double lose_replies{};
};

struct store {
    std::map<std::string, entry> entries;
    std::map<std::uint64_t, lease> leases;
    std::vector<watcher> watchers;
    std::uint64_t revision{};
    std::uint64_t next_lease{1};
    faults fault;
    std::map<std::string, std::uint64_t> calls;
    random_source random;
    json vms = json::object({{"vms", json::array()}});
};

constexpr std::size_t max_value_bytes = 1U << 20U;

json list_values(const store& s, const std::string& prefix, std::uint64_t after) {
    json values = json::array();
    for (auto it = s.entries.lower_bound(prefix); it != s.entries.end() && it->first.starts_with(prefix);
         ++it) {
        if (it->second.revision <= after) continue;
        values.push_back({{"key", it->first}, {"version", it->second.version}, {"value", it->second.value}});
    }
    return values;
}

void answer_watchers(store& s, time_point now) {
    std::erase_if(s.watchers, [&](const watcher& w) {
        const json values = list_values(s, w.prefix, w.after);
        if (values.empty() && now < w.until) return false;
        reply_json(w.reply, 200, {{"revision", s.revision}, {"values", values}});
        return true;
    });
}

void expire_leases(store& s, time_point now) {
    for (auto it = s.leases.begin(); it != s.leases.end();) {
        if (it->second.expires > now) {
            ++it;
            continue;
        }
        std::erase_if(s.entries, [&](const auto& e) { return e.second.lease == it->first; });
        ++s.revision;
        it = s.leases.erase(it);
    }
}

//-----------------------------------------------------------------------------
// [SECTION] Handlers
//-----------------------------------------------------------------------------

void on_get(store& s, const json& body, const http_reply_ptr& reply) {
    const std::string key = body.value("key", "");
    const auto found = s.entries.find(key);
    json values = json::array();
    if (found != s.entries.end()) {
        values.push_back({{"key", key}, {"version", found->second.version}, {"value", found->second.value}});
    }
    reply_json(reply, 200, {{"revision", s.revision}, {"values", values}});
}

void on_list(store& s, const json& body, const http_reply_ptr& reply) {
    reply_json(reply, 200,
               {{"revision", s.revision}, {"values", list_values(s, body.value("prefix", ""), 0)}});
}

void on_swap(store& s, const json& body, const http_reply_ptr& reply) {
    const std::string key = body.value("key", "");
    const auto expected = body.value("expected", std::uint64_t{0});
    const std::string value = body.value("value", "");
    if (value.size() > max_value_bytes) {
        reply_json(reply, 413, {{"error", "value too large"}});
        return;
    }
    const auto found = s.entries.find(key);
    const std::uint64_t current_version = found == s.entries.end() ? 0 : found->second.version;
    if (current_version != expected) {
        json values = json::array();
        if (found != s.entries.end()) {
            values.push_back({{"key", key}, {"version", current_version}, {"value", found->second.value}});
        }
        reply_json(reply, 409, {{"revision", s.revision}, {"values", values}});
        return;
    }
    entry& e = s.entries[key];
    e = {current_version + 1, ++s.revision, value, body.value("lease", std::uint64_t{0})};
    answer_watchers(s, wall_clock());
    if (s.random.next_unit() < s.fault.lose_replies) {
        reply->abort(); // after the write has taken effect
        return;
    }
    reply_json(reply, 200,
               {{"revision", s.revision}, {"values", json::array({{{"key", key}, {"version", e.version}}})}});
}

void on_watch(store& s, const json& body, const http_reply_ptr& reply) {
    const duration wait = std::chrono::milliseconds{body.value("wait_ms", std::uint64_t{1000})};
    s.watchers.push_back(
        {body.value("prefix", ""), body.value("after", std::uint64_t{0}), wall_clock() + wait, reply});
    answer_watchers(s, wall_clock());
}

void on_lease(store& s, const std::string& target, const json& body, const http_reply_ptr& reply) {
    if (target == "/v1/lease/grant") {
        const duration ttl = std::chrono::milliseconds{body.value("ttl_ms", std::uint64_t{1000})};
        s.leases[s.next_lease] = {ttl, wall_clock() + ttl};
        reply_json(reply, 200, {{"lease", s.next_lease++}});
        return;
    }
    const auto found = s.leases.find(body.value("lease", std::uint64_t{0}));
    if (found == s.leases.end()) {
        reply_json(reply, 404, {{"error", "no such lease"}});
        return;
    }
    found->second.expires = wall_clock() + found->second.ttl;
    reply_json(reply, 200, {{"lease", found->first}});
}

void on_admin(store& s, const http_request& request, const json& body, const http_reply_ptr& reply) {
    if (request.target == "/v1/admin/fault") {
        read_member(body, "down", s.fault.down);
        read_member(body, "slow_ms", s.fault.slow_ms);
        read_member(body, "lose_replies", s.fault.lose_replies);
    }
    reply_json(reply, 200, {{"calls", s.calls}, {"revision", s.revision}, {"entries", s.entries.size()}});
}

void dispatch(store& s, const http_request& request, const http_reply_ptr& reply) {
    const json body = parse_body(request);
    if (request.target == "/v1/kv/get") {
        on_get(s, body, reply);
    } else if (request.target == "/v1/kv/list") {
        on_list(s, body, reply);
    } else if (request.target == "/v1/kv/swap") {
        on_swap(s, body, reply);
    } else if (request.target == "/v1/kv/watch") {
        on_watch(s, body, reply);
    } else if (request.target.starts_with("/v1/lease/")) {
        on_lease(s, request.target, body, reply);
    } else {
        reply_json(reply, 404, {{"error", "not found"}});
    }
}

void on_request(store& s, event_loop& loop, http_request&& request, const http_reply_ptr& reply) {
    if (request.target.starts_with("/v1/admin/")) {
        on_admin(s, request, parse_body(request), reply);
        return;
    }
    if (request.target == "/v1/vms") {
        if (request.method == "PUT") s.vms = parse_body(request);
        reply_json(reply, 200, s.vms);
        return;
    }
    ++s.calls[request.target];
    if (s.fault.down) {
        reply->send_response(503, {}, "");
        return;
    }
    const auto handle = [&s, request = std::move(request), reply] {
        try {
            dispatch(s, request, reply);
        } catch (const json::exception&) {
            reply_json(reply, 400, {{"error", "wrong type"}});
        }
    };
    if (s.fault.slow_ms > 0) {
        loop.after(std::chrono::milliseconds{s.fault.slow_ms}, handle);
    } else {
        handle();
    }
}

} // namespace

//-----------------------------------------------------------------------------
// [SECTION] Program
//-----------------------------------------------------------------------------

int main(int argc, char** argv) {
    const auto options = parse_options(argc, argv, {{"address", "127.0.0.1:7000"}, {"seed", "1"}});
    event_loop loop;
    store s;
    s.random.state = number_option(options, "seed");
    loop.every(20ms, [&] {
        expire_leases(s, wall_clock());
        answer_watchers(s, wall_clock());
    });
    return run_server(loop, options.at("address"),
                      [&](http_request&& request, const http_reply_ptr& reply) {
                          on_request(s, loop, std::move(request), reply);
                      },
                      {});
}
