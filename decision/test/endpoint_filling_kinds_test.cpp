#include "pearhaven/decision/endpoint_filling_kinds.hpp"

#include <CppUTest/TestHarness.h>

using namespace pearhaven::decision;

TEST_GROUP(endpoint_filling_kinds)
{
    endpoint_filling_kinds kinds;

    // Every `period`-th request fills an endpoint.
    void record(int requests, int period)
    {
        for (int i = 1; i <= requests; ++i) {
            this->kinds.record("report", i % period == 0);
        }
    }
};

// Guards against a router that has just started and decides for a whole kind by its first request.
TEST(endpoint_filling_kinds, the_request_decides_until_eight_of_its_kind_are_known)
{
    this->record(7, 1);
    CHECK_FALSE(this->kinds.fills("report", false));
    CHECK_TRUE(this->kinds.fills("report", true));
    this->record(1, 1);
    CHECK_TRUE(this->kinds.fills("report", false));
}

// Guards against sessions of a kind with few long answers that move for the trial.
TEST(endpoint_filling_kinds, a_quarter_of_the_requests_makes_a_kind_fill)
{
    this->record(40, 5);
    CHECK_FALSE(this->kinds.fills("report", true));
    this->kinds = {};
    this->record(40, 4);
    CHECK_TRUE(this->kinds.fills("report", false));
    CHECK_FALSE(this->kinds.fills("lookup", false));
}

// Guards against a kind that is classified by the requests of hours ago.
TEST(endpoint_filling_kinds, a_kind_whose_requests_change_is_classified_by_the_new_ones)
{
    this->record(10'000, 1);
    CHECK_TRUE(this->kinds.fills("report", false));
    this->record(200, 1'000);
    CHECK_FALSE(this->kinds.fills("report", true));
}
