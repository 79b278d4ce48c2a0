#ifndef PEARHAVEN_COORDINATION_TEST_PROPERTY_HPP
#define PEARHAVEN_COORDINATION_TEST_PROPERTY_HPP

#include <rapidcheck.h>

#include <cstdint>
#include <string>
#include <utility>

#include <CppUTest/TestHarness.h>

#include <CppUTest/MemoryLeakWarningPlugin.h>

// Whether a property holds for 100 seeds of random schedules; a failing seed is printed. RapidCheck
// keeps its contexts from the first case on, which CppUTest would count as a leak of the test that
// happens to run first. Seeds are not shrunk, since another seed is an unrelated schedule.
template <typename Property>
bool holds_for_seeds(const std::string& description, const Property& property)
{
    IGNORE_ALL_LEAKS_IN_TEST();
    return rc::check(description, [&property] {
        property(*rc::gen::noShrink(
                      rc::gen::resize(rc::kNominalSize, rc::gen::arbitrary<std::uint64_t>()))
                      .as("seed"));
    });
}

#endif
