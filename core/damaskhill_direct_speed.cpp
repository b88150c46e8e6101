// Index of this file:
// [SECTION] Estimates
// [SECTION] Samples
// [SECTION] Reports

#include "damaskhill_direct_internal.hpp"

#include <algorithm>
#include <cmath>

namespace damaskhill::direct {

//-----------------------------------------------------------------------------
// [SECTION] Estimates
//-----------------------------------------------------------------------------

bool is_engine_service(const router_state& state, std::string_view name) {
    const auto service = state.active_catalog->services.find(name);
    return service != state.active_catalog->services.end() && service->second.engine;
}

bool has_tight_streams(const router_state& state, std::string_view name) {
    const auto service = state.active_catalog->services.find(name);
    return service != state.active_catalog->services.end() && service->second.engine &&
           service->second.min_event_gap <= state.settings.tight_event_gap;
}

double fleet_tokens_per_second(const router_state& state) {
    const auto declared = static_cast<double>(state.active_catalog->tokens_per_second);
    double measured = 0;
    for (const auto& [service, work] : state.work_by_service) {
        const auto targets = state.targets_by_service.find(service);
        if (targets == state.targets_by_service.end()) continue;
        double prefill_ms_per_s = 0;
        for (const target_state* target : targets->second) {
            if (!is_available(state, *target)) continue;
            prefill_ms_per_s += 1000.0 * state.settings.engine.prefill_time_share /
                                slowdown_factor(target->load.slowdown, state.now);
        }
        measured += measured_tokens_per_second(work, prefill_ms_per_s, state.settings.capacity,
                                               state.settings.shares, state.now)
                        .value_or(0.0);
    }
    // Beyond the declared throughput, what accounts get depends on where engines have room, and the least
    // served ones fall behind. Without a declared one, the measured one holds as it is.
    constexpr double max_over_declared = 1.25;
    const double most = declared > 0 ? max_over_declared * declared : measured;
    return std::max(declared, std::min(measured, most));
}

service_speed& speed_of(router_state& state, const std::string& service) {
    const auto found = state.speeds.find(service);
    if (found != state.speeds.end()) return found->second;
    const engine_model_settings& settings =
        is_engine_service(state, service) ? state.settings.engine_model : state.settings.service_model;
    return state.speeds.emplace(service, service_speed{engine_model{settings}, settings.prior}).first->second;
}

//-----------------------------------------------------------------------------
// [SECTION] Samples
//-----------------------------------------------------------------------------

namespace {

// A prompt of common length; only the log compares estimates by it.
constexpr prefill_work reference_work{4000.0, 8.0};

void log_speed_change(const std::string& service, service_speed& speed, effects& out) {
    constexpr double min_change = 0.1; // relative
    const engine_speed& current = speed.model.speed();
    const double before = first_byte_ms(speed.logged, reference_work);
    const double after = first_byte_ms(current, reference_work);
    if (!speed.model.is_trusted() || std::abs(after - before) <= min_change * before) return;
    speed.logged = current;
    const auto number = [](double value) { return std::to_string(value); };
    out.emplace_back(log_event{"service_speed",
                               "\"service\":" + quoted(service) + ",\"base_ms\":" + number(current.base_ms) +
                                   ",\"ms_per_token\":" + number(current.ms_per_token) +
                                   ",\"ms_per_million_pairs\":" + number(current.ms_per_million_pairs) +
                                   ",\"samples\":" + number(speed.model.samples()),
                               true});
}

} // namespace

void record_speed_sample(router_state& state, const request& item, effects& out) {
    if (!item.measures_speed) return;
    service_speed& speed = speed_of(state, item.service);
    const double measured_ms = to_milliseconds(item.first_byte_delay);
    const double expected_ms = first_byte_ms(speed.model.speed(), item.predicted_work);
    if (target_state* target = find_target(state, item.target))
        add_slowdown_sample(target->load.slowdown, measured_ms, expected_ms, state.now);
    speed.model.add_sample(item.predicted_work, measured_ms, state.now);
    log_speed_change(item.service, speed, out);
}

//-----------------------------------------------------------------------------
// [SECTION] Reports
//-----------------------------------------------------------------------------

namespace {

constexpr double ns_per_ms = 1e6;

std::uint64_t to_ns(double ms) { return static_cast<std::uint64_t>(std::llround(ms * ns_per_ms)); }

double from_ns(std::uint64_t ns) { return static_cast<double>(ns) / ns_per_ms; }

} // namespace

void add_speed_rows(const router_state& state, router_report& report) {
    for (const auto& [service, speed] : state.speeds) {
        if (!speed.model.is_trusted()) continue;
        const engine_speed& estimate = speed.model.speed();
        report.speeds.push_back({stable_hash(service), to_ns(estimate.base_ms), to_ns(estimate.ms_per_token),
                                 to_ns(estimate.ms_per_million_pairs)});
    }
}

void adopt_speeds(router_state& state, const router_report& report) {
    if (report.speeds.empty() || !state.active_catalog) return;
    for (const auto& [service, declaration] : state.active_catalog->services) {
        engine_model& model = speed_of(state, service).model;
        if (model.is_trusted()) continue;
        const auto row = std::ranges::find(report.speeds, stable_hash(service), &speed_row::service);
        if (row == report.speeds.end()) continue;
        model.adopt({from_ns(row->base_ns), from_ns(row->ns_per_token), from_ns(row->ns_per_million_pairs)});
    }
}

} // namespace damaskhill::direct
