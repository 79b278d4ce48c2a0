// The configuration of a small deployment, with the figures of amanfo-dps.
#ifndef PEARHAVEN_REVIEW_SMALL_SITE_HPP
#define PEARHAVEN_REVIEW_SMALL_SITE_HPP

#include "standin.hpp"

namespace review {

inline const std::string host_name = "ficu95.example";
inline const std::string api_key = "n2ctnfzs989anu6wsjnb";

inline json route_of(const std::string& name, const std::string& prefix, const std::string& type,
                     const std::string& service, int timeout_ms, int objective_ms, int attempts)
{
    return {{"name", name},
            {"host", host_name},
            {"path-prefix", prefix},
            {"type", type},
            {"service", service},
            {"timeout-ms", timeout_ms},
            {"target-latency-ms", objective_ms},
            {"priority", 2},
            {"max-attempts", attempts},
            {"public", false}};
}

inline std::string small_configuration(int version = 7)
{
    auto summary = route_of("dispute-summary", "/summary/", "streaming", "adjud", 10000, 3000, 3);
    summary["resumable"] = true;
    summary["sticky"] = true;
    summary["gap-target-ms"] = 1200;
    summary["priority"] = 0;
    return json{
        {"version", version},
        {"routes",
         json::array({summary,
                      route_of("claim-lodge", "/claim/", "unsafe", "registry", 1000, 150, 3),
                      route_of("deposit-lookup", "/lookup/", "safe", "registry", 1000, 150, 3)})},
        {"services", json::array({{{"name", "adjud"},
                                   {"health-path", "/healthz"},
                                   {"max-conns", 370},
                                   {"protocol", "h1"},
                                   {"tls", false}},
                                  {{"name", "registry"},
                                   {"health-path", "/healthz"},
                                   {"max-conns", 110},
                                   {"protocol", "h1"},
                                   {"tls", false}}})},
        {"limits",
         {{"max-header-bytes", 16384},
          {"max-body-bytes", 4194304},
          {"header-timeout-ms", 3000},
          {"idle-timeout-ms", 15000}}},
        {"tenants",
         json::array(
             {{{"name", "hule930"}, {"api-keys", json::array({api_key})}, {"priority", 1}}})}}
        .dump();
}

inline std::string request_text(const std::string& method, const std::string& path,
                                const std::string& id, int deadline_ms, const std::string& body,
                                const std::string& more_fields = "")
{
    auto text = method + " " + path + " HTTP/1.1\r\nHost: " + host_name + "\r\nAttempt-Id: " + id +
                "\r\nDeadline-Ms: " + std::to_string(deadline_ms) + "\r\nAuthorization: Bearer " +
                api_key + "\r\n" + more_fields;
    if (!body.empty() || method == "POST") {
        text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    }
    return text + "\r\n" + body;
}

inline std::string attempt_id(unsigned number)
{
    char text[17];
    std::snprintf(text, sizeof text, "9c41d07b%08x", number);
    return text;
}

} // namespace review

#endif
