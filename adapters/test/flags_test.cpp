#include "pearhaven/adapters/flags.hpp"

#include <gflags/gflags.h>

#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

DEFINE_uint32(flags_test_count, 3, "a number");
DEFINE_bool(flags_test_switch, true, "a switch");

using pearhaven::adapters::read_flags;

TEST_GROUP(flags_test){
    static pearhaven::adapters::read_flags_result read(std::vector<std::string> arguments){
        std::vector<char*> pointers;
pointers.reserve(arguments.size());
for (auto& argument : arguments) {
    pointers.push_back(argument.data());
}
return read_flags(static_cast<int>(pointers.size()), pointers.data(), "FLAGSTEST");
}

void teardown() override
{
    FLAGS_flags_test_count = 3;
    FLAGS_flags_test_switch = true;
    unsetenv("FLAGSTEST_FLAGS_TEST_COUNT");
}
}
;

TEST(flags_test, a_value_may_stand_behind_the_flag_or_after_an_equals_sign)
{
    read({"program", "--flags_test_count", "7"});
    LONGS_EQUAL(7, FLAGS_flags_test_count);
    read({"program", "--flags-test-count=8"});
    LONGS_EQUAL(8, FLAGS_flags_test_count);
}

TEST(flags_test, every_fault_is_reported_in_one_go)
{
    const auto result =
        read({"program", "--flags_test_count=many", "--no_such_flag", "--flags_test_count"});
    LONGS_EQUAL(3, result.faults.size());
    LONGS_EQUAL(3, FLAGS_flags_test_count);
}

TEST(flags_test, the_command_line_wins_over_the_environment)
{
    setenv("FLAGSTEST_FLAGS_TEST_COUNT", "5", 1);
    read({"program"});
    LONGS_EQUAL(5, FLAGS_flags_test_count);
    read({"program", "--flags_test_count=6"});
    LONGS_EQUAL(6, FLAGS_flags_test_count);
}

TEST(flags_test, a_switch_is_turned_off_by_no_before_its_name)
{
    const auto result = read({"program", "--noflags_test_switch", "apply"});
    CHECK_FALSE(FLAGS_flags_test_switch);
    LONGS_EQUAL(1, result.positional.size());
}

TEST(flags_test, a_flag_file_stands_for_the_arguments_in_it)
{
    const std::string path = "flags_test.flags";
    std::ofstream(path) << "# a comment\n\n--flags_test_count=9\n";
    read({"program", "--flagfile=" + path});
    LONGS_EQUAL(9, FLAGS_flags_test_count);
    std::remove(path.c_str());
}

TEST(flags_test, a_flag_file_that_cannot_be_read_is_a_fault)
{
    LONGS_EQUAL(1, read({"program", "--flagfile=no/such/file"}).faults.size());
}
