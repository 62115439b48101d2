#include <asio/post.hpp>
#include <chrono>
#include <csignal>
#include <ctime>
#include <random>

#include "runtime/loop_core.h"

namespace figmill {
namespace {

using detail::TimerCore;

void Arm(const std::shared_ptr<TimerCore>& core, Duration delay) {
  core->timer.expires_after(delay);
  core->timer.async_wait([core](const asio::error_code& failure) {
    if (failure || core->cancelled) return;
    core->task();
    if (core->period.count() > 0 && !core->cancelled) Arm(core, core->period);
  });
}

void AwaitSignal(asio::signal_set& signals, const std::function<void()>& task) {
  signals.async_wait([&signals, task](const asio::error_code& failure, int) {
    if (failure) return;
    task();
    AwaitSignal(signals, task);
  });
}

}  // namespace

Timer& Timer::operator=(Timer&& other) noexcept {
  Reset();
  core_ = std::move(other.core_);
  return *this;
}

void Timer::Reset() {
  if (!core_) return;
  core_->cancelled = true;
  core_->timer.cancel();
  core_.reset();
}

Loop::Loop() : core_(std::make_unique<detail::LoopCore>()) {}
Loop::~Loop() = default;

void Loop::Run() {
  core_->io.run();
}
void Loop::Stop() {
  core_->io.stop();
}
void Loop::Restart() {
  core_->io.restart();
}
void Loop::Post(std::function<void()> task) {
  asio::post(core_->io, std::move(task));
}

Timer Loop::After(Duration delay, std::function<void()> task) {
  auto core = std::make_shared<TimerCore>(core_->io);
  core->task = std::move(task);
  Arm(core, delay);
  return Timer(core);
}

void Loop::Later(Duration delay, std::function<void()> task) {
  auto core = std::make_shared<TimerCore>(core_->io);
  core->task = std::move(task);
  Arm(core, delay);
}

Timer Loop::Every(Duration period, std::function<void()> task) {
  auto core = std::make_shared<TimerCore>(core_->io);
  core->task = std::move(task);
  core->period = period;
  Arm(core, period);
  return Timer(core);
}

void Loop::OnTerminate(std::function<void()> task) {
  core_->signals.add(SIGTERM);
  core_->signals.add(SIGINT);
  AwaitSignal(core_->signals, task);
}

void Loop::OnReload(std::function<void()> task) {
  core_->reloads.add(SIGHUP);
  AwaitSignal(core_->reloads, task);
}

Time Loop::Now() {
  const auto since_boot = std::chrono::steady_clock::now().time_since_epoch();
  return Time(std::chrono::duration_cast<Duration>(since_boot));
}

Duration Loop::SinceBoot() {
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  const auto since_boot = std::chrono::seconds(now.tv_sec) + std::chrono::nanoseconds(now.tv_nsec);
  return std::chrono::duration_cast<Duration>(since_boot);
}

WallTime Loop::WallNow() {
  return std::chrono::time_point_cast<std::chrono::milliseconds>(std::chrono::system_clock::now());
}

RandomBits SystemRandom() {
  std::random_device device;
  std::seed_seq seed{device(), device(), device(), device()};
  return [engine = std::mt19937_64(seed)]() mutable { return engine(); };
}

}  // namespace figmill
