#include "app/stream_handover.hpp"

#include <chrono>
#include <stdexcept>
#include <utility>

#include "log/log.hpp"
#include "net/http/payload.hpp"

namespace bankmux::app {

using namespace std::chrono_literals;

namespace {

constexpr core::Duration kSendInterval = 20ms;  // for streams that started after the last pass

}  // namespace

StreamHandover::StreamHandover(net::Loop& loop, core::Conductor& conductor, net::InstanceClient& instances,
                               net::PlatformFront& front, net::HttpServer& clients,
                               const std::string& path_prefix)
    : loop_(loop),
      conductor_(conductor),
      instances_(instances),
      front_(front),
      clients_(clients),
      path_(path_prefix + "-streams") {
  try {
    receiver_ = std::make_unique<net::StreamReceiver>(
        loop_, path_, [this](operations::HandedOverStream passed) { take_over_stream(std::move(passed)); });
  } catch (const std::runtime_error& error) {
    log::write("handover", std::string("running streams can't be taken over here: ") + error.what());
  }
  share_request_ids(path_prefix + "-ids");
}

void StreamHandover::share_request_ids(const std::string& path) {
  try {
    front_.open_ids().share_with_processes(net::RequestIdLocks(path), [this] {
      if (receiver_) receiver_->receive_pending();
    });
  } catch (const std::runtime_error& error) {
    log::write("handover",
               std::string("ids of open requests can't be shared with other processes: ") + error.what());
  }
  try {
    front_.open_ids().share_executed(path + "-executed");
  } catch (const std::runtime_error& error) {
    log::write("handover",
               std::string("ids that may have run can't be shared with other processes: ") + error.what());
  }
}

void StreamHandover::take_over_stream(operations::HandedOverStream passed) {
  // The pool key under which the connection is kept afterwards; empty, so that it is not kept, if the
  // instance is no longer listed.
  std::string address;
  for (const auto& [engine, member] : conductor_.fleet().members()) {
    if (member.target.id == passed.stream.instance_id) address = member.target.address;
  }
  const core::HandoverState instance = passed.stream.instance;
  front_.take_over(passed.name, std::move(passed.stream), clients_, [&](core::AttemptEvents& events) {
    return instances_.take_over(address, instance, events);
  });
}

void StreamHandover::start_sending() {
  receiver_.reset();
  sender_ = net::StreamSender::connect(
      loop_, path_,
      [this] {
        log::write("handover", "the next process takes running streams over");
        send_streams();
      },
      [this] {
        log::write("handover",
                   "no process takes over running streams any more; finishing them in this process");
        send_timer_.reset();
      });
}

void StreamHandover::send_streams() {
  conductor_.pass_streams([this](const core::RunningStream& stream) {
    const std::string& id = stream.client_request.payload->id;
    front_.open_ids().offer(id);
    return sender_->send(operations::encode(id, stream), stream.client.descriptor,
                         stream.instance.descriptor);
  });
  send_timer_ = loop_.at(loop_.now() + kSendInterval, [this] { send_streams(); });
}

}  // namespace bankmux::app
