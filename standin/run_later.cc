#include "standin/run_later.h"

#include <memory>
#include <utility>

namespace figmill::standin {

void RunLater(Loop& loop, Duration delay, std::function<void()> task) {
  auto timer = std::make_shared<Timer>();
  *timer = loop.After(delay, [timer, task = std::move(task)] {
    // Moved out first: the timer and its task hold each other.
    const Timer done = std::move(*timer);
    task();
  });
}

}  // namespace figmill::standin
