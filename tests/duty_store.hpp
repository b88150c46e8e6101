// Key-value store with leases on virtual time, which can be restored from a copy.
//
// Index of this file:
// [SECTION] Store

#pragma once

#include "damaskhill_duty_holder.hpp"

#include <map>

namespace damaskhill {

//-----------------------------------------------------------------------------
// [SECTION] Store
//-----------------------------------------------------------------------------

struct duty_store {
    struct copy {
        std::map<std::string, duty_item> items;
        std::uint64_t revision{10};
    };
    copy contents;
    copy saved;
    std::uint64_t era{1};
    std::uint64_t next_lease{1};
    std::map<std::uint64_t, time_point> leases; // ends

    void expire(time_point now) {
        std::erase_if(leases, [&](const auto& lease) { return lease.second <= now; });
        std::erase_if(contents.items, [&](const auto& item) {
            return item.second.lease != 0 && !leases.contains(item.second.lease);
        });
    }
    void restore() {
        contents = saved;
        ++era;
    }
    duty_store_answer run(const duty_store_call& call, time_point now) {
        expire(now);
        duty_store_answer answer;
        answer.id = call.id;
        answer.era = era;
        answer.status = 200;
        if (call.action == duty_store_action::create_lease) {
            answer.lease = next_lease++;
            answer.lease_time = call.lease_time;
            leases[answer.lease] = now + call.lease_time;
        } else if (call.action == duty_store_action::keep_lease) {
            if (leases.contains(call.lease)) {
                leases[call.lease] = now + 3s;
            } else {
                answer.status = 404;
            }
        } else if (call.action == duty_store_action::read) {
            const auto found = contents.items.find(call.key);
            if (found == contents.items.end()) {
                answer.status = 404;
            } else {
                answer.item = found->second;
            }
        } else {
            write(call, answer);
        }
        return answer;
    }
    void write(const duty_store_call& call, duty_store_answer& answer) {
        for (const duty_condition& condition : call.conditions) {
            const auto found = contents.items.find(condition.key);
            const std::uint64_t held = found == contents.items.end() ? 0 : found->second.revision;
            if (held != condition.revision) answer.status = 412;
        }
        if (call.lease != 0 && !leases.contains(call.lease)) answer.status = 404;
        if (answer.status != 200) return;
        answer.revision = ++contents.revision;
        if (call.action == duty_store_action::write) {
            contents.items[call.key] = {call.value, contents.revision, call.lease};
        } else {
            contents.items.erase(call.key);
        }
    }
};

} // namespace damaskhill
