#include <cstdint>
#include <rapidcheck.h>

namespace {

// RapidCheck keeps its settings and generators from the first check on. Made inside a test, they
// would count as leaks.
[[maybe_unused]] const bool warmed =
    rc::check("warm-up", [] { *rc::gen::arbitrary<std::uint64_t>(); });

} // namespace
