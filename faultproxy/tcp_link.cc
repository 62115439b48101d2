#include <array>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <asio/write.hpp>
#include <map>

#include "faultproxy/links.h"
#include "runtime/loop_core.h"

namespace figmill::faultproxy {
namespace {

using asio::ip::tcp;
using Socket = std::shared_ptr<tcp::socket>;

constexpr std::size_t kChunkBytes = 65536;
constexpr Duration kPartitionPoll{10'000};
constexpr Duration kSwapWait{2'000'000};  // for a second answer; then it passes as it is

// Ends a connection so that its peer sees a reset, not an orderly end.
void Reset(tcp::socket& socket) {
  asio::error_code ignored;
  socket.set_option(asio::socket_base::linger(true, 0), ignored);
  socket.close(ignored);
}

class Pump;

// What the pumps of one link share.
struct Shared {
  RuleBook& rules;
  std::size_t link;
  std::map<std::uint64_t, std::weak_ptr<Pump>> awaiting_swap;  // by rule
};

// Carries one direction of one connection, and does to it what the rules say.
class Pump : public std::enable_shared_from_this<Pump> {
 public:
  Pump(std::shared_ptr<Shared> shared, Direction direction, Socket from, Socket to)
      : shared_(std::move(shared)),
        direction_(direction),
        from_(std::move(from)),
        to_(std::move(to)),
        timer_(from_->get_executor()) {}

  void Read() {
    from_->async_read_some(
        asio::buffer(buffer_),
        [self = shared_from_this()](const asio::error_code& failure, std::size_t size) {
          if (failure) {
            self->OnReadFailed(failure);
          } else {
            self->size_ = size;
            self->OnChunk();
          }
        });
  }

 private:
  // A rule that strikes after some bytes: the dice are thrown once a connection,
  // and bytes count from when the rule first saw it.
  struct Armed {
    std::uint64_t rule = 0;
    bool chosen = false;
    std::uint64_t passed = 0;
  };

  void OnReadFailed(const asio::error_code& failure) {
    if (failure == asio::error::eof) {
      asio::error_code ignored;
      to_->shutdown(tcp::socket::shutdown_send, ignored);
    } else {
      Reset(*to_);
    }
  }

  void OnChunk() {
    if (shared_->rules.Find(Fault::kPartition, shared_->link, direction_) != nullptr) {
      After(kPartitionPoll, &Pump::OnChunk);
    } else if (Swallowed()) {
      Read();
    } else if (!AwaitsSwap()) {
      DelayThenWrite();
    }
  }

  Rule* Arm(Fault fault, Armed& armed) {
    Rule* const rule = shared_->rules.Find(fault, shared_->link, direction_);
    if (rule == nullptr) return nullptr;
    if (armed.rule != rule->id) armed = Armed{rule->id, shared_->rules.Chosen(*rule), 0};
    return armed.chosen ? rule : nullptr;
  }

  bool Swallowed() {
    if (swallowing_) return true;
    Rule* const rule = Arm(Fault::kHalfOpen, half_open_);
    if (rule == nullptr || half_open_.passed + size_ <= rule->after_bytes) return false;
    ++rule->hits;
    swallowing_ = true;
    size_ = rule->after_bytes - half_open_.passed;
    if (size_ == 0) return true;
    return false;  // the bytes up to the limit still pass
  }

  bool AwaitsSwap() {
    if (swapped_ || direction_ != Direction::kToCaller) return false;
    Rule* const rule = shared_->rules.Find(Fault::kSwap, shared_->link, direction_);
    if (rule == nullptr) return false;
    const std::shared_ptr<Pump> other = shared_->awaiting_swap[rule->id].lock();
    if (!other || other.get() == this || !other->waiting_) {
      shared_->awaiting_swap[rule->id] = weak_from_this();
      waiting_ = true;
      After(kSwapWait, &Pump::EndWait);
      return true;
    }
    ++rule->hits;
    std::swap(to_, other->to_);
    swapped_ = other->swapped_ = true;
    other->timer_.cancel();
    other->EndWait();
    return false;
  }

  void EndWait() {
    if (!std::exchange(waiting_, false)) return;
    DelayThenWrite();
  }

  void DelayThenWrite() {
    const Rule* const rule = shared_->rules.Take(Fault::kDelay, shared_->link, direction_);
    if (rule == nullptr) {
      Write();
    } else {
      After(rule->delay, &Pump::Write);
    }
  }

  void Write() {
    Rule* const rule = Arm(Fault::kCut, cut_);
    const bool cut = rule != nullptr && cut_.passed + size_ > rule->after_bytes;
    if (cut) {
      ++rule->hits;
      size_ = rule->after_bytes - cut_.passed;
    }
    asio::async_write(*to_, asio::buffer(buffer_.data(), size_),
                      [self = shared_from_this(), cut](const asio::error_code& failure, auto) {
                        self->OnWritten(failure, cut);
                      });
  }

  void OnWritten(const asio::error_code& failure, bool cut) {
    if (failure || cut) {
      Reset(*from_);
      Reset(*to_);
      return;
    }
    cut_.passed += size_;
    half_open_.passed += size_;
    Read();
  }

  void After(Duration delay, void (Pump::*then)()) {
    timer_.expires_after(delay);
    timer_.async_wait([self = shared_from_this(), then](const asio::error_code& cancelled) {
      if (!cancelled) (self.get()->*then)();
    });
  }

  std::shared_ptr<Shared> shared_;
  Direction direction_;
  Socket from_;
  Socket to_;
  asio::steady_timer timer_;
  Armed cut_;
  Armed half_open_;
  bool swallowing_ = false;
  bool swapped_ = false;
  bool waiting_ = false;
  std::size_t size_ = 0;
  std::array<char, kChunkBytes> buffer_{};
};

class TcpLink final : public Link {
 public:
  TcpLink(Loop& loop, RuleBook& rules, std::size_t index, tcp::endpoint forward)
      : io_(loop.core().io),
        acceptor_(io_),
        forward_(std::move(forward)),
        shared_(std::make_shared<Shared>(Shared{rules, index, {}})) {}

  asio::error_code Listen(const tcp::endpoint& at) {
    asio::error_code failure;
    acceptor_.open(tcp::v4(), failure);
    if (!failure) acceptor_.set_option(tcp::acceptor::reuse_address(true), failure);
    if (!failure) acceptor_.bind(at, failure);
    if (!failure) acceptor_.listen(asio::socket_base::max_listen_connections, failure);
    if (!failure) Accept();
    return failure;
  }

  [[nodiscard]] Address address() const override {
    const tcp::endpoint at = acceptor_.local_endpoint();
    return Address{at.address().to_string(), at.port()};
  }

 private:
  void Accept() {
    acceptor_.async_accept([this](const asio::error_code& failure, tcp::socket socket) {
      if (failure == asio::error::operation_aborted) return;
      if (!failure) OnCaller(std::make_shared<tcp::socket>(std::move(socket)));
      Accept();
    });
  }

  void OnCaller(const Socket& caller) {
    if (shared_->rules.Take(Fault::kDrop, shared_->link, Direction::kToServer) != nullptr) {
      Reset(*caller);
      return;
    }
    const Socket server = std::make_shared<tcp::socket>(io_);
    server->async_connect(forward_, [this, caller, server](const asio::error_code& failure) {
      if (failure) {
        Reset(*caller);
        return;
      }
      asio::error_code ignored;
      caller->set_option(tcp::no_delay(true), ignored);
      server->set_option(tcp::no_delay(true), ignored);
      std::make_shared<Pump>(shared_, Direction::kToServer, caller, server)->Read();
      std::make_shared<Pump>(shared_, Direction::kToCaller, server, caller)->Read();
    });
  }

  asio::io_context& io_;
  tcp::acceptor acceptor_;
  tcp::endpoint forward_;
  std::shared_ptr<Shared> shared_;
};

tcp::endpoint EndpointOf(const Address& address) {
  return {asio::ip::make_address_v4(address.host), address.port};
}

}  // namespace

Result<std::unique_ptr<Link>> OpenTcpLink(Loop& loop, RuleBook& rules, std::size_t index,
                                          const LinkSettings& settings) {
  auto link = std::make_unique<TcpLink>(loop, rules, index, EndpointOf(settings.forward));
  if (const asio::error_code failure = link->Listen(EndpointOf(settings.listen))) {
    return Error{ErrorKind::kInternal,
                 "can't listen at " + ToString(settings.listen) + ": " + failure.message()};
  }
  return std::unique_ptr<Link>(std::move(link));
}

}  // namespace figmill::faultproxy
