// The sidecar daemon: connects the sidecar's reducer to the links to routers and to the target on its VM.
//
// Index of this file:
// [SECTION] Effects
// [SECTION] Program

#include "damaskhill_sidecar.hpp"
#include "damaskhill_impl_curl.hpp"
#include "damaskhill_impl_program.hpp"
#include "damaskhill_impl_recording.hpp"
#include "damaskhill_impl_target.hpp"

#include <cstdio>

using namespace damaskhill;

namespace {

using host = reducer_host<sidecar_state, sidecar_event>;
constexpr duration tick_period = 10ms;
constexpr duration status_period = 200ms;

//-----------------------------------------------------------------------------
// [SECTION] Effects
//-----------------------------------------------------------------------------

/// Performs the effects that concern the target or the process; reducer_host performs the common ones.
struct effect_performer {
    event_loop& loop;
    target_client& target;

    void operator()(const start_call& item) const { target.start(item); }
    void operator()(const cancel_call& item) const { target.cancel(item); }
    void operator()(const load_version& item) const { target.load(item); }
    void operator()(const exit_process& /*unused*/) const {
        // Leaves time for the last messages to be sent.
        loop.after(200ms, [event_loop_ptr = &loop] { event_loop_ptr->stop(); });
    }
    template <class Effect>
    void operator()(const Effect& /*unused*/) const {}
};

//-----------------------------------------------------------------------------
// [SECTION] Program
//-----------------------------------------------------------------------------

/// Answers health, readiness, metrics and revision requests.
void answer_admin_request(const http_request& request, const http_reply_ptr& reply,
                          const sidecar_state& state, const metrics_registry& metrics) {
    const bool ready = serving(state) == serving_state::serving;
    if (request.target == "/healthz") {
        reply->send_response(200, {{"Content-Type", "text/plain"}}, "ok\n");
    } else if (request.target == "/readyz") {
        reply->send_response(ready ? 200 : 503, {{"Content-Type", "text/plain"}},
                             ready ? "ready\n" : "not ready\n");
    } else if (request.target == "/metrics") {
        reply->send_response(200, {{"Content-Type", "text/plain; version=0.0.4"}}, metrics.text());
    } else if (request.target == "/debug/revisions") {
        reply->send_response(200, {{"Content-Type", "application/json"}},
                             dump_json(encode_json(revisions_of(state.config))));
    } else {
        reply->send_response(404, {{"Content-Type", "text/plain"}}, "not found\n");
    }
}

exit_code run(const sidecar_daemon_settings& settings, const std::string& recording_file) {
    event_loop loop;
    metrics_registry metrics;
    span_writer spans{settings.trace_file, "damaskhill_sidecar", settings.name};
    const process_identity identity = make_process_identity();
    sidecar_state state{make_core_settings(settings, identity)};
    host sidecar{state, metrics, spans, recording_file, recording_header(settings, identity)};
    link_transport links{loop, {make_link_keys(settings.link_keys)}, make_link_callbacks(sidecar, metrics)};
    http_client http{loop};
    target_client target{
        http, settings.target_url, settings.kind,
        [&](sidecar_input&& input) { sidecar.submit(std::move(input)); },
        [&](failure_kind kind) {
            metrics.add(count{"target_events_rejected_total", std::string{to_string(kind)}, 1});
        }};
    sidecar.set_transport(&links);
    sidecar.set_effect_handler([&](effect&& item) { std::visit(effect_performer{loop, target}, item); });
    http_server server{loop, {}};
    failure error;
    const auto on_request = [&](const http_request& request, const http_reply_ptr& reply) {
        answer_admin_request(request, reply, state, metrics);
    };
    if (!links.listen(settings.link_address, error) ||
        !server.listen(settings.metrics_address, on_request, {}, error)) {
        std::fprintf(stderr, "damaskhill_sidecar: %s\n", describe(error).c_str());
        return exit_code::network;
    }
    loop.every(tick_period, [&] {
        const link_traffic traffic = links.traffic();
        metrics.set(gauge{"link_bytes", "sent", static_cast<double>(traffic.bytes_sent)});
        metrics.set(gauge{"link_bytes", "received", static_cast<double>(traffic.bytes_received)});
        sidecar.submit(tick{});
    });
    loop.every(status_period, [&] { target.poll_status(); });
    loop.on_terminate([&] { sidecar.submit(stop_requested{}); });
    log_line("listening for links on " + settings.link_address + ", target " + settings.target_url);
    loop.run();
    return exit_code::ok;
}

} // namespace

int main(int argc, char** argv) {
    return daemon_main({argv, static_cast<std::size_t>(argc)}, "damaskhill_sidecar",
                       "Sends all requests to the target on its VM.", load_sidecar_settings,
                       [&](const sidecar_daemon_settings& settings, const daemon_options& options) {
                           start_logging(argv[0]);
                           return run(settings, options.recording_file);
                       });
}
