// What the core asks of the world round it. The core knows no wire: fronts, instances, discovery and the loop
// stand behind these interfaces.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "eiderarch/router.hpp"

namespace bankmux::core {

using eiderarch::Duration;
using eiderarch::EngineId;
using eiderarch::RequestId;
using eiderarch::Time;
using eiderarch::Tokens;

// A request as its front received it; opaque here, handed on unchanged to the instances.
struct Payload;
using PayloadPtr = std::shared_ptr<const Payload>;

// An instance's own final word on a request, to be handed to the client as it is; opaque like the payload.
struct Answer;
using AnswerPtr = std::shared_ptr<const Answer>;

// Ends its timer when destroyed.
class Timer {
 public:
  virtual ~Timer() = default;
};

class Scheduler {
 public:
  virtual ~Scheduler() = default;
  // Unix time in microseconds; never goes backwards.
  [[nodiscard]] virtual Time now() const = 0;
  [[nodiscard]] virtual std::unique_ptr<Timer> at(Time when, std::function<void()> run) = 0;
  // Runs once all that the loop has ready now is handled.
  virtual void soon(std::function<void()> run) = 0;
};

// What is known of a request that ends without a whole answer. Whether its client may try again follows from
// it.
struct Ending {
  enum class Cause {
    refused,      // the module gave it up, and a repeat does no harm
    table_full,   // too many are open here
    no_decision,  // the client's time was up before the module had decided
    failed,       // the module gave it up, and a repeat may do harm
    broke_off,    // its answer had begun
  };
  Cause cause = Cause::failed;
  bool may_have_run = false;  // some attempt at a writer may have reached its model
  bool repeat_safe = false;   // its class may run twice
  Duration stay_away{0};      // advised wait; 0: none given
  bool told = false;          // broke_off: the instance has said so within the stream
  eiderarch::Outcome last = eiderarch::Outcome::skipped;  // how the last attempt ended
};

// How an answer whose instance is lost within its stream can go on.
struct Onward {
  enum class What {
    broken,    // not at all
    finished,  // nothing but its end was missing, and has been given
    go_on,     // by `payload`, at another instance
  };
  What what = What::broken;
  PayloadPtr payload;
  Tokens written = 0;  // of the answer so far: a part of the prompt now
  Tokens left = 0;     // that may still come; 0: as many as before
  Duration patience{0};
};

// A connection that another process of this conductor is to go on with: its descriptor, which stays its
// holder's, and what has to be known beside it; opaque here.
struct Passed {
  int descriptor = -1;
  std::string state;
};

// The client's side of one request. Exactly one of refuse, fail, relay, or begin with its end or abort is the
// final answer; destroyed without one, it fails the request.
class ClientReply {
 public:
  virtual ~ClientReply() = default;
  // Whether its client has closed its connection, or its half of it, as the system knows it: in a loop that
  // was held up, word of that may still be on its way here.
  [[nodiscard]] virtual bool client_closed() const { return false; }
  // An attempt that may run the request is about to be written to an instance: not one byte has left yet.
  virtual void sending() {}
  // What `sending` told of has ended, and proved not to have run.
  virtual void never_ran() {}
  virtual void refuse(const Ending& ending) = 0;
  virtual void fail(const Ending& ending) = 0;
  virtual void relay(const Answer& answer) = 0;
  virtual void begin() = 0;
  virtual void data(std::string_view bytes) = 0;
  // Whether the client takes its stream more slowly than it comes. Then `room` is called, once, when it has
  // caught up; a client that never does is gone at some time.
  [[nodiscard]] virtual bool behind(const std::function<void()>& /*room*/) { return false; }
  virtual void end() = 0;
  // Ends a stream that is not whole: the client must not take it for a whole one.
  virtual void abort(const Ending& ending) = 0;
  // Its instance is lost after its stream has begun, and running it again does no harm.
  virtual Onward go_on() { return {}; }
  // Whether that may come to anything, so that an instance may be given up on a suspicion.
  [[nodiscard]] virtual bool may_go_on() const { return false; }
  // Its client's connection, in the middle of a stream; nothing where it can't be passed on as it is now.
  [[nodiscard]] virtual std::optional<Passed> passed() const { return std::nullopt; }
  // It has been passed on: that is this reply's end here, and not a byte more may be written.
  virtual void let_go() {}
  // What another instance has written can't be joined to the answer: nothing of it was given.
  [[nodiscard]] virtual bool garbled() const { return false; }
};

// How far an attempt had come. Up to `unwritten` it cannot have run.
enum class Progress { not_connected, unwritten, written, head, streaming, ended };

// What the instance said, or that it said nothing.
// `rejected`: it finds fault with the request itself, and so would any other.
enum class Verdict { broken, served, state_held, turned_away, no_state, error, rejected };

struct AttemptResult {
  Progress progress = Progress::not_connected;
  Verdict verdict = Verdict::broken;
  Tokens found = 0;  // prompt tokens found kept
  eiderarch::LoadReport report;
  bool told = false;  // broken by an error event within the stream
  AnswerPtr answer;   // where it was rejected
  // This side closed the connection: the instance has neither answered whole nor ended it, and may go on with
  // the request until it hears of that.
  bool closed_here = false;
};

// An instance as the list names it.
struct Target {
  EngineId engine = 0;
  std::string id;
  std::string address;
};

class AttemptEvents {
 public:
  virtual ~AttemptEvents() = default;
  // The last byte of the request is out.
  virtual void on_written() = 0;
  virtual void on_data(std::string bytes) = 0;
  virtual void on_ended(AttemptResult result) = 0;
};

// Destroying it closes its connection; no event comes after that.
class Attempt {
 public:
  virtual ~Attempt() = default;
  [[nodiscard]] virtual Progress progress() const = 0;
  // Stops reading, and goes on: the instance's own sending then waits.
  virtual void pause(bool /*on*/) {}
  // Its connection, in the middle of a stream; nothing where it can't be passed on as it is now.
  [[nodiscard]] virtual std::optional<Passed> passed() const { return std::nullopt; }
};

// What a request or call can bear of a pooled connection.
struct ConnectionTerms {
  // What it can bring does no harm: a break under the request, which may then be sent again, and an answer of
  // the exchange before it, come late, whose word would prove nothing of this request.
  bool trouble_harmless = false;
  // Only a new connection will do: every idle one may have fallen silent.
  bool fresh = false;
};

enum class ClaimAnswer { held, not_held, unknown };

class Instances {
 public:
  virtual ~Instances() = default;
  // `may_write` is asked once the connection is up, before the first byte. The instance is told how long it
  // has from that byte to `not_after`.
  [[nodiscard]] virtual std::unique_ptr<Attempt> start(const Target& target, const PayloadPtr& payload,
                                                       Time not_after, ConnectionTerms terms,
                                                       std::function<bool()> may_write,
                                                       AttemptEvents& events) = 0;
  // Asks a writer to hold a place.
  virtual void claim(const Target& target, const PayloadPtr& payload, std::function<bool()> may_write,
                     std::function<void(ClaimAnswer)> done) = 0;
  // Releases all that is held for the request there; done(true) once the call has been answered, which alone
  // proves that it has arrived.
  virtual void release(const Target& target, const PayloadPtr& payload, ConnectionTerms terms,
                       std::function<bool()> may_write, std::function<void(bool)> done) = 0;
  virtual void probe(const Target& target, std::function<bool()> may_write,
                     std::function<void(const AttemptResult&)> done) = 0;
  // The process behind that name is gone or new: what waits on its old connections is over.
  virtual void forget(const Target& target) = 0;
};

class Discovery {
 public:
  virtual ~Discovery() = default;
  virtual void subscribe() = 0;
  virtual void fetch() = 0;
};

// One entry of the list: the module's part, and the name and address that it does not need.
struct Listed {
  eiderarch::EngineEntry entry;
  std::string id;
  std::string address;
};

struct FleetNews {
  eiderarch::ListScope scope = eiderarch::ListScope::changes;
  std::vector<Listed> entries;
};

}  // namespace bankmux::core
