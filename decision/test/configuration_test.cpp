#include "pearhaven/decision/configuration.hpp"

#include <CppUTest/TestHarness.h>

using namespace pearhaven::decision;

TEST_GROUP(selector_test){};

TEST(selector_test, an_empty_selector_matches_every_object)
{
    CHECK_TRUE(selector().matches({{"tier", "gold"}}));
}

TEST(selector_test, nothing_matches_no_object)
{
    CHECK_FALSE(selector::nothing().matches({}));
}

TEST(selector_test, every_required_label_must_be_there)
{
    const selector chosen = selector().require("tier", {"gold", "silver"}).require("zone", {"osu"});
    CHECK_TRUE(chosen.matches({{"tier", "silver"}, {"zone", "osu"}}));
    CHECK_FALSE(chosen.matches({{"tier", "silver"}}));
    CHECK_FALSE(chosen.matches({{"tier", "bronze"}, {"zone", "osu"}}));
}

namespace {

team make_team(const std::string& name, const std::string& key)
{
    team made;
    made.name = name;
    made.key_sha256 = {key};
    made.versions = selector().require("model", {"adjudicator"});
    return made;
}

traffic_route make_route(const std::string& name)
{
    traffic_route made;
    made.name = name;
    made.host = "a.example";
    made.path_prefix = "/" + name + "/";
    return made;
}

} // namespace

TEST_GROUP(configuration_test){configuration_ptr build(bool withdrawn){version second;
second.name = "adjudicator-2";
second.model = "adjudicator";
second.withdrawn = withdrawn;
return configuration_builder().revision(7).add(make_team("deposits", "aa")).add(second).build();
}
}
;

TEST(configuration_test, a_team_is_found_by_the_digest_of_its_key)
{
    const auto current = this->build(false);
    CHECK_EQUAL(std::string("deposits"), current->find_team_by_key("aa")->name);
    POINTERS_EQUAL(nullptr, current->find_team_by_key("bb"));
}

TEST(configuration_test, a_withdrawn_version_is_allowed_to_no_team)
{
    const auto before = this->build(false);
    const auto after = this->build(true);
    CHECK_TRUE(
        before->allows(before->teams().at("deposits"), *before->find_version("adjudicator-2")));
    CHECK_FALSE(
        after->allows(after->teams().at("deposits"), *after->find_version("adjudicator-2")));
}

TEST(configuration_test, prebuilt_routes_and_teams_are_shared_not_copied)
{
    const route_table_ptr routes(new route_table({make_route("claims")}));
    const team_table_ptr teams(new team_table({make_team("deposits", "aa")}));
    const auto first = configuration_builder().revision(1).routes(routes).teams(teams).build();
    const auto second = configuration_builder()
                            .revision(2)
                            .routes(first->shared_routes())
                            .teams(first->shared_teams())
                            .build();
    POINTERS_EQUAL(routes.get(), &first->routes());
    POINTERS_EQUAL(routes.get(), &second->routes());
    POINTERS_EQUAL(&teams->by_name().at("deposits"), second->find_team_by_key("aa"));
    POINTERS_EQUAL(&teams->by_name(), &second->teams());
}

TEST(configuration_test, adding_a_team_to_a_shared_table_does_not_change_other_configurations)
{
    const auto first = configuration_builder().add(make_team("deposits", "aa")).build();
    const auto second =
        configuration_builder().teams(first->shared_teams()).add(make_team("claims", "bb")).build();
    POINTERS_EQUAL(nullptr, first->find_team_by_key("bb"));
    CHECK_EQUAL(std::string("claims"), second->find_team_by_key("bb")->name);
    CHECK_EQUAL(std::string("deposits"), second->find_team_by_key("aa")->name);
}

TEST(configuration_test, prebuilt_parts_replace_what_was_added_before)
{
    const auto first = configuration_builder().add(make_team("deposits", "aa")).build();
    const auto second = configuration_builder()
                            .add(make_team("claims", "bb"))
                            .routes({make_route("claims")})
                            .teams(first->shared_teams())
                            .routes(first->shared_routes())
                            .build();
    POINTERS_EQUAL(nullptr, second->find_team_by_key("bb"));
    CHECK_TRUE(second->routes().by_name().empty());
}

TEST(configuration_test, a_configuration_without_routes_and_teams_finds_none)
{
    const auto empty = configuration_builder().build();
    CHECK_TRUE(empty->teams().empty());
    POINTERS_EQUAL(nullptr, empty->find_team_by_key("aa"));
    POINTERS_EQUAL(nullptr, empty->routes().find("a.example", "/claims/"));
}

TEST(configuration_test, parts_with_equal_content_are_equal)
{
    const route_table routes({make_route("claims")});
    CHECK_TRUE(routes == route_table({make_route("claims")}));
    CHECK_FALSE(routes == route_table({make_route("deposits")}));
    const team_table teams({make_team("deposits", "aa")});
    CHECK_TRUE(teams == team_table({make_team("deposits", "aa")}));
    CHECK_FALSE(teams == team_table({make_team("deposits", "bb")}));
}
