#include "crash_fleet.hpp"

#include <string>

#include <CppUTest/TestHarness.h>

#include <CppUTest/MemoryLeakWarningPlugin.h>

using namespace pearhaven::coordination::test;
using pearhaven::decision::instant;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr std::uint64_t crashing = 7;
constexpr std::uint64_t second_crashing = 8;

// Runs of crashing prompts that the platform allows later than three seconds after the fifth crash.
constexpr std::size_t allowed_late_runs = 3;
constexpr std::size_t first_crashes = 5;
constexpr seconds contact_time{3};

struct prompt_options {
    std::vector<std::uint64_t> crashing_parts = {crashing};
    milliseconds crash_period{200};   // between two prompts with a crashing part
    bool has_same_first_part = false; // all prompts with a crashing part have
    bool breaks_first_runs = false;   // of the prompts with one of the popular parts
};

// Prompts of three kinds at any router, some of them with a crashing part: before the other parts,
// between them or after them. No two are alike.
class prompt_traffic {
public:
    prompt_traffic(crash_fleet& sent_to, const prompt_options& chosen)
        : fleet(sent_to), options(chosen), next_crashing(sent_to.now + seconds(2))
    {}

    void simulate(seconds time)
    {
        this->fleet.simulate(time, [this] { this->send(); });
    }

    // The sound prompts sent later than that, and those of them that were refused because of
    // crashes.
    [[nodiscard]] std::pair<std::size_t, std::size_t> sound_prompts_after(instant from) const
    {
        std::size_t sent = 0;
        std::size_t refused = 0;
        for (const auto& [at, was_refused] : this->sound) {
            sent += at > from ? 1 : 0;
            refused += at > from && was_refused ? 1 : 0;
        }
        return {sent, refused};
    }

    bool is_crashing = true;             // whether prompts with a crashing part crash endpoints
    std::size_t accepted_when_cured = 0; // of them, if not

private:
    struct kind {
        std::uint64_t first_parts;
        std::uint64_t second_parts;
        milliseconds answer_time;
    };

    // Sixty prompts a second.
    void send()
    {
        constexpr std::uint64_t share_of_steps = 60;
        if (this->fleet.next_random() % 100 < share_of_steps) {
            const bool was_refused = this->fleet.send(this->make_prompt());
            this->sound.emplace_back(this->fleet.now, was_refused);
        }
        if (this->fleet.now < this->next_crashing) {
            return;
        }
        this->next_crashing += this->options.crash_period;
        auto prompt = this->make_prompt();
        if (this->options.has_same_first_part) {
            prompt.parts[0] = first_part(0, 0);
        }
        const auto& parts = this->options.crashing_parts;
        const auto part = parts[this->last_request % parts.size()];
        const auto place = this->fleet.next_random() % (prompt.parts.size() + 1);
        prompt.parts.insert(prompt.parts.begin() + static_cast<std::ptrdiff_t>(place), part);
        prompt.crash_cause = this->is_crashing ? part : 0;
        const bool was_refused = this->fleet.send(prompt);
        this->accepted_when_cured += !this->is_crashing && !was_refused ? 1 : 0;
    }

    static std::uint64_t first_part(std::uint64_t of_kind, std::uint64_t number)
    {
        return 1000 * (of_kind + 1) + number;
    }

    fleet_request make_prompt()
    {
        static constexpr kind kinds[] = {{4, 101, milliseconds(300)},
                                         {20, 119, milliseconds(150)},
                                         {20, 100, milliseconds(1500)}};
        const auto number = this->fleet.next_random() % 3;
        const auto& chosen = kinds[number];
        fleet_request prompt;
        prompt.fingerprint = ++this->last_request + 1000000;
        prompt.parts = {first_part(number, this->fleet.next_random() % chosen.first_parts),
                        first_part(number, 500 + this->fleet.next_random() % chosen.second_parts)};
        prompt.time_to_begin = milliseconds(50 + this->fleet.next_random() % 300);
        prompt.time_to_end = prompt.time_to_begin + chosen.answer_time;
        prompt.deadline = seconds(10);
        prompt.breaks_first_runs =
            this->options.breaks_first_runs && prompt.parts[0] < first_part(0, 500);
        return prompt;
    }

    crash_fleet& fleet;
    prompt_options options;
    instant next_crashing;
    std::uint64_t last_request = 0;
    std::vector<std::pair<instant, bool>> sound;
};

crash_fleet_options fleet_of(std::size_t routers, std::size_t seed)
{
    crash_fleet_options options;
    options.routers = routers;
    options.slots_per_endpoint = 64;
    options.first_seed = seed * 1000;
    options.model_sizes = 3;
    options.store_delay = milliseconds(300);
    return options;
}

// Runs of prompts with the part later than three seconds after its fifth crash.
std::size_t late_runs(crash_fleet& fleet, std::uint64_t part)
{
    return fleet.count_later_than(fleet.crashing_sends(part), part, first_crashes, contact_time);
}

// Few runs of the crashing prompts, and hardly any sound prompt refused once the crashing ones are.
void check_quarantine(crash_fleet& fleet, const prompt_traffic& traffic,
                      const prompt_options& prompts, const std::string& text)
{
    auto settled = instant::min();
    for (const auto part : prompts.crashing_parts) {
        CHECK_TEXT(!fleet.crashes(part).empty(), text.c_str());
        CHECK_COMPARE_TEXT(late_runs(fleet, part), <=, allowed_late_runs, text.c_str());
        const auto last = std::min(fleet.crashes(part).size(), first_crashes);
        settled = std::max(settled, fleet.crashes(part)[last - 1] + 2 * contact_time);
    }
    const auto [sent, refused] = traffic.sound_prompts_after(settled);
    const auto counts = text + ": " + std::to_string(refused) + " of " + std::to_string(sent) +
                        " sound prompts refused";
    CHECK_TEXT(sent > 0 && 20 * refused <= sent, counts.c_str());
}

void simulate_and_check(const crash_fleet_options& chosen, const prompt_options& prompts,
                        seconds time)
{
    crash_fleet fleet(chosen);
    prompt_traffic traffic(fleet, prompts);
    traffic.simulate(time);
    check_quarantine(fleet, traffic, prompts, "seed " + std::to_string(chosen.first_seed));
}

constexpr std::size_t seeds = 4;

} // namespace

// CppUTest searches all allocated blocks whenever one is freed, which is too slow with many
// routers.
TEST_GROUP(crashing_prompts){
    void setup() override{MemoryLeakWarningPlugin::saveAndDisableNewDeleteOverloads();
}

void teardown() override
{
    MemoryLeakWarningPlugin::restoreNewDeleteOverloads();
}
}
;

// Guards against crashes that do not add up because no two prompts are alike, at any router.
TEST(crashing_prompts, few_endpoints_crash_whatever_else_the_prompts_hold)
{
    for (std::size_t seed = 1; seed <= seeds; ++seed) {
        simulate_and_check(fleet_of(9, seed), {}, seconds(20));
    }
}

// Guards against the same in a fleet so large that most routers see no crash of their own.
TEST(crashing_prompts, few_endpoints_crash_with_many_routers)
{
    simulate_and_check(fleet_of(60, 1), {}, seconds(15));
}

// Guards against sound prompts that are refused for the part that they share with crashing ones.
TEST(crashing_prompts, a_part_that_always_comes_with_a_crashing_one_is_not_refused)
{
    for (std::size_t seed = 1; seed <= seeds; ++seed) {
        prompt_options prompts;
        prompts.has_same_first_part = true;
        simulate_and_check(fleet_of(9, seed), prompts, seconds(20));
    }
}

// Guards against a part that hides behind the crashes of another one.
TEST(crashing_prompts, two_crashing_parts_are_both_found)
{
    for (std::size_t seed = 1; seed <= seeds; ++seed) {
        prompt_options prompts;
        prompts.crashing_parts = {crashing, second_crashing};
        prompts.crash_period = milliseconds(150);
        simulate_and_check(fleet_of(9, seed), prompts, seconds(20));
    }
}

// Guards against crashes that no router sees as a lost connection.
TEST(crashing_prompts, crashes_that_leave_connections_silent_are_found)
{
    for (std::size_t seed = 1; seed <= seeds; ++seed) {
        auto options = fleet_of(9, seed);
        options.crashes_are_silent = true;
        simulate_and_check(options, {}, seconds(20));
    }
}

// Guards against evidence that is lost with messages.
TEST(crashing_prompts, few_endpoints_crash_when_a_third_of_the_reports_is_lost)
{
    for (std::size_t seed = 1; seed <= seeds; ++seed) {
        auto options = fleet_of(9, seed);
        options.lost_messages = 0.33;
        simulate_and_check(options, {}, seconds(20));
    }
}

// Guards against evidence that is lost with the routers that hold it.
TEST(crashing_prompts, few_endpoints_crash_when_routers_restart)
{
    for (std::size_t seed = 1; seed <= seeds; ++seed) {
        const auto options = fleet_of(9, seed);
        crash_fleet fleet(options);
        prompt_traffic traffic(fleet, {});
        for (std::size_t rank = 0; rank < options.routers; ++rank) {
            traffic.simulate(seconds(2));
            fleet.restart_router(rank);
        }
        traffic.simulate(seconds(4));
        CHECK_COMPARE_TEXT(late_runs(fleet, crashing), <=, allowed_late_runs,
                           ("seed " + std::to_string(seed)).c_str());
    }
}

// Guards against popular parts that are refused because endpoints fail for another reason.
TEST(crashing_prompts, no_part_is_refused_because_endpoints_fail_together)
{
    for (std::size_t seed = 1; seed <= seeds; ++seed) {
        crash_fleet fleet(fleet_of(9, seed));
        prompt_options prompts;
        prompts.crash_period = seconds(1000);
        prompt_traffic traffic(fleet, prompts);
        traffic.is_crashing = false;
        for (int failures = 0; failures < 5; ++failures) {
            traffic.simulate(seconds(4));
            fleet.fail_endpoints(4);
        }
        traffic.simulate(seconds(4));
        LONGS_EQUAL(0, fleet.refused_innocents);
    }
}

// Guards against prompts that are refused because endpoints break connections without a crash.
TEST(crashing_prompts, no_part_is_refused_for_long_because_connections_break)
{
    for (std::size_t seed = 1; seed <= seeds; ++seed) {
        crash_fleet fleet(fleet_of(9, seed));
        prompt_options prompts;
        prompts.crash_period = seconds(1000);
        prompts.breaks_first_runs = true;
        prompt_traffic traffic(fleet, prompts);
        const auto begin = fleet.now;
        traffic.simulate(seconds(40));
        const auto [sent, refused] = traffic.sound_prompts_after(begin);
        const auto counts = std::to_string(refused) + " of " + std::to_string(sent) + " refused";
        CHECK_TEXT(100 * refused <= sent, counts.c_str());
    }
}

// Guards against prompts that are refused for long after their part has stopped to crash endpoints.
TEST(crashing_prompts, a_part_that_is_sound_again_is_released)
{
    for (std::size_t seed = 1; seed <= seeds; ++seed) {
        crash_fleet fleet(fleet_of(9, seed));
        prompt_traffic traffic(fleet, {});
        traffic.simulate(seconds(6));
        traffic.is_crashing = false;
        traffic.simulate(seconds(30));
        CHECK_COMPARE(traffic.accepted_when_cured, >, 20);
    }
}
