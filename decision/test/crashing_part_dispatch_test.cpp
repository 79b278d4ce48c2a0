#include "one_router.hpp"

#include <optional>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace pearhaven::decision;
using pearhaven::decision::test::one_router;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr std::uint64_t crashing = 7;
constexpr std::uint64_t innocent = 20;

} // namespace

// One router and six endpoints, which the tests let crash under prompts.
TEST_GROUP(crashing_part_dispatch)
{
    one_router fleet{{"a", "b", "c", "d", "e", "f"}};

    arrival make_prompt(const std::vector<std::uint64_t>& parts, std::uint32_t sizes = 1)
    {
        auto request = this->fleet.make_request(true);
        request.part_names = parts;
        request.sizes = sizes;
        return request;
    }

    std::optional<start_attempt> send(const std::vector<std::uint64_t>& parts)
    {
        return this->fleet.send(this->make_prompt(parts));
    }

    // The answer begins. Returns whether it is kept.
    bool begin(const start_attempt& run, double confidence = 100.0)
    {
        return this->fleet.router->accepts_answer(run.ticket, run.attempt, confidence,
                                                  this->fleet.now);
    }

    void lose(const start_attempt& run)
    {
        this->fleet.end(run, attempt_result::failed, true);
        this->fleet.take_start();
    }

    void drop_host(const std::string& address)
    {
        this->fleet.router->on_host_changes({{}, {address}}, this->fleet.now);
        this->fleet.take_start();
    }

    // The part of the last announced prompt; 0 if none was announced.
    std::uint64_t announced_part()
    {
        const auto* announced = this->fleet.find_action<announce_lost_prompt>();
        return announced == nullptr ? 0 : announced->prompt.parts.at(0);
    }

    void quarantine(std::uint64_t part)
    {
        this->fleet.router->on_shared_quarantine(part, true, this->fleet.now);
    }
};

TEST(crashing_part_dispatch, a_lost_prompt_is_announced_with_its_endpoint)
{
    const auto run = this->send({crashing, innocent});
    CHECK_TRUE(this->begin(*run));
    this->fleet.now += milliseconds(100);
    this->lose(*run);
    const auto* announced = this->fleet.find_action<announce_lost_prompt>();
    CHECK_TRUE(announced != nullptr);
    CHECK_TRUE(announced->prompt == (lost_prompt{fingerprint("", "api", ""),
                                                 {crashing, innocent},
                                                 run->address,
                                                 1,
                                                 duration::zero(),
                                                 true}));
}

TEST(crashing_part_dispatch, a_prompt_whose_answer_had_not_just_begun_is_announced_as_such)
{
    this->lose(*this->send({crashing}));
    CHECK_FALSE(this->fleet.find_action<announce_lost_prompt>()->prompt.has_just_begun);
    const auto run = this->send({crashing});
    CHECK_TRUE(this->begin(*run));
    this->fleet.now += milliseconds(700);
    this->lose(*run);
    CHECK_FALSE(this->fleet.find_action<announce_lost_prompt>()->prompt.has_just_begun);
}

// Guards against crashes under answers that the router had dropped for a larger model.
TEST(crashing_part_dispatch, a_dropped_answer_is_announced_when_its_endpoint_loses_another_run)
{
    const auto dropped = this->fleet.send(this->make_prompt({crashing}, 2));
    CHECK_FALSE(this->begin(*dropped, 0.0));
    this->fleet.take_start();
    std::optional<start_attempt> other;
    while (!other || other->address != dropped->address) {
        other = this->send({innocent});
    }
    this->fleet.now += milliseconds(50);
    this->fleet.end(*other, attempt_result::failed, true);
    this->fleet.take_start();
    std::size_t announced = 0;
    for (const auto& prompt : this->fleet.find_actions<announce_lost_prompt>()) {
        const bool is_dropped = prompt.prompt.parts.at(0) == crashing;
        announced += is_dropped && prompt.prompt.has_just_begun ? 1 : 0;
    }
    LONGS_EQUAL(1, announced);
}

// Guards against crashes of endpoints that ran nothing else of this router.
TEST(crashing_part_dispatch, a_dropped_answer_is_announced_when_its_endpoint_leaves_the_list)
{
    const auto dropped = this->fleet.send(this->make_prompt({crashing}, 2));
    CHECK_FALSE(this->begin(*dropped, 0.0));
    this->fleet.take_start();
    this->fleet.now += seconds(3);
    this->drop_host(dropped->address);
    LONGS_EQUAL(crashing, this->announced_part());
    CHECK_TRUE(this->fleet.find_action<announce_lost_prompt>()->prompt.age == seconds(3));
}

// Guards against crashes that leave the connections silent.
TEST(crashing_part_dispatch, a_silent_run_is_announced_when_its_endpoint_leaves_the_list)
{
    const auto run = this->send({crashing});
    CHECK_TRUE(this->begin(*run));
    this->fleet.now += seconds(2);
    this->fleet.end(*run, attempt_result::went_silent, false);
    this->fleet.take_start();
    LONGS_EQUAL(0, this->announced_part());
    this->drop_host(run->address);
    LONGS_EQUAL(crashing, this->announced_part());
}

TEST(crashing_part_dispatch, an_open_run_is_announced_when_its_endpoint_leaves_the_list)
{
    const auto run = this->send({crashing});
    CHECK_TRUE(this->begin(*run));
    this->fleet.now += seconds(3);
    this->drop_host(run->address);
    LONGS_EQUAL(crashing, this->announced_part());
}

TEST(crashing_part_dispatch, a_long_answer_clears_its_prompt)
{
    const auto run = this->send({innocent});
    CHECK_TRUE(this->begin(*run));
    this->lose(*this->send({crashing}));
    this->fleet.now += milliseconds(900);
    this->fleet.router->on_piece(run->ticket, run->attempt, this->fleet.now);
    this->fleet.take_start();
    CHECK_TRUE(this->fleet.find_action<announce_answered_prompt>() == nullptr);
    this->fleet.now += milliseconds(200);
    this->fleet.router->on_piece(run->ticket, run->attempt, this->fleet.now);
    this->fleet.take_start();
    const auto* announced = this->fleet.find_action<announce_answered_prompt>();
    CHECK_TRUE(announced != nullptr);
    CHECK_TRUE(announced->prompt ==
               (answered_prompt{fingerprint("", "api", ""), {innocent}, "", 0}));
    this->lose(*run);
    LONGS_EQUAL(0, this->announced_part());
}

// Guards against prompts that are refused because of endpoints that only broke connections.
TEST(crashing_part_dispatch, an_endpoint_that_answers_after_a_lost_run_is_announced)
{
    const auto lost = this->send({innocent});
    this->lose(*lost);
    this->fleet.now += seconds(3);
    std::optional<start_attempt> run;
    while (!run || run->address != lost->address) {
        run = this->send({innocent});
    }
    CHECK_TRUE(this->begin(*run));
    this->fleet.take_start();
    const auto* announced = this->fleet.find_action<announce_answered_prompt>();
    CHECK_TRUE(announced != nullptr);
    STRCMP_EQUAL(lost->address.c_str(), announced->prompt.address.c_str());
}

// Guards against a crashing part that is cleared by an error, or by another router's answer.
TEST(crashing_part_dispatch, an_error_of_the_endpoint_clears_no_prompt)
{
    this->lose(*this->send({crashing}));
    const auto run = this->send({crashing});
    attempt_end end;
    end.ticket = run->ticket;
    end.attempt = run->attempt;
    end.result = attempt_result::finished;
    end.answer_reports_failure = true;
    this->fleet.router->on_attempt_end(end, this->fleet.now);
    this->fleet.take_start();
    CHECK_TRUE(this->fleet.find_action<announce_answered_prompt>() == nullptr);
}

TEST(crashing_part_dispatch, prompts_with_a_quarantined_part_are_refused_unrun)
{
    this->quarantine(crashing);
    for (const auto& parts : std::vector<std::vector<std::uint64_t>>{
             {crashing}, {innocent, crashing}, {crashing, innocent}}) {
        CHECK_FALSE(this->send(parts).has_value());
        const auto* refused = this->fleet.find_action<give_up_request>();
        CHECK_TRUE(refused != nullptr);
        CHECK_TRUE(refused->why.code == failure_code::request_quarantined);
        CHECK_TRUE(refused->why.run == run_state::not_run);
        CHECK_TRUE(refused->why.retry_after > duration::zero());
    }
    CHECK_TRUE(this->send({innocent}).has_value());
    this->fleet.router->on_shared_quarantine(crashing, false, this->fleet.now);
    CHECK_TRUE(this->send({crashing}).has_value());
}

// Guards against crashes while the store cannot be written.
TEST(crashing_part_dispatch, parts_quarantined_by_this_router_are_refused_without_the_store)
{
    this->fleet.router->set_quarantined_parts({crashing});
    CHECK_FALSE(this->send({crashing}).has_value());
    this->fleet.router->set_quarantined_parts({});
    CHECK_TRUE(this->send({crashing}).has_value());
}

// Guards against a retry of the prompt that has just crashed its endpoint.
TEST(crashing_part_dispatch, a_prompt_is_not_retried_once_its_part_is_quarantined)
{
    const auto run = this->send({crashing});
    this->quarantine(crashing);
    this->fleet.end(*run, attempt_result::failed, true);
    CHECK_FALSE(this->fleet.take_start().has_value());
    CHECK_TRUE(this->fleet.find_action<give_up_request>()->why.run == run_state::unknown);
}

// Guards against a part that stays quarantined although other routers get answers on it.
TEST(crashing_part_dispatch, an_answer_of_the_last_second_is_announced_when_its_part_is_quarantined)
{
    const auto run = this->send({innocent, crashing});
    this->fleet.end(*run, attempt_result::finished);
    this->fleet.take_start();
    this->fleet.now += milliseconds(900);
    this->quarantine(innocent);
    this->fleet.take_start();
    const auto* announced = this->fleet.find_action<announce_answered_prompt>();
    CHECK_TRUE(announced != nullptr);
    CHECK_TRUE(announced->prompt.parts == std::vector<std::uint64_t>{innocent});
    this->fleet.now += milliseconds(200);
    this->quarantine(crashing);
    this->fleet.take_start();
    CHECK_TRUE(this->fleet.find_action<announce_answered_prompt>() == nullptr);
}

// Guards against parts that stay quarantined for ten minutes although they are sound.
TEST(crashing_part_dispatch, the_tester_sends_single_prompts_of_a_quarantined_part)
{
    this->quarantine(crashing);
    this->fleet.router->set_quarantine_tester(crashing, true, this->fleet.now);
    CHECK_FALSE(this->send({crashing}).has_value());
    for (const auto wait : {seconds(2), seconds(8), seconds(32)}) {
        this->fleet.now += wait - milliseconds(1);
        CHECK_FALSE(this->send({crashing}).has_value());
        this->fleet.now += milliseconds(1);
        const auto test = this->send({crashing, innocent});
        CHECK_TRUE(test.has_value());
        CHECK_FALSE(this->send({crashing}).has_value());
        this->fleet.end(*test, attempt_result::failed, true);
        CHECK_FALSE(this->fleet.take_start().has_value());
    }
    this->fleet.router->set_quarantine_tester(crashing, false, this->fleet.now);
    this->fleet.now += seconds(1000);
    CHECK_FALSE(this->send({crashing}).has_value());
}

TEST(crashing_part_dispatch, a_test_that_is_answered_is_announced)
{
    this->quarantine(crashing);
    this->fleet.router->set_quarantine_tester(crashing, true, this->fleet.now);
    this->fleet.now += seconds(3);
    const auto test = this->fleet.send(this->make_prompt({crashing}, 3));
    CHECK_TRUE(test.has_value());
    LONGS_EQUAL(2, test->size);
    CHECK_TRUE(this->fleet.find_action<report_quarantine_test>() != nullptr);
    this->fleet.end(*test, attempt_result::finished);
    this->fleet.take_start();
    CHECK_TRUE(this->fleet.find_action<announce_answered_prompt>() != nullptr);
}

// Guards against tests whose crash could have either of two causes.
TEST(crashing_part_dispatch, a_prompt_with_two_quarantined_parts_tests_none)
{
    for (const auto part : {crashing, innocent}) {
        this->quarantine(part);
        this->fleet.router->set_quarantine_tester(part, true, this->fleet.now);
    }
    this->fleet.now += seconds(3);
    CHECK_FALSE(this->send({crashing, innocent}).has_value());
    CHECK_TRUE(this->send({innocent}).has_value());
}

TEST(crashing_part_dispatch, a_prompt_lost_with_a_leaving_endpoint_is_not_announced)
{
    const auto run = this->send({crashing});
    this->fleet.router->on_endpoint_leaving(run->address, 1, this->fleet.now);
    this->lose(*run);
    LONGS_EQUAL(0, this->announced_part());
}
