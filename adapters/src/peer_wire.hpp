#ifndef PEARHAVEN_ADAPTERS_SRC_PEER_WIRE_HPP
#define PEARHAVEN_ADAPTERS_SRC_PEER_WIRE_HPP

// The generated code keeps the generator's names and casts: compiler and linter treat it like an
// installed library's header.
#pragma GCC system_header

#include "peer_generated.hpp" // IWYU pragma: export

#endif
