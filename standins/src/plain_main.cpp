#include "plain_service.hpp"
#include "program.hpp"

#include <gflags/gflags.h>

DEFINE_string(service, "plain", "name that the answers give");
DEFINE_uint32(service_ms, 5, "how long a call runs");

namespace standins = pearhaven::standins;

int main(int argc, char** argv)
{
    standins::begin_program(argc, argv,
                            "Plain service that runs any call on any path and answers\n"
                            "{\"service\",\"path\",\"run\",\"count\"}; the count is that of all "
                            "its runs so far.\n" +
                                standins::plain_behaviour_table().help());
    const auto settings = standins::web_settings_from_flags();
    standins::plain_service service(FLAGS_service, std::chrono::milliseconds(FLAGS_service_ms),
                                    settings.threads);
    standins::web_server server(settings);
    service.add_routes(server);
    standins::serve_until_terminated(server);
    standins::end_program();
}
