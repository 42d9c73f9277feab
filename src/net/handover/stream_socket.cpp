#include "net/handover/stream_socket.hpp"

#include <fcntl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/un.h>
#include <unistd.h>

#include <array>
#include <cstring>
#include <stdexcept>
#include <utility>
#include <vector>

#include "log/log.hpp"

namespace bankmux::net {

namespace {

constexpr int kListenBacklog = 4;  // usually a single sender connects at a time
// Simultaneous sender connections: the previous process and the one before it.
constexpr std::size_t kMaxSenders = 8;
// Room for some dozen streams at once; the rest follow when the buffer drains.
constexpr int kSendBufferBytes = 1024 * 1024;
constexpr std::size_t kDescriptorsPerMessage = 2;  // the client's connection, then the instance's
constexpr int kMaxMessagesPerEvent = 32;           // then other events of the loop get their turn

// Resolves a socket path. A path too long for sun_path is reached through a descriptor of its directory.
class UnixAddress {
 public:
  explicit UnixAddress(const std::string& path) {
    std::string name = path;
    if (name.size() >= sizeof address_.sun_path) {
      const std::size_t slash = path.rfind('/');
      folder_ = Descriptor(::open(path.substr(0, slash).c_str(), O_PATH | O_DIRECTORY | O_CLOEXEC));
      name = "/proc/self/fd/" + std::to_string(folder_.get()) + path.substr(slash);
    }
    fits_ = name.size() < sizeof address_.sun_path;
    address_.sun_family = AF_UNIX;
    if (fits_) std::memcpy(address_.sun_path, name.c_str(), name.size() + 1);
  }
  [[nodiscard]] bool fits() const { return fits_; }
  [[nodiscard]] const sockaddr* get() const { return reinterpret_cast<const sockaddr*>(&address_); }
  [[nodiscard]] static socklen_t size() { return sizeof(sockaddr_un); }

 private:
  sockaddr_un address_{};
  Descriptor folder_;
  bool fits_ = false;
};

Descriptor open_unix_socket() {
  return Descriptor(::socket(AF_UNIX, SOCK_SEQPACKET | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
}

// Only processes of the same user may exchange streams; access to the directory alone is not enough.
bool same_user(int socket) {
  ucred peer{};
  socklen_t size = sizeof peer;
  return getsockopt(socket, SOL_SOCKET, SO_PEERCRED, &peer, &size) == 0 && peer.uid == geteuid();
}

using Control = std::array<char, CMSG_SPACE(sizeof(int) * kDescriptorsPerMessage * 2)>;

// Takes ownership of every descriptor in the message, so that unexpected ones are closed rather than leaked.
std::vector<Descriptor> received_descriptors(const msghdr& message) {
  std::vector<Descriptor> result;
  for (cmsghdr* part = CMSG_FIRSTHDR(&message); part != nullptr;
       part = CMSG_NXTHDR(const_cast<msghdr*>(&message), part)) {
    if (part->cmsg_level != SOL_SOCKET || part->cmsg_type != SCM_RIGHTS) continue;
    const std::size_t count = (part->cmsg_len - CMSG_LEN(0)) / sizeof(int);
    for (std::size_t i = 0; i < count; ++i) {
      int fd = -1;
      std::memcpy(&fd, CMSG_DATA(part) + i * sizeof fd, sizeof fd);
      result.emplace_back(fd);
    }
  }
  return result;
}

}  // namespace

// ---- Descriptor ----

Descriptor& Descriptor::operator=(Descriptor&& other) noexcept {
  if (this != &other) {
    if (fd_ >= 0) ::close(fd_);
    fd_ = other.release();
  }
  return *this;
}

Descriptor::~Descriptor() {
  if (fd_ >= 0) ::close(fd_);
}

int Descriptor::release() { return std::exchange(fd_, -1); }

// ---- StreamReceiver ----

StreamReceiver::StreamReceiver(Loop& loop, const std::string& path, StreamHandler take)
    : loop_(loop), on_stream_(std::move(take)), listener_(open_unix_socket()) {
  const UnixAddress address(path);
  // The path may belong to the process being replaced. That process keeps its socket but loses the name.
  (void)::unlink(path.c_str());
  const mode_t mask = ::umask(0177);
  const bool bound = listener_.get() >= 0 && address.fits() &&
                     ::bind(listener_.get(), address.get(), UnixAddress::size()) == 0;
  ::umask(mask);
  if (!bound || ::listen(listener_.get(), kListenBacklog) != 0) {
    throw std::runtime_error("cannot listen at " + path + ": " + std::strerror(errno));
  }
  accept_event_.reset(event_new(
      loop_.base(), listener_.get(), EV_READ | EV_PERSIST,
      [](evutil_socket_t, short, void* self) {
        run_guarded("handover", [self] { static_cast<StreamReceiver*>(self)->on_connection(); });
      },
      this));
  if (!accept_event_ || event_add(accept_event_.get(), nullptr) != 0)
    throw std::runtime_error("cannot create an event for the handover socket");
}

StreamReceiver::~StreamReceiver() = default;

void StreamReceiver::on_connection() {
  Descriptor socket(::accept4(listener_.get(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC));
  if (socket.get() < 0 || connections_.size() >= kMaxSenders || !same_user(socket.get())) return;
  const auto hello = operations::kStreamFormatLine;
  if (::send(socket.get(), hello.data(), hello.size(), MSG_NOSIGNAL) != ssize_t(hello.size())) return;
  Connection& connection = connections_.emplace_back();
  connection.receiver = this;
  connection.socket = std::move(socket);
  connection.readable.reset(event_new(
      loop_.base(), connection.socket.get(), EV_READ | EV_PERSIST,
      [](evutil_socket_t, short, void* self) {
        auto* sender_connection = static_cast<Connection*>(self);
        StreamReceiver& receiver = *sender_connection->receiver;
        run_guarded("handover", [&] {
          for (int i = 0; i < kMaxMessagesPerEvent; ++i) {
            const Received received = receiver.receive(sender_connection->socket.get());
            if (received == Received::message) continue;
            if (received == Received::nothing) return;
            receiver.connections_.remove_if(
                [sender_connection](const Connection& other) { return &other == sender_connection; });
            return;
          }
        });
      },
      &connection));
  event_add(connection.readable.get(), nullptr);
}

void StreamReceiver::receive_pending() {
  for (const Connection& connection : connections_) {
    while (receive(connection.socket.get()) == Received::message) {
    }
  }
}

StreamReceiver::Received StreamReceiver::receive(int socket) {
  std::string text(operations::kMaxMessageBytes + 1, '\0');
  iovec part{text.data(), text.size()};
  alignas(cmsghdr) Control control{};
  msghdr message{};
  message.msg_iov = &part;
  message.msg_iovlen = 1;
  message.msg_control = control.data();
  message.msg_controllen = control.size();
  const ssize_t received = ::recvmsg(socket, &message, MSG_CMSG_CLOEXEC | MSG_DONTWAIT);
  if (received < 0 && (errno == EAGAIN || errno == EINTR)) return Received::nothing;
  std::vector<Descriptor> descriptors = received_descriptors(message);
  if (received <= 0) return Received::end;
  text.resize(std::size_t(received));
  auto stream = operations::decode_handover_message(text);
  const bool truncated = (message.msg_flags & (MSG_TRUNC | MSG_CTRUNC)) != 0;
  if (truncated || !stream || descriptors.size() != kDescriptorsPerMessage) {
    log::write("handover", "received a malformed stream message; the stream is broken off");
    return Received::message;
  }
  stream->stream.client.descriptor = descriptors[0].release();
  stream->stream.instance.descriptor = descriptors[1].release();
  on_stream_(std::move(*stream));
  return Received::message;
}

// ---- StreamSender ----

std::unique_ptr<StreamSender> StreamSender::connect(Loop& loop, const std::string& path,
                                                    std::function<void()> ready,
                                                    std::function<void()> ended) {
  const UnixAddress address(path);
  Descriptor socket = open_unix_socket();
  if (socket.get() < 0 || !address.fits() ||
      ::connect(socket.get(), address.get(), UnixAddress::size()) != 0 || !same_user(socket.get())) {
    return nullptr;
  }
  setsockopt(socket.get(), SOL_SOCKET, SO_SNDBUF, &kSendBufferBytes, sizeof kSendBufferBytes);
  return std::unique_ptr<StreamSender>(
      new StreamSender(loop, std::move(socket), std::move(ready), std::move(ended)));
}

StreamSender::StreamSender(Loop& loop, Descriptor socket, std::function<void()> ready,
                           std::function<void()> ended)
    : socket_(std::move(socket)), ready_(std::move(ready)), ended_(std::move(ended)) {
  readable_event_.reset(event_new(
      loop.base(), socket_.get(), EV_READ | EV_PERSIST,
      [](evutil_socket_t, short, void* self) {
        run_guarded("handover", [self] { static_cast<StreamSender*>(self)->on_readable(); });
      },
      this));
  if (!readable_event_ || event_add(readable_event_.get(), nullptr) != 0)
    throw std::runtime_error("cannot create an event for the handover socket");
}

StreamSender::~StreamSender() = default;

void StreamSender::on_readable() {
  char text[64];
  const ssize_t received = ::recv(socket_.get(), text, sizeof text, MSG_DONTWAIT);
  if (received < 0 && (errno == EAGAIN || errno == EINTR)) return;
  const bool is_hello =
      received > 0 && std::string_view(text, std::size_t(received)) == operations::kStreamFormatLine;
  if (is_hello && !std::exchange(hello_received_, true)) return ready_();
  event_del(readable_event_.get());
  hello_received_ = false;
  ended_();
}

bool StreamSender::send(const std::string& message, int client, int instance) {
  if (!hello_received_ || message.empty()) return false;
  iovec part{const_cast<char*>(message.data()), message.size()};
  alignas(cmsghdr) Control control{};
  msghdr header{};
  header.msg_iov = &part;
  header.msg_iovlen = 1;
  header.msg_control = control.data();
  header.msg_controllen = CMSG_SPACE(sizeof(int) * kDescriptorsPerMessage);
  cmsghdr* ancillary = CMSG_FIRSTHDR(&header);
  ancillary->cmsg_level = SOL_SOCKET;
  ancillary->cmsg_type = SCM_RIGHTS;
  ancillary->cmsg_len = CMSG_LEN(sizeof(int) * kDescriptorsPerMessage);
  const int descriptors[kDescriptorsPerMessage] = {client, instance};
  std::memcpy(CMSG_DATA(ancillary), descriptors, sizeof descriptors);
  return ::sendmsg(socket_.get(), &header, MSG_DONTWAIT | MSG_NOSIGNAL) == ssize_t(message.size());
}

}  // namespace bankmux::net
