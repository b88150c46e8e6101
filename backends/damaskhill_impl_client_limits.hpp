// What the connections of clients may hold: places, bytes, and time in each stage of a request. No I/O; the
// server that owns the connections acts on the decisions.
//
// Index of this file:
// [SECTION] Settings
// [SECTION] Entries
// [SECTION] Limits

#pragma once

#include "damaskhill_types.hpp"

#include <boost/intrusive/list.hpp>

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>

namespace damaskhill {

//-----------------------------------------------------------------------------
// [SECTION] Settings
//-----------------------------------------------------------------------------

using client_clock = std::chrono::steady_clock;

/// No client that keeps to the limits of the declarations (heads of 16,384 bytes, 3 s for a head, 15 s idle)
/// meets a default.
struct client_limit_settings {
    std::size_t max_connections{3000};      // over all clients of one server
    std::size_t max_held_bytes{16U << 20U}; // over all clients; requests being received and unsent responses
    std::size_t max_header_bytes{64U << 10U}; // of a request: its head with the empty lines before it
    std::size_t max_body_bytes{8U << 20U};    // of a request
    // Of a request. A head of 16,384 bytes holds no more, as the shortest header takes four bytes.
    std::size_t max_headers{4096};
    duration head_timeout{10s};  // from the first byte of a request to the end of its head; declared: 3 s
    duration idle_timeout{120s}; // between requests; declared: 15 s
    duration body_timeout{120s}; // without progress of a body; longer than the time limit of most requests
    // At the connection limit, a body without progress for this long makes room. Clients that write a body in
    // pieces pause for less than a second.
    duration stalled_body_time{3s};
    // How long, and how many bytes, a request that was answered early is read on, so that the answer is not
    // lost by a reset. Longer than a round trip between data centres.
    duration linger_time{2s};
};

//-----------------------------------------------------------------------------
// [SECTION] Entries
//-----------------------------------------------------------------------------

enum class client_stage : std::uint8_t {
    idle,      // between requests, or new
    head,      // a part of a head has arrived
    body,      // the head is complete, the body is not
    lingering, // the last response is sent; what still arrives is discarded
    served,    // a request is being processed or its response sent; has no time limit here
};

using client_hook =
    boost::intrusive::list_base_hook<boost::intrusive::link_mode<boost::intrusive::auto_unlink>>;

/// Base of a connection. Linked into the list of its stage while that has a time limit.
struct client_entry : client_hook {
    client_stage stage{client_stage::served};
    client_clock::time_point since; // start of the stage, or last progress of a body
    std::size_t progress_bytes{};   // of a body since then
    std::size_t held_bytes{};       // as counted in the sum
};

//-----------------------------------------------------------------------------
// [SECTION] Limits
//-----------------------------------------------------------------------------

/// All entries of a stage have the same time limit, so each list is ordered by due time.
class client_limits {
public:
    explicit client_limits(const client_limit_settings& settings) : settings_(settings) {}

    void enter(client_entry& entry, client_stage stage, client_clock::time_point now);
    /// Bytes of a body have arrived. Single bytes do not count as progress.
    void on_body_bytes(client_entry& entry, std::size_t bytes, client_clock::time_point now);
    /// Updates the sum of held bytes.
    void hold(client_entry& entry, std::size_t bytes);
    [[nodiscard]] std::size_t held_bytes() const { return held_bytes_; }
    [[nodiscard]] bool holds_too_much() const { return held_bytes_ > settings_.max_held_bytes; }

    /// Earliest time at which an entry exceeds the time limit of its stage.
    [[nodiscard]] std::optional<client_clock::time_point> next_due() const;
    /// An entry that exceeds the time limit of its stage; null if there is none.
    [[nodiscard]] client_entry* overdue(client_clock::time_point now);
    /// The entry to close for a new connection: the oldest that lingers, else the longest idle, the oldest
    /// unfinished head, the body that has stalled the longest. Never one that is served; null if there is
    /// none.
    [[nodiscard]] client_entry* least_useful(client_clock::time_point now);

private:
    using entry_list = boost::intrusive::list<client_entry, boost::intrusive::constant_time_size<false>>;
    static constexpr std::size_t timed_stages = 4;
    [[nodiscard]] duration time_limit(std::size_t stage) const;
    entry_list& list_of(client_stage stage) { return lists_.at(static_cast<std::size_t>(stage)); }

    client_limit_settings settings_;
    std::array<entry_list, timed_stages> lists_;
    std::size_t held_bytes_{};
};

} // namespace damaskhill
