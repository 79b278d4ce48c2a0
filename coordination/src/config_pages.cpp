#include "config_pages.hpp"

#include "mix.hpp"

#include <algorithm>
#include <cstdint>
#include <utility>

namespace pearhaven::coordination {

namespace {

constexpr std::size_t max_buckets = 4096;

std::vector<std::string> fill_buckets(const std::vector<config_object>& objects,
                                      const config_head_codec& codec, std::size_t count)
{
    std::vector<std::vector<config_object>> buckets(count);
    for (const config_object& object : objects) {
        const std::uint64_t hash = mix(mix(0, object.kind), object.name);
        buckets[hash % count].push_back(object);
    }
    std::vector<std::string> texts;
    for (const auto& bucket : buckets) {
        if (!bucket.empty()) {
            texts.push_back(codec.write_page(bucket));
        }
    }
    return texts;
}

} // namespace

std::vector<config_page> paginate(const std::vector<config_object>& objects,
                                  const config_head_codec& codec, std::size_t page_bytes)
{
    std::size_t count = 1;
    std::vector<std::string> texts = fill_buckets(objects, codec, count);
    const auto is_long = [&](const std::string& text) { return text.size() > page_bytes; };
    while (count < max_buckets && count < objects.size() &&
           std::any_of(texts.begin(), texts.end(), is_long)) {
        count *= 2;
        texts = fill_buckets(objects, codec, count);
    }
    std::vector<config_page> pages;
    for (std::string& text : texts) {
        std::string key = std::string(config_page_prefix) + content_name(text);
        pages.push_back({std::move(key), std::move(text)});
    }
    return pages;
}

} // namespace pearhaven::coordination
