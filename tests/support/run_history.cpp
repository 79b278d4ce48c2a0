#include "run_history.hpp"

#include "pearhaven/adapters/configuration_codec.hpp"

#include <algorithm>
#include <stdexcept>

namespace pearhaven::tests {

namespace {

using nlohmann::json;
using runs_by_request = std::map<std::string, std::vector<json>>;

constexpr std::size_t request_digits = 32;
constexpr int status_ok = 200;

runs_by_request group(const std::vector<json>& runs)
{
    runs_by_request grouped;
    for (const auto& run : runs) {
        grouped[run.at("request").get<std::string>()].push_back(run);
    }
    return grouped;
}

std::vector<json> runs_of(const runs_by_request& grouped, const std::string& request)
{
    const auto found = grouped.find(request);
    return found == grouped.end() ? std::vector<json>() : found->second;
}

std::string violation(const std::string& request, const std::string& what)
{
    std::string text = "request ";
    return text.append(request).append(": ").append(what);
}

bool is_finished(const json& run)
{
    return run.at("state") == "finished";
}

// Plain services have no versions; their bills name the service.
bool is_bill_of(const json& bill, const json& run)
{
    const auto version = run.at("version").get<std::string>();
    return is_finished(run) && bill.at("completion_tokens") == run.at("tokens") &&
           (version.empty() || bill.at("version") == version);
}

} // namespace

observed_answer observed_answer::of(const chat_answer& answer, const chat_request& request)
{
    return {answer.is_complete_answer_to(request), answer.status, answer.run, answer.error_code,
            answer.header("retry-after")};
}

observed_answer observed_answer::of(const adapters::http_answer& answer)
{
    observed_answer seen;
    seen.status = answer.result.status;
    seen.whole = !answer.result.error && seen.status == status_ok;
    for (const auto& [name, value] : answer.headers) {
        seen.retry_after = name == "retry-after" ? value : seen.retry_after;
    }
    const auto body = json::parse(answer.body, nullptr, false);
    if (body.is_object() && body.contains("error") && body["error"].is_object()) {
        seen.run = body["error"].value("run", "");
        seen.code = body["error"].value("code", "");
    }
    return seen;
}

std::string observed_answer::to_text() const
{
    return std::string(this->whole ? "whole" : "not whole") + ", status " +
           std::to_string(this->status) + ", code \"" + this->code + "\", run \"" + this->run +
           "\"";
}

std::string run_history::request_of(const std::string& idempotency_key)
{
    return adapters::sha256_hex("deposits\n" + idempotency_key).substr(0, request_digits);
}

void run_history::note(const std::string& idempotency_key, const observed_answer& answer)
{
    const std::lock_guard guard(this->mutex);
    this->requests[request_of(idempotency_key)].answers.push_back(answer);
}

void run_history::expect_at_most_one_run(const std::string& idempotency_key)
{
    const std::lock_guard guard(this->mutex);
    this->requests[request_of(idempotency_key)].at_most_one_run = true;
}

chat_answer run_history::ask(test_fleet& fleet, std::size_t router, const chat_request& request)
{
    chat_answer answer;
    try {
        answer = fleet.ask(router, request);
    } catch (const std::runtime_error& problem) {
        answer.body = problem.what();
    }
    this->note(request.headers.at("idempotency-key"), observed_answer::of(answer, request));
    return answer;
}

bool run_history::request_notes::has_complete_answer() const
{
    return std::any_of(this->answers.begin(), this->answers.end(),
                       [](const observed_answer& answer) { return answer.whole; });
}

bool run_history::request_notes::is_only_not_run() const
{
    return !this->answers.empty() &&
           std::all_of(this->answers.begin(), this->answers.end(),
                       [](const observed_answer& answer) { return answer.run == "not_run"; });
}

std::vector<std::string> run_history::check(const std::vector<json>& runs) const
{
    const auto grouped = group(runs);
    std::vector<std::string> violations;
    const std::lock_guard guard(this->mutex);
    for (const auto& [request, notes] : this->requests) {
        const auto its_runs = runs_of(grouped, request);
        const auto count = std::to_string(its_runs.size());
        if (notes.is_only_not_run() && !its_runs.empty()) {
            violations.push_back(
                violation(request, "expected no run after not_run, found " + count));
        }
        if (notes.at_most_one_run && its_runs.size() > 1) {
            violations.push_back(violation(request, "expected at most 1 run, found " + count));
        }
        if (notes.has_complete_answer() &&
            std::none_of(its_runs.begin(), its_runs.end(), is_finished)) {
            violations.push_back(
                violation(request, "expected a finished run behind its whole answer, found none"));
        }
    }
    return violations;
}

std::vector<std::string> run_history::check_bills(const std::vector<json>& runs,
                                                  const json& bills) const
{
    const auto grouped = group(runs);
    std::vector<std::string> violations;
    std::map<std::string, int> billed;
    for (const auto& bill : bills) {
        const auto request = bill.at("request").get<std::string>();
        const auto its_runs = runs_of(grouped, request);
        const auto matches = [&bill](const json& run) { return is_bill_of(bill, run); };
        if (std::none_of(its_runs.begin(), its_runs.end(), matches)) {
            violations.push_back(
                violation(request, "expected the bill of a finished run, found " + bill.dump()));
        }
        if (++billed[request] == 2) {
            violations.push_back(violation(request, "expected 1 bill, found more"));
        }
    }
    const std::lock_guard guard(this->mutex);
    for (const auto& [request, notes] : this->requests) {
        if (notes.has_complete_answer() && billed.count(request) == 0) {
            violations.push_back(
                violation(request, "expected 1 bill for its whole answer, found none"));
        }
    }
    return violations;
}

std::size_t run_history::count_complete() const
{
    const std::lock_guard guard(this->mutex);
    return static_cast<std::size_t>(
        std::count_if(this->requests.begin(), this->requests.end(),
                      [](const auto& entry) { return entry.second.has_complete_answer(); }));
}

std::string join(const std::vector<std::string>& lines)
{
    std::string text;
    for (const auto& line : lines) {
        text.append(line).append("\n");
    }
    return text;
}

} // namespace pearhaven::tests
