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
    tally chats;
    tally stocks;
    // Callers are many and don't wait for each other: five requests a second of each kind.
    constexpr int gap_ms = 200;
    constexpr int callers = 65; // so many that none is still busy when its next request is due
    ordinary_callers chat_callers{shop, true, gap_ms, "key-alfa", callers};
    ordinary_callers stock_callers{shop, false, gap_ms, "key-alfa", callers};
    chat_callers.count_in(chats);
    stock_callers.count_in(stocks);
    pause_for(4100); // the moment lies between two chats, which come each 200 ms
    record.line("before: chats " + chats.text() + ", stock " + stocks.text());
    if (chats.served * 10 < chats.sent * 9 || stocks.served * 10 < stocks.sent * 9) {
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
    pause_for(60000);
    chat_callers.stop();
    stock_callers.stop();
    record.line("whole run: chats " + chats.text() + ", stock " + stocks.text());
    for (const auto& server : shop.replicas)
        record.line(server->id + " (" + server->service + "): " + std::to_string(server->runs) + " runs, " +
                    std::to_string(server->refusals) + " rejected as too large");
    // Starved: a kind of request is served less than a quarter as often as all requests. Judged over the
    // whole run, with the time before the disruption; the oversized request is left out.
    const double chat_share = static_cast<double>(chats.served) / std::max(1, chats.sent.load());
    const double all_share =
        static_cast<double>(chats.served + stocks.served) / std::max(1, chats.sent + stocks.sent);
    const bool starved = chat_share < all_share / 4;
    record.line(starved ? "Starved: BROKEN" : "Starved: held");
    return starved ? broken : held;
}
