// Index of this file:
// [SECTION] Assembly
// [SECTION] Finished answers

#include "damaskhill_answers.hpp"

namespace damaskhill {

//-----------------------------------------------------------------------------
// [SECTION] Assembly
//-----------------------------------------------------------------------------

void begin_attempt(answer_assembly& assembly, attempt_id attempt) {
    assembly.current = attempt;
    assembly.next_number = 0;
    assembly.checksum = 0;
}

chunk_result accept_chunk(answer_assembly& assembly, const chunk& received) {
    if (received.attempt != assembly.current) return chunk_result::stale;
    if (received.number < assembly.next_number) return chunk_result::duplicate;
    if (received.number > assembly.next_number || received.offset != assembly.text.size())
        return chunk_result::gap;
    ++assembly.next_number;
    assembly.checksum = chain_checksum(assembly.checksum, received.data);
    assembly.text += received.data;
    return chunk_result::accepted;
}

bool is_complete(const answer_assembly& assembly, const finish& end) {
    return end.attempt == assembly.current && end.chunks == assembly.next_number &&
           end.end_offset == assembly.text.size() && end.checksum == assembly.checksum;
}

std::uint64_t chain_checksum(std::uint64_t checksum, std::string_view data) {
    return stable_hash(data, checksum);
}

//-----------------------------------------------------------------------------
// [SECTION] Finished answers
//-----------------------------------------------------------------------------

namespace {

void drop_oldest(answer_cache& cache) {
    const request_id oldest = cache.by_age.front().second;
    cache.by_age.pop_front();
    const auto found = cache.answers.find(oldest);
    if (found == cache.answers.end()) return;
    cache.bytes -= found->second.answer.body.size();
    cache.answers.erase(found);
}

} // namespace

void cache_answer(answer_cache& cache, const finished_answer& answer, time_point now) {
    const bool added =
        cache.answers.try_emplace(answer.request, answer_cache::cached_answer{answer, now}).second;
    if (!added) return; // a finished answer never changes
    cache.by_age.emplace_back(now, answer.request);
    cache.bytes += answer.body.size();
    while (cache.bytes > cache.settings.byte_limit && !cache.by_age.empty())
        drop_oldest(cache);
}

const finished_answer* find_answer(const answer_cache& cache, request_id request) {
    const auto found = cache.answers.find(request);
    return found == cache.answers.end() ? nullptr : &found->second.answer;
}

void expire_answers(answer_cache& cache, time_point now) {
    while (!cache.by_age.empty() && cache.by_age.front().first + cache.settings.retention < now)
        drop_oldest(cache);
}

} // namespace damaskhill
