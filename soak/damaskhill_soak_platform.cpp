// Index of this file:
// [SECTION] Ledger
// [SECTION] Store
// [SECTION] Targets

#include "damaskhill_soak_platform.hpp"

#include <openssl/evp.h>

namespace damaskhill::soak {

//-----------------------------------------------------------------------------
// [SECTION] Ledger
//-----------------------------------------------------------------------------

void run_ledger::violate(std::string promise, std::string what) {
    violations_.push_back({std::move(promise), std::move(what)});
}

void run_ledger::on_run(const std::string& attempt, std::string_view account, std::string_view service) {
    const auto found = requests_.find(attempt);
    if (found == requests_.end()) {
        violate("only what was asked runs", attempt + " was not asked");
        return;
    }
    asked& item = found->second;
    if (++item.runs > 1 && !item.repeatable) violate("at most once", attempt + " runs again");
    if (item.refused && !item.repeatable) violate("a refused request never runs", attempt + " runs after it");
    if (item.account != account)
        violate("the right account", attempt + " of " + item.account + " runs as " + std::string{account});
    if (item.service != service)
        violate("the right service", attempt + " for " + item.service + " runs at " + std::string{service});
    const auto revoked = revoked_.find(account);
    if (revoked != revoked_.end() && item.at > revoked->second + revoke_limit)
        violate("a key that was taken away is not used", attempt + " of " + item.account);
}

void run_ledger::on_refused(const std::string& attempt) {
    const auto found = requests_.find(attempt);
    if (found == requests_.end()) return;
    found->second.refused = true;
    if (found->second.runs > 0 && !found->second.repeatable)
        violate("a refused request never runs", attempt + " had run before");
}

//-----------------------------------------------------------------------------
// [SECTION] Store
//-----------------------------------------------------------------------------

namespace {

std::string unescaped(std::string_view text) {
    std::string out;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] == '%' && i + 2 < text.size()) {
            out.push_back(static_cast<char>(std::stoi(std::string{text.substr(i + 1, 2)}, nullptr, 16)));
            i += 2;
        } else {
            out.push_back(text[i]);
        }
    }
    return out;
}

std::map<std::string, std::string> query_of(std::string_view target) {
    std::map<std::string, std::string> query;
    const auto mark = target.find('?');
    std::string_view rest = mark == std::string_view::npos ? std::string_view{} : target.substr(mark + 1);
    while (!rest.empty()) {
        const auto end = rest.find('&');
        const std::string_view pair = rest.substr(0, end);
        const auto equals = pair.find('=');
        if (equals != std::string_view::npos)
            query[std::string{pair.substr(0, equals)}] = unescaped(pair.substr(equals + 1));
        if (end == std::string_view::npos) break;
        rest.remove_prefix(end + 1);
    }
    return query;
}

std::string base64(std::string_view bytes) {
    std::string text((bytes.size() + 2) / 3 * 4 + 1, '\0');
    text.resize(static_cast<std::size_t>(EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()),
                                                         reinterpret_cast<const unsigned char*>(bytes.data()),
                                                         static_cast<int>(bytes.size()))));
    return text;
}

std::uint64_t number_in(const std::map<std::string, std::string>& query, const char* name) {
    const auto found = query.find(name);
    return found == query.end() ? 0 : std::strtoull(found->second.c_str(), nullptr, 10);
}

std::string text_in(const std::map<std::string, std::string>& query, const char* name) {
    const auto found = query.find(name);
    return found == query.end() ? std::string{} : found->second;
}

constexpr std::size_t page_size = 20; // small, so that routers have to read several pages

} // namespace

platform_store::platform_store(event_loop& loop)
    : loop_(loop),
      server_(loop, {},
              {[this](std::uint64_t exchange, http_request&& request) { on_request(exchange, request); },
               [this](std::uint64_t exchange) {
                   std::erase_if(watchers_, [&](const watcher& w) { return w.exchange == exchange; });
               }}) {}

std::optional<bool> platform_store::listen(const std::string& address, failure& why) {
    return server_.listen(address, why);
}

void platform_store::reply(std::uint64_t exchange, std::uint32_t status, const json& body, bool is_write) {
    if (faults.down || (is_write && faults.lose_replies)) return;
    const auto send = [this, exchange, status, text = dump_json(body)] {
        server_.send_response(exchange, status, {{"Content-Type", "application/json"}}, text);
    };
    if (faults.slow > 0s) {
        loop_.after(faults.slow, send);
    } else {
        send();
    }
}

void platform_store::on_request(std::uint64_t exchange, const http_request& request) {
    ++calls_;
    if (faults.down) return;
    if (faults.refusing) {
        reply(exchange, 503, json::object());
        return;
    }
    const auto query = query_of(request.target);
    const std::string path = request.target.substr(0, request.target.find('?'));
    if (path == "/damaskhill/kv-range") {
        on_range(exchange, query);
    } else if (path == "/damaskhill/kv-watch") {
        on_watch(exchange, query);
    } else if (path == "/damaskhill/kv-txn") {
        on_txn(exchange, request.body);
    } else {
        reply(exchange, 404, json::object());
    }
}

void platform_store::on_range(std::uint64_t exchange, const std::map<std::string, std::string>& query) {
    const std::string prefix = text_in(query, "pathPrefix");
    const std::string after = text_in(query, "after");
    json list = json::array();
    bool truncated = false;
    for (const auto& [key, held] : items_) {
        if (!key.starts_with(prefix) || key <= after) continue;
        if (list.size() == page_size) {
            truncated = true;
            break;
        }
        list.push_back({{"key", key}, {"value", base64(held.value)}, {"rev", held.revision}, {"lease", 0}});
    }
    reply(exchange, 200, {{"items", list}, {"truncated", truncated}, {"currentRev", revision_}});
}

bool platform_store::answer_watch(const watcher& waiting, bool even_if_empty) {
    json events = json::array();
    for (const change& made : history_) {
        if (made.revision <= waiting.after || !made.key.starts_with(waiting.prefix)) continue;
        if (made.value) {
            events.push_back({{"key", made.key}, {"value", base64(*made.value)}, {"rev", made.revision}});
        } else {
            events.push_back({{"key", made.key}, {"rev", made.revision}, {"removed", true}});
        }
    }
    if (events.empty() && !even_if_empty) return false;
    reply(waiting.exchange, 200, {{"events", events}, {"currentRev", revision_}});
    return true;
}

void platform_store::on_watch(std::uint64_t exchange, const std::map<std::string, std::string>& query) {
    const watcher waiting{exchange, text_in(query, "pathPrefix"), number_in(query, "after")};
    if (waiting.after < forgotten_) {
        reply(exchange, 410, json::object());
        return;
    }
    if (answer_watch(waiting, false)) return;
    watchers_.push_back(waiting);
    loop_.after(number_in(query, "waitMs") * 1ms, [this, exchange] {
        const auto found = std::ranges::find(watchers_, exchange, &watcher::exchange);
        if (found == watchers_.end()) return;
        const watcher ended = *found;
        watchers_.erase(found);
        answer_watch(ended, true);
    });
}

void platform_store::on_txn(std::uint64_t exchange, const std::string& body) {
    failure why;
    const auto document = parse_json(body, "transaction", why);
    if (!document) {
        reply(exchange, 400, json::object());
        return;
    }
    for (const json& row : (*document)["expectedRev"]) {
        const auto found = items_.find(row["key"].get<std::string>());
        const std::uint64_t present = found == items_.end() ? 0 : found->second.revision;
        if (present != row["rev"].get<std::uint64_t>()) {
            reply(exchange, 412, {{"items", json::array()}}, true);
            return;
        }
    }
    for (const json& row : (*document)["setKeys"]) {
        std::string decoded(row["value"].get_ref<const std::string&>().size(), '\0');
        const auto& text = row["value"].get_ref<const std::string&>();
        const int size = EVP_DecodeBlock(reinterpret_cast<unsigned char*>(decoded.data()),
                                         reinterpret_cast<const unsigned char*>(text.data()),
                                         static_cast<int>(text.size()));
        decoded.resize(static_cast<std::size_t>(std::max(0, size)));
        while (!decoded.empty() && decoded.back() == '\0')
            decoded.pop_back(); // padding
        note(row["key"].get<std::string>(), decoded);
    }
    reply(exchange, 200, {{"rev", revision_}}, true);
}

void platform_store::note(const std::string& key, std::optional<std::string> value) {
    ++revision_;
    history_.push_back({key, revision_, value});
    if (value) {
        items_[key] = {*value, revision_};
    } else {
        items_.erase(key);
    }
    std::erase_if(watchers_, [&](const watcher& waiting) {
        return key.starts_with(waiting.prefix) && answer_watch(waiting, false);
    });
}

void platform_store::put(const std::string& key, const json& value) { note(key, dump_json(value)); }

void platform_store::remove(const std::string& key) { note(key, std::nullopt); }

void platform_store::forget_history() {
    history_.clear();
    forgotten_ = revision_;
}

std::optional<std::string> platform_store::value_of(const std::string& key) const {
    const auto found = items_.find(key);
    return found == items_.end() ? std::nullopt : std::optional{found->second.value};
}

//-----------------------------------------------------------------------------
// [SECTION] Targets
//-----------------------------------------------------------------------------

namespace {

constexpr duration event_period = 25ms;  // between two events of a stream
constexpr duration service_time = 150ms; // of a plain service's request; long enough to meet a fault
constexpr std::uint32_t queue_length = 8;

} // namespace

soak_target::soak_target(event_loop& loop, platform_store& store, run_ledger& ledger,
                         target_settings settings)
    : proxy(loop, settings.proxy_address, settings.address),
      loop_(loop),
      store_(store),
      ledger_(ledger),
      settings_(std::move(settings)),
      server_(loop, {},
              {[this](std::uint64_t exchange, http_request&& request) { on_request(exchange, request); },
               [this](std::uint64_t exchange) { runs_.erase(exchange); }}),
      random_{stable_hash(settings_.address)} {}

void soak_target::write_entry(const char* state) {
    store_.put("servers/" + id_, {{"service", settings_.service},
                                  {"address", settings_.proxy_address},
                                  {"zone", settings_.data_centre},
                                  {"version", "v1"},
                                  {"capacity", settings_.slots},
                                  {"state", state},
                                  {"coldRemainingMs", 0},
                                  {"sequence", starts_}});
}

void soak_target::join() {
    id_ = "i-" + std::to_string(stable_hash(settings_.address) % 1'000'000) + "-" + std::to_string(++starts_);
    alive_ = true;
    proxy.harm.refused = false;
    write_entry("ready");
}

void soak_target::drain() { write_entry("draining"); }

void soak_target::leave() { store_.remove("servers/" + id_); }

void soak_target::crash() {
    alive_ = false;
    leave();
    const auto running = std::move(runs_);
    runs_.clear();
    for (const auto& [exchange, ended] : running)
        server_.abort(exchange);
    proxy.harm.refused = true;
    proxy.reset_all();
}

void soak_target::on_request(std::uint64_t exchange, const http_request& request) {
    const std::string attempt{find_header(request.headers, "Damaskhill-Attempt-Id")};
    const auto refuse = [&](std::uint32_t status) {
        server_.send_response(exchange, status,
                              {{"Damaskhill-Attempt-Id", attempt}, {"Damaskhill-Not-Executed", "1"}}, {});
    };
    if (!alive_) {
        server_.abort(exchange);
        return;
    }
    if (find_header(request.headers, "Damaskhill-Expect-Replica") != id_) {
        refuse(421);
        return;
    }
    if (runs_.size() >= settings_.slots + queue_length) {
        refuse(503);
        return;
    }
    if (!find_header(request.headers, "Authorization").empty())
        ledger_.violate("keys stay with the routers", attempt + " carries its key");
    ledger_.on_run(attempt, find_header(request.headers, "Damaskhill-Tenant"), settings_.service);
    run& begun = runs_[exchange];
    begun.attempt = attempt;
    const http_headers headers{{"Damaskhill-Attempt-Id", attempt},
                               {"Damaskhill-Replica-Seal", "seal-" + attempt}};
    if (random_.next_unit() < failing) {
        server_.send_response(exchange, 500, headers, "failed");
        runs_.erase(exchange);
        return;
    }
    if (!settings_.engine) {
        loop_.after(service_time, [this, exchange, headers, attempt] {
            if (runs_.erase(exchange) > 0) server_.send_response(exchange, 200, headers, attempt + " done");
        });
        return;
    }
    const auto resumed = find_header(request.headers, "Last-Event-Id");
    begun.next = resumed.empty() ? 1 : static_cast<std::uint32_t>(std::stoul(std::string{resumed})) + 1;
    begun.last =
        static_cast<std::uint32_t>(std::stoul(std::string{find_header(request.headers, "X-Events")}));
    http_headers stream_headers = headers;
    stream_headers.emplace_back("Content-Type", "text/event-stream");
    server_.begin_response(exchange, 200, stream_headers);
    write_event(exchange);
}

void soak_target::write_event(std::uint64_t exchange) {
    const auto found = runs_.find(exchange);
    if (found == runs_.end()) return;
    run& running = found->second;
    server_.send_chunk(exchange, "id: " + std::to_string(running.next) + "\ndata: " + running.attempt + " " +
                                     std::to_string(running.next) + "/" + std::to_string(running.last) +
                                     "\n\n");
    if (running.next++ >= running.last) {
        runs_.erase(found);
        server_.end_response(exchange);
        return;
    }
    loop_.after(event_period, [this, exchange] { write_event(exchange); });
}

} // namespace damaskhill::soak
