#include "router_inspector.hpp"

#include <CppUTest/TestHarness.h>

using namespace pearhaven::control;
using pearhaven::adapters::http_answer;
using pearhaven::adapters::http_error;

namespace {

http_answer answer(int status, std::string body)
{
    http_answer made;
    made.result.status = status;
    made.body = std::move(body);
    return made;
}

const std::string page = R"({"incarnation":"i1","revision":7,"ready":true,"draining":false,)"
                         R"("in_flight":3,"confirmed_age_ms":40,"members":[)"
                         R"({"incarnation":"i2","zone":"osu","host":"10.0.0.2","operator_port":5,)"
                         R"("state":"suspect"},{"incarnation":"i3","zone":"osu","host":"10.0.0.3",)"
                         R"("operator_port":5,"state":"dead"}]})";

} // namespace

TEST_GROUP(router_inspector_test){};

TEST(router_inspector_test, a_status_page_is_read)
{
    const auto status = read_status(answer(200, page), "i1");
    CHECK_EQUAL(std::string(), status.problem);
    CHECK_EQUAL(7U, status.revision);
    CHECK_EQUAL(40U, status.confirmed_age_ms.value());
    CHECK_EQUAL(3U, status.in_flight);
    CHECK_TRUE(status.ready);
    CHECK_EQUAL(1U, status.members.size());
    CHECK_EQUAL(std::string("i2"), status.members[0].id);
    CHECK_EQUAL(5, status.members[0].operator_port);
}

TEST(router_inspector_test, a_status_page_of_another_incarnation_is_a_problem)
{
    // A router is replaced at the same address while its record still exists. The replacement's
    // higher revision must not end a wait while the old router, paused, still has the old
    // configuration.
    CHECK_EQUAL(std::string("its address now belongs to router i1"),
                read_status(answer(200, page), "i0").problem);
}

TEST(router_inspector_test, an_invalid_status_response_is_a_problem)
{
    http_answer lost;
    lost.result.error = http_error::connect_failed;
    CHECK_FALSE(read_status(lost, "i1").problem.empty());
    CHECK_EQUAL(std::string("refused the operator key"),
                read_status(answer(401, ""), "i1").problem);
    CHECK_EQUAL(std::string("answered with status 500"),
                read_status(answer(500, ""), "i1").problem);
    for (const char* body : {"", "[]", "{}", R"({"incarnation":"i1","revision":-1})"}) {
        CHECK_EQUAL(std::string("the response is not a valid status"),
                    read_status(answer(200, body), "i1").problem);
    }
}

// Truncated to 16 bits, the number would be the port of another process.
TEST(router_inspector_test, a_member_with_a_port_out_of_range_is_ignored)
{
    for (const auto* const port : {"0", "65536", "65541", "18446744073709551615", "-1", "5.5"}) {
        const auto members = R"({"incarnation":"i1","revision":7,"ready":true,"draining":false,)"
                             R"("in_flight":3,"members":[{"incarnation":"i2","zone":"osu",)"
                             R"("host":"10.0.0.2","state":"alive","operator_port":)" +
                             std::string(port) + "}]}";
        const auto status = read_status(answer(200, members), "i1");
        CHECK_EQUAL(std::string(), status.problem);
        CHECK_TRUE(status.members.empty());
    }
}
