// Index of this file:
// [SECTION] Settings
// [SECTION] Structured log
// [SECTION] Clock

#include "damaskhill_impl_direct.hpp"

#include <algorithm>
#include <cstdlib>
#include <ctime>

#include <fcntl.h>
#include <sys/sysinfo.h>
#include <unistd.h>

namespace damaskhill {

//-----------------------------------------------------------------------------
// [SECTION] Settings
//-----------------------------------------------------------------------------

namespace {

bool has_kind(const duty_daemon_settings& duties, std::string_view kind) {
    return std::ranges::find(duties.kinds, kind) != duties.kinds.end();
}

bool has_duties(const direct_daemon_settings& settings) {
    return settings.duties &&
           (has_kind(*settings.duties, usage_duty) || has_kind(*settings.duties, target_count_duty));
}

bool check_duties(const duty_daemon_settings& duties, const std::string& file, failure& error) {
    if (!check_address(duties.platform_address, "duties.platform_address", file, error)) return false;
    if (split_address(duties.platform_address, error)->second == 0) {
        error = {failure_kind::out_of_range, file + ": $.duties.platform_address", duties.platform_address,
                 "a port from 1 to 65535"};
        return false;
    }
    const auto check = [&](const char* name, double value, double lowest, double highest) {
        if (value >= lowest && value <= highest) return true;
        error = {failure_kind::out_of_range, file + ": $.duties." + name, std::to_string(value),
                 "from " + std::to_string(lowest) + " to " + std::to_string(highest)};
        return false;
    };
    constexpr double hour_s = 3600;
    constexpr double longest_lease_ms = 600'000; // the platform's limit
    constexpr double shortest_lease_ms = 1000;   // renewals, and timers that fire every 200 ms, must fit
    return check("calls_per_s", duties.calls_per_s, 1, 1e6) &&
           check("lease_ms", duties.lease_ms, shortest_lease_ms, longest_lease_ms) &&
           check("wake_margin_ms", duties.wake_margin_ms, 0, duties.lease_ms / 2) &&
           check("usage_window_s", duties.usage_window_s, 1, hour_s) &&
           check("usage_due_s", duties.usage_due_s, 1, hour_s) &&
           check("usage_tolerance", duties.usage_tolerance, 0, 1);
}

duration from_ms(double ms) { return duration{static_cast<std::int64_t>(ms * 1e3)}; }

duty_settings make_duty_settings(const duty_daemon_settings& duties) {
    constexpr double ms_per_s = 1e3;
    return {duties.platform_address,
            duties.calls_per_s,
            from_ms(duties.lease_ms),
            from_ms(duties.wake_margin_ms),
            from_ms(duties.usage_window_s * ms_per_s),
            from_ms(duties.usage_due_s * ms_per_s),
            duties.usage_tolerance,
            has_kind(duties, usage_duty),
            has_kind(duties, target_count_duty)};
}

} // namespace

std::optional<direct_daemon_settings> load_direct_settings(const std::string& file, failure& error) {
    const auto text = read_file(file, error);
    if (!text) return std::nullopt;
    auto s = parse_json_as<direct_daemon_settings>(*text, file, unknown_keys::reject, error);
    if (!s) return std::nullopt;
    const char* const duties = std::getenv(duties_variable);
    if (!s->duties && duties != nullptr && *duties != '\0') {
        s->duties = parse_json_as<duty_daemon_settings>(duties, duties_variable, unknown_keys::reject, error);
        if (!s->duties) return std::nullopt;
    }
    const bool ok = check_not_empty(s->name, "name", file, error) &&
                    check_not_empty(s->data_centre, "data_centre", file, error) &&
                    check_address(s->http_address, "http_address", file, error) &&
                    check_address(s->ready_address, "ready_address", file, error) &&
                    check_address(s->control_address, "control_address", file, error) &&
                    check_address(s->report_address, "report_address", file, error) &&
                    check_address(s->store_address, "store_address", file, error) &&
                    check_keys(s->link_keys, file, error);
    if (!ok) return std::nullopt;
    for (const std::string& seed : s->seeds) {
        if (!check_address(seed, "seeds", file, error)) return std::nullopt;
    }
    if (has_duties(*s) && !check_duties(*s->duties, file, error)) return std::nullopt;
    constexpr double min_key_limit_ms = 1000;
    if (s->key_limit_ms < min_key_limit_ms) {
        error = {failure_kind::out_of_range, file + ": $.key_limit_ms", std::to_string(s->key_limit_ms),
                 "at least 1000"};
        return std::nullopt;
    }
    constexpr double min_check_in_ms = 100;
    if (s->check_in_ms < min_check_in_ms) {
        error = {failure_kind::out_of_range, file + ": $.check_in_ms", std::to_string(s->check_in_ms),
                 "at least 100"};
        return std::nullopt;
    }
    constexpr double min_drain_limit_ms = 500;
    if (s->drain_limit_ms < min_drain_limit_ms) {
        error = {failure_kind::out_of_range, file + ": $.drain_limit_ms", std::to_string(s->drain_limit_ms),
                 "at least 500"};
        return std::nullopt;
    }
    constexpr std::uint64_t min_descriptors = 256;
    if (s->max_descriptors < min_descriptors) {
        error = {failure_kind::out_of_range, file + ": $.max_descriptors", std::to_string(s->max_descriptors),
                 "at least 256"};
        return std::nullopt;
    }
    constexpr std::uint64_t min_memory_mb = 32;
    constexpr std::uint64_t max_memory_mb = 1U << 20U;
    if (s->memory_mb != 0 && (s->memory_mb < min_memory_mb || s->memory_mb > max_memory_mb)) {
        error = {failure_kind::out_of_range, file + ": $.memory_mb", std::to_string(s->memory_mb),
                 "0, or from 32 to 1048576"};
        return std::nullopt;
    }
    constexpr std::uint64_t min_header_bytes = 1024;
    constexpr std::uint64_t max_header_bytes = 64U << 10U; // http_parser refuses a head at 80 KB
    if (s->max_header_bytes < min_header_bytes || s->max_header_bytes > max_header_bytes) {
        error = {failure_kind::out_of_range, file + ": $.max_header_bytes",
                 std::to_string(s->max_header_bytes), "from 1024 to 65536"};
        return std::nullopt;
    }
    constexpr double min_client_timeout_ms = 100;
    constexpr double max_client_timeout_ms = 3.6e6;
    for (const auto& [name, value] : {std::pair{"header_timeout_ms", s->header_timeout_ms},
                                      std::pair{"idle_timeout_ms", s->idle_timeout_ms},
                                      std::pair{"body_timeout_ms", s->body_timeout_ms}}) {
        if (value >= min_client_timeout_ms && value <= max_client_timeout_ms) continue;
        error = {failure_kind::out_of_range, file + ": $." + name, std::to_string(value),
                 "from 100 to 3600000"};
        return std::nullopt;
    }
    return s;
}

memory_limits divide_memory(std::size_t bytes) {
    // A string that grows holds up to twice its size, and three times while it moves.
    constexpr std::size_t caller_share = 8; // one part in this many
    constexpr std::size_t request_share = 10;
    constexpr std::size_t control_share = 40;
    return {bytes / caller_share, bytes / request_share, bytes / control_share};
}

memory_limits memory_limits_of(const direct_daemon_settings& settings) {
    constexpr std::size_t megabyte = 1U << 20U;
    constexpr std::size_t most_by_default = 256 * megabyte; // other processes of the VM need memory, too
    if (settings.memory_mb != 0) return divide_memory(settings.memory_mb * megabyte);
    struct sysinfo vm {};
    if (::sysinfo(&vm) != 0) return divide_memory(most_by_default);
    return divide_memory(std::min<std::size_t>(most_by_default, vm.totalram * vm.mem_unit));
}

std::size_t caller_connection_limit(const direct_daemon_settings& settings) {
    // The rest is left to connections to targets: the largest routers had 1,400 of them open under the
    // highest load.
    constexpr double caller_share = 0.6;
    return static_cast<std::size_t>(caller_share * static_cast<double>(settings.max_descriptors));
}

std::size_t control_connection_limit(const direct_daemon_settings& settings) {
    // Balancers, monitoring and the routers that fetch a snapshot; a thirty-second for each of the two
    // addresses leaves descriptors for the store and files.
    constexpr std::uint64_t share = 32;
    constexpr std::uint64_t at_least = 16;
    return std::max(at_least, settings.max_descriptors / share);
}

client_limit_settings caller_limits_of(const direct_daemon_settings& settings) {
    const auto milliseconds = [](double ms) { return duration{static_cast<std::int64_t>(ms * 1e3)}; };
    client_limit_settings limits;
    limits.max_connections = caller_connection_limit(settings);
    limits.max_held_bytes = memory_limits_of(settings).caller_connections;
    limits.max_body_bytes = std::min(limits.max_body_bytes, memory_limits_of(settings).requests);
    limits.max_header_bytes = settings.max_header_bytes;
    limits.head_timeout = milliseconds(settings.header_timeout_ms);
    limits.idle_timeout = milliseconds(settings.idle_timeout_ms);
    limits.body_timeout = milliseconds(settings.body_timeout_ms);
    return limits;
}

client_limit_settings control_limits_of(const direct_daemon_settings& settings) {
    client_limit_settings limits = caller_limits_of(settings);
    limits.max_connections = control_connection_limit(settings);
    limits.max_held_bytes = memory_limits_of(settings).control_connections;
    limits.max_body_bytes = limits.max_header_bytes; // these requests have no bodies
    return limits;
}

direct::router_settings make_core_settings(const direct_daemon_settings& settings,
                                           std::uint64_t incarnation) {
    direct::router_settings core;
    core.name = settings.name;
    core.data_centre = settings.data_centre;
    core.report_address = settings.report_address;
    core.snapshot_address = settings.control_address;
    core.incarnation = incarnation;
    if (has_duties(settings)) core.duties = make_duty_settings(*settings.duties);
    // All routers use the same ports, so only the IP address of a seed is needed.
    const std::string port = settings.report_address.substr(settings.report_address.rfind(':'));
    for (const std::string& seed : settings.seeds)
        core.seeds.push_back(seed.substr(0, seed.rfind(':')) + port);
    // Of the margin, one second covers the delay until the store reports a change, and the rest the
    // transmission of a request to the target.
    constexpr duration key_margin = 1100ms;
    const duration key_limit{static_cast<std::int64_t>(settings.key_limit_ms * 1e3)};
    core.freshness.max_key_age = key_limit - std::min(key_margin, key_limit / 2);
    // The router reports itself as not ready before it has to refuse keys.
    core.freshness.max_ready_age = core.freshness.max_key_age * 2 / 3;
    // The margin covers a call to the store and the transmission of a request to the target.
    constexpr duration drain_margin = 400ms;
    const duration drain_limit{static_cast<std::int64_t>(settings.drain_limit_ms * 1e3)};
    core.freshness.max_targets_age = drain_limit - std::min(drain_margin, drain_limit / 2);
    // A silent connection is noticed after the long poll and the call's timeout; what readers confirm is
    // older by two reports at the routers that rely on them.
    core.own_read_wait = core.freshness.max_targets_age * 6 / 10;
    core.shared_read_wait = std::min(core.shared_read_wait, core.freshness.max_targets_age * 4 / 10);
    // A registration lapses after three check-in intervals of silence. The last check-in was up to one
    // interval before the outage.
    constexpr int intervals_until_lapse = 2;
    core.outages.min_length =
        duration{static_cast<std::int64_t>(settings.check_in_ms * 1e3)} * intervals_until_lapse;
    constexpr int intervals_of_silence = 3; // after which a registration lapses
    core.restores.rewrite_time =
        duration{static_cast<std::int64_t>(settings.check_in_ms * 1e3)} * intervals_of_silence +
        core.outages.return_time;
    core.max_buffered_bytes = memory_limits_of(settings).requests;
    core.max_response_bytes = std::min(core.max_response_bytes, core.max_buffered_bytes);
    core.retries.ratio = settings.repeat_ratio;
    core.retries.slack = settings.repeat_slack;
    core.retries.window = duration{static_cast<std::int64_t>(settings.repeat_window_s * 1e6)};
    // Each sender may burst one request, so the slack limits the number of senders.
    core.cold_limits.max_senders = static_cast<std::uint32_t>(std::max(1.0, settings.cold_slack));
    // Only half of the allowed rate is used: a router may count fewer senders than there are, and its share
    // of the rate is then too large.
    constexpr double rate_margin = 0.5;
    core.cold_limits.rate_share = settings.cold_overage * rate_margin;
    constexpr duration stop_margin = 400ms; // time to write out the last responses
    core.stop_timeout =
        std::max(stop_margin, duration{static_cast<std::int64_t>(settings.stop_limit_s * 1e6)} - stop_margin);
    // Requests that are accepted last must have the larger part of the time for themselves.
    constexpr double accept_share = 0.4;
    const auto stop_us = static_cast<double>(core.stop_timeout.count());
    core.stop_accept_time =
        std::min(core.stop_accept_time, duration{static_cast<std::int64_t>(accept_share * stop_us)});
    return core;
}

//-----------------------------------------------------------------------------
// [SECTION] Structured log
//-----------------------------------------------------------------------------

structured_log::structured_log(structured_log_settings settings)
    : settings_(settings), tokens_(settings.lines_per_s) {
    const int flags = fcntl(STDOUT_FILENO, F_GETFL);
    if (flags >= 0) fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
}

void structured_log::write(std::string_view name, std::string_view fields, bool essential, time_point now) {
    tokens_ =
        std::min(settings_.lines_per_s, tokens_ + to_seconds(now - refilled_at_) * settings_.lines_per_s);
    refilled_at_ = now;
    if ((!essential && tokens_ < 1.0) || buffer_.size() > settings_.buffer_limit) {
        ++dropped_;
        return;
    }
    if (!essential) tokens_ -= 1.0;
    buffer_.append("{\"t_ms\":").append(std::to_string(now.time_since_epoch() / 1ms));
    buffer_.append(",\"event\":\"").append(name).append("\"");
    if (!fields.empty()) buffer_.append(",").append(fields);
    if (dropped_ > reported_dropped_) buffer_.append(",\"dropped\":").append(std::to_string(dropped_));
    reported_dropped_ = dropped_;
    buffer_.append("}\n");
}

void structured_log::flush() {
    if (buffer_.empty()) return;
    const ssize_t sent = ::write(STDOUT_FILENO, buffer_.data(), buffer_.size());
    if (sent > 0) buffer_.erase(0, static_cast<std::size_t>(sent));
}

//-----------------------------------------------------------------------------
// [SECTION] Clock
//-----------------------------------------------------------------------------

time_point boot_clock() {
    timespec now{};
    clock_gettime(CLOCK_BOOTTIME, &now);
    return time_point{std::chrono::seconds{now.tv_sec} +
                      std::chrono::floor<duration>(std::chrono::nanoseconds{now.tv_nsec})};
}

} // namespace damaskhill
