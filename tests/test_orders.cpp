// Tests of orders: sent orders of a sidecar, records, and the complete path under random failures.

#include "damaskhill_bench_orders.hpp"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include <limits>

using namespace damaskhill;
using namespace damaskhill::bench;

BOOST_AUTO_TEST_SUITE(orders)

namespace {

const order_key key{(1'000'000ULL << 16U) | 0x7000U, 0x8000000000000001ULL};
const time_point start{1'000'000ms};

seal seal_request(bool handover) { return {1, key, handover}; }

} // namespace

// Guards against a claim that is sent although it lists only an earlier seal. If two routers seal an order
// one after the other, only the claim that lists both seals may be sent.
BOOST_AUTO_TEST_CASE(later_seal_blocks_claims_that_list_only_an_earlier_one) {
    sent_order_table memory;
    random_source random{1};
    const seal_reply first = seal_order(memory, seal_request(true), start, random);
    const seal_reply second = seal_order(memory, seal_request(true), start, random);
    BOOST_TEST((first.id != second.id));
    BOOST_TEST((decide_send(memory, {key, {}, {first.id}}, start) == send_decision::sealed));
    BOOST_TEST((decide_send(memory, {key, {}, {first.id, second.id}}, start) == send_decision::send));
    BOOST_TEST((decide_send(memory, {key, {}, {first.id, second.id}}, start) == send_decision::already_sent));
}

// Guards against a seal for a handover that resets the time since a caller received "not_run".
BOOST_AUTO_TEST_CASE(seal_age_is_measured_from_latest_refusal) {
    sent_order_table memory;
    random_source random{1};
    const seal_reply plain = seal_order(memory, seal_request(true), start, random);
    BOOST_TEST(plain.age_us == std::numeric_limits<std::uint64_t>::max());
    const seal_reply refused = seal_order(memory, seal_request(false), start + 1s, random);
    BOOST_TEST(refused.age_us == 0U);
    const seal_reply later = seal_order(memory, seal_request(true), start + 3s, random);
    BOOST_TEST(later.age_us == 2'000'000U);
}

// Guards against an order that stays marked as sent although the target rejected it before running it.
BOOST_AUTO_TEST_CASE(order_that_never_ran_may_be_sent_again) {
    sent_order_table memory;
    BOOST_TEST((decide_send(memory, {key, {}, {}}, start) == send_decision::send));
    mark_unsent(memory, key);
    BOOST_TEST((decide_send(memory, {key, {}, {}}, start) == send_decision::send));
    store_outcome(memory, key, 200, "text/plain", "done");
    mark_unsent(memory, key);
    BOOST_TEST((decide_send(memory, {key, {}, {}}, start) == send_decision::already_sent));
}

// Guards against a repeated request receiving an empty answer when the answer was too long to be stored.
BOOST_AUTO_TEST_CASE(long_answer_is_marked_as_not_stored) {
    sent_order_table memory;
    random_source random{1};
    BOOST_TEST((decide_send(memory, {key, {}, {}}, start) == send_decision::send));
    store_outcome(memory, key, 200, "text/plain", std::string(memory.settings.max_stored_body + 1, 'x'));
    const seal_reply reply = seal_order(memory, seal_request(true), start, random);
    BOOST_TEST((reply.state == seal_state::finished));
    BOOST_TEST(!reply.body_kept);
}

// Guards against unbounded growth of the table of sent orders.
BOOST_AUTO_TEST_CASE(expired_orders_are_dropped) {
    sent_order_table memory;
    BOOST_TEST((decide_send(memory, {key, {}, {}}, start) == send_decision::send));
    expire_orders(memory, start + memory.settings.max_key_age);
    BOOST_TEST(memory.orders.size() == 1U);
    expire_orders(memory, start + memory.settings.max_key_age + memory.settings.max_clock_skew + 1s);
    BOOST_TEST(memory.orders.empty());
}

// Guards against two valid claims for one key, for any sequence of entries in the record.
BOOST_AUTO_TEST_CASE(record_has_one_valid_claim) {
    const bool ok = rc::check("each claim that becomes valid supersedes the one before", [] {
        const auto picks = *rc::gen::container<std::vector<std::pair<std::uint8_t, std::uint8_t>>>(
            rc::gen::pair(rc::gen::inRange<std::uint8_t>(1, 6), rc::gen::inRange<std::uint8_t>(0, 6)));
        std::vector<order_entry> log;
        nonce_id valid;
        for (const auto& [nonce, supersedes] : picks) {
            order_entry entry;
            entry.key = key;
            entry.nonce = nonce_id{nonce, 1};
            if (supersedes != 0) entry.supersedes = nonce_id{supersedes, 1};
            log.push_back(entry);
            const resolved_order view = resolve_order(log, key);
            const nonce_id now = view.intent == nullptr ? nonce_id{} : view.intent->nonce;
            const bool changed = now != valid;
            RC_ASSERT(!changed || (now == entry.nonce && entry.supersedes == valid));
            valid = now;
        }
    });
    BOOST_TEST(ok);
}

// Guards against one store call per record and retry while the store is down. With 150 routers, each router's
// share of the 2,000 reads per second is 13.
BOOST_AUTO_TEST_CASE(failed_store_calls_back_off) {
    order_writer writer;
    effects out;
    std::vector<append_result> results;
    constexpr std::uint64_t keys = 100;
    const auto read_all = [&](time_point now) {
        for (std::uint64_t i = 1; i <= keys; ++i)
            read_order(writer, i, order_key{key.high, key.low + i}, now, now + 1500ms, out);
    };
    read_all(start);
    std::uint64_t calls = 0;
    for (time_point now = start; now < start + 10s; now += 10ms) {
        effects performed;
        performed.swap(out);
        for (const effect& item : performed) {
            const auto* read = std::get_if<store_read>(&item);
            if (read == nullptr) continue;
            ++calls;
            on_store_reply(writer, {read->call, failure_kind::store_unreachable, 0, {}}, now, out, results);
        }
        on_tick(writer, now, out, results);
        if (!results.empty()) read_all(now);
        results.clear();
    }
    BOOST_TEST(calls <= 130U);
}

// Guards against duplicate runs, wrong refusals and lost orders under any combination of failures. Callers
// often time out and repeat the order through another router.
BOOST_AUTO_TEST_CASE(random_failures_preserve_order_invariants) {
    const bool ok = rc::check("orders under random failures", [] {
        const auto seed = *rc::gen::inRange<std::uint64_t>(1, 1'000'000);
        constexpr auto kinds = static_cast<std::uint8_t>(order_fault::count);
        const auto failures = *rc::gen::container<std::vector<std::tuple<std::uint8_t, int, int>>>(
            rc::gen::tuple(rc::gen::inRange<std::uint8_t>(0, kinds), rc::gen::inRange(0, 8000),
                           rc::gen::inRange(50, 4000)));
        fleet f{order_fleet(seed, 3, 3)};
        f.declare(order_team());
        f.run_for(3s);
        order_load_settings settings;
        settings.orders_per_second = 10;
        settings.early_abandon_share = 0.7;
        settings.time_limit = 12s;
        settings.timeout = 2s;
        settings.resubmit_after = 3s;
        order_load load{f, settings};
        for (const auto& [kind, at, length] : failures) {
            f.schedule(f.now() + std::chrono::milliseconds{at}, [&f, kind = kind, length = length] {
                inject_fault(f, static_cast<order_fault>(kind), std::chrono::milliseconds{length});
            });
        }
        load.start(f.now() + 8s);
        f.run_for(25s);
        for (const violation& found : load.monitor.violations)
            RC_LOG(found.detail + "\n");
        RC_ASSERT(load.monitor.violation_count == 0U);
        RC_ASSERT(load.mismatches().empty());
    });
    BOOST_TEST(ok);
}

BOOST_AUTO_TEST_SUITE_END()
