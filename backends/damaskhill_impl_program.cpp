// Index of this file:
// [SECTION] Command line and logs
// [SECTION] Settings of the daemons
// [SECTION] Spans

#include "damaskhill_impl_program.hpp"

#include "damaskhill_trace.hpp"

#include <cstdio>
#include <cstdlib>
#include <random>

#include <getopt.h>
#include <glog/logging.h>

#ifndef DAMASKHILL_VERSION
#define DAMASKHILL_VERSION "0.1.0"
#endif

namespace damaskhill {

//-----------------------------------------------------------------------------
// [SECTION] Command line and logs
//-----------------------------------------------------------------------------

namespace {

void print_usage(const char* program, std::string_view about) {
    std::printf(
        "Usage: %s --settings FILE [--record FILE] [--check-config]\n%.*s\n\n"
        "  -s, --settings FILE   settings in JSON; default: the file named by DAMASKHILL_CONFIG\n"
        "  -r, --record FILE     write every event to FILE, one JSON object per line, for damaskhill_replay\n"
        "  -c, --check-config    check the settings and exit\n"
        "  -h, --help            print this text and exit\n"
        "  -V, --version         print the version and exit\n\n"
        "Exit codes: 0 ok, 2 usage, 3 settings, 4 network.\n",
        program, static_cast<int>(about.size()), about.data());
}

} // namespace

std::optional<daemon_options> parse_daemon_options(std::span<char*> arguments, std::string_view about,
                                                   exit_code& code) {
    static const option long_options[] = {
        {"settings", required_argument, nullptr, 's'}, {"record", required_argument, nullptr, 'r'},
        {"check-config", no_argument, nullptr, 'c'},   {"help", no_argument, nullptr, 'h'},
        {"version", no_argument, nullptr, 'V'},        {nullptr, 0, nullptr, 0}};
    daemon_options options;
    int option_char = 0;
    while ((option_char = getopt_long(static_cast<int>(arguments.size()), arguments.data(), "s:r:chV",
                                      long_options, nullptr)) != -1) {
        switch (option_char) {
        case 's':
            options.settings_file = optarg;
            break;
        case 'r':
            options.recording_file = optarg;
            break;
        case 'c':
            options.check_only = true;
            break;
        case 'h':
            print_usage(arguments[0], about);
            code = exit_code::ok;
            return std::nullopt;
        case 'V':
            std::printf("damaskhill %s\n", DAMASKHILL_VERSION);
            code = exit_code::ok;
            return std::nullopt;
        default:
            code = exit_code::usage;
            return std::nullopt;
        }
    }
    if (const char* file = std::getenv("DAMASKHILL_CONFIG"); file != nullptr && options.settings_file.empty())
        options.settings_file = file;
    if (options.settings_file.empty() || optind != static_cast<int>(arguments.size())) {
        std::fprintf(stderr, "%s: --settings FILE or DAMASKHILL_CONFIG is required; see --help\n",
                     arguments[0]);
        code = exit_code::usage;
        return std::nullopt;
    }
    return options;
}

void start_logging(const char* program) {
    FLAGS_logtostderr = true;
    google::InitGoogleLogging(program);
}

void log_line(std::string_view text) { LOG(INFO) << text; }

std::uint64_t system_random() {
    std::random_device device;
    return (static_cast<std::uint64_t>(device()) << 32U) | device();
}

//-----------------------------------------------------------------------------
// [SECTION] Settings of the daemons
//-----------------------------------------------------------------------------

bool check_not_empty(const std::string& value, const char* name, const std::string& file, failure& error) {
    if (!value.empty()) return true;
    error = {failure_kind::missing_field, file + ": $." + name, "an empty string", "a non-empty string"};
    return false;
}

bool check_address(const std::string& value, const char* name, const std::string& file, failure& error) {
    if (split_address(value, error)) return true;
    error.where = file + ": $." + name;
    return false;
}

bool check_keys(const std::vector<link_key_settings>& keys, const std::string& file, failure& error) {
    constexpr std::size_t min_secret_bytes = 16;
    if (keys.empty()) {
        error = {failure_kind::missing_field, file + ": $.link_keys", "no keys", "at least one key"};
        return false;
    }
    for (const auto& key : keys) {
        if (key.secret.size() >= min_secret_bytes) continue;
        error = {failure_kind::out_of_range, file + ": $.link_keys",
                 std::to_string(key.secret.size()) + " bytes", "a secret of at least 16 bytes"};
        return false;
    }
    return true;
}

std::optional<router_daemon_settings> load_router_settings(const std::string& file, failure& error) {
    const auto text = read_file(file, error);
    if (!text) return std::nullopt;
    auto s = parse_json_as<router_daemon_settings>(*text, file, unknown_keys::reject, error);
    if (!s) return std::nullopt;
    const bool ok = check_not_empty(s->name, "name", file, error) &&
                    check_not_empty(s->data_centre, "data_centre", file, error) &&
                    check_address(s->http_address, "http_address", file, error) &&
                    check_address(s->link_address, "link_address", file, error) &&
                    check_not_empty(s->store_url, "store_url", file, error) &&
                    check_keys(s->link_keys, file, error);
    if (ok && (s->order_shards == 0 || s->order_shards > 4096)) {
        error = {failure_kind::out_of_range, file + ": $.order_shards", std::to_string(s->order_shards),
                 "1 to 4096"};
        return std::nullopt;
    }
    if (!ok) return std::nullopt;
    return s;
}

std::optional<sidecar_daemon_settings> load_sidecar_settings(const std::string& file, failure& error) {
    const auto text = read_file(file, error);
    if (!text) return std::nullopt;
    auto s = parse_json_as<sidecar_daemon_settings>(*text, file, unknown_keys::reject, error);
    if (!s) return std::nullopt;
    const bool ok = check_not_empty(s->name, "name", file, error) &&
                    check_not_empty(s->data_centre, "data_centre", file, error) &&
                    check_address(s->link_address, "link_address", file, error) &&
                    check_address(s->metrics_address, "metrics_address", file, error) &&
                    check_not_empty(s->pool, "pool", file, error) &&
                    check_not_empty(s->target_url, "target_url", file, error) &&
                    check_keys(s->link_keys, file, error);
    if (ok && (s->cold_limit == 0 || s->cold_limit > s->warm_limit)) {
        error = {failure_kind::out_of_range, file + ": $.cold_limit", std::to_string(s->cold_limit),
                 "1 to warm_limit"};
        return std::nullopt;
    }
    if (!ok) return std::nullopt;
    return s;
}

std::vector<link_key> make_link_keys(std::span<const link_key_settings> settings) {
    std::vector<link_key> keys;
    for (const auto& key : settings)
        keys.push_back({key.number, key.secret});
    return keys;
}

//-----------------------------------------------------------------------------
// [SECTION] Spans
//-----------------------------------------------------------------------------

span_writer::span_writer(const std::string& file, std::string service, std::string instance)
    : service_(std::move(service)), instance_(std::move(instance)) {
    if (!file.empty()) out_.open(file, std::ios::app);
}

void span_writer::write(const span& finished) {
    if (!out_.is_open() || trace_id_of(finished.traceparent).empty()) return;
    const auto nanoseconds = [](time_point at) {
        return std::to_string(at.time_since_epoch().count()) + "000";
    };
    const auto attribute = [](const char* key, const std::string& value) {
        return json{{"key", key}, {"value", {{"stringValue", value}}}};
    };
    constexpr int status_ok = 1;
    constexpr int status_error = 2;
    json record{{"traceId", trace_id_of(finished.traceparent)},
                {"spanId", span_id_of(finished.traceparent)},
                {"name", finished.name},
                {"kind", 2}, // SPAN_KIND_SERVER
                {"startTimeUnixNano", nanoseconds(finished.start)},
                {"endTimeUnixNano", nanoseconds(finished.end)},
                {"attributes", json::array({attribute("damaskhill.detail", finished.detail)})},
                {"status", {{"code", finished.ok ? status_ok : status_error}}}};
    if (!span_id_of(finished.parent).empty()) record["parentSpanId"] = span_id_of(finished.parent);
    const json resource{{"attributes", json::array({attribute("service.name", service_),
                                                    attribute("service.instance.id", instance_)})}};
    const json line{{"resourceSpans",
                     json::array({{{"resource", resource},
                                   {"scopeSpans", json::array({{{"scope", {{"name", "damaskhill"}}},
                                                                {"spans", json::array({record})}}})}}})}};
    out_ << dump_json(line) << '\n';
    // Flushing after each span would cost one system call per hop.
    constexpr duration flush_period = 1s;
    if (finished.end - last_flush_ < flush_period) return;
    last_flush_ = finished.end;
    out_.flush();
}

} // namespace damaskhill
