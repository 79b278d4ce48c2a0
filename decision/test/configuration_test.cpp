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

TEST_GROUP(configuration_test){configuration_ptr build(bool withdrawn){team deposits;
deposits.name = "deposits";
deposits.key_sha256 = {"aa"};
deposits.versions = selector().require("model", {"adjudicator"});
version second;
second.name = "adjudicator-2";
second.model = "adjudicator";
second.withdrawn = withdrawn;
return configuration_builder().revision(7).add(deposits).add(second).build();
}
}
;

TEST(configuration_test, a_team_is_found_by_the_digest_of_its_key)
{
    const auto current = this->build(false);
    CHECK_EQUAL(std::string("deposits"), current->find_team_by_key("aa")->name);
    POINTERS_EQUAL(nullptr, current->find_team_by_key("bb"));
}

TEST(configuration_test, a_withdrawn_version_is_allowed_to_nobody)
{
    const auto before = this->build(false);
    const auto after = this->build(true);
    CHECK_TRUE(
        before->allows(before->teams().at("deposits"), *before->find_version("adjudicator-2")));
    CHECK_FALSE(
        after->allows(after->teams().at("deposits"), *after->find_version("adjudicator-2")));
}
