#ifndef PEARHAVEN_ADAPTERS_TEST_PROPERTY_HPP
#define PEARHAVEN_ADAPTERS_TEST_PROPERTY_HPP

#include <rapidcheck.h>

#include <string>
#include <utility>

#include <CppUTest/TestHarness.h>

#include <CppUTest/MemoryLeakWarningPlugin.h>

// Runs RapidCheck's 100 cases and returns whether the property holds; a failure prints the seed to
// replay it with. RapidCheck keeps contexts from its first case on, which CppUTest would report as
// a leak of the test that runs first.
template <typename Property>
bool holds(const std::string& description, Property&& property)
{
    IGNORE_ALL_LEAKS_IN_TEST();
    return rc::check(description, std::forward<Property>(property));
}

#endif
