// Election of the holder of the duties on virtual time, against a small store that loses and delays calls, is
// restored from copies, and checks the platform's side of each call.
//
// Index of this file:
// [SECTION] Fleet
// [SECTION] Single failures
// [SECTION] Random orders of failures

#include "duty_store.hpp"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include <deque>

using namespace damaskhill;

namespace {

//-----------------------------------------------------------------------------
// [SECTION] Fleet
//-----------------------------------------------------------------------------

/// What happens to the next calls of one router to the store.
struct link {
    bool cut{};            // calls are lost
    bool loses_answers{};  // calls are carried out, their answers are lost
    duration call_delay{}; // until the store carries a call out; its answer is lost if this is long
};

struct fleet {
    struct node {
        explicit node(duty_holder_settings settings) : holder(std::move(settings)) {}
        duty_holder holder;
        link store;
        bool hears_peers{true};
        time_point paused_until{};
        std::deque<duty_store_answer> inbox;
    };
    struct delayed_call {
        std::size_t router{};
        duty_store_call call;
        time_point at{};
    };
    struct platform_call {
        std::size_t router{};
        std::uint64_t token{};
        time_point at{};
        bool accepted{};
    };
    duty_store store;
    std::vector<node> routers;
    std::vector<delayed_call> delayed;
    std::vector<platform_call> platform_calls;
    std::map<std::uint64_t, std::size_t> router_by_token;
    std::uint64_t highest_token{};
    std::size_t store_calls{};
    std::size_t violations{};
    time_point now{1000s};

    explicit fleet(std::size_t count) {
        for (std::size_t i = 0; i < count; ++i)
            add_router(i);
    }
    static duty_holder_settings settings_of(std::uint64_t incarnation, std::size_t i) {
        duty_holder_settings settings;
        settings.incarnation = incarnation;
        settings.address = "10.0.0." + std::to_string(i) + ":7400";
        return settings;
    }
    void add_router(std::size_t i) {
        routers.emplace_back(settings_of(100 + i, i));
        note_era(i);
    }
    /// A router learns the era when it reads the declarations.
    void note_era(std::size_t i) {
        duty_holder_effects out;
        on_duty_era(routers[i].holder, store.era, now, out);
    }
    void restart(std::size_t i) {
        const std::uint64_t before = routers[i].holder.settings.incarnation;
        routers[i] = node{settings_of(before + 100, i)};
        note_era(i);
    }
    void perform(std::size_t i, duty_holder_effects& out) {
        for (duty_store_call& call : out.calls) {
            ++store_calls;
            if (routers[i].store.cut) continue;
            delayed.push_back({i, std::move(call), now + routers[i].store.call_delay});
        }
        out = {};
    }
    void run_store() {
        std::vector<delayed_call> due;
        std::erase_if(delayed, [&](delayed_call& item) {
            if (item.at > now) return false;
            due.push_back(std::move(item));
            return true;
        });
        for (const delayed_call& item : due) {
            const duty_store_answer answer = store.run(item.call, now);
            link& path = routers[item.router].store;
            if (!path.loses_answers && !path.cut) routers[item.router].inbox.push_back(answer);
        }
    }
    [[nodiscard]] bool is_paused(const node& item) const { return now < item.paused_until; }
    void exchange_reports() {
        duty_holder_effects out;
        for (std::size_t from = 0; from < routers.size(); ++from) {
            if (is_paused(routers[from]) || !routers[from].hears_peers) continue;
            const auto row = holder_row(routers[from].holder, now);
            for (std::size_t to = 0; row && to < routers.size(); ++to) {
                if (to == from || is_paused(routers[to]) || !routers[to].hears_peers) continue;
                on_holder_heard(routers[to].holder, *row, now, out);
                perform(to, out);
            }
        }
    }
    /// The platform carries out a call: refuses lower tokens, and notes broken rules.
    bool carry_out(std::size_t i, std::uint64_t token) {
        const auto [owner, is_new] = router_by_token.try_emplace(token, i);
        if (!is_new && owner->second != i) ++violations; // one token of two routers
        const bool accepted = token >= highest_token;
        highest_token = std::max(highest_token, token);
        platform_calls.push_back({i, token, now, accepted});
        return accepted;
    }
    void call_platform() {
        std::size_t callers = 0;
        for (std::size_t i = 0; i < routers.size(); ++i) {
            duty_holder& holder = routers[i].holder;
            if (is_paused(routers[i]) || !may_call(holder, now)) continue;
            ++callers;
            if (holder.token <= holder.refused) ++violations;
            if (carry_out(i, holder.token)) continue;
            duty_holder_effects out;
            on_token_refused(holder, holder.token, now, out);
            perform(i, out);
        }
        if (callers > 1) ++violations;
    }
    void step() {
        now += 20ms;
        run_store();
        for (std::size_t i = 0; i < routers.size(); ++i) {
            node& item = routers[i];
            if (is_paused(item)) continue;
            duty_holder_effects out;
            while (!item.inbox.empty()) {
                on_duty_answer(item.holder, item.inbox.front(), now, out);
                item.inbox.pop_front();
            }
            on_duty_timer(item.holder, {i, true}, now, out);
            perform(i, out);
        }
        if (now.time_since_epoch() % 100ms == 0ms) exchange_reports();
        call_platform();
    }
    void run_for(duration time) {
        for (const time_point end = now + time; now < end;)
            step();
    }
    [[nodiscard]] std::optional<std::size_t> current() const {
        for (std::size_t i = 0; i < routers.size(); ++i) {
            if (!is_paused(routers[i]) && may_call(routers[i].holder, now)) return i;
        }
        return std::nullopt;
    }
    /// Counts orders A, B, A of accepted calls within one lease time.
    [[nodiscard]] std::size_t returns_within_lease() const {
        std::size_t count = 0;
        std::map<std::size_t, time_point> last_call;
        std::optional<std::size_t> latest;
        for (const platform_call& call : platform_calls) {
            if (!call.accepted) continue;
            const auto before = last_call.find(call.router);
            const bool is_return = latest && *latest != call.router && before != last_call.end();
            if (is_return && call.at - before->second < 3s) ++count;
            last_call[call.router] = call.at;
            latest = call.router;
        }
        return count;
    }
};

fleet settled_fleet(std::size_t count = 3) {
    fleet f{count};
    f.run_for(5s);
    return f;
}

} // namespace

BOOST_AUTO_TEST_SUITE(duty_holder_election)

//-----------------------------------------------------------------------------
// [SECTION] Single failures
//-----------------------------------------------------------------------------

// Guards against no holder, and against idle routers that call the store.
BOOST_AUTO_TEST_CASE(one_router_takes_the_duties_and_the_others_call_nothing) {
    fleet f = settled_fleet(26);
    BOOST_REQUIRE(f.current().has_value());
    BOOST_TEST(f.current().value() == 0U);
    const std::size_t before = f.store_calls;
    f.run_for(10s);
    BOOST_TEST(f.current().value() == 0U);
    BOOST_TEST(f.store_calls - before <= 14U); // renewals of one router
    BOOST_TEST(f.violations == 0U);
}

// Guards against tokens that fall when a restored store gives out revisions again, and against ones that JSON
// readers cannot represent.
BOOST_AUTO_TEST_CASE(tokens_rise_with_eras) {
    BOOST_TEST(fencing_token({2, 1}) > fencing_token({1, 900'000'000}));
    BOOST_TEST(fencing_token({0, 7}) == 7U);
    BOOST_TEST(fencing_token({1, std::uint64_t{1} << 40U}) == 0U);
    BOOST_TEST(fencing_token({std::uint64_t{1} << 23U, 1}) == 0U);
}

// Guards against a holder that resumes with a token of the time before its suspension.
BOOST_AUTO_TEST_CASE(suspended_holder_stops) {
    for (const duration pause : {1s, 2s, 3s, 4s, 8s}) {
        fleet f = settled_fleet();
        const std::uint64_t token = f.routers[0].holder.token;
        f.routers[0].paused_until = f.now + pause;
        f.run_for(pause + 6s);
        BOOST_REQUIRE(f.current().has_value());
        if (pause >= 4s) BOOST_TEST(f.routers[f.current().value()].holder.token > token);
        BOOST_TEST(f.violations == 0U);
        BOOST_TEST(f.returns_within_lease() == 0U);
    }
}

// Guards against a call that was decided on before a suspension and counts after it.
BOOST_AUTO_TEST_CASE(permission_ends_before_the_lease) {
    fleet f = settled_fleet();
    const time_point until = may_call_until(f.routers[0].holder);
    BOOST_TEST(may_call(f.routers[0].holder, until - 1us));
    BOOST_TEST(!may_call(f.routers[0].holder, until));
    BOOST_TEST((until <= f.store.leases.begin()->second - 300ms));
}

// Guards against a token of the era before, and against a long time without a holder.
BOOST_AUTO_TEST_CASE(restored_store_gets_a_new_token) {
    fleet f = settled_fleet();
    f.store.saved = f.store.contents;
    f.run_for(2s);
    const std::uint64_t first = f.routers[0].holder.token;
    f.store.restore();
    f.run_for(2s);
    BOOST_REQUIRE(f.current().has_value());
    const std::uint64_t second = f.routers[f.current().value()].holder.token;
    BOOST_TEST(second > first);
    f.store.saved = {}; // of a time before the first holder
    f.run_for(3s);
    f.store.restore();
    f.run_for(2s);
    BOOST_REQUIRE(f.current().has_value());
    BOOST_TEST(f.routers[f.current().value()].holder.token > second);
    BOOST_TEST(f.violations == 0U);
    BOOST_TEST(f.returns_within_lease() == 0U);
}

// Guards against a router that acts, or gives up, without knowing whether its write has won.
BOOST_AUTO_TEST_CASE(lost_answer_of_the_winning_write) {
    fleet f{3};
    while (f.routers[0].holder.phase != duty_phase::writing)
        f.step();
    f.routers[0].store.loses_answers = true;
    f.step();
    f.routers[0].store.loses_answers = false;
    BOOST_TEST(!f.current().has_value());
    f.run_for(1500ms);
    BOOST_REQUIRE(f.current().has_value());
    BOOST_TEST(f.current().value() == 0U);
    BOOST_TEST(f.routers[0].holder.changes == 1U);
    BOOST_TEST(f.routers[0].holder.revision == f.store.contents.items.at("duties/holder").revision);
}

// Guards against a late write that makes two holders.
BOOST_AUTO_TEST_CASE(write_carried_out_seconds_later) {
    fleet f{3};
    while (f.routers[0].holder.phase != duty_phase::writing)
        f.step();
    for (auto& item : f.delayed)
        item.at += 2500ms;
    f.run_for(12s);
    BOOST_TEST(f.current().has_value());
    BOOST_TEST(f.violations == 0U);
    BOOST_TEST(f.returns_within_lease() == 0U);
}

// Guards against duties that nobody performs after all processes have been killed.
BOOST_AUTO_TEST_CASE(all_routers_killed) {
    fleet f = settled_fleet();
    const std::uint64_t token = f.routers[0].holder.token;
    for (std::size_t i = 0; i < 3; ++i)
        f.restart(i);
    f.run_for(8s);
    BOOST_REQUIRE(f.current().has_value());
    BOOST_TEST(f.routers[f.current().value()].holder.token > token);
    BOOST_TEST(f.violations == 0U);
}

// Guards against a holder that goes on without the store, and against one that returns too early.
BOOST_AUTO_TEST_CASE(holder_cut_from_the_store) {
    fleet f = settled_fleet();
    f.routers[0].store.cut = true;
    f.run_for(8s);
    BOOST_REQUIRE(f.current().has_value());
    BOOST_TEST(f.current().value() == 1U);
    f.routers[0].store.cut = false;
    f.run_for(5s);
    BOOST_TEST(f.current().value() == 1U);
    BOOST_TEST(f.returns_within_lease() == 0U);
}

// Guards against a second holder while the first is only unheard.
BOOST_AUTO_TEST_CASE(holder_cut_from_its_peers) {
    fleet f = settled_fleet();
    f.routers[0].hears_peers = false;
    f.run_for(20s);
    BOOST_REQUIRE(f.current().has_value());
    BOOST_TEST(f.current().value() == 0U);
    BOOST_TEST(f.routers[0].holder.changes == 1U);
    BOOST_TEST(f.violations == 0U);
}

// Guards against a planned stop that costs a lease time.
BOOST_AUTO_TEST_CASE(planned_stop_hands_over_at_once) {
    fleet f = settled_fleet();
    duty_holder_effects out;
    stop_duties(f.routers[0].holder, f.now, out);
    f.perform(0, out);
    f.run_for(1500ms);
    BOOST_REQUIRE(f.current().has_value());
    BOOST_TEST(f.current().value() == 1U);
    BOOST_TEST(f.violations == 0U);
}

// Guards against a router that calls again with a refused token, or competes at once.
BOOST_AUTO_TEST_CASE(refused_holder_waits) {
    fleet f = settled_fleet();
    const std::uint64_t token = f.routers[0].holder.token;
    f.highest_token = token + 1;
    f.run_for(2900ms);
    BOOST_TEST(!f.current().has_value());
    BOOST_TEST(f.routers[0].holder.refused == token);
    f.run_for(4s);
    BOOST_REQUIRE(f.current().has_value());
    BOOST_TEST(f.routers[f.current().value()].holder.token > token);
    BOOST_TEST(f.violations == 0U);
}

// Guards against values of the key that another program has written.
BOOST_AUTO_TEST_CASE(unreadable_holder_values) {
    for (const char* text :
         {"", "7", "x 10.0.0.1:7400", "0 10.0.0.1:7400", "7 ", "-1 a", "99999999999999999999 a"})
        BOOST_TEST(!decode_duty_holder(text).has_value());
    const auto row = decode_duty_holder(encode_duty_holder(7, "10.0.0.1:7400"));
    BOOST_REQUIRE(row.has_value());
    BOOST_TEST(row->incarnation == 7U);
    BOOST_TEST(row->address == "10.0.0.1:7400");
}

//-----------------------------------------------------------------------------
// [SECTION] Random orders of failures
//-----------------------------------------------------------------------------

namespace {

void cause_random_failure(fleet& f, random_source& random) {
    const auto below = [&](std::uint64_t limit) { return random.next() % limit; };
    const std::size_t i = below(f.routers.size());
    auto& router = f.routers[i];
    switch (below(10)) {
    case 0:
        router.paused_until = f.now + 1s + 100ms * static_cast<int>(below(70));
        break;
    case 1:
        f.restart(i);
        break;
    case 2:
        router.store.cut = !router.store.cut;
        break;
    case 3:
        router.store.loses_answers = !router.store.loses_answers;
        break;
    case 4:
        router.store.call_delay = 100ms * static_cast<int>(below(30));
        break;
    case 5:
        router.hears_peers = !router.hears_peers;
        break;
    case 6:
        f.store.saved = f.store.contents;
        break;
    case 7:
        f.store.restore();
        break;
    case 8:
        if (const auto holder = f.current()) f.routers[*holder].paused_until = f.now + 4s;
        break;
    default:
        for (auto& item : f.routers) {
            item.store = {};
            item.hears_peers = true;
        }
    }
}

} // namespace

// Guards against two holders at one moment, one token of two holders, a refused token that calls again, and
// duties that stay without a holder once the failures end.
BOOST_AUTO_TEST_CASE(one_holder_whatever_fails) {
    BOOST_TEST(rc::check([](std::uint64_t seed) {
        random_source random{seed};
        fleet f{4};
        for (int i = 0; i < 30; ++i) {
            f.run_for(50ms * static_cast<int>(1 + random.next() % 50));
            cause_random_failure(f, random);
        }
        for (auto& item : f.routers) {
            item.store = {};
            item.hears_peers = true;
        }
        f.run_for(25s);
        RC_ASSERT(f.violations == 0U);
        RC_ASSERT(f.current().has_value());
        const std::uint64_t token = f.routers[*f.current()].holder.token;
        RC_ASSERT(token == f.highest_token);
    }));
}

BOOST_AUTO_TEST_SUITE_END()
