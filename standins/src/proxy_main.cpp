#include "program.hpp"
#include "tcp_proxy.hpp"

#include <gflags/gflags.h>

DEFINE_string(to, "", "IP:port that connections are forwarded to");
DEFINE_string(admin, "127.0.0.1:0", "IP:port for /control/; port 0 takes any free one");

namespace standins = pearhaven::standins;

namespace {

// The control interface has few concurrent callers.
constexpr unsigned admin_threads = 8;

nlohmann::json to_json(const standins::proxy_counts& counts)
{
    return {{"accepted", counts.accepted},
            {"open", counts.open},
            {"silenced", counts.silenced},
            {"cut", counts.cut},
            {"bytes_to_server", counts.bytes_to_server},
            {"bytes_to_client", counts.bytes_to_client}};
}

// Serves the proxy's control interface over HTTP.
class proxy_controls {
public:
    explicit proxy_controls(standins::tcp_proxy& controlled)
        : proxy(controlled), control(standins::proxy_behaviour_table())
    {}

    void add_routes(standins::web_server& server)
    {
        server.route("GET", "/control/stats", [this](standins::web_exchange& exchange) {
            exchange.answer(200, to_json(this->proxy.counts()));
        });
        this->control.add_routes(server, [this](const standins::proxy_behaviours& wanted) {
            this->proxy.apply(wanted.clear ? standins::proxy_behaviours{} : wanted);
            this->control.update([&](standins::proxy_behaviours& present) {
                present.silence_open = false;
                if (wanted.clear) {
                    present = {};
                }
            });
        });
    }

private:
    standins::tcp_proxy& proxy;
    standins::behaviour_control<standins::proxy_behaviours> control;
};

} // namespace

int main(int argc, char** argv)
{
    standins::begin_program(argc, argv,
                            "TCP proxy that injects faults. Its controls are on a port of their "
                            "own. A caller\nwhose server cannot be reached gets a connection "
                            "that is reset, not a refused one;\nonly `cut` refuses.\n" +
                                standins::proxy_behaviour_table().help());
    auto settings = standins::web_settings_from_flags();
    standins::tcp_proxy proxy(settings.listen, FLAGS_to);
    settings.listen = FLAGS_admin;
    settings.threads = admin_threads;
    standins::web_server server(settings);
    proxy_controls controls(proxy);
    controls.add_routes(server);
    const auto admin = server.start();
    standins::announce("listening", proxy.address());
    standins::announce("admin", admin);
    standins::wait_for_termination();
    standins::end_program();
}
