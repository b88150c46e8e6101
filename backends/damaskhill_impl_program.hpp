// Parts shared by all programs: command line, settings files, exit codes, logging, tracing, recordings, and
// the host that runs a reducer.
//
// Index of this file:
// [SECTION] Exit codes and command line
// [SECTION] Settings of the daemons
// [SECTION] Spans and recordings
// [SECTION] Host of a reducer

#pragma once

#include "damaskhill_impl_asio.hpp"
#include "damaskhill_impl_json.hpp"
#include "damaskhill_impl_metrics.hpp"

#include <cstdio>
#include <deque>
#include <fstream>

namespace damaskhill {

//-----------------------------------------------------------------------------
// [SECTION] Exit codes and command line
//-----------------------------------------------------------------------------

enum class exit_code : int {
    ok = 0,
    usage = 2,
    settings = 3,
    network = 4,
    conflict = 5, // the store contains a newer revision
    store_unreachable = 6,
    check_failed = 7
};

struct daemon_options {
    std::string settings_file;
    std::string recording_file;
    bool check_only{};
};

/// Parses --settings, --record, --check-config, --help and --version.
/// Returns no value if the program must exit with `code`.
[[nodiscard]] std::optional<daemon_options> parse_daemon_options(std::span<char*> arguments,
                                                                 std::string_view about, exit_code& code);

/// Main function of a daemon: parses the command line, loads the settings and runs. `load` takes a file name
/// and a failure and returns the settings if they are valid; `run` takes the settings and the options.
template <class Load, class Run>
[[nodiscard]] int daemon_main(std::span<char*> arguments, const char* name, std::string_view about,
                              Load&& load, Run&& run) {
    auto code = exit_code::ok;
    const auto options = parse_daemon_options(arguments, about, code);
    if (!options) return static_cast<int>(code);
    failure error;
    const auto settings = load(options->settings_file, error);
    if (!settings) {
        std::fprintf(stderr, "%s: %s\n", name, describe(error).c_str());
        return static_cast<int>(exit_code::settings);
    }
    if (options->check_only) {
        std::printf("%s: ok\n", options->settings_file.c_str());
        return 0;
    }
    return static_cast<int>(run(*settings, *options));
}

/// Logging to standard error, one line per state change.
void start_logging(const char* program);
void log_line(std::string_view text);

//-----------------------------------------------------------------------------
// [SECTION] Settings of the daemons
//-----------------------------------------------------------------------------

struct link_key_settings {
    std::uint8_t number{1};
    std::string secret;
    static constexpr auto fields() {
        using t = link_key_settings;
        return std::tuple{field{1, "number", &t::number}, field{2, "secret", &t::secret}};
    }
};

struct router_daemon_settings {
    std::string name; // unique VM name
    std::string data_centre;
    std::string http_address;                 // for callers, "IP:port"
    std::string link_address;                 // for other processes, "IP:port"
    std::string store_url;                    // key-value store and list of VMs
    std::vector<link_key_settings> link_keys; // the first signs, all are accepted
    std::string trace_file;                   // OTLP JSON lines, empty: none
    std::uint64_t interactive_timeout_ms{30'000};
    std::uint64_t batch_timeout_ms{600'000};
    std::uint64_t drain_limit_ms{30'000};
    std::uint32_t order_shards{64};
    static constexpr auto fields() {
        using t = router_daemon_settings;
        return std::tuple{field{1, "name", &t::name},
                          field{2, "data_centre", &t::data_centre},
                          field{3, "http_address", &t::http_address},
                          field{4, "link_address", &t::link_address},
                          field{5, "store_url", &t::store_url},
                          field{6, "link_keys", &t::link_keys},
                          field{7, "trace_file", &t::trace_file},
                          field{8, "interactive_timeout_ms", &t::interactive_timeout_ms},
                          field{9, "batch_timeout_ms", &t::batch_timeout_ms},
                          field{10, "drain_limit_ms", &t::drain_limit_ms},
                          field{11, "order_shards", &t::order_shards}};
    }
};

struct sidecar_daemon_settings {
    std::string name;
    std::string data_centre;
    std::string link_address;
    std::string metrics_address; // "IP:port" of /metrics, /healthz and /readyz
    std::string pool;
    std::string version;
    target_kind kind{target_kind::model_engine};
    bool checks_fencing{}; // the target rejects outdated fencing tokens
    std::string target_url;
    std::vector<link_key_settings> link_keys;
    std::string trace_file;
    // Maximum concurrent requests on a cold and on a warm target until the pool's declaration is received.
    std::uint32_t cold_limit{2};
    std::uint32_t warm_limit{32};
    std::uint64_t drain_limit_ms{30'000};
    static constexpr auto fields() {
        using t = sidecar_daemon_settings;
        return std::tuple{field{1, "name", &t::name},
                          field{2, "data_centre", &t::data_centre},
                          field{3, "link_address", &t::link_address},
                          field{4, "metrics_address", &t::metrics_address},
                          field{5, "pool", &t::pool},
                          field{6, "version", &t::version},
                          field{7, "kind", &t::kind},
                          field{8, "checks_fencing", &t::checks_fencing},
                          field{9, "target_url", &t::target_url},
                          field{10, "link_keys", &t::link_keys},
                          field{11, "trace_file", &t::trace_file},
                          field{12, "cold_limit", &t::cold_limit},
                          field{13, "warm_limit", &t::warm_limit},
                          field{14, "drain_limit_ms", &t::drain_limit_ms}};
    }
};

/// Validation of single settings. On failure they set `error` to the file and the name of the setting.
[[nodiscard]] bool check_not_empty(const std::string& value, const char* name, const std::string& file,
                                   failure& error);
[[nodiscard]] bool check_address(const std::string& value, const char* name, const std::string& file,
                                 failure& error);
[[nodiscard]] bool check_keys(const std::vector<link_key_settings>& keys, const std::string& file,
                              failure& error);

/// Reads and validates a settings file.
[[nodiscard]] std::optional<router_daemon_settings> load_router_settings(const std::string& file,
                                                                         failure& error);
[[nodiscard]] std::optional<sidecar_daemon_settings> load_sidecar_settings(const std::string& file,
                                                                           failure& error);
[[nodiscard]] std::vector<link_key> make_link_keys(std::span<const link_key_settings> settings);

/// 64 random bits from the operating system, for incarnations and seeds.
[[nodiscard]] std::uint64_t system_random();

//-----------------------------------------------------------------------------
// [SECTION] Spans and recordings
//-----------------------------------------------------------------------------

/// Writes spans in the OTLP JSON encoding, one export request per line.
class span_writer {
public:
    span_writer(const std::string& file, std::string service, std::string instance);
    void write(const span& finished);

private:
    std::ofstream out_;
    std::string service_;
    std::string instance_;
    time_point last_flush_{};
};

//-----------------------------------------------------------------------------
// [SECTION] Host of a reducer
//-----------------------------------------------------------------------------

/// Runs a reducer on an event loop: records its events, performs the effects common to all programs, and
/// passes the others to the effect handler.
template <class State, class Event>
class reducer_host {
public:
    using effect_handler = std::function<void(effect&&)>;
    using event_type = Event;

    /// If `recording_file` is not empty, writes the header and then every event to it.
    reducer_host(State& state, metrics_registry& metrics, span_writer& spans,
                 const std::string& recording_file, const json& recording_header)
        : state_(state), metrics_(metrics), spans_(spans) {
        if (recording_file.empty()) return;
        recording_.open(recording_file);
        recording_ << dump_json(recording_header) << '\n';
    }
    void set_transport(link_transport* transport) { transport_ = transport; }
    void set_effect_handler(effect_handler handler) { effect_handler_ = std::move(handler); }

    /// Processes an event. Events submitted while it is processed are queued.
    template <class Input>
    void submit(Input&& input) {
        queue_.push_back(Event{wall_clock(), std::forward<Input>(input)});
        if (processing_) return;
        processing_ = true;
        while (!queue_.empty()) {
            const Event event = std::move(queue_.front());
            queue_.pop_front();
            process(event);
        }
        processing_ = false;
    }

private:
    void process(const Event& event) {
        if (recording_.is_open()) recording_ << dump_json(encode_json(event)) << '\n';
        effects out;
        reduce(state_, event, out);
        for (effect& item : out) {
            if (!perform_common_effect(item)) effect_handler_(std::move(item));
        }
    }

    bool perform_common_effect(effect& item) {
        if (auto* message = std::get_if<send_message>(&item)) {
            transport_->send(message->link, message->message);
        } else if (auto* dialed = std::get_if<dial>(&item)) {
            transport_->dial(dialed->name, dialed->address);
        } else if (auto* closed_link = std::get_if<close_link>(&item)) {
            transport_->close(closed_link->link);
        } else if (auto* counter = std::get_if<count>(&item)) {
            metrics_.add(*counter);
        } else if (auto* gauge_value = std::get_if<gauge>(&item)) {
            metrics_.set(*gauge_value);
        } else if (auto* observation = std::get_if<observe>(&item)) {
            metrics_.add(*observation);
        } else if (auto* logged = std::get_if<log_change>(&item)) {
            log_line(logged->text);
        } else if (auto* finished = std::get_if<span>(&item)) {
            spans_.write(*finished);
        } else {
            return false;
        }
        return true;
    }

    State& state_;
    metrics_registry& metrics_;
    span_writer& spans_;
    std::ofstream recording_;
    link_transport* transport_{};
    effect_handler effect_handler_;
    std::deque<Event> queue_;
    bool processing_{};
};

/// Link callbacks that submit events to the host.
template <class Host>
link_callbacks make_link_callbacks(Host& host, metrics_registry& metrics) {
    link_callbacks callbacks;
    callbacks.opened = [&host](link_id link, std::string_view dialed) {
        host.submit(link_opened{link, std::string{dialed}});
    };
    callbacks.closed = [&host, &metrics](link_id link, failure_kind reason) {
        if (reason != failure_kind::network)
            metrics.add(count{"frames_rejected_total", std::string{to_string(reason)}, 1});
        host.submit(link_closed{link, reason});
    };
    callbacks.message = [&host](link_id link, peer_message&& message) {
        host.submit(link_message{link, std::move(message)});
    };
    // Only routers open links.
    if constexpr (std::is_same_v<typename Host::event_type, router_event>) {
        callbacks.dial_failed = [&host](std::string_view name) {
            host.submit(dial_failed{std::string{name}});
        };
    }
    callbacks.frame_dropped = [&metrics](failure_kind reason) {
        metrics.add(count{"frames_rejected_total", std::string{to_string(reason)}, 1});
    };
    return callbacks;
}

} // namespace damaskhill
