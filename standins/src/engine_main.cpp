#include "engine_service.hpp"
#include "program.hpp"

#include <gflags/gflags.h>

#include <sstream>

DEFINE_string(versions, "", "versions served at the start, with commas between");
DEFINE_uint32(batch, 16, "max runs in a batch");
DEFINE_uint32(queue, 64, "max runs queued; further ones are refused with 429");
DEFINE_uint32(step_us, 10000, "base time of a batch step");
DEFINE_uint32(step_us_per_run, 200, "time that each run in the batch adds to a step");
DEFINE_double(prefill_tokens_per_s, 20000, "speed of reading prompts; slows down all in the batch");
DEFINE_uint64(prefill_chunk, 512, "max prompt tokens processed in one step");
DEFINE_uint64(kv_tokens, 262144, "tokens of prompts and answers that the batch can hold");
DEFINE_uint64(cache_tokens, 131072, "tokens of prompt prefixes that are kept after their runs");
DEFINE_uint64(block_tokens, 16, "tokens of a block of the prefix cache");
DEFINE_uint32(tokens_per_write, 1, "new tokens that a stream waits for before it is written");
DEFINE_uint32(keep_runs_s, 60, "how long an ended run can be resumed");
DEFINE_uint32(load_lag_ms, 500, "age of the load reports");
DEFINE_uint32(cache_event_lag_ms, 1000, "how late cache events are published");
DEFINE_double(cache_event_gaps, 0.05, "share of the cache events that are never published, 0..1");
DEFINE_uint32(
    weight_loading_ms, 5000,
    "time from an order to load a version, or from the end of reading its weights, until served");
DEFINE_string(weights, "", "IP:port of the weight store; empty: weights are not read");
DEFINE_bool(checks_fencing, false, "refuse orders that carry an old fencing number");
DEFINE_uint32(stop_grace_ms, 0, "on SIGTERM, how long answers in progress may take to finish");

namespace standins = pearhaven::standins;

namespace {

std::vector<std::string> split(const std::string& text)
{
    std::vector<std::string> parts;
    std::istringstream input(text);
    for (std::string part; std::getline(input, part, ',');) {
        parts.push_back(part);
    }
    return parts;
}

standins::batch_settings batch_from_flags()
{
    standins::batch_settings settings;
    settings.batch = FLAGS_batch;
    settings.queue = FLAGS_queue;
    settings.step = std::chrono::microseconds(FLAGS_step_us);
    settings.step_per_run = std::chrono::microseconds(FLAGS_step_us_per_run);
    settings.prefill_tokens_per_s = FLAGS_prefill_tokens_per_s;
    settings.prefill_chunk = FLAGS_prefill_chunk;
    settings.kv_tokens = FLAGS_kv_tokens;
    settings.cache_tokens = FLAGS_cache_tokens;
    settings.block_tokens = FLAGS_block_tokens;
    return settings;
}

standins::engine_settings settings_from_flags()
{
    standins::engine_settings settings;
    settings.batch = batch_from_flags();
    settings.versions = split(FLAGS_versions);
    settings.keep_runs = std::chrono::seconds(FLAGS_keep_runs_s);
    settings.load_lag = std::chrono::milliseconds(FLAGS_load_lag_ms);
    settings.cache_event_lag = std::chrono::milliseconds(FLAGS_cache_event_lag_ms);
    settings.cache_event_gaps = FLAGS_cache_event_gaps;
    settings.weight_loading = std::chrono::milliseconds(FLAGS_weight_loading_ms);
    settings.checks_fencing = FLAGS_checks_fencing;
    settings.weight_store = FLAGS_weights;
    return settings;
}

} // namespace

int main(int argc, char** argv)
{
    standins::begin_program(argc, argv,
                            "Small model of an inference engine with continuous batching.\n"
                            "A step takes step_us + step_us_per_run for each run in the batch + "
                            "the time to read\nthe prompt tokens of the step, times slow_factor; "
                            "it gives one token to each run\nwhose prompt was read. A prompt has "
                            "one token for each four bytes.\n" +
                                standins::engine_behaviour_table().help());
    const auto web = standins::web_settings_from_flags();
    standins::engine engine(settings_from_flags());
    standins::engine_service service(engine, web.threads, FLAGS_tokens_per_write);
    standins::web_server server(web);
    service.add_routes(server);
    standins::serve_until_terminated(server);
    const std::chrono::milliseconds grace(FLAGS_stop_grace_ms);
    engine.drain(grace);
    service.wait_for_answers(grace);
    standins::end_program();
}
