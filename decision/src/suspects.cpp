#include "pearhaven/decision/suspects.hpp"

#include <unordered_map>

#include <xxhash.h>

namespace pearhaven::decision {

namespace {

struct hash_state_deleter {
    void operator()(XXH64_state_t* state) const { XXH64_freeState(state); }
};

void add_part(XXH64_state_t* state, std::string_view part)
{
    // The length keeps ("ab", "c") apart from ("a", "bc").
    const std::uint64_t length = part.size();
    XXH64_update(state, &length, sizeof length);
    XXH64_update(state, part.data(), part.size());
}

} // namespace

std::uint64_t fingerprint(std::string_view team, std::string_view asked, std::string_view body)
{
    const std::unique_ptr<XXH64_state_t, hash_state_deleter> state(XXH64_createState());
    XXH64_reset(state.get(), 0);
    add_part(state.get(), team);
    add_part(state.get(), asked);
    add_part(state.get(), body);
    return XXH64_digest(state.get());
}

class suspect_table::state {
public:
    struct record {
        standing held = standing::clear;
        instant until{};
    };

    suspect_settings settings;
    std::unordered_map<std::uint64_t, record> records;
    std::vector<std::pair<std::uint64_t, standing>> news;
};

suspect_table::suspect_table(suspect_settings settings)
    : inner(std::make_unique<suspect_table::state>())
{
    this->inner->settings = settings;
}

suspect_table::~suspect_table() = default;

suspect_table::standing suspect_table::look(std::uint64_t fingerprint, instant now) const
{
    const auto found = this->inner->records.find(fingerprint);
    if (found == this->inner->records.end() || found->second.until <= now) {
        return standing::clear;
    }
    return found->second.held;
}

std::vector<std::uint64_t> suspect_table::on_crash(const std::vector<std::uint64_t>& in_flight,
                                                   instant now)
{
    std::vector<std::uint64_t> quarantined;
    for (const std::uint64_t name : in_flight) {
        const standing before = this->look(name, now);
        if (before == standing::clear) {
            this->learn(name, standing::suspect, now);
            this->inner->news.emplace_back(name, standing::suspect);
        } else if (before == standing::suspect) {
            this->learn(name, standing::quarantined, now);
            this->inner->news.emplace_back(name, standing::quarantined);
            quarantined.push_back(name);
        }
    }
    return quarantined;
}

void suspect_table::on_finished(std::uint64_t fingerprint, instant now)
{
    if (this->look(fingerprint, now) == standing::suspect) {
        this->inner->records.erase(fingerprint);
        this->inner->news.emplace_back(fingerprint, standing::clear);
    }
}

void suspect_table::learn(std::uint64_t fingerprint, standing told, instant now)
{
    if (told == standing::clear) {
        this->inner->records.erase(fingerprint);
        return;
    }
    const duration lasts = told == standing::quarantined ? this->inner->settings.quarantine
                                                         : this->inner->settings.suspicion;
    this->inner->records[fingerprint] = {told, now + lasts};
}

std::vector<std::pair<std::uint64_t, suspect_table::standing>> suspect_table::take_news()
{
    return std::exchange(this->inner->news, {});
}

std::size_t suspect_table::size() const
{
    return this->inner->records.size();
}

} // namespace pearhaven::decision
