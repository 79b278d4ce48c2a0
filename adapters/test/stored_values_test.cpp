#include "pearhaven/adapters/stored_values.hpp"

#include <rapidcheck.h>

#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace pearhaven::adapters;
using namespace pearhaven::coordination;

namespace {

config_head a_head()
{
    return {
        9,
        "w-9",
        {{8, "w-8", "ama", 5, {{"team", "a", "{}"}}}, {9, "w-9", "efua", 6, {{"pool", "b", ""}}}},
        {"config/page/ab"},
        7};
}

bill a_bill()
{
    return {"r-1", "deposits", "adjudicator-1", "10.0.0.1:80", 12, 34, 5, 46.5};
}

member a_member()
{
    return {"i-1", "10.0.0.2", 7000, 7001, "osu", 3, member_state::leaving, 9};
}

} // namespace

TEST_GROUP(stored_values_test){};

TEST(stored_values_test, every_value_round_trips)
{
    const auto heads = make_config_head_codec();
    const std::vector<config_object> objects = {{"team", "a", "{\"x\":1}"}, {"pool", "b", "{}"}};
    const std::vector<bill> bills = {a_bill(), a_bill()};
    CHECK_TRUE(heads->read_head(heads->write_head(a_head())) == a_head());
    CHECK_TRUE(heads->read_page(heads->write_page(objects)) == objects);
    CHECK_TRUE(make_bill_page_codec()->read_bills(make_bill_page_codec()->write_bills(bills)) ==
               bills);
    const claim_record claim{claim_state::ran, "i-1", "w-1", "200 done"};
    CHECK_TRUE(make_claim_codec()->read_claim(make_claim_codec()->write_claim(claim)) == claim);
    CHECK_TRUE(make_member_codec()->read_member(make_member_codec()->write_member(a_member())) ==
               a_member());
}

TEST(stored_values_test, claims_and_duties_round_trip)
{
    const auto claims = make_claim_codec();
    const claim_record claim{claim_state::ran, "i-1", "w-1", "booked \xc3\xa9"};
    CHECK_EQUAL(std::string("{\"holder\":\"i-1\",\"outcome\":\"booked \xc3\xa9\","
                            "\"state\":\"ran\",\"write_id\":\"w-1\"}"),
                claims->write_claim(claim));
    CHECK_TRUE(claims->read_claim(claims->write_claim(claim)) == claim);
    const duty_record duty{"i-1", 7};
    CHECK_TRUE(make_duty_codec()->read_duty(make_duty_codec()->write_duty(duty)) == duty);
    CHECK_FALSE(make_duty_codec()->read_duty(R"({"holder":"i-1"})").has_value());
    CHECK_FALSE(claims->read_claim(R"({"state":"lost","holder":"","write_id":"","outcome":""})")
                    .has_value());
}

TEST(stored_values_test, an_outcome_that_is_not_utf8_is_preserved_byte_for_byte)
{
    // Guards against a changed answer: a caller that resends a booking whose answer was an image
    // gets the outcome stored in the claim.
    const auto bytes = rc::gen::container<std::string>(rc::gen::inRange<char>('\x80', '\x7f'));
    const bool held = rc::check([&bytes] {
        const claim_record claim{claim_state::ran, "i-1", "w-1", *bytes};
        const auto read = make_claim_codec()->read_claim(make_claim_codec()->write_claim(claim));
        RC_ASSERT(read == claim);
    });
    CHECK_TRUE(held);
    CHECK_FALSE(make_claim_codec()
                    ->read_claim(R"({"state":"ran","holder":"","write_id":"",)"
                                 R"("outcome_base64":"*"})")
                    .has_value());
}

TEST(stored_values_test, the_stored_text_of_a_head_is_fixed)
{
    CHECK_EQUAL(std::string(R"({"changes":[],"pages":["p"],"revision":2,"snapshot_revision":1,)"
                            R"("write_id":"w"})"),
                make_config_head_codec()->write_head({2, "w", {}, {"p"}, 1}));
}

TEST(stored_values_test, a_missing_field_or_a_wrong_type_is_rejected)
{
    const auto heads = make_config_head_codec();
    const auto members = make_member_codec();
    CHECK_FALSE(heads->read_head(R"({"revision":1})").has_value());
    CHECK_FALSE(heads
                    ->read_head(R"({"changes":[],"pages":[],"revision":-1,)"
                                R"("snapshot_revision":0,"write_id":""})")
                    .has_value());
    CHECK_FALSE(heads
                    ->read_head(R"({"changes":null,"pages":[],"revision":1,)"
                                R"("snapshot_revision":0,"write_id":""})")
                    .has_value());
    CHECK_FALSE(heads->read_page("null").has_value());
    CHECK_FALSE(heads->read_page("{}").has_value());
    CHECK_FALSE(make_bill_page_codec()->read_bills("[1]").has_value());
    std::string text = members->write_member(a_member());
    text.replace(text.find("7000"), 4, "70000");
    CHECK_FALSE(members->read_member(text).has_value());
}

TEST(stored_values_test, every_truncated_text_is_rejected)
{
    const std::string head = make_config_head_codec()->write_head(a_head());
    const std::string record = make_member_codec()->write_member(a_member());
    for (std::size_t length = 0; length < head.size(); ++length) {
        CHECK_FALSE(make_config_head_codec()->read_head(head.substr(0, length)).has_value());
    }
    for (std::size_t length = 0; length < record.size(); ++length) {
        CHECK_FALSE(make_member_codec()->read_member(record.substr(0, length)).has_value());
    }
}

TEST(stored_values_test, random_bytes_are_rejected_without_exceptions)
{
    const auto bytes = rc::gen::container<std::string>(rc::gen::inRange<char>('\x80', '\x7f'));
    const bool held = rc::check([&bytes] {
        const auto text = *bytes;
        RC_ASSERT(!make_config_head_codec()->read_head(text));
        RC_ASSERT(!make_member_codec()->read_member(text));
        RC_ASSERT(!make_claim_codec()->read_claim(text));
        RC_ASSERT(!make_duty_codec()->read_duty(text));
        static_cast<void>(make_bill_page_codec()->read_bills(text));
        static_cast<void>(make_config_head_codec()->read_page(text));
    });
    CHECK_TRUE(held);
}
