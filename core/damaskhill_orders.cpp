// Index of this file:
// [SECTION] Keys and records
// [SECTION] Group commit
// [SECTION] Orders sent by a sidecar

#include "damaskhill_orders.hpp"

#include <algorithm>
#include <limits>

namespace damaskhill {

//-----------------------------------------------------------------------------
// [SECTION] Keys and records
//-----------------------------------------------------------------------------

std::string order_record(order_key key, const order_settings& settings) {
    const auto created = uuid_v7_time(key).value_or(time_point{});
    const auto bucket = created.time_since_epoch() / settings.bucket;
    const std::uint64_t shard = (key.low ^ (key.low >> 32U)) % settings.shards;
    return "orders/" + std::to_string(bucket) + "/" + std::to_string(shard);
}

std::optional<order_key> parse_order_key(std::string_view text, time_point now,
                                         const order_settings& settings, failure& error) {
    const auto key = parse_id<order_key>(text);
    const auto created = key ? uuid_v7_time(*key) : std::nullopt;
    if (!created) {
        error = {failure_kind::malformed_key, "Idempotency-Key", std::string{text.substr(0, 64)}, "a UUIDv7"};
        return std::nullopt;
    }
    if (*created < now - settings.max_key_age) {
        error = {failure_kind::key_expired, "Idempotency-Key", "a key older than the limit",
                 "at most 15 min"};
        return std::nullopt;
    }
    if (*created > now + settings.max_clock_skew) {
        error = {failure_kind::malformed_key, "Idempotency-Key", "a time in the future",
                 "at most 30 s ahead"};
        return std::nullopt;
    }
    return key;
}

order_key scoped_order_key(order_key key, account_id account) {
    return {key.high, stable_hash(format_hex128(key.high, key.low), account.value)};
}

resolved_order resolve_order(std::span<const order_entry> entries, order_key key) {
    resolved_order view;
    for (const order_entry& entry : entries) {
        if (entry.key != key) continue;
        if (entry.kind == order_entry_kind::intent) {
            const bool first = view.intent == nullptr && entry.supersedes.empty();
            const bool next =
                view.intent != nullptr && view.done == nullptr && entry.supersedes == view.intent->nonce;
            if (!first && !next) continue;
            view.intent = &entry;
            view.seals.insert(view.seals.end(), entry.unseals.begin(), entry.unseals.end());
        } else if (view.intent != nullptr && entry.nonce == view.intent->nonce && view.done == nullptr) {
            view.done = &entry;
        }
    }
    return view;
}

//-----------------------------------------------------------------------------
// [SECTION] Group commit
//-----------------------------------------------------------------------------

namespace {

using record = order_writer::record;

std::vector<order_entry> entries_of(const order_log& log, order_key key) {
    std::vector<order_entry> entries;
    std::ranges::copy_if(log.entries, std::back_inserter(entries),
                         [&](const order_entry& entry) { return entry.key == key; });
    return entries;
}

std::size_t size_of(const order_log& log) {
    constexpr std::size_t entry_overhead = 160; // bytes of the fixed fields in JSON
    std::size_t bytes = 0;
    for (const auto& entry : log.entries)
        bytes += entry_overhead + entry.body.size();
    return bytes;
}

bool contains(const order_log& log, const order_entry& entry) {
    return std::ranges::any_of(log.entries, [&](const order_entry& other) {
        return other.kind == entry.kind && other.nonce == entry.nonce && other.key == entry.key;
    });
}

// Returns whether the entry would change the resolved state of its key. Other entries are not written.
bool would_change_view(const order_log& log, const order_entry& entry) {
    const resolved_order view = resolve_order(log.entries, entry.key);
    if (entry.kind == order_entry_kind::done) {
        return view.intent != nullptr && view.intent->nonce == entry.nonce && view.done == nullptr;
    }
    if (view.intent == nullptr) return entry.supersedes.empty();
    return view.done == nullptr && view.intent->nonce == entry.supersedes;
}

bool is_failing(const order_writer& writer) { return writer.failures >= writer.settings.failure_threshold; }

// While the store fails, only one trial call is made at a time. Without this, every record would retry.
bool may_call(order_writer& writer, time_point now) {
    return !is_failing(writer) || now >= writer.next_probe;
}

void delay_calls(order_writer& writer, time_point now) {
    const std::uint32_t doublings = std::min(writer.failures - writer.settings.failure_threshold, 8U);
    const duration pause = writer.settings.backoff_base * (std::int64_t{1} << doublings);
    writer.next_probe = now + std::min(writer.settings.backoff_limit, pause);
}

void note_failure(order_writer& writer, time_point now) {
    ++writer.failures;
    if (is_failing(writer)) delay_calls(writer, now);
}

void start_read(order_writer& writer, const std::string& name, record& r, time_point now, effects& out) {
    r.state = record::phase::reading;
    if (is_failing(writer)) delay_calls(writer, now);
    r.call = writer.next_call++;
    r.call_started = now;
    writer.calls[r.call] = name;
    out.emplace_back(store_read{r.call, name});
}

void start_write(order_writer& writer, const std::string& name, record& r, order_log&& log, time_point now,
                 effects& out) {
    r.state = record::phase::writing;
    if (is_failing(writer)) delay_calls(writer, now);
    r.call = writer.next_call++;
    r.call_started = now;
    r.next_write = now + writer.settings.min_write_interval;
    writer.calls[r.call] = name;
    r.written = log;
    out.emplace_back(store_swap{r.call, name, r.version, std::move(log)});
}

void record_voids(record& r, time_point now) {
    for (const order_entry& entry : r.log.entries) {
        if (entry.kind == order_entry_kind::intent && entry.sidecar.empty())
            r.void_first_seen.try_emplace(entry.nonce, now);
    }
}

append_result make_result(const record& r, std::uint64_t ticket, order_key key, time_point now) {
    append_result result{ticket, true, false, entries_of(r.log, key), 0};
    const resolved_order view = resolve_order(result.entries, key);
    const auto first_seen =
        view.intent == nullptr ? r.void_first_seen.end() : r.void_first_seen.find(view.intent->nonce);
    if (first_seen != r.void_first_seen.end())
        result.void_age_us = static_cast<std::uint64_t>((now - first_seen->second).count());
    return result;
}

// Completes every pending entry whose outcome is decided by the cached record.
void complete_pending(record& r, bool final_view, time_point now, std::vector<append_result>& results) {
    std::erase_if(r.pending, [&](const order_writer::pending_entry& pending) {
        const bool written = pending.read_only || contains(r.log, pending.entry);
        if (!written && !(final_view && !would_change_view(r.log, pending.entry))) return false;
        results.push_back(make_result(r, pending.ticket, pending.entry.key, now));
        return true;
    });
}

// Completes reads from the cached record. An entry missing from an outdated copy is found later by the claim,
// which is always decided by the store. Without the cache, every order would cost a read.
void complete_reads(record& r, time_point now, std::vector<append_result>& results) {
    std::erase_if(r.pending, [&](const order_writer::pending_entry& pending) {
        if (!pending.read_only) return false;
        results.push_back(make_result(r, pending.ticket, pending.entry.key, now));
        return true;
    });
}

void fail_pending(record& r, std::vector<append_result>& results) {
    for (const auto& pending : r.pending) {
        results.push_back({pending.ticket, false, pending.attempted, {}, 0});
    }
    r.pending.clear();
}

// Starts the next call that the record needs, if any.
void start_next_call(order_writer& writer, const std::string& name, record& r, time_point now, effects& out,
                     std::vector<append_result>& results) {
    if (r.cached && now - r.confirmed_at <= writer.settings.max_read_age) complete_reads(r, now, results);
    if (r.state != record::phase::idle || r.pending.empty()) return;
    if (!may_call(writer, now)) return;
    const bool has_reads = std::ranges::any_of(r.pending, &order_writer::pending_entry::read_only);
    if (!r.cached || has_reads) {
        start_read(writer, name, r, now, out);
        return;
    }
    if (now < r.next_write) return;
    order_log log = r.log;
    for (auto& pending : r.pending) {
        if (pending.read_only || !would_change_view(log, pending.entry)) continue;
        log.entries.push_back(pending.entry);
        pending.attempted = true;
    }
    if (log.entries.size() == r.log.entries.size()) {
        // According to the cache nothing can be appended, but the cache may be outdated: read again.
        start_read(writer, name, r, now, out);
        return;
    }
    if (size_of(log) > writer.settings.max_record_bytes) {
        fail_pending(r, results);
        return;
    }
    start_write(writer, name, r, std::move(log), now, out);
}

void on_read_result(record& r, const store_reply& reply, time_point now,
                    std::vector<append_result>& results) {
    r.version = reply.version;
    r.log = reply.log;
    r.cached = true;
    r.confirmed_at = r.call_started;
    r.failures = 0;
    record_voids(r, now);
    complete_pending(r, true, now, results);
}

void on_write_result(record& r, const store_reply& reply, time_point now,
                     std::vector<append_result>& results) {
    if (reply.result == failure_kind::none) {
        r.log = std::move(r.written);
        r.written = {};
        r.version = reply.version;
        r.confirmed_at = r.call_started;
        r.failures = 0;
        record_voids(r, now);
        complete_pending(r, true, now, results);
        return;
    }
    r.cached = false; // conflict or lost reply: the record must be read again
    r.next_write = time_point{};
}

} // namespace

namespace {

void add_pending(order_writer& writer, const order_writer::pending_entry& pending, time_point now,
                 effects& out) {
    const std::string name = order_record(pending.entry.key, writer.settings);
    record& r = writer.records[name];
    r.last_used = now;
    r.pending.push_back(pending);
    // Served from the cached record on the next tick.
    if (pending.read_only && r.cached && now - r.confirmed_at <= writer.settings.max_read_age) return;
    std::vector<append_result> failed; // only a full record fails immediately; reported on the next tick
    start_next_call(writer, name, r, now, out, failed);
    for (const auto& result : failed) {
        r.pending.push_back({result.ticket, pending.entry, now, false, result.may_be_written});
    }
}

} // namespace

void append_order(order_writer& writer, std::uint64_t ticket, const order_entry& entry, time_point now,
                  time_point deadline, effects& out) {
    add_pending(writer, {ticket, entry, deadline, false, false}, now, out);
}

void read_order(order_writer& writer, std::uint64_t ticket, order_key key, time_point now,
                time_point deadline, effects& out) {
    order_entry entry;
    entry.key = key;
    add_pending(writer, {ticket, entry, deadline, true, false}, now, out);
}

void on_store_reply(order_writer& writer, const store_reply& reply, time_point now, effects& out,
                    std::vector<append_result>& results) {
    const auto call = writer.calls.find(reply.call);
    if (call == writer.calls.end()) return; // already timed out
    const std::string name = call->second;
    writer.calls.erase(call);
    record& r = writer.records[name];
    if (r.call != reply.call) return;
    const bool was_reading = r.state == record::phase::reading;
    r.state = record::phase::idle;
    const bool answered = reply.result == failure_kind::none || reply.result == failure_kind::store_conflict;
    if (answered) writer.failures = 0;
    if (!answered) {
        r.cached = false;
        note_failure(writer, now);
        if (++r.failures >= writer.settings.max_call_attempts) {
            fail_pending(r, results);
            r.failures = 0;
            return;
        }
    } else if (was_reading) {
        on_read_result(r, reply, now, results);
    } else {
        on_write_result(r, reply, now, results);
    }
    start_next_call(writer, name, r, now, out, results);
}

void on_tick(order_writer& writer, time_point now, effects& out, std::vector<append_result>& results) {
    for (auto it = writer.records.begin(); it != writer.records.end();) {
        auto& [name, r] = *it;
        if (r.state != record::phase::idle && now - r.call_started > writer.settings.call_timeout) {
            const store_reply timeout{r.call, failure_kind::store_timeout, 0, {}};
            on_store_reply(writer, timeout, now, out, results);
        }
        std::erase_if(r.pending, [&](const order_writer::pending_entry& pending) {
            if (pending.deadline > now) return false;
            results.push_back({pending.ticket, false, pending.attempted, {}, 0});
            return true;
        });
        start_next_call(writer, name, r, now, out, results);
        const bool idle = r.state == record::phase::idle && r.pending.empty();
        if (idle && now - r.last_used > 2 * writer.settings.bucket) {
            it = writer.records.erase(it);
        } else {
            ++it;
        }
    }
}

bool is_idle(const order_writer& writer) {
    return std::ranges::all_of(writer.records,
                               [](const auto& entry) { return entry.second.pending.empty(); });
}

//-----------------------------------------------------------------------------
// [SECTION] Orders sent by a sidecar
//-----------------------------------------------------------------------------

namespace {

sent_order& find_or_add(sent_order_table& table, order_key key, time_point now) {
    auto [it, added] = table.orders.try_emplace(key);
    if (added) table.by_age.emplace_back(now, key);
    it->second.last_used = now;
    return it->second;
}

} // namespace

send_decision decide_send(sent_order_table& table, const order_claim& claim, time_point now) {
    sent_order& order = find_or_add(table, claim.key, now);
    if (order.sent) return send_decision::already_sent;
    const bool sealed =
        !order.sealed_by.empty() && std::ranges::find(claim.unseals, order.sealed_by) == claim.unseals.end();
    if (sealed) return send_decision::sealed;
    order.sent = true;
    return send_decision::send;
}

void store_outcome(sent_order_table& table, order_key key, std::uint32_t status,
                   std::string_view content_type, std::string_view body) {
    const auto found = table.orders.find(key);
    if (found == table.orders.end() || found->second.finished) return;
    sent_order& order = found->second;
    order.finished = true;
    order.status = status;
    order.content_type = content_type;
    order.body_kept = body.size() <= table.settings.max_stored_body;
    if (order.body_kept) order.body = body;
}

void mark_unsent(sent_order_table& table, order_key key) {
    const auto found = table.orders.find(key);
    if (found != table.orders.end() && !found->second.finished) found->second.sent = false;
}

std::uint64_t refusal_age_us(const sent_order& order, time_point now) {
    if (!order.refused_at) return std::numeric_limits<std::uint64_t>::max();
    return static_cast<std::uint64_t>((now - *order.refused_at).count());
}

seal_reply seal_order(sent_order_table& table, const seal& request, time_point now, random_source& random) {
    sent_order& order = find_or_add(table, request.key, now);
    seal_reply reply;
    reply.call = request.call;
    reply.key = request.key;
    if (order.finished) {
        reply.state = seal_state::finished;
        reply.status = order.status;
        reply.content_type = order.content_type;
        reply.body = order.body;
        reply.body_kept = order.body_kept;
    } else if (order.sent) {
        reply.state = seal_state::running;
    } else {
        // A claim that lists an earlier seal may still be in flight; only a new seal identifier blocks it.
        order.sealed_by = random.next_id<seal_id>();
        if (!request.handover) order.refused_at = now;
        reply.id = order.sealed_by;
        reply.age_us = refusal_age_us(order, now);
    }
    return reply;
}

void expire_orders(sent_order_table& table, time_point now) {
    const duration kept = table.settings.max_key_age + table.settings.max_clock_skew;
    while (!table.by_age.empty() && table.by_age.front().first + kept < now) {
        const auto [at, key] = table.by_age.front();
        table.by_age.pop_front();
        const auto found = table.orders.find(key);
        if (found == table.orders.end()) continue;
        if (found->second.last_used + kept < now) {
            table.orders.erase(found);
        } else {
            table.by_age.emplace_back(found->second.last_used, key);
        }
    }
}

} // namespace damaskhill
