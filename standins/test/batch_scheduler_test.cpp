#include "batch_scheduler.hpp"
#include "test_time.hpp"

#include <rapidcheck.h>

#include <algorithm>

#include <CppUTest/TestHarness.h>

using namespace pearhaven::standins;
using std::chrono::milliseconds;

namespace {

batch_settings small_engine()
{
    batch_settings settings;
    settings.batch = 2;
    settings.queue = 4;
    settings.step = milliseconds(10);
    settings.step_per_run = milliseconds(1);
    settings.prefill_tokens_per_s = 1000;
    settings.prefill_chunk = 100;
    return settings;
}

run_pointer new_run(std::uint64_t max_tokens, std::uint32_t priority = 5,
                    std::uint64_t prompt_tokens = 0)
{
    run_work work;
    work.max_tokens = max_tokens;
    work.priority = priority;
    work.prompt_tokens = prompt_tokens;
    return run_pointer(new scheduled_run(work));
}

} // namespace

TEST_GROUP(batch_scheduler)
{
    batch_scheduler scheduler{small_engine()};

    // Advances the time step by step until the scheduler is idle. Returns the end time.
    pearhaven::decision::instant finish_all(pearhaven::decision::instant now)
    {
        while (const auto next = this->scheduler.advance(now)) {
            now = std::max(now, *next);
        }
        return now;
    }
};

TEST(batch_scheduler, is_idle_without_runs)
{
    CHECK_FALSE(scheduler.advance(at_ms(0)).has_value());
}

TEST(batch_scheduler, gives_each_run_of_the_batch_a_token_a_step)
{
    const auto first = new_run(5);
    const auto second = new_run(5);
    scheduler.submit(first);
    scheduler.submit(second);
    const auto end = scheduler.advance(at_ms(0));
    CHECK_TRUE(*end == at_ms(12)); // 10 ms and 1 ms for each run
    LONGS_EQUAL(0, first->progress.tokens);
    scheduler.advance(at_ms(12));
    LONGS_EQUAL(1, first->progress.tokens);
    LONGS_EQUAL(1, second->progress.tokens);
}

TEST(batch_scheduler, admits_a_queued_run_when_one_has_finished)
{
    const auto waiting = new_run(1);
    scheduler.submit(new_run(2));
    scheduler.submit(new_run(1));
    scheduler.submit(waiting);
    scheduler.advance(at_ms(0));
    CHECK_TRUE(waiting->progress.state == run_state::queued);
    scheduler.advance(at_ms(12));
    CHECK_TRUE(waiting->progress.state == run_state::running);
}

TEST(batch_scheduler, takes_the_most_urgent_run_first_then_the_oldest)
{
    scheduler.submit(new_run(1));
    scheduler.submit(new_run(1));
    scheduler.advance(at_ms(0));
    const auto later = new_run(1, 5);
    const auto urgent = new_run(1, 0);
    const auto elder = new_run(1, 3);
    const auto younger = new_run(1, 3);
    for (const auto& each : {later, elder, younger, urgent}) {
        scheduler.submit(each);
    }
    scheduler.advance(at_ms(12));
    CHECK_TRUE(urgent->progress.state == run_state::running);
    CHECK_TRUE(elder->progress.state == run_state::running);
    CHECK_TRUE(younger->progress.state == run_state::queued);
}

TEST(batch_scheduler, refuses_a_run_when_the_queue_is_full)
{
    for (int index = 0; index < 4; ++index) {
        CHECK_TRUE(scheduler.submit(new_run(1)));
    }
    CHECK_FALSE(scheduler.submit(new_run(1)));
}

TEST(batch_scheduler, reads_the_prompt_before_the_first_token)
{
    const auto run = new_run(1, 5, 150);
    scheduler.submit(run);
    CHECK_TRUE(*scheduler.advance(at_ms(0)) == at_ms(111)); // 100 prompt tokens: 100 ms
    CHECK_TRUE(*scheduler.advance(at_ms(111)) == at_ms(172));
    LONGS_EQUAL(0, run->progress.tokens);
    scheduler.advance(at_ms(172));
    CHECK_TRUE(run->progress.state == run_state::finished);
}

// A long prompt in the batch slows down the other runs' tokens. Because of this effect, a router
// has to separate long prefills from short requests.
TEST(batch_scheduler, slows_the_batch_down_while_a_prompt_is_read)
{
    scheduler.submit(new_run(10));
    const auto alone = *scheduler.advance(at_ms(0)) - at_ms(0);
    scheduler.submit(new_run(10, 5, 1000));
    const auto beside = *scheduler.advance(at_ms(11)) - at_ms(11);
    CHECK_TRUE(alone == milliseconds(11));
    CHECK_TRUE(beside == milliseconds(112));
}

TEST(batch_scheduler, skips_the_cached_part_of_a_prompt)
{
    run_work work;
    work.prompt_tokens = 40;
    work.prefixes = {1, 2};
    const run_pointer first(new scheduled_run(work));
    scheduler.submit(first);
    const auto end = finish_all(at_ms(0));
    const run_pointer second(new scheduled_run(work));
    scheduler.submit(second);
    CHECK_TRUE(*scheduler.advance(end) == end + milliseconds(10 + 1 + 8));
    LONGS_EQUAL(0, first->progress.cached_tokens);
    LONGS_EQUAL(32, second->progress.cached_tokens);
}

TEST(batch_scheduler, never_exceeds_its_memory)
{
    auto settings = small_engine();
    settings.kv_tokens = 100;
    batch_scheduler bounded(settings);
    const auto large = new_run(80);
    const auto next = new_run(30);
    bounded.submit(large);
    bounded.submit(next);
    bounded.advance(at_ms(0));
    CHECK_TRUE(next->progress.state == run_state::queued);
    DOUBLES_EQUAL(0.8, bounded.load().kv_used, 0.001);
    bounded.cancel(large);
    bounded.advance(at_ms(11));
    CHECK_TRUE(next->progress.state == run_state::running);
}

TEST(batch_scheduler, ends_a_cancelled_run_at_once)
{
    const auto running = new_run(5);
    const auto queued = new_run(5);
    scheduler.submit(running);
    scheduler.advance(at_ms(0));
    scheduler.submit(queued);
    CHECK_TRUE(scheduler.cancel(running));
    CHECK_TRUE(scheduler.cancel(queued));
    CHECK_FALSE(scheduler.cancel(running));
    CHECK_FALSE(scheduler.advance(at_ms(11)).has_value());
    LONGS_EQUAL(0, running->progress.tokens);
}

TEST(batch_scheduler, catches_up_when_the_caller_is_slightly_late)
{
    scheduler.submit(new_run(100));
    scheduler.advance(at_ms(0));
    CHECK_TRUE(*scheduler.advance(at_ms(15)) == at_ms(22));
    CHECK_TRUE(*scheduler.advance(at_ms(1000)) == at_ms(1011)); // too late to catch up
}

TEST(batch_scheduler, multiplies_the_step_duration_by_the_slow_factor)
{
    scheduler.set_slow_factor(10);
    scheduler.submit(new_run(1));
    CHECK_TRUE(*scheduler.advance(at_ms(0)) == at_ms(110));
}

TEST(batch_scheduler, finishes_every_run_with_all_its_tokens)
{
    rc::check("any load", [] {
        batch_scheduler engine(small_engine());
        auto now = at_ms(0);
        std::vector<run_pointer> taken;
        std::uint64_t expected_tokens = 0;
        for (const auto tokens : *rc::gen::container<std::vector<int>>(rc::gen::inRange(1, 9))) {
            const auto run = new_run(static_cast<std::uint64_t>(tokens), *rc::gen::inRange(0U, 9U),
                                     *rc::gen::inRange(0U, 300U));
            if (engine.submit(run)) {
                taken.push_back(run);
                expected_tokens += run->work.max_tokens;
            }
            now = engine.advance(now).value_or(now);
            RC_ASSERT(engine.load().running <= 2U);
        }
        while (const auto next = engine.advance(now)) {
            now = *next;
        }
        for (const auto& run : taken) {
            RC_ASSERT(run->progress.state == run_state::finished);
            RC_ASSERT(run->progress.tokens == run->work.max_tokens);
        }
        RC_ASSERT(engine.counts().tokens == expected_tokens);
        RC_ASSERT(engine.load().kv_used == 0.0);
    });
}
