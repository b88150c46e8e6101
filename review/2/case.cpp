// The keys of all tenants are taken away. Later than revokeMs after the acknowledgement, requests with these
// keys, with a key that no manifest ever held, and with no key at all still run.

#include "../lab/lab.hpp"

using namespace lab;

namespace {

constexpr int tenants = 16; // as the site has them, here with one key each

std::string key_of(int tenant) { return "key-" + std::to_string(tenant) + "-k7b2ex5wa5xw"; }

std::string tenant_list(int revoked) {
    std::string list;
    for (int i = 0; i < tenants; ++i) {
        list += (i == 0 ? "" : ",") + (R"({"name":"tenant-)" + std::to_string(i) + R"(","apiKeys":[)" +
                                       (i < revoked ? "" : "\"" + key_of(i) + "\"") + R"(],"priority":1})");
    }
    return "[" + list + "]";
}

} // namespace

int main() {
    begin("record.txt");
    store platform_store(ip(1));
    run_log runs;
    server app({ip(10), 0}, replica_handler("i-app", &runs, [](int fd, const message& request) {
                   sleep_for(0.06);
                   return write_all(fd, answer_head(request, 200, "Content-Length: 4\r\n\r\ndone"));
               }));
    platform_store.put("op/config", manifest(7, tenant_list(0)));
    check_ins registered(platform_store, {{"i-app", "app", app.where(), 6, unix_ms()}});
    const router_ports ports(ip(2));
    router r(ip(2), ports, platform_store.where(), {});
    r.start();
    r.await_ready();

    int serial = 0;
    const auto order = [&](const std::string& who, const std::string& key) {
        const std::string id = who + "-" + std::to_string(serial++);
        const std::string header = key.empty() ? "" : "Authorization: Token " + key + "\r\n";
        const outcome found =
            call(r.front, id, request_text("POST", "/order/1", id, 4000, "plate", header), 4.0);
        return std::pair{runs.count(id), found.answer.status()};
    };
    // While the keys are in force.
    for (int i = 0; i < tenants; ++i) {
        if (order("held" + std::to_string(i), key_of(i)) != std::pair{1, 200})
            give_up("a request with a key in force was not served");
    }
    if (order("never-held", "key-that-no-manifest-held").first != 0)
        return finish(true, "a request whose key no manifest held ran while keys were in force");

    // Three keys at a time, 0.3 s between them, as the site's days do it; then the next three.
    if (trouble()) {
        for (int revoked = 1; revoked <= tenants; ++revoked) {
            platform_store.put("op/config", manifest(7 + 3 * revoked, tenant_list(revoked)));
            note("operator: version %d acknowledged, the key of tenant-%d is taken away", 7 + 3 * revoked,
                 revoked - 1);
            sleep_for(revoked % 3 == 0 ? 1.0 : 0.3);
            if (revoked != tenants - 1) continue;
            sleep_for(6.0); // revokeMs is 5 s
            int ran = 0;
            for (int i = 0; i < revoked; ++i)
                ran += order("one-left" + std::to_string(i), key_of(i)).first;
            note("with one key left, %d of %d requests whose keys had been taken away ran", ran, revoked);
        }
    }
    sleep_for(7.0); // revokeMs is 5 s
    note("7 s later");
    int revoked_ran = 0; // CONFIG
    int unknown_ran = 0; // ROUTE
    int without_key = 0; // no rule judges them
    for (int round = 0; round < 5; ++round) {
        if (trouble()) {
            for (int i = 0; i < tenants; ++i)
                revoked_ran += order("revoked" + std::to_string(i), key_of(i)).first;
        }
        unknown_ran += order("never-held", "key-that-no-manifest-held").first;
        without_key += order("no-key", "").first;
        sleep_for(0.3);
    }
    note("without a key %d of 5 ran; not judged", without_key);
    return finish(revoked_ran + unknown_ran > 0,
                  std::to_string(revoked_ran) +
                      " requests ran whose key had been taken away 7 s before, and " +
                      std::to_string(unknown_ran) + " whose key no manifest ever held");
}
