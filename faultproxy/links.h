#pragma once

// The ways through the proxy: what arrives at one address goes on to another.

#include <memory>

#include "faultproxy/rules.h"
#include "figmill/runtime.h"

namespace figmill::faultproxy {

struct LinkSettings {
  Address listen;
  Address forward;
  bool udp = false;
};

class Link {
 public:
  virtual ~Link() = default;
  [[nodiscard]] virtual Address address() const = 0;
};

// `index` is the link's number in rules. Errors: kInternal when it can't listen.
[[nodiscard]] Result<std::unique_ptr<Link>> OpenTcpLink(Loop& loop, RuleBook& rules,
                                                        std::size_t index,
                                                        const LinkSettings& settings);
[[nodiscard]] Result<std::unique_ptr<Link>> OpenUdpLink(Loop& loop, RuleBook& rules,
                                                        std::size_t index,
                                                        const LinkSettings& settings);

}  // namespace figmill::faultproxy
