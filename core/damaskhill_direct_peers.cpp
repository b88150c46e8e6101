// Index of this file:
// [SECTION] Reports
// [SECTION] Shared limits
// [SECTION] Version moves

#include "damaskhill_direct_internal.hpp"

#include <algorithm>
#include <cmath>

namespace damaskhill::direct {

//-----------------------------------------------------------------------------
// [SECTION] Reports
//-----------------------------------------------------------------------------

namespace {

duration since_epoch_of(std::uint64_t us) { return duration{static_cast<std::int64_t>(us)}; }

std::uint64_t to_us(time_point at) { return static_cast<std::uint64_t>(at.time_since_epoch().count()); }

// A peer's belief counts from the time of this router's own report that the peer had when it sent its age:
// the peer sent later than that, so its belief is no older than this says, whatever the network did.
void take_belief(router_state& state, const router_report& report) {
    if (!report.believes || report.echo_us == 0 || report.store_revision > state.store_revision) return;
    // A peer with an older copy says nothing about changes since then.
    if (report.store_revision < state.store_revision) return;
    const time_point asked{since_epoch_of(report.echo_us)};
    if (asked > state.now) return;
    confirm(state.held, asked - since_epoch_of(report.belief_age_us));
}

void take_rows(router_state& state, const router_report& report) {
    for (const target_load_row& row : report.targets) {
        const auto id = state.target_by_hash.find(row.target);
        target_state* target = id == state.target_by_hash.end() ? nullptr : find_target(state, id->second);
        if (target == nullptr) continue;
        take_peer_load(target->load, state.settings.engine, report.router,
                       {row.running, row.kv_tokens, row.prompt_ms_total}, state.now);
    }
    std::unordered_map<std::uint64_t, account_usage> usage;
    for (const account_usage_row& row : report.accounts)
        usage[row.account] = {static_cast<double>(row.asked), static_cast<double>(row.served)};
    state.shares.set_peer(report.router, std::move(usage), state.now);
}

void forget_router_load(router_state& state, std::uint64_t incarnation) {
    for (auto& [id, target] : state.targets)
        target.load.peers.erase(incarnation);
}

constexpr duration snapshot_period = 300ms; // between two fetches of peers' copies

void fetch_newer_copy(router_state& state, const router_report& report, effects& out) {
    if (!report.believes || report.store_revision <= state.store_revision) return;
    if (state.store_up || state.now - state.snapshot_asked < snapshot_period) return;
    state.snapshot_asked = state.now;
    out.emplace_back(fetch_snapshot{report.snapshot_address});
}

} // namespace

void on_report(router_state& state, const router_report& report, effects& out) {
    if (report.router == state.settings.incarnation) return;
    peer_router& peer = state.peers[report.address];
    if (peer.incarnation != report.router) {
        forget_router_load(state, peer.incarnation);
        peer = {};
        peer.incarnation = report.router;
        out.emplace_back(log_event{"router_heard", "\"address\":" + quoted(report.address), true});
    }
    if (report.sent_us < peer.last_sent_us) return; // overtaken by a later report
    peer.heard = state.now;
    peer.last_sent_us = report.sent_us;
    peer.snapshot_address = report.snapshot_address;
    peer.store_revision = report.store_revision;
    peer.stopping = report.stopping;
    peer.versions = report.versions;
    peer.crashes = report.crashes;
    for (const std::string& address : report.routers) {
        if (address != state.settings.report_address) state.peers.try_emplace(address);
    }
    take_rows(state, report);
    take_belief(state, report);
    fetch_newer_copy(state, report, out);
}

namespace {

bool is_live(const router_state& state, const peer_router& peer) {
    return peer.heard != time_point{} && state.now - peer.heard <= state.settings.peer_limit;
}

void forget_silent_routers(router_state& state, effects& out) {
    for (auto& [address, peer] : state.peers) {
        if (peer.incarnation == 0 || is_live(state, peer)) continue;
        forget_router_load(state, peer.incarnation);
        out.emplace_back(log_event{"router_lost", "\"address\":" + quoted(address), true});
        peer.incarnation = 0;
    }
    std::erase_if(state.peers, [&](const auto& item) {
        return item.second.heard != time_point{} &&
               state.now - item.second.heard > state.settings.budget_memory;
    });
}

router_report report_of(const router_state& state) {
    router_report report;
    report.router = state.settings.incarnation;
    report.address = state.settings.report_address;
    report.snapshot_address = state.settings.snapshot_address;
    report.store_revision = state.store_revision;
    const auto age = age_of(state.held, state.now);
    report.believes = age.has_value() && state.known;
    report.belief_age_us = age ? static_cast<std::uint64_t>(std::max<std::int64_t>(0, age->count())) : 0;
    report.stopping = state.stopping;
    for (const auto& [address, peer] : state.peers) {
        if (is_live(state, peer)) report.routers.push_back(address);
    }
    for (const auto& [id, target] : state.targets) {
        if (target.load.running == 0 && target.load.prompt_ms_total == 0) continue;
        report.targets.push_back(
            {target.hash, target.load.running, target.load.kv_tokens, target.load.prompt_ms_total});
    }
    for (const auto& [account, usage] : state.shares.own_usage(state.now)) {
        report.accounts.push_back({account, static_cast<std::uint32_t>(usage.asked),
                                   static_cast<std::uint32_t>(usage.served)});
    }
    for (const auto& [hash, crashes] : state.crashes)
        report.crashes.push_back({hash, crashes});
    for (const auto& [service, progress] : state.rollouts) {
        const auto order = state.known->rollouts.find(service);
        if (order == state.known->rollouts.end()) continue;
        const auto add = [&](bool is_new, const version_counts& counts) {
            report.versions.push_back(
                {order->second.revision, is_new, counts.answers, counts.failures, counts.latency_ms_total});
        };
        add(true, progress.on_new);
        add(false, progress.on_old);
    }
    return report;
}

} // namespace

void send_reports(router_state& state, effects& out) {
    forget_silent_routers(state, out);
    for (const std::string& seed : state.settings.seeds) {
        if (seed != state.settings.report_address) state.peers.try_emplace(seed);
    }
    state.next_report = state.now + state.settings.report_period +
                        state.settings.report_per_router * static_cast<int>(state.peers.size());
    if (state.peers.empty()) return;
    router_report report = report_of(state);
    report.sent_us = to_us(state.now);
    for (const auto& [address, peer] : state.peers) {
        // Addresses from which nothing is heard are tried at a tenth of the rate.
        constexpr std::uint64_t quiet_share = 10;
        if (!is_live(state, peer) && state.random.next() % quiet_share != 0) continue;
        report.echo_us = peer.last_sent_us;
        out.emplace_back(send_report{address, report});
    }
}

//-----------------------------------------------------------------------------
// [SECTION] Shared limits
//-----------------------------------------------------------------------------

std::size_t routers_for_limits(const router_state& state) {
    std::size_t routers = 1;
    for (const auto& [address, peer] : state.peers) {
        if (peer.heard != time_point{} && state.now - peer.heard <= state.settings.budget_memory) ++routers;
    }
    // A router that has just started has not heard the others yet: it counts its seeds.
    return std::max(routers, state.settings.seeds.size() + 1);
}

std::size_t rank_for_target(const router_state& state, std::uint64_t target_hash) {
    const auto weight = [&](std::string_view address) { return stable_hash(address, target_hash); };
    const std::uint64_t own = weight(state.settings.report_address);
    std::size_t rank = 0;
    for (const auto& [address, peer] : state.peers) {
        if (is_live(state, peer) && !peer.stopping && weight(address) > own) ++rank;
    }
    return rank;
}

std::uint32_t crashes_everywhere(const router_state& state, std::uint64_t poison_hash) {
    const auto own = state.crashes.find(poison_hash);
    std::uint32_t sum = own == state.crashes.end() ? 0 : own->second;
    for (const auto& [address, peer] : state.peers) {
        for (const crash_row& row : peer.crashes) {
            if (row.request == poison_hash) sum += row.crashes;
        }
    }
    return sum;
}

//-----------------------------------------------------------------------------
// [SECTION] Version moves
//-----------------------------------------------------------------------------

namespace {

struct rollout_evidence {
    version_counts on_new;
    version_counts on_old;
};

void add_counts(version_counts& sum, const version_counts& more) {
    sum.answers += more.answers;
    sum.failures += more.failures;
    sum.latency_ms_total += more.latency_ms_total;
}

rollout_evidence evidence_of(const router_state& state, const rollout_progress& own,
                             const rollout_order& order) {
    rollout_evidence sum{own.on_new, own.on_old};
    for (const auto& [address, peer] : state.peers) {
        for (const version_row& row : peer.versions) {
            if (row.order != order.revision) continue;
            add_counts(row.is_new ? sum.on_new : sum.on_old,
                       {row.answers, row.failures, row.latency_ms_total});
        }
    }
    return sum;
}

double failure_rate(const version_counts& counts) {
    return counts.answers == 0 ? 0.0 : static_cast<double>(counts.failures) / counts.answers;
}

double mean_latency_ms(const version_counts& counts) {
    const std::uint32_t good = counts.answers - counts.failures;
    return good == 0 ? 0.0 : static_cast<double>(counts.latency_ms_total) / good;
}

// A version is bad if it fails clearly more often than the old one, or answers several times slower.
constexpr std::uint32_t least_answers = 12;
constexpr double failure_margin = 0.12;
constexpr double slow_factor = 2.5;
constexpr double slow_floor_ms = 40;

bool is_bad(const rollout_evidence& evidence) {
    if (evidence.on_new.answers < least_answers) return false;
    if (failure_rate(evidence.on_new) > failure_rate(evidence.on_old) + failure_margin) return true;
    const double old_ms = mean_latency_ms(evidence.on_old);
    return old_ms > 0 && mean_latency_ms(evidence.on_new) > slow_factor * old_ms + slow_floor_ms;
}

// Part of the time limit after which the new version gets all traffic if it has proved good.
constexpr double canary_part = 0.45;
constexpr double complete_part = 0.75;
constexpr double canary_share = 0.06; // below the exposure that is allowed to a bad version
constexpr duration write_period = 700ms;

double part_of(const router_state& state, const rollout_progress& progress, const rollout_order& order) {
    return order.time_limit > 0s ? to_seconds(state.now - progress.seen) / to_seconds(order.time_limit) : 0.0;
}

const rollout_status* current_status(const router_state& state, const rollout_order& order) {
    const auto status = state.known->rollout_states.find(order.service);
    // A status that was written before the order belongs to an earlier one.
    if (status == state.known->rollout_states.end() || status->second.revision < order.revision) return nullptr;
    return status->second.version == order.version ? &status->second : nullptr;
}

bool drives(const router_state& state) {
    const auto first = std::ranges::find_if(
        state.peers, [&](const auto& item) { return is_live(state, item.second) && !item.second.stopping; });
    return first == state.peers.end() || state.settings.report_address < first->first;
}

} // namespace

void note_version_answer(router_state& state, const request& item, const target_state& target, bool failed) {
    if (!state.known) return;
    const auto order = state.known->rollouts.find(target.entry.service);
    if (order == state.known->rollouts.end()) return;
    const auto progress = state.rollouts.find(target.entry.service);
    if (progress == state.rollouts.end()) return;
    version_counts& counts =
        target.entry.version == order->second.version ? progress->second.on_new : progress->second.on_old;
    ++counts.answers;
    if (failed) {
        ++counts.failures;
    } else {
        counts.latency_ms_total += static_cast<std::uint64_t>(to_milliseconds(state.now - item.sent_at));
    }
}

double version_share(const router_state& state, std::string_view service, std::string_view version) {
    if (!state.known) return 1.0;
    const auto order = state.known->rollouts.find(service);
    if (order == state.known->rollouts.end()) return 1.0;
    const rollout_status* status = current_status(state, order->second);
    const bool is_new = order->second.version == version;
    if (status != nullptr && status->phase != rollout_phase::running)
        return (status->phase == rollout_phase::completed) == is_new ? 1.0 : 0.0;
    const auto progress = state.rollouts.find(service);
    if (progress == state.rollouts.end()) return is_new ? 0.0 : 1.0;
    const rollout_evidence evidence = evidence_of(state, progress->second, order->second);
    if (is_bad(evidence)) return is_new ? 0.0 : 1.0;
    const bool proven = evidence.on_new.answers >= least_answers;
    const double part = part_of(state, progress->second, order->second);
    const double share =
        !proven || part < canary_part
            ? canary_share
            : std::min(1.0, canary_share + (part - canary_part) / (complete_part - canary_part));
    return is_new ? share : 1.0 - share;
}

void drive_rollouts(router_state& state, effects& out) {
    if (!state.known) return;
    std::erase_if(state.rollouts, [&](const auto& item) { return !state.known->rollouts.contains(item.first); });
    for (const auto& [service, order] : state.known->rollouts) {
        const auto [found, fresh] = state.rollouts.try_emplace(service);
        rollout_progress& progress = found->second;
        if (fresh) progress.seen = state.now;
        const rollout_status* status = current_status(state, order);
        if (status != nullptr && status->phase != rollout_phase::running) continue;
        if (!drives(state) || !state.store_up || state.now < progress.next_write) continue;
        rollout_phase phase = rollout_phase::running;
        const rollout_evidence evidence = evidence_of(state, progress, order);
        if (is_bad(evidence)) {
            phase = rollout_phase::rolled_back;
        } else if (part_of(state, progress, order) >= complete_part && evidence.on_new.answers >= least_answers) {
            phase = rollout_phase::completed;
        }
        if (status != nullptr && phase == rollout_phase::running) continue;
        progress.next_write = state.now + write_period;
        const auto written = state.known->rollout_states.find(service);
        const std::uint64_t expected =
            written == state.known->rollout_states.end() ? 0 : written->second.revision;
        out.emplace_back(write_rollout_status{service, {order.version, phase, 0}, expected});
        out.emplace_back(log_event{"rollout",
                                   "\"service\":" + quoted(service) + ",\"version\":" + quoted(order.version) +
                                       ",\"phase\":" + std::to_string(static_cast<int>(phase)) +
                                       ",\"answers\":" + std::to_string(evidence.on_new.answers) +
                                       ",\"failures\":" + std::to_string(evidence.on_new.failures),
                                   true});
    }
}

} // namespace damaskhill::direct
