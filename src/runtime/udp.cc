#include <array>
#include <asio/ip/udp.hpp>

#include "figmill/runtime.h"
#include "runtime/loop_core.h"

namespace figmill {
namespace {

using asio::ip::udp;

Result<udp::endpoint> EndpointOf(const Address& address) {
  asio::error_code failure;
  const asio::ip::address_v4 host = asio::ip::make_address_v4(address.host, failure);
  if (failure) {
    return Error{ErrorKind::kInternal, "'" + address.host + "' is no IPv4 number"};
  }
  return udp::endpoint(host, address.port);
}

Address AddressOf(const udp::endpoint& endpoint) {
  return Address{endpoint.address().to_string(), endpoint.port()};
}

// Outlives its UdpSocket while a receive is pending.
class Receiver : public std::enable_shared_from_this<Receiver> {
 public:
  Receiver(Loop& loop, UdpSocket::Handler handler, Counter* oversized)
      : socket_(loop.core().io), handler_(std::move(handler)), oversized_(oversized) {}

  asio::error_code Open(const udp::endpoint& at) {
    asio::error_code failure;
    socket_.open(udp::v4(), failure);
    if (!failure) socket_.non_blocking(true, failure);
    if (!failure) socket_.bind(at, failure);
    return failure;
  }

  void Receive() {
    socket_.async_receive_from(
        asio::buffer(buffer_), from_,
        [self = shared_from_this()](const asio::error_code& failure, std::size_t size) {
          self->OnReceived(failure, size);
        });
  }

  void Send(std::string_view bytes, const Address& to) {
    if (bytes.size() > kMaxDatagramBytes) {
      if (oversized_ != nullptr) oversized_->Add();
      return;
    }
    const Result<udp::endpoint> endpoint = EndpointOf(to);
    if (!IsOk(endpoint)) return;
    asio::error_code lost;  // as the network may lose it at any later point
    socket_.send_to(asio::buffer(bytes), ValueOf(endpoint), 0, lost);
  }

  void Close() {
    handler_ = nullptr;
    asio::error_code ignored;
    socket_.close(ignored);
  }

  [[nodiscard]] Address address() const {
    asio::error_code closed;
    return AddressOf(socket_.local_endpoint(closed));
  }

 private:
  void OnReceived(const asio::error_code& failure, std::size_t size) {
    if (!handler_ || failure == asio::error::operation_aborted) return;
    // Other failures belong to one datagram, such as the ICMP refusal of an
    // earlier send to a process that died; the socket stays good.
    if (!failure) Deliver(size);
    if (handler_) Receive();
  }

  void Deliver(std::size_t size) {
    if (size > kMaxDatagramBytes) {
      if (oversized_ != nullptr) oversized_->Add();
      return;
    }
    // A copy: the handler may destroy the socket, and this function with it.
    const UdpSocket::Handler handler = handler_;
    handler(std::string_view(buffer_.data(), size), AddressOf(from_));
  }

  udp::socket socket_;
  UdpSocket::Handler handler_;
  Counter* oversized_;
  udp::endpoint from_;
  // One byte more than allowed shows that a datagram was longer.
  std::array<char, kMaxDatagramBytes + 1> buffer_{};
};

class AsioUdpSocket final : public UdpSocket {
 public:
  explicit AsioUdpSocket(std::shared_ptr<Receiver> receiver) : receiver_(std::move(receiver)) {}
  AsioUdpSocket(const AsioUdpSocket&) = delete;
  AsioUdpSocket& operator=(const AsioUdpSocket&) = delete;
  ~AsioUdpSocket() override { receiver_->Close(); }
  void Send(std::string bytes, const Address& to) override { receiver_->Send(bytes, to); }
  [[nodiscard]] Address address() const override { return receiver_->address(); }

 private:
  std::shared_ptr<Receiver> receiver_;
};

}  // namespace

Result<std::unique_ptr<UdpSocket>> UdpSocket::Bind(Loop& loop, const Address& at, Handler handler,
                                                   Metrics* metrics) {
  const Result<udp::endpoint> endpoint = EndpointOf(at);
  if (!IsOk(endpoint)) return ErrorOf(endpoint);
  Counter* oversized = metrics == nullptr
                           ? nullptr
                           : &metrics->counter("figmill_datagrams_oversized_total",
                                               "Datagrams dropped for being over the size limit");
  auto receiver = std::make_shared<Receiver>(loop, std::move(handler), oversized);
  if (const asio::error_code failure = receiver->Open(ValueOf(endpoint))) {
    return Error{ErrorKind::kInternal, "can't bind UDP " + ToString(at) + ": " + failure.message()};
  }
  receiver->Receive();
  return std::unique_ptr<UdpSocket>(std::make_unique<AsioUdpSocket>(std::move(receiver)));
}

}  // namespace figmill
