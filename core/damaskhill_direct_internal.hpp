// Functions shared by the source files of the direct router's reducer.
//
// Index of this file:
// [SECTION] Requests
// [SECTION] Targets
// [SECTION] Notices of targets
// [SECTION] Speed of services
// [SECTION] Requests that crash targets
// [SECTION] Demand and number of targets
// [SECTION] Peers
// [SECTION] Duties
// [SECTION] Log lines

#pragma once

#include "damaskhill_direct.hpp"

namespace damaskhill::direct {

//-----------------------------------------------------------------------------
// [SECTION] Requests
//-----------------------------------------------------------------------------

/// Whether a response of this status says that the target failed.
[[nodiscard]] constexpr bool is_failure(std::uint32_t status) { return status >= 500; }

void on_request(router_state& state, const request_arrived& event, effects& out);
void on_caller_closed(router_state& state, caller_id caller, effects& out);
void on_caller_congested(router_state& state, const caller_congested& event, effects& out);
void on_response_head(router_state& state, const response_head& event, effects& out);
void on_response_data(router_state& state, const response_data& event, effects& out);
void on_response_end(router_state& state, const response_end& event, effects& out);
/// Ends the response of an attempt whose end was in doubt.
void on_target_probed(router_state& state, const target_probed& event, effects& out);
/// Ends the responses whose end was read late, once it is known whether their targets are still the same
/// processes.
void settle_late_ends(router_state& state, effects& out);
/// Places waiting requests in priority order and refuses those whose waiting time is over.
void dispatch_waiting(router_state& state, effects& out);
/// Ends requests that have reached their deadline.
void expire_requests(router_state& state, effects& out);
/// Aborts all open requests when a stop reaches its time limit.
void abort_all(router_state& state, effects& out);
/// Retries idempotent calls whose target has not responded in time.
void expire_attempts(router_state& state, effects& out);

//-----------------------------------------------------------------------------
// [SECTION] Targets
//-----------------------------------------------------------------------------

[[nodiscard]] target_state* find_target(router_state& state, std::string_view id);
/// Whether the target can be selected: not draining, missing, ejected or in an evacuated data centre.
[[nodiscard]] bool is_available(const router_state& state, const target_state& target);
/// Excludes an unreachable target for a time that doubles with each consecutive failure, up to a limit.
void eject_target(router_state& state, target_state& target, effects& out);
/// Updates the target's failure rate with the result of one attempt.
void record_target_result(target_state& target, bool failed);
void apply_catalog(router_state& state, const catalog_updated& event, effects& out);
/// Takes the store's contents as they are, once what it lost in a restore has been written again.
void end_restore(router_state& state, effects& out);
/// Advances the time at which the declarations are confirmed to have been complete. An earlier time changes
/// nothing.
void confirm_declarations(router_state& state, time_point as_of);
/// Advances the time at which the list of targets is confirmed to have been complete. An earlier time changes
/// nothing. `source` is "store" or the report address of a peer.
void confirm_targets(router_state& state, time_point as_of, std::string_view source);
/// Stops the use of targets that have not returned after an outage of the store, and removes them later.
void remove_missing_targets(router_state& state, effects& out);
/// Whether the target is still in its cold start.
[[nodiscard]] bool is_cold(const router_state& state, const target_state& target);

//-----------------------------------------------------------------------------
// [SECTION] Notices of targets
//-----------------------------------------------------------------------------

/// Applies what a response says of its target.
void note_response_notices(router_state& state, target_state& target, const response_notices& notices,
                           effects& out);
/// A new start of the target knows nothing of what the one before has said.
void forget_notices(target_state& target);
/// Earliest time at which this router may send a request to the target, for the limits that all routers share
/// and for what the target has asked of this router; none if other routers are to send.
[[nodiscard]] std::optional<time_point> earliest_send(const router_state& state, target_state& target,
                                                      double cold_per_s);
void add_notice_rows(const router_state& state, router_report& report);
void apply_notice_rows(router_state& state, const router_report& report, effects& out);

//-----------------------------------------------------------------------------
// [SECTION] Speed of services
//-----------------------------------------------------------------------------

[[nodiscard]] bool is_engine_service(const router_state& state, std::string_view name);
/// Whether the service's routes declare streams that tolerate only short gaps. Their targets are placed by
/// measured speed, cache and load; other services keep the policies that their longer gaps allow.
[[nodiscard]] bool has_tight_streams(const router_state& state, std::string_view name);
/// Tokens a second that all engines together can take: declared, or measured if that is more.
[[nodiscard]] double fleet_tokens_per_second(const router_state& state);
/// Estimated speed of a service; starts with the prior of its kind.
[[nodiscard]] service_speed& speed_of(router_state& state, const std::string& service);
/// Updates the estimated speed of the service and of the target with the first byte of the current attempt.
void record_speed_sample(router_state& state, const request& item, effects& out);
/// Adds this router's trusted estimates to a report.
void add_speed_rows(const router_state& state, router_report& report);
/// Adopts a peer's estimates for services of which this router has too few samples.
void adopt_speeds(router_state& state, const router_report& report);

//-----------------------------------------------------------------------------
// [SECTION] Requests that crash targets
//-----------------------------------------------------------------------------

/// Records that the connection of the current attempt broke. That is a crash only if confirm_crash follows
/// before note_sign_of_life.
void note_break(router_state& state, const request& item, target_state& target);
/// The same for an attempt that the router ends, if its target has been silent; a target that has lost its
/// registration as well has crashed.
void note_silence(router_state& state, const request& item, effects& out);
/// The target accepts no connections any more, has started again, or its registration is gone.
void confirm_crash(router_state& state, target_state& target, effects& out);
/// The target has sent a response head.
void note_sign_of_life(const router_state& state, target_state& target);
/// Acquits the request and the parts of its prompt: its target has answered it to the end.
void note_answer_complete(router_state& state, const request& item, effects& out);
/// Whether any response of this target has had bytes after the given time.
[[nodiscard]] bool has_sent_since(const router_state& state, std::string_view target, time_point at);
/// Acquits the prompt parts of answers that have been going on for long enough.
void settle_begun_answers(router_state& state, effects& out);
/// Whether the request may be sent now (verdict `clear`); else the reason to refuse it or let it wait.
[[nodiscard]] prompt_judgement judge_request(const router_state& state, const request& item);
/// Crashes of targets of which copies of the request are accused.
[[nodiscard]] std::uint32_t known_crashes(const router_state& state, const request& item);
void add_suspect_rows(router_state& state, router_report& report);
/// Leaves out the rows about crashes that a report has no room for. The next one continues with these.
void limit_suspect_rows(const prompt_suspect_settings& settings, announced_suspects& next,
                        router_report& report);
/// Returns whether the report accuses a request that was not accused before.
bool apply_suspect_rows(router_state& state, const router_report& report, effects& out);

//-----------------------------------------------------------------------------
// [SECTION] Demand and number of targets
//-----------------------------------------------------------------------------

/// Counts the work of a new request if its service declares autoscaling and the request is no repeat.
void note_offered_work(router_state& state, request& item);
/// Updates the part of the prompts that targets have to read with the placement of an attempt.
void note_placed_work(router_state& state, const request& item, const placement_choice& choice);
/// The request is refused for lack of capacity.
void note_refused_work(router_state& state, const request& item);
/// Work offered to this router since its start, for services that declare autoscaling.
[[nodiscard]] std::vector<service_demand_row> own_demand(const router_state& state);
/// Holder of the duties: applies the demand that a router has reported. `router` identifies its process.
void note_peer_demand(router_state& state, std::uint64_t router, std::span<const service_demand_row> rows,
                      std::string_view data_centre);
/// Holder of the duties: orders to send now, with an interval between repeats. A router that has not asked
/// for target_order_settings::max_pause counts as a new holder.
[[nodiscard]] std::vector<target_count_order> due_target_orders(router_state& state, effects& out);
/// Holder of the duties: the platform has accepted an order.
void note_order_accepted(router_state& state, const target_count_order& order);

//-----------------------------------------------------------------------------
// [SECTION] Peers
//-----------------------------------------------------------------------------

void on_report(router_state& state, const router_report& report, effects& out);
void send_reports(router_state& state, effects& out);
/// Tells all routers of a large prompt that was just sent, if its service has tight streams.
void announce_attempt(router_state& state, const request& item, const target_state& target, double prefill_ms,
                      effects& out);
/// Rank of this router among all routers by rendezvous hash for a target; 0 is the first.
[[nodiscard]] std::size_t rank_for_target(const router_state& state, std::uint64_t target_hash);
/// Whether this is the live router with the lowest address. If two routers take themselves for it, the
/// conditional writes decide.
[[nodiscard]] bool is_lowest_router(const router_state& state);
/// Pseudo router id under which the sums of a data centre are stored.
[[nodiscard]] std::uint64_t summary_id(std::string_view data_centre);
//-----------------------------------------------------------------------------
// [SECTION] Rollouts
//-----------------------------------------------------------------------------

/// Versions of a service on which a request may run.
struct version_choice {
    bool old_version{true};
    bool new_version{true};
};

/// Chooses between the versions during a rollout, once for each request; a retry runs on the old version.
[[nodiscard]] version_choice choose_version(router_state& state, request& item);
/// No target of the new version has room: returns the credit that the request has taken. Returns whether it
/// may run on the old version instead.
bool give_back_exposure(router_state& state, request& item);
[[nodiscard]] bool is_version_allowed(const router_state& state, const target_state& target,
                                      const version_choice& choice);
/// Share of new requests that a version receives during a rollout.
[[nodiscard]] double version_share(const router_state& state, std::string_view service,
                                   std::string_view version);
/// Prepares the evidence on the attempt that starts at the target, before it counts as load.
void begin_version_attempt(router_state& state, request& item, const target_state& target,
                           const placement_choice& choice);
/// Records an answer to the current attempt, the first time only.
void record_version_answer(router_state& state, request& item, bool failed);
/// Records that the connection of the current attempt broke.
void record_version_break(router_state& state, request& item);
/// Follows the current rollout orders. The router that leads the rollouts also writes their status.
void advance_rollouts(router_state& state, effects& out);
/// Adds what this router knows of the rollouts; to a summary, what its data centre knows.
void add_rollout_rows(const router_state& state, router_report& report);
/// Returns whether the report condemns a version that was not condemned before.
bool apply_rollout_rows(router_state& state, const router_report& report, effects& out);

//-----------------------------------------------------------------------------
// [SECTION] Duties
//-----------------------------------------------------------------------------

// Without settings for duties, these functions do nothing.

/// Competes for the duties, reports counts to the holder and, as the holder, makes the calls that are due.
void advance_duties(router_state& state, effects& out);
/// Counts a request of which a target has sent the first byte.
void count_begun_request(router_state& state, const request& item);
void add_duty_fields(const router_state& state, router_report& report);
void apply_duty_fields(router_state& state, const router_report& report, effects& out);
/// Counts that another router reports to the holder.
void on_duty_report(router_state& state, const router_report& report);
void on_wall_clock(router_state& state, const wall_clock_read& event);
void on_store_answer(router_state& state, const duty_store_answer& answer, effects& out);
void on_duty_call_answered(router_state& state, const duty_call_answered& event, effects& out);
/// Lets another router take the duties before a planned stop.
void give_up_duties(router_state& state, effects& out);

//-----------------------------------------------------------------------------
// [SECTION] Log lines
//-----------------------------------------------------------------------------

/// Formats milliseconds with one decimal place.
[[nodiscard]] std::string format_ms(duration d);
/// Formats an age in milliseconds as JSON; null before the first confirmation.
[[nodiscard]] std::string format_age(const catalog_freshness& freshness, time_point now);
/// Formats the catalog age in milliseconds as JSON; null before the first confirmation.
[[nodiscard]] std::string format_catalog_age(const router_state& state);

} // namespace damaskhill::direct
