#ifndef PEARHAVEN_STANDINS_WEB_CLIENT_HPP
#define PEARHAVEN_STANDINS_WEB_CLIENT_HPP

#include "web_exchange.hpp"

#include <string>

namespace pearhaven::standins {

struct web_call {
    std::string method = "GET";
    std::string path;
    std::string body;
    header_fields fields;
};

struct web_answer {
    int status = 0; // 0: no answer
    std::string body;
    bool not_run = false;  // the header field X-Not-Run was present
    bool complete = false; // the body was received completely

    friend bool operator==(const web_answer&, const web_answer&) = default;
};

// Makes one call on a new connection and waits for the complete answer. The address is IP:port.
web_answer call(const std::string& address, const web_call& wanted);

} // namespace pearhaven::standins

#endif
