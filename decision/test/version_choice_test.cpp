#include "pearhaven/decision/version_choice.hpp"

#include <set>
#include <string>

#include <CppUTest/TestHarness.h>

using namespace pearhaven::decision;

namespace {

version version_of(const std::string& name, const std::string& model, std::uint32_t traffic,
                   const std::string& fallback = "")
{
    version made;
    made.name = name;
    made.model = model;
    made.traffic = traffic;
    made.fallback = fallback;
    made.tags = {{"channel", name == "reader-3" ? "canary" : "stable"}};
    return made;
}

using names = std::set<std::string>;

} // namespace

// Team `deposits` may use stable versions. Model `reader` has reader-1 and reader-2, whose traffic
// is 1 to 3, reader-3 on another channel, and reader-0 without traffic.
TEST_GROUP(version_choice_test)
{
    configuration_ptr build(bool withdrawn = false)
    {
        team deposits;
        deposits.name = "deposits";
        deposits.versions = selector().require("channel", {"stable"});
        version first = version_of("reader-1", "reader", 1);
        first.withdrawn = withdrawn;
        cascade both;
        both.name = "cheap-reader";
        both.model = "reader";
        both.cheap = "reader-1";
        both.costly = "reader-2";
        cascade closed = both;
        closed.name = "closed-reader";
        closed.teams = selector::nothing();
        return configuration_builder()
            .add(closed)
            .add(deposits)
            .add(first)
            .add(version_of("reader-2", "reader", 3, "reader-0"))
            .add(version_of("reader-3", "reader", 100, "reader-0"))
            .add(version_of("reader-0", "reader", 0))
            .add(both)
            .build();
    }

    version_question question_for(const std::string& asked)
    {
        version_question question;
        question.current = this->current.get();
        question.caller = &this->current->teams().at("deposits");
        question.asked = asked;
        return question;
    }

    version_question bound_to(const std::string& version, const std::string& asked = "reader")
    {
        auto question = this->question_for(asked);
        question.bound = session{"id", "deposits", "reader", version};
        return question;
    }

    names drawn(version_question question)
    {
        names all;
        for (question.random = 0; question.random < 16; ++question.random) {
            all.insert(choose_version(question).version);
        }
        return all;
    }

    bool refuses(const version_question& question, version_refusal reason)
    {
        return choose_version(question) == version_answer{"", reason};
    }

    configuration_ptr current = this->build();
};

TEST(version_choice_test, a_model_gives_its_allowed_versions_by_their_traffic)
{
    auto question = this->question_for("reader");
    int first = 0;
    for (question.random = 0; question.random < 400; ++question.random) {
        first += choose_version(question).version == "reader-1" ? 1 : 0;
    }
    CHECK_EQUAL(100, first);
    CHECK_TRUE((names{"reader-1", "reader-2"}) == this->drawn(question));
}

TEST(version_choice_test, a_withdrawn_version_gets_nothing_by_model_name_or_session)
{
    this->current = this->build(true);
    CHECK_TRUE((names{"reader-2"}) == this->drawn(this->question_for("reader")));
    CHECK_TRUE(this->refuses(this->question_for("reader-1"), version_refusal::withdrawn));
    CHECK_TRUE(
        this->refuses(this->bound_to("reader-1"), version_refusal::session_version_withdrawn));
}

TEST(version_choice_test, a_version_asked_for_by_name_must_itself_be_allowed)
{
    CHECK_TRUE((names{"reader-0"}) == this->drawn(this->question_for("reader-0")));
    CHECK_TRUE(this->refuses(this->question_for("reader-3"), version_refusal::not_allowed));
    CHECK_TRUE(this->refuses(this->question_for("writer"), version_refusal::unknown_model));
}

TEST(version_choice_test, traffic_of_an_excluded_version_goes_to_its_fallback)
{
    auto question = this->question_for("reader");
    question.excluded = {"reader-2"};
    CHECK_TRUE((names{"reader-0", "reader-1"}) == this->drawn(question));
    question.excluded = {"reader-3"};
    CHECK_TRUE((names{"reader-1", "reader-2"}) == this->drawn(question));
    question.excluded = {"reader-2", "reader-1", "reader-0"};
    CHECK_TRUE(this->refuses(question, version_refusal::no_version));
}

TEST(version_choice_test, cyclic_fallbacks_and_versions_without_traffic_get_no_work)
{
    team anyone;
    anyone.name = "deposits";
    anyone.versions = selector();
    this->current = configuration_builder()
                        .add(anyone)
                        .add(version_of("a", "circle", 1, "b"))
                        .add(version_of("b", "circle", 1, "a"))
                        .add(version_of("c", "idle", 0))
                        .build();
    auto question = this->question_for("circle");
    question.excluded = {"a", "b"};
    CHECK_TRUE(this->refuses(question, version_refusal::no_version));
    CHECK_TRUE(this->refuses(this->question_for("idle"), version_refusal::no_version));
}

TEST(version_choice_test, a_cascade_gives_its_costly_version_else_its_cheap_one)
{
    auto question = this->question_for("cheap-reader");
    CHECK_TRUE((names{"reader-2"}) == this->drawn(question));
    question.excluded = {"reader-2"};
    CHECK_TRUE((names{"reader-1"}) == this->drawn(question));
    CHECK_TRUE(this->refuses(this->question_for("closed-reader"), version_refusal::not_allowed));
}

TEST(version_choice_test, a_session_keeps_its_version_regardless_of_traffic)
{
    CHECK_TRUE((names{"reader-0"}) == this->drawn(this->bound_to("reader-0")));
    CHECK_TRUE((names{"reader-1"}) == this->drawn(this->bound_to("reader-1", "cheap-reader")));
}

TEST(version_choice_test, a_session_is_refused_rather_than_moved)
{
    const auto refused = version_refusal::session_version_not_allowed;
    CHECK_TRUE(this->refuses(this->bound_to("reader-3"), refused));
    CHECK_TRUE(this->refuses(this->bound_to("reader-1", "writer"), refused));
    CHECK_TRUE(this->refuses(this->bound_to("gone"), version_refusal::session_version_withdrawn));
    auto excluded = this->bound_to("reader-2");
    excluded.excluded = {"reader-2"};
    CHECK_TRUE(this->refuses(excluded, version_refusal::no_version));
    auto stolen = this->bound_to("reader-1");
    stolen.bound->team = "bookings";
    CHECK_TRUE(this->refuses(stolen, refused));
}
