#include "run_log.hpp"

#include <utility>

namespace pearhaven::standins {

namespace {

const char* name_of(logged_state state)
{
    switch (state) {
    case logged_state::running:
        return "running";
    case logged_state::finished:
        return "finished";
    case logged_state::cancelled:
        return "cancelled";
    case logged_state::lost:
        break;
    }
    return "lost";
}

} // namespace

std::size_t run_log::add(logged_run started)
{
    const std::lock_guard guard(this->mutex);
    this->runs.push_back(std::move(started));
    return this->runs.size() - 1;
}

void run_log::update(std::size_t number, logged_state state, std::uint64_t tokens)
{
    const std::lock_guard guard(this->mutex);
    this->runs.at(number).state = state;
    this->runs.at(number).tokens = tokens;
}

nlohmann::json run_log::show(std::size_t first) const
{
    auto shown = nlohmann::json::array();
    const std::lock_guard guard(this->mutex);
    for (auto number = first; number < this->runs.size(); ++number) {
        const auto& each = this->runs[number];
        shown.push_back({{"run", each.run},
                         {"request", each.request},
                         {"version", each.version},
                         {"path", each.path},
                         {"state", name_of(each.state)},
                         {"tokens", each.tokens},
                         {"prompt_tokens", each.prompt_tokens},
                         {"at_ms", each.at_ms}});
    }
    return shown;
}

} // namespace pearhaven::standins
