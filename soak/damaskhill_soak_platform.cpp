// Index of this file:
// [SECTION] Execution checker
// [SECTION] Store
// [SECTION] Targets

#include "damaskhill_soak_platform.hpp"

#include <openssl/evp.h>

namespace damaskhill::soak {

//-----------------------------------------------------------------------------
// [SECTION] Execution checker
//-----------------------------------------------------------------------------

void execution_checker::report_violation(std::string guarantee, std::string detail) {
    violations_.push_back({std::move(guarantee), std::move(detail)});
}

void execution_checker::on_run(const std::string& attempt, std::string_view account,
                               std::string_view service) {
    const auto found = requests_.find(attempt);
    if (found == requests_.end()) {
        report_violation("only requests of callers run", attempt + " was not sent by a caller");
        return;
    }
    sent_request& item = found->second;
    if (++item.runs > 1 && !item.idempotent)
        report_violation("at most once", attempt + " ran more than once");
    if (item.refused && !item.idempotent)
        report_violation("a refused request never runs", attempt + " ran after it was refused");
    if (item.account != account)
        report_violation("requests run under their own account",
                         attempt + " of " + item.account + " ran as " + std::string{account});
    if (item.service != service)
        report_violation("requests run at the service of their route",
                         attempt + " for " + item.service + " ran at " + std::string{service});
    const auto revocation = revocations_.find(account);
    if (revocation != revocations_.end() && item.sent_at > revocation->second + max_revocation_delay)
        report_violation("revoked keys are not accepted", attempt + " of " + item.account);
}

void execution_checker::on_refused(const std::string& attempt) {
    const auto found = requests_.find(attempt);
    if (found == requests_.end()) return;
    found->second.refused = true;
    if (found->second.runs > 0 && !found->second.idempotent)
        report_violation("a refused request never runs", attempt + " ran before it was refused");
}

//-----------------------------------------------------------------------------
// [SECTION] Store
//-----------------------------------------------------------------------------

namespace {

std::string percent_decode(std::string_view text) {
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

std::map<std::string, std::string> parse_query(std::string_view target) {
    std::map<std::string, std::string> query;
    const auto query_start = target.find('?');
    std::string_view rest =
        query_start == std::string_view::npos ? std::string_view{} : target.substr(query_start + 1);
    while (!rest.empty()) {
        const auto end = rest.find('&');
        const std::string_view pair = rest.substr(0, end);
        const auto equals = pair.find('=');
        if (equals != std::string_view::npos)
            query[std::string{pair.substr(0, equals)}] = percent_decode(pair.substr(equals + 1));
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

std::uint64_t query_number(const std::map<std::string, std::string>& query, const char* name) {
    const auto found = query.find(name);
    return found == query.end() ? 0 : std::strtoull(found->second.c_str(), nullptr, 10);
}

std::string query_text(const std::map<std::string, std::string>& query, const char* name) {
    const auto found = query.find(name);
    return found == query.end() ? std::string{} : found->second;
}

constexpr std::size_t page_size = 20; // small, so that a list spans several pages

} // namespace

platform_store::platform_store(event_loop& loop)
    : loop_(loop),
      server_(loop, {},
              {[this](std::uint64_t exchange, http_request&& request) { on_request(exchange, request); },
               [this](std::uint64_t exchange) {
                   std::erase_if(watchers_, [&](const watcher& w) { return w.exchange == exchange; });
               }}) {}

std::optional<bool> platform_store::listen(const std::string& address, failure& error) {
    return server_.listen(address, error);
}

void platform_store::reply(std::uint64_t exchange, std::uint32_t status, const json& body, bool is_write) {
    if (faults.down || (is_write && faults.drop_write_replies)) return;
    http_headers headers{{"Content-Type", "application/json"}};
    const std::uint64_t era = faults.stated_era.value_or(era_);
    if (era != 0) headers.emplace_back("Store-Era", std::to_string(era));
    const auto send = [this, exchange, status, headers, text = dump_json(body)] {
        server_.send_response(exchange, status, headers, text);
    };
    if (faults.reply_delay > 0s) {
        loop_.after(faults.reply_delay, send);
    } else {
        send();
    }
}

void platform_store::on_request(std::uint64_t exchange, const http_request& request) {
    ++calls_;
    if (faults.down) return;
    if (faults.returns_503) {
        reply(exchange, 503, json::object());
        return;
    }
    const auto query = parse_query(request.target);
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
    const std::string prefix = query_text(query, "pathPrefix");
    const std::string after = query_text(query, "after");
    json list = json::array();
    bool truncated = false;
    for (const auto& [key, entry] : items_) {
        if (!key.starts_with(prefix) || key <= after) continue;
        if (list.size() == page_size) {
            truncated = true;
            break;
        }
        list.push_back({{"key", key}, {"value", base64(entry.value)}, {"rev", entry.revision}, {"lease", 0}});
    }
    reply(exchange, 200, {{"items", list}, {"truncated", truncated}, {"currentRev", revision_}});
}

bool platform_store::reply_to_watch(const watcher& waiting, bool even_if_empty) {
    json events = json::array();
    for (const change& recorded : history_) {
        if (recorded.revision <= waiting.after_revision || !recorded.key.starts_with(waiting.prefix))
            continue;
        if (recorded.value) {
            events.push_back(
                {{"key", recorded.key}, {"value", base64(*recorded.value)}, {"rev", recorded.revision}});
        } else {
            events.push_back({{"key", recorded.key}, {"rev", recorded.revision}, {"removed", true}});
        }
    }
    if (events.empty() && !even_if_empty) return false;
    reply(waiting.exchange, 200, {{"events", events}, {"currentRev", revision_}});
    return true;
}

void platform_store::on_watch(std::uint64_t exchange, const std::map<std::string, std::string>& query) {
    const watcher waiting{exchange, query_text(query, "pathPrefix"), query_number(query, "after")};
    if (waiting.after_revision < compacted_revision_ || waiting.after_revision > revision_) {
        reply(exchange, 410, json::object());
        return;
    }
    if (reply_to_watch(waiting, false)) return;
    watchers_.push_back(waiting);
    loop_.after(query_number(query, "waitMs") * 1ms, [this, exchange] {
        const auto found = std::ranges::find(watchers_, exchange, &watcher::exchange);
        if (found == watchers_.end()) return;
        const watcher ended = *found;
        watchers_.erase(found);
        reply_to_watch(ended, true);
    });
}

void platform_store::on_txn(std::uint64_t exchange, const std::string& body) {
    failure error;
    const auto document = parse_json(body, "transaction", error);
    if (!document) {
        reply(exchange, 400, json::object());
        return;
    }
    for (const json& row : (*document)["expectedRev"]) {
        const auto found = items_.find(row["key"].get<std::string>());
        const std::uint64_t current = found == items_.end() ? 0 : found->second.revision;
        if (current != row["rev"].get<std::uint64_t>()) {
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
            decoded.pop_back(); // EVP_DecodeBlock() decodes padding to zero bytes
        apply_change(row["key"].get<std::string>(), decoded);
    }
    reply(exchange, 200, {{"rev", revision_}}, true);
}

void platform_store::apply_change(const std::string& key, std::optional<std::string> value) {
    ++revision_;
    history_.push_back({key, revision_, value});
    if (value) {
        items_[key] = {*value, revision_};
    } else {
        items_.erase(key);
    }
    std::erase_if(watchers_, [&](const watcher& waiting) {
        return key.starts_with(waiting.prefix) && reply_to_watch(waiting, false);
    });
}

void platform_store::put(const std::string& key, const json& value) { apply_change(key, dump_json(value)); }

void platform_store::remove(const std::string& key) { apply_change(key, std::nullopt); }

void platform_store::compact_history() {
    history_.clear();
    compacted_revision_ = revision_;
}

void platform_store::save_copy() {
    copied_items_ = items_;
    copied_revision_ = revision_;
}

void platform_store::restore() {
    items_ = copied_items_;
    revision_ = copied_revision_;
    ++era_;
    std::erase_if(history_, [&](const change& recorded) { return recorded.revision > revision_; });
    const std::vector<watcher> waiting = std::exchange(watchers_, {});
    for (const watcher& waiter : waiting) {
        if (waiter.after_revision > revision_) {
            reply(waiter.exchange, 410, json::object());
        } else {
            watchers_.push_back(waiter);
        }
    }
}

std::optional<std::string> platform_store::value_of(const std::string& key) const {
    const auto found = items_.find(key);
    return found == items_.end() ? std::nullopt : std::optional{found->second.value};
}

//-----------------------------------------------------------------------------
// [SECTION] Targets
//-----------------------------------------------------------------------------

namespace {

constexpr duration event_period = 25ms;     // between the events of a stream
constexpr duration service_latency = 150ms; // long enough for faults to hit running requests
constexpr std::uint32_t max_queued = 8;

} // namespace

soak_target::soak_target(event_loop& loop, platform_store& store, execution_checker& checker,
                         target_settings settings)
    : proxy(loop, settings.proxy_address, settings.address),
      loop_(loop),
      store_(store),
      checker_(checker),
      settings_(std::move(settings)),
      server_(loop, {},
              {[this](std::uint64_t exchange, http_request&& request) { on_request(exchange, request); },
               [this](std::uint64_t exchange) { active_requests_.erase(exchange); }}),
      random_{stable_hash(settings_.address)} {}

void soak_target::put_registration(const char* state) {
    store_.put("servers/" + id_, {{"service", settings_.service},
                                  {"address", settings_.proxy_address},
                                  {"zone", settings_.data_centre},
                                  {"version", "v1"},
                                  {"capacity", settings_.capacity},
                                  {"state", state},
                                  {"coldRemainingMs", 0},
                                  {"sequence", start_count_}});
}

void soak_target::start() {
    id_ = "i-" + std::to_string(stable_hash(settings_.address) % 1'000'000) + "-" +
          std::to_string(++start_count_);
    up_ = true;
    proxy.faults.reset_new_connections = false;
    put_registration("ready");
}

void soak_target::drain() { put_registration("draining"); }

void soak_target::deregister() { store_.remove("servers/" + id_); }

void soak_target::crash() {
    up_ = false;
    deregister();
    const auto running = std::move(active_requests_);
    active_requests_.clear();
    for (const auto& [exchange, ended] : running)
        server_.abort(exchange);
    proxy.faults.reset_new_connections = true;
    proxy.reset_connections();
}

void soak_target::on_request(std::uint64_t exchange, const http_request& request) {
    const std::string attempt{find_header(request.headers, "Damaskhill-Attempt-Id")};
    const auto reject = [&](std::uint32_t status) {
        server_.send_response(exchange, status,
                              {{"Damaskhill-Attempt-Id", attempt}, {"Damaskhill-Not-Executed", "1"}}, {});
    };
    if (!up_) {
        server_.abort(exchange);
        return;
    }
    if (find_header(request.headers, "Damaskhill-Expect-Replica") != id_) {
        reject(421);
        return;
    }
    if (active_requests_.size() >= settings_.capacity + max_queued) {
        reject(503);
        return;
    }
    if (!find_header(request.headers, "Authorization").empty())
        checker_.report_violation("routers do not forward API keys",
                                  attempt + " arrived with an Authorization header");
    checker_.on_run(attempt, find_header(request.headers, "Damaskhill-Tenant"), settings_.service);
    active_request& started = active_requests_[exchange];
    started.attempt = attempt;
    const http_headers headers{{"Damaskhill-Attempt-Id", attempt},
                               {"Damaskhill-Replica-Seal", "seal-" + attempt}};
    if (random_.next_unit() < error_rate) {
        server_.send_response(exchange, 500, headers, "failed");
        active_requests_.erase(exchange);
        return;
    }
    if (!settings_.is_engine) {
        loop_.after(service_latency, [this, exchange, headers, attempt] {
            if (active_requests_.erase(exchange) > 0)
                server_.send_response(exchange, 200, headers, attempt + " done");
        });
        return;
    }
    const auto resumed = find_header(request.headers, "Last-Event-Id");
    started.next_event =
        resumed.empty() ? 1 : static_cast<std::uint32_t>(std::stoul(std::string{resumed})) + 1;
    started.last_event =
        static_cast<std::uint32_t>(std::stoul(std::string{find_header(request.headers, "X-Events")}));
    http_headers stream_headers = headers;
    stream_headers.emplace_back("Content-Type", "text/event-stream");
    server_.begin_response(exchange, 200, stream_headers);
    send_event(exchange);
}

void soak_target::send_event(std::uint64_t exchange) {
    const auto found = active_requests_.find(exchange);
    if (found == active_requests_.end()) return;
    active_request& running = found->second;
    server_.send_chunk(exchange, "id: " + std::to_string(running.next_event) + "\ndata: " + running.attempt +
                                     " " + std::to_string(running.next_event) + "/" +
                                     std::to_string(running.last_event) + "\n\n");
    if (running.next_event++ >= running.last_event) {
        active_requests_.erase(found);
        server_.end_response(exchange);
        return;
    }
    loop_.after(event_period, [this, exchange] { send_event(exchange); });
}

} // namespace damaskhill::soak
