// Index of this file:
// [SECTION] Facts
// [SECTION] Stamps
// [SECTION] Evidence
// [SECTION] Time

#include "damaskhill_router_internal.hpp"

#include <algorithm>

namespace damaskhill::detail {

//-----------------------------------------------------------------------------
// [SECTION] Facts
//-----------------------------------------------------------------------------

facts all_facts(const router_state& state) {
    facts all;
    all.condemned.assign(state.condemned.begin(), state.condemned.end());
    for (const auto& [hash, record] : state.crashes.records)
        all.crashes.push_back(record);
    return all;
}

namespace {

void tell_facts(router_state& state, const facts& news, link_id except, effects& out) {
    state.facts_dirty = true;
    for (const auto& [link, p] : state.members.peers) {
        if (p.greeted && link != except) out.emplace_back(send_message{link, news});
    }
}

// Merges facts and returns those that were new.
facts merge_facts(router_state& state, const facts& received, effects& out) {
    facts news;
    for (const condemned_version& version : received.condemned) {
        if (!state.condemned.insert(version).second) continue;
        news.condemned.push_back(version);
        out.emplace_back(count{"versions_condemned_total", version.pool, 1});
        out.emplace_back(
            log_change{"version " + version.version + " of pool " + version.pool + " is condemned"});
    }
    for (const crash_record& record : received.crashes) {
        const bool was_quarantined = is_quarantined(state.crashes, record.crash_hash);
        if (!merge_crash(state.crashes, record)) continue;
        news.crashes.push_back(state.crashes.records[record.crash_hash]);
        if (!was_quarantined && is_quarantined(state.crashes, record.crash_hash)) {
            out.emplace_back(count{"requests_quarantined_total", {}, 1});
        }
    }
    return news;
}

bool empty(const facts& f) { return f.condemned.empty() && f.crashes.empty(); }

} // namespace

void on_facts(router_state& state, link_id from, const facts& received, effects& out) {
    const facts news = merge_facts(state, received, out);
    if (!empty(news)) tell_facts(state, news, from, out);
}

void on_facts_reply(router_state& state, const facts_reply& reply, effects& out) {
    state.facts_in_flight = false;
    if (reply.result == failure_kind::none || reply.result == failure_kind::store_conflict) {
        state.store_heard = state.now;
        state.facts_version = reply.version;
    }
    if (reply.result != failure_kind::none) state.facts_dirty = true;
    const facts news = merge_facts(state, reply.known, out);
    if (!empty(news)) tell_facts(state, news, 0, out);
}

void note_target_crash(router_state& state, const request& r, attempt_id attempt, bool alone, effects& out) {
    out.emplace_back(count{"target_crashes_total", r.input.pool, 1});
    if (!note_crash(state.crashes, r.crash_hash, attempt, alone)) return;
    const crash_record& record = state.crashes.records[r.crash_hash];
    if (record.quarantined) {
        out.emplace_back(count{"requests_quarantined_total", {}, 1});
        out.emplace_back(log_change{"a request of pool " + r.input.pool +
                                    " is quarantined after it crashed " +
                                    std::to_string(record.crashes.size()) + " targets"});
    }
    tell_facts(state, facts{{}, {record}}, 0, out);
}

//-----------------------------------------------------------------------------
// [SECTION] Stamps
//-----------------------------------------------------------------------------

namespace {

version_verdict verdict_of(const router_state& state, const move_declaration& move) {
    const auto found = state.verdicts.find(move.name);
    return found == state.verdicts.end() ? version_verdict::undecided : found->second;
}

} // namespace

std::string stamp_version(router_state& state, const pool_declaration& pool) {
    const auto move = std::ranges::find(state.config.moves, pool.name, &move_declaration::pool);
    if (move == state.config.moves.end()) return pool.version;
    const bool condemned = state.condemned.contains({move->pool, move->to_version});
    const double share = traffic_share(*move, verdict_of(state, *move), condemned, state.now);
    return state.random.next_unit() < share ? move->to_version : move->from_version;
}

//-----------------------------------------------------------------------------
// [SECTION] Evidence
//-----------------------------------------------------------------------------

void note_version_outcome(router_state& state, const request& r, const finish& end, effects& /*out*/) {
    if (r.version.empty()) return;
    const bool failed = end.outcome != attempt_outcome::completed;
    constexpr std::uint64_t slow_first_us = 2'000'000; // first byte later than this counts as slow
    const bool slow = end.first_us > slow_first_us;
    const std::string route = r.input.route == caller_route::chat_completions ? "chat" : "completions";
    note_attempt(state.evidence, state.settings.incarnation, {r.input.pool, r.version, route, 0}, failed,
                 slow);
}

void on_evidence(router_state& state, const evidence& received, effects& /*out*/) {
    for (const evidence_row& row : received.rows)
        merge_evidence(state.evidence, received.owner, row);
}

//-----------------------------------------------------------------------------
// [SECTION] Time
//-----------------------------------------------------------------------------

namespace {

void send_evidence(router_state& state, effects& out) {
    evidence own{state.settings.incarnation, {}};
    for (const auto& [key, counts] : state.evidence.counts) {
        if (key.first != state.settings.incarnation) continue;
        own.rows.push_back({key.second.pool, key.second.version, key.second.route, key.second.load_level,
                            counts.attempts, counts.failures, counts.slow});
    }
    if (!own.rows.empty()) send_to_routers(state, own, out);
}

void judge_moves(router_state& state, effects& out) {
    for (const move_declaration& move : state.config.moves) {
        const version_verdict verdict = judge(state.evidence, move, state.settings.verdict);
        if (verdict == version_verdict::undecided) continue;
        state.verdicts[move.name] = verdict;
        if (verdict != version_verdict::bad) continue;
        const facts news = merge_facts(state, facts{{{move.pool, move.to_version}}, {}}, out);
        if (!empty(news)) tell_facts(state, news, 0, out);
    }
}

} // namespace

void on_versions_tick(router_state& state, effects& out) {
    constexpr duration facts_period = 1s;
    if (state.now >= state.next_report) {
        state.next_report = state.now + state.settings.ledger.report_period;
        if (!state.config.moves.empty()) {
            send_evidence(state, out);
            judge_moves(state, out);
        }
    }
    if (state.facts_dirty && !state.facts_in_flight && state.now >= state.next_facts) {
        state.next_facts = state.now + facts_period;
        state.facts_dirty = false;
        state.facts_in_flight = true;
        out.emplace_back(store_facts{state.facts_version, all_facts(state)});
    }
}

} // namespace damaskhill::detail
