#include "settings.hpp"

#include <gflags/gflags.h>

#include <cstdlib>

#include <CppUTest/TestHarness.h>

using namespace pearhaven::control;

namespace {

read_settings_result read(std::vector<std::string> words)
{
    gflags::FlagSaver saver;
    words.insert(words.begin(), "pearhavenctl");
    std::vector<char*> arguments;
    arguments.reserve(words.size());
    for (auto& word : words) {
        arguments.push_back(word.data());
    }
    return read_settings(static_cast<int>(arguments.size()), arguments.data());
}

} // namespace

TEST_GROUP(settings_test){void teardown() override{unsetenv("PEARHAVENCTL_KV");
unsetenv("PEARHAVENCTL_OPERATOR_KEY");
}
}
;

TEST(settings_test, the_file_flag_may_be_repeated)
{
    const auto got = read({"apply", "-f", "a", "--wait", "--file", "b", "c"});
    CHECK_EQUAL(0U, got.faults.size());
    CHECK_EQUAL(std::string("apply"), got.command);
    CHECK_TRUE(got.settings.files == std::vector<std::string>({"a", "b"}));
    CHECK_TRUE(got.settings.arguments == std::vector<std::string>({"c"}));
    CHECK_TRUE(got.settings.wait);
}

TEST(settings_test, environment_variables_supply_flags_that_are_not_given)
{
    setenv("PEARHAVENCTL_KV", "http://10.0.0.1:1/", 1);
    setenv("PEARHAVENCTL_OPERATOR_KEY", "secret", 1);
    CHECK_EQUAL(std::string("http://10.0.0.1:1"), read({"get"}).settings.kv_url);
    CHECK_EQUAL(std::string("http://b"), read({"get", "--kv", "http://b"}).settings.kv_url);
    CHECK_EQUAL(std::string("secret"), read({"get"}).settings.operator_key);
}

TEST(settings_test, base_and_timeout_are_absent_by_default)
{
    CHECK_FALSE(read({"get"}).settings.base.has_value());
    CHECK_FALSE(read({"get"}).settings.timeout.has_value());
    CHECK_EQUAL(0U, read({"get", "--base", "0"}).settings.base.value());
    CHECK_EQUAL(1500, read({"get", "--timeout=1.5"}).settings.timeout.value().count());
}

TEST(settings_test, all_faults_are_reported_together)
{
    const auto got =
        read({"get", "--kv", "ftp://x", "--output", "xml", "--timeout", "-2", "--base", "-3",
              "--store_timeout_ms", "1", "--operator_key_file", "/nowhere/key", "--other", "-f"});
    CHECK_EQUAL(8U, got.faults.size());
}
