#include "pearhaven/adapters/flags.hpp"

#include <gflags/gflags.h>

#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include <CppUTest/TestHarness.h>

DEFINE_uint32(flags_test_count, 3, "a number");
DEFINE_bool(flags_test_switch, true, "a switch");

using pearhaven::adapters::read_flags;

namespace {

// A file in the working directory that exists during the lifetime of the object.
class flag_file {
public:
    flag_file(std::string where, const std::string& lines) : path(std::move(where))
    {
        std::ofstream(this->path) << lines;
    }
    ~flag_file() { std::remove(this->path.c_str()); }

    flag_file(const flag_file&) = delete;
    flag_file& operator=(const flag_file&) = delete;

private:
    std::string path;
};

} // namespace

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

TEST(flags_test, a_value_follows_the_flag_or_an_equals_sign)
{
    read({"program", "--flags_test_count", "7"});
    LONGS_EQUAL(7, FLAGS_flags_test_count);
    read({"program", "--flags-test-count=8"});
    LONGS_EQUAL(8, FLAGS_flags_test_count);
}

TEST(flags_test, all_faults_are_reported_together)
{
    const auto result =
        read({"program", "--flags_test_count=many", "--no_such_flag", "--flags_test_count"});
    LONGS_EQUAL(3, result.faults.size());
    LONGS_EQUAL(3, FLAGS_flags_test_count);
}

TEST(flags_test, the_command_line_overrides_the_environment)
{
    setenv("FLAGSTEST_FLAGS_TEST_COUNT", "5", 1);
    read({"program"});
    LONGS_EQUAL(5, FLAGS_flags_test_count);
    read({"program", "--flags_test_count=6"});
    LONGS_EQUAL(6, FLAGS_flags_test_count);
}

TEST(flags_test, the_prefix_no_turns_a_switch_off)
{
    const auto result = read({"program", "--noflags_test_switch", "apply"});
    CHECK_FALSE(FLAGS_flags_test_switch);
    LONGS_EQUAL(1, result.positional.size());
}

TEST(flags_test, a_flag_file_is_replaced_by_its_arguments)
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

// Guards against a file that includes itself: its arguments would be read again and again and the
// program would never start. The caller gets one fault that names the file.
TEST(flags_test, a_flag_file_that_includes_itself_is_a_fault)
{
    const flag_file own("flags_test_own.flags", "--flagfile=flags_test_own.flags\n");
    const auto faults = read({"program", "--flagfile=flags_test_own.flags"}).faults;
    CHECK_EQUAL(1U, faults.size());
    CHECK_EQUAL(
        std::string("--flagfile: found \"flags_test_own.flags\" within itself, allowed are "
                    "files that do not include themselves, directly or through other files"),
        faults.at(0));
}

TEST(flags_test, a_cycle_of_flag_files_is_a_fault_for_any_spelling_of_the_paths)
{
    const flag_file first("flags_test_1.flags", "--flags_test_count=4\n--flagfile\n"
                                                "./flags_test_2.flags\n--noflags_test_switch\n");
    const flag_file second("flags_test_2.flags", "--flagfile=flags_test_1.flags");
    CHECK_EQUAL(1U, read({"program", "--flagfile=flags_test_1.flags"}).faults.size());
    CHECK_EQUAL(1U, read({"program", "--flagfile", "flags_test_2.flags"}).faults.size());
    LONGS_EQUAL(4, FLAGS_flags_test_count);
    CHECK_FALSE(FLAGS_flags_test_switch);
}

TEST(flags_test, a_flag_file_from_the_environment_is_read_like_any_other)
{
    const flag_file own("flags_test_own.flags",
                        "--flags_test_count=7\n--flagfile=flags_test_own.flags\n");
    setenv("FLAGSTEST_FLAGFILE", "flags_test_own.flags", 1);
    CHECK_EQUAL(1U, read({"program"}).faults.size());
    LONGS_EQUAL(7, FLAGS_flags_test_count);
    read({"program", "--flags_test_count=8"});
    LONGS_EQUAL(8, FLAGS_flags_test_count);
    unsetenv("FLAGSTEST_FLAGFILE");
}

TEST(flags_test, a_flag_file_may_be_included_more_than_once)
{
    const flag_file inner("flags_test_inner.flags", "--flags_test_count=5\n");
    const flag_file outer("flags_test_outer.flags", "--flagfile=flags_test_inner.flags\n"
                                                    "--flags_test_count=6\n"
                                                    "--flagfile=flags_test_inner.flags\n");
    CHECK_TRUE(read({"program", "--flagfile=flags_test_outer.flags", "--flags_test_count=6",
                     "--flagfile=flags_test_inner.flags"})
                   .faults.empty());
    LONGS_EQUAL(5, FLAGS_flags_test_count);
}

// Forty files that include the next one twice each: not a cycle, but the reading would take
// exponential time.
TEST(flags_test, exponential_inclusion_of_flag_files_is_a_fault)
{
    std::vector<std::unique_ptr<flag_file>> files;
    for (int number = 0; number < 40; ++number) {
        const auto next = "--flagfile=flags_test_" + std::to_string(number + 1) + ".flags\n";
        files.push_back(std::make_unique<flag_file>(
            "flags_test_" + std::to_string(number) + ".flags", number < 39 ? next + next : ""));
    }
    const auto faults = read({"program", "--flagfile=flags_test_0.flags"}).faults;
    CHECK_EQUAL(1U, faults.size());
    CHECK_EQUAL(std::string("--flagfile: found more than 100 files, counted each time they are "
                            "named, allowed are 100"),
                faults.at(0));
}
