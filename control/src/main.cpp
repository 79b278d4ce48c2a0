#include "pearhaven/control/program.hpp"

int main(int argc, char** argv)
{
    return pearhaven::control::run_program(argc, argv);
}
