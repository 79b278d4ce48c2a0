#include "prefix_cache.hpp"

#include <xxhash.h>

#include <rapidcheck.h>

#include <set>
#include <string>

#include <CppUTest/TestHarness.h>

using namespace pearhaven::standins;

namespace {

constexpr std::uint64_t block_tokens = 16;
constexpr std::uint64_t block_bytes = 64;

std::vector<prefix_hash> blocks_of(const std::string& prompt)
{
    return prefix_hashes(prompt, block_tokens);
}

} // namespace

TEST_GROUP(prefix_cache)
{
    const std::string one_block = std::string(block_bytes, 'a');
    const std::string two_blocks = one_block + std::string(block_bytes, 'b');
    const std::string other = std::string(2 * block_bytes, 'c');
};

TEST(prefix_cache, identifies_a_prefix_by_the_hash_of_its_bytes)
{
    const auto hashes = blocks_of(two_blocks + "rest");
    LONGS_EQUAL(2, hashes.size());
    CHECK_EQUAL(XXH3_64bits(two_blocks.data(), two_blocks.size()), hashes[1]);
}

TEST(prefix_cache, finds_the_longest_cached_prefix)
{
    prefix_cache cache(100 * block_tokens, block_tokens);
    cache.add(blocks_of(two_blocks));
    LONGS_EQUAL(2 * block_tokens, cache.use(blocks_of(two_blocks + other)));
    LONGS_EQUAL(block_tokens, cache.use(blocks_of(one_block + other)));
    LONGS_EQUAL(0, cache.use(blocks_of(other)));
}

TEST(prefix_cache, evicts_the_least_recently_used_block)
{
    prefix_cache cache(4 * block_tokens, block_tokens);
    cache.add(blocks_of(two_blocks));
    cache.add(blocks_of(other));
    cache.use(blocks_of(two_blocks));
    cache.add(blocks_of(std::string(2 * block_bytes, 'd')));
    LONGS_EQUAL(2 * block_tokens, cache.use(blocks_of(two_blocks)));
    LONGS_EQUAL(0, cache.use(blocks_of(other)));
}

TEST(prefix_cache, evicts_the_last_block_of_a_prompt_first)
{
    prefix_cache cache(2 * block_tokens, block_tokens);
    cache.add(blocks_of(two_blocks));
    cache.add(blocks_of(std::string(block_bytes, 'd')));
    LONGS_EQUAL(block_tokens, cache.use(blocks_of(two_blocks)));
}

TEST(prefix_cache, keeps_the_beginning_of_a_prompt_that_is_too_long)
{
    prefix_cache cache(block_tokens, block_tokens);
    cache.add(blocks_of(two_blocks));
    LONGS_EQUAL(block_tokens, cache.use(blocks_of(two_blocks)));
}

TEST(prefix_cache, reports_its_contents_in_events)
{
    rc::check("replayed events give the cached blocks", [] {
        constexpr std::uint64_t capacity = 8;
        prefix_cache cache(capacity * block_tokens, block_tokens);
        const auto prompts = *rc::gen::container<std::vector<std::vector<prefix_hash>>>(
            rc::gen::container<std::vector<prefix_hash>>(rc::gen::inRange<prefix_hash>(0, 20)));
        for (const auto& prompt : prompts) {
            cache.use(prompt);
            cache.add(prompt);
        }
        std::set<prefix_hash> held;
        std::uint64_t expected_sequence = 0;
        for (const auto& event : cache.take_events()) {
            RC_ASSERT(event.sequence == ++expected_sequence);
            const bool added = event.operation == cache_operation::add;
            const bool consistent =
                added ? held.insert(event.prefix).second : held.erase(event.prefix) == 1;
            RC_ASSERT(consistent);
        }
        RC_ASSERT(held.size() * block_tokens == cache.tokens());
        RC_ASSERT(held.size() <= capacity);
    });
}
