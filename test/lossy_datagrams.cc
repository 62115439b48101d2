// Loaded into processes by LD_PRELOAD: loses a share of the datagrams they send,
// FIGMILL_TEST_LOSS (0 to 1). A proxy can't stand between members here, as they
// learn each other's addresses from each other.

#include <dlfcn.h>
#include <sys/socket.h>

#include <cstdlib>
#include <random>

namespace {

bool IsDatagramSocket(int socket) {
  int kind = 0;
  socklen_t size = sizeof(kind);
  return getsockopt(socket, SOL_SOCKET, SO_TYPE, &kind, &size) == 0 && kind == SOCK_DGRAM;
}

bool IsLost() {
  static const char* const kText = std::getenv("FIGMILL_TEST_LOSS");
  static const double kShare = kText == nullptr ? 0 : std::strtod(kText, nullptr);
  thread_local std::mt19937 random{std::random_device{}()};
  return std::uniform_real_distribution<>{}(random) < kShare;
}

}  // namespace

extern "C" {

ssize_t sendmsg(int socket, const msghdr* message, int flags) {
  using Function = ssize_t (*)(int, const msghdr*, int);
  static const auto kReal = reinterpret_cast<Function>(dlsym(RTLD_NEXT, "sendmsg"));
  if (!IsDatagramSocket(socket) || !IsLost()) return kReal(socket, message, flags);
  std::size_t bytes = 0;
  for (std::size_t i = 0; i < message->msg_iovlen; ++i) bytes += message->msg_iov[i].iov_len;
  return static_cast<ssize_t>(bytes);
}

ssize_t sendto(int socket, const void* data, std::size_t size, int flags, const sockaddr* to,
               socklen_t to_size) {
  using Function = ssize_t (*)(int, const void*, std::size_t, int, const sockaddr*, socklen_t);
  static const auto kReal = reinterpret_cast<Function>(dlsym(RTLD_NEXT, "sendto"));
  if (!IsDatagramSocket(socket) || !IsLost()) return kReal(socket, data, size, flags, to, to_size);
  return static_cast<ssize_t>(size);
}

}  // extern "C"
