#ifndef PEARHAVEN_CONTROL_PROGRAM_HPP
#define PEARHAVEN_CONTROL_PROGRAM_HPP

namespace pearhaven::control {

// Runs pearhavenctl with its command line and returns the exit status of the process.
int run_program(int argc, char** argv);

} // namespace pearhaven::control

#endif
