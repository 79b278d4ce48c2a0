#include <cstdint>
#include <rapidcheck.h>

namespace {

// RapidCheck allocates its settings and generators at the first check and keeps them. If that
// happened inside a test, CppUTest would count them as leaks.
[[maybe_unused]] const bool warmed =
    rc::check("warm-up", [] { *rc::gen::arbitrary<std::uint64_t>(); });

} // namespace
