// Index of this file:
// [SECTION] Replication
// [SECTION] Fetches

#include "damaskhill_router_internal.hpp"

namespace damaskhill::detail {

//-----------------------------------------------------------------------------
// [SECTION] Replication
//-----------------------------------------------------------------------------

namespace {

constexpr std::size_t replica_count = 2; // in addition to the one on the router that produced the answer
constexpr duration fetch_timeout = 1s;
constexpr std::size_t max_replicated_answer = 4U << 20U; // bytes

// Links of the routers that hold replicas of the answer.
std::vector<link_id> replica_links(const router_state& state, request_id request) {
    const auto routers = live_routers(state.members, state.settings.name);
    std::vector<link_id> links;
    for (const std::string& name : rendezvous(routers, to_string(request), replica_count)) {
        const peer* p = find_peer_by_name(state.members, name);
        if (p != nullptr) links.push_back(p->link);
    }
    return links;
}

} // namespace

void cache_finished_answer(router_state& state, const request& r, std::uint32_t status,
                           std::string_view content_type, std::string_view body, effects& out) {
    const finished_answer answer{r.id, r.account, status, std::string{content_type}, std::string{body}};
    cache_answer(state.answers, answer, state.now);
    // A longer answer would exceed the frame limit and delay the work on the link.
    if (body.size() > max_replicated_answer) return;
    for (const link_id link : replica_links(state, r.id))
        out.emplace_back(send_message{link, answer_put{answer}});
}

void on_answer_put(router_state& state, const answer_put& put) {
    cache_answer(state.answers, put.answer, state.now);
}

//-----------------------------------------------------------------------------
// [SECTION] Fetches
//-----------------------------------------------------------------------------

namespace {

void reply_to_fetch(caller_id caller, account_id account, const finished_answer& answer, effects& out) {
    if (answer.account != account) {
        // The same reply as for an unknown answer, so that an outsider cannot probe for identifiers.
        refuse_caller(caller, answer.request, failure_kind::answer_expired, run_state::unknown, {}, out);
        return;
    }
    out.emplace_back(answer_whole{caller, answer.request, answer.status, answer.content_type, answer.body});
}

} // namespace

void on_fetch(router_state& state, const caller_request& input, account_id account, effects& out) {
    const finished_answer* known = find_answer(state.answers, input.request);
    if (known != nullptr) {
        reply_to_fetch(input.caller, account, *known, out);
        return;
    }
    const std::uint64_t call = state.next_call++;
    router_state::pending_fetch fetch{input.caller, account, input.request, 0, state.now + fetch_timeout};
    for (const link_id link : replica_links(state, input.request)) {
        ++fetch.awaited_replies;
        out.emplace_back(send_message{link, answer_get{call, input.request}});
    }
    if (fetch.awaited_replies == 0) {
        refuse_caller(input.caller, input.request, failure_kind::answer_expired, run_state::unknown, {}, out);
        return;
    }
    state.fetches.emplace(call, fetch);
}

void on_answer_get(router_state& state, link_id link, const answer_get& get, effects& out) {
    answer_value value{get.call, std::nullopt};
    const finished_answer* known = find_answer(state.answers, get.request);
    if (known != nullptr) value.answer = *known;
    out.emplace_back(send_message{link, std::move(value)});
}

void on_answer_value(router_state& state, const answer_value& value, effects& out) {
    const auto found = state.fetches.find(value.call);
    if (found == state.fetches.end()) return;
    auto& fetch = found->second;
    if (value.answer && value.answer->request == fetch.request) {
        reply_to_fetch(fetch.caller, fetch.account, *value.answer, out);
        state.fetches.erase(found);
        return;
    }
    if (--fetch.awaited_replies > 0) return;
    refuse_caller(fetch.caller, fetch.request, failure_kind::answer_expired, run_state::unknown, {}, out);
    state.fetches.erase(found);
}

void on_answers_tick(router_state& state, effects& out) {
    expire_answers(state.answers, state.now);
    for (auto it = state.fetches.begin(); it != state.fetches.end();) {
        if (it->second.deadline > state.now) {
            ++it;
            continue;
        }
        refuse_caller(it->second.caller, it->second.request, failure_kind::answer_expired, run_state::unknown,
                      {}, out);
        it = state.fetches.erase(it);
    }
}

} // namespace damaskhill::detail
