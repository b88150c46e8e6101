// Index of this file:
// [SECTION] Checkout
// [SECTION] Store
// [SECTION] Checks
// [SECTION] Changes
// [SECTION] Status

#include "damaskhill_impl_operator.hpp"

#include <algorithm>
#include <filesystem>
#include <fstream>

namespace damaskhill {

namespace fs = std::filesystem;

//-----------------------------------------------------------------------------
// [SECTION] Checkout
//-----------------------------------------------------------------------------

namespace {

constexpr const char* base_file_name = ".revision";
constexpr const char* theirs_suffix = ".theirs";

bool set_file_failure(failure& error, const std::string& path, const std::string& found) {
    error = {failure_kind::internal, path, found, "a writable file"};
    return false;
}

// Writes a temporary file and renames it, so an interrupted command leaves either the old or the new content.
bool write_file(const fs::path& path, const std::string& text, failure& error) {
    std::error_code ec;
    fs::create_directories(path.parent_path(), ec);
    const fs::path part = path.string() + ".part";
    {
        std::ofstream out{part, std::ios::binary | std::ios::trunc};
        out << text;
        out.flush();
        if (!out) return set_file_failure(error, part.string(), "write failed");
    }
    fs::rename(part, path, ec);
    return !ec || set_file_failure(error, path.string(), ec.message());
}

bool read_base(checkout& local, failure& error) {
    const std::string path = (fs::path{local.folder} / base_file_name).string();
    if (!fs::exists(path)) return true; // not fetched from a store yet: revision 0
    const auto text = read_file(path, error);
    const auto document = text ? parse_json(*text, path, error) : std::nullopt;
    if (!document) return false;
    const auto fail = [&](const char* where, const char* allowed) {
        error = {failure_kind::malformed_document, path + ": " + where, dump_json(*document).substr(0, 60),
                 std::string{allowed} + "; run `damaskhillctl get` to recreate it"};
        return false;
    };
    if (!document->is_object() || !document->contains("revision") || !document->contains("files") ||
        !(*document)["files"].is_object()) {
        return fail("$", "an object with revision and files");
    }
    if (!decode_json((*document)["revision"], local.base.revision, "$.revision", unknown_keys::reject,
                     error)) {
        return fail("$.revision", "a revision number");
    }
    for (const auto& [name, hash] : (*document)["files"].items()) {
        if (!hash.is_number_unsigned()) return fail("$.files", "a hash for each file");
        local.base.hashes.emplace(name, hash.get<std::uint64_t>());
    }
    return true;
}

bool read_declaration_file(checkout& local, const fs::path& path, failure& error) {
    const std::string name = fs::relative(path, local.folder).generic_string();
    if (name.ends_with(theirs_suffix)) {
        error = {failure_kind::stale_revision, path.string(),
                 "the store's version of a file that was changed on both sides",
                 "merge it into the file next to it, then delete it"};
        return false;
    }
    if (path.extension() != ".json") return true;
    const auto text = read_file(path.string(), error);
    const auto document = text ? parse_json(*text, path.string(), error) : std::nullopt;
    if (!document) return false;
    local.record.files.emplace(name, *document);
    return true;
}

} // namespace

std::uint64_t document_hash(const json& document) { return stable_hash(dump_json(document)); }

std::optional<checkout> read_checkout(const std::string& root, const std::string& team, failure& error) {
    checkout local;
    local.folder = (fs::path{root} / "teams" / team).string();
    local.record.team = team;
    if (!fs::is_directory(local.folder)) {
        error = {failure_kind::not_found, local.folder, "no directory",
                 "a directory with the team's declarations; `damaskhillctl get` creates it"};
        return std::nullopt;
    }
    if (!read_base(local, error)) return std::nullopt;
    std::vector<fs::path> paths;
    for (const auto& item : fs::recursive_directory_iterator{local.folder}) {
        if (item.is_regular_file()) paths.push_back(item.path());
    }
    std::ranges::sort(paths); // makes the first reported error deterministic
    for (const fs::path& path : paths) {
        if (!read_declaration_file(local, path, error)) return std::nullopt;
    }
    return local;
}

std::optional<bool> write_checkout_file(const checkout& local, const std::string& path, const json& document,
                                        failure& error) {
    const fs::path file = fs::path{local.folder} / path;
    if (document.is_null()) {
        std::error_code ec;
        fs::remove(file, ec);
        if (!ec || set_file_failure(error, file.string(), ec.message())) return true;
        return std::nullopt;
    }
    if (!write_file(file, dump_json(document, 2) + "\n", error)) return std::nullopt;
    return true;
}

std::optional<bool> write_base(const checkout& local, const checkout_base& base, failure& error) {
    const json document{{"revision", base.revision}, {"files", base.hashes}};
    if (!write_file(fs::path{local.folder} / base_file_name, dump_json(document, 2) + "\n", error))
        return std::nullopt;
    return true;
}

checkout_base make_checkout_base(const team_record& record) {
    checkout_base base{record.revision, {}};
    for (const auto& [path, document] : record.files)
        base.hashes.emplace(path, document_hash(document));
    return base;
}

namespace {

std::optional<std::uint64_t> find_hash(const std::map<std::string, std::uint64_t>& hashes,
                                       const std::string& path) {
    const auto found = hashes.find(path);
    return found == hashes.end() ? std::nullopt : std::optional{found->second};
}

} // namespace

std::vector<file_difference> compare_files(const checkout& local, const team_record& stored) {
    const auto local_hashes = make_checkout_base(local.record).hashes;
    const auto stored_hashes = make_checkout_base(stored).hashes;
    std::set<std::string> paths;
    for (const auto* side : {&local_hashes, &stored_hashes, &local.base.hashes}) {
        for (const auto& [path, hash] : *side)
            paths.insert(path);
    }
    std::vector<file_difference> differences;
    for (const std::string& path : paths) {
        const auto base = find_hash(local.base.hashes, path);
        const auto mine = find_hash(local_hashes, path);
        const auto theirs = find_hash(stored_hashes, path);
        if (mine == theirs && mine == base) continue;
        differences.push_back({path, mine != base, theirs != base, mine == theirs});
    }
    return differences;
}

//-----------------------------------------------------------------------------
// [SECTION] Store
//-----------------------------------------------------------------------------

namespace {

bool is_unreachable(const store_result& result) {
    return result.result == failure_kind::store_unreachable || result.result == failure_kind::store_timeout;
}

std::string record_key(const std::string& team) { return "config/" + team; }

// Revision created by the change with this nonce, if the record still lists it.
std::optional<std::uint64_t> revision_of_change(const team_record& record, const std::string& nonce) {
    if (record.nonce == nonce) return record.revision;
    const auto found = std::ranges::find(record.recent_nonces, nonce);
    if (found == record.recent_nonces.end()) return std::nullopt;
    const auto later = static_cast<std::uint64_t>(found - record.recent_nonces.begin()) + 1;
    return record.revision - std::min(later, record.revision);
}

} // namespace

std::optional<stored_team> read_team_record(const operator_store& store, const std::string& team,
                                            failure& error) {
    const store_result present = store.read(record_key(team));
    if (is_unreachable(present)) {
        error = {present.result, store.name, "no answer", "a reachable key-value store"};
        return std::nullopt;
    }
    stored_team stored;
    stored.record.team = team;
    if (present.values.empty() || present.values.front().version == 0) return stored;
    stored.version = present.values.front().version;
    auto record = decode_team_record(present.values.front().value, error);
    if (!record) {
        error.where = store.name + " " + record_key(team) + ": " + error.where;
        return std::nullopt;
    }
    stored.record = std::move(*record);
    return stored;
}

//-----------------------------------------------------------------------------
// [SECTION] Checks
//-----------------------------------------------------------------------------

namespace {

// Path of the file that declares this name, or the folder if there is none; for error messages.
std::string declaration_path(const team_record& record, std::string_view folder, std::string_view name) {
    for (const auto& [path, document] : record.files) {
        if (path.starts_with(folder) && document.is_object() && document.value("name", "") == name)
            return path;
    }
    return std::string{folder};
}

bool set_name_conflict(failure& error, const std::string& file, const std::string& name,
                       const std::string& owner) {
    error = {failure_kind::foreign_subtree, file + ": $.name", "\"" + name + "\"",
             "a name that is not declared by team \"" + owner + "\""};
    return false;
}

bool check_conflicts(const team_record& record, const team_declarations& mine, const team_declarations& other,
                     failure& error) {
    for (const pool_declaration& pool : mine.pools) {
        if (std::ranges::find(other.pools, pool.name, &pool_declaration::name) == other.pools.end()) continue;
        const std::string folder = pool.kind == target_kind::service ? "services/" : "pools/";
        return set_name_conflict(error, declaration_path(record, folder, pool.name), pool.name, other.team);
    }
    for (const data_centre_declaration& centre : mine.data_centres) {
        const auto found = std::ranges::find(other.data_centres, centre.name, &data_centre_declaration::name);
        if (found == other.data_centres.end()) continue;
        return set_name_conflict(error, declaration_path(record, "data_centres/", centre.name), centre.name,
                                 other.team);
    }
    for (const move_declaration& move : mine.moves) {
        if (std::ranges::find(other.pools, move.pool, &pool_declaration::name) == other.pools.end()) continue;
        error = {failure_kind::foreign_subtree, declaration_path(record, "moves/", move.name) + ": $.pool",
                 "\"" + move.pool + "\"", "a pool of team \"" + mine.team + "\""};
        return false;
    }
    for (const account_declaration& account : mine.accounts) {
        for (const account_declaration& theirs : other.accounts) {
            const auto shared = std::ranges::find_first_of(account.key_hashes, theirs.key_hashes);
            if (shared == account.key_hashes.end()) continue;
            error = {failure_kind::foreign_subtree,
                     declaration_path(record, "accounts/", account.name) + ": $.key_hashes",
                     "\"" + *shared + "\"", "a key that is not used by account \"" + theirs.name + "\""};
            return false;
        }
    }
    return true;
}

} // namespace

std::optional<bool> check_record(const operator_store& store, const team_record& record, failure& error) {
    const auto mine = parse_declarations(record, error);
    if (!mine) return std::nullopt;
    const store_result all = store.read_all();
    if (is_unreachable(all)) {
        error = {all.result, store.name, "no answer", "a reachable key-value store"};
        return std::nullopt;
    }
    for (const stored_value& value : all.values) {
        failure ignored; // a record that cannot be decoded is not active in any process
        const auto other = decode_team_record(value.value, ignored);
        const auto theirs = other ? parse_declarations(*other, ignored) : std::nullopt;
        if (!theirs || theirs->team == mine->team) continue;
        if (!check_conflicts(record, *mine, *theirs, error)) return std::nullopt;
    }
    return true;
}

//-----------------------------------------------------------------------------
// [SECTION] Changes
//-----------------------------------------------------------------------------

namespace {

constexpr int max_write_attempts = 6;

// Error for a checkout that is older than the store, with the files that differ.
failure make_stale_checkout_failure(const checkout& local, const team_record& stored) {
    std::string files;
    for (const file_difference& d : compare_files(local, stored)) {
        if (d.identical) continue;
        files += files.empty() ? "" : ", ";
        files += d.path;
        files += d.changed_here && d.changed_in_store ? " (changed here and in the store)"
                 : d.changed_in_store                 ? " (changed in the store)"
                                                      : " (changed here)";
    }
    return {failure_kind::stale_revision, local.folder,
            "a checkout of revision " + std::to_string(local.base.revision) +
                " while the store holds revision " + std::to_string(stored.revision) +
                "; files that differ: " + files,
            "the latest revision: run `damaskhillctl get`, review the files, then apply again"};
}

// Record for the next revision after `stored`. Keeps the nonces of the preceding changes.
team_record make_next_record(const stored_team& stored, std::map<std::string, json> files,
                             const std::string& nonce) {
    team_record next = stored.record;
    next.files = std::move(files);
    next.revision = stored.record.revision + 1;
    next.nonce = nonce;
    if (!stored.record.nonce.empty())
        next.recent_nonces.insert(next.recent_nonces.begin(), stored.record.nonce);
    if (next.recent_nonces.size() > max_recent_nonces) next.recent_nonces.resize(max_recent_nonces);
    return next;
}

enum class write_state : std::uint8_t { written, conflict, outcome_unknown };

// One write attempt. After a lost reply, the next read finds either the nonce or the old version.
write_state try_write(const operator_store& store, const stored_team& stored, const team_record& next) {
    const store_result written =
        store.compare_and_swap(record_key(next.team), stored.version, encode_team_record(next));
    if (written.result == failure_kind::none) return write_state::written;
    return is_unreachable(written) ? write_state::outcome_unknown : write_state::conflict;
}

void set_outcome_unknown(const operator_store& store, failure& error) {
    if (error.kind == failure_kind::store_unreachable || error.kind == failure_kind::store_timeout) return;
    error = {failure_kind::store_unreachable, store.name,
             "no reply, so it is unknown whether the change was applied",
             "run the command again: it checks this and does not apply the change twice"};
}

} // namespace

std::optional<std::uint64_t> apply_checkout(const operator_store& store, checkout& local,
                                            const std::string& nonce, failure& error) {
    if (!check_record(store, local.record, error)) return std::nullopt;
    for (int i = 0; i < max_write_attempts; ++i) {
        const auto stored = read_team_record(store, local.record.team, error);
        if (!stored && error.kind == failure_kind::malformed_document) return std::nullopt;
        if (!stored) continue;
        const bool already_stored = stored->version > 0 && stored->record.files == local.record.files;
        const auto mine = revision_of_change(stored->record, nonce);
        if (already_stored || mine) {
            // The base is this change; later changes of others are merged by `get`.
            local.base = make_checkout_base(local.record);
            local.base.revision = already_stored ? stored->record.revision : *mine;
            if (!write_base(local, local.base, error)) return std::nullopt;
            return local.base.revision;
        }
        if (stored->record.revision != local.base.revision) {
            error = make_stale_checkout_failure(local, stored->record);
            return std::nullopt;
        }
        const team_record next = make_next_record(*stored, local.record.files, nonce);
        if (try_write(store, *stored, next) != write_state::written) continue;
        local.base = make_checkout_base(next);
        if (!write_base(local, local.base, error)) return std::nullopt;
        return next.revision;
    }
    set_outcome_unknown(store, error);
    return std::nullopt;
}

namespace {

bool matches_hash(const std::map<std::string, json>& files, const std::string& path,
                  const std::map<std::string, std::uint64_t>& hashes) {
    const auto file = files.find(path);
    const auto present = file == files.end() ? std::nullopt : std::optional{document_hash(file->second)};
    return present == find_hash(hashes, path);
}

std::optional<std::uint64_t> record_accepted_edit(checkout& local, const std::string& path,
                                                  const team_record& accepted, bool base_was_current,
                                                  failure& error) {
    const json& document = accepted.files.at(path);
    if (!write_checkout_file(local, path, document, error)) return std::nullopt;
    local.record.files[path] = document;
    local.base.hashes[path] = document_hash(document);
    // If other files have changed in the store, the base keeps its revision until `get` merges them.
    if (base_was_current) local.base.revision = accepted.revision;
    if (!write_base(local, local.base, error)) return std::nullopt;
    return accepted.revision;
}

} // namespace

std::optional<std::uint64_t> apply_edit(const operator_store& store, checkout& local, const std::string& path,
                                        const document_edit& edit, const std::string& nonce, failure& error) {
    if (!matches_hash(local.record.files, path, local.base.hashes)) {
        error = {failure_kind::stale_revision, local.folder + "/" + path,
                 "a local change that has not been applied", "apply or revert it first"};
        return std::nullopt;
    }
    team_record attempted;
    bool base_is_current = false; // the attempted change was made on the revision of the base
    for (int i = 0; i < max_write_attempts; ++i) {
        const auto stored = read_team_record(store, local.record.team, error);
        if (!stored && error.kind == failure_kind::malformed_document) return std::nullopt;
        if (!stored) continue;
        if (const auto mine = revision_of_change(stored->record, nonce)) {
            attempted.revision = *mine;
            return record_accepted_edit(local, path, attempted, base_is_current, error);
        }
        if (!matches_hash(stored->record.files, path, local.base.hashes)) {
            error = make_stale_checkout_failure(local, stored->record);
            return std::nullopt;
        }
        auto files = stored->record.files;
        const auto edited = edit(files.contains(path) ? files[path] : json{}, error);
        if (!edited) return std::nullopt;
        files[path] = *edited;
        const team_record next = make_next_record(*stored, std::move(files), nonce);
        if (!check_record(store, next, error)) {
            if (error.kind == failure_kind::store_unreachable || error.kind == failure_kind::store_timeout)
                continue;
            return std::nullopt;
        }
        attempted = next;
        base_is_current = stored->record.revision == local.base.revision;
        if (try_write(store, *stored, next) != write_state::written) continue;
        return record_accepted_edit(local, path, next, base_is_current, error);
    }
    set_outcome_unknown(store, error);
    return std::nullopt;
}

std::optional<std::vector<std::string>> update_checkout(const operator_store& store, checkout& local,
                                                        failure& error) {
    const auto stored = read_team_record(store, local.record.team, error);
    if (!stored) return std::nullopt;
    std::vector<std::string> conflicts;
    for (const file_difference& d : compare_files(local, stored->record)) {
        if (d.identical || !d.changed_in_store) continue;
        const auto theirs = stored->record.files.find(d.path);
        const json document = theirs == stored->record.files.end() ? json{} : theirs->second;
        if (d.changed_here) {
            // A file that was deleted in the store is written as an empty object.
            const json shown = document.is_null() ? json::object() : document;
            if (!write_checkout_file(local, d.path + theirs_suffix, shown, error)) return std::nullopt;
            conflicts.push_back(d.path + theirs_suffix);
            continue;
        }
        if (!write_checkout_file(local, d.path, document, error)) return std::nullopt;
        if (document.is_null()) {
            local.record.files.erase(d.path);
        } else {
            local.record.files[d.path] = document;
        }
    }
    local.base = make_checkout_base(stored->record);
    if (!write_base(local, local.base, error)) return std::nullopt;
    return conflicts;
}

std::string find_declaration_path(const team_record& record, std::string_view folder, std::string_view name) {
    for (const auto& [path, document] : record.files) {
        if (path.starts_with(folder) && document.is_object() && document.value("name", json{}) == name)
            return path;
    }
    return {};
}

//-----------------------------------------------------------------------------
// [SECTION] Status
//-----------------------------------------------------------------------------

void mark_behind(std::vector<process_status>& processes, std::span<const team_revision> stored) {
    for (process_status& p : processes) {
        p.behind.clear();
        if (!p.answered) continue;
        for (const team_revision& wanted : stored) {
            const auto has = std::ranges::find(p.revisions, wanted.team, &team_revision::team);
            const bool missing = has == p.revisions.end();
            if (missing && p.vm.role == process_role::sidecar) continue;
            if (missing || has->revision < wanted.revision) p.behind.push_back(wanted.team);
        }
    }
}

namespace {

std::string describe_state(const process_status& p) {
    if (!p.answered) return p.vm.http.empty() ? "no address" : "no answer";
    if (p.vm.leaving) return "leaving";
    return p.ready ? "ready" : "not ready";
}

std::string format_revision(const process_status& p, const team_revision& wanted) {
    const auto has = std::ranges::find(p.revisions, wanted.team, &team_revision::team);
    if (has == p.revisions.end()) return "-";
    const std::string text = std::to_string(has->revision);
    return has->revision < wanted.revision ? text + " behind" : text;
}

} // namespace

std::string status_table(std::span<const process_status> processes, std::span<const team_revision> stored) {
    std::vector<std::vector<std::string>> rows{{"PROCESS", "ROLE", "DATA CENTRE", "STATE"}};
    for (const team_revision& team : stored)
        rows.front().push_back(team.team + " @" + std::to_string(team.revision));
    for (const process_status& p : processes) {
        std::vector<std::string> row{p.vm.name, std::string{to_string(p.vm.role)}, p.vm.data_centre,
                                     describe_state(p)};
        for (const team_revision& team : stored)
            row.push_back(format_revision(p, team));
        rows.push_back(std::move(row));
    }
    std::vector<std::size_t> widths(rows.front().size());
    for (const auto& row : rows) {
        for (std::size_t i = 0; i < row.size(); ++i)
            widths[i] = std::max(widths[i], row[i].size());
    }
    std::string text;
    for (const auto& row : rows) {
        std::string line;
        for (std::size_t i = 0; i < row.size(); ++i) {
            line += row[i];
            if (i + 1 < row.size()) line.append(widths[i] - row[i].size() + 2, ' ');
        }
        text += line + "\n";
    }
    return text;
}

json status_json(std::span<const process_status> processes, std::span<const team_revision> stored) {
    json list = json::array();
    for (const process_status& p : processes) {
        json revisions = json::object();
        for (const team_revision& r : p.revisions)
            revisions[r.team] = r.revision;
        list.push_back({{"process", p.vm.name},
                        {"role", std::string{to_string(p.vm.role)}},
                        {"data_centre", p.vm.data_centre},
                        {"pool", p.vm.pool},
                        {"state", describe_state(p)},
                        {"revisions", revisions},
                        {"behind", p.behind}});
    }
    json wanted = json::object();
    for (const team_revision& r : stored)
        wanted[r.team] = r.revision;
    return {{"store", wanted}, {"processes", list}};
}

} // namespace damaskhill
