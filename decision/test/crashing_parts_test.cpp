#include "pearhaven/decision/crashing_parts.hpp"

#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace pearhaven::decision;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

namespace {

constexpr std::uint64_t target = 1;
constexpr std::uint64_t crashing = 7;
constexpr std::uint64_t innocent = 20;
constexpr std::uint64_t second_crashing = 8;

} // namespace

TEST_GROUP(crashing_parts)
{
    crashing_part_table table;
    instant now{seconds(100)};
    int crashes = 0;

    // Another endpoint crashes, a second after the one before, while it runs the prompts.
    void crash(const std::vector<std::vector<std::uint64_t>>& prompts, bool has_begun = true,
               milliseconds separation = seconds(1))
    {
        this->now += separation;
        const auto address = "e" + std::to_string(++this->crashes);
        for (const auto& parts : prompts) {
            this->table.on_lost_prompt({target, parts, address, 1, duration::zero(), has_begun},
                                       this->now);
        }
        this->table.on_incarnation_end(address, 1, this->now);
    }

    void answer(const std::vector<std::uint64_t>& parts)
    {
        this->now += milliseconds(10);
        this->table.on_answered_prompt({target, parts, "", 0}, this->now);
    }

    std::vector<std::uint64_t> found()
    {
        std::vector<std::uint64_t> parts;
        for (const auto& cause : this->table.crashing_parts(this->now)) {
            CHECK_EQUAL(target, cause.target);
            parts.push_back(cause.part);
        }
        return parts;
    }

    // Crashes with the part and, each time, another innocent one.
    void crash_with(std::uint64_t part, int count)
    {
        for (int i = 0; i < count; ++i) {
            const auto other = innocent + static_cast<std::uint64_t>(this->crashes);
            this->crash({{other, part}});
        }
    }
};

TEST(crashing_parts, the_third_crash_under_prompts_that_had_just_begun_finds_their_common_part)
{
    this->crash_with(crashing, 2);
    CHECK_TRUE(this->found().empty());
    this->crash_with(crashing, 1);
    CHECK_TRUE(this->found() == std::vector<std::uint64_t>{crashing});
}

// Guards against a part that is never found because its answers are lost before they are seen.
TEST(crashing_parts, the_sixth_crash_under_prompts_that_had_not_begun_finds_their_common_part)
{
    for (int i = 0; i < 5; ++i) {
        this->crash({{innocent + static_cast<std::uint64_t>(i), crashing}}, false);
    }
    CHECK_TRUE(this->found().empty());
    this->crash({{innocent + 9, crashing}}, false);
    CHECK_TRUE(this->found() == std::vector<std::uint64_t>{crashing});
}

// Guards against popular parts that are present at every crash.
TEST(crashing_parts, an_answered_part_is_none_of_the_causes)
{
    for (int i = 0; i < 4; ++i) {
        this->crash({{innocent, crashing}, {innocent}});
        this->answer({innocent});
    }
    CHECK_TRUE(this->found() == std::vector<std::uint64_t>{crashing});
    this->answer({crashing});
    CHECK_TRUE(this->found().empty());
}

// Guards against parts that are taken for causes because an answer on them ended just before.
TEST(crashing_parts, an_answer_counts_for_a_second_after_it)
{
    for (int i = 0; i < 6; ++i) {
        this->answer({innocent});
        this->crash({{innocent}}, true, milliseconds(900));
    }
    CHECK_TRUE(this->found().empty());
}

// Guards against the innocent one of two parts that come together.
TEST(crashing_parts, parts_that_cannot_be_told_apart_get_one_more_crash)
{
    for (int i = 0; i < 3; ++i) {
        this->crash({{innocent, crashing}});
    }
    CHECK_TRUE(this->found().empty());
    this->crash_with(crashing, 1);
    CHECK_TRUE(this->found() == std::vector<std::uint64_t>{crashing});
}

TEST(crashing_parts, parts_that_remain_alike_are_both_causes_until_one_is_answered)
{
    for (int i = 0; i < 4; ++i) {
        this->crash({{innocent, crashing}});
    }
    CHECK_TRUE((this->found() == std::vector<std::uint64_t>{crashing, innocent}));
    this->answer({innocent});
    CHECK_TRUE(this->found() == std::vector<std::uint64_t>{crashing});
}

// Guards against innocent parts that are present at several crashes of one cause.
TEST(crashing_parts, the_crashes_of_one_cause_are_no_evidence_against_other_parts)
{
    this->crash({{crashing}});
    for (int i = 0; i < 3; ++i) {
        this->crash({{innocent}, {crashing}});
    }
    CHECK_TRUE(this->found() == std::vector<std::uint64_t>{crashing});
}

// Guards against a part that hides behind the crashes of another one.
TEST(crashing_parts, a_second_cause_is_found_by_its_own_crashes)
{
    this->crash({{crashing}, {second_crashing}});
    this->crash_with(crashing, 3);
    this->crash_with(second_crashing, 3);
    CHECK_TRUE((this->found() == std::vector<std::uint64_t>{crashing, second_crashing}));
}

// Guards against a cause that is released because another one comes to explain its crashes.
TEST(crashing_parts, a_cause_remains_one_when_another_part_has_more_crashes)
{
    this->crash_with(crashing, 3);
    CHECK_TRUE(this->found() == std::vector<std::uint64_t>{crashing});
    for (int endpoint = 1; endpoint <= 3; ++endpoint) {
        this->table.on_lost_prompt(
            {target, {second_crashing}, "e" + std::to_string(endpoint), 1, duration::zero(), true},
            this->now);
    }
    this->crash_with(second_crashing, 3);
    CHECK_TRUE((this->found() == std::vector<std::uint64_t>{crashing, second_crashing}));
}

// Guards against a popular part that is refused because a rack failed under several runs of it.
TEST(crashing_parts, endpoints_that_fail_at_the_same_moment_count_once)
{
    for (int i = 0; i < 8; ++i) {
        this->crash({{innocent}}, true, milliseconds(2));
    }
    CHECK_TRUE(this->found().empty());
}

TEST(crashing_parts, a_crash_of_one_incarnation_counts_once)
{
    for (int i = 0; i < 8; ++i) {
        this->now += seconds(1);
        this->table.on_lost_prompt({target, {crashing}, "e1", 1, duration::zero(), true},
                                   this->now);
    }
    CHECK_TRUE(this->found().empty());
    LONGS_EQUAL(1, this->table.crash_count());
}

// Guards against runs that a router had ended long before the endpoint crashed.
TEST(crashing_parts, a_run_that_ended_long_before_the_crash_is_no_evidence)
{
    for (int i = 0; i < 4; ++i) {
        this->crash({{innocent + static_cast<std::uint64_t>(i)}});
        this->table.on_lost_prompt(
            {target, {crashing}, "e" + std::to_string(this->crashes), 1, seconds(2), true},
            this->now);
    }
    CHECK_TRUE(this->found().empty());
}

TEST(crashing_parts, a_report_that_is_older_than_its_evidence_lasts_is_ignored)
{
    this->table.on_lost_prompt({target, {crashing}, "e1", 1, duration::max(), true}, this->now);
    LONGS_EQUAL(0, this->table.crash_count());
}

TEST(crashing_parts, crashes_of_different_targets_do_not_add_up)
{
    for (std::uint64_t i = 0; i < 4; ++i) {
        this->now += seconds(1);
        this->table.on_lost_prompt(
            {target + i, {crashing}, "e" + std::to_string(i), 1, duration::zero(), true},
            this->now);
    }
    CHECK_TRUE(this->table.crashing_parts(this->now).empty());
}

// Guards against prompts that are refused because their connections broke, not their endpoints.
TEST(crashing_parts, lost_runs_count_for_long_only_if_their_endpoints_have_ended)
{
    for (int i = 0; i < 3; ++i) {
        this->now += seconds(1);
        this->table.on_lost_prompt(
            {target, {crashing}, "c" + std::to_string(i), 1, duration::zero(), true}, this->now);
    }
    CHECK_FALSE(this->found().empty());
    this->now += seconds(15);
    CHECK_TRUE(this->found().empty());
    this->crash_with(crashing, 3);
    this->now += minutes(9);
    CHECK_FALSE(this->found().empty());
    this->now += minutes(1);
    CHECK_TRUE(this->found().empty());
}

// Guards against parts that are refused because of endpoints that only broke connections.
TEST(crashing_parts, an_endpoint_that_answers_later_has_not_crashed)
{
    this->crash_with(crashing, 3);
    const auto address = "e" + std::to_string(this->crashes);
    CHECK_FALSE(this->table.on_endpoint_answer(address, 1, this->now));
    CHECK_FALSE(this->table.on_endpoint_answer(address, 2, this->now + milliseconds(1)));
    CHECK_FALSE(this->found().empty());
    CHECK_TRUE(this->table.on_endpoint_answer(address, 1, this->now + milliseconds(1)));
    CHECK_TRUE(this->found().empty());
    this->crash_with(crashing, 1);
    CHECK_FALSE(this->found().empty());
    const answered_prompt other{target, {}, "e1", 1};
    this->table.on_answered_prompt(other, this->now);
    CHECK_TRUE(this->found().empty());
}

TEST(crashing_parts, an_answer_is_news_to_others_only_after_a_crash)
{
    CHECK_FALSE(this->table.on_answered_prompt({target, {innocent}, "", 0}, this->now));
    this->crash({{crashing}});
    CHECK_TRUE(this->table.on_answered_prompt({target, {innocent}, "", 0}, this->now + seconds(2)));
    CHECK_FALSE(
        this->table.on_answered_prompt({target, {innocent}, "", 0}, this->now + seconds(2)));
    CHECK_FALSE(
        this->table.on_answered_prompt({target, {innocent}, "", 0}, this->now + seconds(9)));
    CHECK_TRUE(this->table.on_answered_prompt({target, {crashing}, "", 0}, this->now + seconds(9)));
}

TEST(crashing_parts, an_answer_is_remembered_for_a_second)
{
    this->answer({innocent});
    CHECK_TRUE(this->table.answered_lately(innocent, this->now) == target);
    CHECK_FALSE(this->table.answered_lately(crashing, this->now).has_value());
    CHECK_FALSE(this->table.answered_lately(innocent, this->now + seconds(1)).has_value());
}

// Guards against memory that grows with crashes.
TEST(crashing_parts, the_number_of_crashes_and_of_their_parts_is_bounded)
{
    crashing_part_settings settings;
    settings.max_crashes = 4;
    settings.max_parts_per_crash = 2;
    this->table = crashing_part_table(settings);
    for (int i = 0; i < 10; ++i) {
        this->crash({{1, 2, 3, 4}});
    }
    LONGS_EQUAL(4, this->table.crash_count());
    CHECK_TRUE((this->found() == std::vector<std::uint64_t>{1, 2}));
}
