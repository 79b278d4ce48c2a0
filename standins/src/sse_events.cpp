#include "sse_events.hpp"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <iterator>

namespace pearhaven::standins {

sse_events::sse_events(const live_run& told)
    : run(told), head(fmt::format(R"(data: {{"id":{},"model":{},"index":)",
                                  nlohmann::json(told.request.run).dump(),
                                  nlohmann::json(told.request.version).dump()))
{}

// Tokens consist of letters and spaces only, so no JSON escaping is needed.
void sse_events::append_token(std::string& text, std::uint64_t index) const
{
    constexpr auto rest =
        R"({}{},"choices":[{{"index":0,"delta":{{"content":"{}"}},"finish_reason":null}}]}})"
        "\n\n";
    fmt::format_to(std::back_inserter(text), rest, this->head, index, this->run.token(index));
}

void sse_events::append_end(std::string& text, const run_progress& progress) const
{
    constexpr auto rest =
        R"({}{},"choices":[{{"index":0,"delta":{{}},"finish_reason":"stop"}}],"usage":{}}})"
        "\n\ndata: [DONE]\n\n";
    fmt::format_to(std::back_inserter(text), rest, this->head, progress.tokens,
                   usage_json(this->run, progress));
}

std::string usage_json(const live_run& run, const run_progress& progress)
{
    return fmt::format(R"({{"prompt_tokens":{},"completion_tokens":{},"cached_tokens":{}}})",
                       run.work.prompt_tokens, progress.tokens, progress.cached_tokens);
}

} // namespace pearhaven::standins
