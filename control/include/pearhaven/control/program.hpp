#ifndef PEARHAVEN_CONTROL_PROGRAM_HPP
#define PEARHAVEN_CONTROL_PROGRAM_HPP

namespace pearhaven::control {

// Runs pearhavenctl on its command line, and gives the status that the process ends with.
int run_program(int argc, char** argv);

} // namespace pearhaven::control

#endif
