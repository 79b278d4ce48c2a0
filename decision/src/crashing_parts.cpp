#include "pearhaven/decision/crashing_parts.hpp"

#include <algorithm>
#include <map>
#include <tuple>
#include <utility>

namespace pearhaven::decision {

void crashing_part_table::on_lost_prompt(const lost_prompt& lost, instant now)
{
    this->drop_expired(now);
    if (lost.age >= this->settings.unconfirmed_lifetime) {
        return;
    }
    const auto lost_at = now - lost.age;
    auto& found = this->find_or_add(lost, lost_at);
    if (lost_at + this->settings.max_time_to_crash < found.at) {
        return;
    }
    this->last_crash = std::max(this->last_crash, found.at);
    const auto weight =
        lost.has_just_begun ? this->settings.strong_evidence : this->settings.weak_evidence;
    for (const auto part : lost.parts) {
        const bool is_sound = this->answered_lately(part, now) == lost.target;
        if (!is_sound && (found.parts.count(part) > 0 ||
                          found.parts.size() < this->settings.max_parts_per_crash)) {
            auto& known = found.parts[part];
            this->has_changed = this->has_changed || known < weight;
            known = std::max(known, weight);
        }
    }
}

crashing_part_table::crash& crashing_part_table::find_or_add(const lost_prompt& lost,
                                                             instant lost_at)
{
    const auto known =
        std::find_if(this->crashes.begin(), this->crashes.end(), [&lost](const crash& one) {
            return one.address == lost.address && one.incarnation == lost.incarnation &&
                   one.target == lost.target;
        });
    if (known != this->crashes.end()) {
        return *known;
    }
    if (this->crashes.size() >= this->settings.max_crashes) {
        this->crashes.erase(std::min_element(
            this->crashes.begin(), this->crashes.end(),
            [](const crash& left, const crash& right) { return left.expires < right.expires; }));
    }
    crash added;
    added.target = lost.target;
    added.address = lost.address;
    added.incarnation = lost.incarnation;
    added.at = lost_at;
    const bool has_ended = this->ends.contains(lost.address, lost.incarnation);
    added.expires = lost_at + (has_ended ? this->settings.confirmed_lifetime
                                         : this->settings.unconfirmed_lifetime);
    return this->crashes.emplace_back(std::move(added));
}

void crashing_part_table::on_incarnation_end(const std::string& address, std::uint64_t incarnation,
                                             instant now)
{
    this->ends.add(address, incarnation, now);
    this->drop_expired(now);
    for (auto& one : this->crashes) {
        if (one.address == address && one.incarnation == incarnation) {
            one.expires = now + this->settings.confirmed_lifetime;
        }
    }
}

bool crashing_part_table::on_endpoint_answer(const std::string& address, std::uint64_t incarnation,
                                             instant sent_at)
{
    const auto dropped = std::erase_if(this->crashes, [&](const crash& one) {
        return one.address == address && one.incarnation == incarnation && one.at < sent_at;
    });
    this->has_changed = this->has_changed || dropped > 0;
    return dropped > 0;
}

bool crashing_part_table::on_answered_prompt(const answered_prompt& given, instant now)
{
    bool is_news = false;
    if (!given.address.empty()) {
        this->on_endpoint_answer(given.address, given.incarnation, now);
    }
    if (this->answered.size() + given.parts.size() > this->settings.max_answered_parts) {
        this->answered.clear();
    }
    const bool crashed_lately = now - this->last_crash < this->settings.attention_period;
    for (const auto part : given.parts) {
        auto& last = this->answered[part];
        const bool is_known = last.target == given.target &&
                              now - last.at < this->settings.answer_lifetime &&
                              last.at > this->last_crash;
        is_news = is_news || (crashed_lately && !is_known);
        last = {given.target, now};
        for (auto& one : this->crashes) {
            if (one.target == given.target && one.parts.erase(part) > 0) {
                is_news = true;
                this->has_changed = true;
            }
        }
    }
    return is_news;
}

std::optional<std::uint64_t> crashing_part_table::answered_lately(std::uint64_t part,
                                                                  instant now) const
{
    const auto found = this->answered.find(part);
    const bool lately =
        found != this->answered.end() && now - found->second.at < this->settings.answer_lifetime;
    return lately ? std::make_optional(found->second.target) : std::nullopt;
}

void crashing_part_table::drop_expired(instant now)
{
    const auto dropped =
        std::erase_if(this->crashes, [now](const crash& one) { return one.expires <= now; });
    this->has_changed = this->has_changed || dropped > 0;
}

std::vector<crashing_part> crashing_part_table::crashing_parts(instant now)
{
    this->drop_expired(now);
    if (this->has_changed) {
        this->has_changed = false;
        this->find_causes();
    }
    return this->causes;
}

// Takes the part against which there is most evidence as the cause of its crashes and looks for the
// next one among the others, for each target. A cause that was found earlier remains one until an
// answer is given on it: the crashes of another part may come to explain its own.
void crashing_part_table::find_causes()
{
    std::map<std::uint64_t, crash_list> by_target;
    for (const auto& one : this->crashes) {
        by_target[one.target].push_back(&one);
    }
    const auto earlier = std::exchange(this->causes, {});
    for (auto& [target, unexplained] : by_target) {
        std::sort(unexplained.begin(), unexplained.end(),
                  [](const crash* left, const crash* right) { return left->at < right->at; });
        const auto explain = [this, target = target, &unexplained = unexplained](auto part) {
            this->causes.push_back({target, part});
            std::erase_if(unexplained,
                          [part](const crash* one) { return one->parts.count(part) > 0; });
        };
        const auto known = this->add_up(unexplained);
        for (const auto& cause : earlier) {
            const auto left = known.find(cause.part);
            if (cause.target == target && left != known.end() &&
                left->second >= this->settings.min_evidence) {
                explain(cause.part);
            }
        }
        for (auto found = this->likeliest_causes(unexplained); !found.empty();
             found = this->likeliest_causes(unexplained)) {
            std::for_each(found.begin(), found.end(), explain);
        }
    }
    std::sort(this->causes.begin(), this->causes.end(), [](const auto& left, const auto& right) {
        return std::tie(left.target, left.part) < std::tie(right.target, right.part);
    });
}

// Crashes at the same moment count once.
crashing_part_table::evidence crashing_part_table::add_up(const crash_list& among) const
{
    evidence sums;
    std::unordered_map<std::uint64_t, instant> last;
    for (const auto* one : among) {
        for (const auto& [part, weight] : one->parts) {
            const auto [known, is_first] = last.try_emplace(part, one->at);
            if (is_first || one->at - known->second >= this->settings.min_separation) {
                known->second = one->at;
                sums[part] += weight;
            }
        }
    }
    return sums;
}

// The part with most evidence against it, if there is enough. Others with as much, and with too
// little without the crashes of this part, cannot be told from it.
std::vector<std::uint64_t>
crashing_part_table::likeliest_causes(const crash_list& unexplained) const
{
    const auto sums = this->add_up(unexplained);
    const auto most =
        std::max_element(sums.begin(), sums.end(), [](const auto& left, const auto& right) {
            return std::make_pair(left.second, left.first) <
                   std::make_pair(right.second, right.first);
        });
    if (most == sums.end() || most->second < this->settings.min_evidence) {
        return {};
    }
    auto others = unexplained;
    std::erase_if(others, [most](const crash* one) { return one->parts.count(most->first) > 0; });
    const auto other_sums = this->add_up(others);
    std::vector<std::uint64_t> found = {most->first};
    for (const auto& [part, sum] : sums) {
        const auto left = other_sums.find(part);
        const bool has_other_crashes =
            left != other_sums.end() && left->second >= this->settings.min_evidence;
        if (part != most->first && sum == most->second && !has_other_crashes) {
            found.push_back(part);
        }
    }
    const bool is_ambiguous = found.size() > 1;
    const bool waits = is_ambiguous && most->second < this->settings.min_evidence_if_ambiguous;
    return waits ? std::vector<std::uint64_t>() : found;
}

} // namespace pearhaven::decision
