#include "kv_service.hpp"
#include "program.hpp"

namespace standins = pearhaven::standins;

int main(int argc, char** argv)
{
    standins::begin_program(argc, argv,
                            "Key-value service with compare-and-swap, leases and watches, in "
                            "memory.\n" +
                                standins::kv_behaviour_table().help());
    const auto settings = standins::web_settings_from_flags();
    standins::kv_service service(settings.threads);
    standins::web_server server(settings);
    service.add_routes(server);
    standins::serve_until_terminated(server);
    standins::end_program();
}
