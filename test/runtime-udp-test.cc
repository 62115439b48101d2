#include <doctest/doctest.h>

#include "figmill/runtime.h"

namespace figmill {
namespace {

const Address kAnyPort{"127.0.0.1", 0};

TEST_CASE("a datagram arrives whole, with its sender") {
  Loop loop;
  std::string got;
  Address sender;
  auto receiver = UdpSocket::Bind(loop, kAnyPort, [&](std::string_view bytes, const Address& from) {
    got = bytes;
    sender = from;
    loop.Stop();
  });
  auto source = UdpSocket::Bind(loop, kAnyPort, [](std::string_view, const Address&) {});
  REQUIRE(IsOk(receiver));
  REQUIRE(IsOk(source));
  const std::string sent(kMaxDatagramBytes, '\0');
  ValueOf(source)->Send(sent, ValueOf(receiver)->address());
  loop.Run();
  CHECK(got == sent);
  CHECK(sender == ValueOf(source)->address());
}

// Symptom: a node falls out of membership for good after one bad datagram.
// Events: it sends to a port where nobody listens any more, and the kernel
// reports the refusal on its next receive.
// Cause: the receive loop ended at the first error.
TEST_CASE("a refused send doesn't deafen the socket") {
  Loop loop;
  Address gone;
  {
    auto closed = UdpSocket::Bind(loop, kAnyPort, [](std::string_view, const Address&) {});
    REQUIRE(IsOk(closed));
    gone = ValueOf(closed)->address();
  }
  std::string got;
  auto socket = UdpSocket::Bind(loop, kAnyPort, [&](std::string_view bytes, const Address&) {
    got = bytes;
    loop.Stop();
  });
  REQUIRE(IsOk(socket));
  ValueOf(socket)->Send("into the void", gone);
  ValueOf(socket)->Send("to myself", ValueOf(socket)->address());
  loop.Run();
  CHECK(got == "to myself");
}

TEST_CASE("a datagram over the limit is neither sent nor taken, and counted") {
  Loop loop;
  Metrics metrics;
  Counter& oversized = metrics.counter("figmill_datagrams_oversized_total", "");
  std::string got;
  auto socket = UdpSocket::Bind(
      loop, kAnyPort,
      [&](std::string_view bytes, const Address&) {
        got = bytes;
        loop.Stop();
      },
      &metrics);
  REQUIRE(IsOk(socket));
  ValueOf(socket)->Send(std::string(kMaxDatagramBytes + 1, 'x'), ValueOf(socket)->address());
  CHECK(oversized.value() == 1);
  ValueOf(socket)->Send("small", ValueOf(socket)->address());
  loop.Run();
  CHECK(got == "small");
}

TEST_CASE("an address in use is an error that names it") {
  Loop loop;
  auto first = UdpSocket::Bind(loop, kAnyPort, [](std::string_view, const Address&) {});
  REQUIRE(IsOk(first));
  const Address taken = ValueOf(first)->address();
  auto second = UdpSocket::Bind(loop, taken, [](std::string_view, const Address&) {});
  REQUIRE_FALSE(IsOk(second));
  CHECK(ErrorOf(second).detail.find(ToString(taken)) != std::string::npos);
}

// Symptom: a crash while a node leaves.
// Events: the handler of a datagram destroys the socket it came in on.
// Cause: the receive loop went on with an object that was gone.
TEST_CASE("a handler may destroy its socket") {
  Loop loop;
  std::unique_ptr<UdpSocket> socket;
  auto bound = UdpSocket::Bind(loop, kAnyPort, [&](std::string_view, const Address&) {
    socket.reset();
    loop.Stop();
  });
  REQUIRE(IsOk(bound));
  socket = std::move(ValueOf(bound));
  socket->Send("end", socket->address());
  loop.Run();
  CHECK_FALSE(socket);
}

}  // namespace
}  // namespace figmill
