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

constexpr int kBacklog = 4;               // one caller at a time is usual
constexpr std::size_t kMostCallers = 8;   // that are connected; a predecessor, and one before that
constexpr int kSendBuffer = 1024 * 1024;  // some dozen streams at once; the rest go a moment later
constexpr std::size_t kDescriptors = 2;   // the client's connection, then the instance's
constexpr int kMessagesAtOnce = 32;       // then the loop sees to the rest

// A path longer than the address has room for is reached by way of its folder.
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

Descriptor unix_socket() {
  return Descriptor(::socket(AF_UNIX, SOCK_SEQPACKET | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
}

// Of this user alone: whoever else reaches the folder has no say in this conductor's clients.
bool same_user(int socket) {
  ucred peer{};
  socklen_t size = sizeof peer;
  return getsockopt(socket, SOL_SOCKET, SO_PEERCRED, &peer, &size) == 0 && peer.uid == geteuid();
}

using Control = std::array<char, CMSG_SPACE(sizeof(int) * kDescriptors * 2)>;

// All descriptors that came, however many: what is not wanted must be closed, not leaked.
std::vector<Descriptor> descriptors_of(const msghdr& message) {
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

StreamReceiver::StreamReceiver(Loop& loop, const std::string& path, Take take)
    : loop_(loop), take_(std::move(take)), listener_(unix_socket()) {
  const UnixAddress address(path);
  // The name may be the process's that this one follows; that one keeps its socket and loses the name.
  (void)::unlink(path.c_str());
  const mode_t mask = ::umask(0177);
  const bool bound = listener_.get() >= 0 && address.fits() &&
                     ::bind(listener_.get(), address.get(), UnixAddress::size()) == 0;
  ::umask(mask);
  if (!bound || ::listen(listener_.get(), kBacklog) != 0) {
    throw std::runtime_error("cannot listen at " + path + ": " + std::strerror(errno));
  }
  acceptable_.reset(event_new(
      loop_.base(), listener_.get(), EV_READ | EV_PERSIST,
      [](evutil_socket_t, short, void* self) {
        guarded("handover", [self] { static_cast<StreamReceiver*>(self)->accept(); });
      },
      this));
  if (!acceptable_ || event_add(acceptable_.get(), nullptr) != 0) throw std::runtime_error("no event");
}

StreamReceiver::~StreamReceiver() = default;

void StreamReceiver::accept() {
  Descriptor socket(::accept4(listener_.get(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC));
  if (socket.get() < 0 || callers_.size() >= kMostCallers || !same_user(socket.get())) return;
  const auto hello = operations::kStreamsHello;
  if (::send(socket.get(), hello.data(), hello.size(), MSG_NOSIGNAL) != ssize_t(hello.size())) return;
  Caller& caller = callers_.emplace_back();
  caller.receiver = this;
  caller.socket = std::move(socket);
  caller.readable.reset(event_new(
      loop_.base(), caller.socket.get(), EV_READ | EV_PERSIST,
      [](evutil_socket_t, short, void* self) {
        auto* mine = static_cast<Caller*>(self);
        StreamReceiver& receiver = *mine->receiver;
        guarded("handover", [&] {
          for (int i = 0; i < kMessagesAtOnce; ++i) {
            if (receiver.receive(mine->socket.get())) continue;
            receiver.callers_.remove_if([mine](const Caller& other) { return &other == mine; });
            return;
          }
        });
      },
      &caller));
  event_add(caller.readable.get(), nullptr);
}

bool StreamReceiver::receive(int socket) {
  std::string text(operations::kMostMessage + 1, '\0');
  iovec part{text.data(), text.size()};
  alignas(cmsghdr) Control control{};
  msghdr message{};
  message.msg_iov = &part;
  message.msg_iovlen = 1;
  message.msg_control = control.data();
  message.msg_controllen = control.size();
  const ssize_t got = ::recvmsg(socket, &message, MSG_CMSG_CLOEXEC | MSG_DONTWAIT);
  if (got < 0 && (errno == EAGAIN || errno == EINTR)) return true;
  std::vector<Descriptor> descriptors = descriptors_of(message);
  if (got <= 0) return false;
  text.resize(std::size_t(got));
  auto stream = operations::decode_stream(text);
  const bool cut = (message.msg_flags & (MSG_TRUNC | MSG_CTRUNC)) != 0;
  if (cut || !stream || descriptors.size() != kDescriptors) {
    log::write("handover", "a stream that was passed on can't be read; it breaks off");
    return true;
  }
  stream->stream.client.descriptor = descriptors[0].release();
  stream->stream.instance.descriptor = descriptors[1].release();
  take_(std::move(*stream));
  return true;
}

// ---- StreamSender ----

std::unique_ptr<StreamSender> StreamSender::call(Loop& loop, const std::string& path,
                                                 std::function<void()> ready, std::function<void()> ended) {
  const UnixAddress address(path);
  Descriptor socket = unix_socket();
  if (socket.get() < 0 || !address.fits() ||
      ::connect(socket.get(), address.get(), UnixAddress::size()) != 0 || !same_user(socket.get())) {
    return nullptr;
  }
  setsockopt(socket.get(), SOL_SOCKET, SO_SNDBUF, &kSendBuffer, sizeof kSendBuffer);
  return std::unique_ptr<StreamSender>(
      new StreamSender(loop, std::move(socket), std::move(ready), std::move(ended)));
}

StreamSender::StreamSender(Loop& loop, Descriptor socket, std::function<void()> ready,
                           std::function<void()> ended)
    : socket_(std::move(socket)), ready_(std::move(ready)), ended_(std::move(ended)) {
  readable_.reset(event_new(
      loop.base(), socket_.get(), EV_READ | EV_PERSIST,
      [](evutil_socket_t, short, void* self) {
        guarded("handover", [self] { static_cast<StreamSender*>(self)->hear(); });
      },
      this));
  if (!readable_ || event_add(readable_.get(), nullptr) != 0) throw std::runtime_error("no event");
}

StreamSender::~StreamSender() = default;

void StreamSender::hear() {
  char text[64];
  const ssize_t got = ::recv(socket_.get(), text, sizeof text, MSG_DONTWAIT);
  if (got < 0 && (errno == EAGAIN || errno == EINTR)) return;
  const bool known = got > 0 && std::string_view(text, std::size_t(got)) == operations::kStreamsHello;
  if (known && !std::exchange(greeted_, true)) return ready_();
  event_del(readable_.get());
  greeted_ = false;
  ended_();
}

bool StreamSender::send(const std::string& message, int client, int instance) {
  if (!greeted_ || message.empty()) return false;
  iovec part{const_cast<char*>(message.data()), message.size()};
  alignas(cmsghdr) Control control{};
  msghdr header{};
  header.msg_iov = &part;
  header.msg_iovlen = 1;
  header.msg_control = control.data();
  header.msg_controllen = CMSG_SPACE(sizeof(int) * kDescriptors);
  cmsghdr* rights = CMSG_FIRSTHDR(&header);
  rights->cmsg_level = SOL_SOCKET;
  rights->cmsg_type = SCM_RIGHTS;
  rights->cmsg_len = CMSG_LEN(sizeof(int) * kDescriptors);
  const int descriptors[kDescriptors] = {client, instance};
  std::memcpy(CMSG_DATA(rights), descriptors, sizeof descriptors);
  return ::sendmsg(socket_.get(), &header, MSG_DONTWAIT | MSG_NOSIGNAL) == ssize_t(message.size());
}

}  // namespace bankmux::net
