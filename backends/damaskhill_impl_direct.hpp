// Settings, structured log and clock of the direct router's process.
//
// Index of this file:
// [SECTION] Settings
// [SECTION] Structured log
// [SECTION] Clock

#pragma once

#include "damaskhill_direct.hpp"
#include "damaskhill_impl_client_limits.hpp"
#include "damaskhill_impl_program.hpp"

namespace damaskhill {

//-----------------------------------------------------------------------------
// [SECTION] Settings
//-----------------------------------------------------------------------------

// Kinds of duties in the settings.
inline constexpr const char* usage_duty = "usage_report";
inline constexpr const char* target_count_duty = "autoscale";

/// Duties of one router at a time; see duty_settings for the meaning of the figures.
struct duty_daemon_settings {
    std::string platform_address; // "IP:port" that takes usage reports and orders
    double calls_per_s{50};
    double lease_ms{3000};
    double wake_margin_ms{300};
    double usage_window_s{5};
    double usage_due_s{10};
    double usage_tolerance{0.05};
    std::vector<std::string> kinds{usage_duty, target_count_duty}; // others are not performed
    static constexpr auto fields() {
        using t = duty_daemon_settings;
        return std::tuple{field{1, "platform_address", &t::platform_address},
                          field{2, "calls_per_s", &t::calls_per_s},
                          field{3, "lease_ms", &t::lease_ms},
                          field{4, "wake_margin_ms", &t::wake_margin_ms},
                          field{5, "usage_window_s", &t::usage_window_s},
                          field{6, "usage_due_s", &t::usage_due_s},
                          field{7, "usage_tolerance", &t::usage_tolerance},
                          field{8, "kinds", &t::kinds}};
    }
};

/// Environment variable that holds duty_daemon_settings as JSON, for deployments whose settings file has
/// none.
inline constexpr const char* duties_variable = "DAMASKHILL_DUTIES";

struct direct_daemon_settings {
    std::string name;
    std::string data_centre;
    std::string http_address;    // for callers, "IP:port"
    std::string ready_address;   // readiness check of the load balancer
    std::string control_address; // /metrics, /snapshot and /healthz
    std::string report_address;  // reports of other routers, over UDP
    std::string store_address;
    std::vector<std::string> seeds; // "IP:port" of other routers' control addresses
    std::vector<link_key_settings> link_keys;
    double key_limit_ms{5000}; // API keys are refused once the data from the store is older
    double stop_limit_s{8};    // from SIGTERM to exit
    // Budget of repeated requests to each service, counted over all routers.
    double repeat_ratio{0.2};
    double repeat_slack{50};
    double repeat_window_s{10};
    // Factor and number of requests by which the rate limit of a cold target may be exceeded.
    double cold_overage{1.5};
    double cold_slack{5};
    std::uint64_t max_descriptors{4096}; // file descriptors that this process may open
    double check_in_ms{1200};            // interval at which targets renew their registrations
    double drain_limit_ms{2000};         // requests must not reach a target this long after it has left
    std::optional<duty_daemon_settings> duties; // none: this deployment has no duties
    std::uint64_t memory_mb{};                  // for this process; 0: that of the VM, at most 256
    // Limits of what a client may send, see client_limit_settings.
    std::uint64_t max_header_bytes{client_limit_settings{}.max_header_bytes};
    double header_timeout_ms{to_milliseconds(client_limit_settings{}.head_timeout)};
    double idle_timeout_ms{to_milliseconds(client_limit_settings{}.idle_timeout)};
    double body_timeout_ms{to_milliseconds(client_limit_settings{}.body_timeout)}; // without progress
    static constexpr double to_milliseconds(duration time) { return static_cast<double>(time / 1ms); }
    static constexpr auto fields() {
        using t = direct_daemon_settings;
        return std::tuple{field{1, "name", &t::name},
                          field{2, "data_centre", &t::data_centre},
                          field{3, "http_address", &t::http_address},
                          field{4, "ready_address", &t::ready_address},
                          field{5, "control_address", &t::control_address},
                          field{6, "report_address", &t::report_address},
                          field{7, "store_address", &t::store_address},
                          field{8, "seeds", &t::seeds},
                          field{9, "link_keys", &t::link_keys},
                          field{10, "key_limit_ms", &t::key_limit_ms},
                          field{11, "stop_limit_s", &t::stop_limit_s},
                          field{12, "repeat_ratio", &t::repeat_ratio},
                          field{13, "repeat_slack", &t::repeat_slack},
                          field{14, "repeat_window_s", &t::repeat_window_s},
                          field{15, "cold_overage", &t::cold_overage},
                          field{16, "cold_slack", &t::cold_slack},
                          field{17, "max_descriptors", &t::max_descriptors},
                          field{18, "check_in_ms", &t::check_in_ms},
                          field{19, "drain_limit_ms", &t::drain_limit_ms},
                          field{20, "memory_mb", &t::memory_mb},
                          field{21, "max_header_bytes", &t::max_header_bytes},
                          field{22, "header_timeout_ms", &t::header_timeout_ms},
                          field{23, "idle_timeout_ms", &t::idle_timeout_ms},
                          field{24, "body_timeout_ms", &t::body_timeout_ms},
                          field{25, "duties", &t::duties}};
    }
};

/// Reads and validates a settings file.
[[nodiscard]] std::optional<direct_daemon_settings> load_direct_settings(const std::string& file,
                                                                         failure& error);
/// Maximum number of caller connections; leaves descriptors for targets, the store and files.
[[nodiscard]] std::size_t caller_connection_limit(const direct_daemon_settings& settings);
/// Maximum number of connections to each of the readiness and the control address.
[[nodiscard]] std::size_t control_connection_limit(const direct_daemon_settings& settings);

/// Memory that may hold bytes on behalf of callers and targets.
struct memory_limits {
    std::size_t caller_connections{}; // requests that are being received, and unsent replies
    std::size_t requests{};           // bodies of admitted requests, and buffered responses
    std::size_t control_connections{};
};
/// Divides the memory of the process. The larger part is left to everything else, and to what strings
/// allocate beyond their size.
[[nodiscard]] memory_limits divide_memory(std::size_t bytes);
/// The same for the memory that the settings name or that the VM has.
[[nodiscard]] memory_limits memory_limits_of(const direct_daemon_settings& settings);
/// Limits of the callers, and of the clients of the readiness and the control address.
[[nodiscard]] client_limit_settings caller_limits_of(const direct_daemon_settings& settings);
[[nodiscard]] client_limit_settings control_limits_of(const direct_daemon_settings& settings);
[[nodiscard]] direct::router_settings make_core_settings(const direct_daemon_settings& settings,
                                                         std::uint64_t incarnation);

//-----------------------------------------------------------------------------
// [SECTION] Structured log
//-----------------------------------------------------------------------------

struct structured_log_settings {
    double lines_per_s{250};               // rate limit of non-essential lines
    std::size_t buffer_limit{256U << 10U}; // unwritten bytes above which further lines are dropped
};

/// Writes JSON lines to standard output without blocking. Lines that the pipe does not accept are buffered up
/// to a limit; lines beyond it are dropped and counted.
class structured_log {
public:
    explicit structured_log(structured_log_settings settings = {});
    /// Writes one event. `fields` holds further JSON members. Essential lines are exempt from the rate limit.
    void write(std::string_view name, std::string_view fields, bool essential, time_point now);
    void flush();
    [[nodiscard]] std::uint64_t dropped() const { return dropped_; }

private:
    structured_log_settings settings_;
    std::string buffer_;
    double tokens_;
    time_point refilled_at_{};
    std::uint64_t dropped_{};
    std::uint64_t reported_dropped_{}; // value of dropped_ in the last line that was written
};

//-----------------------------------------------------------------------------
// [SECTION] Clock
//-----------------------------------------------------------------------------

/// Time since the VM booted (CLOCK_BOOTTIME): monotonic, and includes the time of suspensions.
[[nodiscard]] time_point boot_clock();

} // namespace damaskhill
