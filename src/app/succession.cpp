#include "app/succession.hpp"

#include <chrono>
#include <stdexcept>
#include <utility>

#include "log/log.hpp"
#include "net/http/payload.hpp"

namespace bankmux::app {

using namespace std::chrono_literals;

namespace {

constexpr core::Duration kPassEvery = 20ms;  // streams that have begun since

}  // namespace

Succession::Succession(net::Loop& loop, core::Conductor& conductor, net::InstanceClient& instances,
                       net::PlatformFront& front, net::HttpServer& clients, std::string path)
    : loop_(loop),
      conductor_(conductor),
      instances_(instances),
      front_(front),
      clients_(clients),
      path_(std::move(path)) {
  try {
    receiver_ = std::make_unique<net::StreamReceiver>(
        loop_, path_, [this](operations::PassedStream passed) { take(std::move(passed)); });
  } catch (const std::runtime_error& problem) {
    log::write("handover", std::string("running streams can't be taken over here: ") + problem.what());
  }
}

void Succession::take(operations::PassedStream passed) {
  std::string address;  // where its connection is kept afterwards; one that nobody lists any more is not
  for (const auto& [engine, member] : conductor_.fleet().members()) {
    if (member.target.id == passed.stream.box) address = member.target.address;
  }
  const core::Passed instance = passed.stream.instance;
  front_.take_over(passed.name, std::move(passed.stream), clients_, [&](core::AttemptEvents& events) {
    return instances_.take_over(address, instance, events);
  });
}

void Succession::ending() {
  receiver_.reset();
  sender_ = net::StreamSender::call(
      loop_, path_,
      [this] {
        log::write("handover", "the next process takes running streams over");
        pass();
      },
      [this] {
        log::write("handover", "no process takes running streams over any more; they are finished here");
        next_.reset();
      });
}

void Succession::pass() {
  conductor_.pass_streams([this](const core::RunningStream& stream) {
    return sender_->send(operations::encode(stream.ask.payload->id, stream), stream.client.descriptor,
                         stream.instance.descriptor);
  });
  next_ = loop_.at(loop_.now() + kPassEvery, [this] { pass(); });
}

}  // namespace bankmux::app
