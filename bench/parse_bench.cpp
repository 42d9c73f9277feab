// Cost of parsing a chat request: the strict JSON reader, schema rules and extraction of routing facts,
// compared with a plain parse, which is what the program did before requests were checked; and splitting an
// event stream, compared with a search for empty lines.
#include <benchmark/benchmark.h>

#include <nlohmann/json.hpp>

#include "config/appliance.hpp"
#include "net/openai/facts.hpp"
#include "net/openai/json_reader.hpp"
#include "net/openai/request_rules.hpp"
#include "sse/event_splitter.hpp"

using namespace bankmux;
using nlohmann::json;

namespace {

const config::Appliance& appliance() {
  static const config::Appliance made = config::parse_appliance(json::parse(R"({
    "listen": "127.0.0.1:8080", "boxes": [{"id": "b", "address": "127.0.0.1:9001"}],
    "classes": [{"name": "c", "repeat": "safe"}], "models": [{"name": "m", "class": "c"}]})"));
  return made;
}

// A chat request with `bytes` bytes of conversation, in turns of 400 letters.
std::string conversation(std::size_t bytes) {
  json body = {{"model", "m"}, {"stream", true}, {"messages", json::array()}};
  for (std::size_t size = 0; size < bytes; size += 400) {
    const char* role = body["messages"].empty()           ? "system"
                       : body["messages"].size() % 2 == 1 ? "user"
                                                          : "assistant";
    body["messages"].push_back({{"role", role}, {"content", std::string(400, 'x')}});
  }
  return body.dump();
}

void plain_parse(benchmark::State& state) {
  const std::string text = conversation(std::size_t(state.range(0)));
  for (auto _ : state) benchmark::DoNotOptimize(json::parse(text, nullptr, false));
  state.SetBytesProcessed(std::int64_t(state.iterations() * text.size()));
}

void checked_request(benchmark::State& state) {
  const std::string text = conversation(std::size_t(state.range(0)));
  for (auto _ : state) {
    const json body = net::openai::read_json(text);
    std::string path;
    net::openai::chat_rules().check(body, path);
    benchmark::DoNotOptimize(net::openai::chat_facts(body, appliance()));
  }
  state.SetBytesProcessed(std::int64_t(state.iterations() * text.size()));
}

std::string stream() {
  std::string text;
  for (int i = 0; i < 40; ++i) {
    text +=
        "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"some words "
        "here\"},\"finish_reason\":null}]}\n\n";
  }
  return text;
}

void plain_search(benchmark::State& state) {
  const std::string text = stream();
  for (auto _ : state) {
    std::size_t events = 0;
    for (std::size_t at = 0; (at = text.find("\n\n", at)) != std::string::npos; at += 2) ++events;
    benchmark::DoNotOptimize(events);
  }
  state.SetBytesProcessed(std::int64_t(state.iterations() * text.size()));
}

void splitter(benchmark::State& state) {
  const std::string text = stream();
  for (auto _ : state) {
    std::size_t events = 0;
    sse::EventSplitter splitter(1 << 20);
    splitter.feed(text, [&events](std::string_view) { ++events; });
    benchmark::DoNotOptimize(events);
  }
  state.SetBytesProcessed(std::int64_t(state.iterations() * text.size()));
}

}  // namespace

BENCHMARK(plain_parse)->Arg(1'000)->Arg(20'000)->Arg(1'000'000);
BENCHMARK(checked_request)->Arg(1'000)->Arg(20'000)->Arg(1'000'000);
BENCHMARK(plain_search);
BENCHMARK(splitter);
BENCHMARK_MAIN();
