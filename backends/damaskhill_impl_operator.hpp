// What operators do: a checkout of a team's declarations, changes by compare-and-swap, and the state of the
// fleet. The store and the processes are reached through small interfaces, so that tests replace them.
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

/// State of the store that a checkout was taken from; kept in `teams/<team>/.revision`.
struct checkout_base {
    std::uint64_t revision{};                    // 0: the team has no record yet
    std::map<std::string, std::uint64_t> hashes; // of each file at that revision
};

/// Files of one team below `<root>/teams/<team>`.
struct checkout {
    std::string folder;
    team_record record;
    checkout_base base;
};

/// Hash of a document that does not depend on its white space or on the order of its keys.
[[nodiscard]] std::uint64_t document_hash(const json& document);
/// Reads the files of a team. Writes not_found, malformed_document or out_of_range with the file's path.
[[nodiscard]] std::optional<checkout> read_checkout(const std::string& root, const std::string& team,
                                                    failure& why);
/// Writes one file of the checkout; a null document removes it. Writes internal when the file system refuses.
[[nodiscard]] std::optional<bool> write_checkout_file(const checkout& target, const std::string& path,
                                                      const json& document, failure& why);
/// Notes the record as the state that the checkout is based on.
[[nodiscard]] std::optional<bool> write_base(const checkout& target, const checkout_base& base, failure& why);
[[nodiscard]] checkout_base make_checkout_base(const team_record& record);

/// How a file differs between the checkout's base, the checkout and the store.
struct file_difference {
    std::string path;
    bool changed_here{};
    bool changed_in_store{};
    bool identical{}; // both sides hold the same document
};
[[nodiscard]] std::vector<file_difference> compare_files(const checkout& local, const team_record& stored);

//-----------------------------------------------------------------------------
// [SECTION] Store
//-----------------------------------------------------------------------------

/// Calls of the store that the operators' commands need; each returns when the call has ended.
struct operator_store {
    std::function<store_result(const std::string& key)> read;
    std::function<store_result(const std::string& key, std::uint64_t expected, const std::string& value)>
        compare_and_swap;
    std::function<store_result()> read_all; // every record of declarations
    std::string name;                       // for messages
};

struct stored_team {
    std::uint64_t version{}; // of the record in the store; 0: none
    team_record record;
};

/// Reads a team's record. Writes store_unreachable, or malformed_document for a record that is none.
[[nodiscard]] std::optional<stored_team> read_team_record(const operator_store& store,
                                                          const std::string& team, failure& why);

//-----------------------------------------------------------------------------
// [SECTION] Changes
//-----------------------------------------------------------------------------

/// Checks a team's record alone and, where the store can be read, against the other teams.
/// Writes foreign_subtree for a name that belongs to another team.
[[nodiscard]] std::optional<bool> check_record(const operator_store& store, const team_record& record,
                                               failure& why);

/// Writes all files of the checkout. Writes stale_revision when the store holds another change, with the
/// files that differ; store_unreachable when the outcome could not be learnt within the attempts.
/// Returns the revision that holds the change.
[[nodiscard]] std::optional<std::uint64_t> apply_checkout(const operator_store& store, checkout& local,
                                                          const std::string& nonce, failure& why);

/// Edits one file of the store's record and of the checkout in one step; other files of either side are not
/// touched. `edit` gets the present document, null if there is none, and returns no value with a reason
/// when it refuses.
using document_edit = std::function<std::optional<json>(const json& present, failure& why)>;
[[nodiscard]] std::optional<std::uint64_t> apply_edit(const operator_store& store, checkout& local,
                                                      const std::string& path, const document_edit& edit,
                                                      const std::string& nonce, failure& why);

/// Brings the store's changes into the checkout. A file that both sides have changed is kept, and the
/// store's document is written beside it as `<file>.theirs`; the paths of these files are returned.
[[nodiscard]] std::optional<std::vector<std::string>> update_checkout(const operator_store& store,
                                                                      checkout& local, failure& why);

/// Path of the file in which the checkout declares a data centre or move, or empty.
[[nodiscard]] std::string find_declaration_path(const team_record& record, std::string_view folder,
                                                std::string_view name);

//-----------------------------------------------------------------------------
// [SECTION] Status
//-----------------------------------------------------------------------------

/// What one process answered.
struct process_status {
    vm_entry vm;
    bool answered{};
    bool ready{};
    std::vector<team_revision> revisions;
    std::vector<std::string> behind; // teams whose revision is below the store's or missing
};

/// Marks the teams for which a process is behind. A sidecar holds only the teams that matter to it, so that
/// a team that it lacks is no fault.
void mark_behind(std::vector<process_status>& processes, std::span<const team_revision> stored);
/// Table for people: process, role, data centre, state, revision in force of each team.
[[nodiscard]] std::string status_table(std::span<const process_status> processes,
                                       std::span<const team_revision> stored);
[[nodiscard]] json status_json(std::span<const process_status> processes,
                               std::span<const team_revision> stored);

} // namespace damaskhill
