#include <map>

#include "faultproxy/links.h"

namespace figmill::faultproxy {
namespace {

constexpr Duration kReorderWait{200'000};  // for a datagram to overtake; then it goes alone

// Each caller gets a socket of its own towards the server, so that answers find
// their way back.
class UdpLink final : public Link {
 public:
  UdpLink(Loop& loop, RuleBook& rules, std::size_t index, Address forward)
      : loop_(loop), rules_(rules), index_(index), forward_(std::move(forward)) {}

  Result<Ok> Listen(const Address& at) {
    auto bound = UdpSocket::Bind(
        loop_, at, [this](std::string_view bytes, const Address& from) { OnCaller(bytes, from); });
    if (!IsOk(bound)) return ErrorOf(bound);
    listener_ = std::move(ValueOf(bound));
    return Ok{};
  }

  [[nodiscard]] Address address() const override { return listener_->address(); }

 private:
  struct Held {
    UdpSocket* socket = nullptr;
    std::string bytes;
    Address to;
    Timer timer;
  };

  void OnCaller(std::string_view bytes, const Address& caller) {
    auto upstream = upstreams_.find(caller);
    if (upstream == upstreams_.end()) {
      auto bound = UdpSocket::Bind(loop_, Address{forward_.host, 0},
                                   [this, caller](std::string_view answer, const Address&) {
                                     Pass(Direction::kToCaller, *listener_, answer, caller);
                                   });
      if (!IsOk(bound)) return;
      upstream = upstreams_.emplace(caller, std::move(ValueOf(bound))).first;
    }
    Pass(Direction::kToServer, *upstream->second, bytes, forward_);
  }

  void Pass(Direction direction, UdpSocket& through, std::string_view bytes, const Address& to) {
    if (rules_.Take(Fault::kPartition, index_, direction) != nullptr) return;
    if (rules_.Take(Fault::kDrop, index_, direction) != nullptr) return;
    if (rules_.Take(Fault::kDuplicate, index_, direction) != nullptr) {
      Delay(direction, through, bytes, to);
    }
    Held& held = held_[static_cast<std::size_t>(direction)];
    if (held.socket == nullptr && rules_.Take(Fault::kReorder, index_, direction) != nullptr) {
      Hold(held, through, bytes, to);
      return;
    }
    Delay(direction, through, bytes, to);
    Release(held);
  }

  void Hold(Held& held, UdpSocket& through, std::string_view bytes, const Address& to) {
    held.socket = &through;
    held.bytes = bytes;
    held.to = to;
    held.timer = loop_.After(kReorderWait, [&held] { Release(held); });
  }

  static void Release(Held& held) {
    if (held.socket == nullptr) return;
    std::exchange(held.socket, nullptr)->Send(std::move(held.bytes), held.to);
  }

  void Delay(Direction direction, UdpSocket& through, std::string_view bytes, const Address& to) {
    const Rule* const rule = rules_.Take(Fault::kDelay, index_, direction);
    if (rule == nullptr) {
      through.Send(std::string(bytes), to);
      return;
    }
    const std::uint64_t id = ++last_delayed_;
    delayed_[id] = loop_.After(rule->delay, [this, id, &through, bytes = std::string(bytes), to] {
      through.Send(bytes, to);
      loop_.Post([this, id] { delayed_.erase(id); });
    });
  }

  Loop& loop_;
  RuleBook& rules_;
  std::size_t index_;
  Address forward_;
  std::unique_ptr<UdpSocket> listener_;
  std::map<Address, std::unique_ptr<UdpSocket>> upstreams_;
  Held held_[2];
  std::uint64_t last_delayed_ = 0;
  std::map<std::uint64_t, Timer> delayed_;
};

}  // namespace

Result<std::unique_ptr<Link>> OpenUdpLink(Loop& loop, RuleBook& rules, std::size_t index,
                                          const LinkSettings& settings) {
  auto link = std::make_unique<UdpLink>(loop, rules, index, settings.forward);
  const Result<Ok> listening = link->Listen(settings.listen);
  if (!IsOk(listening)) return ErrorOf(listening);
  return std::unique_ptr<Link>(std::move(link));
}

}  // namespace figmill::faultproxy
