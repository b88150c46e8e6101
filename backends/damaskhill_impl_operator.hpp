// Operations of the operators' command line: a local checkout of a team's declarations, changes by
// compare-and-swap, and the status of the fleet. The store is accessed through an interface that tests
// replace.
//
// Index of this file:
// [SECTION] Checkout
// [SECTION] Store
// [SECTION] Changes
// [SECTION] Status

#pragma once

#include "damaskhill_impl_json.hpp"
#include "damaskhill_impl_store.hpp"

#include <functional>
#include <set>

namespace damaskhill {

//-----------------------------------------------------------------------------
// [SECTION] Checkout
//-----------------------------------------------------------------------------

/// The store's state that a checkout is based on; saved in `teams/<team>/.revision`.
struct checkout_base {
    std::uint64_t revision{};                    // 0 if the team has no record yet
    std::map<std::string, std::uint64_t> hashes; // document hash of each file at that revision
};

/// Local copy of a team's files in `<root>/teams/<team>`.
struct checkout {
    std::string folder;
    team_record record;
    checkout_base base;
};

/// Hash of a document, independent of whitespace and of the order of keys.
[[nodiscard]] std::uint64_t document_hash(const json& document);
/// Reads the files of a team. Sets `error` to not_found, malformed_document, out_of_range or stale_revision
/// with the file's path.
[[nodiscard]] std::optional<checkout> read_checkout(const std::string& root, const std::string& team,
                                                    failure& error);
/// Writes one file of the checkout; a null document deletes it. Sets `error` to internal if the file system
/// reports an error.
[[nodiscard]] std::optional<bool> write_checkout_file(const checkout& local, const std::string& path,
                                                      const json& document, failure& error);
/// Saves the state that the checkout is based on.
[[nodiscard]] std::optional<bool> write_base(const checkout& local, const checkout_base& base,
                                             failure& error);
[[nodiscard]] checkout_base make_checkout_base(const team_record& record);

/// Three-way comparison of a file between the checkout's base, the checkout and the store.
struct file_difference {
    std::string path;
    bool changed_here{};
    bool changed_in_store{};
    bool identical{}; // the checkout and the store hold the same document
};
[[nodiscard]] std::vector<file_difference> compare_files(const checkout& local, const team_record& stored);

//-----------------------------------------------------------------------------
// [SECTION] Store
//-----------------------------------------------------------------------------

/// Blocking store operations that the operators' commands use.
struct operator_store {
    std::function<store_result(const std::string& key)> read;
    std::function<store_result(const std::string& key, std::uint64_t expected, const std::string& value)>
        compare_and_swap;
    std::function<store_result()> read_all; // the records of all teams
    std::string name;                       // for error messages
};

struct stored_team {
    std::uint64_t version{}; // of the record in the store, 0 if there is none
    team_record record;
};

/// Reads a team's record. Sets `error` to store_unreachable, store_timeout, or malformed_document for an
/// invalid record.
[[nodiscard]] std::optional<stored_team> read_team_record(const operator_store& store,
                                                          const std::string& team, failure& error);

//-----------------------------------------------------------------------------
// [SECTION] Changes
//-----------------------------------------------------------------------------

/// Validates a team's record on its own and against the records of the other teams.
/// Sets `error` to foreign_subtree for a name that belongs to another team.
[[nodiscard]] std::optional<bool> check_record(const operator_store& store, const team_record& record,
                                               failure& error);

/// Writes all files of the checkout to the store and returns the revision of the change. Sets `error` to
/// stale_revision, with the files that differ, if the store contains changes that the checkout lacks, and to
/// store_unreachable if the outcome is still unknown after the last attempt.
[[nodiscard]] std::optional<std::uint64_t> apply_checkout(const operator_store& store, checkout& local,
                                                          const std::string& nonce, failure& error);

/// Edits one file both in the store's record and in the checkout, without changing other files on either
/// side. `edit` receives the current document, null if there is none; to refuse the edit it sets `error` and
/// returns no value.
using document_edit = std::function<std::optional<json>(const json& present, failure& error)>;
[[nodiscard]] std::optional<std::uint64_t> apply_edit(const operator_store& store, checkout& local,
                                                      const std::string& path, const document_edit& edit,
                                                      const std::string& nonce, failure& error);

/// Merges the store's changes into the checkout. If a file was changed on both sides, the local version is
/// kept and the store's version is written next to it as `<file>.theirs`. Returns the paths of these files.
[[nodiscard]] std::optional<std::vector<std::string>> update_checkout(const operator_store& store,
                                                                      checkout& local, failure& error);

/// Path of the file that declares the object with this name; empty if there is none.
[[nodiscard]] std::string find_declaration_path(const team_record& record, std::string_view folder,
                                                std::string_view name);

//-----------------------------------------------------------------------------
// [SECTION] Status
//-----------------------------------------------------------------------------

/// Status of one process.
struct process_status {
    vm_entry vm;
    bool answered{};
    bool ready{};
    std::vector<team_revision> revisions;
    std::vector<std::string> behind; // teams whose revision is missing or older than the store's
};

/// Fills in `behind` of each process. A sidecar holds only the teams relevant to it, so a missing team does
/// not count as behind.
void mark_behind(std::vector<process_status>& processes, std::span<const team_revision> stored);
/// Human-readable table: process, role, data centre, state, and the active revision of each team.
[[nodiscard]] std::string status_table(std::span<const process_status> processes,
                                       std::span<const team_revision> stored);
[[nodiscard]] json status_json(std::span<const process_status> processes,
                               std::span<const team_revision> stored);

} // namespace damaskhill
