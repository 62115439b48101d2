#pragma once

// Innards of Loop, for the parts of runtime that need Asio.

#include <asio/io_context.hpp>
#include <asio/signal_set.hpp>
#include <asio/steady_timer.hpp>
#include <functional>
#include <memory>

#include "figmill/runtime.h"

namespace figmill::detail {

struct LoopCore {
  asio::io_context io{1};
  asio::executor_work_guard<asio::io_context::executor_type> work = asio::make_work_guard(io);
  asio::signal_set signals{io};
  asio::signal_set reloads{io};
};

struct TimerCore : std::enable_shared_from_this<TimerCore> {
  explicit TimerCore(asio::io_context& io) : timer(io) {}
  asio::steady_timer timer;
  std::function<void()> task;
  Duration period{0};  // 0: fires once
  bool cancelled = false;
};

}  // namespace figmill::detail
