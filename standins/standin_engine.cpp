// Stand-in for a model engine: continuous batching with limited capacity, cold start, a prefix cache that
// loses some of its events, streams that can be resumed and cancelled, a delayed load report, version
// loading, and fencing tokens that it checks or ignores. The generated text depends on the prompt alone, so
// that tests can verify it. A prompt that contains CRASH simulates a crash: open streams are aborted and the
// engine restarts cold.
//
// Index of this file:
// [SECTION] Engine
// [SECTION] Generation
// [SECTION] Handlers
// [SECTION] Program

#include "common.hpp"

#include <list>

using namespace damaskhill;
using namespace damaskhill::standin;

namespace {

//-----------------------------------------------------------------------------
// [SECTION] Engine
//-----------------------------------------------------------------------------

struct settings {
    std::uint64_t capacity{16};  // streams that run at full speed
    std::uint64_t cold_limit{2}; // capacity while cold, when all streams are also slower
    duration warmup_time{500ms}; // from a start, load or crash until the engine is warm
    duration token_time{4ms};    // per token of a stream when warm and not overloaded
    duration load_time{300ms};   // to load a version from the weight store
    bool checks_fencing{true};
};

struct faults {
    double fail_rate{};           // share of requests answered with 500
    std::uint64_t slow_factor{1}; // multiplies token_time
    bool silent{};                // accepts requests and never sends a byte
};

struct stream {
    http_reply_ptr reply;
    std::uint64_t connection{};
    bool chat{};
    std::string prompt;
    std::uint64_t next_token{};
    std::uint64_t tokens{};
    std::uint64_t skip_bytes{}; // still to be skipped in a resumed stream
    double progress{};          // towards the next token, 0 to 1
};

struct engine {
    settings config;
    std::map<std::string, faults> faults_by_version;
    std::string version;
    std::uint64_t boot{1};
    std::uint64_t fencing_token{};
    time_point warm_at{};
    time_point ready_at{};
    std::list<stream> streams;
    std::set<std::uint64_t> cached_prefixes;
    std::vector<json> cache_events;
    std::uint64_t reported_running{}; // updated periodically, so it lags behind streams.size()
    std::uint64_t requests{};
    std::map<std::string, std::uint64_t> requests_by_version;
    std::uint64_t cold_overloads{}; // requests that arrived at or above cold_limit while cold
    std::uint64_t crashes{};
    std::uint64_t rejected_loads{};
    random_source random;
};

faults& current_faults(engine& e) { return e.faults_by_version[e.version]; }

std::string token_text(const std::string& prompt, std::uint64_t index) {
    return "w" + std::to_string(stable_hash(prompt, index + 1) % 1000) + " ";
}

void crash(engine& e) {
    ++e.crashes;
    ++e.boot;
    for (stream& s : e.streams)
        s.reply->abort();
    e.streams.clear();
    e.cached_prefixes.clear();
    e.warm_at = wall_clock() + e.config.warmup_time;
}

//-----------------------------------------------------------------------------
// [SECTION] Generation
//-----------------------------------------------------------------------------

std::string encode_event(const stream& s, const std::string& text) {
    json choice{{"index", 0}};
    if (s.chat) {
        choice["delta"] = {{"content", text}};
    } else {
        choice["text"] = text;
    }
    return "data: " + dump_json(json{{"choices", json::array({choice})}}) + "\n\n";
}

void emit_token(stream& s) {
    std::string text = token_text(s.prompt, s.next_token++);
    const std::size_t skipped = std::min<std::size_t>(s.skip_bytes, text.size());
    s.skip_bytes -= skipped;
    text.erase(0, skipped);
    if (!text.empty()) s.reply->send_chunk(encode_event(s, text));
}

// Advances every stream of the batch, more slowly while the engine is cold or over capacity.
void advance_batch(engine& e, duration elapsed) {
    const bool cold = wall_clock() < e.warm_at;
    const double capacity = static_cast<double>(cold ? e.config.cold_limit : e.config.capacity);
    const double load = std::max(1.0, static_cast<double>(e.streams.size()) / capacity);
    const double slowdown = (cold ? 3.0 : 1.0) * load * static_cast<double>(current_faults(e).slow_factor);
    const double tokens_generated = to_seconds(elapsed) / (to_seconds(e.config.token_time) * slowdown);
    for (auto it = e.streams.begin(); it != e.streams.end();) {
        stream& s = *it;
        // Text that the caller of a resumed stream already has takes no time, as if its KV cache were
        // imported.
        while (s.skip_bytes > 0 && s.next_token < s.tokens)
            emit_token(s);
        for (s.progress += tokens_generated; s.progress >= 1.0 && s.next_token < s.tokens; s.progress -= 1.0)
            emit_token(s);
        if (s.next_token < s.tokens) {
            ++it;
            continue;
        }
        s.reply->send_chunk("data: [DONE]\n\n");
        s.reply->end_response();
        it = e.streams.erase(it);
    }
}

//-----------------------------------------------------------------------------
// [SECTION] Handlers
//-----------------------------------------------------------------------------

std::string prompt_text(const json& body) {
    if (body.contains("prompt") && body["prompt"].is_string()) return body["prompt"].get<std::string>();
    std::string text;
    for (const json& message : body.value("messages", json::array()))
        text += message.value("content", "");
    return text;
}

void cache_prefix(engine& e, const std::string& prompt) {
    constexpr std::size_t hashed_prefix_bytes = 256;
    constexpr std::size_t max_cached_prefixes = 64;
    const std::uint64_t hash = stable_hash(std::string_view{prompt}.substr(0, hashed_prefix_bytes));
    if (!e.cached_prefixes.insert(hash).second) return;
    if (e.random.next_unit() > 0.1) e.cache_events.push_back({{"prefix_hash", hash}, {"stored", true}});
    if (e.cached_prefixes.size() <= max_cached_prefixes) return;
    e.cache_events.push_back({{"prefix_hash", *e.cached_prefixes.begin()}, {"stored", false}});
    e.cached_prefixes.erase(e.cached_prefixes.begin());
}

void on_generate(engine& e, http_request&& request, const http_reply_ptr& reply) {
    const json body = parse_body(request);
    const std::string prompt = prompt_text(body);
    ++e.requests;
    ++e.requests_by_version[e.version];
    const bool cold = wall_clock() < e.warm_at;
    if (cold && e.streams.size() >= e.config.cold_limit) ++e.cold_overloads;
    if (prompt.find("CRASH") != std::string::npos) {
        crash(e);
        reply->abort();
        return;
    }
    if (current_faults(e).silent) {
        e.streams.push_back({reply, request.connection, false, prompt, 0, 1U << 30U, 0, -1e9});
        return;
    }
    if (e.random.next_unit() < current_faults(e).fail_rate) {
        reply_json(reply, 500, {{"error", "internal"}});
        return;
    }
    cache_prefix(e, prompt);
    stream s;
    s.reply = reply;
    s.connection = request.connection;
    s.chat = request.target == "/v1/chat/completions";
    s.prompt = prompt;
    s.tokens = body.value("max_tokens", std::uint64_t{128});
    s.skip_bytes =
        std::strtoull(std::string{find_header(request.headers, "X-Resume-Offset")}.c_str(), nullptr, 10);
    reply->begin_response(200, {{"Content-Type", "text/event-stream"}});
    e.streams.push_back(std::move(s));
}

void on_load(engine& e, const json& body, const http_reply_ptr& reply) {
    const auto fencing_token = body.value("fence", std::uint64_t{0});
    if (e.config.checks_fencing && fencing_token < e.fencing_token) {
        ++e.rejected_loads;
        reply_json(reply, 409, {{"error", "old fencing number"}});
        return;
    }
    e.fencing_token = std::max(e.fencing_token, fencing_token);
    e.version = body.value("version", e.version);
    e.ready_at = wall_clock() + e.config.load_time;
    e.warm_at = e.ready_at + e.config.warmup_time;
    reply_json(reply, 200, {{"version", e.version}});
}

void on_fault(engine& e, const json& body, const http_reply_ptr& reply) {
    faults& fault = e.faults_by_version[body.value("version", e.version)];
    read_member(body, "fail_rate", fault.fail_rate);
    read_member(body, "slow_factor", fault.slow_factor);
    read_member(body, "silent", fault.silent);
    if (body.value("cold", false)) e.warm_at = wall_clock() + e.config.warmup_time;
    reply_json(reply, 200, json::object());
}

json encode_status(const engine& e) {
    return {{"ready", wall_clock() >= e.ready_at},
            {"version", e.version},
            {"running", e.reported_running},
            {"boot", e.boot}};
}

json encode_stats(const engine& e) {
    return {{"requests", e.requests},      {"requests_by_version", e.requests_by_version},
            {"running", e.streams.size()}, {"cold_overloads", e.cold_overloads},
            {"crashes", e.crashes},        {"refused_orders", e.rejected_loads}};
}

void on_request(engine& e, http_request&& request, const http_reply_ptr& reply) {
    const std::string target = request.target;
    if (target == "/v1/completions" || target == "/v1/chat/completions") {
        on_generate(e, std::move(request), reply);
    } else if (target == "/status") {
        reply_json(reply, 200, encode_status(e));
    } else if (target == "/cache_events") {
        reply_json(reply, 200, e.cache_events);
        e.cache_events.clear();
    } else if (target == "/admin/load") {
        on_load(e, parse_body(request), reply);
    } else if (target == "/admin/fault") {
        on_fault(e, parse_body(request), reply);
    } else if (target == "/admin/stats") {
        reply_json(reply, 200, encode_stats(e));
    } else {
        reply_json(reply, 404, {{"error", "not found"}});
    }
}

} // namespace

//-----------------------------------------------------------------------------
// [SECTION] Program
//-----------------------------------------------------------------------------

int main(int argc, char** argv) {
    const auto options = parse_options(argc, argv,
                                       {{"address", "127.0.0.1:7100"},
                                        {"version", "v1"},
                                        {"room", "16"},
                                        {"cold-limit", "2"},
                                        {"cold-ms", "500"},
                                        {"token-ms", "4"},
                                        {"load-ms", "300"},
                                        {"fencing", "honour"},
                                        {"seed", "1"}});
    constexpr duration step_period = 2ms;
    constexpr duration report_period = 500ms;
    engine e;
    e.config.capacity = number_option(options, "room");
    e.config.cold_limit = number_option(options, "cold-limit");
    e.config.warmup_time = std::chrono::milliseconds{number_option(options, "cold-ms")};
    e.config.token_time = std::chrono::milliseconds{number_option(options, "token-ms")};
    e.config.load_time = std::chrono::milliseconds{number_option(options, "load-ms")};
    e.config.checks_fencing = options.at("fencing") == "honour";
    e.version = options.at("version");
    e.random.state = number_option(options, "seed");
    e.boot = static_cast<std::uint64_t>(wall_clock().time_since_epoch().count());
    e.warm_at = wall_clock() + e.config.warmup_time;
    event_loop loop;
    loop.every(step_period, [&] { advance_batch(e, step_period); });
    loop.every(report_period, [&] { e.reported_running = e.streams.size(); });
    return run_server(
        loop, options.at("address"),
        [&](http_request&& request, const http_reply_ptr& reply) {
            on_request(e, std::move(request), reply);
        },
        [&](std::uint64_t connection) {
            loop.post([&e, connection] {
                std::erase_if(e.streams, [&](const stream& s) { return s.connection == connection; });
            });
        });
}
