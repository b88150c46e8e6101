// Host of the direct router's reducer: settings, structured log, timers and effects.
//
// Index of this file:
// [SECTION] Settings
// [SECTION] Structured log
// [SECTION] Clock

#pragma once

#include "damaskhill_direct.hpp"
#include "damaskhill_impl_program.hpp"

namespace damaskhill {

//-----------------------------------------------------------------------------
// [SECTION] Settings
//-----------------------------------------------------------------------------

struct direct_daemon_settings {
    std::string name;
    std::string data_centre;
    std::string http_address;    // callers, "IP:port"
    std::string ready_address;   // the balancer's readiness check
    std::string control_address; // /metrics, /snapshot and /healthz
    std::string report_address;  // datagrams of other routers
    std::string store_address;
    std::vector<std::string> seeds; // "IP:port" of some routers' control addresses
    std::vector<link_key_settings> link_keys;
    double key_limit_ms{5000}; // how old the store's copy may be while keys are accepted
    double stop_limit_s{8};    // from SIGTERM to the end of the process
    double repeat_ratio{0.2};  // repeats to each service, all routers together
    double repeat_slack{50};
    double repeat_window_s{10};
    double cold_overage{1.5}; // factor and addition by which a cold target's rate may be exceeded
    double cold_slack{5};
    std::uint64_t max_descriptors{4096}; // that this process may have open
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
                          field{17, "max_descriptors", &t::max_descriptors}};
    }
};

/// Reads and checks a settings file as a whole.
[[nodiscard]] std::optional<direct_daemon_settings> load_direct_settings(const std::string& file,
                                                                         failure& why);
/// Connections of callers that leave enough descriptors for targets, the store and files.
[[nodiscard]] std::size_t caller_connection_limit(const direct_daemon_settings& settings);
[[nodiscard]] direct::router_settings make_core_settings(const direct_daemon_settings& settings,
                                                         std::uint64_t incarnation);

//-----------------------------------------------------------------------------
// [SECTION] Structured log
//-----------------------------------------------------------------------------

struct structured_log_settings {
    double lines_per_s{250};               // of lines that are not essential
    std::size_t buffer_limit{256U << 10U}; // bytes that wait for standard output; further lines are dropped
};

/// JSON lines on standard output. Never blocks: what the pipe does not take is kept up to the limit, then
/// dropped and counted.
class structured_log {
public:
    explicit structured_log(structured_log_settings settings = {});
    void write(std::string_view name, std::string_view fields, bool essential, time_point now);
    void flush();
    [[nodiscard]] std::uint64_t dropped() const { return dropped_; }

private:
    structured_log_settings settings_;
    std::string buffer_;
    double tokens_;
    time_point refilled_at_{};
    std::uint64_t dropped_{};
    std::uint64_t reported_dropped_{};
};

//-----------------------------------------------------------------------------
// [SECTION] Clock
//-----------------------------------------------------------------------------

/// Time since the VM's start: never jumps and counts suspensions.
[[nodiscard]] time_point boot_clock();

} // namespace damaskhill
