#include <array>
#include <cstdio>

#include "figmill/query.h"

namespace figmill::query {
namespace {

using std::chrono::days;
using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

// Reads numbers and separators off the front of a text; the first mismatch
// makes all that follows fail.
class Scanner {
 public:
  explicit Scanner(std::string_view text) : rest_(text) {}

  int Digits(std::size_t count) {
    int value = 0;
    for (std::size_t i = 0; i < count; ++i) {
      if (rest_.empty() || rest_.front() < '0' || rest_.front() > '9') ok_ = false;
      if (!ok_) return 0;
      value = value * 10 + (rest_.front() - '0');
      rest_.remove_prefix(1);
    }
    return value;
  }
  bool Skip(char c) {
    if (rest_.empty() || rest_.front() != c) return false;
    rest_.remove_prefix(1);
    return true;
  }
  void Need(char c) { ok_ = Skip(c) && ok_; }
  [[nodiscard]] bool done() const { return ok_ && rest_.empty(); }

 private:
  std::string_view rest_;
  bool ok_ = true;
};

}  // namespace

std::string ToIso8601(WallTime at) {
  const auto day = std::chrono::floor<days>(at);
  const std::chrono::year_month_day date{day};
  const std::chrono::hh_mm_ss time{at - day};
  std::array<char, 48> text{};
  std::snprintf(text.data(), text.size(), "%04d-%02u-%02uT%02d:%02d:%02d.%03dZ",
                static_cast<int>(date.year()), static_cast<unsigned>(date.month()),
                static_cast<unsigned>(date.day()), static_cast<int>(time.hours().count()),
                static_cast<int>(time.minutes().count()), static_cast<int>(time.seconds().count()),
                static_cast<int>(time.subseconds().count()));
  return text.data();
}

Result<WallTime> ParseIso8601(std::string_view text) {
  Scanner scanner(text);
  const std::chrono::year year{scanner.Digits(4)};
  scanner.Need('-');
  const std::chrono::month month{static_cast<unsigned>(scanner.Digits(2))};
  scanner.Need('-');
  const std::chrono::day day{static_cast<unsigned>(scanner.Digits(2))};
  scanner.Need('T');
  const int hour = scanner.Digits(2);
  const int minute = scanner.Skip(':') ? scanner.Digits(2) : 0;
  const int second = scanner.Skip(':') ? scanner.Digits(2) : 0;
  const int millisecond = scanner.Skip('.') ? scanner.Digits(3) : 0;
  scanner.Need('Z');
  const std::chrono::year_month_day date{year, month, day};
  if (!scanner.done() || !date.ok() || hour > 23 || minute > 59 || second > 59) {
    return Error{ErrorKind::kBadRequest, "'" + std::string(text) +
                                             "' is no moment: one such as 2026-04-01T06:00Z is "
                                             "expected"};
  }
  return WallTime{std::chrono::sys_days(date)} + hours(hour) + minutes(minute) + seconds(second) +
         milliseconds(millisecond);
}

}  // namespace figmill::query
