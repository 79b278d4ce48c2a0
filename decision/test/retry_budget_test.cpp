#include "pearhaven/decision/retry_budget.hpp"

#include <CppUTest/TestHarness.h>

using namespace pearhaven::decision;

TEST_GROUP(retry_budget_test){};

TEST(retry_budget_test, retries_are_a_share_of_the_successes)
{
    // In a full outage callers see every request fail at once. With a fixed count of retries the
    // endpoints would meet several times the load when they come back.
    retry_budget budget(0.1, 2.0);
    int spent = 0;
    for (int failed = 0; failed < 1000; ++failed) {
        spent += budget.try_spend() ? 1 : 0;
    }
    CHECK_EQUAL(2, spent);
    for (int finished = 0; finished < 10; ++finished) {
        budget.on_success();
    }
    CHECK_TRUE(budget.try_spend());
    CHECK_FALSE(budget.try_spend());
}

TEST(retry_budget_test, successes_save_up_no_more_than_the_burst)
{
    retry_budget budget(0.5, 3.0);
    for (int finished = 0; finished < 1000; ++finished) {
        budget.on_success();
    }
    DOUBLES_EQUAL(3.0, budget.balance(), 1e-9);
}
