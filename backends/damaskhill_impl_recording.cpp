// Index of this file:
// [SECTION] Header
// [SECTION] Labels
// [SECTION] Replay
// [SECTION] Expected outcomes

#include "damaskhill_impl_recording.hpp"

#include <algorithm>

namespace damaskhill {

//-----------------------------------------------------------------------------
// [SECTION] Header
//-----------------------------------------------------------------------------

process_identity make_process_identity() {
    return {{system_random(), system_random()},
            system_random(),
            static_cast<std::uint64_t>(wall_clock().time_since_epoch().count())};
}

router_settings make_core_settings(const router_daemon_settings& from, const process_identity& identity) {
    router_settings to;
    to.name = from.name;
    to.data_centre = from.data_centre;
    to.seed = identity.seed;
    to.incarnation = identity.incarnation;
    to.interactive_timeout = std::chrono::milliseconds{from.interactive_timeout_ms};
    to.batch_timeout = std::chrono::milliseconds{from.batch_timeout_ms};
    to.drain_limit = std::chrono::milliseconds{from.drain_limit_ms};
    to.orders.shards = from.order_shards;
    return to;
}

sidecar_settings make_core_settings(const sidecar_daemon_settings& from, const process_identity& identity) {
    sidecar_settings to;
    to.name = from.name;
    to.data_centre = from.data_centre;
    to.pool = from.pool;
    to.version = from.version;
    to.kind = from.kind;
    to.checks_fencing = from.checks_fencing;
    to.seed = identity.seed;
    to.incarnation = identity.incarnation;
    to.fence = identity.fence;
    to.limits.cold_limit = from.cold_limit;
    to.limits.warm_limit = from.warm_limit;
    to.drain_limit = std::chrono::milliseconds{from.drain_limit_ms};
    return to;
}

namespace {

constexpr int recording_version = 1;

template <class Settings>
json make_header(process_role role, Settings settings, const process_identity& identity) {
    settings.link_keys.clear(); // recordings must not contain secrets
    return {{"recording", recording_version},
            {"program", to_string(role)},
            {"settings", encode_json(settings)},
            {"identity", encode_json(identity)}};
}

} // namespace

json recording_header(const router_daemon_settings& settings, const process_identity& identity) {
    return make_header(process_role::router, settings, identity);
}
json recording_header(const sidecar_daemon_settings& settings, const process_identity& identity) {
    return make_header(process_role::sidecar, settings, identity);
}

//-----------------------------------------------------------------------------
// [SECTION] Labels
//-----------------------------------------------------------------------------

namespace {

// In the order of the alternatives of peer_message and effect, respectively.
constexpr std::array message_names{
    "hello",       "heartbeat",      "reserve",       "pull",         "pull_empty", "assign",
    "chunk",       "finish",         "cancel",        "seal",         "seal_reply", "claim",
    "claim_reply", "service_report", "service_total", "evidence",     "facts",      "config_push",
    "config_pull", "answer_put",     "answer_get",    "answer_value", "load_order"};
constexpr std::array effect_names{"answer_whole", "stream_begin", "stream_data", "stream_end",   "refuse",
                                  "send_message", "dial",         "close_link",  "store_read",   "store_swap",
                                  "watch_config", "store_facts",  "list_vms",    "exit_process", "start_call",
                                  "cancel_call",  "load_version", "count",       "gauge",        "observe",
                                  "log_change",   "span"};
static_assert(std::variant_size_v<peer_message> == message_names.size());
static_assert(std::variant_size_v<effect> == effect_names.size());

} // namespace

std::string effect_label(const effect& item) {
    std::string label = effect_names.at(item.index());
    if (const auto* refusal = std::get_if<refuse>(&item)) {
        label.append("/").append(to_string(refusal->kind));
    } else if (const auto* end = std::get_if<stream_end>(&item)) {
        label.append("/").append(to_string(end->reason));
    } else if (const auto* answer = std::get_if<answer_whole>(&item)) {
        label.append("/").append(std::to_string(answer->status));
    } else if (const auto* message = std::get_if<send_message>(&item)) {
        label.append("/").append(message_names.at(message->message.index()));
    }
    return label;
}

//-----------------------------------------------------------------------------
// [SECTION] Replay
//-----------------------------------------------------------------------------

namespace {

void record_answer(replay_result& result, const effect& item) {
    if (const auto* answer = std::get_if<answer_whole>(&item)) {
        result.answers[answer->caller] = {answer->status, {}, {}, answer->body};
    } else if (const auto* data = std::get_if<stream_data>(&item)) {
        result.answers[data->caller].body += data->text;
    } else if (const auto* end = std::get_if<stream_end>(&item)) {
        caller_answer& known = result.answers[end->caller];
        known.status = 200;
        if (end->reason != failure_kind::none) known.problem = to_string(end->reason);
    } else if (const auto* refusal = std::get_if<refuse>(&item)) {
        result.answers[refusal->caller] = {
            0, std::string{to_string(refusal->kind)}, std::string{to_string(refusal->state)}, {}};
    } else if (const auto* counter = std::get_if<count>(&item)) {
        result.counters[counter->label.empty() ? counter->name : counter->name + "/" + counter->label] +=
            counter->amount;
    }
}

template <class Event, class State>
bool replay_events(std::istream& in, const std::string& name, State& state, replay_result& result,
                   failure& error) {
    constexpr std::uint64_t header_lines = 1;
    for (std::string line; std::getline(in, line);) {
        const std::string where = name + ":" + std::to_string(result.events + header_lines + 1);
        const auto event = parse_json_as<Event>(line, where, unknown_keys::skip, error);
        if (!event) {
            // The last line is truncated if the process was killed while writing it.
            if (error.kind != failure_kind::malformed_document ||
                in.peek() != std::istream::traits_type::eof()) {
                return false;
            }
            ++result.truncated_lines;
            return true;
        }
        ++result.events;
        effects out;
        reduce(state, *event, out);
        for (const effect& item : out) {
            ++result.effects[effect_label(item)];
            record_answer(result, item);
        }
    }
    return true;
}

template <class Daemon, class State, class Event>
bool replay_as(const json& header, std::istream& in, const std::string& name, replay_result& result,
               failure& error) {
    Daemon daemon;
    process_identity identity;
    const json empty = json::object();
    const auto member = [&](const char* key) -> const json& {
        return header.contains(key) ? header.at(key) : empty;
    };
    if (!decode_json(member("settings"), daemon, "$.settings", unknown_keys::skip, error) ||
        !decode_json(member("identity"), identity, "$.identity", unknown_keys::skip, error)) {
        error.where = name + ":1: " + error.where;
        return false;
    }
    State state{make_core_settings(daemon, identity)};
    return replay_events<Event>(in, name, state, result, error);
}

} // namespace

std::optional<replay_result> replay_recording(std::istream& in, const std::string& name, failure& error) {
    replay_result result;
    std::string line;
    std::getline(in, line);
    const auto header = parse_json(line, name + ":1", error);
    if (!header) return std::nullopt;
    if (!header->is_object() || header->value("recording", 0) != recording_version) {
        error = {failure_kind::missing_field, name + ":1: $.recording", "no header of a supported version",
                 std::to_string(recording_version)};
        return std::nullopt;
    }
    result.program = header->value("program", "");
    bool ok = false;
    if (result.program == "router") {
        ok = replay_as<router_daemon_settings, router_state, router_event>(*header, in, name, result, error);
    } else if (result.program == "sidecar") {
        ok = replay_as<sidecar_daemon_settings, sidecar_state, sidecar_event>(*header, in, name, result,
                                                                              error);
    } else {
        error = {failure_kind::out_of_range, name + ":1: $.program", result.program, "router or sidecar"};
    }
    if (!ok) return std::nullopt;
    return result;
}

//-----------------------------------------------------------------------------
// [SECTION] Expected outcomes
//-----------------------------------------------------------------------------

namespace {

json answer_json(const caller_answer& answer) {
    json object{{"status", answer.status},
                {"bytes", answer.body.size()},
                {"hash", format_hex128(0, stable_hash(answer.body)).substr(16)}};
    if (!answer.problem.empty()) object["problem"] = answer.problem;
    if (!answer.run_state.empty()) object["run_state"] = answer.run_state;
    return object;
}

// Sum of the counts of a label, including its sublabels after a slash.
std::uint64_t sum_counts(const std::map<std::string, std::uint64_t>& counts, const std::string& label) {
    std::uint64_t sum = 0;
    for (const auto& [name, value] : counts) {
        if (name == label || name.starts_with(label + "/")) sum += value;
    }
    return sum;
}

void check_count(std::uint64_t found, const json& expected, const std::string& what,
                 std::vector<std::string>& differences) {
    bool ok = false;
    if (expected.is_number_integer()) {
        ok = found == expected.get<std::uint64_t>();
    } else if (expected.is_object()) {
        ok = found >= expected.value("min", std::uint64_t{0}) &&
             found <= expected.value("max", std::numeric_limits<std::uint64_t>::max());
    }
    if (!ok)
        differences.push_back(what + ": found " + std::to_string(found) + ", expected " + expected.dump());
}

void check_answers(const replay_result& result, const json& expected, std::vector<std::string>& differences) {
    for (const auto& [caller, expected_value] : expected.items()) {
        const auto found = result.answers.find(std::strtoull(caller.c_str(), nullptr, 10));
        if (found == result.answers.end()) {
            differences.push_back("answers." + caller + ": none");
            continue;
        }
        const json actual_answer = answer_json(found->second);
        for (const auto& [name, value] : expected_value.items()) {
            const json actual = actual_answer.contains(name) ? actual_answer.at(name) : json{};
            if (actual == value) continue;
            std::string line = "answers.";
            line.append(caller).append(".").append(name).append(": found ").append(actual.dump());
            differences.push_back(line.append(", expected ").append(value.dump()));
        }
    }
}

} // namespace

json make_outcomes(const replay_result& result) {
    json answers = json::object();
    for (const auto& [caller, answer] : result.answers)
        answers[std::to_string(caller)] = answer_json(answer);
    return {{"events", result.events},
            {"effects", result.effects},
            {"counters", result.counters},
            {"answers", answers}};
}

std::vector<std::string> compare_outcomes(const replay_result& result, const json& expected) {
    std::vector<std::string> differences;
    for (const auto& [name, value] : expected.items()) {
        if (name == "events") {
            check_count(result.events, value, name, differences);
        } else if (name == "effects" || name == "counters") {
            const auto& counts = name == "effects" ? result.effects : result.counters;
            for (const auto& [label, expected_value] : value.items())
                check_count(sum_counts(counts, label), expected_value,
                            std::string{name}.append(".").append(label), differences);
        } else if (name == "forbidden") {
            for (const auto& label : value) {
                const std::uint64_t found = sum_counts(result.effects, label.get<std::string>());
                if (found > 0) {
                    differences.push_back("forbidden." + label.get<std::string>() + ": found " +
                                          std::to_string(found));
                }
            }
        } else if (name == "answers") {
            check_answers(result, value, differences);
        } else {
            differences.push_back(name + ": not a member of an outcomes file");
        }
    }
    return differences;
}

} // namespace damaskhill
