// Answers: assembling the chunks of attempts, and keeping finished answers for a while.
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

/// Progress of one answer over all attempts at its request.
struct answer_assembly {
    attempt_id current;          // only messages of this attempt count
    std::uint64_t next_number{}; // of the next chunk of the attempt
    std::uint64_t checksum{};    // chained over the attempt's chunks
    std::string text;            // everything received so far, over all attempts
};

enum class chunk_result : std::uint8_t {
    accepted,
    stale,     // belongs to another attempt: dropped
    duplicate, // already received: dropped
    gap        // a chunk is missing: the attempt must be resumed
};

/// Starts a new attempt that continues at the present length.
void begin_attempt(answer_assembly& assembly, attempt_id attempt);
/// Takes one chunk; its text is appended only when it is the next one of the current attempt.
[[nodiscard]] chunk_result accept_chunk(answer_assembly& assembly, const chunk& received);
/// Whether the end of the attempt agrees with what was received: count, length and checksum.
[[nodiscard]] bool is_complete(const answer_assembly& assembly, const finish& end);
/// Checksum after one more chunk.
[[nodiscard]] std::uint64_t chain_checksum(std::uint64_t checksum, std::string_view data);

//-----------------------------------------------------------------------------
// [SECTION] Finished answers
//-----------------------------------------------------------------------------

struct answer_cache_settings {
    duration retention{10min};
    std::size_t byte_limit{32U << 20U}; // of all kept answers
};

/// Finished answers by request; the oldest leave first.
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
/// The answer, or null; only its own account may see it.
[[nodiscard]] const finished_answer* find_answer(const answer_cache& cache, request_id request);
void expire_answers(answer_cache& cache, time_point now);

} // namespace damaskhill
