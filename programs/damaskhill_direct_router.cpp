// The direct router daemon: connects the reducer in core/ to callers, targets, the platform's key-value store
// and the other routers.
//
// Index of this file:
// [SECTION] Host
// [SECTION] Effects
// [SECTION] Program

#include "damaskhill_impl_datagram.hpp"
#include "damaskhill_impl_direct.hpp"
#include "damaskhill_impl_edge_server.hpp"
#include "damaskhill_platform_duties.hpp"
#include "damaskhill_platform_store.hpp"

#include <asio.hpp>

#include <cstdio>
#include <cstdlib>

using namespace damaskhill;

namespace {

//-----------------------------------------------------------------------------
// [SECTION] Host
//-----------------------------------------------------------------------------

/// Owns the sockets, the timers and the reducer's state; submits inputs to the reducer and performs its
/// effects.
class direct_host {
public:
    direct_host(event_loop& loop, const direct_daemon_settings& settings)
        : loop_(loop),
          state_(make_core_settings(settings, system_random())),
          caller_server_(loop, edge_settings_of(settings),
                         {[this](std::uint64_t exchange, http_request&& request) {
                              submit(platform::decode_request(exchange, std::move(request)));
                          },
                          [this](std::uint64_t exchange) { submit(direct::caller_closed{exchange}); },
                          [this](std::uint64_t exchange, bool congested) {
                              submit(direct::caller_congested{exchange, congested});
                          }}),
          client_(loop, {}),
          reports_(loop, make_link_keys(settings.link_keys),
                   [this](router_report&& report) { submit(direct::report_received{std::move(report)}); }),
          store_(loop, client_, store_settings_of(settings),
                 {[this](direct::input&& event) { submit(event); }, boot_clock,
                  [this](const failure& error) {
                      log_.write("unreadable_item", "\"reason\":" + direct::quoted(describe(error)), true,
                                 boot_clock());
                  },
                  [this] { return direct::plan_store_read(state_, boot_clock()); },
                  [this](std::uint64_t before, std::uint64_t now) {
                      log_.write("store_era",
                                 "\"before\":" + std::to_string(before) + ",\"now\":" + std::to_string(now),
                                 true, boot_clock());
                  },
                  [this](std::string_view key, const store_position& held, const store_position& offered) {
                      log_.write("item_ignored",
                                 "\"key\":" + direct::quoted(key) +
                                     ",\"held\":" + direct::quoted(format_position(held)) +
                                     ",\"offered\":" + direct::quoted(format_position(offered)),
                                 true, boot_clock());
                  }}),
          duties_(loop, client_, settings.store_address,
                  {[this](direct::input&& event) { submit(event); }, boot_clock}),
          wake_timer_(*static_cast<asio::io_context*>(loop.native())) {}

    [[nodiscard]] std::optional<bool> start(const direct_daemon_settings& settings, failure& error);
    void stop();
    void submit(const direct::input& event);
    /// Logs changed connection counts and writes the buffered lines.
    void flush_log();
    [[nodiscard]] bool has_duties() const { return state_.duties.has_value(); }
    void read_wall_clock() { submit(direct::wall_clock_read{wall_clock()}); }
    void log_start(const direct_daemon_settings& settings);
    /// Reloads the settings file. If it is invalid, keeps the current settings.
    void reload(const std::string& settings_file);

private:
    static edge_server_settings edge_settings_of(const direct_daemon_settings& settings) {
        return {caller_limits_of(settings)};
    }
    static platform::store_settings store_settings_of(const direct_daemon_settings& settings) {
        platform::store_settings store;
        store.address = settings.store_address;
        store.restores = make_core_settings(settings, 0).restores;
        return store;
    }
    void log_refusals();
    void perform(direct::effect& item);
    void send(const direct::send_request& outgoing);
    void schedule_wake(time_point at);
    void exit_when_written();
    void answer_control(std::uint64_t exchange, const http_request& request);
    void set_duty_gauges();

    event_loop& loop_;
    direct::router_state state_;
    metrics_registry metrics_;
    structured_log log_;
    edge_server caller_server_;
    edge_client client_;
    datagram_transport reports_;
    platform::store_mirror store_;
    platform::duty_client duties_;
    asio::steady_timer wake_timer_;
    time_point wake_scheduled_at_{};
    edge_server_counts last_logged_counts_;                  // in the last connections_refused line
    time_point refusals_logged_at_{};                        // time of that line
    std::unordered_map<std::uint64_t, std::uint64_t> calls_; // ID of the HTTP client's call, by send_id
    std::vector<direct::effects> effect_pool_;               // empty effect lists whose memory is reused
    std::unique_ptr<edge_server> ready_server_;
    std::unique_ptr<edge_server> control_server_;
};

std::optional<bool> direct_host::start(const direct_daemon_settings& settings, failure& error) {
    const auto make_server = [&](auto handler) {
        return std::make_unique<edge_server>(
            loop_, edge_server_settings{control_limits_of(settings)},
            edge_server::handlers{std::move(handler), [](std::uint64_t /*unused*/) {}, {}});
    };
    ready_server_ = make_server([this](std::uint64_t exchange, http_request&& /*unused*/) {
        constexpr std::uint32_t status_ok = 200;
        constexpr std::uint32_t status_unavailable = 503;
        ready_server_->send_response(
            exchange, direct::is_ready(state_, boot_clock()) ? status_ok : status_unavailable, {}, {});
    });
    control_server_ = make_server(
        [this](std::uint64_t exchange, http_request&& request) { answer_control(exchange, request); });
    if (!caller_server_.listen(settings.http_address, error) ||
        !ready_server_->listen(settings.ready_address, error) ||
        !control_server_->listen(settings.control_address, error) ||
        !reports_.bind(settings.report_address, error)) {
        return std::nullopt;
    }
    store_.start();
    submit(direct::timer_fired{});
    return true;
}

void direct_host::answer_control(std::uint64_t exchange, const http_request& request) {
    if (request.target == "/snapshot") {
        control_server_->send_response(exchange, 200, {{"Content-Type", "application/json"}},
                                       store_.snapshot());
    } else if (request.target == "/metrics") {
        metrics_.set(gauge{"log_lines_dropped", "", static_cast<double>(log_.dropped())});
        const edge_server_counts callers = caller_server_.counts();
        metrics_.set(gauge{"caller_connections", "", static_cast<double>(callers.open_connections)});
        metrics_.set(gauge{"caller_connections_closed_idle", "", static_cast<double>(callers.idle_closed)});
        metrics_.set(gauge{"caller_requests_shed", "", static_cast<double>(callers.shed_requests)});
        metrics_.set(gauge{"caller_held_bytes", "", static_cast<double>(callers.held_bytes)});
        metrics_.set(
            gauge{"caller_connections_ended_for_memory", "", static_cast<double>(callers.ended_for_memory)});
        metrics_.set(gauge{"caller_connections_stalled", "", static_cast<double>(callers.stalled)});
        metrics_.set(
            gauge{"caller_connections_turned_down", "", static_cast<double>(callers.refused_connections)});
        metrics_.set(gauge{"caller_connections_closed_unfinished", "",
                           static_cast<double>(callers.unfinished_closed)});
        metrics_.set(gauge{"caller_connections_expired_idle", "", static_cast<double>(callers.idle_expired)});
        metrics_.set(gauge{"caller_requests_expired", "", static_cast<double>(callers.requests_expired)});
        metrics_.set(gauge{"caller_requests_oversized", "", static_cast<double>(callers.oversized_requests)});
        metrics_.set(gauge{"caller_requests_malformed", "", static_cast<double>(callers.malformed_requests)});
        metrics_.set(gauge{"connections_opened", "", static_cast<double>(client_.connections_opened())});
        metrics_.set(gauge{"reports_unsent", "", static_cast<double>(reports_.send_failures())});
        if (state_.duties) set_duty_gauges();
        metrics_.set(gauge{"reports_rejected", "", static_cast<double>(reports_.rejected_datagrams())});
        control_server_->send_response(exchange, 200, {{"Content-Type", "text/plain; version=0.0.4"}},
                                       metrics_.text());
    } else if (request.target == "/healthz") {
        control_server_->send_response(exchange, 200, {{"Content-Type", "text/plain"}}, "ok\n");
    } else {
        control_server_->send_response(exchange, 404, {}, {});
    }
}

void direct_host::set_duty_gauges() {
    const duty_holder& holder = state_.duties->holder;
    const time_point now = boot_clock();
    metrics_.set(gauge{"duty_holder_self", "", may_call(holder, now) ? 1.0 : 0.0});
    metrics_.set(gauge{"duty_token", "", static_cast<double>(holder.known.token)});
    const duration sign_age = holder.known.token == 0 ? duration{0} : now - holder.last_sign;
    metrics_.set(gauge{"duty_holder_sign_age_seconds", "", to_seconds(sign_age)});
}

void direct_host::log_start(const direct_daemon_settings& settings) {
    log_.write("start",
               "\"name\":" + direct::quoted(settings.name) +
                   ",\"callers\":" + direct::quoted(settings.http_address) +
                   ",\"incarnation\":" + std::to_string(state_.settings.incarnation) +
                   ",\"max_caller_bytes\":" + std::to_string(memory_limits_of(settings).caller_connections) +
                   ",\"max_request_bytes\":" + std::to_string(state_.settings.max_buffered_bytes),
               true, boot_clock());
}

void direct_host::flush_log() {
    log_refusals();
    log_.flush();
}

void direct_host::log_refusals() {
    constexpr duration min_interval = 1s; // clients must not fill the log
    const time_point now = boot_clock();
    if (now - refusals_logged_at_ < min_interval) return;
    const edge_server_counts callers = caller_server_.counts();
    const bool changed = callers.idle_closed != last_logged_counts_.idle_closed ||
                         callers.refused_connections != last_logged_counts_.refused_connections ||
                         callers.shed_requests != last_logged_counts_.shed_requests ||
                         callers.ended_for_memory != last_logged_counts_.ended_for_memory ||
                         callers.stalled != last_logged_counts_.stalled ||
                         callers.unfinished_closed != last_logged_counts_.unfinished_closed ||
                         callers.requests_expired != last_logged_counts_.requests_expired ||
                         callers.oversized_requests != last_logged_counts_.oversized_requests ||
                         callers.malformed_requests != last_logged_counts_.malformed_requests;
    if (!changed) return;
    std::string fields = "\"open\":" + std::to_string(callers.open_connections) +
                         ",\"held_bytes\":" + std::to_string(callers.held_bytes);
    const auto add = [&](const char* name, std::uint64_t edge_server_counts::*member) {
        fields.append(",\"").append(name).append("\":");
        fields += std::to_string(callers.*member - last_logged_counts_.*member);
    };
    add("shed", &edge_server_counts::shed_requests);
    add("idle_closed", &edge_server_counts::idle_closed);
    add("unfinished_closed", &edge_server_counts::unfinished_closed);
    add("turned_down", &edge_server_counts::refused_connections);
    add("ended_for_memory", &edge_server_counts::ended_for_memory);
    add("stalled", &edge_server_counts::stalled);
    add("expired", &edge_server_counts::requests_expired);
    add("oversized", &edge_server_counts::oversized_requests);
    add("malformed", &edge_server_counts::malformed_requests);
    log_.write("connections_refused", fields, true, now);
    last_logged_counts_ = callers;
    refusals_logged_at_ = now;
}

void direct_host::stop() {
    submit(stop_requested{});
    // Keep-alive connections are closed with their next response. Idle ones are closed after
    // stop_accept_time, when the load balancer no longer sends requests to this router.
    caller_server_.begin_drain(state_.settings.stop_accept_time);
}

void direct_host::reload(const std::string& settings_file) {
    failure error;
    const auto settings = load_direct_settings(settings_file, error);
    if (!settings) {
        log_.write("settings_rejected", "\"reason\":" + direct::quoted(describe(error)), true, boot_clock());
        return;
    }
    submit(direct::settings_changed{make_core_settings(*settings, state_.settings.incarnation)});
}

//-----------------------------------------------------------------------------
// [SECTION] Effects
//-----------------------------------------------------------------------------

void direct_host::submit(const direct::input& event) {
    direct::effects out;
    if (!effect_pool_.empty()) {
        out = std::move(effect_pool_.back());
        effect_pool_.pop_back();
    }
    direct::reduce(state_, boot_clock(), event, out);
    caller_server_.set_shedding(direct::must_shed_load(state_));
    // Makes callers reconnect through the load balancer, which skips routers that are not ready.
    caller_server_.set_close_after_response(state_.overloaded && !direct::is_ready(state_, state_.now));
    for (direct::effect& item : out)
        perform(item);
    out.clear();
    effect_pool_.push_back(std::move(out));
}

void direct_host::schedule_wake(time_point at) {
    wake_scheduled_at_ = at;
    wake_timer_.expires_after(std::max<duration>(0s, at - boot_clock()));
    wake_timer_.async_wait([this](const asio::error_code& error) {
        if (!error) submit(direct::timer_fired{});
    });
}

void direct_host::send(const direct::send_request& outgoing) {
    const std::uint64_t send = outgoing.send_id;
    edge_handlers handlers;
    handlers.on_head = [this, send, content = outgoing.content](edge_response_head&& head) {
        platform::decoded_response response =
            platform::decode_response(send, content->input.attempt, std::move(head));
        const head_verdict verdict = judge_head(response.checks);
        if (verdict == head_verdict::of_another_request) {
            metrics_.add(count{"foreign_answers_total", "", 1});
            return edge_response_action::skip;
        }
        if (verdict == head_verdict::unusable) {
            const auto open_call = calls_.find(send);
            if (open_call != calls_.end()) client_.cancel(open_call->second);
            calls_.erase(send);
            submit(direct::response_end{send, direct::send_result::garbled});
            return edge_response_action::skip;
        }
        submit(response.head);
        return edge_response_action::accept;
    };
    handlers.on_data = [this, send](std::string_view data) { submit(direct::response_data{send, data}); };
    handlers.on_end = [this, send](edge_result result) {
        calls_.erase(send);
        submit(direct::response_end{send, static_cast<direct::send_result>(result)});
    };
    calls_[send] = client_.start(platform::encode_call(outgoing), std::move(handlers));
}

void direct_host::perform(direct::effect& item) {
    if (auto* outgoing = std::get_if<direct::send_request>(&item)) {
        send(*outgoing);
    } else if (auto* cancelled = std::get_if<direct::cancel_send>(&item)) {
        const auto open_call = calls_.find(cancelled->send_id);
        if (open_call == calls_.end()) return;
        client_.cancel(open_call->second);
        calls_.erase(open_call);
    } else if (auto* pause = std::get_if<direct::pause_reading>(&item)) {
        const auto open_call = calls_.find(pause->send_id);
        if (open_call != calls_.end()) client_.set_reading_paused(open_call->second, pause->paused);
    } else if (auto* probe = std::get_if<direct::probe_target>(&item)) {
        client_.probe(probe->address, [this, send = probe->send_id](edge_connect_result result) {
            submit(direct::target_probed{send, static_cast<direct::probe_outcome>(result)});
        });
    } else if (auto* head_reply = std::get_if<direct::reply_begin>(&item)) {
        caller_server_.begin_response(head_reply->caller, head_reply->status, head_reply->headers);
    } else if (auto* body_reply = std::get_if<direct::reply_data>(&item)) {
        caller_server_.send_chunk(body_reply->caller, body_reply->data);
    } else if (auto* end_reply = std::get_if<direct::reply_end>(&item)) {
        caller_server_.end_response(end_reply->caller);
    } else if (auto* abort_reply = std::get_if<direct::reply_abort>(&item)) {
        caller_server_.abort(abort_reply->caller);
    } else if (auto* whole = std::get_if<direct::reply_full>(&item)) {
        caller_server_.send_response(whole->caller, whole->status, whole->headers, whole->body);
    } else if (auto* refused = std::get_if<direct::reply_refused>(&item)) {
        caller_server_.send_response(refused->caller, refused->status, platform::refusal_headers(*refused),
                                     std::string{refused->reason} + "\n");
    } else if (auto* report = std::get_if<direct::send_report>(&item)) {
        reports_.send(report->addresses, *report->report);
    } else if (auto* fetch = std::get_if<direct::fetch_snapshot>(&item)) {
        store_.fetch_snapshot(fetch->address);
    } else if (auto* status = std::get_if<direct::write_rollout_status>(&item)) {
        store_.write_status(*status);
    } else if (auto* line = std::get_if<direct::log_event>(&item)) {
        log_.write(line->name, line->fields, line->essential, state_.now);
    } else if (auto* counter = std::get_if<count>(&item)) {
        metrics_.add(*counter);
    } else if (auto* sample = std::get_if<observe>(&item)) {
        metrics_.add(*sample);
    } else if (auto* wake = std::get_if<direct::wake_at>(&item)) {
        schedule_wake(wake->at);
    } else if (auto* duty_store = std::get_if<duty_store_call>(&item)) {
        duties_.perform(*duty_store);
    } else if (auto* duty = std::get_if<direct::duty_call>(&item)) {
        duties_.perform(*duty);
    } else if (std::holds_alternative<exit_process>(item)) {
        exit_when_written();
    }
}

// Slow callers get their whole responses while the time until the kill allows it.
void direct_host::exit_when_written() {
    constexpr duration flush_delay =
        150ms; // between two looks; the platform's kill is further away than that
    loop_.after(flush_delay, [this] {
        const bool has_time = boot_clock() < state_.stop_requested_at + state_.settings.stop_timeout;
        if (has_time && caller_server_.counts().held_bytes > 0) {
            exit_when_written();
        } else {
            loop_.stop();
        }
    });
}

//-----------------------------------------------------------------------------
// [SECTION] Program
//-----------------------------------------------------------------------------

exit_code run(const direct_daemon_settings& settings, const std::string& settings_file) {
    event_loop loop;
    direct_host host{loop, settings};
    failure error;
    if (!host.start(settings, error)) {
        std::fprintf(stderr, "damaskhill_direct_router: %s\n", describe(error).c_str());
        return exit_code::network;
    }
    host.log_start(settings);
    constexpr duration flush_period = 250ms; // log lines are written in one batch per period
    loop.every(flush_period, [&] { host.flush_log(); });
    if (host.has_duties()) {
        constexpr duration wall_clock_period = 1s; // a step of the clock shows within this time
        loop.every(wall_clock_period, [&] { host.read_wall_clock(); });
    }
    loop.on_terminate([&] { host.stop(); });
    loop.on_hangup([&] { host.reload(settings_file); });
    loop.run();
    host.flush_log();
    return exit_code::ok;
}

} // namespace

int main(int argc, char** argv) {
    return daemon_main({argv, static_cast<std::size_t>(argc)}, "damaskhill_direct_router",
                       "Forwards HTTP requests to targets that have no sidecar.", load_direct_settings,
                       [](const direct_daemon_settings& settings, const daemon_options& options) {
                           return run(settings, options.settings_file);
                       });
}
