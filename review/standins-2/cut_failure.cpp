// Case: a replica crashes in the middle of a failure answer that has neither a length nor chunks; the client
// gets the first half as a complete answer.
//
// cut_failure PROGRAM DIRECTORY RECORD
#include "fleet.hpp"

#include <sys/prctl.h>
using namespace review;

namespace {

constexpr std::string_view first_half =
    "{\"error\":\"lot is taken\",\"lot\":4711,\"held_until\":\"2026-12-24\",";
constexpr std::string_view second_half = "\"booked\":false,\"may_ask_again\":false}\n";

/// A plain replica as a process of its own. It answers each order with a whole 409 that ends with its
/// channel. Between the halves it reports to the parent and works on for half a second.
pid_t start_replica(const endpoint& at, const std::string& id, int report_to) {
    const pid_t pid = ::fork();
    if (pid != 0) return pid;
    ::prctl(PR_SET_PDEATHSIG, SIGKILL); // never outlives the script
    http_server server;
    const bool ok = server.start(at, [&](int fd, const message& request) {
        const std::string attempt = request.header("Damaskhill-Attempt-Id");
        if (request.header("Damaskhill-Expect-Replica") != id)
            return send_all(fd, "HTTP/1.1 421 Misdirected Request\r\nDamaskhill-Attempt-Id: " + attempt +
                                    "\r\nDamaskhill-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
        send_all(fd, "HTTP/1.1 409 Conflict\r\nDamaskhill-Attempt-Id: " + attempt +
                         "\r\nDamaskhill-Replica-Seal: s." + attempt +
                         "\r\nContent-Type: application/json\r\nConnection: close\r\n\r\n" +
                         std::string{first_half});
        (void)!::write(report_to, "h", 1);
        pause_for(500);
        send_all(fd, second_half);
        return false; // the end of the channel ends the answer
    });
    if (!ok) ::_exit(1);
    while (true)
        pause_for(1000);
}

} // namespace

int main(int argc, char** argv) {
    if (argc != 4) return not_run;
    record_file record{argv[3]};
    std::array<int, 2> halves{};
    if (::pipe2(halves.data(), O_CLOEXEC) != 0) return not_run;
    // The replicas start before any thread of this process; each has an id and an address of its own.
    constexpr int rounds = 4;
    std::vector<pid_t> replicas;
    std::vector<endpoint> addresses;
    for (int i = 0; i < rounds; ++i) {
        endpoint at{loopback(4, i + 1), 0};
        at.port = free_port({at.ip});
        addresses.push_back(at);
        replicas.push_back(start_replica(at, "o-" + std::to_string(i + 1), halves[1]));
    }
    const auto end_replicas = [&] {
        for (const pid_t pid : replicas) {
            if (pid <= 0) continue;
            ::kill(pid, SIGKILL);
            ::waitpid(pid, nullptr, 0);
        }
    };
    int cut_and_complete = 0;
    int whole = 0;
    bool ran = false;
    {
        fleet_options options;
        options.routers = 1;
        options.apps = 0;
        fleet shop{record, argv[1], argv[2], options};
        ran = shop.start();
        for (int i = 0; ran && i < rounds; ++i) {
            const std::string id = "o-" + std::to_string(i + 1);
            shop.platform.put(
                "servers/" + id,
                "{\"service\":\"app\",\"address\":\"" + addresses[static_cast<std::size_t>(i)].text() +
                    "\",\"zone\":\"zone-1\",\"version\":\"v1\",\"capacity\":6,\"state\":\"ready\"," +
                    "\"coldRemainingMs\":0,\"sequence\":1,\"born\":1700000000000}");
            pause_for(2500); // until all routers know it
            const std::string attempt = new_attempt_id();
            answer got;
            std::thread client{[&] {
                got = ask_once(
                    shop.places[0].front_at(),
                    "POST /order/9 HTTP/1.1\r\nHost: shop.example\r\nDamaskhill-Attempt-Id: " + attempt +
                        "\r\nDamaskhill-Deadline-Remaining: 4000\r\nAuthorization: Token key-alfa\r\n" +
                        "Content-Length: 2\r\n\r\nhi",
                    4000);
            }};
            pollfd half{halves[0], POLLIN, 0};
            char byte = 0;
            const bool begun = ::poll(&half, 1, 4000) == 1 && ::read(halves[0], &byte, 1) == 1;
            pause_for(100); // the first half is on its way
            if (begun && trouble()) {
                ::kill(replicas[static_cast<std::size_t>(i)], SIGKILL);
                record.line("replica " + id + " is killed in the middle of its answer to " + attempt);
            }
            client.join();
            const bool is_whole = got.body == std::string{first_half} + std::string{second_half};
            record.line("order " + attempt + ": status " + std::to_string(got.status) + ", " +
                        (got.complete ? "complete" : "broken off") + ", " + std::to_string(got.body.size()) +
                        " of " + std::to_string(first_half.size() + second_half.size()) + " bytes, seal '" +
                        header_of(got.head, "Damaskhill-Replica-Seal") + "', length '" +
                        header_of(got.head, "Content-Length") + "', body " + got.body);
            ran = ran && begun;
            const bool from_replica = !header_of(got.head, "Damaskhill-Replica-Seal").empty();
            if (got.status == 409 && got.complete && is_whole) ++whole;
            if (got.complete && from_replica && !is_whole) ++cut_and_complete;
            if (!trouble()) ::kill(replicas[static_cast<std::size_t>(i)], SIGKILL);
            // Its registration lapses after three check-in intervals of silence.
            std::thread lapse{[&shop, id] {
                pause_for(3600);
                shop.platform.remove("servers/" + id);
            }};
            lapse.join();
        }
    }
    end_replicas();
    if (!ran || (!trouble() && whole != rounds)) return not_run;
    record.line(std::to_string(cut_and_complete) + " of " + std::to_string(rounds) +
                " answers ended early and looked complete");
    return cut_and_complete > 0 ? broken : held;
}
