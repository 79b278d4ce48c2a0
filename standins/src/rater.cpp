#include "rater.hpp"

#include "answer_text.hpp"
#include "shares.hpp"

#include <cstdlib>
#include <sstream>

namespace pearhaven::standins {

namespace {

double quality_of(const std::string& version, const std::string& quality)
{
    std::istringstream input(quality);
    for (std::string part; std::getline(input, part, ',');) {
        const auto equals = part.find('=');
        if (equals != std::string::npos && part.substr(0, equals) == version) {
            return std::strtod(part.c_str() + equals + 1, nullptr);
        }
    }
    return 1;
}

} // namespace

bool is_good(const rated_answer& answer, const std::string& quality)
{
    return answer.text.find(bad_mark) == std::string::npos &&
           in_share(answer.request, quality_of(answer.version, quality));
}

std::optional<bool> rate(const rated_answer& answer, const rating_settings& settings)
{
    // Separate hashes, so that neither noise nor gaps correlate with the quality.
    if (settings.outage || in_share("gap " + answer.request + answer.version, settings.gaps)) {
        return std::nullopt;
    }
    const bool noisy = in_share("noise " + answer.request + answer.version, settings.noise);
    return is_good(answer, settings.quality) != noisy;
}

} // namespace pearhaven::standins
