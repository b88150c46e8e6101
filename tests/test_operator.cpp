// Operations of the operators' command line on a fake store that loses replies and has concurrent writers.

#include "damaskhill_impl_operator.hpp"

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

#include <filesystem>

#include <unistd.h>

using namespace damaskhill;
namespace fs = std::filesystem;

BOOST_AUTO_TEST_SUITE(operators)

namespace {

struct fake_store {
    std::map<std::string, std::pair<std::uint64_t, std::string>> values;
    int lose_replies{};             // number of next writes that take effect but get no reply
    int lose_requests{};            // number of next writes that do not arrive
    std::function<void()> on_write; // called once, before the next write
    int writes{};

    operator_store connect() {
        operator_store store;
        store.name = "fake";
        store.read = [this](const std::string& key) {
            store_result r;
            if (values.contains(key)) r.values.push_back({key, values[key].first, values[key].second});
            return r;
        };
        store.compare_and_swap = [this](const std::string& key, std::uint64_t expected,
                                        const std::string& value) {
            if (on_write) std::exchange(on_write, {})();
            store_result r;
            r.result = failure_kind::store_timeout;
            if (lose_requests > 0) {
                --lose_requests;
                return r;
            }
            auto& [version, present] = values[key];
            if (version != expected) {
                r.result = failure_kind::store_conflict;
                return r;
            }
            ++writes;
            ++version;
            present = value;
            if (lose_replies > 0) {
                --lose_replies;
                return r;
            }
            r.result = failure_kind::none;
            return r;
        };
        store.read_all = [this] {
            store_result r;
            for (const auto& [key, value] : values)
                r.values.push_back({key, value.first, value.second});
            return r;
        };
        return store;
    }
    team_record record(const std::string& team) {
        failure error;
        return decode_team_record(values.at("config/" + team).second, error).value();
    }
};

// Temporary directory, removed at the end of the test.
struct temporary_directory {
    fs::path root;
    temporary_directory() {
        static int number = 0;
        root = fs::temp_directory_path() /
               ("config-test-" + std::to_string(getpid()) + "-" + std::to_string(++number));
    }
    ~temporary_directory() {
        std::error_code ignored;
        fs::remove_all(root, ignored);
    }
    temporary_directory(const temporary_directory&) = delete;
    temporary_directory& operator=(const temporary_directory&) = delete;
    void put(const std::string& team, const std::string& path, const json& document) const {
        checkout local;
        local.folder = (root / "teams" / team).string();
        failure error;
        BOOST_REQUIRE(write_checkout_file(local, path, document, error));
    }
    checkout open(const std::string& team) const {
        failure error;
        auto local = read_checkout(root.string(), team, error);
        BOOST_REQUIRE_MESSAGE(local, describe(error));
        return *local;
    }
};

json centre(const char* name, bool in_service) { return {{"name", name}, {"in_service", in_service}}; }

document_edit set_service(bool in_service) {
    return [in_service](const json& present, failure&) {
        json document = present;
        document["in_service"] = in_service;
        return std::optional{document};
    };
}

} // namespace

// Guards against `apply` reporting a failure or writing a second revision after a lost reply.
BOOST_AUTO_TEST_CASE(apply_recovers_from_a_lost_reply) {
    temporary_directory s;
    fake_store store;
    s.put("t", "data_centres/a.json", centre("a", true));
    store.lose_replies = 1;
    store.lose_requests = 1;
    checkout local = s.open("t");
    failure error;
    BOOST_TEST(apply_checkout(store.connect(), local, "n1", error).value_or(0) == 1U);
    BOOST_TEST(store.writes == 1);
    BOOST_TEST(s.open("t").base.revision == 1U);
}

// Guards against reporting an accepted change as refused when its reply is lost and another operator's change
// follows it.
BOOST_AUTO_TEST_CASE(lost_reply_is_recognised_after_a_later_change) {
    temporary_directory s;
    temporary_directory other;
    fake_store store;
    s.put("t", "data_centres/a.json", centre("a", true));
    checkout local = s.open("t");
    const operator_store reliable_store = store.connect();
    operator_store lossy_store = reliable_store;
    lossy_store.compare_and_swap = [&](const std::string& key, std::uint64_t expected,
                                       const std::string& value) {
        reliable_store.compare_and_swap(key, expected, value);
        fs::create_directories(other.root / "teams" / "t");
        checkout theirs = other.open("t");
        failure ignored;
        BOOST_REQUIRE(update_checkout(reliable_store, theirs, ignored));
        BOOST_REQUIRE(
            apply_edit(reliable_store, theirs, "data_centres/a.json", set_service(false), "n2", ignored));
        store_result lost;
        lost.result = failure_kind::store_timeout;
        return lost;
    };
    failure error;
    BOOST_TEST(apply_checkout(lossy_store, local, "n1", error).value_or(0) == 1U);
    BOOST_TEST(store.record("t").revision == 2U);
    // The checkout does not contain revision 2, so the next apply must not overwrite it.
    checkout again = s.open("t");
    BOOST_TEST(!apply_checkout(reliable_store, again, "n3", error));
    BOOST_TEST((error.kind == failure_kind::stale_revision));
    BOOST_TEST(store.record("t").files["data_centres/a.json"]["in_service"] == false);
}

// Guards against `apply` silently overwriting a change that another operator applied after the checkout was
// taken, either before `apply` starts or between its read and its write.
BOOST_AUTO_TEST_CASE(apply_refuses_a_stale_checkout) {
    for (const bool during : {false, true}) {
        temporary_directory mine;
        temporary_directory other;
        fake_store store;
        mine.put("t", "data_centres/a.json", centre("a", true));
        checkout local = mine.open("t");
        failure error;
        BOOST_REQUIRE(apply_checkout(store.connect(), local, "n1", error));
        const auto apply_concurrently = [&] {
            fs::create_directories(other.root / "teams" / "t");
            checkout theirs = other.open("t");
            failure ignored;
            BOOST_REQUIRE(update_checkout(store.connect(), theirs, ignored));
            other.put("t", "data_centres/b.json", centre("b", true));
            theirs = other.open("t");
            BOOST_REQUIRE(apply_checkout(store.connect(), theirs, "n2", ignored));
        };
        mine.put("t", "data_centres/a.json", centre("a", false));
        local = mine.open("t");
        if (during) {
            store.on_write = apply_concurrently;
        } else {
            apply_concurrently();
        }
        BOOST_TEST(!apply_checkout(store.connect(), local, "n3", error));
        BOOST_TEST((error.kind == failure_kind::stale_revision));
        BOOST_TEST(error.found.find("data_centres/b.json (changed in the store)") != std::string::npos);
        BOOST_TEST(error.found.find("data_centres/a.json (changed here)") != std::string::npos);
        BOOST_TEST(store.record("t").files.contains("data_centres/b.json"));
        // After `get`, the local change is kept and can be applied on top.
        local = mine.open("t");
        const auto conflicts = update_checkout(store.connect(), local, error);
        BOOST_REQUIRE(conflicts);
        BOOST_TEST(conflicts->empty());
        local = mine.open("t");
        BOOST_TEST(apply_checkout(store.connect(), local, "n4", error).value_or(0) == 3U);
        BOOST_TEST(store.record("t").files.at("data_centres/a.json")["in_service"] == false);
        BOOST_TEST(store.record("t").files.contains("data_centres/b.json"));
    }
}

// Guards against `get` discarding a local edit, and against `apply` before a conflict is merged.
BOOST_AUTO_TEST_CASE(get_keeps_both_versions_of_a_conflicting_file) {
    temporary_directory mine;
    fake_store store;
    mine.put("t", "data_centres/a.json", centre("a", true));
    checkout local = mine.open("t");
    failure error;
    BOOST_REQUIRE(apply_checkout(store.connect(), local, "n1", error));
    temporary_directory other;
    fs::create_directories(other.root / "teams" / "t");
    checkout theirs = other.open("t");
    BOOST_REQUIRE(update_checkout(store.connect(), theirs, error));
    BOOST_REQUIRE(
        apply_edit(store.connect(), theirs, "data_centres/a.json", set_service(false), "n2", error));
    mine.put("t", "data_centres/a.json", {{"name", "a2"}});
    local = mine.open("t");
    const auto conflicts = update_checkout(store.connect(), local, error);
    BOOST_REQUIRE(conflicts);
    BOOST_TEST(conflicts->size() == 1U);
    BOOST_TEST(!read_checkout(mine.root.string(), "t", error).has_value());
    fs::remove(mine.root / "teams/t" / conflicts->front());
    BOOST_TEST(mine.open("t").record.files["data_centres/a.json"]["name"] == "a2");
}

// Guards against `leave` being blocked by edits of other files on either side, or applying them.
BOOST_AUTO_TEST_CASE(leave_changes_one_file_only) {
    temporary_directory mine;
    fake_store store;
    mine.put("t", "data_centres/a.json", centre("a", true));
    mine.put("t", "data_centres/b.json", centre("b", true));
    checkout local = mine.open("t");
    failure error;
    BOOST_REQUIRE(apply_checkout(store.connect(), local, "n1", error));
    temporary_directory other;
    fs::create_directories(other.root / "teams" / "t");
    checkout theirs = other.open("t");
    BOOST_REQUIRE(update_checkout(store.connect(), theirs, error));
    BOOST_REQUIRE(
        apply_edit(store.connect(), theirs, "data_centres/b.json", set_service(false), "n2", error));
    mine.put("t", "data_centres/c.json", centre("c", true));
    local = mine.open("t");
    BOOST_TEST(find_declaration_path(local.record, "data_centres/", "a") == "data_centres/a.json");
    BOOST_REQUIRE(apply_edit(store.connect(), local, "data_centres/a.json", set_service(false), "n3", error));
    const team_record stored = store.record("t");
    BOOST_TEST(stored.files.at("data_centres/a.json")["in_service"] == false);
    BOOST_TEST(stored.files.at("data_centres/b.json")["in_service"] == false);
    BOOST_TEST(!stored.files.contains("data_centres/c.json"));
    // The checkout does not contain the other operator's change yet.
    local = mine.open("t");
    BOOST_TEST(!apply_checkout(store.connect(), local, "n4", error));
    BOOST_TEST((error.kind == failure_kind::stale_revision));
}

// Guards against a change that uses a name of another team.
BOOST_AUTO_TEST_CASE(names_of_other_teams_are_refused_with_file_and_path) {
    fake_store store;
    temporary_directory s;
    const json pool{{"name", "lm"}};
    const std::string key(64, 'a');
    s.put("first", "pools/lm.json", pool);
    s.put("first", "data_centres/a.json", centre("a", true));
    s.put("first", "accounts/x.json", {{"name", "first/x"}, {"key_hashes", {key}}});
    checkout first = s.open("first");
    failure error;
    BOOST_REQUIRE(apply_checkout(store.connect(), first, "n1", error));
    const std::vector<std::pair<std::string, json>> conflicting_declarations{
        {"pools/mine.json", pool},
        {"data_centres/mine.json", centre("a", false)},
        {"accounts/mine.json", {{"name", "first/y"}}},
        {"accounts/mine.json", {{"name", "second/y"}, {"key_hashes", {key}}}},
        {"moves/mine.json",
         {{"name", "m"},
          {"pool", "lm"},
          {"from_version", "1"},
          {"to_version", "2"},
          {"start", 0},
          {"deadline", 9}}}};
    for (const auto& [path, document] : conflicting_declarations) {
        temporary_directory other;
        other.put("second", path, document);
        checkout second = other.open("second");
        BOOST_TEST(!apply_checkout(store.connect(), second, "n2", error));
        BOOST_TEST((error.kind == failure_kind::foreign_subtree));
        BOOST_TEST(error.where.find(path.substr(0, path.find('/'))) != std::string::npos);
        BOOST_TEST(!error.found.empty());
        BOOST_TEST(!error.allowed.empty());
    }
    BOOST_TEST(!store.values.contains("config/second"));
}

// Guards against lost or repeated changes with concurrent operators and lost replies: every accepted change
// creates exactly one revision, and the store contains the last accepted value of each file.
RC_BOOST_PROP(concurrent_operators_lose_no_changes, (const std::vector<std::uint8_t>& steps)) {
    fake_store store;
    std::vector<std::unique_ptr<temporary_directory>> operators;
    failure error;
    for (int i = 0; i < 2; ++i) {
        operators.push_back(std::make_unique<temporary_directory>());
        fs::create_directories(operators.back()->root / "teams" / "t");
    }
    operators[0]->put("t", "data_centres/0.json", centre("0", true));
    operators[0]->put("t", "data_centres/1.json", centre("1", true));
    checkout first = operators[0]->open("t");
    RC_ASSERT(apply_checkout(store.connect(), first, "n", error).has_value());
    std::map<std::string, bool> expected{{"0", true}, {"1", true}};
    std::uint64_t accepted = 1;
    int number = 0;
    for (const std::uint8_t step : steps) {
        temporary_directory& current_operator = *operators[step & 1U];
        const std::string name = (step & 2U) != 0 ? "1" : "0";
        const std::string path = "data_centres/" + name + ".json";
        const bool value = (step & 4U) != 0;
        store.lose_replies = (step & 8U) != 0 ? 1 : 0;
        store.lose_requests = (step & 16U) != 0 ? 1 : 0;
        checkout local = current_operator.open("t");
        if ((step & 32U) != 0) RC_ASSERT(update_checkout(store.connect(), local, error).has_value());
        const auto revision = apply_edit(store.connect(), local, path, set_service(value),
                                         "n" + std::to_string(++number), error);
        if (revision) {
            RC_ASSERT(*revision == ++accepted);
            expected[name] = value;
        } else {
            RC_ASSERT(error.kind == failure_kind::stale_revision);
        }
        RC_ASSERT(store.record("t").revision == accepted);
        for (const auto& [centre_name, in_service] : expected)
            RC_ASSERT(store.record("t").files["data_centres/" + centre_name + ".json"]["in_service"] ==
                      in_service);
    }
}

// Guards against a status that omits a process that is behind or does not respond.
BOOST_AUTO_TEST_CASE(status_lists_processes_that_are_behind) {
    std::vector<process_status> processes(3);
    processes[0].vm.name = "r1";
    processes[0].vm.role = process_role::router;
    processes[0].answered = true;
    processes[0].revisions = {{"t", 4}};
    processes[1].vm.name = "s1";
    processes[1].answered = true;
    processes[1].ready = true;
    processes[2].vm.name = "s2";
    processes[2].vm.http = "127.0.0.1:1";
    const std::vector<team_revision> stored{{"t", 5}, {"u", 1}};
    mark_behind(processes, stored);
    BOOST_TEST(processes[0].behind.size() == 2U);
    BOOST_TEST(processes[1].behind.empty()); // a sidecar holds only the teams relevant to it
    const std::string table = status_table(processes, stored);
    BOOST_TEST(table.find("4 behind") != std::string::npos);
    BOOST_TEST(table.find("no answer") != std::string::npos);
    BOOST_TEST(status_json(processes, stored)["processes"][0]["behind"].size() == 2U);
}

BOOST_AUTO_TEST_SUITE_END()
