// Index of this file:
// [SECTION] Response texts
// [SECTION] Event queue
// [SECTION] Nodes
// [SECTION] Effects
// [SECTION] Store
// [SECTION] Targets
// [SECTION] Faults

#include "damaskhill_bench_fleet.hpp"

#include "damaskhill_impl_thrift.hpp"

#include <algorithm>

namespace damaskhill::bench {

//-----------------------------------------------------------------------------
// [SECTION] Response texts
//-----------------------------------------------------------------------------

std::string expected_text(std::string_view body, std::uint64_t tokens) {
    std::uint64_t state = stable_hash(body);
    std::string text;
    text.reserve(tokens);
    for (std::uint64_t i = 0; i < tokens; ++i) {
        state = state * 6364136223846793005ULL + 1442695040888963407ULL;
        text.push_back(static_cast<char>('a' + (state >> 59U) % 26));
    }
    return text;
}

std::uint64_t requested_tokens(std::string_view body) {
    constexpr std::string_view marker = "tokens=";
    constexpr std::uint64_t default_tokens = 16;
    const auto at = body.find(marker);
    if (at == std::string_view::npos) return default_tokens;
    return std::strtoull(std::string{body.substr(at + marker.size(), 12)}.c_str(), nullptr, 10);
}

std::string parse_order_number(std::string_view body) {
    constexpr std::string_view marker = "order=";
    const auto at = body.find(marker);
    if (at == std::string_view::npos) return {};
    const std::string_view rest = body.substr(at + marker.size());
    return std::string{rest.substr(0, rest.find(' '))};
}

//-----------------------------------------------------------------------------
// [SECTION] Event queue
//-----------------------------------------------------------------------------

void fleet::schedule(time_point when, std::function<void()> work) {
    queue_.push({std::max(when, now_), next_sequence_++, std::move(work)});
}

void fleet::run_until(time_point end) {
    while (!queue_.empty() && queue_.top().due <= end) {
        const scheduled_event next = queue_.top();
        queue_.pop();
        now_ = next.due;
        next.work();
    }
    now_ = end;
}

//-----------------------------------------------------------------------------
// [SECTION] Nodes
//-----------------------------------------------------------------------------

fleet::fleet(fleet_settings settings)
    : settings_(std::move(settings)), random_{settings_.seed}, now_{std::chrono::hours{24 * 365 * 50}} {
    const std::size_t data_centre_count = settings_.data_centres.size();
    for (std::size_t i = 0; i < settings_.routers; ++i) {
        node n;
        n.name = "router-" + std::to_string(i);
        n.data_centre = settings_.data_centres[i % data_centre_count];
        nodes_.push_back(std::move(n));
    }
    for (const pool_settings& pool : settings_.pools) {
        for (std::size_t i = 0; i < pool.replicas; ++i) {
            node n;
            n.name = pool.name + "-" + std::to_string(i);
            n.data_centre = settings_.data_centres[i % data_centre_count];
            n.pool = pool.name;
            n.target.settings = pool.target;
            n.target.version = pool.target.version;
            nodes_.push_back(std::move(n));
        }
    }
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
        vm_entry vm{nodes_[i].name,        nodes_[i].name, process_role::sidecar,
                    nodes_[i].data_centre, nodes_[i].pool, false};
        if (i < settings_.routers) vm.role = process_role::router;
        store_.vms.push_back(vm);
        start(i);
    }
}

void fleet::create_router(std::size_t i) {
    router_settings s;
    s.name = nodes_[i].name;
    s.data_centre = nodes_[i].data_centre;
    s.incarnation = random_.next_id<incarnation_id>();
    s.seed = random_.next();
    if (settings_.configure_router) settings_.configure_router(s);
    nodes_[i].router = std::make_unique<router_state>(std::move(s));
}

void fleet::create_sidecar(std::size_t i) {
    sidecar_settings s;
    const node& n = nodes_[i];
    s.name = n.name;
    s.data_centre = n.data_centre;
    s.pool = n.pool;
    s.version = n.target.version;
    s.kind = n.target.settings.kind;
    s.incarnation = random_.next_id<incarnation_id>();
    s.seed = random_.next();
    s.fence = static_cast<std::uint64_t>(now_.time_since_epoch().count());
    s.limits.cold_limit = static_cast<std::uint32_t>(n.target.settings.cold_limit);
    s.limits.warm_limit = static_cast<std::uint32_t>(n.target.settings.warm_limit);
    if (settings_.configure_sidecar) settings_.configure_sidecar(s);
    nodes_[i].sidecar = std::make_unique<sidecar_state>(std::move(s));
}

void fleet::start(std::size_t i) {
    node& n = nodes_[i];
    n.up = true;
    n.paused = false;
    ++n.generation;
    if (i < settings_.routers) {
        create_router(i);
    } else {
        create_sidecar(i);
        if (n.target.boot == 1 && n.target.calls_started == 0)
            n.target.cold_until = now_ + n.target.settings.cold_time;
    }
    const std::uint64_t generation = n.generation;
    // A random offset keeps the ticks of different nodes from coinciding.
    const duration offset{static_cast<std::int64_t>(random_.next() % 10'000)};
    schedule(now_ + offset, [this, i, generation] { tick_node(i, generation); });
}

void fleet::tick_node(std::size_t i, std::uint64_t generation) {
    node& n = nodes_[i];
    if (n.generation != generation || !n.up) return;
    if (!n.paused) {
        if (n.router) {
            reduce_event(i, router_input{tick{}});
        } else {
            advance_target(i);
            reduce_event(i, sidecar_input{tick{}});
        }
    } else if (n.sidecar) {
        advance_target(i); // the target keeps running while its sidecar is paused
    }
    schedule(now_ + settings_.tick_period, [this, i, generation] { tick_node(i, generation); });
}

template <class Input>
void fleet::deliver(std::size_t i, std::uint64_t generation, Input input) {
    node& n = nodes_[i];
    if (!n.up || n.generation != generation) return;
    if (n.paused) {
        n.deferred.push_back([this, i, generation, input] { deliver(i, generation, input); });
        return;
    }
    reduce_event(i, std::move(input));
}

void fleet::reduce_event(std::size_t i, router_input input) {
    effects out;
    reduce(*nodes_[i].router, router_event{now_, std::move(input)}, out);
    if (rewrite_effects) rewrite_effects(i, out);
    if (observer) observer(i, out);
    for (effect& item : out)
        perform(i, item);
}

void fleet::reduce_event(std::size_t i, sidecar_input input) {
    effects out;
    if (input_observer) input_observer(i, input);
    reduce(*nodes_[i].sidecar, sidecar_event{now_, std::move(input)}, out);
    if (rewrite_effects) rewrite_effects(i, out);
    if (observer) observer(i, out);
    for (effect& item : out)
        perform(i, item);
}

//-----------------------------------------------------------------------------
// [SECTION] Effects
//-----------------------------------------------------------------------------

void fleet::perform(std::size_t i, effect& item) {
    if (auto* message = std::get_if<send_message>(&item)) {
        perform_message(i, *message);
    } else if (auto* dialled = std::get_if<dial>(&item)) {
        perform_dial(i, *dialled);
    } else if (auto* closing = std::get_if<close_link>(&item)) {
        perform_close(i, closing->link);
    } else if (auto* call = std::get_if<start_call>(&item)) {
        start_target_call(i, *call);
    } else if (auto* cancelled = std::get_if<cancel_call>(&item)) {
        nodes_[i].target.calls.erase(cancelled->attempt);
    } else if (auto* load = std::get_if<load_version>(&item)) {
        fake_target& target = nodes_[i].target;
        target.version = load->version;
        version_loads.emplace_back(now_, i);
        target.cold_until = now_ + target.settings.cold_time;
    } else if (auto* counter = std::get_if<count>(&item)) {
        counters[counter->name + "/" + counter->label] += counter->amount;
    } else if (std::holds_alternative<exit_process>(item)) {
        schedule(now_, [this, i] { kill(i); });
    } else if (auto* response = std::get_if<answer_whole>(&item)) {
        caller_result& r = results_[response->caller];
        r.answered = true;
        r.status = response->status;
        r.text = response->body;
        if (r.first_byte_at == time_point{}) r.first_byte_at = now_;
        complete_request(r);
    } else if (auto* data = std::get_if<stream_data>(&item)) {
        caller_result& r = results_[data->caller];
        if (r.first_byte_at == time_point{}) r.first_byte_at = now_;
        r.text += data->text;
    } else if (auto* end = std::get_if<stream_end>(&item)) {
        caller_result& r = results_[end->caller];
        r.answered = end->reason == failure_kind::none;
        r.connection_failed = !r.answered;
        r.refusal = end->reason;
        r.state = run_state::unknown;
        r.status = 200;
        complete_request(r);
    } else if (auto* refused = std::get_if<refuse>(&item)) {
        caller_result& r = results_[refused->caller];
        r.refusal = refused->kind;
        r.state = refused->state;
        complete_request(r);
    } else {
        perform_store(i, item);
    }
}

void fleet::complete_request(caller_result& result) {
    result.ended_at = now_;
    if (on_end) on_end(result);
}

caller_id fleet::send_request(std::size_t router, caller_request request) {
    const caller_id caller = next_caller_++;
    request.caller = caller;
    caller_result& r = results_[caller];
    r.caller = caller;
    r.router = router;
    r.sent_at = now_;
    r.request = request;
    node& n = nodes_[router];
    if (!n.up) {
        r.connection_failed = true;
        schedule(now_, [this, caller] { complete_request(results_[caller]); });
        return caller;
    }
    schedule(now_, [this, router, generation = n.generation, request = std::move(request)] {
        deliver(router, generation, router_input{request});
    });
    return caller;
}

void fleet::perform_message(std::size_t i, const send_message& message) {
    node& n = nodes_[i];
    const auto found = n.links.find(message.link);
    if (found == n.links.end()) return;
    fleet_link& link = found->second;
    ++n.messages_sent;
    if (settings_.measure_bytes) {
        const std::size_t bytes =
            encode_message(message.message).size() + frame_length_size + frame_head_size;
        n.bytes_sent += bytes;
        const bool data = std::holds_alternative<assign>(message.message) ||
                          std::holds_alternative<chunk>(message.message) ||
                          std::holds_alternative<answer_put>(message.message) ||
                          std::holds_alternative<answer_value>(message.message);
        if (data) n.data_bytes_sent += bytes;
    }
    if (is_traffic_blocked(i, link.peer)) link.message_lost = true;
    if (link.message_lost) return;
    link.last_arrival = std::max(link.last_arrival, now_ + settings_.link_delay);
    const std::size_t peer = link.peer;
    schedule(link.last_arrival, [this, peer, generation = nodes_[peer].generation, to = link.peer_link,
                                 content = message.message] {
        node& receiver = nodes_[peer];
        if (!receiver.links.contains(to)) return;
        if (receiver.router) {
            deliver(peer, generation, router_input{link_message{to, content}});
        } else {
            deliver(peer, generation, sidecar_input{link_message{to, content}});
        }
    });
}

void fleet::perform_dial(std::size_t i, const dial& target) {
    const auto found = std::ranges::find(nodes_, target.name, &node::name);
    const std::uint64_t generation = nodes_[i].generation;
    const auto peer = static_cast<std::size_t>(found - nodes_.begin());
    const bool reachable = found != nodes_.end() && found->up && !is_traffic_blocked(i, peer);
    schedule(now_ + 2 * settings_.link_delay, [this, i, peer, generation, reachable, name = target.name] {
        node& n = nodes_[i];
        if (!n.up || n.generation != generation) return;
        if (!reachable || !nodes_[peer].up) {
            deliver(i, generation, router_input{dial_failed{name}});
            return;
        }
        node& peer_node = nodes_[peer];
        const link_id own_link = n.next_link++;
        const link_id peer_link = peer_node.next_link++;
        n.links[own_link] = {peer, peer_link, false, {}};
        peer_node.links[peer_link] = {i, own_link, false, {}};
        if (peer_node.router) {
            deliver(peer, peer_node.generation, router_input{link_opened{peer_link, {}}});
        } else {
            deliver(peer, peer_node.generation, sidecar_input{link_opened{peer_link, {}}});
        }
        deliver(i, generation, router_input{link_opened{own_link, name}});
    });
}

void fleet::perform_close(std::size_t i, link_id link) {
    const auto found = nodes_[i].links.find(link);
    if (found == nodes_[i].links.end()) return;
    const fleet_link closed = found->second;
    nodes_[i].links.erase(found);
    if (closed.message_lost || is_traffic_blocked(i, closed.peer)) return; // the peer is not notified
    schedule(now_ + settings_.link_delay, [this, closed, generation = nodes_[closed.peer].generation] {
        node& peer_node = nodes_[closed.peer];
        if (peer_node.links.erase(closed.peer_link) == 0) return;
        const link_closed event{closed.peer_link, failure_kind::network};
        if (peer_node.router) {
            deliver(closed.peer, generation, router_input{event});
        } else {
            deliver(closed.peer, generation, sidecar_input{event});
        }
    });
}

//-----------------------------------------------------------------------------
// [SECTION] Store
//-----------------------------------------------------------------------------

bool fleet::store_reachable(std::size_t i) const {
    return !store_.faults.down && !store_.blocked_routers.contains(nodes_[i].name);
}

void fleet::declare(team_declarations declared) {
    declared.revision = store_.teams[declared.team].revision + 1;
    store_.team_revisions[declared.team] = ++store_.revision;
    store_.teams[declared.team] = std::move(declared);
}

void fleet::answer_watch(std::size_t i, std::uint64_t generation, std::uint64_t after, time_point until) {
    constexpr duration poll_period = 10ms;
    config_watch_result watch_result;
    if (!store_reachable(i)) {
        watch_result.result = failure_kind::store_unreachable;
        deliver(i, generation, router_input{watch_result});
        return;
    }
    for (const auto& [team, changed] : store_.team_revisions) {
        if (changed > after) watch_result.teams.push_back(store_.teams[team]);
    }
    if (watch_result.teams.empty() && now_ < until) {
        schedule(now_ + poll_period,
                 [this, i, generation, after, until] { answer_watch(i, generation, after, until); });
        return;
    }
    watch_result.store_revision = store_.revision;
    deliver(i, generation, router_input{watch_result});
}

void fleet::perform_store(std::size_t i, const effect& item) {
    const std::uint64_t generation = nodes_[i].generation;
    const duration delay = store_.faults.delay;
    const auto reply_later = [this, i, generation, delay](router_input input) {
        schedule(now_ + delay,
                 [this, i, generation, input = std::move(input)] { deliver(i, generation, input); });
    };
    if (std::holds_alternative<list_vms>(item)) {
        if (!store_.blocked_routers.contains(nodes_[i].name)) reply_later(vm_list{store_.vms});
    } else if (const auto* watch = std::get_if<watch_config>(&item)) {
        ++store_.watches;
        const double loss_rate = store_.faults.lost_requests + store_.faults.lost_replies;
        if (loss_rate > 0 && random_.next_unit() < loss_rate) {
            constexpr duration client_timeout = 3s; // watch wait time plus the client's timeout
            schedule(now_ + client_timeout, [this, i, generation] {
                deliver(i, generation,
                        router_input{config_watch_result{failure_kind::store_timeout, 0, {}, 0}});
            });
            return;
        }
        schedule(now_ + delay, [this, i, generation, after = watch->after] {
            answer_watch(i, generation, after, now_ + 1s);
        });
    } else if (const auto* read = std::get_if<store_read>(&item)) {
        ++store_.reads;
        if (random_.next_unit() < store_.faults.lost_requests) return;
        if (!store_reachable(i)) {
            reply_later(store_reply{read->call, failure_kind::store_unreachable, 0, {}});
            return;
        }
        const auto& [version, log] = store_.orders[read->key];
        if (random_.next_unit() < store_.faults.lost_replies) return;
        reply_later(store_reply{read->call, failure_kind::none, version, log});
    } else if (const auto* swap = std::get_if<store_swap>(&item)) {
        ++store_.writes;
        if (random_.next_unit() < store_.faults.lost_requests) return;
        if (!store_reachable(i)) {
            reply_later(store_reply{swap->call, failure_kind::store_unreachable, 0, {}});
            return;
        }
        const auto write = [this, request = *swap] {
            auto& [version, log] = store_.orders[request.key];
            if (version != request.expected) return std::pair{false, version};
            log = request.log;
            return std::pair{true, ++version};
        };
        if (random_.next_unit() < store_.faults.late_writes) {
            schedule(now_ + store_.faults.late_write_delay, [write] { write(); });
            return;
        }
        const auto [ok, version] = write();
        if (random_.next_unit() < store_.faults.lost_replies) return;
        reply_later(
            store_reply{swap->call, ok ? failure_kind::none : failure_kind::store_conflict, version, {}});
    } else if (const auto* facts_request = std::get_if<store_facts>(&item)) {
        if (!store_reachable(i)) {
            reply_later(facts_reply{failure_kind::store_unreachable, 0, {}});
            return;
        }
        const bool conflict = facts_request->expected && *facts_request->expected != store_.facts_version;
        if (facts_request->expected && !conflict) {
            ++store_.writes;
            store_.stored_facts = facts_request->value;
            ++store_.facts_version;
        }
        reply_later(facts_reply{conflict ? failure_kind::store_conflict : failure_kind::none,
                                store_.facts_version, store_.stored_facts});
    }
}

//-----------------------------------------------------------------------------
// [SECTION] Targets
//-----------------------------------------------------------------------------

std::vector<std::size_t> fleet::sidecars(std::string_view pool) const {
    std::vector<std::size_t> found;
    for (std::size_t i = settings_.routers; i < nodes_.size(); ++i) {
        if (nodes_[i].pool == pool) found.push_back(i);
    }
    return found;
}

const version_fault* fleet::active_fault(const fake_target& target, const target_call& call) const {
    const auto found = target.version_faults.find(target.version);
    if (found == target.version_faults.end() || now_ < found->second.starts_at) return nullptr;
    const version_fault& fault = found->second;
    const bool loaded =
        static_cast<double>(target.calls.size()) >= fault.min_load * target.settings.warm_limit;
    const bool on_path = call.request.path.find(fault.path) != std::string::npos;
    return loaded && on_path ? &fault : nullptr;
}

void fleet::start_target_call(std::size_t i, const start_call& call) {
    fake_target& target = nodes_[i].target;
    if (!target.up) {
        schedule(now_, [this, i, attempt = call.attempt] {
            call_finished done;
            done.attempt = attempt;
            done.sent = false;
            deliver(i, nodes_[i].generation, sidecar_input{done});
        });
        return;
    }
    ++target.calls_started;
    const bool cold = now_ < target.cold_until;
    if (cold && static_cast<double>(target.calls.size()) >= target.settings.cold_limit) {
        ++target.overloads_while_cold;
        if (target.settings.refuses_when_overloaded) {
            schedule(now_ + 1ms, [this, i, attempt = call.attempt] {
                call_finished done;
                done.attempt = attempt;
                done.transport_ok = true;
                done.overloaded = true;
                done.status = 503;
                deliver(i, nodes_[i].generation, sidecar_input{done});
            });
            return;
        }
    }
    target_call running;
    running.request = call;
    running.started_at = now_;
    const bool engine = target.settings.kind == target_kind::model_engine;
    running.work_total = engine ? static_cast<double>(requested_tokens(call.body)) : 1.0;
    running.work_done = engine ? static_cast<double>(call.resume_offset) : 0.0;
    running.bytes_sent = engine ? call.resume_offset : 0;
    running.unresponsive = target.faults.unresponsive;
    target.calls.emplace(call.attempt, std::move(running));
    if (cold)
        target.max_calls_while_cold =
            std::max<std::uint64_t>(target.max_calls_while_cold, target.calls.size());
    if (target.faults.crash_on_marker && call.body.find("CRASH") != std::string::npos) {
        schedule(now_ + 5ms, [this, i] { crash_target(i); });
    }
}

void fleet::finish_target_call(std::size_t i, attempt_id attempt, bool transport_ok, std::uint32_t status) {
    fake_target& target = nodes_[i].target;
    const auto found = target.calls.find(attempt);
    if (found == target.calls.end()) return;
    call_finished done;
    done.attempt = attempt;
    done.transport_ok = transport_ok;
    done.status = status;
    done.content_type =
        target.settings.kind == target_kind::model_engine ? "text/event-stream" : "application/json";
    done.tokens = static_cast<std::uint32_t>(found->second.work_done) -
                  static_cast<std::uint32_t>(found->second.request.resume_offset);
    target.calls.erase(found);
    deliver(i, nodes_[i].generation, sidecar_input{done});
}

void fleet::advance_call(std::size_t i, target_call& call, double amount) {
    fake_target& target = nodes_[i].target;
    const attempt_id attempt = call.request.attempt;
    if (call.unresponsive) return;
    if (!call.failure_decided) {
        call.failure_decided = true;
        const version_fault* fault = active_fault(target, call);
        const double fail_rate = fault == nullptr ? target.faults.fail_rate : fault->fail_rate;
        if (random_.next_unit() < fail_rate) {
            finish_target_call(i, attempt, true, 500);
            return;
        }
    }
    call.work_done = std::min(call.work_total, call.work_done + amount);
    if (target.settings.kind == target_kind::service) {
        if (call.work_done < call.work_total) return;
        const std::string order = parse_order_number(call.request.body);
        const bool repeated = target.faults.deduplicates_requests && !call.request.idempotency_key.empty() &&
                              !target.seen_keys.insert(call.request.idempotency_key).second;
        if (!order.empty() && !repeated) ++order_runs[order];
        if (random_.next_unit() < target.faults.lost_replies) {
            finish_target_call(i, attempt, false, 0);
            return;
        }
        deliver(i, nodes_[i].generation, sidecar_input{call_chunk{attempt, "done " + order, 0}});
        finish_target_call(i, attempt, true, 200);
        return;
    }
    const auto generated = static_cast<std::uint64_t>(call.work_done);
    if (generated > call.bytes_sent) {
        const std::string text = expected_text(call.request.body, generated).substr(call.bytes_sent);
        const auto tokens = static_cast<std::uint32_t>(generated - call.bytes_sent);
        call.bytes_sent = generated;
        deliver(i, nodes_[i].generation, sidecar_input{call_chunk{attempt, text, tokens}});
    }
    if (call.work_done >= call.work_total) finish_target_call(i, attempt, true, 200);
}

void fleet::advance_target(std::size_t i) {
    fake_target& target = nodes_[i].target;
    const target_settings& s = target.settings;
    const double elapsed = to_seconds(settings_.tick_period);
    const bool cold = now_ < target.cold_until;
    const auto running = static_cast<double>(target.calls.size());
    target.busy_seconds += std::min(running, s.warm_limit) * elapsed;
    const double overload = std::max(1.0, running / (cold ? s.cold_limit : s.warm_limit));
    const double slowdown = overload * (cold ? s.cold_factor : 1.0) * target.faults.slow_factor;
    const double unit_time = to_seconds(s.kind == target_kind::model_engine ? s.token_time : s.work_time);
    std::vector<attempt_id> attempts;
    for (const auto& [attempt, call] : target.calls)
        attempts.push_back(attempt);
    for (const attempt_id attempt : attempts) {
        const auto found = target.calls.find(attempt);
        if (found == target.calls.end()) continue;
        target_call& call = found->second;
        const bool engine = s.kind == target_kind::model_engine;
        const version_fault* fault = active_fault(target, call);
        const double call_slowdown = slowdown * (fault == nullptr ? 1.0 : fault->slow_factor);
        const duration first_token_delay =
            duration{static_cast<std::int64_t>(to_seconds(s.first_token_time) * call_slowdown * 1e6)};
        if (engine && now_ - call.started_at < first_token_delay) continue;
        advance_call(i, call, elapsed / (unit_time * call_slowdown));
    }
    constexpr duration status_period = 200ms;
    if ((now_ - time_point{}) % status_period < settings_.tick_period) {
        target_status status{target.up, target.up, target.version, static_cast<std::uint32_t>(running),
                             target.boot};
        deliver(i, nodes_[i].generation, sidecar_input{status});
    }
}

//-----------------------------------------------------------------------------
// [SECTION] Faults
//-----------------------------------------------------------------------------

bool fleet::is_traffic_blocked(std::size_t a, std::size_t b) const {
    return blocked_pairs_.contains(std::minmax(a, b));
}
void fleet::block_traffic(std::size_t a, std::size_t b) { blocked_pairs_.insert(std::minmax(a, b)); }
void fleet::unblock_traffic(std::size_t a, std::size_t b) { blocked_pairs_.erase(std::minmax(a, b)); }
void fleet::unblock_all_traffic() { blocked_pairs_.clear(); }

void fleet::partition_data_centre(std::string_view name) {
    for (std::size_t a = 0; a < nodes_.size(); ++a) {
        if (nodes_[a].data_centre != name) continue;
        if (a < settings_.routers) store_.blocked_routers.insert(nodes_[a].name);
        for (std::size_t b = 0; b < nodes_.size(); ++b) {
            if (nodes_[b].data_centre != name) block_traffic(a, b);
        }
    }
}

void fleet::reconnect_data_centre(std::string_view name) {
    for (std::size_t a = 0; a < nodes_.size(); ++a) {
        if (nodes_[a].data_centre != name) continue;
        store_.blocked_routers.erase(nodes_[a].name);
        for (std::size_t b = 0; b < nodes_.size(); ++b)
            unblock_traffic(a, b);
    }
}

void fleet::close_all_links(std::size_t i) {
    std::vector<link_id> links;
    for (const auto& [link, state] : nodes_[i].links)
        links.push_back(link);
    for (const link_id link : links)
        perform_close(i, link);
}

void fleet::kill(std::size_t i) {
    node& n = nodes_[i];
    if (!n.up) return;
    close_all_links(i);
    n.up = false;
    n.deferred.clear();
    if (i < settings_.routers) {
        for (auto& [caller, r] : results_) {
            if (r.router != i || r.ended_at != time_point{}) continue;
            r.connection_failed = true;
            schedule(now_, [this, id = caller] { complete_request(results_[id]); });
        }
        return;
    }
    // An engine cancels calls when their sidecar disconnects; a service runs them to the end.
    if (n.target.settings.kind == target_kind::model_engine) n.target.calls.clear();
}

void fleet::restart(std::size_t i, bool target_too) {
    kill(i);
    if (target_too && i >= settings_.routers) {
        fake_target& target = nodes_[i].target;
        target.calls.clear();
        ++target.boot;
        target.cold_until = now_ + target.settings.cold_time;
    }
    start(i);
}

void fleet::pause(std::size_t i) { nodes_[i].paused = true; }

void fleet::resume(std::size_t i) {
    node& n = nodes_[i];
    if (!n.paused) return;
    n.paused = false;
    std::vector<std::function<void()>> events;
    events.swap(n.deferred);
    for (const auto& event : events)
        event();
}

void fleet::stop(std::size_t i) {
    if (i < settings_.routers) {
        deliver(i, nodes_[i].generation, router_input{stop_requested{}});
    } else {
        deliver(i, nodes_[i].generation, sidecar_input{stop_requested{}});
    }
}

void fleet::crash_target(std::size_t i) {
    fake_target& target = nodes_[i].target;
    ++target.crashes;
    ++target.boot;
    target.cold_until = now_ + target.settings.cold_time;
    std::vector<attempt_id> failed_attempts;
    for (const auto& [attempt, call] : target.calls)
        failed_attempts.push_back(attempt);
    for (const attempt_id attempt : failed_attempts)
        finish_target_call(i, attempt, false, 0);
}

void fleet::reset_to_cold(std::size_t i) {
    nodes_[i].target.cold_until = now_ + nodes_[i].target.settings.cold_time;
}

} // namespace damaskhill::bench
