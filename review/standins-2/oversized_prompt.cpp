// Case: one request whose prompt is larger than a replica's memory takes the replicas away from all callers.
//
// oversized_prompt PROGRAM DIRECTORY RECORD
#include "fleet.hpp"

using namespace review;

int main(int argc, char** argv) {
    if (argc != 4) return not_run;
    record_file record{argv[3]};
    fleet shop{record, argv[1], argv[2]};
    if (!shop.start()) {
        record.line("the deployment did not start");
        return not_run;
    }
    tally chat_before;
    tally chat_after;
    tally stock_before;
    tally stock_after;
    ordinary_callers chats{shop, true, 200};
    ordinary_callers stocks{shop, false, 200};
    chats.count_in(chat_before);
    stocks.count_in(stock_before);
    pause_for(6000);
    record.line("before: chats " + chat_before.text() + ", stock " + stock_before.text());
    if (chat_before.served * 10 < chat_before.sent * 9 || stock_before.served * 10 < stock_before.sent * 9) {
        record.line("ordinary callers were not served before the disruption");
        return not_run;
    }
    if (trouble()) {
        // A client of another tenant, inside all declared limits, sends one request that is larger than a
        // replica's memory. After the refusal it retries once, as clients do; retries reach other daemons.
        for (const router_place& place : shop.places) {
            const std::string attempt = new_attempt_id();
            record.line("the other client sends " + attempt + " with Damaskhill-Token-Count: 5000000,100");
            const answer got =
                ask_once(place.front_at(), fleet::chat("key-beta", attempt, 12000, "5000000,100"), 12000);
            record.line("its answer: " + std::to_string(got.status));
            if (got.status != 503) break;
            pause_for(static_cast<int>(std::clamp(got.retry_after_s * 1000, 0.0, 4000.0)));
        }
    }
    pause_for(2000);
    chats.count_in(chat_after);
    stocks.count_in(stock_after);
    pause_for(40000);
    chats.stop();
    stocks.stop();
    record.line("after: chats " + chat_after.text() + ", stock " + stock_after.text());
    for (const auto& server : shop.replicas)
        record.line(server->id + " (" + server->service + "): " + std::to_string(server->runs) + " runs, " +
                    std::to_string(server->refusals) + " rejected as too large");
    const int all_sent = chat_after.sent + stock_after.sent;
    const int all_served = chat_after.served + stock_after.served;
    // Starved: a kind of request is served less than a quarter as often as all requests.
    const double chat_share = static_cast<double>(chat_after.served) / std::max(1, chat_after.sent.load());
    const double all_share = static_cast<double>(all_served) / std::max(1, all_sent);
    const bool starved = chat_share < all_share / 4;
    record.line(starved ? "BROKEN: chats of ordinary callers are starved" : "held");
    return starved ? broken : held;
}
