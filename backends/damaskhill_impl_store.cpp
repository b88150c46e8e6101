// Index of this file:
// [SECTION] Key-value store
// [SECTION] Platform effects of the router

#include "damaskhill_impl_store.hpp"

#include "damaskhill_impl_json.hpp"

namespace damaskhill {

//-----------------------------------------------------------------------------
// [SECTION] Key-value store
//-----------------------------------------------------------------------------

namespace {

constexpr duration transfer_timeout = 2s; // only frees the connection; the core gives up earlier
constexpr std::uint32_t conflict_status = 409;

store_result to_result(const http_result& reply) {
    store_result result;
    if (!reply.transport_ok) {
        result.result = reply.timed_out ? failure_kind::store_timeout : failure_kind::store_unreachable;
        return result;
    }
    failure error;
    const auto document = parse_json(reply.body, "store reply", error);
    const bool known = reply.status == 200 || reply.status == conflict_status;
    if (!known || !document || !document->is_object()) {
        result.result = failure_kind::store_unreachable;
        return result;
    }
    if (reply.status == conflict_status) result.result = failure_kind::store_conflict;
    try {
        result.revision = document->value("revision", std::uint64_t{0});
        for (const json& entry : document->value("values", json::array())) {
            result.values.push_back({entry.value("key", std::string{}),
                                     entry.value("version", std::uint64_t{0}),
                                     entry.value("value", std::string{})});
        }
    } catch (const json::exception&) {
        result = {};
        result.result = failure_kind::store_unreachable; // an invalid response counts as no response
    }
    return result;
}

} // namespace

void store_client::call(const std::string& path, const std::string& body, duration timeout,
                        store_handler done) {
    http_call request{"POST", url_ + path, {{"Content-Type", "application/json"}}, body, timeout, 1s};
    http_.start(std::move(request),
                {{}, [done = std::move(done)](http_result&& reply) { done(to_result(reply)); }});
}

void store_client::read(const std::string& key, store_handler done) {
    call("/v1/kv/get", dump_json(json{{"key", key}}), transfer_timeout, std::move(done));
}

void store_client::compare_and_swap(const std::string& key, std::uint64_t expected, const std::string& value,
                                    store_handler done) {
    call("/v1/kv/swap", dump_json(json{{"key", key}, {"expected", expected}, {"value", value}}),
         transfer_timeout, std::move(done));
}

void store_client::watch(const std::string& prefix, std::uint64_t after, duration wait, store_handler done) {
    const auto wait_ms = static_cast<std::uint64_t>(to_milliseconds(wait));
    call("/v1/kv/watch", dump_json(json{{"prefix", prefix}, {"after", after}, {"wait_ms", wait_ms}}),
         wait + transfer_timeout, std::move(done));
}

void store_client::list_vms(std::function<void(std::optional<vm_list>&&)> done) {
    http_call request{"GET", url_ + "/v1/vms", {}, {}, transfer_timeout, 1s};
    http_.start(std::move(request),
                {{}, [done = std::move(done)](http_result&& reply) {
                     failure error;
                     if (!reply.transport_ok || reply.status != 200) {
                         done(std::nullopt);
                         return;
                     }
                     done(parse_json_as<vm_list>(reply.body, "list of VMs", unknown_keys::skip, error));
                 }});
}

//-----------------------------------------------------------------------------
// [SECTION] Platform effects of the router
//-----------------------------------------------------------------------------

namespace {

constexpr const char* facts_key = "facts";
constexpr duration watch_wait = 1s; // limits the age of a process's copy of the declarations

std::uint64_t first_version(const store_result& result) {
    return result.values.empty() ? 0 : result.values.front().version;
}

} // namespace

void platform_effects::perform(const store_read& request) {
    store_.read(request.key, [this, call = request.call](store_result&& result) {
        store_reply reply{call, result.result, first_version(result), {}};
        if (reply.version > 0) {
            failure error;
            auto log = parse_json_as<order_log>(result.values.front().value, "order record",
                                                unknown_keys::skip, error);
            // An unreadable record must not look empty, since orders listed in it may have been executed.
            if (!log) reply.result = failure_kind::store_unreachable;
            if (log) reply.log = std::move(*log);
        }
        submit_(std::move(reply));
    });
}

void platform_effects::perform(const store_swap& request) {
    const std::string value = dump_json(encode_json(request.log));
    store_.compare_and_swap(request.key, request.expected, value,
                            [this, call = request.call](store_result&& result) {
                                submit_(store_reply{call, result.result, first_version(result), {}});
                            });
}

void platform_effects::perform(const watch_config& request) {
    store_.watch("config/", request.after, watch_wait, [this](store_result&& result) {
        config_watch_result watched;
        watched.result = result.result;
        watched.store_revision = result.revision;
        for (const stored_value& value : result.values) {
            failure error;
            const auto record = decode_team_record(value.value, error);
            auto declared = record ? parse_declarations(*record, error) : std::nullopt;
            if (declared) {
                watched.teams.push_back(std::move(*declared));
            } else {
                ++watched.rejected;
            }
        }
        submit_(std::move(watched));
    });
}

void platform_effects::perform(const store_facts& request) {
    const auto on_result = [this](store_result&& result) {
        facts_reply reply{result.result, first_version(result), {}};
        if (!result.values.empty() && !result.values.front().value.empty()) {
            failure error;
            auto known =
                parse_json_as<facts>(result.values.front().value, "facts", unknown_keys::skip, error);
            if (known) reply.known = std::move(*known);
        }
        submit_(std::move(reply));
    };
    if (request.expected) {
        store_.compare_and_swap(facts_key, *request.expected, dump_json(encode_json(request.value)),
                                on_result);
    } else {
        store_.read(facts_key, on_result);
    }
}

void platform_effects::perform(const list_vms& /*unused*/) {
    store_.list_vms([this](std::optional<vm_list>&& list) {
        if (list) submit_(std::move(*list));
    });
}

} // namespace damaskhill
