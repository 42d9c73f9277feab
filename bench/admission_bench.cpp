// Benchmarks of the rate limiter and the idempotency ledger against simple implementations (window counters
// in a map; a map of answers), by the number of tenants or keys in use. `bytes` is the memory per tenant or
// key that the allocator reports.
#include <benchmark/benchmark.h>
#include <malloc.h>

#include <map>
#include <random>

#include "admission/keys.hpp"
#include "admission/ledger.hpp"
#include "admission/limiter.hpp"

using namespace bankmux::admission;
using namespace std::chrono_literals;

namespace {

const Limits kLimits{600, 100'000, 0};

std::vector<std::string> names(std::size_t count) {
  std::vector<std::string> all;
  for (std::size_t i = 0; i < count; ++i) all.push_back("tenant-" + std::to_string(i * 7919));
  return all;
}

// Simple limiter with two counters that are reset each minute. It admits up to twice the limit around the end
// of a window.
class WindowLimiter {
 public:
  bool take(Time now, const std::string& tenant, Tokens tokens) {
    Window& w = windows_[tenant];
    if (now - w.began >= 60s) w = {now, 0, 0};
    if (w.requests + 1 > kLimits.requests_per_minute || w.tokens + tokens > kLimits.tokens_per_minute)
      return false;
    ++w.requests;
    w.tokens += tokens;
    return true;
  }
  void settle(const std::string& tenant, Tokens reserved, Tokens used) {
    windows_[tenant].tokens -= reserved - used;
  }

 private:
  struct Window {
    Time began{0};
    std::int64_t requests = 0;
    Tokens tokens = 0;
  };
  std::unordered_map<std::string, Window> windows_;
};

std::size_t allocated_bytes() { return mallinfo2().uordblks; }

void limiter(benchmark::State& state) {
  const auto all = names(std::size_t(state.range(0)));
  const std::size_t before = allocated_bytes();
  Limiter limiter;
  std::mt19937 random(1);
  Time now = 1s;
  for (const std::string& name : all) (void)limiter.take(now, name, kLimits, 50);
  state.counters["bytes"] = double(allocated_bytes() - before) / double(all.size());
  for (auto _ : state) {
    now += 100us;
    const std::string& name = all[random() % all.size()];
    if (limiter.take(now, name, kLimits, 50).limited == ExceededLimit::none)
      limiter.settle(now, name, kLimits, 50, 40, 100);
  }
}
void plain_windows(benchmark::State& state) {
  const auto all = names(std::size_t(state.range(0)));
  const std::size_t before = allocated_bytes();
  WindowLimiter windows;
  std::mt19937 random(1);
  Time now = 1s;
  for (const std::string& name : all) windows.take(now, name, 50);
  state.counters["bytes"] = double(allocated_bytes() - before) / double(all.size());
  for (auto _ : state) {
    now += 100us;
    const std::string& name = all[random() % all.size()];
    if (windows.take(now, name, 50)) windows.settle(name, 50, 40);
  }
}

const std::string kAnswer(200, 'x');

void ledger(benchmark::State& state) {
  const auto all = names(std::size_t(state.range(0)));
  const std::size_t before = allocated_bytes();
  Ledger ledger({std::size_t(state.range(0)) + 1, std::size_t(1) << 30, 1 << 20, 3600s});
  Time now = 1s;
  for (const std::string& name : all) {
    const auto begun = ledger.begin(now, "t", name, 1, true);
    ledger.record_attempt(begun.number);
    ledger.end(now, begun.number, true, RecordedAnswer{200, "application/json", kAnswer, false});
  }
  state.counters["bytes"] = double(allocated_bytes() - before) / double(all.size());
  std::mt19937 random(1);
  // Each iteration is one new request and one repeat of an earlier one.
  std::uint64_t fresh = 0;
  for (auto _ : state) {
    now += 100us;
    benchmark::DoNotOptimize(ledger.begin(now, "t", all[random() % all.size()], 1, true).answer);
    const auto begun = ledger.begin(now, "t", "fresh" + std::to_string(++fresh), 1, false);
    ledger.record_attempt(begun.number);
    ledger.end(now, begun.number, true, std::nullopt);
  }
}
// Simple ledger: keeps entries forever and limits nothing.
void plain_map(benchmark::State& state) {
  const auto all = names(std::size_t(state.range(0)));
  const std::size_t before = allocated_bytes();
  std::map<std::string, std::pair<std::uint64_t, std::string>> map;
  for (const std::string& name : all) map["t:" + name] = {1, kAnswer};
  state.counters["bytes"] = double(allocated_bytes() - before) / double(all.size());
  std::mt19937 random(1);
  std::uint64_t fresh = 0;
  for (auto _ : state) {
    benchmark::DoNotOptimize(map.find("t:" + all[random() % all.size()]));
    const auto it = map.emplace("t:fresh" + std::to_string(++fresh), std::pair(1, "")).first;
    map.erase(it);
  }
}

// Cost of checking an API key. It should not depend on which part of the key is wrong.
void key_check(benchmark::State& state) {
  Key key;
  key.id = "00000000000a";
  const std::string secret(2 * kSecretBytes, 'a'), wrong(2 * kSecretBytes, 'b');
  key.hash = hash_secret(key.salt, secret);
  const ApiKeySet key_set({key});
  const std::string asked[] = {format_key(key.id, secret), format_key(key.id, wrong),
                               format_key("00000000000b", wrong), "nonsense"};
  const char* names[] = {"right", "wrong secret", "unknown ID", "no key"};
  state.SetLabel(names[state.range(0)]);
  for (auto _ : state) benchmark::DoNotOptimize(key_set.check(asked[state.range(0)]));
}

}  // namespace

BENCHMARK(key_check)->DenseRange(0, 3);
BENCHMARK(limiter)->Arg(100)->Arg(10'000)->Arg(100'000);
BENCHMARK(plain_windows)->Arg(100)->Arg(10'000)->Arg(100'000);
BENCHMARK(ledger)->Arg(100)->Arg(10'000)->Arg(100'000);
BENCHMARK(plain_map)->Arg(100)->Arg(10'000)->Arg(100'000);
BENCHMARK_MAIN();
