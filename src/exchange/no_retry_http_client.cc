#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <array>
#include <asio/ip/tcp.hpp>
#include <asio/post.hpp>
#include <asio/write.hpp>
#include <cerrno>
#include <deque>
#include <map>
#include <unordered_set>

#include "exchange/close_verdict.h"
#include "exchange/response_parser.h"
#include "figmill/exchange.h"
#include "figmill/observe.h"
#include "runtime/loop_core.h"

namespace figmill {
namespace {

using asio::ip::tcp;
using detail::CloseEvidence;
using detail::CloseVerdict;
using detail::ResponseParser;
using detail::ResponseState;

constexpr std::size_t kReadBytes = 8192;
// Interval at which HttpCall::hold_reads is asked again.
constexpr Duration kHoldInterval{5'000};
// Interval at which a connection whose peer has closed its side is looked at again.
constexpr Duration kCloseCheckInterval{5'000};
constexpr std::string_view kConnectTimedOut = "no connection in time";

bool Has(const std::vector<Header>& headers, std::string_view name) {
  for (const Header& header : headers) {
    if (SameHeaderName(header.name, name)) return true;
  }
  return false;
}

// The client alone frames the message: a length that isn't the body's makes the peer take the rest
// of the body for another request.
bool IsFramingHeader(std::string_view name) {
  return SameHeaderName(name, "Content-Length") || SameHeaderName(name, "Transfer-Encoding");
}

// The state of a connection; nullopt if the system doesn't tell.
std::optional<tcp_info> TcpInfoOf(int socket) {
  tcp_info info{};
  socklen_t size = sizeof(info);
  const int failure = ::getsockopt(socket, IPPROTO_TCP, TCP_INFO, &info, &size);
  const bool has_age =
      size >= offsetof(tcp_info, tcpi_last_ack_recv) + sizeof(info.tcpi_last_ack_recv);
  if (failure == 0 && has_age) return info;
  Log(LogLevel::kWarning, "connection_state_unknown", {{"errno", std::to_string(errno)}});
  return std::nullopt;
}

// Whether the peer's host has acknowledged all bytes that were written; true if the system doesn't
// tell.
bool IsAcknowledged(int socket) {
  int pending_bytes = 0;
  if (::ioctl(socket, TIOCOUTQ, &pending_bytes) == 0) return pending_bytes == 0;
  Log(LogLevel::kWarning, "connection_queue_unknown", {{"errno", std::to_string(errno)}});
  return true;
}

std::string HeadText(const HttpCall& call) {
  std::string text;
  text.reserve(256);
  text.append(call.method).append(" ").append(call.target).append(" HTTP/1.1\r\n");
  if (!Has(call.headers, "Host")) text.append("Host: ").append(ToString(call.to)).append("\r\n");
  for (const Header& header : call.headers) {
    if (IsFramingHeader(header.name)) continue;
    text.append(header.name).append(": ").append(header.value).append("\r\n");
  }
  const bool has_body = !call.body.empty() || call.method == "POST" || call.method == "PUT";
  if (has_body) {
    text.append("Content-Length: ").append(std::to_string(call.body.size())).append("\r\n");
  }
  return text.append("\r\n");
}

}  // namespace

class NoRetryHttpClient::Impl : public std::enable_shared_from_this<Impl> {
 public:
  Impl(Loop& loop, ConnectionPoolLimits limits) : loop_(loop), limits_(limits) {}

  CancelCall Start(HttpCall call, std::function<void(HttpEvent)> on_event);
  void Dial(const Address& to, Duration timeout, std::function<void(DialResult)> done);
  void CloseIdleConnections(const Address& address);
  void CloseAll();
  [[nodiscard]] std::uint64_t connections_opened() const { return opened_; }

 private:
  class Connection;
  struct Idle {
    std::shared_ptr<Connection> connection;
    Time until;
  };

  std::shared_ptr<Connection> Open(const Address& to);
  std::shared_ptr<Connection> TakeIdle(const Address& address);
  void ReturnToPool(const std::shared_ptr<Connection>& connection, int peer_seconds);
  void Remove(const Connection* connection);

  Loop& loop_;
  ConnectionPoolLimits limits_;
  std::map<Address, std::deque<Idle>> idle_;
  std::unordered_set<std::shared_ptr<Connection>> busy_;
  std::uint64_t opened_ = 0;
};

// A connection and its current call, if any.
class NoRetryHttpClient::Impl::Connection : public std::enable_shared_from_this<Connection> {
 public:
  Connection(std::shared_ptr<Impl> owner, const Address& to)
      : owner_(std::move(owner)), to_(to), socket_(owner_->loop_.core().io) {}

  void Begin(HttpCall call, std::function<void(HttpEvent)> on_event) {
    ++calls_;
    call_ = std::move(call);
    on_event_ = std::move(on_event);
    head_ = HeadText(call_);
    parser_ = std::make_unique<ResponseParser>(call_.method == "HEAD", [this](HttpEvent event) {
      if (on_event_) Emit(std::move(event));
    });
    written_ = write_failed_ = false;
    if (call_.total_timeout.count() > 0) {
      total_timer_ = owner_->loop_.After(call_.total_timeout,
                                         [this] { Fail(connected_, true, "no answer in time"); });
    }
    connected_ ? Send() : ConnectWithin(call_.connect_timeout);
  }

  void Dial(Duration timeout, std::function<void(DialResult)> on_dialed) {
    on_dial_done_ = std::move(on_dialed);
    ConnectWithin(timeout);
  }

  // Ends the call or the connection attempt without a further event; no effect between calls.
  void Cancel() {
    const bool dialing = std::exchange(on_dial_done_, nullptr) != nullptr;
    const bool calling = std::exchange(on_event_, nullptr) != nullptr;
    if (dialing || calling) Close();
  }

  // Whether the peer has neither closed the connection nor sent anything since the last response.
  // Such bytes belong to no request, and WaitReadable may not have reported them yet.
  [[nodiscard]] bool HasNoPendingInput() {
    char byte = 0;
    const ssize_t got = ::recv(socket_.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
  }

  void Close() {
    total_timer_.Reset();
    connect_timer_.Reset();
    hold_timer_.Reset();
    asio::error_code ignored;
    socket_.close(ignored);
    if (owner_) {
      const std::shared_ptr<Impl> owner = std::move(owner_);
      owner->Remove(this);
    }
  }

  [[nodiscard]] const Address& to() const { return to_; }
  [[nodiscard]] bool open() const { return socket_.is_open(); }
  [[nodiscard]] std::uint64_t calls() const { return calls_; }

 private:
  // Calls a copy, since the callback may cancel this call and so destroy on_event_.
  void Emit(HttpEvent event) {
    const auto on_event = on_event_;
    on_event(std::move(event));
  }

  void CountBytes(std::size_t count) {
    if (call_.bytes != nullptr) call_.bytes->Add(count);
  }

  void ConnectWithin(Duration timeout) {
    asio::error_code bad;
    const auto host = asio::ip::make_address_v4(to_.host, bad);
    if (bad) {
      return asio::post(socket_.get_executor(), [self = shared_from_this()] {
        self->OnConnectFailed(DialResult::kNoAnswer, "not an IPv4 address: " + self->to_.host);
      });
    }
    connect_timer_ = owner_->loop_.After(
        timeout, [this] { OnConnectFailed(DialResult::kNoAnswer, std::string(kConnectTimedOut)); });
    socket_.async_connect(tcp::endpoint(host, to_.port),
                          [self = shared_from_this()](const asio::error_code& failure) {
                            self->OnConnected(failure);
                          });
  }

  void OnConnected(const asio::error_code& failure) {
    if (!socket_.is_open() || !(on_event_ || on_dial_done_)) return;
    connect_timer_.Reset();
    if (failure) {
      const bool refused = failure == asio::error::connection_refused;
      return OnConnectFailed(refused ? DialResult::kRefused : DialResult::kNoAnswer,
                             failure.message());
    }
    connected_ = true;
    asio::error_code ignored;
    socket_.set_option(tcp::no_delay(true), ignored);
    on_event_ ? Send() : PoolUnused();
  }

  void PoolUnused() {
    reading_ = true;
    WaitReadable();
    owner_->ReturnToPool(shared_from_this(), /*peer_seconds=*/0);
    std::exchange(on_dial_done_, nullptr)(DialResult::kConnected);
  }

  void OnConnectFailed(DialResult result, std::string why) {
    const auto keep = shared_from_this();
    if (const auto on_dialed = std::exchange(on_dial_done_, nullptr)) {
      Close();
      return on_dialed(result);
    }
    const bool timed_out = why == kConnectTimedOut;
    Fail(false, timed_out, std::move(why));
  }

  void Send() {
    CountBytes(head_.size() + call_.body.size());
    const std::array<asio::const_buffer, 2> parts{asio::buffer(head_), asio::buffer(call_.body)};
    asio::async_write(socket_, parts,
                      [self = shared_from_this()](const asio::error_code& failure, std::size_t) {
                        self->OnWritten(failure);
                      });
    if (!std::exchange(reading_, true)) Read();
  }

  void OnWritten(const asio::error_code& failure) {
    if (!socket_.is_open()) return;
    if (!failure) {
      written_ = true;
      return;
    }
    write_failed_ = true;  // Read ends the call, after any bytes that the peer sent before
    Log(LogLevel::kInfo, "request_not_written",
        {{"to", ToString(to_)}, {"why", failure.message()}});
  }

  // Waits between calls until the socket is readable, without reading. A pending read would
  // consume unexpected bytes, so that HasNoPendingInput would miss them and they would be taken for
  // the response to the next call.
  void WaitReadable() {
    socket_.async_wait(tcp::socket::wait_read,
                       [self = shared_from_this()](const asio::error_code& /*failure*/) {
                         if (!self->socket_.is_open()) return;
                         if (!self->on_event_) return self->Close();
                         self->Read();  // the response to the next call has begun
                       });
  }

  void Read() {
    socket_.async_read_some(
        asio::buffer(buffer_),
        [self = shared_from_this()](const asio::error_code& failure, std::size_t size) {
          self->OnRead(failure, size);
        });
  }

  void OnRead(const asio::error_code& failure, std::size_t size) {
    if (!socket_.is_open()) return;
    if (failure && failure != asio::error::eof) return Fail(true, false, failure.message());
    CountBytes(size);
    const auto keep = shared_from_this();
    const ResponseState state =
        failure ? parser_->FeedEof() : parser_->Feed({buffer_.data(), size});
    if (!on_event_) return;  // an event handler cancelled the call
    if (call_.max_body_bytes > 0 && parser_->body_bytes() > call_.max_body_bytes) {
      return Fail(true, false, "the body is longer than the call allows");
    }
    switch (state) {
      case ResponseState::kUnfinished:
        return ReadUnlessHeld();
      case ResponseState::kCompleteReusable:
        return Finish(/*reusable=*/true);
      case ResponseState::kCompleteNotReusable:
        return parser_->ends_by_close() ? OnClosedByPeer() : Finish(/*reusable=*/false);
      case ResponseState::kMalformed:
        return Fail(true, false, failure ? "the answer broke off" : "malformed response");
    }
  }

  void ReadUnlessHeld() {
    if (!call_.hold_reads || !call_.hold_reads()) return Read();
    hold_timer_ = owner_->loop_.After(kHoldInterval, [this] { ReadUnlessHeld(); });
  }

  // The response is whole only if the connection wasn't reset.
  void OnClosedByPeer() {
    closed_read_at_ = Loop::Now();
    close_age_ = std::nullopt;
    if (const auto info = TcpInfoOf(socket_.native_handle())) {
      close_age_ = std::chrono::milliseconds(info->tcpi_last_ack_recv);
    }
    DecideClose();
  }

  void DecideClose() {
    const auto keep = shared_from_this();
    switch (JudgeClose(GatherCloseEvidence())) {
      case CloseVerdict::kOrderly:
        return Finish(/*reusable=*/false);
      case CloseVerdict::kReset:
        return Fail(true, false, "the connection was reset");
      case CloseVerdict::kUndecided:
        hold_timer_ = owner_->loop_.After(kCloseCheckInterval, [this] { DecideClose(); });
    }
  }

  [[nodiscard]] CloseEvidence GatherCloseEvidence() {
    CloseEvidence evidence;
    evidence.write_failed = write_failed_;
    evidence.written = written_;
    evidence.acknowledged = IsAcknowledged(socket_.native_handle());
    const auto info = TcpInfoOf(socket_.native_handle());
    evidence.reset = info && info->tcpi_state == TCP_CLOSE;
    return evidence;
  }

  void Finish(bool reusable) {
    total_timer_.Reset();
    const auto on_event = std::exchange(on_event_, nullptr);
    const int peer_seconds = parser_->keep_alive_seconds();
    HttpEnd end{parser_->ends_by_close()};
    if (end.by_close && close_age_) end.closed_ago = *close_age_ + (Loop::Now() - closed_read_at_);
    // If the response arrived before the whole body was sent, the connection can't be reused: the
    // peer would take the next request for the rest of this body.
    if (reusable && written_) {
      WaitReadable();
      owner_->ReturnToPool(shared_from_this(), peer_seconds);
    } else {
      Close();
    }
    on_event(end);
  }

  void Fail(bool sent, bool timed_out, std::string why) {
    const auto keep = shared_from_this();
    const auto on_event = std::exchange(on_event_, nullptr);
    Close();
    if (on_event) on_event(HttpFailure{sent, timed_out, std::move(why)});
  }

  std::shared_ptr<Impl> owner_;
  Address to_;
  tcp::socket socket_;
  HttpCall call_;
  std::function<void(HttpEvent)> on_event_;
  std::function<void(DialResult)> on_dial_done_;
  std::string head_;
  std::unique_ptr<ResponseParser> parser_;
  std::array<char, kReadBytes> buffer_{};
  Timer connect_timer_, total_timer_, hold_timer_;
  std::uint64_t calls_ = 0;
  bool connected_ = false;
  bool written_ = false;
  bool write_failed_ = false;
  Time closed_read_at_{};              // when the end of the peer's side was read
  std::optional<Duration> close_age_;  // how long before it had arrived; nullopt: unknown
  bool reading_ = false;  // set on the first call, then always reading or in WaitReadable
};

CancelCall NoRetryHttpClient::Impl::Start(HttpCall call, std::function<void(HttpEvent)> on_event) {
  std::shared_ptr<Connection> connection;
  if (!call.fresh_connection) connection = TakeIdle(call.to);
  if (!connection) connection = Open(call.to);
  busy_.insert(connection);
  connection->Begin(std::move(call), std::move(on_event));
  // The connection may serve a later call, which this function must not cancel.
  return [weak = std::weak_ptr<Connection>(connection), number = connection->calls()] {
    const auto target = weak.lock();
    if (target && target->calls() == number) target->Cancel();
  };
}

void NoRetryHttpClient::Impl::Dial(const Address& to, Duration timeout,
                                   std::function<void(DialResult)> done) {
  const std::shared_ptr<Connection> connection = Open(to);
  busy_.insert(connection);
  connection->Dial(timeout, std::move(done));
}

std::shared_ptr<NoRetryHttpClient::Impl::Connection> NoRetryHttpClient::Impl::Open(
    const Address& to) {
  ++opened_;
  return std::make_shared<Connection>(shared_from_this(), to);
}

std::shared_ptr<NoRetryHttpClient::Impl::Connection> NoRetryHttpClient::Impl::TakeIdle(
    const Address& address) {
  const auto found = idle_.find(address);
  if (found == idle_.end()) return nullptr;
  const Time now = Loop::Now();
  while (!found->second.empty()) {
    Idle idle = std::move(found->second.back());
    found->second.pop_back();
    const bool usable =
        idle.connection->open() && now < idle.until && idle.connection->HasNoPendingInput();
    if (usable) return idle.connection;
    idle.connection->Close();
  }
  return nullptr;
}

void NoRetryHttpClient::Impl::ReturnToPool(const std::shared_ptr<Connection>& connection,
                                           int peer_seconds) {
  busy_.erase(connection);
  Duration idle = limits_.max_idle;
  if (peer_seconds > 0) idle = std::chrono::seconds(peer_seconds) - limits_.idle_margin;
  auto& pooled = idle_[connection->to()];
  pooled.push_back({connection, Loop::Now() + idle});
  if (pooled.size() <= limits_.max_idle_per_address) return;
  const std::shared_ptr<Connection> oldest = pooled.front().connection;
  pooled.pop_front();
  oldest->Close();
}

void NoRetryHttpClient::Impl::Remove(const Connection* connection) {
  std::erase_if(busy_, [connection](const auto& busy) { return busy.get() == connection; });
  const auto found = idle_.find(connection->to());
  if (found == idle_.end()) return;
  std::erase_if(found->second,
                [connection](const Idle& idle) { return idle.connection.get() == connection; });
}

void NoRetryHttpClient::Impl::CloseIdleConnections(const Address& address) {
  const auto found = idle_.find(address);
  if (found == idle_.end()) return;
  const std::deque<Idle> pooled = std::move(found->second);
  idle_.erase(found);
  for (const Idle& idle : pooled) idle.connection->Close();
}

void NoRetryHttpClient::Impl::CloseAll() {
  const auto busy = std::move(busy_);
  const auto idle = std::move(idle_);
  busy_.clear();
  idle_.clear();
  for (const auto& connection : busy) connection->Cancel();
  for (const auto& [address, pooled] : idle) {
    for (const Idle& one : pooled) one.connection->Close();
  }
}

NoRetryHttpClient::NoRetryHttpClient(Loop& loop, ConnectionPoolLimits limits)
    : impl_(std::make_shared<Impl>(loop, limits)) {}

NoRetryHttpClient::~NoRetryHttpClient() {
  impl_->CloseAll();
}

CancelCall NoRetryHttpClient::Start(HttpCall call, std::function<void(HttpEvent)> on_event) {
  return impl_->Start(std::move(call), std::move(on_event));
}

CancelCall NoRetryHttpClient::Fetch(HttpCall call, std::function<void(Result<HttpResponse>)> done) {
  if (call.max_body_bytes == 0) call.max_body_bytes = kMaxFetchedBytes;
  return Start(std::move(call), CollectAnswer(std::move(done)));
}

void NoRetryHttpClient::Dial(const Address& to, Duration timeout,
                             std::function<void(DialResult)> done) {
  impl_->Dial(to, timeout, std::move(done));
}

void NoRetryHttpClient::CloseIdleConnections(const Address& address) {
  impl_->CloseIdleConnections(address);
}

std::uint64_t NoRetryHttpClient::connections_opened() const {
  return impl_->connections_opened();
}

}  // namespace figmill
