#ifndef PEARHAVEN_ADAPTERS_SRC_PEER_WIRE_HPP
#define PEARHAVEN_ADAPTERS_SRC_PEER_WIRE_HPP

// The generated code has the names and casts of the generator, so the compiler and the linter treat
// it as a system header.
#pragma GCC system_header

#include "peer_generated.hpp" // IWYU pragma: export

#endif
