// Handover of streams from one conductor process to its successor: the message format and the core's part.
#include <rapidcheck.h>
#include <sys/socket.h>
#include <unistd.h>

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "core/conductor.hpp"
#include "fake_time.hpp"
#include "integration/platform_fixture.hpp"
#include "net/http/http_server.hpp"
#include "net/http/payload.hpp"
#include "net/http/response_parser.hpp"
#include "net/instances/instance_client.hpp"
#include "operations/handover_message.hpp"
#include "sse/stream_scanner.hpp"

using namespace bankmux;
using namespace std::chrono_literals;
using test::FakeTime;

namespace {

core::RunningStream random_stream() {
  core::RunningStream stream;
  stream.client_request.facts.request_class = *rc::gen::inRange<std::uint32_t>(0, 50);
  stream.client_request.facts.tenant = *rc::gen::inRange<std::uint32_t>(0, 50);
  stream.client_request.facts.prompt_tokens = *rc::gen::inRange(0, 1'000'000);
  stream.instance_id = *rc::gen::nonEmpty(rc::gen::container<std::string>(rc::gen::inRange('a', 'z')));
  stream.attempts = *rc::gen::inRange(1, 9);
  stream.first = core::Duration(*rc::gen::inRange(0, 9'000'000));
  stream.age = stream.first + core::Duration(*rc::gen::inRange(0, 9'000'000));
  stream.silence = core::Duration(*rc::gen::inRange(0, 9'000'000));
  stream.client.state = *rc::gen::arbitrary<std::string>();
  stream.instance.state = *rc::gen::arbitrary<std::string>();
  return stream;
}

}  // namespace

TEST_CASE("A handover message decodes to the encoded stream, and a truncated or corrupted one is rejected") {
  CHECK(rc::check("encode, decode", [] {
    const core::RunningStream stream = random_stream();
    const std::string message = operations::encode("r-1", stream);
    const auto back = operations::decode_handover_message(message);
    RC_ASSERT(back.has_value());
    RC_ASSERT(back->name == "r-1");
    RC_ASSERT(back->stream.instance_id == stream.instance_id);
    RC_ASSERT(back->stream.client_request.facts.request_class == stream.client_request.facts.request_class);
    RC_ASSERT(back->stream.client_request.facts.tenant == stream.client_request.facts.tenant);
    RC_ASSERT(back->stream.client_request.facts.prompt_tokens == stream.client_request.facts.prompt_tokens);
    RC_ASSERT(back->stream.attempts == stream.attempts);
    RC_ASSERT(back->stream.age == stream.age);
    RC_ASSERT(back->stream.first == stream.first);
    RC_ASSERT(back->stream.silence == stream.silence);
    RC_ASSERT(back->stream.client.state == stream.client.state);
    RC_ASSERT(back->stream.instance.state == stream.instance.state);
  }));
  CHECK(rc::check("spoilt", [] {
    std::string message = operations::encode("r-1", random_stream());
    const std::size_t cut = *rc::gen::inRange<std::size_t>(0, message.size());
    RC_ASSERT(!operations::decode_handover_message(message.substr(0, cut)));
    // With any single byte changed, a message that still decodes has all values in range.
    message[cut] = char(*rc::gen::arbitrary<unsigned char>());
    if (const auto read = operations::decode_handover_message(message)) {
      RC_ASSERT(read->stream.attempts >= 1);
      RC_ASSERT(read->stream.first <= read->stream.age);
      RC_ASSERT(read->stream.silence >= 0s);
      RC_ASSERT(read->name.find('/') == std::string::npos);
    }
  }));
  // The message of an earlier version.
  core::RunningStream stream;
  stream.instance_id = "b";
  nlohmann::json earlier = nlohmann::json::from_cbor(operations::encode("r-1", stream));
  earlier.erase("silence");
  std::string earlier_message;
  nlohmann::json::to_cbor(earlier, earlier_message);
  const auto from_earlier = operations::decode_handover_message(earlier_message);
  REQUIRE(from_earlier.has_value());
  CHECK(from_earlier->stream.silence == 0s);
  core::RunningStream large = {};
  large.instance_id = "b";
  large.client.state.assign(operations::kMaxMessageBytes, 'x');
  CHECK(operations::encode("r-1", large).empty());
}

TEST_CASE("A response resumed at any byte of its body ends as if a single parser had read it") {
  const std::string head =
      "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
  const std::string body =
      "a\r\ndata: {}\n\n\r\n1c;x=y\r\ndata: {\"error\":{\"code\":1}}\n\n\r\n0\r\nX-More: 1\r\n\r\n";
  for (std::size_t at = 0; at < body.size(); ++at) {
    INFO("from byte " << at);
    net::ResponseParser first, second;
    sse::StreamScanner first_scanner;
    std::string seen;
    first.feed(head + body.substr(0, at), seen);
    first_scanner.feed(seen);
    const auto position = first.position();
    REQUIRE(position.has_value());
    REQUIRE(second.resume_stream(*position));
    sse::StreamScanner second_scanner(first_scanner.state());
    std::string rest;
    CHECK(second.feed(body.substr(at), rest) == body.size() - at);
    second_scanner.feed(rest);
    CHECK(second.state() == net::ResponseParser::State::done);
    CHECK(second.keep_alive());
    CHECK(second_scanner.failed());
    CHECK((seen + rest).size() == 10 + 28);
  }
  net::ResponseParser whole;
  std::string seen;
  whole.feed(head + body, seen);
  CHECK_FALSE(whole.position().has_value());
  CHECK_FALSE(net::ResponseParser().resume_stream({0, 0, "", true}));
  CHECK_FALSE(net::ResponseParser().resume_stream({99, 0, "", true}));
}

TEST_CASE("Whole: a stream scanned by two processes ends as if one had scanned it, at any cut") {
  const std::string whole =
      "data: {\"choices\":[{\"finish_reason\":\"stop\"}]}\r\n\r\ndata: [DONE]\r\n\r\n: more\n\n";
  const std::string not_whole = "data: {\"a\":1}\n\n: data: [DONE]\n\ndata: [DONE]\n";
  for (const std::string& text : {whole, not_whole}) {
    sse::StreamScanner alone;
    alone.feed(text);
    REQUIRE(alone.done() == (text == whole));
    for (std::size_t at = 0; at <= text.size(); ++at) {
      CAPTURE(text, at);
      sse::StreamScanner first;
      first.feed(text.substr(0, at));
      sse::StreamScanner second(first.state());
      second.feed(text.substr(at));
      CHECK(second.done() == alone.done());
      CHECK(second.finished() == alone.finished());
    }
  }
}

TEST_CASE(
    "Whole: a stream that an earlier version handed over is whole by an end marker that comes after that") {
  struct EndRecorder : core::AttemptEvents {
    explicit EndRecorder(net::Loop& l) : loop(l) {}
    void on_written() override {}
    void on_data(std::string) override {}
    void on_ended(core::AttemptResult ended) override {
      result = std::move(ended);
      loop.stop();
    }
    net::Loop& loop;
    core::AttemptResult result;
  };
  const auto empty = nlohmann::json::binary({});
  constexpr int kChunkSize = 4;  // the part of a body in which the stream was handed over
  const nlohmann::json state = {
      {"part", kChunkSize},  {"left", 0},        {"line", empty}, {"keep", true},      {"event_line", empty},
      {"event_data", empty}, {"event_lines", 0}, {"skip", false}, {"after_cr", false}, {"failed", false}};
  std::string text;
  nlohmann::json::to_cbor(state, text);
  for (const bool whole : {true, false}) {
    CAPTURE(whole);
    net::Loop loop;
    EndRecorder events(loop);
    net::InstanceClient client(loop, {}, net::Dialect::platform);
    int sockets[2];
    REQUIRE(socketpair(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0, sockets) == 0);
    const auto attempt = client.take_over("", {sockets[0], text}, events);
    REQUIRE(attempt != nullptr);
    const integration::TestConnection instance(sockets[1]);
    instance.send(integration::chunk(whole ? "data: [DONE]\n\n" : "data: 1\n\n") + "0\r\n\r\n");
    const auto limit = loop.at(loop.now() + 2s, [&loop] { loop.stop(); });
    loop.run();
    CHECK(events.result.verdict == (whole ? core::Verdict::served : core::Verdict::broken));
    CHECK(events.result.answer_end == (whole ? core::AnswerEnd::whole : core::AnswerEnd::no_end_marker));
  }
}

// Guards against a handover that copied the unsent output wrongly: the response head arrived as zeros, and
// the client could not read the answer.
TEST_CASE("Unsent output of a client is handed over with its connection, response head included") {
  net::Loop loop;
  std::unique_ptr<net::IncomingRequest> taken_over;
  net::HttpServer next(loop, integration::unique_address(), [](std::unique_ptr<net::IncomingRequest>) {}, {});
  const std::string address = integration::unique_address();
  net::HttpServer server(loop, address,
                         [&](std::unique_ptr<net::IncomingRequest> incoming) {
                           incoming->begin(200, {{"Content-Type", "text/event-stream"}});
                           incoming->chunk("data: 1\n\n");
                           auto passed = incoming->handover_state();
                           REQUIRE(passed.has_value());
                           passed->descriptor = dup(passed->descriptor);
                           incoming->detach_after_handover();
                           taken_over = next.take_over(*passed);
                           REQUIRE(taken_over != nullptr);
                           taken_over->chunk("data: 2\n\n");
                           taken_over->end();
                           loop.stop();
                         },
                         {});
  const auto client = integration::TestConnection::to(address);
  client->send("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n");
  loop.run();
  const auto enough = loop.at(loop.now() + 100ms, [&loop] { loop.stop(); });
  loop.run();  // flushes pending output
  const std::string answer = client->receive_until("0\r\n\r\n");
  CHECK(answer.starts_with("HTTP/1.1 200 OK\r\n"));
  CHECK(answer.find("9\r\ndata: 1\n\n\r\n9\r\ndata: 2\n\n\r\n0\r\n\r\n") != std::string::npos);
  CHECK(server.connections() == 0);
  CHECK(next.connections() == 1);
  CHECK(next.take_over({dup(0), "nonsense"}) == nullptr);
}

namespace {

using Log = std::vector<std::string>;

struct FakeAttempt : core::Attempt {
  Log& log;
  core::AttemptEvents& events;
  bool can_pass;
  FakeAttempt(Log& l, core::AttemptEvents& e, bool passable) : log(l), events(e), can_pass(passable) {}
  ~FakeAttempt() override { log.emplace_back("close"); }
  [[nodiscard]] core::Progress progress() const override { return core::Progress::streaming; }
  [[nodiscard]] std::optional<core::HandoverState> handover_state() const override {
    return can_pass ? std::optional(core::HandoverState{7, "instance"}) : std::nullopt;
  }
};

struct FakeReply : core::ClientReply {
  Log& log;
  explicit FakeReply(Log& l) : log(l) {}
  void refuse(const core::Ending&) override { log.emplace_back("refused"); }
  void fail(const core::Ending&) override { log.emplace_back("failed"); }
  void relay(const core::Answer&) override { log.emplace_back("relayed"); }
  void begin() override { log.emplace_back("begin"); }
  void data(std::string_view bytes) override { log.emplace_back(bytes); }
  void end() override { log.emplace_back("end"); }
  void abort(const core::Ending&) override { log.emplace_back("abort"); }
  [[nodiscard]] std::optional<core::HandoverState> handover_state() const override {
    return core::HandoverState{8, "client"};
  }
  void detach_after_handover() override { log.emplace_back("let go"); }
};

struct FakeInstances : core::Instances, core::Discovery {
  Log& log;
  FakeAttempt* current = nullptr;
  bool passable = true;
  explicit FakeInstances(Log& l) : log(l) {}
  std::unique_ptr<core::Attempt> start(const core::Target&, const core::PayloadPtr&, core::Time,
                                       core::ConnectionTerms, std::function<bool()>,
                                       core::AttemptEvents& events) override {
    auto stream = std::make_unique<FakeAttempt>(log, events, passable);
    current = stream.get();
    return stream;
  }
  void reserve(const core::Target&, const core::PayloadPtr&, std::function<bool()>,
               std::function<void(core::ReservationAnswer)>) override {}
  void release(const core::Target&, const core::PayloadPtr&, core::ConnectionTerms, std::function<bool()>,
               std::function<void(bool)>) override {}
  void probe(const core::Target&, std::function<bool()>,
             std::function<void(const core::AttemptResult&)>) override {}
  void drop_connections(const core::Target&) override {}
  void subscribe() override {}
  void fetch() override {}
};

struct Process {
  Log log;
  FakeTime time;
  FakeInstances instances{log};
  std::unique_ptr<core::Conductor> conductor;
  std::vector<core::RequestRecord::Result> results;
  std::vector<core::AttemptRecord> trail;  // of the last request to end
  Process() {
    core::ConductorSettings s;
    s.module.classes.resize(1);
    s.module.classes[0].effect = eiderarch::Effect::safe;
    s.module.classes[0].aim = 2s;
    s.module.classes[0].deadline = 8s;
    s.module.kinds = {{eiderarch::Role::both, 0}};
    s.module.limits.max_attempts = 4;
    s.module.writers_read = true;
    conductor = std::make_unique<core::Conductor>(s, time, instances, instances,
                                                  [](const char*, const std::string&) {});
    conductor->observe([this](const core::RequestRecord& record) {
      results.push_back(record.result);
      trail = record.trail;
    });
    core::ListEntry listed;
    listed.id = "box";
    listed.entry.engine = 5;
    conductor->update_fleet({eiderarch::ListScope::changes, {listed}});
  }
  void ask() {
    core::ClientRequest ask;
    ask.facts.prompt_tokens = 100;
    ask.facts.deadline = time.now() + 5s;
    auto payload = std::make_shared<core::Payload>();
    payload->id = "r-1";
    ask.payload = payload;
    conductor->accept(std::move(ask), std::make_unique<FakeReply>(log));
    time.run_ready();
  }
  core::RequestId take_over(const core::RunningStream& stream) {
    const auto id =
        conductor->take_over(stream, std::make_unique<FakeReply>(log), [this](core::AttemptEvents& events) {
          auto attempt = std::make_unique<FakeAttempt>(log, events, true);
          instances.current = attempt.get();
          return attempt;
        });
    time.run_ready();
    return id;
  }
  void end_attempt(core::Verdict verdict) {
    core::AttemptResult result;
    result.verdict = verdict;
    result.progress = core::Progress::streaming;
    instances.current->events.on_ended(std::move(result));
    time.run_ready();
  }
};

// Starts a request in `first`, begins its stream and hands it over; returns the state passed on.
core::RunningStream start_and_hand_over(Process& first) {
  first.ask();
  first.instances.current->events.on_written();
  first.instances.current->events.on_data("a");
  first.time.advance(2s);
  core::RunningStream passed;
  CHECK(first.conductor->pass_streams([&passed](const core::RunningStream& stream) {
    passed = stream;
    return true;
  }) == 1);
  first.time.run_ready();
  return passed;
}

}  // namespace

TEST_CASE(
    "A stream that is handed over ends silently in the first process and with its own result in the second") {
  Process first, second;
  const core::RunningStream passed = start_and_hand_over(first);
  CHECK(first.log == Log{"begin", "a", "let go", "close"});
  CHECK(first.conductor->open_requests() == 0);
  CHECK(first.results == std::vector{core::RequestRecord::Result::passed_on});
  CHECK(first.conductor->figures().by_class[0].served == 0);
  CHECK(passed.instance_id == "box");
  CHECK(passed.age == 2s);
  CHECK(passed.client.state == "client");
  CHECK(passed.instance.descriptor == 7);

  second.take_over(passed);
  CHECK(second.conductor->open_requests() == 1);
  CHECK(second.conductor->active_attempts_at(5) == 1);
  second.instances.current->events.on_data("b");
  second.end_attempt(core::Verdict::served);
  CHECK(second.log == Log{"b", "close", "end"});
  CHECK(second.conductor->figures().by_class[0].served == 1);
  CHECK(second.conductor->open_requests() == 0);
}

TEST_CASE("A stream that was taken over breaks off with its instance and is never retried") {
  for (const bool silent : {false, true}) {
    Process first, second;
    second.take_over(start_and_hand_over(first));
    second.instances.current->events.on_data("b");
    silent ? second.time.advance(5s) : second.end_attempt(core::Verdict::broken);
    CHECK(second.log == Log{"b", "close", "abort"});
    REQUIRE(second.trail.size() == 1);
    CHECK(second.trail[0].instance == "box");
    CHECK(second.trail[0].answer_end == (silent ? core::AnswerEnd::silent : core::AnswerEnd::none));
    second.time.advance(10s);
    CHECK(second.conductor->open_requests() == 0);
    CHECK(second.conductor->figures().attempts == 0);
  }
  Process first, second;
  const core::RequestId id = second.take_over(start_and_hand_over(first));
  second.conductor->client_gone(id);
  second.time.run_ready();
  CHECK(second.log == Log{"close"});
  CHECK(second.results == std::vector{core::RequestRecord::Result::gone});
}

// Guards against a client that waits for a silent stream once in each of the processes that have it.
TEST_CASE("The wait for a silent stream goes on where it was when the stream was handed over") {
  Process first, second;
  first.ask();
  first.instances.current->events.on_written();
  first.instances.current->events.on_data("a");
  first.time.advance(1s);
  first.time.delay_loop(1500ms);  // the process is held up before it hands the stream over
  core::RunningStream passed;
  CHECK(first.conductor->pass_streams([&passed](const core::RunningStream& stream) {
    passed = stream;
    return true;
  }) == 1);
  CHECK(passed.silence == 2500ms);
  second.take_over(passed);
  second.time.advance(2300ms);
  CHECK(second.log.empty());
  second.time.advance(50ms);  // 4.85 s after the last event
  CHECK(second.log == Log{"close", "abort"});
}

TEST_CASE("An event after the handover starts the wait for the next one anew") {
  Process first, second;
  second.take_over(start_and_hand_over(first));
  second.time.advance(1900ms);
  second.instances.current->events.on_data("b");
  second.time.advance(3900ms);
  CHECK(second.log == Log{"b"});
  core::RunningStream again;
  CHECK(second.conductor->pass_streams([&again](const core::RunningStream& stream) {
    again = stream;
    return true;
  }) == 1);
  CHECK(again.silence == 3900ms);
}

TEST_CASE("If the attempt cannot be created in the second process, the client's stream breaks off once") {
  Process first, second;
  const core::RunningStream passed = start_and_hand_over(first);
  second.conductor->take_over(passed, std::make_unique<FakeReply>(second.log),
                              [](core::AttemptEvents&) { return std::unique_ptr<core::Attempt>(); });
  second.time.advance(10s);
  CHECK(second.log == Log{"abort"});
  CHECK(second.conductor->open_requests() == 0);
}

TEST_CASE("A stream that is not accepted or cannot be handed over continues in the first process") {
  for (const bool passable : {true, false}) {
    Process process;
    process.instances.passable = passable;
    process.ask();
    process.instances.current->events.on_written();
    int offered = 0;
    const auto refuse = [&offered](const core::RunningStream&) {
      ++offered;
      return false;
    };
    CHECK(process.conductor->pass_streams(refuse) == 0);  // the stream has not begun yet
    CHECK(offered == 0);
    process.instances.current->events.on_data("a");
    CHECK(process.conductor->pass_streams(refuse) == 0);
    CHECK(offered == (passable ? 1 : 0));
    process.instances.current->events.on_data("b");
    process.end_attempt(core::Verdict::served);
    CHECK(process.log == Log{"begin", "a", "b", "close", "end"});
  }
}
