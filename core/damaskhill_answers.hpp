// Assembly of answers from the chunks of attempts, and a cache of finished answers.
//
// Index of this file:
// [SECTION] Assembly
// [SECTION] Finished answers

#pragma once

#include "damaskhill_messages.hpp"

#include <deque>
#include <unordered_map>

namespace damaskhill {

//-----------------------------------------------------------------------------
// [SECTION] Assembly
//-----------------------------------------------------------------------------

/// Progress of one answer across all attempts of its request.
struct answer_assembly {
    attempt_id current;          // messages of other attempts are ignored
    std::uint64_t next_number{}; // expected number of the attempt's next chunk
    std::uint64_t checksum{};    // chained over the attempt's chunks
    std::string text;            // received so far, across all attempts
};

enum class chunk_result : std::uint8_t {
    accepted,
    stale,     // belongs to another attempt; dropped
    duplicate, // already received; dropped
    gap        // a chunk is missing; the request must be resumed with a new attempt
};

/// Starts a new attempt that continues at the current length.
void begin_attempt(answer_assembly& assembly, attempt_id attempt);
/// Handles one chunk; its text is appended only if it is the next chunk of the current attempt.
[[nodiscard]] chunk_result accept_chunk(answer_assembly& assembly, const chunk& received);
/// Returns whether chunk count, length and checksum of the finish message match what was received.
[[nodiscard]] bool is_complete(const answer_assembly& assembly, const finish& end);
/// Checksum extended by one more chunk.
[[nodiscard]] std::uint64_t chain_checksum(std::uint64_t checksum, std::string_view data);

//-----------------------------------------------------------------------------
// [SECTION] Finished answers
//-----------------------------------------------------------------------------

struct answer_cache_settings {
    duration retention{10min};
    std::size_t byte_limit{32U << 20U}; // total size of all cached answers
};

/// Finished answers by request; the oldest are evicted first.
struct answer_cache {
    struct cached_answer {
        finished_answer answer;
        time_point at;
    };
    answer_cache_settings settings;
    std::unordered_map<request_id, cached_answer> answers;
    std::deque<std::pair<time_point, request_id>> by_age;
    std::size_t bytes{};
};

void cache_answer(answer_cache& cache, const finished_answer& answer, time_point now);
/// Returns the answer or null. Does not check which account asks: that is up to the caller.
[[nodiscard]] const finished_answer* find_answer(const answer_cache& cache, request_id request);
void expire_answers(answer_cache& cache, time_point now);

} // namespace damaskhill
