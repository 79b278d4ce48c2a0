#include "byte_fuzzing.hpp"
#include "object_difference.hpp"
#include "router_inspector.hpp"

#include <algorithm>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace pearhaven;
using namespace pearhaven::control;
using pearhaven::tests::byte_mutator;
using pearhaven::tests::first_fault;

namespace {

// Status pages of the router i1.
const std::vector<std::string> status_pages = {
    R"({"incarnation":"i1","revision":7,"ready":true,"draining":false,"in_flight":3,
        "confirmed_age_ms":40,"members":[{"incarnation":"i2","zone":"osu","host":"10.0.0.2",
        "operator_port":5,"state":"suspect"},{"incarnation":"i3","zone":"osu","host":"10.0.0.3",
        "operator_port":65535,"state":"dead"}]})",
    R"({"incarnation":"i1","revision":0,"ready":false,"draining":true,"in_flight":0})"};

const std::vector<std::string> bodies = {
    R"({"labels":{"tier":"gold"},"spec":{"weight":3,"versions":{"channel":["stable","canary"]}}})",
    R"({"spec":{"model":"adjudicator","cost_per_token":2.0}})", ""};

router_status status_of(const std::string& body)
{
    adapters::http_answer answer;
    answer.result.status = 200;
    answer.body = body;
    return read_status(answer, "i1");
}

// Nested deeply enough to overflow the stack of a recursive function.
std::string deeply_nested_list()
{
    constexpr std::size_t depth = 200'000;
    return std::string(depth, '[') + std::string(depth, ']');
}

} // namespace

// Commands read data from routers of other versions and from a store that other programs write to.
// A parser that crashes on it leaves the operator without a result during an incident.
TEST_GROUP(control_parser_fuzz){};

TEST(control_parser_fuzz, status_pages_of_routers)
{
    CHECK_EQUAL(1U, status_of(status_pages[0]).members.size());
    CHECK_TRUE(status_of(status_pages[1]).problem.empty());
    const auto wrong =
        first_fault(status_pages, 2'000, [](const std::string& bytes, byte_mutator&) {
            const auto read = status_of(bytes);
            auto only_problem = router_status();
            only_problem.problem = read.problem;
            const bool ports_unchanged =
                std::all_of(read.members.begin(), read.members.end(), [&](const auto& member) {
                    // The port must occur in the input: a larger number must not be truncated.
                    return bytes.find(std::to_string(member.operator_port)) != std::string::npos;
                });
            return ports_unchanged && (read.problem.empty() || read == only_problem);
        });
    CHECK_EQUAL(std::string(), wrong);
}

TEST(control_parser_fuzz, stored_bodies_of_objects)
{
    const auto wrong =
        first_fault(bodies, 500, [](const std::string& bytes, byte_mutator& mutator) {
            const auto& other = bodies[mutator.below(bodies.size())];
            for (const auto& field : differences(bytes, other)) {
                static_cast<void>(value_text(field.before) + value_text(field.after));
            }
            const auto shown = object_json({"team", "a", bytes});
            return differences(bytes, bytes).empty() && !value_text(shown).empty() &&
                   shown.at("kind") == "team" && shown.at("name") == "a";
        });
    CHECK_EQUAL(std::string(), wrong);
}

// A body of valid JSON that is nested very deeply: copying and printing it recurse once per level
// and would overflow the stack.
TEST(control_parser_fuzz, a_deeply_nested_body_is_shown_as_text)
{
    const auto body = R"({"spec":{"weight":)" + deeply_nested_list() + "}}";
    CHECK_TRUE(differences(body, body).empty());
    const auto found = differences("", body);
    CHECK_EQUAL(1U, found.size());
    CHECK_TRUE(value_text(found.at(0).after).find("weight") != std::string::npos);
    CHECK_TRUE(object_json({"team", "a", body}).at("unreadable") == body);
}

TEST(control_parser_fuzz, a_deeply_nested_status_page_is_a_problem)
{
    const auto page = R"({"incarnation":"i1","revision":7,"ready":true,"draining":false,)"
                      R"("in_flight":3,"members":)" +
                      deeply_nested_list() + "}";
    CHECK_EQUAL(std::string("the response is not a valid status"), status_of(page).problem);
}
