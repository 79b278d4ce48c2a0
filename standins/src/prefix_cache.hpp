#ifndef PEARHAVEN_STANDINS_PREFIX_CACHE_HPP
#define PEARHAVEN_STANDINS_PREFIX_CACHE_HPP

#include <cstdint>
#include <list>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace pearhaven::standins {

// Identifies the prefix of a prompt that ends at the end of a block of tokens.
using prefix_hash = std::uint64_t;

// Hashes of a prompt's prefixes of 1, 2, ... full blocks: XXH3 (64 bits) of the prefix's bytes.
// A token is four bytes of the prompt; a partial block at the end is ignored.
std::vector<prefix_hash> prefix_hashes(std::string_view prompt, std::uint64_t block_tokens);

// The hash as cache events show it: 16 hexadecimal digits.
std::string to_text(prefix_hash hash);

enum class cache_operation { add, drop };

struct cache_event {
    std::uint64_t sequence = 0; // counts from 1 without gaps
    cache_operation operation = cache_operation::add;
    prefix_hash prefix = 0;

    friend bool operator==(const cache_event&, const cache_event&) = default;
};

// LRU cache of prompt prefix blocks with a bounded size. Among the blocks of one prompt, the last
// is evicted first, because a block is useless without those before it.
class prefix_cache {
public:
    prefix_cache(std::uint64_t capacity_tokens, std::uint64_t block_tokens);

    // Returns how many tokens at the start of the prompt are cached, and marks them as used.
    std::uint64_t use(const std::vector<prefix_hash>& prompt);

    // Adds the prompt's blocks, evicting others to make room.
    void add(const std::vector<prefix_hash>& prompt);

    [[nodiscard]] std::uint64_t tokens() const { return this->blocks.size() * this->block_tokens; }

    // The events since the last call, oldest first.
    std::vector<cache_event> take_events();

private:
    using use_order = std::list<prefix_hash>; // most recently used first

    bool touch(prefix_hash block);
    void record(cache_operation operation, prefix_hash prefix);
    void drop_oldest();

    std::uint64_t capacity_blocks;
    std::uint64_t block_tokens;
    use_order order;
    std::unordered_map<prefix_hash, use_order::iterator> blocks;
    std::vector<cache_event> events;
    std::uint64_t last_sequence = 0;
};

} // namespace pearhaven::standins

#endif
