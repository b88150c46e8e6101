// Index of this file:
// [SECTION] Report handling
// [SECTION] Report sending
// [SECTION] Store readers
// [SECTION] Shared limits

#include "damaskhill_direct_internal.hpp"

#include <algorithm>
#include <cmath>

namespace damaskhill::direct {

//-----------------------------------------------------------------------------
// [SECTION] Report handling
//-----------------------------------------------------------------------------

std::uint64_t summary_id(std::string_view data_centre) { return stable_hash(data_centre, 1); }

namespace {

duration microseconds(std::uint64_t us) { return duration{static_cast<std::int64_t>(us)}; }

std::uint64_t to_us(time_point at) { return static_cast<std::uint64_t>(at.time_since_epoch().count()); }

bool is_live(const router_state& state, const peer_router& peer) {
    return peer.incarnation != 0 && state.now - peer.last_heard <= state.settings.peer_timeout;
}

bool is_neighbour(const router_state& state, const peer_router& peer) {
    return is_live(state, peer) && peer.data_centre == state.settings.data_centre;
}

bool is_live(const router_state& state, const data_centre_summary& summary) {
    return state.now - summary.last_heard <= state.settings.peer_timeout;
}

declarations_rank rank_in_force(const router_state& state) {
    return state.active_catalog ? state.active_catalog->declarations.rank : declarations_rank{};
}

// Confirms the catalog from a peer's report. The reported ages are counted back from the time at which this
// router sent the report that the peer echoes. The peer sent its report later than that, so the catalog
// cannot appear fresher than it is, whatever the network delay.
void apply_peer_confirmation(router_state& state, const router_report& report) {
    const auto echo = std::ranges::find(report.echoes, state.settings.incarnation, &echo_row::router);
    if (echo == report.echoes.end()) return;
    const time_point echoed_report_time{microseconds(echo->sent_us)};
    if (echoed_report_time > state.now) return;
    // The peer's catalog includes all operator changes up to its confirmed time, the latest of them at
    // `operator_changed_at`. Comparing the latest positions would be wrong: registrations of targets advance
    // that of a router whose watch of the declarations is stuck. A peer in another era has read another
    // history.
    const auto includes = [](const store_position& known_to, const store_position& changed_at) {
        return known_to.era == changed_at.era && changed_at <= known_to;
    };
    if (report.has_catalog && includes(state.operator_known_to, report.operator_changed_at) &&
        report.declarations <= rank_in_force(state))
        confirm_declarations(state, echoed_report_time - microseconds(report.catalog_age_us));
    if (report.targets_age_us > 0 && includes(state.targets_known_to, report.targets_changed_at))
        confirm_targets(state, echoed_report_time - microseconds(report.targets_age_us), report.address);
}

void apply_report_rows(router_state& state, std::uint64_t sender, const router_report& report) {
    // A target without a row runs no request of the sender.
    for (auto& [id, target] : state.targets)
        clear_peer_load(target.load, sender);
    for (const target_load_row& row : report.targets) {
        const auto found = state.target_by_hash.find(row.target);
        if (found == state.target_by_hash.end()) continue;
        target_state* const target = found->second;
        const std::uint64_t growth =
            apply_peer_load(target->load, state.settings.engine, sender,
                            {row.running, row.kv_tokens, row.prompt_ms_total}, state.now);
        if (!report.is_summary) target->load.peer_prompt_ms_total += growth;
    }
    std::unordered_map<std::uint64_t, account_usage> usage;
    for (const account_usage_row& row : report.accounts)
        usage[row.account] = {static_cast<double>(row.requested), static_cast<double>(row.dispatched)};
    state.shares.set_peer(sender, std::move(usage), state.now);
}

void remove_router_load(router_state& state, std::uint64_t sender) {
    for (auto& [id, target] : state.targets)
        remove_peer_load(target.load, sender);
}

constexpr duration min_snapshot_interval = 300ms; // between two snapshot requests

/// Requests the sender's snapshot of the store if it has newer declarations, or newer targets while this
/// router cannot reach the store.
void request_newer_snapshot(router_state& state, const router_report& report, effects& out) {
    if (!report.has_catalog) return;
    const bool lacks_declarations =
        report.operator_changed_at > state.operator_known_to || report.declarations > rank_in_force(state);
    // A router that reads the store learns of targets there. The copy of a router in the same data centre is
    // the cheaper one while any is in reach.
    const auto relies_on_sender = [&] {
        return !state.store_up ||
               (report.data_centre == state.settings.data_centre && !plan_store_read(state, state.now).read);
    };
    const bool lacks_targets = report.targets_changed_at > state.targets_known_to && relies_on_sender();
    if (!lacks_declarations && !lacks_targets) return;
    if (state.now - state.snapshot_requested_at < min_snapshot_interval) return;
    state.snapshot_requested_at = state.now;
    out.emplace_back(fetch_snapshot{report.snapshot_address});
}

void add_peer_addresses(router_state& state, const router_report& report) {
    for (const router_row& row : report.routers) {
        if (row.address == state.settings.report_address) continue;
        peer_router& peer = state.peers[row.address];
        if (peer.data_centre.empty()) peer.data_centre = row.data_centre;
    }
}

/// Stores the summary of another data centre, received from its relay or forwarded by the local one.
void on_summary(router_state& state, const router_report& report) {
    if (report.data_centre == state.settings.data_centre) return;
    data_centre_summary& summary = state.summaries[report.data_centre];
    const bool relay_changed = summary.last_report.router != report.router;
    if (!relay_changed && report.sent_us <= summary.last_report.sent_us) return;
    // Each relay counts its totals from a start of its own, so those of two relays cannot be compared.
    if (relay_changed) remove_router_load(state, summary_id(report.data_centre));
    summary.last_heard = state.now;
    summary.last_report = report;
    summary.must_forward = !report.relayed;
    apply_report_rows(state, summary_id(report.data_centre), report);
}

std::shared_ptr<const router_report> make_report(router_state& state, bool all_routers);
std::vector<std::string> live_neighbours(const router_state& state);
bool is_relay(const router_state& state, std::span<const std::string> neighbours);

void on_router_report(router_state& state, const router_report& report, effects& out) {
    peer_router& peer = state.peers[report.address];
    const bool new_incarnation = peer.incarnation != report.router;
    if (new_incarnation) {
        remove_router_load(state, peer.incarnation);
        peer = {};
        peer.incarnation = report.router;
        out.emplace_back(log_event{"router_heard", "\"address\":" + quoted(report.address), true});
        // Reply at once, so that the new peer learns of all routers.
        out.emplace_back(send_report{{report.address}, make_report(state, true)});
    }
    if (report.sent_us < peer.last_report.sent_us) return; // arrived out of order
    peer.last_heard = state.now;
    peer.data_centre = report.data_centre;
    peer.last_report = report;
    if (report.data_centre == state.settings.data_centre) apply_report_rows(state, report.router, report);
}

} // namespace

namespace {

/// Applies the row of a large prompt that another router has just sent. Within a data centre the sender's
/// total tells what its next report repeats; from others only summaries come.
void on_announcement(router_state& state, const router_report& report) {
    if (report.targets.size() != 1) return;
    const target_load_row& row = report.targets.front();
    const auto found = state.target_by_hash.find(row.target);
    if (found == state.target_by_hash.end()) return;
    target_load& load = found->second->load;
    if (report.data_centre != state.settings.data_centre) {
        constexpr std::uint64_t max_announced_ms = 60'000; // bounds the effect of a malformed row
        const auto ms = static_cast<double>(std::min(report.announced_ms, max_announced_ms));
        add_announced_work(load, state.settings.engine, summary_id(report.data_centre), ms, state.now);
        return;
    }
    const auto peer = state.peers.find(report.address);
    const bool is_newer = peer != state.peers.end() && peer->second.incarnation == report.router &&
                          report.sent_us >= peer->second.last_report.sent_us;
    if (!is_newer) return;
    load.peer_prompt_ms_total +=
        apply_peer_load(load, state.settings.engine, report.router,
                        {row.running, row.kv_tokens, row.prompt_ms_total}, state.now);
}

} // namespace

void on_report(router_state& state, const router_report& report, effects& out) {
    if (report.router == state.settings.incarnation) return;
    if (report.is_announcement) {
        on_announcement(state, report);
        return;
    }
    if (report.duty) {
        on_duty_report(state, report);
        return;
    }
    apply_duty_fields(state, report, out);
    add_peer_addresses(state, report);
    adopt_speeds(state, report);
    apply_notice_rows(state, report, out);
    // A crash is passed on at once: copies of the request, and others with the same prompt part, are arriving
    // everywhere.
    if (apply_suspect_rows(state, report, out) && is_relay(state, live_neighbours(state)))
        state.next_report = state.now;
    if (report.is_summary) {
        on_summary(state, report);
        if (report.relayed) return;
        // A summary also proves that its relay is alive.
        const auto sender = state.peers.find(report.address);
        if (sender != state.peers.end() && sender->second.incarnation == report.router)
            sender->second.last_heard = state.now;
    } else {
        on_router_report(state, report, out);
    }
    if (apply_rollout_rows(state, report, out) && is_relay(state, live_neighbours(state)))
        state.next_report = state.now;
    apply_peer_confirmation(state, report);
    request_newer_snapshot(state, report, out);
}

//-----------------------------------------------------------------------------
// [SECTION] Report sending
//-----------------------------------------------------------------------------

namespace {

void remove_silent_routers(router_state& state, effects& out) {
    for (auto& [address, peer] : state.peers) {
        if (peer.incarnation == 0 || is_live(state, peer)) continue;
        // Routers of other data centres send direct reports only occasionally.
        if (peer.data_centre == state.settings.data_centre) {
            remove_router_load(state, peer.incarnation);
            out.emplace_back(log_event{"router_lost", "\"address\":" + quoted(address), true});
            peer.incarnation = 0;
        }
    }
    for (auto& [data_centre, summary] : state.summaries) {
        if (!is_live(state, summary)) remove_router_load(state, summary_id(data_centre));
    }
    std::erase_if(state.peers, [&](const auto& item) {
        return item.second.last_heard != time_point{} &&
               state.now - item.second.last_heard > state.settings.shared_limit_peer_timeout;
    });
}

void add_routers(const router_state& state, router_report& report, bool all) {
    report.routers.push_back({state.settings.report_address, state.settings.data_centre});
    for (const auto& [address, peer] : state.peers) {
        // A router in a data centre without a seed is discovered only through the routers that it has probed.
        const bool included = all ? is_live(state, peer) : is_neighbour(state, peer);
        if (included) report.routers.push_back({address, peer.data_centre});
    }
    if (!all) return;
    for (const auto& [data_centre, summary] : state.summaries)
        report.routers.insert(report.routers.end(), summary.last_report.routers.begin(),
                              summary.last_report.routers.end());
    // Routers that are also heard directly appear twice.
    const auto same_address = [](const router_row& a, const router_row& b) { return a.address == b.address; };
    std::ranges::sort(report.routers, {}, &router_row::address);
    report.routers.erase(std::unique(report.routers.begin(), report.routers.end(), same_address),
                         report.routers.end());
}

void add_identity(const router_state& state, router_report& report) {
    report.router = state.settings.incarnation;
    report.address = state.settings.report_address;
    report.data_centre = state.settings.data_centre;
    report.snapshot_address = state.settings.snapshot_address;
    report.sent_us = to_us(state.now);
    report.operator_changed_at = state.operator_changed_at;
    report.operator_changed_revision = state.operator_changed_at.revision;
    report.targets_changed_at = state.targets_changed_at;
    report.targets_changed_revision = state.targets_changed_at.revision;
    report.declarations = rank_in_force(state);
    const auto age = catalog_age(state.freshness, state.now);
    report.has_catalog = age.has_value() && state.active_catalog;
    report.catalog_age_us = age ? static_cast<std::uint64_t>(std::max<std::int64_t>(0, age->count())) : 0;
    if (const auto targets_age = catalog_age(state.targets_freshness, state.now))
        report.targets_age_us = static_cast<std::uint64_t>(std::max<std::int64_t>(1, targets_age->count()));
    report.stopping = state.stopping;
    report.overloaded = state.overloaded;
    report.store_unreachable = !state.store_up;
    add_duty_fields(state, report);
    add_speed_rows(state, report);
    for (const auto& [address, peer] : state.peers) {
        if (peer.incarnation != 0) report.echoes.push_back({peer.incarnation, peer.last_report.sent_us});
    }
}

std::shared_ptr<const router_report> make_report(router_state& state, bool all_routers) {
    auto report = std::make_shared<router_report>();
    add_identity(state, *report);
    add_routers(state, *report, all_routers);
    for (const auto& [id, target] : state.targets) {
        if (target.load.running == 0 && target.load.prompt_ms_total == 0) continue;
        report->targets.push_back(
            {target.hash, target.load.running, target.load.kv_tokens, target.load.prompt_ms_total});
    }
    for (const auto& [account, usage] : state.shares.own_usage(state.now)) {
        report->accounts.push_back({account, static_cast<std::uint32_t>(usage.requested),
                                    static_cast<std::uint32_t>(usage.dispatched)});
    }
    add_rollout_rows(state, *report);
    add_suspect_rows(state, *report);
    add_notice_rows(state, *report);
    return report;
}

/// Sums of the rows of several reports.
struct report_sums {
    std::map<std::uint64_t, target_load_row> targets;
    std::map<std::uint64_t, account_usage_row> accounts;
    std::vector<engine_crash_row> engine_crashes;
    std::map<std::uint64_t, acquittal_row> acquittals;
    std::map<std::uint64_t, quarantine_row> quarantines;
    std::map<std::uint64_t, target_notice_row> notices; // the latest of each target

    void add(const router_report& report) {
        for (const target_load_row& row : report.targets) {
            target_load_row& sum = targets[row.target];
            sum = {row.target, sum.running + row.running, sum.kv_tokens + row.kv_tokens,
                   sum.prompt_ms_total + row.prompt_ms_total};
        }
        for (const account_usage_row& row : report.accounts) {
            account_usage_row& sum = accounts[row.account];
            sum = {row.account, sum.requested + row.requested, sum.dispatched + row.dispatched};
        }
        engine_crashes.insert(engine_crashes.end(), report.engine_crashes.begin(),
                              report.engine_crashes.end());
        for (const acquittal_row& row : report.acquittals)
            acquittals.try_emplace(row.part, row);
        for (const quarantine_row& row : report.quarantines)
            quarantines.try_emplace(row.part, row);
        for (const target_notice_row& row : report.notices)
            add_notice(row);
    }
    void add_notice(const target_notice_row& row) {
        const auto [found, is_new] = notices.try_emplace(row.target, row);
        target_notice_row& sum = found->second;
        const bool leaving = sum.leaving || row.leaving;
        const bool is_later =
            row.has_limit_news && (!sum.has_limit_news || row.age_us < sum.age_us) && row.boot >= sum.boot;
        if (!is_new && is_later) sum = row;
        sum.leaving = leaving;
    }
};

std::shared_ptr<const router_report> make_summary(router_state& state, const router_report& own) {
    report_sums sums;
    sums.add(own);
    for (const auto& [address, peer] : state.peers) {
        if (is_neighbour(state, peer)) sums.add(peer.last_report);
    }
    // A sum of the neighbours' totals would change whenever a neighbour is lost or found, and each increase
    // would look like new work. The relay therefore sends the growth of their totals that it has observed.
    for (auto& [hash, row] : sums.targets) {
        const auto target = state.target_by_hash.find(hash);
        row.prompt_ms_total =
            target == state.target_by_hash.end()
                ? 0
                : target->second->load.prompt_ms_total + target->second->load.peer_prompt_ms_total;
    }
    auto summary = std::make_shared<router_report>();
    add_identity(state, *summary);
    add_routers(state, *summary, false);
    summary->is_summary = true;
    add_rollout_rows(state, *summary);
    const auto values = [](const auto& from, auto& to) {
        for (const auto& [key, row] : from)
            to.push_back(row);
    };
    values(sums.targets, summary->targets);
    values(sums.accounts, summary->accounts);
    values(sums.acquittals, summary->acquittals);
    values(sums.quarantines, summary->quarantines);
    values(sums.notices, summary->notices);
    summary->engine_crashes = std::move(sums.engine_crashes);
    limit_suspect_rows(state.settings.suspects, state.announced_in_summary, *summary);
    return summary;
}

std::vector<std::string> live_neighbours(const router_state& state) {
    std::vector<std::string> addresses;
    for (const auto& [address, peer] : state.peers) {
        if (is_neighbour(state, peer)) addresses.push_back(address);
    }
    return addresses;
}

/// The relay of a data centre is its live router with the lowest address.
bool is_relay(const router_state& state, std::span<const std::string> neighbours) {
    return !state.stopping && std::ranges::none_of(neighbours, [&](const std::string& address) {
        const peer_router& peer = state.peers.find(address)->second;
        return !peer.last_report.stopping && address < state.settings.report_address;
    });
}

/// Probable relay of each other data centre: the sender of its last summary, or else the lowest known
/// address.
std::vector<std::string> remote_relays(const router_state& state) {
    std::map<std::string, std::string, std::less<>> lowest_addresses;
    for (const auto& [address, peer] : state.peers) {
        if (!peer.data_centre.empty() && peer.data_centre != state.settings.data_centre)
            lowest_addresses.try_emplace(peer.data_centre, address);
    }
    std::set<std::string> addresses;
    for (const auto& [data_centre, address] : lowest_addresses) {
        const auto summary = state.summaries.find(data_centre);
        const bool heard = summary != state.summaries.end() && is_live(state, summary->second);
        addresses.insert(heard && !summary->second.last_report.relayed ? summary->second.last_report.address
                                                                       : address);
    }
    return {addresses.begin(), addresses.end()};
}

void forward_summaries(router_state& state, const std::vector<std::string>& neighbours, effects& out) {
    for (auto& [data_centre, summary] : state.summaries) {
        if (!summary.must_forward) continue;
        summary.must_forward = false;
        auto copy = std::make_shared<router_report>(summary.last_report);
        copy->relayed = true;
        out.emplace_back(send_report{neighbours, std::move(copy)});
    }
}

/// Discovery: reports to addresses that get no regular reports, namely all silent routers of this data centre
/// and one random router of another data centre.
void send_probes(router_state& state, std::span<const std::string> neighbours, effects& out) {
    for (const std::string& seed : state.settings.seeds) {
        if (seed != state.settings.report_address) state.peers.try_emplace(seed);
    }
    if (state.now < state.next_probe) return;
    constexpr duration eager_probing_time = 3s; // after the start of the process
    const bool eager_probing = state.now - state.started < eager_probing_time;
    state.next_probe =
        state.now + (eager_probing ? state.settings.probe_period / 4 : state.settings.probe_period);
    std::vector<std::string> probed;
    std::vector<std::string> remote;
    for (const auto& [address, peer] : state.peers) {
        if (std::ranges::find(neighbours, address) != neighbours.end()) continue;
        const bool is_local = peer.data_centre == state.settings.data_centre || peer.data_centre.empty();
        (is_local ? probed : remote).push_back(address);
    }
    if (!remote.empty()) probed.push_back(remote[state.random.next() % remote.size()]);
    if (!probed.empty()) out.emplace_back(send_report{std::move(probed), make_report(state, true)});
}

} // namespace

void announce_attempt(router_state& state, const request& item, const target_state& target, double prefill_ms,
                      effects& out) {
    if (!has_tight_streams(state, item.service)) return;
    const service_declaration& service = state.active_catalog->services.find(item.service)->second;
    const double min_ms =
        state.settings.announcements.min_latency_share * to_milliseconds(service.min_target_latency);
    if (prefill_ms < min_ms) return;
    std::vector<std::string> addresses;
    for (const auto& [address, peer] : state.peers)
        addresses.push_back(address);
    if (addresses.empty() || !try_take_announcement(state.announcements, state.settings.announcements,
                                                    addresses.size() + 1, state.now))
        return;
    auto report = std::make_shared<router_report>();
    report->router = state.settings.incarnation;
    report->address = state.settings.report_address;
    report->data_centre = state.settings.data_centre;
    report->sent_us = to_us(state.now);
    report->is_announcement = true;
    report->announced_ms = static_cast<std::uint64_t>(std::ceil(prefill_ms));
    report->targets.push_back(
        {target.hash, target.load.running, target.load.kv_tokens, target.load.prompt_ms_total});
    out.emplace_back(count{"announcements_total", item.service, 1});
    out.emplace_back(send_report{std::move(addresses), std::move(report)});
}

void send_reports(router_state& state, effects& out) {
    remove_silent_routers(state, out);
    const std::vector<std::string> neighbours = live_neighbours(state);
    state.last_report = state.now;
    state.next_report = state.now + state.settings.report_period +
                        state.settings.report_period_per_router * static_cast<int>(neighbours.size());
    const auto own = make_report(state, false);
    if (!neighbours.empty()) out.emplace_back(send_report{neighbours, own});
    if (is_relay(state, neighbours)) {
        const auto relays = remote_relays(state);
        if (!relays.empty()) out.emplace_back(send_report{relays, make_summary(state, *own)});
        forward_summaries(state, neighbours, out);
    }
    send_probes(state, neighbours, out);
}

//-----------------------------------------------------------------------------
// [SECTION] Store readers
//-----------------------------------------------------------------------------

// Store calls are billed, and each router that watches the store costs as many as any other. A few routers of
// each data centre therefore read it, by rendezvous, and pass on what they know together with its age. A
// router whose declarations or targets nobody confirms in time reads the store itself, so that the limits on
// age hold without the readers.
store_read_plan plan_store_read(const router_state& state, time_point now) {
    const store_read_plan read_for_itself{true, duration::max(), state.settings.own_read_wait};
    const auto is_due = [&](const catalog_freshness& freshness, duration max_age) {
        const auto age = catalog_age(freshness, now);
        return !age || static_cast<double>(age->count()) >
                           static_cast<double>(max_age.count()) * state.settings.own_read_age_share;
    };
    const freshness_settings& limits = state.settings.freshness;
    if (!state.active_catalog || is_due(state.freshness, limits.max_ready_age) ||
        is_due(state.targets_freshness, limits.max_targets_age))
        return read_for_itself;
    constexpr std::uint64_t reader_seed = 0x72656164;
    const std::uint64_t own_weight = stable_hash(state.settings.report_address, reader_seed);
    std::size_t neighbours = 0;
    std::size_t before = 0;
    for (const auto& [address, peer] : state.peers) {
        if (peer.incarnation == 0 || peer.data_centre != state.settings.data_centre ||
            now - peer.last_heard > state.settings.peer_timeout)
            continue;
        ++neighbours;
        const router_report& report = peer.last_report;
        const bool can_read =
            report.has_catalog && !report.stopping && !report.overloaded && !report.store_unreachable;
        if (can_read && stable_hash(address, reader_seed) > own_weight) ++before;
    }
    if (before >= state.settings.store_readers) return {false};
    if (neighbours < state.settings.store_readers) return read_for_itself;
    return {true, state.settings.shared_read_wait, state.settings.shared_read_wait};
}

//-----------------------------------------------------------------------------
// [SECTION] Shared limits
//-----------------------------------------------------------------------------

std::size_t routers_for_limits(const router_state& state) {
    const auto is_counted = [&](time_point heard) {
        return heard != time_point{} && state.now - heard <= state.settings.shared_limit_peer_timeout;
    };
    std::size_t routers = 1;
    for (const auto& [address, peer] : state.peers) {
        if (peer.data_centre == state.settings.data_centre && is_counted(peer.last_heard)) ++routers;
    }
    for (const auto& [data_centre, summary] : state.summaries) {
        if (is_counted(summary.last_heard)) routers += summary.last_report.routers.size();
    }
    // A router that has just started has not heard its peers yet; count the seeds instead.
    return std::max(routers, state.settings.seeds.size() + 1);
}

std::size_t rank_for_target(const router_state& state, std::uint64_t target_hash) {
    const auto weight = [&](std::string_view address) { return stable_hash(address, target_hash); };
    const std::uint64_t own = weight(state.settings.report_address);
    std::size_t rank = 0;
    for (const auto& [address, peer] : state.peers) {
        if (is_neighbour(state, peer) && !peer.last_report.stopping && weight(address) > own) ++rank;
    }
    for (const auto& [data_centre, summary] : state.summaries) {
        if (!is_live(state, summary)) continue;
        for (const router_row& row : summary.last_report.routers)
            rank += weight(row.address) > own ? 1 : 0;
    }
    return rank;
}

bool is_lowest_router(const router_state& state) {
    bool is_lowest = is_relay(state, live_neighbours(state));
    for (const auto& [data_centre, summary] : state.summaries) {
        if (is_live(state, summary))
            is_lowest = is_lowest && state.settings.report_address < summary.last_report.address;
    }
    return is_lowest;
}

} // namespace damaskhill::direct
