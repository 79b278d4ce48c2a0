#include "prefix_cache.hpp"

#include <fmt/format.h>
#include <xxhash.h>

#include <algorithm>
#include <memory>
#include <utility>

namespace pearhaven::standins {

namespace {

constexpr std::uint64_t bytes_per_token = 4;

struct free_state {
    void operator()(XXH3_state_t* state) const { XXH3_freeState(state); }
};

} // namespace

std::vector<prefix_hash> prefix_hashes(std::string_view prompt, std::uint64_t block_tokens)
{
    const std::unique_ptr<XXH3_state_t, free_state> state(XXH3_createState());
    XXH3_64bits_reset(state.get());
    const std::uint64_t block_bytes = block_tokens * bytes_per_token;
    std::vector<prefix_hash> hashes;
    while (prompt.size() >= block_bytes) {
        XXH3_64bits_update(state.get(), prompt.data(), block_bytes);
        hashes.push_back(XXH3_64bits_digest(state.get()));
        prompt.remove_prefix(block_bytes);
    }
    return hashes;
}

std::string to_text(prefix_hash hash)
{
    return fmt::format("{:016x}", hash);
}

prefix_cache::prefix_cache(std::uint64_t capacity_tokens, std::uint64_t tokens_per_block)
    : capacity_blocks(capacity_tokens / tokens_per_block), block_tokens(tokens_per_block)
{}

bool prefix_cache::touch(prefix_hash block)
{
    const auto found = this->blocks.find(block);
    if (found == this->blocks.end()) {
        return false;
    }
    this->order.splice(this->order.begin(), this->order, found->second);
    return true;
}

std::uint64_t prefix_cache::use(const std::vector<prefix_hash>& prompt)
{
    std::uint64_t cached = 0;
    while (cached < prompt.size() && this->blocks.count(prompt[cached]) != 0) {
        ++cached;
    }
    // From the last to the first, so that the first is the most recent.
    for (auto block = cached; block > 0; --block) {
        this->touch(prompt[block - 1]);
    }
    return cached * this->block_tokens;
}

void prefix_cache::add(const std::vector<prefix_hash>& prompt)
{
    const auto kept = std::min<std::uint64_t>(prompt.size(), this->capacity_blocks);
    for (auto block = kept; block > 0; --block) {
        const auto hash = prompt[block - 1];
        if (this->touch(hash)) {
            continue;
        }
        if (this->blocks.size() == this->capacity_blocks) {
            this->drop_oldest();
        }
        this->order.push_front(hash);
        this->blocks[hash] = this->order.begin();
        this->record(cache_operation::add, hash);
    }
}

void prefix_cache::drop_oldest()
{
    const auto oldest = this->order.back();
    this->order.pop_back();
    this->blocks.erase(oldest);
    this->record(cache_operation::drop, oldest);
}

void prefix_cache::record(cache_operation operation, prefix_hash prefix)
{
    ++this->last_sequence;
    this->events.push_back({this->last_sequence, operation, prefix});
}

std::vector<cache_event> prefix_cache::take_events()
{
    return std::exchange(this->events, {});
}

} // namespace pearhaven::standins
