// Reports exchanged by direct routers: target load, account usage, catalog age, crashes of targets, rollout
// outcomes. Field numbers that are left out belonged to earlier releases and must not be used again.
//
// Index of this file:
// [SECTION] Rows
// [SECTION] Report

#pragma once

#include "damaskhill_duties.hpp"
#include "damaskhill_duty_holder.hpp"
#include "damaskhill_messages.hpp"

namespace damaskhill {

//-----------------------------------------------------------------------------
// [SECTION] Rows
//-----------------------------------------------------------------------------

/// Load that the sender has placed on a target.
struct target_load_row {
    std::uint64_t target{};    // hash of its id
    std::uint32_t running{};   // requests
    std::uint64_t kv_tokens{}; // expected KV cache use of these requests
    // Prefill time of all requests sent since the sender started; never decreases.
    std::uint64_t prompt_ms_total{};
    static constexpr auto fields() {
        using t = target_load_row;
        return std::tuple{field{1, "target", &t::target}, field{2, "running", &t::running},
                          field{3, "kv_tokens", &t::kv_tokens},
                          field{4, "prompt_ms_total", &t::prompt_ms_total}};
    }
};

/// Tokens of an account's requests at the sender, within the sliding window of the fair shares.
struct account_usage_row {
    std::uint64_t account{}; // hash of its name
    std::uint32_t requested{};
    std::uint32_t dispatched{};
    static constexpr auto fields() {
        using t = account_usage_row;
        return std::tuple{field{1, "account", &t::account}, field{2, "asked", &t::requested},
                          field{3, "served", &t::dispatched}};
    }
};

/// Crash of a target, with one request that was in flight there.
struct engine_crash_row {
    std::uint64_t engine{}; // hash of its id
    std::uint64_t age_us{};
    std::vector<std::uint64_t> parts; // of the prompt
    std::uint64_t request{};          // hash of account, path and body
    bool begun{};                     // the answer had been going on
    std::uint64_t identity{};         // of the request with all its parts, some of which may be left out
    static constexpr auto fields() {
        using t = engine_crash_row;
        return std::tuple{field{1, "engine", &t::engine}, field{2, "age_us", &t::age_us},
                          field{3, "parts", &t::parts},   field{4, "request", &t::request},
                          field{5, "begun", &t::begun},   field{6, "identity", &t::identity}};
    }
};

/// Answer to a request with a suspected prompt part.
struct acquittal_row {
    std::uint64_t part{};
    std::uint64_t age_us{};
    bool whole{}; // false: it began on an engine which stayed up
    static constexpr auto fields() {
        using t = acquittal_row;
        return std::tuple{field{1, "part", &t::part}, field{2, "age_us", &t::age_us},
                          field{3, "whole", &t::whole}};
    }
};

/// Prompt part that the sender has quarantined.
struct quarantine_row {
    std::uint64_t part{};
    std::uint32_t moments{}; // at which it has crashed engines
    std::uint64_t age_us{};  // of the last crash
    std::vector<std::uint64_t> companions;
    bool begun{}; // some of the crashes came when the answers had been going on
    static constexpr auto fields() {
        using t = quarantine_row;
        return std::tuple{field{1, "part", &t::part}, field{2, "moments", &t::moments},
                          field{3, "age_us", &t::age_us}, field{4, "companions", &t::companions},
                          field{5, "begun", &t::begun}};
    }
};

/// What a target has said of itself in its responses.
struct target_notice_row {
    std::uint64_t target{}; // hash of its id
    std::uint64_t boot{};   // of the start that said it, in Unix milliseconds; 0: unknown
    bool leaving{};
    bool has_limit_news{}; // the next three are set
    bool limited{};        // false: a limit has ended
    std::uint64_t limit_per_1000_s{};
    std::uint64_t age_us{}; // of the response
    static constexpr auto fields() {
        using t = target_notice_row;
        return std::tuple{
            field{1, "target", &t::target},   field{2, "boot", &t::boot},
            field{3, "leaving", &t::leaving}, field{4, "has_limit_news", &t::has_limit_news},
            field{5, "limited", &t::limited}, field{6, "limit_per_1000_s", &t::limit_per_1000_s},
            field{7, "age_us", &t::age_us}};
    }
};

/// What the sender knows of a rollout: its own outcomes; in a summary, those of its data centre.
struct rollout_row {
    std::uint64_t order{};           // revision of the rollout order in the store
    std::uint64_t order_era{};       // of the revision
    std::uint64_t order_age_us{};    // time since a router first saw the order, at the time of sending
    bool condemned{};                // the new version is bad
    std::uint64_t accepted_age_us{}; // time since a router accepted the new version; 0: none has
    std::vector<evidence_row> outcomes;
    static constexpr auto fields() {
        using t = rollout_row;
        return std::tuple{field{1, "order", &t::order},
                          field{2, "order_era", &t::order_era},
                          field{3, "order_age_us", &t::order_age_us},
                          field{4, "condemned", &t::condemned},
                          field{5, "outcomes", &t::outcomes},
                          field{6, "accepted_age_us", &t::accepted_age_us}};
    }
};

/// Speed of a service's targets as the sender has measured it.
struct speed_row {
    std::uint64_t service{};              // hash of its name
    std::uint64_t base_ns{};              // time to the first byte without prefill
    std::uint64_t ns_per_token{};         // of the prompt
    std::uint64_t ns_per_million_pairs{}; // of prompt tokens with those before them
    static constexpr auto fields() {
        using t = speed_row;
        return std::tuple{field{1, "service", &t::service}, field{2, "base_ns", &t::base_ns},
                          field{3, "ns_per_token", &t::ns_per_token},
                          field{4, "ns_per_million_pairs", &t::ns_per_million_pairs}};
    }
};

/// A router that the sender receives reports from.
struct router_row {
    std::string address; // "IP:port" of its report datagrams
    std::string data_centre;
    static constexpr auto fields() {
        return std::tuple{field{1, "address", &router_row::address},
                          field{2, "data_centre", &router_row::data_centre}};
    }
};

/// Acknowledges the latest report that the sender has received from another router.
struct echo_row {
    std::uint64_t router{};  // incarnation
    std::uint64_t sent_us{}; // `sent_us` of that report, by the clock of the other router
    static constexpr auto fields() {
        return std::tuple{field{1, "router", &echo_row::router}, field{2, "sent_us", &echo_row::sent_us}};
    }
};

//-----------------------------------------------------------------------------
// [SECTION] Report
//-----------------------------------------------------------------------------

/// Report datagram. Routers report to all routers of their own data centre. One router per data centre, the
/// relay, sends summed reports to the relays of the other data centres, which forward them locally. Traffic
/// between data centres thus grows with the square of the number of data centres, not of routers.
struct router_report {
    std::uint64_t router{};       // incarnation of the sender
    std::string address;          // "IP:port" of the sender's report datagrams
    std::string data_centre;      // of the sender; in a summary, the summed data centre
    bool is_summary{};            // rows are sums over a data centre
    bool relayed{};               // summary forwarded by the relay of the receiving data centre
    std::string snapshot_address; // "IP:port" from which the sender's store snapshot can be fetched
    std::uint64_t sent_us{};      // clock of the sender
    // For routers of releases that know no eras: revision of the latest operator change.
    std::uint64_t operator_changed_revision{};
    std::uint64_t catalog_age_us{}; // age of the sender's catalog at the time of sending
    bool has_catalog{};             // false: the sender has no catalog
    bool stopping{};
    bool overloaded{};               // accepts no new connections
    std::vector<router_row> routers; // peers of the sender; in a summary, the routers of the data centre
    std::vector<echo_row> echoes;
    std::vector<target_load_row> targets;
    std::vector<account_usage_row> accounts;
    std::vector<speed_row> speeds;            // estimates with enough samples only
    std::uint64_t targets_changed_revision{}; // as operator_changed_revision, of the latest registration
    bool store_unreachable{};                 // the sender's last call to the store failed
    // Age of the sender's list of targets at the time of sending; 0 if it has none.
    std::uint64_t targets_age_us{};
    std::vector<engine_crash_row> engine_crashes; // recent ones, seen by the sender; a row for each request
    std::vector<acquittal_row> acquittals;        // recent ones, seen by the sender
    std::vector<quarantine_row> quarantines;
    store_position operator_changed_at;     // latest operator change in the sender's catalog
    store_position targets_changed_at;      // latest registration of a target in it
    declarations_rank declarations;         // in force at the sender
    std::vector<target_notice_row> notices; // heard by the sender lately, and of targets that leave
    // Contains one row of `targets`, that of a target to which the sender has just sent much work, and
    // `announced_ms`, the time to prefill it. Nothing else but the sender's identity is set.
    bool is_announcement{};
    std::uint64_t announced_ms{};
    // The next three only where routers perform duties; see damaskhill_duties.hpp.
    std::optional<duty_holder_row> duty_holder;
    std::uint64_t wall_us{}; // wall clock of the sender, which may be wrong; 0: unknown
    // Set in messages to the holder, which contain nothing else but the sender's identity.
    std::optional<duty_report> duty;
    std::vector<rollout_row> rollouts;
    static constexpr auto fields() {
        using t = router_report;
        return std::tuple{field{1, "router", &t::router},
                          field{2, "address", &t::address},
                          field{3, "data_centre", &t::data_centre},
                          field{4, "is_summary", &t::is_summary},
                          field{5, "relayed", &t::relayed},
                          field{6, "snapshot_address", &t::snapshot_address},
                          field{7, "sent_us", &t::sent_us},
                          field{9, "belief_age_us", &t::catalog_age_us},
                          field{10, "believes", &t::has_catalog},
                          field{11, "stopping", &t::stopping},
                          field{12, "overloaded", &t::overloaded},
                          field{13, "routers", &t::routers},
                          field{14, "echoes", &t::echoes},
                          field{15, "targets", &t::targets},
                          field{16, "accounts", &t::accounts},
                          field{19, "operator_changed_revision", &t::operator_changed_revision},
                          field{20, "speeds", &t::speeds},
                          field{21, "targets_changed_revision", &t::targets_changed_revision},
                          field{23, "store_unreachable", &t::store_unreachable},
                          field{24, "targets_age_us", &t::targets_age_us},
                          field{25, "engine_crashes", &t::engine_crashes},
                          field{26, "acquittals", &t::acquittals},
                          field{27, "quarantines", &t::quarantines},
                          field{28, "operator_changed_at", &t::operator_changed_at},
                          field{29, "targets_changed_at", &t::targets_changed_at},
                          field{30, "declarations", &t::declarations},
                          field{32, "notices", &t::notices},
                          field{33, "is_announcement", &t::is_announcement},
                          field{34, "announced_ms", &t::announced_ms},
                          field{40, "duty_holder", &t::duty_holder},
                          field{41, "wall_us", &t::wall_us},
                          field{42, "duty", &t::duty},
                          field{43, "rollouts", &t::rollouts}};
    }
};

} // namespace damaskhill
